"""Twisted's HTTP client with a bound on the head of an answer, of which it holds any number of headers by itself."""

from __future__ import annotations

import typing

from twisted.internet import protocol
from twisted.web import _newclient, client, iweb

if typing.TYPE_CHECKING:
    import collections.abc

    from twisted.internet import defer, interfaces

MAX_HEAD_BYTES = 32 << 10


class BoundedClientProtocol(_newclient.HTTP11ClientProtocol):
    """A connection that is aborted where the head of an answer is too long."""

    transport: typing.Any  # Any: Twisted describes transports by zope interfaces, which mypy can't check

    def __init__(self, quiescent_callback: collections.abc.Callable[[typing.Any], object]) -> None:
        super().__init__(quiescent_callback)  # type: ignore[no-untyped-call]
        self._head_bytes: int | None = None  # received of a head that is incomplete; None where none is awaited

    def request(self, request: _newclient.Request) -> defer.Deferred[iweb.IResponse]:
        """Send a request; the Deferred fires when the head of the answer has been received."""
        self._head_bytes = 0
        answered: defer.Deferred[iweb.IResponse] = super().request(request)
        return answered.addBoth(self._note_head)

    def _note_head(self, result: typing.Any) -> typing.Any:  # noqa: ANN401 - the answer, or a failure
        self._head_bytes = None
        return result

    def dataReceived(self, data: bytes) -> None:
        """Take bytes of an answer."""
        if self._head_bytes is not None:
            self._head_bytes += len(data)
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        if self._head_bytes is not None and self._head_bytes > MAX_HEAD_BYTES:
            self.transport.abortConnection()


class BoundedClientFactory(protocol.Factory):
    """Makes the connections of a pool; see `client.HTTPConnectionPool`."""

    noisy = False

    def __init__(self, quiescent_callback: collections.abc.Callable[[typing.Any], object], _metadata: str) -> None:
        self.quiescent_callback = quiescent_callback

    def buildProtocol(self, addr: interfaces.IAddress | None) -> BoundedClientProtocol:  # noqa: ARG002 - Twisted's name
        """Make a connection, for any address."""
        return BoundedClientProtocol(self.quiescent_callback)


def new_pool(reactor: typing.Any, *, persistent: bool) -> client.HTTPConnectionPool:  # noqa: ANN401 - real or simulated
    """Make a pool of connections each of which bounds the head of an answer."""
    pool = client.HTTPConnectionPool(reactor, persistent=persistent)
    pool._factory = BoundedClientFactory  # type: ignore[assignment]  # typed there as Twisted's own factory
    return pool
