"""Turns in which a server begins the work on whole requests, so that many at once don't hold up the process.

A process has one thread. All requests that have become whole in one turn of the reactor would be worked on before the
next timer runs and before any other connection is read; a core machine that is held up so loses its lease.
"""

from __future__ import annotations

import collections
import typing

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.runtime import scheduler

TURN_US = 20 * units.MILLISECOND_US  # of work on requests in one turn of the reactor, after which others wait


class WorkTurns:
    """Begins work in the order in which it comes, for TURN_US at most in one turn of the reactor.

    Args:
        runtime: Clock and reactor of the process.
    """

    def __init__(self, runtime: scheduler.Runtime) -> None:
        self._runtime = runtime
        self._waiting: collections.deque[collections.abc.Callable[[], object]] = collections.deque()
        self._used_us = 0  # since the last turn that was asked for
        self._is_turn_due = False

    def start(self, work: collections.abc.Callable[[], object]) -> None:
        """Begin some work now, or in a later turn if others wait or this turn is used up."""
        self._waiting.append(work)
        if not self._is_turn_due:
            self._run_turn()

    def start_all(self) -> None:
        """Begin all work that waits."""
        while self._waiting:
            self._waiting.popleft()()

    def _run_turn(self) -> None:
        while self._waiting and self._used_us < TURN_US:
            began_us = self._runtime.now()
            self._waiting.popleft()()
            self._used_us += self._runtime.now() - began_us
        if self._used_us >= TURN_US and not self._is_turn_due:
            self._is_turn_due = True
            self._runtime.later(0, self._next_turn)

    def _next_turn(self) -> None:
        self._is_turn_due = False
        self._used_us = 0
        self._run_turn()
