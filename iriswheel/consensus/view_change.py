"""The proposer of view consensus: makes view 1, and proposes the next one when chain or voters should change."""

from __future__ import annotations

import contextlib
import typing

import loguru

from iriswheel.consensus import decisions, timing, view_formation
from iriswheel.runtime import scheduler
from iriswheel.transport import message, wire

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.consensus import acceptor, peer_heartbeats, voter_calls
    from iriswheel.runtime import scheduler

log = loguru.logger.bind(part="view")


class ViewChange:
    """Compares the newest view with the live machines, and proposes the next view when a change is due.

    Args:
        runtime: Clock, tasks and randomness.
        view_acceptor: This machine's record of views.
        heartbeats: The newest heartbeats of the other core machines.
        calls: Sends requests to the voters.
        initial_addresses: Addresses of the machines of view 1; the machine at the first address makes that view.
        voter_count: Number of voters up to which newcomers are added.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        view_acceptor: acceptor.Acceptor,
        heartbeats: peer_heartbeats.PeerHeartbeats,
        calls: voter_calls.VoterCalls,
        *,
        initial_addresses: collections.abc.Iterable[peer_heartbeats.Address],
        voter_count: int,
    ) -> None:
        self.runtime = runtime
        self.acceptor = view_acceptor
        self.heartbeats = heartbeats
        self.calls = calls
        self.own_voter = view_acceptor.own_voter
        self._own_address = (self.own_voter.host, self.own_voter.port)
        self.started_at_us = runtime.now()
        self._initial_addresses = list(initial_addresses)
        self._voter_count = max(voter_count, len(self._initial_addresses))
        self._first_machine_told_at_us = runtime.now()  # the start counts as the first time
        self._change_due_since_us: int | None = None  # since when the newest view should be replaced
        self._highest_ballot_round = 0

    def reset(self) -> None:
        """Restart the wait before a proposal, since a newer view is known."""
        self._change_due_since_us = None

    async def keep_view_current(self) -> None:
        """Check periodically whether a change of the view is due, and propose the next view if so; never returns."""
        while True:
            jitter_us = self.runtime.rng.randrange(timing.VIEW_CHECK_JITTER_US)
            await self.runtime.pause(self.heartbeats.incarnation_seen, timing.VIEW_CHECK_INTERVAL_US + jitter_us)
            view = self.acceptor.view
            if view is None:
                await self._bootstrap()
                self._tell_first_machine_if_due()
            elif self.acceptor.is_voter() and self.is_due(view):
                await self._propose_after(view)

    # ---- whether a change is due -----------------------------------------------

    def is_due(self, view: message.View) -> bool:
        """Whether this machine should propose the next view now."""
        now = self.runtime.now()
        alive = self.heartbeats.alive()
        voters = self._desired_voters(view)
        leaving = self.heartbeats.departing()
        if view_formation.is_handing_over(view, alive, leaving, self.heartbeats.known_synced(view)):
            alive, voters = alive | leaving, view.voters
        live_ids = [voter.id for voter in view.voters if voter.id in alive]
        is_unchanged = voters == view.voters and _members(voters, alive) == set(decisions.chain_incarnations(view))
        has_quorum = len(live_ids) >= decisions.majority(len(view.voters))
        if (is_unchanged and not self.heartbeats.is_any_sealed(view)) or not has_quorum:
            self._change_due_since_us = None
            return False
        if self._change_due_since_us is None:
            self._change_due_since_us = now
        if self.acceptor.is_tail() and not is_unchanged:
            return True
        return now - self._change_due_since_us >= self._proposal_delay_us(view, alive, live_ids)

    def _proposal_delay_us(self, view: message.View, alive: decisions.Incarnations, live_ids: list[str]) -> int:
        """How long this machine waits before it proposes, so that others may propose first.

        A live tail goes first, since voters bound by its lease refuse the proposals of other machines; then the live
        voters follow in the order in which the view lists them.
        """
        rank = live_ids.index(self.own_voter.id) if self.own_voter.id in live_ids else len(live_ids)
        tail = view.chain[-1]
        is_tail_first = (
            alive.get(tail.id) == tail.incarnation and not self.acceptor.is_sealed() and not self.acceptor.is_tail()
        )
        return (timing.PEER_TIMEOUT_US if is_tail_first else 0) + rank * timing.PROPOSER_RANK_DELAY_US

    def _desired_voters(self, view: message.View) -> list[message.Voter]:
        """The voters of the next view.

        A newcomer (a live machine that is not a voter) replaces a voter that is dead or leaving, or that had the
        newcomer's address before it came back without its data. Otherwise it is added, up to `voter_count` voters.
        """
        known = {voter.id for voter in view.voters}
        newcomers = [
            message.Voter(heartbeat.id, heartbeat.host, heartbeat.port, heartbeat.zone)
            for heartbeat in sorted(self.heartbeats.recent(), key=lambda heartbeat: heartbeat.id)
            if heartbeat.id not in known and heartbeat.disk_ok and not heartbeat.leaving
        ]
        states = {identifier: self.heartbeats.voter_state(identifier, self.started_at_us) for identifier in known}
        return view_formation.next_voters(
            view,
            self.own_voter.id,
            leaving=self.heartbeats.leaving,
            joining_members=newcomers,
            states=states,
            size=self._voter_count,
        )

    # ---- agreement on the next view --------------------------------------------

    async def _bootstrap(self) -> None:
        """Make view 1, if this machine has its first address and all machines of view 1 are live without a view."""
        without_view = self.heartbeats.recent_without_view() | {self._own_address}
        if self._initial_addresses[:1] != [self._own_address] or not set(self._initial_addresses) <= without_view:
            return
        by_address = {(heartbeat.host, heartbeat.port): heartbeat for heartbeat in self.heartbeats.recent()}
        by_address[self._own_address] = self.heartbeats.own_heartbeat()
        members = [by_address[address] for address in self._initial_addresses]
        voters = [message.Voter(member.id, member.host, member.port, member.zone) for member in members]
        chain = [message.ChainReplica(member.id, member.incarnation) for member in members]
        await self.acceptor.adopt(message.View(1, voters, chain))

    def learn_first_start(self, addresses: list[peer_heartbeats.Address]) -> None:
        """Take over the initial addresses from another machine, if this one has the first of them.

        A machine whose process ended before it had made its data folder is started anew with an empty disk, and does
        not know that it takes part in the first start. View 1 is made as ever, only while all initial machines are
        heard without a view. Had this machine made an earlier view 1 and lost its disk, then no other machine has that
        view, so that nothing was acknowledged in it.
        """
        if self.acceptor.view is None and not self._initial_addresses and addresses[:1] == [self._own_address]:
            log.info("This machine makes the first view, as another machine of the first start tells it.")
            self._initial_addresses = list(addresses)
            self._voter_count = max(self._voter_count, len(addresses))

    def _tell_first_machine_if_due(self) -> None:
        """Tell the machine that makes view 1 the initial addresses, if that view has not come for some time."""
        now = self.runtime.now()
        if self.acceptor.view is not None or self._initial_addresses[:1] in ([], [self._own_address]):
            return
        if now - self._first_machine_told_at_us < timing.FIRST_VIEW_TIMEOUT_US:
            return
        self._first_machine_told_at_us = now
        self.runtime.spawn(self._tell_first_machine(), log)

    async def _tell_first_machine(self) -> None:
        host, port = self._initial_addresses[0]
        request = message.FirstStart(self._initial_addresses)
        with contextlib.suppress(wire.ConnectionBrokenError, scheduler.DeadlineError):  # it is told again
            await self.calls.peers.call(host, port, request, timing.CALL_TIMEOUT_US)

    async def _propose_after(self, old: message.View) -> None:
        """Run one ballot of single-decree Paxos among the voters of view `old`, to get the next view agreed."""
        self._highest_ballot_round = max(self._highest_ballot_round, self.acceptor.record.promised[0]) + 1
        ballot = (self._highest_ballot_round, self.own_voter.id)
        voters = self._desired_voters(old)
        promises = await self._collect_promises(old, ballot)
        if promises is None:
            return
        view = view_formation.next_view(old, promises, voters, self.heartbeats.alive(), self.heartbeats.departing())
        if view is None:
            log.warning(
                "View {view} can't be proposed, and the present view stays: no voter that answered has a synced copy.",
                view=old.number + 1,
            )
            return
        if await self._is_accepted(old, ballot, view):
            await self.acceptor.adopt(view)
            self._announce(old, view)

    async def _collect_promises(self, old: message.View, ballot: decisions.Ballot) -> dict[str, message.Promise] | None:
        """Ask the voters of view `old` for promises; None if fewer than a majority gave one."""
        number = old.number + 1
        request = message.Prepare(number, ballot, self.own_voter.id)
        answers = await self.calls.call_all(old.voters, request, timing.CALL_TIMEOUT_US)
        if await self._adopt_newer(answers, number):
            return None
        received = {identifier: answer for identifier, answer in answers.items() if isinstance(answer, message.Promise)}
        rounds = [answer.ballot[0] for answer in received.values()]
        self._highest_ballot_round = max([self._highest_ballot_round, *rounds])
        promises = {identifier: answer for identifier, answer in received.items() if answer.ok}
        return promises if len(promises) >= decisions.majority(len(old.voters)) else None

    async def _is_accepted(self, old: message.View, ballot: decisions.Ballot, view: message.View) -> bool:
        """Ask the voters of view `old` to accept `view`; whether a majority did."""
        quorum = decisions.majority(len(old.voters))
        request = message.Accept(ballot, view, self.own_voter.id)
        answers = await self.calls.call_all(old.voters, request, timing.CALL_TIMEOUT_US, enough=quorum)
        if await self._adopt_newer(answers, old.number + 1):
            return False
        return len([answer for answer in answers.values() if answer is not None and answer.ok]) >= quorum

    async def _adopt_newer(
        self, answers: collections.abc.Mapping[str, acceptor.VoterResponse | None], number: int
    ) -> bool:
        """Adopt the view in an answer if its number is at least `number`: another proposal has been agreed meanwhile.

        Returns:
            Whether a view was adopted.
        """
        for answer in answers.values():
            if answer is not None and answer.newer is not None and answer.newer.number >= number:
                await self.acceptor.adopt(answer.newer)
                return True
        return False

    def _announce(self, old: message.View, view: message.View) -> None:
        voters = {voter.id: voter for voter in old.voters + view.voters}
        request = message.Decided(view)
        everybody = [voters[identifier] for identifier in sorted(voters)]
        self.runtime.spawn(self.calls.call_all(everybody, request, timing.CALL_TIMEOUT_US), log)


def _members(voters: list[message.Voter], alive: decisions.Incarnations) -> set[decisions.ReplicaIncarnation]:
    voter_ids = {voter.id for voter in voters}
    return {
        decisions.ReplicaIncarnation(identifier, incarnation)
        for identifier, incarnation in alive.items()
        if identifier in voter_ids
    }
