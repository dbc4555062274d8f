"""The signals of a process from its first import to its end.

Until the reactor runs, SIGHUP and a request to stop are only noted, since their default action would end the process.
This module imports nothing but the standard library's `os` and `signal`, so that the handlers are set before all other
imports.
"""

from __future__ import annotations

import collections.abc
import os
import signal
import types
import typing

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

Action: typing.TypeAlias = collections.abc.Callable[[], object]


class ProcessSignals:
    """Takes the signals of this process, and hands them over to the reactor's actions once these are known."""

    def __init__(self) -> None:
        self.reload_requested = False
        self.stop_requested = False
        self.may_end_at_once = True  # whether nothing is under way yet that a stop would have to end
        self._on_stop: Action | None = None
        self._on_reload: Action | None = None

    def install(self) -> None:
        """Set the handlers; they note the signals until `hand_over`."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._take_stop)
        signal.signal(signal.SIGHUP, self._take_hangup)

    def begin_serving(self) -> None:
        """Note that the process takes connections: from now on it stops only when the reactor runs."""
        self.may_end_at_once = False

    def hand_over(self, on_stop: Action, on_reload: Action) -> None:
        """Call the actions on signals from now on, and at once on those that were noted.

        Args:
            on_stop: Called on the first SIGTERM or SIGINT.
            on_reload: Called on each SIGHUP.
        """
        self._on_stop, self._on_reload = on_stop, on_reload
        self.install()
        if self.reload_requested:
            on_reload()
        if self.stop_requested:
            on_stop()

    def ignore_from_now_on(self) -> None:
        """Ignore all further signals, as the process is ending and the interpreter removes its handlers."""
        numbers = (*STOP_SIGNALS, signal.SIGHUP)
        signal.pthread_sigmask(signal.SIG_BLOCK, numbers)  # one that comes meanwhile would be reported
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)

    def _take_stop(self, _number: int, _frame: types.FrameType | None) -> None:
        if self.may_end_at_once:
            os._exit(0)  # without the interpreter's clean-up: an import may be under way
        first, self.stop_requested = not self.stop_requested, True
        if first and self._on_stop is not None:
            self._on_stop()

    def _take_hangup(self, _number: int, _frame: types.FrameType | None) -> None:
        self.reload_requested = True
        if self._on_reload is not None:
            self._on_reload()


process_signals = ProcessSignals()
"""The signals of this process."""
