"""The encoding of messages and records that other versions read does not change when a class is renamed."""

import msgspec

from iriswheel.consensus import decisions
from iriswheel.transport import message, wire


class TestEncoding:
    def test_a_lease_request_keeps_its_bytes(self) -> None:
        assert wire.encoder.encode(message.LeaseRequest(3, "a")) == b"\x93\xa8LeaseAsk\x03\xa1a"

    def test_a_snapshot_keeps_its_bytes(self) -> None:
        assert wire.encoder.encode(message.ConfigurationSnapshot(7, {})) == b"\x93\xa5Frame\x07\x80"

    def test_a_heartbeat_keeps_its_tag(self) -> None:
        heartbeat = message.Heartbeat("a", "b", "z", "10.0.0.1", 7001, None, 0, True, False)
        assert b"\xa5Pulse" in wire.encoder.encode(heartbeat)

    def test_the_view_on_the_disk_keeps_its_bytes(self) -> None:
        old = b"\x94\x94\xa4View\x04\x90\x91\x93\xa9ChainLink\xa1a\xa1b\x92\x00\xa0\xc0\x04"
        record = msgspec.msgpack.decode(old, type=decisions.Record)
        assert record.view is not None
        assert [message.ChainReplica("a", "b")] == record.view.chain
        assert msgspec.msgpack.encode(record) == old
