"""The rules about routes, draining workers and retry budgets, and the services to which a configuration routes.

A service is the name of a pool of workers. Each public function that takes only a log checks the rule of its name and
yields one complaint per violation.
"""

from __future__ import annotations

import bisect
import collections
import collections.abc
import typing

from iriswheel.runtime import units
from simulation import platform_names

if typing.TYPE_CHECKING:
    import simulation.rules.log as event_log

Complaints = collections.abc.Iterator[str]

TEMPORARY_CODES = (408, 421, 429)  # statuses after which a client may send the request again
TOLERATED_DENIALS, ATTEMPTS_PER_DENIAL = 5, 500  # tolerated are 5, and one more for each 500 attempts


def has_prefix(prefix: str, path: str) -> bool:
    """Whether a path begins with a route's prefix.

    >>> has_prefix("/a/", "/a/b"), has_prefix("/a/", "/ab")
    (True, False)
    """
    return path.startswith(prefix)


def services(document: dict[str, typing.Any], host: str, path: str) -> set[str | None]:
    """The services to which a configuration routes a request; None where no route matches.

    >>> names = platform_names.ROUTE
    >>> route = {names["host"]: "h", names["path"]: "/a/", names["pool"]: "p"}
    >>> document = {platform_names.CONFIGURATION["routes"]: [route]}
    >>> services(document, "h", "/a/x"), services(document, "h", "/b")
    ({'p'}, {None})
    """
    names = platform_names.ROUTE
    routes = document[platform_names.CONFIGURATION["routes"]]
    matching = [route for route in routes if route[names["host"]] == host and has_prefix(route[names["path"]], path)]
    if not matching:
        return {None}
    route = max(matching, key=lambda candidate: len(candidate[names["path"]]))
    if route.get(names["split"]):
        return {part[names["pool"]] for part in route[names["split"]] if part[names["weight"]]}
    return {route[names["pool"]]}


def services_of(sent: event_log.Row, attempt: event_log.Row) -> set[str | None]:
    """The services to which a configuration that an operator sent routes an attempt; None where no route matches."""
    return services(sent["doc"], attempt["host"], attempt["url"])


def denied(log: event_log.Log) -> Complaints:
    """Complain where nodes connected to the core refused too many valid requests with a permanent error."""
    names = [name for name, attempt in log.attempts.items() if _is_denied(log, name, attempt)]
    if len(names) > TOLERATED_DENIALS + len(log.attempts) / ATTEMPTS_PER_DENIAL:
        yield (
            f"{len(names)} valid requests were refused, "
            f"for example attempt {names[0]} with status {log.attempts[names[0]]['code']}"
        )


def _is_denied(log: event_log.Log, name: str, attempt: event_log.Row) -> bool:
    is_refused = 300 <= attempt["code"] < 500 and attempt["code"] not in TEMPORARY_CODES and not log.arrivals[name]
    return (
        is_refused
        and not attempt["direct"]
        and log.is_connected_to_core(attempt["node"], attempt["done"])
        and all(services_of(sent, attempt) != {None} for sent in log.in_force(attempt))
    )


def route(log: event_log.Log) -> Complaints:
    """Complain of runs at a service to which no configuration sent so far routes the request."""
    for row in log.rows_by_kind["run"]:
        attempt = log.attempts.get(row["attempt"])
        if attempt is None:
            continue
        earlier = (sent for sent in log.configurations if sent["sent"] <= row["at"])
        if not any(row["pool"] in services_of(sent, attempt) for sent in earlier):
            yield f"service {row['pool']} ran attempt {row['attempt']}, which no configuration routes there"


def drain(log: event_log.Log) -> Complaints:
    """Complain of requests that reached a draining or removed worker after the time limit for draining.

    The time during which a cut separated the node's zone from the platform's list of workers does not count.
    """
    listed_leaving_at: dict[str, int] = {}  # by worker: when the list first showed it as draining or gone
    for row in log.rows_by_kind["listed"]:
        if row["state"] in (platform_names.TERMS["draining"], "gone"):
            listed_leaving_at.setdefault(row["worker"], row["seen"])
    for row in log.rows_by_kind["arrived"]:
        seen_at = listed_leaving_at.get(row["worker"])
        attempt = log.attempts.get(row["attempt"])
        if row["verdict"] == 421 or seen_at is None or attempt is None or log.is_delayed_by_cut(row):
            continue
        node = attempt["node"]
        unseen = log.cuts.cut_duration(log.zones.get(node, ""), log.platform_zone, seen_at, row["at"])
        if row["at"] <= seen_at + log.bounds["drain"] + unseen:
            continue
        if log.is_connected_to_core(node, row["at"]) and not log.is_faulted(node, seen_at, row["at"]):
            after_ms = (row["at"] - seen_at) // units.MILLISECOND_US
            yield (
                f"attempt {row['attempt']} reached worker {row['worker']} {after_ms} ms after it was listed "
                f"as draining or gone"
            )


class _Arrivals:
    """When clients sent requests for a service, and when requests reached a worker again."""

    def __init__(self) -> None:
        self.firsts: list[int] = []  # when a client sent an attempt, once for each attempt
        self.repeats: list[int] = []  # arrivals of an attempt at workers after its first arrival

    def count_firsts(self, begin: int, end: int) -> int:
        """How many requests clients sent in a time span, of which both ends belong to it."""
        return bisect.bisect_right(self.firsts, end) - bisect.bisect_left(self.firsts, begin)


def budget(log: event_log.Log) -> Complaints:
    """Complain where a service got more repeated requests within a window than its retry budget allows.

    The budget depends on the number of requests in the same window, in the one that ends half a window earlier, or in
    the one that ends a whole window earlier, whichever is largest. Each service yields at most one complaint.
    """
    window = log.bounds["retry_window"]
    for pool, arrivals in sorted(_arrivals(log).items()):
        arrivals.firsts.sort()
        arrivals.repeats.sort()
        for index, at in enumerate(arrivals.repeats):
            repeats = index + 1 - bisect.bisect_left(arrivals.repeats, at - window)
            requests = max(arrivals.count_firsts(at - window - back, at - back) for back in (0, window // 2, window))
            if repeats > log.bounds["retry_ratio"] * requests + log.bounds["retry_slack"]:
                yield (
                    f"service {pool} got {repeats} repeats for {requests} requests in the window that ends at "
                    f"{at / units.SECOND_US:.1f} s"
                )
                break


def _arrivals(log: event_log.Log) -> dict[str, _Arrivals]:
    found: collections.defaultdict[str, _Arrivals] = collections.defaultdict(_Arrivals)
    for name, attempt in log.attempts.items():
        rows = sorted(log.arrivals[name], key=lambda row: row["at"])
        if not rows:  # it reached no worker, so that it counts for the services of its route
            newest = log.in_force(attempt)[-1:]
            for pool in {pool for sent in newest for pool in services_of(sent, attempt) if pool}:
                found[pool].firsts.append(attempt["sent"])
            continue
        found[rows[0]["pool"]].firsts.append(attempt["sent"])
        for row in rows[1:]:
            found[row["pool"]].repeats.append(row["at"])
    return found
