"""The configurations that a simulated site's operators send: valid, concurrent and invalid ones.

Field names are those of the users' platform, see `simulation/platform_names.py`.
"""

from __future__ import annotations

import copy
import dataclasses
import typing

import loguru

from iriswheel.runtime import units
from simulation import platform_names
from simulation.clients import client, request_kinds
from simulation.site import shapes

if typing.TYPE_CHECKING:
    from twisted.internet import defer

    from simulation.site import site

FIRST_IDLE_ROUTES = 3  # number of idle routes in the first configuration
IDLE_HOST = "idle.example"
IDLE_NAME_PREFIX = "r-idle"
# Bytes of headers, bytes of a body, and milliseconds until headers end and until an idle connection is closed, in the
# order of `platform_names.BOUNDS`.
BOUND_VALUES = (16384, 4194304, 3000, 15000)
ROUTE_CHECK_WAITS_MS = (300, 700, 1_100, 900)  # waiting time before each check of the changed routes
UNKNOWN_PATH = "/never/"  # has a route in no configuration
INVALID_TIMEOUT_S = 15  # for which an operator retries an invalid configuration without a clear answer
VERSION_GAP_OF_RIVAL = 10  # makes the version of the second of two concurrent changes different

Document = dict[str, typing.Any]
ChangeKind = typing.Literal["idle", "timeout", "big"]

log = loguru.logger.bind(part="site")


class Change(typing.NamedTuple):
    """A change of the configuration.

    Attributes:
        document: The whole configuration after the change.
        patch: The body of a PATCH request that makes the same change.
        added: Paths of some routes that the change adds.
        removed: Paths of routes that the change removes.
    """

    document: Document
    patch: Document
    added: list[str]
    removed: list[str]


class Configurations:
    """Sends configurations in the name of a site's operators.

    It holds the newest configuration that is known to be acknowledged, on which the next change is based.
    """

    def __init__(self, deployment: site.Site) -> None:
        self.site = deployment
        self.document: Document = {}
        self.version = 0
        self.idle_routes = 0  # number of idle routes that were added so far
        self.direct_requests = 0  # number of requests that `check_routes` sent so far

    # ---- documents ----------------------------------------------------------------------

    def route(self, kind: request_kinds.RequestKind, name: str) -> Document:
        """A route for a kind of request, with the platform's field names."""
        names = platform_names.ROUTE
        route = {
            names["name"]: name,
            names["host"]: kind.host,
            names["path"]: kind.path,
            names["sort"]: platform_names.TERMS[kind.category],
            names["cutoff_ms"]: kind.deadline_ms,
            names["aim_ms"]: kind.aim_ms,
            names["urgency"]: kind.urgency,
            names["pool"]: self.site.pool,
            names["sends"]: kind.max_sends,
            names["pinned"]: True,
            names["resumable"]: kind.resumable,
        }
        if kind.category == "stream":
            route[names["pause_ms"]] = kind.pause_ms
        return route

    def idle_route(self, number: int) -> Document:
        """An idle route: it gets no client traffic, only the requests by which `check_routes` tests a change."""
        kind = dataclasses.replace(shapes.DIRECT, path=f"/idle{number}/", host=IDLE_HOST)
        return self.route(kind, f"{IDLE_NAME_PREFIX}{number}")

    def pool_document(self) -> Document:
        """The configuration of the site's pool of workers."""
        names, parameters = platform_names.POOL, self.site.engine_parameters
        return {
            names["name"]: self.site.pool,
            names["probe"]: platform_names.PATHS["probe"],
            names["conns"]: self.site.shape.connections,
            names["protocol"]: "h1",
            names["tls"]: False,
            names["engine"]: {
                names["capacity"]: parameters.capacity,
                names["memory"]: parameters.kv_capacity,
                names["token_bytes"]: 163840,
                names["link_mbps"]: 550000.0,
                names["event_tokens"]: parameters.event_tokens,
                names["models"]: [{"name": "m"}],
            },
            **self._warmup(),
        }

    def _warmup(self) -> Document:
        names, cold = platform_names.POOL, self.site.shape.cold
        return {} if cold is None else {names["warmup_s"]: cold.warmup_s, names["cold_per_s"]: cold.requests_per_s}

    def first(self) -> Document:
        """The first configuration."""
        names = platform_names.CONFIGURATION
        routes = [self.route(kind, f"r-{kind.name}") for kind in self.site.shape.kinds]
        routes += self.new_idle_routes(FIRST_IDLE_ROUTES)
        return {
            names["version"]: 1,
            names["routes"]: routes,
            names["pools"]: [self.pool_document()],
            names["bounds"]: dict(zip(platform_names.BOUNDS.values(), BOUND_VALUES, strict=False)),
        }

    def new_idle_routes(self, count: int) -> list[Document]:
        """A number of idle routes that were in no configuration before."""
        routes = [self.idle_route(self.idle_routes + offset) for offset in range(count)]
        self.idle_routes += count
        return routes

    def next_change(self, how: ChangeKind, count: int = 100) -> Change:
        """A change of the newest configuration.

        Args:
            how: "idle" replaces one idle route by another, "timeout" changes the time-out of a route, and "big" adds
                many idle routes.
            count: How many routes a "big" change adds.
        """
        names = platform_names.CONFIGURATION
        document = copy.deepcopy(self.document)
        document[names["version"]] = self.version + 1 + self.site.rng.randrange(3)
        alter = {"idle": self._swap_idle_routes, "timeout": self._alter_timeout}.get(how)
        change = alter(document) if alter is not None else self._add_many(document, count)
        change.patch[names["version"]] = document[names["version"]]
        return change

    def _swap_idle_routes(self, document: Document) -> Change:
        names, route_names = platform_names.CONFIGURATION, platform_names.ROUTE
        routes = document[names["routes"]]
        dropped = next(route for route in routes if route[route_names["name"]].startswith(IDLE_NAME_PREFIX))
        routes.remove(dropped)
        added = self.new_idle_routes(1)
        routes += added
        patch = {
            names["put"]: {names["routes"]: added},
            names["drop"]: {names["routes"]: [dropped[route_names["name"]]]},
        }
        return Change(document, patch, [added[0][route_names["path"]]], [dropped[route_names["path"]]])

    def _add_many(self, document: Document, count: int) -> Change:
        names, path = platform_names.CONFIGURATION, platform_names.ROUTE["path"]
        added = self.new_idle_routes(count)
        document[names["routes"]] += added
        return Change(document, {names["put"]: {names["routes"]: added}}, [added[0][path], added[-1][path]], [])

    def _alter_timeout(self, document: Document) -> Change:
        names = platform_names.CONFIGURATION
        route = document[names["routes"]][0]
        route[platform_names.ROUTE["cutoff_ms"]] = 9_000 + self.site.rng.randrange(1000)
        return Change(document, {names["put"]: {names["routes"]: [dict(route)]}}, [], [])

    # ---- sending ------------------------------------------------------------------------

    def adopt_newer(self, document: Document | None) -> None:
        """Base the next changes on a configuration that was read, if it is newer."""
        if document is None:
            return
        version = document[platform_names.CONFIGURATION["version"]]
        if version > self.version:
            self.document, self.version = document, version

    def adopt_acknowledged(self, document: Document) -> None:
        """Base the next changes on a configuration that was acknowledged."""
        self.document, self.version = document, document[platform_names.CONFIGURATION["version"]]

    async def put_first(self, seconds: int) -> int:
        """Send the first configuration, and return the status of the answer."""
        self.adopt_acknowledged(self.first())
        return await self.site.operator.put(self.document, 0, seconds=seconds)

    def begin_change(self, how: ChangeKind = "idle", wait: int = 60) -> defer.Deferred[int | None]:
        """Start to send the next change, with a time limit in seconds, and return a Deferred of the status."""
        return self.site.operator_runtime.spawn(self.send_next(how, wait), log)

    async def send_next(self, how: ChangeKind, wait: int, count: int = 100) -> int:
        """Send the next change as a PUT or PATCH, and return the status; check the routes of an acknowledged change."""
        change = self.next_change(how, count)
        base = self.version
        if self.site.rng.random() < 0.5:
            status = await self.site.operator.patch(change.patch, change.document, base, seconds=wait)
        else:
            status = await self.site.operator.put(change.document, base, seconds=wait)
        if status == 200:
            self.adopt_acknowledged(change.document)
            paths = [*change.added, *change.removed, UNKNOWN_PATH]
            self.site.client_runtime.spawn(self.check_routes(paths), log)
        return status

    async def race(self) -> list[int | None]:
        """Let two operators concurrently send changes based on the same version, and return both statuses."""
        base, documents, answers = self.version, [], []
        for operator in (self.site.operator, self.site.rival):
            document = self.next_change("idle").document
            documents.append(document)
            if operator is self.site.rival:
                document[platform_names.CONFIGURATION["version"]] += VERSION_GAP_OF_RIVAL
            answers.append(self.site.operator_runtime.spawn(operator.put(document, base), log))
        statuses = [await answer for answer in answers]
        for status, document in zip(statuses, documents, strict=True):
            if status == 200:
                self.adopt_acknowledged(document)
        return statuses

    async def send_invalid(self) -> None:
        """Send several invalid configurations, none of which may be acknowledged."""
        for invalidate in (
            self._unknown_pool,
            self._duplicate_route,
            self._zero_timeout,
            self._old_version,
            self._split_without_weight,
        ):
            document = self.next_change("timeout").document
            invalidate(document, document[platform_names.CONFIGURATION["routes"]][0])
            await self.site.operator.put(document, self.version, valid=False, seconds=INVALID_TIMEOUT_S)

    def _unknown_pool(self, _document: Document, route: Document) -> None:
        route[platform_names.ROUTE["pool"]] = "nowhere"

    def _duplicate_route(self, document: Document, route: Document) -> None:
        document[platform_names.CONFIGURATION["routes"]].append({**route, platform_names.ROUTE["name"]: "r-double"})

    def _zero_timeout(self, _document: Document, route: Document) -> None:
        route[platform_names.ROUTE["cutoff_ms"]] = 0

    def _old_version(self, document: Document, _route: Document) -> None:
        document[platform_names.CONFIGURATION["version"]] = self.version

    def _split_without_weight(self, _document: Document, route: Document) -> None:
        names = platform_names.ROUTE
        del route[names["pool"]]
        route[names["split"]] = [{names["pool"]: self.site.pool, names["weight"]: 0}]

    async def check_routes(self, paths: list[str]) -> None:
        """Request each path at each node that takes connections, several times after a change.

        The first checks come before the change must be applied, the last ones after.
        """
        for wait_ms in ROUTE_CHECK_WAITS_MS:
            await self.site.client_runtime.sleep(wait_ms * units.MILLISECOND_US)
            for name in sorted(
                name
                for name in self.site.virtual_address.nodes
                if self.site.virtual_address.receives_new_connections(name)
            ):
                for path in paths:
                    self._check_route(name, path)

    def _check_route(self, node: str, path: str) -> None:
        runtime = self.site.client_runtime
        self.direct_requests += 1
        caller = client.Client(
            runtime,
            self.site.event_log,
            self.site.virtual_address,
            f"direct{self.direct_requests}",
            "far",
            keep_alive=False,
        )
        kind = dataclasses.replace(shapes.DIRECT, host=IDLE_HOST)
        until = runtime.now() + kind.deadline_ms * units.MILLISECOND_US
        request = client.Request(caller.name, f"{path}x", [], b"direct", until)
        runtime.spawn(caller.send_attempt(kind, request, 0, node=node), log)
