"""The delayed calls of a simulated reactor."""

from __future__ import annotations

import typing

from twisted.internet import error

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    from simulation import process_model, world

TimerState = typing.Literal["due", "done", "cancelled"]


class Timer:
    """A delayed call as a reactor's `callLater` returns it.

    >>> import simulation.world as world
    >>> timer = Timer(world.World(1), 5, print, ()); timer.cancel(); timer.active()
    False
    """

    def __init__(
        self, simulated_world: world.World, due_at: int, function: world.Callback, arguments: tuple[object, ...]
    ) -> None:
        self.world, self.due_at = simulated_world, due_at
        self.function, self.arguments = function, arguments
        self.state: TimerState = "due"
        self.process: process_model.SimulatedProcess | None = None

    def active(self) -> bool:
        """Whether the call has been neither made nor cancelled.

        >>> import simulation.world as world
        >>> Timer(world.World(1), 5, print, ()).active()
        True
        """
        return self.state == "due"

    def cancel(self) -> None:
        """Cancel the call.

        Raises:
            twisted.internet.error.AlreadyCalled: The call was already made.
            twisted.internet.error.AlreadyCancelled: The call was already cancelled.
        """
        if self.state != "due":
            raise error.AlreadyCalled() if self.state == "done" else error.AlreadyCancelled()
        self.state = "cancelled"

    def getTime(self) -> float:
        """The time at which the call is due, in seconds."""
        return self.due_at / units.SECOND_US

    def reset(self, seconds: float) -> None:
        """Make the call due a number of seconds from now."""
        self.due_at = self._now() + int(seconds * units.SECOND_US)
        self.schedule()

    def delay(self, seconds: float) -> None:
        """Make the call due a number of seconds later than it was."""
        self.due_at += int(seconds * units.SECOND_US)
        self.schedule()

    def schedule(self) -> None:
        """Schedule an attempt at the call for when it is due; the reactor's clock may jump in the meantime."""
        self.world.push(self.world.time + max(0, self.due_at - self._now()), self._fire)

    def _now(self) -> int:
        return self.world.time if self.process is None else self.process.reactor.clock()

    def _fire(self) -> None:
        if self.state != "due" or self._now() < self.due_at:
            return
        if self.process is not None and not self.process.may_run(self._fire):
            return
        self.state = "done"
        self.world.call_metered(self.process, self.function, *self.arguments)
