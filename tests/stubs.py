"""Stand-ins for functions of the product."""

from collections.abc import Callable
from typing import TypeVar

Value = TypeVar("Value")


def returning(value: Value) -> Callable[..., Value]:
    """A function, or method of a patched class, that returns one value whatever it is called with.

    >>> returning(True)("an argument", name="another")
    True
    """

    def stand_in(*_arguments: object, **_options: object) -> Value:
        return value

    return stand_in
