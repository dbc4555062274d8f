"""Measures processor time, in units of a fixed loop, and memory, and fits straight lines over sizes."""

from __future__ import annotations

import collections.abc
import dataclasses
import gc
import json
import pathlib
import statistics
import time
import tracemalloc

Sizes = collections.abc.Sequence[int]
"""The sizes at which something is measured."""

MIN_TIMING_NS = 20_000_000  # minimum duration of a timing


def loop(rounds: int = 1000) -> int:
    """The fixed loop whose duration is the unit of processor time.

    >>> loop()
    2139444377
    """
    table, x = {}, 1
    for _ in range(rounds):
        x = x * 69069 + 1 & 0xFFFFFFFF
        table[x & 255] = x
    return x


def nanoseconds_per_call(call: collections.abc.Callable[[], object], min_ns: int = MIN_TIMING_NS) -> float:
    """Thread time of a call in nanoseconds: the mean of as many calls as fill the minimum time.

    >>> nanoseconds_per_call(loop, 1000) > 0
    True
    """
    call()
    calls, total = 0, 0
    while total < min_ns:
        started_at = time.thread_time_ns()
        call()
        total += time.thread_time_ns() - started_at
        calls += 1
    return total / calls


def loops_per_call(call: collections.abc.Callable[[], object], min_ns: int = MIN_TIMING_NS) -> float:
    """Processor time of a call, in units of `loop`.

    >>> loops_per_call(loop, 1000) > 0
    True
    """
    gc.collect()
    gc.disable()
    try:
        loop_ns = nanoseconds_per_call(loop, min_ns)
        return nanoseconds_per_call(call, min_ns) / loop_ns
    finally:
        gc.enable()


def allocated_bytes(make: collections.abc.Callable[[], object]) -> int:
    """Bytes that remain allocated for the object that make() returns.

    >>> allocated_bytes(lambda: bytes(100_000)) > 100_000
    True
    """
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = make()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before + 0 * bool(kept)
    finally:
        tracemalloc.stop()


class Measurements:
    """Measured values, and the straight lines through them.

    A line is a measured quantity, such as "a membership on the wire"; `by` names what it grows with, such as "members".

    >>> ls = Measurements(); ls.put("roster", "members", "B", 8, 816); ls.put("roster", "members", "B", 16, 1616)
    >>> ls.fit("roster", "members")
    (100.0, 100.0, 100.0, 16.0, 1.0)
    """

    def __init__(self) -> None:
        # (line, by) -> (unit, {size: [value of each repetition]})
        self.rows: dict[tuple[str, str], tuple[str, dict[int, list[float]]]] = {}

    def point(self, by: str, size: int) -> Point:
        """An object that adds values measured at one size.

        >>> measurements = Measurements(); measurements.point("members", 8).put_bytes("roster", 816)
        >>> measurements.rows["roster", "members"]
        ('B', {8: [816]})
        """
        return Point(self, by, size)

    def put(self, line: str, by: str, unit: str, size: int, value: float) -> None:
        """Add one value.

        >>> Measurements().put("roster", "members", "B", 8, 816)
        """
        self.rows.setdefault((line, by), (unit, {}))[1].setdefault(size, []).append(value)

    def fit(self, line: str, by: str) -> tuple[float, ...]:
        """Fit a line: slope of the medians, lowest and highest slope of a repetition, intercept, and R squared."""
        sizes = self.rows[line, by][1]
        xs = sorted(sizes)
        ys = [statistics.median(sizes[x]) for x in xs]
        slope, base = statistics.linear_regression(xs, ys)
        each = [
            statistics.linear_regression(xs, [sizes[x][k] for x in xs]).slope
            for k in range(min(len(v) for v in sizes.values()))
        ]
        flat = max(ys) - min(ys) <= 1e-9 * max(map(abs, ys))
        return slope, min(each), max(each), base, 1.0 if flat else statistics.correlation(xs, ys) ** 2

    def table(self) -> str:
        """A Markdown table of all lines that were measured at two or more sizes."""
        out = [
            "| line | grows with | slope | repeats | at none | R² | sizes (value) |",
            "|---|---|---|---|---|---|---|",
        ]
        for (line, by), (unit, sizes) in self.rows.items():
            if len(sizes) < 2:
                continue
            slope, least, most, base, good = self.fit(line, by)
            seen = ", ".join(f"{x} ({three_digits(statistics.median(v))})" for x, v in sorted(sizes.items()))
            out.append(
                f"| {line} | {by} | {three_digits(slope)} {unit} | {three_digits(least)} to {three_digits(most)} "
                f"| {three_digits(base)} | {good:.3f} | {seen} |"
            )
        return "\n".join(out)


@dataclasses.dataclass(frozen=True)
class Point:
    """Adds values that were measured at one size to the measurements.

    >>> Point(Measurements(), "members", 8).put_loops("a membership read", 0.5)
    """

    measurements: Measurements
    by: str
    size: int

    def put_bytes(self, line: str, value: int) -> None:
        """Add a number of bytes."""
        self.measurements.put(line, self.by, "B", self.size, value)

    def put_loops(self, line: str, value: float) -> None:
        """Add a processor time in loops."""
        self.measurements.put(line, self.by, "loops", self.size, value)


def three_digits(value: float) -> str:
    """A number rounded to three significant digits.

    >>> three_digits(0.0123456), three_digits(1234567), three_digits(42)
    ('0.0123', '1,230,000', '42')
    """
    if abs(value) >= 100:
        digits = len(str(int(abs(value)))) - 3
        return f"{round(value, -digits):,.0f}"
    return f"{value:.3g}"


def print_and_save(measurements: Measurements, out: str) -> None:
    """Print the table; if `out` names a file, also write all values to it as JSON."""
    print(measurements.table(), flush=True)
    loop_ns = statistics.median(nanoseconds_per_call(loop) for _ in range(5))
    print(f"\nOne loop (1000 rounds) took {loop_ns / 1000:.1f} us here.")
    if out:
        rows = [[*key, unit, sizes] for key, (unit, sizes) in measurements.rows.items()]
        pathlib.Path(out).write_text(json.dumps(rows, indent=1))
