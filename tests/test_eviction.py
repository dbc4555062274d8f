"""Evictions: samples judged against noise, told from first readings over all nodes, and acted on alike everywhere."""

import random
import types

import loguru
import testtools

import bench.site as site
import iriswheel.eviction as eviction
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.placement as placement

S, MS = machine.SECOND, machine.MILLI
WORKERS = ("w1", "w2", "w3")
SCAN, DESK = "scan.example/", "desk.example/"


def took(rng, hit, waiting, own, shared):
    """A first event as a worker might give it: its speed, its queue and its steps vary."""
    speed = placement.READ_RATE * (0.93 + 0.14 * rng.random())
    read = (own + (0 if hit else shared)) * 1000 / speed
    looks = (own + (0 if hit else shared)) * (own + shared) / 1e6 * 320  # each token looks at those before it
    return waiting * (0.8 + 0.4 * rng.random()) + read + looks + 50_000 + rng.uniform(-15_000, 25_000)


class Judgement(testtools.TestCase):
    def test_noise_makes_no_hit_a_miss_and_no_miss_a_hit(self):
        rng, got = random.Random(1), {}
        for k in range(4_000):
            hit, waiting = k % 2 == 0, rng.choice([0, 0, 30_000, 100_000, 400_000])
            own, shared = rng.randrange(100, 6_000), rng.randrange(6_000, 27_000)
            said = eviction.judge(took(rng, hit, waiting, own, shared), waiting, own, shared, 50_000)
            got.setdefault((hit, waiting), []).append(said)
        for (hit, waiting), said in got.items():
            self.assertEqual(0, said.count("miss" if hit else "hit"))
        for hit, name in ((True, "hit"), (False, "miss")):
            self.assertGreater(got[hit, 0].count(name), 0.8 * len(got[hit, 0]))

    def test_a_queue_that_was_not_known_of_is_no_miss(self):
        for queue in (900 * MS, 2 * S):
            self.assertEqual("", eviction.judge(queue + 80 * MS, 0, 1_000, 13_300, 50 * MS))

    def test_a_queue_that_was_overrated_hides_no_hit(self):
        self.assertEqual("hit", eviction.judge(90 * MS, 2 * S, 1_000, 13_300, 50 * MS))


def rows(*some, now=100 * S):
    """Readings of rows (worker, key, miss, sent in s, took in ms)."""
    return message.Readings("p", [
        (w, k, DESK, 10_000, miss, (now - int(sent * S)) // 1000, (now - int(sent * S)) // 1000 - ms)
        for w, k, miss, sent, ms in some], [])


class Ledgers(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.led = eviction.Ledger("p")
        self.led.take(rows(now=0), 0)

    def take(self, *some):
        self.led.take(rows(*some), 100 * S)
        return sum(self.led.total.values())

    def test_a_first_reading_is_none_whichever_node_has_it(self):
        firsts = [(w, k, True, 90, 300) for w, k in (("w1", b"a"), ("w2", b"a"), ("w1", b"b"))]
        self.assertEqual(0, self.take(*firsts))

    def test_another_nodes_later_miss_is_an_eviction(self):
        self.take(("w1", b"a", True, 90, 300))
        self.assertEqual(10_000, self.take(("w1", b"a", True, 95, 300)))

    def test_two_at_once_are_first_readings_in_whichever_order_they_are_told(self):
        self.assertEqual(0, self.take(("w1", b"a", True, 90.2, 400)) + self.take(("w1", b"a", True, 90, 300)))

    def test_a_miss_after_long_disuse_is_none(self):
        self.take(("w1", b"a", True, 20, 300))
        self.assertEqual(0, self.take(("w1", b"a", True, 95, 300)))

    def test_memory_is_bounded(self):
        for k in range(eviction.KNOWN + 50):
            self.led.take(rows(("w1", b"%d" % k, False, 90, 70)), 100 * S)
        self.assertEqual(eviction.KNOWN, len(self.led.known))

    def scans(self, at, scan=300_000, desk=20_000, shared=200_000):
        self.led.take(message.Readings("p", [], [("w1", SCAN, scan, 0), ("w2", DESK, desk, shared)]), at * S)

    def press(self):
        for at in (90, 93, 96, 99):
            self.take(("w1", b"a", True, at, 300))
        self.scans(100)

    def test_pressure_begins_parts_scans_from_shared_parts_and_ends_only_once_the_scans_do(self):
        self.scans(99)
        self.assertIsNone(self.led.decide(99 * S, WORKERS, 440_000))
        self.press()
        first = self.led.decide(100 * S, WORKERS, 440_000)
        self.assertEqual(([SCAN], 2), (first.routes, len(first.workers)))
        for at in range(102, 200, 2):  # nothing is evicted any more, and scans go on
            self.scans(at)
            self.led.take(rows(("w3", b"a", False, at - 1, 90), now=at * S), at * S)
            self.assertEqual(first, self.led.decide(at * S, WORKERS, 440_000))
        less = self.led.decide(200 * S, ("w1", "w3"), 440_000)
        self.assertEqual((1, [SCAN]), (len(set(less.workers) & {"w1", "w3"}), less.routes))
        self.assertIsNone(self.led.decide(300 * S, WORKERS, 440_000))
        self.assertFalse(self.led.state(300 * S)["pressure"])

    def test_no_partition_before_first_readings_are_over(self):
        self.led.since = 71 * S
        self.press()
        self.assertIsNone(self.led.decide(100 * S, WORKERS, 440_000))
        self.assertIsNotNone(self.led.decide(101 * S, WORKERS, 440_000))

    def test_no_partition_where_none_helps(self):
        self.press()
        self.assertIsNone(self.led.decide(100 * S, ("w1",), 440_000), "one worker can't be parted")
        self.assertIsNone(self.led.decide(100 * S, WORKERS, 4_000), "the shared parts would not fit the others")
        self.assertTrue(self.led.state(100 * S)["pressure"])

    def test_no_partition_where_no_route_is_a_scan(self):
        for at in (90, 93, 96, 99):
            self.take(("w1", b"a", True, at, 300))
        self.scans(100, scan=0)
        self.assertIsNone(self.led.decide(100 * S, WORKERS, 440_000))
        self.assertTrue(self.led.state(100 * S)["pressure"])


class Placements(testtools.TestCase):
    names = ["v%d" % k for k in range(6)]

    def place(self, seed, parted):
        p = placement.Placement(machine.Machine(None, now=lambda: 0, seed=seed), "p")
        readers = placement.readers(self.names)
        p.partition = message.Partition(placement.rank(b"partition", readers)[:1], [SCAN]) if parted else None
        return p

    def pick(self, p, parts, sizes, route):
        ask = types.SimpleNamespace(sizes=sizes)
        keys = placement.chain(parts)
        return p.pick(ask, keys, sizes[-1], self.names, types.SimpleNamespace(batch=64), set(), route)[0]

    def homes(self, seed, parted):
        p = self.place(seed, parted)
        return {k: self.pick(p, [f"s{k}", "own"], [13_300, 1_000], DESK) for k in range(30)}

    def test_scans_go_to_the_partition_and_only_its_own_homes_move_alike_on_all_nodes(self):
        parted, free = self.homes(1, True), self.homes(1, False)
        scan = self.place(1, True).partition.workers[0]
        self.assertEqual(parted, self.homes(2, True))
        self.assertNotIn(scan, parted.values())
        self.assertEqual({k for k, w in free.items() if w == scan}, {k for k in free if free[k] != parted[k]})
        got = {self.pick(self.place(seed, True), [f"x{seed}"], [17_000], SCAN) for seed in range(20)}
        self.assertEqual({scan}, got)

    def test_scans_go_elsewhere_once_they_wait_for_longer_than_what_they_evict_takes(self):
        p = self.place(1, True)
        p.others = {p.partition.workers[0]: (5, 60_000, 0)}
        self.assertNotEqual(p.partition.workers[0], self.pick(p, ["x"], [17_000], SCAN))

    def test_short_prompts_are_placed_as_ever(self):
        for seed in range(30):
            with_, without = (self.pick(self.place(seed, parted), ["a", "b"], [90, 300], SCAN)
                              for parted in (True, False))
            self.assertEqual(without, with_)

    def test_a_partition_whose_workers_are_gone_counts_for_nothing(self):
        p = self.place(1, True)
        p.partition = message.Partition(["gone"], [SCAN])
        for k in range(10):
            self.assertEqual(self.pick(self.place(1, False), [f"s{k}", "own"], [13_300, 1_000], DESK),
                             self.pick(p, [f"s{k}", "own"], [13_300, 1_000], DESK))


class Fleet(testtools.TestCase):
    """Nodes, cores and workers of the users' platform, simulated."""

    def setUp(self):
        super().setUp()
        loguru.logger.remove()
        self.site = s = site.Site(1, "magnolia", 10_000, load=0.01)
        s.begin()
        self.readers = placement.readers(tuple(w.id for w in s.workers.values()))

    def say(self, node, miss, tokens=10_000):
        """A node sees one prompt's shared parts read anew, or found, beside many one-off tokens."""
        n = self.site.nodes[node]
        now = n.mach.now()
        n.evictions.rows.setdefault(self.site.pool, []).append(
            (self.readers[0], b"shared", DESK, tokens, miss, now - 400 * MS, now))
        n.evictions.volume[self.site.pool] = {
            (self.readers[1], SCAN): [100_000, 0], (self.readers[0], DESK): [500, tokens]}

    def partitions(self):
        return {str(n.door.carrier.place(self.site.pool).partition) for n in self.site.nodes.values() if n.proc.alive}

    def test_what_no_node_sees_alone_all_act_on_also_after_the_tail_is_lost_and_until_it_is_over(self):
        s = self.site
        s.nodes["n1"].evictions.volume[s.pool] = {(self.readers[1], SCAN): [1, 0]}  # the tail hears of the pool
        s.go(30)
        for node in ("n1", "n2", "n3", "n4"):  # each node sees one reading only
            self.assertEqual({"None"}, self.partitions())
            self.say(node, True)
            s.go(4)
        got = self.partitions()
        self.assertEqual(1, len(got))
        self.assertIn(SCAN, got.pop())
        before = self.partitions()
        tail = next(n for n, c in s.cores.items() if c.council.tail())
        s.kill(tail, 4)
        for _ in range(10):
            s.go(1)
            self.say("n4", False)
            self.assertEqual(before, self.partitions())
        self.assertTrue(s.until(lambda: self.partitions() == {"None"}, 120))
