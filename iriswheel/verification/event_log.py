"""Reads event logs, and builds the indexes over their rows that the checkers share.

A log holds what clients, workers, the platform and operators observed, never the fleet's own counters. Times are whole
microseconds. The kinds of rows and their fields have the names of the file format: `exchange` is a request, `send` the
number of an attempt, `stamp` a version, `blueprint` a configuration, `duty` the role of a pool's owner or replica,
`mend` a repair, `whole` a complete answer and `torn` an incomplete one (docs/glossary.md).
"""

from __future__ import annotations

import collections
import collections.abc
import functools
import json
import typing

from iriswheel.runtime import units

NEVER = 1 << 62  # a time later than all others
ROUTING_TO_RUN_MAX_US = 500_000  # from a node's routing decision to the run at a worker, even over a slow link
CONFIGURATION_APPLY_MAX_US = 2_000_000  # from a change's acknowledgement until no node uses the old configuration
LARGE_FAULT_US = 12_000_000  # time from a large fault within which all requests are excused
# How long a small fault may affect requests whose own node and worker were not at fault:
ROLE_FAULT_US = 4_000_000  # requests may start late after the loss of a pool's owner or replica
SILENT_FAULT_US = 3_000_000  # requests may start late after the loss of a worker whose connections stay open
REJOIN_US = 2_000_000  # from the end of a freeze, partition or restart of a node until the node serves again
CROWDED_SHARE = 0.9  # share of a pool's slots in use from which on requests may have to wait

DEFAULT_SLOTS = 16  # requests at once on a worker, if the pool gives no number
DEFAULT_LONG_SLOTS = 4  # long requests at once on a worker, if the pool gives no number

Row = dict[str, typing.Any]  # one event: "at" (microseconds), "kind", and the kind's own fields
Document = dict[str, typing.Any]  # a configuration, as sent by an operator
AttemptKey = tuple[str, int]  # a request's id and the number of the attempt, from 1; 0 for a probe


class DamagedLogError(ValueError):
    """A line of the log is not an event; the text names the line.

    >>> DamagedLogError("line 3").code
    'damaged_log'
    """

    code = "damaged_log"


def read(lines: collections.abc.Iterable[str]) -> tuple[list[Row], bool]:
    """The rows of a log, sorted by time, and whether the log is truncated: its last line is incomplete.

    Raises:
        DamagedLogError: a line before the last one is not an event.

    >>> read(['{"at": 1, "kind": "sent"}', '{"at": 2, "ki'])
    ([{'at': 1, 'kind': 'sent'}], True)
    >>> read(['{"at": 1}', '{"at": 2, "kind": "sent"}'])
    Traceback (most recent call last):
    ...
    iriswheel.verification.event_log.DamagedLogError: line 1 is not an event
    """
    rows: list[Row] = []
    truncated = False
    lines = list(lines)
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        row = parse_row(line)
        if row is not None:
            rows.append(row)
        elif number == len(lines):
            truncated = True
        else:
            raise DamagedLogError(f"line {number} is not an event")
    rows.sort(key=lambda row: row["at"])
    return rows, truncated


def parse_row(line: str) -> Row | None:
    """Parse a line; None if it is not an event, a JSON object with the fields `at` and `kind`.

    >>> parse_row('{"at": 1, "kind": "sent"}'), parse_row('{"at": "soon", "kind": "sent"}')
    ({'at': 1, 'kind': 'sent'}, None)
    """
    try:
        row = json.loads(line)
    except ValueError:
        return None
    if not isinstance(row, dict) or type(row.get("at")) is not int or type(row.get("kind")) is not str:
        return None
    return row


class Fault:
    """An injected fault: when it began and ended, and what it affects.

    A fault begins with a row of kind "fault" and ends with a row of kind "mend" for the same target or for "all".

    Attributes:
        at: When it began, in µs.
        end: When it ended, in µs, or NEVER.
        what: The kind of fault, for example "kill".
        target: The name of the machine, process or link at fault.
        role: What the target is: "node", "worker", "link", "core", "all" or "".
        address: Where clients reach the target, as host:port; empty if they send no requests to it.
        assignment: Whether the target was the owner of a pool or held a replica of one.
        large: Whether it excuses all requests for LARGE_FAULT_US.

    >>> f = Fault({"at": 5, "what": "kill", "target": "n1", "role": "node", "addr": "h:1"}, 9)
    >>> f.overlaps(8, 12), f.overlaps(10, 12), f.overlaps(10, 12, after=2)
    (True, False, True)
    """

    def __init__(self, row: Row, end: int) -> None:
        self.at: int = row["at"]
        self.end = end
        self.what: str = row["what"]
        self.target: str = row["target"]
        self.role: str = row.get("role", "")
        self.address: str = row.get("addr", "")
        self.assignment: bool = row.get("duty", False)
        self.large: bool = row.get("large", False)

    def overlaps(self, since: int, until: int, after: int = 0) -> bool:
        """Whether a span of time overlaps this fault, extended at its end by `after` microseconds.

        >>> Fault({"at": 5, "what": "kill", "target": "n1"}, 9).overlaps(0, 4)
        False
        """
        return since <= self.end + after and until >= self.at

    def excuses_request(self, since: int, until: int, node: str | None, worker: str | None) -> bool:
        """Whether this fault excuses a request that was at this node and on this worker in a span of time."""
        if self.large and since <= self.at + LARGE_FAULT_US and until >= self.at:
            return True
        match self.role:
            case "node":
                return self.address == node and self.overlaps(since, until, REJOIN_US)
            case "worker":
                return self.target == worker and self.overlaps(since, until, units.SECOND_US)
            case "link":
                # The request was in progress when the link broke.
                return self.address == node and since <= self.at <= until
            case _:
                return False

    def delays_others(self, since: int, until: int) -> bool:
        """Whether this fault may have delayed the start of requests at other nodes in a span of time.

        A worker whose connections stay open, or a broken link, delays requests for SILENT_FAULT_US. The fault of a node
        that owns a pool or holds a replica delays them for ROLE_FAULT_US: from its beginning, or from its repair if the
        node was slow, lost packets or failed repeatedly until then.
        """
        if until < self.at:
            return False
        slow = self.what in ("slow", "lossy", "flap") and self.end != NEVER
        silent = self.role == "link" or (self.role == "worker" and self.what not in ("kill", "sick"))
        if silent and since <= self.at + SILENT_FAULT_US:
            return True
        return self.assignment and since <= (self.end if slow else self.at) + ROLE_FAULT_US


class ListedState(typing.NamedTuple):
    """The state in which the platform lists a worker, and since when."""

    state: str
    since: int


class ActiveConfiguration(typing.NamedTuple):
    """A configuration, and the span of time in which a node may use it."""

    since: int
    until: int
    document: Document


class Conversation(typing.NamedTuple):
    """The identity of a conversation."""

    pool: str | None  # None if the platform never listed its worker
    parts: tuple[str, ...]  # names of the parts of the prompt's prefix, outermost first


class Span(typing.NamedTuple):
    """A span of time."""

    since: int
    until: int


class RetryTimes(typing.NamedTuple):
    """The sorted times of retries and of requests."""

    repeats: list[int]  # when each retry of a request ran at a worker
    requests: list[int]  # when each request was first sent, and each probe that was not answered with status 404


class EventLog:
    """The rows of a log, indexed for the checkers.

    Attributes:
        rows: All rows, sorted by time.
        end: The time of the last row.
        rows_judged: The number of rows that each checker judged, by the checker's name.
        sent: The row of the sending of each attempt.
        attempts_and_probes: The rows of `sent`, and those of probes as attempt 0.
        idempotent: Whether a request may run more than once, by request id.
        runs: The row of the first run of each attempt at a worker.
        run_ends: When a run ended, by run id.
        listed: The rows in which the platform listed each worker, sorted by time.
        worker_pools: The pool of each worker.
        faults: All faults.
        node_zones: The zone of each node, by its address.
        configurations: The configurations that may have been in effect, each with its span of time.
        rows_by_kind: The rows of each kind, sorted by time.

    >>> EventLog([{"at": 1, "kind": "asked"}]).rows_of("asked")
    [{'at': 1, 'kind': 'asked'}]
    """

    def __init__(self, rows: list[Row]) -> None:
        self.rows = rows
        self.end: int = rows[-1]["at"] if rows else 0
        self.rows_judged: collections.Counter[str] = collections.Counter()
        self.rows_by_kind: collections.defaultdict[str, list[Row]] = collections.defaultdict(list)
        for row in rows:
            self.rows_by_kind[row["kind"]].append(row)
        self.sent: dict[AttemptKey, Row] = {attempt_key(row): row for row in self.rows_of("sent")}
        probes: dict[AttemptKey, Row] = {(row["exchange"], 0): row for row in self.rows_of("probe")}
        self.attempts_and_probes = {**probes, **self.sent}
        self.idempotent: dict[str, bool] = {row["exchange"]: row["repeat"] for row in self.rows_of("sent")}
        self.runs: dict[AttemptKey, Row] = {}
        for row in self.rows_of("run"):
            self.runs.setdefault(attempt_key(row), row)
        self.run_ends: dict[str, int] = {row["run"]: row["at"] for kind in ("ran", "cut") for row in self.rows_of(kind)}
        self.listed: collections.defaultdict[str, list[Row]] = collections.defaultdict(list)
        self.worker_pools: dict[str, str] = {}
        for row in self.rows_of("listed"):
            self.listed[row["worker"]].append(row)
            if row["pool"]:
                self.worker_pools[row["worker"]] = row["pool"]
        self.faults = self._faults()
        self.node_zones: dict[str, str] = {}
        for row in self.rows_of("begun") + self.rows_of("moved"):
            self.node_zones.update(row.get("zones", {}))
        self.configurations = self._configurations()

    def _faults(self) -> list[Fault]:
        faults = []
        for row in self.rows_of("fault"):
            ends = [
                repair["at"]
                for repair in self.rows_of("mend")
                if repair["at"] > row["at"] and repair["target"] in (row["target"], "all")
            ]
            faults.append(Fault(row, ends[0] if ends else NEVER))
        return faults

    def _configurations(self) -> list[ActiveConfiguration]:
        first_sent: dict[str, Row] = {}
        acknowledged: dict[str, Row] = {}
        for row in self.rows_of("confirm_sent"):
            first_sent.setdefault(row["plan"], row)
        for row in self.rows_of("confirmed"):
            acknowledged.setdefault(row["plan"], row)
        documents = []
        for plan, row in first_sent.items():
            # An unacknowledged plan has an unknown version; any acknowledged version above its base replaces it.
            version = acknowledged[plan]["stamp"] if plan in acknowledged else row["base"]
            later = [
                answer["at"] for other, answer in acknowledged.items() if other != plan and answer["stamp"] > version
            ]
            until = min(later) + CONFIGURATION_APPLY_MAX_US if later else NEVER
            documents.append(ActiveConfiguration(row["at"], until, row["blueprint"]))
        return documents

    def rows_of(self, kind: str) -> list[Row]:
        """The rows of one kind.

        >>> EventLog([]).rows_of("run")
        []
        """
        return self.rows_by_kind.get(kind, [])

    def configurations_between(self, since: int, until: int) -> list[Document]:
        """The configurations that may be in effect at some node in a span of time.

        >>> EventLog([]).configurations_between(0, 5)
        []
        """
        return [active.document for active in self.configurations if active.since <= until and since <= active.until]

    def met_fault(self, since: int, until: int, node: str | None = None, worker: str | None = None) -> bool:
        """Whether a request met a fault of its node or worker or a large fault, or its worker became not ready.

        >>> log = EventLog([{"at": 5, "kind": "fault", "what": "kill", "target": "w1", "role": "worker"}])
        >>> log.met_fault(6, 7, worker="w1"), log.met_fault(6, 7, worker="w2")
        (True, False)
        """
        if any(fault.excuses_request(since, until, node, worker) for fault in self.faults):
            return True
        listed = self.listed.get(worker, []) if worker is not None else []
        return any(row["state"] != "ready" and since <= row["at"] <= until for row in listed)

    def may_be_delayed(self, since: int, until: int) -> bool:
        """Whether a small fault of another node or worker may have delayed the start of a request.

        >>> log = EventLog([{"at": 5, "kind": "fault", "what": "kill", "target": "n1", "role": "node", "duty": True}])
        >>> log.may_be_delayed(6, 7), log.may_be_delayed(6 * units.SECOND_US, 7 * units.SECOND_US)
        (True, False)
        """
        return any(fault.delays_others(since, until) for fault in self.faults)

    def listed_state(self, worker: str, at: int) -> ListedState:
        """The state in which the platform listed a worker at a time, and since when; "gone" if it never did.

        >>> EventLog([]).listed_state("w1", 5)
        ListedState(state='gone', since=0)
        """
        state = ListedState("gone", 0)
        for row in self.listed.get(worker, []):
            if row["at"] > at:
                break
            if row["state"] != state.state:
                state = ListedState(row["state"], row["at"])
        return state

    def ready_workers(self, pool: str | None, since: int, until: int) -> list[str]:
        """The workers of a pool that were listed as ready and were not at fault during a whole span of time.

        >>> log = EventLog([{"at": 1, "kind": "listed", "worker": "w1", "state": "ready", "pool": "p"}])
        >>> log.ready_workers("p", 5, 6)
        ['w1']
        """
        return [
            worker
            for worker, worker_pool in sorted(self.worker_pools.items())
            if worker_pool == pool
            and self.listed_state(worker, since).state == "ready"
            and not any(since < row["at"] <= until for row in self.listed[worker])
            and not any(
                fault.target == worker and fault.overlaps(since, until, SILENT_FAULT_US) for fault in self.faults
            )
        ]

    def is_crowded(self, pool: str | None, since: int, until: int, long: bool, documents: list[Document]) -> bool:
        """Whether at some time in a span nearly all slots of the pool's ready workers were in use, or none was ready.

        Args:
            pool: The pool.
            since: The beginning of the span.
            until: The end of the span.
            long: Whether to count long requests and their slots only.
            documents: The configurations in effect in the span.
        """
        workers = set(self.ready_workers(pool, since, until))
        if not workers:
            return True
        field, default = ("long_slots", DEFAULT_LONG_SLOTS) if long else ("slots", DEFAULT_SLOTS)
        slots = min(
            [document["pools"][pool].get(field, default) for document in documents if pool in document["pools"]],
            default=0,
        )
        spans: list[Span] = []
        for row in self.rows_of("run"):
            sort = self.sent.get(attempt_key(row), {}).get("sort")
            end = self.run_ends.get(row["run"], NEVER)
            if row["worker"] in workers and (not long or sort == "long") and end >= since and row["at"] <= until:
                spans.append(Span(max(since, row["at"]), end))
        busy: bool = most_at_once(spans, until) >= CROWDED_SHARE * slots * len(workers)
        return busy

    @functools.cached_property
    def conversations(self) -> dict[Conversation, list[Row]]:
        """The runs of each conversation: the requests that share a prompt prefix of two or more parts.

        The runs of a conversation are sorted by the time of sending, and each attempt counts once: a worker that froze
        may run an attempt long after the node gave up on that worker and sent the attempt to another one.
        """
        found: collections.defaultdict[Conversation, list[Row]] = collections.defaultdict(list)
        for row in self.rows_of("run"):
            if len(row["parts"]) > 1 and self.runs[attempt_key(row)] is row:
                found[Conversation(self.worker_pools.get(row["worker"]), tuple(row["parts"]))].append(row)

        def sending_order(run: Row) -> tuple[int, int]:
            return self.sent.get(attempt_key(run), run)["at"], run["at"]

        return {name: sorted(runs, key=sending_order) for name, runs in found.items()}

    @functools.cached_property
    def retry_times(self) -> RetryTimes:
        """The times of retries and of requests, for the check of the retry budget."""
        first_sent = {row["exchange"]: row["at"] for row in reversed(self.rows_of("sent"))}
        probes = [row["at"] for row in self.rows_of("probe") if row["status"] != 404]
        repeats: list[int] = []
        seen: set[str] = set()
        for row in self.rows_of("run"):
            if row["exchange"]:
                if row["exchange"] in seen or row["send"] > 1:
                    repeats.append(row["at"])
                seen.add(row["exchange"])
        return RetryTimes(repeats, sorted([*first_sent.values(), *probes]))


def attempt_key(row: Row) -> AttemptKey:
    """The attempt that a row is about.

    >>> attempt_key({"exchange": "x1", "send": 2})
    ('x1', 2)
    """
    return row["exchange"], row["send"]


def most_at_once(spans: list[Span], until: int) -> int:
    """The largest number of spans that overlap at any one time up to `until`.

    >>> most_at_once([Span(1, 5), Span(2, 6), Span(5, 9)], 7)
    2
    """
    steps = sorted([(span.since, 1) for span in spans] + [(span.until, -1) for span in spans])
    current = most = 0
    for at, step in steps:
        if at > until:
            break
        current += step
        most = max(most, current)
    return most
