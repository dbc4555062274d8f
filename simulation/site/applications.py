"""The applications of a simulated site: clients within each zone that add to tallies and read them."""

from __future__ import annotations

import functools
import typing

import loguru
from twisted.internet import defer

from simulation import host_model, process_model
from simulation.clients import tally_caller

if typing.TYPE_CHECKING:
    from simulation.clients import control_call
    from simulation.site import site

CALLERS_PER_ZONE = 2
TALLIES = ("t1", "t2", "t3")
FINAL_READ_S = 40  # time limit for all reads at the end of the run
HOST_PREFIX = "10.8.0."

log = loguru.logger.bind(part="site")


class Applications:
    """The applications of a site; there are none until `start`."""

    def __init__(self, deployment: site.Site) -> None:
        self.site = deployment
        self.callers: list[tally_caller.TallyCaller] = []

    def start(self) -> None:
        """Start applications in each zone, which add to the tallies and read them while the traffic lasts."""
        for number, zone in enumerate(self.site.shape.zones(), 1):
            host = host_model.Host(self.site.world, f"{HOST_PREFIX}{number}", zone)
            for caller_number in range(CALLERS_PER_ZONE):
                name = f"app-{zone}-{caller_number}"
                runtime = process_model.SimulatedProcess(self.site.world, name, host).runtime()
                addresses = functools.partial(self.nearest_addresses, zone)
                caller = tally_caller.TallyCaller(runtime, self.site.event_log, addresses, name, TALLIES)
                self.callers.append(caller)
                runtime.spawn(caller.run(self.site.traffic_until), log)

    def nearest_addresses(self, zone: str) -> list[control_call.Address]:
        """The control addresses of all core machines, those in a given zone first."""
        return sorted(self.site.control_addresses(), key=lambda address: self.site.world.zone(address[0]) != zone)

    def read_final(self) -> None:
        """Let one application of each zone read each tally at the end of the run, and wait until all reads are done."""
        reads = [caller.runtime.spawn(self._read_all(caller), log) for caller in self.callers[::CALLERS_PER_ZONE]]
        done = defer.DeferredList(reads)
        self.site.advance_until(lambda: done.called, FINAL_READ_S)

    async def _read_all(self, caller: tally_caller.TallyCaller) -> None:
        for tally in TALLIES:
            await caller.read(tally, purpose="final")
