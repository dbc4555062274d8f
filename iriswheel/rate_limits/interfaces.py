"""What the rate limits use of the node process that they run in; `node.node.Node` provides it."""

from __future__ import annotations

import typing

from iriswheel.dataplane import interfaces

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.runtime import options, scheduler
    from iriswheel.transport import message, peers


class TenantView(typing.Protocol):
    """What the rate limits ask of the node's view of the fleet."""

    @property
    def membership(self) -> message.Membership:
        """The newest membership."""

    @property
    def tenants(self) -> dict[str, configuration.Tenant]:
        """The tenants, by name."""

    def may_be_replaced(self) -> bool:
        """Whether the core may have counted this node out while other nodes are in touch with it."""


class RateLimitNode(interfaces.MemberProcess, typing.Protocol):
    """The node process, as far as rate limits need it."""

    @property
    def runtime(self) -> scheduler.Runtime:
        """Clock, timers, tasks."""

    @property
    def options(self) -> options.Options:
        """The options of the process."""

    @property
    def follower(self) -> TenantView:
        """What this node knows of the fleet."""

    @property
    def peers(self) -> peers.Peers:
        """Connections to other processes."""
