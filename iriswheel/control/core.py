"""A core machine: its link of the chain, its nodes' sessions, its operators' door."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import loguru
import msgspec
import twisted.internet.defer as defer
import twisted.python.failure as failure

import iriswheel.configuration.configuration as configuration
import iriswheel.consensus.decisions as decisions
import iriswheel.consensus.view_consensus as view_consensus
import iriswheel.control.load_exchange as load_exchange
import iriswheel.errors as errors
import iriswheel.membership.lease as lease
import iriswheel.membership.membership_manager as membership_manager
import iriswheel.pools.session_replicas as session_replicas
import iriswheel.replication.chain as chain
import iriswheel.replication.replicated_state as replicated_state
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.storage as storage
import iriswheel.runtime.units as units
import iriswheel.transport.message as message
import iriswheel.transport.wire as wire

if typing.TYPE_CHECKING:
    import iriswheel.runtime.options as options
    import iriswheel.transport.http_server as http_server


HEARTBEAT_US = 250 * units.MILLISECOND_US
RELIST_US = 2 * units.SECOND_US  # the worker list is told the tail again, although it stands
REPORT_US = 5 * units.MILLISECOND_US  # what else the nodes say within this goes to the tail in one word
FRESH_US = 1_100 * units.MILLISECOND_US  # without an answer of the tail for so long, a core machine does not serve
ANSWER_US = 3 * units.SECOND_US
FORMAT = 3  # of what stands on the disk
EARLY_US = 15 * units.SECOND_US  # a core that has run for longer and does not serve is cut off: its state may be past
FORCE_US = 1 * units.SECOND_US  # beyond a lease, a confirmation waits so long for nodes
CHANGE_US = 900 * units.MILLISECOND_US  # a change is answered within this, known or not
AGAIN_US = 30 * units.MILLISECOND_US

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

    def done(response: message.ProposeChangeResponse | message.ReadResponse) -> None:
        if not out.called:
            out.callback(response)
        elif isinstance(response, failure.Failure):
            log.error("An answer that nobody waited for any more broke off: {}", response.getTraceback())

    d.addBoth(done)
    return out


class ChangeOrder(typing.NamedTuple):
    """An operator's numbered change, built on the number `built_on`.

    make(items) gives the new items, or raises InvalidConfigurationError. `whole` says that these don't
    depend on the old ones.
    """

    identifier: str
    number: int
    built_on: int
    make: typing.Callable
    complete: bool = False


class KnownState(typing.NamedTuple):
    """The state that an order is judged by; `sure` where it was read at the tail for this order."""

    version: int
    items: typing.Any
    taken: int
    forgotten: int
    sure: bool


class NodeSession:
    """One node's session: the feed of its slice and of the membership."""

    def __init__(self, core: Core, connection: wire.Connection, join: message.JoinRequest) -> None:
        self.core = core
        self.connection = connection
        self.member = join.member
        self.index = self.applied_index = join.applied_index  # what was sent, and what the node has taken
        connection.node_session = self
        old = core.chain.history.get(join.applied_index)
        self.sent = None if old is None else core.slices.slice(old, self.member.zone, ())
        self.membership = join.membership.version if join.membership is not None else (0, 0)
        self.heartbeat_sent_at = 0
        self.node_time = join.sent_at  # the newest time that the node put on a heartbeat, on its clock
        # the state and membership that the last slice was cut from
        self.sliced: tuple[int, tuple[int, int] | None] | None = None
        self.changed = scheduler.Signal()

    def slice(self) -> dict[str, dict[str, typing.Any]]:
        """The items that this node needs now."""
        latest = self.core.issuer.latest
        assignments = latest.assignments if latest is not None else []
        pools = [d.key[5:] for d in assignments if d.holder == self.member.id and d.key.startswith("pool/")]
        return self.core.slices.slice(self.core.chain.committed_state, self.member.zone, tuple(pools))

    def flush(self) -> None:
        """Send what is new to this node."""
        base = self.core.chain.committed_state
        latest = self.core.issuer.latest
        cut_from = (base.index, latest.version if latest is not None else None)
        if base.index >= self.index and cut_from != self.sliced and (self.index >= 0 or self.core.serving()):
            self.sliced = cut_from
            now = self.slice()
            if self.sent is None:
                self.connection.tell(message.ConfigurationSnapshot(base.index, now))
            else:
                delta = self.core.slices.delta(self.sent, now)
                if delta or base.index > self.index:
                    self.connection.tell(message.ConfigurationUpdate(base.index, delta))
            self.sent, self.index = now, base.index
        if latest is not None and latest.version > self.membership:
            self.connection.tell(message.MembershipUpdate(latest))
            self.membership = latest.version
        if self.core.runtime.now() - self.heartbeat_sent_at >= HEARTBEAT_US:
            self.heartbeat_sent_at = self.core.runtime.now()
            left = self.core.lease.grant(self.member.id, self.heartbeat_sent_at)
            self.connection.tell(
                message.SessionHeartbeat(self.index, self.membership, self.core.listing_unchanged, self.node_time, left)
            )

    async def feed(self) -> None:
        """Flush at every change, and a heartbeat four times a second; one task per node.

        What this core machine knows to stand goes to its nodes also while it is not in touch with
        the tail: a committed change stays. Then no lease goes with it, and nodes look for another.
        """
        while self.connection.up and not self.core.stopping:
            if self.connection.full:
                await self.connection.writable.wait()
                continue
            self.flush()
            await self.core.runtime.pause(self.changed, HEARTBEAT_US)
        if self.connection.up:
            self.connection.tell(message.Redirect(self.core.voters()))
        if self.core.node_sessions.get(self.member.id) is self:
            del self.core.node_sessions[self.member.id]
            self.core.lease.close(self.member.id)
            self.core.report_now.wake()


def replicas(v: message.View) -> list[tuple[str, str]]:
    """The machines of a view's chain, as (core id, incarnation).

    >>> replicas(message.View(4, [], [message.ChainReplica("a", "x")]))
    [('a', 'x')]
    """
    return [(replica.id, replica.incarnation) for replica in v.chain]


class Slices:
    """Slices and their differences, kept so that many nodes of a zone cost one carving.

    >>> one, two = [replicated_state.ReplicatedState(n).with_changes([("limits/door", {"head_us": n})]) for n in (1, 2)]
    >>> slices = Slices()
    >>> a, b = slices.slice(one, "north", ()), slices.slice(two, "north", ())
    >>> slices.slice(one, "north", ()) is a, slices.delta(a, b)
    (True, {'limits/door': {'head_us': 2}})
    """

    CAPACITY = 256

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
        value: dict[str, dict[str, typing.Any]]
        | tuple[
            dict[str, dict[str, typing.Any]], dict[str, dict[str, typing.Any]], dict[str, dict[str, typing.Any] | None]
        ],
    ) -> (
        dict[str, dict[str, typing.Any]]
        | tuple[
            dict[str, dict[str, typing.Any]], dict[str, dict[str, typing.Any]], dict[str, dict[str, typing.Any] | None]
        ]
    ):
        if len(kept) >= self.CAPACITY:
            del kept[next(iter(kept))]
        kept[key] = value
        return value

    def slice(
        self, ledger: replicated_state.ReplicatedState, zone: str, pools: tuple[str, ...]
    ) -> dict[str, dict[str, typing.Any]]:
        """What a node in a zone with these pools' role assignments needs of a state."""
        key = (ledger.index, ledger.view, zone, pools)
        return self.slices.get(key) or self._keep(
            self.slices, key, configuration.slice_for_node(ledger.published, zone, pools)
        )

    def delta(
        self, old: dict[str, dict[str, typing.Any]], new: dict[str, dict[str, typing.Any]]
    ) -> dict[str, dict[str, typing.Any] | None]:
        """The changes from one slice to another, as a map; None removes."""
        if old is new:
            return {}
        key = (id(old), id(new))
        kept = self.deltas.get(key)  # with the slices themselves, so that their ids stay theirs
        if kept is None:
            kept = self._keep(self.deltas, key, (old, new, dict(configuration.difference(old, new))))
        return kept[2]


def encode_session_replica(session_replica: session_replicas.SessionReplica, now: int) -> bytes:
    """A session replica's sessions as bytes, with the time.

    >>> decode_session_replica(encode_session_replica(session_replicas.SessionReplica(), 5), 7).export(7)
    ([], [])
    """
    return msgspec.msgpack.encode([now, session_replica.term, session_replica.export(now)[0]])


def decode_session_replica(raw: bytes, now: int) -> session_replicas.SessionReplica:
    """A session replica from bytes. After a restart of the machine its clock has begun anew."""
    at, term, sessions = msgspec.msgpack.decode(raw, type=tuple[int, tuple[int, int], list[message.SessionRecord]])
    session_replica = session_replicas.SessionReplica()
    session_replica.term = term
    session_replica.sessions = {s.id: (s, min(at, now)) for s in sessions}
    return session_replica


class Core:
    """The whole process, but for sockets and command line."""

    def __init__(self, runtime: scheduler.Runtime, disk: storage.Disk, options: options.Options) -> None:
        self.runtime = runtime
        self.options = options
        state = disk.read()
        if int(state.get(b"format", b"0")) > FORMAT:
            raise storage.DiskError(
                f"The data folder was written by a newer program (format {state[b'format'].decode()})."
            )
        self.disk = storage.MonitoredDisk(runtime, disk)
        if b"identity" not in state:
            identifier = runtime.rng.getrandbits(64).to_bytes(8, "big").hex().encode()
            disk.write([(b"identity", identifier), (b"format", b"%d" % FORMAT)])
            state[b"identity"] = identifier
        elif int(state.get(b"format", b"0")) < FORMAT:
            disk.write([(b"format", b"%d" % FORMAT)])
        me = message.Voter(state[b"identity"].decode(), options.host, options.port, options.zone)
        record = (
            msgspec.msgpack.decode(state[b"council"], type=decisions.Record)
            if b"council" in state
            else decisions.Record()
        )
        self.peers = wire.Peers(runtime, self.serve, log)
        self.chain = chain.Chain(runtime, self.disk, state, self.peers)
        self.consensus = view_consensus.ViewConsensus(
            runtime,
            self.disk,
            record,
            me,
            options.seed_list() if options.found else [],
            self.peers,
            self.installed,
            options.seats,
            options.copies,
        )
        self.consensus.learn_seeds(options.seed_list())
        self.chain.consensus = self.consensus
        self.consensus.last_entry = lambda: (self.chain.latest_state.view, self.chain.latest_state.index)
        self.chain.on_commit = self.wake_node_sessions
        self.issuer = membership_manager.MembershipManager(runtime, self.consensus, self.pools)
        self.node_sessions: dict[str, NodeSession] = {}
        self.slices = Slices()
        self.named = (-1, [])  # the pools that have pool owners, and the state they were read from
        self.answered_report = (
            0,
            0,
        )  # when this core sent the newest report that the tail has answered, and in which view
        self.lease = lease.CoreLease(options.lease_us)
        self.holders = lease.LeaseHolders(options.lease_us, runtime.now())
        self.received_reports: dict[str, int] = {}  # core -> `sent_at` of its newest report in this view
        self.heartbeat_now = scheduler.Signal()
        self.listing: message.WorkerListing | None = None
        self.listing_sent = (None, 0)  # to which tail, of which view, under which version it was told; and when
        self.listing_unchanged: message.ListingUnchanged | None = None  # the newest word that the worker list stands
        # role -> the newest term under which its holder here said that it is seated
        self.active: dict[str, tuple[int, int]] = {}
        self.contested: dict[typing.Any, typing.Any] = {}  # role -> the term that its holder here can't use
        self.report_now = scheduler.Signal()
        # pool -> SessionReplica, late copies of the pool owners' sessions
        self.session_replicas: dict[str, session_replicas.SessionReplica] = {}
        for key, raw in state.items():
            if key.startswith(b"shelf/"):
                self.session_replicas[key[6:].decode()] = decode_session_replica(raw, runtime.now())
        self.dirty: set[str] = set()  # pools whose session replica is not on the disk as it is
        self.applied_by_all = 0  # every node has come at least this far
        self.applied_by_all_changed = scheduler.Signal()
        self.sessions = 0  # members that have a session, as the tail counts them
        self.counts = {"plans": 0, "confirms": 0, "changes": 0, "refused": 0, "joins": 0, "views": 0}
        self.forwarded_version: tuple[int, int] | None = None  # the version of the membership last spread from here
        self.stopping = False
        self.loads = load_exchange.LoadAggregator(self)

    def start(self) -> None:
        """Start all tasks."""
        for coroutine in (
            self.disk.watch(),
            self.consensus.exchange_heartbeats(),
            self.consensus.renew(),
            self.consensus.repair_view(),
            self.report(),
            self.send_heartbeats(),
            self.issue(),
            self.keep_session_replicas(),
            self.loads.run(),
        ):
            self.runtime.spawn(coroutine, log)
        if self.consensus.view is not None:
            log.info(
                "Core {} starts with view {} at {}.",
                self.consensus.me.id,
                self.consensus.view.number,
                self.chain.latest_state.index,
            )
        else:
            log.info("Core {} starts blank.", self.consensus.me.id)

    def renew(self, options: options.Options) -> None:
        """Take in options that were read again: further seeds."""
        self.consensus.learn_seeds(options.seed_list())
        log.info("The options were read again.")

    # ---- state -----------------------------------------------------------------

    def pools(self) -> list[str]:
        """The names of the pools that stand and elect at a pool owner."""
        base = self.chain.committed_state
        if self.named[0] != base.index:
            self.named = (
                base.index,
                sorted(
                    k[6:]
                    for k, v in base.items.items()
                    if k.startswith("pools/") and v.get("election", "warden") == "warden"
                ),
            )
        return self.named[1]

    def voters(self) -> list[message.Voter]:
        """The core machines as far as they are known."""
        return list(self.consensus.view.voters) if self.consensus.view is not None else []

    def serving(self) -> bool:
        """Whether nodes may rely on this core: the tail was heard just now."""
        received_at, number = self.answered_report
        c = self.consensus
        return (
            not self.stopping
            and c.view is not None
            and number == c.view.number
            and c.serving()
            and self.runtime.now() - received_at < FRESH_US
        )

    def installed(self, v: message.View) -> None:
        """A new view was agreed."""
        self.counts["views"] += 1
        self.received_reports = {}
        before = self.consensus.predecessors
        was_tail = bool(before) and before[-1] == (self.consensus.me.id, self.runtime.incarnation)
        self.holders.installed(before, replicas(v), self.runtime.now(), was_tail)
        self.chain.install(v)
        self.report_now.wake()
        self.heartbeat_now.wake()
        self.peers.keep(self.consensus.addresses())

    def wake_node_sessions(self) -> None:
        """Let all nodes' sessions look for news."""
        for node_session in list(self.node_sessions.values()):
            node_session.changed.wake()
        self.heartbeat_now.wake()

    # ---- messages -----------------------------------------------------------------

    def serve(
        self, connection: wire.Connection | None, msg: message.Message
    ) -> collections.abc.Coroutine[typing.Any, typing.Any, typing.Any] | None:
        """Answer one message from another process."""
        match msg:
            case (
                message.Heartbeat() | message.Prepare() | message.Accept() | message.Decided() | message.LeaseRequest()
            ):
                return self.consensus.answer(msg)
            case message.PositionRequest() | message.SnapshotChunk() | message.CatchUp() | message.AppendRequest():
                return self.chain.answer(msg)
            case message.ProposeChange() | message.ReadRequest():
                return self.chain.answer(msg)
            case message.NodeSessionsReport():
                self.take_report(msg)
            case message.TailHeartbeat():
                self.receive_heartbeat(msg)
            case message.JoinRequest():
                self.join(connection, msg)
            case message.SessionHeartbeat():
                if connection.node_session is not None:
                    self.receive_node_heartbeat(connection.node_session, msg)
            case message.LoadReport():
                self.loads.take(connection, msg)
            case message.WorkerListing():
                if self.listing is None or msg.version > self.listing.version:
                    self.listing = msg
                    self.report_now.wake()
            case message.ListingUnchanged():
                self.apply_listing_unchanged(msg)
            case message.RoleActivated(key=key, term=term):
                self.active[key] = max(term, self.active.get(key, (0, 0)))
                self.report_now.wake()
            case message.RoleContested(key=key, term=term):
                self.contested[key] = term
                self.report_now.wake()
            case message.MemberLeaving():
                return self.pass_leave(msg)
            case message.ReplicateRecords(pool=pool):
                if self.session_replicas.setdefault(pool, session_replicas.SessionReplica()).take(
                    msg, self.runtime.now()
                ):
                    self.dirty.add(pool)
                if connection is not None and connection.node_session is not None:
                    for s in self.voters():
                        if s.id != self.consensus.me.id:
                            self.runtime.spawn(self.peers.tell(s.host, s.port, msg), log)
            case message.RecordsRequest():
                return self.gathered(msg)
            case _:
                log.warning("A core has no answer to {}.", type(msg).__name__)

    def receive_node_heartbeat(self, session: NodeSession, heartbeat: message.SessionHeartbeat) -> None:
        """Take a node's heartbeat: how far it has come, and its time."""
        session.node_time = max(session.node_time, heartbeat.sent_at)
        self.lease.record_heartbeat(session.member.id, heartbeat.index, self.runtime.now())
        if heartbeat.index > session.applied_index:
            session.applied_index = heartbeat.index
            self.report_now.wake()

    def take_report(self, report: message.NodeSessionsReport) -> None:
        """At the tail: take a core machine's report."""
        before = self.applied()
        self.apply_listing_unchanged(report.listing_unchanged)
        self.issuer.take(report)
        self.forward_membership()
        if self.consensus.tail() and report.view == self.consensus.view.number:
            self.received_reports[report.core] = max(report.sent_at, self.received_reports.get(report.core, 0))
            self.holders.record_heartbeat(report.core, report.leases, self.runtime.now())
        if self.applied() != before:
            self.heartbeat_now.wake()

    def applied(self) -> int:
        """At the tail: how far every node that may hold a lease has come."""
        return (
            self.holders.applied(self.chain.committed_state.index, self.runtime.now()) if self.consensus.leased() else 0
        )

    async def pass_leave(self, msg: message.MemberLeaving) -> None:
        """Pass a leaving node's word on to the tail."""
        if self.consensus.tail():
            self.issuer.leave(msg.member)
            self.forward_membership()
        elif self.consensus.view is not None:
            tail = self.consensus.voter(self.consensus.view.chain[-1].id)
            if (tail.host, tail.port) != (self.options.host, self.options.port):
                await self.peers.tell(tail.host, tail.port, msg)

    def receive_heartbeat(self, m: message.TailHeartbeat) -> None:
        """Take the tail's beat."""
        if self.consensus.view is None or m.view != self.consensus.view.number:
            return
        self.lease.renew(m.echo)
        if not m.echo:
            self.report_now.wake()
        else:
            self.answered_report = (max(m.echo, self.answered_report[0]), m.view)
        self.issuer.learn(m.membership)
        if self.chain.is_synced():
            self.chain.commit(m.index)
        self.advance_applied_by_all(m.applied_by_all)
        self.apply_listing_unchanged(m.listing_unchanged)
        self.sessions = m.sessions
        self.wake_node_sessions()

    def apply_listing_unchanged(self, listing_unchanged: message.ListingUnchanged | None) -> None:
        """Take a word that the worker list stands, if it is the newest."""
        if listing_unchanged is not None and (
            self.listing_unchanged is None or listing_unchanged.version > self.listing_unchanged.version
        ):
            self.listing_unchanged = listing_unchanged

    def advance_applied_by_all(self, n: int) -> None:
        """Every member has come as far as n."""
        if n > self.applied_by_all:
            self.applied_by_all = n
            self.applied_by_all_changed.wake()

    def join(self, connection: wire.Connection, m: message.JoinRequest) -> None:
        """Begin a node's session."""
        self.issuer.learn(m.membership)
        if self.stopping:
            connection.tell(message.Redirect(self.voters()))
            return
        if (
            not self.serving()
            and m.applied_index < 0
            and self.chain.latest_state.index
            and self.runtime.now() - self.consensus.started_at < EARLY_US
        ):
            latest_state = self.chain.latest_state
            connection.tell(
                message.UnconfirmedConfiguration(
                    (latest_state.view, latest_state.index),
                    configuration.slice_for_node(latest_state.items, m.member.zone),
                )
            )
        self.loads.pending.pop(m.member.id, None)
        self.counts["joins"] += 1
        node_session = self.node_sessions[m.member.id] = NodeSession(self, connection, m)
        log.info("Node {} joins at {}; serving: {}.", m.member.name, m.applied_index, self.serving())
        self.lease.close(m.member.id)
        self.lease.record_heartbeat(m.member.id, m.applied_index, self.runtime.now())
        self.runtime.spawn(node_session.feed(), log)
        self.report_now.wake()

    # ---- tasks -----------------------------------------------------------------------

    async def report(self) -> None:
        """Tell the tail which sessions stand here."""
        while True:
            v = self.consensus.view
            if v is not None and self.consensus.serving():
                for i in [i for i, p in self.node_sessions.items() if not p.connection.up]:
                    del self.node_sessions[i]
                    self.lease.close(i)
                members = [self.node_sessions[i].member for i in sorted(self.node_sessions)]
                applied_indexes = [self.node_sessions[i].applied_index for i in sorted(self.node_sessions)]
                latest = self.issuer.latest
                sent = latest if latest is not None and latest.version[0] < v.number else None
                tail = v.chain[-1].id
                msg = message.NodeSessionsReport(
                    self.consensus.me.id,
                    v.number,
                    members,
                    applied_indexes,
                    self.listing_update(v),
                    sorted(self.active.items()),
                    sent,
                    sorted(self.contested.items()),
                    self.listing_unchanged,
                    self.runtime.now(),
                    self.lease.report(self.runtime.now()),
                )
                if tail == self.consensus.me.id:
                    self.serve(None, msg)
                else:
                    voter = self.consensus.voter(tail)
                    self.runtime.spawn(self.peers.tell(voter.host, voter.port, msg), log)
            await self.runtime.pause(self.report_now, HEARTBEAT_US)
            await self.runtime.sleep(REPORT_US)

    def listing_update(self, v: message.View) -> message.WorkerListing | None:
        """The worker list, for the tail of a view: where it is new to it, and again now and then."""
        if self.listing is None:
            return None
        what, now = (v.number, self.listing.version), self.runtime.now()
        if what == self.listing_sent[0] and now - self.listing_sent[1] < RELIST_US:
            return None
        self.listing_sent = (what, now)
        return self.listing

    async def gathered(self, m: message.RecordsRequest) -> message.RecordsResponse:
        """What is kept here of a pool, for a new pool owner; `copy` says whether it ever had one.

        That it has one now is on the disk before the answer, so that no later pool owner takes
        the pool for new. A pool owner that asks again under its own term is not a later one.
        """
        session_replica = self.session_replicas.setdefault(m.pool, session_replicas.SessionReplica())
        had = session_replica.term not in ((0, 0), m.term)
        session_replica.fence(m.term)
        if not had:
            try:
                await self.disk.commit(
                    [(b"shelf/" + m.pool.encode(), encode_session_replica(session_replica, self.runtime.now()))]
                )
            except storage.DiskError:
                return message.RecordsResponse(False)
        return message.RecordsResponse(True, session_replica.export(self.runtime.now())[0], copy=had)

    async def keep_session_replicas(self) -> None:
        """Now and then, bring the late copies of sessions to the disk."""
        while True:
            await self.runtime.sleep(500 * units.MILLISECOND_US)
            now = self.runtime.now()
            for pool in sorted(self.dirty):
                self.session_replicas[pool].sweep(now)
            puts = [
                (b"shelf/" + pool.encode(), encode_session_replica(self.session_replicas[pool], now))
                for pool in sorted(self.dirty)
            ]
            self.dirty.clear()
            if puts:
                with contextlib.suppress(storage.DiskError):  # only a late copy; the guard has noted the error
                    await self.disk.commit(puts)

    async def issue(self) -> None:
        """At the tail: look after the membership's graces."""
        while True:
            await self.runtime.sleep(100 * units.MILLISECOND_US)
            if self.consensus.tail():
                self.issuer.issue()
                self.forward_membership()

    def forward_membership(self) -> None:
        """Wake the beat if the membership has moved on."""
        if self.issuer.latest is not None and self.issuer.latest.version != self.forwarded_version:
            self.forwarded_version = self.issuer.latest.version
            self.wake_node_sessions()

    async def send_heartbeats(self) -> None:
        """At the tail, under the lease: tell all cores what stands."""
        sent = {}
        heartbeats = 0
        while True:
            v = self.consensus.view
            if self.consensus.leased():
                heartbeats += 1
                if heartbeats % 4 == 0:
                    sent.clear()  # a membership may have been lost with a link
                n = self.chain.committed_state.index
                latest = self.issuer.latest if self.issuer.issuing() else None
                for connection in v.chain:
                    update = (
                        latest if latest is not None and sent.get(connection) != (v.number, latest.version) else None
                    )
                    if latest is not None:
                        sent[connection] = (v.number, latest.version)
                    applied_by_all = self.applied()
                    echo = self.received_reports.get(connection.id, 0)
                    msg = message.TailHeartbeat(
                        v.number, n, applied_by_all, self.issuer.sessions(), update, self.listing_unchanged, echo
                    )
                    if connection.id == self.consensus.me.id:
                        self.lease.renew(echo)
                        self.answered_report = (self.runtime.now(), v.number)
                        self.advance_applied_by_all(applied_by_all)
                        self.sessions = self.issuer.sessions()
                        for node_session in list(self.node_sessions.values()):
                            node_session.changed.wake()
                    else:
                        voter = self.consensus.voter(connection.id)
                        self.runtime.spawn(self.peers.tell(voter.host, voter.port, msg), log)
            await self.runtime.pause(self.heartbeat_now, HEARTBEAT_US)

    # ---- operators ----------------------------------------------------------------------

    async def handle(self, request: http_server.Request) -> None:
        """Answer one operator's request."""
        path = request.path.decode("latin-1").split("?")[0].strip("/").split("/")
        match (request.method, path):
            case (b"GET", ["blueprint"]):
                seen = await self.read_state()
                request.answer_json(200, {"stamp": seen.version, "blueprint": configuration.unflatten(seen.items)})
            case (b"POST", ["plans"]):
                request.answer_json(200, await self.plan(request.json()))
            case (b"GET", ["plans", identifier]):
                seen = await self.look(identifier)
                if seen.plan is None:
                    raise errors.ServiceError("not_found", "No such plan is remembered.")
                request.answer_json(200, {**seen.plan, "now": seen.version})
            case (b"POST", ["plans", identifier, "confirm"]):
                self.counts["confirms"] += 1
                response = await self.confirm(identifier)
                request.answer_json(200, {"id": identifier, "stamp": response.version, "verdict": "ran"})
            case (b"POST", ["changes"]):
                number, version = await self.take_change(request.json())
                request.answer_json(200, {"number": number, "stamp": version, "verdict": "ran"})
            case (b"GET", ["state"]):
                request.answer_json(200, self.state())
            case (b"GET", ["ready"]):
                ok = self.serving()
                request.answer_json(200 if ok else 503, {"ready": ok})
            case (_, ["blueprint" | "plans" | "changes" | "state" | "ready", *_]):
                raise errors.ServiceError("bad_method", "This path does not take that method.")
            case _:
                raise errors.ServiceError("not_found", "There is no such path.")

    def state(self) -> dict[typing.Any, typing.Any]:
        """What this core shows of itself."""
        c = self.consensus
        v = c.view
        return {
            "role": "core",
            "id": c.me.id,
            "boot": self.runtime.incarnation,
            "zone": c.me.zone,
            "view": v.number if v is not None else 0,
            "chain": [connection.id for connection in v.chain] if v is not None else [],
            "seats": message.plain(v.voters) if v is not None else [],
            "tail": c.tail(),
            "leased": c.leased(),
            "serving": self.serving(),
            "whole": self.chain.is_synced(),
            "stamp": self.chain.committed_state.version,
            "n": self.chain.committed_state.index,
            "tip": self.chain.latest_state.index,
            "lease_left_us": max(0, self.lease.until - self.runtime.now()),
            "disk_ok": self.disk.ok,
            "sessions": sorted(p.member.name for p in self.node_sessions.values()),
            "fed_bytes": {p.member.name: p.connection.sent_bytes for p in self.node_sessions.values()},
            "roster": message.plain(self.issuer.latest),
            "counts": self.counts,
        }

    async def call_replica(
        self, k: int, make: collections.abc.Callable[..., object], us: int = ANSWER_US
    ) -> message.ProposeChangeResponse | message.ReadResponse:
        """Put a message to the chain's link k (0 the head, -1 the tail)."""
        v = self.consensus.view
        if v is None:
            raise errors.ServiceError("no_chain", "No view is agreed yet.")
        voter = self.consensus.voter(v.chain[k].id)
        msg = make(v.number)
        try:
            if voter.id == self.consensus.me.id:
                return await self.runtime.within(shield(defer.ensureDeferred(self.chain.answer(msg))), us)
            return await self.runtime.within(defer.ensureDeferred(self.peers.call(voter.host, voter.port, msg, us)), us)
        except (wire.ConnectionBrokenError, scheduler.DeadlineError) as e:
            if isinstance(e, wire.ConnectionBrokenError) and not e.sent:
                raise errors.ServiceError("no_chain", "The chain's machine can't be reached.") from e
            raise errors.ServiceError(
                "unknown_outcome", "No answer came in time.", errors.ExecutionOutcome.MAY_HAVE_RUN
            ) from e

    async def look(self, identifier: str, us: int = ANSWER_US) -> message.ReadResponse:
        """Read at the tail."""
        try:
            seen = await self.call_replica(-1, lambda number: message.ReadRequest(number, identifier), us)
        except errors.ServiceError:
            raise errors.ServiceError("no_chain", "The tail does not answer now.") from None
        if not seen.ok:
            raise errors.ServiceError("no_chain", "The tail holds no lease now.")
        return seen

    async def read(self) -> dict[str, dict[str, typing.Any]]:
        """The items that stand, read at the tail."""
        return (await self.read_state()).items

    async def read_state(self) -> message.ReadResponse:
        """The state that stands, read at the tail; asked for again for a moment where it has no lease."""
        until = self.runtime.now() + CHANGE_US
        while True:
            try:
                return await self.look("", max(1, until - self.runtime.now()))
            except errors.ServiceError:
                if self.runtime.now() >= until:
                    raise
            await self.runtime.sleep(AGAIN_US)

    async def propose(
        self,
        kind: str,
        identifier: str,
        base: int = 0,
        changes: collections.abc.Sequence[tuple[str, dict[str, typing.Any] | None]] = (),
        us: int = ANSWER_US,
    ) -> message.ProposeChangeResponse:
        """Bring a change to the head."""
        make = lambda number: message.ProposeChange(number, kind, identifier, base, list(changes))  # noqa: E731
        response = await self.call_replica(0, make, us)
        if response.code:
            self.counts["refused"] += 1
            raise errors.ServiceError(response.code, response.text, errors.ExecutionOutcome(response.execution))
        return response

    async def confirm(self, identifier: str) -> message.ProposeChangeResponse:
        """Have a plan confirmed; returns once it stands and every member has it in force."""
        if self.without_nodes():
            raise errors.ServiceError("no_nodes", "No node can be reached; a change would not come into force.")
        response = await self.propose("confirm", identifier)
        await self.show(response.version, self.runtime.now() + self.options.lease_us + FORCE_US)
        if self.without_nodes():
            raise errors.ServiceError(
                "unknown_outcome",
                "The change is committed, but no node can be reached.",
                errors.ExecutionOutcome.MAY_HAVE_RUN,
            )
        return response

    def without_nodes(self) -> bool:
        """Whether there are nodes, and none has a session: they may all be cut off, and go on by what they have."""
        latest = self.issuer.latest
        return latest is not None and bool(latest.members) and not self.sessions

    async def take_change(self, document: typing.Any) -> tuple[int, int]:
        """Take a numbered change: a whole configuration, or items to put in and to remove."""
        match document:
            case {"blueprint": _, "upsert": _} | {"blueprint": _, "remove": _}:
                raise errors.ServiceError(
                    "bad_request", "Send a blueprint, or items to put in and remove.", field="blueprint"
                )
            case (
                {"number": int(number), "built_on": int(built_on), "blueprint": _}
                | {"number": int(number), "built_on": int(built_on), "upsert": _}
                | {"number": int(number), "built_on": int(built_on), "remove": _}
            ):
                pass
            case _:
                raise errors.ServiceError(
                    "bad_request", "A change wants number, built_on, and what it changes.", field="number"
                )
        for name in document:
            if name not in ("number", "built_on", "blueprint", "upsert", "remove"):
                raise errors.ServiceError("bad_request", "Unknown field.", field=name)

        def make(items: collections.abc.Mapping[str, dict[str, typing.Any]]) -> dict[str, dict[str, typing.Any]]:
            current = configuration.unflatten(items)
            return configuration.flatten(
                document["blueprint"]
                if "blueprint" in document
                else configuration.amend(current, document.get("upsert", {}), document.get("remove", {}))
            )

        identifier = configuration.change_id(number, built_on, document)
        return number, await self.change(ChangeOrder(identifier, number, built_on, make, "blueprint" in document))

    async def change(self, order: ChangeOrder) -> int:
        """Bring a numbered change into force: its version; raises Defect.

        The same change (the same id) said again finds itself taken, also when later ones were
        taken since. The head compares versions, so of two changes on one base just one is taken.
        A refusal is given only after a read at the tail, under its lease, made for this order.
        Answers within CHANGE_US; once it stands, it waits a little for nodes that don't have
        it yet.
        """
        until = self.runtime.now() + CHANGE_US
        self.counts["changes"] += 1
        known = self.known_here(order)
        maybe, why = False, None
        while self.runtime.now() < until:
            try:
                if known is None:
                    known = await self.known_at_tail(order, until - self.runtime.now())
                version = known.taken or self.stands_already(known, order)
                refusal = None if version else self.refusal(known, order)
                if refusal is None:
                    version = version or await self.apply(known, order, until)
                    await self.show(version, until)
                    return version
            except errors.ServiceError as d:
                maybe = maybe or d.execution is errors.ExecutionOutcome.MAY_HAVE_RUN
                known, why = None, d
            else:
                if known.sure:
                    raise refusal
                known = None
                continue
            await self.runtime.sleep(AGAIN_US)
        if maybe or why is None:
            raise errors.ServiceError(
                "unknown_outcome",
                "It is not known yet whether the change was taken.",
                errors.ExecutionOutcome.MAY_HAVE_RUN,
            )
        raise errors.ServiceError("no_chain", f"The change can't be taken now: {why.text}")

    def known_here(self, order: ChangeOrder) -> KnownState:
        """What this machine's own copy says of an order; it may be old."""
        base = self.chain.committed_state
        return KnownState(base.version, base.items, base.taken.get(order.identifier, 0), base.forgotten, False)

    async def known_at_tail(self, order: ChangeOrder, us: int) -> KnownState:
        """What the tail says of an order, under its lease; raises Defect."""
        seen = await self.look(order.identifier, us)
        return KnownState(seen.version, seen.items, seen.taken, seen.forgotten, True)

    def stands_already(self, known: KnownState, order: ChangeOrder) -> int:
        """The version of a state that is exactly what a whole order would have made, or 0."""
        if not order.complete or configuration.operator_number(known.items) != order.number:
            return 0
        try:
            expected = self.renumber(order, known.items)
        except errors.ServiceError:
            return 0
        return known.version if not configuration.difference(known.items, expected) else 0

    def refusal(self, known: KnownState, order: ChangeOrder) -> errors.ServiceError | None:
        """Why an order that is not among those taken can't be taken on a state; None where it can.

        Numbers rise, so a number that was passed can't be taken any more. Where its id may
        have been forgotten, nobody knows whether it was.
        """
        current = configuration.operator_number(known.items)
        if current != order.built_on:
            if order.number <= known.forgotten:
                text = "Changes of that age are no longer remembered."
                return errors.ServiceError("unknown_outcome", text, errors.ExecutionOutcome.MAY_HAVE_RUN)
            return errors.ServiceError("base_moved", f"The blueprint is at number {current}.")
        try:
            self.renumber(order, known.items)
        except errors.ServiceError as d:
            return d
        return None

    async def apply(self, known: KnownState, order: ChangeOrder, until: int) -> int:
        """Propose an order on a known state: the version under which it was taken; raises Defect."""
        changes = configuration.difference(known.items, self.renumber(order, known.items))
        left = max(0, until - self.runtime.now())
        try:
            return (await self.propose("apply", order.identifier, known.version, changes, left)).version
        except errors.ServiceError as d:
            if d.code != "base_moved":
                raise
        raise errors.ServiceError("no_chain", "Another change came first.")  # the tail says what became of this one

    def renumber(
        self, order: ChangeOrder, items: collections.abc.Mapping[str, dict[str, typing.Any]]
    ) -> dict[str, dict[str, typing.Any]]:
        """The items that an order makes, under its number; raises Defect."""
        problems = []
        if order.number <= order.built_on:
            problems.append(f"marks/operator: number {order.number} is not above {order.built_on}")
        try:
            new = order.make(items)
        except configuration.InvalidConfigurationError as e:
            problems += e.errors
        if problems:
            raise errors.ServiceError("bad_blueprint", "; ".join(problems[:50]), field="blueprint")
        return {**new, "marks/operator": {**new.get("marks/operator", {}), "number": order.number}}

    async def show(self, version: int, until: int) -> None:
        """Wait until every node that may hold a lease has come as far as a version; raises Defect at `until`."""
        while self.applied_by_all < version:
            left = until - self.runtime.now()
            if left <= 0:
                raise errors.ServiceError(
                    "unknown_outcome",
                    "The change is committed, but a node may not have applied it yet.",
                    errors.ExecutionOutcome.MAY_HAVE_RUN,
                )
            await self.runtime.pause(self.applied_by_all_changed, left)

    async def plan(self, document: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Make a plan of an operator's intent: a whole configuration, or a JSON Patch."""
        self.counts["plans"] += 1
        match document:
            case {"blueprint": _, "patch": _}:
                raise errors.ServiceError("bad_request", "Send a blueprint or a patch, not both.", field="patch")
            case {"blueprint": _} | {"patch": _}:
                pass
            case _:
                raise errors.ServiceError("bad_request", "A blueprint or a patch is needed.", field="blueprint")
        for name in document:
            if name not in ("blueprint", "patch", "base"):
                raise errors.ServiceError("bad_request", "Unknown field.", field=name)
        seen = await self.look("")
        base = document.get("base", seen.version)
        if type(base) is not int:
            raise errors.ServiceError("bad_request", "base is not a stamp.", field="base")
        if base != seen.version:
            raise errors.ServiceError("base_moved", f"The blueprint is at {seen.version}, not at {base}.")
        try:
            new = document.get("blueprint")
            if "patch" in document:
                new = configuration.apply_patch(configuration.unflatten(seen.items), document["patch"])
            items = configuration.flatten(new)
        except configuration.InvalidConfigurationError as e:
            raise errors.ServiceError("bad_blueprint", "; ".join(e.errors[:50]), field="blueprint") from e
        changes = configuration.difference(seen.items, items)
        identifier = configuration.plan_id(base, changes)
        await self.propose("plan", identifier, base, changes)
        sent = configuration.describe(seen.items, changes)
        held = {
            pool: len(self.session_replicas[pool].sessions) for pool in sent["pools"] if pool in self.session_replicas
        }
        return {"id": identifier, "base": base, **sent, "open_sessions": held}

    async def stop(self) -> None:
        """Send the nodes elsewhere, let the others agree on a chain without this machine, finish.

        The only synced copy stays until another is up to date, or until the process is killed. A voter without
        whom the others can't go on stays for the whole grace, at whose end the platform kills it.
        """
        self.stopping = True
        self.wake_node_sessions()
        self.consensus.leave()
        until = self.runtime.now() + self.options.grace_us
        await self.runtime.sleep(100 * units.MILLISECOND_US)
        while self.consensus.holds_only_copy() or (self.consensus.needed() and self.runtime.now() < until):
            self.consensus.heartbeat_now.wake()
            await self.runtime.sleep(50 * units.MILLISECOND_US)
