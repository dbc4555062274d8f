"""Checks whether an event log supports the reason that the error code of a refusal gives."""

from __future__ import annotations

import collections.abc
import typing

from iriswheel.verification import event_log, retry_checks, routing_checks, session_checks

RETRY_SHARE_WITHIN_BUDGET = 0.15  # retries per request up to which no node can have exceeded its retry budget


class Refusal(typing.NamedTuple):
    """A refused attempt, with the data that the checks of its reason need.

    Attributes:
        row: The row of the refusal.
        sent: The row of the sending of the attempt.
        documents: The configurations in effect between the two.
        pools: The pools to which these configurations route the request; None stands for no route.
    """

    row: event_log.Row
    sent: event_log.Row
    documents: list[event_log.Document]
    pools: set[str | None]

    @property
    def since(self) -> int:
        """When the attempt was sent."""
        at: int = self.sent["at"]
        return at

    @property
    def until(self) -> int:
        """When the attempt was refused."""
        at: int = self.row["at"]
        return at

    @property
    def attempt(self) -> event_log.AttemptKey:
        """The attempt that was refused."""
        return event_log.attempt_key(self.row)


Check = collections.abc.Callable[[event_log.EventLog, Refusal], str | None]


def contradiction(log: event_log.EventLog, row: event_log.Row, sent: event_log.Row) -> str | None:
    """What in the log contradicts the reason of a refusal, as the end of a complaint; None if the log supports it.

    Args:
        log: The log of the run.
        row: The row of the refusal.
        sent: The row of the sending of the attempt.
    """
    documents = log.configurations_between(sent["at"], row["at"])
    zone = log.node_zones.get(sent.get("node", ""), "")
    pools = {routing_checks.resolve_pool(document, sent["path"], zone) for document in documents}
    refusal = Refusal(row, sent, documents, pools)
    match row["code"]:
        case "no_route":
            return None  # the checker in_force judges it
        case "already_sent":
            return already_sent(log, refusal)
    worker = log.runs.get(refusal.attempt, {}).get("worker")
    if log.met_fault(refusal.since, refusal.until, sent.get("node"), worker):
        return None
    check = CHECKS.get(row["code"])
    return "the log shows no fault that explains it" if check is None else check(log, refusal)


def already_sent(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Check the reason that an earlier attempt of the request reached a worker, or may have reached one."""
    request = refusal.row["exchange"]
    if any(run["exchange"] == request for run in log.rows_of("run")):
        return None
    earlier = [
        sent
        for (identifier, number), sent in log.sent.items()
        if identifier == request and number < refusal.row["send"]
    ]
    if any(log.met_fault(sent["at"], refusal.since, sent.get("node")) for sent in earlier):
        return None
    return "no earlier attempt reached a worker"


def retry_budget(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Check the reason that there were too many retries, or that a node which counted them was lost."""
    until = refusal.until
    grace_us = retry_checks.WINDOW_US + event_log.ROLE_FAULT_US
    if any(fault.assignment and fault.at <= until <= fault.at + grace_us for fault in log.faults):
        return None  # the lost node's counts of requests are lost with it
    repeats, requests = retry_checks.demand(log, until)
    if refusal.row["send"] > 1 and repeats + 1 <= RETRY_SHARE_WITHIN_BUDGET * requests:
        return f"there were only {repeats} repeats for {requests} exchanges"
    return None


def sessions_full(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Check the reason that every worker of the pool has as many sessions as allowed."""
    slack_us = session_checks.ENDED_SESSION_COUNTED_US + session_checks.LIFETIME_SLACK_US
    for pool in refusal.pools:
        cap = min(session_checks.session_caps(refusal.documents, pool), default=0)
        held = session_checks.open_conversations(log, refusal.until, slack_us)
        counts = {worker: len(held.get(worker, ())) for worker in log.ready_workers(pool, refusal.since, refusal.until)}
        free = [worker for worker, count in counts.items() if count < cap]
        if sum(cap - counts[worker] for worker in free) > session_checks.conversations_being_opened(log, refusal.until):
            return f"{free[0]} held only {counts[free[0]]} conversations"
    return None


def no_worker(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Check the reason that no worker of the pool was ready."""
    ready = [worker for pool in refusal.pools for worker in log.ready_workers(pool, refusal.since, refusal.until)]
    return f"{ready[0]} was ready" if ready else None


def busy(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Check the reason that all slots of the pool's workers were in use."""
    long = refusal.sent["sort"] == "long"
    full = any(
        log.is_crowded(pool, refusal.since, refusal.until, long, refusal.documents) for pool in refusal.pools if pool
    )
    return None if full else "slots were free"


def worker_broke(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Check the reason that the worker which ran the attempt was at fault; any worker, if the log has no run."""
    since, until = refusal.since, refusal.until
    worker = log.runs.get(refusal.attempt, {}).get("worker")
    if worker is None:
        lost = any(fault.role == "worker" and fault.overlaps(since, until) for fault in log.faults)
        return None if lost else f"{worker} was not at fault"
    return None if log.met_fault(since, until, worker=worker) else f"{worker} was not at fault"


# The check of each error code, for refusals whose node and worker were not at fault.
CHECKS: dict[str, Check] = {
    "retry_budget": retry_budget,
    "sessions_full": sessions_full,
    "no_worker": no_worker,
    "busy": busy,
    "worker_broke": worker_broke,
}
