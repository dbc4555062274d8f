"""Measurements on real processes: latency through a node, highest request rate, a pool owner's selections."""

from __future__ import annotations

import collections.abc
import json
import pathlib
import statistics

import loguru
from twisted.internet import defer

from benchmarks import default_reactor, fleet
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire
from iriswheel.verification import replay

SELECT_TIMEOUT_US = 5 * units.SECOND_US
UNBOUNDED_SLOTS = 100_000
SELECTION_KINDS = (
    "placed",  # the request may be sent more than once
    "claimed",  # the request is sent at most once
    "opened",  # the request opens a session
)


def first_attempt_ms(deployment: fleet.Fleet) -> dict[str, list[float]]:
    """Milliseconds from a request's first send to its arrival at a worker, by node; without long prompts."""
    rows = []
    for name in ["load", *deployment.workers]:
        with pathlib.Path(deployment.event_log_path(name)).open() as log:
            rows += replay.read(log)[0]
    arrived_at = {(row["exchange"], row["send"]): row["at"] for row in rows if row["kind"] == "run"}
    names = {f"{fleet.HOST}:{ports.http}": name for name, ports in deployment.nodes.items()}
    ms_by_node: dict[str, list[float]] = {}
    for row in rows:
        key = (row.get("exchange"), row.get("send"))
        if row["kind"] == "sent" and row["send"] == 1 and row["sort"] != "long" and key in arrived_at:
            ms_by_node.setdefault(names[row["node"]], []).append((arrived_at[key] - row["at"]) / 1000)
    return ms_by_node


def _wait_for_owner(deployment: fleet.Fleet) -> str:
    """Wait until the pool has an active owner, possibly a moment after all nodes are ready; returns its node's name."""
    deployment.wait_until(deployment.owner, "the pool has an active owner", fleet.START_TIMEOUT_S)
    return deployment.owner()


def hop(*, shape: str = "magnolia", seconds: int = 20, runs: int = 3) -> None:
    """Latency that a node adds to a request, for the pool owner's node and for all other nodes.

    :param shape: magnolia, swan or small
    :param seconds: how long each run lasts
    :param runs: how many runs
    """
    at_owner_ms: list[float] = []
    elsewhere_ms: list[float] = []
    for k in range(runs):
        with fleet.Fleet(shape) as deployment:
            deployment.begin()
            owner = _wait_for_owner(deployment)
            deployment.start_load(seconds, "--seed", str(k + 1)).communicate()
            for name, values in first_attempt_ms(deployment).items():
                (at_owner_ms if name == owner else elsewhere_ms).extend(values)
    for what, values in (("warden's own node", at_owner_ms), ("other nodes", elsewhere_ms)):
        values.sort()
        print(
            f"{what}: {len(values)} exchanges, median {statistics.median(values):.2f} ms, "
            f"90 % {values[int(len(values) * 0.9)]:.2f} ms"
        )


def saturate(
    *, shape: str = "magnolia", seconds: int = 8, rates: collections.abc.Sequence[int] = (50, 100, 200, 300, 400)
) -> None:
    """Latency, refusals and processor use at rising rates of short requests, each with a fleet of its own.

    :param shape: magnolia, swan or small
    :param seconds: how long each rate lasts
    :param rates: short requests per second
    """
    for rate in rates:
        with fleet.Fleet(shape) as deployment:
            deployment.begin()
            load = deployment.start_load(seconds, "--short-rate", str(rate), "--long-rate", "1", "--talks", "0")
            report = json.loads(load.communicate()[0])
            values = sorted(value for of_node in first_attempt_ms(deployment).values() for value in of_node)
            cpu_shares, owner = deployment.cpu_shares(), deployment.owner()
            busiest = max(share for name, share in cpu_shares.items() if name in deployment.nodes and name != owner)
            print(
                f"{rate}/s: {report['ends']['whole']} whole, {report['ends']['refused']} refused; way to the worker "
                f"median {statistics.median(values):.1f} ms, 99 % {values[int(len(values) * 0.99)]:.1f} ms; "
                f"CPU of the warden's node {cpu_shares[owner]:.0%}, of the busiest other node {busiest:.0%}",
                flush=True,
            )


class SelectionLoad:
    """Requests one pool owner to select workers, with many requests in flight at a time.

    Args:
        runtime: This process's clock and scheduler.
        connection: The connection to the owner's node.
        pool: The pool's name.
        term: The owner's term.
    """

    def __init__(
        self, runtime: scheduler.Runtime, connection: wire.Connection, pool: str, term: tuple[int, int]
    ) -> None:
        self.runtime = runtime
        self.connection = connection
        self.pool = pool
        self.term = term
        self.granted = 0

    async def run(self, kind: str, depth: int, seconds: int) -> int:
        """Request selections of one kind for some seconds, `depth` at a time; returns how many were granted."""
        self.granted = 0
        deadline = self.runtime.now() + seconds * units.SECOND_US
        loops = [self._select_repeatedly(kind, number, deadline) for number in range(depth)]
        await defer.DeferredList([defer.ensureDeferred(loop) for loop in loops])
        return self.granted

    async def _select_repeatedly(self, kind: str, number: int, deadline: int) -> None:
        count = 0
        while self.runtime.now() < deadline:
            count += 1
            await self._select(kind, f"{kind}-{number}-{count}")

    async def _select(self, kind: str, identifier: str) -> None:
        response = await self.connection.call(
            message.SelectWorker(
                self.pool,
                self.term,
                "bench",
                identifier,
                identifier,
                1,
                kind != "claimed",
                identifier if kind == "opened" else "",
                ["system"],
                20,
                False,
                [],
                {"lifetime_us": 60 * units.SECOND_US, "cost": 1},
                units.SECOND_US,
            ),
            SELECT_TIMEOUT_US,
        )
        if isinstance(response, message.SelectionGranted):
            self.granted += 1
        self.connection.tell(message.GrantReleased(self.pool, identifier, "ran"))


def selections(*, shape: str = "magnolia", seconds: int = 5, depth: int = 64) -> None:
    """Selections per second that one pool owner answers over one connection, with many in flight at a time.

    :param shape: magnolia, swan or small
    :param seconds: how long selections of each kind are requested
    :param depth: selection requests in flight at a time
    """
    loguru.logger.remove()
    with fleet.Fleet(shape) as deployment:
        deployment.configuration["pools"][deployment.pool].update(
            slots=UNBOUNDED_SLOTS, long_slots=UNBOUNDED_SLOTS, cap=0
        )
        deployment.begin()
        owner = _wait_for_owner(deployment)
        assignment = next(
            each for each in deployment.state(owner)["duties"] if each["key"] == f"pool/{deployment.pool}"
        )
        epoch, number = assignment["term"]
        runtime = scheduler.Runtime(default_reactor.load())

        async def measure() -> None:
            port = deployment.nodes[owner].peer
            connection = await wire.connect(runtime, fleet.HOST, port, _ignore_message, loguru.logger)
            load = SelectionLoad(runtime, connection, deployment.pool, (epoch, number))
            for kind in SELECTION_KINDS:
                granted = await load.run(kind, depth, seconds)
                print(f"{kind}: {granted / seconds:.0f} elections a second", flush=True)

        default_reactor.run(measure)


def _ignore_message(_connection: wire.Connection, _message: object) -> None:
    """Ignore messages that the owner's node sends without being asked."""
