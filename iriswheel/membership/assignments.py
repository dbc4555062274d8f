"""Assignment of roles to nodes, as pure functions of the live members and the previous assignments.

A role is a task that one node has for the whole fleet: the holder of role "list" polls the platform for the worker
list, and the holder of role "pool/<name>" is the owner of that pool.
"""

from __future__ import annotations

import collections.abc
import hashlib
import typing

from iriswheel.transport import message

RECORD_COPIES = 2  # number of members besides the holder that keep copies of a role's records
LISTING_ROLE = "list"
POOL_ROLE_PREFIX = "pool/"

RoleTerm: typing.TypeAlias = tuple[str, message.Term]  # key of a role, and the term of its holder


class Group(typing.NamedTuple):
    """The ids of the members that serve a role."""

    holder: str
    copies: list[str]  # the members that keep copies of the holder's records


def pool_role(pool: str) -> str:
    """The key of the role of pool owner for one pool.

    >>> pool_role("desk")
    'pool/desk'
    """
    return POOL_ROLE_PREFIX + pool


def owned_pools(assignments: collections.abc.Iterable[message.RoleAssignment], node: str) -> tuple[str, ...]:
    """The names of the pools that a node owns.

    >>> owned_pools([message.RoleAssignment("pool/desk", (1, 1), "n1", [], [])], "n1")
    ('desk',)
    """
    return tuple(
        assignment.key.removeprefix(POOL_ROLE_PREFIX)
        for assignment in assignments
        if assignment.holder == node and assignment.key.startswith(POOL_ROLE_PREFIX)
    )


def rendezvous_weight(key: str, identifier: str) -> bytes:
    """The weight of a member for a key by rendezvous hashing; the member with the highest weight gets the role.

    >>> rendezvous_weight("pool/desk", "n1") == rendezvous_weight("pool/desk", "n1")
    True
    """
    return hashlib.sha256(f"{key}\n{identifier}".encode()).digest()


def rank_members(key: str, members: collections.abc.Iterable[message.Member]) -> list[message.Member]:
    """The members ordered by their weight for a key, the highest first.

    >>> members = [message.Member(i, i, "z", "h", 1, 2) for i in "abc"]
    >>> [member.id for member in rank_members("pool/desk", members)]
    ['c', 'a', 'b']
    """
    return sorted(members, key=lambda member: rendezvous_weight(key, member.id), reverse=True)


def choose_group(
    key: str, members: collections.abc.Sequence[message.Member], previous: message.RoleAssignment | None
) -> Group:
    """Choose the holder of a role and the members that keep copies; live members of the previous group stay in place.

    A new holder is chosen from the previous copies first, since those have the records. Copies are placed in other
    zones than the holder's if there are members in other zones.

    >>> members = [message.Member(i, i, z, "h", 1, 2) for i, z in ("an", "bn", "cs", "ds")]
    >>> tuple(choose_group("pool/desk", members, None))
    ('c', ['a', 'b'])
    >>> tuple(choose_group("pool/desk", members[1:], message.RoleAssignment("pool/desk", (1, 1), "a", ["d", "c"], [])))
    ('d', ['b', 'c'])
    >>> tuple(choose_group("pool/desk", members[1:], message.RoleAssignment("pool/desk", (1, 2), "d", ["b", "c"], [])))
    ('d', ['b', 'c'])
    """
    ranked = rank_members(key, members)
    by_id = {member.id: member for member in ranked}
    old_copies = previous.copies if previous is not None else []
    old_group = [previous.holder, *old_copies] if previous is not None else []
    holder = next((identifier for identifier in old_group if identifier in by_id), ranked[0].id)
    zone = by_id[holder].zone

    def preference(member: message.Member) -> tuple[bool, int]:
        place = old_copies.index(member.id) if member.id in old_copies else len(old_copies)
        return member.zone == zone, place

    others = sorted((member for member in ranked if member.id != holder), key=preference)
    return Group(holder, [member.id for member in others[:RECORD_COPIES]])


def assign(
    key: str,
    version: message.MembershipVersion,
    members: collections.abc.Sequence[message.Member],
    previous: message.RoleAssignment | None,
    *,
    active: collections.abc.Set[RoleTerm],
    contested: collections.abc.Set[RoleTerm],
    same_members: bool = False,
) -> message.RoleAssignment:
    """The next assignment of one role, given the live members.

    Args:
        key: The key of the role.
        version: The version of the membership that is being made; it becomes the term of a role whose group changes.
        members: The live members, at least one.
        previous: The previous assignment; None for a new role.
        active: The roles whose holders have reported that they are active, with their terms.
        contested: The roles whose holders have met a newer term than their own, with their terms: each gets a new term.
        same_members: Whether the members are those of the previous membership, so that the group can't have changed.

    >>> members = [message.Member(i, i, "z", "h", 1, 2) for i in "abc"]
    >>> first = assign("pool/desk", (1, 1), members, None, active=set(), contested=set())
    >>> first_term = (first.key, first.term)
    >>> assign("pool/desk", (1, 2), members, first, active={first_term}, contested=set()).active
    True
    >>> assign("pool/desk", (1, 2), members, first, active=set(), contested={first_term}).term
    (1, 2)
    """
    if previous is None:
        holder, copies = choose_group(key, members, None)
        return message.RoleAssignment(key, version, holder, copies, [])
    current = previous
    if not current.active and (key, current.term) in active:
        current = message.RoleAssignment(key, current.term, current.holder, current.copies, current.base, True)
    if (key, current.term) in contested:
        current = _under_new_term(current, version, Group(current.holder, current.copies))
    members_before = Group(current.holder, current.copies)
    members_now = members_before if same_members else choose_group(key, members, current)
    return current if members_now == members_before else _under_new_term(current, version, members_now)


def _under_new_term(assignment: message.RoleAssignment, term: message.Term, new_group: Group) -> message.RoleAssignment:
    """Assign a role to a group under a new term, not active yet; the last active group becomes the base."""
    base = [assignment.holder, *assignment.copies] if assignment.active else assignment.base
    return message.RoleAssignment(assignment.key, term, new_group.holder, new_group.copies, base)
