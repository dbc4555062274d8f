"""Outgoing TCP connections."""

from __future__ import annotations

import collections.abc
import typing

from twisted.internet import endpoints, protocol

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    from twisted.internet import defer, interfaces

ConnectedProtocol = typing.TypeVar("ConnectedProtocol", bound=protocol.Protocol)


def connect(
    reactor: typing.Any,  # noqa: ANN401 - real or simulated; Twisted's interfaces carry no types
    host: str,
    port: int,
    timeout_us: int,
    build: collections.abc.Callable[[], ConnectedProtocol],
) -> defer.Deferred[ConnectedProtocol]:
    """Open a TCP connection; the Deferred fires with the protocol of the connection.

    Args:
        reactor: The reactor, real or simulated.
        host: The IP address.
        port: The TCP port.
        timeout_us: The connect time-out in microseconds.
        build: Creates the protocol of the connection.
    """
    endpoint = endpoints.TCP4ClientEndpoint(reactor, host, port, timeout=timeout_us / units.SECOND_US)
    factory = protocol.Factory.forProtocol(build)
    factory.noisy = False
    # Type checkers can't read the interfaces that Twisted declares for the factory and for the protocols it builds.
    connecting = endpoint.connect(typing.cast("interfaces.IProtocolFactory", factory))
    return typing.cast("defer.Deferred[ConnectedProtocol]", connecting)
