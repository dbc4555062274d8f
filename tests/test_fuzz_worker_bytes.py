"""Fuzzing of the bytes from a worker: whatever they are, a request gets its own answer or none."""

import re

import hypothesis
from hypothesis import strategies

from iriswheel.dataplane import worker_connections
from simulation import platform_names
from tests import fuzzing

HEADERS = platform_names.HEADERS
ATTEMPTS = ("a1", "a2", "a3", "a4")


def complete_answer(attempt: str, status: int, chunked: bool, size: int, bare: bool) -> bytes:
    """A complete answer whose body repeats the id of its attempt; a bare one has no id in its head."""
    body = f"<{attempt}>".encode() * size
    head = "" if bare else f"{HEADERS['attempt']}: {attempt}\r\n{HEADERS['seal']}: s\r\n"
    if chunked:
        pieces = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return f"HTTP/1.1 {status} S\r\n{head}Transfer-Encoding: chunked\r\n\r\n".encode() + pieces + b"0\r\n\r\n"
    return f"HTTP/1.1 {status} S\r\n{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


ANSWERS = strategies.builds(
    complete_answer,
    strategies.sampled_from(ATTEMPTS),
    strategies.sampled_from([200, 500, 503, 100, 204]),
    strategies.booleans(),
    strategies.integers(0, 3),
    strategies.booleans(),
)
PIECES = ANSWERS | strategies.binary(max_size=9) | strategies.sampled_from([b"\r\n", b"<a2> more", b"HTTP/1.1 200"])


class RecordingReceiver:
    """Records what a connection gives to the receiver of one request."""

    bodyless = False

    def __init__(self, attempt: str) -> None:
        self.attempt = attempt
        self.headers: dict[str, str] | None = None
        self.body = b""
        self.ends: list[str] = []

    def owns(self, _status: int, lowercase: dict[str, str], _uses: int) -> bool | None:
        got = lowercase.get(HEADERS["attempt"].lower())
        return None if got is None else got == self.attempt

    def head_received(self, _status: int, _headers: list[tuple[bytes, bytes]], lowercase: dict[str, str]) -> None:
        assert self.headers is None, "two answers to one request"
        self.headers = lowercase

    def data_received(self, data: bytes) -> None:
        self.body += data

    def answer_complete(self) -> None:
        self.ends.append("whole")

    def answer_lost(self) -> None:
        self.ends.append("lost")


class TestWorkerBytes(fuzzing.LoggedErrors):
    """A connection to a worker, fed with answers to any request and with arbitrary bytes."""

    @fuzzing.QUICK
    @hypothesis.given(
        strategies.lists(strategies.lists(PIECES, max_size=4), min_size=1, max_size=4), strategies.integers(1, 400)
    )
    def test_a_request_gets_only_its_own_answer(self, answers_by_request: list[list[bytes]], step: int) -> None:
        _, runtime = fuzzing.new_runtime()
        connection = worker_connections.WorkerConnection(runtime, "w1")
        transport = fuzzing.Transport()
        connection.makeConnection(transport)
        receivers = []
        for attempt, pieces in zip(ATTEMPTS, answers_by_request, strict=False):
            if connection.must_close or connection.receiver is not None:
                break
            receivers.append(RecordingReceiver(attempt))
            connection.start(b"", receivers[-1])
            raw = b"".join(pieces)
            for start in range(0, len(raw), step):
                if not transport.aborted:
                    connection.dataReceived(raw[start : start + step])
        connection.connectionLost()
        for receiver in receivers:
            assert len(receiver.ends) == 1, receiver.ends
            if receiver.headers is not None:
                assert receiver.headers[HEADERS["attempt"].lower()] == receiver.attempt
            if "whole" in receiver.ends:
                assert ({receiver.attempt.encode()} if receiver.body else set()) == set(
                    re.findall(rb"<(a\d)>", receiver.body)
                )
