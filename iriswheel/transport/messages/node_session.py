"""Messages of the session between a node and a core machine: joining, the configuration and the membership."""

import iriswheel.transport.messages.base as message_base
import iriswheel.transport.messages.consensus as consensus_messages
import iriswheel.transport.messages.membership as membership_messages


class JoinRequest(message_base.Message, tag="Join", frozen=True):
    """A node opens its session with a core machine, and states the configuration and membership that it has."""

    member: membership_messages.Member
    applied_index: int  # log index that the node's configuration has reached; -1 without a confirmed one
    membership: membership_messages.Membership | None
    sent_at: int = 0  # sending time on the node's clock, in µs


class Redirect(message_base.Message, tag="Elsewhere", frozen=True):
    """Sends a node to other core machines, since this one is shutting down."""

    cores: list[consensus_messages.Voter]


class UnconfirmedConfiguration(message_base.Message, tag="Early", frozen=True):
    """The configuration on one core machine's disk, as earlier versions sent it; nodes ignore it.

    Its newest changes may never have been committed, and may have been refused since.
    """

    position: tuple[int, int]  # view and index of its newest log entry
    items: message_base.Items


class ConfigurationSnapshot(message_base.Message, tag="Frame", frozen=True):
    """All configuration items that a node needs, as of log entry `index`."""

    index: int
    items: message_base.Items


class ConfigurationUpdate(message_base.Message, tag="Change", frozen=True):
    """The configuration items that changed for a node, up to log entry `index`."""

    index: int
    items: message_base.Items  # None removes an item


class MembershipUpdate(message_base.Message, tag="News", frozen=True):
    """A newer membership, from a core machine to its nodes."""

    membership: membership_messages.Membership


class SessionHeartbeat(message_base.Message, tag="Alive", frozen=True):
    """The heartbeat of a session: a node reports its state; a core machine says which worker list still holds."""

    index: int  # log index of the configuration: from a node, the one it applied; to a node, the newest one sent to it
    version: message_base.MembershipVersion  # from a node: of its membership; to a node: of the newest one sent to it
    listing_unchanged: membership_messages.ListingUnchanged | None = None
    sent_at: int = 0  # from a node: sending time on its clock, in µs; to a node: the newest of these received
    lease_left: int = 0  # to a node: longest duration of a lease that begins at `sent_at`, in µs


class MemberLeaving(message_base.Message, tag="Leave", frozen=True):
    """Announces that a node shuts down, so that it leaves the membership at once."""

    member: str
