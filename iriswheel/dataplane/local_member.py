"""The member id of this process."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces


def member_id(local_node: interfaces.MemberProcess) -> str:
    """Return the member id of a node that has started.

    Args:
        local_node: The node of this process, which has a member record from the time its ports are bound.
    """
    member = local_node.member_record
    assert member is not None, (
        "The member id was requested before the node had its member record, which it gets when its ports are bound."
    )
    return member.id
