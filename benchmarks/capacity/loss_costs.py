"""Measurements on the hollow fleet while members come and go."""

from __future__ import annotations

import gc
import statistics

from benchmarks.capacity import hollow_fleet, measuring
from iriswheel.runtime import units
from iriswheel.transport import message, wire
from simulation import processor_meter, simulated_cluster

WHATS = ("change", "restart", "worker", "zone", "tail", "cut")


def losses(
    *,
    sizes: list[int] = (8, 32, 128),
    listed: int = 36,
    pools: int = 1,
    routes: int = 100,
    repeats: int = 3,
    election: str = "warden",
    only: list[str] = WHATS,
    out: str = "",
) -> None:
    """Hollow fleets while something happens: until when all know, and what it costs beyond the quiet.

    change: a route is changed; restart: a node ends and another life of it starts; worker: a worker
    leaves; zone: a tenth of the nodes lose power; tail: the tail ends; cut: a third of the nodes is
    cut off from the core and from the rest for ten seconds.

    :param sizes: nodes
    :param listed: workers
    :param pools: pools
    :param routes: routes
    :param repeats: how many seeds
    :param election: pool owner or node
    :param only: what happens
    :param out: file for the values
    """
    lines = measuring.Measurements()
    print(
        "| what | nodes | all know after, ms | B between cores | B from cores to nodes | B between nodes "
        "| B into a node "
        "| loops of the busiest core | loops of a node | longest step of a node, loops |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for what in only:
        for n in sizes:
            rows = [
                lost(hollow_fleet.Fleet(seed, n, listed, pools, routes, False, election), what)
                for seed in range(1, repeats + 1)
            ]
            for r in rows:
                size = r.pop("roster")
                if what in ("tail", "cut"):
                    lines.put(f"{what}: between nodes", "pairs of nodes", "B", n * (n - 1), r["node node"])
                elif what == "change":
                    lines.put(f"{what}: between cores", "nodes", "B", n, r["core core"])
                    lines.put(f"{what}: busiest core", "nodes", "loops", n, r["busiest"])
                else:
                    lines.put(f"{what}: from cores to nodes", "nodes x membership bytes", "B", n * size, r["core node"])
                lines.put(f"{what}: all know after", "nodes", "ms", n, r["ms"])
                lines.put(f"{what}: into a node", "nodes", "B", n, r["into"])
            mid = {k: statistics.median(r[k] for r in rows) for k in rows[0]}
            print(
                f"| {what} | {n} | {mid['ms']:.0f} ({min(r['ms'] for r in rows):.0f} to "
                f"{max(r['ms'] for r in rows):.0f}) | "
                + " | ".join(
                    measuring.short(mid[k])
                    for k in ("core core", "core node", "node node", "into", "busiest", "node", "step")
                )
                + " |",
                flush=True,
            )
    print()
    measuring.end(lines, out)


def lost(f: hollow_fleet.Fleet, what: str) -> dict[str, float]:
    """What it costs a fleet that something happens, beyond its quiet; "membership" is the size of its membership."""
    f.begin()
    f.go(4)
    size = len(
        wire.encoder.encode(
            wire.Envelope(0, 0, message.MembershipUpdate(next(iter(f.nodes.values())).follower.membership))
        )
    )
    quiet, still = f.metered(4), f.between(4)
    one = statistics.median(measuring.spent(measuring.loop) for _ in range(5))
    started_at = f.world.time
    f.world.meter = f.meter = processor_meter.Meter()
    gc.collect()
    gc.disable()
    happen(f, what)
    f.world.meter = None
    gc.enable()
    took = (f.world.time - started_at) / units.SECOND_US
    live = [x for x in quiet if f.world.processes[x].alive]
    into = dict.fromkeys(live, 0)
    for (a, b), (_, size_) in f.meter.sent.items():
        if b in into and a in quiet:
            into[b] += size_
    loops = {x: f.meter.spent[x] / one - quiet[x]["loops"] * took for x in live}
    nodes = [x for x in live if x in f.nodes]
    out = {
        "roster": size,
        "ms": took * 1000,
        "busiest": max(loops[x] for x in live if x in f.cores),
        "node": statistics.median(loops[x] for x in nodes),
        "into": statistics.median(into[x] - quiet[x]["in_bytes"] * took for x in nodes),
        "step": max(f.meter.longest[x] for x in nodes) / one,
    }
    now = f.between(1)
    return out | {k: now[k] - still[k] * took for k in now}


def happen(f: hollow_fleet.Fleet, what: str) -> None:
    """Let something happen to a fleet, and go on until all know."""
    live = lambda: [x for x in f.nodes.values() if x.process.alive]  # noqa: E731
    names = lambda x: {m.id for m in x.follower.membership.members}  # noqa: E731
    mine = [x for name, x in f.nodes.items() if f.roles()[name] == "node"] or list(f.nodes.values())
    match what:
        case "change":
            done = f.operator_runtime.spawn(f.operator.change(f.with_probe(f.probe + 1)), simulated_cluster.log)
            f.until(lambda: done.called, 30)
        case "restart":
            x = mine[0]
            name, (host, zone) = x.me.name, f.options[x.me.name]
            x.process.kill()
            f.go(0.1)
            f.start_node(name, host, zone)
            f.until(lambda: all(f.nodes[name].me.id in names(y) for y in live()), 30)
        case "worker":
            f.platform.put("w1", state="leaving")
            f.until(
                lambda: all(
                    y.follower.state("w1") == "leaving" and y.follower.membership.workers[0].state == "leaving"
                    for y in live()
                ),
                30,
            )
        case "zone":
            gone = {x.me.id for x in f.nodes.values() if x.me.zone == "zone5"}
            for x in f.nodes.values():
                if x.me.zone == "zone5":
                    x.process.host.fail()
            f.until(lambda: all(not gone & names(y) for y in live()), 30)
        case "tail":
            was = f.tail().consensus.view.number
            f.tail().process.kill()
            f.until(
                lambda: all(y.follower.membership.version[0] > was and y.follower.session.stands() for y in live()), 60
            )
        case "cut":
            some = [x.process.host.host for x in f.nodes.values() if int(x.me.zone[4:]) % 3 == 1]
            rest = [h for h in f.world.machines if h not in some]
            f.world.cut(some, rest)
            f.go(10)
            f.world.heal()
            f.until(lambda: all(len(names(y)) == len(f.nodes) and y.follower.session.stands() for y in live()), 60)
