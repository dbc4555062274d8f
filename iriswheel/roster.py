"""The roster: who is a member, which workers there are, and who does which duty.

The tail issues it under its lease. It is never on a disk: a new tail starts from the
newest roster that anybody still holds, and its stamp begins with its view's number.
"""

from __future__ import annotations

import builtins
import collections.abc
import hashlib
import types
import typing

import loguru

import iriswheel.machine as machine
import iriswheel.message as message

if typing.TYPE_CHECKING:
    import iriswheel.view as view


SETTLE_US = 1 * machine.SECOND  # a new tail listens this long before it issues
GRACE_US = 500 * machine.MILLI  # for a node whose session ended
SILENT_US = 3_500 * machine.MILLI  # for a node whose core fell silent
COPIES = 2
LINGER_US = 600 * machine.SECOND  # a removed pool keeps its warden as long as claims are kept

log = loguru.logger.bind(part="roster")


def weigh(key: str, ident: str) -> bytes:
    """The weight of a member for a key; the heaviest one does the duty.

    >>> weigh("pool/desk", "n1") == weigh("pool/desk", "n1")
    True
    """
    return hashlib.sha256(f"{key}\n{ident}".encode()).digest()


def elect(key: str, members: list[message.Member]) -> list[message.Member]:
    """Members by weight for a key, the heaviest first.

    >>> ms = [message.Member(i, i, "z", "h", 1, 2) for i in "abc"]
    >>> [m.id for m in elect("pool/desk", ms)]
    ['c', 'a', 'b']
    """
    return sorted(members, key=lambda m: weigh(key, m.id), reverse=True)


def group(key: str, members: list[message.Member], old: message.Duty | None) -> tuple[str, list[str]]:
    """Who holds a duty and who keeps its copies: whoever had it keeps it.

    A new holder is taken from the old copies first, since those know the records.
    Copies stand in other zones than the holder's where there are such.

    >>> ms = [message.Member(i, i, z, "h", 1, 2) for i, z in ("an", "bn", "cs", "ds")]
    >>> group("pool/desk", ms, None)
    ('c', ['a', 'b'])
    >>> group("pool/desk", ms[1:], message.Duty("pool/desk", (1, 1), "a", ["d", "c"], []))
    ('d', ['b', 'c'])
    >>> group("pool/desk", ms[1:], message.Duty("pool/desk", (1, 2), "d", ["b", "c"], []))
    ('d', ['b', 'c'])
    """
    ranked = elect(key, members)
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


class Issuer:
    """Makes rosters while this core is the leased tail.

    Example: `issuer = Issuer(mach, membership, pools)`, where pools() names the pools.
    """

    def __init__(
        self,
        mach: machine.Machine | types.SimpleNamespace,
        membership: types.SimpleNamespace | view.Membership,
        pools: collections.abc.Callable[..., object],
    ) -> None:
        self.mach = mach
        self.membership = membership
        self.pools = pools
        self.latest: message.Roster | None = None  # the newest roster known here, ours or another's
        self.view = 0  # the view in which we issue
        self.since: int | None = None
        self.heard: dict[str, tuple[int, message.Sessions]] = {}  # core -> (heard, Sessions)
        self.seen: dict[str, tuple[int, message.Member, str]] = {}  # member id -> (seen, Member, at which core)
        self.left: set[str] = set()
        self.listing: message.Listing | None = None
        self.dropped: dict[typing.Any, typing.Any] = {}  # duty of a pool that was removed -> since when
        self.news = machine.Signal()

    def learn(self, roster: message.Roster | None) -> None:
        """Keep the newest roster.

        Example: `issuer.learn(roster)`
        """
        if roster is not None and (self.latest is None or roster.stamp > self.latest.stamp):
            self.latest = roster
            self.news.wake()

    def list(self, listing: message.Listing | None) -> None:
        """Keep the newest worker list.

        Example: `issuer.list(listing)`
        """
        if listing is not None and (self.listing is None or listing.stamp > self.listing.stamp):
            self.listing = listing

    def take(self, m: message.Sessions) -> None:
        """Take what a core tells of its nodes.

        Example: `issuer.take(sessions)`
        """
        if not self.membership.tail() or m.view != self.membership.view.number:
            return
        now = self.mach.now()
        if self.view != m.view:
            self.restart()
        if not self.issuing():
            self.learn(m.roster)
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
                    for c, (at, told) in self.heard.items()
                    if c != m.core and now - at < SETTLE_US and any(y.id == i for y in told.members)
                ),
                "",
            )
            if other:  # it has moved to another core machine
                self.seen[i] = (seen, x, other)
            else:
                self.seen[i] = (min(seen, now - SILENT_US + GRACE_US), x, "")
        for i, (seen, x, core) in self.seen.items():
            if core and now - self.heard.get(core, (now,))[0] > SETTLE_US:
                self.seen[i] = (seen, x, "")
        self.heard[m.core] = (now, m)
        self.issue()

    def leave(self, ident: str) -> None:
        """A node leaves of its own will.

        Example: `issuer.leave("c0ffee")`
        """
        self.left.add(ident)
        self.seen.pop(ident, None)
        self.issue()

    def restart(self) -> None:
        """Begin anew as tail of a view.

        Example: `issuer.restart()`
        """
        self.view = self.membership.view.number
        self.since = None  # when the lease was first held in this view
        self.heard = {}
        self.seen = {}

    def sessions(self) -> int:
        """How many members have a session now.

        Example: `issuer.sessions()`
        """
        return sum(1 for _, _, core in self.seen.values() if core)

    def issuing(self) -> bool:
        """Whether this tail has issued a roster in its view.

        Example: `issuer.issuing()`
        """
        return self.latest is not None and self.latest.stamp[0] == self.view == self.membership.view.number

    def issue(self) -> None:
        """Issue a roster if there is news; only ever under the lease.

        Example: `issuer.issue()`
        """
        now = self.mach.now()
        if not self.membership.leased() or self.view != self.membership.view.number:
            return
        old = self.latest
        if not self.issuing():
            if self.since is None:
                self.since = now
            cores = {link.id for link in self.membership.view.chain}
            if now - self.since < SETTLE_US and not cores <= set(self.heard):
                return
            if now - self.since < SETTLE_US // 2:
                return  # nodes need a moment to come back
            for m in old.members if old is not None else []:
                self.seen.setdefault(m.id, (now, m, ""))
            if old is not None and self.listing is None:
                self.listing = message.Listing(old.workers, old.listed)
        if self.seen and not self.sessions():
            # no node at all is left: the core is more likely cut off than all nodes are
            # dead, and duties handed out now would reach nobody; each has a grace again
            for i, (_, m, core) in self.seen.items():
                self.seen[i] = (now - SILENT_US + GRACE_US, m, core)
        for i in [i for i, (seen, _, _) in self.seen.items() if now - seen > SILENT_US]:
            del self.seen[i]
        names = {}
        for _, (_, m, _) in sorted(self.seen.items(), key=lambda x: (x[1][0], x[0])):
            names[m.name] = m  # a node's newest life drives out the ones before
        members = sorted(names.values(), key=lambda m: m.name)
        count = old.stamp[1] + 1 if self.issuing() else 1
        stamp = (self.view, count)
        duties = self.assign(stamp, members, old)
        listing = self.listing or message.Listing([], (0, 0, 0))
        cores = list(self.membership.view.seats)
        new = message.Roster(stamp, members, listing.workers, duties, cores, listing.stamp)
        if self.issuing() and (new.members, new.workers, new.duties, new.cores) == (
            old.members,
            old.workers,
            old.duties,
            old.cores,
        ):
            return
        self.learn(new)

    def assign(
        self, stamp: tuple[int, int], members: builtins.list[message.Member], old: message.Roster | None
    ) -> builtins.list[message.Duty]:
        """The duties over the live members; a duty that moves gets a new term.

        Example: `issuer.assign((3, 1), members, old)`
        """
        had = {d.key: d for d in old.duties} if old is not None else {}
        seated, contested = set(), set()
        for _, m in self.heard.values():
            seated |= {(key, tuple(term)) for key, term in m.seated}
            contested |= {(key, tuple(term)) for key, term in m.contested}
        out = []
        if not members:
            return list(had.values())
        keys = ["list"] + [f"pool/{p}" for p in self.pools()]
        now = self.mach.now()
        same = self.issuing() and members == old.members  # then every group of before is the group still
        for key in [k for k in had if k not in keys]:  # its claims must still be asked for
            if now - self.dropped.setdefault(key, now) < LINGER_US:
                keys.append(key)
        self.dropped = {k: at for k, at in self.dropped.items() if k in keys[1:] and k[5:] not in self.pools()}
        for key in keys:
            d = had.get(key)
            if d is not None and not d.seated and (key, d.term) in seated:
                d = message.Duty(key, d.term, d.holder, d.copies, d.base, True)
            if d is not None and (key, d.term) in contested:
                log.warning("Duty {} gets a new term in place of {}: a newer one was lost.", key, d.term)
                base = [d.holder] + d.copies if d.seated else d.base
                d = message.Duty(key, stamp, d.holder, d.copies, base)
            holder, copies = (d.holder, d.copies) if same and d is not None else group(key, members, d)
            if d is None:
                d = message.Duty(key, stamp, holder, copies, [])
            elif holder != d.holder or copies != d.copies:
                base = [d.holder] + d.copies if d.seated else d.base
                d = message.Duty(key, stamp, holder, copies, base)
                log.info("Duty {} goes to {} under term {}.", key, holder, stamp)
            out.append(d)
        return out
