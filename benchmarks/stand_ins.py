"""Stand-ins for a worker and for the platform.

The worker has one model with a prefix cache, batches, and a late load report. Both
speak what docs/interface.md says, and write event logs of their own.
"""

from __future__ import annotations

import collections
import collections.abc
import json
import sys
import typing

import defopt
import loguru
from twisted.internet import defer

from iriswheel.cli import load_generator
from iriswheel.dataplane import dispatch, edge_protocol
from iriswheel.runtime import scheduler, units
from iriswheel.transport import http_server

if typing.TYPE_CHECKING:
    from simulation import event_log


PREFILL_BYTES_PER_S = 400_000  # prompt bytes read per second, alone
TOKEN_US = 25 * units.MILLISECOND_US
SHORT_TOKENS = 12
LONG_TOKENS = 24
TINY_BYTES = 16  # a body as small as this, a probe's, gets two tokens
BATCH = 24
CACHE = 64
REPORT_LAG_US = 700 * units.MILLISECOND_US

log = loguru.logger.bind(part="worker")


class Worker:
    """One stand-in worker."""

    def __init__(
        self, runtime: scheduler.Runtime, identifier: str, events: load_generator.Events | event_log.EventLog
    ) -> None:
        self.runtime = runtime
        self.identifier = identifier
        self.events = events
        self.cache = collections.OrderedDict()
        self.running = 0
        self.prefill = defer.DeferredLock()
        self.queue = defer.DeferredSemaphore(BATCH)
        self.past: collections.deque[tuple[int, int, int]] = collections.deque([(0, 0, 0)])
        self.runs = 0
        self.report = "good"  # or late, missing, broken, wrong, never: how it answers /load
        self.mood = ""  # or slow, stops, short, long: how it answers requests
        self.unhealthy = False  # a sick worker breaks every request off, unanswered

    async def handle(self, request: http_server.Request) -> None:
        """Answer one request."""
        match (request.method, request.path):
            case (b"GET", b"/load"):
                match self.report:
                    case "late":
                        await self.runtime.sleep(units.SECOND_US + self.runtime.rng.randrange(2 * units.SECOND_US))
                    case "missing":
                        request.answer_json(404, {"error": "no such path"})
                        return
                    case "broken":
                        request.answer(200, b'{"running": 3, "que')
                        return
                    case "wrong":
                        request.answer_json(200, {"running": "many", "queued": [1]})
                        return
                    case "never":
                        await self.runtime.sleep(60 * units.SECOND_US)
                        return
                now = self.runtime.now()
                while len(self.past) > 1 and self.past[1][0] <= now - REPORT_LAG_US:
                    self.past.popleft()
                _, running, queued = self.past[0]
                request.answer_json(200, {"running": running, "queued": queued})
            case (b"POST", _):
                await self.run(request)
            case _:
                request.answer_json(404, {"error": "no such path"})

    def note(self) -> None:
        """Keep the load for the late report."""
        self.past.append((self.runtime.now(), min(self.running, BATCH), max(0, self.running - BATCH)))

    async def run(self, request: http_server.Request) -> None:
        """Read the prompt, then stream the answer, one event a token."""
        headers = request.requestHeaders
        identifier, send = (
            edge_protocol.identifier(headers, edge_protocol.REQUEST_ID),
            edge_protocol.send_number(headers),
        )
        parts = edge_protocol.prefix(headers)
        raw = request.content.read()
        self.runs += 1
        run = f"{self.identifier}-{self.runtime.incarnation}-{self.runs}"
        self.events.put(
            self.runtime.now(),
            "run",
            worker=self.identifier,
            run=run,
            exchange=identifier,
            send=send,
            parts=parts,
            target=edge_protocol.header(headers, edge_protocol.TARGET),
            path=request.path.decode("latin-1"),
        )
        if self.unhealthy:
            request.break_off()
            return
        work = defer.ensureDeferred(self.answer(request, run, identifier, parts, len(raw)))
        lost = request.lost.wait()
        lost.addCallback(lambda _: work.cancel())
        self.running += 1
        self.note()
        try:
            await work
            self.events.put(self.runtime.now(), "ran", worker=self.identifier, run=run, exchange=identifier)
        except defer.CancelledError:
            self.events.put(self.runtime.now(), "cut", worker=self.identifier, run=run, exchange=identifier)
        finally:
            self.running -= 1
            self.note()
            lost.addErrback(lambda _: None)
            lost.cancel()

    async def answer(
        self, request: http_server.Request, run: str, identifier: str, parts: list[str], size: int
    ) -> None:
        """The answer itself: `n` events that name the run, then an end."""
        await self.queue.acquire()
        try:
            await self.prefill.acquire()
            try:
                known = 0
                for part in parts:
                    if part not in self.cache:
                        break
                    known += 1
                fresh = size * (1 - 0.85 * known / max(1, len(parts)))
                await self.runtime.sleep(int(fresh / PREFILL_BYTES_PER_S * units.SECOND_US))
                for part in parts:
                    self.cache[part] = True
                    self.cache.move_to_end(part)
                while len(self.cache) > CACHE:
                    self.cache.popitem(last=False)
            finally:
                self.prefill.release()
            tokens = LONG_TOKENS if size > 16_000 else SHORT_TOKENS if size > TINY_BYTES else 2
            request.setHeader("Content-Type", "text/event-stream")
            if self.mood == "slow":
                await self.runtime.sleep(3 * units.SECOND_US)
            for k in range(tokens):
                if self.mood in ("stops", "short") and k == tokens // 2:
                    if self.mood == "stops":
                        await self.runtime.sleep(30 * units.SECOND_US)
                    request.break_off()
                    raise defer.CancelledError()
                document = {"worker": self.identifier, "run": run, "exchange": identifier, "k": k, "of": tokens}
                if self.mood == "long":
                    document["pad"] = "x" * 100_000
                request.write(b"data: " + json.dumps(document).encode() + b"\n\n")
                await self.runtime.sleep(TOKEN_US)
            request.write(b"data: [DONE]\n\n")
            request.finish()
        finally:
            self.queue.release()


class Platform:
    """A stand-in platform: it lists the workers, marks leaving ones, asks nodes for readiness."""

    def __init__(self, runtime: scheduler.Runtime, events: load_generator.Events | event_log.EventLog) -> None:
        self.runtime = runtime
        self.events = events
        self.workers: dict[str, dict[str, typing.Any]] = {}  # id -> its row
        self.nodes: dict[str, tuple[str, int]] = {}  # name -> (host, HTTP port)
        self.mood = ""  # or slow, nonsense, empty, half: how it answers the question for its workers
        self.heartbeat_sent_at: dict[str, bool] = {}  # name -> whether it said that it is ready
        self.sender = dispatch.Dispatcher(runtime)

    async def poll_nodes(self) -> None:
        """Ask every node whether it is ready, over and over."""
        while True:
            for name, (host, port) in sorted(self.nodes.items()):
                self.runtime.spawn(self.poll_node(name, host, port), log)
            await self.runtime.sleep(500 * units.MILLISECOND_US)

    async def poll_node(self, name: str, host: str, port: int) -> None:
        """Ask one node whether it is ready."""
        try:
            await self.sender.fetch(host, port, edge_protocol.READY_PATH, 400 * units.MILLISECOND_US)
            ready = True
        except defer.CancelledError:
            raise
        except Exception:
            ready = False
        if self.heartbeat_sent_at.get(name) != ready:
            self.heartbeat_sent_at[name] = ready
            self.events.put(self.runtime.now(), "asked", node=name, ready=ready)

    def places(self) -> list[tuple[str, int]]:
        """Where clients are handed to: the ready nodes; all of them where none is."""
        ready = [self.nodes[n] for n in sorted(self.nodes) if self.heartbeat_sent_at.get(n)]
        return ready or [self.nodes[n] for n in sorted(self.nodes)]

    def put(self, id: str, **more: int | str) -> None:
        """List a worker, or change how it is listed."""
        row = {"id": id, "state": "ready", "drain_deadline_ms": 5000, **self.workers.get(id, {}), **more}
        self.workers[id] = row
        self.events.put(self.runtime.now(), "listed", worker=id, state=row["state"], pool=row["pool"])

    def drop(self, identifier: typing.Any) -> None:
        """List a worker no more."""
        del self.workers[identifier]
        self.events.put(self.runtime.now(), "listed", worker=identifier, state="gone", pool="")

    async def handle(self, request: http_server.Request) -> None:
        """Answer the nodes' question, and the runner's changes."""
        match (request.method, request.path):
            case (b"GET", b"/workers"):
                rows = [self.workers[k] for k in sorted(self.workers)]
                match self.mood:
                    case "slow":
                        await self.runtime.sleep(4 * units.SECOND_US)
                    case "nonsense":
                        request.answer(200, b'{"workers": [{"id": 7, "state"')
                        return
                    case "empty":
                        rows = []
                    case "half":
                        rows = rows[::2]
                request.answer_json(200, {"workers": rows})
            case (b"POST", b"/workers"):
                document = request.json()
                if document.get("state") == "gone":
                    self.drop(document["id"])
                else:
                    self.put(**document)
                request.answer_json(200, {})
            case (b"GET", b"/nodes"):
                request.answer_json(200, {"nodes": self.places()})
            case (b"POST", b"/nodes"):
                document = request.json()
                self.nodes[document["name"]] = (document["host"], document["port"])
                request.answer_json(200, {})
            case _:
                request.answer_json(404, {"error": "no such path"})


def serve(make: collections.abc.Callable[..., object], port: int, events: str) -> None:
    """Run a stand-in until it is killed; its port is the first line that it prints."""
    from twisted.internet import reactor

    loguru.logger.remove()
    loguru.logger.add(sys.stderr, level="WARNING")
    out = open(events, "a", buffering=1) if events else None
    runtime = scheduler.Runtime(reactor)
    stand = make(runtime, load_generator.Events(out))
    got = reactor.listenTCP(port, http_server.Server(runtime, stand.handle), interface="127.0.0.1", backlog=512)
    print(got.getHost().port, flush=True)
    reactor.run()


def worker(*, identifier: str, port: int = 0, events: str = "") -> None:
    """Run a stand-in worker.

    :param ident: its name
    :param port: its port; 0 lets the system pick
    :param events: file for its event log
    """
    serve(lambda runtime, ev: Worker(runtime, identifier, ev), port, events)


def platform(*, port: int = 0, events: str = "") -> None:
    """Run a stand-in platform.

    :param port: its port; 0 lets the system pick
    :param events: file for its event log
    """

    def make(runtime: scheduler.Runtime, ev: load_generator.Events) -> Platform:
        made = Platform(runtime, ev)
        runtime.spawn(made.poll_nodes(), log)
        return made

    serve(make, port, events)


if __name__ == "__main__":
    defopt.run([worker, platform])
