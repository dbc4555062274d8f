"""Messages of the session that a node has with a core: joining, the configuration and the membership."""

import iriswheel.transport.messages.base as message_base
import iriswheel.transport.messages.consensus as consensus_messages
import iriswheel.transport.messages.membership as membership_messages


class JoinRequest(message_base.Message, tag="Join", frozen=True):
    """A node opens its session with a core, and says how far it has come."""

    member: membership_messages.Member
    applied_index: int
    membership: membership_messages.Membership | None
    sent_at: int = 0  # on the node's clock, in µs


class Redirect(message_base.Message, tag="Elsewhere", frozen=True):
    """This core stops; others serve."""

    cores: list[consensus_messages.Voter]


class UnconfirmedConfiguration(message_base.Message, tag="Early", frozen=True):
    """What a core's disk holds, for a node that has no configuration while no core serves.

    All of it was synced here; the newest of it may not have been answered yet.
    """

    position: tuple[int, int]  # of its newest entry: the view that made it, its index
    items: message_base.Items


class ConfigurationSnapshot(message_base.Message, tag="Frame", frozen=True):
    """All items that a node needs, as of log entry `index`."""

    index: int
    items: message_base.Items


class ConfigurationUpdate(message_base.Message, tag="Change", frozen=True):
    """The items that changed for a node up to log entry `index`."""

    index: int
    items: message_base.Items  # None removes an item


class MembershipUpdate(message_base.Message, tag="News", frozen=True):
    """A newer membership."""

    membership: membership_messages.Membership


class SessionHeartbeat(message_base.Message, tag="Alive", frozen=True):
    """A heartbeat on a session; from a node, how far it has come; to a node, that the worker list is unchanged."""

    index: int
    version: message_base.MembershipVersion
    listing_unchanged: membership_messages.ListingUnchanged | None = None
    sent_at: int = 0  # from a node: on its clock, in µs; to a node: the newest of these that came
    lease_left: int = 0  # to a node: how long a lease counted from `sent_at` may run at most, in µs


class MemberLeaving(message_base.Message, tag="Leave", frozen=True):
    """A node stops gracefully and leaves the membership at once."""

    member: str
