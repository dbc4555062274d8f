"""Building blocks of scenarios: inject and repair faults, change the configuration, send requests."""

from __future__ import annotations

import collections.abc
import typing

from iriswheel.cli import load_generator
from iriswheel.runtime import units
from simulation import simulated_cluster

if typing.TYPE_CHECKING:
    from twisted.internet import defer

    from simulation import server_model

CONFIRM_TIMEOUT_SECONDS = 40  # until an operator's change must be confirmed

Document = dict[str, typing.Any]  # a decoded JSON configuration


# ---- targets ---------------------------------------------------------------------------------


def random_node(cluster: simulated_cluster.SimulatedCluster, owner: bool | None = None) -> server_model.SimulatedNode:
    """Draw a live node at random.

    Args:
        cluster: The cluster.
        owner: True for the pool owner, False for a node that is not the pool owner, None for any live node. While the
            pool has no owner, any live node is drawn.

    Returns:
        The node.
    """
    pool_owner_node = cluster.owner()
    names = [name for name in sorted(cluster.nodes) if cluster.nodes[name].process.alive]
    if owner is True and pool_owner_node is not None:
        return pool_owner_node
    if owner is False and pool_owner_node is not None:
        names.remove(pool_owner_node.options.name)
    return cluster.nodes[cluster.rng.choice(names)]


def random_core(cluster: simulated_cluster.SimulatedCluster) -> server_model.SimulatedCore:
    """Draw a live core at random."""
    return cluster.cores[
        cluster.rng.choice([name for name in sorted(cluster.cores) if cluster.cores[name].process.alive])
    ]


def random_worker(cluster: simulated_cluster.SimulatedCluster) -> str:
    """Draw a worker at random and return its name."""
    return cluster.rng.choice(sorted(cluster.workers))


# ---- faults and repairs ------------------------------------------------------------------------


def kill(
    cluster: simulated_cluster.SimulatedCluster, name: str, restart_after: float | None = None, large: bool = False
) -> None:
    """Kill the process of a core, node or worker.

    Args:
        cluster: The cluster.
        name: The core, node or worker.
        restart_after: Seconds until the process is restarted; None: it is not restarted.
        large: Whether many processes fail at once: the checkers then excuse failed requests for some seconds.
    """
    cluster.fault("kill", name, large)
    {**cluster.servers(), **cluster.workers}[name].process.kill()
    if restart_after is not None:
        cluster.world.push(cluster.world.time + int(restart_after * units.SECOND_US), lambda: restart(cluster, name))


def restart(cluster: simulated_cluster.SimulatedCluster, name: str) -> None:
    """Restart a core, node or worker at its previous address."""
    cluster.repair("start", name)
    if name in cluster.cores:
        cluster.start_core(name, *cluster.places[name])
    elif name in cluster.nodes:
        cluster.start_node(name, *cluster.places[name])
    else:
        cluster.start_worker(name, cluster.workers[name].host)


def stop(cluster: simulated_cluster.SimulatedCluster, name: str, timeout_seconds: float) -> None:
    """Stop a core or node as its service manager does: request a graceful stop, and kill it after the timeout."""
    server = cluster.servers()[name]
    stopped = server.runtime.spawn(server.stop(), simulated_cluster.log)
    cluster.advance_until_called(stopped, timeout_seconds)
    server.process.kill()


def lose_power(
    cluster: simulated_cluster.SimulatedCluster, name: str, wiped: bool = False, large: bool = False
) -> None:
    """Cut the power of a core's host; with `wiped`, its disk is erased too."""
    cluster.fault("disk lost" if wiped else "power", name, large)
    host = cluster.cores[name].process.host
    host.fail()
    if wiped:
        host.synced.clear()


def blackout(cluster: simulated_cluster.SimulatedCluster, wiped: collections.abc.Collection[str]) -> None:
    """Cut the power of all cores at once, erase the disks of those in `wiped`, and restart all 0.3 to 1.3 s later."""
    names = sorted(cluster.cores)
    for name in names:
        lose_power(cluster, name, wiped=name in wiped, large=True)
    cluster.advance(0.3 + cluster.rng.random())
    for name in names:
        restart(cluster, name)


def replace_core(cluster: simulated_cluster.SimulatedCluster, name: str, new_name: str, new_host: str) -> None:
    """Lose a core permanently; a replacement with an empty disk starts at a new address 1 to 3 s later."""
    lost = cluster.cores[name]
    cluster.fault("gone for good", name)
    lost.process.host.fail()
    del cluster.cores[name]
    cluster.advance(1 + cluster.rng.random() * 2)
    cluster.repair("start", new_name)
    cluster.start_core(new_name, new_host, lost.options.zone)


def freeze(cluster: simulated_cluster.SimulatedCluster, name: str, large: bool = False) -> None:
    """Freeze the process of a core or node."""
    cluster.fault("freeze", name, large)
    cluster.servers()[name].process.freeze()


def cut_off(cluster: simulated_cluster.SimulatedCluster, name: str) -> None:
    """Drop all packets between a core or node and the cores and nodes."""
    cluster.fault("cut", name)
    cluster.world.cut([cluster.servers()[name].options.host], cluster.hosts("cores", "nodes"))


def heal(cluster: simulated_cluster.SimulatedCluster, target: str) -> None:
    """Remove all cuts of the network, and log the repair of the target."""
    cluster.world.heal()
    cluster.repair("heal", target)


def repair_later(
    cluster: simulated_cluster.SimulatedCluster,
    seconds: float,
    what: str,
    target: str,
    function: collections.abc.Callable[[], object],
) -> None:
    """After some seconds, call a function that ends a fault, and log the repair."""

    def repair() -> None:
        function()
        cluster.repair(what, target)

    cluster.world.push(cluster.world.time + int(seconds * units.SECOND_US), repair)


# ---- changes of the configuration ----------------------------------------------------------------


def confirm_changes(
    cluster: simulated_cluster.SimulatedCluster, count: int = 8, gap_seconds: float = 4.0
) -> defer.Deferred[None]:
    """Let the operator submit changes one after the other, with a pause after the confirmation of each."""

    async def change_all() -> None:
        for probe in range(cluster.newest_probe + 1, cluster.newest_probe + 1 + count):
            await cluster.operator.change(cluster.with_probe(probe))
            await cluster.operator_runtime.sleep(int(gap_seconds * units.SECOND_US))

    return cluster.operator_runtime.spawn(change_all(), simulated_cluster.log)


def begin_change(cluster: simulated_cluster.SimulatedCluster, patch: bool = False) -> defer.Deferred[int | None]:
    """Let the operator submit a change that adds the next probe route, as a whole configuration or as a JSON Patch."""
    return cluster.operator_runtime.spawn(
        cluster.operator.change(cluster.with_probe(cluster.newest_probe + 1), patch=patch), simulated_cluster.log
    )


def confirm_edit(
    cluster: simulated_cluster.SimulatedCluster, edit: collections.abc.Callable[[Document], object], patch: bool = False
) -> None:
    """Edit the configuration in place, let the operator submit it, and wait until it is confirmed."""
    edit(cluster.configuration)
    cluster.advance_until_called(begin_change(cluster, patch), CONFIRM_TIMEOUT_SECONDS)


def confirm_next(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Let the operator submit one more change, and wait until it is confirmed."""
    cluster.advance_until_called(begin_change(cluster), CONFIRM_TIMEOUT_SECONDS)


# ---- requests ------------------------------------------------------------------------------------


def begin_request(cluster: simulated_cluster.SimulatedCluster, kind: load_generator.RequestKind, *parts: str) -> None:
    """Let a client begin a request; the client retries it if it fails."""
    sending = cluster.load.send_request(kind, list(parts))
    cluster.load.under_way.append(cluster.load.runtime.spawn(sending, simulated_cluster.log))


def begin_attempt(
    cluster: simulated_cluster.SimulatedCluster,
    identifier: str,
    attempt: int,
    *,
    may_repeat: bool = False,
    parts: collections.abc.Sequence[str] = ("phrases",),
) -> None:
    """Let a client send one attempt of a short request, without retries."""
    sent = load_generator.Attempt("short", identifier, attempt, may_repeat, list(parts), b"x" * 600)
    sending = cluster.load.send_attempt(sent)
    cluster.load.under_way.append(cluster.load.runtime.spawn(sending, simulated_cluster.log))


def probe_repeatedly(cluster: simulated_cluster.SimulatedCluster, name: str, rounds: int) -> None:
    """Every 0.3 s, let clients that keep using one node request its newest two probe routes."""
    for _ in range(rounds):
        for probe in (cluster.newest_probe, cluster.newest_probe - 1):
            cluster.load.runtime.spawn(
                cluster.prober.probe(cluster.load.runtime, cluster.load.agent, name, f"/p/{max(0, probe)}"),
                simulated_cluster.log,
            )
        cluster.advance(0.3)
