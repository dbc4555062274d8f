"""A simulated worker: it runs requests on a model of an inference engine, with configurable faults."""

from __future__ import annotations

import typing

from iriswheel.runtime import units
from simulation import event_log, inference_engine, platform_names
from simulation.workers import cold_start, served_http

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.runtime import scheduler

DEFAULT_LEFT_MS = "60000"  # time to the deadline of a request that states none
RETRY_AFTER_S = "0.2"
CLOSE_SHARE = 0.005  # share of answers after which the connection is closed
LINGER_SHARE = 0.1  # share of requests that run on after their connection is lost
LINGER_US = 1_500 * units.MILLISECOND_US  # time for which such a request runs on
IDLE_US = 5 * units.SECOND_US  # default idle time-out of connections
MAX_PADDING_BYTES = 2000  # of an answer that is not a stream
MIN_LATE_US, LATE_SPREAD_US = 5 * units.MILLISECOND_US, 400 * units.MILLISECOND_US  # delay of a second answer
EVENTS_BEFORE_BREAK = 2  # number of the event after a part of which the fault "break" resets the connection
LAST_CHUNK = b"0\r\n\r\n"

Headers = list[tuple[str, str]]


class Run:
    """One request at a worker, from its arrival to its end."""

    def __init__(self, request: served_http.ServedRequest, attempt: str, seal: str, fault: str) -> None:
        """Create a run that has not been offered to the engine.

        Args:
            request: The request.
            attempt: The id of the attempt.
            seal: A random text that identifies this run in its answer.
            fault: The way in which the run fails; empty if it does not fail.
        """
        self.request, self.attempt, self.seal, self.fault = request, attempt, seal, fault
        counts = request.header(platform_names.HEADERS["tokens"])
        self.is_stream = bool(counts)
        self.token_counts = counts  # header with the numbers of prompt tokens and answer tokens; None if not a stream
        self.started = False  # whether the first token was decoded
        self.is_over = False
        self.close = False  # whether the connection is closed after the answer
        self.timer: scheduler.Timer | None = None  # fires at the deadline
        self.job: inference_engine.Job  # job of the engine; the worker sets it before it offers the job
        self.events = 0  # number of events so far, those suppressed by a fault included
        self.sent: list[bytes] = []  # the events, or the body of an answer that is not a stream
        self.times: list[int] = []  # when each event was sent

    @property
    def connection(self) -> served_http.ServedConnection:
        """The connection on which the request came."""
        return self.request.connection

    def tokens(self, tokens_per_event: int) -> int:
        """The number of tokens of the whole answer."""
        return int(self.token_counts.split(",")[1]) if self.token_counts else tokens_per_event

    def tokens_before(self, tokens_per_event: int) -> int:
        """The number of tokens that the client already has of a stream that it resumes."""
        after = self.request.header(platform_names.HEADERS["after"])
        events = int(after) if after and after.isdigit() else 0
        return max(0, events - 1) * tokens_per_event + bool(after)


class Worker(served_http.Server):
    """One instance of a simulated worker.

    Attributes:
        faults: Fault -> share of requests (0 to 1) that fail in this way. The faults are garble (invalid HTTP),
            surplus and late (a second answer, at once or after a delay), lost (the last event or short answer is
            replaced by a reset), break (a reset after a partial event or body), errors (status 500), hang (silence
            after the first event) and mute (no answer).
        health: The answer to health checks: "good", "bad", or empty for the actual state.
        close_share: The share of answers after which the connection is closed.
        linger_share: The share of requests that run on for LINGER_US after their connection is lost.
        cold: The state of the warm-up, or None if workers of the deployment have no warm-up.
        leaving: Whether the worker is being replaced and closes each connection after an answer.
        weights: The version of the model's weights; requests for another version are refused.
        on_overrun: Called once if the cold worker gets so many requests that it crashes.
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
        self.accepted_count = 0
        self.log_event("born", pool=pool)

    def log_event(self, kind: str, **fields: object) -> None:
        """Append an event of this worker to the event log."""
        self.event_log.put(self.runtime.now(), kind, worker=self.id, name=self.name, **fields)

    def stop(self) -> None:
        """Stop the engine of this instance."""
        self.engine.stop()

    # ---- connections --------------------------------------------------------------------

    def opened(self, connection: served_http.ServedConnection) -> bool:
        """Accept a connection, up to the limit of connections; a long queue of requests halves the limit."""
        is_crowded = len(self.engine.waiting) >= self.parameters.capacity
        limit = self.connection_limit // 2 if is_crowded else self.connection_limit
        self.log_event("opened", peer=connection.peer)
        if len(self.connections) >= limit:
            return False
        return super().opened(connection)

    def lost(self, connection: served_http.ServedConnection) -> None:
        """Cancel the request of a lost connection, at once or after LINGER_US."""
        super().lost(connection)
        run = None if connection.current is None else self.runs.get(connection.current)
        if run is None or run.is_over:
            return
        if self.runtime.rng.random() < self.linger_share:
            self.runtime.later(LINGER_US, self.abandon, run)
        else:
            self.abandon(run)

    def abandon(self, run: Run) -> None:
        """Cancel a request whose connection is lost."""
        if not run.is_over:
            self.engine.cancel(run.job)
            self.end(run, "cut")

    def received_garbage(self, connection: served_http.ServedConnection) -> None:
        """Log that invalid HTTP was received."""
        self.log_event("bad_request", peer=connection.peer)

    # ---- requests -----------------------------------------------------------------------

    def handle(self, request: served_http.ServedRequest) -> None:
        """Answer a load report, a health check or a request."""
        if (request.method, request.path) == ("GET", platform_names.PATHS["report"]):
            request.reply_json(200, self.report())
        elif (request.method, request.path) == ("GET", self.probe_path):
            self.answer_probe(request)
        else:
            self.serve(request)

    def report(self) -> dict[str, typing.Any]:
        """The load report, with the load of the engine as it was some time ago."""
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
        """Answer a health check once the engine has run a job of one token for it; refuse it if the queue is full."""
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
            headers.append((names["cold_left"], str(self.cold.remaining_ms(self.runtime.now()))))
        return headers

    def serve(self, request: served_http.ServedRequest) -> None:
        """Run a request, or refuse it with a header that says that it has not run."""
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
        """The status that refuses a request without an attempt id, for other weights or another instance; else 0."""
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
        self.accepted_count += 1
        seal = f"{self.id[2:6]}.{self.accepted_count:02x}.{rng.getrandbits(32):08x}"
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
        """Send an empty stream to a client that already has all events."""
        self.engine.cancel(run.job)
        self.on_started(run)
        self.begin_stream(run)
        run.connection.send(LAST_CHUNK)
        self.finish(run)

    @staticmethod
    def parts(text: str) -> list[tuple[str, int]]:
        """The prompt parts in a header, as pairs of id and number of tokens.

        >>> Worker.parts("5c:800,91:410")
        [('5c', 800), ('91', 410)]
        """
        pairs = [part.split(":") for part in text.split(",") if part]
        return [(pair[0], int(pair[1])) for pair in pairs]

    # ---- runs ---------------------------------------------------------------------------

    def on_started(self, run: Run) -> None:
        """Log that a request runs, at its first token."""
        run.started = True
        after = run.request.header(platform_names.HEADERS["after"])
        self.log_event("run", attempt=run.attempt, seal=run.seal, pool=self.pool, after=after)

    def expire(self, run: Run) -> None:
        """End a request at its deadline.

        The status is 503 if it has not run, 504 if no event was sent; a stream with events is reset.
        """
        if run.is_over:
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
        """End a request, and log how it ended if it has run."""
        run.is_over = True
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
        """Send one event of a stream, or a complete answer that is not a stream, with the fault of the run if any."""
        if run.is_over or self._is_silent(run, last):
            return
        if run.fault in ("errors", "garble") and not run.events:
            self._fail_at_once(run)
        elif run.is_stream:
            self._send_event(run, number, last)
        elif last:
            self.finish_short(run)

    def _is_silent(self, run: Run, last: bool) -> bool:
        """Whether the fault of a run suppresses an event: all events (mute), or all but the first (hang)."""
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
        """Send the status line and headers of a stream."""
        run.close = self._draw_close()
        headers = [
            *self.headers(run, run.close),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        run.connection.send(f"HTTP/1.1 200 OK\r\n{served_http.encode_headers(headers)}\r\n".encode())

    def finish_short(self, run: Run) -> None:
        """Send an answer that is not a stream, complete unless the run's fault is "lost" or "break"."""
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
        """End a run whose answer is complete; with the fault "surplus" or "late", send a second answer."""
        self.end(run, "ran")
        again = f"{run.seal} {run.attempt} again".encode()
        extra = served_http.encode_answer(200, self.headers(run, False), again)
        if run.fault == "surplus":
            run.connection.send(extra)
        if run.fault == "late":
            delay_us = MIN_LATE_US + self.runtime.rng.randrange(LATE_SPREAD_US)
            self.runtime.later(delay_us, run.connection.send, extra)
        run.request.is_over = True
        run.connection.finish(run.close)
