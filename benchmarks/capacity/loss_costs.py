"""The costs of changes and failures in a hollow fleet."""

from __future__ import annotations

import collections.abc
import dataclasses
import gc
import statistics
import typing

from benchmarks.capacity import hollow_fleet, measuring
from iriswheel.runtime import units
from iriswheel.transport import message, wire
from simulation import processor_meter, simulated_cluster

if typing.TYPE_CHECKING:
    from simulation import server_model

SETTLE_S = 4
IDLE_MEASUREMENT_S = 4  # how long the idle fleet is metered before the event
LIMIT_S = 30  # limit until all nodes have learned of an event
LONG_LIMIT_S = 60  # the same limit for the loss of the tail and for a partition
CUT_S = 10  # duration of the partition
LOST_ZONE = "zone5"


@dataclasses.dataclass(frozen=True)
class Cost:
    """The cost of an event beyond that of an idle fleet: bytes sent, and processor time in loops."""

    membership_bytes: int  # the size of a membership
    ms: float  # from the event until all live nodes have learned of it
    core_to_core: float
    core_to_node: float
    node_to_node: float
    into_node: float  # the median of all nodes
    busiest_core: float
    node: float  # the median of all nodes
    longest_step: float  # of any node


COLUMNS = (
    "core_to_core",
    "core_to_node",
    "node_to_node",
    "into_node",
    "busiest_core",
    "node",
    "longest_step",
)  # fields of Cost, in the order of the printed table


def _change(cluster: hollow_fleet.Fleet) -> None:
    """A route is changed."""
    done = cluster.operator_runtime.spawn(
        cluster.operator.change(cluster.with_probe(cluster.newest_probe + 1)), simulated_cluster.log
    )
    cluster.advance_until(lambda: done.called, LIMIT_S)


def _restart(cluster: hollow_fleet.Fleet) -> None:
    """A node without a role is killed, and another incarnation of it starts."""
    nodes_without_role = [node for name, node in cluster.nodes.items() if cluster.roles()[name] == "node"] or list(
        cluster.nodes.values()
    )
    name = nodes_without_role[0].options.name
    host, zone = cluster.places[name]
    nodes_without_role[0].process.kill()
    cluster.advance(0.1)
    cluster.start_node(name, host, zone)
    cluster.advance_until(
        lambda: all(cluster.nodes[name].member.id in _members(node) for node in _live(cluster)), LIMIT_S
    )


def _worker(cluster: hollow_fleet.Fleet) -> None:
    """A worker is listed as leaving."""
    cluster.platform.put("w1", state="leaving")
    cluster.advance_until(
        lambda: all(
            node.follower.state("w1") == "leaving" and node.follower.membership.workers[0].state == "leaving"
            for node in _live(cluster)
        ),
        LIMIT_S,
    )


def _zone(cluster: hollow_fleet.Fleet) -> None:
    """All nodes of a zone lose power."""
    lost_nodes = [node for node in cluster.nodes.values() if node.member.zone == LOST_ZONE]
    lost_ids = {node.member.id for node in lost_nodes}
    for node in lost_nodes:
        node.process.host.fail()
    cluster.advance_until(lambda: all(not lost_ids & _members(node) for node in _live(cluster)), LIMIT_S)


def _tail(cluster: hollow_fleet.Fleet) -> None:
    """The tail of the core machines' chain is killed."""
    tail = cluster.tail()
    assert tail is not None
    assert tail.consensus.view is not None
    lost_view_number = tail.consensus.view.number
    tail.process.kill()
    cluster.advance_until(
        lambda: all(
            node.follower.membership.version[0] > lost_view_number and node.follower.session.is_established()
            for node in _live(cluster)
        ),
        LONG_LIMIT_S,
    )


def _cut(cluster: hollow_fleet.Fleet) -> None:
    """A network partition separates a third of the nodes from all other machines for ten seconds."""
    separated_hosts = [
        node.process.host.address for node in cluster.nodes.values() if int(node.member.zone[4:]) % 3 == 1
    ]
    other_hosts = [host for host in cluster.world.machines if host not in separated_hosts]
    cluster.world.cut(separated_hosts, other_hosts)
    cluster.advance(CUT_S)
    cluster.world.heal()
    cluster.advance_until(
        lambda: all(
            len(_members(node)) == len(cluster.nodes) and node.follower.session.is_established()
            for node in _live(cluster)
        ),
        LONG_LIMIT_S,
    )


# Each function causes an event and advances the simulation until all live nodes have learned of it.
EVENTS_BY_NAME: dict[str, collections.abc.Callable[[hollow_fleet.Fleet], None]] = {
    "change": _change,
    "restart": _restart,
    "worker": _worker,
    "zone": _zone,
    "tail": _tail,
    "cut": _cut,
}


def _live(cluster: hollow_fleet.Fleet) -> list[server_model.SimulatedNode]:
    return [node for node in cluster.nodes.values() if node.process.alive]


def _members(node: server_model.SimulatedNode) -> set[str]:
    """The ids of the members in a node's membership."""
    return {member.id for member in node.follower.membership.members}


def losses(
    *,
    sizes: measuring.Sizes = (8, 32, 128),
    listed: int = 36,
    pools: int = 1,
    routes: int = 100,
    repeats: int = 3,
    election: str = "warden",
    only: collections.abc.Sequence[str] = tuple(EVENTS_BY_NAME),
    out: str = "",
) -> None:
    """Changes and failures in hollow fleets: when all nodes know of them, and their cost beyond an idle fleet's.

    change: a route is changed; restart: a node is killed and started again; worker: a worker is
    listed as leaving; zone: a tenth of the nodes lose power; tail: the tail is killed; cut: a network
    partition separates a third of the nodes from all other machines for ten seconds.

    :param sizes: numbers of nodes
    :param listed: number of workers
    :param pools: number of pools
    :param routes: number of routes
    :param repeats: number of seeds
    :param election: what selects workers: warden (the pool owner) or node
    :param only: the events to measure
    :param out: file to which the values are written
    """
    measurements = measuring.Measurements()
    print(
        "| what | nodes | all know after, ms | B between cores | B from cores to nodes | B between nodes "
        "| B into a node "
        "| loops of the busiest core | loops of a node | longest step of a node, loops |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for what in only:
        for size in sizes:
            costs = [
                measure_event(
                    hollow_fleet.Fleet(seed, size, listed, pools, routes, walking=False, election=election), what
                )
                for seed in range(1, repeats + 1)
            ]
            for cost in costs:
                _put_measurements(measurements, what, size, cost)
            print(_row(what, size, costs), flush=True)
    print()
    measuring.print_and_save(measurements, out)


def _put_measurements(measurements: measuring.Measurements, what: str, nodes: int, cost: Cost) -> None:
    """Add the costs that grow with the size of the fleet, each by the size that it grows with."""
    if what in ("tail", "cut"):
        measurements.put(f"{what}: between nodes", "pairs of nodes", "B", nodes * (nodes - 1), cost.node_to_node)
    elif what == "change":
        measurements.put(f"{what}: between cores", "nodes", "B", nodes, cost.core_to_core)
        measurements.put(f"{what}: busiest core", "nodes", "loops", nodes, cost.busiest_core)
    else:
        size = nodes * cost.membership_bytes
        measurements.put(f"{what}: from cores to nodes", "nodes x membership bytes", "B", size, cost.core_to_node)
    measurements.put(f"{what}: all know after", "nodes", "ms", nodes, cost.ms)
    measurements.put(f"{what}: into a node", "nodes", "B", nodes, cost.into_node)


def _row(what: str, nodes: int, costs: list[Cost]) -> str:
    """A row of the printed table: medians over the seeds."""
    times = [cost.ms for cost in costs]
    medians = [measuring.three_digits(statistics.median(getattr(cost, column) for cost in costs)) for column in COLUMNS]
    spread = f"{statistics.median(times):.0f} ({min(times):.0f} to {max(times):.0f})"
    return f"| {what} | {nodes} | {spread} | " + " | ".join(medians) + " |"


def measure_event(cluster: hollow_fleet.Fleet, what: str) -> Cost:
    """Cause an event in a new fleet, and measure its cost beyond that of the idle fleet."""
    cluster.begin()
    cluster.advance(SETTLE_S)
    membership_bytes = _membership_bytes(cluster)
    idle_figures, idle_bytes_per_s = cluster.meter_for(IDLE_MEASUREMENT_S), cluster.bytes_between(IDLE_MEASUREMENT_S)
    loop_ns = statistics.median(measuring.nanoseconds_per_call(measuring.loop) for _ in range(5))
    elapsed_s = _run_event(cluster, EVENTS_BY_NAME[what])
    live = [name for name in idle_figures if cluster.world.processes[name].alive]
    nodes = [name for name in live if name in cluster.nodes]
    bytes_into = _bytes_into(cluster, set(idle_figures))
    loops = {name: cluster.meter.spent[name] / loop_ns - idle_figures[name]["loops"] * elapsed_s for name in live}
    bytes_by_direction = cluster.bytes_between(1)
    extra_bytes = {
        direction: bytes_by_direction[direction] - idle_bytes_per_s[direction] * elapsed_s
        for direction in bytes_by_direction
    }
    return Cost(
        membership_bytes,
        ms=elapsed_s * 1000,
        core_to_core=extra_bytes["core core"],
        core_to_node=extra_bytes["core node"],
        node_to_node=extra_bytes["node node"],
        into_node=statistics.median(
            bytes_into.get(name, 0) - idle_figures[name]["in_bytes"] * elapsed_s for name in nodes
        ),
        busiest_core=max(loops[name] for name in live if name in cluster.cores),
        node=statistics.median(loops[name] for name in nodes),
        longest_step=max(cluster.meter.longest[name] for name in nodes) / loop_ns,
    )


def _membership_bytes(cluster: hollow_fleet.Fleet) -> int:
    update = message.MembershipUpdate(next(iter(cluster.nodes.values())).follower.membership)
    return len(wire.encoder.encode(wire.Envelope(0, 0, update)))


def _run_event(cluster: hollow_fleet.Fleet, event: collections.abc.Callable[[hollow_fleet.Fleet], None]) -> float:
    """Cause an event with a new meter; returns the seconds until all live nodes have learned of it."""
    started_at = cluster.world.time
    cluster.world.meter = cluster.meter = processor_meter.Meter()
    gc.collect()
    gc.disable()
    event(cluster)
    cluster.world.meter = None
    gc.enable()
    return (cluster.world.time - started_at) / units.SECOND_US


def _bytes_into(cluster: hollow_fleet.Fleet, servers: set[str]) -> dict[str, int]:
    """Metered bytes from core machines and nodes to each process."""
    bytes_into: dict[str, int] = {}
    for (sender, receiver), (_, size) in cluster.meter.sent.items():
        if sender in servers:
            bytes_into[receiver] = bytes_into.get(receiver, 0) + size
    return bytes_into
