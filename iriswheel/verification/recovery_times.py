"""Measures how long clients' first attempts kept failing after each fault of an event log."""

from __future__ import annotations

import typing

from iriswheel.runtime import units
from iriswheel.verification import event_log


class Recovery(typing.NamedTuple):
    """The results of clients' first attempts after the beginning or the end of a fault.

    Attributes:
        fault: Kind and target of the fault.
        last_failed_ms: The time from the fault to the sending of the last attempt that failed before the next fault.
        failed: The number of first attempts that failed.
        sent: The number of first attempts that were sent before the next fault, within at most 12 s.
    """

    fault: str
    last_failed_ms: int
    failed: int
    sent: int


def recovery(rows: list[event_log.Row]) -> list[Recovery]:
    """The recoveries of a log; refusals because of the limit on sessions do not count as failures.

    >>> recovery([{"at": 1, "kind": "fault", "what": "kill", "target": "n1", "large": False}])
    [Recovery(fault='kill n1', last_failed_ms=0, failed=0, sent=0)]
    """
    log = event_log.EventLog(rows)
    ends = [
        (row["at"], log.sent[(row["exchange"], 1)]["at"])
        for kind in ("refused", "torn", "lost")
        for row in log.rows_of(kind)
        if row["send"] == 1 and row.get("code") != "sessions_full"
    ]
    faults = sorted(log.rows_of("fault") + log.rows_of("mend"), key=lambda row: row["at"])
    recoveries = []
    for fault, following in zip(faults, [*faults[1:], {"at": log.end + 1}], strict=False):
        until = min(following["at"], fault["at"] + event_log.LARGE_FAULT_US)
        sent = sum(1 for row in log.rows_of("sent") if row["send"] == 1 and fault["at"] <= row["at"] < until)
        failed = [sent_at for end, sent_at in ends if fault["at"] <= end < following["at"] and sent_at < until]
        last_failed_us = max([0, *(sent_at - fault["at"] for sent_at in failed)])
        name = f"{fault['what']} {fault['target']}"
        recoveries.append(Recovery(name, last_failed_us // units.MILLISECOND_US, len(failed), sent))
    return recoveries


def recovery_lines(rows: list[event_log.Row]) -> list[str]:
    """The recoveries of a log, as the lines that `iriswheel replay` prints.

    >>> recovery_lines([{"at": 1, "kind": "fault", "what": "kill", "target": "n1", "large": False}])
    ['recovery: kill n1: 0 first sends failed, the last one sent after 0 ms; 0 sent']
    """
    return [
        f"recovery: {fault}: {failed} first sends failed, the last one sent after {last_failed_ms} ms; {sent} sent"
        for fault, last_failed_ms, failed, sent in recovery(rows)
    ]
