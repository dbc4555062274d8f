"""The engine model behaves like an inference engine: batching, chunked prefill, prefix cache, memory and urgency."""

import itertools
from typing import Any

from twisted.internet import task

from iriswheel.runtime import scheduler, units
from simulation import inference_engine

MILLISECOND = units.MILLISECOND_US


class TestEngine:
    def make_engine(self, **figures: Any) -> inference_engine.Engine:  # noqa: ANN401 - fields of EngineParameters
        self.clock = task.Clock()
        base = dict(
            enqueue_delay_us=0,
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
        self.events: dict[str, list[tuple[int, bool, int]]] = {}
        return self.engine

    def make_job(
        self,
        identifier: str,
        parts: list[tuple[str, int]],
        tokens: int = 4,
        **more: Any,  # noqa: ANN401 - fields of Job
    ) -> inference_engine.Job:
        self.events[identifier] = []
        return inference_engine.Job(
            identifier,
            parts,
            tokens,
            on_event=lambda k, last: self.events[identifier].append((k, last, self.runtime.now())),
            **more,
        )

    def advance_ms(self, ms: int) -> None:
        self.clock.pump([0.001] * ms)

    def first_event_ms(self, identifier: str) -> float:
        return self.events[identifier][0][2] / MILLISECOND

    def test_a_stream_has_its_events_in_order_and_ends(self) -> None:
        engine = self.make_engine()
        assert engine.offer(self.make_job("x", [], tokens=10))
        self.advance_ms(200)
        assert [t[:2] for t in self.events["x"]] == [(1, False), (2, False), (3, False), (4, True)]
        assert [round(t[2] / MILLISECOND) for t in self.events["x"]] == [5, 25, 45, 50]

    def test_tokens_are_decoded_more_slowly_with_more_running_requests(self) -> None:
        ends = []
        for others in (0, 7):
            engine = self.make_engine(step_us_per_request=1000)
            for k in range(others):
                engine.offer(self.make_job(f"o{k}", [], tokens=400))
            engine.offer(self.make_job("x", [], tokens=20))
            self.advance_ms(500)
            ends.append(self.events["x"][-1][2])
        assert [t / MILLISECOND for t in ends] == [20 * 6, 6 + 20 * 13]  # the first step had one request

    def test_the_prefill_of_a_long_prompt_delays_the_tokens_of_other_requests(self) -> None:
        engine = self.make_engine()
        engine.offer(self.make_job("x", [], tokens=40))
        self.advance_ms(50)
        engine.offer(self.make_job("long", [("a", 10_000)], tokens=4))
        self.advance_ms(500)
        times = [t[2] for t in self.events["x"]]
        assert round((times[1] - times[0]) / MILLISECOND) == 20
        # Four steps of 5 ms, each with a chunk of 20 ms.
        assert round(max(b - a for a, b in itertools.pairwise(times)) / MILLISECOND) == 100

    def test_a_cached_part_is_not_prefilled_again(self) -> None:
        engine = self.make_engine()
        engine.offer(self.make_job("x", [("a", 10_000), ("b", 1000)]))
        self.advance_ms(500)
        engine.offer(self.make_job("y", [("a", 10_000), ("c", 1000)]))
        before = engine.prefilled
        self.advance_ms(500)
        assert (before, engine.prefilled - before, engine.prefilled_again) == (11_000, 1000, 0)

    def test_two_requests_that_prefill_the_same_part_leave_one_cached_copy(self) -> None:
        engine = self.make_engine()
        engine.offer(self.make_job("x", [("a", 5000), ("b", 1000)]))
        engine.offer(self.make_job("y", [("a", 5000), ("c", 1000)]))
        self.advance_ms(500)
        assert (engine.prefilled, engine.cached_tokens, engine.private_tokens) == (12_000, 7000, 0)

    def test_a_cached_part_is_used_only_if_all_parts_before_it_are_cached(self) -> None:
        engine = self.make_engine()
        engine.offer(self.make_job("x", [("a", 5000), ("b", 5000)]))
        self.advance_ms(500)
        engine.offer(self.make_job("y", [("z", 1000), ("b", 5000)]))
        self.advance_ms(500)
        assert (engine.prefilled, engine.prefilled_again) == (16_000, 5000)

    def test_the_least_recently_used_parts_are_evicted(self) -> None:
        engine = self.make_engine(kv_capacity=10_010)
        for part in ("a", "b", "a", "c"):
            engine.offer(self.make_job(part, [(part, 4000)]))
            self.advance_ms(200)
        assert sorted(engine.cached) == ["a", "c"]
        assert engine.cached_tokens == 8000

    def test_a_request_larger_than_the_kv_cache_is_refused(self) -> None:
        engine = self.make_engine(kv_capacity=1000)
        assert not engine.offer(self.make_job("x", [("a", 990)], tokens=11))
        assert engine.offer(self.make_job("y", [("a", 990)], tokens=10))

    def test_a_full_queue_refuses_requests(self) -> None:
        engine = self.make_engine(capacity=2, waiting_limit=3)
        took = [engine.offer(self.make_job(f"x{k}", [("a", 10)], tokens=40)) for k in range(7)]
        assert took == [True] * 5 + [False] * 2

    def test_the_newest_of_the_least_urgent_requests_is_preempted_when_memory_runs_out(self) -> None:
        engine = self.make_engine(kv_capacity=300)
        jobs = [self.make_job(f"x{k}", [(f"p{k}", 90)], tokens=40, urgency=u) for k, u in enumerate((5, 0, 5))]
        for make_job in jobs:
            engine.offer(make_job)
        self.advance_ms(100)
        assert self.events["x2"], "x2 streams before it is preempted"
        self.advance_ms(900)
        assert [jobs[0].preemptions, jobs[1].preemptions, jobs[2].preemptions > 0] == [0, 0, True]
        for make_job in jobs:
            assert [*range(1, 12)] == [t[0] for t in self.events[make_job.identifier]]
        assert engine.private_tokens == 0

    def test_a_more_urgent_request_preempts_a_less_urgent_one(self) -> None:
        engine = self.make_engine(capacity=1)
        engine.offer(self.make_job("slow", [], tokens=40, urgency=5))
        engine.offer(self.make_job("next", [], tokens=4, urgency=5))
        self.advance_ms(30)
        engine.offer(self.make_job("now", [], tokens=4, urgency=0))
        self.advance_ms(500)
        assert self.first_event_ms("now") < 60
        assert self.events["slow"][-1][2] < self.events["next"][-1][2]
        assert len(self.events["slow"]) == 11

    def test_a_cancelled_request_frees_its_place_and_memory(self) -> None:
        engine = self.make_engine(capacity=1)
        x, y = self.make_job("x", [("a", 5000)], tokens=400), self.make_job("y", [("b", 10)])
        engine.offer(x)
        engine.offer(y)
        self.advance_ms(50)
        engine.cancel(x)
        self.advance_ms(100)
        assert (self.events["x"], self.events["y"][-1][1]) == ([], True)
        assert (engine.private_tokens, engine.cached_tokens) == (0, 10)

    def test_a_resumed_stream_continues_after_its_last_event(self) -> None:
        engine = self.make_engine()
        engine.offer(self.make_job("x", [("a", 10)], tokens=13, decoded=5))
        self.advance_ms(200)
        assert [t[0] for t in self.events["x"]] == [3, 4]

    def test_a_load_report_is_delayed(self) -> None:
        engine = self.make_engine(report_lag_us=200 * MILLISECOND)
        self.advance_ms(300)
        engine.offer(self.make_job("x", [("a", 20_000)], tokens=100))
        self.advance_ms(150)
        assert engine.report() == (0, 0, 0)
        self.advance_ms(100)
        assert engine.report() == (0, 1, 20_000)

    def test_all_memory_is_released_after_random_requests(self) -> None:
        engine = self.make_engine(kv_capacity=5000, capacity=4)
        rng = self.runtime.rng
        jobs = [
            self.make_job(
                f"x{k}",
                [(f"s{rng.randrange(3)}", 700), (f"o{k}", rng.randrange(1, 600))],
                tokens=rng.randrange(1, 60),
                urgency=rng.randrange(2),
            )
            for k in range(120)
        ]
        for make_job in jobs:
            engine.offer(make_job)
            self.advance_ms(rng.randrange(30))
            assert 0 <= engine.private_tokens + engine.cached_tokens <= 5000
            if rng.random() < 0.1:
                engine.cancel(make_job)
        self.advance_ms(12_000)
        assert (engine.private_tokens, engine.running, engine.waiting) == (0, [], [])
        assert engine.evictable_tokens == engine.cached_tokens
        assert sum(part.tokens for part in engine.cached.values()) == engine.cached_tokens
        assert engine.preemptions > 0
        for make_job in jobs:
            got = [t[0] for t in self.events[make_job.identifier]]
            assert [*range(1, len(got) + 1)] == got
