"""Messages along the chain of replicas: appended entries, catch-up of a replica, and operators' changes and reads."""

import enum
import typing

import msgspec

import iriswheel.transport.messages.base as message_base


class ChangeKind(enum.StrEnum):
    """The kind of a log entry or proposal.

    The field on the wire and on disk stays a plain string, so that an entry of a kind that only a newer program knows
    can be decoded, and is refused only when it would be applied.
    """

    PLAN = "plan"  # store a plan, to be confirmed later
    CONFIRM = "confirm"  # apply the stored plan that the field `plan` names
    APPLY = "apply"  # store and apply a change in one entry


class LogEntry(message_base.Message, tag="Entry", frozen=True):
    """One entry of the replicated log."""

    index: int
    view: int  # number of the view in which the entry was made
    kind: str  # a `ChangeKind`
    plan: str  # id of the plan or change
    base: int = 0  # configuration version to which the change applies
    changes: message_base.ItemChanges = msgspec.field(default_factory=list)


class LogPosition(message_base.Message, tag="Position", frozen=True):
    """A position in the log: the index of an entry, and the number of the view in which it was made."""

    index: int
    view: int


class PositionRequest(message_base.Message, tag="Place", frozen=True):
    """Ask the next replica of the chain for its log position."""

    view: int
    sender: str


class PositionResponse(message_base.Message, tag="Placed", frozen=True):
    """The answer to `PositionRequest`: the newest synced entry, and how much of a snapshot was received in chunks."""

    ok: bool
    index: int = 0
    view: int = 0
    accepts_chunks: bool = False  # whether the replica accepts snapshots in chunks; older programs do not
    snapshot: str = ""  # digest of the snapshot that is being received
    received: int = 0  # bytes of that snapshot received so far


class SnapshotChunk(message_base.Message, tag="Piece", frozen=True):
    """A part of a snapshot for the next replica, which buffers it until the last `CatchUp` names the snapshot."""

    view: int
    snapshot: str  # digest of the whole snapshot
    total: int  # length of the whole snapshot in bytes
    offset: int  # offset of this chunk in bytes
    content: bytes


class SnapshotChunkResponse(message_base.Message, tag="PieceTaken", frozen=True):
    """The answer to `SnapshotChunk`: how many bytes of the snapshot were received so far."""

    ok: bool
    received: int = 0


class CatchUp(message_base.Message, tag="Refill", frozen=True, rename={"whole_snapshot": "frame"}):
    """Brings the next replica up to date: entries after its newest one, or after a snapshot sent earlier in chunks."""

    view: int
    whole_snapshot: bytes | None  # for older programs, which accept no chunks
    entries: list[LogEntry]
    after: LogPosition | None = None  # position of the entry that `entries` follow
    snapshot: str = ""  # digest of the snapshot that `entries` follow
    last: bool = True  # whether the replica then has all that the sender has


class AppendRequest(message_base.Message, tag="Append", frozen=True):
    """Entries for the next replica of the chain, in order."""

    view: int
    entries: list[LogEntry]


class AppendResponse(message_base.Message, tag="Stored", frozen=True):
    """The answer to `AppendRequest`: all replicas from here to the tail have synced up to `index`."""

    ok: bool
    index: int = 0


class ProposeChange(message_base.Message, tag="Propose", frozen=True):
    """An operator's change, sent to the head of the chain."""

    view: int
    kind: str  # a `ChangeKind`
    plan: str
    base: int = 0
    changes: message_base.ItemChanges = msgspec.field(default_factory=list)


class ProposeChangeResponse(message_base.Message, tag="Proposed", frozen=True):
    """The answer to `ProposeChange`: an error, or the version under which the change is committed."""

    code: str  # an `errors.ErrorCode`; "" if the change is committed
    execution: str = "not_run"  # an `errors.ExecutionOutcome`
    text: str = ""
    version: int = 0


class ReadRequest(message_base.Message, tag="Look", frozen=True):
    """Asks the tail for the configuration, and for a plan if one is named."""

    view: int
    plan: str = ""


class ReadResponse(
    message_base.Message,
    tag="Seen",
    frozen=True,
    rename={"accepted_version": "taken", "highest_dropped_number": "forgotten"},
):
    """The answer to `ReadRequest`: the configuration's version and items, and the requested plan."""

    ok: bool
    version: int = 0
    items: message_base.Items = msgspec.field(default_factory=dict)
    plan: dict[str, typing.Any] | None = None
    accepted_version: int = 0  # configuration version that the change with the requested id made; 0 if unknown
    highest_dropped_number: int = 0  # highest number of an accepted change whose id is no longer stored
