"""A node's entry point for client requests: admission, worker selection, attempts and the answer to the client."""

from __future__ import annotations

import typing

from twisted.internet import defer

from iriswheel import errors
from iriswheel.configuration import schema
from iriswheel.dataplane import (
    attempt_outcome,
    attempt_registry,
    client_disconnect,
    dispatch,
    edge_protocol,
    forwarding,
    local_member,
    node_budgets,
    owner_client,
    relay,
    request_counts,
    request_router,
    routed_request,
    status_calls,
    work_queue,
    worker_selection,
)
from iriswheel.runtime import scheduler

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces
    from iriswheel.transport import http_server, message

MAX_ATTEMPTS = 4  # attempts of a request that may break before it is given up; a route may set fewer
# For each of the two work queues: the requests that may wait (backlog) and that may run at a time (concurrency). Long
# requests have their own queue, so that short ones do not wait behind them.
SHORT_BACKLOG = 512
SHORT_CONCURRENCY = 256
LONG_BACKLOG = 64
LONG_CONCURRENCY = 48


class Gateway:
    """Takes the HTTP requests of a node: admits them, selects workers, and sends or relays to them."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node
        self.runtime = node.runtime
        self.counts = request_counts.GatewayCounts()
        self.refused: dict[str, int] = {}  # count of refused requests, by error code
        self.retry_budgets = node_budgets.NodeBudgets(node)
        self.router = request_router.RequestRouter(node, self.retry_budgets)
        self.owners = owner_client.OwnerClient(node)
        self.selector = worker_selection.WorkerSelector(node, self.router, self.owners, self.counts)
        self.attempts = attempt_registry.AttemptRegistry(node)
        self.relays = relay.RelayServer(node)
        self.status_calls = status_calls.StatusCalls(node)
        self.forwarder = forwarding.Forwarder(node)
        self.short_requests = work_queue.WorkQueue(self.runtime, SHORT_BACKLOG, SHORT_CONCURRENCY, self.run_queued)
        self.long_requests = work_queue.WorkQueue(self.runtime, LONG_BACKLOG, LONG_CONCURRENCY, self.run_queued)
        self.received_requests = 0  # requests since the start, with those relayed for peers; part of each attempt id
        self.open_requests = 0  # requests under way, with those relayed for peers
        self.request_ended = scheduler.Signal()  # wakes at the end of each request

    async def handle(self, request: http_server.Request) -> None:
        """Answer a status call, relay a peer's request to a worker, or serve a client's request.

        Raises:
            errors.ServiceError: The request is refused; the HTTP server answers with this error.
        """
        # Where clients may send any method, each request here is a client's: the node has another address for status
        # calls, and never answers a client itself, whether or not it knows a route for the path.
        if not self.node.edge_protocol.accepts_any_method and self.status_calls.answer(request):
            return
        if request.requestHeaders.hasHeader(edge_protocol.RELAY_HEADER):
            await self.relay_for_peer(request)
            return
        self.counts.requests += 1
        self.open_requests += 1
        try:
            await self.serve(request)
        except errors.ServiceError as error:
            self.refused[error.code] = self.refused.get(error.code, 0) + 1
            raise
        finally:
            self.open_requests -= 1
            self.request_ended.wake()

    async def serve(self, http_request: http_server.Request) -> None:
        """Admit a request, charge it to its tenant's rate limit, and forward it.

        Only requests in pools with an owner are queued, since they wait for the owner's grant. Where the node selects
        the worker itself, it sends or refuses a request at once. Just after its start, a node holds every request for
        a short time until it is ready to serve.
        """
        attempt_id = f"{self._next_id()}/0"
        request = routed_request.RoutedRequest(http_request, attempt_id, self.runtime.now())
        self.router.parse(request)
        await self.node.startup.hold(request.parsed.left_us)
        if http_request.client_disconnected:
            self.counts.disconnected += 1
            return
        self.router.admit(request)
        if request.tenant is None or not request.tenant.rate:
            await self.serve_admitted(request)
            return
        charge = await self.node.rate_limiter.charge(request.tenant_name, request.tenant.cost(request.parsed.tokens))
        try:
            self.router.authenticator.check_freshness()
            await self.serve_admitted(request)
        except errors.ServiceError as error:
            if error.execution is errors.ExecutionOutcome.NOT_RUN:
                self.node.rate_limiter.refund(charge)
            raise

    async def serve_admitted(self, request: routed_request.RoutedRequest) -> None:
        """Forward a request at once where this node selects the worker; queue it where the pool's owner does."""
        if request.pool.election == schema.Election.NODE:
            await self.forwarder.forward(request)
            return
        request.done = defer.Deferred()
        queue = self.long_requests if request.is_long else self.short_requests
        if not queue.put(request):
            raise errors.ServiceError("busy", "The work queue of this node is full for now.")
        await request.done

    async def run_queued(self, request: routed_request.RoutedRequest) -> None:
        """Run one request from a work queue and fire its `done`.

        A request whose client has disconnected is not sent, or cancelled where it is under way.
        """
        if request.http_request.client_disconnected:
            self.counts.disconnected += 1
            request.done.callback(None)
            return
        try:
            await client_disconnect.run_until_disconnect(request.http_request, self.send_with_grants(request))
        except defer.CancelledError:
            self.counts.disconnected += 1
            request.done.callback(None)
        except Exception as error:  # of any type: the task that serves the request handles it
            request.done.errback(error)
        else:
            request.done.callback(None)

    async def send_with_grants(self, request: routed_request.RoutedRequest) -> None:
        """Send a request to one worker after another, each granted by the pool owner, until one has answered.

        Raises:
            errors.ServiceError: The request is given up, and no byte of an answer has gone to the client.
        """
        excluded_workers: list[str] = []
        broken_attempts = 0
        while True:
            execution = errors.ExecutionOutcome.NOT_RUN
            try:
                worker, relay_member = await self.selector.select_worker(request, excluded_workers)
                if request.is_retry:
                    self.retry_budgets.budget(request).retries.append(self.runtime.now())
                    self.counts.retries += 1
                execution = errors.ExecutionOutcome.MAY_HAVE_RUN
                attempt = self.attempts.begin(request.attempt_id, worker.id)
                match await self.send(request, worker, attempt, relay_member):
                    case attempt_outcome.AttemptOutcome.COMPLETE:
                        execution = errors.ExecutionOutcome.RAN
                        self.counts.completed += 1
                        return
                    case attempt_outcome.AttemptOutcome.INTERRUPTED:
                        self.counts.interrupted += 1
                        request.http_request.break_off()
                        return
                    case attempt_outcome.AttemptOutcome.UNSENT:
                        execution = errors.ExecutionOutcome.NOT_RUN
                    case attempt_outcome.AttemptOutcome.BROKE:
                        request.may_have_run = True
                        broken_attempts += 1
                        request.deadline_us = max(
                            request.deadline_us, self.runtime.now() + worker_selection.REJOIN_WAIT_US
                        )
            finally:
                self.attempts.end(request.attempt_id)
                self.owners.release(request, execution)
            excluded_workers.append(worker.id)
            request.renew_attempt_id()
            if broken_attempts and (not request.idempotent or broken_attempts >= max_attempts(request)):
                raise errors.ServiceError(
                    "worker_broke", f"Worker {worker.id} gave no answer.", errors.ExecutionOutcome.MAY_HAVE_RUN
                )

    async def send(
        self,
        request: routed_request.RoutedRequest,
        worker: message.Worker,
        attempt: dispatch.Attempt,
        relay_member: str,
    ) -> attempt_outcome.AttemptOutcome:
        """Send a request to a worker, by way of the node `relay_member` where this node can't reach the worker."""
        dispatcher = self.node.dispatcher
        peer = (
            self.node.follower.member(relay_member) if worker.id in self.node.reachability.unreachable_since else None
        )
        attempt.is_relayed = peer is not None
        if peer is None:
            outcome = await dispatcher.send(request.http_request, request.raw, worker, request.idempotent, attempt)
            if outcome is attempt_outcome.AttemptOutcome.UNSENT:
                self.node.reachability.note_unreachable(worker.id)
            return outcome
        token = await relay.request_token(self.node, peer, worker.id)
        if not token:
            return attempt_outcome.AttemptOutcome.UNSENT
        self.counts.relayed += 1
        return await dispatcher.send(
            request.http_request,
            request.raw,
            worker,
            request.idempotent,
            attempt,
            token=token,
            relay_address=(peer.host, peer.http),
        )

    async def relay_for_peer(self, request: http_server.Request) -> None:
        """Send a peer's request to a worker that the peer can't reach; the peer passes the answer to its client."""
        outcome = attempt_outcome.AttemptOutcome.UNSENT
        worker = self.relays.redeem_token(request)
        if worker is not None:
            attempt_id = self._next_id()
            attempt = self.attempts.begin(attempt_id, worker.id)
            self.open_requests += 1
            try:
                outcome = await self.relays.send(request, worker, attempt)
            except defer.CancelledError:
                return
            finally:
                self.open_requests -= 1
                self.request_ended.wake()
                self.attempts.end(attempt_id)
        self.relays.answer(request, outcome)

    def _next_id(self) -> str:
        self.received_requests += 1
        return f"{local_member.member_id(self.node)}-{self.received_requests}"


def max_attempts(request: routed_request.RoutedRequest) -> int:
    """Return how many attempts of a request may break before the request is given up."""
    return min(MAX_ATTEMPTS, request.route.sends or MAX_ATTEMPTS)
