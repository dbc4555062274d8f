"""Numbered changes: only one of several concurrent ones is accepted, and a repeated change gets the same answer."""

from typing import Any

import msgspec
import pytest
from twisted.internet import defer

from iriswheel.configuration import configuration
from iriswheel.replication import replicated_log, replicated_state, snapshot_format
from iriswheel.runtime import units
from iriswheel.transport import message
from simulation import operator_model, simulated_cluster
from tests import conftest, deferreds

SECOND = units.SECOND_US


def route(k: int | str) -> dict[str, Any]:
    """A change that adds or replaces one route."""
    return {"upsert": {"routes": {f"r{k}": {"path": f"/r/{k}", "pool": "desk"}}}}


class TestNumberedChanges:
    def submit(
        self,
        cluster: simulated_cluster.SimulatedCluster,
        number: int,
        built_on: int,
        content: dict[str, Any],
        operator_name: str = "boss",
    ) -> defer.Deferred[Any]:
        return cluster.operator_runtime.spawn(
            operator_model.Operator(cluster, cluster.operator_runtime, operator_name).submit_numbered(
                number, built_on, content
            ),
            simulated_cluster.log,
        )

    def statuses_of(self, cluster: simulated_cluster.SimulatedCluster, *changes: defer.Deferred[Any]) -> list[int]:
        assert cluster.advance_until(lambda: all(change.called for change in changes), 40)
        return [deferreds.result_of(change) for change in changes]

    def committed_state(self, cluster: simulated_cluster.SimulatedCluster) -> replicated_state.ReplicatedState:
        """The state that the tail has committed."""
        tail = cluster.tail()
        assert tail is not None
        return tail.chain.committed_state

    def items(self, cluster: simulated_cluster.SimulatedCluster) -> dict[str, Any]:
        assert cluster.advance_until(lambda: cluster.tail() is not None, 10)
        return dict(self.committed_state(cluster).items)

    def test_only_one_of_two_concurrent_changes_on_the_same_base_is_accepted(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        number = 0
        for k in range(8):
            one, two = (self.submit(cluster, number + j, number, route(10 * k + j), f"op{j}") for j in (3, 5))
            assert sorted(self.statuses_of(cluster, one, two)) == [200, 409]
            won, lost = (3, 5) if one.result == 200 else (5, 3)
            number += won
            items = self.items(cluster)
            assert configuration.operator_number(items) == number
            assert tuple(f"routes/r{10 * k + j}" in items for j in (won, lost)) == (True, False)

    def test_a_repeated_change_gets_the_same_answer_after_later_changes(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        for number, built_on in ((4, 0), (9, 4), (10, 9)):
            assert self.statuses_of(cluster, self.submit(cluster, number, built_on, route(number))) == [200]
        index = self.committed_state(cluster).index
        for number, built_on in ((4, 0), (9, 4), (10, 9)):
            assert self.statuses_of(cluster, self.submit(cluster, number, built_on, route(number))) == [200]
        assert self.committed_state(cluster).index == index
        assert self.statuses_of(cluster, self.submit(cluster, 9, 4, route("other"))) == [409]
        assert self.statuses_of(cluster, self.submit(cluster, 10, 10, route("other"))) == [422]
        assert self.statuses_of(
            cluster, self.submit(cluster, 12, 10, {"upsert": {"routes": {"r": {"path": "/", "pool": "x"}}}})
        ) == [422]
        assert self.statuses_of(cluster, self.submit(cluster, 12, 10, {"upsert": {}, "blueprint": {}})) == [400]

    @pytest.mark.parametrize("seed", [1, 2, 3, 4])
    def test_a_single_operator_is_never_refused_while_core_machines_are_killed(
        self, quiet_cluster: conftest.QuietCluster, seed: int
    ) -> None:
        cluster = quiet_cluster(seed=seed)
        number = 0
        for k in range(6):
            done = self.submit(cluster, number + 2, number, route(k))
            cluster.advance(cluster.rng.random() * 0.1)
            victims = (
                [cluster.head() or cluster.tail(), cluster.tail()][k % 2 : k % 2 + 1]
                if k < 4
                else list(cluster.cores.values())
            )
            for core in [core for core in victims if core is not None]:
                core.process.kill()
            cluster.advance(0.5 + cluster.rng.random())
            for name in [name for name, core in cluster.cores.items() if not core.process.alive]:
                cluster.start_core(name, *cluster.places[name])
            assert self.statuses_of(cluster, done) == [200], (seed, k)
            number += 2
            assert f"routes/r{k}" in self.items(cluster)
            cluster.advance(2)

    def apply_changes(
        self, cluster: simulated_cluster.SimulatedCluster, count: int
    ) -> list[tuple[int, int, dict[str, Any]]]:
        """Submit numbered changes, each built on the previous one; returns their (number, built on, content)."""
        changes = [(k + 1, k, route(k % 3)) for k in range(count)]
        for change in changes:
            assert self.statuses_of(cluster, self.submit(cluster, *change)) == [200]
        return changes

    def test_a_repeated_change_is_acknowledged_after_many_later_ones_and_a_restart_of_all_core_machines(
        self, quiet_cluster: conftest.QuietCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(replicated_state, "MAX_PLANS", 4)
        monkeypatch.setattr(replicated_log, "KEPT_ENTRIES", 8)
        cluster = quiet_cluster()
        changes = self.apply_changes(cluster, 24)
        repeated = [changes[k] for k in (-1, -2, -6, -20, 0)]
        assert self.statuses_of(cluster, *(self.submit(cluster, *change) for change in repeated)) == [200] * 5
        for core in cluster.cores.values():
            core.process.kill()
        cluster.advance(1)
        for name in cluster.cores:
            cluster.start_core(name, *cluster.places[name])
        assert self.statuses_of(cluster, *(self.submit(cluster, *change) for change in repeated)) == [200] * 5
        assert self.statuses_of(cluster, self.submit(cluster, 1, 0, route(9))) == [409]
        assert configuration.operator_number(self.items(cluster)) == 24

    def test_a_repeated_change_whose_id_was_dropped_is_neither_acknowledged_nor_refused(
        self, quiet_cluster: conftest.QuietCluster, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(replicated_state, "MIN_ACCEPTED_CHANGES", 4)
        monkeypatch.setattr(replicated_state, "ACCEPTED_CHANGES_SLACK", 2)
        cluster = quiet_cluster()
        changes = self.apply_changes(cluster, 8)
        assert [
            self.statuses_of(
                cluster,
                cluster.operator_runtime.spawn(
                    operator_model.Operator(cluster, cluster.operator_runtime, "boss").submit_numbered(
                        *change, attempts=3
                    )
                ),
            )[0]
            for change in (changes[0], changes[-2], (8, 6, route(9)))
        ] == [0, 200, 409]

    def test_equal_concurrent_changes_get_the_same_answer(self, quiet_cluster: conftest.QuietCluster) -> None:
        cluster = quiet_cluster()
        changes = [(5, 0, route(k // 2)) for k in range(8)]
        results = self.statuses_of(cluster, *(self.submit(cluster, *change) for change in changes))
        assert sorted(results) == [200] * 2 + [409] * 6
        assert {tuple(results[k : k + 2]) for k in (0, 2, 4, 6)} == {(200, 200), (409, 409)}

    def test_a_complete_configuration_in_force_is_acknowledged_on_another_base(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        document, other = cluster.with_probe(1), cluster.with_probe(2)
        assert self.statuses_of(cluster, self.submit(cluster, 4, 0, {"blueprint": document})) == [200]
        before = self.committed_state(cluster)
        assert self.statuses_of(cluster, self.submit(cluster, 4, 3, {"blueprint": document})) == [200]
        assert self.statuses_of(cluster, self.submit(cluster, 4, 3, {"blueprint": document})) == [200]
        assert self.statuses_of(cluster, self.submit(cluster, 4, 3, {"blueprint": other})) == [409]
        assert self.statuses_of(cluster, self.submit(cluster, 5, 3, {"blueprint": document})) == [409]
        after = self.committed_state(cluster)
        assert (after.index, after.items) == (before.index + 1, before.items)  # one entry, which stores the change's id

    def test_a_configuration_already_in_force_is_acknowledged_again_after_a_later_change(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        document = cluster.with_probe(1)
        for built_on in (0, 3):
            assert self.statuses_of(cluster, self.submit(cluster, 4, built_on, {"blueprint": document})) == [200]
        assert self.statuses_of(cluster, self.submit(cluster, 5, 4, route(1))) == [200]
        for built_on in (0, 3):
            assert self.statuses_of(cluster, self.submit(cluster, 4, built_on, {"blueprint": document})) == [200]
        assert configuration.operator_number(self.items(cluster)) == 5

    def test_each_of_1100_changes_is_acknowledged_again_even_after_a_restart_of_all_core_machines(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        changes = self.apply_changes(cluster, 1_100)
        repeated = [changes[-1 - age] for age in (0, 1, 100, 512, 599, 1_000, 1_099)]
        assert self.statuses_of(cluster, *(self.submit(cluster, *change) for change in repeated)) == [200] * len(
            repeated
        )
        for core in cluster.cores.values():
            core.process.kill()
        cluster.advance(1)
        for name in cluster.cores:
            cluster.start_core(name, *cluster.places[name])
        assert self.statuses_of(cluster, *(self.submit(cluster, *change) for change in repeated)) == [200] * len(
            repeated
        )
        assert configuration.operator_number(self.items(cluster)) == 1_100

    def test_a_change_is_acknowledged_without_nodes_once_their_leases_have_expired(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster()
        tail = cluster.tail()
        assert tail is not None
        lease_us = tail.options.lease_us
        for node in cluster.nodes.values():
            node.process.kill()
        killed = cluster.world.time
        cluster.advance(1)
        assert self.statuses_of(cluster, self.submit(cluster, 1, 0, route(1))) == [200]
        assert lease_us - SECOND < cluster.world.time - killed < lease_us + SECOND // 2
        started_at = cluster.world.time
        assert self.statuses_of(cluster, self.submit(cluster, 2, 1, route(2))) == [200]
        assert cluster.world.time - started_at < SECOND // 2

    def test_a_single_core_machine_accepts_changes_if_one_copy_is_required(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(cores=1, copies=1, seats=1)
        assert self.statuses_of(cluster, self.submit(cluster, 1, 0, route(1))) + self.statuses_of(
            cluster, self.submit(cluster, 2, 1, route(2))
        ) == [200, 200]
        core = cluster.cores["c1"]
        core.process.host.fail()
        cluster.advance(1)
        cluster.start_core("c1", *cluster.places["c1"])
        assert self.statuses_of(cluster, self.submit(cluster, 3, 2, route(3))) == [200]
        assert "routes/r1" in self.items(cluster)


class TestAcceptedChanges:
    """The ids of accepted changes in the replicated state."""

    def apply(self, count: int) -> replicated_state.ReplicatedState:
        state = replicated_state.ReplicatedState()
        for number in range(1, count + 1):
            changes = [("marks/operator", {"number": number})]
            state = state.apply(message.LogEntry(number, 1, "apply", f"c{number - 1}-{number}-0a", number - 1, changes))
        return state

    def test_accepted_changes_outlive_the_plans_and_are_stored_in_snapshots(self) -> None:
        state = self.apply(1_100)
        assert "c0-1-0a" not in state.plans
        decoded = snapshot_format.decode(snapshot_format.encode(state))
        assert (
            *(decoded.accepted_changes[f"c{number - 1}-{number}-0a"] for number in (1, 100, 1_100)),
            decoded.highest_dropped_number,
        ) == (
            1,
            100,
            1_100,
            0,
        )
        assert decoded == state

    def test_the_number_of_accepted_changes_is_bounded(self) -> None:
        state = self.apply(replicated_state.MIN_ACCEPTED_CHANGES + replicated_state.ACCEPTED_CHANGES_SLACK + 2)
        assert (len(state.accepted_changes), state.highest_dropped_number) == (
            replicated_state.MIN_ACCEPTED_CHANGES + 1,
            replicated_state.ACCEPTED_CHANGES_SLACK + 1,
        )
        assert len(snapshot_format.encode(state)) < 1 << 20
        assert snapshot_format.decode(snapshot_format.encode(state)) == state

    def snapshot_in_format_2(self, state: replicated_state.ReplicatedState) -> bytes:
        """A snapshot in format 2: index, view, version, items and plans."""
        plans = [(k, list(p)) for k, p in sorted(state.plans.items())]
        return msgspec.msgpack.encode([state.index, state.view, state.version, dict(state.items), plans])

    def test_a_snapshot_of_format_2_is_read(self) -> None:
        few, many = (snapshot_format.decode(self.snapshot_in_format_2(self.apply(count))) for count in (20, 600))
        assert (len(few.accepted_changes), few.highest_dropped_number, few.accepted_changes["c6-7-0a"]) == (20, 0, 7)
        assert (len(many.accepted_changes), many.highest_dropped_number, configuration.operator_number(many.items)) == (
            512,
            88,
            600,
        )
