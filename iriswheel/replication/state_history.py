"""The newest committed states of a replica as nodes receive them, kept for nodes that rejoin or lag behind."""

from __future__ import annotations

import collections
import collections.abc
import typing

import msgspec

if typing.TYPE_CHECKING:
    import immutables

    from iriswheel.configuration import configuration
    from iriswheel.replication import replicated_state

MAX_STATES = 512
MAX_BYTES = 16 << 20  # most memory, as estimated, of what older states hold and the newest does not
# Memory that an item takes for each byte of its encoded form; lists of very short texts may take three times as much.
MEMORY_PER_ENCODED_BYTE = 8
MAP_BYTES_PER_ITEM = 256  # memory that a changed item takes in the nodes of an immutable map, at most


class PublishedState(typing.NamedTuple):
    """The part of a replicated state that nodes receive.

    Attributes:
        index: The index of the newest log entry that is applied.
        view: The view in which that entry was created.
        published: The configuration's items by key, without the operator's labels.
    """

    index: int  # type: ignore[assignment]  # hides tuple.index, which has no use here
    view: int
    published: immutables.Map[str, configuration.Item]

    @classmethod
    def of(cls, state: replicated_state.ReplicatedState) -> PublishedState:
        """The published part of a replicated state."""
        return cls(state.index, state.view, state.published)


def superseded_bytes(
    before: replicated_state.ReplicatedState,
    after: replicated_state.ReplicatedState,
    keys: collections.abc.Iterable[str],
) -> int:
    """An estimate of the memory that a state takes beside the one that follows it, both as published.

    Args:
        before: The state.
        after: The state that follows it.
        keys: The keys of all items in which they may differ.
    """
    if before.published is after.published:
        return 0
    items_before = [(key, before.published.get(key)) for key in keys]
    superseded = [(key, item) for key, item in items_before if item is not after.published.get(key)]
    encoded_bytes = len(msgspec.msgpack.encode(superseded))
    return MEMORY_PER_ENCODED_BYTE * encoded_bytes + MAP_BYTES_PER_ITEM * len(superseded)


class StateHistory(collections.abc.Mapping[int, PublishedState]):
    """The newest committed states by log index, bounded by their count and their memory; never empty.

    States share their unchanged items, so what counts of a state is what its successor no longer holds.
    """

    def __init__(self, first: replicated_state.ReplicatedState) -> None:
        self._states = {first.index: PublishedState.of(first)}
        self._superseded: collections.deque[int] = collections.deque()  # bytes of each state but the newest
        self.bytes = 0
        """The memory of what older states hold and the newest does not."""

    def __getitem__(self, index: int) -> PublishedState:
        """The state at a log index."""
        return self._states[index]

    def __contains__(self, index: object) -> bool:
        """Whether the state at a log index is kept."""
        return index in self._states

    def __iter__(self) -> collections.abc.Iterator[int]:
        """The log indexes, oldest first."""
        return iter(self._states)

    def __len__(self) -> int:
        """The number of states."""
        return len(self._states)

    @property
    def oldest_index(self) -> int:
        """The log index of the oldest state that is kept."""
        return next(iter(self._states))

    def add(self, state: replicated_state.ReplicatedState, superseded: int) -> None:
        """Add the state that follows the newest one; `superseded` is the result of `superseded_bytes` for both."""
        self._states[state.index] = PublishedState.of(state)
        self._superseded.append(superseded)
        self.bytes += superseded
        while len(self._states) > MAX_STATES or (self.bytes > MAX_BYTES and self._superseded):
            del self._states[self.oldest_index]
            self.bytes -= self._superseded.popleft()

    def restart(self, state: replicated_state.ReplicatedState) -> None:
        """Keep this state alone, which shares nothing with those before it."""
        self._states = {state.index: PublishedState.of(state)}
        self._superseded.clear()
        self.bytes = 0
