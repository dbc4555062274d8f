"""Play any recorded simulated run by its key, and observe its event log and network traffic.

The key of a run is a line of words: its part (scene, day or second_loss), its name, and its parameters.
"""

import collections.abc
import typing
from unittest import mock

import loguru
import msgspec

from benchmarks import fleet
from simulation import platform_days, second_loss, second_loss_cases, world
from simulation.scenarios import registry

DAY_LOAD = 0.3  # share of the usual traffic: a day runs faster, and its faults are the same
DAY_SHAPES = ("magnolia", "swan")
GROWN_LOAD = 0.1  # share of the usual traffic, for the shape "grown"
GROWN_DAYS = ("calm", "kill_core")  # the days recorded with the shape "grown"
SCENARIO_SEEDS = {"magnolia": 1, "swan": 2, "small": 3}
DAY_SEEDS = {"magnolia": 1, "swan": 2}
CORE_COUNTS = (3, 5)
UNPLAYABLE = {"scene zones_move small 3"}  # the scenario needs several zones, and all nodes of this shape are in one

Row = dict[str, typing.Any]


class Names(msgspec.Struct, frozen=True):
    """The renames since the fingerprints were recorded."""

    runs: dict[str, str] = {}  # recorded word of a key -> present word
    kinds: dict[str, str] = {}  # present event kind -> recorded kind
    fields: dict[str, str] = {}  # present field name -> recorded name
    values: dict[str, str] = {}  # present text value -> recorded value


class Traffic:
    """Replaces a `processor_meter.Meter`: counts all writes to the network, and measures no processor time.

    >>> traffic = Traffic(); traffic.count("n1", "c1", 70); traffic.writes, traffic.size
    (1, 70)
    """

    def __init__(self) -> None:
        self.writes = 0
        self.size = 0

    def enter(self, name: str) -> None:
        """Do nothing; a meter starts to measure a process's code here."""

    def leave(self) -> None:
        """Do nothing; a meter stops to measure here."""

    def count(self, _sender: str, _receiver: str, size: int) -> None:
        """Count one write."""
        self.writes += 1
        self.size += size


class ObservedWorld(world.World):
    """A simulated world whose network traffic is counted from the start."""

    newest: typing.ClassVar["ObservedWorld"]  # the world that was created last

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.traffic = self.meter = Traffic()
        ObservedWorld.newest = self


class Observed(typing.NamedTuple):
    """The rows of a run's event log, and its network traffic."""

    rows: list[Row]
    traffic: Traffic


def keys() -> list[str]:
    """Return the keys of all runs to record.

    >>> keys()[0]
    'day calm grown 1 0.1'
    """
    found = [f"day {name} grown 1 {GROWN_LOAD}" for name in GROWN_DAYS]
    found += [
        f"day {name} {shape} {DAY_SEEDS[shape]} {DAY_LOAD}"
        for shape in DAY_SHAPES
        for name in platform_days.DAYS
        # The split days are not recorded, as the fleet's behaviour on them is expected to change.
        if name not in platform_days.SPLIT_DAYS
    ]
    found += [f"scene {name} {shape} {SCENARIO_SEEDS[shape]}" for shape in fleet.SHAPES for name in registry.SCENARIOS]
    for case in (case for cores in CORE_COUNTS for case in second_loss_cases.cases(cores, [1])):
        losses = f"{case.first.name} {case.step.name} {case.target.name} {case.second.name}"
        found.append(f"second_loss {case.cores} {losses} {case.seed}")
    return [run for run in found if run not in UNPLAYABLE]


def current_key(run: str, names: Names) -> list[str]:
    """Return the words of a recorded key, with the present names.

    >>> current_key("day calm swan 1 0.3", Names(runs={"calm": "idle", "scene swan": "goose"}))
    ['day', 'idle', 'swan', '1', '0.3']
    """
    part, *words = run.split()
    return [part, *(names.runs.get(f"{part} {word}", names.runs.get(word, word)) for word in words)]


def play_scenario(name: str, shape: str, seed: str) -> list[Row]:
    """Play a scenario and return the rows of its event log."""
    return registry.play(name, int(seed), shape).event_log.rows


def play_day(name: str, shape: str, seed: str, load: str) -> list[Row]:
    """Play a day and return the rows of its event log."""
    return platform_days.play(name, int(seed), shape, float(load)).event_log.rows


def play_second_loss(cores: str, *words: str) -> list[Row]:
    """Play a second-loss case and return the rows of its event log, followed by a row with the measured times."""
    first, step, target, second, seed = words
    case = second_loss_cases.Case(
        int(cores),
        second_loss_cases.Loss[first],
        second_loss_cases.Step[step],
        second_loss_cases.Target[target],
        second_loss_cases.Loss[second],
        int(seed),
    )
    run = second_loss.Run(case)
    outcome = run.play()
    measured = [outcome.acknowledged, outcome.reached_us, outcome.first_change_us, outcome.complete_us]
    return [*run.site.event_log.rows, {"kind": "outcome", "measured": measured}]


PARTS: dict[str, collections.abc.Callable[..., list[Row]]] = {
    "scene": play_scenario,
    "day": play_day,
    "second_loss": play_second_loss,
}


def observe(run: str, names: Names) -> Observed:
    """Play the run of a recorded key and return its event log and traffic."""
    loguru.logger.remove()
    part, *words = current_key(run, names)
    with mock.patch.object(world, world.World.__name__, ObservedWorld):
        rows = PARTS[part](*words)
    return Observed(rows, ObservedWorld.newest.traffic)
