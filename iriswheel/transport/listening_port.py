"""A listening TCP port that accepts few connections at a time.

Twisted's own port accepts 100 and more in one turn of the reactor. Until the turn ends, connections that were closed
for them keep their file descriptors, and no other connection is read.
"""

from __future__ import annotations

import typing

from twisted.internet import tcp

if typing.TYPE_CHECKING:
    from twisted.internet import epollreactor, protocol

ACCEPTED_PER_TURN = 24


class ListeningPort(tcp.Port):
    """Accepts ACCEPTED_PER_TURN connections at most in one turn of the reactor."""

    def doRead(self) -> None:
        """Accept the connections that are there."""
        self.numberAccepts = ACCEPTED_PER_TURN
        super().doRead()  # type: ignore[no-untyped-call]


def listen(
    reactor: epollreactor.EPollReactor, port: int, factory: protocol.Factory[typing.Any], *, host: str, backlog: int
) -> ListeningPort:
    """Listen at a port.

    Args:
        reactor: The process's reactor.
        port: The port; 0 lets the operating system choose.
        factory: Makes the protocols of the connections.
        host: The IP address to listen at.
        backlog: The connections that the operating system holds until they are accepted.

    Raises:
        CannotListenError: The port is taken or not available.
    """
    listening = ListeningPort(port, factory, backlog, host, reactor)  # type: ignore[arg-type]  # a zope interface
    listening.startListening()
    return listening
