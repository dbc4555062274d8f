"""The sending side of replication: keeps the successor, the next replica of the chain, up to date."""

from __future__ import annotations

import typing

from iriswheel.replication import snapshot_format
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire

if typing.TYPE_CHECKING:
    from iriswheel.replication import chain_position, replicated_log, snapshot_transfer
    from iriswheel.transport import peer_calls

CALL_TIMEOUT_US = 2 * units.SECOND_US
RETRY_INTERVAL_US = 50 * units.MILLISECOND_US


class Sender:
    """Sends the log to the successor: first the entries that it lacks (catch-up), then new entries in batches."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        peers: peer_calls.PeerCalls,
        position: chain_position.ChainPosition,
        log: replicated_log.ReplicatedLog,
    ) -> None:
        self.runtime = runtime
        self.peers = peers
        self.position = position
        self.log = log

    async def replicate_to(self, view: message.View, successor: message.Voter) -> None:
        """Keep the successor up to date as long as this replica serves in the view."""
        stored: int | None = None  # log index synced on all replicas from the successor to the tail; None: unknown
        while self.position.serves_in(view.number):
            if not self.position.is_synced() or (stored is not None and stored >= self.log.last_index):
                await self.log.appended.wait()
                continue
            try:
                stored = await self._send(view.number, successor, stored)
            except (wire.ConnectionBrokenError, scheduler.DeadlineError):
                stored = None
            if stored is None:
                await self.runtime.sleep(RETRY_INTERVAL_US)
            elif self.position.serves_in(view.number) and self.position.has_enough_copies(view):
                self.log.commit(stored)

    async def _send(self, view_number: int, successor: message.Voter, stored: int | None) -> int | None:
        """Send a catch-up or the next batch; returns the index synced up to the tail, None if refused."""
        if stored is None:
            return await self._catch_up(view_number, successor)
        return await self._deliver(successor, message.AppendRequest(view_number, self.log.batch(stored + 1)))

    async def _deliver(self, successor: message.Voter, request: message.AppendRequest | message.CatchUp) -> int | None:
        """Send one message; returns the index synced on all replicas up to the tail, None if it was refused."""
        response = await self._call(successor, request)
        return response.index if isinstance(response, message.AppendResponse) and response.ok else None

    async def _call(self, successor: message.Voter, request: message.Message) -> message.Message:
        return await self.peers.call(successor.host, successor.port, request, CALL_TIMEOUT_US)

    async def _catch_up(self, view_number: int, successor: message.Voter) -> int | None:
        """Bring the successor up to date; returns the index synced up to the tail, None if a retry is needed."""
        position_response = await self._call(
            successor, message.PositionRequest(view_number, self.position.consensus.own_voter.id)
        )
        if not isinstance(position_response, message.PositionResponse) or not position_response.ok:
            return None
        if not position_response.accepts_chunks:
            return await self._deliver(successor, self._single_message_catch_up(view_number, position_response))
        receiver_position = message.LogPosition(position_response.index, position_response.view)
        if self.log.can_continue_from(receiver_position):
            return await self._send_entries(view_number, successor, receiver_position, "")
        snapshot = self.log.pin_snapshot()
        if not await self._send_snapshot(view_number, successor, snapshot, position_response):
            return None
        return await self._send_entries(view_number, successor, snapshot.position, snapshot.digest)

    async def _send_snapshot(
        self,
        view_number: int,
        successor: message.Voter,
        snapshot: snapshot_transfer.OutgoingSnapshot,
        position_response: message.PositionResponse,
    ) -> bool:
        """Send a snapshot from the offset that the successor has reached; returns whether all of it arrived."""
        offset = position_response.received if position_response.snapshot == snapshot.digest else 0
        while offset < len(snapshot.content):
            if not self.position.serves_in(view_number):
                return False
            response = await self._call(successor, snapshot.chunk(view_number, offset))
            if not isinstance(response, message.SnapshotChunkResponse):
                return False
            if not response.ok or response.received <= offset:
                return False
            offset = response.received
        return True

    async def _send_entries(
        self, view_number: int, successor: message.Voter, after: message.LogPosition, snapshot: str
    ) -> int | None:
        """Send all entries after a position in bounded batches; after the last one the successor is synced."""
        while self.position.serves_in(view_number) and self.log.has_all_entries_after(after.index):
            entries = self.log.batch(after.index + 1)
            last = after.index + len(entries) >= self.log.last_index
            request = message.CatchUp(view_number, None, entries, after, snapshot, last)
            stored = await self._deliver(successor, request)
            if stored is None or last:
                return stored
            after = message.LogPosition(entries[-1].index, entries[-1].view)
        return None

    def _single_message_catch_up(
        self, view_number: int, position_response: message.PositionResponse
    ) -> message.CatchUp:
        """The catch-up as a single message, for a successor with an older version that does not accept chunks."""
        if self.log.can_continue_from(message.LogPosition(position_response.index, position_response.view)):
            return message.CatchUp(view_number, None, self.log.entries_after(position_response.index))
        state = self.log.committed_state
        return message.CatchUp(view_number, snapshot_format.encode(state), self.log.entries_after(state.index))
