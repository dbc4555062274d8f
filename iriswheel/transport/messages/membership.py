"""Messages of the membership: nodes, workers, role assignments, the tail's lease, and what cores report to the tail."""

import enum
import typing

import msgspec

import iriswheel.transport.messages.base as message_base
import iriswheel.transport.messages.consensus as consensus_messages


class WorkerState(enum.StrEnum):
    """The state of a worker; the field on the wire stays a plain string."""

    READY = "ready"
    LEAVING = "leaving"  # it takes no new requests; those under way go on for `Worker.drain_us`
    GONE = "gone"


class Member(message_base.Message, tag="Member", frozen=True):
    """A node in one of its incarnations."""

    id: str
    name: str
    zone: str
    host: str
    port: int  # for iriswheel's own processes
    http: int  # port for clients


class Worker(message_base.Message, tag="Worker", frozen=True):
    """A worker as the platform lists it."""

    id: str
    host: str
    port: int
    pool: str
    state: str  # a `WorkerState`
    drain_us: int = 0  # how long its requests may go on once it leaves

    @property
    def zone(self) -> str:
        """The worker's zone; "" where the platform names none."""
        return ""

    @property
    def cold(self) -> bool:
        """Whether the worker bears only a small rate of requests, as after its start."""
        return False


class ZonedWorker(Worker, tag="ZonedWorker", frozen=True):
    """A worker of which the platform says more than a `Worker` has.

    It is a message of its own since a further field of `Worker` would change every frame that holds one. `cold` is a
    flag and not the time left: a list that changes with each second would be sent in full each second.
    """

    zone: str = ""
    cold: bool = False


ListedWorker: typing.TypeAlias = Worker | ZonedWorker


class RoleAssignment(message_base.Message, tag="Duty", frozen=True, rename={"active": "seated"}):
    """A role that one live node has under a term.

    `base` names the nodes of the last group that was active: one of them must be
    heard before the new holder may say that it knows everything.
    """

    key: str
    term: message_base.Term
    holder: str
    copies: list[str]  # the nodes that keep replicas of the holder's records
    base: list[str]
    active: bool = False


class Membership(
    message_base.Message,
    tag="Roster",
    frozen=True,
    rename={"version": "stamp", "assignments": "duties", "listing_version": "listed"},
):
    """The soft state that the tail issues."""

    version: message_base.MembershipVersion
    members: list[Member]
    workers: list[ListedWorker]
    assignments: list[RoleAssignment]
    cores: list[consensus_messages.Voter]
    listing_version: message_base.ListingVersion = (0, 0, 0)  # of `workers`


class WorkerListing(message_base.Message, tag="Listing", frozen=True):
    """The platform's worker list, from the node whose role it is to ask."""

    workers: list[ListedWorker]
    version: message_base.ListingVersion


class ListingUnchanged(message_base.Message, tag="Same", frozen=True):
    """The worker list of `version` is the one that was sent in full under `unchanged_since`."""

    version: message_base.ListingVersion
    unchanged_since: message_base.ListingVersion


class LeaseRequest(message_base.Message, tag="LeaseAsk", frozen=True):
    """The tail of a view asks a voter to renew its lease."""

    view: int
    tail: str


class LeaseResponse(message_base.Message, tag="LeaseGiven", frozen=True):
    """The answer to `LeaseRequest`."""

    ok: bool
    newer: consensus_messages.View | None  # a newer view that the voter knows


class NodeSessionsReport(message_base.Message, tag="Sessions", frozen=True):
    """What a core reports to the tail: its nodes' sessions and what these nodes reported."""

    core: str
    view: int
    members: list[Member]
    applied_indexes: list[int]  # log index that each of the members has applied
    listing: WorkerListing | None
    active: list[tuple[str, message_base.Term]]  # role assignments that their holders have taken up
    membership: Membership | None
    contested: list[tuple[str, message_base.Term]] = msgspec.field(
        default_factory=list
    )  # role assignments whose holder met a newer term than its own
    listing_unchanged: ListingUnchanged | None = None
    sent_at: int = 0  # on the core's clock, in µs; the tail sends it back
    leases: list[tuple[str, int, int]] = msgspec.field(
        default_factory=list
    )  # node, log index applied, how long it may hold a lease (µs)


class TailHeartbeat(message_base.Message, tag="Beat", frozen=True):
    """The heartbeat from the tail to the cores; a core sends its nodes a `SessionHeartbeat`."""

    view: int
    index: int
    applied_by_all: int  # every node that may hold a lease has applied the log up to here
    sessions: int  # members that have a session
    membership: Membership | None
    listing_unchanged: ListingUnchanged | None = None
    echo: int = 0  # `sent_at` of the newest report that came from the addressed core in this view


class RoleActivated(message_base.Message, tag="Seated", frozen=True):
    """The holder of a role has taken it up under this term."""

    key: str
    term: message_base.Term


class RoleContested(message_base.Message, tag="Contested", frozen=True):
    """A role's holder met a newer term than its own, of a membership that was lost: it needs a new term."""

    key: str
    term: message_base.Term
