"""The data folder on lmdb: what a failed commit leaves behind."""

import tempfile

import lmdb
import testtools

import iriswheel.store as store


class PanickedEnvironment:
    """An environment after a commit that failed while its meta page was written."""

    def begin(self, write=False):
        raise lmdb.PanicError("mdb_txn_begin", -30795)

    def close(self):
        pass


class Environment(testtools.TestCase):
    def test_a_panicked_environment_is_opened_anew_and_keeps_what_it_held(self):
        with tempfile.TemporaryDirectory() as folder:
            disk = store.Disk(folder)
            disk.open()
            disk.write([(b"a", b"1")])
            disk.env.close()
            disk.env = PanickedEnvironment()
            self.assertRaises(store.DiskError, disk.write, [(b"b", b"2")])
            disk.write([(b"c", b"3")])
            self.assertEqual({b"a": b"1", b"c": b"3"}, disk.read())
            disk.close()
