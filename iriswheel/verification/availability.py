"""Checkers of availability: valid requests are served in time, and service recovers soon after a large fault."""

from __future__ import annotations

import typing

from iriswheel.runtime import units
from iriswheel.verification import event_log, refusals

if typing.TYPE_CHECKING:
    import collections.abc

LONG_FIRST_BYTE_MAX_US = 1_000_000  # from sending a long request to the first byte of its answer
SHORT_FIRST_BYTE_MAX_US = 500_000  # from sending a short request to the first byte of its answer
STREAM_PAUSE_MAX_US = 1_000_000  # between two events of a streamed answer
ACKNOWLEDGEMENT_MAX_US = 5_000_000  # from an operator's decision to make a change to its acknowledgement
REFUSAL_SLACK_US = 500_000  # from the end of the longest wait for a worker to the refusal
DEFAULT_LONG_WAIT_US = 10_000_000  # wait of a long request for a worker, if the pool gives none
DEFAULT_SHORT_WAIT_US = 5_000_000  # wait of a short request for a worker, if the pool gives none
RECOVERY_WINDOW_US = 5_000_000  # length of the span that shows recovery; it begins LARGE_FAULT_US after a fault
RECOVERY_SHARE_MIN = 0.9  # share of the first attempts in this span that must get a complete answer


def served(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """11: the fleet refuses a valid request only for a reason that the log supports, and serves the others in time.

    A refusal may take as long as the longest wait for a worker that a pool allows.

    Requests that meet a fault are excused: at a dead, frozen or partitioned node, or on a lost worker. After a large
    fault, all requests are excused for 12 s. Other requests may start late, but may not be refused, for ROLE_FAULT_US
    after the loss of a pool owner or of its replica, and for SILENT_FAULT_US after the loss of a worker whose
    connections stay open.
    """
    yield from refused_requests(log)
    yield from broken_requests(log)
    yield from refused_probes(log)
    yield from slow_answers(log)


def refused_requests(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """Complaints of refusals that come too late or have no reason."""
    for row in log.rows_of("refused"):
        attempt = event_log.attempt_key(row)
        sent = log.sent.get(attempt)
        if sent is None:
            continue
        log.rows_judged["served"] += 1
        bound_us = longest_wait_us(log, sent, row["at"]) + REFUSAL_SLACK_US
        worker = log.runs.get(attempt, {}).get("worker")
        if row.get("took", 0) > bound_us and not log.met_fault(sent["at"], row["at"], sent.get("node"), worker):
            took_s = row["took"] / units.SECOND_US
            yield f"{row['exchange']} was refused only after {took_s:.1f} s ({row['code']})"
        why = refusals.contradiction(log, row, sent)
        if why is not None:
            at_s = sent["at"] / units.SECOND_US
            yield f"{row['exchange']} send {row['send']} was refused ({row['code']}) at {at_s:.1f} s, but {why}"


def longest_wait_us(log: event_log.EventLog, sent: event_log.Row, until: int) -> int:
    """The longest wait for a worker that any pool allows, in the configurations in effect at the time."""
    field, default = ("short_wait_us", DEFAULT_SHORT_WAIT_US)
    if sent["sort"] == "long":
        field, default = ("long_wait_us", DEFAULT_LONG_WAIT_US)
    waits: list[int] = [
        pool.get(field, default)
        for document in log.configurations_between(sent["at"], until)
        for pool in document["pools"].values()
    ]
    return max(waits, default=DEFAULT_LONG_WAIT_US)


def broken_requests(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """Complaints of requests that got no answer or an incomplete one though node and worker were not at fault."""
    for row in log.rows_of("lost") + log.rows_of("torn"):
        attempt = event_log.attempt_key(row)
        sent = log.sent.get(attempt)
        if sent is None:
            continue
        log.rows_judged["served"] += 1
        worker = log.runs.get(attempt, {}).get("worker")
        if not log.met_fault(sent["at"], row["at"], sent.get("node"), worker):
            at_s = row["at"] / units.SECOND_US
            yield f"{row['exchange']} was {row['kind']} at {at_s:.1f} s, but node and worker were not at fault"


def refused_probes(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """Complaints of probes that were refused without a reason."""
    for row in log.rows_of("probe"):
        log.rows_judged["served"] += 1
        if row["status"] in (200, 404):
            continue
        why = refusals.contradiction(log, {**row, "at": row["done"], "send": 0}, {**row, "sort": "short"})
        if why is not None:
            at_s = row["at"] / units.SECOND_US
            yield f"a probe at {row['node']} was refused ({row['code']}) at {at_s:.1f} s, but {why}"


def slow_answers(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """Complaints of answers whose first byte came late, or that paused too long."""
    for row in log.rows_of("whole"):
        sent = log.sent[event_log.attempt_key(row)]
        log.rows_judged["served"] += 1
        bound_us = LONG_FIRST_BYTE_MAX_US if sent["sort"] == "long" else SHORT_FIRST_BYTE_MAX_US
        if row["first"] > bound_us:
            yield from late_first_byte(log, row, sent)
        at_fault = log.met_fault(sent["at"], row["at"], sent.get("node"), row["worker"])
        if row["pause"] > STREAM_PAUSE_MAX_US and not at_fault:
            yield f"{row['exchange']} paused for {row['pause'] / units.SECOND_US:.2f} s"


def late_first_byte(log: event_log.EventLog, row: event_log.Row, sent: event_log.Row) -> collections.abc.Iterator[str]:
    """A complaint of a first byte that came late though no fault can explain it and slots were free."""
    since, first_at = sent["at"], sent["at"] + row["first"]
    if log.met_fault(since, first_at, sent.get("node"), row["worker"]) or log.may_be_delayed(since, first_at):
        return
    run_at = log.runs.get(event_log.attempt_key(row), {"at": first_at})["at"]
    documents = log.configurations_between(since, first_at)
    if log.is_crowded(log.worker_pools.get(row["worker"]), since, run_at, sent["sort"] == "long", documents):
        return
    first_s, worker_s = row["first"] / units.SECOND_US, (run_at - since) / units.SECOND_US
    yield (
        f"{row['exchange']} ({sent['sort']}) waited {first_s:.2f} s for its first byte "
        f"at {since / units.SECOND_US:.1f} s ({worker_s:.2f} s of it for a worker)"
    )


def back(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """12: within about 12 s after a large fault, requests are served and changes of the configuration are accepted.

    After that time `served` no longer excuses requests. This checker demands that most first attempts then get a
    complete answer.
    """
    yield from late_changes(log)
    yield from lasting_failures(log)


def late_changes(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """Complaints of changes that were not acknowledged in time though no core machine was at fault."""
    acknowledged = {(row["who"], row["probe"]): row["at"] for row in reversed(log.rows_of("confirmed"))}
    core_faults = [fault for fault in log.faults if fault.role in ("core", "all", "") or fault.large]
    for row in log.rows_of("wanted"):
        until = row["at"] + ACKNOWLEDGEMENT_MAX_US
        since = row["at"] - event_log.LARGE_FAULT_US
        if until >= log.end or any(fault.overlaps(since, until) for fault in core_faults):
            continue
        log.rows_judged["back"] += 1
        at = acknowledged.get((row["who"], row["probe"]))
        if at is None or at > until:
            at_s = row["at"] / units.SECOND_US
            yield f"change {row['probe']}, wanted at {at_s:.1f} s, was not acknowledged in time"


def lasting_failures(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """Complaints of large faults after which too few first attempts got a complete answer."""
    complete = {event_log.attempt_key(row) for row in log.rows_of("whole")}
    for fault in log.faults:
        first = fault.at + event_log.LARGE_FAULT_US
        until = first + RECOVERY_WINDOW_US
        if not fault.large or any(fault.at < other.at <= until for other in log.faults) or until > log.end:
            continue
        first_attempts = [row for row in log.rows_of("sent") if first <= row["at"] <= until and row["send"] == 1]
        if not first_attempts:
            continue
        log.rows_judged["back"] += 1
        count = sum((row["exchange"], 1) in complete for row in first_attempts)
        if count < RECOVERY_SHARE_MIN * len(first_attempts):
            yield (
                f"{fault.what} of {fault.target} at {fault.at / units.SECOND_US:.1f} s: "
                f"12 s later only {count} of {len(first_attempts)} requests got a complete answer"
            )
