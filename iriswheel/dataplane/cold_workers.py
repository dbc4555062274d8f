"""The rate limit on requests to a cold worker: it holds over all nodes together without a message per request.

A worker that has just started is cold: it sustains only a small rate of requests. As each node selects workers by
itself, all nodes would find a cold worker idle and send to it at once. So only a few nodes, its senders, may send to
it. All nodes compute the same senders, and each sender leaves an interval between two requests, so that the senders
together stay below the worker's cold rate.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from iriswheel.membership import assignments
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.runtime import scheduler

SENDERS = 3
"""Number of nodes that may send to one cold worker, its senders; if one of them fails, the others still send."""

RATE_SHARE = 1 / 3
"""Share of a cold worker's rate that its senders use.

When up to three groups of nodes disagree about the membership, each group has senders of its own, and their sum still
stays within the rate.
"""

MAX_FIRST_PAUSE_US = 500 * units.MILLISECOND_US
"""Longest wait of a new sender before its first request; the wait is one send interval if that is shorter."""

READMITTED_ZONE_US = 3 * units.SECOND_US
"""Time for which all workers of a readmitted zone count as cold; after it, the worker list tells which are cold."""

SENDER_KEY_PREFIX = "cold-worker/"


class Fleet(typing.Protocol):
    """The part of the node's view of the fleet that is used here."""

    @property
    def workers(self) -> list[message.Worker]:
        """The workers of the last received worker list."""

    @property
    def workers_by_id(self) -> dict[str, message.Worker]:
        """The listed workers, by id."""

    @property
    def membership(self) -> message.Membership:
        """The newest known membership."""

    def accepts_requests(self, worker: str) -> bool:
        """Whether a worker, cold or not, accepts new requests."""


class Candidates(typing.NamedTuple):
    """The workers of a pool to which this node may send a request now."""

    ready: list[str]
    cold: frozenset[str]  # the cold ones among the ready workers


@dataclasses.dataclass(slots=True)
class SendSchedule:
    """The send schedule of this node for one cold worker of which it is a sender."""

    interval_us: int
    next_send_at_us: int


def sender_names(worker: message.Worker, members: collections.abc.Iterable[message.Member]) -> list[str]:
    """Return the names of a cold worker's senders; nodes that know the same members compute the same names.

    The senders are nodes of the worker's zone, if it has any, so that in a network partition each side has senders
    for its own workers. Ranking uses names instead of ids because a restarted node keeps its name.

    >>> members = [message.Member(f"{name}-7", name, zone, "h", 1, 2) for name, zone in ("az", "bz", "cz", "dz", "ey")]
    >>> sender_names(message.ZonedWorker("w1", "h", 1, "p", "ready", zone="y"), members)
    ['e']
    >>> len(sender_names(message.Worker("w1", "h", 1, "p", "ready"), members))
    3
    """
    by_zone = {member.name: member.zone for member in members}
    near = [name for name, zone in by_zone.items() if zone == worker.zone] or list(by_zone)
    key = SENDER_KEY_PREFIX + worker.id
    return sorted(near, key=lambda name: assignments.rendezvous_weight(key, name), reverse=True)[:SENDERS]


def send_interval_us(cold_rate: float, senders: int) -> int:
    """Return the interval that each sender leaves between two requests to a worker with this cold rate per second.

    >>> send_interval_us(16.0, 3)
    562500
    """
    return int(senders * units.SECOND_US / (cold_rate * RATE_SHARE))


class ColdWorkers:
    """One node's record of the cold workers, and of when it may send to each.

    A worker counts as cold while the worker list says so, and while its whole zone counts as cold. Cold workers of a
    pool whose configuration sets no cold rate have no limit.

    Args:
        runtime: The source of the time.
        name: The node's name.
        fleet: The node's view of the fleet.
    """

    def __init__(self, runtime: scheduler.Runtime, name: str, fleet: Fleet) -> None:
        self.runtime = runtime
        self.name = name
        self.fleet = fleet
        self.sent = 0  # requests sent to cold workers
        # times that a cold worker was no candidate for a request, or that a request to it was stopped before the send
        self.held_back = 0
        self._cold_zones: dict[str, int] = {}  # zone -> until when all its workers count as cold
        self._schedules: dict[str, SendSchedule] = {}  # by cold worker of which this node is a sender
        self._members: list[message.Member] = []  # the members from which _senders was computed
        self._senders: dict[str, list[str]] = {}  # names of the senders, by worker

    def zone_readmitted(self, zone: str) -> None:
        """Treat a zone whose evacuation has ended as cold until the worker list can tell which of its workers are."""
        self.treat_zone_as_cold(zone, self.runtime.now() + READMITTED_ZONE_US)

    def treat_zone_as_cold(self, zone: str, until_us: int) -> None:
        """Treat all workers of a zone as cold until a time, even if they are not listed as cold.

        This is for a zone whose workers may have become cold before the worker list can tell. An earlier call with a
        later time stays in force.
        """
        self._cold_zones[zone] = max(until_us, self._cold_zones.get(zone, 0))

    def is_cold(self, worker: message.Worker) -> bool:
        """Whether a worker counts as cold now."""
        if worker.cold or not self._cold_zones:
            return worker.cold
        return self.runtime.now() < self._cold_zones.get(worker.zone, 0)

    def candidates(self, pool_name: str, pool: configuration.Pool) -> Candidates:
        """Return the ready workers of a pool, without the cold ones to which this node may not send now."""
        ready = [
            worker
            for worker in self.fleet.workers
            if worker.pool == pool_name and self.fleet.accepts_requests(worker.id)
        ]
        cold = [worker for worker in ready if self.is_cold(worker)] if pool.cold_rate > 0 else []
        if not cold:
            return Candidates([worker.id for worker in ready], frozenset())
        held_back = {worker.id for worker in cold if not self._may_send(worker, pool)}
        self.held_back += len(held_back)
        usable = frozenset(worker.id for worker in cold) - held_back
        return Candidates([worker.id for worker in ready if worker.id not in held_back], usable)

    def start_send(self, worker: message.Worker, pool: configuration.Pool) -> bool:
        """Record the send of a request; returns False if the worker is cold and the request must not be sent now.

        The caller must send at once after True, without waiting for anything in between.
        """
        if pool.cold_rate <= 0 or not self.is_cold(worker):
            return True
        if not self._may_send(worker, pool):
            self.held_back += 1
            return False
        schedule = self._schedules[worker.id]
        schedule.next_send_at_us = self.runtime.now() + schedule.interval_us
        self.sent += 1
        return True

    def _may_send(self, worker: message.Worker, pool: configuration.Pool) -> bool:
        """Whether this node is a sender of a cold worker and the interval since its last send is over."""
        senders = self._senders_of(worker)
        if self.name not in senders:
            self._schedules.pop(worker.id, None)
            return False
        now = self.runtime.now()
        interval_us = send_interval_us(pool.cold_rate, len(senders))
        schedule = self._schedules.get(worker.id)
        if schedule is None:
            # The former sender, or this node before its restart, may have sent a request just now.
            first_at_us = now + min(interval_us, MAX_FIRST_PAUSE_US)
            schedule = self._schedules[worker.id] = SendSchedule(interval_us, first_at_us)
        schedule.interval_us = interval_us
        return now >= schedule.next_send_at_us

    def _senders_of(self, worker: message.Worker) -> list[str]:
        members = self.fleet.membership.members
        if members is not self._members:
            self._members = members
            self._senders.clear()
        senders = self._senders.get(worker.id)
        if senders is None:
            senders = self._senders[worker.id] = sender_names(worker, members)
        return senders

    def sweep(self) -> None:
        """Forget workers that are no longer cold, and zones that no longer count as cold."""
        now = self.runtime.now()
        self._cold_zones = {zone: until_us for zone, until_us in self._cold_zones.items() if now < until_us}
        cold = {worker.id for worker in self.fleet.workers if self.is_cold(worker)}
        self._schedules = {worker: schedule for worker, schedule in self._schedules.items() if worker in cold}
        self._senders = {worker: names for worker, names in self._senders.items() if worker in cold}

    def state(self) -> dict[str, typing.Any]:
        """Return the entry for the node's state: for each cold worker whether this node is its sender, and counts."""
        cold = [worker for worker in self.fleet.workers if self.is_cold(worker)]
        return {
            "workers": {worker.id: self.name in self._senders_of(worker) for worker in cold},
            "sent": self.sent,
            "held_back": self.held_back,
        }
