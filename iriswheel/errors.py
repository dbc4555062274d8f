"""The errors that stop a request or a change, and whether it may have run.

One type goes through every layer, from a refused connection up to the answer
that the client reads.
"""

from __future__ import annotations

import enum
import json
import typing

DEFAULT_RETRY_US = 1_000_000


class ExecutionOutcome(str, enum.Enum):  # noqa: UP042 - a StrEnum formats otherwise, and formatted values are answered
    """What is known of whether a request has run at a worker.

    >>> ExecutionOutcome.NOT_RUN.value
    'not_run'
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class CodeRow(typing.NamedTuple):
    """What an error code stands for."""

    status: int  # of HTTP
    retryable: bool  # whether the same may be answered otherwise after a wait


CODES = {
    "bad_request": CodeRow(400, False),
    "no_route": CodeRow(404, False),
    "not_found": CodeRow(404, False),
    "bad_method": CodeRow(405, False),
    "length_required": CodeRow(411, False),
    "too_large": CodeRow(413, False),
    "bad_blueprint": CodeRow(422, False),
    "base_moved": CodeRow(409, False),
    "already_sent": CodeRow(409, False),
    "retry_budget": CodeRow(429, True),
    "sessions_full": CodeRow(503, True),
    "busy": CodeRow(503, True),
    "no_worker": CodeRow(503, True),
    "no_warden": CodeRow(503, True),
    "not_ready": CodeRow(503, True),
    "no_chain": CodeRow(503, True),
    "too_few_copies": CodeRow(503, True),
    "no_nodes": CodeRow(503, True),
    "unknown_outcome": CodeRow(504, True),
    "worker_broke": CodeRow(502, True),
    "too_late": CodeRow(504, False),
    "stopping": CodeRow(503, True),
}


class ServiceError(Exception):
    """Something that stops a request or a change.

    Args:
        code: a key of CODES.
        text: one sentence for people.
        execution: whether the request or the change may have run.
        retry_us: when to come back, where the code is retryable.
        field: what of the request is wrong, where it is just one thing.

    >>> error = ServiceError("busy", "All slots are taken.", retry_us=1_500_000)
    >>> error.status, error.execution.value, error.retry_after
    (503, 'not_run', 2)
    """

    def __init__(
        self,
        code: str,
        text: str,
        execution: ExecutionOutcome = ExecutionOutcome.NOT_RUN,
        retry_us: int = DEFAULT_RETRY_US,
        field: str | None = None,
    ) -> None:
        super().__init__(text)
        self.code = code
        self.text = text
        self.execution = execution
        self.field = field
        self.status, retryable = CODES[code]
        self.retry_us = retry_us if retryable else None
        self.retry_after = max(1, -(-retry_us // 1_000_000)) if retryable else None  # in whole seconds, rounded up

    def headers(self) -> list[tuple[str, str]]:
        """The HTTP headers of this error's answer, besides those of its body.

        >>> ServiceError("busy", "All slots are taken.").headers()
        [('Retry-After', '1')]
        """
        return [] if self.retry_after is None else [("Retry-After", str(self.retry_after))]

    def body(self) -> bytes:
        r"""The JSON answer of this error.

        >>> ServiceError("no_route", "No route fits.").body()
        b'{"code": "no_route", "verdict": "not_run", "text": "No route fits."}\n'
        """
        document: dict[str, str | int] = {"code": self.code, "verdict": self.execution.value, "text": self.text}
        if self.field:
            document["field"] = self.field
        if self.retry_after:
            document["retry_after"] = self.retry_after
        return json.dumps(document).encode() + b"\n"
