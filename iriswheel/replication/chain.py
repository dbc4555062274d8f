"""Chain replication on one core machine: changes enter at the head, are synced on every replica, and the tail reads.

This module puts the parts together: log, sender, receiver, proposals at the head, commits and reads at the tail.
"""

from __future__ import annotations

import typing

import loguru

from iriswheel.replication import chain_position, proposals, receiver, replicated_log, sender, tail
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.consensus import view_consensus
    from iriswheel.replication import replicated_state
    from iriswheel.runtime import scheduler, storage
    from iriswheel.transport import peer_calls

ChainRequest: typing.TypeAlias = (
    message.PositionRequest
    | message.SnapshotChunk
    | message.CatchUp
    | message.AppendRequest
    | message.ProposeChange
    | message.ReadRequest
)
ChainResponse: typing.TypeAlias = (
    message.PositionResponse
    | message.SnapshotChunkResponse
    | message.AppendResponse
    | message.ProposeChangeResponse
    | message.ReadResponse
)

log = loguru.logger.bind(part="chain")


class Chain:
    """One core machine's replica of the chain.

    Args:
        runtime: Clock and tasks.
        disk: Where entries and snapshots are synced.
        records: What the disk held at the start.
        peers: Calls to other core machines.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        disk: storage.MonitoredDisk,
        records: collections.abc.Mapping[bytes, bytes],
        peers: peer_calls.PeerCalls,
    ) -> None:
        self.runtime = runtime
        self.position = chain_position.ChainPosition()
        self.log = replicated_log.ReplicatedLog(runtime, disk, records)
        self.tail = tail.Tail(self.position, self.log)
        self.sender = sender.Sender(runtime, peers, self.position, self.log)
        self.receiver = receiver.Receiver(self.position, self.log, self.tail)
        self.proposals = proposals.Proposals(self.position, self.log, self.tail)

    @property
    def consensus(self) -> view_consensus.ViewConsensus:
        """View consensus on this machine; set once, before the first view."""
        return self.position.consensus

    @consensus.setter
    def consensus(self, consensus: view_consensus.ViewConsensus) -> None:
        self.position.consensus = consensus

    @property
    def on_commit(self) -> collections.abc.Callable[[], object]:
        """Called after entries were committed, or a snapshot has taken their place."""
        return self.log.on_commit

    @on_commit.setter
    def on_commit(self, on_commit: collections.abc.Callable[[], object]) -> None:
        self.log.on_commit = on_commit

    @property
    def committed_state(self) -> replicated_state.ReplicatedState:
        """The state after the newest entry that is known here to be committed."""
        return self.log.committed_state

    @property
    def latest_state(self) -> replicated_state.ReplicatedState:
        """The state after the newest entry that is synced here, committed or not."""
        return self.log.latest_state

    @property
    def history(self) -> collections.abc.Mapping[int, replicated_state.ReplicatedState]:
        """The newest committed states, by index."""
        return self.log.history

    def is_synced(self) -> bool:
        """Whether this copy holds all that was acknowledged before the newest view."""
        return self.position.is_synced()

    def commit(self, index: int) -> None:
        """Commit the entries up to an index, as far as they are here."""
        self.log.commit(index)

    def install(self, view: message.View) -> None:
        """Start on a new view: waiting tasks of the old one end, and the next replica is fed anew."""
        self.log.appended.wake()
        self.log.committed.wake()
        self.runtime.spawn(self._start(view), log)

    async def _start(self, view: message.View) -> None:
        """In a new view: at the tail, commit what all replicas hold; elsewhere, feed the next replica."""
        async with self.log.lock:
            pass  # a write that an earlier view began ends first
        if self.position.is_tail_of(view.number):
            self.tail.commit_synced(view.number)
            return
        successor = self.position.successor_in(view)
        if successor is not None:
            await self.sender.replicate_to(view, successor)

    async def answer(self, request: ChainRequest) -> ChainResponse:
        """Answer a message of the chain from another core machine, or of an operator's connection."""
        match request:
            case message.PositionRequest():
                return await self.receiver.answer_position(request)
            case message.SnapshotChunk():
                return self.receiver.receive_chunk(request)
            case message.CatchUp():
                return await self.receiver.catch_up(request)
            case message.AppendRequest():
                return await self.receiver.append(request)
            case message.ProposeChange():
                return await self.proposals.propose(request)
            case message.ReadRequest():
                return self.tail.answer_read(request)
