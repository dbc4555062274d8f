"""The HTTP server enforces the configuration's limits (`limits/door`) on the size and duration of what clients send."""

import gc
import unittest.mock
import weakref
from collections.abc import Iterator

import pytest
from twisted.internet import defer, error, task, testing
from twisted.python import failure
from twisted.web import http

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.runtime import scheduler, units
from iriswheel.transport import http_server, json_documents
from tests import http_connection


class TestLimits:
    @pytest.fixture(autouse=True)
    def start_server(self) -> Iterator[None]:
        self.clock = task.Clock()
        self.limits = configuration.Limits(head_bytes=300, body_bytes=10, head_us=3_000_000, idle_us=15_000_000)
        runtime = scheduler.Runtime(self.clock, now=lambda: int(self.clock.seconds() * units.SECOND_US))
        self.served: list[bytes] = []

        async def handle(request: http_server.Request) -> None:
            self.served.append(request.content.read())
            request.answer_json(200, {})

        self.server = http_server.Server(runtime, handle, limits=lambda: self.limits)
        closing_overdue_heads = runtime.spawn(self.server.close_overdue_heads())
        yield
        closing_overdue_heads.cancel()

    def connect(self) -> tuple[http_server.Channel, testing.StringTransportWithDisconnection]:
        return http_connection.connect(self.server)

    def wait(self, seconds: int) -> None:
        self.clock.pump([0.5] * int(2 * seconds))

    def test_a_body_above_the_limit_is_refused_and_not_served(self) -> None:
        channel, transport = self.connect()
        channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n")
        assert transport.value().startswith(b"HTTP/1.1 413")
        self.limits = configuration.Limits(body_bytes=11)
        channel, transport = self.connect()
        channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n01234567890")
        assert self.served == [b"01234567890"]

    # Clients that do not behave: a form of some megabytes took many times as much memory, and a torn one was refused.
    @pytest.mark.parametrize("kind", [b"application/x-www-form-urlencoded", b"multipart/form-data; boundary=b"])
    def test_a_form_is_served_as_it_is(self, kind: bytes) -> None:
        channel, _ = self.connect()
        with (
            unittest.mock.patch.object(http, "parse_qs") as parse,
            unittest.mock.patch.object(http, "_getMultiPartArgs"),
        ):
            channel.dataReceived(b"POST / HTTP/1.1\r\nContent-Type: " + kind + b"\r\nContent-Length: 5\r\n\r\na=1&b")
        assert self.served == [b"a=1&b"]
        assert not parse.called

    # Clients that do not behave: requests sent at once were all handled in one turn, whatever that took.
    @pytest.mark.parametrize("head", [b"GET / HTTP/1.1\r\n", b"POST / HTTP/1.1\r\nContent-Length: 1\r\n"])
    def test_of_requests_that_come_together_one_is_handled_in_a_turn(self, head: bytes) -> None:
        channel, transport = self.connect()
        channel.dataReceived((head + b"\r\n" + b"1" * (head[:4] == b"POST")) * 3)
        assert len(self.served) == 1
        self.clock.advance(0)
        assert len(self.served) == 3
        assert transport.value().count(b"HTTP/1.1 200") == 3

    def test_a_later_request_waits_until_the_client_has_taken_the_answers(self) -> None:
        channel, _ = self.connect()
        channel.pauseProducing()  # as the transport does where the client does not read
        channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1" * 2)
        self.wait(1)
        channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n2")
        self.wait(1)
        assert self.served == [b"1"]
        channel.resumeProducing()
        self.wait(1)
        assert self.served == [b"1", b"1", b"2"]

    def test_a_kept_request_is_dropped_where_memory_runs_out(self) -> None:
        channel, transport = self.connect()
        channel.pauseProducing()
        channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1" * 2)
        assert channel.held_bytes()
        assert channel.release_memory()
        assert not channel.held_bytes()
        self.wait(1)
        assert (self.served, transport.connected) == ([b"1"], False)

    # The look for memory found no request on such a connection, and broke off the request on whose behalf it was made.
    @pytest.mark.parametrize("is_kept", [True, False])
    def test_a_connection_that_is_closing_has_nothing_to_release(self, is_kept: bool) -> None:
        channel, transport = self.connect()
        with unittest.mock.patch.object(transport, "loseConnection"):  # some of the answer is not sent yet
            if is_kept:
                channel.pauseProducing()
                channel.dataReceived(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 2)
                assert channel.release_memory()
            else:
                channel.dataReceived(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
            assert not channel.release_memory()
            channel.resumeProducing()
            self.wait(1)
        assert len(self.served) == 1

    # Clients that do not behave: refused documents of some megabytes stayed until the next search for garbage.
    def test_a_refused_document_is_freed_at_once(self) -> None:
        class Document:
            """Anything that a weak reference can refer to."""

        documents = []

        async def handle(_request: http_server.Request) -> None:
            document = Document()
            documents.append(weakref.ref(document))
            refusal = errors.ServiceError("bad_blueprint", "It is refused.")
            raise refusal

        self.server.handle = handle
        channel, transport = self.connect()
        gc.disable()
        try:
            channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1")
            assert transport.value().startswith(b"HTTP/1.1 422")
            assert documents[0]() is None
        finally:
            gc.enable()

    def test_a_head_above_the_limit_is_answered_with_400(self) -> None:
        channel, transport = self.connect()
        channel.dataReceived(b"POST / HTTP/1.1\r\nX-A: " + b"a" * 400 + b"\r\nContent-Length: 0\r\n\r\n")
        assert transport.value().startswith(b"HTTP/1.1 400")
        assert self.served == []

    def test_a_head_that_comes_too_slowly_ends_the_connection(self) -> None:
        channel, transport = self.connect()
        for byte in b"POST / HT":
            channel.dataReceived(bytes([byte]))
            self.wait(1)
        assert not transport.connected

    def test_an_error_for_a_disconnected_client_is_dropped_without_a_log_line(self, logged_errors: list[str]) -> None:
        answer: defer.Deferred[None] = defer.Deferred()

        async def handle(_request: http_server.Request) -> None:
            await answer

        self.server.handle = handle
        channel, _ = self.connect()
        channel.dataReceived(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        channel.connectionLost(failure.Failure(error.ConnectionLost()))
        answer.errback(errors.ServiceError("no_chain", "The tail holds no lease now."))
        assert logged_errors == []

    def test_an_idle_connection_is_closed_only_after_the_idle_time(self) -> None:
        channel, transport = self.connect()
        channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        self.wait(15)
        assert transport.connected
        channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        assert len(self.served) == 2
        self.wait(20)
        assert not transport.connected

    def test_a_longer_idle_time_applies_to_open_connections(self) -> None:
        self.limits = configuration.Limits(idle_us=5_000_000)
        channel, transport = self.connect()
        channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        self.limits = configuration.Limits(idle_us=15_000_000)
        self.wait(15)
        assert transport.connected
        self.wait(5)
        assert not transport.connected

    def test_no_100_continue_follows_the_refusal_of_a_content_length(self) -> None:
        channel, transport = self.connect()
        channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 11\r\n\r\n")
        assert transport.value().count(b"HTTP/1.1") == 1


# Clients that do not behave: a document of some megabytes took more than a hundred megabytes of memory once decoded.
def test_json_with_too_many_lists_and_objects_is_refused_before_it_is_decoded() -> None:
    allowed = b"[" + b"{}," * (json_documents.MAX_CONTAINERS - 2) + b"{}]"
    assert len(json_documents.parse(allowed)) == json_documents.MAX_CONTAINERS - 1
    with (
        unittest.mock.patch("msgspec.json.decode") as decode,
        pytest.raises(ValueError, match="more"),
    ):
        json_documents.parse(allowed[:-1] + b",{}]")
    assert not decode.called
