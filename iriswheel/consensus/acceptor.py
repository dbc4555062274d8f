"""The acceptor of view consensus: it answers proposals and lease requests, and keeps its record on disk.

The decisions are the pure functions of `iriswheel.consensus.decisions`. This module adds the disk and the clock: it
changes the record under a lock, one change at a time, and syncs each changed record to disk before it sends the
answer.
"""

from __future__ import annotations

import typing

import loguru
import msgspec
from twisted.internet import defer

from iriswheel.consensus import decisions, timing
from iriswheel.runtime import storage
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.runtime import scheduler

RECORD_KEY = b"council"

VoterRequest: typing.TypeAlias = message.Prepare | message.Accept | message.Decided | message.LeaseRequest
VoterResponse: typing.TypeAlias = message.Promise | message.Accepted | message.LeaseResponse

log = loguru.logger.bind(part="view")


class LeaseGrant(typing.NamedTuple):
    """A read lease that this voter has granted."""

    holder: str  # id of the machine that holds the lease, or UNKNOWN_HOLDER
    expires_at_us: int  # on this voter's own clock


class Acceptor:
    """One voter's record of views and ballots; only this class changes its promises, acceptances and lease grants.

    Args:
        runtime: Clock and tasks.
        disk: The disk to which the record is synced.
        record: The record that the disk held when the process started.
        own_voter: Identity and address of this machine.
        on_view: Called with each view that is adopted here, after the disk has stored the view or refused the write.
        last_entry: Returns the newest log entry of this machine's copy; each promise carries it.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        disk: storage.MonitoredDisk,
        record: decisions.Record,
        own_voter: message.Voter,
        *,
        on_view: collections.abc.Callable[[message.View], object],
        last_entry: collections.abc.Callable[[], decisions.LastEntry],
    ) -> None:
        self.runtime = runtime
        self.disk = disk
        self.record = record
        self.own_voter = own_voter
        # called when the view is sealed or replaced here
        self.on_seal: collections.abc.Callable[[], None] = lambda: None
        # called when this copy may have become synced in the view
        self.on_synced: collections.abc.Callable[[], None] = lambda: None
        # called before a newer view is written to disk
        self.on_adopt: collections.abc.Callable[[], None] = lambda: None
        # returns the incarnation in which a machine (by id) was last heard since the start; None if it was not heard
        self.seen_incarnation: collections.abc.Callable[[str], str | None] = lambda _identifier: None
        self.previous_chain: list[decisions.ReplicaIncarnation] | None = None
        """The chain of the view before the newest one; empty in view 1, None if this machine does not know it."""
        self._on_view = on_view
        self._last_entry = last_entry
        self._lock = defer.DeferredLock()
        # grants are not on disk: one made before a restart may still run for up to LEASE_US
        self.lease_grant = LeaseGrant(decisions.UNKNOWN_HOLDER, runtime.now() + timing.LEASE_US)

    @property
    def view(self) -> message.View | None:
        """The newest view that this machine knows; None before it knows any."""
        return self.record.view

    def is_sealed(self) -> bool:
        """Whether a promise or an acceptance of this voter has closed the newest view."""
        return decisions.is_sealed(self.record)

    def is_voter(self) -> bool:
        """Whether this machine votes in the newest view."""
        return decisions.is_voter(self.record, self.own_voter.id)

    def is_synced(self) -> bool:
        """Whether this copy holds every change that was acknowledged before the newest view."""
        return decisions.is_synced(self.record)

    def is_serving(self) -> bool:
        """Whether this incarnation is a replica of the newest view's chain, and the view is not sealed here."""
        return decisions.is_serving(self.record, self.own_voter.id, self.runtime.incarnation)

    def is_tail(self) -> bool:
        """Whether this incarnation serves as the tail of the newest view's chain."""
        return decisions.is_tail(self.record, self.own_voter.id, self.runtime.incarnation)

    def may_request_read_lease(self) -> bool:
        """Whether this machine is the synced tail of the newest view: only that one may request the read lease."""
        return decisions.may_request_read_lease(self.record, self.own_voter.id, self.runtime.incarnation)

    async def answer(self, request: VoterRequest) -> VoterResponse:
        """Answer one request: from a proposer, or a LeaseRequest from a tail."""
        match request:
            case message.Prepare():
                return await self.promise(request)
            case message.Accept():
                return await self.accept(request)
            case message.Decided():
                await self.adopt(request.view)
                return message.Accepted(True, None)
            case message.LeaseRequest():
                return self.grant_lease(request)

    async def promise(self, request: message.Prepare) -> message.Promise:
        """Answer a Prepare; a promise is on disk before it is returned. If the disk fails, the answer is a refusal."""
        async with self._lock:
            record, answer = decisions.promise(self.record, self._replica(), self._lease_holder(), request)
            if not answer.ok:
                return answer
            before, self.record = self.record, record  # the view is sealed here as soon as the write starts
            self.on_seal()
            try:
                await self._sync()
            except storage.DiskError:
                self.record = before
                return decisions.refuse_promise(before, self._replica(), request.number)
            return answer

    async def accept(self, request: message.Accept) -> message.Accepted:
        """Answer an Accept; an acceptance is on disk before it is returned. If the disk fails, the answer is no."""
        async with self._lock:
            record, answer = decisions.accept(self.record, self.own_voter.id, request)
            if not answer.ok:
                return answer
            before, self.record = self.record, record
            try:
                await self._sync()
            except storage.DiskError:
                self.record = before
                return message.Accepted(False, None)
            return answer

    async def adopt(self, view: message.View) -> None:
        """Adopt a view that was agreed, unless this machine already knows it or a newer one."""
        async with self._lock:
            before, previous_chain = self.record, self._chain_before(view)
            adopted = decisions.adopt(before, self.own_voter.id, view)
            if adopted is before:
                return
            # the view takes effect at once; this copy counts as synced in it only once the record is on disk
            self.record = msgspec.structs.replace(adopted, synced_view=before.synced_view)
            self.previous_chain = previous_chain
            self.on_seal()
            self.on_adopt()
            try:
                await self._sync(adopted.synced_view)
            except storage.DiskError:
                # an agreed view may be used although it is not on disk, but this copy must not count as synced in
                # it; the head is synced by construction, so it retries the write
                if view.chain[0].id == self.own_voter.id:
                    self.runtime.spawn(self._retry_mark_synced(view), log)
            self._on_view(view)
            self.on_synced()
        chain = " ".join(replica.id for replica in view.chain)
        log.info("View {view} is adopted; its chain from head to tail is {chain}.", view=view.number, chain=chain)

    async def mark_synced(self, number: int) -> None:
        """Record on disk that this copy is synced in a view.

        Raises:
            storage.DiskError: The disk refused the write; this copy does not count as synced.
        """
        async with self._lock:
            synced = decisions.become_synced(self.record, number)
            if synced is not self.record:
                await self._sync(synced.synced_view)
                self.on_synced()

    def grant_lease(self, request: message.LeaseRequest) -> message.LeaseResponse:
        """Answer a LeaseRequest; until a grant expires, this voter promises only to the machine that holds it."""
        answer = decisions.grant_lease(self.record, self.own_voter.id, request)
        if answer.ok:
            self.lease_grant = LeaseGrant(request.tail, self.runtime.now() + timing.LEASE_US)
        return answer

    def _replica(self) -> decisions.Replica:
        return decisions.Replica(self.own_voter.id, self.runtime.incarnation, self.disk.ok, self._last_entry())

    def _lease_holder(self) -> str | None:
        holder, view = self.lease_grant.holder, self.record.view
        if self.runtime.now() >= self.lease_grant.expires_at_us:
            return None
        if view is not None and decisions.is_grant_void(self.record, holder, self._seen_incarnation(view.chain[-1].id)):
            return None
        return holder

    def _seen_incarnation(self, identifier: str) -> str | None:
        return self.runtime.incarnation if identifier == self.own_voter.id else self.seen_incarnation(identifier)

    def _chain_before(self, view: message.View) -> list[decisions.ReplicaIncarnation] | None:
        if view.number == 1:
            return []
        if self.view is None or self.view.number + 1 != view.number:
            return None
        return decisions.chain_incarnations(self.view)

    def _is_newest(self, view: message.View) -> bool:
        return self.view is not None and self.view.number == view.number

    async def _retry_mark_synced(self, view: message.View) -> None:
        """Retry recording that this copy is synced, as long as the view lasts.

        For the head of a view whose disk refused the write at its adoption.
        """
        while self._is_newest(view) and self.record.synced_view < view.number:
            await self.runtime.sleep(timing.LEASE_RENEWAL_INTERVAL_US)
            try:
                await self.mark_synced(view.number)
            except storage.DiskError:
                continue
        if self._is_newest(view):
            self._on_view(view)

    async def _sync(self, synced_view: int | None = None) -> None:
        """Write the record to disk; `synced_view` enters the record in memory only after the write has succeeded."""
        record = self.record if synced_view is None else msgspec.structs.replace(self.record, synced_view=synced_view)
        await self.disk.commit([(RECORD_KEY, msgspec.msgpack.encode(record))])
        self.record = msgspec.structs.replace(self.record, synced_view=record.synced_view)
