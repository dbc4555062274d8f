"""The state of a request over all its attempts, in a pool whose workers the node itself selects."""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.dataplane import placement

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import routed_request


class ForwardedRequest:
    """One request that the forwarder sends, with the results of its attempts so far."""

    def __init__(self, routed: routed_request.RoutedRequest, pool_placement: placement.Placement) -> None:
        self.http_request = routed.http_request
        self.parsed = routed.parsed
        self.raw = routed.raw
        self.route, self.pool, self.terms = routed.route, routed.pool, routed.terms
        self.pool_name = routed.pool_name
        self.urgency = routed.urgency
        self.placement = pool_placement
        self.idempotent = routed.idempotent
        self.resume = routed.route.resume
        self.deadline_us = routed.deadline_us
        sizes = self.parsed.sizes
        self.keys = placement.prefix_keys(self.parsed.parts)
        self.unnamed_tokens = max(0, self.parsed.tokens_in - sum(sizes))  # prompt tokens outside the named parts
        # Prompt tokens that no other request shares: the unnamed ones and those of the last part.
        self.unshared_tokens = self.unnamed_tokens + (sizes[-1] if sizes else 0)
        self.last_event_id = self.parsed.last_event_id  # id of the last event that the client has
        self.answer_begun = False  # whether an answer to the client has begun
        self.may_have_run = False  # whether a worker may have run the request
        self.sends = 0  # number of attempts sent to a worker
        self.excluded_workers: set[str] = set()  # ids of workers to which it is not sent again

    def known_outcome(self) -> errors.ExecutionOutcome:
        """Return the execution outcome to report to the client if the request is given up now."""
        return errors.ExecutionOutcome.MAY_HAVE_RUN if self.may_have_run else errors.ExecutionOutcome.NOT_RUN
