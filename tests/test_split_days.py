"""Days of split sites keep the rules: cold workers, cuts between zones, and zones that lose power."""

import functools

import pytest

from simulation import platform_days, platform_rules

SHAPE = "apart"
COLD_DAYS = (("cold_crash", 1), ("cold_return", 2), ("cold_burst", 2))
TALLY_DAYS = (("tally_cut", 1), ("tally_kill", 1), ("tally_wipe", 1), ("tally_kill_all", 1))
TALLY_RULES = ("tally_twice", "tally_stale", "tally_lost")
EVACUATION_DAYS = (("evacuate", 1), ("evacuate_warm", 1), ("evacuate_closing", 1))
ZONE_DAYS = (("zone_cut", 1), ("zone_one_way", 1), ("zone_bridge", 2), ("zone_power", 1))


@functools.cache
def complaints(name: str, seed: int) -> dict[str, list[str]]:
    """The complaints about a day, by rule; a process plays each day once."""
    return platform_rules.examine(platform_days.play(name, seed, SHAPE).event_log.rows)


def test_tallies_count_each_add_once_and_keep_it() -> None:
    found = {day: [rule for rule in TALLY_RULES if rule in complaints(*day)] for day in TALLY_DAYS}
    assert found == {day: [] for day in TALLY_DAYS}


@pytest.mark.parametrize(("name", "seed"), [*COLD_DAYS, *ZONE_DAYS, *EVACUATION_DAYS, *TALLY_DAYS])
def test_a_split_day_breaks_no_rule(name: str, seed: int) -> None:
    assert complaints(name, seed) == {}
