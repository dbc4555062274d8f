"""The graceful stop of processes, the reload of options, and nodes without the core or away from their own zone."""

import functools
import os
import pathlib
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest
from twisted.internet import address, defer, error, interfaces, task, testing
from twisted.python import failure

from iriswheel import errors
from iriswheel.control import core
from iriswheel.runtime import options, scheduler, units
from iriswheel.transport import http_server, message
from simulation import simulated_cluster
from tests import conftest, optional

SECOND = units.SECOND_US


def chain_length(cluster: simulated_cluster.SimulatedCluster) -> int:
    """Return the number of replicas in the chain according to the tail; 0 without a tail."""
    tail = cluster.tail()
    return 0 if tail is None else len(optional.present(tail.consensus.view).chain)


class UnbrokenTransport(testing.StringTransport):
    """A transport that fails the test if its connection is aborted."""

    def abortConnection(self) -> None:
        """Fail the test."""
        pytest.fail("the server aborted the connection before its answer was sent")


def build_channel(server: http_server.Server, port: int) -> Any:  # noqa: ANN401 - the interface lacks the types
    """Return the server's protocol for a connection from a local port; None if the server accepts none."""
    return server.buildProtocol(cast("interfaces.IAddress", address.IPv4Address("TCP", "127.0.0.1", port)))


class TestClosingServer:
    def test_a_closing_server_sends_its_answers_before_it_closes_the_connection(self) -> None:
        clock = task.Clock()
        runtime = scheduler.Runtime(clock, now=lambda: int(clock.seconds() * SECOND), seed=1)

        async def handle(request: http_server.Request) -> None:
            request.answer_json(200, {"whole": True})

        server = http_server.Server(runtime, handle)
        wire = UnbrokenTransport()
        channel = build_channel(server, 1)
        channel.makeConnection(wire)
        channel.dataReceived(b"GET /state HTTP/1.1\r\nHost: x\r\n\r\n")
        done = defer.ensureDeferred(server.finish(SECOND))
        clock.advance(0)
        assert b'{"whole": true}' in wire.value()
        assert (wire.disconnecting, done.called) == (True, False)  # closing once the answer is sent
        assert build_channel(server, 2) is None
        channel.connectionLost(failure.Failure(error.ConnectionDone()))
        assert done.called

    # A process that was held up while it stopped closed connections on which requests had arrived before (issue 25).
    def test_a_request_that_has_arrived_before_the_close_is_answered(self) -> None:
        clock = task.Clock()
        runtime = scheduler.Runtime(clock, now=lambda: int(clock.seconds() * SECOND), seed=1)

        async def handle(request: http_server.Request) -> None:
            request.answer_error(errors.ServiceError("stopping", "The node stops."))

        server = http_server.Server(runtime, handle)
        wire = UnbrokenTransport()
        channel = build_channel(server, 1)
        channel.makeConnection(wire)
        defer.ensureDeferred(server.finish(SECOND))
        assert not wire.disconnecting
        channel.dataReceived(b"GET /state HTTP/1.1\r\nHost: x\r\n\r\n")  # read from the socket in the same turn
        clock.advance(0)
        assert wire.value().startswith(b"HTTP/1.1 503")
        assert wire.disconnecting


class TestOptionsReload:
    def test_a_changed_options_file_is_reloaded_and_an_invalid_one_is_not(self, tmp_path: pathlib.Path) -> None:
        clock = task.Clock()
        seeds_read: list[list[str]] = []
        runtime = scheduler.Runtime(clock, now=lambda: int(clock.seconds() * SECOND), seed=1)
        path = tmp_path / "node.toml"

        def write(seeds: str) -> None:
            path.write_text(f'name = "n"\nhost = "127.0.0.1"\nzone = "a"\nplatform = "127.0.0.1:1"\nseeds = {seeds}\n')
            os.utime(path, ns=(len(seeds_read), hash(seeds) % 10**9))

        write('["127.0.0.1:1"]')
        watch = options.OptionsWatch(
            runtime,
            str(path),
            lambda: options.read("node", str(path), {}),
            lambda o: seeds_read.append(o.seeds),
            options.file_version(str(path)),
        )
        runtime.spawn(watch.run())
        clock.advance(2)
        assert seeds_read == []
        write('["127.0.0.1:2"]')
        clock.advance(2)
        write('["nowhere"]')
        clock.advance(2)
        clock.advance(2)
        assert seeds_read == [["127.0.0.1:2"]]
        write('["127.0.0.1:3"]')
        watch.reload()
        clock.advance(2)
        assert seeds_read == [["127.0.0.1:2"], ["127.0.0.1:3"]]


class TestStoppingInACluster:
    def test_a_node_stops_within_its_grace_while_a_request_stays_open(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(grace_us=8 * SECOND)
        node = cluster.nodes["n1"]
        node.gateway.open_requests += 1  # a request that never ends
        started_at = cluster.world.time
        done = node.runtime.spawn(node.stop(), simulated_cluster.log)
        assert not node.ready()[0]
        cluster.advance(2.9)
        refused_before = node.refusing_requests
        cluster.advance(0.5)
        assert (refused_before, node.refusing_requests) == (False, True)
        assert cluster.advance_until(lambda: done.called, 10)
        assert 6.5 * SECOND < cluster.world.time - started_at < 7.5 * SECOND

    @pytest.mark.parametrize("serve_on", [True, False])
    def test_nodes_cut_off_from_the_core_serve_on_where_configured(
        self, quiet_cluster: conftest.QuietCluster, serve_on: bool
    ) -> None:
        cluster = quiet_cluster(serve_on=serve_on)
        cluster.world.cut(cluster.hosts("cores"), [cluster.nodes["n1"].options.host])
        cluster.advance(8)
        assert cluster.nodes["n1"].ready()[0] == serve_on
        cluster.world.heal()
        assert cluster.advance_until(lambda: cluster.nodes["n1"].ready()[0], 5)

    def test_a_stopping_core_machine_leaves_the_chain_before_it_exits(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        for at in (cluster.tail, cluster.head):
            machine = optional.present(at())
            started_at = cluster.world.time
            done = machine.runtime.spawn(machine.stop(), simulated_cluster.log)
            assert cluster.advance_until_called(done, 5)
            assert cluster.world.time - started_at < SECOND
            machine.process.kill()
            others = [other for other in cluster.cores.values() if other is not machine]
            assert {len(optional.present(other.consensus.view).chain) for other in others} == {2}
            cluster.start_core(machine.options.name, *cluster.places[machine.options.name])
            assert cluster.advance_until(lambda: chain_length(cluster) == 3, 5)

    def stop(self, machine: core.Core) -> defer.Deferred[Any]:
        return machine.runtime.spawn(machine.stop(), simulated_cluster.log)

    def test_a_core_machine_that_holds_the_only_synced_copy_stays_until_another_has_it(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(grace_us=8 * SECOND)
        head = optional.present(cluster.head())
        others = [machine for machine in cluster.cores.values() if machine is not head]
        for machine in others:
            machine.process.host.fail()
            machine.process.host.synced.clear()
        done = self.stop(head)
        cluster.advance(4.5)
        assert not done.called
        for machine in others:
            cluster.start_core(machine.options.name, *cluster.places[machine.options.name])
        cluster.advance(3)
        assert not done.called  # the head is the only voter left: two machines with empty disks can't replace it

    def test_a_stopping_core_machine_stays_until_joining_members_have_caught_up(
        self, quiet_cluster: conftest.QuietCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        cluster = quiet_cluster(grace_us=30 * SECOND)
        head, held = optional.present(cluster.head()), [True]

        async def answer(msg: message.Message, real: Callable[..., Any]) -> message.Message:
            late = held and isinstance(msg, message.CatchUp)
            return message.AppendResponse(False) if late else await real(msg)

        def is_in_chain(identifier: str) -> bool:
            return identifier in [replica.id for replica in optional.present(head.consensus.view).chain]

        joining_members = []
        for machine in [machine for machine in cluster.cores.values() if machine is not head]:
            machine.process.host.fail()
            machine.process.host.synced.clear()
            cluster.start_core(machine.options.name, *cluster.places[machine.options.name])
            joining_members.append(cluster.cores[machine.options.name])
            chain = joining_members[-1].chain
            monkeypatch.setattr(chain, "answer", functools.partial(answer, real=chain.answer))
            identifier = joining_members[-1].consensus.own_voter.id
            assert cluster.advance_until(functools.partial(is_in_chain, identifier), 10)
        assert len(optional.present(head.consensus.view).chain) == 3
        done = self.stop(head)
        cluster.advance(5)
        assert not done.called
        assert not any(machine.chain.is_synced() for machine in joining_members)
        held.clear()
        assert cluster.advance_until(lambda: done.called, 5)
        assert all(machine.chain.is_synced() for machine in joining_members)

    def test_a_core_machine_without_which_no_majority_is_left_stays_for_its_grace(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(grace_us=8 * SECOND)
        lost, leaving = optional.present(cluster.tail()), optional.present(cluster.head())
        lost.process.host.fail()
        cluster.advance(4)
        done = self.stop(leaving)
        cluster.advance(4.5)
        assert not done.called
        lost.process.host.synced.clear()
        cluster.start_core(lost.options.name, *cluster.places[lost.options.name])
        assert cluster.advance_until(lambda: done.called, 3)
        leaving.process.kill()
        assert cluster.advance_until(lambda: chain_length(cluster) == 2, 5)

    def test_a_fleet_whose_core_machines_all_stop_ends_at_once(self, quiet_cluster: conftest.QuietCluster) -> None:
        cluster = quiet_cluster(grace_us=8 * SECOND)
        stopping = [self.stop(machine) for machine in cluster.cores.values()]
        cluster.advance(1)
        assert [done.called for done in stopping] == [True] * 3

    def test_nodes_keep_their_session_in_their_own_zone_where_a_core_machine_serves_there(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(zones=["a", "a", "b", "c", "d"])
        zones = {host: zone for host, zone in (cluster.places[name] for name in cluster.cores)}
        assert sorted(zones.values()) == ["a", "b", "c"]

        def at_home() -> bool:
            return all(
                node.follower.session.is_established()
                and (
                    node.options.zone == "d"
                    or zones[optional.present(node.follower.session.address)[0]] == node.options.zone
                )
                for node in cluster.nodes.values()
            )

        assert cluster.advance_until(at_home, 15)
        machine = next(machine for machine in cluster.cores.values() if machine.options.zone == "a")
        machine.process.kill()
        assert cluster.advance_until(
            lambda: not at_home() and all(node.follower.session.is_established() for node in cluster.nodes.values()), 5
        )
        cluster.advance(5)
        cluster.start_core(machine.options.name, *cluster.places[machine.options.name])
        members = set()

        def at_home_with_all() -> bool:
            members.add(len(next(iter(cluster.nodes.values())).follower.membership.members))
            return at_home()

        assert cluster.advance_until(at_home_with_all, 15)
        cluster.advance(3)
        assert members | {len(optional.present(optional.present(cluster.tail()).membership.latest).members)} == {5}
        moves = [node.follower.session.moves for node in cluster.nodes.values()]
        cluster.advance(30)
        assert [node.follower.session.moves for node in cluster.nodes.values()] == moves

    @pytest.mark.parametrize(("serve_on", "most"), [(True, 3), (False, 11)])
    def test_a_node_that_serves_on_queries_few_peers_for_the_core(
        self, quiet_cluster: conftest.QuietCluster, monkeypatch: pytest.MonkeyPatch, serve_on: bool, most: int
    ) -> None:
        cluster = quiet_cluster(zones=["a"] * 12, serve_on=serve_on)
        node = cluster.nodes["n1"]
        asked: list[Coroutine[Any, Any, Any]] = []

        def keep(coroutine: Coroutine[Any, Any, Any], *_log: object) -> None:
            asked.append(coroutine)
            coroutine.close()

        monkeypatch.setattr(node.follower.runtime, "spawn", keep)
        node.follower.peer_status.query()
        assert len(asked) == most

    def test_nodes_without_worker_updates_do_not_overload_the_platform(
        self, quiet_cluster: conftest.QuietCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        cluster = quiet_cluster(zones=["a", "b", "c", "d"] * 6, serve_on=True)
        asked = []
        handle = cluster.platform.handle

        async def counted(request: http_server.Request) -> None:
            if request.path == b"/workers":
                asked.append(cluster.world.time)
            await handle(request)

        monkeypatch.setattr(cluster.platform_process.ports[9000], "handle", counted)
        for machine in cluster.cores.values():  # so that nobody reassigns the role of polling
            machine.process.kill()
        holder = next(
            node
            for node in cluster.nodes.values()
            if optional.present(node.follower.assignment("list")).holder == optional.present(node.member_record).id
        )
        holder.process.kill()
        del cluster.nodes[holder.options.name]
        cluster.advance(2)
        del asked[:]
        cluster.advance(10)
        assert all(
            node.follower.runtime.now() - optional.present(node.follower.updated_at) < 4 * SECOND
            for node in cluster.nodes.values()
        )
        assert 5 < len(asked) < 30, len(asked)
