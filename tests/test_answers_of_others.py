"""An answer reaches only the request to which it belongs.

Workers answer late, twice, partially or with the id of another attempt, on connections that are reused. The node must
pass none of these bytes to another client.
"""

from iriswheel.runtime import units
from simulation import network_model, platform_names
from tests import request_path

SECOND = units.SECOND_US
HEADERS = platform_names.HEADERS


class TestAnswersToOtherRequests(request_path.RequestPath):
    def test_a_second_answer_in_one_segment_reaches_no_client(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            connection.transport.write(request_path.answer(attempt, f"body of {attempt}".encode()) * 2)

        worker = self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)
        assert [connection.closed for connection in worker.connections] == [True, True]

    def test_a_partial_second_answer_reaches_no_client(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            complete = request_path.answer(attempt, f"body of {attempt}".encode())
            connection.transport.write(complete + complete[:-3])

        worker = self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)
        assert len(worker.connections) == 2

    def test_a_late_answer_on_an_idle_connection_closes_the_connection(self) -> None:
        worker = self.worker(request_path.answer_correctly)
        self.query("a1")
        worker.connections[0].transport.write(request_path.answer("a1", b"body of a1"))
        self.go(10)
        self.assert_own(self.query("a2"), "a2")
        assert [connection.closed for connection in worker.connections] == [True, False]

    def test_a_late_answer_before_the_next_requests_own_is_discarded(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            if attempt == "a2":
                connection.transport.write(request_path.answer("a1", b"body of a1"))
            request_path.answer_correctly(connection, attempt)

        worker = self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)
        assert len(worker.connections) == 1

    def test_a_late_failure_before_the_next_requests_own_answer_is_discarded(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            if attempt == "a2":
                connection.transport.write(
                    request_path.answer("a1", b"no", status=503, seal=None, more={HEADERS["not_run"]: "1"})
                )
            request_path.answer_correctly(connection, attempt)

        worker = self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)
        assert worker.seen == ["a1", "a2"]

    def test_an_answer_without_id_on_a_reused_connection_is_rejected(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            if attempt == "a2":
                connection.transport.write(
                    request_path.answer(None, b"no", status=503, seal=None, more={HEADERS["not_run"]: "1"})
                )
            else:
                request_path.answer_correctly(connection, attempt)

        self.worker(script)
        self.query("a1")
        assert self.query("a2").status == 502
        assert self.seen() == ["a1", "a2"]

    def test_a_request_that_gets_only_answers_to_other_requests_times_out(self) -> None:
        self.worker(lambda connection, _attempt: connection.transport.write(request_path.answer("a9", b"body of a9")))
        client = self.query("a1", ms=700, left_ms=500)
        assert client.status == 504
        assert b"body of a9" not in client.raw
        assert self.seen() == ["a1"]

    def test_bytes_beyond_the_announced_length_reach_no_client(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            body = f"body of {attempt}".encode()
            connection.transport.write(request_path.answer(attempt, body + b" and more", length=len(body)))

        self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)

    def test_a_body_shorter_than_the_announced_length_is_not_sent_as_complete(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            connection.transport.write(request_path.answer(attempt, b"body", length=9))
            connection.transport.loseConnection()

        self.worker(script)
        client = self.query("a1")
        assert (client.status, client.closed, self.seen()) == (200, True, ["a1"])
        assert not client.raw.endswith(b"0\r\n\r\n")
        assert b"Content-Length: 9" in client.raw

    def test_an_attempt_id_may_hold_any_bytes(self) -> None:
        attempt = b"\xc3\xa9\xff".decode("latin-1")

        def echo(connection: request_path.WorkerConnection, attempt: str) -> None:
            head = f"{HEADERS['attempt']}: {attempt}\r\n{HEADERS['seal']}: s\r\nContent-Length: 10\r\n\r\n"
            connection.transport.write(b"HTTP/1.1 200 OK\r\n" + head.encode("latin-1") + b"body of a1")

        self.worker(echo)
        self.assert_own(self.query(attempt), "a1")

    def test_headers_that_could_smuggle_a_header_or_request_are_refused(self) -> None:
        self.worker(request_path.answer_correctly)
        for headers in (
            {"X-A": "b\nX-Attempt-Id: a9"},
            {"X-A": "b\rX-Attempt-Id: a9"},
            {"Transfer-Encoding": "chunked"},
            {"content-length": 3},
        ):
            assert self.query("a1", **headers).status == 400
        assert self.seen() == []

    def test_a_connection_header_may_hold_any_bytes(self) -> None:
        self.worker(request_path.answer_correctly)
        self.assert_own(self.query("a1", Connection="\xff"), "a1")

    def test_interim_answers_are_not_passed_on(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            connection.transport.write(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n")
            request_path.answer_correctly(connection, attempt)

        self.worker(script)
        for attempt in ("a1", "a2"):
            self.assert_own(self.query(attempt), attempt)

    def test_an_answer_to_a_head_request_has_no_body(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            connection.transport.write(
                request_path.answer(attempt, length=10)
                if attempt == "a1"
                else request_path.answer(attempt, b"body of a2")
            )

        self.worker(script)
        client = self.query("a1", method="HEAD")
        assert (client.status, client.raw.endswith(b"\r\n\r\n")) == (200, True)
        self.assert_own(self.query("a2"), "a2")

    def test_pipelined_requests_are_answered_in_their_order(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            self.world.push(
                self.world.time + (30 if attempt == "a1" else 1) * units.MILLISECOND_US,
                lambda: request_path.answer_correctly(connection, attempt),
            )

        self.worker(script)
        client = self.client()
        for attempt in ("a1", "a2", "a3"):
            self.write(client, attempt)
        self.go(200)
        places = [client.raw.find(f"body of {attempt}".encode()) for attempt in ("a1", "a2", "a3")]
        assert (sorted(places), 3) == (places, client.raw.count(b"HTTP/1.1"))
        assert -1 not in places

    def test_a_connection_whose_client_disconnected_is_not_reused(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            if attempt == "a2":
                request_path.answer_correctly(connection, attempt)

        worker = self.worker(script)
        client = self.query("a1")
        client.transport.abortConnection()
        self.go(20)
        assert worker.connections[0].closed
        self.assert_own(self.query("a2"), "a2")

    def test_a_request_ends_when_its_client_disconnects_during_the_connect(self, logged_errors: list[str]) -> None:
        for _ in range(2):
            self.worker(request_path.answer_correctly)
        self.world.cut(["10.0.2.1"], ["10.0.3.1", "10.0.3.2"])
        client = self.query("a1")
        client.transport.abortConnection()
        self.go(20)
        self.world.heal()
        self.go(2000)
        assert (self.seen(), logged_errors) == ([], [])
        assert (self.forwarder.counts.disconnected, self.forwarder.counts.unreached) == (1, 0)
        assert self.forwarder.connections.open == {}

    def test_a_connection_that_a_slow_client_paused_is_read_again(self) -> None:
        size = 4 * network_model.WINDOW_BYTES

        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            if attempt == "a1":
                connection.transport.write(request_path.answer(attempt, b"." * size))
            else:
                request_path.answer_correctly(connection, attempt)

        worker = self.worker(script)
        slow = self.client()
        slow.transport.pauseProducing()
        self.write(slow, "a1")
        self.go(50)
        self.assert_own(self.query("a2", ms=200), "a2")
        slow.transport.resumeProducing()
        self.go(500)
        assert (len(worker.connections), slow.raw.count(b".") - slow.raw.split(b"\r\n\r\n")[0].count(b".")) == (1, size)
