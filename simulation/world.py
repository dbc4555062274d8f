"""The virtual clock of a simulation, and which packets its network delivers and when.

The real core and node code runs in it unchanged, and one seed always gives the same run. Nothing here knows about
clusters: `simulation.simulated_cluster` builds them out of hosts, processes and connections.
"""

from __future__ import annotations

import collections.abc
import heapq
import random
import typing

if typing.TYPE_CHECKING:
    from simulation import host_model, network_model, process_model


LOOPBACK_US = 30  # within a host
NEAR_US = 200  # within a zone
ZONE_LATENCY_US = 1_500  # between zones, one way
FAR_US = 4_000  # to and from clients
RESEND_US = 200_000  # how long TCP needs to notice that a cut has healed

Callback = collections.abc.Callable[..., object]


class Account(typing.Protocol):
    """To whom processor time is charged: a process, or the simulated network."""

    name: str


class Meter(typing.Protocol):
    """What a world tells about the code that it runs; `simulation.processor_meter.Meter` keeps processor time."""

    def enter(self, name: str) -> None:
        """Record that code of a process begins to run."""

    def leave(self) -> None:
        """Record that the code that began last has returned."""

    def count(self, sender: str, receiver: str, size: int, /) -> None:
        """Count one write to the network and its bytes."""


class Event(typing.NamedTuple):
    """A function that is due; events compare by time, then by the order in which they were scheduled."""

    at: int
    number: int
    function: Callback


class World:
    """The virtual clock, the state of the network, and all hosts and processes.

    >>> world = World(1); times = []
    >>> world.push(7, lambda: times.append(world.time)); world.run(10); times
    [7]
    """

    def __init__(self, seed: int) -> None:
        self.time = 0  # microseconds since the start
        self.rng = random.Random(seed)
        self.heap: list[Event] = []
        self.pushed = 0  # events so far; those of one time run in the order pushed
        self.processes: dict[str, process_model.SimulatedProcess] = {}
        self.machines: dict[str, host_model.Host] = {}
        self.cuts: set[tuple[str, str]] = set()  # (host, host): what the first sends does not reach the second
        self.zone_cuts: set[tuple[str, str]] = set()  # (zone, zone): likewise for all hosts of two zones
        self.refused_zone_links: set[tuple[str, str]] = set()  # of those, the ones that refuse new connections at once
        self.extra_delay_us: dict[str, int] = {}  # host -> extra delay each way, microseconds
        self.loss_share: dict[str, float] = {}  # host -> share of its packets that are lost and sent again
        self.sends_writes_after_turn = (
            False  # whether what is written waits for the process's next turn, and dies with it
        )
        self.connections: dict[int, network_model.SimulatedConnection] = {}  # by identifier, in the order opened
        self.next_connection = 0
        self.meter: Meter | None = None  # set while processor time and traffic are counted

    def push(self, at: int, function: Callback) -> None:
        """Schedule a function at a time, in microseconds since the start.

        >>> World(1).push(5, print)
        """
        self.pushed += 1
        heapq.heappush(self.heap, Event(at, self.pushed, function))

    def run(self, until: int) -> None:
        """Run all events that are due until a time, and advance the clock to it.

        >>> world = World(1); world.run(5); world.time
        5
        """
        while self.heap and self.heap[0].at <= until:
            event = heapq.heappop(self.heap)
            self.time = max(self.time, event.at)
            event.function()
        self.time = max(self.time, until)

    def call_metered(
        self,
        account: Account | None,
        function: Callback,
        *arguments: object,
    ) -> None:
        """Call a function now, and charge its processor time to an account where a meter is set.

        >>> World(1).call_metered(None, print, "x")
        x
        """
        if self.meter is None or account is None:
            function(*arguments)
            return
        self.meter.enter(account.name)
        try:
            function(*arguments)
        finally:
            self.meter.leave()

    # ---- the network -----------------------------------------------------------

    def is_open(self, sender: str, receiver: str) -> bool:
        """Whether what one host sends reaches another now.

        >>> world = World(1); world.cuts.add(("a", "b")); world.is_open("a", "b"), world.is_open("b", "a")
        (False, True)
        """
        for host in (sender, receiver):
            if host in self.machines and not self.machines[host].power:
                return False
        if self.zone_cuts and (self.zone(sender), self.zone(receiver)) in self.zone_cuts:
            return False
        return (sender, receiver) not in self.cuts

    def is_refused(self, sender: str, receiver: str) -> bool:
        """Whether a cut between the zones of two hosts refuses a new connection at once."""
        return (self.zone(sender), self.zone(receiver)) in self.refused_zone_links

    def delay(self, sender: str, receiver: str) -> int:
        """How long a packet takes from one host to another, in microseconds; draws randomness.

        >>> World(1).delay("a", "a")
        30
        """
        if sender == receiver:
            return LOOPBACK_US
        zones = (self.zone(sender), self.zone(receiver))
        base = FAR_US if "far" in zones else NEAR_US if zones[0] == zones[1] else ZONE_LATENCY_US
        loss = max(self.loss_share.get(sender, 0), self.loss_share.get(receiver, 0))
        resend = RESEND_US if loss and self.rng.random() < loss else 0
        return (
            base
            + self.rng.randrange(base // 4)
            + self.extra_delay_us.get(sender, 0)
            + self.extra_delay_us.get(receiver, 0)
            + resend
        )

    def zone(self, host: str) -> str:
        """The zone of a host; "far" for one outside the cluster.

        >>> World(1).zone("10.0.0.1")
        'far'
        """
        return self.machines[host].zone if host in self.machines else "far"

    def cut(self, some: list[str], others: list[str], both: bool = True) -> None:
        """Cut the network between two groups of hosts.

        Args:
            some: The hosts whose packets to `others` are lost.
            others: The hosts that are cut off from `some`.
            both: Whether packets from `others` to `some` are lost too.
        """
        for sender in some:
            for receiver in others:
                if sender != receiver:
                    self.cuts.add((sender, receiver))
                    if both:
                        self.cuts.add((receiver, sender))

    def heal(self) -> None:
        """Remove all cuts; data that was held up is sent again after the time of a TCP resend."""
        self.cuts.clear()
        self.resend_all()

    def resend_all(self) -> None:
        """Let all connections resend what they hold, as TCP does."""
        for connection in list(self.connections.values()):
            for side in connection.sides:
                self.push(self.time + RESEND_US, side.flush)
