"""Every message between processes is decoded and encoded as recorded in tests/data/wire.json.

Its section "messages" was recorded at commit e746a15; "added" has the messages added since, "parts" their parts.
"""

import random
import typing

import loguru
import msgspec
import pytest
from twisted.internet import testing

from iriswheel.transport import message, wire
from simulation import host_model, process_model, world
from tests import recorded

RECORDING = recorded.load("wire.json")
SENDABLE = {**RECORDING["messages"], **RECORDING["added"]}
CALL = 1
VERSION_HANDSHAKE = "0000000b93000092a548656c6c6f03"  # the first frame of a connection, with protocol version 3


class Transport(testing.StringTransport):
    """A stand-in transport that keeps the written bytes."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing: there is no socket."""


class Receiver:
    """A connection that keeps each message it delivers, encoded again, as hexadecimal digits."""

    def __init__(self) -> None:
        process = process_model.SimulatedProcess(
            world.World(1), "receiver", host_model.Host(world.World(1), "10.0.0.1", "zone")
        )
        self.received: list[str] = []
        self.connection = wire.Connection(process.runtime(), self.record_message, loguru.logger)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)

    def record_message(self, _connection: wire.Connection, received: message.Message) -> None:
        """Encode a delivered message and keep it."""
        self.received.append(wire.encoder.encode(received).hex())


def frames() -> list[tuple[str, bytes]]:
    """Return all recorded frames, each with its message as hexadecimal digits."""
    return [
        (sample["hex"], bytes.fromhex(sample["frame"])) for record in SENDABLE.values() for sample in record.values()
    ]


@pytest.fixture(scope="module")
def types() -> dict[str, msgspec.inspect.StructType]:
    """The present types of messages and their parts, by tag."""
    return recorded.struct_types(wire.Envelope)


@pytest.fixture
def samples(types: dict[str, msgspec.inspect.StructType]) -> list[tuple[str, type, dict[str, typing.Any]]]:
    """Each recorded sample of a message or part, with its tag and its present class."""
    return [
        (tag, types[tag].cls, sample)
        for section in RECORDING.values()
        for tag, record in section.items()
        for sample in record.values()
    ]


def test_the_tags_are_those_recorded(types: dict[str, msgspec.inspect.StructType]) -> None:
    envelope: typing.Any = msgspec.inspect.type_info(wire.Envelope)
    sendable = {info.tag for info in envelope.fields[2].type.types}
    assert sorted(sendable) == sorted(SENDABLE)
    assert sorted(set(types) - sendable) == sorted(RECORDING["parts"])


def test_recorded_bytes_are_read_and_written_unchanged(
    samples: list[tuple[str, type, dict[str, typing.Any]]],
) -> None:
    for tag, cls, sample in samples:
        raw = bytes.fromhex(sample["hex"])
        assert msgspec.msgpack.encode(msgspec.msgpack.decode(raw, type=cls)) == raw, tag


def test_recorded_values_make_the_recorded_bytes(samples: list[tuple[str, type, dict[str, typing.Any]]]) -> None:
    for tag, cls, sample in samples:
        made: msgspec.Struct = recorded.build(cls, recorded.from_plain(sample["values"]))
        assert msgspec.msgpack.encode(made).hex() == sample["hex"], tag


def test_all_fields_are_recorded_and_those_with_defaults_may_be_missing(
    types: dict[str, msgspec.inspect.StructType],
) -> None:
    for section in RECORDING.values():
        for tag, record in section.items():
            fields = types[tag].fields
            assert len(record["full"]["values"]) == len(fields), tag
            assert len(record["defaults"]["values"]) == sum(field.required for field in fields), tag
            short = msgspec.msgpack.encode([tag, *recorded.from_plain(record["defaults"]["values"])])
            made: msgspec.Struct = msgspec.msgpack.decode(short, type=types[tag].cls)
            assert msgspec.msgpack.encode(made).hex() == record["defaults"]["hex"], tag


def test_additional_fields_of_a_newer_peer_are_ignored(
    samples: list[tuple[str, type, dict[str, typing.Any]]],
) -> None:
    for tag, cls, sample in samples:
        longer = msgspec.msgpack.encode([*msgspec.msgpack.decode(bytes.fromhex(sample["hex"])), "further"])
        made: msgspec.Struct = msgspec.msgpack.decode(longer, type=cls)
        assert msgspec.msgpack.encode(made).hex() == sample["hex"], tag


def test_frames_are_read_and_written_unchanged() -> None:
    for text, frame in frames():
        envelope = wire.decoder.decode(frame[4:])
        assert wire.encoder.encode(envelope) == frame[4:]
        assert msgspec.msgpack.decode(frame[4:])[0] == CALL
        assert text in frame.hex()


def test_a_connection_begins_with_the_version_handshake() -> None:
    assert Receiver().transport.value().hex() == VERSION_HANDSHAKE


def test_a_frame_split_at_any_place_arrives() -> None:
    for text, frame in frames():
        receiver = Receiver()
        for place in range(1, len(frame)):
            receiver.connection.dataReceived(frame[:place])
            receiver.connection.dataReceived(frame[place:])
        assert receiver.received == [text] * (len(frame) - 1)


@pytest.mark.parametrize("seed", range(20))
def test_a_stream_in_pieces_of_any_size_arrives(seed: int) -> None:
    stream = b"".join(frame for _, frame in frames())
    generator, receiver, place = random.Random(seed), Receiver(), 0
    while place < len(stream):
        size = generator.choice((1, 3, 17, 400, 9_000))
        receiver.connection.dataReceived(stream[place : place + size])
        place += size
    assert receiver.received == [text for text, _ in frames()]


def test_what_a_connection_sends_is_what_was_recorded(types: dict[str, msgspec.inspect.StructType]) -> None:
    for tag, record in SENDABLE.items():
        for sample in record.values():
            receiver = Receiver()
            receiver.transport.clear()
            made: typing.Any = recorded.build(types[tag].cls, recorded.from_plain(sample["values"]))
            receiver.connection.tell(made)
            receiver.connection.call(made, 1_000_000)
            content = bytes.fromhex(sample["hex"])
            expected = b"".join(
                (len(head) + len(content)).to_bytes(4, "big") + head + content
                for head in (b"\x93\x00\x00", b"\x93\x01\x01")
            )
            assert receiver.transport.value() == expected, tag
