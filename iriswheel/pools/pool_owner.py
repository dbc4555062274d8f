"""The pool owner: the one node that answers for a pool, under a term.

It owns the pool's session records, the voters of its workers, the load in flight and
the claims on requests that may not be repeated. Copies of records and claims stand on
other nodes before it answers; a new pool owner gathers them before it answers anything.
"""

from __future__ import annotations

import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.dataplane.health as health
import iriswheel.dataplane.retry_budget as retry_budget
import iriswheel.dataplane.sessions as sessions
import iriswheel.errors as errors
import iriswheel.pools.claims as claims
import iriswheel.pools.in_flight as in_flight
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import iriswheel.transport.message as message

if typing.TYPE_CHECKING:
    import iriswheel.configuration.configuration as configuration
    import iriswheel.node.node as node
    import iriswheel.pools.session_replicas as session_replicas


GATHER_US = 600 * units.MILLISECOND_US
COPY_US = 500 * units.MILLISECOND_US
VOID_US = 60 * units.SECOND_US  # how long an ask that was given up gets no grant
USE_US = 2 * units.SECOND_US  # how long a grant may lie unused
FULL_SWEEPS = 6  # every so many sweeps the copies get the whole
LOST_US = 3 * units.SECOND_US  # a grant that its node no longer lists
PREFIXES = 256  # prefix parts remembered per worker

log = loguru.logger.bind(part="warden")


class PoolOwner:
    """One pool's pool owner, for as long as the role is here under one term."""

    def __init__(self, node: node.Node, pool: str, assignment: message.RoleAssignment) -> None:
        self.node = node
        self.runtime = node.runtime
        self.pool = pool
        self.assignment = assignment
        self.session_table = sessions.SessionTable()
        self.claims: dict[str, claims.Claim] = {}
        # ask -> [Grant, when last listed, Claim or None, when the budget was charged or None]
        self.grants: dict[str, list[typing.Any]] = {}
        self.busy: dict[str, in_flight.InFlightLoad] = {}  # worker -> Busy
        self.voids: dict[str, int] = {}  # ask -> until: asks given up before they came here
        self.budget = retry_budget.Budget()  # of the whole fleet's sends to this pool
        self.waiting = 0
        self.freed = scheduler.Signal()
        self.gathered = False
        self.since = self.runtime.now()
        self.broken_until = self.since + claims.RETENTION_US  # until when claims of before may be missing
        self.prefixes: dict[str, dict[str, None]] = {}  # worker -> {part: None}, newest last
        self.watch = health.WorkerWatch(self)
        self.lazy: dict[
            str, claims.Claim | sessions.Session
        ] = {}  # session ids and claims whose copies are out of date
        self.gone: dict[str, None] = {}  # ids closed since the last lazy copy
        self.over = False
        self.counts = {"elects": 0, "pinned": 0, "opened": 0, "closed": 0, "claims": 0, "denied": 0}

    # ---- life --------------------------------------------------------------------

    def live(self) -> bool:
        """Whether this term still is the newest that this node knows."""
        return not self.over and self.node.pool_owners.get(self.pool) is self

    def active(self) -> bool:
        """Whether this pool owner may answer: gathered, and its voter is in the membership."""
        d = self.node.follower.assignment(f"pool/{self.pool}")
        return (
            self.live()
            and self.gathered
            and d is not None
            and d.term == self.assignment.term
            and d.active
            and self.node.follower.settled()
            and self.node.follower.updated_at is not None
        )

    async def run(self) -> None:
        """Gather, take the voter, then look after the records."""
        while self.live() and not await self.gather():
            await self.runtime.sleep(200 * units.MILLISECOND_US)
        for coroutine in (self.sweep(), self.copy_lazily(), self.watch.run()):
            self.runtime.spawn(coroutine, log)
        while self.live() and not self.active():
            self.node.follower.session.tell(message.RoleActivated(self.assignment.key, self.assignment.term))
            await self.runtime.sleep(100 * units.MILLISECOND_US)
            self.freed.wake()
        log.info(
            "Owner of pool {} seated under {}, {} sessions.",
            self.pool,
            self.assignment.term,
            len(self.session_table.records),
        )

    def end(self) -> None:
        """The role has gone elsewhere."""
        self.over = True
        self.freed.wake()

    def leave_to(self, replica: session_replicas.SessionReplica) -> None:
        """Leave the records, if they are whole, to this node's own session replica for the next pool owner."""
        if self.gathered:
            now = self.runtime.now()
            replica.replace(
                [sessions.to_message(r, now) for r in self.session_table.records.values()],
                [c.export(now) for c in self.claims.values()],
                self.broken_until,
                now,
            )

    def broken(self) -> bool:
        """Whether claims made under earlier pool owners may have been lost."""
        return self.runtime.now() < self.broken_until

    async def gather(self) -> bool:
        """Ask every live node for what it holds, mend the copies; False to try again."""
        follower = self.node.follower
        members = list(follower.membership.members)
        msg = message.RecordsRequest(self.pool, self.assignment.term, self.node.me.id)
        response = await self.node.call_members(members, msg, GATHER_US)
        if not self.live():
            return False
        got = {i: a for i, a in response.items() if a is not None}
        if any(not a.ok for a in got.values()):
            self.end()  # a newer term is about
            return False
        now = self.runtime.now()
        base = [i for i in self.assignment.base if i in got and got[i].has_replica]
        absent = [m.id for m in members if m.id not in got]
        if not base and [i for i in self.assignment.base if i in absent] and now - self.since < 3 * units.SECOND_US:
            return False
        if base:  # what an earlier pool owner had lost is lost to this one too
            self.broken_until = max(now + got[i].claims_missing_us for i in base)
        session_records, claim_records = {}, {}
        for i in sorted(got):
            self.budget.add(now, got[i].first_attempts, got[i].retries)
            for s in got[i].sessions:
                old = session_records.get(s.id)
                if old is None or (s.version, s.left_us) > (old.version, old.left_us):
                    session_records[s.id] = s
            for c in got[i].claims:
                old = claim_records.get(c.request_id)
                if old is None or (c.attempt, c.state == "ran") > (old.attempt, old.state == "ran"):
                    claim_records[c.request_id] = c
            for s in [] if base else got[i].affinities:
                session_records.setdefault(s.id, s)
        for s in [] if base else await self.gather_cores():
            session_records.setdefault(s.id, s)
        self.session_table.version = max((s.version for s in session_records.values()), default=0)
        for s in session_records.values():
            r = self.session_table.open(s.id, s.worker, now, s.lifetime_us, s.cost)
            r.expires, r.opened_by = now + s.left_us, s.attempt_id
        by_attempt = {}
        for c in claim_records.values():
            by_attempt[c.attempt_id] = self.claims[c.request_id] = claims.from_message(c, now)
        for g in [g for a in got.values() for g in a.grants]:
            self.hold(g, by_attempt.get(g.attempt_id))
            r = self.session_table.affinity(g.session)
            if r is not None and r.worker == g.worker:
                r.turns += 1
        self.check_workers()
        complete = self.complete_replica()
        if not await self.copy(complete):
            return False
        self.tell_cores(complete)
        self.gathered = True
        if self.broken() and not base:
            log.warning("No copy of the last group of {} answers: claims may be lost.", self.pool)
        return True

    def complete_replica(self) -> message.ReplicateRecords:
        """All records, as a holder that knows nothing needs them."""
        now = self.runtime.now()
        return message.ReplicateRecords(
            self.pool,
            self.assignment.term,
            self.node.me.id,
            [sessions.to_message(r, now) for r in self.session_table.records.values()],
            [c.export(now) for c in self.claims.values()],
            [],
            True,
            max(0, self.broken_until - now),
        )

    async def gather_cores(self) -> list[typing.Any]:
        """The sessions that core machines keep, for when no holder's copy is left.

        Where most core machines answer and none has ever heard of the pool, it is new, and
        no claim was lost.
        """
        msg = message.RecordsRequest(self.pool, self.assignment.term, self.node.me.id)
        voters = self.node.follower.membership.cores
        ds = [defer.ensureDeferred(self.node.peers.call(s.host, s.port, msg, GATHER_US)) for s in voters]
        out = {}
        got = [a for ok, a in await defer.DeferredList(ds, consumeErrors=True) if ok and a.ok]
        known = 2 * len(got) <= len(voters) or any(a.has_replica for a in got)
        self.broken_until = self.runtime.now() + claims.RETENTION_US if known else 0
        for a in got:
            for s in a.sessions:
                if s.id not in out or (out[s.id].version, out[s.id].left_us) < (s.version, s.left_us):
                    out[s.id] = s
        return list(out.values())

    def tell_cores(self, msg: message.ReplicateRecords) -> None:
        """Let the core machines keep a late copy of the sessions; nothing waits for it."""
        self.node.follower.session.tell(
            message.ReplicateRecords(msg.pool, msg.term, msg.owner, msg.sessions, [], msg.closed, msg.complete)
        )

    async def copy(self, msg: message.ReplicateRecords) -> bool:
        """Put a copy on every holder; False unless all of them took it."""
        members = [m for m in self.node.follower.membership.members if m.id in self.assignment.copies]
        if len(members) < len(self.assignment.copies):
            return False
        response = await self.node.call_members(members, msg, COPY_US)
        if any(a is not None and not a.ok for a in response.values()):
            self.end()
        return self.live() and all(a is not None and a.ok for a in response.values())

    # ---- records -----------------------------------------------------------------

    def hold(self, g: message.WorkerGrant, claim: claims.Claim | None = None, paid: int | None = None) -> None:
        """Count a grant as load in flight; `paid` is when the budget was charged for it."""
        self.grants[g.attempt_id] = [g, self.runtime.now(), claim, paid]
        self.busy.setdefault(g.worker, in_flight.InFlightLoad()).add(g)

    def release(self, attempt_id: str, outcome: errors.ExecutionOutcome) -> None:
        """A grant is over; what waits for a voter looks again."""
        now = self.runtime.now()
        kept = self.grants.pop(attempt_id, None)
        if kept is None:
            if outcome == errors.ExecutionOutcome.NOT_RUN:
                self.voids[attempt_id] = now + VOID_US
                for c in [c for c in self.claims.values() if c.attempt_id == attempt_id]:
                    self.unclaim(c)  # gathered from a pool owner whose grant came too late
                for r in [r for r in self.session_table.records.values() if r.opened_by == attempt_id and not r.turns]:
                    self.session_table.close(r.id)
                    self.gone[r.id] = None
            return
        g = kept[0]
        if outcome == errors.ExecutionOutcome.NOT_RUN:
            self.budget.refund(kept[3])
        self.busy[g.worker].drop(attempt_id)
        r = self.session_table.affinity(g.session)
        if r is not None and r.worker == g.worker:
            r.turns = max(0, r.turns - 1)
            if outcome == errors.ExecutionOutcome.NOT_RUN and r.opened_by == attempt_id and not r.turns:
                self.session_table.close(r.id)  # its first turn never reached the worker
                self.gone[r.id] = None
            else:
                self.session_table.extend(r, now)
                self.lazy[r.id] = r
            if outcome != errors.ExecutionOutcome.NOT_RUN:
                r.opened_by = ""
        c = kept[2]
        if c is not None and self.claims.get(c.request_id) is c:
            if outcome == errors.ExecutionOutcome.NOT_RUN:
                self.unclaim(c)
            else:
                c.state = claims.ClaimState.RAN
                c.until = now + claims.RETENTION_US
                self.lazy[c.request_id] = c
        self.freed.wake()

    def unclaim(self, c: claims.Claim) -> None:
        """Forget a claim: its time is over, or its node says that it was never used."""
        del self.claims[c.request_id]
        self.gone[c.request_id] = None

    def listed(self, m: message.GrantReport) -> None:
        """A node lists the grants it holds; those it no longer knows are released."""
        now = self.runtime.now()
        for w in m.reachable_workers:
            self.watch.hear(w, m.node)
        for attempt_id in m.abandoned_attempts:
            if attempt_id not in self.voids:
                self.release(attempt_id, errors.ExecutionOutcome.NOT_RUN)
                self.voids[attempt_id] = now + VOID_US
        attempt_ids = set(m.attempt_ids)
        for attempt_id, kept in list(self.grants.items()):
            if kept[0].node != m.node:
                continue
            if attempt_id in attempt_ids:
                kept[1] = now
            elif now - kept[1] > LOST_US:
                self.release(attempt_id, errors.ExecutionOutcome.MAY_HAVE_RUN)

    def check_workers(self) -> None:
        """Close the sessions of workers that are no longer ready, drop lost nodes' grants."""
        follower = self.node.follower
        if follower.updated_at is None:
            return  # no list yet: nobody is known to have gone
        for w in [w for w in self.session_table.at if follower.state(w) != "ready" or w in self.watch.dark]:
            for r in self.session_table.evict(w):
                self.gone[r.id] = None
                self.counts["closed"] += 1
        nodes = {m.id for m in follower.membership.members}
        for attempt_id, kept in list(self.grants.items()):
            if kept[0].node not in nodes and self.runtime.now() - kept[1] > LOST_US:
                self.release(attempt_id, errors.ExecutionOutcome.MAY_HAVE_RUN)
        self.freed.wake()

    async def sweep(self) -> None:
        """Every five seconds: close what is past its expiry, forget old claims.

        Now and then the whole goes out to the copies, in case one of them has gone astray.
        """
        sweeps = 0
        while self.live():
            await self.runtime.sleep(sessions.SWEEP_US)
            sweeps += 1
            if sweeps % FULL_SWEEPS == 0 and self.active():
                self.tell_cores(self.complete_replica())
                await self.copy(self.complete_replica())
            now = self.runtime.now()
            for r in self.session_table.sweep(now):
                self.gone[r.id] = None
                self.counts["closed"] += 1
            for c in [c for c in self.claims.values() if c.until < now]:
                self.unclaim(c)
            for attempt_id in [a for a, until in self.voids.items() if until < now]:
                del self.voids[attempt_id]
            self.check_workers()

    async def copy_lazily(self) -> None:
        """Bring the copies' expiries up to date, a few times a second, and drop dead pins everywhere."""
        while self.live():
            await self.runtime.sleep(300 * units.MILLISECOND_US)
            if not self.lazy and not self.gone:
                continue
            lazy, self.lazy = self.lazy, {}
            gone, self.gone = self.gone, {}
            now = self.runtime.now()
            session_records = [
                sessions.to_message(r, now)
                for r in lazy.values()
                if isinstance(r, sessions.Session) and self.session_table.affinity(r.id) is r
            ]
            claim_records = [
                c.export(now)
                for c in lazy.values()
                if isinstance(c, claims.Claim) and self.claims.get(c.request_id) is c
            ]
            closed = [i for i in gone if i not in self.session_table.records and i not in self.claims]
            if gone:
                for m in self.node.follower.membership.members:
                    self.node.tell_member(m.id, message.SessionsClosed(self.pool, list(gone)))
            msg = message.ReplicateRecords(
                self.pool, self.assignment.term, self.node.me.id, session_records, claim_records, closed
            )
            self.tell_cores(msg)
            if not await self.copy(msg):
                self.lazy = {**lazy, **self.lazy}
                self.gone = {**gone, **self.gone}

    # ---- electing -----------------------------------------------------------------

    def deny(
        self,
        code: str,
        text: str,
        may: errors.ExecutionOutcome = errors.ExecutionOutcome.NOT_RUN,
        retry_us: int = units.SECOND_US,
    ) -> message.SelectionDenied:
        """A final no."""
        self.counts["denied"] += 1
        return message.SelectionDenied(self.assignment.term, code, text, may.value, retry_us)

    def score(self, worker: str, m: message.SelectWorker) -> float:
        """The load that a request would meet on a worker: the lower, the better.

        Real work in flight, the reserved cost of open sessions, what the worker itself
        reports beyond that, and the request's own work less the prefix held there.
        """
        busy = self.busy.get(worker) or in_flight.InFlightLoad()
        load = busy.work + self.session_table.load(worker)
        running, queued = self.watch.reports.get(worker, (0, 0))
        load += max(0, running + queued - len(busy.held)) * 100
        known = self.prefixes.get(worker, {})
        hits = 0
        for part in m.prefix:
            if part not in known:
                break
            hits += 1
        return load + m.work * (1 - 0.8 * hits / max(1, len(m.prefix)))

    def has_slot(self, worker: str, long: bool, pool: configuration.Pool) -> bool:
        """Whether a worker has a free voter; long prompts have fewer of them."""
        busy = self.busy.get(worker) or in_flight.InFlightLoad()
        return len(busy.held) < pool.slots and (not long or busy.long < pool.long_slots)

    def pick(self, m: message.SelectWorker, pool: configuration.Pool) -> str | None:
        """The worker for a request: its name, or None to wait, or a Denied."""
        now = self.runtime.now()
        ready = [
            w.id
            for w in self.node.follower.workers
            if w.pool == self.pool and w.state == "ready" and w.id not in self.watch.dark
        ]
        r = self.session_table.affinity(m.session)
        if r is not None and r.worker in ready:
            return r.worker if not r.pending and self.has_slot(r.worker, m.long, pool) else None
        if not ready:
            return self.deny("no_worker", f"No worker of pool {self.pool} is ready.")
        ready = [w for w in ready if w not in m.excluded_workers] or ready
        ready = [w for w in ready if not self.watch.suspect(w)] or ready
        if m.session and pool.cap:
            free = [w for w in ready if self.session_table.count(w) < pool.cap]
            if not free:
                wait = max(units.SECOND_US, (self.session_table.earliest(ready) or now) - now)
                return self.deny("sessions_full", "Every worker has all the sessions it may have.", retry_us=wait)
            ready = free
        voters = [w for w in ready if self.has_slot(w, m.long, pool)]
        if not voters:
            return None
        return min(voters, key=lambda w: (self.score(w, m), w))

    def claimed(self, m: message.SelectWorker) -> message.SelectionDenied | None:
        """Why a request that may not be repeated can't be sent, or None."""
        if m.idempotent or not m.request_id:
            return None
        c = self.claims.get(m.request_id)
        same = (
            c is not None and c.attempt_id.rpartition("/")[0] == m.attempt_id.rpartition("/")[0]
        )  # this very try asks anew
        if c is not None and not same and not (c.attempt_id.startswith(claims.REVOKED_PREFIX) and m.attempt != 1):
            ran = errors.ExecutionOutcome.RAN if c.state == "ran" else errors.ExecutionOutcome.MAY_HAVE_RUN
            return self.deny("already_sent", "This exchange was sent before and may not be repeated.", ran)
        if c is None and m.attempt != 1 and self.broken():
            return self.deny(
                "already_sent",
                "Whether this exchange ran before is no longer known.",
                errors.ExecutionOutcome.MAY_HAVE_RUN,
            )
        return None

    async def query_pools(self, m: message.SelectWorker) -> str:
        """Ask all other pools' pool owners whether a retry was sent there; forbid it there if not.

        The route may have moved between two tries, and claims are kept by pool.
        """
        worst = ""
        for d in self.node.follower.membership.assignments:
            if not d.key.startswith("pool/") or d.key == self.assignment.key:
                continue
            members = [x for x in self.node.follower.membership.members if x.id == d.holder]
            response = await self.node.call_members(
                members, message.RevokeRequest(d.key[5:], self.pool, m.request_id), COPY_US
            )
            a = response.get(d.holder)
            if a is None or a.state == "later":
                return "later"
            worst = a.state or worst
        return worst

    async def forbid(self, m: typing.Any) -> typing.Any:
        """Another pool's pool owner asks for a retry; what was never sent here never will be."""
        if not self.active():
            return message.RevokeResponse("later")
        c = self.claims.get(m.request_id)
        mine = f"{claims.REVOKED_PREFIX}{m.requesting_pool}"
        if c is not None and not c.attempt_id.startswith(claims.REVOKED_PREFIX):
            return message.RevokeResponse(c.state.value)
        if c is None and self.broken():
            return message.RevokeResponse("unknown")
        now = self.runtime.now()
        c = self.claims[m.request_id] = claims.Claim(m.request_id, 0, self.node.me.id, mine, now + claims.RETENTION_US)
        ok = await self.copy(
            message.ReplicateRecords(self.pool, self.assignment.term, self.node.me.id, [], [c.export(now)], [])
        )
        return message.RevokeResponse("" if ok and self.claims.get(m.request_id) is c else "later")

    async def select_worker(self, m: message.SelectWorker) -> message.SelectionDenied | message.SelectionGranted:
        """Elect a worker for a request, open its session, claim it: one step."""
        self.counts["elects"] += 1
        if not m.is_retry:
            self.budget.first(self.runtime.now(), m.request_id or m.attempt_id.rpartition("/")[0])
        until = self.runtime.now() + m.wait_us
        self.waiting += 1
        cleared = m.idempotent or not m.request_id or m.attempt == 1  # whether other pools need not be asked
        try:
            for name in m.excluded_workers:  # the asking node does not reach it: does anybody?
                w = self.node.follower.states.get(name)
                if w is not None and w.state == "ready" and name not in self.watch.dark:
                    await self.watch.check(w)
            while True:
                if not self.live() or m.term != self.assignment.term:
                    return self.deny("no_warden", "The duty has gone elsewhere.")
                if m.attempt_id in self.voids:
                    return self.deny("no_warden", "This send was given up.")
                pool = self.node.follower.pool(self.pool)
                if self.active():
                    if pool is None:
                        return self.deny("no_route", f"The blueprint has no pool {self.pool}.")
                    if m.attempt_id in self.grants:
                        return self.granted(m, self.grants[m.attempt_id][0].worker, True)
                    no = self.claimed(m)
                    if no is not None:
                        return no
                    if not cleared:
                        state = await self.query_pools(m)
                        if state not in ("", "later"):
                            ran = (
                                errors.ExecutionOutcome.RAN if state == "ran" else errors.ExecutionOutcome.MAY_HAVE_RUN
                            )
                            return self.deny("already_sent", "This exchange was sent before, to another pool.", ran)
                        cleared = not state
                        if state:
                            await self.runtime.sleep(50 * units.MILLISECOND_US)
                        if until > self.runtime.now():
                            continue
                    if m.is_retry and not self.budget.has_capacity(self.runtime.now()):
                        return self.deny(
                            "retry_budget",
                            "Too many retries for now.",
                            retry_us=self.budget.wait_us(self.runtime.now()),
                        )
                    got = self.pick(m, pool)
                    match got:
                        case str():
                            return await self.grant(m, got)
                        case message.SelectionDenied():
                            return got
                    if self.waiting > pool.waiting:
                        return self.deny("busy", "Too many exchanges wait for this pool.")
                left = until - self.runtime.now()
                if left <= 0:
                    code = "busy" if self.active() else "no_warden"
                    return self.deny(code, "No seat came free in time.")
                await self.runtime.pause(self.freed, left)
        finally:
            self.waiting -= 1

    def granted(self, m: message.SelectWorker, worker: str, affinity: bool) -> message.SelectionGranted:
        """The yes."""
        r = self.session_table.affinity(m.session)
        left = r.expires - self.runtime.now() if r is not None else 0
        return message.SelectionGranted(
            self.assignment.term, worker, USE_US, affinity, left, self.watch.via(worker, m.node)
        )

    async def grant(self, m: message.SelectWorker, worker: str) -> message.SelectionGranted:
        """Write the records of a grant; answer once copies stand where they must."""
        now = self.runtime.now()
        r = self.session_table.affinity(m.session)
        if r is not None and r.worker != worker:
            self.session_table.close(r.id)
            self.gone[r.id] = None
            self.counts["closed"] += 1
            r = None
        affinity = r is not None
        opened = claim = None
        if affinity:
            self.counts["pinned"] += 1
            r.lifetime_us, r.cost = m.terms["lifetime_us"], m.terms["cost"]  # terms may have changed
            self.session_table.extend(r, now)
            self.lazy[r.id] = r
        elif m.session:
            opened = r = self.session_table.open(m.session, worker, now, m.terms["lifetime_us"], m.terms["cost"])
            r.pending, r.opened_by = True, m.attempt_id
            self.counts["opened"] += 1
        if r is not None:
            r.turns += 1
        if not m.idempotent and m.request_id:
            claim = self.claims[m.request_id] = claims.Claim(
                m.request_id, m.attempt, m.node, m.attempt_id, now + claims.RETENTION_US
            )
            self.counts["claims"] += 1
        if m.is_retry:
            self.budget.spend(now)
        self.hold(
            message.WorkerGrant(self.pool, m.attempt_id, m.node, worker, m.session, m.work, m.long),
            claim,
            now if m.is_retry else None,
        )
        known = self.prefixes.setdefault(worker, {})
        for part in m.prefix:
            known.pop(part, None)
            known[part] = None
        while len(known) > PREFIXES:
            del known[next(iter(known))]
        if opened is None and claim is None:
            return self.granted(m, worker, affinity)
        copy = message.ReplicateRecords(
            self.pool,
            self.assignment.term,
            self.node.me.id,
            [sessions.to_message(opened, now)] if opened is not None else [],
            [claim.export(now)] if claim is not None else [],
            [],
        )
        until = now + max(m.wait_us, COPY_US)
        while not await self.copy(copy):
            if not self.live() or self.runtime.now() > until:
                if opened is not None and self.session_table.affinity(opened.id) is opened:
                    self.session_table.close(opened.id)
                    self.gone[opened.id] = None
                self.release(m.attempt_id, errors.ExecutionOutcome.NOT_RUN)
                return self.deny("no_warden", "The copies of this pool's records don't answer.")
            await self.runtime.sleep(50 * units.MILLISECOND_US)
        if opened is not None:
            opened.pending = False
            self.lazy[opened.id] = opened
            self.freed.wake()
        if m.attempt_id not in self.grants:
            return self.deny("no_warden", "This send was given up.")
        return self.granted(m, worker, affinity)

    def state(self) -> dict[str, typing.Any]:
        """What this pool owner shows of itself."""
        return {
            "pool": self.pool,
            "term": list(self.assignment.term),
            "seated": self.active(),
            "broken": self.broken(),
            "sessions": {w: len(rs) for w, rs in sorted(self.session_table.at.items()) if rs},
            "in_flight": {w: len(b.held) for w, b in sorted(self.busy.items()) if b.held},
            "claims": len(self.claims),
            "waiting": self.waiting,
            "counts": self.counts,
        }
