"""Index of the messages between iriswheel's own processes, and `AnyMessage`, the union of those a frame may hold."""

import typing

from iriswheel.transport.messages.base import Ballot as Ballot
from iriswheel.transport.messages.base import ItemChanges as ItemChanges
from iriswheel.transport.messages.base import Items as Items
from iriswheel.transport.messages.base import ListingVersion as ListingVersion
from iriswheel.transport.messages.base import MembershipVersion as MembershipVersion
from iriswheel.transport.messages.base import Message as Message
from iriswheel.transport.messages.base import Term as Term
from iriswheel.transport.messages.base import plain as plain
from iriswheel.transport.messages.connection import KeepAlive as KeepAlive
from iriswheel.transport.messages.connection import VersionHandshake as VersionHandshake
from iriswheel.transport.messages.consensus import Accept as Accept
from iriswheel.transport.messages.consensus import Accepted as Accepted
from iriswheel.transport.messages.consensus import ChainReplica as ChainReplica
from iriswheel.transport.messages.consensus import Decided as Decided
from iriswheel.transport.messages.consensus import FirstStart as FirstStart
from iriswheel.transport.messages.consensus import Heartbeat as Heartbeat
from iriswheel.transport.messages.consensus import Prepare as Prepare
from iriswheel.transport.messages.consensus import Promise as Promise
from iriswheel.transport.messages.consensus import View as View
from iriswheel.transport.messages.consensus import Voter as Voter
from iriswheel.transport.messages.counters import CounterAdd as CounterAdd
from iriswheel.transport.messages.counters import HeldIntervals as HeldIntervals
from iriswheel.transport.messages.counters import Interval as Interval
from iriswheel.transport.messages.counters import OriginAdds as OriginAdds
from iriswheel.transport.messages.counters import ReplicateAdds as ReplicateAdds
from iriswheel.transport.messages.counters import ReplicateAddsResponse as ReplicateAddsResponse
from iriswheel.transport.messages.health import ProbeOutcome as ProbeOutcome
from iriswheel.transport.messages.health import ProbeRequest as ProbeRequest
from iriswheel.transport.messages.health import ProbeResponse as ProbeResponse
from iriswheel.transport.messages.health import RelayRequest as RelayRequest
from iriswheel.transport.messages.health import RelayResponse as RelayResponse
from iriswheel.transport.messages.health import WorkerUnreachable as WorkerUnreachable
from iriswheel.transport.messages.load import LoadReport as LoadReport
from iriswheel.transport.messages.load import LoadRow as LoadRow
from iriswheel.transport.messages.membership import LeaseRequest as LeaseRequest
from iriswheel.transport.messages.membership import LeaseResponse as LeaseResponse
from iriswheel.transport.messages.membership import ListingUnchanged as ListingUnchanged
from iriswheel.transport.messages.membership import Member as Member
from iriswheel.transport.messages.membership import Membership as Membership
from iriswheel.transport.messages.membership import NodeSessionsReport as NodeSessionsReport
from iriswheel.transport.messages.membership import RoleActivated as RoleActivated
from iriswheel.transport.messages.membership import RoleAssignment as RoleAssignment
from iriswheel.transport.messages.membership import RoleContested as RoleContested
from iriswheel.transport.messages.membership import TailHeartbeat as TailHeartbeat
from iriswheel.transport.messages.membership import Worker as Worker
from iriswheel.transport.messages.membership import WorkerListing as WorkerListing
from iriswheel.transport.messages.membership import WorkerState as WorkerState
from iriswheel.transport.messages.membership import ZonedWorker as ZonedWorker
from iriswheel.transport.messages.node_peers import CoreStatusQuery as CoreStatusQuery
from iriswheel.transport.messages.node_peers import CoreStatusResponse as CoreStatusResponse
from iriswheel.transport.messages.node_peers import ForwardedListing as ForwardedListing
from iriswheel.transport.messages.node_peers import ListingRequest as ListingRequest
from iriswheel.transport.messages.node_peers import PolledWorkers as PolledWorkers
from iriswheel.transport.messages.node_session import ConfigurationSnapshot as ConfigurationSnapshot
from iriswheel.transport.messages.node_session import ConfigurationUpdate as ConfigurationUpdate
from iriswheel.transport.messages.node_session import JoinRequest as JoinRequest
from iriswheel.transport.messages.node_session import MemberLeaving as MemberLeaving
from iriswheel.transport.messages.node_session import MembershipUpdate as MembershipUpdate
from iriswheel.transport.messages.node_session import Redirect as Redirect
from iriswheel.transport.messages.node_session import SessionHeartbeat as SessionHeartbeat
from iriswheel.transport.messages.node_session import UnconfirmedConfiguration as UnconfirmedConfiguration
from iriswheel.transport.messages.pools import Claim as Claim
from iriswheel.transport.messages.pools import GrantReleased as GrantReleased
from iriswheel.transport.messages.pools import GrantReport as GrantReport
from iriswheel.transport.messages.pools import RecordsRequest as RecordsRequest
from iriswheel.transport.messages.pools import RecordsResponse as RecordsResponse
from iriswheel.transport.messages.pools import ReplicateRecords as ReplicateRecords
from iriswheel.transport.messages.pools import ReplicateResponse as ReplicateResponse
from iriswheel.transport.messages.pools import RevokeRequest as RevokeRequest
from iriswheel.transport.messages.pools import RevokeResponse as RevokeResponse
from iriswheel.transport.messages.pools import SelectionDenied as SelectionDenied
from iriswheel.transport.messages.pools import SelectionGranted as SelectionGranted
from iriswheel.transport.messages.pools import SelectWorker as SelectWorker
from iriswheel.transport.messages.pools import SessionRecord as SessionRecord
from iriswheel.transport.messages.pools import SessionsClosed as SessionsClosed
from iriswheel.transport.messages.pools import WorkerGrant as WorkerGrant
from iriswheel.transport.messages.rate_limits import ChargeOutcome as ChargeOutcome
from iriswheel.transport.messages.rate_limits import ChargeRefund as ChargeRefund
from iriswheel.transport.messages.rate_limits import ChargeRequest as ChargeRequest
from iriswheel.transport.messages.rate_limits import ChargeResponse as ChargeResponse
from iriswheel.transport.messages.replication import AppendRequest as AppendRequest
from iriswheel.transport.messages.replication import AppendResponse as AppendResponse
from iriswheel.transport.messages.replication import CatchUp as CatchUp
from iriswheel.transport.messages.replication import ChangeKind as ChangeKind
from iriswheel.transport.messages.replication import LogEntry as LogEntry
from iriswheel.transport.messages.replication import LogPosition as LogPosition
from iriswheel.transport.messages.replication import PositionRequest as PositionRequest
from iriswheel.transport.messages.replication import PositionResponse as PositionResponse
from iriswheel.transport.messages.replication import ProposeChange as ProposeChange
from iriswheel.transport.messages.replication import ProposeChangeResponse as ProposeChangeResponse
from iriswheel.transport.messages.replication import ReadRequest as ReadRequest
from iriswheel.transport.messages.replication import ReadResponse as ReadResponse
from iriswheel.transport.messages.replication import SnapshotChunk as SnapshotChunk
from iriswheel.transport.messages.replication import SnapshotChunkResponse as SnapshotChunkResponse

AnyMessage: typing.TypeAlias = (
    Heartbeat
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Decided
    | LeaseRequest
    | LeaseResponse
    | PositionRequest
    | PositionResponse
    | LogPosition
    | SnapshotChunk
    | SnapshotChunkResponse
    | CatchUp
    | AppendRequest
    | AppendResponse
    | ProposeChange
    | ProposeChangeResponse
    | ReadRequest
    | ReadResponse
    | NodeSessionsReport
    | TailHeartbeat
    | JoinRequest
    | Redirect
    | ConfigurationSnapshot
    | ConfigurationUpdate
    | MembershipUpdate
    | SessionHeartbeat
    | WorkerListing
    | RoleActivated
    | MemberLeaving
    | SelectWorker
    | SelectionGranted
    | SelectionDenied
    | GrantReleased
    | GrantReport
    | RecordsRequest
    | RecordsResponse
    | ReplicateRecords
    | ReplicateResponse
    | SessionsClosed
    | ForwardedListing
    | CoreStatusQuery
    | CoreStatusResponse
    | KeepAlive
    | LogEntry
    | Membership
    | VersionHandshake
    | RoleContested
    | UnconfirmedConfiguration
    | PolledWorkers
    | ListingUnchanged
    | ListingRequest
    | LoadReport
    | ProbeRequest
    | ProbeResponse
    | WorkerUnreachable
    | RelayRequest
    | RelayResponse
    | RevokeRequest
    | RevokeResponse
    | ChargeRequest
    | ChargeResponse
    | ChargeRefund
    | ReplicateAdds
    | ReplicateAddsResponse
    | FirstStart
)
