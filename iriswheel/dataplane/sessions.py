"""Worker sessions: a conversation stays on the worker that holds its prefix.

The design of the session paper, over the pool owner's records: the first turn is placed
by normal balancing, later turns are pinned while the worker is ready, each turn puts
the expiry one lifetime ahead, a sweep closes what is past it, an open session's cost
counts in its worker's load, and a worker takes no more sessions than its cap.
"""

from __future__ import annotations

import hashlib

import iriswheel.transport.message as message

SWEEP_US = 5_000_000


class Session:
    """One open session.

    >>> Session("s", "w1", expires=60, lifetime_us=60, cost=100).turns
    0
    """

    __slots__ = ("id", "worker", "expires", "lifetime_us", "cost", "version", "turns", "pending", "opened_by")

    def __init__(
        self, identifier: str, worker: str, expires: int, lifetime_us: int, cost: int, version: int = 1
    ) -> None:
        self.id = identifier
        self.worker = worker
        self.expires = expires
        self.lifetime_us = lifetime_us
        self.cost = cost
        self.version = version
        self.turns = 0  # turns in flight
        self.opened_by = ""  # the ask of its first turn, until that reached the worker
        self.pending = False  # until copies of its opening stand


def derive(parts: list[str], session_part: int) -> str:
    """The id of a conversation, from the session's part of the prompt's prefix.

    With session_part -1 the last part names the conversation, and a list of fewer than
    two parts names none: a prefix that everybody shares must not become one session.
    All parts up to the session's part go into the id.

    >>> derive(["system"], -1), derive([], 0)
    ('', '')
    >>> derive(["system", "talk-1"], -1) == derive(["system", "talk-1", "extra"], 1)
    True
    >>> derive(["system", "talk-1"], -1) == derive(["other", "talk-1"], -1)
    False
    """
    if session_part < 0:
        if len(parts) < 2:
            return ""
        session_part = len(parts) - 1
    if session_part >= len(parts):
        return ""
    return hashlib.sha256("\n".join(parts[: session_part + 1]).encode()).hexdigest()[:24]


class SessionTable:
    """The open sessions of one pool.

    >>> b = SessionTable()
    >>> r = b.open("s1", "w1", now=0, lifetime_us=60, cost=100)
    >>> b.affinity("s1").worker, b.load("w1"), b.count("w1")
    ('w1', 100, 1)
    >>> b.extend(r, now=50); b.sweep(now=100)
    []
    >>> [x.id for x in b.sweep(now=111)], b.affinity("s1")
    (['s1'], None)
    """

    def __init__(self) -> None:
        self.records: dict[str, Session] = {}
        self.at: dict[str, dict[str, Session]] = {}  # worker -> {id: Record}
        self.version = 0  # the newest of all records, so that a session opened anew beats its old copies

    def open(self, identifier: str, worker: str, now: int, lifetime_us: int, cost: int) -> Session:
        """Open a session on a worker.

        >>> b = SessionTable(); one = b.open("s", "w1", 0, 60, 100).version
        >>> _ = b.close("s"); b.open("s", "w2", 0, 60, 100).version > one
        True
        """
        self.version += 1
        r = Session(identifier, worker, now + lifetime_us, lifetime_us, cost, self.version)
        self.records[identifier] = r
        self.at.setdefault(worker, {})[identifier] = r
        return r

    def close(self, identifier: str) -> Session | None:
        """Close a session; its cost no longer counts.

        >>> b = SessionTable(); _ = b.open("s", "w", 0, 60, 100); _ = b.close("s"); b.load("w")
        0
        """
        r = self.records.pop(identifier, None)
        if r is not None:
            del self.at[r.worker][identifier]
        return r

    def affinity(self, identifier: str) -> Session | None:
        """The open session of this id, or None: an unknown id is closed.

        >>> SessionTable().affinity("s") is None
        True
        """
        return self.records.get(identifier)

    def extend(self, r: Session, now: int) -> None:
        """A turn or its end: silence begins anew, one lifetime is left from now.

        >>> b = SessionTable(); r = b.open("s", "w", 0, 60, 100); b.extend(r, 30); r.expires
        90
        """
        r.expires = now + r.lifetime_us
        self.version += 1
        r.version = self.version

    def sweep(self, now: int) -> list[Session]:
        """Close every session past its expiry that has no turn in flight.

        >>> b = SessionTable(); _ = b.open("s", "w", 0, 60, 100); len(b.sweep(61))
        1
        """
        return [self.close(r.id) for r in list(self.records.values()) if r.expires < now and not r.turns]

    def evict(self, worker: str) -> list[Session]:
        """Close every session of a worker that is no longer ready.

        >>> b = SessionTable(); _ = b.open("s", "w", 0, 60, 100); len(b.evict("w"))
        1
        """
        return [self.close(i) for i in list(self.at.get(worker, {}))]

    def count(self, worker: str) -> int:
        """How many sessions are open on a worker.

        >>> SessionTable().count("w")
        0
        """
        return len(self.at.get(worker, {}))

    def load(self, worker: str) -> int:
        """The cost that a worker's open sessions hold.

        >>> SessionTable().load("w")
        0
        """
        return sum(r.cost for r in self.at.get(worker, {}).values())

    def earliest(self, workers: list[str]) -> int | None:
        """When the first session on these workers may end, or None.

        >>> b = SessionTable(); _ = b.open("s", "w", 0, 60, 100); b.earliest(["w"])
        60
        """
        return min((r.expires for w in workers for r in self.at.get(w, {}).values()), default=None)


def to_message(r: Session, now: int) -> message.SessionRecord:
    """A record as it travels.

    >>> to_message(Session("s", "w", 100, 60, 5), now=40).left_us
    60
    """
    return message.SessionRecord(r.id, r.worker, max(0, r.expires - now), r.lifetime_us, r.cost, r.version, r.opened_by)
