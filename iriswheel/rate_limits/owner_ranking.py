"""Which members keep a tenant's bucket: the same on every node that has the same members."""

from __future__ import annotations

import typing

from iriswheel.membership import assignments

if typing.TYPE_CHECKING:
    from iriswheel.transport import message

MEMBERS_PER_CANDIDATE = 16
"""One in so many members keeps buckets: each node has a connection to each of these, which costs keep-alives."""

MEMBERS_PER_TENANT = 3
"""Members that are asked for one tenant: its owner, and those that stand in while that does not answer."""

CANDIDATES_KEY = "rate-limits"
TENANT_KEY_PREFIX = "rate-limit/"


class OwnerRanking:
    """The ranking over the members of the newest membership, worked out once for each tenant.

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
        """The members that may be asked for a tenant, its owner first."""
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
