"""The receiving side of replication: stores entries from the predecessor, and answers once they are committed."""

from __future__ import annotations

import typing

from iriswheel.consensus import decisions
from iriswheel.replication import snapshot_format, snapshot_transfer, stored_entries
from iriswheel.runtime import storage
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.replication import chain_position, replicated_log, replicated_state, tail


class Receiver:
    """Handles the calls of the predecessor, the replica before this one in the chain."""

    def __init__(
        self,
        position: chain_position.ChainPosition,
        log: replicated_log.ReplicatedLog,
        chain_tail: tail.Tail,
    ) -> None:
        self.position = position
        self.log = log
        self.tail = chain_tail
        self.incoming = snapshot_transfer.IncomingSnapshot()

    async def answer_position(self, request: message.PositionRequest) -> message.PositionResponse:
        """Answer with the position of the newest synced entry, after any write in progress has ended."""
        async with self.log.lock:
            if not self.position.has_predecessor_in(request.view):
                return message.PositionResponse(False)
            return message.PositionResponse(
                ok=True,
                index=self.log.last_index,
                view=self.log.latest_state.view,
                accepts_chunks=True,
                snapshot=self.incoming.digest,
                received=len(self.incoming.content),
            )

    def receive_chunk(self, chunk: message.SnapshotChunk) -> message.SnapshotChunkResponse:
        """Store one chunk of an incoming snapshot in memory; a replica that is synced refuses it."""
        if not self.position.has_predecessor_in(chunk.view) or self.position.is_synced():
            return message.SnapshotChunkResponse(False)
        return message.SnapshotChunkResponse(True, self.incoming.add_chunk(chunk))

    async def append(self, request: message.AppendRequest) -> message.AppendResponse:
        """Store new entries from the predecessor, and answer once they are committed."""
        try:
            async with self.log.lock:
                is_in_place = self.position.has_predecessor_in(request.view) and self.position.is_synced()
                if not is_in_place or not await self.log.extend(request.entries):
                    return message.AppendResponse(False)
        except storage.DiskError:
            return message.AppendResponse(False)
        return await self._wait_for_commit(request.view, request.entries)

    async def catch_up(self, request: message.CatchUp) -> message.AppendResponse:
        """Store one catch-up message of the predecessor; the last one is answered once its entries are committed."""
        try:
            async with self.log.lock:
                if not self.position.has_predecessor_in(request.view) or not await self._store(request):
                    return message.AppendResponse(False)
                if request.last:
                    await self.position.consensus.mark_synced(request.view)
                    self.incoming = snapshot_transfer.IncomingSnapshot()
        except storage.DiskError:
            return message.AppendResponse(False)
        if not request.last:
            return message.AppendResponse(True, request.entries[-1].index)
        response = await self._wait_for_commit(request.view, request.entries)
        if response.ok and (request.snapshot or request.whole_snapshot is not None):
            self.log.on_commit()
        return response

    async def _store(self, request: message.CatchUp) -> bool:
        """Store one catch-up message: with a whole snapshot, for a snapshot that came in chunks, or with entries only.

        Returns:
            Whether the message was stored; False if it does not continue what this replica holds.
        """
        if request.whole_snapshot is not None:
            state = snapshot_format.decode(request.whole_snapshot)
            entries = [stored_entries.StoredEntry.of(entry) for entry in request.entries]
            return await self._restore(request.whole_snapshot, state, entries)
        if request.snapshot:
            return await self._stage_entries(request)
        if request.after is not None and request.after != self.log.latest_state.position:
            return False
        return await self.log.extend(request.entries)

    async def _stage_entries(self, request: message.CatchUp) -> bool:
        """Keep entries that follow an incoming snapshot in memory; on the last message replace this replica's log."""
        incoming = self.incoming
        if not incoming.complete or incoming.digest != request.snapshot:
            return False
        state = incoming.state
        if state is None:
            state = snapshot_format.decode(incoming.content)
            incoming.set_state(state)
        if not incoming.add_entries(request.after, request.entries):
            return False
        return not request.last or await self._restore(bytes(incoming.content), state, incoming.entries)

    async def _restore(
        self,
        snapshot: bytes,
        state: replicated_state.ReplicatedState,
        entries: list[stored_entries.StoredEntry],
    ) -> bool:
        """Replace this replica's log by a snapshot and all entries after it, unless the snapshot arrived late.

        A replica that is synced in this view holds all that the sender held when it was synced. A snapshot that
        ends before the newest entry of such a replica was sent before that moment, and would remove entries.

        Returns:
            Whether the log was replaced.
        """
        record = self.position.consensus.record
        may_restore = decisions.may_restore(record, self.log.last_index, state.index)
        if not may_restore or not snapshot_transfer.is_consecutive(state.index, entries):
            return False
        await self.log.replace(snapshot, state, entries)
        return True

    async def _wait_for_commit(self, view_number: int, entries: list[message.LogEntry]) -> message.AppendResponse:
        """Wake the sender to forward the stored entries, and answer once all replicas up to the tail have them."""
        if not self.position.has_predecessor_in(view_number) or not self.position.is_synced():
            return message.AppendResponse(False)
        index = entries[-1].index if entries else self.log.last_index
        self.log.appended.wake()
        self.tail.commit_synced(view_number)
        is_tail = self.position.is_tail_of(view_number)
        while not is_tail and self.log.committed_state.index < index:
            await self.log.committed.wait()
            if not self.position.has_predecessor_in(view_number):
                return message.AppendResponse(False)
        return message.AppendResponse(True, index)
