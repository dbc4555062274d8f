"""The answer of one attempt, received on the worker's connection and written to the client."""

from __future__ import annotations

import re
import typing

from twisted.internet import defer

from iriswheel.dataplane import attempt_outcome, worker_connections

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import forwarded_request, interfaces, request_counts

# Added to a worker's suspicion (0 to 1) by a connection that broke or could not be made, or by a misdirected request.
BROKEN_SUSPICION = 0.5

MAX_HELD_BYTES = 1 << 20  # of one answer that are held back or belong to an event without its end

EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
EVENT_END = re.compile(rb"\r?\n\r?\n")


class AnswerStream:
    """Receives an answer from a worker's connection and is, for the client's connection, the producer of its body.

    If the route allows a stream to be resumed at another worker, only whole events are written to the client.
    The body of a refusal or a failure is held back, since the request may still be sent to another worker.
    """

    def __init__(
        self,
        node: interfaces.DataPlaneNode,
        counts: request_counts.ForwarderCounts,
        request: forwarded_request.ForwardedRequest,
        worker: str,
    ) -> None:
        self.node = node
        self.counts = counts  # the forwarder's counts, of which this class increases `broken`
        self.request = request
        self.worker = worker
        self.runtime = node.runtime
        self.protocol = node.edge_protocol
        self.bodyless = request.http_request.method == b"HEAD"  # the answer to HEAD has no body
        self.connection: worker_connections.WorkerConnection | None = None
        self.done: defer.Deferred[attempt_outcome.AttemptOutcome] = defer.Deferred(lambda _: self.stop())
        self.started_at_us = self.last_received_us = self.runtime.now()
        self.expected_us = 0  # expected time from the send to the first event
        self.failure_recorded = False  # whether a silence has been recorded as a failure of the worker
        self.paused = False  # whether reading is paused, because the client reads too slowly
        self.unread_tokens = 0  # prompt tokens that the worker has still to prefill, by this node's estimate
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.lowercase_headers: dict[str, str] = {}
        self.received_any = False  # whether any byte of a successful answer's body has been received
        self.partial_event = b""  # received bytes of an event whose end is still to come
        self.held_back: list[bytes] = []  # pieces of the body of a refusal or a failure
        self.held_bytes = 0  # of `held_back` and `partial_event`

    # ---- called by the worker's connection ----------------------------------------------

    def owns(self, status: int, headers: dict[str, str], uses: int) -> bool | None:
        """Whether an answer belongs to this attempt's request; None where that is not certain.

        An answer that names no request belongs to this one if it reports that the worker did not run the request,
        and no other request was sent on the connection before.

        Args:
            status: The HTTP status of the answer.
            headers: The answer's headers, with their names in lower case.
            uses: The number of requests sent on the connection, with this one.
        """
        is_ours = self.protocol.is_answer_to(self.request.parsed.attempt_tag, status, headers)
        if is_ours is not None:
            return is_ours
        return (uses <= 1 and self.protocol.reports_not_run(status, headers)) or None

    def head_received(self, status: int, headers: list[tuple[bytes, bytes]], lowercase: dict[str, str]) -> None:
        """Take the answer's status and its headers, both in their received form and by lower-case name."""
        self._note_contact()
        self.status, self.headers, self.lowercase_headers = status, list(headers), lowercase

    def data_received(self, data: bytes) -> None:
        """Take one piece of the answer's body: write it to the client, or hold it back."""
        self._note_contact()
        if not 200 <= self.status < 300 or not self.protocol.is_from_worker(self.status, self.lowercase_headers):
            self.held_back.append(data)
            self._note_held(self.held_bytes + len(data))
            return
        if not self.received_any:
            self.received_any = True
            self.request.placement.record_first_event(
                self.worker, self.unread_tokens, self.last_received_us - self.started_at_us, self.expected_us
            )
            self.unread_tokens = 0
        if self.request.resume:
            data, self.partial_event = complete_events(self.partial_event + data)
            self._note_held(len(self.partial_event))
            if not data:
                return
            event_ids = EVENT_ID.findall(data)
            if event_ids:
                self.request.last_event_id = event_ids[-1].decode("latin-1")
        self._write(data)

    def answer_complete(self) -> None:
        """End the attempt after the whole answer has been received."""
        if not 200 <= self.status < 300:
            refused = self.protocol.reports_not_run(self.status, self.lowercase_headers)
            self._finish(attempt_outcome.AttemptOutcome.REFUSED if refused else attempt_outcome.AttemptOutcome.FAILED)
        elif not self.protocol.is_from_worker(self.status, self.lowercase_headers):
            self._finish(attempt_outcome.AttemptOutcome.BROKE)
        elif self.partial_event and worker_connections.ends_with_connection(self.status, self.lowercase_headers):
            self.answer_lost()  # the worker's process ended in the middle of an event
        else:
            if self.partial_event:
                self._write(self.partial_event)
            elif not self.request.answer_begun:
                self._write(b"")
            self.request.placement.record_success(self.worker)
            self._finish(attempt_outcome.AttemptOutcome.COMPLETE)

    def answer_lost(self) -> None:
        """End the attempt after the connection was lost, or carried bytes that are no valid answer."""
        self.counts.broken += 1
        self.request.placement.record_failure(self.worker, BROKEN_SUSPICION)
        self._finish(self.broken_outcome())

    # ---- called by the forwarder --------------------------------------------------------

    def start(self, connection: worker_connections.WorkerConnection, head: bytes) -> None:
        """Send the request over a connection, and become the producer of the client's answer."""
        self.request.http_request.registerProducer(self, True)
        connection.start(head + self.request.raw, self)

    def stop(self, outcome: attempt_outcome.AttemptOutcome | None = None) -> None:
        """End the attempt before its answer is complete, and close the worker's connection.

        If an outcome is given, `done` fires with it. The canceller of `done` gives none, since `done` then fires with
        the cancellation.
        """
        if self.connection is not None:
            self.connection.drop()
        if outcome is not None:
            self._finish(outcome)

    def _note_held(self, held_bytes: int) -> None:
        """Have the client's connection charged for what is held; give the answer up where that is too much."""
        if held_bytes == self.held_bytes:
            return
        self.held_bytes = held_bytes
        self.request.http_request.hold_for_answer(held_bytes, self._give_up)
        if held_bytes > MAX_HELD_BYTES:
            self._give_up()

    def _give_up(self) -> None:
        """End the attempt in the middle of an answer that takes too much memory."""
        if self.done.called:
            return
        self.held_back, self.partial_event = [], b""
        self._note_held(0)
        if self.connection is not None:
            self.connection.drop()
        if self.protocol.reports_not_run(self.status, self.lowercase_headers):
            self._finish(attempt_outcome.AttemptOutcome.REFUSED)
        else:
            self.answer_lost()

    def broken_outcome(self) -> attempt_outcome.AttemptOutcome:
        """Return the outcome of an attempt that ends before its answer is complete."""
        if self.request.answer_begun:
            return attempt_outcome.AttemptOutcome.INTERRUPTED
        return attempt_outcome.AttemptOutcome.BROKE

    def answer_failure(self) -> None:
        """Pass the worker's failure on to the client, with its status, headers and body."""
        body, client_request = b"".join(self.held_back), self.request.http_request
        if client_request.client_disconnected:
            return
        self._set_head()
        client_request.setHeader("Content-Length", str(len(body)))
        client_request.write(body)
        client_request.finish()

    def _note_contact(self) -> None:
        """Note that bytes have come from the worker."""
        self.last_received_us = self.runtime.now()
        self.request.placement.note_contact(self.worker)

    def _finish(self, outcome: attempt_outcome.AttemptOutcome) -> None:
        if not self.done.called:
            self._note_held(0)
            self.done.callback(outcome)

    def _write(self, data: bytes) -> None:
        """Write a piece of the body to the client; the first call also sets the answer's head."""
        request, client_request = self.request, self.request.http_request
        if client_request.client_disconnected or client_request.finished:
            return
        if not request.answer_begun:
            request.answer_begun = True
            self._set_head()
            length = self.lowercase_headers.get("content-length")
            if length is not None and not request.resume:  # a resumed answer may be longer or shorter
                client_request.setHeader("Content-Length", length)
            if self.node.draining:
                client_request.setHeader("Connection", "close")
        if data:
            client_request.write(data)

    def _set_head(self) -> None:
        client_request = self.request.http_request
        client_request.setResponseCode(self.status)
        for name, value in self.protocol.client_headers(self.headers, self.worker):
            client_request.responseHeaders.addRawHeader(name, value)

    # ---- called by the client's connection ------------------------------------------------

    def pauseProducing(self) -> None:
        """Stop reading from the worker while the client reads too slowly."""
        self.paused = True
        if self.connection is not None and self.connection.receiver is self:
            self.connection.pause()

    def resumeProducing(self) -> None:
        """Resume reading; the worker's silence is measured anew, since it was not silent during the pause."""
        self.paused = False
        self.last_received_us = self.runtime.now()
        if self.connection is not None and self.connection.receiver is self:
            self.connection.resume()

    def stopProducing(self) -> None:
        """Do nothing: the request's signal `client_lost` reports that the client has disconnected."""


def complete_events(raw: bytes) -> tuple[bytes, bytes]:
    r"""Split received bytes of an event stream into whole events and the incomplete rest.

    >>> complete_events(b"id: 1\n\nid: 2\n\nid:")
    (b'id: 1\n\nid: 2\n\n', b'id:')
    >>> complete_events(b"id: 1\n")
    (b'', b'id: 1\n')
    """
    length = max((end.end() for end in EVENT_END.finditer(raw)), default=0)
    return raw[:length], raw[length:]
