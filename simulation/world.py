"""The simulated world: one virtual clock, machines, their disks, and a network of zones.

The real core and node code runs here unchanged. A seed gives the same run each time.
Nothing in here knows what a fleet is; simulation/simulated_cluster.py builds fleets out of it.
"""

from __future__ import annotations

import collections
import collections.abc
import heapq
import random
import time
import types
import typing

import twisted.internet.address as address
import twisted.internet.defer as defer
import twisted.internet.error as error
import twisted.internet.interfaces as interfaces
import twisted.python.failure as failure
import zope.interface as interface

import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.storage as storage
import iriswheel.runtime.units as units

if typing.TYPE_CHECKING:
    import twisted.internet.protocol as protocol

    import iriswheel.dataplane.dispatch as dispatch
    import iriswheel.transport.http_server as http_server
    import iriswheel.transport.wire as wire


ZONE_LATENCY_US = 1_500  # between zones, one way
NEAR_US = 200  # within a zone
FAR_US = 4_000  # to and from clients
WINDOW = 65_536
RESEND_US = 200_000  # how long TCP needs to notice that a cut has healed
WIRE = types.SimpleNamespace(name="wire")  # on whose account the simulated network's own work goes


class Meter:
    """Real processor time of each process's own code, and what each sent to which other.

    Time inside the simulated network counts for nobody, and so does what one process's
    code does while another's runs inside it.

    >>> m = Meter(); m.enter("n1"); m.enter("n2"); m.leave(); m.leave(); sorted(m.spent)
    ['n1', 'n2']
    >>> m.count("n1", "n2", 70); m.sent["n1", "n2"]
    [1, 70]
    """

    def __init__(self) -> None:
        self.spent: collections.Counter[str] = collections.Counter()  # process -> nanoseconds
        self.longest: collections.Counter[str] = collections.Counter()  # process -> its longest step, nanoseconds
        self.sent: dict[tuple[str, str], list[int]] = {}  # (from, to) -> [writes, bytes]
        self.stack: list[list[typing.Any]] = []  # [process, its own nanoseconds so far in this step]
        self.since = 0

    def enter(self, name: str) -> None:
        """A process's code begins."""
        now = time.thread_time_ns()
        if self.stack:
            self.stack[-1][1] += now - self.since
        self.stack.append([name, 0])
        self.since = time.thread_time_ns()

    def leave(self) -> None:
        """It ends."""
        now = time.thread_time_ns()
        name, own = self.stack.pop()
        own += now - self.since
        self.spent[name] += own
        self.longest[name] = max(self.longest[name], own)
        self.since = time.thread_time_ns()

    def count(self, sender: str, receiver: str, size: int) -> None:
        """One write."""
        row = self.sent.setdefault((sender, receiver), [0, 0])
        row[0] += 1
        row[1] += size


class Timer:
    """A call that is due later, as a reactor gives it.

    >>> w = World(1); t = Timer(w, 5, print, ()); t.cancel(); t.active()
    False
    """

    def __init__(
        self, world: World, at: int, f: collections.abc.Callable[..., object], args: tuple[typing.Any, ...]
    ) -> None:
        self.world, self.at, self.f, self.args = world, at, f, args
        self.state = "due"
        self.process: SimulatedProcess | None = None

    def active(self) -> bool:
        """Whether it is still due.

        >>> Timer(World(1), 5, print, ()).active()
        True
        """
        return self.state == "due"

    def cancel(self) -> None:
        """Take it back."""
        if self.state != "due":
            raise error.AlreadyCalled() if self.state == "done" else error.AlreadyCancelled()
        self.state = "cancelled"

    def getTime(self) -> typing.Any:
        return self.at / units.SECOND_US

    def reset(self, s: float) -> None:
        """Put it off to s seconds from now."""
        self.at = self._now() + int(s * units.SECOND_US)
        self.wait()

    def delay(self, s: typing.Any) -> None:
        """Put it off by s seconds."""
        self.at += int(s * units.SECOND_US)
        self.wait()

    def wait(self) -> None:
        """Let it ring once its reactor's clock, if that does not jump again, has come to the time."""
        self.world.push(self.world.time + max(0, self.at - self._now()), self._ring)

    def _now(self) -> int:
        return self.world.time if self.process is None else self.process.reactor.clock()

    def _ring(self) -> None:
        if self.state != "due" or self._now() < self.at:
            return
        if self.process is not None and not self.process.runs(self._ring):
            return
        self.state = "done"
        self.world.play(self.process, self.f, *self.args)


class World:
    """The clock, the network and all processes.

    >>> w = World(1); out = []
    >>> w.push(7, lambda: out.append(w.time)); w.run(10); out
    [7]
    """

    def __init__(self, seed: int) -> None:
        self.time = 0
        self.rng = random.Random(seed)
        self.heap: list[tuple[int, int, collections.abc.Callable[..., object]]] = []
        self.pushed = 0
        self.processes: dict[str, SimulatedProcess] = {}
        self.machines: dict[str, Host] = {}
        self.cuts: set[tuple[str, str]] = set()  # (host, host): what the first sends does not reach the second
        self.slow: dict[typing.Any, typing.Any] = {}  # host -> extra delay each way
        self.loss: dict[str, float] = {}  # host -> share of its packets that are lost and sent again
        self.held_writes = False  # whether what is written waits for the process's next turn, and dies with it
        self.conns: dict[int, SimulatedConnection] = {}  # id -> Conn, in the order made
        self.next_conn = 0
        self.meter: Meter | None = None  # a Meter, while real processor time is counted

    def push(self, at: int, f: collections.abc.Callable[..., object]) -> None:
        """Let f run at a time.

        >>> World(1).push(5, print)
        """
        self.pushed += 1
        heapq.heappush(self.heap, (at, self.pushed, f))

    def run(self, until: int) -> None:
        """Let the time pass.

        >>> w = World(1); w.run(5); w.time
        5
        """
        while self.heap and self.heap[0][0] <= until:
            at, _, f = heapq.heappop(self.heap)
            self.time = max(self.time, at)
            f()
        self.time = max(self.time, until)

    def play(
        self,
        process: SimulatedProcess | types.SimpleNamespace | None,
        f: collections.abc.Callable[..., object],
        *args: typing.Any,
    ) -> None:
        """Let a process's code run now, on its account where a meter is set.

        >>> World(1).play(None, print, "x")
        x
        """
        if self.meter is None or process is None:
            f(*args)
            return
        self.meter.enter(process.name)
        try:
            f(*args)
        finally:
            self.meter.leave()

    # ---- the network -----------------------------------------------------------

    def open(self, a: str, b: str) -> bool:
        """Whether what host a sends reaches host b now.

        >>> w = World(1); w.cuts.add(("a", "b")); w.open("a", "b"), w.open("b", "a")
        (False, True)
        """
        for m in (a, b):
            if m in self.machines and not self.machines[m].power:
                return False
        return (a, b) not in self.cuts

    def delay(self, a: str, b: str) -> int:
        """How long a packet takes from host a to host b.

        >>> World(1).delay("a", "a")
        30
        """
        if a == b:
            return 30
        za, zb = self.zone(a), self.zone(b)
        base = FAR_US if "far" in (za, zb) else NEAR_US if za == zb else ZONE_LATENCY_US
        loss = max(self.loss.get(a, 0), self.loss.get(b, 0))
        again = RESEND_US if loss and self.rng.random() < loss else 0
        return base + self.rng.randrange(base // 4) + self.slow.get(a, 0) + self.slow.get(b, 0) + again

    def zone(self, host: str) -> str:
        """The zone of a host.

        >>> World(1).zone("10.0.0.1")
        'far'
        """
        return self.machines[host].zone if host in self.machines else "far"

    def cut(self, some: list[str], others: list[str], both: bool = True) -> None:
        """Cut the network between two groups of hosts."""
        for a in some:
            for b in others:
                if a != b:
                    self.cuts.add((a, b))
                    if both:
                        self.cuts.add((b, a))

    def heal(self) -> None:
        """Mend all cuts; held data goes out again after a while."""
        self.cuts.clear()
        self.retry()

    def retry(self) -> None:
        """Let all connections send what they hold, as TCP does."""
        for connection in list(self.conns.values()):
            for side in connection.sides:
                self.push(self.time + RESEND_US, side.flush)


class Host:
    """A machine: power, a zone, and a disk that keeps what was synced.

    >>> Host(World(1), "10.0.0.1", "a").power
    True
    """

    def __init__(self, world: World, host: str, zone: str) -> None:
        self.world, self.host, self.zone = world, host, zone
        self.power = True
        self.synced: dict[bytes, bytes] = {}
        self.disk = "ok"  # ok, full, slow, stalled
        self.slow_us = 400_000  # what each sync takes more on a slow disk
        self.time_of_day_error = 0  # microseconds by which the time of day has jumped
        self.held: collections.deque[typing.Any] = collections.deque()
        self.trap = self.trap_sprung = None  # at which step of the next write power is lost
        world.machines[host] = self

    def fail(self) -> None:
        """Lose power: processes end, and nobody is told."""
        self.power = False
        self.held.clear()
        for p in self.world.processes.values():
            if p.host is self:
                p.alive = False
                p.ports.clear()
        for connection in list(self.world.conns.values()):
            for side in connection.sides:
                if side.process.host is self:
                    side.state = "closed"
                    connection.forget()

    def spring(self, trap: typing.Any) -> None:
        """Lose power at a chosen step of a write."""
        if self.power:
            self.trap_sprung = trap
            self.fail()

    def time_of_day(self) -> int:
        """The machine's time of day in microseconds since the simulation's start; it may jump.

        >>> m = Host(World(1), "h", "a"); m.set_time_of_day(-2 * units.SECOND_US); m.time_of_day()
        -2000000
        """
        return self.world.time + self.time_of_day_error

    def set_time_of_day(self, error: int) -> None:
        """Set how far the time of day is off; timers that go by it ring early or late."""
        self.time_of_day_error = error
        rings = [f for _, _, f in sorted(self.world.heap, key=lambda entry: entry[:2])]
        ticks = [getattr(f, "__self__", None) for f in rings]
        for tick in ticks:
            if isinstance(tick, Timer) and tick.active() and tick.process is not None and tick.process.host is self:
                tick.wait()

    def repair(self) -> None:
        """Let a stalled disk go on."""
        self.disk = "ok"
        held, self.held = self.held, collections.deque()
        for f in held:
            self.world.push(self.world.time + 1000, f)


class Disk:
    """The disk as one process has it: writes are synced in order, or lost with the process.

    >>> w = World(1); m = Host(w, "h", "a"); p = SimulatedProcess(w, "p", m)
    >>> d = Disk(p).commit([(b"k", b"v")]); m.synced
    {}
    >>> w.run(10_000); m.synced
    {b'k': b'v'}
    """

    def __init__(self, process: SimulatedProcess) -> None:
        self.process = process
        self.runtime = process.host
        self.busy = 0

    def read(self) -> dict[bytes, bytes]:
        """All that was synced."""
        return dict(sorted(self.runtime.synced.items()))

    def write(self, puts: list[tuple[bytes, bytes | None]]) -> None:
        """Sync at once; only for a process's start."""
        for k, v in puts:
            if v is None:
                self.runtime.synced.pop(k, None)
            else:
                self.runtime.synced[k] = v

    def commit(self, puts: list[tuple[bytes, bytes | None]]) -> defer.Deferred[typing.Any]:
        """Sync a little later."""
        world, d = self.process.world, defer.Deferred()
        cost = 2_000 + world.rng.randrange(2_000) + (self.runtime.slow_us if self.runtime.disk == "slow" else 0)
        self.busy = max(self.busy, world.time) + cost

        def land() -> None:
            if not self.process.alive:
                return
            if self.runtime.disk == "stalled":
                self.runtime.held.append(land)
                return
            if self.runtime.disk == "full":
                self.process.call(lambda: d.errback(storage.DiskError("No space is left.")))
                return
            trap, self.runtime.trap = self.runtime.trap, None
            if trap == "before sync":
                self.runtime.spring(trap)
                return
            self.write(puts)
            if trap == "after sync":
                self.runtime.spring(trap)
                return
            self.process.call(lambda: d.callback(None))
            if trap is not None:
                world.push(world.time + world.rng.randrange(3_000), lambda: self.runtime.spring(trap))

        world.push(self.busy, land)
        return d


class SimulatedProcess:
    """One process on a machine: its reactor, and whether it lives or is frozen.

    >>> p = SimulatedProcess(World(1), "p", Host(World(1), "h", "a")); p.alive, p.frozen
    (True, False)
    """

    def __init__(self, world: World, name: str, host: Host) -> None:
        self.world, self.name, self.host = world, name, host
        self.alive, self.frozen = True, False
        self.backlog: list[collections.abc.Callable[..., object]] = []
        self.ports: dict[int, protocol.Factory] = {}
        self.reactor = Reactor(self)
        self.incarnations = getattr(world.processes.get(name), "incarnations", 0) + 1
        world.processes[name] = self

    def runtime(self) -> scheduler.Runtime:
        """The Machine object that the code gets; its clock ignores wall-clock jumps."""
        seed = f"{self.world.rng.random()}-{self.name}-{self.incarnations}"
        return scheduler.Runtime(self.reactor, now=lambda: self.world.time, seed=seed)

    def runs(self, f: collections.abc.Callable[..., object]) -> bool:
        """Whether the process runs now; if it is frozen, f is kept for its wake."""
        if not self.alive:
            return False
        if self.frozen:
            self.backlog.append(f)
            return False
        return True

    def call(self, f: collections.abc.Callable[..., object]) -> None:
        """Run f in this process, now or at its wake."""
        if self.runs(f):
            self.world.play(self, f)

    def kill(self) -> None:
        """End the process at once; its machine's kernel resets its connections."""
        self.alive = False
        self.ports.clear()
        for connection in list(self.world.conns.values()):
            for side in connection.sides:
                if side.process is self:
                    side.reset()

    def freeze(self) -> None:
        """Stop the process without ending it."""
        self.frozen = True

    def wake(self) -> None:
        """Let a frozen process go on."""
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for f in backlog:
            self.world.push(self.world.time, lambda f=f: self.call(f))


class Port:
    """A listening port."""

    def __init__(self, reactor: typing.Any, port: int, factory: protocol.Factory) -> None:
        self.reactor, self.port, self.factory = reactor, port, factory

    def getHost(self) -> typing.Any:
        return address.IPv4Address("TCP", self.reactor.process.host.host, self.port)


class Reactor:
    """What the code under test takes for its reactor."""

    def __init__(self, process: SimulatedProcess) -> None:
        self.process = process
        self.next_port = 40_000

    def clock(self) -> int:
        """What timers go by, in microseconds: the clock since boot, as in `process.the_reactor`.

        A guard test puts the time of day in its place.
        """
        return self.process.world.time

    def seconds(self) -> typing.Any:
        return self.clock() / units.SECOND_US

    def callLater(
        self, s: float, f: collections.abc.Callable[..., object], *args: typing.Any, **kw: typing.Any
    ) -> Timer:
        at = self.clock() + int(s * units.SECOND_US)
        tick = Timer(self.process.world, at, (lambda: f(*args, **kw)) if kw else f, () if kw else args)
        tick.process = self.process
        tick.wait()
        return tick

    def listenTCP(self, port: int, factory: protocol.Factory, backlog: int = 50, interface: str = "") -> Port:
        if port == 0:
            self.next_port += 1
            port = self.next_port
        factory.doStart()
        self.process.ports[port] = factory
        return Port(self, port, factory)

    def connectTCP(
        self, host: str, port: int, factory: protocol.ClientFactory, timeout: float = 30, bindAddress: None = None
    ) -> Connector:
        return Connector(self.process, host, port, factory, timeout)


class Connector:
    """A connection that is being opened."""

    def __init__(
        self, process: SimulatedProcess, host: str, port: int, factory: protocol.ClientFactory, timeout: float
    ) -> None:
        self.process, self.host, self.port, self.factory = process, host, port, factory
        self.world = process.world
        self.done = False
        factory.doStart()
        factory.startedConnecting(self)
        self.tick = process.reactor.callLater(timeout or 30, self.fail, error.TimeoutError())
        self.knock()

    def knock(self) -> None:
        """Send the opening packet, again and again while the way is cut."""
        if self.done or not self.process.alive:
            return
        here = self.process.host.host
        if not self.world.open(here, self.host) or self.host not in self.world.machines:
            self.world.push(self.world.time + RESEND_US, self.knock)
            return
        self.world.push(self.world.time + self.world.delay(here, self.host), self.arrive)

    def arrive(self) -> None:
        """The opening packet is there: the far kernel takes it or refuses."""
        if self.done or not self.process.alive:
            return
        here = self.process.host.host
        far = next(
            (p for p in self.world.processes.values() if p.alive and p.host.host == self.host and self.port in p.ports),
            None,
        )
        if not self.world.open(self.host, here):
            self.world.push(self.world.time + RESEND_US, self.knock)
            return
        back = self.world.time + self.world.delay(self.host, here)
        if far is None:
            self.world.push(back, lambda: self.process.call(lambda: self.fail(error.ConnectionRefusedError())))
        else:
            self.world.push(back, lambda: self.process.call(lambda: self.succeed(far)))

    def succeed(self, far: SimulatedProcess) -> None:
        """Both sides have their connection."""
        if self.done:
            return
        self.done = True
        if self.tick.active():
            self.tick.cancel()
        peer_protocol = self.factory.buildProtocol(address.IPv4Address("TCP", self.host, self.port))
        connection = SimulatedConnection(self.world, self.process, far, self.port)
        if peer_protocol is None:
            connection.sides[0].abortConnection()
            return
        connection.sides[0].attach(peer_protocol)

        def accept() -> None:
            if self.port not in far.ports:
                connection.sides[1].reset()
                return
            made = far.ports[self.port].buildProtocol(address.IPv4Address("TCP", self.process.host.host, 1))
            if made is None:
                connection.sides[1].abortConnection()
            else:
                connection.sides[1].attach(made)

        if far.alive:
            far.call(accept)
        else:
            connection.sides[1].reset()

    def fail(self, why: Exception) -> None:
        """The connection can't be had."""
        if self.done:
            return
        self.done = True
        if self.tick.active():
            self.tick.cancel()
        self.factory.clientConnectionFailed(self, failure.Failure(why))

    def getDestination(self) -> address.IPv4Address:
        return address.IPv4Address("TCP", self.host, self.port)

    def stopConnecting(self) -> None:
        self.fail(error.UserError())

    disconnect = stopConnecting


class SimulatedConnection:
    """A connection between two processes."""

    def __init__(self, world: World, near: SimulatedProcess, far: SimulatedProcess, port: int) -> None:
        self.world = world
        self.id = world.next_conn
        world.next_conn += 1
        a, b = ConnectionSide(self, near, port), ConnectionSide(self, far, port)
        a.peer, b.peer = b, a
        self.sides = (a, b)
        world.conns[self.id] = self

    def forget(self) -> None:
        """Drop the connection once both sides are through with it."""
        if all(s.state == "closed" for s in self.sides):
            self.world.conns.pop(self.id, None)


@interface.implementer(interfaces.ITCPTransport, interfaces.IPushProducer, interfaces.IConsumer)
class ConnectionSide:
    """One side's transport: an ordered stream that a cut holds up and a kill resets."""

    disconnecting = False

    def __init__(self, connection: SimulatedConnection, process: SimulatedProcess, port: int) -> None:
        self.connection, self.process, self.port = connection, process, port
        self.world = connection.world
        self.peer_protocol: protocol.Protocol | None = None
        self.state = "open"
        self.aborted = False
        # (number, piece), not yet on the wire; a piece of None is the end
        self.out: list[tuple[int, bytes | None]] = []
        self.numbered = 0
        self.early: dict[typing.Any, typing.Any] = {}  # pieces that came before one that was held up
        self.expected = 1
        self.flying = 0  # bytes written here and not yet taken there
        self.last = 0
        self.inbox: collections.deque[bytes] = collections.deque()
        self.paused = False
        self.producer: dispatch.Body | http_server.Channel | wire.Connection | None = None
        self.streaming = False
        self.producer_paused = False

    # ---- transport ------------------------------------------------------------

    def attach(self, peer_protocol: protocol.Protocol) -> None:
        """Give the connection to its protocol."""
        if self.state == "closed":
            return
        self.peer_protocol = peer_protocol
        peer_protocol.makeConnection(self)
        self.drain()

    def getPeer(self) -> address.IPv4Address:
        return address.IPv4Address("TCP", self.peer.process.host.host, self.port)

    def getHost(self) -> address.IPv4Address:
        return address.IPv4Address("TCP", self.process.host.host, self.port)

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def getTcpNoDelay(self) -> bool:
        return True

    def setTcpKeepAlive(self, on: typing.Any) -> None:
        pass

    def getTcpKeepAlive(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        if self.state != "open" or self.disconnecting or not data:
            return
        if self.world.meter is not None:
            self.world.meter.count(self.process.name, self.peer.process.name, len(data))
        self.world.play(WIRE, self.put, data)

    def put(self, data: bytes) -> None:
        """Take bytes for the wire; a producer that runs ahead is paused."""
        self.queue(bytes(data))
        self.flying += len(data)
        if self.world.held_writes:
            self.world.push(self.world.time, self.send_held)
        else:
            self.flush()
        if self.flying > WINDOW and self.producer is not None and self.streaming and not self.producer_paused:
            self.producer_paused = True
            self.producer.pauseProducing()

    def writeSequence(self, pieces: collections.abc.Sequence[bytes]) -> None:
        self.write(b"".join(pieces))

    def loseConnection(self, _: None = None) -> None:
        if self.state == "open" and not self.disconnecting:
            self.disconnecting = True
            if self.producer is None:
                self.queue(None)
                self.flush()

    def loseWriteConnection(self) -> None:
        self.loseConnection()

    def abortConnection(self) -> None:
        if self.state == "open":
            self.disconnecting = True
            self.world.push(self.world.time, lambda: self.reset(error.ConnectionAborted()))

    def registerProducer(
        self, producer: dispatch.Body | http_server.Channel | wire.Connection, streaming: bool
    ) -> None:
        if self.state != "open":
            producer.stopProducing()
            return
        self.producer, self.streaming, self.producer_paused = producer, streaming, False
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:
        self.producer = None
        if self.disconnecting and self.state == "open":
            self.queue(None)
            self.flush()

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False
        self.world.push(self.world.time, lambda: self.process.call(self.drain))

    def stopProducing(self) -> None:
        self.loseConnection()

    # ---- the wire ----------------------------------------------------------------

    def queue(self, piece: bytes | None) -> None:
        """Number a piece and keep it for the wire."""
        self.numbered += 1
        self.out.append((self.numbered, piece))

    def send_held(self) -> None:
        """The process's next turn has come: what it wrote goes out, unless it has ended."""
        if self.process.alive:
            self.flush()

    def flush(self) -> None:
        """Put what is written on the wire, if the way is open."""
        here, there = self.process.host.host, self.peer.process.host.host
        if not self.out or not self.world.open(here, there):
            return
        out, self.out = self.out, []
        for k, piece in out:
            self.last = max(self.last, self.world.time + self.world.delay(here, there))
            self.world.push(self.last, lambda k=k, piece=piece: self.peer.land(k, piece))

    def land(self, k: int, piece: bytes | None) -> None:
        """A piece arrives; on a cut way it is sent again later, and order is restored here."""
        if self.state == "closed":
            if piece is not None and self.peer.state == "open":
                self.tell_reset()
            return
        if not self.process.host.power:
            return
        if not self.world.open(self.peer.process.host.host, self.process.host.host):
            if self.peer.aborted:
                return  # nobody is left to send it again
            self.peer.out = sorted(self.peer.out + [(k, piece)], key=lambda x: x[0])
            return
        self.early[k] = piece
        while self.expected in self.early:
            self.inbox.append(self.early.pop(self.expected))
            self.expected += 1
        self.process.call(self.drain)

    def drain(self) -> None:
        """Hand what arrived to the protocol, unless it has paused."""
        while self.inbox and self.peer_protocol is not None and self.state == "open" and not self.paused:
            piece = self.inbox.popleft()
            if piece is None:
                self.closed(error.ConnectionDone())
                return
            self.peer.taken(len(piece))
            self.peer_protocol.dataReceived(piece)

    def taken(self, n: int) -> None:
        """The far side took n bytes; a paused producer may go on."""
        self.flying -= n
        if self.flying < WINDOW // 4 and self.producer_paused and self.producer is not None:
            self.producer_paused = False
            self.process.call(lambda: self.producer is not None and self.producer.resumeProducing())
        elif self.flying == 0 and self.producer is not None and not self.streaming:
            self.process.call(lambda: self.producer is not None and self.producer.resumeProducing())

    def reset(self, why: error.ConnectionAborted | None = None) -> None:
        """Close here at once, and tell the far side if the way is open."""
        if self.state == "closed":
            return
        self.closed(why or error.ConnectionLost())
        self.tell_reset()

    def tell_reset(self) -> None:
        """Tell the far side that the connection is no more."""
        here, there = self.process.host.host, self.peer.process.host.host
        if self.world.open(here, there):
            at = max(self.last, self.world.time + self.world.delay(here, there))
            self.world.push(at, lambda: self.peer.process.call(lambda: self.peer.closed(error.ConnectionLost())))

    def closed(self, why: Exception) -> None:
        """The connection is no more on this side."""
        if self.state == "closed":
            return
        self.state = "closed"
        if not isinstance(why, error.ConnectionDone):
            self.aborted = True
            self.out.clear()
        if isinstance(why, error.ConnectionDone) and self.peer.state == "open":
            self.queue(None)
            self.flush()
        self.connection.forget()
        if self.peer_protocol is not None and self.process.alive:
            if self.producer is not None:
                self.producer.stopProducing()
                self.producer = None
            self.peer_protocol.connectionLost(failure.Failure(why))
