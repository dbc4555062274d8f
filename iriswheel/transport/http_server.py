"""The HTTP server of iriswheel's processes: Twisted's server with limits on size and time, and one task per request."""

from __future__ import annotations

import collections.abc
import http as http_status
import io
import json
import traceback
import typing

import loguru
import twisted.internet.protocol as twisted_protocol
from twisted.internet import defer
from twisted.web import http

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.runtime import scheduler, units
from iriswheel.transport import (
    chunked_body,
    connection_slots,
    json_documents,
    memory_budget,
    read_turns,
    unsent,
    work_turns,
)

if typing.TYPE_CHECKING:
    from twisted.internet import interfaces
    from twisted.python import failure


CLOCK_ALLOWANCE_US = 2 * units.SECOND_US  # added to a client's time limits, since its clock may run differently
CONNECTION_LIMIT = 2048  # simultaneous connections of one server
CLOSE_TIMEOUT_US = 50 * units.MILLISECOND_US  # until a connection that gives way is aborted, if it is still open
BODY_WEIGHT = 2  # bytes of memory for each byte of a body: it is also held in the buffer of the worker's connection
HEADER_BYTES = 400  # of memory for each header, beside its text
UNSENT_BYTES = 64 << 10  # of answers that wait for a client to read them, from which its connection may be ended

log = loguru.logger.bind(part="http_server")

HandlerCoroutine: typing.TypeAlias = "collections.abc.Coroutine[typing.Any, typing.Any, object]"
Handler: typing.TypeAlias = "collections.abc.Callable[[Request], HandlerCoroutine]"


class ErrorFormat(typing.Protocol):
    """The format in which a server answers errors."""

    def error_response(self, error: errors.ServiceError, /) -> tuple[int, list[tuple[str, str]], bytes]:
        """Return the HTTP status, headers and body of the response to an error."""


class JsonErrorFormat:
    """The default error format: `ServiceError` with its own status, headers and JSON body."""

    def error_response(self, error: errors.ServiceError, /) -> tuple[int, list[tuple[str, str]], bytes]:
        """Return the HTTP status, headers and body of the response to an error."""
        return error.status, error.headers(), error.body()


def closing_error_response(error: errors.ServiceError, error_format: ErrorFormat) -> bytes:
    """Return the bytes of an error response after which the server closes the connection."""
    status, headers, body = error_format.error_response(error)
    lines = [
        f"HTTP/1.1 {status} {http_status.HTTPStatus(status).phrase}",
        "Content-Type: application/json",
        *(f"{name}: {value}" for name, value in headers),
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_json(document: object) -> bytes:
    """Return the body of a JSON answer."""
    return json.dumps(document).encode() + b"\n"


def no_memory_error() -> errors.ServiceError:
    """Return the error for a request that this process refuses for want of memory."""
    return errors.ServiceError("busy", "This process has no memory for the request now.")


def no_connection_error() -> errors.ServiceError:
    """Return the error for a request that this process refuses for want of connections."""
    return errors.ServiceError("busy", "This process has no connection for the request now.")


class Request(http.Request):
    """One HTTP request, on the server's side."""

    channel: Channel
    content: io.BytesIO
    early_error: errors.ServiceError | None = None  # the error sent before the body was received
    client_disconnected = False
    received_bytes = 0  # length of the body so far
    header_count = 0  # once the head is complete
    client_lost: scheduler.Signal  # woken when the client disconnects
    held_answer_bytes = 0  # of an answer that is received but not passed on yet
    _release_answer: collections.abc.Callable[[], object] | None = None

    def __init__(
        self,
        channel: http.HTTPChannel,
        queued: object = False,
        parsePOSTFormSubmission: bool = False,  # noqa: N803 - Twisted's name
    ) -> None:
        # a body is passed on as it is by default; parsed as a form it takes many times its length
        super().__init__(channel, queued, parsePOSTFormSubmission)

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose announced length is above the limit; the length of a chunked body is None."""
        super().gotLength(length)
        self.content = io.BytesIO()  # in memory, not in a file: `Limits.body_bytes` bounds it
        if length is not None and length > self.channel.factory.limits().body_bytes:
            self.send_error_early(errors.ServiceError("too_large", "The body is too large."))

    def handleContentChunk(self, data: bytes) -> None:
        """Add a chunk to the body; refuse the request once the body is above the limit."""
        if self.early_error is not None:
            return
        self.received_bytes += len(data)
        if self.received_bytes > self.channel.factory.limits().body_bytes:
            self.send_error_early(errors.ServiceError("too_large", "The body is too large."))
            return
        super().handleContentChunk(data)

    def take_body(self) -> bytes:
        """Return the whole body, which this request holds no longer."""
        body = self.content.getvalue()
        self.content = io.BytesIO()
        return body

    def send_error_early(self, error: errors.ServiceError) -> None:
        """Answer with an error before the body is complete, and close the connection."""
        self.early_error = error
        self.content = io.BytesIO()
        self.received_bytes = 0
        self.channel.transport.write(closing_error_response(self.early_error, self.channel.factory.error_format))
        self.channel.loseConnection()

    def process(self) -> None:
        """Start the server's handler for a request whose body is complete."""
        if self.early_error is not None:
            return
        self.client_lost = scheduler.Signal()
        self.notifyFinish().addErrback(self._record_disconnection)
        if not self.channel.factory.slots.begin_request(self.channel):
            self._refuse(no_connection_error())
            return
        if not self.channel.note_memory():
            self._refuse(no_memory_error())
            return
        if self.channel.factory.work is None:
            self._start()
        else:
            self.channel.factory.work.start(self._start)

    def _start(self) -> None:
        """Begin the work on a whole request, unless its client has left."""
        if not self.client_disconnected:
            self.channel.factory.runtime.spawn(self._serve(self.channel.factory.handle), log)

    def _refuse(self, error: errors.ServiceError) -> None:
        """Answer a whole request with an error before any work on it."""
        self.content = io.BytesIO()
        self.answer_error(error)

    def _record_disconnection(self, _: failure.Failure) -> None:
        self.client_disconnected = True
        self.client_lost.wake()

    async def _serve(self, handle: Handler) -> None:
        try:
            await handle(self)
        except errors.ServiceError as error:
            self.answer_error(error)
            # its frames hold the document and, in a cycle, the error: without this both wait for a search for garbage
            traceback.clear_frames(error.__traceback__)
        except defer.CancelledError:
            raise
        except Exception:  # the client gets an answer whatever the handler raises
            log.exception("A request handler raised an unexpected exception; the client gets the error worker_broke.")
            self.answer_error(
                errors.ServiceError("worker_broke", "Internal error.", errors.ExecutionOutcome.MAY_HAVE_RUN)
            )

    def hold_for_answer(self, held_bytes: int, release: collections.abc.Callable[[], object]) -> None:
        """Charge this request's connection for an answer that is received but not passed on yet.

        Args:
            held_bytes: What is held now; 0 from the end of the answer on.
            release: Gives the answer up, so that nothing is held any more.
        """
        self.held_answer_bytes = held_bytes
        self._release_answer = release
        self.channel.note_memory()

    def release_answer(self) -> bool:
        """Give up an answer that is received but not passed on yet; returns whether there was any."""
        if not self.held_answer_bytes or self._release_answer is None:
            return False
        self._release_answer()
        return True

    def write(self, data: bytes) -> None:
        """Send a piece of the answer."""
        super().write(data)
        self.channel.note_memory()

    def answer_error(self, error: errors.ServiceError) -> None:
        """Answer with an error; if an answer has begun already, abort the connection instead."""
        if self.client_disconnected:
            return
        if self.startedWriting:
            self.break_off()
            return
        status, headers, body = self.channel.factory.error_format.error_response(error)
        self.answer(status, body, dict(headers))

    def answer_json(self, status: int, document: object) -> None:
        """Send a complete JSON answer."""
        self.answer(status, encode_json(document))

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
        """Return the body decoded from JSON; raises ServiceError if it is not valid JSON."""
        try:
            return json_documents.parse(self.take_body())
        except ValueError:
            raise errors.ServiceError("bad_request", "The body is not JSON.", field="body") from None


class Channel(http.HTTPChannel):
    """One HTTP connection, which its server counts and whose time limits it enforces."""

    factory: Server
    transport: typing.Any  # Any: Twisted describes transports by zope interfaces, which mypy can't check
    requestFactory = Request
    head_started_at: int | None  # arrival of the first byte of the incomplete request head, in µs; None without one
    reading: read_turns.ReadControl
    idle_since: int  # time of the last received data or completed answer, in µs
    _are_later_requests_due = False  # whether these are looked at in the next turn

    def connectionMade(self) -> None:
        """Count the connection, and set its limits to those in force now."""
        self.factory.slots.add(self)
        limits = self.factory.limits()
        self.totalHeadersSize = limits.head_bytes
        # type ignored: Twisted declares an int, but passes it as the seconds of a delayed call
        self.timeOut = (limits.idle_us + CLOCK_ALLOWANCE_US) / units.SECOND_US  # type: ignore[assignment]
        self.head_started_at = None
        self.idle_since = self.factory.runtime.now()
        super().connectionMade()
        self.reading = read_turns.ReadControl(self.transport)
        self._networkProducer = self.reading  # type: ignore[assignment]  # a zope interface

    def dataReceived(self, data: bytes) -> None:
        """Handle data; where this server is busy, the connection may have to wait for its turn before it is read on."""
        began_us = self.factory.runtime.now()
        self.reading.note_read()
        self._receive(data)
        self.factory.turns.note_work(self.reading, began_us)

    def _receive(self, data: bytes) -> None:
        """Record the arrival of data, and the start of a request head."""
        if self.head_started_at is None and not self.requests:
            self.head_started_at = self.factory.runtime.now()
        self.idle_since = self.factory.runtime.now()
        super().dataReceived(data)
        self.note_memory()

    def _maybeChooseTransferDecoder(self, header: bytes, data: bytes) -> bool:  # noqa: N802 - Twisted's name
        if not super()._maybeChooseTransferDecoder(header, data):
            return False
        if header == b"Transfer-Encoding" and self._transferDecoder is not None:
            decoder = self._transferDecoder
            self._transferDecoder = chunked_body.ChunkedBodyDecoder(decoder.dataCallback, decoder.finishCallback)
        return True

    def allHeadersReceived(self) -> None:
        """Record that the request head is complete."""
        self.head_started_at = None
        self.requests[-1].header_count = self._receivedHeaderCount
        super().allHeadersReceived()

    def requestDone(self, request: http.Request) -> None:
        """Record that the connection is idle from now on; what has come of later requests is kept for another turn."""
        self.idle_since = self.factory.runtime.now()
        self.factory.slots.end_request(self)
        later_requests = b"".join(self._dataBuffer) + self._buffer
        self._dataBuffer, self._buffer = [], b""
        super().requestDone(request)
        if later_requests and self.persistent:
            self._keep_later_requests(later_requests)
        self.note_memory()

    def _keep_later_requests(self, data: bytes) -> None:
        """Keep what the client has sent already, unread, until the reactor's next turn and until it takes its answers.

        Otherwise a client's requests would all be handled in one turn, and their answers held, however many there are.
        Twisted's `_handlingRequest` is set meanwhile, though there is no request.
        """
        self._handlingRequest = True  # so what arrives meanwhile is kept too
        self.setRawMode()
        self._dataBuffer = [data]
        self.reading.pauseProducing()
        if not self._waitingForTransport:
            self._schedule_later_requests()

    def _schedule_later_requests(self) -> None:
        if self._handlingRequest and not self.requests and not self._are_later_requests_due:
            self._are_later_requests_due = True
            self.factory.runtime.later(0, self._receive_later_requests)

    def _receive_later_requests(self) -> None:
        """Go on with what was kept, unless the connection has ended or its client still does not read."""
        self._are_later_requests_due = False
        if not self._dataBuffer or self._waitingForTransport or self not in self.factory.slots:
            return
        self._handlingRequest = False
        data = b"".join(self._dataBuffer)
        self._dataBuffer = []
        self.reading.resumeProducing()
        self.setLineMode(data)

    def resumeProducing(self) -> None:
        """Go on, as the client has taken what was sent to it."""
        super().resumeProducing()
        self._schedule_later_requests()

    def note_memory(self) -> bool:
        """Have the budget charge this connection for what it holds now; returns whether the process has the memory."""
        if self not in self.factory.slots:
            return True
        if self.unsent_bytes() > self.factory.memory.limit_bytes:  # answers to pipelined requests, for one
            unsent.abort(self.transport)
        return self.factory.memory.update(self)

    def unsent_bytes(self) -> int:
        """Return the length of the answers that the client has not read and the operating system has not taken."""
        return unsent.unsent_bytes(self.transport)

    def held_bytes(self) -> int:
        """Return an estimate of the bytes that this connection holds: its request, later ones, and unsent answers."""
        held = len(self._buffer) + sum(map(len, self._dataBuffer)) + self.unsent_bytes()
        if self.requests:
            request = self.requests[-1]
            header_count = request.header_count or self._receivedHeaderCount
            held += HEADER_BYTES * header_count + self.factory.body_weight * request.received_bytes
            held += request.held_answer_bytes
        return held

    def is_released_first(self) -> bool:
        """Return whether its memory is released before that of all others; see `memory_budget.Holder`."""
        return False

    def release_memory(self) -> bool:
        """Refuse a request that is not whole yet, or end a connection whose client does not read; see `Holder`.

        Later requests on a connection are dropped unread, and it is closed after the answer under way.
        """
        if self.unsent_bytes() >= UNSENT_BYTES:
            unsent.abort(self.transport)
            return True
        if self._handlingRequest and not self.requests:
            return self._drop_kept_requests()
        if self._handlingRequest:
            return self.requests[-1].release_answer() or self._drop_later_requests()
        if not self.requests and not self._buffer:
            return False
        if self.requests and self.requests[-1].early_error is not None:
            return False  # it is being closed already
        if self.requests:
            self.requests[-1].send_error_early(no_memory_error())
        else:
            self.loseConnection()
        self._buffer = b""
        return True

    def _drop_later_requests(self) -> bool:
        if not any(self._dataBuffer):
            return False
        self._dataBuffer = []
        self.persistent = False
        return True

    def _drop_kept_requests(self) -> bool:
        """Close a connection that keeps later requests; returns whether it did, which one that is closing does not."""
        if not self._drop_later_requests():
            return False
        self.loseConnection()
        return True

    def give_way(self) -> None:
        """Refuse what the client has not finished, and close the connection; see `connection_slots.Client`."""
        if self.unsent_bytes() or (self.requests and self.requests[-1].early_error is not None):
            unsent.abort(self.transport)
            return
        if self.requests:
            self.requests[-1].send_error_early(no_connection_error())
        else:
            self.loseConnection()
        self._abortingCall = self.callLater(CLOSE_TIMEOUT_US / units.SECOND_US, self.forceAbortClient)

    def timeoutConnection(self) -> None:
        """Close an idle connection, unless the limit was raised after its timer was set and has not been reached."""
        idle_end = self.idle_since + self.factory.limits().idle_us + CLOCK_ALLOWANCE_US
        left_us = idle_end - self.factory.runtime.now()
        if left_us > 0:
            self.setTimeout(left_us / units.SECOND_US)
        else:
            super().timeoutConnection()

    def _send100Continue(self) -> None:
        if self.requests[-1].early_error is None:  # nothing may be sent after the final answer
            super()._send100Continue()

    def is_head_overdue(self, now: int) -> bool:
        """Return whether a request head has been incomplete for longer than the limit."""
        limit_us = self.factory.limits().head_us + CLOCK_ALLOWANCE_US
        return self.head_started_at is not None and now - self.head_started_at > limit_us

    def connectionLost(self, reason: failure.Failure = twisted_protocol.connectionDone) -> None:
        """Remove the connection from the server's count."""
        self.factory.slots.remove(self)
        self.factory.memory.remove(self)
        self.factory.turns.remove(self.reading)
        self.factory.connection_closed.wake()
        super().connectionLost(reason)

    def _respondToBadRequestAndDisconnect(self) -> None:
        # Twisted's own answer has no body; this one has the error code
        error = errors.ServiceError("bad_request", "The head of the exchange is malformed.", field="head")
        self.transport.write(closing_error_response(error, self.factory.error_format))
        self.loseConnection()


class Server(http.HTTPFactory):
    """Accepts HTTP connections, up to a limit, above which those that wait for their clients give way.

    Args:
        runtime: clock and reactor of this process.
        handle: answers one request; runs as a task of its own.
        connection_limit: how many connections may be open at a time, with those in `upstream_count`.
        upstream_count: returns how many connections to workers are open; None where no request needs one.
        error_format: the format of error responses; JsonErrorFormat by default.
        limits: returns the limits in force now, which a new configuration may change.
        memory: the budget of this process for what it holds for its clients; by default one of this server alone.
        body_weight: bytes of memory for each byte of a body, by which the budget is charged.
        turns: the turns in which a busy process reads from its clients; by default those of this server alone.
        work: the turns in which the work on whole requests begins, where that may take long; by default at once.
    """

    noisy = False
    protocol = Channel  # type: ignore[assignment]  # as in Twisted: declared there as a factory of wrapped channels

    def __init__(
        self,
        runtime: scheduler.Runtime,
        handle: Handler,
        *,
        connection_limit: int = CONNECTION_LIMIT,
        upstream_count: collections.abc.Callable[[], int] | None = None,
        error_format: ErrorFormat | None = None,
        limits: collections.abc.Callable[[], configuration.Limits] = configuration.Limits,
        memory: memory_budget.MemoryBudget | None = None,
        body_weight: int = BODY_WEIGHT,
        turns: read_turns.ReadTurns | None = None,
        work: work_turns.WorkTurns | None = None,
    ) -> None:
        super().__init__(timeout=limits().idle_us / units.SECOND_US, reactor=runtime.reactor)
        self.runtime = runtime
        self.handle = handle
        self.error_format = error_format or JsonErrorFormat()
        self.limits = limits
        self.memory = memory or memory_budget.MemoryBudget()
        self.body_weight = body_weight
        self.slots = connection_slots.ConnectionSlots(connection_limit, upstream_count)
        self.turns = turns or read_turns.ReadTurns(runtime)
        self.work = work
        self.is_finishing = False  # whether no more connections are accepted
        self.connection_closed = scheduler.Signal()  # woken when a connection has closed

    def startFactory(self) -> None:
        """Open no access log: the process counts requests instead."""

    def stopFactory(self) -> None:
        """Close no access log."""

    def log(self, request: http.Request) -> None:
        """Write no access log."""

    def buildProtocol(self, addr: interfaces.IAddress | None) -> interfaces.IProtocol | None:
        """Return a channel for a new connection, or None, which closes it, if too many are open."""
        return super().buildProtocol(addr) if not self.is_finishing and self.slots.admit() else None

    async def close_overdue_heads(self) -> None:
        """Every second, close the connections whose request head is overdue, for as long as the process runs.

        How many others were closed for new ones is logged then.
        """
        logged_count = 0
        while True:
            await self.runtime.sleep(units.SECOND_US)
            if self.slots.closed > logged_count:
                log.warning(
                    "{count} connections that waited for their clients were closed to make room for others.",
                    count=self.slots.closed - logged_count,
                )
                logged_count = self.slots.closed
            now = self.runtime.now()
            for channel in self.slots:
                if channel.is_head_overdue(now):
                    channel.loseConnection()

    async def finish(self, timeout_us: int) -> None:
        """Accept no more connections, close each open one once its data is sent, and wait timeout_us at most.

        What has arrived by now is read and answered before that: timers, one of which may have led here, run before
        connections are read, and a process that was held up may find both due.
        """
        self.is_finishing = True
        deadline = self.runtime.now() + timeout_us
        await self.runtime.sleep(0)
        if self.work is not None:
            self.work.start_all()
        for channel in self.slots:
            channel.loseConnection()
        while len(self.slots) and self.runtime.now() < deadline:
            await self.runtime.pause(self.connection_closed, deadline - self.runtime.now())
