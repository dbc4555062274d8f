"""Drawn days that press the core: changes without pause under troubles of core machines laid over each other.

A day has configurations in quick succession, races of two operators, and invalid ones all through; from the fifth
second on a trouble begins every 0.5 to 6 s, each one of `TROUBLES`. A core machine counts as lost from its trouble's
begin until some seconds after its end; no more than the deployment bears are lost at once, so a trouble may wait.
"""

from __future__ import annotations

import collections.abc
import typing

import simulation.platform_model as platform_model
import simulation.platform_names as platform_names

if typing.TYPE_CHECKING:
    import twisted.internet.defer as defer


MS, S = platform_model.MS, platform_model.S
STORM_GAPS_S = (0.15, 0.4, 0.9)
FAULT_GAPS_S = (0.5, 2, 4, 6)
RACES, RACE_GAP_S = 18, 3
INVALID, INVALID_GAP_S = 8, 5
POLL_S = 0.1
JUMP_US = 4 * S
SLOW_LINK_US = 60 * MS
ACKNOWLEDGED_LOSS_S = 0.004  # an acknowledging machine is lost within this time
REFUSALS = 3  # after so many in a row an operator reads the configuration


class CoreDay:
    """A drawn day under way: the site, and the core machines that count as lost."""

    def __init__(self, s: platform_model.Site) -> None:
        self.site, self.rng = s, s.rng
        self.lost: set[str] = set()
        self.refused = 0

    # ---- changes -------------------------------------------------------------------

    def spawn(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> defer.Deferred[typing.Any]:
        """Run an operator's task."""
        return self.site.operator_site.spawn(coroutine, platform_model.log)

    async def storm(self, until: int) -> None:
        """Changes one after the other; after some refusals, on top of what is read."""
        gap = self.rng.choice(STORM_GAPS_S)
        while self.site.world.time < until:
            await self.change()
            await self.site.operator_site.sleep(int(gap * S))

    async def change(self) -> None:
        """Send one change; after some refusals in a row, read what there is."""
        status = await self.site.next_config(self.rng.choice(["idle", "timeout"]), 60)
        self.refused = 0 if status == 200 else self.refused + 1
        if self.refused >= REFUSALS:
            await self.read_back()

    async def read_back(self) -> None:
        """Take the newest configuration as the base of the next change."""
        document = await self.site.operator.read()
        version = document[platform_names.CONFIGURATION["version"]] if document is not None else 0
        if version > self.site.version:
            self.site.document, self.site.version = document, version
        self.refused = 0

    async def races(self, until: int) -> None:
        """Two operators at once, again and again."""
        for _ in range(RACES):
            if self.site.world.time < until:
                await self.site.race()
                await self.site.operator_site.sleep(RACE_GAP_S * S)

    async def invalid(self, until: int) -> None:
        """Invalid configurations, again and again."""
        for _ in range(INVALID):
            if self.site.world.time < until:
                await self.site.bad()
                await self.site.operator_site.sleep(INVALID_GAP_S * S)

    # ---- core machines -----------------------------------------------------------------

    def leader(self) -> str:
        """The core machine that acknowledged last, or any."""
        place = self.site.operator.last_place
        names = [c for c in sorted(self.site.cores) if place and self.site.places[c][0] == place[0]]
        return names[0] if names else self.any_core()

    def tail(self) -> str:
        """The last core machine of the newest view's chain."""
        views = [c.consensus.view for c in self.site.cores.values() if c.process.alive and c.consensus.view is not None]
        newest = max(views, key=lambda view: view.number)
        return next(n for n, c in self.site.cores.items() if c.consensus.me.id == newest.chain[-1].id)

    def any_core(self) -> str:
        """A core machine by lot."""
        return self.rng.choice(sorted(self.site.cores))

    def leader_or_any(self) -> str:
        """The leader in half of all cases."""
        return self.rng.choice([self.leader, self.any_core])()

    def in_turn(
        self,
        lose: collections.abc.Callable[..., object],
        pick: collections.abc.Callable[..., object] | None = None,
        complete: bool = False,
    ) -> None:
        """Let a trouble strike as soon as one more core machine may be lost, or while none is lost.

        `lose` takes the machine's name, and returns when it is back, in seconds.
        """

        def strike() -> None:
            if len(self.lost) >= (1 if complete else self.site.shape.bear):
                self.site.later(POLL_S, strike)
                return
            name = "all" if complete else (pick or self.leader_or_any)()
            if name in self.lost:
                self.site.later(POLL_S, strike)
                return
            self.lost.add(name)
            settled = self.site.settings(self.any_core(), "core")["bounds"]["settle_s"]
            self.site.later(lose(name) + settled, self.lost.discard, name)

        strike()

    def send_to(self, name: str) -> None:
        """Let the next change, or the next two at once, begin at this machine."""
        place = (self.site.places[name][0], platform_model.CONTROL)
        self.site.operator.first_place = place
        if self.rng.random() < 0.5:
            self.site.rival.first_place = place
            self.spawn(self.site.race())
        else:
            self.spawn(self.change())

    def met(self, name: str, seconds: int) -> None:
        """Changes begin at a machine during its trouble and as it returns."""
        for at in self.rng.choice([(), (seconds / 2, seconds), (0.1, seconds / 3, seconds / 2, seconds + 0.05)]):
            self.site.later(at, self.send_to, name)

    # ---- the day -----------------------------------------------------------------------------

    def draw(self, seconds: int) -> None:
        """Play the day up to its closing fault."""
        s = self.site
        begin = s.world.time
        until = begin + seconds * S
        self.spawn(self.storm(until))
        s.later(1.5, lambda: self.spawn(self.races(until)))
        s.later(3, lambda: self.spawn(self.invalid(until)))
        at = 4.0
        while at < seconds:
            s.later(at, self.rng.choice(FAULTS), self)
            at += self.rng.choice(FAULT_GAPS_S)
        s.go(seconds)
        self.close()

    def close(self) -> None:
        """Wait until no machine is lost, and let the closing fault strike."""
        s = self.site
        s.until(lambda: not self.lost, 40)
        self.lost.add("all")
        done = s.change("idle")
        s.until(lambda: done.called, 20)
        s.closing(self.rng.choice(["kill_all", "power_off_all", "wipe"]), 0.9)
        s.traffic_until = s.world.time + 15 * S
        s.go(15)


# ---- troubles -----------------------------------------------------------------------------


def cut(day: CoreDay) -> None:
    """A core machine is cut off from the other ones, one way or both; nodes and operators still reach it."""
    ways = day.rng.choice([(True, False), (False, True), (True, True)])
    seconds = day.rng.choice([3, 6, 20])

    def lose(name: str) -> int:
        _cut(day.site, name, sorted(set(day.site.cores) - {name}), seconds, *ways)
        day.met(name, seconds)
        return seconds

    day.in_turn(lose)


def cut_node(day: typing.Any) -> None:
    """A node is cut off from all core machines."""
    name = day.rng.choice(sorted(day.site.nodes))
    _cut(day.site, name, sorted(day.site.cores), day.rng.choice([4, 20]), True, True)


def _cut(s: platform_model.Site, name: str, others: list[str], seconds: int, outward: bool, inward: bool) -> None:
    here, there = s.places[name][0], [s.places[o][0] for o in others]
    pairs = {(here, h) for h in there if outward} | {(h, here) for h in there if inward}
    s.inject_fault(name, "cut")
    s.world.cuts |= pairs

    def heal() -> None:
        s.world.cuts -= pairs
        s.world.retry()
        s.repair(name, "cut")

    s.later(seconds, heal)


def cut_seeds(day: CoreDay) -> None:
    """A machine is cut off that the settings name first; the other processes read them again, some are restarted."""

    def lose(name: typing.Any) -> int:
        _cut(day.site, name, sorted(set(day.site.cores) - {name}), 20, True, True)
        reload_settings(day)
        day.met(name, 20)
        return 20

    day.in_turn(lose)


def freeze(day: CoreDay) -> None:
    """The leader stands still, and finds changes as it wakes."""
    seconds = day.rng.choice([3, 8, 20])

    def lose(name: str) -> int:
        day.site.freeze(name, seconds)
        day.met(name, seconds)
        return seconds

    day.in_turn(lose, day.leader)


def lose_after_acknowledgement(day: CoreDay) -> None:
    """The machine that acknowledges a change loses power, perhaps its disk too; or it does soon after a sending."""
    wipe, timed, back = day.rng.random() < 0.6, day.rng.random() < 0.4, day.rng.choice([0.9, 3])
    wait = day.rng.uniform(0.005, 0.4) if timed else day.rng.uniform(0, ACKNOWLEDGED_LOSS_S)

    def lose(name: typing.Any) -> typing.Any:
        day.site.power(name, back, wipe)
        return back

    hooks = day.site.operator.on_send if timed else day.site.operator.on_acknowledged
    hooks.append(lambda: day.site.later(wait, day.in_turn, lose, day.leader_or_any))


def replace(day: CoreDay) -> None:
    """A core machine is replaced by an empty one at another address, planned or not."""

    def lose(name: str) -> int:
        day.site.replace_core(name, day.rng.random() < 0.5)
        return 9

    day.in_turn(lose)


def disk(day: CoreDay) -> None:
    """A disk is full, slow or stalled."""
    state, seconds = day.rng.choice(["full", "slow", "stalled"]), day.rng.choice([2, 6, 15])

    def lose(name: str) -> int:
        day.site.disk(name, state, seconds)
        return seconds

    day.in_turn(lose)


def lose_answers(day: typing.Any) -> None:
    """Acknowledgements are lost on their way; the operator sends the same to another machine."""
    for operator in (day.site.operator, day.site.rival):
        operator.lost_share = 0.7
        day.site.later(15, setattr, operator, "lost_share", 0.0)


def restart_in_turn(day: CoreDay) -> None:
    """Core machines are stopped in good order, one after the other, and start again."""
    for name in sorted(day.site.cores):
        day.in_turn(
            lambda name: day.site.term(name) or 9, lambda name=name: name if name in day.site.cores else day.any_core()
        )


def entire_core(day: CoreDay) -> None:
    """All core machines are killed or lose power at the same moment, and come back."""
    strike = day.rng.choice([day.site.kill, day.site.power])

    def lose(_: str) -> int:
        for name in sorted(day.site.cores):
            strike(name, 2)
        return 2

    day.in_turn(lose, complete=True)


def reset_connections(day: typing.Any) -> None:
    """Half of the connections at the core are reset, several times."""
    for k in range(6):
        day.site.later(k * 0.5, _reset_some, day.site)


def _reset_some(s: typing.Any) -> None:
    names = {s.places[n][0]: n for n in [*s.cores, *s.nodes]}
    core_hosts = {s.places[c][0] for c in s.cores}
    hit = set()
    for connection in list(s.world.connections.values()):
        hosts = {side.process.host.host for side in connection.sides}
        if hosts & core_hosts and s.rng.random() < 0.5:
            hit |= {names[h] for h in hosts if h in names}
            for side in connection.sides:
                side.reset()
    for name in sorted(hit):
        s.inject_fault(name, "reset")
        s.repair(name, "reset")


def slow(day: CoreDay) -> None:
    """What a core machine sends and takes comes late."""

    def lose(name: typing.Any) -> int:
        host = day.site.places[name][0]
        day.site.inject_fault(name, "slow")
        day.site.world.slow[host] = SLOW_LINK_US
        day.site.later(8, day.site.world.slow.pop, host, None)
        day.site.later(8, day.site.repair, name, "slow")
        return 8

    day.in_turn(lose)


def lossy(day: CoreDay) -> None:
    """The links of a zone lose packets."""
    day.site.lossy(day.rng.choice(sorted(set(day.site.shape.nodes))), 0.05, 8)


def jump_time_of_day(day: CoreDay) -> None:
    """The time of day of half of the machines jumps by four seconds, and back after a while."""
    s, error = day.site, day.rng.choice([-JUMP_US, JUMP_US])
    names = [n for n in [*sorted(s.cores), *sorted(s.nodes)] if day.rng.random() < 0.5]
    for name in names:
        s.inject_fault(name, "time of day")
        s.machine_of(name).set_time_of_day(error)

    def back() -> None:
        for name in names:
            s.machine_of(name).set_time_of_day(0)
            s.repair(name, "time of day")

    s.later(5, back)


def reload_settings(day: CoreDay) -> None:
    """All processes read their settings again, one after the other."""
    s = day.site
    names = [*sorted(s.nodes), *sorted(s.cores)]
    for name in names:
        s.later(2 * day.rng.random(), s.reload, name)


def change_seeds(day: CoreDay) -> None:
    """The settings name other seeds from now on, and all processes read them again."""
    count = day.rng.randrange(1, len(day.site.cores) + 1)
    day.site.seed_names = day.rng.sample(sorted(day.site.cores), count)
    reload_settings(day)


FAULTS = (
    cut,
    cut,
    cut_node,
    cut_seeds,
    freeze,
    lose_after_acknowledgement,
    lose_after_acknowledgement,
    replace,
    replace,
    disk,
    lose_answers,
    restart_in_turn,
    entire_core,
    reset_connections,
    slow,
    lossy,
    jump_time_of_day,
    reload_settings,
    change_seeds,
)


def time_of_day(s: platform_model.Site) -> None:
    """Changes without pause while times of day jump and come back, and a core machine freezes after each jump."""
    day = CoreDay(s)
    until = s.world.time + 26 * S
    day.spawn(day.storm(until))
    for _ in range(2):
        s.go(2)
        jump_time_of_day(day)
        s.go(4.5 + s.rng.random())
        day.in_turn(lambda name: s.freeze(name, 3) or 3)
        s.go(6)


def lose_tail(s: platform_model.Site) -> None:
    """Three times the tail is gone for good under changes without pause; an empty machine comes, then other seeds."""
    day = CoreDay(s)
    day.spawn(day.storm(s.world.time + 30 * S))
    for _ in range(3):
        s.go(4 + s.rng.random())
        s.replace_core(day.tail())
        s.later(3, reload_settings, day)
        s.go(5)


def core_drawn(s: platform_model.Site) -> None:
    """Changes without pause, and drawn troubles of the core over each other; ends with a closing fault."""
    CoreDay(s).draw(40)
