"""The chain: changes enter at the head, are synced on every link, and answered by the tail."""

from __future__ import annotations

import collections.abc
import typing

import immutables
import loguru
import msgspec
import twisted.internet.defer as defer

import iriswheel.agreement as agreement
import iriswheel.configuration as configuration
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.store as store
import iriswheel.transfer as transfer
import iriswheel.wire as wire

if typing.TYPE_CHECKING:
    import iriswheel.view as view_module


CALL_US = 2 * machine.SECOND
BATCH = 64
KEEP = 512  # entries kept behind the frame, and states kept for the feed
GREW_BYTES = 32 << 20  # a frame after so many bytes of plans; entries kept behind it up to this size
PLANS = 512  # plans remembered, of each sort: open, confirmed
PLAN_BYTES = 16 << 20  # and open ones up to this size together
TAKEN = 16_384  # ids of changes that were taken, remembered at least
TAKEN_SLACK = 1_024  # and so many more before the oldest are dropped together

log = loguru.logger.bind(part="chain")
pack = msgspec.msgpack.encode
unpack_entry = msgspec.msgpack.Decoder(message.Entry).decode


def entry_key(n: int) -> bytes:
    """The disk's key of an entry.

    >>> entry_key(7)
    b'e0000000000000007'
    """
    return b"e%016d" % n


class Plan(typing.NamedTuple):
    """A plan as the chain keeps it; stamp is 0 until it is confirmed."""

    n: int
    base: int
    changes: list
    stamp: int = 0
    size: int = 0  # bytes of the changes


class Snapshot(msgspec.Struct, array_like=True):
    """A ledger as it is stored and sent. Snapshots of format 2 end after `plans`."""

    n: int
    made: int
    stamp: int
    items: dict[str, typing.Any]
    plans: list[tuple[str, Plan]]
    taken: dict[str, int] | None = None
    forgotten: int = 0


class Ledger(typing.NamedTuple):
    """The state after entry n. Ledgers share what they have in common.

    `fed` is `items` as nodes may have them: without the operator's labels. `taken` maps the id
    of each change that was taken to its stamp; `forgotten` is the highest operator's number
    among those that were dropped from it.

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
    taken: immutables.Map = immutables.Map()
    forgotten: int = 0

    def apply(self, e: message.Entry) -> Ledger:
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
                return self._replace(n=e.n, made=e.made, stamp=e.n, plans=plans).take(e).change(plan.changes)
            case message.Entry(kind="apply"):
                plans = forget(self.plans.set(e.plan, Plan(e.n, e.base, [], e.n)))
                return self._replace(n=e.n, made=e.made, stamp=e.n, plans=plans).take(e).change(e.changes)

    def take(self, entry: message.Entry) -> Ledger:
        """The state with an entry's change remembered as taken; the oldest are dropped above the bound.

        >>> Ledger().take(message.Entry(4, 1, "apply", "c5-7-0a")).taken["c5-7-0a"]
        4
        """
        taken = self.taken.set(entry.plan, entry.n)
        if len(taken) <= TAKEN + TAKEN_SLACK:
            return self._replace(taken=taken)
        by_age = sorted(taken, key=taken.get)
        dropped, kept = by_age[:-TAKEN], by_age[-TAKEN:]
        forgotten = max(self.forgotten, *map(configuration.change_number, dropped))
        return self._replace(taken=immutables.Map({k: taken[k] for k in kept}), forgotten=forgotten)

    def change(self, changes: list[tuple[str, dict[str, typing.Any] | None]]) -> Ledger:
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
                    fed[key] = configuration.bare(val)
            return self._replace(items=items.finish(), fed=fed.finish())

    def freeze(self) -> bytes:
        """The state as bytes.

        >>> Ledger.thaw(Ledger(n=3).freeze()).n
        3
        """
        return pack(
            Snapshot(
                self.n,
                self.made,
                self.stamp,
                dict(sorted(self.items.items())),
                sorted(self.plans.items()),
                dict(sorted(self.taken.items())),
                self.forgotten,
            )
        )

    @classmethod
    def thaw(cls, raw: bytearray | bytes) -> Ledger:
        """The state from bytes.

        >>> Ledger.thaw(Ledger(stamp=2).freeze()).stamp
        2
        """
        kept = unpack_snapshot(raw)
        plans = immutables.Map(kept.plans)
        fed = immutables.Map({k: configuration.bare(v) for k, v in kept.items.items()})
        taken, forgotten = kept.taken, kept.forgotten
        if taken is None:
            taken, forgotten = taken_in_format_2(plans)
        items = immutables.Map(kept.items)
        return cls(kept.n, kept.made, kept.stamp, items, plans, fed, immutables.Map(taken), forgotten)


unpack_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


def taken_in_format_2(plans: collections.abc.Mapping[str, Plan]) -> tuple[dict[str, int], int]:
    """The changes taken and the highest number forgotten, of a snapshot that remembers only plans.

    Where so many plans are confirmed that older ones may have been dropped, every number
    below the lowest that is left counts as forgotten.

    >>> taken_in_format_2({"c0-4-0a": Plan(9, 0, [], 9), "9-0b": Plan(10, 9, [])})
    ({'c0-4-0a': 9}, 0)
    """
    taken = {k: p.stamp for k, p in plans.items() if p.stamp}
    if len(taken) < PLANS:
        return taken, 0
    numbers = [configuration.change_number(k) for k in taken]
    return taken, max(0, min((n for n in numbers if n), default=0) - 1)


def forget(plans: immutables.Map[str, Plan]) -> immutables.Map[str, Plan]:
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

    Example: `chain = Chain(mach, disk, state, peers)`; then `chain.membership = membership`.
    """

    def __init__(
        self, mach: machine.Machine, disk: store.Guard | None, state: dict[bytes, bytes], peers: wire.Peers | None
    ) -> None:
        self.mach = mach
        self.disk = disk
        self.peers = peers
        self.membership: view_module.Membership | None = None
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
        self.settled = 0  # the newest view in which this machine, as its tail, had all committed that it holds
        self.lock = defer.DeferredLock()
        self.recovered = self.synced > self.base.n  # which of the entries from the disk stand is not known yet
        self.pinned: transfer.Outgoing | None = None  # the snapshot that is being sent to the next link
        self.incoming = transfer.Incoming()
        self.appended = machine.Signal()
        self.committed = machine.Signal()
        self.on_commit = lambda: None

    # ---- state ------------------------------------------------------------------

    def whole(self) -> bool:
        """Whether this copy is whole in the newest view.

        Example: `chain.whole()`
        """
        c = self.membership
        return c.view is not None and c.record.whole == c.view.number

    def place(self, number: int) -> int | None:
        """This link's place in the numbered view's chain, or None when it is not in it.

        Example: `chain.place(4)`
        """
        if not self.membership.serving(number):
            return None
        return [link.id for link in self.membership.view.chain].index(self.membership.me.id)

    def install(self, view: message.View) -> None:
        """Start on a new view: the link to the next machine is made anew.

        Example: `chain.install(view)`
        """
        self.appended.wake()
        self.committed.wake()
        self.mach.spawn(self.start(view), log)

    async def start(self, view: message.View) -> None:
        """In a new view: commit what the whole chain holds, and feed the next link.

        Example: `mach.spawn(chain.start(view))`
        """
        async with self.lock:
            pass  # a write that an earlier view began ends first
        k = self.place(view.number)
        if k is None:
            return
        if k == len(view.chain) - 1:
            self.settle_tail(view.number)
        else:
            await self.pump(view, self.membership.seat(view.chain[k + 1].id))

    def settle_tail(self, number: int) -> None:
        """At the tail: all that is synced here is synced everywhere, so it stands.

        Example: `chain.settle_tail(4)`
        """
        v = self.membership.view
        if self.place(number) != len(v.chain) - 1 or not self.whole():
            return
        if len(v.chain) >= self.membership.copies:
            self.recovered = False
            self.commit(self.synced)
        elif self.recovered:
            # some of these were acknowledged before the restart, and the disk does not say which
            self.recovered = False
            self.commit(self.synced)
        if self.base.n >= self.synced:
            self.settled = number

    def commit(self, n: int) -> None:
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

    async def reframe(self) -> None:
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
            await self.disk.commit([(b"frame", self.base.freeze())] + [(entry_key(k), None) for k in old])
            for k in old:
                del self.log[k]
            if self.pinned is not None and not self.reaches(self.pinned.position.n):
                self.pinned = None
        except store.DiskError:
            self.framed -= KEEP // 2  # again a little later
        finally:
            self.lock.release()

    # ---- from link to link ----------------------------------------------------------

    async def pump(self, view: message.View, seat: message.Seat) -> None:
        """Keep the next link up to date, as long as the view lasts.

        Example: `mach.spawn(chain.pump(view, seat))`
        """
        sent = None
        while self.place(view.number) is not None:
            if not self.whole() or (sent is not None and sent >= self.synced):
                await self.appended.wait()
                continue
            try:
                if sent is None:
                    sent = await self.catch_up(view.number, seat)
                else:
                    sent = await self.deliver(seat, message.Append(view.number, self.batch(sent + 1)))
                if sent is not None:
                    if self.place(view.number) is not None and len(view.chain) >= self.membership.copies:
                        self.commit(sent)
                    continue
            except (wire.ConnectionBrokenError, machine.DeadlineError):
                sent = None
            await self.mach.sleep(50 * machine.MILLI)

    def batch(self, first: int) -> list[message.Entry]:
        """Entries from a number on, bounded by count and by bytes; at least one where there is any.

        Example: `entries = chain.batch(17)`
        """
        entries, size = [], 0
        for n in range(first, min(self.synced, first + BATCH - 1) + 1):
            entry = self.log[n]
            size += len(pack(entry))
            if entries and size > transfer.BATCH_BYTES:
                break
            entries.append(entry)
        return entries

    async def call(
        self, seat: message.Seat, msg: message.Message
    ) -> message.PieceTaken | message.Placed | message.Stored:
        """Call the next link.

        Example: `placed = await chain.call(seat, message.Place(4, "c0ffee"))`
        """
        return await self.peers.call(seat.host, seat.port, msg, CALL_US)

    async def deliver(self, seat: message.Seat, msg: message.Append | message.Refill) -> int | None:
        """Send entries to the next link; returns how far they stand below, or None where it refused.

        Example: `sent = await chain.deliver(seat, message.Append(4, entries))`
        """
        stored = await self.call(seat, msg)
        return stored.n if stored.ok else None

    def reaches(self, n: int) -> bool:
        """Whether the log holds all entries after n.

        Example: `chain.reaches(17)`
        """
        return all(k in self.log for k in range(n + 1, self.synced + 1))

    def continues(self, got: message.Placed) -> bool:
        """Whether a copy at some place is a beginning of this one, and the log holds the rest.

        Example: `chain.continues(message.Placed(True, n=17, made=3))`
        """
        if got.n > self.synced or not self.reaches(got.n):
            return False
        at_base = (got.n, got.made) == (self.base.n, self.base.made)
        return at_base or (got.n in self.log and self.log[got.n].made == got.made)

    async def catch_up(self, number: int, seat: message.Seat) -> int | None:
        """Bring the next link up to date; returns how far, or None where it has to be tried again.

        Example: `sent = await chain.catch_up(4, seat)`
        """
        got = await self.call(seat, message.Place(number, self.membership.me.id))
        if not got.ok:
            return None
        if not got.pieces:
            return await self.deliver(seat, self.refill(number, got))
        if self.continues(got):
            return await self.send_entries(number, seat, message.Position(got.n, got.made), "")
        snapshot = self.pin()
        if not await self.send_snapshot(number, seat, snapshot, got):
            return None
        return await self.send_entries(number, seat, snapshot.position, snapshot.digest)

    def pin(self) -> transfer.Outgoing:
        """The snapshot to send: the last one as long as the log follows it, since links may have a part of it.

        Example: `snapshot = chain.pin()`
        """
        if self.pinned is None or not self.reaches(self.pinned.position.n):
            self.pinned = transfer.Outgoing.of(message.Position(self.base.n, self.base.made), self.base.freeze())
        return self.pinned

    async def send_snapshot(
        self, number: int, seat: message.Seat, snapshot: transfer.Outgoing, got: message.Placed
    ) -> bool:
        """Send a snapshot from where the next link has it; whether all of it arrived.

        Example: `await chain.send_snapshot(4, seat, snapshot, placed)`
        """
        offset = got.received if got.snapshot == snapshot.digest else 0
        while offset < len(snapshot.content):
            if self.place(number) is None:
                return False
            taken = await self.call(seat, snapshot.piece(number, offset))
            if not taken.ok or taken.received <= offset:
                return False
            offset = taken.received
        return True

    async def send_entries(self, number: int, seat: message.Seat, after: message.Position, snapshot: str) -> int | None:
        """Send all entries after a position in bounded batches; the last one makes the next link whole.

        Example: `sent = await chain.send_entries(4, seat, message.Position(17, 3), "")`
        """
        while self.place(number) is not None and self.reaches(after.n):
            entries = self.batch(after.n + 1)
            last = after.n + len(entries) >= self.synced
            sent = await self.deliver(seat, message.Refill(number, None, entries, after, snapshot, last))
            if sent is None:
                return None
            if last:
                return sent
            after = message.Position(entries[-1].n, entries[-1].made)
        return None

    def refill(self, number: int, got: message.Placed) -> message.Refill:
        """What brings a copy at some place up to date at once, for programs that take no pieces.

        Example: `chain.refill(4, message.Placed(True, n=17, made=3))`
        """
        if self.continues(got):
            return message.Refill(number, None, [self.log[k] for k in range(got.n + 1, self.synced + 1)])
        rest = [self.log[k] for k in range(self.base.n + 1, self.synced + 1)]
        return message.Refill(number, self.base.freeze(), rest)

    async def answer(self, msg: message.Message) -> message.Message:
        """Answer one of the chain's messages.

        Example: `res = await chain.answer(message.Place(4, "c0ffee"))`
        """
        match msg:
            case message.Place():
                return await self.tell_place(msg)
            case message.Piece():
                return self.take_piece(msg)
            case message.Refill():
                return await self.take_refill(msg)
            case message.Append():
                return await self.take_append(msg)
            case message.Propose():
                return await self.propose(msg)
            case message.Look():
                return self.look(msg)

    async def tell_place(self, msg: message.Place) -> message.Placed:
        """How far this link has come, once no write is under way that would change it.

        Example: `placed = await chain.tell_place(message.Place(4, "c0ffee"))`
        """
        async with self.lock:
            if not self.place(msg.view):
                return message.Placed(False)
            received = len(self.incoming.content)
            return message.Placed(True, self.synced, self.tip.made, True, self.incoming.digest, received)

    def take_piece(self, msg: message.Piece) -> message.PieceTaken:
        """Keep one piece of a snapshot in memory.

        Example: `taken = chain.take_piece(piece)`
        """
        if not self.place(msg.view) or self.whole():
            return message.PieceTaken(False)
        return message.PieceTaken(True, self.incoming.take_piece(msg))

    async def take_append(self, msg: message.Append) -> message.Stored:
        """Store new entries from the link before; answer once they stand below.

        Example: `stored = await chain.take_append(message.Append(4, entries))`
        """
        try:
            async with self.lock:
                if not self.place(msg.view) or not self.whole() or not await self.extend(msg.entries):
                    return message.Stored(False)
        except store.DiskError:
            return message.Stored(False)
        return await self.wait_below(msg.view, msg.entries)

    async def take_refill(self, msg: message.Refill) -> message.Stored:
        """Store what the link before sends to catch up; after the last of it, answer once it stands below.

        Example: `stored = await chain.take_refill(message.Refill(4, None, entries, after))`
        """
        try:
            async with self.lock:
                if not self.place(msg.view) or not await self.store_refill(msg):
                    return message.Stored(False)
                if msg.last:
                    await self.membership.grow_whole(msg.view)
                    self.incoming = transfer.Incoming()
        except store.DiskError:
            return message.Stored(False)
        if not msg.last:
            return message.Stored(True, msg.entries[-1].n)
        stored = await self.wait_below(msg.view, msg.entries)
        if stored.ok and (msg.snapshot or msg.frame is not None):
            self.on_commit()
        return stored

    async def store_refill(self, msg: message.Refill) -> bool:
        """Store one Refill by its kind; whether it fits what is here.

        Example: `fits = await chain.store_refill(refill)`
        """
        if msg.frame is not None:
            return await self.restore(msg.frame, Ledger.thaw(msg.frame), msg.entries)
        if msg.snapshot:
            return await self.stage(msg)
        here = message.Position(self.tip.n, self.tip.made)
        return (msg.after is None or msg.after == here) and await self.extend(msg.entries)

    async def stage(self, msg: message.Refill) -> bool:
        """Keep entries that follow an incoming snapshot; with the last of them the snapshot replaces this copy.

        Example: `fits = await chain.stage(refill)`
        """
        incoming = self.incoming
        if not incoming.complete or incoming.digest != msg.snapshot:
            return False
        if incoming.ledger is None:
            incoming.ledger = Ledger.thaw(incoming.content)
            incoming.position = message.Position(incoming.ledger.n, incoming.ledger.made)
        if not incoming.take_entries(msg.after, msg.entries):
            return False
        return not msg.last or await self.restore(bytes(incoming.content), incoming.ledger, incoming.entries)

    async def extend(self, entries: list[message.Entry]) -> bool:
        """Sync entries that follow the newest one here; those that are here already are passed over.

        Example: `fits = await chain.extend(entries)`
        """
        new = [e for e in entries if e.n > self.synced]
        if not transfer.follow(self.synced, new):
            return False
        if new:
            await self.disk.commit([(entry_key(e.n), pack(e)) for e in new])
        for e in new:
            self.log[e.n] = e
            self.tip = self.tip.apply(e)
        self.synced = self.tip.n
        return True

    async def restore(self, snapshot: bytes, ledger: Ledger, entries: list[message.Entry]) -> bool:
        """Replace this copy by a snapshot and all entries after it, in one synced write.

        It is one write because what this copy held may have been acknowledged: at any moment it holds
        either that, or all that the link before held when it sent the last entry. A copy that is whole
        in this view is a beginning of the sender's, so that a snapshot for it is a late one.

        Example: `fits = await chain.restore(raw, Ledger.thaw(raw), entries)`
        """
        may_restore = agreement.may_restore(self.membership.record, self.synced, ledger.n)
        if not may_restore or not transfer.follow(ledger.n, entries):
            return False
        puts = [(entry_key(k), None) for k in self.log]
        puts += [(b"frame", snapshot)] + [(entry_key(e.n), pack(e)) for e in entries]
        await self.disk.commit(puts)
        self.log = {e.n: e for e in entries}
        self.tip = ledger
        for e in entries:
            self.tip = self.tip.apply(e)
        self.synced = self.tip.n
        self.pinned = None
        if ledger.n >= self.base.n:
            self.base, self.framed = ledger, ledger.n
            self.history[ledger.n] = ledger
            self.committed.wake()
        return True

    async def wait_below(self, number: int, entries: list[message.Entry]) -> message.Stored:
        """Pass on what was stored, and answer once it stands on all links below.

        Example: `stored = await chain.wait_below(4, entries)`
        """
        if not self.place(number) or not self.whole():
            return message.Stored(False)
        n = entries[-1].n if entries else self.synced
        self.appended.wake()
        self.settle_tail(number)
        tail = self.place(number) == len(self.membership.view.chain) - 1
        while not tail and self.base.n < n:
            await self.committed.wait()
            if not self.place(number):
                return message.Stored(False)
        return message.Stored(True, n)

    # ---- operators' changes, at the head ------------------------------------------------

    def refuse(self, code: str, text: str) -> message.Proposed:
        """An answer that says: not run.

        Example: `chain.refuse("no_chain", "This machine is not the head.")`
        """
        return message.Proposed(code, "not_run", text)

    async def propose(self, m: message.Propose) -> message.Proposed:
        """Take an operator's change at the head.

        Example: `res = await chain.propose(message.Propose(4, "confirm", plan="3-ab"))`
        """
        await self.lock.acquire()
        try:
            number = m.view
            if self.place(number) != 0 or not self.whole():
                return self.refuse("no_chain", "This machine is not the head of the chain now.")
            here, copies = len(self.membership.view.chain), self.membership.copies
            if here < copies:
                return self.refuse(
                    "too_few_copies", f"Machines with a disk: {here} are there, {copies} must keep a change."
                )
            if not self.disk.ok:
                return self.refuse("no_chain", "The head's disk does not work.")
            plan = self.tip.plans.get(m.plan)
            taken = self.tip.taken.get(m.plan)
            match m:
                case message.Propose(kind="plan") if plan is not None:
                    n = plan.n
                case message.Propose(kind="apply" | "confirm") if taken is not None:
                    n = taken
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
                case message.Propose(kind="confirm") if plan.base != self.tip.stamp:
                    return self.refuse(
                        "base_moved", f"The blueprint is at {self.tip.stamp}, the plan's base is {plan.base}."
                    )
                case _:
                    n = self.tip.n + 1
                    e = message.Entry(n, number, m.kind, m.plan, m.base, m.changes)
                    try:
                        await self.disk.commit([(b"e%016d" % n, pack(e))])
                    except store.DiskError:
                        return message.Proposed("no_chain", "may_have_run", "The head's disk does not work.")
                    self.log[n] = e
                    self.tip = self.tip.apply(e)
                    self.synced = n
                    self.appended.wake()
                    self.settle_tail(number)  # where one copy is enough, the head may be the tail
        finally:
            self.lock.release()
        return await self.outcome(m, n)

    async def outcome(self, m: message.Propose, n: int) -> message.Proposed:
        """The answer to a change that became entry n, once that stands or its view has ended.

        Example: `res = await chain.outcome(message.Propose(4, "confirm", plan="3-ab"), 17)`
        """
        unknown = message.Proposed("unknown_outcome", "may_have_run", "The chain changed meanwhile.")
        while self.base.n < n:
            if self.place(m.view) is None:
                return unknown
            await self.committed.wait()
        entry = self.log.get(n)
        if self.place(m.view) is None and (entry is None or entry.plan != m.plan):
            return unknown  # another view may have made another entry of that number
        return message.Proposed("", "ran", "", m.base if m.kind == "plan" else n)

    def look(self, m: message.Look) -> message.Seen:
        """Answer a read, at the tail and under its lease only.

        A tail that is new holds entries that the one before it may have answered reads by;
        until these are committed here, it answers none.

        Example: `chain.look(message.Look(view=4, plan="3-ab"))`
        """
        if not self.membership.leased() or self.settled != self.membership.view.number:
            return message.Seen(False)
        plan = self.base.plans.get(m.plan)
        told = None
        if plan is not None:
            told = {"id": m.plan, "base": plan.base, "stamp": plan.stamp, "changes": plan.changes}
        taken = self.base.taken.get(m.plan, 0)
        return message.Seen(True, self.base.stamp, dict(self.base.items), told, taken, self.base.forgotten)
