"""Whatever bytes another process sends as frames, the connection may be aborted, but no task fails."""

import itertools
import struct
from collections.abc import Sequence
from typing import Any

import hypothesis
import loguru
import msgspec
from hypothesis import strategies

from iriswheel.transport import message, wire
from tests import fuzzing


class TestFrames(fuzzing.LoggedErrors):
    """Frames with arbitrary, invalid or corrupted content."""

    def connection(self) -> tuple[wire.Connection, fuzzing.Transport]:
        self.clock, runtime = fuzzing.new_runtime()
        self.received: list[message.Message] = []
        connection = wire.Connection(runtime, lambda _connection, msg: self.received.append(msg), loguru.logger)
        transport = fuzzing.Transport()
        connection.makeConnection(transport)
        return connection, transport

    def feed(self, raw: bytes, cuts: Sequence[int] = ()) -> fuzzing.Transport:
        connection, transport = self.connection()
        places = [0, *sorted(cut % (len(raw) + 1) for cut in cuts), len(raw)]
        for start, end in itertools.pairwise(places):
            if not transport.aborted:
                connection.dataReceived(raw[start:end])
        assert all(isinstance(msg, message.Message) for msg in self.received), self.received
        assert [line for line in self.task_errors if "speaks version" not in line] == []
        return transport

    @fuzzing.QUICK
    @hypothesis.given(strategies.binary(max_size=200), strategies.lists(strategies.integers(0, 200), max_size=3))
    def test_any_byte_stream_breaks_no_task(self, raw: bytes, cuts: list[int]) -> None:
        self.feed(raw, cuts)

    @fuzzing.QUICK
    @hypothesis.given(strategies.binary(max_size=60))
    def test_a_frame_of_any_bytes_is_a_message_or_ends_the_connection(self, raw: bytes) -> None:
        transport = self.feed(struct.pack("!I", len(raw)) + raw)
        try:
            wire.decoder.decode(raw)
        except msgspec.MsgspecError:
            assert transport.aborted

    @fuzzing.QUICK
    @hypothesis.given(
        fuzzing.nested(
            strategies.none()
            | strategies.booleans()
            | strategies.integers(-(1 << 63), (1 << 64) - 1)
            | strategies.floats()
            | strategies.text(max_size=5)
            | strategies.binary(max_size=5)
            | strategies.sampled_from(["Ping", "Hello", "Pulse", "Look", "Elect", "Seat"]),
            strategies.text(max_size=5),
        ),
        strategies.integers(0, 3),
    )
    def test_frames_with_values_of_wrong_types_break_no_task(self, value: object, kind: int) -> None:
        for document in (value, [kind, 1, value], [kind, value, ["Ping"]], [kind, 1, [value, value, value]]):
            raw = msgspec.msgpack.encode(document)
            self.feed(struct.pack("!I", len(raw)) + raw)

    @fuzzing.QUICK
    @hypothesis.given(strategies.integers(wire.MAX_FRAME_BYTES + 1, (1 << 32) - 1), strategies.binary(max_size=9))
    def test_an_announced_length_above_the_limit_ends_the_connection(self, length: int, raw: bytes) -> None:
        assert self.feed(struct.pack("!I", length) + raw).aborted

    def test_deep_nesting_ends_the_connection(self) -> None:
        for opening in (b"\x91", b"\x81\xa1a"):
            raw = b"\x93\x00\x01" + opening * 20_000 + b"\xc0"
            assert self.feed(struct.pack("!I", len(raw)) + raw).aborted

    @fuzzing.QUICK
    @hypothesis.given(strategies.data())
    def test_frames_with_corrupted_bytes_break_no_task(self, data: strategies.DataObject) -> None:
        part: Any = message.Worker(
            "w", "h", 1, "p", "ready", 0
        )  # a part of other messages, which can't be sent by itself
        good = wire.encoder.encode(wire.Envelope(0, 0, part))
        good = (
            wire.encoder.encode(wire.Envelope(1, 1, message.WorkerListing([], (3, 1, 40))))
            if data.draw(strategies.booleans())
            else good
        )
        raw = bytearray(good)
        for place in data.draw(strategies.lists(strategies.integers(0, len(raw) - 1), min_size=1, max_size=4)):
            raw[place] = data.draw(strategies.integers(0, 255))
        self.feed(struct.pack("!I", len(raw)) + bytes(raw))
