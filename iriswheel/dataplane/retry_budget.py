"""The retry budget: it limits retries to a ratio of the first attempts, by default one fifth.

A pool's owner sees every selection, so it keeps one budget for the requests of all nodes. Each node keeps a budget of
its own requests too, from which a new pool owner rebuilds the common one.
"""

from __future__ import annotations

import bisect

RETRY_WINDOW_US = 10_000_000  # window in which first attempts and retries count
RETRY_RATIO = 0.2  # retries per first attempt
RATIO_TOLERANCE = 1e-9  # rounding error of a product with a ratio such as 0.1, which has no exact float
MIN_WAIT_US = 1_000_000  # least wait that a refused client is told
NO_RETRIES_WAIT_US = 2_000_000  # wait that a refused client is told while the window holds no retry


class Budget:
    """The first attempts and retries in a sliding window, by default the last ten seconds.

    `slack` retries in a window are allowed beyond the ratio. A node that enforces a budget of its own has a part of the
    fleet's slack.

    >>> budget = Budget(slack=2); [budget.spend(0) for _ in range(3)]
    [True, True, False]

    While the window holds no retry, one is allowed however few first attempts it holds: otherwise the only client of a
    fleet could never retry after its node crashed.

    >>> budget = Budget()
    >>> for number in range(10): budget.record_first_attempt(0, f"x{number}")
    >>> budget.spend(1), budget.spend(2), budget.spend(3)
    (True, True, False)
    >>> budget.spend(RETRY_WINDOW_US + 2), budget.spend(RETRY_WINDOW_US + 3)
    (True, False)
    """

    def __init__(self, slack: int = 0, ratio: float = RETRY_RATIO, window_us: int = RETRY_WINDOW_US) -> None:
        self.slack = slack  # retries per window beyond the ratio
        self.ratio = ratio
        self.window_us = window_us
        self.first_attempts: dict[str, int] = {}  # request id -> time of its first attempt, the oldest first
        self.retries: list[int] = []  # times of the retries, the oldest first

    def record_first_attempt(self, now: int, request_id: str) -> None:
        """Record the first attempt of a request; a second record under the same id does not count.

        >>> budget = Budget(); budget.record_first_attempt(0, "x1"); budget.record_first_attempt(1, "x1")
        >>> len(budget.first_attempts)
        1
        """
        self.first_attempts.setdefault(request_id, now)
        self._trim(now)

    def has_capacity(self, now: int) -> bool:
        """Whether the budget allows one more retry.

        >>> Budget().has_capacity(0)
        True
        """
        self._trim(now)
        if not self.retries:
            return True
        return len(self.retries) + 1 - self.slack <= self.ratio * len(self.first_attempts) + RATIO_TOLERANCE

    def spend(self, now: int) -> bool:
        """Take a retry from the budget; returns False if the budget is exhausted.

        >>> budget = Budget(); budget.spend(0), budget.spend(0)
        (True, False)
        """
        if not self.has_capacity(now):
            return False
        self.retries.append(now)
        return True

    def refund(self, spent_at: int | None) -> None:
        """Give back the retry taken at a time, because it was not sent.

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
        """Return the ages in µs of the first attempts, by request id, and of the retries, for a message.

        >>> budget = Budget(); budget.record_first_attempt(2, "x1"); _ = budget.spend(3); budget.export(5)
        ({'x1': 3}, [2])
        """
        self._trim(now)
        first_attempt_ages_us = {request_id: now - at for request_id, at in self.first_attempts.items()}
        return first_attempt_ages_us, [now - at for at in self.retries]

    def add(self, now: int, first_attempts: dict[str, int], retries: list[int]) -> None:
        """Add the first attempts and retries that another budget exported, given with their ages in µs.

        >>> budget = Budget(); budget.add(5, {"x1": 3}, [2]); budget.first_attempts, budget.retries
        ({'x1': 2}, [3])
        """
        for request_id, age_us in first_attempts.items():
            self.first_attempts[request_id] = min(now - age_us, self.first_attempts.get(request_id, now))
        self.first_attempts = dict(sorted(self.first_attempts.items(), key=lambda item: item[1]))
        for age_us in retries:
            bisect.insort(self.retries, now - age_us)

    def _trim(self, now: int) -> None:
        """Forget the attempts that are older than the window."""
        since = now - self.window_us
        while self.first_attempts and self.first_attempts[oldest := next(iter(self.first_attempts))] <= since:
            del self.first_attempts[oldest]
        while self.retries and self.retries[0] <= since:
            self.retries.pop(0)
