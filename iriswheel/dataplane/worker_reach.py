"""Which workers a node can connect to: unreachable workers get no requests as long as any other worker is reachable.

When the network between zones is partitioned, a node may reach only a small part of the workers. A request sent to an
unreachable worker would wait for a connection, and after a few such attempts it would be refused although a reachable
worker could serve it. So no request is used to find out whether a worker is reachable again: the node tries
connections in the background.

This record serves pools whose workers the node itself selects; `health` keeps that for the other pools.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.dataplane import worker_connections
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler

RETRY_US = 1 * units.SECOND_US
"""Interval of the background attempts to connect to one unreachable worker of each zone."""

RECENT_CONTACT_US = 300 * units.MILLISECOND_US
"""A zone does not count as unreachable if one of its workers sent anything to this node within this time."""

log = loguru.logger.bind(part="worker_reach")


class Fleet(typing.Protocol):
    """The part of the node's view of the fleet that is used here."""

    @property
    def workers(self) -> list[message.Worker]:
        """The workers of the last received worker list."""

    @property
    def workers_by_id(self) -> dict[str, message.Worker]:
        """The listed workers, by id."""


class WorkerReach:
    """One node's record of the workers and zones that it cannot reach.

    Args:
        runtime: The source of time, tasks and random numbers.
        fleet: The node's view of the fleet.
        connections: The node's connections to workers.
        last_contact_us: Returns when this node last received anything from a worker.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        fleet: Fleet,
        connections: worker_connections.ConnectionPool,
        last_contact_us: collections.abc.Callable[[message.Worker], int],
    ) -> None:
        self.runtime = runtime
        self.fleet = fleet
        self.connections = connections
        self.last_contact_us = last_contact_us
        # workers to which connecting failed, the most recently tried last
        self.unreachable_workers: dict[str, None] = {}
        self.unreachable_zones: set[str] = set()  # zones with an unreachable worker and no recent contact to any other
        # called with a worker that is reachable again
        self.on_reachable_again: collections.abc.Callable[[message.Worker], object] = lambda _worker: None
        self._checks: set[str] = set()  # workers to which a connection is being tried in the background
        self._retried_at_us = 0
        connections.on_connected = self.note_reachable

    def reachable(self, workers: list[str]) -> list[str]:
        """Return the reachable ones of some workers, or all of them if none is reachable."""
        if not self.unreachable_workers and not self.unreachable_zones:
            return workers
        reached = [worker for worker in workers if not self._is_unreachable(worker)]
        return reached or workers

    def note_reachable(self, worker: str) -> None:
        """Note that a connection to a worker was made: neither the worker nor its zone is unreachable."""
        listed = self.fleet.workers_by_id.get(worker)
        if listed is None:
            return
        self.unreachable_zones.discard(listed.zone)
        if worker in self.unreachable_workers:
            del self.unreachable_workers[worker]
            self.on_reachable_again(listed)

    def note_unreachable(self, worker: message.Worker) -> None:
        """Note that connecting to a worker failed.

        If no worker of its zone sent anything recently, the whole zone counts as unreachable until a connection to one
        of its workers is made, and a connection to another of them is tried at once.
        """
        self.unreachable_workers.pop(worker.id, None)
        self.unreachable_workers[worker.id] = None
        if not worker.zone or worker.zone in self.unreachable_zones or self._has_recent_contact_with_zone(worker.zone):
            return
        self.unreachable_zones.add(worker.zone)
        others = [
            other
            for other in self.fleet.workers
            if other.zone == worker.zone and other.id not in self.unreachable_workers
        ]
        if others:
            self.check(self.runtime.rng.choice(others))
        log.info(
            "No connection to worker {worker} could be made; zone {zone} is silent and counts as unreachable.",
            zone=worker.zone,
            worker=worker.id,
        )

    def note_silent(self, worker: str) -> None:
        """Note that a worker is silent; if its whole zone is silent, check whether the worker is still reachable."""
        listed = self.fleet.workers_by_id.get(worker)
        if listed is not None and not self._has_recent_contact_with_zone(listed.zone):
            self.check(listed)

    def check(self, worker: message.Worker) -> None:
        """Try to connect to a worker in the background; a connection that is made is kept for requests."""
        if worker.id not in self._checks:
            self._checks.add(worker.id)
            self.runtime.spawn(self._try_connection(worker), log)

    def retry(self) -> None:
        """Every RETRY_US, check the unreachable worker of each zone that was tried least recently.

        Workers and zones that are no longer listed are forgotten.
        """
        now = self.runtime.now()
        if now - self._retried_at_us < RETRY_US:
            return
        self._retried_at_us = now
        self.unreachable_workers = {
            worker: None for worker in self.unreachable_workers if worker in self.fleet.workers_by_id
        }
        self.unreachable_zones &= {worker.zone for worker in self.fleet.workers}
        least_recently_tried: dict[str, message.Worker] = {}
        for worker in self.unreachable_workers:
            listed = self.fleet.workers_by_id[worker]
            least_recently_tried.setdefault(listed.zone, listed)
        for listed in least_recently_tried.values():
            self.check(listed)

    def _is_unreachable(self, worker: str) -> bool:
        if worker in self.unreachable_workers:
            return True
        listed = self.fleet.workers_by_id.get(worker)
        return listed is not None and listed.zone in self.unreachable_zones

    def _has_recent_contact_with_zone(self, zone: str) -> bool:
        since_us = self.runtime.now() - RECENT_CONTACT_US
        return any(worker.zone == zone and self.last_contact_us(worker) > since_us for worker in self.fleet.workers)

    async def _try_connection(self, worker: message.Worker) -> None:
        try:
            connection = await self.connections.connect(worker)
        except worker_connections.UnreachableError:
            self.note_unreachable(worker)
            return
        finally:
            self._checks.discard(worker.id)
        connection.release()
        self._check_zone(worker.zone)

    def _check_zone(self, zone: str) -> None:
        """Check the unreachable workers of a zone, one of whose workers has just become reachable."""
        for other in list(self.unreachable_workers):
            listed = self.fleet.workers_by_id.get(other)
            if listed is not None and listed.zone == zone:
                self.check(listed)
