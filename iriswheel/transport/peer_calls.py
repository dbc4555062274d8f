"""The interface by which consensus, replication and counters call other core machines."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from iriswheel.transport import message


class PeerCalls(typing.Protocol):
    """Calls to other core machines, which are named by their addresses."""

    async def call(self, host: str, port: int, request: message.Message, timeout_us: int, /) -> message.Message:
        """Send a request and wait for its answer.

        Raises:
            wire.ConnectionBrokenError: The connection could not be opened, or broke before the answer.
            scheduler.DeadlineError: No answer came within the timeout.
        """
