"""Interfaces through which a pool owner uses its node process; `node.node.Node` implements them."""

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
    """The node's session with a core machine, restricted to messages without an answer."""

    def tell(self, msg: message.Message) -> None:
        """Send the core machine a message, which is dropped if there is no connection."""


class OwnerFleetView(typing.Protocol):
    """The part of the node's view of the fleet that a pool owner uses."""

    @property
    def session(self) -> CoreNotices:
        """The session with a core machine."""

    @property
    def membership(self) -> message.Membership:
        """The newest membership that this node has received."""

    @property
    def workers(self) -> list[message.Worker]:
        """The workers of the newest worker list."""

    @property
    def workers_by_id(self) -> dict[str, message.Worker]:
        """The workers of the newest worker list, by id."""

    @property
    def updated_at(self) -> int | None:
        """When the worker list was last sent or confirmed, in µs; None before the first."""

    def pool(self, name: str) -> configuration.Pool | None:
        """Return a pool's configuration, or None if the configuration has no such pool."""

    def assignment(self, key: str) -> message.RoleAssignment | None:
        """Return the assignment of the role with this key from the membership, or None."""

    def accepts_requests(self, worker: str) -> bool:
        """Whether new requests may go to a worker: it is listed as ready, and its zone is not evacuated."""

    def needs_rejoin(self) -> bool:
        """Whether this process was frozen for a while, so that its view may be stale, and has not rejoined yet."""


class OwnerNode(interfaces.MemberProcess, typing.Protocol):
    """The part of the node process that a pool owner uses."""

    @property
    def runtime(self) -> scheduler.Runtime:
        """The process's clock, timers and tasks."""

    @property
    def follower(self) -> OwnerFleetView:
        """This node's view of the fleet."""

    @property
    def reachability(self) -> health.Reachability:
        """This node's own contact with the workers."""

    @property
    def peers(self) -> peers.Peers:
        """The connections to other processes of the fleet."""

    @property
    def pool_owners(self) -> collections.abc.Mapping[str, pool_owner.PoolOwner]:
        """The pool owners that run on this node, by pool."""

    def tell_member(self, identifier: str, notice: message.Message) -> None:
        """Send a member, which may be this node, a message without an answer."""

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
        """Call members, of which one may be this node; return the answers by member id, None if none came in time."""
