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
import dataclasses
import typing

if typing.TYPE_CHECKING:
    import twisted.internet.base as base

    import iriswheel.runtime.scheduler as scheduler
    import simulation.virtual_timer as virtual_timer


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


@dataclasses.dataclass(eq=False)
class Job:
    """One request as an engine has it. `event(k, last)` tells of event k, from 1; `began()` of the first token.

    >>> Job("x", [("a", 10), ("b", 5)], 8).prompt
    15
    """

    identifier: str
    parts: list  # of (part, tokens), in order
    tokens: int  # to put out
    urgency: int = URGENCY
    event: object = lambda k, last: None
    started_at: object = lambda: None
    done: int = 0  # tokens put out so far; above 0 at the start for one that is taken up
    number: int = 0
    left: int = 0  # tokens still to read before the next token
    owned: int = 0  # tokens held by this one alone
    state: str = "new"  # new, entering, waiting, running, ended
    put_back: int = 0

    def __post_init__(self) -> None:
        """Derive the size of the prompt and start the counts of its parts."""
        self.prompt = sum(n for _, n in self.parts)
        self.taken_up = self.done
        self.used = []  # kept parts that this one holds
        self.unread = []  # [part, tokens, tokens left] of those that it reads itself

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
    >>> import iriswheel.runtime.scheduler as machine
    >>> import twisted.internet.task as task
    >>> clock = task.Clock()
    >>> e = Engine(scheduler.Runtime(clock, now=lambda: round(clock.seconds() * units.SECOND_US)), Figures(enter_us=0))
    >>> out = []
    >>> e.offer(Job("x", [("a", 100)], 6, event=lambda k, last: out.append((k, last))))
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
        self.kept = collections.OrderedDict()  # part -> [tokens, holders], the longest unused first
        self.kept_tokens = 0
        self.idle_tokens = 0  # of kept parts without a holder
        self.owned = 0
        self.context = 0
        self.offered = 0
        self.tick: base.DelayedCall | virtual_timer.Timer | None = None
        self.slower = 1.0  # a trouble's factor on each step
        self.stopped = False
        self.past: collections.deque[tuple[int, int, int, int]] = collections.deque([(0, 0, 0, 0)])
        self.read = self.read_again = self.steps = self.put_backs = 0
        self.ever: set[str] = set()

    # ---- in and out -------------------------------------------------------------------

    def offer(self, job: Job) -> bool:
        """Take a request, or say that there is no room for it now or ever."""
        f = self.figures
        if job.prompt + job.tokens > f.kv_capacity:
            return False
        if len(self.running) + len(self.waiting) + self.entering >= f.capacity + f.waiting_limit:
            return False
        self.offered += 1
        job.number, job.state = self.offered, "entering"
        self.entering += 1
        if f.enter_us:
            self.runtime.later(f.enter_us, self.enter, job)
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
        waiting_limit = self.figures.kv_capacity - self.owned - self.kept_tokens
        for part in list(self.kept) if waiting_limit < tokens else ():
            n, holders = self.kept[part]
            if not holders:
                del self.kept[part]
                self.kept_tokens -= n
                self.idle_tokens -= n
                waiting_limit += n
                if waiting_limit >= tokens:
                    break
        return True

    def hold(self, part: str) -> None:
        """Let one more request use a kept part."""
        row = self.kept[part]
        self.idle_tokens -= 0 if row[1] else row[0]
        row[1] += 1

    def known(self, job: Job) -> list[str]:
        """The kept parts that a request would not read again."""
        out = []
        for part, _ in job.parts:
            if part not in self.kept:
                break
            out.append(part)
        return out

    def let_in(self, job: Job) -> bool:
        """Give a request its place and memory; whether there was memory."""
        known = self.known(job)
        for part in known:
            self.hold(part)
        need = sum(n for _, n in job.parts[len(known) :]) + job.done
        if not self.give_way(need + 1):
            self.release(known)
            return False
        job.used, job.owned, job.left = known, need, need
        job.unread = [[p, n, n] for p, n in job.parts[len(known) :]]
        self.owned += need
        job.state = "running"
        self.running.append(job)
        self.context += job.prompt + job.done
        self.read_again += sum(n for p, n in job.parts[len(known) :] if p in self.ever)
        return True

    def release(self, parts: list[str]) -> None:
        """Let go of kept parts, the last first, so that the first is kept the longest."""
        for part in reversed(parts):
            row = self.kept[part]
            row[1] -= 1
            self.idle_tokens += 0 if row[1] else row[0]
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
        f = self.figures
        while self.waiting:
            job = self.waiting[0]
            if len(self.running) < f.capacity and self.let_in(job):
                self.waiting.pop(0)
                continue
            if not self.running or self.least().urgency <= job.urgency:
                break
            self.put_off(self.least())
        self.note()
        if not self.running:
            return
        waiting_limit, cost = f.piece, f.step_us + f.step_us_per_request * len(self.running)
        cost += f.step_us_per_kilotoken * self.context / 1000
        plan = []
        for job in sorted((j for j in self.running if j.left), key=Job.rank):
            n = min(waiting_limit, job.left)
            if not n:
                break
            waiting_limit -= n
            plan.append((job, n))
            before = job.prompt + job.done - job.left
            cost += n / f.read_tokens_per_ms * 1000 + n * (before + n / 2) / 1e6 * f.read_us_per_megapair
        self.tick = self.runtime.later(round(cost * self.slower / f.speed), self.step, plan)

    def step(self, plan: list[tuple[Job, int]]) -> None:
        """A step is over: pieces are read, and who has read all has a token more."""
        f = self.figures
        self.steps += 1
        for job, n in plan:
            if job.state == "running":
                job.left -= n
                self.read += n
                self.take_in(job, n)
        told = []
        for job in list(self.running):
            if job.state != "running" or job.left:
                continue
            while job.state == "running" and not self.give_way(1):
                self.put_off(self.least())
            if job.state != "running":
                continue
            job.done += 1
            job.owned += 1
            self.owned += 1
            self.context += 1
            whole = job.done >= job.tokens
            if job.done == job.taken_up + 1:
                told.append((job.started_at,))
            if whole or (job.done - 1) % f.event_tokens == 0:
                told.append((job.event, -(-(job.done - 1) // f.event_tokens) + 1, whole))
            if whole:
                self.leave(job)
                job.state = "ended"
        for call, *args in told:
            call(*args)
        self.tick = None
        self.go_on()

    def take_in(self, job: Job, n: int) -> None:
        """Count n tokens as read; parts read through are kept."""
        while n and job.unread:
            part, size, left = job.unread[0]
            took = min(n, left)
            n -= took
            job.unread[0][2] = left - took
            if left > took:
                return
            job.unread.pop(0)
            self.ever.add(part)
            self.owned -= size
            job.owned -= size
            job.used.append(part)
            if part in self.kept:  # another has read it meanwhile: one copy stays
                self.hold(part)
            else:
                self.kept[part] = [size, 1]
                self.kept_tokens += size

    # ---- what it says --------------------------------------------------------------------

    def note(self) -> None:
        """Keep how things stand, for reports."""
        now = self.runtime.now()
        row = (
            now,
            len(self.waiting) + self.entering,
            len(self.running),
            self.owned + self.kept_tokens - self.idle_tokens,
        )
        if self.past[-1][0] == now:
            self.past.pop()
        self.past.append(row)
        while len(self.past) > 1 and self.past[1][0] <= now - self.figures.report_lag_us:
            self.past.popleft()

    def report(self) -> tuple[int, int, int]:
        """How things stood a while ago: (waiting, running, tokens that can't give way)."""
        then = self.runtime.now() - self.figures.report_lag_us
        return next((row for row in reversed(self.past) if row[0] <= then), self.past[0])[1:]
