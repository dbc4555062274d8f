"""HTTP as iriswheel's processes serve it: twisted.web, bounded, one task per exchange."""

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

import iriswheel.configuration as configuration
import iriswheel.edge_protocol as edge_protocol
import iriswheel.machine as machine
import iriswheel.verdict as verdict

if typing.TYPE_CHECKING:
    import twisted.internet.interfaces as interfaces
    import twisted.python.failure as failure


LAG_US = 2 * machine.SECOND  # beyond what a client may take: its clock is not ours
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
        doc = msgspec.json.decode(raw)
        msgspec.msgpack.encode(doc)
    except (msgspec.MsgspecError, RecursionError, OverflowError) as e:
        raise ValueError(str(e)) from e
    level = [doc]
    for _ in range(JSON_DEPTH + 1):
        level = [val for val in level if isinstance(val, dict | list)]
        if not level:
            return doc
        level = [val for outer_val in level for val in (outer_val.values() if type(outer_val) is dict else outer_val)]
    raise ValueError(f"nested more than {JSON_DEPTH} deep")


class Request(http.Request):
    """One exchange, on the side that answers.

    Example: `Server(mach, handle)` calls `await handle(request)` for each.
    """

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
        """Answer before the body came in, and close.

        Example: `request.refuse_early("too_large", "The body is too large.")`
        """
        self.refused = verdict.ServiceError(code, text)
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
        self.lost = machine.Signal()
        self.notifyFinish().addErrback(self._gone)
        self.channel.factory.mach.spawn(self._serve(self.channel.factory.handle), log)

    def _gone(self, _: failure.Failure) -> None:
        self.gone = True
        self.lost.wake()

    async def _serve(self, handle: collections.abc.Callable[..., object]) -> None:
        try:
            await handle(self)
        except verdict.ServiceError as d:
            self.answer_defect(d)
        except defer.CancelledError:
            raise
        except Exception:
            log.exception("An exchange broke off.")
            self.answer_defect(verdict.ServiceError("worker_broke", "A defect of ours.", verdict.Verdict.MAY_HAVE_RUN))

    def answer_defect(self, d: verdict.ServiceError) -> None:
        """Give the final answer that an error asks for; an answer that has begun is broken off.

        Example: `request.answer_defect(verdict.ServiceError("busy", "All seats are taken."))`
        """
        if self.gone:
            return
        if self.startedWriting:
            self.break_off()
            return
        status, heads, body = self.channel.factory.outer.refusal(d)
        self.answer(status, body, dict(heads))

    def answer_json(self, code: int, val: dict[str, typing.Any]) -> None:
        """Give a JSON answer.

        Example: `request.answer_json(200, {"stamp": 4})`
        """
        self.answer(code, json.dumps(val).encode() + b"\n")

    def answer(self, code: int, body: bytes, heads: dict[str, str] | None = None) -> None:
        """Give a whole answer at once; a client that has gone away gets none.

        Example: `request.answer(200, b"{}")`
        """
        if self.gone or self.finished or self.startedWriting:
            return
        self.setResponseCode(code, status.HTTPStatus(code).phrase.encode())
        self.setHeader("Content-Type", "application/json")
        self.setHeader("Content-Length", str(len(body)))
        for k, v in (heads or {}).items():
            self.setHeader(k, v)
        self.write(body)
        self.finish()

    def break_off(self) -> None:
        """Break an answer that has begun, so that nobody takes it for whole.

        Example: `request.break_off()`
        """
        if not self.gone and not self.finished:
            self.channel.transport.abortConnection()

    def json(self) -> dict[str, typing.Any]:
        """The body as JSON; raises Defect where it is none.

        Example: `doc = request.json()`
        """
        try:
            return parse_json(self.content.read())
        except ValueError:
            raise verdict.ServiceError("bad_request", "The body is not JSON.", field="body") from None


class Channel(http.HTTPChannel):
    """One HTTP connection, counted by its server.

    Example: `Server.protocol = Channel`
    """

    requestFactory = Request

    def connectionMade(self) -> None:
        self.factory.open += 1
        self.factory.channels[self] = None
        limits = self.factory.limits()
        self.totalHeadersSize = limits.head_bytes
        self.timeOut = (limits.idle_us + LAG_US) / machine.SECOND
        self.head_since = None  # when the head that is coming began to
        self.idle_since = self.factory.mach.now()  # when something last came or was answered
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:
        if self.head_since is None and not self.requests:
            self.head_since = self.factory.mach.now()
        self.idle_since = self.factory.mach.now()
        super().dataReceived(data)

    def allHeadersReceived(self) -> None:
        self.head_since = None
        super().allHeadersReceived()

    def requestDone(self, request: Request) -> None:
        self.idle_since = self.factory.mach.now()
        super().requestDone(request)

    def timeoutConnection(self) -> None:
        # the timer was set by the limits of its time, and longer idle times may be allowed since
        left_us = self.idle_since + self.factory.limits().idle_us + LAG_US - self.factory.mach.now()
        if left_us > 0:
            self.setTimeout(left_us / machine.SECOND)
        else:
            super().timeoutConnection()

    def _send100Continue(self) -> None:
        if self.requests[-1].refused is None:  # after a final answer nothing may follow
            super()._send100Continue()

    def late(self, now: int) -> bool:
        """Whether a head has been coming for longer than it may.

        Example: `channel.late(mach.now())`
        """
        return self.head_since is not None and now - self.head_since > self.factory.limits().head_us + LAG_US

    def connectionLost(self, reason: failure.Failure | None) -> None:
        self.factory.open -= 1
        self.factory.channels.pop(self, None)
        self.factory.ended.wake()
        super().connectionLost(reason)

    def _respondToBadRequestAndDisconnect(self) -> None:
        # twisted's answer has no body; ours names the verdict
        body = verdict.ServiceError("bad_request", "The head of the exchange is malformed.", field="head").body()
        head = (
            f"HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.transport.write(head.encode() + body)
        self.loseConnection()


class Server(http.HTTPFactory):
    """Takes HTTP connections, up to a bound.

    Example: `reactor.listenTCP(8080, Server(mach, handle))`
    """

    noisy = False
    protocol = Channel

    def __init__(
        self,
        mach: machine.Machine,
        handle: collections.abc.Callable[..., object],
        room: int = 2048,
        formats: edge_protocol.EdgeProtocol | None = None,
        limits: collections.abc.Callable[..., object] | type[configuration.Limits] = configuration.Limits,
    ) -> None:
        super().__init__(timeout=limits().idle_us / machine.SECOND, reactor=mach.reactor)
        self.mach = mach
        self.handle = handle
        self.outer = formats or edge_protocol.EdgeProtocol()
        self.limits = limits  # gives the configuration.Limits that hold now
        self.room = room
        self.open = 0
        self.channels: dict[Channel, None] = {}  # those that are open, in the order in which they came
        self.ended = machine.Signal()

    def startFactory(self) -> None:
        """No access log: the load generator and the counters tell more."""

    def stopFactory(self) -> None:
        pass

    def log(self, request: Request) -> None:
        pass

    def buildProtocol(self, addr: interfaces.IAddress | None) -> Channel | None:
        return super().buildProtocol(addr) if self.open < self.room else None

    async def look(self) -> None:
        """Close connections whose head takes too long; one task.

        Example: `mach.spawn(server.look())`
        """
        while True:
            await self.mach.sleep(machine.SECOND)
            now = self.mach.now()
            for channel in [c for c in self.channels if c.late(now)]:
                channel.loseConnection()

    async def finish(self, us: int) -> None:
        """Close all connections, each once what was written to it has gone out; at most so long.

        Example: `await server.finish(500_000)`
        """
        self.room = 0
        until = self.mach.now() + us
        for channel in list(self.channels):
            channel.loseConnection()
        while self.open and self.mach.now() < until:
            await self.mach.pause(self.ended, until - self.mach.now())
