"""The pool of connections to workers learns how long a worker keeps idle connections open.

A worker may drop an idle connection without a word to the node. The next request on it is lost, and must make the node
reuse only connections that were idle for a shorter time.
"""

from typing import Any, cast

import pytest
from twisted.internet import defer, error
from twisted.python import failure

import simulation.workers.worker as workers
from iriswheel.dataplane import worker_connections
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message
from simulation import event_log, host_model, inference_engine, platform_names, process_model, world

MILLISECOND, SECOND = units.MILLISECOND_US, units.SECOND_US


class RecordingReceiver:
    """Receives the answer of one request and records only how it ended."""

    bodyless = False

    def __init__(self) -> None:
        self.outcome = ""

    def owns(self, _status: int, _headers: dict[str, str], _uses: int) -> bool:
        return True

    def head_received(self, status: int, headers: list[tuple[bytes, bytes]], lowercase: dict[str, str]) -> None:
        pass

    def data_received(self, data: bytes) -> None:
        pass

    def answer_complete(self) -> None:
        self.outcome = "whole"

    def answer_lost(self) -> None:
        self.outcome = "lost"


class TestIdleConnections:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.world = world.World(3)
        self.tape = event_log.EventLog()
        process = process_model.SimulatedProcess(self.world, "w1", host_model.Host(self.world, "10.0.3.1", "a"))
        self.worker = workers.Worker(
            process.runtime(),
            "w1",
            "desk",
            self.tape,
            inference_engine.EngineParameters(enqueue_delay_us=0),
            idle_us=700 * MILLISECOND,
        )
        self.worker.close_share = 0
        self.worker.silent_drop = True
        process.reactor.listenTCP(8080, self.worker)
        client_process = process_model.SimulatedProcess(self.world, "n1", host_model.Host(self.world, "10.0.2.1", "a"))
        self.connections = worker_connections.ConnectionPool(client_process.runtime())
        self.listed_worker = message.Worker(self.worker.id, "10.0.3.1", 8080, "desk", "ready", 0)

    def go(self, ms: int) -> None:
        self.world.run(self.world.time + ms * MILLISECOND)

    def send(self) -> str:
        """Send one request and return how its answer ended, "whole" or "lost"."""
        receiver = RecordingReceiver()

        async def send_request() -> None:
            connection = await self.connections.get(self.listed_worker, 2 * SECOND)
            connection.start(
                f"POST /x/ HTTP/1.1\r\nHost: h\r\n{platform_names.HEADERS['attempt']}: a{self.world.time}\r\n"
                f"{platform_names.HEADERS['tokens']}: 1,9\r\nContent-Length: 0\r\n\r\n".encode(),
                receiver,
            )

        d = defer.ensureDeferred(send_request())
        self.go(100)
        assert d.called
        return receiver.outcome

    def opened(self) -> int:
        """Return how many connections the worker has accepted."""
        return sum(r["kind"] == "opened" for r in self.tape.rows)

    def test_one_lost_request_limits_how_long_idle_connections_are_reused(self) -> None:
        ends = [self.send()]
        for _ in range(4):
            self.go(1000)
            ends.append(self.send())
        assert ends == ["whole", "lost", "whole", "whole", "whole"]

    def test_connections_reused_within_the_idle_limit_are_kept(self) -> None:
        self.send()
        self.go(1000)
        assert self.send() == "lost"
        before = self.opened()
        for _ in range(5):
            assert self.send() == "whole"
            self.go(150)
        assert self.opened() - before == 1

    def test_a_learned_idle_limit_expires(self) -> None:
        self.send()
        self.go(1000)
        self.send()
        self.worker.silent_drop, self.worker.idle_us = False, 0
        self.go(worker_connections.IDLE_LIMIT_VALIDITY_US // MILLISECOND + 1000)
        self.send()
        before = self.opened()
        self.go(1000)
        assert self.send() == "whole"
        assert self.opened() - before == 0

    def test_a_connection_reset_during_a_request_sets_no_idle_limit(self) -> None:
        self.send()
        self.worker.faults = {"break": 1.0}
        self.go(300)
        assert self.send() == "lost"
        self.worker.faults = {}
        self.send()
        before = self.opened()
        self.go(500)
        assert self.send() == "whole"
        assert self.opened() - before == 0


class Transport:
    """A transport that only takes calls."""

    def write(self, _data: bytes) -> None:
        pass

    def abortConnection(self) -> None:
        pass

    def setTcpNoDelay(self, _enabled: bool) -> None:
        pass


LENGTHLESS = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwh"


# Review case 5: a worker's whole answer without a length never reached the client.
@pytest.mark.parametrize(
    ("received", "reason", "outcome"),
    [
        (LENGTHLESS, error.ConnectionDone(), "whole"),
        (LENGTHLESS.replace(b"\r\nwhole", b"\r\n"), error.ConnectionDone(), "whole"),
        (LENGTHLESS, error.ConnectionLost(), "lost"),
        (LENGTHLESS, error.ConnectionAborted(), "lost"),
        (LENGTHLESS[:30], error.ConnectionDone(), "lost"),
        (LENGTHLESS.replace(b"Connection: close", b"Content-Length: 6"), error.ConnectionDone(), "lost"),
        (CHUNKED, error.ConnectionDone(), "lost"),
        (b"", error.ConnectionDone(), "lost"),
        (b"HTTP/1.1 100 Continue\r\n\r\n", error.ConnectionDone(), "lost"),
    ],
)
def test_an_answer_without_a_length_ends_with_an_orderly_close(
    received: bytes, reason: Exception, outcome: str
) -> None:
    connection = worker_connections.WorkerConnection(scheduler.Runtime(None, now=lambda: 0), "w1")
    connection.makeConnection(cast("Any", Transport()))
    receiver = RecordingReceiver()
    connection.start(b"", receiver)
    if received:
        connection.dataReceived(received)
    connection.connectionLost(failure.Failure(reason))
    assert receiver.outcome == outcome
