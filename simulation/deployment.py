"""What simulated deployments have in common: a virtual world, its machines, and the passing of virtual time."""

from __future__ import annotations

import collections.abc
import typing

from iriswheel.runtime import units
from simulation import host_model, world

POLL_S = 0.05  # how often a condition is checked


class Place(typing.NamedTuple):
    """Where a process runs."""

    host: str
    zone: str


class Deployment:
    """A deployment in a world of its own.

    >>> deployment = Deployment(1)
    >>> deployment.advance(2), deployment.world.time
    (None, 2000000)
    """

    def __init__(self, seed: int) -> None:
        self.world = world.World(seed)
        self.rng = self.world.rng

    def machine(self, host: str, zone: str) -> host_model.Host:
        """The machine at an address, made when first named."""
        return self.world.machines.get(host) or host_model.Host(self.world, host, zone)

    def powered_machine(self, host: str, zone: str) -> host_model.Host:
        """The machine at an address, with its power on."""
        machine = self.machine(host, zone)
        machine.power = True
        return machine

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.world.run(self.world.time + int(seconds * units.SECOND_US))

    def advance_until(self, condition: collections.abc.Callable[[], object], seconds: float) -> bool:
        """Let time pass until a condition holds; False where it did not in time."""
        end = self.world.time + int(seconds * units.SECOND_US)
        while not condition():
            if self.world.time >= end:
                return False
            self.advance(POLL_S)
        return True
