"""The warm-up of a worker after its start: how long the worker is cold, and how many requests it can take meanwhile."""

from __future__ import annotations

import collections
import typing

from iriswheel.runtime import units

WINDOW_US = units.SECOND_US  # window in which requests are counted
COLLAPSE_FACTOR = 1.5  # multiple of the allowed requests above which a cold worker crashes


class ColdBounds(typing.NamedTuple):
    """The warm-up of the workers of a deployment, and the limit of requests until they are warm.

    Attributes:
        warmup_s: The time in seconds for which a worker is cold after its start.
        requests_per_s: The rate of requests that a cold worker can take.
        overshoot: The factor by which the requests of any one second may exceed that rate.
        margin: The number of further requests allowed in any one second.
    """

    warmup_s: float
    requests_per_s: float
    overshoot: float = 1.5
    margin: int = 5

    @property
    def limit(self) -> float:
        """The maximum number of requests to a cold worker in any one second.

        >>> ColdBounds(3.0, 16.0).limit
        29.0
        """
        return self.requests_per_s * self.overshoot + self.margin


class ColdStart:
    """The warm-up of one worker, and the requests that it got in the last second while cold.

    >>> cold = ColdStart(ColdBounds(3.0, 1.0)); cold.begin(0); cold.remaining_ms(units.SECOND_US)
    2000
    """

    def __init__(self, bounds: ColdBounds) -> None:
        """Create the state of a worker that is warm."""
        self.bounds = bounds
        self.cold_until = 0
        self.request_times: collections.deque[int] = collections.deque()  # arrival times of requests while cold

    def begin(self, now: int) -> None:
        """Start the warm-up."""
        self.cold_until = now + int(self.bounds.warmup_s * units.SECOND_US)

    def is_cold(self, now: int) -> bool:
        """Whether the worker is cold at a time."""
        return now < self.cold_until

    def remaining_ms(self, now: int) -> int:
        """The remaining warm-up time in milliseconds."""
        return max(0, self.cold_until - now) // units.MILLISECOND_US

    def note_request(self, now: int) -> None:
        """Count a request if the worker is cold."""
        while self.request_times and self.request_times[0] <= now - WINDOW_US:
            self.request_times.popleft()
        if self.is_cold(now):
            self.request_times.append(now)

    def is_overrun(self) -> bool:
        """Whether a cold worker got so many requests in the last second that it crashes."""
        return len(self.request_times) > COLLAPSE_FACTOR * self.bounds.limit
