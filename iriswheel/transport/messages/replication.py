"""Messages along the chain: appended entries, bringing a replica up to date, and the changes and reads of operators."""

import enum
import typing

import msgspec

import iriswheel.transport.messages.base as message_base


class ChangeKind(enum.StrEnum):
    """What a log entry does, or a proposal would.

    The field on the wire and on disk stays a plain string, so that an entry of a newer program's kind can be
    decoded, and is refused only where it would be applied.
    """

    PLAN = "plan"  # store a plan, to be confirmed later
    CONFIRM = "confirm"  # apply the plan of that id
    APPLY = "apply"  # store and apply in one entry


class LogEntry(message_base.Message, tag="Entry", frozen=True):
    """One entry of the replicated log."""

    index: int
    view: int  # number of the view in which the entry was made
    kind: str  # a `ChangeKind`
    plan: str  # id of the plan
    base: int = 0  # configuration version that the change was made for
    changes: message_base.ItemChanges = msgspec.field(default_factory=list)


class LogPosition(message_base.Message, tag="Position", frozen=True):
    """A place in the log: an entry's index, and the number of the view in which it was made."""

    index: int
    view: int


class PositionRequest(message_base.Message, tag="Place", frozen=True):
    """Ask the next replica how far it has come."""

    view: int
    sender: str


class PositionResponse(message_base.Message, tag="Placed", frozen=True):
    """The answer to `PositionRequest`: the newest synced entry, and how much of a snapshot has arrived in chunks."""

    ok: bool
    index: int = 0
    view: int = 0
    accepts_chunks: bool = False  # whether it takes snapshots in chunks; older programs do not
    snapshot: str = ""  # digest of the snapshot that is arriving
    received: int = 0  # bytes of it


class SnapshotChunk(message_base.Message, tag="Piece", frozen=True):
    """A part of a snapshot for the next replica, which only keeps it until a last `CatchUp` names the snapshot."""

    view: int
    snapshot: str  # digest of the whole snapshot
    total: int  # bytes of the whole snapshot
    offset: int  # bytes before this chunk
    content: bytes


class SnapshotChunkResponse(message_base.Message, tag="PieceTaken", frozen=True):
    """The answer to `SnapshotChunk`: how many bytes of the snapshot have arrived."""

    ok: bool
    received: int = 0


class CatchUp(message_base.Message, tag="Refill", frozen=True, rename={"whole_snapshot": "frame"}):
    """Bring the next replica up to date: entries after its newest one, or after a snapshot sent before in chunks."""

    view: int
    whole_snapshot: bytes | None  # for programs that take no snapshot in chunks
    entries: list[LogEntry]
    after: LogPosition | None = None  # the entry that these follow
    snapshot: str = ""  # digest of the snapshot that these follow
    last: bool = True  # whether the replica then holds all that the sender holds


class AppendRequest(message_base.Message, tag="Append", frozen=True):
    """Entries for the next replica of the chain, in order."""

    view: int
    entries: list[LogEntry]


class AppendResponse(message_base.Message, tag="Stored", frozen=True):
    """The answer to `AppendRequest`: all replicas from here to the tail have synced up to `index`."""

    ok: bool
    index: int = 0


class ProposeChange(message_base.Message, tag="Propose", frozen=True):
    """An operator's change, on its way to the head."""

    view: int
    kind: str  # a `ChangeKind`
    plan: str
    base: int = 0
    changes: message_base.ItemChanges = msgspec.field(default_factory=list)


class ProposeChangeResponse(message_base.Message, tag="Proposed", frozen=True):
    """The answer to `ProposeChange`: an error, or the version under which the change is committed."""

    code: str  # of `errors.ServiceError`; "" where the change is committed
    execution: str = "not_run"  # of `errors.ExecutionOutcome`
    text: str = ""
    version: int = 0


class ReadRequest(message_base.Message, tag="Look", frozen=True):
    """Read the configuration at the tail, and a plan where one is named."""

    view: int
    plan: str = ""


class ReadResponse(message_base.Message, tag="Seen", frozen=True):
    """The answer to `ReadRequest`: the items under their version, and the plan asked for."""

    ok: bool
    version: int = 0
    items: message_base.Items = msgspec.field(default_factory=dict)
    plan: dict[str, typing.Any] | None = None
    taken: int = 0  # the version under which the change of that id was taken
    forgotten: int = 0  # the highest number of a change taken whose id is no longer remembered
