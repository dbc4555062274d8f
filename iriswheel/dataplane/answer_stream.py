"""One attempt's answer: taken from the worker's connection and written to the client."""

from __future__ import annotations

import re
import typing

from twisted.internet import defer

from iriswheel.dataplane import attempt_outcome

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import forwarded_request, interfaces, request_counts, worker_connections

BROKEN_SUSPICION = 0.5  # how much a broken connection counts against its worker

EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")
EVENT_END = re.compile(rb"\r?\n\r?\n")


class AnswerStream:
    """Receives an answer from a worker's connection; towards the client it is the answer's producer.

    Of an event stream that may be resumed at another worker only whole events go to the client. A refusal or a
    failure is held back, since the request may still be sent to another worker.
    """

    def __init__(
        self,
        node: interfaces.DataPlaneNode,
        counts: request_counts.ForwarderCounts,
        request: forwarded_request.ForwardedRequest,
        worker: str,
    ) -> None:
        self.node = node
        self.counts = counts  # of the forwarder; `broken` is counted here
        self.request = request
        self.worker = worker
        self.runtime = node.runtime
        self.protocol = node.edge_protocol
        self.bodyless = request.http_request.method == b"HEAD"  # its answer is a head alone
        self.connection: worker_connections.WorkerConnection | None = None
        self.done: defer.Deferred[attempt_outcome.AttemptOutcome] = defer.Deferred(lambda _: self.stop())
        self.started_at_us = self.last_received_us = self.runtime.now()
        self.expected_us = 0  # how long its first event was expected to take
        self.failure_recorded = False
        self.paused = False  # while the client reads too slowly
        self.unread_tokens = 0  # of the prompt, not read by the worker yet as far as is known
        self.status = 0
        self.headers: list[tuple[bytes, bytes]] = []
        self.lowercase_headers: dict[str, str] = {}
        self.received_any = False  # whether the answer's own bytes have come
        self.partial_event = b""  # the piece of an event that has no end yet
        self.held_back: list[bytes] = []  # the body of a refusal or a failure

    # ---- what the connection calls ------------------------------------------------------

    def owns(self, status: int, headers: dict[str, str], uses: int) -> bool | None:
        """Whether an answer is this request's; None where that can't be told.

        Args:
            status: The answer's status.
            headers: The answer's headers, with their names in lower case.
            uses: How many requests have gone over the connection, this one included.
        """
        mine = self.protocol.is_answer_to(self.request.parsed.tag, status, headers)
        if mine is not None:
            return mine
        return (uses <= 1 and self.protocol.reports_not_run(status, headers)) or None

    def head_received(self, status: int, headers: list[tuple[bytes, bytes]], lowercase: dict[str, str]) -> None:
        """Take the answer's status and headers, the latter as they came and by lower-case name."""
        self._note_contact()
        self.status, self.headers, self.lowercase_headers = status, list(headers), lowercase

    def data_received(self, data: bytes) -> None:
        """Take a piece of the answer's body."""
        self._note_contact()
        if not 200 <= self.status < 300 or not self.protocol.is_from_worker(self.status, self.lowercase_headers):
            self.held_back.append(data)
            return
        if not self.received_any:
            self.received_any = True
            self.request.placement.record_first_event(
                self.worker, self.unread_tokens, self.last_received_us - self.started_at_us, self.expected_us
            )
            self.unread_tokens = 0
        if self.request.resume:
            data, self.partial_event = complete_events(self.partial_event + data)
            if not data:
                return
            event_ids = EVENT_ID.findall(data)
            if event_ids:
                self.request.last_event_id = event_ids[-1].decode("latin-1")
        self._write(data)

    def answer_complete(self) -> None:
        """Note that the whole answer has come."""
        if not 200 <= self.status < 300:
            refused = self.protocol.reports_not_run(self.status, self.lowercase_headers)
            self._finish(attempt_outcome.AttemptOutcome.REFUSED if refused else attempt_outcome.AttemptOutcome.FAILED)
        elif not self.protocol.is_from_worker(self.status, self.lowercase_headers):
            self._finish(attempt_outcome.AttemptOutcome.BROKE)
        else:
            if self.partial_event:
                self._write(self.partial_event)
            elif not self.request.answer_begun:
                self._write(b"")
            self.request.placement.record_success(self.worker)
            self._finish(attempt_outcome.AttemptOutcome.COMPLETE)

    def answer_lost(self) -> None:
        """Note that the connection broke off, or brought what is no answer."""
        self.counts.broken += 1
        self.request.placement.record_failure(self.worker, BROKEN_SUSPICION)
        self._finish(self.broken_outcome())

    # ---- what the forwarder calls -------------------------------------------------------

    def start(self, connection: worker_connections.WorkerConnection, head: bytes) -> None:
        """Send the request over a connection; the attempt's time begins anew."""
        self.request.http_request.registerProducer(self, True)
        connection.start(head + self.request.raw, self)

    def stop(self, outcome: attempt_outcome.AttemptOutcome | None = None) -> None:
        """End the attempt from this side; the worker's connection is broken off."""
        if self.connection is not None:
            self.connection.drop()
        if outcome is not None:
            self._finish(outcome)

    def broken_outcome(self) -> attempt_outcome.AttemptOutcome:
        """Return the outcome of an attempt that ends before its whole answer has come."""
        if self.request.answer_begun:
            return attempt_outcome.AttemptOutcome.INTERRUPTED
        return attempt_outcome.AttemptOutcome.BROKE

    def answer_failure(self) -> None:
        """Give the worker's own failure to the client, as it is."""
        body, client_request = b"".join(self.held_back), self.request.http_request
        if client_request.gone:
            return
        self._set_head()
        client_request.setHeader("Content-Length", str(len(body)))
        client_request.write(body)
        client_request.finish()

    def _note_contact(self) -> None:
        """The worker said something."""
        self.last_received_us = self.runtime.now()
        self.request.placement.note_contact(self.worker)

    def _finish(self, outcome: attempt_outcome.AttemptOutcome) -> None:
        if not self.done.called:
            self.done.callback(outcome)

    def _write(self, data: bytes) -> None:
        """Write a piece to the client; the first one takes the answer's head along."""
        request, client_request = self.request, self.request.http_request
        if client_request.gone or client_request.finished:
            return
        if not request.answer_begun:
            request.answer_begun = True
            self._set_head()
            length = self.lowercase_headers.get("content-length")
            if length is not None and not request.resume:  # what another worker adds may be longer or shorter
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

    # ---- what the client's connection calls -----------------------------------------------

    def pauseProducing(self) -> None:
        """Read no further while the client does not keep up."""
        self.paused = True
        if self.connection is not None and self.connection.receiver is self:
            self.connection.pause()

    def resumeProducing(self) -> None:
        """Go on reading; the time while it was paused is not the worker's silence."""
        self.paused = False
        self.last_received_us = self.runtime.now()
        if self.connection is not None and self.connection.receiver is self:
            self.connection.resume()

    def stopProducing(self) -> None:
        """Do nothing: the request's own signal tells that its client has disconnected."""


def complete_events(raw: bytes) -> tuple[bytes, bytes]:
    r"""Split a stream's bytes into whole events and the rest.

    >>> complete_events(b"id: 1\n\nid: 2\n\nid:")
    (b'id: 1\n\nid: 2\n\n', b'id:')
    >>> complete_events(b"id: 1\n")
    (b'', b'id: 1\n')
    """
    length = max((end.end() for end in EVENT_END.finditer(raw)), default=0)
    return raw[:length], raw[length:]
