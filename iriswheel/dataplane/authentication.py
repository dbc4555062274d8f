"""Authentication: finds the tenant of a request by the API key that the request carries.

A node knows only the digests of the keys. The key is removed from the request before the request is sent on, so that
no worker, peer, log or recording ever contains it.
"""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.dataplane import edge_protocol

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces, routed_request


class Authenticator:
    """Authenticates the requests of one node."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node

    def authenticate(self, request: routed_request.RoutedRequest) -> None:
        """Set a request's tenant by its key, and replace the credentials in its headers by the tenant's name.

        If the configuration requires no keys, the request stays as it is.

        Raises:
            errors.ServiceError: `unauthenticated` for a missing or unknown key on a route that is not public;
                `not_ready` if this node's configuration may be too old to decide.
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
        """Refuse a request if a key known here may have been revoked longer ago than the allowed revocation time.

        Raises:
            errors.ServiceError: `not_ready`, as this node can't tell whether the key is still valid.
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
