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
Load: typing.TypeAlias = tuple[int, int, int]  # requests running, prompt tokens not read yet, suspicion in percent
LoadTable: typing.TypeAlias = dict[WorkerKey, Load]
LoadRow: typing.TypeAlias = tuple[str, int, int, int]  # worker, and its load

NO_LOAD: Load = (0, 0, 0)


def rows(table: LoadTable, keys: collections.abc.Iterable[WorkerKey]) -> dict[str, list[LoadRow]]:
    """The rows of a table for some workers, by pool; a worker that is not in the table has no load.

    >>> rows({("p", "w1"): (1, 60, 0)}, {("p", "w1"), ("p", "w2")})
    {'p': [('w1', 1, 60, 0), ('w2', 0, 0, 0)]}
    """
    rows_by_pool: dict[str, list[LoadRow]] = {}
    for pool, worker in sorted(keys):
        rows_by_pool.setdefault(pool, []).append((worker, *table.get((pool, worker), NO_LOAD)))
    return rows_by_pool


def plus(load: Load, added: Load, removed: Load) -> Load:
    """A load with one added and one taken away.

    >>> plus((3, 60, 0), (1, 0, 50), (2, 60, 0))
    (2, 0, 50)
    """
    return load[0] + added[0] - removed[0], load[1] + added[1] - removed[1], load[2] + added[2] - removed[2]


def changes(old: LoadTable, new: LoadTable) -> set[WorkerKey]:
    """The workers whose load differs.

    >>> changes({"a": 1, "b": 2}, {"b": 2, "c": 3}) == {"a", "c"}
    True
    """
    return {key for key in old.keys() | new.keys() if old.get(key, NO_LOAD) != new.get(key, NO_LOAD)}


def heavy(before: Load, after: Load) -> bool:
    """Whether the unread prompt tokens of a worker rose by much, or the suspicion of it.

    >>> heavy((1, 0, 0), (2, 13_000, 0)), heavy((2, 13_000, 0), (1, 0, 0)), heavy((1, 0, 0), (1, 0, 30))
    (True, False, True)
    """
    return after[1] - before[1] >= HEAVY_PROMPT_TOKENS or after[2] - before[2] >= SUSPICION_STEP_PERCENT


def update(table: LoadTable, report: message.LoadReport) -> set[WorkerKey]:
    """Bring a table up to date by a report, in place.

    Returns:
        The keys whose load changed.

    >>> import iriswheel.transport.message as message
    >>> t = {}; update(t, message.LoadReport("n1", True, {"p": [("w1", 1, 60, 0)]})), t
    ({('p', 'w1')}, {('p', 'w1'): (1, 60, 0)})
    """
    reported: LoadTable = {
        (pool, worker): (requests, tokens, suspicion)
        for pool, pool_rows in report.rows.items()
        for worker, requests, tokens, suspicion in pool_rows
    }
    new = reported if report.complete else {**table, **reported}
    changed = changes(table, new)
    table.clear()
    table.update({key: load for key, load in new.items() if load != NO_LOAD})
    return changed
