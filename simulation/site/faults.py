"""Faults of a simulated site: killed, frozen, isolated and replaced machines, failing disks, links and workers.

Each fault of a node or core machine is written to the event log as a row `trouble`, and its end as a row `mend`, so
that the rules of the platform can excuse what the fault makes impossible.
"""

from __future__ import annotations

import typing

import loguru

from iriswheel.runtime import units
from simulation import platform_names
from simulation.site import settings_files

if typing.TYPE_CHECKING:
    import collections.abc

    from simulation import world
    from simulation.site import site

EXTERNAL_ZONE = "far"  # zone of clients and operators, outside the fleet's zones
TERMINATION_GRACE_S = 8.0  # from SIGTERM to SIGKILL
TERMINATION_DOWN_S = 0.5  # time from the end of a terminated process to its next start
REPLACEMENT_DELAY_S = 1  # until the replacement of a core machine starts
LISTED_S = 3.0  # time for which the platform still lists a crashed worker
DEFAULT_DRAIN_MS = 3000  # drain deadline of deployments whose bounds name none
WORKER_DRAIN_SLACK_S = 1  # time for which a draining worker runs on after the drain deadline

FleetOutage = typing.Literal["kill_all", "power_off_all", "wipe"]
# The order affects random choices.
FLEET_OUTAGES: tuple[FleetOutage, ...] = ("kill_all", "power_off_all", "wipe")
DiskState = typing.Literal["slow", "full", "stalled"]

log = loguru.logger.bind(part="site")


class Faults:
    """Causes faults at a site, and ends them.

    Unless stated otherwise, `name` is that of a node or core machine, and durations are in seconds.
    """

    def __init__(self, deployment: site.Site) -> None:
        self.site = deployment
        self.world: world.World = deployment.world

    # ---- the event log ------------------------------------------------------------------

    def note_fault(self, name: str, what: str) -> None:
        """Write to the event log that a fault of a node or core machine begins."""
        self.site.event_log.put(self.world.time, "trouble", name=name, what=what)

    def note_repair(self, name: str, what: str | None = None) -> None:
        """Write to the event log that a fault of kind `what` ends, or if None, the fault that a process start ends."""
        self.site.event_log.put(self.world.time, "mend", name=name, **({"what": what} if what else {}))

    # ---- nodes and core machines --------------------------------------------------------

    def kill(self, name: str, back: float) -> None:
        """Kill the process of a node or core machine, and start it again after `back` seconds."""
        self.note_fault(name, "kill")
        self.site.process_of(name).kill()
        self.site.schedule(back, self.site.restart, name)

    def power_off(self, name: str, back: float, wipe: bool = False) -> None:
        """Cut the power of a machine, wipe its disk if `wipe`, and start it again after `back` seconds."""
        self.note_fault(name, "power")
        machine = self.site.process_of(name).host
        machine.fail()
        if wipe:
            self._wipe(name)
        self.site.schedule(back, self.site.restart, name)

    def _wipe(self, name: str) -> None:
        """Wipe a core machine's disk; the event log gets a row only where the rules for the loss of a zone apply."""
        self.site.process_of(name).host.synced.clear()
        if self.site.shape.tolerates_zone_loss:
            self.site.event_log.put(self.world.time, "disk_lost", name=name)

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze the process of a node or core machine for some seconds."""
        self.note_fault(name, "freeze")
        self.site.process_of(name).freeze()

        def wake() -> None:
            self.site.process_of(name).wake()
            self.note_repair(name, "freeze")

        self.site.schedule(seconds, wake)

    def terminate(self, name: str, grace: float = TERMINATION_GRACE_S, back: float = TERMINATION_DOWN_S) -> None:
        """Send a process SIGTERM, and SIGKILL after the grace period; it starts again `back` seconds after its end."""
        process = self.site.process_of(name)
        server = self.site.nodes.get(name) or self.site.cores[name]
        self.site.event_log.put(self.world.time, "term", name=name)
        self.note_fault(name, "term")

        def end(_: object = None) -> None:
            if process.alive:
                process.kill()
                self.site.schedule(back, self.site.restart, name)

        server.runtime.spawn(server.stop(), log).addBoth(end)
        self.site.schedule(grace, end)

    def degrade_disk(self, name: str, state: DiskState, seconds: float) -> None:
        """Make a core machine's disk slow, full or stalled for some seconds."""
        self.note_fault(name, f"disk {state}")
        machine = self.site.process_of(name).host
        machine.disk_condition = state

        def recover() -> None:
            machine.repair()
            self.note_repair(name, f"disk {state}")

        self.site.schedule(seconds, recover)

    def replace_core(self, name: str, gently: bool = False) -> None:
        """Remove a core machine for good, and start an empty replacement at another address.

        All other nodes and core machines then reload their settings, which name the replacement.

        Args:
            name: The core machine to remove.
            gently: Whether its process is ended by SIGTERM; otherwise it loses power.
        """
        if self.site.shape.tolerates_zone_loss:
            self.site.event_log.put(self.world.time, "disk_lost", name=name)
        old = self.site.cores.pop(name)
        self.note_fault(name, "term" if gently else "gone")

        def end(_: object = None) -> None:
            if old.process.alive:
                old.process.kill()

        if gently:
            old.runtime.spawn(old.stop(), log).addBoth(end)
            self.site.schedule(TERMINATION_GRACE_S, end)
        else:
            old.process.host.fail()
        new = self.register_replacement_core(name, [name])

        def start() -> None:
            self.site.start_core(new)
            self.note_repair(new)
            for other in [*self.site.nodes, *(core for core in self.site.cores if core != new)]:
                self.site.reload(other)

        self.site.cores[new] = old  # settings name the replacement from now on; `start_core` replaces this entry
        self.site.schedule(REPLACEMENT_DELAY_S, start)

    def register_replacement_core(self, old: str, removed: collections.abc.Sequence[str] = ()) -> str:
        """Choose the name and address of a core machine that replaces another one in its zone, and return the name.

        Args:
            old: The core machine that it replaces.
            removed: The core machines that are removed at the same time.
        """
        numbers = [
            int(name[1:])
            for name in [old, *self.site.cores, *(change.name for change in self.site.core_membership_changes)]
        ]
        number = 1 + max(numbers)
        new = f"c{number}"
        host = f"{settings_files.CORE_HOST_PREFIX}{number}"
        self.site.places[new] = self.site.places[old]._replace(host=host)
        self.site.note_core_membership_changes([*removed, new])
        zone = self.site.zone_field(new)
        self.site.event_log.put(self.world.time, "machine", name=new, host=host, role="core", **zone)
        self.note_fault(new, "new")
        return new

    def cause_fleet_outage(self, how: FleetOutage, down: float, wiped_count: int = 1) -> None:
        """Cause a fault of all nodes and core machines at the same time.

        Args:
            how: "kill_all" kills every process, "power_off_all" cuts the power of every machine, and "wipe" also wipes
                the disks of some core machines.
            down: After how many seconds all processes start again.
            wiped_count: How many core machines lose their disks with "wipe".
        """
        names = [*sorted(self.site.cores), *sorted(self.site.nodes)]
        wiped = set(self._choose_cores(wiped_count)) if how == "wipe" else set()
        back_at = self.world.time + int(down * units.SECOND_US)
        self.site.event_log.put(self.world.time, "closing", back=back_at, how=how)
        for name in names:
            self.note_fault(name, "closing")
            if how == "kill_all":
                self.site.process_of(name).kill()
            else:
                self.site.process_of(name).host.fail()
            if name in wiped:
                self._wipe(name)
            self.site.schedule(down, self.site.restart, name)

    def _choose_cores(self, count: int) -> list[str]:
        names = sorted(self.site.cores)
        return [self.site.rng.choice(names)] if count == 1 else self.site.rng.sample(names, count)

    # ---- the network --------------------------------------------------------------------

    def isolate(self, name: str, seconds: float, clients: bool = False, both: bool = True) -> None:
        """Cut a machine off from all others for some seconds.

        Args:
            name: The node or core machine.
            seconds: How long.
            clients: Whether it is also cut off from clients and operators.
            both: Whether packets are lost in both directions; otherwise only those that it sends.
        """
        self.note_fault(name, "cut")
        host = self.site.places[name].host
        others = [
            other
            for other in self.world.machines
            if other != host and (clients or self.world.zone(other) != EXTERNAL_ZONE)
        ]
        self.world.cut([host], others, both)

        def heal() -> None:
            self.world.cuts = {pair for pair in self.world.cuts if host not in pair}
            self.world.resend_all()
            self.note_repair(name, "cut")

        self.site.schedule(seconds, heal)

    def reset_connections(self, share: float) -> None:
        """Reset a random share of the connections between the fleet's machines."""
        names = {self.site.places[name].host: name for name in [*self.site.nodes, *self.site.cores]}
        affected: set[str] = set()
        for connection in list(self.world.connections.values()):
            ends = [names.get(side.process.host.address, "") for side in connection.sides]
            if all(ends) and self.site.rng.random() < share:
                affected.update(ends)
                for side in connection.sides:
                    side.reset()
        self.note_reset(affected)

    def note_reset(self, names: collections.abc.Iterable[str]) -> None:
        """Write to the event log that connections of some machines were reset, a fault without a duration."""
        for name in sorted(names):
            self.note_fault(name, "reset")
            self.note_repair(name, "reset")

    def lose_packets(self, zone: str, share: float, seconds: float) -> None:
        """Let the links of a zone's machines lose a share of their packets for some seconds."""
        names = [
            name for name in [*sorted(self.site.nodes), *sorted(self.site.cores)] if self.site.places[name].zone == zone
        ]
        for name in names:
            self.note_fault(name, "lossy")
            self.world.loss_share[self.site.places[name].host] = share

        def recover() -> None:
            for name in names:
                self.world.loss_share.pop(self.site.places[name].host, None)
                self.note_repair(name, "lossy")

        self.site.schedule(seconds, recover)

    # ---- workers ------------------------------------------------------------------------

    def crash_worker(
        self,
        name: str,
        how: typing.Literal["reset", "dark"] = "reset",
        back: float | None = None,
        listed: float = LISTED_S,
    ) -> None:
        """Crash a worker.

        Args:
            name: The worker.
            how: "reset" ends its process, so that its connections are reset; "dark" fails its machine, so that they
                become silent.
            back: After how many seconds it comes back as a new instance; never if None.
            listed: For how many seconds it stays on the platform's list of workers.
        """
        worker = self.site.workers[name]
        self.site.event_log.put(self.world.time, "crash", worker=worker.id, how=how)
        if how == "dark":
            worker.process.host.fail()
        else:
            worker.process.kill()
        worker.stop()
        self.site.schedule(listed, self.site.listing.remove, worker.id)
        if back is not None:
            self.site.schedule(back, self.site.start_worker, name, worker.host, worker.zone)

    def replace_worker(self, name: str, host: str | None = None) -> None:
        """Replace a worker: its replacement starts at once, while it is listed as draining and ends some seconds later.

        Args:
            name: The worker.
            host: The address of the replacement; a new one if None.
        """
        worker = self.site.workers[name]
        worker.leaving = True
        self.site.listing.put(worker.id, state=platform_names.TERMS["draining"])

        def end() -> None:
            worker.process.kill()
            worker.stop()
            self.site.listing.remove(worker.id)

        drain_s = self.site.shape.bounds.get("drain_deadline_ms", DEFAULT_DRAIN_MS) / 1000
        self.site.schedule(drain_s + WORKER_DRAIN_SLACK_S + self.site.listing.lag_us / units.SECOND_US, end)
        number = len(self.world.processes)
        self.site.start_worker(f"{name}.{number}", host or f"10.128.1.{number}", worker.zone)

    def make_unhealthy(
        self, names: collections.abc.Sequence[str], seconds: float, health: str = "", **faults: float
    ) -> None:
        """Let workers fail requests for some seconds.

        Args:
            names: The workers.
            seconds: How long.
            health: How they answer health checks: always "good", always "bad", or truthfully if empty.
            faults: The share of requests that fail in each way, by the names that `workers.worker.Worker` defines.
        """
        for name in names:
            worker = self.site.workers[name]
            worker.faults, worker.health = faults, health
            self.site.event_log.put(self.world.time, "ill", worker=worker.id, ills=faults)

        def recover() -> None:
            for name in names:
                worker = self.site.workers[name]  # a later instance of this name, if it was restarted meanwhile
                worker.faults, worker.health = {}, ""
                self.site.event_log.put(self.world.time, "well", worker=worker.id)

        self.site.schedule(seconds, recover)
