"""The start of a node: what a new process waits for before it is ready, and how it holds early requests.

After a loss of all processes a node has a configuration within milliseconds, but no lease, no worker list and no
members yet. Until it has everything that its requests need, it does not count as ready. It holds requests that
arrive anyway for a short time, because most of them can still be served in time and would be refused otherwise.
"""

from __future__ import annotations

import typing

import loguru

from iriswheel.membership import assignments
from iriswheel.runtime import scheduler, units

if typing.TYPE_CHECKING:
    from iriswheel.node import follower

MAX_HOLD_US = 500 * units.MILLISECOND_US
"""The longest time for which a request is held."""

HOLD_TIMEOUT_DIVISOR = 10
"""The client's remaining time for a request is divided by this number to limit how long the request is held."""

log = loguru.logger.bind(part="node")


class Startup:
    """The start of a node's process, complete as soon as the node has everything that its requests need.

    It stays complete: a later loss of one of these things is handled by `Node.ready`, admission and forwarding.
    """

    def __init__(self, node_follower: follower.Follower) -> None:
        self.follower = node_follower
        self.runtime = node_follower.runtime
        self.is_complete = False
        self._started_at_us = self.runtime.now()
        self._completed = scheduler.Signal()

    def missing(self) -> str:
        """Return what this node still waits for; empty if it has everything that its requests need."""
        follower = self.follower
        if follower.items is None:
            return "no blueprint yet"
        if follower.updated_at is None:
            return "no news of workers"
        if follower.limits.require_key and follower.keys_may_be_revoked():
            return "no lease yet"
        if any(tenant.rate for tenant in follower.tenants.values()) and not follower.membership.members:
            return "no members yet"
        waiting = next((pool for pool in sorted(follower.pools) if not self._has_active_owner(pool)), None)
        return "" if waiting is None else f"no active owner of pool {waiting} yet"

    def update(self) -> None:
        """Complete the start if nothing is missing; called whenever something missing may have arrived."""
        if self.is_complete or self.missing():
            return
        self.is_complete = True
        log.info(
            "The node's start is complete after {duration_ms} ms; it has everything that its requests need.",
            duration_ms=(self.runtime.now() - self._started_at_us) // units.MILLISECOND_US,
        )
        self._completed.wake()

    async def hold(self, left_us: int | None) -> None:
        """Hold a request until the start is complete or its hold time is over.

        Args:
            left_us: The client's remaining time for the request in µs; None if the client gave none.
        """
        if self.is_complete:
            return
        hold_us = MAX_HOLD_US if left_us is None else min(MAX_HOLD_US, left_us // HOLD_TIMEOUT_DIVISOR)
        await self.runtime.pause(self._completed, hold_us)

    def _has_active_owner(self, pool: str) -> bool:
        if not self.follower.selected_by_owner(pool):
            return True
        assignment = self.follower.assignment(assignments.pool_role(pool))
        return assignment is not None and assignment.active
