"""Play scenarios over many seeds, judge each run, and say how to repeat what failed.

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
    """One run to play; `log` is the file that its event log is written to, if any."""

    scenario: str
    seed: int
    shape: str
    log: str


def play(job: Job) -> seed_runs.Outcome[Job]:
    """Play and judge one run; what is measured are the rows that each checker judged."""
    started_at = time.process_time()
    try:
        cluster = registry.play(job.scenario, job.seed, job.shape)
    except Exception as error:  # a scenario that can't go on is a finding too
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
    """Play scenarios over seeds.

    :param scenarios: scenarios by name; all where none is named
    :param seeds: how many seeds for each
    :param first: the first seed
    :param shape: magnolia, swan or small
    :param log: write the event log of the one run here
    :param processes: processes to use; one for each processor core where 0
    """
    loguru.logger.remove()
    names = list(scenarios) or list(registry.SCENARIOS)
    unknown = [name for name in names if name not in registry.SCENARIOS]
    if unknown or shape not in fleet.SHAPES or seeds < 1 or first < 0:
        _fail(f"there is no such scene, shape or seed: {' '.join(unknown) or shape}")
    jobs = [Job(name, seed, shape, log) for seed in range(first, first + seeds) for name in names]
    if log and len(jobs) > 1:
        _fail("--log wants one scene and one seed")
    started_at = time.monotonic()
    failed, processor_seconds = 0, 0.0
    rows_judged: collections.Counter[str] = collections.Counter()
    for outcome in seed_runs.play_all(play, jobs, _title, _command, processes):
        failed += bool(outcome.complaints)
        processor_seconds += outcome.processor_seconds
        rows_judged.update(outcome.measured)
    print(
        f"{len(jobs)} runs of {len(names)} scenes, shape {shape}, seeds {first} to {first + seeds - 1}: "
        f"{len(jobs) - failed} clean, {failed} failed; {processor_seconds:.0f} s of computing, "
        f"{time.monotonic() - started_at:.0f} s on the clock"
    )
    print("rows judged: " + ", ".join(f"{checker} {rows}" for checker, rows in rows_judged.items()))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(sweep)
