"""The log entries that a replica has synced, kept in memory as they are encoded on the disk.

Decoded, the same entries would take several times as much memory.
"""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from iriswheel.transport import message

encode_entry = msgspec.msgpack.encode
decode_entry = msgspec.msgpack.Decoder(message.LogEntry).decode


class EntryHeader(msgspec.Struct, tag="Entry", array_like=True, frozen=True):
    """The first fields of a `LogEntry`, to be decoded without its changes."""

    index: int
    view: int
    kind: str
    plan: str


_decode_header = msgspec.msgpack.Decoder(EntryHeader).decode


class StoredEntry(typing.NamedTuple):
    """A log entry in its encoded form.

    Attributes:
        index: The log index.
        view: The number of the view in which the entry was made.
        plan: The id of the plan or change.
        encoded: The whole entry, as it is stored on disk.
    """

    index: int  # type: ignore[assignment]  # hides tuple.index, which has no use here
    view: int
    plan: str
    encoded: bytes

    @classmethod
    def of(cls, entry: message.LogEntry) -> StoredEntry:
        """Encode an entry.

        >>> entry = message.LogEntry(7, 2, "apply", "c0-7-0a")
        >>> StoredEntry.of(entry) == StoredEntry.read(encode_entry(entry)), StoredEntry.of(entry).decode() == entry
        (True, True)
        """
        return cls(entry.index, entry.view, entry.plan, encode_entry(entry))

    @classmethod
    def read(cls, encoded: bytes) -> StoredEntry:
        """The entry that a value of the disk encodes."""
        header = _decode_header(encoded)
        return cls(header.index, header.view, header.plan, encoded)

    @property
    def position(self) -> message.LogPosition:
        """The log position of the entry."""
        return message.LogPosition(self.index, self.view)

    def decode(self) -> message.LogEntry:
        """The entry with its changes."""
        return decode_entry(self.encoded)


class StoredEntries(collections.abc.Mapping[int, StoredEntry]):
    """Entries by log index, with the size of all their encoded forms.

    >>> entries = StoredEntries([StoredEntry(7, 2, "c0-7-0a", b"1234"), StoredEntry(8, 2, "c7-8-0b", b"56")])
    >>> entries.remove(7)
    >>> list(entries), entries.bytes
    ([8], 2)
    """

    def __init__(self, entries: collections.abc.Iterable[StoredEntry] = ()) -> None:
        self._by_index: dict[int, StoredEntry] = {}
        self.bytes = 0
        """The size of the encoded entries."""
        for entry in entries:
            self.add(entry)

    def __getitem__(self, index: int) -> StoredEntry:
        """The entry at an index."""
        return self._by_index[index]

    def __contains__(self, index: object) -> bool:
        """Whether there is an entry at an index."""
        return index in self._by_index

    def __iter__(self) -> collections.abc.Iterator[int]:
        """The indexes, in the order of adding."""
        return iter(self._by_index)

    def __len__(self) -> int:
        """The number of entries."""
        return len(self._by_index)

    def add(self, entry: StoredEntry) -> None:
        """Add an entry whose index is not taken yet."""
        self._by_index[entry.index] = entry
        self.bytes += len(entry.encoded)

    def remove(self, index: int) -> None:
        """Remove the entry at an index."""
        self.bytes -= len(self._by_index.pop(index).encoded)

    def bytes_after(self, index: int) -> int:
        """The size of the encoded entries after an index."""
        return sum(len(entry.encoded) for entry in self._by_index.values() if entry.index > index)
