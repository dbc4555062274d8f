"""A bounded queue between two stages of a pipeline."""

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
        """Return how many items wait."""
        return len(self.items)

    def put(self, item: Item) -> bool:
        """Add an item; returns False, and drops it, where the queue is full.

        >>> BoundedQueue(0).put("a")
        False
        """
        if len(self.items) >= self.capacity:
            return False
        self.items.append(item)
        return True

    def take(self) -> Item:
        """Remove and return the item that came first; raises IndexError where there is none.

        >>> queue = BoundedQueue(2); _ = queue.put("one"), queue.put("two"); queue.take()
        'one'
        """
        return self.items.popleft()
