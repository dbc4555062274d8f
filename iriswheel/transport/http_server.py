"""HTTP as iriswheel's processes serve it: twisted.web, bounded, one task per request."""

from __future__ import annotations

import collections.abc
import http as status
import io
import json
import typing

import loguru
import msgspec
import twisted.internet.defer as defer
import twisted.web.http as http

import iriswheel.configuration.configuration as configuration
import iriswheel.dataplane.edge_protocol as edge_protocol
import iriswheel.errors as errors
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units

if typing.TYPE_CHECKING:
    import twisted.internet.interfaces as interfaces
    import twisted.python.failure as failure


LAG_US = 2 * units.SECOND_US  # beyond what a client may take: its clock is not ours
JSON_DEPTH = 100  # of lists and objects in each other: what reads them later has less of the stack left

log = loguru.logger.bind(part="web")


def parse_json(raw: bytes) -> dict[str, typing.Any]:
    """JSON as it can be kept and passed on; raises ValueError for all other bytes.

    Refused are also numbers beyond 64 bits, infinite or no numbers, lone surrogates, and more than JSON_DEPTH
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
    except (msgspec.MsgspecError, RecursionError, OverflowError) as e:
        raise ValueError(str(e)) from e
    level = [document]
    for _ in range(JSON_DEPTH + 1):
        level = [value for value in level if isinstance(value, dict | list)]
        if not level:
            return document
        level = [
            value for outer_val in level for value in (outer_val.values() if type(outer_val) is dict else outer_val)
        ]
    raise ValueError(f"nested more than {JSON_DEPTH} deep")


class Request(http.Request):
    """One request, on the side that answers."""

    refused = None
    gone = False
    taken = 0

    def gotLength(self, length: int | None) -> None:
        super().gotLength(length)
        self.content = io.BytesIO()  # bounded by body_bytes; never a file
        if length is not None and length > self.channel.factory.limits().body_bytes:
            self.refuse_early("too_large", "The body is too large.")

    def handleContentChunk(self, data: bytes) -> None:
        self.taken += len(data)
        if self.taken > self.channel.factory.limits().body_bytes:
            if self.refused is None:
                self.refuse_early("too_large", "The body is too large.")
            return
        super().handleContentChunk(data)

    def refuse_early(self, code: str, text: str) -> None:
        """Answer before the body came in, and close."""
        self.refused = errors.ServiceError(code, text)
        body = self.refused.body()
        head = (
            f"HTTP/1.1 {self.refused.status} {status.HTTPStatus(self.refused.status).phrase}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.channel.transport.write(head.encode() + body)
        self.channel.loseConnection()

    def process(self) -> None:
        if self.refused is not None:
            return
        self.lost = scheduler.Signal()
        self.notifyFinish().addErrback(self._gone)
        self.channel.factory.runtime.spawn(self._serve(self.channel.factory.handle), log)

    def _gone(self, _: failure.Failure) -> None:
        self.gone = True
        self.lost.wake()

    async def _serve(self, handle: collections.abc.Callable[..., object]) -> None:
        try:
            await handle(self)
        except errors.ServiceError as d:
            self.answer_error(d)
        except defer.CancelledError:
            raise
        except Exception:
            log.exception("a request broke off.")
            self.answer_error(
                errors.ServiceError("worker_broke", "A defect of ours.", errors.ExecutionOutcome.MAY_HAVE_RUN)
            )

    def answer_error(self, d: errors.ServiceError) -> None:
        """Give the final answer that an error asks for; an answer that has begun is broken off."""
        if self.gone:
            return
        if self.startedWriting:
            self.break_off()
            return
        status, headers, body = self.channel.factory.outer.refusal(d)
        self.answer(status, body, dict(headers))

    def answer_json(self, code: int, value: dict[str, typing.Any]) -> None:
        """Give a JSON answer."""
        self.answer(code, json.dumps(value).encode() + b"\n")

    def answer(self, code: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Give a whole answer at once; a client that has gone away gets none."""
        if self.gone or self.finished or self.startedWriting:
            return
        self.setResponseCode(code, status.HTTPStatus(code).phrase.encode())
        self.setHeader("Content-Type", "application/json")
        self.setHeader("Content-Length", str(len(body)))
        for k, v in (headers or {}).items():
            self.setHeader(k, v)
        self.write(body)
        self.finish()

    def break_off(self) -> None:
        """Break an answer that has begun, so that nobody takes it for whole."""
        if not self.gone and not self.finished:
            self.channel.transport.abortConnection()

    def json(self) -> dict[str, typing.Any]:
        """The body as JSON; raises Defect where it is none."""
        try:
            return parse_json(self.content.read())
        except ValueError:
            raise errors.ServiceError("bad_request", "The body is not JSON.", field="body") from None


class Channel(http.HTTPChannel):
    """One HTTP connection, counted by its server."""

    requestFactory = Request

    def connectionMade(self) -> None:
        self.factory.open += 1
        self.factory.channels[self] = None
        limits = self.factory.limits()
        self.totalHeadersSize = limits.head_bytes
        self.timeOut = (limits.idle_us + LAG_US) / units.SECOND_US
        self.head_since = None  # when the head that is coming began to
        self.idle_since = self.factory.runtime.now()  # when something last came or was answered
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:
        if self.head_since is None and not self.requests:
            self.head_since = self.factory.runtime.now()
        self.idle_since = self.factory.runtime.now()
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        self.head_since = None
        super().allHeadersReceived()

    def requestDone(self, request: Request) -> None:
        self.idle_since = self.factory.runtime.now()
        super().requestDone(request)

    def timeoutConnection(self) -> None:
        # the timer was set by the limits of its time, and longer idle times may be allowed since
        left_us = self.idle_since + self.factory.limits().idle_us + LAG_US - self.factory.runtime.now()
        if left_us > 0:
            self.setTimeout(left_us / units.SECOND_US)
        else:
            super().timeoutConnection()

    def _send100Continue(self) -> None:
        if self.requests[-1].refused is None:  # after a final answer nothing may follow
            super()._send100Continue()

    def late(self, now: int) -> bool:
        """Whether a head has been coming for longer than it may."""
        return self.head_since is not None and now - self.head_since > self.factory.limits().head_us + LAG_US

    def connectionLost(self, reason: failure.Failure | None) -> None:
        self.factory.open -= 1
        self.factory.channels.pop(self, None)
        self.factory.ended.wake()
        super().connectionLost(reason)

    def _respondToBadRequestAndDisconnect(self) -> None:
        # twisted's answer has no body; ours names the verdict
        body = errors.ServiceError("bad_request", "The head of the exchange is malformed.", field="head").body()
        head = (
            f"HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.loseConnection()


class Server(http.HTTPFactory):
    """Takes HTTP connections, up to a bound."""

    noisy = False
    protocol = Channel

    def __init__(
        self,
        runtime: scheduler.Runtime,
        handle: collections.abc.Callable[..., object],
        connection_limit: int = 2048,
        formats: edge_protocol.EdgeProtocol | None = None,
        limits: collections.abc.Callable[..., object] | type[configuration.Limits] = configuration.Limits,
    ) -> None:
        super().__init__(timeout=limits().idle_us / units.SECOND_US, reactor=runtime.reactor)
        self.runtime = runtime
        self.handle = handle
        self.outer = formats or edge_protocol.EdgeProtocol()
        self.limits = limits  # gives the configuration.Limits that hold now
        self.connection_limit = connection_limit
        self.open = 0
        self.channels: dict[Channel, None] = {}  # those that are open, in the order in which they came
        self.ended = scheduler.Signal()

    def startFactory(self) -> None:
        """No access log: the load generator and the counters tell more."""

    def stopFactory(self) -> None:
        pass

    def log(self, request: Request) -> None:
        pass

    def buildProtocol(self, address: interfaces.IAddress | None) -> Channel | None:
        return super().buildProtocol(address) if self.open < self.connection_limit else None

    async def look(self) -> None:
        """Close connections whose head takes too long; one task."""
        while True:
            await self.runtime.sleep(units.SECOND_US)
            now = self.runtime.now()
            for channel in [c for c in self.channels if c.late(now)]:
                channel.loseConnection()

    async def finish(self, us: int) -> None:
        """Close all connections, each once what was written to it has gone out; at most so long."""
        self.connection_limit = 0
        until = self.runtime.now() + us
        for channel in list(self.channels):
            channel.loseConnection()
        while self.open and self.runtime.now() < until:
            await self.runtime.pause(self.ended, until - self.runtime.now())
