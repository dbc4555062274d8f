"""The load request: each node hears what all others have in flight at each worker.

A node tells its core what it has under way; core machines add up what their nodes say and tell
each other the sums; each node is told the sum of all but itself. Only what changed is said, a few
times a second, but a long prompt at once: who comes behind it should go elsewhere. So the cost
grows with the nodes, not with their square.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru

import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import iriswheel.transport.message as message

if typing.TYPE_CHECKING:
    import iriswheel.control.core as core
    import iriswheel.node.node as node
    import iriswheel.transport.wire as wire


TELL_US = 150 * units.MILLISECOND_US
IDLE_US = 500 * units.MILLISECOND_US  # a new session is noticed at the latest after so long
OLD_US = 2 * units.SECOND_US  # another core's sums count no longer without a word of it
HEAVY = 2_000  # tokens: a change by more is told at once
SUSPICION = 20  # percent of suspicion, likewise
NONE = (0, 0, 0)

log = loguru.logger.bind(part="loads")


def rows(
    table: dict[tuple[str, str], tuple[int, int, int]], keys: set[tuple[str, str]]
) -> dict[str, list[tuple[str, int, int, int]]]:
    """The rows of a table for some keys, as they travel.

    >>> rows({("p", "w1"): (1, 60, 0)}, {("p", "w1"), ("p", "w2")})
    {'p': [('w1', 1, 60, 0), ('w2', 0, 0, 0)]}
    """
    out = {}
    for pool, name in sorted(keys):
        out.setdefault(pool, []).append((name, *table.get((pool, name), NONE)))
    return out


def plus(have: tuple[int, int, int], more: tuple[int, int, int], less: tuple[int, int, int]) -> tuple[int, int, int]:
    """A row with something added and something taken away.

    >>> plus((3, 60, 0), (1, 0, 50), (2, 60, 0))
    (2, 0, 50)
    """
    return tuple(a + b - c for a, b, c in zip(have, more, less, strict=False))


def changes(old: dict[typing.Any, typing.Any], new: dict[typing.Any, typing.Any]) -> set[typing.Any]:
    """The keys whose values differ.

    >>> changes({"a": 1, "b": 2}, {"b": 2, "c": 3}) == {"a", "c"}
    True
    """
    return {k for k in old.keys() | new.keys() if old.get(k, NONE) != new.get(k, NONE)}


def heavy(was: tuple[int, int, int], now: tuple[int, int, int]) -> bool:
    """Whether a worker's load rose by much, or the suspicion of it.

    >>> heavy((1, 0, 0), (2, 13_000, 0)), heavy((2, 13_000, 0), (1, 0, 0)), heavy((1, 0, 0), (1, 0, 30))
    (True, False, True)
    """
    return now[1] - was[1] >= HEAVY or now[2] - was[2] >= SUSPICION


def update(table: dict[tuple[str, str], tuple[int, int, int]], m: message.LoadReport) -> set[tuple[str, str]]:
    """Bring a table up to date by a message; the keys that changed.

    >>> t = {}; update(t, message.LoadReport("n1", True, {"p": [("w1", 1, 60, 0)]})), t
    ({('p', 'w1')}, {('p', 'w1'): (1, 60, 0)})
    """
    last_reported = {(pool, name): tuple(values) for pool, some in m.rows.items() for name, *values in some}
    new = last_reported if m.complete else {**table, **last_reported}
    out = changes(table, new)
    table.clear()
    table.update({k: v for k, v in new.items() if v != NONE})
    return out


class LoadReporter:
    """What a node tells and hears."""

    def __init__(self, node: node.Node) -> None:
        self.node = node
        # what the core of this session was told; None: nothing yet
        self.last_reported: dict[tuple[str, str], tuple[int, int, int]] | None = None
        self.connection: wire.Connection | None = None
        self.soon = scheduler.Signal()  # tell at once
        self.some = scheduler.Signal()  # there is something to tell
        self.fresh = True

    def touch(self) -> None:
        """Something changed here; it is told in a moment."""
        if not self.fresh:
            self.fresh = True
            self.some.wake()

    def own(self) -> dict[tuple[str, str], tuple[int, int, int]]:
        """This node's own load."""
        return {
            (pool, name): tuple(values)
            for pool, place in self.node.gateway.forwarder.placements.items()
            for name, *values in place.export()
        }

    def tell(self) -> None:
        """Tell the core what changed here."""
        follower = self.node.follower
        if follower.session.connection is not self.connection:
            self.connection, self.last_reported = follower.session.connection, None
        if self.connection is None or not follower.session.stands():
            return
        own = self.own()
        changed = changes(self.last_reported or {}, own)
        if changed or self.last_reported is None:
            follower.session.tell(message.LoadReport(self.node.me.id, self.last_reported is None, rows(own, changed)))
            self.last_reported = own

    async def run(self) -> None:
        """Tell the core what is under way here; one task."""
        while not self.node.left:
            if not self.fresh and self.connection is self.node.follower.session.connection:
                await self.node.runtime.pause(self.some, IDLE_US)
                continue
            await self.node.runtime.pause(self.soon, TELL_US)
            self.fresh = False
            self.tell()
            self.fresh = self.fresh or any(v[2] for v in (self.last_reported or {}).values())  # suspicion fades

    def take(self, m: message.LoadReport) -> None:
        """Take the others' sums."""
        for pool, place in self.node.gateway.forwarder.placements.items():
            if m.complete or pool in m.rows:
                place.take(m.rows.get(pool, []), m.complete)


class LoadAggregator:
    """What a core machine adds up and passes on."""

    def __init__(self, core: core.Core) -> None:
        self.core = core
        self.tables: dict[str, dict[tuple[str, str], tuple[int, int, int]]] = {}  # node or core -> its table
        self.last_contact: dict[str, int] = {}  # core -> when
        self.sums: dict[tuple[str, str], tuple[int, int, int]] = {}  # of this core's nodes
        self.all: dict[tuple[str, str], tuple[int, int, int]] = {}  # of everybody
        # node or core -> keys that it has still to hear of; None: it knows nothing yet
        self.pending: dict[str, set[tuple[str, str]] | None] = {}

    def take(self, connection: wire.Connection, m: message.LoadReport) -> None:
        """Take a node's own load, or another core's sums; a long prompt is passed on at once."""
        node = connection is not None and connection.node_session is not None
        if not node:
            self.last_contact[m.sender] = self.core.runtime.now()
        before = {k: self.all.get(k, NONE) for k in [(p, r[0]) for p, some in m.rows.items() for r in some]}
        self.change(m.sender, node, m)
        if any(heavy(was, self.all.get(k, NONE)) for k, was in before.items()):
            for who in self.targets():
                if who != m.sender:
                    self.tell(who, before.keys())

    def change(self, who: str, node: bool, m: message.LoadReport) -> None:
        """Bring the sums up to date by what one says."""
        table = self.tables.setdefault(who, {})
        old = dict(table)
        for k in update(table, m):
            for sums in [self.all, self.sums] if node else [self.all]:
                was, now, have = old.get(k, NONE), table.get(k, NONE), sums.get(k, NONE)
                sums[k] = plus(have, now, was)
                if sums[k] == NONE:
                    del sums[k]
            for other, keys in self.pending.items():
                if other != who and keys is not None:
                    keys.add(k)

    def targets(self) -> list[str]:
        """Who is told: the nodes with a session here, and the other cores."""
        cores = [s.id for s in self.core.voters() if s.id != self.core.consensus.me.id]
        return [*self.core.node_sessions, *cores]

    def tell(self, who: str, some: collections.abc.Iterable[tuple[str, str]] | None = None) -> None:
        """Tell one what is new to it: all of it, or some keys."""
        core, node_session = self.core, self.core.node_sessions.get(who)
        keys = self.pending.setdefault(who, None)
        whole = keys is None
        sent_keys = set(self.all) if whole else keys & set(some) if some is not None else set(keys)
        if (
            node_session is not None
            and (not node_session.connection.up or node_session.connection.full)
            or not sent_keys
            and not whole
        ):
            return
        if node_session is not None:
            own = self.tables.get(who, {})
            table = {}
            for k in sent_keys:
                table[k] = plus(self.all.get(k, NONE), NONE, own.get(k, NONE))
            node_session.connection.tell(message.LoadReport(core.consensus.me.id, whole, rows(table, sent_keys)))
        else:
            s = core.consensus.voter(who)
            if s is None:
                return
            core.runtime.spawn(
                core.peers.tell(
                    s.host, s.port, message.LoadReport(core.consensus.me.id, whole, rows(self.sums, sent_keys))
                ),
                log,
            )
        self.pending[who] = set() if whole else keys - sent_keys

    async def run(self) -> None:
        """Tell what changed, a few times a second; one task."""
        core, heartbeats = self.core, 0
        while True:
            await core.runtime.sleep(TELL_US)
            now = core.runtime.now()
            heartbeats += 1
            voters = {s.id for s in core.voters()}
            for who in list(self.tables):
                if who in self.last_contact:
                    gone = who not in voters or now - self.last_contact[who] > OLD_US
                else:
                    gone = who not in core.node_sessions
                if gone:
                    self.change(who, who not in self.last_contact, message.LoadReport(who, True, {}))
                    del self.tables[who]
                    self.last_contact.pop(who, None)
            for who in [w for w in self.pending if w not in core.node_sessions and w not in voters]:
                del self.pending[who]
            for who in self.targets():
                if who in voters and not heartbeats % 6:
                    self.pending[who] = None  # all of it: a word may have been lost with a link
                self.tell(who)
