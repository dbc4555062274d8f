"""How an attempt to have a worker answer a request ended."""

from __future__ import annotations

import enum


class AttemptOutcome(enum.Enum):
    """How an attempt ended; dispatch, which can't read a worker's refusals, gives only the first four.

    >>> AttemptOutcome.COMPLETE.name
    'COMPLETE'
    """

    COMPLETE = "complete"  # the worker's whole answer went to the client
    UNSENT = "unsent"  # no worker was reached
    BROKE = "broke"  # it may have run; no byte of an answer went to the client
    INTERRUPTED = "interrupted"  # the answer broke off after bytes had gone to the client
    REFUSED = "refused"  # the worker said that it did not run it
    FAILED = "failed"  # the worker's own answer is a failure; nothing went to the client
    LATE = "late"  # the request's time is over
