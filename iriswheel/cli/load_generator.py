"""The load generator: sends a mix of requests as clients would, with retries, and writes an event log.

In event logs, a request is named `exchange`, an attempt `send`, the request's kind `sort`, a complete answer `whole`
and one that ended early `torn`.
"""

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


LONG_BYTES = 48_000  # body length of a long request
SHORT_BYTES = 600  # body length of a short request or of a conversation's turn
MAX_ATTEMPTS = 4  # attempts of one request
HEAD_TIMEOUT_US = 20 * units.SECOND_US  # longest time from sending an attempt to the head of its answer
DEFAULT_RETRY_WAIT_US = 500 * units.MILLISECOND_US  # wait before the next attempt, if the answer has no Retry-After
IMPATIENT_RETRY_WAIT_US = 50 * units.MILLISECOND_US  # wait before the next attempt of an impatient client
IMPATIENT_SHARE = 0.2  # share of requests whose client retries almost at once and ignores Retry-After
IDEMPOTENT_SHARE = 0.5  # share of requests that may run more than once
NODE_LIST_INTERVAL_US = 200 * units.MILLISECOND_US  # time between two reads of the platform's list of ready nodes

Address: typing.TypeAlias = tuple[str, int]  # host, port
RequestKind: typing.TypeAlias = typing.Literal["long", "short", "talk"]  # the values of `sort` in event logs
# "whole" to "refused" are kinds of rows in event logs; "final" is a refusal after which the client must not retry.
AttemptEnd: typing.TypeAlias = typing.Literal["whole", "torn", "lost", "refused", "final"]

log = loguru.logger.bind(part="load")


class EventSink(typing.Protocol):
    """Receives the events of a run."""

    def put(self, at: int, kind: str, **more: object) -> None:
        """Write one event: its time in µs, its kind and the fields of that kind."""


class Events:
    r"""Writes an event log, one JSON object per line, which `iriswheel replay` reads.

    >>> import io
    >>> out = io.StringIO(); Events(out).put(5, "sent", exchange="e1"); out.getvalue()
    '{"at": 5, "kind": "sent", "exchange": "e1"}\n'
    """

    def __init__(self, out: typing.TextIO | None = None) -> None:
        self.out = out

    def put(self, at: int, kind: str, **more: object) -> None:
        """Write one event; does nothing if there is no file.

        >>> Events().put(1, "sent")
        """
        if self.out is not None:
            self.out.write(json.dumps({"at": at, "kind": kind, **more}) + "\n")


class AnswerCollector(protocol.Protocol):
    """Collects a streamed answer and records when its parts arrived.

    Args:
        runtime: The clock.
        done: Fires at the end of the answer, with True if the answer is complete.
    """

    def __init__(self, runtime: scheduler.Runtime, done: defer.Deferred[bool]) -> None:
        self.runtime = runtime
        self.done = done
        self.parts: list[bytes] = []
        self.first_at: int | None = None  # when the first part arrived, in µs
        self.last_at = 0  # when the latest part arrived, in µs
        self.longest_pause_us = 0  # longest time between the arrivals of two parts, in µs

    def dataReceived(self, data: bytes) -> None:
        """Collect a part of the answer."""
        now = self.runtime.now()
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause_us = max(self.longest_pause_us, now - self.last_at)
        self.last_at = now
        self.parts.append(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Report the end of the answer, and whether it is complete."""
        if not self.done.called:
            self.done.callback(isinstance(reason.value, client.ResponseDone))


class NodeAddresses:
    """The nodes to which requests are sent: a fixed list, or the ready nodes that the platform lists.

    >>> NodeAddresses([("127.0.0.1", 8101)])()
    [('127.0.0.1', 8101)]
    """

    def __init__(self, fixed: list[Address]) -> None:
        self.current = fixed

    def __call__(self) -> list[Address]:
        """Return the nodes to which requests are sent now."""
        return self.current

    async def follow(self, runtime: scheduler.Runtime, host: str, port: int) -> None:
        """Read the platform's list of ready nodes every NODE_LIST_INTERVAL_US; an empty list is ignored."""
        web = dispatch.Dispatcher(runtime)
        while True:
            try:
                raw = await web.fetch(host, port, "/nodes", units.SECOND_US)
                self.current = [(name, number) for name, number in json.loads(raw)["nodes"]] or self.current
            except defer.CancelledError:
                raise
            except Exception as error:  # after any error, the nodes read before stay in use
                log.warning("The platform's list of nodes can't be read; the nodes known so far stay in use: {}", error)
            await runtime.sleep(NODE_LIST_INTERVAL_US)


class Attempt(typing.NamedTuple):
    """One attempt of a request."""

    kind: RequestKind
    request_id: str
    number: int  # from 1
    idempotent: bool
    parts: list[str]  # names of the parts of the prompt's prefix, outermost first
    body: bytes


class AttemptResult(typing.NamedTuple):
    """How an attempt ended, on which worker, and how long to wait before the next attempt."""

    end: AttemptEnd
    worker: str | None
    wait_us: int


class CompleteAnswer(typing.NamedTuple):
    """The times of a complete answer."""

    kind: RequestKind
    first_byte_us: int
    longest_pause_us: int


class LoadMix(typing.NamedTuple):
    """What the load consists of: long prompts that share a prefix, short prompts, and conversations."""

    path: str  # HTTP path of all requests
    duration_us: int
    long_rate: float  # long requests per second
    short_rate: float  # short requests per second
    conversations: int  # number of concurrent conversations


class LoadGenerator:
    """Sends a mix of requests as clients would, some of which retry almost at once.

    Args:
        runtime: The clock, the reactor and the random numbers.
        node_addresses: Returns the nodes to which requests are sent now.
        mix: What to send, and for how long.
        events: Receives the events of the run.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        node_addresses: collections.abc.Callable[[], collections.abc.Sequence[Address]],
        mix: LoadMix,
        events: EventSink,
    ) -> None:
        self.runtime = runtime
        self.node_addresses = node_addresses
        self.path = mix.path
        self.duration_us = mix.duration_us
        self.long_rate = mix.long_rate
        self.short_rate = mix.short_rate
        self.conversations = mix.conversations
        self.events = events
        self.agent = dispatch.Dispatcher(runtime).unpooled_agent  # clients open a connection for each attempt
        self.started_at = runtime.now()
        self.max_attempts = MAX_ATTEMPTS
        self.impatient_share = IMPATIENT_SHARE
        self.request_count = 0
        self.answers: list[CompleteAnswer] = []
        self.refusals_by_code: dict[str, int] = {}
        self.ends = {"whole": 0, "torn": 0, "refused": 0, "lost": 0, "gave_up": 0}
        self.last_workers: dict[str, str] = {}  # the worker of the last turn, by conversation
        self.kept_turns = 0  # turns that ran on the worker of the conversation's previous turn
        self.later_turns = 0  # turns that follow another turn of their conversation
        # Requests in progress; in simulations also single attempts.
        self.under_way: list[defer.Deferred[typing.Any]] = []

    async def run(self) -> None:
        """Send requests until the duration of the run is over, then wait for those in progress."""
        loops = [self.send_at_rate("long", self.long_rate), self.send_at_rate("short", self.short_rate)]
        loops += [self.converse(number) for number in range(self.conversations)]
        await defer.DeferredList([defer.ensureDeferred(loop) for loop in loops], consumeErrors=False)
        await defer.DeferredList(self.under_way)

    def end(self) -> None:
        """Start no new requests from now on."""
        self.duration_us = 0

    def is_over(self) -> bool:
        """Whether the duration of the run is over."""
        return self.runtime.now() - self.started_at >= self.duration_us

    async def send_at_rate(self, kind: RequestKind, rate: float) -> None:
        """Send requests of one kind at a mean rate per second, without waiting for their answers."""
        due = self.runtime.now()
        while rate > 0 and not self.is_over():
            due += int(self.runtime.rng.expovariate(rate) * units.SECOND_US)
            await self.runtime.sleep(due - self.runtime.now())
            parts = ["phrases"] if kind == "short" else ["bundle"]
            sending = self.runtime.spawn(self.send_request(kind, parts), log)
            self.under_way.append(sending)

    async def converse(self, number: int) -> None:
        """Hold one conversation after the other, each of 5 to 24 turns."""
        turn = 0
        while not self.is_over():
            await self.runtime.sleep(self.runtime.rng.randrange(300, 2500) * units.MILLISECOND_US)
            if number >= self.conversations:  # the number of conversations was lowered meanwhile
                break
            if turn == 0:
                name = f"talk-{number}-{self.request_count}"
                turns = self.runtime.rng.randrange(5, 25)
            worker = await self.send_request("talk", ["system", name])
            if worker is not None:
                self._count_turn(name, worker)
            turn = (turn + 1) % turns

    def _count_turn(self, name: str, worker: str) -> None:
        if name in self.last_workers:
            self.later_turns += 1
            self.kept_turns += worker == self.last_workers[name]
        self.last_workers[name] = worker

    async def send_request(self, kind: RequestKind, parts: list[str]) -> str | None:
        """Send one request, with retries; returns the worker's name after a complete answer, else None."""
        self.request_count += 1
        request_id = f"x{self.request_count}"
        idempotent = self.runtime.rng.random() < IDEMPOTENT_SHARE
        impatient = self.runtime.rng.random() < self.impatient_share
        size = LONG_BYTES if kind == "long" else SHORT_BYTES
        body = (f"{request_id} ".encode() * (size // (len(request_id) + 1) + 1))[:size]
        for number in range(1, self.max_attempts + 1):
            result = await self.send_attempt(Attempt(kind, request_id, number, idempotent, parts, body))
            if result.end == "whole":
                return result.worker
            if result.end == "final":
                break
            await self.runtime.sleep(IMPATIENT_RETRY_WAIT_US if impatient else result.wait_us)
        self.ends["gave_up"] += 1
        return None

    async def send_attempt(self, attempt: Attempt) -> AttemptResult:
        """Send one attempt on a new connection, and wait for the end of its answer."""
        host, port = self.runtime.rng.choice(self.node_addresses())
        started_at = self.runtime.now()
        self._log_sent(attempt, started_at, f"{host}:{port}")
        url = f"http://{host}:{port}{self.path}".encode()
        try:
            response = await self.runtime.within(
                self.agent.request(b"POST", url, _headers(attempt), dispatch.Body(attempt.body)), HEAD_TIMEOUT_US
            )
        except Exception as error:  # a client treats all connection errors alike
            self.ends["lost"] += 1
            name = type(error).__name__
            self.events.put(self.runtime.now(), "lost", exchange=attempt.request_id, send=attempt.number, why=name)
            return AttemptResult("lost", None, DEFAULT_RETRY_WAIT_US)
        done: defer.Deferred[bool] = defer.Deferred()
        collector = AnswerCollector(self.runtime, done)
        response.deliverBody(collector)
        complete = await done
        if response.code == 200:
            return self._take_answer(attempt, started_at, response, collector, complete)
        return self._take_refusal(attempt, started_at, response, b"".join(collector.parts))

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
        self, attempt: Attempt, started_at: int, response: dispatch.Response, collector: AnswerCollector, complete: bool
    ) -> AttemptResult:
        now = self.runtime.now()
        workers = response.headers.getRawHeaders(edge_protocol.TARGET_WORKER_HEADER)
        worker = workers[0] if workers else None
        end: AttemptEnd = "whole" if complete else "torn"
        self.ends[end] += 1
        if complete and collector.first_at is not None:
            self.answers.append(
                CompleteAnswer(attempt.kind, collector.first_at - started_at, collector.longest_pause_us)
            )
        self.events.put(
            now,
            end,
            exchange=attempt.request_id,
            send=attempt.number,
            worker=worker,
            first=(collector.first_at or now) - started_at,
            pause=collector.longest_pause_us,
            text=b"".join(collector.parts).decode("latin-1"),
        )
        return AttemptResult(end, worker, DEFAULT_RETRY_WAIT_US)

    def _take_refusal(
        self, attempt: Attempt, started_at: int, response: dispatch.Response, raw: bytes
    ) -> AttemptResult:
        now = self.runtime.now()
        try:
            document = json.loads(raw)
        except ValueError:
            document = {"code": f"status {response.code}", "verdict": "may_have_run"}
        code, execution = document["code"], document["verdict"]
        self.refusals_by_code[code] = self.refusals_by_code.get(code, 0) + 1
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
            return AttemptResult("final", None, DEFAULT_RETRY_WAIT_US)
        after_s = response.headers.getRawHeaders("Retry-After")
        return AttemptResult("refused", None, int(after_s[0]) * units.SECOND_US if after_s else DEFAULT_RETRY_WAIT_US)

    def report(self) -> dict[str, typing.Any]:
        """The counts of the run, and its times in milliseconds, as JSON values."""
        report: dict[str, typing.Any] = {
            "exchanges": self.request_count,
            "ends": self.ends,
            "refused_by_code": dict(sorted(self.refusals_by_code.items())),
        }
        for kind in typing.get_args(RequestKind):
            answers = [answer for answer in self.answers if answer.kind == kind]
            if answers:
                report[kind] = _summary(answers)
        report["pinned_turns"] = {"kept": self.kept_turns, "of": self.later_turns}
        return report


def _headers(attempt: Attempt) -> http_headers.Headers:
    return http_headers.Headers(
        {
            edge_protocol.PROMPT_PREFIX_HEADER: [", ".join(attempt.parts)],
            edge_protocol.REQUEST_ID_HEADER: [attempt.request_id],
            edge_protocol.SEND_NUMBER_HEADER: [str(attempt.number)],
            edge_protocol.MAY_REPEAT_HEADER: ["yes" if attempt.idempotent else "no"],
            "Content-Type": ["text/plain"],
        }
    )


def _summary(answers: list[CompleteAnswer]) -> dict[str, float]:
    first_bytes_us = sorted(answer.first_byte_us for answer in answers)
    return {
        "whole": len(answers),
        "first_ms_median": quantile_ms(first_bytes_us, 0.5),
        "first_ms_p99": quantile_ms(first_bytes_us, 0.99),
        "first_ms_max": first_bytes_us[-1] // units.MILLISECOND_US,
        "longest_pause_ms": max(answer.longest_pause_us for answer in answers) // units.MILLISECOND_US,
    }


def quantile_ms(sorted_us: list[int], share: float) -> float:
    """The quantile of sorted durations below which the given share of them lies, in milliseconds.

    >>> quantile_ms([1000, 2000, 3000], 0.5)
    2.0
    """
    return sorted_us[min(len(sorted_us) - 1, int(len(sorted_us) * share))] / units.MILLISECOND_US
