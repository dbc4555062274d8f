"""Judges an event log of the users' side by the rules of their platform, and counts what was earned.

    python -m simulation.platform_rules day.events

Only what clients, workers, operators and the platform saw is looked at. Each rule is a function that yields
complaints; `examine` runs them all.
Rows are those that simulation/clients/, simulation/workers/ and simulation/site/ write.
"""

from __future__ import annotations

import bisect
import collections
import collections.abc
import json
import sys
import typing

import defopt

import iriswheel.verification.history as history
import simulation.platform_names as platform_names

MS, S = 1_000, 1_000_000
PROMISES = (408, 421, 429, 503)

# the bounds of the small sites, in microseconds where they are times; a log's `begun` row may say others
BOUNDS = dict(
    contact=3_000 * MS,
    drain=3_000 * MS,
    grace=8 * S,
    loss_slack=200 * MS,
    apply=2_000 * MS,
    revert=250 * MS,
    retry_ratio=0.2,
    retry_window=10 * S,
    retry_slack=52,
    recovery=12 * S,
    late=120 * MS,
    ack=4 * S,
)

PROCESS_ENDS = ("kill", "power", "term", "closing", "new")  # troubles that a process's next start ends


def covers(prefix: str, path: str) -> bool:
    """Whether a route's prefix begins a path.

    >>> covers("/a/", "/a/b"), covers("/a/", "/ab")
    (True, False)
    """
    return path.startswith(prefix)


def services(doc: dict[str, typing.Any], host: str, path: str) -> set[str | None]:
    """The services that a configuration lets a request go to; None stands for no route.

    >>> r = {platform_names.ROUTE["host"]: "h", platform_names.ROUTE["path"]: "/a/", platform_names.ROUTE["pool"]: "p"}
    >>> document = {platform_names.CONFIGURATION["routes"]: [r]}
    >>> services(document, "h", "/a/x"), services(document, "h", "/b")
    ({'p'}, {None})
    """
    w = platform_names.ROUTE
    fits = [
        r for r in doc[platform_names.CONFIGURATION["routes"]] if r[w["host"]] == host and covers(r[w["path"]], path)
    ]
    if not fits:
        return {None}
    r = max(fits, key=lambda r: len(r[w["path"]]))
    return {p[w["pool"]] for p in r[w["split"]] if p[w["weight"]]} if r.get(w["split"]) else {r[w["pool"]]}


def ended(open_rows: list[list[typing.Any]], what: str | None) -> list[typing.Any] | None:
    """Take out the trouble that a mend ends: the newest of its kind, or of a process's end where it names none.

    >>> rows = [[1, 99, "kill"], [2, 99, "cut"]]
    >>> ended(rows, None), ended(rows, "cut"), ended(rows, "cut")
    ([1, 99, 'kill'], [2, 99, 'cut'], None)
    """
    fitting = [row for row in open_rows if (row[2] == what if what else row[2] in PROCESS_ENDS)]
    if not fitting and not what:
        fitting = open_rows
    if not fitting:
        return None
    newest = fitting[-1]
    open_rows.remove(newest)
    return newest


class Log:
    """The rows of one run, by kind and by try."""

    def __init__(self, rows: list[dict[str, typing.Any]]) -> None:
        self.rows = rows
        self.kinds: collections.defaultdict[str, list[dict[str, typing.Any]]] = collections.defaultdict(list)
        for r in rows:
            self.kinds[r["kind"]].append(r)
        begun = (self.kinds["begun"] or [{}])[0]
        self.bounds = {**BOUNDS, **begun.get("bounds", {})}
        self.started_at = begun.get("at", 0)
        self.attempts = {r["attempt"]: r for r in self.kinds["tried"]}
        # request -> its tries
        self.asked: collections.defaultdict[str, list[dict[str, typing.Any]]] = collections.defaultdict(list)
        for t in self.kinds["tried"]:
            self.asked[t["request"]].append(t)
        self.arrived, self.runs, self.ends = (collections.defaultdict(list) for _ in range(3))
        for kind, into in (("arrived", self.arrived), ("run", self.runs), ("ran", self.ends)):
            for r in self.kinds[kind]:
                into[r["attempt"]].append(r)
        self.seals = {r["seal"]: r for r in self.kinds["run"]}
        self.ended = {r["seal"]: r for r in self.kinds["ran"]}
        self.core = {n for n, m in begun.get("machines", {}).items() if m["role"] == "core"}
        self.core |= {r["name"] for r in self.kinds["machine"] if r["role"] == "core"}
        # machine -> [begin, end, what]
        self.troubles: collections.defaultdict[str, list[list[typing.Any]]] = collections.defaultdict(list)
        self.core_events, open_ = [], collections.defaultdict(list)
        end = rows[-1]["at"] if rows else 0
        for r in rows:
            match r["kind"]:
                case "trouble":
                    row = [r["at"], end + 1, r["what"]]
                    open_[r["name"]].append(row)
                    self.troubles[r["name"]].append(row)
                case "mend":
                    row = ended(open_[r["name"]], r.get("what"))
                    if row is not None:
                        row[1] = r["at"]
            if r["kind"] in ("trouble", "mend") and r["name"] in self.core:
                self.core_events.append(r["at"])
        self.configs = self.read_configs()

    def read_configs(self) -> list[dict[str, typing.Any]]:
        """Each configuration sent, by version and content: its document, when sent, and what was said of it."""
        out = {
            r["send"]: dict(
                version=r["version"],
                base=r["base"],
                doc=r["doc"],
                valid=r["valid"],
                sent=r["at"],
                code=None,
                answered=None,
            )
            for r in self.kinds["config_sent"]
        }
        for r in reversed(self.kinds["acknowledgement_lost"]):
            out[r["send"]]["acknowledged"] = r["at"]
        for r in self.kinds["config_answer"]:
            out[r["send"]].update(code=r["code"], answered=r["at"])
        return list(out.values())

    def acked(self) -> list[dict[str, typing.Any]]:
        """The acknowledged configurations, the oldest first."""
        return sorted((c for c in self.configs if c["code"] == 200), key=lambda c: c["answered"])

    def is_faulted(self, name: str, begin: int, end: int) -> bool:
        """Whether a machine had trouble in a span."""
        return any(a <= end and b >= begin for a, b, _ in self.troubles[name])

    def settled(self, at: int) -> bool:
        """Whether the core was settled through the contact time before a moment."""
        since = at - self.bounds["contact"]
        if any(since <= t <= at for t in self.core_events):
            return False
        gone = {
            c
            for c in self.core
            if any(what in ("gone", "term") and a <= since and b >= at for a, b, what in self.troubles[c])
        }
        down = sum(self.is_faulted(c, since, at) for c in self.core - gone)
        return not self.core or 2 * (len(self.core) - len(gone) - down) > len(self.core) - len(gone)

    def in_touch(self, name: str, at: int) -> bool:
        """Whether a machine is bound by rules with a time bound."""
        return not self.is_faulted(name, at - self.bounds["contact"], at) and self.settled(at)


def mixed(log: Log) -> collections.abc.Iterator[str]:
    """Answers that are another's, are not the worker's, or lack its seal."""
    for t in log.kinds["tried"]:
        name = t["attempt"]
        if t["how"] == "garbage" and not any(e["how"] in ("garble", "broke", "lost") for e in log.ends[name]):
            yield f"try {name} got bytes that are no answer"
        if not 200 <= t["code"] < 300:
            continue
        own = {r["seal"] for r in log.runs[name]}
        if t["seal"] is None or t["seal"] not in log.seals:
            yield f"try {name} got a success without a worker's seal"
        elif t["seal"] not in own:
            yield f"try {name} got the seal of another's run"
        if t["echo"] not in (None, name):
            yield f"try {name} got the answer of {t['echo']}"
        if any(e[4] != name for e in t["events"]) or any(e[1] not in own for e in t["events"]):
            yield f"try {name} got events of another request"
        if t["bad_events"] or t["encoding"]:
            yield f"try {name} got bytes that are not the worker's body"
        if (
            t["how"] == "whole"
            and not t["stream"]
            and t["seal"] in log.ended
            and log.ended[t["seal"]]["body"] != t["got"]
        ):
            yield f"try {name} got another body than the worker gave"
    for r in log.kinds["stray"]:
        yield f"client {r['client']} got bytes that it did not ask for from {r['node']}"


def unasked(log: Log) -> collections.abc.Iterator[str]:
    """Runs that nobody asked for, or asked for otherwise."""
    for r in log.kinds["arrived"]:
        if r["verdict"]:
            continue
        t = log.attempts.get(r["attempt"])
        if t is None:
            if r["at"] < log.rows[-1]["at"] - S:
                yield f"worker {r['worker']} got {r['attempt']}, which no client sent"
            continue
        if (r["method"], r["url"], r["body"]) != (t["method"], t["url"], t["body"]):
            yield f"worker {r['worker']} got {r['attempt']} changed"
    for _ in log.kinds["bad_request"]:
        yield "a worker got bytes that are no request"


def twice(log: Log) -> collections.abc.Iterator[str]:
    """Requests that must not be repeated and ran more than once."""
    for name, t in log.attempts.items():
        if not t["repeat"] and len(log.runs[name]) > 1:
            yield f"try {name} ran {len(log.runs[name])} times"


def refused(log: Log) -> collections.abc.Iterator[str]:
    """Promises that a request has not run, though it has."""
    for name, t in log.attempts.items():
        if not t["repeat"] and t["code"] in PROMISES and log.runs[name]:
            yield f"try {name} got {t['code']}, and ran"


def denied(log: Log) -> collections.abc.Iterator[str]:
    """Proper requests that machines in touch refused for good."""
    bad = []
    for name, t in log.attempts.items():
        own = 300 <= t["code"] < 500 and t["code"] not in (408, 421, 429) and not log.arrived[name]
        if (
            own
            and not t["direct"]
            and log.in_touch(t["node"], t["done"])
            and all(services(c["doc"], t["host"], t["url"]) != {None} for c in in_force(log, t))
        ):
            bad.append(name)
    if len(bad) > 5 + len(log.attempts) / 500:
        yield f"{len(bad)} proper requests were denied, as {bad[0]} with {log.attempts[bad[0]]['code']}"


def in_force(log: Log, t: dict[str, typing.Any]) -> list[dict[str, typing.Any]]:
    """The configurations that may be in force for a try: the newest that must be, and all later ones that may be."""
    must = [c for c in log.acked() if c["answered"] + log.bounds["apply"] < t["sent"]]
    floor = max((c["version"] for c in must), default=0)
    return [
        c
        for c in log.configs
        if c["version"] >= floor and c["sent"] <= t["done"] and c["valid"] and c["code"] in (200, 0, None)
    ]


def outcome(log: Log, t: dict[str, typing.Any]) -> str | None:
    """What a try shows of the configuration: a service, None for a 404 of ours, or "" where it shows nothing."""
    ran = [r["pool"] for r in log.arrived[t["attempt"]] if not r["verdict"]]
    if ran:
        return ran[0]
    return None if t["code"] == 404 and t["how"] == "whole" else ""


def route(log: Log) -> collections.abc.Iterator[str]:
    """Runs at a service that no configuration ever sent allows."""
    for r in log.kinds["run"]:
        t = log.attempts.get(r["attempt"])
        if t is not None and not any(
            r["pool"] in services(c["doc"], t["host"], t["url"]) for c in log.configs if c["sent"] <= r["at"]
        ):
            yield f"service {r['pool']} ran {r['attempt']}, which no configuration lets go there"


def drain(log: Log) -> collections.abc.Iterator[str]:
    """Requests that reached a leaving worker too late."""
    shown = {}
    for r in log.kinds["listed"]:
        if r["state"] in (platform_names.TERMS["draining"], "gone"):
            shown.setdefault(r["worker"], r["seen"])
    for r in log.kinds["arrived"]:
        seen = shown.get(r["worker"])
        t = log.attempts.get(r["attempt"])
        if r["verdict"] == 421 or seen is None or t is None or r["at"] <= seen + log.bounds["drain"]:
            continue
        if log.in_touch(t["node"], r["at"]) and not log.is_faulted(t["node"], seen, r["at"]):
            after = (r["at"] - seen) // MS
            yield f"{r['attempt']} reached worker {r['worker']} {after} ms after it was shown as leaving"


def lost(log: Log) -> collections.abc.Iterator[str]:
    """Requests read and never answered, round planned work."""
    b = log.bounds
    terms = collections.defaultdict(list)
    for r in log.kinds["term"]:
        terms[r["name"]].append(r["at"])
    for name, t in log.attempts.items():
        if t["how"] != "closed" or t["done"] >= t["until"]:
            continue
        went_on = any(not r["verdict"] for r in log.arrived[name])
        if not went_on and t["done"] - t["sent"] <= b["loss_slack"]:
            continue
        if any(e["how"] in ("broke", "lost", "expired", "garble") for e in log.ends[name]):
            continue
        for at in terms[t["node"]]:
            if not at <= t["done"] <= at + b["grace"] + S:
                continue
            others = [
                x
                for x in log.troubles[t["node"]]
                if x[2] != "term" and x[0] <= t["done"] and x[1] >= t["sent"] - b["contact"]
            ]
            at_work = any(e["at"] > at + b["grace"] // 2 for e in log.ends[name])
            if not others and not at_work:
                yield f"try {name} was cut off {(t['done'] - at) // MS} ms after {t['node']} was told to end"


def config(log: Log) -> collections.abc.Iterator[str]:
    """Configurations handled wrongly: late, slipped back, not to be in force, or not read back."""
    acked = log.acked()
    for c in acked:
        if not c["valid"]:
            yield f"version {c['version']} is invalid, and was acknowledged"
    for base in {c["base"] for c in acked}:
        rivals = {json.dumps(c["doc"], sort_keys=True) for c in acked if c["base"] == base}
        if len(rivals) > 1:
            yield f"{len(rivals)} changes on top of version {base} were acknowledged"
    never = [c for c in log.configs if c["code"] not in (200, 0, None) or not c["valid"]]
    may = [c for c in log.configs if c["valid"] and c["code"] in (200, 0, None)]
    seen = collections.defaultdict(list)  # machine -> (when, version whose effect it showed)
    for t in sorted(log.attempts.values(), key=lambda t: t["sent"]):
        got = outcome(log, t)
        if got == "":
            continue
        fits = [c for c in may if c["sent"] <= t["done"] and got in services(c["doc"], t["host"], t["url"])]
        name = t["attempt"]
        if not fits:
            if any(got in services(c["doc"], t["host"], t["url"]) for c in never if c["sent"] <= t["done"]):
                yield f"try {name} was handled as only a configuration that was refused allows"
            continue
        newest = max(c["version"] for c in fits)
        must = [c["version"] for c in acked if c["answered"] + log.bounds["apply"] < t["sent"]]
        if must and newest < max(must) and log.in_touch(t["node"], t["done"]):
            yield (
                f"try {name} at {t['node']} was handled as only version {newest} or older allows, "
                f"{max(must)} being in force"
            )
        incarnations = [b for _, b, what in log.troubles[t["node"]] if b <= t["sent"]]
        slack = log.bounds["revert"] * (
            8 if log.is_faulted(t["node"], t["sent"] - log.bounds["contact"], t["sent"]) else 1
        )
        floor = max(
            (v for at, v in seen[t["node"]] if at + slack < t["sent"] and at > max(incarnations, default=-1)), default=0
        )
        if newest < floor:
            yield f"try {name}: {t['node']} went back from version {floor} to {newest}"
        if got is not None:
            seen[t["node"]].append((t["done"], min(c["version"] for c in fits)))
    reads = log.kinds["config_read"]
    if acked and log.kinds["ended"]:
        newest = max(acked, key=lambda c: c["version"])
        if not reads or reads[-1]["doc"] is None:
            yield "the configuration did not come when read back"
        else:
            doc = reads[-1]["doc"]
            version = doc.get(platform_names.CONFIGURATION["version"])
            sent = [c for c in log.configs if c["version"] == version and c["valid"]]
            if version < newest["version"]:
                yield f"version {version} was read back, though {newest['version']} was acknowledged"
            elif not any(same(doc, c["doc"]) for c in sent):
                yield f"what was read back as version {version} is not what was sent"


def same(a: dict[str, typing.Any], b: dict[str, typing.Any]) -> bool:
    """Whether two configurations say the same, whatever the order of their items.

    >>> same({"routes": [{"name": "a"}, {"name": "b"}]}, {"routes": [{"name": "b"}, {"name": "a"}]})
    True
    """

    def plain(doc: dict[str, typing.Any]) -> dict[str, typing.Any]:
        return {
            k: sorted(v, key=lambda x: json.dumps(x, sort_keys=True)) if isinstance(v, list) else v
            for k, v in doc.items()
        }

    return plain(a) == plain(b)


def acks(log: Log) -> collections.abc.Iterator[str]:
    """Proper configurations that were not acknowledged in time although the core was settled."""
    for c in log.configs:
        if not c["valid"] or c["code"] not in (200, 0, None):
            continue
        routes = len(c["doc"][platform_names.CONFIGURATION["routes"]])
        bound = log.bounds["ack"] + 3 * MS * routes
        end = c["answered"] if c["answered"] is not None else log.rows[-1]["at"]
        end = c.get("acknowledged", end)  # the first acknowledgement was lost on its way to the operator
        begin = max([c["sent"], log.started_at, *[t for t in log.core_events if t < end]])
        late = c["code"] != 200 and "acknowledged" not in c or end - begin > bound
        if late and end - begin > bound and log.settled(end):
            yield f"version {c['version']} was not acknowledged for {(end - begin) // MS} ms"


def budget(log: Log) -> collections.abc.Iterator[str]:
    """More arrivals past the first than the budget of a service allows in a window."""
    b = log.bounds
    pools = collections.defaultdict(lambda: ([], []))
    for name, t in log.attempts.items():
        rows = sorted(log.arrived[name], key=lambda r: r["at"])
        if not rows:  # a request that did not arrive is one for its route's services
            for pool in {p for c in in_force(log, t)[-1:] for p in services(c["doc"], t["host"], t["url"]) if p}:
                pools[pool][0].append(t["sent"])
            continue
        pools[rows[0]["pool"]][0].append(t["sent"])
        for r in rows[1:]:
            pools[r["pool"]][1].append(r["at"])
    window = b["retry_window"]
    for pool, (firsts, more) in sorted(pools.items()):
        firsts.sort()
        more.sort()

        def count(begin: int, end: int) -> int:
            return bisect.bisect_right(firsts, end) - bisect.bisect_left(firsts, begin)

        for k, at in enumerate(more):
            begin = at - window
            n = k + 1 - bisect.bisect_left(more, begin)
            asked = max(count(begin - back, at - back) for back in (0, window // 2, window))
            if n > b["retry_ratio"] * asked + b["retry_slack"]:
                yield f"service {pool} got {n} repeats of {asked} requests in the window that ends at {at / S:.1f} s"
                break


def order(log: Log) -> collections.abc.Iterator[str]:
    """Streams with a piece missing or doubled, joined from two runs, or ended early."""
    for name, t in log.attempts.items():
        if not t["stream"] or not 200 <= t["code"] < 300:
            continue
        ids = [e[0] for e in t["events"]]
        begin = t["after"] + 1
        if ids != list(range(begin, begin + len(ids))):
            yield f"try {name} got events {ids}, beginning after {t['after']}"
            continue
        over = any(e[0] == t["after"] and e[3] for x in log.asked[t["request"]] for e in x["events"])
        if t["how"] == "whole" and not (t["events"][-1][3] if t["events"] else over):
            yield f"try {name} ended as whole ahead of its last event"
        if t["how"] == "whole" and t["rest"]:
            yield f"try {name} ended as whole within an event"
        for a, b in zip(t["events"], t["events"][1:], strict=False):
            if a[1] != b[1]:
                run = log.seals.get(b[1])
                if not t["repeat"] or run is None or run["after"] != str(a[0]):
                    yield f"try {name} joins two runs after event {a[0]}"


def recover(log: Log) -> collections.abc.Iterator[str]:
    """Service does not come back after the closing fault."""
    for r in log.kinds["closing"]:
        done = [a for a in log.kinds["answered"]]
        before = [a for a in done if a["at"] < r["at"]]
        after = [a for a in done if a["began"] > r["back"] + log.bounds["recovery"]]
        if (
            before
            and 4 * sum(a["ok"] for a in before) >= len(before)
            and after
            and 4 * sum(a["ok"] for a in after) < len(after)
        ):
            yield f"{sum(a['ok'] for a in after)} of {len(after)} were served after the closing fault"


def linearizable(log: Log) -> collections.abc.Iterator[str]:
    """Operators' calls and reads that no order explains."""
    yield from history.complaints(log.rows)


RULES = dict(
    mixed=mixed,
    unasked=unasked,
    twice=twice,
    refused=refused,
    denied=denied,
    route=route,
    drain=drain,
    lost=lost,
    config=config,
    linearizable=linearizable,
    acks=acks,
    budget=budget,
    order=order,
    recover=recover,
)


def examine(rows: list[dict[str, typing.Any]]) -> dict[str, list[str]]:
    """Complaints by rule; rules without one are left out.

    >>> examine([])
    {}
    """
    log = Log(rows)
    found = {name: list(f(log)) for name, f in RULES.items()}
    return {name: lines for name, lines in found.items() if lines}


def earned_value(
    rows: list[dict[str, typing.Any]], kinds: dict[str, tuple[int, int, float, float]], window: int = 2 * S
) -> dict[str, dict[str, float]]:
    """What was earned: shares of requests in aim, late and not served, and of worth, in all and by kind.

    `kinds` is kind -> (aim in us, longest pause in us, worth, late worth).

    >>> earned_value([], {})["all"]["asked"]
    0
    """
    log = Log(rows)
    attempts = log.asked
    firsts = collections.defaultdict(list)
    totals = collections.defaultdict(lambda: dict(asked=0, in_aim=0, late=0, none=0, earned=0.0, owed=0.0))
    spans = collections.defaultdict(lambda: [0.0, 0.0])
    for r in log.kinds["answered"]:
        if r["sort"] not in kinds or r["began"] < log.started_at:
            continue
        aim, pause, full, half = kinds[r["sort"]]
        last = attempts[r["request"]][-1] if attempts[r["request"]] else None
        earned, state = 0.0, "none"
        if r["ok"] and last is not None:
            state, earned = ("in_aim", full) if in_time(log, r, attempts[r["request"]], aim, pause) else ("late", half)
        for name in ("all", r["sort"], f"zone {r['zone']}"):
            row = totals[name]
            row["asked"] += 1
            row[state] += 1
            row["earned"] += earned
            row["owed"] += full
        if state != "none":
            firsts[r["sort"]].append(first_event(attempts[r["request"]]) - r["began"])
        spans[r["began"] // window][0] += earned
        spans[r["began"] // window][1] += full
    totals["all"]
    worst = sorted(e / o for e, o in spans.values() if o)[:2]
    out = {name: {**row, "worth": row["earned"] / row["owed"] if row["owed"] else 0.0} for name, row in totals.items()}
    out["all"]["worst_windows"] = worst
    for name, took in firsts.items():
        took.sort()
        out[name].update(p50_ms=took[len(took) // 2] / MS, p99_ms=took[len(took) * 99 // 100] / MS)
    return out


def first_event(attempts: list[dict[str, typing.Any]]) -> int:
    """When the first event of a served request came, or its whole answer.

    >>> first_event([dict(events=[], done=7)])
    7
    """
    return next((e[2] for t in attempts for e in t["events"]), attempts[-1]["done"])


def in_time(log: Log, r: dict[str, typing.Any], attempts: list[dict[str, typing.Any]], aim: int, pause: int) -> bool:
    """Whether a served request was inside its aim, without a long pause, each event passed on at once."""
    events = [e for t in attempts for e in t["events"]]
    if first_event(attempts) - r["began"] > aim:
        return False
    if any(b[2] - a[2] > pause for a, b in zip(events, events[1:], strict=False)):
        return False
    for e in events:
        made = log.ended.get(e[1], {}).get("times")
        begin = log.seals.get(e[1], {}).get("after")
        k = e[0] - 1 - (int(begin) if begin else 0)
        if made and 0 <= k < len(made) and e[2] - made[k] > log.bounds["late"]:
            return False
    return True


def main(*, log: str) -> typing.NoReturn:
    """Judge an event log.

    :param log: the log's file
    """
    with open(log) as f:
        found = examine([json.loads(line) for line in f])
    for name, lines in found.items():
        for line in lines:
            print(f"{name}: {line}")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    defopt.run(main)
