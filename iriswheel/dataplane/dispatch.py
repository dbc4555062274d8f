"""The HTTP client for requests to other nodes, to the platform, and to workers in pools whose owner selects them.

One attempt sends a client's request to a worker and streams the answer back to the client.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru
from twisted.internet import defer, endpoints, error, protocol
from twisted.web import client, http, http_headers, iweb
from zope import interface

from iriswheel.dataplane import attempt_outcome, bounded_client, edge_protocol, tcp_client
from iriswheel.runtime import scheduler, units

if typing.TYPE_CHECKING:
    from twisted.python import failure

    from iriswheel.transport import http_server, message


CONNECT_TIMEOUT_US = 700 * units.MILLISECOND_US
HEAD_TIMEOUT_US = 10 * units.SECOND_US  # from the start of the request to the answer's head
READ_TIMEOUT_US = 10 * units.SECOND_US  # longest silence between two pieces of an answer
IDLE_CONNECTION_S = 4  # idle time after which a pooled connection is closed, well before a worker would close it
MAX_POOLED_PER_HOST = 32  # idle connections
MAX_COLLECTED_BYTES = 1 << 20  # size of a body that is collected in memory

log = loguru.logger.bind(part="dispatch")


# ---- types of the parts of Twisted's client used here; Twisted's interfaces carry none -----


class Producer(typing.Protocol):
    """The transport from which the body of an answer is read."""

    def pauseProducing(self) -> None:
        """Pause reading."""

    def resumeProducing(self) -> None:
        """Resume reading."""

    def stopProducing(self) -> None:
        """Stop reading for good."""


class AbortableTransport(typing.Protocol):
    """The transport of a connection that can be aborted."""

    def abortConnection(self) -> None:
        """Close the connection without sending what is buffered."""


class Response(typing.Protocol):
    """An answer whose head has been received, and whose body is still to be read."""

    code: int
    phrase: bytes
    headers: http_headers.Headers
    length: object  # an int, or iweb.UNKNOWN_LENGTH
    _transport: Producer | None

    def deliverBody(self, receiver: protocol.Protocol, /) -> None:  # noqa: N802 - Twisted's name
        """Deliver the body to a protocol piece by piece, as it is received."""


class HttpAgent(typing.Protocol):
    """The request method of Twisted's HTTP agents."""

    def request(
        self,
        method: bytes,
        uri: bytes,
        headers: http_headers.Headers | None = None,
        bodyProducer: Body | None = None,  # noqa: N803 - Twisted's name
    ) -> defer.Deferred[Response]:
        """Send a request; the Deferred fires when the head of the answer has been received."""


class Consumer(typing.Protocol):
    """The transport that a request body is written to."""

    def write(self, data: bytes, /) -> None:
        """Send bytes."""


@interface.implementer(iweb.IBodyProducer)
class Body:
    """A request body in memory, in the form of the body producer that Twisted's client requires.

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
    """Makes endpoints for URIs whose host is an IP address, on a real or a simulated reactor."""

    def __init__(self, reactor: typing.Any) -> None:  # noqa: ANN401 - real or simulated; Twisted's interfaces carry no types
        self.reactor = reactor

    def endpointForURI(self, uri: client.URI) -> endpoints.TCP4ClientEndpoint:
        """Return the endpoint of a URI whose host is an address."""
        return endpoints.TCP4ClientEndpoint(
            self.reactor, uri.host.decode("ascii"), uri.port, timeout=CONNECT_TIMEOUT_US / units.SECOND_US
        )


class AnswerBodyStreamer(protocol.Protocol):
    """Passes on the body of an answer piece by piece, with back-pressure from the client to the worker."""

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
        """Start the timer that ends an answer after READ_TIMEOUT_US without a byte."""
        self.read_timer = self.runtime.later(READ_TIMEOUT_US, self._check_read_timeout)

    def _check_read_timeout(self) -> None:
        left_us = self.last_received_us + READ_TIMEOUT_US - self.runtime.now()
        if self.paused or left_us > 0:
            self.read_timer = self.runtime.later(READ_TIMEOUT_US if self.paused else left_us, self._check_read_timeout)
        else:
            self.stopProducing()

    def pauseProducing(self) -> None:
        """Stop reading from the worker while the client reads too slowly."""
        self.paused = True
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Resume reading; the read time-out starts anew, since the worker was not silent during the pause."""
        self.paused = False
        self.last_received_us = self.runtime.now()
        self.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Stop reading the answer before its end."""
        self.transport.stopProducing()

    def dataReceived(self, data: bytes) -> None:
        """Pass on one piece of the body."""
        self.last_received_us = self.runtime.now()
        self.on_data(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Stop the timer and report whether the answer is complete."""
        if self.read_timer is not None and self.read_timer.active():
            self.read_timer.cancel()
        self.on_end(reason.check(client.ResponseDone) is not None)


class BodyCollector(protocol.Protocol):
    """Collects a small body in memory; `on_end` gets the whole body, or None where it broke off."""

    # Set by `makeConnection`, before anything else is called.
    transport: Producer  # type: ignore[assignment]

    def __init__(self, on_end: collections.abc.Callable[[bytes | None], object]) -> None:
        self.on_end = on_end
        self.parts: list[bytes] = []
        self.size = 0

    def dataReceived(self, data: bytes) -> None:
        """Collect one piece; reading stops where the body exceeds MAX_COLLECTED_BYTES."""
        self.parts.append(data)
        self.size += len(data)
        if self.size > MAX_COLLECTED_BYTES:
            self.transport.stopProducing()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        """Report the body, or None where it is incomplete."""
        complete = reason.check(client.ResponseDone, http.PotentialDataLoss) is not None
        self.on_end(b"".join(self.parts) if complete else None)


class ProbeConnection(protocol.Protocol):
    """A connection that is opened only to learn whether the host accepts connections."""

    # Set by `makeConnection`, before anything else is called.
    transport: AbortableTransport  # type: ignore[assignment]

    def abort(self) -> None:
        """Close the connection at once."""
        self.transport.abortConnection()


class UnexpectedAnswerError(ValueError):
    """A host answered, but not with the document that was requested.

    >>> UnexpectedAnswerError("answer 404").answered
    True
    """

    answered = True  # marks for the health checks that the host itself could be reached


class Attempt:
    """One attempt under way; its node may cancel it before it ends."""

    __slots__ = ("answer_begun", "is_relayed", "last_received_us", "waiting", "was_cancelled", "worker")

    def __init__(self, worker: str, now: int) -> None:
        self.worker = worker
        self.last_received_us = now  # time of the last bytes of the answer; the start before there are any
        self.is_relayed = False  # whether another node relays it to the worker
        # the Deferred that the attempt awaits now: first for the answer's head, then for the answer's end
        self.waiting: defer.Deferred[typing.Any] | None = None
        self.was_cancelled = False  # whether this node has cancelled it
        self.answer_begun = False  # whether the answer's head has been received

    def cancel(self) -> None:
        """Cancel the attempt because its worker hangs, is unreachable or has drained; its client still waits.

        >>> attempt = Attempt("w1", 0); attempt.cancel(); attempt.was_cancelled
        True
        """
        self.was_cancelled = True
        if self.waiting is not None:
            self.waiting.cancel()


class Dispatcher:
    """This node's HTTP client for other nodes, the platform, and workers in pools whose owner selects them."""

    def __init__(
        self, runtime: scheduler.Runtime, on_answer: collections.abc.Callable[[str], None] = lambda _worker: None
    ) -> None:
        self.runtime = runtime
        self.on_answer = on_answer  # called with a worker's id whenever bytes of an answer come from it
        self.pool = bounded_client.new_pool(runtime.reactor, persistent=True)
        self.pool.maxPersistentPerHost = MAX_POOLED_PER_HOST
        self.pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        self.agent = self._agent(self.pool)
        self.unpooled_agent = self._agent(bounded_client.new_pool(runtime.reactor, persistent=False))

    def _agent(self, pool: client.HTTPConnectionPool) -> HttpAgent:
        pool.retryAutomatically = False  # only the retry budget and idempotence decide about a retry
        reactor = self.runtime.reactor
        agent = client.Agent.usingEndpointFactory(reactor, AddressEndpoints(reactor), pool)
        return typing.cast("HttpAgent", agent)  # Twisted's interfaces carry no types

    async def fetch(self, host: str, port: int, path: str, timeout_us: int) -> bytes:
        """Fetch a small document with GET and return its body.

        Raises:
            UnexpectedAnswerError: The answer's status is not 200, or its body broke off.
            scheduler.DeadlineError: The answer was not complete in time.
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
        """Whether a TCP connection can be opened within the time-out."""
        try:
            connection = await tcp_client.connect(self.runtime.reactor, host, port, timeout_us, ProbeConnection)
        except defer.CancelledError:
            raise
        except Exception:  # refused, timed out, no route: no connection in any of these cases
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
        """Send a request to a worker and stream the answer back to the client.

        A request that is not idempotent goes out on a new connection: if it went out on a pooled connection that the
        worker had just closed, nobody could say whether the request had run.

        Args:
            request: The client's request; the answer is written to it.
            raw: The request's body.
            worker: The worker that is to run the request.
            idempotent: Whether the request may run more than once.
            attempt: The attempt, which this node may cancel.
            token: The relay token where another node relays the request, else "".
            relay_address: Host and HTTP port of the relaying node, else None.

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
        except Exception as reason:  # any failure after the request was sent: it may have run
            if request.client_disconnected:
                raise defer.CancelledError() from reason  # the client disconnected while the connection was made
            log.warning(
                "Worker {worker} gave no answer to a request that may have run: {error}.",
                worker=worker.id,
                error=type(reason).__name__,
            )
            return attempt_outcome.AttemptOutcome.BROKE
        attempt.answer_begun, attempt.last_received_us = True, self.runtime.now()
        if token and response.headers.hasHeader(edge_protocol.RELAY_HEADER):
            return self._relay_failure(response)
        return await self._stream_answer(request, response, worker.id, attempt, relayed=bool(token))

    def _relay_failure(self, response: Response) -> attempt_outcome.AttemptOutcome:
        """Return the outcome of an attempt for which the relaying node reports that no answer came from the worker."""
        unsent = response.headers.getRawHeaders(edge_protocol.RELAY_HEADER) == [
            attempt_outcome.AttemptOutcome.UNSENT.value
        ]
        response.deliverBody(BodyCollector(lambda _: None))
        return attempt_outcome.AttemptOutcome.UNSENT if unsent else attempt_outcome.AttemptOutcome.BROKE

    async def _stream_answer(
        self, request: http_server.Request, response: Response, worker: str, attempt: Attempt, relayed: bool
    ) -> attempt_outcome.AttemptOutcome:
        """Write an answer to the client while it is received."""
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
            if not request.client_disconnected and not request.finished:
                request.unregisterProducer()
        return end_answer(request, complete)


def prepare_head(request: http_server.Request, response: Response, worker: str) -> None:
    """Prepare the head of the answer to the client; it is sent with the first bytes of the body."""
    request.setResponseCode(response.code, response.phrase)
    for name, values in edge_protocol.client_response_headers(response.headers, worker):
        request.responseHeaders.setRawHeaders(name, values)
    if response.length is not iweb.UNKNOWN_LENGTH:
        request.setHeader("Content-Length", str(response.length))


def end_answer(request: http_server.Request, complete: bool) -> attempt_outcome.AttemptOutcome:
    """Finish the answer to the client if it is complete, and return how the attempt ended.

    Where no byte has been sent to the client, the prepared head is discarded, so that another attempt may answer.
    """
    if complete:
        if not request.client_disconnected:
            request.finish()
        return attempt_outcome.AttemptOutcome.COMPLETE
    if request.startedWriting:
        return attempt_outcome.AttemptOutcome.INTERRUPTED
    discard_head(request)
    return attempt_outcome.AttemptOutcome.BROKE


def discard_head(request: http_server.Request) -> None:
    """Remove the headers that were prepared for an answer of which no byte was received."""
    for name, _ in list(request.responseHeaders.getAllRawHeaders()):
        request.responseHeaders.removeHeader(name)
