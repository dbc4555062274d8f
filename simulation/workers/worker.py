"""A stand-in worker: it runs requests on a model of an engine, and fails in the ways that it is told to."""

from __future__ import annotations

import typing

from iriswheel.runtime import units
from simulation import event_log, inference_engine, platform_names
from simulation.workers import cold_start, served_http

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.runtime import scheduler

DEFAULT_LEFT_MS = "60000"
RETRY_AFTER_S = "0.2"
CLOSE_SHARE = 0.005
LINGER_SHARE = 0.1
LINGER_US = 1_500 * units.MILLISECOND_US
IDLE_US = 5 * units.SECOND_US
MAX_PADDING_BYTES = 2000  # of a short answer
MIN_LATE_US, LATE_SPREAD_US = 5 * units.MILLISECOND_US, 400 * units.MILLISECOND_US
EVENTS_BEFORE_BREAK = 2
LAST_CHUNK = b"0\r\n\r\n"

Headers = list[tuple[str, str]]


class Run:
    """One request at a worker, from its arrival to its end."""

    def __init__(self, request: served_http.ServedRequest, attempt: str, seal: str, fault: str) -> None:
        """Make a run that the engine does not have yet.

        Args:
            request: The request.
            attempt: The name of the attempt.
            seal: A random text that marks what this run sends.
            fault: How it fails; empty where it does not.
        """
        self.request, self.attempt, self.seal, self.fault = request, attempt, seal, fault
        counts = request.header(platform_names.HEADERS["tokens"])
        self.is_stream = bool(counts)
        self.token_counts = counts
        self.started = False
        self.over = False
        self.close = False  # whether the connection ends with the answer
        self.timer: scheduler.Timer | None = None  # of its deadline
        self.job: inference_engine.Job  # what the engine runs, set by the worker before it offers the job
        self.events = 0
        self.sent: list[bytes] = []
        self.times: list[int] = []

    @property
    def connection(self) -> served_http.ServedConnection:
        """The connection that it came on."""
        return self.request.connection

    def tokens(self, tokens_per_event: int) -> int:
        """How many tokens its answer has."""
        return int(self.token_counts.split(",")[1]) if self.token_counts else tokens_per_event

    def tokens_before(self, tokens_per_event: int) -> int:
        """How many tokens came before, where a stream is resumed after its last event."""
        after = self.request.header(platform_names.HEADERS["after"])
        events = int(after) if after and after.isdigit() else 0
        return max(0, events - 1) * tokens_per_event + bool(after)


class Worker(served_http.Server):
    """One instance of a stand-in worker.

    Attributes:
        faults: How requests fail, and how often (0 to 1): garble, surplus, late, lost, break, errors, hang, mute.
        health: What it answers to health checks: "good", "bad", or the truth where empty.
        close_share: How often an answer says that the connection ends.
        linger_share: How often a request runs on for a while after its connection is lost.
        cold: Its warm-up, where workers of its deployment have one.
        on_overrun: Called once where it gets far more requests than it bears while cold.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        name: str,
        pool: str,
        event_log: event_log.EventLog,
        parameters: inference_engine.EngineParameters | None = None,
        *,
        connection_limit: int = 360,
        idle_us: int = IDLE_US,
        probe_path: str = platform_names.PATHS["probe"],
        cold_bounds: cold_start.ColdBounds | None = None,
    ) -> None:
        super().__init__(runtime)
        self.name, self.pool, self.event_log = name, pool, event_log
        self.id = f"i-{runtime.rng.getrandbits(32):08x}"
        self.parameters = parameters or inference_engine.EngineParameters()
        self.engine = inference_engine.Engine(runtime, self.parameters)
        self.connection_limit, self.idle_us, self.probe_path = connection_limit, idle_us, probe_path
        self.leaving = False
        self.faults: dict[str, float] = {}
        self.health = ""
        self.close_share = CLOSE_SHARE
        self.linger_share = LINGER_SHARE
        self.weights = 1
        self.cold = None if cold_bounds is None else cold_start.ColdStart(cold_bounds)
        self.on_overrun: collections.abc.Callable[[], object] | None = None
        self.runs: dict[served_http.ServedRequest, Run] = {}
        self.accepted = 0
        self.log_event("born", pool=pool)

    def log_event(self, kind: str, **fields: object) -> None:
        """Note an event in the log."""
        self.event_log.put(self.runtime.now(), kind, worker=self.id, name=self.name, **fields)

    def stop(self) -> None:
        """End this instance."""
        self.engine.stop()

    # ---- connections --------------------------------------------------------------------

    def opened(self, connection: served_http.ServedConnection) -> bool:
        """Take a connection, unless there are too many; half as many are taken while the queue is long."""
        is_crowded = len(self.engine.waiting) >= self.parameters.capacity
        limit = self.connection_limit // 2 if is_crowded else self.connection_limit
        self.log_event("opened", peer=connection.peer)
        if len(self.connections) >= limit:
            return False
        return super().opened(connection)

    def lost(self, connection: served_http.ServedConnection) -> None:
        """Drop the request of a lost connection, now or after a while."""
        super().lost(connection)
        run = None if connection.current is None else self.runs.get(connection.current)
        if run is None or run.over:
            return
        if self.runtime.rng.random() < self.linger_share:
            self.runtime.later(LINGER_US, self.abandon, run)
        else:
            self.abandon(run)

    def abandon(self, run: Run) -> None:
        """Drop a request whose connection is lost."""
        if not run.over:
            self.engine.cancel(run.job)
            self.end(run, "cut")

    def received_garbage(self, connection: served_http.ServedConnection) -> None:
        """Note that bytes came that are no request."""
        self.log_event("bad_request", peer=connection.peer)

    # ---- requests -----------------------------------------------------------------------

    def handle(self, request: served_http.ServedRequest) -> None:
        """Answer a report, a probe or a request."""
        if (request.method, request.path) == ("GET", platform_names.PATHS["report"]):
            request.reply_json(200, self.report())
        elif (request.method, request.path) == ("GET", self.probe_path):
            self.answer_probe(request)
        else:
            self.serve(request)

    def report(self) -> dict[str, typing.Any]:
        """The report of how things stood some time ago."""
        load = self.engine.report()
        names = platform_names.REPORT
        return {
            names["stage"]: platform_names.TERMS["whole"],
            names["models"]: [{"name": self.parameters.model, "version": self.weights, "adapters": []}],
            names["ordered"]: False,
            names["orders"]: 0,
            names["waiting"]: load.waiting,
            names["running"]: load.running,
            names["used"]: load.used_tokens,
            names["memory"]: self.parameters.kv_capacity,
            names["accepts"]: 0,
        }

    def answer_probe(self, request: served_http.ServedRequest) -> None:
        """Answer a health check, which waits for a place in the batch as a request does."""
        self.log_event("probed")
        is_healthy = not self.leaving and not any(self.faults.values())
        is_healthy = {"good": True, "bad": False}.get(self.health, is_healthy)

        def answer(_number: int, _last: bool) -> None:
            request.reply(200 if is_healthy else 503, self._probe_headers())

        if not self.engine.offer(inference_engine.Job("probe", [], 1, on_event=answer)):
            request.reply(503, [(platform_names.HEADERS["not_run"], "1")])

    def _probe_headers(self) -> Headers:
        names = platform_names.HEADERS
        headers = [(names["worker"], self.id)]
        if self.cold is not None:
            headers.append((names["cold_left"], str(self.cold.left_ms(self.runtime.now()))))
        return headers

    def serve(self, request: served_http.ServedRequest) -> None:
        """Run a request, or refuse it as one that has not run."""
        names = platform_names.HEADERS
        attempt = request.header(names["attempt"], "")
        left_ms = int(request.header(names["left"], DEFAULT_LEFT_MS))
        row = self._row_of_arrival(request, attempt, left_ms)
        refusal = [(names["not_run"], "1"), *([(names["attempt"], attempt)] if attempt else [])]
        code = self._refusal_code(request, attempt)
        if code:
            self.log_event("arrived", verdict=code, **row)
            request.reply(code, refusal)
            return
        self._count_while_cold()
        run = self._new_run(request, attempt)
        if left_ms <= 0 or not self.engine.offer(run.job):
            self.log_event("arrived", verdict=503, **row)
            request.reply(503, [*refusal, ("Retry-After", RETRY_AFTER_S)])
            return
        self.log_event("arrived", verdict=0, **row)
        self.runs[request] = run
        if run.tokens_before(self.parameters.event_tokens) >= run.tokens(self.parameters.event_tokens):
            self._answer_without_event(run)
        else:
            run.timer = self.runtime.later(left_ms * units.MILLISECOND_US, self.expire, run)

    def _row_of_arrival(self, request: served_http.ServedRequest, attempt: str, left_ms: int) -> dict[str, typing.Any]:
        names = platform_names.HEADERS
        return dict(
            attempt=attempt,
            method=request.method,
            url=request.url,
            host=request.header("Host"),
            body=served_http.digest(request.body),
            peer=request.connection.peer,
            target=request.header(names["target"]),
            after=request.header(names["after"]),
            left_ms=left_ms,
            urgency=request.header(names["urgency"]),
            model=request.header(names["model"]),
            counts=request.header(names["tokens"]),
            parts=request.header(names["parts"]),
            pool=self.pool,
            **({} if self.cold is None else dict(cold=self.cold.is_cold(self.runtime.now()))),
        )

    def _count_while_cold(self) -> None:
        if self.cold is None:
            return
        self.cold.note_request(self.runtime.now())
        if self.cold.is_overrun() and self.on_overrun is not None:
            collapse, self.on_overrun = self.on_overrun, None
            collapse()

    def _refusal_code(self, request: served_http.ServedRequest, attempt: str) -> int:
        """The status of a request that is not for this instance, or 0."""
        names = platform_names.HEADERS
        if not attempt:
            return 400
        if request.header(names["target"], self.id) != self.id:
            return 421
        weights = str(self.weights)
        return 421 if request.header(names["weights_wanted"], weights) != weights else 0

    def _new_run(self, request: served_http.ServedRequest, attempt: str) -> Run:
        names, rng = platform_names.HEADERS, self.runtime.rng
        parts = self.parts(request.header(names["parts"], ""))
        self.accepted += 1
        seal = f"{self.id[2:6]}.{self.accepted:02x}.{rng.getrandbits(32):08x}"
        faults = [fault for fault, share in sorted(self.faults.items()) if rng.random() < share]
        run = Run(request, attempt, seal, faults[0] if faults else "")
        tokens = run.tokens(self.parameters.event_tokens)
        run.job = inference_engine.Job(
            attempt,
            parts,
            tokens,
            int(request.header(names["urgency"], str(inference_engine.DEFAULT_URGENCY))),
            decoded=min(run.tokens_before(self.parameters.event_tokens), tokens - 1),
            on_first_token=lambda: self.on_started(run),
            on_event=lambda number, last: self.on_event(run, number, last),
        )
        return run

    def _answer_without_event(self, run: Run) -> None:
        """Answer where all events have come before."""
        self.engine.cancel(run.job)
        self.on_started(run)
        self.begin_stream(run)
        run.connection.send(LAST_CHUNK)
        self.finish(run)

    @staticmethod
    def parts(text: str) -> list[tuple[str, int]]:
        """The parts that a header names, as (id, tokens).

        >>> Worker.parts("5c:800,91:410")
        [('5c', 800), ('91', 410)]
        """
        pairs = [part.split(":") for part in text.split(",") if part]
        return [(pair[0], int(pair[1])) for pair in pairs]

    # ---- runs ---------------------------------------------------------------------------

    def on_started(self, run: Run) -> None:
        """Note that a request runs, from its first token on."""
        run.started = True
        after = run.request.header(platform_names.HEADERS["after"])
        self.log_event("run", attempt=run.attempt, seal=run.seal, pool=self.pool, after=after)

    def expire(self, run: Run) -> None:
        """Act on the deadline: a request that has not begun never runs; another ends."""
        if run.over:
            return
        self.engine.cancel(run.job)
        self.end(run, "expired")
        headers = [(platform_names.HEADERS["attempt"], run.attempt)]
        if not run.started:
            run.request.reply(503, [(platform_names.HEADERS["not_run"], "1"), *headers])
        elif not run.events:
            run.request.reply(504, headers)
        else:
            run.connection.transport.abortConnection()

    def end(self, run: Run, how: str) -> None:
        """Note that a request is over."""
        run.over = True
        self.runs.pop(run.request, None)
        if run.timer is not None and run.timer.active():
            run.timer.cancel()
        if run.started:
            self.log_event(
                "ran",
                attempt=run.attempt,
                seal=run.seal,
                how=how,
                events=run.events,
                times=run.times,
                body=served_http.digest(b"".join(run.sent)),
            )

    def headers(self, run: Run, close: bool) -> Headers:
        """The headers of a successful answer."""
        names = platform_names.HEADERS
        headers = [(names["attempt"], run.attempt), (names["seal"], run.seal), (names["weights"], str(self.weights))]
        if close:
            headers.append(("Connection", "close"))
        elif self.idle_us >= units.SECOND_US:
            headers.append(("Keep-Alive", f"timeout={self.idle_us // units.SECOND_US}"))
        return headers

    def on_event(self, run: Run, number: int, last: bool) -> None:
        """Send one event of a stream, or a whole short answer, unless the run fails here."""
        if run.over or self._is_silent(run, last):
            return
        if run.fault in ("errors", "garble") and not run.events:
            self._fail_at_once(run)
        elif run.is_stream:
            self._send_event(run, number, last)
        elif last:
            self.finish_short(run)

    def _is_silent(self, run: Run, last: bool) -> bool:
        """Whether a run sends nothing (mute), or nothing after its first event (hang)."""
        if run.fault not in ("hang", "mute") or run.events < (0 if run.fault == "mute" else 1):
            return False
        run.events += 1
        if last:
            self.end(run, run.fault)
        return True

    def _fail_at_once(self, run: Run) -> None:
        self.engine.cancel(run.job)
        self.end(run, run.fault)
        if run.fault == "errors":
            run.request.reply(500, [(platform_names.HEADERS["attempt"], run.attempt)], b"broken")
            return
        run.connection.send(b"\x16\x03\x01 HTTP/9 %d\r\n\r\n" % self.runtime.rng.getrandbits(30))
        run.connection.finish(close=self.runtime.rng.random() < 0.5)

    def _send_event(self, run: Run, number: int, last: bool) -> None:
        if not run.events:
            self.begin_stream(run)
        run.events += 1
        event = f"id: {number}\ndata: {run.seal} {run.attempt} {number}{' last' if last else ''}\n\n".encode()
        run.sent.append(event)
        run.times.append(self.runtime.now())
        if run.fault == "break" and run.events >= EVENTS_BEFORE_BREAK:
            run.connection.send(b"%x\r\n%s" % (len(event), event[: len(event) // 2]))
            self.engine.cancel(run.job)
            self.end(run, "broke")
            run.connection.transport.abortConnection()
        elif run.fault == "lost" and last:
            self.end(run, "lost")
            run.connection.transport.abortConnection()
        else:
            run.connection.send(b"%x\r\n%s\r\n" % (len(event), event))
            if last:
                run.connection.send(LAST_CHUNK)
                self.finish(run)

    def _draw_close(self) -> bool:
        return self.leaving or self.runtime.rng.random() < self.close_share

    def begin_stream(self, run: Run) -> None:
        """Send the head of a stream."""
        run.close = self._draw_close()
        headers = [
            *self.headers(run, run.close),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        run.connection.send(f"HTTP/1.1 200 OK\r\n{served_http.encode_headers(headers)}\r\n".encode())

    def finish_short(self, run: Run) -> None:
        """Send a whole short answer."""
        run.close = self._draw_close()
        body = f"{run.seal} {run.attempt} whole".encode() + b"." * self.runtime.rng.randrange(MAX_PADDING_BYTES)
        run.sent.append(body)
        run.events = 1
        if run.fault in ("lost", "break"):
            if run.fault == "break":
                answer = served_http.encode_answer(200, self.headers(run, False), body)
                run.connection.send(answer[: -len(body) // 2])
            self.end(run, "lost")
            run.connection.transport.abortConnection()
            return
        run.connection.send(served_http.encode_answer(200, self.headers(run, run.close), body))
        self.finish(run)

    def finish(self, run: Run) -> None:
        """End a run whose whole answer is out; one that fails may send more, now or in place of the next one."""
        self.end(run, "ran")
        again = f"{run.seal} {run.attempt} again".encode()
        extra = served_http.encode_answer(200, self.headers(run, False), again)
        if run.fault == "surplus":
            run.connection.send(extra)
        if run.fault == "late":
            delay_us = MIN_LATE_US + self.runtime.rng.randrange(LATE_SPREAD_US)
            self.runtime.later(delay_us, run.connection.send, extra)
        run.request.over = True
        run.connection.finish(run.close)
