"""The receiving side between two replicas: stores what the replica before sends, and answers once it is committed."""

from __future__ import annotations

import typing

from iriswheel.consensus import decisions
from iriswheel.replication import snapshot_format, snapshot_transfer
from iriswheel.runtime import storage
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.replication import chain_position, replicated_log, replicated_state, tail


class Receiver:
    """Handles the calls of the replica before this one in the chain."""

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
        """Answer with the newest synced position, once no write is under way that would change it."""
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

    def take_chunk(self, chunk: message.SnapshotChunk) -> message.SnapshotChunkResponse:
        """Keep one chunk of a snapshot in memory."""
        if not self.position.has_predecessor_in(chunk.view) or self.position.is_synced():
            return message.SnapshotChunkResponse(False)
        return message.SnapshotChunkResponse(True, self.incoming.add_chunk(chunk))

    async def append(self, request: message.AppendRequest) -> message.AppendResponse:
        """Store new entries from the replica before; answer once they are committed."""
        try:
            async with self.log.lock:
                is_in_place = self.position.has_predecessor_in(request.view) and self.position.is_synced()
                if not is_in_place or not await self.log.extend(request.entries):
                    return message.AppendResponse(False)
        except storage.DiskError:
            return message.AppendResponse(False)
        return await self._wait_for_commit(request.view, request.entries)

    async def catch_up(self, request: message.CatchUp) -> message.AppendResponse:
        """Store what the replica before sends to catch up; after the last of it, answer once it is committed."""
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
        """Store one message of catching up by its kind; whether it fits what is here."""
        if request.whole_snapshot is not None:
            return await self._restore(
                request.whole_snapshot, snapshot_format.decode(request.whole_snapshot), request.entries
            )
        if request.snapshot:
            return await self._stage(request)
        if request.after is not None and request.after != self.log.latest_state.position:
            return False
        return await self.log.extend(request.entries)

    async def _stage(self, request: message.CatchUp) -> bool:
        """Keep entries that follow an incoming snapshot; with the last of them the snapshot replaces this copy."""
        incoming = self.incoming
        if not incoming.complete or incoming.digest != request.snapshot:
            return False
        state = incoming.state
        if state is None:
            state = snapshot_format.decode(incoming.content)
            incoming.decoded(state)
        if not incoming.add_entries(request.after, request.entries):
            return False
        return not request.last or await self._restore(bytes(incoming.content), state, incoming.entries)

    async def _restore(
        self, snapshot: bytes, state: replicated_state.ReplicatedState, entries: list[message.LogEntry]
    ) -> bool:
        """Replace this copy by a snapshot and all entries after it, unless the snapshot was held up on its way.

        A copy that is synced in this view holds what the sender held earlier in it. A snapshot that ends before
        such a copy does was sent before the copy was synced, and would take back entries.

        Returns:
            Whether the copy was replaced.
        """
        record = self.position.consensus.record
        may_restore = decisions.may_restore(record, self.log.last_index, state.index)
        if not may_restore or not snapshot_transfer.is_consecutive(state.index, entries):
            return False
        await self.log.replace(snapshot, state, entries)
        return True

    async def _wait_for_commit(self, number: int, entries: list[message.LogEntry]) -> message.AppendResponse:
        """Pass on what was stored, and answer once all replicas down to the tail have it."""
        if not self.position.has_predecessor_in(number) or not self.position.is_synced():
            return message.AppendResponse(False)
        index = entries[-1].index if entries else self.log.last_index
        self.log.appended.wake()
        self.tail.commit_synced(number)
        is_tail = self.position.is_tail_of(number)
        while not is_tail and self.log.committed_state.index < index:
            await self.log.committed.wait()
            if not self.position.has_predecessor_in(number):
                return message.AppendResponse(False)
        return message.AppendResponse(True, index)
