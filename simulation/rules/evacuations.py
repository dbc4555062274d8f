"""The rules about evacuations of zones: acknowledged and applied in time, and kept through a fleet outage.

An operator evacuates a zone, so that no more requests go to its workers, and later ends the evacuation.
"""

from __future__ import annotations

import collections.abc
import typing

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    import simulation.rules.log as event_log

Complaints = collections.abc.Iterator[str]

NOT_FOR_THIS_WORKER = 421  # a worker's status for a request that names another worker


class Evacuation(typing.NamedTuple):
    """An evacuation that was acknowledged, and when the operator ordered its end."""

    zone: str
    acknowledged_at: int
    until: int


def _evacuations(log: event_log.Log) -> list[Evacuation]:
    found = []
    for answer in log.rows_by_kind["evacuation_answer"]:
        if not answer["begins"] or answer["code"] != 200:
            continue
        ends = [
            sent["at"]
            for sent in log.rows_by_kind["evacuation_sent"]
            if not sent["begins"] and sent["zone"] == answer["zone"] and sent["at"] > answer["at"]
        ]
        found.append(Evacuation(answer["zone"], answer["at"], min(ends, default=log.ended_at + 1)))
    return found


def _arrivals(log: event_log.Log, evacuation: Evacuation, begin: float) -> collections.abc.Iterator[event_log.Row]:
    """The requests that reached workers of an evacuated zone after a time, without a delay by a network cut."""
    for row in log.rows_by_kind["arrived"]:
        is_there = log.worker_zones.get(row["worker"]) == evacuation.zone and begin < row["at"] < evacuation.until
        if is_there and row["verdict"] != NOT_FOR_THIS_WORKER and not log.is_delayed_by_cut(row):
            yield row


def evac(log: event_log.Log) -> Complaints:
    """Complain of requests to workers of an evacuated zone.

    They break the rule where the evacuation was acknowledged longer ago than the bound `evacuate`, and the node that
    sent them was connected to the core.
    """
    for evacuation in _evacuations(log):
        for row in _arrivals(log, evacuation, evacuation.acknowledged_at + log.bounds["evacuate"]):
            node = log.nodes_by_host.get(row["peer"])
            if node is not None and log.is_connected_to_core(node, row["at"]):
                after_ms = (row["at"] - evacuation.acknowledged_at) // units.MILLISECOND_US
                yield (
                    f"attempt {row['attempt']} reached a worker in zone {evacuation.zone} {after_ms} ms after the "
                    f"acknowledgement of its evacuation, sent by node {node}"
                )


def evac_lost(log: event_log.Log) -> Complaints:
    """Complain of requests to a zone evacuated before a fleet outage, once the time for recovery from it is over."""
    for closing in log.rows_by_kind["closing"]:
        begin = closing["back"] + log.bounds["recovery"]
        for evacuation in _evacuations(log):
            if evacuation.acknowledged_at < closing["at"] < evacuation.until:
                count = sum(1 for _ in _arrivals(log, evacuation, begin))
                if count:
                    yield (
                        f"{count} requests reached zone {evacuation.zone} after the fleet outage, "
                        f"though it had been evacuated before"
                    )


def evac_acks(log: event_log.Log) -> Complaints:
    """Complain of orders to begin or end an evacuation that were not acknowledged in time while the core was stable."""
    answers = {answer["send"]: answer for answer in log.rows_by_kind["evacuation_answer"]}
    for sent in log.rows_by_kind["evacuation_sent"]:
        answer, due_at = answers.get(sent["send"]), int(sent["at"] + log.bounds["ack"])
        if answer is not None and answer["code"] == 200 and answer["at"] <= due_at:
            continue
        has_change = any(sent["at"] <= change <= due_at for change in log.core_changes)
        if (
            due_at <= log.ended_at
            and not has_change
            and log.is_core_stable(due_at)
            and not log.cuts.has_cut_during(sent["at"], due_at)
        ):
            code = None if answer is None else answer["code"]
            yield f"the evacuation order for zone {sent['zone']} was not acknowledged in time, the status was {code}"
