"""The benchmark that measures how long a fleet takes to recover from the loss of all its processes."""

import pytest

from benchmarks import change_recovery, total_loss
from iriswheel.runtime import units


@pytest.mark.parametrize("fault", total_loss.FAULTS)
def test_the_fleet_serves_within_a_second_and_a_half_of_a_majoritys_start(fault: str) -> None:
    (recovery,) = total_loss.measure_seed(change_recovery.StartSettings(seed=2, cores=3, lease_ms=1_500), [fault])
    assert recovery.tail_lease is not None
    assert recovery.node_lease is not None
    assert recovery.served is not None
    assert recovery.acknowledged is not None
    assert recovery.tail_lease <= recovery.node_lease <= units.SECOND_US
    assert recovery.served <= 3 * units.SECOND_US // 2
    assert recovery.acknowledged < 4 * units.SECOND_US
