"""View consensus on one core machine: agreement on who votes, and on the order of the replicas in the chain.

View v+1 is agreed by a majority of the voters of view v, by one decision of single-decree Paxos per view number.
Promises and acceptances are synced to disk before they are answered. A promise seals view v on the machine that gave
it: from then on, that machine acknowledges nothing in view v. A voter that has granted the tail's read lease promises
to no other machine until the grant expires.

This module composes the parts: acceptor, heartbeats, the tail's lease and the proposer.
"""

from __future__ import annotations

import collections.abc
import typing

from iriswheel.consensus import (
    acceptor,
    decisions,
    departure,
    peer_heartbeats,
    tail_lease,
    timing,
    view_change,
    voter_calls,
)
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler, storage
    from iriswheel.transport import peer_calls

DEFAULT_VOTER_COUNT = 3
DEFAULT_COPIES = 2

ConsensusRequest: typing.TypeAlias = message.Heartbeat | message.FirstStart | acceptor.VoterRequest
ConsensusResponse: typing.TypeAlias = message.Heartbeat | acceptor.VoterResponse


class ViewConsensus:
    """View consensus on one core machine: the interface for the rest of the process.

    Args:
        runtime: Clock, tasks and randomness.
        disk: The disk to which the acceptor's record is synced.
        record: The acceptor's record that the disk held when the process started.
        own_voter: Identity and address of this machine.
        seeds: Addresses of the machines of view 1, of which the first makes that view; empty on a machine that joins an
            existing fleet.
        peers: Makes calls to other core machines.
        on_view: Called with each view that is adopted here.
        voter_count: Number of voters up to which newcomers are added.
        copies: Number of synced copies that a change needs before it is acknowledged.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        disk: storage.MonitoredDisk,
        record: decisions.Record,
        own_voter: message.Voter,
        *,
        seeds: collections.abc.Sequence[peer_heartbeats.Address],
        peers: peer_calls.PeerCalls,
        on_view: collections.abc.Callable[[message.View], object],
        voter_count: int = DEFAULT_VOTER_COUNT,
        copies: int = DEFAULT_COPIES,
    ) -> None:
        self.runtime = runtime
        self.own_voter = own_voter
        self.required_copies = copies
        self.last_entry: collections.abc.Callable[[], decisions.LastEntry] = lambda: decisions.NO_ENTRY
        """Returns the newest log entry of this machine's copy; set by the component that owns the log."""
        self.started_at_us = runtime.now()
        self.acceptor = acceptor.Acceptor(
            runtime, disk, record, own_voter, on_view=on_view, last_entry=self._last_entry
        )
        self.peer_heartbeats = peer_heartbeats.PeerHeartbeats(runtime, peers, self.acceptor, seeds)
        self.calls = voter_calls.VoterCalls(runtime, peers, self.acceptor, self.peer_heartbeats)
        self.tail_lease = tail_lease.TailLease(runtime, self.acceptor, self.calls)
        self.view_change = view_change.ViewChange(
            runtime, self.acceptor, self.peer_heartbeats, self.calls, initial_addresses=seeds, voter_count=voter_count
        )
        self.acceptor.seen_incarnation = self.peer_heartbeats.seen_incarnation
        self.acceptor.on_synced = self.tail_lease.renew_now.wake
        self.acceptor.on_seal = self.tail_lease.revoke
        self.acceptor.on_adopt = self.view_change.reset

    def _last_entry(self) -> decisions.LastEntry:
        return self.last_entry()

    # ---- the view ------------------------------------------------------------

    @property
    def view(self) -> message.View | None:
        """The newest view that this machine knows; None before it knows any."""
        return self.acceptor.record.view

    @property
    def record(self) -> decisions.Record:
        """The record of this machine's acceptor."""
        return self.acceptor.record

    @property
    def previous_chain(self) -> list[decisions.ReplicaIncarnation] | None:
        """The chain of the view before the newest one; empty in view 1, None if this machine does not know it."""
        return self.acceptor.previous_chain

    def is_sealed(self) -> bool:
        """Whether a promise or an acceptance of this machine has closed the newest view."""
        return self.acceptor.is_sealed()

    def is_voter(self) -> bool:
        """Whether this machine votes in the newest view."""
        return self.acceptor.is_voter()

    def is_replica(self) -> bool:
        """Whether this incarnation is a replica of the newest view's chain, whether or not the view is sealed here."""
        return decisions.is_replica(self.record, self.own_voter.id, self.runtime.incarnation)

    def is_serving(self, number: int | None = None) -> bool:
        """Whether this incarnation is a replica of the newest view's chain, and the view is not sealed here.

        Args:
            number: If given, the result is False unless the newest view has this number.
        """
        if number is not None and (self.view is None or number != self.view.number):
            return False
        return self.acceptor.is_serving()

    def is_tail(self) -> bool:
        """Whether this incarnation serves as the tail of the newest view's chain."""
        return self.acceptor.is_tail()

    def holds_lease(self) -> bool:
        """Whether this machine is the synced tail and holds the read lease now."""
        return self.tail_lease.is_held()

    def is_cut_off(self) -> bool:
        """Whether this machine has lost contact with a majority of the voters, so that it can serve no change or read.

        False until PEER_TIMEOUT_US after the start, before the other machines have had time to be heard.
        """
        view = self.view
        has_listened = self.runtime.now() - self.started_at_us >= timing.PEER_TIMEOUT_US
        return view is not None and has_listened and not self.peer_heartbeats.hears_majority(view)

    def voter(self, identifier: str) -> message.Voter | None:
        """The voter of the newest view that has an id; None if no voter has it."""
        voters = self.view.voters if self.view is not None else []
        return next((voter for voter in voters if voter.id == identifier), None)

    # ---- messages ------------------------------------------------------------

    async def answer(self, request: ConsensusRequest) -> ConsensusResponse:
        """Answer a message of view consensus from another core machine."""
        if isinstance(request, message.Heartbeat):
            self.peer_heartbeats.receive(request)
            return self.peer_heartbeats.own_heartbeat()
        if isinstance(request, message.FirstStart):
            self.view_change.learn_first_start(request.addresses)
            return self.peer_heartbeats.own_heartbeat()
        return await self.acceptor.answer(request)

    def receive_heartbeat(self, heartbeat: message.Heartbeat) -> None:
        """Keep another machine's heartbeat, and adopt the view in it if that is newer than the one known here."""
        self.peer_heartbeats.receive(heartbeat)

    async def adopt(self, view: message.View) -> None:
        """Adopt a view that was agreed, unless this machine already knows it or a newer one."""
        await self.acceptor.adopt(view)

    async def mark_synced(self, number: int) -> None:
        """Record on disk that this machine's copy is synced in a view.

        Raises:
            storage.DiskError: The disk refused the write; the copy does not count as synced.
        """
        await self.acceptor.mark_synced(number)

    # ---- peers and departure ---------------------------------------------------

    @property
    def heartbeats(self) -> dict[str, peer_heartbeats.ReceivedHeartbeat]:
        """The newest heartbeat of each other core machine, by machine id."""
        return self.peer_heartbeats.received

    @property
    def heartbeat_now(self) -> scheduler.Signal:
        """The signal that, when woken, makes the heartbeat tasks send at once, without waiting for their interval."""
        return self.peer_heartbeats.send_now

    def addresses(self) -> set[peer_heartbeats.Address]:
        """All addresses to which heartbeats are sent: those of seeds and voters, but not this machine's own."""
        return self.peer_heartbeats.addresses()

    def addresses_heard(self) -> set[peer_heartbeats.Address]:
        """The result of `addresses`, with those of the live core machines that are not voters yet."""
        return self.peer_heartbeats.addresses_heard()

    def learn_seeds(self, seeds: collections.abc.Iterable[peer_heartbeats.Address]) -> None:
        """Send heartbeats to further addresses; the machines there do not count as machines of view 1."""
        self.peer_heartbeats.learn_seeds(seeds)

    def announce_departure(self) -> None:
        """Tell the other machines at once that this one is leaving, so that the next view has a chain without it."""
        self.peer_heartbeats.announce_departure()

    def is_still_needed(self) -> bool:
        """Whether this machine, which is leaving, must keep running, since the others can't continue without it yet."""
        return departure.is_still_needed(self.acceptor, self.peer_heartbeats)

    def holds_only_copy(self) -> bool:
        """Whether this copy is synced and, as far as this machine has heard, no other live replica's copy is."""
        return departure.holds_only_copy(self.acceptor, self.peer_heartbeats)

    # ---- tasks -----------------------------------------------------------------

    async def exchange_heartbeats(self) -> None:
        """Send heartbeats to all core machines; never returns."""
        await self.peer_heartbeats.exchange()

    async def renew_lease(self) -> None:
        """Renew the read lease while this machine is the tail; never returns."""
        await self.tail_lease.keep_renewed()

    async def keep_view_current(self) -> None:
        """Propose the next view whenever a change is due; never returns."""
        await self.view_change.keep_view_current()
