"""TCP connections between simulated processes: opening, ordered delivery, flow control, resets."""

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

WINDOW_BYTES = 65_536  # how far a producer may be ahead of its reader
DEFAULT_TIMEOUT_SECONDS = 30  # of opening a connection
NETWORK = types.SimpleNamespace(name="wire")  # the account of the simulated network's own work


class Producer(typing.Protocol):
    """What a transport asks of the source of its data: Twisted's push and pull producers."""

    def pauseProducing(self) -> None:
        """Stop writing until resumed."""

    def resumeProducing(self) -> None:
        """Write on, or, as a pull producer, once more."""

    def stopProducing(self) -> None:
        """Write nothing more: the connection is lost."""


class ListeningFactory(typing.Protocol):
    """What a listening port asks of Twisted's factories."""

    def doStart(self) -> None:
        """Begin to be used."""

    def buildProtocol(
        self,
        address: typing.Any,  # noqa: ANN401 - Twisted's type is a zope interface, which mypy can't check
        /,
    ) -> protocol.Protocol | None:
        """The protocol of a new connection, or None where the connection is refused."""


class ConnectingFactory(ListeningFactory, typing.Protocol):
    """What opening a connection asks of Twisted's client factories."""

    def startedConnecting(
        self,
        connector: typing.Any,  # noqa: ANN401 - Twisted's type is a zope interface, which mypy can't check
        /,
    ) -> None:
        """The connection is being opened."""

    def clientConnectionFailed(
        self,
        connector: typing.Any,  # noqa: ANN401 - Twisted's type is a zope interface, which mypy can't check
        reason: failure.Failure,
        /,
    ) -> None:
        """The connection could not be opened."""


class Segment(typing.NamedTuple):
    """A numbered part of a stream; data of None is its end."""

    number: int
    data: bytes | None


class Connector:
    """A connection that is being opened, as a reactor's `connectTCP` returns it."""

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
        """Send the opening packet, again and again while the network is cut."""
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
        """The opening packet has arrived: the far kernel accepts or refuses it."""
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
        """Give both sides their connection."""
        if self.done:
            return
        self.done = True
        if self.timeout.active():
            self.timeout.cancel()
        peer_protocol = self.factory.buildProtocol(address.IPv4Address("TCP", self.host, self.port))
        connection = SimulatedConnection(self.world, self.process, far, self.port)
        if peer_protocol is None:
            connection.sides[0].abortConnection()
            return
        connection.sides[0].attach(peer_protocol)
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
        """Report that the connection could not be opened."""
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
        """Give the attempt up."""
        self.fail(error.UserError())

    disconnect = stopConnecting


class SimulatedConnection:
    """A TCP connection between two processes."""

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
        """Drop the connection once both sides have closed it."""
        if all(side.state == "closed" for side in self.sides):
            self.world.connections.pop(self.id, None)


@interface.implementer(interfaces.ITCPTransport, interfaces.IPushProducer, interfaces.IConsumer)
class ConnectionSide:
    """One side's transport: a stream in order; cuts of the network hold it up, and a kill of the process resets it."""

    disconnecting = False

    def __init__(self, connection: SimulatedConnection, process: process_model.SimulatedProcess, port: int) -> None:
        self.connection, self.process, self.port = connection, process, port
        self.world = connection.world
        self.peer: ConnectionSide
        self.peer_protocol: protocol.Protocol | None = None
        self.state: typing.Literal["open", "closed"] = "open"
        self.aborted = False
        self.outgoing: list[Segment] = []  # not yet on the network
        self.last_number = 0
        self.out_of_order: dict[int, bytes | None] = {}  # segments that arrived before one that was held up
        self.expected_number = 1
        self.bytes_in_flight = 0  # written here and not yet read by the peer
        self.last_arrival_at = 0
        self.inbox: collections.deque[bytes | None] = collections.deque()
        self.paused = False
        self.producer: Producer | None = None
        self.streaming = False
        self.producer_paused = False

    # ---- transport ------------------------------------------------------------

    def attach(self, peer_protocol: protocol.Protocol) -> None:
        """Connect the protocol of this side."""
        if self.state == "closed":
            return
        self.peer_protocol = peer_protocol
        peer_protocol.makeConnection(self)
        self.deliver()

    def getPeer(self) -> address.IPv4Address:
        """The address of the other side."""
        return address.IPv4Address("TCP", self.peer.process.host.address, self.port)

    def getHost(self) -> address.IPv4Address:
        """The address of this side."""
        return address.IPv4Address("TCP", self.process.host.address, self.port)

    def setTcpNoDelay(self, on: bool) -> None:
        """Do nothing: segments are sent at once."""

    def getTcpNoDelay(self) -> bool:
        """Whether small segments are sent at once."""
        return True

    def setTcpKeepAlive(self, on: bool) -> None:
        """Do nothing: there are no keep-alive probes."""

    def getTcpKeepAlive(self) -> bool:
        """Whether the kernel probes an idle connection."""
        return False

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self.state != "open" or self.disconnecting or not data:
            return
        if self.world.meter is not None:
            self.world.meter.count(self.process.name, self.peer.process.name, len(data))
        self.world.call_metered(NETWORK, self.put, data)

    def put(self, data: bytes) -> None:
        """Send bytes; a producer that is further ahead of its reader than the window is paused."""
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
        """Close the connection once all that was written is sent and no producer is left."""
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
        """Let a producer write, which is paused while it is far ahead of its reader."""
        if self.state != "open":
            producer.stopProducing()
            return
        self.producer, self.streaming, self.producer_paused = producer, streaming, False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        """The producer has written all; a close that waited for it is carried out."""
        self.producer = None
        if self.disconnecting and self.state == "open":
            self.enqueue(None)
            self.flush()

    def pauseProducing(self) -> None:
        """Hand nothing more to the protocol until resumed."""
        self.paused = True

    def resumeProducing(self) -> None:
        """Hand to the protocol what has arrived, from the process's next turn on."""
        self.paused = False
        self.world.push(self.world.time, lambda: self.process.call(self.deliver))

    def stopProducing(self) -> None:
        """Close the connection: its consumer wants no more."""
        self.loseConnection()

    # ---- the network ------------------------------------------------------------

    def enqueue(self, data: bytes | None) -> None:
        """Give data, or None for the end of the stream, the next number and keep it until it is sent."""
        self.last_number += 1
        self.outgoing.append(Segment(self.last_number, data))

    def send_held(self) -> None:
        """Send what the process wrote in its last turn, unless it has ended since."""
        if self.process.alive:
            self.flush()

    def flush(self) -> None:
        """Send what was written, if the network is not cut."""
        here, there = self.process.host.address, self.peer.process.host.address
        if not self.outgoing or not self.world.is_open(here, there):
            return
        outgoing, self.outgoing = self.outgoing, []
        for segment in outgoing:
            self.last_arrival_at = max(self.last_arrival_at, self.world.time + self.world.delay(here, there))
            self.world.push(self.last_arrival_at, functools.partial(self.peer.receive, segment))

    def receive(self, segment: Segment) -> None:
        """A segment arrives: where the network is cut it is sent again later, and order is restored here."""
        if self.state == "closed":
            if segment.data is not None and self.peer.state == "open":
                self.send_reset()
            return
        if not self.process.host.power:
            return
        if not self.world.is_open(self.peer.process.host.address, self.process.host.address):
            if self.peer.aborted:
                return  # nobody is left to send it again
            self.peer.outgoing = sorted([*self.peer.outgoing, segment], key=lambda waiting: waiting.number)
            return
        self.out_of_order[segment.number] = segment.data
        while self.expected_number in self.out_of_order:
            self.inbox.append(self.out_of_order.pop(self.expected_number))
            self.expected_number += 1
        self.process.call(self.deliver)

    def deliver(self) -> None:
        """Hand what arrived to the protocol, unless the protocol has paused this transport."""
        while self.inbox and self.peer_protocol is not None and self.state == "open" and not self.paused:
            data = self.inbox.popleft()
            if data is None:
                self.close(error.ConnectionDone())
                return
            self.peer.acknowledge(len(data))
            self.peer_protocol.dataReceived(data)

    def acknowledge(self, size: int) -> None:
        """The peer has read a number of bytes: a paused producer may go on."""
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
        """Close this side at once, and tell the peer if the network is not cut."""
        if self.state == "closed":
            return
        self.close(reason or error.ConnectionLost())
        self.send_reset()

    def send_reset(self) -> None:
        """Tell the peer that the connection is lost, if the network is not cut."""
        here, there = self.process.host.address, self.peer.process.host.address
        if self.world.is_open(here, there):
            at = max(self.last_arrival_at, self.world.time + self.world.delay(here, there))
            self.world.push(at, lambda: self.peer.process.call(lambda: self.peer.close(error.ConnectionLost())))

    def close(self, reason: Exception) -> None:
        """End this side of the connection, and tell its protocol and producer."""
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
        if self.peer_protocol is not None and self.process.alive:
            if self.producer is not None:
                self.producer.stopProducing()
                self.producer = None
            self.peer_protocol.connectionLost(failure.Failure(reason))
