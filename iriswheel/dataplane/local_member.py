"""The identity under which this process takes part in the membership."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces


def member_id(local_node: interfaces.MemberProcess) -> str:
    """Return the member id of a node that has started.

    Args:
        local_node: The node of this process; it gets its member record when its ports are bound.
    """
    member = local_node.member_record
    assert member is not None, "a node has its member record before it serves or probes anything"
    return member.id
