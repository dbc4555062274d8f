"""Days of the users' platform with one kind of fault each, and one day with several kinds.

A day is a scenario: a function that gets a site on which traffic has begun, lets virtual time pass, and causes faults.
The name of the function is the name of the day.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.runtime import units
from simulation.clients import client

if typing.TYPE_CHECKING:
    from simulation.site import faults, site

Day = collections.abc.Callable[["site.Site"], None]

EARLY_IDLE_DROP_US = 700 * units.MILLISECOND_US  # idle time after which workers drop connections on `idle_drops`

log = loguru.logger.bind(part="site")


def sample_share(deployment: site.Site, names: collections.abc.Iterable[str], share: float) -> list[str]:
    """A random sample of the names, of the given share but at least one."""
    ordered = sorted(names)
    return deployment.rng.sample(ordered, max(1, round(share * len(ordered))))


def choose_one(deployment: site.Site, names: collections.abc.Iterable[str]) -> str:
    """One of the names, chosen at random."""
    return sample_share(deployment, names, 0)[0]


def send_acknowledged_change(deployment: site.Site) -> None:
    """Send a change, and let time pass until it is answered, 20 s at most."""
    answer = deployment.configurations.begin_change("idle")
    deployment.advance_until(lambda: answer.called, 20)


# ---- configurations ------------------------------------------------------------------------


def calm(deployment: site.Site) -> None:
    """There are no faults, only one change of the configuration."""
    deployment.advance(3)
    deployment.configurations.begin_change("idle")


def changes(deployment: site.Site) -> None:
    """The configuration changes several times: idle routes, a time-out, and many routes at once."""
    for how in ("idle", "timeout", "big", "idle"):
        deployment.advance(3.5)
        deployment.configurations.begin_change(how)


def storm(deployment: site.Site) -> None:
    """Twelve changes of the configuration follow each other without a pause."""

    async def send_all() -> None:
        for number in range(12):
            await deployment.configurations.send_next("timeout" if number % 2 else "idle", 60)

    deployment.advance(3)
    deployment.operator_runtime.spawn(send_all(), log)


def race(deployment: site.Site) -> None:
    """Two operators send concurrent changes based on the same version, and invalid configurations."""

    async def send_all() -> None:
        for _ in range(3):
            await deployment.configurations.race()
            await deployment.configurations.send_invalid()

    deployment.advance(3)
    deployment.operator_runtime.spawn(send_all(), log)


# ---- workers -------------------------------------------------------------------------------


def _crash_one_worker(deployment: site.Site, how: typing.Literal["reset", "dark"]) -> None:
    deployment.advance(4)
    deployment.configurations.begin_change("idle")
    deployment.advance(1)
    deployment.faults.crash_worker(deployment.rng.choice(deployment.live_workers()), how, back=4.5)


def crash_reset(deployment: site.Site) -> None:
    """A worker's process dies: its connections are reset, and new ones are refused."""
    _crash_one_worker(deployment, "reset")


def crash_dark(deployment: site.Site) -> None:
    """A worker's machine fails: its connections become silent without being closed."""
    _crash_one_worker(deployment, "dark")


def crash_lost(deployment: site.Site) -> None:
    """Two workers crash one after the other and never come back."""
    for how in ("dark", "reset"):
        deployment.advance(4)
        deployment.faults.crash_worker(deployment.rng.choice(deployment.live_workers()), how)


def flap(deployment: site.Site) -> None:
    """A worker crashes and comes back four times."""
    name = deployment.rng.choice(deployment.live_workers())
    for _ in range(4):
        deployment.advance(2)
        deployment.faults.crash_worker(name, "reset", back=1.2, listed=1.0)
        deployment.advance(1.3)


def release(deployment: site.Site) -> None:
    """A part of the workers are replaced one after the other, as in a rolling release."""
    deployment.advance(3)
    for name in sample_share(deployment, deployment.live_workers(), 0.45):
        deployment.faults.replace_worker(name)
        deployment.advance(1)
    deployment.configurations.begin_change("idle")


def release_all(deployment: site.Site) -> None:
    """All workers are replaced one after the other; replacements get addresses of workers that have ended."""
    deployment.advance(2)
    hosts: list[str] = []
    for name in deployment.live_workers():
        free = len(hosts) > 2 and not deployment.world.machines[hosts[0]].power
        host = hosts.pop(0) if free else None
        hosts.append(deployment.workers[name].host)
        deployment.faults.replace_worker(name, host)
        deployment.advance(2)


def other_service(deployment: site.Site) -> None:
    """A crashed worker's address is given to a worker of another service, while the old worker is still listed."""
    for _ in range(2):
        deployment.advance(3)
        name = deployment.rng.choice(deployment.live_workers())
        worker = deployment.workers[name]
        deployment.faults.crash_worker(name, "reset", listed=4.0)
        deployment.advance(2.1)
        deployment.start_worker(f"other{worker.host}", worker.host, worker.zone, pool="other")


def _make_workers_unhealthy(deployment: site.Site, **faults: float) -> None:
    deployment.advance(3)
    deployment.faults.make_unhealthy(sample_share(deployment, deployment.live_workers(), 0.6), 5, "", **faults)


def garble(deployment: site.Site) -> None:
    """Workers send bytes that are no HTTP answer."""
    _make_workers_unhealthy(deployment, garble=0.05)


def surplus(deployment: site.Site) -> None:
    """Workers send a second answer after a complete one, at once or later, when the next answer may be expected."""
    _make_workers_unhealthy(deployment, surplus=0.1, late=0.1)


def answers_lost(deployment: site.Site) -> None:
    """Workers run requests, and reset the connection instead of sending the last event or the whole answer."""
    _make_workers_unhealthy(deployment, lost=0.05)


def broken_off(deployment: site.Site) -> None:
    """Workers reset the connection within an answer, after a part of an event or of the body."""
    _make_workers_unhealthy(deployment, **{"break": 0.05})


def grey(deployment: site.Site) -> None:
    """Workers fail a part of their requests (grey failure), while they pass their health checks."""
    failure = deployment.rng.choice(["errors", "hang", "mute"])
    deployment.advance(3)
    deployment.faults.make_unhealthy(
        sample_share(deployment, deployment.live_workers(), 0.15), 6, health="good", **{failure: 0.45}
    )


def lying(deployment: site.Site) -> None:
    """Workers that serve requests correctly fail their health checks."""
    deployment.advance(3)
    deployment.faults.make_unhealthy(sample_share(deployment, deployment.live_workers(), 0.3), 6, health="bad")


def idle_drops(deployment: site.Site) -> None:
    """Workers drop idle connections early, without closing them."""
    for worker in deployment.workers.values():
        worker.silent_drop, worker.idle_us = True, EARLY_IDLE_DROP_US


# ---- nodes and core machines ---------------------------------------------------------------


def kill_node(deployment: site.Site) -> None:
    """About a sixth of the nodes, at least one, are killed and start again."""
    deployment.advance(3)
    deployment.configurations.begin_change("idle")
    deployment.advance(1)
    for name in sample_share(deployment, deployment.nodes, 0.16):
        deployment.faults.kill(name, 3.5)


def power_node(deployment: site.Site) -> None:
    """About a sixth of the nodes, at least one, lose power and start again."""
    deployment.advance(4)
    for name in sample_share(deployment, deployment.nodes, 0.17):
        deployment.faults.power_off(name, 3)


def kill_core(deployment: site.Site) -> None:
    """Core machines are killed one after the other, each just after a change was sent, and start again."""
    for name in sample_share(deployment, deployment.cores, 0.6):
        deployment.advance(2)
        deployment.configurations.begin_change("idle")
        deployment.advance(0.02)
        deployment.faults.kill(name, 3.5)
        deployment.advance(4)


def kill_cores(deployment: site.Site) -> None:
    """All core machines are killed at the same time, just after a change was sent, and start again within a second."""
    deployment.advance(4)
    deployment.configurations.begin_change("idle")
    deployment.advance(0.01)
    for name in sorted(deployment.cores):
        deployment.faults.kill(name, 0.8)


def herd(deployment: site.Site) -> None:
    """Over half of the nodes are killed at the same time, so that they all reconnect at once."""
    deployment.advance(4)
    for name in sample_share(deployment, deployment.nodes, 0.55):
        deployment.faults.kill(name, 2)


def freeze(deployment: site.Site) -> None:
    """A node's process freezes for some seconds, and then that of a core machine."""
    deployment.advance(3)
    deployment.faults.freeze(choose_one(deployment, deployment.nodes), 4)
    deployment.advance(3)
    deployment.configurations.begin_change("idle")
    deployment.faults.freeze(choose_one(deployment, deployment.cores), 4)


def roll(deployment: site.Site) -> None:
    """Nodes are restarted one after the other with SIGTERM, under load."""
    deployment.advance(3)
    for name in sample_share(deployment, deployment.nodes, 0.45):
        deployment.faults.terminate(name)
        deployment.advance(1.3)


def roll_cores(deployment: site.Site) -> None:
    """Core machines are restarted one after the other with SIGTERM, while changes are sent."""
    for name in sample_share(deployment, deployment.cores, 1):
        deployment.advance(2)
        deployment.configurations.begin_change("idle")
        deployment.faults.terminate(name)
        deployment.advance(4)


def replace_core(deployment: site.Site) -> None:
    """Two core machines are replaced by empty ones at other addresses, one after SIGTERM and one after a power loss."""
    for gently in deployment.rng.sample([True, False], 2):
        deployment.advance(3)
        deployment.faults.replace_core(choose_one(deployment, deployment.cores), gently)
        deployment.advance(1)
        deployment.configurations.begin_change("idle")
        deployment.advance(5)


def disks(deployment: site.Site) -> None:
    """The disks of core machines are slow, then full, then stalled, while changes are sent."""
    for state in ("slow", "full", "stalled"):
        deployment.advance(3)
        deployment.faults.degrade_disk(choose_one(deployment, deployment.cores), state, 3)
        deployment.configurations.begin_change("idle")


def ack_wipe(deployment: site.Site) -> None:
    """A core machine loses power and its disk right after a change was acknowledged, twice."""
    for _ in range(2):
        deployment.advance(3)
        send_acknowledged_change(deployment)
        deployment.faults.power_off(choose_one(deployment, deployment.cores), 3, wipe=True)
        deployment.advance(8)


def _play_fleet_outage(deployment: site.Site, how: faults.FleetOutage) -> None:
    deployment.advance(5)
    send_acknowledged_change(deployment)
    deployment.faults.cause_fleet_outage(how, 0.7 + deployment.rng.random() * 0.7)
    deployment.traffic_until = deployment.world.time + 22 * units.SECOND_US
    deployment.advance(22)


def closing_kill(deployment: site.Site) -> None:
    """Right after a change was acknowledged, the processes of all nodes and core machines are killed."""
    _play_fleet_outage(deployment, "kill_all")


def closing_power(deployment: site.Site) -> None:
    """Right after a change was acknowledged, all nodes and core machines lose power."""
    _play_fleet_outage(deployment, "power_off_all")


def closing_wipe(deployment: site.Site) -> None:
    """Right after a change was acknowledged, all nodes and core machines lose power, and one core machine its disk."""
    _play_fleet_outage(deployment, "wipe")


# ---- network and load ----------------------------------------------------------------------


def cut_node(deployment: site.Site) -> None:
    """A node is cut off from all other machines while a change is sent; on half of the days also from clients."""
    deployment.advance(4)
    deployment.faults.isolate(choose_one(deployment, deployment.nodes), 5, clients=deployment.rng.random() < 0.5)
    deployment.advance(1)
    deployment.configurations.begin_change("idle")


def cut_core(deployment: site.Site) -> None:
    """A core machine is cut off from the fleet, while two operators send concurrent changes."""
    deployment.advance(3)
    deployment.faults.isolate(choose_one(deployment, deployment.cores), 5)
    deployment.operator_runtime.spawn(deployment.configurations.race(), log)


def reset_conns(deployment: site.Site) -> None:
    """Half of the connections between the fleet's machines are reset, twice, each time while a change is sent."""
    for _ in range(2):
        deployment.advance(4)
        deployment.configurations.begin_change("idle")
        deployment.faults.reset_connections(0.5)


def lossy(deployment: site.Site) -> None:
    """The links of one zone's machines lose packets while a change is sent."""
    deployment.advance(3)
    deployment.faults.lose_packets(deployment.rng.choice(deployment.shape.zones()), 0.025, 6)
    deployment.advance(1)
    deployment.configurations.begin_change("idle")


def burst(deployment: site.Site) -> None:
    """The rate of one kind of request rises by 60 % for some seconds."""
    deployment.advance(4)
    kind = deployment.rng.choice(deployment.shape.kinds).name
    for traffic in deployment.traffics:
        traffic.rate_factors[kind] = 1.6

    def end() -> None:
        for traffic in deployment.traffics:
            traffic.rate_factors.clear()

    deployment.schedule(4, end)


def hot_key(deployment: site.Site) -> None:
    """A third of the requests of one kind have the same prompt prefix."""
    deployment.advance(3)
    for traffic in deployment.traffics:
        traffic.hot_key = client.HotKey(deployment.shape.kinds[0].name, 0.35)


# ---- several kinds of faults ---------------------------------------------------------------

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


def mixed(deployment: site.Site) -> None:
    """Four of the days above, chosen at random, are played one after the other."""
    for day in deployment.rng.sample(MIXED_DAYS, MIXED_COUNT):
        day(deployment)


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
