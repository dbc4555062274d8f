"""The log of counter adds on this machine's disk, which is loaded at the start and written with group commits."""

from __future__ import annotations

import typing

import loguru
import msgspec

from iriswheel.replicated_counters import counter_state
from iriswheel.runtime import scheduler, storage, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    import collections.abc

KEY_PREFIX = b"counter/"
SEQUENCE_BYTES = 8
MAX_GROUP_ADDS = 2_000  # most adds in one disk write
RETRY_INTERVAL_US = 200 * units.MILLISECOND_US
STALL_US = 600 * units.MILLISECOND_US  # duration of a write from which on the disk counts as not working

log = loguru.logger.bind(part="counters")


class AddRecord(msgspec.Struct, array_like=True, frozen=True):
    """The value that is stored on the disk under the key of an add."""

    name: str
    id: str
    amount: int


def storage_key(add_id: counter_state.AddId) -> bytes:
    """Return the key under which an add is stored on the disk.

    >>> storage_key(counter_state.AddId("c0ffee-1", 258))
    b'counter/c0ffee-1/0000000000000102'
    """
    return KEY_PREFIX + add_id.origin.encode() + b"/" + add_id.sequence.to_bytes(SEQUENCE_BYTES, "big").hex().encode()


def encode_add(add: message.CounterAdd) -> bytes:
    """Return the bytes that are stored on the disk for an add.

    >>> encode_add(message.CounterAdd(1, "n", "x", 4)).hex()
    '93a16ea17804'
    """
    return msgspec.msgpack.encode(AddRecord(add.name, add.id, add.amount))


def load(state: dict[bytes, bytes]) -> counter_state.CounterState:
    """Return the counters with all adds that the data folder holds.

    >>> load({b"counter/a/0000000000000001": bytes.fromhex("93a16ea17804")}).sum_of("n")
    4
    """
    counters = counter_state.CounterState()
    for key, raw in state.items():
        if key.startswith(KEY_PREFIX):
            origin, _, sequence = key.removeprefix(KEY_PREFIX).rpartition(b"/")
            record = msgspec.msgpack.decode(raw, type=AddRecord)
            add = message.CounterAdd(int(sequence, 16), record.name, record.id, record.amount)
            counters.insert(origin.decode(), add)
    return counters


class AddLog:
    """Writes adds to the disk; adds that are appended during a write are written together by the next one.

    Attributes:
        synced: The adds that are synced on this machine's disk.
        progress: Woken whenever a write has succeeded or failed.
    """

    def __init__(
        self, runtime: scheduler.Runtime, disk: storage.MonitoredDisk, counters: counter_state.CounterState
    ) -> None:
        """Create the log for `counters`, which hold the adds loaded from the disk and receive each new add first."""
        self.runtime = runtime
        self.disk = disk
        self.counters = counters
        self.synced = counters.held.copy()
        self.progress = scheduler.Signal()
        self._unwritten: list[counter_state.AddId] = []
        self._writing = False
        self._write_started_at_us = 0  # start time of the write under way, if there is one

    def is_working(self) -> bool:
        """Whether the disk monitor reports no fault and no write of this log has been under way for STALL_US."""
        stalls = self._writing and self.runtime.now() - self._write_started_at_us >= STALL_US
        return self.disk.ok and not stalls

    @property
    def unsynced_count(self) -> int:
        """The number of adds that are not synced on the disk yet."""
        return len(self._unwritten)

    def append(self, add_ids: collections.abc.Iterable[counter_state.AddId]) -> None:
        """Start writing adds, all of which must already be inserted into `counters`."""
        self._unwritten += add_ids
        if self._unwritten and not self._writing:
            self._writing = True
            self.runtime.spawn(self._write_all(), log)

    async def _write_all(self) -> None:
        """Write until no unwritten add is left; a failed write is retried every RETRY_INTERVAL_US until it succeeds."""
        try:
            while self._unwritten:
                self._write_started_at_us = self.runtime.now()
                group = self._unwritten[:MAX_GROUP_ADDS]
                try:
                    await self.disk.commit([(storage_key(each), self._encoded(each)) for each in group])
                except storage.DiskError:  # logged by MonitoredDisk
                    self.progress.wake()
                    await self.runtime.sleep(RETRY_INTERVAL_US)
                    continue
                del self._unwritten[: len(group)]
                for add_id in group:
                    self.synced.add(add_id)
                self.progress.wake()
        finally:
            self._writing = False

    def _encoded(self, add_id: counter_state.AddId) -> bytes:
        return encode_add(self.counters.add_of(add_id))

    async def wait_until_synced(self, wanted: counter_state.HeldAdds, timeout_us: int) -> bool:
        """Wait until all `wanted` adds are synced; return False on a timeout or when the disk does not work."""
        until = self.runtime.now() + timeout_us
        while not self.synced.has_all_of(wanted):
            left_us = until - self.runtime.now()
            if left_us <= 0 or not self.is_working():
                return False
            await self.runtime.pause(self.progress, left_us)
        return True
