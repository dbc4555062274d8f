"""A client's HTTP/1.1 connection, parsed by hand so that every odd byte of an answer is seen."""

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
    """One event of a stream: its number, the run's seal, when it came, whether it was the last, and its attempt."""

    number: int
    seal: str
    at_us: int
    is_last: bool
    attempt: str


class PendingAnswer:
    """One request on a connection, and what came back.

    Attributes:
        outcome: "whole", "closed", "garbage", "unconnected", or why the client gave up; empty while it waits.
    """

    def __init__(self, ended: collections.abc.Callable[[PendingAnswer], object]) -> None:
        """Wait for an answer; `ended` is called once, with this object."""
        self.ended = ended
        self.outcome = ""
        self.code = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.events: list[ReceivedEvent] = []
        self.incomplete_event = b""  # of an event that is not complete
        self.bad_events = 0
        self.first_at: int | None = None
        self.last_at: int | None = None
        self.longest_pause_us = 0

    @property
    def is_over(self) -> bool:
        """Whether it has ended in any way."""
        return bool(self.outcome)

    @property
    def is_success(self) -> bool:
        """Whether a whole answer with a status of success came."""
        return self.outcome == "whole" and 200 <= self.code < 300

    def end(self, outcome: str) -> None:
        """Note how it ended, once."""
        if not self.is_over:
            self.outcome = outcome
            self.ended(self)

    def header(self, name: str) -> str | None:
        """A header of the answer, or None."""
        return self.headers.get(name.lower())

    def receive(self, data: bytes, now: int) -> None:
        """Receive bytes of the body, and the events that they complete."""
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
    r"""The event in a piece of a stream that came at a time.

    >>> parse_event(b"id: 3\ndata: s1 a1 3 last", 9)
    ReceivedEvent(number=3, seal='s1', at_us=9, is_last=True, attempt='a1')

    Raises:
        ValueError: Where it is no event of a worker.
        KeyError: Where a field is missing.
    """
    fields = dict(line.split(": ", 1) for line in piece.decode().split("\n"))
    seal, attempt, number, *last = fields["data"].split(" ")
    if number != fields["id"]:
        raise ValueError(number)
    return ReceivedEvent(int(number), seal, now, bool(last), attempt)


def ignore_stray(connection: ClientConnection, data: bytes) -> None:
    """Ignore bytes that nobody asked for."""


class ClientConnection(protocol.Protocol):
    """A client's connection: one request at a time, kept for the next one if both sides allow it."""

    # Set by `makeConnection`, before anything else is called.
    transport: network_model.ConnectionSide  # type: ignore[assignment]  # Twisted's is a zope interface

    def __init__(self, runtime: scheduler.Runtime, stray: StrayHandler = ignore_stray) -> None:
        """Make a connection; `stray` is called with bytes that nobody asked for."""
        self.runtime, self.stray = runtime, stray
        self.parser = httptools.HttpResponseParser(self)
        self.pending: PendingAnswer | None = None
        self.up = False
        self.reusable = True
        self.idle_until: int | None = None  # when the other side ends it if idle
        self.headers: dict[str, str] = {}
        self.informational = False  # whether what comes is no final answer

    def connectionMade(self) -> None:
        """Note that it is open."""
        self.up = True

    def start(self, pending: PendingAnswer, raw: bytes) -> None:
        """Send a request."""
        self.pending = pending
        self.transport.write(raw)

    def is_unread(self) -> bool:
        """Whether the other side has not read all that was sent."""
        return self.transport.bytes_in_flight > 0

    def is_usable(self, now: int, margin_us: int) -> bool:
        """Whether it may carry another request: it stands, and the other side won't end it within the margin."""
        return self.up and self.reusable and (self.idle_until is None or self.idle_until - margin_us >= now)

    def drop(self, outcome: str) -> None:
        """Give the request up, and the connection with it."""
        pending, self.pending, self.reusable = self.pending, None, False
        if self.up:
            self.transport.abortConnection()
        if pending is not None:
            pending.end(outcome)

    def dataReceived(self, data: bytes) -> None:
        """Parse what came."""
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
                self.stray(self, data)  # more bytes in one piece with a whole answer
                self.reusable = False
                self.transport.abortConnection()
            else:
                self.drop("garbage")

    def connectionLost(self, _reason: failure.Failure = protocol.connectionDone) -> None:
        """End the request that is under way."""
        self.up = self.reusable = False
        pending, self.pending = self.pending, None
        if pending is not None:
            pending.end("closed")

    def _expected(self) -> PendingAnswer:
        """The answer that is expected.

        Raises:
            ValueError: None is; the parser then fails on what came.
        """
        if self.pending is None:
            raise ValueError("an answer that nobody asked for")
        return self.pending

    # ---- callbacks of the parser --------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.headers = {}
        self._expected()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Hand over the status and headers of a final answer."""
        code = self.parser.get_status_code()
        self.informational = 100 <= code < 200
        if not self.informational:
            pending = self._expected()
            pending.code, pending.headers = code, self.headers

    def on_body(self, data: bytes) -> None:
        """Hand over bytes of the body."""
        self._expected().receive(data, self.runtime.now())

    def on_message_complete(self) -> None:
        """End the request as whole."""
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
    """Makes one connection, and tells whoever waits for it."""

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
    """Open a connection; the Deferred fails as the network says."""
    opened: defer.Deferred[ClientConnection] = defer.Deferred()
    factory = _ConnectionFactory(runtime, stray, opened)
    runtime.reactor.connectTCP(host, port, factory, timeout=timeout_us / units.SECOND_US)
    return opened


def encode_head(method: str, path: str, headers: collections.abc.Iterable[tuple[str, str]]) -> bytes:
    r"""The head of a request.

    >>> encode_head("GET", "/a", [("Host", "h")])
    b'GET /a HTTP/1.1\r\nHost: h\r\n\r\n'
    """
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()
