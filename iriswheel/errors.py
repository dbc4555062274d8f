"""The errors of requests and of configuration changes, and whether the request or change may have run.

One error type passes through every layer, from a refused connection up to the answer that the client reads. The
codes and the field `verdict`, an `ExecutionOutcome`, are part of the public interface: docs/interface.md lists them.
"""

from __future__ import annotations

import enum
import json
import typing

DEFAULT_RETRY_US = 1_000_000  # wait before the next attempt


class ExecutionOutcome(str, enum.Enum):  # noqa: UP042 - StrEnum formats differently, and answers hold formatted values
    """Whether a request has run at a worker, or a configuration change was carried out, as far as is known.

    >>> ExecutionOutcome.NOT_RUN.value
    'not_run'
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


ErrorCode: typing.TypeAlias = typing.Literal[
    "bad_request",
    "unauthenticated",
    "no_route",
    "not_found",
    "bad_method",
    "length_required",
    "too_large",
    "bad_blueprint",
    "base_moved",
    "already_sent",
    "retry_budget",
    "rate_limited",
    "sessions_full",
    "busy",
    "no_worker",
    "no_warden",
    "not_ready",
    "no_chain",
    "too_few_copies",
    "no_nodes",
    "unknown_outcome",
    "worker_broke",
    "too_late",
    "stopping",
]


class CodeMeaning(typing.NamedTuple):
    """The HTTP status of an error code, and whether a retry makes sense."""

    status: int  # HTTP status
    retryable: bool  # whether the same request may succeed after a wait


CODES: dict[ErrorCode, CodeMeaning] = {
    "bad_request": CodeMeaning(400, False),
    "unauthenticated": CodeMeaning(401, False),
    "no_route": CodeMeaning(404, False),
    "not_found": CodeMeaning(404, False),
    "bad_method": CodeMeaning(405, False),
    "length_required": CodeMeaning(411, False),
    "too_large": CodeMeaning(413, False),
    "bad_blueprint": CodeMeaning(422, False),
    "base_moved": CodeMeaning(409, False),
    "already_sent": CodeMeaning(409, False),
    "retry_budget": CodeMeaning(429, True),
    "rate_limited": CodeMeaning(429, True),
    "sessions_full": CodeMeaning(503, True),
    "busy": CodeMeaning(503, True),
    "no_worker": CodeMeaning(503, True),
    "no_warden": CodeMeaning(503, True),
    "not_ready": CodeMeaning(503, True),
    "no_chain": CodeMeaning(503, True),
    "too_few_copies": CodeMeaning(503, True),
    "no_nodes": CodeMeaning(503, True),
    "unknown_outcome": CodeMeaning(504, True),
    "worker_broke": CodeMeaning(502, True),
    "too_late": CodeMeaning(504, False),
    "stopping": CodeMeaning(503, True),
}


class ServiceError(Exception):
    """An error that ends a request or a configuration change.

    Args:
        code: the error code, for programs.
        text: a sentence that describes the error, for people.
        execution: whether the request or the change may have run.
        retry_us: how long to wait before the next attempt; ignored if the code is not retryable.
        field: the header or field of the request that is wrong, if it is a single one.

    Attributes:
        status: the HTTP status of the answer.
        retry_us: the argument `retry_us`; None if the code is not retryable.
        retry_after: `retry_us` in whole seconds, rounded up, for the header Retry-After.

    >>> error = ServiceError("busy", "All slots are taken.", retry_us=1_500_000)
    >>> error.status, error.execution.value, error.retry_after
    (503, 'not_run', 2)
    """

    def __init__(
        self,
        code: ErrorCode,
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
        self.retry_after = max(1, -(-retry_us // 1_000_000)) if retryable else None

    def headers(self) -> list[tuple[str, str]]:
        """Return the HTTP headers of the answer, except those that describe its body.

        >>> ServiceError("busy", "All slots are taken.").headers()
        [('Retry-After', '1')]
        """
        if self.code == "unauthenticated":
            return [("WWW-Authenticate", "Bearer")]
        return [] if self.retry_after is None else [("Retry-After", str(self.retry_after))]

    def body(self) -> bytes:
        r"""Return the body of the answer, as JSON.

        >>> ServiceError("no_route", "No route fits.").body()
        b'{"code": "no_route", "verdict": "not_run", "text": "No route fits."}\n'
        """
        document: dict[str, str | int] = {"code": self.code, "verdict": self.execution.value, "text": self.text}
        if self.field:
            document["field"] = self.field
        if self.retry_after:
            document["retry_after"] = self.retry_after
        return json.dumps(document).encode() + b"\n"
