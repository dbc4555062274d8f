"""What the peers of a node say of the core, while the node itself has lost it."""

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
"""How long a peer's answer counts; peers are asked twice a second."""

MAX_PEERS_QUERIED_WITH_SERVE_ON = 3
"""How many peers a node asks that serves on without the core."""

log = loguru.logger.bind(part="peer_status")


class ReceivedStatus(typing.NamedTuple):
    """A peer's newest answer, and when it came (µs)."""

    received_at: int
    response: message.CoreStatusResponse


class PeerStatus:
    """The newest answers of a node's peers to the question whether they hear the core."""

    def __init__(self, follower: follower.Follower) -> None:
        self.follower = follower
        self.runtime = follower.runtime
        self.responses: dict[str, ReceivedStatus] = {}  # by member

    def clear(self) -> None:
        """Forget all answers: the node hears the core itself, or was frozen."""
        self.responses = {}

    def _valid(self) -> dict[str, message.CoreStatusResponse]:
        """The answers that still count, by member."""
        now = self.runtime.now()
        return {
            member: response
            for member, (received_at, response) in self.responses.items()
            if now - received_at < STATUS_VALIDITY_US
        }

    def any_has_newer_configuration(self, applied_index: int) -> bool:
        """Whether a peer that is in touch with the core has a newer configuration than `applied_index`."""
        return any(response.core and response.applied_index > applied_index for response in self._valid().values())

    def any_reaches_core(self) -> bool:
        """Whether a peer is in touch with the core."""
        return any(response.core for response in self._valid().values())

    def without_core(self, applied_index: int) -> set[str]:
        """Return the peers that have lost the core too, and have no newer configuration than `applied_index`."""
        return {
            member
            for member, response in self._valid().items()
            if not response.core and response.applied_index <= applied_index
        }

    def query(self) -> None:
        """Ask the peers whether they hear the core.

        All of them, since one that may be with a core that takes changes must be heard; but a
        node that serves on in any case only wants to know where the core is, and asks a few.
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
            response = message.CoreStatusResponse(False, None)  # its process is dead
        except scheduler.DeadlineError:
            return
        self.responses[peer.id] = ReceivedStatus(self.runtime.now(), response)
        self.follower.apply_membership(response.membership)
        if response.core_address is not None:
            self.follower.session.address_hint = response.core_address
