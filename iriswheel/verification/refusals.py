"""Whether an event log supports the reason that the code of a refusal gives."""

from __future__ import annotations

import collections.abc
import typing

from iriswheel.verification import event_log, retry_checks, routing_checks, session_checks

CERTAIN_RETRY_SHARE = 0.15  # so few repeats exceed no node's budget


class Refusal(typing.NamedTuple):
    """A refused request, with what the checks of its reason need.

    Attributes:
        row: The row of the refusal.
        sent: The row of the attempt.
        documents: The configurations in force between the two.
        pools: The pools to which these send the request.
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
        """When it was refused."""
        at: int = self.row["at"]
        return at

    @property
    def attempt(self) -> event_log.AttemptKey:
        """The attempt that was refused."""
        return event_log.attempt_key(self.row)


Check = collections.abc.Callable[[event_log.EventLog, Refusal], str | None]


def contradiction(log: event_log.EventLog, row: event_log.Row, sent: event_log.Row) -> str | None:
    """What speaks against the reason of a refusal, or None where the log supports it.

    Args:
        log: The log.
        row: The row of the refusal.
        sent: The row of the attempt.
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
    return "no reason for it stands in the log" if check is None else check(log, refusal)


def already_sent(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Reason: an earlier attempt reached a worker, or may have."""
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
    return "it reached no worker"


def retry_budget(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Reason: there were too many retries, or a node that counted them was lost."""
    until = refusal.until
    grace_us = retry_checks.WINDOW_US + event_log.ROLE_FAULT_US
    if any(fault.assignment and fault.at <= until <= fault.at + grace_us for fault in log.faults):
        return None  # the count of the lost node is lost with it
    repeats, requests = retry_checks.demand(log, until)
    if refusal.row["send"] > 1 and repeats + 1 <= CERTAIN_RETRY_SHARE * requests:
        return f"{repeats} repeats for {requests} exchanges"
    return None


def sessions_full(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Reason: no worker may take one more session."""
    slack_us = session_checks.ENDED_SESSION_COUNTED_US + session_checks.LIFETIME_SLACK_US
    for pool in refusal.pools:
        cap = min(session_checks.session_caps(refusal.documents, pool), default=0)
        held = session_checks.open_conversations(log, refusal.until, slack_us)
        counts = {worker: len(held.get(worker, ())) for worker in log.ready_workers(pool, refusal.since, refusal.until)}
        free = [worker for worker, count in counts.items() if count < cap]
        if sum(cap - counts[worker] for worker in free) > session_checks.conversations_being_opened(log, refusal.until):
            return f"{free[0]} holds {counts[free[0]]} conversations"
    return None


def no_worker(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Reason: no worker of the pool was ready."""
    ready = [worker for pool in refusal.pools for worker in log.ready_workers(pool, refusal.since, refusal.until)]
    return f"{ready[0]} was ready" if ready else None


def busy(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Reason: all slots of the pool's workers were taken."""
    long = refusal.sent["sort"] == "long"
    full = any(
        log.is_crowded(pool, refusal.since, refusal.until, long, refusal.documents) for pool in refusal.pools if pool
    )
    return None if full else "seats were free"


def worker_broke(log: event_log.EventLog, refusal: Refusal) -> str | None:
    """Reason: the worker that ran it, or an unknown one, was at fault."""
    since, until = refusal.since, refusal.until
    worker = log.runs.get(refusal.attempt, {}).get("worker")
    if worker is None:
        lost = any(fault.role == "worker" and fault.overlaps(since, until) for fault in log.faults)
        return None if lost else f"{worker} was well"
    return None if log.met_fault(since, until, worker=worker) else f"{worker} was well"


# What the log must show for a refusal with a code, where neither the node nor the worker was at fault.
CHECKS: dict[str, Check] = {
    "retry_budget": retry_budget,
    "sessions_full": sessions_full,
    "no_worker": no_worker,
    "busy": busy,
    "worker_broke": worker_broke,
}
