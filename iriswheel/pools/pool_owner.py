"""The pool owner: the node whose role is to select a pool's workers, under a term.

It owns the pool's session records, the slots of its workers, the load in flight and
the claims on requests that may not be repeated. New sessions and claims
are replicated to other nodes before their grant is answered; a new pool owner gathers them before it answers anything.
"""

from __future__ import annotations

import enum
import typing

import loguru

from iriswheel import errors
from iriswheel.dataplane import local_member, sessions
from iriswheel.pools import claims, pool_records, replication, selection, selection_counts, takeover, worker_watch
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.pools import interfaces, session_replicas

GRANT_USE_US = 2 * units.SECOND_US
"""Sent with each grant as the time for which it may be used; nodes go by the request's own time limit instead."""

GATHER_RETRY_US = 200 * units.MILLISECOND_US
ACTIVATION_RETRY_US = 100 * units.MILLISECOND_US
COPY_RETRY_US = 50 * units.MILLISECOND_US
POOL_QUERY_RETRY_US = 50 * units.MILLISECOND_US

SWEEPS_PER_SNAPSHOT = 6
"""After so many sweeps the copies get all records, in case one of them has missed something."""

ROLE_KEY_PREFIX = "pool/"

log = loguru.logger.bind(part="pool_owner")

SelectionResponse = message.SelectionGranted | message.SelectionDenied


class RevocationState(enum.StrEnum):
    """The states that `RevokeResponse` adds to those of a claim."""

    NEVER_SENT = ""
    UNKNOWN = "unknown"
    LATER = "later"


class PoolOwner:
    """One pool's owner, for as long as the role is at this node under one term."""

    def __init__(self, node: interfaces.OwnerNode, pool: str, assignment: message.RoleAssignment) -> None:
        self.node = node
        self.runtime = node.runtime
        self.member_id = local_member.member_id(node)
        self.pool = pool
        self.assignment = assignment
        self.slot_freed = scheduler.Signal()  # woken when a waiting request should look again
        self.records = pool_records.PoolRecords(self.slot_freed)
        self.waiting = 0  # requests that wait for a worker
        self.gathered = False
        self.started_at_us = self.runtime.now()
        # until when claims of earlier owners may be missing here
        self.claims_missing_until_us = self.started_at_us + claims.RETENTION_US
        self.watch = worker_watch.WorkerWatch(self)
        self.selector = selection.WorkerSelector(pool, self.records, self.watch)
        self.replicator = replication.RecordReplicator(self)
        self.takeover = takeover.Takeover(self)
        self.ended = False
        self.counts = selection_counts.SelectionCounts()

    # ---- role --------------------------------------------------------------------

    def is_live(self) -> bool:
        """Whether this term still is the newest that this node knows."""
        return not self.ended and self.node.pool_owners.get(self.pool) is self

    def is_active(self) -> bool:
        """Whether this owner may answer: it has its records, and the membership lists it as active."""
        assignment = self.node.follower.assignment(f"{ROLE_KEY_PREFIX}{self.pool}")
        return (
            self.is_live()
            and self.gathered
            and assignment is not None
            and assignment.term == self.assignment.term
            and assignment.active
            and not self.node.follower.needs_rejoin()
            and self.node.follower.updated_at is not None
        )

    def claims_may_be_missing(self) -> bool:
        """Whether claims made under earlier owners may have been lost."""
        return self.runtime.now() < self.claims_missing_until_us

    async def run(self) -> None:
        """Gather the records, take up the role, then look after the records."""
        while self.is_live() and not await self.takeover.gather():
            await self.runtime.sleep(GATHER_RETRY_US)
        for coroutine in (self.sweep(), self.replicator.run(), self.watch.run()):
            self.runtime.spawn(coroutine, log)
        while self.is_live() and not self.is_active():
            self.node.follower.session.tell(message.RoleActivated(self.assignment.key, self.assignment.term))
            await self.runtime.sleep(ACTIVATION_RETRY_US)
            self.slot_freed.wake()
        log.info(
            "Owner of pool {pool} is active: term {term}, {sessions} sessions.",
            pool=self.pool,
            term=self.assignment.term,
            sessions=len(self.records.session_table.records),
        )

    def end(self) -> None:
        """Stop answering: another member holds the role, under a newer term."""
        self.ended = True
        self.slot_freed.wake()

    def hand_over_to(self, replica: session_replicas.SessionReplica) -> None:
        """Put the records, if all were gathered, into this node's own replica for the next owner."""
        if self.gathered:
            now = self.runtime.now()
            replica.replace(*self.records.export(now), self.claims_missing_until_us, now)

    async def sweep(self) -> None:
        """Drop expired records every few seconds; every SWEEPS_PER_SNAPSHOT sweeps replicate all records."""
        sweeps = 0
        while self.is_live():
            await self.runtime.sleep(sessions.SWEEP_US)
            sweeps += 1
            if sweeps % SWEEPS_PER_SNAPSHOT == 0 and self.is_active():
                self.replicator.notify_cores(self.replicator.snapshot())
                await self.replicator.copy(self.replicator.snapshot())
            self.counts.closed_sessions += self.records.sweep(self.runtime.now())
            self.check_workers()

    def check_workers(self) -> None:
        """Close the sessions of workers that get no new requests, release the grants of lost nodes."""
        follower = self.node.follower
        if follower.updated_at is None:
            return  # no worker list yet: a missing worker may only be unlisted
        unavailable = [
            worker
            for worker in self.records.session_table.by_worker
            if not follower.accepts_requests(worker) or worker in self.watch.ejected
        ]
        for worker in unavailable:
            self.counts.closed_sessions += self.records.evict(worker)
        live_nodes = {member.id for member in follower.membership.members}
        self.records.release_lost_nodes(live_nodes, self.runtime.now())
        self.slot_freed.wake()

    # ---- grants ------------------------------------------------------------------

    def release(self, attempt_id: str, outcome: errors.ExecutionOutcome) -> None:
        """End a grant with the outcome that its node reports."""
        self.records.release(attempt_id, outcome, self.runtime.now())

    def take_report(self, report: message.GrantReport) -> None:
        """Take a node's report: the grants it holds, and the workers it heard from."""
        for worker in report.reachable_workers:
            self.watch.note_contact(worker, report.node)
        self.records.take_report(report, self.runtime.now())

    def deny(
        self,
        code: str,
        text: str,
        outcome: errors.ExecutionOutcome = errors.ExecutionOutcome.NOT_RUN,
        retry_us: int = units.SECOND_US,
    ) -> message.SelectionDenied:
        """Count and return a refusal."""
        self.counts.denials += 1
        return message.SelectionDenied(self.assignment.term, code, text, outcome.value, retry_us)

    def _granted(self, request: message.SelectWorker, worker: str, affinity: bool) -> message.SelectionGranted:
        session = self.records.session_table.affinity(request.session)
        left_us = session.expires_at_us - self.runtime.now() if session is not None else 0
        return message.SelectionGranted(
            self.assignment.term, worker, GRANT_USE_US, affinity, left_us, self.watch.relay_for(worker, request.node)
        )

    # ---- requests that may not be repeated ----------------------------------------

    def refuse_if_claimed(self, request: message.SelectWorker) -> message.SelectionDenied | None:
        """Return why a request that may not be repeated can't be sent, or None where it can."""
        if request.idempotent or not request.request_id:
            return None
        claim = self.records.claims.get(request.request_id)
        if claim is None:
            if request.attempt != 1 and self.claims_may_be_missing():
                return self.deny(
                    "already_sent",
                    "Whether this exchange ran before is no longer known.",
                    errors.ExecutionOutcome.MAY_HAVE_RUN,
                )
            return None
        if claim.is_same_call(request.attempt_id) or (claim.was_revoked() and request.attempt != 1):
            return None
        outcome = _outcome_of_claim(claim.state)
        return self.deny("already_sent", "This exchange was sent before and may not be repeated.", outcome)

    async def query_pools(self, request: message.SelectWorker) -> str:
        """Ask all other pools' owners whether a retry was sent there; each that says no forbids it from then on.

        The route may have moved between two attempts, and claims are kept by pool.

        Returns:
            "" where it was sent nowhere, "later" where an owner gave no answer, else the state of
            the last claim that an owner named.
        """
        state = ""
        for assignment in self.node.follower.membership.assignments:
            if not assignment.key.startswith(ROLE_KEY_PREFIX) or assignment.key == self.assignment.key:
                continue
            holders = [member for member in self.node.follower.membership.members if member.id == assignment.holder]
            other_pool = assignment.key.removeprefix(ROLE_KEY_PREFIX)
            revocation = message.RevokeRequest(other_pool, self.pool, request.request_id)
            responses = await self.node.call_members(holders, revocation, replication.COPY_DEADLINE_US)
            response = responses.get(assignment.holder)
            if response is None or response.state == RevocationState.LATER:
                return RevocationState.LATER.value
            state = response.state or state
        return state

    async def revoke(self, revocation: message.RevokeRequest) -> message.RevokeResponse:
        """Answer another pool's owner that asks for a retry; what was never sent here never will be."""
        if not self.is_active():
            return message.RevokeResponse(RevocationState.LATER.value)
        known = self.records.claims.get(revocation.request_id)
        if known is not None and not known.was_revoked():
            return message.RevokeResponse(known.state.value)
        if known is None and self.claims_may_be_missing():
            return message.RevokeResponse(RevocationState.UNKNOWN.value)
        now = self.runtime.now()
        claim = claims.Claim(
            revocation.request_id,
            0,
            self.member_id,
            f"{claims.REVOKED_PREFIX}{revocation.requesting_pool}",
            now + claims.RETENTION_US,
        )
        self.records.claims[revocation.request_id] = claim
        copied = await self.replicator.copy(self.replicator.update([], [claim.export(now)], []))
        stands = copied and self.records.claims.get(revocation.request_id) is claim
        return message.RevokeResponse((RevocationState.NEVER_SENT if stands else RevocationState.LATER).value)

    # ---- selection ---------------------------------------------------------------

    async def select_worker(self, request: message.SelectWorker) -> SelectionResponse:
        """Choose a worker for a request, open its session and claim it; wait for a free slot if need be."""
        self.counts.selections += 1
        if not request.is_retry:
            first_id = request.request_id or request.attempt_id.rpartition("/")[0]
            self.records.budget.record_first_attempt(self.runtime.now(), first_id)
        deadline_us = self.runtime.now() + request.wait_us
        self.waiting += 1
        try:
            await self._check_unreached(request.excluded_workers)
            return await self._select_until(request, deadline_us)
        finally:
            self.waiting -= 1

    async def _check_unreached(self, workers: list[str]) -> None:
        """Check the workers that the requesting node could not reach: perhaps no node reaches them."""
        for name in workers:
            worker = self.node.follower.workers_by_id.get(name)
            if worker is not None and worker.state == message.WorkerState.READY and name not in self.watch.ejected:
                await self.watch.check(worker)

    async def _select_until(self, request: message.SelectWorker, deadline_us: int) -> SelectionResponse:
        # whether other pools need not be asked for an earlier attempt
        cleared = request.idempotent or not request.request_id or request.attempt == 1
        while True:
            pool = self.node.follower.pool(self.pool)
            response = self._response_without_choice(request, pool)
            if response is not None:
                return response
            if pool is not None and self.is_active():
                if cleared:
                    response = await self._choose(request, pool)
                else:
                    cleared, response = await self._clear_with_other_pools(request)
                    if response is None and deadline_us > self.runtime.now():
                        continue  # all may have changed meanwhile
                if response is not None:
                    return response
            left_us = deadline_us - self.runtime.now()
            if left_us <= 0 and not self.is_active():
                return self.deny("no_warden", "No seat came free in time.")
            if left_us <= 0:
                outcome = errors.ExecutionOutcome.NOT_RUN if cleared else errors.ExecutionOutcome.MAY_HAVE_RUN
                return self.deny("busy", "No seat came free in time.", outcome)
            await self.runtime.pause(self.slot_freed, left_us)

    def _response_without_choice(
        self, request: message.SelectWorker, pool: configuration.Pool | None
    ) -> SelectionResponse | None:
        """Return the answer to a request for which no worker is chosen now; None where one is, or it waits."""
        refusal = self._refuse_outdated(request)
        if refusal is not None or not self.is_active():
            return refusal
        if pool is None:
            return self.deny("no_route", f"The blueprint has no pool {self.pool}.")
        return self._known_response(request)

    def _refuse_outdated(self, request: message.SelectWorker) -> message.SelectionDenied | None:
        if not self.is_live() or request.term != self.assignment.term:
            return self.deny("no_warden", "The duty has gone elsewhere.")
        if request.attempt_id in self.records.abandoned:
            return self.deny("no_warden", "This send was given up.")
        return None

    async def _clear_with_other_pools(
        self, request: message.SelectWorker
    ) -> tuple[bool, message.SelectionDenied | None]:
        """Return whether a retry was sent to no other pool, and the refusal where it was."""
        state = await self.query_pools(request)
        if state == RevocationState.NEVER_SENT:
            return True, None
        if state != RevocationState.LATER:
            text = "This exchange was sent before, to another pool."
            return False, self.deny("already_sent", text, _outcome_of_claim(state))
        await self.runtime.sleep(POOL_QUERY_RETRY_US)
        return False, None

    def _known_response(self, request: message.SelectWorker) -> SelectionResponse | None:
        """Return the answer to a request that holds a grant already, or that may not be sent."""
        held = self.records.grants.get(request.attempt_id)
        if held is not None:
            return self._granted(request, held.grant.worker, True)
        return self.refuse_if_claimed(request)

    async def _choose(self, request: message.SelectWorker, pool: configuration.Pool) -> SelectionResponse | None:
        """Grant a worker or refuse the request; None where it should wait."""
        now = self.runtime.now()
        if request.is_retry and not self.records.budget.has_capacity(now):
            wait_us = self.records.budget.wait_us(now)
            return self.deny("retry_budget", "Too many retries for now.", retry_us=wait_us)
        follower = self.node.follower
        workers = [worker for worker in follower.workers if follower.accepts_requests(worker.id)]
        choice = self.selector.pick(request, pool, workers, now)
        if isinstance(choice, str):
            return await self.grant(request, choice)
        if choice is not None:
            return self.deny(choice.code, choice.text, retry_us=choice.retry_us)
        if self.waiting > pool.waiting:
            return self.deny("busy", "Too many exchanges wait for this pool.")
        return None

    async def grant(self, request: message.SelectWorker, worker: str) -> SelectionResponse:
        """Record a grant; answer once what it opened or claimed is replicated.

        Without the copies, an owner after this one could grant a request again that may not be repeated.
        """
        now = self.runtime.now()
        session, opened = self._use_session(request, worker, now)
        if session is not None:
            session.turns += 1
        claim = self._claim(request, now)
        if request.is_retry:
            self.records.budget.spend(now)
        grant = message.WorkerGrant(
            self.pool, request.attempt_id, request.node, worker, request.session, request.work, request.long
        )
        self.records.add_grant(grant, now, claim, now if request.is_retry else None)
        self.selector.prefixes.remember(worker, request.prefix)
        affinity = session is not None and not opened
        new_session = session if opened else None
        if new_session is None and claim is None:
            return self._granted(request, worker, affinity)
        return await self._grant_after_copy(request, worker, new_session, claim, affinity)

    def _use_session(
        self, request: message.SelectWorker, worker: str, now: int
    ) -> tuple[sessions.Session[str] | None, bool]:
        """Return the request's session on a worker, extended or opened, and whether it was opened."""
        table = self.records.session_table
        session = table.affinity(request.session)
        if session is not None and session.worker != worker:
            self.records.close_session(session)
            self.counts.closed_sessions += 1
            session = None
        if session is not None:
            self.counts.affinity_hits += 1
            # the terms may have changed
            session.lifetime_us, session.cost = request.terms["lifetime_us"], request.terms["cost"]
            table.extend(session, now)
            self.records.changed_sessions_and_claims[session.id] = session
            return session, False
        if not request.session:
            return None, False
        session = table.open(request.session, worker, now, request.terms["lifetime_us"], request.terms["cost"])
        session.pending, session.opened_by = True, request.attempt_id
        self.counts.opened_sessions += 1
        return session, True

    def _claim(self, request: message.SelectWorker, now: int) -> claims.Claim | None:
        if request.idempotent or not request.request_id:
            return None
        claim = claims.Claim(
            request.request_id, request.attempt, request.node, request.attempt_id, now + claims.RETENTION_US
        )
        self.records.claims[request.request_id] = claim
        self.counts.claims += 1
        return claim

    async def _grant_after_copy(
        self,
        request: message.SelectWorker,
        worker: str,
        opened: sessions.Session[str] | None,
        claim: claims.Claim | None,
        affinity: bool,
    ) -> SelectionResponse:
        """Answer a grant once all copies have its records; release it where they don't confirm in time."""
        now = self.runtime.now()
        update = self.replicator.update(
            [sessions.to_message(opened, now)] if opened is not None else [],
            [claim.export(now)] if claim is not None else [],
            [],
        )
        deadline_us = now + max(request.wait_us, replication.COPY_DEADLINE_US)
        while not await self.replicator.copy(update):
            if not self.is_live() or self.runtime.now() > deadline_us:
                if opened is not None and self.records.session_table.affinity(opened.id) is opened:
                    self.records.close_session(opened)
                self.release(request.attempt_id, errors.ExecutionOutcome.NOT_RUN)
                return self.deny("no_warden", "The copies of this pool's records don't answer.")
            await self.runtime.sleep(COPY_RETRY_US)
        if opened is not None:
            opened.pending = False
            self.records.changed_sessions_and_claims[opened.id] = opened
            self.slot_freed.wake()
        if request.attempt_id not in self.records.grants:
            return self.deny("no_warden", "This send was given up.")
        return self._granted(request, worker, affinity)

    # ---- state -------------------------------------------------------------------

    def state(self) -> dict[str, object]:
        """Return what a node shows of this owner."""
        records = self.records
        return {
            "pool": self.pool,
            "term": list(self.assignment.term),
            "seated": self.is_active(),
            "broken": self.claims_may_be_missing(),
            "sessions": {
                worker: len(opened) for worker, opened in sorted(records.session_table.by_worker.items()) if opened
            },
            "in_flight": {
                worker: len(load.grants) for worker, load in sorted(records.load_by_worker.items()) if load.grants
            },
            "claims": len(records.claims),
            "waiting": self.waiting,
            "counts": self.counts.state(),
        }


def _outcome_of_claim(state: str) -> errors.ExecutionOutcome:
    """What the state of a claim says of its request.

    >>> _outcome_of_claim("ran").value, _outcome_of_claim("unknown").value
    ('ran', 'may_have_run')
    """
    if state == claims.ClaimState.RAN:
        return errors.ExecutionOutcome.RAN
    return errors.ExecutionOutcome.MAY_HAVE_RUN
