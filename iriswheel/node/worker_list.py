"""The platform's newest worker list as a node knows it, and the version of its listing."""

from __future__ import annotations

from iriswheel.transport import message


class WorkerList:
    """A node's worker list, with the drain deadlines of workers that are leaving or gone."""

    def __init__(self) -> None:
        self.workers: list[message.Worker] = []
        self.workers_by_id: dict[str, message.Worker] = {}
        self.updated_at: int | None = None  # time (µs) when the list was last received or confirmed
        self._drain_deadlines: dict[str, int] = {}  # id of a worker that is not ready -> end of its streams (µs)
        self._newest_version: message.ListingVersion = (0, 0, 0)  # of the newest listing, full or confirmed
        self._full_version: message.ListingVersion = (0, 0, 0)  # of the newest full listing

    def state(self, worker: str) -> str:
        """Return a worker's state, a `message.WorkerState`; a worker that is not listed is GONE."""
        listed = self.workers_by_id.get(worker)
        return listed.state if listed is not None else message.WorkerState.GONE

    def drain_deadline_passed(self, worker: str, now: int) -> bool:
        """Whether the time that a leaving or gone worker has for its streams under way is over."""
        return now > self._drain_deadlines.get(worker, now)

    def accept_listing(self, listing: message.WorkerListing) -> bool:
        """Record the version of a full listing; return False if a newer listing was recorded before."""
        if listing.version < self._newest_version:
            return False
        self._newest_version = self._full_version = listing.version
        return True

    def accept_unchanged(self, unchanged: message.ListingUnchanged, now: int) -> bool:
        """Record that the list is unchanged since a full listing; return False if this node lacks that listing.

        A notice about an older full listing than this node's is ignored.
        """
        if unchanged.unchanged_since != self._full_version:
            return self._full_version > unchanged.unchanged_since
        self._newest_version = max(self._newest_version, unchanged.version)
        self.updated_at = now
        return True

    def replace(self, workers: list[message.Worker], now: int) -> bool:
        """Replace the list of all workers; return whether it changed."""
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
