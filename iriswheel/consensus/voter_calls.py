"""Calls of one request to all voters, with their answers collected until enough of them are positive."""

from __future__ import annotations

import typing

from twisted.internet import defer
from twisted.python import failure

from iriswheel.consensus import timing

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.consensus import acceptor, peer_heartbeats
    from iriswheel.runtime import scheduler
    from iriswheel.transport import message, peer_calls


class VoterCalls:
    """Puts requests to voters; the one on this machine is asked without the network."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        peers: peer_calls.PeerCalls,
        view_acceptor: acceptor.Acceptor,
        heartbeats: peer_heartbeats.PeerHeartbeats,
    ) -> None:
        self.runtime = runtime
        self.peers = peers
        self.acceptor = view_acceptor
        self.heartbeats = heartbeats

    async def call_all(
        self,
        voters: collections.abc.Sequence[message.Voter],
        request: acceptor.VoterRequest,
        timeout_us: int,
        enough: int | None = None,
    ) -> dict[str, acceptor.VoterResponse | None]:
        """Put a request to all voters, this machine included.

        Args:
            voters: The machines to ask.
            request: What they are asked.
            timeout_us: How long each may take; machines that count as dead have a shorter time.
            enough: After so many positive answers nobody is waited for any more.

        Returns:
            The answers by voter, None where none came.
        """
        answers: dict[str, acceptor.VoterResponse | None] = {}
        complete: defer.Deferred[None] = defer.Deferred()

        def collect(answer: acceptor.VoterResponse | failure.Failure, identifier: str) -> None:
            answers[identifier] = None if isinstance(answer, failure.Failure) else answer
            positive = len([received for received in answers.values() if received is not None and received.ok])
            is_done = len(answers) == len(voters) or (enough is not None and positive >= enough)
            if is_done and not complete.called:
                complete.callback(None)

        alive = self.heartbeats.alive()
        for voter in voters:
            voter_timeout_us = timeout_us if voter.id in alive else min(timeout_us, timing.DEAD_PEER_CALL_TIMEOUT_US)
            defer.ensureDeferred(self._call(voter, request, voter_timeout_us)).addBoth(collect, voter.id)
        await complete
        return {voter.id: answers.get(voter.id) for voter in voters}

    async def _call(
        self, voter: message.Voter, request: acceptor.VoterRequest, timeout_us: int
    ) -> acceptor.VoterResponse:
        if voter.id == self.acceptor.own_voter.id:
            return await self.acceptor.answer(request)
        call = defer.ensureDeferred(self.peers.call(voter.host, voter.port, request, timeout_us))
        # a voter answers a request by the response of that request: see `Acceptor.answer`
        return typing.cast("acceptor.VoterResponse", await self.runtime.within(call, timeout_us))
