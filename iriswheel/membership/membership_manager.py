"""Issues the membership: the live nodes, the workers, and the assignment of roles to nodes.

Only the tail issues a membership, while it holds the read lease. The membership is never stored on disk: a new tail
starts from the newest membership that a core machine or a node still has, and the versions that it issues begin with
the number of its view.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.membership import assignments
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

TAKEOVER_WAIT_US = 1 * units.SECOND_US  # longest wait of a new tail for reports before it issues a membership
# Time for which a new tail waits before it issues, if no node has reported a membership: all nodes have restarted, so
# no role has a holder.
FIRST_MEMBERSHIP_WAIT_US = 100 * units.MILLISECOND_US
REPORT_VALIDITY_US = 1 * units.SECOND_US  # age above which the sessions in a core machine's report count as ended
ENDED_SESSION_GRACE_US = 500 * units.MILLISECOND_US  # time for which a node stays a member after its session has ended
LOST_SESSION_GRACE_US = 3_500 * units.MILLISECOND_US  # the same, for a node whose core machine is silent
REMOVED_POOL_RETENTION_US = 600 * units.SECOND_US  # time for which a removed pool keeps its owner, as claims are kept
NO_CORE = ""  # id of the core machine of a member that has no session

log = loguru.logger.bind(part="membership")


class Clock(typing.Protocol):
    """A monotonic clock."""

    @property
    def now(self) -> collections.abc.Callable[[], int]:
        """The function that returns the time in µs."""


class Consensus(typing.Protocol):
    """The part of view consensus that the membership manager uses."""

    @property
    def view(self) -> message.View | None:
        """The newest view that this machine knows."""

    def is_tail(self) -> bool:
        """Whether this machine is the tail of the newest view."""

    def holds_lease(self) -> bool:
        """Whether this machine is the tail and holds the read lease."""


class SeenMember(typing.NamedTuple):
    """A node that is or was a member, as reports have last shown it."""

    seen_at: int  # time in µs; the member is removed LOST_SESSION_GRACE_US after it
    member: message.Member
    core: str  # id of the core machine with which it has a session, or NO_CORE


class ReceivedReport(typing.NamedTuple):
    """The newest report of a core machine."""

    received_at: int  # arrival time in µs
    report: message.NodeSessionsReport


class MembershipManager:
    """Issues memberships while this core machine is the tail and holds the read lease.

    Args:
        runtime: The clock.
        consensus: Tells the newest view, and whether this machine is its tail and holds the lease.
        pools: Returns the names of the pools that need a pool owner.
    """

    def __init__(
        self, runtime: Clock, consensus: Consensus, pools: collections.abc.Callable[[], collections.abc.Sequence[str]]
    ) -> None:
        self.runtime = runtime
        self.consensus = consensus
        self.pools = pools
        self.latest: message.Membership | None = None  # the newest membership known, issued here or by another tail
        self.issuing_view = 0  # number of the view for which this machine collects reports as the tail
        self.leased_since: int | None = None  # time (µs) at which the lease was first held in this view
        self.reports: dict[str, ReceivedReport] = {}  # by id of the core machine
        self.seen: dict[str, SeenMember] = {}  # by id of the member
        self.departed: set[str] = set()  # ids of members that have announced that they leave
        self.listing: message.WorkerListing | None = None  # the newest worker list known
        self.removed_since: dict[str, int] = {}  # key of a removed pool's role -> time (µs) at which this was noticed
        self.updated = scheduler.Signal()  # woken by each newer membership

    def keep_newest(self, membership: message.Membership | None) -> None:
        """Keep a membership if it is newer than the one known."""
        if membership is not None and (self.latest is None or membership.version > self.latest.version):
            self.latest = membership
            self.updated.wake()

    def keep_newest_listing(self, listing: message.WorkerListing | None) -> None:
        """Keep a worker list if it is newer than the one known."""
        if listing is not None and (self.listing is None or listing.version > self.listing.version):
            self.listing = listing

    def apply_report(self, report: message.NodeSessionsReport) -> None:
        """Record the nodes with which a core machine has sessions, and issue a new membership if its content changed.

        Ignored unless this machine is the tail of the view in which the report was sent.
        """
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
        """Remove a node that has announced that it leaves, without the grace period of a lost node."""
        self.departed.add(identifier)
        self.seen.pop(identifier, None)
        self.issue_if_changed()

    def begin_view(self) -> None:
        """Start as the tail of the newest view: forget everything that was reported in an earlier view."""
        self.issuing_view = self._view_number()
        self.leased_since = None
        self.reports = {}
        self.seen = {}

    def session_count(self) -> int:
        """The number of members that have a session with a core machine now."""
        return sum(1 for seen in self.seen.values() if seen.core)

    def has_issued(self) -> bool:
        """Whether this machine, as the tail, has issued a membership in the newest view."""
        return self.latest is not None and self.latest.version[0] == self.issuing_view == self._view_number()

    def issue_if_changed(self) -> None:
        """Issue a new membership if its content changed; only under the read lease, so that only one machine issues."""
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
        """Record the members that have a session with the reporting core machine."""
        for member in report.members:
            if member.id not in self.departed:
                self.seen[member.id] = SeenMember(now, member, report.core)

    def _record_missing_members(self, report: message.NodeSessionsReport, now: int) -> None:
        """Record the members whose session with the reporting core machine has ended.

        A member that another core machine has reported lately has moved there; otherwise its grace period begins.
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
        """Start from the newest membership known; False as long as other core machines may still report a newer one."""
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
            return False  # nodes need this time to open new sessions
        if old is not None:
            for member in old.members:
                self.seen.setdefault(member.id, SeenMember(now, member, NO_CORE))
            if self.listing is None:
                self.listing = message.WorkerListing(old.workers, old.listing_version)
        return True

    def _restart_grace_periods(self, now: int) -> None:
        """Restart the grace period of every node, since none has a session.

        It is more likely that the core machines are cut off than that all nodes are dead, and assignments of roles made
        now would reach no node.
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
        """The live members ordered by name; only the newest incarnation of each node counts."""
        by_name = {}
        for _, seen in sorted(self.seen.items(), key=lambda item: (item[1].seen_at, item[0])):
            by_name[seen.member.name] = seen.member
        return sorted(by_name.values(), key=lambda member: member.name)

    def _assign(
        self, version: message.MembershipVersion, members: list[message.Member]
    ) -> list[message.RoleAssignment]:
        """Assign all roles to the live members; a role whose holder or copies change gets a new term."""
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
        """The keys of the roles needed now; the role of a removed pool is kept as long as its claims may be queried."""
        needed = [assignments.LISTING_ROLE, *map(assignments.pool_role, self.pools())]
        now = self.runtime.now()
        removed = [key for key in previous if key not in needed]
        retained = [key for key in removed if now - self.removed_since.setdefault(key, now) < REMOVED_POOL_RETENTION_US]
        self.removed_since = {key: since for key, since in self.removed_since.items() if key in retained}
        return needed + retained


def _same_content(new: message.Membership, old: message.Membership | None) -> bool:
    """Whether two memberships differ only in their versions."""
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
            "Role {role} gets a new term in place of {old_term}, since its holder has met a newer term.",
            role=key,
            old_term=previous.term,
        )
    if (previous.holder, previous.copies) != (assignment.holder, assignment.copies):
        log.info(
            "Role {role} is assigned to node {node} under term {term}.", role=key, node=assignment.holder, term=term
        )
