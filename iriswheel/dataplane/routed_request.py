"""The state of one client request from its arrival at the node to its end."""

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
    """One client request that this node handles.

    The request router sets what the configuration says of the request: `parsed`, `route`, `pool`, `pool_name` and
    `terms` have no value before that. Times are in microseconds, as returned by `Runtime.now`.
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
    done: defer.Deferred[None]  # fires when a request from a work queue has ended

    def __init__(self, http_request: http_server.Request, attempt_id: str, now: int) -> None:
        self.http_request = http_request
        self.attempt_id = attempt_id
        self.arrived_at_us = now
        self.raw = b""  # body of the request
        self.parts: list[str] = []  # ids of the shared parts of the prompt, outermost first
        self.request_id = ""
        self.attempt_number = 0  # the client's number of its attempt, from 1; 0 where the client does not say
        self.idempotent = False
        self.session = ""
        self.is_long = False
        self.work_units = 0
        self.deadline_us = now
        self.configuration_index = 0  # log index of the configuration by which it was routed
        self.may_have_run = False  # whether an attempt may have reached a worker
        self.grant_requested = False  # whether a pool owner has been asked for a grant, and may hold one
        self.tenant_name = ""
        self.tenant: configuration.Tenant | None = None  # the tenant of its API key; None where no key is required

    @property
    def urgency(self) -> int:
        """The urgency set for the tenant, or else the route's; 0 is the most urgent."""
        if self.tenant is None or self.tenant.urgency == schema.URGENCY_FROM_ROUTE:
            return self.route.urgency
        return self.tenant.urgency

    @property
    def is_retry(self) -> bool:
        """Whether the next send is a retry: an attempt of this node may have run, or the client says it is a retry."""
        return self.may_have_run or self.attempt_number > 1

    def known_outcome(self) -> errors.ExecutionOutcome:
        """Return the execution outcome to report to the client if the request is given up now."""
        return errors.ExecutionOutcome.MAY_HAVE_RUN if self.may_have_run else errors.ExecutionOutcome.NOT_RUN

    def renew_attempt_id(self) -> None:
        """Take the next attempt id, since the id of an attempt that was given up is never used again."""
        self.attempt_id = next_attempt_id(self.attempt_id)


def next_attempt_id(attempt_id: str) -> str:
    """Return the id of a request's next attempt; the attempts of one request are numbered after the slash.

    >>> next_attempt_id("n1-c0ffee-7/0")
    'n1-c0ffee-7/1'
    """
    root, _, number = attempt_id.rpartition("/")
    return f"{root}/{int(number) + 1}"
