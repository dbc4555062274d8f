"""Dispatch of messages from other nodes to the parts of the node that handle them."""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.node import node
    from iriswheel.transport import wire

Response = collections.abc.Coroutine[typing.Any, typing.Any, message.Message] | message.Message | None
"""An answer, a coroutine that returns the answer, or None for a message without an answer."""

log = loguru.logger.bind(part="node")


class PeerRequests:
    """Calls the handler for the type of each message."""

    def __init__(self, local_node: node.Node) -> None:
        self.node = local_node
        self.follower = local_node.follower
        pool_roles, gateway = local_node.pool_roles, local_node.gateway
        # message type -> handler of messages of that type
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
            connection: The connection on which the message arrived; None if this node sent it to itself.
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
            log.warning(
                "The node drops a message of type {message_type}, for which it has no handler.",
                message_type=type(request).__name__,
            )
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
