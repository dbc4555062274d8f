"""A pool of HTTP connections to workers, each with one request at a time.

Twisted's HTTP agent takes the first answer on a connection as the answer to the request under way. A failing worker may
first send the answer to another request, or send more than one answer. This module therefore has its own connections,
which check whether each answer belongs to the request; `httptools` parses the answers.
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
KEEP_ALIVE_US = 4 * units.SECOND_US  # lifetime of an idle connection to a worker that sends no keep-alive time-out
MAX_KEEP_ALIVE_US = 60 * units.SECOND_US  # longest lifetime of an idle connection, whatever time-out the worker sends
KEEP_ALIVE_MARGIN_US = 400 * units.MILLISECOND_US  # time by which an idle connection is closed before the worker does
TCP_USER_TIMEOUT_MS = 2_000  # time without an acknowledgement of sent bytes until TCP closes the connection
IDLE_LIMIT_VALIDITY_US = 30 * units.SECOND_US  # lifetime of the idle limit learned for a worker
MIN_IDLE_LIMIT_US = 100 * units.MILLISECOND_US  # smallest idle limit that is learned for a worker
NO_IDLE_LIMIT_US = 10**12  # idle limit of a worker for which none is learned
BODYLESS_STATUSES = (204, 304)  # of answers that never have a body
MAX_HEAD_BYTES = 32 << 10  # received without any progress in an answer: a head or the lines between chunks
MAX_HEADERS = 256  # of one answer
MAX_FOREIGN_ANSWERS = 3  # answers to other requests that are discarded while one request waits for its own


class UnreachableError(Exception):
    """No connection to a worker could be made, so that nothing was sent to it."""

    code = "unreached"


class AnswerReceiver(typing.Protocol):
    """Receives the answer to one request from a connection.

    The connection calls `head_received` and `data_received`, and last either `answer_complete` or `answer_lost`.
    """

    bodyless: bool  # whether the answer consists of a head without a body

    def owns(self, status: int, headers: dict[str, str], uses: int) -> bool | None:
        """Whether an answer belongs to this receiver's request; None where the answer does not tell."""

    def head_received(self, status: int, headers: list[tuple[bytes, bytes]], lowercase: dict[str, str]) -> None:
        """Take the answer's status and its headers, both in their received form and by lower-case name."""

    def data_received(self, data: bytes) -> None:
        """Take one piece of the answer's body."""

    def answer_complete(self) -> None:
        """Note that the whole answer has been received."""

    def answer_lost(self) -> None:
        """Note that the connection was lost, or carried bytes that are no valid answer."""


class TcpTransport(typing.Protocol):
    """The methods of the TCP transport that a connection uses."""

    def write(self, data: bytes, /) -> None:
        """Send bytes."""

    def abortConnection(self) -> None:
        """Close the connection without sending what is buffered."""

    def setTcpNoDelay(self, enabled: bool, /) -> None:
        """Send small writes at once, without Nagle's algorithm."""

    def pauseProducing(self) -> None:
        """Pause reading."""

    def resumeProducing(self) -> None:
        """Resume reading."""


ConnectionCallback: typing.TypeAlias = "collections.abc.Callable[[WorkerConnection], None]"


def _ignore(connection: WorkerConnection) -> None:
    """Do nothing; the default of each callback until the pool sets its own."""


def ends_with_connection(status: int, headers: dict[str, str]) -> bool:
    """Whether an answer's body ends with the connection: RFC 9112, section 6.3.

    Args:
        status: The HTTP status of the answer.
        headers: The answer's headers, with their names in lower case.

    >>> ends_with_connection(200, {}), ends_with_connection(200, {"content-length": "5"}), ends_with_connection(204, {})
    (True, False, False)
    """
    return status not in BODYLESS_STATUSES and "content-length" not in headers and "transfer-encoding" not in headers


class WorkerConnection(protocol.Protocol):
    """One HTTP connection to a worker, with at most one request under way."""

    # Set by `makeConnection`, before anything else is called.
    transport: TcpTransport  # type: ignore[assignment]

    def __init__(self, runtime: scheduler.Runtime, worker: str) -> None:
        self.runtime = runtime
        self.worker = worker
        self.receiver: AnswerReceiver | None = None  # receiver of the answer; None while the connection is idle
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_connected = False
        self.uses = 0  # number of requests sent on it, with the one under way
        self.foreign_answers = 0  # answers to other requests that were discarded during the request under way
        self.skipping_answer = False  # whether the answer that is being received is discarded
        self.ends_with_connection = False  # whether the end of the connection is the end of the answer's body
        self.must_close = False  # whether it must not carry another request
        self.keep_alive_us = KEEP_ALIVE_US
        self.expires_at_us = 0  # time at which it is dropped if it is still idle
        self.idle_since_us = 0
        self.idle_us = 0  # idle time before the request under way; 0 for the first request
        self.received_any = False  # whether any byte was received during the request under way
        self.bytes_without_progress = 0  # received since the last head, piece of a body, or end of an answer
        self.paused = False  # whether reading is paused, because the client reads too slowly
        self.on_stale: ConnectionCallback = _ignore  # called when a reused connection was lost without a byte received
        self.on_free: ConnectionCallback = _ignore  # called when it is idle and can take the next request
        self.on_closed: ConnectionCallback = _ignore  # called once it is closed

    def connectionMade(self) -> None:
        """Set the options of the socket: no delay, keep-alive, and the TCP user time-out."""
        self.is_connected = True
        self.transport.setTcpNoDelay(True)
        handle: socket.socket | None = getattr(self.transport, "getHandle", lambda: None)()
        if handle is not None:  # a simulated transport has no socket
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def start(self, raw: bytes, receiver: AnswerReceiver) -> None:
        """Send a request, whose answer is given to the receiver."""
        self.receiver = receiver
        self.idle_us = self.runtime.now() - self.idle_since_us if self.uses else 0
        self.received_any = False
        self.bytes_without_progress = 0
        self.uses += 1
        self.foreign_answers = 0
        self.skipping_answer = False
        self.ends_with_connection = False
        self.transport.write(raw)

    def pause(self) -> None:
        """Pause reading."""
        self.paused = True
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading."""
        self.paused = False
        self.transport.resumeProducing()

    def drop(self) -> None:
        """Close the connection at once, without a call to its receiver."""
        self.must_close = True
        self.receiver = None
        if self.is_connected:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser; bytes that come without a request under way, or that are not HTTP, end the connection."""
        if self.receiver is None:
            self.drop()
            return
        self.received_any = True
        self.bytes_without_progress += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail()
            return
        if self.bytes_without_progress > MAX_HEAD_BYTES:
            self._fail()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """End the request under way, if there is one.

        It is lost, unless the worker has closed the connection in order after an answer that has no other end.
        """
        self.is_connected = False
        self.must_close = True
        receiver, self.receiver = self.receiver, None
        self.on_closed(self)
        if receiver is None:
            return
        if self.ends_with_connection and reason.check(error.ConnectionDone):
            receiver.answer_complete()
            return
        if self.idle_us and not self.received_any:
            self.on_stale(self)
        receiver.answer_lost()

    # ---- callbacks of the parser; where one raises, the parser's `feed_data` raises an HttpParserError -----

    def on_message_begin(self) -> None:
        """Begin an answer; one that begins after the request's own answer ended closes the connection."""
        self.headers = []
        if self.receiver is None:
            self.drop()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header of the answer."""
        if len(self.headers) >= MAX_HEADERS:
            raise ValueError("the answer has too many headers")
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Decide whether the answer belongs to the request under way.

        Interim answers (1xx), and late answers to other requests, are discarded.
        """
        self.bytes_without_progress = 0
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
                self.ends_with_connection = ends_with_connection(status, lowercase)
                receiver.head_received(status, self.headers, lowercase)
                if receiver.bodyless:
                    self._end_without_body()
            case False:
                self.skipping_answer = True
                self.foreign_answers += 1
            case None:
                raise ValueError("the answer does not tell to which request it belongs")

    def on_body(self, body: bytes) -> None:
        """Pass one piece of the body to the receiver."""
        self.bytes_without_progress = 0
        if self.receiver is not None and not self.skipping_answer:
            self.receiver.data_received(body)

    def on_message_complete(self) -> None:
        """End the request, unless the answer that ended was a discarded one."""
        self.bytes_without_progress = 0
        if self.receiver is None:
            return
        if self.skipping_answer:
            self.skipping_answer = False
            if self.foreign_answers > MAX_FOREIGN_ANSWERS:
                raise ValueError("the worker sent too many answers to other requests")
            return
        receiver, self.receiver = self.receiver, None
        if not self.parser.should_keep_alive():
            self.must_close = True
        receiver.answer_complete()
        self.release()

    def _fail(self) -> None:
        """End the request and the connection after bytes that are no valid answer."""
        receiver = self.receiver
        self.drop()
        if receiver is not None:
            receiver.answer_lost()

    def _end_without_body(self) -> None:
        """End a request whose answer has no body; the parser would wait for the body that Content-Length announces."""
        receiver = self.receiver
        self.drop()
        if receiver is not None:
            receiver.answer_complete()

    def _note_keep_alive(self, headers: dict[str, str]) -> None:
        """Note how long the worker keeps the connection open while it is idle, as the answer's headers say."""
        self.keep_alive_us = KEEP_ALIVE_US
        if "close" in headers.get("connection", "").lower():
            self.must_close = True
        for parameter in headers.get("keep-alive", "").split(","):
            name, _, value = parameter.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                self.keep_alive_us = min(MAX_KEEP_ALIVE_US, int(value) * units.SECOND_US - KEEP_ALIVE_MARGIN_US)

    def release(self) -> None:
        """Return the connection to the pool for the next request, or close it where it can't be reused."""
        if self.must_close or self.keep_alive_us <= 0 or not self.is_connected:
            self.drop()
            return
        if self.paused:
            self.resume()  # a paused connection would neither notice its end nor read the next answer
        self.idle_since_us = self.runtime.now()
        self.expires_at_us = self.idle_since_us + self.keep_alive_us
        self.on_free(self)

    def is_usable(self, now: int) -> bool:
        """Whether an idle connection can still carry a request: it is open and has not expired."""
        return self.is_connected and not self.must_close and now < self.expires_at_us


class IdleLimit(typing.NamedTuple):
    """The idle time up to which connections to a worker are reused, learned from a connection that was lost."""

    learned_at_us: int
    limit_us: int  # longest idle time, in microseconds


class ConnectionPool:
    """The connections of this process to workers, idle ones and those with a request under way.

    >>> ConnectionPool(scheduler.Runtime(None, now=lambda: 0)).count("w1")
    0
    """

    def __init__(self, runtime: scheduler.Runtime) -> None:
        self.runtime = runtime
        self.idle: dict[str, list[WorkerConnection]] = {}  # by worker id, the most recently used last
        self.open: dict[str, int] = {}  # number of open connections, by worker id
        self.idle_limits: dict[str, IdleLimit] = {}  # learned idle limits, by worker id
        # Called with the worker's id after each new connection.
        self.on_connected: collections.abc.Callable[[str], object] = lambda _worker: None

    def count(self, worker: str) -> int:
        """Return how many connections to a worker are open.

        >>> ConnectionPool(scheduler.Runtime(None, now=lambda: 0)).count("w1")
        0
        """
        return self.open.get(worker, 0)

    def open_count(self) -> int:
        """Return how many connections to all workers are open.

        >>> ConnectionPool(scheduler.Runtime(None, now=lambda: 0)).open_count()
        0
        """
        return sum(self.open.values())

    def take(self, worker: str, max_idle_us: int) -> WorkerConnection | None:
        """Take an idle connection that was last used within max_idle_us; returns None where there is none.

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
        """Return the longest idle time, in microseconds, after which a connection to a worker is still reused.

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
        """Return a connection to a worker: an idle one that was last used within max_idle_us, or else a new one.

        The time-out of a new connection is CONNECT_TIMEOUT_US or left_us, whichever is shorter.

        Raises:
            UnreachableError: No connection could be made.
        """
        return self.take(worker.id, max_idle_us) or await self.connect(worker, left_us)

    async def connect(self, worker: message.Worker, left_us: int = CONNECT_TIMEOUT_US) -> WorkerConnection:
        """Return a new connection to a worker, with a time-out of CONNECT_TIMEOUT_US or left_us if that is shorter.

        Raises:
            UnreachableError: No connection could be made.
        """
        self.open[worker.id] = self.open.get(worker.id, 0) + 1
        try:
            connection = await self._connect(worker, max(0, min(CONNECT_TIMEOUT_US, left_us)))
        except (defer.CancelledError, error.ConnectingCancelledError) as cancelled:
            self._count_closed(worker.id)
            raise defer.CancelledError() from cancelled  # Twisted's endpoints report a cancellation by their own error
        except Exception as reason:  # refused, timed out, no route: in each case nothing was sent
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
        """Drop idle connections that have expired, and those to workers whose ids are not in `listed`.

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
        """Keep a connection that has become idle for the next request to its worker."""
        self.idle.setdefault(connection.worker, []).append(connection)

    def _shorten_idle_limit(self, connection: WorkerConnection) -> None:
        """Limit the idle time of a worker's connections to half that of one that the worker closed before its reuse."""
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
