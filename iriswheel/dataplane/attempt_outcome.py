"""The outcome of an attempt, which is one send of a request to a worker."""

from __future__ import annotations

import enum


class AttemptOutcome(enum.Enum):
    """How an attempt ended.

    The module `dispatch` gives only the first four, as it passes every answer on without a look at its status.

    >>> AttemptOutcome.COMPLETE.name
    'COMPLETE'
    """

    COMPLETE = "complete"  # the worker's whole answer was received and written to the client
    UNSENT = "unsent"  # the request was not sent to the worker
    BROKE = "broke"  # the request may have run, and no byte of an answer was written to the client
    INTERRUPTED = "interrupted"  # the answer broke off after bytes of it had been written to the client
    REFUSED = "refused"  # the worker reported that it did not run the request
    FAILED = "failed"  # the worker answered with an error status, which was not written to the client
    LATE = "late"  # the request's deadline passed
