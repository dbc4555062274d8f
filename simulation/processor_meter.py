"""Processor time that each simulated process takes, and the traffic between them."""

from __future__ import annotations

import collections
import dataclasses
import time


@dataclasses.dataclass(slots=True)
class Step:
    """Code of a process that is running now; time of steps nested in it is not its own."""

    process: str
    own_ns: int = 0


class Meter:
    """Real processor time of each process's own code, and what each sent to which other.

    Time inside the simulated network counts for nobody, and so does what one process's
    code does while another's runs inside it.

    >>> meter = Meter(); meter.enter("n1"); meter.enter("n2"); meter.leave(); meter.leave(); sorted(meter.spent)
    ['n1', 'n2']
    >>> meter.count("n1", "n2", 70); meter.sent["n1", "n2"]
    [1, 70]
    """

    def __init__(self) -> None:
        self.spent: collections.Counter[str] = collections.Counter()  # process -> nanoseconds
        self.longest: collections.Counter[str] = collections.Counter()  # process -> its longest step, nanoseconds
        self.sent: dict[tuple[str, str], list[int]] = {}  # (from, to) -> [writes, bytes]
        self.stack: list[Step] = []
        self.since = 0

    def enter(self, name: str) -> None:
        """Record that code of a process begins to run."""
        now = time.thread_time_ns()
        if self.stack:
            self.stack[-1].own_ns += now - self.since
        self.stack.append(Step(name))
        self.since = time.thread_time_ns()

    def leave(self) -> None:
        """Record that the code that began last has returned."""
        now = time.thread_time_ns()
        step = self.stack.pop()
        step.own_ns += now - self.since
        self.spent[step.process] += step.own_ns
        self.longest[step.process] = max(self.longest[step.process], step.own_ns)
        self.since = time.thread_time_ns()

    def count(self, sender: str, receiver: str, size: int) -> None:
        """Count one write to the network and its bytes."""
        writes_and_bytes = self.sent.setdefault((sender, receiver), [0, 0])
        writes_and_bytes[0] += 1
        writes_and_bytes[1] += size
