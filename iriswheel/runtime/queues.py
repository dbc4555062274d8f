"""A bounded first-in, first-out queue between two stages of a pipeline."""

import collections
import typing

Item = typing.TypeVar("Item")


class BoundedQueue(typing.Generic[Item]):
    """A first-in, first-out queue that refuses items once it is full.

    >>> queue = BoundedQueue(1)
    >>> queue.put("a"), queue.put("b"), queue.take(), len(queue)
    (True, False, 'a', 0)
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.items: collections.deque[Item] = collections.deque()

    def __len__(self) -> int:
        """Return the number of queued items."""
        return len(self.items)

    def put(self, item: Item) -> bool:
        """Add an item; if the queue is full, drop it and return False.

        >>> BoundedQueue(0).put("a")
        False
        """
        if len(self.items) >= self.capacity:
            return False
        self.items.append(item)
        return True

    def take(self) -> Item:
        """Remove and return the oldest item; raises IndexError if the queue is empty.

        >>> queue = BoundedQueue(2); _ = queue.put("one"), queue.put("two"); queue.take()
        'one'
        """
        return self.items.popleft()
