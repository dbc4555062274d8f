"""A node that reaches some of the workers only: its requests go to these, at once and without a refusal."""

import unittest.mock

from iriswheel.dataplane import worker_reach
from iriswheel.runtime import units
from iriswheel.transport import message
from simulation import host_model, process_model
from tests import request_path

OWN, OTHERS = "own-zone", ("other-zone-1", "other-zone-2", "other-zone-3")
NODE = "10.0.2.1"


class TestCutOff(request_path.RequestPath):
    """A node in a zone of two workers; three other zones have eight workers each."""

    def start_workers(self, *, listening: bool = True) -> list[request_path.ScriptedWorker]:
        """Start all workers, those of the other zones with or without a listening port; returns the others."""
        for _ in range(2):
            self.worker_in(OWN)
        if listening:
            return [self.worker_in(zone) for zone in OTHERS for _ in range(8)]
        for zone in OTHERS:
            for _ in range(8):
                self.closed_port_in(zone)
        return []

    def worker_in(self, zone: str) -> request_path.ScriptedWorker:
        worker = self.worker(self.reply)
        self.name_zone(zone)
        return worker

    def closed_port_in(self, zone: str) -> None:
        """List a worker at whose address connections are refused."""
        self.workers_started += 1
        number = self.workers_started
        host = host_model.Host(self.world, f"10.0.3.{number}", "a")
        process_model.SimulatedProcess(self.world, f"w{number}", host)
        self.follower.workers.append(message.Worker(f"i-{number}", host.host, 80, "desk", "ready", 0))
        self.name_zone(zone)

    def name_zone(self, zone: str) -> None:
        """Have the worker that was listed last be of a zone."""
        listed = self.follower.workers.pop()
        self.follower.workers.append(
            message.ZonedWorker(listed.id, listed.host, listed.port, listed.pool, listed.state, 0, zone)
        )
        self.follower.workers_by_id = {worker.id: worker for worker in self.follower.workers}

    def reply(self, connection: request_path.WorkerConnection, attempt: str) -> None:
        connection.transport.write(request_path.answer(attempt, b"ok"))

    def cut(self) -> None:
        hosts = [worker.host for worker in self.follower.workers if worker.zone != OWN]
        self.world.cut([NODE], hosts)

    def send(self, count: int, wait_ms: int, pause_ms: int = 20) -> list[int]:
        """Send requests one after another, each on a connection of its own; their status after the wait, 0 for none."""
        clients = []
        for number in range(count):
            client = self.client()
            self.write(client, f"r{self.world.time}-{number}")
            self.go(pause_ms)
            clients.append(client)
        self.go(wait_ms)
        return [client.status for client in clients]

    def test_where_most_workers_refuse_connections_the_others_serve_every_request(self) -> None:
        self.start_workers(listening=False)
        assert self.send(30, wait_ms=100) == [200] * 30

    def test_where_most_workers_are_cut_off_the_others_serve_every_request(self) -> None:
        self.start_workers()
        self.cut()
        assert self.send(30, wait_ms=2_000) == [200] * 30

    def test_few_requests_wait_for_connections_across_a_cut(self) -> None:
        self.start_workers()
        self.cut()
        self.send(10, wait_ms=500, pause_ms=100)
        assert self.forwarder.reach.hidden_zones == set(OTHERS)
        unreached = self.forwarder.counts.unreached
        assert unreached <= 4 * len(OTHERS)  # four are sent before the first of them has waited in vain
        assert self.send(100, wait_ms=30) == [200] * 100
        assert self.forwarder.counts.unreached == unreached

    def test_the_workers_are_used_again_soon_after_the_cut(self) -> None:
        others = self.start_workers()
        self.cut()
        self.send(10, wait_ms=3_000)
        self.world.heal()
        self.go(worker_reach.RETRY_US // units.MILLISECOND_US + 500)
        assert not self.forwarder.reach.unreached
        assert not self.forwarder.reach.hidden_zones
        assert self.send(200, wait_ms=100) == [200] * 200
        assert all(worker.seen for worker in others)

    def test_one_worker_out_of_reach_hides_no_zone_of_which_others_are_heard(self) -> None:
        others = self.start_workers()
        self.send(200, wait_ms=100)
        lost = self.follower.workers[2]
        self.forwarder.connections.sweep(set())
        self.world.cut([NODE], [lost.host])
        reach = self.forwarder.reach
        with unittest.mock.patch.object(reach, "check", side_effect=reach.check) as check:
            self.send(100, wait_ms=1_000)
        assert list(reach.unreached) == [lost.id]
        assert {call.args[0] for call in check.call_args_list} == {lost}  # no connection to a worker that is well
        before = [len(worker.seen) for worker in others]
        assert self.send(300, wait_ms=100) == [200] * 300
        assert [len(worker.seen) > count for worker, count in zip(others, before, strict=True)] == [False] + [True] * 23

    def test_a_silent_request_has_its_worker_looked_at_before_more_go_there(self) -> None:
        self.worker_in(OTHERS[0])
        assert self.send(1, wait_ms=100) == [200]
        self.cut()
        assert self.send(1, wait_ms=1_200) == [0]  # over the connection from before the cut: it may have run
        assert list(self.forwarder.reach.unreached) == ["i-1"]
        assert self.forwarder.counts.unreached == 0  # no request waited for a connection to find that out

    def test_a_zone_that_was_quiet_is_hidden_for_a_moment_only(self) -> None:
        self.start_workers()
        self.go(1_000)
        lost = self.follower.workers[2]
        self.world.cut([NODE], [lost.host])
        self.forwarder.reach.note_unreached(lost)
        assert self.forwarder.reach.hidden_zones == {OTHERS[0]}
        self.go(20)
        assert not self.forwarder.reach.hidden_zones

    def test_a_connection_that_was_tried_beside_requests_is_kept_for_them(self) -> None:
        worker = self.worker_in(OWN)
        self.forwarder.reach.check(self.follower.workers[0])
        self.go(50)
        assert self.send(1, wait_ms=50) == [200]
        assert len(worker.connections) == 1

    def test_a_request_that_has_tried_the_workers_within_reach_tries_the_others(self) -> None:
        self.idempotent(sends=3)
        for _ in range(2):
            self.worker(lambda connection, _attempt: connection.transport.abortConnection())
            self.name_zone(OWN)
        self.worker_in(OTHERS[0])
        self.forwarder.reach.note_unreached(self.follower.workers[-1])
        assert self.send(1, wait_ms=100) == [200]
