"""How long a fleet takes to recover from the loss of all its processes, in the simulator and without other load.

    python -m benchmarks.total_loss --seeds 50 --cores 3 5

All core machines and nodes are lost at the same moment, and start again about a second later, at slightly different
times. The following times are measured, all from the moment when a majority of the core machines runs again: until
the tail holds its lease, until the first node holds a lease, until the first node is ready, until a client's request
is answered for the first time, until a change that was submitted after the loss is acknowledged for the first time, and
until the newest change that was acknowledged before the loss is in force on the first node and on all nodes. A node may
have that change earlier, from a core machine that started before the majority did; such a time is negative.
"""

from __future__ import annotations

import collections.abc
import concurrent.futures
import dataclasses
import functools
import typing

import defopt
import loguru
from twisted.internet import error as internet_error
from twisted.web import client as web_client
from twisted.web import http_headers

from benchmarks import change_recovery
from iriswheel.dataplane import dispatch
from iriswheel.runtime import scheduler, units
from simulation import addresses, simulated_cluster

FAULTS = ("kill", "power")
DOWN_S = 1.0  # time from the loss to the earliest restart of a process
START_SPREAD_S = 0.3
"""Length of the period over which the restarts of the processes are spread."""

OK = 200  # HTTP status
REQUEST_INTERVAL_US = 20 * units.MILLISECOND_US

if typing.TYPE_CHECKING:
    from simulation import server_model

log = loguru.logger.bind(part="total_loss")


@dataclasses.dataclass(frozen=True)
class Recovery:
    """The result of one loss: times in µs from the restart of a majority of the core machines, None above the limit."""

    fault: str
    tail_lease: int | None = None
    node_lease: int | None = None
    ready: int | None = None
    served: int | None = None
    acknowledged: int | None = None
    newest_first: int | None = None
    newest_all: int | None = None


MEASURES = tuple(field.name for field in dataclasses.fields(Recovery) if field.name != "fault")


class Clients:
    """Clients that send a request to the next node every 20 ms, and record when the first one is served."""

    def __init__(self, cluster: simulated_cluster.SimulatedCluster) -> None:
        self.runtime = cluster.operator_runtime
        self.agent = dispatch.Dispatcher(self.runtime).unpooled_agent
        self.nodes = [f"{cluster.places[name].host}:{addresses.HTTP_PORT}" for name in sorted(cluster.nodes)]
        self.first_served_at: int | None = None

    async def run(self) -> None:
        """Send requests until one is served."""
        number = 0
        while self.first_served_at is None:
            self.runtime.spawn(self.send(self.nodes[number % len(self.nodes)]), log)
            number += 1
            await self.runtime.sleep(REQUEST_INTERVAL_US)

    async def send(self, node: str) -> None:
        """Send one request; a request that fails or times out is ignored."""
        call = self.agent.request(
            b"POST", f"http://{node}/v1/complete".encode(), http_headers.Headers({}), dispatch.Body(b"hello")
        )
        try:
            answer = await self.runtime.within(call, change_recovery.REQUEST_TIMEOUT_US)
        except (scheduler.DeadlineError, internet_error.ConnectError, web_client.ResponseFailed):
            return
        if answer.code == OK and self.first_served_at is None:
            self.first_served_at = self.runtime.now()


def fail_all_processes(cluster: simulated_cluster.SimulatedCluster, fault: str) -> int:
    """End all processes and schedule their restarts.

    Returns:
        The time, in µs, at which a majority of the core machines will have started again.
    """
    names = sorted(cluster.servers())
    for name in names:
        process = cluster.servers()[name].process
        if fault == "power":
            process.host.fail()
        else:
            process.kill()
    starts: dict[str, int] = {}
    for name in names:
        delay_s = DOWN_S + cluster.rng.random() * START_SPREAD_S
        starts[name] = cluster.world.time + int(delay_s * units.SECOND_US)
        start = cluster.start_core if name in cluster.cores else cluster.start_node
        cluster.world.push(starts[name], functools.partial(start, name, *cluster.places[name]))
    return sorted(starts[name] for name in cluster.cores)[len(cluster.cores) // 2]


def measure(cluster: simulated_cluster.SimulatedCluster, operators: change_recovery.Operators, fault: str) -> Recovery:
    """End all processes, and wait until every measured event has happened or the limit is reached."""
    lost_at, newest = cluster.world.time, operators.current
    begins_at = fail_all_processes(cluster, fault)
    clients = Clients(cluster)
    cluster.operator_runtime.spawn(clients.run(), log)
    found: dict[str, int | None] = dict.fromkeys(MEASURES)
    while (
        None in found.values() and cluster.world.time < begins_at + change_recovery.RECOVERY_LIMIT_S * units.SECOND_US
    ):
        cluster.advance(change_recovery.STEP_S)
        now = cluster.world.time
        for name, has_happened in _observe(cluster, operators, clients, lost_at, newest).items():
            if found[name] is None and has_happened:
                found[name] = now - begins_at
    return Recovery(fault, **found)


def _observe(
    cluster: simulated_cluster.SimulatedCluster,
    operators: change_recovery.Operators,
    clients: Clients,
    lost_at: int,
    newest: int,
) -> dict[str, bool]:
    nodes = [node for node in cluster.nodes.values() if node.process.alive]
    have_newest = [number_in_force(node) >= newest for node in nodes]
    return {
        "tail_lease": cluster.tail() is not None,
        "node_lease": any(node.follower.session.lease.is_valid(node.runtime.now()) for node in nodes),
        "ready": any(node.ready()[0] for node in nodes),
        "served": clients.first_served_at is not None,
        "acknowledged": any(done.sent >= lost_at for done in operators.acknowledged),
        "newest_first": any(have_newest),
        "newest_all": len(have_newest) == len(cluster.nodes) and all(have_newest),
    }


def number_in_force(node: server_model.SimulatedNode) -> int:
    """The number of the operators' change that is in force on a node; 0 for none."""
    route = node.follower.routes.get("probe")
    return 0 if route is None else int(route.path.rsplit("/", 1)[1])


def measure_seed(start: change_recovery.StartSettings, faults: collections.abc.Sequence[str]) -> list[Recovery]:
    """Measure all kinds of loss with one seed, each on a new idle cluster with this seed."""
    loguru.logger.remove()
    recoveries = []
    for fault in faults:
        cluster, operators = change_recovery.idle_cluster(start)
        recoveries.append(measure(cluster, operators, fault))
    return recoveries


def row(cores: int, fault: str, recoveries: list[Recovery]) -> str:
    """A row of the printed table: the median and the maximum of each time over all seeds, in seconds.

    >>> row(3, "kill", [Recovery("kill", 100_000, 150_000, 200_000, 250_000, 400_000, 90_000, 300_000)])
    '| 3 | kill | 1 | 0.10, 0.10 | 0.15, 0.15 | 0.20, 0.20 | 0.25, 0.25 | 0.40, 0.40 | 0.09, 0.09 | 0.30, 0.30 |'
    """
    recoveries_of_fault = [recovery for recovery in recoveries if recovery.fault == fault]
    cells = [
        change_recovery.median_and_worst([getattr(recovery, name) for recovery in recoveries_of_fault])
        for name in MEASURES
    ]
    return " | ".join([f"| {cores}", fault, str(len(recoveries_of_fault)), *cells]) + " |"


def run(
    *,
    seeds: int = 50,
    cores: collections.abc.Sequence[int] = (3, 5),
    faults: collections.abc.Sequence[str] = FAULTS,
    lease_ms: int = change_recovery.LEASE_MS,
    jobs: int = 1,
) -> None:
    """Print the median and the maximum time in seconds over all seeds, a table row for each kind of loss.

    :param seeds: number of seeds for each row; they count from 1
    :param cores: numbers of core machines
    :param faults: kill (the processes are killed) or power (their machines lose power)
    :param lease_ms: duration of a node's lease
    :param jobs: number of processes that run seeds in parallel
    """
    titles = [f"{name.replace('_', ' ')}: median, worst" for name in MEASURES]
    print(f"| core machines | all lost by | seeds | {' | '.join(titles)} |")
    print("|---" * (3 + len(MEASURES)) + "|")
    play: typing.Any = functools.partial(measure_seed, faults=faults)
    with concurrent.futures.ProcessPoolExecutor(jobs, mp_context=change_recovery.FORK) as pool:
        for count in cores:
            starts = [change_recovery.StartSettings(seed, count, lease_ms) for seed in range(1, seeds + 1)]
            recoveries = [recovery for found in pool.map(play, starts) for recovery in found]
            print("\n".join(row(count, fault, recoveries) for fault in faults), flush=True)


if __name__ == "__main__":
    defopt.run(run)
