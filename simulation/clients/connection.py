"""A client's HTTP/1.1 connection, with its own parsing so that every invalid or unexpected byte is detected."""

from __future__ import annotations

import collections.abc
import typing

import httptools
from twisted.internet import defer, protocol

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    from twisted.internet import interfaces
    from twisted.python import failure

    from iriswheel.runtime import scheduler
    from simulation import network_model

StrayHandler = collections.abc.Callable[["ClientConnection", bytes], object]

EVENT_STREAM = "text/event-stream"


class ReceivedEvent(typing.NamedTuple):
    """One event of a stream: number, seal of the run, arrival time, whether it is the last, and attempt id."""

    number: int
    seal: str
    at_us: int
    is_last: bool
    attempt: str


class PendingAnswer:
    """The answer to one request, received so far.

    Attributes:
        outcome: "whole", "closed", "garbage", "unconnected", or the reason why the client gave up; empty until the end.
    """

    def __init__(self, ended: collections.abc.Callable[[PendingAnswer], object]) -> None:
        """Wait for an answer; `ended` is called with this object once it has ended."""
        self.ended = ended
        self.outcome = ""
        self.code = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.events: list[ReceivedEvent] = []
        self.incomplete_event = b""  # received part of the event after the complete ones
        self.bad_events = 0
        self.first_at: int | None = None
        self.last_at: int | None = None
        self.longest_pause_us = 0

    @property
    def is_over(self) -> bool:
        """Whether the answer has ended, completely or not."""
        return bool(self.outcome)

    @property
    def is_success(self) -> bool:
        """Whether the answer is complete and its status is 2xx."""
        return self.outcome == "whole" and 200 <= self.code < 300

    def end(self, outcome: str) -> None:
        """Set the outcome and call `ended`, unless the answer has ended before."""
        if not self.is_over:
            self.outcome = outcome
            self.ended(self)

    def header(self, name: str) -> str | None:
        """The value of a header of the answer, or None."""
        return self.headers.get(name.lower())

    def receive(self, data: bytes, now: int) -> None:
        """Receive bytes of the body, and parse the events that they complete."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause_us = max(self.longest_pause_us, now - (self.last_at or 0))
        self.last_at = now
        self.body += data
        if not (self.header("content-type") or "").startswith(EVENT_STREAM):
            return
        self.incomplete_event += data
        *pieces, self.incomplete_event = self.incomplete_event.split(b"\n\n")
        for piece in pieces:
            try:
                self.events.append(parse_event(piece, now))
            except (ValueError, KeyError, UnicodeDecodeError):
                self.bad_events += 1


def parse_event(piece: bytes, now: int) -> ReceivedEvent:
    r"""Parse one event of a stream that arrived at a time.

    >>> parse_event(b"id: 3\ndata: s1 a1 3 last", 9)
    ReceivedEvent(number=3, seal='s1', at_us=9, is_last=True, attempt='a1')

    Raises:
        ValueError: The bytes are not an event of a worker.
        KeyError: A field is missing.
    """
    fields = dict(line.split(": ", 1) for line in piece.decode().split("\n"))
    seal, attempt, number, *last = fields["data"].split(" ")
    if number != fields["id"]:
        raise ValueError(number)
    return ReceivedEvent(int(number), seal, now, bool(last), attempt)


def ignore_stray(connection: ClientConnection, data: bytes) -> None:
    """Ignore bytes that belong to no request."""


class ClientConnection(protocol.Protocol):
    """A client's connection: it carries one request at a time, and is reused if both sides allow it."""

    # Set by `makeConnection` before any other method is called.
    transport: network_model.ConnectionSide  # type: ignore[assignment]  # Twisted's is a zope interface

    def __init__(self, runtime: scheduler.Runtime, stray: StrayHandler = ignore_stray) -> None:
        """Create a connection; `stray` is called with received bytes that belong to no request."""
        self.runtime, self.stray = runtime, stray
        self.parser = httptools.HttpResponseParser(self)
        self.pending: PendingAnswer | None = None
        self.up = False
        self.reusable = True
        self.idle_until: int | None = None  # time at which the other side closes the connection if it stays idle
        self.headers: dict[str, str] = {}
        self.informational = False  # whether the answer being parsed has a 1xx status

    def connectionMade(self) -> None:
        """Note that the connection is open."""
        self.up = True

    def start(self, pending: PendingAnswer, raw: bytes) -> None:
        """Send a request, whose answer goes to `pending`."""
        self.pending = pending
        self.transport.write(raw)

    def is_unread(self) -> bool:
        """Whether the other side has not yet read everything that was sent."""
        return self.transport.bytes_in_flight > 0

    def is_usable(self, now: int, margin_us: int) -> bool:
        """Whether another request can be sent: the peer keeps the connection open for at least the margin."""
        return self.up and self.reusable and (self.idle_until is None or self.idle_until - margin_us >= now)

    def drop(self, outcome: str) -> None:
        """Close the connection, and end its pending request with an outcome."""
        pending, self.pending, self.reusable = self.pending, None, False
        if self.up:
            self.transport.abortConnection()
        if pending is not None:
            pending.end(outcome)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; bytes that belong to no request close the connection."""
        pending = self.pending
        if pending is None:
            if self.reusable:
                self.stray(self, data)
            self.reusable = False
            self.transport.abortConnection()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.pending is None and pending.outcome == "whole":
                self.stray(self, data)  # extra bytes in the same segment as a complete answer
                self.reusable = False
                self.transport.abortConnection()
            else:
                self.drop("garbage")

    def connectionLost(self, _reason: failure.Failure = protocol.connectionDone) -> None:
        """End the pending request."""
        self.up = self.reusable = False
        pending, self.pending = self.pending, None
        if pending is not None:
            pending.end("closed")

    def _expected(self) -> PendingAnswer:
        """The answer that is being received.

        Raises:
            ValueError: No request is pending; the parser then fails, and the bytes count as invalid.
        """
        if self.pending is None:
            raise ValueError("An answer arrived while no request was pending.")
        return self.pending

    # ---- callbacks of the parser --------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start an answer."""
        self.headers = {}
        self._expected()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Pass the status and headers of a final answer to the pending request."""
        code = self.parser.get_status_code()
        self.informational = 100 <= code < 200
        if not self.informational:
            pending = self._expected()
            pending.code, pending.headers = code, self.headers

    def on_body(self, data: bytes) -> None:
        """Pass bytes of the body to the pending request."""
        self._expected().receive(data, self.runtime.now())

    def on_message_complete(self) -> None:
        """End the pending request with a complete answer, and note how long the peer keeps the connection."""
        if self.informational:
            return
        pending, self.pending = self._expected(), None
        self.reusable = self.reusable and self.parser.should_keep_alive()
        keep_alive = self.headers.get("keep-alive", "")
        self.idle_until = None
        if "timeout=" in keep_alive:
            seconds = int(keep_alive.split("timeout=")[1].split(",")[0])
            self.idle_until = self.runtime.now() + seconds * units.SECOND_US
        pending.end("whole")


class _ConnectionFactory(protocol.ClientFactory):
    """Creates one connection, and fires a Deferred with it."""

    noisy = False

    def __init__(
        self, runtime: scheduler.Runtime, stray: StrayHandler, opened: defer.Deferred[ClientConnection]
    ) -> None:
        self.runtime, self.stray, self.opened = runtime, stray, opened

    def buildProtocol(self, _address: interfaces.IAddress | None) -> ClientConnection:
        connection = ClientConnection(self.runtime, self.stray)
        self.runtime.later(0, self._report, connection)
        return connection

    def _report(self, connection: ClientConnection) -> None:
        if not self.opened.called:
            self.opened.callback(connection)

    def clientConnectionFailed(self, _connector: network_model.Connector, reason: failure.Failure) -> None:
        if not self.opened.called:
            self.opened.errback(reason)


def connect(
    runtime: scheduler.Runtime, host: str, port: int, timeout_us: int, stray: StrayHandler = ignore_stray
) -> defer.Deferred[ClientConnection]:
    """Open a connection; the Deferred fails with the error of the network."""
    opened: defer.Deferred[ClientConnection] = defer.Deferred()
    factory = _ConnectionFactory(runtime, stray, opened)
    runtime.reactor.connectTCP(host, port, factory, timeout=timeout_us / units.SECOND_US)
    return opened


def encode_head(method: str, path: str, headers: collections.abc.Iterable[tuple[str, str]]) -> bytes:
    r"""The request line and headers of a request.

    >>> encode_head("GET", "/a", [("Host", "h")])
    b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
    """
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()
