"""Bounds the reads that a machine has under way at the tail, each of whose answers carries the whole configuration.

Clients may ask for the configuration as often as they like. Those that ask for the same thing while all reads that may
be under way are, share the next one.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru
from twisted.internet import defer
from twisted.python import failure

from iriswheel import errors
from iriswheel.transport import work_turns

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler
    from iriswheel.transport import message

READS_AT_ONCE = 4

log = loguru.logger.bind(part="core")


class PendingRead:
    """A read that is not sent yet or not answered yet, and those that wait for its answer."""

    def __init__(self) -> None:
        self.waiting: dict[defer.Deferred[message.ReadResponse], None] = {}  # in the order of asking

    def wait(self) -> defer.Deferred[message.ReadResponse]:
        """Return a Deferred of the answer, which may be cancelled."""
        answer: defer.Deferred[message.ReadResponse] = defer.Deferred(self.waiting.pop)
        self.waiting[answer] = None
        return answer

    async def answer(self, runtime: scheduler.Runtime, result: message.ReadResponse | failure.Failure) -> None:
        """Give all that wait the answer, or the error in its place; where their work takes long, in several turns."""
        began_us = runtime.now()
        while self.waiting:  # one that is answered may cancel others
            if runtime.now() - began_us >= work_turns.TURN_US:
                await runtime.sleep(0)
                began_us = runtime.now()
                continue
            waiting = next(iter(self.waiting))
            del self.waiting[waiting]
            waiting.callback(result)


class TailReads:
    """The reads that one machine has under way at the tail of one view.

    Args:
        runtime: Deadlines and tasks.
        call: Sends one read, of a plan's or change's id, to the tail; raises ServiceError where that fails.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        call: collections.abc.Callable[[str], collections.abc.Coroutine[typing.Any, typing.Any, message.ReadResponse]],
    ) -> None:
        self.runtime = runtime
        self.call = call
        self._slots = defer.DeferredSemaphore(READS_AT_ONCE)
        self._unsent: dict[str, PendingRead] = {}  # by the id that is read

    async def read(self, identifier: str, timeout_us: int) -> message.ReadResponse:
        """Read the state at the tail, as it is at the time of this call or later.

        Raises:
            errors.ServiceError: The tail's answer, or that it could not be asked.
            scheduler.DeadlineError: There was no answer in time.
        """
        pending = self._unsent.get(identifier)
        if pending is not None:
            return await self.runtime.within(pending.wait(), timeout_us)
        pending = self._unsent[identifier] = PendingRead()
        answer = self.runtime.within(pending.wait(), timeout_us)
        self.runtime.spawn(self._run(identifier, pending), log)
        return await answer

    async def _run(self, identifier: str, pending: PendingRead) -> None:
        await self._slots.acquire()
        del self._unsent[identifier]
        try:
            if pending.waiting:
                await self._answer(identifier, pending)
        finally:
            self._slots.release()

    async def _answer(self, identifier: str, pending: PendingRead) -> None:
        try:
            result: message.ReadResponse | failure.Failure = await self.call(identifier)
        except errors.ServiceError:
            result = failure.Failure()
        await pending.answer(self.runtime, result)
