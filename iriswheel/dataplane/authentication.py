"""Which tenant a request belongs to, by the key that it carries.

A key is known here by its digest alone. It is taken off the request before anything is sent, so that no worker,
peer, log or recording ever has it.
"""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.dataplane import edge_protocol

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces, routed_request


class Authenticator:
    """Finds the tenants of a node's requests."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node

    def authenticate(self, request: routed_request.RoutedRequest) -> None:
        """Set a request's tenant by its key, and put the tenant's name in the place of its credentials.

        Nothing is done where the configuration requires no keys.

        Raises:
            errors.ServiceError: `unauthenticated` for a missing or unknown key on a route that is not public;
                `not_ready` where this node's configuration may be too old to know.
        """
        follower = self.node.follower
        if not follower.limits.require_key:
            return
        found = follower.find_tenant(request.parsed.key_digest) if request.parsed.key_digest else None
        if found is None and not request.route.public:
            self._refuse_unknown_key()
        if found is not None:
            self.check_freshness()
            request.tenant_name, request.tenant = found
        edge_protocol.replace_credentials(
            request.http_request.requestHeaders, request.tenant.told_as or request.tenant_name if request.tenant else ""
        )

    def check_freshness(self) -> None:
        """Refuse, where a key that this node knows may have been taken away longer ago than is allowed.

        Raises:
            errors.ServiceError: `not_ready`.
        """
        if self.node.follower.keys_may_be_revoked():
            raise errors.ServiceError("not_ready", "This node can't tell whether the key has been revoked.")

    def _refuse_unknown_key(self) -> None:
        follower = self.node.follower
        if follower.configuration_may_be_stale() or follower.needs_rejoin() or follower.keys_may_be_revoked():
            raise errors.ServiceError(
                "not_ready", "The key is unknown to this node, whose configuration may be outdated."
            )
        raise errors.ServiceError(
            "unauthenticated", "The request carries no key, or a key that belongs to no tenant.", field="Authorization"
        )
