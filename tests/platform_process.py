"""Starts processes on loopback addresses as the users' platform does: `platform/run.py` with a settings file."""

import os
import pathlib
import random
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Iterable

ROOT = pathlib.Path(__file__).resolve().parents[1]
TIMEOUT_S = 60.0  # a condition that is not met by then fails the test
POLL_S = 0.01
SEED_COUNT = 3
KEPT_VARIABLES = ("PATH", "HOME", "LANG")


def wait_until(condition: Callable[[], object], timeout_s: float = TIMEOUT_S) -> None:
    """Wait until a condition holds; raises TimeoutError where it does not within timeout_s seconds."""
    ends_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_at:
            raise TimeoutError("the condition is not met")
        time.sleep(POLL_S)


class Network:
    """The addresses of one deployment: a loopback network of its own, and ports that are alike on all machines."""

    def __init__(self) -> None:
        self.prefix = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        self.first_port = random.randrange(20_000, 31_000)  # below the operating system's ephemeral ports
        self.control_port = self.first_port + 20
        self.front_port = self.first_port + 21
        self.ready_port = self.first_port + 22
        self.platform_address = f"{self.prefix}.201:{self.first_port + 23}"
        self.core_hosts: list[str] = []


class PlatformProcess:
    """One machine of a deployment: its settings file, its data folder and its process.

    Args:
        network: The deployment's addresses.
        role: "node" or "core".
        number: The machine's number, the last part of its address.
        folder: Where the machine's files are kept; it must not exist yet.
        grace_s: The longest time of an orderly stop.
        file_limit: The setting on open files, from which the limit on connections follows.
        memory_mb: The setting on the process's memory, in MiB.
    """

    def __init__(
        self,
        network: Network,
        role: str,
        number: int,
        folder: pathlib.Path,
        *,
        grace_s: int = 2,
        file_limit: int = 4100,
        memory_mb: int = 300,
    ) -> None:
        self.network, self.role, self.folder = network, role, folder
        self.grace_s = grace_s
        self.file_limit = file_limit
        self.memory_mb = memory_mb
        self.host = f"{network.prefix}.{number}"
        self.bootstrap = True
        self.process: subprocess.Popen[bytes] | None = None
        self.folder.mkdir()
        self.settings_path = folder / "boot.toml"
        self.data_folder = folder / "data"
        self.output_path = folder / "output.txt"
        self.output_path.touch()
        if role == "core":
            network.core_hosts.append(self.host)

    def settings(self) -> str:
        """The text of the settings file."""
        network = self.network
        seeds = ", ".join(f'"{host}:{network.control_port}"' for host in network.core_hosts[:SEED_COUNT])
        if self.role == "core":
            data = f'data_dir = "{self.data_folder}"'
            addresses = f'control = "{self.host}:{network.control_port}"'
        else:
            data = ""
            addresses = f'front = "{self.host}:{network.front_port}"\nready = "{self.host}:{network.ready_port}"'
        return f"""
node = "{self.role}-{self.host}"
role = "{self.role}"
bind_ip = "{self.host}"
zone = "a"
region = "r"
port_range = [{network.first_port}, {network.first_port + 15}]
seed_nodes = [{seeds or f'"{self.host}:{network.control_port}"'}]
bootstrap = {str(self.bootstrap).lower()}
{data}
[zones]
a = "r"
[bind_addrs]
{addresses}
[constraints]
memory_mb = {self.memory_mb}
file_limit = {self.file_limit}
[tolerance]
machines = 1
[bounds]
grace_s = {self.grace_s}
drain_deadline_ms = 3000
reuse_hold_s = 2
[provider_api]
address = "{network.platform_address}"
rate_per_s = 40.0
"""

    def write_settings(self) -> None:
        """Write the settings file."""
        self.settings_path.write_text(self.settings())

    def start(
        self, *, interpreter_options: Iterable[str] = (), prepare: Callable[[], None] | None = None
    ) -> subprocess.Popen[bytes]:
        """Write the settings file and start the process.

        Args:
            interpreter_options: Options of the interpreter.
            prepare: Called in the new process before the program is loaded.
        """
        self.write_settings()
        return self.start_with_settings_as_they_are(interpreter_options=interpreter_options, prepare=prepare)

    def start_with_settings_as_they_are(
        self, *, interpreter_options: Iterable[str] = (), prepare: Callable[[], None] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start the process without writing the settings file."""
        kept = {name: value for name, value in os.environ.items() if name in KEPT_VARIABLES}
        with self.output_path.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, *interpreter_options, "platform/run.py", self.role],
                cwd=ROOT,
                env={**kept, "IRISWHEEL_NODE_FILE": str(self.settings_path)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                preexec_fn=prepare,  # noqa: PLW1509 - the tests start processes from one thread
            )
        return self.process

    def output(self) -> str:
        """What the machine's processes have written so far."""
        return self.output_path.read_text(errors="replace")

    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def wait_until_written(self, text: str, count: int = 1) -> None:
        """Wait until the machine's processes have written a text `count` times; fails where the process ends before."""
        wait_until(lambda: self.output().count(text) >= count or not self.is_running())
        assert self.output().count(text) >= count, self.output()

    def wait_until_listening(self, count: int = 1) -> None:
        """Wait until the process listens; `count` is its number among the machine's processes that came so far."""
        self.wait_until_written(" listens on ", count)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
