"""A model of an inference engine: continuous batching, chunked prefill, a prefix cache, and a KV cache of limited size.

In each step, all requests of the batch decode one token. A step also prefills a chunk of the pending prompts, which
delays the tokens of all other requests. A prompt consists of parts; a cached part is not prefilled again if all parts
before it are cached too. Parts that no request uses are evicted, the least recently used first. If memory still runs
out, the newest among the least urgent requests is preempted, even in the middle of its stream, and prefilled again
later.

The model is idle while there are no requests; otherwise it sets one timer per step.
"""

from __future__ import annotations

import bisect
import collections
import collections.abc
import dataclasses
import functools
import itertools
import typing

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler


DEFAULT_URGENCY = 5  # of a request that states none; 0 is the most urgent


@dataclasses.dataclass
class EngineParameters:
    """The capacity and speed of an engine.

    >>> EngineParameters(capacity=8).capacity
    8
    """

    capacity: int = 64  # maximum number of requests in the batch
    waiting_limit: int = 192  # maximum number of requests waiting for a place in the batch
    enqueue_delay_us: int = 45_000  # delay before an offered request enters the queue
    step_us: int = 5_000  # base duration of a step
    step_us_per_request: float = 30.0  # added per request in the batch
    step_us_per_kilotoken: float = 3.4  # added per 1000 tokens of context in the batch
    prefill_tokens_per_ms: float = 51.0
    prefill_us_per_megapair: float = 320.0  # attention cost per million pairs of a prefilled and an earlier token
    prefill_chunk_tokens: int = 1024  # prompt tokens prefilled in one step
    kv_capacity: int = 440_000  # size of the KV cache in tokens, for running requests and cached parts
    event_tokens: int = 4  # tokens per event of a stream; the first event has only the first token
    report_lag_us: int = 200_000  # age of the load in reports
    speed: float = 1.0  # divisor of the duration of steps
    model: str = "m"


JobState = typing.Literal["new", "entering", "waiting", "running", "ended"]


@dataclasses.dataclass
class PendingPart:
    """A part of a prompt being prefilled: its number of tokens, and how many of them remain."""

    name: str
    tokens: int
    remaining_tokens: int


@dataclasses.dataclass
class CachedPart:
    """A part in the prefix cache: its number of tokens, and how many requests of the batch use it."""

    tokens: int
    references: int


class Load(typing.NamedTuple):
    """The load of an engine: waiting requests, running requests, and tokens in use."""

    waiting: int
    running: int
    used_tokens: int  # tokens in the KV cache that can't be evicted


class TimedLoad(typing.NamedTuple):
    """The load of an engine since a time in microseconds."""

    at: int
    load: Load


class PrefillChunk(typing.NamedTuple):
    """The number of tokens of a request that a step prefills."""

    job: Job
    tokens: int


@dataclasses.dataclass(eq=False)
class Job:
    """One request to an engine.

    Attributes:
        on_event: Called for each event with its number, from 1, and whether it is the last.
        on_first_token: Called when the first token is decoded.

    >>> Job("x", [("a", 10), ("b", 5)], 8).prompt_tokens
    15
    """

    identifier: str
    parts: list[tuple[str, int]]  # (name, tokens) of the parts of the prompt, in order
    output_tokens: int
    urgency: int = DEFAULT_URGENCY
    on_event: collections.abc.Callable[[int, bool], object] = lambda _number, _last: None
    on_first_token: collections.abc.Callable[[], object] = lambda: None
    decoded: int = 0  # tokens decoded so far; a resumed stream starts above 0
    number: int = 0  # order of arrival at the engine
    prefill_left: int = 0  # tokens still to be prefilled
    private_tokens: int = 0  # tokens in the KV cache that only this request uses
    state: JobState = "new"
    preemptions: int = 0

    def __post_init__(self) -> None:
        """Compute the size of the prompt, and start without any used or pending parts."""
        self.prompt_tokens = sum(tokens for _, tokens in self.parts)
        self.resumed_at = self.decoded
        self.used_parts: list[str] = []  # cached parts that this request references
        self.pending_parts: list[PendingPart] = []  # parts that this request prefills

    def rank(self) -> tuple[int, int]:
        """The sort key in the queue: the most urgent first, then the oldest.

        >>> Job("x", [], 1, urgency=2).rank()
        (2, 0)
        """
        return self.urgency, self.number


class Engine:
    """One inference engine, driven by a runtime's timers.

    >>> import iriswheel.runtime.units as units
    >>> import iriswheel.runtime.scheduler as scheduler
    >>> import twisted.internet.task as task
    >>> clock = task.Clock()
    >>> runtime = scheduler.Runtime(clock, now=lambda: round(clock.seconds() * units.SECOND_US))
    >>> engine = Engine(runtime, EngineParameters(enqueue_delay_us=0))
    >>> out = []
    >>> engine.offer(Job("x", [("a", 100)], 6, on_event=lambda number, last: out.append((number, last))))
    True
    >>> clock.pump([0.001] * 60); out  # the first event has only the first token
    [(1, False), (2, False), (3, True)]
    """

    def __init__(self, runtime: scheduler.Runtime, parameters: EngineParameters | None = None) -> None:
        self.runtime = runtime
        self.parameters = parameters or EngineParameters()
        self.waiting: list[Job] = []  # sorted by rank
        self.running: list[Job] = []  # in the order of admission
        self.entering = 0  # number of accepted requests that are not yet in the queue
        self.cached: collections.OrderedDict[str, CachedPart] = (
            collections.OrderedDict()
        )  # the least recently used first
        self.cached_tokens = 0  # tokens of all cached parts
        self.evictable_tokens = 0  # tokens of cached parts that no request references
        self.private_tokens = 0  # tokens in the KV cache that only one request uses
        self.context_tokens = 0  # prompt and decoded tokens of all requests of the batch
        self.offered_count = 0
        self.step_timer: scheduler.Timer | None = None
        self.stopped = False
        self.load_history: collections.deque[TimedLoad] = collections.deque([TimedLoad(0, Load(0, 0, 0))])
        # Totals: tokens prefilled, tokens of admitted requests that were prefilled before, steps, and preemptions.
        self.prefilled = self.prefilled_again = self.steps = self.preemptions = 0
        self.prefilled_parts: set[str] = set()  # parts that any engine of the site has prefilled

    # ---- admission -------------------------------------------------------------------

    def offer(self, job: Job) -> bool:
        """Accept a request; returns False if the queue is full or the request exceeds the KV cache."""
        parameters = self.parameters
        if job.prompt_tokens + job.output_tokens > parameters.kv_capacity:
            return False
        if len(self.running) + len(self.waiting) + self.entering >= parameters.capacity + parameters.waiting_limit:
            return False
        self.offered_count += 1
        job.number, job.state = self.offered_count, "entering"
        self.entering += 1
        if parameters.enqueue_delay_us:
            self.runtime.later(parameters.enqueue_delay_us, self.enter, job)
        else:
            self.enter(job)
        return True

    def enter(self, job: Job) -> None:
        """Move a request into the queue after its delay, unless it was cancelled."""
        self.entering -= 1
        if job.state != "entering" or self.stopped:
            return
        self.enqueue(job)
        self.start_step()

    def enqueue(self, job: Job) -> None:
        """Put a request in the queue."""
        job.state = "waiting"
        bisect.insort(self.waiting, job, key=Job.rank)
        self.record_load()

    def cancel(self, job: Job) -> None:
        """Cancel a request; its prefilled parts stay cached."""
        match job.state:
            case "waiting":
                self.waiting.remove(job)
            case "running":
                self.remove(job)
        job.state = "ended"
        self.record_load()

    def stop(self) -> None:
        """Stop the engine for good: no more callbacks are made."""
        self.stopped = True
        if self.step_timer is not None and self.step_timer.active():
            self.step_timer.cancel()
        for job in [*self.waiting, *self.running]:
            job.state = "ended"

    # ---- memory ------------------------------------------------------------------------

    def available_tokens(self) -> int:
        """The tokens of the KV cache that are free or can be evicted."""
        return self.parameters.kv_capacity - self.private_tokens - self.cached_tokens + self.evictable_tokens

    def evict(self, tokens: int) -> bool:
        """Evict unreferenced parts until a number of tokens is free; if too few can be freed, return False."""
        if self.available_tokens() < tokens:
            return False
        unused = self.parameters.kv_capacity - self.private_tokens - self.cached_tokens
        if unused >= tokens:
            return True
        for name, part in list(self.cached.items()):
            if part.references:
                continue
            del self.cached[name]
            self.cached_tokens -= part.tokens
            self.evictable_tokens -= part.tokens
            unused += part.tokens
            if unused >= tokens:
                break
        return True

    def acquire(self, part: str) -> None:
        """Add a reference to a cached part."""
        cached = self.cached[part]
        self.evictable_tokens -= 0 if cached.references else cached.tokens
        cached.references += 1

    def cached_prefix(self, job: Job) -> list[str]:
        """The leading parts of a request that are cached and need no prefill."""
        parts = (part for part, _ in job.parts)
        return list(itertools.takewhile(self.cached.__contains__, parts))

    def admit(self, job: Job) -> bool:
        """Add a request to the batch and allocate its memory; returns False if there is too little memory."""
        known = self.cached_prefix(job)
        for part in known:
            self.acquire(part)
        unknown = job.parts[len(known) :]
        need = sum(tokens for _, tokens in unknown) + job.decoded
        if not self.evict(need + 1):
            self.release(known)
            return False
        job.used_parts, job.private_tokens, job.prefill_left = known, need, need
        job.pending_parts = [PendingPart(part, tokens, tokens) for part, tokens in unknown]
        self.private_tokens += need
        job.state = "running"
        self.running.append(job)
        self.context_tokens += job.prompt_tokens + job.decoded
        self.prefilled_again += sum(tokens for part, tokens in unknown if part in self.prefilled_parts)
        return True

    def release(self, parts: list[str]) -> None:
        """Drop references to cached parts, the last part first, so that the first part is evicted last."""
        for part in reversed(parts):
            cached = self.cached[part]
            cached.references -= 1
            self.evictable_tokens += 0 if cached.references else cached.tokens
            self.cached.move_to_end(part)

    def remove(self, job: Job) -> None:
        """Remove a request from the batch, and free its memory."""
        self.running.remove(job)
        self.release(job.used_parts)
        self.private_tokens -= job.private_tokens
        self.context_tokens -= job.prompt_tokens + job.decoded
        job.used_parts, job.pending_parts, job.private_tokens = [], [], 0

    def preempt(self, job: Job) -> None:
        """Put a running request back in the queue; it has to be prefilled again."""
        self.remove(job)
        job.preemptions += 1
        self.preemptions += 1
        self.enqueue(job)

    def lowest_priority(self) -> Job:
        """The newest among the least urgent requests of the batch."""
        return max(self.running, key=Job.rank)

    # ---- steps -------------------------------------------------------------------------

    def start_step(self) -> None:
        """Start a step, unless one is running or the batch is empty."""
        if self.stopped or (self.step_timer is not None and self.step_timer.active()):
            return
        self._admit_waiting()
        self.record_load()
        if not self.running:
            return
        chunks = self._plan_prefill()
        cost_us = self._step_cost_us(chunks)
        self.step_timer = self.runtime.later(round(cost_us / self.parameters.speed), self.step, chunks)

    def _admit_waiting(self) -> None:
        """Fill the batch from the queue; a more urgent request preempts a less urgent one."""
        while self.waiting:
            job = self.waiting[0]
            if len(self.running) < self.parameters.capacity and self.admit(job):
                self.waiting.pop(0)
                continue
            if not self.running or self.lowest_priority().urgency <= job.urgency:
                break
            self.preempt(self.lowest_priority())

    def _plan_prefill(self) -> list[PrefillChunk]:
        """The chunks of prompts that the next step prefills, in the order of rank."""
        left, chunks = self.parameters.prefill_chunk_tokens, []
        for job in sorted((job for job in self.running if job.prefill_left), key=Job.rank):
            tokens = min(left, job.prefill_left)
            if not tokens:
                break
            left -= tokens
            chunks.append(PrefillChunk(job, tokens))
        return chunks

    def _step_cost_us(self, chunks: list[PrefillChunk]) -> float:
        """The duration of a step at speed 1, in microseconds."""
        parameters = self.parameters
        cost = parameters.step_us + parameters.step_us_per_request * len(self.running)
        cost += parameters.step_us_per_kilotoken * self.context_tokens / 1000
        for job, tokens in chunks:
            before = job.prompt_tokens + job.decoded - job.prefill_left
            pairs = tokens * (before + tokens / 2)
            cost += tokens / parameters.prefill_tokens_per_ms * 1000 + pairs / 1e6 * parameters.prefill_us_per_megapair
        return cost

    def step(self, chunks: list[PrefillChunk]) -> None:
        """End a step: its chunks are prefilled, and each request with a prefilled prompt gets another token."""
        self.steps += 1
        for job, tokens in chunks:
            if job.state == "running":
                job.prefill_left -= tokens
                self.prefilled += tokens
                self.finish_prefill(job, tokens)
        notices: list[collections.abc.Callable[[], object]] = []
        for job in list(self.running):
            if job.state == "running" and not job.prefill_left and self._preempt_until_room(job):
                notices += self._decode(job)
        for notice in notices:
            notice()
        self.step_timer = None
        self.start_step()

    def _preempt_until_room(self, job: Job) -> bool:
        """Preempt requests until there is memory for a token; returns whether the given request still runs."""
        while job.state == "running" and not self.evict(1):
            self.preempt(self.lowest_priority())
        return job.state == "running"

    def _decode(self, job: Job) -> list[collections.abc.Callable[[], object]]:
        """Decode one token of a request; returns the callbacks to call at the end of the step."""
        notices: list[collections.abc.Callable[[], object]] = []
        job.decoded += 1
        job.private_tokens += 1
        self.private_tokens += 1
        self.context_tokens += 1
        is_last = job.decoded >= job.output_tokens
        if job.decoded == job.resumed_at + 1:
            notices.append(job.on_first_token)
        if is_last or (job.decoded - 1) % self.parameters.event_tokens == 0:
            number = -(-(job.decoded - 1) // self.parameters.event_tokens) + 1
            notices.append(functools.partial(job.on_event, number, is_last))
        if is_last:
            self.remove(job)
            job.state = "ended"
        return notices

    def finish_prefill(self, job: Job, tokens: int) -> None:
        """Count tokens of a request as prefilled; completely prefilled parts enter the cache."""
        while tokens and job.pending_parts:
            part = job.pending_parts[0]
            read = min(tokens, part.remaining_tokens)
            tokens -= read
            part.remaining_tokens -= read
            if part.remaining_tokens:
                return
            job.pending_parts.pop(0)
            self.prefilled_parts.add(part.name)
            self.private_tokens -= part.tokens
            job.private_tokens -= part.tokens
            job.used_parts.append(part.name)
            if part.name in self.cached:  # another request has prefilled it meanwhile: only one copy is kept
                self.acquire(part.name)
            else:
                self.cached[part.name] = CachedPart(part.tokens, 1)
                self.cached_tokens += part.tokens

    # ---- reports ------------------------------------------------------------------------

    def record_load(self) -> None:
        """Record the current load for later reports."""
        now = self.runtime.now()
        used = self.private_tokens + self.cached_tokens - self.evictable_tokens
        load = Load(len(self.waiting) + self.entering, len(self.running), used)
        if self.load_history[-1].at == now:
            self.load_history.pop()
        self.load_history.append(TimedLoad(now, load))
        while len(self.load_history) > 1 and self.load_history[1].at <= now - self.parameters.report_lag_us:
            self.load_history.popleft()

    def report(self) -> Load:
        """The load that a report shows: that of `report_lag_us` ago."""
        then = self.runtime.now() - self.parameters.report_lag_us
        return next((past.load for past in reversed(self.load_history) if past.at <= then), self.load_history[0].load)
