"""How a new pool owner gathers the records of its pool from all members before it answers anything."""

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
"""How long members and core machines have for their answer."""

ABSENT_REPLICAS_WAIT_US = 3 * units.SECOND_US
"""How long a new owner waits for a member of the last group before it goes on without."""

log = loguru.logger.bind(part="takeover")

Answers = collections.abc.Mapping[str, message.RecordsResponse]


class MergedRecords(typing.NamedTuple):
    """The newest record of each session and of each claimed request."""

    sessions: dict[str, message.SessionRecord]
    claims: dict[str, message.Claim]


def merge_answers(answers: Answers, use_affinities: bool) -> MergedRecords:
    """Merge what members hold: the newest record of each session and of each claim.

    Args:
        answers: The members' answers, by member.
        use_affinities: Whether sessions that a member only remembers as its own client's count,
            where no copy of the record is left.

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
    """Merge the sessions that core machines keep: the newest record of each.

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
    """Gathers the records of one new pool owner and replicates them."""

    def __init__(self, owner: pool_owner.PoolOwner) -> None:
        self.owner = owner
        self.node = owner.node
        self.runtime = owner.runtime

    async def gather(self) -> bool:
        """Ask every live node for what it holds, and bring the copies up to date.

        Returns:
            Whether the owner now has all records; False to try again, or where the owner has ended.
        """
        owner = self.owner
        members = list(self.node.follower.membership.members)
        responses = await self.node.call_members(members, self._request(), GATHER_DEADLINE_US)
        if not owner.is_live():
            return False
        answers = {member: answer for member, answer in responses.items() if answer is not None}
        if any(not answer.ok for answer in answers.values()):
            owner.end()  # a member has seen a newer term
            return False
        now = self.runtime.now()
        base = [member for member in owner.assignment.base if member in answers and answers[member].has_replica]
        if not base and self._may_wait_for_replicas(members, answers, now):
            return False
        if base:  # what an earlier owner had lost is lost to this one too
            owner.claims_missing_until_us = max(now + answers[member].claims_missing_us for member in base)
        merged = merge_answers(answers, use_affinities=not base)
        for member in sorted(answers):
            owner.records.budget.add(now, answers[member].first_attempts, answers[member].retries)
        if not base:
            for session in await self._gather_from_cores():
                merged.sessions.setdefault(session.id, session)
        grants = [grant for answer in answers.values() for grant in answer.grants]
        owner.records.load_merged(
            list(merged.sessions.values()), merged.claims.values(), grants, answered_at=now, now=self.runtime.now()
        )
        return await self._replicate_all(bool(base))

    def _request(self) -> message.RecordsRequest:
        return message.RecordsRequest(self.owner.pool, self.owner.assignment.term, self.owner.member_id)

    def _may_wait_for_replicas(self, members: list[message.Member], answers: Answers, now: int) -> bool:
        """Whether a member of the last group is live but did not answer, and there is time to ask again."""
        absent = [member.id for member in members if member.id not in answers]
        return any(member in absent for member in self.owner.assignment.base) and (
            now - self.owner.started_at_us < ABSENT_REPLICAS_WAIT_US
        )

    async def _replicate_all(self, from_replica: bool) -> bool:
        """Replicate the gathered records to all copies; False where not all of them confirmed.

        Args:
            from_replica: Whether a copy of the last group that holds all records was among the answers.
        """
        owner = self.owner
        owner.check_workers()
        snapshot = owner.replicator.snapshot()
        if not await owner.replicator.replicate(snapshot):
            return False
        owner.replicator.notify_cores(snapshot)
        owner.gathered = True
        if owner.claims_may_be_missing() and not from_replica:
            log.warning("No copy of pool {pool}'s records answers: claims may be lost.", pool=owner.pool)
        return True

    async def _gather_from_cores(self) -> list[message.SessionRecord]:
        """Return the sessions that core machines keep, for when no node's copy is left.

        Where most core machines answer and none has ever heard of the pool, it is new, and
        no claim was lost.
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
