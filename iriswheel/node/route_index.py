"""An index of the routes of a node's slice by host and path."""

from __future__ import annotations

import collections.abc
import typing

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration


def covering_paths(path: str, longest: int) -> collections.abc.Iterator[str]:
    """Yield the route paths that match a request's path as a prefix of whole segments, the longest first.

    Args:
        path: The request's path.
        longest: The length of the longest path that any route has.

    >>> list(covering_paths("/v1/chat", 99)), list(covering_paths("/v1/chat", 4))
    (['/v1/chat', '/v1/', '/v1', '/'], ['/v1/', '/v1', '/'])
    """
    if len(path) <= longest:
        yield path
    position = min(len(path) - 1, longest)
    while (position := path.rfind("/", 0, position + 1)) >= 0:
        if position + 1 < len(path) and position + 1 <= longest:
            yield path[: position + 1]
        if position:
            yield path[:position]
        position -= 1


class RouteIndex:
    """The routes by name, and an index that finds the route of a request by its host and path."""

    def __init__(self) -> None:
        self.routes: dict[str, configuration.Route] = {}
        self._names: dict[tuple[str, str], list[str]] = {}  # (host, path) -> names of routes for both
        self._longest = 0  # longest path length of all routes ever added

    def put(self, name: str, route: configuration.Route | None) -> None:
        """Add or replace a route; None removes it."""
        old = self.routes.pop(name, None)
        if old is not None:
            key = (old.host.lower(), old.path)
            self._names[key].remove(name)
            if not self._names[key]:
                del self._names[key]
        if route is not None:
            self.routes[name] = route
            self._names.setdefault((route.host.lower(), route.path), []).append(name)
            self._longest = max(self._longest, len(route.path))

    def find(self, host: str, path: str) -> configuration.Route | None:
        """Return the route for a request's host and path, or None if no route matches.

        A route for the host with its port is preferred to one for the host alone, and that one to
        a route for any host. For the same host the route with the longest matching path is
        preferred, and for the same path a route limited to some zones.
        """
        host = host.lower()
        for route_host in dict.fromkeys((host, host.partition(":")[0], "")):
            for route_path in covering_paths(path, self._longest):
                names = self._names.get((route_host, route_path))
                if names:
                    return max((self.routes[name] for name in names), key=lambda route: bool(route.zones))
        return None
