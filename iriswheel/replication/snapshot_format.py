"""The encoding of a replicated state as a snapshot, on disk and between replicas."""

from __future__ import annotations

import typing

import immutables
import msgspec

from iriswheel.configuration import differences, slices
from iriswheel.replication import replicated_state

if typing.TYPE_CHECKING:
    import collections.abc


class Snapshot(msgspec.Struct, array_like=True):
    """A replicated state as it is stored and sent; an array, so that the order of fields is the format.

    Snapshots of format 2 end after `plans`.
    """

    index: int
    view: int
    version: int
    items: dict[str, typing.Any]
    plans: list[tuple[str, replicated_state.Plan]]
    accepted_changes: dict[str, int] | None = None
    highest_dropped_number: int = 0


_decoder = msgspec.msgpack.Decoder(Snapshot)


def encode(state: replicated_state.ReplicatedState) -> bytes:
    """The snapshot of a state.

    >>> decode(encode(replicated_state.ReplicatedState(index=3))).index
    3
    """
    snapshot = Snapshot(
        state.index,
        state.view,
        state.version,
        dict(sorted(state.items.items())),
        sorted(state.plans.items()),
        dict(sorted(state.accepted_changes.items())),
        state.highest_dropped_number,
    )
    return msgspec.msgpack.encode(snapshot)


def decode(raw: bytes | bytearray) -> replicated_state.ReplicatedState:
    """The state of a snapshot.

    >>> decode(encode(replicated_state.ReplicatedState(version=2))).version
    2
    """
    snapshot = _decoder.decode(raw)
    plans = immutables.Map(snapshot.plans)
    accepted_changes, highest_dropped_number = snapshot.accepted_changes, snapshot.highest_dropped_number
    if accepted_changes is None:
        accepted_changes, highest_dropped_number = accepted_changes_in_format_2(plans)
    return replicated_state.ReplicatedState(
        index=snapshot.index,
        view=snapshot.view,
        version=snapshot.version,
        items=immutables.Map(snapshot.items),
        plans=plans,
        published=immutables.Map({key: slices.without_label(item) for key, item in snapshot.items.items()}),
        accepted_changes=immutables.Map(accepted_changes),
        highest_dropped_number=highest_dropped_number,
    )


def accepted_changes_in_format_2(
    plans: collections.abc.Mapping[str, replicated_state.Plan],
) -> tuple[dict[str, int], int]:
    """The changes taken and the highest number forgotten, of a snapshot that remembers only plans.

    Where so many plans are confirmed that older ones may have been dropped, every number
    below the lowest that is left counts as forgotten.

    >>> Plan = replicated_state.Plan
    >>> accepted_changes_in_format_2({"c0-4-0a": Plan(9, 0, [], 9), "9-0b": Plan(10, 9, [])})
    ({'c0-4-0a': 9}, 0)
    """
    accepted_changes = {identifier: plan.version for identifier, plan in plans.items() if plan.version}
    if len(accepted_changes) < replicated_state.MAX_PLANS:
        return accepted_changes, 0
    numbers = [differences.change_number(identifier) for identifier in accepted_changes]
    return accepted_changes, max(0, min((number for number in numbers if number), default=0) - 1)
