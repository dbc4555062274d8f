"""Sets of sequence numbers, kept as sorted intervals."""

from __future__ import annotations

import bisect
import collections.abc
import typing

Interval: typing.TypeAlias = tuple[int, int]  # first and last number


def _last(interval: Interval) -> int:
    return interval[1]


class IntervalSet:
    """A set of integers, compact as long as most of them are consecutive.

    >>> numbers = IntervalSet([(1, 3)])
    >>> numbers.add(5), numbers.add(4), numbers.intervals
    (True, True, [(1, 5)])
    """

    __slots__ = ("intervals",)

    def __init__(self, intervals: collections.abc.Iterable[Interval] = ()) -> None:
        """Create a set of `intervals`, which must be sorted, disjoint and not adjacent."""
        self.intervals: list[Interval] = [(first, last) for first, last in intervals]

    def copy(self) -> IntervalSet:
        """Return an independent copy."""
        return IntervalSet(self.intervals)

    def __contains__(self, number: int) -> bool:
        """Whether a number is in the set."""
        place = bisect.bisect_left(self.intervals, number, key=_last)
        return place < len(self.intervals) and self.intervals[place][0] <= number

    def __eq__(self, other: object) -> bool:
        """Whether both sets contain the same numbers."""
        return isinstance(other, IntervalSet) and self.intervals == other.intervals

    __hash__ = None  # type: ignore[assignment]  # mutable, so not hashable

    def __bool__(self) -> bool:
        """Whether the set is not empty."""
        return bool(self.intervals)

    def __len__(self) -> int:
        """The number of integers in the set."""
        return sum(last - first + 1 for first, last in self.intervals)

    def add(self, number: int) -> bool:
        """Add one number; return False if it was there already."""
        if number in self:
            return False
        self.add_interval((number, number))
        return True

    def add_interval(self, interval: Interval) -> None:
        """Add all numbers of an interval, merging it with the intervals that it overlaps or touches.

        >>> numbers = IntervalSet([(1, 3), (6, 7), (12, 13)])
        >>> numbers.add_interval((4, 8)); numbers.intervals
        [(1, 8), (12, 13)]
        """
        first, last = interval
        start = bisect.bisect_left(self.intervals, first - 1, key=_last)
        end = start
        while end < len(self.intervals) and self.intervals[end][0] <= last + 1:
            first, last = min(first, self.intervals[end][0]), max(last, self.intervals[end][1])
            end += 1
        self.intervals[start:end] = [(first, last)]

    def update(self, other: IntervalSet) -> None:
        """Add all numbers of another set."""
        for interval in other.intervals:
            self.add_interval(interval)

    def difference(self, other: IntervalSet) -> IntervalSet:
        """Return the numbers of this set that are not in the other set.

        >>> IntervalSet([(1, 9)]).difference(IntervalSet([(3, 4), (9, 12)])).intervals
        [(1, 2), (5, 8)]
        """
        found: list[Interval] = []
        for first, last in self.intervals:
            next_number = first
            place = bisect.bisect_left(other.intervals, first, key=_last)
            while place < len(other.intervals) and other.intervals[place][0] <= last:
                hole_first, hole_last = other.intervals[place]
                if next_number < hole_first:
                    found.append((next_number, hole_first - 1))
                next_number = hole_last + 1
                place += 1
            if next_number <= last:
                found.append((next_number, last))
        return IntervalSet(found)

    def issubset(self, other: IntervalSet) -> bool:
        """Whether the other set contains all numbers of this one.

        >>> IntervalSet([(2, 3)]).issubset(IntervalSet([(1, 9)]))
        True
        """
        return not self.difference(other)

    def newest_first(self) -> collections.abc.Iterator[int]:
        """Yield the numbers, the greatest first.

        >>> list(IntervalSet([(1, 2), (5, 6)]).newest_first())
        [6, 5, 2, 1]
        """
        for first, last in reversed(self.intervals):
            yield from range(last, first - 1, -1)
