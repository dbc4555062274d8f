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
    """Connect to an address; the Deferred fires with the protocol that was built for the connection.

    Args:
        reactor: The reactor, real or simulated.
        host: The IP address.
        port: The TCP port.
        timeout_us: How long the connection is waited for, in microseconds.
        build: Makes the connection's protocol.
    """
    endpoint = endpoints.TCP4ClientEndpoint(reactor, host, port, timeout=timeout_us / units.SECOND_US)
    factory = protocol.Factory.forProtocol(build)
    factory.noisy = False
    # Twisted declares the factory's interface, and that of what it builds, in terms that type checkers can't read.
    connecting = endpoint.connect(typing.cast("interfaces.IProtocolFactory", factory))
    return typing.cast("defer.Deferred[ConnectedProtocol]", connecting)
