"""Days of a deployment that tolerates the loss of a zone: cold workers, faults of zones, tallies and evacuations.

As in `days`, the name of each function is the name of its day.
"""

from __future__ import annotations

import typing

import loguru

from simulation.site import days, faults, zone_faults

if typing.TYPE_CHECKING:
    import collections.abc

    from simulation.site import site

SHAPE = "apart"  # the deployment on which these days are played
CUT_S = 9  # duration of a network cut between zones
ZONE_DOWN_S = 5.5  # duration of a zone's power loss
WORKERS_DOWN_S = 4.5  # from the crash of a zone's workers to their next start
BURST_FACTOR, BURST_S = 1.5, 5  # multiple of the usual request rate, and its duration
EVACUATED_S = 8  # duration of an evacuation
TALLY_DOWN_S, TALLY_LOSS_GAP_S = 2, 3.5  # downtime of a lost core machine, and time from one loss to the next
ACKNOWLEDGED_LOSS_S = 0.004  # longest time from a core machine's acknowledgement of an add to its loss

log = loguru.logger.bind(part="site")


def _random_zone(deployment: site.Site) -> str:
    return deployment.rng.choice(deployment.shape.zones())


# ---- cold workers --------------------------------------------------------------------------


def cold_crash(deployment: site.Site) -> None:
    """Some workers crash one after the other, and start again cold."""
    deployment.advance(3)
    for name in days.sample_share(deployment, deployment.live_workers(), 0.4):
        deployment.faults.crash_worker(name, "reset", back=2)
        deployment.advance(1.5)


def cold_return(deployment: site.Site) -> None:
    """The machines of a zone's workers fail, and the workers start again together, cold."""
    deployment.advance(4)
    deployment.zone_faults.crash_and_return_workers(_random_zone(deployment), WORKERS_DOWN_S, how="dark")


def cold_burst(deployment: site.Site) -> None:
    """The workers of a zone crash and start again together, cold, during a raised rate of one kind of request."""
    deployment.advance(4)
    deployment.zone_faults.crash_and_return_workers(_random_zone(deployment), WORKERS_DOWN_S)
    deployment.advance(WORKERS_DOWN_S - 1)
    kind = deployment.rng.choice(deployment.shape.kinds).name
    for traffic in deployment.traffics:
        traffic.rate_factors[kind] = BURST_FACTOR
    deployment.advance(BURST_S)
    for traffic in deployment.traffics:
        traffic.rate_factors.clear()


# ---- cuts and losses of zones --------------------------------------------------------------


def _change_and_replace_worker(deployment: site.Site) -> None:
    """Send two changes during a cut that has just begun, and replace a worker just after its end."""
    deployment.advance(1)
    deployment.configurations.begin_change("idle")
    deployment.advance(4)
    deployment.configurations.begin_change("timeout")
    deployment.advance(CUT_S - 5 + 0.3)
    deployment.faults.replace_worker(days.choose_one(deployment, deployment.live_workers()))
    deployment.configurations.begin_change("idle")


def zone_cut(deployment: site.Site) -> None:
    """A zone is cut off from the others by a cut of a random kind, see `zone_faults.ZoneFaults.cut`."""
    deployment.advance(4)
    deployment.zone_faults.isolate(_random_zone(deployment), CUT_S, deployment.rng.choice(zone_faults.CUT_KINDS))
    _change_and_replace_worker(deployment)


def zone_one_way(deployment: site.Site) -> None:
    """No packets get out of a zone to the others, or none into it."""
    deployment.advance(4)
    outward = deployment.rng.random() < 0.5
    deployment.zone_faults.cut_one_way(_random_zone(deployment), CUT_S, outward=outward)
    _change_and_replace_worker(deployment)


def zone_bridge(deployment: site.Site) -> None:
    """Two zones can't reach each other, while a third reaches both."""
    deployment.advance(4)
    one, other = deployment.rng.sample(deployment.shape.zones(), 2)
    deployment.zone_faults.cut_pair(one, other, CUT_S)
    _change_and_replace_worker(deployment)


def zone_power(deployment: site.Site) -> None:
    """A zone loses power for some seconds, while a change is sent; another change follows after it is back."""
    deployment.advance(4)
    deployment.zone_faults.power_off(_random_zone(deployment), ZONE_DOWN_S)
    deployment.advance(1)
    deployment.configurations.begin_change("idle")
    deployment.advance(ZONE_DOWN_S + 1)
    deployment.configurations.begin_change("idle")


# ---- tallies -------------------------------------------------------------------------------


def tally_quiet(deployment: site.Site) -> None:
    """Applications add to tallies and read them, without any faults."""
    deployment.applications.start()


def tally_cut(deployment: site.Site) -> None:
    """A zone is cut off while applications on both sides add to the same tallies."""
    deployment.applications.start()
    deployment.advance(2)
    deployment.zone_faults.isolate(_random_zone(deployment), CUT_S, deployment.rng.choice(zone_faults.CUT_KINDS))


def tally_kill(deployment: site.Site) -> None:
    """The core machine that acknowledges an add is killed or loses power within milliseconds, three times."""
    deployment.applications.start()
    for _ in range(3):
        deployment.advance(2)
        _lose_acknowledging_machine(deployment)
        deployment.advance(TALLY_LOSS_GAP_S)


def _lose_acknowledging_machine(deployment: site.Site) -> None:
    cause_fault = deployment.rng.choice([deployment.faults.kill, deployment.faults.power_off])
    wait = deployment.rng.uniform(0, ACKNOWLEDGED_LOSS_S)

    def lose(host: str) -> None:
        for name in sorted(deployment.cores):
            if deployment.places[name].host == host:
                deployment.schedule(wait, cause_fault, name, TALLY_DOWN_S)

    deployment.rng.choice(deployment.applications.callers).on_acknowledged.append(lose)


def _tallies_through_outage(deployment: site.Site, how: faults.FleetOutage) -> None:
    deployment.applications.start()
    deployment.advance(6 + deployment.rng.random())
    deployment.faults.cause_fleet_outage(
        how, 0.7 + deployment.rng.random() * 0.7, wiped_count=deployment.shape.tolerated_losses
    )


def tally_wipe(deployment: site.Site) -> None:
    """All machines lose power, and as many core machines as the deployment tolerates lose their disks."""
    _tallies_through_outage(deployment, "wipe")


def tally_kill_all(deployment: site.Site) -> None:
    """The processes of all nodes and core machines are killed while applications use tallies."""
    _tallies_through_outage(deployment, "kill_all")


# ---- evacuations ---------------------------------------------------------------------------


def _spawn_order(deployment: site.Site, order: collections.abc.Coroutine[typing.Any, typing.Any, int]) -> None:
    deployment.operator_runtime.spawn(order, log)


def _evacuate(deployment: site.Site, *, warm: bool) -> None:
    """Start to evacuate a random zone, and schedule the end of the evacuation."""
    zone = _random_zone(deployment)
    _spawn_order(deployment, deployment.zone_faults.evacuate(zone))
    deployment.schedule(
        EVACUATED_S, lambda: _spawn_order(deployment, deployment.zone_faults.end_evacuation(zone, warm=warm))
    )


def evacuate(deployment: site.Site) -> None:
    """A zone is evacuated for some seconds while a change is sent; its workers are cold when the evacuation ends."""
    deployment.advance(3)
    _evacuate(deployment, warm=False)
    deployment.advance(1)
    deployment.configurations.begin_change("idle")


def evacuate_warm(deployment: site.Site) -> None:
    """A zone is evacuated for some seconds, while a core machine and a node are killed; its workers stay warm."""
    deployment.advance(3)
    _evacuate(deployment, warm=True)
    deployment.advance(0.05)
    deployment.faults.kill(days.choose_one(deployment, deployment.cores), 2)
    deployment.advance(1)
    deployment.faults.kill(days.choose_one(deployment, deployment.nodes), 2)


def evacuate_closing(deployment: site.Site) -> None:
    """Right after an evacuation is acknowledged there is a fleet outage; the evacuation is never ended."""
    deployment.advance(4)
    status = deployment.operator_runtime.spawn(deployment.zone_faults.evacuate(_random_zone(deployment)), log)
    deployment.advance_until(lambda: status.called, EVACUATED_S)
    deployment.faults.cause_fleet_outage(
        deployment.rng.choice(faults.FLEET_OUTAGES), 0.7 + deployment.rng.random() * 0.7
    )


DAYS: tuple[days.Day, ...] = (
    cold_crash,
    cold_return,
    cold_burst,
    zone_cut,
    zone_one_way,
    zone_bridge,
    zone_power,
    tally_quiet,
    tally_cut,
    tally_kill,
    tally_wipe,
    tally_kill_all,
    evacuate,
    evacuate_warm,
    evacuate_closing,
)
