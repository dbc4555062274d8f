"""Takeover: a new pool owner gathers the records of its pool from all members before it grants any worker."""

from __future__ import annotations

import collections.abc
import typing

import loguru
from twisted.internet import defer

from iriswheel.pools import claims
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.pools import pool_owner

GATHER_DEADLINE_US = 600 * units.MILLISECOND_US
"""Time limit for the answers of members and core machines."""

ABSENT_REPLICAS_WAIT_US = 3 * units.SECOND_US
"""Time for which a new owner retries while no replica has answered and a node that should hold one is absent."""

log = loguru.logger.bind(part="takeover")

Answers = collections.abc.Mapping[str, message.RecordsResponse]


class MergedRecords(typing.NamedTuple):
    """The newest session record of each session id, and the newest claim of each request id."""

    sessions: dict[str, message.SessionRecord]
    claims: dict[str, message.Claim]


def merge_answers(answers: Answers, use_affinities: bool) -> MergedRecords:
    """Merge the records of all members into the newest record of each session and of each claim.

    Args:
        answers: The members' answers, by member id.
        use_affinities: Whether to add sessions known only from the session affinities that a node keeps for its own
            clients; for use when no replica of the records answered.

    >>> old = message.SessionRecord("s", "w1", 5, 9, 0, 1)
    >>> new = message.SessionRecord("s", "w2", 5, 9, 0, 2)
    >>> responses = {"n1": message.RecordsResponse(True, [new]), "n2": message.RecordsResponse(True, [old])}
    >>> merge_answers(responses, use_affinities=False).sessions["s"].worker
    'w2'
    """
    merged = MergedRecords({}, {})
    for member in sorted(answers):
        answer = answers[member]
        for session in answer.sessions:
            _keep_newer_session(merged.sessions, session)
        for claim in answer.claims:
            _keep_newer_claim(merged.claims, claim)
        if use_affinities:
            for session in answer.affinities:
                merged.sessions.setdefault(session.id, session)
    return merged


def merge_core_sessions(
    answers: collections.abc.Iterable[message.RecordsResponse],
) -> dict[str, message.SessionRecord]:
    """Merge the sessions that the core machines keep into the newest record of each session.

    >>> merge_core_sessions([message.RecordsResponse(True)])
    {}
    """
    merged: dict[str, message.SessionRecord] = {}
    for answer in answers:
        for session in answer.sessions:
            _keep_newer_session(merged, session)
    return merged


def _keep_newer_session(merged: dict[str, message.SessionRecord], session: message.SessionRecord) -> None:
    known = merged.get(session.id)
    if known is None or (session.version, session.left_us) > (known.version, known.left_us):
        merged[session.id] = session


def _keep_newer_claim(merged: dict[str, message.Claim], claim: message.Claim) -> None:
    known = merged.get(claim.request_id)
    if known is None or _claim_order(claim) > _claim_order(known):
        merged[claim.request_id] = claim


def _claim_order(claim: message.Claim) -> tuple[int, bool]:
    return claim.attempt, claim.state == claims.ClaimState.RAN


class Takeover:
    """Gathers the records of a pool for its new owner, and replicates them to the new replica nodes."""

    def __init__(self, owner: pool_owner.PoolOwner) -> None:
        self.owner = owner
        self.node = owner.node
        self.runtime = owner.runtime

    async def gather(self) -> bool:
        """Ask all members for the pool's records, load the merged records, and replicate them.

        Returns:
            Whether the records are loaded and replicated; False if the caller should try again, or if the owner's
            term has ended.
        """
        owner = self.owner
        members = list(self.node.follower.membership.members)
        responses = await self.node.call_members(members, self._request(), GATHER_DEADLINE_US)
        if not owner.is_live():
            return False
        answers = {member: answer for member, answer in responses.items() if answer is not None}
        if any(not answer.ok for answer in answers.values()):
            owner.end()  # a member that has seen a newer term refuses this one
            return False
        now = self.runtime.now()
        # `base` names the members of the last active replica group
        replica_holders = [
            member for member in owner.assignment.base if member in answers and answers[member].has_replica
        ]
        if not replica_holders and self._may_wait_for_replicas(members, answers, now):
            return False
        if replica_holders:  # claims that the previous owner had lost are missing from its replicas as well
            owner.claims_missing_until_us = max(now + answers[member].claims_missing_us for member in replica_holders)
        merged = merge_answers(answers, use_affinities=not replica_holders)
        for member in sorted(answers):
            owner.records.budget.add(now, answers[member].first_attempts, answers[member].retries)
        if not replica_holders:
            for session in await self._gather_from_cores():
                merged.sessions.setdefault(session.id, session)
        grants = [grant for answer in answers.values() for grant in answer.grants]
        owner.records.load_merged(
            list(merged.sessions.values()), merged.claims.values(), grants, answered_at=now, now=self.runtime.now()
        )
        return await self._replicate_all(bool(replica_holders))

    def _request(self) -> message.RecordsRequest:
        return message.RecordsRequest(self.owner.pool, self.owner.assignment.term, self.owner.member_id)

    def _may_wait_for_replicas(self, members: list[message.Member], answers: Answers, now: int) -> bool:
        """Whether a node of the last active replica group gave no answer and there is still time to retry."""
        absent = [member.id for member in members if member.id not in answers]
        return any(member in absent for member in self.owner.assignment.base) and (
            now - self.owner.started_at_us < ABSENT_REPLICAS_WAIT_US
        )

    async def _replicate_all(self, from_replica: bool) -> bool:
        """Replicate the gathered records to all replica nodes; return False if one of them did not confirm.

        Args:
            from_replica: Whether a complete replica from the last active replica group was among the answers.
        """
        owner = self.owner
        owner.check_workers()
        snapshot = owner.replicator.snapshot()
        if not await owner.replicator.replicate(snapshot):
            return False
        owner.replicator.notify_cores(snapshot)
        owner.gathered = True
        if owner.claims_may_be_missing() and not from_replica:
            log.warning(
                "No node answered with a replica of pool {pool}'s records: claims may be lost, and retries of "
                "requests that must not run twice may be refused.",
                pool=owner.pool,
            )
        return True

    async def _gather_from_cores(self) -> list[message.SessionRecord]:
        """Return the sessions that the core machines keep, for a takeover in which no node has a replica.

        If a majority of the core machines answer and none of them has a record of an earlier owner, the pool is new
        and no claim was lost. Otherwise claims may be missing until they would have expired.
        """
        cores = self.node.follower.membership.cores
        calls = [
            defer.ensureDeferred(self.node.peers.call(core.host, core.port, self._request(), GATHER_DEADLINE_US))
            for core in cores
        ]
        results = await defer.DeferredList(calls, consumeErrors=True)
        answers = [answer for _, answer in results if isinstance(answer, message.RecordsResponse) and answer.ok]
        may_be_known = 2 * len(answers) <= len(cores) or any(answer.has_replica for answer in answers)
        self.owner.claims_missing_until_us = self.runtime.now() + claims.RETENTION_US if may_be_known else 0
        return list(merge_core_sessions(answers).values())
