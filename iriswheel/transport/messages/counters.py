"""Messages by which core machines replicate the adds to counters."""

import typing

import msgspec

import iriswheel.transport.messages.base as message_base

Interval: typing.TypeAlias = tuple[int, int]  # of sequence numbers: the first and the last
HeldIntervals: typing.TypeAlias = dict[str, list[Interval]]  # by origin


class CounterAdd(message_base.Message, tag="Add", frozen=True, gc=False):
    """One add to a counter, the `sequence`-th that its origin accepted."""

    sequence: int
    name: str  # of the counter
    id: str  # chosen by the caller; it counts once for each counter
    amount: int


class OriginAdds(message_base.Message, tag="Adds", frozen=True):
    """Adds of one origin: the incarnation of a core machine that accepted them."""

    origin: str
    adds: list[CounterAdd]


class ReplicateAdds(message_base.Message, tag="CountOn", frozen=True):
    """Adds that the receiver lacks, as far as the sender knows; and perhaps a digest to compare."""

    sender: str  # its origin: machine and incarnation
    batches: list[OriginAdds]
    digest: bytes = b""  # of all that the sender holds; empty where nothing is to be compared


class ReplicateAddsResponse(message_base.Message, tag="CountedOn", frozen=True):
    """The answer to `ReplicateAdds`: what its sender holds, synced on its disk."""

    sender: str  # its origin: machine and incarnation
    disk_ok: bool
    complete: bool  # whether `held` is all that is held there, and not only the origins of the request
    same: bool = False  # whether the digest was the same as here; `held` is then empty
    held: HeldIntervals = msgspec.field(default_factory=dict)
