"""The log of one replica: entries and a snapshot on disk, the committed and the latest state in memory."""

from __future__ import annotations

import typing

import loguru
from twisted.internet import defer

from iriswheel.replication import (
    applied_entries,
    commit_record,
    replicated_state,
    snapshot_format,
    snapshot_transfer,
    state_history,
    stored_entries,
)
from iriswheel.runtime import scheduler, storage

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.transport import message

SNAPSHOT_KEY = b"frame"
ENTRY_KEY_PREFIX = b"e"

MAX_BATCH_ENTRIES = 64
# Number of entries between two snapshots, and number of newest committed entries kept.
KEPT_ENTRIES = 512
MAX_BYTES_SINCE_SNAPSHOT = 8 << 20  # most bytes of entries between two snapshots
MAX_KEPT_BYTES = 4 << 20  # most bytes of committed entries that a snapshot leaves in the log

log = loguru.logger.bind(part="chain")
encode_entry = stored_entries.encode_entry
decode_entry = stored_entries.decode_entry


def entry_key(index: int) -> bytes:
    """The key under which an entry is stored on disk.

    >>> entry_key(7)
    b'e0000000000000007'
    """
    return ENTRY_KEY_PREFIX + b"%016d" % index


class ReplicatedLog:
    """The entries that this replica has synced, and the states that result from them.

    Args:
        runtime: Clock and task scheduler.
        disk: The disk that entries and snapshots are synced to.
        records: All keys and values that the disk held when the process started.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        disk: storage.MonitoredDisk,
        records: collections.abc.Mapping[bytes, bytes],
    ) -> None:
        self.runtime = runtime
        self.disk = disk
        self.lock = defer.DeferredLock()
        """Held from the decision on a write until the write is synced."""
        self.commit_record = commit_record.CommitRecord(runtime, disk, records)
        raw = records.get(SNAPSHOT_KEY)
        self.committed_state = replicated_state.ReplicatedState() if raw is None else snapshot_format.decode(raw)
        """The state after the newest entry that is known to be committed."""
        self._snapshot_index = self.committed_state.index
        stored = [
            stored_entries.StoredEntry.read(value)
            for key, value in sorted(records.items())
            if key.startswith(ENTRY_KEY_PREFIX)
        ]
        self.entries = stored_entries.StoredEntries(stored)
        self.latest_state = self.committed_state
        """The committed state with the uncommitted entries applied."""
        self._uncommitted = applied_entries.AppliedEntries()
        self.history = state_history.StateHistory(self.committed_state)
        """The most recent committed states, by log index."""
        self._apply_recovered(stored)
        self.appended = scheduler.Signal()
        self.committed = scheduler.Signal()
        self.on_commit: collections.abc.Callable[[], object] = lambda: None
        self._bytes_since_snapshot = self._committed_bytes_after(self._snapshot_index)
        self._pinned_snapshot: snapshot_transfer.OutgoingSnapshot | None = None

    def _apply_recovered(self, stored: list[stored_entries.StoredEntry]) -> None:
        """Apply the entries found on disk; those up to the recorded position count as committed.

        The record is disregarded if the log does not hold the entry that it names.
        """
        recorded = self.commit_record.written
        new = [entry for entry in stored if entry.index > self.latest_state.index]
        has_recorded = any(entry.position == recorded for entry in new)
        for entry in new:
            self._apply(entry, entry.decode())
            if has_recorded and entry.index <= recorded.index:
                self._commit_next()

    def _apply(self, stored: stored_entries.StoredEntry, entry: message.LogEntry) -> None:
        """Apply a stored entry to the latest state; `entry` is its decoded form."""
        applied = applied_entries.AppliedEntry.to(self.latest_state, entry, len(stored.encoded))
        self.latest_state = applied.state
        self._uncommitted.add(applied)

    @property
    def last_index(self) -> int:
        """The index of the newest entry that this replica has synced."""
        return self.latest_state.index

    # ---- commit --------------------------------------------------------------

    def commit(self, index: int) -> None:
        """Commit the entries up to an index, or up to the newest stored one if this replica has fewer."""
        if index <= self.committed_state.index:
            return
        while self.committed_state.index < min(index, self.last_index):
            self._bytes_since_snapshot += self._commit_next()
        self.commit_record.advance(self.committed_state.position)
        self.committed.wake()
        self.on_commit()
        self._start_compaction_if_due()

    def _commit_next(self) -> int:
        """Commit the entry after the newest committed one; returns the size of its encoded form."""
        index = self.committed_state.index + 1
        applied = self._uncommitted.take(index)
        if applied is None:  # dropped, since more was uncommitted than is kept in decoded form
            entry = self.entries[index]
            applied = applied_entries.AppliedEntry.to(self.committed_state, entry.decode(), len(entry.encoded))
        self.committed_state = self.latest_state if index == self.last_index else applied.state
        self.history.add(self.committed_state, applied.published_bytes)
        return applied.encoded_bytes

    @property
    def uncommitted_bytes(self) -> int:
        """The size of the entries that are not known to be committed, in encoded form."""
        return self.entries.bytes_after(self.committed_state.index)

    def _committed_bytes_after(self, index: int) -> int:
        """The size of the committed entries after an index, in encoded form; `commit` adds those that follow."""
        return self.entries.bytes_after(index) - self.uncommitted_bytes

    def compact_recovered(self) -> None:
        """Compact a log that exceeds its bounds at the start, as one that an earlier version wrote may."""
        if self.committed_state.index > self._snapshot_index:
            self._start_compaction_if_due()

    def _start_compaction_if_due(self) -> None:
        entries_since_snapshot = self.committed_state.index - self._snapshot_index
        if entries_since_snapshot >= KEPT_ENTRIES or self._bytes_since_snapshot > MAX_BYTES_SINCE_SNAPSHOT:
            self._bytes_since_snapshot = 0
            self._snapshot_index = self.committed_state.index
            self.runtime.spawn(self._compact(), log)

    async def _compact(self) -> None:
        """Write a snapshot of the committed state, and delete old entries that exceed the bounds on count or bytes."""
        async with self.lock:
            old = self._entries_to_compact()
            snapshot: storage.Write = (SNAPSHOT_KEY, snapshot_format.encode(self.committed_state))
            removals: list[storage.Write] = [(entry_key(index), None) for index in old]
            try:
                await self.disk.commit([snapshot, *removals])
            except storage.DiskError:
                self._snapshot_index -= KEPT_ENTRIES // 2  # retry after half the usual number of entries or bytes
                self._bytes_since_snapshot += MAX_BYTES_SINCE_SNAPSHOT // 2
                return
            for index in old:
                self.entries.remove(index)
            if self._pinned_snapshot is not None and not self.has_all_entries_after(
                self._pinned_snapshot.position.index
            ):
                self._pinned_snapshot = None

    def _entries_to_compact(self) -> list[int]:
        """The indexes of committed entries that exceed the bounds on count or bytes, newest first."""
        old: list[int] = []
        kept_bytes = 0
        for index in sorted(self.entries, reverse=True):
            kept_bytes += len(self.entries[index].encoded)
            is_far_behind = index <= self.committed_state.index - KEPT_ENTRIES
            is_too_much = index <= self.committed_state.index and kept_bytes > MAX_KEPT_BYTES
            if is_far_behind or is_too_much:
                old.append(index)
        return old

    # ---- read ----------------------------------------------------------------

    def has_all_entries_after(self, index: int) -> bool:
        """Whether the log holds every entry after an index."""
        return all(key in self.entries for key in range(index + 1, self.last_index + 1))

    def can_continue_from(self, position: message.LogPosition) -> bool:
        """Whether a log that ends at a position is a prefix of this one, and this one holds all entries after it."""
        if position.index > self.last_index or not self.has_all_entries_after(position.index):
            return False
        if position == self.committed_state.position:
            return True
        return position.index in self.entries and self.entries[position.index].view == position.view

    def batch(self, first: int) -> list[message.LogEntry]:
        """Entries from an index on, bounded by count and bytes; at least one if any exists."""
        entries: list[message.LogEntry] = []
        size = 0
        for index in range(first, min(self.last_index, first + MAX_BATCH_ENTRIES - 1) + 1):
            size += len(self.entries[index].encoded)
            if entries and size > snapshot_transfer.BATCH_BYTES:
                break
            entries.append(self._decoded(index))
        return entries

    def _decoded(self, index: int) -> message.LogEntry:
        return self._uncommitted.find(index) or self.entries[index].decode()

    def entries_after(self, index: int) -> list[message.LogEntry]:
        """All entries after an index."""
        return [self._decoded(key) for key in range(index + 1, self.last_index + 1)]

    def pin_snapshot(self) -> snapshot_transfer.OutgoingSnapshot:
        """The snapshot to send.

        The last one sent is reused while the log holds all entries after it, since a replica may have received a part.
        """
        pinned = self._pinned_snapshot
        if pinned is None or not self.has_all_entries_after(pinned.position.index):
            content = snapshot_format.encode(self.committed_state)
            pinned = snapshot_transfer.OutgoingSnapshot.pin(self.committed_state.position, content)
            self._pinned_snapshot = pinned
        return pinned

    # ---- write (the caller holds the lock) -------------------------------------------------

    async def append(self, entries: list[message.LogEntry]) -> None:
        """Sync entries that follow the newest one, and apply them to the latest state.

        Raises:
            storage.DiskError: The write failed, and none of the entries was appended.
        """
        stored = [stored_entries.StoredEntry.of(entry) for entry in entries]
        await self.disk.commit([(entry_key(entry.index), entry.encoded) for entry in stored])
        for stored_entry, entry in zip(stored, entries, strict=True):
            self.entries.add(stored_entry)
            self._apply(stored_entry, entry)

    async def extend(self, entries: list[message.LogEntry]) -> bool:
        """Append those entries that the log does not hold yet; False if they would leave a gap.

        Raises:
            storage.DiskError: The write failed.
        """
        new = [entry for entry in entries if entry.index > self.last_index]
        if not snapshot_transfer.is_consecutive(self.last_index, new):
            return False
        if new:
            await self.append(new)
        return True

    async def replace(
        self,
        snapshot: bytes,
        state: replicated_state.ReplicatedState,
        entries: list[stored_entries.StoredEntry],
    ) -> None:
        """Replace the whole log by a snapshot and the entries after it, in one synced write.

        It must be a single write, because the old log may contain acknowledged entries: at any moment this replica
        holds either the old log, or all that its predecessor held when it sent the last entry.

        Args:
            snapshot: The encoded snapshot to store.
            state: The state decoded from that snapshot.
            entries: All entries that follow the snapshot, without a gap.

        Raises:
            storage.DiskError: The write failed, and the old log is unchanged.
        """
        writes: list[storage.Write] = [(entry_key(index), None) for index in self.entries]
        writes.append((SNAPSHOT_KEY, snapshot))
        writes += [(entry_key(entry.index), entry.encoded) for entry in entries]
        await self.disk.commit(writes)
        self.entries = stored_entries.StoredEntries(entries)
        self._pinned_snapshot = None
        self._uncommitted.clear()
        self.latest_state = state
        if state.index >= self.committed_state.index:
            self.committed_state = state
            self._snapshot_index = state.index
            self.history.restart(state)
        for entry in entries:
            self._apply(entry, entry.decode())
        self._bytes_since_snapshot = self._committed_bytes_after(state.index)
        if state.index >= self.committed_state.index:
            self.committed.wake()
