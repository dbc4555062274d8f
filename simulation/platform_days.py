"""Days of the users' platform on the simulator: each brings about some of its troubles, and is judged by its rules.

    python -m simulation.platform_days --seeds 10 --shape swan
    python -m simulation.platform_days --days crash_dark roll --first 7 --seeds 1 --log day.events

A day gets a site that has begun; it lets time pass and does its harm. `DAYS` lists them by name.
"""

from __future__ import annotations

import collections
import multiprocessing
import os
import sys
import time
import typing

import defopt
import loguru

import simulation.core_days as core_days
import simulation.platform_model as platform_model
import simulation.platform_rules as platform_rules

if typing.TYPE_CHECKING:
    import iriswheel.control.core as core


S = platform_model.S


def some(s: platform_model.Site, names: dict[str, core.Core], share: float) -> list[str]:
    """Some of these, at least one."""
    names = sorted(names)
    return s.rng.sample(names, max(1, round(share * len(names))))


def calm(s: platform_model.Site) -> None:
    """Nothing happens, but for one change of the configuration."""
    s.go(3)
    s.change("idle")


def changes(s: platform_model.Site) -> None:
    """Idle routes, a time-out, and many routes at once."""
    for how in ("idle", "timeout", "big", "idle"):
        s.go(3.5)
        s.change(how)


def storm(s: platform_model.Site) -> None:
    """Configurations in quick succession."""

    async def go() -> None:
        for k in range(12):
            await s.next_config(("idle", "timeout")[k % 2], 60)

    s.go(3)
    s.operator_site.spawn(go(), platform_model.log)


def race(s: platform_model.Site) -> None:
    """Two operators send at once, on top of the same version; invalid configurations come too."""

    async def go() -> None:
        for _ in range(3):
            await s.race()
            await s.bad()

    s.go(3)
    s.operator_site.spawn(go(), platform_model.log)


def crash(s: platform_model.Site, how: str) -> None:
    """A worker crashes, and comes back as another."""
    s.go(4)
    s.change("idle")
    s.go(1)
    s.crash(s.rng.choice(s.live_workers()), how, back=4.5)


def crash_reset(s: platform_model.Site) -> None:
    """A worker's process dies: its connections are reset, its port refuses."""
    crash(s, "reset")


def crash_dark(s: platform_model.Site) -> None:
    """A worker's machine goes dark: it says nothing more."""
    crash(s, "dark")


def crash_lost(s: platform_model.Site) -> None:
    """Two workers are lost for good, one after the other."""
    for how in ("dark", "reset"):
        s.go(4)
        s.crash(s.rng.choice(s.live_workers()), how)


def flap(s: platform_model.Site) -> None:
    """A worker goes down and up by turns."""
    name = s.rng.choice(s.live_workers())
    for _ in range(4):
        s.go(2)
        s.crash(name, "reset", back=1.2, listed=1.0)
        s.go(1.3)


def release(s: platform_model.Site) -> None:
    """Workers are replaced one after the other."""
    s.go(3)
    for name in some(s, s.live_workers(), 0.45):
        s.release(name)
        s.go(1)
    s.change("idle")


def release_all(s: platform_model.Site) -> None:
    """All workers are replaced, and addresses are used again after a while."""
    s.go(2)
    hosts = []
    for name in s.live_workers():
        host = hosts.pop(0) if len(hosts) > 2 and not s.world.machines[hosts[0]].power else None
        hosts.append(s.workers[name].host)
        s.release(name, host)
        s.go(2)


def other_service(s: platform_model.Site) -> None:
    """The address of a worker that crashed goes to another service, while nodes still know it as the old one."""
    for _ in range(2):
        s.go(3)
        name = s.rng.choice(s.live_workers())
        w = s.workers[name]
        s.crash(name, "reset", listed=4.0)
        s.go(2.1)
        s.start_worker(f"other{w.host}", w.host, w.zone, pool="other")


def kill_node(s: platform_model.Site) -> None:
    """A node is killed and comes back."""
    s.go(3)
    s.change("idle")
    s.go(1)
    for name in some(s, s.nodes, 0.16):
        s.kill(name, 3.5)


def power_node(s: platform_model.Site) -> None:
    """A node loses power and comes back."""
    s.go(4)
    for name in some(s, s.nodes, 0.17):
        s.power(name, 3)


def kill_core(s: platform_model.Site) -> None:
    """Core machines are killed, one after the other, while the configuration changes."""
    for name in some(s, s.cores, 0.6):
        s.go(2)
        s.change("idle")
        s.go(0.02)
        s.kill(name, 3.5)
        s.go(4)


def kill_cores(s: platform_model.Site) -> None:
    """All of the core is killed at the same moment, and is back within a second."""
    s.go(4)
    s.change("idle")
    s.go(0.01)
    for name in sorted(s.cores):
        s.kill(name, 0.8)


def herd(s: platform_model.Site) -> None:
    """Many nodes are killed at the same moment."""
    s.go(4)
    for name in some(s, s.nodes, 0.55):
        s.kill(name, 2)


def freeze(s: platform_model.Site) -> None:
    """A node and then a core machine freeze, and wake again."""
    s.go(3)
    s.freeze(some(s, s.nodes, 0)[0], 4)
    s.go(3)
    s.change("idle")
    s.freeze(some(s, s.cores, 0)[0], 4)


def roll(s: platform_model.Site) -> None:
    """Nodes are stopped in good order and started, one after the other, under load."""
    s.go(3)
    for name in some(s, s.nodes, 0.45):
        s.term(name)
        s.go(1.3)


def roll_cores(s: platform_model.Site) -> None:
    """Core machines are stopped in good order and started, one after the other."""
    for name in some(s, s.cores, 1):
        s.go(2)
        s.change("idle")
        s.term(name)
        s.go(4)


def cut_node(s: platform_model.Site) -> None:
    """A node is cut off from all other machines; a change comes meanwhile."""
    s.go(4)
    s.cut(some(s, s.nodes, 0)[0], 5, clients=s.rng.random() < 0.5)
    s.go(1)
    s.change("idle")


def cut_core(s: platform_model.Site) -> None:
    """A core machine is cut off, while two operators send."""
    s.go(3)
    s.cut(some(s, s.cores, 0)[0], 5)
    s.operator_site.spawn(s.race(), platform_model.log)


def burst(s: platform_model.Site) -> None:
    """One kind of request comes in a rush."""
    s.go(4)
    kind = s.rng.choice(s.shape.kinds).name
    for t in s.traffics:
        t.factor[kind] = 1.6

    def over() -> None:
        for t in s.traffics:
            t.factor.clear()

    s.later(4, over)


def hot_key(s: platform_model.Site) -> None:
    """One key gets much of the traffic."""
    s.go(3)
    for t in s.traffics:
        t.hot = (s.shape.kinds[0].name, 0.35)


def unhealthy(s: platform_model.Site, **faults: typing.Any) -> None:
    """Some workers are ill for a while."""
    s.go(3)
    s.make_unhealthy(some(s, s.live_workers(), 0.6), 5, **faults)


def garble(s: platform_model.Site) -> None:
    """Workers send bytes that are no answer."""
    unhealthy(s, garble=0.05)


def surplus(s: platform_model.Site) -> None:
    """Workers send more after a whole answer, at once or in the place of the next one."""
    unhealthy(s, surplus=0.1, late=0.1)


def answers_lost(s: platform_model.Site) -> None:
    """Workers run requests and lose the answers."""
    unhealthy(s, lost=0.05)


def broken_off(s: platform_model.Site) -> None:
    """Workers break streams off midway."""
    unhealthy(s, **{"break": 0.05})


def grey(s: platform_model.Site) -> None:
    """Workers fail part of their requests while their health is good."""
    way = s.rng.choice(["errors", "hang", "mute"])
    s.go(3)
    s.make_unhealthy(some(s, s.live_workers(), 0.15), 6, health="good", **{way: 0.45})


def lying(s: platform_model.Site) -> None:
    """Workers that are well say that they are not."""
    s.go(3)
    s.make_unhealthy(some(s, s.live_workers(), 0.3), 6, health="bad")


def idle_drops(s: platform_model.Site) -> None:
    """Workers drop idle connections early and without a word."""
    for w in s.workers.values():
        w.silent_drop, w.idle_us = True, 700 * platform_model.MS


def closing_kill(s: platform_model.Site) -> None:
    """Right after an acknowledgement every process is killed."""
    closing(s, "kill_all")


def closing_power(s: platform_model.Site) -> None:
    """Right after an acknowledgement every machine loses power."""
    closing(s, "power_off_all")


def closing_wipe(s: platform_model.Site) -> None:
    """Right after an acknowledgement every machine loses power, and a core machine its disk."""
    closing(s, "wipe")


def closing(s: platform_model.Site, how: str) -> None:
    """The closing fault; traffic goes on after it."""
    s.go(5)
    done = s.change("idle")
    s.until(lambda: done.called, 20)
    s.closing(how, 0.7 + s.rng.random() * 0.7)
    s.traffic_until = s.world.time + 22 * S
    s.go(22)


def ack_wipe(s: platform_model.Site) -> None:
    """A core machine loses power and its disk right after an acknowledgement."""
    for _ in range(2):
        s.go(3)
        done = s.change("idle")
        s.until(lambda: done.called, 20)
        s.power(some(s, s.cores, 0)[0], 3, wipe=True)
        s.go(8)


def reset_conns(s: platform_model.Site) -> None:
    """Connections between our machines are reset, twice."""
    for _ in range(2):
        s.go(4)
        s.change("idle")
        s.reset_some(0.5)


def lossy(s: platform_model.Site) -> None:
    """The links of a zone lose packets."""
    s.go(3)
    s.lossy(s.rng.choice(sorted(set(s.shape.nodes))), 0.025, 6)
    s.go(1)
    s.change("idle")


def disks(s: platform_model.Site) -> None:
    """Core machines' disks are slow, full and stalled, one after the other."""
    for state in ("slow", "full", "stalled"):
        s.go(3)
        s.disk(some(s, s.cores, 0)[0], state, 3)
        s.change("idle")


def replace_core(s: platform_model.Site) -> None:
    """A core machine is replaced by an empty one at another address, gently or not; then another."""
    for gently in s.rng.sample([True, False], 2):
        s.go(3)
        s.replace_core(some(s, s.cores, 0)[0], gently)
        s.go(1)
        s.change("idle")
        s.go(5)


def drawn(s: platform_model.Site) -> None:
    """Four to eight troubles at drawn times, over one another; half of these days end with a closing fault."""
    pick = s.rng.choice

    def workers(share: typing.Any) -> typing.Any:
        return some(s, s.live_workers(), share)

    def each(names: typing.Any, gap: typing.Any, f: typing.Any) -> None:
        for k, name in enumerate(names):
            s.later(k * gap, f, name)

    def rush() -> None:
        kind, x = pick(s.shape.kinds).name, 1.4 + 0.4 * s.rng.random()
        for t in s.traffics:
            t.factor[kind] = x
        s.later(4, lambda: [t.factor.clear() for t in s.traffics])

    def hot() -> None:
        for t in s.traffics:
            t.hot = (pick(s.shape.kinds).name, 0.3)

    def crash_one(how: typing.Any, back: typing.Any) -> None:
        if len(s.live_workers()) > 2:
            s.crash(pick(s.live_workers()), how, back=back)

    def alone(names: typing.Any, f: typing.Any) -> None:  # a machine has one trouble at a time
        free = [n for n in sorted(names) if s.process(n).alive and n not in busy]
        if free:
            name = pick(free)
            busy.add(name)
            s.later(11, busy.discard, name)
            f(name)

    def unless_busy(names: typing.Any, gap: typing.Any, f: typing.Any) -> None:
        each(
            [n for n in names if n not in busy and s.process(n).alive], gap, lambda n: n in busy or (busy.add(n), f(n))
        )

    busy = set()
    core_ops = [
        lambda n: s.kill(n, 3),
        lambda n: s.power(n, 3),
        lambda n: s.freeze(n, 3.5),
        lambda n: s.cut(n, 4.5),
        lambda n: s.cut(n, 4.5, both=False),
        lambda n: s.term(n),
        lambda n: s.disk(n, pick(["slow", "full", "stalled"]), 4),
        lambda n: s.power(n, 3, wipe=True),
    ]
    ops = [
        lambda: alone(s.nodes, lambda n: s.kill(n, 3)),
        lambda: alone(s.nodes, lambda n: s.power(n, 3)),
        lambda: alone(s.nodes, lambda n: s.freeze(n, 3.5)),
        lambda: alone(s.nodes, lambda n: s.cut(n, 5)),
        lambda: unless_busy(some(s, s.nodes, 0.45), 1.2, s.term),
        lambda: unless_busy(some(s, s.nodes, 0.55), 0, lambda n: s.kill(n, 2)),
        lambda: each(workers(0.45), 1, s.release),
        lambda: crash_one("reset", 4),
        lambda: crash_one("dark", 4.5),
        lambda: crash_one("dark", None),
        rush,
        hot,
        lambda: s.reset_some(0.4),
        lambda: s.make_unhealthy(workers(0.6), 5, garble=0.04),
        lambda: s.make_unhealthy(workers(0.6), 5, lost=0.05),
        lambda: s.make_unhealthy(workers(0.6), 5, surplus=0.05, late=0.05),
        lambda: s.make_unhealthy(workers(0.2), 5, health="good", mute=0.4),
        lambda: s.make_unhealthy(workers(0.2), 5, health="good", errors=0.4),
        lambda: s.make_unhealthy(workers(0.2), 5, hang=0.4),
        lambda: s.operator_site.spawn(s.race(), platform_model.log),
        lambda: s.operator_site.spawn(s.bad(), platform_model.log),
        lambda: each(range(6), 0.35, lambda _: s.change(pick(["idle", "timeout"]))),
        lambda: s.operator_site.spawn(s.next_config("big", 60, 280), platform_model.log),
    ]
    for op in s.rng.sample(ops, s.rng.randrange(3, 7)):
        s.later(1.5 + 14 * s.rng.random(), op)
    s.later(1.5 + 14 * s.rng.random(), lambda: alone(s.cores, pick(core_ops)))  # no more than may be borne at once
    for at in (3, 9, 20):
        s.later(at, s.change, "idle")
    s.go(24)
    if s.rng.random() < 0.5:
        done = s.change("idle")
        s.until(lambda: done.called, 20)
        s.closing(pick(["kill_all", "power_off_all", "wipe"]), 0.7 + s.rng.random())
        s.traffic_until = s.world.time + 18 * S
        s.go(18)


def mixed(s: platform_model.Site) -> None:
    """Several troubles at once, by chance."""
    for f in s.rng.sample(
        [
            crash_reset,
            crash_dark,
            release,
            kill_node,
            freeze,
            roll,
            cut_node,
            burst,
            hot_key,
            garble,
            answers_lost,
            surplus,
            storm,
            kill_core,
        ],
        4,
    ):
        f(s)


DAYS = {
    f.__name__: f
    for f in (
        calm,
        changes,
        storm,
        race,
        crash_reset,
        crash_dark,
        crash_lost,
        flap,
        release,
        release_all,
        other_service,
        kill_node,
        power_node,
        kill_core,
        kill_cores,
        herd,
        freeze,
        roll,
        roll_cores,
        cut_node,
        cut_core,
        burst,
        hot_key,
        garble,
        surplus,
        answers_lost,
        broken_off,
        grey,
        lying,
        idle_drops,
        closing_kill,
        closing_power,
        closing_wipe,
        ack_wipe,
        reset_conns,
        lossy,
        disks,
        replace_core,
        mixed,
        drawn,
        core_days.core_drawn,
        core_days.time_of_day,
        core_days.lose_tail,
    )
}
LENGTH = {
    "closing_kill": 30,
    "closing_power": 30,
    "closing_wipe": 30,
    "mixed": 40,
    "ack_wipe": 24,
    "race": 24,
    "replace_core": 20,
    "drawn": 30,
    "core_drawn": 40,
    "time_of_day": 24,
    "lose_tail": 28,
}


def play(name: str, seed: int, shape: str = "magnolia", load: float = 1.0, seconds: None = None) -> platform_model.Site:
    """Play a day to its end: the site."""
    s = platform_model.Site(seed, shape, seconds or LENGTH.get(name, 16), load)
    s.begin()
    DAYS[name](s)
    s.end()
    return s


def totals(s: typing.Any) -> typing.Any:
    """What a day came to: shares of requests, worth, and what it cost."""
    rows = s.tape.rows
    got = platform_rules.earned_value(rows, s.kinds())
    kinds = collections.Counter(r["kind"] for r in rows)
    every = got["all"]
    return dict(
        asked=every["asked"],
        in_aim=every["in_aim"],
        late=every["late"],
        none=every["none"],
        worth=every["worth"],
        worst=min(every["worst_windows"], default=0.0),
        calls=kinds["platform_call"],
        probes=kinds["probed"],
        opened=kinds["opened"],
        ran=kinds["ran"],
        again=sum(w.engine.read_again for w in s.workers.values()),
        **{
            f"{what} {k}": got[k].get(what, 0.0)
            for k in s.kinds()
            if k in got
            for what in ("worth", "p50_ms", "p99_ms")
        },
    )


def one(job: typing.Any) -> tuple[typing.Any, ...]:
    """Play and judge one day: the job, complaints, totals, seconds of computing."""
    name, seed, shape, load, seconds, path = job
    loguru.logger.remove()
    started_at = time.process_time()
    try:
        s = play(name, seed, shape, load, seconds)
    except Exception as e:  # a day that can't go on is a finding too
        return job, {"crash": [repr(e)]}, {}, time.process_time() - started_at
    if path:
        with open(path, "w") as f:
            f.write(s.tape.text())
    return job, platform_rules.examine(s.tape.rows), totals(s), time.process_time() - started_at


def run(
    *,
    days: list[str] = (),
    seeds: int = 5,
    first: int = 1,
    shape: str = "magnolia",
    load: float = 1.0,
    seconds: float = 0,
    log: str = "",
    processes: int = 0,
) -> typing.NoReturn:
    """Play days over seeds and judge them; say how to repeat what failed.

    :param days: days by name; all where none is named
    :param seeds: how many seeds for each
    :param first: the first seed
    :param shape: magnolia, swan or grown
    :param load: how many times the usual load
    :param seconds: how long the traffic lasts; what the day wants where 0
    :param log: write the event log of the one run here
    :param procs: processes to use; all cores where 0
    """
    names = list(days) or list(DAYS)
    bad = [n for n in names if n not in DAYS]
    if bad or shape not in platform_model.SHAPES or seeds < 1 or log and (seeds > 1 or len(names) > 1):
        print(f"days: no such day or shape, or --log with more than one run: {' '.join(bad) or shape}", file=sys.stderr)
        sys.exit(2)
    jobs = [(n, s, shape, load, seconds, log) for s in range(first, first + seeds) for n in names]
    failed, sums, started_at = 0, collections.defaultdict(list), time.monotonic()
    with multiprocessing.Pool(processes or os.cpu_count(), maxtasksperchild=8) as pool:
        for (name, seed, *_), found, got, _ in pool.imap_unordered(one, jobs):
            if got:
                sums[name].append(got)
            if found:
                failed += 1
                print(
                    f"FAILED {name} seed {seed}: python -m simulation.platform_days --days {name} "
                    f"--first {seed} --seeds 1 "
                    f"--shape {shape} --load {load}",
                    flush=True,
                )
                for rule, lines in found.items():
                    for line in lines[:3]:
                        print(f"    {rule}: {line}")
                    if len(lines) > 3:
                        print(f"    {rule}: and {len(lines) - 3} more")
    print(
        f"{'day':16}{'asked':>8}{'in aim':>9}{'late':>8}{'none':>8}{'worth':>8}{'worst 2 s':>10}{'conns':>7}"
        f"{'calls':>7}{'probes':>7}{'read again':>11}"
    )
    for name in names:
        rows = sums[name]
        asked = sum(r["asked"] for r in rows)
        if asked:
            print(
                f"{name:16}{asked:8}"
                + "".join(
                    f"{sum(r[k] for r in rows) / asked:{w}.4f}" for k, w in (("in_aim", 9), ("late", 8), ("none", 8))
                )
                + f"{sum(r['worth'] for r in rows) / len(rows):8.3f}{min(r['worst'] for r in rows):10.3f}"
                + "".join(
                    f"{sum(r[k] for r in rows) / len(rows):{w}.0f}"
                    for k, w in (("opened", 7), ("calls", 7), ("probes", 7), ("again", 11))
                )
            )
    for kind in platform_model.SHAPES[shape].kinds:
        for name in names if len(names) == 1 else ():
            rows = [r for r in sums[name] if f"worth {kind.name}" in r]
            means = {
                k: sum(r[f"{k} {kind.name}"] for r in rows) / max(1, len(rows)) for k in ("worth", "p50_ms", "p99_ms")
            }
            print(f"{kind.name}: {', '.join(f'{k} {v:.3f}' for k, v in means.items())}, mean of {len(rows)} days")
    print(
        f"{len(jobs)} days, shape {shape}, seeds {first} to {first + seeds - 1}, load {load}: "
        f"{len(jobs) - failed} kept all rules, {failed} did not; {time.monotonic() - started_at:.0f} s on the clock"
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    defopt.run(run)
