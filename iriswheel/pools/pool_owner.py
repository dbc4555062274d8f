"""The pool owner: the node that selects the workers of one pool, for one term of that role.

The pool owner keeps the pool's session records, the grants that use the slots of its workers, and the claims on
requests that must not run twice. New sessions and claims are replicated to other nodes before the grant is sent
to the requesting node. A new pool owner first gathers these records from all members and only then answers requests.
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
"""The validity period that each grant message carries; nodes ignore it and use the request's own time limit."""

GATHER_RETRY_US = 200 * units.MILLISECOND_US
ACTIVATION_RETRY_US = 100 * units.MILLISECOND_US
REPLICATION_RETRY_US = 50 * units.MILLISECOND_US
POOL_QUERY_RETRY_US = 50 * units.MILLISECOND_US

SWEEPS_PER_SNAPSHOT = 6
"""Number of sweeps after which all records are replicated again, in case a replica has missed an update."""

POOL_ROLE_PREFIX = "pool/"

log = loguru.logger.bind(part="pool_owner")

SelectionResponse = message.SelectionGranted | message.SelectionDenied


class RevocationState(enum.StrEnum):
    """The values of `RevokeResponse.state` that are not a `ClaimState`."""

    NEVER_SENT = ""  # the pool has not sent the request, and has recorded a revocation
    UNKNOWN = "unknown"  # a claim on the request may have been lost
    RETRY_LATER = "later"  # the pool's owner can't answer yet


class PoolOwner:
    """The owner of one pool on this node, for one term of the role."""

    def __init__(self, node: interfaces.OwnerNode, pool: str, assignment: message.RoleAssignment) -> None:
        self.node = node
        self.runtime = node.runtime
        self.member_id = local_member.member_id(node)
        self.pool = pool
        self.assignment = assignment
        self.slot_freed = scheduler.Signal()  # wakes the waiting requests: a slot, the role or the worker list changed
        self.records = pool_records.PoolRecords(self.slot_freed)
        self.waiting = 0  # selections under way, most of which wait for a free slot
        self.gathered = False  # whether the records of earlier owners are loaded and replicated
        self.started_at_us = self.runtime.now()
        # claims that earlier owners made may have been lost until this time; by then all of them have expired
        self.claims_missing_until_us = self.started_at_us + claims.RETENTION_US
        self.watch = worker_watch.WorkerWatch(self)
        self.selector = selection.WorkerSelector(pool, self.records, self.watch)
        self.replicator = replication.RecordReplicator(self)
        self.takeover = takeover.Takeover(self)
        self.ended = False
        self.counts = selection_counts.SelectionCounts()

    # ---- role --------------------------------------------------------------------

    def is_live(self) -> bool:
        """Whether this node holds the role under this term, by the newest membership and term that it has seen."""
        return not self.ended and self.node.pool_owners.get(self.pool) is self

    def is_active(self) -> bool:
        """Whether this owner may grant workers.

        It may once it has gathered its records, the membership lists it as active under its term, this node has a
        worker list, and this node does not have to rejoin the fleet.
        """
        assignment = self.node.follower.assignment(f"{POOL_ROLE_PREFIX}{self.pool}")
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
        """Whether claims that earlier owners made may have been lost and may not have expired yet."""
        return self.runtime.now() < self.claims_missing_until_us

    async def run(self) -> None:
        """Gather the records, start the background tasks, and report the role as activated to the core."""
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
        """Stop granting workers, since the role was assigned anew under a newer term."""
        self.ended = True
        self.slot_freed.wake()

    def hand_over_to(self, replica: session_replicas.SessionReplica) -> None:
        """Store the records in this node's own replica for the next owner; do nothing if they were not gathered."""
        if self.gathered:
            now = self.runtime.now()
            replica.replace(*self.records.export(now), self.claims_missing_until_us, now)

    async def sweep(self) -> None:
        """Remove expired records every `sessions.SWEEP_US`; replicate all records every SWEEPS_PER_SNAPSHOT sweeps."""
        sweeps = 0
        while self.is_live():
            await self.runtime.sleep(sessions.SWEEP_US)
            sweeps += 1
            if sweeps % SWEEPS_PER_SNAPSHOT == 0 and self.is_active():
                self.replicator.notify_cores(self.replicator.snapshot())
                await self.replicator.replicate(self.replicator.snapshot())
            self.counts.closed_sessions += self.records.sweep(self.runtime.now())
            self.check_workers()

    def check_workers(self) -> None:
        """Close the sessions of workers that accept no new requests, and release the grants of lost nodes."""
        follower = self.node.follower
        if follower.updated_at is None:
            return  # without a worker list, every worker would seem unavailable
        unavailable = [
            worker
            for worker in self.records.session_table.by_worker
            if not follower.accepts_requests(worker) or worker in self.watch.ejected
        ]
        for worker in unavailable:
            self.counts.closed_sessions += self.records.evict(worker)
        live_nodes = {member.id for member in follower.membership.members}
        self.records.release_grants_of_lost_nodes(live_nodes, self.runtime.now())
        self.slot_freed.wake()

    # ---- grants ------------------------------------------------------------------

    def release(self, attempt_id: str, outcome: errors.ExecutionOutcome) -> None:
        """End a grant with the execution outcome that the requesting node reports."""
        self.records.release(attempt_id, outcome, self.runtime.now())

    def take_report(self, report: message.GrantReport) -> None:
        """Process a node's report of the grants that it holds and the workers that answered it recently."""
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
        """Return a denial of a selection, and count it."""
        self.counts.denials += 1
        return message.SelectionDenied(self.assignment.term, code, text, outcome.value, retry_us)

    def _granted(self, request: message.SelectWorker, worker: str, affinity: bool) -> message.SelectionGranted:
        session = self.records.session_table.affinity(request.session)
        left_us = session.expires_at_us - self.runtime.now() if session is not None else 0
        return message.SelectionGranted(
            self.assignment.term, worker, GRANT_USE_US, affinity, left_us, self.watch.relay_for(worker, request.node)
        )

    # ---- requests that must not run twice -----------------------------------------

    def refuse_if_claimed(self, request: message.SelectWorker) -> message.SelectionDenied | None:
        """Return a denial if a request that must not run twice may have been sent already, else None."""
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
        if claim.covers_attempt(request.attempt_id) or (claim.is_revocation() and request.attempt != 1):
            return None
        outcome = _outcome_of_claim(claim.state)
        return self.deny("already_sent", "This exchange was sent before and may not be repeated.", outcome)

    async def query_other_pools(self, request: message.SelectWorker) -> str:
        """Ask the owners of all other pools whether a retried request was sent to one of their workers.

        Each pool keeps its own claims, and the route may have moved to another pool between two attempts of a request.
        An owner whose pool has not sent the request records a revocation, and from then on refuses its first attempt.

        Returns:
            `RevocationState.NEVER_SENT` if no pool has sent the request, `RETRY_LATER` if an owner gave no answer,
            else the state of the last claim that was reported.
        """
        state = ""
        for assignment in self.node.follower.membership.assignments:
            if not assignment.key.startswith(POOL_ROLE_PREFIX) or assignment.key == self.assignment.key:
                continue
            holders = [member for member in self.node.follower.membership.members if member.id == assignment.holder]
            other_pool = assignment.key.removeprefix(POOL_ROLE_PREFIX)
            revocation = message.RevokeRequest(other_pool, self.pool, request.request_id)
            responses = await self.node.call_members(holders, revocation, replication.REPLICATION_DEADLINE_US)
            response = responses.get(assignment.holder)
            if response is None or response.state == RevocationState.RETRY_LATER:
                return RevocationState.RETRY_LATER.value
            state = response.state or state
        return state

    async def revoke(self, revocation: message.RevokeRequest) -> message.RevokeResponse:
        """Answer whether this pool has sent a request that is now retried in another pool.

        If it has not, a revocation (a claim on behalf of the other pool) is recorded and replicated before the
        answer. This pool then refuses the request's first attempt, should that arrive late.
        """
        if not self.is_active():
            return message.RevokeResponse(RevocationState.RETRY_LATER.value)
        known = self.records.claims.get(revocation.request_id)
        if known is not None and not known.is_revocation():
            return message.RevokeResponse(known.state.value)
        if known is None and self.claims_may_be_missing():
            return message.RevokeResponse(RevocationState.UNKNOWN.value)
        now = self.runtime.now()
        claim = claims.Claim(
            revocation.request_id,
            0,
            self.member_id,
            f"{claims.REVOCATION_PREFIX}{revocation.requesting_pool}",
            now + claims.RETENTION_US,
        )
        self.records.claims[revocation.request_id] = claim
        replicated = await self.replicator.replicate(self.replicator.update([], [claim.export(now)], []))
        recorded = replicated and self.records.claims.get(revocation.request_id) is claim
        return message.RevokeResponse((RevocationState.NEVER_SENT if recorded else RevocationState.RETRY_LATER).value)

    # ---- selection ---------------------------------------------------------------

    async def select_worker(self, request: message.SelectWorker) -> SelectionResponse:
        """Select a worker for a request, record its session and claim, and wait for a free slot if necessary."""
        self.counts.selections += 1
        if not request.is_retry:
            first_id = request.request_id or request.attempt_id.rpartition("/")[0]
            self.records.budget.record_first_attempt(self.runtime.now(), first_id)
        deadline_us = self.runtime.now() + request.wait_us
        self.waiting += 1
        try:
            await self._check_excluded_workers(request.excluded_workers)
            return await self._select_until(request, deadline_us)
        finally:
            self.waiting -= 1

    async def _check_excluded_workers(self, workers: list[str]) -> None:
        """Have the workers of the request's failed attempts probed, since perhaps no node reaches them."""
        for name in workers:
            worker = self.node.follower.workers_by_id.get(name)
            if worker is not None and worker.state == message.WorkerState.READY and name not in self.watch.ejected:
                await self.watch.check(worker)

    async def _select_until(self, request: message.SelectWorker, deadline_us: int) -> SelectionResponse:
        # whether it is certain that no other pool has sent an earlier attempt of the request
        unsent_elsewhere = request.idempotent or not request.request_id or request.attempt == 1
        while True:
            pool = self.node.follower.pool(self.pool)
            response = self._immediate_response(request, pool)
            if response is not None:
                return response
            if pool is not None and self.is_active():
                if unsent_elsewhere:
                    response = await self._choose(request, pool)
                else:
                    unsent_elsewhere, response = await self._check_other_pools(request)
                    if response is None and deadline_us > self.runtime.now():
                        continue  # the role, the claims or the configuration may have changed during the query
                if response is not None:
                    return response
            left_us = deadline_us - self.runtime.now()
            if left_us <= 0 and not self.is_active():
                return self.deny("no_warden", "No slot came free in time.")
            if left_us <= 0:
                outcome = errors.ExecutionOutcome.NOT_RUN if unsent_elsewhere else errors.ExecutionOutcome.MAY_HAVE_RUN
                return self.deny("busy", "No slot came free in time.", outcome)
            await self.runtime.pause(self.slot_freed, left_us)

    def _immediate_response(
        self, request: message.SelectWorker, pool: configuration.Pool | None
    ) -> SelectionResponse | None:
        """Return the response to a request that needs no selection; None if a worker must be selected for it."""
        refusal = self._refuse_outdated(request)
        if refusal is not None or not self.is_active():
            return refusal
        if pool is None:
            return self.deny("no_route", f"The blueprint has no pool {self.pool}.")
        return self._response_from_records(request)

    def _refuse_outdated(self, request: message.SelectWorker) -> message.SelectionDenied | None:
        if not self.is_live() or request.term != self.assignment.term:
            return self.deny("no_warden", "This owner's term has ended.")
        if request.attempt_id in self.records.abandoned:
            return self.deny("no_warden", "This send was given up.")
        return None

    async def _check_other_pools(self, request: message.SelectWorker) -> tuple[bool, message.SelectionDenied | None]:
        """Return whether no other pool has sent a retried request, and the denial if one has.

        If another pool's owner gave no answer, return False without a denial, after POOL_QUERY_RETRY_US.
        """
        state = await self.query_other_pools(request)
        if state == RevocationState.NEVER_SENT:
            return True, None
        if state != RevocationState.RETRY_LATER:
            text = "This exchange was sent before, to another pool."
            return False, self.deny("already_sent", text, _outcome_of_claim(state))
        await self.runtime.sleep(POOL_QUERY_RETRY_US)
        return False, None

    def _response_from_records(self, request: message.SelectWorker) -> SelectionResponse | None:
        """Return the grant that an attempt already holds, or a denial if its request may have been sent before."""
        held = self.records.grants.get(request.attempt_id)
        if held is not None:
            return self._granted(request, held.grant.worker, True)
        return self.refuse_if_claimed(request)

    async def _choose(self, request: message.SelectWorker, pool: configuration.Pool) -> SelectionResponse | None:
        """Return a grant or a denial; None if the request should wait for a free slot."""
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
        """Record a grant, and return it once the session that it opened and its claim are replicated.

        Without the replicas, the next owner could grant a worker again to a request that must not run twice.
        """
        now = self.runtime.now()
        session, opened = self._extend_or_open_session(request, worker, now)
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
        return await self._grant_after_replication(request, worker, new_session, claim, affinity)

    def _extend_or_open_session(
        self, request: message.SelectWorker, worker: str, now: int
    ) -> tuple[sessions.Session[str] | None, bool]:
        """Return the request's session on a worker, if it has one, and whether the session was opened now.

        A session that is open on another worker is closed and opened anew on this one.
        """
        table = self.records.session_table
        session = table.affinity(request.session)
        if session is not None and session.worker != worker:
            self.records.close_session(session)
            self.counts.closed_sessions += 1
            session = None
        if session is not None:
            self.counts.affinity_hits += 1
            # the configured lifetime and cost of sessions may have changed since the last turn
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

    async def _grant_after_replication(
        self,
        request: message.SelectWorker,
        worker: str,
        opened: sessions.Session[str] | None,
        claim: claims.Claim | None,
        affinity: bool,
    ) -> SelectionResponse:
        """Return a grant once all replicas have confirmed its records; release it if they don't in time."""
        now = self.runtime.now()
        update = self.replicator.update(
            [sessions.to_message(opened, now)] if opened is not None else [],
            [claim.export(now)] if claim is not None else [],
            [],
        )
        deadline_us = now + max(request.wait_us, replication.REPLICATION_DEADLINE_US)
        while not await self.replicator.replicate(update):
            if not self.is_live() or self.runtime.now() > deadline_us:
                if opened is not None and self.records.session_table.affinity(opened.id) is opened:
                    self.records.close_session(opened)
                self.release(request.attempt_id, errors.ExecutionOutcome.NOT_RUN)
                return self.deny("no_warden", "The copies of this pool's records don't answer.")
            await self.runtime.sleep(REPLICATION_RETRY_US)
        if opened is not None:
            opened.pending = False
            self.records.changed_sessions_and_claims[opened.id] = opened
            self.slot_freed.wake()
        if request.attempt_id not in self.records.grants:
            return self.deny("no_warden", "This send was given up.")
        return self._granted(request, worker, affinity)

    # ---- state -------------------------------------------------------------------

    def state(self) -> dict[str, object]:
        """Return the owner's entry in the node's state, which `GET /state` shows."""
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
    """Return the execution outcome that a claim's state, or a `RevocationState`, implies for its request.

    >>> _outcome_of_claim("ran").value, _outcome_of_claim("unknown").value
    ('ran', 'may_have_run')
    """
    if state == claims.ClaimState.RAN:
        return errors.ExecutionOutcome.RAN
    return errors.ExecutionOutcome.MAY_HAVE_RUN
