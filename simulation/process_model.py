"""Simulated processes: they run, freeze, wake and are killed."""

from __future__ import annotations

import functools
import typing

from iriswheel.runtime import scheduler
from simulation import reactor_model

if typing.TYPE_CHECKING:
    from simulation import host_model, network_model, world


class SimulatedProcess:
    """One process on a host: its reactor, its listening ports, and whether it is alive or frozen.

    >>> import simulation.host_model, simulation.world
    >>> world = simulation.world.World(1)
    >>> process = SimulatedProcess(world, "p", simulation.host_model.Host(world, "h", "a"))
    >>> process.alive, process.frozen
    (True, False)
    """

    def __init__(self, simulated_world: world.World, name: str, host: host_model.Host) -> None:
        self.world, self.name, self.host = simulated_world, name, host
        self.alive, self.frozen = True, False
        self.backlog: list[world.Callback] = []  # calls that became due while the process was frozen
        self.ports: dict[int, network_model.ListeningFactory] = {}
        self.reactor = reactor_model.Reactor(self)
        self.incarnations: int = getattr(simulated_world.processes.get(name), "incarnations", 0) + 1
        simulated_world.processes[name] = self

    def runtime(self) -> scheduler.Runtime:
        """A runtime for the code under test, whose clock ignores jumps of the time of day; draws a random seed."""
        seed = f"{self.world.rng.random()}-{self.name}-{self.incarnations}"
        return scheduler.Runtime(self.reactor, now=lambda: self.world.time, seed=seed)

    def may_run(self, function: world.Callback) -> bool:
        """Whether the process can run a function now; a frozen process keeps the function until it wakes."""
        if not self.alive:
            return False
        if self.frozen:
            self.backlog.append(function)
            return False
        return True

    def call(self, function: world.Callback) -> None:
        """Run a function in this process: now, or when the process wakes if it is frozen."""
        if self.may_run(function):
            self.world.call_metered(self, function)

    def kill(self) -> None:
        """End the process at once; its host's kernel closes its ports and resets its connections."""
        self.alive = False
        self.ports.clear()
        for connection in list(self.world.connections.values()):
            for side in connection.sides:
                if side.process is self:
                    side.reset()

    def freeze(self) -> None:
        """Suspend the process: its timers and incoming data wait until it wakes."""
        self.frozen = True

    def wake(self) -> None:
        """Resume a frozen process, which first runs the calls that became due meanwhile."""
        self.frozen = False
        backlog, self.backlog = self.backlog, []
        for function in backlog:
            self.world.push(self.world.time, functools.partial(self.call, function))
