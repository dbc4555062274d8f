"""The load in flight: grants that nodes hold, counted by worker."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from iriswheel.pools import claims
    from iriswheel.transport import message


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """A grant that a node holds, as its pool owner knows it.

    Attributes:
        grant: What was granted.
        listed_at: When the node last listed the grant (or got it), in µs.
        claim: The claim made with it, if any.
        charged_at: When the retry budget was charged for it, in µs; None where it was not.
    """

    grant: message.WorkerGrant
    listed_at: int
    claim: claims.Claim | None
    charged_at: int | None


class InFlightLoad:
    """What one worker has in flight, added up.

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
        """Count a grant.

        >>> import iriswheel.transport.message as message
        >>> InFlightLoad().add(message.WorkerGrant("p", "a", "n", "w", "", 70, True))
        """
        self.drop(grant.attempt_id)
        self.grants[grant.attempt_id] = grant
        self.long_prompts += grant.long
        self.work += grant.work

    def drop(self, attempt_id: str) -> None:
        """Count a grant no more.

        >>> InFlightLoad().drop("a")
        """
        grant = self.grants.pop(attempt_id, None)
        if grant is not None:
            self.long_prompts -= grant.long
            self.work -= grant.work
