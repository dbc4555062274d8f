"""The chain: changes enter at the head, are synced on every link, and answered by the tail."""

from __future__ import annotations

import collections.abc
import typing

import immutables
import loguru
import msgspec
import twisted.internet.defer as defer

import iriswheel.configuration.configuration as configuration
import iriswheel.consensus.decisions as decisions
import iriswheel.replication.snapshot_transfer as snapshot_transfer
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.storage as storage
import iriswheel.runtime.units as units
import iriswheel.transport.message as message
import iriswheel.transport.wire as wire

if typing.TYPE_CHECKING:
    import iriswheel.consensus.view_consensus as view_consensus


CALL_US = 2 * units.SECOND_US
BATCH = 64
KEEP = 512  # entries kept behind the frame, and states kept for the feed
GREW_BYTES = 32 << 20  # a frame after so many bytes of plans; entries kept behind it up to this size
PLANS = 512  # plans remembered, of each sort: open, confirmed
PLAN_BYTES = 16 << 20  # and open ones up to this size together
TAKEN = 16_384  # ids of changes that were taken, remembered at least
TAKEN_SLACK = 1_024  # and so many more before the oldest are dropped together

log = loguru.logger.bind(part="chain")
pack = msgspec.msgpack.encode
unpack_entry = msgspec.msgpack.Decoder(message.LogEntry).decode


def entry_key(n: int) -> bytes:
    """The disk's key of an entry.

    >>> entry_key(7)
    b'e0000000000000007'
    """
    return b"e%016d" % n


class Plan(typing.NamedTuple):
    """A plan as the chain keeps it; version is 0 until it is confirmed."""

    index: int
    base: int
    changes: list
    version: int = 0
    size: int = 0  # bytes of the changes


class Snapshot(msgspec.Struct, array_like=True):
    """A ledger as it is stored and sent. Snapshots of format 2 end after `plans`."""

    index: int
    view: int
    version: int
    items: dict[str, typing.Any]
    plans: list[tuple[str, Plan]]
    taken: dict[str, int] | None = None
    forgotten: int = 0


class ReplicatedState(typing.NamedTuple):
    """The state after entry n. Ledgers share what they have in common.

    `fed` is `items` as nodes may have them: without the operator's labels. `taken` maps the id
    of each change that was taken to its version; `forgotten` is the highest operator's number
    among those that were dropped from it.

    >>> one = ReplicatedState().apply(message.LogEntry(1, 1, "plan", "0-a", 0, [("pools/p", {})]))
    >>> two = one.apply(message.LogEntry(2, 1, "confirm", "0-a"))
    >>> two.version, dict(two.items), two.plans["0-a"].version
    (2, {'pools/p': {}}, 2)
    """

    index: int = 0
    view: int = 0
    version: int = 0
    items: immutables.Map = immutables.Map()
    plans: immutables.Map = immutables.Map()
    published: immutables.Map = immutables.Map()
    taken: immutables.Map = immutables.Map()
    forgotten: int = 0

    def apply(self, e: message.LogEntry) -> ReplicatedState:
        """The state after one more entry.

        >>> ReplicatedState().apply(message.LogEntry(1, 7, "plan", "0-a")).view
        7
        """
        match e:
            case message.LogEntry(kind="plan"):
                plans = forget(self.plans.set(e.plan, Plan(e.index, e.base, e.changes, 0, len(pack(e.changes)))))
                return self._replace(index=e.index, view=e.view, plans=plans)
            case message.LogEntry(kind="confirm"):
                plan = self.plans[e.plan]
                plans = forget(
                    self.plans.set(e.plan, plan._replace(changes=[], version=e.index, index=e.index, size=0))
                )
                return (
                    self._replace(index=e.index, view=e.view, version=e.index, plans=plans).take(e).change(plan.changes)
                )
            case message.LogEntry(kind="apply"):
                plans = forget(self.plans.set(e.plan, Plan(e.index, e.base, [], e.index)))
                return self._replace(index=e.index, view=e.view, version=e.index, plans=plans).take(e).change(e.changes)

    def take(self, entry: message.LogEntry) -> ReplicatedState:
        """The state with an entry's change remembered as taken; the oldest are dropped above the bound.

        >>> ReplicatedState().take(message.LogEntry(4, 1, "apply", "c5-7-0a")).taken["c5-7-0a"]
        4
        """
        taken = self.taken.set(entry.plan, entry.index)
        if len(taken) <= TAKEN + TAKEN_SLACK:
            return self._replace(taken=taken)
        by_age = sorted(taken, key=taken.get)
        dropped, kept = by_age[:-TAKEN], by_age[-TAKEN:]
        forgotten = max(self.forgotten, *map(configuration.change_number, dropped))
        return self._replace(taken=immutables.Map({k: taken[k] for k in kept}), forgotten=forgotten)

    def change(self, changes: list[tuple[str, dict[str, typing.Any] | None]]) -> ReplicatedState:
        """The state with some items changed; None removes.

        >>> ReplicatedState().change([("pools/p", {"label": {"a": 1}})]).published["pools/p"]
        {}
        """
        with self.items.mutate() as items, self.published.mutate() as published:
            for key, value in changes:
                if value is None:
                    items.pop(key, None)
                    published.pop(key, None)
                else:
                    items[key] = value
                    published[key] = configuration.without_label(value)
            return self._replace(items=items.finish(), published=published.finish())

    def freeze(self) -> bytes:
        """The state as bytes.

        >>> ReplicatedState.thaw(ReplicatedState(index=3).freeze()).index
        3
        """
        return pack(
            Snapshot(
                self.index,
                self.view,
                self.version,
                dict(sorted(self.items.items())),
                sorted(self.plans.items()),
                dict(sorted(self.taken.items())),
                self.forgotten,
            )
        )

    @classmethod
    def thaw(cls, raw: bytearray | bytes) -> ReplicatedState:
        """The state from bytes.

        >>> ReplicatedState.thaw(ReplicatedState(version=2).freeze()).version
        2
        """
        kept = unpack_snapshot(raw)
        plans = immutables.Map(kept.plans)
        published = immutables.Map({k: configuration.without_label(v) for k, v in kept.items.items()})
        taken, forgotten = kept.taken, kept.forgotten
        if taken is None:
            taken, forgotten = taken_in_format_2(plans)
        items = immutables.Map(kept.items)
        return cls(kept.index, kept.view, kept.version, items, plans, published, immutables.Map(taken), forgotten)


unpack_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


def taken_in_format_2(plans: collections.abc.Mapping[str, Plan]) -> tuple[dict[str, int], int]:
    """The changes taken and the highest number forgotten, of a snapshot that remembers only plans.

    Where so many plans are confirmed that older ones may have been dropped, every number
    below the lowest that is left counts as forgotten.

    >>> taken_in_format_2({"c0-4-0a": Plan(9, 0, [], 9), "9-0b": Plan(10, 9, [])})
    ({'c0-4-0a': 9}, 0)
    """
    taken = {k: p.version for k, p in plans.items() if p.version}
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
        for _, k in sorted(((p.index, k) for k, p in plans.items() if not p.version), reverse=True):
            left -= plans[k].size
            if left < 0 and len(plans) > 1:
                plans = plans.delete(k)
    if len(plans) <= PLANS:
        return plans
    for done in (False, True):
        sort = sorted((p.index, k) for k, p in plans.items() if bool(p.version) == done)
        for _, k in sort[:-PLANS] if len(sort) > PLANS else []:
            plans = plans.delete(k)
    return plans


class Chain:
    """One core machine's link."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        disk: storage.MonitoredDisk | None,
        state: dict[bytes, bytes],
        peers: wire.Peers | None,
    ) -> None:
        self.runtime = runtime
        self.disk = disk
        self.peers = peers
        self.consensus: view_consensus.ViewConsensus | None = None
        self.base = ReplicatedState.thaw(state[b"frame"]) if b"frame" in state else ReplicatedState()
        entries = [unpack_entry(v) for k, v in sorted(state.items()) if k.startswith(b"e")]
        self.log = {e.index: e for e in entries}
        self.latest_state = self.base
        for e in entries:
            if e.index > self.latest_state.index:
                self.latest_state = self.latest_state.apply(e)
        self.framed = self.base.index
        self.grew = 0  # bytes of changes since the frame
        self.history = {self.base.index: self.base}
        self.synced = self.latest_state.index
        self.settled = 0  # the newest view in which this machine, as its tail, had all committed that it holds
        self.lock = defer.DeferredLock()
        self.recovered = self.synced > self.base.index  # which of the entries from the disk stand is not known yet
        self.outgoing_snapshot: snapshot_transfer.Outgoing | None = (
            None  # the snapshot that is being sent to the next replica
        )
        self.incoming = snapshot_transfer.Incoming()
        self.appended = scheduler.Signal()
        self.committed = scheduler.Signal()
        self.on_commit = lambda: None

    # ---- state ------------------------------------------------------------------

    def is_synced(self) -> bool:
        """Whether this copy is whole in the newest view."""
        c = self.consensus
        return c.view is not None and c.record.synced_view == c.view.number

    def position_in_chain(self, number: int) -> int | None:
        """This link's place in the numbered view's chain, or None when it is not in it."""
        if not self.consensus.serving(number):
            return None
        return [replica.id for replica in self.consensus.view.chain].index(self.consensus.me.id)

    def install(self, view: message.View) -> None:
        """Start on a new view: the link to the next machine is made anew."""
        self.appended.wake()
        self.committed.wake()
        self.runtime.spawn(self.start(view), log)

    async def start(self, view: message.View) -> None:
        """In a new view: commit what the whole chain holds, and feed the next replica."""
        async with self.lock:
            pass  # a write that an earlier view began ends first
        k = self.position_in_chain(view.number)
        if k is None:
            return
        if k == len(view.chain) - 1:
            self.settle_tail(view.number)
        else:
            await self.pump(view, self.consensus.voter(view.chain[k + 1].id))

    def settle_tail(self, number: int) -> None:
        """At the tail: all that is synced here is synced everywhere, so it stands."""
        v = self.consensus.view
        if self.position_in_chain(number) != len(v.chain) - 1 or not self.is_synced():
            return
        if len(v.chain) >= self.consensus.copies:
            self.recovered = False
            self.commit(self.synced)
        elif self.recovered:
            # some of these were acknowledged before the restart, and the disk does not say which
            self.recovered = False
            self.commit(self.synced)
        if self.base.index >= self.synced:
            self.settled = number

    def commit(self, n: int) -> None:
        """Let entries up to n stand."""
        if n <= self.base.index:
            return
        while self.base.index < min(n, self.synced):
            e = self.log[self.base.index + 1]
            self.base = self.base.apply(e)
            self.grew += len(pack(e.changes)) if e.changes else 0
            self.history[self.base.index] = self.base
        for old in [k for k in self.history if k <= self.base.index - KEEP]:
            del self.history[old]
        self.committed.wake()
        self.on_commit()
        if self.base.index - self.framed >= KEEP or self.grew > GREW_BYTES:
            self.grew = 0
            self.framed = self.base.index
            self.runtime.spawn(self.reframe(), log)

    async def reframe(self) -> None:
        """Write a frame of what stands, and drop the entries far behind it."""
        await self.lock.acquire()
        try:
            old, kept = [], 0
            for k in sorted(self.log, reverse=True):
                kept += len(pack(self.log[k]))
                if k <= self.base.index - KEEP or k <= self.base.index and kept > GREW_BYTES:
                    old.append(k)
            await self.disk.commit([(b"frame", self.base.freeze())] + [(entry_key(k), None) for k in old])
            for k in old:
                del self.log[k]
            if self.outgoing_snapshot is not None and not self.reaches(self.outgoing_snapshot.position.index):
                self.outgoing_snapshot = None
        except storage.DiskError:
            self.framed -= KEEP // 2  # again a little later
        finally:
            self.lock.release()

    # ---- from link to link ----------------------------------------------------------

    async def pump(self, view: message.View, voter: message.Voter) -> None:
        """Keep the next replica up to date, as long as the view lasts."""
        sent = None
        while self.position_in_chain(view.number) is not None:
            if not self.is_synced() or (sent is not None and sent >= self.synced):
                await self.appended.wait()
                continue
            try:
                if sent is None:
                    sent = await self.catch_up(view.number, voter)
                else:
                    sent = await self.deliver(voter, message.AppendRequest(view.number, self.batch(sent + 1)))
                if sent is not None:
                    if self.position_in_chain(view.number) is not None and len(view.chain) >= self.consensus.copies:
                        self.commit(sent)
                    continue
            except (wire.ConnectionBrokenError, scheduler.DeadlineError):
                sent = None
            await self.runtime.sleep(50 * units.MILLISECOND_US)

    def batch(self, first: int) -> list[message.LogEntry]:
        """Entries from a number on, bounded by count and by bytes; at least one where there is any."""
        entries, size = [], 0
        for n in range(first, min(self.synced, first + BATCH - 1) + 1):
            entry = self.log[n]
            size += len(pack(entry))
            if entries and size > snapshot_transfer.BATCH_BYTES:
                break
            entries.append(entry)
        return entries

    async def call(
        self, voter: message.Voter, msg: message.Message
    ) -> message.SnapshotChunkResponse | message.PositionResponse | message.AppendResponse:
        """Call the next replica."""
        return await self.peers.call(voter.host, voter.port, msg, CALL_US)

    async def deliver(self, voter: message.Voter, msg: message.AppendRequest | message.CatchUp) -> int | None:
        """Send entries to the next replica; returns how far they stand below, or None where it refused."""
        stored = await self.call(voter, msg)
        return stored.index if stored.ok else None

    def reaches(self, n: int) -> bool:
        """Whether the log holds all entries after n."""
        return all(k in self.log for k in range(n + 1, self.synced + 1))

    def continues(self, got: message.PositionResponse) -> bool:
        """Whether a copy at some place is a beginning of this one, and the log holds the rest."""
        if got.index > self.synced or not self.reaches(got.index):
            return False
        at_base = (got.index, got.view) == (self.base.index, self.base.view)
        return at_base or (got.index in self.log and self.log[got.index].view == got.view)

    async def catch_up(self, number: int, voter: message.Voter) -> int | None:
        """Bring the next replica up to date; returns how far, or None where it has to be tried again."""
        got = await self.call(voter, message.PositionRequest(number, self.consensus.me.id))
        if not got.ok:
            return None
        if not got.pieces:
            return await self.deliver(voter, self.refill(number, got))
        if self.continues(got):
            return await self.send_entries(number, voter, message.LogPosition(got.index, got.view), "")
        snapshot = self.pin()
        if not await self.send_snapshot(number, voter, snapshot, got):
            return None
        return await self.send_entries(number, voter, snapshot.position, snapshot.digest)

    def pin(self) -> snapshot_transfer.Outgoing:
        """The snapshot to send: the last one as long as the log follows it, since links may have a part of it."""
        if self.outgoing_snapshot is None or not self.reaches(self.outgoing_snapshot.position.index):
            self.outgoing_snapshot = snapshot_transfer.Outgoing.of(
                message.LogPosition(self.base.index, self.base.view), self.base.freeze()
            )
        return self.outgoing_snapshot

    async def send_snapshot(
        self, number: int, voter: message.Voter, snapshot: snapshot_transfer.Outgoing, got: message.PositionResponse
    ) -> bool:
        """Send a snapshot from where the next replica has it; whether all of it arrived."""
        offset = got.received if got.snapshot == snapshot.digest else 0
        while offset < len(snapshot.content):
            if self.position_in_chain(number) is None:
                return False
            taken = await self.call(voter, snapshot.piece(number, offset))
            if not taken.ok or taken.received <= offset:
                return False
            offset = taken.received
        return True

    async def send_entries(
        self, number: int, voter: message.Voter, after: message.LogPosition, snapshot: str
    ) -> int | None:
        """Send all entries after a position in bounded batches; the last one makes the next replica whole."""
        while self.position_in_chain(number) is not None and self.reaches(after.index):
            entries = self.batch(after.index + 1)
            last = after.index + len(entries) >= self.synced
            sent = await self.deliver(voter, message.CatchUp(number, None, entries, after, snapshot, last))
            if sent is None:
                return None
            if last:
                return sent
            after = message.LogPosition(entries[-1].index, entries[-1].view)
        return None

    def refill(self, number: int, got: message.PositionResponse) -> message.CatchUp:
        """What brings a copy at some place up to date at once, for programs that take no pieces."""
        if self.continues(got):
            return message.CatchUp(number, None, [self.log[k] for k in range(got.index + 1, self.synced + 1)])
        rest = [self.log[k] for k in range(self.base.index + 1, self.synced + 1)]
        return message.CatchUp(number, self.base.freeze(), rest)

    async def answer(self, msg: message.Message) -> message.Message:
        """Answer one of the chain's messages."""
        match msg:
            case message.PositionRequest():
                return await self.tell_place(msg)
            case message.SnapshotChunk():
                return self.take_piece(msg)
            case message.CatchUp():
                return await self.take_refill(msg)
            case message.AppendRequest():
                return await self.take_append(msg)
            case message.ProposeChange():
                return await self.propose(msg)
            case message.ReadRequest():
                return self.look(msg)

    async def tell_place(self, msg: message.PositionRequest) -> message.PositionResponse:
        """How far this link has come, once no write is under way that would change it."""
        async with self.lock:
            if not self.position_in_chain(msg.view):
                return message.PositionResponse(False)
            received = len(self.incoming.content)
            return message.PositionResponse(
                True, self.synced, self.latest_state.view, True, self.incoming.digest, received
            )

    def take_piece(self, msg: message.SnapshotChunk) -> message.SnapshotChunkResponse:
        """Keep one piece of a snapshot in memory."""
        if not self.position_in_chain(msg.view) or self.is_synced():
            return message.SnapshotChunkResponse(False)
        return message.SnapshotChunkResponse(True, self.incoming.take_piece(msg))

    async def take_append(self, msg: message.AppendRequest) -> message.AppendResponse:
        """Store new entries from the replica before; answer once they stand below."""
        try:
            async with self.lock:
                if not self.position_in_chain(msg.view) or not self.is_synced() or not await self.extend(msg.entries):
                    return message.AppendResponse(False)
        except storage.DiskError:
            return message.AppendResponse(False)
        return await self.wait_below(msg.view, msg.entries)

    async def take_refill(self, msg: message.CatchUp) -> message.AppendResponse:
        """Store what the replica before sends to catch up; after the last of it, answer once it stands below."""
        try:
            async with self.lock:
                if not self.position_in_chain(msg.view) or not await self.store_refill(msg):
                    return message.AppendResponse(False)
                if msg.last:
                    await self.consensus.mark_synced(msg.view)
                    self.incoming = snapshot_transfer.Incoming()
        except storage.DiskError:
            return message.AppendResponse(False)
        if not msg.last:
            return message.AppendResponse(True, msg.entries[-1].index)
        stored = await self.wait_below(msg.view, msg.entries)
        if stored.ok and (msg.snapshot or msg.frame is not None):
            self.on_commit()
        return stored

    async def store_refill(self, msg: message.CatchUp) -> bool:
        """Store one Refill by its kind; whether it fits what is here."""
        if msg.frame is not None:
            return await self.restore(msg.frame, ReplicatedState.thaw(msg.frame), msg.entries)
        if msg.snapshot:
            return await self.stage(msg)
        here = message.LogPosition(self.latest_state.index, self.latest_state.view)
        return (msg.after is None or msg.after == here) and await self.extend(msg.entries)

    async def stage(self, msg: message.CatchUp) -> bool:
        """Keep entries that follow an incoming snapshot; with the last of them the snapshot replaces this copy."""
        incoming = self.incoming
        if not incoming.complete or incoming.digest != msg.snapshot:
            return False
        if incoming.state is None:
            incoming.state = ReplicatedState.thaw(incoming.content)
            incoming.position = message.LogPosition(incoming.state.index, incoming.state.view)
        if not incoming.take_entries(msg.after, msg.entries):
            return False
        return not msg.last or await self.restore(bytes(incoming.content), incoming.state, incoming.entries)

    async def extend(self, entries: list[message.LogEntry]) -> bool:
        """Sync entries that follow the newest one here; those that are here already are passed over."""
        new = [e for e in entries if e.index > self.synced]
        if not snapshot_transfer.follow(self.synced, new):
            return False
        if new:
            await self.disk.commit([(entry_key(e.index), pack(e)) for e in new])
        for e in new:
            self.log[e.index] = e
            self.latest_state = self.latest_state.apply(e)
        self.synced = self.latest_state.index
        return True

    async def restore(self, snapshot: bytes, ledger: ReplicatedState, entries: list[message.LogEntry]) -> bool:
        """Replace this copy by a snapshot and all entries after it, in one synced write.

        It is one write because what this copy held may have been acknowledged: at any moment it holds
        either that, or all that the replica before held when it sent the last entry. A copy that is whole
        in this view is a beginning of the sender's, so that a snapshot for it is a late one.
        """
        may_restore = decisions.may_restore(self.consensus.record, self.synced, ledger.index)
        if not may_restore or not snapshot_transfer.follow(ledger.index, entries):
            return False
        puts = [(entry_key(k), None) for k in self.log]
        puts += [(b"frame", snapshot)] + [(entry_key(e.index), pack(e)) for e in entries]
        await self.disk.commit(puts)
        self.log = {e.index: e for e in entries}
        self.latest_state = ledger
        for e in entries:
            self.latest_state = self.latest_state.apply(e)
        self.synced = self.latest_state.index
        self.outgoing_snapshot = None
        if ledger.index >= self.base.index:
            self.base, self.framed = ledger, ledger.index
            self.history[ledger.index] = ledger
            self.committed.wake()
        return True

    async def wait_below(self, number: int, entries: list[message.LogEntry]) -> message.AppendResponse:
        """Pass on what was stored, and answer once it stands on all links below."""
        if not self.position_in_chain(number) or not self.is_synced():
            return message.AppendResponse(False)
        n = entries[-1].index if entries else self.synced
        self.appended.wake()
        self.settle_tail(number)
        tail = self.position_in_chain(number) == len(self.consensus.view.chain) - 1
        while not tail and self.base.index < n:
            await self.committed.wait()
            if not self.position_in_chain(number):
                return message.AppendResponse(False)
        return message.AppendResponse(True, n)

    # ---- operators' changes, at the head ------------------------------------------------

    def refuse(self, code: str, text: str) -> message.ProposeChangeResponse:
        """An answer that says: not run."""
        return message.ProposeChangeResponse(code, "not_run", text)

    async def propose(self, m: message.ProposeChange) -> message.ProposeChangeResponse:
        """Take an operator's change at the head."""
        await self.lock.acquire()
        try:
            number = m.view
            if self.position_in_chain(number) != 0 or not self.is_synced():
                return self.refuse("no_chain", "This machine is not the head of the chain now.")
            here, copies = len(self.consensus.view.chain), self.consensus.copies
            if here < copies:
                return self.refuse(
                    "too_few_copies", f"Machines with a disk: {here} are there, {copies} must keep a change."
                )
            if not self.disk.ok:
                return self.refuse("no_chain", "The head's disk does not work.")
            plan = self.latest_state.plans.get(m.plan)
            taken = self.latest_state.taken.get(m.plan)
            match m:
                case message.ProposeChange(kind="plan") if plan is not None:
                    n = plan.index
                case message.ProposeChange(kind="apply" | "confirm") if taken is not None:
                    n = taken
                case message.ProposeChange(kind="apply") if m.base != self.latest_state.version:
                    return self.refuse(
                        "base_moved", f"The blueprint is at {self.latest_state.version}, the change's base is {m.base}."
                    )
                case message.ProposeChange(kind="plan") if m.base != self.latest_state.version:
                    return self.refuse(
                        "base_moved", f"The blueprint is at {self.latest_state.version}, the plan's base is {m.base}."
                    )
                case message.ProposeChange(kind="confirm") if plan is None:
                    base = int(m.plan.split("-")[0]) if m.plan.split("-")[0].isdigit() else -1
                    if 0 <= base < self.latest_state.version:
                        return message.ProposeChangeResponse(
                            "not_found", "may_have_run", "The plan is no longer remembered."
                        )
                    return self.refuse("not_found", "There is no such plan.")
                case message.ProposeChange(kind="confirm") if plan.base != self.latest_state.version:
                    return self.refuse(
                        "base_moved",
                        f"The blueprint is at {self.latest_state.version}, the plan's base is {plan.base}.",
                    )
                case _:
                    n = self.latest_state.index + 1
                    e = message.LogEntry(n, number, m.kind, m.plan, m.base, m.changes)
                    try:
                        await self.disk.commit([(b"e%016d" % n, pack(e))])
                    except storage.DiskError:
                        return message.ProposeChangeResponse(
                            "no_chain", "may_have_run", "The head's disk does not work."
                        )
                    self.log[n] = e
                    self.latest_state = self.latest_state.apply(e)
                    self.synced = n
                    self.appended.wake()
                    self.settle_tail(number)  # where one copy is enough, the head may be the tail
        finally:
            self.lock.release()
        return await self.outcome(m, n)

    async def outcome(self, m: message.ProposeChange, n: int) -> message.ProposeChangeResponse:
        """The answer to a change that became entry n, once that stands or its view has ended."""
        unknown = message.ProposeChangeResponse("unknown_outcome", "may_have_run", "The chain changed meanwhile.")
        while self.base.index < n:
            if self.position_in_chain(m.view) is None:
                return unknown
            await self.committed.wait()
        entry = self.log.get(n)
        if self.position_in_chain(m.view) is None and (entry is None or entry.plan != m.plan):
            return unknown  # another view may have made another entry of that number
        return message.ProposeChangeResponse("", "ran", "", m.base if m.kind == "plan" else n)

    def look(self, m: message.ReadRequest) -> message.ReadResponse:
        """Answer a read, at the tail and under its lease only.

        A tail that is new holds entries that the one before it may have answered reads by;
        until these are committed here, it answers none.
        """
        if not self.consensus.leased() or self.settled != self.consensus.view.number:
            return message.ReadResponse(False)
        plan = self.base.plans.get(m.plan)
        plan_fields = None
        if plan is not None:
            plan_fields = {"id": m.plan, "base": plan.base, "stamp": plan.version, "changes": plan.changes}
        taken = self.base.taken.get(m.plan, 0)
        return message.ReadResponse(
            True, self.base.version, dict(self.base.items), plan_fields, taken, self.base.forgotten
        )
