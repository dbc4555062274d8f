"""Real processes from their first import to their end: signals at each moment, and what a start needs."""

import contextlib
import fcntl
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator

import pytest

from tests import platform_process

ROLES = ("node", "core")
IMPORT_LINE = "import time:"  # the begin of each line that the interpreter's option `importtime` writes
SIGNALS_MODULE = "| iriswheel.runtime.process_signals\n"  # imported before all others, of which a line follows
# Modules whose imports end early, halfway and late in a start, and the line that ends it.
MOMENTS = {
    "node": ("tomllib", "twisted.internet.defer", "iriswheel.dataplane.gateway", " listens on "),
    "core": ("tomllib", "twisted.internet.defer", "iriswheel.control.core", " listens on "),
}
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

NewMachine = Callable[[str], platform_process.PlatformProcess]


@pytest.fixture
def new_machine(tmp_path: pathlib.Path) -> Iterator[NewMachine]:
    """A function that makes a machine of a role; its process is killed after the test."""
    made: list[platform_process.PlatformProcess] = []

    def make(role: str) -> platform_process.PlatformProcess:
        machine = platform_process.PlatformProcess(
            platform_process.Network(), role, len(made) + 1, tmp_path / f"machine-{len(made) + 1}"
        )
        made.append(machine)
        return machine

    yield make
    for machine in made:
        machine.kill()


class TestSignals:
    @pytest.mark.parametrize("role", ROLES)
    def test_sighup_at_each_import_of_a_start_does_not_end_the_process(
        self, new_machine: NewMachine, role: str
    ) -> None:
        machine = new_machine(role)
        process = machine.start(interpreter_options=["-X", "importtime"])
        machine.wait_until_written(SIGNALS_MODULE)
        platform_process.wait_until(lambda: IMPORT_LINE in machine.output().partition(SIGNALS_MODULE)[2])
        answered = 0
        while " listens on " not in machine.output() and process.poll() is None:
            seen = machine.output().count(IMPORT_LINE)
            if seen > answered:
                answered = seen
                process.send_signal(signal.SIGHUP)
        machine.wait_until_written("reloaded")
        assert process.poll() is None

    @pytest.mark.parametrize("number", STOP_SIGNALS)
    @pytest.mark.parametrize(("role", "moment"), [(role, moment) for role in ROLES for moment in MOMENTS[role]])
    def test_a_process_that_is_told_to_stop_while_it_starts_ends_in_order(
        self, new_machine: NewMachine, role: str, moment: str, number: signal.Signals
    ) -> None:
        machine = new_machine(role)
        process = machine.start(interpreter_options=["-X", "importtime"])
        machine.wait_until_written(moment)
        process.send_signal(number)
        assert process.wait(platform_process.TIMEOUT_S) == 0, machine.output()[-2000:]
        assert "Traceback" not in machine.output()

    @pytest.mark.parametrize("number", [signal.SIGHUP, *STOP_SIGNALS])
    @pytest.mark.parametrize("role", ROLES)
    def test_further_signals_until_the_process_is_gone_do_not_change_its_end(
        self, new_machine: NewMachine, role: str, number: signal.Signals
    ) -> None:
        machine = new_machine(role)
        process = machine.start()
        machine.wait_until_listening()
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            process.send_signal(number)
        assert process.returncode == 0
        assert "Traceback" not in machine.output()


WAITS = "The process waits to start"
PORTS = {
    "node": ("peer", "front", "ready"),
    "core": ("peer", "control"),
}


def take_port(machine: platform_process.PlatformProcess, name: str) -> socket.socket:
    """Listen on one of the ports of a machine, as a predecessor does that still drains."""
    network = machine.network
    port = {
        "peer": network.first_port + (1 if machine.role == "node" else 0),
        "front": network.front_port,
        "ready": network.ready_port,
        "control": network.control_port,
    }[name]
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((machine.host, port))
    holder.listen()
    return holder


class TestWhatAStartNeeds:
    @pytest.mark.parametrize(("role", "port"), [(role, port) for role in ROLES for port in PORTS[role]])
    def test_a_start_waits_for_a_port_that_is_taken(self, new_machine: NewMachine, role: str, port: str) -> None:
        machine = new_machine(role)
        with contextlib.closing(take_port(machine, port)):
            machine.start()
            machine.wait_until_written(WAITS)
            assert machine.is_running()
        machine.wait_until_listening()

    def test_a_start_waits_for_the_lock_of_a_predecessor(self, new_machine: NewMachine) -> None:
        machine = new_machine("core")
        machine.data_folder.mkdir()
        with (machine.data_folder / "lock").open("w") as lock:
            fcntl.flock(lock, fcntl.LOCK_EX)
            machine.start()
            machine.wait_until_written(WAITS)
            assert machine.is_running()
        machine.wait_until_listening()

    def test_a_start_waits_for_its_data_folder(self, new_machine: NewMachine) -> None:
        machine = new_machine("core")
        machine.data_folder.write_text("not a folder yet")
        machine.start()
        machine.wait_until_written(WAITS)
        machine.data_folder.unlink()
        machine.wait_until_listening()

    @pytest.mark.parametrize("cut", [None, "", "bind_ip", "[bind_addrs]", "[tolerance]", "[bounds]", "[provider_api]"])
    @pytest.mark.parametrize("role", ROLES)
    def test_a_start_waits_for_settings_that_are_missing_or_cut_short(
        self, new_machine: NewMachine, role: str, cut: str | None
    ) -> None:
        machine = new_machine(role)
        if cut is not None:
            machine.settings_path.write_text(machine.settings()[: machine.settings().index(cut)])
        machine.start_with_settings_as_they_are()
        machine.wait_until_written(WAITS)
        machine.write_settings()
        machine.wait_until_listening()

    @pytest.mark.parametrize("role", ROLES)
    def test_a_start_waits_for_settings_that_are_still_being_written_although_they_look_whole(
        self, new_machine: NewMachine, role: str
    ) -> None:
        machine = new_machine(role)
        machine.settings_path.write_text(machine.settings().partition("rate_per_s")[0])
        machine.start_with_settings_as_they_are(interpreter_options=["-X", "importtime"])
        machine.wait_until_written("twisted.internet.defer")
        machine.write_settings()
        machine.wait_until_written("the settings file is being written")
        machine.wait_until_listening()

    def test_a_start_that_waits_ends_at_once_when_it_is_told_to_stop(self, new_machine: NewMachine) -> None:
        machine = new_machine("node")
        with contextlib.closing(take_port(machine, "front")):
            process = machine.start()
            machine.wait_until_written(WAITS)
            process.send_signal(signal.SIGTERM)
            assert process.wait(platform_process.TIMEOUT_S) == 0

    @pytest.mark.parametrize("kept", [4096, -4096])
    def test_a_core_machine_starts_with_a_database_that_a_loss_of_power_tore(
        self, new_machine: NewMachine, kept: int
    ) -> None:
        machine = new_machine("core")
        machine.start()
        machine.wait_until_written("View 1 is adopted")
        machine.kill()
        database = machine.data_folder / "state" / "data.mdb"
        database.write_bytes(database.read_bytes()[:kept])
        machine.start()
        machine.wait_until_listening(count=2)

    @pytest.mark.parametrize("role", ROLES)
    def test_a_process_starts_where_its_address_space_is_limited_to_its_memory(
        self, new_machine: NewMachine, role: str
    ) -> None:
        machine = new_machine(role)
        limit = 296 * 2**20
        machine.start(prepare=lambda: resource.setrlimit(resource.RLIMIT_AS, (limit, limit)))
        machine.wait_until_listening()

    @pytest.mark.parametrize("role", ROLES)
    def test_a_process_starts_where_its_standard_streams_are_closed(self, new_machine: NewMachine, role: str) -> None:
        machine = new_machine(role)
        process = machine.start(prepare=lambda: os.closerange(0, 3))
        address = (machine.host, machine.network.control_port if role == "core" else machine.network.ready_port)

        def is_listening() -> bool:
            assert process.poll() is None
            with socket.socket() as probe:
                return probe.connect_ex(address) == 0

        platform_process.wait_until(is_listening)


# Clients that do not behave: a head without an end kept its connection for the idle time, 75 s.
@pytest.mark.parametrize("port", ["control", "ready"])
def test_a_head_that_never_ends_is_closed_at_each_port_within_the_limit_on_heads(
    new_machine: NewMachine, port: str
) -> None:
    machine = new_machine("core" if port == "control" else "node")
    machine.start()
    machine.wait_until_listening()
    network = machine.network
    address = (machine.host, network.control_port if port == "control" else network.ready_port)
    with socket.create_connection(address, timeout=platform_process.TIMEOUT_S) as client:
        client.sendall(b"GET / HTTP/1.1\r\nHost: a")
        assert client.recv(1) == b""


def full_pipe() -> tuple[int, int]:
    """Make a pipe that takes no further byte; returns the descriptors of its reading and its writing end."""
    reading_end, writing_end = os.pipe()
    os.set_blocking(writing_end, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writing_end, bytes(4096))
    os.set_blocking(writing_end, True)
    return reading_end, writing_end


def use_as_standard_error(descriptor: int) -> None:
    """Have this process write its log to a descriptor."""
    os.dup2(descriptor, 2)


class TestOutputThatNobodyReads:
    @pytest.mark.parametrize("role", ROLES)
    def test_a_process_starts_serves_and_ends_while_its_output_is_a_full_pipe(
        self, new_machine: NewMachine, role: str
    ) -> None:
        machine = new_machine(role)
        reading_end, writing_end = full_pipe()
        process = machine.start(prepare=lambda: use_as_standard_error(writing_end))
        os.close(writing_end)
        address = (machine.host, machine.network.control_port if role == "core" else machine.network.ready_port)

        def is_answering() -> bool:
            assert process.poll() is None
            with socket.socket() as client:
                client.settimeout(1)
                if client.connect_ex(address) != 0:
                    return False
                client.sendall(b"GET /state HTTP/1.1\r\nHost: a\r\n\r\n")
                with contextlib.suppress(TimeoutError):
                    return client.recv(8) == b"HTTP/1.1"
            return False

        platform_process.wait_until(is_answering, 20)
        for _ in range(50):
            process.send_signal(signal.SIGHUP)
        platform_process.wait_until(is_answering, 20)
        process.send_signal(signal.SIGTERM)
        assert process.wait(platform_process.TIMEOUT_S) == 0
        os.close(reading_end)

    def test_a_process_that_does_not_start_ends_while_its_output_is_a_full_pipe(self, new_machine: NewMachine) -> None:
        machine = new_machine("node")
        reading_end, writing_end = full_pipe()
        machine.role = "neither"
        process = machine.start(prepare=lambda: use_as_standard_error(writing_end))
        assert process.wait(20) == 2
        os.close(reading_end)
        os.close(writing_end)


# Twisted kept the last 65,536 events of a process, each with the connection that it was about.
def test_connections_that_twisted_logs_about_are_not_kept() -> None:
    program = """
import gc, weakref
from twisted import logger
from iriswheel.cli import service

class Connection:
    log = logger.Logger()

service.set_logs("INFO")
connection = Connection()
connection.log.info("Timing out client")
kept = weakref.ref(connection)
del connection
gc.collect()
assert kept() is None
"""
    subprocess.run([sys.executable, "-c", program], check=True, cwd=platform_process.ROOT)
