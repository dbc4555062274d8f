"""The command that measures what leases, heartbeats and reports cost."""

import loguru
import testtools

import bench.lease_cost as lease_cost


class Quiet(testtools.TestCase):
    def test_a_quiet_node_stays_far_below_its_budget_and_all_core_machines_report(self):
        loguru.logger.remove()
        cost = lease_cost.measure(nodes=6, cores=3, seconds=2, seed=1)
        for rate in (cost.into_node, cost.out_of_node):
            self.assertLess(rate.size, 200)  # of 16 KB/s
            self.assertLess(3, rate.messages)
            self.assertLess(rate.messages, 6)
        for rate in (cost.reports, cost.tail_heartbeats):
            self.assertLess(3, rate.messages)
            self.assertLess(rate.messages, 6)
        self.assertLess(cost.listed_bytes, 200)
