"""Stand-ins for what the users' platform runs: workers around an engine's model, and the platform's own calls.

Both speak HTTP/1.1 by hand, so that they can also speak it badly: a worker in trouble breaks off an answer, sends
bytes that are none, or sends another answer in the place of the next one.
"""

from __future__ import annotations

import collections
import collections.abc
import json
import typing
import urllib.parse
import zlib

import httptools
import loguru
import twisted.internet.protocol as protocol

import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import simulation.inference_engine as inference_engine
import simulation.platform_names as platform_names

if typing.TYPE_CHECKING:
    import twisted.internet.interfaces as interfaces
    import twisted.python.failure as failure

    import simulation.simulated_cluster as simulated_cluster
    import simulation.virtual_timer as virtual_timer


MS, S = units.MILLISECOND_US, units.SECOND_US
PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

log = loguru.logger.bind(part="serving")


def digest(raw: bytes) -> str:
    """A short number for a body.

    >>> digest(b"") == digest(b"a")
    False
    """
    return f"{zlib.crc32(raw):08x}-{len(raw)}"


def answer(code: int, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    r"""A whole answer as bytes.

    >>> answer(404, [("X-A", "1")], b"no")
    b'HTTP/1.1 404 Not Found\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nno'
    """
    lines = [
        f"HTTP/1.1 {code} {PHRASES.get(code, 'Some')}",
        *[f"{k}: {v}" for k, v in headers],
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class ServedConnection(protocol.Protocol):
    """One connection to a server that is served one request at a time."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.runtime = server.runtime
        self.parser = httptools.HttpRequestParser(self)
        self.up = False
        self.busy: ServedRequest | None = None  # what the server works on, or None
        self.ahead: collections.deque[typing.Any] = collections.deque()
        self.idle: virtual_timer.Timer | None = None
        self.closing = False
        self.dropped = False  # silently: what comes next is reset
        self.served = 0
        self.headers, self.body, self.url = [], [], b""

    def connectionMade(self) -> None:
        self.up = True
        self.peer = self.transport.getPeer().host
        if not self.server.opened(self):
            self.up = False
            self.transport.abortConnection()
            return
        self.rest()

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        self.up = False
        self.stop_idle()
        self.server.lost(self)

    def dataReceived(self, data: bytes) -> None:
        if self.dropped:
            self.transport.abortConnection()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.server.bad(self)
            self.transport.abortConnection()

    def on_message_begin(self) -> None:
        self.headers, self.body, self.url = [], [], b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_body(self, data: bytes) -> None:
        self.body.append(data)

    def on_message_complete(self) -> None:
        request = ServedRequest(
            self, self.parser.get_method().decode(), self.url.decode("latin-1"), self.headers, b"".join(self.body)
        )
        if self.busy is not None:
            self.ahead.append(request)
        else:
            self.begin(request)

    def begin(self, request: ServedRequest) -> None:
        """Let the server work on a request."""
        self.stop_idle()
        self.busy = request
        self.server.handle(request)

    def send(self, raw: bytes) -> None:
        """Write bytes, where the connection still stands."""
        if self.up:
            self.transport.write(raw)

    def done(self, close: bool = False) -> None:
        """The answer is out; go on with the next request, or close."""
        self.busy = None
        self.served += 1
        if close or self.closing:
            self.closing = True
            if self.up:
                self.transport.loseConnection()
        elif self.ahead:
            self.begin(self.ahead.popleft())
        else:
            self.rest()

    def rest(self) -> None:
        """Wait for the next request, not for ever."""
        self.stop_idle()
        if self.server.idle_us:
            self.idle = self.runtime.later(self.server.idle_us, self.tired)

    def tired(self) -> None:
        """Nothing came for long: close, or drop the connection without a word."""
        if self.server.silent_drop:
            self.dropped = True
        elif self.up:
            self.transport.loseConnection()

    def stop_idle(self) -> None:
        """Stop waiting."""
        if self.idle is not None and self.idle.active():
            self.idle.cancel()


class ServedRequest:
    """One request as a server got it.

    >>> ServedRequest(None, "GET", "/a?b=c", [("X-A", "1")], b"").head("x-a")
    '1'
    """

    def __init__(
        self, talk: ServedConnection | None, method: str, url: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.talk, self.method, self.url, self.body = talk, method, url, body
        self.path, _, self.query = url.partition("?")
        self.headers = headers
        self.over = False

    def head(self, name: str, default: int | str | None = None) -> int | str | None:
        """A header's value; names have no case."""
        return next((v for k, v in self.headers if k.lower() == name.lower()), default)

    def reply(
        self, code: int, headers: collections.abc.Sequence[tuple[str, str]] = (), body: bytes = b"", close: bool = False
    ) -> None:
        """Answer at once and whole."""
        if self.over:
            return
        self.over = True
        more = [("Connection", "close")] if close else []
        self.talk.send(answer(code, [*headers, *more], body))
        self.talk.done(close)

    def reply_json(self, code: int, document: dict[str, typing.Any], headers: tuple[typing.Any, ...] = ()) -> None:
        """Answer with JSON."""
        self.reply(code, [("Content-Type", "application/json"), *headers], json.dumps(document).encode())


class Server(protocol.Factory):
    """Takes connections; subclasses handle requests."""

    noisy = False
    idle_us = 0
    silent_drop = False

    def __init__(self, runtime: scheduler.Runtime) -> None:
        self.runtime = runtime
        self.talks: list[ServedConnection] = []

    def buildProtocol(self, address: interfaces.IAddress | None) -> ServedConnection:
        return ServedConnection(self)

    def opened(self, talk: ServedConnection) -> bool:
        """Whether a new connection is taken."""
        self.talks.append(talk)
        return True

    def lost(self, talk: ServedConnection) -> None:
        """A connection is no more."""
        if talk in self.talks:
            self.talks.remove(talk)

    def bad(self, talk: typing.Any) -> None:
        """Bytes came that are no request."""


class Run:
    """One request in a worker's hands, from its arrival to its end."""

    def __init__(self, request: ServedRequest, attempt: str, number: int) -> None:
        self.request, self.attempt, self.number = request, attempt, number
        self.seal = ""
        self.started_at = False
        self.over = False
        self.tick: typing.Any = None
        self.way = ""  # how this one goes wrong
        self.job: typing.Any = None
        self.events = 0
        self.raw, self.times = [], []


class Worker(Server):
    """One life of a stand-in worker.

    `ills` holds how it goes wrong and how often (0 to 1): garble, surplus, late, lost, break, errors, hang, mute.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        name: str,
        pool: str,
        tape: simulated_cluster.EventLog,
        figures: inference_engine.Figures | None = None,
        conns: int = 360,
        idle_us: int = 5 * S,
        probe: str = platform_names.PATHS["probe"],
    ) -> None:
        super().__init__(runtime)
        self.name, self.pool, self.tape = name, pool, tape
        self.id = f"i-{runtime.rng.getrandbits(32):08x}"
        self.figures = figures or inference_engine.Figures()
        self.engine = inference_engine.Engine(runtime, self.figures)
        self.conns, self.idle_us, self.probe = conns, idle_us, probe
        self.leaving = False
        self.faults: dict[str, float] = {}
        self.health = ""  # or good or bad, whatever is true
        self.closes = 0.005  # how often an answer says that the connection ends
        self.lingers = 0.1  # how often a request goes on though its connection is gone
        self.linger_us = 1_500 * MS
        self.weights = 1
        self.runs: dict[ServedRequest, Run] = {}
        self.count = 0
        self.put("born", pool=pool)

    def put(self, kind: str, **more: typing.Any) -> None:
        """Keep one event."""
        self.tape.put(self.runtime.now(), kind, worker=self.id, name=self.name, **more)

    def opened(self, talk: ServedConnection) -> bool:
        capacity = self.conns if len(self.engine.waiting) < self.figures.capacity else self.conns // 2
        self.put("opened", peer=talk.peer)
        if len(self.talks) >= capacity:
            return False
        return super().opened(talk)

    def lost(self, talk: ServedConnection) -> None:
        super().lost(talk)
        run = self.runs.get(talk.busy)
        if run is None or run.over:
            return
        if self.runtime.rng.random() < self.lingers:
            self.runtime.later(self.linger_us, self.cut, run)
        else:
            self.cut(run)

    def cut(self, run: Run) -> None:
        """Drop a request whose connection is gone."""
        if not run.over:
            self.engine.cancel(run.job)
            self.end(run, "cut")

    def stop(self) -> None:
        """This life ends."""
        self.engine.stop()

    # ---- requests ------------------------------------------------------------------------

    def handle(self, request: ServedRequest) -> None:
        if (request.method, request.path) == ("GET", platform_names.PATHS["report"]):
            request.reply_json(200, self.report())
        elif (request.method, request.path) == ("GET", self.probe):
            self.take_probe(request)
        else:
            self.take(request)

    def report(self) -> dict[str, typing.Any]:
        """The report of how things stood some time ago."""
        waiting, running, used = self.engine.report()
        w = platform_names.REPORT
        return {
            w["stage"]: platform_names.TERMS["whole"],
            w["models"]: self.models(),
            w["ordered"]: False,
            w["orders"]: 0,
            w["waiting"]: waiting,
            w["running"]: running,
            w["used"]: used,
            w["memory"]: self.figures.kv_capacity,
            w["accepts"]: 0,
        }

    def models(self) -> list[dict[str, typing.Any]]:
        """The models it has."""
        return [{"name": self.figures.model, "version": self.weights, "adapters": []}]

    def take_probe(self, request: ServedRequest) -> None:
        """A probe waits for a place as a request does."""
        self.put("probed")
        well = not self.leaving and not any(self.faults.values())
        well = {"good": True, "bad": False}.get(self.health, well)

        def say(k: int, last: bool) -> None:
            request.reply(200 if well else 503, [(platform_names.HEADERS["worker"], self.id)])

        if not self.engine.offer(inference_engine.Job("probe", [], 1, event=say)):
            request.reply(503, [(platform_names.HEADERS["not_run"], "1")])

    def take(self, request: ServedRequest) -> None:
        """A request: refuse it as one that has not run, or run it."""
        h, rng = platform_names.HEADERS, self.runtime.rng
        attempt = request.head(h["attempt"], "")
        target, after = request.head(h["target"]), request.head(h["after"])
        left = int(request.head(h["left"], "60000"))
        parts = self.parts(request.head(h["parts"], ""))
        counts = request.head(h["tokens"])
        row = dict(
            attempt=attempt,
            method=request.method,
            url=request.url,
            host=request.head("Host"),
            body=digest(request.body),
            peer=request.talk.peer,
            target=target,
            after=after,
            left_ms=left,
            urgency=request.head(h["urgency"]),
            model=request.head(h["model"]),
            counts=counts,
            parts=request.head(h["parts"]),
            pool=self.pool,
        )
        no = [(h["not_run"], "1"), *([(h["attempt"], attempt)] if attempt else [])]
        if not attempt:
            self.put("arrived", verdict=400, **row)
            request.reply(400, no)
            return
        if target not in (None, self.id) or request.head(h["weights_wanted"], str(self.weights)) != str(self.weights):
            self.put("arrived", verdict=421, **row)
            request.reply(421, no)
            return
        self.count += 1
        run = Run(request, attempt, self.count)
        run.seal = f"{self.id[2:6]}.{self.count:02x}.{rng.getrandbits(32):08x}"
        faults = [way for way, rate in sorted(self.faults.items()) if rng.random() < rate]
        run.way = faults[0] if faults else ""
        per = self.figures.event_tokens
        done = max(0, (int(after) if after and after.isdigit() else 0) - 1) * per + bool(after)
        tokens = int(counts.split(",")[1]) if counts else per
        run.stream, run.tokens = bool(counts), tokens
        urgency = int(request.head(h["urgency"], inference_engine.URGENCY))
        run.job = inference_engine.Job(
            attempt,
            parts,
            tokens,
            urgency,
            done=min(done, tokens - 1),
            started_at=lambda: self.on_started(run),
            event=lambda k, last: self.event(run, k, last),
        )
        if left <= 0 or not self.engine.offer(run.job):
            self.put("arrived", verdict=503, **row)
            request.reply(503, [*no, ("Retry-After", "0.2")])
            return
        self.put("arrived", verdict=0, **row)
        self.runs[request] = run
        if done >= tokens:  # all of it has come before: an answer without an event
            self.engine.cancel(run.job)
            self.on_started(run)
            self.begin_stream(run)
            talk = run.request.talk
            talk.send(b"0\r\n\r\n")
            self.finish(run)
            return
        run.tick = self.runtime.later(left * MS, self.expire, run)

    @staticmethod
    def parts(text: str) -> list[tuple[str, int]]:
        """The parts that a header names, as (id, tokens).

        >>> Worker.parts("5c:800,91:410")
        [('5c', 800), ('91', 410)]
        """
        return [(p.split(":")[0], int(p.split(":")[1])) for p in text.split(",") if p]

    def on_started(self, run: Run) -> None:
        """A request runs from its first token on."""
        run.started_at = True
        self.put(
            "run",
            attempt=run.attempt,
            seal=run.seal,
            pool=self.pool,
            after=run.request.head(platform_names.HEADERS["after"]),
        )

    def expire(self, run: Run) -> None:
        """The deadline came: a request that has not begun never runs; another ends."""
        if run.over:
            return
        self.engine.cancel(run.job)
        headers = [(platform_names.HEADERS["attempt"], run.attempt)]
        if not run.started_at:
            self.end(run, "expired")
            run.request.reply(503, [(platform_names.HEADERS["not_run"], "1"), *headers])
        elif not run.events:
            self.end(run, "expired")
            run.request.reply(504, headers)
        else:
            self.end(run, "expired")
            run.request.talk.transport.abortConnection()

    def end(self, run: Run, how: str) -> None:
        """A request is over."""
        run.over = True
        self.runs.pop(run.request, None)
        if run.tick is not None and run.tick.active():
            run.tick.cancel()
        if run.started_at:
            self.put(
                "ran",
                attempt=run.attempt,
                seal=run.seal,
                how=how,
                events=run.events,
                times=run.times,
                body=digest(b"".join(run.raw)),
            )

    def headers(self, run: Run, close: bool) -> list[tuple[str, str]]:
        """The head of a successful answer's start."""
        h = platform_names.HEADERS
        out = [(h["attempt"], run.attempt), (h["seal"], run.seal), (h["weights"], str(self.weights))]
        if close:
            out.append(("Connection", "close"))
        elif self.idle_us >= S:
            out.append(("Keep-Alive", f"timeout={self.idle_us // S}"))
        return out

    def event(self, run: Run, k: int, last: bool) -> None:
        """Put out one event of a stream, or a whole short answer."""
        if run.over:
            return
        talk = run.request.talk
        if run.way in ("hang", "mute") and run.events >= (0 if run.way == "mute" else 1):
            run.events += 1
            if last:
                self.end(run, run.way)
            return
        if run.way in ("errors", "garble") and not run.events:
            self.engine.cancel(run.job)
            self.end(run, run.way)
            if run.way == "errors":
                run.request.reply(500, [(platform_names.HEADERS["attempt"], run.attempt)], b"broken")
            else:
                talk.send(b"\x16\x03\x01 HTTP/9 %d\r\n\r\n" % self.runtime.rng.getrandbits(30))
                talk.done(close=self.runtime.rng.random() < 0.5)
            return
        if not run.stream:
            if last:
                self.finish_short(run)
            return
        if not run.events:
            self.begin_stream(run)
        run.events += 1
        piece = f"id: {k}\ndata: {run.seal} {run.attempt} {k}{' last' if last else ''}\n\n".encode()
        run.raw.append(piece)
        run.times.append(self.runtime.now())
        if run.way == "break" and run.events >= 2:
            talk.send(b"%x\r\n%s" % (len(piece), piece[: len(piece) // 2]))
            self.engine.cancel(run.job)
            self.end(run, "broke")
            talk.transport.abortConnection()
            return
        if run.way == "lost" and last:
            self.end(run, "lost")
            talk.transport.abortConnection()
            return
        talk.send(b"%x\r\n%s\r\n" % (len(piece), piece))
        if last:
            talk.send(b"0\r\n\r\n")
            self.finish(run)

    def begin_stream(self, run: Run) -> None:
        """Send the head of a stream."""
        run.close = self.leaving or self.runtime.rng.random() < self.closes
        headers = [
            *self.headers(run, run.close),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        head = "".join(f"{a}: {b}\r\n" for a, b in headers)
        run.request.talk.send(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())

    def finish_short(self, run: Run) -> None:
        """Give a whole short answer."""
        run.close = self.leaving or self.runtime.rng.random() < self.closes
        body = f"{run.seal} {run.attempt} whole".encode() + b"." * self.runtime.rng.randrange(2000)
        run.raw.append(body)
        run.events = 1
        if run.way in ("lost", "break"):
            if run.way == "break":
                run.request.talk.send(answer(200, self.headers(run, False), body)[: -len(body) // 2])
            self.end(run, "lost")
            run.request.talk.transport.abortConnection()
            return
        run.request.talk.send(answer(200, self.headers(run, run.close), body))
        self.finish(run)

    def finish(self, run: Run) -> None:
        """The whole answer is out; one in trouble may send more, now or in the place of the next one."""
        talk = run.request.talk
        self.end(run, "ran")
        extra = answer(200, [*self.headers(run, False)], f"{run.seal} {run.attempt} again".encode())
        if run.way == "surplus":
            talk.send(extra)
        if run.way == "late":
            self.runtime.later(5 * MS + self.runtime.rng.randrange(400 * MS), talk.send, extra)
        run.request.over = True
        talk.done(run.close)

    def bad(self, talk: typing.Any) -> None:
        self.put("bad_request", peer=talk.peer)


class Listing(Server):
    """The platform's list of workers: late, in pages, and no more calls a second than it likes."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        tape: simulated_cluster.EventLog,
        lag_us: int = 800 * MS,
        rate: float = 40.0,
        page: int = 3,
    ) -> None:
        super().__init__(runtime)
        self.tape, self.lag_us, self.rate, self.page = tape, lag_us, rate, page
        self.rows: dict[str, dict[str, typing.Any]] = {}
        self.past: collections.deque[tuple[int, dict[str, dict[typing.Any, typing.Any]]]] = collections.deque([(0, {})])
        self.calls: collections.deque[int] = collections.deque()
        self.down = False

    def show(self, identifier: str, **more: list[dict[str, typing.Any]] | str) -> None:
        """List a worker, or change how it is listed; it is seen when the lag has gone."""
        row = {
            **self.rows.get(
                identifier,
                dict(
                    state=platform_names.TERMS["ready"],
                    version="v1",
                    capacity=64,
                    cold=0,
                    stage=platform_names.TERMS["whole"],
                    models=[],
                ),
            ),
            **more,
        }
        self.rows = {**self.rows, identifier: row}
        self.change(identifier, row["state"], row["pool"])

    def drop(self, identifier: str) -> None:
        """List a worker no more."""
        pool = self.rows[identifier]["pool"]
        self.rows = {k: v for k, v in self.rows.items() if k != identifier}
        self.change(identifier, "gone", pool)

    def change(self, identifier: str, state: str, pool: str) -> None:
        """Keep the list as it is from now on."""
        now = self.runtime.now()
        self.past.append((now, self.rows))
        while len(self.past) > 1 and self.past[1][0] <= now - 30 * S:
            self.past.popleft()
        self.tape.put(now, "listed", worker=identifier, state=state, pool=pool, seen=now + self.lag_us)

    def handle(self, request: ServedRequest) -> None:
        now = self.runtime.now()
        while self.calls and self.calls[0] <= now - S:
            self.calls.popleft()
        self.tape.put(now, "platform_call", peer=request.talk.peer)
        if self.down:
            return
        if request.method != "GET" or request.path != platform_names.PATHS["workers"]:
            request.reply(404)
            return
        if len(self.calls) >= self.rate:
            request.reply(429)
            return
        self.calls.append(now)
        w = platform_names.LISTING
        query = dict(urllib.parse.parse_qsl(request.query))
        rows = next((rows for at, rows in reversed(self.past) if at <= now - self.lag_us), self.past[0][1])
        some = [i for i in sorted(rows) if rows[i]["zone"] == query.get(w["zone"], rows[i]["zone"])]
        token = query.get(w["page"], "")
        begin = sum(i <= token for i in some)
        page = some[begin : begin + self.page]
        request.reply_json(
            200,
            {
                w["rows"]: [{w["id"]: i, **{w[k]: v for k, v in rows[i].items()}} for i in page],
                w["next"]: page[-1] if begin + self.page < len(some) else None,
            },
        )
