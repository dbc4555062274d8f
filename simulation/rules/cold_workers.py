"""The rule about cold workers: none gets more requests within any one second than its limit.

A worker is cold for some seconds after its start, and can take only few requests meanwhile.
"""

from __future__ import annotations

import collections
import collections.abc
import typing

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    import simulation.rules.log as event_log

WINDOW_US = units.SECOND_US
NOT_FOR_THIS_WORKER = 421  # a worker's status for a request that names another worker


def failback(log: event_log.Log) -> collections.abc.Iterator[str]:
    """Complain of a cold worker that got more requests within one second than its limit.

    Requests of all nodes count, also of those that are not connected to the core. Requests that a network cut delayed
    by a second or more don't count: they arrive together, although they were sent at an allowed rate.
    """
    arrivals: collections.defaultdict[str, list[int]] = collections.defaultdict(list)
    for row in log.rows_by_kind["arrived"]:
        if row.get("cold") and row["verdict"] != NOT_FOR_THIS_WORKER and _sent_within_window(log, row):
            arrivals[row["worker"]].append(row["at"])
    limit = log.bounds["cold_limit"]
    for worker, times in sorted(arrivals.items()):
        most = _most_in_a_second(times)
        if most > limit:
            yield f"cold worker {worker} got {most} requests within one second, at most {limit:.0f} are allowed"


def _sent_within_window(log: event_log.Log, row: event_log.Row) -> bool:
    """Whether a request reached the worker within a second of its sending, or over a link without a recent cut."""
    tried = log.attempts.get(row["attempt"])
    return tried is None or row["at"] - tried["sent"] < WINDOW_US or not log.is_delayed_by_cut(row)


def _most_in_a_second(times: list[int]) -> int:
    """The largest number of arrivals within one second, of arrival times in ascending order.

    >>> _most_in_a_second([0, 1, units.SECOND_US])
    2
    """
    most, first = 0, 0
    for index, at in enumerate(times):
        while times[first] <= at - WINDOW_US:
            first += 1
        most = max(most, index + 1 - first)
    return most
