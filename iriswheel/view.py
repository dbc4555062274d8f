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

import iriswheel.agreement as agreement
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.store as store
import iriswheel.wire as wire

LEASE_US = 1_500 * machine.MILLI
RENEW_US = 300 * machine.MILLI
DRIFT_US = 150 * machine.MILLI
HEARTBEAT_US = 250 * machine.MILLI
DEAD_US = 1_300 * machine.MILLI
RANK_US = 300 * machine.MILLI
REPLACE_US = 1_500 * machine.MILLI  # a newcomer takes the seat of one that is silent for so long
CALL_US = 1 * machine.SECOND
SILENT_CALL_US = 150 * machine.MILLI  # for a machine that has not been heard for DEAD_US: nobody waits for it

log = loguru.logger.bind(part="view")


class Membership:
    """One core machine's part in agreeing on views.

    Example: `membership = Membership(mach, disk, record, me, seeds, peers, on_view)`,
    where on_view(view) installs a view that was agreed. The seats grow up to `size` as
    further machines appear; `copies` links must keep a change before it stands.
    """

    def __init__(
        self,
        mach: machine.Machine,
        disk: store.Guard,
        record: agreement.Record,
        me: message.Seat,
        seeds: list[tuple[str, int]],
        peers: wire.Peers | None,
        on_view: collections.abc.Callable[..., object],
        size: int = 3,
        copies: int = 2,
    ) -> None:
        self.mach = mach
        self.disk = disk  # store.Guard
        self.record = record
        self.me = me  # message.Seat
        self.founders = list(seeds)  # [(host, port)]; the first may found the fleet
        self.seeds = list(seeds)  # and where else core machines are looked for
        self.peers = peers
        self.on_view = on_view
        self.tip = lambda: (0, 0)  # the newest entry here: the view it was made in, its number
        self.lock = defer.DeferredLock()
        self.began = mach.now()
        self.grant = (agreement.UNKNOWN_HOLDER, mach.now() + LEASE_US)  # after a restart, an old grant may stand
        self.lease = 0
        # the chain before the newest view's, as (core id, incarnation); None: not known here
        self.predecessors: list[tuple[str, str]] | None = None
        self.heartbeats: dict[str, tuple[int, message.Heartbeat]] = {}  # id -> (heard, Heartbeat)
        self.size = max(size, len(self.founders))
        self.copies = copies
        self.leaving = False
        self.heartbeat_now = machine.Signal()
        self.blank: dict[tuple[str, int], int] = {}  # seed address -> heard, of seeds that know no view
        self.wanted_since: int | None = None
        self.seen_ballot = 0

    # ---- what others ask ---------------------------------------------------

    @property
    def view(self) -> message.View | None:
        """The newest view known here.

        Example: `membership.view.number`
        """
        return self.record.view

    def sealed(self) -> bool:
        """Whether a promise here has closed the present view.

        Example: `if membership.sealed(): refuse()`
        """
        return agreement.is_sealed(self.record)

    def voter(self) -> bool:
        """Whether this machine votes in the newest view.

        Example: `membership.voter()`
        """
        return agreement.is_voter(self.record, self.me.id)

    def serving(self, number: int | None = None) -> bool:
        """Whether this life of this machine is a link of the (numbered) view, unsealed.

        Example: `membership.serving(3)`
        """
        if number is not None and (self.view is None or number != self.view.number):
            return False
        return agreement.is_serving(self.record, self.me.id, self.mach.boot)

    def tail(self) -> bool:
        """Whether this machine is the tail of the newest view.

        Example: `membership.tail()`
        """
        return agreement.is_tail(self.record, self.me.id, self.mach.boot)

    def leased(self) -> bool:
        """Whether this machine is the tail and holds the lease at this very moment.

        Example: `if membership.leased(): answer()`
        """
        return self.may_lead_reads() and self.mach.now() < self.lease

    def may_lead_reads(self) -> bool:
        """Whether this machine is the synced tail, which may ask for the read lease.

        Example: `if membership.may_lead_reads(): ask_for_lease()`
        """
        return agreement.may_lead_reads(self.record, self.me.id, self.mach.boot)

    def heartbeat(self) -> message.Heartbeat:
        """This core's own sign of life.

        Example: `link.tell(membership.heartbeat())`
        """
        return message.Heartbeat(
            self.me.id,
            self.mach.boot,
            self.me.zone,
            self.me.host,
            self.me.port,
            self.view,
            self.record.whole,
            self.disk.ok,
            self.leaving,
            self.sealed(),
        )

    def seat(self, ident: str) -> message.Seat | None:
        """Where a core machine is to be reached, or None.

        Example: `membership.seat(view.chain[0].id).host`
        """
        for s in self.view.seats if self.view else []:
            if s.id == ident:
                return s
        return None

    def alive(self) -> dict[str, str]:
        """The cores that live and stay, and whose disk works, with their boots.

        Voters that leave count where those that stay are no majority, since nothing could be agreed
        without them; and links that leave until a majority of the voters is whole and stays, since
        nobody else may be able to bring the others up to date.

        Example: `membership.alive()["c0ffee"]`
        """
        now = self.mach.now()
        heartbeats = [p for heard, p in self.heartbeats.values() if now - heard < DEAD_US and p.disk_ok]
        heartbeats += [self.heartbeat()] if self.disk.ok else []
        out = {p.id: p.boot for p in heartbeats if not p.leaving}
        if self.view is None:
            return out
        voters = [p for p in heartbeats if any(s.id == p.id for s in self.view.seats)]
        stay = [p for p in voters if not p.leaving]
        whole = [p for p in stay if p.whole == self.view.number]
        enough = agreement.majority(len(self.view.seats))
        for p in voters:
            link = message.ChainReplica(p.id, p.boot) in self.view.chain
            if len(stay) < enough or (link and len(whole) < enough):
                out[p.id] = p.boot
        return out

    def departing(self) -> dict[str, str]:
        """The cores that live and leave, and whose disk works, with their boots.

        Example: `membership.departing()["c0ffee"]`
        """
        now = self.mach.now()
        heartbeats = [p for heard, p in self.heartbeats.values() if now - heard < DEAD_US]
        out = {p.id: p.boot for p in heartbeats if p.disk_ok and p.leaving}
        if self.disk.ok and self.leaving:
            out[self.me.id] = self.mach.boot
        return out

    def known_synced(self) -> set[str]:
        """The cores that are synced in the present view, as far as this one has heard.

        Example: `"c0ffee" in membership.known_synced()`
        """
        number = self.view.number
        out = {ident for ident, (_, p) in self.heartbeats.items() if p.whole == number}
        return out | {self.me.id} if agreement.is_synced(self.record) else out

    # ---- answers to other cores ----------------------------------------------

    async def answer(self, msg: message.Message) -> message.Message:
        """Answer one of the membership's messages.

        Example: `res = await membership.answer(message.LeaseRequest(3, "c0ffee"))`
        """
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
        """Take in a sign of life.

        Example: `membership.hear(heartbeat)`
        """
        self.heartbeats[p.id] = (self.mach.now(), p)
        if p.view is None:
            self.blank[(p.host, p.port)] = self.mach.now()
        elif self.view is None or p.view.number > self.view.number:
            self.mach.spawn(self.adopt(p.view), log)

    def _replica(self) -> agreement.Replica:
        return agreement.Replica(self.me.id, self.mach.boot, self.disk.ok, self.tip())

    def _lease_holder(self) -> str | None:
        holder, until = self.grant
        return holder if self.mach.now() < until else None

    async def promise(self, m: message.Prepare) -> message.Promise:
        """Answer a Prepare.

        Example: `await membership.promise(message.Prepare(4, (1, "a"), "a"))`
        """
        await self.lock.acquire()
        try:
            record, answer = agreement.promise(self.record, self._replica(), self._lease_holder(), m)
            if not answer.ok:
                return answer
            before, self.record = self.record, record  # seals the view here while the write is under way
            self.lease = 0
            try:
                await self._sync()
            except store.DiskError:
                self.record = before
                return agreement.refuse_promise(before, self._replica(), m.number)
            return answer
        finally:
            self.lock.release()

    async def accept(self, m: message.Accept) -> message.Accepted:
        """Answer an Accept.

        Example: `await membership.accept(message.Accept((1, "a"), view, "a"))`
        """
        await self.lock.acquire()
        try:
            record, answer = agreement.accept(self.record, self.me.id, m)
            if not answer.ok:
                return answer
            before, self.record = self.record, record
            try:
                await self._sync()
            except store.DiskError:
                self.record = before
                return message.Accepted(False, None)
            return answer
        finally:
            self.lock.release()

    async def adopt(self, view: message.View) -> None:
        """Take a view that was agreed, unless a newer one is known.

        Example: `await membership.adopt(view)`
        """
        await self.lock.acquire()
        try:
            before, predecessors = self.record, self._chain_before(view)
            adopted = agreement.adopt(before, self.me.id, view)
            if adopted is before:
                return
            self.record = msgspec.structs.replace(adopted, whole=before.whole)
            self.predecessors = predecessors
            self.lease = 0
            self.wanted_since = None
            try:
                await self._sync(adopted.whole)
            except store.DiskError:  # a view that was agreed may be known without the disk; being whole in it may not
                if view.chain[0].id == self.me.id:
                    self.mach.spawn(self.lead_later(view), log)
            self.on_view(view)
        finally:
            self.lock.release()
        log.info("View {}: {}.", view.number, " ".join(link.id for link in view.chain))

    async def lead_later(self, view: message.View) -> None:
        """At the head of a view whose disk refused the note that it is whole: try again as long as the view lasts.

        Example: `mach.spawn(membership.lead_later(view))`
        """
        while self.view.number == view.number and self.record.whole < view.number:
            await self.mach.sleep(RENEW_US)
            try:
                await self.grow_whole(view.number)
            except store.DiskError:
                continue
        if self.view.number == view.number:
            self.on_view(view)

    def _chain_before(self, view: message.View) -> list[tuple[str, str]] | None:
        if view.number == 1:
            return []
        if self.view is None or self.view.number + 1 != view.number:
            return None
        return [(replica.id, replica.boot) for replica in self.view.chain]

    async def grow_whole(self, number: int) -> None:
        """Note, synced, that this copy is whole in a view.

        Example: `await membership.grow_whole(4)`
        """
        await self.lock.acquire()
        try:
            synced = agreement.become_synced(self.record, number)
            if synced is not self.record:
                await self._sync(synced.whole)
        finally:
            self.lock.release()

    async def _sync(self, whole: int | None = None) -> None:
        """Write the record; `whole` counts here only once it is on the disk."""
        record = self.record if whole is None else msgspec.structs.replace(self.record, whole=whole)
        await self.disk.commit([(b"council", msgspec.msgpack.encode(record))])
        self.record = msgspec.structs.replace(self.record, whole=record.whole)

    def give(self, m: message.LeaseRequest) -> message.LeaseGiven:
        """Answer a LeaseRequest.

        Example: `membership.give(message.LeaseRequest(3, "c0ffee"))`
        """
        answer = agreement.give_lease(self.record, self.me.id, m)
        if answer.ok:
            self.grant = (m.tail, self.mach.now() + LEASE_US)
        return answer

    # ---- tasks ----------------------------------------------------------------

    async def poll(self, seat_or_addr: tuple[str, int]) -> None:
        """Exchange signs of life with one core, over and over.

        Example: `mach.spawn(membership.poll(("127.0.0.1", 7001)))`
        """
        host, port = seat_or_addr
        while (host, port) in self.addresses():
            try:
                res = await self.peers.call(host, port, self.heartbeat(), CALL_US)
                self.hear(res)
            except (wire.ConnectionBrokenError, machine.DeadlineError):
                pass
            await self.mach.pause(self.heartbeat_now, HEARTBEAT_US)

    def leave(self) -> None:
        """Tell the others that this machine leaves: the next chain goes on without it.

        Example: `membership.leave()`
        """
        self.leaving = True
        self.heartbeat_now.wake()

    def needed(self) -> bool:
        """Whether this machine should stay while it leaves.

        It should until a chain without it stands, of which as many links as make a majority of
        the voters have shown that they are whole: before that it may hold the only whole copy, or be
        the voter without whom nothing can be agreed. Where all voters leave, the whole fleet
        stops, and nobody is there to hand over to.

        Example: `while membership.needed(): await mach.sleep(50_000)`
        """
        v = self.view
        in_chain = v is not None and message.ChainReplica(self.me.id, self.mach.boot) in v.chain
        if not in_chain and not self.record.whole:
            return False
        others = [self.heartbeats[s.id][1] for s in v.seats if s.id != self.me.id and s.id in self.heartbeats]
        if len([p for p in others if p.leaving]) == len([s for s in v.seats if s.id != self.me.id]):
            return False
        links, alive = {link.id for link in v.chain}, self.alive()
        whole = [p for p in others if p.id in links and p.whole == v.number and p.id in alive]
        return in_chain or len(whole) < agreement.majority(len(v.seats))

    def holds_only_copy(self) -> bool:
        """Whether others go on, and none of them is known to hold what this machine's copy holds.

        Example: `while membership.holds_only_copy(): await mach.sleep(50_000)`
        """
        if not agreement.is_synced(self.record):
            return False
        others = set(self.alive()) - {self.me.id}
        members = {member.id for member in self.view.chain}
        return bool(others) and not others & members & self.known_synced()

    def learn_seeds(self, seeds: list[tuple[str, int]]) -> None:
        """Look for core machines at further addresses; nobody founds a fleet by them.

        Example: `membership.learn_seeds([("127.0.0.1", 7004)])`
        """
        self.seeds += [s for s in seeds if s not in self.seeds]

    def addresses(self) -> set[tuple[str, int]]:
        """All addresses at which core machines are looked for, but this one's.

        Example: `membership.addresses()`
        """
        out = set(self.seeds)
        if self.view is not None:
            out |= {(s.host, s.port) for s in self.view.seats}
        out.discard((self.me.host, self.me.port))
        return out

    async def exchange_heartbeats(self) -> None:
        """Keep one polling task for each address.

        Example: `mach.spawn(membership.exchange_heartbeats())`
        """
        polls = {}
        while True:
            for key in sorted(self.addresses()):
                if key not in polls or polls[key].called:
                    polls[key] = self.mach.spawn(self.poll(key), log)
            await self.mach.sleep(HEARTBEAT_US)

    async def renew(self) -> None:
        """While this machine is the tail, keep its lease.

        Example: `mach.spawn(membership.renew())`
        """
        while True:
            if self.may_lead_reads() and self.disk.ok:
                asked = self.mach.now()
                number = self.view.number
                quorum = agreement.majority(len(self.view.seats))
                res = await self.ask_all(
                    self.view.seats, message.LeaseRequest(number, self.me.id), 500 * machine.MILLI, enough=quorum
                )
                given = [a for a in res.values() if a is not None and a.ok]
                if len(given) >= quorum and self.serving(number) and self.disk.ok:
                    self.lease = max(self.lease, asked + LEASE_US - DRIFT_US)
            await self.mach.sleep(RENEW_US)

    async def ask_all(
        self, seats: list[message.Seat], msg: message.Message, us: int, enough: int | None = None
    ) -> dict[str, message.Accepted | message.LeaseGiven | message.Promise | None]:
        """Put a message to all seats, this one included; None where no answer came.

        Machines that have been silent for long have SILENT_CALL_US; nobody is waited for any more once `enough`
        answers are positive.

        Example: `res = await membership.ask_all(view.seats, msg, us)`
        """
        answers = {}
        complete = defer.Deferred()

        def note(answer: typing.Any, ident: str) -> None:
            answers[ident] = None if isinstance(answer, failure.Failure) else answer
            positive = len([a for a in answers.values() if a is not None and a.ok])
            done = len(answers) == len(seats) or (enough is not None and positive >= enough)
            if done and not complete.called:
                complete.callback(None)

        alive = self.alive()
        for seat in seats:
            patience = us if seat.id in alive else min(us, SILENT_CALL_US)
            defer.ensureDeferred(self.ask(seat, msg, patience)).addBoth(note, seat.id)
        await complete
        return {seat.id: answers.get(seat.id) for seat in seats}

    async def ask(
        self, seat: message.Seat, msg: message.Message, us: int
    ) -> message.Accepted | message.LeaseGiven | message.Promise:
        """Put a message to one machine, this one or another.

        Example: `answer = await membership.ask(view.seats[0], msg, view.CALL_US)`
        """
        if seat.id == self.me.id:
            return await self.answer(msg)
        call = defer.ensureDeferred(self.peers.call(seat.host, seat.port, msg, us))
        return await self.mach.within(call, us)

    async def mend(self) -> None:
        """Watch the chain, and propose a better view where one is due.

        Example: `mach.spawn(membership.mend())`
        """
        while True:
            await self.mach.sleep(200 * machine.MILLI + self.mach.rng.randrange(50 * machine.MILLI))
            if self.view is None:
                await self.found()
            elif self.voter() and self.due():
                await self.propose()

    async def found(self) -> None:
        """Make view 1: the first seed does it, once all seeds are there and blank.

        Example: `await membership.found()`
        """
        now = self.mach.now()
        fresh = {k for k, heard in self.blank.items() if now - heard < DEAD_US}
        mine = (self.me.host, self.me.port)
        if not self.founders or self.founders[0] != mine or not set(self.founders) <= fresh | {mine}:
            return
        by_addr = {(p.host, p.port): p for heard, p in self.heartbeats.values() if now - heard < DEAD_US}
        by_addr[mine] = self.heartbeat()
        ps = [by_addr[k] for k in self.founders]
        seats = [message.Seat(p.id, p.host, p.port, p.zone) for p in ps]
        await self.adopt(message.View(1, seats, [message.ChainReplica(p.id, p.boot) for p in ps]))

    def seats_wanted(self) -> list[message.Seat]:
        """The seats of the next view.

        A newcomer takes the place of a machine that is lost, that leaves, or that came
        back blank at the newcomer's address; else a place of its own up to `size`.

        Example: `membership.seats_wanted()`
        """
        now = self.mach.now()
        known = {s.id for s in self.view.seats}
        newcomers = [
            message.Seat(p.id, p.host, p.port, p.zone)
            for _, (heard, p) in sorted(self.heartbeats.items())
            if now - heard < DEAD_US and p.id not in known and p.disk_ok and not p.leaving
        ]
        states = {ident: self._seat_state(ident) for ident in known}
        return agreement.next_seats(self.view, self.me.id, self.leaving, newcomers, states, self.size)

    def _seat_state(self, ident: str) -> agreement.SeatState:
        heard, last = self.heartbeats.get(ident, (self.began, None))
        silent_us = self.mach.now() - heard
        return agreement.SeatState(
            replaceable=silent_us > REPLACE_US or (last is not None and last.leaving), silent=silent_us > DEAD_US
        )

    def sealed_link(self) -> bool:
        """Whether a link of the view is sealed: the chain is broken there until the next view.

        The voters that keep the tail's lease refuse the sealed machine's own proposals, so that the
        tail has to see this too.

        Example: `membership.sealed_link()`
        """
        now = self.mach.now()
        heartbeats = [p for heard, p in self.heartbeats.values() if now - heard < DEAD_US] + [self.heartbeat()]
        return any(p.sealed and p.view is not None and p.view.number == self.view.number for p in heartbeats)

    def due(self) -> bool:
        """Whether this machine should propose a view now.

        Example: `if membership.due(): await membership.propose()`
        """
        now = self.mach.now()
        alive = self.alive()
        v = self.view
        seats = self.seats_wanted()
        leaving = self.departing()
        if agreement.is_handing_over(v, alive, leaving, self.known_synced()):
            alive, seats = alive | leaving, v.seats
        ids = {s.id for s in seats}
        want = {(i, b) for i, b in alive.items() if i in ids}
        have = {(link.id, link.boot) for link in v.chain}
        live = [s.id for s in v.seats if s.id in alive]
        same = want == have and seats == v.seats
        if (same and not self.sealed_link()) or len(live) < agreement.majority(len(v.seats)):
            self.wanted_since = None
            return False
        if self.wanted_since is None:
            self.wanted_since = now
        tail = v.chain[-1]
        if self.tail() and not same:
            return True
        rank = live.index(self.me.id) if self.me.id in live else len(live)
        waits = alive.get(tail.id) == tail.boot and not self.sealed() and not self.tail()
        patience = DEAD_US if waits else 0
        return now - self.wanted_since >= patience + rank * RANK_US

    async def propose(self) -> None:
        """Try to get the next view agreed.

        Example: `await membership.propose()`
        """
        old = self.view
        number = old.number + 1
        self.seen_ballot = max(self.seen_ballot, self.record.promised[0]) + 1
        ballot = (self.seen_ballot, self.me.id)
        seats = self.seats_wanted()
        res = await self.ask_all(old.seats, message.Prepare(number, ballot, self.me.id), CALL_US)
        if await self._overtaken(res, number):
            return
        promises = {i: a for i, a in res.items() if a is not None and a.ok}
        self.seen_ballot = max([self.seen_ballot] + [a.ballot[0] for a in res.values() if a is not None])
        if len(promises) < agreement.majority(len(old.seats)):
            return
        view = agreement.next_view(old, promises, seats, self.alive(), self.departing())
        if view is None:
            log.warning("No machine that answers holds a synced copy; view {} must wait.", number)
            return
        quorum = agreement.majority(len(old.seats))
        res = await self.ask_all(old.seats, message.Accept(ballot, view, self.me.id), CALL_US, enough=quorum)
        if await self._overtaken(res, number):
            return
        if len([a for a in res.values() if a is not None and a.ok]) < quorum:
            return
        await self.adopt(view)
        both = {s.id: s for s in old.seats + view.seats}
        self.mach.spawn(self.ask_all([both[i] for i in sorted(both)], message.Decided(view), CALL_US), log)

    async def _overtaken(self, res: dict[str, message.Accepted | message.Promise | None], number: int) -> bool:
        for a in res.values():
            if a is not None and a.newer is not None and a.newer.number >= number:
                await self.adopt(a.newer)
                return True
        return False
