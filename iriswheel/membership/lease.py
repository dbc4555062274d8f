"""Leases that bound how long a node may route by a configuration that is no longer the newest.

A lease is counted from the time at which its holder sent a message, on the holder's own clock. A node puts its own
time on every heartbeat to its core machine; a core machine puts its own time on every report to the tail. The tail
sends back the newest time that it got from each core machine. A core machine sends back the newest time that it got
from each node, with the remaining time of the core machine's own lease:

    node --(node's time)--> core machine --(core's time)--> tail
    node <--(node's time, remaining time)-- core machine <--(core's time)-- tail

So a core machine that has not heard the tail itself has no remaining time to pass on, a message that was delayed on
its way shortens a lease instead of extending it, and times of two clocks are never compared. Clocks must run at the
same rate, with a drift of at most DRIFT_US during a lease; the time of day is not used. The option `lease_us` of the
core machines sets the duration of a lease; it must be the same on all of them.

The tail acknowledges a change once every node that may hold a lease has applied the change or its lease has expired.
A new tail does not know the leases that a lost core machine has granted, so it waits for the duration of one lease
from the time at which it learned of its view.
"""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    from iriswheel.consensus import decisions

DRIFT_US = 50 * units.MILLISECOND_US  # largest drift between two clocks during one lease
# A node that was not heard for this time gets no lease until the tail has answered a report that lists it again.
NODE_SILENCE_LIMIT_US = 700 * units.MILLISECOND_US


LeaseRow: typing.TypeAlias = tuple[str, int, int]  # node id, applied log index, longest remaining time of a lease (µs)


class NodeLease:
    """The lease of a node as the node itself knows it; times in µs on the node's clock.

    >>> lease = NodeLease()
    >>> lease.renew(sent_at=1_000_000, remaining_us=500_000)
    >>> lease.is_valid(1_400_000), lease.is_valid(1_500_000)
    (True, False)
    """

    def __init__(self) -> None:
        self.expires_at_us = 0

    def renew(self, sent_at: int, remaining_us: int) -> None:
        """Extend the lease by a core machine's answer to the heartbeat that this node sent at `sent_at` (µs).

        A time of 0 in either argument means that the core machine granted nothing.
        """
        if sent_at > 0 and remaining_us > 0:
            self.expires_at_us = max(self.expires_at_us, sent_at + remaining_us)

    def is_valid(self, now: int) -> bool:
        """Whether the lease has not expired at `now` (µs)."""
        return now < self.expires_at_us


class GrantedLease(msgspec.Struct):
    """A lease that one node may hold."""

    expires_at_us: int  # on the clock of the machine that keeps this record
    applied_index: int  # the log index up to which the node has applied the configuration


class SessionLease(msgspec.Struct):
    """A node that has a session with this core machine; times in µs on the core machine's clock."""

    applied_index: (
        int  # the log index up to which the node has applied the configuration, -1 before its first configuration
    )
    last_contact_at: int  # arrival time of the node's newest heartbeat
    listed_at: int | None = None  # send time of the report since which each report lists the node


class CoreLease:
    """A core machine's own lease from the tail, and the leases that it grants to nodes.

    A node gets a lease only after the tail has answered a report that lists the node. From that answer on, the tail
    waits for the node before it acknowledges a change, and this core machine has every change that was acknowledged
    before.

    >>> core = CoreLease(2_000_000)
    >>> core.record_heartbeat("n1", 7, now=1_000_000)
    >>> core.renew(sent_at=900_000); core.grant("n1", now=1_010_000)
    0
    >>> core.rows_to_report(now=1_020_000)
    [('n1', 7, 2000000)]
    >>> core.renew(sent_at=1_020_000); core.grant("n1", now=1_030_000)
    1990000
    >>> core.rows_to_report(now=1_800_000)  # silent for too long: listed only with its old lease, gets no new one
    [('n1', 7, 1200000)]
    >>> core.renew(sent_at=1_800_000); core.grant("n1", now=1_810_000)
    0
    >>> core.end_session("n1"); core.rows_to_report(now=2_000_000), core.rows_to_report(now=3_000_000)
    ([('n1', 7, 1000000)], [])
    """

    def __init__(self, duration_us: int) -> None:
        self.duration_us = duration_us  # duration of a lease
        self.expires_at_us = 0  # end of this core machine's own lease
        self.answered_report_at = 0  # send time of the newest report that the tail has answered
        self.sessions: dict[str, SessionLease] = {}
        self.grants: dict[str, GrantedLease] = {}

    def renew(self, sent_at: int) -> None:
        """Extend the own lease: the tail has answered the report that this core machine sent at `sent_at` (µs)."""
        if sent_at > self.answered_report_at:
            self.answered_report_at = sent_at
            self.expires_at_us = sent_at + self.duration_us

    def record_heartbeat(self, node: str, applied_index: int, now: int) -> None:
        """Record a node's heartbeat that arrived at `now` (µs), and the log index up to which the node has applied."""
        session = self.sessions.get(node)
        if session is None:
            self.sessions[node] = SessionLease(applied_index, now)
        else:
            session.applied_index, session.last_contact_at = max(applied_index, session.applied_index), now
        if node in self.grants:
            self.grants[node].applied_index = max(applied_index, self.grants[node].applied_index)

    def end_session(self, node: str) -> None:
        """Forget a node's session, which has ended; a lease that was granted to the node may still run."""
        self.sessions.pop(node, None)

    def grant(self, node: str, now: int) -> int:
        """Grant a lease to a node and record it; returns the remaining time (µs) at `now`, 0 if none is granted."""
        session = self.sessions.get(node)
        if (
            session is None
            or session.listed_at is None
            or self.answered_report_at < session.listed_at
            or now >= self.expires_at_us
        ):
            return 0
        expires_at_us = min(self.expires_at_us, session.last_contact_at + self.duration_us)
        old = self.grants.get(node)
        self.grants[node] = GrantedLease(
            max(expires_at_us, old.expires_at_us if old is not None else 0), session.applied_index
        )
        return self.expires_at_us - now

    def rows_to_report(self, now: int) -> list[LeaseRow]:
        """The nodes that may hold a lease, for a report to the tail that is sent at `now` (µs).

        A node that was heard lately is listed with a whole lease, since it may get one before the next report is
        answered.
        """
        rows = {}
        self.grants = {node: grant for node, grant in self.grants.items() if grant.expires_at_us > now}
        for node, grant in self.grants.items():
            rows[node] = (node, grant.applied_index, grant.expires_at_us - now)
        for node, session in self.sessions.items():
            if session.applied_index < 0:
                continue
            if now - session.last_contact_at > NODE_SILENCE_LIMIT_US:
                session.listed_at = None
                continue
            if session.listed_at is None:
                session.listed_at = now
            rows[node] = (node, session.applied_index, self.duration_us)
        return [row for _, row in sorted(rows.items())]


class LeaseHolders:
    """The nodes that may hold a lease, with their progress, as a core machine that may become the tail knows them.

    `on_view` is called for each view, and `record_report` with each report of a core machine. `applied_by_holders`
    returns the log index that all nodes with a possible lease have applied.

    >>> holders = LeaseHolders(2_000_000, now=0)
    >>> holders.on_view([], [("a", "1"), ("b", "1")], now=0)
    >>> holders.record_report("a", [("n1", 4, 500_000)], now=10)
    >>> holders.applied_by_holders(5, now=20)
    0
    >>> holders.record_report("b", [], now=30); holders.applied_by_holders(5, now=40)
    4
    >>> holders.applied_by_holders(5, now=600_000)
    5
    """

    def __init__(self, duration_us: int, now: int) -> None:
        self.duration_us = duration_us  # duration of a lease
        self.unknown_grants_until = now + duration_us + DRIFT_US  # until then, unreported leases may still run (µs)
        self.holders: dict[str, GrantedLease] = {}  # by node id
        self.unreported_cores: set[str] = set()  # replicas of the chain that have not reported in the present view

    def on_view(
        self,
        previous_chain: collections.abc.Sequence[decisions.ReplicaIncarnation] | None,
        chain: collections.abc.Sequence[decisions.ReplicaIncarnation],
        now: int,
        was_tail: bool = False,
    ) -> None:
        """Prepare for the reports of a new view.

        A core machine of the previous view that is lost or has restarted may have granted leases that no machine
        reports any more. Only the machine that was the tail knows of all of them, since it has answered every report
        on which a lease was granted; any other waits until such leases have expired.

        Args:
            previous_chain: The chain of the previous view; empty if this is the first view, None if not known here.
            chain: The chain of the new view.
            now: The time in µs on this machine's clock.
            was_tail: Whether this machine was the tail of the previous view.
        """
        if previous_chain == []:
            self.unknown_grants_until = now
        elif previous_chain is None or not (was_tail or set(previous_chain) <= set(chain)):
            self.unknown_grants_until = now + self.duration_us + DRIFT_US
        self.unreported_cores = {core for core, _ in chain}

    def record_report(self, core: str, leases: list[LeaseRow], now: int) -> None:
        """Record the leases that a core machine lists in a report in the present view."""
        self.unreported_cores.discard(core)
        for node, applied_index, remaining_us in leases:
            reported = GrantedLease(now + remaining_us + DRIFT_US, applied_index)
            known = self.holders.get(node, reported)
            self.holders[node] = GrantedLease(
                max(reported.expires_at_us, known.expires_at_us), max(reported.applied_index, known.applied_index)
            )

    def applied_by_holders(self, index: int, now: int) -> int:
        """The index, at most `index`, up to which every node that may hold a lease at `now` (µs) has applied the log.

        0 as long as a replica of the chain has not reported, or leases that are not reported may still run.
        """
        if self.unreported_cores or now < self.unknown_grants_until:
            return 0
        self.holders = {node: grant for node, grant in self.holders.items() if grant.expires_at_us > now}
        return min([index] + [grant.applied_index for grant in self.holders.values()])
