"""The data folder: a small key-value store on lmdb, each of whose writes is synced to the disk.

The process reads it once, at its start, and then keeps what it needs in memory. Writes run in a thread of their own,
so that a slow disk never blocks the reactor.
"""

from __future__ import annotations

import fcntl
import os
import pathlib
import typing

import lmdb
import loguru
from twisted.internet import threads
from twisted.python import threadpool

from iriswheel.runtime import content_digest, database_check, scheduler, units

if typing.TYPE_CHECKING:
    import collections.abc

    from twisted.internet import defer

Write: typing.TypeAlias = tuple[bytes, bytes | None]  # a key and its value; None removes the key

INITIAL_MAP_BYTES = 1 << 25  # address space, which a limit on the process may count as memory
STALL_TIMEOUT_US = 1 * units.SECOND_US  # duration of a write from which the disk counts as failed
WATCH_INTERVAL_US = 250 * units.MILLISECOND_US  # time between two checks for a stalled write
RETRY_INTERVAL_US = units.SECOND_US  # wait before the test write to a failed disk
DATABASE_FILE = "data.mdb"  # lmdb's name for it
NEW_DATABASE_FILE = "new.mdb"  # a database that is being made
DAMAGED_DATABASE_FILE = "damaged.mdb"  # the last database that could not be opened
INITIAL_ADDRESSES_FILE = "initial-addresses"  # written before the database exists, one IP:port a line
PROBE_KEY = b"probe"  # key of the test write

log = loguru.logger.bind(part="disk")


class DiskError(Exception):
    """The data folder could not be opened or written: the disk is full, broken or gone."""

    code = "disk"


class DiskWriter(typing.Protocol):
    """The part of a data folder that a running process uses: synced writes."""

    def commit(self, writes: list[Write], /) -> collections.abc.Awaitable[object]:
        """Write the pairs in order; the result arrives once they are synced, or is a DiskError."""


class DataFolder(DiskWriter, typing.Protocol):
    """A data folder with the blocking reads and writes that a process does at its start."""

    def read(self) -> dict[bytes, bytes]:
        """Return all keys and their values."""

    def write(self, writes: list[Write], /) -> None:
        """Write the pairs; they are synced when this returns."""


def absolute(path: pathlib.Path) -> pathlib.Path:
    """Return the absolute path, without `..`; symbolic links stay as they are.

    >>> absolute(pathlib.Path("/srv/../data"))
    PosixPath('/data')
    """
    return pathlib.Path(os.path.abspath(path))  # noqa: PTH100 - Path.resolve would follow symbolic links


def sync_folders(path: pathlib.Path, top: pathlib.Path) -> None:
    """Sync a folder and its parents up to `top`, so that files created in them survive a loss of power."""
    for folder in (path, *path.parents):
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        if folder == top:
            return


def nearest_existing_folder(path: pathlib.Path) -> pathlib.Path:
    """Return the nearest existing parent folder of an absolute path.

    >>> nearest_existing_folder(pathlib.Path("/proc/none/at/all"))
    PosixPath('/proc')
    """
    path = path.parent
    while not os.path.isdir(path):  # noqa: PTH112 - Path.is_dir raises for a folder that may not be read
        path = path.parent
    return path


def is_damaged(database: pathlib.Path) -> bool:
    """Whether the file in a database's folder is no lmdb database, or some of its pages or records are damaged.

    Reading damaged pages might end the process.
    """
    if not database_check.is_readable(database / DATABASE_FILE):
        return True
    try:
        with (
            lmdb.open(str(database), readonly=True, lock=False, create=False) as environment,
            environment.begin() as transaction,
        ):
            records = {bytes(key): bytes(value) for key, value in transaction.cursor()}
            return content_digest.is_contradicted(records, environment.info()["last_txnid"])
    except (lmdb.InvalidError, lmdb.CorruptedError):
        return True


class Disk:
    """A data folder on a real disk.

    Args:
        folder: Path of the folder; `open` creates it if it is missing.
        reactor: The reactor whose thread must not wait for the disk; None if `commit` is not used.
        size: Bytes that the database may hold before its memory map grows.

    >>> import tempfile
    >>> with tempfile.TemporaryDirectory() as d:
    ...     disk = Disk(d); disk.open()
    ...     disk.write([(b"a", b"1"), (b"b", b"2"), (b"a", None)])
    ...     disk.close()
    ...     disk = Disk(d); disk.open(); print(disk.read()); disk.close()
    {b'b': b'2'}
    """

    def __init__(
        self,
        folder: str,
        reactor: typing.Any = None,  # noqa: ANN401 - reactors are typed by zope interfaces, which replacements don't inherit
        size: int = INITIAL_MAP_BYTES,
    ) -> None:
        self.folder = pathlib.Path(folder)
        self.database = self.folder / "state"
        self.reactor = reactor
        self.size = size
        self.pool: threadpool.ThreadPool | None = None  # of one thread, which writes; None before `open`
        self.env: lmdb.Environment | None = None
        self.lock: typing.TextIO | None = None  # open, and locked, while the folder is in use
        self._digest: int | None = None  # of all records; None before the first read or write

    def open(self) -> None:
        """Open the folder, and create it if it is missing; a lock keeps a second process out.

        All files and folders created here are synced together with their parent folders before anything is written,
        since the database's own sync does not cover the directory entries of its files.

        Raises:
            DiskError: The folder can't be created or opened, or another process holds its lock.

        >>> Disk("/proc/none").open()
        Traceback (most recent call last):
        ...
        iriswheel.runtime.storage.DiskError: The data folder can't be used: ...
        """
        try:
            self._open()
        except (OSError, lmdb.Error) as error:
            self._release()
            raise DiskError(f"The data folder can't be used: {error}") from error
        if self.reactor is not None:
            self.pool = threadpool.ThreadPool(0, 1, name="disk")
            self.pool.start()

    def _open(self) -> None:
        top = nearest_existing_folder(absolute(self.folder))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.lock = (self.folder / "lock").open("w")  # stays open while the process runs
        fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        self.database.mkdir(exist_ok=True)
        self._prepare_database()
        file_bytes = (self.database / DATABASE_FILE).stat().st_size
        self.size = max(self.size, 2 * file_bytes)  # the map may have grown in an earlier incarnation
        self._environment().sync(True)  # an earlier process may have been killed between a write and its sync
        sync_folders(absolute(self.database), top)

    def _prepare_database(self) -> None:
        """Make the database if there is none, and set aside a damaged one, as if the disk had been lost."""
        file = self.database / DATABASE_FILE
        if file.exists() and file.stat().st_size > 0:
            if not is_damaged(self.database):
                return
            log.error(
                "The database is damaged; it is kept as {}, and this machine starts as with a new disk.",
                DAMAGED_DATABASE_FILE,
            )
            file.replace(self.folder / DAMAGED_DATABASE_FILE)
            (self.folder / INITIAL_ADDRESSES_FILE).unlink(missing_ok=True)
        self._make_database(file)

    def _make_database(self, file: pathlib.Path) -> None:
        """Make an empty database that is either there as a whole or not at all, also after a loss of power."""
        new = self.folder / NEW_DATABASE_FILE
        new.unlink(missing_ok=True)
        with lmdb.open(str(new), subdir=False, lock=False, map_size=self.size) as environment:
            environment.sync(True)
        new.replace(file)

    def _environment(self) -> lmdb.Environment:
        if self.env is None:
            self.env = lmdb.open(str(self.database), map_size=self.size, sync=True)
        return self.env

    def initial_addresses(self) -> list[str]:
        """Return the addresses, as IP:port, that a first start has kept before it made the database."""
        try:
            return (self.folder / INITIAL_ADDRESSES_FILE).read_text(encoding="ascii").split()
        except (OSError, UnicodeDecodeError):
            return []

    def read(self) -> dict[bytes, bytes]:
        """Return all keys with their values."""
        with self._environment().begin() as transaction:
            records = {bytes(key): bytes(value) for key, value in transaction.cursor()}
        records.pop(content_digest.KEY, None)
        return records

    def write(self, writes: list[Write]) -> None:
        """Write the pairs in one synced transaction; a value of None removes its key.

        The memory map grows when it is full, so that only the size of the disk limits the database.

        >>> import tempfile
        >>> with tempfile.TemporaryDirectory() as d:
        ...     disk = Disk(d, size=1 << 16); disk.open()
        ...     disk.write([(b"%d" % k, bytes(50_000)) for k in range(9)]); print(len(disk.read())); disk.close()
        9
        """
        while True:
            try:
                self._write(writes)
            except lmdb.MapFullError:
                self.size *= 2
                self._environment().set_mapsize(self.size)
                log.info("The memory map of the data folder's database was full; it grows to {} MiB.", self.size >> 20)
            else:
                return

    def _write(self, writes: list[Write]) -> None:
        try:
            with self._environment().begin(write=True) as transaction:
                digest = self._digest_before(transaction)
                for key, value in writes:
                    digest ^= content_digest.of_record(key, transaction.get(key))
                    digest ^= content_digest.of_record(key, value)
                    if value is None:
                        transaction.delete(key)
                    else:
                        transaction.put(key, value)
                transaction.put(content_digest.KEY, content_digest.encode(transaction.id(), digest))
            self._digest = digest
        except lmdb.MapFullError:
            raise  # `write` lets the map grow
        except lmdb.PanicError as error:
            # a commit that failed while its meta page was written leaves the environment unusable until it is reopened
            self._close_environment()
            raise DiskError(str(error)) from error
        except (OSError, lmdb.Error) as error:
            raise DiskError(str(error)) from error

    def _digest_before(self, transaction: lmdb.Transaction) -> int:
        """The digest of all records before a transaction."""
        if self._digest is not None:
            return self._digest
        others = ((bytes(key), bytes(value)) for key, value in transaction.cursor() if key != content_digest.KEY)
        return content_digest.of_records(others)

    def _close_environment(self) -> None:
        self._digest = None
        if self.env is not None:
            self.env.close()
            self.env = None

    def commit(self, writes: list[Write]) -> defer.Deferred[None]:
        """Write the pairs in the disk's own thread; the Deferred fires once they are synced."""
        assert self.pool is not None, "the folder is open"
        return threads.deferToThreadPool(self.reactor, self.pool, self.write, writes)

    def close(self) -> None:
        """Finish the pending writes and release the folder, which can be opened again."""
        if self.pool is not None:
            self.pool.stop()
            self.pool = None
        self._release()

    def _release(self) -> None:
        self._close_environment()
        if self.lock is not None:
            self.lock.close()
            self.lock = None


class MonitoredDisk:
    """A data folder that records whether writes to it succeed in time.

    Attributes:
        ok: False from a write that failed or took longer than STALL_TIMEOUT_US until a later test write succeeded.
    """

    def __init__(self, runtime: scheduler.Runtime, disk: DiskWriter) -> None:
        self.runtime = runtime
        self.disk = disk
        self.ok = True
        self._started_at_us: list[int] = []  # start times of the unfinished writes, oldest first

    async def commit(self, writes: list[Write]) -> None:
        """Write the pairs; returns once they are synced.

        Raises:
            DiskError: The disk refused the writes.
        """
        started_at = self.runtime.now()
        self._started_at_us.append(started_at)
        try:
            await self.disk.commit(writes)
        except DiskError as error:
            if self.ok:
                log.error("A write to the data folder failed; the disk counts as failed: {}", error)  # noqa: TRY400 - the cause suffices
            self.ok = False
            raise
        finally:
            self._started_at_us.remove(started_at)

    async def watch(self) -> None:
        """Detect stalled writes, and test a failed disk every RETRY_INTERVAL_US, for as long as the process runs."""
        while True:
            await self.runtime.sleep(WATCH_INTERVAL_US)
            if self._started_at_us:
                if self.ok and self.runtime.now() - self._started_at_us[0] > STALL_TIMEOUT_US:
                    log.warning(
                        "A write to the data folder has stalled; the disk counts as failed until a test write succeeds."
                    )
                    self.ok = False
            elif not self.ok:
                await self.runtime.sleep(RETRY_INTERVAL_US)
                try:
                    await self.commit([(PROBE_KEY, b"%d" % self.runtime.now())])
                    self.ok = True
                    log.info("A test write to the data folder succeeded; the disk counts as working again.")
                except DiskError:
                    pass  # the next round tries again
