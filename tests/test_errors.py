"""The error codes of the type `ErrorCode`, which mypy checks, are those with an entry in the table `CODES`."""

import typing

from iriswheel import errors


def test_every_error_code_has_a_status() -> None:
    assert set(errors.CODES) == set(typing.get_args(errors.ErrorCode))
