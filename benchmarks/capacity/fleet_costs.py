"""Measurements on the hollow fleet: quiet, under streams, and the exchange of load reports."""

from __future__ import annotations

import random

from benchmarks import stand_ins
from benchmarks.capacity import hollow_fleet, measuring, samples
from iriswheel.transport import message, wire


def fleet(
    *,
    sizes: list[int] = (8, 32, 128, 370),
    listed: list[int] = (36, 260, 1300, 2600),
    pools: list[int] = (1, 8, 29),
    routes: int = 100,
    seconds: float = 4,
    seed: int = 1,
    walking: bool = False,
    election: str = "warden",
    rate: float = 0,
    lasts: float = 19,
    out: str = "",
) -> None:
    """Hollow fleets when all is quiet: by nodes, by workers, by pools; then the greatest of each at once.

    With a rate, and election at the node, sends are counted under way as if they were made: so
    the load request has something to tell.

    :param sizes: nodes
    :param listed: workers
    :param pools: pools
    :param routes: routes
    :param seconds: simulated time that is counted
    :param seed: the run's seed
    :param walking: whether nodes knock at workers that they do not hear
    :param election: pool owner or node
    :param rate: hollow sends a second at each node
    :param lasts: how many seconds each is under way
    :param out: file for the values
    """
    lines = measuring.Measurements()
    print(
        "| fleet | role | loops/s | longest step, loops | messages in/s | B/s in | out/s | B/s out "
        "| writes to others/s |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    runs = [("nodes", n, (n, listed[0], pools[0])) for n in sizes]
    runs += [("workers", w, (sizes[0], w, pools[0])) for w in listed]
    runs += [("pools", p, (sizes[-2], listed[0], p)) for p in pools]  # enough nodes that some have no role
    runs += [("all at once", sizes[-1], (sizes[-1], listed[-1], pools[-1]))]
    for by, size, (n, w, p) in runs:
        f = hollow_fleet.Fleet(seed, n, w, p, routes, walking, election)
        f.begin()
        if rate:
            f.load_up(rate, lasts)
        f.go(3)
        rows = f.by_role(f.metered(seconds))
        hollow_fleet.show(f"{n} nodes, {w} workers, {p} pools", rows)
        for role, r in rows.items():
            for what, value in r.items():
                lines.put(f"{role}: {what}", by, hollow_fleet.UNITS[what], size, value)
    measuring.end(lines, out)


def streams(
    *,
    rates: list[int] = (10, 20, 40),
    events: list[int] = (12, 48, 96),
    listed: int = 36,
    seconds: float = 6,
    repeats: int = 3,
    election: str = "node",
    out: str = "",
) -> None:
    """Real requests through four nodes: processor time by requests and by the events of their streams.

    :param rates: requests a second at all nodes together, of the fewest events each
    :param events: events of each answer, at the least rate
    :param listed: workers
    :param seconds: simulated time that is counted
    :param repeats: how many seeds
    :param election: pool owner or node
    :param out: file for the values
    """
    lines = measuring.Measurements()
    was = stand_ins.SHORT_TOKENS
    try:
        for seed in range(1, repeats + 1):
            for by, rate, n in [
                *(("requests/s", r, events[0]) for r in rates),
                *(("events/s", rates[0], e) for e in events),
            ]:
                stand_ins.SHORT_TOKENS = n
                f = hollow_fleet.Fleet(seed, 4, listed, 1, 10, False, election)
                f.configuration["routes"]["all"] = {"path": "/v1", "pool": "model-0", "terms": "t0"}
                f.rates = (0, rate, 0)
                f.begin()
                f.go(8)
                before = sum(n.gateway.counts["exchanges"] for n in f.nodes.values())
                got = f.metered(seconds)
                done = (sum(n.gateway.counts["exchanges"] for n in f.nodes.values()) - before) / seconds
                loops = sum(got[x]["loops"] for x in f.nodes)
                lines.put(
                    "requests through nodes" if by == "requests/s" else "events through nodes",
                    by,
                    "loops",
                    rate if by == "requests/s" else rate * n,
                    loops,
                )
                lines.put("requests seen", by, "/s", rate if by == "requests/s" else rate * n, done)
    finally:
        stand_ins.SHORT_TOKENS = was
    measuring.end(lines, out)


def exchange(
    *,
    listed: int = 2600,
    rate: float = 3000,
    lasts: float = 19,
    seconds: int = 12,
    seed: int = 1,
    spans: list[float] = (0.15, 0.5, 1, 2),
    steps: list[int] = (1, 3, 6),
) -> None:
    """Rows that a load request by change has to tell one node, by how often it tells and from which change on.

    Sends begin at random workers at the fleet's rate, long prompts among them, and each ends after its
    time; a row is told when running requests changed by the step, or tokens to read by 1,000 a step.

    :param listed: workers
    :param rate: sends a second at all nodes together
    :param lasts: how many seconds each is under way
    :param seconds: simulated time that is counted
    :param seed: the run's seed
    :param spans: seconds between two tellings
    :param steps: the least change that is told
    """
    rng = random.Random(seed)
    names = [x.id for x in samples.workers(listed)]
    print(
        "| a telling every | told from a change of | rows a second | B/s into a node, as rows travel today "
        "| packed, 5 B a row |"
    )
    print("|---|---|---|---|---|")
    events = []  # (when, worker, running, tokens)
    for _ in range(int(rate * (lasts + seconds))):
        at, w = rng.random() * (lasts + seconds) - lasts, rng.randrange(listed)
        tokens = samples.LONG if rng.random() < samples.LONG_SHARE else 400
        events += [(at, w, 1, tokens), (at + 0.1, w, 0, -tokens), (at + lasts, w, -1, 0)]
    events.sort()
    for span in spans:
        for step in steps:
            now, table = [[0, 0] for _ in names], [[0, 0] for _ in names]
            count = size = k = 0
            for heartbeat_timer in range(int(seconds / span)):
                while k < len(events) and events[k][0] < heartbeat_timer * span:
                    _, w, running, tokens = events[k]
                    now[w][0] += running
                    now[w][1] += tokens
                    k += 1
                some = [
                    w
                    for w in range(listed)
                    if abs(now[w][0] - table[w][0]) >= step or abs(now[w][1] - table[w][1]) >= 1000 * step
                ]
                for w in some:
                    table[w] = list(now[w])
                if heartbeat_timer:
                    count += len(some)
                    size += len(
                        wire.encoder.encode(
                            wire.Envelope(
                                0,
                                0,
                                message.LoadReport(
                                    "c0ffee", False, {"model-0": [(names[w], *now[w], 0) for w in some]}
                                ),
                            )
                        )
                    )
            print(
                f"| {span:g} s | {step} | {measuring.short(count / seconds)} | {measuring.short(size / seconds)} "
                f"| {measuring.short(5 * count / seconds)} |",
                flush=True,
            )
