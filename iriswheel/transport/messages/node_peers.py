"""Messages by which nodes help each other: the worker list, and whether a core can be reached."""

import iriswheel.transport.messages.base as message_base
import iriswheel.transport.messages.membership as membership_messages


class ForwardedListing(message_base.Message, tag="Spread", frozen=True):
    """The worker list, sent directly from node to node."""

    listing: membership_messages.WorkerListing


class ListingRequest(message_base.Message, tag="Relist", frozen=True):
    """The list that a `ListingUnchanged` names is not known here: send it in full."""


class CoreStatusQuery(message_base.Message, tag="HowGoes", frozen=True):
    """A node that has lost the core asks its peers whether they hear it."""

    version: message_base.MembershipVersion = (0, 0)  # of the membership that the node has


class CoreStatusResponse(message_base.Message, tag="Goes", frozen=True):
    """The answer to `CoreStatusQuery`."""

    core: bool  # whether the core was heard
    membership: membership_messages.Membership | None  # where it is newer than the asking node's
    core_address: tuple[str, int] | None = None  # of the core that the peer has its session with
    applied_index: int = 0  # log index of the peer's configuration


class PolledWorkers(message_base.Message, tag="Heard", frozen=True):
    """The worker list as one node had to ask for it, for others that have no newer one."""

    workers: list[membership_messages.ListedWorker]
