"""The state that a core machine learns from the tail's heartbeats.

It covers whether this machine may serve, and up to which log index all nodes have applied the log.
"""

from __future__ import annotations

import collections.abc
import typing

from iriswheel import errors
from iriswheel.runtime import scheduler, units

if typing.TYPE_CHECKING:
    from iriswheel.control import core_parts
    from iriswheel.transport import message

# a core machine that gets no answer of the tail for this time stops serving
CONTACT_TIMEOUT_US = 1_100 * units.MILLISECOND_US


class AnsweredReport(typing.NamedTuple):
    """The sending time and view of the newest report of this core machine that the tail has answered."""

    sent_at: int = 0  # µs, on this core machine's clock
    view: int = 0


class TailContact:
    """Handles the tail's heartbeats, and wakes operators' calls that wait for nodes to apply a version."""

    def __init__(self, parts: core_parts.CoreParts, wake_senders: collections.abc.Callable[[], None]) -> None:
        """Start without contact; `wake_senders` wakes the node sessions and heartbeats that send new state."""
        self.parts = parts
        self.wake_senders = wake_senders
        self.answered_report = AnsweredReport()
        self.session_count = 0  # members with a session at any core machine, as counted by the tail
        self.applied_by_all = 0  # log index up to which every node has applied the log
        self._applied_by_all_changed = scheduler.Signal()

    def has_recent_answer(self) -> bool:
        """Whether the tail of the current view has answered a report sent within the last CONTACT_TIMEOUT_US."""
        view = self.parts.consensus.view
        return (
            view is not None
            and self.answered_report.view == view.number
            and self.parts.runtime.now() - self.answered_report.sent_at < CONTACT_TIMEOUT_US
        )

    def no_node_reachable(self) -> bool:
        """Whether there are members but none has a session; cut-off nodes may still use their old configuration."""
        latest = self.parts.membership.latest
        return latest is not None and bool(latest.members) and not self.session_count

    def receive(self, heartbeat: message.TailHeartbeat) -> None:
        """Handle a heartbeat; one from another view than the current one is ignored.

        Its echo counts only for the incarnation that is in the chain: until the next view the tail repeats the time of
        a report that this machine sent before it restarted, maybe on a clock that has begun anew since.
        """
        if self.parts.consensus.view is None or heartbeat.view != self.parts.consensus.view.number:
            return
        if heartbeat.echo and self.parts.consensus.is_replica():
            self.parts.lease.renew(heartbeat.echo)
            sent_at = max(heartbeat.echo, self.answered_report.sent_at)
            self.answered_report = AnsweredReport(sent_at, heartbeat.view)
        else:  # the tail has no report of this incarnation in this view yet
            self.parts.node_reports.report_now.wake()
        self.parts.membership.keep_newest(heartbeat.membership)
        if self.parts.chain.is_synced():
            self.parts.chain.commit(heartbeat.index)
        self._raise_applied_by_all(heartbeat.applied_by_all)
        self.parts.node_reports.record_listing_unchanged(heartbeat.listing_unchanged)
        self.session_count = heartbeat.sessions
        self.wake_senders()

    def record_own_heartbeat(self, view: int, echo: int, applied_by_all: int, session_count: int) -> None:
        """Record the content of the heartbeat that the tail addresses to itself, if this machine is the tail."""
        self.parts.lease.renew(echo)
        self.answered_report = AnsweredReport(self.parts.runtime.now(), view)
        self._raise_applied_by_all(applied_by_all)
        self.session_count = session_count

    async def wait_until_applied(self, index: int, until: int) -> None:
        """Wait until every node that may hold a lease has applied the log up to an index.

        Raises:
            errors.ServiceError: `unknown_outcome`, if this is not known by the time `until` (µs).
        """
        while self.applied_by_all < index:
            left = until - self.parts.runtime.now()
            if left <= 0:
                raise errors.ServiceError(
                    "unknown_outcome",
                    "The change is committed, but a node may not have applied it yet.",
                    errors.ExecutionOutcome.MAY_HAVE_RUN,
                )
            await self.parts.runtime.pause(self._applied_by_all_changed, left)

    def _raise_applied_by_all(self, index: int) -> None:
        if index > self.applied_by_all:
            self.applied_by_all = index
            self._applied_by_all_changed.wake()
