"""The HTTP server of iriswheel's processes: Twisted's, with bounds, and one task per request."""

from __future__ import annotations

import collections.abc
import http as http_status
import io
import json
import typing

import loguru
import msgspec
import twisted.internet.protocol as twisted_protocol
from twisted.internet import defer
from twisted.web import http

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.runtime import scheduler, units

if typing.TYPE_CHECKING:
    from twisted.internet import interfaces
    from twisted.python import failure


CLOCK_ALLOWANCE_US = 2 * units.SECOND_US  # beyond what a client may take: its clock is not ours
MAX_JSON_DEPTH = 100  # of lists and objects in each other: what reads them later has less of the stack left
CONNECTION_LIMIT = 2048

log = loguru.logger.bind(part="http_server")

HandlerCoroutine: typing.TypeAlias = "collections.abc.Coroutine[typing.Any, typing.Any, object]"
Handler: typing.TypeAlias = "collections.abc.Callable[[Request], HandlerCoroutine]"


class ErrorFormat(typing.Protocol):
    """How errors are answered."""

    def error_response(self, error: errors.ServiceError, /) -> tuple[int, list[tuple[str, str]], bytes]:
        """The answer to an error: HTTP status, headers, body."""


class JsonErrorFormat:
    """Errors as they are answered where the server is given no other format."""

    def error_response(self, error: errors.ServiceError, /) -> tuple[int, list[tuple[str, str]], bytes]:
        """The answer to an error: HTTP status, headers, body."""
        return error.status, error.headers(), error.body()


def parse_json(raw: bytes) -> typing.Any:  # noqa: ANN401 - any JSON value
    """JSON as it can be kept and passed on; raises ValueError for all other bytes.

    Refused are also numbers beyond 64 bits, infinite or no numbers, lone surrogates, and more than MAX_JSON_DEPTH
    containers in each other.

    >>> parse_json(b'{"a": [1.5]}')
    {'a': [1.5]}
    >>> parse_json(b"[" * 101 + b"]" * 101)
    Traceback (most recent call last):
    ...
    ValueError: nested more than 100 deep
    """
    try:
        document = msgspec.json.decode(raw)
        msgspec.msgpack.encode(document)
    except (msgspec.MsgspecError, RecursionError, OverflowError) as error:
        raise ValueError(str(error)) from error
    level = [document]
    for _ in range(MAX_JSON_DEPTH + 1):
        containers = [value for value in level if isinstance(value, dict | list)]
        if not containers:
            return document
        level = [
            value
            for container in containers
            for value in (container.values() if isinstance(container, dict) else container)
        ]
    raise ValueError(f"nested more than {MAX_JSON_DEPTH} deep")


def closing_error_response(error: errors.ServiceError) -> bytes:
    """An answer as bytes for the connection, which ends after it."""
    body = error.body()
    head = (
        f"HTTP/1.1 {error.status} {http_status.HTTPStatus(error.status).phrase}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


class Request(http.Request):
    """One request, on the side that answers."""

    channel: Channel
    content: io.BytesIO
    early_error: errors.ServiceError | None = None  # the error sent before the body was received
    client_disconnected = False
    received_bytes = 0  # of the body
    client_lost: scheduler.Signal  # woken when the client disconnects

    def gotLength(self, length: int | None) -> None:
        """Refuse a body that is announced as too large; None stands for a chunked one."""
        super().gotLength(length)
        self.content = io.BytesIO()  # bounded by body_bytes; never a file
        if length is not None and length > self.channel.factory.limits().body_bytes:
            self.send_error_early("too_large", "The body is too large.")

    def handleContentChunk(self, data: bytes) -> None:
        """Take a part of the body, and refuse the request once that becomes too large."""
        self.received_bytes += len(data)
        if self.received_bytes > self.channel.factory.limits().body_bytes:
            if self.early_error is None:
                self.send_error_early("too_large", "The body is too large.")
            return
        super().handleContentChunk(data)

    def send_error_early(self, code: errors.ErrorCode, text: str) -> None:
        """Answer before the body came in, and close."""
        self.early_error = errors.ServiceError(code, text)
        self.channel.transport.write(closing_error_response(self.early_error))
        self.channel.loseConnection()

    def process(self) -> None:
        """Start the server's handler for a request whose body is complete."""
        if self.early_error is not None:
            return
        self.client_lost = scheduler.Signal()
        self.notifyFinish().addErrback(self._gone)
        self.channel.factory.runtime.spawn(self._serve(self.channel.factory.handle), log)

    def _gone(self, _: failure.Failure) -> None:
        self.client_disconnected = True
        self.client_lost.wake()

    async def _serve(self, handle: Handler) -> None:
        try:
            await handle(self)
        except errors.ServiceError as error:
            self.answer_error(error)
        except defer.CancelledError:
            raise
        except Exception:  # whatever a handler raises, the client is answered
            log.exception("A request handler failed.")
            self.answer_error(
                errors.ServiceError("worker_broke", "A defect of ours.", errors.ExecutionOutcome.MAY_HAVE_RUN)
            )

    def answer_error(self, error: errors.ServiceError) -> None:
        """Give the final answer that an error asks for; an answer that has begun is broken off."""
        if self.client_disconnected:
            return
        if self.startedWriting:
            self.break_off()
            return
        status, headers, body = self.channel.factory.error_format.error_response(error)
        self.answer(status, body, dict(headers))

    def answer_json(self, status: int, document: object) -> None:
        """Give a JSON answer."""
        self.answer(status, json.dumps(document).encode() + b"\n")

    def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Send a complete answer; nothing is sent to a client that has disconnected."""
        if self.client_disconnected or self.finished or self.startedWriting:
            return
        self.setResponseCode(status, http_status.HTTPStatus(status).phrase.encode())
        self.setHeader("Content-Type", "application/json")
        self.setHeader("Content-Length", str(len(body)))
        for name, value in (headers or {}).items():
            self.setHeader(name, value)
        self.write(body)
        self.finish()

    def break_off(self) -> None:
        """Abort an answer that has begun, so that the client does not take it for complete."""
        if not self.client_disconnected and not self.finished:
            self.channel.transport.abortConnection()

    def json(self) -> typing.Any:  # noqa: ANN401 - any JSON value
        """The body as JSON; raises ServiceError where it is none."""
        try:
            return parse_json(self.content.read())
        except ValueError:
            raise errors.ServiceError("bad_request", "The body is not JSON.", field="body") from None


class Channel(http.HTTPChannel):
    """One HTTP connection, counted by its server."""

    factory: Server
    transport: typing.Any  # Any: Twisted describes transports by zope interfaces, which mypy can't check
    requestFactory = Request
    head_started_at: int | None  # when the head that is coming began to, in µs
    idle_since: int  # when something last came or was answered, in µs

    def connectionMade(self) -> None:
        """Count the connection and set its bounds by the limits that hold now."""
        self.factory.open_count += 1
        self.factory.channels[self] = None
        limits = self.factory.limits()
        self.totalHeadersSize = limits.head_bytes
        # ignored: declared as int, but used as the seconds of a delayed call
        self.timeOut = (limits.idle_us + CLOCK_ALLOWANCE_US) / units.SECOND_US  # type: ignore[assignment]
        self.head_started_at = None
        self.idle_since = self.factory.runtime.now()
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:
        """Note since when a head is coming."""
        if self.head_started_at is None and not self.requests:
            self.head_started_at = self.factory.runtime.now()
        self.idle_since = self.factory.runtime.now()
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        """Note that the head is complete."""
        self.head_started_at = None
        super().allHeadersReceived()

    def requestDone(self, request: http.Request) -> None:
        """Note that the connection is idle from now on."""
        self.idle_since = self.factory.runtime.now()
        super().requestDone(request)

    def timeoutConnection(self) -> None:
        """End an idle connection, unless longer idle times are allowed since its timer was set."""
        idle_end = self.idle_since + self.factory.limits().idle_us + CLOCK_ALLOWANCE_US
        left_us = idle_end - self.factory.runtime.now()
        if left_us > 0:
            self.setTimeout(left_us / units.SECOND_US)
        else:
            super().timeoutConnection()

    def _send100Continue(self) -> None:
        if self.requests[-1].early_error is None:  # after a final answer nothing may follow
            super()._send100Continue()

    def is_head_overdue(self, now: int) -> bool:
        """Whether a head has been coming for longer than it may."""
        limit_us = self.factory.limits().head_us + CLOCK_ALLOWANCE_US
        return self.head_started_at is not None and now - self.head_started_at > limit_us

    def connectionLost(self, reason: failure.Failure = twisted_protocol.connectionDone) -> None:
        """Count the connection as ended."""
        self.factory.open_count -= 1
        self.factory.channels.pop(self, None)
        self.factory.connection_closed.wake()
        super().connectionLost(reason)

    def _respondToBadRequestAndDisconnect(self) -> None:
        # Twisted's answer has no body; this one tells the code
        error = errors.ServiceError("bad_request", "The head of the exchange is malformed.", field="head")
        self.transport.write(closing_error_response(error))
        self.loseConnection()


class Server(http.HTTPFactory):
    """Takes HTTP connections, up to a bound.

    Args:
        runtime: clock and reactor of this process.
        handle: answers one request.
        connection_limit: how many connections may be open at a time.
        formats: how errors are answered; JsonErrorFormat by default.
        limits: gives the limits that hold now.
    """

    noisy = False
    protocol = Channel  # type: ignore[assignment]  # as in Twisted: declared there as a factory of wrapped channels

    def __init__(
        self,
        runtime: scheduler.Runtime,
        handle: Handler,
        connection_limit: int = CONNECTION_LIMIT,
        error_format: ErrorFormat | None = None,
        limits: collections.abc.Callable[[], configuration.Limits] = configuration.Limits,
    ) -> None:
        super().__init__(timeout=limits().idle_us / units.SECOND_US, reactor=runtime.reactor)
        self.runtime = runtime
        self.handle = handle
        self.error_format = error_format or JsonErrorFormat()
        self.limits = limits
        self.connection_limit = connection_limit
        self.open_count = 0
        self.channels: dict[Channel, None] = {}  # those that are open, in the order in which they came
        self.connection_closed = scheduler.Signal()  # woken when a connection has ended

    def startFactory(self) -> None:
        """Open no access log: the counters tell more."""

    def stopFactory(self) -> None:
        """Close no access log."""

    def log(self, request: http.Request) -> None:
        """Write no access log."""

    def buildProtocol(self, addr: interfaces.IAddress | None) -> interfaces.IProtocol | None:
        """A channel for a connection; None, which closes it, where too many are open."""
        return super().buildProtocol(addr) if self.open_count < self.connection_limit else None

    async def close_overdue_heads(self) -> None:
        """Close connections whose head takes too long, for as long as the process runs."""
        while True:
            await self.runtime.sleep(units.SECOND_US)
            now = self.runtime.now()
            for channel in [channel for channel in self.channels if channel.is_head_overdue(now)]:
                channel.loseConnection()

    async def finish(self, timeout_us: int) -> None:
        """Close all connections, each once what was written to it has gone out; at most so long."""
        self.connection_limit = 0
        deadline = self.runtime.now() + timeout_us
        for channel in list(self.channels):
            channel.loseConnection()
        while self.open_count and self.runtime.now() < deadline:
            await self.runtime.pause(self.connection_closed, deadline - self.runtime.now())
