"""The membership: who is a member, which workers there are, and who holds which role.

The tail issues it under its lease. It is never on a disk: a new tail starts from the
newest membership that anybody still holds, and its version begins with its view's number.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.membership import assignments
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

TAKEOVER_WAIT_US = 1 * units.SECOND_US  # a new tail collects reports for so long before it issues
# likewise, where no node that has come has a membership: all have restarted, and no role is anybody's
FIRST_MEMBERSHIP_WAIT_US = 100 * units.MILLISECOND_US
REPORT_VALIDITY_US = 1 * units.SECOND_US  # a core machine without a newer report has lost its nodes
ENDED_SESSION_GRACE_US = 500 * units.MILLISECOND_US  # a node whose session ended stays a member for so long
LOST_SESSION_GRACE_US = 3_500 * units.MILLISECOND_US  # likewise, one whose core machine is silent
REMOVED_POOL_RETENTION_US = 600 * units.SECOND_US  # a removed pool keeps its pool owner as long as claims are kept
NO_CORE = ""

log = loguru.logger.bind(part="membership")


class Clock(typing.Protocol):
    """A clock that never goes back."""

    @property
    def now(self) -> collections.abc.Callable[[], int]:
        """The time in µs."""


class Consensus(typing.Protocol):
    """What the membership manager needs of view consensus."""

    @property
    def view(self) -> message.View | None:
        """The newest view known here."""

    def is_tail(self) -> bool:
        """Whether this machine is the tail of the newest view."""

    def holds_lease(self) -> bool:
        """Whether this machine is the tail and holds the lease."""


class SeenMember(typing.NamedTuple):
    """A member, when it was last seen (µs), and the core machine with which it has its session, or NO_CORE."""

    seen_at: int
    member: message.Member
    core: str


class ReceivedReport(typing.NamedTuple):
    """A core machine's newest report, and when it came (µs)."""

    received_at: int
    report: message.NodeSessionsReport


class MembershipManager:
    """Issues memberships while this core machine is the tail and holds the read lease.

    Args:
        runtime: The clock.
        consensus: The view, and whether this machine is its tail.
        pools: Gives the names of the pools that have a pool owner.
    """

    def __init__(
        self, runtime: Clock, consensus: Consensus, pools: collections.abc.Callable[[], collections.abc.Sequence[str]]
    ) -> None:
        self.runtime = runtime
        self.consensus = consensus
        self.pools = pools
        self.latest: message.Membership | None = None  # the newest membership known here, ours or another's
        self.issuing_view = 0  # number of the view in which this machine issues
        self.leased_since: int | None = None  # when the lease was first held in this view
        self.reports: dict[str, ReceivedReport] = {}  # by core machine
        self.seen: dict[str, SeenMember] = {}  # by member
        self.departed: set[str] = set()  # ids of members that said they leave
        self.listing: message.WorkerListing | None = None
        self.removed_since: dict[str, int] = {}  # role of a pool that was removed -> since when
        self.updated = scheduler.Signal()

    def keep_newest(self, membership: message.Membership | None) -> None:
        """Keep the newest membership."""
        if membership is not None and (self.latest is None or membership.version > self.latest.version):
            self.latest = membership
            self.updated.wake()

    def keep_newest_listing(self, listing: message.WorkerListing | None) -> None:
        """Keep the newest worker list."""
        if listing is not None and (self.listing is None or listing.version > self.listing.version):
            self.listing = listing

    def apply_report(self, report: message.NodeSessionsReport) -> None:
        """Record which nodes a core machine has sessions with, and issue a membership if it changed."""
        view = self.consensus.view
        if not self.consensus.is_tail() or view is None or report.view != view.number:
            return
        now = self.runtime.now()
        if self.issuing_view != report.view:
            self.begin_view()
        if not self.has_issued():
            self.keep_newest(report.membership)
        self.keep_newest_listing(report.listing)
        self._record_reported_members(report, now)
        self._record_missing_members(report, now)
        self._end_sessions_of_silent_cores(now)
        self.reports[report.core] = ReceivedReport(now, report)
        self.issue_if_changed()

    def remove_member(self, identifier: str) -> None:
        """Drop a node that said it leaves, without the grace of one that was lost."""
        self.departed.add(identifier)
        self.seen.pop(identifier, None)
        self.issue_if_changed()

    def begin_view(self) -> None:
        """Forget what was reported in an earlier view; this machine is the tail of the newest one."""
        self.issuing_view = self._view_number()
        self.leased_since = None
        self.reports = {}
        self.seen = {}

    def session_count(self) -> int:
        """How many members have a session now."""
        return sum(1 for seen in self.seen.values() if seen.core)

    def has_issued(self) -> bool:
        """Whether this tail has issued a membership in its view."""
        return self.latest is not None and self.latest.version[0] == self.issuing_view == self._view_number()

    def issue_if_changed(self) -> None:
        """Issue a membership if it changed; only under the tail's lease, so that just one machine issues."""
        if not self.consensus.holds_lease() or self.issuing_view != self._view_number():
            return
        now = self.runtime.now()
        if not self.has_issued() and not self._adopt_last_membership(now):
            return
        if self.seen and not self.session_count():
            self._restart_grace_periods(now)
        for node in [node for node, seen in self.seen.items() if now - seen.seen_at > LOST_SESSION_GRACE_US]:
            del self.seen[node]
        membership = self._next_membership()
        if not self.has_issued() or not _same_content(membership, self.latest):
            self.keep_newest(membership)

    def _view_number(self) -> int:
        return self.consensus.view.number if self.consensus.view is not None else 0

    def _record_reported_members(self, report: message.NodeSessionsReport, now: int) -> None:
        """Members that have a session with the reporting core machine."""
        for member in report.members:
            if member.id not in self.departed:
                self.seen[member.id] = SeenMember(now, member, report.core)

    def _record_missing_members(self, report: message.NodeSessionsReport, now: int) -> None:
        """Members that had their session with the reporting core machine and have it no longer.

        One that another core machine has reported has moved there; else its grace begins.
        """
        reported = {member.id for member in report.members}
        for node, seen in self.seen.items():
            if seen.core != report.core or node in reported:
                continue
            core = self._other_core_of(node, report.core, now)
            seen_at = seen.seen_at if core else min(seen.seen_at, now - LOST_SESSION_GRACE_US + ENDED_SESSION_GRACE_US)
            self.seen[node] = SeenMember(seen_at, seen.member, core)

    def _other_core_of(self, node: str, excluded: str, now: int) -> str:
        for core, (received_at, report) in self.reports.items():
            is_recent = core != excluded and now - received_at < REPORT_VALIDITY_US
            if is_recent and any(member.id == node for member in report.members):
                return core
        return NO_CORE

    def _end_sessions_of_silent_cores(self, now: int) -> None:
        for node, seen in self.seen.items():
            report = self.reports.get(seen.core)
            if report is not None and now - report.received_at > REPORT_VALIDITY_US:
                self.seen[node] = seen._replace(core=NO_CORE)

    def _adopt_last_membership(self, now: int) -> bool:
        """Start from the newest membership known; False as long as others may still report a newer one."""
        if self.leased_since is None:
            self.leased_since = now
        waited = now - self.leased_since
        view = self.consensus.view
        cores = {replica.id for replica in view.chain} if view is not None else set()
        if waited < TAKEOVER_WAIT_US and not cores <= set(self.reports):
            return False
        old = self.latest
        all_restarted = old is None and bool(self.seen)
        if waited < (FIRST_MEMBERSHIP_WAIT_US if all_restarted else TAKEOVER_WAIT_US // 2):
            return False  # nodes need a moment to come back
        if old is not None:
            for member in old.members:
                self.seen.setdefault(member.id, SeenMember(now, member, NO_CORE))
            if self.listing is None:
                self.listing = message.WorkerListing(old.workers, old.listing_version)
        return True

    def _restart_grace_periods(self, now: int) -> None:
        """No node at all is left: give each a grace again.

        The core is more likely cut off than all nodes are dead, and role assignments made now would
        reach nobody.
        """
        for node, seen in self.seen.items():
            self.seen[node] = seen._replace(seen_at=now - LOST_SESSION_GRACE_US + ENDED_SESSION_GRACE_US)

    def _next_membership(self) -> message.Membership:
        old = self.latest
        version = (self.issuing_view, old.version[1] + 1 if old is not None and self.has_issued() else 1)
        members = self._live_members()
        listing = self.listing or message.WorkerListing([], (0, 0, 0))
        roles = self._assign(version, members)
        cores = list(self.consensus.view.voters) if self.consensus.view is not None else []
        return message.Membership(version, members, listing.workers, roles, cores, listing.version)

    def _live_members(self) -> list[message.Member]:
        """The members by name; a node's newest incarnation replaces the ones before."""
        by_name = {}
        for _, seen in sorted(self.seen.items(), key=lambda item: (item[1].seen_at, item[0])):
            by_name[seen.member.name] = seen.member
        return sorted(by_name.values(), key=lambda member: member.name)

    def _assign(
        self, version: message.MembershipVersion, members: list[message.Member]
    ) -> list[message.RoleAssignment]:
        """The role assignments over the live members; a role that moves gets a new term."""
        old = self.latest
        previous = {assignment.key: assignment for assignment in old.assignments} if old is not None else {}
        if not members:
            return list(previous.values())
        reports = [received.report for received in self.reports.values()]
        active = {(key, term) for report in reports for key, term in report.active}
        contested = {(key, term) for report in reports for key, term in report.contested}
        same_members = old is not None and self.has_issued() and members == old.members
        assigned = []
        for key in self._roles(previous):
            assignment = assignments.assign(
                key,
                version,
                members,
                previous.get(key),
                active=active,
                contested=contested,
                same_members=same_members,
            )
            _log_change(previous.get(key), assignment, contested)
            assigned.append(assignment)
        return assigned

    def _roles(self, previous: collections.abc.Iterable[str]) -> list[str]:
        """The roles that are needed now; that of a removed pool stays as long as its claims must be asked for."""
        needed = [assignments.LISTING_ROLE, *map(assignments.pool_role, self.pools())]
        now = self.runtime.now()
        removed = [key for key in previous if key not in needed]
        retained = [key for key in removed if now - self.removed_since.setdefault(key, now) < REMOVED_POOL_RETENTION_US]
        self.removed_since = {key: since for key, since in self.removed_since.items() if key in retained}
        return needed + retained


def _same_content(new: message.Membership, old: message.Membership | None) -> bool:
    """Whether two memberships differ in their versions only."""
    return old is not None and (new.members, new.workers, new.assignments, new.cores) == (
        old.members,
        old.workers,
        old.assignments,
        old.cores,
    )


def _log_change(
    previous: message.RoleAssignment | None,
    assignment: message.RoleAssignment,
    contested: collections.abc.Set[assignments.RoleTerm],
) -> None:
    if previous is None:
        return
    key, term = assignment.key, assignment.term
    if (key, previous.term) in contested:
        log.warning(
            "Role {role} gets a new term in place of {old_term}: its holder has met a newer one.",
            role=key,
            old_term=previous.term,
        )
    if (previous.holder, previous.copies) != (assignment.holder, assignment.copies):
        log.info(
            "Role {role} is assigned to node {node} under term {term}.", role=key, node=assignment.holder, term=term
        )
