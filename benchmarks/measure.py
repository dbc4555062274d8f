"""The figures of docs/measurements.md, each a command.

python -m benchmarks.measure hop
python -m benchmarks.measure saturate
python -m benchmarks.measure elects
python -m benchmarks.measure slices
python -m benchmarks.measure recovery
python -m benchmarks.measure capacity
"""

from __future__ import annotations

import contextlib
import json
import statistics
import typing

import defopt
import loguru
from twisted.internet import defer

from benchmarks import fleet
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire
from iriswheel.verification import replay
from simulation import simulated_cluster
from simulation.scenarios import actions, registry


def spans(f: typing.Any) -> typing.Any:
    """From the sending of a first send to its arrival at a worker, by node, in ms."""
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
    """What the way through a node costs, at the pool owner's own node and at the others.

    :param shape: magnolia, swan or small
    :param seconds: how long each run lasts
    :param runs: how many runs
    """
    own, others = [], []
    for k in range(runs):
        with fleet.Fleet(shape) as f:
            f.begin()
            at = f.owner()
            f.load(seconds, "--seed", str(k + 1)).communicate()
            for name, values in spans(f).items():
                (own if name == at else others).extend(values)
    for what, values in (("warden's own node", own), ("other nodes", others)):
        values.sort()
        print(
            f"{what}: {len(values)} exchanges, median {statistics.median(values):.2f} ms, "
            f"90 % {values[int(len(values) * 0.9)]:.2f} ms"
        )


def saturate(*, shape: str = "magnolia", seconds: int = 8, rates: list[int] = (50, 100, 200, 300, 400)) -> None:
    """Raise the rate of short requests until first bytes come late.

    :param shape: magnolia, swan or small
    :param seconds: how long each rate lasts
    :param rates: short requests per second
    """
    for rate in rates:
        with fleet.Fleet(shape) as f:
            f.begin()
            rep = json.loads(
                f.load(seconds, "--short-rate", str(rate), "--long-rate", "1", "--talks", "0").communicate()[0]
            )
            values = sorted(v for vs in spans(f).values() for v in vs)
            cpu = f.cpu()
            print(
                f"{rate}/s: {rep['ends']['whole']} whole, {rep['ends']['refused']} refused; way to the worker "
                f"median {statistics.median(values):.1f} ms, 99 % {values[int(len(values) * 0.99)]:.1f} ms; "
                f"CPU of the warden's node {cpu[f.owner()]:.0%}, of the busiest other node "
                f"{max(v for n, v in cpu.items() if n in f.nodes and n != f.owner()):.0%}",
                flush=True,
            )


def selections(*, shape: str = "magnolia", seconds: int = 5, depth: int = 64) -> None:
    """Elections that one pool owner answers per second, asked over one link, many at a time.

    :param shape: magnolia, swan or small
    :param seconds: how long to ask
    :param depth: questions under way at a time
    """
    from twisted.internet import reactor

    loguru.logger.remove()
    with fleet.Fleet(shape) as f:
        f.configuration["pools"][f.pool].update(slots=100_000, long_slots=100_000, cap=0)
        f.begin()
        holder = f.owner()
        assignment = next(d for d in f.state(holder)["duties"] if d["key"] == f"pool/{f.pool}")
        runtime = scheduler.Runtime(reactor)
        done = []

        async def query(connection: typing.Any, k: typing.Any, sort: typing.Any) -> None:
            identifier = f"{sort}-{k}"
            response = await connection.call(
                message.SelectWorker(
                    f.pool,
                    tuple(assignment["term"]),
                    "bench",
                    identifier,
                    identifier,
                    1,
                    sort != "claimed",
                    identifier if sort == "opened" else "",
                    ["system"],
                    20,
                    False,
                    [],
                    {"lifetime_us": 60 * units.SECOND_US, "cost": 1},
                    units.SECOND_US,
                ),
                5 * units.SECOND_US,
            )
            if isinstance(response, message.SelectionGranted):
                done.append(identifier)
            connection.tell(message.GrantReleased(f.pool, identifier, "ran"))

        async def lane(connection: typing.Any, j: typing.Any, sort: typing.Any, until: typing.Any) -> None:
            k = 0
            while runtime.now() < until:
                k += 1
                await query(connection, f"{j}-{k}", sort)

        async def go() -> None:
            connection = await wire.connect(runtime, fleet.HOST, f.nodes[holder][0], lambda *_: None, loguru.logger)
            for sort in ("placed", "claimed", "opened"):
                done.clear()
                until = runtime.now() + seconds * units.SECOND_US
                await defer.DeferredList([defer.ensureDeferred(lane(connection, j, sort, until)) for j in range(depth)])
                print(f"{sort}: {len(done) / seconds:.0f} elections a second", flush=True)
            reactor.stop()

        reactor.callWhenRunning(lambda: runtime.spawn(go()))
        reactor.run()


def slices(*, routes: list[int] = (0, 100, 1000), changes: int = 10) -> None:
    """Bytes that a change costs on each node's link, as routes outside its slice grow (simulated).

    :param routes: routes of another zone that the configuration holds
    :param changes: changes to measure
    """
    loguru.logger.remove()
    for n in routes:
        t = simulated_cluster.SimulatedCluster(1, "magnolia", long_rate=0, short_rate=0, conversations=0)
        t.probing = False
        for k in range(n):
            t.configuration["routes"][f"far{k}"] = {"path": f"/far/{k}", "pool": t.pool, "zones": ["d"]}
        t.begin()
        t.go(2)

        def published() -> dict[typing.Any, typing.Any]:
            return {
                p.member.name: p.connection.sent_bytes
                for c in t.cores.values()
                for p in c.node_sessions.by_node.values()
            }

        def wait(document: typing.Any) -> None:
            done = t.operator_runtime.spawn(t.operator.change(document), simulated_cluster.log)
            t.until(lambda: done.called, 20)

        quiet = published()
        t.go(10)
        rest = {name: (published()[name] - b) / 10 for name, b in quiet.items()}
        for what, grow in (("a route of all halls", "probe"), ("a route of hall d", "far")):
            before, started_at = published(), t.world.time
            for k in range(1, changes + 1):
                if grow == "far":
                    t.configuration["routes"]["farther"] = {
                        "path": f"/farther/{t.probe}/{k}",
                        "pool": t.pool,
                        "zones": ["d"],
                    }
                    wait(t.with_probe(t.probe))
                else:
                    wait(t.with_probe(t.probe + 1))
            took = (t.world.time - started_at) / units.SECOND_US
            per = {name: (published()[name] - b - rest[name] * took) / changes for name, b in before.items()}
            print(
                f"{n} routes of hall d, a change to {what}: n1 (hall a) {per['n1']:.0f} bytes, "
                f"n6 (hall d) {per['n6']:.0f} bytes; quiet: {rest['n1']:.0f} bytes/s",
                flush=True,
            )


def recovery(
    *,
    names: list[str] = ("kill_node", "kill_owner", "kill_core", "freeze", "cut_node", "kill_hall"),
    seeds: int = 10,
    shape: str = "magnolia",
) -> None:
    """After each fault, until when first sends failed, over seeds (simulated).

    :param names: scenarios
    :param seeds: how many seeds for each
    :param shape: magnolia, swan or small
    """
    loguru.logger.remove()
    for name in names:
        out = {}
        for seed in range(1, seeds + 1):
            with contextlib.suppress(TimeoutError):
                t = registry.play(name, seed, shape)
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
        connection.sent_bytes
        for core in t.cores.values()
        for connection in [
            *(node_session.connection for node_session in core.node_sessions.by_node.values()),
            *core.peers.connections.values(),
        ]
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
            t = simulated_cluster.SimulatedCluster(
                seed, "magnolia", long_rate=0, short_rate=0, conversations=0, zones=[f"h{k % 8}" for k in range(n)]
            )
            t.probing = False
            for k in range(r):
                t.configuration["routes"][f"r{k}"] = {"path": f"/r/{k}", "pool": t.pool}
            t.begin()
            t.go(3)
            before = _sent_bytes(t)
            t.go(10)
            quiet = (_sent_bytes(t) - before) / 10
            took = []
            for _ in range(5):
                started_at = t.world.time
                done = t.operator_runtime.spawn(t.operator.change(t.with_probe(t.probe + 1)), simulated_cluster.log)
                t.until(lambda: done.called, 30)
                took.append((t.world.time - started_at) / 1000)
            tail = t.tail()
            started_at = t.world.time
            tail.process.kill()
            done = t.operator_runtime.spawn(t.operator.change(t.with_probe(t.probe + 1)), simulated_cluster.log)
            t.until(lambda: done.called, 40)
            membership = len(
                wire.encoder.encode(max((c.membership.latest for c in t.cores.values()), key=lambda x: x.version))
            )
            print(
                f"{n} nodes, {r} routes: plan and confirm {sorted(took)[2]:.0f} ms "
                f"(median of 5, worst {max(took):.0f}); the "
                f" cores send {quiet / 1000:.1f} kB/s when quiet; roster {membership} bytes; "
                f"tail lost: next change after {(t.world.time - started_at) / 1e6:.1f} s",
                flush=True,
            )


def sizes(*, minutes: int = 60, shape: str = "magnolia", seed: int = 1) -> None:
    """What the processes hold, as a long day goes on with changes and faults (simulated).

    :param minutes: how long
    :param shape: magnolia or swan
    :param seed: the run's seed
    """
    loguru.logger.remove()
    t = simulated_cluster.SimulatedCluster(seed, shape, long_rate=0.2, short_rate=2, conversations=4)
    t.begin()
    t.load.us = minutes * 60 * units.SECOND_US
    kinds = ("kill_node", "kill_core", "worker_crash", "freeze", "kill_owner")

    async def change() -> None:
        while True:
            await t.operator.change(t.with_probe(t.probe + 1))
            await t.operator_runtime.sleep(3 * units.SECOND_US)

    t.operator_runtime.spawn(change(), simulated_cluster.log)
    for k in range(minutes):
        end = t.world.time + 60 * units.SECOND_US
        if k % 3 == 1:
            name = kinds[(k // 3) % len(kinds)]
            x = {
                "kill_node": lambda: actions.some_node(t, owner=False),
                "kill_core": lambda: actions.some_core(t),
                "kill_owner": lambda: actions.some_node(t, owner=True),
                "freeze": lambda: actions.some_node(t),
                "worker_crash": lambda: t.workers[sorted(t.workers)[0]],
            }[name]()
            if name == "freeze":
                x.process.freeze()
                t.go(4)
                x.process.wake()
            else:
                actions.kill(t, getattr(x, "identifier", None) or x.options.name, restart_after=4)
        t.go((end - t.world.time) / units.SECOND_US)
        t.tape.rows.clear()
        if (k + 1) % 5 == 0:
            print(f"{k + 1} min: " + ", ".join(f"{n} {v}" for n, v in held(t).items()), flush=True)


def held(t: typing.Any) -> dict[typing.Any, typing.Any]:
    """The largest size of each thing that the processes keep."""
    nodes = [n for n in t.nodes.values() if n.process.alive]
    cores = [c for c in t.cores.values() if c.process.alive]
    ws = [w for n in nodes for w in n.pool_owners.values()]
    most = lambda xs: max(xs, default=0)  # noqa: E731
    return {
        "claims": most(len(w.records.claims) for w in ws),
        "grants": most(len(w.records.grants) for w in ws),
        "sessions": most(len(w.records.session_table.records) for w in ws),
        "voids": most(len(w.records.abandoned) for w in ws),
        "budget": most(len(w.records.budget.first_attempts) + len(w.records.budget.retries) for w in ws),
        "gone": most(len(w.records.closed_ids) for w in ws),
        "heard": most(len(h) for w in ws for h in w.watch.last_contact.values()),
        "copies": most(len(s.sessions) + len(s.claims) for n in nodes for s in n.pool_roles.replicas.values()),
        "pins": most(len(n.gateway.selector.affinities) for n in nodes),
        "given up": most(len(n.given_up) for n in nodes),
        "tallies": most(
            len(b.first_attempts) + len(b.retries) for n in nodes for b in n.gateway.retry_budgets.budgets.values()
        ),
        "links": most(len(x.peers.connections) for x in nodes + cores),
        "plans": most(len(c.chain.latest_state.plans) for c in cores),
        "history": most(len(c.chain.history) for c in cores),
        "entries": most(len(c.chain.log.entries) for c in cores),
        "keys on disk": most(len(c.process.host.synced) for c in cores),
        "bytes on disk": most(sum(len(v) for v in c.process.host.synced.values()) for c in cores),
        "pulses": most(len(c.consensus.heartbeats) for c in cores),
        "posts": most(len(c.node_sessions.by_node) for c in cores),
        "seated": most(len(c.node_reports.active) for c in cores),
        "left": most(len(c.membership.left) for c in cores),
        "places": most(len(c.membership.seen) for c in cores),
        "connections": len(t.world.connections),
    }


def capacity(*, small: bool = False) -> None:
    """The slopes of docs/CAPACITY.md, one after the other; benchmarks/capacity has them singly.

    :param small: a few sizes only
    """
    import benchmarks.capacity.__main__ as slopes

    slopes.everything(small=small)


if __name__ == "__main__":
    defopt.run([hop, saturate, selections, slices, recovery, scale, sizes, capacity])
