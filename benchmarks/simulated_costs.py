"""Measurements on simulated clusters: bytes per change, recovery after faults, many nodes, sizes of kept data."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import loguru

from iriswheel.runtime import units
from iriswheel.transport import wire
from iriswheel.verification import recovery_times
from simulation import simulated_cluster
from simulation.scenarios import actions, registry

if typing.TYPE_CHECKING:
    from twisted.internet import defer

    from simulation import server_model

CHANGE_LIMIT_S = 20
FAR_ZONE = "d"  # the zone of the routes that most nodes do not get
IDLE_MEASUREMENT_S = 10  # how long a cluster without changes and requests is measured
CHANGE_COUNT = 5
MINUTE_US = 60 * units.SECOND_US
CHANGE_PAUSE_US = 3 * units.SECOND_US
OUTAGE_S = 4  # how long a killed or frozen process is absent
REPORT_MINUTES = 5  # time between two printed lines
DAY_FAULTS = ("kill_node", "kill_core", "worker_crash", "freeze", "kill_owner")  # in turn, one every three minutes


def _spawn_change(cluster: simulated_cluster.SimulatedCluster, number: int) -> defer.Deferred[int | None]:
    """Start a change that sets the configuration's probe route to the given number."""
    changing = cluster.operator.change(cluster.with_probe(number))
    return cluster.operator_runtime.spawn(changing, simulated_cluster.log)


def _time_change(cluster: simulated_cluster.SimulatedCluster, number: int, limit_s: float) -> int:
    """Change the configuration's probe route, and return how long that took, in µs."""
    started_at = cluster.world.time
    cluster.advance_until_called(_spawn_change(cluster, number), limit_s)
    return cluster.world.time - started_at


# ---- the bytes of a change -------------------------------------------------------------------


def slices(*, routes: collections.abc.Sequence[int] = (0, 100, 1000), changes: int = 10) -> None:
    """Bytes that a change sends to a node, by the number of routes of another zone (simulated).

    A node gets a slice of the configuration, without the routes of other zones.

    :param routes: numbers of routes of another zone in the configuration
    :param changes: number of changes to measure
    """
    loguru.logger.remove()
    for count in routes:
        cluster = simulated_cluster.SimulatedCluster(1, "magnolia", long_rate=0, short_rate=0, conversations=0)
        cluster.probing = False
        for k in range(count):
            cluster.configuration["routes"][f"far{k}"] = _far_route(cluster, f"/far/{k}")
        cluster.begin()
        cluster.advance(2)
        before = _published_bytes(cluster)
        cluster.advance(IDLE_MEASUREMENT_S)
        idle_rates = {
            name: (sent - before[name]) / IDLE_MEASUREMENT_S for name, sent in _published_bytes(cluster).items()
        }
        for what, change in (
            ("a route of all halls", _change_route_of_all_zones),
            ("a route of hall d", _change_route_of_far_zone),
        ):
            cost = _bytes_a_change(cluster, change, changes, idle_rates)
            print(
                f"{count} routes of hall d, a change to {what}: n1 (hall a) {cost['n1']:.0f} bytes, "
                f"n6 (hall d) {cost['n6']:.0f} bytes; quiet: {idle_rates['n1']:.0f} bytes/s",
                flush=True,
            )


def _far_route(cluster: simulated_cluster.SimulatedCluster, path: str) -> dict[str, typing.Any]:
    return {"path": path, "pool": cluster.pool, "zones": [FAR_ZONE]}


def _published_bytes(cluster: simulated_cluster.SimulatedCluster) -> dict[str, int]:
    """Bytes that the core machines have sent to each node so far."""
    return {
        session.member.name: session.connection.sent_bytes
        for each in cluster.cores.values()
        for session in each.node_sessions.by_node.values()
    }


def _change_route_of_all_zones(cluster: simulated_cluster.SimulatedCluster, number: int) -> None:  # noqa: ARG001 - same signature as _change_route_of_far_zone
    """Change the probe route, which all nodes have."""
    _time_change(cluster, cluster.newest_probe + 1, CHANGE_LIMIT_S)


def _change_route_of_far_zone(cluster: simulated_cluster.SimulatedCluster, number: int) -> None:
    """Change a route that only the nodes of one zone have."""
    cluster.configuration["routes"]["farther"] = _far_route(cluster, f"/farther/{cluster.newest_probe}/{number}")
    _time_change(cluster, cluster.newest_probe, CHANGE_LIMIT_S)


def _bytes_a_change(
    cluster: simulated_cluster.SimulatedCluster,
    change: collections.abc.Callable[[simulated_cluster.SimulatedCluster, int], None],
    count: int,
    idle_rates: dict[str, float],
) -> dict[str, float]:
    """Bytes that one change sends to each node, without the bytes that an idle cluster sends in the same time."""
    before, started_at = _published_bytes(cluster), cluster.world.time
    for number in range(1, count + 1):
        change(cluster, number)
    took = (cluster.world.time - started_at) / units.SECOND_US
    after = _published_bytes(cluster)
    return {name: (after[name] - sent - idle_rates[name] * took) / count for name, sent in before.items()}


# ---- recovery ----------------------------------------------------------------------------


def recovery(
    *,
    names: collections.abc.Sequence[str] = (
        "kill_node",
        "kill_owner",
        "kill_core",
        "freeze",
        "cut_node",
        "kill_hall",
    ),
    seeds: int = 10,
    shape: str = "magnolia",
) -> None:
    """For each kind of fault, how long afterwards clients' first sends still failed (simulated).

    :param names: names of the scenarios
    :param seeds: number of seeds for each scenario
    :param shape: magnolia, swan or small
    """
    loguru.logger.remove()
    for name in names:
        by_kind: dict[str, list[recovery_times.Recovery]] = {}
        for seed in range(1, seeds + 1):
            with contextlib.suppress(TimeoutError):
                cluster = registry.play(name, seed, shape)
                for found in recovery_times.recovery(cluster.event_log.rows):
                    by_kind.setdefault(found.fault.split()[0], []).append(found)
        for kind, recoveries in by_kind.items():
            times = sorted(found.last_failed_ms for found in recoveries)
            print(
                f"{name}: {kind}: {len(recoveries)} faults, "
                f"{sum(found.failed for found in recoveries)} first sends failed, "
                f"{sum(found.sent for found in recoveries)} sent; the last failed one sent after: "
                f"median {times[len(times) // 2]} ms, worst {times[-1]} ms",
                flush=True,
            )


# ---- many nodes and routes -------------------------------------------------------------------


def scale(
    *,
    nodes: collections.abc.Sequence[int] = (8, 32, 128),
    routes: collections.abc.Sequence[int] = (10, 2000),
    seed: int = 1,
) -> None:
    """Time of a change, idle traffic and loss of the tail, with three core machines and many nodes (simulated).

    :param nodes: numbers of nodes
    :param routes: numbers of routes
    :param seed: the run's seed
    """
    loguru.logger.remove()
    for node_count in nodes:
        for route_count in routes:
            cluster = _idle_cluster(seed, node_count, route_count)
            before = _sent_bytes(cluster)
            cluster.advance(IDLE_MEASUREMENT_S)
            idle_rate = (_sent_bytes(cluster) - before) / IDLE_MEASUREMENT_S
            times = sorted(_time_change(cluster, cluster.newest_probe + 1, 30) / 1000 for _ in range(CHANGE_COUNT))
            tail = cluster.tail()
            assert tail is not None
            tail.process.kill()
            without_tail_us = _time_change(cluster, cluster.newest_probe + 1, 40)
            print(
                f"{node_count} nodes, {route_count} routes: plan and confirm {times[CHANGE_COUNT // 2]:.0f} ms "
                f"(median of {CHANGE_COUNT}, worst {times[-1]:.0f}); the "
                f" cores send {idle_rate / 1000:.1f} kB/s when quiet; roster {_membership_bytes(cluster)} bytes; "
                f"tail lost: next change after {without_tail_us / 1e6:.1f} s",
                flush=True,
            )


def _idle_cluster(seed: int, nodes: int, routes: int) -> simulated_cluster.SimulatedCluster:
    zones = [f"h{k % 8}" for k in range(nodes)]
    cluster = simulated_cluster.SimulatedCluster(
        seed, "magnolia", long_rate=0, short_rate=0, conversations=0, zones=zones
    )
    cluster.probing = False
    for k in range(routes):
        cluster.configuration["routes"][f"r{k}"] = {"path": f"/r/{k}", "pool": cluster.pool}
    cluster.begin()
    cluster.advance(3)
    return cluster


def _sent_bytes(cluster: simulated_cluster.SimulatedCluster) -> int:
    """Bytes that the core machines have sent so far, on all their connections."""
    return sum(
        connection.sent_bytes
        for each in cluster.cores.values()
        for connection in [
            *(session.connection for session in each.node_sessions.by_node.values()),
            *each.peers.connections.values(),
        ]
    )


def _membership_bytes(cluster: simulated_cluster.SimulatedCluster) -> int:
    memberships = [each.membership.latest for each in cluster.cores.values()]
    newest = max((each for each in memberships if each is not None), key=lambda membership: membership.version)
    return len(wire.encoder.encode(newest))


# ---- a long run ------------------------------------------------------------------------------


def sizes(*, minutes: int = 60, shape: str = "magnolia", seed: int = 1) -> None:
    """Sizes of the data that the processes keep, in a long run with load, changes and faults (simulated).

    Sizes that grow without bound show a leak.

    :param minutes: simulated minutes
    :param shape: magnolia or swan
    :param seed: the run's seed
    """
    loguru.logger.remove()
    cluster = simulated_cluster.SimulatedCluster(seed, shape, long_rate=0.2, short_rate=2, conversations=4)
    cluster.begin()
    cluster.load.duration_us = minutes * MINUTE_US
    cluster.operator_runtime.spawn(_change_repeatedly(cluster), simulated_cluster.log)
    for minute in range(minutes):
        end = cluster.world.time + MINUTE_US
        if minute % 3 == 1:
            _inject_fault(cluster, DAY_FAULTS[(minute // 3) % len(DAY_FAULTS)])
        cluster.advance((end - cluster.world.time) / units.SECOND_US)
        cluster.event_log.rows.clear()
        if (minute + 1) % REPORT_MINUTES == 0:
            sizes_by_name = {**_largest_at_nodes(cluster), **_largest_at_cores(cluster)}
            sizes_by_name["connections"] = len(cluster.world.connections)
            print(
                f"{minute + 1} min: " + ", ".join(f"{name} {size}" for name, size in sizes_by_name.items()), flush=True
            )


async def _change_repeatedly(cluster: simulated_cluster.SimulatedCluster) -> None:
    while True:
        await cluster.operator.change(cluster.with_probe(cluster.newest_probe + 1))
        await cluster.operator_runtime.sleep(CHANGE_PAUSE_US)


def _inject_fault(cluster: simulated_cluster.SimulatedCluster, fault: str) -> None:
    """Kill or freeze one process for a few seconds."""
    match fault:
        case "freeze":
            process = actions.random_node(cluster).process
            process.freeze()
            cluster.advance(OUTAGE_S)
            process.wake()
        case "kill_core":
            actions.kill(cluster, actions.random_core(cluster).options.name, restart_after=OUTAGE_S)
        case "worker_crash":
            actions.kill(cluster, min(cluster.workers), restart_after=OUTAGE_S)
        case _:
            node = actions.random_node(cluster, owner=fault == "kill_owner")
            actions.kill(cluster, node.options.name, restart_after=OUTAGE_S)


def _largest(sizes_of_all: collections.abc.Iterable[int]) -> int:
    return max(sizes_of_all, default=0)


def _largest_at_nodes(cluster: simulated_cluster.SimulatedCluster) -> dict[str, int]:
    """The largest size, over all live nodes, of each collection that a node keeps."""
    nodes = [node for node in cluster.nodes.values() if node.process.alive]
    owners = [owner for node in nodes for owner in node.pool_owners.values()]
    records = [owner.records for owner in owners]
    copies = [replica for node in nodes for replica in node.pool_roles.replicas.values()]
    peers = [node.peers for node in nodes] + [each.peers for each in _live_cores(cluster)]
    budgets = [budget for node in nodes for budget in node.gateway.retry_budgets.budgets.values()]
    return {
        "claims": _largest(len(each.claims) for each in records),
        "grants": _largest(len(each.grants) for each in records),
        "sessions": _largest(len(each.session_table.records) for each in records),
        "voids": _largest(len(each.abandoned) for each in records),
        "budget": _largest(len(each.budget.first_attempts) + len(each.budget.retries) for each in records),
        "gone": _largest(len(each.closed_ids) for each in records),
        "heard": _largest(len(contacts) for owner in owners for contacts in owner.watch.last_contact_us.values()),
        "copies": _largest(len(replica.sessions) + len(replica.claims) for replica in copies),
        "pins": _largest(len(node.gateway.selector.affinities) for node in nodes),
        "given up": _largest(len(node.abandoned_attempts) for node in nodes),
        "tallies": _largest(len(budget.first_attempts) + len(budget.retries) for budget in budgets),
        "links": _largest(len(each.connections) for each in peers),
    }


def _largest_at_cores(cluster: simulated_cluster.SimulatedCluster) -> dict[str, int]:
    """The largest size, over all live core machines, of each collection that a core machine keeps."""
    cores = _live_cores(cluster)
    disks = [each.process.host.synced for each in cores]
    return {
        "plans": _largest(len(each.chain.latest_state.plans) for each in cores),
        "history": _largest(len(each.chain.history) for each in cores),
        "entries": _largest(len(each.chain.log.entries) for each in cores),
        "keys on disk": _largest(len(disk) for disk in disks),
        "bytes on disk": _largest(sum(len(value) for value in disk.values()) for disk in disks),
        "pulses": _largest(len(each.consensus.heartbeats) for each in cores),
        "posts": _largest(len(each.node_sessions.by_node) for each in cores),
        "seated": _largest(len(each.node_reports.active) for each in cores),
        "left": _largest(len(each.membership.departed) for each in cores),
        "places": _largest(len(each.membership.seen) for each in cores),
    }


def _live_cores(cluster: simulated_cluster.SimulatedCluster) -> list[server_model.SimulatedCore]:
    return [each for each in cluster.cores.values() if each.process.alive]
