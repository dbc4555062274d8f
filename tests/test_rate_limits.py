"""Fleet-wide rate limits of tenants: how much all nodes admit together, also when an owner of the limit fails."""

from __future__ import annotations

import types
from typing import Any

import pytest
from twisted.internet import defer, task

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.rate_limits import limit_owner, rate_limiter
from iriswheel.runtime import options, scheduler, units
from iriswheel.transport import message, wire
from tests import deferreds

SECOND = units.SECOND_US
WINDOW_S = 8
TENANT = configuration.Tenant(rate_unit="tokens", rate=10_000.0, burst=10_000.0)
WINDOW = limit_owner.Window(WINDOW_S * SECOND, 0.1)


class Node:
    """A node with only the interfaces that the rate limits use."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.up, self.silent, self.may_be_replaced = True, False, False
        self.runtime = scheduler.Runtime(fleet.clock, now=lambda: int(fleet.clock.seconds() * SECOND), seed=1)
        self.member_record = message.Member(f"{name}-1", name, "a", name, 1, 2)
        self.options = options.Options("node", rate_window_us=WINDOW.length_us, rate_overshoot=WINDOW.overshoot_ratio)
        self.follower = types.SimpleNamespace(
            tenants={"t": TENANT}, membership=fleet.membership, may_be_replaced=lambda: self.may_be_replaced
        )
        self.peers: Any = types.SimpleNamespace(call=self.call, tell=self.tell)
        self.rate_limiter = rate_limiter.RateLimiter(self)

    async def call(self, host: str, _port: int, request: message.ChargeRequest, _timeout_us: int) -> object:
        """Send another node a charge request."""
        other = self.fleet.nodes[host]
        if other.silent:
            await defer.Deferred()
        if not other.up:
            raise wire.ConnectionBrokenError(sent=False, refused=True)
        return other.rate_limiter.owner.charge(request)

    async def tell(self, host: str, _port: int, refund: message.ChargeRefund) -> None:
        """Send another node a refund."""
        self.fleet.nodes[host].rate_limiter.owner.refund(refund)


class Fleet:
    """Nodes with the same membership."""

    def __init__(self, count: int = 6) -> None:
        self.clock = task.Clock()
        self.membership = message.Membership((1, 1), [], [], [], [])
        self.nodes: dict[str, Node] = {}
        for number in range(count):
            self.nodes[f"n{number}"] = Node(self, f"n{number}")
        self.set_members(list(self.nodes.values()))
        self.admitted: list[tuple[float, float]] = []  # time in seconds, cost
        self.refusals: list[errors.ServiceError] = []

    def set_members(self, nodes: list[Node]) -> None:
        """Give all nodes a membership of these nodes."""
        self.membership = message.Membership((1, 1), [node.member_record for node in nodes], [], [], [])
        for node in self.nodes.values():
            node.follower.membership = self.membership

    def owners(self) -> list[Node]:
        """Return the owner of the tenant's limit and its backups."""
        ranking = next(iter(self.nodes.values())).rate_limiter.ranking
        return [self.nodes[member.name] for member in ranking.owners("t", self.membership.members)]

    def send(self, node: Node, cost: float = 500.0) -> defer.Deferred[Any]:
        """Charge one request at a node, and record whether it was admitted or refused."""

        async def charge() -> rate_limiter.Charge | None:
            try:
                charged = await node.rate_limiter.charge("t", cost)
            except errors.ServiceError as error:
                self.refusals.append(error)
                return None
            self.admitted.append((self.clock.seconds(), cost))
            return charged

        return defer.ensureDeferred(charge())

    def send_evenly(self, seconds: float, rate_factor: float, nodes: list[Node] | None = None) -> None:
        """Send requests at an even rate, a multiple of the tenant's, from the given nodes or all that are up."""
        senders = nodes or [node for node in self.nodes.values() if node.up]
        per_step = TENANT.rate * rate_factor / 500 / 100
        due = 0.0
        for step in range(int(seconds * 100)):
            due += per_step
            while due >= 1:
                self.send(senders[(step + int(due)) % len(senders)])
                due -= 1
            self.clock.advance(0.01)

    def max_cost_in_a_window(self) -> float:
        """Return the largest cost admitted in any window."""
        return max(
            (sum(cost for at, cost in self.admitted if start <= at < start + WINDOW_S) for start, _ in self.admitted),
            default=0.0,
        )

    def assert_within_overshoot(self) -> None:
        """Assert that no window exceeds the limit, the tolerated overshoot and the debts."""
        # each of the three buckets may go into debt by one request of 500 tokens
        assert self.max_cost_in_a_window() <= WINDOW.limit(TENANT) + WINDOW.overshoot(TENANT) + 3 * 500


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


def test_within_its_limit_a_tenant_is_not_refused(fleet: Fleet) -> None:
    fleet.send_evenly(20, 0.9)
    assert fleet.refusals == []


def test_a_tenant_above_its_limit_gets_its_limit_and_no_more(fleet: Fleet) -> None:
    fleet.send_evenly(5, 0.5)
    fleet.send_evenly(30, 6)
    fleet.assert_within_overshoot()
    assert fleet.max_cost_in_a_window() >= WINDOW.limit(TENANT)
    assert {error.code for error in fleet.refusals} == {"rate_limited"}
    assert {error.status for error in fleet.refusals} == {429}


def test_refused_requests_get_increasing_retry_waits(fleet: Fleet) -> None:
    for _ in range(30):
        fleet.send(fleet.nodes["n0"])
    waits = [error.retry_us for error in fleet.refusals]
    assert all(wait is not None for wait in waits)
    assert waits == sorted(waits, key=lambda wait: wait or 0)
    assert waits[0] != waits[-1]


def test_a_refunded_request_does_not_count_against_the_limit(fleet: Fleet) -> None:
    for _ in range(100):
        for node in fleet.nodes.values():
            charged = deferreds.result_of(fleet.send(node))
            assert charged is not None
            node.rate_limiter.refund(charged)
            fleet.clock.advance(0)


def test_a_request_larger_than_the_bucket_is_admitted_and_its_debt_delays_the_next(fleet: Fleet) -> None:
    node = fleet.nodes["n0"]
    assert deferreds.result_of(fleet.send(node, 30_000.0)) is not None
    assert deferreds.result_of(fleet.send(node)) is None
    fleet.clock.advance(2.8)
    assert deferreds.result_of(fleet.send(node)) is not None


def test_while_the_owner_is_dead_its_backups_admit_a_bounded_amount(fleet: Fleet) -> None:
    fleet.send_evenly(10, 6)
    fleet.owners()[0].up = False
    admitted = len(fleet.admitted)
    fleet.send_evenly(3, 6)
    assert len(fleet.admitted) > admitted
    fleet.assert_within_overshoot()


def test_a_new_owner_starts_with_a_small_balance_and_then_admits_the_full_rate(fleet: Fleet) -> None:
    fleet.send_evenly(10, 6)
    owner = fleet.owners()[0]
    owner.up = False
    fleet.set_members([node for node in fleet.nodes.values() if node is not owner])
    fleet.send_evenly(12, 6)
    fleet.assert_within_overshoot()
    since = fleet.clock.seconds() - 2
    assert sum(cost for at, cost in fleet.admitted if at > since) >= 1.9 * TENANT.rate  # the full rate


def test_a_silent_owner_delays_only_the_first_request(fleet: Fleet) -> None:
    owner, *_ = fleet.owners()
    owner.silent = True
    node = next(node for node in fleet.nodes.values() if node is not owner and node is not fleet.owners()[1])
    first = fleet.send(node)
    assert not first.called
    fleet.clock.advance(rate_limiter.CALL_TIMEOUT_US / SECOND)
    assert deferreds.result_of(first) is not None
    assert deferreds.result_of(fleet.send(node)) is not None  # the silent owner is skipped


def test_an_owner_that_may_have_been_replaced_admits_no_more_than_a_backup(fleet: Fleet) -> None:
    fleet.send_evenly(10, 6)
    old = fleet.owners()[0]
    old.may_be_replaced = True  # it and the nodes below are cut off, with an old membership
    still_in_contact = [old, fleet.nodes["n0"], fleet.nodes["n1"]]
    admitted = sum(cost for _, cost in fleet.admitted)
    fleet.send_evenly(8, 6, still_in_contact)
    admitted = sum(cost for _, cost in fleet.admitted) - admitted
    assert admitted <= WINDOW.overshoot(TENANT)


def test_a_node_that_reaches_neither_owner_nor_backup_refuses_at_once(fleet: Fleet) -> None:
    for owner in fleet.owners():
        owner.up = False
    node = next(node for node in fleet.nodes.values() if node.up)
    assert deferreds.result_of(fleet.send(node)) is None
    assert (fleet.refusals[0].code, fleet.refusals[0].status) == ("not_ready", 503)
    assert node.rate_limiter.state()["rate_limits"]["unanswered"] == 1


def test_a_lowered_limit_applies_as_soon_as_the_nodes_have_it(fleet: Fleet) -> None:
    fleet.send_evenly(10, 6)
    low = configuration.Tenant(rate_unit="tokens", rate=1_000.0, burst=1_000.0)
    for node in fleet.nodes.values():
        node.follower.tenants["t"] = low
    admitted = sum(cost for _, cost in fleet.admitted)
    fleet.send_evenly(8, 6)
    admitted = sum(cost for _, cost in fleet.admitted) - admitted
    assert admitted <= WINDOW.limit(low) + WINDOW.overshoot(low) + 500


def test_a_member_without_the_tenants_configuration_is_skipped(fleet: Fleet) -> None:
    fleet.owners()[0].follower.tenants = {}
    node = fleet.owners()[2]
    assert deferreds.result_of(fleet.send(node)) is not None


def test_buckets_of_removed_tenants_are_removed(fleet: Fleet) -> None:
    fleet.send(fleet.nodes["n0"])
    owner = fleet.owners()[0]
    assert list(owner.rate_limiter.owner.buckets) == ["t"]
    owner.follower.tenants = {}
    owner.rate_limiter.sweep()
    assert owner.rate_limiter.state() == {}
