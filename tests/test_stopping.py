"""How processes stop, go on, and take in options that changed while they run; where nodes keep their sessions."""

import functools
import os
import pathlib
from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet import address, defer, task, testing

from iriswheel.control import core
from iriswheel.runtime import options, scheduler, units
from iriswheel.transport import http_server, message
from simulation import simulated_cluster
from tests import conftest

S = units.SECOND_US


class TestClosingServer:
    def test_what_was_answered_goes_out_before_the_connection_ends(self) -> None:
        clock = task.Clock()
        runtime = scheduler.Runtime(clock, now=lambda: int(clock.seconds() * S), seed=1)

        async def handle(request: http_server.Request) -> None:
            request.answer_json(200, {"whole": True})

        server = http_server.Server(runtime, handle)
        wire = testing.StringTransport()
        wire.abortConnection = lambda: pytest.fail("broken off")
        channel = server.buildProtocol(address.IPv4Address("TCP", "127.0.0.1", 1))
        channel.makeConnection(wire)
        channel.dataReceived(b"GET /state HTTP/1.1\r\nHost: x\r\n\r\n")
        done = defer.ensureDeferred(server.finish(S))
        assert b'{"whole": true}' in wire.value()
        assert (wire.disconnecting, done.called) == (True, False)  # disconnecting: after what was written
        assert server.buildProtocol(address.IPv4Address("TCP", "127.0.0.1", 2)) is None
        channel.connectionLost(testing.Failure(Exception()) if hasattr(testing, "Failure") else None)
        assert done.called


class TestOptionsReadAgain:
    def test_a_changed_file_is_read_again_and_a_bad_one_is_not(self, tmp_path: pathlib.Path) -> None:
        clock, got = task.Clock(), []
        runtime = scheduler.Runtime(clock, now=lambda: int(clock.seconds() * S), seed=1)
        path = tmp_path / "node.toml"

        def write(seeds: str) -> None:
            path.write_text(f'name = "n"\nhost = "127.0.0.1"\nzone = "a"\nplatform = "127.0.0.1:1"\nseeds = {seeds}\n')
            os.utime(path, ns=(len(got), hash(seeds) % 10**9))

        write('["127.0.0.1:1"]')
        watch = options.OptionsWatch(
            runtime, str(path), lambda: options.read("node", str(path), {}), lambda o: got.append(o.seeds)
        )
        runtime.spawn(watch.run())
        clock.advance(2)
        assert got == []
        write('["127.0.0.1:2"]')
        clock.advance(2)
        write('["nowhere"]')
        clock.advance(2)
        clock.advance(2)
        assert got == [["127.0.0.1:2"]]
        write('["127.0.0.1:3"]')
        watch.reload()
        clock.advance(2)
        assert got == [["127.0.0.1:2"], ["127.0.0.1:3"]]


class TestStoppingInACluster:
    def test_a_node_leaves_within_its_grace_whatever_is_open(self, quiet_cluster: conftest.QuietCluster) -> None:
        t = quiet_cluster(grace_us=8 * S)
        n = t.nodes["n1"]
        n.gateway.open_requests += 1  # a request that never ends
        started_at = t.world.time
        done = n.runtime.spawn(n.stop(), simulated_cluster.log)
        assert not n.ready()[0]
        t.go(2.9)
        assert not n.refusing_requests
        t.go(0.5)
        assert n.refusing_requests
        assert t.until(lambda: done.called, 10)
        assert 6.5 * S < t.world.time - started_at < 7.5 * S

    @pytest.mark.parametrize("serve_on", [True, False])
    def test_nodes_cut_off_from_the_core_serve_on_where_configured(
        self, quiet_cluster: conftest.QuietCluster, serve_on: bool
    ) -> None:
        t = quiet_cluster(serve_on=serve_on)
        t.world.cut(t.hosts("cores"), [t.nodes["n1"].options.host])
        t.go(8)
        assert t.nodes["n1"].ready()[0] == serve_on
        t.world.heal()
        assert t.until(lambda: t.nodes["n1"].ready()[0], 5)

    def test_a_core_machine_that_stops_is_out_of_the_chain_before_it_goes(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        t = quiet_cluster()
        for at in (t.tail, t.head):
            c = at()
            started_at = t.world.time
            done = c.runtime.spawn(c.stop(), simulated_cluster.log)
            assert t.until(lambda done=done: done.called, 5)
            assert t.world.time - started_at < S
            c.process.kill()
            others = [x for x in t.cores.values() if x is not c]
            assert {len(x.consensus.view.chain) for x in others} == {2}
            t.start_core(c.options.name, *t.options[c.options.name])
            assert t.until(lambda: t.tail() is not None and len(t.tail().consensus.view.chain) == 3, 5)

    def stop(self, c: core.Core) -> defer.Deferred[Any]:
        return c.runtime.spawn(c.stop(), simulated_cluster.log)

    def test_a_core_machine_that_holds_the_only_synced_copy_stays_until_another_has_it(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        t = quiet_cluster(grace_us=8 * S)
        head = t.head()
        others = [c for c in t.cores.values() if c is not head]
        for c in others:
            c.process.host.fail()
            c.process.host.synced.clear()
        done = self.stop(head)
        t.go(4.5)
        assert not done.called
        for c in others:
            t.start_core(c.options.name, *t.options[c.options.name])
        t.go(3)
        assert not done.called  # two blank machines can't take it over: of the voters it is the only one

    def test_a_core_machine_hands_over_to_joining_members_that_are_still_catching_up(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        t = quiet_cluster(grace_us=30 * S)
        head, held = t.head(), [True]

        async def answer(msg: message.Message, real: Callable[..., Any]) -> message.Message:
            late = held and isinstance(msg, message.CatchUp)
            return message.AppendResponse(False) if late else await real(msg)

        joining_members = []
        for c in [c for c in t.cores.values() if c is not head]:
            c.process.host.fail()
            c.process.host.synced.clear()
            t.start_core(c.options.name, *t.options[c.options.name])
            joining_members.append(t.cores[c.options.name])
            joining_members[-1].chain.answer = functools.partial(answer, real=joining_members[-1].chain.answer)
            identifier = joining_members[-1].consensus.own_voter.id
            assert t.until(lambda identifier=identifier: identifier in [x.id for x in head.consensus.view.chain], 10)
        assert len(head.consensus.view.chain) == 3
        done = self.stop(head)
        t.go(5)
        assert not done.called
        assert not any(c.chain.is_synced() for c in joining_members)
        held.clear()
        assert t.until(lambda: done.called, 5)
        assert all(c.chain.is_synced() for c in joining_members)

    def test_a_core_machine_without_which_no_majority_is_left_stays_for_its_grace(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        t = quiet_cluster(grace_us=8 * S)
        lost, leaving = t.tail(), t.head()
        lost.process.host.fail()
        t.go(4)
        done = self.stop(leaving)
        t.go(4.5)
        assert not done.called
        lost.process.host.synced.clear()
        t.start_core(lost.options.name, *t.options[lost.options.name])
        assert t.until(lambda: done.called, 3)
        leaving.process.kill()
        assert t.until(lambda: t.tail() is not None and len(t.tail().consensus.view.chain) == 2, 5)

    def test_a_fleet_whose_core_machines_all_stop_ends_at_once(self, quiet_cluster: conftest.QuietCluster) -> None:
        t = quiet_cluster(grace_us=8 * S)
        done = [self.stop(c) for c in t.cores.values()]
        t.go(1)
        assert [d.called for d in done] == [True] * 3

    def test_nodes_keep_their_session_in_their_own_zone_where_a_core_machine_serves_there(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        t = quiet_cluster(zones=["a", "a", "b", "c", "d"])
        zones = {host: zone for host, zone in (t.options[c] for c in t.cores)}
        assert sorted(zones.values()) == ["a", "b", "c"]

        def at_home() -> bool:
            return all(
                n.follower.session.stands()
                and (n.options.zone == "d" or zones[n.follower.session.address[0]] == n.options.zone)
                for n in t.nodes.values()
            )

        assert t.until(at_home, 15)
        c = next(c for c in t.cores.values() if c.options.zone == "a")
        c.process.kill()
        assert t.until(lambda: not at_home() and all(n.follower.session.stands() for n in t.nodes.values()), 5)
        t.go(5)
        t.start_core(c.options.name, *t.options[c.options.name])
        members = set()

        def at_home_with_all() -> bool:
            members.add(len(next(iter(t.nodes.values())).follower.membership.members))
            return at_home()

        assert t.until(at_home_with_all, 15)
        t.go(3)
        assert members | {len(t.tail().membership.latest.members)} == {5}
        moves = [n.follower.session.moves for n in t.nodes.values()]
        t.go(30)
        assert [n.follower.session.moves for n in t.nodes.values()] == moves

    @pytest.mark.parametrize(("serve_on", "most"), [(True, 3), (False, 11)])
    def test_a_node_that_serves_on_queries_few_peers_for_the_core(
        self, quiet_cluster: conftest.QuietCluster, serve_on: bool, most: int
    ) -> None:
        t = quiet_cluster(zones=["a"] * 12, serve_on=serve_on)
        n, asked = t.nodes["n1"], []
        n.follower.runtime.spawn = lambda coroutine, *_log: asked.append(coroutine) or coroutine.close()
        n.follower.peer_status.query()
        assert len(asked) == most

    def test_nodes_without_updates_of_workers_do_not_storm_the_platform(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        t = quiet_cluster(zones=["a", "b", "c", "d"] * 6, serve_on=True)
        asked = []
        handle = t.platform.handle

        async def counted(request: http_server.Request) -> None:
            if request.path == b"/workers":
                asked.append(t.world.time)
            await handle(request)

        t.platform_proc.ports[9000].handle = counted
        for c in t.cores.values():  # nobody can hand the role on
            c.process.kill()
        holder = next(n for n in t.nodes.values() if n.follower.assignment("list").holder == n.me.id)
        holder.process.kill()
        del t.nodes[holder.options.name]
        t.go(2)
        del asked[:]
        t.go(10)
        assert all(n.follower.runtime.now() - n.follower.updated_at < 4 * S for n in t.nodes.values())
        assert 5 < len(asked) < 30, len(asked)
