"""Scenarios with fixed seeds: no checker complains of the code, and one does when a guard is removed.

A guard test removes one guard (simulation/mutation_checks.py) and expects complaints of the matching checker. So each
checker is shown to detect the failure that it exists for.
"""

import multiprocessing
from typing import NamedTuple

import pytest

from iriswheel.verification import replay
from simulation import mutation_checks
from simulation.scenarios import registry

SEEDS = {name: 1 for name in registry.SCENARIOS}
# runs that have failed in an earlier version
REGRESSIONS = [
    ("cut_core_two", 2, "magnolia"),
    ("slow_link", 3, "magnolia"),
    ("worker_freeze", 10, "magnolia"),
    ("cut_core_off", 13, "magnolia"),
    ("kill_all", 13, "magnolia"),
    ("mixed", 2, "magnolia"),
    ("mixed", 3, "magnolia"),
    ("mixed", 14, "magnolia"),
    ("mixed", 21, "magnolia"),
    ("race", 100, "magnolia"),
    ("kill_many", 4, "swan"),
]
SWAN = [("calm", 1, "swan"), ("kill_owner", 2, "swan"), ("replace_all", 2, "swan")]


class PlayedScenario(NamedTuple):
    """The result of a scenario."""

    complaints: dict[str, list[str]]  # by checker
    log: str  # event log of the calm scenario, empty for the other ones


def play(job: mutation_checks.Job) -> PlayedScenario:
    """Play one scenario, with a guard removed if the job names one."""
    scenario, seed, shape, guard = job
    if guard:
        _, complaints, _ = mutation_checks.play(job)
        return PlayedScenario(complaints, "")
    cluster = registry.play(scenario, seed, shape)
    log = cluster.event_log.text() if scenario == "calm" else ""
    return PlayedScenario(replay.judge(cluster.event_log.rows), log)


def play_in_two_processes(job: mutation_checks.Job) -> list[PlayedScenario]:
    """Play one scenario in two processes at the same time, and return both results."""
    with multiprocessing.Pool(2, maxtasksperchild=1) as pool:
        return pool.map(play, [job, job], chunksize=1)


def runs_without_complaints() -> list[pytest.ParameterSet]:
    """Return all runs of which no checker may complain, with ids like kill_owner-2-swan."""
    runs = [(name, seed, "magnolia") for name, seed in SEEDS.items()] + REGRESSIONS + SWAN
    return [pytest.param(*run, id="{}-{}-{}".format(*run)) for run in runs]


def test_two_runs_with_the_same_seed_write_identical_logs() -> None:
    one, other = play_in_two_processes(mutation_checks.Job("calm", 1, "magnolia", ""))
    assert len(other.log) > 10_000
    differ = (
        other.log != one.log
    )  # compared outside the assertion, as pytest would take minutes to report the difference
    assert not differ


@pytest.mark.parametrize(("scenario", "seed", "shape"), runs_without_complaints())
def test_no_checker_complains_of_a_scenario(scenario: str, seed: int, shape: str) -> None:
    assert play(mutation_checks.Job(scenario, seed, shape, "")).complaints == {}


@pytest.mark.parametrize("guard", mutation_checks.GUARDS)
def test_the_checker_complains_of_a_scenario_without_its_guard(guard: str) -> None:
    _, scenario, seed, checker = mutation_checks.GUARDS[guard]
    assert checker in play(mutation_checks.Job(scenario, seed, "magnolia", guard)).complaints
