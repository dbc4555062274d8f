"""This node's parts of the pools' retry budgets."""

from __future__ import annotations

import typing

from iriswheel.configuration import schema
from iriswheel.dataplane import retry_budget

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.dataplane import interfaces


class PoolRequest(typing.Protocol):
    """A request as far as a budget concerns it."""

    pool_name: str
    pool: configuration.Pool


class NodeBudgets:
    """The first attempts and retries of this node, by pool.

    Where a pool owner selects the workers it keeps the budget of all nodes, and starts from these parts when it
    is new; else each node keeps to its own part.
    """

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node
        self.runtime = node.runtime
        self.started_at = self.runtime.now()
        self.budgets: dict[str, retry_budget.Budget] = {}  # by pool name
        # (when, members) of the fleet over the retry window, the largest first
        self.fleet_sizes: list[tuple[int, int]] = []

    def budget(self, request: PoolRequest) -> retry_budget.Budget:
        """Return this node's part of the retry budget of a request's pool."""
        budget = self.budgets.get(request.pool_name)
        if budget is None:
            options = self.node.options
            budget = retry_budget.Budget(ratio=options.retry_ratio, window_us=options.retry_window_us)
            self.budgets[request.pool_name] = budget
        if request.pool.election == schema.Election.NODE:  # no pool owner keeps the fleet's budget
            budget.slack = self.slack()
        return budget

    def slack(self) -> int:
        """Return this node's part of the free retries that the whole fleet has in a retry window.

        Members that were there within the window may have spent their parts, so the largest
        fleet counts; and this node's former process may have spent this node's.
        """
        options, now, members = self.node.options, self.runtime.now(), len(self.node.follower.membership.members)
        since = now - options.retry_window_us
        larger = [(at, size) for at, size in self.fleet_sizes if at > since and size > members]
        self.fleet_sizes = [*larger, (now, members)]
        if self.started_at > since:
            return 0
        return int(options.retry_slack // (self.fleet_sizes[0][1] + 1))

    def export(self, pool_name: str, now: int) -> tuple[dict[str, int], list[int]]:
        """Return a pool's first attempts and retries with their ages, as `Budget.export` does."""
        budget = self.budgets.get(pool_name)
        return ({}, []) if budget is None else budget.export(now)
