"""Numbered changes: one winner of a race, the same answer said again, no refusal of what was taken."""

import loguru
import testtools

import bench.simulated_cluster as simulated_cluster
import iriswheel.chain as chain
import iriswheel.configuration as configuration
import iriswheel.message as message

S = simulated_cluster.S


def route(k):
    """A change that puts in one route."""
    return {"upsert": {"routes": {f"r{k}": {"path": f"/r/{k}", "pool": "desk"}}}}


class Changes(testtools.TestCase):
    def setUp(self):
        super().setUp()
        loguru.logger.remove()

    def quiet(self, seed=3, **more):
        t = simulated_cluster.SimulatedCluster(seed, "small", long_rate=0, short_rate=0, talks=0, **more)
        t.probing = False
        t.begin()
        t.go(1)
        return t

    def start(self, t, number, built_on, what, who="boss"):
        return t.office_mach.spawn(
            simulated_cluster.Operator(t, t.office_mach, who).number(number, built_on, what), simulated_cluster.log
        )

    def wait(self, t, *ds):
        self.assertTrue(t.until(lambda: all(d.called for d in ds), 40))
        return [d.result for d in ds]

    def items(self, t):
        self.assertTrue(t.until(lambda: t.tail() is not None, 10))
        return dict(t.tail().chain.base.items)

    def test_one_of_two_on_the_same_number_is_taken(self):
        t = self.quiet()
        number = 0
        for k in range(8):
            one, two = (self.start(t, number + j, number, route(10 * k + j), f"op{j}") for j in (3, 5))
            self.assertEqual([200, 409], sorted(self.wait(t, one, two)))
            won, lost = (3, 5) if one.result == 200 else (5, 3)
            number += won
            items = self.items(t)
            self.assertEqual(number, configuration.number(items))
            self.assertEqual((True, False), tuple(f"routes/r{10 * k + j}" in items for j in (won, lost)))

    def test_said_again_it_gives_the_same_answer_when_later_ones_were_taken(self):
        t = self.quiet()
        for number, built_on in ((4, 0), (9, 4), (10, 9)):
            self.assertEqual([200], self.wait(t, self.start(t, number, built_on, route(number))))
        n = t.tail().chain.base.n
        for number, built_on in ((4, 0), (9, 4), (10, 9)):
            self.assertEqual([200], self.wait(t, self.start(t, number, built_on, route(number))))
        self.assertEqual(n, t.tail().chain.base.n)
        self.assertEqual([409], self.wait(t, self.start(t, 9, 4, route("other"))))
        self.assertEqual([422], self.wait(t, self.start(t, 10, 10, route("other"))))
        self.assertEqual(
            [422], self.wait(t, self.start(t, 12, 10, {"upsert": {"routes": {"r": {"path": "/", "pool": "x"}}}}))
        )
        self.assertEqual([400], self.wait(t, self.start(t, 12, 10, {"upsert": {}, "blueprint": {}})))

    def test_a_lone_operator_is_never_refused_while_core_machines_die(self):
        for seed in (1, 2, 3, 4):
            t = self.quiet(seed)
            number = 0
            for k in range(6):
                d = self.start(t, number + 2, number, route(k))
                t.go(t.rng.random() * 0.1)
                victims = [t.head() or t.tail(), t.tail()][k % 2 : k % 2 + 1] if k < 4 else list(t.cores.values())
                for c in [c for c in victims if c is not None]:
                    c.proc.kill()
                t.go(0.5 + t.rng.random())
                for name in [n for n, c in t.cores.items() if not c.proc.alive]:
                    t.start_core(name, *t.options[name])
                self.assertEqual([200], self.wait(t, d), (seed, k))
                number += 2
                self.assertIn(f"routes/r{k}", self.items(t))
                t.go(2)

    def take(self, t, count):
        """Numbered changes, one after the other; returns their (number, built on, content)."""
        orders = [(k + 1, k, route(k % 3)) for k in range(count)]
        for order in orders:
            self.assertEqual([200], self.wait(t, self.start(t, *order)))
        return orders

    def test_a_taken_change_is_acknowledged_again_after_many_later_ones_and_a_fall_of_the_whole_core(self):
        self.patch(chain, "PLANS", 4)
        self.patch(chain, "KEEP", 8)
        t = self.quiet()
        orders = self.take(t, 24)
        again = [orders[k] for k in (-1, -2, -6, -20, 0)]
        self.assertEqual([200] * 5, self.wait(t, *(self.start(t, *order) for order in again)))
        for c in t.cores.values():
            c.proc.kill()
        t.go(1)
        for name in t.cores:
            t.start_core(name, *t.options[name])
        self.assertEqual([200] * 5, self.wait(t, *(self.start(t, *order) for order in again)))
        self.assertEqual([409], self.wait(t, self.start(t, 1, 0, route(9))))
        self.assertEqual(24, configuration.number(self.items(t)))

    def test_a_change_older_than_the_memory_gets_no_clear_answer(self):
        self.patch(chain, "TAKEN", 4)
        self.patch(chain, "TAKEN_SLACK", 2)
        t = self.quiet()
        orders = self.take(t, 8)
        self.assertEqual(
            [0, 200, 409],
            [
                self.wait(
                    t, t.office_mach.spawn(simulated_cluster.Operator(t, t.office_mach, "boss").number(*order, tries=3))
                )[0]
                for order in (orders[0], orders[-2], (8, 6, route(9)))
            ],
        )

    def test_eight_at_once_with_equal_ones_among_them(self):
        t = self.quiet()
        orders = [(5, 0, route(k // 2)) for k in range(8)]
        results = self.wait(t, *(self.start(t, *order) for order in orders))
        self.assertEqual([200] * 2 + [409] * 6, sorted(results))
        self.assertEqual({(200, 200), (409, 409)}, {tuple(results[k : k + 2]) for k in (0, 2, 4, 6)})

    def test_a_whole_configuration_that_stands_is_acknowledged_on_another_base(self):
        t = self.quiet()
        doc, other = t.with_probe(1), t.with_probe(2)
        self.assertEqual([200], self.wait(t, self.start(t, 4, 0, {"blueprint": doc})))
        n = t.tail().chain.base.n
        self.assertEqual([200], self.wait(t, self.start(t, 4, 3, {"blueprint": doc})))
        self.assertEqual([409], self.wait(t, self.start(t, 4, 3, {"blueprint": other})))
        self.assertEqual([409], self.wait(t, self.start(t, 5, 3, {"blueprint": doc})))
        self.assertEqual(n, t.tail().chain.base.n)

    def test_it_is_taken_where_no_node_is_there_once_their_leases_ran_out(self):
        t = self.quiet()
        lease_us = t.tail().options.lease_us
        for n in t.nodes.values():
            n.proc.kill()
        killed = t.world.time
        t.go(1)
        self.assertEqual([200], self.wait(t, self.start(t, 1, 0, route(1))))
        self.assertTrue(lease_us - S < t.world.time - killed < lease_us + S // 2)
        began = t.world.time
        self.assertEqual([200], self.wait(t, self.start(t, 2, 1, route(2))))
        self.assertLess(t.world.time - began, S // 2)

    def test_a_lone_core_machine_takes_changes_where_one_copy_is_enough(self):
        t = self.quiet(cores=1, copies=1, seats=1)
        self.assertEqual(
            [200, 200], self.wait(t, self.start(t, 1, 0, route(1))) + self.wait(t, self.start(t, 2, 1, route(2)))
        )
        c = t.cores["c1"]
        c.proc.host.fail()
        t.go(1)
        t.start_core("c1", *t.options["c1"])
        self.assertEqual([200], self.wait(t, self.start(t, 3, 2, route(3))))
        self.assertIn("routes/r1", self.items(t))


class Taken(testtools.TestCase):
    """The memory of changes that were taken."""

    def apply(self, count):
        ledger = chain.Ledger()
        for n in range(1, count + 1):
            changes = [("marks/operator", {"number": n})]
            ledger = ledger.apply(message.Entry(n, 1, "apply", f"c{n - 1}-{n}-0a", n - 1, changes))
        return ledger

    def test_it_outlives_the_plans_and_is_in_the_snapshot(self):
        ledger = self.apply(1_100)
        self.assertNotIn("c0-1-0a", ledger.plans)
        again = chain.Ledger.thaw(ledger.freeze())
        self.assertEqual(
            (1, 100, 1_100, 0), (*(again.taken[f"c{n - 1}-{n}-0a"] for n in (1, 100, 1_100)), again.forgotten)
        )
        self.assertEqual(ledger, again)

    def test_it_is_bounded(self):
        ledger = self.apply(chain.TAKEN + chain.TAKEN_SLACK + 2)
        self.assertEqual((chain.TAKEN + 1, chain.TAKEN_SLACK + 1), (len(ledger.taken), ledger.forgotten))
        self.assertLess(len(ledger.freeze()), 1 << 20)
        self.assertEqual(ledger, chain.Ledger.thaw(ledger.freeze()))

    def old(self, ledger):
        """The snapshot as format 2 had it: number, view, stamp, items and plans."""
        plans = [(k, list(p)) for k, p in sorted(ledger.plans.items())]
        return chain.pack([ledger.n, ledger.made, ledger.stamp, dict(ledger.items), plans])

    def test_a_snapshot_of_format_2_is_read(self):
        few, many = (chain.Ledger.thaw(self.old(self.apply(count))) for count in (20, 600))
        self.assertEqual((20, 0, 7), (len(few.taken), few.forgotten, few.taken["c6-7-0a"]))
        self.assertEqual((512, 88, 600), (len(many.taken), many.forgotten, configuration.number(many.items)))
