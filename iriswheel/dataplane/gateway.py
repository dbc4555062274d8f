"""The way of a request through a node: door, filters, holding, elect, send, stream."""

from __future__ import annotations

import collections.abc
import types
import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.dataplane.dispatch as dispatch
import iriswheel.dataplane.edge_protocol as edge_protocol
import iriswheel.dataplane.forwarding as forwarding
import iriswheel.dataplane.retry_budget as retry_budget
import iriswheel.dataplane.sessions as sessions
import iriswheel.errors as errors
import iriswheel.runtime.queues as queues
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import iriswheel.transport.message as message
import iriswheel.transport.wire as wire

if typing.TYPE_CHECKING:
    import iriswheel.configuration.configuration as configuration
    import iriswheel.node.node as node
    import iriswheel.transport.http_server as http_server


WORK_BYTES = 16  # body bytes for one unit of work
WORK_LEAST = 20
QUIET_US = 600 * units.MILLISECOND_US  # a pool owner not heard for this long is silent
RESENDS = 3
REJOIN_US = 1 * units.SECOND_US
HANG_US = 1 * units.SECOND_US  # nothing came on a send for so long
GIVEN_UP_US = 10 * units.SECOND_US  # how long pool owners are told of an ask that was given up
PASS_US = 700 * units.MILLISECOND_US

log = loguru.logger.bind(part="door")


class RoutedRequest:
    """One request on its way through the node."""

    def __init__(self, request: http_server.Request | None, ask: str, now: int) -> None:
        self.request = request
        self.attempt_id = ask
        self.arrived = now
        self.raw = b""
        self.parsed: typing.Any = None  # outer.Ask
        self.parts: list[typing.Any] = []
        self.request_id = ""
        self.send = 0
        self.idempotent = False
        self.route = self.pool_name = self.pool = self.terms = None
        self.session = ""
        self.long = False
        self.work = 0
        self.until = now
        self.configuration_index = 0  # the configuration's place when it was routed
        self.sent = False  # whether a send may have reached a worker
        self.asked = False  # whether a pool owner may hold a grant for it


class WorkQueue:
    """A bounded holding with a fixed number of hands that empty it.

    >>> async def work(x): done.append(x)
    >>> done = []; queue = WorkQueue(None, capacity=1, concurrency=1, work=work)
    >>> queue.put("a"), done
    (True, ['a'])
    """

    def __init__(
        self,
        runtime: scheduler.Runtime | None,
        capacity: int,
        concurrency: int,
        work: collections.abc.Callable[..., object],
    ) -> None:
        self.runtime = runtime or scheduler.Runtime(None, now=lambda: 0)
        self.backlog = queues.BoundedQueue(capacity)
        self.concurrency = concurrency
        self.work = work
        self.running = 0

    def put(self, x: RoutedRequest | str) -> bool:
        """Take a request in, or say that there is no room.

        >>> async def wait(x): await defer.Deferred()
        >>> queue = WorkQueue(None, capacity=1, concurrency=1, work=wait)
        >>> [queue.put(x) for x in "abc"]
        [True, True, False]
        """
        if self.running < self.concurrency:
            self.running += 1
            self.runtime.spawn(self._hand(x), log)
            return True
        return self.backlog.put(x)

    async def _hand(self, x: RoutedRequest | str) -> None:
        try:
            await self.work(x)
            while len(self.backlog):
                await self.work(self.backlog.take())
        finally:
            self.running -= 1


class Gateway:
    """The node's side towards clients."""

    def __init__(self, node: node.Node | types.SimpleNamespace) -> None:
        self.node = node
        self.runtime = node.runtime
        # pool -> budget.Budget, this node's part of the pool's retry budget
        self.tallies: dict[str, retry_budget.Budget] = {}
        self.started_at = self.runtime.now()
        self.sizes: list[tuple[int, int]] = []  # (when, members) of the fleet over the retry window, the largest first
        self.queues = {
            False: WorkQueue(self.runtime, capacity=512, concurrency=256, work=self.forward),
            True: WorkQueue(self.runtime, capacity=64, concurrency=48, work=self.forward),
        }
        self.forwarder = forwarding.Forwarder(node)
        self.filters = [self.parse, self.route, self.terms, self.admit]
        self.count = 0
        self.open = 0
        self.sends: dict[str, dispatch.Attempt] = {}  # ask -> sender.Send, under way
        self.affinities: dict[tuple[str, str], tuple[str, int]] = {}  # (pool, session) -> (worker, until)
        # token -> (worker, until): requests of other nodes that may pass here
        self.passes: dict[typing.Any, typing.Any] = {}
        self.counts = {"exchanges": 0, "whole": 0, "torn": 0, "repeats": 0, "bypass": 0, "passed": 0, "gone": 0}
        self.refused: dict[str, int] = {}
        self.closed = scheduler.Signal()

    async def handle(self, request: http_server.Request) -> None:
        """Serve one request from its arrival to its end."""
        path = request.path.decode("latin-1")
        match (request.method, path):
            case (b"GET", edge_protocol.READY_PATH):
                if self.node.stopping:
                    self.node.asked_at = self.node.asked_at or self.runtime.now()
                request.answer_json(*self.node.outer.ready(*self.node.ready()))
                return
            case (b"GET", "/state"):
                request.answer_json(200, self.node.state())
                return
        if request.requestHeaders.hasHeader(edge_protocol.PASS):
            await self.pass_on(request)
            return
        self.counts["exchanges"] += 1
        self.open += 1
        try:
            await self.take(request)
        except errors.ServiceError as d:
            self.refused[d.code] = self.refused.get(d.code, 0) + 1
            raise
        finally:
            self.open -= 1
            self.closed.wake()

    async def take(self, request: http_server.Request) -> None:
        """Lead a request through the filters and into its lane."""
        self.count += 1
        x = RoutedRequest(request, f"{self.node.me.id}-{self.count}/0", self.runtime.now())
        for f in self.filters:
            f(x)
        if x.pool.election == "node":
            await self.forwarder.forward(x)
            return
        x.done = defer.Deferred()
        if not self.queues[x.long].put(x):
            raise errors.ServiceError("busy", "This node holds as many exchanges as it can.")
        await x.done

    # ---- filters -------------------------------------------------------------------

    def parse(self, x: RoutedRequest) -> None:
        """Read what the client says about the request."""
        request, headers = x.request, x.request.requestHeaders
        if request.method != b"POST" and not self.node.outer.any_method:
            raise errors.ServiceError("bad_method", "Exchanges are sent with POST.")
        if (
            request.method == b"POST"
            and not headers.hasHeader("content-length")
            and not headers.hasHeader("transfer-encoding")
        ):
            raise errors.ServiceError("length_required", "The body's length is not said.", field="Content-Length")
        x.parsed = self.node.outer.parse_request(request)
        x.parts, x.request_id, x.send = x.parsed.parts, x.parsed.request_id, x.parsed.send
        x.idempotent = x.parsed.idempotent
        x.raw = request.content.read()

    def route(self, x: RoutedRequest) -> None:
        """Find the route: the longest path that fits; then its pool."""
        follower = self.node.follower
        if follower.items is None:
            raise errors.ServiceError("not_ready", "This node has no blueprint yet.")
        x.route = follower.find(x.parsed.host, x.request.path.decode("latin-1"))
        if x.route is None and (follower.stale() or not follower.settled()):
            raise errors.ServiceError("not_ready", "This node is cut off for now.", self.known(x))
        if x.route is None:
            raise errors.ServiceError("no_route", "No route fits this path.", self.known(x), field="path")
        match x.route.repeat:
            case "may":
                x.idempotent = True
            case "never":
                x.idempotent = False
        x.pool_name = self.share(x.route)
        x.pool = follower.pools[x.pool_name]
        x.configuration_index = follower.applied_index

    def share(self, route: configuration.Route) -> str:
        """The pool of a route; where the route is split, one by the weights."""
        if not route.split:
            return route.pool
        at = self.runtime.rng.random() * sum(s["weight"] for s in route.split)
        for s in route.split:
            at -= s["weight"]
            if at < 0:
                break
        return s["pool"]

    def terms(self, x: RoutedRequest) -> None:
        """Find the conversation's terms and its session's id."""
        x.terms = self.node.follower.terms[x.route.requesters.get(x.parsed.client, x.route.terms)]
        if x.pool.election == "node":
            spans = [us for us in (x.parsed.left_us, x.route.cutoff_us or None) if us is not None]
            x.until = x.arrived + min(spans, default=x.pool.long_wait_us)
            return
        x.session = sessions.derive(x.parts, x.terms.session_part)
        x.long = len(x.raw) >= x.pool.long_bytes
        x.work = WORK_LEAST + len(x.raw) // WORK_BYTES
        x.until = max(x.until, x.arrived + (x.pool.long_wait_us if x.long else x.pool.short_wait_us))

    def admit(self, x: RoutedRequest) -> None:
        """Note the request in this node's tally; the pool owner keeps the budget of all nodes."""
        if self.node.closing:
            raise errors.ServiceError("stopping", "This node is stopping.")
        if x.send <= 1:
            self.tally(x).first(self.runtime.now(), x.request_id or x.attempt_id)

    def reroute(self, x: RoutedRequest) -> None:
        """Find the route anew, where the configuration changed while the request waited."""
        if x.configuration_index != self.node.follower.applied_index:
            self.route(x)
            self.terms(x)

    def tally(self, x: RoutedRequest | types.SimpleNamespace) -> retry_budget.Budget:
        """This node's part of the retry budget of a request's pool."""
        if x.pool_name not in self.tallies:
            o = self.node.options
            self.tallies[x.pool_name] = retry_budget.Budget(ratio=o.retry_ratio, window_us=o.retry_window_us)
        t = self.tallies[x.pool_name]
        if x.pool.election == "node":  # no pool owner keeps the fleet's budget: this node has its part of the slack
            t.slack = self.slack()
        return t

    def slack(self) -> int:
        """This node's part of the free repeats that the whole fleet has in a retry window.

        Members that were there within the window may have spent their parts, so the largest
        fleet counts; and a node's life before this one may have spent this node's.
        """
        o, now, members = self.node.options, self.runtime.now(), len(self.node.follower.membership.members)
        since = now - o.retry_window_us
        self.sizes = [(at, n) for at, n in self.sizes if at > since and n > members] + [(now, members)]
        return 0 if self.started_at > since else o.retry_slack // (self.sizes[0][1] + 1)

    # ---- elect and send ----------------------------------------------------------------

    async def forward(self, x: RoutedRequest) -> None:
        """Elect, send and stream one request; its client's going away ends it at once."""
        if x.request.gone:
            self.counts["gone"] += 1
            x.done.callback(None)
            return
        work = defer.ensureDeferred(self.run(x))
        lost = x.request.lost.wait()
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

    async def run(self, x: RoutedRequest) -> None:
        """Send until an answer stands or the request must be given up."""
        shun, broke = [], 0
        while True:
            outcome = errors.ExecutionOutcome.NOT_RUN
            try:
                worker, via = await self.select_worker(x, shun)
                if x.sent or x.send > 1:
                    self.tally(x).repeats.append(self.runtime.now())
                    self.counts["repeats"] += 1
                outcome = errors.ExecutionOutcome.MAY_HAVE_RUN
                send = self.sends[x.attempt_id] = dispatch.Attempt(worker.id, self.runtime.now())
                match await self.send(x, worker, send, via):
                    case dispatch.AttemptOutcome.COMPLETE:
                        outcome = errors.ExecutionOutcome.RAN
                        self.counts["whole"] += 1
                        return
                    case dispatch.AttemptOutcome.INTERRUPTED:
                        self.counts["torn"] += 1
                        x.request.break_off()
                        return
                    case dispatch.AttemptOutcome.UNSENT:
                        outcome = errors.ExecutionOutcome.NOT_RUN
                    case dispatch.AttemptOutcome.BROKE:
                        x.sent = True
                        broke += 1
                        x.until = max(x.until, self.runtime.now() + REJOIN_US)
            finally:
                self.sends.pop(x.attempt_id, None)
                self.give_back(x, outcome)
            shun.append(worker.id)
            x.attempt_id = anew(x.attempt_id)
            most = min(RESENDS + 1, x.route.sends or RESENDS + 1)
            if broke and (not x.idempotent or broke >= most):
                raise errors.ServiceError(
                    "worker_broke", f"Worker {worker.id} gave no answer.", errors.ExecutionOutcome.MAY_HAVE_RUN
                )

    async def send(
        self, x: RoutedRequest, worker: message.Worker, send: dispatch.Attempt, via: str
    ) -> dispatch.AttemptOutcome:
        """Send to a worker; by way of another node where this one does not reach it."""
        lost = self.node.reach.lost
        m = self.node.follower.member(via) if worker.id in lost else None
        send.via = m is not None
        if m is None:
            out = await self.node.sender.send(x.request, x.raw, worker, x.idempotent, send)
            if out is dispatch.AttemptOutcome.UNSENT:
                self.node.reach.miss(worker.id)
            return out
        try:
            response = await self.node.peers.call(m.host, m.port, message.RelayRequest(worker.id), PASS_US)
        except (wire.ConnectionBrokenError, scheduler.DeadlineError):
            return dispatch.AttemptOutcome.UNSENT
        if not response.token:
            return dispatch.AttemptOutcome.UNSENT
        self.counts["passed"] += 1
        return await self.node.sender.send(
            x.request, x.raw, worker, x.idempotent, send, response.token, (m.host, m.http)
        )

    def let_pass(self, name: typing.Any) -> typing.Any:
        """A token for one request of another node to a worker, or "" where this node can't help."""
        follower, now = self.node.follower, self.runtime.now()
        for token in [t for t, (_, until) in self.passes.items() if until < now]:
            del self.passes[token]
        if (
            follower.state(name) != "ready"
            or name in self.node.reach.lost
            or not follower.settled()
            or not follower.has_worker_update()
        ):
            return ""
        token = f"{self.runtime.rng.getrandbits(96):024x}"
        self.passes[token] = (name, now + PASS_US)
        return token

    async def pass_on(self, request: typing.Any) -> None:
        """Pass a request of another node on to its worker; that node answers for it."""
        name, until = self.passes.pop(edge_protocol.header(request.requestHeaders, edge_protocol.PASS), ("", 0))
        w = self.node.follower.states.get(name)
        out = dispatch.AttemptOutcome.UNSENT
        if w is not None and w.state == "ready" and self.runtime.now() < until:
            self.count += 1
            ask = f"{self.node.me.id}-{self.count}"
            send = self.sends[ask] = dispatch.Attempt(name, self.runtime.now())
            work = defer.ensureDeferred(self.node.sender.send(request, request.content.read(), w, False, send))
            lost = request.lost.wait()
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
            case dispatch.AttemptOutcome.INTERRUPTED:
                request.break_off()
            case dispatch.AttemptOutcome.UNSENT | dispatch.AttemptOutcome.BROKE:
                d = errors.ServiceError("no_worker", "The worker was not reached.")
                request.answer(d.status, d.body(), {edge_protocol.PASS: out.name.lower()})

    def cut_dark(self, name: typing.Any) -> None:
        """Wait no longer for a first byte of a worker that nobody reaches."""
        for send in [s for s in self.sends.values() if s.worker == name and not s.begun]:
            send.cut()

    async def look_for_hangs(self) -> None:
        """Twice a second: where sends to a worker hang, see whether it can still be reached from here.

        Those to one that can't are ended: a connection that was cut tells nobody.
        """
        while not self.node.left:
            await self.runtime.sleep(500 * units.MILLISECOND_US)
            hung = [s for s in self.sends.values() if not s.via and self.runtime.now() - s.last > HANG_US]
            for name in sorted({s.worker for s in hung}):
                self.runtime.spawn(self.end_hangs(name), log)

    async def end_hangs(self, name: str) -> None:
        """End the sends that hang on a worker, if no connection to it can be had from here."""
        w = self.node.follower.states.get(name)
        if w is not None and name not in self.node.reach.lost and (await self.node.reach.probe(w)).sort != "none":
            return
        for s in [s for s in self.sends.values() if s.worker == name and not s.via]:
            if self.runtime.now() - s.last > HANG_US:
                s.cut()

    def cut_drained(self) -> None:
        """End the sends to workers that left and have had their time for them."""
        for send in [s for s in self.sends.values() if self.node.follower.drained(s.worker)]:
            send.cut()

    def give_back(self, x: RoutedRequest, outcome: errors.ExecutionOutcome) -> None:
        """Tell the pool owner that a grant is over, or was never used."""
        if not x.asked:
            return
        x.asked = False
        self.node.grants.pop(x.attempt_id, None)
        if outcome == errors.ExecutionOutcome.NOT_RUN:
            self.node.given_up[x.attempt_id] = (x.pool_name, self.runtime.now() + GIVEN_UP_US)
        assignment = self.node.follower.assignment(f"pool/{x.pool_name}")
        if assignment is not None:
            self.node.tell_member(assignment.holder, message.GrantReleased(x.pool_name, x.attempt_id, outcome.value))

    async def select_worker(self, x: RoutedRequest, shun: list[typing.Any]) -> tuple[message.Worker, str]:
        """Get a worker from the pool's pool owner; raises Defect where none is to be had."""
        follower = self.node.follower
        parsed = None
        while True:
            self.reroute(x)
            now = self.runtime.now()
            left = x.until - now
            if left <= 0:
                raise parsed or errors.ServiceError("no_warden", "The pool's warden does not answer.", self.known(x))
            if not follower.settled() or not follower.has_worker_update() or follower.stale():
                parsed = errors.ServiceError("not_ready", "This node is cut off for now.", self.known(x))
                x.until = min(x.until, x.arrived + REJOIN_US)
                await self.runtime.sleep(min(left, 50 * units.MILLISECOND_US))
                continue
            assignment = follower.assignment(f"pool/{x.pool_name}")
            response = None
            if assignment is not None:
                response = await self.query(x, assignment, shun, left)
            match response:
                case message.SelectionGranted(worker=name, term=term):
                    latest = follower.assignment(f"pool/{x.pool_name}")
                    w = follower.states.get(name)
                    if (
                        latest is not None
                        and term >= latest.term
                        and self.may_send(x, w)
                        and self.runtime.now() < x.until + units.SECOND_US
                    ):
                        if x.session:
                            self.affinities[(x.pool_name, x.session)] = (name, self.runtime.now() + response.session_us)
                        self.node.grants[x.attempt_id] = message.WorkerGrant(
                            x.pool_name, x.attempt_id, self.node.me.id, name, x.session, x.work, x.long
                        )
                        return w, response.via
                    self.give_back(x, errors.ExecutionOutcome.NOT_RUN)
                    x.attempt_id = anew(x.attempt_id)
                case message.SelectionDenied(code="no_warden"):
                    parsed = errors.ServiceError("no_warden", response.text, self.known(x))
                case message.SelectionDenied():
                    may = (
                        self.known(x)
                        if response.execution == "not_run"
                        else errors.ExecutionOutcome(response.execution)
                    )
                    raise errors.ServiceError(response.code, response.text, may, response.retry_us)
                case None:
                    w = self.bypass(x, shun)
                    if w is not None:
                        self.counts["bypass"] += 1
                        return w, ""
            await self.runtime.sleep(50 * units.MILLISECOND_US)

    def known(self, x: RoutedRequest) -> errors.ExecutionOutcome:
        """What may be said of a request that is given up now."""
        return errors.ExecutionOutcome.MAY_HAVE_RUN if x.sent else errors.ExecutionOutcome.NOT_RUN

    def may_send(self, x: RoutedRequest, w: message.Worker) -> bool:
        """The last look before a send: the worker is ready, the pool still in a route."""
        follower = self.node.follower
        return (
            w is not None
            and w.state == "ready"
            and w.pool == x.pool_name
            and follower.settled()
            and not follower.stale()
            and any(
                r.pool == x.pool_name and covers(r.path, x.request.path.decode("latin-1"))
                for r in follower.routes.values()
            )
        )

    def bypass(self, x: RoutedRequest, shun: list[typing.Any]) -> message.Worker | None:
        """While the pool owner is silent: the worker of a session known to be pinned, or None."""
        if not x.idempotent or not x.session or x.sent or x.send > 1:
            return None  # repeats go by the pool owner's budget
        name, until = self.affinities.get((x.pool_name, x.session), ("", 0))
        w = self.node.follower.states.get(name)
        now = self.runtime.now()
        if until > now and name not in shun and self.may_send(x, w) and self.node.follower.has_worker_update():
            self.affinities[(x.pool_name, x.session)] = (name, now + x.terms.lifetime_us)
            return w
        return None

    async def query(
        self, x: RoutedRequest, assignment: message.RoleAssignment, shun: list[typing.Any], left: int
    ) -> message.SelectionDenied | message.SelectionGranted | None:
        """Put the question to the pool owner; None where it is silent."""
        terms = {"lifetime_us": x.terms.lifetime_us, "cost": x.terms.cost}
        msg = message.SelectWorker(
            x.pool_name,
            assignment.term,
            self.node.me.id,
            x.attempt_id,
            x.request_id,
            x.send,
            x.idempotent,
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
        if assignment.holder == self.node.me.id:
            w = self.node.pool_owners.get(x.pool_name)
            if w is None:
                return None
            # the pool owner's step is never cut short: a given-up grant is handed back instead
            got = defer.Deferred()
            self.runtime.spawn(w.select_worker(msg), log).addBoth(lambda r: got.called or got.callback(r))
            return await got
        m = self.node.follower.member(assignment.holder)
        if m is None:
            return None
        try:
            connection = await self.node.peers.connection_to(m.host, m.port)
        except wire.ConnectionBrokenError:
            return None
        d = connection.call(msg, left + 500 * units.MILLISECOND_US)
        got, answered = [], scheduler.Signal()
        d.addCallbacks(got.append, lambda _: got.append(None))
        d.addBoth(lambda _: answered.wake())
        try:
            while not got:
                await self.runtime.pause(answered, 100 * units.MILLISECOND_US)
                if not got and self.runtime.now() - connection.last_received > QUIET_US:
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
    """Whether a route's path covers a request's: the same, or above it.

    >>> covers("/v1", "/v1/chat"), covers("/v1", "/v10"), covers("/", "/any")
    (True, False, True)
    """
    return want == path or want.startswith(path if path.endswith("/") else path + "/")
