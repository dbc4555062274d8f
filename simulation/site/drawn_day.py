"""A randomly drawn day: several faults of all kinds at random times, which may overlap."""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.runtime import units
from simulation.clients import client
from simulation.site import days, faults

if typing.TYPE_CHECKING:
    from simulation.site import site

DAY_S = 24  # duration of the day up to a fleet outage
FIRST_FAULT_S, FAULTS_S = 1.5, 14  # faults begin within 14 s after the first 1.5 s
CHANGE_TIMES_S = (3, 9, 20)  # times of changes of the configuration
FAULT_GAP_S = 11  # time from the beginning of a machine's fault until it may get another
RAISED_LOAD_S = 4  # duration of a raised load
OUTAGE_SHARE = 0.5  # share of the days that end with a fleet outage
AFTER_OUTAGE_S = 18  # duration of the traffic after a fleet outage
DISK_STATES: tuple[faults.DiskState, ...] = ("slow", "full", "stalled")  # the order affects random choices
FEWEST_WORKERS = 2  # number of live workers up to which no worker is crashed

Action = collections.abc.Callable[[], object]
ActionOnMachine = collections.abc.Callable[[str], object]

log = loguru.logger.bind(part="site")


class DrawnDay:
    """A randomly drawn day on a site."""

    def __init__(self, deployment: site.Site) -> None:
        self.site, self.faults, self.rng = deployment, deployment.faults, deployment.rng
        self.faulty: set[str] = set()  # nodes and core machines that get no other fault for now

    # ---- targets ------------------------------------------------------------------

    def workers(self, share: float) -> list[str]:
        """A random sample of the live workers, of the given share but at least one."""
        return days.sample_share(self.site, self.site.live_workers(), share)

    def for_each(
        self, names: collections.abc.Iterable[typing.Any], gap: float, action: collections.abc.Callable[..., object]
    ) -> None:
        """Run an action for each name, with a gap in seconds between them."""
        for index, name in enumerate(names):
            self.site.schedule(index * gap, action, name)

    def on_random_machine(self, names: collections.abc.Iterable[str], action: ActionOnMachine) -> None:
        """Apply an action to a random running machine without a fault, which then gets no other fault for a while."""
        free = [name for name in sorted(names) if self.site.process_of(name).alive and name not in self.faulty]
        if free:
            name = self.rng.choice(free)
            self.faulty.add(name)
            self.site.schedule(FAULT_GAP_S, self.faulty.discard, name)
            action(name)

    def on_machines_in_turn(self, names: collections.abc.Iterable[str], gap: float, action: ActionOnMachine) -> None:
        """Apply an action to the running machines without a fault, one after the other, with a gap in seconds.

        They get no other fault for the rest of the day.
        """

        def act_if_free(name: str) -> None:
            if name not in self.faulty:
                self.faulty.add(name)
                action(name)

        free = [name for name in names if name not in self.faulty and self.site.process_of(name).alive]
        self.for_each(free, gap, act_if_free)

    # ---- faults -------------------------------------------------------------------------

    def core_faults(self) -> list[ActionOnMachine]:
        """The faults that a core machine may have, each as an action that takes the machine's name."""
        return [
            lambda name: self.faults.kill(name, 3),
            lambda name: self.faults.power_off(name, 3),
            lambda name: self.faults.freeze(name, 3.5),
            lambda name: self.faults.isolate(name, 4.5),
            lambda name: self.faults.isolate(name, 4.5, both=False),
            self.faults.terminate,
            lambda name: self.faults.degrade_disk(name, self.rng.choice(DISK_STATES), 4),
            lambda name: self.faults.power_off(name, 3, wipe=True),
        ]

    def node_faults(self) -> list[Action]:
        """The faults that nodes may have."""
        nodes = self.site.nodes
        return [
            lambda: self.on_random_machine(nodes, lambda name: self.faults.kill(name, 3)),
            lambda: self.on_random_machine(nodes, lambda name: self.faults.power_off(name, 3)),
            lambda: self.on_random_machine(nodes, lambda name: self.faults.freeze(name, 3.5)),
            lambda: self.on_random_machine(nodes, lambda name: self.faults.isolate(name, 5)),
            lambda: self.on_machines_in_turn(days.sample_share(self.site, nodes, 0.45), 1.2, self.faults.terminate),
            lambda: self.on_machines_in_turn(
                days.sample_share(self.site, nodes, 0.55), 0, lambda name: self.faults.kill(name, 2)
            ),
        ]

    def worker_losses(self) -> list[Action]:
        """The ways in which workers may be replaced or crash."""
        return [
            lambda: self.for_each(self.workers(0.45), 1, self.faults.replace_worker),
            lambda: self.crash_one("reset", 4),
            lambda: self.crash_one("dark", 4.5),
            lambda: self.crash_one("dark", None),
        ]

    def load_changes(self) -> list[Action]:
        """The changes of load that may occur, and resets of connections."""
        return [self.raise_load, self.make_keys_hot, lambda: self.faults.reset_connections(0.4)]

    def worker_faults(self) -> list[Action]:
        """The ways in which workers may fail requests."""
        make_unhealthy = self.faults.make_unhealthy
        return [
            lambda: make_unhealthy(self.workers(0.6), 5, garble=0.04),
            lambda: make_unhealthy(self.workers(0.6), 5, lost=0.05),
            lambda: make_unhealthy(self.workers(0.6), 5, surplus=0.05, late=0.05),
            lambda: make_unhealthy(self.workers(0.2), 5, health="good", mute=0.4),
            lambda: make_unhealthy(self.workers(0.2), 5, health="good", errors=0.4),
            lambda: make_unhealthy(self.workers(0.2), 5, hang=0.4),
        ]

    def configuration_changes(self) -> list[Action]:
        """The ways in which operators may send many, concurrent, invalid or large changes."""
        configurations, spawn = self.site.configurations, self.site.operator_runtime.spawn
        return [
            lambda: spawn(configurations.race(), log),
            lambda: spawn(configurations.send_invalid(), log),
            lambda: self.for_each(
                range(6), 0.35, lambda _: configurations.begin_change(self.rng.choice(["idle", "timeout"]))
            ),
            lambda: spawn(configurations.send_next("big", 60, 280), log),
        ]

    def crash_one(self, how: typing.Literal["reset", "dark"], back: float | None) -> None:
        """Crash a random worker, unless too few are left; it comes back after `back` seconds, or never if None."""
        if len(self.site.live_workers()) > FEWEST_WORKERS:
            self.faults.crash_worker(self.rng.choice(self.site.live_workers()), how, back=back)

    def raise_load(self) -> None:
        """Raise the rate of a random kind of request for a while."""
        kind, factor = self.rng.choice(self.site.shape.kinds).name, 1.4 + 0.4 * self.rng.random()
        for traffic in self.site.traffics:
            traffic.rate_factors[kind] = factor
        self.site.schedule(RAISED_LOAD_S, self._reset_load)

    def _reset_load(self) -> None:
        for traffic in self.site.traffics:
            traffic.rate_factors.clear()

    def make_keys_hot(self) -> None:
        """Let 30 % of the requests of a random kind in each zone have the same prompt prefix."""
        for traffic in self.site.traffics:
            traffic.hot_key = client.HotKey(self.rng.choice(self.site.shape.kinds).name, 0.3)

    # ---- the day ------------------------------------------------------------------------

    def fault_time(self) -> float:
        """A random time for a fault, in seconds from now."""
        return FIRST_FAULT_S + FAULTS_S * self.rng.random()

    def play(self) -> None:
        """Play the day; half of the days end with a fleet outage."""
        core_faults = self.core_faults()
        actions = [
            *self.node_faults(),
            *self.worker_losses(),
            *self.load_changes(),
            *self.worker_faults(),
            *self.configuration_changes(),
        ]
        for action in self.rng.sample(actions, self.rng.randrange(3, 7)):
            self.site.schedule(self.fault_time(), action)
        # Only one fault of a core machine, since some deployments tolerate the loss of only one at a time.
        self.site.schedule(
            self.fault_time(), lambda: self.on_random_machine(self.site.cores, self.rng.choice(core_faults))
        )
        for seconds in CHANGE_TIMES_S:
            self.site.schedule(seconds, self.site.configurations.begin_change, "idle")
        self.site.advance(DAY_S)
        if self.rng.random() < OUTAGE_SHARE:
            self.cause_fleet_outage()

    def cause_fleet_outage(self) -> None:
        """End the day with a fleet outage right after a change was acknowledged."""
        days.send_acknowledged_change(self.site)
        how = self.rng.choice(faults.FLEET_OUTAGES)
        self.faults.cause_fleet_outage(how, 0.7 + self.rng.random())
        self.site.traffic_until = self.site.world.time + AFTER_OUTAGE_S * units.SECOND_US
        self.site.advance(AFTER_OUTAGE_S)


def drawn(deployment: site.Site) -> None:
    """Four to seven faults and changes at random times, which may overlap; half of the days end with a fleet outage."""
    DrawnDay(deployment).play()
