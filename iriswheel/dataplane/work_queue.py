"""A bounded queue whose items are processed with a fixed concurrency."""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.runtime import queues, scheduler

log = loguru.logger.bind(part="work_queue")

Item = typing.TypeVar("Item")


class WorkQueue(typing.Generic[Item]):
    """Runs a coroutine function for each item, `concurrency` at once; up to `capacity` further items wait.

    >>> async def work(item): done.append(item)
    >>> done = []; queue = WorkQueue(None, capacity=1, concurrency=1, work=work)
    >>> queue.put("a"), done
    (True, ['a'])
    """

    def __init__(
        self,
        runtime: scheduler.Runtime | None,
        capacity: int,
        concurrency: int,
        work: collections.abc.Callable[[Item], collections.abc.Awaitable[None]],
    ) -> None:
        self.runtime = runtime or scheduler.Runtime(None, now=lambda: 0)
        self.backlog: queues.BoundedQueue[Item] = queues.BoundedQueue(capacity)
        self.concurrency = concurrency
        self.work = work
        self.running = 0

    def put(self, item: Item) -> bool:
        """Process or queue an item; returns False if the queue is full.

        >>> import twisted.internet.defer as defer
        >>> async def wait(item): await defer.Deferred()
        >>> queue = WorkQueue(None, capacity=1, concurrency=1, work=wait)
        >>> [queue.put(item) for item in "abc"]
        [True, True, False]
        """
        if self.running < self.concurrency:
            self.running += 1
            self.runtime.spawn(self._run(item), log)
            return True
        return self.backlog.put(item)

    async def _run(self, item: Item) -> None:
        try:
            await self.work(item)
            while len(self.backlog):
                await self.work(self.backlog.take())
        finally:
            self.running -= 1
