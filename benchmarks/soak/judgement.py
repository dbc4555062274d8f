"""The rules that a soak checks on its records and on the event logs of the workers."""

from __future__ import annotations

import collections
import json
import pathlib
import typing

from benchmarks.soak import records

if typing.TYPE_CHECKING:
    import collections.abc

LOSS_SLACK_S = 0.2  # the users' bound: a request that crosses the end of its connection may get no answer
NOT_RUN_STATUSES = (429, 503)  # they promise that the request did not run and never will
OK = 200  # HTTP status


def read_runs(event_logs: collections.abc.Iterable[pathlib.Path]) -> dict[str, list[str]]:
    """The paths under which each request ran, by the request's id; one entry for each run."""
    runs: dict[str, list[str]] = collections.defaultdict(list)
    for event_log in event_logs:
        with event_log.open() as lines:
            for line in lines:
                row = json.loads(line)
                if row["kind"] == "run":
                    runs[row["exchange"]].append(row["path"])
    return runs


def judge(run: records.Records, runs: dict[str, list[str]]) -> list[str]:
    """All complaints of a run.

    >>> judge(records.Records(), {})
    []
    """
    return [
        *run.complaints,
        *(f"OWN END: {end}" for end in run.own_ends),
        *_of_attempts(run, runs),
        *_of_changes(run, runs),
    ]


def _of_attempts(run: records.Records, runs: dict[str, list[str]]) -> collections.abc.Iterator[str]:
    for attempt in run.attempts:
        count = len(runs.get(attempt.identifier, ()))
        where = f"{attempt.identifier} at {attempt.node}, sent at {attempt.sent_at - run.begun_at:.2f} s"
        if count > 1:
            yield f"TWICE: {where} ran {count} times"
        if attempt.end is records.AttemptEnd.ANSWERED:
            yield from _of_answer(attempt, count, where)
        elif attempt.end is not None and is_lost(run, attempt, count):
            waited_s = attempt.ended_at - attempt.sent_at
            yield f"LOST: {where} {attempt.end.value} after {waited_s:.2f} s, {count} runs"


def _of_answer(attempt: records.Attempt, count: int, where: str) -> collections.abc.Iterator[str]:
    if attempt.status in NOT_RUN_STATUSES and count:
        yield f"REFUSED: {where} was refused with {attempt.status} and ran"
    is_own = f'"exchange": "{attempt.identifier}"'.encode() in attempt.body and attempt.body.endswith(b"[DONE]\n\n")
    if attempt.status == OK and not is_own:
        yield f"MIXED: {where} got an answer that is not its own whole one"


def is_lost(run: records.Records, attempt: records.Attempt, count: int) -> bool:
    """Whether a node that was neither killed nor frozen closed a connection that it owed an answer on.

    A request that crosses the end of the connection and was not passed on is owed none.
    """
    if run.was_interrupted(attempt.node, attempt.sent_at, attempt.ended_at):
        return False
    return count > 0 or attempt.ended_at - attempt.sent_at > LOSS_SLACK_S


def _of_changes(run: records.Records, runs: dict[str, list[str]]) -> collections.abc.Iterator[str]:
    refused = {
        run.changes[number].path for number, outcome in run.outcomes.items() if outcome is records.ChangeOutcome.REFUSED
    }
    for identifier, paths in runs.items():
        for path in refused.intersection(paths):
            yield f"CONFIG: {identifier} ran on {path}, whose change was refused"
