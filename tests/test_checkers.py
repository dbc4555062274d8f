"""Each checker complains of a log that violates its guarantee; the log of a correct run gets no complaint."""

import json
from typing import Any

import pytest

from iriswheel.runtime import units
from iriswheel.verification import replay

SECOND = units.SECOND_US
DOC: dict[str, dict[str, Any]] = {
    "pools": {"desk": {}},
    "routes": {"probe": {"path": "/p/0", "pool": "desk"}, "v1": {"path": "/v1", "pool": "desk"}},
}


def answer(identifier: str, run: str, ks: tuple[int, ...] = (0, 1), of: int = 2) -> str:
    rows = [json.dumps({"exchange": identifier, "run": run, "k": k, "of": of}) for k in ks]
    return "".join(f"data: {r}\n\n" for r in rows) + "data: [DONE]\n\n"


def good(
    identifier: str = "x1",
    *,
    at: int = 20 * SECOND,
    worker: str = "w1",
    parts: tuple[str, ...] = ("system",),
    send: int = 1,
    repeat: bool = False,
) -> list[dict[str, Any]]:
    """The rows of one request that was answered in full."""
    run = f"{worker}-{identifier}"
    return [
        dict(
            at=at,
            kind="sent",
            exchange=identifier,
            send=send,
            repeat=repeat,
            parts=list(parts),
            sort="short",
            path="/v1/a",
        ),
        dict(
            at=at + 5,
            kind="run",
            worker=worker,
            run=run,
            exchange=identifier,
            send=send,
            parts=list(parts),
            path="/v1/a",
        ),
        dict(at=at + 90, kind="ran", worker=worker, run=run, exchange=identifier),
        dict(
            at=at + 99,
            kind="whole",
            exchange=identifier,
            send=send,
            worker=worker,
            first=50,
            pause=10,
            text=answer(identifier, run),
        ),
    ]


BASE = [
    dict(at=0, kind="listed", worker="w1", state="ready", pool="desk"),
    dict(at=0, kind="listed", worker="w2", state="ready", pool="desk"),
    dict(at=1, kind="begun", blueprint=DOC),
    dict(at=2, kind="confirm_sent", plan="0-a", base=0, probe=0, who="boss", blueprint=DOC),
    dict(at=3, kind="confirmed", plan="0-a", stamp=2, probe=0, who="boss"),
]


class TestCheckers:
    def assert_complaint(self, name: str, rows: list[dict[str, Any]]) -> None:
        rows = sorted(BASE + rows, key=lambda r: r["at"])
        assert name in replay.judge(rows)

    def test_a_log_of_a_correct_run_has_no_complaint(self) -> None:
        rows = (
            BASE
            + good()
            + [dict(at=40 * SECOND, kind="read", stamp=2, blueprint=DOC), dict(at=41 * SECOND, kind="ended")]
        )
        assert replay.judge(rows) == {}

    def test_once(self) -> None:
        """A second run, an answer with a missing, repeated or swapped event, and an answer mixed from two runs."""
        twice = good()
        twice.insert(2, {**twice[1], "run": "w2-x1", "worker": "w2"})
        self.assert_complaint("once", twice)
        for ks in ((0,), (0, 0), (1, 0)):  # the answer's second event is missing, repeated, or out of order
            rows = good()
            rows[3]["text"] = answer("x1", "w1-x1", ks)
            self.assert_complaint("once", rows)
        rows = good()
        rows[3]["text"] = answer("x1", "w1-x1", (0,)).replace("data: [DONE]\n\n", "") + answer("x1", "w2-x1", (1,))
        self.assert_complaint("once", rows)

    def test_not_run(self) -> None:
        """An attempt that ran although it was refused with the verdict "not_run"."""
        rows = good()[:3]
        rows.append(
            dict(at=20 * SECOND + 3, kind="refused", exchange="x1", send=1, code="busy", verdict="not_run", took=3)
        )
        self.assert_complaint("not_run", rows)

    def test_own(self) -> None:
        """Answers of two requests swapped, and an answer taken for complete although its run was cut off."""
        rows = good("x1") + good("x2", at=21 * SECOND)
        rows[3]["text"], rows[7]["text"] = rows[7]["text"], rows[3]["text"]
        self.assert_complaint("own", rows)
        rows = good()
        rows[2]["kind"] = "cut"
        self.assert_complaint("own", rows)

    def test_leaving(self) -> None:
        """A request that reached a worker long after the platform listed it as leaving."""
        self.assert_complaint(
            "leaving", [dict(at=10 * SECOND, kind="listed", worker="w1", state="leaving", pool="desk"), *good()]
        )

    def test_in_force(self) -> None:
        """A probe 3 s after a change that is still routed by the former configuration."""
        later = {**DOC, "routes": {**DOC["routes"], "probe": {"path": "/p/1", "pool": "desk"}}}
        change = [
            dict(at=10 * SECOND, kind="confirm_sent", plan="2-b", base=2, probe=1, who="boss", blueprint=later),
            dict(at=10 * SECOND + 5, kind="confirmed", plan="2-b", stamp=4, probe=1, who="boss"),
        ]
        probe = dict(
            at=13 * SECOND,
            kind="probe",
            node="h:1",
            zone="a",
            exchange="p1",
            done=13 * SECOND + 9,
            code="",
            worker="w1",
        )
        self.assert_complaint("in_force", [*change, {**probe, "path": "/p/1", "status": 404}])
        run = dict(at=13 * SECOND + 5, kind="run", worker="w1", run="r", exchange="p1", send=0, parts=[], path="/p/0")
        self.assert_complaint("in_force", [*change, {**probe, "path": "/p/0", "status": 200}, run])
        self.assert_complaint("allowed", [*change, {**probe, "path": "/p/0", "status": 200}, run])

    def test_kept(self) -> None:
        """Reads of an older or different configuration, a plan with two versions, and no final read."""
        self.assert_complaint("kept", [dict(at=9 * SECOND, kind="read", stamp=0, blueprint={})])
        self.assert_complaint("kept", [dict(at=9 * SECOND, kind="read", stamp=2, blueprint={"pools": {"other": {}}})])
        self.assert_complaint("kept", [dict(at=9 * SECOND, kind="confirmed", plan="0-a", stamp=7, probe=0, who="boss")])
        self.assert_complaint("kept", [dict(at=9 * SECOND, kind="ended")])

    def test_allowed(self) -> None:
        """A request on a path that no route sends to the worker's pool."""
        rows = good()
        rows[1]["path"] = "/v2"
        self.assert_complaint("allowed", rows)

    def test_pinned(self) -> None:
        """A conversation whose next turn ran on another worker although its worker stayed ready."""
        parts = ("system", "talk-1")
        self.assert_complaint("pinned", good("x1", parts=parts) + good("x2", at=30 * SECOND, worker="w2", parts=parts))

    def test_capped(self) -> None:
        """Eleven open conversations on a worker, where 10 are allowed by default."""
        rows = [r for k in range(11) for r in good(f"x{k}", at=(20 + k) * SECOND, parts=("system", f"talk-{k}"))]
        self.assert_complaint("capped", rows)

    def test_budget(self) -> None:
        """Retries without any requests to earn them."""
        rows = [r for k in range(4) for r in good(f"x{k}", at=(20 + k) * SECOND, send=2, repeat=True)]
        self.assert_complaint("budget", rows)

    def refused(self, code: str, send: int = 1) -> list[dict[str, Any]]:
        return [
            *good(send=send)[:1],
            dict(at=20 * SECOND + 9, kind="refused", exchange="x1", send=send, code=code, verdict="not_run", took=9),
        ]

    def test_served(self) -> None:
        """Refusals without a reason or too late, a late first byte, and a torn answer without a fault."""
        for code in ("busy", "no_worker", "sessions_full", "not_ready", "no_warden", "already_sent", "worker_broke"):
            self.assert_complaint("served", self.refused(code))
        self.assert_complaint(
            "served",
            [r for k in range(30) for r in good(f"y{k}", at=19 * SECOND + k)] + self.refused("retry_budget", send=2),
        )
        late = self.refused("busy")
        late[1].update(at=40 * SECOND, took=20 * SECOND)
        self.assert_complaint("served", late)
        rows = good()
        rows[3]["first"] = SECOND
        self.assert_complaint("served", rows)
        rows = good()
        rows[3].update(kind="torn")
        self.assert_complaint("served", rows)

    def test_served_excuses_requests_at_a_failed_node_and_no_others(self) -> None:
        kill = dict(at=20 * SECOND - 5, kind="fault", what="kill", target="n1", role="node", addr="h:1", duty=False)
        here, there = self.refused("not_ready"), self.refused("not_ready")
        here[0]["node"], there[0]["node"] = "h:1", "h:2"
        assert "served" not in replay.judge(sorted(BASE + here + [kill], key=lambda r: r["at"]))
        self.assert_complaint("served", [*there, kill])
        self.assert_complaint("served", [*there, {**kill, "duty": True}])
        self.assert_complaint(
            "served",
            [
                *here,
                kill,
                dict(at=20 * SECOND - 4, kind="mend", what="start", target="n1"),
                *[{**r, "at": r["at"] + 10 * SECOND, "exchange": "x2"} for r in here],
            ],
        )

    def test_answered(self) -> None:
        """A malformed request that got no answer."""
        row = dict(at=20 * SECOND, kind="rude", how="bad head", host="h:1", status="", text="")
        self.assert_complaint("answered", [row])

    def test_back(self) -> None:
        """No complete answer 12 s after a large fault, and a change that was never acknowledged."""
        rows = [
            dict(at=20 * SECOND, kind="fault", what="kill", target="n1", large=True),
            dict(at=60 * SECOND, kind="ended"),
        ]
        self.assert_complaint("back", rows + good("x1", at=33 * SECOND)[:1])
        wanted = dict(at=20 * SECOND, kind="wanted", probe=1, who="boss")
        self.assert_complaint("back", [wanted, dict(at=60 * SECOND, kind="read", stamp=2, blueprint=DOC)])

    def test_a_truncated_log_is_read_up_to_there_and_a_damaged_one_is_refused(self) -> None:
        line = json.dumps(BASE[0])
        assert replay.read([line, line[:9]]) == ([BASE[0]], True)
        with pytest.raises(replay.DamagedLogError):
            replay.read([line[:9], line])
