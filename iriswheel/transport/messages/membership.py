"""Messages of the membership: nodes, workers, role assignments, the tail's lease, and core machines' reports to it."""

import enum
import typing

import msgspec

import iriswheel.transport.messages.base as message_base
import iriswheel.transport.messages.consensus as consensus_messages


class WorkerState(enum.StrEnum):
    """The state of a worker; the field on the wire stays a plain string."""

    READY = "ready"
    LEAVING = "leaving"  # it gets no new requests; running ones may go on for `Worker.drain_us`
    GONE = "gone"


class Member(message_base.Message, tag="Member", frozen=True):
    """A node and the incarnation of its process."""

    id: str
    name: str
    zone: str
    host: str
    port: int  # port for iriswheel's own processes
    http: int  # port for clients


class Worker(message_base.Message, tag="Worker", frozen=True):
    """A worker as the platform lists it."""

    id: str
    host: str
    port: int
    pool: str
    state: str  # a `WorkerState`
    drain_us: int = 0  # drain time: how long its running requests may go on once it leaves

    @property
    def zone(self) -> str:
        """The worker's zone; "" if the platform names none."""
        return ""

    @property
    def cold(self) -> bool:
        """Whether the worker can take only a low rate of requests, as after its start."""
        return False


class ZonedWorker(Worker, tag="ZonedWorker", frozen=True):
    """A worker for which the platform's list has a zone or says that it is cold.

    It is a message of its own since another field of `Worker` would change every frame that holds one. `cold` is a
    flag, not the remaining cold time: a list that changes every second would be sent in full every second.
    """

    zone: str = ""
    cold: bool = False


ListedWorker: typing.TypeAlias = Worker | ZonedWorker


class RoleAssignment(message_base.Message, tag="Duty", frozen=True, rename={"active": "seated"}):
    """A role that one live node holds under a term.

    `base` names the holder and the replicas of the last assignment that was active: a new holder must have an answer
    from one of them before it can be sure to have all records.
    """

    key: str
    term: message_base.Term
    holder: str
    copies: list[str]  # nodes that keep replicas of the holder's records
    base: list[str]
    active: bool = False  # whether the holder has taken up the role under this term


class Membership(
    message_base.Message,
    tag="Roster",
    frozen=True,
    rename={"version": "stamp", "assignments": "duties", "listing_version": "listed"},
):
    """The membership, soft state that the tail issues: members, workers, role assignments and core machines."""

    version: message_base.MembershipVersion
    members: list[Member]
    workers: list[ListedWorker]
    assignments: list[RoleAssignment]
    cores: list[consensus_messages.Voter]
    listing_version: message_base.ListingVersion = (0, 0, 0)  # version of `workers`


class WorkerListing(message_base.Message, tag="Listing", frozen=True):
    """The platform's worker list, from the node whose role is to fetch it."""

    workers: list[ListedWorker]
    version: message_base.ListingVersion


class ListingUnchanged(message_base.Message, tag="Same", frozen=True):
    """States that the worker list of `version` equals the one that was sent in full as version `unchanged_since`."""

    version: message_base.ListingVersion
    unchanged_since: message_base.ListingVersion


class LeaseRequest(message_base.Message, tag="LeaseAsk", frozen=True):
    """The tail of a view asks a voter to renew the tail's lease."""

    view: int
    tail: str


class LeaseResponse(message_base.Message, tag="LeaseGiven", frozen=True):
    """The answer to `LeaseRequest`."""

    ok: bool
    newer: consensus_messages.View | None  # a newer view that the voter knows


class NodeSessionsReport(message_base.Message, tag="Sessions", frozen=True):
    """A core machine's report to the tail: the sessions of its nodes, and what these nodes reported."""

    core: str
    view: int
    members: list[Member]
    applied_indexes: list[int]  # log index that each member has applied, in the order of `members`
    listing: WorkerListing | None
    active: list[tuple[str, message_base.Term]]  # role assignments that their holders have taken up: key, term
    membership: Membership | None
    # role assignments whose holder met a newer term than its own: key, term
    contested: list[tuple[str, message_base.Term]] = msgspec.field(default_factory=list)
    listing_unchanged: ListingUnchanged | None = None
    sent_at: int = 0  # sending time on the core machine's clock, in µs; the tail sends it back
    # node, log index that it has applied, remaining time for which it may hold a lease (µs)
    leases: list[tuple[str, int, int]] = msgspec.field(default_factory=list)


class TailHeartbeat(message_base.Message, tag="Beat", frozen=True):
    """The heartbeat from the tail to the core machines; they in turn send their nodes a `SessionHeartbeat`."""

    view: int
    index: int  # log index that the tail has committed
    applied_by_all: int  # log index up to which every node that may hold a lease has applied the log
    sessions: int  # number of members that have a session
    membership: Membership | None
    listing_unchanged: ListingUnchanged | None = None
    echo: int = 0  # `sent_at` of the newest report received from the addressed core machine in this view


class RoleActivated(message_base.Message, tag="Seated", frozen=True):
    """Announces that the holder of a role has taken it up under a term."""

    key: str
    term: message_base.Term


class RoleContested(message_base.Message, tag="Contested", frozen=True):
    """A role's holder met a newer term, from a membership that was lost, and needs a term above that one."""

    key: str
    term: message_base.Term
