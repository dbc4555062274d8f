"""Leases that bound how long a node may route by a configuration that is no longer the newest.

A lease starts at its holder and is measured on the holder's clock. A node puts its own time
on every heartbeat to its core machine; a core machine puts its own time on every report to
the tail. The tail sends back the newest time that it got from each core machine, and a core
machine the newest time that it got from each node, with what is left of its own lease:

    node --(node's time)--> core machine --(core's time)--> tail
    node <--(node's time, what is left)-- core machine <--(core's time)-- tail

So a hop that has not heard the tail itself has nothing left to pass on, a message that was
held up on its way shortens a lease instead of extending it, and no two clocks are compared.
Clocks must run at the same rate, within DRIFT_US in a lease; no time of day is used. The
option `lease_us` of the core machines says how long a lease is; it must be the same on all.

The tail acknowledges a change once every node that may hold a lease has applied it or its
lease has run out. A new tail does not know the leases of a core machine that is gone; it
waits for one lease from the time at which it learned of its epoch.
"""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    from iriswheel.consensus import decisions

DRIFT_US = 50 * units.MILLISECOND_US
NODE_SILENCE_LIMIT_US = (
    700 * units.MILLISECOND_US
)  # a node that was not heard for so long gets no lease before it is listed again


LeaseRow: typing.TypeAlias = tuple[str, int, int]  # node, log index applied, how long it may hold a lease (µs)


class NodeLease:
    """A node's lease, on the node's clock.

    >>> lease = NodeLease()
    >>> lease.renew(sent_at=1_000_000, remaining_us=500_000)
    >>> lease.is_valid(1_400_000), lease.is_valid(1_500_000)
    (True, False)
    """

    def __init__(self) -> None:
        self.expires_at_us = 0

    def renew(self, sent_at: int, remaining_us: int) -> None:
        """Take a core machine's answer to the heartbeat that this node sent at `sent_at` (µs)."""
        if sent_at > 0 and remaining_us > 0:
            self.expires_at_us = max(self.expires_at_us, sent_at + remaining_us)

    def is_valid(self, now: int) -> bool:
        """Whether the lease runs at `now` (µs)."""
        return now < self.expires_at_us


class GrantedLease(msgspec.Struct):
    """What one node may hold: until when (µs, local clock), and the log index that it has applied."""

    expires_at_us: int
    applied: int


class SessionLease(msgspec.Struct):
    """What a core machine knows of a node that has a session: times in µs on the core's clock."""

    applied: int  # the log index that the node has applied, -1 before its first
    last_contact_at: int  # when its newest heartbeat came
    listed_at: int | None = None  # since which report to the tail it is listed as one that may get a lease


class CoreLease:
    """A core machine's own lease from the tail, and what it passes on to nodes.

    A node gets a lease only after the tail has answered a report that lists it: from then on
    the tail waits for it, and this machine has every change acknowledged before.

    >>> core = CoreLease(2_000_000)
    >>> core.record_heartbeat("n1", 7, now=1_000_000)
    >>> core.renew(sent_at=900_000); core.grant("n1", now=1_010_000)
    0
    >>> core.rows_to_report(now=1_020_000)
    [('n1', 7, 2000000)]
    >>> core.renew(sent_at=1_020_000); core.grant("n1", now=1_030_000)
    1990000
    >>> core.rows_to_report(now=1_800_000)  # silent for a while: listed with what it may hold, and no longer eligible
    [('n1', 7, 1200000)]
    >>> core.renew(sent_at=1_800_000); core.grant("n1", now=1_810_000)
    0
    >>> core.end_session("n1"); core.rows_to_report(now=2_000_000), core.rows_to_report(now=3_000_000)
    ([('n1', 7, 1000000)], [])
    """

    def __init__(self, duration_us: int) -> None:
        self.duration_us = duration_us  # of a lease, in µs
        self.expires_at_us = 0
        self.answered_report_at = 0
        self.sessions: dict[str, SessionLease] = {}
        self.grants: dict[str, GrantedLease] = {}

    def renew(self, sent_at: int) -> None:
        """The tail sent back the time (µs) of a report of this core machine."""
        if sent_at > self.answered_report_at:
            self.answered_report_at = sent_at
            self.expires_at_us = sent_at + self.duration_us

    def record_heartbeat(self, node: str, applied: int, now: int) -> None:
        """A node's heartbeat came at `now` (µs); it has applied the configuration up to a log index."""
        session = self.sessions.get(node)
        if session is None:
            self.sessions[node] = SessionLease(applied, now)
        else:
            session.applied, session.last_contact_at = max(applied, session.applied), now
        if node in self.grants:
            self.grants[node].applied = max(applied, self.grants[node].applied)

    def end_session(self, node: str) -> None:
        """A node's session ended; what was granted to it may still run."""
        self.sessions.pop(node, None)

    def grant(self, node: str, now: int) -> int:
        """What is left (µs) at `now` of a lease for a node, noted as granted; 0 where it may not have one."""
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
            max(expires_at_us, old.expires_at_us if old is not None else 0), session.applied
        )
        return self.expires_at_us - now

    def rows_to_report(self, now: int) -> list[LeaseRow]:
        """The rows of a report sent at `now` (µs).

        A node with a session may get one up to a whole lease before the next report is answered.
        """
        rows = {}
        self.grants = {node: grant for node, grant in self.grants.items() if grant.expires_at_us > now}
        for node, grant in self.grants.items():
            rows[node] = (node, grant.applied, grant.expires_at_us - now)
        for node, session in self.sessions.items():
            if session.applied < 0:
                continue
            if now - session.last_contact_at > NODE_SILENCE_LIMIT_US:
                session.listed_at = None
                continue
            if session.listed_at is None:
                session.listed_at = now
            rows[node] = (node, session.applied, self.duration_us)
        return [row for _, row in sorted(rows.items())]


class LeaseHolders:
    """At a core machine that may become the tail: who may hold a lease, and how far each has come.

    `on_view` is called for each view; `record_heartbeat` with each report; `applied_by_holders` says how far up to
    a log index all holders have come.

    >>> holders = LeaseHolders(2_000_000, now=0)
    >>> holders.on_view([], [("a", "1"), ("b", "1")], now=0)
    >>> holders.record_heartbeat("a", [("n1", 4, 500_000)], now=10)
    >>> holders.applied_by_holders(5, now=20)
    0
    >>> holders.record_heartbeat("b", [], now=30); holders.applied_by_holders(5, now=40)
    4
    >>> holders.applied_by_holders(5, now=600_000)
    5
    """

    def __init__(self, duration_us: int, now: int) -> None:
        self.duration_us = duration_us  # of a lease, in µs
        self.unknown_grants_until = now + duration_us + DRIFT_US
        self.holders: dict[str, GrantedLease] = {}
        self.unreported_cores: set[str] = set()

    def on_view(
        self,
        before: collections.abc.Sequence[decisions.ReplicaIncarnation] | None,
        chain: collections.abc.Sequence[decisions.ReplicaIncarnation],
        now: int,
        was_tail: bool = False,
    ) -> None:
        """A view was agreed whose chain is `chain`, after one whose chain was `before` (None: not known here).

        An empty `before` says that this is the fleet's first view.
        A core machine of the view before that is gone, or has restarted, may have granted leases
        that nobody can tell of, but for the one that was the tail (`was_tail`): it has answered
        every report on which a lease was granted.
        """
        if before == []:
            self.unknown_grants_until = now
        elif before is None or not (was_tail or set(before) <= set(chain)):
            self.unknown_grants_until = now + self.duration_us + DRIFT_US
        self.unreported_cores = {core for core, _ in chain}

    def record_heartbeat(self, core: str, leases: list[LeaseRow], now: int) -> None:
        """Record a core machine's report in the present view: the leases that it granted."""
        self.unreported_cores.discard(core)
        for node, applied, remaining_us in leases:
            reported = GrantedLease(now + remaining_us + DRIFT_US, applied)
            known = self.holders.get(node, reported)
            self.holders[node] = GrantedLease(
                max(reported.expires_at_us, known.expires_at_us), max(reported.applied, known.applied)
            )

    def applied_by_holders(self, index: int, now: int) -> int:
        """How far up to a log index every node with a possible lease at `now` (µs) has come; 0 if unknown."""
        if self.unreported_cores or now < self.unknown_grants_until:
            return 0
        self.holders = {node: grant for node, grant in self.holders.items() if grant.expires_at_us > now}
        return min([index] + [grant.applied for grant in self.holders.values()])
