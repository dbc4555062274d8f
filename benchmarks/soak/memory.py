"""The resident memory of a soak's processes, against what the users' smallest machines have."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import typing

if typing.TYPE_CHECKING:
    from benchmarks import fleet

MEBIBYTE = 1 << 20
CORE_LIMIT_MB = 256  # of a core machine on the users' smallest deployments
NODE_LIMIT_MB = 160  # of a node there
CHECK_INTERVAL_S = 0.1


def resident_mb(process_id: int) -> float:
    """The resident memory of a process in MiB; 0 if there is no such process.

    >>> resident_mb(os.getpid()) > 1
    True
    """
    with contextlib.suppress(OSError, IndexError):
        pages = int(pathlib.Path(f"/proc/{process_id}/statm").read_text(encoding="ascii").split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / MEBIBYTE
    return 0.0


class MemoryWatch:
    """Records the peak of each core machine's and each node's memory.

    Args:
        deployment: The fleet.
    """

    def __init__(self, deployment: fleet.Fleet) -> None:
        self.fleet = deployment
        self.peaks_mb: dict[str, float] = {}

    async def run(self) -> None:
        """Look at all processes every CHECK_INTERVAL_S; never returns."""
        while True:
            self.look()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def look(self) -> None:
        """Look at all processes once."""
        for name in [*self.fleet.cores, *self.fleet.nodes]:
            used_mb = resident_mb(self.fleet.processes[name].pid)
            self.peaks_mb[name] = max(used_mb, self.peaks_mb.get(name, 0.0))

    def largest_mb(self, names: typing.Iterable[str]) -> float:
        """The largest peak of some processes."""
        return max((self.peaks_mb.get(name, 0.0) for name in names), default=0.0)

    def complaints(self) -> list[str]:
        """A complaint about each process that exceeded its memory."""
        limits = dict.fromkeys(self.fleet.cores, CORE_LIMIT_MB) | dict.fromkeys(self.fleet.nodes, NODE_LIMIT_MB)
        return [
            f"MEMORY: {name} used {used_mb:.0f} MiB, its limit is {limits[name]}"
            for name, used_mb in self.peaks_mb.items()
            if used_mb > limits[name]
        ]
