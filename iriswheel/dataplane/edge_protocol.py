"""The formats of what a node exchanges with clients, workers and the platform.

These are the HTTP headers, the platform's worker list, the workers' load report and the node's readiness. A site whose
formats differ passes a subclass of `EdgeProtocol` to its nodes; docs/interface.md describes the formats of this module.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import hashlib
import json
import re
import typing

from iriswheel import errors
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from twisted.web import http_headers

    from iriswheel.transport import http_server

    HeaderPairs = list[tuple[bytes, bytes]]  # (name, value), in the order on the connection
    LowerCaseHeaders = collections.abc.Mapping[str, str]  # by lower-case name

PROMPT_PREFIX_HEADER = "X-Prompt-Prefix"
TARGET_WORKER_HEADER = "X-Target-Worker"
REQUEST_ID_HEADER = "X-Exchange-Id"
SEND_NUMBER_HEADER = "X-Send-Number"
MAY_REPEAT_HEADER = "X-May-Repeat"
REQUESTER_HEADER = "X-Requester"
AUTHORIZATION_HEADER = "Authorization"
TENANT_HEADER = "X-Tenant"
BEARER_SCHEME = b"bearer"  # authentication scheme of API keys, in lower case
# Sent only between nodes: a relayed request names its one-time relay token in it; the answer to a relayed request names
# the outcome of the attempt in it if no answer came from the worker.
RELAY_HEADER = "X-Iriswheel-Pass"

PART_PATTERN = re.compile(r"[\x21-\x2b\x2d-\x7e]{1,128}\Z")  # printable ASCII without space and comma
PART_COUNT_MAX = 32
ID_PATTERN = re.compile(r"[\x21-\x7e]{1,128}\Z")  # printable ASCII without space
SEND_NUMBER_MAX = 1_000_000
SEND_DIGITS_MAX = 7

# Headers that concern a single connection and are not forwarded: RFC 9110, section 7.6.1
HOP_BY_HOP = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
}
# Headers that are written anew for each connection instead of being forwarded.
REGENERATED_HEADERS = {"host", "content-length", TARGET_WORKER_HEADER.lower(), RELAY_HEADER.lower()}

WORKERS_PATH = "/workers"
LOAD_PATH = "/load"
READY_PATH = "/ready"
STATE_PATH = "/state"

NOT_RUN_STATUSES = (421, 429, 503)  # HTTP statuses by which a worker reports that it did not run a request
MILLISECOND_US = 1_000


def header(headers: http_headers.Headers, name: str) -> str | None:
    """The value of a header, or None where the header is absent.

    Raises:
        ServiceError: The header is given more than once.

    >>> import twisted.web.http_headers as hh
    >>> header(hh.Headers({"X-A": ["b"]}), "X-A")
    'b'
    """
    values = headers.getRawHeaders(name.encode("ascii"), [])
    if not values:
        return None
    if len(values) > 1:
        raise errors.ServiceError("bad_request", f"{name} is given twice.", field=name)
    return values[0].decode("latin-1").strip()


def prompt_parts(headers: http_headers.Headers) -> list[str]:
    """The ids of the shared parts of the prompt, outermost first.

    Raises:
        ServiceError: The header is not a valid list of part ids.

    >>> import twisted.web.http_headers as hh
    >>> prompt_parts(hh.Headers({PROMPT_PREFIX_HEADER: ["system-1, bundle-7"]}))
    ['system-1', 'bundle-7']
    """
    text = header(headers, PROMPT_PREFIX_HEADER)
    if not text:
        return []
    parts = [part.strip() for part in text.split(",")]
    if len(parts) > PART_COUNT_MAX or not all(PART_PATTERN.match(part) for part in parts):
        raise errors.ServiceError(
            "bad_request",
            f"{PROMPT_PREFIX_HEADER} is not a list of up to {PART_COUNT_MAX} parts.",
            field=PROMPT_PREFIX_HEADER,
        )
    return parts


def identifier(headers: http_headers.Headers, name: str) -> str:
    """An id from a header, or "" where the header is absent.

    Raises:
        ServiceError: The header's value is not a valid id.

    >>> import twisted.web.http_headers as hh
    >>> identifier(hh.Headers({REQUEST_ID_HEADER: ["e1"]}), REQUEST_ID_HEADER)
    'e1'
    """
    text = header(headers, name)
    if text is None:
        return ""
    if not ID_PATTERN.match(text):
        raise errors.ServiceError("bad_request", f"{name} is not an id.", field=name)
    return text


def send_number(headers: http_headers.Headers) -> int:
    """The number of the client's attempt at this request, from 1; 0 where the client does not say.

    Raises:
        ServiceError: The header's value is not a number from 1 to SEND_NUMBER_MAX.

    >>> import twisted.web.http_headers as hh
    >>> send_number(hh.Headers({SEND_NUMBER_HEADER: ["2"]}))
    2
    """
    text = header(headers, SEND_NUMBER_HEADER)
    if text is None:
        return 0
    if not text.isdigit() or not 1 <= int(text[:9]) <= SEND_NUMBER_MAX or len(text) > SEND_DIGITS_MAX:
        raise errors.ServiceError(
            "bad_request", f"{SEND_NUMBER_HEADER} is not a number from 1.", field=SEND_NUMBER_HEADER
        )
    return int(text)


def idempotent(headers: http_headers.Headers) -> bool:
    """Whether the client allows that the request runs more than once; by default it does not.

    Raises:
        ServiceError: The header's value is neither yes nor no.

    >>> import twisted.web.http_headers as hh
    >>> idempotent(hh.Headers({MAY_REPEAT_HEADER: ["yes"]})), idempotent(hh.Headers())
    (True, False)
    """
    match header(headers, MAY_REPEAT_HEADER):
        case None | "no" | "false" | "0":
            return False
        case "yes" | "true" | "1":
            return True
    raise errors.ServiceError("bad_request", f"{MAY_REPEAT_HEADER} is neither yes nor no.", field=MAY_REPEAT_HEADER)


def key_digest(headers: http_headers.Headers) -> str:
    """The SHA-256 digest of the API key that a request carries as a bearer token; "" where it carries none.

    >>> import twisted.web.http_headers as hh
    >>> for credentials in ("Bearer abc", "Basic abc"):
    ...     key_digest(hh.Headers({AUTHORIZATION_HEADER: [credentials]}))[:8]
    'ba7816bf'
    ''
    """
    values = headers.getRawHeaders(AUTHORIZATION_HEADER.encode("ascii"), [])
    scheme, _, key = values[0].strip().partition(b" ") if len(values) == 1 else (b"", b"", b"")
    key = key.strip()
    return hashlib.sha256(key).hexdigest() if scheme.lower() == BEARER_SCHEME and key else ""


def replace_credentials(headers: http_headers.Headers, tenant: str) -> None:
    """Replace a request's credentials by the name of its tenant; with "" the request names no tenant.

    >>> import twisted.web.http_headers as hh
    >>> received = hh.Headers({AUTHORIZATION_HEADER: ["Bearer abc"], TENANT_HEADER: ["forged"]})
    >>> replace_credentials(received, "desk"); list(received.getAllRawHeaders())
    [(b'X-Tenant', [b'desk'])]
    """
    headers.removeHeader(AUTHORIZATION_HEADER)
    headers.removeHeader(TENANT_HEADER)
    if tenant:
        headers.setRawHeaders(TENANT_HEADER, [tenant])


def worker_request_headers(headers: http_headers.Headers, worker: str, token: str = "") -> http_headers.Headers:
    """The headers of the request to a worker, or with a relay token to the node that relays the request.

    >>> import twisted.web.http_headers as hh
    >>> received = hh.Headers({"X-A": ["b"], TARGET_WORKER_HEADER: ["w9"], "Connection": ["X-C"], "X-C": ["d"]})
    >>> sorted(worker_request_headers(received, "w1").getAllRawHeaders())
    [(b'X-A', [b'b']), (b'X-Target-Worker', [b'w1'])]
    """
    kept = _end_to_end(headers)
    kept.setRawHeaders(TARGET_WORKER_HEADER, [worker])
    if token:
        kept.setRawHeaders(RELAY_HEADER, [token])
    return kept


def client_response_headers(
    headers: http_headers.Headers, worker: str
) -> list[tuple[bytes, collections.abc.Sequence[bytes]]]:
    """The headers of the answer to the client, as pairs of a name and its values.

    >>> import twisted.web.http_headers as hh
    >>> client_response_headers(hh.Headers({"Keep-Alive": ["5"]}), "w1")
    [(b'X-Target-Worker', [b'w1'])]
    """
    kept = _end_to_end(headers)
    kept.setRawHeaders(TARGET_WORKER_HEADER, [worker])
    return list(kept.getAllRawHeaders())


def connection_options(headers: http_headers.Headers) -> set[str]:
    """The names listed in the header `Connection`: headers that concern this connection only, in lower case.

    >>> import twisted.web.http_headers as hh
    >>> sorted(connection_options(hh.Headers({"Connection": ["close, X-A"]})))
    ['close', 'x-a']
    """
    return _listed_names(headers.getRawHeaders(b"connection", []))


def end_to_end_pairs(headers: HeaderPairs, dropped: set[str]) -> HeaderPairs:
    """The headers that are forwarded: all but those in `dropped` (lower case) and those that `Connection` lists.

    >>> end_to_end_pairs([(b"Connection", b"X-A"), (b"X-A", b"1"), (b"X-B", b"2")], HOP_BY_HOP)
    [(b'X-B', b'2')]
    """
    dropped = dropped | _listed_names(value for name, value in headers if name.lower() == b"connection")
    return [(name, value) for name, value in headers if name.decode("latin-1").lower() not in dropped]


def _listed_names(values: collections.abc.Iterable[bytes]) -> set[str]:
    return {name.strip().lower() for value in values for name in value.decode("latin-1").split(",")}


def _end_to_end(headers: http_headers.Headers) -> http_headers.Headers:
    kept = headers.copy()
    for name in HOP_BY_HOP | REGENERATED_HEADERS | connection_options(headers):
        if name:
            kept.removeHeader(name)
    return kept


def parse_worker_list(raw: bytes) -> list[message.Worker]:
    """The workers of the platform's worker list, in the order of their ids.

    Raises:
        ValueError: The list is malformed.

    >>> parse_worker_list(
    ...     b'{"workers": [{"id": "w1", "host": "127.0.0.1", "port": 9, "pool": "desk", "state": "ready"}]}'
    ... )
    [Worker(id='w1', host='127.0.0.1', port=9, pool='desk', state='ready', drain_us=0)]
    """
    try:
        listed = [_worker(entry) for entry in json.loads(raw)["workers"]]
    except (ValueError, KeyError, TypeError) as error:
        raise ValueError(f"The platform's list can't be read: {error!r}") from error
    return sorted(listed, key=lambda worker: worker.id)


def _worker(entry: dict[str, typing.Any]) -> message.Worker:
    listed_states = (message.WorkerState.READY, message.WorkerState.LEAVING)
    state = entry["state"] if entry["state"] in listed_states else message.WorkerState.GONE.value
    drain_us = int(entry.get("drain_deadline_ms", 0)) * MILLISECOND_US
    worker = message.Worker(
        str(entry["id"]), str(entry["host"]), int(entry["port"]), str(entry["pool"]), state, drain_us
    )
    return with_zone_and_cold(worker, str(entry.get("zone", "")), bool(entry.get("cold", False)))


def with_zone_and_cold(worker: message.Worker, zone: str, cold: bool) -> message.Worker:
    """The worker as a `ZonedWorker` where it has a zone or is cold, else unchanged.

    >>> worker = message.Worker("w1", "127.0.0.1", 9, "desk", "ready")
    >>> with_zone_and_cold(worker, "", False) is worker, with_zone_and_cold(worker, "attic", True).cold
    (True, True)
    """
    if not zone and not cold:
        return worker
    return message.ZonedWorker(
        worker.id, worker.host, worker.port, worker.pool, worker.state, worker.drain_us, zone, cold
    )


def parse_load_report(raw: bytes) -> tuple[int, int]:
    """The numbers of a worker's load report: requests that run at the worker, and requests that wait there.

    Raises:
        ValueError: The report is malformed.

    >>> parse_load_report(b'{"running": 3, "queued": 2}')
    (3, 2)
    """
    try:
        document = json.loads(raw)
        return int(document["running"]), int(document["queued"])
    except (ValueError, KeyError, TypeError) as error:
        raise ValueError(f"The load report can't be read: {error!r}") from error


def readiness_answer(ok: bool, why: str = "") -> tuple[int, dict[str, typing.Any]]:
    """The answer to the platform's readiness check of a node: HTTP status and JSON document.

    >>> readiness_answer(True)
    (200, {'ready': True})
    """
    return (200, {"ready": True}) if ok else (503, {"ready": False, "why": why})


@dataclasses.dataclass
class ParsedRequest:
    """The contents of a client request's headers.

    Attributes:
        parts: Ids of the shared parts of the prompt, outermost first.
        sizes: Size of each part in tokens; 0 where the client does not say.
        tokens_in: Size of the prompt in tokens; 0 where the client does not say.
        tokens_out: Size of the answer in tokens; 0 where the client does not say.
        request_id: Id of the request, the same for all attempts; "" where the client does not say.
        attempt_number: Number of the client's attempt, from 1; 0 where the client does not say.
        idempotent: Whether the request may run more than once.
        client: Name of the requester, by which a route may choose the session terms.
        left_us: Time in microseconds for which the client will still wait; None where the client does not say.
        attempt_tag: Id by which the worker's answer names the request or attempt that it answers.
        host: Value of the Host header.
        model: Name of the requested model.
        last_event_id: Id of the last event that the client has received, where it resumes a stream.
        key_digest: SHA-256 digest of the client's API key; "" where it sends none.

    >>> ParsedRequest().left_us is None
    True
    """

    parts: list[str] = dataclasses.field(default_factory=list)
    sizes: list[int] = dataclasses.field(default_factory=list)
    tokens_in: int = 0
    tokens_out: int = 0
    request_id: str = ""
    attempt_number: int = 0
    idempotent: bool = False
    client: str = ""
    left_us: int | None = None
    attempt_tag: str = ""
    host: str = ""
    model: str = ""
    last_event_id: str = ""
    key_digest: str = ""

    @property
    def tokens(self) -> int:
        """Size of the prompt and the answer together, in tokens; 0 where the client states neither.

        >>> ParsedRequest(tokens_in=1460, tokens_out=80).tokens
        1540
        """
        return self.tokens_in + self.tokens_out


class EdgeProtocol:
    """Iriswheel's own formats towards clients, workers and the platform; a subclass may define others.

    Attributes:
        ready_path: Path of a node at which the platform checks whether the node is ready.
        load_path: Path of a worker at which it answers with its load report.
        accepts_any_method: Whether clients may send requests with other methods than POST.

    >>> EdgeProtocol().readiness_answer(True)
    (200, {'ready': True})
    """

    ready_path = READY_PATH
    load_path = LOAD_PATH
    accepts_any_method = False

    def parse_request(self, request: http_server.Request) -> ParsedRequest:
        """Read the headers of a client's request.

        Raises:
            ServiceError: A header is malformed.
        """
        headers = request.requestHeaders
        parts = prompt_parts(headers)
        return ParsedRequest(
            parts=parts,
            sizes=[0] * len(parts),
            request_id=identifier(headers, REQUEST_ID_HEADER),
            attempt_number=send_number(headers),
            idempotent=idempotent(headers),
            client=header(headers, REQUESTER_HEADER) or "",
            host=header(headers, "host") or "",
            attempt_tag=identifier(headers, REQUEST_ID_HEADER),
            key_digest=key_digest(headers),
        )

    def worker_request_head(
        self,
        request: http_server.Request,
        size: int,
        worker: message.Worker,
        _left_us: int | None,
        _urgency: int,
        last_event_id: str = "",
    ) -> bytes:
        """The head of the request to a worker, in bytes.

        Args:
            request: The client's request.
            size: Length of the body in bytes.
            worker: The worker to which the request is sent.
            _left_us: Time in microseconds for which the client will still wait; None where it is unknown. Other
                formats send it to the worker.
            _urgency: Urgency of the tenant or the route; 0 is the most urgent. Other formats send it to the worker.
            last_event_id: Id of the last event that the client has received, where a stream is resumed; else "".
        """
        added = [
            (b"Host", f"{worker.host}:{worker.port}".encode()),
            (TARGET_WORKER_HEADER.encode(), worker.id.encode()),
        ]
        if last_event_id:
            added.append((b"Last-Event-ID", last_event_id.encode()))
        return self.format_request_head(request, size, HOP_BY_HOP | REGENERATED_HEADERS | {"last-event-id"}, added)

    def format_request_head(
        self, request: http_server.Request, size: int, dropped: set[str], added: HeaderPairs
    ) -> bytes:
        """The head of a request in bytes, without the headers in `dropped` (lower case) and with those in `added`."""
        dropped = dropped | connection_options(request.requestHeaders)
        head = [b"%s %s HTTP/1.1" % (request.method, request.uri)]
        for name, values in request.requestHeaders.getAllRawHeaders():
            if name.decode("latin-1").lower() not in dropped:
                head += [b"%s: %s" % (name, value) for value in values]
        head += [b"%s: %s" % pair for pair in added]
        head.append(b"Content-Length: %d" % size)
        return b"\r\n".join(head) + b"\r\n\r\n"

    def is_answer_to(self, _attempt_tag: str, _status: int, _headers: LowerCaseHeaders) -> bool | None:
        """Whether an answer belongs to the attempt with this tag; None where the answer names no attempt.

        >>> EdgeProtocol().is_answer_to("x1", 200, {})
        True
        """
        return True

    def reports_not_run(self, status: int, _headers: LowerCaseHeaders) -> bool:
        """Whether an answer reports that the worker did not run the request.

        >>> EdgeProtocol().reports_not_run(503, {}), EdgeProtocol().reports_not_run(200, {})
        (True, False)
        """
        return status in NOT_RUN_STATUSES

    def is_from_worker(self, _status: int, _headers: LowerCaseHeaders) -> bool:
        """Whether a successful answer comes from a worker, which these formats take for granted.

        >>> EdgeProtocol().is_from_worker(200, {})
        True
        """
        return True

    def client_headers(self, headers: HeaderPairs, worker: str) -> HeaderPairs:
        """The headers of the answer to the client, from those of the worker's answer.

        >>> EdgeProtocol().client_headers([(b"Keep-Alive", b"5"), (b"X-A", b"b")], "w1")
        [(b'X-A', b'b'), (b'X-Target-Worker', b'w1')]
        """
        return [
            *end_to_end_pairs(headers, HOP_BY_HOP | REGENERATED_HEADERS),
            (TARGET_WORKER_HEADER.encode(), worker.encode()),
        ]

    def error_response(self, error: errors.ServiceError) -> tuple[int, list[tuple[str, str]], bytes]:
        """The answer that reports an error to the client: HTTP status, headers and body.

        >>> EdgeProtocol().error_response(errors.ServiceError("busy", "Full."))[:2]
        (503, [('Retry-After', '1')])
        """
        return error.status, error.headers(), error.body()

    def worker_list_path(self, _token: str) -> str:
        """The path of the platform's worker list, or of the page of that list that a page token names.

        >>> EdgeProtocol().worker_list_path("")
        '/workers'
        """
        return WORKERS_PATH

    def parse_worker_page(self, raw: bytes) -> tuple[list[message.Worker], str]:
        """The workers of one page of the platform's worker list, and the next page's token or "".

        Raises:
            ValueError: The page is malformed.

        >>> EdgeProtocol().parse_worker_page(b'{"workers": []}')
        ([], '')
        """
        return parse_worker_list(raw), ""

    def parse_load_report(self, raw: bytes) -> tuple[int, int]:
        """The numbers of a worker's load report: requests that run at the worker, and requests that wait there.

        Raises:
            ValueError: The report is malformed.

        >>> EdgeProtocol().parse_load_report(b'{"running": 3, "queued": 2}')
        (3, 2)
        """
        return parse_load_report(raw)

    def readiness_answer(self, ok: bool, why: str = "") -> tuple[int, dict[str, typing.Any]]:
        """The answer to the platform's readiness check of a node: HTTP status and JSON document.

        >>> EdgeProtocol().readiness_answer(False, "stopping")
        (503, {'ready': False, 'why': 'stopping'})
        """
        return readiness_answer(ok, why)
