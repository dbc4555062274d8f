"""The records of one pool at its owner: sessions, claims, grants, and the changes not yet replicated.

This module does no input or output; `replication` sends the changes to the replicas.
"""

from __future__ import annotations

import collections.abc

from iriswheel import errors
from iriswheel.dataplane import retry_budget, sessions
from iriswheel.pools import claims, in_flight
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

ABANDONED_RETENTION_US = 60 * units.SECOND_US
"""Time for which an abandoned attempt gets no grant, in case its `SelectWorker` request arrives late."""

LOST_GRANT_US = 3 * units.SECOND_US
"""Time without a listing in its node's grant reports after which a grant counts as lost and is released."""

_NO_LOAD = in_flight.InFlightLoad()


class PoolRecords:
    """A pool owner's sessions, claims, grants and retry budget.

    Args:
        slot_freed: Woken whenever a grant ends, so that waiting requests try again to get a slot.
    """

    def __init__(self, slot_freed: scheduler.Signal) -> None:
        self.slot_freed = slot_freed
        self.session_table: sessions.SessionTable[str] = sessions.SessionTable()
        self.claims: dict[str, claims.Claim] = {}  # by request id
        self.grants: dict[str, in_flight.HeldGrant] = {}  # by attempt id
        self.load_by_worker: dict[str, in_flight.InFlightLoad] = {}
        self.abandoned: dict[str, int] = {}  # attempt id -> time until which it gets no grant, in µs
        self.budget = retry_budget.Budget()  # for the requests of all nodes to this pool
        # by session id or request id: the records changed, and those closed or removed, since the last replication
        self.changed_sessions_and_claims: dict[str, claims.Claim | sessions.Session[str]] = {}
        self.closed_ids: dict[str, None] = {}

    # ---- grants ------------------------------------------------------------------

    def load(self, worker: str) -> in_flight.InFlightLoad:
        """Return a worker's load in flight; callers must not modify it."""
        return self.load_by_worker.get(worker, _NO_LOAD)

    def add_grant(
        self, grant: message.WorkerGrant, now: int, claim: claims.Claim | None = None, charged_at: int | None = None
    ) -> None:
        """Record a grant and add it to its worker's load in flight.

        Args:
            grant: The grant, whose attempt id has no grant yet.
            now: The present time, in µs.
            claim: The claim recorded with the grant, if any.
            charged_at: When the grant was charged to the retry budget, in µs; None if it was not.
        """
        self.grants[grant.attempt_id] = in_flight.HeldGrant(grant, now, claim, charged_at)
        self.load_by_worker.setdefault(grant.worker, in_flight.InFlightLoad()).add(grant)

    def release(self, attempt_id: str, outcome: errors.ExecutionOutcome, now: int) -> None:
        """End a grant, and wake the requests that wait for a slot.

        Args:
            attempt_id: The attempt whose grant ends.
            outcome: Whether the attempt ran. If it did not, its claim is removed, its charge to the retry budget is
                refunded, and the session that it opened is closed.
            now: The present time, in µs.
        """
        held = self.grants.pop(attempt_id, None)
        if held is None:
            if outcome == errors.ExecutionOutcome.NOT_RUN:
                self._abandon(attempt_id, now)
            return
        if outcome == errors.ExecutionOutcome.NOT_RUN:
            self.budget.refund(held.charged_at)
        self.load_by_worker[held.grant.worker].drop(attempt_id)
        self._end_turn(held.grant, outcome, now)
        self._settle_claim(held.claim, outcome, now)
        self.slot_freed.wake()

    def _abandon(self, attempt_id: str, now: int) -> None:
        """Refuse an abandoned attempt from now on, and undo what an earlier owner recorded for it."""
        self.abandoned[attempt_id] = now + ABANDONED_RETENTION_US
        for claim in [claim for claim in self.claims.values() if claim.attempt_id == attempt_id]:
            self.remove_claim(claim)
        opened = [
            session
            for session in self.session_table.records.values()
            if session.opened_by == attempt_id and not session.turns
        ]
        for session in opened:
            self.close_session(session)

    def _end_turn(self, grant: message.WorkerGrant, outcome: errors.ExecutionOutcome, now: int) -> None:
        session = self.session_table.affinity(grant.session)
        if session is None or session.worker != grant.worker:
            return
        session.turns = max(0, session.turns - 1)
        not_run = outcome == errors.ExecutionOutcome.NOT_RUN
        if not_run and session.opened_by == grant.attempt_id and not session.turns:
            self.close_session(session)  # the first turn did not run, so the worker holds no prefix for it
        else:
            self.session_table.extend(session, now)
            self.changed_sessions_and_claims[session.id] = session
        if not not_run:
            session.opened_by = ""

    def _settle_claim(self, claim: claims.Claim | None, outcome: errors.ExecutionOutcome, now: int) -> None:
        if claim is None or self.claims.get(claim.request_id) is not claim:
            return
        if outcome == errors.ExecutionOutcome.NOT_RUN:
            self.remove_claim(claim)
        else:
            claim.state = claims.ClaimState.RAN
            claim.expires_at_us = now + claims.RETENTION_US
            self.changed_sessions_and_claims[claim.request_id] = claim

    def take_report(self, report: message.GrantReport, now: int) -> None:
        """Process a node's report: release its abandoned attempts, and the grants unlisted for LOST_GRANT_US."""
        for attempt_id in report.abandoned_attempts:
            if attempt_id not in self.abandoned:
                self.release(attempt_id, errors.ExecutionOutcome.NOT_RUN, now)
                self.abandoned[attempt_id] = now + ABANDONED_RETENTION_US
        listed = set(report.attempt_ids)
        for attempt_id, held in list(self.grants.items()):
            if held.grant.node != report.node:
                continue
            if attempt_id in listed:
                held.listed_at = now
            elif now - held.listed_at > LOST_GRANT_US:
                self.release(attempt_id, errors.ExecutionOutcome.MAY_HAVE_RUN, now)

    def release_grants_of_lost_nodes(self, live_nodes: collections.abc.Container[str], now: int) -> None:
        """Release the grants of nodes that are no longer members and have not listed them for LOST_GRANT_US."""
        for attempt_id, held in list(self.grants.items()):
            if held.grant.node not in live_nodes and now - held.listed_at > LOST_GRANT_US:
                self.release(attempt_id, errors.ExecutionOutcome.MAY_HAVE_RUN, now)

    # ---- sessions and claims -----------------------------------------------------

    def close_session(self, session: sessions.Session[str]) -> None:
        """Close a session here, and on every replica with the next update."""
        self.session_table.close(session.id)
        self.closed_ids[session.id] = None

    def evict(self, worker: str) -> int:
        """Close all sessions of a worker, and return how many there were."""
        evicted = self.session_table.evict(worker)
        for session in evicted:
            self.closed_ids[session.id] = None
        return len(evicted)

    def remove_claim(self, claim: claims.Claim) -> None:
        """Remove a claim that has expired or whose request did not run."""
        del self.claims[claim.request_id]
        self.closed_ids[claim.request_id] = None

    def sweep(self, now: int) -> int:
        """Remove expired sessions, claims and abandoned attempts, and return how many sessions were closed."""
        expired = self.session_table.sweep(now)
        for session in expired:
            self.closed_ids[session.id] = None
        for claim in [claim for claim in self.claims.values() if claim.expires_at_us < now]:
            self.remove_claim(claim)
        for attempt_id in [attempt_id for attempt_id, until in self.abandoned.items() if until < now]:
            del self.abandoned[attempt_id]
        return len(expired)

    # ---- as messages -------------------------------------------------------------

    def export(self, now: int) -> tuple[list[message.SessionRecord], list[message.Claim]]:
        """Return all sessions and claims as messages, with the time from `now` until each expires."""
        return (
            [sessions.to_message(session, now) for session in self.session_table.records.values()],
            [claim.export(now) for claim in self.claims.values()],
        )

    def load_merged(
        self,
        session_records: collections.abc.Collection[message.SessionRecord],
        claim_records: collections.abc.Iterable[message.Claim],
        grants: collections.abc.Iterable[message.WorkerGrant],
        answered_at: int,
        now: int,
    ) -> None:
        """Load the records that a takeover has merged from the members' answers.

        Args:
            session_records: One record for each session.
            claim_records: One record for each claimed request.
            grants: All grants that the members hold.
            answered_at: When the members answered, in µs; the remaining times of the records count from then.
            now: The present time, in µs.
        """
        table = self.session_table
        table.version = max((record.version for record in session_records), default=0)
        for record in session_records:
            session = table.open(record.id, record.worker, answered_at, record.lifetime_us, record.cost)
            session.expires_at_us, session.opened_by = answered_at + record.left_us, record.attempt_id
        claim_by_attempt: dict[str, claims.Claim] = {}
        for claim_record in claim_records:
            claim = claims.from_message(claim_record, answered_at)
            claim_by_attempt[claim.attempt_id] = self.claims[claim.request_id] = claim
        for grant in grants:
            self.add_grant(grant, now, claim_by_attempt.get(grant.attempt_id))
            held_session = table.affinity(grant.session)
            if held_session is not None and held_session.worker == grant.worker:
                held_session.turns += 1
