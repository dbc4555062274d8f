"""Claims: the pool owner's records that make a request run at most once in its pool.

A request that may not be repeated is claimed before its worker is granted. While the claim
is remembered, no other attempt of the same request gets a grant.
"""

from __future__ import annotations

import enum

from iriswheel.runtime import units
from iriswheel.transport import message

RETENTION_US = 600 * units.SECOND_US
"""How long a claim is remembered after its grant was made or released."""

REVOCATION_PREFIX = "pool/"
"""Attempt ids of claims that another pool's owner made, to forbid the request here, begin with this."""


class ClaimState(enum.StrEnum):
    """What is known of a claimed request."""

    CLAIMED = "claimed"
    RAN = "ran"


class Claim:
    """The claim on one request.

    Args:
        request_id: The request that may not be repeated.
        attempt_number: The number of the attempt, as the client or its node counts them.
        node: The member that holds the grant.
        attempt_id: The attempt that was granted a worker.
        expires_at_us: When the claim may be forgotten, in µs on this process's clock.
        state: What is known of the request.

    >>> Claim("e", 1, "n", "a", 0).state.value
    'claimed'
    """

    __slots__ = ("attempt_id", "attempt_number", "expires_at_us", "node", "request_id", "state")

    def __init__(
        self,
        request_id: str,
        attempt_number: int,
        node: str,
        attempt_id: str,
        expires_at_us: int,
        *,
        state: ClaimState = ClaimState.CLAIMED,
    ) -> None:
        self.request_id = request_id
        self.attempt_number = attempt_number
        self.node = node
        self.attempt_id = attempt_id
        self.expires_at_us = expires_at_us
        self.state = state

    def export(self, now: int) -> message.Claim:
        """Return the claim as a message, with the time that is left of it at `now`.

        >>> Claim("e", 1, "n", "a", 9).export(4).left_us
        5
        """
        return message.Claim(
            self.request_id,
            self.attempt_number,
            self.node,
            self.attempt_id,
            self.state.value,
            max(0, self.expires_at_us - now),
        )

    def is_revocation(self) -> bool:
        """Whether another pool's owner made this claim, to forbid the request here.

        >>> Claim("e", 0, "n", "pool/other", 0).is_revocation()
        True
        """
        return self.attempt_id.startswith(REVOCATION_PREFIX)

    def covers_attempt(self, attempt_id: str) -> bool:
        """Whether an attempt id belongs to the very call that made this claim, asked again.

        >>> claim = Claim("e", 1, "n", "n-7/0", 0)
        >>> claim.covers_attempt("n-7/1"), claim.covers_attempt("n-8/0")
        (True, False)
        """
        return self.attempt_id.rpartition("/")[0] == attempt_id.rpartition("/")[0]


def from_message(record: message.Claim, now: int) -> Claim:
    """Return the claim that a message holds.

    >>> from_message(message.Claim("e", 1, "n", "a", "ran", 5), now=4).expires_at_us
    9
    """
    state = ClaimState.RAN if record.state == ClaimState.RAN else ClaimState.CLAIMED
    return Claim(record.request_id, record.attempt, record.node, record.attempt_id, now + record.left_us, state=state)
