"""The data folder on lmdb is usable again after a commit that failed, and with a database that a loss of power tore."""

import os
import pathlib
import random
from collections.abc import Callable
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


DAMAGES: dict[str, Callable[[bytes], bytes]] = {
    "empty": lambda whole: whole[:0],
    "one byte": lambda whole: whole[:1],
    "one page": lambda whole: whole[:4096],
    "a byte short of two pages": lambda whole: whole[:8191],
    "half": lambda whole: whole[: len(whole) // 2],
    "zeros": lambda whole: bytes(len(whole)),
    "second page of zeros": lambda whole: whole[:4096] + bytes(4096) + whole[8192:],
    "no database": lambda whole: b"x" * len(whole),
}


PAGE_BYTES = 4096
PAGE_DAMAGES: dict[str, Callable[[bytes], bytes]] = {
    "zeros": lambda page: bytes(len(page)),
    "noise": lambda page: random.Random(len(page)).randbytes(len(page)),
    "second half of zeros": lambda page: page[: PAGE_BYTES // 2] + bytes(len(page) - PAGE_BYTES // 2),
    "one byte": lambda page: page[:1000] + bytes([page[1000] ^ 1]) + page[1001:],
}


class TestTornDatabase:
    @pytest.fixture(autouse=True)
    def make(self, tmp_path: pathlib.Path) -> None:
        self.file = tmp_path / "state" / "data.mdb"
        self.disk = storage.Disk(str(tmp_path))
        self.disk.open()

    def write(self) -> None:
        """Store enough that the database has many pages, and close it."""
        for number in range(20):
            self.disk.write([(b"%d" % number, bytes(5_000))])
        self.disk.close()

    @pytest.mark.parametrize("damage", DAMAGES.values(), ids=DAMAGES)
    def test_a_damaged_database_counts_as_a_lost_disk(
        self, damage: Callable[[bytes], bytes], tmp_path: pathlib.Path
    ) -> None:
        self.write()
        whole = self.file.read_bytes()
        self.file.write_bytes(damage(whole))
        self.disk.open()
        assert self.disk.read() == {}
        self.disk.write([(b"a", b"1")])
        self.disk.close()
        self.disk.open()
        assert self.disk.read() == {b"a": b"1"}
        self.disk.close()
        if damage(whole):
            assert (tmp_path / "damaged.mdb").read_bytes() == damage(whole)

    @pytest.mark.parametrize("damage", PAGE_DAMAGES.values(), ids=PAGE_DAMAGES)
    def test_a_database_with_any_damaged_page_is_set_aside_or_has_all_its_records(
        self, damage: Callable[[bytes], bytes], tmp_path: pathlib.Path
    ) -> None:
        records = {b"%d" % number: bytes([number]) * (40 * number) for number in range(200)}
        for key, value in records.items():
            self.disk.write([(key, value)])
        removed = [key for number, key in enumerate(records) if number % 3 == 0]
        self.disk.write([(key, None) for key in removed])
        self.disk.close()
        kept = {key: value for key, value in records.items() if key not in removed}
        whole = self.file.read_bytes()
        set_aside = 0
        for start in range(0, len(whole), PAGE_BYTES):
            end = start + PAGE_BYTES
            self.file.write_bytes(whole[:start] + damage(whole[start:end]) + whole[end:])
            self.disk.open()
            found = self.disk.read()
            assert found in ({}, kept), start
            set_aside += not found
            self.disk.write([(b"a", b"1")])
            assert self.disk.read() == found | {b"a": b"1"}
            self.disk.close()
            (tmp_path / "damaged.mdb").unlink(missing_ok=True)
        assert set_aside > 10

    def test_records_that_a_program_without_the_digest_changed_are_kept(self, tmp_path: pathlib.Path) -> None:
        self.write()
        with lmdb.open(str(tmp_path / "state")) as environment, environment.begin(write=True) as transaction:
            transaction.put(b"0", b"changed")
        self.disk.open()
        assert self.disk.read()[b"0"] == b"changed"
        self.disk.write([(b"1", b"changed too")])
        self.disk.close()
        self.disk.open()
        assert self.disk.read()[b"1"] == b"changed too"
        self.disk.close()
        assert not (tmp_path / "damaged.mdb").exists()

    def test_a_whole_database_is_never_set_aside(self, tmp_path: pathlib.Path) -> None:
        self.write()
        self.disk.open()
        assert len(self.disk.read()) == 20
        self.disk.close()
        assert not (tmp_path / "damaged.mdb").exists()

    def test_a_database_gets_its_name_only_once_it_is_whole(
        self, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self.disk.close()
        self.file.unlink()

        def refuse(*_: object) -> None:
            raise OSError("the power is lost before the rename")

        with monkeypatch.context() as patched:
            patched.setattr(os, "replace", refuse)
            patched.setattr(pathlib.Path, "replace", refuse)
            with pytest.raises(storage.DiskError):
                self.disk.open()
        assert not self.file.exists()
        new = tmp_path / "new.mdb"
        new.write_bytes(new.read_bytes()[:4096])
        self.disk.open()
        assert self.disk.read() == {}
        self.disk.close()
