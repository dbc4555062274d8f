"""Evacuation of a zone: orders to core machines, their independence of the configuration, and what nodes then send."""

from __future__ import annotations

import json
import types
import unittest.mock
from typing import Any

import core_api
import pytest
from twisted.internet import defer
from twisted.python import failure
from twisted.web import http_headers

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.control import operator_api, submitted_changes, zone_evacuation
from iriswheel.dataplane import edge_protocol, relay, worker_selection
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message
from simulation import addresses
from simulation.scenarios import actions
from tests import deferreds, request_path, test_operators

SECOND = units.SECOND_US
NORTH_EVACUATED: dict[str, Any] = {"evacuations/north": {}}
OPERATOR_MARK: dict[str, Any] = {"marks/operator": {"number": 3}}


def known_state(items: dict[str, Any]) -> submitted_changes.KnownState:
    return submitted_changes.KnownState(
        version=9, items=items, accepted_version=0, highest_dropped_number=0, read_at_tail=True
    )


class TestChangesDoNotAffectEvacuations:
    def test_a_complete_change_does_not_readmit_a_zone(self) -> None:
        change = operator_api.parse_change({"number": 4, "built_on": 3, "blueprint": {"pools": {"p": {}}}})
        decision = submitted_changes.decide(known_state({**OPERATOR_MARK, **NORTH_EVACUATED, "pools/q": {}}), change)
        assert isinstance(decision, submitted_changes.Applicable)
        assert dict(decision.changes) == {
            "marks/operator": {"number": 4},
            "pools/p": {},
            "pools/q": None,
        }

    def test_a_change_of_named_items_does_not_readmit_a_zone(self) -> None:
        change = operator_api.parse_change({"number": 4, "built_on": 3, "upsert": {"pools": {"p": {}}}})
        decision = submitted_changes.decide(known_state({**OPERATOR_MARK, **NORTH_EVACUATED}), change)
        assert isinstance(decision, submitted_changes.Applicable)
        assert dict(decision.changes) == {"marks/operator": {"number": 4}, "pools/p": {}}

    def test_a_complete_change_that_is_already_applied_changes_nothing_during_an_evacuation(self) -> None:
        change = operator_api.parse_change({"number": 4, "built_on": 2, "blueprint": {"pools": {"p": {}}}})
        applied = {"marks/operator": {"number": 4}, "pools/p": {}, **NORTH_EVACUATED}
        assert submitted_changes.decide(known_state(applied), change) == submitted_changes.Applicable([])

    def test_a_configuration_document_neither_shows_nor_accepts_evacuations(self) -> None:
        assert "evacuations" not in configuration.unflatten({"pools/p": {}, **NORTH_EVACUATED}, with_all_kinds=True)
        with pytest.raises(configuration.InvalidConfigurationError):
            configuration.flatten({"evacuations": {"north": {}}})


class TestZoneOrders:
    def test_an_order_that_is_already_in_force_changes_nothing(self) -> None:
        assert zone_evacuation.ZoneOrder("north", True).decide(
            known_state(NORTH_EVACUATED)
        ) == submitted_changes.Committed(9)
        assert zone_evacuation.ZoneOrder("south", False).decide(
            known_state(NORTH_EVACUATED)
        ) == submitted_changes.Committed(9)

    def test_several_zones_can_be_evacuated_at_once(self) -> None:
        decision = zone_evacuation.ZoneOrder("south", True).decide(known_state(NORTH_EVACUATED))
        assert decision == submitted_changes.Applicable([("evacuations/south", {})])

    def test_an_order_whose_caller_has_gone_is_not_carried_out(self) -> None:
        decision = zone_evacuation.ZoneOrder("north", True, is_caller_waiting=lambda: False).decide(known_state({}))
        assert isinstance(decision, submitted_changes.Refused)

    @pytest.mark.parametrize("name", ["", "a" * 129, "a\nb"])
    def test_an_invalid_zone_name_is_refused(self, name: str) -> None:
        with pytest.raises(errors.ServiceError):
            zone_evacuation.parse_zone(name)


class RecordingCore:
    """A fake core machine that records the orders it gets."""

    def __init__(self) -> None:
        self.orders: list[tuple[str, bool, bool]] = []

    async def order_zone(self, order: zone_evacuation.ZoneOrder) -> int:
        self.orders.append((order.zone, order.evacuated, order.is_caller_waiting()))
        return 7

    async def read(self) -> message.ReadResponse:
        return message.ReadResponse(True, 3, {**OPERATOR_MARK, **NORTH_EVACUATED})


class TestPlatformCalls:
    def call(self, method: bytes, path: bytes) -> tuple[RecordingCore, list[tuple[int, Any]]]:
        core: Any = RecordingCore()
        answers: list[tuple[int, Any]] = []
        request: Any = types.SimpleNamespace(
            method=method,
            path=path,
            client_disconnected=False,
            answer=lambda status, body: answers.append((status, json.loads(body))),
            answer_json=lambda *answer: answers.append(answer),
        )
        refused: list[failure.Failure] = []
        defer.ensureDeferred(core_api.make_handler(core)(request)).addErrback(refused.append)
        for reason in refused:
            reason.raiseException()
        return core, answers

    @pytest.mark.parametrize(("method", "evacuated"), [(b"POST", True), (b"DELETE", False)])
    def test_the_platforms_orders_are_acknowledged(self, method: bytes, evacuated: bool) -> None:
        core, answers = self.call(method, b"/evacuation/osborne%20hall")
        assert core.orders == [("osborne hall", evacuated, True)]
        assert [status for status, _ in answers] == [200]

    def test_other_methods_are_refused(self) -> None:
        with pytest.raises(errors.ServiceError):
            self.call(b"GET", b"/evacuation/north")

    def test_the_platforms_configuration_shows_no_evacuation(self) -> None:
        _, answers = self.call(b"GET", b"/configuration")
        assert answers == [(200, {"version": 3, "channels": [], "plants": []})]


class TestCoreMachines:
    """Orders to the core machines of a simulated cluster."""

    @pytest.fixture(autouse=True)
    def start_cluster(self) -> None:
        cluster = test_operators.ClusterWithNewestNumber(8, "small", long_rate=0, short_rate=0, conversations=0)
        cluster.probing = False
        cluster.begin()
        cluster.advance(2)
        self.cluster = cluster
        self.callers = [test_operators.Caller(cluster, name) for name in cluster.cores]

    def call(self, core_index: int, method: str, path: str) -> tuple[int, dict[str, Any]]:
        answered = defer.ensureDeferred(self.callers[core_index].call(method, path))
        self.cluster.advance_until_called(answered, 4)
        status, document, _ = deferreds.result_of(answered)
        return status, document

    def zones_at_nodes(self) -> set[frozenset[str]]:
        return {node.follower.evacuated_zones for node in self.cluster.nodes.values()}

    def evacuated(self, core_index: int = 0) -> list[str]:
        zones: list[str] = self.call(core_index, "GET", "/evacuations")[1]["evacuations"]
        return zones

    def change(self, number: int, built_on: int) -> int:
        answered = defer.ensureDeferred(self.callers[1].submit(number, built_on, f"/path-{number}"))
        self.cluster.advance_until_called(answered, 4)
        return deferreds.result_of(answered)

    def test_an_acknowledged_order_is_in_force_at_every_node(self) -> None:
        assert self.call(0, "PUT", "/evacuations/north")[0] == 200
        assert self.zones_at_nodes() == {frozenset({"north"})}
        assert self.call(1, "PUT", "/evacuations/a%20b")[0] == 200
        assert self.zones_at_nodes() == {frozenset({"north", "a b"})}
        assert self.evacuated(2) == ["a b", "north"]
        assert self.call(2, "DELETE", "/evacuations/north")[0] == 200
        assert self.zones_at_nodes() == {frozenset({"a b"})}

    def test_a_repeated_order_is_acknowledged_without_a_log_entry(self) -> None:
        first = self.call(0, "PUT", "/evacuations/north")
        assert [self.call(core_index, "PUT", "/evacuations/north") for core_index in range(3)] == [first] * 3
        assert self.call(0, "DELETE", "/evacuations/south")[0] == 200

    def test_a_zone_can_be_evacuated_again(self) -> None:
        for _ in range(2):
            assert self.call(0, "PUT", "/evacuations/north")[0] == 200
            assert self.evacuated() == ["north"]
            assert self.call(1, "DELETE", "/evacuations/north")[0] == 200
            assert self.evacuated() == []

    def test_evacuations_and_numbered_changes_do_not_disturb_each_other(self) -> None:
        assert self.change(1, 0) == 200
        assert self.call(0, "PUT", "/evacuations/north")[0] == 200
        assert self.change(2, 1) == 200
        assert self.evacuated() == ["north"]
        assert self.zones_at_nodes() == {frozenset({"north"})}

    def test_a_confirmed_plan_does_not_change_evacuations(self) -> None:
        assert self.call(0, "PUT", "/evacuations/north")[0] == 200
        blueprint = self.call(1, "GET", "/blueprint")[1]["blueprint"]
        for document in (
            {"blueprint": {**blueprint, "routes": {}}},
            {"patch": [{"op": "add", "path": "/pools/more", "value": {}}]},
        ):
            planned = defer.ensureDeferred(self.callers[1].call("POST", "/plans", document))
            self.cluster.advance_until_called(planned, 4)
            plan = deferreds.result_of(planned)[1]
            assert not [key for kind in ("added", "changed", "removed") for key in plan[kind] if "evacuations" in key]
            assert self.call(2, "POST", f"/plans/{plan['id']}/confirm")[0] == 200
            assert self.evacuated() == ["north"]

    def test_concurrent_orders_and_changes_are_all_accepted(self) -> None:
        orders = [
            defer.ensureDeferred(caller.call("PUT", f"/evacuations/zone-{core_index}"))
            for core_index, caller in enumerate(self.callers)
        ]
        change = defer.ensureDeferred(self.callers[0].submit(1, 0, "/r"))
        self.cluster.advance_until(lambda: change.called and all(order.called for order in orders), 4)
        assert [deferreds.result_of(order)[0] for order in orders] == [200] * 3
        assert deferreds.result_of(change) == 200
        assert self.evacuated() == ["zone-0", "zone-1", "zone-2"]

    def test_a_readmitted_zones_workers_count_as_cold_until_the_list_can_say_how_warm_they_are(self) -> None:
        node = next(iter(self.cluster.nodes.values()))
        worker = message.ZonedWorker("i-1", "10.0.3.1", 80, "desk", "ready", zone="north")

        def is_cold() -> bool:
            return node.gateway.forwarder.cold_workers.is_cold(worker)

        assert self.call(0, "PUT", "/evacuations/north")[0] == 200
        assert not is_cold()
        assert self.call(0, "DELETE", "/evacuations/north")[0] == 200
        assert is_cold()
        self.cluster.advance(2.5)
        assert is_cold()
        self.cluster.advance(1)
        assert not is_cold()

    def test_an_acknowledged_order_outlives_a_loss_of_all_power(self) -> None:
        assert self.call(0, "PUT", "/evacuations/north")[0] == 200
        actions.blackout(self.cluster, wiped=set())
        self.cluster.advance(3)
        assert self.evacuated() == ["north"]


class TestRequestPath(request_path.RequestPath):
    """A node that selects workers itself; the zone of the workers in `evacuated` is evacuated."""

    @pytest.fixture(autouse=True)
    def evacuate_no_zone(self, start_node: None) -> None:  # noqa: ARG002 - requested so that the fixture runs first
        self.evacuated: set[str] = set()
        self.follower.accepts_requests = lambda worker: worker not in self.evacuated

    def reply(self, connection: request_path.WorkerConnection, attempt: str) -> None:
        connection.transport.write(request_path.answer(attempt, b"ok"))

    def test_nothing_is_sent_to_an_evacuated_zone(self) -> None:
        first, second = self.worker(self.reply), self.worker(self.reply)
        self.evacuated = {"i-1"}
        client = self.client()
        for number in range(8):
            self.write(client, f"a{number}")
            self.go(50)
        assert (len(first.connections), len(second.seen)) == (0, 8)
        self.evacuated = set()
        for number in range(8, 24):
            self.write(client, f"a{number}")
            self.go(50)
        assert first.seen

    def test_a_pool_whose_zones_are_all_evacuated_refuses_at_once(self) -> None:
        worker = self.worker(self.reply)
        self.evacuated = {"i-1"}
        client = self.client()
        self.write(client, "a1")
        self.go(20)
        assert client.status == 503
        retry_after = next(line for line in client.raw.lower().split(b"\r\n") if line.startswith(b"retry-after:"))
        assert float(retry_after.split(b":")[1]) < 1
        assert worker.connections == []

    def test_a_retry_goes_to_no_evacuated_zone(self) -> None:
        self.use_idempotent_route(sends=3)

        def reset(connection: request_path.WorkerConnection, _attempt: str) -> None:
            self.evacuated = {"i-1", "i-2"} - {f"i-{1 + self.workers.index(connection.worker)}"}
            connection.transport.abortConnection()

        first, second = self.worker(reset), self.worker(reset)
        client = self.client()
        self.write(client, "a1")
        self.go(500)
        assert len(first.seen) + len(second.seen) == 1
        assert client.status == 502

    def test_a_request_that_waits_for_its_connection_is_not_sent_any_more(self) -> None:
        worker = self.worker(self.reply)
        client = self.client()
        self.write(client, "a1")
        placement = self.forwarder.placement_of("desk")
        while not placement.estimate("i-1").running:  # an attempt counts as running before its connection exists
            self.world.run(self.world.time + 10)
        self.evacuated = {"i-1"}
        self.go(500)
        assert worker.seen == []
        assert client.status == 503

    def test_a_request_in_flight_continues(self) -> None:
        def reply_late(connection: request_path.WorkerConnection, attempt: str) -> None:
            self.runtime.later(200 * units.MILLISECOND_US, self.reply, connection, attempt)

        self.worker(reply_late)
        client = self.client()
        self.write(client, "a1")
        self.go(100)
        self.evacuated = {"i-1"}
        self.go(500)
        assert client.status == 200


class TestSendsByGrantOrRelay:
    """A node's check before it sends to a worker that another node chose: by a grant, or by a relayed request."""

    @pytest.fixture(autouse=True)
    def make_node(self) -> None:
        self.worker = message.Worker("i-1", "10.0.3.1", 80, "desk", "ready")
        self.accepts = True
        follower = types.SimpleNamespace(
            workers_by_id={"i-1": self.worker},
            accepts_requests=lambda _worker: self.accepts,
            needs_rejoin=lambda: False,
            has_worker_update=lambda: True,
            configuration_may_be_stale=lambda: False,
            routes={"r": configuration.Route("/", "desk")},
        )
        self.node: Any = types.SimpleNamespace(
            runtime=scheduler.Runtime(None, now=int),
            follower=follower,
            reachability=types.SimpleNamespace(unreachable_since={}),
        )

    def test_a_grant_of_an_evacuated_zones_worker_is_not_used(self) -> None:
        none: Any = None
        selector = worker_selection.WorkerSelector(self.node, none, none, none)
        request: Any = types.SimpleNamespace(pool_name="desk", http_request=types.SimpleNamespace(path=b"/x"))
        assert selector.may_send(request, self.worker)
        self.accepts = False
        assert not selector.may_send(request, self.worker)

    def test_no_relay_token_is_issued_or_redeemed_for_an_evacuated_zone(self) -> None:
        server = relay.RelayServer(self.node)
        tokens = [server.issue_token("i-1") for _ in range(2)]
        requests: list[Any] = [
            types.SimpleNamespace(requestHeaders=http_headers.Headers({edge_protocol.RELAY_HEADER: [token]}))
            for token in tokens
        ]
        assert server.redeem_token(requests[0]) is self.worker
        self.accepts = False
        assert server.redeem_token(requests[1]) is None
        assert server.issue_token("i-1") == ""


class TestPoolOwner:
    """A simulated cluster with a pool owner and workers in two zones."""

    def test_a_pool_owner_grants_no_worker_of_an_evacuated_zone(self) -> None:
        cluster = test_operators.ClusterWithNewestNumber(9, "small")
        cluster.probing = False
        cluster.begin()
        zones = {}
        for number, name in enumerate(sorted(cluster.workers)):
            zones[name] = "north" if number % 2 else "south"
            host, port = cluster.workers[name].host, addresses.WORKER_PORT
            cluster.platform.put(name, host=host, port=port, pool=cluster.pool, state="ready", zone=zones[name])
        cluster.advance(6)
        owner = cluster.owner()
        assert owner is not None
        pool_owner = owner.pool_owners[cluster.pool]
        sessions = pool_owner.records.session_table.by_worker
        assert {zones[worker] for worker, records in sessions.items() if records} == {"north", "south"}
        answered = defer.ensureDeferred(test_operators.Caller(cluster, "c1").call("PUT", "/evacuations/north"))
        cluster.advance_until_called(answered, 4)
        assert deferreds.result_of(answered)[0] == 200
        pool_owner.check_workers()  # the pool owner calls this every half second
        assert {zones[worker] for worker, records in sessions.items() if records} == {"south"}
        before = len(cluster.event_log.rows)
        with unittest.mock.patch.object(
            pool_owner.selector, "pick", side_effect=pool_owner.selector.pick, autospec=True
        ) as pick:
            cluster.advance(7)
        offered = {zones[worker.id] for call in pick.call_args_list for worker in call.args[2]}
        runs = {zones[row["worker"]] for row in cluster.event_log.rows[before:] if row["kind"] == "run"}
        assert (offered, runs) == ({"south"}, {"south"})
