"""What a soak records for its judgement: attempts of clients, answers to operators, and faults of processes."""

from __future__ import annotations

import dataclasses
import enum
import time


class ChangeOutcome(enum.Enum):
    """The clear answer to a change."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"


class AttemptEnd(enum.Enum):
    """How the client saw an attempt end."""

    ANSWERED = "answered"  # a complete answer of any status
    CLOSED = "closed"  # the connection ended before the end of the answer
    TIMED_OUT = "timed out"


@dataclasses.dataclass
class Attempt:
    """One request that a client sent once; times in seconds of the monotonic clock."""

    identifier: str
    node: str
    path: str
    sent_at: float
    ended_at: float = 0.0
    end: AttemptEnd | None = None  # None while the client waits
    status: int = 0
    body: bytes = b""


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of the configuration, which adds one route."""

    number: int
    built_on: int
    path: str  # of the route that only this change and those built on it have


@dataclasses.dataclass(frozen=True)
class Interruption:
    """A time in which a process was killed or frozen by the soak; times in seconds of the monotonic clock."""

    name: str
    begun_at: float
    ended_at: float


@dataclasses.dataclass
class Records:
    """All records of one run."""

    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    outcomes: dict[int, ChangeOutcome] = dataclasses.field(default_factory=dict)  # by number of the change
    changes: dict[int, Change] = dataclasses.field(default_factory=dict)  # by number
    interruptions: list[Interruption] = dataclasses.field(default_factory=list)
    own_ends: list[str] = dataclasses.field(default_factory=list)  # processes that ended by themselves
    complaints: list[str] = dataclasses.field(default_factory=list)  # found while the soak runs
    actions: list[str] = dataclasses.field(default_factory=list)  # what the soak did, in order
    begun_at: float = dataclasses.field(default_factory=time.monotonic)

    def note(self, action: str) -> None:
        """Record an action of the soak with its time."""
        self.actions.append(f"{time.monotonic() - self.begun_at:.2f} s: {action}")

    def was_interrupted(self, name: str, since: float, until: float) -> bool:
        """Whether a process was killed or frozen by the soak at some time between two others."""
        return any(
            each.name == name and each.begun_at <= until and each.ended_at >= since for each in self.interruptions
        )
