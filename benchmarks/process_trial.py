"""Real processes under load and faults, judged by the same checkers as the simulator's runs.

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

LOAD_S = 3600  # longer than all cases together; `Trial.finish` ends it
SETTLE_S = 5
WAIT_S = 30  # until when a process must be ready again, or its data complete
FREEZE_S = 4
STOP_S = 40
LOG_LINES_A_REQUEST = 2  # of a worker's log: its begin and its end


class Trial:
    """A fleet, the load on it, and the log of what was done to it.

    Args:
        f: The fleet, not yet begun.
        seconds: How long the load goes on at most.
        more: Further options of the load generator.
    """

    def __init__(self, f: fleet.Fleet, seconds: int, more: collections.abc.Sequence[str] = ()) -> None:
        self.fleet = f
        self.out = pathlib.Path(f.events("trial")).open("w")  # noqa: SIM115 - open until the trial ends
        self.tape = load_generator.Events(self.out)
        f.begin(self.note)
        self.note("begun", blueprint=f.configuration, zones=self.zones())
        self.load = f.load(seconds, *more)
        f.until(lambda: self.count("load") > 5, "the load has begun", 20)

    def note(self, kind: str, **more: object) -> None:
        """Write a row to the trial's own log."""
        self.tape.put(scheduler.boottime(), kind, **more)
        self.out.flush()

    def fault(self, what: str, target: str, large: bool = False) -> None:
        """Note a fault."""
        role = next(
            (r for r, group in (("core", self.fleet.cores), ("node", self.fleet.nodes)) if target in group), "worker"
        )
        address = f"{fleet.HOST}:{self.fleet.nodes[target][1]}" if role == "node" else ""
        self.note(
            "fault",
            what=what,
            target=target,
            large=large,
            role=role,
            addr=address,
            duty=role == "node" and target in self.fleet.assigned_owners(),
        )

    def repair(self, what: str, target: str) -> None:
        """Note that a fault is over."""
        self.note("mend", what=what, target=target)

    def zones(self) -> dict[str, str]:
        """The zones of the nodes' doors."""
        return {f"{fleet.HOST}:{http}": self.fleet.zones[n] for n, (_, http) in self.fleet.nodes.items()}

    def restart(self, name: str) -> None:
        """Start a process again, and note that its fault is over."""
        self.fleet.restart(name)
        self.note("moved", zones=self.zones())
        self.repair("start", name)

    def count(self, name: str) -> int:
        """How many lines a log has so far."""
        try:
            with pathlib.Path(self.fleet.events(name)).open() as log:
                return sum(1 for _ in log)
        except FileNotFoundError:
            return 0

    def served(self, n: int) -> None:
        """Wait until the workers have finished n more requests."""
        goal = self._worker_lines() + LOG_LINES_A_REQUEST * n
        self.fleet.until(lambda: self._worker_lines() >= goal, f"{n} more exchanges are served", WAIT_S)

    def _worker_lines(self) -> int:
        return sum(self.count(name) for name in self.fleet.workers)

    def finish(self) -> tuple[dict[str, typing.Any], dict[str, list[str]], list[str]]:
        """Wait for the load, read the configuration back, judge: report, complaints, recoveries."""
        self.load.send_signal(signal.SIGINT)
        report = json.loads(self.load.communicate()[0])
        for _, http in self.fleet.cores.values():
            status, document = fleet.query(http, "GET", "/blueprint")
            if status == fleet.OK:
                self.note("read", stamp=document["stamp"], blueprint=document["blueprint"])
                break
        self.note("ended")
        self.out.close()
        rows = []
        for name in ["trial", "load", "platform", *self.fleet.workers]:
            with pathlib.Path(self.fleet.events(name)).open() as log:
                rows += replay.read(log)[0]
        rows.sort(key=lambda r: r["at"])
        return report, replay.judge(rows), replay.recovery_lines(rows)


# ---- cases ---------------------------------------------------------------------------------


def spread(t: Trial, names: collections.abc.Sequence[str], seconds: float) -> None:
    """Kill processes at once, let the load go on, start them again."""
    for x in names:
        t.fault("kill", x, large=len(names) > 1)
        t.fleet.kill(x)
    time.sleep(seconds)
    for x in names:
        t.restart(x)
    time.sleep(9)


def change(t: Trial) -> None:
    """A change of the configuration is confirmed."""
    document = json.loads(json.dumps(t.fleet.configuration))
    document["routes"]["late"] = {"path": "/v1/late", "pool": t.fleet.pool}
    started_at = time.monotonic()
    t.fleet.until(lambda: t.fleet.confirm(document, t.note), "the change is confirmed", 20)
    print(f"change acknowledged after {1000 * (time.monotonic() - started_at):.0f} ms")


def drain(t: Trial) -> None:
    """A worker is listed as leaving, then gone, then ended; another one comes."""
    name = sorted(t.fleet.workers)[0]
    t.fleet.add_worker(f"{name}b")
    t.fleet.list_worker(id=name, state="leaving")
    time.sleep(7)
    t.fleet.list_worker(id=name, state="gone")
    t.fleet.kill(name)
    time.sleep(3)


def node(t: Trial) -> None:
    """A node is killed and started again."""
    spread(t, [next(n for n in t.fleet.nodes if n not in t.fleet.assigned_owners())], 4)


def warden(t: Trial) -> None:
    """The pool owner is killed and started again."""
    spread(t, [t.fleet.owner()], 4)


def core(t: Trial) -> None:
    """Each core machine in turn is killed and started again."""
    for c in sorted(t.fleet.cores):
        spread(t, [c], 3)


def hall(t: Trial) -> None:
    """All processes of a zone are killed at once."""
    zone = sorted(set(t.fleet.zones.values()))[-1]
    spread(t, [x for x in [*t.fleet.cores, *t.fleet.nodes] if t.fleet.zones[x] == zone], 4)
    time.sleep(6)


def everything(t: Trial) -> None:
    """All cores and nodes are killed at once."""
    spread(t, [*t.fleet.cores, *t.fleet.nodes], 0.5)
    time.sleep(6)


def freeze(t: Trial) -> None:
    """The pool owner freezes for four seconds, then a core machine."""
    for name in (t.fleet.owner(), sorted(t.fleet.cores)[-1]):
        t.fault("freeze", name)
        t.fleet.signal(name, signal.SIGSTOP)
        time.sleep(FREEZE_S)
        t.fleet.signal(name, signal.SIGCONT)
        t.repair("wake", name)
        time.sleep(8)


def blank(t: Trial) -> None:
    """A core machine comes back with an empty data folder."""
    name = sorted(t.fleet.cores)[0]
    t.fault("disk lost", name)
    t.fleet.kill(name)
    shutil.rmtree(t.fleet.folder / name)
    time.sleep(1)
    t.restart(name)
    t.fleet.until(lambda: t.fleet.state(name).get("whole"), f"{name} is whole", WAIT_S)
    time.sleep(4)


def moved(t: Trial) -> None:
    """A core machine is gone for good; an empty one comes at a new address."""
    name = sorted(t.fleet.cores)[0]
    t.fault("gone for good", name)
    t.fleet.kill(name)
    del t.fleet.cores[name]
    time.sleep(2)
    t.fleet.add_core("c9", fleet.free_port(), t.fleet.zones[name])
    t.fleet.until(lambda: t.fleet.state("c9").get("whole"), "c9 is whole", WAIT_S)
    t.repair("start", name)
    time.sleep(4)


def full(t: Trial) -> None:
    """A core machine's files may not grow or change for a while: its disk refuses every write."""
    name = sorted(t.fleet.cores)[-1]
    pid = t.fleet.processes[name].pid
    was = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    t.fault("disk full", name)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, was[1]))
    for _ in range(3):
        t.fleet.confirm(t.fleet.configuration, t.note)
        time.sleep(2)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, was)
    t.repair("disk mended", name)
    t.fleet.until(
        lambda: t.fleet.state(name).get("whole") and t.fleet.state(name).get("disk_ok"), f"{name} is back", WAIT_S
    )
    time.sleep(3)


def roll(t: Trial) -> None:
    """Every node and core is stopped in good order and started again, one after the other."""
    for name in [*t.fleet.nodes, *t.fleet.cores]:
        if name in t.fleet.cores:
            t.fault("stop", name)
        t.fleet.signal(name, signal.SIGTERM)
        t.fleet.processes[name].wait(STOP_S)
        t.restart(name)
        _wait_until_ready(t, name)
        time.sleep(1)


def _wait_until_ready(t: Trial, name: str) -> None:
    t.fleet.until(lambda: t.fleet.ready(name), f"{name} is ready", WAIT_S)


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
    """Run a fleet under load through cases of changes and faults, and judge what the outside saw.

    :param shape: magnolia, swan or small
    :param cases: cases by name, in their order; all where none is named
    :param long_rate: long prompts per second
    :param short_rate: short prompts per second
    """
    bad = [c for c in cases if c not in CASES]
    if shape not in fleet.SHAPES or bad:
        sys.exit(
            f"trial: no shape or case {' '.join(bad) or shape}; "
            f"there are {', '.join(fleet.SHAPES)}, and {', '.join(CASES)}"
        )
    with fleet.Fleet(shape) as f:
        t = Trial(f, LOAD_S, ["--long-rate", str(long_rate), "--short-rate", str(short_rate)])
        time.sleep(SETTLE_S)
        for name in list(cases) or list(CASES):
            t.note("case", name=name)
            CASES[name](t)
            time.sleep(2)
        report, found, back = t.finish()
    _print_findings(report, found, back)
    sys.exit(1 if found else 0)


def _print_findings(report: dict[str, typing.Any], found: dict[str, list[str]], back: list[str]) -> None:
    print(json.dumps(report, indent=2))
    for line in back:
        print(line)
    for checker, lines in found.items():
        for line in lines:
            print(f"{checker}: {line}")
    print(f"{sum(map(len, found.values()))} complaints")


if __name__ == "__main__":
    defopt.run(run)
