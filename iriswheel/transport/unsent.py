"""What a Twisted transport holds of the bytes that were written to it."""

from __future__ import annotations

import typing


def unsent_bytes(transport: typing.Any) -> int:  # noqa: ANN401 - Twisted describes transports by zope interfaces
    """Return the number of bytes that the operating system has not taken yet; 0 for a simulated transport.

    >>> unsent_bytes(object())
    0
    """
    buffered = len(getattr(transport, "dataBuffer", b"")) - getattr(transport, "offset", 0)
    return int(buffered + getattr(transport, "_tempDataLen", 0))


def abort(transport: typing.Any) -> None:  # noqa: ANN401 - as above
    """Close a connection at once, and free what was not sent, which Twisted keeps until the reactor's next turn."""
    transport.abortConnection()
    if hasattr(transport, "_tempDataBuffer"):
        transport.dataBuffer, transport.offset = b"", 0
        transport._tempDataBuffer, transport._tempDataLen = [], 0
