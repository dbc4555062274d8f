"""Messages of the pools: selecting a worker, and the records of a pool owner with their replicas."""

import msgspec

import iriswheel.transport.messages.base as message_base


class SessionRecord(message_base.Message, tag="Session", frozen=True):
    """A client's session, which binds its requests to a worker."""

    id: str
    worker: str
    left_us: int  # time until it expires, counted from the sending of the message
    lifetime_us: int
    cost: int  # weight in the selection of a worker
    version: int  # of two records of one session, the one with the higher version is newer
    attempt_id: str = ""  # the attempt that opened it; "" once that has reached the worker


class Claim(message_base.Message, tag="Claim", frozen=True):
    """The claim on a request that may run only once; it records which attempt may send it."""

    request_id: str
    attempt: int  # number of the client's attempt, from 1
    node: str
    attempt_id: str
    state: str  # a `pools.claims.ClaimState`: "claimed" or "ran"
    left_us: int  # time until it expires, counted from the sending of the message


class WorkerGrant(message_base.Message, tag="Grant", frozen=True):
    """A grant that a node holds: what a new pool owner needs to count it against the worker's capacity."""

    pool: str
    attempt_id: str
    node: str
    worker: str
    session: str
    work: int  # estimated work of the request, in work units
    long: bool  # whether the request counts as long


class SelectWorker(message_base.Message, tag="Elect", frozen=True):
    """Ask the pool owner for a worker for one request."""

    pool: str
    term: message_base.Term  # the pool owner's term as the node knows it
    node: str
    attempt_id: str  # id of this attempt, made by the node
    request_id: str
    attempt: int  # number of the client's attempt, from 1
    idempotent: bool
    session: str
    prefix: list[str]  # names of the parts of the prompt's prefix, outermost first
    work: int  # estimated work of the request, in work units
    long: bool  # whether the request counts as long
    excluded_workers: list[str]  # workers that this request has tried already
    terms: dict[str, int]  # `lifetime_us` and `cost` of a session that the request opens
    wait_us: int  # time until the request's deadline
    is_retry: bool = False  # whether this attempt repeats an earlier one, and so uses the retry budget


class SelectionGranted(message_base.Message, tag="Granted", frozen=True):
    """The answer to `SelectWorker`: the selected worker, under the pool owner's term."""

    term: message_base.Term
    worker: str
    left_us: int  # validity of the grant; nodes ignore it and use the request's deadline
    affinity: bool  # whether an existing session bound the request to the worker
    session_us: int  # time until the session expires; 0 without a session
    relay: str = ""  # a member that reaches the worker, in case the asking node does not


class SelectionDenied(message_base.Message, tag="Denied", frozen=True):
    """The answer to `SelectWorker` if no worker was selected, with the error for the client."""

    term: message_base.Term
    code: str  # an `errors.ErrorCode`
    text: str
    execution: str  # an `errors.ExecutionOutcome`
    retry_us: int  # wait before the client's next attempt


class RevokeRequest(message_base.Message, tag="Forbid", frozen=True):
    """Asks a pool owner whether a request was sent to its pool, and if not, never to send it.

    The requesting pool sends this when it gets a retry whose earlier attempt may have gone to the other pool, since
    the route has changed in between.
    """

    pool: str
    requesting_pool: str
    request_id: str


class RevokeResponse(message_base.Message, tag="Forbidden", frozen=True):
    """The answer to `RevokeRequest`."""

    state: str  # "" if the request was never sent; else "claimed", "ran", "unknown", or "later" to ask again later


class GrantReleased(message_base.Message, tag="Done", frozen=True):
    """Reports that a grant has ended; `execution` says whether its attempt ran."""

    pool: str
    attempt_id: str
    execution: str  # an `errors.ExecutionOutcome`


class GrantReport(message_base.Message, tag="Running", frozen=True):
    """All grants that a node holds in a pool, sent to the pool owner every second."""

    pool: str
    node: str
    attempt_ids: list[str]
    # workers from which the node received anything in the last second
    reachable_workers: list[str] = msgspec.field(default_factory=list)
    # attempts that the node recently gave up without sending them
    abandoned_attempts: list[str] = msgspec.field(default_factory=list)


class RecordsRequest(message_base.Message, tag="Gather", frozen=True):
    """A new pool owner asks for all records of its pool."""

    pool: str
    term: message_base.Term
    owner: str


class RecordsResponse(message_base.Message, tag="Gathered", frozen=True):
    """The answer to `RecordsRequest`: the records of the pool that a core machine or a node has."""

    ok: bool
    sessions: list[SessionRecord] = msgspec.field(default_factory=list)
    claims: list[Claim] = msgspec.field(default_factory=list)
    grants: list[WorkerGrant] = msgspec.field(default_factory=list)
    # unexpired sessions of the node's own clients; a new owner uses them if no machine with a replica answered
    affinities: list[SessionRecord] = msgspec.field(default_factory=list)
    has_replica: bool = False  # whether the answering machine ever had a complete replica of the records
    claims_missing_us: int = 0  # remaining time for which earlier claims may be missing from the records
    # first attempts that the answering node's retry budget counts: request id -> age in µs
    first_attempts: dict[str, int] = msgspec.field(default_factory=dict)
    retries: list[int] = msgspec.field(default_factory=list)  # ages in µs of the retries that the same budget counts


class ReplicateRecords(message_base.Message, tag="Copy", frozen=True):
    """A pool owner's records, sent to their replicas: only the changed ones, or all if `complete`."""

    pool: str
    term: message_base.Term
    owner: str
    sessions: list[SessionRecord]
    claims: list[Claim]
    closed: list[str]  # ids of closed sessions
    complete: bool = False
    claims_missing_us: int = 0  # remaining time for which earlier claims may be missing from the records


class ReplicateResponse(message_base.Message, tag="Copied", frozen=True):
    """The answer to `ReplicateRecords`: whether the records were stored."""

    ok: bool


class SessionsClosed(message_base.Message, tag="Unpin", frozen=True):
    """Announces sessions that were closed or moved, so that nodes drop what they cached of them."""

    pool: str
    sessions: list[str]
