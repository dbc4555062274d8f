"""The value that a run earned: the numbers of requests served in time, late or not at all, and their worth.

A request has an aim: the time limit for the first event of its answer. Each kind of request has a value, and a
smaller one for requests that are served late. The worth is the earned value as a share of the possible value.
"""

from __future__ import annotations

import collections
import itertools
import typing

import simulation.rules.log as event_log
from iriswheel.runtime import units

WINDOW_US = 2 * units.SECOND_US
WORST_WINDOWS = 2  # how many of the windows with the least worth are reported

State = typing.Literal["in_aim", "late", "none"]
Totals = dict[str, typing.Any]


class RequestValue(typing.NamedTuple):
    """What a kind of request is worth: its aim and longest pause between events, its value, and the value when late."""

    aim_us: int
    pause_us: int
    value: float
    late_value: float


class Earned(typing.NamedTuple):
    """Whether one request was served in time, late or not at all, and the value that it earned."""

    state: State
    value: float


def first_event(attempts: event_log.Rows) -> int:
    """When the first event of a served request reached the client, or its whole answer where it has no events.

    >>> first_event([dict(events=[], done=7)])
    7
    """
    events = (event for attempt in attempts for event in event_log.events_of(attempt))
    return next((event.at_us for event in events), attempts[-1]["done"])


def is_in_time(log: event_log.Log, answered: event_log.Row, attempts: event_log.Rows, kind: RequestValue) -> bool:
    """Whether a served request met its aim.

    Its first event came within the aim, no pause between events was too long, and the fleet delayed no event by more
    than the bound `late` after the worker sent it.
    """
    if first_event(attempts) - answered["began"] > kind.aim_us:
        return False
    events = [event for attempt in attempts for event in event_log.events_of(attempt)]
    if any(following.at_us - event.at_us > kind.pause_us for event, following in itertools.pairwise(events)):
        return False
    for event in events:
        sent_times = log.run_end_by_seal.get(event.seal, {}).get("times")
        after = log.run_by_seal.get(event.seal, {}).get("after")
        index = event.number - 1 - (int(after) if after else 0)
        if sent_times and 0 <= index < len(sent_times) and event.at_us - sent_times[index] > log.bounds["late"]:
            return False
    return True


def earned_by(log: event_log.Log, answered: event_log.Row, kind: RequestValue) -> Earned:
    """What a request earned, by its row `answered`."""
    attempts = log.attempts_by_request[answered["request"]]
    if not answered["ok"] or not attempts:
        return Earned("none", 0.0)
    if is_in_time(log, answered, attempts, kind):
        return Earned("in_aim", kind.value)
    return Earned("late", kind.late_value)


def earned_value(rows: event_log.Rows, kinds: dict[str, RequestValue], window: int = WINDOW_US) -> dict[str, Totals]:
    """The numbers of requests and the value earned: of all requests, by kind and by zone.

    Args:
        rows: The event log.
        kinds: What each kind of request is worth; requests of other kinds are left out.
        window: The length in microseconds of the windows whose worst worths are reported.

    >>> earned_value([], {})["all"]["asked"]
    0
    """
    log = event_log.Log(rows)
    # Of each group, `owed` is the value of its requests if all were served in time, and `earned` what they earned.
    waits: collections.defaultdict[str, list[int]] = collections.defaultdict(list)
    totals: collections.defaultdict[str, Totals] = collections.defaultdict(
        lambda: dict(asked=0, in_aim=0, late=0, none=0, earned=0.0, owed=0.0)
    )
    windows: collections.defaultdict[int, Totals] = collections.defaultdict(lambda: dict(earned=0.0, owed=0.0))
    for answered in log.rows_by_kind["answered"]:
        kind_name, started_at = answered["sort"], answered["began"]
        if kind_name not in kinds or started_at < log.started_at:
            continue
        earned = earned_by(log, answered, kinds[kind_name])
        groups = [totals[name] for name in ("all", kind_name, f"zone {answered['zone']}")]
        for group in groups:
            group["asked"] += 1
            group[earned.state] += 1
        for group in [*groups, windows[started_at // window]]:
            group["earned"] += earned.value
            group["owed"] += kinds[kind_name].value
        if earned.state != "none":
            waits[kind_name].append(first_event(log.attempts_by_request[answered["request"]]) - started_at)
    return _summary(totals, windows, waits)


def _summary(
    totals: collections.defaultdict[str, Totals], windows: dict[int, Totals], waits: dict[str, list[int]]
) -> dict[str, Totals]:
    totals["all"]  # creates the entry where there was no request
    summary = {
        name: {**group, "worth": group["earned"] / group["owed"] if group["owed"] else 0.0}
        for name, group in totals.items()
    }
    worths = sorted(group["earned"] / group["owed"] for group in windows.values() if group["owed"])
    summary["all"]["worst_windows"] = worths[:WORST_WINDOWS]
    for name, times in waits.items():
        times.sort()
        median, high = times[len(times) // 2], times[len(times) * 99 // 100]
        summary[name].update(p50_ms=median / units.MILLISECOND_US, p99_ms=high / units.MILLISECOND_US)
    return summary
