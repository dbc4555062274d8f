"""The rules about configurations: acknowledged in time, applied in time, never reverted, and read back as sent.

Each public function that takes only a log checks the rule of its name and yields one complaint per violation.
"""

from __future__ import annotations

import collections
import collections.abc
import json
import typing

import simulation.rules.log as event_log
from iriswheel.runtime import units
from iriswheel.verification import history
from simulation import platform_names
from simulation.rules import routing

Complaints = collections.abc.Iterator[str]
Document = dict[str, typing.Any]

ACK_PER_ROUTE_US = 3 * units.MILLISECOND_US  # added to the bound `ack` for each route of the configuration
REVERT_FACTOR_OF_FAULTED = 8  # factor on the bound `revert` for a node that had a fault in the contact time before


class ObservedVersion(typing.NamedTuple):
    """When an attempt at a node ended, and the oldest configuration version by which the node may have handled it."""

    at: int
    version: int


def config(log: event_log.Log) -> Complaints:
    """Complain of configurations that were wrongly acknowledged, applied or read back.

    A configuration is wrongly applied where a node applies it late, goes back to an older one, or applies one that was
    refused.
    """
    yield from _wrongly_acknowledged(log)
    yield from _wrongly_applied(log)
    yield from _wrongly_read_back(log)


def _wrongly_acknowledged(log: event_log.Log) -> Complaints:
    for sent in log.acknowledged:
        if not sent["valid"]:
            yield f"version {sent['version']} is invalid, but was acknowledged"
    for base in {sent["base"] for sent in log.acknowledged}:
        rivals = {json.dumps(sent["doc"], sort_keys=True) for sent in log.acknowledged if sent["base"] == base}
        if len(rivals) > 1:
            yield f"{len(rivals)} different configurations based on version {base} were acknowledged"


def observed_service(log: event_log.Log, attempt: event_log.Row) -> str | None:
    """The service that the node chose for an attempt: None where it answered 404 itself, "" where that is unknown."""
    pools: list[str] = [row["pool"] for row in log.arrivals[attempt["attempt"]] if not row["verdict"]]
    if pools:
        return pools[0]
    return None if attempt["code"] == 404 and attempt["how"] == "whole" else ""


def _wrongly_applied(log: event_log.Log) -> Complaints:
    refused = [
        sent
        for sent in log.configurations
        if sent["code"] not in event_log.POSSIBLY_IN_FORCE_CODES or not sent["valid"]
    ]
    possible = log.possibly_in_force()
    observed: collections.defaultdict[str, list[ObservedVersion]] = collections.defaultdict(list)
    for attempt in sorted(log.attempts.values(), key=lambda row: row["sent"]):
        service = observed_service(log, attempt)
        if service == "":
            continue
        matching = _matching(possible, attempt, service)
        if not matching:
            if _matching(refused, attempt, service):
                yield f"attempt {attempt['attempt']} was handled as only a refused or invalid configuration allows"
            continue
        newest = max(sent["version"] for sent in matching)
        yield from _late(log, attempt, newest)
        yield from _reverted(log, attempt, newest, observed[attempt["node"]])
        if service is not None:
            oldest = min(sent["version"] for sent in matching)
            observed[attempt["node"]].append(ObservedVersion(attempt["done"], oldest))


def _matching(configurations: event_log.Rows, attempt: event_log.Row, service: str | None) -> event_log.Rows:
    """Those configurations that were sent before the end of an attempt and route it to a service."""
    return [
        sent
        for sent in configurations
        if sent["sent"] <= attempt["done"] and service in routing.services_of(sent, attempt)
    ]


def _late(log: event_log.Log, attempt: event_log.Row, newest: int) -> Complaints:
    required_version = max(log.versions_in_force(attempt["sent"]), default=newest)
    if newest < required_version and log.is_connected_to_core(attempt["node"], attempt["done"]):
        yield (
            f"attempt {attempt['attempt']} at node {attempt['node']} was handled by version {newest} or older, "
            f"though the node must have applied version {required_version}"
        )


def _reverted(log: event_log.Log, attempt: event_log.Row, newest: int, observed: list[ObservedVersion]) -> Complaints:
    node, sent_at = attempt["node"], attempt["sent"]
    repaired_at = max((fault.end for fault in log.faults[node] if fault.end <= sent_at), default=-1)
    is_faulted = log.is_faulted(node, sent_at - log.bounds["contact"], sent_at)
    slack = log.bounds["revert"] * (REVERT_FACTOR_OF_FAULTED if is_faulted else 1)
    versions = (seen.version for seen in observed if repaired_at < seen.at and seen.at + slack < sent_at)
    floor = max(versions, default=0)
    if newest < floor:
        yield (f"attempt {attempt['attempt']}: node {node} went back from version {floor} to version {newest} or older")


def _wrongly_read_back(log: event_log.Log) -> Complaints:
    if not log.acknowledged or not log.rows_by_kind["ended"]:
        return
    newest = max(sent["version"] for sent in log.acknowledged)
    reads = log.rows_by_kind["config_read"]
    if not reads or reads[-1]["doc"] is None:
        yield "the configuration could not be read back at the end of the run"
        return
    document = reads[-1]["doc"]
    version = document.get(platform_names.CONFIGURATION["version"])
    matching = [sent for sent in log.configurations if sent["version"] == version and sent["valid"]]
    if version < newest:
        yield f"version {version} was read back, though version {newest} had been acknowledged"
    elif not any(is_equivalent(document, sent["doc"]) for sent in matching):
        yield f"version {version} was read back with another content than was sent"


def is_equivalent(document: Document, other: Document) -> bool:
    """Whether two configurations are the same but for the order of the items in their lists.

    >>> is_equivalent({"routes": [{"name": "a"}, {"name": "b"}]}, {"routes": [{"name": "b"}, {"name": "a"}]})
    True
    """
    return _with_sorted_items(document) == _with_sorted_items(other)


def _with_sorted_items(document: Document) -> Document:
    return {
        key: sorted(value, key=lambda item: json.dumps(item, sort_keys=True)) if isinstance(value, list) else value
        for key, value in document.items()
    }


def acks(log: event_log.Log) -> Complaints:
    """Complain of valid configurations that were not acknowledged in time although the core was stable."""
    for sent in log.possibly_in_force():
        routes = len(sent["doc"][platform_names.CONFIGURATION["routes"]])
        bound = log.bounds["ack"] + ACK_PER_ROUTE_US * routes
        answered_at: int = sent["answered"] if sent["answered"] is not None else log.ended_at
        # "acknowledged" is the time of the first acknowledgement, where that was lost on its way to the operator.
        end: int = sent.get("acknowledged", answered_at)
        begin = max([sent["sent"], log.started_at, *(change for change in log.core_changes if change < end)])
        if end - begin > bound and log.is_core_stable(end) and not log.cuts.has_cut_during(begin, end):
            yield (
                f"version {sent['version']} was not acknowledged for {(end - begin) // units.MILLISECOND_US} ms, "
                f"though the core was stable"
            )


def linearizable(log: event_log.Log) -> Complaints:
    """Complain of operators' calls and reads whose results no sequential order of them explains."""
    yield from history.complaints(log.rows)
