"""Transfer of snapshots between core machines, in chunks of bounded size, resumable after an interruption.

The sender pins one snapshot until it is sent, even while its own state advances; the entries after the snapshot
follow in batches. The receiver keeps the chunks it has received when connections break and when the view changes.
It replaces its own state only when it has the whole snapshot and all entries after it.
"""

from __future__ import annotations

import hashlib
import typing

from iriswheel.replication import stored_entries
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.replication import replicated_state

CHUNK_BYTES = 256 << 10
BATCH_BYTES = 1 << 20  # of entries in one message; a larger entry is sent in a message of its own


class OutgoingSnapshot(typing.NamedTuple):
    """A snapshot that the sender keeps unchanged until it is sent.

    >>> outgoing = OutgoingSnapshot.pin(message.LogPosition(7, 2), b"state")
    >>> chunk = outgoing.chunk(4, 2); chunk.offset, chunk.total, chunk.content
    (2, 5, b'ate')
    """

    position: message.LogPosition  # of the last entry that the snapshot contains
    digest: str
    content: bytes

    @classmethod
    def pin(cls, position: message.LogPosition, content: bytes) -> OutgoingSnapshot:
        """Pin a snapshot whose last entry has the given position."""
        return cls(position, hashlib.sha256(content).hexdigest(), content)

    def chunk(self, view: int, offset: int) -> message.SnapshotChunk:
        """The message with the chunk that begins at an offset."""
        content = self.content[offset : offset + CHUNK_BYTES]
        return message.SnapshotChunk(view, self.digest, len(self.content), offset, content)


class IncomingSnapshot:
    """A snapshot that is being received, and the entries after it.

    >>> incoming = IncomingSnapshot(); outgoing = OutgoingSnapshot.pin(message.LogPosition(7, 2), b"state")
    >>> incoming.add_chunk(outgoing.chunk(4, 0)), incoming.complete
    (5, True)
    >>> incoming.add_chunk(outgoing.chunk(4, 0))
    5
    """

    def __init__(self) -> None:
        self._reset("", 0)

    def _reset(self, digest: str, total: int) -> None:
        """Discard what was received and begin to receive another snapshot."""
        self.digest = digest
        self.total = total
        self.content = bytearray()
        self.complete = False
        self.state: replicated_state.ReplicatedState | None = None  # the decoded snapshot, once it is complete
        self.position: message.LogPosition | None = None  # of the snapshot's last entry
        self.entries: list[stored_entries.StoredEntry] = []  # received entries that follow the snapshot

    def add_chunk(self, chunk: message.SnapshotChunk) -> int:
        """Add one chunk, ignored if out of order; returns how many bytes of its snapshot have been received."""
        if chunk.snapshot != self.digest:
            self._reset(chunk.snapshot, chunk.total)
        if chunk.offset == len(self.content) and not self.complete:
            self.content += chunk.content
            self._verify_digest()
        return len(self.content)

    def _verify_digest(self) -> None:
        """Mark a snapshot that has all its bytes as complete, or discard it if its digest differs."""
        if len(self.content) < self.total:
            return
        if hashlib.sha256(self.content).hexdigest() == self.digest:
            self.complete = True
        else:
            self._reset("", 0)

    def set_state(self, state: replicated_state.ReplicatedState) -> None:
        """Keep the decoded state of the complete snapshot."""
        self.state = state
        self.position = state.position

    def add_entries(self, after: message.LogPosition | None, entries: list[message.LogEntry]) -> bool:
        """Keep entries that follow those received so far; False if they do not follow. The first batch may be repeated.

        >>> incoming = IncomingSnapshot(); incoming.position = message.LogPosition(7, 2)
        >>> one = [message.LogEntry(8, 3, "plan", "0-a")]
        >>> incoming.add_entries(message.LogPosition(7, 2), one), incoming.add_entries(message.LogPosition(9, 3), one)
        (True, False)
        """
        if after == self.position:
            self.entries = []
        newest = message.LogPosition(self.entries[-1].index, self.entries[-1].view) if self.entries else self.position
        if after is None or after != newest or not is_consecutive(after.index, entries):
            return False
        self.entries += [stored_entries.StoredEntry.of(entry) for entry in entries]
        return True


def is_consecutive(
    after: int, entries: collections.abc.Sequence[message.LogEntry | stored_entries.StoredEntry]
) -> bool:
    """Whether the indexes of the entries follow an index without a gap.

    >>> is_consecutive(7, [message.LogEntry(8, 3, "plan", "0-a")])
    True
    >>> is_consecutive(7, [message.LogEntry(9, 3, "plan", "0-a")])
    False
    """
    return [entry.index for entry in entries] == list(range(after + 1, after + 1 + len(entries)))
