"""Worker selection by a pool's owner, and the bypass to a session's known worker while that owner does not answer."""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.dataplane import local_member, request_router
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces, owner_client, request_counts, routed_request

RETRY_INTERVAL_US = 50 * units.MILLISECOND_US
REJOIN_WAIT_US = 1 * units.SECOND_US  # a request waits so long for this node to rejoin, or for a worker after one broke
LATE_GRANT_TOLERANCE_US = 1 * units.SECOND_US  # a grant may come so long after the request's time and still be used


class SelectedWorker(typing.NamedTuple):
    """A worker, and the member that relays to it if this node does not reach it ("" where none is known)."""

    worker: message.Worker
    relay_member: str


class SessionAffinity(typing.NamedTuple):
    """The worker that a session was last granted, until the session's lifetime is over."""

    worker: str
    expires_at_us: int


NO_AFFINITY = SessionAffinity("", 0)


class WorkerSelector:
    """Selects workers by asking the pools' owners; remembers each session's worker for when an owner is silent."""

    def __init__(
        self,
        node: interfaces.DataPlaneNode,
        router: request_router.RequestRouter,
        owners: owner_client.OwnerClient,
        counts: request_counts.GatewayCounts,
    ) -> None:
        self.node = node
        self.runtime = node.runtime
        self.router = router
        self.owners = owners
        self.counts = counts  # of the gateway; `bypasses` is counted here
        self.affinities: dict[tuple[str, str], SessionAffinity] = {}  # by pool and session

    async def select_worker(self, request: routed_request.RoutedRequest, excluded_workers: list[str]) -> SelectedWorker:
        """Get a worker for a request, waiting for one as long as the request may.

        Args:
            request: The request; its route is found anew where the configuration changed meanwhile.
            excluded_workers: Ids of the workers of earlier attempts.

        Raises:
            errors.ServiceError: None is to be had: the owner refuses, or the time is over.
        """
        last_error: errors.ServiceError | None = None
        while True:
            self.router.reroute(request)
            left_us = request.deadline_us - self.runtime.now()
            if left_us <= 0:
                raise last_error or errors.ServiceError(
                    "no_warden", "The pool's warden does not answer.", request.known_outcome()
                )
            if self._is_disconnected():
                last_error = errors.ServiceError("not_ready", "This node is cut off for now.", request.known_outcome())
                request.deadline_us = min(request.deadline_us, request.arrived_at_us + REJOIN_WAIT_US)
                await self.runtime.sleep(min(left_us, RETRY_INTERVAL_US))
                continue
            assignment = self.owners.assignment(request.pool_name)
            selection = None
            if assignment is not None:
                selection = await self.owners.select_worker(request, assignment, excluded_workers, left_us)
            selected = None
            match selection:
                case message.SelectionGranted():
                    selected = self._accept(request, selection)
                case message.SelectionDenied():
                    last_error = self._denial(request, selection)
                case None:
                    selected = self._bypass(request, excluded_workers)
            if selected is not None:
                return selected
            await self.runtime.sleep(RETRY_INTERVAL_US)

    def may_send(self, request: routed_request.RoutedRequest, worker: message.Worker) -> bool:
        """Whether a worker is ready now and its pool still in a route for the request; the check before a send."""
        follower = self.node.follower
        path = request_router.request_path(request)
        return (
            follower.accepts_requests(worker.id)
            and worker.pool == request.pool_name
            and not follower.needs_rejoin()
            and not follower.configuration_may_be_stale()
            and any(
                route.pool == request.pool_name and request_router.covers(route.path, path)
                for route in follower.routes.values()
            )
        )

    def forget_sessions(self, pool: str, identifiers: list[str]) -> None:
        """Forget where sessions were pinned: the pool's owner has closed them."""
        for identifier in identifiers:
            self.affinities.pop((pool, identifier), None)

    def forget_expired_sessions(self, now: int) -> None:
        """Forget the sessions whose lifetime is over."""
        for key in [key for key, affinity in self.affinities.items() if affinity.expires_at_us < now]:
            del self.affinities[key]

    def export_sessions(self, pool: str, now: int) -> list[message.SessionRecord]:
        """Return where the sessions of a pool are pinned, for the pool's new owner."""
        return [
            message.SessionRecord(session, affinity.worker, left_us, left_us, 0, 0)
            for (session_pool, session), affinity in sorted(self.affinities.items())
            if session_pool == pool and (left_us := affinity.expires_at_us - now) > 0
        ]

    def _is_disconnected(self) -> bool:
        follower = self.node.follower
        return follower.needs_rejoin() or not follower.has_worker_update() or follower.configuration_may_be_stale()

    def _accept(self, request: routed_request.RoutedRequest, grant: message.SelectionGranted) -> SelectedWorker | None:
        """Accept a grant; returns None and releases it where it came too late or the worker may no longer be used."""
        pool_name = request.pool_name
        assignment = self.owners.assignment(pool_name)
        worker = self.node.follower.workers_by_id.get(grant.worker)
        if (
            assignment is None
            or grant.term < assignment.term
            or worker is None
            or not self.may_send(request, worker)
            or self.runtime.now() >= request.deadline_us + LATE_GRANT_TOLERANCE_US
        ):
            self.owners.release(request, errors.ExecutionOutcome.NOT_RUN)
            request.renew_attempt_id()
            return None
        if request.session:
            expires_at_us = self.runtime.now() + grant.session_us
            self.affinities[(pool_name, request.session)] = SessionAffinity(grant.worker, expires_at_us)
        self.node.grants[request.attempt_id] = message.WorkerGrant(
            pool_name,
            request.attempt_id,
            local_member.member_id(self.node),
            grant.worker,
            request.session,
            request.work_units,
            request.is_long,
        )
        return SelectedWorker(worker, grant.relay)

    def _denial(self, request: routed_request.RoutedRequest, denial: message.SelectionDenied) -> errors.ServiceError:
        """Return the error for a denial after which the owner may be asked again; raises that of a final one."""
        if denial.code == "no_warden":
            return errors.ServiceError("no_warden", denial.text, request.known_outcome())
        outcome = errors.ExecutionOutcome(denial.execution)
        if outcome is errors.ExecutionOutcome.NOT_RUN:
            outcome = request.known_outcome()  # the owner knows of this attempt alone
        code = typing.cast("errors.ErrorCode", denial.code)  # the owner's, of the same codes
        raise errors.ServiceError(code, denial.text, outcome, denial.retry_us)

    def _bypass(self, request: routed_request.RoutedRequest, excluded_workers: list[str]) -> SelectedWorker | None:
        """While the pool owner is silent, return the worker that this node last used for the session, or None.

        Only a first attempt of an idempotent request may go without the owner, who keeps claims and retry budget.
        """
        if not request.idempotent or not request.session or request.is_retry:
            return None  # repeats go by the pool owner's budget
        key = (request.pool_name, request.session)
        affinity = self.affinities.get(key, NO_AFFINITY)
        worker = self.node.follower.workers_by_id.get(affinity.worker)
        now = self.runtime.now()
        if (
            worker is None
            or affinity.expires_at_us <= now
            or affinity.worker in excluded_workers
            or not self.may_send(request, worker)
            or not self.node.follower.has_worker_update()
        ):
            return None
        self.affinities[key] = SessionAffinity(affinity.worker, now + request.terms.lifetime_us)
        self.counts.bypasses += 1
        return SelectedWorker(worker, "")
