"""Sending to a worker: one exchange out, its answer streamed back."""

from __future__ import annotations

import collections.abc
import enum
import typing

import loguru
import twisted.internet.defer as defer
import twisted.internet.endpoints as endpoints
import twisted.internet.error as error
import twisted.internet.protocol as protocol
import twisted.web.client as client
import twisted.web.iweb as iweb
import zope.interface as interface

import iriswheel.edge_protocol as edge_protocol
import iriswheel.machine as machine

if typing.TYPE_CHECKING:
    import twisted.internet.base as base
    import twisted.python.failure as failure

    import iriswheel.message as message
    import iriswheel.web as web


CONNECT_US = 700 * machine.MILLI
FIRST_US = 10 * machine.SECOND  # until the answer's head
PAUSE_US = 10 * machine.SECOND  # between two pieces of an answer
IDLE_S = 4  # pooled connections are dropped well before a worker would drop them
POOLED = 32

log = loguru.logger.bind(part="send")


class Outcome(enum.Enum):
    """How a send ended.

    >>> Outcome.WHOLE.name
    'WHOLE'
    """

    WHOLE = 1  # the worker's whole answer went to the client
    UNSENT = 2  # no worker was reached
    BROKE = 3  # sent, but no byte of an answer came to the client
    TORN = 4  # the answer broke off after bytes had gone to the client


@interface.implementer(iweb.IBodyProducer)
class Body:
    """A body that is all there.

    >>> Body(b"abc").length
    3
    """

    def __init__(self, raw: bytes) -> None:
        self.raw = raw
        self.length = len(raw)

    def startProducing(self, consumer: typing.Any) -> defer.Deferred[typing.Any]:
        consumer.write(self.raw)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass


@interface.implementer(iweb.IAgentEndpointFactory)
class Addresses:
    """Connects by IP number, on the reactor that it was given.

    Example: `Agent.usingEndpointFactory(reactor, Addresses(reactor), pool)`
    """

    def __init__(self, reactor: typing.Any) -> None:
        self.reactor = reactor

    def endpointForURI(self, uri: client.URI) -> endpoints.TCP4ClientEndpoint:
        return endpoints.TCP4ClientEndpoint(
            self.reactor, uri.host.decode("ascii"), uri.port, timeout=CONNECT_US / machine.SECOND
        )


class Relay(protocol.Protocol):
    """Passes the pieces of an answer on as they come, no faster than they are taken.

    Example: `response.deliverBody(Relay(mach, take, done))`
    """

    def __init__(
        self,
        mach: machine.Machine,
        take: collections.abc.Callable[..., object],
        done: collections.abc.Callable[..., object],
    ) -> None:
        self.mach = mach
        self.take = take
        self.done = done
        self.last = mach.now()
        self.held = False
        self.tick: base.DelayedCall | None = None

    def connectionMade(self) -> None:
        self.tick = self.mach.later(PAUSE_US, self._look)

    def _look(self) -> None:
        left = self.last + PAUSE_US - self.mach.now()
        if self.held or left > 0:
            self.tick = self.mach.later(PAUSE_US if self.held else left, self._look)
        else:
            self.stopProducing()

    def pauseProducing(self) -> None:
        self.held = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self.held = False
        self.last = self.mach.now()
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        self.transport.stopProducing()

    def dataReceived(self, data: bytes) -> None:
        self.last = self.mach.now()
        self.take(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        if self.tick is not None and self.tick.active():
            self.tick.cancel()
        self.done(reason.check(client.ResponseDone) is not None)


class Collect(protocol.Protocol):
    """Gathers a small body.

    Example: `response.deliverBody(Collect(done))`
    """

    def __init__(self, done: collections.abc.Callable[..., object]) -> None:
        self.done = done
        self.parts: list[bytes] = []
        self.size = 0

    def dataReceived(self, data: bytes) -> None:
        self.parts.append(data)
        self.size += len(data)
        if self.size > 1 << 20:
            self.transport.stopProducing()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        whole = reason.check(client.ResponseDone, client.PotentialDataLoss) is not None
        self.done(b"".join(self.parts) if whole else None)


def forget_head(req: web.Request) -> None:
    """Take a head back that was to go out with the first bytes of an answer which never came.

    Example: `forget_head(request)`
    """
    for name, _ in list(req.responseHeaders.getAllRawHeaders()):
        req.responseHeaders.removeHeader(name)


class NoAnswerError(ValueError):
    """The far side answered, but not with what was asked for.

    >>> NoAnswerError("answer 404").answered
    True
    """

    answered = True


class Send:
    """One send under way, which can be cut short.

    Example: `send = Send("w1", mach.now())`; `out = await sender.send(req, raw, worker, True, send)`; `send.cut()`.
    """

    def __init__(self, worker: str, now: int) -> None:
        self.worker = worker
        self.last = now  # when something last came
        self.via = False  # whether it goes by way of another node
        self.waiting: typing.Any = None  # the Deferred that the send waits on
        self.was_cut = False
        self.begun = False  # whether the answer's head has come

    def cut(self) -> None:
        """End it now: the worker has had its time.

        >>> s = Send("w1", 0); s.cut(); s.was_cut
        True
        """
        self.was_cut = True
        if self.waiting is not None:
            self.waiting.cancel()


class Dispatcher:
    """This process's connections to workers and platform.

    Example: `sender = Dispatcher(mach)`; `raw = await sender.fetch(host, port, "/load", 500_000)`.
    """

    def __init__(
        self, mach: machine.Machine, heard: collections.abc.Callable[..., object] = lambda worker: None
    ) -> None:
        self.mach = mach
        self.heard = heard  # called with a worker's name whenever it says something
        self.pool = client.HTTPConnectionPool(mach.reactor, persistent=True)
        self.pool.maxPersistentPerHost = POOLED
        self.pool.cachedConnectionTimeout = IDLE_S
        self.pool.retryAutomatically = False  # a repeat is ours to decide
        single = client.HTTPConnectionPool(mach.reactor, persistent=False)
        single.retryAutomatically = False
        addresses = Addresses(mach.reactor)
        self.agent = client.Agent.usingEndpointFactory(mach.reactor, addresses, self.pool)
        self.fresh = client.Agent.usingEndpointFactory(mach.reactor, addresses, single)

    async def fetch(self, host: str, port: int, path: str, us: int) -> bytes:
        """A small GET; raises where no whole answer with 200 comes in time.

        Example: `raw = await sender.fetch("127.0.0.1", 9000, "/load", 500_000)`
        """
        return await self.mach.within(defer.ensureDeferred(self._fetch(host, port, path)), us)

    async def _fetch(self, host: str, port: int, path: str) -> bytes:
        res = await self.agent.request(b"GET", f"http://{host}:{port}{path}".encode())
        got = defer.Deferred(lambda _: res._transport and res._transport.stopProducing())
        res.deliverBody(Collect(lambda raw: got.called or got.callback(raw)))
        raw = await got
        if res.code != 200 or raw is None:
            raise NoAnswerError(f"answer {res.code}")
        return raw

    async def knock(self, host: str, port: int, us: int) -> bool:
        """Whether a bare connection can be had.

        Example: `await sender.knock("127.0.0.1", 9001, 300_000)`
        """
        point = endpoints.TCP4ClientEndpoint(self.mach.reactor, host, port, timeout=us / machine.SECOND)
        try:
            proto = await point.connect(protocol.Factory.forProtocol(protocol.Protocol))
        except defer.CancelledError:
            raise
        except Exception:
            return False
        proto.transport.abortConnection()
        return True

    async def send(
        self,
        req: web.Request,
        raw: bytes,
        worker: message.Worker,
        repeatable: bool,
        send: Send,
        token: str = "",
        door: None = None,
    ) -> Outcome:
        """Send an exchange to a worker and stream the answer back; an Outcome.

        With a token, the exchange goes to the door of another node, (host, port), which passes it on.

        An exchange that may not be repeated goes out on a fresh connection: on a pooled
        one that the worker just closed, nobody could say whether it had run.

        Example: `out = await sender.send(req, raw, worker, False, Send(worker.id))`
        """
        agent = self.agent if repeatable and not token else self.fresh
        host, port = door or (worker.host, worker.port)
        uri = b"http://%s:%d%s" % (host.encode(), port, req.uri)
        asked = agent.request(req.method, uri, edge_protocol.onward(req.requestHeaders, worker.id, token), Body(raw))
        send.waiting = self.mach.within(asked, FIRST_US)
        try:
            res = await send.waiting
        except (error.ConnectError, error.TimeoutError, client.RequestNotSent):
            return Outcome.UNSENT
        except defer.CancelledError:
            if not send.was_cut:
                raise
            return Outcome.BROKE
        except Exception as e:
            if req.gone:
                raise defer.CancelledError() from e  # the client left while the connection was made
            log.warning("Worker {} gave no answer: {}", worker.id, type(e).__name__)
            return Outcome.BROKE
        send.begun, send.last = True, self.mach.now()
        if token and res.headers.hasHeader(edge_protocol.PASS):
            unsent = res.headers.getRawHeaders(edge_protocol.PASS) == ["unsent"]
            res.deliverBody(Collect(lambda raw: None))
            return Outcome.UNSENT if unsent else Outcome.BROKE
        if not token:
            self.heard(worker.id)
        done = send.waiting = defer.Deferred(lambda _: relay.stopProducing())
        req.setResponseCode(res.code, res.phrase)
        for name, vals in edge_protocol.back(res.headers, worker.id):
            req.responseHeaders.setRawHeaders(name, vals)
        if res.length is not client.UNKNOWN_LENGTH:
            req.setHeader("Content-Length", str(res.length))

        def take(data: bytes) -> None:
            send.last = self.mach.now()
            if not token:
                self.heard(worker.id)
            req.write(data)

        relay = Relay(self.mach, take, lambda whole: done.called or done.callback(whole))
        req.registerProducer(relay, True)
        res.deliverBody(relay)
        try:
            whole = await done
        except defer.CancelledError:
            if not send.was_cut:
                raise
            whole = False
        finally:
            if not req.gone and not req.finished:
                req.unregisterProducer()
        if whole:
            if not req.gone:
                req.finish()
            return Outcome.WHOLE
        if req.startedWriting:
            return Outcome.TORN
        forget_head(req)
        return Outcome.BROKE
