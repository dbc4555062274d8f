"""A randomly drawn day of a deployment that tolerates the loss of a zone.

Besides faults of the kinds in `drawn_day` it has one fault of a whole zone, and often an evacuation.
"""

from __future__ import annotations

import typing

import loguru

from simulation.site import days, drawn_day, faults, zone_faults

if typing.TYPE_CHECKING:
    from simulation.site import site

DAY_S = 32  # duration of the day up to a fleet outage
SLOTS_S = (2.0, 18.0)  # begin of the slots for the fault of a zone and for that of a core machine, in random order
SLOT_SPREAD_S = 3.0  # length of a slot, within which its fault begins
ZONE_FAULT_S = (3.0, 8.0)  # shortest and longest duration of the fault of a zone
EVACUATED_S = 8.0  # duration of an evacuation
CHANGE_TIMES_S = (3, 9, 15, 21, 28)  # times of changes of the configuration

log = loguru.logger.bind(part="site")


class SplitDrawnDay(drawn_day.DrawnDay):
    """A randomly drawn day on a site that tolerates the loss of a zone.

    The fault of a zone and that of a core machine are far apart in time, since the deployment does not tolerate both
    at once.
    """

    def random_zone(self) -> str:
        """A zone, chosen at random."""
        return self.rng.choice(self.site.shape.zones())

    def zone_faults(self) -> list[drawn_day.Action]:
        """The faults that a zone may have, all with the same random duration."""
        site_zone_faults = self.site.zone_faults
        seconds = self.rng.uniform(*ZONE_FAULT_S)
        return [
            lambda: site_zone_faults.isolate(self.random_zone(), seconds, self.rng.choice(zone_faults.CUT_KINDS)),
            lambda: site_zone_faults.cut_one_way(self.random_zone(), seconds, outward=self.rng.random() < 0.5),
            lambda: self._cut_random_pair(seconds),
            lambda: site_zone_faults.power_off(self.random_zone(), seconds),
            lambda: site_zone_faults.crash_and_return_workers(self.random_zone(), seconds, how="dark"),
        ]

    def _cut_random_pair(self, seconds: float) -> None:
        one, other = self.rng.sample(self.site.shape.zones(), 2)
        self.site.zone_faults.cut_pair(one, other, seconds)

    def evacuate(self) -> None:
        """Evacuate a random zone for some seconds; on half of these occasions its workers are cold at the end."""
        zone, warm = self.random_zone(), self.rng.random() < 0.5
        site_zone_faults, spawn = self.site.zone_faults, self.site.operator_runtime.spawn
        spawn(site_zone_faults.evacuate(zone), log)
        self.site.schedule(EVACUATED_S, lambda: spawn(site_zone_faults.end_evacuation(zone, warm=warm), log))

    def play(self) -> None:
        """Play the day; half of the days end with a fleet outage."""
        self.site.applications.start()
        actions = [
            *self.node_faults(),
            *self.worker_losses(),
            *self.load_changes(),
            *self.worker_faults(),
            *self.configuration_changes(),
            self.evacuate,
            self.evacuate,
        ]
        for action in self.rng.sample(actions, self.rng.randrange(2, 5)):
            self.site.schedule(self.fault_time(), action)
        zone_slot, core_slot = self.rng.sample(SLOTS_S, 2)
        self.site.schedule(zone_slot + SLOT_SPREAD_S * self.rng.random(), self.rng.choice(self.zone_faults()))
        core_fault = self.rng.choice(self.core_faults())
        self.site.schedule(
            core_slot + SLOT_SPREAD_S * self.rng.random(), lambda: self.on_random_machine(self.site.cores, core_fault)
        )
        for seconds in CHANGE_TIMES_S:
            self.site.schedule(seconds, self.site.configurations.begin_change, "idle")
        self.site.advance(DAY_S)
        if self.rng.random() < drawn_day.OUTAGE_SHARE:
            self.cause_fleet_outage()

    def cause_fleet_outage(self) -> None:
        """End the day with a fleet outage right after a change was acknowledged."""
        days.send_acknowledged_change(self.site)
        how = self.rng.choice(faults.FLEET_OUTAGES)
        down = 0.7 + self.rng.random()
        self.site.faults.cause_fleet_outage(how, down, wiped_count=self.site.shape.tolerated_losses)
        self.site.advance(drawn_day.AFTER_OUTAGE_S)


def split_drawn(deployment: site.Site) -> None:
    """Four to six faults and changes at random times, one of a whole zone; half of the days end with a fleet outage."""
    SplitDrawnDay(deployment).play()
