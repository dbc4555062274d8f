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

import bench.engine as engine
import bench.words as words
import iriswheel.machine as machine

if typing.TYPE_CHECKING:
    import twisted.internet.interfaces as interfaces
    import twisted.python.failure as failure

    import bench.sim as sim
    import bench.simulated_cluster as simulated_cluster


MS, S = machine.MILLI, machine.SECOND
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


def answer(code: int, heads: list[tuple[str, str]], body: bytes = b"") -> bytes:
    r"""A whole answer as bytes.

    >>> answer(404, [("X-A", "1")], b"no")
    b'HTTP/1.1 404 Not Found\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nno'
    """
    lines = [
        f"HTTP/1.1 {code} {PHRASES.get(code, 'Some')}",
        *[f"{k}: {v}" for k, v in heads],
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Talk(protocol.Protocol):
    """One connection to a server that is served one request at a time.

    Example: `talk.reply(answer(200, []))`
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        self.mach = server.mach
        self.parser = httptools.HttpRequestParser(self)
        self.up = False
        self.busy: Ask | None = None  # what the server works on, or None
        self.ahead: collections.deque[typing.Any] = collections.deque()
        self.idle: sim.Tick | None = None
        self.closing = False
        self.dropped = False  # silently: what comes next is reset
        self.served = 0
        self.heads, self.body, self.url = [], [], b""

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
        self.heads, self.body, self.url = [], [], b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.heads.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_body(self, data: bytes) -> None:
        self.body.append(data)

    def on_message_complete(self) -> None:
        ask = Ask(self, self.parser.get_method().decode(), self.url.decode("latin-1"), self.heads, b"".join(self.body))
        if self.busy is not None:
            self.ahead.append(ask)
        else:
            self.begin(ask)

    def begin(self, ask: Ask) -> None:
        """Let the server work on a request.

        Example: `talk.begin(ask)`
        """
        self.stop_idle()
        self.busy = ask
        self.server.handle(ask)

    def send(self, raw: bytes) -> None:
        """Write bytes, where the connection still stands.

        Example: `talk.send(b"...")`
        """
        if self.up:
            self.transport.write(raw)

    def done(self, close: bool = False) -> None:
        """The answer is out; go on with the next request, or close.

        Example: `talk.done()`
        """
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
        """Wait for the next request, not for ever.

        Example: `talk.rest()`
        """
        self.stop_idle()
        if self.server.idle_us:
            self.idle = self.mach.later(self.server.idle_us, self.tired)

    def tired(self) -> None:
        """Nothing came for long: close, or drop the connection without a word.

        Example: `talk.tired()`
        """
        if self.server.silent_drop:
            self.dropped = True
        elif self.up:
            self.transport.loseConnection()

    def stop_idle(self) -> None:
        """Stop waiting.

        Example: `talk.stop_idle()`
        """
        if self.idle is not None and self.idle.active():
            self.idle.cancel()


class Ask:
    """One request as a server got it.

    >>> Ask(None, "GET", "/a?b=c", [("X-A", "1")], b"").head("x-a")
    '1'
    """

    def __init__(self, talk: Talk | None, method: str, url: str, heads: list[tuple[str, str]], body: bytes) -> None:
        self.talk, self.method, self.url, self.body = talk, method, url, body
        self.path, _, self.query = url.partition("?")
        self.heads = heads
        self.over = False

    def head(self, name: str, default: int | str | None = None) -> int | str | None:
        """A header's value; names have no case.

        Example: `ask.head("Host")`
        """
        return next((v for k, v in self.heads if k.lower() == name.lower()), default)

    def reply(
        self, code: int, heads: collections.abc.Sequence[tuple[str, str]] = (), body: bytes = b"", close: bool = False
    ) -> None:
        """Answer at once and whole.

        Example: `ask.reply(503, [("X-Not-Executed", "1")])`
        """
        if self.over:
            return
        self.over = True
        more = [("Connection", "close")] if close else []
        self.talk.send(answer(code, [*heads, *more], body))
        self.talk.done(close)

    def reply_json(self, code: int, doc: dict[str, typing.Any], heads: tuple[typing.Any, ...] = ()) -> None:
        """Answer with JSON.

        Example: `ask.reply_json(200, {})`
        """
        self.reply(code, [("Content-Type", "application/json"), *heads], json.dumps(doc).encode())


class Server(protocol.Factory):
    """Takes connections; subclasses handle requests.

    Example: `reactor.listenTCP(80, server)`
    """

    noisy = False
    idle_us = 0
    silent_drop = False

    def __init__(self, mach: machine.Machine) -> None:
        self.mach = mach
        self.talks: list[Talk] = []

    def buildProtocol(self, addr: interfaces.IAddress | None) -> Talk:
        return Talk(self)

    def opened(self, talk: Talk) -> bool:
        """Whether a new connection is taken.

        Example: `server.opened(talk)`
        """
        self.talks.append(talk)
        return True

    def lost(self, talk: Talk) -> None:
        """A connection is no more.

        Example: `server.lost(talk)`
        """
        if talk in self.talks:
            self.talks.remove(talk)

    def bad(self, talk: typing.Any) -> None:
        """Bytes came that are no request.

        Example: `server.bad(talk)`
        """


class Run:
    """One request in a worker's hands, from its arrival to its end.

    Example: `worker.runs[ask]`
    """

    def __init__(self, ask: Ask, attempt: str, number: int) -> None:
        self.ask, self.attempt, self.number = ask, attempt, number
        self.seal = ""
        self.began = False
        self.over = False
        self.tick: typing.Any = None
        self.way = ""  # how this one goes wrong
        self.job: typing.Any = None
        self.events = 0
        self.raw, self.times = [], []


class Worker(Server):
    """One life of a stand-in worker.

    `ills` holds how it goes wrong and how often (0 to 1): garble, surplus, late, lost, break, errors, hang, mute.

    Example: `w = Worker(mach, "w1", "desk", tape, rng=random.Random(1))`; `reactor.listenTCP(8080, w)`
    """

    def __init__(
        self,
        mach: machine.Machine,
        name: str,
        pool: str,
        tape: simulated_cluster.Tape,
        figures: engine.Figures | None = None,
        conns: int = 360,
        idle_us: int = 5 * S,
        probe: str = words.PATH["probe"],
    ) -> None:
        super().__init__(mach)
        self.name, self.pool, self.tape = name, pool, tape
        self.id = f"i-{mach.rng.getrandbits(32):08x}"
        self.figures = figures or engine.Figures()
        self.engine = engine.Engine(mach, self.figures)
        self.conns, self.idle_us, self.probe = conns, idle_us, probe
        self.leaving = False
        self.ills: dict[str, float] = {}
        self.health = ""  # or good or bad, whatever is true
        self.closes = 0.005  # how often an answer says that the connection ends
        self.lingers = 0.1  # how often a request goes on though its connection is gone
        self.linger_us = 1_500 * MS
        self.weights = 1
        self.runs: dict[Ask, Run] = {}
        self.count = 0
        self.put("born", pool=pool)

    def put(self, kind: str, **more: typing.Any) -> None:
        """Keep one event.

        Example: `worker.put("arrived", attempt="a1")`
        """
        self.tape.put(self.mach.now(), kind, worker=self.id, name=self.name, **more)

    def opened(self, talk: Talk) -> bool:
        room = self.conns if len(self.engine.waiting) < self.figures.capacity else self.conns // 2
        self.put("opened", peer=talk.peer)
        if len(self.talks) >= room:
            return False
        return super().opened(talk)

    def lost(self, talk: Talk) -> None:
        super().lost(talk)
        run = self.runs.get(talk.busy)
        if run is None or run.over:
            return
        if self.mach.rng.random() < self.lingers:
            self.mach.later(self.linger_us, self.cut, run)
        else:
            self.cut(run)

    def cut(self, run: Run) -> None:
        """Drop a request whose connection is gone.

        Example: `worker.cut(run)`
        """
        if not run.over:
            self.engine.cancel(run.job)
            self.end(run, "cut")

    def stop(self) -> None:
        """This life ends.

        Example: `worker.stop()`
        """
        self.engine.stop()

    # ---- requests ------------------------------------------------------------------------

    def handle(self, ask: Ask) -> None:
        if (ask.method, ask.path) == ("GET", words.PATH["report"]):
            ask.reply_json(200, self.report())
        elif (ask.method, ask.path) == ("GET", self.probe):
            self.take_probe(ask)
        else:
            self.take(ask)

    def report(self) -> dict[str, typing.Any]:
        """The report of how things stood some time ago.

        Example: `doc = worker.report()`
        """
        waiting, running, used = self.engine.report()
        w = words.REPORT
        return {
            w["stage"]: words.WORD["whole"],
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
        """The models it has.

        Example: `worker.models()`
        """
        return [{"name": self.figures.model, "version": self.weights, "adapters": []}]

    def take_probe(self, ask: Ask) -> None:
        """A probe waits for a place as a request does.

        Example: `worker.take_probe(ask)`
        """
        self.put("probed")
        well = not self.leaving and not any(self.ills.values())
        well = {"good": True, "bad": False}.get(self.health, well)

        def say(k: int, last: bool) -> None:
            ask.reply(200 if well else 503, [(words.HEAD["worker"], self.id)])

        if not self.engine.offer(engine.Job("probe", [], 1, event=say)):
            ask.reply(503, [(words.HEAD["not_run"], "1")])

    def take(self, ask: Ask) -> None:
        """A request: refuse it as one that has not run, or run it.

        Example: `worker.take(ask)`
        """
        h, rng = words.HEAD, self.mach.rng
        attempt = ask.head(h["attempt"], "")
        target, after = ask.head(h["target"]), ask.head(h["after"])
        left = int(ask.head(h["left"], "60000"))
        parts = self.parts(ask.head(h["parts"], ""))
        counts = ask.head(h["tokens"])
        row = dict(
            attempt=attempt,
            method=ask.method,
            url=ask.url,
            host=ask.head("Host"),
            body=digest(ask.body),
            peer=ask.talk.peer,
            target=target,
            after=after,
            left_ms=left,
            urgency=ask.head(h["urgency"]),
            model=ask.head(h["model"]),
            counts=counts,
            parts=ask.head(h["parts"]),
            pool=self.pool,
        )
        no = [(h["not_run"], "1"), *([(h["attempt"], attempt)] if attempt else [])]
        if not attempt:
            self.put("arrived", verdict=400, **row)
            ask.reply(400, no)
            return
        if target not in (None, self.id) or ask.head(h["weights_wanted"], str(self.weights)) != str(self.weights):
            self.put("arrived", verdict=421, **row)
            ask.reply(421, no)
            return
        self.count += 1
        run = Run(ask, attempt, self.count)
        run.seal = f"{self.id[2:6]}.{self.count:02x}.{rng.getrandbits(32):08x}"
        ills = [way for way, rate in sorted(self.ills.items()) if rng.random() < rate]
        run.way = ills[0] if ills else ""
        per = self.figures.event_tokens
        done = max(0, (int(after) if after and after.isdigit() else 0) - 1) * per + bool(after)
        tokens = int(counts.split(",")[1]) if counts else per
        run.stream, run.tokens = bool(counts), tokens
        urgency = int(ask.head(h["urgency"], engine.URGENCY))
        run.job = engine.Job(
            attempt,
            parts,
            tokens,
            urgency,
            done=min(done, tokens - 1),
            began=lambda: self.began(run),
            event=lambda k, last: self.event(run, k, last),
        )
        if left <= 0 or not self.engine.offer(run.job):
            self.put("arrived", verdict=503, **row)
            ask.reply(503, [*no, ("Retry-After", "0.2")])
            return
        self.put("arrived", verdict=0, **row)
        self.runs[ask] = run
        if done >= tokens:  # all of it has come before: an answer without an event
            self.engine.cancel(run.job)
            self.began(run)
            self.begin_stream(run)
            talk = run.ask.talk
            talk.send(b"0\r\n\r\n")
            self.finish(run)
            return
        run.tick = self.mach.later(left * MS, self.expire, run)

    @staticmethod
    def parts(text: str) -> list[tuple[str, int]]:
        """The parts that a header names, as (id, tokens).

        >>> Worker.parts("5c:800,91:410")
        [('5c', 800), ('91', 410)]
        """
        return [(p.split(":")[0], int(p.split(":")[1])) for p in text.split(",") if p]

    def began(self, run: Run) -> None:
        """A request runs from its first token on.

        Example: `worker.began(run)`
        """
        run.began = True
        self.put("run", attempt=run.attempt, seal=run.seal, pool=self.pool, after=run.ask.head(words.HEAD["after"]))

    def expire(self, run: Run) -> None:
        """The deadline came: a request that has not begun never runs; another ends.

        Example: `worker.expire(run)`
        """
        if run.over:
            return
        self.engine.cancel(run.job)
        heads = [(words.HEAD["attempt"], run.attempt)]
        if not run.began:
            self.end(run, "expired")
            run.ask.reply(503, [(words.HEAD["not_run"], "1"), *heads])
        elif not run.events:
            self.end(run, "expired")
            run.ask.reply(504, heads)
        else:
            self.end(run, "expired")
            run.ask.talk.transport.abortConnection()

    def end(self, run: Run, how: str) -> None:
        """A request is over.

        Example: `worker.end(run, "ran")`
        """
        run.over = True
        self.runs.pop(run.ask, None)
        if run.tick is not None and run.tick.active():
            run.tick.cancel()
        if run.began:
            self.put(
                "ran",
                attempt=run.attempt,
                seal=run.seal,
                how=how,
                events=run.events,
                times=run.times,
                body=digest(b"".join(run.raw)),
            )

    def heads(self, run: Run, close: bool) -> list[tuple[str, str]]:
        """The head of a successful answer's start.

        Example: `worker.heads(run, False)`
        """
        h = words.HEAD
        out = [(h["attempt"], run.attempt), (h["seal"], run.seal), (h["weights"], str(self.weights))]
        if close:
            out.append(("Connection", "close"))
        elif self.idle_us >= S:
            out.append(("Keep-Alive", f"timeout={self.idle_us // S}"))
        return out

    def event(self, run: Run, k: int, last: bool) -> None:
        """Put out one event of a stream, or a whole short answer.

        Example: `worker.event(run, 1, False)`
        """
        if run.over:
            return
        talk = run.ask.talk
        if run.way in ("hang", "mute") and run.events >= (0 if run.way == "mute" else 1):
            run.events += 1
            if last:
                self.end(run, run.way)
            return
        if run.way in ("errors", "garble") and not run.events:
            self.engine.cancel(run.job)
            self.end(run, run.way)
            if run.way == "errors":
                run.ask.reply(500, [(words.HEAD["attempt"], run.attempt)], b"broken")
            else:
                talk.send(b"\x16\x03\x01 HTTP/9 %d\r\n\r\n" % self.mach.rng.getrandbits(30))
                talk.done(close=self.mach.rng.random() < 0.5)
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
        run.times.append(self.mach.now())
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
        """Send the head of a stream.

        Example: `worker.begin_stream(run)`
        """
        run.close = self.leaving or self.mach.rng.random() < self.closes
        heads = [*self.heads(run, run.close), ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        head = "".join(f"{a}: {b}\r\n" for a, b in heads)
        run.ask.talk.send(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())

    def finish_short(self, run: Run) -> None:
        """Give a whole short answer.

        Example: `worker.finish_short(run)`
        """
        run.close = self.leaving or self.mach.rng.random() < self.closes
        body = f"{run.seal} {run.attempt} whole".encode() + b"." * self.mach.rng.randrange(2000)
        run.raw.append(body)
        run.events = 1
        if run.way in ("lost", "break"):
            if run.way == "break":
                run.ask.talk.send(answer(200, self.heads(run, False), body)[: -len(body) // 2])
            self.end(run, "lost")
            run.ask.talk.transport.abortConnection()
            return
        run.ask.talk.send(answer(200, self.heads(run, run.close), body))
        self.finish(run)

    def finish(self, run: Run) -> None:
        """The whole answer is out; one in trouble may send more, now or in the place of the next one.

        Example: `worker.finish(run)`
        """
        talk = run.ask.talk
        self.end(run, "ran")
        extra = answer(200, [*self.heads(run, False)], f"{run.seal} {run.attempt} again".encode())
        if run.way == "surplus":
            talk.send(extra)
        if run.way == "late":
            self.mach.later(5 * MS + self.mach.rng.randrange(400 * MS), talk.send, extra)
        run.ask.over = True
        talk.done(run.close)

    def bad(self, talk: typing.Any) -> None:
        self.put("bad_request", peer=talk.peer)


class Listing(Server):
    """The platform's list of workers: late, in pages, and no more calls a second than it likes.

    Example: `l = Listing(mach, tape)`; `l.show("i-1", pool="desk", address="10.0.3.1:80", zone="a")`
    """

    def __init__(
        self,
        mach: machine.Machine,
        tape: simulated_cluster.Tape,
        lag_us: int = 800 * MS,
        rate: float = 40.0,
        page: int = 3,
    ) -> None:
        super().__init__(mach)
        self.tape, self.lag_us, self.rate, self.page = tape, lag_us, rate, page
        self.rows: dict[str, dict[str, typing.Any]] = {}
        self.past: collections.deque[tuple[int, dict[str, dict[typing.Any, typing.Any]]]] = collections.deque([(0, {})])
        self.calls: collections.deque[int] = collections.deque()
        self.down = False

    def show(self, ident: str, **more: list[dict[str, typing.Any]] | str) -> None:
        """List a worker, or change how it is listed; it is seen when the lag has gone.

        Example: `listing.show("i-1", state="draining")`
        """
        row = {
            **self.rows.get(
                ident,
                dict(
                    state=words.WORD["ready"], version="v1", capacity=64, cold=0, stage=words.WORD["whole"], models=[]
                ),
            ),
            **more,
        }
        self.rows = {**self.rows, ident: row}
        self.change(ident, row["state"], row["pool"])

    def drop(self, ident: str) -> None:
        """List a worker no more.

        Example: `listing.drop("i-1")`
        """
        pool = self.rows[ident]["pool"]
        self.rows = {k: v for k, v in self.rows.items() if k != ident}
        self.change(ident, "gone", pool)

    def change(self, ident: str, state: str, pool: str) -> None:
        """Keep the list as it is from now on.

        Example: `listing.change("i-1", "gone", "desk")`
        """
        now = self.mach.now()
        self.past.append((now, self.rows))
        while len(self.past) > 1 and self.past[1][0] <= now - 30 * S:
            self.past.popleft()
        self.tape.put(now, "listed", worker=ident, state=state, pool=pool, seen=now + self.lag_us)

    def handle(self, ask: Ask) -> None:
        now = self.mach.now()
        while self.calls and self.calls[0] <= now - S:
            self.calls.popleft()
        self.tape.put(now, "platform_call", peer=ask.talk.peer)
        if self.down:
            return
        if ask.method != "GET" or ask.path != words.PATH["workers"]:
            ask.reply(404)
            return
        if len(self.calls) >= self.rate:
            ask.reply(429)
            return
        self.calls.append(now)
        w = words.LISTING
        query = dict(urllib.parse.parse_qsl(ask.query))
        rows = next((rows for at, rows in reversed(self.past) if at <= now - self.lag_us), self.past[0][1])
        some = [i for i in sorted(rows) if rows[i]["zone"] == query.get(w["zone"], rows[i]["zone"])]
        token = query.get(w["page"], "")
        begin = sum(i <= token for i in some)
        page = some[begin : begin + self.page]
        ask.reply_json(
            200,
            {
                w["rows"]: [{w["id"]: i, **{w[k]: v for k, v in rows[i].items()}} for i in page],
                w["next"]: page[-1] if begin + self.page < len(some) else None,
            },
        )
