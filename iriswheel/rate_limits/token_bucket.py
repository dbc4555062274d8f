"""A token bucket whose balance may fall below zero through the last request that it admits."""

from __future__ import annotations

import dataclasses
import typing

from iriswheel.runtime import units

MAX_WAIT_US = 3 * units.SECOND_US
"""Longest wait before a retry that a refused request is told, since the load may have fallen by then."""


class BucketParameters(typing.NamedTuple):
    """The fill rate and the capacity of a bucket, in the tenant's rate unit."""

    rate: float  # units per second
    capacity: float  # units


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """The balance of one tenant's limit, in the tenant's rate unit.

    A request is admitted if the balance is above zero, whatever the request costs: otherwise a request that costs
    more than the capacity would never be admitted. The cost beyond the balance becomes a debt, and later requests are
    refused until the bucket has refilled above zero.

    >>> bucket = TokenBucket(balance=5.0, updated_at_us=0)
    >>> parameters = BucketParameters(rate=10.0, capacity=20.0)
    >>> bucket.take(30.0, parameters, now_us=0), bucket.take(1.0, parameters, now_us=0)
    (True, False)
    >>> bucket.schedule_retry(1.0, parameters, now_us=0), bucket.schedule_retry(1.0, parameters, now_us=0)
    (2600000, 2700000)
    >>> bucket.take(1.0, parameters, now_us=2_600_000), round(bucket.balance, 3)
    (True, 0.0)
    """

    balance: float
    updated_at_us: int
    retries_scheduled_until_us: int = 0  # time by which all refused requests could be admitted in sequence

    def take(self, cost: float, parameters: BucketParameters, now_us: int) -> bool:
        """Charge a request and return True; return False without a charge if the balance is not above zero."""
        self._refill(parameters, now_us)
        if self.balance <= 0:
            return False
        self.balance -= cost
        return True

    def refund(self, cost: float) -> None:
        """Refund the charge of a request that did not run."""
        self.balance += cost

    def schedule_retry(self, cost: float, parameters: BucketParameters, now_us: int) -> int:
        """Return how long a refused request should wait before its retry, in µs.

        Its retry is scheduled after those of all requests refused before it. If the waits depended on the balance
        alone, all refused requests would be retried at the same time and use up the balance that new requests need.
        """
        if parameters.rate <= 0:
            return MAX_WAIT_US
        debt_paid_at_us = now_us + int(max(0.0, -self.balance) / parameters.rate * units.SECOND_US)
        cost_us = int(cost / parameters.rate * units.SECOND_US)
        self.retries_scheduled_until_us = min(
            max(self.retries_scheduled_until_us, debt_paid_at_us) + cost_us, now_us + MAX_WAIT_US
        )
        return self.retries_scheduled_until_us - now_us

    def _refill(self, parameters: BucketParameters, now_us: int) -> None:
        """Add the refill since the last update; a balance above the capacity is reduced to the capacity."""
        elapsed_s = max(0, now_us - self.updated_at_us) / units.SECOND_US
        self.balance = min(parameters.capacity, self.balance + parameters.rate * elapsed_s)
        self.updated_at_us = now_us
