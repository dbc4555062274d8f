"""Measures the processor time of each simulated process and the traffic between processes."""

from __future__ import annotations

import collections
import dataclasses
import time


@dataclasses.dataclass(slots=True)
class Step:
    """A call of a process's code that has not returned; `own_ns` excludes the calls nested in it."""

    process: str
    own_ns: int = 0


class Meter:
    """Real processor time of each process's own code, and the traffic between each pair of processes.

    Code of the simulated network, and code of another process that runs within a process's call, is not charged to
    that process.

    >>> meter = Meter(); meter.enter("n1"); meter.enter("n2"); meter.leave(); meter.leave(); sorted(meter.spent)
    ['n1', 'n2']
    >>> meter.count("n1", "n2", 70); meter.sent["n1", "n2"]
    [1, 70]
    """

    def __init__(self) -> None:
        self.spent: collections.Counter[str] = collections.Counter()  # process -> processor time in nanoseconds
        self.longest: collections.Counter[str] = collections.Counter()  # process -> nanoseconds of its longest step
        self.sent: dict[tuple[str, str], list[int]] = {}  # (sender, receiver) -> [writes, bytes]
        self.stack: list[Step] = []
        self.since = 0

    def enter(self, name: str) -> None:
        """Record that code charged to a name begins to run."""
        now = time.thread_time_ns()
        if self.stack:
            self.stack[-1].own_ns += now - self.since
        self.stack.append(Step(name))
        self.since = time.thread_time_ns()

    def leave(self) -> None:
        """Record that the code that was entered last has returned."""
        now = time.thread_time_ns()
        step = self.stack.pop()
        step.own_ns += now - self.since
        self.spent[step.process] += step.own_ns
        self.longest[step.process] = max(self.longest[step.process], step.own_ns)
        self.since = time.thread_time_ns()

    def count(self, sender: str, receiver: str, size: int) -> None:
        """Count one write of `size` bytes from one process to another."""
        writes_and_bytes = self.sent.setdefault((sender, receiver), [0, 0])
        writes_and_bytes[0] += 1
        writes_and_bytes[1] += size
