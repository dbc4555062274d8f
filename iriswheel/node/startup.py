"""What a node whose process has just started waits for before it serves.

After a loss of all processes a node has a configuration within milliseconds, but no lease, no workers and no
members yet. Until it has all that its requests need it does not count as ready, and holds the requests that come
all the same for a short time: most would be refused otherwise though they can still be served in time.
"""

from __future__ import annotations

import typing

import loguru

from iriswheel.membership import assignments
from iriswheel.runtime import scheduler, units

if typing.TYPE_CHECKING:
    from iriswheel.node import follower

MAX_HOLD_US = 500 * units.MILLISECOND_US
"""A request is held for so long at most."""

HOLD_TIMEOUT_DIVISOR = 10
"""A request is held for at most one part in so many of the time that its client gives it."""

log = loguru.logger.bind(part="node")


class Startup:
    """The first seconds of a node's process; over once the node has had everything that its requests need.

    What is lost again later is judged where it is used: `Node.ready`, admission, forwarding.
    """

    def __init__(self, node_follower: follower.Follower) -> None:
        self.follower = node_follower
        self.runtime = node_follower.runtime
        self.is_complete = False
        self._started_at_us = self.runtime.now()
        self._completed = scheduler.Signal()

    def missing(self) -> str:
        """What this node still waits for; empty where it has all."""
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
        """Look whether the start is over; called whenever something that it waits for may have come."""
        if self.is_complete or self.missing():
            return
        self.is_complete = True
        log.info(
            "The node has all that it serves by, {duration_ms} ms after its start.",
            duration_ms=(self.runtime.now() - self._started_at_us) // units.MILLISECOND_US,
        )
        self._completed.wake()

    async def hold(self, left_us: int | None) -> None:
        """Hold a request until the start is over, within a part of the time that it has left (µs; None: not said)."""
        if self.is_complete:
            return
        hold_us = MAX_HOLD_US if left_us is None else min(MAX_HOLD_US, left_us // HOLD_TIMEOUT_DIVISOR)
        await self.runtime.pause(self._completed, hold_us)

    def _has_active_owner(self, pool: str) -> bool:
        if not self.follower.selected_by_owner(pool):
            return True
        assignment = self.follower.assignment(assignments.pool_role(pool))
        return assignment is not None and assignment.active
