"""Plays of many seeds in several processes, with what to run again printed for each one that failed."""

from __future__ import annotations

import collections.abc
import multiprocessing
import os
import typing

RUNS_PER_PROCESS = 8
COMPLAINTS_SHOWN = 3  # of each checker

Complaints = dict[str, list[str]]  # checker -> what it complains of

Job = typing.TypeVar("Job")


class Outcome(typing.NamedTuple, typing.Generic[Job]):
    """A run that was played and judged."""

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
        play: Plays and judges one job; a function of a module, as it is called in another process.
        jobs: What to play.
        title: Names a job.
        command: The command line that repeats a job.
        processes: How many processes; one for each processor core where 0.

    Yields:
        The outcomes, in the order in which the runs end.
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
