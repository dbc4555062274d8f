"""What is kept of a request over its attempts, where the node itself selects the workers."""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.dataplane import placement

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import routed_request


class ForwardedRequest:
    """One request that the forwarder sends, with what was learned of it so far."""

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
        self.unnamed_tokens = max(0, self.parsed.tokens_in - sum(sizes))  # of the prompt, that no part names
        self.unshared_tokens = self.unnamed_tokens + (sizes[-1] if sizes else 0)  # that no other request shares
        self.last_event_id = self.parsed.after
        self.answer_begun = False  # whether a byte went to the client
        self.may_have_run = False  # whether a worker may have run it
        self.sends = 0
        self.excluded_workers: set[str] = set()  # workers that it is not sent to any more

    def known_outcome(self) -> errors.ExecutionOutcome:
        """Return what may be said of the request if it is given up now."""
        return errors.ExecutionOutcome.MAY_HAVE_RUN if self.may_have_run else errors.ExecutionOutcome.NOT_RUN
