"""Copies of a pool's records on other nodes and on the core machines.

What a grant depends on is copied before the grant is answered; expiries and closed sessions
follow a few times a second.
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
"""How long the nodes that keep copies have for their answer."""

BACKGROUND_REPLICATION_INTERVAL_US = 300 * units.MILLISECOND_US


class RecordReplicator:
    """Sends one pool owner's records to the nodes that keep copies, and to the core machines."""

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
        """Return a message with the records that changed."""
        owner = self.owner
        return message.ReplicateRecords(
            owner.pool, owner.assignment.term, self.owner.member_id, session_records, claim_records, closed
        )

    def snapshot(self) -> message.ReplicateRecords:
        """Return a message with all records, for a process that has none of them."""
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
        """Send an update to every node that keeps copies; False unless all of them confirmed it.

        A copy that has seen a newer term refuses; this owner then ends, as another holds the role.
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
        """Send the sessions of an update to the core machines; nothing waits for it."""
        self.node.follower.session.tell(
            message.ReplicateRecords(
                update.pool, update.term, update.owner, update.sessions, [], update.closed, update.complete
            )
        )

    async def run(self) -> None:
        """Copy what changed a few times a second, for as long as the owner lives."""
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
        # an id may have been opened anew since it was closed
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
