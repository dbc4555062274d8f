"""Simulated clients: they send random requests, retry as the request kind allows, and log each attempt as `tried`."""

from __future__ import annotations

import math
import random
import typing
import zlib

import loguru
from twisted.internet import defer

from iriswheel.runtime import units
from simulation import event_log, platform_names
from simulation.clients import connection, request_kinds
from simulation.workers import served_http

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler
    from simulation.clients import virtual_address

NOT_RUN_STATUSES = (408, 421, 429, 503)  # the request was not and will not be executed
FINAL_STATUSES = (400, 401, 404, 413, 431)  # errors that no retry can resolve
EAGER_RETRY_FACTOR = 3  # factor on the retries of a client that retries eagerly
RETRY_WAIT_US = 50 * units.MILLISECOND_US  # wait before a retry if the answer has no Retry-After header
EAGER_RETRY_WAIT_US = 1
DEADLINE_SLACK_US = 50 * units.MILLISECOND_US  # time after the deadline for which a client still waits
IDLE_MARGIN_US = 200 * units.MILLISECOND_US  # least remaining idle time of a connection that is reused
MAX_BODY_BYTES = 200_000
LOGGED_BYTES = 80  # bytes of unexpected data that are logged
LOGGED_TEXT = 120  # bytes of an error's body that are logged
NEVER_US = 10**12  # a time-out that is never reached

Headers = list[tuple[str, str]]
Row = dict[str, typing.Any]

log = loguru.logger.bind(part="users")


class HotKey(typing.NamedTuple):
    """A popular prompt: the share of requests of a kind whose shared prompt parts are all the first variant."""

    kind: str
    share: float


class Request(typing.NamedTuple):
    """A request that a client sends in one or more attempts.

    Attributes:
        identifier: Its name in the event log.
        path: The path of its URL.
        headers: The headers that are the same in all attempts.
        body: Its body.
        deadline_at: The time of its deadline, in microseconds.
    """

    identifier: str
    path: str
    headers: Headers
    body: bytes
    deadline_at: int


class Attempt(typing.NamedTuple):
    """One attempt of a request.

    Attributes:
        kind: The kind of the request.
        request: The request.
        identifier: The random id of this attempt.
        number: The number of earlier attempts.
        after: The number of the last event received so far, after which a stream is resumed; 0 for none.
        started_at: The time at which the attempt began, in microseconds.
    """

    kind: request_kinds.RequestKind
    request: Request
    identifier: str
    number: int
    after: int
    started_at: int

    def idle_timeout_us(self) -> int:
        """The time without a received byte after which the client gives up."""
        if not self.kind.is_stream:
            return NEVER_US
        aim_us, pause_us = self.kind.aim_ms * units.MILLISECOND_US, self.kind.pause_ms * units.MILLISECOND_US
        return max(2 * units.SECOND_US, 4 * aim_us, 8 * pause_us)

    def read_timeout_us(self) -> int:
        """The time within which the other side must have read the whole request."""
        return min(units.SECOND_US, (self.request.deadline_at - self.started_at) // 3)


class Client:
    """One client with its own connections.

    Attributes:
        keep_alive: Whether it reuses connections for further requests.
        chunked: Whether it sends bodies with chunked transfer encoding.
        retries_eagerly: Whether it retries without delay and more often.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        event_log: event_log.EventLog,
        address: virtual_address.VirtualAddress,
        name: str,
        zone: str,
        *,
        keep_alive: bool = True,
        chunked: bool = False,
        retries_eagerly: bool = False,
    ) -> None:
        self.runtime, self.event_log, self.virtual_address = runtime, event_log, address
        self.name, self.zone = name, zone
        self.keep_alive, self.chunked, self.retries_eagerly = keep_alive, chunked, retries_eagerly
        self.idle: dict[str, list[connection.ClientConnection]] = {}  # node -> its idle connections
        self.request_count = 0

    # ---- contents of requests -----------------------------------------------------------------------

    def content(self, kind: request_kinds.RequestKind, hot: HotKey | None = None) -> tuple[Headers, bytes]:
        """The headers and body of a random request."""
        rng = self.runtime.rng
        parts = self._parts(kind, hot)
        tokens_out = kind.event_tokens * (request_kinds.draw(rng, *kind.events) - 1) + 1
        tokens_in = sum(tokens for _, tokens in parts)
        names = platform_names.HEADERS
        headers = [
            (names["model"], "m"),
            (names["tokens"], f"{tokens_in},{tokens_out}"),
            (names["parts"], ",".join(f"{part}:{tokens}" for part, tokens in parts)),
        ]
        body = b"%08x" % rng.getrandbits(32)
        body += b"." * max(0, request_kinds.draw(rng, kind.body_bytes, 0.3, MAX_BODY_BYTES) - len(body))
        return headers if kind.is_stream else [], body

    def _parts(self, kind: request_kinds.RequestKind, hot: HotKey | None) -> list[tuple[str, int]]:
        rng, parts = self.runtime.rng, []
        for level, (mean, spread, variants, skew) in enumerate(kind.parts):
            is_hot = hot is not None and hot.kind == kind.name and rng.random() < hot.share
            variant = 0 if is_hot else request_kinds.draw_variant(rng, variants, skew)
            identifier = zlib.crc32(f"{kind.name} {level} {variant}".encode())
            sizes = random.Random(identifier)  # gives the same size each time the part is drawn
            parts.append((f"{identifier:08x}", request_kinds.draw(sizes, mean, spread, 3 * mean)))
        parts.append((f"{rng.getrandbits(32):08x}", request_kinds.draw(rng, *kind.unique_tokens)))
        return parts

    # ---- requests ----------------------------------------------------------------------

    async def send(self, kind: request_kinds.RequestKind, hot: HotKey | None = None) -> None:
        """Send a random request, and retry it as its kind allows."""
        runtime = self.runtime
        headers, body = self.content(kind, hot)
        self.request_count += 1
        started_at = runtime.now()
        request = Request(
            f"{self.name}-{self.request_count}",
            f"{kind.path}{runtime.rng.getrandbits(8):02x}",
            headers,
            body,
            started_at + kind.deadline_ms * units.MILLISECOND_US,
        )
        names = dict(request=request.identifier, sort=kind.name, zone=self.zone)
        self.event_log.put(started_at, "asked_for", **names)
        after = attempts = 0
        while True:
            row = await self.send_attempt(kind, request, attempts, after)
            attempts += 1
            if kind.resumable:
                after = max([after, *(event[0] for event in row["events"])])
            if not self._may_retry(kind, row, attempts) or runtime.now() >= request.deadline_at:
                break
            await runtime.sleep(self._retry_wait_us(row, request.deadline_at))
            if runtime.now() >= request.deadline_at:
                break
        self.event_log.put(
            runtime.now(),
            "answered",
            **names,
            began=started_at,
            tries=attempts,
            ok=row["how"] == "whole" and 200 <= row["code"] < 300,
            code=row["code"],
            how=row["how"],
        )

    def _may_retry(self, kind: request_kinds.RequestKind, row: Row, attempts: int) -> bool:
        code, is_complete = row["code"], row["how"] == "whole"
        if is_complete and (200 <= code < 300 or code in FINAL_STATUSES):
            return False
        if not (kind.is_idempotent or row["how"] == "unconnected" or (is_complete and code in NOT_RUN_STATUSES)):
            return False
        return attempts <= kind.max_retries * (EAGER_RETRY_FACTOR if self.retries_eagerly else 1)

    def _retry_wait_us(self, row: Row, until: int) -> int:
        if self.retries_eagerly:
            return EAGER_RETRY_WAIT_US
        if row["retry_after"] is None:
            return RETRY_WAIT_US
        return min(int(row["retry_after"] * units.SECOND_US), (until - self.runtime.now()) // 3)

    # ---- attempts ------------------------------------------------------------------------

    async def send_attempt(
        self,
        kind: request_kinds.RequestKind,
        request: Request,
        number: int,
        after: int = 0,
        node: str | None = None,
    ) -> Row:
        """Send one attempt of a request; returns its row of the event log.

        Args:
            kind: The kind of the request.
            request: The request.
            number: The number of earlier attempts.
            after: The number of the last event received so far.
            node: The node to send the attempt to; if None, the virtual address picks one.
        """
        identifier = f"{self.runtime.rng.getrandbits(64):016x}"
        if node is None:
            name, (host, port) = self.virtual_address.pick(self.zone, self.name, number)
        else:
            name, (host, port) = node, self.virtual_address.nodes[node].front
        attempt = Attempt(kind, request, identifier, number, after, self.runtime.now())
        raw = self.encode(attempt)
        ended: defer.Deferred[None] = defer.Deferred()
        answer = connection.PendingAnswer(lambda _: ended.callback(None))
        opened = self.acquire_idle(name)
        row = dict(self._row_of_attempt(attempt), node=name, direct=node is not None)
        if opened is None:
            opened = await self._connect(name, host, port, request.deadline_at - attempt.started_at)
        if opened is None:
            answer.end("unconnected")
        else:
            row["sent"] = self.runtime.now()
            opened.start(answer, raw)
            await self._watch(attempt, opened, answer, ended, row["sent"])
            self._release(name, opened, answer)
        row.update(self._row_of_answer(answer))
        self.event_log.put(self.runtime.now(), "tried", **row)
        return row

    def encode(self, attempt: Attempt) -> bytes:
        """The HTTP request of an attempt."""
        names, request = platform_names.HEADERS, attempt.request
        left_ms = max(1, (request.deadline_at - attempt.started_at) // units.MILLISECOND_US)
        headers = [
            ("Host", attempt.kind.host),
            (names["attempt"], attempt.identifier),
            *request.headers,
            (names["left"], str(left_ms)),
        ]
        if attempt.after:
            headers.append((names["after"], str(attempt.after)))
        body = request.body
        if self.chunked and body:
            middle = len(body) // 2
            chunks = [chunk for chunk in (body[:middle], body[middle:]) if chunk]
            body = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n\r\n"
            headers.append(("Transfer-Encoding", "chunked"))
        else:
            headers.append(("Content-Length", str(len(body))))
        if not self.keep_alive:
            headers.append(("Connection", "close"))
        return connection.encode_head("POST", request.path, headers) + body

    def acquire_idle(self, node: str) -> connection.ClientConnection | None:
        """Take an idle connection to a node that can be reused; None if there is none."""
        idle = self.idle.setdefault(node, [])
        while idle:
            candidate = idle.pop()
            if candidate.is_usable(self.runtime.now(), IDLE_MARGIN_US):
                return candidate
            candidate.drop("idle")
        return None

    async def _connect(self, node: str, host: str, port: int, left_us: int) -> connection.ClientConnection | None:
        timeout_us = min(units.SECOND_US, max(1, left_us))
        try:
            return await connection.connect(self.runtime, host, port, timeout_us, self._stray(node))
        except defer.CancelledError:
            raise
        except Exception:  # any failure means that there is no connection
            return None

    def _stray(self, node: str) -> connection.StrayHandler:
        def note(_: connection.ClientConnection, data: bytes) -> None:
            text = data[:LOGGED_BYTES].decode("latin-1")
            self.event_log.put(self.runtime.now(), "stray", node=node, client=self.name, data=text)

        return note

    async def _watch(
        self,
        attempt: Attempt,
        opened: connection.ClientConnection,
        answer: connection.PendingAnswer,
        ended: defer.Deferred[None],
        sent_at: int,
    ) -> None:
        """Wait for the answer; give up at the deadline, after the idle time-out, or if the request is not read."""
        until = attempt.request.deadline_at + DEADLINE_SLACK_US
        idle_timeout_us, read_timeout_us = attempt.idle_timeout_us(), attempt.read_timeout_us()
        while not answer.is_over:
            now = self.runtime.now()
            last_at = answer.last_at or sent_at
            if now >= until:
                opened.drop("deadline")
            elif now - last_at >= idle_timeout_us:
                opened.drop("silent")
            elif now - sent_at >= read_timeout_us and opened.is_unread() and attempt.kind.is_idempotent:
                opened.drop("unread")
            else:
                wakes = [until, last_at + idle_timeout_us]
                if now - sent_at < read_timeout_us:
                    wakes.append(sent_at + read_timeout_us)
                await self.first_of(ended, min(wakes) - now)

    def _release(self, node: str, opened: connection.ClientConnection, answer: connection.PendingAnswer) -> None:
        if opened.up and opened.reusable and self.keep_alive and answer.outcome == "whole":
            self.idle[node].append(opened)
        else:
            opened.drop("used")

    def _row_of_attempt(self, attempt: Attempt) -> Row:
        kind, request = attempt.kind, attempt.request
        return dict(
            attempt=attempt.identifier,
            request=request.identifier,
            tries=attempt.number,
            sort=kind.name,
            repeat=kind.is_idempotent,
            stream=kind.is_stream,
            host=kind.host,
            url=request.path,
            method="POST",
            body=served_http.digest(request.body),
            zone=self.zone,
            sent=attempt.started_at,
            until=request.deadline_at,
            after=attempt.after,
        )

    def _row_of_answer(self, answer: connection.PendingAnswer) -> Row:
        names = platform_names.HEADERS
        retry_after = answer.header("retry-after")
        return dict(
            code=answer.code,
            how=answer.outcome,
            seal=answer.header(names["seal"]),
            echo=answer.header(names["attempt"]),
            retry_after=float(retry_after) if retry_after else None,
            got=served_http.digest(answer.body),
            events=answer.events,
            bad_events=answer.bad_events,
            rest=bool(answer.incomplete_event),
            first=answer.first_at,
            pause=answer.longest_pause_us,
            encoding=answer.header("content-encoding"),
            done=self.runtime.now(),
            text="" if 200 <= answer.code < 300 else answer.body[:LOGGED_TEXT].decode("latin-1"),
        )

    def first_of(self, ended: defer.Deferred[None], wait_us: int) -> defer.Deferred[None]:
        """A Deferred that fires when `ended` does, or after a time."""
        fired: defer.Deferred[None] = defer.Deferred()

        def expire() -> None:
            if not fired.called:
                fired.callback(None)

        timer = self.runtime.later(max(1, wait_us), expire)

        def end(result: None) -> None:
            if timer.active():
                timer.cancel()
            if not fired.called:
                fired.callback(None)
            return result

        ended.addCallback(end)
        return fired


class Traffic:
    """The requests of all clients of a zone.

    Attributes:
        rate_factors: Kind of request -> factor on its usual rate.
        hot_key: The prompt that is popular at present.
        in_flight: The number of requests that have not ended.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        clients: list[Client],
        kinds: tuple[request_kinds.RequestKind, ...],
        rate: float,
        phase: float = 0.0,
    ) -> None:
        """Prepare traffic.

        Args:
            runtime: The clock and the source of random numbers.
            clients: The clients that send the requests.
            kinds: The kinds of requests that they send.
            rate: The average number of requests per second.
            phase: The phase, from 0 to 1, at which the rate starts its sine wave with a period of 11 s.
        """
        self.runtime, self.clients, self.kinds, self.rate, self.phase = runtime, clients, kinds, rate, phase
        self.rate_factors: dict[str, float] = {}
        self.hot_key: HotKey | None = None
        self.in_flight = 0

    async def run(self, until: int) -> None:
        """Send random requests until a time in microseconds."""
        runtime, rng = self.runtime, self.runtime.rng
        while runtime.now() < until:
            weights = [kind.share * self.rate_factors.get(kind.name, 1) for kind in self.kinds]
            wave = 1 + 0.15 * math.sin(2 * math.pi * (runtime.now() / (11 * units.SECOND_US) + self.phase))
            rate = self.rate * sum(weights) / sum(kind.share for kind in self.kinds) * wave
            await runtime.sleep(int(rng.expovariate(rate) * units.SECOND_US))
            kind = rng.choices(self.kinds, weights)[0]
            runtime.spawn(self._send(rng.choice(self.clients), kind), log)

    async def _send(self, client: Client, kind: request_kinds.RequestKind) -> None:
        self.in_flight += 1
        try:
            await client.send(kind, hot=self.hot_key)
        finally:
            self.in_flight -= 1
