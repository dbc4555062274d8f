"""Log output that never holds up the process: lines that nobody takes are dropped and counted.

A pipe whose reader has stopped reading is full after some hundreds of lines, and a write to it then waits for ever.
"""

from __future__ import annotations

import os
import select
import typing

import loguru
from twisted import logger

# A pipe that is ready for writing takes as many bytes at once (POSIX: PIPE_BUF).
PIECE_BYTES = select.PIPE_BUF

log = loguru.logger.bind(part="twisted")


class LogOutput:
    """Writes lines to a file descriptor as far as that takes them at once.

    Args:
        descriptor: An open file descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0  # lines since the last one that was written
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def write(self, line: str) -> None:
        """Write a line, after a note on lines that were dropped before it, or drop it."""
        note = f"{self.dropped} log lines were dropped, since nobody read them.\n" if self.dropped else ""
        if self._write(f"{note}{line}".encode(errors="backslashreplace")):
            self.dropped = 0
        else:
            self.dropped += 1

    def _write(self, data: bytes) -> bool:
        """Write bytes piece by piece; returns whether all were taken."""
        try:
            for start in range(0, len(data), PIECE_BYTES):
                if not self._poll.poll(0):
                    return False
                os.write(self.descriptor, data[start : start + PIECE_BYTES])
        except OSError:  # no reader any more, or a full disk
            return False
        return True


def forward_twisted_events() -> None:
    """Log Twisted's own warnings and errors, and forget its other events.

    Until a program sets an observer, Twisted keeps the last 65,536 events, with the connections that they are about.
    """
    observers: list[typing.Any] = [_log_event]  # Any: mypy can't tell that a function is a log observer
    logger.globalLogBeginner.beginLoggingTo(observers, redirectStandardIO=False, discardBuffer=True)


def _log_event(event: logger.LogEvent) -> None:
    if event["log_level"] >= logger.LogLevel.warn:
        failure: typing.Any = event.get("log_failure")
        traceback = "" if failure is None else failure.getTraceback()
        log.error("{}\n{}", logger.formatEvent(event), traceback)
