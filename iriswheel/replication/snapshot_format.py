"""The encoding of a replicated state as a snapshot, which is stored on disk and sent between replicas."""

from __future__ import annotations

import typing

import immutables
import msgspec

from iriswheel.configuration import differences, slices
from iriswheel.replication import replicated_state

if typing.TYPE_CHECKING:
    import collections.abc


class Snapshot(msgspec.Struct, array_like=True):
    """A replicated state as it is stored and sent. It is encoded as an array, so the order of fields is the format.

    Snapshots of data format 2 end after `plans`.
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
    """Encode a state as a snapshot.

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
    """Decode the state from a snapshot of the current format or of format 2.

    >>> decode(encode(replicated_state.ReplicatedState(version=2))).version
    2
    """
    snapshot = _decoder.decode(raw)
    # each plan gets its own copy of its changes: one that refers to `raw` would keep all of it in memory
    plans = immutables.Map(
        {identifier: plan._replace(encoded_changes=plan.encoded_changes.copy()) for identifier, plan in snapshot.plans}
    )
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
    """The accepted changes and the highest dropped number, derived from the plans of a snapshot of format 2.

    If the snapshot holds as many confirmed plans as the bound allows, older ones may have been dropped.
    Then every number below the lowest remaining one counts as dropped.

    >>> Plan = replicated_state.Plan
    >>> accepted_changes_in_format_2({"c0-4-0a": Plan(9, 0, version=9), "9-0b": Plan(10, 9)})
    ({'c0-4-0a': 9}, 0)
    """
    accepted_changes = {identifier: plan.version for identifier, plan in plans.items() if plan.version}
    if len(accepted_changes) < replicated_state.MAX_PLANS:
        return accepted_changes, 0
    numbers = [differences.change_number(identifier) for identifier in accepted_changes]
    return accepted_changes, max(0, min((number for number in numbers if number), default=0) - 1)
