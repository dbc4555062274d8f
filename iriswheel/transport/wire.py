"""Links between iriswheel's own processes: framed msgspec messages over TCP.

A link carries tells (no answer) and calls (one answer each). Each link pings when
it is quiet, and breaks itself off when nothing has been heard for a while.
"""

from __future__ import annotations

import collections.abc
import inspect
import typing

import loguru
import msgspec
import twisted.internet.defer as defer
import twisted.internet.endpoints as endpoints
import twisted.internet.error as error
import twisted.internet.protocol as protocol
import twisted.protocols.basic as basic

import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import iriswheel.transport.message as message

if typing.TYPE_CHECKING:
    import twisted.internet.interfaces as interfaces
    import twisted.python.failure as failure

    import iriswheel.control.node_session as node_session


PING_US = 300 * units.MILLISECOND_US
TIMEOUT_US = 1_500 * units.MILLISECOND_US
CONNECT_US = 700 * units.MILLISECOND_US

TELL, CALL, REPLY = 0, 1, 2


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """What one wire frame holds."""

    kind: int
    seq: int
    msg: message.AnyMessage


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Envelope)


class ConnectionBrokenError(Exception):
    """The link broke off.

    `sent` says whether the call may have reached the far side, `refused` whether the far
    machine itself said that nobody listens there.
    """

    code = "link_broken"

    def __init__(self, sent: bool, refused: bool = False) -> None:
        super().__init__("The link broke off.")
        self.sent = sent
        self.refused = refused


class Connection(basic.Int32StringReceiver):
    """One connection, seen from one side."""

    MAX_LENGTH = 1 << 25

    def __init__(
        self, runtime: scheduler.Runtime, serve: collections.abc.Callable[..., object], log: loguru.Logger
    ) -> None:
        self.runtime = runtime
        self.serve = serve
        self.log = log
        self.seq = 0
        self.pending: dict[int, defer.Deferred[typing.Any]] = {}
        self.lost = scheduler.Signal()
        self.up = False
        self.last_received = self.last_sent = runtime.now()
        self.sent_bytes = 0
        self.full = False
        self.writable = scheduler.Signal()
        self.version = 0  # of the far side, once it said
        self.refused = False  # whether it speaks a version that this process does not
        # the node's session, where a core machine serves one on this connection
        self.node_session: node_session.NodeSession | None = None

    def connectionMade(self) -> None:
        self.up = True
        self.last_received = self.last_sent = self.runtime.now()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.heartbeat_timer = self.runtime.later(PING_US, self._ping)
        self._send(TELL, 0, message.VersionHandshake(self.runtime.protocol_version))

    def pauseProducing(self) -> None:
        self.full = True

    def resumeProducing(self) -> None:
        self.full = False
        self.writable.wake()

    def stopProducing(self) -> None:
        self.full = False

    def _ping(self) -> None:
        now = self.runtime.now()
        if now - self.last_received > TIMEOUT_US:
            self.transport.abortConnection()
            return
        if now - self.last_sent >= PING_US and not self.full:
            self._send(TELL, 0, message.KeepAlive())
        self.heartbeat_timer = self.runtime.later(PING_US, self._ping)

    def _send(self, kind: int, seq: int, msg: message.Message) -> None:
        raw = encoder.encode(Envelope(kind, seq, msg))
        self.last_sent = self.runtime.now()
        self.sent_bytes += len(raw) + 4
        self.sendString(raw)

    def tell(self, msg: message.Message) -> None:
        """Send a message that wants no answer. A broken link swallows it."""
        if self.up:
            self._send(TELL, 0, msg)

    def call(self, msg: message.Message, us: int) -> defer.Deferred[typing.Any]:
        """Send a message and wait up to us for its answer."""
        if not self.up:
            return defer.fail(ConnectionBrokenError(sent=False))
        self.seq += 1
        seq = self.seq
        d = defer.Deferred(lambda _: self.pending.pop(seq, None))
        self.pending[seq] = d
        self._send(CALL, seq, msg)
        return self.runtime.within(d, us)

    def stringReceived(self, raw: bytes) -> None:
        self.last_received = self.runtime.now()
        try:
            parcel = decoder.decode(raw)
        except msgspec.MsgspecError as e:
            if self.version > self.runtime.protocol_version:
                return  # a newer peer may say what is not known here; a call of it ends by its own time
            self.log.warning("A message can't be read: {}", e)
            self.transport.abortConnection()
            return
        match parcel:
            case Envelope(kind=0, msg=message.KeepAlive()):
                pass
            case Envelope(kind=0, msg=message.VersionHandshake(version=version)):
                self.version = version
                if abs(version - self.runtime.protocol_version) > 1:
                    self.log.error(
                        "A peer speaks version {} of our messages, this process {}: refused.",
                        version,
                        self.runtime.protocol_version,
                    )
                    self.refused = True
                    self.transport.abortConnection()
            case _ if self.refused:
                pass  # what came right behind
            case Envelope(kind=2, seq=seq, msg=msg):
                d = self.pending.pop(seq, None)
                if d is not None and not d.called:
                    d.callback(msg)
            case Envelope(kind=kind, seq=seq, msg=msg):
                response = self.serve(self, msg)
                if inspect.iscoroutine(response):
                    self.runtime.spawn(self._answer(response, kind, seq), self.log)
                elif kind == CALL and response is not None:
                    self._send(REPLY, seq, response)

    async def _answer(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any], kind: int, seq: int
    ) -> None:
        response = await coroutine
        if kind == CALL and response is not None and self.up:
            self._send(REPLY, seq, response)

    def lengthLimitExceeded(self, length: int) -> None:
        self.log.warning("A message of {} bytes is too long.", length)
        self.transport.abortConnection()

    def close(self) -> None:
        """Break the link off at once."""
        if self.up:
            self.transport.abortConnection()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        self.up = False
        if self.heartbeat_timer.active():
            self.heartbeat_timer.cancel()
        pending, self.pending = self.pending, {}
        for d in pending.values():
            if not d.called:
                d.errback(ConnectionBrokenError(sent=True))
        self.writable.wake()
        self.lost.wake()


class Listener(protocol.Factory):
    """Takes links from peers on one port."""

    noisy = False

    def __init__(
        self, runtime: scheduler.Runtime, serve: collections.abc.Callable[..., object], log: loguru.Logger
    ) -> None:
        self.runtime = runtime
        self.serve = serve
        self.log = log

    def buildProtocol(self, address: interfaces.IAddress | None) -> Connection:
        return Connection(self.runtime, self.serve, self.log)


async def connect(
    runtime: scheduler.Runtime, host: str, port: int, serve: collections.abc.Callable[..., object], log: loguru.Logger
) -> Connection:
    """Open a link to an address; raises Broken(sent=False) where nobody answers."""
    factory = Listener(runtime, serve, log)
    point = endpoints.TCP4ClientEndpoint(runtime.reactor, host, port, timeout=CONNECT_US / units.SECOND_US)
    try:
        return await point.connect(factory)
    except defer.CancelledError:
        raise
    except Exception as e:
        raise ConnectionBrokenError(sent=False, refused=isinstance(e, error.ConnectionRefusedError)) from e


class Peers:
    """Links to peers by address, opened when first needed and kept.

    >>> Peers(None, None, None).connections
    {}
    """

    def __init__(
        self,
        runtime: scheduler.Runtime | None,
        serve: collections.abc.Callable[..., object] | None,
        log: loguru.Logger | None,
    ) -> None:
        self.runtime = runtime
        self.serve = serve
        self.log = log or loguru.logger
        self.connections: dict[tuple[str, int], Connection] = {}
        self.opening: dict[tuple[str, int], scheduler.Signal] = {}

    async def connection_to(self, host: str, port: int) -> Connection:
        """The link to an address, opened if need be."""
        key = (host, port)
        connection = self.connections.get(key)
        if connection is not None and connection.up:
            return connection
        if key in self.opening:
            signal = self.opening[key]
            await signal.wait()
            connection = self.connections.get(key)
            if connection is None or not connection.up:
                raise ConnectionBrokenError(sent=False)
            return connection
        signal = self.opening[key] = scheduler.Signal()
        try:
            connection = self.connections[key] = await connect(self.runtime, host, port, self.serve, self.log)
        finally:
            del self.opening[key]
            signal.wake()
        return connection

    async def call(self, host: str, port: int, msg: message.Message, us: int) -> message.Message:
        """Call a peer by address."""
        connection = await self.connection_to(host, port)
        return await connection.call(msg, us)

    async def tell(self, host: str, port: int, msg: message.Message) -> None:
        """Tell a peer something; nobody home is no error."""
        try:
            connection = await self.connection_to(host, port)
        except ConnectionBrokenError:
            return
        connection.tell(msg)

    def keep(self, addresses: set[tuple[str, int]]) -> None:
        """Close the links to all but these addresses.

        >>> Peers(None, None, None).keep(set())
        """
        for key in [k for k in self.connections if k not in addresses]:
            self.connections.pop(key).close()
