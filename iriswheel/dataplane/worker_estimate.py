"""A node's estimate of one worker from its own attempts: load, prompt parts in the prefix cache, and suspicion."""

from __future__ import annotations

import collections

MAX_PARTS = 512  # remembered prompt parts per worker


class WorkerEstimate:
    """The load, cached parts and suspicion of one worker, as far as this node's own attempts show them.

    >>> estimate = WorkerEstimate(); estimate.running, estimate.unread_tokens
    (0, 0)
    """

    __slots__ = (
        "busy_since_us",
        "last_contact_us",
        "parts",
        "running",
        "suspected_at_us",
        "suspicion",
        "unread_tokens",
    )

    def __init__(self) -> None:
        self.running = 0  # attempts of this node in flight at the worker
        self.unread_tokens = 0  # prompt tokens of these attempts that still wait for prefill
        # prefix key of a part likely in the worker's cache -> tokens of the part, the most recently used last
        self.parts: collections.OrderedDict[bytes, int] = collections.OrderedDict()
        self.last_contact_us = 0  # when this node last received anything from the worker
        self.busy_since_us = 0  # when `running` last rose from 0
        self.suspicion = 0.0  # 0 to 1, before its decay since suspected_at_us
        self.suspected_at_us = 0

    def note_parts(self, keys: list[bytes], sizes: list[int]) -> None:
        """Note that a prompt with these parts was sent to the worker, which then likely caches them.

        >>> estimate = WorkerEstimate(); estimate.note_parts([b"k"], [100]); list(estimate.parts.items())
        [(b'k', 100)]
        """
        parts = self.parts
        for key, size in zip(keys, sizes, strict=False):
            parts.pop(key, None)
            parts[key] = size
        while len(parts) > MAX_PARTS:
            parts.popitem(last=False)
