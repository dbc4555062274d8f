"""The counters that a pool owner keeps for its term, which `GET /state` shows."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class SelectionCounts:
    """Counts of the selections that one pool owner was asked for, and of their results.

    >>> SelectionCounts(selections=2).state()["elects"]
    2
    """

    selections: int = 0  # `SelectWorker` requests received
    affinity_hits: int = 0  # grants of the worker on which the request's session was open
    opened_sessions: int = 0
    closed_sessions: int = 0  # sessions expired, moved to another worker, or of a worker that accepts no requests
    claims: int = 0  # claims recorded on requests that must not run twice
    denials: int = 0  # denials, of selections that ended without a grant

    def state(self) -> dict[str, int]:
        """Return the counts under their names in `GET /state`."""
        return {
            "elects": self.selections,
            "pinned": self.affinity_hits,
            "opened": self.opened_sessions,
            "closed": self.closed_sessions,
            "claims": self.claims,
            "denied": self.denials,
        }
