"""A light node: the door towards clients, and the controllers beside it."""

from __future__ import annotations

import collections.abc
import inspect
import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.dataplane.dispatch as dispatch
import iriswheel.dataplane.edge_protocol as edge_protocol
import iriswheel.dataplane.gateway as gateway
import iriswheel.dataplane.health as health
import iriswheel.errors as errors
import iriswheel.node.follower as follower
import iriswheel.node.load_reporter as load_reporter
import iriswheel.pools.pool_owner as pool_owner
import iriswheel.pools.session_replicas as session_replicas
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import iriswheel.transport.message as message
import iriswheel.transport.wire as wire

if typing.TYPE_CHECKING:
    import iriswheel.runtime.options as options


RUNNING_US = 1 * units.SECOND_US
IDLE_US = 300 * units.MILLISECOND_US  # nothing was open for so long
LAST_US = 200 * units.MILLISECOND_US  # for the last bytes of what was answered
NOTICE_US = 3 * units.SECOND_US  # the longest wait for the platform's question

log = loguru.logger.bind(part="node")


class Node:
    """The whole process, but for sockets and command line."""

    def __init__(
        self, runtime: scheduler.Runtime, options: options.Options, formats: edge_protocol.EdgeProtocol | None = None
    ) -> None:
        self.runtime = runtime
        self.options = options
        self.outer = formats or edge_protocol.EdgeProtocol()
        self.me: message.Member | None = None
        self.peers = wire.Peers(runtime, self.serve, log)
        self.reach = health.Reachability(self)
        self.sender = dispatch.Dispatcher(runtime, self.reach.hear)
        self.follower = follower.Follower(self, options)
        self.gateway = gateway.Gateway(self)
        self.loads = load_reporter.LoadReporter(self)
        self.pool_owners: dict[str, pool_owner.PoolOwner] = {}  # pool -> Pool owner, where the role is here
        # pool -> SessionReplica, copies of others' records
        self.session_replicas: dict[str, session_replicas.SessionReplica] = {}
        self.grants: dict[str, message.WorkerGrant] = {}  # ask -> Grant, of sends under way here
        self.given_up: dict[str, tuple[str, int]] = {}  # ask -> (pool, until), given up here without a send
        self.stopping = False  # no longer ready, but still serving whoever comes
        self.closing = False  # joining members are refused
        self.asked_at: int | None = None  # when the platform first heard that this node stops
        self.left = False
        self.renewed_at: int | None = None  # when the options were last read again

    def start(self, port: int, http: int) -> None:
        """Start all tasks; the ports are those really bound."""
        o = self.options
        self.me = message.Member(f"{o.name}-{self.runtime.incarnation}", o.name, o.zone, o.host, port, http)
        for coroutine in (
            self.follower.session.run(),
            self.follower.watch(),
            self.follower.list(),
            self.tell_running(),
            self.gateway.attempts.watch_hangs(),
            self.reach.walk(),
            self.gateway.forwarder.watch(),
            self.loads.run(),
        ):
            self.runtime.spawn(coroutine, log)
        log.info("Node {} starts in zone {}.", self.me.id, o.zone)

    def renew(self, options: options.Options) -> None:
        """Take in options that were read again: seeds, and where the platform is."""
        self.renewed_at = self.runtime.now()
        self.options.platform = options.platform
        self.follower.session.learn(options.seed_list())
        log.info("The options were read again.")

    # ---- state ---------------------------------------------------------------------

    def ready(self) -> tuple[bool, str]:
        """Whether clients should be sent here, and why not."""
        follower = self.follower
        if self.stopping:
            return False, "stopping"
        if follower.items is None:
            return False, "no blueprint yet"
        if not follower.settled():
            return False, "rejoining"
        if follower.cut_off():
            return False, "cut off"
        if not follower.has_worker_update():
            return False, "no news of workers"
        return True, ""

    def state(self) -> dict[str, typing.Any]:
        """What this node shows of itself."""
        follower = self.follower
        ok, why = self.ready()
        return {
            "role": "node",
            "id": self.me.id,
            "name": self.me.name,
            "zone": self.me.zone,
            "ready": ok,
            "why": why,
            "place": follower.applied_index,
            "core_session": follower.session.state(),
            "roster": list(follower.membership.version),
            "workers": {w.id: w.state for w in follower.workers},
            "routes": sorted(follower.routes),
            "pools": sorted(follower.pools),
            "duties": message.plain(follower.membership.assignments),
            "wardens": [w.state() for _, w in sorted(self.pool_owners.items())],
            "carrier": self.gateway.forwarder.state(),
            "open": self.gateway.open,
            "counts": self.gateway.counts,
            "refused": self.gateway.refused,
        }

    # ---- controllers -----------------------------------------------------------------

    def on_update(self) -> None:
        """The membership, the slice or the workers changed: look which role assignments are here."""
        if self.me is None:
            return
        follower = self.follower
        mine = {
            d.key[5:]: d
            for d in follower.membership.assignments
            if d.holder == self.me.id and d.key.startswith("pool/")
        }
        for pool, w in list(self.pool_owners.items()):
            if pool not in mine or mine[pool].term != w.assignment.term:
                del self.pool_owners[pool]
                w.end()
                w.leave_to(self.session_replica(pool))
        for pool, d in sorted(mine.items()):
            session_replica = self.session_replica(pool)
            if pool not in self.pool_owners and session_replica.fence(d.term):
                w = self.pool_owners[pool] = pool_owner.PoolOwner(self, pool, d)
                self.runtime.spawn(w.run(), log)
        for w in list(self.pool_owners.values()):
            w.check_workers()
        # a question to the core machines may be under way, as a new pool owner puts it to them
        self.peers.keep({(m.host, m.port) for m in follower.membership.members} | set(follower.core_zones()))

    def session_replica(self, pool: str) -> session_replicas.SessionReplica:
        """The copies kept here of a pool's records."""
        if pool not in self.session_replicas:
            self.session_replicas[pool] = session_replicas.SessionReplica()
        return self.session_replicas[pool]

    async def tell_running(self) -> None:
        """Every second, list to each pool's pool owner the grants held here."""
        while not self.left:
            await self.runtime.sleep(RUNNING_US)
            now = self.runtime.now()
            for d in self.follower.membership.assignments:
                if d.key.startswith("pool/") and d.holder == self.me.id:
                    w = self.pool_owners.get(d.key[5:])
                    if w is None or w.over:
                        self.follower.session.tell(message.RoleContested(d.key, d.term))
            for query in [a for a, (_, until) in self.given_up.items() if until < now]:
                del self.given_up[query]
            for d in self.follower.membership.assignments:
                if d.key.startswith("pool/"):
                    pool = d.key[5:]
                    attempt_ids = [a for a, g in sorted(self.grants.items()) if g.pool == pool]
                    self.tell_member(
                        d.holder,
                        message.GrantReport(
                            pool,
                            self.me.id,
                            attempt_ids,
                            self.reach.lately(),
                            [a for a, (p, _) in self.given_up.items() if p == pool],
                        ),
                    )
            self.gateway.attempts.cut_drained()
            now = self.runtime.now()
            for session_replica in self.session_replicas.values():
                session_replica.sweep(now)
            self.gateway.selector.forget_expired_sessions(now)

    # ---- messages -----------------------------------------------------------------------

    def tell_member(self, identifier: str, msg: message.Message) -> None:
        """Tell a member something; this node itself is told straight away."""
        if identifier == self.me.id:
            self.serve(None, msg)
            return
        m = self.follower.member(identifier)
        if m is not None:
            self.runtime.spawn(self.peers.tell(m.host, m.port, msg), log)

    async def call_members(self, members: list[message.Member], msg: message.Message, us: int) -> dict[str, typing.Any]:
        """Put a call to members, this one included; None where no answer came."""

        async def query(m: message.Member) -> typing.Any:
            if m.id == self.me.id:
                response = self.serve(None, msg)
                return await response if inspect.iscoroutine(response) else response
            return await self.runtime.within(defer.ensureDeferred(self.peers.call(m.host, m.port, msg, us)), us)

        ds = [defer.ensureDeferred(query(m)) for m in members]
        response = await defer.DeferredList(ds, consumeErrors=True)
        return {m.id: value if ok else None for m, (ok, value) in zip(members, response, strict=False)}

    def serve(
        self, connection: wire.Connection | None, msg: message.Message
    ) -> collections.abc.Coroutine[typing.Any, typing.Any, typing.Any] | message.Message | None:
        """Answer one message from another node."""
        match msg:
            case message.SelectWorker(pool=pool, term=term):
                w = self.pool_owners.get(pool)
                if w is None:
                    return message.SelectionDenied(term, "no_warden", "The duty is not here.", "not_run", 0)
                return w.select_worker(msg)
            case message.RevokeRequest(pool=pool):
                w = self.pool_owners.get(pool)
                return message.RevokeResponse("later") if w is None else w.forbid(msg)
            case message.GrantReleased(pool=pool, attempt_id=query, execution=v):
                w = self.pool_owners.get(pool)
                if w is not None:
                    w.release(query, errors.ExecutionOutcome(v))
            case message.GrantReport(pool=pool):
                w = self.pool_owners.get(pool)
                if w is not None:
                    w.listed(msg)
            case message.RecordsRequest(pool=pool, term=term):
                return self.gathered(pool, term)
            case message.ReplicateRecords(pool=pool):
                return message.ReplicateResponse(self.session_replica(pool).take(msg, self.runtime.now()))
            case message.SessionsClosed(pool=pool, sessions=identifiers):
                self.gateway.selector.forget_sessions(pool, identifiers)
            case message.ProbeRequest(worker=w):
                return self.reach.probe(w)
            case message.WorkerUnreachable(worker=w):
                self.gateway.attempts.cut_unreachable(w)
            case message.RelayRequest(worker=w):
                return message.RelayResponse(self.gateway.relays.issue_token(w))
            case message.ForwardedListing(listing=listing):
                self.follower.apply_listing(listing)
            case message.ListingUnchanged():
                if not self.follower.apply_listing_unchanged(msg) and connection is not None:
                    connection.tell(message.ListingRequest())
            case message.ListingRequest():
                if self.follower.full_listing is not None and connection is not None:
                    connection.tell(message.ForwardedListing(self.follower.full_listing))
            case message.PolledWorkers(workers=workers):
                self.follower.apply_polled_workers(workers)
            case message.CoreStatusQuery(version=version):
                follower = self.follower
                ok = follower.session.has_recent_contact() and follower.settled()
                return message.CoreStatusResponse(
                    ok,
                    follower.membership if follower.membership.version > version else None,
                    follower.session.address if ok else None,
                    follower.applied_index,
                )
            case _:
                log.warning("A node has no answer to {}.", type(msg).__name__)

    def gathered(self, pool: str, term: tuple[int, int]) -> message.RecordsResponse:
        """What this node holds of a pool, for its new pool owner; older terms are fenced off."""
        session_replica = self.session_replica(pool)
        now = self.runtime.now()
        if not session_replica.fence(term):
            return message.RecordsResponse(False)
        sessions, claims = session_replica.export(now)
        held = [g for _, g in sorted(self.grants.items()) if g.pool == pool]
        affinities = self.gateway.selector.export_sessions(pool, now)
        w = self.pool_owners.get(pool)
        if w is not None and w.assignment.term < term:
            del self.pool_owners[pool]
            w.end()
            w.leave_to(session_replica)
            sessions, claims = session_replica.export(now)
        firsts, repeats = self.gateway.retry_budgets.export(pool, now)
        return message.RecordsResponse(
            True,
            sessions,
            claims,
            held,
            affinities,
            session_replica.held,
            max(0, session_replica.broken_until - now),
            firsts,
            repeats,
        )

    # ---- stopping -------------------------------------------------------------------------

    async def stop(self) -> None:
        """Say not ready, hand the role assignments over, let streams end, leave; all of it within the grace.

        Newcomers are served until the platform has heard that this node is not ready and
        has had a moment to hand clients elsewhere, and while requests are open up to
        half of the grace; a last eighth of it is kept back.
        """
        self.stopping = True
        log.info("Stopping; {} requests are open.", self.gateway.open)
        self.follower.session.tell(message.MemberLeaving(self.me.id))
        started_at, grace, idle = self.runtime.now(), self.options.grace_us, None
        notice = started_at + min(NOTICE_US, grace // 2)
        ends = started_at + grace - min(grace // 8, units.SECOND_US)
        while (now := self.runtime.now()) < ends:
            heard = now >= notice or (self.asked_at and now - self.asked_at > self.options.notice_us)
            if self.gateway.open:
                idle = None
            elif idle is None:
                idle = now
            elif heard and now - idle > IDLE_US:
                break  # and what was written last has gone out
            self.closing = heard and now >= started_at + grace // 2
            await self.runtime.pause(self.gateway.closed, 100 * units.MILLISECOND_US)
        self.closing = True
        await self.runtime.sleep(LAST_US)
        self.left = True
        log.info("Left with {} requests open.", self.gateway.open)
