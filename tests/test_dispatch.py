"""The worker client `dispatch.Dispatcher`, which sends requests to workers that pool owners select."""

from twisted.internet import defer

from iriswheel.dataplane import attempt_outcome, dispatch
from iriswheel.runtime import units
from iriswheel.transport import http_server
from simulation import platform_names
from tests import request_path

SECOND = units.SECOND_US
HEADERS = platform_names.HEADERS


class TestDispatchToASelectedWorker(request_path.RequestPath):
    """A request is sent to one listed worker after another until one gives a complete answer."""

    async def handle(self, request: http_server.Request) -> None:
        self.outcomes = []
        work = defer.ensureDeferred(self.send_to_all(request))
        request.client_lost.wait().addCallback(lambda _: work.cancel())
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

    def test_a_request_ends_when_its_client_disconnects_during_the_connect(self) -> None:
        for _ in range(2):
            self.worker(request_path.answer_correctly)
        self.world.cut(["10.0.2.1"], ["10.0.3.1"])
        client = self.query("a1")
        client.transport.abortConnection()
        self.go(2000)
        assert (self.outcomes, self.seen()) == (["cancelled"], [])

    def write_head_only(self, connection: request_path.WorkerConnection, attempt: str) -> None:
        """Send the head of an answer, and close the connection 5 ms later without a body."""
        connection.transport.write(request_path.answer(attempt, length=9, more={"X-First": "1"}))
        self.world.push(self.world.time + 5000, connection.transport.abortConnection)

    def test_the_head_of_a_lost_answer_is_not_sent_with_the_next_workers_answer(self) -> None:
        def chunked(connection: request_path.WorkerConnection, _attempt: str) -> None:
            connection.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            connection.transport.write(b"a\r\nbody of a1\r\n0\r\n\r\n")

        self.worker(self.write_head_only)
        self.worker(chunked)
        client = self.query("a1", ms=200)
        head, _, body = client.raw.partition(b"\r\n\r\n")
        assert b"x-first" not in head.lower()
        assert b"content-length" not in head.lower()
        assert b"body of a1" in body

    def test_the_head_of_a_lost_answer_is_not_sent_with_the_nodes_own_error(self) -> None:
        self.worker(self.write_head_only)
        client = self.query("a1", ms=200)
        assert client.status == 502
        assert HEADERS["seal"].lower().encode() not in client.raw.lower()
