"""The retry budget: repeat sends stay within a fifth of first sends.

Each node keeps to it on its own; the fleet's sum then keeps to it as well.
"""

import collections

WINDOW_US = 10_000_000
SHARE = 5  # one repeat for so many first sends


class Budget:
    """The first and repeat sends of one node over the last ten seconds.

    No repeat is free: below five first sends there is none. So a sum over nodes can
    never pass the share, however few sends each of them sees.

    >>> b = Budget()
    >>> b.spend(0)
    False
    >>> for _ in range(5): b.first(0)
    >>> b.spend(1), b.spend(2)
    (True, False)
    >>> b.spend(WINDOW_US + 1)
    False
    """

    def __init__(self):
        self.firsts = collections.deque()
        self.repeats = collections.deque()

    def first(self, now):
        """Note a first send.

        >>> b = Budget(); b.first(0); len(b.firsts)
        1
        """
        self.firsts.append(now)
        self._trim(now)

    def room(self, now):
        """Whether there is a repeat send left.

        >>> Budget().room(0)
        False
        """
        self._trim(now)
        return (len(self.repeats) + 1) * SHARE <= len(self.firsts)

    def spend(self, now):
        """Take a repeat send from the budget; False where there is none left.

        >>> Budget().spend(0)
        False
        """
        if not self.room(now):
            return False
        self.repeats.append(now)
        return True

    def wait_us(self, now):
        """When it is worth to come back.

        >>> Budget().wait_us(0)
        2000000
        """
        if self.repeats:
            return max(1_000_000, self.repeats[0] + WINDOW_US - now)
        return 2_000_000

    def _trim(self, now):
        for q in (self.firsts, self.repeats):
            while q and q[0] <= now - WINDOW_US:
                q.popleft()
