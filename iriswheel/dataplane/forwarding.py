"""The way of a request whose worker is elected at the node: place, send, stream, take up again.

Nothing waits here. a request goes to a worker at once, or is refused at once; what is known of
it decides which: a promise that it did not run, or none.
"""

from __future__ import annotations

import enum
import re
import types
import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.dataplane.placement as placement
import iriswheel.dataplane.worker_connections as worker_connections
import iriswheel.errors as errors
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units

if typing.TYPE_CHECKING:
    import iriswheel.dataplane.routed_request as routed_request
    import iriswheel.node.node as node
    import iriswheel.transport.message as message


FRESH_US = 2 * units.SECOND_US  # a connection idle for longer carries nothing that may not be repeated
FRESH_REPEAT_US = 60 * units.SECOND_US
LOOK_US = 100 * units.MILLISECOND_US
PAUSE_US = 300 * units.MILLISECOND_US  # silence on a stream that speaks against its worker
LONG_US = 1 * units.SECOND_US  # likewise, before the first event of a long prompt
MUTE_US = 500 * units.MILLISECOND_US  # silence after which a stream that may be taken up again is
FIRST_MUTE_US = 1_200 * units.MILLISECOND_US  # and before the first event, where many wait
QUIET, BROKEN = 0.3, 0.5  # how much a silence, or a broken connection, counts against a worker
CONNECTS = 3  # workers tried that give no connection
BACK_US = 150 * units.MILLISECOND_US  # a refused client may come back after so long
SWEEP_US = 1 * units.SECOND_US
RENEWED_US = 12 * units.SECOND_US  # what runs when options are read again, or comes soon after, has ended by then
PROMISES = frozenset((408, 421, 429, 503))  # statuses by which a node promises that a request never ran

ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
END = re.compile(rb"\r?\n\r?\n")

log = loguru.logger.bind(part="carry")


class AttemptOutcome(enum.Enum):
    """How a send ended.

    >>> AttemptOutcome.COMPLETE.name
    'COMPLETE'
    """

    COMPLETE = 1  # the worker's whole answer went to the client
    UNRUN = 2  # the worker said that it did not run it
    FAILED = 3  # the worker's own answer is a failure; nothing went to the client
    BROKE = 4  # it may have run; nothing went to the client
    INTERRUPTED = 5  # it broke off after something had gone to the client
    LATE = 6  # the time is over


class AnswerStream:
    """One send: takes what the worker's connection brings, and hands it to the client."""

    def __init__(self, forwarder: Forwarder, x: ForwardedRequest, worker: str) -> None:
        self.forwarder = forwarder
        self.x = x
        self.worker = worker
        self.runtime = forwarder.runtime
        self.bodyless = x.request.method == b"HEAD"  # its answer is a head alone
        self.line: worker_connections.WorkerConnection | None = None
        self.done = defer.Deferred(lambda _: self.stop())
        self.started_at = self.last = self.runtime.now()
        self.expected = 0  # how long its first event was expected to take
        self.blamed = False
        self.paused = False  # while the client reads too slowly
        self.tokens = 0  # of the prompt, not read yet as far as is known
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.seen = False  # whether the answer's own bytes have come
        self.rest = b""  # the piece of an event that has no end yet
        self.small: list[bytes] = []  # an answer that is kept back: a refusal or a failure

    def owns(self, status: int, low: dict[str, str], used: int) -> bool | None:
        """Whether an answer is this request's; None where that can't be told."""
        mine = self.forwarder.outer.mine(self.x.attempt_id.tag, status, low)
        return used <= 1 and self.forwarder.outer.unrun(status, low) or None if mine is None else mine

    def head(self, status: int, headers: list[tuple[bytes, bytes]], low: dict[str, str]) -> None:
        """The answer's head came."""
        self.hear()
        self.status, self.headers, self.low = status, list(headers), low

    def hear(self) -> None:
        """The worker said something."""
        self.last = self.runtime.now()
        self.x.placement.hear(self.worker)

    def data(self, data: bytes) -> None:
        r"""A piece of the answer came."""
        self.hear()
        if not 200 <= self.status < 300 or not self.forwarder.outer.sound(self.status, self.low):
            self.small.append(data)
            return
        if not self.seen:
            self.seen = True
            self.x.placement.first(self.worker, self.tokens, self.last - self.started_at, self.expected)
            self.tokens = 0
        if self.x.resume:
            data, self.rest = complete_events(self.rest + data)
            if not data:
                return
            ids = ID.findall(data)
            if ids:
                self.x.after = ids[-1].decode("latin-1")
        self.x.pass_on(self, data)

    def end(self) -> None:
        """The whole answer has come."""
        if not 200 <= self.status < 300:
            self.finish(
                AttemptOutcome.UNRUN if self.forwarder.outer.unrun(self.status, self.low) else AttemptOutcome.FAILED
            )
        elif not self.forwarder.outer.sound(self.status, self.low):
            self.finish(AttemptOutcome.BROKE)
        else:
            if self.rest:
                self.x.pass_on(self, self.rest)
            elif not self.x.begun:
                self.x.pass_on(self, b"")
            self.x.placement.forgive(self.worker)
            self.finish(AttemptOutcome.COMPLETE)

    def hand_over(self) -> None:
        """Give the worker's own failure to the client, as it is."""
        body, request = b"".join(self.small), self.x.request
        if request.gone:
            return
        request.setResponseCode(self.status)
        for name, value in self.forwarder.outer.home(self.headers, self.worker):
            request.responseHeaders.addRawHeader(name, value)
        request.setHeader("Content-Length", str(len(body)))
        request.write(body)
        request.finish()

    def lost(self, why: str) -> None:
        """The connection broke off, or brought what is no answer."""
        self.forwarder.counts["broke"] += 1
        self.x.placement.blame(self.worker, BROKEN)
        self.finish(AttemptOutcome.INTERRUPTED if self.x.begun else AttemptOutcome.BROKE)

    def stop(self, outcome: AttemptOutcome | None = None) -> None:
        """End the send from this side; the worker's connection is broken off."""
        if self.line is not None:
            self.line.drop()
        if outcome is not None:
            self.finish(outcome)

    def finish(self, outcome: AttemptOutcome) -> None:
        """The send is over."""
        if not self.done.called:
            self.done.callback(outcome)

    def pauseProducing(self) -> None:
        self.paused = True
        if self.line is not None and self.line.flow is self:
            self.line.pause()

    def resumeProducing(self) -> None:
        self.paused = False
        self.last = self.runtime.now()
        if self.line is not None and self.line.flow is self:
            self.line.resume()

    def stopProducing(self) -> None:
        pass  # the client's going away is noticed by the door


def complete_events(raw: bytes) -> tuple[bytes, bytes]:
    r"""What of a stream's bytes makes whole events, and the rest.

    >>> complete_events(b"id: 1\n\nid: 2\n\nid:")
    (b'id: 1\n\nid: 2\n\n', b'id:')
    >>> complete_events(b"id: 1\n")
    (b'', b'id: 1\n')
    """
    cut = max((end.end() for end in END.finditer(raw)), default=0)
    return raw[:cut], raw[cut:]


class ForwardedRequest:
    """One request on this way; what is kept over its sends."""

    def __init__(self, request: routed_request.RoutedRequest, pool_placement: placement.Placement) -> None:
        self.request = request.request
        self.attempt_id = request.parsed
        self.raw = request.raw
        self.route, self.pool, self.terms = request.route, request.pool, request.terms
        self.pool_name = request.pool_name
        self.placement = pool_placement
        self.idempotent = request.idempotent
        self.resume = request.route.resume
        self.until = request.until
        self.keys = placement.chain(self.attempt_id.parts)
        self.loose = max(0, self.attempt_id.tokens_in - sum(self.attempt_id.sizes))  # tokens that no part names
        self.own = self.loose + (self.attempt_id.sizes[-1] if self.attempt_id.sizes else 0)
        self.after = self.attempt_id.after
        self.begun = False  # whether a byte went to the client
        self.ran = False  # whether a worker may have run it
        self.sends = 0
        self.shun: set[str] = set()  # workers that it is not sent to any more

    def pass_on(self, flow: AnswerStream, data: bytes) -> None:
        r"""Hand a piece to the client; the first one takes the answer's head along."""
        if self.request.gone or self.request.finished:
            return
        if not self.begun:
            self.begun = True
            self.request.setResponseCode(flow.status)
            for name, value in flow.forwarder.outer.home(flow.headers, flow.worker):
                self.request.responseHeaders.addRawHeader(name, value)
            length = flow.low.get("content-length")
            if length is not None and not self.resume:  # what another worker adds may be longer or shorter
                self.request.setHeader("Content-Length", length)
            if flow.forwarder.node.stopping:
                self.request.setHeader("Connection", "close")
        if data:
            self.request.write(data)


class Forwarder:
    """A node's forwarder of requests to workers that it elects itself."""

    def __init__(self, node: node.Node | types.SimpleNamespace) -> None:
        self.node = node
        self.runtime = node.runtime
        self.outer = node.outer
        self.lines = worker_connections.ConnectionPool(node.runtime)
        self.placements: dict[str, placement.Placement] = {}  # pool -> placement.Placement
        self.flows: set[AnswerStream] = set()
        self.started = scheduler.Signal()
        self.counts = {
            "sends": 0,
            "whole": 0,
            "resumed": 0,
            "again": 0,
            "broke": 0,
            "unrun": 0,
            "unreached": 0,
            "mute": 0,
            "gone": 0,
            "late": 0,
        }

    def placement_of(self, pool: str) -> placement.Placement:
        """The placement over a pool."""
        if pool not in self.placements:
            p = self.placements[pool] = placement.Placement(self.runtime, pool)
            p.reported_heavy, p.reported_some = self.node.loads.report_now.wake, self.node.loads.touch
        return self.placements[pool]

    async def look(self) -> None:
        """Look after streams that fell silent, idle connections and sessions; one task."""
        swept = 0
        while not self.node.left:
            if not self.flows:
                await self.runtime.pause(self.started, SWEEP_US)
            await self.runtime.sleep(LOOK_US)
            now = self.runtime.now()
            self.check_timeouts(now)
            if now - swept > SWEEP_US:
                swept = now
                follower = self.node.follower
                self.lines.sweep({w.id for w in follower.workers if w.state != "gone"})
                for pool, p in self.placements.items():
                    p.sweep({w.id for w in follower.workers if w.pool == pool and w.state == "ready"})

    def check_timeouts(self, now: int) -> None:
        """Blame workers that keep sends waiting; take up elsewhere what may be.

        Where many sends wait for longer than they should, it is the load, and more sends make it worse.
        """
        waiting = [f for f in self.flows if not f.seen]
        over = {f for f in waiting if now - f.started_at > f.x.placement.patience_us(f.expected)}
        crowded = len(over) > 1 and 3 * len(over) > len(waiting)
        for f in list(self.flows):
            quiet = now - f.last
            long = f.tokens >= placement.HEAVY  # how long it is read is not known as well
            if (
                f.done.called
                or f.paused
                or not (f in over or f.seen)
                or quiet < (LONG_US if long else PAUSE_US if f.seen else 0)
            ):
                continue
            if not f.blamed:
                f.blamed = True
                f.x.placement.blame(f.worker, QUIET)
            if not (f.x.resume and f.x.idempotent and self.may_repeat(f.x) and self.others(f.x, f.worker)):
                continue  # a silent worker may still go on
            if f.x.begun and self.planned_work(now):
                continue  # a refusal elsewhere would end an answer that planned work must not cut
            mute = f.x.placement.mute(f.worker, now)
            if f.seen and quiet > MUTE_US or f in over and (not crowded or mute and quiet > FIRST_MUTE_US):
                self.counts["mute"] += 1
                f.stop(AttemptOutcome.INTERRUPTED if f.x.begun else AttemptOutcome.BROKE)

    def planned_work(self, now: int) -> bool:
        """Whether this node stops, or has read its options again not long ago."""
        renewed_at = self.node.renewed_at
        return self.node.stopping or renewed_at is not None and now - renewed_at < RENEWED_US

    def may_repeat(self, x: ForwardedRequest) -> bool:
        """Whether a request may be sent once more, by its route and this node's share of the budget."""
        return (not x.route.sends or x.sends < x.route.sends) and self.node.gateway.retry_budgets.budget(
            x
        ).has_capacity(self.runtime.now())

    def ready(self, pool: str) -> list[str]:
        """The workers of a pool that may be sent to."""
        return [w.id for w in self.node.follower.workers if w.pool == pool and w.state == "ready"]

    def others(self, x: ForwardedRequest, *but: str) -> list[str]:
        """The workers that a request may still be sent to."""
        return [n for n in self.ready(x.pool_name) if n not in x.shun and n not in but]

    async def forward(self, request: routed_request.RoutedRequest) -> None:
        """Carry one request to its end; raises verdict.Defect where it is refused."""
        x = ForwardedRequest(request, self.placement_of(request.pool_name))
        work = defer.ensureDeferred(self.run(x))
        lost = x.request.lost.wait()
        lost.addCallback(lambda _: work.cancel())
        try:
            await work
        except defer.CancelledError:
            self.counts["gone"] += 1
        finally:
            lost.addErrback(lambda _: None)
            lost.cancel()

    async def run(self, x: ForwardedRequest) -> None:
        """Send until an answer stands or the request must be given up."""
        unreached = 0
        while True:
            name, wait = x.placement.pick(x.attempt_id, x.keys, x.own, self.ready(x.pool_name), x.pool, x.shun)
            now = self.runtime.now()
            if not name:
                raise self.give_up(x, "no_worker", "No worker can be reached now.")
            if now >= x.until:
                raise self.give_up(x, "busy", "The time is over.")
            if not x.sends and wait > x.until - now:
                raise self.give_up(x, "busy", "No worker would begin in time.", wait // 2)
            w = self.node.follower.states[name]
            outcome, flow = await self.send(x, w)
            match outcome:
                case None:
                    unreached += 1
                    x.shun.add(name)
                    if unreached >= CONNECTS:
                        raise self.give_up(x, "no_worker", "No worker can be reached now.")
                    continue
                case AttemptOutcome.COMPLETE:
                    self.counts["whole"] += 1
                    if not x.request.gone:
                        x.request.finish()
                    return
                case AttemptOutcome.LATE:
                    self.counts["late"] += 1
                    if x.begun:
                        x.request.break_off()
                        return
                    raise errors.ServiceError("too_late", "No answer came in time.", self.known(x))
                case AttemptOutcome.UNRUN:
                    self.counts["unrun"] += 1
                    x.shun.add(name)
                    if flow.status == 421:
                        x.placement.blame(name, BROKEN)
                case AttemptOutcome.FAILED | AttemptOutcome.BROKE | AttemptOutcome.INTERRUPTED:
                    if outcome is AttemptOutcome.FAILED:
                        x.placement.blame(name, QUIET)
                    x.ran = True
                    x.shun.add(name)
            again = (x.idempotent if x.ran else True) and (not x.begun or x.resume) and self.may_repeat(x)
            if again and self.runtime.now() < x.until and self.others(x):
                self.node.gateway.retry_budgets.budget(x).spend(self.runtime.now())
                self.counts["resumed" if x.begun else "again"] += 1
                continue
            if x.begun:
                x.request.break_off()
                return
            match outcome:
                case AttemptOutcome.FAILED if flow.status not in PROMISES:
                    flow.hand_over()
                    return
                case AttemptOutcome.UNRUN:
                    raise self.give_up(x, "busy", "The worker turned it away.")
            raise self.give_up(x, "worker_broke", f"Worker {name} gave no answer.")

    def known(self, x: ForwardedRequest) -> errors.ExecutionOutcome:
        """What may be said of a request that is given up now."""
        return errors.ExecutionOutcome.MAY_HAVE_RUN if x.ran else errors.ExecutionOutcome.NOT_RUN

    def give_up(self, x: ForwardedRequest, code: str, text: str, back_us: int = 0) -> errors.ServiceError:
        """The final answer to a request that is given up."""
        if x.ran:
            return errors.ServiceError("worker_broke", text, errors.ExecutionOutcome.MAY_HAVE_RUN)
        return errors.ServiceError(code, text, retry_us=max(BACK_US, back_us))

    async def send(self, x: ForwardedRequest, w: message.Worker) -> tuple[AttemptOutcome | None, AnswerStream | None]:
        """Send to one worker: (Outcome, Flow), or (None, None) where it was not reached."""
        pool_placement = x.placement
        flow = AnswerStream(self, x, w.id)
        flow.expected = pool_placement.wait_us(w.id, x.pool, self.runtime.now())
        flow.tokens = pool_placement.begin(w.id, x.keys, x.attempt_id.sizes, x.loose)
        flow.expected += flow.tokens * 1000 // placement.READ_RATE
        late = None
        try:
            try:
                fresh_us = FRESH_REPEAT_US if x.idempotent else FRESH_US
                line = await self.lines.get(w, fresh_us, x.until - self.runtime.now())
            except worker_connections.UnreachableError:
                pool_placement.blame(w.id, BROKEN)
                self.counts["unreached"] += 1
                return None, None
            left = x.until - self.runtime.now()
            if left <= 0 or self.node.follower.state(w.id) != "ready":
                line.drop()
                return None, None
            raw = self.outer.head(x.request, len(x.raw), w, left, x.route.urgency, x.after)
            x.sends += 1
            self.counts["sends"] += 1
            flow.line = line
            flow.started_at = flow.last = self.runtime.now()
            self.flows.add(flow)
            if len(self.flows) == 1:
                self.started.wake()
            if x.keys:
                pool_placement.turn(x.keys[-1], w.id, x.terms, x.pool.cap)
            x.ran_before, x.ran = x.ran, True  # until the worker says that it did not
            x.request.registerProducer(flow, True)
            line.start(raw + x.raw, flow)
            late = self.runtime.later(left, flow.stop, AttemptOutcome.LATE)
            outcome = await flow.done
            x.ran = x.ran_before if outcome is AttemptOutcome.UNRUN else True
            return outcome, flow
        finally:
            if late is not None and late.active():
                late.cancel()
            self.flows.discard(flow)
            pool_placement.end(w.id, flow.tokens)
            if flow.line is not None and not x.request.gone and not x.request.finished:
                x.request.unregisterProducer()

    def state(self) -> dict[str, typing.Any]:
        """What this forwarder shows of itself."""
        return {
            "counts": self.counts,
            "places": [p.state() for _, p in sorted(self.placements.items())],
            "lines": sum(self.lines.open.values()),
        }
