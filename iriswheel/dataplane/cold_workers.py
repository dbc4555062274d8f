"""Which requests may go to a cold worker: a bound over all nodes together that needs no message per request.

A worker that has just started bears a small rate of requests, and all nodes select for themselves: each of them
would find it idle and send to it at once. So a few nodes alone, which all nodes work out alike, send to a cold worker,
and each of them leaves a pause between two requests, so that all together stay below the rate that it bears.
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
"""Nodes that send to one cold worker: where one is lost, the others go on."""

RATE_SHARE = 1 / 3
"""The part of a cold worker's rate that its senders use: three groups of nodes may disagree about the members."""

MAX_FIRST_PAUSE_US = 500 * units.MILLISECOND_US
"""A new sender waits one pause, and no longer than this, before its first request."""

READMITTED_ZONE_US = 3 * units.SECOND_US
"""How long a readmitted zone's workers count as cold: by then the list says which of them are."""

SENDER_KEY_PREFIX = "cold-worker/"


class Fleet(typing.Protocol):
    """What is used of what the node knows of the fleet."""

    @property
    def workers(self) -> list[message.Worker]:
        """The workers as they were last listed."""

    @property
    def workers_by_id(self) -> dict[str, message.Worker]:
        """The listed workers, by id."""

    @property
    def membership(self) -> message.Membership:
        """The newest membership."""

    def accepts_requests(self, worker: str) -> bool:
        """Whether new requests may go to a worker at all."""


class Candidates(typing.NamedTuple):
    """The workers of a pool that a request may be sent to from this node now."""

    ready: list[str]
    cold: frozenset[str]  # those of them that are cold


@dataclasses.dataclass(slots=True)
class SendSchedule:
    """When this node, a sender of a cold worker, may send to it next."""

    interval_us: int
    next_send_at_us: int


def sender_names(worker: message.Worker, members: collections.abc.Iterable[message.Member]) -> list[str]:
    """The names of the nodes that may send to a worker while it is cold; the same on all that have the same members.

    They are of the worker's zone where that has any, so that both sides of a cut have senders for their own workers.
    Names and not ids are ranked, as a node that starts anew keeps its name.

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
    """The pause that each of the senders leaves between two requests to a worker that bears a rate while it is cold.

    >>> send_interval_us(16.0, 3)
    562500
    """
    return int(senders * units.SECOND_US / (cold_rate * RATE_SHARE))


class ColdWorkers:
    """The cold workers as one node knows them, and when it may send to each.

    A worker is cold while the list says so, and while its zone counts as cold. Pools that don't say what a cold worker
    bears have no bound.

    Args:
        runtime: For the time.
        name: The node's name.
        fleet: What the node knows of the fleet.
    """

    def __init__(self, runtime: scheduler.Runtime, name: str, fleet: Fleet) -> None:
        self.runtime = runtime
        self.name = name
        self.fleet = fleet
        self.sent = 0  # requests that went to a cold worker
        self.held_back = 0  # times that a cold worker was no candidate, or its request was not sent after all
        self._cold_zones: dict[str, int] = {}  # zone -> until when all its workers count as cold
        self._schedules: dict[str, SendSchedule] = {}  # by worker that is cold and has this node for a sender
        self._members: list[message.Member] = []  # by whom the senders were ranked
        self._senders: dict[str, list[str]] = {}  # by worker

    def zone_readmitted(self, zone: str) -> None:
        """Count the workers of a zone that is evacuated no more as cold until the list can say which of them are."""
        self.treat_zone_as_cold(zone, self.runtime.now() + READMITTED_ZONE_US)

    def treat_zone_as_cold(self, zone: str, until_us: int) -> None:
        """Count all workers of a zone as cold for a while, whatever the list says.

        For a zone whose workers may have become cold when the list can't say so yet.
        """
        self._cold_zones[zone] = max(until_us, self._cold_zones.get(zone, 0))

    def is_cold(self, worker: message.Worker) -> bool:
        """Whether a worker counts as cold now."""
        if worker.cold or not self._cold_zones:
            return worker.cold
        return self.runtime.now() < self._cold_zones.get(worker.zone, 0)

    def candidates(self, pool_name: str, pool: configuration.Pool) -> Candidates:
        """The ready workers of a pool, without the cold ones to which this node may not send now."""
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
        """Note a request that is sent to a worker now; False, and it must not be sent, where that is cold and not due.

        Call this where nothing can come between it and the send.
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
        """Whether this node is a sender of a cold worker, and its pause is over."""
        senders = self._senders_of(worker)
        if self.name not in senders:
            self._schedules.pop(worker.id, None)
            return False
        now = self.runtime.now()
        interval_us = send_interval_us(pool.cold_rate, len(senders))
        schedule = self._schedules.get(worker.id)
        if schedule is None:
            # Whoever was a sender before may have sent just now.
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
        """Forget workers that are listed as cold no more, and zones whose time is over."""
        now = self.runtime.now()
        self._cold_zones = {zone: until_us for zone, until_us in self._cold_zones.items() if now < until_us}
        cold = {worker.id for worker in self.fleet.workers if self.is_cold(worker)}
        self._schedules = {worker: schedule for worker, schedule in self._schedules.items() if worker in cold}
        self._senders = {worker: names for worker, names in self._senders.items() if worker in cold}

    def state(self) -> dict[str, typing.Any]:
        """What the node's state shows: each cold worker with whether this node sends to it, and counts."""
        cold = [worker for worker in self.fleet.workers if self.is_cold(worker)]
        return {
            "workers": {worker.id: self.name in self._senders_of(worker) for worker in cold},
            "sent": self.sent,
            "held_back": self.held_back,
        }
