"""The rule `failback` about cold workers counts requests sent right after a network cut.

Only requests that the cut itself delayed are left out, so that a burst right after the cut is not excused.
"""

from tests import test_judge, test_zone_cuts

MILLISECOND, SECOND = test_judge.MILLISECOND, test_judge.SECOND
CUT_END = 20 * SECOND


def test_requests_sent_right_after_a_cut_count_for_a_cold_worker() -> None:
    rows = [
        {**row, "cold": True} if row["kind"] == "arrived" else row
        for number in range(60)
        for row in test_judge.request_rows(f"a{number}", at=CUT_END + SECOND + number * 10 * MILLISECOND)
    ]
    placed = dict(at=1, kind="placed", worker="i-1", zone="b")
    cut = test_zone_cuts.cut_rows(test_zone_cuts.ISOLATED, end=CUT_END)
    assert "failback" in test_zone_cuts.judged([placed, *rows, *cut])
