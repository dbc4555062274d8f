"""The replicas of pool owners' session records that a core machine keeps in memory and on disk.

Pool owners replicate their session records to the core machines asynchronously. A new pool owner collects the records
from the core machines.
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
    """Encode the sessions of a session replica, with the current time.

    >>> decode_session_replica(encode_session_replica(session_replicas.SessionReplica(), 5), 7).export(7)
    ([], [])
    """
    return msgspec.msgpack.encode([now, session_replica.term, session_replica.export(now)[0]])


def decode_session_replica(raw: bytes, now: int) -> session_replicas.SessionReplica:
    """Decode a session replica. Stored times are capped at `now`, since the clock restarts with the machine."""
    written_at, term, sessions = msgspec.msgpack.decode(
        raw, type=tuple[int, tuple[int, int], list[message.SessionRecord]]
    )
    session_replica = session_replicas.SessionReplica()
    session_replica.term = term
    session_replica.sessions = {session.id: (session, min(written_at, now)) for session in sessions}
    return session_replica


def storage_key(pool: str) -> bytes:
    """The key under which the session replica of a pool is stored on disk.

    >>> storage_key("desk")
    b'shelf/desk'
    """
    return KEY_PREFIX + pool.encode()


class SessionReplicaStore:
    """The session replicas of one core machine, by pool."""

    def __init__(self, parts: core_parts.CoreParts, disk: storage.MonitoredDisk, state: dict[bytes, bytes]) -> None:
        """Load the stored replicas from `state`, all keys and values of the data folder at the start."""
        self.parts = parts
        self.disk = disk
        self.by_pool: dict[str, session_replicas.SessionReplica] = {
            key.removeprefix(KEY_PREFIX).decode(): decode_session_replica(raw, parts.runtime.now())
            for key, raw in state.items()
            if key.startswith(KEY_PREFIX)
        }
        self._unwritten: set[str] = set()  # pools whose replica has changed since it was last written to disk

    def session_count(self, pool: str) -> int | None:
        """The number of sessions in the replica of a pool; None if there is no replica."""
        return len(self.by_pool[pool].sessions) if pool in self.by_pool else None

    def apply_records(self, records: message.ReplicateRecords, from_node: bool) -> None:
        """Apply a pool owner's records; records received from a node are forwarded to the other core machines."""
        if self._replica(records.pool).apply_update(records, self.parts.runtime.now()):
            self._unwritten.add(records.pool)
        if from_node:
            self._forward(records)

    def _forward(self, records: message.ReplicateRecords) -> None:
        for voter in self.parts.voters():
            if voter.id != self.parts.consensus.own_voter.id:
                self.parts.runtime.spawn(self.parts.peers.tell(voter.host, voter.port, records), log)

    async def collect(self, request: message.RecordsRequest) -> message.RecordsResponse:
        """Answer a new pool owner with the session records of its pool.

        `has_replica` in the answer says whether the pool had an owner before. If it had none, the term of the new owner
        is synced to disk before the answer, so that a later pool owner does not mistake the pool for a new one.
        A pool owner that repeats its request under the same term is not a later owner.
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
        """Write changed replicas to disk every WRITE_INTERVAL_US; runs as a single task."""
        while True:
            await self.parts.runtime.sleep(WRITE_INTERVAL_US)
            now = self.parts.runtime.now()
            changed = sorted(self._unwritten)
            for pool in changed:
                self.by_pool[pool].sweep(now)
            puts = [self._encoded(pool, now) for pool in changed]
            self._unwritten.clear()
            if puts:
                with contextlib.suppress(storage.DiskError):  # the copy is only delayed; MonitoredDisk logs it
                    await self.disk.commit(puts)

    def _replica(self, pool: str) -> session_replicas.SessionReplica:
        return self.by_pool.setdefault(pool, session_replicas.SessionReplica())

    def _encoded(self, pool: str, now: int) -> tuple[bytes, bytes | None]:
        return storage_key(pool), encode_session_replica(self.by_pool[pool], now)
