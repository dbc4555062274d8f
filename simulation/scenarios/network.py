"""Scenarios of the network: partitions, flapping, slow and lossy links, and faults of the platform's listing."""

from __future__ import annotations

import collections.abc
import typing

from benchmarks import stand_in_platform
from simulation import addresses, simulated_cluster
from simulation.scenarios import actions

if typing.TYPE_CHECKING:
    from simulation import server_model

Impairment = typing.TypeVar("Impairment", int, float)  # of a link: its delay in µs, or the share of packets it loses


def cut_core_one(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Twice a random core is cut off from all other machines."""
    actions.confirm_changes(cluster, 12, 2)
    for _ in range(2):
        cluster.advance(5 + cluster.rng.random())
        target = actions.random_core(cluster)
        cluster.fault("cut", target.options.name)
        cluster.world.cut([target.options.host], list(cluster.world.machines))
        cluster.advance(3 + cluster.rng.random() * 8)
        actions.heal(cluster, target.options.name)
        cluster.advance(8)


def cut_core_two(cluster: simulated_cluster.SimulatedCluster) -> None:
    """One core, alone or with half of the nodes, is cut off from the other cores and the other half of the nodes."""
    actions.confirm_changes(cluster, 12, 2)
    cluster.advance(6)
    target = actions.random_core(cluster)
    names = sorted(cluster.nodes)
    cluster.rng.shuffle(names)
    same_side = [cluster.places[name][0] for name in names[: len(names) // 2]]
    rest = [host for host in cluster.hosts("cores", "nodes") if host not in same_side and host != target.options.host]
    cluster.fault("cut", target.options.name, True)
    cluster.world.cut([target.options.host] + (same_side if cluster.rng.random() < 0.5 else []), rest)
    cluster.advance(6 + cluster.rng.random() * 8)
    actions.heal(cluster, target.options.name)
    cluster.advance(18)


def cut_core_off(cluster: simulated_cluster.SimulatedCluster) -> None:
    """All cores are cut off from all nodes; the cores still reach each other."""
    actions.confirm_changes(cluster, 8, 3)
    cluster.advance(6)
    cluster.fault("cut", "core")
    cluster.world.cut(cluster.hosts("cores"), cluster.hosts("nodes"))
    cluster.advance(6 + cluster.rng.random() * 12)
    actions.heal(cluster, "all")
    cluster.advance(16)


def cut_node(cluster: simulated_cluster.SimulatedCluster) -> None:
    """One node is cut off from all cores and nodes, but not from its clients and the workers."""
    actions.confirm_changes(cluster, 12, 3)
    for owner in (False, True):
        cluster.advance(5 + cluster.rng.random())
        name = actions.random_node(cluster, owner).options.name
        actions.cut_off(cluster, name)
        actions.probe_repeatedly(cluster, name, 10 + cluster.rng.randrange(30))
        actions.heal(cluster, name)
        cluster.advance(8)


def cut_sides(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The cores and nodes are partitioned: one core with most of the nodes, two cores with the others."""
    actions.confirm_changes(cluster, 12, 2)
    cluster.advance(6)
    cores, nodes = sorted(cluster.cores), sorted(cluster.nodes)
    cluster.rng.shuffle(cores)
    cluster.rng.shuffle(nodes)
    split = cluster.rng.randrange(len(nodes) // 2, len(nodes))  # at least half of the nodes stay with the single core
    near = [cluster.places[name][0] for name in cores[:1] + nodes[:split]]
    far = [cluster.places[name][0] for name in cores[1:] + nodes[split:]]
    cluster.fault("cut", "sides", True)
    cluster.world.cut(near, far, both=cluster.rng.random() < 0.7)
    cluster.advance(6 + cluster.rng.random() * 8)
    actions.heal(cluster, "sides")
    cluster.advance(18)


def cut_hall(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Each zone in turn is cut off from the cores and nodes of the other zones."""
    actions.confirm_changes(cluster, 14, 3)
    for zone in sorted(set(cluster.zones)):
        cluster.advance(3)
        inside = [cluster.places[name][0] for name in cluster.servers_in(zone)]
        cluster.fault("cut", f"hall {zone}", True)
        cluster.world.cut(inside, [host for host in cluster.hosts("cores", "nodes") if host not in inside])
        cluster.advance(5 + cluster.rng.random() * 2)
        actions.heal(cluster, f"hall {zone}")
        cluster.advance(12)


def one_way(cluster: simulated_cluster.SimulatedCluster) -> None:
    """One-way cut: either all packets that a machine sends are lost, or all packets sent to it."""
    actions.confirm_changes(cluster, 12, 3)
    for pick in (lambda: actions.random_core(cluster), lambda: actions.random_node(cluster)):
        cluster.advance(5 + cluster.rng.random())
        target = pick()
        others = [host for host in cluster.hosts("cores", "nodes") if host != target.options.host]
        cluster.fault("one-way", target.options.name)
        if cluster.rng.random() < 0.5:
            cluster.world.cut([target.options.host], others, both=False)
        else:
            cluster.world.cut(others, [target.options.host], both=False)
        cluster.advance(4 + cluster.rng.random() * 6)
        actions.heal(cluster, target.options.name)
        cluster.advance(12)


def flap(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The links of a core, then of a node, are cut and restored eight times, about once a second."""
    actions.confirm_changes(cluster, 12, 2)
    for target in (actions.random_core(cluster), actions.random_node(cluster)):
        cluster.advance(5)
        cluster.fault("flap", target.options.name)
        for _ in range(8):
            cluster.world.cut([target.options.host], cluster.hosts("cores", "nodes"))
            cluster.advance(0.5 + cluster.rng.random() * 0.5)
            cluster.world.heal()
            cluster.advance(0.3 + cluster.rng.random() * 0.4)
        cluster.repair("heal", target.options.name)
        cluster.advance(10)


def slow_link(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A node's link, then a core's link, gets a delay of 80 to 200 ms."""
    _impair_links(cluster, "slow", cluster.world.extra_delay_us, lambda: 80_000 + cluster.rng.randrange(120_000))


def lossy_link(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A node's link, then a core's link, loses a fifth of all packets."""
    _impair_links(cluster, "lossy", cluster.world.loss_share, lambda: 0.2)


def _impair_links(
    cluster: simulated_cluster.SimulatedCluster,
    fault: str,
    impairments: dict[str, Impairment],
    draw: collections.abc.Callable[[], Impairment],
) -> None:
    """Impair a node's link and then a core's link for 8 s each.

    `draw` returns the size of an impairment, which is put into `impairments` under the machine's host.
    """
    actions.confirm_changes(cluster, 10, 3)
    for target in (actions.random_node(cluster), actions.random_core(cluster)):
        cluster.advance(4)
        cluster.fault(fault, target.options.name)
        impairments[target.options.host] = draw()
        cluster.advance(8)
        del impairments[target.options.host]
        cluster.repair("mended", target.options.name)
        cluster.advance(4)


def _cut_from_workers(
    cluster: simulated_cluster.SimulatedCluster,
    target: server_model.SimulatedNode,
    workers: collections.abc.Iterable[str],
    seconds: float,
) -> None:
    """Cut the links between one node and some workers for some seconds; all other links stay up."""
    cluster.fault("link", target.options.name, role="link")
    cluster.world.cut([target.options.host], [cluster.workers[name].host for name in workers])
    cluster.advance(seconds)
    actions.heal(cluster, target.options.name)


def _cut_from_one_then_all_workers(cluster: simulated_cluster.SimulatedCluster, owner: bool) -> None:
    actions.confirm_changes(cluster, 6, 5)
    cluster.advance(6 + cluster.rng.random())
    _cut_from_workers(cluster, actions.random_node(cluster, owner), [actions.random_worker(cluster)], 8)
    cluster.advance(4)
    _cut_from_workers(cluster, actions.random_node(cluster, owner), sorted(cluster.workers), 9)
    cluster.advance(6)


def blind_owner(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The pool owner can't reach one worker, then all workers; all its other links stay up."""
    _cut_from_one_then_all_workers(cluster, owner=True)


def blind_node(cluster: simulated_cluster.SimulatedCluster) -> None:
    """A node that is not the pool owner can't reach one worker, then all workers; all its other links stay up."""
    _cut_from_one_then_all_workers(cluster, owner=False)


def platform_bad(cluster: simulated_cluster.SimulatedCluster) -> None:
    """The platform is unreachable for 6 s; then its list of workers has each `ListingFault`, such as an empty list."""
    actions.confirm_changes(cluster, 8, 4)
    cluster.advance(3)
    cluster.world.cut([addresses.PLATFORM_HOST], cluster.hosts("nodes"))
    cluster.advance(6)
    cluster.world.heal()
    brief = (stand_in_platform.ListingFault.EMPTY, stand_in_platform.ListingFault.HALF)
    for fault in stand_in_platform.ListingFault:
        cluster.advance(3)
        cluster.platform.listing_fault = fault
        cluster.advance(0.55 if fault in brief else 5)
        cluster.platform.listing_fault = None
    cluster.advance(6)
