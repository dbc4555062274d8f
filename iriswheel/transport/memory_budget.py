"""A bound on the memory that a process holds for others, over all connections of all its servers.

A limit on each request and one on the number of connections bound only their product, which is many times the memory
of a machine.
"""

from __future__ import annotations

import typing

DEFAULT_LIMIT_BYTES = 64 << 20
LARGE_BYTES = 256 << 10  # held by one connection, from which it counts as large
LARGE_PERCENT = 75  # of the limit, which all together may hold while a large one grows; the rest is for small requests
LARGEST_PERCENT = 50  # of the limit, which one connection is charged at most, so that the largest legal request fits
TARGET_PERCENT = 94  # of the limit that was passed, down to which connections are released, so that it is done seldom


class Holder(typing.Protocol):
    """A connection that holds memory for its client."""

    def held_bytes(self) -> int:
        """Return an estimate of the bytes that it holds now."""

    def is_released_first(self) -> bool:
        """Whether it is released before all others, however much these hold."""

    def release_memory(self) -> bool:
        """Refuse or end what this connection's client has not finished; returns whether there was any."""


class MemoryBudget:
    """Adds up what the connections of a process hold, and releases some when that passes the limit, the largest first.

    A request whose body is whole is never released: it has been accepted. What the others may hold is so much less.

    Args:
        limit_bytes: The limit on all connections together.
    """

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.released = 0  # count of connections that were released
        self._held: dict[Holder, int] = {}  # charged bytes, oldest connection first

    @property
    def largest_bytes(self) -> int:
        """The most that one connection is charged, so that the largest legal request fits."""
        return self.limit_bytes * LARGEST_PERCENT // 100

    def update(self, holder: Holder) -> bool:
        """Charge a connection for what it holds now, and release connections if all together hold too much.

        Returns:
            Whether all together are within the limit now.
        """
        limit = self._limit_for(self._charge(holder))
        if self.used_bytes > limit:
            self._release(limit)
        return self.used_bytes <= limit

    def remove(self, holder: Holder) -> None:
        """Forget a connection that has ended."""
        self.used_bytes -= self._held.pop(holder, 0)

    def _charge(self, holder: Holder) -> int:
        charged = min(holder.held_bytes(), self.largest_bytes)
        self.used_bytes += charged - self._held.get(holder, 0)
        self._held[holder] = charged
        return charged

    def _limit_for(self, charged: int) -> int:
        return self.limit_bytes * LARGE_PERCENT // 100 if charged >= LARGE_BYTES else self.limit_bytes

    def _release(self, limit: int) -> None:
        """Release the largest connections until all together are below the limit; first count all of them anew."""
        for holder in list(self._held):
            self._charge(holder)
        if self.used_bytes <= limit:
            return
        target = limit * TARGET_PERCENT // 100
        for holder in sorted(self._held, key=lambda each: (not each.is_released_first(), -self._held[each])):
            if self.used_bytes <= target or not self._held[holder]:
                return
            if holder.release_memory():
                self.released += 1
                if holder in self._held:  # it is not if it has ended meanwhile
                    self._charge(holder)
