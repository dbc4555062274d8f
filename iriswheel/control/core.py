"""A core machine: composes its parts, and dispatches each incoming message to the part that handles it."""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.consensus import decisions, view_consensus
from iriswheel.control import (
    chain_client,
    core_parts,
    counters,
    load_exchange,
    node_session,
    operator_api,
    owned_pools,
    persistent_state,
    replica_store,
    reports,
    submitted_changes,
    tail_contact,
    tail_service,
)
from iriswheel.membership import lease, membership_manager
from iriswheel.replicated_counters import counters as replicated_counters
from iriswheel.replication import chain
from iriswheel.runtime import scheduler, storage, units
from iriswheel.transport import memory_budget, message, peers, wire

if typing.TYPE_CHECKING:
    from iriswheel.control import zone_evacuation
    from iriswheel.runtime import options
    from iriswheel.transport import http_server

STOP_NOTICE_US = 100 * units.MILLISECOND_US  # wait in which the redirects reach the nodes
STOP_CHECK_INTERVAL_US = 50 * units.MILLISECOND_US

Answer: typing.TypeAlias = collections.abc.Coroutine[typing.Any, typing.Any, message.Message | None]

log = loguru.logger.bind(part="core")


class Core:
    """Composes a core process; the package `cli` provides the sockets and the command line."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        disk: storage.DataFolder,
        options: options.Options,
        initial_addresses: list[peers.Address] | None = None,
    ) -> None:
        """Load the state from the disk; the initial addresses are by default the seeds, where the fleet may be new."""
        self.runtime = runtime
        self.options = options
        self.counters = counters.Counters()
        if initial_addresses is None:
            initial_addresses = options.seed_list() if options.found else []
        state = persistent_state.load(runtime, disk, initial_addresses)
        self.disk = storage.MonitoredDisk(runtime, disk)
        peer_memory = memory_budget.MemoryBudget(options.peer_memory_bytes)
        self.peers = peers.Peers(runtime, self.serve, log, peer_memory)
        self.chain = chain.Chain(runtime, self.disk, state, self.peers)
        self.consensus = self._make_consensus(state, initial_addresses)
        self.chain.consensus = self.consensus
        self.chain.on_commit = self._wake_senders
        self.membership = membership_manager.MembershipManager(
            runtime, self.consensus, owned_pools.OwnedPools(self.chain).names
        )
        self.lease = lease.CoreLease(options.lease_us)
        self.node_reports = reports.NodeReports()
        parts = core_parts.CoreParts(
            runtime, self.peers, self.chain, self.consensus, self.membership, self.lease, self.node_reports
        )
        self.tail_contact = tail_contact.TailContact(parts, self._wake_senders)
        self.node_sessions = node_session.NodeSessions(parts, self.is_serving)
        self.tail_service = tail_service.TailService(
            parts, options, self.tail_contact, self.node_sessions, self._wake_senders
        )
        self.consensus.tail_lease.on_obtained = self.tail_service.on_lease
        self.reporter = reports.SessionReporter(parts, self.node_sessions, self.tail_service.apply_report)
        self.session_replicas = replica_store.SessionReplicaStore(parts, self.disk, state)
        self.loads = load_exchange.LoadAggregator(parts, self.node_sessions.by_node)
        self.client = chain_client.ChainClient(parts, self.counters)
        self.change_applier = submitted_changes.ChangeApplier(parts, self.client, self.tail_contact, self.counters)
        self.replicated_counters = replicated_counters.ReplicatedCounters(
            runtime,
            self.disk,
            state,
            peers=self.peers,
            machine=self.consensus.own_voter.id,
            copies=options.copies,
            founding=options.found,
            addresses=self.consensus.addresses_heard,
        )
        self.operator_api = operator_api.OperatorApi(
            self,
            self.client,
            self.change_applier,
            self.tail_contact,
            replicas=self.session_replicas,
            counters=self.counters,
        )

    def _make_consensus(
        self, state: dict[bytes, bytes], initial_addresses: list[peers.Address]
    ) -> view_consensus.ViewConsensus:
        options = self.options
        voter = message.Voter(persistent_state.identity(state), options.host, options.port, options.zone)
        record = persistent_state.consensus_record(state)
        if record.view is None:
            initial_addresses = initial_addresses or persistent_state.initial_addresses(state)
        consensus = view_consensus.ViewConsensus(
            self.runtime,
            self.disk,
            record,
            voter,
            seeds=initial_addresses,
            peers=self.peers,
            on_view=self._on_view,
            voter_count=options.seats,
            copies=options.copies,
        )
        consensus.learn_seeds(options.seed_list())
        consensus.last_entry = lambda: decisions.LastEntry(self.chain.latest_state.view, self.chain.latest_state.index)
        return consensus

    def start(self) -> None:
        """Start all tasks."""
        for coroutine in (
            self.disk.watch(),
            self.consensus.exchange_heartbeats(),
            self.consensus.renew_lease(),
            self.consensus.keep_view_current(),
            self.reporter.run(),
            self.tail_service.send_heartbeats(),
            self.tail_service.issue_periodically(),
            self.session_replicas.write_periodically(),
            self.loads.run(),
        ):
            self.runtime.spawn(coroutine, log)
        self.replicated_counters.start()
        identifier, view = self.consensus.own_voter.id, self.consensus.view
        if view is not None:
            log.info(
                "Core machine {core} starts with view {view} and log index {log_index} from its disk, "
                "of which index {committed_index} is known to be committed.",
                core=identifier,
                view=view.number,
                log_index=self.chain.latest_state.index,
                committed_index=self.chain.committed_state.index,
            )
        else:
            log.info("Core machine {core} starts without a stored view.", core=identifier)

    def reload_options(self, options: options.Options) -> None:
        """Apply reloaded options: seeds that were added."""
        self.consensus.learn_seeds(options.seed_list())
        log.info("The options were reloaded; newly listed seeds are in use.")

    @property
    def stopping(self) -> bool:
        """Whether this core machine has begun to stop."""
        return self.node_sessions.stopping

    def is_serving(self) -> bool:
        """Whether nodes may rely on this core machine: it is in the chain and the tail answered it recently."""
        return not self.stopping and self.consensus.is_serving() and self.tail_contact.has_recent_answer()

    async def handle(self, request: http_server.Request) -> None:
        """Answer one operator's request."""
        await self.operator_api.handle(request)

    async def read(self) -> message.ReadResponse:
        """The committed configuration, read at the tail."""
        return await self.client.read_state()

    async def change(self, change: submitted_changes.SubmittedChange) -> int:
        """Apply a numbered change; returns its version once the nodes have applied it."""
        return await self.change_applier.apply_change(change)

    async def order_zone(self, order: zone_evacuation.ZoneOrder) -> int:
        """Evacuate or readmit a zone; returns the configuration version that contains the order."""
        return await self.change_applier.apply(order)

    def serve(self, connection: wire.Connection | None, received: message.Message) -> Answer | None:
        """Answer one message from another process."""
        match received:
            case (
                message.Heartbeat()
                | message.FirstStart()
                | message.Prepare()
                | message.Accept()
                | message.Decided()
                | message.LeaseRequest()
            ):
                return self.consensus.answer(received)
            case (
                message.PositionRequest()
                | message.SnapshotChunk()
                | message.CatchUp()
                | message.AppendRequest()
                | message.ProposeChange()
                | message.ReadRequest()
            ):
                return self.chain.answer(received)
            case message.NodeSessionsReport():
                self.tail_service.apply_report(received)
            case message.TailHeartbeat():
                self.tail_contact.receive(received)
            case message.MemberLeaving():
                return self.tail_service.remove_member(received)
            case message.RecordsRequest():
                return self.session_replicas.collect(received)
            case message.ReplicateAdds():
                return self.replicated_counters.answer(received)
            case _:
                self._serve_node(connection, received)
        return None

    def _serve_node(self, connection: wire.Connection | None, received: message.Message) -> None:
        """Handle a message from a node; some arrive through another core machine, without a session here."""
        session = connection.node_session if connection is not None else None
        match received:
            case message.JoinRequest() if connection is not None:
                self._join(connection, received)
            case message.SessionHeartbeat():
                if session is not None:
                    session.receive_heartbeat(received)
            case message.LoadReport():
                self.loads.apply_report(received, from_node=session is not None)
            case message.WorkerListing():
                self.node_reports.record_listing(received)
            case message.ListingUnchanged():
                self.node_reports.record_listing_unchanged(received)
            case message.RoleActivated(key=key, term=term):
                self.node_reports.record_role_activated(key, term)
            case message.RoleContested(key=key, term=term):
                self.node_reports.record_role_contested(key, term)
            case message.ReplicateRecords():
                self.session_replicas.apply_records(received, from_node=session is not None)
            case _:
                log.warning(
                    "The core machine ignores a message of type {message_type}, which it does not handle.",
                    message_type=type(received).__name__,
                )

    def _join(self, connection: wire.Connection, join: message.JoinRequest) -> None:
        self.membership.keep_newest(join.membership)
        if self.stopping:
            self.node_sessions.redirect(connection)
            return
        self.loads.reset_node(join.member.id)
        self.counters.joins += 1
        self.node_sessions.open(connection, join)

    def _on_view(self, view: message.View) -> None:
        """Install a newly agreed view in all parts."""
        self.counters.views += 1
        self.tail_service.on_view(view)
        self.chain.install(view)
        self.node_reports.report_now.wake()
        self.tail_service.heartbeat_now.wake()
        self.peers.close_all_except(self.consensus.addresses())

    def _wake_senders(self) -> None:
        """Wake the node sessions and the heartbeats to other core machines, so that they send new state."""
        self.node_sessions.wake_all()
        self.tail_service.heartbeat_now.wake()

    async def stop(self) -> None:
        """Redirect the nodes, wait for a chain without this machine and for its counter adds to be copied, then return.

        A machine with the only synced copy of the log waits until another copy is synced, or until the process is
        killed. A voter that the other core machines need for a majority waits for the whole grace period, at the end of
        which the platform kills the process.
        """
        self.node_sessions.stop()
        self._wake_senders()
        self.consensus.announce_departure()
        self.replicated_counters.stop()
        until = self.runtime.now() + self.options.grace_us
        await self.runtime.sleep(STOP_NOTICE_US)
        while self.consensus.holds_only_copy() or (self._is_still_needed() and self.runtime.now() < until):
            self.consensus.heartbeat_now.wake()
            await self.runtime.sleep(STOP_CHECK_INTERVAL_US)

    def _is_still_needed(self) -> bool:
        return self.consensus.is_still_needed() or self.replicated_counters.is_still_needed()
