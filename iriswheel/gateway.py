"""The way of an exchange through a node: door, filters, holding, elect, send, stream."""

from __future__ import annotations

import collections.abc
import types
import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.budget as budget
import iriswheel.dispatch as dispatch
import iriswheel.edge_protocol as edge_protocol
import iriswheel.forwarding as forwarding
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.session as session
import iriswheel.verdict as verdict
import iriswheel.wire as wire

if typing.TYPE_CHECKING:
    import iriswheel.configuration as configuration
    import iriswheel.node as node_module
    import iriswheel.web as web


WORK_BYTES = 16  # body bytes for one unit of work
WORK_LEAST = 20
QUIET_US = 600 * machine.MILLI  # a warden not heard for this long is silent
RESENDS = 3
REJOIN_US = 1 * machine.SECOND
HANG_US = 1 * machine.SECOND  # nothing came on a send for so long
GIVEN_UP_US = 10 * machine.SECOND  # how long wardens are told of an ask that was given up
PASS_US = 700 * machine.MILLI

log = loguru.logger.bind(part="door")


class Exchange:
    """One exchange on its way through the node.

    Example: `x = Exchange(req, "n1-7/0", now)`
    """

    def __init__(self, req: web.Request | None, ask: str, now: int) -> None:
        self.req = req
        self.ask = ask
        self.arrived = now
        self.raw = b""
        self.said: typing.Any = None  # outer.Ask
        self.parts: list[typing.Any] = []
        self.exchange = ""
        self.send = 0
        self.repeatable = False
        self.route = self.pool_name = self.pool = self.terms = None
        self.session = ""
        self.long = False
        self.work = 0
        self.until = now
        self.place = 0  # the configuration's place when it was routed
        self.sent = False  # whether a send may have reached a worker
        self.asked = False  # whether a warden may hold a grant for it


class Lane:
    """A bounded holding with a fixed number of hands that empty it.

    >>> async def work(x): done.append(x)
    >>> done = []; lane = Lane(None, room=1, hands=1, work=work)
    >>> lane.put("a"), done
    (True, ['a'])
    """

    def __init__(
        self, mach: machine.Machine | None, room: int, hands: int, work: collections.abc.Callable[..., object]
    ) -> None:
        self.mach = mach or machine.Machine(None, now=lambda: 0)
        self.holding = machine.BoundedQueue(room)
        self.hands = hands
        self.work = work
        self.running = 0

    def put(self, x: Exchange | str) -> bool:
        """Take an exchange in, or say that there is no room.

        >>> async def wait(x): await defer.Deferred()
        >>> lane = Lane(None, room=1, hands=1, work=wait)
        >>> [lane.put(x) for x in "abc"]
        [True, True, False]
        """
        if self.running < self.hands:
            self.running += 1
            self.mach.spawn(self._hand(x), log)
            return True
        return self.holding.put(x)

    async def _hand(self, x: Exchange | str) -> None:
        try:
            await self.work(x)
            while len(self.holding):
                await self.work(self.holding.take())
        finally:
            self.running -= 1


class Gateway:
    """The node's side towards clients.

    Example: `door = Gateway(node)`; `Server(mach, door.handle)`.
    """

    def __init__(self, node: node_module.Node | types.SimpleNamespace) -> None:
        self.node = node
        self.mach = node.mach
        # pool -> budget.Budget, this node's part of the pool's retry budget
        self.tallies: dict[str, budget.Budget] = {}
        self.began = self.mach.now()
        self.sizes: list[tuple[int, int]] = []  # (when, members) of the fleet over the retry window, the largest first
        self.lanes = {
            False: Lane(self.mach, room=512, hands=256, work=self.carry),
            True: Lane(self.mach, room=64, hands=48, work=self.carry),
        }
        self.forwarder = forwarding.Forwarder(node)
        self.filters = [self.parse, self.route, self.terms, self.admit]
        self.count = 0
        self.open = 0
        self.sends: dict[str, dispatch.Send] = {}  # ask -> sender.Send, under way
        self.pins: dict[tuple[str, str], tuple[str, int]] = {}  # (pool, session) -> (worker, until)
        # token -> (worker, until): exchanges of other nodes that may pass here
        self.passes: dict[typing.Any, typing.Any] = {}
        self.counts = {"exchanges": 0, "whole": 0, "torn": 0, "repeats": 0, "bypass": 0, "passed": 0, "gone": 0}
        self.refused: dict[str, int] = {}
        self.closed = machine.Signal()

    async def handle(self, req: web.Request) -> None:
        """Serve one exchange from its arrival to its end.

        Example: `Server(mach, door.handle)`
        """
        path = req.path.decode("latin-1")
        match (req.method, path):
            case (b"GET", edge_protocol.READY_PATH):
                if self.node.stopping:
                    self.node.asked_at = self.node.asked_at or self.mach.now()
                req.answer_json(*self.node.outer.ready(*self.node.ready()))
                return
            case (b"GET", "/state"):
                req.answer_json(200, self.node.state())
                return
        if req.requestHeaders.hasHeader(edge_protocol.PASS):
            await self.pass_on(req)
            return
        self.counts["exchanges"] += 1
        self.open += 1
        try:
            await self.take(req)
        except verdict.ServiceError as d:
            self.refused[d.code] = self.refused.get(d.code, 0) + 1
            raise
        finally:
            self.open -= 1
            self.closed.wake()

    async def take(self, req: web.Request) -> None:
        """Lead an exchange through the filters and into its lane.

        Example: `await door.take(req)`
        """
        self.count += 1
        x = Exchange(req, f"{self.node.me.id}-{self.count}/0", self.mach.now())
        for f in self.filters:
            f(x)
        if x.pool.election == "node":
            await self.forwarder.carry(x)
            return
        x.done = defer.Deferred()
        if not self.lanes[x.long].put(x):
            raise verdict.ServiceError("busy", "This node holds as many exchanges as it can.")
        await x.done

    # ---- filters -------------------------------------------------------------------

    def parse(self, x: Exchange) -> None:
        """Read what the client says about the exchange.

        Example: `door.parse(x)`
        """
        req, heads = x.req, x.req.requestHeaders
        if req.method != b"POST" and not self.node.outer.any_method:
            raise verdict.ServiceError("bad_method", "Exchanges are sent with POST.")
        if req.method == b"POST" and not heads.hasHeader("content-length") and not heads.hasHeader("transfer-encoding"):
            raise verdict.ServiceError("length_required", "The body's length is not said.", field="Content-Length")
        x.said = self.node.outer.ask(req)
        x.parts, x.exchange, x.send = x.said.parts, x.said.exchange, x.said.send
        x.repeatable = x.said.repeatable
        x.raw = req.content.read()

    def route(self, x: Exchange) -> None:
        """Find the route: the longest path that fits; then its pool.

        Example: `door.route(x)`
        """
        fol = self.node.follower
        if fol.items is None:
            raise verdict.ServiceError("not_ready", "This node has no blueprint yet.")
        x.route = fol.find(x.said.host, x.req.path.decode("latin-1"))
        if x.route is None and (fol.stale() or not fol.settled()):
            raise verdict.ServiceError("not_ready", "This node is cut off for now.", self.known(x))
        if x.route is None:
            raise verdict.ServiceError("no_route", "No route fits this path.", self.known(x), field="path")
        match x.route.repeat:
            case "may":
                x.repeatable = True
            case "never":
                x.repeatable = False
        x.pool_name = self.share(x.route)
        x.pool = fol.pools[x.pool_name]
        x.place = fol.place

    def share(self, route: configuration.Route) -> str:
        """The pool of a route; where the route is split, one by the weights.

        Example: `name = door.share(route)`
        """
        if not route.split:
            return route.pool
        at = self.mach.rng.random() * sum(s["weight"] for s in route.split)
        for s in route.split:
            at -= s["weight"]
            if at < 0:
                break
        return s["pool"]

    def terms(self, x: Exchange) -> None:
        """Find the conversation's terms and its session's id.

        Example: `door.terms(x)`
        """
        x.terms = self.node.follower.terms[x.route.requesters.get(x.said.requester, x.route.terms)]
        if x.pool.election == "node":
            spans = [us for us in (x.said.left_us, x.route.cutoff_us or None) if us is not None]
            x.until = x.arrived + min(spans, default=x.pool.long_wait_us)
            return
        x.session = session.derive(x.parts, x.terms.session_part)
        x.long = len(x.raw) >= x.pool.long_bytes
        x.work = WORK_LEAST + len(x.raw) // WORK_BYTES
        x.until = max(x.until, x.arrived + (x.pool.long_wait_us if x.long else x.pool.short_wait_us))

    def admit(self, x: Exchange) -> None:
        """Note the exchange in this node's tally; the warden keeps the budget of all nodes.

        Example: `door.admit(x)`
        """
        if self.node.closing:
            raise verdict.ServiceError("stopping", "This node is stopping.")
        if x.send <= 1:
            self.tally(x).first(self.mach.now(), x.exchange or x.ask)

    def reroute(self, x: Exchange) -> None:
        """Find the route anew, where the configuration changed while the exchange waited.

        Example: `door.reroute(x)`
        """
        if x.place != self.node.follower.place:
            self.route(x)
            self.terms(x)

    def tally(self, x: Exchange | types.SimpleNamespace) -> budget.Budget:
        """This node's part of the retry budget of an exchange's pool.

        Example: `door.tally(x).first(now, "x1")`
        """
        if x.pool_name not in self.tallies:
            o = self.node.options
            self.tallies[x.pool_name] = budget.Budget(ratio=o.retry_ratio, window_us=o.retry_window_us)
        t = self.tallies[x.pool_name]
        if x.pool.election == "node":  # no warden keeps the fleet's budget: this node has its part of the slack
            t.slack = self.slack()
        return t

    def slack(self) -> int:
        """This node's part of the free repeats that the whole fleet has in a retry window.

        Members that were there within the window may have spent their parts, so the largest
        fleet counts; and a node's life before this one may have spent this node's.

        Example: `door.slack()`
        """
        o, now, members = self.node.options, self.mach.now(), len(self.node.follower.roster.members)
        since = now - o.retry_window_us
        self.sizes = [(at, n) for at, n in self.sizes if at > since and n > members] + [(now, members)]
        return 0 if self.began > since else o.retry_slack // (self.sizes[0][1] + 1)

    # ---- elect and send ----------------------------------------------------------------

    async def carry(self, x: Exchange) -> None:
        """Elect, send and stream one exchange; its client's going away ends it at once.

        Example: `Lane(mach, 64, 48, door.carry)`
        """
        if x.req.gone:
            self.counts["gone"] += 1
            x.done.callback(None)
            return
        work = defer.ensureDeferred(self.run(x))
        lost = x.req.lost.wait()
        lost.addCallback(lambda _: work.cancel())
        try:
            await work
        except defer.CancelledError:
            self.counts["gone"] += 1
            x.done.callback(None)
        except Exception as e:
            x.done.errback(e)
        else:
            x.done.callback(None)
        finally:
            lost.addErrback(lambda _: None)
            lost.cancel()

    async def run(self, x: Exchange) -> None:
        """Send until an answer stands or the exchange must be given up.

        Example: `await door.run(x)`
        """
        shun, broke = [], 0
        while True:
            outcome = verdict.Verdict.NOT_RUN
            try:
                worker, via = await self.elect(x, shun)
                if x.sent or x.send > 1:
                    self.tally(x).repeats.append(self.mach.now())
                    self.counts["repeats"] += 1
                outcome = verdict.Verdict.MAY_HAVE_RUN
                send = self.sends[x.ask] = dispatch.Send(worker.id, self.mach.now())
                match await self.send(x, worker, send, via):
                    case dispatch.Outcome.WHOLE:
                        outcome = verdict.Verdict.RAN
                        self.counts["whole"] += 1
                        return
                    case dispatch.Outcome.TORN:
                        self.counts["torn"] += 1
                        x.req.break_off()
                        return
                    case dispatch.Outcome.UNSENT:
                        outcome = verdict.Verdict.NOT_RUN
                    case dispatch.Outcome.BROKE:
                        x.sent = True
                        broke += 1
                        x.until = max(x.until, self.mach.now() + REJOIN_US)
            finally:
                self.sends.pop(x.ask, None)
                self.give_back(x, outcome)
            shun.append(worker.id)
            x.ask = anew(x.ask)
            most = min(RESENDS + 1, x.route.sends or RESENDS + 1)
            if broke and (not x.repeatable or broke >= most):
                raise verdict.ServiceError(
                    "worker_broke", f"Worker {worker.id} gave no answer.", verdict.Verdict.MAY_HAVE_RUN
                )

    async def send(self, x: Exchange, worker: message.Worker, send: dispatch.Send, via: str) -> dispatch.Outcome:
        """Send to a worker; by way of another node where this one does not reach it.

        Example: `out = await door.send(x, worker, dispatch.Send("w1"), "n2-c0ffee")`
        """
        lost = self.node.reach.lost
        m = self.node.follower.member(via) if worker.id in lost else None
        send.via = m is not None
        if m is None:
            out = await self.node.sender.send(x.req, x.raw, worker, x.repeatable, send)
            if out is dispatch.Outcome.UNSENT:
                self.node.reach.miss(worker.id)
            return out
        try:
            res = await self.node.peers.call(m.host, m.port, message.Pass(worker.id), PASS_US)
        except (wire.ConnectionBrokenError, machine.DeadlineError):
            return dispatch.Outcome.UNSENT
        if not res.token:
            return dispatch.Outcome.UNSENT
        self.counts["passed"] += 1
        return await self.node.sender.send(x.req, x.raw, worker, x.repeatable, send, res.token, (m.host, m.http))

    def let_pass(self, name: typing.Any) -> typing.Any:
        """A token for one exchange of another node to a worker, or "" where this node can't help.

        Example: `token = door.let_pass("w1")`
        """
        fol, now = self.node.follower, self.mach.now()
        for token in [t for t, (_, until) in self.passes.items() if until < now]:
            del self.passes[token]
        if fol.state(name) != "ready" or name in self.node.reach.lost or not fol.settled() or not fol.worker_news():
            return ""
        token = f"{self.mach.rng.getrandbits(96):024x}"
        self.passes[token] = (name, now + PASS_US)
        return token

    async def pass_on(self, req: typing.Any) -> None:
        """Pass an exchange of another node on to its worker; that node answers for it.

        Example: `await door.pass_on(req)`
        """
        name, until = self.passes.pop(edge_protocol.header(req.requestHeaders, edge_protocol.PASS), ("", 0))
        w = self.node.follower.states.get(name)
        out = dispatch.Outcome.UNSENT
        if w is not None and w.state == "ready" and self.mach.now() < until:
            self.count += 1
            ask = f"{self.node.me.id}-{self.count}"
            send = self.sends[ask] = dispatch.Send(name, self.mach.now())
            work = defer.ensureDeferred(self.node.sender.send(req, req.content.read(), w, False, send))
            lost = req.lost.wait()
            lost.addCallback(lambda _: work.cancel())
            self.open += 1
            try:
                out = await work
            except defer.CancelledError:
                return
            finally:
                self.open -= 1
                self.closed.wake()
                del self.sends[ask]
                lost.addErrback(lambda _: None)
                lost.cancel()
        match out:
            case dispatch.Outcome.TORN:
                req.break_off()
            case dispatch.Outcome.UNSENT | dispatch.Outcome.BROKE:
                d = verdict.ServiceError("no_worker", "The worker was not reached.")
                req.answer(d.status, d.body(), {edge_protocol.PASS: out.name.lower()})

    def cut_dark(self, name: typing.Any) -> None:
        """Wait no longer for a first byte of a worker that nobody reaches.

        Example: `door.cut_dark("w1")`
        """
        for send in [s for s in self.sends.values() if s.worker == name and not s.begun]:
            send.cut()

    async def look_for_hangs(self) -> None:
        """Twice a second: where sends to a worker hang, see whether it can still be reached from here.

        Those to one that can't are ended: a connection that was cut tells nobody.

        Example: `mach.spawn(door.look_for_hangs())`
        """
        while not self.node.left:
            await self.mach.sleep(500 * machine.MILLI)
            hung = [s for s in self.sends.values() if not s.via and self.mach.now() - s.last > HANG_US]
            for name in sorted({s.worker for s in hung}):
                self.mach.spawn(self.end_hangs(name), log)

    async def end_hangs(self, name: str) -> None:
        """End the sends that hang on a worker, if no connection to it can be had from here.

        Example: `await door.end_hangs("w1")`
        """
        w = self.node.follower.states.get(name)
        if w is not None and name not in self.node.reach.lost and (await self.node.reach.probe(w)).sort != "none":
            return
        for s in [s for s in self.sends.values() if s.worker == name and not s.via]:
            if self.mach.now() - s.last > HANG_US:
                s.cut()

    def cut_drained(self) -> None:
        """End the sends to workers that left and have had their time for them.

        Example: `door.cut_drained()`
        """
        for send in [s for s in self.sends.values() if self.node.follower.drained(s.worker)]:
            send.cut()

    def give_back(self, x: Exchange, outcome: verdict.Verdict) -> None:
        """Tell the warden that a grant is over, or was never used.

        Example: `door.give_back(x, verdict.Verdict.RAN)`
        """
        if not x.asked:
            return
        x.asked = False
        self.node.grants.pop(x.ask, None)
        if outcome == verdict.Verdict.NOT_RUN:
            self.node.given_up[x.ask] = (x.pool_name, self.mach.now() + GIVEN_UP_US)
        duty = self.node.follower.duty(f"pool/{x.pool_name}")
        if duty is not None:
            self.node.tell_member(duty.holder, message.Done(x.pool_name, x.ask, outcome.value))

    async def elect(self, x: Exchange, shun: list[typing.Any]) -> tuple[message.Worker, str]:
        """Get a worker from the pool's warden; raises Defect where none is to be had.

        Example: `worker = await door.elect(x, [])`
        """
        fol = self.node.follower
        said = None
        while True:
            self.reroute(x)
            now = self.mach.now()
            left = x.until - now
            if left <= 0:
                raise said or verdict.ServiceError("no_warden", "The pool's warden does not answer.", self.known(x))
            if not fol.settled() or not fol.worker_news() or fol.stale():
                said = verdict.ServiceError("not_ready", "This node is cut off for now.", self.known(x))
                x.until = min(x.until, x.arrived + REJOIN_US)
                await self.mach.sleep(min(left, 50 * machine.MILLI))
                continue
            duty = fol.duty(f"pool/{x.pool_name}")
            res = None
            if duty is not None:
                res = await self.ask(x, duty, shun, left)
            match res:
                case message.Granted(worker=name, term=term):
                    latest = fol.duty(f"pool/{x.pool_name}")
                    w = fol.states.get(name)
                    if (
                        latest is not None
                        and term >= latest.term
                        and self.may_send(x, w)
                        and self.mach.now() < x.until + machine.SECOND
                    ):
                        if x.session:
                            self.pins[(x.pool_name, x.session)] = (name, self.mach.now() + res.session_us)
                        self.node.grants[x.ask] = message.Grant(
                            x.pool_name, x.ask, self.node.me.id, name, x.session, x.work, x.long
                        )
                        return w, res.via
                    self.give_back(x, verdict.Verdict.NOT_RUN)
                    x.ask = anew(x.ask)
                case message.Denied(code="no_warden"):
                    said = verdict.ServiceError("no_warden", res.text, self.known(x))
                case message.Denied():
                    may = self.known(x) if res.verdict == "not_run" else verdict.Verdict(res.verdict)
                    raise verdict.ServiceError(res.code, res.text, may, res.retry_us)
                case None:
                    w = self.bypass(x, shun)
                    if w is not None:
                        self.counts["bypass"] += 1
                        return w, ""
            await self.mach.sleep(50 * machine.MILLI)

    def known(self, x: Exchange) -> verdict.Verdict:
        """What may be said of an exchange that is given up now.

        Example: `door.known(x)`
        """
        return verdict.Verdict.MAY_HAVE_RUN if x.sent else verdict.Verdict.NOT_RUN

    def may_send(self, x: Exchange, w: message.Worker) -> bool:
        """The last look before a send: the worker is ready, the pool still in a route.

        Example: `door.may_send(x, worker)`
        """
        fol = self.node.follower
        return (
            w is not None
            and w.state == "ready"
            and w.pool == x.pool_name
            and fol.settled()
            and not fol.stale()
            and any(r.pool == x.pool_name and covers(r.path, x.req.path.decode("latin-1")) for r in fol.routes.values())
        )

    def bypass(self, x: Exchange, shun: list[typing.Any]) -> message.Worker | None:
        """While the warden is silent: the worker of a session known to be pinned, or None.

        Example: `worker = door.bypass(x, [])`
        """
        if not x.repeatable or not x.session or x.sent or x.send > 1:
            return None  # repeats go by the warden's budget
        name, until = self.pins.get((x.pool_name, x.session), ("", 0))
        w = self.node.follower.states.get(name)
        now = self.mach.now()
        if until > now and name not in shun and self.may_send(x, w) and self.node.follower.worker_news():
            self.pins[(x.pool_name, x.session)] = (name, now + x.terms.lifetime_us)
            return w
        return None

    async def ask(
        self, x: Exchange, duty: message.Duty, shun: list[typing.Any], left: int
    ) -> message.Denied | message.Granted | None:
        """Put the question to the warden; None where it is silent.

        Example: `res = await door.ask(x, duty, [], 2_000_000)`
        """
        terms = {"lifetime_us": x.terms.lifetime_us, "cost": x.terms.cost}
        msg = message.Elect(
            x.pool_name,
            duty.term,
            self.node.me.id,
            x.ask,
            x.exchange,
            x.send,
            x.repeatable,
            x.session,
            x.parts,
            x.work,
            x.long,
            shun,
            terms,
            left,
            x.sent or x.send > 1,
        )
        x.asked = True
        if duty.holder == self.node.me.id:
            w = self.node.wardens.get(x.pool_name)
            if w is None:
                return None
            # the warden's step is never cut short: a given-up grant is handed back instead
            got = defer.Deferred()
            self.mach.spawn(w.elect(msg), log).addBoth(lambda r: got.called or got.callback(r))
            return await got
        m = self.node.follower.member(duty.holder)
        if m is None:
            return None
        try:
            link = await self.node.peers.reach(m.host, m.port)
        except wire.ConnectionBrokenError:
            return None
        d = link.call(msg, left + 500 * machine.MILLI)
        got, answered = [], machine.Signal()
        d.addCallbacks(got.append, lambda _: got.append(None))
        d.addBoth(lambda _: answered.wake())
        try:
            while not got:
                await self.mach.pause(answered, 100 * machine.MILLI)
                if not got and self.mach.now() - link.heard > QUIET_US:
                    return None
            return got[0]
        finally:
            d.cancel()


def anew(ask: str) -> str:
    """The next ask of the same try: one try makes one after the other, never two that are used.

    >>> anew("n1-c0ffee-7/0")
    'n1-c0ffee-7/1'
    """
    root, _, k = ask.rpartition("/")
    return f"{root}/{int(k) + 1}"


def covers(path: str, want: str) -> bool:
    """Whether a route's path covers an exchange's: the same, or above it.

    >>> covers("/v1", "/v1/chat"), covers("/v1", "/v10"), covers("/", "/any")
    (True, False, True)
    """
    return want == path or want.startswith(path if path.endswith("/") else path + "/")
