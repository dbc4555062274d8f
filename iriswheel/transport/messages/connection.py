"""Messages that a connection itself sends and handles: the version handshake and the keep-alive."""

import iriswheel.transport.messages.base as message_base


class VersionHandshake(message_base.Message, tag="Hello", frozen=True):
    """The first message of each side on a connection: its protocol version."""

    version: int


class KeepAlive(message_base.Message, tag="Ping", frozen=True):
    """The message that a side sends when it has sent nothing for the keep-alive interval."""
