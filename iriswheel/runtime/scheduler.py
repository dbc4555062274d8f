"""Timers, tasks and deadlines of a process, over the reactor, the clock and the randomness that it is given.

Everything else in the package asks a `Runtime` for the time, for timers and for random numbers,
so that the simulator can pass in its own. Times are whole microseconds.
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
    """A result did not come within its time limit."""

    code = "late"


class Timer(typing.Protocol):
    """A call that the reactor will make, as of `twisted.internet.interfaces.IDelayedCall`."""

    def cancel(self) -> None:
        """Have the call not made; it must still be pending."""

    def active(self) -> bool:
        """Whether the call is still pending."""


def boottime() -> int:
    """Microseconds since boot, sleep included; a jump of the wall clock does not change them.

    >>> boottime() <= boottime()
    True
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Runtime:
    """Reactor, clock and randomness of one process.

    Args:
        reactor: Twisted's reactor, or what stands in for it in tests and simulations.
        now: gives the time in microseconds; it never goes back.
        seed: of the random numbers; None for one that differs at every start.

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
        reactor: typing.Any,  # noqa: ANN401 - zope interfaces describe reactors; stand-ins don't inherit from these
        now: collections.abc.Callable[[], int] = boottime,
        seed: int | str | None = None,
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.rng = random.Random(seed)
        self.protocol_version = protocol.PROTOCOL_VERSION  # that this process speaks; simulations set others
        self.incarnation = f"{self.rng.getrandbits(48):012x}"

    def later(self, delay_us: int, function: collections.abc.Callable[..., object], *arguments: object) -> Timer:
        """Call function(*arguments) after delay_us microseconds, at once where that is negative."""
        timer: Timer = self.reactor.callLater(max(0, delay_us) / units.SECOND_US, function, *arguments)
        return timer

    def sleep(self, duration_us: int) -> defer.Deferred[None]:
        """A Deferred that fires after duration_us microseconds, and may be cancelled.

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
        """A Deferred that fires at the signal's next wake, or after timeout_us microseconds.

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
        """Pass a result on, but cancel what it comes from and fail with DeadlineError after timeout_us microseconds.

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
        """Run a coroutine as a task of its own; an error in it is logged, and the result is then None.

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
        log.error("A task failed: {}", error.getTraceback())


class Signal:
    """A condition that tasks wait for: every wake resumes all that wait.

    >>> signal = Signal()
    >>> waiting = signal.wait()
    >>> signal.wake(); waiting.called
    True
    """

    def __init__(self) -> None:
        self.waiting: list[defer.Deferred[None]] = []

    def wait(self) -> defer.Deferred[None]:
        """A Deferred that fires at the next wake.

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
        """Resume one task that waits, by the Deferred that `wait` gave it.

        >>> signal = Signal(); waiting = signal.wait(); signal.resume_one(waiting); waiting.called, signal.waiting
        (True, [])
        """
        if deferred in self.waiting:
            self.waiting.remove(deferred)
            deferred.callback(None)

    def wake(self) -> None:
        """Resume all that wait now; those that begin to wait meanwhile wait for the next wake.

        >>> Signal().wake()
        """
        woken, self.waiting = self.waiting, []
        for deferred in woken:
            if not deferred.called:
                deferred.callback(None)
