"""View consensus on single machines: chain order, late snapshots, calls to voters, and departure."""

from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet import defer, task

from iriswheel.consensus import decisions, timing, view_consensus, view_formation
from iriswheel.replication import chain, replicated_state, snapshot_format
from iriswheel.runtime import scheduler
from iriswheel.transport import message
from tests import deferreds

SECOND = 1_000_000


def promised(identifier: str, synced_view: int, last_entry: tuple[int, int] = (0, 0)) -> message.Promise:
    """A promise of a voter whose copy has the given synced view and last entry."""
    return message.Promise(True, (1, "a"), None, None, identifier, "1", synced_view, True, last_entry)


def make_view(number: int, members: Sequence[str]) -> message.View:
    """A view in which all members vote, each in its first incarnation."""
    voters = [message.Voter(identifier, identifier, 1, "zone") for identifier in members]
    return message.View(number, voters, [message.ChainReplica(identifier, "1") for identifier in members])


class TestChainOrder:
    def test_the_newest_copy_leads_if_none_is_synced_in_the_latest_view(self) -> None:
        answers = {"b": promised("b", 3, (3, 6)), "c": promised("c", 3, (3, 7))}
        members = view_formation.next_chain(make_view(4, "abc"), answers, {"b": "1", "c": "1"})
        assert members is not None
        assert [member.id for member in members] == ["c", "b"]

    def test_newcomers_without_a_synced_copy_form_no_chain(self) -> None:
        answers = {"b2": promised("b2", 0), "c2": promised("c2", 0)}
        old = make_view(4, ["a", "b2", "c2"])
        assert view_formation.next_view(old, answers, old.voters, {"b2": "1", "c2": "1"}, {}) is None

    def test_a_leaving_machine_heads_the_chain_only_if_no_other_copy_is_synced(self) -> None:
        old = make_view(4, "abc")
        alive, leaving = {"b": "1", "c": "1"}, {"a": "1"}
        answers = {"a": promised("a", 4), "b": promised("b", 3)}
        agreed = view_formation.next_view(old, answers, old.voters, alive, leaving)
        assert agreed is not None
        assert [member.id for member in agreed.chain] == ["a", "b"]
        answers["b"] = promised("b", 4)
        agreed = view_formation.next_view(old, answers, old.voters, alive, leaving)
        assert agreed is not None
        assert [member.id for member in agreed.chain] == ["b"]


class Disk:
    """A disk on which every write succeeds."""

    ok = True

    async def commit(self, puts: list[tuple[bytes, bytes]]) -> None:
        """Return at once, as if the pairs were synced."""


class TestLateSnapshots:
    def test_a_delayed_older_snapshot_does_not_undo_acknowledged_entries(self) -> None:
        clock = task.Clock()
        runtime = scheduler.Runtime(clock, now=lambda: int(clock.seconds() * SECOND), seed=1)
        members = [message.ChainReplica("a", "1"), message.ChainReplica("b", runtime.incarnation)]
        agreed = message.View(4, make_view(4, "ab").voters, members)
        disk: Any = Disk()
        peers: Any = None  # nothing is sent
        replica = chain.Chain(runtime, disk, {}, peers)
        replica.consensus = view_consensus.ViewConsensus(
            runtime,
            disk,
            decisions.Record(agreed),
            agreed.voters[1],
            seeds=[],
            peers=peers,
            on_view=lambda _agreed: None,
        )
        snapshot = snapshot_format.encode(replicated_state.ReplicatedState())

        def take(entries: list[message.LogEntry], snapshot: bytes | None) -> message.AppendResponse:
            refill = message.CatchUp(4, snapshot, entries)
            response = deferreds.result_of(defer.ensureDeferred(replica.answer(refill)))
            assert isinstance(response, message.AppendResponse)
            return response

        entries = [message.LogEntry(n, 4, "plan", f"0-{n}", 0, []) for n in (1, 2)]
        assert take(entries[:1], snapshot).ok
        assert take(entries, None).ok
        # both entries are committed at once, since this replica is the tail
        assert (replica.log.last_index, replica.committed_state.index) == (2, 2)
        assert not take(entries[:1], snapshot).ok
        assert (replica.log.last_index, replica.committed_state.index) == (2, 2)


class Peers:
    """Calls to peers of which some answer at once, and the others never answer."""

    def __init__(self, answers: dict[str, Any]) -> None:
        self.answers = answers  # answer by host; other hosts never answer

    async def call(
        self, host: str, _port: int, _message: message.Prepare | message.LeaseRequest, _timeout_us: int
    ) -> object:
        """Return the answer of a peer, or wait without end."""
        if host not in self.answers:
            await defer.Deferred()
        return self.answers[host]


class TestCallsToAMajority:
    def make_consensus(self, answers: dict[str, Any]) -> tuple[task.Clock, view_consensus.ViewConsensus]:
        clock = task.Clock()
        runtime = scheduler.Runtime(clock, now=lambda: int(clock.seconds() * SECOND), seed=1)
        agreed = make_view(4, "bca")
        agreed = message.View(4, agreed.voters, [*agreed.chain[:2], message.ChainReplica("a", runtime.incarnation)])
        record = decisions.Record(agreed, synced_view=4)
        disk: Any = Disk()
        peers: Any = Peers(answers)
        consensus = view_consensus.ViewConsensus(
            runtime, disk, record, agreed.voters[2], seeds=[], peers=peers, on_view=lambda _agreed: None
        )
        for identifier in "bc":
            consensus.receive_heartbeat(message.Heartbeat(identifier, "1", "zone", identifier, 1, agreed, 4, True))
        return clock, consensus

    def test_the_tail_holds_its_lease_as_soon_as_a_majority_has_granted_it(self) -> None:
        _, consensus = self.make_consensus({"b": message.LeaseResponse(True, None)})
        consensus.runtime.spawn(consensus.renew_lease())
        assert consensus.holds_lease()

    def test_a_restarted_voter_promises_once_it_sees_that_the_tail_has_restarted(self) -> None:
        _, consensus = self.make_consensus({})
        agreed = make_view(4, "bca")  # its tail is this machine in an earlier incarnation
        consensus.acceptor.record = decisions.Record(agreed, synced_view=4)
        prepare = message.Prepare(5, (1, "b"), "b")
        answer = deferreds.result_of(defer.ensureDeferred(consensus.acceptor.promise(prepare)))
        assert answer.ok
        other_tail = message.View(4, agreed.voters, [*agreed.chain[1:], agreed.chain[0]])
        # the tail "b" is not known to have restarted, so its lease may still run
        consensus.acceptor.record = decisions.Record(other_tail, synced_view=4)
        prepare = message.Prepare(5, (1, "c"), "c")
        answer = deferreds.result_of(defer.ensureDeferred(consensus.acceptor.promise(prepare)))
        assert not answer.ok
        consensus.receive_heartbeat(message.Heartbeat("b", "2", "zone", "b", 1, other_tail, 4, True))
        answer = deferreds.result_of(defer.ensureDeferred(consensus.acceptor.promise(prepare)))
        assert answer.ok

    def test_a_copy_is_synced_and_gets_the_read_lease_only_once_the_record_is_on_disk(self) -> None:
        _, consensus = self.make_consensus({"b": message.LeaseResponse(True, None)})
        written: defer.Deferred[None] = defer.Deferred()

        async def commit(_puts: list[tuple[bytes, bytes]]) -> None:
            await written

        disk: Any = SimpleNamespace(ok=True, commit=commit)
        consensus.acceptor.disk = disk
        consensus.acceptor.record = decisions.Record(consensus.view, synced_view=3)
        consensus.runtime.spawn(consensus.renew_lease())
        defer.ensureDeferred(consensus.mark_synced(4))
        assert (consensus.acceptor.is_synced(), consensus.holds_lease()) == (False, False)
        written.callback(None)
        assert (consensus.acceptor.is_synced(), consensus.holds_lease()) == (True, True)

    def test_a_view_repeated_by_heartbeats_during_a_disk_stall_is_written_once(self) -> None:
        _, consensus = self.make_consensus({})
        stalled: defer.Deferred[None] = defer.Deferred()
        writes: list[object] = []

        async def commit(puts: list[tuple[bytes, bytes]]) -> None:
            writes.append(puts)
            if len(writes) == 1:
                await stalled

        disk: Any = SimpleNamespace(ok=True, commit=commit)
        consensus.acceptor.disk = disk
        consensus.acceptor.record = decisions.Record(consensus.view, synced_view=3)
        defer.ensureDeferred(consensus.mark_synced(4))  # holds the acceptor's lock until the first write ends
        newer = make_view(5, "abc")
        for _ in range(2_000):  # heartbeats during a stall of some minutes; each of them carries the view
            consensus.receive_heartbeat(message.Heartbeat("b", "1", "zone", "b", 1, newer, 5, True))
        stalled.callback(None)
        assert consensus.view == newer
        assert len(writes) == 2

    def test_a_proposal_uses_a_short_timeout_for_dead_machines(self) -> None:
        clock, consensus = self.make_consensus({"b": promised("b", 4)})
        clock.advance(2)  # grants from before the start have expired, and the heartbeats are too old
        consensus.receive_heartbeat(message.Heartbeat("b", "1", "zone", "b", 1, consensus.view, 4, True))
        prepare = message.Prepare(5, (1, "a"), "a")
        assert consensus.view is not None
        answers = defer.ensureDeferred(consensus.calls.call_all(consensus.view.voters, prepare, timing.CALL_TIMEOUT_US))
        clock.advance(timing.DEAD_PEER_CALL_TIMEOUT_US / SECOND)
        assert {identifier for identifier, answer in deferreds.result_of(answers).items() if answer is not None} == {
            "a",
            "b",
        }


class TestLeavingMember:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.clock = task.Clock()
        runtime = scheduler.Runtime(self.clock, now=lambda: int(self.clock.seconds() * SECOND), seed=1)
        agreed = make_view(4, "abc")
        agreed = message.View(4, agreed.voters, [message.ChainReplica("a", runtime.incarnation), *agreed.chain[1:]])
        record = decisions.Record(agreed, synced_view=4)
        disk: Any = Disk()
        peers: Any = None  # nothing is sent
        self.consensus = view_consensus.ViewConsensus(
            runtime, disk, record, agreed.voters[0], seeds=[], peers=peers, on_view=lambda _agreed: None
        )
        self.consensus.announce_departure()

    def is_view_change_due(self) -> bool:
        """Whether the leaving machine should propose a view now."""
        assert self.consensus.view is not None
        return self.consensus.view_change.is_due(self.consensus.view)

    def receive_heartbeats(self, synced_view: int) -> None:
        """Receive a heartbeat from each other machine, synced in the given view."""
        for identifier in "bc":
            self.consensus.receive_heartbeat(
                message.Heartbeat(identifier, "1", "zone", identifier, 1, self.consensus.view, synced_view, True)
            )

    def test_the_only_synced_copy_stays_until_another_is_synced(self) -> None:
        self.receive_heartbeats(synced_view=3)
        assert self.consensus.holds_only_copy()
        self.is_view_change_due()
        self.clock.advance(2)
        self.receive_heartbeats(synced_view=3)
        assert not self.is_view_change_due()
        self.receive_heartbeats(synced_view=4)
        assert not self.consensus.holds_only_copy()
        self.is_view_change_due()
        self.clock.advance(2)
        self.receive_heartbeats(synced_view=4)
        assert self.is_view_change_due()

    def test_the_last_live_machine_may_stop_without_a_successor(self) -> None:
        self.receive_heartbeats(synced_view=3)
        self.clock.advance(2)
        assert not self.consensus.holds_only_copy()
