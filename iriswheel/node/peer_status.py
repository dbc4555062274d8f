"""Queries to a node's peers about their contact with the core, made while the node itself has none."""

from __future__ import annotations

import typing

import loguru
from twisted.internet import defer

from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire

if typing.TYPE_CHECKING:
    from iriswheel.node import follower

QUERY_DEADLINE_US = 700 * units.MILLISECOND_US
STATUS_VALIDITY_US = 1_200 * units.MILLISECOND_US
"""The time for which a peer's answer is valid; peers are asked twice a second."""

MAX_PEERS_QUERIED_WITH_SERVE_ON = 3
"""The most peers that a node with the option `serve_on` asks at a time."""

log = loguru.logger.bind(part="peer_status")


class ReceivedStatus(typing.NamedTuple):
    """A peer's newest answer, and the time (µs) when it was received."""

    received_at: int
    response: message.CoreStatusResponse


class PeerStatus:
    """The newest answers of a node's peers to the question whether they have contact with the core."""

    def __init__(self, follower: follower.Follower) -> None:
        self.follower = follower
        self.runtime = follower.runtime
        self.responses: dict[str, ReceivedStatus] = {}  # by member id

    def clear(self) -> None:
        """Forget all answers, once the node has contact with the core itself or was frozen."""
        self.responses = {}

    def _valid(self) -> dict[str, message.CoreStatusResponse]:
        """Return the answers that are still valid, by member id."""
        now = self.runtime.now()
        return {
            member: response
            for member, (received_at, response) in self.responses.items()
            if now - received_at < STATUS_VALIDITY_US
        }

    def any_has_newer_configuration(self, applied_index: int) -> bool:
        """Whether a peer that has contact with the core has applied a newer log index than `applied_index`."""
        return any(response.core and response.applied_index > applied_index for response in self._valid().values())

    def any_reaches_core(self) -> bool:
        """Whether any peer has contact with the core."""
        return any(response.core for response in self._valid().values())

    def without_core(self, applied_index: int) -> set[str]:
        """Return the ids of peers that have lost the core too and have applied no log index above `applied_index`."""
        return {
            member
            for member, response in self._valid().items()
            if not response.core and response.applied_index <= applied_index
        }

    def query(self) -> None:
        """Ask the peers whether they have contact with the core.

        A node asks all peers, since any of them may have contact with a core that accepts
        changes. A node with the option `serve_on` goes on serving in any case: it only needs the
        address of a core machine, and asks MAX_PEERS_QUERIED_WITH_SERVE_ON random peers.
        """
        peers = self.follower.peers()
        if self.follower.options.serve_on:
            peers = self.runtime.rng.sample(peers, min(MAX_PEERS_QUERIED_WITH_SERVE_ON, len(peers)))
        for peer in peers:
            self.runtime.spawn(self._query_peer(peer), log)

    async def _query_peer(self, peer: message.Member) -> None:
        query = message.CoreStatusQuery(self.follower.membership.version)
        call = self.follower.node.peers.call(peer.host, peer.port, query, QUERY_DEADLINE_US)
        try:
            response = await self.runtime.within(defer.ensureDeferred(call), QUERY_DEADLINE_US)
        except wire.ConnectionBrokenError as error:
            if not error.refused:
                return
            response = message.CoreStatusResponse(False, None)  # nothing listens on its port, so its process is dead
        except scheduler.DeadlineError:
            return
        self.responses[peer.id] = ReceivedStatus(self.runtime.now(), response)
        self.follower.apply_membership(response.membership)
        if response.core_address is not None:
            self.follower.session.address_hint = response.core_address
