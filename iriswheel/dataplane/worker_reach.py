"""Which workers a node gets connections to: those out of its reach get no request as long as others are within it.

Where zones are cut off from each other, a node may reach a small part of the workers. Each request that tried a worker
out of reach would wait for a connection, or be refused after a few of them though others could serve it. So no request
is used to find out whether a worker is back within reach: this is tried beside them.
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
"""One worker of each zone that has some out of reach is tried again after so long."""

RECENT_CONTACT_US = 300 * units.MILLISECOND_US
"""A zone of which a worker was heard within this is not cut off."""

log = loguru.logger.bind(part="worker_reach")


class Fleet(typing.Protocol):
    """What is used of what the node knows of the fleet."""

    @property
    def workers(self) -> list[message.Worker]:
        """The workers as they were last listed."""

    @property
    def workers_by_id(self) -> dict[str, message.Worker]:
        """The listed workers, by id."""


class WorkerReach:
    """One node's record of the workers that are out of its reach.

    Args:
        runtime: For the time, tasks and random numbers.
        fleet: What the node knows of the fleet.
        connections: The node's connections to workers.
        last_contact_us: When a worker last said anything to this node.
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
        self.unreached: dict[str, None] = {}  # workers to which no connection could be had, the latest tried last
        self.hidden_zones: set[str] = set()  # of which no worker was heard when one was out of reach
        # called with a worker that is within reach again
        self.on_back: collections.abc.Callable[[message.Worker], object] = lambda _worker: None
        self._checks: set[str] = set()  # workers to which a connection is being tried beside requests
        self._retried_at_us = 0
        connections.on_connected = self.note_reached

    def within_reach(self, workers: list[str]) -> list[str]:
        """Those of some workers that are within reach; all of them where that would leave none."""
        if not self.unreached and not self.hidden_zones:
            return workers
        reached = [worker for worker in workers if not self._is_out_of_reach(worker)]
        return reached or workers

    def note_reached(self, worker: str) -> None:
        """Note that a connection to a worker was made."""
        listed = self.fleet.workers_by_id.get(worker)
        if listed is None:
            return
        self.hidden_zones.discard(listed.zone)
        if worker in self.unreached:
            del self.unreached[worker]
            self.on_back(listed)

    def note_unreached(self, worker: message.Worker) -> None:
        """Note that no connection to a worker could be had; perhaps its whole zone is out of reach."""
        self.unreached.pop(worker.id, None)
        self.unreached[worker.id] = None
        if not worker.zone or worker.zone in self.hidden_zones or self._heard_of_zone(worker.zone):
            return
        self.hidden_zones.add(worker.zone)
        others = [other for other in self.fleet.workers if other.zone == worker.zone and other.id not in self.unreached]
        if others:
            self.check(self.runtime.rng.choice(others))
        log.info("Zone {zone} may be out of reach: no connection to {worker}.", zone=worker.zone, worker=worker.id)

    def note_silent(self, worker: str) -> None:
        """Note that a worker is silent: where all of its zone is, find out whether it is still within reach."""
        listed = self.fleet.workers_by_id.get(worker)
        if listed is not None and not self._heard_of_zone(listed.zone):
            self.check(listed)

    def check(self, worker: message.Worker) -> None:
        """Try a connection to a worker beside the requests; one that is had is kept for them."""
        if worker.id not in self._checks:
            self._checks.add(worker.id)
            self.runtime.spawn(self._try_connection(worker), log)

    def retry(self) -> None:
        """Each RETRY_US, try one worker of each zone that has some out of reach; forget those listed no more."""
        now = self.runtime.now()
        if now - self._retried_at_us < RETRY_US:
            return
        self._retried_at_us = now
        self.unreached = {worker: None for worker in self.unreached if worker in self.fleet.workers_by_id}
        self.hidden_zones &= {worker.zone for worker in self.fleet.workers}
        longest_ago: dict[str, message.Worker] = {}
        for worker in self.unreached:
            listed = self.fleet.workers_by_id[worker]
            longest_ago.setdefault(listed.zone, listed)
        for listed in longest_ago.values():
            self.check(listed)

    def _is_out_of_reach(self, worker: str) -> bool:
        if worker in self.unreached:
            return True
        listed = self.fleet.workers_by_id.get(worker)
        return listed is not None and listed.zone in self.hidden_zones

    def _heard_of_zone(self, zone: str) -> bool:
        since_us = self.runtime.now() - RECENT_CONTACT_US
        return any(worker.zone == zone and self.last_contact_us(worker) > since_us for worker in self.fleet.workers)

    async def _try_connection(self, worker: message.Worker) -> None:
        try:
            connection = await self.connections.connect(worker)
        except worker_connections.UnreachableError:
            self.note_unreached(worker)
            return
        finally:
            self._checks.discard(worker.id)
        connection.release()
        self._check_zone(worker.zone)

    def _check_zone(self, zone: str) -> None:
        """Try the other workers of a zone that were out of reach: one of them is back."""
        for other in list(self.unreached):
            listed = self.fleet.workers_by_id.get(other)
            if listed is not None and listed.zone == zone:
                self.check(listed)
