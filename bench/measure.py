"""The figures of docs/measurements.md, each a command.

python -m bench.measure hop
python -m bench.measure saturate
python -m bench.measure elects
python -m bench.measure slices
python -m bench.measure recovery
python -m bench.measure capacity
"""

from __future__ import annotations

import contextlib
import json
import statistics
import typing

import defopt
import loguru
import twisted.internet.defer as defer

import bench.fleet as fleet
import bench.scenes as scenes
import bench.simulated_cluster as simulated_cluster
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.replay as replay
import iriswheel.wire as wire


def spans(f: typing.Any) -> typing.Any:
    """From the sending of a first send to its arrival at a worker, by node, in ms.

    Example: `spans(fleet)["n1"]`
    """
    rows = []
    for name in ["load", *f.workers]:
        with open(f.events(name)) as lines:
            rows += replay.read(lines)[0]
    ran = {(r["exchange"], r["send"]): r["at"] for r in rows if r["kind"] == "run"}
    names = {f"{fleet.HOST}:{http}": name for name, (_, http) in f.nodes.items()}
    out = {}
    for r in rows:
        key = (r.get("exchange"), r.get("send"))
        if r["kind"] == "sent" and r["send"] == 1 and r["sort"] != "long" and key in ran:
            out.setdefault(names[r["node"]], []).append((ran[key] - r["at"]) / 1000)
    return out


def hop(*, shape: str = "magnolia", seconds: int = 20, runs: int = 3) -> None:
    """What the way through a node costs, at the warden's own node and at the others.

    :param shape: magnolia, swan or small
    :param seconds: how long each run lasts
    :param runs: how many runs
    """
    own, others = [], []
    for k in range(runs):
        with fleet.Fleet(shape) as f:
            f.begin()
            at = f.warden()
            f.load(seconds, "--seed", str(k + 1)).communicate()
            for name, vals in spans(f).items():
                (own if name == at else others).extend(vals)
    for what, vals in (("warden's own node", own), ("other nodes", others)):
        vals.sort()
        print(
            f"{what}: {len(vals)} exchanges, median {statistics.median(vals):.2f} ms, "
            f"90 % {vals[int(len(vals) * 0.9)]:.2f} ms"
        )


def saturate(*, shape: str = "magnolia", seconds: int = 8, rates: list[int] = (50, 100, 200, 300, 400)) -> None:
    """Raise the rate of short exchanges until first bytes come late.

    :param shape: magnolia, swan or small
    :param seconds: how long each rate lasts
    :param rates: short exchanges per second
    """
    for rate in rates:
        with fleet.Fleet(shape) as f:
            f.begin()
            rep = json.loads(
                f.load(seconds, "--short-rate", str(rate), "--long-rate", "1", "--talks", "0").communicate()[0]
            )
            vals = sorted(v for vs in spans(f).values() for v in vs)
            cpu = f.cpu()
            print(
                f"{rate}/s: {rep['ends']['whole']} whole, {rep['ends']['refused']} refused; way to the worker "
                f"median {statistics.median(vals):.1f} ms, 99 % {vals[int(len(vals) * 0.99)]:.1f} ms; "
                f"CPU of the warden's node {cpu[f.warden()]:.0%}, of the busiest other node "
                f"{max(v for n, v in cpu.items() if n in f.nodes and n != f.warden()):.0%}",
                flush=True,
            )


def elects(*, shape: str = "magnolia", seconds: int = 5, depth: int = 64) -> None:
    """Elections that one warden answers per second, asked over one link, many at a time.

    :param shape: magnolia, swan or small
    :param seconds: how long to ask
    :param depth: questions under way at a time
    """
    import twisted.internet.reactor as reactor

    loguru.logger.remove()
    with fleet.Fleet(shape) as f:
        f.blueprint["pools"][f.pool].update(slots=100_000, long_slots=100_000, cap=0)
        f.begin()
        holder = f.warden()
        duty = next(d for d in f.state(holder)["duties"] if d["key"] == f"pool/{f.pool}")
        mach = machine.Machine(reactor)
        done = []

        async def ask(link: typing.Any, k: typing.Any, sort: typing.Any) -> None:
            ident = f"{sort}-{k}"
            res = await link.call(
                message.Elect(
                    f.pool,
                    tuple(duty["term"]),
                    "bench",
                    ident,
                    ident,
                    1,
                    sort != "claimed",
                    ident if sort == "opened" else "",
                    ["system"],
                    20,
                    False,
                    [],
                    {"lifetime_us": 60 * machine.SECOND, "cost": 1},
                    machine.SECOND,
                ),
                5 * machine.SECOND,
            )
            if isinstance(res, message.Granted):
                done.append(ident)
            link.tell(message.Done(f.pool, ident, "ran"))

        async def lane(link: typing.Any, j: typing.Any, sort: typing.Any, until: typing.Any) -> None:
            k = 0
            while mach.now() < until:
                k += 1
                await ask(link, f"{j}-{k}", sort)

        async def go() -> None:
            link = await wire.connect(mach, fleet.HOST, f.nodes[holder][0], lambda *_: None, loguru.logger)
            for sort in ("placed", "claimed", "opened"):
                done.clear()
                until = mach.now() + seconds * machine.SECOND
                await defer.DeferredList([defer.ensureDeferred(lane(link, j, sort, until)) for j in range(depth)])
                print(f"{sort}: {len(done) / seconds:.0f} elections a second", flush=True)
            reactor.stop()

        reactor.callWhenRunning(lambda: mach.spawn(go()))
        reactor.run()


def slices(*, routes: list[int] = (0, 100, 1000), changes: int = 10) -> None:
    """Bytes that a change costs on each node's link, as routes outside its slice grow (simulated).

    :param routes: routes of another hall that the configuration holds
    :param changes: changes to measure
    """
    loguru.logger.remove()
    for n in routes:
        t = simulated_cluster.SimulatedCluster(1, "magnolia", long_rate=0, short_rate=0, talks=0)
        t.probing = False
        for k in range(n):
            t.blueprint["routes"][f"far{k}"] = {"path": f"/far/{k}", "pool": t.pool, "zones": ["d"]}
        t.begin()
        t.go(2)

        def fed() -> dict[typing.Any, typing.Any]:
            return {p.member.name: p.link.sent_bytes for c in t.cores.values() for p in c.node_sessions.values()}

        def wait(doc: typing.Any) -> None:
            done = t.office_mach.spawn(t.boss.change(doc), simulated_cluster.log)
            t.until(lambda: done.called, 20)

        quiet = fed()
        t.go(10)
        rest = {name: (fed()[name] - b) / 10 for name, b in quiet.items()}
        for what, grow in (("a route of all halls", "probe"), ("a route of hall d", "far")):
            before, began = fed(), t.world.time
            for k in range(1, changes + 1):
                if grow == "far":
                    t.blueprint["routes"]["farther"] = {
                        "path": f"/farther/{t.probe}/{k}",
                        "pool": t.pool,
                        "zones": ["d"],
                    }
                    wait(t.with_probe(t.probe))
                else:
                    wait(t.with_probe(t.probe + 1))
            took = (t.world.time - began) / simulated_cluster.S
            per = {name: (fed()[name] - b - rest[name] * took) / changes for name, b in before.items()}
            print(
                f"{n} routes of hall d, a change to {what}: n1 (hall a) {per['n1']:.0f} bytes, "
                f"n6 (hall d) {per['n6']:.0f} bytes; quiet: {rest['n1']:.0f} bytes/s",
                flush=True,
            )


def recovery(
    *,
    names: list[str] = ("kill_node", "kill_warden", "kill_core", "freeze", "cut_node", "kill_hall"),
    seeds: int = 10,
    shape: str = "magnolia",
) -> None:
    """After each fault, until when first sends failed, over seeds (simulated).

    :param names: scenes
    :param seeds: how many seeds for each
    :param shape: magnolia, swan or small
    """
    loguru.logger.remove()
    for name in names:
        out = {}
        for seed in range(1, seeds + 1):
            with contextlib.suppress(TimeoutError):
                t = scenes.play(name, seed, shape)
                for fault, ms, bad, n in replay.recovery(t.tape.rows):
                    out.setdefault(fault.split()[0], []).append((ms, bad, n))
        for what, rows in out.items():
            ms = sorted(r[0] for r in rows)
            print(
                f"{name}: {what}: {len(rows)} faults, {sum(r[1] for r in rows)} first sends failed, "
                f"{sum(r[2] for r in rows)} sent; the last failed one sent after: median {ms[len(ms) // 2]} ms, "
                f"worst {ms[-1]} ms",
                flush=True,
            )


def _sent_bytes(t: typing.Any) -> typing.Any:
    """What the cores have sent so far, in bytes, on all their links."""
    return sum(
        link.sent_bytes
        for core in t.cores.values()
        for link in [*(post.link for post in core.node_sessions.values()), *core.peers.links.values()]
    )


def scale(*, nodes: list[int] = (8, 32, 128), routes: list[int] = (10, 2000), seed: int = 1) -> None:
    """Three cores with many nodes and routes: a change's way, traffic, the loss of the tail (simulated).

    :param nodes: how many nodes
    :param routes: how many routes
    :param seed: the run's seed
    """
    loguru.logger.remove()
    for n in nodes:
        for r in routes:
            t = simulated_cluster.SimulatedCluster(seed, "magnolia", 0, 0, 0, halls=[f"h{k % 8}" for k in range(n)])
            t.probing = False
            for k in range(r):
                t.blueprint["routes"][f"r{k}"] = {"path": f"/r/{k}", "pool": t.pool}
            t.begin()
            t.go(3)
            before = _sent_bytes(t)
            t.go(10)
            quiet = (_sent_bytes(t) - before) / 10
            took = []
            for _ in range(5):
                began = t.world.time
                done = t.office_mach.spawn(t.boss.change(t.with_probe(t.probe + 1)), simulated_cluster.log)
                t.until(lambda: done.called, 30)
                took.append((t.world.time - began) / 1000)
            tail = t.tail()
            began = t.world.time
            tail.proc.kill()
            done = t.office_mach.spawn(t.boss.change(t.with_probe(t.probe + 1)), simulated_cluster.log)
            t.until(lambda: done.called, 40)
            roster = len(wire.encoder.encode(max((c.issuer.latest for c in t.cores.values()), key=lambda x: x.stamp)))
            print(
                f"{n} nodes, {r} routes: plan and confirm {sorted(took)[2]:.0f} ms "
                f"(median of 5, worst {max(took):.0f}); the "
                f" cores send {quiet / 1000:.1f} kB/s when quiet; roster {roster} bytes; "
                f"tail lost: next change after {(t.world.time - began) / 1e6:.1f} s",
                flush=True,
            )


def sizes(*, minutes: int = 60, shape: str = "magnolia", seed: int = 1) -> None:
    """What the processes hold, as a long day goes on with changes and faults (simulated).

    :param minutes: how long
    :param shape: magnolia or swan
    :param seed: the run's seed
    """
    loguru.logger.remove()
    t = simulated_cluster.SimulatedCluster(seed, shape, long_rate=0.2, short_rate=2, talks=4)
    t.begin()
    t.load.us = minutes * 60 * simulated_cluster.S
    kinds = ("kill_node", "kill_core", "worker_crash", "freeze", "kill_warden")

    async def change() -> None:
        while True:
            await t.boss.change(t.with_probe(t.probe + 1))
            await t.office_mach.sleep(3 * simulated_cluster.S)

    t.office_mach.spawn(change(), simulated_cluster.log)
    for k in range(minutes):
        end = t.world.time + 60 * simulated_cluster.S
        if k % 3 == 1:
            name = kinds[(k // 3) % len(kinds)]
            x = {
                "kill_node": lambda: scenes.some_node(t, warden=False),
                "kill_core": lambda: scenes.some_core(t),
                "kill_warden": lambda: scenes.some_node(t, warden=True),
                "freeze": lambda: scenes.some_node(t),
                "worker_crash": lambda: t.workers[sorted(t.workers)[0]],
            }[name]()
            if name == "freeze":
                x.proc.freeze()
                t.go(4)
                x.proc.wake()
            else:
                scenes.kill(t, x, getattr(x, "ident", None) or x.options.name, back=4)
        t.go((end - t.world.time) / simulated_cluster.S)
        t.tape.rows.clear()
        if (k + 1) % 5 == 0:
            print(f"{k + 1} min: " + ", ".join(f"{n} {v}" for n, v in held(t).items()), flush=True)


def held(t: typing.Any) -> dict[typing.Any, typing.Any]:
    """The largest size of each thing that the processes keep.

    Example: `held(simulated_cluster)["claims"]`
    """
    nodes = [n for n in t.nodes.values() if n.proc.alive]
    cores = [c for c in t.cores.values() if c.proc.alive]
    ws = [w for n in nodes for w in n.wardens.values()]
    most = lambda xs: max(xs, default=0)  # noqa: E731
    return {
        "claims": most(len(w.claims) for w in ws),
        "grants": most(len(w.grants) for w in ws),
        "sessions": most(len(w.book.records) for w in ws),
        "voids": most(len(w.voids) for w in ws),
        "budget": most(len(w.budget.firsts) + len(w.budget.repeats) for w in ws),
        "gone": most(len(w.gone) for w in ws),
        "heard": most(len(h) for w in ws for h in w.watch.heard.values()),
        "copies": most(len(s.sessions) + len(s.claims) for n in nodes for s in n.session_replicas.values()),
        "pins": most(len(n.door.pins) for n in nodes),
        "given up": most(len(n.given_up) for n in nodes),
        "tallies": most(len(b.firsts) + len(b.repeats) for n in nodes for b in n.door.tallies.values()),
        "links": most(len(x.peers.links) for x in nodes + cores),
        "plans": most(len(c.chain.tip.plans) for c in cores),
        "history": most(len(c.chain.history) for c in cores),
        "entries": most(len(c.chain.log) for c in cores),
        "keys on disk": most(len(c.proc.host.synced) for c in cores),
        "bytes on disk": most(sum(len(v) for v in c.proc.host.synced.values()) for c in cores),
        "pulses": most(len(c.membership.heartbeats) for c in cores),
        "posts": most(len(c.node_sessions) for c in cores),
        "seated": most(len(c.seated) for c in cores),
        "left": most(len(c.issuer.left) for c in cores),
        "places": most(len(c.issuer.places) for c in cores),
        "connections": len(t.world.conns),
    }


def capacity(*, small: bool = False) -> None:
    """The slopes of docs/CAPACITY.md, one after the other; bench/capacity.py has them singly.

    :param small: a few sizes only
    """
    import bench.capacity as slopes

    slopes.everything(small=small)


if __name__ == "__main__":
    defopt.run([hop, saturate, elects, slices, recovery, scale, sizes, capacity])
