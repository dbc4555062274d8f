"""The rules about evacuations complain of an event log that breaks them, and not of a similar one that keeps them."""

from typing import Any

import pytest

from simulation import platform_rules
from tests import test_judge, test_zone_cuts

SECOND, MILLISECOND = test_judge.SECOND, test_judge.MILLISECOND
PLACED = [dict(at=0, kind="placed", worker="i-1", zone="b"), dict(at=0, kind="placed", worker="i-2", zone="a")]
Rows = list[dict[str, Any]]


def order(at: int, *, begins: bool = True, code: int = 200, after: int = 100 * MILLISECOND, zone: str = "b") -> Rows:
    """The rows of an order to begin or end an evacuation, and of its answer `after` microseconds later."""
    fields = dict(zone=zone, begins=begins, send=f"boss-order-{at}")
    return [
        dict(at=at, kind="evacuation_sent", **fields),
        dict(at=at + after, kind="evacuation_answer", code=code, **fields),
    ]


def request(at: int, verdict: int = 0, node: str = "n1", worker: str = "i-1") -> Rows:
    """The rows of a request that a node sends to a worker."""
    peer = test_zone_cuts.MACHINES[node]["host"]
    rows = test_judge.request_rows(f"a{at}", at=at, node=node, worker=worker)
    return [{**row, "peer": peer, "verdict": verdict} if row["kind"] == "arrived" else row for row in rows]


def broken(*parts: Rows) -> set[str]:
    """The names of the rules that a log with these rows breaks."""
    rows = [test_zone_cuts.BEGUN, *test_judge.BASE[1:], *PLACED, *(row for part in parts for row in part)]
    return set(platform_rules.examine(sorted([*rows, *test_judge.END], key=lambda row: row["at"])))


def test_rule_evac_finds_requests_that_reach_an_evacuated_zone_too_late() -> None:
    assert broken(order(10 * SECOND), request(15 * SECOND)) == set()
    assert broken(order(10 * SECOND), request(16 * SECOND)) == {"evac"}
    assert broken(order(10 * SECOND), request(16 * SECOND, worker="i-2")) == set()
    assert broken(order(10 * SECOND), request(16 * SECOND, verdict=421)) == set()
    assert broken(order(10 * SECOND, zone="a"), request(16 * SECOND)) == set()


def test_an_evacuation_that_was_ended_or_not_acknowledged_forbids_no_request() -> None:
    assert "evac" not in broken(order(10 * SECOND, code=0), request(16 * SECOND))
    ended = order(15 * SECOND, begins=False)
    assert broken(order(10 * SECOND), ended, request(16 * SECOND)) == set()
    assert broken(order(10 * SECOND), ended, order(20 * SECOND), request(24 * SECOND)) == set()
    assert broken(order(10 * SECOND), ended, order(20 * SECOND), request(26 * SECOND)) == {"evac"}
    assert broken(order(10 * SECOND), order(20 * SECOND, begins=False), request(16 * SECOND)) == {"evac"}


def test_rule_evac_applies_only_to_nodes_connected_to_the_core() -> None:
    late = request(20 * SECOND)
    assert broken(order(10 * SECOND), late, test_judge.inject_fault("n1", "freeze", 18 * SECOND, 19 * SECOND)) == set()
    assert broken(order(10 * SECOND), late, test_judge.inject_fault("n2", "freeze", 18 * SECOND, 19 * SECOND)) == {
        "evac"
    }
    cut = test_zone_cuts.cut_rows(test_zone_cuts.ISOLATED, 8 * SECOND, 30 * SECOND)
    assert broken(order(10 * SECOND), late, cut) == set()
    inside = request(20 * SECOND, node="n2")
    assert broken(order(10 * SECOND), inside, cut) == {"evac"}


def test_an_evacuation_is_kept_through_a_fleet_outage() -> None:
    closing = [dict(at=12 * SECOND, kind="closing", back=13 * SECOND, how="kill_all")]
    assert "evac_lost" in broken(order(10 * SECOND), closing, request(26 * SECOND))
    assert "evac_lost" not in broken(order(10 * SECOND), closing, request(24 * SECOND))
    assert "evac_lost" not in broken(order(10 * SECOND), closing, request(26 * SECOND, worker="i-2"))
    ended = order(15 * SECOND, begins=False)
    assert broken(order(10 * SECOND), closing, ended, request(26 * SECOND)) == set()
    assert "evac_lost" not in broken(order(13 * SECOND), closing, request(26 * SECOND))


@pytest.mark.parametrize("begins", [True, False])
def test_an_order_is_acknowledged_in_time_while_the_core_is_stable(begins: bool) -> None:
    assert broken(order(10 * SECOND, begins=begins, after=3 * SECOND)) == set()
    assert broken(order(10 * SECOND, begins=begins, after=5 * SECOND)) == {"evac_acks"}
    refused = order(10 * SECOND, begins=begins, code=404)
    assert broken(refused) == {"evac_acks"}
    assert broken(refused, test_judge.inject_fault("c1", "kill", 11 * SECOND, 12 * SECOND)) == set()
    assert broken(refused, test_judge.inject_fault("n1", "kill", 11 * SECOND, 12 * SECOND)) == {"evac_acks"}
    assert broken(refused, test_zone_cuts.cut_rows((("a", "x"),), 11 * SECOND, 12 * SECOND)) == set()
