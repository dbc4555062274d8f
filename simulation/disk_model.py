"""The disk of a simulated process, with the delays and faults of its host's disk."""

from __future__ import annotations

import typing

from twisted.internet import defer

from iriswheel.runtime import storage

if typing.TYPE_CHECKING:
    from simulation import process_model, world

SYNC_US = 2_000  # minimum duration of a sync, and the upper limit of the random time added to it
MAX_POWER_LOSS_DELAY_US = 3_000  # maximum delay of a power loss "after answer" once the write was acknowledged


class Disk:
    """One process's access to its host's disk: writes are synced in order; unsynced ones are lost with the process.

    >>> import simulation.host_model, simulation.process_model, simulation.world
    >>> world = simulation.world.World(1); host = simulation.host_model.Host(world, "h", "a")
    >>> process = simulation.process_model.SimulatedProcess(world, "p", host)
    >>> synced = Disk(process).commit([(b"k", b"v")]); host.synced
    {}
    >>> world.run(10_000); host.synced
    {b'k': b'v'}
    """

    def __init__(self, process: process_model.SimulatedProcess) -> None:
        self.process = process
        self.host = process.host
        self.busy_until = 0

    def read(self) -> dict[bytes, bytes]:
        """All synced records, ordered by key."""
        return dict(sorted(self.host.synced.items()))

    def write(self, writes: list[storage.Write]) -> None:
        """Sync records without delay, as a process does while it starts."""
        for key, value in writes:
            if value is None:
                self.host.synced.pop(key, None)
            else:
                self.host.synced[key] = value

    def commit(self, writes: list[storage.Write]) -> defer.Deferred[None]:
        """Sync records after the time that the disk takes.

        Args:
            writes: Pairs of key and value; a value of None deletes the record.

        Returns:
            Fires once the records are synced, or fails with `storage.DiskError` if the disk is full.
        """
        simulated_world: world.World = self.process.world
        synced: defer.Deferred[None] = defer.Deferred()
        cost = (
            SYNC_US
            + simulated_world.rng.randrange(SYNC_US)
            + (self.host.slow_disk_delay_us if self.host.disk_condition == "slow" else 0)
        )
        self.busy_until = max(self.busy_until, simulated_world.time) + cost
        simulated_world.push(self.busy_until, lambda: self._sync(writes, synced))
        return synced

    def _sync(self, writes: list[storage.Write], synced: defer.Deferred[None]) -> None:
        if not self.process.alive:
            return
        if self.host.disk_condition == "stalled":
            self.host.stalled_writes.append(lambda: self._sync(writes, synced))
            return
        if self.host.disk_condition == "full":
            self.process.call(lambda: synced.errback(storage.DiskError("No space is left.")))
            return
        power_loss_step, self.host.power_loss_step = self.host.power_loss_step, None
        if power_loss_step == "before sync":
            self.host.lose_power_at_step(power_loss_step)
            return
        self.write(writes)
        if power_loss_step == "after sync":
            self.host.lose_power_at_step(power_loss_step)
            return
        self.process.call(lambda: synced.callback(None))
        if power_loss_step is not None:
            delay = self.process.world.rng.randrange(MAX_POWER_LOSS_DELAY_US)
            self.process.world.push(
                self.process.world.time + delay, lambda: self.host.lose_power_at_step(power_loss_step)
            )
