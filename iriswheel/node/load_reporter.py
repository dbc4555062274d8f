"""Reports this node's load to its core machine, and applies the load of the other nodes.

A report contains only the loads that changed. Reports go out a few times a second, but at once
after a long prompt, so that other nodes send their next requests to other workers.
"""

from __future__ import annotations

import typing

from iriswheel.membership import load_table
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.node import node
    from iriswheel.transport import wire

# longest time until a new session is noticed while the load is unchanged
SESSION_CHECK_INTERVAL_US = 500 * units.MILLISECOND_US


class LoadReporter:
    """Sends one node's load to the core, and passes the other nodes' load to the placements."""

    def __init__(self, node: node.Node) -> None:
        self.node = node
        # load last reported on this session; None before the first report
        self.last_reported: load_table.LoadTable | None = None
        self.connection: wire.Connection | None = None
        self.report_now = scheduler.Signal()
        self.changed = scheduler.Signal()
        self.has_changed = True

    def mark_changed(self) -> None:
        """Record that the load changed, so that it is reported within REPORT_INTERVAL_US."""
        if not self.has_changed:
            self.has_changed = True
            self.changed.wake()

    def own_loads(self) -> load_table.LoadTable:
        """Return this node's own load, by pool and worker."""
        return {
            (pool, worker): load_table.Load(requests, tokens, suspicion)
            for pool, placement in self.node.gateway.forwarder.placements.items()
            for worker, requests, tokens, suspicion in placement.export()
        }

    def report(self) -> None:
        """Report the changed loads to the core machine, or all loads on a new session."""
        session = self.node.follower.session
        if session.connection is not self.connection:
            self.connection, self.last_reported = session.connection, None
        if self.connection is None or not session.is_established():
            return
        own = self.own_loads()
        changed = load_table.changed_keys(self.last_reported or {}, own)
        if changed or self.last_reported is None:
            rows = load_table.rows(own, changed)
            assert self.node.member_record is not None  # set when the node started, before any session
            session.tell(message.LoadReport(self.node.member_record.id, self.last_reported is None, rows))
            self.last_reported = own

    async def run(self) -> None:
        """Report changed loads until the node has stopped; one task."""
        while not self.node.stopped:
            if not self.has_changed and self.connection is self.node.follower.session.connection:
                await self.node.runtime.pause(self.changed, SESSION_CHECK_INTERVAL_US)
                continue
            await self.node.runtime.pause(self.report_now, load_table.REPORT_INTERVAL_US)
            self.has_changed = False
            self.report()
            suspected = any(load.suspicion_percent for load in (self.last_reported or {}).values())
            # a suspicion decays with time, so it changes without an event
            self.has_changed = self.has_changed or suspected

    def apply_sums(self, report: message.LoadReport) -> None:
        """Apply the sums of the other nodes' loads to the placement of each pool."""
        for pool, placement in self.node.gateway.forwarder.placements.items():
            if report.complete or pool in report.rows:
                placement.apply_remote_loads(report.rows.get(pool, []), report.complete)
