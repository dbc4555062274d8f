"""Timers, tasks and deadlines of a process, on top of an injected reactor, clock and random seed.

All other modules get the time, timers and random numbers from a `Runtime`, so that the simulator can replace them.
Times are whole microseconds.
"""

from __future__ import annotations

import collections.abc
import random
import time
import typing

import loguru
from twisted.internet import defer

from iriswheel.runtime import protocol, units

if typing.TYPE_CHECKING:
    from twisted.python import failure

Result = typing.TypeVar("Result")


class DeadlineError(Exception):
    """A result was not available within its time limit."""

    code = "late"


class Timer(typing.Protocol):
    """A delayed call of the reactor: the used part of `twisted.internet.interfaces.IDelayedCall`."""

    def cancel(self) -> None:
        """Cancel the call, which must still be pending."""

    def active(self) -> bool:
        """Return whether the call is still pending."""


def boottime() -> int:
    """Return the microseconds since boot, time in suspension included; independent of changes of the wall clock.

    >>> boottime() <= boottime()
    True
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Runtime:
    """The reactor, clock and random number generator of one process.

    Args:
        reactor: Twisted's reactor, or a replacement in tests and simulations.
        now: returns the time in microseconds, which never goes back.
        seed: seed of the random numbers; None for a different one at every start.

    >>> import twisted.internet.task as task
    >>> clock = task.Clock()
    >>> runtime = Runtime(clock, now=lambda: int(clock.seconds() * units.SECOND_US), seed=1)
    >>> called = []
    >>> _ = runtime.later(5 * units.MILLISECOND_US, called.append, "timer")
    >>> clock.advance(0.005)
    >>> called, runtime.now()
    (['timer'], 5000)
    """

    def __init__(
        self,
        reactor: typing.Any,  # noqa: ANN401 - reactors are typed by zope interfaces, which replacements don't inherit
        now: collections.abc.Callable[[], int] = boottime,
        seed: int | str | None = None,
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.rng = random.Random(seed)
        self.protocol_version = protocol.PROTOCOL_VERSION  # of this process; simulations set others
        self.incarnation = f"{self.rng.getrandbits(48):012x}"

    def later(self, delay_us: int, function: collections.abc.Callable[..., object], *arguments: object) -> Timer:
        """Call function(*arguments) after delay_us microseconds, or in the next reactor turn if that is negative."""
        timer: Timer = self.reactor.callLater(max(0, delay_us) / units.SECOND_US, function, *arguments)
        return timer

    def sleep(self, duration_us: int) -> defer.Deferred[None]:
        """Return a Deferred that fires after duration_us microseconds; it may be cancelled.

        >>> import twisted.internet.task as task
        >>> clock = task.Clock()
        >>> sleeping = Runtime(clock, now=lambda: 0).sleep(units.SECOND_US)
        >>> clock.advance(1); sleeping.called
        True
        """
        sleeping: defer.Deferred[None] = defer.Deferred(lambda _: timer.cancel())
        timer = self.later(duration_us, sleeping.callback, None)
        return sleeping

    def pause(self, signal: Signal, timeout_us: int) -> defer.Deferred[None]:
        """Return a Deferred that fires at the signal's next wake, or after timeout_us microseconds.

        >>> import twisted.internet.task as task
        >>> clock = task.Clock()
        >>> signal = Signal(); paused = Runtime(clock, now=lambda: 0).pause(signal, units.SECOND_US)
        >>> clock.advance(1); paused.called, signal.waiting
        (True, [])
        """
        paused = signal.wait()
        timer = self.later(timeout_us, signal.resume_one, paused)

        def stop_timer(result: Result) -> Result:
            if timer.active():
                timer.cancel()
            return result

        return paused.addBoth(stop_timer)

    def within(self, deferred: defer.Deferred[Result], timeout_us: int) -> defer.Deferred[Result]:
        """Limit the time of a Deferred: after timeout_us microseconds cancel it and fail with DeadlineError.

        Returns:
            A new Deferred with the result of the given one, or the DeadlineError.

        >>> import twisted.internet.task as task
        >>> clock = task.Clock()
        >>> limited = Runtime(clock, now=lambda: 0).within(defer.Deferred(), units.SECOND_US)
        >>> clock.advance(1)
        >>> limited.addErrback(lambda error: error.type.code).result
        'late'
        """
        limited: defer.Deferred[Result] = defer.Deferred(lambda _: deferred.cancel())
        timer = self.later(timeout_us, self._expire, limited, deferred)

        def pass_on(result: Result | failure.Failure) -> None:
            if timer.active():
                timer.cancel()
            if not limited.called:
                limited.callback(result)

        deferred.addBoth(pass_on)
        return limited

    @staticmethod
    def _expire(limited: defer.Deferred[Result], deferred: defer.Deferred[Result]) -> None:
        if not limited.called:
            limited.errback(DeadlineError())
            deferred.cancel()

    def spawn(
        self, coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result], log: loguru.Logger | None = None
    ) -> defer.Deferred[Result | None]:
        """Run a coroutine as a task of its own; if it raises, the error is logged and the result is None.

        >>> async def answer():
        ...     return 42
        >>> Runtime(None, now=lambda: 0).spawn(answer()).result
        42
        """
        task = defer.ensureDeferred(coroutine)
        return task.addErrback(self._log_failure, log or loguru.logger.bind(part="task"))

    @staticmethod
    def _log_failure(error: failure.Failure, log: loguru.Logger) -> None:
        if isinstance(error.value, defer.CancelledError):
            return
        log.error("A background task raised an exception and has ended: {}", error.getTraceback())


class Signal:
    """An event that tasks wait for; each `wake` resumes all tasks that wait at that time.

    >>> signal = Signal()
    >>> waiting = signal.wait()
    >>> signal.wake(); waiting.called
    True
    """

    def __init__(self) -> None:
        self.waiting: list[defer.Deferred[None]] = []

    def wait(self) -> defer.Deferred[None]:
        """Return a Deferred that fires at the next wake.

        >>> signal = Signal(); signal.wait().cancel(); signal.waiting
        []
        """
        deferred: defer.Deferred[None] = defer.Deferred(self._forget)
        self.waiting.append(deferred)
        return deferred

    def _forget(self, deferred: defer.Deferred[None]) -> None:
        if deferred in self.waiting:
            self.waiting.remove(deferred)

    def resume_one(self, deferred: defer.Deferred[None]) -> None:
        """Resume the one waiting task whose Deferred `wait` returned.

        >>> signal = Signal(); waiting = signal.wait(); signal.resume_one(waiting); waiting.called, signal.waiting
        (True, [])
        """
        if deferred in self.waiting:
            self.waiting.remove(deferred)
            deferred.callback(None)

    def wake(self) -> None:
        """Resume all waiting tasks; those that begin to wait during this call wait for the next wake.

        >>> Signal().wake()
        """
        woken, self.waiting = self.waiting, []
        for deferred in woken:
            if not deferred.called:
                deferred.callback(None)
