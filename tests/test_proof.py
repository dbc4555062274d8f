"""The tables of docs/proof.md name exactly the scenarios, checkers, guards and rules that exist in the code."""

import pathlib
import re

import pytest

from iriswheel.verification import replay
from simulation import mutation_checks, platform_days, platform_rules
from simulation.scenarios import registry

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "proof.md"


class TestPointsOfTheProof:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        text = PAGE.read_text()
        points, fails = text.split("## What must never happen")[1].split("## What a fault")[0].split("## What fails")
        self.points = [
            [set(re.findall(r"`(\w+)`", cell)) for cell in line.split("|")[1:-1]]
            for line in points.splitlines()
            if line.startswith("|")
        ][2:]
        self.fails = set(re.findall(r"`(\w+)`", fails))

    def test_twelve_points_each_with_a_scenario_a_checker_and_a_guard(self) -> None:
        assert len(self.points) == 12
        for _, plays, checkers, outs, _ in self.points:
            assert checkers
            assert outs
            assert set() == plays - set(registry.SCENARIOS)
            assert set() == checkers - {c.__name__ for c in replay.CHECKERS}
            assert set() == outs - set(mutation_checks.GUARDS)

    def test_all_scenarios_guards_and_checkers_are_on_the_page(self) -> None:
        named = set().union(*(row[1] for row in self.points)) | self.fails
        assert set() == set(registry.SCENARIOS) - named
        assert set() == set(mutation_checks.GUARDS) - set().union(*(row[3] for row in self.points))
        assert set() == {c.__name__ for c in replay.CHECKERS} - set().union(*(row[2] for row in self.points))


class TestRulesOfThePlatform:
    def test_each_rule_of_the_platform_has_days_and_a_checker_and_all_are_on_the_page(self) -> None:
        text = PAGE.read_text().split("# The users' platform")[1]
        rows = [
            [set(re.findall(r"`(\w+)`", cell)) for cell in line.split("|")[1:-1]]
            for line in text.splitlines()
            if line.startswith("|")
        ][2:]
        assert len(rows) == 15
        named, checkers = set().union(*(row[3] for row in rows)), set().union(*(row[4] for row in rows))
        assert set() == named - set(platform_days.DAYS)
        assert set(platform_rules.RULES) == checkers
