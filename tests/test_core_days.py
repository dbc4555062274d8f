"""Simulated days of overlapping core faults: they keep the platform's rules, and break one without a guard.

The guard `steady_timers` is removed by letting the timers of simulated processes follow the wall clock (the time of
day), as Twisted's own reactors do. Only a simulator whose wall clock differs from its clock since boot can show this
fault.

`LOST_TAIL_DAYS` guards against a failure of the core before it had node leases. The tail was lost for good, and the
view without it acknowledged a change. It was then sealed for the view with the replacement before any node could open
a session in it, so nodes answered by an old configuration more than 2 s after a newer one was acknowledged. Other days
miss this failure: they send one change a second after a replacement, so none while the tail is missing, and they
replace any core machine once or twice, while only some losses of the tail cause it.
"""

import contextlib
from unittest import mock

import pytest

from iriswheel.runtime import units
from simulation import core_days, host_model, platform_days, platform_rules, process_model, reactor_model, world


def _wall_clock(self: reactor_model.Reactor) -> int:
    return self.process.host.time_of_day()


GUARDS = {"": (), "steady_timers": ((reactor_model.Reactor, "clock", _wall_clock),)}
Job = tuple[str, int, str, float, str]  # day, seed, shape, share of the usual load, guard to remove or empty

DAYS_WITHOUT_COMPLAINTS = [("time_of_day", 1, "magnolia", 0.1, ""), ("core_drawn", 3, "magnolia", 0.05, "")]
LOST_TAIL_DAYS = [("lose_tail", 2, "swan", 0.05, "")]
DAYS_WITHOUT_GUARD = [("time_of_day", 1, "magnolia", 0.1, "steady_timers")]


def play(job: Job) -> tuple[Job, dict[str, list[str]]]:
    """Play a day, with a guard removed if the job names one; return the job and the complaints of each rule."""
    name, seed, shape, load, guard = job
    with contextlib.ExitStack() as stack:
        for owner, attribute, instead in GUARDS[guard]:
            stack.enter_context(mock.patch.object(owner, attribute, instead))
        site = platform_days.play(name, seed, shape, load)
    return job, platform_rules.examine(site.event_log.rows)


def parameter_id(job: Job) -> str:
    """Return the id of a test parameter."""
    return "-".join(str(part) for part in job if part != "")


@pytest.mark.parametrize("job", DAYS_WITHOUT_COMPLAINTS, ids=parameter_id)
def test_a_day_of_core_faults_keeps_all_rules(job: Job) -> None:
    _, complaints = play(job)
    assert complaints == {}


@pytest.mark.parametrize("job", LOST_TAIL_DAYS, ids=parameter_id)
def test_no_node_serves_an_old_configuration_after_the_loss_of_the_tail(job: Job) -> None:
    _, complaints = play(job)
    assert complaints == {}


@pytest.mark.parametrize("job", DAYS_WITHOUT_GUARD, ids=parameter_id)
def test_timers_by_the_wall_clock_violate_the_configuration_rule(job: Job) -> None:
    _, complaints = play(job)
    assert "config" in complaints


class TestWallClockJumps:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.world = world.World(1)
        self.machine = host_model.Host(self.world, "h", "a")
        self.reactor = process_model.SimulatedProcess(self.world, "p", self.machine).reactor
        self.called_at: list[int] = []

    def record_call(self) -> None:
        self.called_at.append(self.world.time)

    def test_a_jump_of_the_wall_clock_does_not_move_timers(self) -> None:
        self.reactor.callLater(1, self.record_call)
        self.machine.set_time_of_day(-core_days.TIME_OF_DAY_JUMP_US)
        self.world.run(2 * units.SECOND_US)
        assert self.called_at == [units.SECOND_US]

    def test_timers_by_the_wall_clock_fire_late_and_early(self) -> None:
        with mock.patch.object(reactor_model.Reactor, "clock", _wall_clock):
            self.reactor.callLater(1, self.record_call)
            self.machine.set_time_of_day(-core_days.TIME_OF_DAY_JUMP_US)
            self.world.run(6 * units.SECOND_US)
            self.reactor.callLater(9, self.record_call)
            self.machine.set_time_of_day(0)
            self.world.run(12 * units.SECOND_US)
        assert self.called_at == [5 * units.SECOND_US, 11 * units.SECOND_US]
