"""The replicas of pool owners' sessions that a core machine keeps, in memory and on its disk.

Pool owners replicate their sessions to the core machines with some delay; a new pool owner
collects them from there.
"""

from __future__ import annotations

import contextlib
import typing

import loguru
import msgspec

from iriswheel.pools import session_replicas
from iriswheel.runtime import storage, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.control import core_parts

WRITE_INTERVAL_US = 500 * units.MILLISECOND_US
KEY_PREFIX = b"shelf/"
NO_TERM = (0, 0)

log = loguru.logger.bind(part="core")


def encode_session_replica(session_replica: session_replicas.SessionReplica, now: int) -> bytes:
    """A session replica's sessions as bytes, with the time.

    >>> decode_session_replica(encode_session_replica(session_replicas.SessionReplica(), 5), 7).export(7)
    ([], [])
    """
    return msgspec.msgpack.encode([now, session_replica.term, session_replica.export(now)[0]])


def decode_session_replica(raw: bytes, now: int) -> session_replicas.SessionReplica:
    """A session replica from bytes. After a restart of the machine its clock has begun anew."""
    written_at, term, sessions = msgspec.msgpack.decode(
        raw, type=tuple[int, tuple[int, int], list[message.SessionRecord]]
    )
    session_replica = session_replicas.SessionReplica()
    session_replica.term = term
    session_replica.sessions = {session.id: (session, min(written_at, now)) for session in sessions}
    return session_replica


def storage_key(pool: str) -> bytes:
    """The disk's key of a pool's replica.

    >>> storage_key("desk")
    b'shelf/desk'
    """
    return KEY_PREFIX + pool.encode()


class SessionReplicaStore:
    """The session replicas of one core machine, by pool."""

    def __init__(self, parts: core_parts.CoreParts, disk: storage.MonitoredDisk, state: dict[bytes, bytes]) -> None:
        """`state` is what the data folder held at the start."""
        self.parts = parts
        self.disk = disk
        self.by_pool: dict[str, session_replicas.SessionReplica] = {
            key.removeprefix(KEY_PREFIX).decode(): decode_session_replica(raw, parts.runtime.now())
            for key, raw in state.items()
            if key.startswith(KEY_PREFIX)
        }
        self._unwritten: set[str] = set()  # pools whose replica is newer than that on the disk

    def session_count(self, pool: str) -> int | None:
        """How many sessions of a pool are known here; None where nothing of the pool is."""
        return len(self.by_pool[pool].sessions) if pool in self.by_pool else None

    def apply_records(self, records: message.ReplicateRecords, from_node: bool) -> None:
        """Take a pool owner's records; those that come from a node itself go on to the other core machines."""
        if self._replica(records.pool).apply_update(records, self.parts.runtime.now()):
            self._unwritten.add(records.pool)
        if from_node:
            self._forward(records)

    def _forward(self, records: message.ReplicateRecords) -> None:
        for voter in self.parts.voters():
            if voter.id != self.parts.consensus.own_voter.id:
                self.parts.runtime.spawn(self.parts.peers.tell(voter.host, voter.port, records), log)

    async def collect(self, request: message.RecordsRequest) -> message.RecordsResponse:
        """What is kept here of a pool, for a new pool owner; `has_replica` says whether the pool had an owner before.

        That the pool has an owner now is on the disk before the answer, so that no later pool owner
        takes the pool for new. A pool owner that asks again under its own term is not a later one.
        """
        session_replica = self._replica(request.pool)
        had_owner = session_replica.term not in (NO_TERM, request.term)
        session_replica.fence(request.term)
        if not had_owner:
            try:
                await self.disk.commit([self._encoded(request.pool, self.parts.runtime.now())])
            except storage.DiskError:
                return message.RecordsResponse(False)
        sessions, _ = session_replica.export(self.parts.runtime.now())
        return message.RecordsResponse(True, sessions, has_replica=had_owner)

    async def write_periodically(self) -> None:
        """Write the replicas that changed to the disk, every WRITE_INTERVAL_US; one task."""
        while True:
            await self.parts.runtime.sleep(WRITE_INTERVAL_US)
            now = self.parts.runtime.now()
            changed = sorted(self._unwritten)
            for pool in changed:
                self.by_pool[pool].sweep(now)
            puts = [self._encoded(pool, now) for pool in changed]
            self._unwritten.clear()
            if puts:
                with contextlib.suppress(storage.DiskError):  # only a delayed copy; MonitoredDisk logs the error
                    await self.disk.commit(puts)

    def _replica(self, pool: str) -> session_replicas.SessionReplica:
        return self.by_pool.setdefault(pool, session_replicas.SessionReplica())

    def _encoded(self, pool: str, now: int) -> tuple[bytes, bytes | None]:
        return storage_key(pool), encode_session_replica(self.by_pool[pool], now)
