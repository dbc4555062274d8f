"""The tail's read lease, which a majority of the voters grants and renews.

A voter that has granted the lease promises the next view to no other machine until the grant expires. So while a
majority has granted it, no other tail can serve newer state, and reads at this tail are current.
"""

from __future__ import annotations

import typing

from iriswheel.consensus import decisions, timing
from iriswheel.runtime import scheduler
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.consensus import acceptor, voter_calls


class TailLease:
    """Obtains and renews the read lease while this machine is the tail."""

    def __init__(
        self, runtime: scheduler.Runtime, view_acceptor: acceptor.Acceptor, calls: voter_calls.VoterCalls
    ) -> None:
        self.runtime = runtime
        self.acceptor = view_acceptor
        self.calls = calls
        # called when the lease is obtained and was not held before
        self.on_obtained: collections.abc.Callable[[], object] = lambda: None
        self.renew_now = scheduler.Signal()  # woken when this machine may have become the synced tail
        self._expires_at_us = 0

    def is_held(self) -> bool:
        """Whether this machine is the synced tail and holds the lease now."""
        return self.acceptor.may_request_read_lease() and self.runtime.now() < self._expires_at_us

    def revoke(self) -> None:
        """Give up the lease at once, since its view is sealed or has been replaced."""
        self._expires_at_us = 0

    async def keep_renewed(self) -> None:
        """Renew the lease every LEASE_RENEWAL_INTERVAL_US while this machine is the tail; never returns."""
        while True:
            view = self.acceptor.view
            if view is not None and self.acceptor.may_request_read_lease() and self.acceptor.disk.ok:
                await self._renew(view)
            await self.runtime.pause(self.renew_now, timing.LEASE_RENEWAL_INTERVAL_US)

    async def _renew(self, view: message.View) -> None:
        asked_at_us = self.runtime.now()  # every grant starts later, so the lease ends here before any grant ends
        quorum = decisions.majority(len(view.voters))
        answers = await self.calls.call_all(
            view.voters,
            message.LeaseRequest(view.number, self.acceptor.own_voter.id),
            timing.LEASE_CALL_TIMEOUT_US,
            enough=quorum,
        )
        granted = [answer for answer in answers.values() if answer is not None and answer.ok]
        newest = self.acceptor.view
        is_current = newest is not None and newest.number == view.number and self.acceptor.is_serving()
        if len(granted) >= quorum and is_current and self.acceptor.disk.ok:
            was_held = self.is_held()
            self._expires_at_us = max(self._expires_at_us, asked_at_us + timing.LEASE_US - timing.CLOCK_DRIFT_US)
            if not was_held:
                self.on_obtained()
