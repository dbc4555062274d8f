"""How processes stop, go on, and take in options that changed while they run; where nodes keep their sessions."""

import functools
import os
import tempfile

import loguru
import testtools
import twisted.internet.address as address
import twisted.internet.defer as defer
import twisted.internet.task as task
import twisted.internet.testing as testing

import bench.simulated_cluster as simulated_cluster
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.options as options
import iriswheel.web as web

S = simulated_cluster.S


class Connections(testtools.TestCase):
    def test_what_was_answered_goes_out_before_the_connection_ends(self):
        clock = task.Clock()
        mach = machine.Machine(clock, now=lambda: int(clock.seconds() * S), seed=1)

        async def handle(req):
            req.answer_json(200, {"whole": True})

        server = web.Server(mach, handle)
        wire = testing.StringTransport()
        wire.abortConnection = lambda: self.fail("broken off")
        channel = server.buildProtocol(address.IPv4Address("TCP", "127.0.0.1", 1))
        channel.makeConnection(wire)
        channel.dataReceived(b"GET /state HTTP/1.1\r\nHost: x\r\n\r\n")
        done = defer.ensureDeferred(server.finish(S))
        self.assertIn(b'{"whole": true}', wire.value())
        self.assertEqual((True, False), (wire.disconnecting, done.called))  # disconnecting: after what was written
        self.assertIsNone(server.buildProtocol(address.IPv4Address("TCP", "127.0.0.1", 2)))
        channel.connectionLost(testing.Failure(Exception()) if hasattr(testing, "Failure") else None)
        self.assertTrue(done.called)


class Options(testtools.TestCase):
    def test_a_changed_file_is_read_again_and_a_bad_one_is_not(self):
        loguru.logger.remove()
        clock, got = task.Clock(), []
        mach = machine.Machine(clock, now=lambda: int(clock.seconds() * S), seed=1)
        with tempfile.TemporaryDirectory() as d:
            path = os.path.join(d, "node.toml")

            def write(seeds):
                with open(path, "w") as f:
                    f.write(f'name = "n"\nhost = "127.0.0.1"\nzone = "a"\nplatform = "127.0.0.1:1"\nseeds = {seeds}\n')
                return os.utime(path, ns=(len(got), hash(seeds) % 10**9))

            write('["127.0.0.1:1"]')
            watch = options.Watch(mach, path, lambda: options.read("node", path, {}), lambda o: got.append(o.seeds))
            mach.spawn(watch.run())
            clock.advance(2)
            self.assertEqual([], got)
            write('["127.0.0.1:2"]')
            clock.advance(2)
            write('["nowhere"]')
            clock.advance(2)
            clock.advance(2)
            self.assertEqual([["127.0.0.1:2"]], got)
            write('["127.0.0.1:3"]')
            watch.again()
            clock.advance(2)
            self.assertEqual([["127.0.0.1:2"], ["127.0.0.1:3"]], got)


class Towns(testtools.TestCase):
    def setUp(self):
        super().setUp()
        loguru.logger.remove()

    def quiet(self, **more):
        t = simulated_cluster.SimulatedCluster(3, "small", long_rate=0, short_rate=0, talks=0, **more)
        t.probing = False
        t.begin()
        t.go(1)
        return t

    def test_a_node_leaves_within_its_grace_whatever_is_open(self):
        t = self.quiet(grace_us=8 * S)
        n = t.nodes["n1"]
        n.door.open += 1  # an exchange that never ends
        began = t.world.time
        done = n.mach.spawn(n.stop(), simulated_cluster.log)
        self.assertFalse(n.ready()[0])
        t.go(3.9)
        self.assertFalse(n.closing)
        t.go(0.5)
        self.assertTrue(n.closing)
        self.assertTrue(t.until(lambda: done.called, 10))
        self.assertTrue(6.5 * S < t.world.time - began < 7.5 * S)

    def test_nodes_cut_off_from_the_core_serve_on_where_told_to(self):
        for serve_on in (True, False):
            t = self.quiet(serve_on=serve_on)
            t.world.cut(t.hosts("cores"), [t.nodes["n1"].options.host])
            t.go(8)
            self.assertEqual(serve_on, t.nodes["n1"].ready()[0])
            t.world.heal()
            self.assertTrue(t.until(lambda: t.nodes["n1"].ready()[0], 5))

    def test_a_core_machine_that_stops_is_out_of_the_chain_before_it_goes(self):
        t = self.quiet()
        for at in (t.tail, t.head):
            c = at()
            began = t.world.time
            done = c.mach.spawn(c.stop(), simulated_cluster.log)
            self.assertTrue(t.until(lambda: done.called, 5))
            self.assertLess(t.world.time - began, S)
            c.proc.kill()
            others = [x for x in t.cores.values() if x is not c]
            self.assertEqual({2}, {len(x.membership.view.chain) for x in others})
            t.start_core(c.options.name, *t.options[c.options.name])
            self.assertTrue(t.until(lambda: t.tail() is not None and len(t.tail().membership.view.chain) == 3, 5))

    def stop(self, t, c):
        return c.mach.spawn(c.stop(), simulated_cluster.log)

    def test_a_core_machine_that_holds_the_only_whole_copy_stays_until_another_has_it(self):
        t = self.quiet(grace_us=8 * S)
        head = t.head()
        others = [c for c in t.cores.values() if c is not head]
        for c in others:
            c.proc.host.fail()
            c.proc.host.synced.clear()
        done = self.stop(t, head)
        t.go(4.5)
        self.assertFalse(done.called)
        for c in others:
            t.start_core(c.options.name, *t.options[c.options.name])
        t.go(3)
        self.assertFalse(done.called)  # two blank machines can't take it over: of the voters it is the only one

    def test_a_core_machine_hands_over_to_newcomers_that_are_still_catching_up(self):
        t = self.quiet(grace_us=30 * S)
        head, held = t.head(), [True]

        async def answer(msg, real):
            late = held and isinstance(msg, message.Refill)
            return message.Stored(False) if late else await real(msg)

        newcomers = []
        for c in [c for c in t.cores.values() if c is not head]:
            c.proc.host.fail()
            c.proc.host.synced.clear()
            t.start_core(c.options.name, *t.options[c.options.name])
            newcomers.append(t.cores[c.options.name])
            newcomers[-1].chain.answer = functools.partial(answer, real=newcomers[-1].chain.answer)
            ident = newcomers[-1].membership.me.id
            self.assertTrue(t.until(lambda ident=ident: ident in [x.id for x in head.membership.view.chain], 10))
        self.assertEqual(3, len(head.membership.view.chain))
        done = self.stop(t, head)
        t.go(5)
        self.assertFalse(done.called)
        self.assertFalse(any(c.chain.whole() for c in newcomers))
        held.clear()
        self.assertTrue(t.until(lambda: done.called, 5))
        self.assertTrue(all(c.chain.whole() for c in newcomers))

    def test_a_core_machine_without_which_no_majority_is_left_stays_for_its_grace(self):
        t = self.quiet(grace_us=8 * S)
        lost, leaving = t.tail(), t.head()
        lost.proc.host.fail()
        t.go(4)
        done = self.stop(t, leaving)
        t.go(4.5)
        self.assertFalse(done.called)
        lost.proc.host.synced.clear()
        t.start_core(lost.options.name, *t.options[lost.options.name])
        self.assertTrue(t.until(lambda: done.called, 3))
        leaving.proc.kill()
        self.assertTrue(t.until(lambda: t.tail() is not None and len(t.tail().membership.view.chain) == 2, 5))

    def test_a_fleet_whose_core_machines_all_stop_ends_at_once(self):
        t = self.quiet(grace_us=8 * S)
        done = [self.stop(t, c) for c in t.cores.values()]
        t.go(1)
        self.assertEqual([True] * 3, [d.called for d in done])

    def test_nodes_keep_their_session_in_their_own_zone_where_a_core_machine_serves_there(self):
        t = self.quiet(halls=["a", "a", "b", "c", "d"])
        zones = {host: zone for host, zone in (t.options[c] for c in t.cores)}
        self.assertEqual(["a", "b", "c"], sorted(zones.values()))

        def at_home():
            return all(
                n.follower.session.stands()
                and (n.options.zone == "d" or zones[n.follower.session.address[0]] == n.options.zone)
                for n in t.nodes.values()
            )

        self.assertTrue(t.until(at_home, 15))
        c = next(c for c in t.cores.values() if c.options.zone == "a")
        c.proc.kill()
        self.assertTrue(
            t.until(lambda: not at_home() and all(n.follower.session.stands() for n in t.nodes.values()), 5)
        )
        t.go(5)
        t.start_core(c.options.name, *t.options[c.options.name])
        members = set()

        def at_home_with_all():
            members.add(len(next(iter(t.nodes.values())).follower.roster.members))
            return at_home()

        self.assertTrue(t.until(at_home_with_all, 15))
        t.go(3)
        self.assertEqual({5}, members | {len(t.tail().issuer.latest.members)})
        moves = [n.follower.session.moves for n in t.nodes.values()]
        t.go(30)
        self.assertEqual(moves, [n.follower.session.moves for n in t.nodes.values()])

    def test_a_node_that_serves_on_asks_few_neighbours_for_the_core(self):
        for serve_on, most in ((True, 3), (False, 11)):
            t = self.quiet(halls=["a"] * 12, serve_on=serve_on)
            n, asked = t.nodes["n1"], []
            n.follower.mach.spawn = lambda coro, log=None: asked.append(coro) or coro.close()
            n.follower.ask_neighbours()
            self.assertEqual(most, len(asked))

    def test_nodes_without_news_of_workers_do_not_storm_the_platform(self):
        t = self.quiet(halls=["a", "b", "c", "d"] * 6, serve_on=True)
        asked = []
        handle = t.platform.handle

        async def counted(req):
            if req.path == b"/workers":
                asked.append(t.world.time)
            await handle(req)

        t.platform_proc.ports[9000].handle = counted
        for c in t.cores.values():  # nobody can hand the duty on
            c.proc.kill()
        holder = next(n for n in t.nodes.values() if n.follower.duty("list").holder == n.me.id)
        holder.proc.kill()
        del t.nodes[holder.options.name]
        t.go(2)
        del asked[:]
        t.go(10)
        self.assertTrue(all(n.follower.mach.now() - n.follower.news_at < 4 * S for n in t.nodes.values()))
        self.assertTrue(5 < len(asked) < 30, len(asked))
