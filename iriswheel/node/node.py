"""The node process: creates and connects the gateway for clients, the follower, the pool roles and their tasks."""

from __future__ import annotations

import collections.abc
import typing

import loguru
from twisted.internet import defer

from iriswheel.dataplane import dispatch, edge_protocol, gateway, health
from iriswheel.node import follower, load_reporter, peer_requests, pool_roles, shutdown, startup
from iriswheel.rate_limits import rate_limiter
from iriswheel.runtime import scheduler, units
from iriswheel.transport import memory_budget, message, peers, wire

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import owner_client
    from iriswheel.pools import pool_owner
    from iriswheel.runtime import options


REPORT_INTERVAL_US = 1 * units.SECOND_US
"""The time between reports of the grants that this node holds, and between clean-ups of expired state."""

log = loguru.logger.bind(part="node")


class Node:
    """The parts of a node process and their tasks; its sockets and command line are in `cli`."""

    def __init__(
        self, runtime: scheduler.Runtime, options: options.Options, formats: edge_protocol.EdgeProtocol | None = None
    ) -> None:
        self.runtime = runtime
        self.options = options
        self.edge_protocol = formats or edge_protocol.EdgeProtocol()
        self.member_record: message.Member | None = None
        peer_memory = memory_budget.MemoryBudget(options.peer_memory_bytes)
        self.peers = peers.Peers(runtime, self.serve, log, peer_memory)
        self.reachability: health.Reachability = health.Reachability(self)
        self.dispatcher = dispatch.Dispatcher(runtime, self.reachability.note_contact)
        self.follower: follower.Follower = follower.Follower(self, options)
        self.startup: startup.Startup = startup.Startup(self.follower)
        self.gateway: gateway.Gateway = gateway.Gateway(self)
        self.loads = load_reporter.LoadReporter(self)
        self.rate_limiter: rate_limiter.RateLimiter = rate_limiter.RateLimiter(self)
        self.pool_roles: pool_roles.PoolRoles = pool_roles.PoolRoles(self)
        self.peer_requests = peer_requests.PeerRequests(self)
        self.grants: dict[str, message.WorkerGrant] = {}  # by attempt id, of attempts under way here
        # by attempt id: attempts that this node abandoned before it sent them to a worker
        self.abandoned_attempts: dict[str, owner_client.AbandonedAttempt] = {}
        self.draining = False  # not ready any more, but still serving new requests
        self.refusing_requests = False  # set late in the drain: new requests get an error
        self.drain_noticed_at_us: int | None = None  # time of the first "not ready" answer while draining
        self.stopped = False  # makes all tasks end
        self.options_reloaded_at_us: int | None = None  # time of the last reload of the options

    def start(self, port: int, http: int) -> None:
        """Start all tasks; `port` and `http` are the ports that the process has bound."""
        options = self.options
        identifier = f"{options.name}-{self.runtime.incarnation}"
        self.member_record = message.Member(identifier, options.name, options.zone, options.host, port, http)
        for coroutine in (
            self.follower.session.run(),
            self.follower.watch_core_contact(),
            self.follower.platform.run(),
            self._run_upkeep(),
            self.gateway.attempts.watch_hangs(),
            self.reachability.probe_quiet_workers(),
            self.gateway.forwarder.watch(),
            self.loads.run(),
        ):
            self.runtime.spawn(coroutine, log)
        log.info("Node {node} starts its tasks in zone {zone}.", node=identifier, zone=options.zone)

    def reload_options(self, options: options.Options) -> None:
        """Apply reloaded options: the seeds and the platform's address. All other options stay as they are."""
        self.options_reloaded_at_us = self.runtime.now()
        self.options.platform = options.platform
        self.follower.session.add_addresses(options.seed_list())
        log.info("The node applied the reloaded options: the seeds and the address of the platform.")

    @property
    def pool_owners(self) -> dict[str, pool_owner.PoolOwner]:
        """The pool owners that run on this node, by pool."""
        return self.pool_roles.owners

    @property
    def member(self) -> message.Member:
        """This node's member record; raises RuntimeError before `start`."""
        if self.member_record is None:
            raise RuntimeError("The node has no member record before it has started.")
        return self.member_record

    # ---- state ---------------------------------------------------------------------

    def ready(self) -> tuple[bool, str]:
        """Return whether clients should be sent to this node, and if not, the reason."""
        follower = self.follower
        if self.draining:
            return False, "stopping"
        if not self.startup.is_complete:
            return False, self.startup.missing()
        if follower.needs_rejoin():
            return False, "rejoining"
        if follower.is_partitioned():
            return False, "cut off"
        if not follower.has_worker_update():
            return False, "no news of workers"
        return True, ""

    def state(self) -> dict[str, typing.Any]:
        """Return the state of this node that `GET /state` shows."""
        follower = self.follower
        ok, why = self.ready()
        return {
            "role": "node",
            "id": self.member.id,
            "name": self.member.name,
            "zone": self.member.zone,
            "ready": ok,
            "why": why,
            "place": follower.applied_index,
            "core_session": follower.session.state(),
            "roster": list(follower.membership.version),
            "workers": {worker.id: worker.state for worker in follower.workers},
            "routes": sorted(follower.routes),
            "pools": sorted(follower.pools),
            "duties": message.plain(follower.membership.assignments),
            "wardens": self.pool_roles.state(),
            "carrier": self.gateway.forwarder.state(),
            "open": self.gateway.open_requests,
            "counts": self.gateway.counts.state(),
            "refused": self.gateway.refused,
            **self.rate_limiter.state(),
        }

    # ---- updates -----------------------------------------------------------------

    def on_zone_readmitted(self, zone: str) -> None:
        """Treat the workers of a zone as cold after the end of its evacuation: send them requests at a limited rate."""
        self.gateway.forwarder.cold_workers.zone_readmitted(zone)

    def on_update(self) -> None:
        """Apply a change of the membership, the slice or the workers to the pool roles, the start and the peers."""
        if self.member_record is None:
            return
        self.pool_roles.update(self.member_record.id)
        self.startup.update()
        # connections to core machines stay too: a new pool owner may be waiting for an answer on one
        members = {(member.host, member.port) for member in self.follower.membership.members}
        self.peers.close_all_except(members | set(self.follower.core_zones()))

    async def _run_upkeep(self) -> None:
        """Every REPORT_INTERVAL_US, report roles and grants and remove expired state; one task."""
        while not self.stopped:
            await self.runtime.sleep(REPORT_INTERVAL_US)
            self._report_contested_roles()
            self._forget_expired_attempts()
            self._report_grants()
            self.gateway.attempts.cancel_drained()
            now = self.runtime.now()
            self.pool_roles.sweep(now)
            self.gateway.selector.forget_expired_sessions(now)
            self.rate_limiter.sweep()
            self.peers.close_idle()

    def _forget_expired_attempts(self) -> None:
        now = self.runtime.now()
        self.abandoned_attempts = {
            attempt_id: attempt
            for attempt_id, attempt in self.abandoned_attempts.items()
            if attempt.reported_until_us >= now
        }

    def _report_grants(self) -> None:
        """Report to each pool's owner the grants that this node holds, so that the owner can release all others."""
        for assignment in self.follower.membership.assignments:
            pool = pool_roles.pool_of(assignment)
            if pool is not None:
                self.tell_member(assignment.holder, self._grant_report(pool))

    def _report_contested_roles(self) -> None:
        """Report to the core the pools assigned to this node whose owner could not start: they need a new term."""
        for assignment in self.follower.membership.assignments:
            mine = pool_roles.pool_of(assignment) is not None and assignment.holder == self.member.id
            if mine and self.pool_roles.is_contested(assignment):
                self.follower.session.tell(message.RoleContested(assignment.key, assignment.term))

    def _grant_report(self, pool: str) -> message.GrantReport:
        attempt_ids = [attempt_id for attempt_id, grant in sorted(self.grants.items()) if grant.pool == pool]
        abandoned = [attempt_id for attempt_id, attempt in self.abandoned_attempts.items() if attempt.pool_name == pool]
        return message.GrantReport(pool, self.member.id, attempt_ids, self.reachability.recent_contacts(), abandoned)

    # ---- messages -----------------------------------------------------------------------

    def tell_member(self, identifier: str, notice: message.Message) -> None:
        """Send a member a message that has no answer; a message to this node itself is handled at once."""
        if identifier == self.member.id:
            self.serve(None, notice)
            return
        member = self.follower.member(identifier)
        if member is not None:
            self.runtime.spawn(self.peers.tell(member.host, member.port, notice), log)

    @typing.overload
    async def call_members(
        self, members: list[message.Member], request: message.ReplicateRecords, deadline_us: int
    ) -> dict[str, message.ReplicateResponse | None]: ...

    @typing.overload
    async def call_members(
        self, members: list[message.Member], request: message.RecordsRequest, deadline_us: int
    ) -> dict[str, message.RecordsResponse | None]: ...

    @typing.overload
    async def call_members(
        self, members: list[message.Member], request: message.RevokeRequest, deadline_us: int
    ) -> dict[str, message.RevokeResponse | None]: ...

    @typing.overload
    async def call_members(
        self, members: list[message.Member], request: message.ProbeRequest, deadline_us: int
    ) -> dict[str, message.ProbeResponse | None]: ...

    async def call_members(
        self, members: list[message.Member], request: message.Message, deadline_us: int
    ) -> collections.abc.Mapping[str, message.Message | None]:
        """Send a request to members, which may include this node, and wait for all answers.

        Args:
            members: The members to call.
            request: The request to each of them.
            deadline_us: The time in µs that other members have for their answer.

        Returns:
            The answers by member id; None where no answer came.
        """
        calls = [defer.ensureDeferred(self._call_member(member, request, deadline_us)) for member in members]
        results = await defer.DeferredList(calls, consumeErrors=True)
        return {member.id: response if ok else None for member, (ok, response) in zip(members, results, strict=True)}

    async def _call_member(
        self, member: message.Member, request: message.Message, deadline_us: int
    ) -> message.Message | None:
        if member.id == self.member.id:
            response = self.serve(None, request)
            if response is None or isinstance(response, message.Message):
                return response
            return await response
        call = defer.ensureDeferred(self.peers.call(member.host, member.port, request, deadline_us))
        answer: message.Message = await self.runtime.within(call, deadline_us)
        return answer

    def serve(self, connection: wire.Connection | None, request: message.Message) -> peer_requests.Response:
        """Answer one message from another node, or from this node itself if `connection` is None."""
        return self.peer_requests.serve(connection, request)

    # ---- stopping -------------------------------------------------------------------------

    async def stop(self) -> None:
        """Stop gracefully, within the option `grace_us`."""
        await shutdown.stop_gracefully(self)
