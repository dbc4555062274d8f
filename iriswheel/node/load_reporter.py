"""Reports this node's load to its core machine, and takes in the load of the other nodes.

Only what changed is reported, a few times a second, but a long prompt at once: later requests
should go elsewhere.
"""

from __future__ import annotations

import typing

from iriswheel.membership import load_table
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.node import node
    from iriswheel.transport import wire

SESSION_CHECK_INTERVAL_US = 500 * units.MILLISECOND_US  # a new session is noticed at the latest after so long


class LoadReporter:
    """One node's end of the load exchange."""

    def __init__(self, node: node.Node) -> None:
        self.node = node
        # the load last reported on this session; None: nothing yet
        self.last_reported: load_table.LoadTable | None = None
        self.connection: wire.Connection | None = None
        self.report_now = scheduler.Signal()
        self.changed = scheduler.Signal()
        self.has_changed = True

    def mark_changed(self) -> None:
        """Note that the load changed; it is reported within REPORT_INTERVAL_US."""
        if not self.has_changed:
            self.has_changed = True
            self.changed.wake()

    def own_loads(self) -> load_table.LoadTable:
        """This node's own load."""
        return {
            (pool, worker): load_table.Load(requests, tokens, suspicion)
            for pool, placement in self.node.gateway.forwarder.placements.items()
            for worker, requests, tokens, suspicion in placement.export()
        }

    def report(self) -> None:
        """Report the changed load to the core machine; on a new session, all of it."""
        session = self.node.follower.session
        if session.connection is not self.connection:
            self.connection, self.last_reported = session.connection, None
        if self.connection is None or not session.is_established():
            return
        own = self.own_loads()
        changed = load_table.changed_keys(self.last_reported or {}, own)
        if changed or self.last_reported is None:
            rows = load_table.rows(own, changed)
            assert self.node.member_record is not None  # known since the node started, before any session
            session.tell(message.LoadReport(self.node.member_record.id, self.last_reported is None, rows))
            self.last_reported = own

    async def run(self) -> None:
        """Report until the node has left; one task."""
        while not self.node.stopped:
            if not self.has_changed and self.connection is self.node.follower.session.connection:
                await self.node.runtime.pause(self.changed, SESSION_CHECK_INTERVAL_US)
                continue
            await self.node.runtime.pause(self.report_now, load_table.REPORT_INTERVAL_US)
            self.has_changed = False
            self.report()
            suspected = any(load.suspicion_percent for load in (self.last_reported or {}).values())
            self.has_changed = self.has_changed or suspected  # a suspicion fades with time

    def apply_sums(self, report: message.LoadReport) -> None:
        """Take the sums of the other nodes' load."""
        for pool, placement in self.node.gateway.forwarder.placements.items():
            if report.complete or pool in report.rows:
                placement.take(report.rows.get(pool, []), report.complete)
