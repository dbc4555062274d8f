"""What a core machine reports to the tail: the sessions of its nodes, their leases, and what the nodes reported."""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.control import core_parts, node_session

REPORT_INTERVAL_US = 250 * units.MILLISECOND_US
BATCH_DELAY_US = 5 * units.MILLISECOND_US  # what else the nodes report within this goes in the same report
LISTING_REPEAT_US = 2 * units.SECOND_US  # an unchanged worker list is sent again: a report may be lost

log = loguru.logger.bind(part="core")


class NodeReports:
    """What the nodes of this core machine have reported: the worker list, and roles that are active or contested."""

    def __init__(self) -> None:
        self.report_now = scheduler.Signal()
        self.listing: message.WorkerListing | None = None
        self.listing_unchanged: message.ListingUnchanged | None = None  # the newest, of any core machine
        self.active: dict[str, message.Term] = {}  # role -> the newest term in which its holder was active
        self.contested: dict[str, message.Term] = {}  # role -> the term that its holder can't use

    def record_listing(self, listing: message.WorkerListing) -> None:
        """Keep a worker list unless a newer one is here."""
        if self.listing is None or listing.version > self.listing.version:
            self.listing = listing
            self.report_now.wake()

    def record_listing_unchanged(self, unchanged: message.ListingUnchanged | None) -> None:
        """Keep the newest message that the worker list is unchanged."""
        if unchanged is not None and (
            self.listing_unchanged is None or unchanged.version > self.listing_unchanged.version
        ):
            self.listing_unchanged = unchanged

    def record_role_activated(self, key: str, term: message.Term) -> None:
        """Record the newest term in which the holder of a role has taken it up."""
        self.active[key] = max(term, self.active.get(key, (0, 0)))
        self.report_now.wake()

    def record_role_contested(self, key: str, term: message.Term) -> None:
        """Record a role whose holder met a newer term than its own: the tail has to give it a new one."""
        self.contested[key] = term
        self.report_now.wake()


class SentListing(typing.NamedTuple):
    """Which worker list was sent last, to the tail of which view, and when (µs)."""

    view: int
    version: message.ListingVersion
    at: int


class SessionReporter:
    """Sends this core machine's reports to the tail of the present view."""

    def __init__(
        self,
        parts: core_parts.CoreParts,
        sessions: node_session.NodeSessions,
        apply_own_report: collections.abc.Callable[[message.NodeSessionsReport], None],
    ) -> None:
        """`apply_own_report` takes the report where this machine is the tail itself."""
        self.parts = parts
        self.sessions = sessions
        self.apply_own_report = apply_own_report
        self.sent_listing: SentListing | None = None

    async def run(self) -> None:
        """Report at every change, and every REPORT_INTERVAL_US; one task."""
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
        """The worker list, where it is new to the tail of a view, and again every LISTING_REPEAT_US."""
        listing, sent = self.parts.node_reports.listing, self.sent_listing
        if listing is None:
            return None
        is_known = sent is not None and (sent.view, sent.version) == (view, listing.version)
        if sent is not None and is_known and now - sent.at < LISTING_REPEAT_US:
            return None
        self.sent_listing = SentListing(view, listing.version, now)
        return listing
