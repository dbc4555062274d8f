"""Every message that iriswheel's own processes say to each other.

Tagged structs; the receiving side matches on the type. Spans of time travel as
what is left, never as points on somebody's clock.
"""

import typing

import msgspec

VERSION = 3  # of these messages; a process talks to those of its own and of the two beside it


class Message(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """The base of all messages."""


def plain(value: typing.Any) -> typing.Any:
    """A message as plain data, under the names that its fields have outside.

    A field that is renamed in the code keeps its name outside by `rename=` of its class.

    >>> plain([Voter("c0ffee", "127.0.0.1", 7001, "a")])
    [{'id': 'c0ffee', 'host': '127.0.0.1', 'port': 7001, 'zone': 'a'}]
    """
    match value:
        case Message():
            names = zip(value.__struct_fields__, value.__struct_encode_fields__, strict=True)
            return {shown: plain(getattr(value, name)) for name, shown in names}
        case list() | tuple():
            return [plain(v) for v in value]
    return value


# ---- shared shapes -------------------------------------------------------


class Voter(Message, tag="Seat"):
    """A core machine that votes: its identity, address and zone."""

    id: str
    host: str
    port: int
    zone: str


class ChainReplica(Message, tag="ChainLink"):
    """A place in the chain: a voter, in one of its lives."""

    id: str
    incarnation: str


class View(Message, tag="View"):
    """The agreed view: who votes, and the chain from head to tail."""

    number: int
    voters: list[Voter]
    chain: list[ChainReplica]


class LogEntry(Message, tag="Entry"):
    """One numbered change in the chain. `made` is the view in which it was made."""

    index: int
    view: int
    kind: str  # "plan", "confirm", or "apply": both in one
    plan: str
    base: int = 0
    changes: list[tuple[str, typing.Any]] = []


class Member(Message, tag="Member"):
    """A light node in one of its lives."""

    id: str
    name: str
    zone: str
    host: str
    port: int
    http: int


class Worker(Message, tag="Worker"):
    """A worker as the platform lists it."""

    id: str
    host: str
    port: int
    pool: str
    state: str  # "ready", "leaving" or "gone"
    drain_us: int = 0


class RoleAssignment(Message, tag="Duty", rename={"active": "seated"}):
    """A task that one live node does, under a term.

    `base` names the nodes of the last group that was seated: one of them must be
    heard before the new holder may say that it knows everything.
    """

    key: str
    term: tuple[int, int]
    holder: str
    copies: list[str]
    base: list[str]
    active: bool = False


class Membership(Message, tag="Roster", rename={"version": "stamp", "assignments": "duties"}):
    """The soft state that the tail issues, versioned by view and count."""

    version: tuple[int, int]
    members: list[Member]
    workers: list[Worker]
    assignments: list[RoleAssignment]
    cores: list[Voter]
    listed: tuple[int, int, int] = (0, 0, 0)


class SessionRecord(Message, tag="Session"):
    """A conversation's record. Spans are what is left when it was sent."""

    id: str
    worker: str
    left_us: int
    lifetime_us: int
    cost: int
    version: int
    attempt_id: str = ""  # the send that opened it, until that reached the worker


class Claim(Message, tag="Claim"):
    """The claim on a request that may not be repeated."""

    request_id: str
    send: int
    node: str
    attempt_id: str
    state: str  # "claimed", "void" or "ran"
    left_us: int


class ListingUnchanged(Message, tag="Same"):
    """The worker list is as it was when it was told whole under the version `of`."""

    version: tuple[int, int, int]
    of: tuple[int, int, int]


# ---- between core machines -------------------------------------------------


class Heartbeat(Message, tag="Pulse"):
    """A core's sign of life, and the answer to one."""

    id: str
    incarnation: str
    zone: str
    host: str
    port: int
    view: View | None
    synced_view: int
    disk_ok: bool
    leaving: bool = False
    sealed: bool = False  # whether a promise closed the view there, so that nothing is acknowledged in it


class Prepare(Message, tag="Prepare"):
    """Ask a voter to promise that it takes part in no older ballot for view `number`."""

    number: int
    ballot: tuple[int, str]
    sender: str


class Promise(Message, tag="Promise"):
    """The answer to `Prepare`: what the voter has accepted, and how far its copy has come."""

    ok: bool
    ballot: tuple[int, str]
    accepted: tuple[tuple[int, str], View] | None
    newer: View | None
    id: str
    incarnation: str
    synced_view: int
    disk_ok: bool
    last_entry: tuple[int, int] = (0, 0)  # its newest entry: the view it was made in, its number


class Accept(Message, tag="Accept"):
    """Ask a voter to accept a view under a ballot."""

    ballot: tuple[int, str]
    view: View
    sender: str


class Accepted(Message, tag="Accepted"):
    """The answer to `Accept`; `newer` is a newer view that the voter knows."""

    ok: bool
    newer: View | None


class Decided(Message, tag="Decided"):
    """A majority has accepted this view."""

    view: View


class LeaseRequest(Message, tag="LeaseAsk"):
    """The tail of a view asks a voter to renew its lease."""

    view: int
    tail: str


class LeaseResponse(Message, tag="LeaseGiven"):
    """The answer to a tail that asks for its lease."""

    ok: bool
    newer: View | None


class PositionRequest(Message, tag="Place"):
    """Ask the next replica how far it has come."""

    view: int
    sender: str


class PositionResponse(Message, tag="Placed"):
    """How far a link has come: its newest synced entry, and how much of a snapshot has arrived in pieces."""

    ok: bool
    index: int = 0
    view: int = 0
    pieces: bool = False  # whether it takes snapshots in pieces; older programs do not
    snapshot: str = ""  # digest of the snapshot that is arriving
    received: int = 0  # bytes of it


class LogPosition(Message, tag="Position"):
    """A place in the log: an entry's number, and the view in which it was made."""

    index: int
    view: int


class SnapshotChunk(Message, tag="Piece"):
    """One piece of a snapshot for the next replica; changes nothing there until a last Refill names the snapshot."""

    view: int
    snapshot: str  # digest of the whole snapshot
    total: int
    offset: int
    content: bytes


class SnapshotChunkResponse(Message, tag="PieceTaken"):
    """How much of the snapshot has arrived."""

    ok: bool
    received: int = 0


class CatchUp(Message, tag="Refill"):
    """Bring the next replica up to date: entries after its own newest one, or after a snapshot sent before in pieces.

    `frame` holds a whole snapshot, for programs that take none in pieces.
    """

    view: int
    frame: bytes | None
    entries: list[LogEntry]
    after: LogPosition | None = None  # the entry that these follow
    snapshot: str = ""  # digest of the snapshot that these follow
    last: bool = True  # whether the link then holds all that the sender holds


class AppendRequest(Message, tag="Append"):
    """Entries for the next replica of the chain, in order."""

    view: int
    entries: list[LogEntry]


class AppendResponse(Message, tag="Stored"):
    """All links from here to the tail have synced up to n."""

    ok: bool
    index: int = 0


class ProposeChange(Message, tag="Propose"):
    """An operator's change, on its way to the head."""

    view: int
    kind: str
    plan: str
    base: int = 0
    changes: list[tuple[str, typing.Any]] = []


class ProposeChangeResponse(Message, tag="Proposed"):
    """The answer to `Propose`: an error, or the version under which the change stands."""

    code: str  # "" where it stands
    execution: str = "not_run"
    text: str = ""
    version: int = 0


class ReadRequest(Message, tag="Look"):
    """Read at the tail: the configuration, and a plan where one is named."""

    view: int
    plan: str = ""


class ReadResponse(Message, tag="Seen"):
    """The answer to `Look`: the items under their version, and the plan asked for."""

    ok: bool
    version: int = 0
    items: dict[str, typing.Any] = {}
    plan: dict[str, typing.Any] | None = None
    taken: int = 0  # the version under which the change of that id was taken
    forgotten: int = 0  # the highest number of a change taken whose id is no longer remembered


class NodeSessionsReport(Message, tag="Sessions"):
    """What a core tells the tail: its nodes' sessions and what the nodes found."""

    core: str
    view: int
    members: list[Member]
    applied_indexes: list[int]  # how far each of the members has come
    listing: "WorkerListing | None"
    active: list[tuple[str, tuple[int, int]]]
    membership: Membership | None
    contested: list[tuple[str, tuple[int, int]]] = []  # role assignments whose holder met a newer term than its own
    listing_unchanged: ListingUnchanged | None = None
    sent_at: int = 0  # on the core's clock, in µs; the tail sends it back
    leases: list[tuple[str, int, int]] = []  # node, version applied, how long it may hold a lease (µs)


class TailHeartbeat(Message, tag="Beat"):
    """From the tail to the cores, and from a core to its nodes: all is well."""

    view: int
    index: int
    applied_by_all: int  # every member has come at least this far
    sessions: int  # members that have a session
    membership: Membership | None
    listing_unchanged: ListingUnchanged | None = None
    echo: int = 0  # `sent_at` of the newest report that came from the addressed core in this view


# ---- between a node and a core ----------------------------------------------


class JoinRequest(Message, tag="Join"):
    """A node opens its session with a core, and says how far it has come."""

    member: Member
    applied_index: int
    membership: Membership | None
    sent_at: int = 0  # on the node's clock, in µs


class Redirect(Message, tag="Elsewhere"):
    """This core machine stops; others serve."""

    cores: list[Voter]


class UnconfirmedConfiguration(Message, tag="Early"):
    """What a core's disk holds, for a node that knows nothing while no core serves.

    All of it was synced here; the newest of it may not have been answered yet.
    """

    at: tuple[int, int]  # the view of its newest entry, and its number
    items: dict[str, typing.Any]


class ConfigurationSnapshot(Message, tag="Frame"):
    """All items that a node needs, as of entry `n`."""

    index: int
    items: dict[str, typing.Any]


class ConfigurationUpdate(Message, tag="Change"):
    """The items that changed for a node up to entry `n`."""

    index: int
    items: dict[str, typing.Any]  # None removes


class MembershipUpdate(Message, tag="News"):
    """A newer membership."""

    membership: Membership


class SessionHeartbeat(Message, tag="Alive"):
    """A heartbeat on a session; from a node, how far it has come; to a node, that the worker list stands."""

    index: int
    version: tuple[int, int]
    listing_unchanged: ListingUnchanged | None = None
    sent_at: int = 0  # from a node: on its clock, in µs; to a node: the newest of these that came
    lease_left: int = 0  # to a node: how long a lease counted from `sent_at` may run at most, in µs


class WorkerListing(Message, tag="Listing"):
    """The platform's worker list, from the node whose role it is to ask."""

    workers: list[Worker]
    version: tuple[int, int, int]  # the term of the role, and a count


class RoleActivated(Message, tag="Seated"):
    """The holder of a role has taken it up under this term."""

    key: str
    term: tuple[int, int]


class RoleContested(Message, tag="Contested"):
    """A role's holder met a newer term than its own, of a membership that was lost: it needs a term anew."""

    key: str
    term: tuple[int, int]


class MemberLeaving(Message, tag="Leave"):
    """A node leaves in good order."""

    member: str


# ---- between nodes ----------------------------------------------------------


class SelectWorker(Message, tag="Elect"):
    """Ask the pool owner for a worker for one request."""

    pool: str
    term: tuple[int, int]
    node: str
    attempt_id: str  # this send's own id, from the node
    request_id: str
    send: int
    idempotent: bool
    session: str
    prefix: list[str]
    work: int
    long: bool
    shun: list[str]
    terms: dict[str, int]
    wait_us: int
    again: bool = False  # whether this would repeat an earlier send


class SelectionGranted(Message, tag="Granted"):
    """The answer to `Elect`: the worker elected, and for how long the grant may be used."""

    term: tuple[int, int]
    worker: str
    left_us: int
    affinity: bool
    session_us: int
    via: str = ""  # a member that hears the worker, should the asking node not reach it


class SelectionDenied(Message, tag="Denied"):
    """The answer to `Elect` where no worker was elected, with the verdict for the request."""

    term: tuple[int, int]
    code: str
    text: str
    execution: str
    retry_us: int


class RevokeRequest(Message, tag="Forbid"):
    """A retry came to another pool, as its route moved: was it sent here? If not, it never will be."""

    pool: str
    by: str  # the pool that asks
    request_id: str


class RevokeResponse(Message, tag="Forbidden"):
    """The answer to `Forbid`."""

    state: str  # "" where it was never sent, else "claimed", "ran", "unknown", or "later": ask again


class GrantReleased(Message, tag="Done"):
    """A grant is over: used (ran), or given back (not sent)."""

    pool: str
    attempt_id: str
    execution: str


class GrantReport(Message, tag="Running"):
    """All grants that this node holds in a pool, told every second."""

    pool: str
    node: str
    attempt_ids: list[str]
    reachable_workers: list[str] = []  # workers that it heard in the last second
    voids: list[str] = []  # asks that it gave up lately without a send


class RecordsRequest(Message, tag="Gather"):
    """A new pool owner asks for all that is known of a pool."""

    pool: str
    term: tuple[int, int]
    owner: str


class RecordsResponse(Message, tag="Gathered"):
    """The answer to `Gather`: a core's or a node's records of the pool."""

    ok: bool
    sessions: list[SessionRecord] = []
    claims: list[Claim] = []
    held: list["WorkerGrant"] = []
    affinities: list[SessionRecord] = []
    copy: bool = False
    broken_us: int = 0  # for how long yet claims of before may be missing
    firsts: dict[str, int] = {}  # the node's part of the retry budget: requests and their ages
    repeats: list[int] = []


class WorkerGrant(Message, tag="Grant"):
    """A grant that a node holds: enough for a new pool owner to count it."""

    pool: str
    attempt_id: str
    node: str
    worker: str
    session: str
    work: int
    long: bool


class ReplicateRecords(Message, tag="Copy"):
    """A pool owner's records for those that keep copies: the changed ones, or all where `whole`."""

    pool: str
    term: tuple[int, int]
    owner: str
    sessions: list[SessionRecord]
    claims: list[Claim]
    closed: list[str]
    complete: bool = False
    broken_us: int = 0


class ReplicateResponse(Message, tag="Copied"):
    """The answer to `Copy`: whether it was taken."""

    ok: bool


class SessionsClosed(Message, tag="Unpin"):
    """Sessions that were closed or moved: no node may go by what it remembers of them."""

    pool: str
    sessions: list[str]


class ForwardedListing(Message, tag="Spread"):
    """The worker list, told directly from node to node."""

    listing: WorkerListing


class ListingRequest(Message, tag="Relist"):
    """That list is not known here: tell it whole."""


class LoadReport(Message, tag="Loads"):
    """Load in flight, by pool.

    A row holds a worker, requests running there, prompt tokens not read yet, and the suspicion of it in
    percent. From a node to its core: its own. Between cores: the sum of a core's nodes. From a core to a
    node: the sum of all other nodes. Only what changed, unless `whole`.
    """

    sender: str
    complete: bool
    rows: dict[str, list[tuple[str, int, int, int]]]


class ProbeRequest(Message, tag="Probe"):
    """A pool owner asks for a witness: does this worker answer you?"""

    worker: Worker


class ProbeResponse(Message, tag="Probed"):
    """The answer to `Probe`."""

    sort: str  # "answer", "mute" (takes the connection, says nothing) or "none"
    load: tuple[int, int] | None


class WorkerUnreachable(Message, tag="Dark"):
    """Nobody reaches this worker: who waits for a first byte from it waits in vain."""

    worker: str


class RelayRequest(Message, tag="Pass"):
    """Ask a member to pass one request on to a worker that this node does not reach."""

    worker: str


class RelayResponse(Message, tag="Passed"):
    """The answer to `Pass`."""

    token: str  # for one request at its door; "" where it can't


class CoreStatusQuery(Message, tag="HowGoes"):
    """A node that has lost the core asks its peers how they fare.

    `version` is that of the membership it has.
    """

    version: tuple[int, int] = (0, 0)


class PolledWorkers(Message, tag="Heard"):
    """The worker list as one node had to ask for it, for others that lack news too."""

    workers: list[Worker]


class CoreStatusResponse(Message, tag="Goes"):
    """The answer to `HowGoes`: whether the core was heard, and where."""

    core: bool
    membership: Membership | None  # where it is newer than the asking node's
    at: tuple[str, int] | None = None  # the core that the peer has its session with
    applied_index: int = 0  # how far its configuration has come


class VersionHandshake(Message, tag="Hello"):
    """The first message on a link, both ways."""

    version: int


class KeepAlive(Message, tag="Ping"):
    """A sign of life on a quiet link."""


Any = typing.Union[
    Heartbeat,
    Prepare,
    Promise,
    Accept,
    Accepted,
    Decided,
    LeaseRequest,
    LeaseResponse,
    PositionRequest,
    PositionResponse,
    LogPosition,
    SnapshotChunk,
    SnapshotChunkResponse,
    CatchUp,
    AppendRequest,
    AppendResponse,
    ProposeChange,
    ProposeChangeResponse,
    ReadRequest,
    ReadResponse,
    NodeSessionsReport,
    TailHeartbeat,
    JoinRequest,
    Redirect,
    ConfigurationSnapshot,
    ConfigurationUpdate,
    MembershipUpdate,
    SessionHeartbeat,
    WorkerListing,
    RoleActivated,
    MemberLeaving,
    SelectWorker,
    SelectionGranted,
    SelectionDenied,
    GrantReleased,
    GrantReport,
    RecordsRequest,
    RecordsResponse,
    ReplicateRecords,
    ReplicateResponse,
    SessionsClosed,
    ForwardedListing,
    CoreStatusQuery,
    CoreStatusResponse,
    KeepAlive,
    LogEntry,
    Membership,
    VersionHandshake,
    RoleContested,
    UnconfirmedConfiguration,
    PolledWorkers,
    ListingUnchanged,
    ListingRequest,
    LoadReport,
    ProbeRequest,
    ProbeResponse,
    WorkerUnreachable,
    RelayRequest,
    RelayResponse,
    RevokeRequest,
    RevokeResponse,
]
