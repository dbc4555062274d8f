"""Charges requests that a node receives to their tenants' rate limits, before the requests are sent to a worker."""

from __future__ import annotations

import typing

from twisted.internet import defer

from iriswheel import errors
from iriswheel.dataplane import local_member
from iriswheel.rate_limits import limit_owner, owner_ranking
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire

if typing.TYPE_CHECKING:
    from iriswheel.rate_limits import interfaces

CALL_TIMEOUT_US = 120 * units.MILLISECOND_US
"""Time limit for a member's answer, after which the tenant's next member is asked."""

UNRESPONSIVE_MEMBER_SKIP_US = 1 * units.SECOND_US
"""Time for which a member that did not answer is not asked again."""

NO_OWNER_RETRY_US = 300 * units.MILLISECOND_US
MIN_RETRY_US = 20 * units.MILLISECOND_US


class Charge(typing.NamedTuple):
    """A charge for a request, with what is needed to refund it."""

    member: message.Member  # the member that charged its bucket: the tenant's owner or a backup
    tenant: str
    cost: float


class RateLimiter:
    """Charges one node's requests at the owners of their tenants' limits.

    The owner is asked for each request, since only the owner knows the exact usage over all nodes.
    """

    def __init__(self, node: interfaces.RateLimitNode) -> None:
        self.node = node
        self.runtime = node.runtime
        self.ranking = owner_ranking.OwnerRanking()
        self.owner = limit_owner.LimitOwner(node, self.ranking)
        self.skipped_until_us: dict[str, int] = {}  # by member id
        self.unanswered = 0  # requests refused because neither the owner nor a backup answered

    async def charge(self, tenant: str, cost: float) -> Charge:
        """Charge a request to a tenant, at its owner or else at the first backup that answers.

        Raises:
            errors.ServiceError: `rate_limited` if the tenant has exceeded its limit, `not_ready` if neither the owner
                nor a backup answers.
        """
        for member in self.ranking.owners(tenant, self.node.follower.membership.members):
            if self.skipped_until_us.get(member.id, 0) > self.runtime.now():
                continue
            response = await self._request_charge(member, message.ChargeRequest(tenant, cost))
            match response:
                case message.ChargeResponse(outcome=message.ChargeOutcome.CHARGED):
                    return Charge(member, tenant, cost)
                case message.ChargeResponse(outcome=message.ChargeOutcome.EXCEEDED, wait_us=wait_us):
                    raise errors.ServiceError(
                        "rate_limited", "The tenant is beyond its rate limit.", retry_us=max(MIN_RETRY_US, wait_us)
                    )
        self.unanswered += 1
        raise errors.ServiceError("not_ready", "No owner of the tenant's limit replies.", retry_us=NO_OWNER_RETRY_US)

    def refund(self, charge: Charge) -> None:
        """Refund the charge of a request that did not run."""
        refund = message.ChargeRefund(charge.tenant, charge.cost)
        if charge.member.id == local_member.member_id(self.node):
            self.owner.refund(refund)
        else:
            self.runtime.spawn(self.node.peers.tell(charge.member.host, charge.member.port, refund), None)

    def sweep(self) -> None:
        """Remove expired entries of skipped members, and buckets of removed tenants; called periodically."""
        now_us = self.runtime.now()
        self.skipped_until_us = {name: until for name, until in self.skipped_until_us.items() if until > now_us}
        self.owner.sweep()

    def state(self) -> dict[str, typing.Any]:
        """Return the node's entry in `GET /state`, or nothing if it keeps no bucket and every charge was answered."""
        if not self.owner.buckets and not self.unanswered:
            return {}
        return {"rate_limits": {"balances": self.owner.state(), "unanswered": self.unanswered}}

    async def _request_charge(
        self, member: message.Member, request: message.ChargeRequest
    ) -> message.ChargeResponse | None:
        """Send a charge request to one member; return None, and skip the member for a while, if it does not answer."""
        if member.id == local_member.member_id(self.node):
            return self.owner.charge(request)
        call = defer.ensureDeferred(self.node.peers.call(member.host, member.port, request, CALL_TIMEOUT_US))
        try:
            response: message.ChargeResponse = await self.runtime.within(call, CALL_TIMEOUT_US)
        except (wire.ConnectionBrokenError, scheduler.DeadlineError):
            self.skipped_until_us[member.id] = self.runtime.now() + UNRESPONSIVE_MEMBER_SKIP_US
            return None
        return response
