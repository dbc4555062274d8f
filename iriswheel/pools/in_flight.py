"""The load in flight: the grants that nodes hold, and their sums for each worker."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from iriswheel.pools import claims
    from iriswheel.transport import message


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """The pool owner's record of a grant that a node holds.

    Attributes:
        grant: The granted worker and the request's share of load.
        listed_at: When the node last listed the grant in a report, or else when it was granted, in µs.
        claim: The claim recorded with the grant, if any.
        charged_at: When the grant was charged to the retry budget, in µs; None if it was not.
    """

    grant: message.WorkerGrant
    listed_at: int
    claim: claims.Claim | None
    charged_at: int | None


class InFlightLoad:
    """The grants in flight on one worker, with their number of long prompts and their sum of work units.

    >>> import iriswheel.transport.message as message
    >>> load = InFlightLoad(); load.add(message.WorkerGrant("p", "a", "n", "w", "", 70, True))
    >>> len(load.grants), load.long_prompts, load.work
    (1, 1, 70)
    >>> load.drop("a"); load.drop("a"); len(load.grants), load.long_prompts, load.work
    (0, 0, 0)
    """

    __slots__ = ("grants", "long_prompts", "work")

    def __init__(self) -> None:
        self.grants: dict[str, message.WorkerGrant] = {}  # by attempt id
        self.long_prompts = 0
        self.work = 0

    def add(self, grant: message.WorkerGrant) -> None:
        """Add a grant, in place of an earlier one for the same attempt.

        >>> import iriswheel.transport.message as message
        >>> InFlightLoad().add(message.WorkerGrant("p", "a", "n", "w", "", 70, True))
        """
        self.drop(grant.attempt_id)
        self.grants[grant.attempt_id] = grant
        self.long_prompts += grant.long
        self.work += grant.work

    def drop(self, attempt_id: str) -> None:
        """Remove an attempt's grant, if there is one.

        >>> InFlightLoad().drop("a")
        """
        grant = self.grants.pop(attempt_id, None)
        if grant is not None:
            self.long_prompts -= grant.long
            self.work -= grant.work
