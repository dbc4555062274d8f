"""The warden: the one node that answers for a pool, under a term.

It owns the pool's session records, the seats of its workers, the load in flight and
the claims on exchanges that may not be repeated. Copies of records and claims stand on
other nodes before it answers; a new warden gathers them before it answers anything.
"""

from __future__ import annotations

import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.budget as budget
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.reach as reach
import iriswheel.session as session
import iriswheel.verdict as verdict

if typing.TYPE_CHECKING:
    import iriswheel.configuration as configuration
    import iriswheel.node as node_module


GATHER_US = 600 * machine.MILLI
COPY_US = 500 * machine.MILLI
CLAIM_US = 600 * machine.SECOND  # how long a claim is remembered
FOREIGN = "pool/"  # the ask of a claim that another pool's warden had made
VOID_US = 60 * machine.SECOND  # how long an ask that was given up gets no grant
USE_US = 2 * machine.SECOND  # how long a grant may lie unused
WHOLE_SWEEPS = 6  # every so many sweeps the copies get the whole
LOST_US = 3 * machine.SECOND  # a grant that its node no longer lists
PREFIXES = 256  # prefix parts remembered per worker

log = loguru.logger.bind(part="warden")


class Claim:
    """The claim on one exchange.

    >>> Claim("e", 1, "n", "a", 0).state
    'claimed'
    """

    __slots__ = ("exchange", "send", "node", "ask", "until", "state")

    def __init__(self, exchange: str, send: int, node: str, ask: str, until: int, state: str = "claimed") -> None:
        self.exchange, self.send, self.node, self.ask = exchange, send, node, ask
        self.until, self.state = until, state

    def told(self, now: int) -> message.Claim:
        """The claim as it travels.

        >>> Claim("e", 1, "n", "a", 9).told(4).left_us
        5
        """
        return message.Claim(self.exchange, self.send, self.node, self.ask, self.state, max(0, self.until - now))


class Busy:
    """What a worker has in flight, added up.

    >>> b = Busy(); b.add(message.Grant("p", "a", "n", "w", "", 70, True)); len(b.held), b.long, b.work
    (1, 1, 70)
    >>> b.drop("a"); b.drop("a"); len(b.held), b.long, b.work
    (0, 0, 0)
    """

    __slots__ = ("held", "long", "work")

    def __init__(self) -> None:
        self.held: dict[typing.Any, typing.Any] = {}  # ask -> Grant
        self.long = 0
        self.work = 0

    def add(self, g: message.Grant) -> None:
        """Count a grant.

        >>> Busy().add(message.Grant("p", "a", "n", "w", "", 70, True))
        """
        self.drop(g.ask)
        self.held[g.ask] = g
        self.long += g.long
        self.work += g.work

    def drop(self, ask: str) -> None:
        """Count a grant no more.

        >>> Busy().drop("a")
        """
        g = self.held.pop(ask, None)
        if g is not None:
            self.long -= g.long
            self.work -= g.work


class SessionReplica:
    """The copies that a node keeps of one pool's records, under the newest term it saw.

    >>> s = SessionReplica()
    >>> s.take(message.Copy("p", (2, 1), "n1", [], [], []), now=0)
    True
    >>> s.take(message.Copy("p", (1, 9), "n0", [], [], []), now=0)
    False
    """

    def __init__(self) -> None:
        self.term = (0, 0)
        self.sessions: dict[str, tuple[message.Session, int]] = {}  # id -> (Session, when it came)
        self.claims: dict[str, tuple[message.Claim, int]] = {}
        self.held = False  # whether a copy was ever whole here
        self.broken_until = 0  # until when claims of before may be missing

    def fence(self, term: tuple[int, int]) -> bool:
        """Let no older term write here; False where a newer one already did.

        >>> s = SessionReplica(); s.fence((3, 1)), s.fence((2, 7))
        (True, False)
        """
        if term < self.term:
            return False
        self.term = term
        return True

    def take(self, m: message.Copy, now: int) -> bool:
        """Take a copy; a partial one only counts on top of a whole one.

        >>> SessionReplica().take(message.Copy("p", (1, 1), "n", [], [], [], whole=True), 0)
        True
        """
        if not self.fence(m.term):
            return False
        if m.whole:
            self.sessions, self.claims, self.held = {}, {}, True
            self.broken_until = now + m.broken_us
        for s in m.sessions:
            old = self.sessions.get(s.id)
            if old is None or old[0].stamp <= s.stamp:
                self.sessions[s.id] = (s, now)
        for c in m.claims:
            self.claims[c.exchange] = (c, now)
        for ident in m.closed:
            self.sessions.pop(ident, None)
            self.claims.pop(ident, None)
        return True

    def sweep(self, now: int) -> None:
        """Forget what is long past.

        >>> SessionReplica().sweep(0)
        """
        for kept in (self.sessions, self.claims):
            for key in [k for k, (v, at) in kept.items() if now - at > v.left_us + 60 * machine.SECOND]:
                del kept[key]

    def told(self, now: int) -> tuple[list[message.Session], list[message.Claim]]:
        """All copies as they travel, with the spans that are left now.

        >>> SessionReplica().told(0)
        ([], [])
        """
        out = []
        for kept in (self.sessions, self.claims):
            out.append([_aged(v, now - at) for _, (v, at) in sorted(kept.items())])
        return out[0], out[1]


def _aged(v: message.Claim | message.Session, us: int) -> message.Claim | message.Session:
    match v:
        case message.Session():
            return message.Session(v.id, v.worker, max(0, v.left_us - us), v.lifetime_us, v.cost, v.stamp, v.ask)
        case message.Claim():
            return message.Claim(v.exchange, v.send, v.node, v.ask, v.state, max(0, v.left_us - us))


class Warden:
    """One pool's warden, for as long as the duty is here under one term.

    Example: `w = Warden(node, "desk", duty)`; `mach.spawn(w.run())`.
    """

    def __init__(self, node: node_module.Node, pool: str, duty: message.Duty) -> None:
        self.node = node
        self.mach = node.mach
        self.pool = pool
        self.duty = duty
        self.book = session.Book()
        self.claims: dict[str, Claim] = {}
        # ask -> [Grant, when last listed, Claim or None, when the budget was charged or None]
        self.grants: dict[str, list[typing.Any]] = {}
        self.busy: dict[str, Busy] = {}  # worker -> Busy
        self.voids: dict[str, int] = {}  # ask -> until: asks given up before they came here
        self.budget = budget.Budget()  # of the whole fleet's sends to this pool
        self.waiting = 0
        self.freed = machine.Signal()
        self.gathered = False
        self.since = self.mach.now()
        self.broken_until = self.since + CLAIM_US  # until when claims of before may be missing
        self.prefixes: dict[str, dict[str, None]] = {}  # worker -> {part: None}, newest last
        self.watch = reach.Watch(self)
        self.lazy: dict[str, Claim | session.Record] = {}  # session ids and claims whose copies are out of date
        self.gone: dict[str, None] = {}  # ids closed since the last lazy copy
        self.over = False
        self.counts = {"elects": 0, "pinned": 0, "opened": 0, "closed": 0, "claims": 0, "denied": 0}

    # ---- life --------------------------------------------------------------------

    def live(self) -> bool:
        """Whether this term still is the newest that this node knows.

        Example: `if not warden.live(): return`
        """
        return not self.over and self.node.wardens.get(self.pool) is self

    def seated(self) -> bool:
        """Whether this warden may answer: gathered, and its seat is in the roster.

        Example: `warden.seated()`
        """
        d = self.node.follower.duty(f"pool/{self.pool}")
        return (
            self.live()
            and self.gathered
            and d is not None
            and d.term == self.duty.term
            and d.seated
            and self.node.follower.settled()
            and self.node.follower.news_at is not None
        )

    async def run(self) -> None:
        """Gather, take the seat, then look after the records.

        Example: `mach.spawn(warden.run())`
        """
        while self.live() and not await self.gather():
            await self.mach.sleep(200 * machine.MILLI)
        for coro in (self.sweep(), self.copy_lazily(), self.watch.run()):
            self.mach.spawn(coro, log)
        while self.live() and not self.seated():
            self.node.follower.session.tell(message.Seated(self.duty.key, self.duty.term))
            await self.mach.sleep(100 * machine.MILLI)
            self.freed.wake()
        log.info("Warden of {} seated under {}, {} sessions.", self.pool, self.duty.term, len(self.book.records))

    def end(self) -> None:
        """The duty has gone elsewhere.

        Example: `warden.end()`
        """
        self.over = True
        self.freed.wake()

    def leave_to(self, session_replica: SessionReplica) -> None:
        """Leave the records, if they are whole, to this node's own session replica for the next warden.

        Example: `warden.leave_to(node.session_replica("desk"))`
        """
        if self.gathered:
            now = self.mach.now()
            session_replica.sessions = {r.id: (session.told(r, now), now) for r in self.book.records.values()}
            session_replica.claims = {c.exchange: (c.told(now), now) for c in self.claims.values()}
            session_replica.held, session_replica.broken_until = True, self.broken_until

    def broken(self) -> bool:
        """Whether claims made under earlier wardens may have been lost.

        Example: `warden.broken()`
        """
        return self.mach.now() < self.broken_until

    async def gather(self) -> bool:
        """Ask every live node for what it holds, mend the copies; False to try again.

        Example: `await warden.gather()`
        """
        fol = self.node.follower
        members = list(fol.roster.members)
        msg = message.Gather(self.pool, self.duty.term, self.node.me.id)
        res = await self.node.ask_members(members, msg, GATHER_US)
        if not self.live():
            return False
        got = {i: a for i, a in res.items() if a is not None}
        if any(not a.ok for a in got.values()):
            self.end()  # a newer term is about
            return False
        now = self.mach.now()
        base = [i for i in self.duty.base if i in got and got[i].copy]
        absent = [m.id for m in members if m.id not in got]
        if not base and [i for i in self.duty.base if i in absent] and now - self.since < 3 * machine.SECOND:
            return False
        if base:  # what an earlier warden had lost is lost to this one too
            self.broken_until = max(now + got[i].broken_us for i in base)
        sessions, claims = {}, {}
        for i in sorted(got):
            self.budget.add(now, got[i].firsts, got[i].repeats)
            for s in got[i].sessions:
                old = sessions.get(s.id)
                if old is None or (s.stamp, s.left_us) > (old.stamp, old.left_us):
                    sessions[s.id] = s
            for c in got[i].claims:
                old = claims.get(c.exchange)
                if old is None or (c.send, c.state == "ran") > (old.send, old.state == "ran"):
                    claims[c.exchange] = c
            for s in [] if base else got[i].pins:
                sessions.setdefault(s.id, s)
        for s in [] if base else await self.gather_cores():
            sessions.setdefault(s.id, s)
        self.book.stamp = max((s.stamp for s in sessions.values()), default=0)
        for s in sessions.values():
            r = self.book.open(s.id, s.worker, now, s.lifetime_us, s.cost)
            r.expires, r.opened_by = now + s.left_us, s.ask
        by_ask = {}
        for c in claims.values():
            by_ask[c.ask] = self.claims[c.exchange] = Claim(c.exchange, c.send, c.node, c.ask, now + c.left_us, c.state)
        for g in [g for a in got.values() for g in a.held]:
            self.hold(g, by_ask.get(g.ask))
            r = self.book.pinned(g.session)
            if r is not None and r.worker == g.worker:
                r.turns += 1
        self.check_workers()
        whole = self.whole_copy()
        if not await self.copy(whole):
            return False
        self.tell_cores(whole)
        self.gathered = True
        if self.broken() and not base:
            log.warning("No copy of the last group of {} answers: claims may be lost.", self.pool)
        return True

    def whole_copy(self) -> message.Copy:
        """All records, as a holder that knows nothing needs them.

        Example: `await warden.copy(warden.whole_copy())`
        """
        now = self.mach.now()
        return message.Copy(
            self.pool,
            self.duty.term,
            self.node.me.id,
            [session.told(r, now) for r in self.book.records.values()],
            [c.told(now) for c in self.claims.values()],
            [],
            True,
            max(0, self.broken_until - now),
        )

    async def gather_cores(self) -> list[typing.Any]:
        """The sessions that core machines keep, for when no holder's copy is left.

        Where most core machines answer and none has ever heard of the pool, it is new, and
        no claim was lost.

        Example: `sessions = await warden.gather_cores()`
        """
        msg = message.Gather(self.pool, self.duty.term, self.node.me.id)
        seats = self.node.follower.roster.cores
        ds = [defer.ensureDeferred(self.node.peers.call(s.host, s.port, msg, GATHER_US)) for s in seats]
        out = {}
        got = [a for ok, a in await defer.DeferredList(ds, consumeErrors=True) if ok and a.ok]
        known = 2 * len(got) <= len(seats) or any(a.copy for a in got)
        self.broken_until = self.mach.now() + CLAIM_US if known else 0
        for a in got:
            for s in a.sessions:
                if s.id not in out or (out[s.id].stamp, out[s.id].left_us) < (s.stamp, s.left_us):
                    out[s.id] = s
        return list(out.values())

    def tell_cores(self, msg: message.Copy) -> None:
        """Let the core machines keep a late copy of the sessions; nothing waits for it.

        Example: `warden.tell_cores(copy)`
        """
        self.node.follower.session.tell(
            message.Copy(msg.pool, msg.term, msg.warden, msg.sessions, [], msg.closed, msg.whole)
        )

    async def copy(self, msg: message.Copy) -> bool:
        """Put a copy on every holder; False unless all of them took it.

        Example: `await warden.copy(message.Copy("desk", term, me, [], [], []))`
        """
        members = [m for m in self.node.follower.roster.members if m.id in self.duty.copies]
        if len(members) < len(self.duty.copies):
            return False
        res = await self.node.ask_members(members, msg, COPY_US)
        if any(a is not None and not a.ok for a in res.values()):
            self.end()
        return self.live() and all(a is not None and a.ok for a in res.values())

    # ---- records -----------------------------------------------------------------

    def hold(self, g: message.Grant, claim: Claim | None = None, paid: int | None = None) -> None:
        """Count a grant as load in flight; `paid` is when the budget was charged for it.

        Example: `warden.hold(grant)`
        """
        self.grants[g.ask] = [g, self.mach.now(), claim, paid]
        self.busy.setdefault(g.worker, Busy()).add(g)

    def release(self, ask: str, outcome: verdict.Verdict) -> None:
        """A grant is over; what waits for a seat looks again.

        Example: `warden.release("n1-7", verdict.Verdict.RAN)`
        """
        now = self.mach.now()
        kept = self.grants.pop(ask, None)
        if kept is None:
            if outcome == verdict.Verdict.NOT_RUN:
                self.voids[ask] = now + VOID_US
                for c in [c for c in self.claims.values() if c.ask == ask]:
                    self.unclaim(c)  # gathered from a warden whose grant came too late
                for r in [r for r in self.book.records.values() if r.opened_by == ask and not r.turns]:
                    self.book.close(r.id)
                    self.gone[r.id] = None
            return
        g = kept[0]
        if outcome == verdict.Verdict.NOT_RUN:
            self.budget.refund(kept[3])
        self.busy[g.worker].drop(ask)
        r = self.book.pinned(g.session)
        if r is not None and r.worker == g.worker:
            r.turns = max(0, r.turns - 1)
            if outcome == verdict.Verdict.NOT_RUN and r.opened_by == ask and not r.turns:
                self.book.close(r.id)  # its first turn never reached the worker
                self.gone[r.id] = None
            else:
                self.book.extend(r, now)
                self.lazy[r.id] = r
            if outcome != verdict.Verdict.NOT_RUN:
                r.opened_by = ""
        c = kept[2]
        if c is not None and self.claims.get(c.exchange) is c:
            if outcome == verdict.Verdict.NOT_RUN:
                self.unclaim(c)
            else:
                c.state = "ran"
                c.until = now + CLAIM_US
                self.lazy[c.exchange] = c
        self.freed.wake()

    def unclaim(self, c: Claim) -> None:
        """Forget a claim: its time is over, or its node says that it was never used.

        Example: `warden.unclaim(claim)`
        """
        del self.claims[c.exchange]
        self.gone[c.exchange] = None

    def listed(self, m: message.Running) -> None:
        """A node lists the grants it holds; those it no longer knows are released.

        Example: `warden.listed(message.Running("desk", "n1", ["n1-7"]))`
        """
        now = self.mach.now()
        for w in m.heard:
            self.watch.hear(w, m.node)
        for ask in m.voids:
            if ask not in self.voids:
                self.release(ask, verdict.Verdict.NOT_RUN)
                self.voids[ask] = now + VOID_US
        asks = set(m.asks)
        for ask, kept in list(self.grants.items()):
            if kept[0].node != m.node:
                continue
            if ask in asks:
                kept[1] = now
            elif now - kept[1] > LOST_US:
                self.release(ask, verdict.Verdict.MAY_HAVE_RUN)

    def check_workers(self) -> None:
        """Close the sessions of workers that are no longer ready, drop lost nodes' grants.

        Example: `warden.check_workers()`
        """
        fol = self.node.follower
        if fol.news_at is None:
            return  # no list yet: nobody is known to have gone
        for w in [w for w in self.book.at if fol.state(w) != "ready" or w in self.watch.dark]:
            for r in self.book.evict(w):
                self.gone[r.id] = None
                self.counts["closed"] += 1
        nodes = {m.id for m in fol.roster.members}
        for ask, kept in list(self.grants.items()):
            if kept[0].node not in nodes and self.mach.now() - kept[1] > LOST_US:
                self.release(ask, verdict.Verdict.MAY_HAVE_RUN)
        self.freed.wake()

    async def sweep(self) -> None:
        """Every five seconds: close what is past its expiry, forget old claims.

        Now and then the whole goes out to the copies, in case one of them has gone astray.

        Example: `mach.spawn(warden.sweep())`
        """
        sweeps = 0
        while self.live():
            await self.mach.sleep(session.SWEEP_US)
            sweeps += 1
            if sweeps % WHOLE_SWEEPS == 0 and self.seated():
                self.tell_cores(self.whole_copy())
                await self.copy(self.whole_copy())
            now = self.mach.now()
            for r in self.book.sweep(now):
                self.gone[r.id] = None
                self.counts["closed"] += 1
            for c in [c for c in self.claims.values() if c.until < now]:
                self.unclaim(c)
            for ask in [a for a, until in self.voids.items() if until < now]:
                del self.voids[ask]
            self.check_workers()

    async def copy_lazily(self) -> None:
        """Bring the copies' expiries up to date, a few times a second, and drop dead pins everywhere.

        Example: `mach.spawn(warden.copy_lazily())`
        """
        while self.live():
            await self.mach.sleep(300 * machine.MILLI)
            if not self.lazy and not self.gone:
                continue
            lazy, self.lazy = self.lazy, {}
            gone, self.gone = self.gone, {}
            now = self.mach.now()
            sessions = [
                session.told(r, now)
                for r in lazy.values()
                if isinstance(r, session.Record) and self.book.pinned(r.id) is r
            ]
            claims = [c.told(now) for c in lazy.values() if isinstance(c, Claim) and self.claims.get(c.exchange) is c]
            closed = [i for i in gone if i not in self.book.records and i not in self.claims]
            if gone:
                for m in self.node.follower.roster.members:
                    self.node.tell_member(m.id, message.Unpin(self.pool, list(gone)))
            msg = message.Copy(self.pool, self.duty.term, self.node.me.id, sessions, claims, closed)
            self.tell_cores(msg)
            if not await self.copy(msg):
                self.lazy = {**lazy, **self.lazy}
                self.gone = {**gone, **self.gone}

    # ---- electing -----------------------------------------------------------------

    def deny(
        self, code: str, text: str, may: verdict.Verdict = verdict.Verdict.NOT_RUN, retry_us: int = machine.SECOND
    ) -> message.Denied:
        """A final no.

        Example: `return warden.deny("busy", "All seats are taken.")`
        """
        self.counts["denied"] += 1
        return message.Denied(self.duty.term, code, text, may.value, retry_us)

    def score(self, worker: str, m: message.Elect) -> float:
        """The load that an exchange would meet on a worker: the lower, the better.

        Real work in flight, the reserved cost of open sessions, what the worker itself
        reports beyond that, and the exchange's own work less the prefix held there.

        Example: `warden.score("w1", elect)`
        """
        busy = self.busy.get(worker) or Busy()
        load = busy.work + self.book.load(worker)
        running, queued = self.watch.reports.get(worker, (0, 0))
        load += max(0, running + queued - len(busy.held)) * 100
        known = self.prefixes.get(worker, {})
        hits = 0
        for part in m.prefix:
            if part not in known:
                break
            hits += 1
        return load + m.work * (1 - 0.8 * hits / max(1, len(m.prefix)))

    def has_seat(self, worker: str, long: bool, pool: configuration.Pool) -> bool:
        """Whether a worker has a free seat; long prompts have fewer of them.

        Example: `warden.has_seat("w1", True, pool)`
        """
        busy = self.busy.get(worker) or Busy()
        return len(busy.held) < pool.slots and (not long or busy.long < pool.long_slots)

    def pick(self, m: message.Elect, pool: configuration.Pool) -> str | None:
        """The worker for an exchange: its name, or None to wait, or a Denied.

        Example: `warden.pick(elect, configuration.Pool())`
        """
        now = self.mach.now()
        ready = [
            w.id
            for w in self.node.follower.workers
            if w.pool == self.pool and w.state == "ready" and w.id not in self.watch.dark
        ]
        r = self.book.pinned(m.session)
        if r is not None and r.worker in ready:
            return r.worker if not r.pending and self.has_seat(r.worker, m.long, pool) else None
        if not ready:
            return self.deny("no_worker", f"No worker of pool {self.pool} is ready.")
        ready = [w for w in ready if w not in m.shun] or ready
        ready = [w for w in ready if not self.watch.suspect(w)] or ready
        if m.session and pool.cap:
            free = [w for w in ready if self.book.count(w) < pool.cap]
            if not free:
                wait = max(machine.SECOND, (self.book.earliest(ready) or now) - now)
                return self.deny("sessions_full", "Every worker has all the sessions it may have.", retry_us=wait)
            ready = free
        seats = [w for w in ready if self.has_seat(w, m.long, pool)]
        if not seats:
            return None
        return min(seats, key=lambda w: (self.score(w, m), w))

    def claimed(self, m: message.Elect) -> message.Denied | None:
        """Why an exchange that may not be repeated can't be sent, or None.

        Example: `warden.claimed(elect)`
        """
        if m.repeatable or not m.exchange:
            return None
        c = self.claims.get(m.exchange)
        same = c is not None and c.ask.rpartition("/")[0] == m.ask.rpartition("/")[0]  # this very try asks anew
        if c is not None and not same and not (c.ask.startswith(FOREIGN) and m.send != 1):
            ran = verdict.Verdict.RAN if c.state == "ran" else verdict.Verdict.MAY_HAVE_RUN
            return self.deny("already_sent", "This exchange was sent before and may not be repeated.", ran)
        if c is None and m.send != 1 and self.broken():
            return self.deny(
                "already_sent", "Whether this exchange ran before is no longer known.", verdict.Verdict.MAY_HAVE_RUN
            )
        return None

    async def ask_pools(self, m: message.Elect) -> str:
        """Ask all other pools' wardens whether a retry was sent there; forbid it there if not.

        The route may have moved between two tries, and claims are kept by pool.

        Example: `state = await warden.ask_pools(elect)`
        """
        worst = ""
        for d in self.node.follower.roster.duties:
            if not d.key.startswith("pool/") or d.key == self.duty.key:
                continue
            members = [x for x in self.node.follower.roster.members if x.id == d.holder]
            res = await self.node.ask_members(members, message.Forbid(d.key[5:], self.pool, m.exchange), COPY_US)
            a = res.get(d.holder)
            if a is None or a.state == "later":
                return "later"
            worst = a.state or worst
        return worst

    async def forbid(self, m: typing.Any) -> typing.Any:
        """Another pool's warden asks for a retry; what was never sent here never will be.

        Example: `res = await warden.forbid(message.Forbid("desk", "spare", "x1"))`
        """
        if not self.seated():
            return message.Forbidden("later")
        c = self.claims.get(m.exchange)
        mine = f"{FOREIGN}{m.by}"
        if c is not None and not c.ask.startswith(FOREIGN):
            return message.Forbidden(c.state)
        if c is None and self.broken():
            return message.Forbidden("unknown")
        now = self.mach.now()
        c = self.claims[m.exchange] = Claim(m.exchange, 0, self.node.me.id, mine, now + CLAIM_US)
        ok = await self.copy(message.Copy(self.pool, self.duty.term, self.node.me.id, [], [c.told(now)], []))
        return message.Forbidden("" if ok and self.claims.get(m.exchange) is c else "later")

    async def elect(self, m: message.Elect) -> message.Denied | message.Granted:
        """Elect a worker for an exchange, open its session, claim it: one step.

        Example: `res = await warden.elect(message.Elect(...))`
        """
        self.counts["elects"] += 1
        if not m.again:
            self.budget.first(self.mach.now(), m.exchange or m.ask.rpartition("/")[0])
        until = self.mach.now() + m.wait_us
        self.waiting += 1
        cleared = m.repeatable or not m.exchange or m.send == 1  # whether other pools need not be asked
        try:
            for name in m.shun:  # the asking node does not reach it: does anybody?
                w = self.node.follower.states.get(name)
                if w is not None and w.state == "ready" and name not in self.watch.dark:
                    await self.watch.check(w)
            while True:
                if not self.live() or m.term != self.duty.term:
                    return self.deny("no_warden", "The duty has gone elsewhere.")
                if m.ask in self.voids:
                    return self.deny("no_warden", "This send was given up.")
                pool = self.node.follower.pool(self.pool)
                if self.seated():
                    if pool is None:
                        return self.deny("no_route", f"The blueprint has no pool {self.pool}.")
                    if m.ask in self.grants:
                        return self.granted(m, self.grants[m.ask][0].worker, True)
                    no = self.claimed(m)
                    if no is not None:
                        return no
                    if not cleared:
                        state = await self.ask_pools(m)
                        if state not in ("", "later"):
                            ran = verdict.Verdict.RAN if state == "ran" else verdict.Verdict.MAY_HAVE_RUN
                            return self.deny("already_sent", "This exchange was sent before, to another pool.", ran)
                        cleared = not state
                        if state:
                            await self.mach.sleep(50 * machine.MILLI)
                        if until > self.mach.now():
                            continue
                    if m.again and not self.budget.room(self.mach.now()):
                        return self.deny(
                            "retry_budget", "Too many retries for now.", retry_us=self.budget.wait_us(self.mach.now())
                        )
                    got = self.pick(m, pool)
                    match got:
                        case str():
                            return await self.grant(m, got)
                        case message.Denied():
                            return got
                    if self.waiting > pool.waiting:
                        return self.deny("busy", "Too many exchanges wait for this pool.")
                left = until - self.mach.now()
                if left <= 0:
                    code = "busy" if self.seated() else "no_warden"
                    return self.deny(code, "No seat came free in time.")
                await self.mach.pause(self.freed, left)
        finally:
            self.waiting -= 1

    def granted(self, m: message.Elect, worker: str, pinned: bool) -> message.Granted:
        """The yes.

        Example: `return warden.granted(elect, "w1", True)`
        """
        r = self.book.pinned(m.session)
        left = r.expires - self.mach.now() if r is not None else 0
        return message.Granted(self.duty.term, worker, USE_US, pinned, left, self.watch.via(worker, m.node))

    async def grant(self, m: message.Elect, worker: str) -> message.Granted:
        """Write the records of a grant; answer once copies stand where they must.

        Example: `res = await warden.grant(elect, "w1")`
        """
        now = self.mach.now()
        r = self.book.pinned(m.session)
        if r is not None and r.worker != worker:
            self.book.close(r.id)
            self.gone[r.id] = None
            self.counts["closed"] += 1
            r = None
        pinned = r is not None
        opened = claim = None
        if pinned:
            self.counts["pinned"] += 1
            r.lifetime_us, r.cost = m.terms["lifetime_us"], m.terms["cost"]  # terms may have changed
            self.book.extend(r, now)
            self.lazy[r.id] = r
        elif m.session:
            opened = r = self.book.open(m.session, worker, now, m.terms["lifetime_us"], m.terms["cost"])
            r.pending, r.opened_by = True, m.ask
            self.counts["opened"] += 1
        if r is not None:
            r.turns += 1
        if not m.repeatable and m.exchange:
            claim = self.claims[m.exchange] = Claim(m.exchange, m.send, m.node, m.ask, now + CLAIM_US)
            self.counts["claims"] += 1
        if m.again:
            self.budget.spend(now)
        self.hold(
            message.Grant(self.pool, m.ask, m.node, worker, m.session, m.work, m.long), claim, now if m.again else None
        )
        known = self.prefixes.setdefault(worker, {})
        for part in m.prefix:
            known.pop(part, None)
            known[part] = None
        while len(known) > PREFIXES:
            del known[next(iter(known))]
        if opened is None and claim is None:
            return self.granted(m, worker, pinned)
        copy = message.Copy(
            self.pool,
            self.duty.term,
            self.node.me.id,
            [session.told(opened, now)] if opened is not None else [],
            [claim.told(now)] if claim is not None else [],
            [],
        )
        until = now + max(m.wait_us, COPY_US)
        while not await self.copy(copy):
            if not self.live() or self.mach.now() > until:
                if opened is not None and self.book.pinned(opened.id) is opened:
                    self.book.close(opened.id)
                    self.gone[opened.id] = None
                self.release(m.ask, verdict.Verdict.NOT_RUN)
                return self.deny("no_warden", "The copies of this pool's records don't answer.")
            await self.mach.sleep(50 * machine.MILLI)
        if opened is not None:
            opened.pending = False
            self.lazy[opened.id] = opened
            self.freed.wake()
        if m.ask not in self.grants:
            return self.deny("no_warden", "This send was given up.")
        return self.granted(m, worker, pinned)

    def state(self) -> dict[str, typing.Any]:
        """What this warden shows of itself.

        Example: `json.dumps(warden.state())`
        """
        return {
            "pool": self.pool,
            "term": list(self.duty.term),
            "seated": self.seated(),
            "broken": self.broken(),
            "sessions": {w: len(rs) for w, rs in sorted(self.book.at.items()) if rs},
            "in_flight": {w: len(b.held) for w, b in sorted(self.busy.items()) if b.held},
            "claims": len(self.claims),
            "waiting": self.waiting,
            "counts": self.counts,
        }
