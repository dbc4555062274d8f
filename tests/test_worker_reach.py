"""A node that can reach only some of the workers sends its requests to these, without delays or refusals."""

import unittest.mock

from iriswheel.dataplane import worker_reach
from iriswheel.runtime import units
from iriswheel.transport import message
from simulation import host_model, process_model
from tests import request_path

OWN_ZONE, OTHER_ZONES = "own-zone", ("other-zone-1", "other-zone-2", "other-zone-3")
NODE = "10.0.2.1"


class TestPartitionedWorkers(request_path.RequestPath):
    """A node in a zone of two workers, with eight workers in each of three other zones."""

    def start_workers(self, *, listening: bool = True) -> list[request_path.ScriptedWorker]:
        """Start all workers; those of the other zones refuse connections unless `listening`.

        Returns:
            The listening workers of the other zones.
        """
        for _ in range(2):
            self.worker_in(OWN_ZONE)
        if listening:
            return [self.worker_in(zone) for zone in OTHER_ZONES for _ in range(8)]
        for zone in OTHER_ZONES:
            for _ in range(8):
                self.closed_port_in(zone)
        return []

    def worker_in(self, zone: str) -> request_path.ScriptedWorker:
        worker = self.worker(self.reply)
        self.set_zone(zone)
        return worker

    def closed_port_in(self, zone: str) -> None:
        """List a worker whose address refuses connections."""
        self.workers_started += 1
        number = self.workers_started
        host = host_model.Host(self.world, f"10.0.3.{number}", "a")
        process_model.SimulatedProcess(self.world, f"w{number}", host)
        self.follower.workers.append(message.Worker(f"i-{number}", host.address, 80, "desk", "ready", 0))
        self.set_zone(zone)

    def set_zone(self, zone: str) -> None:
        """Move the last worker of the list to a zone."""
        listed = self.follower.workers.pop()
        self.follower.workers.append(
            message.ZonedWorker(listed.id, listed.host, listed.port, listed.pool, listed.state, 0, zone)
        )
        self.follower.workers_by_id = {worker.id: worker for worker in self.follower.workers}

    def reply(self, connection: request_path.WorkerConnection, attempt: str) -> None:
        connection.transport.write(request_path.answer(attempt, b"ok"))

    def partition(self) -> None:
        hosts = [worker.host for worker in self.follower.workers if worker.zone != OWN_ZONE]
        self.world.cut([NODE], hosts)

    def send(self, count: int, wait_ms: int, pause_ms: int = 20) -> list[int]:
        """Send requests, each on a connection of its own; returns their statuses after the wait, 0 for no answer."""
        clients = []
        for number in range(count):
            client = self.client()
            self.write(client, f"r{self.world.time}-{number}")
            self.go(pause_ms)
            clients.append(client)
        self.go(wait_ms)
        return [client.status for client in clients]

    def test_if_most_workers_refuse_connections_the_others_serve_every_request(self) -> None:
        self.start_workers(listening=False)
        assert self.send(30, wait_ms=100) == [200] * 30

    def test_if_most_workers_are_partitioned_the_others_serve_every_request(self) -> None:
        self.start_workers()
        self.partition()
        assert self.send(30, wait_ms=2_000) == [200] * 30

    def test_few_requests_wait_for_connections_across_a_partition(self) -> None:
        self.start_workers()
        self.partition()
        self.send(10, wait_ms=500, pause_ms=100)
        assert self.forwarder.reach.unreachable_zones == set(OTHER_ZONES)
        unreached = self.forwarder.counts.unreached
        # Four requests are sent before the connection attempt of the first times out and shows its zone as unreachable.
        assert unreached <= 4 * len(OTHER_ZONES)
        assert self.send(100, wait_ms=30) == [200] * 100
        assert self.forwarder.counts.unreached == unreached

    def test_the_workers_are_used_again_soon_after_the_partition(self) -> None:
        others = self.start_workers()
        self.partition()
        self.send(10, wait_ms=3_000)
        self.world.heal()
        self.go(worker_reach.RETRY_US // units.MILLISECOND_US + 500)
        assert not self.forwarder.reach.unreachable_workers
        assert not self.forwarder.reach.unreachable_zones
        assert self.send(200, wait_ms=100) == [200] * 200
        assert all(worker.seen for worker in others)

    def test_one_unreachable_worker_does_not_make_a_zone_with_recent_contact_unreachable(self) -> None:
        others = self.start_workers()
        self.send(200, wait_ms=100)
        lost = self.follower.workers[2]
        self.forwarder.connections.sweep(set())
        self.world.cut([NODE], [lost.host])
        reach = self.forwarder.reach
        with unittest.mock.patch.object(reach, "check", side_effect=reach.check) as check:
            self.send(100, wait_ms=1_000)
        assert list(reach.unreachable_workers) == [lost.id]
        assert {call.args[0] for call in check.call_args_list} == {lost}  # no reachable worker was checked
        before = [len(worker.seen) for worker in others]
        assert self.send(300, wait_ms=100) == [200] * 300
        assert [len(worker.seen) > count for worker, count in zip(others, before, strict=True)] == [False] + [True] * 23

    def test_the_worker_of_a_silent_request_is_checked_without_another_request(self) -> None:
        self.worker_in(OTHER_ZONES[0])
        assert self.send(1, wait_ms=100) == [200]
        self.partition()
        # The request is sent over a connection from before the partition; it may have run, so it is not sent again.
        assert self.send(1, wait_ms=1_200) == [0]
        assert list(self.forwarder.reach.unreachable_workers) == ["i-1"]
        assert self.forwarder.counts.unreached == 0  # no request was used to test the connection

    def test_a_quiet_zone_with_one_unreachable_worker_is_soon_reachable_again(self) -> None:
        self.start_workers()
        self.go(1_000)
        lost = self.follower.workers[2]
        self.world.cut([NODE], [lost.host])
        self.forwarder.reach.note_unreachable(lost)
        assert self.forwarder.reach.unreachable_zones == {OTHER_ZONES[0]}
        self.go(20)
        assert not self.forwarder.reach.unreachable_zones

    def test_a_connection_made_in_the_background_is_kept_for_requests(self) -> None:
        worker = self.worker_in(OWN_ZONE)
        self.forwarder.reach.check(self.follower.workers[0])
        self.go(50)
        assert self.send(1, wait_ms=50) == [200]
        assert len(worker.connections) == 1

    def test_a_request_that_failed_at_all_reachable_workers_tries_the_others(self) -> None:
        self.use_idempotent_route(sends=3)
        for _ in range(2):
            self.worker(lambda connection, _attempt: connection.transport.abortConnection())
            self.set_zone(OWN_ZONE)
        self.worker_in(OTHER_ZONES[0])
        self.forwarder.reach.note_unreachable(self.follower.workers[-1])
        assert self.send(1, wait_ms=100) == [200]
