"""Snapshots between core machines, sent in pieces of bounded size that resume where they were.

The sender pins one snapshot while it is being sent, however far its own state moves on; entries after it
follow in batches. The receiver keeps what has arrived through lost connections and new views, and replaces its
own state only when the snapshot and all entries after it are there.
"""

from __future__ import annotations

import hashlib
import typing

import iriswheel.transport.message as message

PIECE_BYTES = 256 << 10
BATCH_BYTES = 1 << 20  # of entries in one message; a single larger entry goes alone


class Outgoing(typing.NamedTuple):
    """A snapshot pinned by its sender.

    >>> outgoing = Outgoing.of(message.LogPosition(7, 2), b"state")
    >>> piece = outgoing.piece(4, 2); piece.offset, piece.total, piece.content
    (2, 5, b'ate')
    """

    position: message.LogPosition  # of the last entry that the snapshot contains
    digest: str
    content: bytes

    @classmethod
    def of(cls, position: message.LogPosition, content: bytes) -> Outgoing:
        """Pin a snapshot."""
        return cls(position, hashlib.sha256(content).hexdigest(), content)

    def piece(self, view: int, offset: int) -> message.SnapshotChunk:
        """The piece that begins at an offset."""
        content = self.content[offset : offset + PIECE_BYTES]
        return message.SnapshotChunk(view, self.digest, len(self.content), offset, content)


class Incoming:
    """A snapshot that is being received, and the entries after it.

    >>> incoming = Incoming(); outgoing = Outgoing.of(message.LogPosition(7, 2), b"state")
    >>> incoming.take_piece(outgoing.piece(4, 0)), incoming.complete
    (5, True)
    >>> incoming.take_piece(outgoing.piece(4, 0))
    5
    """

    def __init__(self) -> None:
        self.start("", 0)

    def start(self, digest: str, total: int) -> None:
        """Forget what is here and begin with another snapshot."""
        self.digest = digest
        self.total = total
        self.content = bytearray()
        self.complete = False
        self.state = None  # the snapshot decoded, once it is complete
        self.position = None  # of the snapshot's last entry
        self.entries = []  # that follow the snapshot

    def take_piece(self, piece: message.SnapshotChunk) -> int:
        """Take one piece; returns how many bytes of its snapshot are here. Pieces out of order change nothing."""
        if piece.snapshot != self.digest:
            self.start(piece.snapshot, piece.total)
        if piece.offset == len(self.content) and not self.complete:
            self.content += piece.content
            self._check()
        return len(self.content)

    def _check(self) -> None:
        if len(self.content) < self.total:
            return
        if hashlib.sha256(self.content).hexdigest() == self.digest:
            self.complete = True
        else:
            self.start("", 0)

    def take_entries(self, after: message.LogPosition, entries: list[message.LogEntry]) -> bool:
        """Keep entries that follow what is here; False where they do not. The first batch may come again.

        >>> incoming = Incoming(); incoming.position = message.LogPosition(7, 2)
        >>> one = [message.LogEntry(8, 3, "plan", "0-a")]
        >>> incoming.take_entries(message.LogPosition(7, 2), one), incoming.take_entries(message.LogPosition(9, 3), one)
        (True, False)
        """
        if after == self.position:
            self.entries = []
        newest = message.LogPosition(self.entries[-1].index, self.entries[-1].view) if self.entries else self.position
        if after != newest or not follow(after.index, entries):
            return False
        self.entries += entries
        return True


def follow(n: int, entries: list[message.LogEntry]) -> bool:
    """Whether entries are numbered without a gap after n.

    >>> follow(7, [message.LogEntry(8, 3, "plan", "0-a")]), follow(7, [message.LogEntry(9, 3, "plan", "0-a")])
    (True, False)
    """
    return [e.index for e in entries] == list(range(n + 1, n + 1 + len(entries)))
