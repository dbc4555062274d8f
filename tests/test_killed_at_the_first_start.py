"""All core processes are killed while they start for the first time, and the system starts all the same."""

import pathlib
import signal
from collections.abc import Iterator

import pytest

from tests import platform_process, small_fleet

# The end of a line on a module that is imported early in a start, long before the process takes connections.
EARLY_IMPORT = " loguru\n"


class KilledFleet(small_fleet.SmallFleet):
    """A deployment whose core processes are all ended at once early in the first start, and started again."""

    number = signal.SIGKILL

    def start_machines(self) -> None:
        for core in self.cores:
            core.start(interpreter_options=["-X", "importtime"])
        self.node.start()
        for core in self.cores:
            core.wait_until_written(EARLY_IMPORT)
        for core in self.cores:
            core.send_signal(self.number)
        for core in self.cores:
            assert core.process is not None
            core.process.wait()
            core.bootstrap = False
            core.start()


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[KilledFleet]:
    """The deployment; its processes are killed after the test."""
    made = KilledFleet(tmp_path, memory_mb=300, file_limit=4100)
    yield made
    made.stop()


# Nothing on any disk told that this was the first start, so that no view was ever agreed.
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM])
def test_a_system_starts_whose_core_processes_were_all_ended_early_in_its_first_start(
    fleet: KilledFleet, number: signal.Signals
) -> None:
    async def run() -> None:
        assert await fleet.ask_node() == 200

    fleet.number = number
    fleet.play(run)


def test_addresses_that_are_torn_are_as_if_there_were_none(tmp_path: pathlib.Path) -> None:
    machine = platform_process.PlatformProcess(platform_process.Network(), "core", 1, tmp_path / "core")
    machine.bootstrap = False
    machine.data_folder.mkdir()
    (machine.data_folder / "initial-addresses").write_bytes(b"127.0.0.1:\xff")
    machine.start()
    try:
        machine.wait_until_listening()
    finally:
        machine.kill()
