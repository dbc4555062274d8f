"""Scenarios with several kinds of faults: overlapping ones, and a single fault at the end of a run."""

from __future__ import annotations

import typing

from simulation import simulated_cluster
from simulation.scenarios import actions

if typing.TYPE_CHECKING:
    from simulation import server_model

LAST_FAULTS = (
    "kill node",
    "kill warden",
    "kill core",
    "kill all",
    "freeze core",
    "freeze node",
    "cut core",
    "cut node",
    "disk lost",
    "disk full",
    "worker dies",
    "new address",
)


def last_fault(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A core loses power right after the last change; in half of the runs it also loses its disk and restarts."""
    actions.confirm_changes(cluster, 6, 3)
    cluster.advance(22)
    cluster.advance_until_called(cluster.load_done, 60)
    cluster.advance_until_called(actions.begin_change(cluster), 20)
    target = actions.random_core(cluster)
    actions.lose_power(cluster, target.options.name)
    if cluster.rng.random() < 0.5:
        target.process.host.synced.clear()
        actions.restart(cluster, target.options.name)


def last_faults(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Right after the last change one fault is injected; the seed selects its kind from `LAST_FAULTS`."""
    actions.confirm_changes(cluster, 3, 3)
    cluster.advance(12)
    cluster.load.end()
    cluster.advance_until_called(cluster.load_done, 60)
    actions.confirm_next(cluster)
    fault = LAST_FAULTS[cluster.seed % len(LAST_FAULTS)]
    core_name = actions.random_core(cluster).options.name
    node_name = actions.random_node(cluster, owner="warden" in fault).options.name
    name = core_name if fault.endswith("core") else node_name
    match fault:
        case "kill node" | "kill warden" | "kill core":
            actions.kill(cluster, name, restart_after=2)
        case "kill all":
            for server in sorted(cluster.servers()):
                actions.kill(cluster, server, restart_after=1 + cluster.rng.random(), large=True)
        case "freeze core" | "freeze node":
            actions.freeze(cluster, name)
            actions.repair_later(cluster, 4, "wake", name, cluster.servers()[name].process.wake)
        case "cut core" | "cut node":
            actions.cut_off(cluster, name)
            actions.repair_later(cluster, 4, "heal", name, cluster.world.heal)
        case "worker dies":
            actions.kill(cluster, actions.random_worker(cluster))
        case _:
            _fail_core_at_end(cluster, fault, core_name)
    cluster.advance(14)


def _fail_core_at_end(cluster: simulated_cluster.SimulatedCluster, fault: str, name: str) -> None:
    match fault:
        case "disk lost":
            actions.lose_power(cluster, name, wiped=True)
            cluster.advance(1)
            actions.restart(cluster, name)
        case "disk full":
            cluster.fault("disk full", name)
            cluster.cores[name].process.host.disk_condition = "full"
        case "new address":
            actions.replace_core(cluster, name, "c4", "10.0.1.4")


def mixed(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Six random faults are injected 2 to 5 s apart, so that their effects overlap."""
    actions.confirm_changes(cluster, 20, 2)
    for _ in range(6):
        cluster.advance(2 + cluster.rng.random() * 3)
        MIXED_FAULTS[cluster.rng.randrange(len(MIXED_FAULTS))](cluster)
    cluster.advance(6)
    actions.heal(cluster, "all")
    cluster.advance(20)


def _kill_random_core(cluster: simulated_cluster.SimulatedCluster) -> None:
    name = actions.random_core(cluster).options.name
    actions.kill(cluster, name, restart_after=2 + cluster.rng.random() * 3)


def _kill_random_node(cluster: simulated_cluster.SimulatedCluster) -> None:
    name = actions.random_node(cluster).options.name
    actions.kill(cluster, name, restart_after=2 + cluster.rng.random() * 3)


def _random_server(cluster: simulated_cluster.SimulatedCluster) -> str:
    candidates: list[server_model.SimulatedCore | server_model.SimulatedNode] = [
        actions.random_core(cluster),
        actions.random_node(cluster),
    ]
    return cluster.rng.choice(candidates).options.name


def _freeze_random_server(cluster: simulated_cluster.SimulatedCluster) -> None:
    name = _random_server(cluster)
    actions.freeze(cluster, name)
    wake = cluster.servers()[name].process.wake
    actions.repair_later(cluster, 1 + cluster.rng.random() * 4, "wake", name, wake)


def _cut_random_server(cluster: simulated_cluster.SimulatedCluster) -> None:
    actions.cut_off(cluster, _random_server(cluster))
    actions.repair_later(cluster, 1 + cluster.rng.random() * 4, "heal", "all", cluster.world.heal)


def _kill_random_worker(cluster: simulated_cluster.SimulatedCluster) -> None:
    name = actions.random_worker(cluster)
    if cluster.workers[name].process.alive:
        actions.kill(cluster, name, restart_after=1 + cluster.rng.random() * 4)


def _stall_random_disk(cluster: simulated_cluster.SimulatedCluster) -> None:
    target = actions.random_core(cluster)
    cluster.fault("disk stalled", target.options.name)
    target.process.host.disk_condition = "stalled"
    actions.repair_later(cluster, 3, "disk mended", target.options.name, target.process.host.repair)


MIXED_FAULTS = (
    _kill_random_core,
    _kill_random_node,
    _freeze_random_server,
    _cut_random_server,
    _kill_random_worker,
    _stall_random_disk,
)
