"""The bytes of messages and records that other versions read: they stay as they are when a class is renamed."""

import msgspec
import testtools

import iriswheel.agreement as agreement
import iriswheel.message as message
import iriswheel.wire as wire


class Encoding(testtools.TestCase):
    def test_a_lease_request_keeps_its_bytes(self):
        self.assertEqual(b"\x93\xa8LeaseAsk\x03\xa1a", wire.encoder.encode(message.LeaseRequest(3, "a")))

    def test_a_snapshot_keeps_its_bytes(self):
        self.assertEqual(b"\x93\xa5Frame\x07\x80", wire.encoder.encode(message.Snapshot(7, {})))

    def test_a_heartbeat_keeps_its_tag(self):
        heartbeat = message.Heartbeat("a", "b", "z", "10.0.0.1", 7001, None, 0, True, False)
        self.assertIn(b"\xa5Pulse", wire.encoder.encode(heartbeat))

    def test_the_view_on_the_disk_keeps_its_bytes(self):
        old = b"\x94\x94\xa4View\x04\x90\x91\x93\xa9ChainLink\xa1a\xa1b\x92\x00\xa0\xc0\x04"
        record = msgspec.msgpack.decode(old, type=agreement.Record)
        self.assertEqual([message.ChainReplica("a", "b")], record.view.chain)
        self.assertEqual(old, msgspec.msgpack.encode(record))
