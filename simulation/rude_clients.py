"""Misbehaving clients: they disconnect early, read slowly, or send invalid HTTP."""

from __future__ import annotations

import typing

from twisted.internet import endpoints, protocol

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler
    from simulation import event_log

CONNECT_TIMEOUT_SECONDS = 2
LEAVE_AFTER_US = 40 * units.MILLISECOND_US  # time from the request to the disconnect of a client that leaves
PAUSE_US = 3 * units.SECOND_US  # time for which a slow client does not read
ANSWER_US = 2 * units.SECOND_US  # time for which a client collects the answer
STATUS = slice(9, 12)  # position of the status code in the first line of an answer
LOGGED_LENGTH = 300  # characters from the end of an answer that are logged

_HEAD = b"POST /v1/complete HTTP/1.1\r\nHost: x\r\nX-May-Repeat: yes\r\n"

REQUESTS = {
    "leaves": _HEAD + b"Content-Length: 5\r\n\r\nhello",
    "reads slowly": _HEAD + b"Content-Length: 5\r\n\r\nhello",
    "bad head": b"\x00\x01 nonsense\r\n\r\n",
    "no length": _HEAD + b"\r\n",
    "bad field": _HEAD + b"X-Send-Number: minus\r\nContent-Length: 0\r\n\r\n",
    "too large": _HEAD + b"Content-Length: 99999999\r\n\r\n",
}
BEHAVIOURS = tuple(REQUESTS)


class RecordingConnection(protocol.Protocol):
    """Records the answer to a misbehaving client.

    >>> RecordingConnection().received
    []
    """

    def __init__(self) -> None:
        self.received: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:
        """Record a part of the answer."""
        self.received.append(data)


async def misbehave(
    runtime: scheduler.Runtime, events: event_log.EventLog, host: str, port: int, behaviour: str
) -> None:
    """Send one request to a node in a misbehaving way, and log the answer; a client that leaves logs nothing.

    Args:
        runtime: The client's runtime.
        events: The event log.
        host: The node's host.
        port: The node's HTTP port.
        behaviour: One of `BEHAVIOURS`.
    """
    endpoint = endpoints.TCP4ClientEndpoint(runtime.reactor, host, port, timeout=CONNECT_TIMEOUT_SECONDS)
    try:
        factory = protocol.Factory.forProtocol(RecordingConnection)
        connection = await endpoint.connect(factory)  # type: ignore[arg-type]  # Twisted's is a zope interface
    except Exception:  # no connection to the node, whatever the reason: there is nothing to test
        return
    connection.transport.write(REQUESTS[behaviour])
    match behaviour:
        case "leaves":
            await runtime.sleep(LEAVE_AFTER_US)
            connection.transport.abortConnection()
            return
        case "reads slowly":
            connection.transport.pauseProducing()
            await runtime.sleep(PAUSE_US)
            connection.transport.resumeProducing()
    await runtime.sleep(ANSWER_US)
    text = b"".join(connection.received).decode("latin-1")
    events.put(
        runtime.now(), "rude", how=behaviour, host=f"{host}:{port}", status=text[STATUS], text=text[-LOGGED_LENGTH:]
    )
    connection.transport.abortConnection()
