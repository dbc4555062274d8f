"""A simulated cluster: cores, nodes, workers, a platform and clients of a deployment shape, and a log of its faults."""

from __future__ import annotations

import json
import pathlib
import typing

import loguru

from benchmarks import fleet, stand_in_platform, stand_in_worker
from iriswheel.cli import load_generator
from iriswheel.runtime import options, units
from iriswheel.transport import http_server, wire
from simulation import addresses, deployment, event_log, operator_model, prober, process_model, server_model

if typing.TYPE_CHECKING:
    from twisted.internet import defer

    from iriswheel.runtime import scheduler

SEED_COUNT = 3  # maximum number of cores listed as seeds
DEFAULT_CAP = 10  # open sessions per worker if the configuration states no cap
LIFETIME_US = 60 * units.SECOND_US  # session lifetime that the event log states for the checkers
START_TIMEOUT_SECONDS = 30
LOAD_END_SECONDS = 120  # time limit for open requests to end after clients stop sending
LAST_PROBES_SECONDS = 2  # duration of probing after the last client request has ended
PROBE_ANSWERS_SECONDS = 9  # time limit for answers to the last probes
READ_BACK_SECONDS = 40  # time limit for reading the configuration back at the end

Group = typing.Literal["cores", "nodes", "workers", "platform", "outside"]

log = loguru.logger.bind(part="cluster")


class SimulatedWorker(stand_in_worker.Worker):
    """The benchmarks' worker model, running in a simulated process."""

    def __init__(
        self,
        process: process_model.SimulatedProcess,
        runtime: scheduler.Runtime,
        identifier: str,
        events: event_log.EventLog,
    ) -> None:
        super().__init__(runtime, identifier, events)
        self.process = process
        self.host = process.host.address


class NewServer(typing.NamedTuple):
    """What the server object of a core or node is created from: its process, the process's runtime, and its options."""

    process: process_model.SimulatedProcess
    runtime: scheduler.Runtime
    options: options.Options


class SimulatedCluster(deployment.Deployment):
    """One simulated run of a whole cluster.

    Args:
        seed: The seed of all random numbers.
        shape: The deployment's shape, a key of `benchmarks.fleet.SHAPES`.
        long_rate: Long requests per second.
        short_rate: Short requests per second.
        conversations: The number of conversations that clients hold at the same time.
        seconds: The time for which clients send requests.
        configuration: A configuration that replaces the example of the shape.
        zones: The zone of each node, replacing those of the shape.
        cores: The number of cores.
        extra_options: Additional options of all cores and nodes.
    """

    def __init__(
        self,
        seed: int,
        shape: str = "magnolia",
        *,
        long_rate: float = 1.5,
        short_rate: float = 8.0,
        conversations: int = 6,
        seconds: int = 600,
        configuration: dict[str, typing.Any] | None = None,
        zones: list[str] | None = None,
        cores: int = 3,
        **extra_options: typing.Any,  # noqa: ANN401 - each field of options.Options has a type of its own
    ) -> None:
        self.seed = seed
        super().__init__(seed)
        self.event_log = event_log.EventLog()
        self.zones, self.worker_count, self.pool, name = fleet.SHAPES[shape]
        self.zones = zones or self.zones
        example = pathlib.Path(fleet.EXAMPLES, name)
        self.configuration: dict[str, typing.Any] = configuration or json.loads(example.read_text())
        self.rates = (long_rate, short_rate, conversations)  # last arguments of `load_generator.LoadMix`
        self.seconds = seconds
        self.core_count, self.extra_options = cores, extra_options
        self.cores: dict[str, server_model.SimulatedCore] = {}
        self.nodes: dict[str, server_model.SimulatedNode] = {}
        self.workers: dict[str, SimulatedWorker] = {}
        self.places: dict[str, deployment.Place] = {}
        self.seeds: list[str] = []
        self.numbered_calls = 0  # number of calls so far that submit a numbered change
        self.newest_probe = 0  # number of the probe route in the newest confirmed configuration
        self.probing = True
        self.prober = prober.Prober(self)
        self.protocol_versions: dict[str, int] = {}  # process -> version of peer messages, if not the current one
        self.extra_probe_paths: list[str] = []  # paths that probes request at every node besides the probe routes

    # ---- building -----------------------------------------------------------------

    def begin(self) -> None:
        """Start all processes; once a first configuration is confirmed and all nodes are ready, start the load."""
        self._start_platform()
        self._start_servers()
        self.platform.runtime.spawn(self.platform.poll_nodes(), log)
        client_process = process_model.SimulatedProcess(
            self.world, "callers", self.machine(addresses.CLIENT_HOST, "far")
        )
        operator_process = process_model.SimulatedProcess(
            self.world, "office", self.machine(addresses.OPERATOR_HOST, "far")
        )
        self.operator_runtime = operator_process.runtime()
        self.operator = operator_model.Operator(self, self.operator_runtime, "boss")
        first = self.operator_runtime.spawn(self.operator.change(self.with_probe(0)), log)
        self.advance_until_called(first, START_TIMEOUT_SECONDS)
        self.advance_until(lambda: all(self.is_ready(name) for name in self.nodes), START_TIMEOUT_SECONDS)
        self._log_begin()
        self._start_load(client_process.runtime())

    def _start_platform(self) -> None:
        zones = sorted(set(self.zones))
        self.platform_process = process_model.SimulatedProcess(
            self.world, "platform", self.machine(addresses.PLATFORM_HOST, zones[0])
        )
        self.platform = stand_in_platform.Platform(self.platform_process.runtime(), self.event_log)
        server = http_server.Server(self.platform.runtime, self.platform.handle)
        self.listen(self.platform_process, addresses.PLATFORM_PORT, server)

    def _start_servers(self) -> None:
        zones = sorted(set(self.zones))
        seed_count = min(SEED_COUNT, self.core_count)
        self.seeds = [f"10.0.1.{number}:{addresses.PEER_PORT}" for number in range(1, seed_count + 1)]
        for number in range(1, self.worker_count + 1):
            self.start_worker(f"w{number}", f"10.0.3.{number}")
        for number in range(1, self.core_count + 1):
            self.start_core(f"c{number}", f"10.0.1.{number}", zones[(number - 1) % len(zones)])
        for number, zone in enumerate(self.zones, 1):
            self.start_node(f"n{number}", f"10.0.2.{number}", zone)

    def _log_begin(self) -> None:
        self.event_log.put(
            self.world.time,
            "begun",
            cap=self.configuration["pools"][self.pool].get("cap", DEFAULT_CAP),
            lifetime_us=LIFETIME_US,
            blueprint=self.configuration,
            zones={
                f"{place.host}:{addresses.HTTP_PORT}": place.zone
                for name, place in self.places.items()
                if name in self.nodes
            },
        )

    def _start_load(self, runtime: scheduler.Runtime) -> None:
        mix = load_generator.LoadMix("/v1/complete", self.seconds * units.SECOND_US, *self.rates)
        self.load = load_generator.LoadGenerator(runtime, self.platform.node_addresses, mix, self.event_log)
        self.load_done = runtime.spawn(self.load.run(), log)
        runtime.spawn(self.prober.run(runtime), log)

    def listen(
        self, process: process_model.SimulatedProcess, port: int, factory: http_server.Server | wire.ConnectionFactory
    ) -> None:
        """Let a process listen on a port."""
        process.reactor.listenTCP(port, factory)

    def _new_server(
        self,
        role: str,
        name: str,
        host: str,
        zone: str,
        **extra_options: typing.Any,  # noqa: ANN401 - each field of options.Options has a type of its own
    ) -> NewServer:
        """Create a process for a core or node, and switch its machine on."""
        process = process_model.SimulatedProcess(self.world, name, self.powered_machine(host, zone))
        self.places[name] = deployment.Place(host, zone)
        process_options = options.Options(
            role,
            name=name,
            host=host,
            port=addresses.PEER_PORT,
            http_port=addresses.HTTP_PORT,
            zone=zone,
            seeds=list(self.seeds),
            **{**self.extra_options, **extra_options},
        )
        runtime = process.runtime()
        runtime.protocol_version = self.protocol_versions.get(name, runtime.protocol_version)
        return NewServer(process, runtime, process_options)

    def start_core(self, name: str, host: str, zone: str) -> None:
        """Start a core's process with the data on its host's disk."""
        process, runtime, core_options = self._new_server("core", name, host, zone, data="sim")
        started = self.cores[name] = server_model.SimulatedCore(process, runtime, core_options)
        self.listen(process, addresses.PEER_PORT, wire.ConnectionFactory(runtime, started.serve, log))
        self.listen(process, addresses.HTTP_PORT, http_server.Server(runtime, started.handle))
        started.start()

    def start_node(self, name: str, host: str, zone: str) -> None:
        """Start a node's process."""
        platform = f"{addresses.PLATFORM_HOST}:{addresses.PLATFORM_PORT}"
        process, runtime, node_options = self._new_server("node", name, host, zone, platform=platform)
        started = self.nodes[name] = server_model.SimulatedNode(process, runtime, node_options)
        self.listen(process, addresses.PEER_PORT, wire.ConnectionFactory(runtime, started.serve, log))
        self.listen(process, addresses.HTTP_PORT, http_server.Server(runtime, started.gateway.handle))
        started.start(addresses.PEER_PORT, addresses.HTTP_PORT)
        self.platform.nodes[name] = (host, addresses.HTTP_PORT)

    def start_worker(self, name: str, host: str) -> None:
        """Start a worker, and add it to the platform's list of workers."""
        process = process_model.SimulatedProcess(self.world, name, self.machine(host, sorted(set(self.zones))[0]))
        runtime = process.runtime()
        worker = self.workers[name] = SimulatedWorker(process, runtime, name, self.event_log)
        self.listen(process, addresses.WORKER_PORT, http_server.Server(runtime, worker.handle))
        self.platform.put(name, host=host, port=addresses.WORKER_PORT, pool=self.pool, state="ready")

    def with_probe(self, number: int, routes: dict[str, typing.Any] | None = None) -> dict[str, typing.Any]:
        """A copy of the configuration with a probe route of a number, and optionally more routes."""
        document: dict[str, typing.Any] = json.loads(json.dumps(self.configuration))
        document["routes"]["probe"] = {"path": f"/p/{number}", "pool": self.pool}
        document["routes"].update(routes or {})
        return document

    # ---- time ---------------------------------------------------------------------------

    def advance_until_called(self, deferred: defer.Deferred[typing.Any], seconds: float) -> bool:
        """Advance virtual time until a Deferred has fired; returns False if it does not within a number of seconds."""
        return self.advance_until(lambda: deferred.called, seconds)

    def advance_until_ready(self, name: str, seconds: float) -> bool:
        """Advance virtual time until a node is ready; returns False if it is not within a number of seconds."""
        return self.advance_until(lambda: self.is_ready(name), seconds)

    def end(self) -> None:
        """End the run: wait for open requests and the last probes, and read the configuration back."""
        self.advance_until_called(self.load_done, self.seconds + LOAD_END_SECONDS)
        self.advance(LAST_PROBES_SECONDS)  # so that each ready node gets a new request after the last fault
        self.probing = False
        self.advance(PROBE_ANSWERS_SECONDS)
        self.advance_until_called(self.operator_runtime.spawn(self.operator.read(), log), READ_BACK_SECONDS)
        self.event_log.put(self.world.time, "ended")

    # ---- targets of faults -------------------------------------------------------------

    def servers(self) -> dict[str, server_model.SimulatedCore | server_model.SimulatedNode]:
        """All cores and nodes by name."""
        return {**self.cores, **self.nodes}

    def servers_in(self, zone: str) -> list[str]:
        """The names of the cores and nodes in a zone, sorted."""
        return [name for name in sorted(self.servers()) if self.places[name].zone == zone]

    def is_ready(self, name: str) -> bool:
        """Whether the platform's last readiness check of a node succeeded."""
        return self.platform.readiness.get(name, False)

    def tail(self) -> server_model.SimulatedCore | None:
        """The core that is the tail of the chain and holds its lease, or None."""
        return next((each for each in self.cores.values() if each.process.alive and each.consensus.holds_lease()), None)

    def head(self) -> server_model.SimulatedCore | None:
        """The core that is the head of the chain in the newest view of a running core, or None."""
        views = {
            name: each.consensus.view
            for name, each in self.cores.items()
            if each.process.alive and each.consensus.view is not None
        }
        newest = max(views.values(), key=lambda view: view.number, default=None)
        if newest is None:
            return None
        return next(
            (self.cores[name] for name in views if self.cores[name].consensus.own_voter.id == newest.chain[0].id), None
        )

    def owner(self) -> server_model.SimulatedNode | None:
        """The node that is the active owner of the cluster's pool, or None."""
        for candidate in self.nodes.values():
            pool_owner = candidate.pool_owners.get(self.pool)
            if candidate.process.alive and pool_owner is not None and pool_owner.is_active():
                return candidate
        return None

    def assigned_owners(self) -> set[str]:
        """The nodes that own a pool or hold a replica of one, according to the newest membership."""
        memberships = (each.follower.membership for each in self.nodes.values())
        newest = max(memberships, key=lambda membership: membership.version)
        return {
            identifier.rsplit("-", 1)[0]
            for assignment in newest.assignments
            for identifier in [assignment.holder, *assignment.copies]
        }

    def hosts(self, *groups: Group) -> list[str]:
        """The addresses of all hosts in some groups."""
        found: list[str] = []
        for group in groups:
            match group:
                case "cores":
                    found += [self.places[name].host for name in self.cores]
                case "nodes":
                    found += [self.places[name].host for name in self.nodes]
                case "workers":
                    found += [worker.host for worker in self.workers.values()]
                case "platform":
                    found.append(addresses.PLATFORM_HOST)
                case "outside":
                    found += [addresses.CLIENT_HOST, addresses.OPERATOR_HOST]
        return found

    # ---- the log of faults ---------------------------------------------------------------------

    def fault(self, what: str, target: str, large: bool = False, role: str | None = None) -> None:
        """Log a fault.

        Args:
            what: The kind of fault.
            target: The affected process, or another name under which the repair of the fault is logged.
            large: Whether many faults occur at once; the checkers then apply other limits.
            role: The role of the target; by default the role of the process of this name.
        """
        role = role or self._role(target)
        address = f"{self.places[target].host}:{addresses.HTTP_PORT}" if role in ("node", "link") else ""
        self.event_log.put(
            self.world.time,
            "fault",
            what=what,
            target=target,
            large=large,
            role=role,
            addr=address,
            duty=role == "node" and target in self.assigned_owners(),
        )

    def _role(self, target: str) -> str:
        for role, group in (("core", self.cores), ("node", self.nodes), ("worker", self.workers)):
            if target in group:
                return role
        return "all"

    def repair(self, what: str, target: str) -> None:
        """Log that a fault of a target, or of "all", has been repaired."""
        self.event_log.put(self.world.time, "mend", what=what, target=target)
