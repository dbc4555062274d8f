"""An estimate of the memory that decoded values take."""

from __future__ import annotations

import sys


def size_in_memory(value: object) -> int:
    """The bytes that a value of JSON takes in memory, with all values in it; one that occurs twice counts twice.

    >>> size_in_memory([[], []]) == sys.getsizeof([[], []]) + 2 * sys.getsizeof([])
    True
    >>> size_in_memory({"a": {}}) - size_in_memory({"a": 1}) == sys.getsizeof({}) - sys.getsizeof(1)
    True
    """
    total = 0
    remaining: list[object] = [value]
    while remaining:
        part = remaining.pop()
        total += sys.getsizeof(part)
        if isinstance(part, dict):
            remaining += part.keys()
            remaining += part.values()
        elif isinstance(part, list | tuple):
            remaining += part
    return total
