"""Sending to a worker: one request out, its answer streamed back."""

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

import iriswheel.dataplane.edge_protocol as edge_protocol
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units

if typing.TYPE_CHECKING:
    import twisted.internet.base as base
    import twisted.python.failure as failure

    import iriswheel.transport.http_server as http_server
    import iriswheel.transport.message as message


CONNECT_US = 700 * units.MILLISECOND_US
FIRST_US = 10 * units.SECOND_US  # until the answer's head
PAUSE_US = 10 * units.SECOND_US  # between two pieces of an answer
IDLE_S = 4  # pooled connections are dropped well before a worker would drop them
POOLED = 32

log = loguru.logger.bind(part="send")


class AttemptOutcome(enum.Enum):
    """How a send ended.

    >>> AttemptOutcome.COMPLETE.name
    'COMPLETE'
    """

    COMPLETE = 1  # the worker's whole answer went to the client
    UNSENT = 2  # no worker was reached
    BROKE = 3  # sent, but no byte of an answer came to the client
    INTERRUPTED = 4  # the answer broke off after bytes had gone to the client


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
    """Connects by IP number, on the reactor that it was given."""

    def __init__(self, reactor: typing.Any) -> None:
        self.reactor = reactor

    def endpointForURI(self, uri: client.URI) -> endpoints.TCP4ClientEndpoint:
        return endpoints.TCP4ClientEndpoint(
            self.reactor, uri.host.decode("ascii"), uri.port, timeout=CONNECT_US / units.SECOND_US
        )


class AnswerRelay(protocol.Protocol):
    """Passes the pieces of an answer on as they come, no faster than they are taken."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        take: collections.abc.Callable[..., object],
        done: collections.abc.Callable[..., object],
    ) -> None:
        self.runtime = runtime
        self.take = take
        self.done = done
        self.last = runtime.now()
        self.held = False
        self.tick: base.DelayedCall | None = None

    def connectionMade(self) -> None:
        self.tick = self.runtime.later(PAUSE_US, self._look)

    def _look(self) -> None:
        left = self.last + PAUSE_US - self.runtime.now()
        if self.held or left > 0:
            self.tick = self.runtime.later(PAUSE_US if self.held else left, self._look)
        else:
            self.stopProducing()

    def pauseProducing(self) -> None:
        self.held = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self.held = False
        self.last = self.runtime.now()
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        self.transport.stopProducing()

    def dataReceived(self, data: bytes) -> None:
        self.last = self.runtime.now()
        self.take(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        if self.tick is not None and self.tick.active():
            self.tick.cancel()
        self.done(reason.check(client.ResponseDone) is not None)


class Collect(protocol.Protocol):
    """Gathers a small body."""

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
        complete = reason.check(client.ResponseDone, client.PotentialDataLoss) is not None
        self.done(b"".join(self.parts) if complete else None)


def forget_head(request: http_server.Request) -> None:
    """Take a head back that was to go out with the first bytes of an answer which never came."""
    for name, _ in list(request.responseHeaders.getAllRawHeaders()):
        request.responseHeaders.removeHeader(name)


class NoAnswerError(ValueError):
    """The far side answered, but not with what was asked for.

    >>> NoAnswerError("answer 404").answered
    True
    """

    answered = True


class Attempt:
    """One send under way, which can be cut short."""

    def __init__(self, worker: str, now: int) -> None:
        self.worker = worker
        self.last = now  # when something last came
        self.via = False  # whether it goes by way of another node
        self.waiting: typing.Any = None  # the Deferred that the send waits on
        self.was_cut = False
        self.begun = False  # whether the answer's head has come

    def cut(self) -> None:
        """End it now: the worker has had its time.

        >>> s = Attempt("w1", 0); s.cut(); s.was_cut
        True
        """
        self.was_cut = True
        if self.waiting is not None:
            self.waiting.cancel()


class Dispatcher:
    """This process's connections to workers and platform."""

    def __init__(
        self, runtime: scheduler.Runtime, on_answer: collections.abc.Callable[..., object] = lambda worker: None
    ) -> None:
        self.runtime = runtime
        self.on_answer = on_answer  # called with a worker's name whenever it says something
        self.pool = client.HTTPConnectionPool(runtime.reactor, persistent=True)
        self.pool.maxPersistentPerHost = POOLED
        self.pool.cachedConnectionTimeout = IDLE_S
        self.pool.retryAutomatically = False  # a repeat is ours to decide
        single = client.HTTPConnectionPool(runtime.reactor, persistent=False)
        single.retryAutomatically = False
        addresses = Addresses(runtime.reactor)
        self.agent = client.Agent.usingEndpointFactory(runtime.reactor, addresses, self.pool)
        self.fresh = client.Agent.usingEndpointFactory(runtime.reactor, addresses, single)

    async def fetch(self, host: str, port: int, path: str, us: int) -> bytes:
        """A small GET; raises where no whole answer with 200 comes in time."""
        return await self.runtime.within(defer.ensureDeferred(self._fetch(host, port, path)), us)

    async def _fetch(self, host: str, port: int, path: str) -> bytes:
        response = await self.agent.request(b"GET", f"http://{host}:{port}{path}".encode())
        got = defer.Deferred(lambda _: response._transport and response._transport.stopProducing())
        response.deliverBody(Collect(lambda raw: got.called or got.callback(raw)))
        raw = await got
        if response.code != 200 or raw is None:
            raise NoAnswerError(f"answer {response.code}")
        return raw

    async def knock(self, host: str, port: int, us: int) -> bool:
        """Whether a bare connection can be had."""
        point = endpoints.TCP4ClientEndpoint(self.runtime.reactor, host, port, timeout=us / units.SECOND_US)
        try:
            peer_protocol = await point.connect(protocol.Factory.forProtocol(protocol.Protocol))
        except defer.CancelledError:
            raise
        except Exception:
            return False
        peer_protocol.transport.abortConnection()
        return True

    async def send(
        self,
        request: http_server.Request,
        raw: bytes,
        worker: message.Worker,
        idempotent: bool,
        send: Attempt,
        token: str = "",
        relay_address: tuple[str, int] | None = None,
    ) -> AttemptOutcome:
        """Send a request to a worker and stream the answer back; an Outcome.

        With a token, the request goes to the door of another node, (host, port), which passes it on.

        a request that may not be repeated goes out on a fresh connection: on a pooled
        one that the worker just closed, nobody could say whether it had run.
        """
        agent = self.agent if idempotent and not token else self.fresh
        host, port = relay_address or (worker.host, worker.port)
        uri = b"http://%s:%d%s" % (host.encode(), port, request.uri)
        asked = agent.request(
            request.method, uri, edge_protocol.onward(request.requestHeaders, worker.id, token), Body(raw)
        )
        send.waiting = self.runtime.within(asked, FIRST_US)
        try:
            response = await send.waiting
        except (error.ConnectError, error.TimeoutError, client.RequestNotSent):
            return AttemptOutcome.UNSENT
        except defer.CancelledError:
            if not send.was_cut:
                raise
            return AttemptOutcome.BROKE
        except Exception as e:
            if request.gone:
                raise defer.CancelledError() from e  # the client left while the connection was made
            log.warning("Worker {} gave no answer: {}", worker.id, type(e).__name__)
            return AttemptOutcome.BROKE
        send.begun, send.last = True, self.runtime.now()
        if token and response.headers.hasHeader(edge_protocol.PASS):
            unsent = response.headers.getRawHeaders(edge_protocol.PASS) == ["unsent"]
            response.deliverBody(Collect(lambda raw: None))
            return AttemptOutcome.UNSENT if unsent else AttemptOutcome.BROKE
        if not token:
            self.on_answer(worker.id)
        done = send.waiting = defer.Deferred(lambda _: relay.stopProducing())
        request.setResponseCode(response.code, response.phrase)
        for name, values in edge_protocol.back(response.headers, worker.id):
            request.responseHeaders.setRawHeaders(name, values)
        if response.length is not client.UNKNOWN_LENGTH:
            request.setHeader("Content-Length", str(response.length))

        def take(data: bytes) -> None:
            send.last = self.runtime.now()
            if not token:
                self.on_answer(worker.id)
            request.write(data)

        relay = AnswerRelay(self.runtime, take, lambda complete: done.called or done.callback(complete))
        request.registerProducer(relay, True)
        response.deliverBody(relay)
        try:
            complete = await done
        except defer.CancelledError:
            if not send.was_cut:
                raise
            complete = False
        finally:
            if not request.gone and not request.finished:
                request.unregisterProducer()
        if complete:
            if not request.gone:
                request.finish()
            return AttemptOutcome.COMPLETE
        if request.startedWriting:
            return AttemptOutcome.INTERRUPTED
        forget_head(request)
        return AttemptOutcome.BROKE
