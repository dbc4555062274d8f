"""The base of simulated deployments: a world with machines, and methods that advance its virtual time."""

from __future__ import annotations

import collections.abc
import typing

from iriswheel.runtime import units
from simulation import host_model, world

POLL_S = 0.05  # virtual time between two checks of a condition


class Place(typing.NamedTuple):
    """The host and zone in which a process runs."""

    host: str
    zone: str


class Deployment:
    """A deployment in its own simulated world.

    >>> deployment = Deployment(1)
    >>> deployment.advance(2), deployment.world.time
    (None, 2000000)
    """

    def __init__(self, seed: int) -> None:
        self.world = world.World(seed)
        self.rng = self.world.rng

    def machine(self, host: str, zone: str) -> host_model.Host:
        """The machine at an address, created on first use."""
        return self.world.machines.get(host) or host_model.Host(self.world, host, zone)

    def powered_machine(self, host: str, zone: str) -> host_model.Host:
        """The machine at an address, switched on."""
        machine = self.machine(host, zone)
        machine.power = True
        return machine

    def advance(self, seconds: float) -> None:
        """Advance virtual time by a number of seconds, and run all events that become due."""
        self.world.run(self.world.time + int(seconds * units.SECOND_US))

    def advance_until(self, condition: collections.abc.Callable[[], object], seconds: float) -> bool:
        """Advance virtual time until a condition holds; returns False if it does not within a number of seconds."""
        end = self.world.time + int(seconds * units.SECOND_US)
        while not condition():
            if self.world.time >= end:
                return False
            self.advance(POLL_S)
        return True
