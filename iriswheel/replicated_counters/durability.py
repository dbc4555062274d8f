"""When an add may be acknowledged: a pure decision over who holds it and who can be reached."""

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
    """Whether an add survives what must be borne, as far as that can be had now.

    Args:
        holders: The machines that hold the add synced on their disks.
        writable: The machines that may sync an add now: this one with a working disk, and the others that answer.
        copies: How many machines must hold an add.
        own: The machine that acknowledges. Where fewer than `copies` can be had its own disk must be among them: of
            an add that it acknowledges in a cut only the loss of its own disk is borne by nobody.
        settled: Whether this process has run for long enough to know who can be reached. Just after a start the
            others may be starting too, and their silence is no cut.

    >>> is_durable({"a", "b"}, {"a", "b", "c"}, 3, own="a", reachability_known=True)
    False
    >>> is_durable({"a", "b"}, {"a", "b"}, 3, own="a", reachability_known=True)  # cut off: all that can be reached hold it
    True
    >>> is_durable({"b"}, {"b"}, 3, own="a", reachability_known=True)  # its own disk does not work
    False
    >>> is_durable({"a", "b"}, {"a", "b"}, 3, own="a", reachability_known=False)
    False
    """
    if len(holders) >= copies:
        return True
    return reachability_known and own in holders and writable <= holders
