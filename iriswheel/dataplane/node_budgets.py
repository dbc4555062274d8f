"""The retry budgets of one node's requests, one for each pool."""

from __future__ import annotations

import typing

from iriswheel.configuration import schema
from iriswheel.dataplane import retry_budget

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.dataplane import interfaces


class PoolRequest(typing.Protocol):
    """The fields of a request that are needed to find its budget."""

    pool_name: str
    pool: configuration.Pool


class NodeBudgets:
    """The retry budgets of this node's requests, by pool.

    If a pool's owner selects the workers, the owner enforces one budget for all nodes, and a new owner rebuilds it
    from the budgets that the nodes export. If nodes select the workers, each node enforces its own budget.
    """

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node
        self.runtime = node.runtime
        self.started_at = self.runtime.now()
        self.budgets: dict[str, retry_budget.Budget] = {}  # by pool name
        # (time, member count) of the fleet within the retry window, the largest count first
        self.fleet_sizes: list[tuple[int, int]] = []

    def budget(self, request: PoolRequest) -> retry_budget.Budget:
        """Return this node's retry budget for the pool of a request."""
        budget = self.budgets.get(request.pool_name)
        if budget is None:
            options = self.node.options
            budget = retry_budget.Budget(ratio=options.retry_ratio, window_us=options.retry_window_us)
            self.budgets[request.pool_name] = budget
        if request.pool.election == schema.Election.NODE:  # no pool owner enforces a common budget
            budget.slack = self.slack()
        return budget

    def slack(self) -> int:
        """Return this node's part of the slack, the retries that the fleet may send in a window beyond the ratio.

        Members that left within the window may have spent their parts, so the fleet's slack is divided by one more
        than the largest member count in the window. In its first window a process has no part, because the former
        process of this node may have spent it.
        """
        options, now, members = self.node.options, self.runtime.now(), len(self.node.follower.membership.members)
        since = now - options.retry_window_us
        larger = [(at, size) for at, size in self.fleet_sizes if at > since and size > members]
        self.fleet_sizes = [*larger, (now, members)]
        if self.started_at > since:
            return 0
        return int(options.retry_slack // (self.fleet_sizes[0][1] + 1))

    def export(self, pool_name: str, now: int) -> tuple[dict[str, int], list[int]]:
        """Return the first attempts and retries for a pool with their ages, as `retry_budget.Budget.export` does."""
        budget = self.budgets.get(pool_name)
        return ({}, []) if budget is None else budget.export(now)
