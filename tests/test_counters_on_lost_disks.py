"""Replicated counters while disks are lost or stall: which reads and which adds are refused."""

import pytest

from simulation import counter_cluster

WIPED = ("c1", "c2")
BACKLOG = 11_000  # adds; above the limit of unsynced adds that a machine accepts itself


@pytest.fixture
def cluster() -> counter_cluster.CounterCluster:
    """A cluster that has run for long enough after its start to accept and read adds as usual."""
    return counter_cluster.settled_cluster()


@pytest.mark.parametrize("started", [WIPED, WIPED[:1]])
def test_machines_on_new_disks_refuse_reads_until_a_machine_that_kept_its_disk_answers(
    cluster: counter_cluster.CounterCluster, started: tuple[str, ...]
) -> None:
    cluster.add_acknowledged("c1", "x", 4)
    cluster.advance(4)
    cluster.lose_power(*counter_cluster.MACHINES, wiped=WIPED)
    cluster.advance(1)
    cluster.start(*started)
    cluster.advance(2)
    assert {cluster.read(name) for name in started} == {"not_ready"}


def test_an_add_acknowledged_in_a_partition_is_on_the_disk_of_the_acknowledging_machine(
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


def test_a_backlog_for_a_stalled_disk_refuses_no_add_that_enough_other_machines_can_hold(
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
