"""The state of the replicated counters: a set of immutable adds, and the sum of each counter.

An add is identified by its origin and its sequence number. The origin is one incarnation (process lifetime) of the
machine that accepted the add, and the machine numbers the adds of each incarnation in sequence. Replicas merge by the
union of their sets, which is commutative, associative and idempotent: replicas that hold the same adds have the same
sums, in whatever order the adds arrived.
"""

from __future__ import annotations

import collections
import hashlib
import typing

import msgspec

from iriswheel.replicated_counters import intervals
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    import collections.abc

DIGEST_BYTES = 8


class AddId(typing.NamedTuple):
    """The identity of an add: the incarnation that accepted it, and its sequence number there."""

    origin: str
    sequence: int


class CallId(typing.NamedTuple):
    """A counter's name and the id that the caller chose: adds with the same `CallId` count once on all machines."""

    name: str
    id: str


class OriginAdd(typing.NamedTuple):
    """An add with its origin."""

    origin: str
    add: message.CounterAdd

    def add_id(self) -> AddId:
        """The identity of the add."""
        return AddId(self.origin, self.add.sequence)


class HeldAdds:
    """The set of adds that a replica holds, as sorted intervals of sequence numbers for each origin.

    >>> held = HeldAdds({"a": [(1, 3)]})
    >>> held.missing_of(HeldAdds({"a": [(1, 5)], "b": [(1, 1)]})).to_intervals()
    {'a': [(4, 5)], 'b': [(1, 1)]}
    """

    def __init__(self, held: message.HeldIntervals | None = None) -> None:
        self.by_origin = {origin: intervals.IntervalSet(found) for origin, found in (held or {}).items()}

    def __contains__(self, add_id: AddId) -> bool:
        """Whether the set contains an add."""
        return add_id.origin in self.by_origin and add_id.sequence in self.by_origin[add_id.origin]

    def __eq__(self, other: object) -> bool:
        """Whether both sets contain the same adds."""
        return isinstance(other, HeldAdds) and self.to_intervals() == other.to_intervals()

    __hash__ = None  # type: ignore[assignment]  # mutable, so not hashable

    def __len__(self) -> int:
        """The number of adds in the set."""
        return sum(map(len, self.by_origin.values()))

    def copy(self) -> HeldAdds:
        """Return an independent copy."""
        return HeldAdds(self.to_intervals())

    def add(self, add_id: AddId) -> bool:
        """Add an add to the set; return False if it was there already."""
        return self.by_origin.setdefault(add_id.origin, intervals.IntervalSet()).add(add_id.sequence)

    def update(self, other: HeldAdds) -> None:
        """Add all adds of another set."""
        for origin, numbers in other.by_origin.items():
            self.by_origin.setdefault(origin, intervals.IntervalSet()).update(numbers)

    def of_origin(self, origin: str) -> intervals.IntervalSet:
        """Return the sequence numbers of an origin's adds in the set; empty for an unknown origin."""
        return self.by_origin.get(origin, intervals.IntervalSet())

    def missing_of(self, other: HeldAdds) -> HeldAdds:
        """Return the adds of `other` that are missing from this set."""
        lacking = HeldAdds()
        for origin, numbers in other.by_origin.items():
            difference = numbers.difference(self.of_origin(origin))
            if difference:
                lacking.by_origin[origin] = difference
        return lacking

    def without_origins(self, origins: collections.abc.Collection[str]) -> HeldAdds:
        """Return the set without the adds of some origins.

        >>> HeldAdds({"a": [(1, 3)], "b": [(1, 1)]}).without_origins({"a"}).to_intervals()
        {'b': [(1, 1)]}
        """
        return HeldAdds({origin: held for origin, held in self.to_intervals().items() if origin not in origins})

    def intersection(self, other: HeldAdds) -> HeldAdds:
        """Return the adds that are in both sets.

        >>> HeldAdds({"a": [(1, 5)]}).intersection(HeldAdds({"a": [(4, 9)], "b": [(1, 1)]})).to_intervals()
        {'a': [(4, 5)]}
        """
        return other.missing_of(self).missing_of(self)

    def has_all_of(self, other: HeldAdds) -> bool:
        """Whether this set contains all adds of another set."""
        return all(numbers.issubset(self.of_origin(origin)) for origin, numbers in other.by_origin.items())

    def to_intervals(self, origins: collections.abc.Collection[str] | None = None) -> message.HeldIntervals:
        """Return the intervals in the format of a message, sorted by origin: of all origins, or of `origins` alone."""
        wanted = self.by_origin if origins is None else origins
        return {origin: list(self.by_origin[origin].intervals) for origin in sorted(wanted) if self.of_origin(origin)}

    def digest(self) -> bytes:
        """Return a digest of the whole set; equal sets have equal digests.

        >>> HeldAdds({"a": [(1, 3)]}).digest() == HeldAdds({"a": [(1, 2)]}).digest()
        False
        """
        packed = msgspec.msgpack.encode(list(self.to_intervals().items()))
        return hashlib.blake2b(packed, digest_size=DIGEST_BYTES).digest()


class CounterState:
    """The adds that a replica holds, and the sum of each counter.

    >>> state = CounterState()
    >>> state.insert("a", message.CounterAdd(1, "n", "x", 4)), state.insert("b", message.CounterAdd(1, "n", "x", 4))
    (True, True)
    >>> state.sum_of("n"), state.sum_of("unknown")
    (4, 0)
    """

    def __init__(self) -> None:
        self.held = HeldAdds()
        # by origin, then sequence number
        self._adds: dict[str, dict[int, message.CounterAdd]] = collections.defaultdict(dict)
        # by counter, then the caller's id: the add that counts towards the sum
        self._counted: dict[str, dict[str, OriginAdd]] = collections.defaultdict(dict)
        self._sums: dict[str, int] = collections.defaultdict(int)

    def insert(self, origin: str, add: message.CounterAdd) -> bool:
        """Insert one add; return False if it was held already.

        Of several adds with the same `CallId`, only the one with the least `AddId` counts towards the sum, so that
        all replicas choose the same one.
        """
        add_id = AddId(origin, add.sequence)
        if not self.held.add(add_id):
            return False
        self._adds[origin][add.sequence] = add
        counted = self._counted[add.name].get(add.id)
        if counted is not None and counted.add_id() < add_id:
            return True
        self._counted[add.name][add.id] = OriginAdd(origin, add)
        self._sums[add.name] += add.amount - (0 if counted is None else counted.add.amount)
        return True

    def merge(self, other: CounterState) -> None:
        """Insert all adds that another replica holds."""
        for origin, adds in other._adds.items():
            for add in adds.values():
                self.insert(origin, add)

    def sum_of(self, name: str) -> int:
        """Return the sum of a counter's adds, each `CallId` counted once; 0 for an unknown counter."""
        return self._sums.get(name, 0)

    def sums(self) -> dict[str, int]:
        """Return the sums of all counters, by name."""
        return dict(self._sums)

    def counted_add_id(self, call_id: CallId) -> AddId | None:
        """Return the identity of the add that counts for a caller's add; None if no such add is held."""
        counted = self._counted.get(call_id.name, {}).get(call_id.id)
        return None if counted is None else counted.add_id()

    def add_of(self, add_id: AddId) -> message.CounterAdd:
        """Return an add that this replica holds; raises KeyError for any other."""
        return self._adds[add_id.origin][add_id.sequence]

    def newest(self, wanted: HeldAdds, limit: int) -> list[message.OriginAdds]:
        """Return at most `limit` adds of a set in total, origin by origin in sorted order, the newest of each first."""
        batches: list[message.OriginAdds] = []
        left = limit
        for origin in sorted(wanted.by_origin):
            numbers = wanted.by_origin[origin].newest_first()
            adds = [self._adds[origin][number] for number, _ in zip(numbers, range(left), strict=False)]
            if adds:
                batches.append(message.OriginAdds(origin, adds))
            left -= len(adds)
        return batches
