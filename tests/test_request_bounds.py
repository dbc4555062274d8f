"""The attempts of a request stay within the limit of its route and the request's deadline."""

import types
from collections.abc import Callable
from typing import Any

import pytest
from twisted.internet import defer
from twisted.python import failure

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.dataplane import (
    attempt_outcome,
    attempt_registry,
    dispatch,
    gateway,
    request_counts,
    retry_budget,
    routed_request,
)
from iriswheel.runtime import units
from simulation import platform_names
from tests import request_path

SECOND = units.SECOND_US
HEADERS = platform_names.HEADERS


class TestAttemptsOfARoute:
    def test_a_request_with_workers_selected_by_the_owner_has_no_more_attempts_than_its_route_allows(self) -> None:
        for sends, expected in ((0, gateway.MAX_ATTEMPTS), (1, 1), (2, 2), (9, gateway.MAX_ATTEMPTS)):
            seen: list[str] = []

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
            node_gateway: Any = types.SimpleNamespace(
                selector=types.SimpleNamespace(select_worker=select_worker),
                send=send,
                retry_budgets=types.SimpleNamespace(budget=lambda _request: retry_budget.Budget()),
                counts=request_counts.GatewayCounts(),
                attempts=attempt_registry.AttemptRegistry(types.SimpleNamespace(runtime=runtime)),
                runtime=runtime,
                owners=types.SimpleNamespace(release=lambda _request, _outcome: None),
            )
            received: Any = None  # never read in this test
            request = routed_request.RoutedRequest(received, "n1-1/0", 0)
            request.route = configuration.Route("/x/", "desk", sends=sends)
            request.idempotent = True
            done = defer.ensureDeferred(gateway.Gateway.send_with_grants(node_gateway, request))
            failures: list[failure.Failure] = []
            done.addErrback(failures.append)
            assert isinstance(failures[0].value, errors.ServiceError)
            assert failures[0].value.execution == errors.ExecutionOutcome.MAY_HAVE_RUN
            assert len(seen) == expected


class TestBoundsOfARequest(request_path.RequestPath):
    @pytest.mark.parametrize("status", [500, 503])
    @pytest.mark.parametrize("sends", [1, 2, 3])
    def test_a_request_has_no_more_attempts_than_its_route_allows(self, status: int, sends: int) -> None:
        self.use_idempotent_route(sends)
        self.retry_budget.slack = 99
        headers = {HEADERS["not_run"]: "1"} if status == 503 else {}
        for _ in range(4):
            self.worker(lambda c, a, s=status, h=headers: c.transport.write(request_path.answer(a, b"no", s, more=h)))
        self.query("a1", ms=200)
        assert len(self.seen()) == sends
        assert max(len(worker.seen) for worker in self.workers) <= 1

    def test_a_stream_resumed_by_another_worker_does_not_announce_the_content_length_of_the_first(self) -> None:
        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            if len(self.seen()) == 1:
                connection.transport.write(request_path.answer(attempt, b"id: 1\ndata: a\n\nid: 2\nda", length=32))
                self.world.push(self.world.time + 5000, connection.transport.abortConnection)
            else:
                connection.transport.write(request_path.answer(attempt, b"id: 2\ndata: longer than before\n\n"))

        self.use_resumable_route()
        for _ in range(2):
            self.worker(script)
        client = self.query("a1", ms=200)
        head, _, body = client.raw.partition(b"\r\n\r\n")
        assert b"content-length" not in head.lower()
        assert b"transfer-encoding: chunked" in head.lower()
        assert body.endswith(b"0\r\n\r\n")
        assert (body.count(b"id: 1"), body.count(b"id: 2")) == (1, 1)

    def silent_stream(self, change_node: Callable[..., Any]) -> tuple[bool, int]:
        """Start a stream whose worker is silent for two seconds after its first event; call `change_node` meanwhile.

        The other worker refuses every request.

        Returns:
            Whether the client got the complete stream, and the number of attempts.
        """

        def script(connection: request_path.WorkerConnection, attempt: str) -> None:
            if len(self.seen()) == 1:
                connection.transport.write(request_path.answer(attempt, b"id: 1\ndata: a\n\n", length=30))
                self.world.push(self.world.time + 2 * SECOND, lambda: connection.transport.write(b"id: 2\ndata: b\n\n"))
            else:
                refusal = request_path.answer(attempt, b"no", status=503, seal=None, more={HEADERS["not_run"]: "1"})
                connection.transport.write(refusal)

        self.use_resumable_route()
        for _ in range(2):
            self.worker(script)
        client = self.query("a1")
        change_node()
        self.go(3000)
        return client.raw.endswith(b"0\r\n\r\n"), len(self.seen())

    def test_a_silent_stream_is_not_moved_while_the_node_drains(self) -> None:
        assert self.silent_stream(lambda: setattr(self.node, "draining", True)) == (True, 1)

    def test_a_silent_stream_is_not_moved_right_after_an_options_reload(self) -> None:
        assert self.silent_stream(lambda: setattr(self.node, "options_reloaded_at_us", self.world.time)) == (True, 1)

    def test_a_silent_stream_is_moved_to_another_worker_at_other_times(self) -> None:
        assert self.silent_stream(lambda: None)[1] == 2

    def test_a_request_whose_workers_are_unreachable_is_refused_at_its_deadline(self) -> None:
        for number in (1, 2):
            self.worker(request_path.answer_correctly)
            self.world.cut(["10.0.2.1"], [f"10.0.3.{number}"])
        client = self.query("a1", ms=130, left_ms=100)
        assert client.status == 503
