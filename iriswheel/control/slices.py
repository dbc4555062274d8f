"""Slices: a slice is the part of the configuration that one node needs.

Slices and the differences between them are cached, so that they are computed once for all nodes of a zone with the same
roles.
"""

from __future__ import annotations

import typing

from iriswheel.configuration import configuration

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.replication import replicated_state, state_history

CACHE_CAPACITY = 256  # entries in each cache
MAX_CACHED_ITEMS = 1 << 16  # items in all slices or changes of one cache; a cached item takes some 100 bytes

Items: typing.TypeAlias = dict[str, configuration.Item]
SliceChanges: typing.TypeAlias = dict[str, configuration.Item | None]  # None removes an item

Key = typing.TypeVar("Key")
Value = typing.TypeVar("Value", bound="typing.Sized")


class SliceKey(typing.NamedTuple):
    """The state that a slice is computed from, and the node properties that it is computed for."""

    log_index: int  # of the newest log entry in the state
    view: int  # in which that entry was created
    zone: str
    pools: tuple[str, ...]


class Slice(typing.NamedTuple):
    """The items that a node needs of one state."""

    key: SliceKey
    items: Items


class ChangesKey(typing.NamedTuple):
    """The two slices between which changes are computed."""

    old: SliceKey
    new: SliceKey


class Cache(typing.Generic[Key, Value]):
    """A cache that drops its oldest entries beyond a bound on their count and on the items in them.

    >>> cache = Cache[str, list[int]](capacity=3, max_items=4)
    >>> for key, value in (("a", [1]), ("b", [1, 2]), ("c", [1, 2, 3])):
    ...     _ = cache.put(key, value)
    >>> cache.get("b"), cache.get("c")
    (None, [1, 2, 3])
    """

    def __init__(self, capacity: int = CACHE_CAPACITY, max_items: int = MAX_CACHED_ITEMS) -> None:
        self._capacity = capacity
        self._max_items = max_items
        self._entries: dict[Key, Value] = {}
        self._items = 0

    def get(self, key: Key) -> Value | None:
        """The value under a key; None if it is not cached."""
        return self._entries.get(key)

    def put(self, key: Key, value: Value) -> Value:
        """Add a value under a new key, and return it; it is kept whatever its size is."""
        self._entries[key] = value
        self._items += len(value)
        while len(self._entries) > 1 and (len(self._entries) > self._capacity or self._items > self._max_items):
            self.drop(next(iter(self._entries)))
        return value

    def drop(self, key: Key) -> None:
        """Remove the value under a key."""
        self._items -= len(self._entries.pop(key))

    def drop_where(self, is_outdated: collections.abc.Callable[[Key], bool]) -> None:
        """Remove all values whose key is outdated."""
        for key in [key for key in self._entries if is_outdated(key)]:
            self.drop(key)


class Slices:
    """Computes slices of replicated states, and the changes between slices, with a cache for each.

    >>> import iriswheel.replication.replicated_state as replicated_state
    >>> one, two = [replicated_state.ReplicatedState(n).with_changes([("limits/door", {"head_us": n})]) for n in (1, 2)]
    >>> slices = Slices()
    >>> a, b = slices.slice(one, "north", ()), slices.slice(two, "north", ())
    >>> slices.slice(one, "north", ()).items is a.items, slices.delta(a, b)
    (True, {'limits/door': {'head_us': 2}})
    >>> slices.forget_before(2); slices.slice(one, "north", ()).items is a.items
    False
    """

    def __init__(self) -> None:
        self._items: Cache[SliceKey, Items] = Cache()
        self._changes: Cache[ChangesKey, SliceChanges] = Cache()

    def slice(
        self,
        state: replicated_state.ReplicatedState | state_history.PublishedState,
        zone: str,
        pools: tuple[str, ...],
    ) -> Slice:
        """The slice of a state for a node in a zone; `pools` are the pools that the node owns."""
        key = SliceKey(state.index, state.view, zone, pools)
        items = self._items.get(key)
        if items is None:
            items = self._items.put(key, configuration.slice_for_node(state.published, zone, pools))
        return Slice(key, items)

    def delta(self, old: Slice, new: Slice) -> SliceChanges:
        """The changes that turn one slice into another."""
        if old.key == new.key:
            return {}
        key = ChangesKey(old.key, new.key)
        changes = self._changes.get(key)
        if changes is None:
            changes = self._changes.put(key, dict(configuration.difference(old.items, new.items)))
        return changes

    def forget_before(self, log_index: int) -> None:
        """Drop what is cached of states before a log index, so that the cache does not keep their items in memory."""
        self._items.drop_where(lambda key: key.log_index < log_index)
        self._changes.drop_where(lambda key: key.old.log_index < log_index)
