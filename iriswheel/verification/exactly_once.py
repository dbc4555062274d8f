"""Checkers of single requests: they run at most as often as allowed, and answers are the worker's own and complete."""

from __future__ import annotations

import collections
import json
import typing

from iriswheel.verification import event_log

if typing.TYPE_CHECKING:
    import collections.abc

MALFORMED_REQUEST_US = 6_000_000  # a malformed request takes at most so long
STREAM_END = "data: [DONE]"
EVENT_PREFIX = "data: "


def answer_events(text: str) -> list[dict[str, typing.Any]] | None:
    r"""The events of an answer, as documents; None where one is missing or out of order.

    >>> answer_events('data: {"k": 0, "of": 1}\n\ndata: [DONE]\n\n')
    [{'k': 0, 'of': 1}]
    >>> answer_events('data: {"k": 1, "of": 2}\n\ndata: [DONE]\n\n') is None
    True
    """
    parts = text.split("\n\n")
    if parts[-1] != "" or len(parts) < 3 or parts[-2] != STREAM_END:
        return None
    try:
        documents = [json.loads(part[len(EVENT_PREFIX) :]) for part in parts[:-2]]
    except ValueError:
        return None
    if [document.get("k") for document in documents] != list(range(documents[0].get("of", -1))):
        return None
    return documents


def once(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """1: what may not be repeated runs once; no answer has gaps, doubles or splices."""
    runs = collections.Counter(row["exchange"] for row in log.rows_of("run") if row["exchange"])
    log.rows_judged["once"] += sum(1 for identifier in runs if log.idempotent.get(identifier) is False)
    for identifier, count in sorted(runs.items()):
        if count > 1 and log.idempotent.get(identifier) is False:
            yield f"{identifier} may not be repeated and ran {count} times"
    for row in log.rows_of("whole"):
        documents = answer_events(row["text"])
        if documents is None:
            yield f"{row['exchange']}: the answer has a gap or a double"
            continue
        sources = {document["run"] for document in documents}
        if len(sources) != 1:
            yield f"{row['exchange']}: the answer is spliced from {sorted(sources)}"


def not_run(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """2: a refusal that says "not run" is true, then and later."""
    for row in log.rows_of("refused"):
        log.rows_judged["not_run"] += row["verdict"] == "not_run"
        if row["verdict"] == "not_run" and event_log.attempt_key(row) in log.runs:
            yield f"{row['exchange']} send {row['send']} was refused as not run, and ran"


def own(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """3: an answer is the worker's own complete answer to this very request."""
    runs = {row["run"]: row for row in log.rows_of("run")}
    finished = {row["run"] for row in log.rows_of("ran")}
    for row in log.rows_of("whole"):
        log.rows_judged["own"] += 1
        for document in (answer_events(row["text"]) or [])[:1]:
            run = runs.get(document["run"])
            if document["exchange"] != row["exchange"] or run is None or run["exchange"] != row["exchange"]:
                yield f"{row['exchange']} got the answer to {document['exchange']}"
            elif run["worker"] != row["worker"]:
                yield f"{row['exchange']} ran on {run['worker']}, the answer names {row['worker']}"
            elif document["run"] not in finished:
                yield f"{row['exchange']}: run {document['run']} was never finished, the answer passed for whole"


def answered(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """11, for bad input: a named 4xx with its verdict, never a hung connection or a dead process."""
    for row in log.rows_of("rude"):
        log.rows_judged["answered"] += 1
        if log.met_fault(row["at"] - MALFORMED_REQUEST_US, row["at"], row["host"]):
            continue
        if row["how"] == "reads slowly":
            if row["status"] != "200" or not row["text"].rstrip().endswith("0"):
                yield f"a requester that {row['how']} got {row['status']}: {row['text'][-40:]!r}"
        elif not row["status"].startswith("4") or '"verdict": "not_run"' not in row["text"]:
            yield f"a requester with {row['how']} got {row['status']!r}: {row['text'][-60:]!r}"
