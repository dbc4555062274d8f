"""Play many runs in several processes, and print for each failed run the command that repeats it."""

from __future__ import annotations

import collections.abc
import multiprocessing
import os
import typing

RUNS_PER_PROCESS = 8
COMPLAINTS_SHOWN = 3  # per checker and run

Complaints = dict[str, list[str]]  # name of the checker -> its complaints

Job = typing.TypeVar("Job")


class Outcome(typing.NamedTuple, typing.Generic[Job]):
    """The result of a run and of its checkers."""

    job: Job
    complaints: Complaints
    measured: dict[str, typing.Any]
    processor_seconds: float


def play_all(
    play: collections.abc.Callable[[Job], Outcome[Job]],
    jobs: collections.abc.Collection[Job],
    title: collections.abc.Callable[[Job], str],
    command: collections.abc.Callable[[Job], str],
    processes: int = 0,
) -> collections.abc.Iterator[Outcome[Job]]:
    """Play jobs in several processes, and print the complaints of each that failed.

    Args:
        play: Plays a job and runs the checkers; must be picklable, as it is called in another process.
        jobs: The jobs to play.
        title: Returns the title of a job for the report.
        command: Returns the command line that repeats a job.
        processes: The number of processes; 0 for one per processor core.

    Yields:
        The outcomes, in the order in which the runs finish.
    """
    with multiprocessing.Pool(processes or os.cpu_count(), maxtasksperchild=RUNS_PER_PROCESS) as pool:
        for outcome in pool.imap_unordered(play, jobs):
            if outcome.complaints:
                print(f"FAILED {title(outcome.job)}: {command(outcome.job)}", flush=True)
                print_complaints(outcome.complaints)
            yield outcome


def print_complaints(complaints: Complaints) -> None:
    """Print the first complaints of each checker, and how many more there are.

    >>> print_complaints({"once": ["x1 ran twice", "x2 ran twice", "x3 ran twice", "x4 ran twice"]})
        once: x1 ran twice
        once: x2 ran twice
        once: x3 ran twice
        once: and 1 more
    """
    for checker, lines in complaints.items():
        for line in lines[:COMPLAINTS_SHOWN]:
            print(f"    {checker}: {line}")
        if len(lines) > COMPLAINTS_SHOWN:
            print(f"    {checker}: and {len(lines) - COMPLAINTS_SHOWN} more")
