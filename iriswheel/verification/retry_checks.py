"""Checker of retries: they stay within a share of the requests that clients send."""

from __future__ import annotations

import bisect
import typing

from iriswheel.runtime import units
from iriswheel.verification import event_log

if typing.TYPE_CHECKING:
    import collections.abc

WINDOW_US = 10_000_000  # span over which retries and requests are compared
RETRY_SHARE_MAX = 0.22  # retries per request: a fifth, and what nodes may add before they learn each other's counts


class Demand(typing.NamedTuple):
    """The numbers of retries that ran and of requests that were sent within the window."""

    repeats: int  # number of retries
    requests: int


def count_in_window(times: list[int], at: int) -> int:
    """The number of sorted times that lie within the window that ends at a time.

    >>> count_in_window([1, 2, WINDOW_US + 1], WINDOW_US + 1)
    2
    """
    return bisect.bisect_right(times, at) - bisect.bisect_right(times, at - WINDOW_US)


def demand(log: event_log.EventLog, at: int) -> Demand:
    """The retries and requests within the window that ends at a time.

    >>> demand(event_log.EventLog([]), 5)
    Demand(repeats=0, requests=0)
    """
    times = log.retry_times
    return Demand(count_in_window(times.repeats, at), count_in_window(times.requests, at))


def budget(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """10: within any ten seconds, there are at most about a fifth as many retries as requests."""
    for at in log.retry_times.repeats:
        repeats, requests = demand(log, at)
        log.rows_judged["budget"] += 1
        if repeats > RETRY_SHARE_MAX * requests + 1:
            at_s = at / units.SECOND_US
            yield f"{repeats} repeats for {requests} exchanges in the ten seconds up to {at_s:.1f} s"
