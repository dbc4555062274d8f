"""Checkers of single requests: non-idempotent ones run at most once, and answers are correct and complete."""

from __future__ import annotations

import collections
import json
import typing

from iriswheel.verification import event_log

if typing.TYPE_CHECKING:
    import collections.abc

MALFORMED_REQUEST_US = 6_000_000  # at most, from sending a malformed request to its end
STREAM_END = "data: [DONE]"  # last event of a complete answer
EVENT_PREFIX = "data: "


def answer_events(text: str) -> list[dict[str, typing.Any]] | None:
    r"""Parse the events of an answer; None if one is missing, repeated or out of order.

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
    """1: a non-idempotent request runs at most once; no answer has missing, repeated or mixed events."""
    runs = collections.Counter(row["exchange"] for row in log.rows_of("run") if row["exchange"])
    log.rows_judged["once"] += sum(1 for identifier in runs if log.idempotent.get(identifier) is False)
    for identifier, count in sorted(runs.items()):
        if count > 1 and log.idempotent.get(identifier) is False:
            yield f"{identifier} may not be repeated and ran {count} times"
    for row in log.rows_of("whole"):
        documents = answer_events(row["text"])
        if documents is None:
            yield f"{row['exchange']}: an event of the answer is missing or repeated"
            continue
        sources = {document["run"] for document in documents}
        if len(sources) != 1:
            yield f"{row['exchange']}: the answer mixes events of the runs {sorted(sources)}"


def not_run(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """2: an attempt that was refused with the verdict "not_run" never runs, neither before the refusal nor later."""
    for row in log.rows_of("refused"):
        log.rows_judged["not_run"] += row["verdict"] == "not_run"
        if row["verdict"] == "not_run" and event_log.attempt_key(row) in log.runs:
            yield f"{row['exchange']} send {row['send']} was refused as not run, and ran"


def own(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """3: a complete answer is the full output of one run of this request, on the worker that the answer names."""
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
                yield f"{row['exchange']}: run {document['run']} never finished, but the answer was taken for complete"


def answered(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """11, for malformed requests: a 4xx answer with the verdict "not_run", never a hung connection or a crash.

    A client that only reads slowly must get its complete answer.
    """
    for row in log.rows_of("rude"):
        log.rows_judged["answered"] += 1
        if log.met_fault(row["at"] - MALFORMED_REQUEST_US, row["at"], row["host"]):
            continue
        if row["how"] == "reads slowly":
            if row["status"] != "200" or not row["text"].rstrip().endswith("0"):
                yield f"a client that {row['how']} got {row['status']}: {row['text'][-40:]!r}"
        elif not row["status"].startswith("4") or '"verdict": "not_run"' not in row["text"]:
            yield f"a client that sent {row['how']} got {row['status']!r}: {row['text'][-60:]!r}"
