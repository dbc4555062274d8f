"""Leases of nodes: the tail acknowledges no change that a node with an unexpired lease has not applied."""

import pytest

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.consensus import decisions
from iriswheel.control import core, tail_contact
from iriswheel.membership import lease
from iriswheel.node import core_session
from iriswheel.runtime import units
from iriswheel.transport import message
from simulation import server_model, simulated_cluster
from tests import conftest

SECOND = units.SECOND_US


def start_route_change(server: core.Core | None) -> list[message.ProposeChangeResponse | errors.ServiceError]:
    """Start to add a route by a plan and its confirmation; the returned list receives the response or the error."""
    assert server is not None
    results: list[message.ProposeChangeResponse | errors.ServiceError] = []

    async def go() -> None:
        seen = await server.client.read_at_tail("")
        document = {"blueprint": configuration.unflatten(dict(seen.items))}
        document["blueprint"]["routes"]["new"] = {"path": "/new", "pool": next(iter(document["blueprint"]["pools"]))}
        plan = await server.operator_api.plan(document)
        try:
            results.append(await server.operator_api.confirm(plan["id"]))
        except errors.ServiceError as error:
            results.append(error)

    server.runtime.spawn(go(), simulated_cluster.log)
    return results


A, B, C = (decisions.ReplicaIncarnation(name, "1") for name in "abc")


class TestLeaseHolders:
    def test_a_change_waits_for_a_holder_that_does_not_apply_it_until_its_lease_expires(self) -> None:
        holders = lease.LeaseHolders(2 * SECOND, now=0)
        holders.on_view([], [A], now=0)
        holders.record_report("a", [("n1", 4, SECOND), ("n2", 5, SECOND)], now=0)
        assert holders.applied_by_holders(5, now=SECOND) == 4
        assert holders.applied_by_holders(5, now=SECOND + lease.DRIFT_US) == 5

    def test_a_new_tail_waits_one_lease_for_unknown_grants_of_a_lost_core_machine(self) -> None:
        for chain, sure in (([B, C], False), ([decisions.ReplicaIncarnation("a", "2"), B], False)):
            holders = lease.LeaseHolders(2 * SECOND, now=0)
            holders.on_view([A, B], chain, now=10 * SECOND)
            for name, _ in chain:
                holders.record_report(name, [], now=10 * SECOND)
            assert holders.applied_by_holders(5, now=12 * SECOND) == 0
            assert holders.applied_by_holders(5, now=12 * SECOND + lease.DRIFT_US) == 5, (chain, sure)

    def test_a_tail_that_stays_waits_only_for_reported_grants_of_a_lost_core_machine(self) -> None:
        holders = lease.LeaseHolders(2 * SECOND, now=0)
        holders.on_view([], [A, B], now=0)
        holders.record_report("a", [("n1", 4, 2 * SECOND)], now=9 * SECOND)
        holders.on_view([A, B], [B, C], now=10 * SECOND, was_tail=True)
        for name in "bc":
            holders.record_report(name, [], now=10 * SECOND)
        assert holders.applied_by_holders(5, now=11 * SECOND) == 4
        assert holders.applied_by_holders(5, now=11 * SECOND + lease.DRIFT_US) == 5

    def test_a_new_tail_whose_chain_keeps_all_old_replicas_needs_only_their_reports(self) -> None:
        holders = lease.LeaseHolders(2 * SECOND, now=0)
        holders.on_view([], [A, B], now=0)
        holders.on_view([A, B], [A, B, C], now=10 * SECOND)
        for name in "ab":
            holders.record_report(name, [], now=10 * SECOND)
        assert holders.applied_by_holders(5, now=10 * SECOND) == 0
        holders.record_report("c", [], now=10 * SECOND)
        assert holders.applied_by_holders(5, now=10 * SECOND) == 5

    def test_the_wait_for_unknown_grants_outlasts_the_next_view(self) -> None:
        holders = lease.LeaseHolders(2 * SECOND, now=0)
        holders.on_view([A, B], [B], now=10 * SECOND)
        holders.on_view([B], [B, C], now=11 * SECOND)
        for name in "bc":
            holders.record_report(name, [], now=11 * SECOND)
        assert holders.applied_by_holders(5, now=12 * SECOND) == 0


class TestLeasesInACluster:
    def test_a_change_is_acknowledged_only_after_the_lease_of_a_cut_off_node_expires(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(seconds=2)
        cut = cluster.nodes["n1"]
        cluster.world.cut(cluster.hosts("cores"), [cut.options.host])
        results = start_route_change(cluster.tail())
        assert cluster.advance_until(lambda: results, 10)
        assert not isinstance(results[0], errors.ServiceError)
        assert not cut.follower.session.lease.is_valid(cut.runtime.now())
        assert cut.follower.applied_index < results[0].version <= cluster.nodes["n2"].follower.applied_index

    def test_a_lease_is_not_renewed_by_a_core_machine_that_does_not_hear_the_tail(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(seconds=2)
        head = cluster.head()
        assert head is not None
        nodes = [
            node
            for node in cluster.nodes.values()
            if node.follower.session.address == (head.options.host, head.options.port)
        ]
        others = [c.options.host for c in cluster.cores.values() if c is not head]
        cluster.world.cut([head.options.host], others)
        cluster.advance(1.2 + head.options.lease_us / SECOND)
        assert head.lease.expires_at_us <= head.runtime.now()
        for node in cluster.nodes.values():
            assert node.member_record is not None
            assert head.lease.grant(node.member_record.id, head.runtime.now()) == 0
            assert node.follower.session.address != (head.options.host, head.options.port)
            assert node.follower.session.is_established()
        assert all(node.follower.session.moves >= 2 for node in nodes)

    def test_a_node_moves_to_another_core_machine_within_1500_ms_when_its_own_freezes(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(seconds=2)
        for server in cluster.cores.values():
            address = (server.options.host, server.options.port)
            nodes = [node for node in cluster.nodes.values() if node.follower.session.address == address]
            if server is cluster.tail() or not nodes:
                continue
            server.process.freeze()
            self.assert_nodes_moved(cluster, nodes, address)
            return
        pytest.fail("no core machine but the tail has a node")

    def assert_nodes_moved(
        self,
        cluster: simulated_cluster.SimulatedCluster,
        nodes: list[server_model.SimulatedNode],
        address: tuple[str, int],
    ) -> None:
        assert cluster.advance_until(lambda: all(node.follower.session.address != address for node in nodes), 1.5)
        assert all(node.follower.session.lease.is_valid(node.runtime.now()) for node in nodes)

    def test_committed_changes_reach_nodes_through_a_core_machine_without_a_lease(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(seconds=2)
        tail = cluster.tail()
        node = next(iter(cluster.nodes.values()))
        other = next(c for c in cluster.cores.values() if c is not tail)
        node.follower.session.reset()
        node.follower.session.addresses[:] = [(other.options.host, other.options.port)]
        other.tail_contact.answered_report = tail_contact.AnsweredReport()
        place = node.follower.applied_index
        results = start_route_change(tail)
        assert cluster.advance_until(lambda: results and node.follower.applied_index > place, 5)

    def test_a_node_keeps_several_connection_attempts_open_if_no_core_machine_answers(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(seconds=2)
        node = cluster.nodes["n1"]
        for server in cluster.cores.values():
            server.process.freeze()
        cluster.advance(1.5)
        assert 2 <= len(node.follower.session.attempts) <= core_session.MAX_ATTEMPTS


class TestServeOn:
    def test_a_node_with_serve_on_is_stale_once_a_peer_reports_a_change_it_missed(
        self, quiet_cluster: conftest.QuietCluster
    ) -> None:
        cluster = quiet_cluster(seconds=2, serve_on=True)
        cut, peer = cluster.nodes["n1"], cluster.nodes["n2"]
        cluster.world.cut(cluster.hosts("cores"), [cut.options.host])
        cluster.advance(4)
        assert not cut.follower.configuration_may_be_stale()
        results = start_route_change(cluster.tail())
        assert cluster.advance_until(lambda: results, 10)
        assert cluster.advance_until(cut.follower.configuration_may_be_stale, 2)
        assert peer.follower.applied_index > cut.follower.applied_index
        cluster.world.heal()
        assert cluster.advance_until(lambda: not cut.follower.configuration_may_be_stale() and cut.ready()[0], 5)
