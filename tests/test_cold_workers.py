"""In any second, the requests of all nodes together to a cold worker stay below the rate that it sustains."""

import types
from typing import Any

import pytest

from iriswheel.configuration import configuration
from iriswheel.dataplane import cold_workers, placement
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message
from tests import request_path

SECOND = units.SECOND_US
STEP_US = 10 * units.MILLISECOND_US
RATE = 16.0
BOUND = 29  # requests allowed in any second of a partition: 1.5 times the rate of 16 per second, plus 5
ZONES = ("north", "south", "west")
POOL = configuration.Pool(election="node", cold_rate=RATE)


def member(name: str, zone: str, life: int = 1) -> message.Member:
    return message.Member(f"{name}-{life}", name, zone, "h", 1, 2)


def worker(name: str, zone: str, *, cold: bool) -> message.Worker:
    return message.ZonedWorker(name, "h", 80, "desk", "ready", 0, zone, cold)


class Prompt:
    """A prompt of a single part."""

    def __init__(self) -> None:
        self.sizes = [40]


class FleetNode:
    """The worker selection of one node, with its view of the fleet."""

    def __init__(self, test: "Nodes", name: str) -> None:
        self.name = name
        self.fleet: Any = types.SimpleNamespace(
            workers=[],
            workers_by_id={},
            membership=types.SimpleNamespace(members=[]),
            accepts_requests=lambda worker: self.fleet.workers_by_id[worker].state == "ready",
        )
        self.runtime = scheduler.Runtime(None, now=lambda: test.now, seed=len(test.nodes))
        self.start()

    def start(self) -> None:
        """Start or restart the process: all state of a former process is lost."""
        self.cold = cold_workers.ColdWorkers(self.runtime, self.name, self.fleet)
        self.placement = placement.Placement(self.runtime, "desk")

    def update_view(self, members: list[message.Member], workers: list[message.Worker]) -> None:
        self.fleet.membership = types.SimpleNamespace(members=members)
        self.fleet.workers = workers
        self.fleet.workers_by_id = {listed.id: listed for listed in workers}

    def pick(self, key: bytes = b"") -> str:
        """Return the worker selected for a request, "" if there is none."""
        candidates = self.cold.candidates("desk", POOL)
        chosen, _ = self.placement.pick(
            Prompt(),
            [key] if key else [],
            40,
            candidates.ready,
            pool=POOL,
            excluded_workers=set(),
            cold_workers=candidates.cold,
        )
        return chosen

    def send(self, key: bytes = b"") -> str:
        """Send a request; returns its worker, or "" if this node may not send to any."""
        chosen = self.pick(key)
        if not chosen or not self.cold.start_send(self.fleet.workers_by_id[chosen], POOL):
            return ""
        return chosen


class Nodes:
    """63 nodes in three zones, and the times at which requests were sent to each worker."""

    @pytest.fixture(autouse=True)
    def make_nodes(self) -> None:
        self.now = 100 * SECOND
        self.nodes: list[FleetNode] = []
        self.sends: dict[str, list[int]] = {}
        self.members = [member(f"node-{number}", ZONES[number % 3]) for number in range(63)]
        self.nodes = [FleetNode(self, listed.name) for listed in self.members]

    def update_view(self, workers: list[message.Worker]) -> None:
        for node in self.nodes:
            node.update_view(self.members, workers)

    def send_for(self, seconds: float) -> None:
        """Let each node send one request per step of ten milliseconds."""
        until = self.now + int(seconds * SECOND)
        while self.now < until:
            for node in self.nodes:
                chosen = node.send()
                if chosen:
                    self.sends.setdefault(chosen, []).append(self.now)
            self.now += STEP_US

    def max_sends_per_second(self, name: str) -> int:
        times = self.sends.get(name, [])
        return max((sum(start <= at < start + SECOND for at in times) for start in times), default=0)


class TestBoundOverAllNodes(Nodes):
    def test_a_cold_worker_gets_a_third_of_its_rate_from_all_nodes_together(self) -> None:
        self.update_view([worker("w1", "north", cold=True)])
        self.send_for(4)
        assert 0.26 * RATE * 4 <= len(self.sends["w1"]) <= RATE / 3 * 4 + cold_workers.SENDERS
        assert self.max_sends_per_second("w1") <= RATE / 3 + cold_workers.SENDERS

    def test_two_groups_of_nodes_that_disagree_about_the_members_stay_below_the_bound(self) -> None:
        workers = [worker("w1", "north", cold=True)]
        for node, own in zip(self.nodes, self.members, strict=True):
            side = [other for other in self.members if (other.zone == "north") == (own.zone == "north")]
            node.update_view(side, workers)
        self.send_for(4)
        assert 0.5 * RATE < self.max_sends_per_second("w1") <= RATE * 2 / 3 + 2 * cold_workers.SENDERS < BOUND

    def test_nodes_of_each_zone_send_to_the_cold_workers_of_their_own_zone(self) -> None:
        workers = [worker("w1", "north", cold=True), worker("w2", "south", cold=True)]
        self.update_view(workers)
        self.send_for(2)
        assert {zone: len(self.sends[name]) > RATE / 3 for name, zone in (("w1", "north"), ("w2", "south"))} == {
            "north": True,
            "south": True,
        }
        for listed in workers:
            zones = {other.zone for other in self.members if other.name in self.senders(listed)}
            assert zones == {listed.zone}

    def senders(self, listed: message.Worker) -> list[str]:
        return [node.name for node in self.nodes if node.cold.state()["workers"].get(listed.id)]

    def test_restarts_of_all_nodes_keep_the_senders_and_the_rate(self) -> None:
        workers = [worker("w1", "north", cold=True)]
        self.update_view(workers)
        self.send_for(1)
        before = self.senders(workers[0])
        for _ in range(4):  # every 250 ms all nodes restart under new ids
            self.members = [message.Member(f"{old.id}1", old.name, old.zone, "h", 1, 2) for old in self.members]
            for node in self.nodes:
                node.start()
            self.update_view(workers)
            self.send_for(0.25)
        assert self.senders(workers[0]) == before
        self.send_for(1)
        assert self.max_sends_per_second("w1") <= RATE / 3 + cold_workers.SENDERS

    def test_a_sender_that_leaves_is_replaced(self) -> None:
        workers = [worker("w1", "north", cold=True)]
        self.update_view(workers)
        before = self.senders(workers[0])
        self.members = [listed for listed in self.members if listed.name != before[0]]
        self.nodes = [node for node in self.nodes if node.name != before[0]]
        self.update_view(workers)
        after = self.senders(workers[0])
        assert len(after) == cold_workers.SENDERS
        assert len(set(after) - set(before)) == 1

    def test_the_rate_stays_below_the_bound_while_members_join_one_by_one(self) -> None:
        workers = [worker("w1", "north", cold=True)]
        members = self.members
        for count in range(1, len(members) + 1):
            self.members = members[:count]
            self.update_view(workers)
            self.send_for(0.05)
        assert self.max_sends_per_second("w1") < BOUND

    def test_a_worker_that_is_warm_again_has_no_bound(self) -> None:
        self.update_view([worker("w1", "north", cold=True)])
        self.send_for(1)
        self.update_view([worker("w1", "north", cold=False)])
        self.send_for(1)
        assert self.max_sends_per_second("w1") == 63 * 100

    def test_a_pool_whose_cold_rate_is_unknown_has_no_bound(self) -> None:
        node = self.nodes[0]
        self.update_view([worker("w1", "north", cold=True)])
        assert node.cold.candidates("desk", configuration.Pool()).ready == ["w1"]
        assert node.cold.start_send(node.fleet.workers_by_id["w1"], configuration.Pool())


class TestSelection(Nodes):
    def warm_and_cold_workers(self) -> list[message.Worker]:
        return [worker(f"w{number}", "north", cold=number < 3) for number in range(9)]

    def test_cold_workers_get_no_requests_while_warm_workers_are_idle(self) -> None:
        self.update_view(self.warm_and_cold_workers())
        self.send_for(0.5)
        assert set(self.sends) == {f"w{number}" for number in range(3, 9)}

    def test_cold_workers_are_used_if_the_warm_workers_are_busy(self) -> None:
        self.update_view(self.warm_and_cold_workers())
        for node in self.nodes:
            node.placement.apply_remote_loads(
                [(f"w{number}", 500, 100_000, 0) for number in range(3, 9)], complete=True
            )
        self.send_for(1)
        assert all(self.sends[f"w{number}"] for number in range(3))

    def test_all_nodes_agree_on_the_home_of_a_shared_part(self) -> None:
        workers = self.warm_and_cold_workers()
        self.update_view(workers)
        self.send_for(0.01)
        self.now += SECOND  # after this the initial wait of the senders is over
        for number in range(30):
            keys = placement.prefix_keys([f"guide-{number}", "letter"])
            assert len({self.home(node, keys) for node in self.nodes}) == 1

    def home(self, node: FleetNode, keys: list[bytes]) -> str:
        candidates = node.cold.candidates("desk", POOL)
        prompt = types.SimpleNamespace(sizes=[9_000, 40])
        chosen, _ = node.placement.pick(
            prompt,
            keys,
            40,
            candidates.ready,
            pool=POOL,
            excluded_workers=set(),
            cold_workers=candidates.cold,
        )
        return chosen

    def test_sessions_move_from_a_worker_that_became_cold_except_at_its_senders(self) -> None:
        workers = [worker(f"w{number}", "north", cold=False) for number in range(9)]
        self.update_view(workers)
        key, terms = b"conversation", configuration.Terms()
        for node in self.nodes:
            for _ in range(2):
                node.placement.note_turn(key, "w0", terms, 10)
        assert {node.pick(key) for node in self.nodes} == {"w0"}
        self.update_view([worker("w0", "north", cold=True), *workers[1:]])
        assert not {node.pick(key) for node in self.nodes} & {"w0", ""}
        self.now += SECOND
        assert [node.send(key) for node in self.nodes].count("w0") == cold_workers.SENDERS
        assert not {node.pick(key) for node in self.nodes} & {"w0", ""}

    def test_a_second_turn_is_not_sent_to_a_worker_that_became_cold(self) -> None:
        workers = [worker(f"w{number}", "north", cold=False) for number in range(9)]
        self.update_view(workers)
        key = b"conversation"
        for node in self.nodes:
            node.placement.note_turn(key, "w0", configuration.Terms(), 10)
        self.update_view([worker("w0", "north", cold=True), *workers[1:]])
        assert "w0" not in {node.send(key) for node in self.nodes}

    def test_workers_of_a_zone_treated_as_cold_are_limited_until_the_time_is_over(self) -> None:
        self.update_view([worker("w1", "north", cold=False), worker("w2", "south", cold=False)])
        for node in self.nodes:
            node.cold.treat_zone_as_cold("north", self.now + 3 * SECOND)
        self.send_for(2.9)
        assert self.max_sends_per_second("w1") <= RATE / 3 + cold_workers.SENDERS
        assert len(self.sends["w2"]) > 1000
        for node in self.nodes:
            node.cold.sweep()
        self.send_for(1)
        assert self.max_sends_per_second("w1") > 1000

    def test_a_later_call_with_a_shorter_time_does_not_shorten_the_cold_time_of_a_zone(self) -> None:
        node = self.nodes[0]
        self.update_view([worker("w1", "north", cold=False)])
        node.cold.treat_zone_as_cold("north", self.now + 3 * SECOND)
        node.cold.treat_zone_as_cold("north", self.now + 1 * SECOND)
        self.now += 2 * SECOND
        assert node.cold.is_cold(node.fleet.workers[0])

    def test_the_state_shows_cold_workers_their_senders_and_counts(self) -> None:
        self.update_view(self.warm_and_cold_workers())
        states = [node.cold.state() for node in self.nodes]
        assert all(sorted(state["workers"]) == ["w0", "w1", "w2"] for state in states)
        assert sum(state["workers"]["w0"] for state in states) == cold_workers.SENDERS
        self.update_view([worker("w1", "north", cold=True)])
        self.send_for(1)
        assert sum(node.cold.state()["sent"] for node in self.nodes) == len(self.sends["w1"])
        assert sum(node.cold.state()["held_back"] for node in self.nodes) > 1000


class TestForwarding(request_path.RequestPath):
    """Requests through the forwarder of one node, which is a sender of each cold worker."""

    def list_workers(self, *cold: bool) -> None:
        """Replace the worker list by one worker for each argument, which says whether it is cold."""
        self.follower.membership = types.SimpleNamespace(members=[member("n1", "a")])
        self.follower.workers = [
            message.ZonedWorker(f"i-{number}", f"10.0.3.{number}", 80, "desk", "ready", 0, "a", is_cold)
            for number, is_cold in enumerate(cold, 1)
        ]
        self.follower.workers_by_id = {listed.id: listed for listed in self.follower.workers}

    @pytest.fixture(autouse=True)
    def bound_cold_workers(self, start_without_workers: None) -> None:  # noqa: ARG002 - requested so that it runs first
        self.pool = configuration.Pool(election="node", cold_rate=RATE)

    def test_if_all_workers_are_cold_requests_beyond_the_rate_are_refused_at_once(self) -> None:
        scripted = self.worker(request_path.answer_correctly)
        self.list_workers(True)
        clients = [self.query(f"a{number}", ms=30) for number in range(60)]
        refused = [client for client in clients if client.status == 503]
        assert len(scripted.seen) <= RATE / 3 * 60 * 0.04 + 1
        assert len(scripted.seen) >= 8
        assert len(refused) == 60 - len(scripted.seen)
        assert all(b"Retry-After: 0." in client.raw for client in refused)

    def test_a_retry_is_not_sent_to_a_cold_worker_before_its_interval_is_over(self) -> None:
        def turn_away(connection: request_path.WorkerConnection, attempt: str) -> None:
            connection.transport.write(request_path.answer(attempt, status=421))

        self.worker(turn_away)
        cold = self.worker(request_path.answer_correctly)
        self.list_workers(False, True)
        clients = [self.query(f"a{number}", ms=5) for number in range(6)]
        assert cold.seen == []
        assert all(client.status == 503 and b"turned it away" in client.raw for client in clients)
        assert self.forwarder.counts.retried == 0

    def test_no_connection_is_made_to_a_cold_worker_before_its_interval_is_over(self) -> None:
        for _ in range(5):
            self.worker(request_path.answer_correctly)
        self.list_workers(False, True, True, True, True)
        self.forwarder.placement_of("desk").apply_remote_loads([("i-1", 20, 20_000, 0)], complete=True)
        client = self.query("a1")
        assert client.status == 200
        assert [len(scripted.connections) for scripted in self.workers] == [1, 0, 0, 0, 0]

    def test_of_two_concurrent_requests_that_selected_a_cold_worker_only_one_is_sent(self) -> None:
        cold = self.worker(request_path.answer_correctly)
        self.list_workers(True)
        self.query("a0", ms=500)  # refused: it only starts the sender's initial wait
        clients = [self.client() for _ in range(2)]
        for number, client in enumerate(clients):
            self.write(client, f"b{number}")
        self.go(50)
        assert len(cold.seen) == 1
        assert sorted(client.status for client in clients) == [200, 503]
        assert self.forwarder.state()["cold"]["sent"] == 1

    def test_a_worker_that_becomes_cold_while_its_connection_is_made_gets_no_request(self) -> None:
        scripted = self.worker(request_path.answer_correctly)
        self.list_workers(False)
        client = self.client()
        self.write(client, "a1")
        get_connection = self.forwarder.connections.get

        async def list_as_cold_then_get(*arguments: Any) -> Any:  # noqa: ANN401 - as of ConnectionPool.get
            connection = await get_connection(*arguments)
            self.list_workers(True)
            return connection

        self.forwarder.connections.get = list_as_cold_then_get  # type: ignore[method-assign, assignment]
        self.go(50)
        assert scripted.seen == []
        assert client.status == 503
