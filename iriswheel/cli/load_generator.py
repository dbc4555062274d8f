"""The load generator: a mix of requests as clients would send them, with their retries."""

from __future__ import annotations

import collections.abc
import json
import typing

import loguru
from twisted.internet import defer, protocol
from twisted.web import client, http_headers

from iriswheel.dataplane import dispatch, edge_protocol
from iriswheel.runtime import scheduler, units

if typing.TYPE_CHECKING:
    from twisted.python import failure


LONG_BYTES = 48_000
SHORT_BYTES = 600
ATTEMPTS = 4
GIVE_UP_US = 20 * units.SECOND_US
RETRY_WAIT_US = 500 * units.MILLISECOND_US  # where the answer names no time
QUICK_WAIT_US = 50 * units.MILLISECOND_US
QUICK_SHARE = 0.2  # of clients that retry at once
IDEMPOTENT_SHARE = 0.5
FOLLOW_US = 200 * units.MILLISECOND_US  # between two questions for the ready nodes

Address: typing.TypeAlias = tuple[str, int]  # host, port

log = loguru.logger.bind(part="load")


class EventSink(typing.Protocol):
    """Where the events of a run go."""

    def put(self, at: int, kind: str, **more: typing.Any) -> None:
        """Write one event at a time in µs, with its fields."""


class Events:
    r"""An event log: one JSON object a line, for `iriswheel replay`.

    >>> import io
    >>> out = io.StringIO(); Events(out).put(5, "sent", exchange="e1"); out.getvalue()
    '{"at": 5, "kind": "sent", "exchange": "e1"}\n'
    """

    def __init__(self, out: typing.TextIO | None = None) -> None:
        self.out = out

    def put(self, at: int, kind: str, **more: typing.Any) -> None:
        """Write one event.

        >>> Events().put(1, "sent")
        """
        if self.out is not None:
            self.out.write(json.dumps({"at": at, "kind": kind, **more}) + "\n")


class AnswerCollector(protocol.Protocol):
    """Takes a streamed answer and notes when its parts came.

    Args:
        runtime: gives the time.
        done: fires at the end, with whether the answer is whole.
    """

    def __init__(self, runtime: scheduler.Runtime, done: defer.Deferred[bool]) -> None:
        self.runtime = runtime
        self.done = done
        self.raw: list[bytes] = []
        self.first: int | None = None  # when the first part came, in µs
        self.last = 0  # when the newest part came, in µs
        self.pause = 0  # the longest time between two parts, in µs

    def dataReceived(self, data: bytes) -> None:
        """Take a part of the answer."""
        now = self.runtime.now()
        if self.first is None:
            self.first = now
        else:
            self.pause = max(self.pause, now - self.last)
        self.last = now
        self.raw.append(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Report the end of the answer."""
        if not self.done.called:
            self.done.callback(isinstance(reason.value, client.ResponseDone))


class NodeAddresses:
    """The nodes that clients are handed to: a fixed list, or what the platform says now.

    >>> NodeAddresses([("127.0.0.1", 8101)])()
    [('127.0.0.1', 8101)]
    """

    def __init__(self, fixed: list[Address]) -> None:
        self.current = fixed

    def __call__(self) -> list[Address]:
        """Return the nodes to send to now."""
        return self.current

    async def follow(self, runtime: scheduler.Runtime, host: str, port: int) -> None:
        """Ask the platform for the ready nodes, a few times a second."""
        web = dispatch.Dispatcher(runtime)
        while True:
            try:
                raw = await web.fetch(host, port, "/nodes", units.SECOND_US)
                self.current = [(name, number) for name, number in json.loads(raw)["nodes"]] or self.current
            except defer.CancelledError:
                raise
            except Exception as error:  # whatever is wrong there, the nodes of before stay
                log.warning("The platform names no nodes: {}", error)
            await runtime.sleep(FOLLOW_US)


class Attempt(typing.NamedTuple):
    """One attempt of a request."""

    kind: str  # "long", "short" or "talk"
    request_id: str
    number: int  # from 1
    idempotent: bool
    parts: list[str]  # of the prompt's prefix, outermost first
    body: bytes


class AttemptResult(typing.NamedTuple):
    """How an attempt ended, at which worker, and when to come back."""

    end: str  # "whole", "torn", "lost", "refused", or "final": refused, and not to be retried
    worker: str | None
    wait_us: int


class WholeAnswer(typing.NamedTuple):
    """What is kept of an answer that came whole."""

    kind: str
    first_byte_us: int
    longest_pause_us: int


class LoadGenerator:
    """The mix: long prompts that share a prefix, short ones, conversations, clients that retry at once.

    Args:
        runtime: clock, reactor and randomness.
        places: gives the nodes that clients are handed to now.
        path: of the requests.
        us: how long to go on, in µs.
        long_rate: long prompts per second.
        short_rate: short prompts per second.
        talks: conversations kept going.
        events: takes what happens.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        places: collections.abc.Callable[[], collections.abc.Sequence[Address]],
        path: str,
        us: int,
        long_rate: float,
        short_rate: float,
        talks: int,
        events: EventSink,
    ) -> None:
        self.runtime = runtime
        self.places = places
        self.path = path
        self.us = us
        self.long_rate, self.short_rate, self.talks = long_rate, short_rate, talks
        self.events = events
        self.agent = dispatch.Dispatcher(runtime).fresh  # clients come on fresh connections
        self.started_at = runtime.now()
        self.attempts = ATTEMPTS
        self.quick = QUICK_SHARE
        self.count = 0
        self.answers: list[WholeAnswer] = []
        self.codes: dict[str, int] = {}  # error code -> answers with it
        self.ends = {"whole": 0, "torn": 0, "refused": 0, "lost": 0, "gave_up": 0}
        self.turns: dict[str, str] = {}  # conversation -> worker of the last turn
        self.kept_turns = 0  # later turns that went to the worker of the turn before
        self.later_turns = 0
        self.open: list[defer.Deferred[typing.Any]] = []

    async def run(self) -> None:
        """Go on until the time is over, then wait for what is open."""
        loops = [self.stream("long", self.long_rate), self.stream("short", self.short_rate)]
        loops += [self.talk(number) for number in range(self.talks)]
        await defer.DeferredList([defer.ensureDeferred(loop) for loop in loops], consumeErrors=False)
        await defer.DeferredList(self.open)

    def end(self) -> None:
        """Send nothing new from now on."""
        self.us = 0

    def over(self) -> bool:
        """Whether the time is over."""
        return self.runtime.now() - self.started_at >= self.us

    async def stream(self, kind: str, rate: float) -> None:
        """Send requests of one kind at a rate per second, whatever becomes of them."""
        due = self.runtime.now()
        while rate > 0 and not self.over():
            due += int(self.runtime.rng.expovariate(rate) * units.SECOND_US)
            await self.runtime.sleep(due - self.runtime.now())
            parts = ["phrases"] if kind == "short" else ["bundle"]
            self.open.append(self.runtime.spawn(self.exchange(kind, parts), log))

    async def talk(self, number: int) -> None:
        """One conversation after the other, each of several turns."""
        turn = 0
        while not self.over():
            await self.runtime.sleep(self.runtime.rng.randrange(300, 2500) * units.MILLISECOND_US)
            if number >= self.talks:
                break
            if turn == 0:
                name = f"talk-{number}-{self.count}"
                turns = self.runtime.rng.randrange(5, 25)
            worker = await self.exchange("talk", ["system", name])
            if worker is not None:
                self._count_turn(name, worker)
            turn = (turn + 1) % turns

    def _count_turn(self, name: str, worker: str) -> None:
        if name in self.turns:
            self.later_turns += 1
            self.kept_turns += worker == self.turns[name]
        self.turns[name] = worker

    async def exchange(self, kind: str, parts: list[str]) -> str | None:
        """One request with its client's retries; the worker's name where it came through."""
        self.count += 1
        request_id = f"x{self.count}"
        idempotent = self.runtime.rng.random() < IDEMPOTENT_SHARE
        quick = self.runtime.rng.random() < self.quick
        size = LONG_BYTES if kind == "long" else SHORT_BYTES
        body = (f"{request_id} ".encode() * (size // (len(request_id) + 1) + 1))[:size]
        for number in range(1, self.attempts + 1):
            result = await self.send(kind, request_id, number, idempotent, parts, body)
            if result.end == "whole":
                return result.worker
            if result.end == "final":
                break
            await self.runtime.sleep(QUICK_WAIT_US if quick else result.wait_us)
        self.ends["gave_up"] += 1
        return None

    async def send(
        self, kind: str, request_id: str, number: int, idempotent: bool, parts: list[str], body: bytes
    ) -> AttemptResult:
        """One attempt on a fresh connection."""
        attempt = Attempt(kind, request_id, number, idempotent, parts, body)
        host, port = self.runtime.rng.choice(self.places())
        started_at = self.runtime.now()
        self._log_sent(attempt, started_at, f"{host}:{port}")
        url = f"http://{host}:{port}{self.path}".encode()
        try:
            response = await self.runtime.within(
                self.agent.request(b"POST", url, _headers(attempt), dispatch.Body(body)), GIVE_UP_US
            )
        except Exception as error:  # for a client all errors of the connection are alike
            self.ends["lost"] += 1
            name = type(error).__name__
            self.events.put(self.runtime.now(), "lost", exchange=request_id, send=number, why=name)
            return AttemptResult("lost", None, RETRY_WAIT_US)
        done: defer.Deferred[bool] = defer.Deferred()
        collector = AnswerCollector(self.runtime, done)
        response.deliverBody(collector)
        whole = await done
        if response.code == 200:
            return self._take_answer(attempt, started_at, response, collector, whole)
        return self._take_refusal(attempt, started_at, response, b"".join(collector.raw))

    def _log_sent(self, attempt: Attempt, started_at: int, node: str) -> None:
        self.events.put(
            started_at,
            "sent",
            exchange=attempt.request_id,
            send=attempt.number,
            repeat=attempt.idempotent,
            node=node,
            parts=attempt.parts,
            sort=attempt.kind,
            path=self.path,
        )

    def _take_answer(
        self, attempt: Attempt, started_at: int, response: dispatch.Response, collector: AnswerCollector, whole: bool
    ) -> AttemptResult:
        now = self.runtime.now()
        workers = response.headers.getRawHeaders(edge_protocol.TARGET)
        worker = workers[0] if workers else None
        end = "whole" if whole else "torn"
        self.ends[end] += 1
        if whole and collector.first is not None:
            self.answers.append(WholeAnswer(attempt.kind, collector.first - started_at, collector.pause))
        self.events.put(
            now,
            end,
            exchange=attempt.request_id,
            send=attempt.number,
            worker=worker,
            first=(collector.first or now) - started_at,
            pause=collector.pause,
            text=b"".join(collector.raw).decode("latin-1"),
        )
        return AttemptResult(end, worker, RETRY_WAIT_US)

    def _take_refusal(
        self, attempt: Attempt, started_at: int, response: dispatch.Response, raw: bytes
    ) -> AttemptResult:
        now = self.runtime.now()
        try:
            document = json.loads(raw)
        except ValueError:
            document = {"code": f"status {response.code}", "verdict": "may_have_run"}
        code, execution = document["code"], document["verdict"]
        self.codes[code] = self.codes.get(code, 0) + 1
        self.ends["refused"] += 1
        self.events.put(
            now,
            "refused",
            exchange=attempt.request_id,
            send=attempt.number,
            code=code,
            verdict=execution,
            took=now - started_at,
        )
        if execution != "not_run" and not attempt.idempotent:
            return AttemptResult("final", None, RETRY_WAIT_US)
        after_s = response.headers.getRawHeaders("Retry-After")
        return AttemptResult("refused", None, int(after_s[0]) * units.SECOND_US if after_s else RETRY_WAIT_US)

    def report(self) -> dict[str, typing.Any]:
        """What came of it all, as JSON values, times in milliseconds."""
        report: dict[str, typing.Any] = {
            "exchanges": self.count,
            "ends": self.ends,
            "refused_by_code": dict(sorted(self.codes.items())),
        }
        for kind in ("long", "short", "talk"):
            answers = [answer for answer in self.answers if answer.kind == kind]
            if answers:
                report[kind] = _summary(answers)
        report["pinned_turns"] = {"kept": self.kept_turns, "of": self.later_turns}
        return report


def _headers(attempt: Attempt) -> http_headers.Headers:
    return http_headers.Headers(
        {
            edge_protocol.PREFIX: [", ".join(attempt.parts)],
            edge_protocol.REQUEST_ID: [attempt.request_id],
            edge_protocol.SEND: [str(attempt.number)],
            edge_protocol.REPEAT: ["yes" if attempt.idempotent else "no"],
            "Content-Type": ["text/plain"],
        }
    )


def _summary(answers: list[WholeAnswer]) -> dict[str, float]:
    first_bytes_us = sorted(answer.first_byte_us for answer in answers)
    return {
        "whole": len(answers),
        "first_ms_median": share(first_bytes_us, 0.5),
        "first_ms_p99": share(first_bytes_us, 0.99),
        "first_ms_max": first_bytes_us[-1] // 1000,
        "longest_pause_ms": max(answer.longest_pause_us for answer in answers) // 1000,
    }


def share(values: list[int], part: float) -> float:
    """The value in µs below which a part of the sorted values lies, in milliseconds.

    >>> share([1000, 2000, 3000], 0.5)
    2.0
    """
    return values[min(len(values) - 1, int(len(values) * part))] / 1000
