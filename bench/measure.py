"""The figures of docs/measurements.md, each a command.

    python -m bench.measure hop
    python -m bench.measure saturate
    python -m bench.measure elects
    python -m bench.measure slices
    python -m bench.measure recovery
"""

import contextlib
import json
import statistics

import defopt
import loguru
import twisted.internet.defer as defer

import bench.fleet as fleet
import bench.scenes as scenes
import bench.town as town
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.replay as replay
import iriswheel.wire as wire


def spans(f):
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


def hop(*, shape: str = "magnolia", seconds: int = 20, runs: int = 3):
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
        print(f"{what}: {len(vals)} exchanges, median {statistics.median(vals):.2f} ms, "
              f"90 % {vals[int(len(vals) * 0.9)]:.2f} ms")


def saturate(*, shape: str = "magnolia", seconds: int = 8, rates: list[int] = (50, 100, 200, 300, 400)):
    """Raise the rate of short exchanges until first bytes come late.

    :param shape: magnolia, swan or small
    :param seconds: how long each rate lasts
    :param rates: short exchanges per second
    """
    for rate in rates:
        with fleet.Fleet(shape) as f:
            f.begin()
            rep = json.loads(f.load(
                seconds, "--short-rate", str(rate), "--long-rate", "1", "--talks", "0").communicate()[0])
            vals = sorted(v for vs in spans(f).values() for v in vs)
            cpu = f.cpu()
            print(f"{rate}/s: {rep['ends']['whole']} whole, {rep['ends']['refused']} refused; way to the worker "
                  f"median {statistics.median(vals):.1f} ms, 99 % {vals[int(len(vals) * 0.99)]:.1f} ms; "
                  f"CPU of the warden's node {cpu[f.warden()]:.0%}, of the busiest other node "
                  f"{max(v for n, v in cpu.items() if n in f.nodes and n != f.warden()):.0%}", flush=True)


def elects(*, shape: str = "magnolia", seconds: int = 5, depth: int = 64):
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

        async def ask(link, k, sort):
            ident = f"{sort}-{k}"
            res = await link.call(message.Elect(
                f.pool, tuple(duty["term"]), "bench", ident, ident, 1, sort != "claimed",
                ident if sort == "opened" else "", ["system"], 20, False, [],
                {"lifetime_us": 60 * machine.SECOND, "cost": 1}, machine.SECOND), 5 * machine.SECOND)
            if isinstance(res, message.Granted):
                done.append(ident)
            link.tell(message.Done(f.pool, ident, "ran"))

        async def lane(link, j, sort, until):
            k = 0
            while mach.now() < until:
                k += 1
                await ask(link, f"{j}-{k}", sort)

        async def go():
            link = await wire.connect(mach, fleet.HOST, f.nodes[holder][0], lambda *_: None, loguru.logger)
            for sort in ("placed", "claimed", "opened"):
                done.clear()
                until = mach.now() + seconds * machine.SECOND
                await defer.DeferredList([defer.ensureDeferred(lane(link, j, sort, until)) for j in range(depth)])
                print(f"{sort}: {len(done) / seconds:.0f} elections a second", flush=True)
            reactor.stop()

        reactor.callWhenRunning(lambda: mach.spawn(go()))
        reactor.run()


def slices(*, routes: list[int] = (0, 100, 1000), changes: int = 10):
    """Bytes that a change costs on each node's link, as routes outside its slice grow (simulated).

    :param routes: routes of another hall that the blueprint holds
    :param changes: changes to measure
    """
    loguru.logger.remove()
    for n in routes:
        t = town.Town(1, "magnolia", long_rate=0, short_rate=0, talks=0)
        t.probing = False
        for k in range(n):
            t.blueprint["routes"][f"far{k}"] = {"path": f"/far/{k}", "pool": t.pool, "zones": ["d"]}
        t.begin()
        t.go(2)

        def fed():
            return {p.member.name: p.link.sent_bytes for c in t.cores.values() for p in c.posts.values()}

        def wait(doc):
            done = t.office_mach.spawn(t.boss.change(doc), town.log)
            t.until(lambda: done.called, 20)

        quiet = fed()
        t.go(10)
        rest = {name: (fed()[name] - b) / 10 for name, b in quiet.items()}
        for what, grow in (("a route of all halls", "probe"), ("a route of hall d", "far")):
            before, began = fed(), t.world.time
            for k in range(1, changes + 1):
                if grow == "far":
                    t.blueprint["routes"]["farther"] = {"path": f"/farther/{t.probe}/{k}", "pool": t.pool, "zones": ["d"]}
                    wait(t.with_probe(t.probe))
                else:
                    wait(t.with_probe(t.probe + 1))
            took = (t.world.time - began) / town.S
            per = {name: (fed()[name] - b - rest[name] * took) / changes for name, b in before.items()}
            print(f"{n} routes of hall d, a change to {what}: n1 (hall a) {per['n1']:.0f} bytes, "
                  f"n6 (hall d) {per['n6']:.0f} bytes; quiet: {rest['n1']:.0f} bytes/s", flush=True)


def recovery(*, names: list[str] = ("kill_node", "kill_warden", "kill_core", "freeze", "cut_node", "kill_hall"),
             seeds: int = 10, shape: str = "magnolia"):
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
            print(f"{name}: {what}: {len(rows)} faults, {sum(r[1] for r in rows)} first sends failed, "
                  f"{sum(r[2] for r in rows)} sent; the last failed one sent after: median {ms[len(ms) // 2]} ms, "
                  f"worst {ms[-1]} ms",
                  flush=True)


if __name__ == "__main__":
    defopt.run([hop, saturate, elects, slices, recovery])
