"""Worker selection through a pool's owner, and the bypass to a session's known worker while the owner is silent."""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.dataplane import local_member, request_router
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces, owner_client, request_counts, routed_request

RETRY_INTERVAL_US = 50 * units.MILLISECOND_US  # between two attempts to get a worker for a request
REJOIN_WAIT_US = 1 * units.SECOND_US
"""Longest wait of a request for this node to rejoin, or for another worker after one failed."""

LATE_GRANT_TOLERANCE_US = 1 * units.SECOND_US  # time after a request's deadline in which a grant is still used


class SelectedWorker(typing.NamedTuple):
    """A worker, and the id of the member that relays to it if this node can't reach it; "" if no relay is known."""

    worker: message.Worker
    relay_member: str


class SessionAffinity(typing.NamedTuple):
    """The worker to which a session's last turn was granted, valid until the session expires."""

    worker: str
    expires_at_us: int


NO_AFFINITY = SessionAffinity("", 0)


class WorkerSelector:
    """Selects workers by asking the pools' owners, and remembers the sessions' workers in case an owner is silent."""

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
        self.counts = counts  # the gateway's counts, of which `bypasses` is updated here
        self.affinities: dict[tuple[str, str], SessionAffinity] = {}  # by (pool, session id)

    async def select_worker(self, request: routed_request.RoutedRequest, excluded_workers: list[str]) -> SelectedWorker:
        """Get a worker for a request, and wait for one until the request's deadline.

        Args:
            request: The request, which is routed again if the configuration changes during the wait.
            excluded_workers: Ids of the workers of earlier attempts.

        Raises:
            errors.ServiceError: The owner denied the request, or no worker was granted before the deadline.
        """
        last_error: errors.ServiceError | None = None
        while True:
            self.router.reroute(request)
            left_us = request.deadline_us - self.runtime.now()
            if left_us <= 0:
                raise last_error or errors.ServiceError(
                    "no_warden",
                    "The pool's warden does not answer.",
                    request.known_outcome(),
                )
            if self._has_outdated_view():
                last_error = errors.ServiceError(
                    "not_ready",
                    "This node is cut off for now.",
                    request.known_outcome(),
                )
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
        """Whether a request may be sent to a worker now.

        The worker must accept requests, a route for the request must lead to its pool, and this node's configuration
        must not be outdated.
        """
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
        """Forget the workers of sessions that the pool's owner has closed."""
        for identifier in identifiers:
            self.affinities.pop((pool, identifier), None)

    def forget_expired_sessions(self, now: int) -> None:
        """Forget the workers of expired sessions."""
        for key in [key for key, affinity in self.affinities.items() if affinity.expires_at_us < now]:
            del self.affinities[key]

    def export_sessions(self, pool: str, now: int) -> list[message.SessionRecord]:
        """Return the known sessions of a pool with their workers, for the pool's new owner."""
        return [
            message.SessionRecord(session, affinity.worker, left_us, left_us, 0, 0)
            for (session_pool, session), affinity in sorted(self.affinities.items())
            if session_pool == pool and (left_us := affinity.expires_at_us - now) > 0
        ]

    def _has_outdated_view(self) -> bool:
        follower = self.node.follower
        return follower.needs_rejoin() or not follower.has_worker_update() or follower.configuration_may_be_stale()

    def _accept(self, request: routed_request.RoutedRequest, grant: message.SelectionGranted) -> SelectedWorker | None:
        """Accept a grant; or release it and return None if it is too late or outdated, or its worker can't be used."""
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
        """Return the error for a denial after which the owner may be asked again; raise the error of a final denial."""
        if denial.code == "no_warden":
            return errors.ServiceError("no_warden", denial.text, request.known_outcome())
        outcome = errors.ExecutionOutcome(denial.execution)
        if outcome is errors.ExecutionOutcome.NOT_RUN:
            outcome = request.known_outcome()  # the owner knows only of this attempt, not of earlier ones
        code = typing.cast("errors.ErrorCode", denial.code)  # the owner uses the same error codes
        raise errors.ServiceError(code, denial.text, outcome, denial.retry_us)

    def _bypass(self, request: routed_request.RoutedRequest, excluded_workers: list[str]) -> SelectedWorker | None:
        """Without an answer from the pool's owner, return the worker that the request's session last used, or None.

        Only the first attempt of an idempotent request may bypass the owner, because the owner keeps the retry budget
        and the claims that prevent a second run of other requests.
        """
        if not request.idempotent or not request.session or request.is_retry:
            return None  # retries need the retry budget of the pool's owner
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
