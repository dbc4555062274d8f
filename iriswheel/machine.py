"""What a process gets from its machine: reactor, clock, randomness.

Everything else in the package asks a Machine for the time, for a tick and for
chance, so that the simulator can hand in its own. Times are whole microseconds.
"""

from __future__ import annotations

import collections
import collections.abc
import random
import time
import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.message as message

if typing.TYPE_CHECKING:
    import twisted.internet.base as base
    import twisted.python.failure as failure


SECOND = 1_000_000
MILLI = 1_000


class DeadlineError(Exception):
    """An answer did not come within its time."""

    code = "late"


def boottime() -> int:
    """The time since boot, sleep included; a jump of the wall clock leaves it alone.

    >>> boottime() <= boottime()
    True
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Machine:
    """Reactor, clock and randomness of one process.

    >>> import twisted.internet.task as task
    >>> clock = task.Clock()
    >>> m = Machine(clock, now=lambda: int(clock.seconds() * SECOND), seed=1)
    >>> rung = []
    >>> _ = m.later(5 * MILLI, rung.append, "tick")
    >>> clock.advance(0.005)
    >>> rung, m.now()
    (['tick'], 5000)
    """

    def __init__(
        self, reactor: typing.Any, now: collections.abc.Callable[..., object] = boottime, seed: int | str | None = None
    ) -> None:
        self.reactor = reactor
        self.now = now
        self.rng = random.Random(seed)
        self.version = message.VERSION  # of the messages that this process speaks
        self.boot = f"{self.rng.getrandbits(48):012x}"

    def later(self, us: int, f: collections.abc.Callable[..., object], *args: typing.Any) -> base.DelayedCall:
        """Ring f(*args) after us microseconds.

        Example: `tick = mach.later(5 * MILLI, f)`
        """
        return self.reactor.callLater(max(0, us) / SECOND, f, *args)

    def sleep(self, us: int) -> defer.Deferred[typing.Any]:
        """A Deferred that fires after us microseconds, and may be cancelled.

        >>> import twisted.internet.task as task
        >>> clock = task.Clock()
        >>> d = Machine(clock, now=lambda: 0).sleep(SECOND)
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
        >>> s = Signal(); d = Machine(clock, now=lambda: 0).pause(s, SECOND)
        >>> clock.advance(1); d.called, s.waiting
        (True, [])
        """
        d = signal.wait()
        tick = self.later(us, signal.drop, d)

        def done(res: None) -> None:
            if tick.active():
                tick.cancel()
            return res

        return d.addBoth(done)

    def within(self, d: defer.Deferred[typing.Any], us: int) -> defer.Deferred[typing.Any]:
        """Pass d on, but cancel it and raise Late when us microseconds have gone.

        >>> import twisted.internet.task as task
        >>> clock = task.Clock()
        >>> d = Machine(clock, now=lambda: 0).within(defer.Deferred(), SECOND)
        >>> clock.advance(1)
        >>> d.addErrback(lambda f: f.type.code).result
        'late'
        """
        out = defer.Deferred(lambda _: d.cancel())
        tick = self.later(us, self._expire, out, d)

        def done(res: typing.Any) -> None:
            if tick.active():
                tick.cancel()
            if not out.called:
                out.callback(res)

        d.addBoth(done)
        return out

    @staticmethod
    def _expire(out: defer.Deferred[typing.Any], d: defer.Deferred[typing.Any]) -> None:
        if not out.called:
            out.errback(DeadlineError())
            d.cancel()

    def spawn(
        self, coro: collections.abc.Coroutine[typing.Any, typing.Any, typing.Any], log: loguru.Logger | None = None
    ) -> defer.Deferred[typing.Any]:
        """Run a coroutine as a task of its own; an error in it is logged, not lost.

        >>> async def answer():
        ...     return 42
        >>> Machine(None, now=lambda: 0).spawn(answer()).result
        42
        """
        d = defer.ensureDeferred(coro)
        d.addErrback(self._spilt, log or loguru.logger.bind(part="task"))
        return d

    @staticmethod
    def _spilt(defect: failure.Failure, log: loguru.Logger) -> None:
        if defect.check(defer.CancelledError):
            return
        log.error("A task broke off: {}", defect.getTraceback())


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


class BoundedQueue:
    """A bounded holding between two stages; put says whether there was room.

    >>> h = BoundedQueue(1)
    >>> h.put("a"), h.put("b"), h.take(), len(h)
    (True, False, 'a', 0)
    """

    def __init__(self, room: int) -> None:
        self.room = room
        self.items: collections.deque[str] = collections.deque()

    def __len__(self) -> int:
        """Return how many items wait."""
        return len(self.items)

    def put(self, item: str) -> bool:
        """Add an item unless the holding is full.

        >>> BoundedQueue(0).put("a")
        False
        """
        if len(self.items) >= self.room:
            return False
        self.items.append(item)
        return True

    def take(self) -> str:
        """Remove and return the item that came first.

        >>> h = BoundedQueue(2); _ = h.put("one"), h.put("two"); h.take()
        'one'
        """
        return self.items.popleft()
