"""The agreed view: who votes, and in which order the chain stands.

View v+1 is agreed by a majority of the machines that vote in view v, one decision
per number, with promises and acceptances synced before they are told. A promise
seals the old chain on the machine that gave it: from then on nothing of view v is
acknowledged there. A lease to the tail holds promises to others back until it ran out.
"""

import loguru
import msgspec
import twisted.internet.defer as defer

import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.store as store
import iriswheel.wire as wire

LEASE_US = 1_500 * machine.MILLI
RENEW_US = 300 * machine.MILLI
DRIFT_US = 150 * machine.MILLI
PULSE_US = 250 * machine.MILLI
DEAD_US = 1_300 * machine.MILLI
RANK_US = 300 * machine.MILLI
REPLACE_US = 1_500 * machine.MILLI  # a newcomer takes the seat of one that is silent for so long
CALL_US = 1 * machine.SECOND
SILENT_CALL_US = 150 * machine.MILLI  # for a machine that has not been heard for DEAD_US: nobody waits for it

log = loguru.logger.bind(part="view")


class Record(msgspec.Struct, array_like=True):
    """What an acceptor keeps on disk."""

    view: message.View | None = None
    promised: tuple[int, str] = (0, "")
    accepted: tuple[tuple[int, str], message.View] | None = None
    whole: int = 0


def majority(n):
    """How many of n make a majority.

    >>> majority(3), majority(4)
    (2, 3)
    """
    return n // 2 + 1


def order(view, promises, alive):
    """The chain that view.number + 1 should have, or None where no copy can be trusted.

    Links that were whole in the view come first, in their old order: each of them
    holds all that was acknowledged. Where none of the old links that answer was whole,
    nothing was acknowledged in the view, and one that was whole in the view before leads.

    A link that was whole but can't go on (its disk is bad, or it leaves) still shows that
    something may have been acknowledged: where it is the only whole one, there is no chain
    without it.

    A link holds all that those behind it hold. One that holds less came back with an older
    disk, and counts as a newcomer.

    >>> a, b, c = [message.ChainLink(i, "x") for i in "abc"]
    >>> v = message.View(4, [], [a, b, c])
    >>> said = {i: message.Promise(True, (1, "b"), None, None, i, "x", w, True)
    ...         for i, w in (("b", 4), ("c", 4))}
    >>> [l.id for l in order(v, said, {"b": "x", "c": "y", "d": "z"})]
    ['b', 'c', 'd']
    >>> order(v, {"d": said["b"]}, {"d": "z"}) is None
    True
    >>> said["c"] = message.Promise(True, (1, "b"), None, None, "c", "x", 4, True, (4, 17))
    >>> [l.id for l in order(v, said, {"b": "x", "c": "y"})]
    ['c', 'b']
    """
    old = [link.id for link in view.chain]
    able = [i for i in old if i in promises and i in alive]
    lead = [i for i in able if promises[i].whole == view.number]
    lead = [i for k, i in enumerate(lead) if all(promises[j].tip <= promises[i].tip for j in lead[k + 1 :])]
    if not lead:
        answered = [promises[i].whole for i in old if i in promises]
        if not answered or view.number in answered:
            return None
        lead = [i for i in sorted(promises) if promises[i].whole == view.number - 1 and i in alive][:1]
    if not lead:
        return None
    rest = [i for i in able if i not in lead] + [i for i in sorted(alive) if i not in old and i not in lead]
    return [message.ChainLink(i, alive[i]) for i in lead + rest]


class Council:
    """One core machine's part in agreeing on views.

    Example: `council = Council(mach, disk, record, me, seeds, neighbours, on_view)`,
    where on_view(view) installs a view that was agreed. The seats grow up to `size` as
    further machines appear; `copies` links must keep a change before it stands.
    """

    def __init__(self, mach, disk, record, me, seeds, neighbours, on_view, size=3, copies=2):
        self.mach = mach
        self.disk = disk  # store.Guard
        self.record = record
        self.me = me  # message.Seat
        self.founders = list(seeds)  # [(host, port)]; the first may found the fleet
        self.seeds = list(seeds)  # and where else core machines are looked for
        self.neighbours = neighbours
        self.on_view = on_view
        self.tip = lambda: (0, 0)  # the newest entry here: the view it was made in, its number
        self.lock = defer.DeferredLock()
        self.began = mach.now()
        self.grant = ("", mach.now() + LEASE_US)  # after a restart, an old grant may stand
        self.lease = 0
        self.predecessors = None  # the chain before the newest view's, as (core id, incarnation); None: not known here
        self.pulses = {}  # id -> (heard, Pulse)
        self.size = max(size, len(self.founders))
        self.copies = copies
        self.leaving = False
        self.pulse_now = machine.Signal()
        self.blank = {}  # seed address -> heard, of seeds that know no view
        self.wanted_since = None
        self.seen_ballot = 0

    # ---- what others ask ---------------------------------------------------

    @property
    def view(self):
        """The newest view known here.

        Example: `council.view.number`
        """
        return self.record.view

    def sealed(self):
        """Whether a promise here has closed the present view.

        Example: `if council.sealed(): refuse()`
        """
        return self.record.promised != (0, "")

    def voter(self):
        """Whether this machine votes in the newest view.

        Example: `council.voter()`
        """
        return self.view is not None and any(s.id == self.me.id for s in self.view.seats)

    def serving(self, number=None):
        """Whether this life of this machine is a link of the (numbered) view, unsealed.

        Example: `council.serving(3)`
        """
        v = self.view
        if v is None or self.sealed() or (number is not None and number != v.number):
            return False
        return message.ChainLink(self.me.id, self.mach.boot) in v.chain

    def tail(self):
        """Whether this machine is the tail of the newest view.

        Example: `council.tail()`
        """
        return self.serving() and self.view.chain[-1].id == self.me.id

    def leased(self):
        """Whether this machine is the tail and holds the lease at this very moment.

        Example: `if council.leased(): answer()`
        """
        return self.tail() and self.record.whole == self.view.number and self.mach.now() < self.lease

    def pulse(self):
        """This core's own sign of life.

        Example: `link.tell(council.pulse())`
        """
        return message.Pulse(
            self.me.id,
            self.mach.boot,
            self.me.zone,
            self.me.host,
            self.me.port,
            self.view,
            self.record.whole,
            self.disk.ok,
            self.leaving,
        )

    def seat(self, ident):
        """Where a core machine is to be reached, or None.

        Example: `council.seat(view.chain[0].id).host`
        """
        for s in self.view.seats if self.view else []:
            if s.id == ident:
                return s
        return None

    def alive(self):
        """The cores that live and stay, and whose disk works, with their boots.

        Example: `council.alive()["c0ffee"]`
        """
        now = self.mach.now()
        out = {
            i: p.boot for i, (heard, p) in self.pulses.items() if now - heard < DEAD_US and p.disk_ok and not p.leaving
        }
        if self.disk.ok and not self.leaving:
            out[self.me.id] = self.mach.boot
        return out

    # ---- answers to other cores ----------------------------------------------

    async def answer(self, msg):
        """Answer one of the council's messages.

        Example: `res = await council.answer(message.LeaseAsk(3, "c0ffee"))`
        """
        match msg:
            case message.Pulse():
                self.hear(msg)
                return self.pulse()
            case message.Prepare():
                return await self.promise(msg)
            case message.Accept():
                return await self.accept(msg)
            case message.Decided(view=view):
                await self.adopt(view)
                return message.Accepted(True, None)
            case message.LeaseAsk():
                return self.give(msg)

    def hear(self, p):
        """Take in a sign of life.

        Example: `council.hear(pulse)`
        """
        self.pulses[p.id] = (self.mach.now(), p)
        if p.view is None:
            self.blank[(p.host, p.port)] = self.mach.now()
        elif self.view is None or p.view.number > self.view.number:
            self.mach.spawn(self.adopt(p.view), log)

    def _newer(self, number):
        return self.view if self.view is not None and self.view.number >= number else None

    def _refuse(self, number):
        r = self.record
        return message.Promise(
            False, r.promised, None, self._newer(number), self.me.id, self.mach.boot, r.whole, self.disk.ok
        )

    def _votes(self, number, sender):
        return (
            self.view is not None
            and self.view.number + 1 == number
            and self.voter()
            and any(s.id == sender for s in self.view.seats)
        )

    async def promise(self, m):
        """Answer a Prepare.

        Example: `await council.promise(message.Prepare(4, (1, "a"), "a"))`
        """
        await self.lock.acquire()
        try:
            holder, until = self.grant
            r = self.record
            if not self._votes(m.number, m.sender) or m.ballot <= r.promised:
                return self._refuse(m.number)
            if self.mach.now() < until and holder != m.sender:
                return self._refuse(m.number)
            r.promised = m.ballot
            self.lease = 0
            await self._sync()
            return message.Promise(
                True, m.ballot, r.accepted, None, self.me.id, self.mach.boot, r.whole, self.disk.ok, self.tip()
            )
        finally:
            self.lock.release()

    async def accept(self, m):
        """Answer an Accept.

        Example: `await council.accept(message.Accept((1, "a"), view, "a"))`
        """
        await self.lock.acquire()
        try:
            r = self.record
            if not self._votes(m.view.number, m.sender) or m.ballot < r.promised:
                return message.Accepted(False, self._newer(m.view.number))
            r.promised = m.ballot
            r.accepted = (m.ballot, m.view)
            await self._sync()
            return message.Accepted(True, None)
        finally:
            self.lock.release()

    async def adopt(self, view):
        """Take a view that was agreed, unless a newer one is known.

        Example: `await council.adopt(view)`
        """
        await self.lock.acquire()
        try:
            r = self.record
            if r.view is not None and r.view.number >= view.number:
                return
            was = r.whole
            self.predecessors = self._chain_before(view)
            r.view, r.promised, r.accepted = view, (0, ""), None
            self.lease = 0
            self.wanted_since = None
            if view.chain[0].id == self.me.id:
                r.whole = view.number
            try:
                await self._sync()
            except store.DiskDefect:
                r.whole = was
            self.on_view(view)
        finally:
            self.lock.release()
        log.info("View {}: {}.", view.number, " ".join(link.id for link in view.chain))

    def _chain_before(self, view):
        if view.number == 1:
            return []
        if self.view is None or self.view.number + 1 != view.number:
            return None
        return [(replica.id, replica.boot) for replica in self.view.chain]

    async def grow_whole(self, number):
        """Note, synced, that this copy is whole in a view.

        Example: `await council.grow_whole(4)`
        """
        await self.lock.acquire()
        try:
            if self.view.number == number and not self.sealed() and self.record.whole < number:
                self.record.whole = number
                await self._sync()
        finally:
            self.lock.release()

    async def _sync(self):
        await self.disk.commit([(b"council", msgspec.msgpack.encode(self.record))])

    def give(self, m):
        """Answer a LeaseAsk.

        Example: `council.give(message.LeaseAsk(3, "c0ffee"))`
        """
        v = self.view
        ok = v is not None and v.number == m.view and not self.sealed() and self.voter() and v.chain[-1].id == m.tail
        if ok:
            self.grant = (m.tail, self.mach.now() + LEASE_US)
        return message.LeaseGiven(ok, self._newer(m.view + 1))

    # ---- tasks ----------------------------------------------------------------

    async def poll(self, seat_or_addr):
        """Exchange signs of life with one core, over and over.

        Example: `mach.spawn(council.poll(("127.0.0.1", 7001)))`
        """
        host, port = seat_or_addr
        while (host, port) in self.addresses():
            try:
                res = await self.neighbours.call(host, port, self.pulse(), CALL_US)
                self.hear(res)
            except (wire.Broken, machine.Late):
                pass
            await self.mach.pause(self.pulse_now, PULSE_US)

    def leave(self):
        """Tell the others that this machine leaves: the next chain goes on without it.

        Example: `council.leave()`
        """
        self.leaving = True
        self.pulse_now.wake()

    def needed(self):
        """Whether this machine should stay while it leaves.

        It should as long as it is in the chain where others could go on, and until a
        majority has shown the view without it: until its lease ran out they could not
        agree on one by themselves.

        Example: `while council.needed(): await mach.sleep(50_000)`
        """
        v = self.view
        if v is None or len([s for s in v.seats if s.id in self.alive()]) < majority(len(v.seats)):
            return False
        told = [
            s
            for s in v.seats
            if s.id in self.pulses
            and self.pulses[s.id][1].view is not None
            and self.pulses[s.id][1].view.number >= v.number
        ]
        return message.ChainLink(self.me.id, self.mach.boot) in v.chain or len(told) < majority(len(v.seats))

    def learn_seeds(self, seeds):
        """Look for core machines at further addresses; nobody founds a fleet by them.

        Example: `council.learn_seeds([("127.0.0.1", 7004)])`
        """
        self.seeds += [s for s in seeds if s not in self.seeds]

    def addresses(self):
        """All addresses at which core machines are looked for, but this one's.

        Example: `council.addresses()`
        """
        out = set(self.seeds)
        if self.view is not None:
            out |= {(s.host, s.port) for s in self.view.seats}
        out.discard((self.me.host, self.me.port))
        return out

    async def pulse_all(self):
        """Keep one polling task for each address.

        Example: `mach.spawn(council.pulse_all())`
        """
        polls = {}
        while True:
            for key in sorted(self.addresses()):
                if key not in polls or polls[key].called:
                    polls[key] = self.mach.spawn(self.poll(key), log)
            await self.mach.sleep(PULSE_US)

    async def renew(self):
        """While this machine is the tail, keep its lease.

        Example: `mach.spawn(council.renew())`
        """
        while True:
            if self.tail() and self.record.whole == self.view.number and self.disk.ok:
                asked = self.mach.now()
                number = self.view.number
                res = await self.ask_all(self.view.seats, message.LeaseAsk(number, self.me.id), 500 * machine.MILLI)
                given = [a for a in res.values() if a is not None and a.ok]
                if len(given) >= majority(len(self.view.seats)) and self.serving(number) and self.disk.ok:
                    self.lease = max(self.lease, asked + LEASE_US - DRIFT_US)
            await self.mach.sleep(RENEW_US)

    async def ask_all(self, seats, msg, us):
        """Put a message to all seats, this one included; None where no answer came.

        Example: `res = await council.ask_all(view.seats, msg, us)`
        """
        alive = self.alive()

        async def ask(s):
            if s.id == self.me.id:
                return await self.answer(msg)
            patience = us if s.id in alive else min(us, SILENT_CALL_US)
            call = defer.ensureDeferred(self.neighbours.call(s.host, s.port, msg, us))
            return await self.mach.within(call, patience)

        ds = [defer.ensureDeferred(ask(s)) for s in seats]
        res = await defer.DeferredList(ds, consumeErrors=True)
        return {s.id: val if ok else None for s, (ok, val) in zip(seats, res, strict=False)}

    async def mend(self):
        """Watch the chain, and propose a better view where one is due.

        Example: `mach.spawn(council.mend())`
        """
        while True:
            await self.mach.sleep(200 * machine.MILLI + self.mach.rng.randrange(50 * machine.MILLI))
            if self.view is None:
                await self.found()
            elif self.voter() and self.due():
                await self.propose()

    async def found(self):
        """Make view 1: the first seed does it, once all seeds are there and blank.

        Example: `await council.found()`
        """
        now = self.mach.now()
        fresh = {k for k, heard in self.blank.items() if now - heard < DEAD_US}
        mine = (self.me.host, self.me.port)
        if not self.founders or self.founders[0] != mine or not set(self.founders) <= fresh | {mine}:
            return
        by_addr = {(p.host, p.port): p for heard, p in self.pulses.values() if now - heard < DEAD_US}
        by_addr[mine] = self.pulse()
        ps = [by_addr[k] for k in self.founders]
        seats = [message.Seat(p.id, p.host, p.port, p.zone) for p in ps]
        await self.adopt(message.View(1, seats, [message.ChainLink(p.id, p.boot) for p in ps]))

    def seats_wanted(self):
        """The seats of the next view.

        A newcomer takes the place of a machine that is lost, that leaves, or that came
        back blank at the newcomer's address; else a place of its own up to `size`.

        Example: `council.seats_wanted()`
        """
        now = self.mach.now()
        known = {s.id for s in self.view.seats}
        fresh = sorted(
            (
                p
                for heard, p in self.pulses.values()
                if now - heard < DEAD_US and p.id not in known and p.disk_ok and not p.leaving
            ),
            key=lambda p: p.id,
        )
        seats = list(self.view.seats)
        for p in fresh:
            for k, s in enumerate(seats):
                if s.id not in known or (s.id == self.me.id and not self.leaving):
                    continue
                if s.id == self.me.id:
                    seats[k] = message.Seat(p.id, p.host, p.port, p.zone)
                    break
                heard, last = self.pulses.get(s.id, (self.began, None))
                same_place = (s.host, s.port) == (p.host, p.port)
                if same_place and now - heard <= DEAD_US:
                    break  # it may be an old sign of life
                if now - heard > REPLACE_US or (same_place and now - heard > DEAD_US) or (last and last.leaving):
                    seats[k] = message.Seat(p.id, p.host, p.port, p.zone)
                    break
            else:
                if len(seats) < self.size:
                    seats.append(message.Seat(p.id, p.host, p.port, p.zone))
        return seats

    def due(self):
        """Whether this machine should propose a view now.

        Example: `if council.due(): await council.propose()`
        """
        now = self.mach.now()
        alive = self.alive()
        v = self.view
        seats = self.seats_wanted()
        ids = {s.id for s in seats}
        want = {(i, b) for i, b in alive.items() if i in ids}
        have = {(link.id, link.boot) for link in v.chain}
        live = [s.id for s in v.seats if s.id in alive]
        if (want == have and seats == v.seats and not self.sealed()) or len(live) < majority(len(v.seats)):
            self.wanted_since = None
            return False
        if self.wanted_since is None:
            self.wanted_since = now
        tail = v.chain[-1]
        if self.tail():
            return True
        rank = live.index(self.me.id) if self.me.id in live else len(live)
        patience = DEAD_US if alive.get(tail.id) == tail.boot and not self.sealed() else 0
        return now - self.wanted_since >= patience + rank * RANK_US

    async def propose(self):
        """Try to get the next view agreed.

        Example: `await council.propose()`
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
        if len(promises) < majority(len(old.seats)):
            return
        taken = [a.accepted for a in promises.values() if a.accepted is not None]
        if taken:
            view = max(taken, key=lambda a: a[0])[1]
        else:
            ids = {s.id for s in seats}
            alive = {i: b for i, b in self.alive().items() if i in ids}
            for i, a in promises.items():
                if i in alive:
                    alive[i] = a.boot
                if not a.disk_ok:
                    alive.pop(i, None)
            chain = order(old, promises, alive)
            if chain is None:
                log.warning("No machine that answers holds a whole copy; view {} must wait.", number)
                return
            view = message.View(number, seats, chain)
        res = await self.ask_all(old.seats, message.Accept(ballot, view, self.me.id), CALL_US)
        if await self._overtaken(res, number):
            return
        if len([a for a in res.values() if a is not None and a.ok]) < majority(len(old.seats)):
            return
        await self.adopt(view)
        both = {s.id: s for s in old.seats + view.seats}
        self.mach.spawn(self.ask_all([both[i] for i in sorted(both)], message.Decided(view), CALL_US), log)

    async def _overtaken(self, res, number):
        for a in res.values():
            if a is not None and a.newer is not None and a.newer.number >= number:
                await self.adopt(a.newer)
                return True
        return False
