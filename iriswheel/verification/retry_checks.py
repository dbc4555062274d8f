"""Checker of retries: they stay within a share of real demand."""

from __future__ import annotations

import bisect
import typing

from iriswheel.runtime import units
from iriswheel.verification import event_log

if typing.TYPE_CHECKING:
    import collections.abc

WINDOW_US = 10_000_000
RETRY_SHARE_MAX = 0.22  # a fifth, and what nodes may spend before they hear of each other


class Demand(typing.NamedTuple):
    """How many retries ran and how many requests came within the window."""

    repeats: int
    requests: int


def count_in_window(times: list[int], at: int) -> int:
    """How many of the sorted times lie within the window up to a time.

    >>> count_in_window([1, 2, WINDOW_US + 1], WINDOW_US + 1)
    2
    """
    return bisect.bisect_right(times, at) - bisect.bisect_right(times, at - WINDOW_US)


def demand(log: event_log.EventLog, at: int) -> Demand:
    """Repeats and requests in the ten seconds up to a time.

    >>> demand(event_log.EventLog([]), 5)
    Demand(repeats=0, requests=0)
    """
    times = log.retry_times
    return Demand(count_in_window(times.repeats, at), count_in_window(times.requests, at))


def budget(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """10: retries stay within about a fifth of real demand over any ten seconds."""
    for at in log.retry_times.repeats:
        repeats, requests = demand(log, at)
        log.rows_judged["budget"] += 1
        if repeats > RETRY_SHARE_MAX * requests + 1:
            at_s = at / units.SECOND_US
            yield f"{repeats} repeats for {requests} exchanges in the ten seconds up to {at_s:.1f} s"
