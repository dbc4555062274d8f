"""The membership: who is a member, which workers there are, and who does which role.

The tail issues it under its lease. It is never on a disk: a new tail starts from the
newest membership that anybody still holds, and its version begins with its view's number.
"""

from __future__ import annotations

import builtins
import collections.abc
import hashlib
import types
import typing

import loguru

import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import iriswheel.transport.message as message

if typing.TYPE_CHECKING:
    import iriswheel.consensus.view_consensus as view_consensus


SETTLE_US = 1 * units.SECOND_US  # a new tail listens this long before it issues
GRACE_US = 500 * units.MILLISECOND_US  # for a node whose session ended
SILENT_US = 3_500 * units.MILLISECOND_US  # for a node whose core fell silent
COPIES = 2
LINGER_US = 600 * units.SECOND_US  # a removed pool keeps its pool owner as long as claims are kept

log = loguru.logger.bind(part="roster")


def rendezvous_weight(key: str, identifier: str) -> bytes:
    """The weight of a member for a key; the heaviest one does the role.

    >>> rendezvous_weight("pool/desk", "n1") == rendezvous_weight("pool/desk", "n1")
    True
    """
    return hashlib.sha256(f"{key}\n{identifier}".encode()).digest()


def select_owner(key: str, members: list[message.Member]) -> list[message.Member]:
    """Members by weight for a key, the heaviest first.

    >>> ms = [message.Member(i, i, "z", "h", 1, 2) for i in "abc"]
    >>> [m.id for m in select_owner("pool/desk", ms)]
    ['c', 'a', 'b']
    """
    return sorted(members, key=lambda m: rendezvous_weight(key, m.id), reverse=True)


def group(key: str, members: list[message.Member], old: message.RoleAssignment | None) -> tuple[str, list[str]]:
    """Who holds a role and who keeps its copies: whoever had it keeps it.

    A new holder is taken from the old copies first, since those know the records.
    Copies stand in other zones than the holder's where there are such.

    >>> ms = [message.Member(i, i, z, "h", 1, 2) for i, z in ("an", "bn", "cs", "ds")]
    >>> group("pool/desk", ms, None)
    ('c', ['a', 'b'])
    >>> group("pool/desk", ms[1:], message.RoleAssignment("pool/desk", (1, 1), "a", ["d", "c"], []))
    ('d', ['b', 'c'])
    >>> group("pool/desk", ms[1:], message.RoleAssignment("pool/desk", (1, 2), "d", ["b", "c"], []))
    ('d', ['b', 'c'])
    """
    ranked = select_owner(key, members)
    by_id = {m.id: m for m in ranked}
    holder = old.holder if old is not None and old.holder in by_id else None
    if holder is None and old is not None:
        holder = next((i for i in old.copies if i in by_id), None)
    if holder is None:
        holder = ranked[0].id
    zone = by_id[holder].zone
    had = old.copies if old is not None else []
    rest = [m for m in ranked if m.id != holder]
    rest.sort(key=lambda m: (m.zone == zone, had.index(m.id) if m.id in had else len(had)))
    return holder, [m.id for m in rest[:COPIES]]


class MembershipManager:
    """Makes memberships while this core is the leased tail."""

    def __init__(
        self,
        runtime: scheduler.Runtime | types.SimpleNamespace,
        consensus: types.SimpleNamespace | view_consensus.ViewConsensus,
        pools: collections.abc.Callable[..., object],
    ) -> None:
        self.runtime = runtime
        self.consensus = consensus
        self.pools = pools
        self.latest: message.Membership | None = None  # the newest membership known here, ours or another's
        self.view = 0  # the view in which we issue
        self.since: int | None = None
        self.reports: dict[str, tuple[int, message.NodeSessionsReport]] = {}  # core -> (heard, Sessions)
        self.seen: dict[str, tuple[int, message.Member, str]] = {}  # member id -> (seen, Member, at which core)
        self.left: set[str] = set()
        self.listing: message.WorkerListing | None = None
        self.dropped: dict[typing.Any, typing.Any] = {}  # role of a pool that was removed -> since when
        self.updated = scheduler.Signal()

    def learn(self, membership: message.Membership | None) -> None:
        """Keep the newest membership."""
        if membership is not None and (self.latest is None or membership.version > self.latest.version):
            self.latest = membership
            self.updated.wake()

    def list(self, listing: message.WorkerListing | None) -> None:
        """Keep the newest worker list."""
        if listing is not None and (self.listing is None or listing.version > self.listing.version):
            self.listing = listing

    def take(self, m: message.NodeSessionsReport) -> None:
        """Take what a core tells of its nodes."""
        if not self.consensus.tail() or m.view != self.consensus.view.number:
            return
        now = self.runtime.now()
        if self.view != m.view:
            self.restart()
        if not self.issuing():
            self.learn(m.membership)
        self.list(m.listing)
        ids = {x.id for x in m.members}
        for x in m.members:
            if x.id not in self.left:
                self.seen[x.id] = (now, x, m.core)
        for i, (seen, x, core) in self.seen.items():
            if core != m.core or i in ids:
                continue
            other = next(
                (
                    c
                    for c, (at, report) in self.reports.items()
                    if c != m.core and now - at < SETTLE_US and any(y.id == i for y in report.members)
                ),
                "",
            )
            if other:  # it has moved to another core machine
                self.seen[i] = (seen, x, other)
            else:
                self.seen[i] = (min(seen, now - SILENT_US + GRACE_US), x, "")
        for i, (seen, x, core) in self.seen.items():
            if core and now - self.reports.get(core, (now,))[0] > SETTLE_US:
                self.seen[i] = (seen, x, "")
        self.reports[m.core] = (now, m)
        self.issue()

    def leave(self, identifier: str) -> None:
        """A node leaves of its own will."""
        self.left.add(identifier)
        self.seen.pop(identifier, None)
        self.issue()

    def restart(self) -> None:
        """Begin anew as tail of a view."""
        self.view = self.consensus.view.number
        self.since = None  # when the lease was first held in this view
        self.reports = {}
        self.seen = {}

    def sessions(self) -> int:
        """How many members have a session now."""
        return sum(1 for _, _, core in self.seen.values() if core)

    def issuing(self) -> bool:
        """Whether this tail has issued a membership in its view."""
        return self.latest is not None and self.latest.version[0] == self.view == self.consensus.view.number

    def issue(self) -> None:
        """Issue a membership if there is news; only ever under the lease."""
        now = self.runtime.now()
        if not self.consensus.leased() or self.view != self.consensus.view.number:
            return
        old = self.latest
        if not self.issuing():
            if self.since is None:
                self.since = now
            cores = {replica.id for replica in self.consensus.view.chain}
            if now - self.since < SETTLE_US and not cores <= set(self.reports):
                return
            if now - self.since < SETTLE_US // 2:
                return  # nodes need a moment to come back
            for m in old.members if old is not None else []:
                self.seen.setdefault(m.id, (now, m, ""))
            if old is not None and self.listing is None:
                self.listing = message.WorkerListing(old.workers, old.listed)
        if self.seen and not self.sessions():
            # no node at all is left: the core is more likely cut off than all nodes are
            # dead, and role assignments handed out now would reach nobody; each has a grace again
            for i, (_, m, core) in self.seen.items():
                self.seen[i] = (now - SILENT_US + GRACE_US, m, core)
        for i in [i for i, (seen, _, _) in self.seen.items() if now - seen > SILENT_US]:
            del self.seen[i]
        names = {}
        for _, (_, m, _) in sorted(self.seen.items(), key=lambda x: (x[1][0], x[0])):
            names[m.name] = m  # a node's newest life drives out the ones before
        members = sorted(names.values(), key=lambda m: m.name)
        count = old.version[1] + 1 if self.issuing() else 1
        version = (self.view, count)
        assignments = self.assign(version, members, old)
        listing = self.listing or message.WorkerListing([], (0, 0, 0))
        cores = list(self.consensus.view.voters)
        new = message.Membership(version, members, listing.workers, assignments, cores, listing.version)
        if self.issuing() and (new.members, new.workers, new.assignments, new.cores) == (
            old.members,
            old.workers,
            old.assignments,
            old.cores,
        ):
            return
        self.learn(new)

    def assign(
        self, version: tuple[int, int], members: builtins.list[message.Member], old: message.Membership | None
    ) -> builtins.list[message.RoleAssignment]:
        """The role assignments over the live members; a role that moves gets a new term."""
        had = {d.key: d for d in old.assignments} if old is not None else {}
        active, contested = set(), set()
        for _, m in self.reports.values():
            active |= {(key, tuple(term)) for key, term in m.active}
            contested |= {(key, tuple(term)) for key, term in m.contested}
        out = []
        if not members:
            return list(had.values())
        keys = ["list"] + [f"pool/{p}" for p in self.pools()]
        now = self.runtime.now()
        same = self.issuing() and members == old.members  # then every group of before is the group still
        for key in [k for k in had if k not in keys]:  # its claims must still be asked for
            if now - self.dropped.setdefault(key, now) < LINGER_US:
                keys.append(key)
        self.dropped = {k: at for k, at in self.dropped.items() if k in keys[1:] and k[5:] not in self.pools()}
        for key in keys:
            d = had.get(key)
            if d is not None and not d.active and (key, d.term) in active:
                d = message.RoleAssignment(key, d.term, d.holder, d.copies, d.base, True)
            if d is not None and (key, d.term) in contested:
                log.warning("Role {} gets a new term in place of {}: a newer one was lost.", key, d.term)
                base = [d.holder] + d.copies if d.active else d.base
                d = message.RoleAssignment(key, version, d.holder, d.copies, base)
            holder, copies = (d.holder, d.copies) if same and d is not None else group(key, members, d)
            if d is None:
                d = message.RoleAssignment(key, version, holder, copies, [])
            elif holder != d.holder or copies != d.copies:
                base = [d.holder] + d.copies if d.active else d.base
                d = message.RoleAssignment(key, version, holder, copies, base)
                log.info("Role {} goes to {} under term {}.", key, holder, version)
            out.append(d)
        return out
