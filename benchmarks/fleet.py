"""A whole fleet as processes on this machine, with stand-in workers and platform.

python -m benchmarks.fleet small                     run until interrupted
python -m benchmarks.fleet magnolia --load 20        run the load generator, then stop
"""

from __future__ import annotations

import builtins
import collections.abc
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing
import urllib.error
import urllib.request

import defopt

if typing.TYPE_CHECKING:
    import signal as signal_module


SHAPES = {
    # zones of the nodes, workers, pool, configuration
    "small": (["a", "a"], 2, "desk", "magnolia.json"),
    "magnolia": (["a", "a", "b", "b", "c", "d"], 5, "desk", "magnolia.json"),
    "swan": (["yard", "yard", "yard", "mill", "mill", "mill", "office", "office"], 6, "reviews", "swan.json"),
}
HOST = "127.0.0.1"
LISTENS = re.compile(r"listens on [0-9.]+:([0-9]+), HTTP on [0-9.]+:([0-9]+)")
EXAMPLES = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "examples")


def query(
    port: int, method: str, path: str, document: dict[str, typing.Any] | None = None, timeout: int = 5
) -> tuple[int, dict[str, typing.Any]]:
    """One small HTTP request: status and JSON."""
    raw = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(f"http://{HOST}:{port}{path}", raw, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as e:
        return e.code, json.loads(e.read() or b"{}")
    except (OSError, ValueError):
        return 0, {}


def free_port() -> int:
    """A free port for a core machine, whose port must be known before it starts.

    It lies below the ports that the system hands out by itself, so that no connection
    takes it between this look and the start.

    >>> 20_000 <= free_port() < 32_000
    True
    """
    while True:
        port = random.randrange(20_000, 32_000)
        with contextlib.suppress(OSError), contextlib.closing(socket.socket()) as s:
            s.bind((HOST, port))
            return port


class Fleet:
    """The processes of one fleet."""

    def __init__(self, shape: str, folder: None = None) -> None:
        self.zone_names, self.worker_count, self.pool, name = SHAPES[shape]
        with open(os.path.join(EXAMPLES, name)) as f:
            self.configuration = json.load(f)
        self.own = folder is None
        self.folder = folder or tempfile.mkdtemp(prefix="iriswheel-")
        self.processes: dict[str, subprocess.Popen[typing.Any]] = {}  # name -> Popen
        self.lines: dict[str, tuple[builtins.list[str], bool]] = {}  # name -> how it was started
        self.starts: dict[str, int] = {}  # name -> where in its log its present life begins
        self.cores: dict[str, tuple[int, int]] = {}  # name -> (port, http)
        self.nodes: dict[str, tuple[int, int]] = {}  # name -> (port, http)
        self.workers: dict[str, int] = {}  # name -> port
        self.zones: dict[str, str] = {}  # name of a core or node -> its zone
        self.platform = 0

    def __enter__(self) -> Fleet:
        """Return the fleet itself, for a `with` statement."""
        return self

    def __exit__(self, *_: None) -> None:
        """Stop all processes."""
        self.end()

    def spawn(self, name: str, args: builtins.list[str], inherited: bool = False) -> int | None:
        """Start one process; with `told`, read the port that it prints."""
        log = open(os.path.join(self.folder, f"{name}.log"), "a")
        self.starts[name] = log.tell()
        p = subprocess.Popen(
            [sys.executable, *args], stderr=log, stdout=subprocess.PIPE if inherited else log, start_new_session=True
        )
        log.close()
        self.processes[name] = p
        self.lines[name] = (args, inherited)
        return int(p.stdout.readline()) if inherited else None

    def events(self, name: str) -> str:
        """The path of a process's event log."""
        return os.path.join(self.folder, f"{name}.events")

    def begin(self, note: collections.abc.Callable[..., object] | None = None) -> None:
        """Start everything, wait until it serves, confirm the configuration."""
        self.platform = self.spawn(
            "platform", ["-m", "benchmarks.stand_ins", "platform", "--events", self.events("platform")], True
        )
        for k in range(1, self.worker_count + 1):
            self.add_worker(f"w{k}")
        ports = [free_port() for _ in range(3)]
        self.seeds = [f"{HOST}:{p}" for p in ports]
        for k, port in enumerate(ports, 1):
            self.add_core(f"c{k}", port, sorted(set(self.zone_names))[(k - 1) % len(set(self.zone_names))])
        for k, zone in enumerate(self.zone_names, 1):
            self.add_node(f"n{k}", zone)
        self.until(lambda: self.confirm(self.configuration, note), "the blueprint is confirmed", 30)
        self.until(lambda: all(self.ready(n) for n in self.nodes), "all nodes are ready", 30)

    def add_worker(self, name: str) -> None:
        """Start a worker and list it."""
        args = ["-m", "benchmarks.stand_ins", "worker", "--ident", name, "--events", self.events(name)]
        port = self.workers[name] = self.spawn(name, args, True)
        self.list(id=name, host=HOST, port=port, pool=self.pool, state="ready")

    def add_core(self, name: str, port: int, zone: str) -> None:
        """Start a core machine."""
        self.zones[name] = zone
        self.spawn(
            name,
            [
                "-m",
                "iriswheel",
                "core",
                "--name",
                name,
                "--host",
                HOST,
                "--port",
                str(port),
                "--zone",
                zone,
                "--data",
                os.path.join(self.folder, name),
                "--seeds",
                *self.seeds,
            ],
        )
        self.cores[name] = self.learn(name)

    def add_node(self, name: str, zone: str) -> None:
        """Start a node."""
        self.zones[name] = zone
        self.spawn(
            name,
            [
                "-m",
                "iriswheel",
                "node",
                "--name",
                name,
                "--host",
                HOST,
                "--zone",
                zone,
                "--platform",
                f"{HOST}:{self.platform}",
                "--seeds",
                *self.seeds,
            ],
        )
        self.nodes[name] = self.learn(name)
        query(self.platform, "POST", "/nodes", {"name": name, "host": HOST, "port": self.nodes[name][1]})

    def learn(self, name: str) -> tuple[int, int]:
        """The ports that a process says it listens on, once it says so."""
        found = []

        def inherited() -> list[tuple[str, str]]:
            with open(os.path.join(self.folder, f"{name}.log")) as f:
                f.seek(self.starts[name])
                found.extend(LISTENS.findall(f.read()))
            return found

        self.until(inherited, f"{name} listens", 20)
        return tuple(map(int, found[0]))

    def list(self, **row: int | str) -> tuple[int, dict[typing.Any, typing.Any]]:
        """Change the platform's list."""
        return query(self.platform, "POST", "/workers", row)

    def ready(self, name: str) -> bool:
        """Whether a node says that it is ready."""
        return query({**self.cores, **self.nodes}[name][1], "GET", "/ready")[0] == 200

    def assigned_owners(self) -> set[str]:
        """The nodes that are a pool's pool owner or keep its copies."""
        out = set()
        for n in self.nodes:
            if self.processes[n].poll() is None:
                for d in self.state(n).get("duties", []):
                    out |= {i.rsplit("-", 1)[0] for i in [d["holder"], *d["copies"]]}
                if out:
                    break
        return out

    def state(self, name: str) -> dict[str, typing.Any]:
        """What a process shows of itself."""
        return query({**self.cores, **self.nodes}[name][1], "GET", "/state")[1]

    def confirm(
        self,
        document: dict[str, dict[str, dict[str, typing.Any]]],
        note: collections.abc.Callable[..., object] | None = None,
    ) -> int:
        """Plan and confirm a configuration through any core: its version, or 0."""
        note = note or (lambda kind, **more: None)
        for _, http in self.cores.values():
            status, plan = query(http, "POST", "/plans", {"blueprint": document})
            if status == 200:
                note("confirm_sent", plan=plan["id"], base=plan["base"], probe=0, who="boss", blueprint=document)
                status, response = query(http, "POST", f"/plans/{plan['id']}/confirm", {})
                if status == 200:
                    note("confirmed", plan=plan["id"], stamp=response["stamp"], probe=0, who="boss")
                    return response["stamp"]
        return 0

    def until(self, condition: collections.abc.Callable[..., object], what: str, seconds: int) -> float:
        """Wait until a condition holds; how long that took."""
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() - started_at > seconds:
                raise TimeoutError(f"not within {seconds} s: {what}")
            for name, p in self.processes.items():
                if p.poll() not in (None, 0, -signal.SIGKILL):
                    raise RuntimeError(f"{name} ended with {p.returncode}; see {self.folder}/{name}.log")
            time.sleep(0.05)
        return time.monotonic() - started_at

    def cpu(self) -> typing.Any:
        """The share of a core that each process used since it started."""
        out, tick = {}, os.sysconf("SC_CLK_TCK")
        with open("/proc/uptime") as f:
            up = float(f.read().split()[0])
        for name, p in self.processes.items():
            with open(f"/proc/{p.pid}/stat") as f:
                rest = f.read().rsplit(")", 1)[1].split()
            out[name] = (int(rest[11]) + int(rest[12])) / tick / max(0.1, up - int(rest[19]) / tick)
        return out

    def signal(self, name: str, signal_number: signal_module.Signals) -> None:
        """Send a signal to one of our own processes."""
        self.processes[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill one of our own processes."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def restart(self, name: str) -> None:
        """Start a process again as it was."""
        args, inherited = self.lines[name]
        got = self.spawn(name, args, inherited)
        if name in self.cores:
            self.cores[name] = self.learn(name)
        elif name in self.nodes:
            self.nodes[name] = self.learn(name)
            query(self.platform, "POST", "/nodes", {"name": name, "host": HOST, "port": self.nodes[name][1]})
        else:
            self.workers[name] = got
            self.list(id=name, host=HOST, port=got, pool=self.pool, state="ready")

    def owner(self) -> str:
        """The name of the node that is the pool's pool owner now, or ""."""
        return next((n for n in self.nodes if self.processes[n].poll() is None and self.owner_of(n)), "")

    def owner_of(self, name: str) -> bool:
        """Whether a node is a seated pool owner."""
        return any(w["seated"] for w in self.state(name).get("wardens", []))

    def end(self) -> None:
        """Stop all that was started here."""
        for p in self.processes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.processes.values():
            p.wait()
            if p.stdout is not None:
                p.stdout.close()
        if self.own:
            shutil.rmtree(self.folder, ignore_errors=True)

    def load(self, seconds: int, *more: typing.Any) -> subprocess.Popen[typing.Any]:
        """Start the load generator; its report is what it prints."""
        places = [f"{HOST}:{http}" for _, http in self.nodes.values()]
        return subprocess.Popen(
            [
                sys.executable,
                "-m",
                "iriswheel",
                "load",
                "--nodes",
                *places,
                "--seconds",
                str(seconds),
                "--platform",
                f"{HOST}:{self.platform}",
                "--events",
                self.events("load"),
                *more,
            ],
            stdout=subprocess.PIPE,
            text=True,
        )


def run(shape: str, *, load: int = 0, folder: str | None = None) -> None:
    """Run a fleet of one shape.

    :param shape: small, magnolia or swan
    :param load: run the load generator for so many seconds, then stop
    :param folder: keep logs and data in this folder
    """
    if shape not in SHAPES:
        sys.exit(f"fleet: no shape {shape!r}; there are {', '.join(SHAPES)}")
    if folder:
        os.makedirs(folder, exist_ok=True)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: sys.exit(0))  # by way of Fleet.end
    with Fleet(shape, folder) as f:
        f.begin()
        for name, (port, http) in {**f.cores, **f.nodes}.items():
            print(f"{name}: {HOST}:{port}, HTTP {HOST}:{http}")
        print(f"platform: {HOST}:{f.platform}")
        if load:
            print(f.load(load).communicate()[0])
            return
        signal.pause()


if __name__ == "__main__":
    defopt.run(run)
