"""Scenarios of the cores' disks: lost, full, slow, stalled and outdated disks, and a power loss during a write."""

from __future__ import annotations

import functools
import typing

from simulation import simulated_cluster
from simulation.scenarios import actions

if typing.TYPE_CHECKING:
    from simulation import host_model, server_model


def disk_lost(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Twice a random core loses its power and its disk, and restarts empty."""
    actions.confirm_changes(cluster, 10)
    for _ in range(2):
        cluster.advance(6 + cluster.rng.random())
        name = actions.random_core(cluster).options.name
        actions.lose_power(cluster, name, wiped=True)
        cluster.advance(1 + cluster.rng.random() * 3)
        actions.restart(cluster, name)
        cluster.advance(15)


def disk_unhealthy(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A random core's disk is full for 4 to 9 s; then a random core's disk is slow, then one is stalled."""
    actions.confirm_changes(cluster, 10, 2)
    for condition in ("full", "slow", "stalled"):
        cluster.advance(4 + cluster.rng.random())
        target = actions.random_core(cluster)
        cluster.fault(f"disk {condition}", target.options.name)
        target.process.host.disk_condition = condition
        cluster.advance(4 + cluster.rng.random() * 5)
        target.process.host.repair()
        cluster.repair("disk mended", target.options.name)
        cluster.advance(6)


def power_steps(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The head, a middle core and the tail, in random order, lose power between two steps of a write.

    Some of them lose their disk too.
    """
    for position in cluster.rng.sample(range(3), 3):
        cluster.advance(4)
        target = _core_at(cluster, position) or actions.random_core(cluster)
        host = target.process.host
        host.power_loss_step = cluster.rng.choice(["before sync", "after sync", "after answer"])
        change = actions.begin_change(cluster)
        if _loses_power(cluster, host, 5):
            cluster.fault(f"power {host.power_lost_at_step}", target.options.name)
            if cluster.rng.random() < 0.4:
                host.synced.clear()
        host.power_loss_step = None
        cluster.advance(2 + cluster.rng.random() * 4)
        if not host.power:
            actions.restart(cluster, target.options.name)
        cluster.advance_until_called(change, 30)
        cluster.advance(14)


def _loses_power(cluster: simulated_cluster.SimulatedCluster, host: host_model.Host, seconds: float) -> bool:
    return cluster.advance_until(lambda: not host.power, seconds)


def _core_at(cluster: simulated_cluster.SimulatedCluster, position: int) -> server_model.SimulatedCore | None:
    """The core at a position of the chain in its own view; the last core where the chain is shorter."""
    for candidate in cluster.cores.values():
        view = candidate.consensus.view
        if view is None:
            continue
        if candidate.chain.position.index_in(view.number) == min(position, len(view.chain) - 1):
            return candidate
    return None


def empty_while_down(cluster: simulated_cluster.SimulatedCluster) -> None:
    """While one core is down, another one loses its disk and restarts empty."""
    actions.confirm_changes(cluster, 8, 3)
    cluster.advance(6)
    down, wiped = cluster.rng.sample(sorted(cluster.cores), 2)
    actions.lose_power(cluster, down)
    cluster.advance(5 + cluster.rng.random() * 3)
    actions.lose_power(cluster, wiped, wiped=True)
    cluster.advance(1 + cluster.rng.random() * 3)
    actions.restart(cluster, wiped)
    cluster.advance(4 + cluster.rng.random() * 6)
    actions.restart(cluster, down)
    cluster.advance(20)


def disk_old(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The head restarts with an outdated disk that lacks two changes: first alone, then after all cores lost power.

    In the last round the tail restarts two seconds after the others, so the core with the outdated disk belongs to the
    first majority. That majority must order the chain by the last entry of each log, or acknowledged changes are lost.
    """
    cluster.advance(2)
    for together, tail_delay_s in ((False, 0), (True, 0), (True, 2)):
        target = cluster.head() or actions.random_core(cluster)
        outdated = dict(target.process.host.synced)
        for _ in range(2):
            actions.confirm_next(cluster)
        tail = cluster.tail()
        down = sorted(cluster.cores) if together else [target.options.name]
        for name in down:
            actions.lose_power(cluster, name)
        target.process.host.synced = outdated
        cluster.advance(cluster.rng.choice([0.1, 0.5, 3]))
        late_core = tail.options.name if tail is not None and tail_delay_s else None
        for name in down:
            if name != late_core:
                actions.restart(cluster, name)
        if late_core is not None:
            start = functools.partial(cluster.start_core, late_core, *cluster.places[late_core])
            actions.repair_later(cluster, tail_delay_s, "start", late_core, start)
        cluster.advance(14)
