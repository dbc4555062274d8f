"""Twisted's default reactor, for the commands of this package; each command runs in its own process."""

from __future__ import annotations

import collections.abc
import typing

from twisted.internet import defer
from twisted.python import failure

if typing.TYPE_CHECKING:
    from twisted.internet import epollreactor


def load() -> epollreactor.EPollReactor:
    """Return the process's reactor; the first call installs it, so that importing this module does not."""
    from twisted.internet import reactor  # noqa: TID251 - all other code gets the reactor as an argument

    return typing.cast("epollreactor.EPollReactor", reactor)


def run(main: collections.abc.Callable[[], collections.abc.Coroutine[typing.Any, typing.Any, None]]) -> None:
    """Run the reactor until a coroutine ends; raises the exception with which the coroutine failed, if it did."""
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
