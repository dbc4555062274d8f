"""A token bucket whose balance may fall below zero by the last request that it lets through."""

from __future__ import annotations

import dataclasses
import typing

from iriswheel.runtime import units

MAX_WAIT_US = 3 * units.SECOND_US
"""Nobody is told to wait for longer: by then the pressure may be over."""


class BucketParameters(typing.NamedTuple):
    """What fills a bucket, and how far."""

    rate: float  # units a second
    capacity: float  # units


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """The balance of one tenant's limit, in the unit of the limit.

    A request passes while the balance is above zero, whatever it costs: one that is larger than the whole
    bucket would never pass otherwise. What it costs beyond the balance is a debt that later requests wait for.

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
    retries_scheduled_until_us: int = 0  # when those refused so far would have passed, one after the other

    def take(self, cost: float, parameters: BucketParameters, now_us: int) -> bool:
        """Charge a request; False, and nothing is charged, where the balance is used up."""
        self._refill(parameters, now_us)
        if self.balance <= 0:
            return False
        self.balance -= cost
        return True

    def refund(self, cost: float) -> None:
        """Take back the charge of a request that did not run."""
        self.balance += cost

    def schedule_retry(self, cost: float, parameters: BucketParameters, now_us: int) -> int:
        """How long a refused request should wait.

        Its turn is behind that of all that were refused before it: told of the balance alone, they would come back
        together, and take what new requests need.
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
        """Add what has come in since the last time; a balance above the capacity falls to it."""
        elapsed_s = max(0, now_us - self.updated_at_us) / units.SECOND_US
        self.balance = min(parameters.capacity, self.balance + parameters.rate * elapsed_s)
        self.updated_at_us = now_us
