"""Worker sessions: a conversation stays on the worker that has its prefix in the cache.

The first turn goes to the worker with the least load, and later turns go to the same worker while it is ready. Each
turn sets the session's expiry to one lifetime from then; a sweep closes expired sessions. The cost of an open session
counts in its worker's load. The cap of sessions per worker is not checked here, but by the callers: the pool owners
and `placement.Placement`.
"""

from __future__ import annotations

import hashlib
import typing

from iriswheel.transport import message

SWEEP_US = 5_000_000  # interval of sweeps
ID_DIGITS = 24  # hexadecimal digits of a session id

Key = typing.TypeVar("Key", bound=bytes | str)


class Session(typing.Generic[Key]):
    """One open session.

    >>> Session("s", "w1", expires_at_us=60, lifetime_us=60, cost=100).turns
    0
    """

    __slots__ = ("cost", "expires_at_us", "id", "lifetime_us", "opened_by", "pending", "turns", "version", "worker")

    def __init__(
        self, identifier: Key, worker: str, expires_at_us: int, lifetime_us: int, cost: int, *, version: int = 1
    ) -> None:
        self.id = identifier
        self.worker = worker
        self.expires_at_us = expires_at_us
        self.lifetime_us = lifetime_us
        self.cost = cost
        self.version = version
        self.turns = 0  # turns in flight
        self.opened_by = ""  # the attempt id of its first turn; "" once a turn has run or may have run
        self.pending = False  # whether the opening still waits to be replicated


def derive_session_id(parts: list[str], session_part: int) -> str:
    """Return the session id of a prompt, "" if the prompt belongs to no session.

    The id is a hash of all parts up to the one with the index `session_part`. With -1 this is the last part, and a
    prompt of fewer than two parts belongs to no session: a prefix that everybody shares must not become one session.

    >>> derive_session_id(["system"], -1), derive_session_id([], 0)
    ('', '')
    >>> derive_session_id(["system", "talk-1"], -1) == derive_session_id(["system", "talk-1", "extra"], 1)
    True
    >>> derive_session_id(["system", "talk-1"], -1) == derive_session_id(["other", "talk-1"], -1)
    False
    """
    if session_part < 0:
        if len(parts) < 2:
            return ""
        session_part = len(parts) - 1
    if session_part >= len(parts):
        return ""
    return hashlib.sha256("\n".join(parts[: session_part + 1]).encode()).hexdigest()[:ID_DIGITS]


class SessionTable(typing.Generic[Key]):
    """The open sessions of one pool.

    >>> table = SessionTable()
    >>> session = table.open("s1", "w1", now=0, lifetime_us=60, cost=100)
    >>> table.affinity("s1").worker, table.load("w1"), table.count("w1")
    ('w1', 100, 1)
    >>> table.extend(session, now=50); table.sweep(now=100)
    []
    >>> [closed.id for closed in table.sweep(now=111)], table.affinity("s1")
    (['s1'], None)
    """

    def __init__(self) -> None:
        self.records: dict[Key, Session[Key]] = {}  # by id
        self.by_worker: dict[str, dict[Key, Session[Key]]] = {}  # by worker, then by id
        self.version = 0  # highest version given out; a reopened session supersedes the replicas of its former record

    def open(self, identifier: Key, worker: str, now: int, lifetime_us: int, cost: int) -> Session[Key]:
        """Open a session on a worker.

        >>> table = SessionTable(); first = table.open("s", "w1", 0, 60, 100).version
        >>> _ = table.close("s"); table.open("s", "w2", 0, 60, 100).version > first
        True
        """
        self.version += 1
        session = Session(identifier, worker, now + lifetime_us, lifetime_us, cost, version=self.version)
        self.records[identifier] = session
        self.by_worker.setdefault(worker, {})[identifier] = session
        return session

    def close(self, identifier: Key) -> Session[Key] | None:
        """Close a session, whose cost then no longer counts; returns None if it was not open.

        >>> table = SessionTable(); _ = table.open("s", "w", 0, 60, 100); _ = table.close("s"); table.load("w")
        0
        """
        session = self.records.pop(identifier, None)
        if session is not None:
            del self.by_worker[session.worker][identifier]
        return session

    def affinity(self, identifier: Key) -> Session[Key] | None:
        """Return the open session of this id, or None.

        >>> SessionTable().affinity("s") is None
        True
        """
        return self.records.get(identifier)

    def extend(self, session: Session[Key], now: int) -> None:
        """Extend a session at the start or the end of a turn: it expires one lifetime from now.

        >>> table = SessionTable(); session = table.open("s", "w", 0, 60, 100); table.extend(session, 30)
        >>> session.expires_at_us
        90
        """
        session.expires_at_us = now + session.lifetime_us
        self.version += 1
        session.version = self.version

    def sweep(self, now: int) -> list[Session[Key]]:
        """Close and return the expired sessions that have no turn in flight.

        >>> table = SessionTable(); _ = table.open("s", "w", 0, 60, 100); len(table.sweep(61))
        1
        """
        expired = [session for session in self.records.values() if session.expires_at_us < now and not session.turns]
        for session in expired:
            self.close(session.id)
        return expired

    def evict(self, worker: str) -> list[Session[Key]]:
        """Close and return all sessions of a worker, which is no longer ready.

        >>> table = SessionTable(); _ = table.open("s", "w", 0, 60, 100); len(table.evict("w"))
        1
        """
        evicted = list(self.by_worker.get(worker, {}).values())
        for session in evicted:
            self.close(session.id)
        return evicted

    def count(self, worker: str) -> int:
        """Return how many sessions are open on a worker.

        >>> SessionTable().count("w")
        0
        """
        return len(self.by_worker.get(worker, {}))

    def load(self, worker: str) -> int:
        """Return the total cost of a worker's open sessions.

        >>> SessionTable().load("w")
        0
        """
        return sum(session.cost for session in self.by_worker.get(worker, {}).values())

    def earliest(self, workers: list[str]) -> int | None:
        """Return the earliest expiry of a session on one of these workers, or None if there is no session.

        >>> table = SessionTable(); _ = table.open("s", "w", 0, 60, 100); table.earliest(["w"])
        60
        """
        return min(
            (session.expires_at_us for worker in workers for session in self.by_worker.get(worker, {}).values()),
            default=None,
        )


def to_message(session: Session[str], now: int) -> message.SessionRecord:
    """Return the record of a session that is sent to other processes, with the time to its expiry at `now`.

    >>> to_message(Session("s", "w", 100, 60, 5), now=40).left_us
    60
    """
    return message.SessionRecord(
        session.id,
        session.worker,
        max(0, session.expires_at_us - now),
        session.lifetime_us,
        session.cost,
        session.version,
        session.opened_by,
    )
