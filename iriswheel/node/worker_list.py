"""The workers as the platform last listed them, and which listing that was."""

from __future__ import annotations

from iriswheel.transport import message


class WorkerList:
    """A node's worker list, with the time until which streams may go on at workers that leave."""

    def __init__(self) -> None:
        self.workers: list[message.Worker] = []
        self.workers_by_id: dict[str, message.Worker] = {}  # by id
        self.updated_at: int | None = None  # when the list was last sent or confirmed, in µs
        self._drain_deadlines: dict[str, int] = {}  # worker that is not ready -> when its streams must have ended
        self._newest_version: message.ListingVersion = (0, 0, 0)  # of the newest listing, full or unchanged
        self._full_version: message.ListingVersion = (0, 0, 0)  # of the full listing that is known here

    def state(self, worker: str) -> str:
        """Return a worker's state, a `message.WorkerState`; one that is not listed is gone."""
        listed = self.workers_by_id.get(worker)
        return listed.state if listed is not None else message.WorkerState.GONE

    def drain_deadline_passed(self, worker: str, now: int) -> bool:
        """Whether a worker that leaves or is gone has had its time for streams under way."""
        return now > self._drain_deadlines.get(worker, now)

    def accept_listing(self, listing: message.WorkerListing) -> bool:
        """Note the version of a full listing; False where a newer one came before."""
        if listing.version < self._newest_version:
            return False
        self._newest_version = self._full_version = listing.version
        return True

    def accept_unchanged(self, unchanged: message.ListingUnchanged, now: int) -> bool:
        """Note that the list is unchanged since a full listing; False where that listing never came here."""
        if unchanged.unchanged_since != self._full_version:
            return self._full_version > unchanged.unchanged_since
        self._newest_version = max(self._newest_version, unchanged.version)
        self.updated_at = now
        return True

    def replace(self, workers: list[message.Worker], now: int) -> bool:
        """Take a list of all workers; whether it differs from the one before."""
        self.updated_at = now
        if workers == self.workers:
            return False
        before = self.workers_by_id
        self.workers = workers
        self.workers_by_id = {worker.id: worker for worker in workers}
        for identifier in sorted({*before, *self.workers_by_id}):
            if self.state(identifier) == message.WorkerState.READY:
                self._drain_deadlines.pop(identifier, None)
            else:
                worker = self.workers_by_id.get(identifier) or before[identifier]
                self._drain_deadlines.setdefault(identifier, now + worker.drain_us)
        return True
