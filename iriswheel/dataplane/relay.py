"""Relaying of a request by way of another node (peer), where a node can't reach the worker itself.

`request_token` is the side of the node that has the client, `RelayServer` that of the peer that reaches the worker.
"""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.dataplane import attempt_outcome, client_disconnect, dispatch, edge_protocol
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces
    from iriswheel.transport import http_server

TOKEN_VALIDITY_US = 700 * units.MILLISECOND_US  # lifetime of a token, and time-out of the call to a peer for one
TOKEN_BITS = 96  # random bits in the name of a token


class RelayToken(typing.NamedTuple):
    """The right of a peer to have one request relayed to a worker before the token expires."""

    worker: str
    expires_at_us: int


NO_TOKEN = RelayToken("", 0)


async def request_token(local_node: interfaces.DataPlaneNode, peer: message.Member, worker: str) -> str:
    """Ask a peer for a relay token; returns "" where the peer can't reach the worker either, or does not answer."""
    try:
        response = await local_node.peers.call(peer.host, peer.port, message.RelayRequest(worker), TOKEN_VALIDITY_US)
    except (wire.ConnectionBrokenError, scheduler.DeadlineError):
        return ""
    assert isinstance(response, message.RelayResponse)
    return response.token


class RelayServer:
    """Issues relay tokens to peers and sends the peers' requests to workers."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node
        self.runtime = node.runtime
        self.tokens: dict[str, RelayToken] = {}

    def issue_token(self, worker: str) -> str:
        """Return the name of a new token for one request to a worker, or "" where this node can't relay to it.

        A node relays only to a worker that accepts requests and can be reached, and only while it needs no
        rejoin and its worker list is recent.
        """
        follower, now = self.node.follower, self.runtime.now()
        for expired in [name for name, token in self.tokens.items() if token.expires_at_us < now]:
            del self.tokens[expired]
        if (
            not follower.accepts_requests(worker)
            or worker in self.node.reachability.unreachable_since
            or follower.needs_rejoin()
            or not follower.has_worker_update()
        ):
            return ""
        name = f"{self.runtime.rng.getrandbits(TOKEN_BITS):024x}"
        self.tokens[name] = RelayToken(worker, now + TOKEN_VALIDITY_US)
        return name

    def redeem_token(self, request: http_server.Request) -> message.Worker | None:
        """Take the token that a peer's request carries out of use, and return its worker.

        Returns None where the token is unknown or has expired, or where the worker accepts no requests any more.
        """
        name = edge_protocol.header(request.requestHeaders, edge_protocol.RELAY_HEADER)
        token = self.tokens.pop(name or "", NO_TOKEN)
        worker = self.node.follower.workers_by_id.get(token.worker)
        if worker is None or self.runtime.now() >= token.expires_at_us:
            return None
        if not self.node.follower.accepts_requests(worker.id):
            return None
        return worker

    async def send(
        self, request: http_server.Request, worker: message.Worker, attempt: dispatch.Attempt
    ) -> attempt_outcome.AttemptOutcome:
        """Send a peer's request to its worker; the work is cancelled when the peer disconnects."""
        return await client_disconnect.run_until_disconnect(
            request, self.node.dispatcher.send(request, request.take_body(), worker, False, attempt)
        )

    def answer(self, request: http_server.Request, outcome: attempt_outcome.AttemptOutcome) -> None:
        """Report to the peer how the send ended, unless the worker's answer has been passed on completely.

        An answer that broke off is broken off towards the peer too. Where no byte came, the relay header holds the
        outcome.
        """
        match outcome:
            case attempt_outcome.AttemptOutcome.INTERRUPTED:
                request.break_off()
            case attempt_outcome.AttemptOutcome.UNSENT | attempt_outcome.AttemptOutcome.BROKE:
                error = errors.ServiceError("no_worker", "The worker was not reached.")
                request.answer(error.status, error.body(), {edge_protocol.RELAY_HEADER: outcome.value})
