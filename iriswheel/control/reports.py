"""The reports of a core machine to the tail: sessions and leases of its nodes, their worker list and their roles."""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.control import core_parts, node_session

REPORT_INTERVAL_US = 250 * units.MILLISECOND_US
BATCH_DELAY_US = 5 * units.MILLISECOND_US  # nodes' messages that arrive within this time share one report
LISTING_REPEAT_US = 2 * units.SECOND_US  # interval for resending an unchanged worker list, since a report may be lost

log = loguru.logger.bind(part="core")


class NodeReports:
    """The latest information from the nodes of this core machine: worker list, active and contested roles."""

    def __init__(self) -> None:
        self.report_now = scheduler.Signal()
        self.listing: message.WorkerListing | None = None
        self.listing_unchanged: message.ListingUnchanged | None = None  # the newest known, from any core machine
        self.active: dict[str, message.Term] = {}  # role -> newest term in which its holder became active
        self.contested: dict[str, message.Term] = {}  # role -> term of its holder that a newer term has superseded

    def record_listing(self, listing: message.WorkerListing) -> None:
        """Keep a worker list if it is newer than the stored one, and report it."""
        if self.listing is None or listing.version > self.listing.version:
            self.listing = listing
            self.report_now.wake()

    def record_listing_unchanged(self, unchanged: message.ListingUnchanged | None) -> None:
        """Keep the newest confirmation that the worker list is unchanged."""
        if unchanged is not None and (
            self.listing_unchanged is None or unchanged.version > self.listing_unchanged.version
        ):
            self.listing_unchanged = unchanged

    def record_role_activated(self, key: str, term: message.Term) -> None:
        """Record that the holder of a role has become active in a term, and report it."""
        self.active[key] = max(term, self.active.get(key, (0, 0)))
        self.report_now.wake()

    def record_role_contested(self, key: str, term: message.Term) -> None:
        """Record that the holder of a role met a term newer than its own; the tail must assign a new term."""
        self.contested[key] = term
        self.report_now.wake()


class SentListing(typing.NamedTuple):
    """The worker list that was last sent: the view of the receiving tail, the list's version, the time (µs)."""

    view: int
    version: message.ListingVersion
    at: int


class SessionReporter:
    """Sends this core machine's reports to the tail of the current view."""

    def __init__(
        self,
        parts: core_parts.CoreParts,
        sessions: node_session.NodeSessions,
        apply_own_report: collections.abc.Callable[[message.NodeSessionsReport], None],
    ) -> None:
        """Store the parts; `apply_own_report` receives the reports while this machine is itself the tail."""
        self.parts = parts
        self.sessions = sessions
        self.apply_own_report = apply_own_report
        self.sent_listing: SentListing | None = None

    async def run(self) -> None:
        """Report at every change and every REPORT_INTERVAL_US; runs as a single task."""
        while True:
            view = self.parts.consensus.view
            if view is not None and self.parts.consensus.is_serving():
                self.sessions.drop_broken()
                self._send(view)
            await self.parts.runtime.pause(self.parts.node_reports.report_now, REPORT_INTERVAL_US)
            await self.parts.runtime.sleep(BATCH_DELAY_US)

    def _send(self, view: message.View) -> None:
        report = self._report(view)
        tail = view.chain[-1]
        if tail.id == self.parts.consensus.own_voter.id:
            self.apply_own_report(report)
            return
        voter = self.parts.voter_of(tail)
        self.parts.runtime.spawn(self.parts.peers.tell(voter.host, voter.port, report), log)

    def _report(self, view: message.View) -> message.NodeSessionsReport:
        sessions = self.sessions.in_order()
        latest = self.parts.membership.latest
        now = self.parts.runtime.now()
        return message.NodeSessionsReport(
            core=self.parts.consensus.own_voter.id,
            view=view.number,
            members=[session.member for session in sessions],
            applied_indexes=[session.applied_index for session in sessions],
            listing=self._listing_to_send(view.number, now),
            active=sorted(self.parts.node_reports.active.items()),
            membership=latest if latest is not None and latest.version[0] < view.number else None,
            contested=sorted(self.parts.node_reports.contested.items()),
            listing_unchanged=self.parts.node_reports.listing_unchanged,
            sent_at=now,
            leases=self.parts.lease.rows_to_report(now),
        )

    def _listing_to_send(self, view: int, now: int) -> message.WorkerListing | None:
        """The worker list if it was not sent to the tail of this view within LISTING_REPEAT_US, else None."""
        listing, sent = self.parts.node_reports.listing, self.sent_listing
        if listing is None:
            return None
        is_known = sent is not None and (sent.view, sent.version) == (view, listing.version)
        if sent is not None and is_known and now - sent.at < LISTING_REPEAT_US:
            return None
        self.sent_listing = SentListing(view, listing.version, now)
        return listing
