"""The replicated counters without I/O: interval sets, merging, requests to peers, and the durability rule."""

import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

from iriswheel.replicated_counters import add_log, counter_state, durability, intervals, peer_replica
from iriswheel.runtime import units
from iriswheel.transport import message
from tests import fuzzing

Entry = tuple[str, message.CounterAdd]  # origin and add

NUMBERS = strategies.sets(strategies.integers(1, 60))
KEYS = strategies.tuples(strategies.sampled_from("abc"), strategies.integers(1, 6))
VALUES = strategies.tuples(strategies.sampled_from("mn"), strategies.sampled_from("xyz"), strategies.integers(-3, 9))


def interval_set(numbers: set[int]) -> intervals.IntervalSet:
    found = intervals.IntervalSet()
    for number in numbers:
        found.add(number)
    return found


def entries_of(values: dict[tuple[str, int], tuple[str, str, int]]) -> list[Entry]:
    """Build the adds of a run, one for each origin and sequence number."""
    return [(origin, message.CounterAdd(sequence, *value)) for (origin, sequence), value in values.items()]


ENTRIES = strategies.dictionaries(KEYS, VALUES, max_size=12).map(entries_of)


def state_of(entries: list[Entry]) -> counter_state.CounterState:
    state = counter_state.CounterState()
    for origin, add in entries:
        state.insert(origin, add)
    return state


def merged(*states: counter_state.CounterState) -> counter_state.CounterState:
    out = counter_state.CounterState()
    for state in states:
        out.merge(state)
    return out


def view(state: counter_state.CounterState) -> tuple[message.HeldIntervals, dict[str, int]]:
    return state.held.to_intervals(), state.sums()


class TestIntervals:
    @fuzzing.QUICK
    @hypothesis.given(NUMBERS, NUMBERS)
    def test_interval_sets_behave_like_plain_sets(self, some: set[int], others: set[int]) -> None:
        one, other = interval_set(some), interval_set(others)
        assert [number in one for number in range(62)] == [number in some for number in range(62)]
        assert list(one.newest_first()) == sorted(some, reverse=True)
        assert list(one.difference(other).newest_first()) == sorted(some - others, reverse=True)
        assert one.issubset(other) == some.issubset(others)
        assert len(one) == len(some)
        one.update(other)
        assert one == interval_set(some | others)

    @fuzzing.QUICK
    @hypothesis.given(NUMBERS)
    def test_intervals_are_sorted_disjoint_and_not_adjacent(self, numbers: set[int]) -> None:
        found = interval_set(numbers).intervals
        assert all(first <= last for first, last in found)
        assert all(one[1] + 1 < other[0] for one, other in itertools.pairwise(found))


class TestMerge:
    """Replicas that hold different parts of the same drawn entries, and the merges of these replicas."""

    @fuzzing.QUICK
    @hypothesis.given(ENTRIES, strategies.randoms())
    def test_replicas_agree_for_any_order_and_repetition_of_adds(
        self, entries: list[Entry], generator: random.Random
    ) -> None:
        shuffled = entries + generator.sample(entries, len(entries) // 2)
        generator.shuffle(shuffled)
        assert view(state_of(shuffled)) == view(state_of(entries))

    @fuzzing.QUICK
    @hypothesis.given(ENTRIES, strategies.data())
    def test_merging_is_commutative_associative_and_idempotent(
        self, entries: list[Entry], data: strategies.DataObject
    ) -> None:
        parts = [state_of([entry for entry in entries if data.draw(strategies.booleans())]) for _ in range(3)]
        one, other, third = parts
        assert view(merged(one, other)) == view(merged(other, one))
        assert view(merged(merged(one, other), third)) == view(merged(one, merged(other, third)))
        assert view(merged(one, one)) == view(one)
        assert view(merged(merged(one, other), other)) == view(merged(one, other))

    @fuzzing.QUICK
    @hypothesis.given(ENTRIES)
    def test_a_sum_counts_the_least_add_of_each_caller_id(self, entries: list[Entry]) -> None:
        least: dict[tuple[str, str], Entry] = {}
        for entry in sorted(entries, key=lambda entry: (entry[0], entry[1].sequence)):
            least.setdefault((entry[1].name, entry[1].id), entry)
        state = state_of(entries)
        for name in "mn":
            assert state.sum_of(name) == sum(add.amount for _, add in least.values() if add.name == name)

    def test_one_caller_id_counts_once_in_each_counter(self) -> None:
        state = state_of(
            [
                ("b", message.CounterAdd(1, "n", "x", 5)),
                ("a", message.CounterAdd(9, "n", "x", 4)),
                ("a", message.CounterAdd(10, "m", "x", 1)),
            ]
        )
        assert state.sums() == {"n": 4, "m": 1}

    @fuzzing.QUICK
    @hypothesis.given(ENTRIES)
    def test_adds_are_loaded_from_the_disk_as_they_were_stored(self, entries: list[Entry]) -> None:
        disk = {
            add_log.storage_key(counter_state.AddId(origin, add.sequence)): add_log.encode_add(add)
            for origin, add in entries
        }
        assert view(add_log.load({**disk, b"identity": b"c0ffee"})) == view(state_of(entries))

    @fuzzing.QUICK
    @hypothesis.given(ENTRIES, ENTRIES)
    def test_digests_are_equal_exactly_for_equal_sets_of_adds(self, entries: list[Entry], others: list[Entry]) -> None:
        one, other = state_of(entries).held, state_of(others).held
        assert (one.digest() == other.digest()) == (one == other)


class TestPeerReplica:
    """The requests sent to another machine, depending on its answers."""

    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.state = counter_state.CounterState()
        self.replica = peer_replica.PeerReplica(("10.0.0.2", 1))

    def accept(self, count: int, origin: str = "own") -> None:
        for _ in range(count):
            sequence = len(self.state.held.of_origin(origin)) + 1
            self.state.insert(origin, message.CounterAdd(sequence, "n", f"{origin}{sequence}", 1))

    def request(self, now: int = 1) -> message.ReplicateAdds | None:
        return self.replica.next_request(self.state, "own", now)

    def answer(self, held: message.HeldIntervals, sender: str = "other", complete: bool = True, now: int = 1) -> None:
        response = message.ReplicateAddsResponse(sender, True, complete, held=held)
        self.replica.apply_response(response, self.state.held, {"live"}, now)

    def sequences(self, now: int = 1) -> dict[str, list[int]]:
        request = self.request(now)
        assert request is not None
        return {batch.origin: [add.sequence for add in batch.adds] for batch in request.batches}

    def test_a_digest_is_sent_first_and_then_the_missing_adds_newest_first(self) -> None:
        self.accept(5)
        first = self.request()
        assert first is not None
        assert (first.batches, first.digest) == ([], self.state.held.digest())
        self.answer({"own": [(1, 1), (4, 4)]})
        assert self.sequences() == {"own": [5, 3, 2]}

    def test_a_request_holds_a_bounded_number_of_adds(self) -> None:
        self.accept(peer_replica.BATCH_ADDS + 10)
        self.request()
        self.answer({})
        assert len(self.sequences()["own"]) == peer_replica.BATCH_ADDS
        self.answer({"own": [(11, peer_replica.BATCH_ADDS + 10)]}, complete=False)
        assert self.sequences()["own"] == list(range(10, 0, -1))

    def test_no_request_is_sent_between_comparisons_if_no_add_is_missing(self) -> None:
        self.accept(3)
        self.request()
        self.answer({"own": [(1, 3)]})
        assert self.request() is None
        due = self.request(2 + peer_replica.COMPARE_INTERVAL_US)
        assert due is not None
        assert due.digest

    def test_adds_received_but_not_yet_synced_by_the_peer_are_not_sent_again(self) -> None:
        self.accept(2)
        self.request()
        self.answer({})
        assert self.sequences() == {"own": [2, 1]}
        self.answer({}, complete=False)
        assert self.request() is None
        again = self.request(2 + peer_replica.UNSYNCED_COMPARE_INTERVAL_US)
        assert again is not None
        assert (again.batches, again.digest) == ([], self.state.held.digest())

    def test_adds_of_other_origins_are_sent_only_after_a_comparison(self) -> None:
        self.request()
        self.answer({})
        self.accept(2, "third")
        assert self.request() is None
        self.request(2 + peer_replica.COMPARE_INTERVAL_US)
        self.answer({"third": [(1, 1)]})
        assert self.sequences(2 + peer_replica.COMPARE_INTERVAL_US) == {"third": [2]}

    def test_adds_of_a_reachable_origin_are_forwarded_only_after_the_forward_delay(self) -> None:
        self.accept(2, "live")
        self.request()
        now = 1 + peer_replica.COMPARE_INTERVAL_US
        self.answer({}, now=now)
        assert self.request() is None
        self.accept(1, "live")
        self.replica.compare_now = True
        assert self.sequences() == {}
        self.answer({}, now=now + 1)
        assert self.request() is None
        self.replica.compare_now = True
        self.request()
        self.answer({"live": [(1, 1)]}, now=now + peer_replica.FORWARD_DELAY_US)
        assert self.sequences() == {"live": [2]}

    def test_a_new_incarnation_is_credited_only_with_the_adds_that_it_reports(self) -> None:
        self.accept(3)
        self.request()
        self.answer({"own": [(1, 3)]})
        self.replica.compare_now = True
        self.request()
        self.answer({"own": [(1, 1)]}, sender="other again")
        assert counter_state.AddId("own", 2) not in self.replica.synced
        assert self.sequences() == {"own": [3, 2]}

    def test_after_a_failed_call_a_digest_is_sent_before_any_adds(self) -> None:
        self.accept(1)
        self.request()
        self.answer({})
        assert self.sequences() == {"own": [1]}
        self.replica.fail()
        assert self.sequences() == {}

    def test_silence_is_counted_only_while_an_answer_is_due(self) -> None:
        for _ in range(peer_replica.UNREACHABLE_TICKS):
            self.replica.tick()
        assert self.replica.reachable
        self.replica.awaiting = True
        for _ in range(peer_replica.UNREACHABLE_TICKS):
            self.replica.tick()
        assert not self.replica.writable
        self.request()
        self.answer({})
        assert self.replica.writable

    def test_an_unreachable_machine_is_sent_digests_only(self) -> None:
        self.accept(1)
        self.request()
        self.answer({})
        self.replica.awaiting = True
        for _ in range(peer_replica.UNREACHABLE_TICKS):
            self.replica.tick()
        assert self.request() is None
        assert self.sequences(2 * units.SECOND_US) == {}


MACHINES = strategies.sets(strategies.sampled_from("abcde"))


class TestDurability:
    @fuzzing.QUICK
    @hypothesis.given(MACHINES, MACHINES, strategies.integers(1, 3), strategies.booleans())
    def test_durability_needs_enough_copies_or_all_writable_machines(
        self, holders: set[str], writable: set[str], copies: int, reachability_known: bool
    ) -> None:
        durable = durability.is_durable(holders, writable, copies, own="a", reachability_known=reachability_known)
        if len(holders) >= copies:
            assert durable
        elif not reachability_known or len(writable - holders) > 0:
            assert not durable
        else:
            assert durable == ("a" in holders)

    def test_no_add_is_durable_that_no_machine_holds(self) -> None:
        assert not durability.is_durable(set(), set(), 1, own="a", reachability_known=True)
