"""Plays simulated days of the users' platform, and checks their event logs by the platform's rules.

    python -m simulation.platform_days --seeds 10 --shape swan
    python -m simulation.platform_days --days crash_dark roll --first 7 --seeds 1 --log day.events

A day is a scenario: a function that gets a site on which traffic has begun, lets virtual time pass, and causes faults.
`DAYS` lists all days by name.
"""

from __future__ import annotations

import collections
import collections.abc
import multiprocessing
import os
import pathlib
import sys
import time
import typing

import defopt
import loguru

import simulation.site.days as days_of_one_fault
from simulation import core_days, platform_rules
from simulation.rules import earned_value
from simulation.site import drawn_day, shapes, site, split_days, split_drawn_day

Totals = dict[str, float]
Complaints = dict[str, list[str]]

DAYS: dict[str, days_of_one_fault.Day] = {
    day.__name__: day
    for day in (
        *days_of_one_fault.DAYS,
        drawn_day.drawn,
        core_days.core_drawn,
        core_days.time_of_day,
        core_days.lose_tail,
        *split_days.DAYS,
        split_drawn_day.split_drawn,
    )
}
# Days that are always played on the deployment `split_days.SHAPE`, which tolerates the loss of a zone.
SPLIT_DAYS = frozenset(day.__name__ for day in (*split_days.DAYS, split_drawn_day.split_drawn))
LENGTHS_S = {  # duration of the traffic
    "closing_kill": 30,
    "closing_power": 30,
    "closing_wipe": 30,
    "mixed": 40,
    "ack_wipe": 24,
    "race": 24,
    "replace_core": 20,
    "drawn": 30,
    "core_drawn": 40,
    "time_of_day": 24,
    "lose_tail": 28,
    "zone_cut": 24,
    "zone_one_way": 24,
    "zone_bridge": 24,
    "zone_power": 20,
    "tally_kill": 20,
    "split_drawn": 50,
    "evacuate": 18,
    "evacuate_closing": 26,
}
USUAL_LENGTH_S = 16  # duration of the traffic on all other days
LINES_PER_RULE = 3  # complaints of each rule that are printed
DAYS_PER_PROCESS = 8  # days after which a worker process of the pool is replaced


class Job(typing.NamedTuple):
    """A day to play.

    Attributes:
        name: The name of the day.
        seed: The seed of its random choices.
        shape: The name of the deployment.
        load: The load, as a multiple of the usual request rate.
        seconds: The duration of the traffic; the usual one of the day if 0.
        path: The file for its event log; none is written if empty.
    """

    name: str
    seed: int
    shape: str
    load: float
    seconds: float
    path: str


class Result(typing.NamedTuple):
    """The complaints about a played day, by rule, and its totals."""

    job: Job
    complaints: Complaints
    totals: Totals


def shape_of(name: str, shape: str) -> str:
    """The name of the deployment on which a day is played: the given one, unless the day has one of its own.

    >>> shape_of("calm", "swan"), shape_of("zone_cut", "swan")
    ('swan', 'apart')
    """
    return split_days.SHAPE if name in SPLIT_DAYS else shape


def play(name: str, seed: int, shape: str = "magnolia", load: float = 1.0, seconds: float | None = None) -> site.Site:
    """Play a day to its end, and return its site."""
    deployment = site.Site(seed, shape_of(name, shape), seconds or LENGTHS_S.get(name, USUAL_LENGTH_S), load)
    deployment.begin()
    DAYS[name](deployment)
    deployment.end()
    return deployment


def totals(deployment: site.Site) -> Totals:
    """The totals of a day: numbers of requests, the worth that they earned, and costs such as calls and connections."""
    rows = deployment.event_log.rows
    earned = earned_value.earned_value(rows, deployment.request_values())
    kinds = collections.Counter(row["kind"] for row in rows)
    every = earned["all"]
    by_kind = {
        f"{what} {kind}": earned[kind].get(what, 0.0)
        for kind in deployment.request_values()
        if kind in earned
        for what in ("worth", "p50_ms", "p99_ms")
    }
    return dict(
        asked=every["asked"],
        in_aim=every["in_aim"],
        late=every["late"],
        none=every["none"],
        worth=every["worth"],
        worst=min(every["worst_windows"], default=0.0),
        calls=kinds["platform_call"],
        probes=kinds["probed"],
        opened=kinds["opened"],
        ran=kinds["ran"],
        again=sum(worker.engine.prefilled_again for worker in deployment.workers.values()),
        **by_kind,
    )


def play_job(job: Job) -> Result:
    """Play one day in this process, and check its event log."""
    loguru.logger.remove()
    try:
        deployment = play(job.name, job.seed, job.shape, job.load, job.seconds)
    except Exception as error:  # an exception in a day is reported like a broken rule
        return Result(job, {"crash": [repr(error)]}, {})
    if job.path:
        pathlib.Path(job.path).write_text(deployment.event_log.text())
    return Result(job, platform_rules.examine(deployment.event_log.rows), totals(deployment))


# ---- the command ---------------------------------------------------------------------------


def print_complaints(result: Result) -> None:
    """Print the command that repeats a day that broke rules, and the first complaints of each rule."""
    job = result.job
    print(
        f"FAILED {job.name} seed {job.seed}: python -m simulation.platform_days --days {job.name} "
        f"--first {job.seed} --seeds 1 --shape {job.shape} --load {job.load}",
        flush=True,
    )
    for rule, lines in result.complaints.items():
        for line in lines[:LINES_PER_RULE]:
            print(f"    {rule}: {line}")
        if len(lines) > LINES_PER_RULE:
            print(f"    {rule}: and {len(lines) - LINES_PER_RULE} more")


def print_table(names: list[str], totals_by_name: dict[str, list[Totals]]) -> None:
    """Print a table with a row for each day, over all its seeds."""
    print(
        f"{'day':16}{'asked':>8}{'in aim':>9}{'late':>8}{'none':>8}{'worth':>8}{'worst 2 s':>10}{'conns':>7}"
        f"{'calls':>7}{'probes':>7}{'read again':>11}"
    )
    for name in names:
        rows = totals_by_name[name]
        asked = sum(row["asked"] for row in rows)
        if not asked:
            continue
        shares = "".join(
            f"{sum(row[key] for row in rows) / asked:{width}.4f}"
            for key, width in (("in_aim", 9), ("late", 8), ("none", 8))
        )
        value = f"{sum(row['worth'] for row in rows) / len(rows):8.3f}{min(row['worst'] for row in rows):10.3f}"
        costs = "".join(
            f"{sum(row[key] for row in rows) / len(rows):{width}.0f}"
            for key, width in (("opened", 7), ("calls", 7), ("probes", 7), ("again", 11))
        )
        print(f"{name:16}{asked:8}{shares}{value}{costs}")


def print_kinds(shape: str, rows_of_day: list[Totals]) -> None:
    """Print a line for each kind of request of one day, with the means over all its seeds."""
    for kind in shapes.SHAPES[shape].kinds:
        rows = [row for row in rows_of_day if f"worth {kind.name}" in row]
        means = ", ".join(
            f"{what} {sum(row[f'{what} {kind.name}'] for row in rows) / max(1, len(rows)):.3f}"
            for what in ("worth", "p50_ms", "p99_ms")
        )
        print(f"{kind.name}: {means}, mean of {len(rows)} days")


def run(
    *,
    days: collections.abc.Sequence[str] = (),
    seeds: int = 5,
    first: int = 1,
    shape: str = "magnolia",
    load: float = 1.0,
    seconds: float = 0,
    log: str = "",
    processes: int = 0,
) -> typing.NoReturn:
    """Play days with several seeds, check them by the rules, and print how to repeat those that failed.

    :param days: names of days; all days if none is given
    :param seeds: how many seeds to play for each day
    :param first: the first seed
    :param shape: magnolia, swan, grown or apart; the days of split_days are always played on apart
    :param load: the load, as a multiple of the usual request rate
    :param seconds: duration of the traffic; the usual one of each day if 0
    :param log: file for the event log, where only one day with one seed is played
    :param processes: how many processes to use; as many as there are processors if 0
    """
    names = list(days) or list(DAYS)
    unknown = [name for name in names if name not in DAYS]
    if unknown or shape not in shapes.SHAPES or seeds < 1 or (log and (seeds > 1 or len(names) > 1)):
        what = " ".join(unknown) or shape
        print(f"days: no such day or shape, or --log with more than one run: {what}", file=sys.stderr)
        sys.exit(2)
    every_seed = range(first, first + seeds)
    jobs = [Job(name, seed, shape_of(name, shape), load, seconds, log) for seed in every_seed for name in names]
    failed, started_at = 0, time.monotonic()
    totals_by_name: dict[str, list[Totals]] = collections.defaultdict(list)
    with multiprocessing.Pool(processes or os.cpu_count(), maxtasksperchild=DAYS_PER_PROCESS) as pool:
        for result in pool.imap_unordered(play_job, jobs):
            if result.totals:
                totals_by_name[result.job.name].append(result.totals)
            if result.complaints:
                failed += 1
                print_complaints(result)
    print_table(names, totals_by_name)
    if len(names) == 1:
        print_kinds(shape_of(names[0], shape), totals_by_name[names[0]])
    print(
        f"{len(jobs)} days, shape {shape}, seeds {first} to {first + seeds - 1}, load {load}: "
        f"{len(jobs) - failed} kept all rules, {failed} did not; {time.monotonic() - started_at:.0f} s on the clock"
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(run)
