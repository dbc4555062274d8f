"""The rules about answers, the HTTP responses: they belong to the request, and each stream is complete and in order.

Further rules concern requests: one that must not be repeated runs at most once, none is lost because a node was stopped
by SIGTERM, and service recovers after a fleet outage.

Each public function checks the rule of its name and yields one complaint per violation. An attempt is one sending of a
request by a client; a run is one execution of an attempt at a worker, which marks its response with a unique seal.
"""

from __future__ import annotations

import collections.abc
import itertools

import simulation.rules.log as event_log
from iriswheel.runtime import units

Complaints = collections.abc.Iterator[str]

NOT_RUN_CODES = (408, 421, 429, 503)  # statuses by which the platform promises that the request was not executed
BROKEN_RUNS = ("garble", "broke", "lost")  # ends of runs whose response is garbled, broken off or missing
MAX_REQUESTS_PER_SERVED = 4  # service counts as available where at least one of so many requests is served


def _is_success(attempt: event_log.Row) -> bool:
    code: int = attempt["code"]
    return 200 <= code < 300


def mixed(log: event_log.Log) -> Complaints:
    """Complain of responses to another request, or that no worker sent, and of successes without a worker's seal."""
    for attempt in log.rows_by_kind["tried"]:
        name = attempt["attempt"]
        is_broken = any(end["how"] in BROKEN_RUNS for end in log.run_ends[name])
        if attempt["how"] == "garbage" and not is_broken:
            yield f"attempt {name} got bytes that are no HTTP response"
        if _is_success(attempt):
            yield from _mixed_success_complaints(log, name, attempt)
    for row in log.rows_by_kind["stray"]:
        yield f"client {row['client']} got bytes from node {row['node']} without an open request"


def _mixed_success_complaints(log: event_log.Log, name: str, attempt: event_log.Row) -> Complaints:
    own_seals = {run["seal"] for run in log.runs[name]}
    seal = attempt["seal"]
    if seal is None or seal not in log.run_by_seal:
        yield f"attempt {name} got a success without a worker's seal"
    elif seal not in own_seals:
        yield f"attempt {name} got the seal of another attempt's run"
    if attempt["echo"] not in (None, name):
        yield f"attempt {name} got the response to attempt {attempt['echo']}"
    if any(event.attempt != name or event.seal not in own_seals for event in event_log.events_of(attempt)):
        yield f"attempt {name} got events of another attempt or run"
    if attempt["bad_events"] or attempt["encoding"]:
        yield f"attempt {name} got malformed events or an encoded body, which the worker did not send"
    is_complete_body = attempt["how"] == "whole" and not attempt["stream"]
    if is_complete_body and seal in log.run_end_by_seal and log.run_end_by_seal[seal]["body"] != attempt["got"]:
        yield f"attempt {name} got another body than the worker sent"


def unasked(log: event_log.Log) -> Complaints:
    """Complain of requests at workers that no client sent, or that differ from what the client sent."""
    for row in log.rows_by_kind["arrived"]:
        if row["verdict"]:
            continue
        attempt = log.attempts.get(row["attempt"])
        if attempt is None:
            if row["at"] < log.ended_at - units.SECOND_US:
                yield f"worker {row['worker']} got attempt {row['attempt']}, which no client sent"
        elif any(row[field] != attempt[field] for field in ("method", "url", "body")):
            yield f"worker {row['worker']} got attempt {row['attempt']} with another method, URL or body than was sent"
    for _ in log.rows_by_kind["bad_request"]:
        yield "a worker got bytes that are no HTTP request"


def twice(log: event_log.Log) -> Complaints:
    """Complain of requests that must not be repeated and ran more than once."""
    for name, attempt in log.attempts.items():
        if not attempt["repeat"] and len(log.runs[name]) > 1:
            yield f"attempt {name} must not be repeated, and ran {len(log.runs[name])} times"


def refused(log: event_log.Log) -> Complaints:
    """Complain of responses whose status says that a request did not run, though it did."""
    for name, attempt in log.attempts.items():
        if not attempt["repeat"] and attempt["code"] in NOT_RUN_CODES and log.runs[name]:
            yield f"attempt {name} got status {attempt['code']}, though it had run"


def lost(log: event_log.Log) -> Complaints:
    """Complain of requests that a node read and never answered because it was stopped by SIGTERM."""
    for name, attempt in log.attempts.items():
        if attempt["how"] != "closed" or attempt["done"] >= attempt["until"]:
            continue
        reached_worker = any(not row["verdict"] for row in log.arrivals[name])
        if not reached_worker and attempt["done"] - attempt["sent"] <= log.bounds["loss_slack"]:
            continue
        if any(end["how"] in (*BROKEN_RUNS, "expired") for end in log.run_ends[name]):
            continue
        for row in log.rows_by_kind["term"]:
            if row["name"] == attempt["node"] and _is_lost_by(log, name, attempt, row["at"]):
                after_ms = (attempt["done"] - row["at"]) // units.MILLISECOND_US
                yield f"attempt {name} was cut off {after_ms} ms after node {attempt['node']} got SIGTERM"


def _is_lost_by(log: event_log.Log, name: str, attempt: event_log.Row, term_at: int) -> bool:
    """Whether an attempt was lost by a SIGTERM alone.

    It was not where another fault may have ended it, or where its run went on for more than half of the grace period.
    """
    grace = log.bounds["grace"]
    if not term_at <= attempt["done"] <= term_at + grace + units.SECOND_US:
        return False
    begin = attempt["sent"] - log.bounds["contact"]
    has_other_fault = any(
        fault.what != "term" and fault.overlaps(begin, attempt["done"]) for fault in log.faults[attempt["node"]]
    ) or log.cuts.has_cut_of_zone_during(log.zones[attempt["node"]], int(begin), attempt["done"])
    is_at_work = any(end["at"] > term_at + grace // 2 for end in log.run_ends[name])
    return not has_other_fault and not is_at_work


def order(log: event_log.Log) -> Complaints:
    """Complain of streams with missing or repeated events, of two runs joined wrongly, and of an early end."""
    for name, attempt in log.attempts.items():
        if attempt["stream"] and _is_success(attempt):
            yield from _stream_complaints(log, name, attempt)


def _stream_complaints(log: event_log.Log, name: str, attempt: event_log.Row) -> Complaints:
    events = event_log.events_of(attempt)
    numbers = [event.number for event in events]
    first = attempt["after"] + 1
    if numbers != list(range(first, first + len(numbers))):
        yield f"attempt {name} got events {numbers}, though it asked for those after {attempt['after']}"
        return
    if attempt["how"] == "whole":
        is_complete = events[-1].is_last if events else _had_received_last_event(log, attempt)
        if not is_complete:
            yield f"the response to attempt {name} ended as complete before its last event"
        if attempt["rest"]:
            yield f"the response to attempt {name} ended as complete within an event"
    for event, following in itertools.pairwise(events):
        if event.seal != following.seal:
            run = log.run_by_seal.get(following.seal)
            if not attempt["repeat"] or run is None or run["after"] != str(event.number):
                yield f"the response to attempt {name} wrongly joins two runs after event {event.number}"


def _had_received_last_event(log: event_log.Log, attempt: event_log.Row) -> bool:
    """Whether the event after which an attempt resumed a stream was the last of the stream."""
    return any(
        event.number == attempt["after"] and event.is_last
        for other in log.attempts_by_request[attempt["request"]]
        for event in event_log.events_of(other)
    )


def recover(log: event_log.Log) -> Complaints:
    """Complain where too few requests are served once the time for recovery from a fleet outage (`closing`) is over."""
    answered = log.rows_by_kind["answered"]
    for closing in log.rows_by_kind["closing"]:
        before = [row for row in answered if row["at"] < closing["at"]]
        after = [row for row in answered if row["began"] > closing["back"] + log.bounds["recovery"]]
        if before and _is_served(before) and after and not _is_served(after):
            served = sum(row["ok"] for row in after)
            yield f"only {served} of {len(after)} requests were served after the recovery time of the fleet outage"


def _is_served(rows: event_log.Rows) -> bool:
    served: int = sum(row["ok"] for row in rows)
    return MAX_REQUESTS_PER_SERVED * served >= len(rows)
