"""The retry budget: repeat sends stay within a part of first sends, a fifth unless told otherwise.

A pool's owner sees every selection, so it keeps one budget for all nodes; each node keeps
a budget of its own part, from which a new pool owner starts.
"""

from __future__ import annotations

import bisect

WINDOW_US = 10_000_000
REPEAT_RATIO = 0.2  # repeats for each first send
RATIO_TOLERANCE = 1e-9  # for the product of a ratio such as 0.1
MIN_WAIT_US = 1_000_000
NO_REPEATS_WAIT_US = 2_000_000  # when to come back where no repeat is in the window


class Budget:
    """The first and repeat sends over a window, the last ten seconds unless told otherwise.

    A node that keeps its own share of a fleet's budget adds its part of the fleet's `slack`.

    >>> budget = Budget(slack=2); [budget.spend(0) for _ in range(3)]
    [True, True, False]

    Where there were too few first sends, one repeat in a window is free: else a lone
    client whose node died could never come back.

    >>> budget = Budget()
    >>> for number in range(10): budget.first(0, f"x{number}")
    >>> budget.spend(1), budget.spend(2), budget.spend(3)
    (True, True, False)
    >>> budget.spend(WINDOW_US + 2), budget.spend(WINDOW_US + 3)
    (True, False)
    """

    def __init__(self, slack: int = 0, ratio: float = REPEAT_RATIO, window_us: int = WINDOW_US) -> None:
        self.slack = slack  # repeats in a window that are free
        self.ratio = ratio
        self.window_us = window_us
        self.firsts: dict[str, int] = {}  # request -> when it was first seen, oldest first
        self.repeats: list[int] = []  # when, oldest first

    def first(self, now: int, request_id: str) -> None:
        """Note a request; said again under the same id, it counts once.

        >>> budget = Budget(); budget.first(0, "x1"); budget.first(1, "x1"); len(budget.firsts)
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
        if not self.repeats:
            return True
        return len(self.repeats) + 1 - self.slack <= self.ratio * len(self.firsts) + RATIO_TOLERANCE

    def spend(self, now: int) -> bool:
        """Take a repeat send from the budget; False where there is none left.

        >>> budget = Budget(); budget.spend(0), budget.spend(0)
        (True, False)
        """
        if not self.has_capacity(now):
            return False
        self.repeats.append(now)
        return True

    def refund(self, spent_at: int | None) -> None:
        """Give a repeat send back that never went out.

        >>> budget = Budget(); _ = budget.spend(3); budget.refund(3); budget.repeats
        []
        """
        if spent_at in self.repeats:
            self.repeats.remove(spent_at)

    def wait_us(self, now: int) -> int:
        """Return after how long it is worth to come back, in microseconds.

        >>> Budget().wait_us(0)
        2000000
        """
        if self.repeats:
            return max(MIN_WAIT_US, self.repeats[0] + self.window_us - now)
        return NO_REPEATS_WAIT_US

    def export(self, now: int) -> tuple[dict[str, int], list[int]]:
        """Return both as they travel: requests with their ages, and the repeats' ages, in microseconds.

        >>> budget = Budget(); budget.first(2, "x1"); _ = budget.spend(3); budget.export(5)
        ({'x1': 3}, [2])
        """
        self._trim(now)
        return {request_id: now - at for request_id, at in self.firsts.items()}, [now - at for at in self.repeats]

    def add(self, now: int, firsts: dict[str, int], repeats: list[int]) -> None:
        """Add what another budget exported.

        >>> budget = Budget(); budget.add(5, {"x1": 3}, [2]); budget.firsts, budget.repeats
        ({'x1': 2}, [3])
        """
        for request_id, age_us in firsts.items():
            self.firsts[request_id] = min(now - age_us, self.firsts.get(request_id, now))
        self.firsts = dict(sorted(self.firsts.items(), key=lambda item: item[1]))
        for age_us in repeats:
            bisect.insort(self.repeats, now - age_us)

    def _trim(self, now: int) -> None:
        """Forget what is past the window."""
        since = now - self.window_us
        while self.firsts and self.firsts[oldest := next(iter(self.firsts))] <= since:
            del self.firsts[oldest]
        while self.repeats and self.repeats[0] <= since:
            self.repeats.pop(0)
