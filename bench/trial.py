"""Real processes under load and faults, judged by the same checkers as the simulator's runs.

    python -m bench.trial magnolia
"""

import json
import signal
import sys
import time

import defopt

import bench.fleet as fleet
import iriswheel.load as load
import iriswheel.machine as machine
import iriswheel.replay as replay


class Trial:
    """A fleet, the load on it, and the log of what was done to it.

    Example: `t = Trial(fleet, 60)`; `t.fault("kill", "n1", True)`.
    """

    def __init__(self, f, seconds, more=()):
        self.fleet = f
        self.out = open(f.events("trial"), "w")
        self.tape = load.Events(self.out)
        f.begin(self.note)
        self.note("begun", cap=f.blueprint["pools"][f.pool].get("cap", 10), lifetime_us=60 * machine.SECOND,
                  blueprint=f.blueprint)
        self.load = f.load(seconds, *more)
        f.until(lambda: self.count("load") > 5, "the load has begun", 20)

    def note(self, kind, **more):
        """Write a row to the trial's own log.

        Example: `trial.note("ended")`
        """
        self.tape.put(machine.boottime(), kind, **more)
        self.out.flush()

    def fault(self, what, target, large=False):
        """Note a fault.

        Example: `trial.fault("kill", "n1")`
        """
        self.note("fault", what=what, target=target, large=large)

    def count(self, name):
        """How many lines a log has so far.

        Example: `trial.count("load")`
        """
        try:
            with open(self.fleet.events(name)) as f:
                return sum(1 for _ in f)
        except FileNotFoundError:
            return 0

    def served(self, n):
        """Wait until the workers have finished n more exchanges.

        Example: `trial.served(20)`
        """
        done = lambda: sum(self.count(w) for w in self.fleet.workers)  # noqa: E731
        goal = done() + 2 * n
        self.fleet.until(lambda: done() >= goal, f"{n} more exchanges are served", 30)

    def finish(self):
        """Wait for the load, read the blueprint back, judge: report, complaints, recoveries.

        Example: `report, found, back = trial.finish()`
        """
        report = json.loads(self.load.communicate()[0])
        for _, http in self.fleet.cores.values():
            status, doc = fleet.ask(http, "GET", "/blueprint")
            if status == 200:
                self.note("read", stamp=doc["stamp"], blueprint=doc["blueprint"])
                break
        self.note("ended")
        self.out.close()
        rows = []
        for name in ["trial", "load", "platform", *self.fleet.workers]:
            with open(self.fleet.events(name)) as f:
                rows += replay.read(f)[0]
        rows.sort(key=lambda r: r["at"])
        return report, replay.judge(rows), replay.recovery_lines(rows)


def run(shape: str = "magnolia", *, seconds: int = 75, long_rate: float = 4.0, short_rate: float = 40.0):
    """Run a fleet under load; change its blueprint, drain a worker, kill and freeze processes.

    :param shape: magnolia, swan or small
    :param seconds: how long the load lasts
    :param long_rate: long prompts per second
    :param short_rate: short prompts per second
    """
    if shape not in fleet.SHAPES:
        sys.exit(f"trial: no shape {shape!r}; there are {', '.join(fleet.SHAPES)}")
    with fleet.Fleet(shape) as f:
        t = Trial(f, seconds, ["--long-rate", str(long_rate), "--short-rate", str(short_rate)])
        time.sleep(5)
        doc = json.loads(json.dumps(f.blueprint))
        doc["routes"]["late"] = {"path": "/v1/late", "pool": f.pool}
        began = time.monotonic()
        f.until(lambda: f.confirm(doc, t.note), "the change is confirmed", 20)
        print(f"change acknowledged after {1000 * (time.monotonic() - began):.0f} ms")
        time.sleep(4)
        t.fault("drain", "w1")
        f.list(id="w1", state="leaving")
        time.sleep(7)
        f.list(id="w1", state="gone")
        f.kill("w1")
        time.sleep(4)
        name = next(n for n in f.nodes if n != f.warden())
        for what, name in (("node", name), ("warden", f.warden()), ("core", "c1")):
            t.fault(f"kill {what}", name, True)
            f.kill(name)
            time.sleep(4)
            t.fault("start", name)
            f.restart(name)
            time.sleep(9)
        name = f.warden()
        t.fault("freeze warden", name, True)
        f.signal(name, signal.SIGSTOP)
        time.sleep(4)
        f.signal(name, signal.SIGCONT)
        t.fault("wake", name)
        report, found, back = t.finish()
    print(json.dumps(report, indent=2))
    for line in back:
        print(line)
    for checker, lines in found.items():
        for line in lines:
            print(f"{checker}: {line}")
    print(f"{sum(map(len, found.values()))} complaints")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    defopt.run(run)
