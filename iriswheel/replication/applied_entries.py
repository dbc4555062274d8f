"""The entries that a replica has applied and that are not known to be committed, with the states after them."""

from __future__ import annotations

import collections
import typing

from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.replication import replicated_state

MAX_BYTES = 4 << 20  # largest size of the encoded entries that are kept in decoded form


class AppliedEntry(typing.NamedTuple):
    """An entry and its effect.

    Attributes:
        entry: The entry.
        encoded_bytes: The size of its encoded form.
        state: The state after it.
        published_bytes: A bound on the size of the changes of published items, in encoded form; 0 if there are none.
    """

    entry: message.LogEntry
    encoded_bytes: int
    state: replicated_state.ReplicatedState
    published_bytes: int

    @classmethod
    def to(cls, before: replicated_state.ReplicatedState, entry: message.LogEntry, encoded_bytes: int) -> AppliedEntry:
        """Apply an entry to the state before it."""
        after = before.apply(entry)
        changes_bytes = encoded_bytes
        if entry.kind == message.ChangeKind.CONFIRM:
            changes_bytes += before.plans[entry.plan].size
        return cls(entry, encoded_bytes, after, 0 if after.published is before.published else changes_bytes)


class AppliedEntries:
    """The newest applied entries that are not committed yet; beyond MAX_BYTES the oldest are dropped."""

    def __init__(self) -> None:
        self._entries: collections.deque[AppliedEntry] = collections.deque()
        self.bytes = 0
        """The size of the entries in encoded form."""

    def add(self, applied: AppliedEntry) -> None:
        """Add the entry that follows the newest one; it is kept whatever its size is."""
        self._entries.append(applied)
        self.bytes += applied.encoded_bytes
        while self.bytes > MAX_BYTES and len(self._entries) > 1:
            self._remove_oldest()

    def find(self, index: int) -> message.LogEntry | None:
        """The entry at a log index; None if it is not kept."""
        if not self._entries or not self._entries[0].entry.index <= index <= self._entries[-1].entry.index:
            return None
        return self._entries[index - self._entries[0].entry.index].entry

    def take(self, index: int) -> AppliedEntry | None:
        """Remove and return the entry at a log index, with all before it; None if it is not kept."""
        while self._entries and self._entries[0].entry.index < index:
            self._remove_oldest()
        if not self._entries or self._entries[0].entry.index != index:
            return None
        return self._remove_oldest()

    def clear(self) -> None:
        """Remove all entries."""
        self._entries.clear()
        self.bytes = 0

    def _remove_oldest(self) -> AppliedEntry:
        oldest = self._entries.popleft()
        self.bytes -= oldest.encoded_bytes
        return oldest
