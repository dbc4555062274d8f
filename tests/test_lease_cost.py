"""The bench that measures the traffic of leases, heartbeats and reports in a cluster without requests."""

from benchmarks import lease_cost


class TestQuietCluster:
    def test_an_idle_node_stays_far_below_its_traffic_budget_and_all_core_machines_report(self) -> None:
        cost = lease_cost.measure(nodes=6, cores=3, seconds=2, seed=1)
        for rate in (cost.into_node, cost.out_of_node):
            assert rate.size < 200  # bytes/s, of a budget of 16 KB/s
            assert rate.messages > 3
            assert rate.messages < 6
        for rate in (cost.reports, cost.tail_heartbeats):
            assert rate.messages > 3
            assert rate.messages < 6
        assert cost.listed_bytes < 200
