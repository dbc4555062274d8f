"""A simulated fleet of hollow nodes and workers, metered by role."""

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

FIRST_EVENT_DELAY_US = 100 * units.MILLISECOND_US  # from a hollow send to its first event

WORKER_HOST = "10.0.3.1"
FIRST_WORKER_PORT = 9001
SHORT_PROMPT_TOKENS = 400

Figures = dict[str, float]  # of one process or role: a key of UNITS -> value

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
    """Real cores and nodes without traffic, before workers that one process stands in for.

    Args:
        seed: What all draws of randomness follow from.
        nodes: How many nodes.
        listed: How many workers.
        pools: How many pools they are in.
        routes: How many routes the configuration has.
        walking: Whether nodes probe workers that they do not hear from.
        election: Where a worker is selected: "warden" at the pool owner, or "node".
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
        self.worker_process: process_model.SimulatedProcess | None = None  # of all workers
        self.meter = processor_meter.Meter()

    def start_worker(self, name: str, host: str) -> None:  # noqa: ARG002 - all are at one host
        """Start a worker in the process that all of them share."""
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
        """Start a node, without its probes of workers unless the fleet has them."""
        original_interval_us = health.QUIET_PROBE_INTERVAL_US
        if not self.walking:  # with many nodes and workers the knocks drown the rest
            health.QUIET_PROBE_INTERVAL_US = samples.NEVER_US
        try:
            super().start_node(name, host, zone)
        finally:
            health.QUIET_PROBE_INTERVAL_US = original_interval_us

    def start_hollow_load(self, rate: float, lasts: float) -> None:
        """Let every node have so many sends a second under way, each for so many seconds; none of them is sent."""
        for loaded in self.nodes.values():
            for _ in range(int(rate * lasts)):
                loaded.runtime.spawn(
                    self.run_hollow_request(loaded, lasts * loaded.runtime.rng.random()), simulated_cluster.log
                )
            loaded.runtime.spawn(self.run_hollow_arrivals(loaded, rate, lasts), simulated_cluster.log)

    async def run_hollow_arrivals(self, loaded: node.Node, rate: float, lasts: float) -> None:
        """One node's hollow sends."""
        while True:
            await loaded.runtime.sleep(int(loaded.runtime.rng.expovariate(rate) * units.SECOND_US))
            loaded.runtime.spawn(self.run_hollow_request(loaded, lasts), simulated_cluster.log)

    async def run_hollow_request(self, loaded: node.Node, lasts: float) -> None:
        """One hollow send: counted where a real one would be."""
        pool = f"model-{loaded.runtime.rng.randrange(self.pools)}"
        place, names = loaded.gateway.forwarder.placement_of(pool), loaded.gateway.forwarder.ready_workers(pool)
        name = names[loaded.runtime.rng.randrange(len(names))]
        is_long = loaded.runtime.rng.random() < samples.LONG_PROMPT_SHARE
        tokens = place.begin_attempt(name, [], [], samples.LONG_PROMPT_TOKENS if is_long else SHORT_PROMPT_TOKENS)
        await loaded.runtime.sleep(FIRST_EVENT_DELAY_US)
        # The expected time equals the actual one, so that the estimates stay.
        place.record_first_event(name, tokens, FIRST_EVENT_DELAY_US, FIRST_EVENT_DELAY_US)
        await loaded.runtime.sleep(int(lasts * units.SECOND_US))
        place.end_attempt(name, 0)

    def roles(self) -> dict[str, str]:
        """Each process's role now: tail, other core, lister, pool owner, node."""
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
        """Let time pass with the meter on; what each process took, sent, got and spent a second."""
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
        """Add what the meter counted between cores and nodes, and between them and others."""
        for (sender, receiver), (writes, size) in self.meter.sent.items():
            for name, way, other in ((sender, "out", receiver), (receiver, "in", sender)):
                if name in figures and other in figures:
                    figures[name][way] += writes / seconds
                    figures[name][f"{way}_bytes"] += size / seconds
                elif name in figures:
                    figures[name]["outer"] += writes / seconds

    def bytes_between(self, seconds: float) -> dict[str, float]:
        """Bytes that the meter counted between cores and nodes, a second."""
        kind = {**dict.fromkeys(self.cores, "core"), **dict.fromkeys(self.nodes, "node")}
        rates = {f"{sender} {receiver}": 0.0 for sender in ("core", "node") for receiver in ("core", "node")}
        for (sender, receiver), (_, size) in self.meter.sent.items():
            if sender in kind and receiver in kind:
                rates[f"{kind[sender]} {kind[receiver]}"] += size / seconds
        return rates

    def by_role(self, figures_by_process: dict[str, Figures]) -> dict[str, Figures]:
        """The middle of what the processes of each role took."""
        groups: dict[str, list[Figures]] = {}
        for name, role in self.roles().items():
            if name in figures_by_process:
                groups.setdefault(role, []).append(figures_by_process[name])
        return {
            role: {what: statistics.median(r[what] for r in rows) for what in rows[0]}
            for role, rows in sorted(groups.items())
        }


def print_rows(what: str, rows: dict[str, Figures]) -> None:
    """Print what each role took.

    >>> print_rows("quiet", {})
    """
    columns = ("loops", "step", "in", "in_bytes", "out", "out_bytes", "outer")
    for role, row in rows.items():
        cells = [measuring.three_digits(row[column]) for column in columns]
        print("| " + " | ".join([what, role, *cells]) + " |", flush=True)
