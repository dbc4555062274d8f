"""Messages of the pools: selecting a worker, and the records of a pool owner with their replicas."""

import msgspec

import iriswheel.transport.messages.base as message_base


class SessionRecord(message_base.Message, tag="Session", frozen=True):
    """A client's session on a worker."""

    id: str
    worker: str
    left_us: int  # until it expires, counted from when the message was sent
    lifetime_us: int
    cost: int
    version: int
    attempt_id: str = ""  # the attempt that opened it, until that reached the worker


class Claim(message_base.Message, tag="Claim", frozen=True):
    """The claim on a request that may not be repeated."""

    request_id: str
    attempt: int  # number of the client's attempt, from 1
    node: str
    attempt_id: str
    state: str  # a `pools.claims.ClaimState`: "claimed" or "ran"
    left_us: int  # until it expires, counted from when the message was sent


class WorkerGrant(message_base.Message, tag="Grant", frozen=True):
    """A grant that a node holds: enough for a new pool owner to count it."""

    pool: str
    attempt_id: str
    node: str
    worker: str
    session: str
    work: int
    long: bool  # whether it counts as a long prompt


class SelectWorker(message_base.Message, tag="Elect", frozen=True):
    """Ask the pool owner for a worker for one request."""

    pool: str
    term: message_base.Term  # of the pool owner as the node knows it
    node: str
    attempt_id: str  # of this attempt, made by the node
    request_id: str
    attempt: int  # number of the client's attempt, from 1
    idempotent: bool
    session: str
    prefix: list[str]
    work: int
    long: bool  # whether it counts as a long prompt
    excluded_workers: list[str]  # those that this request has tried
    terms: dict[str, int]
    wait_us: int
    is_retry: bool = False  # whether this would repeat an earlier attempt


class SelectionGranted(message_base.Message, tag="Granted", frozen=True):
    """The answer to `SelectWorker`: the worker that was selected, under the term of the pool owner."""

    term: message_base.Term
    worker: str
    left_us: int
    affinity: bool
    session_us: int  # lifetime of the session
    relay: str = ""  # a member that hears the worker, should the asking node not reach it


class SelectionDenied(message_base.Message, tag="Denied", frozen=True):
    """The answer to `SelectWorker` where no worker was selected, with the error for the client."""

    term: message_base.Term
    code: str  # of `errors.ServiceError`
    text: str
    execution: str  # of `errors.ExecutionOutcome`
    retry_us: int


class RevokeRequest(message_base.Message, tag="Forbid", frozen=True):
    """A retry came to another pool, as its route moved: was it sent here? If not, it never will be."""

    pool: str
    requesting_pool: str
    request_id: str


class RevokeResponse(message_base.Message, tag="Forbidden", frozen=True):
    """The answer to `RevokeRequest`."""

    state: str  # "" where it was never sent, else "claimed", "ran", "unknown", or "later": ask again


class GrantReleased(message_base.Message, tag="Done", frozen=True):
    """A grant has ended; `execution` says whether its attempt ran."""

    pool: str
    attempt_id: str
    execution: str  # of `errors.ExecutionOutcome`


class GrantReport(message_base.Message, tag="Running", frozen=True):
    """All grants that this node holds in a pool, sent every second."""

    pool: str
    node: str
    attempt_ids: list[str]
    reachable_workers: list[str] = msgspec.field(default_factory=list)  # workers that it heard in the last second
    abandoned_attempts: list[str] = msgspec.field(
        default_factory=list
    )  # attempts that it gave up lately without sending them


class RecordsRequest(message_base.Message, tag="Gather", frozen=True):
    """A new pool owner asks for all that is known of a pool."""

    pool: str
    term: message_base.Term
    owner: str


class RecordsResponse(message_base.Message, tag="Gathered", frozen=True):
    """The answer to `RecordsRequest`: a core's or a node's records of the pool."""

    ok: bool
    sessions: list[SessionRecord] = msgspec.field(default_factory=list)
    claims: list[Claim] = msgspec.field(default_factory=list)
    grants: list[WorkerGrant] = msgspec.field(default_factory=list)
    affinities: list[SessionRecord] = msgspec.field(default_factory=list)
    has_replica: bool = False  # whether a complete replica was ever kept there
    claims_missing_us: int = 0  # for how long earlier claims may still be missing
    first_attempts: dict[str, int] = msgspec.field(
        default_factory=dict
    )  # the node's part of the retry budget: requests and their ages in µs
    retries: list[int] = msgspec.field(default_factory=list)  # ages in µs


class ReplicateRecords(message_base.Message, tag="Copy", frozen=True):
    """A pool owner's records for those that keep replicas: the changed ones, or all where `complete`."""

    pool: str
    term: message_base.Term
    owner: str
    sessions: list[SessionRecord]
    claims: list[Claim]
    closed: list[str]  # ids of sessions that are closed
    complete: bool = False
    claims_missing_us: int = 0  # for how long earlier claims may still be missing


class ReplicateResponse(message_base.Message, tag="Copied", frozen=True):
    """The answer to `ReplicateRecords`: whether they were taken."""

    ok: bool


class SessionsClosed(message_base.Message, tag="Unpin", frozen=True):
    """Sessions that were closed or moved: no node may go by what it remembers of them."""

    pool: str
    sessions: list[str]
