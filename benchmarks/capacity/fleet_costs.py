"""Costs in the hollow fleet without requests and with real ones, and the size of load reports."""

from __future__ import annotations

import collections.abc
import dataclasses
import random
import typing

from benchmarks.capacity import hollow_fleet, measuring, samples
from iriswheel.transport import message, wire

PREFILL_S = 0.1  # from an attempt's start until the worker has read its prompt
TOKENS_PER_STEP = 1000  # a change of the unread tokens that counts as much as one running request
PACKED_ROW_BYTES = 5  # size of a load report's row in a compact encoding, shown for comparison

IDLE_TABLE_HEAD = (
    "| fleet | role | loops/s | longest step, loops | messages in/s | B/s in | out/s | B/s out | writes to others/s |\n"
    "|---|---|---|---|---|---|---|---|---|"
)
REPORTS_TABLE_HEAD = (
    "| a telling every | told from a change of | rows a second | B/s into a node, as rows travel today "
    "| packed, 5 B a row |\n"
    "|---|---|---|---|---|"
)


@dataclasses.dataclass(frozen=True)
class Shape:
    """The size of a hollow fleet."""

    by: str  # the name of the size that is varied
    size: int  # the value of that size
    nodes: int
    workers: int
    pools: int


def fleet(
    *,
    sizes: measuring.Sizes = (8, 32, 128, 370),
    listed: measuring.Sizes = (36, 260, 1300, 2600),
    pools: measuring.Sizes = (1, 8, 29),
    routes: int = 100,
    seconds: float = 4,
    seed: int = 1,
    walking: bool = False,
    election: str = "warden",
    rate: float = 0,
    lasts: float = 19,
    out: str = "",
) -> None:
    """Idle fleets by number of nodes, of workers and of pools, and then with the largest of each at once.

    With a rate, and selection by the nodes, hollow requests are counted as in flight, so that the
    nodes' load reports have content.

    :param sizes: numbers of nodes
    :param listed: numbers of workers
    :param pools: numbers of pools
    :param routes: number of routes
    :param seconds: simulated seconds that are measured
    :param seed: the run's seed
    :param walking: whether nodes probe workers that they have had no recent contact with
    :param election: what selects workers: warden (the pool owner) or node
    :param rate: hollow requests per second at each node
    :param lasts: seconds that each hollow request lasts
    :param out: file to which the values are written
    """
    measurements = measuring.Measurements()
    print(IDLE_TABLE_HEAD)
    for shape in _shapes(sizes, listed, pools):
        cluster = hollow_fleet.Fleet(
            seed, shape.nodes, shape.workers, shape.pools, routes, walking=walking, election=election
        )
        cluster.begin()
        if rate:
            cluster.start_hollow_load(rate, lasts)
        cluster.advance(3)
        rows = cluster.by_role(cluster.meter_for(seconds))
        hollow_fleet.print_rows(f"{shape.nodes} nodes, {shape.workers} workers, {shape.pools} pools", rows)
        for role, figures in rows.items():
            for what, value in figures.items():
                measurements.put(f"{role}: {what}", shape.by, hollow_fleet.UNITS[what], shape.size, value)
    measuring.print_and_save(measurements, out)


def _shapes(nodes: measuring.Sizes, workers: measuring.Sizes, pools: measuring.Sizes) -> list[Shape]:
    return [
        *(Shape("nodes", size, size, workers[0], pools[0]) for size in nodes),
        *(Shape("workers", size, nodes[0], size, pools[0]) for size in workers),
        *(
            Shape("pools", size, nodes[-2], workers[0], size) for size in pools
        ),  # with enough nodes that some have no role
        Shape("all at once", nodes[-1], nodes[-1], workers[-1], pools[-1]),
    ]


def streams(
    *,
    rates: measuring.Sizes = (10, 20, 40),
    events: measuring.Sizes = (12, 48, 96),
    listed: int = 36,
    seconds: float = 6,
    repeats: int = 3,
    election: str = "node",
    out: str = "",
) -> None:
    """Real requests through four nodes: processor time by requests and by the events of their response streams.

    :param rates: requests per second at all nodes together, measured with the smallest number of events
    :param events: events of each response, measured at the lowest rate
    :param listed: number of workers
    :param seconds: simulated seconds that are measured
    :param repeats: number of seeds
    :param election: what selects workers: warden (the pool owner) or node
    :param out: file to which the values are written
    """
    measurements = measuring.Measurements()
    for seed in range(1, repeats + 1):
        for rate in rates:
            cluster = _serving_fleet(seed, listed, election, rate, events[0])
            _measure_streams(cluster, measurements, "requests through nodes", "requests/s", size=rate, seconds=seconds)
        for count in events:
            cluster = _serving_fleet(seed, listed, election, rates[0], count)
            _measure_streams(
                cluster, measurements, "events through nodes", "events/s", size=rates[0] * count, seconds=seconds
            )
    measuring.print_and_save(measurements, out)


def _serving_fleet(seed: int, workers: int, election: str, rate: int, events: int) -> hollow_fleet.Fleet:
    """Four nodes that have served a constant rate of requests, with `events` events each, for eight seconds."""
    cluster = hollow_fleet.Fleet(seed, 4, workers, 1, 10, walking=False, election=election)
    cluster.configuration["routes"]["all"] = {"path": "/v1", "pool": "model-0", "terms": "t0"}
    cluster.rates = (0, rate, 0)
    cluster.begin()
    for worker in cluster.workers.values():
        worker.short_tokens = events
    cluster.advance(8)
    return cluster


def _measure_streams(
    cluster: hollow_fleet.Fleet, measurements: measuring.Measurements, line: str, by: str, *, size: int, seconds: float
) -> None:
    before = _count_requests(cluster)
    figures = cluster.meter_for(seconds)
    requests_per_s = (_count_requests(cluster) - before) / seconds
    measurements.put(line, by, "loops", size, sum(figures[name]["loops"] for name in cluster.nodes))
    measurements.put("requests seen", by, "/s", size, requests_per_s)


def _count_requests(cluster: hollow_fleet.Fleet) -> int:
    return sum(node.gateway.counts.requests for node in cluster.nodes.values())


class LoadChange(typing.NamedTuple):
    """A change of a worker's load; a tuple, because some hundred thousand of them are sorted."""

    at: float  # time in seconds
    worker: int  # index of the worker
    running: int  # change of the number of running requests
    tokens: int  # change of the number of prompt tokens that the worker has not read yet


@dataclasses.dataclass(frozen=True)
class ReportTotals:
    """The total of the load reports to one node."""

    rows: int
    size: int  # bytes in the present encoding


def exchange(
    *,
    listed: int = 2600,
    rate: float = 3000,
    lasts: float = 19,
    seconds: int = 12,
    seed: int = 1,
    spans: collections.abc.Sequence[float] = (0.15, 0.5, 1, 2),
    steps: measuring.Sizes = (1, 3, 6),
) -> None:
    """Rows of load reports that contain only changed workers, by the reports' interval and the smallest change.

    Requests start at random workers at the fleet's rate, some of them with long prompts, and end after a
    fixed time. A worker's row is reported if its running requests have changed by the step, or its unread
    tokens by 1,000 times the step, since the row was reported last.

    :param listed: number of workers
    :param rate: requests per second at all nodes together
    :param lasts: seconds that each request lasts
    :param seconds: simulated seconds that are measured
    :param seed: the run's seed
    :param spans: seconds between two reports
    :param steps: the smallest changes that are reported
    """
    changes = _load_changes(random.Random(seed), listed, rate, lasts, seconds)
    names = [worker.id for worker in samples.workers(listed)]
    print(REPORTS_TABLE_HEAD)
    for span in spans:
        for step in steps:
            totals = _replay_reports(changes, names, seconds, span, step)
            print(
                f"| {span:g} s | {step} | {measuring.three_digits(totals.rows / seconds)} "
                f"| {measuring.three_digits(totals.size / seconds)} "
                f"| {measuring.three_digits(PACKED_ROW_BYTES * totals.rows / seconds)} |",
                flush=True,
            )


def _load_changes(rng: random.Random, workers: int, rate: float, lasts: float, seconds: int) -> list[LoadChange]:
    """The changes of the workers' loads in order of time; requests in flight at time 0 have started before it."""
    changes = []
    for _ in range(int(rate * (lasts + seconds))):
        at, worker = rng.random() * (lasts + seconds) - lasts, rng.randrange(workers)
        tokens = (
            samples.LONG_PROMPT_TOKENS if rng.random() < samples.LONG_PROMPT_SHARE else hollow_fleet.SHORT_PROMPT_TOKENS
        )
        changes += [
            LoadChange(at, worker, 1, tokens),
            LoadChange(at + PREFILL_S, worker, 0, -tokens),
            LoadChange(at + lasts, worker, -1, 0),
        ]
    return sorted(changes)


def _replay_reports(changes: list[LoadChange], names: list[str], seconds: int, span: float, step: int) -> ReportTotals:
    """Apply the changes, with a report to one node every `span` seconds; the first, complete report is not counted."""
    current, reported = [(0, 0)] * len(names), [(0, 0)] * len(names)
    rows = size = applied_count = 0
    for report in range(int(seconds / span)):
        while applied_count < len(changes) and changes[applied_count].at < report * span:
            change = changes[applied_count]
            running, tokens = current[change.worker]
            current[change.worker] = (running + change.running, tokens + change.tokens)
            applied_count += 1
        changed = [k for k in range(len(names)) if _is_reported(current[k], reported[k], step)]
        for k in changed:
            reported[k] = current[k]
        if report:
            rows += len(changed)
            size += _report_bytes([(names[k], *current[k], 0) for k in changed])
    return ReportTotals(rows, size)


def _is_reported(current: tuple[int, int], reported: tuple[int, int], step: int) -> bool:
    """Whether a load (running requests, unread tokens) differs enough from the last reported one to be reported."""
    return abs(current[0] - reported[0]) >= step or abs(current[1] - reported[1]) >= TOKENS_PER_STEP * step


def _report_bytes(rows: list[tuple[str, int, int, int]]) -> int:
    report = message.LoadReport("c0ffee", False, {"model-0": rows})
    return len(wire.encoder.encode(wire.Envelope(0, 0, report)))
