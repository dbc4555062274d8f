"""The load exchange: each node hears, a few times a second, what all others have in flight.

A node tells its core what it has under way at each worker; core machines add up what their nodes
say and tell each other the sums; each node is told the sum of all but itself. What does not change
is not said again, so the cost grows with the nodes, not with their square.
"""

import loguru

import iriswheel.machine as machine
import iriswheel.message as message

TELL_US = 100 * machine.MILLI
OLD_US = 2 * machine.SECOND  # another core's sums older than this count for nothing
AGAIN_US = 500 * machine.MILLI  # said again although unchanged, so that nobody takes it for old

log = loguru.logger.bind(part="loads")


def add(into, rows, sign=1):
    """Add rows by pool into sums.

    >>> sums = {}; add(sums, {"p": [("w1", 2, 90)]}); add(sums, {"p": [("w1", 1, 30)]}, -1); sums
    {'p': {'w1': [1, 60]}}
    """
    for pool, some in rows.items():
        by = into.setdefault(pool, {})
        for name, running, unread in some:
            have = by.setdefault(name, [0, 0])
            have[0] += sign * running
            have[1] += sign * unread


def rows(sums):
    """Sums as they travel; workers with nothing in flight are left out.

    >>> rows({"p": {"w1": [1, 60], "w2": [0, 0]}})
    {'p': [('w1', 1, 60)]}
    """
    out = {p: [(n, a, b) for n, (a, b) in sorted(by.items()) if a > 0 or b > 0] for p, by in sorted(sums.items())}
    return {p: some for p, some in out.items() if some}


class Teller:
    """Says something when it is due: changed, or not said for a while.

    >>> t = Teller(); t.due(1, {"p": []}), t.due(2, {"p": []}), t.due(2 + AGAIN_US, {"p": []})
    (True, False, True)
    """

    def __init__(self):
        self.last, self.at = {}, -AGAIN_US

    def due(self, now, val):
        """Whether to say this now. An empty one that was said before stays unsaid.

        >>> Teller().due(0, {})
        False
        """
        if val == self.last and (not val or now - self.at < AGAIN_US):
            return False
        self.last, self.at = val, now
        return True


class NodeSide:
    """What a node tells and hears.

    Example: `mach.spawn(loads.NodeSide(node).run())`
    """

    def __init__(self, node):
        self.node = node
        self.teller = Teller()

    def told(self):
        """This node's own load by pool.

        Example: `side.told()`
        """
        out = {p: place.told() for p, place in sorted(self.node.door.carrier.places.items())}
        return {p: some for p, some in out.items() if some}

    async def run(self):
        """Tell the core what is under way here; one task.

        Example: `mach.spawn(side.run())`
        """
        while not self.node.left:
            await self.node.mach.sleep(TELL_US)
            if not self.node.follower.core_stands():
                self.teller = Teller()
                continue
            mine = self.told()
            if self.teller.due(self.node.mach.now(), mine):
                self.node.follower.tell_core(message.Loads(self.node.me.id, mine))

    def take(self, m):
        """Take the others' sums.

        Example: `side.take(message.Loads("c0ffee", {"desk": [("w1", 3, 900)]}))`
        """
        for pool, place in self.node.door.carrier.places.items():
            place.take(m.rows.get(pool, []))


class CoreSide:
    """What a core machine adds up and passes on.

    Example: `mach.spawn(loads.CoreSide(core).run())`
    """

    def __init__(self, core):
        self.core = core
        self.nodes = {}  # member -> rows
        self.cores = {}  # core -> (when, rows)
        self.tellers = {}  # node or core -> Teller

    def take(self, link, m):
        """Take a node's own load, or another core's sums.

        Example: `side.take(link, message.Loads("n1-c0ffee", {}))`
        """
        if link is not None and link.post is not None:
            self.nodes[m.sender] = m.rows
        else:
            self.cores[m.sender] = (self.core.mach.now(), m.rows)

    async def run(self):
        """Add up and tell, ten times a second; one task.

        Example: `mach.spawn(side.run())`
        """
        core = self.core
        while True:
            await core.mach.sleep(TELL_US)
            now = core.mach.now()
            self.nodes = {i: r for i, r in self.nodes.items() if i in core.posts}
            self.cores = {i: (at, r) for i, (at, r) in self.cores.items() if now - at < OLD_US}
            self.tellers = {i: t for i, t in self.tellers.items()
                            if i in core.posts or any(s.id == i for s in core.seats())}
            here = {}
            for r in self.nodes.values():
                add(here, r)
            mine = rows(here)
            for s in core.seats():
                if s.id != core.council.me.id and self.tellers.setdefault(s.id, Teller()).due(now, mine):
                    core.mach.spawn(core.neighbours.tell(s.host, s.port, message.Loads(core.council.me.id, mine)), log)
            for _, r in self.cores.values():
                add(here, r)
            for ident, post in list(core.posts.items()):
                own = self.nodes.get(ident, {})
                add(here, own, -1)
                val = rows(here)
                add(here, own)
                if post.link.up and not post.link.full and self.tellers.setdefault(ident, Teller()).due(now, val):
                    post.link.tell(message.Loads(core.council.me.id, val))
