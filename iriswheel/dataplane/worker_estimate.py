"""What a node knows of one worker from its own attempts: load, prompt parts in its cache, suspicion."""

from __future__ import annotations

import collections

MAX_PARTS = 512  # parts remembered per worker


class WorkerEstimate:
    """What this node knows of one worker.

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
        self.running = 0  # own requests there
        self.unread_tokens = 0  # own prompt tokens that it has still to read
        # chain key of a part that it is likely to hold -> tokens, the latest used last
        self.parts: collections.OrderedDict[bytes, int] = collections.OrderedDict()
        self.last_contact_us = 0  # when it last said anything to this node
        self.busy_since_us = 0  # when the first of the attempts now under way went out
        self.suspicion = 0.0  # 0 to 1, as it was at suspected_at_us
        self.suspected_at_us = 0

    def note_parts(self, keys: list[bytes], sizes: list[int]) -> None:
        """Note the parts that a prompt brings there.

        >>> estimate = WorkerEstimate(); estimate.note_parts([b"k"], [100]); list(estimate.parts.items())
        [(b'k', 100)]
        """
        parts = self.parts
        for key, size in zip(keys, sizes, strict=False):
            parts.pop(key, None)
            parts[key] = size
        while len(parts) > MAX_PARTS:
            parts.popitem(last=False)
