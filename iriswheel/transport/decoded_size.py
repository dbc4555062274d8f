"""How much memory the values of a msgpack document take once they are decoded, found before they are.

A document of one byte for each value may take more than 60 times its length.
"""

from __future__ import annotations

import typing

SLOT_BYTES = 8  # of a list for each of its values
LIST_BYTES = SLOT_BYTES + 64
EMPTY_MAP_BYTES = SLOT_BYTES + 64
MAP_BYTES = SLOT_BYTES + 232  # of a map with few pairs
VALUE_BYTES = SLOT_BYTES + 60  # of a number or a string, beside the string's text


class Marker(typing.NamedTuple):
    """What the first byte of a value tells about it.

    Attributes:
        content_bytes: Bytes that follow the first byte and belong to no further value, beside a text of stated length.
        length_bytes: Size of the field that states the length of a text; 0 where there is none.
        memory_bytes: Memory that the value takes, beside that of its text and of further values.
    """

    content_bytes: int
    length_bytes: int
    memory_bytes: int


SMALL_VALUE = Marker(0, 0, SLOT_BYTES)  # of which there is one object: a small number, null, true and false
MARKERS = [  # by first byte, from 0x00 on, as the format's specification lists them
    *[SMALL_VALUE] * 0x80,  # positive fixint
    Marker(0, 0, EMPTY_MAP_BYTES),
    *[Marker(0, 0, MAP_BYTES)] * 15,  # fixmap
    *[Marker(0, 0, LIST_BYTES)] * 16,  # fixarray
    *[Marker(length, 0, VALUE_BYTES) for length in range(32)],  # fixstr
    *[SMALL_VALUE] * 4,  # nil, false, true
    *[Marker(0, size, VALUE_BYTES) for size in (1, 2, 4)],  # bin
    *[Marker(1, size, VALUE_BYTES) for size in (1, 2, 4)],  # ext
    *[Marker(size, 0, VALUE_BYTES) for size in (4, 8)],  # float
    *[Marker(size, 0, VALUE_BYTES) for size in (1, 2, 4, 8)] * 2,  # uint, int
    *[Marker(1 + size, 0, VALUE_BYTES) for size in (1, 2, 4, 8, 16)],  # fixext
    *[Marker(0, size, VALUE_BYTES) for size in (1, 2, 4)],  # str
    *[Marker(size, 0, LIST_BYTES) for size in (2, 4)],  # array
    *[Marker(size, 0, MAP_BYTES) for size in (2, 4)],  # map
    *[SMALL_VALUE] * 0x20,  # negative fixint
]
SMALL_NUMBERS = bytes(first for first in range(256) if MARKERS[first].memory_bytes == SLOT_BYTES)
MAPS = bytes([*range(0x81, 0x90), 0xDE, 0xDF])


def is_at_most(raw: bytes, limit_bytes: int) -> bool:
    """Return whether the values of a document take no more memory than a limit.

    Each of its bytes is first taken for the begin of a value, which is quick and rarely too much; only where that
    passes the limit is the document gone through value by value. Bytes that are no document get an arbitrary answer.

    >>> is_at_most(bytes([0x90]) * 1_000, 72_000), is_at_most(bytes([0x90]) * 1_000, 71_000)
    (True, False)
    >>> is_at_most(bytes([0xDA, 0x03, 0xE8]) + bytes([0x90]) * 1_000, 2_000)
    True
    """
    return _upper_bound(raw) <= limit_bytes or _is_walk_within(raw, limit_bytes)


def _upper_bound(raw: bytes) -> int:
    """Return a bound on the memory of all values, as if each byte began one."""
    larger = raw.translate(None, delete=SMALL_NUMBERS)
    maps = len(larger) - len(larger.translate(None, delete=MAPS))
    return len(raw) * (1 + SLOT_BYTES) + (len(larger) - maps) * LIST_BYTES + maps * MAP_BYTES


def _is_walk_within(raw: bytes, limit_bytes: int) -> bool:
    """Add up the values one by one, and stop at the limit."""
    at = memory_bytes = 0
    while at < len(raw) and memory_bytes <= limit_bytes:
        content_bytes, length_bytes, value_bytes = MARKERS[raw[at]]
        at += 1
        if length_bytes:
            text_bytes = int.from_bytes(raw[at : at + length_bytes], "big")
            at += length_bytes
        else:
            text_bytes = 0
        at += content_bytes + text_bytes
        memory_bytes += value_bytes + content_bytes + text_bytes
    return memory_bytes <= limit_bytes
