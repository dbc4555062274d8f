"""Messages between nodes that share the worker list, and tell whether a core machine can be reached."""

import iriswheel.transport.messages.base as message_base
import iriswheel.transport.messages.membership as membership_messages


class ForwardedListing(message_base.Message, tag="Spread", frozen=True):
    """The worker list, sent from node to node without a core machine."""

    listing: membership_messages.WorkerListing


class ListingRequest(message_base.Message, tag="Relist", frozen=True):
    """Asks for the full worker list, since the sender lacks the one that a `ListingUnchanged` named."""


class CoreStatusQuery(message_base.Message, tag="HowGoes", frozen=True):
    """A node that reaches no core machine asks its peers whether they do."""

    version: message_base.MembershipVersion = (0, 0)  # version of the asking node's membership


class CoreStatusResponse(message_base.Message, tag="Goes", frozen=True):
    """The answer to `CoreStatusQuery`."""

    core: bool  # whether the peer hears a core machine
    membership: membership_messages.Membership | None  # the peer's, if it is newer than the asking node's
    core_address: tuple[str, int] | None = None  # host and port of the core machine that serves the peer's session
    applied_index: int = 0  # log index that the peer's configuration has reached


class PolledWorkers(message_base.Message, tag="Heard", frozen=True):
    """The worker list that one node polled from the platform itself, for nodes without a newer one."""

    workers: list[membership_messages.ListedWorker]
