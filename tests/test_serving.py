"""The simulated worker and worker list behave as the platform specifies, and each fault is visible to clients."""

import json
from typing import Any

import httptools
import pytest
from twisted.internet import protocol
from twisted.python import failure

import simulation.workers.listing as workers_listing
import simulation.workers.worker as workers
from iriswheel.runtime import units
from simulation import event_log, host_model, inference_engine, platform_names, process_model, world

MILLISECOND, SECOND = units.MILLISECOND_US, units.SECOND_US
HEADERS = platform_names.HEADERS


class Answer:
    def __init__(self) -> None:
        self.headers: dict[str, str] = {}
        self.body, self.code, self.complete = b"", 0, False


class Client(protocol.Protocol):
    """An HTTP client that records all answers, raw bytes and the end of its connection."""

    transport: Any  # a side of a simulated connection

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self.closed: str | None = None
        self.raw = b""
        self.parser = httptools.HttpResponseParser(self)

    def dataReceived(self, data: bytes) -> None:
        self.raw += data
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.garbage = True

    garbage = False

    def connectionLost(self, reason: failure.Failure = protocol.connectionDone) -> None:
        assert reason.type is not None
        self.closed = reason.type.__name__

    def ended_by(self) -> str | None:
        """The name of the error that ended the connection; None while it is open."""
        return self.closed

    def on_message_begin(self) -> None:
        self.answers.append(Answer())

    def on_header(self, name: bytes, value: bytes) -> None:
        self.answers[-1].headers[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        self.answers[-1].code = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self.answers[-1].body += data

    def on_message_complete(self) -> None:
        self.answers[-1].complete = True


class TestWorkerAndListing:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.world = world.World(5)
        self.event_log = event_log.EventLog()
        self.process = process_model.SimulatedProcess(self.world, "w1", host_model.Host(self.world, "10.0.3.1", "a"))
        self.worker = workers.Worker(
            self.process.runtime(),
            "w1",
            "desk",
            self.event_log,
            inference_engine.EngineParameters(enqueue_delay_us=0),
            connection_limit=5,
        )
        self.worker.close_share = self.worker.linger_share = 0
        self.process.reactor.listenTCP(8080, self.worker)
        self.near = process_model.SimulatedProcess(self.world, "near", host_model.Host(self.world, "10.0.2.1", "a"))

    def advance_ms(self, ms: int) -> None:
        self.world.run(self.world.time + ms * MILLISECOND)

    def connect(self, host: str = "10.0.3.1", port: int = 8080) -> Client:
        client = Client()
        factory: Any = protocol.ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda _address: client
        self.near.reactor.connectTCP(host, port, factory)
        self.advance_ms(2)
        return client

    def request(
        self,
        client: Client,
        *,
        attempt: str | None = "a1",
        tokens: str = "10,9",
        parts: str = "aa:10",
        left: int = 5000,
        path: str = "/x/",
        **more: str,
    ) -> None:
        headers = {
            HEADERS["attempt"]: attempt,
            HEADERS["tokens"]: tokens,
            HEADERS["parts"]: parts,
            HEADERS["left"]: left,
            "Host": "h.example",
            "Content-Length": 2,
            **{HEADERS[k]: v for k, v in more.items()},
        }
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items() if v is not None)
        client.transport.write(f"POST {path} HTTP/1.1\r\n{lines}\r\nhi".encode())

    def events_of(self, *kinds: str) -> list[dict[str, Any]]:
        return [r for r in self.event_log.rows if r["kind"] in kinds]

    def test_a_stream_has_the_seal_the_attempt_id_and_numbered_events(self) -> None:
        client = self.connect()
        self.request(client, target=self.worker.id)
        self.advance_ms(300)
        (answer,) = client.answers
        seal = answer.headers[HEADERS["seal"].lower()]
        assert (
            answer.code,
            answer.complete,
            answer.headers[HEADERS["attempt"].lower()],
            answer.headers["content-type"],
        ) == (
            200,
            True,
            "a1",
            "text/event-stream",
        )
        assert (
            "".join(f"id: {k}\ndata: {seal} a1 {k}{' last' if k == 3 else ''}\n\n" for k in (1, 2, 3))
            == answer.body.decode()
        )
        assert [r["kind"] for r in self.events_of("arrived", "run", "ran")] == ["arrived", "run", "ran"]
        self.request(client, attempt="a2")
        self.advance_ms(300)
        assert [x.headers[HEADERS["attempt"].lower()] for x in client.answers] == ["a1", "a2"]

    def test_a_refused_request_is_marked_as_not_run(self) -> None:
        client = self.connect()
        self.request(client, attempt="a1", target="i-other")
        self.request(client, attempt=None)
        self.request(client, attempt="a3", left=0)
        self.request(client, attempt="a4", weights_wanted="2")
        self.request(client, attempt="a5", tokens="10,99000000")
        self.advance_ms(50)
        assert [answer.code for answer in client.answers] == [421, 400, 503, 421, 503]
        assert all(HEADERS["not_run"].lower() in answer.headers for answer in client.answers)
        assert self.events_of("run") == []

    def test_a_deadline_that_passes_in_the_queue_is_answered_as_not_run(self) -> None:
        self.worker.engine.parameters.capacity = 1
        client, other = self.connect(), self.connect()
        self.request(client, attempt="a1", tokens="10,400")
        self.advance_ms(20)
        self.request(other, attempt="a2", left=100)
        self.advance_ms(200)
        assert [answer.code for answer in other.answers] == [503]
        assert HEADERS["not_run"].lower() in other.answers[0].headers
        assert [r["attempt"] for r in self.events_of("run")] == ["a1"]

    def test_a_deadline_during_a_stream_resets_the_connection(self) -> None:
        client = self.connect()
        self.request(client, tokens="10,400", left=200)
        self.advance_ms(400)
        assert (client.answers[0].complete, client.closed) == (False, "ConnectionLost")

    def test_a_stream_resumes_after_the_last_received_event(self) -> None:
        client = self.connect()
        self.request(client, tokens="10,17", after="3")
        self.advance_ms(300)
        assert [p.split(b"\n")[0] for p in client.answers[0].body.split(b"\n\n") if p] == [b"id: 4", b"id: 5"]

    def test_resuming_after_the_final_event_gives_an_empty_stream(self) -> None:
        client = self.connect()
        self.request(client, tokens="10,17", after="5")
        self.advance_ms(300)
        assert (client.answers[0].code, client.answers[0].complete, client.answers[0].body) == (200, True, b"")

    def test_a_request_is_cancelled_when_its_connection_is_lost(self) -> None:
        client = self.connect()
        self.request(client, tokens="10,400")
        self.advance_ms(100)
        client.transport.abortConnection()
        self.advance_ms(50)
        assert [r["how"] for r in self.events_of("ran")] == ["cut"]
        assert self.worker.engine.running == []

    def test_too_many_connections_are_reset(self) -> None:
        callers = [self.connect() for _ in range(7)]
        self.advance_ms(10)
        assert [client.closed for client in callers] == [None] * 5 + ["ConnectionLost"] * 2

    def test_idle_connections_are_closed_or_dropped_silently(self) -> None:
        client = self.connect()
        self.advance_ms(6000)
        assert client.closed == "ConnectionDone"
        self.worker.silent_drop = True
        client = self.connect()
        self.advance_ms(6000)
        assert client.ended_by() is None
        self.request(client)
        self.advance_ms(50)
        assert (client.ended_by(), client.answers) == ("ConnectionLost", [])

    def test_each_fault_is_visible_to_the_client(self) -> None:
        want = {
            "garble": lambda client: client.garbage and not any(answer.complete for answer in client.answers),
            "errors": lambda client: [answer.code for answer in client.answers] == [500],
            "break": lambda client: (
                client.closed == "ConnectionLost" and not client.answers[0].complete and client.answers[0].body
            ),
            "lost": lambda client: client.closed == "ConnectionLost" and not client.answers[0].complete,
            "mute": lambda client: not client.answers and client.closed is None,
            "hang": lambda client: not client.answers[0].complete and client.closed is None,
            "surplus": lambda client: [answer.complete for answer in client.answers] == [True, True],
            "late": lambda client: [answer.complete for answer in client.answers] == [True, True],
        }
        for way, seen in want.items():
            self.worker.faults = {way: 1.0}
            client = self.connect()
            self.request(client, attempt=way)
            self.advance_ms(800)
            assert seen(client), (way, client.raw)
            client.transport.abortConnection()
            self.advance_ms(50)
        assert sorted(want) == sorted({r["attempt"] for r in self.events_of("run")}), (
            "each request has run at the worker"
        )

    def test_a_health_check_reports_the_actual_or_the_configured_state(self) -> None:
        client = self.connect()
        cases: tuple[tuple[str, dict[str, float], int], ...] = (
            ("", {}, 200),
            ("", {"mute": 1}, 503),
            ("good", {"mute": 1}, 200),
            ("bad", {}, 503),
        )
        for health, faults, code in cases:
            self.worker.health, self.worker.faults = health, faults
            client.transport.write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
            self.advance_ms(50)
            assert (client.answers[-1].code, client.answers[-1].headers[HEADERS["worker"].lower()]) == (
                code,
                self.worker.id,
            )

    def test_the_load_report_is_delayed(self) -> None:
        client, other = self.connect(), self.connect()
        self.advance_ms(300)
        self.request(client, tokens="10,400")
        for ms, running in ((50, 0), (250, 1)):
            self.advance_ms(ms)
            other.transport.write(b"GET /report HTTP/1.1\r\nHost: x\r\n\r\n")
            self.advance_ms(5)
            assert json.loads(other.answers[-1].body)[platform_names.REPORT["running"]] == running

    def test_the_worker_list_is_delayed_paged_and_rate_limited(self) -> None:
        process = process_model.SimulatedProcess(self.world, "list", host_model.Host(self.world, "10.0.4.1", "a"))
        listing = workers_listing.Listing(process.runtime(), self.event_log, page=2, rate=4)
        process.reactor.listenTCP(9000, listing)
        for k in range(5):
            listing.put(f"i-{k}", pool="desk", address=f"10.0.3.{k}:80", zone="ab"[k % 2])
        client = self.connect("10.0.4.1", 9000)

        def page(query: str = "") -> dict[str, Any]:
            client.transport.write(f"GET /workers{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            self.advance_ms(5)
            listed: dict[str, Any] = json.loads(client.answers[-1].body or b"{}")
            return listed

        assert page()["worker_pool"] == []
        self.advance_ms(1500)
        got: list[str] = []
        token: str | None = ""
        for _ in range(3):
            document = page(f"?page_token={token}")
            got += [r["id"] for r in document["worker_pool"]]
            token = document["next_cursor"]
        assert ([f"i-{k}" for k in range(5)], None) == (got, token)
        assert [r["id"] for r in page("?zone=b")["worker_pool"]] == ["i-1", "i-3"]
        page()
        assert client.answers[-1].code == 429
        self.advance_ms(1000)
        listing.put("i-0", state="draining")
        listing.remove("i-1")
        self.advance_ms(500)
        assert [r["id"] for r in page()["worker_pool"]] == ["i-0", "i-1"]
        self.advance_ms(1500)
        rows = page()["worker_pool"]
        assert [(r["id"], r["state"]) for r in rows] == [("i-0", "draining"), ("i-2", "ready")]
