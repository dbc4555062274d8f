"""What the outside sees is as recorded in tests/data/outside.json: HTTP, command line, options, event logs.

`python -m tests.outside` records it anew, for a change that is meant to be seen outside.
"""

import typing

from tests import outside, recorded

RECORDING = recorded.load("outside.json")


def check(section: str, found: dict[str, typing.Any]) -> None:
    """Compare a section record by record, so that a failure names the one that differs."""
    assert sorted(found) == sorted(RECORDING[section])
    for name, expected in RECORDING[section].items():
        assert found[name] == expected, f"{section}: {name}"


def test_http_answers_and_requests() -> None:
    found = outside.http_sections()
    for section, records in found.items():
        check(section, records)


def test_the_command_line() -> None:
    check("commands", outside.command_sections())


def test_the_keys_of_the_options_file() -> None:
    check("options", outside.option_defaults())


def test_the_keys_of_the_configuration() -> None:
    check("configuration", outside.configuration_defaults())


def test_the_codes_of_refusals() -> None:
    check("refusals", outside.refusals())


def test_what_is_sent_to_the_platform() -> None:
    check("deployment", outside.deployment())


def test_the_rows_of_event_logs() -> None:
    check("events", outside.event_fields(outside.event_rows()))
    check("events", outside.event_fields(outside.recorded_rows()))


def test_the_judgement_of_a_recorded_log_is_unchanged() -> None:
    rows = outside.recorded_rows()
    found = {"as it was": outside.judged(rows), "with faults": outside.judged(outside.damaged(rows))}
    check("verdicts", found)
