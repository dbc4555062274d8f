"""The connections that a server accepts, and which of them gives way to a new one.

A client that keeps a connection without ending its request costs it nothing, so a bound alone would let such clients
keep all others away. Above the bound, the connection that has waited longest for its client is closed instead.
"""

from __future__ import annotations

import typing

# Closed connections whose descriptors are not free yet, for each of two uses: new connections, and requests that begin.
MAX_CLOSING = 24
# Of the bound: whole requests that are served at a time. The rest of the connections can always give way.
SERVED_PERCENT = 90
# The same where each request may need a connection to a worker beside that to its client.
FORWARDED_PERCENT = 45
# Of these: requests of connections that have had one served before. The rest is for those of new callers.
LATER_REQUESTS_PERCENT = 75


class Client(typing.Protocol):
    """A connection of a client."""

    def give_way(self) -> None:
        """Refuse what the client has not finished, and close the connection."""


class ConnectionSlots:
    """Counts the open connections of a server, and closes the one that has waited longest where a new one needs room.

    A connection waits from its begin, or the end of an answer, until the next request is whole. Bytes of a request that
    is not whole don't end the wait. A connection whose request is served never gives way.

    Args:
        limit: The bound on the open connections, with those that served requests take to workers.
        upstream_count: Returns the number of open connections to workers; None where requests need none.
    """

    def __init__(self, limit: int, upstream_count: typing.Callable[[], int] | None = None) -> None:
        self.limit = limit
        self.closed = 0  # count of connections that gave way
        self._upstream_count = upstream_count
        self._open: dict[Client, int] = {}  # with the number of their requests that were served, oldest first
        self._waiting: dict[Client, None] = {}  # the one that has waited longest first
        self._closing: set[Client] = set()  # those that gave way and are still closing

    def __iter__(self) -> typing.Iterator[typing.Any]:
        """The open connections, oldest first."""
        return iter(list(self._open))

    def __contains__(self, client: Client) -> bool:
        """Whether a connection is open."""
        return client in self._open

    def __len__(self) -> int:
        """The number of open connections."""
        return len(self._open)

    def admit(self) -> bool:
        """Make room for one more connection; returns whether there is room."""
        while self._used() >= self.limit:
            if len(self._closing) >= 2 * MAX_CLOSING or not self._waiting:
                return False
            self._close(next(iter(self._waiting)))
        return True

    def add(self, client: Client) -> None:
        """Count a new connection, which waits for its client."""
        self._open[client] = 0
        self._waiting[client] = None

    def begin_request(self, client: Client) -> bool:
        """Note that a connection's request is whole, and make room for it; returns whether it is to be served."""
        if self._served() >= self._served_limit(client):
            return False
        while self._used(beginning=1) > self.limit:
            others = (other for other in self._waiting if other is not client)
            longest_waiting = next(others, None)
            if longest_waiting is None or len(self._closing) >= MAX_CLOSING:
                return False
            self._close(longest_waiting)
        self._waiting.pop(client, None)
        if client in self._open:
            self._open[client] += 1
        return True

    def end_request(self, client: Client) -> None:
        """Note that a connection waits for its client again."""
        if client in self._open:
            self._waiting.setdefault(client)  # one whose request was refused has waited all the time

    def remove(self, client: Client) -> None:
        """Forget a connection that has ended."""
        self._open.pop(client, None)
        self._waiting.pop(client, None)
        self._closing.discard(client)

    def _served(self) -> int:
        return len(self._open) - len(self._waiting)

    def _served_limit(self, client: Client) -> int:
        """The number of requests in service from which a further one of this connection is refused."""
        served_limit = self.limit * (SERVED_PERCENT if self._upstream_count is None else FORWARDED_PERCENT) // 100
        return served_limit * LATER_REQUESTS_PERCENT // 100 if self._open.get(client) else served_limit

    def _used(self, beginning: int = 0) -> int:
        upstream = 0 if self._upstream_count is None else max(self._served() + beginning, self._upstream_count())
        return len(self._open) + upstream

    def _close(self, client: Client) -> None:
        self.remove(client)
        self._closing.add(client)
        self.closed += 1
        client.give_way()
