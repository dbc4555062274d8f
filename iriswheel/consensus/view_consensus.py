"""One core machine's part in agreeing on the view: who votes, and in which order the replicas of the chain are.

View v+1 is agreed by a majority of the machines that vote in view v, one decision
per number, with promises and acceptances synced before they are answered. A promise
seals the old chain on the machine that gave it: from then on nothing of view v is
acknowledged there. A read lease of the tail holds promises to others back until it expires.

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

ConsensusRequest: typing.TypeAlias = message.Heartbeat | acceptor.VoterRequest
ConsensusResponse: typing.TypeAlias = message.Heartbeat | acceptor.VoterResponse


class ViewConsensus:
    """View consensus on one core machine, as the rest of the process uses it.

    Args:
        runtime: Clock, tasks and randomness.
        disk: Where the acceptor's record is synced.
        record: What the disk held of it at the start.
        own_voter: Identity and address of this machine.
        seeds: Addresses of the machines of view 1, the first of which makes it; none where another fleet is joined.
        peers: Calls to other core machines.
        on_view: Called with each view that is adopted here.
        voter_count: How many machines vote once so many are there.
        copies: How many synced copies there must be of a change before it is acknowledged.
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
        """Gives the newest log entry here; set by the owner of the log."""
        self.started_at = runtime.now()
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
        """The newest view known here."""
        return self.acceptor.record.view

    @property
    def record(self) -> decisions.Record:
        """The acceptor's record."""
        return self.acceptor.record

    @property
    def previous_chain(self) -> list[decisions.ReplicaIncarnation] | None:
        """The chain of the view before the newest one; empty before view 1, None where it is not known here."""
        return self.acceptor.previous_chain

    def is_sealed(self) -> bool:
        """Whether a promise here has closed the newest view."""
        return self.acceptor.is_sealed()

    def is_voter(self) -> bool:
        """Whether this machine votes in the newest view."""
        return self.acceptor.is_voter()

    def is_serving(self, number: int | None = None) -> bool:
        """Whether this incarnation is a replica of the newest view's chain, and the view is not sealed here.

        Args:
            number: The view that is meant; False where it is not the newest.
        """
        if number is not None and (self.view is None or number != self.view.number):
            return False
        return self.acceptor.is_serving()

    def is_tail(self) -> bool:
        """Whether this machine is the tail of the newest view."""
        return self.acceptor.is_tail()

    def holds_lease(self) -> bool:
        """Whether this machine is the synced tail and holds the read lease at this very moment."""
        return self.tail_lease.is_held()

    def is_cut_off(self) -> bool:
        """Whether this machine knows that it can reach no majority, so that it can neither change nor read anything.

        A machine that has just started has heard nobody yet, and may still.
        """
        view = self.view
        has_listened = self.runtime.now() - self.started_at >= timing.PEER_TIMEOUT_US
        return view is not None and has_listened and not self.peer_heartbeats.hears_majority(view)

    def voter(self, identifier: str) -> message.Voter | None:
        """The address of a voter of the newest view, or None where it is none."""
        voters = self.view.voters if self.view is not None else []
        return next((voter for voter in voters if voter.id == identifier), None)

    # ---- messages ------------------------------------------------------------

    async def answer(self, request: ConsensusRequest) -> ConsensusResponse:
        """Answer a message of view consensus from another core machine."""
        if isinstance(request, message.Heartbeat):
            self.peer_heartbeats.receive(request)
            return self.peer_heartbeats.own_heartbeat()
        return await self.acceptor.answer(request)

    def receive_heartbeat(self, heartbeat: message.Heartbeat) -> None:
        """Keep another machine's heartbeat, and adopt a newer view that it tells."""
        self.peer_heartbeats.receive(heartbeat)

    async def adopt(self, view: message.View) -> None:
        """Take a view that was agreed, unless a newer one is known."""
        await self.acceptor.adopt(view)

    async def mark_synced(self, number: int) -> None:
        """Note on disk that this machine's copy is synced in a view.

        Raises:
            storage.DiskError: The disk refused the note, and the copy does not count as synced.
        """
        await self.acceptor.mark_synced(number)

    # ---- peers and departure ---------------------------------------------------

    @property
    def heartbeats(self) -> dict[str, peer_heartbeats.ReceivedHeartbeat]:
        """The newest heartbeat of each other machine."""
        return self.peer_heartbeats.received

    @property
    def heartbeat_now(self) -> scheduler.Signal:
        """Wakes the heartbeat tasks before their interval is over."""
        return self.peer_heartbeats.send_now

    def addresses(self) -> set[peer_heartbeats.Address]:
        """All addresses at which core machines are looked for, but this one's."""
        return self.peer_heartbeats.addresses()

    def addresses_heard(self) -> set[peer_heartbeats.Address]:
        """The same, with those of further core machines that live: newcomers that don't vote."""
        return self.peer_heartbeats.addresses_heard()

    def learn_seeds(self, seeds: collections.abc.Iterable[peer_heartbeats.Address]) -> None:
        """Look for core machines at further addresses; they are no initial members."""
        self.peer_heartbeats.learn_seeds(seeds)

    def announce_departure(self) -> None:
        """Tell the others that this machine leaves: the next chain goes on without it."""
        self.peer_heartbeats.announce_departure()

    def is_still_needed(self) -> bool:
        """Whether this machine should stay while it leaves, since the others can't go on without it yet."""
        return departure.is_still_needed(self.acceptor, self.peer_heartbeats)

    def holds_only_copy(self) -> bool:
        """Whether others go on, and none of them is known to hold what this machine's copy holds."""
        return departure.holds_only_copy(self.acceptor, self.peer_heartbeats)

    # ---- tasks -----------------------------------------------------------------

    async def exchange_heartbeats(self) -> None:
        """Send heartbeats to all core machines, for ever."""
        await self.peer_heartbeats.exchange()

    async def renew_lease(self) -> None:
        """Keep the read lease while this machine is the tail, for ever."""
        await self.tail_lease.keep_renewed()

    async def keep_view_current(self) -> None:
        """Propose a better view whenever one is due, for ever."""
        await self.view_change.keep_view_current()
