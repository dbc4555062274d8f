"""The scenes that the simulator plays: each brings about one of the brief's failures.

A scene gets a town that has begun; it lets time pass and does its harm. Scenes are
found by name; `SCENES` lists them.
"""

import bench.town as town

S = town.S


def changes(t, n=8, gap=4.0):
    """Let the operator confirm n changes, one each gap seconds.

    Example: `changes(t, 3)`
    """

    async def go():
        for k in range(t.probe + 1, t.probe + 1 + n):
            await t.boss.change(t.with_probe(k))
            await t.office_mach.sleep(int(gap * S))

    return t.office_mach.spawn(go(), town.log)


def some_node(t, warden=None):
    """A live node by chance; with `warden` said, that one or one that is not it.

    Example: `some_node(t, warden=False).me.name`
    """
    w = t.warden()
    names = [n for n in sorted(t.nodes) if t.nodes[n].proc.alive]
    if warden is True and w is not None:
        return w
    if warden is False and w is not None:
        names.remove(w.me.name)
    return t.nodes[t.rng.choice(names)]


def some_core(t):
    """A live core by chance.

    Example: `some_core(t).options.name`
    """
    return t.cores[t.rng.choice([c for c in sorted(t.cores) if t.cores[c].proc.alive])]


def kill(t, proc_owner, name, back=None, large=False):
    """Kill a process, and start it again after a while.

    Example: `kill(t, t.nodes["n1"], "n1", back=3)`
    """
    t.fault("kill", name, large)
    proc_owner.proc.kill()
    if back is not None:
        t.world.push(t.world.time + int(back * S), lambda: restart(t, name))


def restart(t, name):
    """Start a core, node or worker again where it was.

    Example: `restart(t, "n1")`
    """
    t.fault("start", name)
    if name in t.cores:
        t.start_core(name, *t.options[name])
    elif name in t.nodes:
        t.start_node(name, *t.options[name])
    else:
        t.start_worker(name, t.workers[name].host)


def calm(t):
    """Nothing happens, but for the operator's changes."""
    changes(t)
    t.go(40)


def kill_node(t):
    """One node after the other is killed and comes back."""
    changes(t)
    for _ in range(3):
        t.go(6)
        n = some_node(t, warden=False)
        kill(t, n, n.me.name, back=2 + t.rng.random() * 4)
        t.go(6)


def kill_warden(t):
    """The warden is killed, and its successor too."""
    changes(t)
    for _ in range(2):
        t.go(6 + t.rng.random())
        n = some_node(t, warden=True)
        kill(t, n, n.me.name, back=3 + t.rng.random() * 4, large=True)
        t.go(14)


def kill_core(t):
    """Core machines' processes are killed in turn and come back."""
    changes(t, 12, 3)
    for _ in range(3):
        t.go(5 + t.rng.random())
        c = some_core(t)
        kill(t, c, c.options.name, back=1 + t.rng.random() * 6, large=True)
        t.go(11)


def power_after_ack(t):
    """A core machine loses power just after an acknowledgement, with the disk or without."""
    for k in range(1, 4):
        t.go(4)
        done = t.office_mach.spawn(t.boss.change(t.with_probe(t.probe + 1)), town.log)
        t.until(lambda: done.called, 20)
        c = t.rng.choice([x for x in (t.head(), t.tail(), some_core(t)) if x is not None])
        name = c.options.name
        t.fault("power", name, True)
        c.proc.host.fail()
        if t.rng.random() < 0.4:
            c.proc.host.synced.clear()
        t.go(2 + t.rng.random() * 8)
        restart(t, name)
        t.go(16)


def kill_many(t):
    """The warden, its copies and more nodes are killed at once."""
    changes(t)
    t.go(8)
    names = sorted(t.nodes)
    t.rng.shuffle(names)
    w = t.warden()
    doomed = names[: len(names) // 2]
    if w is not None and t.rng.random() < 0.5:
        doomed = [w.me.name] + [i.rsplit("-", 1)[0] for i in w.wardens[t.pool].duty.copies]
    for n in sorted(set(doomed)):
        kill(t, t.nodes[n], n, back=2 + t.rng.random() * 6, large=True)
    t.go(25)


def roll_nodes(t):
    """Nodes are stopped in good order and started again, one after the other."""
    changes(t)
    for name in sorted(t.nodes)[:4]:
        t.go(4)
        n = t.nodes[name]
        done = n.mach.spawn(n.stop(), town.log)
        t.until(lambda: done.called, 40)
        n.proc.kill()
        t.go(0.5 + t.rng.random())
        t.start_node(name, *t.options[name])
        t.until(lambda: t.platform.told.get(name), 10)


def roll_cores(t):
    """Core machines are stopped in good order and started again, one after the other."""
    changes(t, 10)
    for name in sorted(t.cores):
        t.go(6)
        c = t.cores[name]
        t.fault("stop", name)
        done = c.mach.spawn(c.stop(), town.log)
        t.until(lambda: done.called, 5)
        c.proc.kill()
        t.go(0.5 + t.rng.random())
        t.start_core(name, *t.options[name])
        t.go(8)


def kill_hall(t):
    """A whole hall loses power, and comes back."""
    changes(t)
    t.go(8)
    zone = t.rng.choice(sorted(set(t.halls)))
    gone = [x for x in sorted({**t.cores, **t.nodes}) if t.options[x][1] == zone]
    for x in gone:
        t.fault("power", x, True)
        t.world.machines[t.options[x][0]].fail()
    t.go(4 + t.rng.random() * 6)
    for x in gone:
        restart(t, x)
    t.go(20)


def kill_all_cores(t):
    """All core machines are killed at once and come back."""
    changes(t)
    t.go(8)
    for c in sorted(t.cores):
        kill(t, t.cores[c], c, back=1 + t.rng.random() * 5, large=True)
    t.go(25)


def kill_all(t):
    """Everything of ours is killed at once and comes back."""
    changes(t)
    t.go(8)
    for x in sorted({**t.cores, **t.nodes}):
        kill(t, {**t.cores, **t.nodes}[x], x, back=1 + t.rng.random(), large=True)
    t.go(25)


def disk_lost(t):
    """Core machines lose their disks, one after the other."""
    changes(t, 10)
    for _ in range(2):
        t.go(6 + t.rng.random())
        c = some_core(t)
        t.fault("disk lost", c.options.name, True)
        c.proc.host.fail()
        c.proc.host.synced.clear()
        t.go(1 + t.rng.random() * 3)
        restart(t, c.options.name)
        t.go(15)


def disk_sick(t):
    """A core machine's disk is full, slow or stalled for a while."""
    changes(t, 10, 2)
    for sort in ("full", "slow", "stalled"):
        t.go(4 + t.rng.random())
        c = some_core(t)
        t.fault(f"disk {sort}", c.options.name)
        c.proc.host.disk = sort
        t.go(4 + t.rng.random() * 5)
        c.proc.host.mend()
        t.fault("disk mended", c.options.name)
        t.go(6)


def freeze(t):
    """The warden, a node and a core machine freeze and wake."""
    changes(t, 12, 3)
    for pick in (lambda: some_node(t, warden=True), lambda: some_node(t), lambda: some_core(t)):
        t.go(6 + t.rng.random())
        x = pick()
        t.fault("freeze", x.options.name, True)
        x.proc.freeze()
        t.go(1 + t.rng.random() * 7)
        x.proc.wake()
        t.fault("wake", x.options.name)
        t.go(9)


def cut_core_one(t):
    """One core machine is cut off from everything."""
    changes(t, 12, 2)
    for _ in range(2):
        t.go(5 + t.rng.random())
        c = some_core(t)
        t.fault("cut", c.options.name, True)
        t.world.cut([c.options.host], list(t.world.machines))
        t.go(3 + t.rng.random() * 8)
        t.world.heal()
        t.fault("heal", c.options.name)
        t.go(8)


def cut_core_two(t):
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
    t.fault("heal", c.options.name)
    t.go(18)


def cut_core_off(t):
    """The whole core is cut off from all nodes."""
    changes(t, 8, 3)
    t.go(6)
    t.fault("cut", "core", True)
    t.world.cut(t.hosts("cores"), t.hosts("nodes"))
    t.go(6 + t.rng.random() * 12)
    t.world.heal()
    t.fault("heal", "core")
    t.go(16)


def cut_node(t):
    """One node is cut off from the fleet, but not from its requesters and the workers."""
    changes(t, 12, 3)
    for warden in (False, True):
        t.go(5 + t.rng.random())
        n = some_node(t, warden)
        t.fault("cut", n.me.name, True)
        t.world.cut([n.options.host], t.hosts("cores", "nodes"))
        t.go(3 + t.rng.random() * 9)
        t.world.heal()
        t.fault("heal", n.me.name)
        t.go(8)


def one_way(t):
    """What one machine sends is lost, what it gets is not; or the reverse."""
    changes(t, 12, 3)
    for pick in (lambda: some_core(t), lambda: some_node(t)):
        t.go(5 + t.rng.random())
        x = pick()
        others = [h for h in t.hosts("cores", "nodes") if h != x.options.host]
        t.fault("one-way", x.options.name, True)
        if t.rng.random() < 0.5:
            t.world.cut([x.options.host], others, both=False)
        else:
            t.world.cut(others, [x.options.host], both=False)
        t.go(4 + t.rng.random() * 6)
        t.world.heal()
        t.fault("heal", x.options.name)
        t.go(12)


def slow_link(t):
    """A node's link and a core machine's link grow slow."""
    changes(t, 10, 3)
    for x in (some_node(t), some_core(t)):
        t.go(4)
        t.fault("slow", x.options.name)
        t.world.slow[x.options.host] = 80_000 + t.rng.randrange(120_000)
        t.go(8)
        del t.world.slow[x.options.host]
        t.fault("mended", x.options.name)
        t.go(4)


def lossy_link(t):
    """A node's link and a core machine's link lose a fifth of all packets."""
    changes(t, 10, 3)
    for x in (some_node(t), some_core(t)):
        t.go(4)
        t.fault("lossy", x.options.name)
        t.world.loss[x.options.host] = 0.2
        t.go(8)
        del t.world.loss[x.options.host]
        t.fault("mended", x.options.name)
        t.go(4)


def new_address(t):
    """A core machine is gone for good; an empty one comes at a new address."""
    changes(t, 12, 3)
    t.go(6)
    replace(t, some_core(t), "c4", "10.0.1.4")
    t.go(25)


def replace(t, c, name, host):
    """One core machine is gone for good, another takes its place.

    Example: `replace(t, t.cores["c1"], "c4", "10.0.1.4")`
    """
    t.fault("gone for good", c.options.name, True)
    c.proc.host.fail()
    del t.cores[c.options.name]
    t.go(1 + t.rng.random() * 2)
    t.fault("start", name)
    t.start_core(name, host, c.options.zone)


def replace_all(t):
    """All core machines are replaced in turn by empty ones at new addresses."""
    changes(t, 14, 3)
    for k, name in enumerate(sorted(t.cores), 4):
        t.go(5)
        replace(t, t.cores[name], f"c{k}", f"10.0.1.{k}")
        t.go(13)


def worker_crash(t):
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
    t.fault("heal", name)
    t.go(10)


def worker_vanish(t):
    """A worker's machine is gone for good without a word; the platform notices some seconds later."""
    changes(t, 6, 5)
    for _ in range(2):
        t.go(6 + t.rng.random())
        name = t.rng.choice(sorted(t.workers))
        t.fault("vanish", name)
        t.workers.pop(name).proc.host.fail()
        t.go(2 + t.rng.random() * 6)
        t.platform.drop(name)
        t.go(8)


def worker_leaves(t):
    """Workers are replaced one after another, as in a release: leaving, gone, a new one."""
    changes(t, 6, 5)
    for k, name in enumerate(sorted(t.workers)[:3]):
        t.go(3)
        new = f"v{k}"
        t.start_worker(new, f"10.0.3.{50 + k}")
        t.platform.put(name, state="leaving")
        t.go(6)
        t.platform.drop(name)
        t.workers.pop(name).proc.kill()
        t.go(4)


def worker_storm(t):
    """All workers crash at once, and their requesters retry, on and on."""
    changes(t, 4, 5)
    t.load.tries = 30
    for _ in range(2):
        t.go(8)
        for name in sorted(t.workers):
            kill(t, t.workers[name], name, back=4 + t.rng.random() * 2, large=True)
        t.go(20)


def worker_breaks(t):
    """Most workers take exchanges and break them off unanswered, though they are listed as ready."""
    changes(t, 4, 5)
    t.go(8)
    sick = sorted(t.workers)[: len(t.workers) // 2 + 1]
    for name in sick:
        t.fault("sick", name)
        t.workers[name].sick = True
    t.go(9)
    for name in sick:
        t.fault("well", name)
        t.workers[name].sick = False
    t.go(14)


def worker_freeze(t):
    """A worker freezes with exchanges on it, and wakes long after they were given up."""
    changes(t, 6, 5)
    t.go(8 + t.rng.random())
    name = t.rng.choice(sorted(t.workers))
    t.fault("freeze", name)
    t.workers[name].proc.freeze()
    t.go(14)
    t.workers[name].proc.wake()
    t.fault("wake", name)
    t.go(16)


def other_pool(t):
    """A worker of a pool that no configuration allows is listed beside the others."""
    t.start_worker("s1", "10.0.3.90")
    t.platform.put("s1", pool="spare")
    changes(t, 4, 5)
    t.go(25)


def crowd(t):
    """A crowd arrives at once."""
    changes(t, 4, 5)
    t.go(5)
    t.fault("crowd", "all")
    for _ in range(150):
        t.load.open.append(t.load.mach.spawn(t.load.exchange("short", ["phrases"]), town.log))
    for _ in range(8):
        t.load.open.append(t.load.mach.spawn(t.load.exchange("long", ["bundle"]), town.log))
    t.go(20)


def hot_key(t):
    """One conversation draws most of the traffic."""
    changes(t, 4, 5)
    t.go(5)
    for _ in range(60):
        t.load.open.append(t.load.mach.spawn(t.load.exchange("short", ["phrases", "hot"]), town.log))
        t.go(0.15)
    t.go(10)


def many_talks(t):
    """More conversations than all workers may hold."""
    t.go(3)
    t.fault("crowd", "all")
    for k in range(80):
        t.load.open.append(t.load.mach.spawn(t.load.exchange("short", ["phrases", f"many-{k}"]), town.log))
        t.go(0.1)
    t.go(20)


def burst(t):
    """Changes arrive in quick bursts, while a core machine is killed."""
    done = changes(t, 25, 0.05)
    t.go(3)
    c = some_core(t)
    kill(t, c, c.options.name, back=3, large=True)
    t.until(lambda: done.called, 60)
    t.go(14)


def race(t):
    """Two operators race each other, while the head is killed."""
    other = town.Operator(t, t.office_mach, "other")

    async def go(op, ks):
        for k in ks:
            await op.change(t.with_probe(k), tries=60)

    ds = [t.office_mach.spawn(go(t.boss, range(1, 20, 2)), town.log),
          t.office_mach.spawn(go(other, range(2, 21, 2)), town.log)]
    t.go(0.5 + t.rng.random())
    if t.head() is not None:
        kill(t, t.head(), t.head().options.name, back=3, large=True)
    t.until(lambda: all(d.called for d in ds), 60)
    t.go(14)


def many_routes(t):
    """The blueprint grows by many routes."""
    more = {f"r{k}": {"path": f"/r/{k}", "pool": t.pool} for k in range(400)}

    async def go():
        for k in range(1, 5):
            part = dict(list(more.items())[: k * 100])
            await t.boss.change(t.with_probe(k, part))
            await t.office_mach.sleep(3 * S)

    t.office_mach.spawn(go(), town.log)
    t.go(8)
    c = some_core(t)
    kill(t, c, c.options.name, back=3, large=True)
    t.go(16)


def last_fault(t):
    """The day ends with one last fault, right after the last change."""
    changes(t, 6, 3)
    t.go(22)
    t.until(lambda: t.load_done.called, 60)
    done = t.office_mach.spawn(t.boss.change(t.with_probe(t.probe + 1)), town.log)
    t.until(lambda: done.called, 20)
    c = some_core(t)
    t.fault("power", c.options.name, True)
    c.proc.host.fail()
    if t.rng.random() < 0.5:
        c.proc.host.synced.clear()
        restart(t, c.options.name)


def mixed(t):
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
                x.proc.freeze()
                t.world.push(t.world.time + int((1 + t.rng.random() * 4) * S), x.proc.wake)
            case 3:
                x = t.rng.choice([some_core(t), some_node(t)])
                t.fault("cut", x.options.name)
                t.world.cut([x.options.host], t.hosts("cores", "nodes"))
                t.world.push(t.world.time + int((1 + t.rng.random() * 4) * S), t.world.heal)
            case 4:
                name = t.rng.choice(sorted(t.workers))
                if t.workers[name].proc.alive:
                    kill(t, t.workers[name], name, back=1 + t.rng.random() * 4)
            case 5:
                c = some_core(t)
                t.fault("disk stalled", c.options.name)
                c.proc.host.disk = "stalled"
                t.world.push(t.world.time + 3 * S, c.proc.host.mend)
    t.go(6)
    t.world.heal()
    t.fault("heal", "all", True)
    t.go(20)


SCENES = {f.__name__: f for f in (
    calm, kill_node, kill_warden, kill_core, power_after_ack, kill_many, roll_nodes, roll_cores,
    kill_hall, kill_all_cores, kill_all,
    disk_lost, disk_sick, freeze, cut_core_one, cut_core_two, cut_core_off, cut_node, one_way, slow_link, lossy_link,
    new_address, replace_all, worker_crash, worker_vanish, worker_leaves,
    worker_storm, worker_breaks,
    worker_freeze,    other_pool, crowd, hot_key, many_talks, burst, race, many_routes,
    last_fault, mixed)}


def play(scene, seed, shape="magnolia"):
    """Play a scene with a seed; the town, with its log, after the day's end.

    Example: `t = play("kill_warden", 7)`; `replay.judge(t.tape.rows)`.
    """
    t = town.Town(seed, shape)
    t.begin()
    SCENES[scene](t)
    t.load.us = t.world.time - t.load.began  # no new exchanges; those under way end
    t.seconds = 0
    t.end()
    return t


