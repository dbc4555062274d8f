"""Judging an event log: the brief's twelve points, from what the outside saw.

The log holds what clients, workers, the platform and operators noted, never the
fleet's own counters. Each checker reads the rows and yields complaints.
"""

from __future__ import annotations

import bisect
import collections
import collections.abc
import json
import typing

import iriswheel.verification.history as history

SECOND = 1_000_000
NEVER = 1 << 62
LEARN_US = 3_600_000  # 3 s, and the platform's list is asked every half second
FORCE_US = 2_000_000
WAY_US = 500_000  # from a node's last look to the arrival at a worker, over a slow link too
INCARNATION_SLACK_US = 2_000_000
SWEEP_US = 5_000_000
BACK_US = 12_000_000
WINDOW_US = 10_000_000
LONG_FIRST_US = 1_000_000
SHORT_FIRST_US = 500_000
PAUSE_US = 1_000_000
CHANGE_US = 5_000_000  # an operator's change, from wish to acknowledgement
HELD_US = 500_000  # a refusal may come this long after the pool's wait is over
# what a small fault may do to others than those who were at it
ROLE_US = 4_000_000  # a pool's pool owner or a copy is lost: others may start late this long
DARK_US = 3_000_000  # a worker is lost without a word: others may start late this long
REJOIN_US = 2_000_000  # a node that was frozen, cut or started again comes back within this


class DamagedLogError(ValueError):
    """The log can't be read; the text says where.

    >>> DamagedLogError("line 3").code
    'damaged_log'
    """

    code = "damaged_log"


def read(lines: list[str] | typing.TextIO) -> tuple[list[dict[str, typing.Any]], bool]:
    """The rows of a log, in time order, and whether it was cut short.

    >>> read(['{"at": 1, "kind": "sent"}', '{"at": 2, "ki'])
    ([{'at': 1, 'kind': 'sent'}], True)
    >>> read(['{"at": 1}', '{"at": 2, "kind": "sent"}'])
    Traceback (most recent call last):
    ...
    iriswheel.verification.replay.DamagedLogError: line 1 is no event
    """
    rows, cut = [], False
    lines = list(lines)
    for k, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            row = json.loads(line)
            if type(row["at"]) is not int or type(row["kind"]) is not str:
                raise ValueError
        except (ValueError, KeyError, TypeError):
            if k == len(lines):
                cut = True
                break
            raise DamagedLogError(f"line {k} is no event") from None
        rows.append(row)
    rows.sort(key=lambda r: r["at"])
    return rows, cut


class Fault:
    """A fault: from when to when, and whom it touches.

    A row of kind "fault" begins it, a row of kind "mend" for the same target (or for
    "all") ends it. `role` says what the target is, `addr` where clients reach it,
    `role` whether it was a pool's pool owner or kept its copies, `large` whether the
    brief's twelve seconds hold.

    >>> f = Fault({"at": 5, "what": "kill", "target": "n1", "role": "node", "addr": "h:1"}, 9)
    >>> f.during(8, 12), f.during(10, 12), f.during(10, 12, after=2)
    (True, False, True)
    """

    def __init__(self, row: dict[str, typing.Any], end: int) -> None:
        self.at, self.end = row["at"], end
        self.what, self.target = row["what"], row["target"]
        self.role, self.address = row.get("role", ""), row.get("addr", "")
        self.assignment, self.large = row.get("duty", False), row.get("large", False)

    def during(self, a: int, b: int, after: int = 0) -> bool:
        """Whether the span from a to b touches this fault, or the time after it.

        >>> Fault({"at": 5, "what": "kill", "target": "n1"}, 9).during(0, 4)
        False
        """
        return a <= self.end + after and b >= self.at


class EventLog:
    """The rows, indexed for the checkers.

    >>> EventLog([{"at": 1, "kind": "asked"}]).of("asked")
    [{'at': 1, 'kind': 'asked'}]
    """

    def __init__(self, rows: list[dict[str, typing.Any]]) -> None:
        self.rows = rows
        self.looked: collections.Counter[str] = collections.Counter()  # checker -> rows that it judged
        self.talks = self.demand = None  # made when first asked for
        self.kinds: collections.defaultdict[str, list[dict[str, typing.Any]]] = collections.defaultdict(list)
        for r in rows:
            self.kinds[r["kind"]].append(r)
        self.end = rows[-1]["at"] if rows else 0
        self.sent = {(r["exchange"], r["send"]): r for r in self.of("sent")}
        self.asked = {**{(r["exchange"], 0): r for r in self.of("probe")}, **self.sent}  # probes too
        self.idempotent = {r["exchange"]: r["repeat"] for r in self.of("sent")}
        self.runs: dict[tuple[str, int], dict[str, typing.Any]] = {}
        for r in self.of("run"):
            self.runs.setdefault((r["exchange"], r["send"]), r)
        self.over = {r["run"]: r["at"] for kind in ("ran", "cut") for r in self.of(kind)}
        self.listed: collections.defaultdict[str, list[dict[str, typing.Any]]] = collections.defaultdict(list)
        self.pool: dict[str, str] = {}
        for r in self.of("listed"):
            self.listed[r["worker"]].append(r)
            if r["pool"]:
                self.pool[r["worker"]] = r["pool"]
        self.faults: list[Fault] = []
        for f in self.of("fault"):
            ends = [m["at"] for m in self.of("mend") if m["at"] > f["at"] and m["target"] in (f["target"], "all")]
            self.faults.append(Fault(f, ends[0] if ends else NEVER))
        self.zones: dict[str, str] = {}  # a node's door -> its zone
        for r in self.of("begun") + self.of("moved"):
            self.zones.update(r.get("zones", {}))
        self.documents = self._docs()

    def _docs(self) -> list[tuple[int, int, dict[str, dict[typing.Any, typing.Any]]]]:
        """The configurations that may have been in force: (from, until, document), by time."""
        first, acked = {}, {}
        for r in self.of("confirm_sent"):
            first.setdefault(r["plan"], r)
        for r in self.of("confirmed"):
            acked.setdefault(r["plan"], r)
        out = []
        for plan, r in first.items():
            version = acked[plan]["stamp"] if plan in acked else r["base"]
            later = [a["at"] for p, a in acked.items() if p != plan and a["stamp"] > version]
            out.append((r["at"], min(later) + FORCE_US if later else NEVER, r["blueprint"]))
        return out

    def of(self, kind: str) -> list[dict[str, typing.Any]]:
        """The rows of one kind.

        >>> EventLog([]).of("run")
        []
        """
        return self.kinds.get(kind, [])

    def applied_by_all(self, a: int, b: int) -> list[dict[str, dict[str, dict[typing.Any, typing.Any]]]]:
        """The configurations of which a node may go by one between two times.

        >>> EventLog([]).applied_by_all(0, 5)
        []
        """
        return [document for since, until, document in self.documents if since <= b and a <= until]

    def at_fault(self, a: int, b: int, node: str | None = None, worker: str | None = None) -> bool:
        """Whether a request at a node, on a worker, met a fault of one of them, or a large one.

        >>> log = EventLog([{"at": 5, "kind": "fault", "what": "kill", "target": "w1", "role": "worker"}])
        >>> log.at_fault(6, 7, worker="w1"), log.at_fault(6, 7, worker="w2")
        (True, False)
        """
        for f in self.faults:
            if f.large and a <= f.at + BACK_US and b >= f.at:
                return True
            if f.role == "node" and f.address == node and f.during(a, b, REJOIN_US):
                return True
            if f.role == "worker" and f.target == worker and f.during(a, b, SECOND):
                return True
            if f.role == "link" and f.address == node and a <= f.at <= b:
                return True  # it was under way when the link broke
        return any(r["state"] != "ready" and a <= r["at"] <= b for r in self.listed.get(worker, []))

    def delayed(self, a: int, b: int) -> bool:
        """Whether a small fault elsewhere may have made a request start late.

        >>> log = EventLog([{"at": 5, "kind": "fault", "what": "kill", "target": "n1", "role": "node", "duty": True}])
        >>> log.delayed(6, 7), log.delayed(6 * SECOND, 7 * SECOND)
        (True, False)
        """
        for f in self.faults:
            slow = f.what in ("slow", "lossy", "flap") and f.end != NEVER
            if f.role == "link" and a <= f.at + DARK_US and b >= f.at:
                return True
            if f.assignment and a <= (f.end if slow else f.at) + ROLE_US and b >= f.at:
                return True
            if f.role == "worker" and f.what not in ("kill", "sick") and a <= f.at + DARK_US and b >= f.at:
                return True
        return False

    def state(self, worker: str, at: int) -> tuple[str, int]:
        """How the platform listed a worker at a time, and since when.

        >>> EventLog([]).state("w1", 5)
        ('gone', 0)
        """
        got = ("gone", 0)
        for r in self.listed.get(worker, []):
            if r["at"] > at:
                break
            got = (r["state"], r["at"] if r["state"] != got[0] else got[1])
        return got

    def ready(self, pool: str, a: int, b: int) -> list[str]:
        """The workers of a pool that were listed as ready, and at no fault, from a to b.

        >>> EventLog([{"at": 1, "kind": "listed", "worker": "w1", "state": "ready", "pool": "p"}]).ready("p", 5, 6)
        ['w1']
        """
        return [
            w
            for w, p in sorted(self.pool.items())
            if p == pool
            and self.state(w, a)[0] == "ready"
            and not any(a < r["at"] <= b for r in self.listed[w])
            and not any(f.target == w and f.during(a, b, DARK_US) for f in self.faults)
        ]

    def crowded(
        self, pool: str, a: int, b: int, long: bool, documents: list[dict[str, dict[str, dict[typing.Any, typing.Any]]]]
    ) -> bool:
        """Whether at some time from a to b all voters that the pool's ready workers have were taken."""
        ws = set(self.ready(pool, a, b))
        if not ws:
            return True
        slots = min(
            [
                document["pools"][pool].get("long_slots", 4) if long else document["pools"][pool].get("slots", 16)
                for document in documents
                if pool in document["pools"]
            ],
            default=0,
        )
        steps = []
        for r in self.of("run"):
            sort = self.sent.get((r["exchange"], r["send"]), {}).get("sort")
            end = self.over.get(r["run"], NEVER)
            if r["worker"] in ws and (not long or sort == "long") and end >= a and r["at"] <= b:
                steps += [(max(a, r["at"]), 1), (end, -1)]
        n = most = 0
        for at, step in sorted(steps):
            if at > b:
                break
            n += step
            most = max(most, n)
        return most >= 0.9 * slots * len(ws)


def resolve(document: dict[str, dict[str, dict[str, typing.Any]]], path: str, zone: str) -> str | None:
    """The pool to which a configuration sends a path in a zone, or None.

    >>> resolve({"routes": {"r": {"path": "/v1", "pool": "p", "zones": ["a"]}}}, "/v1/x", "a")
    'p'
    >>> resolve({"routes": {"r": {"path": "/v1", "pool": "p", "zones": ["a"]}}}, "/v1/x", "b") is None
    True
    """
    fits = [
        r
        for r in document.get("routes", {}).values()
        if path == r["path"] or path.startswith(r["path"].rstrip("/") + "/")
    ]
    fits = [r for r in fits if not r.get("zones") or zone in r["zones"]]
    return max(fits, key=lambda r: (len(r["path"]), bool(r.get("zones"))))["pool"] if fits else None


def events(text: str) -> list[dict[str, typing.Any]] | None:
    r"""The events of an answer, as documents; None where it is not whole and in order.

    >>> events('data: {"k": 0, "of": 1}\n\ndata: [DONE]\n\n')
    [{'k': 0, 'of': 1}]
    >>> events('data: {"k": 1, "of": 2}\n\ndata: [DONE]\n\n') is None
    True
    """
    parts = text.split("\n\n")
    if parts[-1] != "" or len(parts) < 3 or parts[-2] != "data: [DONE]":
        return None
    try:
        documents = [json.loads(p[6:]) for p in parts[:-2]]
    except ValueError:
        return None
    if [d.get("k") for d in documents] != list(range(documents[0].get("of", -1))):
        return None
    return documents


def once(log: EventLog) -> collections.abc.Iterator[str]:
    """1: what may not be repeated runs once; no answer has gaps, doubles or splices."""
    runs = collections.Counter(r["exchange"] for r in log.of("run") if r["exchange"])
    log.looked["once"] += sum(1 for i in runs if log.idempotent.get(i) is False)
    for identifier, n in sorted(runs.items()):
        if n > 1 and log.idempotent.get(identifier) is False:
            yield f"{identifier} may not be repeated and ran {n} times"
    for r in log.of("whole"):
        documents = events(r["text"])
        if documents is None:
            yield f"{r['exchange']}: the answer has a gap or a double"
        elif len({d["run"] for d in documents}) != 1:
            yield f"{r['exchange']}: the answer is spliced from {sorted({d['run'] for d in documents})}"


def not_run(log: EventLog) -> collections.abc.Iterator[str]:
    """2: a refusal that says "not run" is true, then and later."""
    runs = {(r["exchange"], r["send"]) for r in log.of("run")}
    for r in log.of("refused"):
        log.looked["not_run"] += r["verdict"] == "not_run"
        if r["verdict"] == "not_run" and (r["exchange"], r["send"]) in runs:
            yield f"{r['exchange']} send {r['send']} was refused as not run, and ran"


def own(log: EventLog) -> collections.abc.Iterator[str]:
    """3: an answer is the worker's own whole answer to this very request."""
    ran = {r["run"]: r for r in log.of("run")}
    whole = {r["run"] for r in log.of("ran")}
    for r in log.of("whole"):
        log.looked["own"] += 1
        documents = events(r["text"]) or []
        for d in documents[:1]:
            run = ran.get(d["run"])
            if d["exchange"] != r["exchange"] or run is None or run["exchange"] != r["exchange"]:
                yield f"{r['exchange']} got the answer to {d['exchange']}"
            elif run["worker"] != r["worker"]:
                yield f"{r['exchange']} ran on {run['worker']}, the answer names {r['worker']}"
            elif d["run"] not in whole:
                yield f"{r['exchange']}: run {d['run']} was never finished, the answer passed for whole"


def leaving(log: EventLog) -> collections.abc.Iterator[str]:
    """4: nothing reaches a worker more than about 3 s after it was listed as leaving or gone."""
    for r in log.of("run"):
        state, since = log.state(r["worker"], r["at"])
        log.looked["leaving"] += any(x["state"] != "ready" for x in log.listed.get(r["worker"], []))
        if state != "ready" and r["at"] - since > LEARN_US:
            yield f"{r['worker']} got {r['exchange']} {(r['at'] - since) / SECOND:.1f} s after it was {state}"


def in_force(log: EventLog) -> collections.abc.Iterator[str]:
    """5: a change is in force everywhere within 2 s of its acknowledgement, and never slips back.

    Each probe's and each request's way (the pool, or that no route is known) must be that of a
    configuration which could be in force at that node then: one not yet replaced for 2 s.
    """
    asked = [
        (r["at"], r["done"], r["node"], r["zone"], r["path"], r["exchange"], 0, r["status"] == 404)
        for r in log.of("probe")
    ]
    for kind in ("whole", "torn", "refused"):
        for r in log.of(kind):
            s = log.sent.get((r["exchange"], r["send"]))
            if s is not None and s.get("node") in log.zones:
                asked.append(
                    (
                        s["at"],
                        r["at"],
                        s["node"],
                        log.zones[s["node"]],
                        s["path"],
                        r["exchange"],
                        r["send"],
                        r.get("code") == "no_route",
                    )
                )
    for at, done, node, zone, path, identifier, send, unknown in asked:
        run = log.runs.get((identifier, send))
        if not unknown and run is None:
            continue
        log.looked["in_force"] += 1
        documents = log.applied_by_all(
            at, done if unknown else run["at"] - WAY_US if run["at"] - WAY_US > at else run["at"]
        )
        want = {resolve(document, path, zone) for document in documents}
        got = None if unknown else log.pool.get(run["worker"])
        if got not in want:
            yield f"{node} sent {path} to {got} at {at / SECOND:.1f} s; in force could be {sorted(map(str, want))}"


def kept(log: EventLog) -> collections.abc.Iterator[str]:
    """6: what was acknowledged is there when it is read back."""
    acked = log.of("confirmed")
    by_plan = {}
    for r in acked:
        if by_plan.setdefault(r["plan"], r["stamp"]) != r["stamp"]:
            yield f"plan {r['plan']} was acknowledged under two stamps"
    versions = collections.Counter({s: 0 for s in by_plan.values()})
    for s in by_plan.values():
        versions[s] += 1
        if versions[s] > 1:
            yield f"two plans were acknowledged under stamp {s}"
    log.looked["kept"] += len(log.of("read"))
    documents = {r["plan"]: r["blueprint"] for r in log.of("confirm_sent")}
    open_docs = [r["blueprint"] for r in log.of("confirm_sent") if r["plan"] not in by_plan]
    for r in log.of("read"):
        before = [a for a in acked if a["at"] < r["at"]]
        if not before:
            continue
        last = max(before, key=lambda a: a["stamp"])
        if r["stamp"] < last["stamp"]:
            yield f"read back at {r['stamp']}, though {last['stamp']} was acknowledged"
        elif r["stamp"] == last["stamp"] and not same(r["blueprint"], documents[last["plan"]]):
            yield f"read back at {r['stamp']} something else than was acknowledged"
        elif r["stamp"] > last["stamp"] and not any(
            same(r["blueprint"], d) for d in open_docs + list(documents.values())
        ):
            yield f"read back at {r['stamp']} something that nobody confirmed"
    if log.of("ended") and not log.of("read"):
        yield "the blueprint could not be read back at the day's end"


def same(one: dict[str, dict[str, dict[str, typing.Any]]], other: dict[str, dict[str, dict[str, typing.Any]]]) -> bool:
    """Whether two configurations say the same; empty sections don't count.

    >>> same({"pools": {}}, {})
    True
    """
    return {k: v for k, v in one.items() if v} == {k: v for k, v in other.items() if v}


def allowed(log: EventLog) -> collections.abc.Iterator[str]:
    """7: nothing goes to a pool that no configuration in force allows for its path."""
    for r in log.of("run"):
        sent = log.asked.get((r["exchange"], r["send"]))
        late = [f for f in log.faults if f.target == r["worker"] and f.during(r["at"] - SECOND, r["at"], SECOND)]
        since = sent["at"] if sent is not None and late else r["at"] - WAY_US  # a worker may wake long after
        documents = log.applied_by_all(since, r["at"])
        zones = set(log.zones.values()) or {""}
        log.looked["allowed"] += 1
        if log.pool.get(r["worker"]) not in {resolve(document, r["path"], z) for document in documents for z in zones}:
            yield f"{r['exchange']} on {r['path']} went to pool {log.pool.get(r['worker'])} at {r['at'] / SECOND:.1f} s"


def talks(log: EventLog) -> dict[tuple[str, str, str], list[dict[str, typing.Any]]]:
    """The runs of conversations, by pool and conversation: a list of two parts and more names one.

    In the order in which they were sent, and each send once: a worker that froze may run an
    request long after it was given up there and went elsewhere.
    """
    if log.talks is None:
        out = collections.defaultdict(list)
        for r in log.of("run"):
            if len(r["parts"]) > 1 and log.runs[(r["exchange"], r["send"])] is r:
                sent = log.sent.get((r["exchange"], r["send"]), r)
                out[(log.pool.get(r["worker"]), *r["parts"])].append((sent["at"], r["at"], r))
        log.talks = {name: [r for _, _, r in sorted(rs, key=lambda x: x[:2])] for name, rs in out.items()}
    return log.talks


def spans(log: EventLog, field: str, default: int, a: int, b: int) -> list[int]:
    """The values that a field of any terms may have between two times.

    >>> spans(EventLog([]), "lifetime_us", 60, 0, 5)
    [60]
    """
    values = {
        t.get(field, default) for document in log.applied_by_all(a, b) for t in document.get("terms", {}).values()
    }
    return sorted(values) or [default]


def pinned(log: EventLog) -> collections.abc.Iterator[str]:
    """8, the first half: a conversation stays on its worker while that is ready.

    Three nodes know a conversation from its first turn, a core's disk within a second: so
    one that is younger than that may be lost where three processes and more end at once.
    """
    ends = [f.at for f in log.faults if f.what.split()[0] in ("kill", "power") and f.role != "worker"]
    for name, runs in sorted(talks(log).items(), key=str):
        for a, b in zip(runs, runs[1:], strict=False):
            incarnation = spans(log, "lifetime_us", 60 * SECOND, a["at"], b["at"])[0]
            if b["at"] - a["at"] > incarnation - INCARNATION_SLACK_US:
                continue
            log.looked["pinned"] += 1
            if a["worker"] == b["worker"]:
                continue
            if any(a["at"] - SECOND <= r["at"] <= b["at"] for r in log.listed[a["worker"]]):
                continue
            if sum(a["at"] <= t <= a["at"] + SECOND for t in ends) >= 3:
                continue
            if log.state(a["worker"], a["at"])[0] != "ready":
                continue
            if any(f.target == a["worker"] and f.during(a["at"], b["at"], SECOND) for f in log.faults):
                continue
            yield f"conversation {name[-1]} moved from {a['worker']} to {b['worker']} at {b['at'] / SECOND:.1f} s"


def held(log: EventLog, at: int, slack: int) -> dict[str, set[tuple[str, str, str]]]:
    """The conversations that may be open at a time, by worker: those not silent for their lifetime and more.

    >>> held(EventLog([]), 5, 0)
    {}
    """
    out = collections.defaultdict(set)
    last = {}
    for name, runs in talks(log).items():
        for r in runs:
            if r["at"] <= at:
                last[name] = r
    for name, r in last.items():
        w = r["worker"]
        incarnation = spans(log, "lifetime_us", 60 * SECOND, r["at"], at)
        quiet = at - min(at, log.over.get(r["run"], r["at"]))
        if quiet > (incarnation[0] if slack < 0 else incarnation[-1]) + slack:
            continue
        if any(r["at"] < x["at"] <= at and x["state"] != "ready" for x in log.listed[w]):
            continue
        if slack < 0 and any(f.target == w and f.during(r["at"], at) for f in log.faults):
            continue
        out[w].add(name)
    return dict(out)


def unborn(log: EventLog, at: int) -> int:
    """Conversations that are being opened at a time, or that a node at fault may have opened, without a run so far.

    >>> unborn(EventLog([]), 5)
    0
    """
    ran = {(r["exchange"], r["send"]) for r in log.of("run") if r["at"] <= at}
    ends = {(r["exchange"], r["send"]): r["at"] for kind in ("lost", "torn", "refused", "whole") for r in log.of(kind)}
    return len(
        {
            tuple(s["parts"])
            for key, s in log.sent.items()
            if len(s["parts"]) > 1
            and key not in ran
            and s["at"] < at
            and (ends.get(key, NEVER) > at or log.at_fault(s["at"], ends[key], s.get("node")))
        }
    )


def capped(log: EventLog) -> collections.abc.Iterator[str]:
    """9: no worker holds more open conversations than allowed; one that left or crashed holds none.

    Judged where a conversation opens: a cap that is lowered closes nobody's.
    """
    for name, runs in sorted(talks(log).items(), key=str):
        for before, r in zip([None] + runs, runs, strict=False):
            fresh = before is None or before["worker"] != r["worker"] or r["at"] - before["at"] > SECOND
            if not fresh:
                continue
            documents = log.applied_by_all(r["at"] - WAY_US, r["at"])
            caps = [document["pools"][name[0]].get("cap", 10) for document in documents if name[0] in document["pools"]]
            if not caps or 0 in caps:
                continue
            if (
                before is not None
                and before["worker"] == r["worker"]
                and r["at"] - before["at"]
                < spans(log, "lifetime_us", 60 * SECOND, before["at"], r["at"])[-1] + SWEEP_US
            ):
                continue  # a later turn: nothing opens
            log.looked["capped"] += 1
            n = len(held(log, r["at"], -INCARNATION_SLACK_US).get(r["worker"], ()))
            if n > max(caps):
                yield f"{r['worker']} holds {n} open conversations at {r['at'] / SECOND:.1f} s, {max(caps)} are allowed"


def demand(log: EventLog, at: int) -> tuple[int, int]:
    """Repeats and requests in the ten seconds up to a time.

    >>> demand(EventLog([]), 5)
    (0, 0)
    """
    if log.demand is None:
        firsts = sorted(
            [*{r["exchange"]: r["at"] for r in reversed(log.of("sent"))}.values()]
            + [r["at"] for r in log.of("probe") if r["status"] != 404]
        )
        seen, repeats = set(), []
        for r in log.of("run"):
            if r["exchange"]:
                if r["exchange"] in seen or r["send"] > 1:
                    repeats.append(r["at"])
                seen.add(r["exchange"])
        log.demand = (repeats, firsts)
    return tuple(bisect.bisect_right(xs, at) - bisect.bisect_right(xs, at - WINDOW_US) for xs in log.demand)


def budget(log: EventLog) -> collections.abc.Iterator[str]:
    """10: retries stay within about a fifth of real demand over any ten seconds."""
    demand(log, 0)
    for at in log.demand[0]:
        n, d = demand(log, at)
        log.looked["budget"] += 1
        if n > 0.22 * d + 1:
            yield f"{n} repeats for {d} exchanges in the ten seconds up to {at / SECOND:.1f} s"


def refusal(log: EventLog, r: dict[str, typing.Any], sent: dict[str, typing.Any]) -> str | None:
    """Why a refusal turned a proper request away, or None where the log bears it out."""
    a, b, code = sent["at"], r["at"], r["code"]
    documents = log.applied_by_all(a, b)
    pools = {resolve(document, sent["path"], log.zones.get(sent.get("node"), "")) for document in documents}
    if code == "no_route":
        return None  # in_force judges it
    if code == "already_sent":
        if any(x["exchange"] == r["exchange"] for x in log.of("run")):
            return None
        attempts = [s for (i, k), s in log.sent.items() if i == r["exchange"] and k < r["send"]]
        if any(log.at_fault(s["at"], a, s.get("node")) for s in attempts):
            return None
        return "it reached no worker"
    if log.at_fault(a, b, sent.get("node"), log.runs.get((r["exchange"], r["send"]), {}).get("worker")):
        return None
    match code:
        case "retry_budget":
            if any(f.assignment and f.at <= b <= f.at + WINDOW_US + ROLE_US for f in log.faults):
                return None  # the tally of the lost node is lost with it
            n, d = demand(log, b)
            return f"{n} repeats for {d} exchanges" if r["send"] > 1 and n + 1 <= 0.15 * d else None
        case "sessions_full":
            for pool in pools:
                caps = [document["pools"][pool].get("cap", 10) for document in documents if pool in document["pools"]]
                open_now = held(log, b, SWEEP_US + INCARNATION_SLACK_US)
                free = [w for w in log.ready(pool, a, b) if len(open_now.get(w, ())) < min(caps, default=0)]
                capacity = sum(min(caps, default=0) - len(open_now.get(w, ())) for w in free)
                if capacity > unborn(log, b):
                    return f"{free[0]} holds {len(open_now.get(free[0], ()))} conversations"
            return None
        case "no_worker":
            ws = [w for pool in pools for w in log.ready(pool, a, b)]
            return f"{ws[0]} was ready" if ws else None
        case "busy":
            full = any(log.crowded(p, a, b, sent["sort"] == "long", documents) for p in pools if p)
            return None if full else "seats were free"
        case "worker_broke":
            w = log.runs.get((r["exchange"], r["send"]), {}).get("worker")
            if w is None and any(f.role == "worker" and f.during(a, b) for f in log.faults):
                return None  # it went to a worker that was gone
            return f"{w} was well" if w is None or not log.at_fault(a, b, worker=w) else None
        case _:
            return "no reason for it stands in the log"


def served(log: EventLog) -> collections.abc.Iterator[str]:
    """11: proper requests are not turned away by the kit itself; refusals come at once.

    Who is at a fault may suffer: clients of a dead, frozen or cut node, streams of a lost
    worker. After a large failure, everybody may for 12 s. Where a pool's pool owner or a copy is
    lost, others may start late for DUTY_US, but are not turned away.
    """
    for r in log.of("refused"):
        sent = log.sent.get((r["exchange"], r["send"]))
        if sent is None:
            continue
        log.looked["served"] += 1
        waits = [
            p.get("long_wait_us", 10 * SECOND) if sent["sort"] == "long" else p.get("short_wait_us", 5 * SECOND)
            for document in log.applied_by_all(sent["at"], r["at"])
            for p in document["pools"].values()
        ]
        hung = log.at_fault(
            sent["at"], r["at"], sent.get("node"), log.runs.get((r["exchange"], r["send"]), {}).get("worker")
        )
        if r.get("took", 0) > max(waits, default=10 * SECOND) + HELD_US and not hung:
            yield f"{r['exchange']} was refused only after {r['took'] / SECOND:.1f} s ({r['code']})"
        why = refusal(log, r, sent)
        if why is not None:
            at = sent["at"] / SECOND
            yield f"{r['exchange']} send {r['send']} was turned away ({r['code']}) at {at:.1f} s: {why}"
    for r in log.of("lost") + log.of("torn"):
        sent = log.sent.get((r["exchange"], r["send"]))
        if sent is None:
            continue
        log.looked["served"] += 1
        worker = log.runs.get((r["exchange"], r["send"]), {}).get("worker")
        if not log.at_fault(sent["at"], r["at"], sent.get("node"), worker):
            at = r["at"] / SECOND
            yield f"{r['exchange']} was {r['kind']} at {at:.1f} s, neither its node nor its worker at fault"
    for r in log.of("probe"):
        log.looked["served"] += 1
        if r["status"] not in (200, 404):
            why = refusal(log, {**r, "at": r["done"], "send": 0}, {**r, "sort": "short"})
            if why is not None:
                yield f"a probe at {r['node']} was turned away ({r['code']}) at {r['at'] / SECOND:.1f} s: {why}"
    for r in log.of("whole"):
        sent = log.sent[(r["exchange"], r["send"])]
        log.looked["served"] += 1
        bound = LONG_FIRST_US if sent["sort"] == "long" else SHORT_FIRST_US
        if r["first"] > bound:
            first = sent["at"] + r["first"]
            if not log.at_fault(sent["at"], first, sent.get("node"), r["worker"]) and not log.delayed(
                sent["at"], first
            ):
                run = log.runs.get((r["exchange"], r["send"]), {"at": first})
                documents = log.applied_by_all(sent["at"], first)
                pool = log.pool.get(r["worker"])
                if not log.crowded(pool, sent["at"], run["at"], sent["sort"] == "long", documents):
                    yield (
                        f"{r['exchange']} ({sent['sort']}) waited {r['first'] / SECOND:.2f} s for its first byte "
                        f"at {sent['at'] / SECOND:.1f} s ({(run['at'] - sent['at']) / SECOND:.2f} s of it for a worker)"
                    )
        if r["pause"] > PAUSE_US and not log.at_fault(sent["at"], r["at"], sent.get("node"), r["worker"]):
            yield f"{r['exchange']} paused for {r['pause'] / SECOND:.2f} s"


def answered(log: EventLog) -> collections.abc.Iterator[str]:
    """11, for bad input: a named 4xx with its verdict, never a hung connection or a dead process."""
    for r in log.of("rude"):
        log.looked["answered"] += 1
        if log.at_fault(r["at"] - 6 * SECOND, r["at"], r["host"]):
            continue
        if r["how"] == "reads slowly":
            if r["status"] != "200" or not r["text"].rstrip().endswith("0"):
                yield f"a requester that {r['how']} got {r['status']}: {r['text'][-40:]!r}"
        elif not r["status"].startswith("4") or '"verdict": "not_run"' not in r["text"]:
            yield f"a requester with {r['how']} got {r['status']!r}: {r['text'][-60:]!r}"


def back(log: EventLog) -> collections.abc.Iterator[str]:
    """12: within about 12 s after a large failure, service is back, and changes are taken.

    From then on `served` excuses nothing any more; here at least something must have come through.
    """
    acked = {(r["who"], r["probe"]): r["at"] for r in reversed(log.of("confirmed"))}
    core = [f for f in log.faults if f.role in ("core", "all", "") or f.large]
    for r in log.of("wanted"):
        until = r["at"] + CHANGE_US
        if until >= log.end or any(f.during(r["at"] - BACK_US, until) for f in core):
            continue
        log.looked["back"] += 1
        at = acked.get((r["who"], r["probe"]))
        if at is None or at > until:
            yield f"change {r['probe']}, wanted at {r['at'] / SECOND:.1f} s, was not acknowledged in time"
    whole = {(r["exchange"], r["send"]) for r in log.of("whole")}
    for f in log.faults:
        first = f.at + BACK_US
        if not f.large or any(f.at < g.at <= first + 5 * SECOND for g in log.faults) or first + 5 * SECOND > log.end:
            continue
        asked = [r for r in log.of("sent") if first <= r["at"] <= first + 5 * SECOND and r["send"] == 1]
        if not asked:
            continue
        log.looked["back"] += 1
        n = sum((r["exchange"], 1) in whole for r in asked)
        if n < 0.9 * len(asked):
            yield f"{f.what} of {f.target} at {f.at / SECOND:.1f} s: 12 s later only {n} of {len(asked)} came through"


def linearizable(log: EventLog) -> collections.abc.Iterator[str]:
    """6: one order of all operators' calls explains what each was told."""
    log.looked["linearizable"] += history.count(log.rows)
    yield from history.complaints(log.rows)


CHECKERS = [
    once,
    not_run,
    own,
    leaving,
    in_force,
    kept,
    linearizable,
    allowed,
    pinned,
    capped,
    budget,
    served,
    answered,
    back,
]


def examine(rows: list[dict[str, typing.Any]]) -> tuple[dict[str, list[str]], dict[str, int]]:
    """All complaints by checker, and how many rows each checker had to judge.

    >>> examine([])[1]["once"]
    0
    """
    log = EventLog(rows)
    found = {c.__name__: list(c(log)) for c in CHECKERS}
    return {name: lines for name, lines in found.items() if lines}, {
        c.__name__: log.looked[c.__name__] for c in CHECKERS
    }


def judge(rows: list[dict[str, typing.Any]]) -> dict[str, list[str]]:
    """All complaints, by checker.

    >>> judge([])
    {}
    """
    return examine(rows)[0]


def recovery(rows: list[dict[str, typing.Any]]) -> list[tuple[str, int, int, int]]:
    """For each fault: when the last first send was sent that failed before the next fault, and how many did.

    Rows of (fault, ms from the fault to that sending, failed, sent in the 12 s after the
    fault); refusals because of the cap are no failures.

    >>> recovery([{"at": 1, "kind": "fault", "what": "kill", "target": "n1", "large": False}])
    [('kill n1', 0, 0, 0)]
    """
    log = EventLog(rows)
    ends = [
        (r["at"], log.sent[(r["exchange"], 1)]["at"])
        for kind in ("refused", "torn", "lost")
        for r in log.of(kind)
        if r["send"] == 1 and r.get("code") != "sessions_full"
    ]
    faults = log.of("fault") + log.of("mend")
    faults.sort(key=lambda r: r["at"])
    out = []
    for f, following in zip(faults, faults[1:] + [{"at": log.end + 1}], strict=False):
        until = min(following["at"], f["at"] + BACK_US)
        n = sum(1 for r in log.of("sent") if r["send"] == 1 and f["at"] <= r["at"] < until)
        failed = [sent for end, sent in ends if f["at"] <= end < following["at"] and sent < until]
        out.append((f"{f['what']} {f['target']}", max([0] + [s - f["at"] for s in failed]) // 1000, len(failed), n))
    return out


def recovery_lines(rows: list[dict[str, typing.Any]]) -> list[str]:
    """The recoveries as lines to print.

    >>> recovery_lines([{"at": 1, "kind": "fault", "what": "kill", "target": "n1", "large": False}])
    ['recovery: kill n1: 0 first sends failed, the last one sent after 0 ms; 0 sent']
    """
    return [
        f"recovery: {fault}: {bad} first sends failed, the last one sent after {ms} ms; {n} sent"
        for fault, ms, bad, n in recovery(rows)
    ]
