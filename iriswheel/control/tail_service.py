"""The duties of the tail: to handle the core machines' reports, issue the membership, and send heartbeats."""

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
# Heartbeat rounds after which the membership is resent to all core machines, since a message may have been lost.
FULL_ROUND_INTERVAL = 4

log = loguru.logger.bind(part="core")


class SentMembership(typing.NamedTuple):
    """The version of the membership that was last sent to a core machine, and the view in which it was sent."""

    view: int
    version: message.MembershipVersion


class TailService:
    """The duties of the tail. Every core machine has this service, since each may become the tail."""

    def __init__(
        self,
        parts: core_parts.CoreParts,
        options: options.Options,
        contact: tail_contact.TailContact,
        sessions: node_session.NodeSessions,
        wake_senders: collections.abc.Callable[[], None],
    ) -> None:
        """Treat every node as a lease holder at first; `wake_senders` wakes the tasks that send a new membership."""
        self.parts = parts
        self.options = options
        self.contact = contact
        self.sessions = sessions
        self.wake_senders = wake_senders
        self.lease_holders = lease.LeaseHolders(options.lease_us, parts.runtime.now())
        # core machine -> `sent_at` of its newest report in this view (µs, on its clock)
        self.newest_report_times: dict[str, int] = {}
        self.heartbeat_now = scheduler.Signal()
        self.issue_now = scheduler.Signal()
        # version of the last membership that the senders were woken for
        self._announced_version: message.MembershipVersion | None = None
        self._sent_memberships: dict[message.ChainReplica, SentMembership] = {}

    def on_view(self, view: message.View) -> None:
        """Discard the reports of the previous view, and update which nodes may hold leases from its core machines."""
        self.newest_report_times = {}
        previous_chain = self.parts.consensus.previous_chain
        own_replica = decisions.ReplicaIncarnation(self.parts.consensus.own_voter.id, self.parts.runtime.incarnation)
        was_tail = previous_chain is not None and previous_chain[-1:] == [own_replica]
        chain = decisions.chain_incarnations(view)
        self.lease_holders.on_view(previous_chain, chain, self.parts.runtime.now(), was_tail)

    def on_lease(self) -> None:
        """React to obtaining the tail's lease: send heartbeats at once, and begin to wait for nodes to reconnect."""
        self.heartbeat_now.wake()
        self.issue_now.wake()

    def apply_report(self, report: message.NodeSessionsReport) -> None:
        """Record a core machine's report, and update the membership and the lease holders from it.

        The first report of a core machine, and one that lists nodes not yet known as lease holders, is answered with a
        heartbeat at once.
        """
        before = self.applied_by_all()
        is_answered_at_once = report.core not in self.newest_report_times or any(
            node not in self.lease_holders.holders for node, _, _ in report.leases
        )
        self.parts.node_reports.record_listing_unchanged(report.listing_unchanged)
        self.parts.membership.apply_report(report)
        self._announce_membership()
        view = self.parts.consensus.view
        if self.parts.consensus.is_tail() and view is not None and report.view == view.number:
            self.newest_report_times[report.core] = max(report.sent_at, self.newest_report_times.get(report.core, 0))
            self.lease_holders.record_report(report.core, report.leases, self.parts.runtime.now())
        if self.applied_by_all() != before or is_answered_at_once:
            self.heartbeat_now.wake()

    def applied_by_all(self) -> int:
        """The log index up to which every node that may hold a lease has applied the log; 0 if unknown."""
        if not self.parts.consensus.holds_lease():
            return 0
        return self.lease_holders.applied_by_holders(self.parts.chain.committed_state.index, self.parts.runtime.now())

    async def remove_member(self, leaving: message.MemberLeaving) -> None:
        """Remove a node that announces its departure; if another machine is the tail, forward the message to it."""
        if self.parts.consensus.is_tail():
            self.parts.membership.remove_member(leaving.member)
            self._announce_membership()
        elif self.parts.consensus.view is not None:
            tail = self.parts.voter_of(self.parts.consensus.view.chain[-1])
            if (tail.host, tail.port) != (self.options.host, self.options.port):
                await self.parts.peers.tell(tail.host, tail.port, leaving)

    async def issue_periodically(self) -> None:
        """Issue a new membership when a member has timed out or this machine may begin to issue; a single task."""
        while True:
            await self.parts.runtime.pause(self.issue_now, ISSUE_INTERVAL_US)
            if self.parts.consensus.is_tail():
                self.parts.membership.issue_if_changed()
                self._announce_membership()

    async def send_heartbeats(self) -> None:
        """Send heartbeats to the core machines of the chain while this machine holds the lease; a single task."""
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
        """The membership to send to a core machine; None if it was sent to it already."""
        if latest is None:
            return None
        sent, self._sent_memberships[replica] = (
            self._sent_memberships.get(replica),
            SentMembership(view, latest.version),
        )
        return latest if sent != (view, latest.version) else None

    def _announce_membership(self) -> None:
        """Wake the senders if the membership has changed."""
        if self.parts.membership.latest is not None and self.parts.membership.latest.version != self._announced_version:
            self._announced_version = self.parts.membership.latest.version
            self.wake_senders()
