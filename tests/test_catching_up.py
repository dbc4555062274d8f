"""Catch-up of replicas that are behind, divergent or restarted; none may hold the tail's lease before it is synced."""

import functools
import hashlib
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
import pytest
from twisted.internet import defer

from iriswheel.consensus import decisions, view_consensus
from iriswheel.replication import chain, replicated_log, replicated_state, snapshot_format, stored_entries
from iriswheel.runtime import storage, units
from iriswheel.transport import message, wire
from simulation import disk_model, host_model, process_model, server_model, simulated_cluster, world
from tests import deferreds

ChainMessage = Any  # a request to a replica or its answer; the type depends on the call
Proposal = defer.Deferred[Any]  # fires with the head's answer
SECOND = units.SECOND_US
SLOW_SYNC_US = 150_000
ROUTES = 1_400
NO_PEERS: Any = None  # for a part that sends nothing
NO_DISK: Any = None  # for a log that writes nothing


def entry(
    index: int, view: int, changes: Sequence[tuple[str, dict[str, Any]]] = (), base: int | None = None
) -> message.LogEntry:
    """A log entry that applies a change; by default it is based on the entry before it."""
    return message.LogEntry(index, view, "apply", f"{index}-{view}", index - 1 if base is None else base, list(changes))


def has_result(proposal: Proposal) -> bool:
    """Whether the head has answered a proposal."""
    return proposal.called


def error_code_of(proposal: Proposal) -> str:
    """The error code in the head's answer to a proposal; empty if the change was accepted."""
    answer: message.ProposeChangeResponse = deferreds.result_of(proposal)
    return answer.code


def large_change(index: int, view: int = 1, pool: str = "p") -> message.LogEntry:
    """A log entry that adds many routes with labels that hardly compress."""
    text = [hashlib.sha256(b"%d" % k).hexdigest() * 8 for k in range(ROUTES)]
    return entry(
        index,
        view,
        [(f"routes/r{k}", {"path": f"/r/{k}", "pool": pool, "label": {"note": text[k]}}) for k in range(ROUTES)],
    )


class Network:
    """Delivers messages between members without connections; `fate_of` decides whether one or its answer is lost."""

    def __init__(self, world: world.World) -> None:
        self.world = world
        self.members: dict[str, Member] = {}
        self.sent: list[message.Message] = []  # all sent requests, in order
        self.fate_of = lambda _message: "pass"

    async def call(self, host: str, _port: int, msg: ChainMessage, us: int) -> ChainMessage:
        self.sent.append(msg)
        fate = self.fate_of(msg)
        runtime = self.members["head"].runtime
        await runtime.sleep(2 * units.MILLISECOND_US)
        if fate == "lose":
            await runtime.sleep(us)
            raise wire.ConnectionBrokenError(sent=True)
        answer = await runtime.within(defer.ensureDeferred(self.members[host].chain.answer(msg)), us)
        if fate == "lose answer":
            await runtime.sleep(us)
            raise wire.ConnectionBrokenError(sent=True)
        return answer


class Member:
    """One member of a chain of two, with its disk."""

    def __init__(self, network: Network, name: str, entries: Sequence[message.LogEntry] = (), copies: int = 2) -> None:
        self.network, self.name, self.copies = network, name, copies
        self.host = host_model.Host(network.world, name, "a")
        for log_entry in entries:
            self.host.synced[b"e%016d" % log_entry.index] = replicated_log.encode_entry(log_entry)
        self.start()

    def start(self) -> None:
        """Start a new incarnation on the existing disk."""
        self.process = process_model.SimulatedProcess(self.network.world, self.name, self.host)
        self.runtime = self.process.runtime()
        disk = disk_model.Disk(self.process)
        state = disk.read()
        guard = storage.MonitoredDisk(self.runtime, disk)
        raw = state.get(b"council")
        record = msgspec.msgpack.decode(raw, type=decisions.Record) if raw else decisions.Record()
        self.chain = chain.Chain(self.runtime, guard, state, self.network)
        voter = message.Voter(self.name, self.name, 1, "a")
        self.consensus = view_consensus.ViewConsensus(
            self.runtime, guard, record, voter, seeds=[], peers=NO_PEERS, on_view=lambda _v: None, copies=self.copies
        )
        self.chain.consensus = self.consensus
        self.network.members[self.name] = self

    def install(self, number: int, order: list[str], synced_view: int | None = None) -> None:
        """Install a view on this member; the first member in `order` is the head and counts as synced."""
        members = [self.network.members[i] for i in order]
        voters = [message.Voter(member.name, member.name, 1, "a") for member in members]
        connections = [message.ChainReplica(member.name, member.runtime.incarnation) for member in members]
        synced_before = self.consensus.record.synced_view
        synced_view = number if order[0] == self.name else synced_view or synced_before
        view = message.View(number, voters, connections)
        self.consensus.acceptor.record = decisions.Record(view, synced_view=synced_view)
        self.chain.install(view)


class TestChainOfTwo:
    """Replication between a head and a tail."""

    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.world = world.World(1)
        self.network = Network(self.world)

    def pair(self, head: Sequence[message.LogEntry], tail: Sequence[message.LogEntry]) -> tuple[Member, Member]:
        return Member(self.network, "head", head), Member(self.network, "tail", tail)

    def install(self, number: int, *members: Member) -> None:
        for member in reversed(members):
            member.install(number, [other.name for other in members])

    def advance(self, seconds: float) -> None:
        self.world.run(self.world.time + int(seconds * SECOND))

    def advance_until(self, condition: Callable[[], bool], seconds: float) -> float:
        started_at = self.world.time
        while not condition() and self.world.time < started_at + seconds * SECOND:
            self.advance(0.01)
        assert condition()
        return (self.world.time - started_at) / SECOND

    def assert_equal_logs(self, one: Member, other: Member) -> None:
        assert (other.chain.log.last_index, other.chain.latest_state.view) == (
            one.chain.log.last_index,
            one.chain.latest_state.view,
        )
        assert other.chain.latest_state.items == one.chain.latest_state.items
        state = disk_model.Disk(other.process).read()
        reread = chain.Chain(other.runtime, NO_DISK, state, NO_PEERS)
        assert (reread.latest_state.index, reread.latest_state.items) == (
            one.chain.latest_state.index,
            one.chain.latest_state.items,
        )

    def route(self, name: str) -> list[tuple[str, dict[str, str]]]:
        return [(f"routes/{name}", {"path": "/", "pool": "p"})]

    # ---- divergent and outdated logs ----------------------------------------------------------

    def test_unacknowledged_entries_are_replaced_by_those_of_a_newer_view(self) -> None:
        shared = [entry(k, 1) for k in (1, 2, 3)]
        for ours, theirs in ((1, 1), (1, 3), (3, 1), (2, 2)):
            head, tail = self.pair(
                shared + [entry(k, 3, self.route(f"new{k}")) for k in range(4, 4 + ours)],
                shared + [entry(k, 2, self.route(f"old{k}")) for k in range(4, 4 + theirs)],
            )
            self.install(4, head, tail)
            self.advance_until(tail.chain.is_synced, 5)
            self.assert_equal_logs(head, tail)

    def test_a_late_write_of_an_older_view_does_not_displace_entries_of_a_newer_view(self) -> None:
        shared = [entry(1, 1)]
        head, tail = self.pair(shared, shared)
        self.install(2, head, tail)
        self.advance_until(tail.chain.is_synced, 5)
        tail.host.disk_condition = "slow"
        stale = message.AppendRequest(2, [entry(2, 2, self.route("old"))])  # sent by a head that has since failed
        tail.runtime.spawn(tail.chain.answer(stale))
        self.advance(0.05)
        self.install(3, head, tail)
        proposed = head.runtime.spawn(
            head.chain.answer(
                message.ProposeChange(3, "apply", "x", head.chain.latest_state.version, self.route("new"))
            )
        )
        self.advance_until(lambda: proposed.called, 10)
        assert error_code_of(proposed) == ""
        self.assert_equal_logs(head, tail)
        assert "routes/new" in tail.chain.committed_state.items

    def test_a_late_snapshot_removes_no_entries_from_a_synced_replica(self) -> None:
        head, tail = self.pair([entry(k, 1) for k in range(1, 9)], [])
        self.install(2, head, tail)
        self.advance_until(tail.chain.is_synced, 5)
        late = message.CatchUp(
            2, snapshot_format.encode(replicated_state.ReplicatedState().apply(entry(1, 1))), [entry(2, 1)]
        )
        done = tail.runtime.spawn(tail.chain.answer(late))
        self.advance_until(lambda: done.called, 5)
        assert tail.chain.log.last_index == 8
        self.assert_equal_logs(head, tail)

    def test_a_snapshot_that_the_disk_refuses_leaves_the_old_log_unchanged(self) -> None:
        head, tail = self.pair([entry(1, 3)], [entry(k, 2) for k in (1, 2)])
        tail.host.disk_condition = "full"
        self.install(4, head, tail)
        self.advance(1)
        assert (tail.chain.log.last_index, tail.chain.latest_state.index, tail.chain.is_synced()) == (2, 2, False)
        assert set(tail.chain.log.entries) == {1, 2}
        tail.host.disk_condition = "ok"
        self.advance_until(tail.chain.is_synced, 5)
        self.assert_equal_logs(head, tail)

    def test_a_restarted_member_alone_in_the_chain_commits_all_entries_on_its_disk(self) -> None:
        head = Member(self.network, "head", [entry(k, 1, self.route(f"r{k}")) for k in range(1, 301)])
        self.install(2, head)
        self.advance(0.1)
        assert (head.chain.committed_state.index, len(head.chain.committed_state.items)) == (300, 300)

    # ---- snapshots in chunks ------------------------------------------------------------------

    def large_pair(self) -> tuple[Member, Member]:
        head, tail = self.pair([large_change(1)], [])
        head.chain.commit(1)
        head.chain.log.entries = stored_entries.StoredEntries()  # as after compaction
        return head, tail

    def encoded_size(self, msg: ChainMessage) -> int:
        return len(wire.encoder.encode(wire.Envelope(wire.FrameKind.CALL, 1, msg)))

    def test_catch_up_messages_have_a_bounded_size(self) -> None:
        head, tail = self.large_pair()
        for k in range(2, 9):
            added = entry(k, 1, [("routes/big", {"path": "/", "pool": "p", "label": {"note": "x" * 400_000}})])
            head.chain.log.entries.add(stored_entries.StoredEntry.of(added))
            head.chain.log.latest_state = head.chain.latest_state.apply(added)
        self.install(2, head, tail)
        self.advance_until(tail.chain.is_synced, 10)
        self.assert_equal_logs(head, tail)
        assert max(self.encoded_size(msg) for msg in self.network.sent) < 1_200_000

    def test_a_snapshot_transfer_resumes_after_lost_chunks_and_answers(self) -> None:
        head, tail = self.large_pair()
        calls = []

        def fate_of(msg: message.Message) -> str:
            calls.append(msg)
            return "lose" if len(calls) % 3 == 0 else "lose answer" if len(calls) % 7 == 0 else "pass"

        self.network.fate_of = fate_of
        self.install(2, head, tail)
        self.advance_until(tail.chain.is_synced, 60)
        self.assert_equal_logs(head, tail)
        total = len(snapshot_format.encode(head.chain.committed_state))
        chunks = [msg for msg in calls if isinstance(msg, message.SnapshotChunk)]
        assert total > 700_000
        assert sum(len(chunk.content) for chunk in chunks) < 2.5 * total  # only lost chunks are sent again
        assert sorted(chunk.offset for chunk in chunks) == [chunk.offset for chunk in chunks]

    def test_a_snapshot_transfer_resumes_in_a_later_view_after_further_changes(self) -> None:
        head, tail = self.large_pair()
        third = Member(self.network, "third", [])
        self.network.fate_of = lambda msg: (
            "lose" if isinstance(msg, message.SnapshotChunk) and msg.offset > 300_000 else "pass"
        )
        self.install(2, head, tail)
        self.advance(3)
        assert len(tail.chain.receiver.incoming.content) > 200_000
        self.network.fate_of = lambda _message: "pass"
        third.host.synced.update(head.host.synced)
        self.install(3, head, third)  # the tail of the previous view is cut off
        self.advance_until(third.chain.is_synced, 10)
        for k in range(5):
            msg = message.ProposeChange(3, "apply", f"x{k}", head.chain.latest_state.version, self.route(f"x{k}"))
            done = head.runtime.spawn(head.chain.answer(msg))
            self.advance_until(functools.partial(has_result, done), 5)
            assert error_code_of(done) == ""
        del self.network.sent[:]
        self.install(4, head, tail)
        self.advance_until(tail.chain.is_synced, 10)
        self.assert_equal_logs(head, tail)
        offsets = [msg.offset for msg in self.network.sent if isinstance(msg, message.SnapshotChunk)]
        assert min(offsets) > 200_000

    def test_a_member_that_loses_power_during_a_transfer_keeps_its_old_log_and_receives_a_new_transfer(self) -> None:
        head, tail = self.large_pair()
        tail.host.synced.update(
            {b"e%016d" % k: replicated_log.encode_entry(entry(k, 7, self.route(f"old{k}"))) for k in (1, 2)}
        )
        tail.start()
        self.network.fate_of = lambda msg: "lose" if isinstance(msg, message.CatchUp) else "pass"
        self.install(8, head, tail)
        self.advance_until(lambda: tail.chain.receiver.incoming.complete, 5)
        tail.host.fail()
        self.advance(1)
        tail.host.power = True
        tail.start()
        assert (tail.chain.log.last_index, tail.chain.latest_state.view) == (2, 7)
        self.network.fate_of = lambda _message: "pass"
        self.install(9, head, tail)
        self.advance_until(tail.chain.is_synced, 10)
        self.assert_equal_logs(head, tail)

    def test_a_snapshot_with_a_corrupted_chunk_is_sent_again(self) -> None:
        head, tail = self.large_pair()
        corrupted: list[message.SnapshotChunk] = []

        def fate_of(msg: message.Message) -> str:
            if isinstance(msg, message.SnapshotChunk) and not corrupted:
                corrupted.append(msg)
                tail.chain.receiver.incoming.add_chunk(
                    message.SnapshotChunk(msg.view, msg.snapshot, msg.total, 0, bytes(len(msg.content)))
                )
            return "pass"

        self.network.fate_of = fate_of
        self.install(2, head, tail)
        self.advance_until(tail.chain.is_synced, 10)
        self.assert_equal_logs(head, tail)

    def test_a_member_that_does_not_accept_chunks_gets_a_single_message(self, monkeypatch: pytest.MonkeyPatch) -> None:
        head, tail = self.large_pair()
        answer = tail.chain.answer

        async def answer_without_chunks(msg: ChainMessage) -> ChainMessage:
            got = await answer(msg)
            return (
                message.PositionResponse(got.ok, got.index, got.view)
                if isinstance(got, message.PositionResponse)
                else got
            )

        monkeypatch.setattr(tail.chain, "answer", answer_without_chunks)
        self.install(2, head, tail)
        self.advance_until(tail.chain.is_synced, 10)
        self.assert_equal_logs(head, tail)


class TestFleetUnderChanges:
    """A small simulated fleet to which changes are proposed continuously."""

    CHANGES_WHILE_DOWN = 1_000

    def head(self, cluster: simulated_cluster.SimulatedCluster) -> server_model.SimulatedCore:
        """The head of the chain; fails if there is none."""
        head = cluster.head()
        assert head is not None
        return head

    def view(self, core: server_model.SimulatedCore) -> message.View:
        """The newest view that a core machine knows; fails if there is none."""
        view = core.consensus.view
        assert view is not None
        return view

    def has_chain_of(self, cluster: simulated_cluster.SimulatedCluster, length: int) -> bool:
        """Whether a tail that holds its lease knows a chain of the given length."""
        tail = cluster.tail()
        return tail is not None and len(self.view(tail).chain) == length

    def propose(self, cluster: simulated_cluster.SimulatedCluster, k: int) -> Proposal | None:
        head = cluster.head()
        if head is None or not head.chain.is_synced():
            return None
        change = [(f"routes/s{k % 50}", {"path": f"/s/{k}", "pool": "desk"})]
        msg = message.ProposeChange(
            self.view(head).number, "apply", f"s{k}-{cluster.world.time}", head.chain.latest_state.version, change
        )
        return head.runtime.spawn(head.chain.answer(msg))

    def cluster_with_stale_member(self) -> tuple[simulated_cluster.SimulatedCluster, str]:
        """A fleet with one core machine down while many changes are committed, and the name of that machine."""
        cluster = simulated_cluster.SimulatedCluster(3, "small", long_rate=0, short_rate=0, conversations=0)
        cluster.probing = False
        cluster.begin()
        cluster.advance(1)
        for node in cluster.nodes.values():  # nodes are not needed here and slow the simulation down
            node.process.kill()
        tail = cluster.tail()
        assert tail is not None
        name = tail.options.name
        cluster.cores[name].process.host.fail()
        assert cluster.advance_until(lambda: self.has_chain_of(cluster, 2), 10)
        head = self.head(cluster)
        many = large_change(head.chain.latest_state.index + 1, pool="desk").changes
        msg = message.ProposeChange(self.view(head).number, "apply", "many", head.chain.latest_state.version, many)
        done = head.runtime.spawn(head.chain.answer(msg))
        assert cluster.advance_until(lambda: done.called, 10)
        for k in range(self.CHANGES_WHILE_DOWN):
            proposal = self.propose(cluster, k)
            assert proposal is not None
            while not has_result(proposal):
                cluster.advance(0.005)
            assert error_code_of(proposal) == ""
        return cluster, name

    def catch_up(self, cluster: simulated_cluster.SimulatedCluster, name: str) -> tuple[float, float]:
        """Start the member; returns the seconds until it is synced, and the longest time without an accepted change."""
        cluster.start_core(name, *cluster.places[name])
        restarted, started_at = cluster.cores[name], cluster.world.time
        proposed: list[Proposal] = []
        accepted_count, last_accepted_at, longest_gap = 0, started_at, 0
        caught_up: int | None = None
        while cluster.world.time - started_at < 4 * SECOND or caught_up is None:
            assert cluster.world.time - started_at < 40 * SECOND
            proposal = self.propose(cluster, len(proposed))
            proposed += [proposal] if proposal is not None else []
            for _ in range(15):
                cluster.advance(0.01)
                assert not (restarted.consensus.holds_lease() and not restarted.chain.is_synced())
                if caught_up is None and restarted.chain.is_synced():
                    caught_up = cluster.world.time - started_at
            done = [proposal for proposal in proposed if has_result(proposal) and error_code_of(proposal) == ""]
            if len(done) > accepted_count:
                accepted_count, last_accepted_at = len(done), cluster.world.time
            longest_gap = max(longest_gap, cluster.world.time - last_accepted_at)
        # The number of changes in progress depends on when the last ones were proposed. All of them must be committed
        # within the time that four writes take on the slow disk.
        newest = self.head(cluster).chain.latest_state.index
        assert cluster.advance_until(lambda: restarted.chain.committed_state.index >= newest, 4 * SLOW_SYNC_US / SECOND)
        return caught_up / SECOND, longest_gap / SECOND

    def test_a_member_catches_up_after_a_thousand_changes_and_again_with_an_empty_disk(self) -> None:
        cluster, name = self.cluster_with_stale_member()
        caught_up, longest_gap = self.catch_up(cluster, name)
        assert caught_up < 2
        assert longest_gap < 1
        host = cluster.cores[name].process.host
        host.fail()
        host.synced.clear()
        cluster.advance(3)
        host.disk_condition, host.slow_disk_delay_us = "slow", SLOW_SYNC_US
        cluster.world.loss_share[host.address] = 0.05
        caught_up, longest_gap = self.catch_up(cluster, name)
        assert caught_up < 4
        assert longest_gap < 3
