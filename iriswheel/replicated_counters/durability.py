"""The rule for acknowledging an add, as a pure function of the machines that hold it and those that can be reached."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    import collections.abc

Machine = typing.TypeVar("Machine", bound="collections.abc.Hashable")


def is_durable(
    holders: collections.abc.Set[Machine],
    writable: collections.abc.Set[Machine],
    copies: int,
    *,
    own: Machine,
    reachability_known: bool,
) -> bool:
    """Whether an add may be acknowledged as durable.

    It may once `copies` machines hold it. During a partition that leaves fewer machines within reach, it may once all
    machines that can be written to hold it, this one among them.

    Args:
        holders: The machines that hold the add synced on their disks.
        writable: The machines that can sync an add now, because they can be reached and their disks work.
        copies: How many machines must hold an add while there is no partition.
        own: The machine that acknowledges. With fewer than `copies` holders its own disk must be one of them: an add
            acknowledged during a partition may be lost only if the disk of the acknowledging machine is lost.
        reachability_known: Whether this process has run for long enough to know which machines can be reached. Just
            after a start the other machines may be starting too, so that their silence does not mean a partition.

    >>> is_durable({"a", "b"}, {"a", "b", "c"}, 3, own="a", reachability_known=True)
    False
    >>> is_durable({"a", "b"}, {"a", "b"}, 3, own="a", reachability_known=True)  # partition: all in reach hold it
    True
    >>> is_durable({"b"}, {"b"}, 3, own="a", reachability_known=True)  # the own disk does not work
    False
    >>> is_durable({"a", "b"}, {"a", "b"}, 3, own="a", reachability_known=False)
    False
    """
    if len(holders) >= copies:
        return True
    return reachability_known and own in holders and writable <= holders
