"""HTTP calls from operators and applications to the control addresses of core machines."""

from __future__ import annotations

import typing

from twisted.internet import defer

from iriswheel.runtime import units
from simulation.clients import connection

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler

MAX_MACHINES_PER_CALL = 3  # number of core machines that one call tries, targets of redirects included
CONNECT_TIMEOUT_US = units.SECOND_US
ANSWER_TIMEOUT_US = units.SECOND_US
ANSWER_TIMEOUT_PER_BYTE_US = 5  # added for each byte of the request body

Address = tuple[str, int]
Headers = list[tuple[str, str]]


class Call(typing.NamedTuple):
    """A request to a control address."""

    method: str
    path: str
    headers: Headers
    raw: bytes = b""


class Answer(typing.NamedTuple):
    """The result of a call: status and body, with status 0 if no complete answer came, and the last host called."""

    status: int
    body: bytes
    host: str = ""
    was_sent: bool = True  # whether a connection was opened and the request sent


NO_DEFINITE_ANSWER = Answer(0, b"")


class Redirect(typing.NamedTuple):
    """The target of a redirect with status 307."""

    address: Address
    path: str


def parse_redirect(location: str) -> Redirect | None:
    """The address and path in a Location header, or None if it contains no port.

    >>> parse_redirect("http://10.1.0.2:8262/config")
    Redirect(address=('10.1.0.2', 8262), path='/config')
    """
    authority, _, rest = location.partition("://")[2].partition("/")
    host, colon, port = authority.rpartition(":")
    return Redirect((host, int(port)), f"/{rest}") if colon else None


async def send(runtime: scheduler.Runtime, call: Call, address: Address) -> Answer:
    """Call one core machine, and follow its redirects to other core machines."""
    was_sent = False
    for _ in range(MAX_MACHINES_PER_CALL):
        host = address[0]
        answer = await _send_once(runtime, call, address)
        was_sent = was_sent or answer is not None
        if answer is None or answer.outcome != "whole":
            return Answer(0, b"", host, was_sent)
        if answer.code != 307:
            return Answer(answer.code, answer.body, host)
        redirect = parse_redirect(answer.header("location") or "")
        if redirect is None:
            return Answer(0, b"", host)
        address, call = redirect.address, call._replace(path=redirect.path)
    return NO_DEFINITE_ANSWER


async def _send_once(runtime: scheduler.Runtime, call: Call, address: Address) -> connection.PendingAnswer | None:
    """Send a call on a new connection; None if no connection could be opened."""
    host, port = address
    headers = [
        ("Host", f"{host}:{port}"),
        ("Content-Type", "application/json"),
        *call.headers,
        ("Content-Length", str(len(call.raw))),
        ("Connection", "close"),
    ]
    try:
        opened = await connection.connect(runtime, host, port, CONNECT_TIMEOUT_US)
    except defer.CancelledError:
        raise
    except Exception:  # any failure means that there is no connection
        return None
    answered: defer.Deferred[connection.PendingAnswer] = defer.Deferred()
    head = connection.encode_head(call.method, call.path, headers)
    opened.start(connection.PendingAnswer(answered.callback), head + call.raw)
    runtime.later(ANSWER_TIMEOUT_US + len(call.raw) * ANSWER_TIMEOUT_PER_BYTE_US, opened.drop, "silent")
    answer = await answered
    opened.drop("done")
    return answer
