"""A core machine: its link of the chain, its nodes' sessions, its operators' door."""

import contextlib

import loguru
import msgspec
import twisted.internet.defer as defer

import iriswheel.blueprint as blueprint
import iriswheel.chain as chain
import iriswheel.lease as lease
import iriswheel.loads as loads
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.roster as roster
import iriswheel.store as store
import iriswheel.verdict as verdict
import iriswheel.view as view
import iriswheel.warden as warden
import iriswheel.wire as wire

BEAT_US = 250 * machine.MILLI
RELIST_US = 2 * machine.SECOND  # the worker list is told the tail again, although it stands
REPORT_US = 5 * machine.MILLI  # what else the nodes say within this goes to the tail in one word
FRESH_US = 1_100 * machine.MILLI  # without an answer of the tail for so long, a core machine does not serve
ANSWER_US = 3 * machine.SECOND
FORMAT = 2  # of what stands on the disk
EARLY_US = 15 * machine.SECOND  # a core that has run for longer and does not serve is cut off: its state may be past
FORCE_US = 1 * machine.SECOND  # beyond a lease, a confirmation waits so long for nodes
CHANGE_US = 900 * machine.MILLI  # a change is answered within this, known or not
AGAIN_US = 30 * machine.MILLI
LEAVE_US = 3 * machine.SECOND  # how long a core machine that stops waits for a chain without it

log = loguru.logger.bind(part="core")


class Post:
    """One node's session: the feed of its slice and of the roster.

    Example: `post = Post(core, link, join)`; `mach.spawn(post.feed())`.
    """

    def __init__(self, core, link, join):
        self.core = core
        self.link = link
        self.member = join.member
        self.n = self.place = join.place  # what was sent, and what the node has taken
        link.post = self
        old = core.chain.history.get(join.place)
        self.sent = None if old is None else core.slices.slice(old, self.member.zone, ())
        self.roster = join.roster.stamp if join.roster is not None else (0, 0)
        self.told = 0
        self.node_time = join.sent_at  # the newest time that the node put on a heartbeat, on its clock
        self.sliced = None  # the state and roster that the last slice was cut from
        self.changed = machine.Signal()

    def slice(self):
        """The items that this node needs now.

        Example: `post.slice()`
        """
        latest = self.core.issuer.latest
        duties = latest.duties if latest is not None else []
        pools = [d.key[5:] for d in duties if d.holder == self.member.id and d.key.startswith("pool/")]
        return self.core.slices.slice(self.core.chain.base, self.member.zone, tuple(pools))

    def flush(self):
        """Send what is new to this node.

        Example: `post.flush()`
        """
        base = self.core.chain.base
        latest = self.core.issuer.latest
        cut_from = (base.n, latest.stamp if latest is not None else None)
        if base.n >= self.n and cut_from != self.sliced and (self.n >= 0 or self.core.serving()):
            self.sliced = cut_from
            now = self.slice()
            if self.sent is None:
                self.link.tell(message.Frame(base.n, now))
            else:
                delta = self.core.slices.delta(self.sent, now)
                if delta or base.n > self.n:
                    self.link.tell(message.Change(base.n, delta))
            self.sent, self.n = now, base.n
        if latest is not None and latest.stamp > self.roster:
            self.link.tell(message.News(latest))
            self.roster = latest.stamp
        if self.core.mach.now() - self.told >= BEAT_US:
            self.told = self.core.mach.now()
            left = self.core.lease.grant(self.member.id, self.told)
            self.link.tell(message.Alive(self.n, self.roster, self.core.same, self.node_time, left))

    async def feed(self):
        """Flush at every change, and a heartbeat four times a second; one task per node.

        What this core machine knows to stand goes to its nodes also while it is not in touch with
        the tail: a committed change stays. Then no lease goes with it, and nodes look for another.

        Example: `mach.spawn(post.feed())`
        """
        while self.link.up and not self.core.stopping:
            if self.link.full:
                await self.link.room.wait()
                continue
            self.flush()
            await self.core.mach.pause(self.changed, BEAT_US)
        if self.link.up:
            self.link.tell(message.Elsewhere(self.core.seats()))
        if self.core.posts.get(self.member.id) is self:
            del self.core.posts[self.member.id]
            self.core.lease.close(self.member.id)
            self.core.report_now.wake()


def replicas(v):
    """The machines of a view's chain, as (core id, incarnation).

    >>> replicas(message.View(4, [], [message.ChainLink("a", "x")]))
    [('a', 'x')]
    """
    return [(replica.id, replica.boot) for replica in v.chain]


class Slices:
    """Slices and their differences, kept so that many nodes of a zone cost one carving.

    >>> one, two = [chain.Ledger(n).change([("limits/door", {"head_us": n})]) for n in (1, 2)]
    >>> slices = Slices()
    >>> a, b = slices.slice(one, "north", ()), slices.slice(two, "north", ())
    >>> slices.slice(one, "north", ()) is a, slices.delta(a, b)
    (True, {'limits/door': {'head_us': 2}})
    """

    ROOM = 256

    def __init__(self):
        self.slices = {}
        self.deltas = {}

    def _keep(self, kept, key, val):
        if len(kept) >= self.ROOM:
            del kept[next(iter(kept))]
        kept[key] = val
        return val

    def slice(self, ledger, zone, pools):
        """What a node in a zone with these pools' duties needs of a state.

        Example: `slices.slice(chain.base, "north", ("desk",))`
        """
        key = (ledger.n, ledger.made, zone, pools)
        return self.slices.get(key) or self._keep(self.slices, key, blueprint.carve(ledger.fed, zone, pools))

    def delta(self, old, new):
        """The changes from one slice to another, as a map; None removes.

        Example: `slices.delta(sent, now)`
        """
        if old is new:
            return {}
        key = (id(old), id(new))
        kept = self.deltas.get(key)  # with the slices themselves, so that their ids stay theirs
        if kept is None:
            kept = self._keep(self.deltas, key, (old, new, dict(blueprint.differ(old, new))))
        return kept[2]


def freeze_shelf(shelf, now):
    """A shelf's sessions as bytes, with the time.

    >>> thaw_shelf(freeze_shelf(warden.Shelf(), 5), 7).told(7)
    ([], [])
    """
    return msgspec.msgpack.encode([now, shelf.term, shelf.told(now)[0]])


def thaw_shelf(raw, now):
    """A shelf from bytes. After a restart of the machine its clock has begun anew.

    Example: `thaw_shelf(raw, mach.now())`
    """
    at, term, sessions = msgspec.msgpack.decode(raw, type=tuple[int, tuple[int, int], list[message.Session]])
    shelf = warden.Shelf()
    shelf.term = term
    shelf.sessions = {s.id: (s, min(at, now)) for s in sessions}
    return shelf


class Core:
    """The whole process, but for sockets and command line.

    Example: `core = Core(mach, disk, options)`; `core.start()`.
    """

    def __init__(self, mach, disk, options):
        self.mach = mach
        self.options = options
        state = disk.read()
        if int(state.get(b"format", b"0")) > FORMAT:
            raise store.DiskDefect(
                f"The data folder was written by a newer program (format {state[b'format'].decode()})."
            )
        self.disk = store.Guard(mach, disk)
        if b"identity" not in state:
            ident = mach.rng.getrandbits(64).to_bytes(8, "big").hex().encode()
            disk.write([(b"identity", ident), (b"format", b"%d" % FORMAT)])
            state[b"identity"] = ident
        elif int(state.get(b"format", b"0")) < FORMAT:
            disk.write([(b"format", b"%d" % FORMAT)])
        me = message.Seat(state[b"identity"].decode(), options.host, options.port, options.zone)
        record = msgspec.msgpack.decode(state[b"council"], type=view.Record) if b"council" in state else view.Record()
        self.neighbours = wire.Neighbours(mach, self.serve, log)
        self.chain = chain.Chain(mach, self.disk, state, self.neighbours)
        self.council = view.Council(
            mach,
            self.disk,
            record,
            me,
            options.seed_list() if options.found else [],
            self.neighbours,
            self.installed,
            options.seats,
            options.copies,
        )
        self.council.learn_seeds(options.seed_list())
        self.chain.council = self.council
        self.council.tip = lambda: (self.chain.tip.made, self.chain.tip.n)
        self.chain.on_commit = self.wake_posts
        self.issuer = roster.Issuer(mach, self.council, self.pools)
        self.posts = {}
        self.slices = Slices()
        self.named = (-1, [])  # the pools that have wardens, and the state they were read from
        self.beaten = (0, 0)  # when this core sent the newest report that the tail has answered, and in which view
        self.lease = lease.CoreLease(options.lease_us)
        self.holders = lease.Holders(options.lease_us, mach.now())
        self.heard_reports = {}  # core -> `sent_at` of its newest report in this view
        self.beat_now = machine.Signal()
        self.listing = None
        self.listing_told = (None, 0)  # to which tail, of which view, under which stamp it was told; and when
        self.same = None  # the newest word that the worker list stands
        self.seated = {}  # duty -> the newest term under which its holder here said that it is seated
        self.contested = {}  # duty -> the term that its holder here can't use
        self.report_now = machine.Signal()
        self.shelves = {}  # pool -> warden.Shelf, late copies of the wardens' sessions
        for key, raw in state.items():
            if key.startswith(b"shelf/"):
                self.shelves[key[6:].decode()] = thaw_shelf(raw, mach.now())
        self.soiled = set()  # pools whose shelf is not on the disk as it is
        self.forced = 0  # every node has come at least this far
        self.forced_on = machine.Signal()
        self.sessions = 0  # members that have a session, as the tail counts them
        self.counts = {"plans": 0, "confirms": 0, "changes": 0, "refused": 0, "joins": 0, "views": 0}
        self.spread = None  # the stamp of the roster last spread from here
        self.stopping = False
        self.loads = loads.CoreSide(self)

    def start(self):
        """Start all tasks.

        Example: `core.start()`
        """
        for coro in (
            self.disk.watch(),
            self.council.pulse_all(),
            self.council.renew(),
            self.council.mend(),
            self.report(),
            self.beat(),
            self.issue(),
            self.keep_shelves(),
            self.loads.run(),
        ):
            self.mach.spawn(coro, log)
        if self.council.view is not None:
            log.info(
                "Core {} starts with view {} at {}.", self.council.me.id, self.council.view.number, self.chain.tip.n
            )
        else:
            log.info("Core {} starts blank.", self.council.me.id)

    def renew(self, options):
        """Take in options that were read again: further seeds.

        Example: `core.renew(options.read("core", path, {}))`
        """
        self.council.learn_seeds(options.seed_list())
        log.info("The options were read again.")

    # ---- state -----------------------------------------------------------------

    def pools(self):
        """The names of the pools that stand and elect at a warden.

        Example: `core.pools()`
        """
        base = self.chain.base
        if self.named[0] != base.n:
            self.named = (
                base.n,
                sorted(
                    k[6:]
                    for k, v in base.items.items()
                    if k.startswith("pools/") and v.get("election", "warden") == "warden"
                ),
            )
        return self.named[1]

    def seats(self):
        """The core machines as far as they are known.

        Example: `core.seats()`
        """
        return list(self.council.view.seats) if self.council.view is not None else []

    def serving(self):
        """Whether nodes may rely on this core: the tail was heard just now.

        Example: `core.serving()`
        """
        heard, number = self.beaten
        c = self.council
        return (
            not self.stopping
            and c.view is not None
            and number == c.view.number
            and c.serving()
            and self.mach.now() - heard < FRESH_US
        )

    def installed(self, v):
        """A new view was agreed.

        Example: `core.installed(view)`
        """
        self.counts["views"] += 1
        self.heard_reports = {}
        self.holders.installed(self.council.predecessors, replicas(v), self.mach.now())
        self.chain.install(v)
        self.report_now.wake()
        self.beat_now.wake()
        self.neighbours.keep(self.council.addresses())

    def wake_posts(self):
        """Let all nodes' sessions look for news.

        Example: `core.wake_posts()`
        """
        for post in list(self.posts.values()):
            post.changed.wake()
        self.beat_now.wake()

    # ---- messages -----------------------------------------------------------------

    def serve(self, link, msg):
        """Answer one message from another process.

        Example: `Listener(mach, core.serve, log)`
        """
        match msg:
            case message.Pulse() | message.Prepare() | message.Accept() | message.Decided() | message.LeaseAsk():
                return self.council.answer(msg)
            case message.Place() | message.Refill() | message.Append() | message.Propose() | message.Look():
                return self.chain.answer(msg)
            case message.Sessions():
                self.take_report(msg)
            case message.Beat():
                self.hear_beat(msg)
            case message.Join():
                self.join(link, msg)
            case message.Alive():
                if link.post is not None:
                    self.hear_node(link.post, msg)
            case message.Loads():
                self.loads.take(link, msg)
            case message.Listing():
                if self.listing is None or msg.stamp > self.listing.stamp:
                    self.listing = msg
                    self.report_now.wake()
            case message.Same():
                self.take_same(msg)
            case message.Seated(key=key, term=term):
                self.seated[key] = max(term, self.seated.get(key, (0, 0)))
                self.report_now.wake()
            case message.Contested(key=key, term=term):
                self.contested[key] = term
                self.report_now.wake()
            case message.Leave():
                return self.pass_leave(msg)
            case message.Copy(pool=pool):
                if self.shelves.setdefault(pool, warden.Shelf()).take(msg, self.mach.now()):
                    self.soiled.add(pool)
                if link is not None and link.post is not None:
                    for s in self.seats():
                        if s.id != self.council.me.id:
                            self.mach.spawn(self.neighbours.tell(s.host, s.port, msg), log)
            case message.Gather():
                return self.gathered(msg)
            case _:
                log.warning("A core has no answer to {}.", type(msg).__name__)

    def hear_node(self, session, heartbeat):
        """Take a node's heartbeat: how far it has come, and its time.

        Example: `core.hear_node(link.post, message.Alive(17, (3, 1), None, 5_000_000))`
        """
        session.node_time = max(session.node_time, heartbeat.sent_at)
        self.lease.heard(session.member.id, heartbeat.n, self.mach.now())
        if heartbeat.n > session.place:
            session.place = heartbeat.n
            self.report_now.wake()

    def take_report(self, report):
        """At the tail: take a core machine's report.

        Example: `core.take_report(sessions)`
        """
        before = self.applied()
        self.take_same(report.same)
        self.issuer.take(report)
        self.spread_roster()
        if self.council.tail() and report.view == self.council.view.number:
            self.heard_reports[report.core] = max(report.sent_at, self.heard_reports.get(report.core, 0))
            self.holders.heard(report.core, report.leases, self.mach.now())
        if self.applied() != before:
            self.beat_now.wake()

    def applied(self):
        """At the tail: how far every node that may hold a lease has come.

        Example: `core.applied()`
        """
        return self.holders.applied(self.chain.base.n, self.mach.now()) if self.council.leased() else 0

    async def pass_leave(self, msg):
        """Pass a leaving node's word on to the tail.

        Example: `await core.pass_leave(message.Leave("c0ffee"))`
        """
        if self.council.tail():
            self.issuer.leave(msg.member)
            self.spread_roster()
        elif self.council.view is not None:
            tail = self.council.seat(self.council.view.chain[-1].id)
            if (tail.host, tail.port) != (self.options.host, self.options.port):
                await self.neighbours.tell(tail.host, tail.port, msg)

    def hear_beat(self, m):
        """Take the tail's beat.

        Example: `core.hear_beat(beat)`
        """
        if self.council.view is None or m.view != self.council.view.number:
            return
        self.lease.renew(m.echo)
        if not m.echo:
            self.report_now.wake()
        else:
            self.beaten = (max(m.echo, self.beaten[0]), m.view)
        self.issuer.learn(m.roster)
        if self.chain.whole():
            self.chain.commit(m.n)
        self.take_forced(m.forced)
        self.take_same(m.same)
        self.sessions = m.sessions
        self.wake_posts()

    def take_same(self, same):
        """Take a word that the worker list stands, if it is the newest.

        Example: `core.take_same(message.Same((1, 2, 9), (1, 2, 3)))`
        """
        if same is not None and (self.same is None or same.stamp > self.same.stamp):
            self.same = same

    def take_forced(self, n):
        """Every member has come as far as n.

        Example: `core.take_forced(17)`
        """
        if n > self.forced:
            self.forced = n
            self.forced_on.wake()

    def join(self, link, m):
        """Begin a node's session.

        Example: `core.join(link, message.Join(member, 0, None))`
        """
        self.issuer.learn(m.roster)
        if self.stopping:
            link.tell(message.Elsewhere(self.seats()))
            return
        if not self.serving() and m.place < 0 and self.chain.tip.n and self.mach.now() - self.council.began < EARLY_US:
            tip = self.chain.tip
            link.tell(message.Early((tip.made, tip.n), blueprint.carve(tip.items, m.member.zone)))
        self.loads.pending.pop(m.member.id, None)
        self.counts["joins"] += 1
        post = self.posts[m.member.id] = Post(self, link, m)
        log.info("Node {} joins at {}; serving: {}.", m.member.name, m.place, self.serving())
        self.lease.close(m.member.id)
        self.lease.heard(m.member.id, m.place, self.mach.now())
        self.mach.spawn(post.feed(), log)
        self.report_now.wake()

    # ---- tasks -----------------------------------------------------------------------

    async def report(self):
        """Tell the tail which sessions stand here.

        Example: `mach.spawn(core.report())`
        """
        while True:
            v = self.council.view
            if v is not None and self.council.serving():
                for i in [i for i, p in self.posts.items() if not p.link.up]:
                    del self.posts[i]
                    self.lease.close(i)
                members = [self.posts[i].member for i in sorted(self.posts)]
                places = [self.posts[i].place for i in sorted(self.posts)]
                latest = self.issuer.latest
                told = latest if latest is not None and latest.stamp[0] < v.number else None
                tail = v.chain[-1].id
                msg = message.Sessions(
                    self.council.me.id,
                    v.number,
                    members,
                    places,
                    self.news_of_workers(v),
                    sorted(self.seated.items()),
                    told,
                    sorted(self.contested.items()),
                    self.same,
                    self.mach.now(),
                    self.lease.report(self.mach.now()),
                )
                if tail == self.council.me.id:
                    self.serve(None, msg)
                else:
                    seat = self.council.seat(tail)
                    self.mach.spawn(self.neighbours.tell(seat.host, seat.port, msg), log)
            await self.mach.pause(self.report_now, BEAT_US)
            await self.mach.sleep(REPORT_US)

    def news_of_workers(self, v):
        """The worker list, for the tail of a view: where it is new to it, and again now and then.

        Example: `core.news_of_workers(council.view)`
        """
        if self.listing is None:
            return None
        what, now = (v.number, self.listing.stamp), self.mach.now()
        if what == self.listing_told[0] and now - self.listing_told[1] < RELIST_US:
            return None
        self.listing_told = (what, now)
        return self.listing

    async def gathered(self, m):
        """What is kept here of a pool, for a new warden; `copy` says whether it ever had one.

        That it has one now is on the disk before the answer, so that no later warden takes
        the pool for new.

        Example: `res = await core.gathered(message.Gather("desk", (3, 1), "n1-c0ffee"))`
        """
        shelf = self.shelves.setdefault(m.pool, warden.Shelf())
        had = shelf.term > (0, 0)
        shelf.fence(m.term)
        if not had:
            try:
                await self.disk.commit([(b"shelf/" + m.pool.encode(), freeze_shelf(shelf, self.mach.now()))])
            except store.DiskDefect:
                return message.Gathered(False)
        return message.Gathered(True, shelf.told(self.mach.now())[0], copy=had)

    async def keep_shelves(self):
        """Now and then, bring the late copies of sessions to the disk.

        Example: `mach.spawn(core.keep_shelves())`
        """
        while True:
            await self.mach.sleep(500 * machine.MILLI)
            now = self.mach.now()
            for pool in sorted(self.soiled):
                self.shelves[pool].sweep(now)
            puts = [(b"shelf/" + pool.encode(), freeze_shelf(self.shelves[pool], now)) for pool in sorted(self.soiled)]
            self.soiled.clear()
            if puts:
                with contextlib.suppress(store.DiskDefect):  # only a late copy; the guard has noted the defect
                    await self.disk.commit(puts)

    async def issue(self):
        """At the tail: look after the roster's graces.

        Example: `mach.spawn(core.issue())`
        """
        while True:
            await self.mach.sleep(100 * machine.MILLI)
            if self.council.tail():
                self.issuer.issue()
                self.spread_roster()

    def spread_roster(self):
        """Wake the beat if the roster has moved on.

        Example: `core.spread_roster()`
        """
        if self.issuer.latest is not None and self.issuer.latest.stamp != self.spread:
            self.spread = self.issuer.latest.stamp
            self.wake_posts()

    async def beat(self):
        """At the tail, under the lease: tell all cores what stands.

        Example: `mach.spawn(core.beat())`
        """
        told = {}
        beats = 0
        while True:
            v = self.council.view
            if self.council.leased():
                beats += 1
                if beats % 4 == 0:
                    told.clear()  # a roster may have been lost with a link
                n = self.chain.base.n
                latest = self.issuer.latest if self.issuer.issuing() else None
                for link in v.chain:
                    news = latest if latest is not None and told.get(link) != (v.number, latest.stamp) else None
                    if latest is not None:
                        told[link] = (v.number, latest.stamp)
                    forced = self.applied()
                    echo = self.heard_reports.get(link.id, 0)
                    msg = message.Beat(v.number, n, forced, self.issuer.sessions(), news, self.same, echo)
                    if link.id == self.council.me.id:
                        self.lease.renew(echo)
                        self.beaten = (self.mach.now(), v.number)
                        self.take_forced(forced)
                        self.sessions = self.issuer.sessions()
                        for post in list(self.posts.values()):
                            post.changed.wake()
                    else:
                        seat = self.council.seat(link.id)
                        self.mach.spawn(self.neighbours.tell(seat.host, seat.port, msg), log)
            await self.mach.pause(self.beat_now, BEAT_US)

    # ---- operators ----------------------------------------------------------------------

    async def handle(self, req):
        """Answer one operator's exchange.

        Example: `Server(mach, core.handle)`
        """
        path = req.path.decode("latin-1").split("?")[0].strip("/").split("/")
        match (req.method, path):
            case (b"GET", ["blueprint"]):
                seen = await self.look("")
                req.answer_json(200, {"stamp": seen.stamp, "blueprint": blueprint.unflatten(seen.items)})
            case (b"POST", ["plans"]):
                req.answer_json(200, await self.plan(req.json()))
            case (b"GET", ["plans", ident]):
                seen = await self.look(ident)
                if seen.plan is None:
                    raise verdict.Defect("not_found", "No such plan is remembered.")
                req.answer_json(200, {**seen.plan, "now": seen.stamp})
            case (b"POST", ["plans", ident, "confirm"]):
                self.counts["confirms"] += 1
                res = await self.confirm(ident)
                req.answer_json(200, {"id": ident, "stamp": res.stamp, "verdict": "ran"})
            case (b"POST", ["changes"]):
                number, stamp = await self.take_change(req.json())
                req.answer_json(200, {"number": number, "stamp": stamp, "verdict": "ran"})
            case (b"GET", ["state"]):
                req.answer_json(200, self.state())
            case (b"GET", ["ready"]):
                ok = self.serving()
                req.answer_json(200 if ok else 503, {"ready": ok})
            case (_, ["blueprint" | "plans" | "changes" | "state" | "ready", *_]):
                raise verdict.Defect("bad_method", "This path does not take that method.")
            case _:
                raise verdict.Defect("not_found", "There is no such path.")

    def state(self):
        """What this core shows of itself.

        Example: `core.state()["view"]`
        """
        c = self.council
        v = c.view
        return {
            "role": "core",
            "id": c.me.id,
            "boot": self.mach.boot,
            "zone": c.me.zone,
            "view": v.number if v is not None else 0,
            "chain": [link.id for link in v.chain] if v is not None else [],
            "seats": message.plain(v.seats) if v is not None else [],
            "tail": c.tail(),
            "leased": c.leased(),
            "serving": self.serving(),
            "whole": self.chain.whole(),
            "stamp": self.chain.base.stamp,
            "n": self.chain.base.n,
            "tip": self.chain.tip.n,
            "lease_left_us": max(0, self.lease.until - self.mach.now()),
            "disk_ok": self.disk.ok,
            "sessions": sorted(p.member.name for p in self.posts.values()),
            "fed_bytes": {p.member.name: p.link.sent_bytes for p in self.posts.values()},
            "roster": message.plain(self.issuer.latest),
            "counts": self.counts,
        }

    async def ask_link(self, k, make, us=ANSWER_US):
        """Put a message to the chain's link k (0 the head, -1 the tail).

        Example: `res = await core.ask_link(-1, lambda number: message.Look(number))`
        """
        v = self.council.view
        if v is None:
            raise verdict.Defect("no_chain", "No view is agreed yet.")
        seat = self.council.seat(v.chain[k].id)
        msg = make(v.number)
        try:
            if seat.id == self.council.me.id:
                return await self.mach.within(defer.ensureDeferred(self.chain.answer(msg)), us)
            return await self.mach.within(defer.ensureDeferred(self.neighbours.call(seat.host, seat.port, msg, us)), us)
        except (wire.Broken, machine.Late) as e:
            if isinstance(e, wire.Broken) and not e.sent:
                raise verdict.Defect("no_chain", "The chain's machine can't be reached.") from e
            raise verdict.Defect("unknown_outcome", "No answer came in time.", verdict.Verdict.MAY_HAVE_RUN) from e

    async def look(self, ident, us=ANSWER_US):
        """Read at the tail.

        Example: `seen = await core.look("")`
        """
        try:
            seen = await self.ask_link(-1, lambda number: message.Look(number, ident), us)
        except verdict.Defect:
            raise verdict.Defect("no_chain", "The tail does not answer now.") from None
        if not seen.ok:
            raise verdict.Defect("no_chain", "The tail holds no lease now.")
        return seen

    async def read(self):
        """The items that stand, read at the tail; asked for again for a moment where it has no lease.

        Example: `items = await core.read()`
        """
        until = self.mach.now() + CHANGE_US
        while True:
            try:
                return (await self.look("", max(1, until - self.mach.now()))).items
            except verdict.Defect:
                if self.mach.now() >= until:
                    raise
            await self.mach.sleep(AGAIN_US)

    async def propose(self, kind, ident, base=0, changes=(), us=ANSWER_US):
        """Bring a change to the head.

        Example: `res = await core.propose("confirm", "3-ab")`
        """
        make = lambda number: message.Propose(number, kind, ident, base, list(changes))  # noqa: E731
        res = await self.ask_link(0, make, us)
        if res.code:
            self.counts["refused"] += 1
            raise verdict.Defect(res.code, res.text, verdict.Verdict(res.verdict))
        return res

    async def confirm(self, ident):
        """Have a plan confirmed; returns once it stands and every member has it in force.

        Example: `res = await core.confirm("3-ab")`
        """
        if self.without_nodes():
            raise verdict.Defect("no_nodes", "No node can be reached; a change would not come into force.")
        res = await self.propose("confirm", ident)
        await self.show(res.stamp, self.mach.now() + self.options.lease_us + FORCE_US)
        if self.without_nodes():
            raise verdict.Defect(
                "unknown_outcome",
                "The change is committed, but no node can be reached.",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        return res

    def without_nodes(self):
        """Whether there are nodes, and none has a session: they may all be cut off, and go on by what they have.

        Example: `if core.without_nodes(): refuse()`
        """
        latest = self.issuer.latest
        return latest is not None and bool(latest.members) and not self.sessions

    async def take_change(self, doc):
        """Take a numbered change: a whole blueprint, or items to put in and to remove.

        Example: `await core.take_change({"number": 9, "built_on": 7, "remove": {"routes": ["old"]}})`
        """
        match doc:
            case {"blueprint": _, "upsert": _} | {"blueprint": _, "remove": _}:
                raise verdict.Defect(
                    "bad_request", "Send a blueprint, or items to put in and remove.", field="blueprint"
                )
            case (
                {"number": int(number), "built_on": int(built_on), "blueprint": _}
                | {"number": int(number), "built_on": int(built_on), "upsert": _}
                | {"number": int(number), "built_on": int(built_on), "remove": _}
            ):
                pass
            case _:
                raise verdict.Defect(
                    "bad_request", "A change wants number, built_on, and what it changes.", field="number"
                )
        for name in doc:
            if name not in ("number", "built_on", "blueprint", "upsert", "remove"):
                raise verdict.Defect("bad_request", "Unknown field.", field=name)

        def make(items):
            whole = blueprint.unflatten(items)
            return blueprint.flatten(
                doc["blueprint"]
                if "blueprint" in doc
                else blueprint.amend(whole, doc.get("upsert", {}), doc.get("remove", {}))
            )

        ident = blueprint.change_id(number, built_on, doc)
        return number, await self.change(ident, number, built_on, make)

    async def change(self, ident, number, built_on, make):
        """Bring a numbered change into force, built on the operator's number `built_on`.

        make(items) gives the new items, or raises BadBlueprint. The same change (the same
        id) said again finds itself taken, also when later ones were taken since. The head
        compares stamps, so of two changes on one base just one is taken. "base_moved" is
        said only after a read at the tail, under its lease, that shows another number and
        does not know this change: numbers rise, so it can't be taken any more. Answers
        within CHANGE_US; once it stands, it waits a little for nodes that don't have it yet.

        Example: `stamp = await core.change("c5-7-0a", 7, 5, lambda items: {**items, "pools/p": {}})`
        """
        until = self.mach.now() + CHANGE_US
        self.counts["changes"] += 1
        base = self.chain.base
        plan = base.plans.get(ident)
        known = (base.stamp, base.items, plan.stamp if plan is not None else 0)
        sure, maybe, why = False, False, None
        while True:
            left = until - self.mach.now()
            if left <= 0:
                break
            try:
                if known is None:
                    seen = await self.look(ident, left)
                    known, sure = (seen.stamp, seen.items, seen.plan["stamp"] if seen.plan else 0), True
                stamp, items, done = known
                if not done and blueprint.number(items) != built_on:
                    if not sure:
                        known = None
                        continue
                    raise verdict.Defect("base_moved", f"The blueprint is at number {blueprint.number(items)}.")
                if not done:
                    changes = blueprint.differ(items, self.renumber(number, built_on, make, items))
                    done = (await self.propose("apply", ident, stamp, changes, max(0, until - self.mach.now()))).stamp
                await self.show(done, until)
                return done
            except verdict.Defect as d:
                moved = d.code == "base_moved" and not (known and sure and blueprint.number(known[1]) != built_on)
                if not moved and d.status < 500:
                    raise
                maybe = maybe or d.verdict is verdict.Verdict.MAY_HAVE_RUN
                known, why = None, d
            await self.mach.sleep(AGAIN_US)
        if maybe or why is None:
            raise verdict.Defect(
                "unknown_outcome", "Nobody can say yet whether the change stands.", verdict.Verdict.MAY_HAVE_RUN
            )
        raise verdict.Defect("no_chain", f"The change can't be taken now: {why.text}")

    def renumber(self, number, built_on, make, items):
        """The items that a change makes, under its number; raises Defect.

        Example: `core.renumber(7, 5, make, items)`
        """
        defects = [] if number > built_on else [f"marks/operator: number {number} is not above {built_on}"]
        try:
            new = make(items)
        except blueprint.BadBlueprint as e:
            defects += e.defects
        if defects:
            raise verdict.Defect("bad_blueprint", "; ".join(defects[:50]), field="blueprint")
        return {**new, "marks/operator": {**new.get("marks/operator", {}), "number": number}}

    async def show(self, stamp, until):
        """Wait until every node that may hold a lease has come as far as a version; raises Defect at `until`.

        Example: `await core.show(17, until)`
        """
        while self.forced < stamp:
            left = until - self.mach.now()
            if left <= 0:
                raise verdict.Defect(
                    "unknown_outcome",
                    "The change is committed, but a node may not have applied it yet.",
                    verdict.Verdict.MAY_HAVE_RUN,
                )
            await self.mach.pause(self.forced_on, left)

    async def plan(self, doc):
        """Make a plan of an operator's intent: a whole blueprint, or a JSON Patch.

        Example: `await core.plan({"blueprint": {...}, "base": 7})`
        """
        self.counts["plans"] += 1
        match doc:
            case {"blueprint": _, "patch": _}:
                raise verdict.Defect("bad_request", "Send a blueprint or a patch, not both.", field="patch")
            case {"blueprint": _} | {"patch": _}:
                pass
            case _:
                raise verdict.Defect("bad_request", "A blueprint or a patch is needed.", field="blueprint")
        for name in doc:
            if name not in ("blueprint", "patch", "base"):
                raise verdict.Defect("bad_request", "Unknown field.", field=name)
        seen = await self.look("")
        base = doc.get("base", seen.stamp)
        if type(base) is not int:
            raise verdict.Defect("bad_request", "base is not a stamp.", field="base")
        if base != seen.stamp:
            raise verdict.Defect("base_moved", f"The blueprint is at {seen.stamp}, not at {base}.")
        try:
            new = doc.get("blueprint")
            if "patch" in doc:
                new = blueprint.patch(blueprint.unflatten(seen.items), doc["patch"])
            items = blueprint.flatten(new)
        except blueprint.BadBlueprint as e:
            raise verdict.Defect("bad_blueprint", "; ".join(e.defects[:50]), field="blueprint") from e
        changes = blueprint.differ(seen.items, items)
        ident = blueprint.plan_id(base, changes)
        await self.propose("plan", ident, base, changes)
        told = blueprint.describe(seen.items, changes)
        held = {pool: len(self.shelves[pool].sessions) for pool in told["pools"] if pool in self.shelves}
        return {"id": ident, "base": base, **told, "open_sessions": held}

    async def stop(self):
        """Send the nodes elsewhere, let the others agree on a chain without this machine, finish.

        Example: `await core.stop()`
        """
        self.stopping = True
        self.wake_posts()
        self.council.leave()
        until = self.mach.now() + min(LEAVE_US, self.options.grace_us // 2)
        await self.mach.sleep(100 * machine.MILLI)
        while self.council.needed() and self.mach.now() < until:
            self.council.pulse_now.wake()
            await self.mach.sleep(50 * machine.MILLI)
