"""Each rule of the judge complains of a log that breaks it, and is content with one that does not."""

import copy
from typing import Any

from iriswheel.runtime import units
from simulation import platform_names, platform_rules
from simulation.rules import earned_value

MS, S = units.MILLISECOND_US, units.SECOND_US
ROUTE, CONFIGURATION = platform_names.ROUTE, platform_names.CONFIGURATION


def doc(version: int, *routes: tuple[str, str]) -> dict[str, Any]:
    """A configuration; routes are (path, service)."""
    return {
        CONFIGURATION["version"]: version,
        CONFIGURATION["pools"]: [],
        CONFIGURATION["routes"]: [
            {ROUTE["name"]: f"r{k}", ROUTE["host"]: "h", ROUTE["path"]: path, ROUTE["pool"]: pool}
            for k, (path, pool) in enumerate(routes)
        ],
    }


def one(
    name: str = "a1",
    *,
    at: int = 20 * S,
    repeat: bool = False,
    node: str = "n1",
    worker: str = "i-1",
    pool: str = "desk",
    url: str = "/a/1",
    stream: bool = True,
    **more: int | list[Any] | str | None,
) -> list[dict[str, Any]]:
    """The rows of one request that went well."""
    seal = f"seal-{name}"
    events = [[k, seal, at + k * 10 * MS + 5 * MS, k == 3, name] for k in (1, 2, 3)]
    row = dict(
        attempt=name,
        request=f"r-{name}",
        tries=0,
        sort="phrase",
        repeat=repeat,
        stream=stream,
        host="h",
        url=url,
        method="POST",
        body="b1",
        node=node,
        zone="a",
        sent=at,
        until=at + 5 * S,
        after=0,
        direct=False,
        code=200,
        how="whole",
        seal=seal,
        echo=name,
        retry_after=None,
        got="g1",
        events=events if stream else [],
        bad_events=0,
        rest=False,
        first=at + 15 * MS,
        pause=10 * MS,
        encoding=None,
        done=at + 40 * MS,
        text="",
    )
    row.update(more)
    return [
        dict(
            at=at + 2 * MS,
            kind="arrived",
            worker=worker,
            name="w1",
            attempt=name,
            verdict=0,
            pool=pool,
            method="POST",
            url=url,
            body="b1",
            peer="10.0.2.1",
        ),
        dict(at=at + 5 * MS, kind="run", worker=worker, name="w1", attempt=name, seal=seal, pool=pool, after=None),
        dict(
            at=at + 35 * MS,
            kind="ran",
            worker=worker,
            name="w1",
            attempt=name,
            seal=seal,
            how="ran",
            events=3,
            times=[at + k * 10 * MS for k in (1, 2, 3)],
            body="g1",
        ),
        dict(at=row["done"], kind="tried", **row),
        dict(
            at=row["done"],
            kind="answered",
            request=f"r-{name}",
            sort="phrase",
            zone="a",
            began=at,
            tries=1,
            ok=True,
            code=200,
            how="whole",
        ),
    ]


def sent(
    at: int,
    d: dict[str, Any],
    *,
    base: int = 0,
    who: str = "boss",
    valid: bool = True,
    code: int = 200,
    after: int = 100 * MS,
) -> list[dict[str, Any]]:
    """The rows of a configuration that was sent and answered."""
    row = dict(version=d[CONFIGURATION["version"]], base=base, send=f"{who}-{at}")
    return [
        dict(at=at, kind="config_sent", doc=d, valid=valid, **row),
        dict(at=at + after, kind="config_answer", code=code, text="", **row),
    ]


FIRST = doc(1, ("/a/", "desk"))
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
    *sent(1, FIRST),
]
END = [dict(at=60 * S, kind="config_read", code=200, doc=FIRST), dict(at=61 * S, kind="ended")]


def inject_fault(name: str, what: str, begin: int, end: int) -> list[dict[str, Any]]:
    return [dict(at=begin, kind="trouble", name=name, what=what), dict(at=end, kind="mend", name=name)]


class TestJudge:
    def judged(self, rows: list[dict[str, Any]], end: list[dict[str, Any]] = END) -> dict[str, list[str]]:
        return platform_rules.examine(sorted(copy.deepcopy(BASE + rows + end), key=lambda r: r["at"]))

    def complains(self, rule: str, rows: list[dict[str, Any]], end: list[dict[str, Any]] = END) -> None:
        assert rule in self.judged(rows, end)

    def content(self, rows: list[dict[str, Any]], end: list[dict[str, Any]] = END) -> None:
        assert self.judged(rows, end) == {}

    def change(self, which: str, **more: int | list[list[int | str]] | str | None) -> list[dict[str, Any]]:
        """The rows of a good request, one of them changed."""
        rows = one()
        rows[["arrived", "run", "ran", "tried", "answered"].index(which)].update(more)
        return rows

    def test_a_good_log_has_no_complaint(self) -> None:
        self.content(one() + one("a2", at=21 * S, stream=False, repeat=True))

    def test_mixed(self) -> None:
        events = one()[3]["events"]
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
            self.complains("mixed", self.change("tried", **more))
        self.complains("mixed", one() + one("a2") + [{**one()[3], "seal": "seal-a2"}])
        short = one(stream=False)
        short[3]["got"] = "g2"
        self.complains("mixed", short)
        self.complains("mixed", [dict(at=S, kind="stray", node="n1", client="c1", data="x")])
        broken = self.change("tried", how="garbage", code=0)
        broken[2]["how"] = "garble"
        self.content(broken)

    def test_unasked(self) -> None:
        self.complains("unasked", self.change("arrived", attempt="a9"))
        for more in (dict(method="GET"), dict(url="/a/2"), dict(body="b2")):
            self.complains("unasked", self.change("arrived", **more))
        self.complains("unasked", [*one(), dict(at=S, kind="bad_request", worker="i-1")])

    def test_twice(self) -> None:
        again = [
            dict(
                at=20 * S + 9 * MS,
                kind="run",
                worker="i-2",
                name="w2",
                attempt="a1",
                seal="s2",
                pool="desk",
                after=None,
            )
        ]
        self.complains("twice", one() + again)
        self.content(one(repeat=True) + again)

    def test_refused(self) -> None:
        for code in (408, 421, 429, 503):
            self.complains("refused", self.change("tried", code=code))
        self.content([{**r, "code": 503} if r["kind"] == "tried" else r for r in one(repeat=True)])

    def test_denied(self) -> None:
        def denials(n: int, **more: int) -> list[dict[str, Any]]:
            return [
                r
                for k in range(n)
                for r in one(f"a{k}", at=20 * S + k, **{"code": 400, **more})
                if r["kind"] == "tried"
            ]

        self.content(denials(5))
        self.complains("denied", denials(6))
        self.content(denials(6, code=429))
        self.content(denials(6, direct=True))
        self.content(denials(6) + inject_fault("n1", "kill", 18 * S, 19 * S))

    def test_a_fault_goes_on_when_another_one_of_the_same_machine_ends(self) -> None:
        denials = [r for k in range(6) for r in one(f"a{k}", at=20 * S + k, code=400) if r["kind"] == "tried"]
        cut = [{**r, "what": "cut"} for r in inject_fault("n1", "cut", 10 * S, 40 * S)]
        reset = [{**r, "what": "reset"} for r in inject_fault("n1", "reset", 12 * S, 12 * S)]
        self.content(denials + cut + reset)
        self.content(denials + cut + inject_fault("n1", "kill", 11 * S, 12 * S))
        self.complains("denied", denials + reset)

    def test_an_acknowledgement_that_is_lost_on_its_way_counts_for_the_core(self) -> None:
        second = doc(2, ("/a/", "desk"))
        late = sent(10 * S, second, base=1, after=9 * S)
        lost = dict(at=11 * S, kind="acknowledgement_lost", send=late[0]["send"])
        end = [dict(at=60 * S, kind="config_read", code=200, doc=second), dict(at=61 * S, kind="ended")]
        self.complains("acks", late, end)
        self.content([*late, lost], end)

    def test_route(self) -> None:
        self.complains("route", one(pool="other"))
        self.complains("route", one(url="/b/1"))
        self.content(one(pool="other") + sent(5 * S, doc(3, ("/a/", "other")), base=1, code=0))

    def test_drain(self) -> None:
        for state in ("draining", "gone"):
            listed = [dict(at=15 * S, kind="listed", worker="i-1", state=state, pool="desk", seen=16 * S)]
            self.complains("drain", one(at=20 * S) + listed)
            self.content(one(at=18 * S) + listed)
            self.content(one(at=20 * S) + listed + inject_fault("n1", "freeze", 17 * S, 18 * S))
            self.content(self.change("arrived", verdict=421)[:1] + listed)

    def test_lost(self) -> None:
        cut = one(how="closed", done=20 * S + 30 * MS)
        term = [dict(at=19 * S, kind="term", name="n1"), *inject_fault("n1", "term", 19 * S, 27 * S)]
        self.complains("lost", cut + term)
        self.content(one() + term)
        self.content(cut)
        self.content([*cut, term[0], *inject_fault("n1", "cut", 18 * S, 21 * S)])
        broke = one(how="closed", done=20 * S + 30 * MS)
        broke[2]["how"] = "broke"
        self.content(broke + term)
        self.content([{**r, "until": r["sent"]} if r["kind"] == "tried" else r for r in cut] + term)
        unsent = [{**r, "code": 0, "seal": None, "events": []} for r in cut if r["kind"] == "tried"]
        self.content(unsent + term)
        self.complains("lost", [{**unsent[0], "done": 20 * S + 300 * MS}, *term])

    def test_config_is_handled_late(self) -> None:
        moved = sent(10 * S, doc(3, ("/a/", "other")), base=1)
        end = [{**END[0], "doc": doc(3, ("/a/", "other"))}, END[1]]
        self.complains("config", one(at=13 * S) + moved, end)
        self.content(one(at=11 * S) + moved, end)
        self.content(one(at=13 * S) + moved + inject_fault("n1", "cut", 9 * S, 11 * S), end)
        self.content(one(at=13 * S, pool="other") + moved, end)
        gone = sent(10 * S, doc(3, ("/b/", "desk")), base=1)
        end = [{**END[0], "doc": doc(3, ("/b/", "desk"))}, END[1]]
        self.complains("config", one(at=13 * S) + gone, end)
        absent = one(at=13 * S, url="/b/1", code=404, seal=None, events=[])[3:4]
        self.complains("config", absent + gone, end)

    def test_config_goes_back(self) -> None:
        moved = sent(10 * S, doc(3, ("/a/", "other")), base=1)
        end = [{**END[0], "doc": doc(3, ("/a/", "other"))}, END[1]]
        new = one("a1", at=10 * S + 500 * MS, pool="other")
        self.complains("config", new + one("a2", at=11 * S) + moved, end)
        self.content(new + one("a2", at=11 * S, node="n2") + moved, end)
        self.content(new + one("a2", at=10 * S + 600 * MS) + moved, end)
        self.content(
            new + one("a2", at=11 * S) + moved + inject_fault("n1", "kill", 10 * S + 600 * MS, 10 * S + 900 * MS), end
        )

    def test_config_that_must_not_be_in_force(self) -> None:
        self.complains("config", one(pool="other") + sent(10 * S, doc(3, ("/a/", "other")), base=1, code=412))
        self.complains(
            "config", one(pool="other") + sent(10 * S, doc(3, ("/a/", "other")), base=1, code=0, valid=False)
        )
        self.content(one(pool="other") + sent(10 * S, doc(3, ("/a/", "other")), base=1, code=0))

    def test_config_acknowledged_wrongly(self) -> None:
        third = doc(3, ("/a/", "desk"), ("/b/", "desk"))
        end = [{**END[0], "doc": third}, END[1]]
        self.content(sent(10 * S, third, base=1), end)
        self.complains("config", sent(10 * S, third, base=1, valid=False), end)
        race = sent(10 * S, third, base=1) + sent(10 * S, doc(3, ("/a/", "desk"), ("/c/", "desk")), base=1, who="other")
        self.complains("config", race, end)
        self.content(sent(10 * S, third, base=1) + sent(10 * S, third, base=1, who="other"), end)

    def test_config_is_read_back(self) -> None:
        third = doc(3, ("/a/", "desk"), ("/b/", "desk"))
        rows = sent(10 * S, third, base=1)
        self.complains("config", rows, END)
        self.complains("config", rows, [{**END[0], "doc": None}, END[1]])
        self.complains("config", rows, END[1:])
        self.complains("config", rows, [{**END[0], "doc": doc(3, ("/a/", "desk"))}, END[1]])
        turned = {**third, CONFIGURATION["routes"]: third[CONFIGURATION["routes"]][::-1]}
        self.content(rows, [{**END[0], "doc": turned}, END[1]])

    def test_acks(self) -> None:
        third = doc(3, ("/a/", "desk"), ("/b/", "desk"))
        end = [{**END[0], "doc": third}, END[1]]
        self.complains("acks", sent(10 * S, third, base=1, after=5 * S), end)
        self.content(sent(10 * S, third, base=1, after=3 * S), end)
        self.content(sent(10 * S, third, base=1, after=5 * S) + inject_fault("c1", "kill", 11 * S, 13 * S), end)
        self.complains("acks", sent(10 * S, third, base=1, code=0, after=30 * S))

    def test_budget(self) -> None:
        def repeats(n: int, requests: int) -> list[dict[str, Any]]:
            rows = [r for k in range(requests) for r in one(f"a{k}", at=20 * S + k * 10 * MS, repeat=True)]
            for k in range(n):
                first = rows[5 * (k % requests)]
                rows.append({**first, "at": first["at"] + 2 * S, "worker": "i-2"})
            return rows

        self.content(repeats(70, 100))
        self.complains("budget", repeats(75, 100))

    def test_order(self) -> None:
        events = one()[3]["events"]
        for more in (events[1:], events[:1] + events[2:], events[:2] + events[1:], events[::-1], events[:2]):
            self.complains("order", self.change("tried", events=more))
        self.complains("order", self.change("tried", rest=True))
        self.content(self.change("tried", events=events[:2], how="silent"))
        again = one("a2", at=21 * S, repeat=True, request="r-a1", after=3, events=[])
        self.content(one(repeat=True) + again)
        self.complains("order", again)
        joined = [*events[:1], *[[k, "s2", at, last, name] for k, _, at, last, name in events[1:]]]
        run = dict(
            at=20 * S + 15 * MS, kind="run", worker="i-2", name="w2", attempt="a1", seal="s2", pool="desk", after="1"
        )
        for repeat, after, good in ((True, "1", True), (True, "2", False), (True, None, False), (False, "1", False)):
            rows = [{**r, "events": joined} if r["kind"] == "tried" else r for r in one(repeat=repeat)]
            found = self.judged([*rows, {**run, "after": after}])
            assert ("order" not in found) == good, (repeat, after)

    def test_recover(self) -> None:
        def day(ok: bool) -> list[dict[str, Any]]:
            rows = [r for k in range(8) for r in one(f"a{k}", at=20 * S + k)]
            late = [r for k in range(8) for r in one(f"b{k}", at=55 * S + k)]
            return (
                rows
                + [{**r, "ok": ok} if r["kind"] == "answered" else r for r in late]
                + [dict(at=30 * S, kind="closing", back=31 * S)]
            )

        self.content(day(True))
        self.complains("recover", day(False))

    def test_earned_value(self) -> None:
        kinds = {"phrase": earned_value.RequestValue(400 * MS, 200 * MS, 3.0, 1.0)}
        rows = one("a1") + one("a2", at=24 * S)
        slow = one("a3", at=24 * S + 1)
        slow[3]["events"] = [[k, s, at + S, last, n] for k, s, at, last, n in slow[3]["events"]]
        held = one("a4", at=24 * S + 2)  # in its aim, but passed on late
        held[3]["events"] = [[k, s, at + 130 * MS, last, n] for k, s, at, last, n in held[3]["events"]]
        none = one("a5", at=24 * S + 3)
        none[4]["ok"] = False
        got = earned_value.earned_value(sorted(BASE + rows + slow + held + none, key=lambda r: r["at"]), kinds)["all"]
        assert tuple(got[k] for k in ("asked", "in_aim", "late", "none", "earned", "owed")) == (5, 2, 2, 1, 8.0, 15.0)
        assert got["worst_windows"] == [5 / 12, 1.0]
