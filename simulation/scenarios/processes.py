"""Scenarios of processes of nodes and of whole zones: kills, restarts, freezes, and a change of version."""

from __future__ import annotations

from simulation import simulated_cluster
from simulation.scenarios import actions


def calm(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The operator submits changes, and no fault is injected."""
    actions.confirm_changes(cluster)
    cluster.advance(40)


def kill_node(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Three times a node that is not the pool owner is killed and restarted."""
    actions.confirm_changes(cluster)
    for _ in range(3):
        cluster.advance(6)
        target = actions.random_node(cluster, owner=False)
        actions.kill(cluster, target.options.name, restart_after=2 + cluster.rng.random() * 4)
        cluster.advance(6)


def kill_owner(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The pool owner is killed and restarted, then its successor."""
    actions.confirm_changes(cluster)
    for _ in range(2):
        cluster.advance(6 + cluster.rng.random())
        target = actions.random_node(cluster, owner=True)
        actions.kill(cluster, target.options.name, restart_after=3 + cluster.rng.random() * 4)
        cluster.advance(14)


def kill_pair(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The pool owner is killed, and the tail up to 1.2 s later, about when a new pool owner is appointed.

    The newest membership may be lost with the tail.
    """
    actions.confirm_changes(cluster, 10, 4)
    for _ in range(3):
        cluster.advance(6 + cluster.rng.random())
        pool_owner_node = actions.random_node(cluster, owner=True)
        actions.kill(cluster, pool_owner_node.options.name, restart_after=0.4 + cluster.rng.random() * 3)
        cluster.advance(cluster.rng.random() * 1.2)
        tail = cluster.tail() or actions.random_core(cluster)
        actions.kill(cluster, tail.options.name, restart_after=1 + cluster.rng.random() * 3)
        cluster.advance(12)


def kill_many(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The pool owner and the nodes that hold its copies, or half of all nodes, are killed at once."""
    actions.confirm_changes(cluster)
    cluster.advance(8)
    names = sorted(cluster.nodes)
    cluster.rng.shuffle(names)
    pool_owner_node = cluster.owner()
    targets = names[: len(names) // 2]
    if pool_owner_node is not None and cluster.rng.random() < 0.5:
        copies = pool_owner_node.pool_owners[cluster.pool].assignment.copies
        targets = [pool_owner_node.options.name] + [identifier.rsplit("-", 1)[0] for identifier in copies]
    for name in sorted(set(targets)):
        actions.kill(cluster, name, restart_after=2 + cluster.rng.random() * 6, large=True)
    cluster.advance(25)


def kill_all(cluster: simulated_cluster.SimulatedCluster) -> None:
    """All cores and nodes are killed at once and restarted, each 1 to 2 s later."""
    actions.confirm_changes(cluster)
    cluster.advance(8)
    for name in sorted(cluster.servers()):
        actions.kill(cluster, name, restart_after=1 + cluster.rng.random(), large=True)
    cluster.advance(25)


def kill_hall(cluster: simulated_cluster.SimulatedCluster) -> None:
    """All cores and nodes of one zone lose power and restart 4 to 10 s later."""
    actions.confirm_changes(cluster)
    cluster.advance(8)
    zone = cluster.rng.choice(sorted(set(cluster.zones)))
    names = cluster.servers_in(zone)
    for name in names:
        cluster.fault("power", name, True)
        cluster.servers()[name].process.host.fail()
    cluster.advance(4 + cluster.rng.random() * 6)
    for name in names:
        actions.restart(cluster, name)
    cluster.advance(20)


def roll_nodes(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Rolling restart: four nodes are shut down gracefully and restarted, one after the other."""
    actions.confirm_changes(cluster)
    for name in sorted(cluster.nodes)[:4]:
        cluster.advance(4)
        actions.stop(cluster, name, 40)
        cluster.advance(0.5 + cluster.rng.random())
        cluster.start_node(name, *cluster.places[name])
        cluster.advance_until_ready(name, 10)


def upgrade(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Half of the cores and nodes restart with the next protocol version; then half of those go back to the old one."""
    actions.confirm_changes(cluster, 16, 3)
    next_version = cluster.nodes["n1"].runtime.protocol_version + 1
    half = [*sorted(cluster.nodes), *sorted(cluster.cores)][::2]
    upgrades = [(name, next_version) for name in half]
    downgrades = [(name, next_version - 1) for name in half[::2]]
    for name, version in upgrades + downgrades:
        cluster.protocol_versions[name] = version
        actions.stop(cluster, name, 40)
        cluster.advance(0.5)
        if name in cluster.nodes:
            cluster.start_node(name, *cluster.places[name])
            cluster.advance_until_ready(name, 10)
        else:
            cluster.start_core(name, *cluster.places[name])
            cluster.advance(6)


def freeze(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The pool owner, then a node, then a core freezes for 1 to 8 s and wakes."""
    actions.confirm_changes(cluster, 12, 3)
    for pick in (
        lambda: actions.random_node(cluster, owner=True),
        lambda: actions.random_node(cluster),
        lambda: actions.random_core(cluster),
    ):
        cluster.advance(6 + cluster.rng.random())
        target = pick()
        actions.freeze(cluster, target.options.name)
        cluster.advance(1 + cluster.rng.random() * 7)
        target.process.wake()
        cluster.repair("wake", target.options.name)
        cluster.advance(9)


def freeze_many(cluster: simulated_cluster.SimulatedCluster) -> None:
    """All cores and nodes of a zone freeze together and wake; then half of all nodes do."""
    actions.confirm_changes(cluster, 10, 3)
    zone = cluster.rng.choice(sorted(set(cluster.zones)))
    in_zone = cluster.servers_in(zone)
    half = cluster.rng.sample(sorted(cluster.nodes), len(cluster.nodes) // 2)
    for group in (in_zone, half):
        cluster.advance(6 + cluster.rng.random())
        processes = {name: cluster.servers()[name].process for name in group}
        for name in processes:
            actions.freeze(cluster, name, large=True)
        cluster.advance(2 + cluster.rng.random() * 6)
        for name, process in processes.items():
            process.wake()
            cluster.repair("wake", name)
        cluster.advance(16)


def wake_without_core(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A node is frozen during a change and wakes while all cores are down; clients keep using this node."""
    cluster.advance(3)
    for _ in range(2):
        target = actions.random_node(cluster, owner=False)
        actions.freeze(cluster, target.options.name)
        actions.confirm_next(cluster)
        cluster.advance(1 + cluster.rng.random() * 2)
        for name in sorted(cluster.cores):
            actions.kill(cluster, name, restart_after=6)
        cluster.advance(0.2 + cluster.rng.random() * 2)
        target.process.wake()
        # The node can't learn of the missed change before the cores are back, so it must not serve requests.
        actions.probe_repeatedly(cluster, target.options.name, 20)
        cluster.advance(2)
        cluster.repair("wake", target.options.name)
        cluster.advance(6)
