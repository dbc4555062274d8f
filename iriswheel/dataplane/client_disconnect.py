"""Cancellation of the work for a request when the request's client disconnects."""

from __future__ import annotations

import collections.abc
import typing

from twisted.internet import defer

if typing.TYPE_CHECKING:
    from iriswheel.transport import http_server

Result = typing.TypeVar("Result")


async def run_until_disconnect(
    request: http_server.Request, work: collections.abc.Coroutine[typing.Any, typing.Any, Result]
) -> Result:
    """Run a coroutine for a request and cancel it when the request's client disconnects.

    Raises:
        defer.CancelledError: The client disconnected first.
    """
    task = defer.ensureDeferred(work)
    lost = request.client_lost.wait()
    lost.addCallback(lambda _: task.cancel())
    try:
        return await task
    finally:
        lost.addErrback(lambda _: None)
        lost.cancel()
