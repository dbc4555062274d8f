"""The registry of all scenarios by name, and the function that plays one."""

from __future__ import annotations

import collections.abc
import typing

from simulation import simulated_cluster
from simulation.scenarios import configuration, cores, disks, load, mixed_faults, network, processes, workers

Scenario = collections.abc.Callable[[simulated_cluster.SimulatedCluster], None]

# Reports and recordings follow this order: append new scenarios at the end.
_ALL: tuple[Scenario, ...] = (
    processes.calm,
    processes.kill_node,
    processes.kill_owner,
    processes.kill_pair,
    cores.kill_core,
    cores.power_after_ack,
    processes.kill_many,
    processes.roll_nodes,
    cores.roll_cores,
    processes.upgrade,
    processes.kill_hall,
    cores.kill_all_cores,
    processes.kill_all,
    disks.disk_lost,
    disks.disk_unhealthy,
    processes.freeze,
    network.cut_core_one,
    network.cut_core_two,
    network.cut_core_off,
    network.cut_node,
    network.one_way,
    network.slow_link,
    network.lossy_link,
    cores.new_address,
    cores.replace_all,
    workers.worker_crash,
    workers.worker_vanish,
    workers.worker_leaves,
    workers.worker_storm,
    workers.worker_breaks,
    workers.worker_freeze,
    workers.other_pool,
    load.crowd,
    load.hot_key,
    load.many_talks,
    configuration.burst,
    configuration.race,
    configuration.many_routes,
    network.blind_owner,
    network.blind_node,
    workers.load_reports,
    configuration.route_moves,
    configuration.pool_comes_and_goes,
    configuration.zones_move,
    configuration.cap_moves,
    configuration.release,
    configuration.operators,
    processes.wake_without_core,
    processes.freeze_many,
    disks.power_steps,
    disks.empty_while_down,
    disks.disk_old,
    network.cut_sides,
    network.flap,
    network.cut_hall,
    network.platform_bad,
    workers.worker_release,
    workers.worker_returns,
    workers.worker_garbles,
    load.rush,
    load.bad_requesters,
    load.retriers,
    load.twice_at_once,
    load.claim_then_death,
    mixed_faults.last_fault,
    mixed_faults.last_faults,
    mixed_faults.mixed,
    cores.closing_wipe,
    cores.five_cores,
    cores.planned_replace,
    cores.seeds_turned,
)

SCENARIOS: dict[str, Scenario] = {scenario.__name__: scenario for scenario in _ALL}

# Arguments of SimulatedCluster for the scenarios whose cluster differs from the default one.
CLUSTER_ARGUMENTS: dict[str, dict[str, typing.Any]] = {"five_cores": {"cores": 5, "seats": 5, "copies": 3}}


def play(scenario: str, seed: int, shape: str = "magnolia") -> simulated_cluster.SimulatedCluster:
    """Play a scenario to its end.

    Args:
        scenario: The scenario's name.
        seed: The seed of the random number generator.
        shape: The deployment's shape, a key of `benchmarks.fleet.SHAPES`.

    Returns:
        The cluster after the end of the run, with its event log.
    """
    cluster = simulated_cluster.SimulatedCluster(seed, shape, **CLUSTER_ARGUMENTS.get(scenario, {}))
    cluster.begin()
    SCENARIOS[scenario](cluster)
    cluster.load.end()  # no new requests are sent; requests in flight run to their end
    cluster.seconds = 0
    cluster.end()
    return cluster
