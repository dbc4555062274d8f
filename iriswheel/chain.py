"""The chain: changes enter at the head, are synced on every link, and answered by the tail."""

import typing

import immutables
import loguru
import msgspec
import twisted.internet.defer as defer

import iriswheel.agreement as agreement
import iriswheel.blueprint as blueprint
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.store as store
import iriswheel.wire as wire

CALL_US = 2 * machine.SECOND
BATCH = 64
KEEP = 512  # entries kept behind the frame, and states kept for the feed
GREW_BYTES = 32 << 20  # a frame after so many bytes of plans; entries kept behind it up to this size
PLANS = 512  # plans remembered, of each sort: open, confirmed
PLAN_BYTES = 16 << 20  # and open ones up to this size together

log = loguru.logger.bind(part="chain")
pack = msgspec.msgpack.encode
unpack_entry = msgspec.msgpack.Decoder(message.Entry).decode


class Plan(typing.NamedTuple):
    """A plan as the chain keeps it; stamp is 0 until it is confirmed."""

    n: int
    base: int
    changes: list
    stamp: int = 0
    size: int = 0  # bytes of the changes


class Ledger(typing.NamedTuple):
    """The state after entry n. Ledgers share what they have in common.

    `fed` is `items` as nodes may have them: without the operator's labels.

    >>> one = Ledger().apply(message.Entry(1, 1, "plan", "0-a", 0, [("pools/p", {})]))
    >>> two = one.apply(message.Entry(2, 1, "confirm", "0-a"))
    >>> two.stamp, dict(two.items), two.plans["0-a"].stamp
    (2, {'pools/p': {}}, 2)
    """

    n: int = 0
    made: int = 0
    stamp: int = 0
    items: immutables.Map = immutables.Map()
    plans: immutables.Map = immutables.Map()
    fed: immutables.Map = immutables.Map()

    def apply(self, e):
        """The state after one more entry.

        >>> Ledger().apply(message.Entry(1, 7, "plan", "0-a")).made
        7
        """
        match e:
            case message.Entry(kind="plan"):
                plans = forget(self.plans.set(e.plan, Plan(e.n, e.base, e.changes, 0, len(pack(e.changes)))))
                return self._replace(n=e.n, made=e.made, plans=plans)
            case message.Entry(kind="confirm"):
                plan = self.plans[e.plan]
                plans = forget(self.plans.set(e.plan, plan._replace(changes=[], stamp=e.n, n=e.n, size=0)))
                return self._replace(n=e.n, made=e.made, stamp=e.n, plans=plans).change(plan.changes)
            case message.Entry(kind="apply"):
                plans = forget(self.plans.set(e.plan, Plan(e.n, e.base, [], e.n)))
                return self._replace(n=e.n, made=e.made, stamp=e.n, plans=plans).change(e.changes)

    def change(self, changes):
        """The state with some items changed; None removes.

        >>> Ledger().change([("pools/p", {"label": {"a": 1}})]).fed["pools/p"]
        {}
        """
        with self.items.mutate() as items, self.fed.mutate() as fed:
            for key, val in changes:
                if val is None:
                    items.pop(key, None)
                    fed.pop(key, None)
                else:
                    items[key] = val
                    fed[key] = blueprint.bare(val)
            return self._replace(items=items.finish(), fed=fed.finish())

    def freeze(self):
        """The state as bytes.

        >>> Ledger.thaw(Ledger(n=3).freeze()).n
        3
        """
        plans = [(k, list(p)) for k, p in sorted(self.plans.items())]
        return pack([self.n, self.made, self.stamp, dict(sorted(self.items.items())), plans])

    @classmethod
    def thaw(cls, raw):
        """The state from bytes.

        >>> Ledger.thaw(Ledger(stamp=2).freeze()).stamp
        2
        """
        n, made, stamp, items, plans = msgspec.msgpack.decode(raw)
        plans = immutables.Map({k: Plan(*p) for k, p in plans})
        fed = immutables.Map({k: blueprint.bare(v) for k, v in items.items()})
        return cls(n, made, stamp, immutables.Map(items), plans, fed)


def forget(plans):
    """Drop the oldest open and the oldest confirmed plans above the bounds.

    >>> sorted(forget(immutables.Map({str(i): Plan(i, 0, [], 0, 7 << 20) for i in range(4)})))
    ['2', '3']

    >>> len(forget(immutables.Map({str(i): Plan(i, 0, []) for i in range(PLANS + 3)})))
    512
    """
    if sum(p.size for p in plans.values()) > PLAN_BYTES:
        left = PLAN_BYTES
        for _, k in sorted(((p.n, k) for k, p in plans.items() if not p.stamp), reverse=True):
            left -= plans[k].size
            if left < 0 and len(plans) > 1:
                plans = plans.delete(k)
    if len(plans) <= PLANS:
        return plans
    for done in (False, True):
        sort = sorted((p.n, k) for k, p in plans.items() if bool(p.stamp) == done)
        for _, k in sort[:-PLANS] if len(sort) > PLANS else []:
            plans = plans.delete(k)
    return plans


class Chain:
    """One core machine's link.

    Example: `chain = Chain(mach, disk, state, neighbours)`; then `chain.council = council`.
    """

    def __init__(self, mach, disk, state, neighbours):
        self.mach = mach
        self.disk = disk
        self.neighbours = neighbours
        self.council = None
        self.base = Ledger.thaw(state[b"frame"]) if b"frame" in state else Ledger()
        entries = [unpack_entry(v) for k, v in sorted(state.items()) if k.startswith(b"e")]
        self.log = {e.n: e for e in entries}
        self.tip = self.base
        for e in entries:
            if e.n > self.tip.n:
                self.tip = self.tip.apply(e)
        self.framed = self.base.n
        self.grew = 0  # bytes of changes since the frame
        self.history = {self.base.n: self.base}
        self.synced = self.tip.n
        self.lock = defer.DeferredLock()
        self.grown = machine.Signal()
        self.committed = machine.Signal()
        self.on_commit = lambda: None

    # ---- state ------------------------------------------------------------------

    def whole(self):
        """Whether this copy is whole in the newest view.

        Example: `chain.whole()`
        """
        c = self.council
        return c.view is not None and c.record.whole == c.view.number

    def place(self, number):
        """This link's place in the numbered view's chain, or None when it is not in it.

        Example: `chain.place(4)`
        """
        if not self.council.serving(number):
            return None
        return [link.id for link in self.council.view.chain].index(self.council.me.id)

    def install(self, view):
        """Start on a new view: the link to the next machine is made anew.

        Example: `chain.install(view)`
        """
        self.grown.wake()
        self.committed.wake()
        self.mach.spawn(self.start(view), log)

    async def start(self, view):
        """In a new view: commit what the whole chain holds, and feed the next link.

        Example: `mach.spawn(chain.start(view))`
        """
        k = self.place(view.number)
        if k is None:
            return
        if k == len(view.chain) - 1:
            self.settle_tail(view.number)
        else:
            await self.pump(view, self.council.seat(view.chain[k + 1].id))

    def settle_tail(self, number):
        """At the tail: all that is synced here is synced everywhere, so it stands.

        Example: `chain.settle_tail(4)`
        """
        v = self.council.view
        if self.place(number) == len(v.chain) - 1 and self.whole() and len(v.chain) >= self.council.copies:
            self.commit(self.synced)

    def commit(self, n):
        """Let entries up to n stand.

        Example: `chain.commit(17)`
        """
        if n <= self.base.n:
            return
        while self.base.n < min(n, self.synced):
            e = self.log[self.base.n + 1]
            self.base = self.base.apply(e)
            self.grew += len(pack(e.changes)) if e.changes else 0
            self.history[self.base.n] = self.base
        for old in [k for k in self.history if k <= self.base.n - KEEP]:
            del self.history[old]
        self.committed.wake()
        self.on_commit()
        if self.base.n - self.framed >= KEEP or self.grew > GREW_BYTES:
            self.grew = 0
            self.framed = self.base.n
            self.mach.spawn(self.reframe(), log)

    async def reframe(self):
        """Write a frame of what stands, and drop the entries far behind it.

        Example: `mach.spawn(chain.reframe())`
        """
        await self.lock.acquire()
        try:
            old, kept = [], 0
            for k in sorted(self.log, reverse=True):
                kept += len(pack(self.log[k]))
                if k <= self.base.n - KEEP or k <= self.base.n and kept > GREW_BYTES:
                    old.append(k)
            puts = [(b"frame", self.base.freeze())] + [(b"e%016d" % k, None) for k in old]
            for k in old:
                del self.log[k]
            await self.disk.commit(puts)
        except store.DiskDefect:
            self.framed -= KEEP // 2  # again a little later
        finally:
            self.lock.release()

    # ---- from link to link ----------------------------------------------------------

    async def pump(self, view, seat):
        """Keep the next link up to date, as long as the view lasts.

        Example: `mach.spawn(chain.pump(view, seat))`
        """
        sent = None
        while self.place(view.number) is not None:
            if not self.whole() or (sent is not None and sent >= self.synced):
                await self.grown.wait()
                continue
            try:
                if sent is None:
                    got = await self.neighbours.call(
                        seat.host, seat.port, message.Place(view.number, self.council.me.id), CALL_US
                    )
                    msg = self.refill(view.number, got) if got.ok else None
                else:
                    batch = [self.log[k] for k in range(sent + 1, min(self.synced, sent + BATCH) + 1)]
                    msg = message.Append(view.number, batch)
                if msg is not None:
                    res = await self.neighbours.call(seat.host, seat.port, msg, CALL_US)
                    if res.ok:
                        sent = res.n
                        if self.place(view.number) is not None and len(view.chain) >= self.council.copies:
                            self.commit(sent)
                        continue
                sent = None
            except (wire.Broken, machine.Late):
                sent = None
            await self.mach.sleep(50 * machine.MILLI)

    def refill(self, number, got):
        """What brings a copy at some place up to date.

        Example: `chain.refill(4, message.Placed(True, n=17, made=3))`
        """
        same = got.n <= self.synced and (
            (got.n in self.log and self.log[got.n].made == got.made)
            or (got.n == self.base.n and self.base.made == got.made)
        )
        if same and all(k in self.log for k in range(got.n + 1, self.synced + 1)):
            return message.Refill(number, None, [self.log[k] for k in range(got.n + 1, self.synced + 1)])
        rest = [self.log[k] for k in range(self.base.n + 1, self.synced + 1)]
        return message.Refill(number, self.base.freeze(), rest)

    async def answer(self, msg):
        """Answer one of the chain's messages.

        Example: `res = await chain.answer(message.Place(4, "c0ffee"))`
        """
        match msg:
            case message.Place(view=number):
                if not self.place(number):
                    return message.Placed(False)
                return message.Placed(True, self.synced, self.tip.made)
            case message.Refill(view=number):
                return await self.take(number, msg.entries, msg.frame, first=True)
            case message.Append(view=number):
                return await self.take(number, msg.entries, None, first=False)
            case message.Propose():
                return await self.propose(msg)
            case message.Look():
                return self.look(msg)

    async def take(self, number, entries, frame, first):
        """Store what the link before sends, pass it on, answer once it stands below.

        Example: `res = await chain.take(4, entries, None, first=False)`
        """
        await self.lock.acquire()
        try:
            if not self.place(number) or (not first and not self.whole()):
                return message.Stored(False)
            puts = []
            if frame is not None:
                base = Ledger.thaw(frame)
                if not agreement.may_restore(self.council.record, self.synced, base.n):
                    return message.Stored(False)
                puts = [(b"e%016d" % k, None) for k in self.log] + [(b"frame", frame)]
                self.log, self.synced, self.tip = {}, base.n, base
                if base.n >= self.base.n:
                    self.base, self.framed = base, base.n
                    self.history[base.n] = base
            new = [e for e in entries if e.n > self.synced]
            if new and new[0].n != self.synced + 1:
                return message.Stored(False)
            await self.disk.commit(puts + [(b"e%016d" % e.n, pack(e)) for e in new])
            for e in new:
                self.log[e.n] = e
                self.tip = self.tip.apply(e)
            self.synced = self.tip.n
            if first:
                await self.council.grow_whole(number)
        except store.DiskDefect:
            return message.Stored(False)
        finally:
            self.lock.release()
        if not self.place(number) or not self.whole():
            return message.Stored(False)
        n = entries[-1].n if entries else self.synced
        self.grown.wake()
        self.settle_tail(number)
        v = self.council.view
        alone = self.place(number) == len(v.chain) - 1
        while not alone and self.base.n < n:
            await self.committed.wait()
            if not self.place(number):
                return message.Stored(False)
        if frame is not None:
            self.on_commit()
        return message.Stored(True, n)

    # ---- operators' changes, at the head ------------------------------------------------

    def refuse(self, code, text):
        """An answer that says: not run.

        Example: `chain.refuse("no_chain", "This machine is not the head.")`
        """
        return message.Proposed(code, "not_run", text)

    async def propose(self, m):
        """Take an operator's change at the head.

        Example: `res = await chain.propose(message.Propose(4, "confirm", plan="3-ab"))`
        """
        await self.lock.acquire()
        try:
            number = m.view
            if self.place(number) != 0 or not self.whole():
                return self.refuse("no_chain", "This machine is not the head of the chain now.")
            here, copies = len(self.council.view.chain), self.council.copies
            if here < copies:
                return self.refuse(
                    "too_few_copies", f"Machines with a disk: {here} are there, {copies} must keep a change."
                )
            if not self.disk.ok:
                return self.refuse("no_chain", "The head's disk does not work.")
            plan = self.tip.plans.get(m.plan)
            match m:
                case message.Propose(kind="plan") if plan is not None:
                    n = plan.n
                case message.Propose(kind="apply") if plan is not None and plan.stamp:
                    n = plan.stamp
                case message.Propose(kind="apply") if m.base != self.tip.stamp:
                    return self.refuse(
                        "base_moved", f"The blueprint is at {self.tip.stamp}, the change's base is {m.base}."
                    )
                case message.Propose(kind="plan") if m.base != self.tip.stamp:
                    return self.refuse(
                        "base_moved", f"The blueprint is at {self.tip.stamp}, the plan's base is {m.base}."
                    )
                case message.Propose(kind="confirm") if plan is None:
                    base = int(m.plan.split("-")[0]) if m.plan.split("-")[0].isdigit() else -1
                    if 0 <= base < self.tip.stamp:
                        return message.Proposed("not_found", "may_have_run", "The plan is no longer remembered.")
                    return self.refuse("not_found", "There is no such plan.")
                case message.Propose(kind="confirm") if plan.stamp:
                    n = plan.stamp
                case message.Propose(kind="confirm") if plan.base != self.tip.stamp:
                    return self.refuse(
                        "base_moved", f"The blueprint is at {self.tip.stamp}, the plan's base is {plan.base}."
                    )
                case _:
                    n = self.tip.n + 1
                    e = message.Entry(n, number, m.kind, m.plan, m.base, m.changes)
                    try:
                        await self.disk.commit([(b"e%016d" % n, pack(e))])
                    except store.DiskDefect:
                        return message.Proposed("no_chain", "may_have_run", "The head's disk does not work.")
                    self.log[n] = e
                    self.tip = self.tip.apply(e)
                    self.synced = n
                    self.grown.wake()
                    self.settle_tail(number)  # where one copy is enough, the head may be the tail
        finally:
            self.lock.release()
        while self.base.n < n:
            await self.committed.wait()
            if self.place(number) is None and self.base.n < n:
                return message.Proposed("unknown_outcome", "may_have_run", "The chain changed meanwhile.")
        return message.Proposed("", "ran", "", m.base if m.kind == "plan" else n)

    def look(self, m):
        """Answer a read, at the tail and under its lease only.

        Example: `chain.look(message.Look(view=4, plan="3-ab"))`
        """
        if not self.council.leased():
            return message.Seen(False)
        plan = self.base.plans.get(m.plan)
        told = None
        if plan is not None:
            told = {"id": m.plan, "base": plan.base, "stamp": plan.stamp, "changes": plan.changes}
        return message.Seen(True, self.base.stamp, dict(self.base.items), told)
