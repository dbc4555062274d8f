"""Checkers of operators' calls: acknowledged changes are kept, and the calls are linearizable."""

from __future__ import annotations

import collections
import typing

from iriswheel.verification import event_log, history

if typing.TYPE_CHECKING:
    import collections.abc


def kept(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """6: a read returns the last acknowledged configuration or a later one that an operator sent."""
    versions: dict[str, int] = {}
    for row in log.rows_of("confirmed"):
        if versions.setdefault(row["plan"], row["stamp"]) != row["stamp"]:
            yield f"plan {row['plan']} was acknowledged with two versions"
    counts: collections.Counter[int] = collections.Counter()
    for version in versions.values():
        counts[version] += 1
        if counts[version] > 1:
            yield f"two plans were acknowledged with version {version}"
    log.rows_judged["kept"] += len(log.rows_of("read"))
    for row in log.rows_of("read"):
        complaint = read_complaint(log, row, versions)
        if complaint is not None:
            yield complaint
    if log.rows_of("ended") and not log.rows_of("read"):
        yield "the configuration could not be read at the end of the run"


def read_complaint(log: event_log.EventLog, read: event_log.Row, versions: dict[str, int]) -> str | None:
    """A complaint if a read returned an older or an unknown configuration, else None.

    Args:
        log: The log of the run.
        read: The row of the read.
        versions: The versions of the acknowledged plans, by plan id.
    """
    before = [row for row in log.rows_of("confirmed") if row["at"] < read["at"]]
    if not before:
        return None
    last = max(before, key=lambda row: row["stamp"])
    documents = {row["plan"]: row["blueprint"] for row in log.rows_of("confirm_sent")}
    unanswered = [row["blueprint"] for row in log.rows_of("confirm_sent") if row["plan"] not in versions]
    if read["stamp"] < last["stamp"]:
        return f"a read returned version {read['stamp']} after version {last['stamp']} had been acknowledged"
    if read["stamp"] == last["stamp"]:
        if not same_content(read["blueprint"], documents[last["plan"]]):
            return f"a read returned version {read['stamp']} with another content than was acknowledged"
    elif not any(same_content(read["blueprint"], document) for document in [*unanswered, *documents.values()]):
        return f"a read returned version {read['stamp']} with a content that no operator confirmed"
    return None


def same_content(one: event_log.Document, other: event_log.Document) -> bool:
    """Whether two configurations have the same content; an empty section equals a missing one.

    >>> same_content({"pools": {}}, {})
    True
    """
    return {key: value for key, value in one.items() if value} == {key: value for key, value in other.items() if value}


def linearizable(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """6: the operators' calls are linearizable: one order of them explains every answer."""
    log.rows_judged["linearizable"] += history.call_count(log.rows)
    yield from history.complaints(log.rows)
