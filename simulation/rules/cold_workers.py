"""The rule about cold workers: no second holds more requests to one of them than it bears."""

from __future__ import annotations

import collections
import collections.abc
import typing

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    import simulation.rules.log as event_log

WINDOW_US = units.SECOND_US
NOT_FOR_THIS_WORKER = 421


def failback(log: event_log.Log) -> collections.abc.Iterator[str]:
    """More requests to a cold worker in one second than its limit, over all machines, in touch or not.

    What counts was sent and arrived inside that second: a request that a cut held up for longer does not.
    """
    arrivals: collections.defaultdict[str, list[int]] = collections.defaultdict(list)
    for row in log.rows_by_kind["arrived"]:
        if row.get("cold") and row["verdict"] != NOT_FOR_THIS_WORKER and _sent_within_window(log, row):
            arrivals[row["worker"]].append(row["at"])
    limit = log.bounds["cold_limit"]
    for worker, times in sorted(arrivals.items()):
        most = _most_in_a_second(times)
        if most > limit:
            yield f"cold worker {worker} got {most} requests in one second, {limit:.0f} at most are allowed"


def _sent_within_window(log: event_log.Log, row: event_log.Row) -> bool:
    """Whether a request came within a second of the client's try, or came over a link that was not cut lately."""
    tried = log.attempts.get(row["attempt"])
    return tried is None or row["at"] - tried["sent"] < WINDOW_US or not log.is_delayed_by_cut(row)


def _most_in_a_second(times: list[int]) -> int:
    """The most arrivals that a second holds; times rise.

    >>> _most_in_a_second([0, 1, units.SECOND_US])
    2
    """
    most, first = 0, 0
    for index, at in enumerate(times):
        while times[first] <= at - WINDOW_US:
            first += 1
        most = max(most, index + 1 - first)
    return most
