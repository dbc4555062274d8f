"""The external interfaces are as recorded in tests/data/outside.json: HTTP, command line, options, event logs.

After an intended change of an external interface, `python -m tests.outside` makes a new recording.
"""

import typing

from tests import outside, recorded

RECORDING = recorded.load("outside.json")


def assert_as_recorded(section: str, found: dict[str, typing.Any]) -> None:
    """Compare a section record by record, so that a failure names the record that differs."""
    assert sorted(found) == sorted(RECORDING[section])
    for name, expected in RECORDING[section].items():
        assert found[name] == expected, f"{section}: {name}"


def test_http_answers_and_requests() -> None:
    found = outside.http_sections()
    for section, records in found.items():
        assert_as_recorded(section, records)


def test_the_command_line() -> None:
    assert_as_recorded("commands", outside.command_sections())


def test_the_keys_of_the_options_file() -> None:
    assert_as_recorded("options", outside.option_defaults())


def test_the_keys_of_the_configuration() -> None:
    assert_as_recorded("configuration", outside.configuration_defaults())


def test_the_error_codes() -> None:
    assert_as_recorded("refusals", outside.refusals())


def test_the_deployment_files_for_the_platform() -> None:
    assert_as_recorded("deployment", outside.deployment())


def test_the_rows_of_event_logs() -> None:
    assert_as_recorded("events", outside.event_fields(outside.event_rows()))
    assert_as_recorded("events", outside.event_fields(outside.recorded_rows()))


def test_the_verdicts_on_a_recorded_event_log_are_unchanged() -> None:
    rows = outside.recorded_rows()
    found = {
        "as it was": outside.printed_verdicts(rows),
        "with faults": outside.printed_verdicts(outside.with_faults(rows)),
    }
    assert_as_recorded("verdicts", found)
