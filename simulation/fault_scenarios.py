"""The scenarios that the simulator plays: each brings about one of the brief's failures.

A scenario gets a town that has begun; it lets time pass and does its harm. Scenes are
found by name; `SCENES` lists them.
"""

from __future__ import annotations

import collections.abc
import typing

import simulation.simulated_cluster as simulated_cluster

if typing.TYPE_CHECKING:
    import twisted.internet.defer as defer

    import iriswheel.control.core as core
    import iriswheel.node.node as node


S = simulated_cluster.S


def changes(t: simulated_cluster.SimulatedCluster, n: int = 8, gap: float = 4.0) -> defer.Deferred[typing.Any]:
    """Let the operator confirm n changes, one each gap seconds."""

    async def go() -> None:
        for k in range(t.probe + 1, t.probe + 1 + n):
            await t.operator.change(t.with_probe(k))
            await t.operator_runtime.sleep(int(gap * S))

    return t.operator_runtime.spawn(go(), simulated_cluster.log)


def some_node(t: simulated_cluster.SimulatedCluster, owner: bool | None = None) -> node.Node:
    """A live node by chance; with `pool owner` said, that one or one that is not it."""
    w = t.owner()
    names = [n for n in sorted(t.nodes) if t.nodes[n].process.alive]
    if owner is True and w is not None:
        return w
    if owner is False and w is not None:
        names.remove(w.me.name)
    return t.nodes[t.rng.choice(names)]


def some_core(t: simulated_cluster.SimulatedCluster) -> core.Core:
    """A live core by chance."""
    return t.cores[t.rng.choice([c for c in sorted(t.cores) if t.cores[c].process.alive])]


def kill(
    t: simulated_cluster.SimulatedCluster,
    proc_owner: core.Core | node.Node,
    name: str,
    back: float | None = None,
    large: bool = False,
) -> None:
    """Kill a process, and start it again after a while."""
    t.fault("kill", name, large)
    proc_owner.process.kill()
    if back is not None:
        t.world.push(t.world.time + int(back * S), lambda: restart(t, name))


def later(t: typing.Any, seconds: typing.Any, what: typing.Any, target: typing.Any, f: typing.Any) -> None:
    """Mend something after a while, and note it."""

    def repair() -> None:
        f()
        t.repair(what, target)

    t.world.push(t.world.time + int(seconds * S), repair)


def restart(t: simulated_cluster.SimulatedCluster, name: str) -> None:
    """Start a core, node or worker again where it was."""
    t.repair("start", name)
    if name in t.cores:
        t.start_core(name, *t.options[name])
    elif name in t.nodes:
        t.start_node(name, *t.options[name])
    else:
        t.start_worker(name, t.workers[name].host)


def calm(t: simulated_cluster.SimulatedCluster) -> None:
    """Nothing happens, but for the operator's changes."""
    changes(t)
    t.go(40)


def kill_node(t: simulated_cluster.SimulatedCluster) -> None:
    """One node after the other is killed and comes back."""
    changes(t)
    for _ in range(3):
        t.go(6)
        n = some_node(t, owner=False)
        kill(t, n, n.me.name, back=2 + t.rng.random() * 4)
        t.go(6)


def kill_owner(t: simulated_cluster.SimulatedCluster) -> None:
    """The pool owner is killed, and its successor too."""
    changes(t)
    for _ in range(2):
        t.go(6 + t.rng.random())
        n = some_node(t, owner=True)
        kill(t, n, n.me.name, back=3 + t.rng.random() * 4)
        t.go(14)


def kill_pair(t: simulated_cluster.SimulatedCluster) -> None:
    """The pool owner and, about when its role moves, the tail are killed; the newest membership may be lost with it."""
    changes(t, 10, 4)
    for _ in range(3):
        t.go(6 + t.rng.random())
        n = some_node(t, owner=True)
        kill(t, n, n.me.name, back=0.4 + t.rng.random() * 3)
        t.go(t.rng.random() * 1.2)
        c = t.tail() or some_core(t)
        kill(t, c, c.options.name, back=1 + t.rng.random() * 3)
        t.go(12)


def kill_core(t: simulated_cluster.SimulatedCluster) -> None:
    """Core machines' processes are killed in turn and come back."""
    changes(t, 12, 3)
    for _ in range(3):
        t.go(5 + t.rng.random())
        c = some_core(t)
        kill(t, c, c.options.name, back=1 + t.rng.random() * 6)
        t.go(11)


def power_after_ack(t: simulated_cluster.SimulatedCluster) -> None:
    """A core machine loses power just after an acknowledgement, with the disk or without."""
    for _ in range(1, 4):
        t.go(4)
        done = t.operator_runtime.spawn(t.operator.change(t.with_probe(t.probe + 1)), simulated_cluster.log)
        t.until(lambda: done.called, 20)
        c = t.rng.choice([x for x in (t.head(), t.tail(), some_core(t)) if x is not None])
        name = c.options.name
        t.fault("power", name)
        c.process.host.fail()
        if t.rng.random() < 0.4:
            c.process.host.synced.clear()
        t.go(2 + t.rng.random() * 8)
        restart(t, name)
        t.go(16)


def kill_many(t: simulated_cluster.SimulatedCluster) -> None:
    """The pool owner, its copies and more nodes are killed at once."""
    changes(t)
    t.go(8)
    names = sorted(t.nodes)
    t.rng.shuffle(names)
    w = t.owner()
    doomed = names[: len(names) // 2]
    if w is not None and t.rng.random() < 0.5:
        doomed = [w.me.name] + [i.rsplit("-", 1)[0] for i in w.pool_owners[t.pool].assignment.copies]
    for n in sorted(set(doomed)):
        kill(t, t.nodes[n], n, back=2 + t.rng.random() * 6, large=True)
    t.go(25)


def roll_nodes(t: simulated_cluster.SimulatedCluster) -> None:
    """Nodes are stopped in good order and started again, one after the other."""
    changes(t)
    for name in sorted(t.nodes)[:4]:
        t.go(4)
        n = t.nodes[name]
        done = n.runtime.spawn(n.stop(), simulated_cluster.log)
        t.until(lambda: done.called, 40)
        n.process.kill()
        t.go(0.5 + t.rng.random())
        t.start_node(name, *t.options[name])
        t.until(lambda: t.platform.heartbeat_sent_at.get(name), 10)


def upgrade(t: simulated_cluster.SimulatedCluster) -> None:
    """Half of the fleet is brought to the next version of our messages, all of it, and half back again."""
    changes(t, 16, 3)
    next_one = t.nodes["n1"].runtime.protocol_version + 1
    names = [*sorted(t.nodes), *sorted(t.cores)]
    half = names[::2]
    for name, version in [(n, next_one) for n in half] + [(n, next_one - 1) for n in half[::2]]:
        t.versions[name] = version
        x = {**t.cores, **t.nodes}[name]
        done = x.runtime.spawn(x.stop(), simulated_cluster.log)
        t.until(lambda: done.called, 40)
        x.process.kill()
        t.go(0.5)
        (t.start_core if name in t.cores else t.start_node)(name, *t.options[name])
        t.until(lambda: t.platform.heartbeat_sent_at.get(name), 10) if name in t.nodes else t.go(6)


def roll_cores(t: simulated_cluster.SimulatedCluster) -> None:
    """Core machines are stopped in good order and started again, one after the other."""
    changes(t, 10)
    for name in sorted(t.cores):
        t.go(6)
        c = t.cores[name]
        done = c.runtime.spawn(c.stop(), simulated_cluster.log)
        t.until(lambda: done.called, 5)
        c.process.kill()
        t.go(0.5 + t.rng.random())
        t.start_core(name, *t.options[name])
        t.go(8)


def kill_hall(t: simulated_cluster.SimulatedCluster) -> None:
    """A whole zone loses power, and comes back."""
    changes(t)
    t.go(8)
    zone = t.rng.choice(sorted(set(t.zones)))
    gone = [x for x in sorted({**t.cores, **t.nodes}) if t.options[x][1] == zone]
    for x in gone:
        t.fault("power", x, True)
        t.world.machines[t.options[x][0]].fail()
    t.go(4 + t.rng.random() * 6)
    for x in gone:
        restart(t, x)
    t.go(20)


def kill_all_cores(t: simulated_cluster.SimulatedCluster) -> None:
    """All core machines are killed at once and come back."""
    changes(t)
    t.go(8)
    for c in sorted(t.cores):
        kill(t, t.cores[c], c, back=1 + t.rng.random() * 5)
    t.go(25)


def kill_all(t: simulated_cluster.SimulatedCluster) -> None:
    """Everything of ours is killed at once and comes back."""
    changes(t)
    t.go(8)
    for x in sorted({**t.cores, **t.nodes}):
        kill(t, {**t.cores, **t.nodes}[x], x, back=1 + t.rng.random(), large=True)
    t.go(25)


def disk_lost(t: simulated_cluster.SimulatedCluster) -> None:
    """Core machines lose their disks, one after the other."""
    changes(t, 10)
    for _ in range(2):
        t.go(6 + t.rng.random())
        c = some_core(t)
        t.fault("disk lost", c.options.name)
        c.process.host.fail()
        c.process.host.synced.clear()
        t.go(1 + t.rng.random() * 3)
        restart(t, c.options.name)
        t.go(15)


def disk_unhealthy(t: simulated_cluster.SimulatedCluster) -> None:
    """A core machine's disk is full, slow or stalled for a while."""
    changes(t, 10, 2)
    for sort in ("full", "slow", "stalled"):
        t.go(4 + t.rng.random())
        c = some_core(t)
        t.fault(f"disk {sort}", c.options.name)
        c.process.host.disk = sort
        t.go(4 + t.rng.random() * 5)
        c.process.host.repair()
        t.repair("disk mended", c.options.name)
        t.go(6)


def freeze(t: simulated_cluster.SimulatedCluster) -> None:
    """The pool owner, a node and a core machine freeze and wake."""
    changes(t, 12, 3)
    for pick in (lambda: some_node(t, owner=True), lambda: some_node(t), lambda: some_core(t)):
        t.go(6 + t.rng.random())
        x = pick()
        t.fault("freeze", x.options.name)
        x.process.freeze()
        t.go(1 + t.rng.random() * 7)
        x.process.wake()
        t.repair("wake", x.options.name)
        t.go(9)


def cut_core_one(t: simulated_cluster.SimulatedCluster) -> None:
    """One core machine is cut off from everything."""
    changes(t, 12, 2)
    for _ in range(2):
        t.go(5 + t.rng.random())
        c = some_core(t)
        t.fault("cut", c.options.name)
        t.world.cut([c.options.host], list(t.world.machines))
        t.go(3 + t.rng.random() * 8)
        t.world.heal()
        t.repair("heal", c.options.name)
        t.go(8)


def cut_core_two(t: simulated_cluster.SimulatedCluster) -> None:
    """The core is cut in two: one machine with some nodes, two with the others."""
    changes(t, 12, 2)
    t.go(6)
    c = some_core(t)
    names = sorted(t.nodes)
    t.rng.shuffle(names)
    with_it = [t.options[n][0] for n in names[: len(names) // 2]]
    rest = [h for h in t.hosts("cores", "nodes") if h not in with_it and h != c.options.host]
    t.fault("cut", c.options.name, True)
    t.world.cut([c.options.host] + (with_it if t.rng.random() < 0.5 else []), rest)
    t.go(6 + t.rng.random() * 8)
    t.world.heal()
    t.repair("heal", c.options.name)
    t.go(18)


def cut_core_off(t: simulated_cluster.SimulatedCluster) -> None:
    """The whole core is cut off from all nodes."""
    changes(t, 8, 3)
    t.go(6)
    t.fault("cut", "core")
    t.world.cut(t.hosts("cores"), t.hosts("nodes"))
    t.go(6 + t.rng.random() * 12)
    t.world.heal()
    t.repair("heal", "all")
    t.go(16)


def cut_node(t: simulated_cluster.SimulatedCluster) -> None:
    """One node is cut off from the fleet, but not from its clients and the workers."""
    changes(t, 12, 3)
    for owner in (False, True):
        t.go(5 + t.rng.random())
        n = some_node(t, owner)
        t.fault("cut", n.me.name)
        t.world.cut([n.options.host], t.hosts("cores", "nodes"))
        for _ in range(10 + t.rng.randrange(30)):  # some clients hold on to its address
            for k in (t.probe, t.probe - 1):
                t.load.runtime.spawn(
                    t.probe_one(t.load.runtime, t.load.agent, n.me.name, f"/p/{max(0, k)}"), simulated_cluster.log
                )
            t.go(0.3)
        t.world.heal()
        t.repair("heal", n.me.name)
        t.go(8)


def one_way(t: simulated_cluster.SimulatedCluster) -> None:
    """What one machine sends is lost, what it gets is not; or the reverse."""
    changes(t, 12, 3)
    for pick in (lambda: some_core(t), lambda: some_node(t)):
        t.go(5 + t.rng.random())
        x = pick()
        others = [h for h in t.hosts("cores", "nodes") if h != x.options.host]
        t.fault("one-way", x.options.name)
        if t.rng.random() < 0.5:
            t.world.cut([x.options.host], others, both=False)
        else:
            t.world.cut(others, [x.options.host], both=False)
        t.go(4 + t.rng.random() * 6)
        t.world.heal()
        t.repair("heal", x.options.name)
        t.go(12)


def slow_link(t: simulated_cluster.SimulatedCluster) -> None:
    """A node's link and a core machine's link grow slow."""
    changes(t, 10, 3)
    for x in (some_node(t), some_core(t)):
        t.go(4)
        t.fault("slow", x.options.name)
        t.world.slow[x.options.host] = 80_000 + t.rng.randrange(120_000)
        t.go(8)
        del t.world.slow[x.options.host]
        t.repair("mended", x.options.name)
        t.go(4)


def lossy_link(t: simulated_cluster.SimulatedCluster) -> None:
    """A node's link and a core machine's link lose a fifth of all packets."""
    changes(t, 10, 3)
    for x in (some_node(t), some_core(t)):
        t.go(4)
        t.fault("lossy", x.options.name)
        t.world.loss[x.options.host] = 0.2
        t.go(8)
        del t.world.loss[x.options.host]
        t.repair("mended", x.options.name)
        t.go(4)


def new_address(t: simulated_cluster.SimulatedCluster) -> None:
    """A core machine is gone for good; an empty one comes at a new address."""
    changes(t, 12, 3)
    t.go(6)
    replace(t, some_core(t), "c4", "10.0.1.4")
    t.go(25)


def replace(t: typing.Any, c: typing.Any, name: typing.Any, host: typing.Any) -> None:
    """One core machine is gone for good, another takes its place."""
    t.fault("gone for good", c.options.name)
    c.process.host.fail()
    del t.cores[c.options.name]
    t.go(1 + t.rng.random() * 2)
    t.repair("start", name)
    t.start_core(name, host, c.options.zone)


def replace_all(t: simulated_cluster.SimulatedCluster) -> None:
    """All core machines are replaced in turn by empty ones at new addresses."""
    changes(t, 14, 3)
    for k, name in enumerate(sorted(t.cores), 4):
        t.go(5)
        replace(t, t.cores[name], f"c{k}", f"10.0.1.{k}")
        t.go(13)


def worker_crash(t: simulated_cluster.SimulatedCluster) -> None:
    """A worker crashes and comes back; another goes dark."""
    changes(t, 6, 5)
    t.go(5)
    name = t.rng.choice(sorted(t.workers))
    kill(t, t.workers[name], name, back=2 + t.rng.random() * 5)
    t.go(14)
    name = t.rng.choice(sorted(t.workers))
    t.fault("dark", name)
    t.world.cut([t.workers[name].host], t.hosts("nodes"))
    t.go(4 + t.rng.random() * 5)
    t.world.heal()
    t.repair("heal", name)
    t.go(10)


def worker_vanish(t: simulated_cluster.SimulatedCluster) -> None:
    """A worker's machine is gone for good without a word; the platform notices some seconds later."""
    changes(t, 6, 5)
    for _ in range(2):
        t.go(6 + t.rng.random())
        name = t.rng.choice(sorted(t.workers))
        t.fault("vanish", name)
        t.workers.pop(name).process.host.fail()
        t.go(2 + t.rng.random() * 6)
        t.platform.drop(name)
        t.go(8)


def worker_leaves(t: simulated_cluster.SimulatedCluster) -> None:
    """Workers are replaced one after another, as in a release: leaving, gone, a new one."""
    changes(t, 6, 5)
    for k, name in enumerate(sorted(t.workers)[:3]):
        t.go(3)
        new = f"v{k}"
        t.start_worker(new, f"10.0.3.{50 + k}")
        t.platform.put(name, state="leaving")
        t.go(6)
        t.platform.drop(name)
        t.workers.pop(name).process.kill()
        t.go(4)


def worker_storm(t: simulated_cluster.SimulatedCluster) -> None:
    """All workers crash at once, and their clients retry, on and on."""
    changes(t, 4, 5)
    t.load.attempts = 30
    for _ in range(2):
        t.go(8)
        for name in sorted(t.workers):
            kill(t, t.workers[name], name, back=4 + t.rng.random() * 2, large=True)
        t.go(20)


def worker_breaks(t: simulated_cluster.SimulatedCluster) -> None:
    """Most workers take requests and break them off unanswered, though they are listed as ready."""
    changes(t, 4, 5)
    t.go(8)
    unhealthy = sorted(t.workers)[: len(t.workers) // 2 + 1]
    for name in unhealthy:
        t.fault("sick", name)
        t.workers[name].unhealthy = True
    t.go(9)
    for name in unhealthy:
        t.repair("well", name)
        t.workers[name].unhealthy = False
    t.go(14)


def worker_freeze(t: simulated_cluster.SimulatedCluster) -> None:
    """A worker freezes with requests on it, and wakes long after they were given up."""
    changes(t, 6, 5)
    t.go(8 + t.rng.random())
    name = t.rng.choice(sorted(t.workers))
    t.fault("freeze", name)
    t.workers[name].process.freeze()
    t.go(14)
    t.workers[name].process.wake()
    t.repair("wake", name)
    t.go(16)


def other_pool(t: simulated_cluster.SimulatedCluster) -> None:
    """A worker of a pool that no configuration allows is listed beside the others."""
    t.start_worker("s1", "10.0.3.90")
    t.platform.put("s1", pool="spare")
    changes(t, 4, 5)
    t.go(25)


def crowd(t: simulated_cluster.SimulatedCluster) -> None:
    """A crowd arrives at once."""
    changes(t, 4, 5)
    t.go(5)
    for _ in range(150):
        t.load.open.append(t.load.runtime.spawn(t.load.exchange("short", ["phrases"]), simulated_cluster.log))
    for _ in range(8):
        t.load.open.append(t.load.runtime.spawn(t.load.exchange("long", ["bundle"]), simulated_cluster.log))
    t.go(20)


def hot_key(t: simulated_cluster.SimulatedCluster) -> None:
    """One conversation draws most of the traffic."""
    changes(t, 4, 5)
    t.go(5)
    for _ in range(60):
        t.load.open.append(t.load.runtime.spawn(t.load.exchange("short", ["phrases", "hot"]), simulated_cluster.log))
        t.go(0.15)
    t.go(10)


def many_talks(t: simulated_cluster.SimulatedCluster) -> None:
    """More conversations than all workers may hold."""
    t.go(3)
    for k in range(80):
        t.load.open.append(
            t.load.runtime.spawn(t.load.exchange("short", ["phrases", f"many-{k}"]), simulated_cluster.log)
        )
        t.go(0.1)
    t.go(20)


def burst(t: simulated_cluster.SimulatedCluster) -> None:
    """Changes arrive in quick bursts, while a core machine is killed."""
    done = changes(t, 25, 0.05)
    t.go(3)
    c = some_core(t)
    kill(t, c, c.options.name, back=3)
    t.until(lambda: done.called, 60)
    t.go(14)


def race(t: simulated_cluster.SimulatedCluster) -> None:
    """Two operators race each other, while the head is killed."""
    other = simulated_cluster.Operator(t, t.operator_runtime, "other")

    async def go(op: simulated_cluster.Operator, ks: range) -> None:
        for k in ks:
            await op.change(t.with_probe(k), attempts=60)

    ds = [
        t.operator_runtime.spawn(go(t.operator, range(1, 20, 2)), simulated_cluster.log),
        t.operator_runtime.spawn(go(other, range(2, 21, 2)), simulated_cluster.log),
    ]
    t.go(0.5 + t.rng.random())
    if t.head() is not None:
        kill(t, t.head(), t.head().options.name, back=3)
    t.until(lambda: all(d.called for d in ds), 60)
    t.go(14)


def many_routes(t: simulated_cluster.SimulatedCluster) -> None:
    """The configuration grows by many routes."""
    more = {f"r{k}": {"path": f"/r/{k}", "pool": t.pool} for k in range(400)}

    async def go() -> None:
        for k in range(1, 5):
            part = dict(list(more.items())[: k * 100])
            await t.operator.change(t.with_probe(k, part))
            await t.operator_runtime.sleep(3 * S)

    t.operator_runtime.spawn(go(), simulated_cluster.log)
    t.go(8)
    c = some_core(t)
    kill(t, c, c.options.name, back=3)
    t.go(16)


def last_fault(t: simulated_cluster.SimulatedCluster) -> None:
    """The day ends with one last fault, right after the last change."""
    changes(t, 6, 3)
    t.go(22)
    t.until(lambda: t.load_done.called, 60)
    done = t.operator_runtime.spawn(t.operator.change(t.with_probe(t.probe + 1)), simulated_cluster.log)
    t.until(lambda: done.called, 20)
    c = some_core(t)
    t.fault("power", c.options.name)
    c.process.host.fail()
    if t.rng.random() < 0.5:
        c.process.host.synced.clear()
        restart(t, c.options.name)


def mixed(t: simulated_cluster.SimulatedCluster) -> None:
    """Faults of several kinds, one on the other."""
    changes(t, 20, 2)
    for _ in range(6):
        t.go(2 + t.rng.random() * 3)
        match t.rng.randrange(6):
            case 0:
                c = some_core(t)
                kill(t, c, c.options.name, back=2 + t.rng.random() * 3)
            case 1:
                n = some_node(t)
                kill(t, n, n.me.name, back=2 + t.rng.random() * 3)
            case 2:
                x = t.rng.choice([some_core(t), some_node(t)])
                t.fault("freeze", x.options.name)
                x.process.freeze()
                later(t, 1 + t.rng.random() * 4, "wake", x.options.name, x.process.wake)
            case 3:
                x = t.rng.choice([some_core(t), some_node(t)])
                t.fault("cut", x.options.name)
                t.world.cut([x.options.host], t.hosts("cores", "nodes"))
                later(t, 1 + t.rng.random() * 4, "heal", "all", t.world.heal)
            case 4:
                name = t.rng.choice(sorted(t.workers))
                if t.workers[name].process.alive:
                    kill(t, t.workers[name], name, back=1 + t.rng.random() * 4)
            case 5:
                c = some_core(t)
                t.fault("disk stalled", c.options.name)
                c.process.host.disk = "stalled"
                later(t, 3, "disk mended", c.options.name, c.process.host.repair)
    t.go(6)
    t.world.heal()
    t.repair("heal", "all")
    t.go(20)


# ---- bad links, slow reports ------------------------------------------------------------


def blind(t: typing.Any, node: typing.Any, workers: typing.Any, seconds: typing.Any) -> None:
    """Cut the links between one node and some workers for a while; all else goes on."""
    t.fault("link", node.me.name, role="link")
    t.world.cut([node.options.host], [t.workers[w].host for w in workers])
    t.go(seconds)
    t.world.heal()
    t.repair("heal", node.me.name)


def blind_owner(t: simulated_cluster.SimulatedCluster) -> None:
    """The pool owner is cut from one worker, then from all, and from nothing else."""
    changes(t, 6, 5)
    t.go(6 + t.rng.random())
    blind(t, some_node(t, owner=True), [t.rng.choice(sorted(t.workers))], 8)
    t.go(4)
    blind(t, some_node(t, owner=True), sorted(t.workers), 9)
    t.go(6)


def blind_node(t: simulated_cluster.SimulatedCluster) -> None:
    """A node that is no pool owner is cut from one worker, then from all, and from nothing else."""
    changes(t, 6, 5)
    t.go(6 + t.rng.random())
    blind(t, some_node(t, owner=False), [t.rng.choice(sorted(t.workers))], 8)
    t.go(4)
    blind(t, some_node(t, owner=False), sorted(t.workers), 9)
    t.go(6)


def load_reports(t: simulated_cluster.SimulatedCluster) -> None:
    """Workers whose load report is late, missing, unreadable, of wrong types, or never comes; all serve."""
    changes(t, 6, 5)
    t.go(4)
    for name, sort in zip(sorted(t.workers), ("late", "missing", "broken", "wrong", "never"), strict=False):
        t.workers[name].report = sort
    t.go(25)
    for name in sorted(t.workers):
        t.workers[name].report = "good"
    t.go(4)


# ---- configurations that change what carries traffic ------------------------------------------


def spare_pool(t: simulated_cluster.SimulatedCluster, n: int = 2) -> None:
    """Two more workers, in a second pool that the configuration knows."""
    for k in range(n):
        t.start_worker(f"s{k + 1}", f"10.0.3.{90 + k}")
        t.platform.put(f"s{k + 1}", pool="spare")
    t.configuration["pools"]["spare"] = dict(t.configuration["pools"][t.pool])


def edited(
    t: simulated_cluster.SimulatedCluster,
    edit: collections.abc.Callable[..., object],
    op: None = None,
    patch: bool = False,
) -> None:
    """Let an operator change the configuration by edit(doc), and wait for the confirm."""
    edit(t.configuration)
    done = t.operator_runtime.spawn(
        (op or t.operator).change(t.with_probe(t.probe + 1), patch=patch), simulated_cluster.log
    )
    t.until(lambda: done.called, 40)


def main_route(t: typing.Any) -> typing.Any:
    """The name of the route that carries the load."""
    return next(n for n, r in t.configuration["routes"].items() if r["path"] == "/v1/complete")


def route_moves(t: simulated_cluster.SimulatedCluster) -> None:
    """The route that carries the load moves between two pools that both serve; its pool owners die meanwhile."""
    spare_pool(t, 3)
    t.paths = ["/v1/complete"]
    for k in range(5):
        t.go(4 + t.rng.random() * 2)
        twins = [f"twin{k}-{j}" for j in range(10)]
        for identifier in twins:
            t.load.open.append(
                t.load.runtime.spawn(
                    t.load.send("short", identifier, 1, False, ["phrases"], b"x" * 600), simulated_cluster.log
                )
            )
        edited(
            t,
            lambda document: document["routes"][main_route(t)].update(pool=("spare", t.pool)[k % 2]),
            patch=k % 2 == 0,
        )
        for identifier in twins:  # their clients never saw the answer, and try again
            t.load.open.append(
                t.load.runtime.spawn(
                    t.load.send("short", identifier, 2, False, ["phrases"], b"x" * 600), simulated_cluster.log
                )
            )
        if k in (1, 3):
            n = some_node(t, owner=True)
            t.go(t.rng.random() * 2)
            kill(t, n, n.me.name, back=3)
            t.go(8)
    t.go(6)


def pool_comes_and_goes(t: simulated_cluster.SimulatedCluster) -> None:
    """A pool and its route are added, removed, and added again, while others serve; a core dies meanwhile."""
    t.paths = ["/spare/x"]
    for k in range(4):
        t.go(4)
        if k % 2 == 0:
            spare_pool(t)
            edited(t, lambda document: document["routes"].update(spare={"path": "/spare", "pool": "spare"}))
        else:

            def drop(document: typing.Any) -> None:
                del document["routes"]["spare"], document["pools"]["spare"]

            edited(t, drop, patch=True)
        if k == 1:
            c = some_core(t)
            kill(t, c, c.options.name, back=3)
    t.go(8)


def zones_move(t: simulated_cluster.SimulatedCluster) -> None:
    """A route's zones change again and again, while nodes die."""
    zones = sorted(set(t.zones))
    t.paths = ["/hall/x"]
    for k in range(5):
        t.go(3)
        some = sorted(t.rng.sample(zones, 1 + t.rng.randrange(len(zones) - 1)))
        edited(
            t,
            lambda document: document["routes"].update(zone={"path": "/hall", "pool": t.pool, "zones": some}),
            patch=k % 2 == 1,
        )
        if k in (1, 3):
            n = some_node(t, owner=False)
            kill(t, n, n.me.name, back=3)
    t.go(8)


def cap_moves(t: simulated_cluster.SimulatedCluster) -> None:
    """The cap is lowered below what is open, and raised again, while conversations open."""
    changes(t, 2, 2)

    def open_talks(n: typing.Any, tag: typing.Any) -> None:
        for k in range(n):
            t.load.open.append(
                t.load.runtime.spawn(t.load.exchange("short", ["phrases", f"{tag}-{k}"]), simulated_cluster.log)
            )
            t.go(0.1)

    t.go(6)
    t.load.attempts = 1
    edited(t, lambda document: document["pools"][t.pool].update(cap=4))
    open_talks(30, "low")
    edited(t, lambda document: document["pools"][t.pool].update(cap=2))
    open_talks(15, "lower")
    n = some_node(t, owner=True)
    kill(t, n, n.me.name, back=3)
    t.go(6)
    open_talks(10, "after")
    edited(t, lambda document: document["pools"][t.pool].update(cap=10))
    t.go(2.5)
    open_talks(30, "high")
    t.go(6)


def release(t: simulated_cluster.SimulatedCluster) -> None:
    """The cap is full; silent conversations must make room, after a change of pool owner too."""
    t.load.talks = 0

    def short(document: dict[str, dict[str, dict[str, typing.Any]]]) -> None:
        document["pools"][t.pool].update(cap=3)
        for terms in document["terms"].values():
            terms.update(lifetime_us=8 * S)

    edited(t, short)
    t.load.attempts = 1
    t.go(2.5)
    for k in range(3):
        n = 3 * t.worker_count
        for j in range(n + 4):
            t.load.open.append(
                t.load.runtime.spawn(t.load.exchange("short", ["phrases", f"rel-{k}-{j}"]), simulated_cluster.log)
            )
            t.go(0.1)
        if k == 1:
            w = some_node(t, owner=True)
            kill(t, w, w.me.name, back=3)
        t.go(17)


def operators(t: simulated_cluster.SimulatedCluster) -> None:
    """Two operators patch the same field; plans are confirmed twice, late, and on another core."""
    other = simulated_cluster.Operator(t, t.operator_runtime, "other")

    async def patch_cap(op: simulated_cluster.Operator, caps: tuple[int, int, int], k0: int) -> None:
        for j, cap in enumerate(caps):
            document = t.with_probe(k0 + 2 * j)
            document["pools"][t.pool]["cap"] = cap
            await op.change(document, patch=True)

    ds = [
        t.operator_runtime.spawn(patch_cap(t.operator, (11, 13, 15), 1), simulated_cluster.log),
        t.operator_runtime.spawn(patch_cap(other, (12, 14, 16), 2), simulated_cluster.log),
    ]
    t.go(0.3 + t.rng.random())
    if t.head() is not None and t.rng.random() < 0.5:
        kill(t, t.head(), t.head().options.name, back=3)
    t.until(lambda: all(d.called for d in ds), 60)
    done = t.operator_runtime.spawn(t.operator.stale_plans(t.with_probe(t.probe + 1)), simulated_cluster.log)
    t.until(lambda: done.called, 60)
    t.go(5)


# ---- machines, disks, the network ------------------------------------------------------------


def wake_without_core(t: simulated_cluster.SimulatedCluster) -> None:
    """A node sleeps through a change and wakes while the whole core is gone; clients hold on to its address."""
    t.go(3)
    for _ in range(2):
        n = some_node(t, owner=False)
        t.fault("freeze", n.me.name)
        n.process.freeze()
        edited(t, lambda document: None)
        t.go(1 + t.rng.random() * 2)
        for c in sorted(t.cores):
            kill(t, t.cores[c], c, back=6)
        t.go(0.2 + t.rng.random() * 2)
        n.process.wake()
        for _ in range(20):  # it can't learn what it missed before the core is back, and must not serve
            for k in (t.probe, t.probe - 1):
                t.load.runtime.spawn(
                    t.probe_one(t.load.runtime, t.load.agent, n.me.name, f"/p/{k}"), simulated_cluster.log
                )
            t.go(0.3)
        t.go(2)
        t.repair("wake", n.me.name)
        t.go(6)


def freeze_many(t: simulated_cluster.SimulatedCluster) -> None:
    """A zone's machines freeze together and wake; then half of all light machines."""
    changes(t, 10, 3)
    zone = t.rng.choice(sorted(set(t.zones)))
    zone_name = [x for x in sorted({**t.cores, **t.nodes}) if t.options[x][1] == zone]
    half = t.rng.sample(sorted(t.nodes), len(t.nodes) // 2)
    for group in (zone_name, half):
        t.go(6 + t.rng.random())
        processes = {x: {**t.cores, **t.nodes}[x].process for x in group}
        for x, p in processes.items():
            t.fault("freeze", x, True)
            p.freeze()
        t.go(2 + t.rng.random() * 6)
        for x, p in processes.items():
            p.wake()
            t.repair("wake", x)
        t.go(16)


def power_steps(t: simulated_cluster.SimulatedCluster) -> None:
    """A core machine loses power between two steps of a write: head, middle and tail, with the disk or without."""
    for place in t.rng.sample(range(3), 3):
        t.go(4)
        c = next(
            (
                x
                for x in t.cores.values()
                if x.consensus.view is not None
                and x.chain.position.index_in(x.consensus.view.number) == min(place, len(x.consensus.view.chain) - 1)
            ),
            None,
        ) or some_core(t)
        m = c.process.host
        m.trap = t.rng.choice(["before sync", "after sync", "after answer"])
        done = t.operator_runtime.spawn(t.operator.change(t.with_probe(t.probe + 1)), simulated_cluster.log)
        if t.until(lambda: not m.power, 5):
            t.fault(f"power {m.trap_sprung}", c.options.name)
            if t.rng.random() < 0.4:
                m.synced.clear()
        m.trap = None
        t.go(2 + t.rng.random() * 4)
        if not m.power:
            restart(t, c.options.name)
        t.until(lambda: done.called, 30)
        t.go(14)


def empty_while_down(t: simulated_cluster.SimulatedCluster) -> None:
    """One core machine is down; another comes back with an empty disk."""
    changes(t, 8, 3)
    t.go(6)
    a, b = t.rng.sample(sorted(t.cores), 2)
    t.fault("power", a)
    t.cores[a].process.host.fail()
    t.go(5 + t.rng.random() * 3)
    t.fault("disk lost", b)
    t.cores[b].process.host.fail()
    t.cores[b].process.host.synced.clear()
    t.go(1 + t.rng.random() * 3)
    restart(t, b)
    t.go(4 + t.rng.random() * 6)
    restart(t, a)
    t.go(20)


def disk_old(t: simulated_cluster.SimulatedCluster) -> None:
    """The head comes back with its disk as it was some changes ago: alone, then after all lost power."""
    t.go(2)
    for together in (False, True):
        c = t.head() or some_core(t)
        old = dict(c.process.host.synced)
        for _ in range(2):
            edited(t, lambda document: None)
        down = sorted(t.cores) if together else [c.options.name]
        for name in down:
            t.fault("power", name)
            t.cores[name].process.host.fail()
        c.process.host.synced = old
        t.go(t.rng.choice([0.1, 0.5, 3]))
        for name in down:
            restart(t, name)
        t.go(14)


def cut_sides(t: simulated_cluster.SimulatedCluster) -> None:
    """The core and the nodes are cut in two sides, each with some of both."""
    changes(t, 12, 2)
    t.go(6)
    cores, nodes = sorted(t.cores), sorted(t.nodes)
    t.rng.shuffle(cores)
    t.rng.shuffle(nodes)
    k = t.rng.randrange(len(nodes) // 2, len(nodes))  # mostly with the core machine that is alone
    one = [t.options[x][0] for x in cores[:1] + nodes[:k]]
    two = [t.options[x][0] for x in cores[1:] + nodes[k:]]
    t.fault("cut", "sides", True)
    t.world.cut(one, two, both=t.rng.random() < 0.7)
    t.go(6 + t.rng.random() * 8)
    t.world.heal()
    t.repair("heal", "sides")
    t.go(18)


def flap(t: simulated_cluster.SimulatedCluster) -> None:
    """A core machine's and a node's links break and heal every second."""
    changes(t, 12, 2)
    for x in (some_core(t), some_node(t)):
        t.go(5)
        t.fault("flap", x.options.name)
        for _ in range(8):
            t.world.cut([x.options.host], t.hosts("cores", "nodes"))
            t.go(0.5 + t.rng.random() * 0.5)
            t.world.heal()
            t.go(0.3 + t.rng.random() * 0.4)
        t.repair("heal", x.options.name)
        t.go(10)


def cut_hall(t: simulated_cluster.SimulatedCluster) -> None:
    """Each zone in turn is cut off from the other machines of ours."""
    changes(t, 14, 3)
    for zone in sorted(set(t.zones)):
        t.go(3)
        here = [t.options[x][0] for x in sorted({**t.cores, **t.nodes}) if t.options[x][1] == zone]
        t.fault("cut", f"hall {zone}", True)
        t.world.cut(here, [h for h in t.hosts("cores", "nodes") if h not in here])
        t.go(5 + t.rng.random() * 2)
        t.world.heal()
        t.repair("heal", f"hall {zone}")
        t.go(12)


def platform_bad(t: simulated_cluster.SimulatedCluster) -> None:
    """The platform can't be reached, is slow, answers nonsense, or once lists nobody."""
    changes(t, 8, 4)
    for sort in ("gone", "slow", "nonsense", "empty", "half"):
        t.go(3)
        if sort == "gone":
            t.world.cut(["10.0.4.1"], t.hosts("nodes"))
            t.go(6)
            t.world.heal()
        else:
            t.platform.mood = sort
            t.go(0.55 if sort in ("empty", "half") else 5)
            t.platform.mood = ""
    t.go(6)


# ---- workers ---------------------------------------------------------------------------------


def worker_release(t: simulated_cluster.SimulatedCluster) -> None:
    """All workers are replaced one after another, faster than their drain deadline."""
    changes(t, 6, 5)
    for k, name in enumerate(sorted(t.workers)):
        t.go(1.5)
        t.start_worker(f"v{k}", f"10.0.3.{50 + k}")
        t.platform.put(name, state="leaving", drain_deadline_ms=2500)
        t.go(3)
        t.platform.drop(name)
        t.workers.pop(name).process.kill()
    t.go(8)


def worker_returns(t: simulated_cluster.SimulatedCluster) -> None:
    """A worker comes back under its name at a new address; another flaps between ready and leaving."""
    changes(t, 6, 5)
    t.go(5)
    a, b = t.rng.sample(sorted(t.workers), 2)
    kill(t, t.workers[a], a)
    t.go(3 + t.rng.random() * 3)
    t.repair("start", a)
    t.start_worker(a, "10.0.3.77")
    for _ in range(4):
        t.go(2 + t.rng.random())
        t.platform.put(b, state="leaving")
        t.go(0.4 + t.rng.random() * 3)
        t.platform.put(b, state="ready")
    t.go(8)


def worker_garbles(t: simulated_cluster.SimulatedCluster) -> None:
    """A worker answers slowly, then stops in mid-stream, then breaks its answers off or sends too much."""
    changes(t, 6, 5)
    for mood in ("slow", "stops", "short", "long"):
        t.go(4)
        name = t.rng.choice(sorted(t.workers))
        t.fault(mood, name)
        t.workers[name].mood = mood
        t.go(5)
        t.workers[name].mood = ""
        t.repair("well", name)
        t.go(2)
    t.go(14)


# ---- clients ------------------------------------------------------------------------------


def rush(t: simulated_cluster.SimulatedCluster) -> None:
    """Ten times the short rate for some seconds, most of it with one shared prefix."""
    changes(t, 4, 5)
    t.go(4)
    for _ in range(int(t.rates[1] * 10 * 4)):
        parts = ["phrases"] if t.rng.random() < 0.8 else ["phrases", "hot"]
        t.load.open.append(t.load.runtime.spawn(t.load.exchange("short", parts), simulated_cluster.log))
        t.go(1 / (t.rates[1] * 10))
    t.go(10)


def bad_requesters(t: simulated_cluster.SimulatedCluster) -> None:
    """Requesters that leave in mid-stream, read slowly, or send bad HTTP, beside proper ones."""
    changes(t, 4, 5)
    t.go(3)
    for _ in range(60):
        n = t.nodes[t.rng.choice(sorted(t.nodes))]
        t.load.runtime.spawn(t.rude(n.options.host, t.rng.choice(simulated_cluster.RUDE)), simulated_cluster.log)
        t.go(0.25)
    t.go(14)


def retriers(t: simulated_cluster.SimulatedCluster) -> None:
    """A node dies while clients retry at once and without end."""
    changes(t, 4, 5)
    t.load.attempts, t.load.quick = 40, 0.8
    t.go(5)
    n = some_node(t, owner=False)
    kill(t, n, n.me.name, back=5)
    t.go(8)
    for name in sorted(t.workers)[:-1]:
        kill(t, t.workers[name], name, back=4)
    t.go(14)


def twice_at_once(t: simulated_cluster.SimulatedCluster) -> None:
    """A second try arrives at another node while the first is still under way, or its refusal is on its way."""
    changes(t, 4, 5)
    t.go(3)
    for k in range(40):
        identifier = f"twin{k}"
        repeat = t.rng.random() < 0.3
        parts = ["phrases"] if k % 2 else ["phrases", f"twin-{k}"]
        for send in (1, 2):
            t.load.open.append(
                t.load.runtime.spawn(
                    t.load.send("short", identifier, send, repeat, parts, b"x" * 600), simulated_cluster.log
                )
            )
            t.go(t.rng.choice([0, 0.002, 0.02, 0.2]))
        t.go(0.5)
    t.go(3)


def claim_then_death(t: simulated_cluster.SimulatedCluster) -> None:
    """The pool owner is killed between a claim and its send, a node before its send, a grant is lost on the link."""
    changes(t, 6, 5)
    t.load.attempts = 6
    for k in range(4):
        t.go(5 + t.rng.random())
        n = some_node(t, owner=k % 2 == 0)
        for j in range(12):
            t.load.open.append(
                t.load.runtime.spawn(t.load.exchange("short", ["phrases", f"ctd-{k}-{j}"]), simulated_cluster.log)
            )
        t.go(0.004 + t.rng.random() * 0.012)
        if k == 3:
            t.fault("cut", n.me.name)
            t.world.cut([n.options.host], t.hosts("cores", "nodes"))
            later(t, 2 + t.rng.random() * 3, "heal", n.me.name, t.world.heal)
        else:
            kill(t, n, n.me.name, back=3)
        t.go(9)


LAST = (
    "kill node",
    "kill warden",
    "kill core",
    "kill all",
    "freeze core",
    "freeze node",
    "cut core",
    "cut node",
    "disk lost",
    "disk full",
    "worker dies",
    "new address",
)


def last_faults(t: simulated_cluster.SimulatedCluster) -> None:
    """The day ends with one last fault of any kind, right after the last change."""
    changes(t, 3, 3)
    t.go(12)
    t.load.end()
    t.until(lambda: t.load_done.called, 60)
    edited(t, lambda document: None)
    what = LAST[t.seed % len(LAST)]
    c, n = some_core(t), some_node(t, owner="warden" in what)
    match what:
        case "kill node" | "kill warden":
            kill(t, n, n.me.name, back=2)
        case "kill core":
            kill(t, c, c.options.name, back=2)
        case "kill all":
            for x in sorted({**t.cores, **t.nodes}):
                kill(t, {**t.cores, **t.nodes}[x], x, back=1 + t.rng.random(), large=True)
        case "freeze core" | "freeze node":
            x = c if what == "freeze core" else n
            t.fault("freeze", x.options.name)
            x.process.freeze()
            later(t, 4, "wake", x.options.name, x.process.wake)
        case "cut core" | "cut node":
            x = c if what == "cut core" else n
            t.fault("cut", x.options.name)
            t.world.cut([x.options.host], t.hosts("cores", "nodes"))
            later(t, 4, "heal", x.options.name, t.world.heal)
        case "disk lost":
            t.fault("disk lost", c.options.name)
            c.process.host.fail()
            c.process.host.synced.clear()
            t.go(1)
            restart(t, c.options.name)
        case "disk full":
            t.fault("disk full", c.options.name)
            c.process.host.disk = "full"
        case "worker dies":
            name = t.rng.choice(sorted(t.workers))
            kill(t, t.workers[name], name)
        case "new address":
            replace(t, c, "c4", "10.0.1.4")
    t.go(14)


# ---- sizes of the core, and losses with no pause between them ------------------------------------


def blackout(t: typing.Any, wiped: typing.Any) -> None:
    """All core machines lose power at once, some of them their disks too, and come back within a second."""
    names = sorted(t.cores)
    for name in names:
        t.fault("disk lost" if name in wiped else "power", name, True)
        t.cores[name].process.host.fail()
        if name in wiped:
            t.cores[name].process.host.synced.clear()
    t.go(0.3 + t.rng.random())
    for name in names:
        restart(t, name)


def closing_wipe(t: simulated_cluster.SimulatedCluster) -> None:
    """Right after a change was acknowledged all core machines lose power, one of them its disk as well."""
    for _ in range(4):
        t.go(5)
        edited(t, lambda document: None)
        blackout(t, t.rng.sample(sorted(t.cores), 1))
        t.go(9)


def five_cores(t: simulated_cluster.SimulatedCluster) -> None:
    """Five core machines, of which any two may be lost: kills, lost disks, a blackout right after a change."""
    changes(t, 6, 4)
    t.until(lambda: t.tail() is not None and len(t.tail().consensus.view.chain) == 5, 10)
    t.go(4)
    for c in t.rng.sample(sorted(t.cores), 2):
        kill(t, t.cores[c], c, back=4)
    t.go(14)
    for c in t.rng.sample(sorted(t.cores), 2):
        t.fault("disk lost", c)
        t.cores[c].process.host.fail()
        t.cores[c].process.host.synced.clear()
        t.go(t.rng.random())
        later(t, 2, "start", c, lambda c=c: t.start_core(c, *t.options[c]))
    t.go(12)
    for _ in range(2):
        edited(t, lambda document: None)
        blackout(t, t.rng.sample(sorted(t.cores), 2))
        t.go(10)


five_cores.cluster = {"cores": 5, "seats": 5, "copies": 3}


def planned_replace(t: simulated_cluster.SimulatedCluster) -> None:
    """A core machine is replaced as planned, the new one first; soon after, all lose power and one its disk."""
    for k in (4, 5):
        t.go(4)
        name = t.rng.choice(sorted(t.cores))
        c = t.cores[name]
        t.start_core(f"c{k}", f"10.0.1.{k}", c.options.zone)
        t.go(1 + t.rng.random() * 3)
        t.fault("stop", name)
        done = c.runtime.spawn(c.stop(), simulated_cluster.log)
        t.until(lambda: done.called, 10)
        c.process.kill()
        del t.cores[name]
        t.repair("stop", name)
        edited(t, lambda document: None)
        blackout(t, t.rng.sample(sorted(t.cores), 1))
        t.go(10)


def seeds_turned(t: simulated_cluster.SimulatedCluster) -> None:
    """Core machines are replaced one after the other, and the seeds named anew; then all processes start again."""
    changes(t, 8, 3)
    for k in (4, 5, 6):
        t.go(4)
        replace(t, t.cores[sorted(t.cores)[0]], f"c{k}", f"10.0.1.{k}")
        t.seeds = [f"{t.options[c][0]}:{simulated_cluster.PEER}" for c in sorted(t.cores)]
        t.go(6)
    for name in sorted(t.nodes)[:3]:
        kill(t, t.nodes[name], name, back=0.5)
        t.go(2)
    for c in sorted(t.cores):
        kill(t, t.cores[c], c, back=0.6, large=True)
    t.go(14)


SCENARIOS = {
    f.__name__: f
    for f in (
        calm,
        kill_node,
        kill_owner,
        kill_pair,
        kill_core,
        power_after_ack,
        kill_many,
        roll_nodes,
        roll_cores,
        upgrade,
        kill_hall,
        kill_all_cores,
        kill_all,
        disk_lost,
        disk_unhealthy,
        freeze,
        cut_core_one,
        cut_core_two,
        cut_core_off,
        cut_node,
        one_way,
        slow_link,
        lossy_link,
        new_address,
        replace_all,
        worker_crash,
        worker_vanish,
        worker_leaves,
        worker_storm,
        worker_breaks,
        worker_freeze,
        other_pool,
        crowd,
        hot_key,
        many_talks,
        burst,
        race,
        many_routes,
        blind_owner,
        blind_node,
        load_reports,
        route_moves,
        pool_comes_and_goes,
        zones_move,
        cap_moves,
        release,
        operators,
        wake_without_core,
        freeze_many,
        power_steps,
        empty_while_down,
        disk_old,
        cut_sides,
        flap,
        cut_hall,
        platform_bad,
        worker_release,
        worker_returns,
        worker_garbles,
        rush,
        bad_requesters,
        retriers,
        twice_at_once,
        claim_then_death,
        last_fault,
        last_faults,
        mixed,
        closing_wipe,
        five_cores,
        planned_replace,
        seeds_turned,
    )
}


def play(scenario: str, seed: int, shape: str = "magnolia") -> simulated_cluster.SimulatedCluster:
    """Play a scenario with a seed; the town, with its log, after the day's end."""
    t = simulated_cluster.SimulatedCluster(seed, shape, **getattr(SCENARIOS[scenario], "cluster", {}))
    t.begin()
    SCENARIOS[scenario](t)
    t.load.end()  # no new requests; those under way end
    t.seconds = 0
    t.end()
    return t
