"""Days of sites whose workers start cold, and whose zones are cut off from each other or lose power."""

from __future__ import annotations

import typing

import loguru

from simulation.site import days, faults, zone_faults

if typing.TYPE_CHECKING:
    import collections.abc

    from simulation.site import site

SHAPE = "apart"  # the deployment that these days are for
CUT_S = 9
ZONE_DOWN_S = 5.5
WORKERS_DOWN_S = 4.5
BURST_FACTOR, BURST_S = 1.5, 5
EVACUATED_S = 8
TALLY_DOWN_S, TALLY_LOSS_GAP_S = 2, 3.5
ACKNOWLEDGED_LOSS_S = 0.004  # within which a machine is lost that acknowledged

log = loguru.logger.bind(part="site")


def _random_zone(deployment: site.Site) -> str:
    return deployment.rng.choice(deployment.shape.zones())


# ---- cold workers --------------------------------------------------------------------------


def cold_crash(deployment: site.Site) -> None:
    """Some workers crash, one after the other, and come back cold."""
    deployment.advance(3)
    for name in days.sample_share(deployment, deployment.live_workers(), 0.4):
        deployment.faults.crash_worker(name, "reset", back=2)
        deployment.advance(1.5)


def cold_return(deployment: site.Site) -> None:
    """The workers of a zone are down, and come back together."""
    deployment.advance(4)
    deployment.zone_faults.crash_and_return_workers(_random_zone(deployment), WORKERS_DOWN_S, how="dark")


def cold_burst(deployment: site.Site) -> None:
    """The workers of a zone come back together while one kind of request comes far more often."""
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
    """Send a change during the cut that has just begun, and release a worker just after its end."""
    deployment.advance(1)
    deployment.configurations.begin_change("idle")
    deployment.advance(4)
    deployment.configurations.begin_change("timeout")
    deployment.advance(CUT_S - 5 + 0.3)
    deployment.faults.replace_worker(days.choose_one(deployment, deployment.live_workers()))
    deployment.configurations.begin_change("idle")


def zone_cut(deployment: site.Site) -> None:
    """A zone is cut off from the others: silently, or connections are reset, or new ones are refused as well."""
    deployment.advance(4)
    deployment.zone_faults.isolate(_random_zone(deployment), CUT_S, deployment.rng.choice(zone_faults.CUT_KINDS))
    _change_and_replace_worker(deployment)


def zone_one_way(deployment: site.Site) -> None:
    """Nothing passes out of a zone, or nothing into it."""
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
    """A zone is without power for some seconds; a change comes meanwhile."""
    deployment.advance(4)
    deployment.zone_faults.power_off(_random_zone(deployment), ZONE_DOWN_S)
    deployment.advance(1)
    deployment.configurations.begin_change("idle")
    deployment.advance(ZONE_DOWN_S + 1)
    deployment.configurations.begin_change("idle")


# ---- tallies -------------------------------------------------------------------------------


def tally_quiet(deployment: site.Site) -> None:
    """Applications add to tallies and read them; nothing else happens."""
    deployment.applications.start()


def tally_cut(deployment: site.Site) -> None:
    """A zone is cut off while applications on both sides add to the same tallies."""
    deployment.applications.start()
    deployment.advance(2)
    deployment.zone_faults.isolate(_random_zone(deployment), CUT_S, deployment.rng.choice(zone_faults.CUT_KINDS))


def tally_kill(deployment: site.Site) -> None:
    """The machine that acknowledges an add is killed or loses power right after, three times."""
    deployment.applications.start()
    for _ in range(3):
        deployment.advance(2)
        _lose_acknowledging_machine(deployment)
        deployment.advance(TALLY_LOSS_GAP_S)


def _lose_acknowledging_machine(deployment: site.Site) -> None:
    strike = deployment.rng.choice([deployment.faults.kill, deployment.faults.power_off])
    wait = deployment.rng.uniform(0, ACKNOWLEDGED_LOSS_S)

    def lose(host: str) -> None:
        for name in sorted(deployment.cores):
            if deployment.places[name].host == host:
                deployment.schedule(wait, strike, name, TALLY_DOWN_S)

    deployment.rng.choice(deployment.applications.callers).on_acknowledged.append(lose)


def _tallies_through_outage(deployment: site.Site, how: faults.FleetOutage) -> None:
    deployment.applications.start()
    deployment.advance(6 + deployment.rng.random())
    deployment.faults.cause_fleet_outage(
        how, 0.7 + deployment.rng.random() * 0.7, wiped_count=deployment.shape.tolerated_losses
    )


def tally_wipe(deployment: site.Site) -> None:
    """As many machines as may be lost lose their disks, while all others lose power."""
    _tallies_through_outage(deployment, "wipe")


def tally_kill_all(deployment: site.Site) -> None:
    """Every process is killed."""
    _tallies_through_outage(deployment, "kill_all")


# ---- evacuations ---------------------------------------------------------------------------


def _spawn_order(deployment: site.Site, order: collections.abc.Coroutine[typing.Any, typing.Any, int]) -> None:
    deployment.operator_runtime.spawn(order, log)


def _evacuate(deployment: site.Site, *, warm: bool) -> None:
    """Have a zone evacuated in the next seconds, and taken back at their end."""
    zone = _random_zone(deployment)
    _spawn_order(deployment, deployment.zone_faults.evacuate(zone))
    deployment.schedule(
        EVACUATED_S, lambda: _spawn_order(deployment, deployment.zone_faults.end_evacuation(zone, warm=warm))
    )


def evacuate(deployment: site.Site) -> None:
    """A zone is evacuated and taken back, its workers cold by then; a change comes meanwhile."""
    deployment.advance(3)
    _evacuate(deployment, warm=False)
    deployment.advance(1)
    deployment.configurations.begin_change("idle")


def evacuate_warm(deployment: site.Site) -> None:
    """A zone is evacuated and taken back while core machines and nodes are killed; its workers stay warm."""
    deployment.advance(3)
    _evacuate(deployment, warm=True)
    deployment.advance(0.05)
    deployment.faults.kill(days.choose_one(deployment, deployment.cores), 2)
    deployment.advance(1)
    deployment.faults.kill(days.choose_one(deployment, deployment.nodes), 2)


def evacuate_closing(deployment: site.Site) -> None:
    """Right after an evacuation is acknowledged a closing fault strikes; it is never taken back."""
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
