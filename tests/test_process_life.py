"""Real processes from their first import to their end: signals at each moment, and what a start needs."""

import pathlib
import signal
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
