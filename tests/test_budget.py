"""What a node takes for its part of the fleet's retry budget."""

import types

import pytest

from iriswheel.configuration import configuration
from iriswheel.dataplane import edge_protocol, node_budgets
from iriswheel.runtime import options, scheduler, units

S = units.SECOND_US


class TestNodeBudgets:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.now = 100 * S
        self.members = [f"n{k}" for k in range(9)]
        self.attempt_ids = 0

    def budgets(self, **more: float) -> node_budgets.NodeBudgets:
        """The budgets of a node whose process starts now."""
        node = types.SimpleNamespace(
            runtime=scheduler.Runtime(None, now=lambda: self.now),
            edge_protocol=edge_protocol.EdgeProtocol(),
            options=options.Options("node", **more),
            follower=types.SimpleNamespace(membership=types.SimpleNamespace(members=self.members)),
        )
        return node_budgets.NodeBudgets(node)

    def spent(self, d: node_budgets.NodeBudgets, firsts: int = 0) -> int:
        """How many repeats it grants now, after some first sends."""
        x = types.SimpleNamespace(pool_name="desk", pool=configuration.Pool(election="node"))
        for _ in range(firsts):
            self.attempt_ids += 1
            d.budget(x).record_first_attempt(self.now, f"x{self.attempt_ids}")
        count = 0
        while d.budget(x).spend(self.now):
            count += 1
        return count

    def test_ratio_and_window_are_those_of_the_options(self) -> None:
        for more, granted in (({}, 20), ({"retry_ratio": 0.1}, 10)):
            d = self.budgets(retry_window_us=4 * S, **more)
            assert (self.spent(d, 100), self.spent(d)) == (granted, 0)
            self.now += 5 * S
            assert self.spent(d, 100) == granted

    def test_a_new_process_takes_none_of_what_its_former_incarnation_may_have_spent(self) -> None:
        self.now += 11 * S
        d = self.budgets(retry_slack=50)
        assert self.spent(d) == 1  # the one that is always free
        self.now += 11 * S
        assert self.spent(d) == 5

    def test_nodes_that_left_within_the_window_may_have_spent_their_shares(self) -> None:
        d = self.budgets(retry_slack=50)
        self.now += 11 * S
        assert d.slack() == 5
        del self.members[4:]
        self.now += 5 * S
        assert d.slack() == 5
        self.now += 11 * S
        assert d.slack() == 10
