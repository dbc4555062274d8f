"""Messages by which core machines replicate the increments (adds) of counters."""

import typing

import msgspec

import iriswheel.transport.messages.base as message_base

Interval: typing.TypeAlias = tuple[int, int]  # first and last sequence number, both included
HeldIntervals: typing.TypeAlias = dict[str, list[Interval]]  # origin -> intervals of the adds held


class CounterAdd(message_base.Message, tag="Add", frozen=True, gc=False):
    """One add to a counter; `sequence` numbers the adds that one origin accepted."""

    sequence: int
    name: str  # name of the counter
    id: str  # chosen by the caller; an add repeated under the same id counts once per counter
    amount: int


class OriginAdds(message_base.Message, tag="Adds", frozen=True):
    """Adds of one origin, which is the core machine, in one incarnation, that accepted them."""

    origin: str
    adds: list[CounterAdd]


class ReplicateAdds(message_base.Message, tag="CountOn", frozen=True):
    """The adds that the receiver lacks according to the sender, and optionally a digest for anti-entropy."""

    sender: str  # origin of the sender: machine and incarnation
    batches: list[OriginAdds]
    digest: bytes = b""  # digest of all adds that the sender holds; empty if nothing is to be compared


class ReplicateAddsResponse(message_base.Message, tag="CountedOn", frozen=True):
    """The answer to `ReplicateAdds`: the adds that the answering machine holds synced on its disk."""

    sender: str  # origin of the sender: machine and incarnation
    disk_ok: bool
    complete: bool  # whether `held` covers all origins, not only those of the request
    same: bool = False  # whether the request's digest equals that of the answering machine; `held` is then empty
    held: HeldIntervals = msgspec.field(default_factory=dict)
