"""Simulated days that stress the core: continuous configuration changes under overlapping faults of core machines.

During the whole day operators send changes in quick succession, races of two operators, and invalid configurations.
From the fifth second on a random fault of `FAULTS` begins every 0.5 to 6 s. A core machine counts as lost from the
begin of its fault until the settle time after the end. A fault is delayed while as many machines are lost as the
deployment tolerates.
"""

from __future__ import annotations

import collections.abc
import functools
import typing

import loguru

from iriswheel.runtime import units
from simulation.site import days, faults, settings_files

if typing.TYPE_CHECKING:
    from twisted.internet import defer

    from simulation.site import site

CHANGE_GAPS_S = (0.15, 0.4, 0.9)  # between changes; one is drawn for a day
FAULT_GAPS_S = (0.5, 2, 4, 6)  # between faults; one is drawn after each
RACE_COUNT, RACE_GAP_S = 18, 3
INVALID_COUNT, INVALID_GAP_S = 8, 5
POLL_S = 0.1  # between two checks whether a fault may begin
TIME_OF_DAY_JUMP_US = 4 * units.SECOND_US
FINAL_TIME_OF_DAY_JUMP_US = 600 * units.SECOND_US
SLOW_LINK_US = 60 * units.MILLISECOND_US
MAX_LOSS_DELAY_S = 0.004  # maximum time from an acknowledgement to the loss of its machine
REFUSALS_BEFORE_READ = 3  # consecutive refused changes after which the operator reads the configuration
RECOVERY_TIMEOUT_S = 40  # time limit until no core machine counts as lost before the closing fault
AFTER_OUTAGE_S = 15  # simulated time after the closing fault
# The order determines the random draws.
DISK_STATES: tuple[faults.DiskState, ...] = ("full", "slow", "stalled")
REPLACEMENT_S = 9  # until a replaced or restarted machine is running again

log = loguru.logger.bind(part="site")


class CoreDay:
    """A day of random faults in progress: its site, and the core machines that count as lost."""

    def __init__(self, deployment: site.Site) -> None:
        self.site, self.rng = deployment, deployment.rng
        self.lost: set[str] = set()
        self.refusals = 0

    # ---- changes -------------------------------------------------------------------

    def spawn(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> defer.Deferred[typing.Any]:
        """Run a coroutine as a task of the operators."""
        return self.site.operator_runtime.spawn(coroutine, log)

    async def send_changes(self, until: int) -> None:
        """Send changes one after the other until a simulated time in microseconds."""
        gap = self.rng.choice(CHANGE_GAPS_S)
        while self.site.world.time < until:
            await self.change()
            await self.site.operator_runtime.sleep(int(gap * units.SECOND_US))

    async def change(self) -> None:
        """Send one change; read the configuration back after `REFUSALS_BEFORE_READ` refusals in a row."""
        status = await self.site.configurations.send_next(self.rng.choice(["idle", "timeout"]), 60)
        self.refusals = 0 if status == 200 else self.refusals + 1
        if self.refusals >= REFUSALS_BEFORE_READ:
            await self.read_back()

    async def read_back(self) -> None:
        """Read the newest configuration and use it as the base of the next change."""
        self.site.configurations.adopt_newer(await self.site.operator.read())
        self.refusals = 0

    async def send_races(self, until: int) -> None:
        """Let two operators send a change at the same time, every 3 s."""
        for _ in range(RACE_COUNT):
            if self.site.world.time < until:
                await self.site.configurations.race()
                await self.site.operator_runtime.sleep(RACE_GAP_S * units.SECOND_US)

    async def send_invalid(self, until: int) -> None:
        """Send an invalid configuration every 5 s."""
        for _ in range(INVALID_COUNT):
            if self.site.world.time < until:
                await self.site.configurations.send_invalid()
                await self.site.operator_runtime.sleep(INVALID_GAP_S * units.SECOND_US)

    # ---- core machines -----------------------------------------------------------------

    def last_acknowledger(self) -> str:
        """Return the core machine that acknowledged the last change, or a random one if it is gone."""
        place = self.site.operator.last_address
        names = [name for name in sorted(self.site.cores) if place and self.site.places[name].host == place[0]]
        return names[0] if names else self.random_core()

    def tail(self) -> str:
        """Return the tail of the newest view's chain."""
        live = [core for core in self.site.cores.values() if core.process.alive]
        views = [core.consensus.view for core in live if core.consensus.view is not None]
        newest = max(views, key=lambda view: view.number)
        return next(
            name for name, core in self.site.cores.items() if core.consensus.own_voter.id == newest.chain[-1].id
        )

    def random_core(self) -> str:
        """Return a random core machine."""
        return self.rng.choice(sorted(self.site.cores))

    def last_acknowledger_or_random(self) -> str:
        """Return, with equal probability, the core machine that acknowledged last or a random one."""
        return self.rng.choice([self.last_acknowledger, self.random_core])()

    def lose_when_tolerated(
        self,
        lose: collections.abc.Callable[[str], float],
        pick: collections.abc.Callable[[], str] | None = None,
        complete: bool = False,
    ) -> None:
        """Inject a fault of a core machine as soon as the deployment tolerates one more loss.

        Args:
            lose: Injects the fault into the named machine; returns the seconds until the machine is back.
            pick: Returns the machine's name; by default the last acknowledger or a random machine.
            complete: Whether the fault is of all core machines, and so waits until none is lost.
        """

        def try_to_lose() -> None:
            if len(self.lost) >= (1 if complete else self.site.shape.tolerated_losses):
                self.site.schedule(POLL_S, try_to_lose)
                return
            name = "all" if complete else (pick or self.last_acknowledger_or_random)()
            if name in self.lost:
                self.site.schedule(POLL_S, try_to_lose)
                return
            self.lost.add(name)
            self.random_core()  # unused draw: without it the random stream of the recorded days would differ
            self.site.schedule(lose(name) + self.site.settle_s(), self.lost.discard, name)

        try_to_lose()

    def send_to(self, name: str) -> None:
        """Send a change, or a race of two changes, to this machine first."""
        place = (self.site.places[name].host, settings_files.CONTROL_PORT)
        self.site.operator.first_address = place
        if self.rng.random() < 0.5:
            self.site.rival.first_address = place
            self.spawn(self.site.configurations.race())
        else:
            self.spawn(self.change())

    def send_during_fault(self, name: str, seconds: int) -> None:
        """Send changes to a machine during its fault and when it returns, or send none."""
        for at in self.rng.choice([(), (seconds / 2, seconds), (0.1, seconds / 3, seconds / 2, seconds + 0.05)]):
            self.site.schedule(at, self.send_to, name)

    # ---- the day -----------------------------------------------------------------------------

    def play(self, seconds: int) -> None:
        """Play the whole day, including its closing fault."""
        deployment = self.site
        begin = deployment.world.time
        until = begin + seconds * units.SECOND_US
        self.spawn(self.send_changes(until))
        deployment.schedule(1.5, lambda: self.spawn(self.send_races(until)))
        deployment.schedule(3, lambda: self.spawn(self.send_invalid(until)))
        at = 4.0
        while at < seconds:
            deployment.schedule(at, self.rng.choice(FAULTS), self)
            at += self.rng.choice(FAULT_GAPS_S)
        deployment.advance(seconds)
        self.cause_fleet_outage()

    def cause_fleet_outage(self) -> None:
        """Wait until no core machine is lost, send a change, and inject the closing fault of all machines."""
        deployment = self.site
        deployment.advance_until(lambda: not self.lost, RECOVERY_TIMEOUT_S)
        self.lost.add("all")
        days.send_acknowledged_change(deployment)
        deployment.faults.cause_fleet_outage(self.rng.choice(faults.FLEET_OUTAGES), 0.9)
        deployment.traffic_until = deployment.world.time + AFTER_OUTAGE_S * units.SECOND_US
        deployment.advance(AFTER_OUTAGE_S)


# ---- faults -----------------------------------------------------------------------------


def cut_off_core(day: CoreDay) -> None:
    """A core machine is cut off from the other ones, in one direction or both; nodes and operators still reach it."""
    outward, inward = day.rng.choice([(True, False), (False, True), (True, True)])
    seconds = day.rng.choice([3, 6, 20])

    def lose(name: str) -> int:
        _cut_links(day.site, name, sorted(set(day.site.cores) - {name}), seconds, outward=outward, inward=inward)
        day.send_during_fault(name, seconds)
        return seconds

    day.lose_when_tolerated(lose)


def cut_off_node(day: CoreDay) -> None:
    """A node is cut off from all core machines for 4 or 20 s."""
    name = day.rng.choice(sorted(day.site.nodes))
    _cut_links(day.site, name, sorted(day.site.cores), day.rng.choice([4, 20]))


def _cut_links(
    deployment: site.Site, name: str, others: list[str], seconds: int, *, outward: bool = True, inward: bool = True
) -> None:
    here, there = deployment.places[name].host, [deployment.places[other].host for other in others]
    pairs = {(here, other) for other in there if outward} | {(other, here) for other in there if inward}
    deployment.faults.note_fault(name, "cut")
    deployment.world.cuts |= pairs

    def heal() -> None:
        deployment.world.cuts -= pairs
        deployment.world.resend_all()
        deployment.faults.note_repair(name, "cut")

    deployment.schedule(seconds, heal)


def cut_off_core_and_reload_settings(day: CoreDay) -> None:
    """A core machine is cut off from the other ones for 20 s while all processes reload their settings."""

    def lose(name: str) -> int:
        _cut_links(day.site, name, sorted(set(day.site.cores) - {name}), 20)
        reload_settings(day)
        day.send_during_fault(name, 20)
        return 20

    day.lose_when_tolerated(lose)


def freeze_core(day: CoreDay) -> None:
    """The core machine that acknowledged last freezes, and receives changes when it wakes."""
    seconds = day.rng.choice([3, 8, 20])

    def lose(name: str) -> int:
        day.site.faults.freeze(name, seconds)
        day.send_during_fault(name, seconds)
        return seconds

    day.lose_when_tolerated(lose, day.last_acknowledger)


def lose_after_acknowledgement(day: CoreDay) -> None:
    """A core machine loses power, and in most cases its disk, just after a change was acknowledged or sent."""
    wipe, timed, back = day.rng.random() < 0.6, day.rng.random() < 0.4, day.rng.choice([0.9, 3])
    wait = day.rng.uniform(0.005, 0.4) if timed else day.rng.uniform(0, MAX_LOSS_DELAY_S)

    def lose(name: str) -> float:
        day.site.faults.power_off(name, back, wipe)
        return back

    hooks = day.site.operator.on_send if timed else day.site.operator.on_acknowledged
    hooks.append(lambda: day.site.schedule(wait, day.lose_when_tolerated, lose, day.last_acknowledger_or_random))


def replace_core(day: CoreDay) -> None:
    """A core machine is replaced by one with an empty disk at another address, after SIGTERM or a power loss."""

    def lose(name: str) -> int:
        day.site.faults.replace_core(name, day.rng.random() < 0.5)
        return REPLACEMENT_S

    day.lose_when_tolerated(lose)


def degrade_disk(day: CoreDay) -> None:
    """A core machine's disk is full, slow or stalled for 2, 6 or 15 s."""
    state, seconds = day.rng.choice(DISK_STATES), day.rng.choice([2, 6, 15])

    def lose(name: str) -> int:
        day.site.faults.degrade_disk(name, state, seconds)
        return seconds

    day.lose_when_tolerated(lose)


def lose_answers(day: CoreDay) -> None:
    """For 15 s, 70 % of the acknowledgements are lost; the operators send those changes again to another machine."""
    for operator in (day.site.operator, day.site.rival):
        operator.lost_share = 0.7
        day.site.schedule(15, setattr, operator, "lost_share", 0.0)


def restart_in_turn(day: CoreDay) -> None:
    """Rolling restart: all core machines are stopped by SIGTERM and restarted, each once its loss is tolerated."""
    for name in sorted(day.site.cores):
        day.lose_when_tolerated(functools.partial(_terminate, day), functools.partial(_name_or_random, day, name))


def _terminate(day: CoreDay, name: str) -> int:
    day.site.faults.terminate(name)
    return REPLACEMENT_S


def _name_or_random(day: CoreDay, name: str) -> str:
    return name if name in day.site.cores else day.random_core()


def lose_entire_core(day: CoreDay) -> None:
    """All core machines are killed or lose power at the same moment, and restart 2 s later."""
    fail = day.rng.choice([day.site.faults.kill, day.site.faults.power_off])

    def lose(_: str) -> int:
        for name in sorted(day.site.cores):
            fail(name, 2)
        return 2

    day.lose_when_tolerated(lose, complete=True)


def reset_connections(day: CoreDay) -> None:
    """Half of the connections of core machines are reset, six times in 3 s."""
    for number in range(6):
        day.site.schedule(number * 0.5, _reset_some, day.site)


def _reset_some(deployment: site.Site) -> None:
    names = {deployment.places[name].host: name for name in [*deployment.cores, *deployment.nodes]}
    core_hosts = {deployment.places[name].host for name in deployment.cores}
    affected: set[str] = set()
    for connection in list(deployment.world.connections.values()):
        hosts = {side.process.host.address for side in connection.sides}
        if hosts & core_hosts and deployment.rng.random() < 0.5:
            affected |= {names[host] for host in hosts if host in names}
            for side in connection.sides:
                side.reset()
    deployment.faults.note_reset(affected)


def slow_core_link(day: CoreDay) -> None:
    """All packets to and from a core machine are delayed for 8 s."""

    def lose(name: str) -> int:
        host = day.site.places[name].host
        day.site.faults.note_fault(name, "slow")
        day.site.world.extra_delay_us[host] = SLOW_LINK_US
        day.site.schedule(8, day.site.world.extra_delay_us.pop, host, None)
        day.site.schedule(8, day.site.faults.note_repair, name, "slow")
        return 8

    day.lose_when_tolerated(lose)


def lose_zone_packets(day: CoreDay) -> None:
    """The links of a random zone lose 5 % of their packets for 8 s."""
    day.site.faults.lose_packets(day.rng.choice(day.site.shape.zones()), 0.05, 8)


def jump_time_of_day(day: CoreDay) -> None:
    """The wall clock of about half of the machines jumps by 4 s in either direction, and back 5 s later."""
    deployment, error = day.site, day.rng.choice([-TIME_OF_DAY_JUMP_US, TIME_OF_DAY_JUMP_US])
    names = [name for name in [*sorted(deployment.cores), *sorted(deployment.nodes)] if day.rng.random() < 0.5]
    for name in names:
        deployment.faults.note_fault(name, "time of day")
        deployment.machine_of(name).set_time_of_day(error)

    def back() -> None:
        for name in names:
            deployment.machine_of(name).set_time_of_day(0)
            deployment.faults.note_repair(name, "time of day")

    deployment.schedule(5, back)


def reload_settings(day: CoreDay) -> None:
    """All processes reload their settings, at random times within 2 s."""
    deployment = day.site
    names = [*sorted(deployment.nodes), *sorted(deployment.cores)]
    for name in names:
        deployment.schedule(2 * day.rng.random(), deployment.reload, name)


def change_seeds(day: CoreDay) -> None:
    """The settings get a random list of seeds, and all processes reload them."""
    count = day.rng.randrange(1, len(day.site.cores) + 1)
    day.site.seed_names = day.rng.sample(sorted(day.site.cores), count)
    reload_settings(day)


FAULTS = (
    cut_off_core,
    cut_off_core,
    cut_off_node,
    cut_off_core_and_reload_settings,
    freeze_core,
    lose_after_acknowledgement,
    lose_after_acknowledgement,
    replace_core,
    replace_core,
    degrade_disk,
    lose_answers,
    restart_in_turn,
    lose_entire_core,
    reset_connections,
    slow_core_link,
    lose_zone_packets,
    jump_time_of_day,
    reload_settings,
    change_seeds,
)


def time_of_day(deployment: site.Site) -> None:
    """Continuous changes while wall clocks jump and return, and a core machine freezes after each jump.

    At the end the wall clocks of all machines are set back by 10 minutes and stay so while the configuration is read
    back.
    """
    day = CoreDay(deployment)
    until = deployment.world.time + 26 * units.SECOND_US
    day.spawn(day.send_changes(until))

    def freeze_briefly(name: str) -> int:
        deployment.faults.freeze(name, 3)
        return 3

    for _ in range(2):
        deployment.advance(2)
        jump_time_of_day(day)
        deployment.advance(4.5 + deployment.rng.random())
        day.lose_when_tolerated(freeze_briefly)
        deployment.advance(6)
    for name in [*sorted(deployment.cores), *sorted(deployment.nodes)]:
        deployment.machine_of(name).set_time_of_day(-FINAL_TIME_OF_DAY_JUMP_US)
    deployment.advance(2)


def lose_tail(deployment: site.Site) -> None:
    """Three times, under continuous changes, the tail is lost and replaced; settings are reloaded 3 s later."""
    day = CoreDay(deployment)
    day.spawn(day.send_changes(deployment.world.time + 30 * units.SECOND_US))
    for _ in range(3):
        deployment.advance(4 + deployment.rng.random())
        deployment.faults.replace_core(day.tail())
        deployment.schedule(3, reload_settings, day)
        deployment.advance(5)


def core_drawn(deployment: site.Site) -> None:
    """Continuous changes and random overlapping faults of the core for 40 s, then a closing fault."""
    CoreDay(deployment).play(40)
