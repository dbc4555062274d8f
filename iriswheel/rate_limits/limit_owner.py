"""The buckets that this node keeps, as the owner of tenants' limits or as the stand-in of an owner.

The owner of a tenant is the member that ranks first for it. A stand-in has a small allowance of its own, so that
requests go on while the owner is gone and not yet out of the membership; the allowance is bounded, since both may
be reached by different nodes at the same time. An owner that may have been replaced counts as a stand-in.
"""

from __future__ import annotations

import typing

from iriswheel.dataplane import local_member
from iriswheel.rate_limits import owner_ranking, token_bucket
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.rate_limits import interfaces

MIN_CAPACITY_S = 0.1
"""A bucket holds what its rate brings in so long, at least: with nothing in it no request would ever pass."""

OWNER_OVERSHOOT_RATIO = 0.5
"""The part of the tolerated overshoot that an owner uses for bursts; the rest is for its stand-ins."""

BACKUP_RATE_RATIO = 0.05
"""The part of the tenant's rate by which a stand-in's allowance fills."""


class Window(typing.NamedTuple):
    """Over which time a limit counts, and what may pass beyond it."""

    length_us: int
    overshoot_ratio: float

    def limit(self, tenant: configuration.Tenant) -> float:
        """What a tenant may use in any window.

        >>> from iriswheel.configuration import configuration
        >>> Window(8_000_000, 0.1).limit(configuration.Tenant(rate=10.0, burst=30.0))
        110.0
        """
        return tenant.rate * self.length_us / units.SECOND_US + tenant.burst

    def overshoot(self, tenant: configuration.Tenant) -> float:
        """What may pass beyond that."""
        return self.overshoot_ratio * self.limit(tenant)


def owner_parameters(tenant: configuration.Tenant, window: Window) -> token_bucket.BucketParameters:
    """The terms of a tenant's bucket at its owner.

    It fills as fast as the limit allows in the long run, burst and all, and holds no more than may pass beyond the
    limit: the bucket of a tenant that presses lets the limit through evenly, and does not flood the workers first.

    >>> from iriswheel.configuration import configuration
    >>> owner_parameters(configuration.Tenant(rate=10.0, burst=20.0), Window(10_000_000, 0.1))
    BucketParameters(rate=12.0, capacity=6.0)
    """
    capacity = OWNER_OVERSHOOT_RATIO * window.overshoot(tenant)
    rate = window.limit(tenant) / window.length_us * units.SECOND_US
    return token_bucket.BucketParameters(rate, max(capacity, tenant.rate * MIN_CAPACITY_S))


def backup_parameters(tenant: configuration.Tenant, window: Window) -> token_bucket.BucketParameters:
    """The terms of a tenant's bucket at each stand-in: together these allow the rest of the tolerated overshoot.

    >>> from iriswheel.configuration import configuration
    >>> backup_parameters(configuration.Tenant(rate=10.0, burst=20.0), Window(10_000_000, 0.1))
    BucketParameters(rate=0.5, capacity=3.0)
    """
    allowance = (1 - OWNER_OVERSHOOT_RATIO) * window.overshoot(tenant) / (owner_ranking.MEMBERS_PER_TENANT - 1)
    return token_bucket.BucketParameters(tenant.rate * BACKUP_RATE_RATIO, max(allowance, tenant.rate * MIN_CAPACITY_S))


class LimitOwner:
    """Keeps the buckets of the tenants for which this node is asked."""

    def __init__(self, node: interfaces.RateLimitNode, ranking: owner_ranking.OwnerRanking) -> None:
        self.node = node
        self.ranking = ranking
        self.window = Window(node.options.rate_window_us, node.options.rate_overshoot)
        self.buckets: dict[str, token_bucket.TokenBucket] = {}  # by tenant

    def charge(self, request: message.ChargeRequest) -> message.ChargeResponse:
        """Charge a request to its tenant, if the limit allows."""
        tenant = self.node.follower.tenants.get(request.tenant)
        rank = self._rank(request.tenant)
        if tenant is None or rank is None:
            return message.ChargeResponse(message.ChargeOutcome.NOT_OWNER)
        now_us = self.node.runtime.now()
        bucket = self.buckets.get(request.tenant)
        if bucket is None:  # the owner before, or this node's former process, may have used the limit up
            allowance = backup_parameters(tenant, self.window).capacity
            bucket = self.buckets[request.tenant] = token_bucket.TokenBucket(allowance, now_us)
        acts_as_owner = rank == 0 and not self.node.follower.may_be_replaced()
        parameters = (owner_parameters if acts_as_owner else backup_parameters)(tenant, self.window)
        if bucket.take(request.cost, parameters, now_us):
            return message.ChargeResponse(message.ChargeOutcome.CHARGED)
        return message.ChargeResponse(
            message.ChargeOutcome.EXCEEDED, bucket.schedule_retry(request.cost, parameters, now_us)
        )

    def refund(self, refund: message.ChargeRefund) -> None:
        """Take back the charge of a request that did not run."""
        bucket = self.buckets.get(refund.tenant)
        if bucket is not None:
            bucket.refund(refund.cost)

    def sweep(self) -> None:
        """Forget the buckets of tenants that are gone."""
        for name in [name for name in self.buckets if name not in self.node.follower.tenants]:
            del self.buckets[name]

    def state(self) -> dict[str, float]:
        """Return the balances, by tenant."""
        return {name: round(bucket.balance, 1) for name, bucket in sorted(self.buckets.items())}

    def _rank(self, tenant: str) -> int | None:
        """This node's rank for a tenant, 0 for its owner; None where it is not to be asked."""
        owners = self.ranking.owners(tenant, self.node.follower.membership.members)
        own_id = local_member.member_id(self.node)
        return next((rank for rank, owner in enumerate(owners) if owner.id == own_id), None)
