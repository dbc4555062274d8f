"""Connections between iriswheel's own processes: framed msgpack messages over TCP.

A connection carries calls, which get one answer each, and messages that need no answer. Each side sends a
keep-alive when it has sent nothing for KEEP_ALIVE_INTERVAL_US, and aborts the connection when it has received
nothing for SILENCE_TIMEOUT_US.

Anyone may connect to the port of a process. So what all connections hold together is bounded by a budget, above which
the largest ones are aborted, and a frame on an accepted connection is decoded only if its values fit into the budget.
"""

from __future__ import annotations

import collections.abc
import inspect
import typing

import msgspec
from twisted.internet import defer, endpoints, error, protocol

from iriswheel.runtime import scheduler, units
from iriswheel.transport import decoded_size, frames, memory_budget, message, unsent

if typing.TYPE_CHECKING:
    import loguru
    from twisted.internet import interfaces
    from twisted.python import failure

    from iriswheel.control import node_session


KEEP_ALIVE_INTERVAL_US = 300 * units.MILLISECOND_US
SILENCE_TIMEOUT_US = 1_500 * units.MILLISECOND_US
CONNECT_TIMEOUT_US = 700 * units.MILLISECOND_US
MAX_FRAME_BYTES = 1 << 25
CHARGED_FROM_BYTES = 16 << 10  # held by a connection, from which the budget is charged for it
UNCHECKED_FRAME_BYTES = 64 << 10  # length up to which a frame is decoded whatever its values take
CONNECTION_LIMIT = 1024  # accepted connections of one process

# The answer to a message from the peer: the message itself, a coroutine that returns it, or None for no answer.
Response: typing.TypeAlias = "collections.abc.Coroutine[typing.Any, typing.Any, typing.Any] | message.Message | None"
MessageHandler: typing.TypeAlias = "collections.abc.Callable[[Connection, typing.Any], Response]"


class FrameKind:
    """The kinds of frames; a frame of any other kind is treated as TELL.

    They are plain integers, since encoding an enumeration member takes 0.3 µs longer for each message.
    """

    TELL = 0  # message that needs no answer
    CALL = 1  # message that needs one REPLY with the same sequence number
    REPLY = 2


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """The content of one frame; `sequence` is the number of a call, repeated in its reply, and 0 in a TELL."""

    kind: int
    sequence: int
    content: message.AnyMessage


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Envelope)


class ConnectionBrokenError(Exception):
    """The connection broke, or could not be opened.

    Args:
        sent: whether the call may have reached the peer.
        refused: whether the peer's machine refused the connection because no process listens on the port.
    """

    code = "link_broken"

    def __init__(self, sent: bool, refused: bool = False) -> None:
        super().__init__("The connection broke or could not be opened.")
        self.sent = sent
        self.refused = refused


class Connection(protocol.Protocol):
    """One side of a connection between two processes.

    Args:
        runtime: clock and reactor of this process.
        serve: handles the messages of the peer and returns their answers.
        log: takes the warnings and errors of the connection.
        memory: the budget for what all connections of this process hold; by default one of this connection alone.
        is_accepted: whether the other side opened the connection, so that it may be anyone.
    """

    transport: typing.Any  # Any: Twisted describes transports by zope interfaces, which mypy can't check

    def __init__(
        self,
        runtime: scheduler.Runtime,
        serve: MessageHandler,
        log: loguru.Logger,
        *,
        memory: memory_budget.MemoryBudget | None = None,
        is_accepted: bool = False,
    ) -> None:
        self.runtime = runtime
        self.serve = serve
        self.log = log
        self.memory = memory or memory_budget.MemoryBudget()
        self.is_accepted = is_accepted
        self.frames = frames.FrameReader(min(MAX_FRAME_BYTES, self.memory.largest_bytes))
        self.is_aborted = False
        self.is_charged = False  # whether the budget knows this connection
        self.sequence = 0  # sequence number of the newest call
        self.pending: dict[int, defer.Deferred[typing.Any]] = {}  # sequence number -> the awaited answer
        self.lost = scheduler.Signal()  # woken when the connection has ended
        self.up = False
        self.last_received = self.last_sent = self.last_used = runtime.now()
        self.sent_bytes = 0
        self.buffer_full = False  # whether the transport's send buffer is full
        self.writable = scheduler.Signal()  # woken when the buffer has room again, or the connection has ended
        self.version = 0  # the peer's protocol version; 0 before its handshake
        self.version_refused = False  # whether this process does not support the peer's protocol version
        self.node_session: node_session.NodeSession | None = None  # the session of the node that connected, on a core
        self.has_served = False  # whether a message of the peer was handled
        self.on_message: collections.abc.Callable[[Connection], object] = lambda _: None  # at each message to handle

    def connectionMade(self) -> None:
        """Send the version handshake, and start the timer of the keep-alives."""
        self.up = True
        self.last_received = self.last_sent = self.runtime.now()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.keep_alive_timer = self.runtime.later(KEEP_ALIVE_INTERVAL_US, self._check_alive)
        self._send(FrameKind.TELL, 0, message.VersionHandshake(self.runtime.protocol_version))

    def pauseProducing(self) -> None:
        """Record that the transport's send buffer is full."""
        self.buffer_full = True

    def resumeProducing(self) -> None:
        """Record that the transport's send buffer has room again."""
        self.buffer_full = False
        self.writable.wake()

    def stopProducing(self) -> None:
        """Record that nothing waits for the send buffer any more, since the connection ends."""
        self.buffer_full = False

    def _check_alive(self) -> None:
        now = self.runtime.now()
        if now - self.last_received > SILENCE_TIMEOUT_US:
            self._abort()
            return
        if now - self.last_sent >= KEEP_ALIVE_INTERVAL_US and not self.buffer_full:
            self._send(FrameKind.TELL, 0, message.KeepAlive())
        self.keep_alive_timer = self.runtime.later(KEEP_ALIVE_INTERVAL_US, self._check_alive)

    def _send(self, kind: int, sequence: int, content: message.Message) -> None:
        if self.is_aborted:
            return
        # type ignored: the declared type of `content` matters only for decoding
        self._send_frame(encoder.encode(Envelope(kind, sequence, content)))  # type: ignore[arg-type]

    def _send_frame(self, raw: bytes) -> None:
        frame = frames.encode(raw)
        self.last_sent = self.runtime.now()
        self.sent_bytes += len(frame)
        self.transport.write(frame)
        self._note_memory()

    def tell(self, content: message.Message) -> None:
        """Send a message that needs no answer; it is dropped if the connection has ended."""
        if self.up:
            self.last_used = self.runtime.now()
            self._send(FrameKind.TELL, 0, content)

    # Any: each caller knows the type of the answer to its message.
    def call(self, content: message.Message, timeout_us: int) -> defer.Deferred[typing.Any]:
        """Send a message and wait for its answer.

        Fails with ConnectionBrokenError, or with DeadlineError after timeout_us microseconds.
        """
        if not self.up:
            return defer.fail(ConnectionBrokenError(sent=False))
        self.last_used = self.runtime.now()
        self.sequence += 1
        sequence = self.sequence

        def drop_pending_call(_: defer.Deferred[typing.Any]) -> None:
            self.pending.pop(sequence, None)

        answer: defer.Deferred[typing.Any] = defer.Deferred(drop_pending_call)
        self.pending[sequence] = answer
        self._send(FrameKind.CALL, sequence, content)
        return self.runtime.within(answer, timeout_us)

    def dataReceived(self, data: bytes) -> None:
        """Handle the frames that these bytes complete; one that is announced too long ends the connection."""
        try:
            for raw in self.frames.read(data):
                self._receive_frame(raw)
                if self.is_aborted:
                    return
        except frames.FrameTooLargeError as too_large:
            self.log.warning(
                "A peer announced a frame of {length} bytes, which is above the limit; the connection is aborted.",
                length=too_large.length,
            )
            self._abort()
            return
        self._note_memory()

    def _receive_frame(self, raw: bytes) -> None:
        """Handle one frame; one that can't be decoded ends the connection, unless the peer's protocol is newer."""
        self.last_received = self.runtime.now()
        if self._takes_too_much_memory(raw):
            self.log.warning("A frame's values would take too much memory; the connection is aborted.")
            self._abort()
            return
        try:
            frame = decoder.decode(raw)
        except (msgspec.MsgspecError, RecursionError, MemoryError) as decode_error:
            if self.version > self.runtime.protocol_version:
                return  # a newer peer may send messages that are unknown here; its calls end by their own timeouts
            self.log.warning(
                "A frame from a peer can't be decoded; the connection is aborted: {error}", error=decode_error
            )
            self._abort()
            return
        match frame:
            case Envelope(kind=FrameKind.TELL, content=message.KeepAlive()):
                pass
            case Envelope(kind=FrameKind.TELL, content=message.VersionHandshake(version=version)):
                self._take_version(version)
            case _ if self.version_refused:
                pass  # a frame that the peer sent right after its handshake
            case Envelope(kind=FrameKind.REPLY, sequence=sequence, content=content):
                answer = self.pending.pop(sequence, None)
                if answer is not None and not answer.called:
                    answer.callback(content)
            case _:
                self._serve(frame)

    def _takes_too_much_memory(self, raw: bytes) -> bool:
        """Whether the values of a frame of anyone's would take more memory than all connections may hold."""
        if not self.is_accepted or len(raw) <= UNCHECKED_FRAME_BYTES:
            return False
        return not decoded_size.is_at_most(raw, self.memory.limit_bytes)

    def _take_version(self, version: int) -> None:
        self.version = version
        if abs(version - self.runtime.protocol_version) > 1:
            self.log.error(
                "A peer speaks protocol version {peer_version}, this process {version}; the connection is aborted.",
                peer_version=version,
                version=self.runtime.protocol_version,
            )
            self.version_refused = True
            self._abort()

    def _serve(self, frame: Envelope) -> None:
        self.has_served = True
        self.on_message(self)
        response = self.serve(self, frame.content)
        if inspect.iscoroutine(response):
            self.runtime.spawn(self._reply_later(response, frame), self.log)
        elif frame.kind == FrameKind.CALL and response is not None:
            self._send(
                FrameKind.REPLY, frame.sequence, typing.cast("message.Message", response)
            )  # not a coroutine here

    async def _reply_later(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, message.Message | None], frame: Envelope
    ) -> None:
        response = await coroutine
        if frame.kind == FrameKind.CALL and response is not None and self.up:
            self._send(FrameKind.REPLY, frame.sequence, response)

    def _note_memory(self) -> None:
        """Have the budget charge this connection for what it holds now, once that is more than little."""
        if self.is_charged or self.held_bytes() >= CHARGED_FROM_BYTES:
            self.is_charged = True
            if self.held_bytes() > self.memory.largest_bytes:
                self.release_memory()
            self.memory.update(self)

    def held_bytes(self) -> int:
        """Return the bytes that this connection holds: an incomplete frame, and frames that are not sent yet."""
        return 0 if self.is_aborted else self.frames.held_bytes + unsent.unsent_bytes(self.transport)

    def is_released_first(self) -> bool:
        """Return whether anyone may have opened this connection; see `memory_budget.Holder`."""
        return self.is_accepted and not self.has_served

    def release_memory(self) -> bool:
        """Abort the connection; see `memory_budget.Holder`."""
        if self.is_aborted:
            return False
        self.log.warning(
            "The connections to other processes hold too much memory; one that holds {held} bytes is aborted.",
            held=self.held_bytes(),
        )
        self._abort()
        return True

    def is_idle(self, duration_us: int) -> bool:
        """Return whether this side sent no message for duration_us and awaits no answer; keep-alives don't count."""
        return not self.pending and self.runtime.now() - self.last_used >= duration_us

    def close(self) -> None:
        """Abort the connection."""
        if self.up:
            self._abort()

    def _abort(self) -> None:
        self.is_aborted = True
        self.frames.clear()
        unsent.abort(self.transport)

    def connectionLost(
        self,
        reason: failure.Failure = protocol.connectionDone,  # noqa: ARG002 - Twisted's parameter name; the reason is not used
    ) -> None:
        """Fail the calls that await answers, and wake all tasks that wait for the connection."""
        self.up = False
        self.frames.clear()
        self.memory.remove(self)
        if self.keep_alive_timer.active():
            self.keep_alive_timer.cancel()
        pending, self.pending = self.pending, {}
        for answer in pending.values():
            if not answer.called:
                answer.errback(ConnectionBrokenError(sent=True))
        self.writable.wake()
        self.lost.wake()


class ConnectionFactory(protocol.Factory):
    """Makes a `Connection` for each TCP connection that this process accepts, up to a limit.

    Above it, the oldest connection on which no message has come gives way to a new one, or, if there is none, the one
    whose last message is the oldest. Handshakes and keep-alives are no messages here.

    Args:
        runtime: clock and reactor of this process.
        serve: handles the messages of the peers.
        log: takes the warnings and errors of the connections.
        memory: the budget for what all connections of this process hold.
        connection_limit: how many accepted connections may be open at a time.
    """

    noisy = False

    def __init__(
        self,
        runtime: scheduler.Runtime,
        serve: MessageHandler,
        log: loguru.Logger,
        *,
        memory: memory_budget.MemoryBudget | None = None,
        connection_limit: int = CONNECTION_LIMIT,
    ) -> None:
        self.runtime = runtime
        self.serve = serve
        self.log = log
        self.memory = memory or memory_budget.MemoryBudget()
        self.connection_limit = connection_limit
        self.silent_connections: dict[Connection, None] = {}  # without a message so far, oldest first
        self.used_connections: dict[Connection, None] = {}  # least recently used first

    def buildProtocol(self, addr: interfaces.IAddress | None) -> Connection:  # noqa: ARG002 - Twisted's name
        """Make a connection, for any address; the one that has been of least use gives way if too many are open."""
        while len(self.silent_connections) + len(self.used_connections) >= self.connection_limit:
            least_used = next(iter(self.silent_connections or self.used_connections))
            self._forget(least_used)
            least_used.close()
        connection = Connection(self.runtime, self.serve, self.log, memory=self.memory, is_accepted=True)
        self.silent_connections[connection] = None
        connection.on_message = self._note_use
        connection.lost.wait().addCallback(lambda _: self._forget(connection))
        return connection

    def _note_use(self, connection: Connection) -> None:
        if connection in self.silent_connections or connection in self.used_connections:
            self._forget(connection)
            self.used_connections[connection] = None

    def _forget(self, connection: Connection) -> None:
        self.silent_connections.pop(connection, None)
        self.used_connections.pop(connection, None)


async def connect(
    runtime: scheduler.Runtime,
    host: str,
    port: int,
    serve: MessageHandler,
    log: loguru.Logger,
    *,
    memory: memory_budget.MemoryBudget | None = None,
) -> Connection:
    """Open a connection to an address.

    Raises:
        ConnectionBrokenError: The connection was not established within CONNECT_TIMEOUT_US; `sent` is False.
    """
    factory = protocol.Factory.forProtocol(lambda: Connection(runtime, serve, log, memory=memory))
    factory.noisy = False
    endpoint = endpoints.TCP4ClientEndpoint(runtime.reactor, host, port, timeout=CONNECT_TIMEOUT_US / units.SECOND_US)
    try:
        # type ignored: Factory implements the zope interface, which mypy can't see
        connection: Connection = await endpoint.connect(factory)  # type: ignore[arg-type]
    except defer.CancelledError:
        raise
    except Exception as cause:  # any failure means that there is no connection
        raise ConnectionBrokenError(sent=False, refused=isinstance(cause, error.ConnectionRefusedError)) from cause
    return connection
