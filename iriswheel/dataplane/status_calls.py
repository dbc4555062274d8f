"""The calls by which the platform and operators ask a node for its readiness and its state."""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.dataplane import edge_protocol

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces
    from iriswheel.transport import http_server


class StatusCalls:
    """Answers the status calls of one node."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node

    def answer(self, request: http_server.Request) -> bool:
        """Answer a request if it is a status call; returns whether it is one."""
        if request.method != b"GET":
            return False
        match request.path.decode("latin-1"):
            case edge_protocol.READY_PATH:
                self.answer_readiness(request)
            case edge_protocol.STATE_PATH:
                request.answer_json(200, self.node.state())
            case _:
                return False
        return True

    def answer_readiness(self, request: http_server.Request) -> None:
        """Answer whether the node is ready.

        A draining node records the time of the first such call: the platform has then learnt that the node is leaving,
        and soon sends it no more clients.
        """
        if self.node.draining:
            self.node.drain_noticed_at_us = self.node.drain_noticed_at_us or self.node.runtime.now()
        request.answer_json(*self.node.edge_protocol.readiness_answer(*self.node.ready()))

    async def handle(self, request: http_server.Request) -> None:
        """Answer a request at an address for status calls alone.

        Raises:
            errors.ServiceError: `not_found`, if the request is no status call.
        """
        if not self.answer(request):
            raise errors.ServiceError("not_found", "There is no such path.")
