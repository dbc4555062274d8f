"""The start of a node: when it counts as ready, how long it holds requests, and the first membership."""

from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet import defer, task

from iriswheel.configuration import configuration
from iriswheel.membership import membership_manager
from iriswheel.node import startup
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message
from simulation import simulated_cluster

NODE = message.Member("n1", "n1", "zone", "h", 1, 2)


class Follower:
    """A stand-in for a node's follower that at first has everything a node's start waits for."""

    def __init__(self, runtime: scheduler.Runtime) -> None:
        self.runtime = runtime
        self.items: dict[str, Any] | None = {}
        self.updated_at: int | None = 0
        self.limits = configuration.Limits(require_key=True)
        self.tenants = {"t": configuration.Tenant(rate=1.0)}
        self.membership = message.Membership((1, 1), [NODE], [], [], [])
        self.pools = {"desk": configuration.Pool()}
        self.has_lease = self.has_active_owner = True

    def keys_may_be_revoked(self) -> bool:
        """Whether the node never had a lease."""
        return not self.has_lease

    def selected_by_owner(self, _name: str) -> bool:
        """Return True, since the only pool is served by an owner."""
        return True

    def assignment(self, key: str) -> message.RoleAssignment:
        """Return the role assignment of the pool's owner."""
        return message.RoleAssignment(key, (1, 1), "n1", [], [], active=self.has_active_owner)


class TestStartup:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.clock = task.Clock()
        runtime = scheduler.Runtime(self.clock, now=lambda: round(self.clock.seconds() * units.SECOND_US))
        self.follower = Follower(runtime)
        follower: Any = self.follower
        self.start = startup.Startup(follower)

    @pytest.mark.parametrize(
        ("take", "reason"),
        [
            (lambda follower: setattr(follower, "items", None), "no blueprint yet"),
            (lambda follower: setattr(follower, "updated_at", None), "no news of workers"),
            (lambda follower: setattr(follower, "has_lease", False), "no lease yet"),
            (
                lambda follower: setattr(follower, "membership", message.Membership((0, 0), [], [], [], [])),
                "no members yet",
            ),
            (lambda follower: setattr(follower, "has_active_owner", False), "no active owner of pool desk yet"),
        ],
    )
    def test_a_start_is_incomplete_until_the_node_has_everything_that_requests_need(
        self, take: Callable[[Follower], None], reason: str
    ) -> None:
        take(self.follower)
        self.start.update()
        assert (self.start.missing(), self.start.is_complete) == (reason, False)

    def test_without_required_keys_and_rate_limits_no_lease_and_no_members_are_needed(self) -> None:
        self.follower.limits = configuration.Limits()
        self.follower.tenants = {}
        self.follower.has_lease = False
        self.follower.membership = message.Membership((0, 0), [], [], [], [])
        self.start.update()
        assert self.start.is_complete

    def test_a_complete_start_stays_complete(self) -> None:
        self.start.update()
        self.follower.has_lease = False
        self.start.update()
        assert self.start.is_complete

    def held(self, left_us: int | None) -> defer.Deferred[None]:
        """Hold a request that has `left_us` left."""
        return defer.ensureDeferred(self.start.hold(left_us))

    def test_a_held_request_continues_as_soon_as_the_start_is_complete(self) -> None:
        self.follower.updated_at = None
        held = self.held(None)
        self.clock.advance(0.1)
        called = [held.called]
        self.follower.updated_at = 1
        self.start.update()
        called += [held.called, self.held(None).called]
        assert called == [False, True, True]

    @pytest.mark.parametrize(("left_us", "hold_s"), [(None, 0.5), (60_000_000, 0.5), (1_500_000, 0.15)])
    def test_a_request_is_held_for_at_most_a_tenth_of_its_time_and_half_a_second(
        self, left_us: int | None, hold_s: float
    ) -> None:
        self.follower.items = None
        held = self.held(left_us)
        self.clock.advance(hold_s - 0.01)
        called = [held.called]
        self.clock.advance(0.02)
        assert [*called, held.called] == [False, True]


class TestFirstMembership:
    """A tail issues its first membership soon, but waits for nodes as long as some may still hold roles."""

    def issued_after_us(self, last: message.Membership | None, *, with_node: bool = True) -> int:
        """Return how long after getting the lease the tail issues the membership."""
        clock = task.Clock()
        runtime = scheduler.Runtime(clock, now=lambda: round(clock.seconds() * units.SECOND_US))
        consensus = HeldLease()
        manager = membership_manager.MembershipManager(runtime, consensus, lambda: ["desk"])
        manager.keep_newest(last)
        members = [NODE] if with_node else []
        manager.apply_report(
            message.NodeSessionsReport(
                core="c1",
                view=7,
                members=members,
                applied_indexes=[3] * len(members),
                listing=None,
                active=[],
                membership=None,
            )
        )
        for step in range(200):
            manager.issue_if_changed()
            if manager.has_issued():
                return step * 10 * units.MILLISECOND_US
            clock.advance(0.01)
        raise AssertionError("no membership was issued")

    def test_the_first_membership_is_issued_soon_if_all_processes_have_restarted(self) -> None:
        assert self.issued_after_us(None) == membership_manager.FIRST_MEMBERSHIP_WAIT_US

    def test_the_first_membership_waits_for_nodes_that_may_hold_roles(self) -> None:
        last = message.Membership((6, 2), [NODE], [], [], [])
        assert self.issued_after_us(last) == membership_manager.TAKEOVER_WAIT_US // 2

    def test_the_first_membership_waits_while_no_node_has_reported(self) -> None:
        assert self.issued_after_us(None, with_node=False) == membership_manager.TAKEOVER_WAIT_US // 2


class HeldLease:
    """A stand-in for the view consensus of a machine that is the tail and holds the lease."""

    view = message.View(7, [], [message.ChainReplica("c1", "1")])

    def is_tail(self) -> bool:
        """Return True."""
        return True

    def holds_lease(self) -> bool:
        """Return True."""
        return True


class TestRestartOfAllProcesses:
    def test_no_node_is_ready_before_its_pool_has_an_active_owner(self) -> None:
        cluster = simulated_cluster.SimulatedCluster(3, "small", long_rate=0, short_rate=0, conversations=0)
        cluster.probing = False
        cluster.begin()
        cluster.advance(2)
        for name in sorted(cluster.servers()):
            cluster.servers()[name].process.kill()
        cluster.advance(0.5)
        for name in sorted(cluster.cores):
            cluster.start_core(name, *cluster.places[name])
        for name in sorted(cluster.nodes):
            cluster.start_node(name, *cluster.places[name])

        def is_any_ready() -> bool:
            return any(node.ready()[0] for node in cluster.nodes.values())

        assert cluster.advance_until(lambda: is_any_ready() or cluster.owner() is not None, 3)
        assert cluster.owner() is not None
        assert cluster.advance_until(is_any_ready, 1)
