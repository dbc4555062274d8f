"""The memory of a document's values is estimated at no less than what they take."""

import sys
from typing import Any

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from iriswheel.transport import decoded_size
from tests import fuzzing

VALUES = fuzzing.nested(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(1 << 63), (1 << 64) - 1)
    | strategies.floats()
    | strategies.text(max_size=40)
    | strategies.binary(max_size=40),
    strategies.text(max_size=5),
)


def taken_bytes(value: Any) -> int:  # noqa: ANN401 - any value of a document
    """What a value takes, with all values in it; objects of which there is one are not counted."""
    if value is None or isinstance(value, bool) or (isinstance(value, int) and -32 <= value < 128):
        return 0
    inner = [*value, *value.values()] if isinstance(value, dict) else value if isinstance(value, list) else []
    return sys.getsizeof(value) + sum(map(taken_bytes, inner))


class TestEstimate:
    @fuzzing.QUICK
    @hypothesis.given(VALUES)
    def test_a_document_is_within_the_limit_only_if_its_values_are(self, value: object) -> None:
        raw = msgspec.msgpack.encode(value)
        taken = taken_bytes(msgspec.msgpack.decode(raw))
        assert not decoded_size.is_at_most(raw, taken // 2 - 100)

    @pytest.mark.parametrize("marker", [0x80, 0x90])
    def test_a_crowd_of_empty_containers_is_not_within_ten_times_its_length(self, marker: int) -> None:
        raw = b"\xdd\x00\x0f\x42\x40" + bytes([marker]) * 1_000_000
        assert not decoded_size.is_at_most(raw, 10 * len(raw))

    def test_text_of_any_bytes_counts_by_its_length(self) -> None:
        raw = msgspec.msgpack.encode({"text": "\u0410" * 500_000, "bytes": b"\x90" * 500_000})
        assert decoded_size.is_at_most(raw, 2 * len(raw))
