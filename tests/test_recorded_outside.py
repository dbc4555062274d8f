"""What the outside sees is as recorded in tests/data/outside.json: HTTP, command line, options, event logs.

`python -m tests.outside` records it anew, for a change that is meant to be seen outside.
"""

import typing

import loguru
import testtools

from tests import outside, recorded

RECORDING = recorded.load("outside.json")


class RecordedOutside(testtools.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        super().setUp()
        loguru.logger.remove()

    def check(self, section: str, found: dict[str, typing.Any]) -> None:
        """Compare a section record by record, so that a failure names the one that differs."""
        self.assertEqual(sorted(RECORDING[section]), sorted(found))
        for name, expected in RECORDING[section].items():
            self.assertEqual(expected, found[name], f"{section}: {name}")

    def test_http_answers_and_requests(self) -> None:
        found = outside.http_sections()
        for section, records in found.items():
            self.check(section, records)

    def test_the_command_line(self) -> None:
        self.check("commands", outside.command_sections())

    def test_the_keys_of_the_options_file(self) -> None:
        self.check("options", outside.option_defaults())

    def test_the_keys_of_the_configuration(self) -> None:
        self.check("configuration", outside.configuration_defaults())

    def test_the_codes_of_refusals(self) -> None:
        self.check("refusals", outside.refusals())

    def test_what_the_platform_is_told(self) -> None:
        self.check("deployment", outside.deployment())

    def test_the_rows_of_event_logs(self) -> None:
        self.check("events", outside.event_fields(outside.event_rows()))
        self.check("events", outside.event_fields(outside.recorded_rows()))

    def test_the_judge_says_of_a_recorded_log_what_it_said(self) -> None:
        rows = outside.recorded_rows()
        found = {"as it was": outside.judged(rows), "with faults": outside.judged(outside.damaged(rows))}
        self.check("verdicts", found)
