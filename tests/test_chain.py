"""The answers of one replica of the chain while its view changes and its disk is slow."""

import types
from collections.abc import Sequence
from typing import Any

import pytest
from twisted.internet import defer

from iriswheel.replication import chain, replicated_log, replicated_state, snapshot_format
from iriswheel.runtime import scheduler
from iriswheel.transport import message


class Disk:
    """A disk whose writes end when the test calls `finish`."""

    ok = True

    def __init__(self) -> None:
        self.writes: list[defer.Deferred[None]] = []

    async def commit(self, _puts: list[tuple[bytes, bytes | None]]) -> None:
        done: defer.Deferred[None] = defer.Deferred()
        self.writes.append(done)
        await done

    def finish(self) -> None:
        """End all writes in progress."""
        writes, self.writes = self.writes, []
        for done in writes:
            done.callback(None)


class FixedConsensus:
    """View consensus with a view that the test sets. The tail holds the lease; by default the replica is synced."""

    required_copies = 2
    lease_has_ended = False

    def __init__(self, number: int, *ids: str) -> None:
        self.own_voter = types.SimpleNamespace(id="a")
        self.set_view(number, *ids)

    def set_view(self, number: int, *ids: str, synced: bool = True) -> None:
        self.view = message.View(number, [], [message.ChainReplica(i, "1") for i in ids])
        self.record = types.SimpleNamespace(view=self.view, synced_view=number if synced else number - 1)

    def is_serving(self, number: int) -> bool:
        return number == self.view.number

    def holds_lease(self) -> bool:
        return not self.lease_has_ended and bool(self.view.chain[-1].id == self.own_voter.id)

    async def mark_synced(self, number: int) -> None:
        self.record.synced_view = number


def entry(index: int, view: int, identifier: str) -> message.LogEntry:
    return message.LogEntry(index, view, "apply", identifier, 0, [("marks/operator", {"number": index})])


class TestReplica:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.disk = Disk()

    def replica(self, consensus: FixedConsensus, entries: Sequence[message.LogEntry] = ()) -> chain.Chain:
        state = {b"e%016d" % e.index: replicated_log.encode_entry(e) for e in entries}
        disk: Any = self.disk
        peers: Any = None  # this replica sends nothing to others
        stand_in: Any = consensus
        replica = chain.Chain(scheduler.Runtime(None, now=lambda: 0), disk, state, peers)
        replica.consensus = stand_in
        return replica

    def send(self, replica: chain.Chain, msg: chain.ChainRequest) -> Any:  # noqa: ANN401 - a Deferred of any answer
        return defer.ensureDeferred(replica.answer(msg))

    def test_a_new_tail_refuses_reads_until_its_entries_are_committed(self) -> None:
        consensus = FixedConsensus(4, "b", "a")
        replica = self.replica(consensus, [entry(1, 3, "c0-1-0a")])
        assert not self.send(replica, message.ReadRequest(4)).result.ok
        replica.tail.commit_synced(4)
        read = self.send(replica, message.ReadRequest(4, "c0-1-0a")).result
        assert (read.ok, read.version, read.accepted_version) == (True, 1, 1)
        consensus.set_view(5, "b", "a")
        assert not self.send(replica, message.ReadRequest(5)).result.ok

    def test_a_tail_refuses_reads_after_its_lease_has_ended(self) -> None:
        consensus = FixedConsensus(4, "b", "a")
        replica = self.replica(consensus)
        replica.tail.commit_synced(4)
        assert self.send(replica, message.ReadRequest(4)).result.ok
        consensus.lease_has_ended = True
        assert not self.send(replica, message.ReadRequest(4)).result.ok

    def test_a_tail_with_too_few_copies_refuses_reads_while_it_holds_uncommitted_entries(self) -> None:
        consensus = FixedConsensus(4, "a", "b")
        replica = self.replica(consensus)
        self.send(replica, message.ProposeChange(4, "apply", "c0-1-0a", 0, [("marks/operator", {"number": 1})]))
        self.disk.finish()
        consensus.set_view(5, "a")
        replica.tail.commit_synced(5)
        assert not self.send(replica, message.ReadRequest(5)).result.ok
        restarted = self.replica(FixedConsensus(4, "a"), [entry(1, 3, "c0-1-0a")])
        assert not self.send(restarted, message.ReadRequest(4)).result.ok
        restarted.tail.commit_synced(4)
        read = self.send(restarted, message.ReadRequest(4, "c0-1-0a")).result
        assert (read.ok, read.version, read.accepted_version) == (True, 1, 1)
        empty = self.replica(FixedConsensus(4, "a"))
        empty.tail.commit_synced(4)
        assert self.send(empty, message.ReadRequest(4)).result.ok

    def test_a_change_synced_after_its_view_ended_is_not_acknowledged_by_another_entry_at_its_index(self) -> None:
        consensus = FixedConsensus(4, "a", "b")
        replica = self.replica(consensus)
        proposed = self.send(
            replica, message.ProposeChange(4, "apply", "c0-1-0a", 0, [("marks/operator", {"number": 1})])
        )
        consensus.set_view(5, "b", "a", synced=False)
        position = self.send(replica, message.PositionRequest(5, "b"))
        assert not position.called
        self.disk.finish()
        assert proposed.result.code == "unknown_outcome"
        assert (position.result.index, position.result.view) == (1, 4)
        other = replicated_state.ReplicatedState().apply(entry(1, 5, "c0-1-0b"))
        caught_up = self.send(replica, message.CatchUp(5, snapshot_format.encode(other), []))
        self.disk.finish()
        assert caught_up.result.ok
        assert dict(replica.committed_state.accepted_changes) == {"c0-1-0b": 1}

    def test_a_change_replaced_by_a_snapshot_gets_an_unknown_outcome(self) -> None:
        consensus = FixedConsensus(4, "a", "b")
        replica = self.replica(consensus)
        proposed = self.send(replica, message.ProposeChange(4, "apply", "c0-1-0a", 0, []))
        self.disk.finish()
        assert not proposed.called
        consensus.set_view(5, "b", "a", synced=False)
        other = replicated_state.ReplicatedState().apply(entry(1, 5, "c0-1-0b"))
        self.send(replica, message.CatchUp(5, snapshot_format.encode(other), []))
        self.disk.finish()
        assert proposed.result.code == "unknown_outcome"
