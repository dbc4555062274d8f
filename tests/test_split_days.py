"""Days of a deployment that tolerates the loss of a zone break none of the platform's rules.

They cover cold workers, network cuts between zones, power losses of zones, evacuations and replicated counters. Without
one of the product's safeguards a day breaks the rule that the safeguard ensures.
"""

import contextlib
import functools
from typing import Any, NamedTuple
from unittest import mock

import pytest

from iriswheel.dataplane import cold_workers
from iriswheel.node import follower
from iriswheel.replicated_counters import add_log, counter_state
from simulation import platform_days, platform_rules

SHAPE = "apart"
COLD_DAYS = (("cold_crash", 1), ("cold_return", 2), ("cold_burst", 2))
TALLY_DAYS = (("tally_cut", 1), ("tally_kill", 1), ("tally_wipe", 1), ("tally_kill_all", 1))
TALLY_RULES = ("tally_twice", "tally_stale", "tally_lost")
EVACUATION_DAYS = (("evacuate", 1), ("evacuate_warm", 1), ("evacuate_closing", 1))
ZONE_DAYS = (("zone_cut", 1), ("zone_one_way", 1), ("zone_bridge", 2), ("zone_power", 1))


@functools.cache
def complaints(name: str, seed: int) -> dict[str, list[str]]:
    """The complaints about a day, by rule; cached, so that a test process plays each day only once."""
    return platform_rules.examine(platform_days.play(name, seed, SHAPE).event_log.rows)


def test_tallies_count_each_add_once_and_keep_it() -> None:
    found = {day: [rule for rule in TALLY_RULES if rule in complaints(*day)] for day in TALLY_DAYS}
    assert found == {day: [] for day in TALLY_DAYS}


@pytest.mark.parametrize(("name", "seed"), [*COLD_DAYS, *ZONE_DAYS, *EVACUATION_DAYS, *TALLY_DAYS])
def test_a_split_day_breaks_no_rule(name: str, seed: int) -> None:
    assert complaints(name, seed) == {}


class Guard(NamedTuple):
    """A safeguard of the product: how a test disables it, and the day and rule by which its absence shows."""

    patches: list[tuple[Any, str, Any]]  # owner, attribute, replacement
    day: tuple[str, int]
    rule: str


GUARDS = {
    "cold_rate": Guard(
        [
            (cold_workers.ColdWorkers, "_may_send", lambda *_: True),
            (cold_workers.ColdWorkers, "start_send", lambda *_: True),
        ],
        ("cold_burst", 2),
        "failback",
    ),
    "evacuated_zones": Guard([(follower.Follower, "_apply_evacuations", lambda *_: None)], ("evacuate", 1), "evac"),
    "adds_on_disk": Guard(
        [(add_log, "load", lambda _state: counter_state.CounterState())], ("tally_kill_all", 1), "tally_lost"
    ),
}


@pytest.mark.parametrize("name", GUARDS)
def test_a_split_day_without_a_guard_breaks_its_rule(name: str) -> None:
    guard = GUARDS[name]
    with contextlib.ExitStack() as stack:
        for owner, attribute, instead in guard.patches:
            stack.enter_context(mock.patch.object(owner, attribute, instead))
        played = platform_days.play(*guard.day, SHAPE)
    assert guard.rule in platform_rules.examine(played.event_log.rows)
