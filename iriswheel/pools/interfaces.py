"""What a pool owner uses of the node process that it runs in; `node.node.Node` provides it."""

from __future__ import annotations

import collections.abc
import typing

from iriswheel.dataplane import interfaces

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.dataplane import health
    from iriswheel.pools import pool_owner
    from iriswheel.runtime import scheduler
    from iriswheel.transport import message, peers


class CoreNotices(typing.Protocol):
    """The node's session with a core machine, for notices alone."""

    def tell(self, msg: message.Message) -> None:
        """Send the core machine a message; dropped where there is no connection."""


class OwnerFleetView(typing.Protocol):
    """What a pool owner asks of the node's view of the fleet."""

    @property
    def session(self) -> CoreNotices:
        """The session with a core machine."""

    @property
    def membership(self) -> message.Membership:
        """The newest membership."""

    @property
    def workers(self) -> list[message.Worker]:
        """The workers as they were last listed."""

    @property
    def workers_by_id(self) -> dict[str, message.Worker]:
        """The listed workers, by id."""

    @property
    def updated_at(self) -> int | None:
        """When the worker list was last sent or confirmed, in µs; None before the first."""

    def pool(self, name: str) -> configuration.Pool | None:
        """Return a pool's configuration, or None."""

    def assignment(self, key: str) -> message.RoleAssignment | None:
        """Return a role's assignment, or None."""

    def accepts_requests(self, worker: str) -> bool:
        """Whether new requests may go to a worker: it is listed as ready, and its zone is not evacuated."""

    def needs_rejoin(self) -> bool:
        """Whether this process did not run for a while and has not rejoined yet."""


class OwnerNode(interfaces.MemberProcess, typing.Protocol):
    """The node process, as far as a pool owner needs it."""

    @property
    def runtime(self) -> scheduler.Runtime:
        """Clock, timers, tasks."""

    @property
    def follower(self) -> OwnerFleetView:
        """What this node knows of the fleet."""

    @property
    def reachability(self) -> health.Reachability:
        """Which workers are reached from here."""

    @property
    def peers(self) -> peers.Peers:
        """Connections to other processes."""

    @property
    def pool_owners(self) -> collections.abc.Mapping[str, pool_owner.PoolOwner]:
        """The pool owners whose role is here, by pool."""

    def tell_member(self, identifier: str, notice: message.Message) -> None:
        """Send a member a notice without an answer."""

    @typing.overload
    async def call_members(
        self, members: list[message.Member], request: message.ReplicateRecords, deadline_us: int
    ) -> dict[str, message.ReplicateResponse | None]: ...

    @typing.overload
    async def call_members(
        self, members: list[message.Member], request: message.RecordsRequest, deadline_us: int
    ) -> dict[str, message.RecordsResponse | None]: ...

    @typing.overload
    async def call_members(
        self, members: list[message.Member], request: message.RevokeRequest, deadline_us: int
    ) -> dict[str, message.RevokeResponse | None]: ...

    @typing.overload
    async def call_members(
        self, members: list[message.Member], request: message.ProbeRequest, deadline_us: int
    ) -> dict[str, message.ProbeResponse | None]: ...

    async def call_members(
        self, members: list[message.Member], request: message.Message, deadline_us: int
    ) -> collections.abc.Mapping[str, message.Message | None]:
        """Call members, this one included; the answers by member id, None where none came in time."""
