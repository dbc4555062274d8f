"""Small simulated towns, one matter each."""

import time
import unittest.mock as mock

import loguru
import testtools
import twisted.web.http_headers as http_headers

import bench.sim as sim
import bench.simulated_cluster as simulated_cluster
import iriswheel.dispatch as dispatch
import iriswheel.load as load
import iriswheel.message as message
import iriswheel.web as web

S = simulated_cluster.S


class Towns(testtools.TestCase):
    def setUp(self):
        super().setUp()
        loguru.logger.remove()

    def quiet(self, shape="small", **more):
        """A town without any load of its own."""
        t = simulated_cluster.SimulatedCluster(3, shape, long_rate=0, short_rate=0, talks=0, **more)
        t.probing = False
        t.begin()
        t.go(1)
        return t

    def ask(self, t, parts=("system",), node="n1", path="/v1/complete", body=b"hello", send=1, repeat=True, ident="x"):
        """Send one exchange; a box that will hold (status, head of the answer, its Taker)."""
        box = []
        agent = dispatch.Dispatcher(t.load.mach).fresh
        heads = http_headers.Headers(
            {
                "X-Prompt-Prefix": [", ".join(parts)],
                "X-Exchange-Id": [ident],
                "X-Send-Number": [str(send)],
                "X-May-Repeat": ["yes" if repeat else "no"],
            }
        )

        async def go():
            host, port = t.platform.nodes[node]
            res = await agent.request(b"POST", f"http://{host}:{port}{path}".encode(), heads, dispatch.Body(body))
            done = load.defer.Deferred()
            taker = load.Taker(t.load.mach, done)
            res.deliverBody(taker)
            box.append((res.code, res.headers, taker, done))

        box.append(t.load.mach.spawn(go(), simulated_cluster.log))
        return box

    def answer(self, t, **more):
        """Send one exchange and wait for its end: status, headers, body."""
        box = self.ask(t, **more)
        self.assertTrue(t.until(lambda: len(box) > 1 and box[1][3].called, 30))
        code, heads, taker, _ = box[1]
        return code, heads, b"".join(taker.raw)

    def open_sessions(self, t):
        return sum(len(rs) for rs in t.warden().wardens[t.pool].book.at.values())

    def test_a_conversation_is_released_after_a_minute_of_silence(self):
        t = self.quiet()
        self.answer(t, parts=("system", "talk"))
        t.go(57)
        self.assertEqual(1, self.open_sessions(t))
        self.answer(t, parts=("system", "talk"), node="n2")
        t.go(57)
        self.assertEqual(1, self.open_sessions(t))
        t.go(10)
        self.assertEqual(0, self.open_sessions(t))

    def test_a_prefix_that_everybody_shares_opens_no_session(self):
        t = self.quiet()
        self.answer(t, parts=("system",))
        self.assertEqual(0, self.open_sessions(t))

    def test_the_cap_refuses_at_once_until_the_earliest_expiry(self):
        doc = {
            "pools": {"desk": {"cap": 1}},
            "terms": {"default": {"lifetime_us": 30 * S}},
            "routes": {"all": {"path": "/v1", "pool": "desk"}},
        }
        t = self.quiet(blueprint=doc)
        for k in range(2):
            self.assertEqual(200, self.answer(t, parts=("system", f"talk-{k}"), ident=f"x{k}")[0])
        began = t.world.time
        code, heads, body = self.answer(t, parts=("system", "talk-2"), ident="x2")
        self.assertTrue(t.world.time - began < S)
        self.assertEqual(503, code)
        self.assertIn(b"sessions_full", body)
        self.assertTrue(25 <= int(heads.getRawHeaders("Retry-After")[0]) <= 31)

    def test_a_requester_that_goes_away_ends_the_run_at_once(self):
        t = self.quiet()
        box = self.ask(t)
        self.assertTrue(t.until(lambda: len(box) > 1 and box[1][2].first, 5))
        box[1][2].transport.stopProducing()
        t.go(0.1)
        self.assertEqual(["cut"], [r["kind"] for r in t.tape.rows if r["kind"] in ("ran", "cut")])
        t.go(1)
        self.assertEqual({}, t.warden().wardens[t.pool].grants)

    def test_a_slow_requester_slows_the_worker(self):
        t = self.quiet()
        sent = []

        async def flood(req):
            if req.method == b"GET":
                req.answer_json(200, {"running": 0, "queued": 0})
                return
            for _ in range(200):
                while req.channel.transport.producer_held:
                    await t.load.mach.sleep(10_000)
                req.write(b"x" * 16_384)
                sent.append(16_384)
            req.finish()

        for w in t.workers.values():
            w.proc.ports.clear()
            t.listen(w.proc, 9001, web.Server(w.mach, flood))
        held = sim.Side.producer_held = property(lambda side: side.producer_paused or side.flying > sim.WINDOW)
        self.addCleanup(lambda: delattr(sim.Side, "producer_held"))
        self.assertIsNotNone(held)
        box = self.ask(t)
        self.assertTrue(t.until(lambda: len(box) > 1 and box[1][2].first, 5))
        box[1][2].transport.pauseProducing()
        t.go(5)
        self.assertTrue(sum(sent) < 12 * sim.WINDOW)
        box[1][2].transport.resumeProducing()
        self.assertTrue(t.until(lambda: box[1][3].called, 30))
        self.assertEqual(200 * 16_384, sum(map(len, box[1][2].raw)))

    def test_jumps_of_the_wall_clock_change_nothing(self):
        tapes = []
        for jump in (0, 10**6, -(10**6)):
            real = time.time
            with mock.patch.object(time, "time", lambda: real() + jump * (real() % 1)):
                t = simulated_cluster.SimulatedCluster(5, "small", seconds=5)
                t.begin()
                t.end()
            tapes.append(t.tape.text())
        self.assertTrue(len(tapes[0]) > 1000)
        self.assertEqual([tapes[0]] * 3, tapes)

    def test_new_terms_hold_for_an_open_conversation(self):
        t = self.quiet()
        self.answer(t, parts=("system", "talk"))
        doc = t.with_probe(1)
        doc["terms"]["default"]["lifetime_us"] = 10 * S
        done = t.office_mach.spawn(t.boss.change(doc), simulated_cluster.log)
        self.assertTrue(t.until(lambda: done.called, 10))
        self.answer(t, parts=("system", "talk"))
        t.go(17)
        self.assertEqual(0, self.open_sessions(t))

    def test_a_route_of_another_hall_is_not_known_here(self):
        doc = {
            "pools": {"desk": {}},
            "terms": {"default": {}},
            "routes": {"all": {"path": "/v1", "pool": "desk"}, "far": {"path": "/far", "pool": "desk", "zones": ["d"]}},
        }
        t = self.quiet("magnolia", blueprint=doc)
        self.assertEqual(404, self.answer(t, path="/far", node="n1")[0])
        self.assertEqual(200, self.answer(t, path="/far", node="n6")[0])
        self.assertNotIn("routes/far", t.nodes["n1"].follower.items)

    def test_a_node_without_a_blueprint_is_not_ready_and_says_not_run(self):
        t = self.quiet()
        t.world.cut(["10.0.2.7"], t.hosts("cores"))
        t.start_node("n7", "10.0.2.7", "a")
        t.go(3)
        self.assertFalse(t.platform.told["n7"])
        code, _, body = self.answer(t, node="n7")
        self.assertEqual((503, True, True), (code, b"not_ready" in body, b"not_run" in body))

    def test_one_working_disk_takes_no_change(self):
        t = self.quiet()
        for name in ("c2", "c3"):
            t.cores[name].proc.host.disk = "full"
        done = t.office_mach.spawn(t.boss.change(t.with_probe(1)), simulated_cluster.log)
        t.go(8)
        self.assertFalse(done.called)
        code, may = self.plan_refused(t)
        self.assertEqual((True, "not_run"), (code in ("too_few_copies", "no_chain"), may))
        for name in ("c2", "c3"):
            t.cores[name].proc.host.mend()
        self.assertTrue(t.until(lambda: done.called, 20))
        self.assertTrue(done.result > 0)

    def test_a_machine_that_alone_promised_does_not_break_the_chain_for_good(self):
        t = self.quiet()
        head = t.head()
        number = head.membership.view.number + 1
        c = head.membership
        c.grant = ("", 0)  # as after a short cut, in which its grant ran out
        t.office_mach.spawn(c.answer(message.Prepare(number, (1, c.me.id), c.me.id)), simulated_cluster.log)
        t.go(0.1)
        self.assertTrue(c.sealed())
        done = t.office_mach.spawn(t.boss.change(t.with_probe(1)), simulated_cluster.log)
        self.assertTrue(t.until(lambda: done.called, 5))
        self.assertTrue(done.result > 0)

    def plan_refused(self, t):
        """Code and verdict that a plan gets now."""
        got = []

        async def go():
            _, doc = await t.boss.ask("POST", "/plans", {"blueprint": t.with_probe(9)})
            got.extend([doc["code"], doc["verdict"]])

        d = t.office_mach.spawn(go(), simulated_cluster.log)
        self.assertTrue(t.until(lambda: d.called, 10))
        return got

    def test_a_late_ask_that_was_given_up_gets_no_grant(self):
        t = self.quiet()
        n = t.warden()
        w = n.wardens[t.pool]
        w.release("late-ask", simulated_cluster.node.verdict.Verdict.NOT_RUN)
        msg = simulated_cluster.node.message.Elect(
            t.pool,
            w.duty.term,
            "n1",
            "late-ask",
            "e1",
            1,
            False,
            "",
            [],
            20,
            False,
            [],
            {"lifetime_us": S, "cost": 1},
            S,
        )
        d = n.mach.spawn(w.elect(msg), simulated_cluster.log)
        t.go(1)
        self.assertEqual("no_warden", d.result.code)
        self.assertEqual({}, w.claims)

    def test_a_claim_of_a_grant_that_came_too_late_is_given_back(self):
        t = self.quiet()
        n = t.warden()
        w = n.wardens[t.pool]
        w.claims["e1"] = simulated_cluster.node.warden.Claim(
            "e1", 1, "n1", "old-ask", t.world.time + 600 * S
        )  # as gathered
        w.release("old-ask", simulated_cluster.node.verdict.Verdict.NOT_RUN)
        self.assertEqual(200, self.answer(t, ident="e1", repeat=False)[0])
        code, _, body = self.answer(t, ident="e1", repeat=False, send=2, node="n2")
        self.assertEqual((409, True), (code, b'"ran"' in body))

    def test_an_old_warden_gets_no_copy_taken(self):
        t = self.quiet("magnolia")
        n = t.warden()
        old = n.wardens[t.pool]
        holder = next(m for m in t.nodes.values() if m.me.id == old.duty.copies[0])
        holder.session_replica(t.pool).fence((old.duty.term[0], old.duty.term[1] + 1))
        d = n.mach.spawn(
            old.copy(simulated_cluster.node.message.Copy(t.pool, old.duty.term, n.me.id, [], [], [])),
            simulated_cluster.log,
        )
        t.go(1)
        self.assertEqual((False, False), (d.result, old.live()))

    def test_a_pool_is_new_to_its_first_warden_however_often_that_one_asks(self):
        t = self.quiet()
        core = t.tail()

        def had_a_warden(term):
            asked = core.mach.spawn(core.gathered(message.Gather("new", term, "n1")), simulated_cluster.log)
            t.go(0.1)
            self.assertTrue(asked.result.ok)
            return asked.result.copy

        self.assertEqual([False, False, True, True], [had_a_warden((9, k)) for k in (1, 1, 2, 3)])

    def test_news_does_not_break_off_a_question_to_the_core_machines(self):
        t = self.quiet()
        n, core = t.nodes["n1"], t.tail()
        asked = n.mach.spawn(
            n.peers.call(core.options.host, core.options.port, message.Gather("new", (9, 1), "n1"), S),
            simulated_cluster.log,
        )
        n.on_news()
        t.go(0.5)
        self.assertTrue(asked.result.ok)
        n.on_news()
        self.assertTrue(n.peers.links[(core.options.host, core.options.port)].up)

    def test_a_term_that_a_lost_roster_had_passed_is_replaced(self):
        t = self.quiet("magnolia")
        for who in ("copy", "holder"):
            duty = t.warden().wardens[t.pool].duty
            name = duty.holder if who == "holder" else duty.copies[0]
            n = next(m for m in t.nodes.values() if m.me.id == name)
            newer = (duty.term[0], t.tail().issuer.latest.stamp[1] + 1)  # of a roster that nobody kept
            n.serve(None, simulated_cluster.node.message.Gather(t.pool, newer, "somebody"))
            self.assertEqual(200, self.answer(t, ident=who, repeat=False, node="n1")[0])

    def test_a_thawed_tail_answers_nothing_on_its_old_lease(self):
        t = self.quiet()
        tail = t.tail()
        tail.proc.freeze()
        t.go(4)
        tail.proc.frozen = False  # it runs again, before it has heard anything
        self.assertFalse(tail.membership.leased())
        self.assertFalse(tail.chain.look(simulated_cluster.node.message.Look(1)).ok)
        self.assertFalse(tail.serving())

    def test_versions_that_are_two_steps_apart_do_not_talk(self):
        t = self.quiet()
        ours = t.nodes["n1"].mach.version
        for name, version in (("n8", ours + 1), ("n9", ours + 2)):
            t.versions[name] = version
            t.start_node(name, f"10.0.2.{name[1]}", "a")
        t.go(5)
        self.assertEqual((True, False), (t.platform.told["n8"], t.platform.told["n9"]))
        self.assertEqual(200, self.answer(t, node="n8")[0])
        self.assertNotIn("n9", [m.name for m in t.nodes["n1"].follower.roster.members])

    def test_an_older_program_refuses_a_newer_data_folder(self):
        t = self.quiet()
        c = t.cores["c1"]
        c.proc.kill()
        c.proc.host.synced[b"format"] = b"99"
        self.assertRaises(simulated_cluster.core.store.DiskError, t.start_core, "c1", *t.options["c1"])

    def test_open_plans_are_bounded_by_their_bytes(self):
        t = self.quiet()
        chain = t.head().chain
        pad = [["terms/t", {"pad": "x" * (1 << 20)}]]
        for k in range(40):
            d = t.head().mach.spawn(
                chain.propose(
                    simulated_cluster.node.message.Propose(
                        t.head().membership.view.number, "plan", f"2-{k}", chain.tip.stamp, pad
                    )
                ),
                simulated_cluster.log,
            )
            self.assertTrue(t.until(lambda: d.called, 5))
        t.go(2)
        self.assertTrue(sum(p.size for p in chain.tip.plans.values()) <= 16 << 20)
        self.assertTrue(sum(map(len, t.head().proc.host.synced.values())) < 120 << 20)

    def test_a_thawed_node_elects_nothing_before_it_has_rejoined(self):
        t = self.quiet()
        n = t.nodes["n1"]
        n.proc.freeze()
        t.go(4)
        n.proc.frozen = False
        self.assertFalse(n.follower.settled())
        self.assertEqual((False, "rejoining"), n.ready())
