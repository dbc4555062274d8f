"""A configured route takes precedence over the node's own status calls on the same path."""

from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet import defer
from twisted.web import http_headers

from iriswheel.dataplane import edge_protocol, gateway
from tests import deferreds


class Request:
    """A GET request that records the node's own answers to it."""

    method = b"GET"

    def __init__(self, path: bytes) -> None:
        self.path = path
        self.requestHeaders = http_headers.Headers({"Host": ["a.example"]})
        self.answers: list[object] = []

    def answer_json(self, status: int, _document: object) -> None:
        """Record the status of the node's own answer."""
        self.answers.append(status)


def handled_by(path: bytes, routed: str, *, any_method: bool) -> str:
    """Return "node" where the node itself answers a GET of `path`, or "client" where it is served as a client's."""
    formats = edge_protocol.EdgeProtocol()
    formats.accepts_any_method = any_method
    served: list[object] = []
    node = SimpleNamespace(
        edge_protocol=formats,
        follower=SimpleNamespace(find_route=lambda _host, found: "a route" if found == routed else None),
        draining=False,
        ready=lambda: (True, ""),
        state=dict,
    )

    async def serve(request: object) -> None:
        served.append(request)

    stub: Any = SimpleNamespace(
        node=node,
        counts=SimpleNamespace(requests=0),
        open_requests=0,
        request_ended=SimpleNamespace(wake=lambda: None),
        serve=serve,
        refused={},
    )
    stub._is_routed = lambda request: gateway.Gateway._is_routed(stub, request)
    request: Any = Request(path)
    deferreds.result_of(defer.ensureDeferred(gateway.Gateway.handle(stub, request)))
    return "client" if served else "node"


@pytest.mark.parametrize("path", ["/state", edge_protocol.READY_PATH])
def test_a_routed_path_goes_to_a_worker(path: str) -> None:
    assert handled_by(path.encode(), path, any_method=True) == "client"
    assert handled_by(path.encode(), "/other", any_method=True) == "node"


def test_where_clients_only_post_the_node_answers_each_get() -> None:
    assert handled_by(b"/state", "/state", any_method=False) == "node"
