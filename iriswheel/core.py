"""A core machine: its link of the chain, its nodes' sessions, its operators' door."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import loguru
import msgspec
import twisted.internet.defer as defer
import twisted.python.failure as failure

import iriswheel.agreement as agreement
import iriswheel.chain as chain
import iriswheel.configuration as configuration
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

if typing.TYPE_CHECKING:
    import iriswheel.options as options_module
    import iriswheel.web as web


BEAT_US = 250 * machine.MILLI
RELIST_US = 2 * machine.SECOND  # the worker list is told the tail again, although it stands
REPORT_US = 5 * machine.MILLI  # what else the nodes say within this goes to the tail in one word
FRESH_US = 1_100 * machine.MILLI  # without an answer of the tail for so long, a core machine does not serve
ANSWER_US = 3 * machine.SECOND
FORMAT = 3  # of what stands on the disk
EARLY_US = 15 * machine.SECOND  # a core that has run for longer and does not serve is cut off: its state may be past
FORCE_US = 1 * machine.SECOND  # beyond a lease, a confirmation waits so long for nodes
CHANGE_US = 900 * machine.MILLI  # a change is answered within this, known or not
AGAIN_US = 30 * machine.MILLI

log = loguru.logger.bind(part="core")


def shield(d: defer.Deferred[typing.Any]) -> defer.Deferred[typing.Any]:
    """A Deferred that fires as d does; cancelling it leaves d to go on.

    What has begun to write must know of its write when that ends, whoever still waits for it.

    >>> d = defer.Deferred()
    >>> shield(d).addErrback(lambda f: None).cancel()
    >>> d.called
    False
    """
    out = defer.Deferred()

    def done(res: message.Proposed | message.Seen) -> None:
        if not out.called:
            out.callback(res)
        elif isinstance(res, failure.Failure):
            log.error("An answer that nobody waited for any more broke off: {}", res.getTraceback())

    d.addBoth(done)
    return out


class Order(typing.NamedTuple):
    """An operator's numbered change, built on the number `built_on`.

    make(items) gives the new items, or raises InvalidConfigurationError. `whole` says that these don't
    depend on the old ones.
    """

    ident: str
    number: int
    built_on: int
    make: typing.Callable
    whole: bool = False


class Known(typing.NamedTuple):
    """The state that an order is judged by; `sure` where it was read at the tail for this order."""

    stamp: int
    items: typing.Any
    taken: int
    forgotten: int
    sure: bool


class NodeSession:
    """One node's session: the feed of its slice and of the roster.

    Example: `post = NodeSession(core, link, join)`; `mach.spawn(post.feed())`.
    """

    def __init__(self, core: Core, link: wire.Connection, join: message.Join) -> None:
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
        # the state and roster that the last slice was cut from
        self.sliced: tuple[int, tuple[int, int] | None] | None = None
        self.changed = machine.Signal()

    def slice(self) -> dict[str, dict[str, typing.Any]]:
        """The items that this node needs now.

        Example: `post.slice()`
        """
        latest = self.core.issuer.latest
        duties = latest.duties if latest is not None else []
        pools = [d.key[5:] for d in duties if d.holder == self.member.id and d.key.startswith("pool/")]
        return self.core.slices.slice(self.core.chain.base, self.member.zone, tuple(pools))

    def flush(self) -> None:
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
                self.link.tell(message.Snapshot(base.n, now))
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

    async def feed(self) -> None:
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
        if self.core.node_sessions.get(self.member.id) is self:
            del self.core.node_sessions[self.member.id]
            self.core.lease.close(self.member.id)
            self.core.report_now.wake()


def replicas(v: message.View) -> list[tuple[str, str]]:
    """The machines of a view's chain, as (core id, incarnation).

    >>> replicas(message.View(4, [], [message.ChainReplica("a", "x")]))
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

    def __init__(self) -> None:
        self.slices: dict[tuple[int, int, str, tuple[str, ...]], dict[str, dict[str, typing.Any]]] = {}
        self.deltas: dict[
            tuple[int, int],
            tuple[
                dict[str, dict[typing.Any, typing.Any]],
                dict[str, dict[typing.Any, typing.Any]],
                dict[str, dict[typing.Any, typing.Any] | None],
            ],
        ] = {}

    def _keep(
        self,
        kept: dict[tuple[typing.Any, ...], typing.Any],
        key: tuple[typing.Any, ...],
        val: dict[str, dict[str, typing.Any]]
        | tuple[
            dict[str, dict[str, typing.Any]], dict[str, dict[str, typing.Any]], dict[str, dict[str, typing.Any] | None]
        ],
    ) -> (
        dict[str, dict[str, typing.Any]]
        | tuple[
            dict[str, dict[str, typing.Any]], dict[str, dict[str, typing.Any]], dict[str, dict[str, typing.Any] | None]
        ]
    ):
        if len(kept) >= self.ROOM:
            del kept[next(iter(kept))]
        kept[key] = val
        return val

    def slice(self, ledger: chain.Ledger, zone: str, pools: tuple[str, ...]) -> dict[str, dict[str, typing.Any]]:
        """What a node in a zone with these pools' duties needs of a state.

        Example: `slices.slice(chain.base, "north", ("desk",))`
        """
        key = (ledger.n, ledger.made, zone, pools)
        return self.slices.get(key) or self._keep(self.slices, key, configuration.carve(ledger.fed, zone, pools))

    def delta(
        self, old: dict[str, dict[str, typing.Any]], new: dict[str, dict[str, typing.Any]]
    ) -> dict[str, dict[str, typing.Any] | None]:
        """The changes from one slice to another, as a map; None removes.

        Example: `slices.delta(sent, now)`
        """
        if old is new:
            return {}
        key = (id(old), id(new))
        kept = self.deltas.get(key)  # with the slices themselves, so that their ids stay theirs
        if kept is None:
            kept = self._keep(self.deltas, key, (old, new, dict(configuration.differ(old, new))))
        return kept[2]


def encode_session_replica(session_replica: warden.SessionReplica, now: int) -> bytes:
    """A session replica's sessions as bytes, with the time.

    >>> decode_session_replica(encode_session_replica(warden.SessionReplica(), 5), 7).told(7)
    ([], [])
    """
    return msgspec.msgpack.encode([now, session_replica.term, session_replica.told(now)[0]])


def decode_session_replica(raw: bytes, now: int) -> warden.SessionReplica:
    """A session replica from bytes. After a restart of the machine its clock has begun anew.

    Example: `decode_session_replica(raw, mach.now())`
    """
    at, term, sessions = msgspec.msgpack.decode(raw, type=tuple[int, tuple[int, int], list[message.Session]])
    session_replica = warden.SessionReplica()
    session_replica.term = term
    session_replica.sessions = {s.id: (s, min(at, now)) for s in sessions}
    return session_replica


class Core:
    """The whole process, but for sockets and command line.

    Example: `core = Core(mach, disk, options)`; `core.start()`.
    """

    def __init__(self, mach: machine.Machine, disk: store.Disk, options: options_module.Options) -> None:
        self.mach = mach
        self.options = options
        state = disk.read()
        if int(state.get(b"format", b"0")) > FORMAT:
            raise store.DiskError(
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
        record = (
            msgspec.msgpack.decode(state[b"council"], type=agreement.Record)
            if b"council" in state
            else agreement.Record()
        )
        self.peers = wire.Peers(mach, self.serve, log)
        self.chain = chain.Chain(mach, self.disk, state, self.peers)
        self.membership = view.Membership(
            mach,
            self.disk,
            record,
            me,
            options.seed_list() if options.found else [],
            self.peers,
            self.installed,
            options.seats,
            options.copies,
        )
        self.membership.learn_seeds(options.seed_list())
        self.chain.membership = self.membership
        self.membership.tip = lambda: (self.chain.tip.made, self.chain.tip.n)
        self.chain.on_commit = self.wake_node_sessions
        self.issuer = roster.Issuer(mach, self.membership, self.pools)
        self.node_sessions: dict[str, NodeSession] = {}
        self.slices = Slices()
        self.named = (-1, [])  # the pools that have wardens, and the state they were read from
        self.beaten = (0, 0)  # when this core sent the newest report that the tail has answered, and in which view
        self.lease = lease.CoreLease(options.lease_us)
        self.holders = lease.Holders(options.lease_us, mach.now())
        self.heard_reports: dict[str, int] = {}  # core -> `sent_at` of its newest report in this view
        self.beat_now = machine.Signal()
        self.listing: message.Listing | None = None
        self.listing_told = (None, 0)  # to which tail, of which view, under which stamp it was told; and when
        self.same: message.Same | None = None  # the newest word that the worker list stands
        # duty -> the newest term under which its holder here said that it is seated
        self.seated: dict[str, tuple[int, int]] = {}
        self.contested: dict[typing.Any, typing.Any] = {}  # duty -> the term that its holder here can't use
        self.report_now = machine.Signal()
        # pool -> warden.SessionReplica, late copies of the wardens' sessions
        self.session_replicas: dict[str, warden.SessionReplica] = {}
        for key, raw in state.items():
            if key.startswith(b"shelf/"):
                self.session_replicas[key[6:].decode()] = decode_session_replica(raw, mach.now())
        self.dirty: set[str] = set()  # pools whose session replica is not on the disk as it is
        self.applied_by_all = 0  # every node has come at least this far
        self.applied_by_all_changed = machine.Signal()
        self.sessions = 0  # members that have a session, as the tail counts them
        self.counts = {"plans": 0, "confirms": 0, "changes": 0, "refused": 0, "joins": 0, "views": 0}
        self.spread: tuple[int, int] | None = None  # the stamp of the roster last spread from here
        self.stopping = False
        self.loads = loads.CoreSide(self)

    def start(self) -> None:
        """Start all tasks.

        Example: `core.start()`
        """
        for coro in (
            self.disk.watch(),
            self.membership.exchange_heartbeats(),
            self.membership.renew(),
            self.membership.mend(),
            self.report(),
            self.beat(),
            self.issue(),
            self.keep_session_replicas(),
            self.loads.run(),
        ):
            self.mach.spawn(coro, log)
        if self.membership.view is not None:
            log.info(
                "Core {} starts with view {} at {}.",
                self.membership.me.id,
                self.membership.view.number,
                self.chain.tip.n,
            )
        else:
            log.info("Core {} starts blank.", self.membership.me.id)

    def renew(self, options: options_module.Options) -> None:
        """Take in options that were read again: further seeds.

        Example: `core.renew(options.read("core", path, {}))`
        """
        self.membership.learn_seeds(options.seed_list())
        log.info("The options were read again.")

    # ---- state -----------------------------------------------------------------

    def pools(self) -> list[str]:
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

    def seats(self) -> list[message.Seat]:
        """The core machines as far as they are known.

        Example: `core.seats()`
        """
        return list(self.membership.view.seats) if self.membership.view is not None else []

    def serving(self) -> bool:
        """Whether nodes may rely on this core: the tail was heard just now.

        Example: `core.serving()`
        """
        heard, number = self.beaten
        c = self.membership
        return (
            not self.stopping
            and c.view is not None
            and number == c.view.number
            and c.serving()
            and self.mach.now() - heard < FRESH_US
        )

    def installed(self, v: message.View) -> None:
        """A new view was agreed.

        Example: `core.installed(view)`
        """
        self.counts["views"] += 1
        self.heard_reports = {}
        before = self.membership.predecessors
        was_tail = bool(before) and before[-1] == (self.membership.me.id, self.mach.boot)
        self.holders.installed(before, replicas(v), self.mach.now(), was_tail)
        self.chain.install(v)
        self.report_now.wake()
        self.beat_now.wake()
        self.peers.keep(self.membership.addresses())

    def wake_node_sessions(self) -> None:
        """Let all nodes' sessions look for news.

        Example: `core.wake_node_sessions()`
        """
        for post in list(self.node_sessions.values()):
            post.changed.wake()
        self.beat_now.wake()

    # ---- messages -----------------------------------------------------------------

    def serve(
        self, link: wire.Connection | None, msg: message.Message
    ) -> collections.abc.Coroutine[typing.Any, typing.Any, typing.Any] | None:
        """Answer one message from another process.

        Example: `Listener(mach, core.serve, log)`
        """
        match msg:
            case (
                message.Heartbeat() | message.Prepare() | message.Accept() | message.Decided() | message.LeaseRequest()
            ):
                return self.membership.answer(msg)
            case message.Place() | message.Piece() | message.Refill() | message.Append():
                return self.chain.answer(msg)
            case message.Propose() | message.Look():
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
                if self.session_replicas.setdefault(pool, warden.SessionReplica()).take(msg, self.mach.now()):
                    self.dirty.add(pool)
                if link is not None and link.post is not None:
                    for s in self.seats():
                        if s.id != self.membership.me.id:
                            self.mach.spawn(self.peers.tell(s.host, s.port, msg), log)
            case message.Gather():
                return self.gathered(msg)
            case _:
                log.warning("A core has no answer to {}.", type(msg).__name__)

    def hear_node(self, session: NodeSession, heartbeat: message.Alive) -> None:
        """Take a node's heartbeat: how far it has come, and its time.

        Example: `core.hear_node(link.post, message.Alive(17, (3, 1), None, 5_000_000))`
        """
        session.node_time = max(session.node_time, heartbeat.sent_at)
        self.lease.heard(session.member.id, heartbeat.n, self.mach.now())
        if heartbeat.n > session.place:
            session.place = heartbeat.n
            self.report_now.wake()

    def take_report(self, report: message.Sessions) -> None:
        """At the tail: take a core machine's report.

        Example: `core.take_report(sessions)`
        """
        before = self.applied()
        self.take_same(report.same)
        self.issuer.take(report)
        self.spread_roster()
        if self.membership.tail() and report.view == self.membership.view.number:
            self.heard_reports[report.core] = max(report.sent_at, self.heard_reports.get(report.core, 0))
            self.holders.heard(report.core, report.leases, self.mach.now())
        if self.applied() != before:
            self.beat_now.wake()

    def applied(self) -> int:
        """At the tail: how far every node that may hold a lease has come.

        Example: `core.applied()`
        """
        return self.holders.applied(self.chain.base.n, self.mach.now()) if self.membership.leased() else 0

    async def pass_leave(self, msg: message.Leave) -> None:
        """Pass a leaving node's word on to the tail.

        Example: `await core.pass_leave(message.Leave("c0ffee"))`
        """
        if self.membership.tail():
            self.issuer.leave(msg.member)
            self.spread_roster()
        elif self.membership.view is not None:
            tail = self.membership.seat(self.membership.view.chain[-1].id)
            if (tail.host, tail.port) != (self.options.host, self.options.port):
                await self.peers.tell(tail.host, tail.port, msg)

    def hear_beat(self, m: message.Beat) -> None:
        """Take the tail's beat.

        Example: `core.hear_beat(beat)`
        """
        if self.membership.view is None or m.view != self.membership.view.number:
            return
        self.lease.renew(m.echo)
        if not m.echo:
            self.report_now.wake()
        else:
            self.beaten = (max(m.echo, self.beaten[0]), m.view)
        self.issuer.learn(m.roster)
        if self.chain.whole():
            self.chain.commit(m.n)
        self.take_forced(m.applied_by_all)
        self.take_same(m.same)
        self.sessions = m.sessions
        self.wake_node_sessions()

    def take_same(self, same: message.Same | None) -> None:
        """Take a word that the worker list stands, if it is the newest.

        Example: `core.take_same(message.Same((1, 2, 9), (1, 2, 3)))`
        """
        if same is not None and (self.same is None or same.stamp > self.same.stamp):
            self.same = same

    def take_forced(self, n: int) -> None:
        """Every member has come as far as n.

        Example: `core.take_forced(17)`
        """
        if n > self.applied_by_all:
            self.applied_by_all = n
            self.applied_by_all_changed.wake()

    def join(self, link: wire.Connection, m: message.Join) -> None:
        """Begin a node's session.

        Example: `core.join(link, message.Join(member, 0, None))`
        """
        self.issuer.learn(m.roster)
        if self.stopping:
            link.tell(message.Elsewhere(self.seats()))
            return
        if (
            not self.serving()
            and m.place < 0
            and self.chain.tip.n
            and self.mach.now() - self.membership.began < EARLY_US
        ):
            tip = self.chain.tip
            link.tell(message.Early((tip.made, tip.n), configuration.carve(tip.items, m.member.zone)))
        self.loads.pending.pop(m.member.id, None)
        self.counts["joins"] += 1
        post = self.node_sessions[m.member.id] = NodeSession(self, link, m)
        log.info("Node {} joins at {}; serving: {}.", m.member.name, m.place, self.serving())
        self.lease.close(m.member.id)
        self.lease.heard(m.member.id, m.place, self.mach.now())
        self.mach.spawn(post.feed(), log)
        self.report_now.wake()

    # ---- tasks -----------------------------------------------------------------------

    async def report(self) -> None:
        """Tell the tail which sessions stand here.

        Example: `mach.spawn(core.report())`
        """
        while True:
            v = self.membership.view
            if v is not None and self.membership.serving():
                for i in [i for i, p in self.node_sessions.items() if not p.link.up]:
                    del self.node_sessions[i]
                    self.lease.close(i)
                members = [self.node_sessions[i].member for i in sorted(self.node_sessions)]
                places = [self.node_sessions[i].place for i in sorted(self.node_sessions)]
                latest = self.issuer.latest
                told = latest if latest is not None and latest.stamp[0] < v.number else None
                tail = v.chain[-1].id
                msg = message.Sessions(
                    self.membership.me.id,
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
                if tail == self.membership.me.id:
                    self.serve(None, msg)
                else:
                    seat = self.membership.seat(tail)
                    self.mach.spawn(self.peers.tell(seat.host, seat.port, msg), log)
            await self.mach.pause(self.report_now, BEAT_US)
            await self.mach.sleep(REPORT_US)

    def news_of_workers(self, v: message.View) -> message.Listing | None:
        """The worker list, for the tail of a view: where it is new to it, and again now and then.

        Example: `core.news_of_workers(membership.view)`
        """
        if self.listing is None:
            return None
        what, now = (v.number, self.listing.stamp), self.mach.now()
        if what == self.listing_told[0] and now - self.listing_told[1] < RELIST_US:
            return None
        self.listing_told = (what, now)
        return self.listing

    async def gathered(self, m: message.Gather) -> message.Gathered:
        """What is kept here of a pool, for a new warden; `copy` says whether it ever had one.

        That it has one now is on the disk before the answer, so that no later warden takes
        the pool for new. A warden that asks again under its own term is not a later one.

        Example: `res = await core.gathered(message.Gather("desk", (3, 1), "n1-c0ffee"))`
        """
        session_replica = self.session_replicas.setdefault(m.pool, warden.SessionReplica())
        had = session_replica.term not in ((0, 0), m.term)
        session_replica.fence(m.term)
        if not had:
            try:
                await self.disk.commit(
                    [(b"shelf/" + m.pool.encode(), encode_session_replica(session_replica, self.mach.now()))]
                )
            except store.DiskError:
                return message.Gathered(False)
        return message.Gathered(True, session_replica.told(self.mach.now())[0], copy=had)

    async def keep_session_replicas(self) -> None:
        """Now and then, bring the late copies of sessions to the disk.

        Example: `mach.spawn(core.keep_session_replicas())`
        """
        while True:
            await self.mach.sleep(500 * machine.MILLI)
            now = self.mach.now()
            for pool in sorted(self.dirty):
                self.session_replicas[pool].sweep(now)
            puts = [
                (b"shelf/" + pool.encode(), encode_session_replica(self.session_replicas[pool], now))
                for pool in sorted(self.dirty)
            ]
            self.dirty.clear()
            if puts:
                with contextlib.suppress(store.DiskError):  # only a late copy; the guard has noted the error
                    await self.disk.commit(puts)

    async def issue(self) -> None:
        """At the tail: look after the roster's graces.

        Example: `mach.spawn(core.issue())`
        """
        while True:
            await self.mach.sleep(100 * machine.MILLI)
            if self.membership.tail():
                self.issuer.issue()
                self.spread_roster()

    def spread_roster(self) -> None:
        """Wake the beat if the roster has moved on.

        Example: `core.spread_roster()`
        """
        if self.issuer.latest is not None and self.issuer.latest.stamp != self.spread:
            self.spread = self.issuer.latest.stamp
            self.wake_node_sessions()

    async def beat(self) -> None:
        """At the tail, under the lease: tell all cores what stands.

        Example: `mach.spawn(core.beat())`
        """
        told = {}
        beats = 0
        while True:
            v = self.membership.view
            if self.membership.leased():
                beats += 1
                if beats % 4 == 0:
                    told.clear()  # a roster may have been lost with a link
                n = self.chain.base.n
                latest = self.issuer.latest if self.issuer.issuing() else None
                for link in v.chain:
                    news = latest if latest is not None and told.get(link) != (v.number, latest.stamp) else None
                    if latest is not None:
                        told[link] = (v.number, latest.stamp)
                    applied_by_all = self.applied()
                    echo = self.heard_reports.get(link.id, 0)
                    msg = message.Beat(v.number, n, applied_by_all, self.issuer.sessions(), news, self.same, echo)
                    if link.id == self.membership.me.id:
                        self.lease.renew(echo)
                        self.beaten = (self.mach.now(), v.number)
                        self.take_forced(applied_by_all)
                        self.sessions = self.issuer.sessions()
                        for post in list(self.node_sessions.values()):
                            post.changed.wake()
                    else:
                        seat = self.membership.seat(link.id)
                        self.mach.spawn(self.peers.tell(seat.host, seat.port, msg), log)
            await self.mach.pause(self.beat_now, BEAT_US)

    # ---- operators ----------------------------------------------------------------------

    async def handle(self, req: web.Request) -> None:
        """Answer one operator's exchange.

        Example: `Server(mach, core.handle)`
        """
        path = req.path.decode("latin-1").split("?")[0].strip("/").split("/")
        match (req.method, path):
            case (b"GET", ["blueprint"]):
                seen = await self.read_state()
                req.answer_json(200, {"stamp": seen.stamp, "blueprint": configuration.unflatten(seen.items)})
            case (b"POST", ["plans"]):
                req.answer_json(200, await self.plan(req.json()))
            case (b"GET", ["plans", ident]):
                seen = await self.look(ident)
                if seen.plan is None:
                    raise verdict.ServiceError("not_found", "No such plan is remembered.")
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
                raise verdict.ServiceError("bad_method", "This path does not take that method.")
            case _:
                raise verdict.ServiceError("not_found", "There is no such path.")

    def state(self) -> dict[typing.Any, typing.Any]:
        """What this core shows of itself.

        Example: `core.state()["view"]`
        """
        c = self.membership
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
            "sessions": sorted(p.member.name for p in self.node_sessions.values()),
            "fed_bytes": {p.member.name: p.link.sent_bytes for p in self.node_sessions.values()},
            "roster": message.plain(self.issuer.latest),
            "counts": self.counts,
        }

    async def ask_link(
        self, k: int, make: collections.abc.Callable[..., object], us: int = ANSWER_US
    ) -> message.Proposed | message.Seen:
        """Put a message to the chain's link k (0 the head, -1 the tail).

        Example: `res = await core.ask_link(-1, lambda number: message.Look(number))`
        """
        v = self.membership.view
        if v is None:
            raise verdict.ServiceError("no_chain", "No view is agreed yet.")
        seat = self.membership.seat(v.chain[k].id)
        msg = make(v.number)
        try:
            if seat.id == self.membership.me.id:
                return await self.mach.within(shield(defer.ensureDeferred(self.chain.answer(msg))), us)
            return await self.mach.within(defer.ensureDeferred(self.peers.call(seat.host, seat.port, msg, us)), us)
        except (wire.ConnectionBrokenError, machine.DeadlineError) as e:
            if isinstance(e, wire.ConnectionBrokenError) and not e.sent:
                raise verdict.ServiceError("no_chain", "The chain's machine can't be reached.") from e
            raise verdict.ServiceError(
                "unknown_outcome", "No answer came in time.", verdict.Verdict.MAY_HAVE_RUN
            ) from e

    async def look(self, ident: str, us: int = ANSWER_US) -> message.Seen:
        """Read at the tail.

        Example: `seen = await core.look("")`
        """
        try:
            seen = await self.ask_link(-1, lambda number: message.Look(number, ident), us)
        except verdict.ServiceError:
            raise verdict.ServiceError("no_chain", "The tail does not answer now.") from None
        if not seen.ok:
            raise verdict.ServiceError("no_chain", "The tail holds no lease now.")
        return seen

    async def read(self) -> dict[str, dict[str, typing.Any]]:
        """The items that stand, read at the tail.

        Example: `items = await core.read()`
        """
        return (await self.read_state()).items

    async def read_state(self) -> message.Seen:
        """The state that stands, read at the tail; asked for again for a moment where it has no lease.

        Example: `seen = await core.read_state()`
        """
        until = self.mach.now() + CHANGE_US
        while True:
            try:
                return await self.look("", max(1, until - self.mach.now()))
            except verdict.ServiceError:
                if self.mach.now() >= until:
                    raise
            await self.mach.sleep(AGAIN_US)

    async def propose(
        self,
        kind: str,
        ident: str,
        base: int = 0,
        changes: collections.abc.Sequence[tuple[str, dict[str, typing.Any] | None]] = (),
        us: int = ANSWER_US,
    ) -> message.Proposed:
        """Bring a change to the head.

        Example: `res = await core.propose("confirm", "3-ab")`
        """
        make = lambda number: message.Propose(number, kind, ident, base, list(changes))  # noqa: E731
        res = await self.ask_link(0, make, us)
        if res.code:
            self.counts["refused"] += 1
            raise verdict.ServiceError(res.code, res.text, verdict.Verdict(res.verdict))
        return res

    async def confirm(self, ident: str) -> message.Proposed:
        """Have a plan confirmed; returns once it stands and every member has it in force.

        Example: `res = await core.confirm("3-ab")`
        """
        if self.without_nodes():
            raise verdict.ServiceError("no_nodes", "No node can be reached; a change would not come into force.")
        res = await self.propose("confirm", ident)
        await self.show(res.stamp, self.mach.now() + self.options.lease_us + FORCE_US)
        if self.without_nodes():
            raise verdict.ServiceError(
                "unknown_outcome",
                "The change is committed, but no node can be reached.",
                verdict.Verdict.MAY_HAVE_RUN,
            )
        return res

    def without_nodes(self) -> bool:
        """Whether there are nodes, and none has a session: they may all be cut off, and go on by what they have.

        Example: `if core.without_nodes(): refuse()`
        """
        latest = self.issuer.latest
        return latest is not None and bool(latest.members) and not self.sessions

    async def take_change(self, doc: typing.Any) -> tuple[int, int]:
        """Take a numbered change: a whole configuration, or items to put in and to remove.

        Example: `await core.take_change({"number": 9, "built_on": 7, "remove": {"routes": ["old"]}})`
        """
        match doc:
            case {"blueprint": _, "upsert": _} | {"blueprint": _, "remove": _}:
                raise verdict.ServiceError(
                    "bad_request", "Send a blueprint, or items to put in and remove.", field="blueprint"
                )
            case (
                {"number": int(number), "built_on": int(built_on), "blueprint": _}
                | {"number": int(number), "built_on": int(built_on), "upsert": _}
                | {"number": int(number), "built_on": int(built_on), "remove": _}
            ):
                pass
            case _:
                raise verdict.ServiceError(
                    "bad_request", "A change wants number, built_on, and what it changes.", field="number"
                )
        for name in doc:
            if name not in ("number", "built_on", "blueprint", "upsert", "remove"):
                raise verdict.ServiceError("bad_request", "Unknown field.", field=name)

        def make(items: collections.abc.Mapping[str, dict[str, typing.Any]]) -> dict[str, dict[str, typing.Any]]:
            whole = configuration.unflatten(items)
            return configuration.flatten(
                doc["blueprint"]
                if "blueprint" in doc
                else configuration.amend(whole, doc.get("upsert", {}), doc.get("remove", {}))
            )

        ident = configuration.change_id(number, built_on, doc)
        return number, await self.change(Order(ident, number, built_on, make, "blueprint" in doc))

    async def change(self, order: Order) -> int:
        """Bring a numbered change into force: its stamp; raises Defect.

        The same change (the same id) said again finds itself taken, also when later ones were
        taken since. The head compares stamps, so of two changes on one base just one is taken.
        A refusal is given only after a read at the tail, under its lease, made for this order.
        Answers within CHANGE_US; once it stands, it waits a little for nodes that don't have
        it yet.

        Example: `stamp = await core.change(Order("c5-7-0a", 7, 5, lambda items: {**items, "pools/p": {}}))`
        """
        until = self.mach.now() + CHANGE_US
        self.counts["changes"] += 1
        known = self.known_here(order)
        maybe, why = False, None
        while self.mach.now() < until:
            try:
                if known is None:
                    known = await self.known_at_tail(order, until - self.mach.now())
                stamp = known.taken or self.stands_already(known, order)
                refusal = None if stamp else self.refusal(known, order)
                if refusal is None:
                    stamp = stamp or await self.apply(known, order, until)
                    await self.show(stamp, until)
                    return stamp
            except verdict.ServiceError as d:
                maybe = maybe or d.verdict is verdict.Verdict.MAY_HAVE_RUN
                known, why = None, d
            else:
                if known.sure:
                    raise refusal
                known = None
                continue
            await self.mach.sleep(AGAIN_US)
        if maybe or why is None:
            raise verdict.ServiceError(
                "unknown_outcome", "It is not known yet whether the change was taken.", verdict.Verdict.MAY_HAVE_RUN
            )
        raise verdict.ServiceError("no_chain", f"The change can't be taken now: {why.text}")

    def known_here(self, order: Order) -> Known:
        """What this machine's own copy says of an order; it may be old.

        Example: `known = core.known_here(order)`
        """
        base = self.chain.base
        return Known(base.stamp, base.items, base.taken.get(order.ident, 0), base.forgotten, False)

    async def known_at_tail(self, order: Order, us: int) -> Known:
        """What the tail says of an order, under its lease; raises Defect.

        Example: `known = await core.known_at_tail(order, 500_000)`
        """
        seen = await self.look(order.ident, us)
        return Known(seen.stamp, seen.items, seen.taken, seen.forgotten, True)

    def stands_already(self, known: Known, order: Order) -> int:
        """The stamp of a state that is exactly what a whole order would have made, or 0.

        Example: `stamp = core.stands_already(known, order)`
        """
        if not order.whole or configuration.number(known.items) != order.number:
            return 0
        try:
            made = self.renumber(order, known.items)
        except verdict.ServiceError:
            return 0
        return known.stamp if not configuration.differ(known.items, made) else 0

    def refusal(self, known: Known, order: Order) -> verdict.ServiceError | None:
        """Why an order that is not among those taken can't be taken on a state; None where it can.

        Numbers rise, so a number that was passed can't be taken any more. Where its id may
        have been forgotten, nobody knows whether it was.

        Example: `defect = core.refusal(known, order)`
        """
        current = configuration.number(known.items)
        if current != order.built_on:
            if order.number <= known.forgotten:
                text = "Changes of that age are no longer remembered."
                return verdict.ServiceError("unknown_outcome", text, verdict.Verdict.MAY_HAVE_RUN)
            return verdict.ServiceError("base_moved", f"The blueprint is at number {current}.")
        try:
            self.renumber(order, known.items)
        except verdict.ServiceError as d:
            return d
        return None

    async def apply(self, known: Known, order: Order, until: int) -> int:
        """Propose an order on a known state: the stamp under which it was taken; raises Defect.

        Example: `stamp = await core.apply(known, order, until)`
        """
        changes = configuration.differ(known.items, self.renumber(order, known.items))
        left = max(0, until - self.mach.now())
        try:
            return (await self.propose("apply", order.ident, known.stamp, changes, left)).stamp
        except verdict.ServiceError as d:
            if d.code != "base_moved":
                raise
        raise verdict.ServiceError("no_chain", "Another change came first.")  # the tail says what became of this one

    def renumber(
        self, order: Order, items: collections.abc.Mapping[str, dict[str, typing.Any]]
    ) -> dict[str, dict[str, typing.Any]]:
        """The items that an order makes, under its number; raises Defect.

        Example: `core.renumber(order, items)`
        """
        errors = []
        if order.number <= order.built_on:
            errors.append(f"marks/operator: number {order.number} is not above {order.built_on}")
        try:
            new = order.make(items)
        except configuration.InvalidConfigurationError as e:
            errors += e.errors
        if errors:
            raise verdict.ServiceError("bad_blueprint", "; ".join(errors[:50]), field="blueprint")
        return {**new, "marks/operator": {**new.get("marks/operator", {}), "number": order.number}}

    async def show(self, stamp: int, until: int) -> None:
        """Wait until every node that may hold a lease has come as far as a version; raises Defect at `until`.

        Example: `await core.show(17, until)`
        """
        while self.applied_by_all < stamp:
            left = until - self.mach.now()
            if left <= 0:
                raise verdict.ServiceError(
                    "unknown_outcome",
                    "The change is committed, but a node may not have applied it yet.",
                    verdict.Verdict.MAY_HAVE_RUN,
                )
            await self.mach.pause(self.applied_by_all_changed, left)

    async def plan(self, doc: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Make a plan of an operator's intent: a whole configuration, or a JSON Patch.

        Example: `await core.plan({"blueprint": {...}, "base": 7})`
        """
        self.counts["plans"] += 1
        match doc:
            case {"blueprint": _, "patch": _}:
                raise verdict.ServiceError("bad_request", "Send a blueprint or a patch, not both.", field="patch")
            case {"blueprint": _} | {"patch": _}:
                pass
            case _:
                raise verdict.ServiceError("bad_request", "A blueprint or a patch is needed.", field="blueprint")
        for name in doc:
            if name not in ("blueprint", "patch", "base"):
                raise verdict.ServiceError("bad_request", "Unknown field.", field=name)
        seen = await self.look("")
        base = doc.get("base", seen.stamp)
        if type(base) is not int:
            raise verdict.ServiceError("bad_request", "base is not a stamp.", field="base")
        if base != seen.stamp:
            raise verdict.ServiceError("base_moved", f"The blueprint is at {seen.stamp}, not at {base}.")
        try:
            new = doc.get("blueprint")
            if "patch" in doc:
                new = configuration.patch(configuration.unflatten(seen.items), doc["patch"])
            items = configuration.flatten(new)
        except configuration.InvalidConfigurationError as e:
            raise verdict.ServiceError("bad_blueprint", "; ".join(e.errors[:50]), field="blueprint") from e
        changes = configuration.differ(seen.items, items)
        ident = configuration.plan_id(base, changes)
        await self.propose("plan", ident, base, changes)
        told = configuration.describe(seen.items, changes)
        held = {
            pool: len(self.session_replicas[pool].sessions) for pool in told["pools"] if pool in self.session_replicas
        }
        return {"id": ident, "base": base, **told, "open_sessions": held}

    async def stop(self) -> None:
        """Send the nodes elsewhere, let the others agree on a chain without this machine, finish.

        The only synced copy stays until another is up to date, or until the process is killed. A voter without
        whom the others can't go on stays for the whole grace, at whose end the platform kills it.

        Example: `await core.stop()`
        """
        self.stopping = True
        self.wake_node_sessions()
        self.membership.leave()
        until = self.mach.now() + self.options.grace_us
        await self.mach.sleep(100 * machine.MILLI)
        while self.membership.holds_only_copy() or (self.membership.needed() and self.mach.now() < until):
            self.membership.heartbeat_now.wake()
            await self.mach.sleep(50 * machine.MILLI)
