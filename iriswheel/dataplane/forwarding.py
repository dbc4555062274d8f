"""Forwarding of requests whose workers the node itself selects: place, send, stream, resume elsewhere.

No request is queued here: it is sent to a worker or refused at once. A refusal says whether the
request may have run, by what is known of its attempts.
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


IDLE_USE_US = 2 * units.SECOND_US  # a connection idle for longer carries nothing that may not be repeated
IDEMPOTENT_IDLE_USE_US = 60 * units.SECOND_US
CHECK_INTERVAL_US = 100 * units.MILLISECOND_US
SWEEP_INTERVAL_US = 1 * units.SECOND_US
SILENCE_US = 300 * units.MILLISECOND_US  # silence on a stream that speaks against its worker
LONG_PROMPT_SILENCE_US = 1 * units.SECOND_US  # likewise, before the first event of a long prompt
RESUME_SILENCE_US = 500 * units.MILLISECOND_US  # silence after which a stream that may be resumed elsewhere is
OVERLOADED_SILENCE_US = 1_200 * units.MILLISECOND_US  # and before the first event, where many wait
SILENCE_SUSPICION = 0.3  # how much a silence counts against a worker
WAITING_PER_OVERDUE = 3  # from more than one overdue stream in so many that wait, the workers are overloaded
MAX_CONNECTING_US = (
    3 * worker_connections.CONNECT_TIMEOUT_US
)  # that a request waits for connections that it does not get
MIN_RETRY_US = 150 * units.MILLISECOND_US  # a refused client may come back after so long
OPTIONS_RELOAD_GRACE_US = 12 * units.SECOND_US  # requests of the time of a reload have ended by then
MISDIRECTED = 421  # the status of a worker that does not serve what it was sent
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED, 429, 503))  # by which a node promises that a request never ran


class Forwarder:
    """A node's forwarder of requests to workers that it selects itself."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node
        self.runtime = node.runtime
        self.protocol = node.edge_protocol
        self.connections = worker_connections.ConnectionPool(node.runtime)
        self.cold_workers = cold_workers.ColdWorkers(node.runtime, node.options.name, node.follower)
        self.placements: dict[str, placement.Placement] = {}  # by pool name
        # Attempts that were sent and are under way, in the order of sending: a set would go by memory addresses.
        self.streams: dict[answer_stream.AnswerStream, None] = {}
        self.reach = worker_reach.WorkerReach(node.runtime, node.follower, self.connections, self._last_contact_us)
        self.reach.on_back = lambda worker: self.placement_of(worker.pool).record_return(worker.id)
        self.started = scheduler.Signal()  # wakes when there is a stream again
        self.counts = request_counts.ForwarderCounts()

    def placement_of(self, pool: str) -> placement.Placement:
        """Return the placement over a pool."""
        pool_placement = self.placements.get(pool)
        if pool_placement is None:
            pool_placement = self.placements[pool] = placement.Placement(self.runtime, pool)
            pool_placement.on_heavy_load_change = self.node.loads.report_now.wake
            pool_placement.on_load_change = self.node.loads.mark_changed
        return pool_placement

    def ready(self, pool: str) -> list[str]:
        """Return the workers of a pool that take requests; to cold ones this node may not be allowed to send."""
        follower = self.node.follower
        return [
            worker.id for worker in follower.workers if worker.pool == pool and follower.accepts_requests(worker.id)
        ]

    def _last_contact_us(self, worker: message.Worker) -> int:
        """Return when a worker last said anything to a request of this node; 0 for never."""
        pool_placement = self.placements.get(worker.pool)
        estimate = pool_placement.workers.get(worker.id) if pool_placement is not None else None
        return estimate.last_contact_us if estimate is not None else 0

    def state(self) -> dict[str, typing.Any]:
        """Return what this forwarder shows of itself in the node's state."""
        return {
            "counts": self.counts.state(),
            "cold": self.cold_workers.state(),
            "places": [pool_placement.state() for _, pool_placement in sorted(self.placements.items())],
            "lines": sum(self.connections.open.values()),
        }

    # ---- silent streams ---------------------------------------------------------------

    async def watch(self) -> None:
        """Handle silent streams and sweep idle connections and sessions, until the node stops; one task."""
        swept_at_us = 0
        while not self.node.stopped:
            if not self.streams:
                await self.runtime.pause(self.started, SWEEP_INTERVAL_US)
            await self.runtime.sleep(CHECK_INTERVAL_US)
            now = self.runtime.now()
            self.handle_silent_streams(now)
            self.reach.retry()
            if now - swept_at_us > SWEEP_INTERVAL_US:
                swept_at_us = now
                self._sweep()

    def handle_silent_streams(self, now: int) -> None:
        """Record a failure of each worker whose stream is silent, and end the streams to be sent to another worker.

        Where many attempts wait for longer than they should, the workers are overloaded, and retries would add load.
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
        """Whether to end a silent stream and send its request to another worker, although its own may still answer."""
        request = stream.request
        if not (
            request.resume
            and request.idempotent
            and self.may_retry(request)
            and self._other_workers(request, stream.worker)
        ):
            return False
        if request.answer_begun and self._in_maintenance(now):
            return False  # a refusal elsewhere would end an answer that planned work must not cut
        silence_us = now - stream.last_received_us
        if stream.received_any and silence_us > RESUME_SILENCE_US:
            return True
        if not overdue:
            return False
        return not overloaded or (
            request.placement.is_unresponsive(stream.worker, now) and silence_us > OVERLOADED_SILENCE_US
        )

    def _in_maintenance(self, now: int) -> bool:
        """Whether this node drains, or reloaded its options within OPTIONS_RELOAD_GRACE_US."""
        options_reloaded_at_us = self.node.options_reloaded_at_us
        return self.node.draining or (
            options_reloaded_at_us is not None and now - options_reloaded_at_us < OPTIONS_RELOAD_GRACE_US
        )

    def _sweep(self) -> None:
        """Close idle connections and those of workers that are gone; drop expired sessions."""
        workers = self.node.follower.workers
        self.connections.sweep({worker.id for worker in workers if worker.state != message.WorkerState.GONE})
        self.cold_workers.sweep()
        for pool, pool_placement in self.placements.items():
            pool_placement.sweep(set(self.ready(pool)))

    # ---- attempts ---------------------------------------------------------------------

    async def forward(self, routed: routed_request.RoutedRequest) -> None:
        """Forward one request until it is answered; cancelled when its client disconnects.

        Raises:
            errors.ServiceError: The request is refused or given up before any byte of an answer.
        """
        request = forwarded_request.ForwardedRequest(routed, self.placement_of(routed.pool_name))
        try:
            await client_disconnect.run_until_disconnect(request.http_request, self.send_with_retries(request))
        except defer.CancelledError:
            self.counts.disconnected += 1

    async def send_with_retries(self, request: forwarded_request.ForwardedRequest) -> None:
        """Send a request to workers until one has answered or the request must be given up."""
        connecting_us = 0  # spent on connections that were not had
        while True:
            worker = self._choose_worker(request)
            began_us = self.runtime.now()
            stream = answer_stream.AnswerStream(self.node, self.counts, request, worker.id)
            outcome = await self.send(request, worker, stream)
            match outcome:
                case attempt_outcome.AttemptOutcome.UNSENT:
                    connecting_us += self.runtime.now() - began_us
                    request.excluded_workers.add(worker.id)
                    if connecting_us >= MAX_CONNECTING_US:
                        raise self.final_error(request, "no_worker", "No worker can be reached now.")
                    continue
                case attempt_outcome.AttemptOutcome.COMPLETE:
                    self.counts.completed += 1
                    if not request.http_request.gone:
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
        """Return the worker for the next attempt; raises the error of a request that gets none."""
        candidates = self._candidates(request)
        worker_id, wait_us = request.placement.pick(
            request.parsed,
            request.keys,
            request.own_tokens,
            candidates.ready,
            pool=request.pool,
            excluded_workers=request.excluded_workers,
            cold_workers=candidates.cold,
        )
        now = self.runtime.now()
        if not worker_id:
            raise self.final_error(request, "no_worker", "No worker can be reached now.")
        if now >= request.deadline_us:
            raise self.final_error(request, "busy", "The time is over.")
        if not request.sends and wait_us > request.deadline_us - now:
            raise self.final_error(request, "busy", "No worker would begin in time.", wait_us // 2)
        return self.node.follower.workers_by_id[worker_id]

    def _candidates(self, request: forwarded_request.ForwardedRequest) -> cold_workers.Candidates:
        """Return the workers to send to that are within reach; all of them where it tried each of those."""
        candidates = self.cold_workers.candidates(request.pool_name, request.pool)
        reached = self.reach.within_reach(candidates.ready)
        return candidates if request.excluded_workers.issuperset(reached) else candidates._replace(ready=reached)

    def _note_failure(
        self,
        request: forwarded_request.ForwardedRequest,
        outcome: attempt_outcome.AttemptOutcome,
        stream: answer_stream.AnswerStream,
    ) -> None:
        """Record a refused, failed or broken attempt: exclude its worker, and note whether it may have run."""
        request.excluded_workers.add(stream.worker)
        match outcome:
            case attempt_outcome.AttemptOutcome.REFUSED:
                self.counts.refused += 1
                if stream.status == MISDIRECTED:
                    request.placement.record_failure(stream.worker, answer_stream.BROKEN_SUSPICION)
            case attempt_outcome.AttemptOutcome.FAILED:
                request.placement.record_failure(stream.worker, SILENCE_SUSPICION)
                request.may_have_run = True
            case _:
                request.may_have_run = True

    def _spend_retry(self, request: forwarded_request.ForwardedRequest) -> bool:
        """Spend a retry of the request's budget; False, and nothing is spent, where it may not go to another worker."""
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
        """End a request after its last attempt; raises the error that is its answer where there is one."""
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
        """Whether a request may be sent once more, by its route and this node's share of the budget."""
        max_sends = request.route.sends
        if max_sends and request.sends >= max_sends:
            return False
        return self.node.gateway.retry_budgets.budget(request).has_capacity(self.runtime.now())

    def final_error(
        self, request: forwarded_request.ForwardedRequest, code: errors.ErrorCode, text: str, retry_us: int = 0
    ) -> errors.ServiceError:
        """Return the error that answers a request which is given up.

        Args:
            request: The request.
            code: The error's code where the request did not run; else it is worker_broke.
            text: The error's text.
            retry_us: After how long the client should retry.
        """
        if request.may_have_run:
            return errors.ServiceError("worker_broke", text, errors.ExecutionOutcome.MAY_HAVE_RUN)
        return errors.ServiceError(code, text, retry_us=max(MIN_RETRY_US, retry_us))

    def _other_workers(self, request: forwarded_request.ForwardedRequest, current: str = "") -> list[str]:
        """Return the workers that a request may still be sent to, without the current one."""
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
        """Send a request to one worker and stream its answer; UNSENT where the worker was not reached."""
        pool_placement = request.placement
        stream.expected_us = pool_placement.wait_us(worker.id, request.pool, self.runtime.now())
        stream.unread_tokens = pool_placement.begin(
            worker.id, request.keys, request.parsed.sizes, request.unnamed_tokens
        )
        stream.expected_us += placement.read_time_us(stream.unread_tokens)
        try:
            idle_use_us = IDEMPOTENT_IDLE_USE_US if request.idempotent else IDLE_USE_US
            try:
                connection = await self.connections.get(worker, idle_use_us, request.deadline_us - self.runtime.now())
            except worker_connections.UnreachableError:
                pool_placement.record_failure(worker.id, answer_stream.BROKEN_SUSPICION)
                self.reach.note_unreached(worker)
                self.counts.unreached += 1
                return attempt_outcome.AttemptOutcome.UNSENT
            return await self._send_over(request, worker, stream, connection)
        finally:
            self.streams.pop(stream, None)
            pool_placement.end(worker.id, stream.unread_tokens)
            if stream.connection is not None and not request.http_request.gone and not request.http_request.finished:
                request.http_request.unregisterProducer()

    async def _send_over(
        self,
        request: forwarded_request.ForwardedRequest,
        worker: message.Worker,
        stream: answer_stream.AnswerStream,
        connection: worker_connections.WorkerConnection,
    ) -> attempt_outcome.AttemptOutcome:
        """Send a request over a connection and wait until its answer has ended or its time is over."""
        left_us = request.deadline_us - self.runtime.now()
        if left_us <= 0 or not self.node.follower.accepts_requests(worker.id):
            connection.drop()
            return attempt_outcome.AttemptOutcome.UNSENT
        if not self._is_due(request, worker):
            connection.release()
            return attempt_outcome.AttemptOutcome.UNSENT
        head = self.protocol.head(
            request.http_request, len(request.raw), worker, left_us, request.urgency, request.last_event_id
        )
        request.sends += 1
        self.counts.attempts += 1
        stream.connection = connection
        stream.started_at_us = stream.last_received_us = self.runtime.now()
        self.streams[stream] = None
        if len(self.streams) == 1:
            self.started.wake()
        if request.keys:
            request.placement.note_turn(request.keys[-1], worker.id, request.terms, request.pool.cap)
        may_have_run_before = request.may_have_run
        request.may_have_run = True  # until the worker says that it did not run it
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

    def _is_due(self, request: forwarded_request.ForwardedRequest, worker: message.Worker) -> bool:
        """Whether a worker, if it is cold, may be sent to now, after the wait for a connection; notes the send."""
        listed = self.node.follower.workers_by_id.get(worker.id, worker)
        return self.cold_workers.start_send(listed, request.pool)


def is_silent(stream: answer_stream.AnswerStream, overdue: bool, now: int) -> bool:
    """Whether a stream has been silent for so long that this counts against its worker.

    Args:
        stream: The stream.
        overdue: Whether its first event has not come within the time-out of its worker's pool.
        now: The time in microseconds.
    """
    if stream.done.called or stream.paused or not (overdue or stream.received_any):
        return False
    silence_us = now - stream.last_received_us
    if stream.unread_tokens >= placement.HEAVY_TOKENS:  # the expected read time of a long prompt is less exact
        return silence_us >= LONG_PROMPT_SILENCE_US
    return not stream.received_any or silence_us >= SILENCE_US
