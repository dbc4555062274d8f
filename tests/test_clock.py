"""Timers of real processes follow the monotonic clock since boot, not the time of day."""

import subprocess
import sys

SCRIPT = """
# importing the modules of a process must not install Twisted's default reactor
import iriswheel.control.core, iriswheel.node.node, iriswheel.transport.http_server
import iriswheel.runtime.scheduler as scheduler
import iriswheel.cli.service as service
import iriswheel.runtime.units as units
reactor = service.install_reactor()
late = reactor.callLater(5, print).getTime() - scheduler.boottime() / units.SECOND_US
print(round(late, 1))
"""


class TestSteadyTimers:
    def test_a_timer_is_due_by_the_clock_since_boot(self) -> None:
        # By the time of day, the timer would be due about 1.7e9 s later on the clock since boot, and would be
        # delayed by each step by which the time of day is set back.
        process = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True, timeout=60, check=False
        )
        assert (process.stdout.strip(), process.stderr.strip()) == ("5.0", "")
