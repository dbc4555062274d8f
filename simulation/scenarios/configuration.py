"""Scenarios of configuration changes: bursts, races of operators, and changes to routes and pools under load."""

from __future__ import annotations

import typing

from iriswheel.runtime import units
from simulation import operator_model, simulated_cluster
from simulation.scenarios import actions

LOAD_PATH = "/v1/complete"


def burst(cluster: simulated_cluster.SimulatedCluster) -> None:
    """25 changes are submitted 50 ms apart while a core is killed and restarted."""
    changes = actions.confirm_changes(cluster, 25, 0.05)
    cluster.advance(3)
    actions.kill(cluster, actions.random_core(cluster).options.name, restart_after=3)
    cluster.advance_until_called(changes, 60)
    cluster.advance(14)


def race(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Two operators submit changes concurrently while the head of the chain is killed."""
    other = operator_model.Operator(cluster, cluster.operator_runtime, "other")

    async def change_all(operator: operator_model.Operator, probes: range) -> None:
        for probe in probes:
            await operator.change(cluster.with_probe(probe), attempts=60)

    both = [
        cluster.operator_runtime.spawn(change_all(cluster.operator, range(1, 20, 2)), simulated_cluster.log),
        cluster.operator_runtime.spawn(change_all(other, range(2, 21, 2)), simulated_cluster.log),
    ]
    cluster.advance(0.5 + cluster.rng.random())
    head = cluster.head()
    if head is not None:
        actions.kill(cluster, head.options.name, restart_after=3)
    cluster.advance_until(lambda: all(changes.called for changes in both), 60)
    cluster.advance(14)


def operators(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Two operators patch the same field; then plans are confirmed twice, when outdated, and on another core."""
    other = operator_model.Operator(cluster, cluster.operator_runtime, "other")

    async def patch_cap(operator: operator_model.Operator, caps: tuple[int, int, int], first_probe: int) -> None:
        for turn, cap in enumerate(caps):
            document = cluster.with_probe(first_probe + 2 * turn)
            document["pools"][cluster.pool]["cap"] = cap
            await operator.change(document, patch=True)

    both = [
        cluster.operator_runtime.spawn(patch_cap(cluster.operator, (11, 13, 15), 1), simulated_cluster.log),
        cluster.operator_runtime.spawn(patch_cap(other, (12, 14, 16), 2), simulated_cluster.log),
    ]
    cluster.advance(0.3 + cluster.rng.random())
    head = cluster.head()
    if head is not None and cluster.rng.random() < 0.5:
        actions.kill(cluster, head.options.name, restart_after=3)
    cluster.advance_until(lambda: all(changes.called for changes in both), 60)
    stale_plans = cluster.operator.stale_plans(cluster.with_probe(cluster.newest_probe + 1))
    cluster.advance_until_called(cluster.operator_runtime.spawn(stale_plans, simulated_cluster.log), 60)
    cluster.advance(5)


def many_routes(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The configuration grows by 400 routes while a core is killed and restarted."""
    routes = {f"r{number}": {"path": f"/r/{number}", "pool": cluster.pool} for number in range(400)}

    async def add_routes() -> None:
        for turn in range(1, 5):
            part = dict(list(routes.items())[: turn * 100])
            await cluster.operator.change(cluster.with_probe(turn, part))
            await cluster.operator_runtime.sleep(3 * units.SECOND_US)

    cluster.operator_runtime.spawn(add_routes(), simulated_cluster.log)
    cluster.advance(8)
    actions.kill(cluster, actions.random_core(cluster).options.name, restart_after=3)
    cluster.advance(16)


def _start_spare_pool(cluster: simulated_cluster.SimulatedCluster, workers: int = 2) -> None:
    """Start workers for a second pool, and add the pool to the operator's configuration."""
    for number in range(workers):
        cluster.start_worker(f"s{number + 1}", f"10.0.3.{90 + number}")
        cluster.platform.put(f"s{number + 1}", pool="spare")
    cluster.configuration["pools"]["spare"] = dict(cluster.configuration["pools"][cluster.pool])


def _route_of_load(cluster: simulated_cluster.SimulatedCluster) -> str:
    """The name of the route that the load generator uses."""
    name: str = next(name for name, route in cluster.configuration["routes"].items() if route["path"] == LOAD_PATH)
    return name


def _move_load(cluster: simulated_cluster.SimulatedCluster, pool: str, patch: bool) -> None:
    def move(document: actions.Document) -> None:
        document["routes"][_route_of_load(cluster)].update(pool=pool)

    actions.confirm_edit(cluster, move, patch)


def route_moves(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The route of the load moves between two serving pools while clients retry; pool owners are killed meanwhile."""
    _start_spare_pool(cluster, 3)
    cluster.extra_probe_paths = [LOAD_PATH]
    for turn in range(5):
        cluster.advance(4 + cluster.rng.random() * 2)
        identifiers = [f"twin{turn}-{number}" for number in range(10)]
        for identifier in identifiers:
            actions.begin_attempt(cluster, identifier, 1)
        _move_load(cluster, ("spare", cluster.pool)[turn % 2], patch=turn % 2 == 0)
        for identifier in identifiers:  # as if the clients had not received the first answer
            actions.begin_attempt(cluster, identifier, 2)
        if turn in (1, 3):
            target = actions.random_node(cluster, owner=True)
            cluster.advance(cluster.rng.random() * 2)
            actions.kill(cluster, target.options.name, restart_after=3)
            cluster.advance(8)
    cluster.advance(6)


def pool_comes_and_goes(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A pool and its route are added and removed twice while the other routes serve; a core is killed meanwhile."""

    def add(document: actions.Document) -> None:
        document["routes"].update(spare={"path": "/spare", "pool": "spare"})

    def remove(document: actions.Document) -> None:
        del document["routes"]["spare"], document["pools"]["spare"]

    cluster.extra_probe_paths = ["/spare/x"]
    for turn in range(4):
        cluster.advance(4)
        if turn % 2 == 0:
            _start_spare_pool(cluster)
            actions.confirm_edit(cluster, add)
        else:
            actions.confirm_edit(cluster, remove, patch=True)
        if turn == 1:
            actions.kill(cluster, actions.random_core(cluster).options.name, restart_after=3)
    cluster.advance(8)


def _restrict_zones(cluster: simulated_cluster.SimulatedCluster, zones: list[str], patch: bool) -> None:
    def restrict(document: actions.Document) -> None:
        document["routes"].update(hall={"path": "/hall", "pool": cluster.pool, "zones": zones})

    actions.confirm_edit(cluster, restrict, patch)


def zones_move(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A route is restricted to other zones five times while nodes are killed."""
    zones = sorted(set(cluster.zones))
    cluster.extra_probe_paths = ["/hall/x"]
    for turn in range(5):
        cluster.advance(3)
        some = sorted(cluster.rng.sample(zones, 1 + cluster.rng.randrange(len(zones) - 1)))
        _restrict_zones(cluster, some, patch=turn % 2 == 1)
        if turn in (1, 3):
            target = actions.random_node(cluster, owner=False)
            actions.kill(cluster, target.options.name, restart_after=3)
    cluster.advance(8)


def _set_cap(cluster: simulated_cluster.SimulatedCluster, cap: int) -> None:
    def edit(document: actions.Document) -> None:
        document["pools"][cluster.pool].update(cap=cap)

    actions.confirm_edit(cluster, edit)


def _open_conversations(cluster: simulated_cluster.SimulatedCluster, count: int, prefix: str) -> None:
    for number in range(count):
        actions.begin_request(cluster, "short", "phrases", f"{prefix}-{number}")
        cluster.advance(0.1)


def cap_moves(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The cap on conversations is lowered below the number of open ones, then raised, while more are opened."""
    actions.confirm_changes(cluster, 2, 2)
    cluster.advance(6)
    cluster.load.max_attempts = 1
    _set_cap(cluster, 4)
    _open_conversations(cluster, 30, "low")
    _set_cap(cluster, 2)
    _open_conversations(cluster, 15, "lower")
    target = actions.random_node(cluster, owner=True)
    actions.kill(cluster, target.options.name, restart_after=3)
    cluster.advance(6)
    _open_conversations(cluster, 10, "after")
    _set_cap(cluster, 10)
    cluster.advance(2.5)
    _open_conversations(cluster, 30, "high")
    cluster.advance(6)


def release(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The cap is reached: expired idle conversations must free their slots, also after the pool owner has changed."""
    cluster.load.conversations = 0

    def shorten(document: dict[str, dict[str, dict[str, typing.Any]]]) -> None:
        document["pools"][cluster.pool].update(cap=3)
        for terms in document["terms"].values():
            terms.update(lifetime_us=8 * units.SECOND_US)

    actions.confirm_edit(cluster, shorten)
    cluster.load.max_attempts = 1
    cluster.advance(2.5)
    for turn in range(3):
        _open_conversations(cluster, 3 * cluster.worker_count + 4, f"rel-{turn}")
        if turn == 1:
            target = actions.random_node(cluster, owner=True)
            actions.kill(cluster, target.options.name, restart_after=3)
        cluster.advance(17)
