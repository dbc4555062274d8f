"""Messages that the connection itself sends and takes: the handshake and the keep-alive."""

import iriswheel.transport.messages.base as message_base


class VersionHandshake(message_base.Message, tag="Hello", frozen=True):
    """The first message on a connection, both ways: the protocol version of the sender."""

    version: int


class KeepAlive(message_base.Message, tag="Ping", frozen=True):
    """A sign of life on a quiet connection."""
