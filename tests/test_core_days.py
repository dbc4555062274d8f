"""Drawn days that press the core: kept as the code stands, and broken where a guard is taken out.

`steady_timers` lets the reactors of simulated processes go by the time of day, as Twisted's own do. Until the
simulator had a time of day apart from its clock, such a fault could not show.

`LOST_TAIL_DAYS` is a fault of the core before node leases: the tail was lost for good, a view without it was agreed,
acknowledged a change, and was sealed for the view with the newcomer before nodes could open sessions in it, so that
nodes answered by an old configuration more than 2 s after a newer one was acknowledged. It was not found until then
because the older days sent one change a second after a replacement, so none came while the tail was missing, and
because they replaced any core machine once or twice, while the loss of the tail shows in some of the replacements.
"""

import contextlib
from unittest import mock

import pytest

from iriswheel.runtime import units
from simulation import core_days, host_model, platform_days, platform_rules, process_model, reactor_model, world


def _wall_clock(self: reactor_model.Reactor) -> int:
    return self.process.host.time_of_day()


GUARDS = {"": (), "steady_timers": ((reactor_model.Reactor, "clock", _wall_clock),)}
Job = tuple[str, int, str, float, str]  # day, seed, shape, share of the usual load, guard that is taken out

DAYS_WITHOUT_COMPLAINTS = [("time_of_day", 1, "magnolia", 0.1, ""), ("core_drawn", 3, "magnolia", 0.05, "")]
LOST_TAIL_DAYS = [("lose_tail", 2, "swan", 0.05, "")]
DAYS_WITHOUT_GUARD = [("time_of_day", 1, "magnolia", 0.1, "steady_timers")]


def play(job: Job) -> tuple[Job, dict[str, list[str]]]:
    """Play a day, perhaps without a guard: the job and what the judge says."""
    name, seed, shape, load, guard = job
    with contextlib.ExitStack() as stack:
        for owner, attribute, instead in GUARDS[guard]:
            stack.enter_context(mock.patch.object(owner, attribute, instead))
        site = platform_days.play(name, seed, shape, load)
    return job, platform_rules.examine(site.event_log.rows)


def parameter_id(job: Job) -> str:
    """A job as the name of a parameter."""
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
