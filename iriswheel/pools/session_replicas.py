"""The replica of one pool's records that a process keeps for the next owner of the pool."""

from __future__ import annotations

import collections.abc
import typing

import msgspec

from iriswheel.runtime import units
from iriswheel.transport import message

EXPIRED_RETENTION_US = 60 * units.SECOND_US
"""Time for which a replica keeps a record after it has expired."""

Term = tuple[int, int]
"""The term of a role: the version of the membership that assigned it."""

Record = typing.TypeVar("Record", message.SessionRecord, message.Claim)


class SessionReplica:
    """A replica of one pool's sessions and claims, which accepts updates only under the newest term it has seen.

    >>> replica = SessionReplica()
    >>> replica.apply_update(message.ReplicateRecords("p", (2, 1), "n1", [], [], []), now=0)
    True
    >>> replica.apply_update(message.ReplicateRecords("p", (1, 9), "n0", [], [], []), now=0)
    False
    """

    def __init__(self) -> None:
        self.term: Term = (0, 0)
        self.sessions: dict[str, tuple[message.SessionRecord, int]] = {}  # by id: (record, receipt in µs)
        self.claims: dict[str, tuple[message.Claim, int]] = {}  # by request id: (record, receipt in µs)
        self.has_all_records = False  # whether a complete set of an owner's records was ever stored here
        # claims that earlier owners made may have been lost until this time; by then all of them have expired
        self.claims_missing_until_us = 0

    def fence(self, term: Term) -> bool:
        """Refuse older terms from now on; return False if a newer term was seen already.

        >>> replica = SessionReplica(); replica.fence((3, 1)), replica.fence((2, 7))
        (True, False)
        """
        if term < self.term:
            return False
        self.term = term
        return True

    def apply_update(self, update: message.ReplicateRecords, now: int) -> bool:
        """Store an update from the pool owner, and return True; return False if a newer term was seen.

        A partial update is stored even if the replica holds no complete set of records yet. Only a complete update
        sets `has_all_records`.

        >>> SessionReplica().apply_update(message.ReplicateRecords("p", (1, 1), "n", [], [], [], complete=True), 0)
        True
        """
        if not self.fence(update.term):
            return False
        if update.complete:
            self.sessions, self.claims, self.has_all_records = {}, {}, True
            self.claims_missing_until_us = now + update.claims_missing_us
        for session in update.sessions:
            stored = self.sessions.get(session.id)
            if stored is None or stored[0].version <= session.version:
                self.sessions[session.id] = (session, now)
        for claim in update.claims:
            self.claims[claim.request_id] = (claim, now)
        for identifier in update.closed:
            self.sessions.pop(identifier, None)
            self.claims.pop(identifier, None)
        return True

    def replace(
        self,
        sessions: collections.abc.Iterable[message.SessionRecord],
        claims: collections.abc.Iterable[message.Claim],
        claims_missing_until_us: int,
        now: int,
    ) -> None:
        """Replace the records by those of an owner whose term on this node has ended.

        >>> replica = SessionReplica(); replica.replace([], [], claims_missing_until_us=0, now=0)
        >>> replica.has_all_records
        True
        """
        self.sessions = {session.id: (session, now) for session in sessions}
        self.claims = {claim.request_id: (claim, now) for claim in claims}
        self.has_all_records, self.claims_missing_until_us = True, claims_missing_until_us

    def sweep(self, now: int) -> None:
        """Remove the records that expired more than EXPIRED_RETENTION_US ago.

        >>> SessionReplica().sweep(0)
        """
        _drop_expired(self.sessions, now)
        _drop_expired(self.claims, now)

    def export(self, now: int) -> tuple[list[message.SessionRecord], list[message.Claim]]:
        """Return all records, with the time from `now` until each expires.

        >>> SessionReplica().export(0)
        ([], [])
        """
        sessions = [_with_age(record, now - received_at) for _, (record, received_at) in sorted(self.sessions.items())]
        claims = [_with_age(record, now - received_at) for _, (record, received_at) in sorted(self.claims.items())]
        return sessions, claims


def _drop_expired(records: dict[str, tuple[Record, int]], now: int) -> None:
    expired = [
        key
        for key, (record, received_at) in records.items()
        if now - received_at > record.left_us + EXPIRED_RETENTION_US
    ]
    for key in expired:
        del records[key]


def _with_age(record: Record, age_us: int) -> Record:
    """Return a record whose remaining time, which counted from its receipt, is reduced by its age."""
    return msgspec.structs.replace(record, left_us=max(0, record.left_us - age_us))
