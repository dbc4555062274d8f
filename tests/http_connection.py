"""Connections to an HTTP server without sockets."""

from typing import Any

from twisted.internet import testing

from iriswheel.transport import http_server


def connect(server: http_server.Server) -> tuple[http_server.Channel, testing.StringTransportWithDisconnection]:
    """Open a connection; returns the server's side of it, and the transport that records what the client gets."""
    channel: Any = server.buildProtocol(None)
    transport: Any = testing.StringTransportWithDisconnection()
    transport.protocol = channel
    transport.unregisterProducer = lambda: None  # a socket accepts this call at any time
    channel.makeConnection(transport)
    return channel, transport
