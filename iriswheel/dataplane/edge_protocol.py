"""Everything that the outside defines: headers, worker list, load report, readiness.

A site whose formats differ changes this module alone; docs/interface.md has the same
in prose.
"""

from __future__ import annotations

import dataclasses
import json
import re
import typing

import iriswheel.errors as errors
import iriswheel.transport.message as message

if typing.TYPE_CHECKING:
    import twisted.web.http_headers as http_headers

    import iriswheel.transport.http_server as http_server


PREFIX = "X-Prompt-Prefix"
TARGET = "X-Target-Worker"
REQUEST_ID = "X-Exchange-Id"
SEND = "X-Send-Number"
REPEAT = "X-May-Repeat"
CLIENT = "X-Requester"
PASS = "X-Iriswheel-Pass"  # between nodes alone: one request passed on

PART = re.compile(r"[\x21-\x2b\x2d-\x7e]{1,128}\Z")
PARTS = 32
ID = re.compile(r"[\x21-\x7e]{1,128}\Z")

# RFC 9110, section 7.6.1, and what the two HTTP sides make for themselves
HOP = {
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
OWN = {"host", "content-length", TARGET.lower(), PASS.lower()}


def header(headers: http_headers.Headers, name: str) -> str | None:
    """One header's text, or None; given twice it is refused.

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


def prefix(headers: http_headers.Headers) -> list[str]:
    """The shared parts of the prompt, outermost first.

    >>> import twisted.web.http_headers as hh
    >>> prefix(hh.Headers({PREFIX: ["system-1, bundle-7"]}))
    ['system-1', 'bundle-7']
    """
    text = header(headers, PREFIX)
    if not text:
        return []
    parts = [p.strip() for p in text.split(",")]
    if len(parts) > PARTS or not all(PART.match(p) for p in parts):
        raise errors.ServiceError("bad_request", f"{PREFIX} is not a list of up to {PARTS} parts.", field=PREFIX)
    return parts


def identifier(headers: http_headers.Headers, name: str) -> str:
    """An id from a header, or "".

    >>> import twisted.web.http_headers as hh
    >>> identifier(hh.Headers({REQUEST_ID: ["e1"]}), REQUEST_ID)
    'e1'
    """
    text = header(headers, name)
    if text is None:
        return ""
    if not ID.match(text):
        raise errors.ServiceError("bad_request", f"{name} is not an id.", field=name)
    return text


def send_number(headers: http_headers.Headers) -> int:
    """Which send of the request this is, from 1; 0 where it is not said.

    >>> import twisted.web.http_headers as hh
    >>> send_number(hh.Headers({SEND: ["2"]}))
    2
    """
    text = header(headers, SEND)
    if text is None:
        return 0
    if not text.isdigit() or not 1 <= int(text[:9]) <= 1_000_000 or len(text) > 7:
        raise errors.ServiceError("bad_request", f"{SEND} is not a number from 1.", field=SEND)
    return int(text)


def idempotent(headers: http_headers.Headers) -> bool:
    """Whether the request may be repeated; unstated, it may not.

    >>> import twisted.web.http_headers as hh
    >>> idempotent(hh.Headers({REPEAT: ["yes"]})), idempotent(hh.Headers())
    (True, False)
    """
    match header(headers, REPEAT):
        case None | "no" | "false" | "0":
            return False
        case "yes" | "true" | "1":
            return True
    raise errors.ServiceError("bad_request", f"{REPEAT} is neither yes nor no.", field=REPEAT)


def onward(headers: http_headers.Headers, worker: str, token: str = "") -> http_headers.Headers:
    """The headers that go to the worker, or with a token to the node that passes them on.

    >>> import twisted.web.http_headers as hh
    >>> h = onward(hh.Headers({"X-A": ["b"], TARGET: ["w9"], "Connection": ["X-C"], "X-C": ["d"]}), "w1")
    >>> sorted(h.getAllRawHeaders())
    [(b'X-A', [b'b']), (b'X-Target-Worker', [b'w1'])]
    """
    out = _pass(headers)
    out.setRawHeaders(TARGET, [worker])
    if token:
        out.setRawHeaders(PASS, [token])
    return out


def back(headers: http_headers.Headers, worker: str) -> list[tuple[bytes, list[bytes]]]:
    """The headers that go to the client, as pairs.

    >>> import twisted.web.http_headers as hh
    >>> back(hh.Headers({"Keep-Alive": ["5"]}), "w1")
    [(b'X-Target-Worker', [b'w1'])]
    """
    out = _pass(headers)
    out.setRawHeaders(TARGET, [worker])
    return list(out.getAllRawHeaders())


def connection_options(headers: http_headers.Headers) -> set[str]:
    """The names of the headers that concern this connection alone, as `Connection` lists them.

    >>> import twisted.web.http_headers as hh
    >>> sorted(connection_options(hh.Headers({"Connection": ["close, X-A"]})))
    ['close', 'x-a']
    """
    values = headers.getRawHeaders(b"connection", [])
    return {name.strip().lower() for value in values for name in value.decode("latin-1").split(",")}


def _pass(headers: http_headers.Headers) -> http_headers.Headers:
    out = headers.copy()
    for name in HOP | OWN | connection_options(headers):
        if name:
            out.removeHeader(name)
    return out


def workers(raw: bytes) -> list[message.Worker]:
    """The platform's worker list.

    >>> workers(b'{"workers": [{"id": "w1", "host": "127.0.0.1", "port": 9, "pool": "desk", "state": "ready"}]}')
    [Worker(id='w1', host='127.0.0.1', port=9, pool='desk', state='ready', drain_us=0)]
    """
    try:
        out = []
        for w in json.loads(raw)["workers"]:
            state = w["state"] if w["state"] in ("ready", "leaving") else "gone"
            drain = int(w.get("drain_deadline_ms", 0)) * 1000
            out.append(message.Worker(str(w["id"]), str(w["host"]), int(w["port"]), str(w["pool"]), state, drain))
    except (ValueError, KeyError, TypeError) as e:
        raise ValueError(f"The platform's list can't be read: {e!r}") from e
    return sorted(out, key=lambda w: w.id)


def load(raw: bytes) -> tuple[int, int]:
    """A worker's load report: how many requests wait there.

    >>> load(b'{"running": 3, "queued": 2}')
    (3, 2)
    """
    try:
        document = json.loads(raw)
        return int(document["running"]), int(document["queued"])
    except (ValueError, KeyError, TypeError) as e:
        raise ValueError(f"The load report can't be read: {e!r}") from e


WORKERS_PATH = "/workers"
LOAD_PATH = "/load"
READY_PATH = "/ready"


def ready(ok: bool, why: str = "") -> tuple[int, dict[str, typing.Any]]:
    """The answer to the platform's question whether a node is ready.

    >>> ready(True)
    (200, {'ready': True})
    """
    return (200, {"ready": True}) if ok else (503, {"ready": False, "why": why})


# ---- the seam ---------------------------------------------------------------------


@dataclasses.dataclass
class ParsedRequest:
    """What a client says of its request.

    >>> ParsedRequest().left_us is None
    True
    """

    parts: list = dataclasses.field(default_factory=list)  # ids of the prompt's parts, outermost first
    sizes: list = dataclasses.field(default_factory=list)  # their tokens, where told
    tokens_in: int = 0
    tokens_out: int = 0
    request_id: str = ""
    send: int = 0
    idempotent: bool = False
    client: str = ""
    left_us: int | None = None  # how long the client will wait
    tag: str = ""  # what the worker's answer carries back
    host: str = ""
    model: str = ""
    after: str = ""  # the last event that the client has, where it takes a stream up again


class EdgeProtocol:
    """The formats towards clients, workers and platform; this class has iriswheel's own.

    A site whose formats differ hands in a subclass; nothing else changes.

    >>> EdgeProtocol().ready(True)
    (200, {'ready': True})
    """

    ready_path = READY_PATH
    load_path = LOAD_PATH
    any_method = False  # whether requests come by other methods than POST

    def parse_request(self, request: http_server.Request) -> ParsedRequest:
        """What a request says of its request; raises verdict.Defect where it is malformed."""
        headers = request.requestHeaders
        parts = prefix(headers)
        return ParsedRequest(
            parts=parts,
            sizes=[0] * len(parts),
            request_id=identifier(headers, REQUEST_ID),
            send=send_number(headers),
            idempotent=idempotent(headers),
            client=header(headers, CLIENT) or "",
            host=header(headers, "host") or "",
            tag=identifier(headers, REQUEST_ID),
        )

    def head(
        self,
        request: typing.Any,
        size: typing.Any,
        worker: typing.Any,
        left_us: typing.Any,
        urgency: typing.Any,
        after: str = "",
    ) -> typing.Any:
        """The head of the request to a worker, as bytes; `size` is the body's length in bytes."""
        more = [(TARGET.encode(), worker.id.encode())]
        return self.lines(
            request,
            size,
            HOP | OWN | {"last-event-id"},
            [
                (b"Host", f"{worker.host}:{worker.port}".encode()),
                *more,
                *([(b"Last-Event-ID", after.encode())] if after else []),
            ],
        )

    def lines(self, request: http_server.Request, size: int, drop: set[str], more: list[tuple[bytes, bytes]]) -> bytes:
        """A request's head with some headers dropped and others put in."""
        drop = drop | connection_options(request.requestHeaders)
        out = [b"%s %s HTTP/1.1" % (request.method, request.uri)]
        for name, values in request.requestHeaders.getAllRawHeaders():
            if name.decode("latin-1").lower() not in drop:
                out += [b"%s: %s" % (name, v) for v in values]
        out += [b"%s: %s" % pair for pair in more]
        out.append(b"Content-Length: %d" % size)
        return b"\r\n".join(out) + b"\r\n\r\n"

    def mine(self, tag: str, status: int, headers: dict[typing.Any, typing.Any]) -> bool:
        """Whether an answer is the one to this request: True, False, or None where it does not say.

        >>> EdgeProtocol().mine("x1", 200, {})
        True
        """
        return True

    def unrun(self, status: int, headers: dict[typing.Any, typing.Any]) -> bool:
        """Whether the worker says that it did not run the request.

        >>> EdgeProtocol().unrun(503, {}), EdgeProtocol().unrun(200, {})
        (True, False)
        """
        return status in (421, 429, 503)

    def sound(self, status: int, headers: dict[typing.Any, typing.Any]) -> bool:
        """Whether the head can be a worker's.

        >>> EdgeProtocol().sound(200, {})
        True
        """
        return True

    def home(self, headers: list[tuple[bytes, bytes]], worker: str) -> list[tuple[bytes, bytes]]:
        """The headers of a worker's answer that go to the client, as pairs of bytes.

        >>> EdgeProtocol().home([(b"Keep-Alive", b"5"), (b"X-A", b"b")], "w1")
        [(b'X-A', b'b'), (b'X-Target-Worker', b'w1')]
        """
        named = {
            n.strip().lower() for k, v in headers if k.lower() == b"connection" for n in v.decode("latin-1").split(",")
        }
        drop = HOP | OWN | named
        return [(k, v) for k, v in headers if k.decode("latin-1").lower() not in drop] + [
            (TARGET.encode(), worker.encode())
        ]

    def refusal(self, d: errors.ServiceError) -> tuple[int, list[tuple[str, str]], bytes]:
        """The answer to an error: status, pairs of headers, body.

        >>> EdgeProtocol().refusal(errors.ServiceError("busy", "Full."))[:2]
        (503, [('Retry-After', '1')])
        """
        return d.status, [] if d.retry_after is None else [("Retry-After", str(d.retry_after))], d.body()

    def list_path(self, token: str) -> str:
        """Where the platform's list, or its page of that token, is asked for.

        >>> EdgeProtocol().list_path("")
        '/workers'
        """
        return WORKERS_PATH

    def page(self, raw: bytes) -> tuple[list[message.Worker], str]:
        """A page of the platform's list: workers, and the next page's token or "".

        >>> EdgeProtocol().page(b'{"workers": []}')
        ([], '')
        """
        return workers(raw), ""

    def load(self, raw: bytes) -> tuple[int, int]:
        """A worker's load report: requests that run there, and that wait.

        >>> EdgeProtocol().load(b'{"running": 3, "queued": 2}')
        (3, 2)
        """
        return load(raw)

    def ready(self, ok: bool, why: str = "") -> tuple[int, dict[str, typing.Any]]:
        """The answer to the platform's question whether a node is ready.

        >>> EdgeProtocol().ready(False, "stopping")
        (503, {'ready': False, 'why': 'stopping'})
        """
        return ready(ok, why)
