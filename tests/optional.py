"""Narrowing of optional values that are not None at this point of a test."""

from typing import TypeVar

Value = TypeVar("Value")


def present(value: Value | None) -> Value:
    """Return the value, and fail the test if it is None.

    >>> present(7)
    7
    """
    assert value is not None
    return value
