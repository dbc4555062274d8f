"""Dispatch of the messages of other nodes to the part of the node that handles each."""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.node import node
    from iriswheel.transport import wire

Response = collections.abc.Coroutine[typing.Any, typing.Any, message.Message] | message.Message | None
"""An answer, one that is still to come, or none at all."""

log = loguru.logger.bind(part="node")


class PeerRequests:
    """Passes each message on to the part of the node that it is for."""

    def __init__(self, local_node: node.Node) -> None:
        self.node = local_node
        self.follower = local_node.follower
        pool_roles, gateway = local_node.pool_roles, local_node.gateway
        # each handler takes messages of the type that is its key
        self._handlers: dict[type[message.Message], collections.abc.Callable[[typing.Any], Response]] = {
            message.SelectWorker: pool_roles.select_worker,
            message.RevokeRequest: pool_roles.revoke,
            message.GrantReleased: pool_roles.release,
            message.GrantReport: pool_roles.take_report,
            message.RecordsRequest: pool_roles.export_records,
            message.ReplicateRecords: pool_roles.replicate,
            message.SessionsClosed: lambda closed: gateway.selector.forget_sessions(closed.pool, closed.sessions),
            message.ProbeRequest: lambda request: local_node.reachability.probe(request.worker),
            message.WorkerUnreachable: lambda notice: gateway.attempts.cancel_unreachable(notice.worker),
            message.RelayRequest: lambda request: message.RelayResponse(gateway.relays.issue_token(request.worker)),
            message.ForwardedListing: lambda forwarded: self.follower.apply_listing(forwarded.listing),
            message.PolledWorkers: lambda polled: self.follower.apply_polled_workers(polled.workers),
            message.CoreStatusQuery: self._core_status,
            message.ChargeRequest: local_node.rate_limiter.owner.charge,
            message.ChargeRefund: local_node.rate_limiter.owner.refund,
        }

    def serve(self, connection: wire.Connection | None, request: message.Message) -> Response:
        """Answer one message.

        Args:
            connection: Where the message came from; None where this node sent it to itself.
            request: The message.
        """
        match request:
            case message.ListingUnchanged():
                if not self.follower.apply_listing_unchanged(request) and connection is not None:
                    connection.tell(message.ListingRequest())
                return None
            case message.ListingRequest():
                listing = self.follower.platform.full_listing
                if listing is not None and connection is not None:
                    connection.tell(message.ForwardedListing(listing))
                return None
        handler = self._handlers.get(type(request))
        if handler is None:
            log.warning("A node does not handle messages of type {message_type}.", message_type=type(request).__name__)
            return None
        return handler(request)

    def _core_status(self, query: message.CoreStatusQuery) -> message.CoreStatusResponse:
        follower = self.follower
        reaches_core = follower.session.has_recent_contact() and not follower.needs_rejoin()
        return message.CoreStatusResponse(
            reaches_core,
            follower.membership if follower.membership.version > query.version else None,
            follower.session.address if reaches_core else None,
            follower.applied_index,
        )
