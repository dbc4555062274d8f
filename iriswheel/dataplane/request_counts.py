"""Counters of requests and attempts since the process started, which `GET /state` shows."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class GatewayCounts:
    """Counts of a node's gateway; all but `requests` cover only pools whose owner selects the workers.

    >>> GatewayCounts(requests=2).state()["exchanges"]
    2
    """

    requests: int = 0  # requests received from clients, for all pools
    completed: int = 0  # requests whose complete answer was sent to the client
    interrupted: int = 0  # requests whose answer broke off after its first byte
    retries: int = 0  # attempts, by this node or the client, after an earlier one that may have run
    bypasses: int = 0  # attempts sent to a session's known worker because the pool's owner was silent
    relayed: int = 0  # attempts relayed through another node
    disconnected: int = 0  # requests whose client disconnected before the end

    def state(self) -> dict[str, int]:
        """Return the counts under their keys in `GET /state`."""
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
    """Counts of a node's forwarder, which serves the pools whose workers the node selects itself.

    >>> ForwarderCounts(attempts=3).state()["sends"]
    3
    """

    attempts: int = 0  # attempts sent over a connection to a worker
    completed: int = 0  # requests whose complete answer was received
    resumed: int = 0  # answers continued by another worker after their first byte
    retried: int = 0  # attempts at another worker before the first byte of an answer
    broken: int = 0  # attempts whose connection broke or delivered an invalid answer
    refused: int = 0  # attempts that the worker rejected without running them
    unreached: int = 0  # attempts for which no connection to the worker could be made
    silent: int = 0  # attempts cancelled because the worker was silent, so that another worker gets the request
    disconnected: int = 0  # requests whose client disconnected before the end
    late: int = 0  # requests whose deadline passed during an attempt

    def state(self) -> dict[str, int]:
        """Return the counts under their keys in `GET /state`."""
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
