"""The work of the tail: it takes the core machines' reports, issues the membership, and sends heartbeats."""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.consensus import decisions
from iriswheel.membership import lease
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.control import core_parts, node_session, tail_contact
    from iriswheel.runtime import options

HEARTBEAT_INTERVAL_US = 250 * units.MILLISECOND_US
ISSUE_INTERVAL_US = 100 * units.MILLISECOND_US
# Every so many rounds, the membership goes to all core machines anew: it may have been lost with a connection.
FULL_ROUND_INTERVAL = 4

log = loguru.logger.bind(part="core")


class SentMembership(typing.NamedTuple):
    """Which membership was sent to a core machine, and in which view."""

    view: int
    version: message.MembershipVersion


class TailService:
    """The tail's service; it exists on every core machine, since each may become the tail."""

    def __init__(
        self,
        parts: core_parts.CoreParts,
        options: options.Options,
        contact: tail_contact.TailContact,
        sessions: node_session.NodeSessions,
        wake_senders: collections.abc.Callable[[], None],
    ) -> None:
        """Count every node as a lease holder at first; `wake_senders` wakes what passes on a new membership."""
        self.parts = parts
        self.options = options
        self.contact = contact
        self.sessions = sessions
        self.wake_senders = wake_senders
        self.lease_holders = lease.LeaseHolders(options.lease_us, parts.runtime.now())
        self.newest_report_times: dict[str, int] = {}  # core -> `sent_at` of its newest report in this view
        self.heartbeat_now = scheduler.Signal()
        self.issue_now = scheduler.Signal()
        self._announced_version: message.MembershipVersion | None = None  # of the membership that was last announced
        self._sent_memberships: dict[message.ChainReplica, SentMembership] = {}

    def on_view(self, view: message.View) -> None:
        """Forget the reports of the view before, and count who may hold leases from it."""
        self.newest_report_times = {}
        previous_chain = self.parts.consensus.previous_chain
        own_replica = decisions.ReplicaIncarnation(self.parts.consensus.own_voter.id, self.parts.runtime.incarnation)
        was_tail = previous_chain is not None and previous_chain[-1:] == [own_replica]
        chain = decisions.chain_incarnations(view)
        self.lease_holders.on_view(previous_chain, chain, self.parts.runtime.now(), was_tail)

    def on_lease(self) -> None:
        """This machine has got the tail's lease: others learn it at once, and the wait for the nodes begins."""
        self.heartbeat_now.wake()
        self.issue_now.wake()

    def apply_report(self, report: message.NodeSessionsReport) -> None:
        """Record a core machine's report; the membership and the lease holders follow from it.

        A first report, and one that lists nodes without a lease yet, is answered at once.
        """
        before = self.applied_by_all()
        lists_new_nodes = report.core not in self.newest_report_times or any(
            node not in self.lease_holders.holders for node, _, _ in report.leases
        )
        self.parts.node_reports.record_listing_unchanged(report.listing_unchanged)
        self.parts.membership.apply_report(report)
        self._announce_membership()
        view = self.parts.consensus.view
        if self.parts.consensus.is_tail() and view is not None and report.view == view.number:
            self.newest_report_times[report.core] = max(report.sent_at, self.newest_report_times.get(report.core, 0))
            self.lease_holders.record_heartbeat(report.core, report.leases, self.parts.runtime.now())
        if self.applied_by_all() != before or lists_new_nodes:
            self.heartbeat_now.wake()

    def applied_by_all(self) -> int:
        """The index up to which every node that may hold a lease has applied the log; 0 where it is not known."""
        if not self.parts.consensus.holds_lease():
            return 0
        return self.lease_holders.applied(self.parts.chain.committed_state.index, self.parts.runtime.now())

    async def remove_member(self, leaving: message.MemberLeaving) -> None:
        """Remove a node that says it leaves; where another machine is the tail, pass the message on."""
        if self.parts.consensus.is_tail():
            self.parts.membership.remove_member(leaving.member)
            self._announce_membership()
        elif self.parts.consensus.view is not None:
            tail = self.parts.voter_of(self.parts.consensus.view.chain[-1])
            if (tail.host, tail.port) != (self.options.host, self.options.port):
                await self.parts.peers.tell(tail.host, tail.port, leaving)

    async def issue_periodically(self) -> None:
        """Issue the membership where a member's time has run out, or this machine may issue now; one task."""
        while True:
            await self.parts.runtime.pause(self.issue_now, ISSUE_INTERVAL_US)
            if self.parts.consensus.is_tail():
                self.parts.membership.issue_if_changed()
                self._announce_membership()

    async def send_heartbeats(self) -> None:
        """Under the lease, tell all core machines of the chain what is committed; one task."""
        rounds = 0
        while True:
            view = self.parts.consensus.view
            if view is not None and self.parts.consensus.holds_lease():
                rounds += 1
                if rounds % FULL_ROUND_INTERVAL == 0:
                    self._sent_memberships.clear()
                self._send_to_chain(view)
            await self.parts.runtime.pause(self.heartbeat_now, HEARTBEAT_INTERVAL_US)

    def _send_to_chain(self, view: message.View) -> None:
        index = self.parts.chain.committed_state.index
        latest = self.parts.membership.latest if self.parts.membership.has_issued() else None
        for replica in view.chain:
            heartbeat = message.TailHeartbeat(
                view=view.number,
                index=index,
                applied_by_all=self.applied_by_all(),
                sessions=self.parts.membership.session_count(),
                membership=self._membership_for(replica, view.number, latest),
                listing_unchanged=self.parts.node_reports.listing_unchanged,
                echo=self.newest_report_times.get(replica.id, 0),
            )
            if replica.id == self.parts.consensus.own_voter.id:
                self.contact.record_own_heartbeat(
                    view.number, heartbeat.echo, heartbeat.applied_by_all, heartbeat.sessions
                )
                self.sessions.wake_all()
            else:
                voter = self.parts.voter_of(replica)
                self.parts.runtime.spawn(self.parts.peers.tell(voter.host, voter.port, heartbeat), log)

    def _membership_for(
        self, replica: message.ChainReplica, view: int, latest: message.Membership | None
    ) -> message.Membership | None:
        """The membership, unless it was sent to this core machine already."""
        if latest is None:
            return None
        sent, self._sent_memberships[replica] = (
            self._sent_memberships.get(replica),
            SentMembership(view, latest.version),
        )
        return latest if sent != (view, latest.version) else None

    def _announce_membership(self) -> None:
        """Have the membership passed on where it has changed."""
        if self.parts.membership.latest is not None and self.parts.membership.latest.version != self._announced_version:
            self._announced_version = self.parts.membership.latest.version
            self.wake_senders()
