"""The token buckets that this node keeps for tenants, as the owner of their rate limits or as a backup of the owner.

The owner of a tenant's limit is the member that ranks first for the tenant; the next members are its backups. Backups
admit requests while the owner does not answer and the membership still lists it. A backup has a small bucket of its
own, since some nodes may reach the owner while others reach the backup. An owner that may have been replaced admits
no more than a backup.
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
"""Seconds of refill that a bucket holds at least, since a bucket without capacity would admit no request."""

OWNER_OVERSHOOT_RATIO = 0.5
"""Fraction of the tolerated overshoot that the owner's bucket may admit; its backups share the rest."""

BACKUP_RATE_RATIO = 0.05
"""Fraction of the tenant's rate at which a backup's bucket fills."""


class Window(typing.NamedTuple):
    """The time window in which usage is limited, and the overshoot that is tolerated in it."""

    length_us: int
    overshoot_ratio: float  # fraction of the limit that may be admitted beyond it

    def limit(self, tenant: configuration.Tenant) -> float:
        """Return what a tenant may use in any window, in the tenant's rate unit.

        >>> from iriswheel.configuration import configuration
        >>> Window(8_000_000, 0.1).limit(configuration.Tenant(rate=10.0, burst=30.0))
        110.0
        """
        return tenant.rate * self.length_us / units.SECOND_US + tenant.burst

    def overshoot(self, tenant: configuration.Tenant) -> float:
        """Return what may be admitted beyond the limit in any window, in the tenant's rate unit."""
        return self.overshoot_ratio * self.limit(tenant)


def owner_parameters(tenant: configuration.Tenant, window: Window) -> token_bucket.BucketParameters:
    """Return the parameters of a tenant's bucket at its owner.

    The bucket fills at the window's limit, including the burst, spread evenly over the window. It holds no more than
    the owner's part of the overshoot, so that a tenant above its limit is admitted at an even rate and can't send the
    workers its whole limit at once.

    >>> from iriswheel.configuration import configuration
    >>> owner_parameters(configuration.Tenant(rate=10.0, burst=20.0), Window(10_000_000, 0.1))
    BucketParameters(rate=12.0, capacity=6.0)
    """
    capacity = OWNER_OVERSHOOT_RATIO * window.overshoot(tenant)
    rate = window.limit(tenant) / window.length_us * units.SECOND_US
    return token_bucket.BucketParameters(rate, max(capacity, tenant.rate * MIN_CAPACITY_S))


def backup_parameters(tenant: configuration.Tenant, window: Window) -> token_bucket.BucketParameters:
    """Return the parameters of a tenant's bucket at each backup; all backups share the rest of the overshoot.

    >>> from iriswheel.configuration import configuration
    >>> backup_parameters(configuration.Tenant(rate=10.0, burst=20.0), Window(10_000_000, 0.1))
    BucketParameters(rate=0.5, capacity=3.0)
    """
    allowance = (1 - OWNER_OVERSHOOT_RATIO) * window.overshoot(tenant) / (owner_ranking.MEMBERS_PER_TENANT - 1)
    return token_bucket.BucketParameters(tenant.rate * BACKUP_RATE_RATIO, max(allowance, tenant.rate * MIN_CAPACITY_S))


class LimitOwner:
    """Keeps the buckets of the tenants for which this node is the owner or a backup."""

    def __init__(self, node: interfaces.RateLimitNode, ranking: owner_ranking.OwnerRanking) -> None:
        self.node = node
        self.ranking = ranking
        self.window = Window(node.options.rate_window_us, node.options.rate_overshoot)
        self.buckets: dict[str, token_bucket.TokenBucket] = {}  # by tenant

    def charge(self, request: message.ChargeRequest) -> message.ChargeResponse:
        """Charge a request to its tenant's bucket, or answer that the limit is exceeded."""
        tenant = self.node.follower.tenants.get(request.tenant)
        rank = self._rank(request.tenant)
        if tenant is None or rank is None:
            return message.ChargeResponse(message.ChargeOutcome.NOT_OWNER)
        now_us = self.node.runtime.now()
        bucket = self.buckets.get(request.tenant)
        if bucket is None:
            # a previous owner, or this node before a restart, may have used up the limit: start with a backup's balance
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
        """Refund the charge of a request that did not run."""
        bucket = self.buckets.get(refund.tenant)
        if bucket is not None:
            bucket.refund(refund.cost)

    def sweep(self) -> None:
        """Remove the buckets of tenants that are no longer configured."""
        for name in [name for name in self.buckets if name not in self.node.follower.tenants]:
            del self.buckets[name]

    def state(self) -> dict[str, float]:
        """Return the balances of the buckets, by tenant, in the tenant's rate unit."""
        return {name: round(bucket.balance, 1) for name, bucket in sorted(self.buckets.items())}

    def _rank(self, tenant: str) -> int | None:
        """Return this node's rank for a tenant: 0 as owner, 1 or more as backup, None if it is neither."""
        owners = self.ranking.owners(tenant, self.node.follower.membership.members)
        own_id = local_member.member_id(self.node)
        return next((rank for rank, owner in enumerate(owners) if owner.id == own_id), None)
