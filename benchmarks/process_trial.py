"""Runs a fleet of real processes under load and faults, and judges its event logs with the simulator's checkers.

python -m benchmarks.process_trial magnolia
python -m benchmarks.process_trial swan --cases warden hall full
"""

from __future__ import annotations

import collections.abc
import json
import pathlib
import resource
import shutil
import signal
import sys
import time
import typing

import defopt

from benchmarks import fleet
from iriswheel.cli import load_generator
from iriswheel.runtime import scheduler
from iriswheel.verification import replay

LOAD_S = 3600  # upper limit of the load, longer than all cases together; `Trial.finish` stops it earlier
SETTLE_S = 5  # load without faults before the first case
WAIT_S = 30  # limit for a process to become ready again, or for its data to become complete
FREEZE_S = 4
STOP_S = 40  # limit for a process to exit after SIGTERM
LOG_LINES_A_REQUEST = 2  # lines of a worker's event log for each request: its begin and its end


class Trial:
    """A fleet, the load on it, and an event log of the faults and changes that the trial causes.

    Args:
        deployment: The fleet, not yet started; the trial starts it.
        seconds: How long the load lasts at most.
        extra_options: Further command-line options of the load generator.
    """

    def __init__(
        self, deployment: fleet.Fleet, seconds: int, extra_options: collections.abc.Sequence[str] = ()
    ) -> None:
        self.fleet = deployment
        self.out = pathlib.Path(deployment.event_log_path("trial")).open("w")  # noqa: SIM115 - open until the trial ends
        self.event_log = load_generator.Events(self.out)
        deployment.begin(self.record_event)
        self.record_event("begun", blueprint=deployment.configuration, zones=self.zones())
        self.load = deployment.start_load(seconds, *extra_options)
        deployment.wait_until(lambda: self.count_lines("load") > 5, "the load has begun", 20)

    def record_event(self, kind: str, **fields: object) -> None:
        """Write an event to the trial's own event log."""
        self.event_log.put(scheduler.boottime(), kind, **fields)
        self.out.flush()

    def record_fault(self, what: str, target: str, large: bool = False) -> None:
        """Record that a fault begins.

        Args:
            what: The kind of fault.
            target: The name of the process that it affects.
            large: Whether several processes fail at once.
        """
        role = next(
            (
                role_name
                for role_name, group in (("core", self.fleet.cores), ("node", self.fleet.nodes))
                if target in group
            ),
            "worker",
        )
        address = f"{fleet.HOST}:{self.fleet.nodes[target][1]}" if role == "node" else ""
        self.record_event(
            "fault",
            what=what,
            target=target,
            large=large,
            role=role,
            addr=address,
            duty=role == "node" and target in self.fleet.assigned_owners(),
        )

    def record_repair(self, what: str, target: str) -> None:
        """Record that a fault of a process has ended."""
        self.record_event("mend", what=what, target=target)

    def zones(self) -> dict[str, str]:
        """The zone of each node, by the node's HTTP address."""
        return {f"{fleet.HOST}:{http}": self.fleet.zones[name] for name, (_, http) in self.fleet.nodes.items()}

    def restart(self, name: str) -> None:
        """Start a process again; record the nodes' present addresses and the end of the fault."""
        self.fleet.restart(name)
        self.record_event("moved", zones=self.zones())
        self.record_repair("start", name)

    def count_lines(self, name: str) -> int:
        """How many lines a process's event log has so far."""
        try:
            with pathlib.Path(self.fleet.event_log_path(name)).open() as log:
                return sum(1 for _ in log)
        except FileNotFoundError:
            return 0

    def wait_until_served(self, count: int) -> None:
        """Wait until the workers have finished the given number of further requests."""
        goal = self._worker_lines() + LOG_LINES_A_REQUEST * count
        self.fleet.wait_until(
            lambda: self._worker_lines() >= goal, f"workers have finished {count} more requests", WAIT_S
        )

    def _worker_lines(self) -> int:
        return sum(self.count_lines(name) for name in self.fleet.workers)

    def finish(self) -> tuple[dict[str, typing.Any], dict[str, list[str]], list[str]]:
        """Stop the load, read the configuration back, and judge all event logs.

        Returns:
            The load generator's report, the complaints by checker, and a line for each recovery from a fault.
        """
        self.load.send_signal(signal.SIGINT)
        report = json.loads(self.load.communicate()[0])
        for _, http in self.fleet.cores.values():
            status, document = fleet.query(http, "GET", "/blueprint")
            if status == fleet.OK:
                self.record_event("read", stamp=document["stamp"], blueprint=document["blueprint"])
                break
        self.record_event("ended")
        self.out.close()
        rows = []
        for name in ["trial", "load", "platform", *self.fleet.workers]:
            with pathlib.Path(self.fleet.event_log_path(name)).open() as log:
                rows += replay.read(log)[0]
        rows.sort(key=lambda r: r["at"])
        return report, replay.judge(rows), replay.recovery_lines(rows)


# ---- cases ---------------------------------------------------------------------------------


def kill_and_restart(trial: Trial, names: collections.abc.Sequence[str], seconds: float) -> None:
    """Kill some processes at once, let the load go on for some seconds without them, then start them again."""
    for name in names:
        trial.record_fault("kill", name, large=len(names) > 1)
        trial.fleet.kill(name)
    time.sleep(seconds)
    for name in names:
        trial.restart(name)
    time.sleep(9)


def change(trial: Trial) -> None:
    """A route is added to the configuration; prints how long the confirmation took."""
    document = json.loads(json.dumps(trial.fleet.configuration))
    document["routes"]["late"] = {"path": "/v1/late", "pool": trial.fleet.pool}
    started_at = time.monotonic()
    trial.fleet.wait_until(
        lambda: trial.fleet.confirm(document, trial.record_event), "a core machine has confirmed the change", 20
    )
    print(f"change acknowledged after {1000 * (time.monotonic() - started_at):.0f} ms")


def drain(trial: Trial) -> None:
    """A new worker is added; an old one is listed as leaving, then as gone, and is then killed."""
    name = sorted(trial.fleet.workers)[0]
    trial.fleet.add_worker(f"{name}b")
    trial.fleet.list_worker(id=name, state="leaving")
    time.sleep(7)
    trial.fleet.list_worker(id=name, state="gone")
    trial.fleet.kill(name)
    time.sleep(3)


def node(trial: Trial) -> None:
    """A node that neither owns a pool nor holds replicas is killed and started again."""
    kill_and_restart(trial, [next(name for name in trial.fleet.nodes if name not in trial.fleet.assigned_owners())], 4)


def warden(trial: Trial) -> None:
    """The node that is the pool owner is killed and started again."""
    kill_and_restart(trial, [trial.fleet.owner()], 4)


def core(trial: Trial) -> None:
    """Each core machine in turn is killed and started again."""
    for name in sorted(trial.fleet.cores):
        kill_and_restart(trial, [name], 3)


def hall(trial: Trial) -> None:
    """All core machines and nodes of a zone are killed at once and started again."""
    zone = sorted(set(trial.fleet.zones.values()))[-1]
    kill_and_restart(
        trial, [name for name in [*trial.fleet.cores, *trial.fleet.nodes] if trial.fleet.zones[name] == zone], 4
    )
    time.sleep(6)


def everything(trial: Trial) -> None:
    """All core machines and nodes are killed at once and started again."""
    kill_and_restart(trial, [*trial.fleet.cores, *trial.fleet.nodes], 0.5)
    time.sleep(6)


def freeze(trial: Trial) -> None:
    """The pool owner is frozen for four seconds, then a core machine."""
    for name in (trial.fleet.owner(), sorted(trial.fleet.cores)[-1]):
        trial.record_fault("freeze", name)
        trial.fleet.signal(name, signal.SIGSTOP)
        time.sleep(FREEZE_S)
        trial.fleet.signal(name, signal.SIGCONT)
        trial.record_repair("wake", name)
        time.sleep(8)


def blank(trial: Trial) -> None:
    """A core machine comes back with an empty data folder."""
    name = sorted(trial.fleet.cores)[0]
    trial.record_fault("disk lost", name)
    trial.fleet.kill(name)
    shutil.rmtree(trial.fleet.folder / name)
    time.sleep(1)
    trial.restart(name)
    trial.fleet.wait_until(lambda: trial.fleet.state(name).get("whole"), f"the data of {name} are complete", WAIT_S)
    time.sleep(4)


def moved(trial: Trial) -> None:
    """A core machine is lost permanently; a new one with an empty data folder starts at another address."""
    name = sorted(trial.fleet.cores)[0]
    trial.record_fault("gone for good", name)
    trial.fleet.kill(name)
    del trial.fleet.cores[name]
    time.sleep(2)
    trial.fleet.add_core("c9", fleet.free_port(), trial.fleet.zones[name])
    trial.fleet.wait_until(lambda: trial.fleet.state("c9").get("whole"), "the data of c9 are complete", WAIT_S)
    trial.record_repair("start", name)
    time.sleep(4)


def full(trial: Trial) -> None:
    """A core machine's file size limit is zero for a while, so that every write to its disk fails."""
    name = sorted(trial.fleet.cores)[-1]
    pid = trial.fleet.processes[name].pid
    original_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    trial.record_fault("disk full", name)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, original_limit[1]))
    for _ in range(3):
        trial.fleet.confirm(trial.fleet.configuration, trial.record_event)
        time.sleep(2)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, original_limit)
    trial.record_repair("disk mended", name)
    trial.fleet.wait_until(
        lambda: trial.fleet.state(name).get("whole") and trial.fleet.state(name).get("disk_ok"),
        f"the data of {name} are complete and its disk works",
        WAIT_S,
    )
    time.sleep(3)


def roll(trial: Trial) -> None:
    """Every node and core machine is stopped with SIGTERM and started again, one after the other."""
    for name in [*trial.fleet.nodes, *trial.fleet.cores]:
        if name in trial.fleet.cores:
            trial.record_fault("stop", name)
        trial.fleet.signal(name, signal.SIGTERM)
        trial.fleet.processes[name].wait(STOP_S)
        trial.restart(name)
        _wait_until_ready(trial, name)
        time.sleep(1)


def _wait_until_ready(trial: Trial, name: str) -> None:
    trial.fleet.wait_until(lambda: trial.fleet.ready(name), f"{name} is ready", WAIT_S)


CASES: dict[str, collections.abc.Callable[[Trial], None]] = {
    case.__name__: case
    for case in (change, drain, node, warden, core, hall, everything, freeze, blank, moved, full, roll)
}


def run(
    shape: str = "magnolia",
    *,
    cases: collections.abc.Sequence[str] = (),
    long_rate: float = 4.0,
    short_rate: float = 40.0,
) -> typing.NoReturn:
    """Run a fleet under load through cases of changes and faults, and judge the event logs of clients and workers.

    :param shape: magnolia, swan or small
    :param cases: names of the cases, in the order in which they run; all cases if none is given
    :param long_rate: long prompts per second
    :param short_rate: short prompts per second
    """
    unknown_cases = [case for case in cases if case not in CASES]
    if shape not in fleet.SHAPES or unknown_cases:
        sys.exit(
            f"trial: unknown shape or case: {' '.join(unknown_cases) or shape}; "
            f"known shapes: {', '.join(fleet.SHAPES)}; known cases: {', '.join(CASES)}"
        )
    with fleet.Fleet(shape) as deployment:
        trial = Trial(deployment, LOAD_S, ["--long-rate", str(long_rate), "--short-rate", str(short_rate)])
        time.sleep(SETTLE_S)
        for name in list(cases) or list(CASES):
            trial.record_event("case", name=name)
            CASES[name](trial)
            time.sleep(2)
        report, complaints, recoveries = trial.finish()
    _print_findings(report, complaints, recoveries)
    sys.exit(1 if complaints else 0)


def _print_findings(report: dict[str, typing.Any], complaints: dict[str, list[str]], recoveries: list[str]) -> None:
    print(json.dumps(report, indent=2))
    for line in recoveries:
        print(line)
    for checker, lines in complaints.items():
        for line in lines:
            print(f"{checker}: {line}")
    print(f"{sum(map(len, complaints.values()))} complaints")


if __name__ == "__main__":
    defopt.run(run)
