"""Checkers of routing: requests go to pools of a configuration in effect, and to workers that are listed as ready."""

from __future__ import annotations

import typing

from iriswheel.runtime import units
from iriswheel.verification import event_log

if typing.TYPE_CHECKING:
    import collections.abc

# From the listing of a worker as leaving or gone until no more requests may reach it: 3 s, plus 0.5 s between two reads
# of the platform's list, plus the travel time of a request.
LISTING_DELAY_US = 3_600_000


class Observation(typing.NamedTuple):
    """The routing of one request or probe, as its client and the worker observed it."""

    at: int  # when it was sent, in µs
    done: int  # when its answer ended, in µs
    node: str  # address of the node
    zone: str  # zone of the node
    path: str  # path of the request
    attempt: event_log.AttemptKey
    no_route: bool  # whether the node answered that it knows no route


def resolve_pool(document: event_log.Document, path: str, zone: str) -> str | None:
    """The pool to which a configuration routes a path at nodes of a zone; None if no route matches.

    >>> resolve_pool({"routes": {"r": {"path": "/v1", "pool": "p", "zones": ["a"]}}}, "/v1/x", "a")
    'p'
    >>> resolve_pool({"routes": {"r": {"path": "/v1", "pool": "p", "zones": ["a"]}}}, "/v1/x", "b") is None
    True
    """
    matching = [
        route
        for route in document.get("routes", {}).values()
        if path == route["path"] or path.startswith(route["path"].rstrip("/") + "/")
    ]
    matching = [route for route in matching if not route.get("zones") or zone in route["zones"]]
    if not matching:
        return None
    best = max(matching, key=lambda route: (len(route["path"]), bool(route.get("zones"))))
    pool: str = best["pool"]
    return pool


def leaving(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """4: no request reaches a worker more than about 3 s after the platform listed it as leaving or gone."""
    for row in log.rows_of("run"):
        state, since = log.listed_state(row["worker"], row["at"])
        log.rows_judged["leaving"] += any(listed["state"] != "ready" for listed in log.listed.get(row["worker"], []))
        if state != "ready" and row["at"] - since > LISTING_DELAY_US:
            late_s = (row["at"] - since) / units.SECOND_US
            yield f"{row['worker']} got {row['exchange']} {late_s:.1f} s after it was listed as {state}"


def observations(log: event_log.EventLog) -> collections.abc.Iterator[Observation]:
    """The routing of all probes, and of all requests at nodes whose zone is known."""
    for row in log.rows_of("probe"):
        yield Observation(
            row["at"], row["done"], row["node"], row["zone"], row["path"], (row["exchange"], 0), row["status"] == 404
        )
    for kind in ("whole", "torn", "refused"):
        for row in log.rows_of(kind):
            attempt = event_log.attempt_key(row)
            sent = log.sent.get(attempt)
            if sent is not None and sent.get("node") in log.node_zones:
                node = sent["node"]
                no_route = row.get("code") == "no_route"
                yield Observation(sent["at"], row["at"], node, log.node_zones[node], sent["path"], attempt, no_route)


def in_force(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """5: a change is in effect at all nodes within 2 s of its acknowledgement, and is never undone.

    The pool of each probe and request, or the answer that there is no route, must match a configuration that could be
    in effect at that node at the time: one that was not replaced more than 2 s before.
    """
    for seen in observations(log):
        run = log.runs.get(seen.attempt)
        if seen.no_route:
            pool, until = None, seen.done
        elif run is not None:
            pool = log.worker_pools.get(run["worker"])
            routed_at = run["at"] - event_log.ROUTING_TO_RUN_MAX_US
            until = routed_at if routed_at > seen.at else run["at"]
        else:
            continue
        log.rows_judged["in_force"] += 1
        allowed_pools = {
            resolve_pool(document, seen.path, seen.zone) for document in log.configurations_between(seen.at, until)
        }
        if pool not in allowed_pools:
            yield (
                f"{seen.node} sent {seen.path} to {pool} at {seen.at / units.SECOND_US:.1f} s; "
                f"the configurations that could be in force allow {sorted(map(str, allowed_pools))}"
            )


def allowed(log: event_log.EventLog) -> collections.abc.Iterator[str]:
    """7: no request goes to a pool unless a configuration in effect routes its path there."""
    zones = set(log.node_zones.values()) or {""}
    for row in log.rows_of("run"):
        sent = log.attempts_and_probes.get(event_log.attempt_key(row))
        delayed = any(
            fault.target == row["worker"] and fault.overlaps(row["at"] - units.SECOND_US, row["at"], units.SECOND_US)
            for fault in log.faults
        )
        # A worker that was frozen or cut off may run a request long after the request was routed.
        since = sent["at"] if sent is not None and delayed else row["at"] - event_log.ROUTING_TO_RUN_MAX_US
        documents = log.configurations_between(since, row["at"])
        log.rows_judged["allowed"] += 1
        pool = log.worker_pools.get(row["worker"])
        if pool not in {resolve_pool(document, row["path"], zone) for document in documents for zone in zones}:
            yield f"{row['exchange']} on {row['path']} went to pool {pool} at {row['at'] / units.SECOND_US:.1f} s"
