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
    settled: bool,
) -> bool:
    """Whether an add survives what must be borne, as far as that can be had now.

    Args:
        holders: The machines that hold the add synced on their disks.
        writable: The machines that may sync an add now: this one with a working disk, and the others that answer.
        copies: How many machines must hold an add.
        settled: Whether this process has run for long enough to know who can be reached. Just after a start the
            others may be starting too, and their silence is no cut.

    >>> is_durable({"a", "b"}, {"a", "b", "c"}, 3, settled=True)
    False
    >>> is_durable({"a", "b"}, {"a", "b"}, 3, settled=True)  # cut off: all that can be reached hold it
    True
    >>> is_durable({"a", "b"}, {"a", "b"}, 3, settled=False)
    False
    """
    if len(holders) >= copies:
        return True
    return settled and bool(writable) and writable <= holders
