"""Scenarios of the cores: kills, restarts, replacements, and the loss of all cores at once."""

from __future__ import annotations

import functools

from simulation import addresses, simulated_cluster
from simulation.scenarios import actions


def kill_core(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Three times a random core is killed and restarted."""
    actions.confirm_changes(cluster, 12, 3)
    for _ in range(3):
        cluster.advance(5 + cluster.rng.random())
        target = actions.random_core(cluster)
        actions.kill(cluster, target.options.name, restart_after=1 + cluster.rng.random() * 6)
        cluster.advance(11)


def kill_all_cores(cluster: simulated_cluster.SimulatedCluster) -> None:
    """All cores are killed at once and restarted, each 1 to 6 s later."""
    actions.confirm_changes(cluster)
    cluster.advance(8)
    for name in sorted(cluster.cores):
        actions.kill(cluster, name, restart_after=1 + cluster.rng.random() * 5)
    cluster.advance(25)


def roll_cores(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Rolling restart: each core is shut down gracefully and restarted before the next one."""
    actions.confirm_changes(cluster, 10)
    for name in sorted(cluster.cores):
        cluster.advance(6)
        actions.stop(cluster, name, 5)
        cluster.advance(0.5 + cluster.rng.random())
        cluster.start_core(name, *cluster.places[name])
        cluster.advance(8)


def power_after_ack(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A core loses power, and sometimes its disk, just after a change was acknowledged."""
    for _ in range(3):
        cluster.advance(4)
        cluster.advance_until_called(actions.begin_change(cluster), 20)
        candidates = (cluster.head(), cluster.tail(), actions.random_core(cluster))
        target = cluster.rng.choice([candidate for candidate in candidates if candidate is not None])
        name = target.options.name
        actions.lose_power(cluster, name)
        if cluster.rng.random() < 0.4:
            target.process.host.synced.clear()
        cluster.advance(2 + cluster.rng.random() * 8)
        actions.restart(cluster, name)
        cluster.advance(16)


def new_address(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A core is lost permanently; one with an empty disk starts at a new address."""
    actions.confirm_changes(cluster, 12, 3)
    cluster.advance(6)
    actions.replace_core(cluster, actions.random_core(cluster).options.name, "c4", "10.0.1.4")
    cluster.advance(25)


def replace_all(cluster: simulated_cluster.SimulatedCluster) -> None:
    """All cores are replaced, one after the other, by ones with empty disks at new addresses."""
    actions.confirm_changes(cluster, 14, 3)
    for number, name in enumerate(sorted(cluster.cores), 4):
        cluster.advance(5)
        actions.replace_core(cluster, name, f"c{number}", f"10.0.1.{number}")
        cluster.advance(13)


def planned_replace(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A core is replaced as planned: the new one starts, then the old one stops. Then all lose power, one its disk."""
    for number in (4, 5):
        cluster.advance(4)
        name = cluster.rng.choice(sorted(cluster.cores))
        cluster.start_core(f"c{number}", f"10.0.1.{number}", cluster.cores[name].options.zone)
        cluster.advance(1 + cluster.rng.random() * 3)
        cluster.fault("stop", name)
        actions.stop(cluster, name, 10)
        del cluster.cores[name]
        cluster.repair("stop", name)
        actions.confirm_next(cluster)
        actions.blackout(cluster, cluster.rng.sample(sorted(cluster.cores), 1))
        cluster.advance(10)


def seeds_turned(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Cores are replaced one after the other, and the seeds follow; then some nodes and all cores restart."""
    actions.confirm_changes(cluster, 8, 3)
    for number in (4, 5, 6):
        cluster.advance(4)
        actions.replace_core(cluster, sorted(cluster.cores)[0], f"c{number}", f"10.0.1.{number}")
        cluster.seeds = [f"{cluster.places[name][0]}:{addresses.PEER_PORT}" for name in sorted(cluster.cores)]
        cluster.advance(6)
    for name in sorted(cluster.nodes)[:3]:
        actions.kill(cluster, name, restart_after=0.5)
        cluster.advance(2)
    for name in sorted(cluster.cores):
        actions.kill(cluster, name, restart_after=0.6, large=True)
    cluster.advance(14)


def closing_wipe(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Right after a change was acknowledged, all cores lose power and one of them also loses its disk."""
    for _ in range(4):
        cluster.advance(5)
        actions.confirm_next(cluster)
        actions.blackout(cluster, cluster.rng.sample(sorted(cluster.cores), 1))
        cluster.advance(9)


def five_cores(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Five cores tolerate two losses: two are killed, two lose their disks, all lose power right after a change."""
    actions.confirm_changes(cluster, 6, 4)
    cluster.advance_until(lambda: _chain_length(cluster) == 5, 10)
    cluster.advance(4)
    for name in cluster.rng.sample(sorted(cluster.cores), 2):
        actions.kill(cluster, name, restart_after=4)
    cluster.advance(14)
    for name in cluster.rng.sample(sorted(cluster.cores), 2):
        actions.lose_power(cluster, name, wiped=True)
        cluster.advance(cluster.rng.random())
        start = functools.partial(cluster.start_core, name, *cluster.places[name])
        actions.repair_later(cluster, 2, "start", name, start)
    cluster.advance(12)
    for _ in range(2):
        actions.confirm_next(cluster)
        actions.blackout(cluster, cluster.rng.sample(sorted(cluster.cores), 2))
        cluster.advance(10)


def _chain_length(cluster: simulated_cluster.SimulatedCluster) -> int:
    tail = cluster.tail()
    view = None if tail is None else tail.consensus.view
    return 0 if view is None else len(view.chain)
