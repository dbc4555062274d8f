"""Relaying to a worker by way of a peer, where this node does not reach the worker itself; both sides."""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.dataplane import attempt_outcome, client_disconnect, dispatch, edge_protocol
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces
    from iriswheel.transport import http_server

TOKEN_US = 700 * units.MILLISECOND_US  # how long a token is valid, and how long a peer may take to give one
TOKEN_BITS = 96


class RelayToken(typing.NamedTuple):
    """The right to one relayed request to a worker, until a time."""

    worker: str
    expires_at_us: int


NO_TOKEN = RelayToken("", 0)


async def request_token(local_node: interfaces.DataPlaneNode, peer: message.Member, worker: str) -> str:
    """Ask a peer for a relay token; returns "" where the peer can't help or does not answer."""
    try:
        response = await local_node.peers.call(peer.host, peer.port, message.RelayRequest(worker), TOKEN_US)
    except (wire.ConnectionBrokenError, scheduler.DeadlineError):
        return ""
    assert isinstance(response, message.RelayResponse)
    return response.token


class RelayServer:
    """Gives tokens to peers and passes their requests on to workers."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node
        self.runtime = node.runtime
        self.tokens: dict[str, RelayToken] = {}

    def issue_token(self, worker: str) -> str:
        """Return a token for one request of a peer to a worker, or "" where this node can't help."""
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
        self.tokens[name] = RelayToken(worker, now + TOKEN_US)
        return name

    def redeem_token(self, request: http_server.Request) -> message.Worker | None:
        """Use up the token that a peer's request carries; returns its worker while it is valid and ready."""
        name = edge_protocol.header(request.requestHeaders, edge_protocol.PASS)
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
        """Send a peer's request to its worker; cancelled when the peer disconnects."""
        assert request.content is not None, "the body is read before the request is handled"
        return await client_disconnect.run_until_disconnect(
            request, self.node.dispatcher.send(request, request.content.read(), worker, False, attempt)
        )

    def answer(self, request: http_server.Request, outcome: attempt_outcome.AttemptOutcome) -> None:
        """Tell the peer how the send ended, where the worker's own answer has not done so."""
        match outcome:
            case attempt_outcome.AttemptOutcome.INTERRUPTED:
                request.break_off()
            case attempt_outcome.AttemptOutcome.UNSENT | attempt_outcome.AttemptOutcome.BROKE:
                error = errors.ServiceError("no_worker", "The worker was not reached.")
                request.answer(error.status, error.body(), {edge_protocol.PASS: outcome.value})
