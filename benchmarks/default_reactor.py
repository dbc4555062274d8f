"""Twisted's own reactor for the programs of this package, which run in processes of their own."""

from __future__ import annotations

import collections.abc
import typing

from twisted.internet import defer
from twisted.python import failure

if typing.TYPE_CHECKING:
    from twisted.internet import epollreactor


def load() -> epollreactor.EPollReactor:
    """Return the process's reactor, installed at the first call and not while modules load."""
    from twisted.internet import reactor  # noqa: TID251 - this is where it is passed in from

    return typing.cast("epollreactor.EPollReactor", reactor)


def run(main: collections.abc.Callable[[], collections.abc.Coroutine[typing.Any, typing.Any, None]]) -> None:
    """Run the reactor until a coroutine ends, and raise what it raised."""
    reactor = load()
    failures: list[failure.Failure] = []

    def finish(result: failure.Failure | None) -> None:
        if isinstance(result, failure.Failure):
            failures.append(result)
        reactor.stop()

    reactor.callWhenRunning(lambda: defer.ensureDeferred(main()).addBoth(finish))
    reactor.run()
    if failures:
        failures[0].raiseException()
