"""How long a fault of one core machine delays configuration changes, in the simulator and without requests.

    python -m benchmarks.change_recovery --seeds 50 --cores 3 5 --lease-ms 3000

Operators submit a numbered change every 100 ms. In each run one core machine has one fault. Two times
are measured, both from the fault on: until the first acknowledgement of a change that was submitted
after the fault, and until the last node has applied that change. The cases of one seed share the
time before the fault: it is simulated once, and each case continues from it in a forked process.
"""

from __future__ import annotations

import collections.abc
import concurrent.futures
import dataclasses
import functools
import itertools
import multiprocessing
import statistics
import typing

import defopt
import loguru
from twisted.internet import defer

from iriswheel.cli import command
from iriswheel.runtime import units
from simulation import addresses, simulated_cluster

FAULTS = ("cut", "kill", "kill for good", "freeze", "wipe")
POSITIONS = ("head", "middle", "tail")
CUT_S, FREEZE_S, RESTART_S = 20, 8, 1  # durations of a network partition, of a freeze, of the downtime after a kill
CHANGE_INTERVAL_US = 100 * units.MILLISECOND_US
MAX_CHANGES_IN_FLIGHT = 8
REQUEST_TIMEOUT_US = 1 * units.SECOND_US  # of one request to one core machine
RETRY_DELAY_US = 100 * units.MILLISECOND_US
WARM_UP_S = 3
STEP_S = 0.005  # resolution of the measured times
RECOVERY_LIMIT_S = 30  # after which a change counts as not acknowledged or not applied
LEASE_MS = 3_000

FORK = multiprocessing.get_context("fork")

log = loguru.logger.bind(part="change_recovery")


@dataclasses.dataclass(frozen=True)
class StartSettings:
    """The cluster and the seed that all cases of one seed start from.

    >>> StartSettings(seed=1, cores=3).lease_ms
    3000
    """

    seed: int
    cores: int
    lease_ms: int = LEASE_MS


@dataclasses.dataclass(frozen=True)
class Case:
    """A fault, and the position in the chain of the core machine that it affects.

    >>> Case("kill", "tail").position
    'tail'
    """

    fault: str
    position: str


@dataclasses.dataclass(frozen=True)
class Recovery:
    """The result of one case: times in µs from the fault on, None for a time above RECOVERY_LIMIT_S."""

    case: Case
    acknowledged: int | None
    applied: int | None


@dataclasses.dataclass(frozen=True)
class Acknowledgement:
    """An acknowledged change."""

    sent: int  # time of the first request, in µs
    answered: int  # time of the acknowledgement, in µs
    version: int  # version of the configuration with the change


class Operators:
    """Operators who submit a change every 100 ms, each to the next core machine in turn.

    A change without an answer within a second, or with a 5xx status, is submitted again with the
    same content to the next core machine. A change that is refused because another one was
    accepted for the same base is dropped, and the current number is read.
    """

    def __init__(self, cluster: simulated_cluster.SimulatedCluster) -> None:
        self.cluster = cluster
        self.runtime = cluster.operator_runtime
        self.addresses = [f"{cluster.places[name][0]}:{addresses.HTTP_PORT}" for name in sorted(cluster.cores)]
        self.current = 0  # the number of the accepted change that new changes build on
        self.changes_in_flight = 0
        self.acknowledged: list[Acknowledgement] = []

    async def run(self) -> None:
        """Submit changes for as long as the simulation runs."""
        for number in itertools.count(1):
            if self.changes_in_flight < MAX_CHANGES_IN_FLIGHT:
                self.runtime.spawn(self.submit_change(number), log)
            await self.runtime.sleep(CHANGE_INTERVAL_US)

    async def submit_change(self, number: int) -> None:
        """Submit a change to one core machine after the other until one gives a definite answer."""
        sent = self.runtime.now()
        route = {"path": f"/p/{number}", "pool": self.cluster.pool}
        document = {"number": number, "built_on": self.current, "upsert": {"routes": {"probe": route}}}
        self.changes_in_flight += 1
        for attempt in itertools.count(number):
            address = self.addresses[attempt % len(self.addresses)]
            status, answer = await self.query(address, "POST", "/changes", document)
            if status < 500:
                break
            await self.runtime.sleep(RETRY_DELAY_US)
        self.changes_in_flight -= 1
        if status == 200:
            self.current = max(self.current, number)
            self.acknowledged.append(Acknowledgement(sent, self.runtime.now(), answer["stamp"]))
        else:
            await self.read_current_number(address)

    async def read_current_number(self, address: str) -> None:
        """Read the number of the last accepted change from a core machine."""
        status, answer = await self.query(address, "GET", "/blueprint")
        if status == 200:
            marks = answer["blueprint"].get("marks", {})
            self.current = max(self.current, marks.get("operator", {}).get("number", 0))

    async def query(
        self, address: str, method: str, path: str, document: dict[str, typing.Any] | None = None
    ) -> tuple[int, dict[str, typing.Any]]:
        """Send one request; a missing answer within a second and a failed connection count as status 504."""
        try:
            answer = defer.ensureDeferred(command.send_request(self.runtime, [address], method, path, document))
            return await self.runtime.within(answer, REQUEST_TIMEOUT_US)
        except Exception:
            return 504, {}


def chain_of(cluster: simulated_cluster.SimulatedCluster) -> list[str]:
    """The names of the core machines in the chain of the newest view, from head to tail."""
    views = [core.consensus.view for core in cluster.cores.values() if core.consensus.view is not None]
    newest = max(views, key=lambda view: view.number)
    names = {core.consensus.own_voter.id: name for name, core in cluster.cores.items()}
    return [names[connection.id] for connection in newest.chain]


def machine_at(cluster: simulated_cluster.SimulatedCluster, position: str) -> str:
    """The name of the core machine at a position of the chain."""
    chain = chain_of(cluster)
    return chain[{"head": 0, "middle": len(chain) // 2, "tail": -1}[position]]


def inject_fault(cluster: simulated_cluster.SimulatedCluster, fault: str, name: str) -> None:
    """Cause a fault of a core machine now, and schedule its end unless the fault is permanent."""
    core = cluster.cores[name]

    def later(seconds: int, function: collections.abc.Callable[..., object], *arguments: object) -> None:
        at = cluster.world.time + seconds * units.SECOND_US
        cluster.world.push(at, functools.partial(function, *arguments))

    match fault:
        case "cut":
            cluster.world.cut([core.options.host], list(cluster.world.machines))
            later(CUT_S, cluster.world.heal)
        case "kill":
            core.process.kill()
            later(RESTART_S, cluster.start_core, name, *cluster.places[name])
        case "kill for good":
            core.process.kill()
        case "freeze":
            core.process.freeze()
            later(FREEZE_S, core.process.wake)
        case "wipe":
            core.process.kill()
            core.process.host.synced.clear()
            later(RESTART_S, cluster.start_core, name, *cluster.places[name])


def idle_cluster(start: StartSettings) -> tuple[simulated_cluster.SimulatedCluster, Operators]:
    """A cluster without requests, with all core machines in its chain, advanced to a moment drawn from the seed."""
    cluster = simulated_cluster.SimulatedCluster(
        start.seed,
        "magnolia",
        long_rate=0,
        short_rate=0,
        conversations=0,
        cores=start.cores,
        seats=start.cores,
        lease_us=start.lease_ms * units.MILLISECOND_US,
    )
    cluster.probing = False
    cluster.begin()
    if not cluster.advance_until(lambda: len(chain_of(cluster)) == start.cores, RECOVERY_LIMIT_S):
        raise TimeoutError(f"the chain does not contain all core machines: {start}")
    operators = Operators(cluster)
    cluster.operator_runtime.spawn(operators.run(), log)
    cluster.advance(WARM_UP_S + cluster.rng.random())
    return cluster, operators


def measure(cluster: simulated_cluster.SimulatedCluster, operators: Operators, case: Case) -> Recovery:
    """Cause the fault, and wait until all nodes have applied the first change that was submitted after it."""
    started_at = cluster.world.time
    inject_fault(cluster, case.fault, machine_at(cluster, case.position))
    first = None
    while cluster.world.time < started_at + RECOVERY_LIMIT_S * units.SECOND_US:
        cluster.advance(STEP_S)
        first = first or next((done for done in operators.acknowledged if done.sent >= started_at), None)
        if first is not None and all(node.follower.applied_index >= first.version for node in cluster.nodes.values()):
            return Recovery(case, first.answered - started_at, cluster.world.time - started_at)
    return Recovery(case, None if first is None else first.answered - started_at, None)


def measure_seed(start: StartSettings, cases: list[Case]) -> list[Recovery]:
    """Measure all cases of one seed, each in a forked process that continues from the same idle cluster."""
    loguru.logger.remove()
    cluster, operators = idle_cluster(start)
    results = FORK.SimpleQueue()
    recoveries = []
    for case in cases:
        child = FORK.Process(target=lambda case=case: results.put(measure(cluster, operators, case)))
        child.start()
        child.join()
        if child.exitcode != 0:
            raise RuntimeError(f"{start}, {case}: the forked process exited with status {child.exitcode}")
        recoveries.append(results.get())
    return recoveries


def median_and_worst(values: list[int | None]) -> str:
    """Median and maximum, in seconds, of times in µs; None stands for a time above RECOVERY_LIMIT_S.

    >>> median_and_worst([1_200_000, 900_000, None])
    '1.20, over 30'
    """
    ordered = sorted(value if value is not None else RECOVERY_LIMIT_S * units.SECOND_US for value in values)
    worst = f"over {RECOVERY_LIMIT_S}" if None in values else f"{ordered[-1] / units.SECOND_US:.2f}"
    return f"{statistics.median(ordered) / units.SECOND_US:.2f}, {worst}"


def table(cores: int, cases: list[Case], recoveries: list[Recovery]) -> list[str]:
    """The rows of the printed table: one for each case, over all seeds.

    >>> kill = Case("kill", "tail")
    >>> print(*table(3, [kill], [Recovery(kill, 900_000, 950_000)]))
    | 3 | kill | tail | 1 | 0.90, 0.90 | 0.95, 0.95 |
    """
    rows = []
    for case in cases:
        recoveries_of_case = [recovery for recovery in recoveries if recovery.case == case]
        acknowledged = median_and_worst([recovery.acknowledged for recovery in recoveries_of_case])
        applied = median_and_worst([recovery.applied for recovery in recoveries_of_case])
        rows.append(
            f"| {cores} | {case.fault} | {case.position} | {len(recoveries_of_case)} | {acknowledged} | {applied} |"
        )
    return rows


def run(
    *,
    seeds: int = 50,
    cores: collections.abc.Sequence[int] = (3, 5),
    faults: collections.abc.Sequence[str] = FAULTS,
    positions: collections.abc.Sequence[str] = POSITIONS,
    lease_ms: int = LEASE_MS,
    jobs: int = 1,
) -> None:
    """Print the median and the maximum time in seconds over all seeds, a table row for each fault and position.

    :param seeds: number of seeds for each row; they count from 1
    :param cores: numbers of core machines
    :param faults: cut, kill, kill for good, freeze, wipe
    :param positions: head, middle, tail
    :param lease_ms: duration of a node's lease
    :param jobs: number of processes that run seeds in parallel
    """
    print("| core machines | fault | position | seeds | acknowledged: median, worst | applied: median, worst |")
    print("|---|---|---|---|---|---|")
    cases = [Case(fault, position) for fault, position in itertools.product(faults, positions)]
    play = functools.partial(measure_seed, cases=cases)
    with concurrent.futures.ProcessPoolExecutor(jobs, mp_context=FORK) as pool:
        for count in cores:
            starts = [StartSettings(seed, count, lease_ms) for seed in range(1, seeds + 1)]
            recoveries = list(itertools.chain.from_iterable(pool.map(play, starts)))
            print("\n".join(table(count, cases, recoveries)), flush=True)


if __name__ == "__main__":
    defopt.run(run)
