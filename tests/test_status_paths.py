"""Which status calls a node answers itself, at the address for clients and at the one for readiness polls."""

from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet import defer
from twisted.web import http_headers

from iriswheel import errors
from iriswheel.dataplane import edge_protocol, gateway, status_calls
from tests import deferreds

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
PATHS = ["/state", edge_protocol.READY_PATH, "/readiness", "/state/", "//state", "/"]
QUERIES = ["", "?", "?verbose=1"]


class Request:
    """A request that records the node's own answers to it."""

    def __init__(self, method: str, uri: str) -> None:
        self.method = method.encode()
        self.uri = uri.encode()
        self.path = self.uri.partition(b"?")[0]  # as Twisted splits it
        self.requestHeaders = http_headers.Headers({"Host": ["a.example"]})
        self.answers: list[int] = []

    def answer_json(self, status: int, _document: object) -> None:
        """Record the status of the node's own answer."""
        self.answers.append(status)


class Node:
    """The parts of a node that status calls read, and its gateway."""

    def __init__(self, *, any_method: bool, draining: bool = False, has_routes: bool = True) -> None:
        self.edge_protocol = edge_protocol.EdgeProtocol()
        self.edge_protocol.accepts_any_method = any_method
        route = "a route" if has_routes else None
        self.follower = SimpleNamespace(items={} if has_routes else None, find_route=lambda _host, _path: route)
        self.draining = draining
        self.drain_noticed_at_us: int | None = None
        self.runtime = SimpleNamespace(now=lambda: 7)
        self.served: list[object] = []

    def ready(self) -> tuple[bool, str]:
        """Return that the node is ready unless it is draining."""
        return not self.draining, "stopping" if self.draining else ""

    def state(self) -> dict[str, Any]:
        """Return the state of the node."""
        return {"role": "node"}

    async def serve(self, request: object) -> None:
        """Serve a client's request."""
        self.served.append(request)

    def handler_of(self, method: str, uri: str) -> str:
        """Return "node" where the node itself answers a request, or "client" where it is served as a client's."""
        node: Any = self
        stub: Any = SimpleNamespace(
            node=self,
            counts=SimpleNamespace(requests=0),
            open_requests=0,
            request_ended=SimpleNamespace(wake=lambda: None),
            serve=self.serve,
            refused={},
            status_calls=status_calls.StatusCalls(node),
        )
        request: Any = Request(method, uri)
        deferreds.result_of(defer.ensureDeferred(gateway.Gateway.handle(stub, request)))
        assert len(request.answers) + len(self.served) == 1
        return "client" if self.served else "node"


# Review case 7: a node that had just started answered a client's `GET /state` itself, with 200.
@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("query", QUERIES)
@pytest.mark.parametrize(
    "moment",
    [{"has_routes": False}, {}, {"draining": True}, {"draining": True, "has_routes": False}],
    ids=["first start", "configured", "draining", "draining without a route"],
)
def test_where_clients_send_any_method_the_node_answers_no_client_itself(
    method: str, path: str, query: str, moment: dict[str, bool]
) -> None:
    assert Node(any_method=True, **moment).handler_of(method, path + query) == "client"


def test_where_clients_only_post_the_node_answers_status_calls() -> None:
    for path in ("/state", edge_protocol.READY_PATH, "/state?verbose=1"):
        assert Node(any_method=False).handler_of("GET", path) == "node"
        assert Node(any_method=False).handler_of("POST", path) == "client"
    assert Node(any_method=False).handler_of("GET", "/other") == "client"


class TestStatusAddress:
    """The address for readiness polls, which clients don't use."""

    def answer(self, node: Node, method: str, path: str) -> int:
        """The status that a request gets there."""
        stub: Any = node
        request: Any = Request(method, path)
        deferreds.result_of(defer.ensureDeferred(status_calls.StatusCalls(stub).handle(request)))
        return int(request.answers[0])

    def test_readiness_and_state_are_answered(self) -> None:
        node = Node(any_method=True)
        assert [self.answer(node, "GET", path) for path in (edge_protocol.READY_PATH, "/state")] == [200, 200]

    def test_a_draining_node_notes_the_first_poll(self) -> None:
        node = Node(any_method=True, draining=True)
        assert (self.answer(node, "GET", edge_protocol.READY_PATH), node.drain_noticed_at_us) == (503, 7)

    def test_other_calls_are_refused(self) -> None:
        stub: Any = Node(any_method=True)
        request: Any = Request("GET", "/other")
        with pytest.raises(errors.ServiceError, match="no such path"):
            status_calls.StatusCalls(stub).handle(request).send(None)
