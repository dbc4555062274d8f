"""Connections to workers: one request at a time on each, kept for the next one.

The library's own agent reads one answer for each request and knows no other; a worker in
trouble may send another's answer first, or more than one. So the connections are ours, and
the parser is `httptools`.
"""

from __future__ import annotations

import socket
import typing

import httptools
import loguru
import twisted.internet.defer as defer
import twisted.internet.endpoints as endpoints
import twisted.internet.error as error
import twisted.internet.protocol as protocol

import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units

if typing.TYPE_CHECKING:
    import twisted.python.failure as failure

    import iriswheel.dataplane.forwarding as forwarding
    import iriswheel.transport.message as message


CONNECT_US = 350 * units.MILLISECOND_US
KEEP_US = 4 * units.SECOND_US  # an idle connection, where the worker does not say how long it keeps one
KEEP_MOST_US = 60 * units.SECOND_US  # and where it does, at most
MARGIN_US = 400 * units.MILLISECOND_US  # dropped so long before the worker would
STALE_MS = 2_000  # sent bytes that nobody acknowledged: the connection is dead
LEARNED_US = 30 * units.SECOND_US  # how long it counts that a worker had dropped an idle connection
LEAST_IDLE_US = 100 * units.MILLISECOND_US  # idle connections this young are used whatever was learned
SKIPS = 3  # answers of others that are passed over on one connection

log = loguru.logger.bind(part="client")


class UnreachableError(Exception):
    """No connection to a worker could be had: nothing was sent."""

    code = "unreached"


class WorkerConnection(protocol.Protocol):
    """One connection to a worker."""

    def __init__(self, runtime: scheduler.Runtime, worker: str) -> None:
        self.runtime = runtime
        self.worker = worker  # the worker's id
        self.flow: forwarding.AnswerStream | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.up = False
        self.used = 0  # requests that went over it
        self.skips = 0
        self.skipping = False
        self.spoiled = False  # it is not to be used again
        self.keep_us = KEEP_US
        self.until = 0  # when an idle one is dropped
        self.idle_since = 0
        self.rested = 0  # how long it was idle before the request under way
        self.received_any = False  # whether anything came back in this request
        self.paused = False  # while the client reads too slowly
        self.on_stale = lambda line: None
        self.on_free = lambda line: None
        self.on_gone = lambda line: None

    def connectionMade(self) -> None:
        self.up = True
        self.transport.setTcpNoDelay(True)
        sock = getattr(self.transport, "getHandle", lambda: None)()
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, STALE_MS)

    def start(self, raw: bytes, flow: forwarding.AnswerStream) -> None:
        """Send a request; its answer goes to the flow."""
        self.flow = flow
        self.rested = self.runtime.now() - self.idle_since if self.used else 0
        self.received_any = False
        self.used += 1
        self.skips = 0
        self.skipping = False
        self.transport.write(raw)

    def pause(self) -> None:
        """Read no further for now."""
        self.paused = True
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading."""
        self.paused = False
        self.transport.resumeProducing()

    def drop(self) -> None:
        """Break the connection off; its flow, if any, hears no more."""
        self.spoiled = True
        self.flow = None
        if self.up:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        if self.flow is None:
            self.drop()  # nobody asked
            return
        self.received_any = True
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.fail("garbled")
        except httptools.HttpParserUpgrade:
            self.fail("garbled")

    def fail(self, why: str) -> None:
        """What came is no answer: end the flow and the connection."""
        flow, self.flow = self.flow, None
        self.drop()
        if flow is not None:
            flow.lost(why)

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        self.up = False
        self.spoiled = True
        flow, self.flow = self.flow, None
        self.on_gone(self)
        if flow is not None:
            if self.rested and not self.received_any:
                self.on_stale(self)
            flow.lost("closed")

    # ---- what the parser calls -------------------------------------------------------

    def on_message_begin(self) -> None:
        self.headers = []
        if self.flow is None:
            self.drop()  # more after a whole answer

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self.flow is None:
            return
        status = self.parser.get_status_code()
        if 100 <= status < 200:
            self.skipping = True
            return
        low = {k.decode("latin-1").lower(): v.decode("latin-1") for k, v in self.headers}
        match self.flow.owns(status, low, self.used):
            case True:
                self.skipping = False
                self.keep(low)
                self.flow.head(status, self.headers, low)
                if self.flow.bodyless:
                    self.end_without_body()
            case False:
                self.skipping = True  # another's answer, come late
                self.skips += 1
            case None:
                raise ValueError("whose answer it is can't be told")

    def end_without_body(self) -> None:
        """End a request whose answer is its head alone; the parser would wait for the length that is told."""
        flow, self.flow = self.flow, None
        self.drop()
        flow.end()

    def keep(self, low: dict[str, str]) -> None:
        """Note how long the worker keeps the connection."""
        self.keep_us = KEEP_US
        if "close" in low.get("connection", "").lower():
            self.spoiled = True
        for token in low.get("keep-alive", "").split(","):
            name, _, value = token.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                self.keep_us = min(KEEP_MOST_US, int(value) * units.SECOND_US - MARGIN_US)

    def on_body(self, body: bytes) -> None:
        if self.flow is not None and not self.skipping:
            self.flow.data(body)

    def on_message_complete(self) -> None:
        if self.flow is None:
            return
        if self.skipping:
            self.skipping = False
            if self.skips > SKIPS:
                raise ValueError("too many answers of others")
            return
        flow, self.flow = self.flow, None
        if not self.parser.should_keep_alive():
            self.spoiled = True
        flow.end()
        self.free()

    def free(self) -> None:
        """The request is over; the connection is kept for the next, if it is sound."""
        if self.spoiled or self.keep_us <= 0 or not self.up:
            self.drop()
            return
        if self.paused:
            self.resume()  # else its end would not be noticed, nor the next answer read
        self.idle_since = self.runtime.now()
        self.until = self.idle_since + self.keep_us
        self.on_free(self)


class ConnectionPool:
    """All connections of this process to workers.

    >>> ConnectionPool(None).count("w1")
    0
    """

    def __init__(self, runtime: scheduler.Runtime | None) -> None:
        self.runtime = runtime
        self.idle: dict[str, list[WorkerConnection]] = {}  # worker -> [Line], the latest used last
        self.open: dict[str, int] = {}  # worker -> how many there are
        self.learned: dict[str, tuple[int, int]] = {}  # worker -> (when, how long an idle connection may be trusted)

    def count(self, worker: str) -> int:
        """How many connections to a worker are open.

        >>> ConnectionPool(None).count("w1")
        0
        """
        return self.open.get(worker, 0)

    def take(self, worker: str, fresh_us: int) -> WorkerConnection | None:
        """An idle connection that was used within fresh_us, or None.

        >>> ConnectionPool(scheduler.Runtime(None, now=lambda: 0)).take("w1", 1) is None
        True
        """
        now = self.runtime.now()
        kept = self.idle.get(worker, [])
        fresh_us = min(fresh_us, self.trust(worker))
        while kept:
            line = kept[-1]
            if now >= line.until or not line.up or line.spoiled:
                kept.pop()
                line.drop()
            elif now - line.idle_since > fresh_us:
                return None
            else:
                return kept.pop()
        return None

    def trust(self, worker: str) -> int:
        """How long a connection to a worker may have been idle and still be used.

        >>> lines = ConnectionPool(scheduler.Runtime(None, now=lambda: 0)); lines.learned["w1"] = (0, 700_000)
        >>> lines.trust("w1"), lines.trust("w2") > 60 * units.SECOND_US
        (700000, True)
        """
        when, us = self.learned.get(worker, (0, 10**12))
        return us if self.runtime.now() - when < LEARNED_US else 10**12

    def stale(self, line: WorkerConnection) -> None:
        """A connection that had been idle was gone when it was used: younger ones are not trusted either."""
        if line.rested > LEAST_IDLE_US:
            us = max(LEAST_IDLE_US, min(line.rested // 2, self.trust(line.worker)))
            self.learned[line.worker] = (self.runtime.now(), us)

    async def get(self, w: message.Worker, fresh_us: int, left_us: int = CONNECT_US) -> WorkerConnection:
        """A connection to a worker, an idle one if it was used within fresh_us; raises Unreached.

        A new one is waited for up to CONNECT_US, and no longer than left_us.
        """
        line = self.take(w.id, fresh_us)
        if line is not None:
            return line
        wait_s = max(0, min(CONNECT_US, left_us)) / units.SECOND_US
        point = endpoints.TCP4ClientEndpoint(self.runtime.reactor, w.host, w.port, timeout=wait_s)
        factory = protocol.Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: WorkerConnection(self.runtime, w.id)
        self.open[w.id] = self.open.get(w.id, 0) + 1
        try:
            line = await point.connect(factory)
        except (defer.CancelledError, error.ConnectingCancelledError) as e:
            self.gone(w.id)
            raise defer.CancelledError() from e  # an endpoint says it by an error of its own
        except Exception as e:
            self.gone(w.id)
            raise UnreachableError(type(e).__name__) from e
        line.on_free = self.free
        line.on_stale = self.stale
        line.on_gone = lambda line: self.gone(line.worker)
        if not line.up:
            self.gone(w.id)
            raise UnreachableError("closed")
        return line

    def gone(self, worker: str) -> None:
        """A connection is no more."""
        self.open[worker] -= 1
        if not self.open[worker]:
            del self.open[worker]

    def free(self, line: WorkerConnection) -> None:
        """Keep a connection that has come free."""
        self.idle.setdefault(line.worker, []).append(line)

    def sweep(self, listed: set[str]) -> None:
        """Drop idle connections past their time, and those to workers that are listed no more.

        >>> ConnectionPool(scheduler.Runtime(None, now=lambda: 0)).sweep({"w1"})
        """
        now = self.runtime.now()
        self.learned = {w: row for w, row in self.learned.items() if w in listed}
        for worker, kept in list(self.idle.items()):
            good = [x for x in kept if x.up and not x.spoiled and now < x.until and worker in listed]
            for x in kept:
                if x not in good:
                    x.drop()
            if good:
                self.idle[worker] = good
            else:
                del self.idle[worker]
