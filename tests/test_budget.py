"""A node's own retry budget: ratio and window from the options, and its part of the fleet's free retries."""

import types
from typing import Any

import pytest

from iriswheel.configuration import configuration
from iriswheel.dataplane import edge_protocol, node_budgets
from iriswheel.runtime import options, scheduler, units

SECOND = units.SECOND_US


class TestNodeBudgets:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.now = 100 * SECOND
        self.members = [f"n{k}" for k in range(9)]
        self.attempt_ids = 0

    def budgets(self, **more: Any) -> node_budgets.NodeBudgets:  # noqa: ANN401 - fields of Options
        """Return the retry budgets of a node whose process starts now."""
        node = types.SimpleNamespace(
            runtime=scheduler.Runtime(None, now=lambda: self.now),
            edge_protocol=edge_protocol.EdgeProtocol(),
            options=options.Options("node", **more),
            follower=types.SimpleNamespace(membership=types.SimpleNamespace(members=self.members)),
        )
        return node_budgets.NodeBudgets(node)

    def spend_all(self, budgets: node_budgets.NodeBudgets, first_attempts: int = 0) -> int:
        """Record some first attempts, spend the whole budget, and return the number of retries it allowed."""
        request = types.SimpleNamespace(pool_name="desk", pool=configuration.Pool(election="node"))
        for _ in range(first_attempts):
            self.attempt_ids += 1
            budgets.budget(request).record_first_attempt(self.now, f"x{self.attempt_ids}")
        count = 0
        while budgets.budget(request).spend(self.now):
            count += 1
        return count

    def test_ratio_and_window_are_those_of_the_options(self) -> None:
        for more, expected_retries in (({}, 20), ({"retry_ratio": 0.1}, 10)):
            budgets = self.budgets(retry_window_us=4 * SECOND, **more)
            assert (self.spend_all(budgets, 100), self.spend_all(budgets)) == (expected_retries, 0)
            self.now += 5 * SECOND
            assert self.spend_all(budgets, 100) == expected_retries

    def test_a_new_process_has_no_free_retries_while_its_former_process_may_have_spent_them(self) -> None:
        self.now += 11 * SECOND
        budgets = self.budgets(retry_slack=50)
        assert self.spend_all(budgets) == 1  # one retry per window is always allowed
        self.now += 11 * SECOND
        assert self.spend_all(budgets) == 5

    def test_free_retries_are_divided_by_the_largest_member_count_in_the_window(self) -> None:
        budgets = self.budgets(retry_slack=50)
        self.now += 11 * SECOND
        assert budgets.slack() == 5
        del self.members[4:]
        self.now += 5 * SECOND
        assert budgets.slack() == 5
        self.now += 11 * SECOND
        assert budgets.slack() == 10
