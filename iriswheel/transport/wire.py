"""Connections between iriswheel's own processes: framed msgpack messages over TCP.

A connection carries messages that want no answer and calls with one answer each. It sends
keep-alives when it is quiet, and breaks itself off when nothing has been heard for a while.
"""

from __future__ import annotations

import collections.abc
import inspect
import typing

import msgspec
from twisted.internet import defer, endpoints, error, protocol
from twisted.protocols import basic

from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    import loguru
    from twisted.internet import interfaces
    from twisted.python import failure

    from iriswheel.control import node_session


KEEP_ALIVE_INTERVAL_US = 300 * units.MILLISECOND_US
SILENCE_TIMEOUT_US = 1_500 * units.MILLISECOND_US
CONNECT_TIMEOUT_US = 700 * units.MILLISECOND_US
MAX_FRAME_BYTES = 1 << 25
LENGTH_BYTES = 4  # of the length before each frame

# Answers a message from the other side: at once, by a coroutine, or not at all.
Response: typing.TypeAlias = "collections.abc.Coroutine[typing.Any, typing.Any, typing.Any] | message.Message | None"
MessageHandler: typing.TypeAlias = "collections.abc.Callable[[Connection, typing.Any], Response]"


class FrameKind:
    """What a frame is; a frame of a kind that is not known is taken as TELL.

    Plain integers, since encoding the member of an enumeration takes a message 0.3 µs longer.
    """

    TELL = 0  # wants no answer
    CALL = 1  # wants one REPLY with its sequence number
    REPLY = 2


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """What one frame holds; `sequence` joins a reply to its call and is 0 where there is none."""

    kind: int
    sequence: int
    content: message.AnyMessage


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Envelope)


class ConnectionBrokenError(Exception):
    """The connection broke off, or could not be opened.

    Args:
        sent: whether the call may have reached the other side.
        refused: whether the other machine itself said that nobody listens there.
    """

    code = "link_broken"

    def __init__(self, sent: bool, refused: bool = False) -> None:
        super().__init__("The link broke off.")
        self.sent = sent
        self.refused = refused


class Connection(basic.Int32StringReceiver):
    """One connection, seen from one side.

    Args:
        runtime: clock and reactor of this process.
        serve: answers the messages of the other side.
        log: for what goes wrong on the connection.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    transport: typing.Any  # Any: Twisted describes transports by zope interfaces, which mypy can't check

    def __init__(self, runtime: scheduler.Runtime, serve: MessageHandler, log: loguru.Logger) -> None:
        self.runtime = runtime
        self.serve = serve
        self.log = log
        self.sequence = 0  # of the newest call
        self.pending: dict[int, defer.Deferred[typing.Any]] = {}  # sequence -> the answer to come
        self.lost = scheduler.Signal()
        self.up = False
        self.last_received = self.last_sent = self.last_used = runtime.now()
        self.sent_bytes = 0
        self.buffer_full = False  # whether the transport's buffer is full
        self.writable = scheduler.Signal()
        self.version = 0  # of the other side's protocol, once it said
        self.version_refused = False  # whether that is a version that this process does not speak
        self.node_session: node_session.NodeSession | None = None  # where a core serves a node on it

    def connectionMade(self) -> None:
        """Begin with the handshake, and keep the connection alive from now on."""
        self.up = True
        self.last_received = self.last_sent = self.runtime.now()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.heartbeat_timer = self.runtime.later(KEEP_ALIVE_INTERVAL_US, self._check_alive)
        self._send(FrameKind.TELL, 0, message.VersionHandshake(self.runtime.protocol_version))

    def pauseProducing(self) -> None:
        """Note that the transport's buffer is full."""
        self.buffer_full = True

    def resumeProducing(self) -> None:
        """Note that the transport's buffer has room again."""
        self.buffer_full = False
        self.writable.wake()

    def stopProducing(self) -> None:
        """Note that nothing waits for room any more, as the connection ends."""
        self.buffer_full = False

    def _check_alive(self) -> None:
        now = self.runtime.now()
        if now - self.last_received > SILENCE_TIMEOUT_US:
            self.transport.abortConnection()
            return
        if now - self.last_sent >= KEEP_ALIVE_INTERVAL_US and not self.buffer_full:
            self._send(FrameKind.TELL, 0, message.KeepAlive())
        self.heartbeat_timer = self.runtime.later(KEEP_ALIVE_INTERVAL_US, self._check_alive)

    def _send(self, kind: int, sequence: int, content: message.Message) -> None:
        # the type of `content` in an envelope matters only where one is decoded
        raw = encoder.encode(Envelope(kind, sequence, content))  # type: ignore[arg-type]
        self.last_sent = self.runtime.now()
        self.sent_bytes += len(raw) + LENGTH_BYTES
        self.sendString(raw)

    def tell(self, content: message.Message) -> None:
        """Send a message that wants no answer; it is dropped where the connection is broken."""
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

    def stringReceived(self, string: bytes) -> None:
        """Take one frame; a frame that can't be read ends the connection, save for those of a newer protocol."""
        self.last_received = self.runtime.now()
        try:
            frame = decoder.decode(string)
        except msgspec.MsgspecError as decode_error:
            if self.version > self.runtime.protocol_version:
                return  # a newer peer may say what is not known here; a call of it ends by its own time
            self.log.warning("A peer's message can't be decoded; the connection ends: {error}", error=decode_error)
            self.transport.abortConnection()
            return
        match frame:
            case Envelope(kind=FrameKind.TELL, content=message.KeepAlive()):
                pass
            case Envelope(kind=FrameKind.TELL, content=message.VersionHandshake(version=version)):
                self._take_version(version)
            case _ if self.version_refused:
                pass  # what came right behind the handshake
            case Envelope(kind=FrameKind.REPLY, sequence=sequence, content=content):
                answer = self.pending.pop(sequence, None)
                if answer is not None and not answer.called:
                    answer.callback(content)
            case _:
                self._serve(frame)

    def _take_version(self, version: int) -> None:
        self.version = version
        if abs(version - self.runtime.protocol_version) > 1:
            self.log.error(
                "A peer speaks protocol version {peer_version}, this process {version}; the connection ends.",
                peer_version=version,
                version=self.runtime.protocol_version,
            )
            self.version_refused = True
            self.transport.abortConnection()

    def _serve(self, frame: Envelope) -> None:
        response = self.serve(self, frame.content)
        if inspect.iscoroutine(response):
            self.runtime.spawn(self._reply_later(response, frame), self.log)
        elif frame.kind == FrameKind.CALL and response is not None:
            self._send(FrameKind.REPLY, frame.sequence, typing.cast("message.Message", response))  # no coroutine

    async def _reply_later(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, message.Message | None], frame: Envelope
    ) -> None:
        response = await coroutine
        if frame.kind == FrameKind.CALL and response is not None and self.up:
            self._send(FrameKind.REPLY, frame.sequence, response)

    def lengthLimitExceeded(self, length: int) -> None:
        """End a connection on which a frame above the bound is announced."""
        self.log.warning("A peer's message of {length} bytes is too long; the connection ends.", length=length)
        self.transport.abortConnection()

    def is_idle(self, duration_us: int) -> bool:
        """Whether this side sent no message, and waited for no answer, for so long (µs); keep-alives don't count."""
        return not self.pending and self.runtime.now() - self.last_used >= duration_us

    def close(self) -> None:
        """Break the connection off at once."""
        if self.up:
            self.transport.abortConnection()

    def connectionLost(
        self,
        reason: failure.Failure = protocol.connectionDone,  # noqa: ARG002 - Twisted's name; no reason matters here
    ) -> None:
        """Fail the calls that wait for answers, and wake all that wait on the connection."""
        self.up = False
        if self.heartbeat_timer.active():
            self.heartbeat_timer.cancel()
        pending, self.pending = self.pending, {}
        for answer in pending.values():
            if not answer.called:
                answer.errback(ConnectionBrokenError(sent=True))
        self.writable.wake()
        self.lost.wake()


class ConnectionFactory(protocol.Factory):
    """Makes a `Connection` of every TCP connection, on either side."""

    noisy = False

    def __init__(self, runtime: scheduler.Runtime, serve: MessageHandler, log: loguru.Logger) -> None:
        self.runtime = runtime
        self.serve = serve
        self.log = log

    def buildProtocol(self, addr: interfaces.IAddress | None) -> Connection:  # noqa: ARG002 - Twisted's name
        """Make a connection, whatever the address."""
        return Connection(self.runtime, self.serve, self.log)


async def connect(
    runtime: scheduler.Runtime, host: str, port: int, serve: MessageHandler, log: loguru.Logger
) -> Connection:
    """Open a connection to an address.

    Raises:
        ConnectionBrokenError: with sent=False, where nobody answers within CONNECT_TIMEOUT_US.
    """
    factory = ConnectionFactory(runtime, serve, log)
    endpoint = endpoints.TCP4ClientEndpoint(runtime.reactor, host, port, timeout=CONNECT_TIMEOUT_US / units.SECOND_US)
    try:
        # ignored: Factory implements the zope interface, which mypy can't see
        connection: Connection = await endpoint.connect(factory)  # type: ignore[arg-type]
    except defer.CancelledError:
        raise
    except Exception as cause:  # whatever it is, there is no connection
        raise ConnectionBrokenError(sent=False, refused=isinstance(cause, error.ConnectionRefusedError)) from cause
    return connection
