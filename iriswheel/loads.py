"""The load exchange: each node hears what all others have in flight at each worker.

A node tells its core what it has under way; core machines add up what their nodes say and tell
each other the sums; each node is told the sum of all but itself. Only what changed is said, a few
times a second, but a long prompt at once: who comes behind it should go elsewhere. So the cost
grows with the nodes, not with their square.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru

import iriswheel.machine as machine
import iriswheel.message as message

if typing.TYPE_CHECKING:
    import iriswheel.core as core_module
    import iriswheel.node as node_module
    import iriswheel.wire as wire


TELL_US = 150 * machine.MILLI
IDLE_US = 500 * machine.MILLI  # a new session is noticed at the latest after so long
OLD_US = 2 * machine.SECOND  # another core's sums count no longer without a word of it
HEAVY = 2_000  # tokens: a change by more is told at once
ILL = 20  # percent of suspicion, likewise
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
    return now[1] - was[1] >= HEAVY or now[2] - was[2] >= ILL


def update(table: dict[tuple[str, str], tuple[int, int, int]], m: message.Loads) -> set[tuple[str, str]]:
    """Bring a table up to date by a message; the keys that changed.

    >>> t = {}; update(t, message.Loads("n1", True, {"p": [("w1", 1, 60, 0)]})), t
    ({('p', 'w1')}, {('p', 'w1'): (1, 60, 0)})
    """
    said = {(pool, name): tuple(vals) for pool, some in m.rows.items() for name, *vals in some}
    new = said if m.whole else {**table, **said}
    out = changes(table, new)
    table.clear()
    table.update({k: v for k, v in new.items() if v != NONE})
    return out


class NodeSide:
    """What a node tells and hears.

    Example: `mach.spawn(loads.NodeSide(node).run())`
    """

    def __init__(self, node: node_module.Node) -> None:
        self.node = node
        # what the core of this session was told; None: nothing yet
        self.said: dict[tuple[str, str], tuple[int, int, int]] | None = None
        self.link: wire.Connection | None = None
        self.soon = machine.Signal()  # tell at once
        self.some = machine.Signal()  # there is something to tell
        self.fresh = True

    def touch(self) -> None:
        """Something changed here; it is told in a moment.

        Example: `place.told_some = side.touch`
        """
        if not self.fresh:
            self.fresh = True
            self.some.wake()

    def own(self) -> dict[tuple[str, str], tuple[int, int, int]]:
        """This node's own load.

        Example: `side.own()`
        """
        return {
            (pool, name): tuple(vals)
            for pool, place in self.node.door.forwarder.places.items()
            for name, *vals in place.told()
        }

    def tell(self) -> None:
        """Tell the core what changed here.

        Example: `side.tell()`
        """
        fol = self.node.follower
        if fol.session.connection is not self.link:
            self.link, self.said = fol.session.connection, None
        if self.link is None or not fol.session.stands():
            return
        own = self.own()
        changed = changes(self.said or {}, own)
        if changed or self.said is None:
            fol.session.tell(message.Loads(self.node.me.id, self.said is None, rows(own, changed)))
            self.said = own

    async def run(self) -> None:
        """Tell the core what is under way here; one task.

        Example: `mach.spawn(side.run())`
        """
        while not self.node.left:
            if not self.fresh and self.link is self.node.follower.session.connection:
                await self.node.mach.pause(self.some, IDLE_US)
                continue
            await self.node.mach.pause(self.soon, TELL_US)
            self.fresh = False
            self.tell()
            self.fresh = self.fresh or any(v[2] for v in (self.said or {}).values())  # suspicion fades

    def take(self, m: message.Loads) -> None:
        """Take the others' sums.

        Example: `side.take(message.Loads("c0ffee", True, {"desk": [("w1", 3, 900, 0)]}))`
        """
        for pool, place in self.node.door.forwarder.places.items():
            if m.whole or pool in m.rows:
                place.take(m.rows.get(pool, []), m.whole)


class CoreSide:
    """What a core machine adds up and passes on.

    Example: `mach.spawn(loads.CoreSide(core).run())`
    """

    def __init__(self, core: core_module.Core) -> None:
        self.core = core
        self.tables: dict[str, dict[tuple[str, str], tuple[int, int, int]]] = {}  # node or core -> its table
        self.heard: dict[str, int] = {}  # core -> when
        self.sums: dict[tuple[str, str], tuple[int, int, int]] = {}  # of this core's nodes
        self.all: dict[tuple[str, str], tuple[int, int, int]] = {}  # of everybody
        # node or core -> keys that it has still to hear of; None: it knows nothing yet
        self.pending: dict[str, set[tuple[str, str]] | None] = {}

    def take(self, link: wire.Connection, m: message.Loads) -> None:
        """Take a node's own load, or another core's sums; a long prompt is passed on at once.

        Example: `side.take(link, message.Loads("n1-c0ffee", True, {}))`
        """
        node = link is not None and link.post is not None
        if not node:
            self.heard[m.sender] = self.core.mach.now()
        before = {k: self.all.get(k, NONE) for k in [(p, r[0]) for p, some in m.rows.items() for r in some]}
        self.change(m.sender, node, m)
        if any(heavy(was, self.all.get(k, NONE)) for k, was in before.items()):
            for who in self.targets():
                if who != m.sender:
                    self.tell(who, before.keys())

    def change(self, who: str, node: bool, m: message.Loads) -> None:
        """Bring the sums up to date by what one says.

        Example: `side.change("n1-c0ffee", True, message.Loads("n1-c0ffee", True, {}))`
        """
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
        """Who is told: the nodes with a session here, and the other cores.

        Example: `side.targets()`
        """
        cores = [s.id for s in self.core.seats() if s.id != self.core.membership.me.id]
        return [*self.core.node_sessions, *cores]

    def tell(self, who: str, some: collections.abc.Iterable[tuple[str, str]] | None = None) -> None:
        """Tell one what is new to it: all of it, or some keys.

        Example: `side.tell("n1-c0ffee")`
        """
        core, post = self.core, self.core.node_sessions.get(who)
        keys = self.pending.setdefault(who, None)
        whole = keys is None
        told = set(self.all) if whole else keys & set(some) if some is not None else set(keys)
        if post is not None and (not post.link.up or post.link.full) or not told and not whole:
            return
        if post is not None:
            own = self.tables.get(who, {})
            table = {}
            for k in told:
                table[k] = plus(self.all.get(k, NONE), NONE, own.get(k, NONE))
            post.link.tell(message.Loads(core.membership.me.id, whole, rows(table, told)))
        else:
            s = core.membership.seat(who)
            if s is None:
                return
            core.mach.spawn(
                core.peers.tell(s.host, s.port, message.Loads(core.membership.me.id, whole, rows(self.sums, told))),
                log,
            )
        self.pending[who] = set() if whole else keys - told

    async def run(self) -> None:
        """Tell what changed, a few times a second; one task.

        Example: `mach.spawn(side.run())`
        """
        core, beats = self.core, 0
        while True:
            await core.mach.sleep(TELL_US)
            now = core.mach.now()
            beats += 1
            seats = {s.id for s in core.seats()}
            for who in list(self.tables):
                if who in self.heard:
                    gone = who not in seats or now - self.heard[who] > OLD_US
                else:
                    gone = who not in core.node_sessions
                if gone:
                    self.change(who, who not in self.heard, message.Loads(who, True, {}))
                    del self.tables[who]
                    self.heard.pop(who, None)
            for who in [w for w in self.pending if w not in core.node_sessions and w not in seats]:
                del self.pending[who]
            for who in self.targets():
                if who in seats and not beats % 6:
                    self.pending[who] = None  # all of it: a word may have been lost with a link
                self.tell(who)
