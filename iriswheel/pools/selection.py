"""Selection of the worker for a request, by session affinity, free slots and expected load."""

from __future__ import annotations

import collections.abc
import typing

from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.pools import pool_records, worker_watch

PREFIX_PARTS_PER_WORKER = 256  # prefix parts remembered for each worker
REPORTED_REQUEST_COST = 100
"""Work units counted for each request that a worker reports beyond the grants of this pool owner."""

PREFIX_DISCOUNT = 0.8
"""Fraction of a request's work that is saved if the worker has its whole prefix in the prefix cache."""


class PrefixTable:
    """The prefix parts that each worker served most recently, and so probably has in its prefix cache.

    >>> table = PrefixTable(); table.remember("w1", ["system", "tools"])
    >>> table.matching_parts("w1", ["system", "other"]), table.matching_parts("w2", ["system"])
    (1, 0)
    """

    def __init__(self) -> None:
        self.parts: dict[str, dict[str, None]] = {}  # by worker; the most recently served part last

    def remember(self, worker: str, prefix: collections.abc.Iterable[str]) -> None:
        """Record the prefix parts of a request granted to a worker; the least recently served parts are evicted.

        >>> PrefixTable().remember("w1", ["system"])
        """
        known = self.parts.setdefault(worker, {})
        for part in prefix:
            known.pop(part, None)
            known[part] = None
        while len(known) > PREFIX_PARTS_PER_WORKER:
            del known[next(iter(known))]

    def matching_parts(self, worker: str, prefix: collections.abc.Iterable[str]) -> int:
        """Return how many leading parts of a prefix a worker has served recently.

        >>> PrefixTable().matching_parts("w1", ["system"])
        0
        """
        known = self.parts.get(worker, {})
        matching = 0
        for part in prefix:
            if part not in known:
                break
            matching += 1
        return matching


class SelectionRefusal(typing.NamedTuple):
    """The reason why no worker can be selected, even if the request waits for a free slot."""

    code: str
    text: str
    retry_us: int = units.SECOND_US


class WorkerSelector:
    """Selects workers by the pool's records, the loads that workers report, and the workers' health."""

    def __init__(self, pool: str, records: pool_records.PoolRecords, watch: worker_watch.WorkerWatch) -> None:
        self.pool = pool
        self.records = records
        self.watch = watch
        self.prefixes = PrefixTable()

    def score(self, worker: str, request: message.SelectWorker) -> float:
        """Return the load on a worker if it were given a request, in work units; the lowest score is the best.

        The score is the sum of the work of all granted requests in flight, the cost of the worker's open sessions, a
        flat cost for each further request that the worker reports, and the request's own work, less the discount for
        prefix parts that the worker has probably cached.
        """
        in_flight = self.records.load(worker)
        load = in_flight.work + self.records.session_table.load(worker)
        running, queued = self.watch.reported_loads.get(worker, (0, 0))
        load += max(0, running + queued - len(in_flight.grants)) * REPORTED_REQUEST_COST
        matching = self.prefixes.matching_parts(worker, request.prefix)
        return load + request.work * (1 - PREFIX_DISCOUNT * matching / max(1, len(request.prefix)))

    def has_slot(self, worker: str, long: bool, pool: configuration.Pool) -> bool:
        """Whether a worker has a free slot; a long prompt also needs one of the pool's `long_slots`."""
        in_flight = self.records.load(worker)
        return len(in_flight.grants) < pool.slots and (not long or in_flight.long_prompts < pool.long_slots)

    def pick(
        self,
        request: message.SelectWorker,
        pool: configuration.Pool,
        workers: collections.abc.Iterable[message.Worker],
        now: int,
    ) -> str | SelectionRefusal | None:
        """Choose the worker for a request.

        Args:
            request: The request.
            pool: The pool's configuration.
            workers: The listed workers of all pools that accept new requests.
            now: The present time, in µs.

        Returns:
            The worker's id, None if the request should wait for a slot, or why waiting would not help.
        """
        ready = [
            worker.id
            for worker in workers
            if worker.pool == self.pool
            and worker.state == message.WorkerState.READY
            and worker.id not in self.watch.ejected
        ]
        session = self.records.session_table.affinity(request.session)
        if session is not None and session.worker in ready:
            free = not session.pending and self.has_slot(session.worker, request.long, pool)
            return session.worker if free else None
        if not ready:
            return SelectionRefusal("no_worker", f"No worker of pool {self.pool} is ready.")
        ready = [worker for worker in ready if worker not in request.excluded_workers] or ready
        ready = [worker for worker in ready if not self.watch.is_suspect(worker)] or ready
        if request.session and pool.cap:
            table = self.records.session_table
            below_cap = [worker for worker in ready if table.count(worker) < pool.cap]
            if not below_cap:
                wait_us = max(units.SECOND_US, (table.earliest(ready) or now) - now)
                return SelectionRefusal("sessions_full", "Every worker is at its limit of open sessions.", wait_us)
            ready = below_cap
        with_slot = [worker for worker in ready if self.has_slot(worker, request.long, pool)]
        return min(with_slot, key=lambda worker: (self.score(worker, request), worker), default=None)
