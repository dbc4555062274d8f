"""HTTP as iriswheel's processes serve it: twisted.web, bounded, one task per exchange."""

import http as status
import io
import json

import loguru
import twisted.internet.defer as defer
import twisted.web.http as http

import iriswheel.blueprint as blueprint
import iriswheel.machine as machine
import iriswheel.outer as outer
import iriswheel.verdict as verdict

LAG_US = 2 * machine.SECOND  # beyond what a requester may take: its clock is not ours

log = loguru.logger.bind(part="web")


class Request(http.Request):
    """One exchange, on the side that answers.

    Example: `Server(mach, handle)` calls `await handle(request)` for each.
    """

    refused = None
    gone = False
    taken = 0

    def gotLength(self, length):
        super().gotLength(length)
        self.content = io.BytesIO()  # bounded by body_bytes; never a file
        if length is not None and length > self.channel.factory.limits().body_bytes:
            self.refuse_early("too_large", "The body is too large.")

    def handleContentChunk(self, data):
        self.taken += len(data)
        if self.taken > self.channel.factory.limits().body_bytes:
            if self.refused is None:
                self.refuse_early("too_large", "The body is too large.")
            return
        super().handleContentChunk(data)

    def refuse_early(self, code, text):
        """Answer before the body came in, and close.

        Example: `request.refuse_early("too_large", "The body is too large.")`
        """
        self.refused = verdict.Defect(code, text)
        body = self.refused.body()
        head = (
            f"HTTP/1.1 {self.refused.status} {status.HTTPStatus(self.refused.status).phrase}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        self.channel.transport.write(head.encode() + body)
        self.channel.loseConnection()

    def process(self):
        if self.refused is not None:
            return
        self.lost = machine.Signal()
        self.notifyFinish().addErrback(self._gone)
        self.channel.factory.mach.spawn(self._serve(self.channel.factory.handle), log)

    def _gone(self, _):
        self.gone = True
        self.lost.wake()

    async def _serve(self, handle):
        try:
            await handle(self)
        except verdict.Defect as d:
            self.answer_defect(d)
        except defer.CancelledError:
            raise
        except Exception:
            log.exception("An exchange broke off.")
            self.answer_defect(verdict.Defect("worker_broke", "A defect of ours.", verdict.Verdict.MAY_HAVE_RUN))

    def answer_defect(self, d):
        """Give the final answer that a defect asks for; an answer that has begun is broken off.

        Example: `request.answer_defect(verdict.Defect("busy", "All seats are taken."))`
        """
        if self.startedWriting:
            self.break_off()
            return
        status, heads, body = self.channel.factory.outer.refusal(d)
        self.answer(status, body, dict(heads))

    def answer_json(self, code, val):
        """Give a JSON answer.

        Example: `request.answer_json(200, {"stamp": 4})`
        """
        self.answer(code, json.dumps(val).encode() + b"\n")

    def answer(self, code, body, heads=None):
        """Give a whole answer at once; a requester that has gone away gets none.

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

    def break_off(self):
        """Break an answer that has begun, so that nobody takes it for whole.

        Example: `request.break_off()`
        """
        if not self.gone and not self.finished:
            self.channel.transport.abortConnection()

    def json(self):
        """The body as JSON; raises Defect where it is none.

        Example: `doc = request.json()`
        """
        try:
            return json.loads(self.content.read())
        except (ValueError, RecursionError):
            raise verdict.Defect("bad_request", "The body is not JSON.", field="body") from None


class Channel(http.HTTPChannel):
    """One HTTP connection, counted by its server.

    Example: `Server.protocol = Channel`
    """

    requestFactory = Request

    def connectionMade(self):
        self.factory.open += 1
        self.factory.channels[self] = None
        limits = self.factory.limits()
        self.totalHeadersSize = limits.head_bytes
        self.timeOut = (limits.idle_us + LAG_US) / machine.SECOND
        self.head_since = None  # when the head that is coming began to
        super().connectionMade()

    def dataReceived(self, data):
        if self.head_since is None and not self.requests:
            self.head_since = self.factory.mach.now()
        super().dataReceived(data)

    def allHeadersReceived(self):
        self.head_since = None
        super().allHeadersReceived()

    def late(self, now):
        """Whether a head has been coming for longer than it may.

        Example: `channel.late(mach.now())`
        """
        return self.head_since is not None and now - self.head_since > self.factory.limits().head_us + LAG_US

    def connectionLost(self, reason):
        self.factory.open -= 1
        self.factory.channels.pop(self, None)
        self.factory.ended.wake()
        super().connectionLost(reason)

    def _respondToBadRequestAndDisconnect(self):
        # twisted's answer has no body; ours names the verdict
        body = verdict.Defect("bad_request", "The head of the exchange is malformed.", field="head").body()
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

    def __init__(self, mach, handle, room=2048, formats=None, limits=blueprint.Limits):
        super().__init__(timeout=limits().idle_us / machine.SECOND, reactor=mach.reactor)
        self.mach = mach
        self.handle = handle
        self.outer = formats or outer.Outer()
        self.limits = limits  # gives the blueprint.Limits that hold now
        self.room = room
        self.open = 0
        self.channels = {}  # those that are open, in the order in which they came
        self.ended = machine.Signal()

    def startFactory(self):
        """No access log: the load generator and the counters tell more."""

    def stopFactory(self):
        pass

    def log(self, request):
        pass

    def buildProtocol(self, addr):
        return super().buildProtocol(addr) if self.open < self.room else None

    async def look(self):
        """Close connections whose head takes too long; one task.

        Example: `mach.spawn(server.look())`
        """
        while True:
            await self.mach.sleep(machine.SECOND)
            now = self.mach.now()
            for channel in [c for c in self.channels if c.late(now)]:
                channel.loseConnection()

    async def finish(self, us):
        """Close all connections, each once what was written to it has gone out; at most so long.

        Example: `await server.finish(500_000)`
        """
        self.room = 0
        until = self.mach.now() + us
        for channel in list(self.channels):
            channel.loseConnection()
        while self.open and self.mach.now() < until:
            await self.mach.pause(self.ended, until - self.mach.now())
