"""A simple HTTP/1.1 server that can also send incomplete answers and invalid bytes, as faulty workers do."""

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
UNKNOWN_PHRASE = "Some"  # reason phrase of all other statuses

Headers = list[tuple[str, str]]


def digest(raw: bytes) -> str:
    """A short digest of a body.

    >>> digest(b"") == digest(b"a")
    False
    """
    return f"{zlib.crc32(raw):08x}-{len(raw)}"


def encode_headers(headers: collections.abc.Iterable[tuple[str, str]]) -> str:
    r"""Headers as lines, each ending with CRLF.

    >>> encode_headers([("A", "1")])
    'A: 1\r\n'
    """
    return "".join(f"{name}: {value}\r\n" for name, value in headers)


def encode_answer(code: int, headers: collections.abc.Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    r"""A complete answer as bytes.

    >>> encode_answer(404, [("X-A", "1")], b"no")
    b'HTTP/1.1 404 Not Found\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nno'
    """
    lines = encode_headers([*headers, ("Content-Length", str(len(body)))])
    return f"HTTP/1.1 {code} {PHRASES.get(code, UNKNOWN_PHRASE)}\r\n{lines}\r\n".encode() + body


class ServedConnection(protocol.Protocol):
    """One connection to a server; its requests are served one at a time."""

    # Set by `makeConnection` before any other method is called.
    transport: network_model.ConnectionSide  # type: ignore[assignment]  # Twisted's is a zope interface

    def __init__(self, server: Server) -> None:
        self.server = server
        self.runtime = server.runtime
        self.parser = httptools.HttpRequestParser(self)
        self.up = False
        self.peer = ""
        self.current: ServedRequest | None = None  # request that the server is handling
        self.queued: collections.deque[ServedRequest] = collections.deque()
        self.idle_timer: scheduler.Timer | None = None
        self.closing = False
        self.dropped = False  # whether it was dropped silently: the next received byte resets it
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.url = b""

    def connectionMade(self) -> None:
        """Let the server accept the connection; reset it otherwise."""
        self.up = True
        self.peer = self.transport.getPeer().host
        if not self.server.opened(self):
            self.up = False
            self.transport.abortConnection()
            return
        self.start_idle()

    def connectionLost(self, _reason: failure.Failure = protocol.connectionDone) -> None:
        """Tell the server that the connection is lost."""
        self.up = False
        self.stop_idle()
        self.server.lost(self)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes; invalid ones reset the connection."""
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
        """Start a new request."""
        self.headers, self.body, self.url = [], [], b""

    def on_url(self, url: bytes) -> None:
        """Append a piece of the URL."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Serve the request, or queue it behind the one being served."""
        method, url = self.parser.get_method().decode(), self.url.decode("latin-1")
        request = ServedRequest(self, method, url, self.headers, b"".join(self.body))
        if self.current is not None:
            self.queued.append(request)
        else:
            self.begin(request)

    # ---- serving ------------------------------------------------------------------------

    def begin(self, request: ServedRequest) -> None:
        """Let the server handle a request."""
        self.stop_idle()
        self.current = request
        self.server.handle(request)

    def send(self, raw: bytes) -> None:
        """Write bytes if the connection is open."""
        if self.up:
            self.transport.write(raw)

    def finish(self, close: bool = False) -> None:
        """End the current request: close the connection, serve the next queued request, or wait for one."""
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
        """Start the idle time-out of the connection."""
        self.stop_idle()
        if self.server.idle_us:
            self.idle_timer = self.runtime.later(self.server.idle_us, self.end_idle)

    def end_idle(self) -> None:
        """End an idle connection: close it, or drop it silently."""
        if self.server.silent_drop:
            self.dropped = True
        elif self.up:
            self.transport.loseConnection()

    def stop_idle(self) -> None:
        """Cancel the idle time-out."""
        if self.idle_timer is not None and self.idle_timer.active():
            self.idle_timer.cancel()


class ServedRequest:
    """One request that a server received.

    >>> ServedRequest(None, "GET", "/a?b=c", [("X-A", "1")], b"").header("x-a")
    '1'
    """

    def __init__(self, connection: ServedConnection, method: str, url: str, headers: Headers, body: bytes) -> None:
        self.connection, self.method, self.url, self.body = connection, method, url, body
        self.path, _, self.query = url.partition("?")
        self.headers = headers
        self.is_over = False

    @typing.overload
    def header(self, name: str) -> str | None: ...

    @typing.overload
    def header(self, name: str, default: str) -> str: ...

    def header(self, name: str, default: str | None = None) -> str | None:
        """The value of a header, whose name is not case-sensitive."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), default)

    def reply(
        self, code: int, headers: collections.abc.Sequence[tuple[str, str]] = (), body: bytes = b"", close: bool = False
    ) -> None:
        """Send a complete answer, unless the request was already answered."""
        if self.is_over:
            return
        self.is_over = True
        more = [("Connection", "close")] if close else []
        self.connection.send(encode_answer(code, [*headers, *more], body))
        self.connection.finish(close)

    def reply_json(self, code: int, document: dict[str, typing.Any]) -> None:
        """Send a complete answer with a JSON body."""
        self.reply(code, [("Content-Type", "application/json")], json.dumps(document).encode())


class Server(protocol.Factory):
    """Accepts connections; subclasses handle requests.

    Attributes:
        idle_us: The time after which an idle connection is closed; 0 means never.
        silent_drop: Whether an idle connection is dropped without notice instead of closed.
    """

    noisy = False
    idle_us = 0
    silent_drop = False

    def __init__(self, runtime: scheduler.Runtime) -> None:
        self.runtime = runtime
        self.connections: list[ServedConnection] = []

    def buildProtocol(self, _address: interfaces.IAddress | None) -> ServedConnection:
        """Create the protocol of a new connection."""
        return ServedConnection(self)

    def handle(self, request: ServedRequest) -> None:
        """Handle a request."""
        raise NotImplementedError

    def opened(self, connection: ServedConnection) -> bool:
        """Accept a new connection; returns False to reset it."""
        self.connections.append(connection)
        return True

    def lost(self, connection: ServedConnection) -> None:
        """Forget a lost connection."""
        if connection in self.connections:
            self.connections.remove(connection)

    def received_garbage(self, connection: ServedConnection) -> None:
        """Called when received bytes are not valid HTTP."""
