"""Days of split sites keep the rules: cold workers, cuts between zones, and zones that lose power."""

import functools

import pytest

from simulation import platform_days, platform_rules

SHAPE = "apart"
COLD_DAYS = (("cold_crash", 1), ("cold_return", 2), ("cold_burst", 2))
ZONE_DAYS = (("zone_cut", 1), ("zone_one_way", 1), ("zone_bridge", 2), ("zone_power", 1))


@functools.cache
def complaints(name: str, seed: int) -> dict[str, list[str]]:
    """The complaints about a day, by rule; a process plays each day once."""
    return platform_rules.examine(platform_days.play(name, seed, SHAPE).event_log.rows)


def test_cold_workers_get_no_more_requests_than_they_bear() -> None:
    assert {day: complaints(*day).get("failback", []) for day in COLD_DAYS} == {day: [] for day in COLD_DAYS}


@pytest.mark.parametrize(("name", "seed"), [*COLD_DAYS, *ZONE_DAYS])
def test_a_split_day_breaks_no_rule(name: str, seed: int) -> None:
    assert complaints(name, seed) == {}
