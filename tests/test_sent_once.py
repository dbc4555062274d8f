"""A request that is not idempotent is sent to a second worker only if the first one reported that it did not run it.

Each test lets the first attempt fail in another way. If the node sent the request again, it could run twice.
"""

from collections.abc import Callable
from typing import Any

import pytest

from iriswheel.runtime import units
from simulation import platform_names
from tests import request_path

SECOND = units.SECOND_US
HEADERS = platform_names.HEADERS


class TestSentOnce(request_path.RequestPath):
    """Requests on a route that does not allow repetition, with two workers that both behave as the test says."""

    def assert_once(self, client: request_path.Client, *statuses: int) -> None:
        """Check that one worker received the request once, and that the client got one of the statuses."""
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
            lambda connection, attempt: connection.transport.write(request_path.answer(attempt, b"broken", status=500))
        )
        client = self.query("a1")
        self.assert_once(client, 500)
        assert HEADERS["seal"].lower().encode() in client.raw.lower()

    def test_after_a_success_without_a_seal(self) -> None:
        self.start_two_workers(
            lambda connection, attempt: connection.transport.write(request_path.answer(attempt, b"what", seal=None))
        )
        self.assert_once(self.query("a1"), 502)

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_after_a_status_that_would_wrongly_promise_that_it_did_not_run(self, status: int) -> None:
        self.start_two_workers(
            lambda connection, attempt, s=status: connection.transport.write(
                request_path.answer(attempt, b"no", status=s)
            )
        )
        client = self.query("a1")
        self.assert_once(client, 502)
        assert HEADERS["seal"].lower().encode() not in client.raw.lower()

    def test_after_a_reset_of_a_kept_connection(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            request_path.answer_correctly(
                connection, attempt
            ) if attempt == "a0" else connection.transport.abortConnection()

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
        self.start_two_workers(request_path.answer_correctly)
        for worker in self.workers:
            worker.process.freeze()
        client = self.query("a1", ms=1500)
        for worker in self.workers:
            worker.process.wake()
        self.assert_once(client, 200)

    @pytest.mark.parametrize("status", [421, 429, 503])
    def test_a_request_that_a_worker_did_not_run_goes_to_another_worker(self, status: int) -> None:
        attempts: list[str] = []

        def script(
            connection: request_path.WorkerConnection, attempt: str, s: int = status, attempts: list[str] = attempts
        ) -> None:
            attempts.append(attempt)
            if len(attempts) == 1:
                connection.transport.write(
                    request_path.answer(attempt, b"no", status=s, seal=None, more={HEADERS["not_run"]: "1"})
                )
            else:
                request_path.answer_correctly(connection, attempt)

        self.start_two_workers(script)
        self.assert_own(self.query("a1"), "a1")
        assert self.seen() == ["a1", "a1"]

    def test_an_incomplete_refusal_does_not_count_as_not_run(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            refusal = request_path.answer(
                attempt, b"no", status=503, seal=None, length=9, more={HEADERS["not_run"]: "1"}
            )
            connection.transport.write(refusal)
            connection.transport.loseConnection()

        self.start_two_workers(script)
        self.assert_once(self.query("a1"), 502)
