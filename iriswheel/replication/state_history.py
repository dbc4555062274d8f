"""The newest committed states of a replica as nodes receive them, kept for nodes that rejoin or lag behind."""

from __future__ import annotations

import collections
import collections.abc
import typing

if typing.TYPE_CHECKING:
    import immutables

    from iriswheel.configuration import configuration
    from iriswheel.replication import replicated_state

MAX_STATES = 512
MAX_BYTES = 4 << 20  # most bytes, in encoded form, of the changes that led to the states after the oldest


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


class StateHistory(collections.abc.Mapping[int, PublishedState]):
    """The newest committed states by log index, bounded by their count and the size of their changes; never empty.

    States share their unchanged items. So beside the items of its oldest state the history keeps in memory no more
    than the items that the changes after it brought.
    """

    def __init__(self, first: replicated_state.ReplicatedState) -> None:
        self._states = {first.index: PublishedState.of(first)}
        self._change_sizes: collections.deque[int] = collections.deque()  # of each state but the oldest
        self.bytes = 0
        """The size of all changes after the oldest state, in encoded form."""

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

    def add(self, state: replicated_state.ReplicatedState, change_bytes: int) -> None:
        """Add the state that follows the newest one.

        Args:
            state: The state.
            change_bytes: The size of the changes of published items that led to it, in encoded form.
        """
        self._states[state.index] = PublishedState.of(state)
        self._change_sizes.append(change_bytes)
        self.bytes += change_bytes
        while len(self._states) > MAX_STATES or (self.bytes > MAX_BYTES and self._change_sizes):
            del self._states[self.oldest_index]
            self.bytes -= self._change_sizes.popleft()

    def restart(self, state: replicated_state.ReplicatedState) -> None:
        """Keep this state alone, which shares nothing with those before it."""
        self._states = {state.index: PublishedState.of(state)}
        self._change_sizes.clear()
        self.bytes = 0
