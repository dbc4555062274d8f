"""Play scenarios with many seeds, check each run, and print the command that repeats each failed one.

python -m simulation.sweep --seeds 100
python -m simulation.sweep --scenarios kill_owner freeze --seeds 20 --first 7 --shape swan
python -m simulation.sweep --scenarios kill_owner --first 7 --seeds 1 --log run.events
"""

from __future__ import annotations

import collections
import collections.abc
import pathlib
import sys
import time
import typing

import defopt
import loguru

from benchmarks import fleet
from iriswheel.verification import replay
from simulation import seed_runs
from simulation.scenarios import registry


class Job(typing.NamedTuple):
    """One run to play; its event log is written to the file `log` unless that is empty."""

    scenario: str
    seed: int
    shape: str
    log: str


def play(job: Job) -> seed_runs.Outcome[Job]:
    """Play one run and check its event log; `measured` is the number of rows that each checker judged."""
    started_at = time.process_time()
    try:
        cluster = registry.play(job.scenario, job.seed, job.shape)
    except Exception as error:  # reported as a failure of this run; the sweep goes on
        return seed_runs.Outcome(job, {"crash": [repr(error)]}, {}, time.process_time() - started_at)
    if job.log:
        pathlib.Path(job.log).write_text(cluster.event_log.text())
    complaints, rows_judged = replay.examine(cluster.event_log.rows)
    return seed_runs.Outcome(job, complaints, rows_judged, time.process_time() - started_at)


def _title(job: Job) -> str:
    return f"{job.scenario} seed {job.seed}"


def _command(job: Job) -> str:
    return f"python -m simulation.sweep --scenarios {job.scenario} --first {job.seed} --seeds 1 --shape {job.shape}"


def _fail(message: str) -> typing.NoReturn:
    print(f"sweep: {message}", file=sys.stderr)
    sys.exit(2)


def sweep(
    *,
    scenarios: collections.abc.Sequence[str] = (),
    seeds: int = 10,
    first: int = 1,
    shape: str = "magnolia",
    log: str = "",
    processes: int = 0,
) -> typing.NoReturn:
    """Play scenarios with a range of seeds and check each run; the exit code is 1 if any run failed.

    :param scenarios: names of the scenarios; all where none is given
    :param seeds: number of seeds for each scenario
    :param first: the first seed
    :param shape: magnolia, swan or small
    :param log: file for the event log; only for a single run
    :param processes: number of processes; 0 for one per processor core
    """
    loguru.logger.remove()
    names = list(scenarios) or list(registry.SCENARIOS)
    unknown = [name for name in names if name not in registry.SCENARIOS]
    if unknown or shape not in fleet.SHAPES or seeds < 1 or first < 0:
        _fail(f"unknown scenario, unknown shape or invalid seeds: {' '.join(unknown) or shape}")
    jobs = [Job(name, seed, shape, log) for seed in range(first, first + seeds) for name in names]
    if log and len(jobs) > 1:
        _fail("--log needs exactly one scenario and one seed")
    started_at = time.monotonic()
    failed, processor_seconds = 0, 0.0
    rows_judged: collections.Counter[str] = collections.Counter()
    for outcome in seed_runs.play_all(play, jobs, _title, _command, processes):
        failed += bool(outcome.complaints)
        processor_seconds += outcome.processor_seconds
        rows_judged.update(outcome.measured)
    print(
        f"{len(jobs)} runs of {len(names)} scenarios, shape {shape}, seeds {first} to {first + seeds - 1}: "
        f"{len(jobs) - failed} clean, {failed} failed; {processor_seconds:.0f} s of processor time, "
        f"{time.monotonic() - started_at:.0f} s elapsed"
    )
    print("rows judged: " + ", ".join(f"{checker} {rows}" for checker, rows in rows_judged.items()))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(sweep)
