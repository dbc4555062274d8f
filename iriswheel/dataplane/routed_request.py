"""The state of one client request from its admission to its end."""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.configuration import schema

if typing.TYPE_CHECKING:
    from twisted.internet import defer

    from iriswheel.configuration import configuration
    from iriswheel.dataplane import edge_protocol
    from iriswheel.transport import http_server


class RoutedRequest:
    """One request on its way through the node.

    The router fills in what the configuration says of it; `parsed`, `route`, `pool` and `terms` are set once
    it is admitted. Times are microseconds of `Runtime.now`.
    """

    __slots__ = (
        "arrived_at_us",
        "attempt_id",
        "attempt_number",
        "configuration_index",
        "deadline_us",
        "done",
        "grant_requested",
        "http_request",
        "idempotent",
        "is_long",
        "may_have_run",
        "parsed",
        "parts",
        "pool",
        "pool_name",
        "raw",
        "request_id",
        "route",
        "session",
        "tenant",
        "tenant_name",
        "terms",
        "work_units",
    )

    parsed: edge_protocol.ParsedRequest
    route: configuration.Route
    pool: configuration.Pool
    pool_name: str
    terms: configuration.Terms
    done: defer.Deferred[None]  # fires when a request that went through a work queue is over

    def __init__(self, http_request: http_server.Request, attempt_id: str, now: int) -> None:
        self.http_request = http_request
        self.attempt_id = attempt_id
        self.arrived_at_us = now
        self.raw = b""
        self.parts: list[str] = []  # ids of the prompt's parts, outermost first
        self.request_id = ""
        self.attempt_number = 0  # the client's number of this send of the request; above 1 it is a repeat
        self.idempotent = False
        self.session = ""
        self.is_long = False
        self.work_units = 0
        self.deadline_us = now
        self.configuration_index = 0  # the configuration's log index when it was routed
        self.may_have_run = False  # whether an attempt may have reached a worker
        self.grant_requested = False  # whether a pool owner may hold a grant for it
        self.tenant_name = ""
        self.tenant: configuration.Tenant | None = None  # whose key it carries, where keys are required

    @property
    def urgency(self) -> int:
        """The tenant's urgency, or else the route's; 0 goes first."""
        if self.tenant is None or self.tenant.urgency == schema.ROUTE_URGENCY:
            return self.route.urgency
        return self.tenant.urgency

    @property
    def is_retry(self) -> bool:
        """Whether a send now would repeat one that may have run, by this node or by the client's word."""
        return self.may_have_run or self.attempt_number > 1

    def known_outcome(self) -> errors.ExecutionOutcome:
        """Return what may be said of the request if it is given up now."""
        return errors.ExecutionOutcome.MAY_HAVE_RUN if self.may_have_run else errors.ExecutionOutcome.NOT_RUN

    def renew_attempt_id(self) -> None:
        """Take the next attempt id: a given-up attempt's id is never used for another one."""
        self.attempt_id = next_attempt_id(self.attempt_id)


def next_attempt_id(attempt_id: str) -> str:
    """Return the id of the attempt that follows; one request's attempts are numbered after the slash.

    >>> next_attempt_id("n1-c0ffee-7/0")
    'n1-c0ffee-7/1'
    """
    root, _, number = attempt_id.rpartition("/")
    return f"{root}/{int(number) + 1}"
