"""The verdict: may a request have run? And the error that carries it.

One type goes through every layer, from a refused connection up to the answer
that the client reads.
"""

from __future__ import annotations

import enum
import json


class ExecutionOutcome(str, enum.Enum):
    """What is known of a request.

    >>> ExecutionOutcome.NOT_RUN.value
    'not_run'
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


# code -> (HTTP status, whether waiting helps)
CODES = {
    "bad_request": (400, False),
    "no_route": (404, False),
    "not_found": (404, False),
    "bad_method": (405, False),
    "length_required": (411, False),
    "too_large": (413, False),
    "bad_blueprint": (422, False),
    "base_moved": (409, False),
    "already_sent": (409, False),
    "retry_budget": (429, True),
    "sessions_full": (503, True),
    "busy": (503, True),
    "no_worker": (503, True),
    "no_warden": (503, True),
    "not_ready": (503, True),
    "no_chain": (503, True),
    "too_few_copies": (503, True),
    "no_nodes": (503, True),
    "unknown_outcome": (504, True),
    "worker_broke": (502, True),
    "too_late": (504, False),
    "stopping": (503, True),
}


class ServiceError(Exception):
    """Something that stops a request or a change, with its code and verdict.

    >>> d = ServiceError("busy", "All seats are taken.", retry_us=1_500_000)
    >>> d.status, d.execution.value, d.retry_after
    (503, 'not_run', 2)
    """

    def __init__(
        self,
        code: str,
        text: str,
        execution: ExecutionOutcome = ExecutionOutcome.NOT_RUN,
        retry_us: int = 1_000_000,
        field: str | None = None,
    ) -> None:
        super().__init__(text)
        self.code = code
        self.text = text
        self.execution = execution
        self.field = field
        self.status, waits = CODES[code]
        self.retry_us = retry_us if waits else None
        self.retry_after = max(1, -(-retry_us // 1_000_000)) if waits else None

    def body(self) -> bytes:
        r"""The JSON answer of this error.

        >>> ServiceError("no_route", "No route fits.").body()
        b'{"code": "no_route", "verdict": "not_run", "text": "No route fits."}\n'
        """
        out: dict[str, str | int] = {"code": self.code, "verdict": self.execution.value, "text": self.text}
        if self.field:
            out["field"] = self.field
        if self.retry_after:
            out["retry_after"] = self.retry_after
        return json.dumps(out).encode() + b"\n"
