"""The warm-up of a worker that has just started: for how long it is cold, and how many requests it bears meanwhile."""

from __future__ import annotations

import collections
import typing

from iriswheel.runtime import units

WINDOW_US = units.SECOND_US
COLLAPSE_FACTOR = 1.5  # a cold worker's process ends at so many times the requests that a rule allows


class ColdBounds(typing.NamedTuple):
    """How workers of a deployment warm up.

    Attributes:
        warmup_s: For how many seconds a worker is cold after its start.
        requests_per_s: How many requests a second a cold worker bears.
        overshoot: How many times as many one second may hold.
        margin: How many requests more one second may hold.
    """

    warmup_s: float
    requests_per_s: float
    overshoot: float = 1.5
    margin: int = 5

    @property
    def limit(self) -> float:
        """The most requests to a cold worker that any second may hold.

        >>> ColdBounds(3.0, 16.0).limit
        29.0
        """
        return self.requests_per_s * self.overshoot + self.margin


class ColdStart:
    """Whether one worker is cold, and the requests that it got in the last second.

    >>> cold = ColdStart(ColdBounds(3.0, 1.0)); cold.begin(0); cold.left_ms(units.SECOND_US)
    2000
    """

    def __init__(self, bounds: ColdBounds) -> None:
        """Make the warm-up of a worker that is warm."""
        self.bounds = bounds
        self.until = 0
        self.requests: collections.deque[int] = collections.deque()  # when each came, while cold

    def begin(self, now: int) -> None:
        """Become cold for the warm-up time."""
        self.until = now + int(self.bounds.warmup_s * units.SECOND_US)

    def is_cold(self, now: int) -> bool:
        """Whether the worker is cold at a time."""
        return now < self.until

    def left_ms(self, now: int) -> int:
        """For how many milliseconds the worker stays cold."""
        return max(0, self.until - now) // units.MILLISECOND_US

    def note_request(self, now: int) -> None:
        """Count a request, where the worker is cold."""
        while self.requests and self.requests[0] <= now - WINDOW_US:
            self.requests.popleft()
        if self.is_cold(now):
            self.requests.append(now)

    def is_overrun(self) -> bool:
        """Whether the last second held far more requests than a cold worker bears."""
        return len(self.requests) > COLLAPSE_FACTOR * self.bounds.limit
