"""The engine's model does what an engine does: batches, pieces, kept parts, memory, urgency."""

import itertools

from twisted.internet import task

from iriswheel.runtime import scheduler, units
from simulation import inference_engine

MS = units.MILLISECOND_US


class TestEngine:
    def make(self, **figures: int) -> inference_engine.Engine:
        self.clock = task.Clock()
        base = dict(
            enter_us=0,
            step_us=5_000,
            step_us_per_request=0,
            step_us_per_kilotoken=0,
            prefill_tokens_per_ms=50,
            prefill_us_per_megapair=0,
            prefill_chunk_tokens=1000,
            kv_capacity=100_000,
            event_tokens=4,
            capacity=8,
        )
        self.runtime = scheduler.Runtime(self.clock, now=lambda: round(self.clock.seconds() * units.SECOND_US), seed=1)
        self.engine = inference_engine.Engine(self.runtime, inference_engine.EngineParameters(**{**base, **figures}))
        self.told = {}
        return self.engine

    def job(self, identifier: str, parts: list[tuple[str, int]], tokens: int = 4, **more: int) -> inference_engine.Job:
        self.told[identifier] = []
        return inference_engine.Job(
            identifier,
            parts,
            tokens,
            on_event=lambda k, last: self.told[identifier].append((k, last, self.runtime.now())),
            **more,
        )

    def go(self, ms: int) -> None:
        self.clock.pump([0.001] * ms)

    def first(self, identifier: str) -> float:
        return self.told[identifier][0][2] / MS

    def test_a_stream_has_its_events_in_order_and_ends(self) -> None:
        e = self.make()
        assert e.offer(self.job("x", [], tokens=10))
        self.go(200)
        assert [t[:2] for t in self.told["x"]] == [(1, False), (2, False), (3, False), (4, True)]
        assert [round(t[2] / MS) for t in self.told["x"]] == [5, 25, 45, 50]

    def test_tokens_come_more_slowly_the_more_run(self) -> None:
        ends = []
        for others in (0, 7):
            e = self.make(step_us_per_request=1000)
            for k in range(others):
                e.offer(self.job(f"o{k}", [], tokens=400))
            e.offer(self.job("x", [], tokens=20))
            self.go(500)
            ends.append(self.told["x"][-1][2])
        assert [t / MS for t in ends] == [20 * 6, 6 + 20 * 13]  # the first step had one request

    def test_a_long_prompt_holds_up_the_tokens_of_others(self) -> None:
        e = self.make()
        e.offer(self.job("x", [], tokens=40))
        self.go(50)
        e.offer(self.job("long", [("a", 10_000)], tokens=4))
        self.go(500)
        times = [t[2] for t in self.told["x"]]
        assert round((times[1] - times[0]) / MS) == 20
        assert round(max(b - a for a, b in itertools.pairwise(times)) / MS) == 100  # four pieces of 20 ms

    def test_a_kept_part_is_not_read_again(self) -> None:
        e = self.make()
        e.offer(self.job("x", [("a", 10_000), ("b", 1000)]))
        self.go(500)
        e.offer(self.job("y", [("a", 10_000), ("c", 1000)]))
        before = e.prefilled
        self.go(500)
        assert (before, e.prefilled - before, e.prefilled_again) == (11_000, 1000, 0)

    def test_two_that_read_the_same_part_leave_one_copy(self) -> None:
        e = self.make()
        e.offer(self.job("x", [("a", 5000), ("b", 1000)]))
        e.offer(self.job("y", [("a", 5000), ("c", 1000)]))
        self.go(500)
        assert (e.prefilled, e.cached_tokens, e.private_tokens) == (12_000, 7000, 0)

    def test_a_kept_part_counts_only_if_all_before_it_are_kept(self) -> None:
        e = self.make()
        e.offer(self.job("x", [("a", 5000), ("b", 5000)]))
        self.go(500)
        e.offer(self.job("y", [("z", 1000), ("b", 5000)]))
        self.go(500)
        assert (e.prefilled, e.prefilled_again) == (16_000, 5000)

    def test_parts_unused_the_longest_give_way(self) -> None:
        e = self.make(kv_capacity=10_010)
        for part in ("a", "b", "a", "c"):
            e.offer(self.job(part, [(part, 4000)]))
            self.go(200)
        assert sorted(e.cached) == ["a", "c"]
        assert e.cached_tokens == 8000

    def test_a_request_larger_than_the_memory_is_turned_away(self) -> None:
        e = self.make(kv_capacity=1000)
        assert not e.offer(self.job("x", [("a", 990)], tokens=11))
        assert e.offer(self.job("y", [("a", 990)], tokens=10))

    def test_a_full_queue_turns_away(self) -> None:
        e = self.make(capacity=2, waiting_limit=3)
        took = [e.offer(self.job(f"x{k}", [("a", 10)], tokens=40)) for k in range(7)]
        assert took == [True] * 5 + [False] * 2

    def test_memory_running_out_puts_back_the_newest_of_the_least_urgent(self) -> None:
        e = self.make(kv_capacity=300)
        jobs = [self.job(f"x{k}", [(f"p{k}", 90)], tokens=40, urgency=u) for k, u in enumerate((5, 0, 5))]
        for j in jobs:
            e.offer(j)
        self.go(100)
        assert self.told["x2"], "it streams before it is put back"
        self.go(900)
        assert [jobs[0].preemptions, jobs[1].preemptions, jobs[2].preemptions > 0] == [0, 0, True]
        for j in jobs:
            assert [*range(1, 12)] == [t[0] for t in self.told[j.identifier]]
        assert e.private_tokens == 0

    def test_the_more_urgent_is_let_in_first_and_takes_a_place(self) -> None:
        e = self.make(capacity=1)
        e.offer(self.job("slow", [], tokens=40, urgency=5))
        e.offer(self.job("next", [], tokens=4, urgency=5))
        self.go(30)
        e.offer(self.job("now", [], tokens=4, urgency=0))
        self.go(500)
        assert self.first("now") < 60
        assert self.told["slow"][-1][2] < self.told["next"][-1][2]
        assert len(self.told["slow"]) == 11

    def test_a_cancelled_request_frees_its_place_and_memory(self) -> None:
        e = self.make(capacity=1)
        x, y = self.job("x", [("a", 5000)], tokens=400), self.job("y", [("b", 10)])
        e.offer(x)
        e.offer(y)
        self.go(50)
        e.cancel(x)
        self.go(100)
        assert (self.told["x"], self.told["y"][-1][1]) == ([], True)
        assert (e.private_tokens, e.cached_tokens) == (0, 10)

    def test_a_taken_up_stream_goes_on_after_its_last_event(self) -> None:
        e = self.make()
        e.offer(self.job("x", [("a", 10)], tokens=13, decoded=5))
        self.go(200)
        assert [t[0] for t in self.told["x"]] == [3, 4]

    def test_a_report_is_old(self) -> None:
        e = self.make(report_lag_us=200 * MS)
        self.go(300)
        e.offer(self.job("x", [("a", 20_000)], tokens=100))
        self.go(150)
        assert e.report() == (0, 0, 0)
        self.go(100)
        assert e.report() == (0, 1, 20_000)

    def test_what_is_owned_is_given_back(self) -> None:
        e = self.make(kv_capacity=5000, capacity=4)
        rng = self.runtime.rng
        jobs = [
            self.job(
                f"x{k}",
                [(f"s{rng.randrange(3)}", 700), (f"o{k}", rng.randrange(1, 600))],
                tokens=rng.randrange(1, 60),
                urgency=rng.randrange(2),
            )
            for k in range(120)
        ]
        for j in jobs:
            e.offer(j)
            self.go(rng.randrange(30))
            assert 0 <= e.private_tokens + e.cached_tokens <= 5000
            if rng.random() < 0.1:
                e.cancel(j)
        self.go(12_000)
        assert (e.private_tokens, e.running, e.waiting) == (0, [], [])
        assert e.evictable_tokens == e.cached_tokens
        assert sum(part.tokens for part in e.cached.values()) == e.cached_tokens
        assert e.preemptions > 0
        for j in jobs:
            got = [t[0] for t in self.told[j.identifier]]
            assert [*range(1, len(got) + 1)] == got
