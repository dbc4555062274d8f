"""The capacity measurements at small sizes; byte counts are deterministic and must equal those in docs/CAPACITY.md."""

import contextlib
import io
import pathlib
import re
from collections.abc import Callable
from typing import Any

import pytest

from benchmarks.capacity import (
    fleet_costs,
    hollow_fleet,
    loss_costs,
    membership_costs,
    node_costs,
    pool_owner_costs,
    target_costs,
)
from iriswheel.transport import wire
from simulation import simulated_cluster

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "CAPACITY.md"


def rows(text: str) -> dict[tuple[str, str], tuple[float, str]]:
    """Parse a printed table: (line, what it grows with) -> (slope, unit).

    >>> rows("| a | members | 73.1 B | 73.1 to 73.1 | 2,390 | 1.000 | 8 (3,030) |")
    {('a', 'members'): (73.1, 'B')}
    """
    found = re.findall(r"^\| ([^|]+) \| ([^|]+) \| ([-0-9.,e]+) ([A-Za-z/]+) \|", text, re.M)
    return {(line, by): (float(slope.replace(",", "")), unit) for line, by, slope, unit in found}


class StubValues:
    """Measured values that are the same for every line: the same slope, and the same value at any size."""

    def slope(self, _name: str, _line: str, _by: str) -> float:
        return 2.0

    def at(self, _name: str, _line: str, _by: str, _size: int) -> float:
        return 1000.0

    def all_at_once(self, name: str) -> dict[str, float] | None:
        parts = ("loops", "step", "in", "out", "in_bytes", "out_bytes")
        return {f"node: {part}": 3.0 for part in parts} if name == "fleetnode" else None


def test_the_target_table_is_computed_from_any_values() -> None:
    table = target_costs.TargetTable(StubValues(), fresh_process_bytes=lambda: 50e6)
    rows = table.build()
    assert len(rows) == 31
    sessions = next(row for row in rows if "memory: sessions " in row)
    assert "0.00541 MB" in sessions  # 2 bytes x 1,000,000 sessions / 370 nodes
    assert any("3.0 messages" in row or "3 messages" in row for row in rows)


class TestSlopes:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.page = rows(PAGE.read_text())

    def measured_rows(
        self, measure: Callable[..., None], **more: int | list[int]
    ) -> dict[tuple[str, str], tuple[float, str]]:
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            measure(**more)
        return rows(out.getvalue())

    def assert_bytes_match_page(self, measured: dict[tuple[str, str], tuple[float, str]], rel: float) -> None:
        """Every measured line must be on the page; byte slopes, except of memory, must agree within `rel`."""
        assert measured
        for key, (slope, unit) in measured.items():
            assert key in self.page
            if unit == "B" and "held" not in key[0] and "memory" not in key[0]:
                assert abs(slope - self.page[key][0]) <= rel * abs(slope), f"{key}: {slope}, {self.page[key]}"

    def test_memberships_and_worker_lists_are_as_long_as_the_page_says(self) -> None:
        self.assert_bytes_match_page(
            self.measured_rows(membership_costs.lists, sizes=[8, 32], listed=[36, 260], pools=[1, 8], repeats=1), 0.05
        )

    def test_a_tail_heartbeat_is_as_long_as_the_page_says(self) -> None:
        self.assert_bytes_match_page(
            self.measured_rows(membership_costs.tail, sizes=[8, 32], pools=[1], repeats=1), 0.05
        )

    def test_session_records_are_as_long_as_the_page_says(self) -> None:
        self.assert_bytes_match_page(self.measured_rows(pool_owner_costs.records, sizes=[1000, 2000], repeats=1), 0.05)

    def test_selections_and_prefixes_run(self) -> None:
        self.assert_bytes_match_page(
            self.measured_rows(pool_owner_costs.selections, listed=[9, 18], sizes=[100, 1000], repeats=1), 0.05
        )
        self.assert_bytes_match_page(
            self.measured_rows(pool_owner_costs.prefixes, sizes=[2600, 26_000], repeats=1), 0.05
        )

    def test_configurations_are_as_long_as_the_page_says(self) -> None:
        self.assert_bytes_match_page(self.measured_rows(node_costs.routes, sizes=[500, 2000], repeats=1), 0.1)


class TestHollowFleet:
    def started_fleet(self, **more: Any) -> hollow_fleet.Fleet:  # noqa: ANN401 - options of Fleet
        fleet = hollow_fleet.Fleet(1, routes=10, **more)
        fleet.begin()
        fleet.advance(2)
        return fleet

    def test_a_complete_worker_list_goes_to_every_node_only_when_it_changes(self) -> None:
        appended: dict[int, list[float]] = {}
        for listed in (9, 90):
            fleet = self.started_fleet(nodes=6, listed=listed)
            quiet = fleet.by_role(fleet.meter_for(4))
            fleet.platform.put("w1", state="leaving")
            more = fleet.by_role(fleet.meter_for(4))
            appended[listed] = [
                4 * (more[r][way] - quiet[r][way]) for r, way in (("node", "in_bytes"), ("lister", "out_bytes"))
            ] + [quiet["node"]["in_bytes"]]
            appended[listed].append(len(wire.encoder.encode(fleet.nodes["n1"].follower.workers)))
            assert 0 < quiet["node"]["loops"] < quiet["warden"]["loops"]
        node, lister, idle, size = (more - few for few, more in zip(appended[9], appended[90], strict=True))
        assert abs(idle) < 0.02 * size, (
            idle
        )  # B/s that 81 more workers add in an idle fleet; not exactly 0, since heartbeats near the span's ends vary
        assert abs(node - 2 * size) < 0.05 * size, (
            node / size
        )  # the workers are sent once in a list and once in a membership
        # The list goes to the five other nodes. A core machine gets it twice a second anyway, so that the second span
        # may contain one more of these messages.
        assert 4.95 * size < lister < 6.05 * size, lister / size

    def test_a_restarted_node_is_announced_to_each_node_once(self) -> None:
        measured = loss_costs.measure_event(hollow_fleet.Fleet(1, 6, 36, 1, 10, walking=False), "restart")
        assert 0 < measured.ms < 1000, measured
        assert 6 * measured.membership_bytes <= measured.core_to_node < 7.5 * measured.membership_bytes, measured

    def test_without_the_tail_no_node_sends_another_the_membership_that_it_has(self) -> None:
        measured = loss_costs.measure_event(hollow_fleet.Fleet(1, 6, 36, 1, 10, walking=False), "tail")
        assert 0 < measured.ms < 5000, measured
        assert measured.node_to_node < 6 * 5 * measured.membership_bytes / 4, measured

    def test_load_reports_are_sent_and_counted(self) -> None:
        fleet = hollow_fleet.Fleet(1, 4, 9, 2, 10, walking=False, election="node")
        fleet.begin()
        fleet.advance(2)
        quiet = fleet.by_role(fleet.meter_for(2))
        fleet.start_hollow_load(8.1, 2)
        fleet.advance(1)
        busy = fleet.by_role(fleet.meter_for(2))
        assert busy["node"]["out_bytes"] > quiet["node"]["out_bytes"] + 100, (quiet, busy)
        others = fleet.nodes["n1"].gateway.forwarder.placement_of("model-0").remote_loads
        assert others
        assert set(others) <= set(fleet.workers), others

    def test_a_hollow_request_is_unread_until_its_first_event_and_running_until_its_end(self) -> None:
        fleet = self.started_fleet(nodes=4, listed=9, election="node")
        node = fleet.nodes["n1"]
        estimates = node.gateway.forwarder.placement_of("model-0").estimates
        node.runtime.spawn(fleet.run_hollow_request(node, 0.5), simulated_cluster.log)

        def counted() -> tuple[int, bool]:
            return sum(e.running for e in estimates.values()), any(e.unread_tokens for e in estimates.values())

        fleet.advance(0.05)
        assert counted() == (1, True)
        fleet.advance(0.1)
        assert counted() == (1, False)
        fleet.advance(0.5)
        assert counted() == (0, False)


class TestPlacements:
    def test_selections_at_a_node_and_load_reports_run(self) -> None:
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            node_costs.placements(
                listed=[9, 18], keys=[16, 32], parts=[2600, 5200], sizes=[100, 200], pools=[1, 2], repeats=1
            )
            fleet_costs.exchange(listed=26, rate=30, seconds=3, spans=[0.5], steps=[1, 3])
        measured = rows(out.getvalue())
        assert measured["a worker chosen at a node, its parts ranked before", "workers of the pool"][0] > 0
        sent = [float(x) for x in re.findall(r"^\| 0.5 s \| [13] \| ([0-9.]+) ", out.getvalue(), re.M)]
        assert sent[0] > sent[1] > 0, sent
