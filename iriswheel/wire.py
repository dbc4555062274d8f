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

import iriswheel.machine as machine
import iriswheel.message as message

if typing.TYPE_CHECKING:
    import twisted.internet.interfaces as interfaces
    import twisted.python.failure as failure

    import iriswheel.core as core


PING_US = 300 * machine.MILLI
SILENCE_US = 1_500 * machine.MILLI
CONNECT_US = 700 * machine.MILLI

TELL, CALL, REPLY = 0, 1, 2


class Parcel(msgspec.Struct, array_like=True, frozen=True):
    """What one wire frame holds."""

    kind: int
    seq: int
    msg: message.Any


encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Parcel)


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
    """One connection, seen from one side.

    Example: `link = Connection(mach, serve, log)`, where serve(link, msg) gives the answer
    or a coroutine that gives it, or None.
    """

    MAX_LENGTH = 1 << 25

    def __init__(self, mach: machine.Machine, serve: collections.abc.Callable[..., object], log: loguru.Logger) -> None:
        self.mach = mach
        self.serve = serve
        self.log = log
        self.seq = 0
        self.pending: dict[int, defer.Deferred[typing.Any]] = {}
        self.lost = machine.Signal()
        self.up = False
        self.heard = self.said = mach.now()
        self.sent_bytes = 0
        self.full = False
        self.room = machine.Signal()
        self.version = 0  # of the far side, once it said
        self.refused = False  # whether it speaks a version that this process does not
        self.post: core.NodeSession | None = None  # the node's session, where a core serves one on this link

    def connectionMade(self) -> None:
        self.up = True
        self.heard = self.said = self.mach.now()
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self.beat = self.mach.later(PING_US, self._ping)
        self._send(TELL, 0, message.Hello(self.mach.version))

    def pauseProducing(self) -> None:
        self.full = True

    def resumeProducing(self) -> None:
        self.full = False
        self.room.wake()

    def stopProducing(self) -> None:
        self.full = False

    def _ping(self) -> None:
        now = self.mach.now()
        if now - self.heard > SILENCE_US:
            self.transport.abortConnection()
            return
        if now - self.said >= PING_US and not self.full:
            self._send(TELL, 0, message.Ping())
        self.beat = self.mach.later(PING_US, self._ping)

    def _send(self, kind: int, seq: int, msg: message.Message) -> None:
        raw = encoder.encode(Parcel(kind, seq, msg))
        self.said = self.mach.now()
        self.sent_bytes += len(raw) + 4
        self.sendString(raw)

    def tell(self, msg: message.Message) -> None:
        """Send a message that wants no answer. A broken link swallows it.

        Example: `link.tell(message.Ping())`
        """
        if self.up:
            self._send(TELL, 0, msg)

    def call(self, msg: message.Message, us: int) -> defer.Deferred[typing.Any]:
        """Send a message and wait up to us for its answer.

        Example: `seen = await link.call(message.Look(view=3), 500 * machine.MILLI)`
        """
        if not self.up:
            return defer.fail(ConnectionBrokenError(sent=False))
        self.seq += 1
        seq = self.seq
        d = defer.Deferred(lambda _: self.pending.pop(seq, None))
        self.pending[seq] = d
        self._send(CALL, seq, msg)
        return self.mach.within(d, us)

    def stringReceived(self, raw: bytes) -> None:
        self.heard = self.mach.now()
        try:
            parcel = decoder.decode(raw)
        except msgspec.MsgspecError as e:
            if self.version > self.mach.version:
                return  # a newer peer may say what is not known here; a call of it ends by its own time
            self.log.warning("A message can't be read: {}", e)
            self.transport.abortConnection()
            return
        match parcel:
            case Parcel(kind=0, msg=message.Ping()):
                pass
            case Parcel(kind=0, msg=message.Hello(version=version)):
                self.version = version
                if abs(version - self.mach.version) > 1:
                    self.log.error(
                        "A neighbour speaks version {} of our messages, this process {}: refused.",
                        version,
                        self.mach.version,
                    )
                    self.refused = True
                    self.transport.abortConnection()
            case _ if self.refused:
                pass  # what came right behind
            case Parcel(kind=2, seq=seq, msg=msg):
                d = self.pending.pop(seq, None)
                if d is not None and not d.called:
                    d.callback(msg)
            case Parcel(kind=kind, seq=seq, msg=msg):
                res = self.serve(self, msg)
                if inspect.iscoroutine(res):
                    self.mach.spawn(self._answer(res, kind, seq), self.log)
                elif kind == CALL and res is not None:
                    self._send(REPLY, seq, res)

    async def _answer(
        self, coro: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any], kind: int, seq: int
    ) -> None:
        res = await coro
        if kind == CALL and res is not None and self.up:
            self._send(REPLY, seq, res)

    def lengthLimitExceeded(self, length: int) -> None:
        self.log.warning("A message of {} bytes is too long.", length)
        self.transport.abortConnection()

    def close(self) -> None:
        """Break the link off at once.

        Example: `link.close()`
        """
        if self.up:
            self.transport.abortConnection()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        self.up = False
        if self.beat.active():
            self.beat.cancel()
        pending, self.pending = self.pending, {}
        for d in pending.values():
            if not d.called:
                d.errback(ConnectionBrokenError(sent=True))
        self.room.wake()
        self.lost.wake()


class Listener(protocol.Factory):
    """Takes links from peers on one port.

    Example: `reactor.listenTCP(7001, Listener(mach, serve, log))`
    """

    noisy = False

    def __init__(self, mach: machine.Machine, serve: collections.abc.Callable[..., object], log: loguru.Logger) -> None:
        self.mach = mach
        self.serve = serve
        self.log = log

    def buildProtocol(self, addr: interfaces.IAddress | None) -> Connection:
        return Connection(self.mach, self.serve, self.log)


async def connect(
    mach: machine.Machine, host: str, port: int, serve: collections.abc.Callable[..., object], log: loguru.Logger
) -> Connection:
    """Open a link to an address; raises Broken(sent=False) where nobody answers.

    Example: `link = await connect(mach, "127.0.0.1", 7001, serve, log)`
    """
    factory = Listener(mach, serve, log)
    point = endpoints.TCP4ClientEndpoint(mach.reactor, host, port, timeout=CONNECT_US / machine.SECOND)
    try:
        return await point.connect(factory)
    except defer.CancelledError:
        raise
    except Exception as e:
        raise ConnectionBrokenError(sent=False, refused=isinstance(e, error.ConnectionRefusedError)) from e


class Peers:
    """Links to peers by address, opened when first needed and kept.

    >>> Peers(None, None, None).links
    {}
    """

    def __init__(
        self,
        mach: machine.Machine | None,
        serve: collections.abc.Callable[..., object] | None,
        log: loguru.Logger | None,
    ) -> None:
        self.mach = mach
        self.serve = serve
        self.log = log or loguru.logger
        self.links: dict[tuple[str, int], Connection] = {}
        self.opening: dict[tuple[str, int], machine.Signal] = {}

    async def reach(self, host: str, port: int) -> Connection:
        """The link to an address, opened if need be.

        Example: `link = await peers.reach("127.0.0.1", 7001)`
        """
        key = (host, port)
        link = self.links.get(key)
        if link is not None and link.up:
            return link
        if key in self.opening:
            sig = self.opening[key]
            await sig.wait()
            link = self.links.get(key)
            if link is None or not link.up:
                raise ConnectionBrokenError(sent=False)
            return link
        sig = self.opening[key] = machine.Signal()
        try:
            link = self.links[key] = await connect(self.mach, host, port, self.serve, self.log)
        finally:
            del self.opening[key]
            sig.wake()
        return link

    async def call(self, host: str, port: int, msg: message.Message, us: int) -> message.Message:
        """Call a peer by address.

        Example: `res = await peers.call("127.0.0.1", 7001, msg, us)`
        """
        link = await self.reach(host, port)
        return await link.call(msg, us)

    async def tell(self, host: str, port: int, msg: message.Message) -> None:
        """Tell a peer something; nobody home is no error.

        Example: `await peers.tell("127.0.0.1", 7001, msg)`
        """
        try:
            link = await self.reach(host, port)
        except ConnectionBrokenError:
            return
        link.tell(msg)

    def keep(self, addresses: set[tuple[str, int]]) -> None:
        """Close the links to all but these addresses.

        >>> Peers(None, None, None).keep(set())
        """
        for key in [k for k in self.links if k not in addresses]:
            self.links.pop(key).close()
