"""No request that may not be repeated is sent twice, and no answer reaches another request.

The worker here is a script: it gets whole requests and writes whatever bytes the test wants.
"""

import types
from collections.abc import Callable
from typing import Any

import httptools
import pytest
from twisted.internet import address, defer, protocol
from twisted.python import failure

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.dataplane import attempt_outcome, attempt_registry, dispatch, gateway, retry_budget, routed_request
from iriswheel.runtime import units
from iriswheel.transport import http_server, message
from simulation import host_model, network_model, platform_names, process_model
from tests import node_fixture

SECOND = units.SECOND_US
HEADERS = platform_names.HEADERS


def answer(
    attempt: str | None,
    body: bytes = b"",
    status: int = 200,
    seal: str | None = "s",
    length: int | None = None,
    **more: str,
) -> bytes:
    """The bytes of a worker's answer; `length` may tell another length than the body has."""
    headers = {HEADERS["attempt"]: attempt, HEADERS["seal"]: seal, **more}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value is not None)
    size = len(body) if length is None else length
    return f"HTTP/1.1 {status} Some\r\n{lines}Content-Length: {size}\r\n\r\n".encode() + body


class WorkerConnection(protocol.Protocol):
    """A connection to a scripted worker."""

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
    """A worker that does with each whole request what its script says."""

    noisy = False

    def __init__(self, script: Callable[..., Any]) -> None:
        self.script = script
        self.seen = []  # attempts, in the order in which they came
        self.connections = []

    def buildProtocol(self, _address: address.IPv4Address) -> WorkerConnection:
        self.connections.append(WorkerConnection(self))
        return self.connections[-1]


class Client(protocol.Protocol):
    """A client that keeps all bytes that come."""

    def __init__(self) -> None:
        self.raw = b""
        self.closed = False

    def dataReceived(self, data: bytes) -> None:
        self.raw += data

    def connectionLost(self, _reason: failure.Failure = protocol.connectionDone) -> None:
        self.closed = True

    @property
    def status(self) -> int:
        """The first answer's status; 0 before there is one."""
        return int(self.raw.split(b" ", 2)[1]) if self.raw else 0


class RequestPath(node_fixture.NodeFixture):
    @pytest.fixture(autouse=True)
    def use_mutating_route(self, start_node: None) -> None:  # noqa: ARG002 - asked for so that it runs before
        self.workers = []
        self.workers_started = 0  # workers ever started: each has an address of its own
        self.mutating()

    def mutating(self) -> None:
        self.route = configuration.Route("/x/", "desk", repeat="never", sends=3, cutoff_us=9 * SECOND)

    def idempotent(self, sends: int = 2) -> None:
        self.route = configuration.Route("/x/", "desk", repeat="may", sends=sends, cutoff_us=9 * SECOND)

    def resumable(self) -> None:
        self.route = configuration.Route("/x/", "desk", repeat="may", resume=True, sends=2, cutoff_us=9 * SECOND)

    def worker(self, script: Callable[..., Any]) -> ScriptedWorker:
        self.workers_started += 1
        number = self.workers_started
        host = f"10.0.3.{number}"
        process = process_model.SimulatedProcess(self.world, f"w{number}", host_model.Host(self.world, host, "a"))
        worker = ScriptedWorker(script)
        worker.process = process
        process.reactor.listenTCP(80, worker)
        self.workers.append(worker)
        self.follower.workers.append(message.Worker(f"i-{number}", host, 80, "desk", "ready", 0))
        self.follower.states = {w.id: w for w in self.follower.workers}
        return worker

    def client(self) -> Client:
        client = Client()
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: client
        self.near.reactor.connectTCP("10.0.2.1", 80, factory)
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

    def query(self, attempt: str, ms: int = 50, **more: int | str) -> Client:
        """A request on a connection of its own; the client after some time."""
        client = self.client()
        self.write(client, attempt, **more)
        self.go(ms)
        return client

    def seen(self) -> list[str]:
        return sorted(attempt for worker in self.workers for attempt in worker.seen)

    def assert_own(self, client: Client, attempt: str) -> None:
        assert client.status == 200
        assert client.raw.endswith(f"body of {attempt}".encode()), client.raw
        assert client.raw.count(b"HTTP/1.1") == 1


def good(connection: WorkerConnection, attempt: str) -> None:
    """Answer as a sound worker does."""
    connection.transport.write(answer(attempt, f"body of {attempt}".encode()))


class TestAnswersOfOthers(RequestPath):
    def test_a_second_answer_in_one_segment_reaches_nobody(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            connection.transport.write(answer(attempt, f"body of {attempt}".encode()) * 2)

        worker = self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)
        assert [connection.closed for connection in worker.connections] == [True, True]

    def test_a_partial_second_answer_reaches_nobody(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            complete = answer(attempt, f"body of {attempt}".encode())
            connection.transport.write(complete + complete[:-3])

        worker = self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)
        assert len(worker.connections) == 2

    def test_a_late_answer_on_an_idle_connection_ends_the_connection(self) -> None:
        worker = self.worker(good)
        self.query("a1")
        worker.connections[0].transport.write(answer("a1", b"body of a1"))
        self.go(10)
        self.assert_own(self.query("a2"), "a2")
        assert [connection.closed for connection in worker.connections] == [True, False]

    def test_a_late_answer_in_the_place_of_the_next_is_passed_over(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            if attempt == "a2":
                connection.transport.write(answer("a1", b"body of a1"))
            good(connection, attempt)

        worker = self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)
        assert len(worker.connections) == 1

    def test_a_late_failure_in_the_place_of_the_next_is_passed_over(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            if attempt == "a2":
                connection.transport.write(answer("a1", b"no", status=503, seal=None, **{HEADERS["not_run"]: "1"}))
            good(connection, attempt)

        worker = self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)
        assert worker.seen == ["a1", "a2"]

    def test_an_answer_without_id_on_a_kept_connection_is_nobodys(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            if attempt == "a2":
                connection.transport.write(answer(None, b"no", status=503, seal=None, **{HEADERS["not_run"]: "1"}))
            else:
                good(connection, attempt)

        self.worker(script)
        self.query("a1")
        assert self.query("a2").status == 502
        assert self.seen() == ["a1", "a2"]

    def test_only_answers_of_others_are_no_answer(self) -> None:
        self.worker(lambda connection, _attempt: connection.transport.write(answer("a9", b"body of a9")))
        client = self.query("a1", ms=700, left_ms=500)
        assert client.status == 504
        assert b"body of a9" not in client.raw
        assert self.seen() == ["a1"]

    def test_a_body_longer_than_its_length_reaches_nobody_beyond_it(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            body = f"body of {attempt}".encode()
            connection.transport.write(answer(attempt, body + b" and more", length=len(body)))

        self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)

    def test_a_body_shorter_than_its_length_is_not_given_as_complete(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            connection.transport.write(answer(attempt, b"body", length=9))
            connection.transport.loseConnection()

        self.worker(script)
        client = self.query("a1")
        assert (client.status, client.closed, self.seen()) == (200, True, ["a1"])
        assert not client.raw.endswith(b"0\r\n\r\n")
        assert b"Content-Length: 9" in client.raw

    def test_an_id_may_hold_any_bytes(self) -> None:
        attempt = b"\xc3\xa9\xff".decode("latin-1")

        def echo(connection: WorkerConnection, attempt: str) -> None:
            head = f"{HEADERS['attempt']}: {attempt}\r\n{HEADERS['seal']}: s\r\nContent-Length: 10\r\n\r\n"
            connection.transport.write(b"HTTP/1.1 200 OK\r\n" + head.encode("latin-1") + b"body of a1")

        self.worker(echo)
        self.assert_own(self.query(attempt), "a1")

    def test_a_header_can_not_bring_another_along(self) -> None:
        self.worker(good)
        for headers in (
            {"X-A": "b\nX-Attempt-Id: a9"},
            {"X-A": "b\rX-Attempt-Id: a9"},
            {"Transfer-Encoding": "chunked"},
            {"content-length": 3},
        ):
            assert self.query("a1", **headers).status == 400
        assert self.seen() == []

    def test_connection_options_may_hold_any_bytes(self) -> None:
        self.worker(good)
        self.assert_own(self.query("a1", Connection="\xff"), "a1")

    def test_interim_answers_are_not_passed_on(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            connection.transport.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n")
            good(connection, attempt)

        self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)

    def test_an_answer_to_head_ends_with_its_head(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            connection.transport.write(
                answer(attempt, length=10) if attempt == "a1" else answer(attempt, b"body of a2")
            )

        self.worker(script)
        client = self.query("a1", method="HEAD")
        assert (client.status, client.raw.endswith(b"\r\n\r\n")) == (200, True)
        self.assert_own(self.query("a2"), "a2")

    def test_pipelined_requests_are_answered_in_their_order(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            self.world.push(
                self.world.time + (30 if attempt == "a1" else 1) * units.MILLISECOND_US,
                lambda: good(connection, attempt),
            )

        self.worker(script)
        client = self.client()
        for attempt in ("a1", "a2", "a3"):
            self.write(client, attempt)
        self.go(200)
        places = [client.raw.find(f"body of {attempt}".encode()) for attempt in ("a1", "a2", "a3")]
        assert (sorted(places), 3) == (places, client.raw.count(b"HTTP/1.1"))
        assert -1 not in places

    def test_a_connection_whose_client_went_away_is_not_used_again(self) -> None:
        worker = self.worker(lambda connection, attempt: attempt == "a2" and good(connection, attempt))
        client = self.query("a1")
        client.transport.abortConnection()
        self.go(20)
        assert worker.connections[0].closed
        self.assert_own(self.query("a2"), "a2")

    def test_a_client_that_goes_away_while_a_worker_is_connected_ends_its_request(
        self, logged_errors: list[str]
    ) -> None:
        for _ in range(2):
            self.worker(good)
        self.world.cut(["10.0.2.1"], ["10.0.3.1", "10.0.3.2"])
        client = self.query("a1")
        client.transport.abortConnection()
        self.go(20)
        self.world.heal()
        self.go(2000)
        assert (self.seen(), logged_errors) == ([], [])
        assert (self.forwarder.counts["gone"], self.forwarder.counts["unreached"]) == (1, 0)
        assert self.forwarder.connections.open == {}

    def test_a_connection_that_a_slow_client_paused_is_read_again(self) -> None:
        size = 4 * network_model.WINDOW_BYTES

        def script(connection: WorkerConnection, attempt: str) -> None:
            if attempt == "a1":
                connection.transport.write(answer(attempt, b"." * size))
            else:
                good(connection, attempt)

        worker = self.worker(script)
        slow = self.client()
        slow.transport.pauseProducing()
        self.write(slow, "a1")
        self.go(50)
        self.assert_own(self.query("a2", ms=200), "a2")
        slow.transport.resumeProducing()
        self.go(500)
        assert (len(worker.connections), slow.raw.count(b".") - slow.raw.split(b"\r\n\r\n")[0].count(b".")) == (1, size)


class TestSentOnce(RequestPath):
    """What may not be repeated goes to one worker, unless that worker said that it did not run it."""

    def assert_once(self, client: Client, *statuses: int) -> None:
        self.go(6000)
        assert self.seen() == ["a1"]
        assert client.status in statuses

    def start_two_workers(self, script: Callable[..., Any]) -> None:
        for _ in range(2):
            self.worker(script)

    def test_after_a_reset(self) -> None:
        self.start_two_workers(lambda connection, _attempt: connection.transport.abortConnection())
        self.assert_once(self.query("a1"), 502)

    def test_after_a_close_without_an_answer(self) -> None:
        self.start_two_workers(lambda connection, _attempt: connection.transport.loseConnection())
        self.assert_once(self.query("a1"), 502)

    def test_after_bytes_that_are_no_answer(self) -> None:
        self.start_two_workers(lambda connection, _attempt: connection.transport.write(b"\x16\x03\x01 HTTP/9\r\n\r\n"))
        self.assert_once(self.query("a1"), 502)

    def test_after_no_answer_in_time(self) -> None:
        self.start_two_workers(lambda _connection, _attempt: None)
        self.assert_once(self.query("a1"), 504)

    def test_after_a_failure_of_the_worker(self) -> None:
        self.start_two_workers(
            lambda connection, attempt: connection.transport.write(answer(attempt, b"broken", status=500))
        )
        client = self.query("a1")
        self.assert_once(client, 500)
        assert HEADERS["seal"].lower().encode() in client.raw.lower()

    def test_after_a_success_without_a_seal(self) -> None:
        self.start_two_workers(
            lambda connection, attempt: connection.transport.write(answer(attempt, b"what", seal=None))
        )
        self.assert_once(self.query("a1"), 502)

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_after_a_status_that_would_promise_too_much(self, status: int) -> None:
        self.start_two_workers(
            lambda connection, attempt, s=status: connection.transport.write(answer(attempt, b"no", status=s))
        )
        client = self.query("a1")
        self.assert_once(client, 502)
        assert HEADERS["seal"].lower().encode() not in client.raw.lower()

    def test_after_a_reset_of_a_kept_connection(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            good(connection, attempt) if attempt == "a0" else connection.transport.abortConnection()

        self.start_two_workers(script)
        self.assert_own(self.query("a0"), "a0")
        client = self.query("a1")
        self.go(2000)
        assert (client.status, self.seen()) == (502, ["a0", "a1"])

    def test_after_a_freeze_of_the_node(self) -> None:
        self.start_two_workers(lambda _connection, _attempt: None)
        client = self.query("a1")
        self.process.freeze()
        self.go(7000)
        self.process.wake()
        self.assert_once(client, 504)

    def test_after_a_freeze_of_the_worker(self) -> None:
        self.start_two_workers(good)
        for worker in self.workers:
            worker.process.freeze()
        client = self.query("a1", ms=1500)
        for worker in self.workers:
            worker.process.wake()
        self.assert_once(client, 200)

    @pytest.mark.parametrize("status", [421, 429, 503])
    def test_a_worker_that_did_not_run_it_is_followed_by_another(self, status: int) -> None:
        attempts = []

        def script(connection: WorkerConnection, attempt: str, s: int = status, attempts: list[str] = attempts) -> None:
            attempts.append(attempt)
            if len(attempts) == 1:
                connection.transport.write(answer(attempt, b"no", status=s, seal=None, **{HEADERS["not_run"]: "1"}))
            else:
                good(connection, attempt)

        self.start_two_workers(script)
        self.assert_own(self.query("a1"), "a1")
        assert self.seen() == ["a1", "a1"]

    def test_a_refusal_that_breaks_off_is_no_promise(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            refusal = answer(attempt, b"no", status=503, seal=None, length=9, **{HEADERS["not_run"]: "1"})
            connection.transport.write(refusal)
            connection.transport.loseConnection()

        self.start_two_workers(script)
        self.assert_once(self.query("a1"), 502)


class TestDispatchToASelectedWorker(RequestPath):
    """The way of a request whose worker is elected by the owner of its pool."""

    async def handle(self, request: http_server.Request) -> None:
        self.outcomes = []
        work = defer.ensureDeferred(self.send_to_all(request))
        request.lost.wait().addCallback(lambda _: work.cancel())
        try:
            await work
        except defer.CancelledError:
            self.outcomes.append("cancelled")

    async def send_to_all(self, request: http_server.Request) -> None:
        send, raw = dispatch.Dispatcher(self.runtime).send, request.content.read()
        for worker in self.follower.workers:
            out = await send(request, raw, worker, True, dispatch.Attempt(worker.id, self.runtime.now()))
            self.outcomes.append(out.name)
            if out is attempt_outcome.AttemptOutcome.COMPLETE:
                return
        request.answer(502, b"no")

    def test_a_client_that_goes_away_while_a_worker_is_connected_ends_its_request(self) -> None:
        for _ in range(2):
            self.worker(good)
        self.world.cut(["10.0.2.1"], ["10.0.3.1"])
        client = self.query("a1")
        client.transport.abortConnection()
        self.go(2000)
        assert (self.outcomes, self.seen()) == (["cancelled"], [])

    def head_alone(self, connection: WorkerConnection, attempt: str) -> None:
        connection.transport.write(answer(attempt, length=9, **{"X-First": "1"}))
        self.world.push(self.world.time + 5000, connection.transport.abortConnection)

    def test_the_head_of_an_answer_that_never_came_is_not_given_with_another(self) -> None:
        def chunked(connection: WorkerConnection, _attempt: str) -> None:
            connection.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            connection.transport.write(b"a\r\nbody of a1\r\n0\r\n\r\n")

        self.worker(self.head_alone)
        self.worker(chunked)
        client = self.query("a1", ms=200)
        head, _, body = client.raw.partition(b"\r\n\r\n")
        assert b"x-first" not in head.lower()
        assert b"content-length" not in head.lower()
        assert b"body of a1" in body

    def test_the_head_of_an_answer_that_never_came_is_not_given_with_a_failure_of_our_own(self) -> None:
        self.worker(self.head_alone)
        client = self.query("a1", ms=200)
        assert client.status == 502
        assert HEADERS["seal"].lower().encode() not in client.raw.lower()


class TestAttemptsOfARoute:
    def test_a_request_with_selected_workers_goes_to_no_more_than_its_route_allows(self) -> None:
        for sends, expected in ((0, gateway.MAX_ATTEMPTS), (1, 1), (2, 2), (9, gateway.MAX_ATTEMPTS)):
            seen = []

            async def select_worker(
                _request: routed_request.RoutedRequest, excluded_workers: list[str]
            ) -> tuple[types.SimpleNamespace, str]:
                return types.SimpleNamespace(id=f"w{len(excluded_workers)}"), ""

            async def send(
                _request: routed_request.RoutedRequest,
                worker: types.SimpleNamespace,
                _under_way: dispatch.Attempt,
                _via: str,
                seen: list[str] = seen,
            ) -> attempt_outcome.AttemptOutcome:
                seen.append(worker.id)
                return attempt_outcome.AttemptOutcome.BROKE

            runtime = types.SimpleNamespace(now=lambda: 0)
            node_gateway = types.SimpleNamespace(
                selector=types.SimpleNamespace(select_worker=select_worker),
                send=send,
                retry_budgets=types.SimpleNamespace(budget=lambda _request: retry_budget.Budget()),
                counts={"repeats": 0},
                attempts=attempt_registry.AttemptRegistry(types.SimpleNamespace(runtime=runtime)),
                runtime=runtime,
                owners=types.SimpleNamespace(release=lambda _request, _outcome: None),
            )
            request = routed_request.RoutedRequest(None, "n1-1/0", 0)
            request.route = configuration.Route("/x/", "desk", sends=sends)
            request.idempotent = True
            done = defer.ensureDeferred(gateway.Gateway.send_with_grants(node_gateway, request))
            done.addErrback(lambda failure: failure.value.execution)
            assert done.result == errors.ExecutionOutcome.MAY_HAVE_RUN
            assert len(seen) == expected


class TestBoundsOfARequest(RequestPath):
    @pytest.mark.parametrize("status", [500, 503])
    @pytest.mark.parametrize("sends", [1, 2, 3])
    def test_a_request_goes_to_no_more_workers_than_its_route_allows(self, status: int, sends: int) -> None:
        self.idempotent(sends)
        self.retry_budget.slack = 99
        headers = {HEADERS["not_run"]: "1"} if status == 503 else {}
        for _ in range(4):
            self.worker(lambda c, a, s=status, h=headers: c.transport.write(answer(a, b"no", s, **h)))
        self.query("a1", ms=200)
        assert len(self.seen()) == sends
        assert max(len(worker.seen) for worker in self.workers) <= 1

    def test_a_stream_that_goes_on_elsewhere_does_not_announce_the_first_length(self) -> None:
        def script(connection: WorkerConnection, attempt: str) -> None:
            if len(self.seen()) == 1:
                connection.transport.write(answer(attempt, b"id: 1\ndata: a\n\nid: 2\nda", length=32))
                self.world.push(self.world.time + 5000, connection.transport.abortConnection)
            else:
                connection.transport.write(answer(attempt, b"id: 2\ndata: longer than before\n\n"))

        self.resumable()
        for _ in range(2):
            self.worker(script)
        client = self.query("a1", ms=200)
        head, _, body = client.raw.partition(b"\r\n\r\n")
        assert b"content-length" not in head.lower()
        assert b"transfer-encoding: chunked" in head.lower()
        assert body.endswith(b"0\r\n\r\n")
        assert (body.count(b"id: 1"), body.count(b"id: 2")) == (1, 1)

    def silent_stream(self, plan: Callable[..., Any]) -> tuple[bool, int]:
        """A stream whose worker is silent for two seconds, and what of it comes, where other workers refuse it."""

        def script(connection: WorkerConnection, attempt: str) -> None:
            if len(self.seen()) == 1:
                connection.transport.write(answer(attempt, b"id: 1\ndata: a\n\n", length=30))
                self.world.push(self.world.time + 2 * SECOND, lambda: connection.transport.write(b"id: 2\ndata: b\n\n"))
            else:
                refusal = answer(attempt, b"no", status=503, seal=None, **{HEADERS["not_run"]: "1"})
                connection.transport.write(refusal)

        self.resumable()
        for _ in range(2):
            self.worker(script)
        client = self.query("a1")
        plan()
        self.go(3000)
        return client.raw.endswith(b"0\r\n\r\n"), len(self.seen())

    def test_a_silent_stream_is_not_cut_while_the_node_stops(self) -> None:
        assert self.silent_stream(lambda: setattr(self.node, "draining", True)) == (True, 1)

    def test_a_silent_stream_is_not_cut_after_options_were_read_again(self) -> None:
        assert self.silent_stream(lambda: setattr(self.node, "options_reread_at_us", self.world.time)) == (True, 1)

    def test_a_silent_stream_goes_elsewhere_at_other_times(self) -> None:
        assert self.silent_stream(lambda: None)[1] == 2

    def test_a_worker_that_gives_no_connection_holds_no_request_past_its_time(self) -> None:
        for number in (1, 2):
            self.worker(good)
            self.world.cut(["10.0.2.1"], [f"10.0.3.{number}"])
        client = self.query("a1", ms=130, left_ms=100)
        assert client.status == 503
