"""Admission of a request: parsing, route and pool, tenant, session terms, and its record in the retry budget."""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.configuration import schema
from iriswheel.dataplane import authentication, sessions

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.dataplane import interfaces, node_budgets, routed_request


BYTES_PER_WORK_UNIT = 16  # of the request body
MIN_WORK_UNITS = 20  # work units of a request with an empty body


class RequestRouter:
    """Admits requests: sets their fields by this node's copy of the configuration, or refuses them."""

    def __init__(self, node: interfaces.DataPlaneNode, budgets: node_budgets.NodeBudgets) -> None:
        self.node = node
        self.runtime = node.runtime
        self.budgets = budgets
        self.authenticator = authentication.Authenticator(node)

    def parse(self, request: routed_request.RoutedRequest) -> None:
        """Check the method and the length headers, and parse the request's id, attempt number, idempotence and body.

        Raises:
            errors.ServiceError: The request is malformed.
        """
        http_request, headers = request.http_request, request.http_request.requestHeaders
        if http_request.method != b"POST" and not self.node.edge_protocol.accepts_any_method:
            raise errors.ServiceError("bad_method", "Exchanges are sent with POST.")
        if (
            http_request.method == b"POST"
            and not headers.hasHeader("content-length")
            and not headers.hasHeader("transfer-encoding")
        ):
            raise errors.ServiceError(
                "length_required",
                "The body's length is not said.",
                field="Content-Length",
            )
        parsed = request.parsed = self.node.edge_protocol.parse_request(http_request)
        request.parts, request.request_id, request.attempt_number = (
            parsed.parts,
            parsed.request_id,
            parsed.attempt_number,
        )
        request.idempotent = parsed.idempotent
        request.raw = http_request.take_body()

    def admit(self, request: routed_request.RoutedRequest) -> None:
        """Route and authenticate a parsed request, and record a first attempt in the retry budget.

        Raises:
            errors.ServiceError: No route matches, the key is missing or unknown, or this node accepts no requests now.
        """
        self._route(request)
        self.authenticator.authenticate(request)
        self._set_terms(request)
        if self.node.refusing_requests:
            raise errors.ServiceError("stopping", "This node is stopping.")
        if request.attempt_number <= 1:
            self.budgets.budget(request).record_first_attempt(
                self.runtime.now(), request.request_id or request.attempt_id
            )

    def reroute(self, request: routed_request.RoutedRequest) -> None:
        """Route a request again if the configuration has changed since it was routed."""
        if request.configuration_index != self.node.follower.applied_index:
            self._route(request)
            self._set_terms(request)

    def _route(self, request: routed_request.RoutedRequest) -> None:
        """Find the route by host and longest matching path, and choose its pool.

        If no route matches, a node that may have missed a configuration change answers `not_ready` instead of
        `no_route`, because the route may exist by now.
        """
        follower = self.node.follower
        if follower.items is None:
            raise errors.ServiceError("not_ready", "This node has no blueprint yet.")
        route = follower.find_route(request.parsed.host, request_path(request))
        if route is None and (follower.configuration_may_be_stale() or follower.needs_rejoin()):
            raise errors.ServiceError(
                "not_ready",
                "This node is cut off for now.",
                request.known_outcome(),
            )
        if route is None:
            raise errors.ServiceError("no_route", "No route fits this path.", request.known_outcome(), field="path")
        request.route = route
        match route.repeat:
            case schema.RepeatPolicy.MAY:
                request.idempotent = True
            case schema.RepeatPolicy.NEVER:
                request.idempotent = False
        request.pool_name = self._choose_pool(route)
        request.pool = follower.pools[request.pool_name]
        request.configuration_index = follower.applied_index

    def _choose_pool(self, route: configuration.Route) -> str:
        """Return the pool of a route; for a split route, one of its pools at random, by their weights."""
        if not route.split:
            return route.pool
        left = self.runtime.rng.random() * sum(share["weight"] for share in route.split)
        for share in route.split:
            left -= share["weight"]
            if left < 0:
                break
        return str(share["pool"])

    def _set_terms(self, request: routed_request.RoutedRequest) -> None:
        """Set the session terms and the deadline of a request.

        In a pool whose owner selects the workers, also set the session id, whether the request is long, and its work
        units.
        """
        route, pool, parsed = request.route, request.pool, request.parsed
        terms = request.terms = self.node.follower.terms[route.requesters.get(parsed.client, route.terms)]
        if pool.election == schema.Election.NODE:
            spans_us = [span_us for span_us in (parsed.left_us, route.cutoff_us or None) if span_us is not None]
            request.deadline_us = request.arrived_at_us + min(spans_us, default=pool.long_wait_us)
            return
        request.session = sessions.derive_session_id(request.parts, terms.session_part)
        request.is_long = len(request.raw) >= pool.long_bytes
        request.work_units = MIN_WORK_UNITS + len(request.raw) // BYTES_PER_WORK_UNIT
        wait_us = pool.long_wait_us if request.is_long else pool.short_wait_us
        request.deadline_us = max(request.deadline_us, request.arrived_at_us + wait_us)


def request_path(request: routed_request.RoutedRequest) -> str:
    """Return the path of a request's URI."""
    return request.http_request.path.decode("latin-1")


def covers(path: str, requested_path: str) -> bool:
    """Whether a route's path covers a requested path: it is the same path or a parent of it.

    >>> covers("/v1", "/v1/chat"), covers("/v1", "/v10"), covers("/", "/any")
    (True, False, True)
    """
    return requested_path == path or requested_path.startswith(path if path.endswith("/") else path + "/")
