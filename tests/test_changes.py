"""Numbered changes: one winner of a race, the same answer said again, no refusal of what was taken."""

import loguru
import testtools

import bench.town as town
import iriswheel.blueprint as blueprint

S = town.S


def route(k):
    """A change that puts in one route."""
    return {"upsert": {"routes": {f"r{k}": {"path": f"/r/{k}", "pool": "desk"}}}}


class Changes(testtools.TestCase):
    def setUp(self):
        super().setUp()
        loguru.logger.remove()

    def quiet(self, seed=3, **more):
        t = town.Town(seed, "small", long_rate=0, short_rate=0, talks=0, **more)
        t.probing = False
        t.begin()
        t.go(1)
        return t

    def start(self, t, number, built_on, what, who="boss"):
        return t.office_mach.spawn(town.Operator(t, t.office_mach, who).number(number, built_on, what), town.log)

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
            self.assertEqual(number, blueprint.number(items))
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

    def test_it_is_taken_where_no_node_is_there(self):
        t = self.quiet()
        for n in t.nodes.values():
            n.proc.kill()
        t.go(1)
        began = t.world.time
        self.assertEqual([200], self.wait(t, self.start(t, 1, 0, route(1))))
        self.assertLess(t.world.time - began, S)

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
