"""Checkers of sessions: a conversation stays on its worker, and no worker holds more sessions than allowed."""

from __future__ import annotations

import collections
import itertools
import typing

from iriswheel.runtime import units
from iriswheel.verification import event_log

if typing.TYPE_CHECKING:
    import collections.abc

LIFETIME_SLACK_US = 2_000_000  # tolerance for clocks and message delays at the end of a session's lifetime
ENDED_SESSION_COUNTED_US = 5_000_000  # from the end of a session until the fleet stops counting it
DEFAULT_LIFETIME_US = 60_000_000  # lifetime of a session, if its terms in the configuration give none
DEFAULT_CAP = 10  # open sessions on a worker, if the pool gives no limit
SESSION_STORED_US = 1_000_000  # from the first turn of a session until a core has stored it on disk
REPLICAS = 3  # nodes that hold a session from its first turn on


def terms_values(log: event_log.EventLog, field: str, default: int, since: int, until: int) -> list[int]:
    """The values of a field of session terms, in the configurations in effect in a span of time, in ascending order.

    >>> terms_values(event_log.EventLog([]), "lifetime_us", 60, 0, 5)
    [60]
    """
    values = {
        terms.get(field, default)
        for document in log.configurations_between(since, until)
        for terms in document.get("terms", {}).values()
    }
    return sorted(values) or [default]


def lifetimes(log: event_log.EventLog, since: int, until: int) -> list[int]:
    """The lifetimes in microseconds that sessions may have in a span of time, in ascending order.

    >>> lifetimes(event_log.EventLog([]), 0, 5)
    [60000000]
    """
    return terms_values(log, "lifetime_us", DEFAULT_LIFETIME_US, since, until)


def pinned(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """8, first half: a conversation stays on its worker while the worker is ready.

    Three nodes know a conversation from its first turn on, and a core stores it on disk within a second. A conversation
    that is younger than a second may therefore be lost if three or more processes end at once.
    """
    process_ends = [
        fault.at for fault in log.faults if fault.what.split()[0] in ("kill", "power") and fault.role != "worker"
    ]
    for name, runs in sorted(log.conversations.items(), key=str):
        for earlier, later in itertools.pairwise(runs):
            lifetime_us = lifetimes(log, earlier["at"], later["at"])[0]
            if later["at"] - earlier["at"] > lifetime_us - LIFETIME_SLACK_US:
                continue
            log.rows_judged["pinned"] += 1
            if earlier["worker"] == later["worker"] or may_move(log, earlier, later["at"], process_ends):
                continue
            yield (
                f"conversation {name.parts[-1]} moved from {earlier['worker']} to {later['worker']} "
                f"at {later['at'] / units.SECOND_US:.1f} s"
            )


def may_move(log: event_log.EventLog, run: event_log.Row, until: int, process_ends: list[int]) -> bool:
    """Whether a conversation may move to another worker after a run.

    Args:
        log: The log of the run.
        run: The row of the earlier run.
        until: When the conversation ran on another worker.
        process_ends: When processes of the fleet were killed.
    """
    worker, since = run["worker"], run["at"]
    if any(since - units.SECOND_US <= row["at"] <= until for row in log.listed[worker]):
        return True
    if sum(since <= end <= since + SESSION_STORED_US for end in process_ends) >= REPLICAS:
        return True
    if log.listed_state(worker, since).state != "ready":
        return True
    return any(fault.target == worker and fault.overlaps(since, until, units.SECOND_US) for fault in log.faults)


def open_conversations(log: event_log.EventLog, at: int, slack_us: int) -> dict[str, set[event_log.Conversation]]:
    """The conversations that may be open at a time, by worker: those whose last turn is within their lifetime.

    Args:
        log: The log of the run.
        at: The time.
        slack_us: Added to the lifetimes. If negative, only conversations that are certainly open are counted.

    >>> open_conversations(event_log.EventLog([]), 5, 0)
    {}
    """
    open_by_worker: collections.defaultdict[str, set[event_log.Conversation]] = collections.defaultdict(set)
    for name, runs in log.conversations.items():
        last = next((run for run in reversed(runs) if run["at"] <= at), None)
        if last is not None and may_be_open(log, last, at, slack_us):
            open_by_worker[last["worker"]].add(name)
    return dict(open_by_worker)


def may_be_open(log: event_log.EventLog, run: event_log.Row, at: int, slack_us: int) -> bool:
    """Whether `open_conversations` counts the conversation whose last run is `run` as open at a time."""
    certain = slack_us < 0
    worker = run["worker"]
    known_lifetimes = lifetimes(log, run["at"], at)
    last_at: int = run["at"]
    quiet_us = at - min(at, log.run_ends.get(run["run"], last_at))
    if quiet_us > (known_lifetimes[0] if certain else known_lifetimes[-1]) + slack_us:
        return False
    if any(run["at"] < row["at"] <= at and row["state"] != "ready" for row in log.listed[worker]):
        return False
    return not (certain and any(fault.target == worker and fault.overlaps(run["at"], at) for fault in log.faults))


def conversations_being_opened(log: event_log.EventLog, at: int) -> int:
    """The number of conversations without a run so far that are being opened or that a failed node may have opened.

    >>> conversations_being_opened(event_log.EventLog([]), 5)
    0
    """
    ran = {event_log.attempt_key(row) for row in log.rows_of("run") if row["at"] <= at}
    ends = {
        event_log.attempt_key(row): row["at"]
        for kind in ("lost", "torn", "refused", "whole")
        for row in log.rows_of(kind)
    }
    return len(
        {
            tuple(sent["parts"])
            for attempt, sent in log.sent.items()
            if len(sent["parts"]) > 1
            and attempt not in ran
            and sent["at"] < at
            and (ends.get(attempt, event_log.NEVER) > at or log.met_fault(sent["at"], ends[attempt], sent.get("node")))
        }
    )


def capped(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """9: no worker holds more open conversations than allowed; a worker that left or crashed holds none.

    The check is made only when a conversation opens, since a lowered limit closes no open conversation.
    """
    for name, runs in sorted(log.conversations.items(), key=str):
        for before, run in zip([None, *runs], runs, strict=False):
            if before is not None and not may_open(log, before, run):
                continue
            documents = log.configurations_between(run["at"] - event_log.ROUTING_TO_RUN_MAX_US, run["at"])
            caps = session_caps(documents, name.pool)
            if not caps or 0 in caps:  # a cap of 0 stands for no limit
                continue
            log.rows_judged["capped"] += 1
            count = len(open_conversations(log, run["at"], -LIFETIME_SLACK_US).get(run["worker"], ()))
            if count > max(caps):
                at_s = run["at"] / units.SECOND_US
                yield f"{run['worker']} holds {count} open conversations at {at_s:.1f} s, {max(caps)} are allowed"


def may_open(log: event_log.EventLog, before: event_log.Row, run: event_log.Row) -> bool:
    """Whether a run may open its conversation again: on another worker than the run before, or after its lifetime."""
    if before["worker"] != run["worker"]:
        return True
    quiet_us: int = run["at"] - before["at"]
    if quiet_us <= units.SECOND_US:
        return False
    lifetime_us = lifetimes(log, before["at"], run["at"])[-1]
    return quiet_us >= lifetime_us + ENDED_SESSION_COUNTED_US


def session_caps(documents: list[event_log.Document], pool: str | None) -> list[int]:
    """The limits on a worker's open sessions in those configurations that contain the pool.

    >>> session_caps([{"pools": {"p": {"cap": 3}}}, {"pools": {}}], "p")
    [3]
    """
    return [document["pools"][pool].get("cap", DEFAULT_CAP) for document in documents if pool in document["pools"]]
