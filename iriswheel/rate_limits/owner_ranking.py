"""The owner and the backups of each tenant's rate limit, by rendezvous hashing over the members.

Every node that has the same membership computes the same ranking.
"""

from __future__ import annotations

import typing

from iriswheel.membership import assignments

if typing.TYPE_CHECKING:
    from iriswheel.transport import message

MEMBERS_PER_CANDIDATE = 16
"""One in this many members is a candidate that may keep buckets.

Every node keeps a connection to each candidate, so that more candidates would cost more keep-alive traffic.
"""

MEMBERS_PER_TENANT = 3
"""Number of members that keep a bucket for one tenant: its owner, and the backups that are asked in its absence."""

CANDIDATES_KEY = "rate-limits"
TENANT_KEY_PREFIX = "rate-limit/"


class OwnerRanking:
    """The owners and backups of tenants in one membership, computed once for each tenant.

    >>> from iriswheel.transport import message
    >>> members = [message.Member(i, i, "z", "h", 1, 2) for i in "abcd"]
    >>> first, second, third = OwnerRanking().owners("t", members)
    >>> OwnerRanking().owners("t", [member for member in members if member != first])[:2] == [second, third]
    True
    """

    def __init__(self) -> None:
        self._members: list[message.Member] = []
        self._candidates: list[message.Member] = []
        self._owners: dict[str, list[message.Member]] = {}

    def owners(self, tenant: str, members: list[message.Member]) -> list[message.Member]:
        """Return the members that keep a bucket for a tenant: its owner first, then its backups."""
        if members is not self._members:
            self._update_members(members)
        owners = self._owners.get(tenant)
        if owners is None:
            ranked = assignments.rank_members(TENANT_KEY_PREFIX + tenant, self._candidates)
            owners = self._owners[tenant] = ranked[:MEMBERS_PER_TENANT]
        return owners

    def _update_members(self, members: list[message.Member]) -> None:
        same = members == self._members
        self._members = members
        if same:
            return
        count = max(MEMBERS_PER_TENANT, len(members) // MEMBERS_PER_CANDIDATE)
        candidates = assignments.rank_members(CANDIDATES_KEY, members)[:count]
        if candidates != self._candidates:
            self._candidates = candidates
            self._owners.clear()
