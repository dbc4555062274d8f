"""The rate limit of a cold worker while three groups of nodes disagree about the membership."""

import pytest

from iriswheel.configuration import configuration
from iriswheel.runtime import units
from tests import test_cold_workers

OVERSHOOT, MARGIN = 1.5, 5  # allowed requests in any second: factor of the rate, and requests beyond that


@pytest.mark.parametrize("rate", [8.0, test_cold_workers.RATE])
class TestThreeGroups(test_cold_workers.Nodes):
    def test_three_groups_that_differ_about_the_members_stay_below_the_bound(self, rate: float) -> None:
        pool = configuration.Pool(election="node", cold_rate=rate)
        listed = test_cold_workers.worker("w1", "north", cold=True)
        for node, own in zip(self.nodes, self.members, strict=True):
            node.update_view([other for other in self.members if other.zone == own.zone], [listed])
        times: list[int] = []
        for _ in range(400):
            times.extend(self.now for node in self.nodes if node.cold.start_send(listed, pool))
            self.now += test_cold_workers.STEP_US
        max_sends = max(sum(start <= at < start + units.SECOND_US for at in times) for start in times)
        assert max_sends <= rate * OVERSHOOT + MARGIN
