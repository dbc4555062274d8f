"""Evictions in the workers' prefix caches: noticed across all nodes, told to operators, and acted on.

Nobody says what a worker's cache holds. A node judges by the time to a long prompt's first event whether
the shared parts before its own were read (a miss) or found (a hit). What one node sees is a part of
the traffic, so its samples go by way of its core to the tail, which knows what was read where before and so
tells an eviction from a first reading. While one-off documents (a scan, to the cache) evict shared parts, the
tail partitions the pool: scans go to a few of the workers that read long prompts, and the shared parts'
homes to the others. The partition travels in the roster, so all nodes have the same.
"""

import collections

import loguru

import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.placement as placement

TELL_US = 1 * machine.SECOND
SHARED = 4_000  # tokens of shared parts from which on the time tells a hit from a miss
HIT, MISS, MISS_MOST = 0.4, 0.65, 2.0  # of the time that reading the shared parts takes
OWN_ERROR, WAIT_ERROR = 0.2, 0.3  # how wrong the parts of a forecast may be
MOST_WAIT = 1.0  # of that time; behind a longer queue no miss is told
AGAIN_US = 20 * machine.SECOND  # that the same parts are at a worker is told so often
MARGIN_US = 200 * machine.MILLI  # prompts sent while another reads the same parts are first readings too
IN_USE_US = 60 * machine.SECOND  # shared parts not seen for so long are not in use
HALF_US = 20 * machine.SECOND  # sums halve in so long
BEGIN = 20_000  # tokens evicted and read anew at one worker, as a fading sum, at which pressure begins
END = 5_000  # and below which it ends
HOLD_US = 15 * machine.SECOND  # pressure lasts at least so long
WARM_US = 30 * machine.SECOND  # what is heard for less tells no scan from first readings
SCAN = 2  # a route is a scan if its one-off tokens are so many times its shared ones that were found
PART = 0.3  # and that share of all one-off tokens
FILL = 0.75  # of the other workers' memory may hold shared parts
NODE_ROWS, CORE_ROWS = 256, 2_048  # told at once at most, the oldest fall out
TOLD, KNOWN = 2_048, 16_384  # shared parts at workers, remembered by a node, by the tail

log = loguru.logger.bind(part="evict")


def judge(took, waiting, own, shared, base):
    """Whether a prompt's shared parts were found in the cache: "hit", "miss", or "" where that can't be told.

    `took` microseconds to the first event, of which `waiting` were expected before the prompt's turn, and
    `base` pass at any prompt; `own` tokens are read in any case, `shared` ones unless they are found. Waiting
    only adds, so what came too soon for reading was a hit however long the queue was thought to be; a miss
    must be plain even if the queue was longer than thought.

    >>> judge(150_000, 0, 3_700, 13_300, 70_000), judge(410_000, 0, 3_700, 13_300, 70_000)
    ('hit', 'miss')
    >>> judge(150_000, 900_000, 3_700, 13_300, 70_000), judge(710_000, 300_000, 3_700, 13_300, 70_000)
    ('hit', '')
    """
    gap, own_us = shared * 1000 / placement.READ_RATE, own * 1000 / placement.READ_RATE
    if shared < SHARED:
        return ""
    if (took - base - own_us * (1 - OWN_ERROR)) / gap < HIT:
        return "hit"
    part = (took - base - own_us * (1 + OWN_ERROR) - waiting * (1 + WAIT_ERROR)) / gap
    return "miss" if waiting < gap * MOST_WAIT and MISS < part < MISS_MOST else ""


class Sum:
    """Sums by key that fade: a half is left after HALF_US. Not more than `most` keys, the latest added to.

    >>> s = Sum(); s.add("a", 800, 0); round(s.get("a", HALF_US)), s.get("b", 0)
    (400, 0.0)
    """

    def __init__(self, most=4_096):
        self.most = most
        self.rows = collections.OrderedDict()  # key -> (value, when)

    def get(self, key, now):
        """What is left of a key's sum."""
        val, at = self.rows.get(key, (0.0, now))
        return val * 0.5 ** ((now - at) / HALF_US)

    def add(self, key, val, now):
        """Add to a key's sum."""
        self.rows[key] = (self.get(key, now) + val, now)
        self.rows.move_to_end(key)
        if len(self.rows) > self.most:
            self.rows.popitem(last=False)

    def by(self, place, now):
        """The sums by one place of their keys.

        >>> s = Sum(); s.add(("w1", "a"), 3, 0); s.add(("w2", "a"), 4, 0); s.by(1, 0)
        {'a': 7.0}
        """
        out = {}
        for key in self.rows:
            out[key[place]] = out.get(key[place], 0) + self.get(key, now)
        return out


class NodeSide:
    """What a node tells of long prompts: each miss, where shared parts are now, and how many tokens were whose.

    Example: `mach.spawn(eviction.NodeSide(node).run())`
    """

    def __init__(self, node):
        self.node = node
        self.told = collections.OrderedDict()  # (pool, worker, key) -> when a hit there was told
        self.rows = {}  # pool -> deque of (worker, key, route, tokens, miss, sent, first)
        self.volume = {}  # pool -> {(worker, route): [own tokens, shared tokens]}
        self.tail = 0  # the view of the roster that these were told under: a new tail knows nothing
        self.counts = {"hit": 0, "miss": 0, "": 0}

    def first(self, x, worker, sent, waiting):
        """The first event of a prompt came: judge it if it is long.

        Example: `side.first(passage, "w1", flow.began, flow.waiting)`
        """
        shared = sum(x.ask.sizes[:-1])
        if x.own + shared < placement.LONG:
            return
        now = self.node.mach.now()
        route = x.route.host + x.route.path
        sums = self.volume.setdefault(x.pool_name, {}).setdefault((worker, route), [0, 0])
        sums[0] += x.own
        sums[1] += shared
        if shared < SHARED:
            return
        found = judge(now - sent, waiting, x.own, shared, x.placement.base_us)
        self.counts[found] += 1
        at = (x.pool_name, worker, x.keys[-2])
        if found != "miss" and now - self.told.get(at, -AGAIN_US) < AGAIN_US:
            return
        self.told[at] = now  # hit or not: the parts are there now
        self.told.move_to_end(at)
        if len(self.told) > TOLD:
            self.told.popitem(last=False)
        rows = self.rows.setdefault(x.pool_name, collections.deque(maxlen=NODE_ROWS))
        rows.append((worker, x.keys[-2], route, shared, found == "miss", sent, now))

    def part(self):
        """Let placement go by the partitions of the roster.

        Example: `side.part()`
        """
        for pool, place in self.node.door.carrier.places.items():
            place.partition = self.node.follower.roster.partitions.get(pool)

    def tell(self):
        """Tell the core what is new.

        Example: `side.tell()`
        """
        fol, now = self.node.follower, self.node.mach.now()
        if fol.roster.stamp[0] != self.tail:
            self.tail = fol.roster.stamp[0]
            self.told.clear()
        if fol.link is None or not fol.core_stands():
            return
        for msg in pack(self.rows, self.volume, now):
            fol.tell_core(msg)
        self.rows, self.volume = {}, {}

    async def run(self):
        """Tell the core, once a second; one task.

        Example: `mach.spawn(side.run())`
        """
        while not self.node.left:
            await self.node.mach.sleep(TELL_US)
            self.part()
            self.tell()


def pack(rows, volume, now):
    """The messages that tell of rows and volume; times travel as ages.

    >>> pack({"p": [("w1", b"k", "a/", 9_000, True, 1_000, 301_000)]}, {"p": {("w1", "a/"): [1, 2]}}, 401_000)
    [Readings(pool='p', rows=[('w1', b'k', 'a/', 9000, True, 400, 100)], volume=[('w1', 'a/', 1, 2)])]
    """
    return [message.Readings(
        pool, [(*row, (now - sent) // 1000, (now - first) // 1000) for *row, sent, first in rows.get(pool, ())],
        [(w, route, *sums) for (w, route), sums in sorted(volume.get(pool, {}).items())])
        for pool in sorted(rows.keys() | volume.keys())]


class Ledger:
    """What the tail knows of one pool: which shared parts were read where, and whose tokens drove them out.

    Example: `led = Ledger("desk")`; `led.take(readings, now)`; `led.decide(now, names, 440_000)`
    """

    def __init__(self, pool, partition=None, now=0):
        self.pool = pool
        self.known = collections.OrderedDict()  # (worker, key) -> (when last seen, tokens, route)
        self.evicted, self.fresh, self.own, self.shared = Sum(), Sum(), Sum(), Sum()  # by (worker, route)
        self.total = collections.Counter()  # (worker, route) -> tokens evicted in all
        self.began = now if partition is not None else None  # when pressure began
        self.level = 0.0  # the most one-off tokens of the partition's routes, as a fading sum
        self.partition = partition  # message.Partition, or None
        self.names = ()  # the workers that it was made for
        self.since = None  # when the first readings came

    def take(self, m, now):
        """Take what cores tell.

        Example: `ledger.take(message.Readings("desk", [], []), now)`
        """
        self.since = now if self.since is None else self.since
        for worker, route, own, shared in m.volume:
            self.own.add((worker, route), own, now)
            self.shared.add((worker, route), shared, now)
        for worker, key, route, tokens, miss, sent, first in sorted(m.rows, key=lambda r: -r[6]):
            sent, first = now - sent * 1000, now - first * 1000
            was = self.known.pop((worker, key), None)
            if miss and (was is None or sent - was[0] > IN_USE_US):
                self.fresh.add((worker, route), tokens, now)
            elif miss and sent - was[0] > MARGIN_US:
                self.evicted.add((worker, route), tokens, now)
                self.total[worker, route] += tokens
            self.known[worker, key] = (max(first, was[0] if was else 0), tokens, route)
            if len(self.known) > KNOWN:
                self.known.popitem(last=False)

    def one_off(self, now):
        """The one-off tokens by route: prompts' own parts, and shared ones read for the first time.

        Example: `ledger.one_off(now)["archive.example/"]`
        """
        out = self.own.by(1, now)
        for route, n in self.fresh.by(1, now).items():
            out[route] = out.get(route, 0) + n
        return out

    def decide(self, now, names, memory):
        """Bring pressure and partition up to date, given the workers that read long prompts and their memory.

        Example: `partition = ledger.decide(now, ("w1", "w2", "w3"), 440_000)`
        """
        evicted = max(self.evicted.by(0, now).values(), default=0)
        off = self.one_off(now)
        if self.began is None and evicted >= BEGIN:
            self.began = now
            worst = max(off, key=off.get, default="")
            log.warning("Pool {}: shared parts are evicted and read anew, {} tokens at one worker; most one-off "
                        "tokens are those of {}.", self.pool, round(evicted), worst)
        if self.began is None:
            return None
        p = self.partition
        level = sum(off.get(r, 0) for r in p.routes) if p is not None else 0
        self.level = max(self.level, level)
        if now - self.began > HOLD_US and evicted < END and (p is None or 2 * level <= self.level):
            log.info("Pool {}: no more shared parts are evicted.", self.pool)
            self.began, self.level, self.partition = None, 0.0, None
            return None
        if p is None or set(self.names) - set(names) or not set(p.workers) < set(names):
            p = self.divide(now, names, memory, off, p.routes if p is not None else None)
        self.names = names
        if p is not None and (self.partition is None or self.partition.workers != p.workers):
            log.info("Pool {}: one-off prompts of {} go to {}.", self.pool, ", ".join(p.routes), ", ".join(p.workers))
        self.partition = p
        return p

    def divide(self, now, names, memory, off, routes=None):
        """A partition that parts scans from shared parts, or None where none does; `routes` are the scans if known.

        The scans' workers are as many as their share of what is read, and not so many that the shared
        parts in use no longer fit into the others.

        Example: `ledger.divide(now, names, 440_000, ledger.one_off(now))`
        """
        shared, fresh = self.shared.by(1, now), self.fresh.by(1, now)
        total = sum(off.values())
        if routes is None:
            if self.since is None or now - self.since < WARM_US:
                return None
            routes = [r for r, n in sorted(off.items())
                      if n >= PART * total and n >= SCAN * (shared.get(r, 0) - fresh.get(r, 0))]
        if not routes or len(names) < 2 or not total:
            return None
        parts = {key: tokens for (_, key), (at, tokens, route) in self.known.items()
                 if now - at < IN_USE_US and route not in routes}
        count = max(1, min(len(names) - 1, round(len(names) * sum(off.get(r, 0) for r in routes) / total)))
        while count and memory and sum(parts.values()) > FILL * memory * (len(names) - count):
            count -= 1
        return message.Partition(placement.rank(b"partition", names)[:count], routes) if count and parts else None

    def state(self, now):
        """What this ledger shows of itself: tokens evicted by worker and route, and whose tokens were one-off.

        >>> Ledger("p").state(0)["pressure"]
        False
        """
        return {
            "pressure": self.began is not None, "partition": message.plain(self.partition) if self.partition else None,
            "evicted": {f"{w} {r}": n for (w, r), n in sorted(self.total.items())},
            "evicted_lately": {w: round(n) for w, n in sorted(self.evicted.by(0, now).items())},
            "one_off_lately": {r: round(n) for r, n in sorted(self.one_off(now).items())},
        }


class CoreSide:
    """What a core gathers of its nodes and tells the tail, once a second; the tail decides.

    Example: `mach.spawn(eviction.CoreSide(core).run())`
    """

    def __init__(self, core):
        self.core = core
        self.rows, self.volume = {}, {}
        self.ledgers = {}  # pool -> Ledger, at the tail
        self.view = 0  # that they were kept under

    def take(self, m):
        """Take what a node or another core tells.

        Example: `side.take(message.Readings("desk", [], []))`
        """
        now = self.core.mach.now()
        rows = self.rows.setdefault(m.pool, collections.deque(maxlen=CORE_ROWS))
        rows.extend((*row, now - sent * 1000, now - first * 1000) for *row, sent, first in m.rows)
        volume = self.volume.setdefault(m.pool, {})
        for worker, route, own, shared in m.volume:
            sums = volume.setdefault((worker, route), [0, 0])
            sums[0] += own
            sums[1] += shared

    def tell(self):
        """Tell the tail what came, or take it here.

        Example: `side.tell()`
        """
        core, now = self.core, self.core.mach.now()
        v = core.council.view
        if v is None:
            return
        for pool, rows in self.rows.items():  # hits of the same parts, told by several nodes: one says it
            hits = {r[:2] for r in rows if r[4]}
            last = {r[:2]: r for r in rows if not r[4] and r[:2] not in hits}
            self.rows[pool] = sorted([*(r for r in rows if r[4]), *last.values()], key=lambda r: r[-1])
        told = pack(self.rows, self.volume, now)
        self.rows, self.volume = {}, {}
        if not core.council.tail():
            self.ledgers = {}
            seat = core.council.seat(v.chain[-1].id)
            for msg in told if seat is not None and seat.id != core.council.me.id else ():
                core.mach.spawn(core.neighbours.tell(seat.host, seat.port, msg), log)
            return
        if self.view != v.number:
            self.view, self.ledgers = v.number, {}
            latest = core.issuer.latest
            for pool, p in (latest.partitions if latest is not None else {}).items():
                self.ledgers[pool] = Ledger(pool, p, now)
        for msg in told:
            if msg.pool not in self.ledgers:
                self.ledgers[msg.pool] = Ledger(msg.pool)
            self.ledgers[msg.pool].take(msg, now)
        core.issuer.partitions = self.decide(now)

    def decide(self, now):
        """The partitions of all pools under pressure.

        Example: `core.issuer.partitions = side.decide(now)`
        """
        core, out = self.core, {}
        latest = core.issuer.latest
        for pool, ledger in list(self.ledgers.items()):
            item = core.chain.base.items.get(f"pools/{pool}")
            if item is None:
                del self.ledgers[pool]
                continue
            names = tuple(w.id for w in latest.workers if w.pool == pool and w.state == "ready") if latest else ()
            p = ledger.decide(now, tuple(sorted(placement.readers(names))), item.get("memory_tokens", 0))
            if p is not None:
                out[pool] = p
        return out

    async def run(self):
        """Gather, tell, decide; one task.

        Example: `mach.spawn(side.run())`
        """
        while True:
            await self.core.mach.sleep(TELL_US)
            self.tell()

    def state(self):
        """What this side shows of itself; empty but at the tail.

        Example: `core.evictions.state()`
        """
        return {pool: led.state(self.core.mach.now()) for pool, led in sorted(self.ledgers.items())}
