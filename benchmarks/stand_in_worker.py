"""A simulated worker: one model with a prefix cache, a batch of bounded size, and load reports that lag behind.

It implements the interface of docs/interface.md and writes an event log. Scenarios can make it answer wrongly.
"""

from __future__ import annotations

import collections
import enum
import json
import typing

from twisted.internet import defer

from iriswheel.dataplane import edge_protocol
from iriswheel.runtime import scheduler, units
from iriswheel.transport import http_server

if typing.TYPE_CHECKING:
    from iriswheel.cli import load_generator

PREFILL_BYTES_PER_S = 400_000  # prefill speed in prompt bytes; one prompt is read at a time
CACHED_PART_SAVED_SHARE = 0.85  # share of a prompt part's prefill time that is saved if the part is cached
TOKEN_US = 25 * units.MILLISECOND_US  # time between two tokens of an answer
SHORT_TOKENS = 12  # length of the answer to a short prompt
LONG_TOKENS = 24  # length of the answer to a long prompt
LONG_PROMPT_BYTES = 16_000  # a larger prompt is a long one
PROBE_BYTES = 16  # a body of at most this size belongs to a probe
PROBE_TOKENS = 2  # length of the answer to a probe
BATCH_SIZE = 24  # requests
MAX_CACHED_PARTS = 64
REPORT_LAG_US = 700 * units.MILLISECOND_US  # age of the load in a load report
SLOW_FIRST_EVENT_US = 3 * units.SECOND_US  # additional delay with AnswerFault.SLOW
STALL_US = 30 * units.SECOND_US  # with AnswerFault.STALLS
NO_ANSWER_US = 60 * units.SECOND_US  # with LoadReportMode.NEVER
OVERSIZED_EVENT_PADDING = "x" * 100_000  # part of each event with AnswerFault.OVERSIZED


class AnswerFault(enum.Enum):
    """How a worker answers requests wrongly; the values are the names of these faults in event logs."""

    SLOW = "slow"  # the first event of the stream comes late
    STALLS = "stops"  # the stream stalls halfway, and its connection is closed much later
    BREAKS_OFF = "short"  # the connection is closed halfway through the stream
    OVERSIZED = "long"  # each event of the stream is very large


class LoadReportMode(enum.Enum):
    """How a worker answers requests for its load."""

    GOOD = "good"
    LATE = "late"  # the answer comes one to three seconds late
    MISSING = "missing"  # 404, as from a worker that does not report its load
    UNREADABLE = "broken"  # truncated JSON
    MISTYPED = "wrong"  # the fields have wrong types
    NEVER = "never"  # no answer until long after every timeout


class PrefixCache:
    """An LRU cache of the prompt parts that a worker has read.

    >>> cache = PrefixCache(); cache.add(["system", "talk"])
    >>> cache.count_cached(["system", "other"]), cache.count_cached(["other", "system"])
    (1, 0)
    """

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[str, None] = collections.OrderedDict()  # the least recently used first

    def count_cached(self, parts: list[str]) -> int:
        """How many parts at the beginning of a prompt are cached."""
        for count, part in enumerate(parts):
            if part not in self.parts:
                return count
        return len(parts)

    def add(self, parts: list[str]) -> None:
        """Cache the parts of a prompt, and evict the least recently used parts above the limit."""
        for part in parts:
            self.parts[part] = None
            self.parts.move_to_end(part)
        while len(self.parts) > MAX_CACHED_PARTS:
            self.parts.popitem(last=False)


class Load(typing.NamedTuple):
    """A worker's load from a point in time until the next change."""

    since: int  # µs
    running: int  # requests in the batch
    queued: int  # requests that wait for a place in the batch


class Worker:
    """One simulated worker.

    Args:
        runtime: Its clock, scheduler and random numbers.
        identifier: Its name.
        events: The event log.
    """

    def __init__(self, runtime: scheduler.Runtime, identifier: str, events: load_generator.EventSink) -> None:
        self.runtime = runtime
        self.identifier = identifier
        self.events = events
        self.cache = PrefixCache()
        self.request_count = 0  # requests that run or wait
        self.prefill = defer.DeferredLock()  # one prompt is read at a time
        self.batch = defer.DeferredSemaphore(BATCH_SIZE)
        self.load_history: collections.deque[Load] = collections.deque([Load(0, 0, 0)])
        self.run_count = 0
        self.short_tokens = SHORT_TOKENS
        self.load_report = LoadReportMode.GOOD
        self.answer_fault: AnswerFault | None = None
        self.unhealthy = False  # whether it closes the connection of every request without an answer

    async def handle(self, request: http_server.Request) -> None:
        """Answer a request for the load, or serve a prompt."""
        match (request.method, request.path):
            case (b"GET", b"/load"):
                await self._report_load(request)
            case (b"POST", _):
                await self._run(request)
            case _:
                request.answer_json(404, {"error": "no such path"})

    async def _report_load(self, request: http_server.Request) -> None:
        match self.load_report:
            case LoadReportMode.LATE:
                await self.runtime.sleep(units.SECOND_US + self.runtime.rng.randrange(2 * units.SECOND_US))
            case LoadReportMode.MISSING:
                request.answer_json(404, {"error": "no such path"})
                return
            case LoadReportMode.UNREADABLE:
                request.answer(200, b'{"running": 3, "que')
                return
            case LoadReportMode.MISTYPED:
                request.answer_json(200, {"running": "many", "queued": [1]})
                return
            case LoadReportMode.NEVER:
                await self.runtime.sleep(NO_ANSWER_US)
                return
        reported_at = self.runtime.now() - REPORT_LAG_US
        while len(self.load_history) > 1 and self.load_history[1].since <= reported_at:
            self.load_history.popleft()
        load = self.load_history[0]
        request.answer_json(200, {"running": load.running, "queued": load.queued})

    def _change_request_count(self, change: int) -> None:
        """Count a request that begins (1) or ends (-1), and keep the new load for the reports, which lag behind."""
        self.request_count += change
        running, queued = min(self.request_count, BATCH_SIZE), max(0, self.request_count - BATCH_SIZE)
        self.load_history.append(Load(self.runtime.now(), running, queued))

    async def _run(self, request: http_server.Request) -> None:
        """Serve a prompt; stops when the client closes its connection before the end."""
        headers = request.requestHeaders
        request_id = edge_protocol.identifier(headers, edge_protocol.REQUEST_ID_HEADER)
        attempt = edge_protocol.send_number(headers)
        parts = edge_protocol.prompt_parts(headers)
        size = len(request.content.read())
        self.run_count += 1
        run = f"{self.identifier}-{self.runtime.incarnation}-{self.run_count}"
        self.events.put(
            self.runtime.now(),
            "run",
            worker=self.identifier,
            run=run,
            exchange=request_id,
            send=attempt,
            parts=parts,
            target=edge_protocol.header(headers, edge_protocol.TARGET_WORKER_HEADER),
            path=request.path.decode("latin-1"),
        )
        if self.unhealthy:
            request.break_off()
            return
        answering = defer.ensureDeferred(self._answer(request, run, request_id, parts, size))
        lost = request.client_lost.wait()
        lost.addCallback(lambda _: answering.cancel())
        self._change_request_count(1)
        try:
            await answering
            self.events.put(self.runtime.now(), "ran", worker=self.identifier, run=run, exchange=request_id)
        except defer.CancelledError:
            self.events.put(self.runtime.now(), "cut", worker=self.identifier, run=run, exchange=request_id)
        finally:
            self._change_request_count(-1)
            lost.addErrback(lambda _: None)
            lost.cancel()

    async def _answer(
        self, request: http_server.Request, run: str, request_id: str, parts: list[str], size: int
    ) -> None:
        """Wait for a place in the batch, read the prompt, then stream the answer."""
        await self.batch.acquire()
        try:
            await self._read_prompt(parts, size)
            request.setHeader("Content-Type", "text/event-stream")
            if self.answer_fault is AnswerFault.SLOW:
                await self.runtime.sleep(SLOW_FIRST_EVENT_US)
            await self._stream(request, {"worker": self.identifier, "run": run, "exchange": request_id}, size)
        finally:
            self.batch.release()

    async def _read_prompt(self, parts: list[str], size: int) -> None:
        """Wait for the prefill time of a prompt, which is shorter for cached parts, and cache its parts."""
        await self.prefill.acquire()
        try:
            cached = self.cache.count_cached(parts)
            fresh_bytes = size * (1 - CACHED_PART_SAVED_SHARE * cached / max(1, len(parts)))
            await self.runtime.sleep(int(fresh_bytes / PREFILL_BYTES_PER_S * units.SECOND_US))
            self.cache.add(parts)
        finally:
            self.prefill.release()

    async def _stream(self, request: http_server.Request, names: dict[str, str], size: int) -> None:
        """Send one event for each token, with the given fields in each, and then the end of the stream."""
        tokens = self._answer_tokens(size)
        for k in range(tokens):
            if k == tokens // 2 and self.answer_fault in (AnswerFault.STALLS, AnswerFault.BREAKS_OFF):
                if self.answer_fault is AnswerFault.STALLS:
                    await self.runtime.sleep(STALL_US)
                request.break_off()
                raise defer.CancelledError
            document: dict[str, object] = {**names, "k": k, "of": tokens}
            if self.answer_fault is AnswerFault.OVERSIZED:
                document["pad"] = OVERSIZED_EVENT_PADDING
            request.write(b"data: " + json.dumps(document).encode() + b"\n\n")
            await self.runtime.sleep(TOKEN_US)
        request.write(b"data: [DONE]\n\n")
        request.finish()

    def _answer_tokens(self, size: int) -> int:
        """Length in tokens of the answer to a prompt of the given size in bytes."""
        if size > LONG_PROMPT_BYTES:
            return LONG_TOKENS
        return self.short_tokens if size > PROBE_BYTES else PROBE_TOKENS
