"""Faults and evacuations of whole zones of a simulated site: cold workers, network cuts between zones, power losses.

A cut is written to the event log as a row `zones_cut` with its links, each a pair of sending and receiving zone, and
its end as a row `zones_joined`.
"""

from __future__ import annotations

import functools
import typing

from simulation.site import settings_files

if typing.TYPE_CHECKING:
    import collections.abc

    from simulation import world
    from simulation.site import site

OVERRUN_DOWN_S = 4.0  # downtime of a worker that crashed from overload while cold
RETURN_SPREAD_S = 1.5  # longest time from the return of a zone's power to the start of a process in it

CutKind = typing.Literal["silent", "refuse", "reset"]
CUT_KINDS: tuple[CutKind, ...] = ("silent", "refuse", "reset")
ZoneLink = tuple[str, str]  # sending and receiving zone


class ZoneFaults:
    """Causes faults of whole zones at a site, and ends them; durations are in seconds."""

    def __init__(self, deployment: site.Site) -> None:
        self.site = deployment
        self.world: world.World = deployment.world
        self.cuts = 0  # number of cuts so far

    # ---- workers ------------------------------------------------------------------------

    def workers_of(self, zone: str) -> list[str]:
        """The names of the live workers in a zone."""
        return [name for name in self.site.live_workers() if self.site.workers[name].zone == zone]

    def crash_and_return_workers(self, zone: str, down: float, how: typing.Literal["reset", "dark"] = "reset") -> None:
        """Crash all workers of a zone; they start again together after `down` seconds, and are cold."""
        for name in self.workers_of(zone):
            self.site.faults.crash_worker(name, how, back=down, listed=min(down, 3.0))

    def mark_cold(self, name: str) -> None:
        """Make a worker cold, as after a start, where the deployment has cold workers."""
        worker, now = self.site.workers[name], self.world.time
        if worker.cold is not None:
            worker.cold.begin(now)
            self.site.listing.cold_until[worker.id] = worker.cold.cold_until

    def crash_on_overrun(self, name: str) -> None:
        """Crash a worker as soon as it gets far more requests than a cold worker can take."""
        worker = self.site.workers[name]

        def collapse() -> None:
            self.site.event_log.put(self.world.time, "overrun", worker=worker.id)
            if self.site.workers[name] is worker and worker.process.alive:
                self.site.faults.crash_worker(name, "reset", back=OVERRUN_DOWN_S)

        worker.on_overrun = functools.partial(self.site.schedule, 0, collapse)

    # ---- evacuations --------------------------------------------------------------------

    async def evacuate(self, zone: str) -> int:
        """Order the evacuation of a zone, and return the status."""
        return await self._send_evacuation_order(zone, begins=True)

    async def end_evacuation(self, zone: str, *, warm: bool) -> int:
        """Order the end of a zone's evacuation, and return the status; its workers become cold before unless `warm`."""
        if not warm:
            for name in self.workers_of(zone):
                self.mark_cold(name)
        return await self._send_evacuation_order(zone, begins=False)

    async def _send_evacuation_order(self, zone: str, *, begins: bool) -> int:
        seconds = settings_files.bounds(self.site.shape)["ack_deadline_ms"] / 1000
        return await self.site.operator.order_evacuation(zone, begins=begins, seconds=seconds)

    # ---- cuts ---------------------------------------------------------------------------

    def cut(self, links: collections.abc.Iterable[ZoneLink], seconds: float, how: CutKind = "silent") -> None:
        """Cut links between zones for some seconds.

        Args:
            links: The links to cut; packets from the first zone of each to the second are lost.
            seconds: How long.
            how: "silent" only loses packets; "reset" also resets the open connections; "refuse" in addition refuses new
                connections at once.
        """
        cut_links = sorted(links)
        self.cuts += 1
        name = f"cut{self.cuts}"
        self.site.event_log.put(self.world.time, "zones_cut", cut=name, links=[list(link) for link in cut_links])
        if how != "silent":
            self._reset_connections(set(cut_links))
        if how == "refuse":
            self.world.refused_zone_links.update(cut_links)
        self.world.zone_cuts.update(cut_links)

        def join() -> None:
            self.world.zone_cuts.difference_update(cut_links)
            self.world.refused_zone_links.difference_update(cut_links)
            self.world.resend_all()
            self.site.event_log.put(self.world.time, "zones_joined", cut=name)

        self.site.schedule(seconds, join)

    def _reset_connections(self, links: set[ZoneLink]) -> None:
        names = {self.site.places[name].host: name for name in [*self.site.nodes, *self.site.cores]}
        affected: set[str] = set()
        for connection in list(self.world.connections.values()):
            hosts = [side.process.host for side in connection.sides]
            zones = (hosts[0].zone, hosts[1].zone)
            if zones in links or zones[::-1] in links:
                affected.update(names[host.address] for host in hosts if host.address in names)
                for side in connection.sides:
                    side.reset()
        self.site.faults.note_reset(affected)

    def _other_zones(self, zone: str) -> list[str]:
        return [other for other in self.site.shape.zones() if other != zone]

    def isolate(self, zone: str, seconds: float, how: CutKind = "silent") -> None:
        """Cut a zone off from all others in both directions; clients and operators still reach it."""
        outward = [(zone, other) for other in self._other_zones(zone)]
        self.cut([*outward, *((receiver, sender) for sender, receiver in outward)], seconds, how)

    def cut_one_way(self, zone: str, seconds: float, *, outward: bool) -> None:
        """Cut all links from a zone to the others if `outward`, else those from the others to it."""
        others = self._other_zones(zone)
        self.cut([(zone, other) if outward else (other, zone) for other in others], seconds)

    def cut_pair(self, zone: str, other: str, seconds: float) -> None:
        """Cut two zones off from each other in both directions; all other zones still reach both."""
        self.cut([(zone, other), (other, zone)], seconds)

    # ---- power --------------------------------------------------------------------------

    def power_off(self, zone: str, seconds: float) -> None:
        """Cut the power of a zone; its machines and workers start again at random times soon after it is back."""
        for name in [*sorted(self.site.nodes), *sorted(self.site.cores)]:
            if self.site.places[name].zone == zone:
                self.site.faults.power_off(name, seconds + RETURN_SPREAD_S * self.site.rng.random())
        for name in self.workers_of(zone):
            back = seconds + RETURN_SPREAD_S * self.site.rng.random()
            self.site.faults.crash_worker(name, "dark", back=back)
