"""Counters of a pool owner since it took up its role, which `GET /state` shows."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class SelectionCounts:
    """What one pool owner was asked and how it answered.

    >>> SelectionCounts(selections=2).state()["elects"]
    2
    """

    selections: int = 0  # requests of nodes for a worker
    affinity_hits: int = 0  # grants at the worker of an open session
    opened_sessions: int = 0
    closed_sessions: int = 0  # expired, moved to another worker, or of a worker that is no longer ready
    claims: int = 0  # claims made on requests that may not be repeated
    denials: int = 0

    def state(self) -> dict[str, int]:
        """Return the counts under the names that operators know."""
        return {
            "elects": self.selections,
            "pinned": self.affinity_hits,
            "opened": self.opened_sessions,
            "closed": self.closed_sessions,
            "claims": self.claims,
            "denied": self.denials,
        }
