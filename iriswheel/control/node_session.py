"""The sessions of nodes at a core machine: what each node was sent, and which log index it has applied."""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.control import slices
from iriswheel.membership import assignments
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.control import core_parts
    from iriswheel.replication import replicated_state, state_history
    from iriswheel.transport import wire

HEARTBEAT_INTERVAL_US = 250 * units.MILLISECOND_US
# Time after the start for which a core machine that does not serve sends a node without a configuration the newest one
# that its disk shows to be committed. Later it counts as cut off, and its state may be out of date.
RECOVERED_STATE_VALIDITY_US = 15 * units.SECOND_US
NO_MEMBERSHIP = (0, 0)

log = loguru.logger.bind(part="core")


class SliceSource(typing.NamedTuple):
    """The state and the membership that a node's slice was computed from."""

    log_index: int
    membership: message.MembershipVersion | None


class NodeSession:
    """One node's session: sends the node its slice of the configuration, the membership, and heartbeats."""

    def __init__(
        self,
        parts: core_parts.CoreParts,
        slice_cache: slices.Slices,
        is_serving: collections.abc.Callable[[], bool],
        connection: wire.Connection,
        join: message.JoinRequest,
    ) -> None:
        self.parts = parts
        self.slices = slice_cache
        self.is_serving = is_serving
        self.connection = connection
        self.member = join.member
        self.sent_index = join.applied_index
        self.applied_index = join.applied_index
        self.sent_pools: tuple[str, ...] | None = () if join.applied_index in parts.chain.history else None
        """The pools for which the slice sent last was computed; None if it is unknown what the node has."""
        self.sent_membership = join.membership.version if join.membership is not None else NO_MEMBERSHIP
        self.heartbeat_sent_at = 0
        self.has_lease = False  # whether the last heartbeat granted the node a lease
        self.node_time = join.sent_at  # newest sending time that the node reported, on its own clock
        self.slice_source: SliceSource | None = None
        self.changed = scheduler.Signal()

    def flush(self) -> None:
        """Send the node new configuration and membership, and a heartbeat if one is due."""
        self._send_configuration()
        self._send_membership()
        self._send_heartbeat()

    def receive_heartbeat(self, heartbeat: message.SessionHeartbeat) -> None:
        """Record a heartbeat of the node: its sending time and the log index that the node has applied."""
        self.node_time = max(self.node_time, heartbeat.sent_at)
        self.parts.lease.record_heartbeat(self.member.id, heartbeat.index, self.parts.runtime.now())
        if heartbeat.index > self.applied_index:
            self.applied_index = heartbeat.index
            self.parts.node_reports.report_now.wake()

    async def run(self, is_stopping: collections.abc.Callable[[], bool]) -> None:
        """Flush at every change and every HEARTBEAT_INTERVAL_US while the connection is up; one task per node.

        Changes that this core machine knows to be committed are sent to its nodes even without contact to
        the tail, since they stay committed. No lease is granted then, and the nodes look for another core
        machine.
        """
        while self.connection.up and not is_stopping():
            if self.connection.buffer_full:
                await self.connection.writable.wait()
                continue
            self.flush()
            await self.parts.runtime.pause(self.changed, HEARTBEAT_INTERVAL_US)
        if self.connection.up:
            self.connection.tell(message.Redirect(self.parts.voters()))

    def _owned_pools(self) -> tuple[str, ...]:
        """The pools that this node currently owns."""
        latest = self.parts.membership.latest
        return assignments.owned_pools(latest.assignments, self.member.id) if latest is not None else ()

    def _slice(
        self, state: replicated_state.ReplicatedState | state_history.PublishedState, pools: tuple[str, ...]
    ) -> slices.Slice:
        """The items of a state that this node needs as the owner of some pools."""
        return self.slices.slice(state, self.member.zone, pools)

    def _send_configuration(self) -> None:
        base, latest = self.parts.chain.committed_state, self.parts.membership.latest
        source = SliceSource(base.index, latest.version if latest is not None else None)
        if base.index < self.sent_index or source == self.slice_source:
            return
        if self.sent_index < 0 and not self.is_serving() and not self._may_send_recovered_state():
            return  # a node without any configuration must not start with one that may be out of date
        self.slice_source = source
        pools = self._owned_pools()
        current = self._slice(base, pools)
        changes = self._changes_since_sent(current, pools)
        if changes is None:
            self.connection.tell(message.ConfigurationSnapshot(base.index, current.items))
        elif changes or base.index > self.sent_index:
            self.connection.tell(message.ConfigurationUpdate(base.index, changes))
        self.sent_pools, self.sent_index = pools, base.index

    def _changes_since_sent(self, current: slices.Slice, pools: tuple[str, ...]) -> slices.SliceChanges | None:
        """The update that turns the slice sent last, or that of any state since, into the current one.

        The node may have got some of the states in between on a session with another core machine. So the update holds
        each item that any of them changed, even if the first and the last state agree on it.

        Returns:
            The update; None if the node needs a snapshot, since not all states from the one sent last on are kept.
        """
        history = self.parts.chain.history
        if self.sent_pools is None or self.sent_index not in history:
            return None
        changes: slices.SliceChanges = {}
        before = self._slice(history[self.sent_index], self.sent_pools)
        for index in range(self.sent_index + 1, current.key.log_index):
            if index not in history:
                return None
            following = self._slice(history[index], pools)
            changes |= self.slices.delta(before, following)
            before = following
        changes |= self.slices.delta(before, current)
        return {key: current.items.get(key) for key in changes}

    def _may_send_recovered_state(self) -> bool:
        """Whether a node may start with the configuration that this machine has recovered from its disk.

        After a loss of all processes the core machines take some time to agree on a view. The committed state may miss
        the newest changes, but holds none that other changes have replaced: nodes never go back behind it.
        """
        parts = self.parts
        has_started_recently = parts.runtime.now() - parts.consensus.started_at_us < RECOVERED_STATE_VALIDITY_US
        return has_started_recently and parts.chain.committed_state.index > 0

    def _send_membership(self) -> None:
        latest = self.parts.membership.latest
        if latest is not None and latest.version > self.sent_membership:
            self.connection.tell(message.MembershipUpdate(latest))
            self.sent_membership = latest.version

    def _send_heartbeat(self) -> None:
        """Send a heartbeat if one is due, or at once if the node has no lease and can now be granted one."""
        parts = self.parts
        now = parts.runtime.now()
        is_due = now - self.heartbeat_sent_at >= HEARTBEAT_INTERVAL_US
        if not is_due and self.has_lease:
            return
        lease_left = parts.lease.grant(self.member.id, now)
        if not is_due and not lease_left:
            return
        self.heartbeat_sent_at, self.has_lease = now, lease_left > 0
        unchanged = parts.node_reports.listing_unchanged
        self.connection.tell(
            message.SessionHeartbeat(self.sent_index, self.sent_membership, unchanged, self.node_time, lease_left)
        )


class NodeSessions:
    """All node sessions of one core machine."""

    def __init__(self, parts: core_parts.CoreParts, is_serving: collections.abc.Callable[[], bool]) -> None:
        self.parts = parts
        self.is_serving = is_serving
        self._slices = slices.Slices()
        self.by_node: dict[str, NodeSession] = {}
        self.stopping = False

    def in_order(self) -> list[NodeSession]:
        """The sessions, ordered by node id."""
        return [self.by_node[node] for node in sorted(self.by_node)]

    def wake_all(self) -> None:
        """Wake every session, so that it sends its node new configuration and membership."""
        self._slices.forget_before(self.parts.chain.history.oldest_index)
        for session in list(self.by_node.values()):
            session.changed.wake()

    def stop(self) -> None:
        """Redirect nodes to the other core machines from now on; open sessions do so when next woken."""
        self.stopping = True

    def redirect(self, connection: wire.Connection) -> None:
        """Send a node the addresses of all core machines, so that it joins another one."""
        connection.tell(message.Redirect(self.parts.voters()))

    def open(self, connection: wire.Connection, join: message.JoinRequest) -> None:
        """Open a session for a node, which replaces an older session of the same node."""
        node = join.member.id
        session = self.by_node[node] = NodeSession(self.parts, self._slices, self.is_serving, connection, join)
        connection.node_session = session
        log.info(
            "Node {node} joined with log index {applied_index} applied; this core machine is serving: {is_serving}.",
            node=join.member.name,
            applied_index=join.applied_index,
            is_serving=self.is_serving(),
        )
        self.parts.lease.end_session(node)
        self.parts.lease.record_heartbeat(node, join.applied_index, self.parts.runtime.now())
        self.parts.runtime.spawn(self._run(session), log)
        self.parts.node_reports.report_now.wake()

    def drop_broken(self) -> None:
        """Remove the sessions whose connection is down, and end their leases."""
        for node in [node for node, session in self.by_node.items() if not session.connection.up]:
            del self.by_node[node]
            self.parts.lease.end_session(node)

    async def _run(self, session: NodeSession) -> None:
        await session.run(lambda: self.stopping)
        node = session.member.id
        if self.by_node.get(node) is session:
            del self.by_node[node]
            self.parts.lease.end_session(node)
            self.parts.node_reports.report_now.wake()
