"""The record on disk of how far a replica's log is known to be committed.

An entry on the disk alone may never have been committed: another entry may have taken its index while this machine was
down. The record tells a machine that restarts which of its entries it may rely on before it is in contact with the
others. It is written after the entries have been committed and never delays them, so it may lag behind.
"""

from __future__ import annotations

import typing

import loguru
import msgspec

from iriswheel.runtime import storage
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.runtime import scheduler

COMMITTED_KEY = b"committed"
NOTHING_COMMITTED = message.LogPosition(0, 0)

log = loguru.logger.bind(part="chain")


def read(records: collections.abc.Mapping[bytes, bytes]) -> message.LogPosition:
    """The position up to which the log was recorded as committed; NOTHING_COMMITTED if the disk holds no record.

    >>> read({}) == NOTHING_COMMITTED
    True
    """
    raw = records.get(COMMITTED_KEY)
    return NOTHING_COMMITTED if raw is None else msgspec.msgpack.decode(raw, type=message.LogPosition)


class CommitRecord:
    """Writes the newest committed position to disk, one write at a time; positions in between are skipped.

    Args:
        runtime: Task scheduler.
        disk: The disk that the record is synced to.
        records: All keys and values that the disk held when the process started.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        disk: storage.MonitoredDisk,
        records: collections.abc.Mapping[bytes, bytes],
    ) -> None:
        self.runtime = runtime
        self.disk = disk
        self.written = read(records)
        self._newest = self.written
        self._is_writing = False

    def advance(self, position: message.LogPosition) -> None:
        """Record that the log is committed up to a position; a failed write is tried again at the next call."""
        self._newest = position
        if not self._is_writing:
            self._is_writing = True
            self.runtime.spawn(self._write_newest(), log)

    async def _write_newest(self) -> None:
        try:
            while self.written != self._newest:
                position = self._newest
                await self.disk.commit([(COMMITTED_KEY, msgspec.msgpack.encode(position))])
                self.written = position
        except storage.DiskError as error:
            log.warning("The committed log position was not recorded on disk: {error}", error=error)
        finally:
            self._is_writing = False
