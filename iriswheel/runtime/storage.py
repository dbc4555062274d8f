"""The data folder: a small synced map of keys to bytes, on lmdb.

Reads happen once, at the start; the process then keeps what it needs in memory.
Writes run in a thread of their own, so that a slow disk never stops the reactor.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import typing

import lmdb
import loguru
import twisted.internet.threads as threads
import twisted.python.threadpool as threadpool

import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units

if typing.TYPE_CHECKING:
    import twisted.internet.defer as defer


log = loguru.logger.bind(part="disk")


class DiskError(Exception):
    """The disk would not take a write: full, broken or gone."""

    code = "disk"


def sync_folders(path: str, top: str) -> None:
    """Sync a folder and those above it up to `top`: files made in them then outlive a loss of power."""
    while True:
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
        if path == top or path == os.path.dirname(path):
            return
        path = os.path.dirname(path)


def nearest_folder(path: str) -> str:
    """The folder next above a path that is there.

    >>> nearest_folder("/proc/none/at/all")
    '/proc'
    """
    path = os.path.dirname(path)
    while not os.path.isdir(path):
        path = os.path.dirname(path)
    return path


class Disk:
    """A data folder on a real disk.

    >>> import tempfile
    >>> with tempfile.TemporaryDirectory() as d:
    ...     disk = Disk(d); disk.open()
    ...     disk.write([(b"a", b"1"), (b"b", b"2"), (b"a", None)])
    ...     disk.close()
    ...     disk = Disk(d); disk.open(); print(disk.read()); disk.close()
    {b'b': b'2'}
    """

    def __init__(self, folder: str, reactor: typing.Any = None, size: int = 1 << 28) -> None:
        self.folder = folder
        self.reactor = reactor
        self.size = size
        self.pool = threadpool.ThreadPool(0, 1, name="disk")

    def open(self) -> None:
        """Open the folder, made where it is missing; a second process is refused.

        All that is made here is synced with its folders before anything is written: the database's own
        sync does not cover the names of its files.

        >>> Disk("/proc/none").open()
        Traceback (most recent call last):
        ...
        iriswheel.runtime.storage.DiskError: The data folder can't be used: ...
        """
        try:
            top = nearest_folder(os.path.abspath(self.folder))
            os.makedirs(self.folder, exist_ok=True)
            self.lock = open(os.path.join(self.folder, "lock"), "w")
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            path = self._path()
            with contextlib.suppress(FileNotFoundError):  # it may have grown in an earlier life
                self.size = max(self.size, 2 * os.path.getsize(os.path.join(path, "data.mdb")))
            self._open_environment()
            sync_folders(os.path.abspath(path), top)
        except (OSError, lmdb.Error) as e:
            raise DiskError(f"The data folder can't be used: {e}") from e
        if self.reactor is not None:
            self.pool.start()

    def _path(self) -> str:
        return os.path.join(self.folder, "state")

    def _open_environment(self) -> None:
        self.env = lmdb.open(self._path(), map_size=self.size, sync=True)

    def read(self) -> dict[bytes, bytes]:
        """All that is on the disk."""
        with self.env.begin() as txn:
            return {bytes(k): bytes(v) for k, v in txn.cursor()}

    def write(self, puts: list[tuple[bytes, bytes | None]]) -> None:
        """Write pairs in one synced transaction; a value of None removes.

        The map grows with what is in it: only the disk itself can be full.

        >>> import tempfile
        >>> with tempfile.TemporaryDirectory() as d:
        ...     disk = Disk(d, size=1 << 16); disk.open()
        ...     disk.write([(b"%d" % k, bytes(50_000)) for k in range(9)]); print(len(disk.read())); disk.close()
        9
        """
        while True:
            try:
                self._write(puts)
                return
            except lmdb.MapFullError:
                self.size *= 2
                self.env.set_mapsize(self.size)
                log.info("The map grows to {} MiB.", self.size >> 20)

    def _write(self, puts: list[tuple[bytes, bytes | None]]) -> None:
        try:
            if self.env is None:
                self._open_environment()
            with self.env.begin(write=True) as txn:
                for key, value in puts:
                    if value is None:
                        txn.delete(key)
                    else:
                        txn.put(key, value)
        except lmdb.MapFullError:
            raise
        except lmdb.PanicError as e:
            # a commit that failed at its last page leaves the environment unusable until it is opened anew
            self.env.close()
            self.env = None
            raise DiskError(str(e)) from e
        except (OSError, lmdb.Error) as e:
            raise DiskError(str(e)) from e

    def commit(self, puts: list[tuple[bytes, bytes]]) -> defer.Deferred[typing.Any]:
        """Write off the reactor's thread; the Deferred fires once it is synced."""
        d = threads.deferToThreadPool(self.reactor, self.pool, self.write, puts)
        return d

    def close(self) -> None:
        """Finish what is under way and let the folder go."""
        if self.pool.started:
            self.pool.stop()
        if self.env is not None:
            self.env.close()
        self.lock.close()


class MonitoredDisk:
    """A disk watched: writes in order, with a note on whether it works.

    A disk that refuses a write, or holds one for more than a second, is not `ok`
    until a later write went through.
    """

    STALL_US = 1 * units.SECOND_US

    def __init__(self, runtime: scheduler.Runtime, disk: Disk) -> None:
        self.runtime = runtime
        self.disk = disk
        self.ok = True
        self.under_way: list[int] = []  # when each unfinished write began

    async def commit(self, puts: list[tuple[bytes, bytes | None]]) -> None:
        """Write pairs; returns once they are synced, raises DiskError where not."""
        started_at = self.runtime.now()
        self.under_way.append(started_at)
        try:
            await self.disk.commit(puts)
        except DiskError as e:
            if self.ok:
                log.error("The disk refuses a write: {}", e)
            self.ok = False
            raise
        finally:
            self.under_way.remove(started_at)

    async def watch(self) -> None:
        """Notice a stall; try a bad disk again every second."""
        while True:
            await self.runtime.sleep(250 * units.MILLISECOND_US)
            if self.under_way:
                if self.ok and self.runtime.now() - self.under_way[0] > self.STALL_US:
                    log.warning("The disk stalls.")
                    self.ok = False
            elif not self.ok:
                await self.runtime.sleep(units.SECOND_US)
                try:
                    await self.commit([(b"probe", b"%d" % self.runtime.now())])
                    self.ok = True
                    log.info("The disk works again.")
                except DiskError:
                    pass
