"""Forwarding of requests in pools whose workers the node itself selects.

The forwarder selects a worker, sends the request, streams the answer to the client and, where the worker fails,
sends the request to another worker. It queues no request: a request is sent to a worker or refused at once. A
refusal says whether the request may have run at a worker, as far as its attempts have shown.
"""

from __future__ import annotations

import typing

from twisted.internet import defer

from iriswheel import errors
from iriswheel.dataplane import (
    answer_stream,
    attempt_outcome,
    client_disconnect,
    cold_workers,
    forwarded_request,
    placement,
    request_counts,
    worker_connections,
    worker_reach,
)
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces, routed_request


# Longest idle time of a connection that a request reuses. A worker may have closed a connection that was idle for
# longer, and then nobody can say whether the request ran.
MAX_IDLE_US = 2 * units.SECOND_US  # for requests that may run only once
IDEMPOTENT_MAX_IDLE_US = 60 * units.SECOND_US  # for requests that may run again
CHECK_INTERVAL_US = 100 * units.MILLISECOND_US  # between two checks of all streams for silence
SWEEP_INTERVAL_US = 1 * units.SECOND_US  # between two sweeps of idle connections and expired sessions
# Silence is the time since the worker last sent a byte on a stream.
# Least silence after the first event that counts as a failure of the worker.
SILENCE_US = 300 * units.MILLISECOND_US
# Least silence during the prefill of a long prompt that counts as a failure of the worker.
LONG_PROMPT_SILENCE_US = 1 * units.SECOND_US
# Silence after the first event, beyond which the request is resumed at another worker.
RESUME_SILENCE_US = 500 * units.MILLISECOND_US
# Silence before the first event, beyond which the request is sent to another worker while the workers are overloaded.
OVERLOADED_SILENCE_US = 1_200 * units.MILLISECOND_US
SILENCE_SUSPICION = 0.3  # added to a worker's suspicion (0 to 1) by a silence or a failed answer
# The workers count as overloaded if at least two streams are overdue with their first event, and if these are more than
# one in this many of all streams that wait for their first event.
WAITING_PER_OVERDUE = 3
MAX_CONNECTING_US = 3 * worker_connections.CONNECT_TIMEOUT_US  # longest time for failed tries to connect, per request
MIN_RETRY_US = 150 * units.MILLISECOND_US  # shortest wait before a retry that a refused client is told
OPTIONS_RELOAD_GRACE_US = 12 * units.SECOND_US  # time until requests that were under way at a reload have ended
MISDIRECTED_STATUS = 421  # HTTP status of a worker that does not serve the request that was sent to it
# HTTP statuses by which a node promises its client that the request never ran.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))


class Forwarder:
    """Sends the requests of one node to workers that the node selects itself."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node
        self.runtime = node.runtime
        self.protocol = node.edge_protocol
        self.connections = worker_connections.ConnectionPool(node.runtime)
        self.cold_workers = cold_workers.ColdWorkers(node.runtime, node.options.name, node.follower)
        self.placements: dict[str, placement.Placement] = {}  # by pool name
        # Attempts under way, in the order in which they were sent. The keys of a dictionary keep that order; a set's
        # order would depend on memory addresses, and simulated runs could not be repeated.
        self.streams: dict[answer_stream.AnswerStream, None] = {}
        self.reach = worker_reach.WorkerReach(node.runtime, node.follower, self.connections, self._last_contact_us)
        self.reach.on_reachable_again = lambda worker: self.placement_of(worker.pool).record_return(worker.id)
        self.stream_started = scheduler.Signal()  # wakes `watch` when the first stream starts
        self.counts = request_counts.ForwarderCounts()

    def placement_of(self, pool: str) -> placement.Placement:
        """Return the placement of a pool, which is created at its first use."""
        pool_placement = self.placements.get(pool)
        if pool_placement is None:
            pool_placement = self.placements[pool] = placement.Placement(self.runtime, pool)
            pool_placement.on_heavy_load_change = self.node.loads.report_now.wake
            pool_placement.on_load_change = self.node.loads.mark_changed
        return pool_placement

    def ready_workers(self, pool: str) -> list[str]:
        """Return the ids of a pool's workers that accept requests.

        Among them are cold workers, to which `cold_workers` limits how often this node sends.
        """
        follower = self.node.follower
        return [
            worker.id for worker in follower.workers if worker.pool == pool and follower.accepts_requests(worker.id)
        ]

    def _last_contact_us(self, worker: message.Worker) -> int:
        """Return when this node last received bytes of an answer from a worker; 0 for never."""
        pool_placement = self.placements.get(worker.pool)
        estimate = pool_placement.estimates.get(worker.id) if pool_placement is not None else None
        return estimate.last_contact_us if estimate is not None else 0

    def state(self) -> dict[str, typing.Any]:
        """Return the forwarder's part of `GET /state`."""
        return {
            "counts": self.counts.state(),
            "cold": self.cold_workers.state(),
            "places": [pool_placement.state() for _, pool_placement in sorted(self.placements.items())],
            "lines": self.connections.open_count(),
        }

    # ---- silent streams ---------------------------------------------------------------

    async def watch(self) -> None:
        """Check for silent streams and sweep idle connections and sessions, until the node stops; runs as one task."""
        swept_at_us = 0
        while not self.node.stopped:
            if not self.streams:
                await self.runtime.pause(self.stream_started, SWEEP_INTERVAL_US)
            await self.runtime.sleep(CHECK_INTERVAL_US)
            now = self.runtime.now()
            self.handle_silent_streams(now)
            self.reach.retry()
            if now - swept_at_us > SWEEP_INTERVAL_US:
                swept_at_us = now
                self._sweep()

    def handle_silent_streams(self, now: int) -> None:
        """Record a failure of each worker with a silent stream, and end streams whose requests go to another worker.

        Where many attempts are overdue with their first event, the workers are overloaded. Retries would add load
        then, so a request is sent to another worker only after a longer silence of an unresponsive worker.
        """
        waiting = [stream for stream in self.streams if not stream.received_any]
        overdue = {
            stream
            for stream in waiting
            if now - stream.started_at_us > stream.request.placement.first_event_timeout_us(stream.expected_us)
        }
        overloaded = len(overdue) > 1 and WAITING_PER_OVERDUE * len(overdue) > len(waiting)
        for stream in list(self.streams):
            if not is_silent(stream, stream in overdue, now):
                continue
            if not stream.failure_recorded:
                stream.failure_recorded = True
                self.reach.note_silent(stream.worker)
                stream.request.placement.record_failure(stream.worker, SILENCE_SUSPICION)
            if self._should_try_elsewhere(stream, stream in overdue, overloaded, now):
                self.counts.silent += 1
                stream.stop(stream.broken_outcome())

    def _should_try_elsewhere(
        self, stream: answer_stream.AnswerStream, overdue: bool, overloaded: bool, now: int
    ) -> bool:
        """Whether to end a silent stream, whose worker may still answer, and send its request to another worker."""
        request = stream.request
        if not (
            request.resume
            and request.idempotent
            and self.may_retry(request)
            and self._other_workers(request, stream.worker)
        ):
            return False
        if request.answer_begun and self._in_maintenance(now):
            return False  # if the other workers refuse it, the answer is cut, and planned maintenance must cut none
        silence_us = now - stream.last_received_us
        if stream.received_any and silence_us > RESUME_SILENCE_US:
            return True
        if not overdue:
            return False
        return not overloaded or (
            request.placement.is_unresponsive(stream.worker, now) and silence_us > OVERLOADED_SILENCE_US
        )

    def _in_maintenance(self, now: int) -> bool:
        """Whether this node drains, or reloaded its options less than OPTIONS_RELOAD_GRACE_US ago."""
        options_reloaded_at_us = self.node.options_reloaded_at_us
        return self.node.draining or (
            options_reloaded_at_us is not None and now - options_reloaded_at_us < OPTIONS_RELOAD_GRACE_US
        )

    def _sweep(self) -> None:
        """Close idle connections that expired or whose workers are gone, and drop expired sessions."""
        workers = self.node.follower.workers
        self.connections.sweep({worker.id for worker in workers if worker.state != message.WorkerState.GONE})
        self.cold_workers.sweep()
        for pool, pool_placement in self.placements.items():
            pool_placement.sweep(set(self.ready_workers(pool)))

    # ---- attempts ---------------------------------------------------------------------

    async def forward(self, routed: routed_request.RoutedRequest) -> None:
        """Forward one request until it is answered; the work is cancelled when the client disconnects.

        Raises:
            errors.ServiceError: The request is refused or given up before any byte of an answer.
        """
        request = forwarded_request.ForwardedRequest(routed, self.placement_of(routed.pool_name))
        try:
            await client_disconnect.run_until_disconnect(request.http_request, self.send_with_retries(request))
        except defer.CancelledError:
            self.counts.disconnected += 1

    async def send_with_retries(self, request: forwarded_request.ForwardedRequest) -> None:
        """Send a request to one worker after another until one has answered or the request must be given up."""
        failed_connect_us = 0  # time spent on failed tries to connect
        while True:
            worker = self._choose_worker(request)
            began_us = self.runtime.now()
            stream = answer_stream.AnswerStream(self.node, self.counts, request, worker.id)
            outcome = await self.send(request, worker, stream)
            match outcome:
                case attempt_outcome.AttemptOutcome.UNSENT:
                    failed_connect_us += self.runtime.now() - began_us
                    request.excluded_workers.add(worker.id)
                    if failed_connect_us >= MAX_CONNECTING_US:
                        raise self.final_error(request, "no_worker", "No worker can be reached now.")
                    continue
                case attempt_outcome.AttemptOutcome.COMPLETE:
                    self.counts.completed += 1
                    if not request.http_request.client_disconnected:
                        request.http_request.finish()
                    return
                case attempt_outcome.AttemptOutcome.LATE:
                    self.counts.late += 1
                    if request.answer_begun:
                        request.http_request.break_off()
                        return
                    raise errors.ServiceError("too_late", "No answer came in time.", request.known_outcome())
            self._note_failure(request, outcome, stream)
            if not self._spend_retry(request):
                self._end_unanswered(request, outcome, stream)
                return

    def _choose_worker(self, request: forwarded_request.ForwardedRequest) -> message.Worker:
        """Return the worker for the next attempt.

        Raises:
            errors.ServiceError: No worker can be reached, or none can begin before the request's deadline.
        """
        candidates = self._candidates(request)
        worker_id, wait_us = request.placement.pick(
            request.parsed,
            request.keys,
            request.unshared_tokens,
            candidates.ready,
            pool=request.pool,
            excluded_workers=request.excluded_workers,
            cold_workers=candidates.cold,
        )
        now = self.runtime.now()
        if not worker_id:
            raise self.final_error(request, "no_worker", "No worker can be reached now.")
        if now >= request.deadline_us:
            raise self.final_error(request, "busy", "Deadline expired.")
        if not request.sends and wait_us > request.deadline_us - now:
            raise self.final_error(request, "busy", "No worker would begin in time.", wait_us // 2)
        return self.node.follower.workers_by_id[worker_id]

    def _candidates(self, request: forwarded_request.ForwardedRequest) -> cold_workers.Candidates:
        """Return the reachable candidates, or all candidates if the request has already tried every reachable one."""
        candidates = self.cold_workers.candidates(request.pool_name, request.pool)
        reached = self.reach.reachable(candidates.ready)
        return candidates if request.excluded_workers.issuperset(reached) else candidates._replace(ready=reached)

    def _note_failure(
        self,
        request: forwarded_request.ForwardedRequest,
        outcome: attempt_outcome.AttemptOutcome,
        stream: answer_stream.AnswerStream,
    ) -> None:
        """Record a refused, failed or broken attempt: exclude its worker, and note whether the request may have run."""
        request.excluded_workers.add(stream.worker)
        match outcome:
            case attempt_outcome.AttemptOutcome.REFUSED:
                self.counts.refused += 1
                if stream.status == MISDIRECTED_STATUS:
                    request.placement.record_failure(stream.worker, answer_stream.BROKEN_SUSPICION)
            case attempt_outcome.AttemptOutcome.FAILED:
                request.placement.record_failure(stream.worker, SILENCE_SUSPICION)
                request.may_have_run = True
            case _:
                request.may_have_run = True

    def _spend_retry(self, request: forwarded_request.ForwardedRequest) -> bool:
        """Spend one retry of the request's retry budget.

        Returns False, and spends nothing, where the request may not be sent to another worker.
        """
        allowed = (
            (request.idempotent or not request.may_have_run)
            and (request.resume or not request.answer_begun)
            and self.may_retry(request)
        )
        if not allowed or self.runtime.now() >= request.deadline_us or not self._other_workers(request):
            return False
        self.node.gateway.retry_budgets.budget(request).spend(self.runtime.now())
        if request.answer_begun:
            self.counts.resumed += 1
        else:
            self.counts.retried += 1
        return True

    def _end_unanswered(
        self,
        request: forwarded_request.ForwardedRequest,
        outcome: attempt_outcome.AttemptOutcome,
        stream: answer_stream.AnswerStream,
    ) -> None:
        """End a request whose last attempt did not complete its answer.

        An answer that has begun is broken off, and a failure of the worker is passed on to the client.

        Raises:
            errors.ServiceError: No byte of an answer came; the HTTP server answers with this error.
        """
        if request.answer_begun:
            request.http_request.break_off()
            return
        if outcome is attempt_outcome.AttemptOutcome.FAILED and stream.status not in NOT_RUN_STATUSES:
            stream.answer_failure()
            return
        if outcome is attempt_outcome.AttemptOutcome.REFUSED:
            raise self.final_error(request, "busy", "The worker turned it away.")
        raise self.final_error(request, "worker_broke", f"Worker {stream.worker} gave no answer.")

    def may_retry(self, request: forwarded_request.ForwardedRequest) -> bool:
        """Whether the route's limit of sends and this node's share of the retry budget allow one more send."""
        max_sends = request.route.sends
        if max_sends and request.sends >= max_sends:
            return False
        return self.node.gateway.retry_budgets.budget(request).has_capacity(self.runtime.now())

    def final_error(
        self, request: forwarded_request.ForwardedRequest, code: errors.ErrorCode, text: str, retry_us: int = 0
    ) -> errors.ServiceError:
        """Return the error with which a given-up request is answered.

        Args:
            request: The request that is given up.
            code: The error code where the request did not run at any worker; where it may have, it is worker_broke.
            text: The error text for people.
            retry_us: The wait before a retry that the client is told, in microseconds; MIN_RETRY_US at least.
        """
        if request.may_have_run:
            return errors.ServiceError("worker_broke", text, errors.ExecutionOutcome.MAY_HAVE_RUN)
        return errors.ServiceError(code, text, retry_us=max(MIN_RETRY_US, retry_us))

    def _other_workers(self, request: forwarded_request.ForwardedRequest, current: str = "") -> list[str]:
        """Return the workers other than `current` that a request may still be sent to."""
        return [
            worker
            for worker in self._candidates(request).ready
            if worker not in request.excluded_workers and worker != current
        ]

    async def send(
        self,
        request: forwarded_request.ForwardedRequest,
        worker: message.Worker,
        stream: answer_stream.AnswerStream,
    ) -> attempt_outcome.AttemptOutcome:
        """Send a request to one worker and stream its answer; the outcome is UNSENT where no connection was made."""
        pool_placement = request.placement
        stream.expected_us = pool_placement.wait_us(worker.id, request.pool, self.runtime.now())
        stream.unread_tokens = pool_placement.begin_attempt(
            worker.id, request.keys, request.parsed.sizes, request.unnamed_tokens
        )
        stream.expected_us += placement.prefill_time_us(stream.unread_tokens)
        try:
            max_idle_us = IDEMPOTENT_MAX_IDLE_US if request.idempotent else MAX_IDLE_US
            try:
                connection = await self.connections.get(worker, max_idle_us, request.deadline_us - self.runtime.now())
            except worker_connections.UnreachableError:
                pool_placement.record_failure(worker.id, answer_stream.BROKEN_SUSPICION)
                self.reach.note_unreachable(worker)
                self.counts.unreached += 1
                return attempt_outcome.AttemptOutcome.UNSENT
            return await self._send_on_connection(request, worker, stream, connection)
        finally:
            self.streams.pop(stream, None)
            pool_placement.end_attempt(worker.id, stream.unread_tokens)
            if (
                stream.connection is not None
                and not request.http_request.client_disconnected
                and not request.http_request.finished
            ):
                request.http_request.unregisterProducer()

    async def _send_on_connection(
        self,
        request: forwarded_request.ForwardedRequest,
        worker: message.Worker,
        stream: answer_stream.AnswerStream,
        connection: worker_connections.WorkerConnection,
    ) -> attempt_outcome.AttemptOutcome:
        """Send a request over a connection and wait until its answer has ended or its deadline has passed."""
        left_us = request.deadline_us - self.runtime.now()
        if left_us <= 0 or not self.node.follower.accepts_requests(worker.id):
            connection.drop()
            return attempt_outcome.AttemptOutcome.UNSENT
        if not self._start_send(request, worker):
            connection.release()
            return attempt_outcome.AttemptOutcome.UNSENT
        head = self.protocol.worker_request_head(
            request.http_request, len(request.raw), worker, left_us, request.urgency, request.last_event_id
        )
        request.sends += 1
        self.counts.attempts += 1
        stream.connection = connection
        stream.started_at_us = stream.last_received_us = self.runtime.now()
        self.streams[stream] = None
        if len(self.streams) == 1:
            self.stream_started.wake()
        if request.keys:
            request.placement.note_turn(request.keys[-1], worker.id, request.terms, request.pool.cap)
        may_have_run_before = request.may_have_run
        request.may_have_run = True  # taken back below where the worker reports that it did not run the request
        stream.start(connection, head)
        deadline = self.runtime.later(left_us, stream.stop, attempt_outcome.AttemptOutcome.LATE)
        try:
            outcome = await stream.done
        finally:
            if deadline.active():
                deadline.cancel()
        if outcome is attempt_outcome.AttemptOutcome.REFUSED:
            request.may_have_run = may_have_run_before
        return outcome

    def _start_send(self, request: forwarded_request.ForwardedRequest, worker: message.Worker) -> bool:
        """Whether the request may be sent now, after the wait for a connection; counts the send to a cold worker.

        Only sends to cold workers are limited.
        """
        listed = self.node.follower.workers_by_id.get(worker.id, worker)
        return self.cold_workers.start_send(listed, request.pool)


def is_silent(stream: answer_stream.AnswerStream, overdue: bool, now: int) -> bool:
    """Whether a stream has been silent for so long that it counts as a failure of its worker.

    Args:
        stream: The stream, one attempt under way.
        overdue: Whether the first event has not come within the pool's time-out for it.
        now: The time in microseconds.
    """
    if stream.done.called or stream.paused or not (overdue or stream.received_any):
        return False
    silence_us = now - stream.last_received_us
    if stream.unread_tokens >= placement.HEAVY_PREFILL_TOKENS:  # a long prompt's prefill time is hard to predict
        return silence_us >= LONG_PROMPT_SILENCE_US
    return not stream.received_any or silence_us >= SILENCE_US
