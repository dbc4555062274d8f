"""Tables of the load in flight at each worker, and their rows as they travel between processes."""

from __future__ import annotations

import collections.abc
import typing

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    from iriswheel.transport import message

REPORT_INTERVAL_US = 150 * units.MILLISECOND_US  # between two reports of what changed
HEAVY_PROMPT_TOKENS = 2_000  # a rise by so much is reported at once
SUSPICION_STEP_PERCENT = 20  # likewise

WorkerKey: typing.TypeAlias = tuple[str, str]  # pool, worker


class Load(typing.NamedTuple):
    """The load in flight at a worker; as rows of a report its fields travel in this order."""

    running_requests: int
    unread_prompt_tokens: int
    suspicion_percent: int


LoadTable: typing.TypeAlias = dict[WorkerKey, Load]
LoadRow: typing.TypeAlias = tuple[str, int, int, int]  # worker, and its load

NO_LOAD = Load(0, 0, 0)


def rows(table: LoadTable, keys: collections.abc.Iterable[WorkerKey]) -> dict[str, list[LoadRow]]:
    """The rows of a table for some workers, by pool; a worker that is not in the table has no load.

    >>> rows({("p", "w1"): (1, 60, 0)}, {("p", "w1"), ("p", "w2")})
    {'p': [('w1', 1, 60, 0), ('w2', 0, 0, 0)]}
    """
    rows_by_pool: dict[str, list[LoadRow]] = {}
    for pool, worker in sorted(keys):
        rows_by_pool.setdefault(pool, []).append((worker, *table.get((pool, worker), NO_LOAD)))
    return rows_by_pool


def add_and_subtract(load: Load, added: Load, removed: Load) -> Load:
    """A load with one added and one taken away.

    >>> add_and_subtract(Load(3, 60, 0), Load(1, 0, 50), Load(2, 60, 0))
    Load(running_requests=2, unread_prompt_tokens=0, suspicion_percent=50)
    """
    return Load(
        load.running_requests + added.running_requests - removed.running_requests,
        load.unread_prompt_tokens + added.unread_prompt_tokens - removed.unread_prompt_tokens,
        load.suspicion_percent + added.suspicion_percent - removed.suspicion_percent,
    )


def changed_keys(old: LoadTable, new: LoadTable) -> set[WorkerKey]:
    """The workers whose load differs.

    >>> changed_keys({"a": 1, "b": 2}, {"b": 2, "c": 3}) == {"a", "c"}
    True
    """
    return {key for key in old.keys() | new.keys() if old.get(key, NO_LOAD) != new.get(key, NO_LOAD)}


def is_large_rise(before: Load, after: Load) -> bool:
    """Whether the unread prompt tokens of a worker rose by much, or the suspicion of it.

    >>> idle, busy, suspected = Load(1, 0, 0), Load(2, 13_000, 0), Load(1, 0, 30)
    >>> is_large_rise(idle, busy), is_large_rise(busy, idle), is_large_rise(idle, suspected)
    (True, False, True)
    """
    rise_tokens = after.unread_prompt_tokens - before.unread_prompt_tokens
    rise_percent = after.suspicion_percent - before.suspicion_percent
    return rise_tokens >= HEAVY_PROMPT_TOKENS or rise_percent >= SUSPICION_STEP_PERCENT


def apply_report(table: LoadTable, report: message.LoadReport) -> set[WorkerKey]:
    """Bring a table up to date by a report, in place.

    Returns:
        The keys whose load changed.

    >>> import iriswheel.transport.message as message
    >>> t = {}; apply_report(t, message.LoadReport("n1", True, {"p": [("w1", 1, 60, 0)]})), t
    ({('p', 'w1')}, {('p', 'w1'): Load(running_requests=1, unread_prompt_tokens=60, suspicion_percent=0)})
    """
    reported: LoadTable = {
        (pool, worker): Load(requests, tokens, suspicion)
        for pool, pool_rows in report.rows.items()
        for worker, requests, tokens, suspicion in pool_rows
    }
    new = reported if report.complete else {**table, **reported}
    changed = changed_keys(table, new)
    table.clear()
    table.update({key: load for key, load in new.items() if load != NO_LOAD})
    return changed
