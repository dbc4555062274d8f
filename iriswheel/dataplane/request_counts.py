"""Counters of requests and attempts since the process started, which `GET /state` shows."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class GatewayCounts:
    """Counts of a node's gateway; all but `requests` concern pools with an owner.

    >>> GatewayCounts(requests=2).state()["exchanges"]
    2
    """

    requests: int = 0  # taken from clients, for pools of both kinds
    completed: int = 0  # requests whose whole answer went to the client
    interrupted: int = 0  # requests whose answer broke off after it had begun
    retries: int = 0  # attempts by this node or the client after one that may have run
    bypasses: int = 0  # attempts sent to a session's known worker, as the owner was silent
    relayed: int = 0  # attempts sent by way of another node
    disconnected: int = 0  # requests whose client went away before they ended

    def state(self) -> dict[str, int]:
        """Return the counts under the names that operators know."""
        return {
            "exchanges": self.requests,
            "whole": self.completed,
            "torn": self.interrupted,
            "repeats": self.retries,
            "bypass": self.bypasses,
            "passed": self.relayed,
            "gone": self.disconnected,
        }


@dataclasses.dataclass(slots=True)
class ForwarderCounts:
    """Counts of a node's forwarder, in pools whose workers the node selects itself.

    >>> ForwarderCounts(attempts=3).state()["sends"]
    3
    """

    attempts: int = 0  # sent over a connection to a worker
    completed: int = 0  # requests whose whole answer came
    resumed: int = 0  # answers that went on from another worker after they had begun
    retried: int = 0  # attempts at another worker before an answer had begun
    broken: int = 0  # attempts whose connection broke off, or brought what is no answer
    refused: int = 0  # attempts of which the worker said that it did not run them
    unreached: int = 0  # attempts for which no connection to the worker could be had
    silent: int = 0  # attempts ended here for their silence, to be sent to another worker
    disconnected: int = 0  # requests whose client went away before they ended
    late: int = 0  # requests whose time was over while an attempt was under way

    def state(self) -> dict[str, int]:
        """Return the counts under the names that operators know."""
        return {
            "sends": self.attempts,
            "whole": self.completed,
            "resumed": self.resumed,
            "again": self.retried,
            "broke": self.broken,
            "unrun": self.refused,
            "unreached": self.unreached,
            "mute": self.silent,
            "gone": self.disconnected,
            "late": self.late,
        }
