"""Days of the users' platform with one kind of fault each, and one with several of them at once."""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.runtime import units
from simulation.clients import client

if typing.TYPE_CHECKING:
    from simulation.site import faults, site

Day = collections.abc.Callable[["site.Site"], None]

EARLY_IDLE_DROP_US = 700 * units.MILLISECOND_US

log = loguru.logger.bind(part="site")


def some(owner: site.Site, names: collections.abc.Iterable[str], share: float) -> list[str]:
    """A random share of these names, at least one."""
    ordered = sorted(names)
    return owner.rng.sample(ordered, max(1, round(share * len(ordered))))


def one_of(owner: site.Site, names: collections.abc.Iterable[str]) -> str:
    """A random one of these names."""
    return some(owner, names, 0)[0]


def acknowledged_change(owner: site.Site) -> None:
    """Send a change, and let time pass until it has its answer."""
    answer = owner.configurations.change("idle")
    owner.advance_until(lambda: answer.called, 20)


# ---- configurations ------------------------------------------------------------------------


def calm(owner: site.Site) -> None:
    """Nothing happens, but for one change of the configuration."""
    owner.advance(3)
    owner.configurations.change("idle")


def changes(owner: site.Site) -> None:
    """Idle routes, a time-out, and many routes at once."""
    for how in ("idle", "timeout", "big", "idle"):
        owner.advance(3.5)
        owner.configurations.change(how)


def storm(owner: site.Site) -> None:
    """Configurations in quick succession."""

    async def send_all() -> None:
        for number in range(12):
            await owner.configurations.send_next("timeout" if number % 2 else "idle", 60)

    owner.advance(3)
    owner.operator_runtime.spawn(send_all(), log)


def race(owner: site.Site) -> None:
    """Two operators send at once, on top of the same version; invalid configurations come too."""

    async def send_all() -> None:
        for _ in range(3):
            await owner.configurations.race()
            await owner.configurations.send_invalid()

    owner.advance(3)
    owner.operator_runtime.spawn(send_all(), log)


# ---- workers -------------------------------------------------------------------------------


def _crash(owner: site.Site, how: typing.Literal["reset", "dark"]) -> None:
    owner.advance(4)
    owner.configurations.change("idle")
    owner.advance(1)
    owner.faults.crash_worker(owner.rng.choice(owner.live_workers()), how, back=4.5)


def crash_reset(owner: site.Site) -> None:
    """A worker's process dies: its connections are reset, its port refuses."""
    _crash(owner, "reset")


def crash_dark(owner: site.Site) -> None:
    """A worker's machine goes dark: it says nothing more."""
    _crash(owner, "dark")


def crash_lost(owner: site.Site) -> None:
    """Two workers are lost for good, one after the other."""
    for how in ("dark", "reset"):
        owner.advance(4)
        owner.faults.crash_worker(owner.rng.choice(owner.live_workers()), how)


def flap(owner: site.Site) -> None:
    """A worker goes down and up by turns."""
    name = owner.rng.choice(owner.live_workers())
    for _ in range(4):
        owner.advance(2)
        owner.faults.crash_worker(name, "reset", back=1.2, listed=1.0)
        owner.advance(1.3)


def release(owner: site.Site) -> None:
    """Workers are replaced one after the other."""
    owner.advance(3)
    for name in some(owner, owner.live_workers(), 0.45):
        owner.faults.replace_worker(name)
        owner.advance(1)
    owner.configurations.change("idle")


def release_all(owner: site.Site) -> None:
    """All workers are replaced, and addresses are used again after a while."""
    owner.advance(2)
    hosts: list[str] = []
    for name in owner.live_workers():
        free = len(hosts) > 2 and not owner.world.machines[hosts[0]].power
        host = hosts.pop(0) if free else None
        hosts.append(owner.workers[name].host)
        owner.faults.replace_worker(name, host)
        owner.advance(2)


def other_service(owner: site.Site) -> None:
    """The address of a worker that crashed goes to another service, while nodes still know it as the old one."""
    for _ in range(2):
        owner.advance(3)
        name = owner.rng.choice(owner.live_workers())
        worker = owner.workers[name]
        owner.faults.crash_worker(name, "reset", listed=4.0)
        owner.advance(2.1)
        owner.start_worker(f"other{worker.host}", worker.host, worker.zone, pool="other")


def _unhealthy(owner: site.Site, **faults: float) -> None:
    owner.advance(3)
    owner.faults.make_unhealthy(some(owner, owner.live_workers(), 0.6), 5, "", **faults)


def garble(owner: site.Site) -> None:
    """Workers send bytes that are no answer."""
    _unhealthy(owner, garble=0.05)


def surplus(owner: site.Site) -> None:
    """Workers send more after a whole answer, at once or in the place of the next one."""
    _unhealthy(owner, surplus=0.1, late=0.1)


def answers_lost(owner: site.Site) -> None:
    """Workers run requests and lose the answers."""
    _unhealthy(owner, lost=0.05)


def broken_off(owner: site.Site) -> None:
    """Workers break streams off midway."""
    _unhealthy(owner, **{"break": 0.05})


def grey(owner: site.Site) -> None:
    """Workers fail part of their requests while their health checks are answered as good."""
    way = owner.rng.choice(["errors", "hang", "mute"])
    owner.advance(3)
    owner.faults.make_unhealthy(some(owner, owner.live_workers(), 0.15), 6, health="good", **{way: 0.45})


def lying(owner: site.Site) -> None:
    """Workers that are well say that they are not."""
    owner.advance(3)
    owner.faults.make_unhealthy(some(owner, owner.live_workers(), 0.3), 6, health="bad")


def idle_drops(owner: site.Site) -> None:
    """Workers drop idle connections early and without a word."""
    for worker in owner.workers.values():
        worker.silent_drop, worker.idle_us = True, EARLY_IDLE_DROP_US


# ---- nodes and core machines ---------------------------------------------------------------


def kill_node(owner: site.Site) -> None:
    """A node is killed and comes back."""
    owner.advance(3)
    owner.configurations.change("idle")
    owner.advance(1)
    for name in some(owner, owner.nodes, 0.16):
        owner.faults.kill(name, 3.5)


def power_node(owner: site.Site) -> None:
    """A node loses power and comes back."""
    owner.advance(4)
    for name in some(owner, owner.nodes, 0.17):
        owner.faults.power_off(name, 3)


def kill_core(owner: site.Site) -> None:
    """Core machines are killed, one after the other, while the configuration changes."""
    for name in some(owner, owner.cores, 0.6):
        owner.advance(2)
        owner.configurations.change("idle")
        owner.advance(0.02)
        owner.faults.kill(name, 3.5)
        owner.advance(4)


def kill_cores(owner: site.Site) -> None:
    """All of the core is killed at the same moment, and is back within a second."""
    owner.advance(4)
    owner.configurations.change("idle")
    owner.advance(0.01)
    for name in sorted(owner.cores):
        owner.faults.kill(name, 0.8)


def herd(owner: site.Site) -> None:
    """Many nodes are killed at the same moment."""
    owner.advance(4)
    for name in some(owner, owner.nodes, 0.55):
        owner.faults.kill(name, 2)


def freeze(owner: site.Site) -> None:
    """A node and then a core machine freeze, and wake again."""
    owner.advance(3)
    owner.faults.freeze(one_of(owner, owner.nodes), 4)
    owner.advance(3)
    owner.configurations.change("idle")
    owner.faults.freeze(one_of(owner, owner.cores), 4)


def roll(owner: site.Site) -> None:
    """Nodes are stopped in good order and started, one after the other, under load."""
    owner.advance(3)
    for name in some(owner, owner.nodes, 0.45):
        owner.faults.terminate(name)
        owner.advance(1.3)


def roll_cores(owner: site.Site) -> None:
    """Core machines are stopped in good order and started, one after the other."""
    for name in some(owner, owner.cores, 1):
        owner.advance(2)
        owner.configurations.change("idle")
        owner.faults.terminate(name)
        owner.advance(4)


def replace_core(owner: site.Site) -> None:
    """A core machine is replaced by an empty one at another address, gently or not; then another."""
    for gently in owner.rng.sample([True, False], 2):
        owner.advance(3)
        owner.faults.replace_core(one_of(owner, owner.cores), gently)
        owner.advance(1)
        owner.configurations.change("idle")
        owner.advance(5)


def disks(owner: site.Site) -> None:
    """Core machines' disks are slow, full and stalled, one after the other."""
    for state in ("slow", "full", "stalled"):
        owner.advance(3)
        owner.faults.degrade_disk(one_of(owner, owner.cores), state, 3)
        owner.configurations.change("idle")


def ack_wipe(owner: site.Site) -> None:
    """A core machine loses power and its disk right after an acknowledgement."""
    for _ in range(2):
        owner.advance(3)
        acknowledged_change(owner)
        owner.faults.power_off(one_of(owner, owner.cores), 3, wipe=True)
        owner.advance(8)


def _closing(owner: site.Site, how: faults.ClosingFault) -> None:
    owner.advance(5)
    acknowledged_change(owner)
    owner.faults.close(how, 0.7 + owner.rng.random() * 0.7)
    owner.traffic_until = owner.world.time + 22 * units.SECOND_US
    owner.advance(22)


def closing_kill(owner: site.Site) -> None:
    """Right after an acknowledgement every process is killed."""
    _closing(owner, "kill_all")


def closing_power(owner: site.Site) -> None:
    """Right after an acknowledgement every machine loses power."""
    _closing(owner, "power_off_all")


def closing_wipe(owner: site.Site) -> None:
    """Right after an acknowledgement every machine loses power, and a core machine its disk."""
    _closing(owner, "wipe")


# ---- network and load ----------------------------------------------------------------------


def cut_node(owner: site.Site) -> None:
    """A node is cut off from all other machines; a change comes meanwhile."""
    owner.advance(4)
    owner.faults.isolate(one_of(owner, owner.nodes), 5, clients=owner.rng.random() < 0.5)
    owner.advance(1)
    owner.configurations.change("idle")


def cut_core(owner: site.Site) -> None:
    """A core machine is cut off, while two operators send."""
    owner.advance(3)
    owner.faults.isolate(one_of(owner, owner.cores), 5)
    owner.operator_runtime.spawn(owner.configurations.race(), log)


def reset_conns(owner: site.Site) -> None:
    """Connections between the fleet's machines are reset, twice."""
    for _ in range(2):
        owner.advance(4)
        owner.configurations.change("idle")
        owner.faults.reset_connections(0.5)


def lossy(owner: site.Site) -> None:
    """The links of a zone lose packets."""
    owner.advance(3)
    owner.faults.lose_packets(owner.rng.choice(owner.shape.zones()), 0.025, 6)
    owner.advance(1)
    owner.configurations.change("idle")


def burst(owner: site.Site) -> None:
    """One kind of request comes in a rush."""
    owner.advance(4)
    kind = owner.rng.choice(owner.shape.kinds).name
    for traffic in owner.traffics:
        traffic.rate_factors[kind] = 1.6

    def end() -> None:
        for traffic in owner.traffics:
            traffic.rate_factors.clear()

    owner.schedule(4, end)


def hot_key(owner: site.Site) -> None:
    """One key gets much of the traffic."""
    owner.advance(3)
    for traffic in owner.traffics:
        traffic.hot_key = client.HotKey(owner.shape.kinds[0].name, 0.35)


# ---- several at once -----------------------------------------------------------------------

MIXED_DAYS = (
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
)
MIXED_COUNT = 4


def mixed(owner: site.Site) -> None:
    """Several faults by chance, one after the other."""
    for day in owner.rng.sample(MIXED_DAYS, MIXED_COUNT):
        day(owner)


DAYS: tuple[Day, ...] = (
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
)
