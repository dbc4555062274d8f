"""Interfaces through which the rate limits use their node process; `node.node.Node` implements them."""

from __future__ import annotations

import typing

from iriswheel.dataplane import interfaces

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.runtime import options, scheduler
    from iriswheel.transport import message, peers


class TenantView(typing.Protocol):
    """The part of the node's view of the fleet that the rate limits use."""

    @property
    def membership(self) -> message.Membership:
        """The newest membership that this node has received."""

    @property
    def tenants(self) -> dict[str, configuration.Tenant]:
        """The configured tenants, by name."""

    def may_be_replaced(self) -> bool:
        """Whether the core may have removed this node from the membership while other nodes are in contact with it."""


class RateLimitNode(interfaces.MemberProcess, typing.Protocol):
    """The part of the node process that the rate limits use."""

    @property
    def runtime(self) -> scheduler.Runtime:
        """The process's clock, timers and tasks."""

    @property
    def options(self) -> options.Options:
        """The options of the process."""

    @property
    def follower(self) -> TenantView:
        """This node's view of the fleet."""

    @property
    def peers(self) -> peers.Peers:
        """The connections to other processes of the fleet."""
