"""Values that may be None, where a test relies on it that they are not."""

from typing import TypeVar

Value = TypeVar("Value")


def present(value: Value | None) -> Value:
    """The value, which must not be None.

    >>> present(7)
    7
    """
    assert value is not None
    return value
