"""Sends one request to all voters, and collects their answers until enough of them are positive."""

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
    """Sends requests to voters; this machine's own acceptor is asked directly, without the network."""

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
        """Send a request to all given voters and wait for their answers.

        Args:
            voters: The machines to ask; this machine may be one of them.
            request: The message to send.
            timeout_us: How long each voter may take; one that counts as dead gets at most DEAD_PEER_CALL_TIMEOUT_US.
            enough: Number of positive answers after which the remaining voters are not waited for; None to wait for
                all.

        Returns:
            The answers by voter id; None for a voter that did not answer.
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
        # a voter answers each request with the response type that belongs to it: see `Acceptor.answer`
        return typing.cast("acceptor.VoterResponse", await self.runtime.within(call, timeout_us))
