"""The benchmark that measures how long a fault of a core machine delays configuration changes."""

from benchmarks import change_recovery
from iriswheel.runtime import units


class TestOneSeed:
    def test_after_a_kill_of_the_tail_a_later_change_is_acknowledged_and_applied_by_all(self) -> None:
        kill = change_recovery.Case("kill", "tail")
        start = change_recovery.StartSettings(seed=1, cores=3, lease_ms=1_500)
        (recovery,) = change_recovery.measure_seed(start, [kill])
        assert recovery.case == kill
        assert recovery.acknowledged is not None
        assert recovery.applied is not None
        assert recovery.acknowledged > 1 * units.SECOND_US  # the other core machines do not suspect the tail earlier
        assert recovery.acknowledged < 5 * units.SECOND_US
        assert recovery.applied >= recovery.acknowledged
        assert recovery.applied < 6 * units.SECOND_US


class TestTables:
    def test_a_time_beyond_the_limit_counts_as_the_limit_and_is_shown(self) -> None:
        cut = change_recovery.Case("cut", "head")
        rows = [change_recovery.Recovery(cut, 2_000_000, None), change_recovery.Recovery(cut, 3_000_000, 4_000_000)]
        assert change_recovery.table(3, [cut], rows) == ["| 3 | cut | head | 2 | 2.50, 3.00 | 17.00, over 30 |"]
