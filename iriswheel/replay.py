"""Judging an event log: the brief's twelve points, from what the outside saw.

The log holds what requesters, workers, the platform and operators noted, never the
fleet's own counters. Each checker reads the rows and yields complaints.
"""

import bisect
import collections
import json

SECOND = 1_000_000
LEARN_US = 3_600_000  # 3 s, and the platform's list is asked every half second
FORCE_US = 2_000_000
LIFE_SLACK_US = 2_000_000
BACK_US = 12_000_000
WINDOW_US = 10_000_000
LONG_FIRST_US = 1_000_000
SHORT_FIRST_US = 500_000
PAUSE_US = 1_000_000
CHANGE_US = 5_000_000  # an operator's change, from wish to acknowledgement
AT_ONCE_US = 12_000_000  # no refusal is held back beyond the longest wait of any pool


class Damaged(ValueError):
    """The log can't be read; the text says where.

    >>> Damaged("line 3").code
    'damaged_log'
    """

    code = "damaged_log"


def read(lines):
    """The rows of a log, in time order, and whether it was cut short.

    >>> read(['{"at": 1, "kind": "sent"}', '{"at": 2, "ki'])
    ([{'at': 1, 'kind': 'sent'}], True)
    >>> read(['{"at": 1}', '{"at": 2, "kind": "sent"}'])
    Traceback (most recent call last):
    ...
    iriswheel.replay.Damaged: line 1 is no event
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
            raise Damaged(f"line {k} is no event")
        rows.append(row)
    rows.sort(key=lambda r: r["at"])
    return rows, cut


class Log:
    """The rows, indexed for the checkers.

    >>> Log([{"at": 1, "kind": "run"}]).of("run")
    [{'at': 1, 'kind': 'run'}]
    """

    def __init__(self, rows):
        self.rows = rows
        self.kinds = collections.defaultdict(list)
        for r in rows:
            self.kinds[r["kind"]].append(r)
        self.end = rows[-1]["at"] if rows else 0
        self.sent = {(r["exchange"], r["send"]): r for r in self.of("sent")}
        self.repeatable = {r["exchange"]: r["repeat"] for r in self.of("sent")}
        self.faults = [r["at"] for r in self.of("fault")]
        self.listed = collections.defaultdict(list)
        for r in self.of("listed"):
            self.listed[r["worker"]].append(r)

    def of(self, kind):
        """The rows of one kind.

        >>> Log([]).of("run")
        []
        """
        return self.kinds.get(kind, [])

    def calm(self, since, until=None):
        """Whether no fault fell between two times, nor shortly before the first.

        >>> log = Log([{"at": 5, "kind": "fault"}])
        >>> log.calm(6), log.calm(4, 6), log.calm(4)
        (False, False, True)
        """
        k = bisect.bisect_right(self.faults, until if until is not None else since)
        return k == 0 or since - self.faults[k - 1] > BACK_US

    def state(self, worker, at):
        """How the platform listed a worker at a time, and since when.

        >>> Log([]).state("w1", 5)
        ('gone', 0)
        """
        got = ("gone", 0)
        for r in self.listed.get(worker, []):
            if r["at"] > at:
                break
            got = (r["state"], r["at"] if r["state"] != got[0] else got[1])
        return got


def events(text):
    """The events of an answer, as documents; None where it is not whole and in order.

    >>> events('data: {"k": 0, "of": 1}\\n\\ndata: [DONE]\\n\\n')
    [{'k': 0, 'of': 1}]
    >>> events('data: {"k": 1, "of": 2}\\n\\ndata: [DONE]\\n\\n') is None
    True
    """
    parts = text.split("\n\n")
    if parts[-1] != "" or len(parts) < 3 or parts[-2] != "data: [DONE]":
        return None
    try:
        docs = [json.loads(p[6:]) for p in parts[:-2]]
    except ValueError:
        return None
    if [d.get("k") for d in docs] != list(range(docs[0].get("of", -1))):
        return None
    return docs


def once(log):
    """1: what may not be repeated runs once; no answer has gaps, doubles or splices."""
    runs = collections.Counter(r["exchange"] for r in log.of("run") if r["exchange"])
    for ident, n in sorted(runs.items()):
        if n > 1 and log.repeatable.get(ident) is False:
            yield f"{ident} may not be repeated and ran {n} times"
    for r in log.of("whole"):
        docs = events(r["text"])
        if docs is None:
            yield f"{r['exchange']}: the answer has a gap or a double"
        elif len({d["run"] for d in docs}) != 1:
            yield f"{r['exchange']}: the answer is spliced from {sorted({d['run'] for d in docs})}"


def not_run(log):
    """2: a refusal that says "not run" is true, then and later."""
    runs = {(r["exchange"], r["send"]) for r in log.of("run")}
    for r in log.of("refused"):
        if r["verdict"] == "not_run" and (r["exchange"], r["send"]) in runs:
            yield f"{r['exchange']} send {r['send']} was refused as not run, and ran"


def own(log):
    """3: an answer is the worker's own whole answer to this very exchange."""
    ran = {r["run"]: r for r in log.of("run")}
    whole = {r["run"] for r in log.of("ran")}
    for r in log.of("whole"):
        docs = events(r["text"]) or []
        for d in docs[:1]:
            run = ran.get(d["run"])
            if d["exchange"] != r["exchange"] or run is None or run["exchange"] != r["exchange"]:
                yield f"{r['exchange']} got the answer to {d['exchange']}"
            elif run["worker"] != r["worker"]:
                yield f"{r['exchange']} ran on {run['worker']}, the answer names {r['worker']}"
            elif d["run"] not in whole:
                yield f"{r['exchange']}: run {d['run']} was never finished, the answer passed for whole"


def leaving(log):
    """4: nothing reaches a worker more than about 3 s after it was listed as leaving or gone."""
    for r in log.of("run"):
        state, since = log.state(r["worker"], r["at"])
        if state != "ready" and r["at"] - since > LEARN_US:
            yield f"{r['worker']} got {r['exchange']} {(r['at'] - since) / SECOND:.1f} s after it was {state}"


def in_force(log):
    """5: a change is in force within 2 s of its acknowledgement, and never slips back."""
    acked, plan = {}, {}
    for r in log.of("confirmed"):
        if r["probe"] not in acked:
            acked[r["probe"]], plan[r["probe"]] = r["at"], r["plan"]
    sent = {r["plan"]: r["at"] for r in reversed(log.of("confirm_sent"))}
    by_stamp = sorted((r["stamp"], r["probe"]) for r in log.of("confirmed"))
    after = {}
    for (_, k), (_, later) in zip(by_stamp, by_stamp[1:]):
        after[k] = later
    for r in log.of("probe"):
        k, at = r["k"], r["at"]
        if k in acked and at > acked[k] + FORCE_US and r["status"] == 404:
            later = [c["at"] for c in log.of("confirm_sent") if c["probe"] != k and c["at"] > sent[plan[k]]]
            if not later or r["done"] < later[0]:
                yield f"{r['node']} did not know change {k} {(at - acked[k]) / SECOND:.1f} s after its acknowledgement"
        nxt = after.get(k)
        if nxt is not None and nxt != k and at > acked[nxt] + FORCE_US and r["status"] == 200:
            yield f"{r['node']} still took change {k} {(at - acked[nxt]) / SECOND:.1f} s after {nxt} had replaced it"


def kept(log):
    """6: what was acknowledged is there when it is read back."""
    acked = log.of("confirmed")
    by_plan = {}
    for r in acked:
        if by_plan.setdefault(r["plan"], r["stamp"]) != r["stamp"]:
            yield f"plan {r['plan']} was acknowledged under two stamps"
    stamps = collections.Counter({s: 0 for s in by_plan.values()})
    for s in by_plan.values():
        stamps[s] += 1
        if stamps[s] > 1:
            yield f"two plans were acknowledged under stamp {s}"
    docs = {r["plan"]: r["blueprint"] for r in log.of("confirm_sent")}
    open_docs = [r["blueprint"] for r in log.of("confirm_sent") if r["plan"] not in by_plan]
    for r in log.of("read"):
        before = [a for a in acked if a["at"] < r["at"]]
        if not before:
            continue
        last = max(before, key=lambda a: a["stamp"])
        if r["stamp"] < last["stamp"]:
            yield f"read back at {r['stamp']}, though {last['stamp']} was acknowledged"
        elif r["stamp"] == last["stamp"] and not same(r["blueprint"], docs[last["plan"]]):
            yield f"read back at {r['stamp']} something else than was acknowledged"
        elif r["stamp"] > last["stamp"] and not any(same(r["blueprint"], d) for d in open_docs + list(docs.values())):
            yield f"read back at {r['stamp']} something that nobody confirmed"
    if log.of("ended") and not log.of("read"):
        yield "the blueprint could not be read back at the day's end"


def same(one, other):
    """Whether two blueprints say the same; empty sections don't count.

    >>> same({"pools": {}}, {})
    True
    """
    return {k: v for k, v in one.items() if v} == {k: v for k, v in other.items() if v}


def allowed(log):
    """7: nothing goes to a pool that no configuration allowed."""
    pools = collections.defaultdict(set)
    for r in log.of("confirm_sent"):
        for route in r["blueprint"]["routes"].values():
            pools[route["path"]].add(route["pool"])
    of = {r["worker"]: r["pool"] for r in log.of("listed") if r["pool"]}
    for r in log.of("run"):
        fits = set()
        for path, ps in pools.items():
            if r["path"] == path or r["path"].startswith(path.rstrip("/") + "/"):
                fits |= ps
        if of.get(r["worker"]) not in fits:
            yield f"{r['exchange']} on {r['path']} went to pool {of.get(r['worker'])}"


def talks(log):
    """The runs of conversations, by conversation: a list of two parts and more names one.

    In the order in which they were sent: a worker that froze may run an exchange long
    after it was given up.
    """
    out = collections.defaultdict(list)
    for r in log.of("run"):
        if len(r["parts"]) > 1:
            sent = log.sent.get((r["exchange"], r["send"]), r)
            out["\n".join(r["parts"])].append((sent["at"], r["at"], r))
    return {name: [r for _, _, r in sorted(rs, key=lambda x: x[:2])] for name, rs in out.items()}


def lifetime(log):
    """How long a quiet conversation stays tied, as the log's beginning says."""
    return log.of("begun")[0]["lifetime_us"] if log.of("begun") else 60 * SECOND


def pinned(log):
    """8: a conversation stays on its worker while that is ready.

    Three nodes know a conversation from its first turn, a core's disk within a second: so
    one that is younger than that may be lost where three processes and more end at once.
    """
    life = lifetime(log)
    ends = [r["at"] for r in log.of("fault") if r["what"].split()[0] in ("kill", "power")
            and r["target"] not in log.listed]
    hurt = collections.defaultdict(list)
    for r in log.of("fault"):
        hurt[r["target"]].append(r["at"])
    for name, runs in sorted(talks(log).items()):
        for a, b in zip(runs, runs[1:]):
            if a["worker"] == b["worker"] or b["at"] - a["at"] > life - LIFE_SLACK_US:
                continue
            if any(a["at"] - SECOND <= r["at"] <= b["at"] for r in log.listed[a["worker"]]):
                continue
            if sum(a["at"] <= t <= a["at"] + SECOND for t in ends) >= 3:
                continue
            state, since = log.state(a["worker"], a["at"])
            if state != "ready" or any(a["at"] - 15 * SECOND <= t <= b["at"] for t in hurt[a["worker"]]):
                continue
            yield (f"conversation {name.split(chr(10))[-1]} moved from {a['worker']} to {b['worker']} at "
                   f"{b['at'] / SECOND:.1f} s")


def capped(log):
    """9: no worker holds more open conversations than allowed; one that left or crashed holds none."""
    if not log.of("begun") or not log.of("begun")[0]["cap"]:
        return
    cap, life = log.of("begun")[0]["cap"], lifetime(log)
    at = {}  # conversation -> (worker, last run)
    moves = sorted(
        [(r["at"], 0, r) for r in log.of("listed")]
        + [(r["at"], 0, {"worker": r["target"], "state": "hurt"}) for r in log.of("fault")] + [(r["at"], 1, r) for r in log.of("run") if len(r["parts"]) > 1],
        key=lambda x: x[:2])
    for now, sort, r in moves:
        if sort == 0:
            if r["state"] != "ready":
                at = {k: v for k, v in at.items() if v[0] != r["worker"]}
            continue
        at["\n".join(r["parts"])] = (r["worker"], now)
        held = [k for k, (w, t) in at.items() if w == r["worker"] and now - t < life - LIFE_SLACK_US]
        if len(held) > cap:
            yield f"{r['worker']} holds {len(held)} open conversations at {now / SECOND:.1f} s"


def budget(log):
    """10: retries stay within about a fifth of real demand over any ten seconds."""
    demand = sorted([*{r["exchange"]: r["at"] for r in reversed(log.of("sent"))}.values()]
                    + [r["at"] for r in log.of("probe")])
    seen = set()
    repeats = []
    for r in log.of("run"):
        if r["exchange"]:
            if r["exchange"] in seen or r["send"] > 1:
                repeats.append(r["at"])
            seen.add(r["exchange"])
    for k, at in enumerate(repeats):
        n = k + 1 - bisect.bisect_right(repeats, at - WINDOW_US)
        d = bisect.bisect_right(demand, at) - bisect.bisect_right(demand, at - WINDOW_US)
        if n > 0.22 * d + 1:
            yield f"{n} repeats for {d} exchanges in the ten seconds up to {at / SECOND:.1f} s"


def served(log):
    """11: proper requests are not turned away by the kit itself; refusals come at once."""
    for r in log.of("refused"):
        sent = log.sent.get((r["exchange"], r["send"]))
        if r.get("took", 0) > AT_ONCE_US:
            yield f"{r['exchange']} was refused only after {r['took'] / SECOND:.1f} s"
        if sent is None or r["send"] > 1 or r["code"] in ("sessions_full", "already_sent"):
            continue
        if log.calm(sent["at"], r["at"]):
            yield f"{r['exchange']} was turned away ({r['code']}) at {sent['at'] / SECOND:.1f} s, far from any fault"
    for r in log.of("lost") + log.of("torn"):
        sent = log.sent.get((r["exchange"], r["send"]))
        if sent is not None and log.calm(sent["at"], r["at"]):
            yield f"{r['exchange']} was {r['kind']} at {r['at'] / SECOND:.1f} s, far from any fault"
    for r in log.of("whole"):
        sent = log.sent[(r["exchange"], r["send"])]
        if not log.calm(sent["at"], r["at"]):
            continue
        bound = LONG_FIRST_US if sent["sort"] == "long" else SHORT_FIRST_US
        if r["first"] > bound:
            yield f"{r['exchange']} ({sent['sort']}) waited {r['first'] / SECOND:.2f} s for its first byte"
        if r["pause"] > PAUSE_US:
            yield f"{r['exchange']} paused for {r['pause'] / SECOND:.2f} s"


def back(log):
    """12: within about 12 s after a large fault, service is back; far from faults, changes are taken."""
    done = {(r["who"], r["probe"]): r["at"] for r in reversed(log.of("confirmed"))}
    for r in log.of("wanted"):
        until = r["at"] + CHANGE_US
        if log.calm(r["at"], until) and until < log.end:
            at = done.get((r["who"], r["probe"]))
            if at is None or at > until:
                yield f"change {r['probe']}, wanted at {r['at'] / SECOND:.1f} s, was not acknowledged in time"
    ends = [r["at"] for r in log.of("begun")]
    for f in log.of("fault"):
        if not f["large"] or not ends:
            continue
        first = f["at"] + BACK_US
        later = [g["at"] for g in log.of("fault") if f["at"] < g["at"] <= first + 5 * SECOND]
        if later or first + 5 * SECOND > log.end:
            continue
        whole, asked = 0, 0
        done = {(r["exchange"], r["send"]) for r in log.of("whole")}
        for r in log.of("sent"):
            if first <= r["at"] <= first + 5 * SECOND and r["send"] == 1:
                asked += 1
                whole += (r["exchange"], 1) in done
        if asked and whole < 0.9 * asked:
            yield f"{f['what']} at {f['at'] / SECOND:.1f} s: 12 s later only {whole} of {asked} came through"


CHECKERS = [once, not_run, own, leaving, in_force, kept, allowed, pinned, capped, budget, served, back]


def judge(rows):
    """All complaints, by checker.

    >>> judge([])
    {}
    """
    log = Log(rows)
    out = {}
    for c in CHECKERS:
        found = list(c(log))
        if found:
            out[c.__name__] = found
    return out


def recovery(rows):
    """For each fault: when the last first send was sent that failed before the next fault, and how many did.

    Rows of (fault, ms from the fault to that sending, failed, sent in the 12 s after the
    fault); refusals because of the cap are no failures.

    >>> recovery([{"at": 1, "kind": "fault", "what": "kill", "target": "n1", "large": False}])
    [('kill n1', 0, 0, 0)]
    """
    log = Log(rows)
    ends = [(r["at"], log.sent[(r["exchange"], 1)]["at"]) for kind in ("refused", "torn", "lost") for r in log.of(kind)
            if r["send"] == 1 and r.get("code") != "sessions_full"]
    faults = log.of("fault")
    out = []
    for f, nxt in zip(faults, faults[1:] + [{"at": log.end + 1}]):
        until = min(nxt["at"], f["at"] + BACK_US)
        n = sum(1 for r in log.of("sent") if r["send"] == 1 and f["at"] <= r["at"] < until)
        failed = [sent for end, sent in ends if f["at"] <= end < nxt["at"] and sent < until]
        out.append((f"{f['what']} {f['target']}", max([0] + [s - f["at"] for s in failed]) // 1000, len(failed), n))
    return out


def recovery_lines(rows):
    """The recoveries as lines to print.

    >>> recovery_lines([{"at": 1, "kind": "fault", "what": "kill", "target": "n1", "large": False}])
    ['recovery: kill n1: 0 first sends failed, the last one sent after 0 ms; 0 sent']
    """
    return [f"recovery: {fault}: {bad} first sends failed, the last one sent after {ms} ms; {n} sent"
            for fault, ms, bad, n in recovery(rows)]
