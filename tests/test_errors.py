"""The error codes that mypy knows are those that have a status."""

import typing

from iriswheel import errors


def test_every_error_code_has_a_status() -> None:
    assert set(errors.CODES) == set(typing.get_args(errors.ErrorCode))
