"""A bounded queue between two stages of a pipeline."""

import collections
import typing

Item = typing.TypeVar("Item")


class BoundedQueue(typing.Generic[Item]):
    """A bounded holding between two stages; put says whether there was room.

    >>> h = BoundedQueue(1)
    >>> h.put("a"), h.put("b"), h.take(), len(h)
    (True, False, 'a', 0)
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.items: collections.deque[Item] = collections.deque()

    def __len__(self) -> int:
        """Return how many items wait."""
        return len(self.items)

    def put(self, item: Item) -> bool:
        """Add an item unless the holding is full.

        >>> BoundedQueue(0).put("a")
        False
        """
        if len(self.items) >= self.capacity:
            return False
        self.items.append(item)
        return True

    def take(self) -> Item:
        """Remove and return the item that came first.

        >>> h = BoundedQueue(2); _ = h.put("one"), h.put("two"); h.take()
        'one'
        """
        return self.items.popleft()
