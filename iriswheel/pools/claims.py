"""Claims: the pool owner's records that make a request run at most once in its pool.

The pool owner records a claim on a request that must not run twice before it grants a worker to it. Until the claim
expires, no other attempt of the same request gets a grant.
"""

from __future__ import annotations

import enum

from iriswheel.runtime import units
from iriswheel.transport import message

RETENTION_US = 600 * units.SECOND_US
"""Time after the grant, or after its release, at which a claim expires."""

REVOCATION_PREFIX = "pool/"
"""Start of the attempt id of a revocation, a claim recorded on behalf of another pool; that pool's name follows."""


class ClaimState(enum.StrEnum):
    """What the pool owner knows about the execution of a claimed request."""

    CLAIMED = "claimed"  # a worker was granted; the request may have run
    RAN = "ran"  # the grant has ended, and the request ran or may have run


class Claim:
    """The claim on one request.

    Args:
        request_id: The request that must not run twice.
        attempt_number: The client's number of the attempt, from 1; 0 if it is unknown or the claim is a revocation.
        node: The member that holds the grant.
        attempt_id: The attempt that was granted a worker.
        expires_at_us: When the claim expires, in µs on this process's clock.
        state: What is known about the request's execution.

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
        """Return the claim as a message, with the time from `now` until it expires.

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
        """Whether the claim was recorded on behalf of another pool, so that a late first attempt is refused here.

        >>> Claim("e", 0, "n", "pool/other", 0).is_revocation()
        True
        """
        return self.attempt_id.startswith(REVOCATION_PREFIX)

    def covers_attempt(self, attempt_id: str) -> bool:
        """Whether an attempt comes from the same call at a node as the claim: the ids are equal up to the last slash.

        >>> claim = Claim("e", 1, "n", "n-7/0", 0)
        >>> claim.covers_attempt("n-7/1"), claim.covers_attempt("n-8/0")
        (True, False)
        """
        return self.attempt_id.rpartition("/")[0] == attempt_id.rpartition("/")[0]


def from_message(record: message.Claim, now: int) -> Claim:
    """Return the claim that a message holds; its remaining time counts from `now`.

    >>> from_message(message.Claim("e", 1, "n", "a", "ran", 5), now=4).expires_at_us
    9
    """
    state = ClaimState.RAN if record.state == ClaimState.RAN else ClaimState.CLAIMED
    return Claim(record.request_id, record.attempt, record.node, record.attempt_id, now + record.left_us, state=state)
