"""The graceful stop of a node: it leaves the membership and lets streams end within the option `grace_us`."""

from __future__ import annotations

import typing

import loguru

from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.node import node

IDLE_BEFORE_STOP_US = 300 * units.MILLISECOND_US
"""The time without an open request after which the node stops."""

FLUSH_WAIT_US = 200 * units.MILLISECOND_US
"""The time for which the process stays after its last request, so that the last bytes are sent."""

MAX_NOTICE_WAIT_US = 3 * units.SECOND_US
"""The longest wait for the platform's next readiness check, by which it notices the drain."""

CHECK_INTERVAL_US = 100 * units.MILLISECOND_US

log = loguru.logger.bind(part="node")


async def stop_gracefully(stopping_node: node.Node) -> None:
    """Report not ready, hand over the roles, let streams end, and stop, all within the option `grace_us`.

    New requests are served for 3 s or half of the grace, whichever is shorter, and refused later. The node stops once
    no request is open, but not before that time is over or the platform has noticed that this node is not ready and has
    had the time `notice_us` to send clients elsewhere. The last eighth of the grace (at most 1 s) is a reserve, before
    which the node stops in any case.
    """
    gateway = stopping_node.gateway
    stopping_node.draining = True
    log.info("The node drains with {open_requests} requests open.", open_requests=gateway.open_requests)
    stopping_node.follower.session.tell(message.MemberLeaving(stopping_node.member.id))
    await _wait_for_requests(stopping_node)
    stopping_node.refusing_requests = True
    await stopping_node.runtime.sleep(FLUSH_WAIT_US)
    stopping_node.stopped = True
    log.info("The node stops with {open_requests} requests open.", open_requests=gateway.open_requests)


async def _wait_for_requests(stopping_node: node.Node) -> None:
    """Wait until no request was open for IDLE_BEFORE_STOP_US, or the grace without its reserve is over."""
    gateway, runtime = stopping_node.gateway, stopping_node.runtime
    started_at, grace_us = runtime.now(), stopping_node.options.grace_us
    noticed_by = started_at + min(MAX_NOTICE_WAIT_US, grace_us // 2)
    refuses_from = noticed_by  # later requests may not end within the grace, and their clients had time to move
    ends_at = started_at + grace_us - min(grace_us // 8, units.SECOND_US)
    idle_since: int | None = None
    while (now := runtime.now()) < ends_at:
        noticed = now >= noticed_by or _platform_has_noticed(stopping_node, now)
        if gateway.open_requests:
            idle_since = None
        elif idle_since is None:
            idle_since = now
        elif noticed and now - idle_since > IDLE_BEFORE_STOP_US:
            break  # the last bytes have been sent too
        stopping_node.refusing_requests = noticed and now >= refuses_from
        # Check again exactly at refuses_from: a request accepted later may not end within the grace.
        wait_us = min(CHECK_INTERVAL_US, refuses_from - now) if now < refuses_from else CHECK_INTERVAL_US
        await runtime.pause(gateway.request_ended, wait_us)


def _platform_has_noticed(stopping_node: node.Node, now: int) -> bool:
    """Whether the platform learnt more than `notice_us` ago that this node is not ready."""
    noticed_at_us = stopping_node.drain_noticed_at_us
    if not noticed_at_us:
        return False
    return now - noticed_at_us > stopping_node.options.notice_us
