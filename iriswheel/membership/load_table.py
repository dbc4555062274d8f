"""Tables of the load in flight at each worker, and the rows in which load reports carry them between processes."""

from __future__ import annotations

import collections.abc
import typing

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    from iriswheel.transport import message

REPORT_INTERVAL_US = 150 * units.MILLISECOND_US  # time between two reports of changed loads
HEAVY_PROMPT_TOKENS = 2_000  # rise of a worker's unread prompt tokens that is reported at once
SUSPICION_STEP_PERCENT = 20  # rise of a worker's suspicion, in percentage points, that is reported at once

WorkerKey: typing.TypeAlias = tuple[str, str]  # name of the pool, id of the worker


class Load(typing.NamedTuple):
    """The load in flight at a worker; rows of a report carry the fields in this order."""

    running_requests: int
    unread_prompt_tokens: int
    suspicion_percent: int  # suspicion that the worker is faulty, from recent failed attempts; up to 100 per node


LoadTable: typing.TypeAlias = dict[WorkerKey, Load]
LoadRow: typing.TypeAlias = tuple[str, int, int, int]  # id of the worker, then the fields of Load

NO_LOAD = Load(0, 0, 0)


def rows(table: LoadTable, keys: collections.abc.Iterable[WorkerKey]) -> dict[str, list[LoadRow]]:
    """The rows of a table for the given workers, by pool; a worker that is not in the table has load 0.

    >>> rows({("p", "w1"): (1, 60, 0)}, {("p", "w1"), ("p", "w2")})
    {'p': [('w1', 1, 60, 0), ('w2', 0, 0, 0)]}
    """
    rows_by_pool: dict[str, list[LoadRow]] = {}
    for pool, worker in sorted(keys):
        rows_by_pool.setdefault(pool, []).append((worker, *table.get((pool, worker), NO_LOAD)))
    return rows_by_pool


def add_and_subtract(load: Load, added: Load, removed: Load) -> Load:
    """The load after adding one load and subtracting another.

    >>> add_and_subtract(Load(3, 60, 0), Load(1, 0, 50), Load(2, 60, 0))
    Load(running_requests=2, unread_prompt_tokens=0, suspicion_percent=50)
    """
    return Load(
        load.running_requests + added.running_requests - removed.running_requests,
        load.unread_prompt_tokens + added.unread_prompt_tokens - removed.unread_prompt_tokens,
        load.suspicion_percent + added.suspicion_percent - removed.suspicion_percent,
    )


def changed_keys(old: LoadTable, new: LoadTable) -> set[WorkerKey]:
    """The keys of the workers whose load differs between two tables.

    >>> changed_keys({"a": 1, "b": 2}, {"b": 2, "c": 3}) == {"a", "c"}
    True
    """
    return {key for key in old.keys() | new.keys() if old.get(key, NO_LOAD) != new.get(key, NO_LOAD)}


def is_large_rise(before: Load, after: Load) -> bool:
    """Whether a worker's unread prompt tokens or its suspicion rose so much that the rise is reported at once.

    >>> idle, busy, suspected = Load(1, 0, 0), Load(2, 13_000, 0), Load(1, 0, 30)
    >>> is_large_rise(idle, busy), is_large_rise(busy, idle), is_large_rise(idle, suspected)
    (True, False, True)
    """
    rise_tokens = after.unread_prompt_tokens - before.unread_prompt_tokens
    rise_percent = after.suspicion_percent - before.suspicion_percent
    return rise_tokens >= HEAVY_PROMPT_TOKENS or rise_percent >= SUSPICION_STEP_PERCENT


def apply_report(table: LoadTable, report: message.LoadReport) -> set[WorkerKey]:
    """Apply a load report to a table, in place; a complete report replaces the whole table.

    Returns:
        The keys of the workers whose load changed.

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
