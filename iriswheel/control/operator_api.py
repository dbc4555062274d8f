"""The HTTP API of a core machine for operators: configuration, changes, plans, evacuations, counters and state."""

from __future__ import annotations

import collections.abc
import typing
import urllib.parse

import msgspec

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.control import counter_calls, encoded_answer, submitted_changes, zone_evacuation
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.control import chain_client, core, counters, replica_store, tail_contact
    from iriswheel.transport import http_server

CONFIRM_GRACE_US = 1 * units.SECOND_US  # added to the lease duration: how long a confirmation waits for nodes
CHANGE_FIELDS = ("number", "built_on", "blueprint", "upsert", "remove")
PLAN_FIELDS = ("blueprint", "patch", "base")


def parse_change(document: typing.Any) -> submitted_changes.SubmittedChange:  # noqa: ANN401 - any JSON value
    """Parse a numbered change: a complete configuration, or items to upsert and to remove.

    Raises:
        errors.ServiceError: `bad_request`, if the body is not a valid change.

    >>> parse_change({"number": 3, "built_on": 1, "remove": {"pools": ["p"]}}).number
    3
    """
    match document:
        case {"blueprint": _, "upsert": _} | {"blueprint": _, "remove": _}:
            raise errors.ServiceError(
                "bad_request", "Send either a blueprint, or items to upsert and remove.", field="blueprint"
            )
        case (
            {"number": int(number), "built_on": int(built_on), "blueprint": _}
            | {"number": int(number), "built_on": int(built_on), "upsert": _}
            | {"number": int(number), "built_on": int(built_on), "remove": _}
        ):
            pass
        case _:
            raise errors.ServiceError(
                "bad_request",
                "A change needs number, built_on, and either a blueprint, or items to upsert and remove.",
                field="number",
            )
    refuse_unknown_fields(document, CHANGE_FIELDS)

    def make_items(items: configuration.Items) -> dict[str, configuration.Item]:
        current = configuration.unflatten(items)
        return configuration.flatten(
            document["blueprint"]
            if "blueprint" in document
            else configuration.amend(current, document.get("upsert", {}), document.get("remove", {}))
        )

    identifier = configuration.change_id(number, built_on, document)
    return submitted_changes.SubmittedChange(identifier, number, built_on, make_items, "blueprint" in document)


def check_plan_request(document: typing.Any) -> None:  # noqa: ANN401 - any JSON value
    """Refuse a malformed request for a plan.

    >>> check_plan_request({"patch": []})
    """
    match document:
        case {"blueprint": _, "patch": _}:
            raise errors.ServiceError("bad_request", "Send a blueprint or a patch, not both.", field="patch")
        case {"blueprint": _} | {"patch": _}:
            pass
        case _:
            raise errors.ServiceError("bad_request", "A blueprint or a patch is needed.", field="blueprint")
    refuse_unknown_fields(document, PLAN_FIELDS)


def refuse_unknown_fields(document: dict[str, typing.Any], known: collections.abc.Container[str]) -> None:
    """Refuse a document with unknown fields.

    >>> refuse_unknown_fields({"base": 1}, PLAN_FIELDS)
    """
    for name in document:
        if name not in known:
            raise errors.ServiceError("bad_request", "Unknown field.", field=name)


def planned_items(document: dict[str, typing.Any], current: configuration.Items) -> dict[str, configuration.Item]:
    """The items that result from applying a plan request to the current ones.

    >>> planned_items({"patch": [{"op": "add", "path": "/pools/p", "value": {}}]}, {"terms/default": {}})
    {'pools/p': {}, 'terms/default': {}}
    """
    try:
        planned: typing.Any = document.get("blueprint")
        if "patch" in document:
            planned = configuration.apply_patch(
                configuration.unflatten(current, with_all_kinds=True), document["patch"]
            )
        return configuration.flatten(planned)
    except configuration.InvalidConfigurationError as error:
        text = "; ".join(error.errors[: submitted_changes.MAX_PROBLEMS_SHOWN])
        raise errors.ServiceError("bad_blueprint", text, field="blueprint") from error


def show_blueprint(read: message.ReadResponse) -> dict[str, typing.Any]:
    """The answer to a read of the whole configuration.

    >>> shown = show_blueprint(message.ReadResponse(True, 3, {"pools/p": {}}))
    >>> shown["stamp"], shown["blueprint"]["pools"]
    (3, {'p': {}})
    """
    return {"stamp": read.version, "blueprint": configuration.unflatten(read.items)}


class OperatorApi:
    """Answers the HTTP requests of operators."""

    def __init__(
        self,
        core: core.Core,
        client: chain_client.ChainClient,
        change_applier: submitted_changes.ChangeApplier,
        contact: tail_contact.TailContact,
        *,
        replicas: replica_store.SessionReplicaStore,
        counters: counters.Counters,
    ) -> None:
        self.core = core
        self.client = client
        self.change_applier = change_applier
        self.contact = contact
        self.replicas = replicas
        self.counters = counters
        self._blueprint = encoded_answer.EncodedAnswer(show_blueprint)

    async def handle(self, request: http_server.Request) -> None:
        """Answer one request, dispatched by method and path."""
        path = request.path.decode("latin-1").split("?")[0].strip("/").split("/")
        match (request.method, path):
            case (b"GET", ["blueprint"]):
                request.answer(200, self._blueprint.encode(await self.client.read_state()))
            case (_, ["plans", *rest]):
                await self._answer_plans(request, rest)
            case (b"POST", ["changes"]):
                change = parse_change(request.json())
                version = await self.change_applier.apply_change(change)
                request.answer_json(200, {"number": change.number, "stamp": version, "verdict": "ran"})
            case (_, ["evacuations", *names]):
                await self._answer_evacuations(request, names)
            case (_, ["counters", name]):
                await self.answer_counter(request, name)
            case (b"GET", ["state"]):
                request.answer_json(200, self.state())
            case (b"GET", ["ready"]):
                ready = self.core.is_serving()
                request.answer_json(200 if ready else 503, {"ready": ready})
            case (_, ["blueprint" | "changes" | "counters" | "state" | "ready", *_]):
                raise errors.ServiceError("bad_method", "This path does not take that method.")
            case _:
                raise errors.ServiceError("not_found", "There is no such path.")

    async def _answer_plans(self, request: http_server.Request, rest: list[str]) -> None:
        """Create a plan, or show or confirm the plan whose id is in the path."""
        match (request.method, rest):
            case (b"POST", []):
                request.answer_json(200, await self.plan(request.json()))
            case (b"GET", [identifier]):
                request.answer_json(200, await self._stored_plan(identifier))
            case (b"POST", [identifier, "confirm"]):
                response = await self.confirm(identifier)
                request.answer_json(200, {"id": identifier, "stamp": response.version, "verdict": "ran"})
            case _:
                raise errors.ServiceError("bad_method", "This path does not take that method.")

    async def _answer_evacuations(self, request: http_server.Request, names: list[str]) -> None:
        """List the evacuated zones, or evacuate or readmit the zone in the path."""
        match (request.method, names):
            case (b"GET", []):
                read = await self.client.read_state()
                zones = sorted(configuration.evacuated_zones(read.items))
                request.answer_json(200, {"stamp": read.version, "evacuations": zones})
            case (b"PUT" | b"DELETE", [quoted]):
                zone = zone_evacuation.parse_zone(urllib.parse.unquote(quoted))
                order = zone_evacuation.ZoneOrder(
                    zone, request.method == b"PUT", lambda: not request.client_disconnected
                )
                version = await self.change_applier.apply(order)
                request.answer_json(200, {"zone": zone, "stamp": version, "verdict": "ran"})
            case _:
                raise errors.ServiceError("bad_method", "This path does not take that method.")

    async def answer_counter(self, request: http_server.Request, quoted_name: str) -> None:
        """Add to a replicated counter, or read its sum."""
        counters = self.core.replicated_counters
        match request.method:
            case b"POST":
                add = counter_calls.parse_add(quoted_name, request.json())
                await counters.add(add.call_id, add.amount)
                request.answer_json(200, {"id": add.call_id.id, "verdict": "ran"})
            case b"GET":
                request.answer_json(200, {"sum": counters.sum_of(counter_calls.parse_name(quoted_name))})
            case _:
                raise errors.ServiceError("bad_method", "This path does not take that method.")

    async def plan(self, document: typing.Any) -> dict[str, typing.Any]:  # noqa: ANN401 - any JSON value
        """Compute and store a plan from a complete configuration or a JSON Patch (RFC 6902) on the committed one."""
        self.counters.plans += 1
        check_plan_request(document)
        read = await self.client.read_at_tail("")
        base = document.get("base", read.version)
        if type(base) is not int:
            raise errors.ServiceError(
                "bad_request",
                "base must be an integer: the stamp of the blueprint that the plan is based on.",
                field="base",
            )
        if base != read.version:
            raise errors.ServiceError("base_moved", f"The blueprint is at {read.version}, not at {base}.")
        before = configuration.without_evacuations(read.items)
        changes = configuration.difference(before, planned_items(document, before))
        identifier = configuration.plan_id(base, changes)
        await self.client.propose(message.ChangeKind.PLAN, identifier, base, changes)
        described = configuration.describe(read.items, changes)
        counts = {pool: self.replicas.session_count(pool) for pool in described["pools"]}
        open_sessions = {pool: count for pool, count in counts.items() if count is not None}
        return {"id": identifier, "base": base, **described, "open_sessions": open_sessions}

    async def confirm(self, identifier: str) -> message.ProposeChangeResponse:
        """Confirm a plan; returns once it is committed and every node has applied it."""
        self.counters.confirms += 1
        if self.contact.no_node_reachable():
            raise errors.ServiceError("no_nodes", "No node can be reached; a change would not come into force.")
        response = await self.client.propose(message.ChangeKind.CONFIRM, identifier)
        until = self.core.runtime.now() + self.core.options.lease_us + CONFIRM_GRACE_US
        await self.contact.wait_until_applied(response.version, until)
        if self.contact.no_node_reachable():
            raise errors.ServiceError(
                "unknown_outcome",
                "The change is committed, but no node can be reached.",
                errors.ExecutionOutcome.MAY_HAVE_RUN,
            )
        return response

    async def _stored_plan(self, identifier: str) -> dict[str, typing.Any]:
        read = await self.client.read_at_tail(identifier)
        if read.plan is None:
            raise errors.ServiceError("not_found", "No such plan is remembered.")
        return {**read.plan, "now": read.version}

    def state(self) -> dict[str, typing.Any]:
        """The state of this core machine, as operators see it: the names and their order are part of the interface."""
        core = self.core
        consensus, sessions = core.consensus, core.node_sessions.by_node.values()
        view = consensus.view
        return {
            "role": "core",
            "id": consensus.own_voter.id,
            "boot": core.runtime.incarnation,
            "zone": consensus.own_voter.zone,
            "view": view.number if view is not None else 0,
            "chain": [replica.id for replica in view.chain] if view is not None else [],
            "seats": message.plain(view.voters) if view is not None else [],
            "tail": consensus.is_tail(),
            "leased": consensus.holds_lease(),
            "serving": core.is_serving(),
            "whole": core.chain.is_synced(),
            "stamp": core.chain.committed_state.version,
            "n": core.chain.committed_state.index,
            "tip": core.chain.latest_state.index,
            "lease_left_us": max(0, core.lease.expires_at_us - core.runtime.now()),
            "disk_ok": core.disk.ok,
            "sessions": sorted(session.member.name for session in sessions),
            "fed_bytes": {session.member.name: session.connection.sent_bytes for session in sessions},
            "roster": message.plain(core.membership.latest),
            "counts": msgspec.structs.asdict(self.counters),
            "counters": core.replicated_counters.show(),
        }
