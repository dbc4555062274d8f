"""A simulated fleet with a hollow load or none, whose processor time and messages are metered by role.

The core machines and nodes are real ones in the simulated network. A hollow request is one that its
node counts as sent to a worker, although nothing is sent: it costs little to simulate, but appears in
the node's load reports.
"""

from __future__ import annotations

import gc
import statistics

from benchmarks.capacity import measuring, samples
from iriswheel.configuration import configuration
from iriswheel.dataplane import health
from iriswheel.node import node
from iriswheel.runtime import units
from iriswheel.transport import http_server
from simulation import process_model, processor_meter, simulated_cluster

FIRST_EVENT_DELAY_US = 100 * units.MILLISECOND_US  # from the start of a hollow request to its first event

WORKER_HOST = "10.0.3.1"
FIRST_WORKER_PORT = 9001
SHORT_PROMPT_TOKENS = 400

Figures = dict[str, float]  # measured values of one process or role, by key of UNITS

# Units of the measured values. "step" is the longest step of a process, "in" and "out" are messages between core
# machines and nodes, "outer" is the number of writes to other processes.
UNITS = {
    "loops": "loops/s",
    "step": "loops",
    "out": "/s",
    "out_bytes": "B/s",
    "in": "/s",
    "in_bytes": "B/s",
    "outer": "/s",
}


class Fleet(simulated_cluster.SimulatedCluster):
    """Real core machines and nodes, without requests by default, and workers that all share one simulated process.

    Args:
        seed: The seed of all random numbers.
        nodes: Number of nodes.
        listed: Number of workers.
        pools: Number of pools, over which the workers are spread.
        routes: Number of routes of the configuration, at least one for each pool.
        walking: Whether nodes probe workers that they have had no recent contact with.
        election: What selects the workers: "warden" for the pool's owner, "node" for each node.
    """

    def __init__(
        self,
        seed: int,
        nodes: int = 8,
        listed: int = 36,
        pools: int = 1,
        routes: int = 0,
        *,
        walking: bool = True,
        election: str = "warden",
    ) -> None:
        document = configuration.unflatten(
            samples.configuration_items(max(routes, pools), pools=pools, election=election)
        )
        super().__init__(
            seed,
            "small",
            long_rate=0,
            short_rate=0,
            conversations=0,
            configuration=document,
            zones=[f"zone{k % samples.ZONES}" for k in range(nodes)],
        )
        self.worker_count, self.pool, self.pools, self.walking = listed, "model-0", pools, walking
        self.probing = False
        self.worker_process: process_model.SimulatedProcess | None = None  # shared by all workers
        self.meter = processor_meter.Meter()

    def start_worker(self, name: str, host: str) -> None:  # noqa: ARG002 - all workers share one host
        """Start a worker in the process that all workers share."""
        if self.worker_process is None:
            self.worker_process = process_model.SimulatedProcess(
                self.world, "workers", self.machine(WORKER_HOST, "zone0")
            )
            self.worker_runtime = self.worker_process.runtime()
        number = len(self.workers)
        worker = self.workers[name] = simulated_cluster.SimulatedWorker(
            self.worker_process, self.worker_runtime, name, self.event_log
        )
        self.listen(
            self.worker_process, FIRST_WORKER_PORT + number, http_server.Server(self.worker_runtime, worker.handle)
        )
        self.platform.put(
            name, host=WORKER_HOST, port=FIRST_WORKER_PORT + number, pool=f"model-{number % self.pools}", state="ready"
        )

    def start_node(self, name: str, host: str, zone: str) -> None:
        """Start a node, with its probes of workers switched off unless the fleet has them."""
        original_interval_us = health.QUIET_PROBE_INTERVAL_US
        if not self.walking:  # with many nodes and workers, probes would cost more than all other work
            health.QUIET_PROBE_INTERVAL_US = samples.NEVER_US
        try:
            super().start_node(name, host, zone)
        finally:
            health.QUIET_PROBE_INTERVAL_US = original_interval_us

    def start_hollow_load(self, rate: float, lasts: float) -> None:
        """Give every node a constant rate of hollow requests, each of which lasts for some seconds.

        Requests that began before now are in flight at once, so that the load does not have to build up.

        Args:
            rate: Hollow requests per second at each node.
            lasts: Seconds that each one lasts.
        """
        for loaded in self.nodes.values():
            for _ in range(int(rate * lasts)):
                loaded.runtime.spawn(
                    self.run_hollow_request(loaded, lasts * loaded.runtime.rng.random()), simulated_cluster.log
                )
            loaded.runtime.spawn(self.run_hollow_arrivals(loaded, rate, lasts), simulated_cluster.log)

    async def run_hollow_arrivals(self, loaded: node.Node, rate: float, lasts: float) -> None:
        """Start one node's hollow requests, at random times and without end."""
        while True:
            await loaded.runtime.sleep(int(loaded.runtime.rng.expovariate(rate) * units.SECOND_US))
            loaded.runtime.spawn(self.run_hollow_request(loaded, lasts), simulated_cluster.log)

    async def run_hollow_request(self, loaded: node.Node, lasts: float) -> None:
        """Count one hollow request in its node's placement, as a real request would be counted."""
        pool = f"model-{loaded.runtime.rng.randrange(self.pools)}"
        pool_placement, names = (
            loaded.gateway.forwarder.placement_of(pool),
            loaded.gateway.forwarder.ready_workers(pool),
        )
        name = names[loaded.runtime.rng.randrange(len(names))]
        is_long = loaded.runtime.rng.random() < samples.LONG_PROMPT_SHARE
        tokens = pool_placement.begin_attempt(
            name, [], [], samples.LONG_PROMPT_TOKENS if is_long else SHORT_PROMPT_TOKENS
        )
        await loaded.runtime.sleep(FIRST_EVENT_DELAY_US)
        # The measured time equals the expected time, so that the node's estimate of the worker does not change.
        pool_placement.record_first_event(name, tokens, FIRST_EVENT_DELAY_US, FIRST_EVENT_DELAY_US)
        await loaded.runtime.sleep(int(lasts * units.SECOND_US))
        pool_placement.end_attempt(name, 0)

    def roles(self) -> dict[str, str]:
        """The present role of each process, as printed in tables.

        The roles are "tail", "core" (another core machine), "lister" (the node that fetches the platform's
        worker list), "warden" (a pool owner), "copy" (a holder of a pool owner's replica) and "node" (any other).
        """
        membership = max(
            (node.follower.membership for node in self.nodes.values()), key=lambda membership: membership.version
        )
        by_key = {assignment.key: assignment for assignment in membership.assignments}
        roles = {name: "tail" if core.consensus.is_tail() else "core" for name, core in self.cores.items()}
        names = {member.id: member.name for member in membership.members}
        roles.update({member.name: "node" for member in membership.members})
        for assignment in membership.assignments:
            for identifier in [*assignment.copies, assignment.holder]:
                if assignment.key.startswith("pool/"):
                    roles[names[identifier]] = (
                        "warden" if identifier == assignment.holder or roles[names[identifier]] == "warden" else "copy"
                    )
        roles[names[by_key["list"].holder]] = "lister"
        return roles

    def meter_for(self, seconds: float) -> dict[str, Figures]:
        """Advance the simulation with a new meter.

        Returns:
            Per process: processor time, sent and received messages and bytes per second, and the longest step.
        """
        self.meter = processor_meter.Meter()
        gc.collect()
        gc.disable()
        loop_ns = statistics.median(measuring.nanoseconds_per_call(measuring.loop) for _ in range(5))
        self.world.meter = self.meter
        self.advance(seconds)
        self.world.meter = None
        gc.enable()
        figures: dict[str, Figures] = {
            name: {
                **dict.fromkeys(UNITS, 0.0),
                "loops": self.meter.spent[name] / loop_ns / seconds,
                "step": self.meter.longest[name] / loop_ns,
            }
            for name in {*self.cores, *self.nodes}
        }
        self._add_traffic(figures, seconds)
        return figures

    def _add_traffic(self, figures: dict[str, Figures], seconds: float) -> None:
        """Add the metered traffic between core machines and nodes, and what they write to other processes ("outer")."""
        for (sender, receiver), (writes, size) in self.meter.sent.items():
            for name, way, other in ((sender, "out", receiver), (receiver, "in", sender)):
                if name in figures and other in figures:
                    figures[name][way] += writes / seconds
                    figures[name][f"{way}_bytes"] += size / seconds
                elif name in figures:
                    figures[name]["outer"] += writes / seconds

    def bytes_between(self, seconds: float) -> dict[str, float]:
        """Metered bytes per second by the kinds of sender and receiver, such as "core node"."""
        kind = {**dict.fromkeys(self.cores, "core"), **dict.fromkeys(self.nodes, "node")}
        rates = {f"{sender} {receiver}": 0.0 for sender in ("core", "node") for receiver in ("core", "node")}
        for (sender, receiver), (_, size) in self.meter.sent.items():
            if sender in kind and receiver in kind:
                rates[f"{kind[sender]} {kind[receiver]}"] += size / seconds
        return rates

    def by_role(self, figures_by_process: dict[str, Figures]) -> dict[str, Figures]:
        """The median of each value over the processes of a role."""
        groups: dict[str, list[Figures]] = {}
        for name, role in self.roles().items():
            if name in figures_by_process:
                groups.setdefault(role, []).append(figures_by_process[name])
        return {
            role: {what: statistics.median(r[what] for r in rows) for what in rows[0]}
            for role, rows in sorted(groups.items())
        }


def print_rows(what: str, rows: dict[str, Figures]) -> None:
    """Print a table row for each role.

    >>> print_rows("quiet", {})
    """
    columns = ("loops", "step", "in", "in_bytes", "out", "out_bytes", "outer")
    for role, row in rows.items():
        cells = [measuring.three_digits(row[column]) for column in columns]
        print("| " + " | ".join([what, role, *cells]) + " |", flush=True)
