"""Slices: a slice is the part of the configuration that one node needs.

Slices and the differences between them are cached, so that they are computed once for all nodes of a zone with the same
roles.
"""

from __future__ import annotations

import typing

from iriswheel.configuration import configuration

if typing.TYPE_CHECKING:
    from iriswheel.replication import replicated_state

CACHE_CAPACITY = 256  # entries in each cache

Slice: typing.TypeAlias = dict[str, configuration.Item]
SliceChanges: typing.TypeAlias = dict[str, configuration.Item | None]  # None removes an item

Key = typing.TypeVar("Key")
Value = typing.TypeVar("Value")


class SliceKey(typing.NamedTuple):
    """The state that a slice is computed from, and the node properties that it is computed for."""

    log_index: int  # of the newest log entry in the state
    view: int  # in which that entry was created
    zone: str
    pools: tuple[str, ...]


class CachedChanges(typing.NamedTuple):
    """The changes between two slices, which are cached under the `id()` of both slices.

    The entry keeps both slices alive, so that no other object can get the same `id()`.
    """

    old: Slice
    new: Slice
    changes: SliceChanges


class Slices:
    """Computes slices of replicated states, and the changes between slices, with a cache for each.

    >>> import iriswheel.replication.replicated_state as replicated_state
    >>> one, two = [replicated_state.ReplicatedState(n).with_changes([("limits/door", {"head_us": n})]) for n in (1, 2)]
    >>> slices = Slices()
    >>> a, b = slices.slice(one, "north", ()), slices.slice(two, "north", ())
    >>> slices.slice(one, "north", ()) is a, slices.delta(a, b)
    (True, {'limits/door': {'head_us': 2}})
    """

    def __init__(self) -> None:
        self._slices: dict[SliceKey, Slice] = {}
        self._changes: dict[tuple[int, int], CachedChanges] = {}

    def slice(self, state: replicated_state.ReplicatedState, zone: str, pools: tuple[str, ...]) -> Slice:
        """The slice of a state for a node in a zone; `pools` are the pools that the node owns."""
        key = SliceKey(state.index, state.view, zone, pools)
        return self._slices.get(key) or _store(
            self._slices, key, configuration.slice_for_node(state.published, zone, pools)
        )

    def delta(self, old: Slice, new: Slice) -> SliceChanges:
        """The changes that turn one slice into another."""
        if old is new:
            return {}
        key = (id(old), id(new))
        cached = self._changes.get(key)
        if cached is None:
            cached = _store(self._changes, key, CachedChanges(old, new, dict(configuration.difference(old, new))))
        return cached.changes


def _store(cache: dict[Key, Value], key: Key, value: Value) -> Value:
    """Add a value to a cache; a full cache first drops its oldest entry."""
    if len(cache) >= CACHE_CAPACITY:
        del cache[next(iter(cache))]
    cache[key] = value
    return value
