"""Simulated TCP connections between processes: opening, ordered delivery, flow control and resets."""

from __future__ import annotations

import collections
import collections.abc
import functools
import types
import typing

from twisted.internet import address, error, interfaces
from twisted.python import failure
from zope import interface

from simulation import world

if typing.TYPE_CHECKING:
    from twisted.internet import protocol

    from simulation import process_model

WINDOW_BYTES = 65_536  # unread bytes above which a producer is paused
DEFAULT_TIMEOUT_SECONDS = 30  # time limit for opening a connection
NETWORK = types.SimpleNamespace(name="wire")  # account for the processor time of the simulated network itself


class Producer(typing.Protocol):
    """The methods that a transport calls on a Twisted push or pull producer."""

    def pauseProducing(self) -> None:
        """Stop writing until resumed."""

    def resumeProducing(self) -> None:
        """Resume writing; a pull producer writes once."""

    def stopProducing(self) -> None:
        """Stop writing for good: the connection is lost."""


class ListeningFactory(typing.Protocol):
    """The methods that a listening port calls on a Twisted factory."""

    def doStart(self) -> None:
        """Prepare the factory for its first use."""

    def buildProtocol(
        self,
        address: typing.Any,  # noqa: ANN401 - Twisted's type is a zope interface, which mypy can't check
        /,
    ) -> protocol.Protocol | None:
        """The protocol for a new connection, or None to refuse the connection."""


class ConnectingFactory(ListeningFactory, typing.Protocol):
    """The methods that a connector calls on a Twisted client factory."""

    def startedConnecting(
        self,
        connector: typing.Any,  # noqa: ANN401 - Twisted's type is a zope interface, which mypy can't check
        /,
    ) -> None:
        """Called when the connection is being opened."""

    def clientConnectionFailed(
        self,
        connector: typing.Any,  # noqa: ANN401 - Twisted's type is a zope interface, which mypy can't check
        reason: failure.Failure,
        /,
    ) -> None:
        """Called when the connection could not be opened."""


class Segment(typing.NamedTuple):
    """A numbered part of a byte stream; data of None marks the end of the stream."""

    number: int
    data: bytes | None


class Connector:
    """An attempt to open a connection, as returned by a reactor's `connectTCP`."""

    def __init__(
        self,
        process: process_model.SimulatedProcess,
        host: str,
        port: int,
        factory: ConnectingFactory,
        timeout: float,
    ) -> None:
        self.process, self.host, self.port, self.factory = process, host, port, factory
        self.world = process.world
        self.done = False
        factory.doStart()
        factory.startedConnecting(self)
        self.timeout = process.reactor.callLater(timeout or DEFAULT_TIMEOUT_SECONDS, self.fail, error.TimeoutError())
        self.send_syn()

    def send_syn(self) -> None:
        """Send the opening packet; send it again after a delay while the network is cut or the host does not exist."""
        if self.done or not self.process.alive:
            return
        here = self.process.host.address
        if self.world.refused_zone_links and self.world.is_refused(here, self.host):
            refused_at = self.world.time + world.NEAR_US
            self.world.push(refused_at, lambda: self.process.call(lambda: self.fail(error.ConnectionRefusedError())))
            return
        if not self.world.is_open(here, self.host) or self.host not in self.world.machines:
            self.world.push(self.world.time + world.RESEND_US, self.send_syn)
            return
        self.world.push(self.world.time + self.world.delay(here, self.host), self.receive_syn)

    def receive_syn(self) -> None:
        """Let the far host accept or refuse the opening packet that arrived, and send its answer back."""
        if self.done or not self.process.alive:
            return
        here = self.process.host.address
        far = self._listener()
        if not self.world.is_open(self.host, here):
            self.world.push(self.world.time + world.RESEND_US, self.send_syn)
            return
        answer_at = self.world.time + self.world.delay(self.host, here)
        if far is None:
            self.world.push(answer_at, lambda: self.process.call(lambda: self.fail(error.ConnectionRefusedError())))
        else:
            self.world.push(answer_at, lambda: self.process.call(lambda: self.succeed(far)))

    def _listener(self) -> process_model.SimulatedProcess | None:
        for process in self.world.processes.values():
            if process.alive and process.host.address == self.host and self.port in process.ports:
                return process
        return None

    def succeed(self, far: process_model.SimulatedProcess) -> None:
        """Connect the protocols of both sides."""
        if self.done:
            return
        self.done = True
        if self.timeout.active():
            self.timeout.cancel()
        own_protocol = self.factory.buildProtocol(address.IPv4Address("TCP", self.host, self.port))
        connection = SimulatedConnection(self.world, self.process, far, self.port)
        if own_protocol is None:
            connection.sides[0].abortConnection()
            return
        connection.sides[0].attach(own_protocol)
        if far.alive:
            far.call(lambda: self._accept(far, connection.sides[1]))
        else:
            connection.sides[1].reset()

    def _accept(self, far: process_model.SimulatedProcess, side: ConnectionSide) -> None:
        if self.port not in far.ports:
            side.reset()
            return
        far_protocol = far.ports[self.port].buildProtocol(address.IPv4Address("TCP", self.process.host.address, 1))
        if far_protocol is None:
            side.abortConnection()
        else:
            side.attach(far_protocol)

    def fail(self, reason: Exception) -> None:
        """Report to the factory that the connection could not be opened."""
        if self.done:
            return
        self.done = True
        if self.timeout.active():
            self.timeout.cancel()
        self.factory.clientConnectionFailed(self, failure.Failure(reason))

    def getDestination(self) -> address.IPv4Address:
        """The address that the connection is opened to."""
        return address.IPv4Address("TCP", self.host, self.port)

    def stopConnecting(self) -> None:
        """Cancel the attempt."""
        self.fail(error.UserError())

    disconnect = stopConnecting


class SimulatedConnection:
    """A simulated TCP connection between two processes."""

    def __init__(
        self,
        simulated_world: world.World,
        near: process_model.SimulatedProcess,
        far: process_model.SimulatedProcess,
        port: int,
    ) -> None:
        self.world = simulated_world
        self.id = simulated_world.next_connection
        simulated_world.next_connection += 1
        near_side, far_side = ConnectionSide(self, near, port), ConnectionSide(self, far, port)
        near_side.peer, far_side.peer = far_side, near_side
        self.sides = (near_side, far_side)
        simulated_world.connections[self.id] = self

    def forget(self) -> None:
        """Remove the connection from the world if both sides have closed it."""
        if all(side.state == "closed" for side in self.sides):
            self.world.connections.pop(self.id, None)


@interface.implementer(interfaces.ITCPTransport, interfaces.IPushProducer, interfaces.IConsumer)
class ConnectionSide:
    """The transport of one side of a connection.

    Data arrives in order. It is held back while the network is cut. A kill of the process resets the connection.
    `own_protocol` is the protocol of this side, and `peer` the transport of the other side.
    """

    disconnecting = False

    def __init__(self, connection: SimulatedConnection, process: process_model.SimulatedProcess, port: int) -> None:
        self.connection, self.process, self.port = connection, process, port
        self.world = connection.world
        self.peer: ConnectionSide
        self.own_protocol: protocol.Protocol | None = None
        self.state: typing.Literal["open", "closed"] = "open"
        self.aborted = False  # whether this side was closed with an error, so that its unsent data is dropped
        self.outgoing: list[Segment] = []  # segments written but not yet sent
        self.last_number = 0  # number of the last segment that was queued for sending
        self.out_of_order: dict[int, bytes | None] = {}  # segment number -> data that arrived before an earlier segment
        self.expected_number = 1  # number of the next segment to put into the inbox
        self.bytes_in_flight = 0  # written here and not yet read by the peer
        self.last_arrival_at = 0  # when the last segment sent arrives at the peer; later ones arrive no earlier
        self.inbox: collections.deque[bytes | None] = collections.deque()  # data not yet delivered; None for the end
        self.paused = False  # whether the protocol has paused the delivery of data to it
        self.producer: Producer | None = None
        self.streaming = False  # whether the producer is a push producer
        self.producer_paused = False

    # ---- transport ------------------------------------------------------------

    def attach(self, own_protocol: protocol.Protocol) -> None:
        """Connect the protocol of this side, and deliver what has already arrived."""
        if self.state == "closed":
            return
        self.own_protocol = own_protocol
        own_protocol.makeConnection(self)
        self.deliver()

    def getPeer(self) -> address.IPv4Address:
        """The address of the other side."""
        return address.IPv4Address("TCP", self.peer.process.host.address, self.port)

    def getHost(self) -> address.IPv4Address:
        """The address of this side."""
        return address.IPv4Address("TCP", self.process.host.address, self.port)

    def setTcpNoDelay(self, on: bool) -> None:
        """Do nothing: segments are always sent at once."""

    def getTcpNoDelay(self) -> bool:
        """Whether small segments are sent at once."""
        return True

    def setTcpKeepAlive(self, on: bool) -> None:
        """Do nothing: there are no keep-alive probes."""

    def getTcpKeepAlive(self) -> bool:
        """Whether the kernel probes an idle connection."""
        return False

    def write(self, data: bytes) -> None:
        """Send bytes, unless this side is closed or closing."""
        if self.state != "open" or self.disconnecting or not data:
            return
        if self.world.meter is not None:
            self.world.meter.count(self.process.name, self.peer.process.name, len(data))
        self.world.call_metered(NETWORK, self.put, data)

    def put(self, data: bytes) -> None:
        """Enqueue and send bytes; pause the producer if more unread bytes are in flight than the window allows."""
        self.enqueue(bytes(data))
        self.bytes_in_flight += len(data)
        if self.world.sends_writes_after_turn:
            self.world.push(self.world.time, self.send_held)
        else:
            self.flush()
        if (
            self.bytes_in_flight > WINDOW_BYTES
            and self.producer is not None
            and self.streaming
            and not self.producer_paused
        ):
            self.producer_paused = True
            self.producer.pauseProducing()

    def writeSequence(self, pieces: collections.abc.Sequence[bytes]) -> None:
        """Send several pieces as one."""
        self.write(b"".join(pieces))

    def loseConnection(self, _: None = None) -> None:
        """Close the connection once all written data is sent and no producer is registered."""
        if self.state == "open" and not self.disconnecting:
            self.disconnecting = True
            if self.producer is None:
                self.enqueue(None)
                self.flush()

    def loseWriteConnection(self) -> None:
        """Close the connection: half-closed connections are not modelled."""
        self.loseConnection()

    def abortConnection(self) -> None:
        """Close the connection at once; the peer sees a reset."""
        if self.state == "open":
            self.disconnecting = True
            self.world.push(self.world.time, lambda: self.reset(error.ConnectionAborted()))

    def registerProducer(self, producer: Producer, streaming: bool) -> None:
        """Register a producer; it is paused while too many of its bytes are unread."""
        if self.state != "open":
            producer.stopProducing()
            return
        self.producer, self.streaming, self.producer_paused = producer, streaming, False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        """Remove the producer, which has written all its data, and close the connection if that was requested."""
        self.producer = None
        if self.disconnecting and self.state == "open":
            self.enqueue(None)
            self.flush()

    def pauseProducing(self) -> None:
        """Stop delivering data to the protocol until resumed."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Deliver data to the protocol again, from the next event of the process on."""
        self.paused = False
        self.world.push(self.world.time, lambda: self.process.call(self.deliver))

    def stopProducing(self) -> None:
        """Close the connection: the consumer of its data needs no more."""
        self.loseConnection()

    # ---- the network ------------------------------------------------------------

    def enqueue(self, data: bytes | None) -> None:
        """Number data, or None for the end of the stream, and queue it for sending."""
        self.last_number += 1
        self.outgoing.append(Segment(self.last_number, data))

    def send_held(self) -> None:
        """Send what the process wrote in its last event, unless the process has ended since."""
        if self.process.alive:
            self.flush()

    def flush(self) -> None:
        """Send all queued segments, unless the network is cut."""
        here, there = self.process.host.address, self.peer.process.host.address
        if not self.outgoing or not self.world.is_open(here, there):
            return
        outgoing, self.outgoing = self.outgoing, []
        for segment in outgoing:
            self.last_arrival_at = max(self.last_arrival_at, self.world.time + self.world.delay(here, there))
            self.world.push(self.last_arrival_at, functools.partial(self.peer.receive, segment))

    def receive(self, segment: Segment) -> None:
        """Receive a segment, and deliver all segments that are now in order.

        While the network is cut, the segment returns to the sender's queue. A closed side answers with a reset.
        """
        if self.state == "closed":
            if segment.data is not None and self.peer.state == "open":
                self.send_reset()
            return
        if not self.process.host.power:
            return
        if not self.world.is_open(self.peer.process.host.address, self.process.host.address):
            if self.peer.aborted:
                return  # the sender was reset and sends nothing again
            self.peer.outgoing = sorted([*self.peer.outgoing, segment], key=lambda waiting: waiting.number)
            return
        self.out_of_order[segment.number] = segment.data
        while self.expected_number in self.out_of_order:
            self.inbox.append(self.out_of_order.pop(self.expected_number))
            self.expected_number += 1
        self.process.call(self.deliver)

    def deliver(self) -> None:
        """Deliver what arrived to the protocol, unless the protocol has paused this transport."""
        while self.inbox and self.own_protocol is not None and self.state == "open" and not self.paused:
            data = self.inbox.popleft()
            if data is None:
                self.close(error.ConnectionDone())
                return
            self.peer.acknowledge(len(data))
            self.own_protocol.dataReceived(data)

    def acknowledge(self, size: int) -> None:
        """Note that the peer has read a number of bytes, and resume a paused producer if few bytes are left unread."""
        self.bytes_in_flight -= size
        if self.bytes_in_flight < WINDOW_BYTES // 4 and self.producer_paused and self.producer is not None:
            self.producer_paused = False
            self.process.call(self._resume_producer)
        elif self.bytes_in_flight == 0 and self.producer is not None and not self.streaming:
            self.process.call(self._resume_producer)

    def _resume_producer(self) -> None:
        if self.producer is not None:
            self.producer.resumeProducing()

    def reset(self, reason: Exception | None = None) -> None:
        """Close this side at once, and send the peer a reset unless the network is cut."""
        if self.state == "closed":
            return
        self.close(reason or error.ConnectionLost())
        self.send_reset()

    def send_reset(self) -> None:
        """Send the peer a reset, which ends its side of the connection, unless the network is cut."""
        here, there = self.process.host.address, self.peer.process.host.address
        if self.world.is_open(here, there):
            at = max(self.last_arrival_at, self.world.time + self.world.delay(here, there))
            self.world.push(at, lambda: self.peer.process.call(lambda: self.peer.close(error.ConnectionLost())))

    def close(self, reason: Exception) -> None:
        """Close this side of the connection, and notify its protocol and producer of the reason."""
        if self.state == "closed":
            return
        self.state = "closed"
        if not isinstance(reason, error.ConnectionDone):
            self.aborted = True
            self.outgoing.clear()
        if isinstance(reason, error.ConnectionDone) and self.peer.state == "open":
            self.enqueue(None)
            self.flush()
        self.connection.forget()
        if self.own_protocol is not None and self.process.alive:
            if self.producer is not None:
                self.producer.stopProducing()
                self.producer = None
            self.own_protocol.connectionLost(failure.Failure(reason))
