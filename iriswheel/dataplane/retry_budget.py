"""The retry budget: retries stay within a part of first attempts, a fifth unless told otherwise.

A pool's owner sees every selection, so it keeps one budget for all nodes; each node keeps
a budget of its own part, from which a new pool owner starts.
"""

from __future__ import annotations

import bisect

RETRY_WINDOW_US = 10_000_000
RETRY_RATIO = 0.2  # retries for each first attempt
RATIO_TOLERANCE = 1e-9  # for the product of a ratio such as 0.1
MIN_WAIT_US = 1_000_000
NO_RETRIES_WAIT_US = 2_000_000  # when to come back where no retry is in the window


class Budget:
    """The first attempts and retries over a window, the last ten seconds unless told otherwise.

    A node that keeps its own share of a fleet's budget adds its part of the fleet's `slack`.

    >>> budget = Budget(slack=2); [budget.spend(0) for _ in range(3)]
    [True, True, False]

    Where there were too few first attempts, one retry in a window is free: else a lone
    client whose node died could never come back.

    >>> budget = Budget()
    >>> for number in range(10): budget.record_first_attempt(0, f"x{number}")
    >>> budget.spend(1), budget.spend(2), budget.spend(3)
    (True, True, False)
    >>> budget.spend(RETRY_WINDOW_US + 2), budget.spend(RETRY_WINDOW_US + 3)
    (True, False)
    """

    def __init__(self, slack: int = 0, ratio: float = RETRY_RATIO, window_us: int = RETRY_WINDOW_US) -> None:
        self.slack = slack  # retries in a window that are free
        self.ratio = ratio
        self.window_us = window_us
        self.first_attempts: dict[str, int] = {}  # request -> when it was first seen, oldest first
        self.retries: list[int] = []  # when, oldest first

    def record_first_attempt(self, now: int, request_id: str) -> None:
        """Note a request; said again under the same id, it counts once.

        >>> budget = Budget(); budget.record_first_attempt(0, "x1"); budget.record_first_attempt(1, "x1")
        >>> len(budget.first_attempts)
        1
        """
        self.first_attempts.setdefault(request_id, now)
        self._trim(now)

    def has_capacity(self, now: int) -> bool:
        """Whether there is a retry left.

        >>> Budget().has_capacity(0)
        True
        """
        self._trim(now)
        if not self.retries:
            return True
        return len(self.retries) + 1 - self.slack <= self.ratio * len(self.first_attempts) + RATIO_TOLERANCE

    def spend(self, now: int) -> bool:
        """Take a retry from the budget; False where there is none left.

        >>> budget = Budget(); budget.spend(0), budget.spend(0)
        (True, False)
        """
        if not self.has_capacity(now):
            return False
        self.retries.append(now)
        return True

    def refund(self, spent_at: int | None) -> None:
        """Give a retry back that never went out.

        >>> budget = Budget(); _ = budget.spend(3); budget.refund(3); budget.retries
        []
        """
        if spent_at in self.retries:
            self.retries.remove(spent_at)

    def wait_us(self, now: int) -> int:
        """Return after how many microseconds a refused client should retry.

        >>> Budget().wait_us(0)
        2000000
        """
        if self.retries:
            return max(MIN_WAIT_US, self.retries[0] + self.window_us - now)
        return NO_RETRIES_WAIT_US

    def export(self, now: int) -> tuple[dict[str, int], list[int]]:
        """Return what a message holds of the budget: first attempts with their ages, and the retries' ages, in µs.

        >>> budget = Budget(); budget.record_first_attempt(2, "x1"); _ = budget.spend(3); budget.export(5)
        ({'x1': 3}, [2])
        """
        self._trim(now)
        first_attempt_ages_us = {request_id: now - at for request_id, at in self.first_attempts.items()}
        return first_attempt_ages_us, [now - at for at in self.retries]

    def add(self, now: int, first_attempts: dict[str, int], retries: list[int]) -> None:
        """Add what another budget exported.

        >>> budget = Budget(); budget.add(5, {"x1": 3}, [2]); budget.first_attempts, budget.retries
        ({'x1': 2}, [3])
        """
        for request_id, age_us in first_attempts.items():
            self.first_attempts[request_id] = min(now - age_us, self.first_attempts.get(request_id, now))
        self.first_attempts = dict(sorted(self.first_attempts.items(), key=lambda item: item[1]))
        for age_us in retries:
            bisect.insort(self.retries, now - age_us)

    def _trim(self, now: int) -> None:
        """Forget what is past the window."""
        since = now - self.window_us
        while self.first_attempts and self.first_attempts[oldest := next(iter(self.first_attempts))] <= since:
            del self.first_attempts[oldest]
        while self.retries and self.retries[0] <= since:
            self.retries.pop(0)
