"""The entries that a replica has applied and that are not known to be committed, with the states after them."""

from __future__ import annotations

import collections
import typing

from iriswheel.replication import replicated_state, state_history
from iriswheel.transport import message

MAX_BYTES = 4 << 20  # largest size of the encoded entries that are kept in decoded form


class AppliedEntry(typing.NamedTuple):
    """An entry and its effect.

    Attributes:
        entry: The entry.
        encoded_bytes: The size of its encoded form.
        state: The state after it.
        superseded_bytes: The memory that the state before it takes beside this one; see `state_history`.
    """

    entry: message.LogEntry
    encoded_bytes: int
    state: replicated_state.ReplicatedState
    superseded_bytes: int

    @classmethod
    def to(cls, before: replicated_state.ReplicatedState, entry: message.LogEntry, encoded_bytes: int) -> AppliedEntry:
        """Apply an entry to the state before it."""
        after = before.apply(entry)
        keys = changed_keys(before, entry)
        return cls(entry, encoded_bytes, after, state_history.superseded_bytes(before, after, keys))


def changed_keys(before: replicated_state.ReplicatedState, entry: message.LogEntry) -> list[str]:
    """The keys of the items that an entry changes; a confirmation changes those of its plan.

    >>> changed_keys(replicated_state.ReplicatedState(), message.LogEntry(2, 1, "apply", "c0-1-0a", 0, [("a/b", {})]))
    ['a/b']
    """
    changes = entry.changes
    if entry.plan in before.plans and not changes:
        changes = before.plans[entry.plan].changes
    return [key for key, _ in changes]


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
