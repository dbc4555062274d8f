"""State search of view consensus: no invariant is violated, and the search notices each safety check taken out."""

import types
from collections.abc import Callable
from typing import Any
from unittest import mock

import msgspec
import pytest

from iriswheel.consensus import decisions, view_formation
from iriswheel.transport import message
from simulation.state_search import cluster_model, explore

STATES = 4_000  # limit on the states of a search in the unmodified code, to keep this file quick
GUARD_STATES = 60_000  # limit on the states of a search in which a check is taken out


def promise_without_ballot_check(
    record: decisions.Record,
    replica: decisions.Replica,
    holder: None,
    prepare: message.Prepare,
    promise: Callable[..., tuple[decisions.Record, message.Promise]] = decisions.promise,
) -> tuple[decisions.Record, message.Promise]:
    """In place of `decisions.promise`: promises any ballot, even one below a ballot that was promised before."""
    return promise(msgspec.structs.replace(record, promised=decisions.NO_BALLOT), replica, holder, prepare)


def chain_ignoring_synced_views(
    _view: message.View, _promises: dict[str, message.Promise], alive: dict[str, str]
) -> list[message.ChainReplica]:
    """In place of `view_formation.next_chain`: orders the chain by descending id, whichever copies are synced."""
    return [message.ChainReplica(identifier, alive[identifier]) for identifier in sorted(alive, reverse=True)]


def chain_ignoring_last_entries(
    view: message.View,
    promises: dict[str, message.Promise],
    alive: dict[str, str],
    order: Callable[..., list[message.ChainReplica] | None] = view_formation.next_chain,
) -> list[message.ChainReplica] | None:
    """In place of `view_formation.next_chain`: ignores the last log entries of the copies."""
    promises = {
        identifier: msgspec.structs.replace(answer, last_entry=(0, 0)) for identifier, answer in promises.items()
    }
    return order(view, promises, alive)


def next_view_without_handover(
    view: message.View,
    promises: dict[str, message.Promise],
    voters: list[message.Voter],
    alive: dict[str, str],
    _leaving: dict[str, str],
    *,
    next_view: Callable[..., message.View | None] = view_formation.next_view,
) -> message.View | None:
    """In place of `view_formation.next_view`: never puts a leaving machine into the chain."""
    return next_view(view, promises, voters, alive, {})


def world_in_view_two(limits: cluster_model.Limits) -> cluster_model.World:
    """A state in which `a` and `b` are in view 2 with a chain of their own, and `b` is not synced in it yet."""
    world = cluster_model.start(3, limits)
    a, b, c = world.cores
    assert a.record.view is not None
    agreed = message.View(2, a.record.view.voters, a.record.view.chain[:2])
    a = msgspec.structs.replace(a, record=decisions.Record(agreed, synced_view=2))
    b = msgspec.structs.replace(b, record=decisions.Record(agreed, synced_view=1))
    return msgspec.structs.replace(world, cores=(a, b, c), views=(*world.views, agreed))


class TestSearch:
    def search(
        self,
        limits: cluster_model.Limits,
        depth: int = 30,
        cores: int = 3,
        states: int = STATES,
        **options: Any,  # noqa: ANN401 - options of explore.search
    ) -> explore.SearchResult:
        return explore.search(cores, limits, depth, most_states=states, **options)

    def assert_violation(
        self,
        guard: tuple[str, Callable[..., Any]],
        limits: cluster_model.Limits,
        expected_violation: str,
        *,
        module: types.ModuleType = decisions,
        **options: Any,  # noqa: ANN401 - options of explore.search
    ) -> None:
        name, replacement = guard
        with mock.patch.object(module, name, replacement):
            found = self.search(limits, states=GUARD_STATES, **options)
        assert expected_violation in found.violation

    @pytest.mark.parametrize("name", explore.SCENARIOS)
    def test_no_scenario_violates_an_invariant(self, name: str) -> None:
        scenario = explore.SCENARIOS[name]
        found = self.search(scenario.limits, cores=scenario.cores, states=800)
        assert (found.violation, found.trace) == ("", ()), name

    def test_a_small_scenario_is_searched_to_its_end(self) -> None:
        found = self.search(cluster_model.Limits(proposals=1, changes=1))
        assert (found.complete, found.violation) == (True, "")

    def test_the_leaving_machine_with_the_only_synced_copy_hands_over(self) -> None:
        limits = cluster_model.Limits(proposals=1, changes=0, crashes=1, leaves=1)
        assert self.search(limits).violation == ""
        self.assert_violation(
            ("next_view", next_view_without_handover), limits, "no synced copy is left", module=view_formation
        )

    def test_a_copy_that_may_lead_remains_after_two_views_and_the_loss_of_their_head(self) -> None:
        limits = cluster_model.Limits(proposals=1, changes=0, crashes=1)
        first = world_in_view_two(limits)
        assert self.search(limits, first=first).violation == ""
        guard = ("complete_through", lambda record, _identifier: record.synced_view)
        self.assert_violation(guard, limits, "no synced copy is left", first=first)

    def test_a_machine_outside_the_chain_does_not_count_as_complete(self) -> None:
        limits = cluster_model.Limits(proposals=1, changes=1)
        guard = ("complete_through", lambda record, _identifier: record.view.number)
        self.assert_violation(guard, limits, "without acknowledged", first=world_in_view_two(limits))

    def test_without_the_ballot_check_two_views_share_a_number(self) -> None:
        self.assert_violation(
            ("promise", promise_without_ballot_check),
            cluster_model.Limits(proposals=2, changes=0),
            "two views 2",
            recovery=False,
        )

    def test_a_chain_with_an_unsynced_head_loses_acknowledged_changes(self) -> None:
        limits = cluster_model.Limits(proposals=1, changes=1, wipes=1)
        self.assert_violation(
            ("next_chain", chain_ignoring_synced_views), limits, "without acknowledged", module=view_formation
        )

    def test_without_the_wait_for_grants_two_tails_serve_reads(self) -> None:
        limits = cluster_model.Limits(proposals=1, changes=0, leases=4)
        self.assert_violation(
            ("is_lease_of_another", lambda _holder, _sender: False), limits, "two tails", recovery=False
        )

    def test_a_grant_from_before_a_restart_is_void_only_once_its_tail_has_restarted_too(self) -> None:
        limits = cluster_model.Limits(proposals=1, changes=0, crashes=1, leases=2)
        a, b, tail = cluster_model.start(3, limits).cores
        cores = (
            a,
            msgspec.structs.replace(b, holder="c"),
            msgspec.structs.replace(tail, supporters=("b", "c"), holder="c"),
        )
        first = msgspec.structs.replace(cluster_model.start(3, limits), cores=cores)
        assert self.search(limits, first=first, recovery=False).violation == ""
        guard = ("is_grant_void", lambda _record, holder, _incarnation: holder == decisions.UNKNOWN_HOLDER)
        self.assert_violation(guard, limits, "two tails", first=first, recovery=False)

    def test_without_the_seal_check_a_sealed_view_acknowledges_changes(self) -> None:
        limits = cluster_model.Limits(proposals=1, changes=1)
        self.assert_violation(("is_sealed", lambda _record: False), limits, "in the sealed view")

    def test_without_the_seal_check_two_tails_serve_reads(self) -> None:
        limits = cluster_model.Limits(proposals=1, changes=0, leases=4)
        self.assert_violation(("is_sealed", lambda _record: False), limits, "two tails", recovery=False)

    def test_without_the_order_by_last_entry_a_stale_disk_heads_the_chain(self) -> None:
        limits = cluster_model.Limits(proposals=1, changes=1, crashes=1, stale_disks=1)
        self.assert_violation(
            ("next_chain", chain_ignoring_last_entries), limits, "without acknowledged", module=view_formation
        )

    def test_without_the_index_check_an_old_snapshot_undoes_acknowledged_changes(self) -> None:
        limits = cluster_model.Limits(proposals=1, changes=1, late_snapshots=1)
        self.assert_violation(
            ("may_restore", lambda _record, _here, _there: True), limits, "without acknowledged", recovery=False
        )

    def test_a_wiped_voter_that_keeps_its_id_breaks_agreement(self) -> None:
        found = self.search(
            cluster_model.Limits(proposals=2, changes=0, wipes=1),
            states=GUARD_STATES,
            keep_identity=True,
            recovery=False,
        )
        assert "two views" in found.violation
