"""Replication of a pool's records from the pool owner to other nodes and to the core machines.

A new session or claim is replicated before its grant is answered. All other changes, such as extended and closed
sessions, are replicated in the background every BACKGROUND_REPLICATION_INTERVAL_US.
"""

from __future__ import annotations

import typing

from iriswheel.dataplane import sessions
from iriswheel.pools import claims
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.pools import pool_owner

REPLICATION_DEADLINE_US = 500 * units.MILLISECOND_US
"""Time limit for the answers of replica nodes, and of other pools' owners to a `RevokeRequest`."""

BACKGROUND_REPLICATION_INTERVAL_US = 300 * units.MILLISECOND_US


class RecordReplicator:
    """Sends one pool owner's records to its replica nodes (`RoleAssignment.copies`) and to the core machines."""

    def __init__(self, owner: pool_owner.PoolOwner) -> None:
        self.owner = owner
        self.node = owner.node
        self.runtime = owner.runtime
        self.records = owner.records

    def update(
        self,
        session_records: list[message.SessionRecord],
        claim_records: list[message.Claim],
        closed: list[str],
    ) -> message.ReplicateRecords:
        """Return a message with changed records and the ids of closed sessions and removed claims."""
        owner = self.owner
        return message.ReplicateRecords(
            owner.pool, owner.assignment.term, self.owner.member_id, session_records, claim_records, closed
        )

    def snapshot(self) -> message.ReplicateRecords:
        """Return a message with all records, which replaces the contents of a replica."""
        owner = self.owner
        now = self.runtime.now()
        session_records, claim_records = self.records.export(now)
        return message.ReplicateRecords(
            owner.pool,
            owner.assignment.term,
            self.owner.member_id,
            session_records,
            claim_records,
            [],
            True,
            max(0, owner.claims_missing_until_us - now),
        )

    async def replicate(self, update: message.ReplicateRecords) -> bool:
        """Send an update to all replica nodes; return True only if all of them confirmed it.

        A replica node that has seen a newer term refuses the update. This owner then ends, since the role was
        assigned anew.
        """
        owner = self.owner
        members = [member for member in self.node.follower.membership.members if member.id in owner.assignment.copies]
        if len(members) < len(owner.assignment.copies):
            return False
        responses = (await self.node.call_members(members, update, REPLICATION_DEADLINE_US)).values()
        if any(response is not None and not response.ok for response in responses):
            owner.end()
        return owner.is_live() and all(response is not None and response.ok for response in responses)

    def notify_cores(self, update: message.ReplicateRecords) -> None:
        """Send an update without its claims to the core machine that this node is connected to; await no answer."""
        self.node.follower.session.tell(
            message.ReplicateRecords(
                update.pool, update.term, update.owner, update.sessions, [], update.closed, update.complete
            )
        )

    async def run(self) -> None:
        """Replicate changed records every BACKGROUND_REPLICATION_INTERVAL_US while the owner holds the role."""
        while self.owner.is_live():
            await self.runtime.sleep(BACKGROUND_REPLICATION_INTERVAL_US)
            if self.records.changed_sessions_and_claims or self.records.closed_ids:
                await self._replicate_changes()

    async def _replicate_changes(self) -> None:
        records = self.records
        changed, records.changed_sessions_and_claims = records.changed_sessions_and_claims, {}
        closed, records.closed_ids = records.closed_ids, {}
        now = self.runtime.now()
        session_records = [
            sessions.to_message(record, now)
            for record in changed.values()
            if isinstance(record, sessions.Session) and records.session_table.affinity(record.id) is record
        ]
        claim_records = [
            record.export(now)
            for record in changed.values()
            if isinstance(record, claims.Claim) and records.claims.get(record.request_id) is record
        ]
        # a session or claim may have been recorded again under the same id since it was removed
        still_closed = [
            identifier
            for identifier in closed
            if identifier not in records.session_table.records and identifier not in records.claims
        ]
        if closed:
            for member in self.node.follower.membership.members:
                self.node.tell_member(member.id, message.SessionsClosed(self.owner.pool, list(closed)))
        update = self.update(session_records, claim_records, still_closed)
        self.notify_cores(update)
        if not await self.replicate(update):
            records.changed_sessions_and_claims = {**changed, **records.changed_sessions_and_claims}
            records.closed_ids = {**closed, **records.closed_ids}
