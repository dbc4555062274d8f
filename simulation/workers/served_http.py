"""An HTTP/1.1 server by hand, which can also break off an answer or send bytes that are none."""

from __future__ import annotations

import collections
import collections.abc
import json
import typing
import zlib

import httptools
from twisted.internet import protocol

if typing.TYPE_CHECKING:
    from twisted.internet import interfaces
    from twisted.python import failure

    from iriswheel.runtime import scheduler
    from simulation import network_model

PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
UNKNOWN_PHRASE = "Some"

Headers = list[tuple[str, str]]


def digest(raw: bytes) -> str:
    """A short digest of a body.

    >>> digest(b"") == digest(b"a")
    False
    """
    return f"{zlib.crc32(raw):08x}-{len(raw)}"


def encode_headers(headers: collections.abc.Iterable[tuple[str, str]]) -> str:
    r"""Headers as lines, each with its end.

    >>> encode_headers([("A", "1")])
    'A: 1\r\n'
    """
    return "".join(f"{name}: {value}\r\n" for name, value in headers)


def encode_answer(code: int, headers: collections.abc.Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    r"""A whole answer as bytes.

    >>> encode_answer(404, [("X-A", "1")], b"no")
    b'HTTP/1.1 404 Not Found\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nno'
    """
    lines = encode_headers([*headers, ("Content-Length", str(len(body)))])
    return f"HTTP/1.1 {code} {PHRASES.get(code, UNKNOWN_PHRASE)}\r\n{lines}\r\n".encode() + body


class ServedConnection(protocol.Protocol):
    """One connection to a server, which serves one request at a time."""

    # Set by `makeConnection`, before anything else is called.
    transport: network_model.ConnectionSide  # type: ignore[assignment]  # Twisted's is a zope interface

    def __init__(self, server: Server) -> None:
        self.server = server
        self.runtime = server.runtime
        self.parser = httptools.HttpRequestParser(self)
        self.up = False
        self.peer = ""
        self.current: ServedRequest | None = None  # what the server works on
        self.queued: collections.deque[ServedRequest] = collections.deque()
        self.idle_timer: scheduler.Timer | None = None
        self.closing = False
        self.dropped = False  # silently: what comes next is reset
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.url = b""

    def connectionMade(self) -> None:
        """Let the server take the connection or reset it."""
        self.up = True
        self.peer = self.transport.getPeer().host
        if not self.server.opened(self):
            self.up = False
            self.transport.abortConnection()
            return
        self.start_idle()

    def connectionLost(self, _reason: failure.Failure = protocol.connectionDone) -> None:
        """Tell the server."""
        self.up = False
        self.stop_idle()
        self.server.lost(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse what came."""
        if self.dropped:
            self.transport.abortConnection()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.server.received_garbage(self)
            self.transport.abortConnection()

    # ---- callbacks of the parser --------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.headers, self.body, self.url = [], [], b""

    def on_url(self, url: bytes) -> None:
        """Keep a piece of the URL."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Serve the request, or let it wait for the one before it."""
        method, url = self.parser.get_method().decode(), self.url.decode("latin-1")
        request = ServedRequest(self, method, url, self.headers, b"".join(self.body))
        if self.current is not None:
            self.queued.append(request)
        else:
            self.begin(request)

    # ---- serving ------------------------------------------------------------------------

    def begin(self, request: ServedRequest) -> None:
        """Let the server work on a request."""
        self.stop_idle()
        self.current = request
        self.server.handle(request)

    def send(self, raw: bytes) -> None:
        """Write bytes, where the connection still stands."""
        if self.up:
            self.transport.write(raw)

    def finish(self, close: bool = False) -> None:
        """Go on after an answer: with the next request, or close."""
        self.current = None
        if close or self.closing:
            self.closing = True
            if self.up:
                self.transport.loseConnection()
        elif self.queued:
            self.begin(self.queued.popleft())
        else:
            self.start_idle()

    def start_idle(self) -> None:
        """Wait for the next request, as long as the server's idle time."""
        self.stop_idle()
        if self.server.idle_us:
            self.idle_timer = self.runtime.later(self.server.idle_us, self.end_idle)

    def end_idle(self) -> None:
        """Close after the idle time, or drop the connection without a word."""
        if self.server.silent_drop:
            self.dropped = True
        elif self.up:
            self.transport.loseConnection()

    def stop_idle(self) -> None:
        """Stop waiting."""
        if self.idle_timer is not None and self.idle_timer.active():
            self.idle_timer.cancel()


class ServedRequest:
    """One request as a server got it.

    >>> ServedRequest(None, "GET", "/a?b=c", [("X-A", "1")], b"").header("x-a")
    '1'
    """

    def __init__(self, connection: ServedConnection, method: str, url: str, headers: Headers, body: bytes) -> None:
        self.connection, self.method, self.url, self.body = connection, method, url, body
        self.path, _, self.query = url.partition("?")
        self.headers = headers
        self.over = False

    @typing.overload
    def header(self, name: str) -> str | None: ...

    @typing.overload
    def header(self, name: str, default: str) -> str: ...

    def header(self, name: str, default: str | None = None) -> str | None:
        """A header's value; names have no case."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), default)

    def reply(
        self, code: int, headers: collections.abc.Sequence[tuple[str, str]] = (), body: bytes = b"", close: bool = False
    ) -> None:
        """Answer at once and whole."""
        if self.over:
            return
        self.over = True
        more = [("Connection", "close")] if close else []
        self.connection.send(encode_answer(code, [*headers, *more], body))
        self.connection.finish(close)

    def reply_json(self, code: int, document: dict[str, typing.Any]) -> None:
        """Answer with JSON."""
        self.reply(code, [("Content-Type", "application/json")], json.dumps(document).encode())


class Server(protocol.Factory):
    """Takes connections; subclasses handle requests.

    Attributes:
        idle_us: After what time an idle connection is closed; never where 0.
        silent_drop: Whether it is dropped without a word instead.
    """

    noisy = False
    idle_us = 0
    silent_drop = False

    def __init__(self, runtime: scheduler.Runtime) -> None:
        self.runtime = runtime
        self.connections: list[ServedConnection] = []

    def buildProtocol(self, _address: interfaces.IAddress | None) -> ServedConnection:
        """Serve a new connection."""
        return ServedConnection(self)

    def handle(self, request: ServedRequest) -> None:
        """Handle a request."""
        raise NotImplementedError

    def opened(self, connection: ServedConnection) -> bool:
        """Whether a new connection is taken."""
        self.connections.append(connection)
        return True

    def lost(self, connection: ServedConnection) -> None:
        """Note that a connection is no more."""
        if connection in self.connections:
            self.connections.remove(connection)

    def received_garbage(self, connection: ServedConnection) -> None:
        """Note that bytes came that are no request."""
