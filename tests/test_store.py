"""The data folder on lmdb is usable again after a commit that failed."""

import pathlib
from typing import Any

import lmdb
import pytest

from iriswheel.runtime import storage


class PanickedEnvironment:
    """An lmdb environment as a commit leaves it that failed while the meta page was written: all calls fail."""

    def begin(self, write: bool = False) -> None:  # noqa: ARG002 - lmdb's signature, called by keyword
        raise lmdb.PanicError("mdb_txn_begin", -30795)

    def close(self) -> None:
        pass


class TestEnvironment:
    def test_an_environment_that_panicked_is_reopened_with_its_data(self, tmp_path: pathlib.Path) -> None:
        disk = storage.Disk(str(tmp_path))
        disk.open()
        disk.write([(b"a", b"1")])
        assert disk.env is not None
        disk.env.close()
        panicked: Any = PanickedEnvironment()
        disk.env = panicked
        with pytest.raises(storage.DiskError):
            disk.write([(b"b", b"2")])
        disk.write([(b"c", b"3")])
        assert disk.read() == {b"a": b"1", b"c": b"3"}
        disk.close()
