"""The base of all messages, and the types that several messages share."""

import typing

import msgspec

# Types of fields that several messages share. The tuples sort by age: a later one compares as greater.
Ballot: typing.TypeAlias = tuple[int, str]  # round, id of the proposing core
Term: typing.TypeAlias = tuple[int, int]  # view of the tail that issued it, count within that view
MembershipVersion: typing.TypeAlias = tuple[int, int]  # view of the tail that issued it, count within that view
ListingVersion: typing.TypeAlias = tuple[int, int, int]  # term of the listing role, count within that term
Items: typing.TypeAlias = dict[str, typing.Any]  # configuration items by key, each a JSON value
ItemChanges: typing.TypeAlias = list[tuple[str, typing.Any]]  # key and new JSON value; None removes the item


class Message(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """The base of all messages.

    A message is encoded as an array: its tag, then its fields in order. So fields may be renamed but not reordered,
    and a new field is appended with a default. Deadlines are sent as remaining durations, never as points in time,
    since processes share no clock.
    """


def plain(value: object) -> typing.Any:  # noqa: ANN401 - any JSON value
    """Convert a message, also nested in lists or tuples, to JSON values, with the public names of its fields.

    A field that was renamed in the code keeps its public name by the argument `rename=` of its class.

    >>> import iriswheel.transport.messages.consensus as consensus_messages
    >>> plain([consensus_messages.Voter("c0ffee", "127.0.0.1", 7001, "a")])
    [{'id': 'c0ffee', 'host': '127.0.0.1', 'port': 7001, 'zone': 'a'}]
    """
    match value:
        case Message():
            names = zip(value.__struct_fields__, value.__struct_encode_fields__, strict=True)
            return {shown: plain(getattr(value, name)) for name, shown in names}
        case list() | tuple():
            return [plain(item) for item in value]
    return value
