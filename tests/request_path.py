"""The common fixture of tests that send a client's request through a node to scripted workers.

A scripted worker reads complete requests and answers each with the bytes that the test chooses.
"""

from collections.abc import Callable, Mapping
from typing import Any

import httptools
import pytest
from twisted.internet import interfaces, protocol
from twisted.python import failure

from iriswheel.configuration import configuration
from iriswheel.runtime import units
from iriswheel.transport import message
from simulation import host_model, platform_names, process_model
from tests import node_fixture

SECOND = units.SECOND_US
HEADERS = platform_names.HEADERS


def answer(
    attempt: str | None,
    body: bytes = b"",
    status: int = 200,
    *,
    seal: str | None = "s",
    length: int | None = None,
    more: Mapping[str, str] | None = None,
) -> bytes:
    """The bytes of a worker's answer; `length` replaces the body's real length in Content-Length."""
    headers = {HEADERS["attempt"]: attempt, HEADERS["seal"]: seal, **(more or {})}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value is not None)
    size = len(body) if length is None else length
    return f"HTTP/1.1 {status} Some\r\n{lines}Content-Length: {size}\r\n\r\n".encode() + body


class WorkerConnection(protocol.Protocol):
    """A connection to a scripted worker."""

    transport: Any  # a side of a simulated connection

    def __init__(self, worker: "ScriptedWorker") -> None:
        self.worker = worker
        self.parser = httptools.HttpRequestParser(self)
        self.attempt = ""
        self.after = None
        self.closed = False

    def dataReceived(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def connectionLost(self, _reason: failure.Failure = protocol.connectionDone) -> None:
        self.closed = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.decode().lower() == HEADERS["attempt"].lower():
            self.attempt = value.decode("latin-1")

    def on_message_complete(self) -> None:
        self.worker.seen.append(self.attempt)
        self.worker.script(self, self.attempt)


class ScriptedWorker(protocol.Factory):
    """A worker that calls its script for each complete request."""

    noisy = False

    def __init__(self, script: Callable[..., object], process: process_model.SimulatedProcess) -> None:
        self.script = script
        self.process = process
        self.seen: list[str] = []  # ids of the received attempts, in the order of their arrival
        self.connections: list[WorkerConnection] = []

    def buildProtocol(self, _address: interfaces.IAddress | None) -> WorkerConnection:
        self.connections.append(WorkerConnection(self))
        return self.connections[-1]


class Client(protocol.Protocol):
    """A client that records all bytes that it receives."""

    transport: Any  # a side of a simulated connection

    def __init__(self) -> None:
        self.raw = b""
        self.closed = False

    def dataReceived(self, data: bytes) -> None:
        self.raw += data

    def connectionLost(self, _reason: failure.Failure = protocol.connectionDone) -> None:
        self.closed = True

    @property
    def status(self) -> int:
        """The HTTP status of the first answer; 0 before an answer has begun."""
        return int(self.raw.split(b" ", 2)[1]) if self.raw else 0


class RequestPath(node_fixture.NodeFixture):
    """A node, its route and its scripted workers; the default route does not allow that a request runs twice."""

    @pytest.fixture(autouse=True)
    def start_without_workers(self, start_node: None) -> None:  # noqa: ARG002 - requested so that it runs first
        self.workers = []
        self.workers_started = 0  # number of workers started so far; each has its own address
        self.use_non_idempotent_route()

    def use_non_idempotent_route(self) -> None:
        self.route = configuration.Route("/x/", "desk", repeat="never", sends=3, cutoff_us=9 * SECOND)

    def use_idempotent_route(self, sends: int = 2) -> None:
        self.route = configuration.Route("/x/", "desk", repeat="may", sends=sends, cutoff_us=9 * SECOND)

    def use_resumable_route(self) -> None:
        self.route = configuration.Route("/x/", "desk", repeat="may", resume=True, sends=2, cutoff_us=9 * SECOND)

    def worker(self, script: Callable[..., object]) -> ScriptedWorker:
        """Start a scripted worker and list it as ready."""
        self.workers_started += 1
        number = self.workers_started
        host = f"10.0.3.{number}"
        process = process_model.SimulatedProcess(self.world, f"w{number}", host_model.Host(self.world, host, "a"))
        worker = ScriptedWorker(script, process)
        process.reactor.listenTCP(80, worker)
        self.workers.append(worker)
        self.follower.workers.append(message.Worker(f"i-{number}", host, 80, "desk", "ready", 0))
        self.follower.workers_by_id = {w.id: w for w in self.follower.workers}
        return worker

    def client(self) -> Client:
        """Connect a client to the node."""
        client = Client()
        factory: Any = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: client
        self.client_process.reactor.connectTCP("10.0.2.1", 80, factory)
        self.go(10)
        return client

    def write(self, client: Client, attempt: str, method: str = "POST", left_ms: int = 5000, **more: int | str) -> None:
        headers = {
            "Host": "h.example",
            HEADERS["attempt"]: attempt,
            HEADERS["left"]: left_ms,
            "Content-Length": 2,
            **more,
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        client.transport.write(f"{method} /x/ HTTP/1.1\r\n{lines}\r\nhi".encode("latin-1"))

    def query(self, attempt: str, ms: int = 50, **more: Any) -> Client:  # noqa: ANN401 - as of `write`
        """Send a request on a new connection, let `ms` milliseconds pass, and return the client."""
        client = self.client()
        self.write(client, attempt, **more)
        self.go(ms)
        return client

    def seen(self) -> list[str]:
        """Return the sorted ids of the attempts that all workers received."""
        return sorted(attempt for worker in self.workers for attempt in worker.seen)

    def assert_own(self, client: Client, attempt: str) -> None:
        """Check that a client got the complete answer to its own attempt and no other one."""
        assert client.status == 200
        assert client.raw.endswith(f"body of {attempt}".encode()), client.raw
        assert client.raw.count(b"HTTP/1.1") == 1


def answer_correctly(connection: WorkerConnection, attempt: str) -> None:
    """Answer an attempt with its id in the head and in the body, as a healthy worker does."""
    connection.transport.write(answer(attempt, f"body of {attempt}".encode()))
