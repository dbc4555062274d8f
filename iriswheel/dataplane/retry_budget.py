"""The retry budget: repeat sends stay within a part of first sends, a fifth unless told otherwise.

A pool's pool owner sees every election, so it keeps one budget for all nodes; each node keeps
a tally of its own part, from which a new pool owner starts.
"""

from __future__ import annotations

import bisect

WINDOW_US = 10_000_000
RATIO = 0.2  # repeats for each first send


class Budget:
    """The first and repeat sends over a window, the last ten seconds unless told otherwise.

    A node that keeps its own share of a fleet's budget adds its part of the fleet's `slack`.
    >>> b = Budget(slack=2); [b.spend(0) for _ in range(3)]
    [True, True, False]

    Where there were too few first sends, one repeat in a window is free: else a lone
    client whose node died could never come back.

    >>> b = Budget()
    >>> for k in range(10): b.first(0, f"x{k}")
    >>> b.spend(1), b.spend(2), b.spend(3)
    (True, True, False)
    >>> b.spend(WINDOW_US + 2), b.spend(WINDOW_US + 3)
    (True, False)
    """

    def __init__(self, slack: int = 0, ratio: float = RATIO, window_us: int = WINDOW_US) -> None:
        self.slack = slack  # repeats in a window that are free
        self.ratio = ratio
        self.window_us = window_us
        self.firsts: dict[str, int] = {}  # request -> when it was first seen, oldest first
        self.repeats: list[int] = []

    def first(self, now: int, request_id: str) -> None:
        """Note a request; said again under the same name, it counts once.

        >>> b = Budget(); b.first(0, "x1"); b.first(1, "x1"); len(b.firsts)
        1
        """
        self.firsts.setdefault(request_id, now)
        self._trim(now)

    def has_capacity(self, now: int) -> bool:
        """Whether there is a repeat send left.

        >>> Budget().has_capacity(0)
        True
        """
        self._trim(now)
        return not self.repeats or len(self.repeats) + 1 - self.slack <= self.ratio * len(self.firsts) + 1e-9

    def spend(self, now: int) -> bool:
        """Take a repeat send from the budget; False where there is none left.

        >>> b = Budget(); b.spend(0), b.spend(0)
        (True, False)
        """
        if not self.has_capacity(now):
            return False
        self.repeats.append(now)
        return True

    def refund(self, at: int | None) -> None:
        """Give a repeat send back that never went out.

        >>> b = Budget(); _ = b.spend(3); b.refund(3); b.repeats
        []
        """
        if at in self.repeats:
            self.repeats.remove(at)

    def wait_us(self, now: int) -> int:
        """When it is worth to come back.

        >>> Budget().wait_us(0)
        2000000
        """
        if self.repeats:
            return max(1_000_000, self.repeats[0] + self.window_us - now)
        return 2_000_000

    def export(self, now: int) -> tuple[dict[str, int], list[int]]:
        """Both as they travel: requests with their ages, and the repeats' ages.

        >>> b = Budget(); b.first(2, "x1"); _ = b.spend(3); b.export(5)
        ({'x1': 3}, [2])
        """
        self._trim(now)
        return {x: now - at for x, at in self.firsts.items()}, [now - at for at in self.repeats]

    def add(self, now: int, firsts: dict[str, int], repeats: list[int]) -> None:
        """Add what another tally held.

        >>> b = Budget(); b.add(5, {"x1": 3}, [2]); b.firsts, b.repeats
        ({'x1': 2}, [3])
        """
        for x, age in firsts.items():
            self.firsts[x] = min(now - age, self.firsts.get(x, now))
        self.firsts = dict(sorted(self.firsts.items(), key=lambda kv: kv[1]))
        for age in repeats:
            bisect.insort(self.repeats, now - age)

    def _trim(self, now: int) -> None:
        while self.firsts and self.firsts[x := next(iter(self.firsts))] <= now - self.window_us:
            del self.firsts[x]
        while self.repeats and self.repeats[0] <= now - self.window_us:
            self.repeats.pop(0)
