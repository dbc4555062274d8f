"""Processes that end during the first start of the whole system."""

from collections.abc import Iterable

import pytest

from simulation import addresses as addresses_module
from simulation import counter_cluster

MOMENTS_S = (0.0, 0.001, 0.01, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0)
FIRST, OTHERS = "c1", ("c2", "c3", "c4", "c5")
KILLED = {
    "the first machine": (FIRST,),
    "another machine": ("c3",),
    "two machines": (FIRST, "c4"),
    "all other machines": OTHERS,
    "all machines": (FIRST, *OTHERS),
}
DOWN_S = 0.5
RECOVERY_S = 12.0  # the users' bound


def is_serving(cluster: counter_cluster.CounterCluster) -> bool:
    """Whether all machines serve under one view."""
    views = [core.consensus.view for core in cluster.cores.values()]
    return all(view is not None and view == views[0] for view in views) and all(
        core.is_serving() for core in cluster.cores.values()
    )


def restart(cluster: counter_cluster.CounterCluster, names: Iterable[str], *, wiped: bool = False) -> None:
    """Kill machines and start them as the platform does: no longer as a part of the first start."""
    cluster.kill(*names)
    for name in names if wiped else ():
        cluster.cores[name].process.host.synced.clear()
    cluster.advance(DOWN_S)
    cluster.start(*names)


def assert_recovers(cluster: counter_cluster.CounterCluster) -> None:
    """Check that all machines serve under one view within the users' bound."""
    cluster.advance_until(lambda: is_serving(cluster), RECOVERY_S)
    assert is_serving(cluster)


# Review case 8: a core process was killed during the first start, and no view was ever made.
@pytest.mark.parametrize("names", KILLED.values(), ids=KILLED)
@pytest.mark.parametrize("moment_s", MOMENTS_S)
def test_a_kill_during_the_first_start_does_not_keep_the_system_from_starting(
    names: tuple[str, ...], moment_s: float
) -> None:
    cluster = counter_cluster.CounterCluster()
    cluster.advance(moment_s)
    restart(cluster, names)
    assert_recovers(cluster)


# Review case 8, again and again: each start ends before a view is made.
def test_kills_of_the_first_machine_in_a_row_do_not_keep_the_system_from_starting() -> None:
    cluster = counter_cluster.CounterCluster()
    for _ in range(5):
        cluster.advance(0.001)
        restart(cluster, [FIRST])
    assert_recovers(cluster)


def test_a_machine_with_a_new_disk_joins_the_others_and_makes_no_view_of_its_own() -> None:
    cluster = counter_cluster.CounterCluster()
    cluster.advance_until(lambda: is_serving(cluster), RECOVERY_S)
    restart(cluster, [FIRST], wiped=True)
    cluster.advance_until(lambda: is_serving(cluster), RECOVERY_S)
    views = [core.consensus.view for core in cluster.cores.values()]
    assert all(view is not None and view.number > 1 for view in views)
    assert is_serving(cluster)


# Review case 8, a little earlier: the process was killed before it had made its data folder.
def test_a_kill_of_the_first_machine_before_it_has_a_data_folder_does_not_keep_the_system_from_starting() -> None:
    cluster = counter_cluster.CounterCluster()
    restart(cluster, [FIRST], wiped=True)
    assert_recovers(cluster)


def test_a_machine_that_is_not_the_first_makes_no_view_when_told_of_the_first_start() -> None:
    cluster = counter_cluster.CounterCluster()
    cluster.kill(*cluster.cores)
    for name in OTHERS:
        cluster.cores[name].process.host.synced.clear()
    cluster.start(*OTHERS)
    addresses = [(cluster.hosts[name], addresses_module.PEER_PORT) for name in (FIRST, *OTHERS)]
    for name in OTHERS:
        cluster.cores[name].consensus.view_change.learn_first_start(addresses)
    cluster.advance(RECOVERY_S)
    assert [cluster.cores[name].consensus.view for name in OTHERS] == [None] * len(OTHERS)
