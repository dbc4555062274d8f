"""The virtual clock of a simulation and its network: which packets are delivered, and when.

The product's core and node code runs unchanged on this clock and network, and the same seed always gives the same run.
This module has no notion of a cluster: `simulation.simulated_cluster` builds one from hosts, processes and connections.
"""

from __future__ import annotations

import collections.abc
import heapq
import random
import typing

if typing.TYPE_CHECKING:
    from simulation import host_model, network_model, process_model


LOOPBACK_US = 30  # one-way latency within a host
NEAR_US = 200  # one-way latency within a zone
ZONE_LATENCY_US = 1_500  # one-way latency between two zones
FAR_US = 4_000  # one-way latency between the cluster and clients or operators
RESEND_US = 200_000  # delay until TCP sends a packet again that was lost or held back by a cut

Callback = collections.abc.Callable[..., object]


class Account(typing.Protocol):
    """What processor time is charged to: a process, or the simulated network."""

    name: str


class Meter(typing.Protocol):
    """What a world reports the code that it runs to; `simulation.processor_meter.Meter` implements it."""

    def enter(self, name: str) -> None:
        """Record that code charged to an account begins to run."""

    def leave(self) -> None:
        """Record that the code that was entered last has returned."""

    def count(self, sender: str, receiver: str, size: int, /) -> None:
        """Count one write of `size` bytes from one process to another."""


class Event(typing.NamedTuple):
    """A function scheduled at a time; events are ordered by time, then by the order in which they were scheduled."""

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
        self.time = 0  # microseconds since the start of the simulation
        self.rng = random.Random(seed)
        self.events: list[Event] = []
        self.events_scheduled = 0  # number of events scheduled so far
        self.processes: dict[str, process_model.SimulatedProcess] = {}
        self.machines: dict[str, host_model.Host] = {}
        self.cuts: set[tuple[str, str]] = set()  # (sender, receiver): hosts whose packets are not delivered
        self.zone_cuts: set[tuple[str, str]] = set()  # (sender, receiver): zones whose packets are not delivered
        self.refused_zone_links: set[tuple[str, str]] = set()  # those in `zone_cuts` that refuse connections at once
        self.extra_delay_us: dict[str, int] = {}  # host -> extra delay of its packets in each direction
        self.loss_share: dict[str, float] = {}  # host -> share of its packets that are lost and sent again
        # Whether data that a process writes is sent only after the current event, and lost if the process ends in it.
        self.sends_writes_after_turn = False
        self.connections: dict[int, network_model.SimulatedConnection] = {}  # by identifier, in the order opened
        self.next_connection = 0
        self.meter: Meter | None = None  # set while processor time and traffic are counted

    def push(self, at: int, function: Callback) -> None:
        """Schedule a function at a time in microseconds since the start of the simulation.

        >>> World(1).push(5, print)
        """
        self.events_scheduled += 1
        heapq.heappush(self.events, Event(at, self.events_scheduled, function))

    def run(self, until: int) -> None:
        """Run all events that are due up to a time, and advance the clock to that time.

        >>> world = World(1); world.run(5); world.time
        5
        """
        while self.events and self.events[0].at <= until:
            event = heapq.heappop(self.events)
            self.time = max(self.time, event.at)
            event.function()
        self.time = max(self.time, until)

    def call_metered(
        self,
        account: Account | None,
        function: Callback,
        *arguments: object,
    ) -> None:
        """Call a function now, and charge its processor time to an account if a meter is set.

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
        """Whether a packet that one host sends now is delivered to another.

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
        """Whether a cut between the zones of two hosts refuses a new connection at once, instead of losing it."""
        return (self.zone(sender), self.zone(receiver)) in self.refused_zone_links

    def delay(self, sender: str, receiver: str) -> int:
        """The time in microseconds that a packet takes from one host to another; draws random numbers.

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
        """The zone of a host; "far" for a host that is not part of the simulation.

        >>> World(1).zone("10.0.0.1")
        'far'
        """
        return self.machines[host].zone if host in self.machines else "far"

    def cut(self, some: list[str], others: list[str], both: bool = True) -> None:
        """Cut the network between two groups of hosts.

        Args:
            some: The first group; packets from it to `others` are not delivered.
            others: The second group.
            both: Whether packets from `others` to `some` are not delivered either.
        """
        for sender in some:
            for receiver in others:
                if sender != receiver:
                    self.cuts.add((sender, receiver))
                    if both:
                        self.cuts.add((receiver, sender))

    def heal(self) -> None:
        """Remove all cuts between hosts; data that they held back is sent again after the delay of a TCP resend."""
        self.cuts.clear()
        self.resend_all()

    def resend_all(self) -> None:
        """Let all connections send undelivered data again after the delay of a TCP resend."""
        for connection in list(self.connections.values()):
            for side in connection.sides:
                self.push(self.time + RESEND_US, side.flush)
