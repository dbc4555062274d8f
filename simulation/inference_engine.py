"""A model of an inference engine: continuous batching, prompts read in pieces, kept prefix parts, and memory.

All requests of the batch get a token each step. A step also reads a piece of the prompts that are not read yet,
and all others wait for it. A prompt is made of parts; a part that is kept is not read again as long as all parts
before it are kept too. Parts that nobody uses give way, the ones unused the longest first. Where memory still runs
out, the newest request among the least urgent is put back and read anew later, even in the middle of its stream.

The model does work only while there are requests: one tick of its machine's clock for each step.
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


URGENCY = 5  # of a request that names none; 0 comes first


@dataclasses.dataclass
class Figures:
    """What an engine can do. Times are microseconds, the rest tokens and requests.

    >>> Figures(capacity=8).capacity
    8
    """

    capacity: int = 64  # requests in the batch
    waiting_limit: int = 192  # requests that may wait for it
    enter_us: int = 45_000  # before a request is in the queue
    step_us: int = 5_000
    step_us_per_request: float = 30.0
    step_us_per_kilotoken: float = 3.4  # of all context that the batch holds
    read_tokens_per_ms: float = 51.0
    read_us_per_megapair: float = 320.0  # each token read looks at all before it
    piece: int = 1024  # prompt tokens read in one step
    kv_capacity: int = 440_000  # tokens kept, those of running requests included
    event_tokens: int = 4  # in one event of a stream, but for the first one, which goes out with the first token
    report_lag_us: int = 200_000
    speed: float = 1.0  # below 1 is slower
    model: str = "m"


JobState = typing.Literal["new", "entering", "waiting", "running", "ended"]


@dataclasses.dataclass
class UnreadPart:
    """A part of a prompt that is being read: its tokens, and how many of them are still to be read."""

    name: str
    tokens: int
    left: int


@dataclasses.dataclass
class KeptPart:
    """A part that is kept: its tokens, and how many requests of the batch use it."""

    tokens: int
    holders: int


class Load(typing.NamedTuple):
    """How an engine stands."""

    waiting: int
    running: int
    used_tokens: int  # that can't give way


class TimedLoad(typing.NamedTuple):
    """How an engine stood from a time on, in microseconds."""

    at: int
    load: Load


class Reading(typing.NamedTuple):
    """What a step reads of a request's prompt."""

    job: Job
    tokens: int


@dataclasses.dataclass(eq=False)
class Job:
    """One request as an engine has it.

    Attributes:
        on_event: Called with the number of an event, from 1, and whether it is the last.
        on_first_token: Called when the first token is put out.


    >>> Job("x", [("a", 10), ("b", 5)], 8).prompt
    15
    """

    identifier: str
    parts: list[tuple[str, int]]  # (part, tokens), in order
    tokens: int  # to put out
    urgency: int = URGENCY
    on_event: collections.abc.Callable[[int, bool], object] = lambda _number, _last: None
    on_first_token: collections.abc.Callable[[], object] = lambda: None
    done: int = 0  # tokens put out so far; above 0 at the start for one that is taken up
    number: int = 0
    left: int = 0  # tokens still to read before the next token
    owned: int = 0  # tokens held by this one alone
    state: JobState = "new"
    put_back: int = 0

    def __post_init__(self) -> None:
        """Derive the size of the prompt and start the counts of its parts."""
        self.prompt = sum(tokens for _, tokens in self.parts)
        self.taken_up = self.done
        self.used: list[str] = []  # kept parts that this one holds
        self.unread: list[UnreadPart] = []  # those that it reads itself

    def rank(self) -> tuple[int, int]:
        """The place in the queue: the most urgent first, then the oldest.

        >>> Job("x", [], 1, urgency=2).rank()
        (2, 0)
        """
        return self.urgency, self.number


class Engine:
    """One engine on a machine's clock.

    >>> import iriswheel.runtime.units as units
    >>> import iriswheel.runtime.scheduler as scheduler
    >>> import twisted.internet.task as task
    >>> clock = task.Clock()
    >>> runtime = scheduler.Runtime(clock, now=lambda: round(clock.seconds() * units.SECOND_US))
    >>> engine = Engine(runtime, Figures(enter_us=0))
    >>> out = []
    >>> engine.offer(Job("x", [("a", 100)], 6, on_event=lambda number, last: out.append((number, last))))
    True
    >>> clock.pump([0.001] * 60); out  # the first event has the first token alone
    [(1, False), (2, False), (3, True)]
    """

    def __init__(self, runtime: scheduler.Runtime, figures: Figures | None = None) -> None:
        self.runtime = runtime
        self.figures = figures or Figures()
        self.waiting: list[Job] = []  # by rank
        self.running: list[Job] = []  # in the order let in
        self.entering = 0
        self.kept: collections.OrderedDict[str, KeptPart] = collections.OrderedDict()  # the longest unused first
        self.kept_tokens = 0
        self.idle_tokens = 0  # of kept parts without a holder
        self.owned = 0
        self.context = 0
        self.offered = 0
        self.tick: scheduler.Timer | None = None
        self.stopped = False
        self.past: collections.deque[TimedLoad] = collections.deque([TimedLoad(0, Load(0, 0, 0))])
        self.read = self.read_again = self.steps = self.put_backs = 0
        self.parts_read: set[str] = set()  # by any engine of the site

    # ---- in and out -------------------------------------------------------------------

    def offer(self, job: Job) -> bool:
        """Take a request, or say that there is no room for it now or ever."""
        figures = self.figures
        if job.prompt + job.tokens > figures.kv_capacity:
            return False
        if len(self.running) + len(self.waiting) + self.entering >= figures.capacity + figures.waiting_limit:
            return False
        self.offered += 1
        job.number, job.state = self.offered, "entering"
        self.entering += 1
        if figures.enter_us:
            self.runtime.later(figures.enter_us, self.enter, job)
        else:
            self.enter(job)
        return True

    def enter(self, job: Job) -> None:
        """A request is ready for the queue."""
        self.entering -= 1
        if job.state != "entering" or self.stopped:
            return
        self.wait(job)
        self.go_on()

    def wait(self, job: Job) -> None:
        """Put a request in the queue."""
        job.state = "waiting"
        bisect.insort(self.waiting, job, key=Job.rank)
        self.note()

    def cancel(self, job: Job) -> None:
        """Forget a request; its parts that were read stay."""
        match job.state:
            case "waiting":
                self.waiting.remove(job)
            case "running":
                self.leave(job)
        job.state = "ended"
        self.note()

    def stop(self) -> None:
        """End for good: nothing more is told."""
        self.stopped = True
        if self.tick is not None and self.tick.active():
            self.tick.cancel()
        for job in [*self.waiting, *self.running]:
            job.state = "ended"

    # ---- memory ------------------------------------------------------------------------

    def free(self) -> int:
        """Tokens of memory that nothing holds, after all that can give way has given way."""
        return self.figures.kv_capacity - self.owned - self.kept_tokens + self.idle_tokens

    def give_way(self, tokens: int) -> bool:
        """Let kept parts go until so many tokens are free; whether they are."""
        if self.free() < tokens:
            return False
        unused = self.figures.kv_capacity - self.owned - self.kept_tokens
        if unused >= tokens:
            return True
        for name, part in list(self.kept.items()):
            if part.holders:
                continue
            del self.kept[name]
            self.kept_tokens -= part.tokens
            self.idle_tokens -= part.tokens
            unused += part.tokens
            if unused >= tokens:
                break
        return True

    def hold(self, part: str) -> None:
        """Let one more request use a kept part."""
        kept = self.kept[part]
        self.idle_tokens -= 0 if kept.holders else kept.tokens
        kept.holders += 1

    def known(self, job: Job) -> list[str]:
        """The kept parts that a request would not read again."""
        parts = (part for part, _ in job.parts)
        return list(itertools.takewhile(self.kept.__contains__, parts))

    def let_in(self, job: Job) -> bool:
        """Give a request its place and memory; whether there was memory."""
        known = self.known(job)
        for part in known:
            self.hold(part)
        unknown = job.parts[len(known) :]
        need = sum(tokens for _, tokens in unknown) + job.done
        if not self.give_way(need + 1):
            self.release(known)
            return False
        job.used, job.owned, job.left = known, need, need
        job.unread = [UnreadPart(part, tokens, tokens) for part, tokens in unknown]
        self.owned += need
        job.state = "running"
        self.running.append(job)
        self.context += job.prompt + job.done
        self.read_again += sum(tokens for part, tokens in unknown if part in self.parts_read)
        return True

    def release(self, parts: list[str]) -> None:
        """Let go of kept parts, the last first, so that the first is kept the longest."""
        for part in reversed(parts):
            kept = self.kept[part]
            kept.holders -= 1
            self.idle_tokens += 0 if kept.holders else kept.tokens
            self.kept.move_to_end(part)

    def leave(self, job: Job) -> None:
        """Take a request out of the batch."""
        self.running.remove(job)
        self.release(job.used)
        self.owned -= job.owned
        self.context -= job.prompt + job.done
        job.used, job.unread, job.owned = [], [], 0

    def put_off(self, job: Job) -> None:
        """Put a request back in the queue; it is read anew."""
        self.leave(job)
        job.put_back += 1
        self.put_backs += 1
        self.wait(job)

    def least(self) -> Job:
        """The newest request among the least urgent of the batch."""
        return max(self.running, key=Job.rank)

    # ---- steps -------------------------------------------------------------------------

    def go_on(self) -> None:
        """Begin a step, unless one is under way or there is nothing to do."""
        if self.stopped or (self.tick is not None and self.tick.active()):
            return
        self._let_in_waiting()
        self.note()
        if not self.running:
            return
        readings = self._plan_readings()
        cost_us = self._step_cost_us(readings)
        self.tick = self.runtime.later(round(cost_us / self.figures.speed), self.step, readings)

    def _let_in_waiting(self) -> None:
        """Fill the batch from the queue; a more urgent request takes the place of a less urgent one."""
        while self.waiting:
            job = self.waiting[0]
            if len(self.running) < self.figures.capacity and self.let_in(job):
                self.waiting.pop(0)
                continue
            if not self.running or self.least().urgency <= job.urgency:
                break
            self.put_off(self.least())

    def _plan_readings(self) -> list[Reading]:
        """What the next step reads: a piece of the prompts, by rank."""
        left, readings = self.figures.piece, []
        for job in sorted((job for job in self.running if job.left), key=Job.rank):
            tokens = min(left, job.left)
            if not tokens:
                break
            left -= tokens
            readings.append(Reading(job, tokens))
        return readings

    def _step_cost_us(self, readings: list[Reading]) -> float:
        """How long a step takes at speed 1."""
        figures = self.figures
        cost = figures.step_us + figures.step_us_per_request * len(self.running)
        cost += figures.step_us_per_kilotoken * self.context / 1000
        for job, tokens in readings:
            before = job.prompt + job.done - job.left
            pairs = tokens * (before + tokens / 2)
            cost += tokens / figures.read_tokens_per_ms * 1000 + pairs / 1e6 * figures.read_us_per_megapair
        return cost

    def step(self, readings: list[Reading]) -> None:
        """End a step: pieces are read, and who has read all has a token more."""
        self.steps += 1
        for job, tokens in readings:
            if job.state == "running":
                job.left -= tokens
                self.read += tokens
                self.take_in(job, tokens)
        notices: list[collections.abc.Callable[[], object]] = []
        for job in list(self.running):
            if job.state == "running" and not job.left and self._make_room(job):
                notices += self._put_out(job)
        for notice in notices:
            notice()
        self.tick = None
        self.go_on()

    def _make_room(self, job: Job) -> bool:
        """Put requests back until there is memory for a token; whether this one still runs."""
        while job.state == "running" and not self.give_way(1):
            self.put_off(self.least())
        return job.state == "running"

    def _put_out(self, job: Job) -> list[collections.abc.Callable[[], object]]:
        """Let a request have a token more: what is to be called at the end of the step."""
        notices: list[collections.abc.Callable[[], object]] = []
        job.done += 1
        job.owned += 1
        self.owned += 1
        self.context += 1
        whole = job.done >= job.tokens
        if job.done == job.taken_up + 1:
            notices.append(job.on_first_token)
        if whole or (job.done - 1) % self.figures.event_tokens == 0:
            number = -(-(job.done - 1) // self.figures.event_tokens) + 1
            notices.append(functools.partial(job.on_event, number, whole))
        if whole:
            self.leave(job)
            job.state = "ended"
        return notices

    def take_in(self, job: Job, tokens: int) -> None:
        """Count tokens as read; parts read through are kept."""
        while tokens and job.unread:
            part = job.unread[0]
            read = min(tokens, part.left)
            tokens -= read
            part.left -= read
            if part.left:
                return
            job.unread.pop(0)
            self.parts_read.add(part.name)
            self.owned -= part.tokens
            job.owned -= part.tokens
            job.used.append(part.name)
            if part.name in self.kept:  # another has read it meanwhile: one copy stays
                self.hold(part.name)
            else:
                self.kept[part.name] = KeptPart(part.tokens, 1)
                self.kept_tokens += part.tokens

    # ---- reports ------------------------------------------------------------------------

    def note(self) -> None:
        """Keep how things stand, for reports."""
        now = self.runtime.now()
        used = self.owned + self.kept_tokens - self.idle_tokens
        load = Load(len(self.waiting) + self.entering, len(self.running), used)
        if self.past[-1].at == now:
            self.past.pop()
        self.past.append(TimedLoad(now, load))
        while len(self.past) > 1 and self.past[1].at <= now - self.figures.report_lag_us:
            self.past.popleft()

    def report(self) -> Load:
        """How things stood a while ago."""
        then = self.runtime.now() - self.figures.report_lag_us
        return next((past.load for past in reversed(self.past) if past.at <= then), self.past[0].load)
