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
import twisted.internet.defer as defer

import iriswheel.dispatch as dispatch
import iriswheel.edge_protocol as edge_protocol
import iriswheel.load as load
import iriswheel.machine as machine
import iriswheel.web as web

if typing.TYPE_CHECKING:
    import bench.simulated_cluster as simulated_cluster


PREFILL_BYTES_PER_S = 400_000  # prompt bytes read per second, alone
TOKEN_US = 25 * machine.MILLI
SHORT_TOKENS = 12
LONG_TOKENS = 24
TINY_BYTES = 16  # a body as small as this, a probe's, gets two tokens
BATCH = 24
CACHE = 64
REPORT_LAG_US = 700 * machine.MILLI

log = loguru.logger.bind(part="worker")


class Worker:
    """One stand-in worker.

    Example: `w = Worker(mach, "w1", events)`; `web.Server(mach, w.handle)`.
    """

    def __init__(self, mach: machine.Machine, ident: str, events: load.Events | simulated_cluster.Tape) -> None:
        self.mach = mach
        self.ident = ident
        self.events = events
        self.cache = collections.OrderedDict()
        self.running = 0
        self.prefill = defer.DeferredLock()
        self.queue = defer.DeferredSemaphore(BATCH)
        self.past: collections.deque[tuple[int, int, int]] = collections.deque([(0, 0, 0)])
        self.runs = 0
        self.report = "good"  # or late, missing, broken, wrong, never: how it answers /load
        self.mood = ""  # or slow, stops, short, long: how it answers exchanges
        self.sick = False  # a sick worker breaks every exchange off, unanswered

    async def handle(self, req: web.Request) -> None:
        """Answer one exchange.

        Example: `Server(mach, worker.handle)`
        """
        match (req.method, req.path):
            case (b"GET", b"/load"):
                match self.report:
                    case "late":
                        await self.mach.sleep(machine.SECOND + self.mach.rng.randrange(2 * machine.SECOND))
                    case "missing":
                        req.answer_json(404, {"error": "no such path"})
                        return
                    case "broken":
                        req.answer(200, b'{"running": 3, "que')
                        return
                    case "wrong":
                        req.answer_json(200, {"running": "many", "queued": [1]})
                        return
                    case "never":
                        await self.mach.sleep(60 * machine.SECOND)
                        return
                now = self.mach.now()
                while len(self.past) > 1 and self.past[1][0] <= now - REPORT_LAG_US:
                    self.past.popleft()
                _, running, queued = self.past[0]
                req.answer_json(200, {"running": running, "queued": queued})
            case (b"POST", _):
                await self.run(req)
            case _:
                req.answer_json(404, {"error": "no such path"})

    def note(self) -> None:
        """Keep the load for the late report.

        Example: `worker.note()`
        """
        self.past.append((self.mach.now(), min(self.running, BATCH), max(0, self.running - BATCH)))

    async def run(self, req: web.Request) -> None:
        """Read the prompt, then stream the answer, one event a token.

        Example: `await worker.run(req)`
        """
        heads = req.requestHeaders
        ident, send = edge_protocol.ident(heads, edge_protocol.EXCHANGE), edge_protocol.send_number(heads)
        parts = edge_protocol.prefix(heads)
        raw = req.content.read()
        self.runs += 1
        run = f"{self.ident}-{self.mach.boot}-{self.runs}"
        self.events.put(
            self.mach.now(),
            "run",
            worker=self.ident,
            run=run,
            exchange=ident,
            send=send,
            parts=parts,
            target=edge_protocol.header(heads, edge_protocol.TARGET),
            path=req.path.decode("latin-1"),
        )
        if self.sick:
            req.break_off()
            return
        work = defer.ensureDeferred(self.answer(req, run, ident, parts, len(raw)))
        lost = req.lost.wait()
        lost.addCallback(lambda _: work.cancel())
        self.running += 1
        self.note()
        try:
            await work
            self.events.put(self.mach.now(), "ran", worker=self.ident, run=run, exchange=ident)
        except defer.CancelledError:
            self.events.put(self.mach.now(), "cut", worker=self.ident, run=run, exchange=ident)
        finally:
            self.running -= 1
            self.note()
            lost.addErrback(lambda _: None)
            lost.cancel()

    async def answer(self, req: web.Request, run: str, ident: str, parts: list[str], size: int) -> None:
        """The answer itself: `n` events that name the run, then an end.

        Example: `await worker.answer(req, "w1-1", "x1", ["system"], 600)`
        """
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
                await self.mach.sleep(int(fresh / PREFILL_BYTES_PER_S * machine.SECOND))
                for part in parts:
                    self.cache[part] = True
                    self.cache.move_to_end(part)
                while len(self.cache) > CACHE:
                    self.cache.popitem(last=False)
            finally:
                self.prefill.release()
            tokens = LONG_TOKENS if size > 16_000 else SHORT_TOKENS if size > TINY_BYTES else 2
            req.setHeader("Content-Type", "text/event-stream")
            if self.mood == "slow":
                await self.mach.sleep(3 * machine.SECOND)
            for k in range(tokens):
                if self.mood in ("stops", "short") and k == tokens // 2:
                    if self.mood == "stops":
                        await self.mach.sleep(30 * machine.SECOND)
                    req.break_off()
                    raise defer.CancelledError()
                doc = {"worker": self.ident, "run": run, "exchange": ident, "k": k, "of": tokens}
                if self.mood == "long":
                    doc["pad"] = "x" * 100_000
                req.write(b"data: " + json.dumps(doc).encode() + b"\n\n")
                await self.mach.sleep(TOKEN_US)
            req.write(b"data: [DONE]\n\n")
            req.finish()
        finally:
            self.queue.release()


class Platform:
    """A stand-in platform: it lists the workers, marks leaving ones, asks nodes for readiness.

    Example: `p = Platform(mach, events)`; `web.Server(mach, p.handle)`.
    """

    def __init__(self, mach: machine.Machine, events: load.Events | simulated_cluster.Tape) -> None:
        self.mach = mach
        self.events = events
        self.workers: dict[str, dict[str, typing.Any]] = {}  # id -> its row
        self.nodes: dict[str, tuple[str, int]] = {}  # name -> (host, HTTP port)
        self.mood = ""  # or slow, nonsense, empty, half: how it answers the question for its workers
        self.told: dict[str, bool] = {}  # name -> whether it said that it is ready
        self.sender = dispatch.Dispatcher(mach)

    async def ask_nodes(self) -> None:
        """Ask every node whether it is ready, over and over.

        Example: `mach.spawn(platform.ask_nodes())`
        """
        while True:
            for name, (host, port) in sorted(self.nodes.items()):
                self.mach.spawn(self.ask_node(name, host, port), log)
            await self.mach.sleep(500 * machine.MILLI)

    async def ask_node(self, name: str, host: str, port: int) -> None:
        """Ask one node whether it is ready.

        Example: `await platform.ask_node("n1", "127.0.0.1", 8101)`
        """
        try:
            await self.sender.fetch(host, port, edge_protocol.READY_PATH, 400 * machine.MILLI)
            ready = True
        except defer.CancelledError:
            raise
        except Exception:
            ready = False
        if self.told.get(name) != ready:
            self.told[name] = ready
            self.events.put(self.mach.now(), "asked", node=name, ready=ready)

    def places(self) -> list[tuple[str, int]]:
        """Where clients are handed to: the ready nodes; all of them where none is.

        Example: `load.Load(mach, platform.places, ...)`
        """
        ready = [self.nodes[n] for n in sorted(self.nodes) if self.told.get(n)]
        return ready or [self.nodes[n] for n in sorted(self.nodes)]

    def put(self, id: str, **more: int | str) -> None:
        """List a worker, or change how it is listed.

        Example: `platform.put("w1", host="127.0.0.1", port=9001, pool="desk")`
        """
        row = {"id": id, "state": "ready", "drain_deadline_ms": 5000, **self.workers.get(id, {}), **more}
        self.workers[id] = row
        self.events.put(self.mach.now(), "listed", worker=id, state=row["state"], pool=row["pool"])

    def drop(self, ident: typing.Any) -> None:
        """List a worker no more.

        Example: `platform.drop("w1")`
        """
        del self.workers[ident]
        self.events.put(self.mach.now(), "listed", worker=ident, state="gone", pool="")

    async def handle(self, req: web.Request) -> None:
        """Answer the nodes' question, and the runner's changes.

        Example: `Server(mach, platform.handle)`
        """
        match (req.method, req.path):
            case (b"GET", b"/workers"):
                rows = [self.workers[k] for k in sorted(self.workers)]
                match self.mood:
                    case "slow":
                        await self.mach.sleep(4 * machine.SECOND)
                    case "nonsense":
                        req.answer(200, b'{"workers": [{"id": 7, "state"')
                        return
                    case "empty":
                        rows = []
                    case "half":
                        rows = rows[::2]
                req.answer_json(200, {"workers": rows})
            case (b"POST", b"/workers"):
                doc = req.json()
                if doc.get("state") == "gone":
                    self.drop(doc["id"])
                else:
                    self.put(**doc)
                req.answer_json(200, {})
            case (b"GET", b"/nodes"):
                req.answer_json(200, {"nodes": self.places()})
            case (b"POST", b"/nodes"):
                doc = req.json()
                self.nodes[doc["name"]] = (doc["host"], doc["port"])
                req.answer_json(200, {})
            case _:
                req.answer_json(404, {"error": "no such path"})


def serve(make: collections.abc.Callable[..., object], port: int, events: str) -> None:
    """Run a stand-in until it is killed; its port is the first line that it prints.

    Example: `serve(lambda mach, ev: Platform(mach, ev), 0, "")`
    """
    import twisted.internet.reactor as reactor

    loguru.logger.remove()
    loguru.logger.add(sys.stderr, level="WARNING")
    out = open(events, "a", buffering=1) if events else None
    mach = machine.Machine(reactor)
    stand = make(mach, load.Events(out))
    got = reactor.listenTCP(port, web.Server(mach, stand.handle), interface="127.0.0.1", backlog=512)
    print(got.getHost().port, flush=True)
    reactor.run()


def worker(*, ident: str, port: int = 0, events: str = "") -> None:
    """Run a stand-in worker.

    :param ident: its name
    :param port: its port; 0 lets the system pick
    :param events: file for its event log
    """
    serve(lambda mach, ev: Worker(mach, ident, ev), port, events)


def platform(*, port: int = 0, events: str = "") -> None:
    """Run a stand-in platform.

    :param port: its port; 0 lets the system pick
    :param events: file for its event log
    """

    def make(mach: machine.Machine, ev: load.Events) -> Platform:
        made = Platform(mach, ev)
        mach.spawn(made.ask_nodes(), log)
        return made

    serve(make, port, events)


if __name__ == "__main__":
    defopt.run([worker, platform])
