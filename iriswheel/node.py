"""A light node: the door towards clients, and the controllers beside it."""

from __future__ import annotations

import collections.abc
import inspect
import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.dispatch as dispatch
import iriswheel.edge_protocol as edge_protocol
import iriswheel.follower as follower
import iriswheel.gateway as gateway
import iriswheel.loads as loads
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.reach as reach
import iriswheel.verdict as verdict
import iriswheel.warden as warden
import iriswheel.wire as wire

if typing.TYPE_CHECKING:
    import iriswheel.options as options_module


RUNNING_US = 1 * machine.SECOND
IDLE_US = 300 * machine.MILLI  # nothing was open for so long
LAST_US = 200 * machine.MILLI  # for the last bytes of what was answered
NOTICE_US = 3 * machine.SECOND  # the longest wait for the platform's question

log = loguru.logger.bind(part="node")


class Node:
    """The whole process, but for sockets and command line.

    Example: `node = Node(mach, options)`; `node.start(peer_port, http_port)`.
    """

    def __init__(
        self, mach: machine.Machine, options: options_module.Options, formats: edge_protocol.EdgeProtocol | None = None
    ) -> None:
        self.mach = mach
        self.options = options
        self.outer = formats or edge_protocol.EdgeProtocol()
        self.me: message.Member | None = None
        self.peers = wire.Peers(mach, self.serve, log)
        self.reach = reach.Reach(self)
        self.sender = dispatch.Dispatcher(mach, self.reach.hear)
        self.follower = follower.Follower(self, options)
        self.door = gateway.Gateway(self)
        self.loads = loads.NodeSide(self)
        self.wardens: dict[str, warden.Warden] = {}  # pool -> Warden, where the duty is here
        # pool -> SessionReplica, copies of others' records
        self.session_replicas: dict[str, warden.SessionReplica] = {}
        self.grants: dict[str, message.Grant] = {}  # ask -> Grant, of sends under way here
        self.given_up: dict[str, tuple[str, int]] = {}  # ask -> (pool, until), given up here without a send
        self.stopping = False  # no longer ready, but still serving whoever comes
        self.closing = False  # newcomers are refused
        self.asked_at: int | None = None  # when the platform first heard that this node stops
        self.left = False
        self.renewed_at: int | None = None  # when the options were last read again

    def start(self, port: int, http: int) -> None:
        """Start all tasks; the ports are those really bound.

        Example: `node.start(7101, 8101)`
        """
        o = self.options
        self.me = message.Member(f"{o.name}-{self.mach.boot}", o.name, o.zone, o.host, port, http)
        for coro in (
            self.follower.session.run(),
            self.follower.watch(),
            self.follower.list(),
            self.tell_running(),
            self.door.look_for_hangs(),
            self.reach.walk(),
            self.door.forwarder.look(),
            self.loads.run(),
        ):
            self.mach.spawn(coro, log)
        log.info("Node {} starts in zone {}.", self.me.id, o.zone)

    def renew(self, options: options_module.Options) -> None:
        """Take in options that were read again: seeds, and where the platform is.

        Example: `node.renew(options.read("node", path, {}))`
        """
        self.renewed_at = self.mach.now()
        self.options.platform = options.platform
        self.follower.session.learn(options.seed_list())
        log.info("The options were read again.")

    # ---- state ---------------------------------------------------------------------

    def ready(self) -> tuple[bool, str]:
        """Whether clients should be sent here, and why not.

        Example: `ok, why = node.ready()`
        """
        fol = self.follower
        if self.stopping:
            return False, "stopping"
        if fol.items is None:
            return False, "no blueprint yet"
        if not fol.settled():
            return False, "rejoining"
        if fol.cut_off():
            return False, "cut off"
        if not fol.worker_news():
            return False, "no news of workers"
        return True, ""

    def state(self) -> dict[str, typing.Any]:
        """What this node shows of itself.

        Example: `node.state()["place"]`
        """
        fol = self.follower
        ok, why = self.ready()
        return {
            "role": "node",
            "id": self.me.id,
            "name": self.me.name,
            "zone": self.me.zone,
            "ready": ok,
            "why": why,
            "place": fol.place,
            "core_session": fol.session.state(),
            "roster": list(fol.roster.stamp),
            "workers": {w.id: w.state for w in fol.workers},
            "routes": sorted(fol.routes),
            "pools": sorted(fol.pools),
            "duties": message.plain(fol.roster.duties),
            "wardens": [w.state() for _, w in sorted(self.wardens.items())],
            "carrier": self.door.forwarder.state(),
            "open": self.door.open,
            "counts": self.door.counts,
            "refused": self.door.refused,
        }

    # ---- controllers -----------------------------------------------------------------

    def on_news(self) -> None:
        """The roster, the slice or the workers changed: look which duties are here.

        Example: `node.on_news()`
        """
        if self.me is None:
            return
        fol = self.follower
        mine = {d.key[5:]: d for d in fol.roster.duties if d.holder == self.me.id and d.key.startswith("pool/")}
        for pool, w in list(self.wardens.items()):
            if pool not in mine or mine[pool].term != w.duty.term:
                del self.wardens[pool]
                w.end()
                w.leave_to(self.session_replica(pool))
        for pool, d in sorted(mine.items()):
            session_replica = self.session_replica(pool)
            if pool not in self.wardens and session_replica.fence(d.term):
                w = self.wardens[pool] = warden.Warden(self, pool, d)
                self.mach.spawn(w.run(), log)
        for w in list(self.wardens.values()):
            w.check_workers()
        # a question to the core machines may be under way, as a new warden puts it to them
        self.peers.keep({(m.host, m.port) for m in fol.roster.members} | set(fol.core_zones()))

    def session_replica(self, pool: str) -> warden.SessionReplica:
        """The copies kept here of a pool's records.

        Example: `node.session_replica("desk").claims`
        """
        if pool not in self.session_replicas:
            self.session_replicas[pool] = warden.SessionReplica()
        return self.session_replicas[pool]

    async def tell_running(self) -> None:
        """Every second, list to each pool's warden the grants held here.

        Example: `mach.spawn(node.tell_running())`
        """
        while not self.left:
            await self.mach.sleep(RUNNING_US)
            now = self.mach.now()
            for d in self.follower.roster.duties:
                if d.key.startswith("pool/") and d.holder == self.me.id:
                    w = self.wardens.get(d.key[5:])
                    if w is None or w.over:
                        self.follower.session.tell(message.Contested(d.key, d.term))
            for ask in [a for a, (_, until) in self.given_up.items() if until < now]:
                del self.given_up[ask]
            for d in self.follower.roster.duties:
                if d.key.startswith("pool/"):
                    pool = d.key[5:]
                    asks = [a for a, g in sorted(self.grants.items()) if g.pool == pool]
                    self.tell_member(
                        d.holder,
                        message.Running(
                            pool,
                            self.me.id,
                            asks,
                            self.reach.lately(),
                            [a for a, (p, _) in self.given_up.items() if p == pool],
                        ),
                    )
            self.door.cut_drained()
            now = self.mach.now()
            for session_replica in self.session_replicas.values():
                session_replica.sweep(now)
            pins = self.door.pins
            for key in [k for k, (_, until) in pins.items() if until < now]:
                del pins[key]

    # ---- messages -----------------------------------------------------------------------

    def tell_member(self, ident: str, msg: message.Done | message.Running) -> None:
        """Tell a member something; this node itself is told straight away.

        Example: `node.tell_member(duty.holder, message.Done("desk", ask, "ran"))`
        """
        if ident == self.me.id:
            self.serve(None, msg)
            return
        m = self.follower.member(ident)
        if m is not None:
            self.mach.spawn(self.peers.tell(m.host, m.port, msg), log)

    async def ask_members(
        self, members: list[message.Member], msg: message.Copy | message.Gather, us: int
    ) -> dict[str, message.Copied | message.Gathered | None]:
        """Put a call to members, this one included; None where no answer came.

        Example: `res = await node.ask_members(members, message.HowGoes(), 700_000)`
        """

        async def ask(m: message.Member) -> message.Copied | message.Gathered:
            if m.id == self.me.id:
                res = self.serve(None, msg)
                return await res if inspect.iscoroutine(res) else res
            return await self.mach.within(defer.ensureDeferred(self.peers.call(m.host, m.port, msg, us)), us)

        ds = [defer.ensureDeferred(ask(m)) for m in members]
        res = await defer.DeferredList(ds, consumeErrors=True)
        return {m.id: val if ok else None for m, (ok, val) in zip(members, res, strict=False)}

    def serve(
        self, link: wire.Connection | None, msg: message.Message
    ) -> collections.abc.Coroutine[typing.Any, typing.Any, typing.Any] | message.Message | None:
        """Answer one message from another node.

        Example: `Listener(mach, node.serve, log)`
        """
        match msg:
            case message.Elect(pool=pool, term=term):
                w = self.wardens.get(pool)
                if w is None:
                    return message.Denied(term, "no_warden", "The duty is not here.", "not_run", 0)
                return w.elect(msg)
            case message.Forbid(pool=pool):
                w = self.wardens.get(pool)
                return message.Forbidden("later") if w is None else w.forbid(msg)
            case message.Done(pool=pool, ask=ask, verdict=v):
                w = self.wardens.get(pool)
                if w is not None:
                    w.release(ask, verdict.Verdict(v))
            case message.Running(pool=pool):
                w = self.wardens.get(pool)
                if w is not None:
                    w.listed(msg)
            case message.Gather(pool=pool, term=term):
                return self.gathered(pool, term)
            case message.Copy(pool=pool):
                return message.Copied(self.session_replica(pool).take(msg, self.mach.now()))
            case message.Unpin(pool=pool, sessions=idents):
                for ident in idents:
                    self.door.pins.pop((pool, ident), None)
            case message.Probe(worker=w):
                return self.reach.probe(w)
            case message.Dark(worker=w):
                self.door.cut_dark(w)
            case message.Pass(worker=w):
                return message.Passed(self.door.let_pass(w))
            case message.Spread(listing=listing):
                self.follower.take_listing(listing)
            case message.Same():
                if not self.follower.take_same(msg) and link is not None:
                    link.tell(message.Relist())
            case message.Relist():
                if self.follower.told is not None and link is not None:
                    link.tell(message.Spread(self.follower.told))
            case message.Heard(workers=workers):
                self.follower.take_heard(workers)
            case message.HowGoes(stamp=stamp):
                fol = self.follower
                ok = fol.session.heard() and fol.settled()
                return message.Goes(
                    ok, fol.roster if fol.roster.stamp > stamp else None, fol.session.address if ok else None, fol.place
                )
            case _:
                log.warning("A node has no answer to {}.", type(msg).__name__)

    def gathered(self, pool: str, term: tuple[int, int]) -> message.Gathered:
        """What this node holds of a pool, for its new warden; older terms are fenced off.

        Example: `node.gathered("desk", (3, 1))`
        """
        session_replica = self.session_replica(pool)
        now = self.mach.now()
        if not session_replica.fence(term):
            return message.Gathered(False)
        sessions, claims = session_replica.told(now)
        held = [g for _, g in sorted(self.grants.items()) if g.pool == pool]
        pins = [
            message.Session(s, w, until - now, until - now, 0, 0)
            for (p, s), (w, until) in sorted(self.door.pins.items())
            if p == pool and until > now
        ]
        w = self.wardens.get(pool)
        if w is not None and w.duty.term < term:
            del self.wardens[pool]
            w.end()
            w.leave_to(session_replica)
            sessions, claims = session_replica.told(now)
        firsts, repeats = self.door.tallies[pool].told(now) if pool in self.door.tallies else ({}, [])
        return message.Gathered(
            True,
            sessions,
            claims,
            held,
            pins,
            session_replica.held,
            max(0, session_replica.broken_until - now),
            firsts,
            repeats,
        )

    # ---- stopping -------------------------------------------------------------------------

    async def stop(self) -> None:
        """Say not ready, hand the duties over, let streams end, leave; all of it within the grace.

        Newcomers are served until the platform has heard that this node is not ready and
        has had a moment to hand clients elsewhere, and while exchanges are open up to
        half of the grace; a last eighth of it is kept back.

        Example: `await node.stop()`
        """
        self.stopping = True
        log.info("Stopping; {} exchanges are open.", self.door.open)
        self.follower.session.tell(message.Leave(self.me.id))
        began, grace, idle = self.mach.now(), self.options.grace_us, None
        notice = began + min(NOTICE_US, grace // 2)
        ends = began + grace - min(grace // 8, machine.SECOND)
        while (now := self.mach.now()) < ends:
            heard = now >= notice or (self.asked_at and now - self.asked_at > self.options.notice_us)
            if self.door.open:
                idle = None
            elif idle is None:
                idle = now
            elif heard and now - idle > IDLE_US:
                break  # and what was written last has gone out
            self.closing = heard and now >= began + grace // 2
            await self.mach.pause(self.door.closed, 100 * machine.MILLI)
        self.closing = True
        await self.mach.sleep(LAST_US)
        self.left = True
        log.info("Left with {} exchanges open.", self.door.open)
