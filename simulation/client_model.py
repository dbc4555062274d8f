"""Stand-ins for who calls the fleet on the users' platform: clients, their virtual address, and operators.

Each try of a client is one row `tried` of the event log, with everything that came back and when.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import json
import math
import random
import typing
import zlib

import httptools
import loguru
import twisted.internet.defer as defer
import twisted.internet.protocol as protocol

import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import simulation.platform_names as platform_names
import simulation.serving as serving

if typing.TYPE_CHECKING:
    import twisted.internet.interfaces as interfaces
    import twisted.python.failure as failure

    import simulation.network_model as network_model
    import simulation.simulated_cluster as simulated_cluster


MS, S = units.MILLISECOND_US, units.SECOND_US
PROMISES = (408, 421, 429, 503)  # the request has not run and never will
FINAL = (400, 401, 404, 413, 431)

log = loguru.logger.bind(part="users")


@dataclasses.dataclass
class RequestKind:
    """A kind of request. Times in ms; parts are (mean tokens, spread, things, skew), from the outermost on.

    >>> RequestKind("desk").sort
    'stream'
    """

    name: str
    host: str = "desk.example"
    path: str = "/desk/"
    sort: str = "stream"  # or may, once: what may be repeated
    resumable: bool = False
    urgency: int = 0
    aim_ms: int = 400
    pause_ms: int = 200
    deadline_ms: int = 5_000
    sends: int = 2
    more_attempts: int = 1
    value: float = 3.0
    late_value: float = 0.9
    share: float = 1.0  # of all requests
    parts: tuple = ((55, 0.4, 40, 0.0), (37, 0.7, 1400, 0.3))
    own: tuple = (290, 1.4, 1800)  # mean, spread, most
    events: tuple = (11, 1.4, 45)
    event_tokens: int = 4
    body_bytes: int = 770
    pool: str = "pool"


def draw(rng: random.Random, mean: int, spread: float, most: float = 1e9) -> int:
    """A size by chance: log-normal round a mean, at least 1.

    >>> import random
    >>> draw(random.Random(1), 50, 0)
    50
    """
    if not spread:
        return max(1, round(mean))
    return max(1, min(round(most), round(rng.lognormvariate(math.log(mean) - spread**2 / 2, spread))))


def some_thing(rng: random.Random, things: int, skew: float) -> int:
    """One of so many things, the first ones more often.

    >>> import random
    >>> some_thing(random.Random(1), 1, 0.3)
    0
    """
    return min(things - 1, int(things * rng.random() ** (1 / (1 - skew)))) if skew < 1 else 0


class PendingAnswer:
    """One request on a connection, and what came back. `ended(call)` is told once."""

    def __init__(self, ended: collections.abc.Callable[..., object]) -> None:
        self.ended = ended
        self.over = False
        self.how = ""  # whole, closed, garbage, or a word of who gave up
        self.code, self.headers, self.body = 0, {}, b""
        self.events: list[list[typing.Any]] = []  # [id, seal, when, last]
        self.rest = b""
        self.bad_events = 0
        self.first = self.last = None
        self.pause = 0

    def end(self, how: str) -> None:
        """It is over."""
        if not self.over:
            self.over, self.how = True, how
            self.ended(self)

    def head(self, name: str) -> str | None:
        """A header of the answer, or None."""
        return self.headers.get(name.lower())

    def take(self, data: bytes, now: int) -> None:
        r"""Bytes of the body."""
        if self.first is None:
            self.first = now
        else:
            self.pause = max(self.pause, now - self.last)
        self.last = now
        self.body += data
        if not (self.head("content-type") or "").startswith("text/event-stream"):
            return
        self.rest += data
        *pieces, self.rest = self.rest.split(b"\n\n")
        for p in pieces:
            try:
                fields = dict(line.split(": ", 1) for line in p.decode().split("\n"))
                seal, attempt, k, *last = fields["data"].split(" ")
                if k != fields["id"]:
                    raise ValueError(k)
                self.events.append([int(k), seal, now, bool(last), attempt])
            except (ValueError, KeyError, UnicodeDecodeError):
                self.bad_events += 1


class ClientConnection(protocol.Protocol):
    """A client's connection: one call at a time, kept for the next one if both sides like."""

    def __init__(
        self, runtime: scheduler.Runtime, stray: collections.abc.Callable[..., object] = lambda line, data: None
    ) -> None:
        self.runtime, self.stray = runtime, stray
        self.parser = httptools.HttpResponseParser(self)
        self.call: PendingAnswer | None = None
        self.up = False
        self.keep = True
        self.until: typing.Any = None  # when the other side ends it if idle
        self.headers: dict[str, str] = {}
        self.passing = False  # what comes is no final answer

    def connectionMade(self) -> None:
        self.up = True

    def start(self, call: PendingAnswer, raw: bytes) -> None:
        r"""Send a request."""
        self.call = call
        self.transport.write(raw)

    def unread(self) -> bool:
        """Whether the other side has not read all that was sent."""
        return getattr(self.transport, "flying", 0) > 0

    def drop(self, how: str) -> None:
        """Give the call up, and the connection with it."""
        call, self.call, self.keep = self.call, None, False
        if self.up:
            self.transport.abortConnection()
        if call is not None:
            call.end(how)

    def dataReceived(self, data: bytes) -> None:
        if self.call is None:
            if self.keep:
                self.stray(self, data)
            self.keep = False
            self.transport.abortConnection()
            return
        call = self.call
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            if self.call is None and call.how == "whole":
                self.stray(self, data)  # more bytes in one piece with a whole answer
                self.keep = False
                self.transport.abortConnection()
            else:
                self.drop("garbage")

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        self.up = self.keep = False
        call, self.call = self.call, None
        if call is not None:
            call.end("closed")

    def on_message_begin(self) -> None:
        self.headers = {}
        if self.call is None:
            raise ValueError("an answer that nobody asked for")

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        code = self.parser.get_status_code()
        self.passing = 100 <= code < 200
        if not self.passing:
            self.call.code, self.call.headers = code, self.headers

    def on_body(self, data: bytes) -> None:
        self.call.take(data, self.runtime.now())

    def on_message_complete(self) -> None:
        if self.passing:
            return
        call, self.call = self.call, None
        self.keep = self.keep and self.parser.should_keep_alive()
        told = self.headers.get("keep-alive", "")
        self.until = (
            self.runtime.now() + int(told.split("timeout=")[1].split(",")[0]) * S if "timeout=" in told else None
        )
        call.completed_at = self.runtime.now()
        call.end("whole")


def connect(
    runtime: scheduler.Runtime,
    host: str,
    port: int,
    timeout_us: int,
    stray: collections.abc.Callable[..., object] = lambda line, data: None,
) -> defer.Deferred[typing.Any]:
    """Open a connection: a Deferred of a Line; it fails as the network says."""
    d = defer.Deferred()

    class Factory(protocol.ClientFactory):
        noisy = False

        def buildProtocol(self, address: interfaces.IAddress | None) -> ClientConnection:
            line = ClientConnection(runtime, stray)
            runtime.later(0, lambda: d.called or d.callback(line))
            return line

        def clientConnectionFailed(self, connector: network_model.Connector, reason: failure.Failure) -> None:
            if not d.called:
                d.errback(reason)

    runtime.reactor.connectTCP(host, port, Factory(), timeout=timeout_us / S)
    return d


class VirtualAddress:
    """The platform's virtual address: asks nodes whether they are ready, and picks one for a new connection."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        tape: simulated_cluster.EventLog,
        near: collections.abc.Callable[..., object] = lambda zone: [],
    ) -> None:
        self.runtime, self.tape, self.near = runtime, tape, near
        self.nodes: dict[str, tuple[str, tuple[str, int], tuple[str, int]]] = {}  # name -> (zone, front, ready)
        self.misses: dict[str, int] = {}  # name -> misses in a row

    async def run(self) -> None:
        """Ask all nodes each second."""
        while True:
            for name in sorted(self.nodes):
                self.runtime.spawn(self.ask(name, *self.nodes[name][2]), log)
            await self.runtime.sleep(S)

    async def ask(self, name: str, host: str, port: int) -> None:
        """Ask one node whether it is ready."""
        was = self.into(name)
        ok = False
        try:
            line = await connect(self.runtime, host, port, 900 * MS)
            d = defer.Deferred()
            head = f"GET {platform_names.PATHS['ready']} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            line.start(PendingAnswer(d.callback), head.encode())
            self.runtime.later(900 * MS, line.drop, "silent")
            call = await d
            ok = call.how == "whole" and call.code == 200
            line.drop("done")
        except defer.CancelledError:
            raise
        except Exception:
            pass
        if name not in self.nodes:
            return
        self.misses[name] = 0 if ok else self.misses.get(name, 2) + 1
        self.tape.put(self.runtime.now(), "asked", node=name, ok=ok)
        if self.into(name) != was:
            self.tape.put(self.runtime.now(), "entry", node=name, into=not was)

    def into(self, name: str) -> bool:
        """Whether a node gets new connections."""
        return self.misses.get(name, 2) < 2

    def zone_nodes(self, zone: str) -> list[str]:
        """The nodes that a zone's clients are passed to."""
        mine = [n for n in sorted(self.nodes) if self.nodes[n][0] == zone]
        ready = [n for n in mine if self.into(n)]
        return ready if 2 * len(ready) >= len(mine) and ready else mine if ready else []

    def pick(self, zone: str, client: str, attempts: int) -> tuple[str, tuple[str, int]]:
        """The node of a new connection."""
        zones = [zone, *[z for z in sorted({v[0] for v in self.nodes.values()}) if z != zone]]
        names = next((got for z in zones if (got := self.zone_nodes(z))), sorted(self.nodes))
        at = zlib.crc32(f"{client}".encode()) + attempts
        name = names[at % len(names)]
        return name, self.nodes[name][1]


class Client:
    """One client, with its own connections."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        tape: simulated_cluster.EventLog,
        entry: VirtualAddress,
        name: str,
        zone: str,
        keeps: bool = True,
        chunked: bool = False,
        hasty: bool = False,
    ) -> None:
        self.runtime, self.tape, self.entry = runtime, tape, entry
        self.name, self.zone = name, zone
        self.keeps, self.chunked, self.hasty = keeps, chunked, hasty
        self.spare: dict[str, list[ClientConnection]] = {}  # node -> lines
        self.view = 0

    def stray(self, node: str) -> collections.abc.Callable[..., object]:
        """What to do with bytes that nobody asked for."""
        return lambda line, data: self.tape.put(
            self.runtime.now(), "stray", node=node, client=self.name, data=data[:80].decode("latin-1")
        )

    def content(self, kind: RequestKind, hot: None = None) -> tuple[list[tuple[str, str]], bytes]:
        """A request by chance: headers, body, tokens in and out. `hot` (kind, share) makes one key popular."""
        rng = self.runtime.rng
        parts = []
        for level, (mean, spread, things, skew) in enumerate(kind.parts):
            hit = hot is not None and hot[0] == kind.name and rng.random() < hot[1]
            thing = 0 if hit else some_thing(rng, things, skew)
            identifier = zlib.crc32(f"{kind.name} {level} {thing}".encode())
            sizes = scheduler.random.Random(identifier)
            parts.append((f"{identifier:08x}", draw(sizes, mean, spread, 3 * mean)))
        parts.append((f"{rng.getrandbits(32):08x}", draw(rng, *kind.own)))
        out = kind.event_tokens * (draw(rng, *kind.events) - 1) + 1
        h = platform_names.HEADERS
        tokens = sum(n for _, n in parts)
        headers = [
            (h["model"], "m"),
            (h["tokens"], f"{tokens},{out}"),
            (h["parts"], ",".join(f"{p}:{n}" for p, n in parts)),
        ]
        body = b"%08x" % rng.getrandbits(32) + b"." * max(0, draw(rng, kind.body_bytes, 0.3, 200_000) - 8)
        return headers if kind.sort == "stream" else [], body

    async def ask(
        self, kind: RequestKind, path: str = "", hot: None = None, headers: None = None, body: None = None
    ) -> None:
        """One request through all its tries."""
        runtime, rng = self.runtime, self.runtime.rng
        made, made_body = self.content(kind, hot)
        headers, body = headers if headers is not None else made, body if body is not None else made_body
        self.view += 1
        identifier = f"{self.name}-{self.view}"
        started_at = runtime.now()
        until = started_at + kind.deadline_ms * MS
        path = path or f"{kind.path}{rng.getrandbits(8):02x}"
        after, attempts = 0, 0
        self.tape.put(started_at, "asked_for", request=identifier, sort=kind.name, zone=self.zone)
        while True:
            row = await self.once(kind, identifier, attempts, path, headers, body, until, after)
            attempts += 1
            code, how, now = row["code"], row["how"], runtime.now()
            got = [e[0] for e in row["events"]]
            after = max([after, *got]) if kind.resumable else 0
            if how == "whole" and 200 <= code < 300 or how == "whole" and code in FINAL or now >= until:
                break
            idempotent = kind.sort == "may" or kind.resumable
            if not (idempotent or how == "unconnected" or how == "whole" and code in PROMISES):
                break
            if attempts > kind.more_attempts * (3 if self.hasty else 1):
                break
            wait = 50 * MS
            if row["retry_after"] is not None and not self.hasty:
                wait = min(int(row["retry_after"] * S), (until - now) // 3)
            if self.hasty:
                wait = 1
            await runtime.sleep(wait)
            if runtime.now() >= until:
                break
        self.tape.put(
            runtime.now(),
            "answered",
            request=identifier,
            sort=kind.name,
            zone=self.zone,
            began=started_at,
            tries=attempts,
            ok=how == "whole" and 200 <= code < 300,
            code=code,
            how=how,
        )

    async def once(
        self,
        kind: RequestKind,
        identifier: str,
        attempts: int,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        until: int,
        after: int,
        node: str | None = None,
    ) -> dict[str, typing.Any]:
        """One try: its row of the log."""
        runtime, h = self.runtime, platform_names.HEADERS
        attempt = f"{runtime.rng.getrandbits(64):016x}"
        name, (host, port) = (
            (node, self.entry.nodes[node][1]) if node else self.entry.pick(self.zone, self.name, attempts)
        )
        started_at = runtime.now()
        left = max(1, (until - started_at) // MS)
        lines = [("Host", kind.host), (h["attempt"], attempt), *headers, (h["left"], str(left))]
        if after:
            lines.append((h["after"], str(after)))
        if self.chunked and body:
            cut = len(body) // 2
            pieces = [p for p in (body[:cut], body[cut:]) if p]
            raw = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"
            lines.append(("Transfer-Encoding", "chunked"))
        else:
            raw = body
            lines.append(("Content-Length", str(len(body))))
        if not self.keeps:
            lines.append(("Connection", "close"))
        raw = (f"POST {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines) + "\r\n").encode() + raw
        ended = defer.Deferred()
        call = PendingAnswer(lambda c: ended.callback(None))
        line = None
        spare = self.spare.setdefault(name, [])
        while spare and line is None:
            line = spare.pop()
            if not line.up or not line.keep or (line.until is not None and line.until - 200 * MS < started_at):
                line.drop("idle")
                line = None
        row = dict(
            attempt=attempt,
            request=identifier,
            tries=attempts,
            sort=kind.name,
            repeat=kind.sort == "may" or kind.resumable,
            stream=kind.sort == "stream",
            host=kind.host,
            url=path,
            method="POST",
            body=serving.digest(body),
            node=name,
            zone=self.zone,
            sent=started_at,
            until=until,
            after=after,
            direct=node is not None,
        )
        if line is None:
            try:
                line = await connect(runtime, host, port, min(S, max(1, until - started_at)), self.stray(name))
            except defer.CancelledError:
                raise
            except Exception:
                call.end("unconnected")
        kept_silent = max(2 * S, 4 * kind.aim_ms * MS, 8 * kind.pause_ms * MS) if kind.sort == "stream" else 10**12
        if line is not None:
            row["sent"] = runtime.now()
            line.start(call, raw)
            limit = min(S, (until - started_at) // 3)
            while not call.over:
                now = runtime.now()
                last = call.last or row["sent"]
                if now >= until + 50 * MS:
                    line.drop("deadline")
                elif now - last >= kept_silent:
                    line.drop("silent")
                elif now - row["sent"] >= limit and line.unread() and row["repeat"]:
                    line.drop("unread")
                else:
                    nexts = [until + 50 * MS, last + kept_silent]
                    if now - row["sent"] < limit:
                        nexts.append(row["sent"] + limit)
                    await self.either(ended, min(nexts) - now)
            if line.up and line.keep and self.keeps and call.how == "whole":
                spare.append(line)
            else:
                line.drop("used")
        retry = call.head("retry-after")
        row.update(
            code=call.code,
            how=call.how,
            seal=call.head(h["seal"]),
            echo=call.head(h["attempt"]),
            retry_after=float(retry) if retry else None,
            got=serving.digest(call.body),
            events=call.events,
            bad_events=call.bad_events,
            rest=bool(call.rest),
            first=call.first,
            pause=call.pause,
            encoding=call.head("content-encoding"),
            done=runtime.now(),
            text=call.body[:120].decode("latin-1") if not 200 <= call.code < 300 else "",
        )
        self.tape.put(runtime.now(), "tried", **row)
        return row

    def either(self, ended: defer.Deferred[typing.Any], us: int) -> defer.Deferred[typing.Any]:
        """A Deferred that fires when `ended` has, or after a time."""
        out = defer.Deferred()
        tick = self.runtime.later(max(1, us), lambda: out.called or out.callback(None))

        def end(response: None) -> None:
            if tick.active():
                tick.cancel()
            if not out.called:
                out.callback(None)
            return response

        ended.addCallback(end)
        return out


class Traffic:
    """All clients of a zone."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        clients: list[Client],
        kinds: tuple[RequestKind, RequestKind],
        rate: float,
        phase: float = 0.0,
    ) -> None:
        self.runtime, self.clients, self.kinds, self.rate, self.phase = runtime, clients, kinds, rate, phase
        self.factor: dict[typing.Any, typing.Any] = {}  # kind -> how many times as much
        self.hot: typing.Any = None
        self.open = 0

    async def run(self, until: int) -> None:
        """Ask and ask until a time."""
        runtime, rng = self.runtime, self.runtime.rng
        while runtime.now() < until:
            weights = [k.share * self.factor.get(k.name, 1) for k in self.kinds]
            wave = 1 + 0.15 * math.sin(2 * math.pi * (runtime.now() / (11 * S) + self.phase))
            await runtime.sleep(
                int(rng.expovariate(self.rate * sum(weights) / sum(k.share for k in self.kinds) * wave) * S)
            )
            kind = rng.choices(self.kinds, weights)[0]
            runtime.spawn(self.one(rng.choice(self.clients), kind), log)

    async def one(self, client: Client, kind: RequestKind) -> None:
        """One request, counted while it is open."""
        self.open += 1
        try:
            await client.ask(kind, hot=self.hot)
        finally:
            self.open -= 1


class Operator:
    """Sends configurations, and reads them back."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        tape: simulated_cluster.EventLog,
        places: collections.abc.Callable[..., object],
        name: str,
    ) -> None:
        self.runtime, self.tape, self.places, self.name = runtime, tape, places, name
        self.calls = self.sends = 0
        self.first_place: typing.Any = None  # the address that the next change is sent to first
        self.lost_share = 0.0  # of the acknowledgements, which are lost on their way
        self.last_place: tuple[str, int] | None = None  # the address that acknowledged last
        self.on_send, self.on_acknowledged = [], []  # each called once, at the next change

    async def call(
        self, method: str, headers: list[tuple[str, str]], raw: bytes, host: str, port: int
    ) -> tuple[int, bytes]:
        """One call at one place, which may send it on twice: (status, body), or (0, b"") without a clear answer."""
        path = platform_names.PATHS["blueprint"]
        for _ in range(3):
            self.calls += 1
            lines = [
                ("Host", f"{host}:{port}"),
                ("Content-Type", "application/json"),
                *headers,
                ("Content-Length", str(len(raw))),
                ("Connection", "close"),
            ]
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines) + "\r\n"
            try:
                line = await connect(self.runtime, host, port, S)
            except defer.CancelledError:
                raise
            except Exception:
                return 0, b""
            d = defer.Deferred()
            line.start(PendingAnswer(d.callback), head.encode() + raw)
            self.runtime.later(S + len(raw) * 5, line.drop, "silent")
            call = await d
            line.drop("done")
            if call.how != "whole":
                return 0, b""
            if call.code != 307:
                return call.code, call.body
            where = (call.head("location") or "").partition("://")[2]
            place, _, rest = where.partition("/")
            if ":" not in place:
                return 0, b""
            host, port, path = place.rpartition(":")[0], int(place.rpartition(":")[2]), f"/{rest}"
        return 0, b""

    async def until_clear(
        self, method: str, headers: list[tuple[str, str]], raw: bytes, seconds: int = 60, send: str = ""
    ) -> tuple[int, bytes]:
        """Call until an answer is clear: (status, body), or (0, b"") when time is up."""
        until, pause, odd = self.runtime.now() + seconds * S, 100 * MS, 0
        at = self.runtime.rng.randrange(100)
        while self.runtime.now() < until:
            places = self.places()
            place, self.first_place = self.first_place or places[at % len(places)], None
            status, body = await self.call(method, headers, raw, *place)
            if status == 200 and method != "GET":
                self.last_place = place
                status = self.acknowledged(status, send)
            if status == 200 or status in (400, 409, 412, 413, 422):
                return status, body
            if 400 <= status < 500 and status not in (408, 429):
                odd += 1
                if odd == 3:
                    return status, body
            at += 1
            await self.runtime.sleep(pause)
            pause = min(S, pause * 3 // 2)
        return 0, b""

    def acknowledged(self, status: int, send: str) -> int:
        """A change was acknowledged: the status that the operator sees, 0 where the answer is lost."""
        if self.lost_share and self.runtime.rng.random() < self.lost_share:
            self.tape.put(self.runtime.now(), "acknowledgement_lost", send=send)
            return 0
        waiting, self.on_acknowledged = self.on_acknowledged, []
        for f in waiting:
            f()
        return status

    async def put(self, document: dict[str, typing.Any], base: int, valid: bool = True, seconds: int = 60) -> int:
        """Send a whole configuration on top of a version: the status."""
        return await self.send("PUT", document, document, base, valid, seconds)

    async def patch(
        self,
        change: dict[str, typing.Any],
        document: dict[str, typing.Any],
        base: int,
        valid: bool = True,
        seconds: int = 60,
    ) -> int:
        """Send a change, which makes `doc` out of the version `base`: the status."""
        return await self.send("PATCH", change, document, base, valid, seconds)

    async def send(
        self,
        method: str,
        body: dict[str, typing.Any],
        document: dict[str, typing.Any],
        base: int,
        valid: bool,
        seconds: int,
    ) -> int:
        """Send either, and log what came of it."""
        version = document[platform_names.CONFIGURATION["version"]]
        self.sends += 1
        waiting, self.on_send = self.on_send, []
        for f in waiting:
            f()
        row = dict(version=version, base=base, send=f"{self.name}-{self.sends}")
        self.tape.put(self.runtime.now(), "config_sent", doc=document, valid=valid, **row)
        status, text = await self.until_clear(
            method, [("If-Match", str(base))], json.dumps(body).encode(), seconds, row["send"]
        )
        self.tape.put(self.runtime.now(), "config_answer", code=status, text=text[:200].decode("latin-1"), **row)
        return status

    async def read(self, seconds: int = 20) -> dict[str, typing.Any]:
        """Read the newest configuration back: it, or None."""
        started_at = self.runtime.now()
        status, raw = await self.until_clear("GET", [], b"", seconds)
        document = json.loads(raw) if status == 200 else None
        version = document.get(platform_names.CONFIGURATION["version"]) if document is not None else None
        self.tape.put(
            self.runtime.now(),
            "config_read",
            code=status,
            doc=document,
            version=version,
            began=started_at,
            who=self.name,
        )
        return document
