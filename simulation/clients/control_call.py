"""Calls to the control addresses of core machines, as operators and applications make them."""

from __future__ import annotations

import typing

from twisted.internet import defer

from iriswheel.runtime import units
from simulation.clients import connection

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler

MAX_REDIRECTS = 3  # that one call follows
CONNECT_TIMEOUT_US = units.SECOND_US
ANSWER_TIMEOUT_US = units.SECOND_US
ANSWER_TIMEOUT_PER_BYTE_US = 5

Address = tuple[str, int]
Headers = list[tuple[str, str]]


class Call(typing.NamedTuple):
    """What is sent to a control address."""

    method: str
    path: str
    headers: Headers
    raw: bytes = b""


class Answer(typing.NamedTuple):
    """What came of a call: a status and a body, or status 0 without a clear answer; and the host asked last."""

    status: int
    body: bytes
    host: str = ""
    was_sent: bool = True  # whether a connection stood on which the call went out


UNCLEAR = Answer(0, b"")


class Redirect(typing.NamedTuple):
    """Where an answer 307 sends a call."""

    address: Address
    path: str


def parse_redirect(location: str) -> Redirect | None:
    """The address and path that a Location header names, or None where it names no port.

    >>> parse_redirect("http://10.1.0.2:8262/config")
    Redirect(address=('10.1.0.2', 8262), path='/config')
    """
    authority, _, rest = location.partition("://")[2].partition("/")
    host, colon, port = authority.rpartition(":")
    return Redirect((host, int(port)), f"/{rest}") if colon else None


async def send(runtime: scheduler.Runtime, call: Call, address: Address) -> Answer:
    """Call one core machine, and those that it passes the call on to."""
    was_sent = False
    for _ in range(MAX_REDIRECTS):
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
    return UNCLEAR


async def _send_once(runtime: scheduler.Runtime, call: Call, address: Address) -> connection.PendingAnswer | None:
    """One call on a connection of its own; None where no connection came up."""
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
    except Exception:  # whatever the network says, there is no connection
        return None
    answered: defer.Deferred[connection.PendingAnswer] = defer.Deferred()
    head = connection.encode_head(call.method, call.path, headers)
    opened.start(connection.PendingAnswer(answered.callback), head + call.raw)
    runtime.later(ANSWER_TIMEOUT_US + len(call.raw) * ANSWER_TIMEOUT_PER_BYTE_US, opened.drop, "silent")
    answer = await answered
    opened.drop("done")
    return answer
