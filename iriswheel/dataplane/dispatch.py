"""Sending to a worker: one request out, its answer streamed back."""

from __future__ import annotations

import collections.abc
import typing

import loguru
from twisted.internet import defer, endpoints, error, protocol
from twisted.web import client, http, http_headers, iweb
from zope import interface

from iriswheel.dataplane import attempt_outcome, edge_protocol, tcp_client
from iriswheel.runtime import scheduler, units

if typing.TYPE_CHECKING:
    from twisted.python import failure

    from iriswheel.transport import http_server, message


CONNECT_TIMEOUT_US = 700 * units.MILLISECOND_US
HEAD_TIMEOUT_US = 10 * units.SECOND_US  # until the answer's head
READ_TIMEOUT_US = 10 * units.SECOND_US  # between two pieces of an answer
IDLE_CONNECTION_S = 4  # pooled connections are dropped well before a worker would drop them
MAX_POOLED_PER_HOST = 32
MAX_COLLECTED_BYTES = 1 << 20

log = loguru.logger.bind(part="dispatch")


# ---- what of Twisted's client is used here; its own interfaces carry no types -----------


class Producer(typing.Protocol):
    """A transport that is read from, for a body as it comes."""

    def pauseProducing(self) -> None:
        """Read no further for now."""

    def resumeProducing(self) -> None:
        """Go on reading."""

    def stopProducing(self) -> None:
        """Read no more at all."""


class AbortableTransport(typing.Protocol):
    """A connection's transport."""

    def abortConnection(self) -> None:
        """Break the connection off."""


class Response(typing.Protocol):
    """An answer whose head has come."""

    code: int
    phrase: bytes
    headers: http_headers.Headers
    length: object  # an int, or iweb.UNKNOWN_LENGTH
    _transport: Producer | None

    def deliverBody(self, receiver: protocol.Protocol, /) -> None:  # noqa: N802 - Twisted's name
        """Have the body given to a protocol as it comes."""


class HttpAgent(typing.Protocol):
    """Sends requests."""

    def request(
        self,
        method: bytes,
        uri: bytes,
        headers: http_headers.Headers | None = None,
        bodyProducer: Body | None = None,  # noqa: N803 - Twisted's name
    ) -> defer.Deferred[Response]:
        """Send a request; the Deferred fires when its answer's head has come."""


class Consumer(typing.Protocol):
    """What a body is written to."""

    def write(self, data: bytes, /) -> None:
        """Take bytes."""


@interface.implementer(iweb.IBodyProducer)
class Body:
    """A request body that is held in memory, as the producer that Twisted's client asks for.

    >>> Body(b"abc").length
    3
    """

    def __init__(self, raw: bytes) -> None:
        self.raw = raw
        self.length = len(raw)

    def startProducing(self, consumer: Consumer) -> defer.Deferred[None]:
        """Write the whole body."""
        consumer.write(self.raw)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the body is written at once."""

    def resumeProducing(self) -> None:
        """Do nothing: the body is written at once."""

    def stopProducing(self) -> None:
        """Do nothing: the body is written at once."""


@interface.implementer(iweb.IAgentEndpointFactory)
class AddressEndpoints:
    """Connects by IP address, on the reactor that it was given."""

    def __init__(self, reactor: typing.Any) -> None:  # noqa: ANN401 - real or simulated; Twisted's interfaces carry no types
        self.reactor = reactor

    def endpointForURI(self, uri: client.URI) -> endpoints.TCP4ClientEndpoint:
        """Return the endpoint of a URI whose host is an address."""
        return endpoints.TCP4ClientEndpoint(
            self.reactor, uri.host.decode("ascii"), uri.port, timeout=CONNECT_TIMEOUT_US / units.SECOND_US
        )


class AnswerBodyStreamer(protocol.Protocol):
    """Passes the pieces of an answer on as they come, no faster than they are taken."""

    # Set by `makeConnection`, before anything else is called.
    transport: Producer  # type: ignore[assignment]

    def __init__(
        self,
        runtime: scheduler.Runtime,
        on_data: collections.abc.Callable[[bytes], None],
        on_end: collections.abc.Callable[[bool], object],
    ) -> None:
        self.runtime = runtime
        self.on_data = on_data
        self.on_end = on_end  # called with whether the answer is complete
        self.last_received_us = runtime.now()
        self.paused = False
        self.read_timer: scheduler.Timer | None = None

    def connectionMade(self) -> None:
        """Begin to watch for silence."""
        self.read_timer = self.runtime.later(READ_TIMEOUT_US, self._check_read_timeout)

    def _check_read_timeout(self) -> None:
        left_us = self.last_received_us + READ_TIMEOUT_US - self.runtime.now()
        if self.paused or left_us > 0:
            self.read_timer = self.runtime.later(READ_TIMEOUT_US if self.paused else left_us, self._check_read_timeout)
        else:
            self.stopProducing()

    def pauseProducing(self) -> None:
        """Read no further while the client does not keep up."""
        self.paused = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Go on reading; the time while it was paused is not the worker's silence."""
        self.paused = False
        self.last_received_us = self.runtime.now()
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Break the answer off."""
        self.transport.stopProducing()

    def dataReceived(self, data: bytes) -> None:
        """Pass a piece on."""
        self.last_received_us = self.runtime.now()
        self.on_data(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Tell whether the answer is complete."""
        if self.read_timer is not None and self.read_timer.active():
            self.read_timer.cancel()
        self.on_end(reason.check(client.ResponseDone) is not None)


class BodyCollector(protocol.Protocol):
    """Gathers a small body, and hands it over when it is complete; None where it broke off."""

    # Set by `makeConnection`, before anything else is called.
    transport: Producer  # type: ignore[assignment]

    def __init__(self, on_end: collections.abc.Callable[[bytes | None], object]) -> None:
        self.on_end = on_end
        self.parts: list[bytes] = []
        self.size = 0

    def dataReceived(self, data: bytes) -> None:
        """Gather a piece; a body that is too large is broken off."""
        self.parts.append(data)
        self.size += len(data)
        if self.size > MAX_COLLECTED_BYTES:
            self.transport.stopProducing()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Hand the body over."""
        complete = reason.check(client.ResponseDone, http.PotentialDataLoss) is not None
        self.on_end(b"".join(self.parts) if complete else None)


class ProbeConnection(protocol.Protocol):
    """A connection that is opened only to learn whether the peer accepts one."""

    # Set by `makeConnection`, before anything else is called.
    transport: AbortableTransport  # type: ignore[assignment]

    def abort(self) -> None:
        """Break the connection off."""
        self.transport.abortConnection()


class UnexpectedAnswerError(ValueError):
    """The far side answered, but not with what was asked for.

    >>> UnexpectedAnswerError("answer 404").answered
    True
    """

    answered = True


class Attempt:
    """One attempt under way, which can be cut short."""

    __slots__ = ("answer_begun", "is_relayed", "last_received_us", "waiting", "was_cancelled", "worker")

    def __init__(self, worker: str, now: int) -> None:
        self.worker = worker
        self.last_received_us = now  # when something last came
        self.is_relayed = False  # whether it goes by way of another node
        self.waiting: defer.Deferred[typing.Any] | None = None  # what the attempt waits on: its head, then its end
        self.was_cancelled = False
        self.answer_begun = False  # whether the answer's head has come

    def cancel(self) -> None:
        """Cancel the attempt, as its worker hangs, is unreachable, or has drained; its client is still there.

        >>> attempt = Attempt("w1", 0); attempt.cancel(); attempt.was_cancelled
        True
        """
        self.was_cancelled = True
        if self.waiting is not None:
            self.waiting.cancel()


class Dispatcher:
    """This process's HTTP client towards workers, peers and the platform."""

    def __init__(
        self, runtime: scheduler.Runtime, on_answer: collections.abc.Callable[[str], None] = lambda _worker: None
    ) -> None:
        self.runtime = runtime
        self.on_answer = on_answer  # called with a worker's id whenever it says something
        self.pool = client.HTTPConnectionPool(runtime.reactor, persistent=True)
        self.pool.maxPersistentPerHost = MAX_POOLED_PER_HOST
        self.pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        self.agent = self._agent(self.pool)
        self.unpooled_agent = self._agent(client.HTTPConnectionPool(runtime.reactor, persistent=False))

    def _agent(self, pool: client.HTTPConnectionPool) -> HttpAgent:
        pool.retryAutomatically = False  # the retry budget and idempotence decide about a retry, not Twisted
        reactor = self.runtime.reactor
        agent = client.Agent.usingEndpointFactory(reactor, AddressEndpoints(reactor), pool)
        return typing.cast("HttpAgent", agent)  # Twisted's interfaces carry no types

    async def fetch(self, host: str, port: int, path: str, timeout_us: int) -> bytes:
        """Return the body of a small GET.

        Raises:
            NoAnswerError: The answer's status is not 200, or it broke off.
            scheduler.DeadlineError: No whole answer came in time.
        """
        body: bytes = await self.runtime.within(defer.ensureDeferred(self._fetch(host, port, path)), timeout_us)
        return body

    async def _fetch(self, host: str, port: int, path: str) -> bytes:
        response = await self.agent.request(b"GET", f"http://{host}:{port}{path}".encode())

        def cancel(_: defer.Deferred[bytes | None]) -> None:
            if response._transport is not None:
                response._transport.stopProducing()

        def collect(raw: bytes | None) -> None:
            if not collected.called:
                collected.callback(raw)

        collected: defer.Deferred[bytes | None] = defer.Deferred(cancel)
        response.deliverBody(BodyCollector(collect))
        raw = await collected
        if response.code != 200 or raw is None:
            raise UnexpectedAnswerError(f"answer {response.code}")
        return raw

    async def can_connect(self, host: str, port: int, timeout_us: int) -> bool:
        """Whether a bare connection can be had in time."""
        try:
            connection = await tcp_client.connect(self.runtime.reactor, host, port, timeout_us, ProbeConnection)
        except defer.CancelledError:
            raise
        except Exception:  # refused, timed out, no route: whatever it is, none could be had
            return False
        connection.abort()
        return True

    async def send(
        self,
        request: http_server.Request,
        raw: bytes,
        worker: message.Worker,
        idempotent: bool,
        attempt: Attempt,
        *,
        token: str = "",
        relay_address: tuple[str, int] | None = None,
    ) -> attempt_outcome.AttemptOutcome:
        """Send a request to a worker and stream the answer back.

        A request that may not be repeated goes out on a fresh connection: on a pooled
        one that the worker just closed, nobody could say whether it had run.

        Args:
            request: The client's request; the answer is written to it.
            raw: The request's body.
            worker: The worker.
            idempotent: Whether the request may run more than once.
            attempt: The attempt, which others may cut short.
            token: A relay token, where the request goes by way of another node.
            relay_address: That node's host and HTTP port.

        Raises:
            defer.CancelledError: The client disconnected.
        """
        agent = self.agent if idempotent and not token else self.unpooled_agent
        host, port = relay_address or (worker.host, worker.port)
        uri = b"http://%s:%d%s" % (host.encode(), port, request.uri)
        headers = edge_protocol.worker_request_headers(request.requestHeaders, worker.id, token)
        attempt.waiting = self.runtime.within(agent.request(request.method, uri, headers, Body(raw)), HEAD_TIMEOUT_US)
        try:
            response: Response = await attempt.waiting
        except (error.ConnectError, error.TimeoutError, client.RequestNotSent):  # type: ignore[attr-defined] # left out of its __all__
            return attempt_outcome.AttemptOutcome.UNSENT
        except defer.CancelledError:
            if not attempt.was_cancelled:
                raise
            return attempt_outcome.AttemptOutcome.BROKE
        except Exception as reason:  # whatever broke after the request went out: it may have run
            if request.gone:
                raise defer.CancelledError() from reason  # the client left while the connection was made
            log.warning("Worker {worker} gave no answer: {error}.", worker=worker.id, error=type(reason).__name__)
            return attempt_outcome.AttemptOutcome.BROKE
        attempt.answer_begun, attempt.last_received_us = True, self.runtime.now()
        if token and response.headers.hasHeader(edge_protocol.RELAY_HEADER):
            return self._relay_failure(response)
        return await self._stream_answer(request, response, worker.id, attempt, relayed=bool(token))

    def _relay_failure(self, response: Response) -> attempt_outcome.AttemptOutcome:
        """Return how an attempt ended of which the relaying node says that it got no answer."""
        unsent = response.headers.getRawHeaders(edge_protocol.RELAY_HEADER) == [
            attempt_outcome.AttemptOutcome.UNSENT.value
        ]
        response.deliverBody(BodyCollector(lambda _: None))
        return attempt_outcome.AttemptOutcome.UNSENT if unsent else attempt_outcome.AttemptOutcome.BROKE

    async def _stream_answer(
        self, request: http_server.Request, response: Response, worker: str, attempt: Attempt, relayed: bool
    ) -> attempt_outcome.AttemptOutcome:
        """Write an answer to the client as it comes."""
        if not relayed:
            self.on_answer(worker)
        done: defer.Deferred[bool] = defer.Deferred(lambda _: streamer.stopProducing())
        attempt.waiting = done
        prepare_head(request, response, worker)

        def write_piece(data: bytes) -> None:
            attempt.last_received_us = self.runtime.now()
            if not relayed:
                self.on_answer(worker)
            request.write(data)

        def note_end(complete: bool) -> None:
            if not done.called:
                done.callback(complete)

        streamer = AnswerBodyStreamer(self.runtime, write_piece, note_end)
        request.registerProducer(streamer, True)
        response.deliverBody(streamer)
        try:
            complete = await done
        except defer.CancelledError:
            if not attempt.was_cancelled:
                raise
            complete = False
        finally:
            if not request.gone and not request.finished:
                request.unregisterProducer()
        return end_answer(request, complete)


def prepare_head(request: http_server.Request, response: Response, worker: str) -> None:
    """Prepare the head of an answer; it goes out with the first bytes of the body."""
    request.setResponseCode(response.code, response.phrase)
    for name, values in edge_protocol.client_response_headers(response.headers, worker):
        request.responseHeaders.setRawHeaders(name, values)
    if response.length is not iweb.UNKNOWN_LENGTH:
        request.setHeader("Content-Length", str(response.length))


def end_answer(request: http_server.Request, complete: bool) -> attempt_outcome.AttemptOutcome:
    """End an answer towards the client as far as it is complete, and say how the attempt ended."""
    if complete:
        if not request.gone:
            request.finish()
        return attempt_outcome.AttemptOutcome.COMPLETE
    if request.startedWriting:
        return attempt_outcome.AttemptOutcome.INTERRUPTED
    discard_head(request)
    return attempt_outcome.AttemptOutcome.BROKE


def discard_head(request: http_server.Request) -> None:
    """Take a head back that was to go out with the first bytes of an answer which never came."""
    for name, _ in list(request.responseHeaders.getAllRawHeaders()):
        request.responseHeaders.removeHeader(name)
