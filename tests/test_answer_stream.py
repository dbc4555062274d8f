"""How an attempt ends whose answer has no length."""

from types import SimpleNamespace
from typing import Any

import pytest

from iriswheel.dataplane import answer_stream, attempt_outcome, edge_protocol

WHOLE, PART = b"id: 1\n\n", b"id: 2\nda"
Outcome = attempt_outcome.AttemptOutcome


def outcome_of(body: bytes, headers: dict[str, str]) -> attempt_outcome.AttemptOutcome:
    """The outcome of a resumable stream whose answer ends after a body."""
    recorded: list[object] = []
    node: Any = SimpleNamespace(runtime=SimpleNamespace(now=lambda: 0), edge_protocol=edge_protocol.EdgeProtocol())
    http_request = SimpleNamespace(
        method=b"POST", client_disconnected=True, finished=False, hold_for_answer=lambda _held_bytes, _release: None
    )
    placement = SimpleNamespace(
        note_contact=lambda _worker: None,
        record_first_event=lambda *_: None,
        record_success=recorded.append,
        record_failure=lambda worker, _suspicion: recorded.append(worker),
    )
    request: Any = SimpleNamespace(
        http_request=http_request, placement=placement, resume=True, answer_begun=False, last_event_id=""
    )
    counts: Any = SimpleNamespace(broken=0)
    stream = answer_stream.AnswerStream(node, counts, request, "w1")
    stream.head_received(200, [], headers)
    stream.data_received(body)
    stream.answer_complete()
    assert len(recorded) == 1
    result = stream.done.result
    assert isinstance(result, attempt_outcome.AttemptOutcome)
    return result


# Beside review case 5: the end of a connection in the middle of an event is no end of a stream that may be resumed.
@pytest.mark.parametrize(
    ("body", "headers", "outcome"),
    [
        (WHOLE, {}, Outcome.COMPLETE),
        (WHOLE + PART, {}, Outcome.BROKE),
        (WHOLE + PART, {"content-length": "15"}, Outcome.COMPLETE),
        (WHOLE + PART, {"transfer-encoding": "chunked"}, Outcome.COMPLETE),
    ],
)
def test_a_stream_that_ends_within_an_event_with_its_connection_is_broken(
    body: bytes, headers: dict[str, str], outcome: attempt_outcome.AttemptOutcome
) -> None:
    assert outcome_of(body, headers) is outcome
