"""Signals and restarts of a soak, in several series that overlap."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import pathlib
import random
import signal
import subprocess
import time

from benchmarks import fleet
from benchmarks.soak import records

STOP_TIMEOUT_S = 40  # for a process to end after SIGTERM
DOWN_S = (0.2, 1.0)  # limits of the time from the end of a process to its restart
FREEZE_S = (0.2, 3.0)  # limits of the time for which a process is frozen
SETTLE_S = 4.0  # after which a core machine that came back no longer counts as lost
SERIES_GAPS_S = (0.05, 0.3, 1.5)  # between the actions of a series; one is drawn for each series
MAX_NODES_IN_SERIES = 6
SIGNAL_GAP_S = 0.02  # between further signals to a process that starts or ends
MAX_START_SIGNALS = 20
HANGUP_SHARE = 0.5  # of the starts and of the ends of processes during which SIGHUP comes again and again
CAUGHT_SIGNALS_LINE = "SigCgt:"  # of a process's status file: a mask in hexadecimal


def handles_hangup(process_id: int) -> bool:
    """Whether a process has set its handler of SIGHUP; False where there is no such process.

    >>> handles_hangup(0)
    False
    """
    with contextlib.suppress(OSError):
        for line in pathlib.Path(f"/proc/{process_id}/status").read_text(encoding="ascii").splitlines():
            if line.startswith(CAUGHT_SIGNALS_LINE):
                return bool(int(line.split()[1], 16) >> (signal.SIGHUP - 1) & 1)
    return False


class Faults:
    """Causes the faults of one soak.

    At most one core machine counts as lost at a time, but for a loss of all processes, whose disks remain.

    Args:
        deployment: The fleet.
        run: The records of the run.
        rng: Random numbers.
    """

    def __init__(self, deployment: fleet.Fleet, run: records.Records, rng: random.Random) -> None:
        self.fleet = deployment
        self.records = run
        self.rng = rng
        self.is_stopping = False
        self._signal_rng = random.Random()  # for the further signals, so that a seed plays the same faults as without
        self._signal_rng.setstate(rng.getstate())
        self._core_slot = asyncio.Lock()  # held by the series whose core machine counts as lost
        self._busy: set[str] = set()  # processes that some series stops, freezes or restarts now

    async def run(self) -> None:
        """Run three series at a time until the soak stops; a series that has begun is finished."""
        await asyncio.gather(*(self._run_series_in_turn() for _ in range(3)))

    async def _run_series_in_turn(self) -> None:
        while not self.is_stopping:
            await self.rng.choices(
                [self._hang_up, self._restart_nodes, self._fail_core, self._lose_all], weights=[3, 4, 4, 1]
            )[0]()
            await asyncio.sleep(self.rng.choice(SERIES_GAPS_S))

    # ---- series ------------------------------------------------------------------------

    async def _hang_up(self) -> None:
        """Let processes reload their options, one after the other."""
        gap_s = self.rng.choice(SERIES_GAPS_S[:2])
        for name in self._sample([*self.fleet.nodes, *self.fleet.cores]):
            if name not in self._busy:
                self.records.note(f"SIGHUP {name}")
                self.fleet.signal(name, signal.SIGHUP)
                await asyncio.sleep(gap_s)

    async def _restart_nodes(self) -> None:
        """Stop, kill or freeze some nodes, one begun after the other without waiting for the one before."""
        gap_s = self.rng.choice(SERIES_GAPS_S)
        begun = []
        for name in self._sample(self.fleet.nodes):
            action = self.rng.choice([self._stop, self._stop, self._kill, self._freeze])
            begun.append(asyncio.create_task(self._while_busy([name], action)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*begun)

    async def _fail_core(self) -> None:
        """Stop, kill or freeze one core machine, and wait until it no longer counts as lost."""
        async with self._core_slot:
            name = self.rng.choice(sorted(self.fleet.cores))
            await self._while_busy([name], self.rng.choice([self._stop, self._kill, self._freeze]))
            await asyncio.sleep(SETTLE_S)

    async def _lose_all(self) -> None:
        """Kill the processes of all core machines, at times those of all nodes too, and start them again."""
        async with self._core_slot:
            names = [*self.fleet.cores, *(self.fleet.nodes if self.rng.random() < 0.5 else ())]
            await self._while_busy(self.rng.sample(names, len(names)), self._kill)
            await asyncio.sleep(SETTLE_S)

    def _sample(self, names: collections.abc.Collection[str]) -> list[str]:
        return self.rng.sample(sorted(names), min(len(names), MAX_NODES_IN_SERIES))

    # ---- actions -----------------------------------------------------------------------

    async def _while_busy(
        self, names: list[str], action: collections.abc.Callable[[str], collections.abc.Awaitable[None]]
    ) -> None:
        """Apply an action to those processes that no other series is at work on."""
        free = [name for name in names if name not in self._busy]
        self._busy.update(free)
        try:
            await asyncio.gather(*(action(name) for name in free))
        finally:
            self._busy.difference_update(free)

    async def _stop(self, name: str) -> None:
        """Send SIGTERM, wait for the end of the process, and start it again."""
        self.records.note(f"SIGTERM {name}")
        self.fleet.signal(name, signal.SIGTERM)
        process = self.fleet.processes[name]
        ended_by = time.monotonic() + STOP_TIMEOUT_S
        with_hangups = self._signal_rng.random() < HANGUP_SHARE
        while process.poll() is None and time.monotonic() < ended_by:
            if with_hangups:
                process.send_signal(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_GAP_S)
        if process.poll() is None:
            self.records.complaints.append(f"{name} did not end within {STOP_TIMEOUT_S} s of SIGTERM")
            await asyncio.to_thread(self.fleet.kill, name)
        elif process.returncode != 0:
            self.records.own_ends.append(f"{name} ended with status {process.returncode} after SIGTERM")
        await self._start_later(name)

    async def _kill(self, name: str) -> None:
        self.records.note(f"SIGKILL {name}")
        begun_at = time.monotonic()
        self.fleet.kill(name)
        await self._start_later(name)
        self.records.interruptions.append(records.Interruption(name, begun_at, time.monotonic()))

    async def _freeze(self, name: str) -> None:
        seconds = self.rng.uniform(*FREEZE_S)
        self.records.note(f"freeze {name} for {seconds:.2f} s")
        begun_at = time.monotonic()
        self.fleet.signal(name, signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.fleet.signal(name, signal.SIGCONT)
        self.records.interruptions.append(records.Interruption(name, begun_at, time.monotonic()))

    async def _start_later(self, name: str) -> None:
        await asyncio.sleep(self.rng.uniform(*DOWN_S))
        self.records.note(f"start {name}")
        predecessor = self.fleet.processes[name]
        start = asyncio.create_task(asyncio.to_thread(self.fleet.restart, name))
        if self._signal_rng.random() < HANGUP_SHARE:
            await self._hang_up_while_starting(name, predecessor, start)
        await start

    async def _hang_up_while_starting(
        self, name: str, predecessor: subprocess.Popen[bytes], start: asyncio.Task[None]
    ) -> None:
        """Send SIGHUP again and again, from the moment that a new process handles it."""
        while not start.done():
            process = self.fleet.processes[name]
            if process is not predecessor and (process.poll() is not None or handles_hangup(process.pid)):
                break
            await asyncio.sleep(SIGNAL_GAP_S / 4)
        for _ in range(MAX_START_SIGNALS):
            self.fleet.processes[name].send_signal(signal.SIGHUP)
            await asyncio.sleep(self._signal_rng.uniform(0, SIGNAL_GAP_S))
