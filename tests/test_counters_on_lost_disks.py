"""Replicated counters where disks are lost or stall: what may be read and acknowledged then."""

import pytest

from simulation import counter_cluster

WIPED = ("c1", "c2")
BACKLOG = 11_000


@pytest.fixture
def cluster() -> counter_cluster.CounterCluster:
    """A cluster that has run for long enough."""
    return counter_cluster.settled_cluster()


@pytest.mark.parametrize("started", [WIPED, WIPED[:1]])
def test_machines_on_new_disks_read_nothing_before_they_hear_one_that_kept_its_disk(
    cluster: counter_cluster.CounterCluster, started: tuple[str, ...]
) -> None:
    cluster.add_acknowledged("c1", "x", 4)
    cluster.advance(4)
    cluster.lose_power(*counter_cluster.MACHINES, wiped=WIPED)
    cluster.advance(1)
    cluster.start(*started)
    cluster.advance(2)
    assert {cluster.read(name) for name in started} == {"not_ready"}


def test_an_add_acknowledged_in_a_cut_is_kept_by_the_disk_of_the_machine_that_acknowledged_it(
    cluster: counter_cluster.CounterCluster,
) -> None:
    cluster.cut("c4", "c5")
    cluster.advance(2)
    cluster.cores["c4"].process.host.disk_condition = "stalled"
    call = cluster.add("c4", "x", 4)
    cluster.advance(3)
    cluster.cores["c4"].process.host.repair()
    cluster.lose_power(*counter_cluster.MACHINES, wiped=["c5"])
    cluster.world.heal()
    cluster.advance(1)
    cluster.start(*counter_cluster.MACHINES)
    cluster.advance(4)
    assert not call.acknowledged or cluster.sums() == {4}


def test_a_backlog_for_a_stalled_disk_refuses_no_add_that_enough_others_can_hold(
    cluster: counter_cluster.CounterCluster,
) -> None:
    cluster.add_acknowledged("c1", "before", 1)
    cluster.cut("c1", "c2")
    cluster.advance(1)
    for number in range(BACKLOG):
        cluster.add("c3", f"x{number}", 1)
        if number % 100 == 0:
            cluster.advance(0.05)
    cluster.advance(2)
    cluster.cores["c1"].process.host.disk_condition = "stalled"
    cluster.world.heal()
    cluster.advance(8)
    call = cluster.add("c1", "new", 1)
    cluster.advance(1)
    assert call.acknowledged, call.outcome
