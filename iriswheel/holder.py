"""Sessions of pools whose workers are elected at the nodes: who holds a session's record, who a worker's places.

Keys are cut into shards, and each shard has a holder and a copy: the first two of the live members by
rendezvous hashing, in two zones where there are such. A session's holder keeps its record, its copy keeps
another; the node that carries a turn tells both, a few times a second and only what is new. A node that
does not know a conversation asks its holder for a moment, then goes on by itself. A worker's holder counts
the sessions open there, so that the cap holds over all nodes.

Nobody says whether a prompt's last part is a conversation's or one exchange's own. So the first turn
leaves a trial with its holder, which counts for nothing but where the next turn goes; that one opens
the session.
"""

import array
import collections
import hashlib

import loguru
import twisted.internet.defer as defer

import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.session as session
import iriswheel.wire as wire

SHARDS = 2_048
TELL_US = 200 * machine.MILLI
EXTEND_US = 5 * machine.SECOND  # an open session's turns are told at most so often
FIRST_ASK_US = 30 * machine.MILLI  # how long an exchange waits for the holder's answer
COPY_ASK_US = 15 * machine.MILLI  # and then for its copy's
RESERVE_US = 15 * machine.MILLI  # and the holder for that of a worker's holder
MOVED_US = 2 * machine.SECOND  # after a change of holders the copy is asked as well, since one of both knows
CARRIERS = 8  # nodes that are told when a session moves
MUTE_US = 1 * machine.SECOND  # who did not answer is not asked for so long
FENCE_US = 8 * machine.SECOND  # a worker's new holder hears of its sessions for so long before it opens any
LEASE_US = 1 * machine.SECOND  # and opens none unless it heard the core so lately
SLACK_US = 10 * machine.SECOND  # a place outlives what is known of its session, should holders change
PINS = 16_384  # conversations that a node remembers having carried
TRIALS = 16_384
OTHERS = 4  # workers that a session may be opened at, beside the one of the turn before

log = loguru.logger.bind(part="holder")


def key_of(keys, part):
    """The key of a conversation, out of those of a prompt's parts; b"" where it names none.

    The same rule as session.derive: part -1 is the last of two or more.

    >>> key_of([b"a", b"b"], -1), key_of([b"a"], -1), key_of([b"a", b"b"], 0), key_of([b"a"], 3)
    (b'b', b'', b'a', b'')
    """
    if part < 0:
        return keys[-1] if len(keys) > 1 else b""
    return keys[part] if part < len(keys) else b""


def shard(key):
    """The shard of a key.

    >>> shard(b"\\x00\\x05"), shard(b"\\xff\\xff")
    (5, 2047)
    """
    return int.from_bytes(key[:2], "big") % SHARDS


def shard_of_worker(name):
    """The shard of a worker.

    >>> 0 <= shard_of_worker("w1") < SHARDS
    True
    """
    return shard(hashlib.blake2b(name.encode(), digest_size=8).digest())


class Shards:
    """Who holds which shard, and who keeps its copy, by one node's roster.

    All nodes with the same roster have the same; a member that comes or goes changes only its own share.

    >>> s = Shards("n1"); _ = s.renew({"n1": "a", "n2": "b", "n3": "b"}, 5)
    >>> was = list(s.pairs); moved = s.renew({"n1": "a", "n3": "b"}, 7)
    >>> all(s.pairs[k][0] == was[k][0] for k in range(SHARDS) if was[k][0] != "n2")
    True
    >>> {k for k in range(SHARDS) if "n2" in was[k]} == moved
    True
    """

    def __init__(self, me):
        self.me = me
        self.zones = {}  # member -> zone
        self.weights = {}  # member -> its weight for each shard
        self.pairs = [(me, "")] * SHARDS  # holder, copy
        self.since = [None] * SHARDS  # when this node became the holder; None where it is not
        self.moved = [0] * SHARDS  # when holder or copy changed

    def pair(self, key):
        """The holder of a key, and its copy or "".

        >>> Shards("n1").pair(b"key")
        ('n1', '')
        """
        return self.pairs[shard(key)]

    def mine(self, key):
        """Whether this node is the holder of a key.

        >>> Shards("n1").mine(b"key")
        True
        """
        return self.pairs[shard(key)][0] == self.me

    def renew(self, zones, now):
        """Take the members as they are now (member -> zone); the shards whose holder or copy changed.

        >>> len(Shards("n1").renew({"n2": "a"}, 5)) == SHARDS
        True
        """
        zones = zones or {self.me: ""}
        lost = {i for i, z in self.zones.items() if zones.get(i) != z}
        came = {i for i in zones if i not in self.zones or i in lost}
        first = not self.zones
        self.zones = dict(zones)
        for i in lost:
            del self.weights[i]
        for i in came:
            self.weights[i] = array.array("I", hashlib.shake_128(i.encode()).digest(4 * SHARDS))
        if first:
            look = set(range(SHARDS))
        else:
            look = {k for k, pair in enumerate(self.pairs) if pair[0] in lost or pair[1] in lost or not pair[1]}
            for i in came:
                own = self.weights[i]
                for k, (_, copy) in enumerate(self.pairs):
                    if k not in look and own[k] > self.weights[copy][k]:
                        look.add(k)
        changed = set()
        for k in look:
            was, self.pairs[k] = self.pairs[k], self.best(k)
            if self.pairs[k] != was or first:
                changed.add(k)
                self.moved[k] = now
                if self.pairs[k][0] != self.me:
                    self.since[k] = None
                elif was[0] != self.me or first:
                    self.since[k] = now
        return changed

    def best(self, k):
        """The two members of most weight for a shard, the second in another zone where there is one.

        >>> s = Shards("n1"); _ = s.renew({"n1": "a", "n2": "a", "n3": "b"}, 5)
        >>> {s.zones[i] for i in s.best(0)} == {"a", "b"}
        True
        """
        weights, zones = self.weights, self.zones
        one = max(weights, key=lambda i: weights[i][k])
        rest = [i for i in weights if zones[i] != zones[one]] or [i for i in weights if i != one]
        return one, max(rest, key=lambda i: weights[i][k], default="")


class Pin:
    """A conversation that this node carried: where its turns go.

    >>> Pin("w1", 5, 60, 100, message.TRIAL).until
    65
    """

    __slots__ = ("worker", "turned", "lifetime_us", "cost", "kind", "told")

    def __init__(self, worker, turned, lifetime_us, cost, kind):
        self.worker = worker
        self.turned = turned  # when its latest turn began or ended
        self.lifetime_us = lifetime_us
        self.cost = cost
        self.kind = kind  # message.TRIAL, OPEN or MOVED
        self.told = 0

    @property
    def until(self):
        """When the lease ends."""
        return self.turned + self.lifetime_us


class Sessions:
    """What one node knows of one pool's sessions.

    >>> s = Sessions(); s.book.load("w1"), s.state()["open"]
    (0, {})
    """

    def __init__(self):
        self.pins = collections.OrderedDict()  # key -> Pin, of conversations carried here, the latest turn last
        self.trials = collections.OrderedDict()  # key -> (worker, until), of first turns held here
        self.book = session.Book()  # open sessions held here
        self.copies = session.Book()  # those that another node holds
        self.places = {}  # worker -> {key: until}, of workers held here
        self.dirty = {}  # key of a pin -> when its holder is to be told
        self.kept = {}  # key of an open session held here -> when its worker's holder is to be told
        self.gone = []  # (worker, key) of places that are given back
        self.mark = (0, 0)  # what the load exchange knows of the book
        self.cap = 0  # as whoever carries sessions last said

    def record(self, key):
        """The record of an open session, or None.

        >>> Sessions().record(b"k") is None
        True
        """
        return self.book.pinned(key) or self.copies.pinned(key)

    def pin(self, key, pin):
        """Remember where a conversation's turns go.

        >>> s = Sessions(); s.pin(b"k", Pin("w1", 5, 60, 100, message.TRIAL)); s.pins[b"k"].worker
        'w1'
        """
        self.pins[key] = pin
        self.pins.move_to_end(key)
        if len(self.pins) > PINS:
            self.dirty.pop(self.pins.popitem(last=False)[0], None)

    def try_out(self, key, worker, until):
        """Remember a first turn.

        >>> s = Sessions(); s.try_out(b"k", "w1", 65); s.trials[b"k"]
        ('w1', 65)
        """
        self.trials[key] = (worker, until)
        self.trials.move_to_end(key)
        if len(self.trials) > TRIALS:
            self.trials.popitem(last=False)

    def close(self, key):
        """Close a session, wherever its record stands; its place is given back. The record, or None.

        >>> s = Sessions(); _ = s.book.open(b"k", "w1", 0, 60, 100); _ = s.close(b"k"); s.gone
        [('w1', b'k')]
        """
        self.kept.pop(key, None)
        r = self.book.close(key)
        if r is not None:
            self.gone.append((r.worker, key))
        return r or self.copies.close(key)

    def shift(self, key, to):
        """Move a record between those held and those copied.

        >>> s = Sessions(); _ = s.book.open(b"k", "w1", 0, 60, 100); s.shift(b"k", s.copies); s.copies.load("w1")
        100
        """
        r = self.book.close(key) or self.copies.close(key)
        new = to.open(key, r.worker, r.expires - r.lifetime_us, r.lifetime_us, r.cost)
        new.by = r.by

    def state(self):
        """What these sessions show of themselves.

        >>> Sessions().state()["trials"]
        0
        """
        return {
            "open": {w: len(rs) for w, rs in sorted(self.book.at.items()) if rs},
            "copies": len(self.copies.records), "trials": len(self.trials), "pins": len(self.pins),
            "places": {w: len(ks) for w, ks in sorted(self.places.items()) if ks},
        }


class Holder:
    """A node's part in holding sessions: what it tells, asks and answers.

    Example: `holder = Holder(node)`; `worker = await holder.home(passage)`; `holder.turned(passage, "w1", "")`.
    """

    def __init__(self, node):
        self.node = node
        self.mach = node.mach
        self.shards = None
        self.members = {}  # id -> message.Member
        self.pools = {}  # pool -> Sessions
        self.neighbours = wire.Neighbours(node.mach, node.serve, log, silent=True)
        self.mute = {}  # member -> until when it is not asked
        self.some = machine.Signal()  # there may be something to tell
        self.counts = {"asked": 0, "unanswered": 0, "found": 0, "opened": 0, "full": 0, "moved": 0, "told": 0}

    def sessions(self, pool):
        """What is known of a pool's sessions.

        Example: `holder.sessions("desk").book.count("w1")`
        """
        if pool not in self.pools:
            self.pools[pool] = Sessions()
            self.node.door.carrier.place(pool)  # its load exchange tells the sessions' cost
        return self.pools[pool]

    def ready(self, worker):
        """Whether a worker may be sent to.

        Example: `holder.ready("w1")`
        """
        return self.node.follower.state(worker) == "ready"

    # ---- carrying ---------------------------------------------------------------------

    async def home(self, x):
        """The worker that an exchange's conversation is at, or "" where placement is free to choose.

        Example: `name = await holder.home(passage)`
        """
        if not x.session:
            return ""
        s, now = self.sessions(x.pool_name), self.mach.now()
        pin = s.pins.get(x.session)
        known = pin is not None and pin.until >= now
        worker = pin.worker if known and self.ready(pin.worker) else ""
        if worker and pin.kind == message.OPEN:
            self.extend(s, x.session, pin)
            return worker
        if worker and x.placement.sick(worker, now):
            worker = ""
        ask = message.Turn(x.pool_name, x.session, worker, [], x.terms.lifetime_us, x.terms.cost, x.pool.cap)
        res = await self.ask(ask)
        if res is not None and not res.worker and (res.known or known):
            others = self.choices(x)
            if others:
                res = await self.ask(message.Turn(
                    x.pool_name, x.session, "", others, x.terms.lifetime_us, x.terms.cost, x.pool.cap)) or res
        if res is None:
            return worker
        if not res.worker or not self.ready(res.worker):
            return ""
        self.counts["found"] += not known
        if res.open:
            pin = Pin(res.worker, self.mach.now(), x.terms.lifetime_us, x.terms.cost, message.OPEN)
            s.pin(x.session, pin)
            s.dirty[x.session] = now
            self.some.wake()
        return res.worker

    def choices(self, x):
        """The workers that a session may be opened at, the best first.

        Example: `holder.choices(passage)`
        """
        carrier, out = self.node.door.carrier, []
        ready = carrier.ready(x.pool_name)
        while len(out) < OTHERS:
            name, _ = x.placement.pick(x.ask, x.keys, x.own, ready, x.pool, set(out))
            if not name:
                break
            out.append(name)
        return out

    def extend(self, s, key, pin):
        """A turn began, goes on or ended: the lease is one lifetime from now.

        Example: `holder.extend(sessions, key, pin)`
        """
        now = self.mach.now()
        self.some.wake()
        pin.turned = now
        s.pins.move_to_end(key)
        if pin.kind == message.OPEN:
            s.dirty.setdefault(key, max(now, pin.told + min(EXTEND_US, pin.lifetime_us // 6)))
        else:
            s.dirty[key] = now

    def turned(self, x, worker, home):
        """A turn was answered whole at a worker; `home` is where its conversation was, or "".

        Only a whole answer is a turn: what follows a failure is the same exchange, tried again.

        Example: `holder.turned(passage, "w1", "")`
        """
        if not x.session:
            return
        s = self.sessions(x.pool_name)
        pin = s.pins.get(x.session)
        moved = home not in ("", worker)
        if pin is None or moved or pin.until < self.mach.now() or not self.ready(pin.worker):
            self.counts["moved"] += moved
            pin = Pin(worker, 0, x.terms.lifetime_us, x.terms.cost, message.MOVED if moved else message.TRIAL)
            s.pin(x.session, pin)
        pin.lifetime_us, pin.cost, s.cap = x.terms.lifetime_us, x.terms.cost, x.pool.cap
        self.extend(s, x.session, pin)

    # ---- asking ------------------------------------------------------------------------

    async def call(self, ident, msg, us):
        """Put a call to a member, or to this node itself; None where no answer came in time.

        Example: `res = await holder.call("n2-c0ffee", message.Turn(...), 25_000)`
        """
        if ident == self.shards.me:
            return await self.serve(None, msg)
        m, now = self.members.get(ident), self.mach.now()
        if m is None or self.mute.get(ident, 0) > now:
            return None
        try:
            link = self.neighbours.links.get((m.host, m.port))
            if link is None or not link.up:
                got = defer.Deferred()  # the link is made to its end, whoever waits for it
                opening = self.mach.spawn(self.neighbours.reach(m.host, m.port), log)
                opening.addBoth(lambda res: got.called or got.callback(res))
                link = await self.mach.within(got, us)
                if link is None:
                    raise wire.Broken(sent=False)
            res = await link.call(msg, max(1, us - (self.mach.now() - now)))
            self.mute.pop(ident, None)
            return res
        except (wire.Broken, machine.Late):
            self.mute[ident] = self.mach.now() + MUTE_US
            self.counts["unanswered"] += 1
            return None

    async def ask(self, msg):
        """Ask a session's holder, and where it says nothing its copy; None where both are silent.

        Example: `turned = await holder.ask(message.Turn(...))`
        """
        self.counts["asked"] += 1
        one, two = self.shards.pair(msg.key)
        res = await self.call(one, msg, FIRST_ASK_US)
        moved = self.mach.now() - self.shards.moved[shard(msg.key)] < MOVED_US
        if two and (res is None or moved and not res.known):
            res = await self.call(two, msg, COPY_ASK_US) or res
        return res

    # ---- telling -----------------------------------------------------------------------

    async def run(self):
        """Tell what is new, a few times a second, and sweep; one task.

        Example: `mach.spawn(holder.run())`
        """
        swept = 0
        while not self.node.left:
            if not any(s.dirty or s.kept or s.gone for s in self.pools.values()):
                await self.mach.pause(self.some, session.SWEEP_US)
            await self.mach.sleep(TELL_US)
            now = self.mach.now()
            if now - swept >= session.SWEEP_US:
                swept = now
                self.sweep()
            self.tell()
            for s in self.pools.values():
                if s.mark != (len(s.book.records), s.book.stamp):
                    s.mark = (len(s.book.records), s.book.stamp)
                    self.node.loads.touch()  # the sessions' cost

    def send(self, ident, msg):
        """Tell a member something.

        Example: `holder.send("n2-c0ffee", message.Turns("desk", 60_000_000, 100, 10, []))`
        """
        if ident == self.shards.me:
            self.serve(None, msg)
            return
        m = self.members.get(ident)
        if m is None:
            return
        link = self.neighbours.links.get((m.host, m.port))
        if link is None or not link.up:
            self.mach.spawn(self.neighbours.tell(m.host, m.port, msg), log)
        elif not link.full:
            link.tell(msg)

    def tell(self, changed=()):
        """Tell holders of the turns carried here, and workers' holders of the sessions held here.

        Of shards that changed hands, all that is held here is told as well.

        Example: `holder.tell()`
        """
        now = self.mach.now()
        for pool, s in self.pools.items():
            turns, places = {}, {}
            held = [(r.id, r.worker, r.expires, r.lifetime_us, r.cost, message.OPEN) for book in (s.book, s.copies)
                    for r in book.records.values() if shard(r.id) in changed] if changed else []
            held += [(key, worker, until, until - now, 0, message.TRIAL) for key, (worker, until) in s.trials.items()
                     if shard(key) in changed and until > now] if changed else []
            for key, worker, until, lifetime, cost, kind in held:
                for who in self.shards.pair(key):
                    if who != self.shards.me:
                        turns.setdefault((who, lifetime, cost), []).append(
                            (key, worker, max(0, now - until + lifetime) // 1000, kind))
            for key in [k for k, due in s.dirty.items() if due <= now]:
                del s.dirty[key]
                pin = s.pins.get(key)
                if pin is None:
                    continue
                pin.told = now
                for who in self.shards.pair(key):
                    turns.setdefault((who, pin.lifetime_us, pin.cost), []).append(
                        (key, pin.worker, (now - pin.turned) // 1000, pin.kind))
            for key in [k for k, due in s.kept.items() if due <= now]:
                del s.kept[key]
                r = s.book.pinned(key)
                if r is not None:
                    places.setdefault(self.of_worker(r.worker), []).append(
                        (r.worker, key, max(1, (r.expires - now) // 1000)))
            gone, s.gone = s.gone, []
            for worker, key in gone:
                places.setdefault(self.of_worker(worker), []).append((worker, key, 0))
            for (who, lifetime, cost), rows in turns.items():
                self.counts["told"] += len(rows)
                self.send(who, message.Turns(pool, lifetime, cost, s.cap, rows))
            if s.cap:
                for who, rows in places.items():
                    self.send(who, message.Places(pool, rows))

    def sweep(self):
        """Close what is past its lease, and sessions of workers that are ready no more.

        Example: `holder.sweep()`
        """
        now = self.mach.now()
        carrier = self.node.door.carrier
        for pool, s in self.pools.items():
            for f in carrier.flows:  # a stream is no silence
                pin = s.pins.get(f.x.session) if f.x.pool_name == pool else None
                if pin is not None and pin.worker == f.worker:
                    self.extend(s, f.x.session, pin)
            for r in s.book.sweep(now):
                s.kept.pop(r.id, None)
                s.gone.append((r.worker, r.id))
            s.copies.sweep(now)
            for book in (s.book, s.copies):
                for worker in [w for w, rs in book.at.items() if rs and not self.ready(w)]:
                    for r in book.evict(worker):
                        s.kept.pop(r.id, None)
                        s.try_out(r.id, "", r.expires)
                for worker in [w for w, rs in book.at.items() if not rs]:
                    del book.at[worker]
            while s.trials and next(iter(s.trials.values()))[1] < now:
                s.trials.popitem(last=False)
            while s.pins and next(iter(s.pins.values())).until < now:
                s.dirty.pop(s.pins.popitem(last=False)[0], None)
            for worker, held in list(s.places.items()):
                for key in [k for k, until in held.items() if until < now]:
                    del held[key]
                if not held:
                    del s.places[worker]

    def renew(self):
        """The roster changed: records go to their new holders.

        Whoever knows of a session tells its new holder and copy; the holder tells those of the workers.

        Example: `holder.renew()`
        """
        fol = self.node.follower
        if self.shards is None:
            self.shards = Shards(self.node.me.id)
        members = {m.id: m for m in fol.roster.members} if self.node.options.spread_sessions else {}
        if members == self.members and self.shards.zones:
            return
        now = self.mach.now()
        known = {(m.host, m.port) for i, m in members.items() if i in self.members}
        self.neighbours.keep(known)  # a link to a process that was there before would swallow what it is told
        self.members = members
        changed = self.shards.renew({i: m.zone for i, m in members.items()}, now)
        self.mute = {i: until for i, until in self.mute.items() if i in members}
        for s in self.pools.values():
            for key in [k for k in s.book.records if shard(k) in changed and not self.shards.mine(k)]:
                s.shift(key, s.copies)
                s.kept.pop(key, None)
            for key in [k for k in s.copies.records if shard(k) in changed and self.shards.mine(k)]:
                s.shift(key, s.book)
                s.kept[key] = now
            for key, r in s.book.records.items():
                if shard_of_worker(r.worker) in changed:
                    s.kept[key] = now
            for key, pin in s.pins.items():
                if shard(key) in changed:
                    s.dirty[key] = now
        self.tell(changed)

    # ---- holding -----------------------------------------------------------------------

    def serve(self, link, msg):
        """Answer one message of another node, or of this one.

        Example: `holder.serve(link, message.Places("desk", []))`
        """
        self.some.wake()
        match msg:
            case message.Turns():
                self.take(link, msg)
            case message.Turn():
                return self.turn(msg)
            case message.Reserve():
                return self.reserved(msg)
            case message.Places(pool=pool, rows=rows):
                now, s = self.mach.now(), self.sessions(pool)
                for worker, key, left in rows:
                    if left:
                        s.places.setdefault(worker, {})[key] = now + left * 1000 + SLACK_US
                    else:
                        s.places.get(worker, {}).pop(key, None)

    def take(self, link, m):
        """Take what a node tells of the turns that it carried; the latest turn of a session counts.

        Example: `holder.take(link, message.Turns("desk", 60_000_000, 100, 10, [(b"k", "w1", 20, message.OPEN)]))`
        """
        s, now = self.sessions(m.pool), self.mach.now()
        s.cap = m.cap
        for key, worker, age, kind in m.rows:
            at, r = now - age * 1000, s.record(key)
            if r is not None and r.worker != worker:
                newer = at > r.expires - r.lifetime_us
                if kind == message.TRIAL and self.ready(r.worker):
                    self.tell_moved(m.pool, link, key)  # it did not know that the session is open elsewhere
                elif newer:
                    s.close(key)
                    for by in r.by:
                        if by is not link:
                            self.tell_moved(m.pool, by, key)
                    r = None
                else:
                    continue
            if r is None and kind == message.OPEN:
                mine = self.shards.mine(key)
                r = (s.book if mine else s.copies).open(key, worker, at, m.lifetime_us, m.cost)
                if mine:
                    s.kept[key] = now
                s.trials.pop(key, None)
            if r is None:
                had, until = s.trials.get(key, ("", 0))
                if kind == message.MOVED and at + m.lifetime_us >= until or until < now or not self.ready(had):
                    had = worker
                elif had != worker:
                    self.tell_moved(m.pool, link, key)
                s.try_out(key, had, max(until, at + m.lifetime_us))
                continue
            if r.worker == worker and link not in r.by[:1]:
                r.by = (link, *(by for by in r.by if by is not link and (by is None or by.up)))[:CARRIERS]
            r.lifetime_us, r.cost = m.lifetime_us, m.cost
            self.prolong(s, r, at)

    def prolong(self, s, r, at):
        """A turn began, went on or ended at a time: the lease of its session is one lifetime from then.

        Example: `holder.prolong(sessions, record, mach.now())`
        """
        if at + r.lifetime_us > r.expires:
            r.expires = at + r.lifetime_us
            if self.shards.mine(r.id):
                s.kept.setdefault(r.id, self.mach.now() + min(EXTEND_US, r.lifetime_us // 6))

    def tell_moved(self, pool, link, key):
        """Tell a node that carried a conversation that it is elsewhere now.

        Example: `holder.tell_moved("desk", link, key)`
        """
        if link is None:
            self.unpin(pool, [key.hex()])
        else:
            link.tell(message.Unpin(pool, [key.hex()]))

    def unpin(self, pool, keys):
        """Sessions that moved by another node's hand: go by what is remembered of them no more.

        Example: `holder.unpin("desk", ["00c0ffee00c0ffee"])`
        """
        s = self.pools.get(pool)
        for key in keys if s is not None else ():
            s.pins.pop(bytes.fromhex(key), None)

    async def turn(self, m):
        """Say where a session's next turn goes; its second turn opens it, where there is a place.

        Example: `turned = await holder.turn(message.Turn("desk", b"k", "", [], 60_000_000, 100, 10))`
        """
        s, now = self.sessions(m.pool), self.mach.now()
        s.cap = m.cap
        r = s.record(m.key)
        if r is not None and r.expires >= now and self.ready(r.worker):
            return message.Turned(r.worker, True, True)
        worker, until = s.trials.get(m.key, ("", 0))
        known = until >= now or r is not None and r.expires >= now or m.worker or m.others
        if not known:
            return message.Turned("", False, False)
        wants = [w for w in dict.fromkeys([worker if until >= now else "", m.worker, *m.others]) if w and self.ready(w)]
        if not self.shards.mine(m.key):
            return message.Turned(wants[0] if wants else "", False, True)
        for name in wants:
            match await self.reserve(m, name):
                case "yes":
                    had = s.book.pinned(m.key)
                    if had is not None and had.worker != name and self.ready(had.worker):
                        s.gone.append((name, m.key))
                        return message.Turned(had.worker, True, True)
                    if had is None or had.worker != name:
                        s.close(m.key)
                        s.book.open(m.key, name, self.mach.now(), m.lifetime_us, m.cost)
                        s.trials.pop(m.key, None)
                        self.counts["opened"] += 1
                    return message.Turned(name, True, True)
                case "later":
                    return message.Turned(name, False, True)
        self.counts["full"] += 1
        return message.Turned("", False, True)

    # ---- places ------------------------------------------------------------------------

    def of_worker(self, worker):
        """The member that counts a worker's sessions.

        Example: `holder.of_worker("w1")`
        """
        return self.shards.pairs[shard_of_worker(worker)][0]

    async def reserve(self, m, worker):
        """Get a place for a session at a worker: "yes", "full", or "later" where nobody can say now.

        Example: `state = await holder.reserve(message.Turn(...), "w1")`
        """
        if not m.cap:
            return "yes"
        ask = message.Reserve(m.pool, worker, m.key, m.lifetime_us, m.cap)
        res = await self.call(self.of_worker(worker), ask, RESERVE_US)
        if res is None:
            self.sessions(m.pool).gone.append((worker, m.key))  # should it have been given
            return "later"
        return res.state

    async def reserved(self, m):
        """Give a place at a worker that this node holds, if there is one.

        A new holder gives none until all who had one there have told, and a holder that may have
        lost its duty without knowing gives none either: so the cap holds whoever counts.

        Example: `res = await holder.reserved(message.Reserve("desk", "w1", b"k", 60_000_000, 10))`
        """
        s, now = self.sessions(m.pool), self.mach.now()
        held = s.places.setdefault(m.worker, {})
        if held.get(m.key, 0) < now:
            if not self.counts_places(m.worker):
                return message.Reserved("later")
            if sum(until >= now for until in held.values()) >= m.cap:
                return message.Reserved("full")
        held[m.key] = now + m.left_us + SLACK_US
        return message.Reserved("yes")

    def counts_places(self, worker):
        """Whether this node may give places at a worker now.

        Example: `holder.counts_places("w1")`
        """
        fol, now = self.node.follower, self.mach.now()
        since = self.shards.since[shard_of_worker(worker)]
        return (since is not None and now - since >= FENCE_US and fol.settled() and fol.core_stands()
                and now - fol.core_at < LEASE_US)

    def state(self):
        """What this holder shows of itself.

        Example: `holder.state()["counts"]`
        """
        return {"counts": self.counts, "pools": {p: s.state() for p, s in sorted(self.pools.items())}}
