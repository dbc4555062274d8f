"""Chain replication on one core machine.

A change enters at the head of the chain and passes from replica to replica, each of which syncs it to disk. The tail
commits it, since then every replica has it, and answers all reads. This module composes the parts of one replica: log,
sender, receiver, proposals (used at the head), commits and reads (used at the tail).
"""

from __future__ import annotations

import typing

import loguru

from iriswheel.replication import chain_position, proposals, receiver, replicated_log, sender, tail
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.consensus import view_consensus
    from iriswheel.replication import replicated_state, state_history
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
    """The replica that one core machine keeps of the replicated log.

    Args:
        runtime: Clock and task scheduler.
        disk: The disk that log entries and snapshots are synced to.
        records: All keys and values that the disk held when the process started.
        peers: Client for calls to other core machines.
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
        """The view consensus of this machine; assigned once, before the first view is installed."""
        return self.position.consensus

    @consensus.setter
    def consensus(self, consensus: view_consensus.ViewConsensus) -> None:
        self.position.consensus = consensus

    @property
    def on_commit(self) -> collections.abc.Callable[[], object]:
        """The callback that runs after entries were committed or the log was replaced by a snapshot."""
        return self.log.on_commit

    @on_commit.setter
    def on_commit(self, on_commit: collections.abc.Callable[[], object]) -> None:
        self.log.on_commit = on_commit

    @property
    def committed_state(self) -> replicated_state.ReplicatedState:
        """The replicated state after the newest entry that this replica knows to be committed."""
        return self.log.committed_state

    @property
    def latest_state(self) -> replicated_state.ReplicatedState:
        """The replicated state after the newest entry that this replica has synced, committed or not."""
        return self.log.latest_state

    @property
    def history(self) -> state_history.StateHistory:
        """The most recent committed states as nodes receive them, by log index."""
        return self.log.history

    def is_synced(self) -> bool:
        """Whether this replica holds every entry that was acknowledged before the newest view."""
        return self.position.is_synced()

    def commit(self, index: int) -> None:
        """Commit the entries up to a log index, or up to the newest stored one if this replica has fewer."""
        self.log.commit(index)

    def install(self, view: message.View) -> None:
        """Install a new view: tasks that wait in the old view end, and replication to the successor starts again."""
        self.log.appended.wake()
        self.log.committed.wake()
        self.runtime.spawn(self._start(view), log)

    async def _start(self, view: message.View) -> None:
        """Begin work in a new view: the tail commits, any other replica sends entries to its successor."""
        async with self.log.lock:
            pass  # waits for a write that was started in an earlier view
        self.log.compact_recovered()
        if self.position.is_tail_of(view.number):
            self.tail.commit_synced(view.number)
            return
        successor = self.position.successor_in(view)
        if successor is not None:
            await self.sender.replicate_to(view, successor)

    async def answer(self, request: ChainRequest) -> ChainResponse:
        """Answer a request to this replica, from another core machine or from this machine's own chain client."""
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
