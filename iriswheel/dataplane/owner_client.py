"""A node's calls to the pools' owners: selection of a worker, release of a grant."""

from __future__ import annotations

import typing

import loguru
from twisted.internet import defer

from iriswheel import errors
from iriswheel.dataplane import local_member
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces, routed_request

OWNER_SILENCE_US = 600 * units.MILLISECOND_US  # time without any message after which a pool owner counts as silent
CHECK_INTERVAL_US = 100 * units.MILLISECOND_US  # between two checks whether the asked owner is silent
RESPONSE_MARGIN_US = 500 * units.MILLISECOND_US  # wait for the owner's answer beyond the request's deadline
ABANDONED_REPORT_US = 10 * units.SECOND_US  # time for which grant reports list an abandoned attempt

Selection: typing.TypeAlias = message.SelectionDenied | message.SelectionGranted

log = loguru.logger.bind(part="owner_client")


class AbandonedAttempt(typing.NamedTuple):
    """An attempt given up before it was sent; grant reports to its pool's owner list it until `reported_until_us`."""

    pool_name: str
    reported_until_us: int


class OwnerClient:
    """Sends this node's calls to the pools' owners, one of which may be this node itself."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node
        self.runtime = node.runtime

    def assignment(self, pool_name: str) -> message.RoleAssignment | None:
        """Return the role assignment that names a pool's owner, or None if the role is not assigned."""
        return self.node.follower.assignment(f"pool/{pool_name}")

    async def select_worker(
        self,
        request: routed_request.RoutedRequest,
        assignment: message.RoleAssignment,
        excluded_workers: list[str],
        left_us: int,
    ) -> Selection | None:
        """Ask the owner of a request's pool for a worker.

        Args:
            request: The request to be sent.
            assignment: The owner's role assignment.
            excluded_workers: Ids of the workers of earlier attempts.
            left_us: The time until the request's deadline.

        Returns:
            The owner's decision, or None if it is silent.
        """
        query = self._query(request, assignment, excluded_workers, left_us)
        request.grant_requested = True
        if assignment.holder == local_member.member_id(self.node):
            return await self._ask_local_owner(query)
        owner = self.node.follower.member(assignment.holder)
        if owner is None:
            return None
        return await self._ask_peer(owner, query, left_us)

    def release(self, request: routed_request.RoutedRequest, outcome: errors.ExecutionOutcome) -> None:
        """Release a request's grant at the pool's owner, with the outcome of its attempt.

        The notice may be lost. Therefore grant reports repeat the outcome NOT_RUN for ABANDONED_REPORT_US.
        """
        if not request.grant_requested:
            return
        request.grant_requested = False
        pool_name, attempt_id = request.pool_name, request.attempt_id
        self.node.grants.pop(attempt_id, None)
        if outcome == errors.ExecutionOutcome.NOT_RUN:
            reported_until_us = self.runtime.now() + ABANDONED_REPORT_US
            self.node.abandoned_attempts[attempt_id] = AbandonedAttempt(pool_name, reported_until_us)
        assignment = self.assignment(pool_name)
        if assignment is not None:
            self.node.tell_member(assignment.holder, message.GrantReleased(pool_name, attempt_id, outcome.value))

    def _query(
        self,
        request: routed_request.RoutedRequest,
        assignment: message.RoleAssignment,
        excluded_workers: list[str],
        left_us: int,
    ) -> message.SelectWorker:
        return message.SelectWorker(
            request.pool_name,
            assignment.term,
            local_member.member_id(self.node),
            request.attempt_id,
            request.request_id,
            request.attempt_number,
            request.idempotent,
            request.session,
            request.parts,
            request.work_units,
            request.is_long,
            excluded_workers,
            {"lifetime_us": request.terms.lifetime_us, "cost": request.terms.cost},
            left_us,
            request.is_retry,
        )

    async def _ask_local_owner(self, query: message.SelectWorker) -> Selection | None:
        owner = self.node.pool_owners.get(query.pool)
        if owner is None:
            return None
        # The owner's selection runs as a task of its own that is never cancelled: if the request is cancelled
        # meanwhile, its grant is released instead.
        answer: defer.Deferred[Selection | None] = defer.Deferred()

        def deliver(selection: Selection | None) -> None:
            if not answer.called:
                answer.callback(selection)

        self.runtime.spawn(owner.select_worker(query), log).addBoth(deliver)
        return await answer

    async def _ask_peer(self, owner: message.Member, query: message.SelectWorker, left_us: int) -> Selection | None:
        try:
            connection = await self.node.peers.connection_to(owner.host, owner.port)
        except wire.ConnectionBrokenError:
            return None
        call = connection.call(query, left_us + RESPONSE_MARGIN_US)
        answers: list[Selection | None] = []
        answered = scheduler.Signal()
        call.addCallbacks(answers.append, lambda _: answers.append(None))
        call.addBoth(lambda _: answered.wake())
        try:
            while not answers:
                await self.runtime.pause(answered, CHECK_INTERVAL_US)
                if not answers and self.runtime.now() - connection.last_received > OWNER_SILENCE_US:
                    return None
            return answers[0]
        finally:
            call.cancel()
