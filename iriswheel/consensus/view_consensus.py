"""The agreed view: who votes, and in which order the chain stands.

View v+1 is agreed by a majority of the machines that vote in view v, one decision
per number, with promises and acceptances synced before they are told. A promise
seals the old chain on the machine that gave it: from then on nothing of view v is
acknowledged there. A lease to the tail holds promises to others back until it ran out.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru
import msgspec
import twisted.internet.defer as defer
import twisted.python.failure as failure

import iriswheel.consensus.decisions as decisions
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.storage as storage
import iriswheel.runtime.units as units
import iriswheel.transport.message as message
import iriswheel.transport.wire as wire

LEASE_US = 1_500 * units.MILLISECOND_US
RENEW_US = 300 * units.MILLISECOND_US
DRIFT_US = 150 * units.MILLISECOND_US
HEARTBEAT_US = 250 * units.MILLISECOND_US
DEAD_US = 1_300 * units.MILLISECOND_US
RANK_US = 300 * units.MILLISECOND_US
REPLACE_US = 1_500 * units.MILLISECOND_US  # a newcomer takes the voter of one that is silent for so long
CALL_US = 1 * units.SECOND_US
SILENT_CALL_US = 150 * units.MILLISECOND_US  # for a machine that has not been heard for DEAD_US: nobody waits for it

log = loguru.logger.bind(part="view")


class ViewConsensus:
    """One core machine's part in agreeing on views."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        disk: storage.MonitoredDisk,
        record: decisions.Record,
        me: message.Voter,
        seeds: list[tuple[str, int]],
        peers: wire.Peers | None,
        on_view: collections.abc.Callable[..., object],
        size: int = 3,
        copies: int = 2,
    ) -> None:
        self.runtime = runtime
        self.disk = disk  # store.Guard
        self.record = record
        self.me = me  # message.Seat
        self.seed_voters = list(seeds)  # [(host, port)]; the first may found the fleet
        self.seeds = list(seeds)  # and where else core machines are looked for
        self.peers = peers
        self.on_view = on_view
        self.last_entry = lambda: (0, 0)  # the newest entry here: the view it was made in, its number
        self.lock = defer.DeferredLock()
        self.started_at = runtime.now()
        self.grant = (decisions.UNKNOWN_HOLDER, runtime.now() + LEASE_US)  # after a restart, an old grant may stand
        self.lease = 0
        # the chain before the newest view's, as (core id, incarnation); None: not known here
        self.predecessors: list[tuple[str, str]] | None = None
        self.heartbeats: dict[str, tuple[int, message.Heartbeat]] = {}  # id -> (heard, Heartbeat)
        self.size = max(size, len(self.seed_voters))
        self.copies = copies
        self.leaving = False
        self.heartbeat_now = scheduler.Signal()
        self.blank: dict[tuple[str, int], int] = {}  # seed address -> heard, of seeds that know no view
        self.wanted_since: int | None = None
        self.seen_ballot = 0

    # ---- what others ask ---------------------------------------------------

    @property
    def view(self) -> message.View | None:
        """The newest view known here."""
        return self.record.view

    def sealed(self) -> bool:
        """Whether a promise here has closed the present view."""
        return decisions.is_sealed(self.record)

    def is_voter(self) -> bool:
        """Whether this machine votes in the newest view."""
        return decisions.is_voter(self.record, self.me.id)

    def serving(self, number: int | None = None) -> bool:
        """Whether this life of this machine is a link of the (numbered) view, unsealed."""
        if number is not None and (self.view is None or number != self.view.number):
            return False
        return decisions.is_serving(self.record, self.me.id, self.runtime.incarnation)

    def tail(self) -> bool:
        """Whether this machine is the tail of the newest view."""
        return decisions.is_tail(self.record, self.me.id, self.runtime.incarnation)

    def leased(self) -> bool:
        """Whether this machine is the tail and holds the lease at this very moment."""
        return self.may_lead_reads() and self.runtime.now() < self.lease

    def may_lead_reads(self) -> bool:
        """Whether this machine is the synced tail, which may ask for the read lease."""
        return decisions.may_lead_reads(self.record, self.me.id, self.runtime.incarnation)

    def heartbeat(self) -> message.Heartbeat:
        """This core's own sign of life."""
        return message.Heartbeat(
            self.me.id,
            self.runtime.incarnation,
            self.me.zone,
            self.me.host,
            self.me.port,
            self.view,
            self.record.synced_view,
            self.disk.ok,
            self.leaving,
            self.sealed(),
        )

    def voter(self, identifier: str) -> message.Voter | None:
        """Where a core machine is to be reached, or None."""
        for s in self.view.voters if self.view else []:
            if s.id == identifier:
                return s
        return None

    def alive(self) -> dict[str, str]:
        """The cores that live and stay, and whose disk works, with their boots.

        Voters that leave count where those that stay are no majority, since nothing could be agreed
        without them; and links that leave until a majority of the voters is whole and stays, since
        nobody else may be able to bring the others up to date.
        """
        now = self.runtime.now()
        heartbeats = [p for received_at, p in self.heartbeats.values() if now - received_at < DEAD_US and p.disk_ok]
        heartbeats += [self.heartbeat()] if self.disk.ok else []
        out = {p.id: p.incarnation for p in heartbeats if not p.leaving}
        if self.view is None:
            return out
        voters = [p for p in heartbeats if any(s.id == p.id for s in self.view.voters)]
        stay = [p for p in voters if not p.leaving]
        synced_view = [p for p in stay if p.synced_view == self.view.number]
        enough = decisions.majority(len(self.view.voters))
        for p in voters:
            replica = message.ChainReplica(p.id, p.incarnation) in self.view.chain
            if len(stay) < enough or (replica and len(synced_view) < enough):
                out[p.id] = p.incarnation
        return out

    def departing(self) -> dict[str, str]:
        """The cores that live and leave, and whose disk works, with their boots."""
        now = self.runtime.now()
        heartbeats = [p for received_at, p in self.heartbeats.values() if now - received_at < DEAD_US]
        out = {p.id: p.incarnation for p in heartbeats if p.disk_ok and p.leaving}
        if self.disk.ok and self.leaving:
            out[self.me.id] = self.runtime.incarnation
        return out

    def known_synced(self) -> set[str]:
        """The cores that are synced in the present view, as far as this one has heard."""
        number = self.view.number
        out = {identifier for identifier, (_, p) in self.heartbeats.items() if p.synced_view == number}
        return out | {self.me.id} if decisions.is_synced(self.record) else out

    # ---- answers to other cores ----------------------------------------------

    async def answer(self, msg: message.Message) -> message.Message:
        """Answer one of the membership's messages."""
        match msg:
            case message.Heartbeat():
                self.hear(msg)
                return self.heartbeat()
            case message.Prepare():
                return await self.promise(msg)
            case message.Accept():
                return await self.accept(msg)
            case message.Decided(view=view):
                await self.adopt(view)
                return message.Accepted(True, None)
            case message.LeaseRequest():
                return self.give(msg)

    def hear(self, p: message.Heartbeat) -> None:
        """Take in a sign of life."""
        self.heartbeats[p.id] = (self.runtime.now(), p)
        if p.view is None:
            self.blank[(p.host, p.port)] = self.runtime.now()
        elif self.view is None or p.view.number > self.view.number:
            self.runtime.spawn(self.adopt(p.view), log)

    def _replica(self) -> decisions.Replica:
        return decisions.Replica(self.me.id, self.runtime.incarnation, self.disk.ok, self.last_entry())

    def _lease_holder(self) -> str | None:
        holder, until = self.grant
        return holder if self.runtime.now() < until else None

    async def promise(self, m: message.Prepare) -> message.Promise:
        """Answer a Prepare."""
        await self.lock.acquire()
        try:
            record, answer = decisions.promise(self.record, self._replica(), self._lease_holder(), m)
            if not answer.ok:
                return answer
            before, self.record = self.record, record  # seals the view here while the write is under way
            self.lease = 0
            try:
                await self._sync()
            except storage.DiskError:
                self.record = before
                return decisions.refuse_promise(before, self._replica(), m.number)
            return answer
        finally:
            self.lock.release()

    async def accept(self, m: message.Accept) -> message.Accepted:
        """Answer an Accept."""
        await self.lock.acquire()
        try:
            record, answer = decisions.accept(self.record, self.me.id, m)
            if not answer.ok:
                return answer
            before, self.record = self.record, record
            try:
                await self._sync()
            except storage.DiskError:
                self.record = before
                return message.Accepted(False, None)
            return answer
        finally:
            self.lock.release()

    async def adopt(self, view: message.View) -> None:
        """Take a view that was agreed, unless a newer one is known."""
        await self.lock.acquire()
        try:
            before, predecessors = self.record, self._chain_before(view)
            adopted = decisions.adopt(before, self.me.id, view)
            if adopted is before:
                return
            self.record = msgspec.structs.replace(adopted, synced_view=before.synced_view)
            self.predecessors = predecessors
            self.lease = 0
            self.wanted_since = None
            try:
                await self._sync(adopted.synced_view)
            except storage.DiskError:  # a view that was agreed may be known without the disk; being whole in it may not
                if view.chain[0].id == self.me.id:
                    self.runtime.spawn(self.lead_later(view), log)
            self.on_view(view)
        finally:
            self.lock.release()
        log.info("View {}: {}.", view.number, " ".join(replica.id for replica in view.chain))

    async def lead_later(self, view: message.View) -> None:
        """At the head of a view whose disk refused the note that it is whole: try again as long as the view lasts."""
        while self.view.number == view.number and self.record.synced_view < view.number:
            await self.runtime.sleep(RENEW_US)
            try:
                await self.mark_synced(view.number)
            except storage.DiskError:
                continue
        if self.view.number == view.number:
            self.on_view(view)

    def _chain_before(self, view: message.View) -> list[tuple[str, str]] | None:
        if view.number == 1:
            return []
        if self.view is None or self.view.number + 1 != view.number:
            return None
        return [(replica.id, replica.incarnation) for replica in self.view.chain]

    async def mark_synced(self, number: int) -> None:
        """Note, synced, that this copy is whole in a view."""
        await self.lock.acquire()
        try:
            synced = decisions.become_synced(self.record, number)
            if synced is not self.record:
                await self._sync(synced.synced_view)
        finally:
            self.lock.release()

    async def _sync(self, synced_view: int | None = None) -> None:
        """Write the record; `whole` counts here only once it is on the disk."""
        record = self.record if synced_view is None else msgspec.structs.replace(self.record, synced_view=synced_view)
        await self.disk.commit([(b"council", msgspec.msgpack.encode(record))])
        self.record = msgspec.structs.replace(self.record, synced_view=record.synced_view)

    def give(self, m: message.LeaseRequest) -> message.LeaseResponse:
        """Answer a LeaseRequest."""
        answer = decisions.give_lease(self.record, self.me.id, m)
        if answer.ok:
            self.grant = (m.tail, self.runtime.now() + LEASE_US)
        return answer

    # ---- tasks ----------------------------------------------------------------

    async def poll(self, voter_or_address: tuple[str, int]) -> None:
        """Exchange signs of life with one core, over and over."""
        host, port = voter_or_address
        while (host, port) in self.addresses():
            try:
                response = await self.peers.call(host, port, self.heartbeat(), CALL_US)
                self.hear(response)
            except (wire.ConnectionBrokenError, scheduler.DeadlineError):
                pass
            await self.runtime.pause(self.heartbeat_now, HEARTBEAT_US)

    def leave(self) -> None:
        """Tell the others that this machine leaves: the next chain goes on without it."""
        self.leaving = True
        self.heartbeat_now.wake()

    def needed(self) -> bool:
        """Whether this machine should stay while it leaves.

        It should until a chain without it stands, of which as many links as make a majority of
        the voters have shown that they are whole: before that it may hold the only whole copy, or be
        the voter without whom nothing can be agreed. Where all voters leave, the whole fleet
        stops, and nobody is there to hand over to.
        """
        v = self.view
        in_chain = v is not None and message.ChainReplica(self.me.id, self.runtime.incarnation) in v.chain
        if not in_chain and not self.record.synced_view:
            return False
        others = [self.heartbeats[s.id][1] for s in v.voters if s.id != self.me.id and s.id in self.heartbeats]
        if len([p for p in others if p.leaving]) == len([s for s in v.voters if s.id != self.me.id]):
            return False
        replicas, alive = {replica.id for replica in v.chain}, self.alive()
        synced_view = [p for p in others if p.id in replicas and p.synced_view == v.number and p.id in alive]
        return in_chain or len(synced_view) < decisions.majority(len(v.voters))

    def holds_only_copy(self) -> bool:
        """Whether others go on, and none of them is known to hold what this machine's copy holds."""
        if not decisions.is_synced(self.record):
            return False
        others = set(self.alive()) - {self.me.id}
        members = {member.id for member in self.view.chain}
        return bool(others) and not others & members & self.known_synced()

    def learn_seeds(self, seeds: list[tuple[str, int]]) -> None:
        """Look for core machines at further addresses; nobody founds a fleet by them."""
        self.seeds += [s for s in seeds if s not in self.seeds]

    def addresses(self) -> set[tuple[str, int]]:
        """All addresses at which core machines are looked for, but this one's."""
        out = set(self.seeds)
        if self.view is not None:
            out |= {(s.host, s.port) for s in self.view.voters}
        out.discard((self.me.host, self.me.port))
        return out

    async def exchange_heartbeats(self) -> None:
        """Keep one polling task for each address."""
        polls = {}
        while True:
            for key in sorted(self.addresses()):
                if key not in polls or polls[key].called:
                    polls[key] = self.runtime.spawn(self.poll(key), log)
            await self.runtime.sleep(HEARTBEAT_US)

    async def renew(self) -> None:
        """While this machine is the tail, keep its lease."""
        while True:
            if self.may_lead_reads() and self.disk.ok:
                asked = self.runtime.now()
                number = self.view.number
                quorum = decisions.majority(len(self.view.voters))
                response = await self.call_all(
                    self.view.voters,
                    message.LeaseRequest(number, self.me.id),
                    500 * units.MILLISECOND_US,
                    enough=quorum,
                )
                given = [a for a in response.values() if a is not None and a.ok]
                if len(given) >= quorum and self.serving(number) and self.disk.ok:
                    self.lease = max(self.lease, asked + LEASE_US - DRIFT_US)
            await self.runtime.sleep(RENEW_US)

    async def call_all(
        self, voters: list[message.Voter], msg: message.Message, us: int, enough: int | None = None
    ) -> dict[str, message.Accepted | message.LeaseResponse | message.Promise | None]:
        """Put a message to all voters, this one included; None where no answer came.

        Machines that have been silent for long have SILENT_CALL_US; nobody is waited for any more once `enough`
        answers are positive.
        """
        answers = {}
        complete = defer.Deferred()

        def note(answer: typing.Any, identifier: str) -> None:
            answers[identifier] = None if isinstance(answer, failure.Failure) else answer
            positive = len([a for a in answers.values() if a is not None and a.ok])
            done = len(answers) == len(voters) or (enough is not None and positive >= enough)
            if done and not complete.called:
                complete.callback(None)

        alive = self.alive()
        for voter in voters:
            patience = us if voter.id in alive else min(us, SILENT_CALL_US)
            defer.ensureDeferred(self.query(voter, msg, patience)).addBoth(note, voter.id)
        await complete
        return {voter.id: answers.get(voter.id) for voter in voters}

    async def query(
        self, voter: message.Voter, msg: message.Message, us: int
    ) -> message.Accepted | message.LeaseResponse | message.Promise:
        """Put a message to one machine, this one or another."""
        if voter.id == self.me.id:
            return await self.answer(msg)
        call = defer.ensureDeferred(self.peers.call(voter.host, voter.port, msg, us))
        return await self.runtime.within(call, us)

    async def repair_view(self) -> None:
        """Watch the chain, and propose a better view where one is due."""
        while True:
            await self.runtime.sleep(200 * units.MILLISECOND_US + self.runtime.rng.randrange(50 * units.MILLISECOND_US))
            if self.view is None:
                await self.found()
            elif self.is_voter() and self.due():
                await self.propose()

    async def found(self) -> None:
        """Make view 1: the first seed does it, once all seeds are there and blank."""
        now = self.runtime.now()
        fresh = {k for k, received_at in self.blank.items() if now - received_at < DEAD_US}
        mine = (self.me.host, self.me.port)
        if not self.seed_voters or self.seed_voters[0] != mine or not set(self.seed_voters) <= fresh | {mine}:
            return
        by_addr = {(p.host, p.port): p for received_at, p in self.heartbeats.values() if now - received_at < DEAD_US}
        by_addr[mine] = self.heartbeat()
        ps = [by_addr[k] for k in self.seed_voters]
        voters = [message.Voter(p.id, p.host, p.port, p.zone) for p in ps]
        await self.adopt(message.View(1, voters, [message.ChainReplica(p.id, p.incarnation) for p in ps]))

    def voters_wanted(self) -> list[message.Voter]:
        """The voters of the next view.

        A newcomer takes the place of a machine that is lost, that leaves, or that came
        back blank at the newcomer's address; else a place of its own up to `size`.
        """
        now = self.runtime.now()
        known = {s.id for s in self.view.voters}
        joining_members = [
            message.Voter(p.id, p.host, p.port, p.zone)
            for _, (received_at, p) in sorted(self.heartbeats.items())
            if now - received_at < DEAD_US and p.id not in known and p.disk_ok and not p.leaving
        ]
        states = {identifier: self._voter_state(identifier) for identifier in known}
        return decisions.next_voters(self.view, self.me.id, self.leaving, joining_members, states, self.size)

    def _voter_state(self, identifier: str) -> decisions.VoterState:
        received_at, last = self.heartbeats.get(identifier, (self.started_at, None))
        silent_us = self.runtime.now() - received_at
        return decisions.VoterState(
            replaceable=silent_us > REPLACE_US or (last is not None and last.leaving), silent=silent_us > DEAD_US
        )

    def sealed_replica(self) -> bool:
        """Whether a link of the view is sealed: the chain is broken there until the next view.

        The voters that keep the tail's lease refuse the sealed machine's own proposals, so that the
        tail has to see this too.
        """
        now = self.runtime.now()
        heartbeats = [p for received_at, p in self.heartbeats.values() if now - received_at < DEAD_US] + [
            self.heartbeat()
        ]
        return any(p.sealed and p.view is not None and p.view.number == self.view.number for p in heartbeats)

    def due(self) -> bool:
        """Whether this machine should propose a view now."""
        now = self.runtime.now()
        alive = self.alive()
        v = self.view
        voters = self.voters_wanted()
        leaving = self.departing()
        if decisions.is_handing_over(v, alive, leaving, self.known_synced()):
            alive, voters = alive | leaving, v.voters
        ids = {s.id for s in voters}
        want = {(i, b) for i, b in alive.items() if i in ids}
        have = {(replica.id, replica.incarnation) for replica in v.chain}
        live = [s.id for s in v.voters if s.id in alive]
        same = want == have and voters == v.voters
        if (same and not self.sealed_replica()) or len(live) < decisions.majority(len(v.voters)):
            self.wanted_since = None
            return False
        if self.wanted_since is None:
            self.wanted_since = now
        tail = v.chain[-1]
        if self.tail() and not same:
            return True
        rank = live.index(self.me.id) if self.me.id in live else len(live)
        waits = alive.get(tail.id) == tail.incarnation and not self.sealed() and not self.tail()
        patience = DEAD_US if waits else 0
        return now - self.wanted_since >= patience + rank * RANK_US

    async def propose(self) -> None:
        """Try to get the next view agreed."""
        old = self.view
        number = old.number + 1
        self.seen_ballot = max(self.seen_ballot, self.record.promised[0]) + 1
        ballot = (self.seen_ballot, self.me.id)
        voters = self.voters_wanted()
        response = await self.call_all(old.voters, message.Prepare(number, ballot, self.me.id), CALL_US)
        if await self._overtaken(response, number):
            return
        promises = {i: a for i, a in response.items() if a is not None and a.ok}
        self.seen_ballot = max([self.seen_ballot] + [a.ballot[0] for a in response.values() if a is not None])
        if len(promises) < decisions.majority(len(old.voters)):
            return
        view = decisions.next_view(old, promises, voters, self.alive(), self.departing())
        if view is None:
            log.warning("No machine that answers holds a synced copy; view {} must wait.", number)
            return
        quorum = decisions.majority(len(old.voters))
        response = await self.call_all(old.voters, message.Accept(ballot, view, self.me.id), CALL_US, enough=quorum)
        if await self._overtaken(response, number):
            return
        if len([a for a in response.values() if a is not None and a.ok]) < quorum:
            return
        await self.adopt(view)
        both = {s.id: s for s in old.voters + view.voters}
        self.runtime.spawn(self.call_all([both[i] for i in sorted(both)], message.Decided(view), CALL_US), log)

    async def _overtaken(self, response: dict[str, message.Accepted | message.Promise | None], number: int) -> bool:
        for a in response.values():
            if a is not None and a.newer is not None and a.newer.number >= number:
                await self.adopt(a.newer)
                return True
        return False
