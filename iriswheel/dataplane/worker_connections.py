"""Connections to workers: one request at a time on each, kept for the next one.

The library's own agent reads one answer for each request and knows no other; a worker in
trouble may send another's answer first, or more than one. So the connections are ours, and
the parser is `httptools`.
"""

from __future__ import annotations

import collections.abc
import socket
import typing

import httptools
from twisted.internet import defer, error, protocol

from iriswheel.dataplane import tcp_client
from iriswheel.runtime import scheduler, units

if typing.TYPE_CHECKING:
    from twisted.python import failure

    from iriswheel.transport import message


CONNECT_TIMEOUT_US = 350 * units.MILLISECOND_US
KEEP_ALIVE_US = 4 * units.SECOND_US  # an idle connection, where the worker does not say how long it keeps one
MAX_KEEP_ALIVE_US = 60 * units.SECOND_US  # and where it does, at most
KEEP_ALIVE_MARGIN_US = 400 * units.MILLISECOND_US  # dropped so long before the worker would
TCP_USER_TIMEOUT_MS = 2_000  # after which sent bytes that nobody acknowledged end the connection
IDLE_LIMIT_VALIDITY_US = 30 * units.SECOND_US  # how long it counts that a worker had dropped an idle connection
MIN_IDLE_LIMIT_US = 100 * units.MILLISECOND_US  # idle connections this young are used whatever was learned
NO_IDLE_LIMIT_US = 10**12
MAX_FOREIGN_ANSWERS = 3  # answers to other requests that are passed over during one request


class UnreachableError(Exception):
    """No connection to a worker could be had: nothing was sent."""

    code = "unreached"


class AnswerReceiver(typing.Protocol):
    """What takes an answer from a connection: all of it, and then one of the two ends."""

    bodyless: bool  # whether the answer is a head alone

    def owns(self, status: int, headers: dict[str, str], uses: int) -> bool | None:
        """Whether an answer belongs to the request; None where that can't be told."""

    def head_received(self, status: int, headers: list[tuple[bytes, bytes]], lowercase: dict[str, str]) -> None:
        """Take the answer's status and headers, the latter as they came and by lower-case name."""

    def data_received(self, data: bytes) -> None:
        """Take a piece of the answer's body."""

    def answer_complete(self) -> None:
        """Note that the whole answer has come."""

    def answer_lost(self) -> None:
        """Note that the connection broke off, or brought what is no answer."""


class TcpTransport(typing.Protocol):
    """What a connection uses of its TCP transport."""

    def write(self, data: bytes, /) -> None:
        """Send bytes."""

    def abortConnection(self) -> None:
        """Break the connection off."""

    def setTcpNoDelay(self, enabled: bool, /) -> None:
        """Send small pieces at once."""

    def pauseProducing(self) -> None:
        """Read no further for now."""

    def resumeProducing(self) -> None:
        """Go on reading."""


ConnectionCallback: typing.TypeAlias = "collections.abc.Callable[[WorkerConnection], None]"


def _ignore(connection: WorkerConnection) -> None:
    """Stand in for a callback before the pool has set its own."""


class WorkerConnection(protocol.Protocol):
    """One connection to a worker."""

    # Set by `makeConnection`, before anything else is called.
    transport: TcpTransport  # type: ignore[assignment]

    def __init__(self, runtime: scheduler.Runtime, worker: str) -> None:
        self.runtime = runtime
        self.worker = worker
        self.receiver: AnswerReceiver | None = None  # while a request is under way
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_connected = False
        self.uses = 0  # requests that went over it
        self.foreign_answers = 0  # that were passed over during this request
        self.skipping_answer = False  # whether the answer that comes now is passed over
        self.must_close = False  # it is not to be used again
        self.keep_alive_us = KEEP_ALIVE_US
        self.expires_at_us = 0  # when an idle one is dropped
        self.idle_since_us = 0
        self.idle_us = 0  # how long it was idle before the request under way
        self.received_any = False  # whether anything came back in this request
        self.paused = False  # while the client reads too slowly
        self.on_stale: ConnectionCallback = _ignore
        self.on_free: ConnectionCallback = _ignore
        self.on_closed: ConnectionCallback = _ignore

    def connectionMade(self) -> None:
        """Set the socket's options."""
        self.is_connected = True
        self.transport.setTcpNoDelay(True)
        handle: socket.socket | None = getattr(self.transport, "getHandle", lambda: None)()
        if handle is not None:  # a simulated transport has none
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def start(self, raw: bytes, receiver: AnswerReceiver) -> None:
        """Send a request; its answer goes to the receiver."""
        self.receiver = receiver
        self.idle_us = self.runtime.now() - self.idle_since_us if self.uses else 0
        self.received_any = False
        self.uses += 1
        self.foreign_answers = 0
        self.skipping_answer = False
        self.transport.write(raw)

    def pause(self) -> None:
        """Read no further for now."""
        self.paused = True
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading."""
        self.paused = False
        self.transport.resumeProducing()

    def drop(self) -> None:
        """Break the connection off; its receiver, if any, is told nothing."""
        self.must_close = True
        self.receiver = None
        if self.is_connected:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser; bytes that nobody asked for, or that are no HTTP, end the connection."""
        if self.receiver is None:
            self.drop()
            return
        self.received_any = True
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail()

    def connectionLost(self, _reason: failure.Failure = protocol.connectionDone) -> None:
        """End the request under way, if any."""
        self.is_connected = False
        self.must_close = True
        receiver, self.receiver = self.receiver, None
        self.on_closed(self)
        if receiver is not None:
            if self.idle_us and not self.received_any:
                self.on_stale(self)
            receiver.answer_lost()

    # ---- what the parser calls; an exception here ends its `feed_data` with an HttpParserError -----

    def on_message_begin(self) -> None:
        """Begin an answer; one more after a whole answer ends the connection."""
        self.headers = []
        if self.receiver is None:
            self.drop()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Decide whose answer it is; one to another request, come late, is passed over."""
        receiver = self.receiver
        if receiver is None:
            return
        status: int = self.parser.get_status_code()
        if 100 <= status < 200:
            self.skipping_answer = True
            return
        lowercase = {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in self.headers}
        match receiver.owns(status, lowercase, self.uses):
            case True:
                self.skipping_answer = False
                self._note_keep_alive(lowercase)
                receiver.head_received(status, self.headers, lowercase)
                if receiver.bodyless:
                    self._end_without_body()
            case False:
                self.skipping_answer = True
                self.foreign_answers += 1
            case None:
                raise ValueError("whose answer it is can't be told")

    def on_body(self, body: bytes) -> None:
        """Pass a piece of the body on."""
        if self.receiver is not None and not self.skipping_answer:
            self.receiver.data_received(body)

    def on_message_complete(self) -> None:
        """End the request, unless it was another's answer."""
        if self.receiver is None:
            return
        if self.skipping_answer:
            self.skipping_answer = False
            if self.foreign_answers > MAX_FOREIGN_ANSWERS:
                raise ValueError("too many answers of others")
            return
        receiver, self.receiver = self.receiver, None
        if not self.parser.should_keep_alive():
            self.must_close = True
        receiver.answer_complete()
        self.release()

    def _fail(self) -> None:
        """End the request and the connection: what came is no answer."""
        receiver = self.receiver
        self.drop()
        if receiver is not None:
            receiver.answer_lost()

    def _end_without_body(self) -> None:
        """End a request whose answer is its head alone; the parser would wait for the length that is told."""
        receiver = self.receiver
        self.drop()
        if receiver is not None:
            receiver.answer_complete()

    def _note_keep_alive(self, headers: dict[str, str]) -> None:
        """Note how long the worker keeps the connection."""
        self.keep_alive_us = KEEP_ALIVE_US
        if "close" in headers.get("connection", "").lower():
            self.must_close = True
        for parameter in headers.get("keep-alive", "").split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                self.keep_alive_us = min(MAX_KEEP_ALIVE_US, int(value) * units.SECOND_US - KEEP_ALIVE_MARGIN_US)

    def release(self) -> None:
        """Offer the connection for the next request, if it is sound."""
        if self.must_close or self.keep_alive_us <= 0 or not self.is_connected:
            self.drop()
            return
        if self.paused:
            self.resume()  # else its end would not be noticed, nor the next answer read
        self.idle_since_us = self.runtime.now()
        self.expires_at_us = self.idle_since_us + self.keep_alive_us
        self.on_free(self)

    def is_usable(self, now: int) -> bool:
        """Whether an idle connection may still be used, or kept."""
        return self.is_connected and not self.must_close and now < self.expires_at_us


class IdleLimit(typing.NamedTuple):
    """For how long idle connections to a worker may be trusted, as was learned at a time."""

    learned_at_us: int
    limit_us: int


class ConnectionPool:
    """All connections of this process to workers.

    >>> ConnectionPool(scheduler.Runtime(None, now=lambda: 0)).count("w1")
    0
    """

    def __init__(self, runtime: scheduler.Runtime) -> None:
        self.runtime = runtime
        self.idle: dict[str, list[WorkerConnection]] = {}  # by worker, the latest used last
        self.open: dict[str, int] = {}  # worker -> how many there are
        self.idle_limits: dict[str, IdleLimit] = {}  # by worker
        self.on_connected: collections.abc.Callable[[str], object] = lambda _worker: None  # with the worker

    def count(self, worker: str) -> int:
        """Return how many connections to a worker are open.

        >>> ConnectionPool(scheduler.Runtime(None, now=lambda: 0)).count("w1")
        0
        """
        return self.open.get(worker, 0)

    def take(self, worker: str, max_idle_us: int) -> WorkerConnection | None:
        """Return an idle connection that was used within max_idle_us, or None.

        >>> ConnectionPool(scheduler.Runtime(None, now=lambda: 0)).take("w1", 1) is None
        True
        """
        now = self.runtime.now()
        kept = self.idle.get(worker, [])
        max_idle_us = min(max_idle_us, self.idle_limit_us(worker))
        while kept:
            connection = kept[-1]
            if not connection.is_usable(now):
                kept.pop()
                connection.drop()
            elif now - connection.idle_since_us > max_idle_us:
                return None
            else:
                return kept.pop()
        return None

    def idle_limit_us(self, worker: str) -> int:
        """Return how long a connection to a worker may have been idle and still be used, in microseconds.

        >>> pool = ConnectionPool(scheduler.Runtime(None, now=lambda: 0))
        >>> pool.idle_limits["w1"] = IdleLimit(0, 700_000)
        >>> pool.idle_limit_us("w1"), pool.idle_limit_us("w2") > 60 * units.SECOND_US
        (700000, True)
        """
        limit = self.idle_limits.get(worker)
        if limit is None or self.runtime.now() - limit.learned_at_us >= IDLE_LIMIT_VALIDITY_US:
            return NO_IDLE_LIMIT_US
        return limit.limit_us

    async def get(
        self, worker: message.Worker, max_idle_us: int, left_us: int = CONNECT_TIMEOUT_US
    ) -> WorkerConnection:
        """Return a connection to a worker, an idle one if it was used within max_idle_us.

        A new one is waited for up to CONNECT_TIMEOUT_US, and no longer than left_us.

        Raises:
            UnreachableError: No connection could be had.
        """
        return self.take(worker.id, max_idle_us) or await self.connect(worker, left_us)

    async def connect(self, worker: message.Worker, left_us: int = CONNECT_TIMEOUT_US) -> WorkerConnection:
        """Return a new connection to a worker, waited for up to CONNECT_TIMEOUT_US, and no longer than left_us.

        Raises:
            UnreachableError: No connection could be had.
        """
        self.open[worker.id] = self.open.get(worker.id, 0) + 1
        try:
            connection = await self._connect(worker, max(0, min(CONNECT_TIMEOUT_US, left_us)))
        except (defer.CancelledError, error.ConnectingCancelledError) as cancelled:
            self._count_closed(worker.id)
            raise defer.CancelledError() from cancelled  # an endpoint says it by an error of its own
        except Exception as reason:  # refused, timed out, no route: all mean that nothing was sent
            self._count_closed(worker.id)
            raise UnreachableError(type(reason).__name__) from reason
        connection.on_free = self._add_idle
        connection.on_stale = self._shorten_idle_limit
        connection.on_closed = self._note_closed
        if not connection.is_connected:
            self._count_closed(worker.id)
            raise UnreachableError("closed")
        self.on_connected(worker.id)
        return connection

    def sweep(self, listed: set[str]) -> None:
        """Drop idle connections past their time, and those to workers that are listed no more.

        >>> ConnectionPool(scheduler.Runtime(None, now=lambda: 0)).sweep({"w1"})
        """
        now = self.runtime.now()
        self.idle_limits = {worker: limit for worker, limit in self.idle_limits.items() if worker in listed}
        for worker, kept in list(self.idle.items()):
            usable = [connection for connection in kept if connection.is_usable(now) and worker in listed]
            for connection in kept:
                if connection not in usable:
                    connection.drop()
            if usable:
                self.idle[worker] = usable
            else:
                del self.idle[worker]

    def _connect(self, worker: message.Worker, timeout_us: int) -> defer.Deferred[WorkerConnection]:
        return tcp_client.connect(
            self.runtime.reactor,
            worker.host,
            worker.port,
            timeout_us,
            lambda: WorkerConnection(self.runtime, worker.id),
        )

    def _add_idle(self, connection: WorkerConnection) -> None:
        """Keep a connection that is idle now."""
        self.idle.setdefault(connection.worker, []).append(connection)

    def _shorten_idle_limit(self, connection: WorkerConnection) -> None:
        """Trust younger connections only: one that had been idle was gone when it was used."""
        if connection.idle_us > MIN_IDLE_LIMIT_US:
            worker = connection.worker
            limit_us = max(MIN_IDLE_LIMIT_US, min(connection.idle_us // 2, self.idle_limit_us(worker)))
            self.idle_limits[worker] = IdleLimit(self.runtime.now(), limit_us)

    def _note_closed(self, connection: WorkerConnection) -> None:
        self._count_closed(connection.worker)

    def _count_closed(self, worker: str) -> None:
        self.open[worker] -= 1
        if not self.open[worker]:
            del self.open[worker]
