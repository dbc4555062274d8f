"""The way of an exchange whose worker is elected at the node: place, send, stream, take up again.

Nothing waits here. An exchange goes to a worker at once, or is refused at once; what is known of
it decides which: a promise that it did not run, or none.
"""

from __future__ import annotations

import enum
import re
import types
import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.client as client
import iriswheel.machine as machine
import iriswheel.placement as placement
import iriswheel.verdict as verdict

if typing.TYPE_CHECKING:
    import iriswheel.gateway as gateway
    import iriswheel.message as message
    import iriswheel.node as node_module


FRESH_US = 2 * machine.SECOND  # a connection idle for longer carries nothing that may not be repeated
FRESH_REPEAT_US = 60 * machine.SECOND
LOOK_US = 100 * machine.MILLI
PAUSE_US = 300 * machine.MILLI  # silence on a stream that speaks against its worker
LONG_US = 1 * machine.SECOND  # likewise, before the first event of a long prompt
MUTE_US = 500 * machine.MILLI  # silence after which a stream that may be taken up again is
FIRST_MUTE_US = 1_200 * machine.MILLI  # and before the first event, where many wait
QUIET, BROKEN = 0.3, 0.5  # how much a silence, or a broken connection, counts against a worker
CONNECTS = 3  # workers tried that give no connection
BACK_US = 150 * machine.MILLI  # a refused client may come back after so long
SWEEP_US = 1 * machine.SECOND
RENEWED_US = 12 * machine.SECOND  # what runs when options are read again, or comes soon after, has ended by then
PROMISES = frozenset((408, 421, 429, 503))  # statuses by which a node promises that a request never ran

ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
END = re.compile(rb"\r?\n\r?\n")

log = loguru.logger.bind(part="carry")


class Outcome(enum.Enum):
    """How a send ended.

    >>> Outcome.WHOLE.name
    'WHOLE'
    """

    WHOLE = 1  # the worker's whole answer went to the client
    UNRUN = 2  # the worker said that it did not run it
    FAILED = 3  # the worker's own answer is a failure; nothing went to the client
    BROKE = 4  # it may have run; nothing went to the client
    TORN = 5  # it broke off after something had gone to the client
    LATE = 6  # the time is over


class Flow:
    """One send: takes what the worker's connection brings, and hands it to the client.

    Example: `flow = Flow(forwarder, x, worker, "")`; `line.start(raw, flow)`; `out = await flow.done`.
    """

    def __init__(self, forwarder: Forwarder, x: ForwardedRequest, worker: str) -> None:
        self.forwarder = forwarder
        self.x = x
        self.worker = worker
        self.mach = forwarder.mach
        self.bodyless = x.req.method == b"HEAD"  # its answer is a head alone
        self.line: client.Line | None = None
        self.done = defer.Deferred(lambda _: self.stop())
        self.began = self.last = self.mach.now()
        self.expected = 0  # how long its first event was expected to take
        self.blamed = False
        self.paused = False  # while the client reads too slowly
        self.tokens = 0  # of the prompt, not read yet as far as is known
        self.status = 0
        self.heads: list[tuple[bytes, bytes]] = []
        self.seen = False  # whether the answer's own bytes have come
        self.rest = b""  # the piece of an event that has no end yet
        self.small: list[bytes] = []  # an answer that is kept back: a refusal or a failure

    def owns(self, status: int, low: dict[str, str], used: int) -> bool | None:
        """Whether an answer is this exchange's; None where that can't be told.

        Example: `flow.owns(200, {"x-attempt-id": "a1"}, 1)`
        """
        mine = self.forwarder.outer.mine(self.x.ask.tag, status, low)
        return used <= 1 and self.forwarder.outer.unrun(status, low) or None if mine is None else mine

    def head(self, status: int, heads: list[tuple[bytes, bytes]], low: dict[str, str]) -> None:
        """The answer's head came.

        Example: `flow.head(200, heads, low)`
        """
        self.hear()
        self.status, self.heads, self.low = status, list(heads), low

    def hear(self) -> None:
        """The worker said something.

        Example: `flow.hear()`
        """
        self.last = self.mach.now()
        self.x.placement.hear(self.worker)

    def data(self, data: bytes) -> None:
        r"""A piece of the answer came.

        Example: `flow.data(b"id: 1\ndata: x\n\n")`
        """
        self.hear()
        if not 200 <= self.status < 300 or not self.forwarder.outer.sound(self.status, self.low):
            self.small.append(data)
            return
        if not self.seen:
            self.seen = True
            self.x.placement.first(self.worker, self.tokens, self.last - self.began, self.expected)
            self.tokens = 0
        if self.x.resume:
            data, self.rest = whole_events(self.rest + data)
            if not data:
                return
            ids = ID.findall(data)
            if ids:
                self.x.after = ids[-1].decode("latin-1")
        self.x.pass_on(self, data)

    def end(self) -> None:
        """The whole answer has come.

        Example: `flow.end()`
        """
        if not 200 <= self.status < 300:
            self.finish(Outcome.UNRUN if self.forwarder.outer.unrun(self.status, self.low) else Outcome.FAILED)
        elif not self.forwarder.outer.sound(self.status, self.low):
            self.finish(Outcome.BROKE)
        else:
            if self.rest:
                self.x.pass_on(self, self.rest)
            elif not self.x.begun:
                self.x.pass_on(self, b"")
            self.x.placement.forgive(self.worker)
            self.finish(Outcome.WHOLE)

    def hand_over(self) -> None:
        """Give the worker's own failure to the client, as it is.

        Example: `flow.hand_over()`
        """
        body, req = b"".join(self.small), self.x.req
        if req.gone:
            return
        req.setResponseCode(self.status)
        for name, val in self.forwarder.outer.home(self.heads, self.worker):
            req.responseHeaders.addRawHeader(name, val)
        req.setHeader("Content-Length", str(len(body)))
        req.write(body)
        req.finish()

    def lost(self, why: str) -> None:
        """The connection broke off, or brought what is no answer.

        Example: `flow.lost("closed")`
        """
        self.forwarder.counts["broke"] += 1
        self.x.placement.blame(self.worker, BROKEN)
        self.finish(Outcome.TORN if self.x.begun else Outcome.BROKE)

    def stop(self, outcome: Outcome | None = None) -> None:
        """End the send from this side; the worker's connection is broken off.

        Example: `flow.stop(Outcome.LATE)`
        """
        if self.line is not None:
            self.line.drop()
        if outcome is not None:
            self.finish(outcome)

    def finish(self, outcome: Outcome) -> None:
        """The send is over.

        Example: `flow.finish(Outcome.WHOLE)`
        """
        if not self.done.called:
            self.done.callback(outcome)

    def pauseProducing(self) -> None:
        self.paused = True
        if self.line is not None and self.line.flow is self:
            self.line.pause()

    def resumeProducing(self) -> None:
        self.paused = False
        self.last = self.mach.now()
        if self.line is not None and self.line.flow is self:
            self.line.resume()

    def stopProducing(self) -> None:
        pass  # the client's going away is noticed by the door


def whole_events(raw: bytes) -> tuple[bytes, bytes]:
    r"""What of a stream's bytes makes whole events, and the rest.

    >>> whole_events(b"id: 1\n\nid: 2\n\nid:")
    (b'id: 1\n\nid: 2\n\n', b'id:')
    >>> whole_events(b"id: 1\n")
    (b'', b'id: 1\n')
    """
    cut = max((end.end() for end in END.finditer(raw)), default=0)
    return raw[:cut], raw[cut:]


class ForwardedRequest:
    """One exchange on this way; what is kept over its sends.

    Example: `x = ForwardedRequest(exchange, placement)`
    """

    def __init__(self, exchange: gateway.Exchange, place: placement.Placement) -> None:
        self.req = exchange.req
        self.ask = exchange.said
        self.raw = exchange.raw
        self.route, self.pool, self.terms = exchange.route, exchange.pool, exchange.terms
        self.pool_name = exchange.pool_name
        self.placement = place
        self.repeatable = exchange.repeatable
        self.resume = exchange.route.resume
        self.until = exchange.until
        self.keys = placement.chain(self.ask.parts)
        self.loose = max(0, self.ask.tokens_in - sum(self.ask.sizes))  # tokens that no part names
        self.own = self.loose + (self.ask.sizes[-1] if self.ask.sizes else 0)
        self.after = self.ask.after
        self.begun = False  # whether a byte went to the client
        self.ran = False  # whether a worker may have run it
        self.sends = 0
        self.shun: set[str] = set()  # workers that it is not sent to any more

    def pass_on(self, flow: Flow, data: bytes) -> None:
        r"""Hand a piece to the client; the first one takes the answer's head along.

        Example: `x.pass_on(flow, b"data: x\n\n")`
        """
        if self.req.gone or self.req.finished:
            return
        if not self.begun:
            self.begun = True
            self.req.setResponseCode(flow.status)
            for name, val in flow.forwarder.outer.home(flow.heads, flow.worker):
                self.req.responseHeaders.addRawHeader(name, val)
            length = flow.low.get("content-length")
            if length is not None and not self.resume:  # what another worker adds may be longer or shorter
                self.req.setHeader("Content-Length", length)
            if flow.forwarder.node.stopping:
                self.req.setHeader("Connection", "close")
        if data:
            self.req.write(data)


class Forwarder:
    """A node's forwarder of exchanges to workers that it elects itself.

    Example: `forwarder = Forwarder(node)`; `await forwarder.carry(exchange)`.
    """

    def __init__(self, node: node_module.Node | types.SimpleNamespace) -> None:
        self.node = node
        self.mach = node.mach
        self.outer = node.outer
        self.lines = client.Lines(node.mach)
        self.places: dict[str, placement.Placement] = {}  # pool -> placement.Placement
        self.flows: set[Flow] = set()
        self.started = machine.Signal()
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

    def place(self, pool: str) -> placement.Placement:
        """The placement over a pool.

        Example: `forwarder.place("desk")`
        """
        if pool not in self.places:
            p = self.places[pool] = placement.Placement(self.mach, pool)
            p.told_heavy, p.told_some = self.node.loads.soon.wake, self.node.loads.touch
        return self.places[pool]

    async def look(self) -> None:
        """Look after streams that fell silent, idle connections and sessions; one task.

        Example: `mach.spawn(forwarder.look())`
        """
        swept = 0
        while not self.node.left:
            if not self.flows:
                await self.mach.pause(self.started, SWEEP_US)
            await self.mach.sleep(LOOK_US)
            now = self.mach.now()
            self.look_for_silence(now)
            if now - swept > SWEEP_US:
                swept = now
                fol = self.node.follower
                self.lines.sweep({w.id for w in fol.workers if w.state != "gone"})
                for pool, p in self.places.items():
                    p.sweep({w.id for w in fol.workers if w.pool == pool and w.state == "ready"})

    def look_for_silence(self, now: int) -> None:
        """Blame workers that keep sends waiting; take up elsewhere what may be.

        Where many sends wait for longer than they should, it is the load, and more sends make it worse.

        Example: `forwarder.look_for_silence(mach.now())`
        """
        waiting = [f for f in self.flows if not f.seen]
        over = {f for f in waiting if now - f.began > f.x.placement.patience_us(f.expected)}
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
            if not (f.x.resume and f.x.repeatable and self.may_repeat(f.x) and self.others(f.x, f.worker)):
                continue  # a silent worker may still go on
            if f.x.begun and self.planned_work(now):
                continue  # a refusal elsewhere would end an answer that planned work must not cut
            mute = f.x.placement.mute(f.worker, now)
            if f.seen and quiet > MUTE_US or f in over and (not crowded or mute and quiet > FIRST_MUTE_US):
                self.counts["mute"] += 1
                f.stop(Outcome.TORN if f.x.begun else Outcome.BROKE)

    def planned_work(self, now: int) -> bool:
        """Whether this node stops, or has read its options again not long ago.

        Example: `forwarder.planned_work(mach.now())`
        """
        renewed_at = self.node.renewed_at
        return self.node.stopping or renewed_at is not None and now - renewed_at < RENEWED_US

    def may_repeat(self, x: ForwardedRequest) -> bool:
        """Whether an exchange may be sent once more, by its route and this node's share of the budget.

        Example: `forwarder.may_repeat(x)`
        """
        return (not x.route.sends or x.sends < x.route.sends) and self.node.door.tally(x).room(self.mach.now())

    def ready(self, pool: str) -> list[str]:
        """The workers of a pool that may be sent to.

        Example: `forwarder.ready("desk")`
        """
        return [w.id for w in self.node.follower.workers if w.pool == pool and w.state == "ready"]

    def others(self, x: ForwardedRequest, *but: str) -> list[str]:
        """The workers that an exchange may still be sent to.

        Example: `forwarder.others(x, "w1")`
        """
        return [n for n in self.ready(x.pool_name) if n not in x.shun and n not in but]

    async def carry(self, exchange: gateway.Exchange) -> None:
        """Carry one exchange to its end; raises verdict.Defect where it is refused.

        Example: `await forwarder.carry(exchange)`
        """
        x = ForwardedRequest(exchange, self.place(exchange.pool_name))
        work = defer.ensureDeferred(self.run(x))
        lost = x.req.lost.wait()
        lost.addCallback(lambda _: work.cancel())
        try:
            await work
        except defer.CancelledError:
            self.counts["gone"] += 1
        finally:
            lost.addErrback(lambda _: None)
            lost.cancel()

    async def run(self, x: ForwardedRequest) -> None:
        """Send until an answer stands or the exchange must be given up.

        Example: `await forwarder.run(x)`
        """
        unreached = 0
        while True:
            name, wait = x.placement.pick(x.ask, x.keys, x.own, self.ready(x.pool_name), x.pool, x.shun)
            now = self.mach.now()
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
                case Outcome.WHOLE:
                    self.counts["whole"] += 1
                    if not x.req.gone:
                        x.req.finish()
                    return
                case Outcome.LATE:
                    self.counts["late"] += 1
                    if x.begun:
                        x.req.break_off()
                        return
                    raise verdict.ServiceError("too_late", "No answer came in time.", self.known(x))
                case Outcome.UNRUN:
                    self.counts["unrun"] += 1
                    x.shun.add(name)
                    if flow.status == 421:
                        x.placement.blame(name, BROKEN)
                case Outcome.FAILED | Outcome.BROKE | Outcome.TORN:
                    if outcome is Outcome.FAILED:
                        x.placement.blame(name, QUIET)
                    x.ran = True
                    x.shun.add(name)
            again = (x.repeatable if x.ran else True) and (not x.begun or x.resume) and self.may_repeat(x)
            if again and self.mach.now() < x.until and self.others(x):
                self.node.door.tally(x).spend(self.mach.now())
                self.counts["resumed" if x.begun else "again"] += 1
                continue
            if x.begun:
                x.req.break_off()
                return
            match outcome:
                case Outcome.FAILED if flow.status not in PROMISES:
                    flow.hand_over()
                    return
                case Outcome.UNRUN:
                    raise self.give_up(x, "busy", "The worker turned it away.")
            raise self.give_up(x, "worker_broke", f"Worker {name} gave no answer.")

    def known(self, x: ForwardedRequest) -> verdict.Verdict:
        """What may be said of an exchange that is given up now.

        Example: `forwarder.known(x)`
        """
        return verdict.Verdict.MAY_HAVE_RUN if x.ran else verdict.Verdict.NOT_RUN

    def give_up(self, x: ForwardedRequest, code: str, text: str, back_us: int = 0) -> verdict.ServiceError:
        """The final answer to an exchange that is given up.

        Example: `raise forwarder.give_up(x, "busy", "The worker turned it away.")`
        """
        if x.ran:
            return verdict.ServiceError("worker_broke", text, verdict.Verdict.MAY_HAVE_RUN)
        return verdict.ServiceError(code, text, retry_us=max(BACK_US, back_us))

    async def send(self, x: ForwardedRequest, w: message.Worker) -> tuple[Outcome | None, Flow | None]:
        """Send to one worker: (Outcome, Flow), or (None, None) where it was not reached.

        Example: `outcome, flow = await forwarder.send(x, worker)`
        """
        place = x.placement
        flow = Flow(self, x, w.id)
        flow.expected = place.wait_us(w.id, x.pool, self.mach.now())
        flow.tokens = place.begin(w.id, x.keys, x.ask.sizes, x.loose)
        flow.expected += flow.tokens * 1000 // placement.READ_RATE
        late = None
        try:
            try:
                fresh_us = FRESH_REPEAT_US if x.repeatable else FRESH_US
                line = await self.lines.get(w, fresh_us, x.until - self.mach.now())
            except client.UnreachableError:
                place.blame(w.id, BROKEN)
                self.counts["unreached"] += 1
                return None, None
            left = x.until - self.mach.now()
            if left <= 0 or self.node.follower.state(w.id) != "ready":
                line.drop()
                return None, None
            raw = self.outer.head(x.req, len(x.raw), w, left, x.route.urgency, x.after)
            x.sends += 1
            self.counts["sends"] += 1
            flow.line = line
            flow.began = flow.last = self.mach.now()
            self.flows.add(flow)
            if len(self.flows) == 1:
                self.started.wake()
            if x.keys:
                place.turn(x.keys[-1], w.id, x.terms, x.pool.cap)
            x.ran_before, x.ran = x.ran, True  # until the worker says that it did not
            x.req.registerProducer(flow, True)
            line.start(raw + x.raw, flow)
            late = self.mach.later(left, flow.stop, Outcome.LATE)
            outcome = await flow.done
            x.ran = x.ran_before if outcome is Outcome.UNRUN else True
            return outcome, flow
        finally:
            if late is not None and late.active():
                late.cancel()
            self.flows.discard(flow)
            place.end(w.id, flow.tokens)
            if flow.line is not None and not x.req.gone and not x.req.finished:
                x.req.unregisterProducer()

    def state(self) -> dict[str, typing.Any]:
        """What this forwarder shows of itself.

        Example: `forwarder.state()["counts"]`
        """
        return {
            "counts": self.counts,
            "places": [p.state() for _, p in sorted(self.places.items())],
            "lines": sum(self.lines.open.values()),
        }
