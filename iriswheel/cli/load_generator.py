"""The load generator: the brief's mix of requests, as clients would send them."""

from __future__ import annotations

import collections.abc
import io
import json
import typing

import loguru
import twisted.internet.defer as defer
import twisted.internet.protocol as protocol
import twisted.web.client as client
import twisted.web.http_headers as http_headers

import iriswheel.dataplane.dispatch as dispatch
import iriswheel.dataplane.edge_protocol as edge_protocol
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units

if typing.TYPE_CHECKING:
    import twisted.python.failure as failure


LONG_BYTES = 48_000
SHORT_BYTES = 600
ATTEMPTS = 4
GIVE_UP_US = 20 * units.SECOND_US

log = loguru.logger.bind(part="load")


class Events:
    r"""An event log: one JSON object a line, for `iriswheel replay`.

    >>> import io
    >>> out = io.StringIO(); Events(out).put(5, "sent", exchange="e1"); out.getvalue()
    '{"at": 5, "kind": "sent", "exchange": "e1"}\n'
    """

    def __init__(self, out: io.StringIO | typing.TextIO | None = None) -> None:
        self.out = out

    def put(self, at: int, kind: str, **more: typing.Any) -> None:
        """Write one event.

        >>> Events().put(1, "sent")
        """
        if self.out is not None:
            self.out.write(json.dumps({"at": at, "kind": kind, **more}) + "\n")


class AnswerCollector(protocol.Protocol):
    """Takes a streamed answer and notes when its pieces came."""

    def __init__(self, runtime: scheduler.Runtime, done: defer.Deferred[typing.Any]) -> None:
        self.runtime = runtime
        self.done = done
        self.raw: list[bytes] = []
        self.first: int | None = None
        self.last: int | None = None
        self.pause = 0

    def dataReceived(self, data: bytes) -> None:
        now = self.runtime.now()
        if self.first is None:
            self.first = now
        else:
            self.pause = max(self.pause, now - self.last)
        self.last = now
        self.raw.append(data)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        if not self.done.called:
            self.done.callback(reason.check(client.ResponseDone) is not None)


class NodeAddresses:
    """The nodes that clients are handed to: a fixed list, or what the platform says now.

    >>> NodeAddresses([("127.0.0.1", 8101)])()
    [('127.0.0.1', 8101)]
    """

    def __init__(self, fixed: list[tuple[str, int]]) -> None:
        self.now = fixed

    def __call__(self) -> list[tuple[str, int]]:
        return self.now

    async def follow(self, runtime: scheduler.Runtime, host: str, port: int) -> None:
        """Ask the platform for the ready nodes, a few times a second."""
        web = dispatch.Dispatcher(runtime)
        while True:
            try:
                raw = await web.fetch(host, port, "/nodes", units.SECOND_US)
                self.now = [tuple(p) for p in json.loads(raw)["nodes"]] or self.now
            except defer.CancelledError:
                raise
            except Exception as e:
                log.warning("The platform names no nodes: {}", e)
            await runtime.sleep(200 * units.MILLISECOND_US)


class LoadGenerator:
    """The mix: long prompts that share a prefix, short ones, conversations, quick retriers."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        places: NodeAddresses | collections.abc.Callable[..., object],
        path: str,
        us: int,
        long_rate: float,
        short_rate: float,
        talks: int,
        events: Events,
    ) -> None:
        self.runtime = runtime
        self.places = places  # gives the nodes that clients are handed to now
        self.path = path
        self.us = us
        self.long_rate, self.short_rate, self.talks = long_rate, short_rate, talks
        self.events = events
        self.agent = dispatch.Dispatcher(runtime).fresh  # clients come on fresh connections
        self.started_at = runtime.now()
        self.attempts = ATTEMPTS
        self.quick = 0.2  # the share of clients that retry at once
        self.count = 0
        self.rows: list[tuple[str, int, int]] = []  # (kind, first byte, longest pause) of whole answers
        self.codes: dict[str, int] = {}
        self.ends = {"whole": 0, "torn": 0, "refused": 0, "lost": 0, "gave_up": 0}
        self.turns: dict[str, str] = {}  # conversation -> worker of the last turn
        self.affinities = [0, 0]  # later turns on the same worker, later turns
        self.open: list[defer.Deferred[typing.Any]] = []

    async def run(self) -> None:
        """Go on until the time is over, then wait for what is open."""
        loops = [self.stream("long", self.long_rate), self.stream("short", self.short_rate)]
        loops += [self.talk(k) for k in range(self.talks)]
        await defer.DeferredList([defer.ensureDeferred(c) for c in loops], consumeErrors=False)
        await defer.DeferredList(self.open)

    def end(self) -> None:
        """Send nothing new from now on."""
        self.us = 0

    def over(self) -> bool:
        """Whether the time is over."""
        return self.runtime.now() - self.started_at >= self.us

    async def stream(self, kind: str, rate: float) -> None:
        """Send requests of one kind at a rate, whatever becomes of them."""
        due = self.runtime.now()
        while rate > 0 and not self.over():
            due += int(self.runtime.rng.expovariate(rate) * units.SECOND_US)
            await self.runtime.sleep(due - self.runtime.now())
            parts = ["phrases"] if kind == "short" else ["bundle"]
            self.open.append(self.runtime.spawn(self.exchange(kind, parts), log))

    async def talk(self, k: int) -> None:
        """One conversation after the other, each of several turns."""
        turn = 0
        while not self.over():
            await self.runtime.sleep(self.runtime.rng.randrange(300, 2500) * units.MILLISECOND_US)
            if k >= self.talks:
                break
            if turn == 0:
                name = f"talk-{k}-{self.count}"
                turns = self.runtime.rng.randrange(5, 25)
            worker = await self.exchange("talk", ["system", name])
            if worker is not None:
                if name in self.turns:
                    self.affinities[1] += 1
                    self.affinities[0] += worker == self.turns[name]
                self.turns[name] = worker
            turn = (turn + 1) % turns

    async def exchange(self, kind: str, parts: list[str]) -> str | None:
        """One request with its client's retries; the worker's name where it came through."""
        self.count += 1
        identifier = f"x{self.count}"
        repeat = self.runtime.rng.random() < 0.5
        quick = self.runtime.rng.random() < self.quick
        size = LONG_BYTES if kind == "long" else SHORT_BYTES
        body = (f"{identifier} ".encode() * (size // (len(identifier) + 1) + 1))[:size]
        for send in range(1, self.attempts + 1):
            end, worker, wait = await self.send(kind, identifier, send, repeat, parts, body)
            if end == "whole":
                return worker
            if end == "final":
                break
            await self.runtime.sleep(50 * units.MILLISECOND_US if quick else wait)
        self.ends["gave_up"] += 1
        return None

    async def send(
        self, kind: str, identifier: str, send: int, repeat: bool, parts: list[str], body: bytes
    ) -> tuple[str, str | None, int]:
        """One send on a fresh connection: how it ended, where, and when to come back."""
        host, port = self.runtime.rng.choice(self.places())
        headers = http_headers.Headers(
            {
                edge_protocol.PREFIX: [", ".join(parts)],
                edge_protocol.REQUEST_ID: [identifier],
                edge_protocol.SEND: [str(send)],
                edge_protocol.REPEAT: ["yes" if repeat else "no"],
                "Content-Type": ["text/plain"],
            }
        )
        started_at = self.runtime.now()
        self.events.put(
            started_at,
            "sent",
            exchange=identifier,
            send=send,
            repeat=repeat,
            node=f"{host}:{port}",
            parts=parts,
            sort=kind,
            path=self.path,
        )
        wait = 500 * units.MILLISECOND_US
        try:
            response = await self.runtime.within(
                self.agent.request(b"POST", f"http://{host}:{port}{self.path}".encode(), headers, dispatch.Body(body)),
                GIVE_UP_US,
            )
        except Exception as e:
            self.ends["lost"] += 1
            self.events.put(self.runtime.now(), "lost", exchange=identifier, send=send, why=type(e).__name__)
            return "lost", None, wait
        done = defer.Deferred()
        receiver = AnswerCollector(self.runtime, done)
        response.deliverBody(receiver)
        whole = await done
        now = self.runtime.now()
        raw = b"".join(receiver.raw)
        worker = (response.headers.getRawHeaders(edge_protocol.TARGET) or [None])[0]
        if response.code == 200:
            end = "whole" if whole else "torn"
            self.ends[end] += 1
            if whole and receiver.first is not None:
                self.rows.append((kind, receiver.first - started_at, receiver.pause))
            self.events.put(
                now,
                end,
                exchange=identifier,
                send=send,
                worker=worker,
                first=(receiver.first or now) - started_at,
                pause=receiver.pause,
                text=raw.decode("latin-1"),
            )
            return end, worker, wait
        try:
            document = json.loads(raw)
        except ValueError:
            document = {"code": f"status {response.code}", "verdict": "may_have_run"}
        self.codes[document["code"]] = self.codes.get(document["code"], 0) + 1
        self.ends["refused"] += 1
        self.events.put(
            now,
            "refused",
            exchange=identifier,
            send=send,
            code=document["code"],
            verdict=document["verdict"],
            took=now - started_at,
        )
        after = response.headers.getRawHeaders("Retry-After")
        if document["verdict"] != "not_run" and not repeat:
            return "final", None, wait
        return "refused", None, int(after[0]) * units.SECOND_US if after else wait

    def report(self) -> dict[str, typing.Any]:
        """What came of it all, times in milliseconds."""
        out = {"exchanges": self.count, "ends": self.ends, "refused_by_code": dict(sorted(self.codes.items()))}
        for kind in ("long", "short", "talk"):
            firsts = sorted(r[1] for r in self.rows if r[0] == kind)
            pauses = [r[2] for r in self.rows if r[0] == kind]
            if firsts:
                out[kind] = {
                    "whole": len(firsts),
                    "first_ms_median": share(firsts, 0.5),
                    "first_ms_p99": share(firsts, 0.99),
                    "first_ms_max": firsts[-1] // 1000,
                    "longest_pause_ms": max(pauses) // 1000,
                }
        out["pinned_turns"] = {"kept": self.affinities[0], "of": self.affinities[1]}
        return out


def share(values: list[int], part: float) -> float:
    """The value below which a part of the sorted values lies, in milliseconds.

    >>> share([1000, 2000, 3000], 0.5)
    2.0
    """
    return values[min(len(values) - 1, int(len(values) * part))] / 1000
