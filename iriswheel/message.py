"""Every message that iriswheel's own processes say to each other.

Tagged structs; the receiving side matches on the type. Spans of time travel as
what is left, never as points on somebody's clock.
"""

import typing

import msgspec

VERSION = 3  # of these messages; a process talks to those of its own and of the two beside it


class Message(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """The base of all messages."""


def plain(val):
    """A message as plain data, under the names that its fields have outside.

    A field that is renamed in the code keeps its name outside by `rename=` of its class.

    >>> plain([Seat("c0ffee", "127.0.0.1", 7001, "a")])
    [{'id': 'c0ffee', 'host': '127.0.0.1', 'port': 7001, 'zone': 'a'}]
    """
    match val:
        case Message():
            names = zip(val.__struct_fields__, val.__struct_encode_fields__, strict=True)
            return {shown: plain(getattr(val, name)) for name, shown in names}
        case list() | tuple():
            return [plain(v) for v in val]
    return val


# ---- shared shapes -------------------------------------------------------


class Seat(Message, tag="Seat"):
    """A core machine that votes: its identity, address and zone."""

    id: str
    host: str
    port: int
    zone: str


class ChainReplica(Message, tag="ChainLink"):
    """A place in the chain: a voter, in one of its lives."""

    id: str
    boot: str


class View(Message, tag="View"):
    """The agreed view: who votes, and the chain from head to tail."""

    number: int
    seats: list[Seat]
    chain: list[ChainReplica]


class Entry(Message, tag="Entry"):
    """One numbered change in the chain. `made` is the view in which it was made."""

    n: int
    made: int
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


class Duty(Message, tag="Duty"):
    """A task that one live node does, under a term.

    `base` names the nodes of the last group that was seated: one of them must be
    heard before the new holder may say that it knows everything.
    """

    key: str
    term: tuple[int, int]
    holder: str
    copies: list[str]
    base: list[str]
    seated: bool = False


class Roster(Message, tag="Roster"):
    """The soft state that the tail issues, stamped by view and count."""

    stamp: tuple[int, int]
    members: list[Member]
    workers: list[Worker]
    duties: list[Duty]
    cores: list[Seat]
    listed: tuple[int, int, int] = (0, 0, 0)


class Session(Message, tag="Session"):
    """A conversation's record. Spans are what is left when it was sent."""

    id: str
    worker: str
    left_us: int
    lifetime_us: int
    cost: int
    stamp: int
    ask: str = ""  # the send that opened it, until that reached the worker


class Claim(Message, tag="Claim"):
    """The claim on an exchange that may not be repeated."""

    exchange: str
    send: int
    node: str
    ask: str
    state: str  # "claimed", "void" or "ran"
    left_us: int


class Same(Message, tag="Same"):
    """The worker list is as it was when it was told whole under the stamp `of`."""

    stamp: tuple[int, int, int]
    of: tuple[int, int, int]


# ---- between core machines -------------------------------------------------


class Heartbeat(Message, tag="Pulse"):
    """A core's sign of life, and the answer to one."""

    id: str
    boot: str
    zone: str
    host: str
    port: int
    view: View | None
    whole: int
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
    boot: str
    whole: int
    disk_ok: bool
    tip: tuple[int, int] = (0, 0)  # its newest entry: the view it was made in, its number


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


class LeaseGiven(Message, tag="LeaseGiven"):
    """The answer to a tail that asks for its lease."""

    ok: bool
    newer: View | None


class Place(Message, tag="Place"):
    """Ask the next link how far it has come."""

    view: int
    sender: str


class Placed(Message, tag="Placed"):
    """How far a link has come: its newest synced entry, and how much of a snapshot has arrived in pieces."""

    ok: bool
    n: int = 0
    made: int = 0
    pieces: bool = False  # whether it takes snapshots in pieces; older programs do not
    snapshot: str = ""  # digest of the snapshot that is arriving
    received: int = 0  # bytes of it


class Position(Message, tag="Position"):
    """A place in the log: an entry's number, and the view in which it was made."""

    n: int
    made: int


class Piece(Message, tag="Piece"):
    """One piece of a snapshot for the next link; changes nothing there until a last Refill names the snapshot."""

    view: int
    snapshot: str  # digest of the whole snapshot
    total: int
    offset: int
    content: bytes


class PieceTaken(Message, tag="PieceTaken"):
    """How much of the snapshot has arrived."""

    ok: bool
    received: int = 0


class Refill(Message, tag="Refill"):
    """Bring the next link up to date: entries after its own newest one, or after a snapshot sent before in pieces.

    `frame` holds a whole snapshot, for programs that take none in pieces.
    """

    view: int
    frame: bytes | None
    entries: list[Entry]
    after: Position | None = None  # the entry that these follow
    snapshot: str = ""  # digest of the snapshot that these follow
    last: bool = True  # whether the link then holds all that the sender holds


class Append(Message, tag="Append"):
    """Entries for the next replica of the chain, in order."""

    view: int
    entries: list[Entry]


class Stored(Message, tag="Stored"):
    """All links from here to the tail have synced up to n."""

    ok: bool
    n: int = 0


class Propose(Message, tag="Propose"):
    """An operator's change, on its way to the head."""

    view: int
    kind: str
    plan: str
    base: int = 0
    changes: list[tuple[str, typing.Any]] = []


class Proposed(Message, tag="Proposed"):
    """The answer to `Propose`: an error, or the stamp under which the change stands."""

    code: str  # "" where it stands
    verdict: str = "not_run"
    text: str = ""
    stamp: int = 0


class Look(Message, tag="Look"):
    """Read at the tail: the configuration, and a plan where one is named."""

    view: int
    plan: str = ""


class Seen(Message, tag="Seen"):
    """The answer to `Look`: the items under their stamp, and the plan asked for."""

    ok: bool
    stamp: int = 0
    items: dict[str, typing.Any] = {}
    plan: dict[str, typing.Any] | None = None
    taken: int = 0  # the stamp under which the change of that id was taken
    forgotten: int = 0  # the highest number of a change taken whose id is no longer remembered


class Sessions(Message, tag="Sessions"):
    """What a core tells the tail: its nodes' sessions and what the nodes found."""

    core: str
    view: int
    members: list[Member]
    places: list[int]  # how far each of the members has come
    listing: "Listing | None"
    seated: list[tuple[str, tuple[int, int]]]
    roster: Roster | None
    contested: list[tuple[str, tuple[int, int]]] = []  # duties whose holder met a newer term than its own
    same: Same | None = None
    sent_at: int = 0  # on the core's clock, in µs; the tail sends it back
    leases: list[tuple[str, int, int]] = []  # node, version applied, how long it may hold a lease (µs)


class Beat(Message, tag="Beat"):
    """From the tail to the cores, and from a core to its nodes: all is well."""

    view: int
    n: int
    applied_by_all: int  # every member has come at least this far
    sessions: int  # members that have a session
    roster: Roster | None
    same: Same | None = None
    echo: int = 0  # `sent_at` of the newest report that came from the addressed core in this view


# ---- between a node and a core ----------------------------------------------


class Join(Message, tag="Join"):
    """A node opens its session with a core, and says how far it has come."""

    member: Member
    place: int
    roster: Roster | None
    sent_at: int = 0  # on the node's clock, in µs


class Elsewhere(Message, tag="Elsewhere"):
    """This core machine stops; others serve."""

    cores: list[Seat]


class Early(Message, tag="Early"):
    """What a core's disk holds, for a node that knows nothing while no core serves.

    All of it was synced here; the newest of it may not have been answered yet.
    """

    at: tuple[int, int]  # the view of its newest entry, and its number
    items: dict[str, typing.Any]


class Snapshot(Message, tag="Frame"):
    """All items that a node needs, as of entry `n`."""

    n: int
    items: dict[str, typing.Any]


class Change(Message, tag="Change"):
    """The items that changed for a node up to entry `n`."""

    n: int
    items: dict[str, typing.Any]  # None removes


class News(Message, tag="News"):
    """A newer roster."""

    roster: Roster


class Alive(Message, tag="Alive"):
    """A heartbeat on a session; from a node, how far it has come; to a node, that the worker list stands."""

    n: int
    stamp: tuple[int, int]
    same: Same | None = None
    sent_at: int = 0  # from a node: on its clock, in µs; to a node: the newest of these that came
    lease_left: int = 0  # to a node: how long a lease counted from `sent_at` may run at most, in µs


class Listing(Message, tag="Listing"):
    """The platform's worker list, from the node whose duty it is to ask."""

    workers: list[Worker]
    stamp: tuple[int, int, int]  # the term of the duty, and a count


class Seated(Message, tag="Seated"):
    """The holder of a duty has taken it up under this term."""

    key: str
    term: tuple[int, int]


class Contested(Message, tag="Contested"):
    """A duty's holder met a newer term than its own, of a roster that was lost: it needs a term anew."""

    key: str
    term: tuple[int, int]


class Leave(Message, tag="Leave"):
    """A node leaves in good order."""

    member: str


# ---- between nodes ----------------------------------------------------------


class Elect(Message, tag="Elect"):
    """Ask the warden for a worker for one exchange."""

    pool: str
    term: tuple[int, int]
    node: str
    ask: str  # this send's own id, from the node
    exchange: str
    send: int
    repeatable: bool
    session: str
    prefix: list[str]
    work: int
    long: bool
    shun: list[str]
    terms: dict[str, int]
    wait_us: int
    again: bool = False  # whether this would repeat an earlier send


class Granted(Message, tag="Granted"):
    """The answer to `Elect`: the worker elected, and for how long the grant may be used."""

    term: tuple[int, int]
    worker: str
    left_us: int
    pinned: bool
    session_us: int
    via: str = ""  # a member that hears the worker, should the asking node not reach it


class Denied(Message, tag="Denied"):
    """The answer to `Elect` where no worker was elected, with the verdict for the exchange."""

    term: tuple[int, int]
    code: str
    text: str
    verdict: str
    retry_us: int


class Forbid(Message, tag="Forbid"):
    """A retry came to another pool, as its route moved: was it sent here? If not, it never will be."""

    pool: str
    by: str  # the pool that asks
    exchange: str


class Forbidden(Message, tag="Forbidden"):
    """The answer to `Forbid`."""

    state: str  # "" where it was never sent, else "claimed", "ran", "unknown", or "later": ask again


class Done(Message, tag="Done"):
    """A grant is over: used (ran), or given back (not sent)."""

    pool: str
    ask: str
    verdict: str


class Running(Message, tag="Running"):
    """All grants that this node holds in a pool, told every second."""

    pool: str
    node: str
    asks: list[str]
    heard: list[str] = []  # workers that it heard in the last second
    voids: list[str] = []  # asks that it gave up lately without a send


class Gather(Message, tag="Gather"):
    """A new warden asks for all that is known of a pool."""

    pool: str
    term: tuple[int, int]
    warden: str


class Gathered(Message, tag="Gathered"):
    """The answer to `Gather`: a core's or a node's records of the pool."""

    ok: bool
    sessions: list[Session] = []
    claims: list[Claim] = []
    held: list["Grant"] = []
    pins: list[Session] = []
    copy: bool = False
    broken_us: int = 0  # for how long yet claims of before may be missing
    firsts: dict[str, int] = {}  # the node's part of the retry budget: exchanges and their ages
    repeats: list[int] = []


class Grant(Message, tag="Grant"):
    """A grant that a node holds: enough for a new warden to count it."""

    pool: str
    ask: str
    node: str
    worker: str
    session: str
    work: int
    long: bool


class Copy(Message, tag="Copy"):
    """A warden's records for those that keep copies: the changed ones, or all where `whole`."""

    pool: str
    term: tuple[int, int]
    warden: str
    sessions: list[Session]
    claims: list[Claim]
    closed: list[str]
    whole: bool = False
    broken_us: int = 0


class Copied(Message, tag="Copied"):
    """The answer to `Copy`: whether it was taken."""

    ok: bool


class Unpin(Message, tag="Unpin"):
    """Sessions that were closed or moved: no node may go by what it remembers of them."""

    pool: str
    sessions: list[str]


class Spread(Message, tag="Spread"):
    """The worker list, told directly from node to node."""

    listing: Listing


class Relist(Message, tag="Relist"):
    """That list is not known here: tell it whole."""


class Loads(Message, tag="Loads"):
    """Load in flight, by pool.

    A row holds a worker, exchanges running there, prompt tokens not read yet, and the suspicion of it in
    percent. From a node to its core: its own. Between cores: the sum of a core's nodes. From a core to a
    node: the sum of all other nodes. Only what changed, unless `whole`.
    """

    sender: str
    whole: bool
    rows: dict[str, list[tuple[str, int, int, int]]]


class Probe(Message, tag="Probe"):
    """A warden asks for a witness: does this worker answer you?"""

    worker: Worker


class Probed(Message, tag="Probed"):
    """The answer to `Probe`."""

    sort: str  # "answer", "mute" (takes the connection, says nothing) or "none"
    load: tuple[int, int] | None


class Dark(Message, tag="Dark"):
    """Nobody reaches this worker: who waits for a first byte from it waits in vain."""

    worker: str


class Pass(Message, tag="Pass"):
    """Ask a member to pass one exchange on to a worker that this node does not reach."""

    worker: str


class Passed(Message, tag="Passed"):
    """The answer to `Pass`."""

    token: str  # for one exchange at its door; "" where it can't


class HowGoes(Message, tag="HowGoes"):
    """A node that has lost the core asks its peers how they fare.

    `stamp` is that of the roster it has.
    """

    stamp: tuple[int, int] = (0, 0)


class Heard(Message, tag="Heard"):
    """The worker list as one node had to ask for it, for others that lack news too."""

    workers: list[Worker]


class Goes(Message, tag="Goes"):
    """The answer to `HowGoes`: whether the core was heard, and where."""

    core: bool
    roster: Roster | None  # where it is newer than the asking node's
    at: tuple[str, int] | None = None  # the core that the peer has its session with
    place: int = 0  # how far its configuration has come


class Hello(Message, tag="Hello"):
    """The first message on a link, both ways."""

    version: int


class Ping(Message, tag="Ping"):
    """A sign of life on a quiet link."""


Any = typing.Union[
    Heartbeat,
    Prepare,
    Promise,
    Accept,
    Accepted,
    Decided,
    LeaseRequest,
    LeaseGiven,
    Place,
    Placed,
    Position,
    Piece,
    PieceTaken,
    Refill,
    Append,
    Stored,
    Propose,
    Proposed,
    Look,
    Seen,
    Sessions,
    Beat,
    Join,
    Elsewhere,
    Snapshot,
    Change,
    News,
    Alive,
    Listing,
    Seated,
    Leave,
    Elect,
    Granted,
    Denied,
    Done,
    Running,
    Gather,
    Gathered,
    Copy,
    Copied,
    Unpin,
    Spread,
    HowGoes,
    Goes,
    Ping,
    Entry,
    Roster,
    Hello,
    Contested,
    Early,
    Heard,
    Same,
    Relist,
    Loads,
    Probe,
    Probed,
    Dark,
    Pass,
    Passed,
    Forbid,
    Forbidden,
]
