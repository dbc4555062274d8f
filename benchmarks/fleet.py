"""Runs a whole fleet as processes on this machine, with simulated workers and a simulated platform.

python -m benchmarks.fleet small                     run until interrupted
python -m benchmarks.fleet magnolia --load 20        run the load generator, then stop
"""

from __future__ import annotations

import collections.abc
import contextlib
import json
import os
import pathlib
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


class Shape(typing.NamedTuple):
    """The size and the configuration of a fleet."""

    zones: list[str]  # the zone of each node
    workers: int  # number of workers
    pool: str  # name of the pool that all workers belong to
    configuration: str  # name of a file in EXAMPLES


SHAPES = {
    "small": Shape(["a", "a"], 2, "desk", "magnolia.json"),
    "magnolia": Shape(["a", "a", "b", "b", "c", "d"], 5, "desk", "magnolia.json"),
    "swan": Shape(["yard", "yard", "yard", "mill", "mill", "mill", "office", "office"], 6, "reviews", "swan.json"),
}
HOST = "127.0.0.1"
LISTENING_LINE = re.compile(r"listens on [0-9.]+:([0-9]+), HTTP on [0-9.]+:([0-9]+)")
EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
FREE_PORTS = range(20_000, 32_000)  # below the operating system's ephemeral ports
CORE_COUNT = 3
START_TIMEOUT_S = 30
LISTEN_TIMEOUT_S = 20
CHECK_INTERVAL_S = 0.05  # time between two checks of a condition
OK = 200  # HTTP status

RecordEvent = collections.abc.Callable[..., object]
"""A function that takes the kind of an event and the event's fields as keywords, and writes it to an event log."""


class Ports(typing.NamedTuple):
    """The ports on which a core machine or node listens."""

    peer: int  # for other core machines and nodes
    http: int


def query(
    port: int, method: str, path: str, document: dict[str, typing.Any] | None = None, timeout: int = 5
) -> tuple[int, dict[str, typing.Any]]:
    """Send an HTTP request; returns the status and the JSON body, or (0, {}) without a readable answer."""
    raw = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(f"http://{HOST}:{port}{path}", raw, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as e:
        return e.code, json.loads(e.read() or b"{}")
    except (OSError, ValueError):
        return 0, {}


def post_status(port: int, path: str, timeout_s: float) -> int:
    """Send an empty POST; returns the status of the answer, 0 without one."""
    request = urllib.request.Request(f"http://{HOST}:{port}{path}", b"", method="POST")
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            response.read()
            return int(response.status)
    except urllib.error.HTTPError as e:
        return e.code
    except (OSError, ValueError):
        return 0


def free_port() -> int:
    """A free port for a core machine, whose port must be known before it starts.

    The port is below the operating system's ephemeral ports, so that no outgoing connection
    can take it between this check and the start of the core machine.

    >>> 20_000 <= free_port() < 32_000
    True
    """
    while True:
        port = random.choice(FREE_PORTS)
        with contextlib.suppress(OSError), contextlib.closing(socket.socket()) as probe:
            probe.bind((HOST, port))
            return port


class Fleet:
    """The processes of one fleet.

    Args:
        shape: A key of SHAPES.
        folder: Where logs and data are kept. Without one, a temporary folder is used and removed at the end.
    """

    def __init__(self, shape: str, folder: str | None = None) -> None:
        self.zone_names, self.worker_count, self.pool, name = SHAPES[shape]
        self.configuration = json.loads((EXAMPLES / name).read_text())
        self.owns_folder = folder is None  # whether the folder is removed when the fleet stops
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix="iriswheel-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}  # by name of the process
        self.commands: dict[str, list[str]] = {}  # name of a process -> the arguments that it was started with
        self.starts: dict[str, int] = {}  # name of a process -> offset in its log at which its last start begins
        self.seeds: list[str] = []  # addresses of the core machines
        self.cores: dict[str, Ports] = {}  # by name
        self.nodes: dict[str, Ports] = {}  # by name
        self.workers: dict[str, int] = {}  # name -> port
        self.zones: dict[str, str] = {}  # name of a core machine or node -> its zone
        self.platform = 0  # port of the platform

    def __enter__(self) -> Fleet:
        """Return the fleet itself, for a `with` statement."""
        return self

    def __exit__(self, *_: None) -> None:
        """Stop all processes."""
        self.end()

    def spawn(self, name: str, arguments: list[str], stdout: int | None = None) -> subprocess.Popen[bytes]:
        """Start a process; its standard error goes to its log file, and so does its standard output by default."""
        with (self.folder / f"{name}.log").open("a") as log:
            self.starts[name] = log.tell()
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stderr=log,
                stdout=log if stdout is None else stdout,
                start_new_session=True,
            )
        self.processes[name] = process
        self.commands[name] = arguments
        return process

    def spawn_stand_in(self, name: str, arguments: list[str]) -> int:
        """Start a simulated worker or platform, and return the port that it prints."""
        process = self.spawn(name, arguments, subprocess.PIPE)
        assert process.stdout is not None
        return int(process.stdout.readline())

    def event_log_path(self, name: str) -> str:
        """The path of a process's event log."""
        return str(self.folder / f"{name}.events")

    def begin(self, record_event: RecordEvent | None = None) -> None:
        """Start all processes, confirm the configuration, and wait until all nodes are ready."""
        self.platform = self.spawn_stand_in(
            "platform", ["-m", "benchmarks.stand_ins", "platform", "--events", self.event_log_path("platform")]
        )
        for number in range(1, self.worker_count + 1):
            self.add_worker(f"w{number}")
        ports = [free_port() for _ in range(CORE_COUNT)]
        self.seeds = [f"{HOST}:{port}" for port in ports]
        zones = sorted(set(self.zone_names))
        for number, port in enumerate(ports, 1):
            self.add_core(f"c{number}", port, zones[(number - 1) % len(zones)])
        for number, zone in enumerate(self.zone_names, 1):
            self.add_node(f"n{number}", zone)
        self.wait_until(
            lambda: self.confirm(self.configuration, record_event),
            "a core machine has confirmed the configuration",
            START_TIMEOUT_S,
        )
        self.wait_until(lambda: all(self.ready(name) for name in self.nodes), "all nodes are ready", START_TIMEOUT_S)

    def add_worker(self, name: str) -> None:
        """Start a worker and add it to the platform's worker list."""
        arguments = [
            "-m",
            "benchmarks.stand_ins",
            "worker",
            "--identifier",
            name,
            "--events",
            self.event_log_path(name),
        ]
        self.workers[name] = self.spawn_stand_in(name, arguments)
        self._list_ready(name)

    def _list_ready(self, name: str) -> None:
        self.list_worker(id=name, host=HOST, port=self.workers[name], pool=self.pool, state="ready")

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
                str(self.folder / name),
                "--seeds",
                *self.seeds,
            ],
        )
        self.cores[name] = self.read_ports(name)

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
        self.nodes[name] = self.read_ports(name)
        self._register(name)

    def _register(self, name: str) -> None:
        """Tell the platform the HTTP address of a node."""
        query(self.platform, "POST", "/nodes", {"name": name, "host": HOST, "port": self.nodes[name].http})

    def read_ports(self, name: str) -> Ports:
        """Wait until a process has logged the ports on which it listens, and return them."""
        found: list[tuple[str, str]] = []

        def listens() -> bool:
            with (self.folder / f"{name}.log").open() as log:
                log.seek(self.starts[name])
                found.extend(LISTENING_LINE.findall(log.read()))
            return bool(found)

        self.wait_until(listens, f"{name} has logged the ports on which it listens", LISTEN_TIMEOUT_S)
        peer, http = found[0]
        return Ports(int(peer), int(http))

    def list_worker(self, **row: int | str) -> tuple[int, dict[str, typing.Any]]:
        """Add or change a worker in the platform's worker list."""
        return query(self.platform, "POST", "/workers", row)

    def ports(self, name: str) -> Ports:
        """The ports on which a core machine or node listens."""
        return {**self.cores, **self.nodes}[name]

    def ready(self, name: str) -> bool:
        """Whether a node reports itself ready."""
        return query(self.ports(name).http, "GET", "/ready")[0] == OK

    def assigned_owners(self) -> set[str]:
        """The names of the nodes that are a pool's owner or hold replicas of its records."""
        owners = set()
        for name in self.nodes:
            if self.processes[name].poll() is None:
                for assignment in self.state(name).get("duties", []):
                    owners |= {
                        identifier.rsplit("-", 1)[0] for identifier in [assignment["holder"], *assignment["copies"]]
                    }
                if owners:
                    break
        return owners

    def state(self, name: str) -> dict[str, typing.Any]:
        """The state document that a core machine or node publishes over HTTP."""
        return query(self.ports(name).http, "GET", "/state")[1]

    def confirm(self, document: dict[str, typing.Any], record_event: RecordEvent | None = None) -> int:
        """Plan and confirm a configuration at the first core machine that accepts it; returns its version, or 0."""
        record_event = record_event or _discard_event
        for _, http in self.cores.values():
            status, plan = query(http, "POST", "/plans", {"blueprint": document})
            if status == OK:
                record_event(
                    "confirm_sent", plan=plan["id"], base=plan["base"], probe=0, who="boss", blueprint=document
                )
                status, response = query(http, "POST", f"/plans/{plan['id']}/confirm", {})
                if status == OK:
                    record_event("confirmed", plan=plan["id"], stamp=response["stamp"], probe=0, who="boss")
                    return int(response["stamp"])
        return 0

    def wait_until(self, condition: collections.abc.Callable[[], object], what: str, seconds: float) -> float:
        """Wait until a condition holds, and return how many seconds that took.

        Args:
            condition: Checked every CHECK_INTERVAL_S.
            what: The condition in words, for the error message.
            seconds: How long to wait at most.
        """
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() - started_at > seconds:
                raise TimeoutError(f"condition not met within {seconds} s: {what}")
            for name, process in self.processes.items():
                if process.poll() not in (None, 0, -signal.SIGKILL):
                    raise RuntimeError(
                        f"process {name} exited with status {process.returncode}; see {self.folder}/{name}.log"
                    )
            time.sleep(CHECK_INTERVAL_S)
        return time.monotonic() - started_at

    def cpu_shares(self) -> dict[str, float]:
        """Processor time that each process has used since its start, as a share of one processor core."""
        tick = os.sysconf("SC_CLK_TCK")
        up = float(pathlib.Path("/proc/uptime").read_text().split()[0])
        shares = {}
        for name, process in self.processes.items():
            fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
            user, system, started_at = int(fields[11]), int(fields[12]), int(fields[19])
            shares[name] = (user + system) / tick / max(0.1, up - started_at / tick)
        return shares

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process of this fleet."""
        self.processes[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """Kill a process of this fleet."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def restart(self, name: str) -> None:
        """Start an ended process again with the same arguments."""
        arguments = self.commands[name]
        if name in self.cores:
            self.spawn(name, arguments)
            self.cores[name] = self.read_ports(name)
        elif name in self.nodes:
            self.spawn(name, arguments)
            self.nodes[name] = self.read_ports(name)
            self._register(name)
        else:
            self.workers[name] = self.spawn_stand_in(name, arguments)
            self._list_ready(name)

    def owner(self) -> str:
        """The name of the node that is an active pool owner now, or "" without one."""
        return next((name for name in self.nodes if self.processes[name].poll() is None and self.owner_of(name)), "")

    def owner_of(self, name: str) -> bool:
        """Whether a node is an active pool owner (the key "seated" in its state document)."""
        return any(owner["seated"] for owner in self.state(name).get("wardens", []))

    def end(self) -> None:
        """Kill all processes of the fleet, frozen ones too, and remove the folder if it is a temporary one."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        if self.owns_folder:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start_load(self, seconds: int, *extra_options: str) -> subprocess.Popen[str]:
        """Start the load generator, which prints its report to standard output.

        Args:
            seconds: How long the load lasts.
            extra_options: Further command-line options of the load generator.
        """
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
                self.event_log_path("load"),
                *extra_options,
            ],
            stdout=subprocess.PIPE,
            text=True,
        )


def _discard_event(*_kind: str, **_fields: object) -> None:
    """Takes the place of a function that writes events, when no event log is kept."""


def run(shape: str, *, load: int = 0, folder: str | None = None) -> None:
    """Run a fleet until it is interrupted, or for as long as a load lasts.

    :param shape: small, magnolia or swan
    :param load: run the load generator for this many seconds, then stop
    :param folder: keep logs and data in this folder
    """
    if shape not in SHAPES:
        sys.exit(f"fleet: unknown shape {shape!r}; known shapes: {', '.join(SHAPES)}")
    if folder:
        pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: sys.exit(0))  # leaves the `with`, so Fleet.end runs
    with Fleet(shape, folder) as deployment:
        deployment.begin()
        for name, (port, http) in {**deployment.cores, **deployment.nodes}.items():
            print(f"{name}: {HOST}:{port}, HTTP {HOST}:{http}")
        print(f"platform: {HOST}:{deployment.platform}")
        if load:
            print(deployment.start_load(load).communicate()[0])
            return
        signal.pause()


if __name__ == "__main__":
    defopt.run(run)
