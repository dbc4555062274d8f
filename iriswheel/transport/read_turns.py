"""Turns in which a busy server reads from its clients, so that those who send much don't keep others waiting.

A process has one thread. In each turn of the reactor it reads once from every connection that has sent something, and
handles what it read. While that takes a large part of its time, the connections that took most of it so far are read a
few at a time, and those of new clients at once.
"""

from __future__ import annotations

import itertools
import typing

from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler

BUSY_US = 50 * units.MILLISECOND_US  # of work on what clients send, above what BUSY_PERCENT allows
MAX_WORK_US = 500 * units.MILLISECOND_US  # that count, so that a server that was frozen is not busy for long after that
BUSY_PERCENT = 25  # of the time, which that work may take for any length of time without the server being busy
FREE_US = 4 * units.MILLISECOND_US  # of work for one connection, before it takes turns in a busy server
READ_PER_TURN = 2  # connections that are read in one turn of the reactor, of those that take turns
FIRST_READ_BYTES = 4 << 10  # of a new connection, so that many new ones in one turn take little time
TURN_READ_BYTES = 16 << 10  # of a connection that takes turns
FREE_READ_BYTES = 64 << 10  # of all others


class ReadControl:
    """Pauses and resumes the reading from one connection, for two reasons that are independent of each other.

    Twisted's channel pauses it while the client's next requests can't be handled; `ReadTurns` until its turn has come.

    Args:
        transport: Of the connection.
    """

    def __init__(self, transport: typing.Any) -> None:  # noqa: ANN401 - a push producer, a zope interface
        self._transport = transport
        self._transport.bufferSize = FIRST_READ_BYTES
        self._is_paused_by_channel = False
        self.is_waiting = False  # for its turn
        self.work_us = 0  # spent on what this connection has sent

    def pauseProducing(self) -> None:
        """Stop reading, as the channel asks."""
        self._is_paused_by_channel = True
        self._transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Read on, as far as the channel is concerned."""
        self._is_paused_by_channel = False
        if not self.is_waiting:
            self._transport.resumeProducing()

    def note_read(self) -> None:
        """Note that bytes have been read."""
        if self._transport.bufferSize == FIRST_READ_BYTES:
            self._transport.bufferSize = FREE_READ_BYTES

    def wait(self) -> None:
        """Stop reading until the connection's turn has come."""
        self.is_waiting = True
        self._transport.bufferSize = TURN_READ_BYTES
        self._transport.pauseProducing()

    def take_turn(self) -> None:
        """Read on, as far as turns are concerned."""
        self.is_waiting = False
        if not self._is_paused_by_channel:
            self._transport.resumeProducing()

    def __getattr__(self, name: str) -> typing.Any:  # noqa: ANN401 - whatever the transport has
        """Leave everything else to the transport."""
        return getattr(self._transport, name)


class ReadTurns:
    """Measures the work on what clients send, and lets the connections that caused most of it wait for their turns.

    Args:
        runtime: Clock and reactor of the process.
    """

    def __init__(self, runtime: scheduler.Runtime) -> None:
        self._runtime = runtime
        self._waiting: dict[ReadControl, None] = {}  # the longest-waiting first
        self._is_turn_due = False
        self._work_us = 0  # recent work, less the part of the time that it may take
        self._noted_at_us = runtime.now()

    def note_work(self, control: ReadControl, began_us: int) -> None:
        """Take into account the work on what a connection has sent, from a time until now."""
        now = self._runtime.now()
        allowed_us = (now - self._noted_at_us) * BUSY_PERCENT // 100
        self._noted_at_us = now
        self._work_us = min(MAX_WORK_US, max(0, self._work_us - allowed_us) + now - began_us)
        control.work_us += now - began_us
        if self._work_us > BUSY_US and control.work_us > FREE_US and not control.is_waiting:
            control.wait()
            self._waiting[control] = None
            self._schedule_turn()

    def remove(self, control: ReadControl) -> None:
        """Forget a connection that has ended."""
        self._waiting.pop(control, None)

    def _schedule_turn(self) -> None:
        if self._waiting and not self._is_turn_due:
            self._is_turn_due = True
            self._runtime.later(0, self._give_turns)

    def _give_turns(self) -> None:
        self._is_turn_due = False
        for control in list(itertools.islice(self._waiting, READ_PER_TURN)):
            self.remove(control)
            control.take_turn()
        self._schedule_turn()
