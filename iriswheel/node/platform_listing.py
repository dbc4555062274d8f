"""Polls of the platform's worker list, and the distribution of the list to the core and the other nodes.

One node holds the role of polling the platform. Other nodes poll it only when they have had no
update of the worker list for a while.
"""

from __future__ import annotations

import typing

import loguru
from twisted.internet import defer

from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.node import follower
    from iriswheel.transport import wire

LISTING_ROLE = "list"
"""The key of the assignment of the role of polling the platform."""

RETRY_INTERVAL_US = 500 * units.MILLISECOND_US
"""The base of the random retry delay of a node without the role; the longest delay doubles with each failure in a row,
at most MAX_RETRY_DOUBLINGS times."""

MAX_RETRY_DOUBLINGS = 3
MAX_SPREAD_US = 4 * units.SECOND_US
"""The longest time over which nodes without a recent worker list spread their polls of the platform."""

PAGE_DEADLINE_US = 1 * units.SECOND_US
MAX_PAGES = 200
MAX_LIST_BYTES = 8 << 20  # of all pages of one list together
MAX_LISTED_WORKERS = 10_000

ANSWERS_TO_REMOVE_WORKER = 2  # answers in a row without a worker after which it is removed
ANSWERS_TO_REMOVE_ALL = 4  # answers in a row without any worker after which all are removed

log = loguru.logger.bind(part="platform_listing")


class PlatformListing:
    """One node's polls of the platform."""

    def __init__(self, follower: follower.Follower) -> None:
        self.follower = follower
        self.node = follower.node
        self.runtime = follower.runtime
        self.options = follower.options
        self.poll_now = scheduler.Signal()  # woken when this node gets its first configuration
        self.full_listing: message.WorkerListing | None = None  # last listing that was sent in full
        self._full_listing_connection: wire.Connection | None = None  # the session on which the core got it in full
        self._consecutive_misses: dict[str, int] = {}  # worker -> how many answers in a row did not list it
        self._listing_count = 0  # listings published by this node
        self._consecutive_failures = 0

    def confirm_removals(self, workers: list[message.Worker]) -> list[message.Worker]:
        """Return the platform's answer, plus the workers whose removal is not confirmed yet.

        A worker that the platform no longer lists is removed at the second such answer in a
        row, and all workers are removed at the fourth empty answer in a row, because one wrong
        answer must not empty the fleet.
        """
        listed = {worker.id for worker in workers}
        expected = [worker for worker in self.follower.workers if worker.state != message.WorkerState.GONE]
        missing = [worker for worker in expected if worker.id not in listed]
        self._consecutive_misses = {worker.id: self._consecutive_misses.get(worker.id, 0) + 1 for worker in missing}
        needed = ANSWERS_TO_REMOVE_WORKER if workers else ANSWERS_TO_REMOVE_ALL
        kept = [worker for worker in missing if self._consecutive_misses[worker.id] < needed]
        return sorted(workers + kept, key=lambda worker: worker.id)

    async def run(self) -> None:
        """Poll the platform while this node has the role or gets no updates of the worker list; one task.

        Many nodes would poll at once when the role's holder is lost. So each node without the
        role first waits for a random part of the time that polls by all members take at half of
        the platform's call rate, and the first one that gets the list sends it to the others.
        """
        while not self.node.stopped:
            address = self.options.platform_address()  # a reload of the options may have changed it
            assignment = self._own_assignment()
            if assignment is None and self.follower.lacks_worker_updates() and self.follower.membership.members:
                await self._wait_random_time()
            if assignment is not None or self.follower.lacks_worker_updates():
                workers = await self._list_or_wait(address, has_role=assignment is not None)
                if workers is None:
                    continue
                if assignment is not None:
                    self._publish(assignment, workers)
                else:
                    self._share_polled_workers(workers)
            await self.runtime.pause(self.poll_now, self.options.list_us)

    def _own_assignment(self) -> message.RoleAssignment | None:
        """Return the role's assignment if this node holds it and need not rejoin the core first; else None."""
        assignment = self.follower.assignment(LISTING_ROLE)
        mine = assignment is not None and assignment.holder == self.node.member.id and not self.follower.needs_rejoin()
        return assignment if mine else None

    async def _wait_random_time(self) -> None:
        members = len(self.follower.membership.members)
        spread_us = members * units.SECOND_US / (self.options.call_rate / 2)
        wait_us = self.runtime.rng.randrange(1 + int(min(spread_us, MAX_SPREAD_US)))
        await self.runtime.pause(self.poll_now, wait_us)

    async def _list_or_wait(self, address: tuple[str, int], has_role: bool) -> list[message.Worker] | None:
        """Return the list to use.

        When the poll fails, a node with the role returns the last list, and a node without it
        waits for a retry delay and returns None.
        """
        try:
            workers = self.confirm_removals(await self._fetch_all(*address))
        except defer.CancelledError:
            raise
        except Exception as error:  # on any fault of the platform the last list stays in use
            log.warning(
                "The platform's worker list could not be fetched; the last list stays in use: {error}", error=error
            )
            workers = self.follower.workers
            if not has_role:
                self._consecutive_failures += 1
                doublings = min(self._consecutive_failures, MAX_RETRY_DOUBLINGS)
                await self.runtime.sleep(
                    RETRY_INTERVAL_US // 4 + self.runtime.rng.randrange(RETRY_INTERVAL_US << doublings)
                )
                return None
        self._consecutive_failures = 0
        return workers

    async def _fetch_all(self, host: str, port: int) -> list[message.Worker]:
        """Return the platform's complete list, fetched page by page.

        Raises ValueError if the list has more than MAX_PAGES pages, MAX_LIST_BYTES or MAX_LISTED_WORKERS, and any error
        of the fetch.
        """
        workers: list[message.Worker] = []
        token = ""
        list_bytes = 0
        for _ in range(MAX_PAGES):
            raw = await self.node.dispatcher.fetch(
                host, port, self.node.edge_protocol.worker_list_path(token), PAGE_DEADLINE_US
            )
            page, token = self.node.edge_protocol.parse_worker_page(raw)
            workers += page
            list_bytes += len(raw)
            if list_bytes > MAX_LIST_BYTES or len(workers) > MAX_LISTED_WORKERS:
                raise ValueError("The platform's worker list is too large.")
            if not token:
                return sorted(workers, key=lambda worker: worker.id)
        raise ValueError("The platform's worker list has too many pages.")

    def _publish(self, assignment: message.RoleAssignment, workers: list[message.Worker]) -> None:
        """Send the full list to the core and the other nodes if it changed, otherwise a notice that it is unchanged."""
        self._listing_count += 1
        listing = message.WorkerListing(workers, (assignment.term[0], assignment.term[1], self._listing_count))
        last = self.full_listing
        changed = last is None or last.workers != workers or last.version[:2] != listing.version[:2]
        full_listing = listing if last is None or changed else last
        unchanged = message.ListingUnchanged(listing.version, full_listing.version)
        if changed:
            self.follower.apply_listing(listing)
        else:
            self.follower.apply_listing_unchanged(unchanged)
        self.full_listing = full_listing
        session = self.follower.session
        if changed or self._full_listing_connection is not session.connection:
            self._full_listing_connection = session.connection
            session.tell(full_listing)
        session.tell(unchanged)
        if changed:
            self._tell_peers(message.ForwardedListing(listing))
        elif not session.is_established():  # otherwise the core notifies the other nodes
            self._tell_peers(unchanged)

    def _share_polled_workers(self, workers: list[message.Worker]) -> None:
        self.follower.apply_workers(workers)
        self._tell_peers(message.PolledWorkers(workers))

    def _tell_peers(self, update: message.Message) -> None:
        for peer in self.follower.peers():
            self.runtime.spawn(self.node.peers.tell(peer.host, peer.port, update), log)
