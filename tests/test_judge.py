"""Each rule of the users' platform complains of an event log that breaks it, and of no log that keeps it."""

import copy
from typing import Any, NamedTuple

from iriswheel.runtime import units
from simulation import platform_names, platform_rules
from simulation.rules import earned_value

MILLISECOND, SECOND = units.MILLISECOND_US, units.SECOND_US
ROUTE, CONFIGURATION = platform_names.ROUTE, platform_names.CONFIGURATION


def make_document(version: int, *routes: tuple[str, str]) -> dict[str, Any]:
    """A configuration with the given routes, each a pair of path and service."""
    return {
        CONFIGURATION["version"]: version,
        CONFIGURATION["pools"]: [],
        CONFIGURATION["routes"]: [
            {ROUTE["name"]: f"r{k}", ROUTE["host"]: "h", ROUTE["path"]: path, ROUTE["pool"]: pool}
            for k, (path, pool) in enumerate(routes)
        ],
    }


class Attempt(NamedTuple):
    """An attempt that succeeds, as the worker and the client log it."""

    name: str
    at: int
    worker: str
    pool: str
    url: str

    @property
    def seal(self) -> str:
        """The seal that the worker puts on each event of the response."""
        return f"seal-{self.name}"

    def worker_rows(self) -> list[dict[str, Any]]:
        """The rows that the worker logs: the request arrives, its run begins, and the run ends."""
        common = dict(worker=self.worker, name="w1", attempt=self.name)
        return [
            dict(
                at=self.at + 2 * MILLISECOND,
                kind="arrived",
                verdict=0,
                pool=self.pool,
                method="POST",
                url=self.url,
                body="b1",
                peer="10.0.2.1",
                **common,
            ),
            dict(at=self.at + 5 * MILLISECOND, kind="run", seal=self.seal, pool=self.pool, after=None, **common),
            dict(
                at=self.at + 35 * MILLISECOND,
                kind="ran",
                seal=self.seal,
                how="ran",
                events=3,
                times=[self.at + k * 10 * MILLISECOND for k in (1, 2, 3)],
                body="g1",
                **common,
            ),
        ]

    def events(self) -> list[list[int | str | bool]]:
        """The events that the client receives: number, seal, time, whether it is the last, and attempt."""
        return [[k, self.seal, self.at + k * 10 * MILLISECOND + 5 * MILLISECOND, k == 3, self.name] for k in (1, 2, 3)]

    def sent(self) -> dict[str, Any]:
        """The fields of the attempt's row that tell what the client sent."""
        return dict(
            attempt=self.name,
            request=f"r-{self.name}",
            tries=0,
            sort="phrase",
            host="h",
            url=self.url,
            method="POST",
            body="b1",
            zone="a",
            sent=self.at,
            until=self.at + 5 * SECOND,
            after=0,
            direct=False,
        )

    def received(self) -> dict[str, Any]:
        """The fields of the attempt's row that tell what the client received."""
        return dict(
            code=200,
            how="whole",
            seal=self.seal,
            echo=self.name,
            retry_after=None,
            got="g1",
            bad_events=0,
            rest=False,
            first=self.at + 15 * MILLISECOND,
            pause=10 * MILLISECOND,
            encoding=None,
            done=self.at + 40 * MILLISECOND,
            text="",
        )

    def answered_row(self, at: int) -> dict[str, Any]:
        """The row that the client logs at the end of the request."""
        return dict(
            at=at,
            kind="answered",
            request=f"r-{self.name}",
            sort="phrase",
            zone="a",
            began=self.at,
            tries=1,
            ok=True,
            code=200,
            how="whole",
        )


def request_rows(
    name: str = "a1",
    *,
    at: int = 20 * SECOND,
    repeat: bool = False,
    node: str = "n1",
    worker: str = "i-1",
    pool: str = "desk",
    url: str = "/a/1",
    stream: bool = True,
    **more: int | list[Any] | str | None,
) -> list[dict[str, Any]]:
    """The rows of one successful request; `more` replaces or adds fields of the client's row of the attempt."""
    attempt = Attempt(name, at, worker, pool, url)
    options = dict(repeat=repeat, node=node, stream=stream, events=attempt.events() if stream else [])
    tried = {**attempt.sent(), **attempt.received(), **options, **more}
    done = tried["done"]
    return [*attempt.worker_rows(), dict(at=done, kind="tried", **tried), attempt.answered_row(done)]


def change_rows(
    at: int,
    document: dict[str, Any],
    *,
    base: int = 0,
    who: str = "boss",
    valid: bool = True,
    code: int = 200,
    after: int = 100 * MILLISECOND,
) -> list[dict[str, Any]]:
    """The rows of a configuration that an operator sent, and of its answer `after` microseconds later."""
    row = dict(version=document[CONFIGURATION["version"]], base=base, send=f"{who}-{at}")
    return [
        dict(at=at, kind="config_sent", doc=document, valid=valid, **row),
        dict(at=at + after, kind="config_answer", code=code, text="", **row),
    ]


FIRST = make_document(1, ("/a/", "desk"))
BASE = [
    dict(
        at=0,
        kind="begun",
        machines={
            "n1": dict(host="10.0.2.1", role="edge"),
            "n2": dict(host="10.0.2.2", role="edge"),
            **{f"c{k}": dict(host=f"10.0.1.{k}", role="core") for k in (1, 2, 3)},
        },
    ),
    *change_rows(1, FIRST),
]
END = [dict(at=60 * SECOND, kind="config_read", code=200, doc=FIRST), dict(at=61 * SECOND, kind="ended")]


def inject_fault(name: str, what: str, begin: int, end: int) -> list[dict[str, Any]]:
    return [dict(at=begin, kind="trouble", name=name, what=what), dict(at=end, kind="mend", name=name)]


class TestJudge:
    def judged(self, rows: list[dict[str, Any]], end: list[dict[str, Any]] = END) -> dict[str, list[str]]:
        return platform_rules.examine(sorted(copy.deepcopy(BASE + rows + end), key=lambda r: r["at"]))

    def assert_complaint(self, rule: str, rows: list[dict[str, Any]], end: list[dict[str, Any]] = END) -> None:
        assert rule in self.judged(rows, end)

    def assert_no_complaint(self, rows: list[dict[str, Any]], end: list[dict[str, Any]] = END) -> None:
        assert self.judged(rows, end) == {}

    def change(self, which: str, **more: int | list[list[int | str]] | str | None) -> list[dict[str, Any]]:
        """The rows of a successful request, with some fields of one row replaced."""
        rows = request_rows()
        rows[["arrived", "run", "ran", "tried", "answered"].index(which)].update(more)
        return rows

    def test_a_good_log_has_no_complaint(self) -> None:
        self.assert_no_complaint(request_rows() + request_rows("a2", at=21 * SECOND, stream=False, repeat=True))

    def test_rule_mixed_finds_responses_that_no_worker_sent_for_the_request(self) -> None:
        events = request_rows()[3]["events"]
        for more in (
            dict(seal=None),
            dict(seal="seal-other"),
            dict(echo="a9"),
            dict(bad_events=1),
            dict(encoding="gzip"),
            dict(how="garbage"),
            dict(events=[[1, "seal-a1", 1, False, "a9"], *events[1:]]),
            dict(events=[[1, "seal-a9", 1, False, "a1"], *events[1:]]),
        ):
            self.assert_complaint("mixed", self.change("tried", **more))
        self.assert_complaint("mixed", request_rows() + request_rows("a2") + [{**request_rows()[3], "seal": "seal-a2"}])
        short = request_rows(stream=False)
        short[3]["got"] = "g2"
        self.assert_complaint("mixed", short)
        self.assert_complaint("mixed", [dict(at=SECOND, kind="stray", node="n1", client="c1", data="x")])
        broken = self.change("tried", how="garbage", code=0)
        broken[2]["how"] = "garble"
        self.assert_no_complaint(broken)

    def test_rule_unasked_finds_requests_at_workers_that_no_client_sent(self) -> None:
        self.assert_complaint("unasked", self.change("arrived", attempt="a9"))
        for more in (dict(method="GET"), dict(url="/a/2"), dict(body="b2")):
            self.assert_complaint("unasked", self.change("arrived", **more))
        self.assert_complaint("unasked", [*request_rows(), dict(at=SECOND, kind="bad_request", worker="i-1")])

    def test_rule_twice_finds_requests_that_must_not_be_repeated_and_ran_twice(self) -> None:
        again = [
            dict(
                at=20 * SECOND + 9 * MILLISECOND,
                kind="run",
                worker="i-2",
                name="w2",
                attempt="a1",
                seal="s2",
                pool="desk",
                after=None,
            )
        ]
        self.assert_complaint("twice", request_rows() + again)
        self.assert_no_complaint(request_rows(repeat=True) + again)

    def test_rule_refused_finds_requests_that_ran_though_their_status_says_otherwise(self) -> None:
        for code in (408, 421, 429, 503):
            self.assert_complaint("refused", self.change("tried", code=code))
        self.assert_no_complaint([{**r, "code": 503} if r["kind"] == "tried" else r for r in request_rows(repeat=True)])

    def test_rule_denied_finds_many_valid_requests_refused_by_connected_nodes(self) -> None:
        def denials(n: int, **more: Any) -> list[dict[str, Any]]:  # noqa: ANN401 - fields of a row
            return [
                r
                for k in range(n)
                for r in request_rows(f"a{k}", at=20 * SECOND + k, **{"code": 400, **more})
                if r["kind"] == "tried"
            ]

        self.assert_no_complaint(denials(5))
        self.assert_complaint("denied", denials(6))
        self.assert_no_complaint(denials(6, code=429))
        self.assert_no_complaint(denials(6, direct=True))
        self.assert_no_complaint(denials(6) + inject_fault("n1", "kill", 18 * SECOND, 19 * SECOND))

    def test_a_fault_goes_on_when_another_one_of_the_same_machine_ends(self) -> None:
        denials = [
            r for k in range(6) for r in request_rows(f"a{k}", at=20 * SECOND + k, code=400) if r["kind"] == "tried"
        ]
        cut = [{**r, "what": "cut"} for r in inject_fault("n1", "cut", 10 * SECOND, 40 * SECOND)]
        reset = [{**r, "what": "reset"} for r in inject_fault("n1", "reset", 12 * SECOND, 12 * SECOND)]
        self.assert_no_complaint(denials + cut + reset)
        self.assert_no_complaint(denials + cut + inject_fault("n1", "kill", 11 * SECOND, 12 * SECOND))
        self.assert_complaint("denied", denials + reset)

    def test_an_acknowledgement_that_is_lost_on_its_way_to_the_operator_is_in_time(self) -> None:
        second = make_document(2, ("/a/", "desk"))
        late = change_rows(10 * SECOND, second, base=1, after=9 * SECOND)
        lost = dict(at=11 * SECOND, kind="acknowledgement_lost", send=late[0]["send"])
        end = [dict(at=60 * SECOND, kind="config_read", code=200, doc=second), dict(at=61 * SECOND, kind="ended")]
        self.assert_complaint("acks", late, end)
        self.assert_no_complaint([*late, lost], end)

    def test_rule_route_finds_runs_at_services_that_no_configuration_allows(self) -> None:
        self.assert_complaint("route", request_rows(pool="other"))
        self.assert_complaint("route", request_rows(url="/b/1"))
        self.assert_no_complaint(
            request_rows(pool="other") + change_rows(5 * SECOND, make_document(3, ("/a/", "other")), base=1, code=0)
        )

    def test_rule_drain_finds_requests_that_reach_a_draining_worker_too_late(self) -> None:
        for state in ("draining", "gone"):
            listed = [dict(at=15 * SECOND, kind="listed", worker="i-1", state=state, pool="desk", seen=16 * SECOND)]
            self.assert_complaint("drain", request_rows(at=20 * SECOND) + listed)
            self.assert_no_complaint(request_rows(at=18 * SECOND) + listed)
            self.assert_no_complaint(
                request_rows(at=20 * SECOND) + listed + inject_fault("n1", "freeze", 17 * SECOND, 18 * SECOND)
            )
            self.assert_no_complaint(self.change("arrived", verdict=421)[:1] + listed)

    def test_rule_lost_finds_requests_lost_by_a_planned_stop_of_a_node(self) -> None:
        cut = request_rows(how="closed", done=20 * SECOND + 30 * MILLISECOND)
        term = [dict(at=19 * SECOND, kind="term", name="n1"), *inject_fault("n1", "term", 19 * SECOND, 27 * SECOND)]
        self.assert_complaint("lost", cut + term)
        self.assert_no_complaint(request_rows() + term)
        self.assert_no_complaint(cut)
        self.assert_no_complaint([*cut, term[0], *inject_fault("n1", "cut", 18 * SECOND, 21 * SECOND)])
        broke = request_rows(how="closed", done=20 * SECOND + 30 * MILLISECOND)
        broke[2]["how"] = "broke"
        self.assert_no_complaint(broke + term)
        self.assert_no_complaint([{**r, "until": r["sent"]} if r["kind"] == "tried" else r for r in cut] + term)
        unsent = [{**r, "code": 0, "seal": None, "events": []} for r in cut if r["kind"] == "tried"]
        self.assert_no_complaint(unsent + term)
        self.assert_complaint("lost", [{**unsent[0], "done": 20 * SECOND + 300 * MILLISECOND}, *term])

    def test_rule_config_finds_a_configuration_applied_too_late(self) -> None:
        moved = change_rows(10 * SECOND, make_document(3, ("/a/", "other")), base=1)
        end = [{**END[0], "doc": make_document(3, ("/a/", "other"))}, END[1]]
        self.assert_complaint("config", request_rows(at=13 * SECOND) + moved, end)
        self.assert_no_complaint(request_rows(at=11 * SECOND) + moved, end)
        self.assert_no_complaint(
            request_rows(at=13 * SECOND) + moved + inject_fault("n1", "cut", 9 * SECOND, 11 * SECOND), end
        )
        self.assert_no_complaint(request_rows(at=13 * SECOND, pool="other") + moved, end)
        gone = change_rows(10 * SECOND, make_document(3, ("/b/", "desk")), base=1)
        end = [{**END[0], "doc": make_document(3, ("/b/", "desk"))}, END[1]]
        self.assert_complaint("config", request_rows(at=13 * SECOND) + gone, end)
        absent = request_rows(at=13 * SECOND, url="/b/1", code=404, seal=None, events=[])[3:4]
        self.assert_complaint("config", absent + gone, end)

    def test_rule_config_finds_a_node_that_returns_to_an_older_version(self) -> None:
        moved = change_rows(10 * SECOND, make_document(3, ("/a/", "other")), base=1)
        end = [{**END[0], "doc": make_document(3, ("/a/", "other"))}, END[1]]
        new = request_rows("a1", at=10 * SECOND + 500 * MILLISECOND, pool="other")
        self.assert_complaint("config", new + request_rows("a2", at=11 * SECOND) + moved, end)
        self.assert_no_complaint(new + request_rows("a2", at=11 * SECOND, node="n2") + moved, end)
        self.assert_no_complaint(new + request_rows("a2", at=10 * SECOND + 600 * MILLISECOND) + moved, end)
        self.assert_no_complaint(
            new
            + request_rows("a2", at=11 * SECOND)
            + moved
            + inject_fault("n1", "kill", 10 * SECOND + 600 * MILLISECOND, 10 * SECOND + 900 * MILLISECOND),
            end,
        )

    def test_rule_config_finds_a_refused_configuration_in_force(self) -> None:
        self.assert_complaint(
            "config",
            request_rows(pool="other") + change_rows(10 * SECOND, make_document(3, ("/a/", "other")), base=1, code=412),
        )
        self.assert_complaint(
            "config",
            request_rows(pool="other")
            + change_rows(10 * SECOND, make_document(3, ("/a/", "other")), base=1, code=0, valid=False),
        )
        self.assert_no_complaint(
            request_rows(pool="other") + change_rows(10 * SECOND, make_document(3, ("/a/", "other")), base=1, code=0)
        )

    def test_rule_config_finds_invalid_and_conflicting_acknowledged_changes(self) -> None:
        third = make_document(3, ("/a/", "desk"), ("/b/", "desk"))
        end = [{**END[0], "doc": third}, END[1]]
        self.assert_no_complaint(change_rows(10 * SECOND, third, base=1), end)
        self.assert_complaint("config", change_rows(10 * SECOND, third, base=1, valid=False), end)
        race = change_rows(10 * SECOND, third, base=1) + change_rows(
            10 * SECOND, make_document(3, ("/a/", "desk"), ("/c/", "desk")), base=1, who="other"
        )
        self.assert_complaint("config", race, end)
        self.assert_no_complaint(
            change_rows(10 * SECOND, third, base=1) + change_rows(10 * SECOND, third, base=1, who="other"), end
        )

    def test_rule_config_finds_a_configuration_not_read_back_as_sent(self) -> None:
        third = make_document(3, ("/a/", "desk"), ("/b/", "desk"))
        rows = change_rows(10 * SECOND, third, base=1)
        self.assert_complaint("config", rows, END)
        self.assert_complaint("config", rows, [{**END[0], "doc": None}, END[1]])
        self.assert_complaint("config", rows, END[1:])
        self.assert_complaint("config", rows, [{**END[0], "doc": make_document(3, ("/a/", "desk"))}, END[1]])
        turned = {**third, CONFIGURATION["routes"]: third[CONFIGURATION["routes"]][::-1]}
        self.assert_no_complaint(rows, [{**END[0], "doc": turned}, END[1]])

    def test_rule_acks_finds_late_acknowledgements(self) -> None:
        third = make_document(3, ("/a/", "desk"), ("/b/", "desk"))
        end = [{**END[0], "doc": third}, END[1]]
        self.assert_complaint("acks", change_rows(10 * SECOND, third, base=1, after=5 * SECOND), end)
        self.assert_no_complaint(change_rows(10 * SECOND, third, base=1, after=3 * SECOND), end)
        self.assert_no_complaint(
            change_rows(10 * SECOND, third, base=1, after=5 * SECOND)
            + inject_fault("c1", "kill", 11 * SECOND, 13 * SECOND),
            end,
        )
        self.assert_complaint("acks", change_rows(10 * SECOND, third, base=1, code=0, after=30 * SECOND))

    def test_rule_budget_finds_more_repeats_than_the_retry_budget_allows(self) -> None:
        def repeats(n: int, requests: int) -> list[dict[str, Any]]:
            rows = [
                r
                for k in range(requests)
                for r in request_rows(f"a{k}", at=20 * SECOND + k * 10 * MILLISECOND, repeat=True)
            ]
            for k in range(n):
                first = rows[5 * (k % requests)]
                rows.append({**first, "at": first["at"] + 2 * SECOND, "worker": "i-2"})
            return rows

        self.assert_no_complaint(repeats(70, 100))
        self.assert_complaint("budget", repeats(75, 100))

    def test_rule_order_finds_incomplete_disordered_and_wrongly_joined_streams(self) -> None:
        events = request_rows()[3]["events"]
        for more in (events[1:], events[:1] + events[2:], events[:2] + events[1:], events[::-1], events[:2]):
            self.assert_complaint("order", self.change("tried", events=more))
        self.assert_complaint("order", self.change("tried", rest=True))
        self.assert_no_complaint(self.change("tried", events=events[:2], how="silent"))
        again = request_rows("a2", at=21 * SECOND, repeat=True, request="r-a1", after=3, events=[])
        self.assert_no_complaint(request_rows(repeat=True) + again)
        self.assert_complaint("order", again)
        joined = [*events[:1], *[[k, "s2", at, last, name] for k, _, at, last, name in events[1:]]]
        run = dict(
            at=20 * SECOND + 15 * MILLISECOND,
            kind="run",
            worker="i-2",
            name="w2",
            attempt="a1",
            seal="s2",
            pool="desk",
            after="1",
        )
        for repeat, after, good in ((True, "1", True), (True, "2", False), (True, None, False), (False, "1", False)):
            rows = [{**r, "events": joined} if r["kind"] == "tried" else r for r in request_rows(repeat=repeat)]
            found = self.judged([*rows, {**run, "after": after}])
            assert ("order" not in found) == good, (repeat, after)

    def test_rule_recover_finds_a_fleet_that_does_not_serve_after_an_outage(self) -> None:
        def day(ok: bool) -> list[dict[str, Any]]:
            rows = [r for k in range(8) for r in request_rows(f"a{k}", at=20 * SECOND + k)]
            late = [r for k in range(8) for r in request_rows(f"b{k}", at=55 * SECOND + k)]
            return (
                rows
                + [{**r, "ok": ok} if r["kind"] == "answered" else r for r in late]
                + [dict(at=30 * SECOND, kind="closing", back=31 * SECOND)]
            )

        self.assert_no_complaint(day(True))
        self.assert_complaint("recover", day(False))

    def test_rule_failback_finds_too_many_requests_to_a_cold_worker(self) -> None:
        def cold(count: int, verdict: int = 0, **more: Any) -> list[dict[str, Any]]:  # noqa: ANN401 - fields of a row
            """The rows of some requests to a cold worker, sent 30 ms apart."""
            rows = [r for k in range(count) for r in request_rows(f"a{k}", at=20 * SECOND + k * 30 * MILLISECOND)]
            return [{**r, "cold": True, "verdict": verdict, **more} if r["kind"] == "arrived" else r for r in rows]

        self.assert_no_complaint(cold(29))
        self.assert_complaint("failback", cold(30))
        self.assert_no_complaint(cold(30, cold=False))
        assert "failback" not in self.judged(cold(30, 421))
        assert "failback" in self.judged(cold(30, 503))
        spread = [{**row, "at": row["at"] * 2 - 20 * SECOND} if row["kind"] == "arrived" else row for row in cold(30)]
        self.assert_no_complaint(spread)
        assert "failback" not in self.judged(cold(15) + cold(15, worker="i-2"))

    def test_earned_value_of_requests_in_time_late_and_not_served(self) -> None:
        kinds = {"phrase": earned_value.RequestValue(400 * MILLISECOND, 200 * MILLISECOND, 3.0, 1.0)}
        rows = request_rows("a1") + request_rows("a2", at=24 * SECOND)
        slow = request_rows("a3", at=24 * SECOND + 1)
        slow[3]["events"] = [[k, s, at + SECOND, last, n] for k, s, at, last, n in slow[3]["events"]]
        held = request_rows("a4", at=24 * SECOND + 2)  # its first event meets the aim, but the fleet delayed its events
        held[3]["events"] = [[k, s, at + 130 * MILLISECOND, last, n] for k, s, at, last, n in held[3]["events"]]
        none = request_rows("a5", at=24 * SECOND + 3)
        none[4]["ok"] = False
        got = earned_value.earned_value(sorted(BASE + rows + slow + held + none, key=lambda r: r["at"]), kinds)["all"]
        assert tuple(got[k] for k in ("asked", "in_aim", "late", "none", "earned", "owed")) == (5, 2, 2, 1, 8.0, 15.0)
        assert got["worst_windows"] == [5 / 12, 1.0]
