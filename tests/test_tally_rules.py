"""The rules about tallies complain of an event log that breaks them, and not of a similar one that keeps them."""

from typing import Any

import pytest

from simulation import platform_rules
from tests import test_judge, test_zone_cuts

SECOND, MILLISECOND = test_judge.SECOND, test_judge.MILLISECOND
ANSWER_US = 20 * MILLISECOND
Rows = list[dict[str, Any]]


def attempt_row(op: str, at: int, machine: str, **fields: Any) -> dict[str, Any]:  # noqa: ANN401 - fields of a row
    """The row of an attempt that a core machine answered with status 200."""
    host = test_zone_cuts.MACHINES[machine]["host"]
    usual = dict(call=f"{op}-{at}", began=at - ANSWER_US, host=host, code=200, sent=True, sum=None, tally="t1")
    return dict(at=at, kind="tally_try", op=op, **{**usual, **fields})


def add(at: int, machine: str = "c1", amount: int = 4, **fields: Any) -> dict[str, Any]:  # noqa: ANN401
    """The row of an add that a machine acknowledged."""
    return attempt_row("add", at, machine, **{"id": f"id-{at}", "amount": amount, **fields})


def read(at: int, total: int | None, machine: str = "c1", **fields: Any) -> dict[str, Any]:  # noqa: ANN401
    """The row of a read that a machine answered with a sum."""
    return attempt_row("read", at, machine, sum=total, **fields)


def final(total: int | None, machine: str = "c2", **fields: Any) -> dict[str, Any]:  # noqa: ANN401
    """The row of a read at the end of the run."""
    return attempt_row("final", 58 * SECOND, machine, sum=total, **fields)


def broken(*rows: dict[str, Any] | Rows) -> set[str]:
    """The names of the rules that a log with these rows breaks."""
    flat = [row for item in rows for row in (item if isinstance(item, list) else [item])]
    log = [test_zone_cuts.BEGUN, *test_judge.BASE[1:], *flat, *test_judge.END]
    return set(platform_rules.examine(sorted(log, key=lambda row: row["at"])))


def lost_disk(machine: str, at: int) -> Rows:
    """The rows of a machine that loses power and its disk, and is back three seconds later."""
    return [
        dict(at=at, kind="disk_lost", name=machine),
        *test_judge.inject_fault(machine, "power", at, at + 3 * SECOND),
    ]


class TestTwice:
    def test_a_read_returns_at_most_the_adds_that_may_have_been_applied(self) -> None:
        added = [add(10 * SECOND), add(11 * SECOND, amount=3)]
        assert broken(added, read(20 * SECOND, 7)) == set()
        assert broken(added, read(20 * SECOND, 8)) == {"tally_twice"}
        assert broken(added, read(20 * SECOND, 11)) == {"tally_twice"}

    def test_an_id_counts_once_at_any_machine(self) -> None:
        again = [add(10 * SECOND, code=0, id="x"), add(11 * SECOND, "c2", id="x")]
        assert broken(again, read(20 * SECOND, 4)) == set()
        assert broken(again, read(20 * SECOND, 8)) == {"tally_twice"}

    @pytest.mark.parametrize(
        ("fields", "may_count"),
        [
            (dict(code=0), True),
            (dict(code=500), True),
            (dict(code=503), False),
            (dict(code=429), False),
            (dict(code=0, sent=False), False),
        ],
    )
    def test_an_add_may_count_unless_it_was_never_sent_or_surely_not_applied(
        self, fields: dict[str, Any], may_count: bool
    ) -> None:
        assert broken(add(10 * SECOND, **fields), read(20 * SECOND, 0)) == set()
        expected = set() if may_count else {"tally_twice"}
        assert broken(add(10 * SECOND, **fields), read(20 * SECOND, 4)) == expected

    def test_an_add_counts_from_its_first_try_on(self) -> None:
        under_way = add(20 * SECOND + ANSWER_US)
        assert broken(under_way, read(20 * SECOND, 4)) == set()
        assert broken(under_way, read(20 * SECOND - 1, 4)) == {"tally_twice"}

    def test_adds_to_another_tally_do_not_count(self) -> None:
        assert broken(add(10 * SECOND), read(20 * SECOND, 4, tally="t2")) == {"tally_twice"}


class TestStale:
    def test_a_machine_returns_what_it_acknowledged_since_its_restart(self) -> None:
        soon = 10 * SECOND + 2 * ANSWER_US
        assert broken(add(10 * SECOND), read(soon, 4)) == set()
        assert broken(add(10 * SECOND), read(soon, 0)) == {"tally_stale"}
        assert broken(add(10 * SECOND), read(soon, 0, "c2")) == set()
        assert (
            broken(add(10 * SECOND), read(10 * SECOND + ANSWER_US - 1, 0)) == set()
        )  # the read was sent before the acknowledgement

    @pytest.mark.parametrize(("what", "is_bound"), [("kill", False), ("power", False), ("cut", True), ("freeze", True)])
    def test_only_a_restart_excuses_a_machine_from_returning_its_own_adds_at_once(
        self, what: str, is_bound: bool
    ) -> None:
        fault = test_judge.inject_fault("c1", what, 11 * SECOND, 12 * SECOND)
        expected = {"tally_stale"} if is_bound else set()
        assert broken(add(10 * SECOND), read(13 * SECOND, 0), fault) == expected

    def test_all_machines_return_an_add_after_the_merge_time_without_faults(self) -> None:
        assert broken(add(10 * SECOND), read(13 * SECOND + ANSWER_US, 0, "c2")) == {"tally_stale"}
        assert broken(add(10 * SECOND), read(13 * SECOND + ANSWER_US, 4, "c2")) == set()
        assert broken(add(10 * SECOND), read(13 * SECOND + ANSWER_US - 1, 0, "c2")) == set()

    def test_a_fault_of_the_core_or_a_cut_link_restarts_the_merge_time(self) -> None:
        late = read(30 * SECOND, 0, "c2")
        assert (
            broken(add(10 * SECOND), late, test_zone_cuts.cut_rows(test_zone_cuts.PAIR, 9 * SECOND, 28 * SECOND))
            == set()
        )
        healed = test_zone_cuts.cut_rows(test_zone_cuts.PAIR, 9 * SECOND, 26 * SECOND)
        assert broken(add(10 * SECOND), late, healed) == {"tally_stale"}
        slow_disk = test_judge.inject_fault("c3", "disk slow", 29 * SECOND, 29 * SECOND + 1)
        assert broken(add(10 * SECOND), late, slow_disk) == set()
        node = test_judge.inject_fault("n3", "kill", 29 * SECOND, 29 * SECOND + 1)
        assert broken(add(10 * SECOND), late, node) == {"tally_stale"}


class TestLost:
    def test_final_reads_return_all_acknowledged_adds(self) -> None:
        assert broken(add(10 * SECOND), final(4)) == set()
        assert "tally_lost" in broken(add(10 * SECOND), final(0))
        assert broken(add(10 * SECOND, code=0), final(0)) == set()
        just_before = add(58 * SECOND - ANSWER_US - 2 * SECOND)
        assert broken(just_before, final(0)) == set()

    def test_each_tally_can_be_read_at_the_end(self) -> None:
        failed = [final(None, code=404, call="f1")]
        assert "tally_lost" in broken(failed)
        assert broken(failed, dict(final(0, "c3", call="f1"), at=59 * SECOND)) == set()

    def test_a_fault_of_the_machine_does_not_excuse_a_lost_add(self) -> None:
        end = 57 * SECOND
        assert "tally_lost" in broken(add(10 * SECOND), final(0), test_judge.inject_fault("c1", "kill", end, end + 1))
        assert "tally_lost" in broken(add(10 * SECOND), final(0), lost_disk("c1", 11 * SECOND))

    def test_a_disk_lost_soon_after_a_cut_excuses_the_loss_of_adds_acknowledged_during_the_cut(self) -> None:
        cut = test_zone_cuts.cut_rows(test_zone_cuts.ISOLATED, 9 * SECOND, 20 * SECOND)
        for at, is_excused in ((12, True), (19, True), (22, True), (24, False)):
            found = broken(add(10 * SECOND), final(0), cut, lost_disk("c1", at * SECOND))
            assert ("tally_lost" not in found) == is_excused, at
        assert "tally_lost" in broken(add(10 * SECOND), final(0), cut, lost_disk("c2", 12 * SECOND))
        assert "tally_lost" in broken(add(8 * SECOND), final(0), cut, lost_disk("c1", 12 * SECOND))
        assert "tally_lost" in broken(add(10 * SECOND), final(0), cut)
