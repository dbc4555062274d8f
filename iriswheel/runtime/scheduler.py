"""What a process gets from its machine: reactor, clock, randomness.

Everything else in the package asks a Machine for the time, for a tick and for
chance, so that the simulator can hand in its own. Times are whole microseconds.
"""

from __future__ import annotations

import collections.abc
import random
import time
import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.runtime.units as units
import iriswheel.transport.message as message

if typing.TYPE_CHECKING:
    import twisted.internet.base as base
    import twisted.python.failure as failure


class DeadlineError(Exception):
    """An answer did not come within its time."""

    code = "late"


def boottime() -> int:
    """The time since boot, sleep included; a jump of the wall clock leaves it alone.

    >>> boottime() <= boottime()
    True
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Runtime:
    """Reactor, clock and randomness of one process.

    >>> import twisted.internet.task as task
    >>> clock = task.Clock()
    >>> m = Runtime(clock, now=lambda: int(clock.seconds() * units.SECOND_US), seed=1)
    >>> rung = []
    >>> _ = m.later(5 * units.MILLISECOND_US, rung.append, "tick")
    >>> clock.advance(0.005)
    >>> rung, m.now()
    (['tick'], 5000)
    """

    def __init__(
        self, reactor: typing.Any, now: collections.abc.Callable[[], int] = boottime, seed: int | str | None = None
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.rng = random.Random(seed)
        self.version = message.VERSION  # of the messages that this process speaks
        self.incarnation = f"{self.rng.getrandbits(48):012x}"

    def later(self, us: int, f: collections.abc.Callable[..., object], *args: typing.Any) -> base.DelayedCall:
        """Ring f(*args) after us microseconds."""
        return self.reactor.callLater(max(0, us) / units.SECOND_US, f, *args)

    def sleep(self, us: int) -> defer.Deferred[typing.Any]:
        """A Deferred that fires after us microseconds, and may be cancelled.

        >>> import twisted.internet.task as task
        >>> clock = task.Clock()
        >>> d = Runtime(clock, now=lambda: 0).sleep(units.SECOND_US)
        >>> clock.advance(1); d.called
        True
        """
        d = defer.Deferred(lambda _: tick.cancel())
        tick = self.later(us, d.callback, None)
        return d

    def pause(self, signal: Signal, us: int) -> defer.Deferred[typing.Any]:
        """A Deferred that fires at the signal's next wake, or after us microseconds.

        >>> import twisted.internet.task as task
        >>> clock = task.Clock()
        >>> s = Signal(); d = Runtime(clock, now=lambda: 0).pause(s, units.SECOND_US)
        >>> clock.advance(1); d.called, s.waiting
        (True, [])
        """
        d = signal.wait()
        tick = self.later(us, signal.drop, d)

        def done(response: None) -> None:
            if tick.active():
                tick.cancel()
            return response

        return d.addBoth(done)

    def within(self, d: defer.Deferred[typing.Any], us: int) -> defer.Deferred[typing.Any]:
        """Pass d on, but cancel it and raise Late when us microseconds have gone.

        >>> import twisted.internet.task as task
        >>> clock = task.Clock()
        >>> d = Runtime(clock, now=lambda: 0).within(defer.Deferred(), units.SECOND_US)
        >>> clock.advance(1)
        >>> d.addErrback(lambda f: f.type.code).result
        'late'
        """
        out = defer.Deferred(lambda _: d.cancel())
        tick = self.later(us, self._expire, out, d)

        def done(response: typing.Any) -> None:
            if tick.active():
                tick.cancel()
            if not out.called:
                out.callback(response)

        d.addBoth(done)
        return out

    @staticmethod
    def _expire(out: defer.Deferred[typing.Any], d: defer.Deferred[typing.Any]) -> None:
        if not out.called:
            out.errback(DeadlineError())
            d.cancel()

    def spawn(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any], log: loguru.Logger | None = None
    ) -> defer.Deferred[typing.Any]:
        """Run a coroutine as a task of its own; an error in it is logged, not lost.

        >>> async def answer():
        ...     return 42
        >>> Runtime(None, now=lambda: 0).spawn(answer()).result
        42
        """
        d = defer.ensureDeferred(coroutine)
        d.addErrback(self._spilt, log or loguru.logger.bind(part="task"))
        return d

    @staticmethod
    def _spilt(error: failure.Failure, log: loguru.Logger) -> None:
        if error.check(defer.CancelledError):
            return
        log.error("A task broke off: {}", error.getTraceback())


class Signal:
    """A condition that tasks wait for: every change wakes all who wait.

    >>> s = Signal()
    >>> d = s.wait()
    >>> s.wake(); d.called
    True
    """

    def __init__(self) -> None:
        self.waiting: list[defer.Deferred[typing.Any]] = []

    def wait(self) -> defer.Deferred[typing.Any]:
        """A Deferred that fires at the next wake.

        >>> Signal().wait().called
        False
        """
        d = defer.Deferred(lambda d: self.waiting.remove(d) if d in self.waiting else None)
        self.waiting.append(d)
        return d

    def drop(self, d: defer.Deferred[typing.Any]) -> None:
        """Wake just one who waits.

        >>> s = Signal(); d = s.wait(); s.drop(d); d.called, s.waiting
        (True, [])
        """
        if d in self.waiting:
            self.waiting.remove(d)
            d.callback(None)

    def wake(self) -> None:
        """Wake all who wait now.

        >>> Signal().wake()
        """
        woken, self.waiting = self.waiting, []
        for d in woken:
            if not d.called:
                d.callback(None)
