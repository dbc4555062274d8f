"""Simulated machines: power, disk contents and time of day."""

from __future__ import annotations

import collections
import typing

from simulation import virtual_timer, world

DiskCondition = typing.Literal["ok", "full", "slow", "stalled"]
WriteStep = typing.Literal["before sync", "after sync", "after answer"]

REPAIR_US = 1_000  # delay between the repair of a stalled disk and the writes that it held back


class Host:
    """A simulated machine: its power, zone, time of day, and the records on its disk.

    >>> Host(world.World(1), "10.0.0.1", "a").power
    True
    """

    def __init__(self, simulated_world: world.World, address: str, zone: str) -> None:
        self.world, self.address, self.zone = simulated_world, address, zone
        self.power = True
        self.synced: dict[bytes, bytes] = {}  # records on the disk, by key
        self.disk_condition: DiskCondition = "ok"
        self.slow_disk_delay_us = 400_000  # extra time of each sync on a slow disk
        self.time_of_day_error = 0  # microseconds by which the time of day is ahead of the simulation's time
        self.stalled_writes: collections.deque[world.Callback] = collections.deque()  # held back by a stalled disk
        self.power_loss_step: WriteStep | None = None  # step of the next write at which power fails
        self.power_lost_at_step: WriteStep | None = None  # step at which power has failed
        simulated_world.machines[address] = self

    def fail(self) -> None:
        """Lose power: all processes end, and the peers of their connections get no reset."""
        self.power = False
        self.stalled_writes.clear()
        for process in self.world.processes.values():
            if process.host is self:
                process.alive = False
                process.ports.clear()
        for connection in list(self.world.connections.values()):
            for side in connection.sides:
                if side.process.host is self:
                    side.state = "closed"
                    connection.forget()

    def lose_power_at_step(self, power_loss_step: WriteStep) -> None:
        """Lose power at a chosen step of a write, and record the step."""
        if self.power:
            self.power_lost_at_step = power_loss_step
            self.fail()

    def time_of_day(self) -> int:
        """The machine's time of day in microseconds since the start of the simulation; it may jump.

        >>> host = Host(world.World(1), "h", "a"); host.set_time_of_day(-2_000_000); host.time_of_day()
        -2000000
        """
        return self.world.time + self.time_of_day_error

    def set_time_of_day(self, error: int) -> None:
        """Set the error of the time of day in microseconds, and reschedule the timers of this host's processes.

        A process whose reactor reads the time of day then fires its timers early or late.
        """
        self.time_of_day_error = error
        events = sorted(self.world.events, key=lambda event: (event.at, event.number))
        timers = [getattr(event.function, "__self__", None) for event in events]
        for timer in timers:
            if not isinstance(timer, virtual_timer.Timer) or not timer.active():
                continue
            if timer.process is not None and timer.process.host is self:
                timer.schedule()

    def repair(self) -> None:
        """Let a full, slow or stalled disk work again, and carry out the writes that it held back."""
        self.disk_condition = "ok"
        stalled_writes, self.stalled_writes = self.stalled_writes, collections.deque()
        for write in stalled_writes:
            self.world.push(self.world.time + REPAIR_US, write)
