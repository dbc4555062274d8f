"""One simulated run of a deployment: its processes on simulated machines, in virtual time.

The fleet's processes run on the machines of simulation/world.py. platform/settings.py makes their options of a settings
file, and platform/formats.py and platform/configuration_api.py encode their messages. Workers, the platform's list of
workers, clients and operators are simulated by simulation/workers/ and simulation/clients/. Processor time is not
modelled: code takes no virtual time.
"""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import loguru

import simulation.workers.worker as workers
from iriswheel.runtime import units
from iriswheel.transport import http_server, wire
from simulation import (
    deployment,
    event_log,
    host_model,
    inference_engine,
    platform_programs,
    process_model,
    server_model,
)
from simulation.clients import client, operator, virtual_address
from simulation.rules import earned_value
from simulation.site import applications, configurations, faults, settings_files, shapes, zone_faults
from simulation.workers import cold_start, listing

CORE_LIST_LAG_US = 3 * units.SECOND_US  # time until operators see that a core machine was added or removed
EXTERNAL_ZONE = "far"  # zone of clients and operators, outside the fleet's zones
CLIENTS_PER_ZONE = 11
READINESS_CONNECTIONS = 64
FIRST_CONFIGURATION_S = 60  # time limit for the acknowledgement of the first configuration
DRAIN_S = 15  # time limit at the end of the run for requests that are still open
# At the end of the run, the number of reads of the configuration, the time limit of each, and the pause after it.
READ_BACKS, READ_BACK_S, READ_BACK_GAP_S = 3, 30, 1.1

if typing.TYPE_CHECKING:
    from iriswheel.runtime import options

log = loguru.logger.bind(part="site")


class CoreMembershipChange(typing.NamedTuple):
    """When a core machine was added or removed, in microseconds, and its name."""

    at_us: int
    name: str


class SimulatedWorker(workers.Worker):
    """A simulated worker that knows its simulated process."""

    def __init__(
        self,
        process: process_model.SimulatedProcess,
        pool: str,
        event_log: event_log.EventLog,
        parameters: inference_engine.EngineParameters,
        *,
        connection_limit: int,
        cold_bounds: cold_start.ColdBounds | None = None,
    ) -> None:
        super().__init__(
            process.runtime(),
            process.name,
            pool,
            event_log,
            parameters,
            connection_limit=connection_limit,
            cold_bounds=cold_bounds,
        )
        self.process = process
        self.host, self.zone = process.host.address, process.host.zone


class Site(deployment.Deployment):
    """One simulated run of a deployment.

    `configurations` sends configurations, `faults` and `zone_faults` cause faults, and `applications` use tallies.
    """

    def __init__(
        self,
        seed: int,
        shape: str = "magnolia",
        seconds: float = 20.0,
        load: float = 1.0,
        *,
        engine_parameters: inference_engine.EngineParameters | None = None,
    ) -> None:
        """Make a site without any processes; `begin` starts them.

        Args:
            seed: The seed of all random choices in the run.
            shape: The name of a deployment in `shapes.SHAPES`.
            seconds: How long the traffic lasts.
            load: The load, as a multiple of the deployment's usual request rate.
            engine_parameters: The parameters of the workers' inference engines; those of the deployment if None.
        """
        super().__init__(seed)
        self.shape = shapes.SHAPES[shape]
        self.world.sends_writes_after_turn = True
        self.event_log = event_log.EventLog()
        self.seconds, self.load = seconds, load
        self.engine_parameters = engine_parameters or inference_engine.EngineParameters(**self.shape.engine_parameters)
        self.cores: dict[str, server_model.SimulatedCore] = {}
        self.nodes: dict[str, server_model.SimulatedNode] = {}
        self.workers: dict[str, SimulatedWorker] = {}
        self.places: dict[str, deployment.Place] = {}
        self.pool = f"p{self.rng.getrandbits(16):04x}"
        self.started = False  # whether all processes of the fleet were started once
        self.core_membership_changes: list[CoreMembershipChange] = []
        self.prefilled_parts: set[str] = set()  # prompt parts that some worker has prefilled before
        self.seed_names: list[str] | None = None  # core machines that the settings list as seeds; all if None
        self.traffics: list[client.Traffic] = []
        self.traffic_until = 0
        self.configurations = configurations.Configurations(self)
        self.faults = faults.Faults(self)
        self.zone_faults = zone_faults.ZoneFaults(self)
        self.applications = applications.Applications(self)

    # ---- machines and processes ---------------------------------------------------------

    def machine_of(self, name: str) -> host_model.Host:
        """The machine on which a process runs."""
        return self.world.machines[self.places[name].host]

    def process_of(self, name: str) -> process_model.SimulatedProcess:
        """The current process of a node, core machine or worker."""
        return (self.nodes.get(name) or self.cores.get(name) or self.workers[name]).process

    def new_process(self, name: str, place: deployment.Place) -> process_model.SimulatedProcess:
        """A new process on the machine at a place, which is powered on if needed."""
        self.places[name] = place
        return process_model.SimulatedProcess(self.world, name, self.powered_machine(*place))

    def live_workers(self) -> list[str]:
        """The names of the workers that are running and not being replaced."""
        return [name for name, worker in sorted(self.workers.items()) if _is_live(worker)]

    # ---- settings -----------------------------------------------------------------------

    def seeds(self) -> list[str]:
        """The core machines that the settings list as seeds: those of `seed_names` that still exist, or else all."""
        chosen = [name for name in self.seed_names or () if name in self.cores]
        return chosen or sorted(self.cores)

    def options(self, name: str, role: typing.Literal["edge", "core"]) -> options.Options:
        """The options of a process, translated from its settings file as on the users' platform."""
        process = settings_files.ProcessPlace(name, role, *self.places[name])
        seed_hosts = [self.places[seed].host for seed in self.seeds()]
        settings = settings_files.settings_file(process, self.shape, seed_hosts, bootstrap=not self.started)
        return platform_programs.settings.translate("node" if role == "edge" else "core", settings)

    def settle_s(self) -> int | float:
        """For how many seconds after its return a core machine still counts as lost."""
        return settings_files.bounds(self.shape)["settle_s"]

    def reload(self, name: str) -> None:
        """Let a running process reload its settings, as SIGHUP does."""
        server = self.nodes.get(name) or self.cores.get(name)
        if server is None or not server.process.alive:
            return
        options = self.options(name, "edge" if name in self.nodes else "core")
        server.process.call(lambda: server.reload_options(options))

    # ---- starting processes -------------------------------------------------------------

    def start_core(self, name: str) -> None:
        """Start a core machine's process with the current contents of its disk."""
        process = self.new_process(name, self.places[name])
        options = self.options(name, "core")
        started = self.cores[name] = server_model.SimulatedCore(process, process.runtime(), options)
        handle = platform_programs.core_api.make_handler(started)
        control = http_server.Server(started.runtime, handle, connection_limit=options.connections)
        process.reactor.listenTCP(options.port, wire.ConnectionFactory(started.runtime, started.serve, log))
        process.reactor.listenTCP(settings_files.CONTROL_PORT, control)
        started.start()

    def start_node(self, name: str) -> None:
        """Start a node's process."""
        process = self.new_process(name, self.places[name])
        options = self.options(name, "edge")
        runtime = process.runtime()
        formats = platform_programs.formats.Formats(options.drain_us)
        started = self.nodes[name] = server_model.SimulatedNode(process, runtime, options, formats)
        front = http_server.Server(runtime, started.gateway.handle, connection_limit=options.connections)
        ready = http_server.Server(
            runtime,
            platform_programs.entry_points.make_readiness_handler(started),
            connection_limit=READINESS_CONNECTIONS,
        )
        process.reactor.listenTCP(options.port, wire.ConnectionFactory(runtime, started.serve, log))
        process.reactor.listenTCP(settings_files.FRONT_PORT, front)
        process.reactor.listenTCP(settings_files.READY_PORT, ready)
        started.start(options.port, settings_files.FRONT_PORT)
        host, zone = self.places[name]
        addresses = (host, settings_files.FRONT_PORT), (host, settings_files.READY_PORT)
        self.virtual_address.nodes[name] = virtual_address.NodeAddresses(zone, *addresses)

    def restart(self, name: str) -> None:
        """Start the process of a node or core machine again on the same machine."""
        (self.start_node if name in self.nodes else self.start_core)(name)
        self.faults.note_repair(name)

    def start_worker(self, name: str, host: str, zone: str, pool: str | None = None) -> SimulatedWorker:
        """Start a worker as a new instance, and add it to the platform's list; it is cold if traffic has begun."""
        process = self.new_process(name, deployment.Place(host, zone))
        speed = 0.93 + 0.14 * self.rng.random()
        worker = SimulatedWorker(
            process,
            pool or self.pool,
            self.event_log,
            dataclasses.replace(self.engine_parameters, speed=speed),
            connection_limit=self.shape.connections,
            cold_bounds=self.shape.cold,
        )
        worker.engine.prefilled_parts = self.prefilled_parts
        self.workers[name] = worker
        process.reactor.listenTCP(settings_files.SERVE_PORT, worker)
        self.listing.put(
            worker.id,
            pool=worker.pool,
            address=f"{host}:{settings_files.SERVE_PORT}",
            zone=zone,
            models=[{"name": "m", "version": 1, "adapters": []}],
        )
        if self.shape.tolerates_zone_loss:
            self.event_log.put(self.world.time, "placed", worker=worker.id, zone=zone)
        if self.shape.cold is not None:
            self.zone_faults.crash_on_overrun(name)
        if self.traffics:  # the first workers are warm, later ones start cold
            self.zone_faults.mark_cold(name)
        return worker

    # ---- the beginning of a run ---------------------------------------------------------

    def begin(self, lead: int = 12) -> None:
        """Start all processes, send the first configuration, and start the traffic `lead` seconds after time 0."""
        self._start_platform()
        self._start_fleet()
        self._send_first_configuration()
        self.advance(max(0, lead - self.world.time / units.SECOND_US))
        self._log_begin()
        self._start_traffic()

    def _start_platform(self) -> None:
        place = deployment.Place(settings_files.PROVIDER_HOST, self.shape.cores[0])
        provider = self.new_process("provider", place)
        page = 3 if len(self.shape.workers) < 10 else 25
        self.listing = listing.Listing(provider.runtime(), self.event_log, page=page)
        provider.reactor.listenTCP(settings_files.LIST_PORT, self.listing)
        self.client_runtime = self._outside_process("outside", "10.9.0.1").runtime()
        self.virtual_address = virtual_address.VirtualAddress(self.client_runtime, self.event_log)
        self.operator_runtime = self._outside_process("office", "10.9.0.2").runtime()

    def _outside_process(self, name: str, host: str) -> process_model.SimulatedProcess:
        return process_model.SimulatedProcess(self.world, name, host_model.Host(self.world, host, EXTERNAL_ZONE))

    def _start_fleet(self) -> None:
        for number, zone in enumerate(self.shape.workers, 1):
            self.start_worker(f"w{number}", f"10.128.0.{number}", zone)
        for number, zone in enumerate(self.shape.cores, 1):
            self.places[f"c{number}"] = deployment.Place(f"{settings_files.CORE_HOST_PREFIX}{number}", zone)
        for number in range(1, len(self.shape.cores) + 1):
            self.start_core(f"c{number}")
        for number, zone in enumerate(self.shape.nodes, 1):
            self.places[f"n{number}"] = deployment.Place(f"10.2.0.{number}", zone)
            self.start_node(f"n{number}")
        self.started = True
        self.client_runtime.spawn(self.virtual_address.run(), log)

    def _send_first_configuration(self) -> None:
        self.operator = operator.Operator(self.operator_runtime, self.event_log, self.control_addresses, "boss")
        self.rival = operator.Operator(self.operator_runtime, self.event_log, self.control_addresses, "rival")
        first = self.operator_runtime.spawn(self.configurations.put_first(FIRST_CONFIGURATION_S), log)
        self.advance_until(lambda: first.called, FIRST_CONFIGURATION_S)

    def _log_begin(self) -> None:
        machines = {
            name: dict(
                host=self.places[name].host, role="edge" if name in self.nodes else "core", **self.zone_field(name)
            )
            for name in [*self.nodes, *self.cores]
        }
        bounds = settings_files.rule_bounds(self.shape)
        more = dict(platform_zone=self.shape.cores[0]) if self.shape.tolerates_zone_loss else {}
        self.event_log.put(self.world.time, "begun", machines=machines, bounds=bounds, **more)

    def zone_field(self, name: str) -> dict[str, str]:
        """The field for a machine's zone in the event log; empty where the deployment tolerates no loss of a zone."""
        return dict(zone=self.places[name].zone) if self.shape.tolerates_zone_loss else {}

    def _start_traffic(self) -> None:
        self.traffic_until = self.world.time + int(self.seconds * units.SECOND_US)
        zones = self.shape.zones()
        for zone in zones:
            clients = [self._client(zone, number) for number in range(CLIENTS_PER_ZONE)]
            rate = self.shape.rate * self.load / len(zones) * (0.9 + 0.2 * self.rng.random())
            phase = self.rng.random()
            traffic = client.Traffic(self.client_runtime, clients, self.shape.kinds, rate, phase=phase)
            self.traffics.append(traffic)
            self.client_runtime.spawn(traffic.run(self.traffic_until), log)

    def _client(self, zone: str, number: int) -> client.Client:
        return client.Client(
            self.client_runtime,
            self.event_log,
            self.virtual_address,
            f"k{zone}{number}",
            zone,
            keep_alive=number % 3 > 0,
            chunked=number % 4 == 1,
            retries_eagerly=number % 7 == 6,
        )

    def note_core_membership_changes(self, names: collections.abc.Iterable[str]) -> None:
        """Record that core machines are added or removed now."""
        self.core_membership_changes += [CoreMembershipChange(self.world.time, name) for name in names]

    def control_addresses(self) -> list[tuple[str, int]]:
        """The core machines' addresses that operators know: additions and removals show after `CORE_LIST_LAG_US`."""
        hosts = {name: self.places[name].host for name in self.cores}
        for changed_at, name in self.core_membership_changes:
            if self.world.time < changed_at + CORE_LIST_LAG_US:
                if name in self.cores:
                    hosts.pop(name)
                else:
                    hosts[name] = self.places[name].host
        return [(hosts[name], settings_files.CONTROL_PORT) for name in sorted(hosts)]

    # ---- time ---------------------------------------------------------------------------

    def schedule(self, seconds: float, action: collections.abc.Callable[..., object], *arguments: object) -> None:
        """Run an action after some seconds of virtual time, without waiting for it."""
        self.world.push(self.world.time + int(seconds * units.SECOND_US), lambda: action(*arguments))

    def end(self) -> None:
        """End the run: wait for the end of traffic and open requests, then read back configuration and tallies."""
        self.advance(max(0, (self.traffic_until - self.world.time) / units.SECOND_US))
        self.advance_until(lambda: not any(traffic.in_flight for traffic in self.traffics), DRAIN_S)
        for _ in range(READ_BACKS):
            self.read_back(READ_BACK_S)
            self.advance(READ_BACK_GAP_S)
        if self.applications.callers:
            self.applications.read_final()
        self.event_log.put(self.world.time, "ended")

    def read_back(self, seconds: float) -> None:
        """Let the operator read the newest configuration, and wait until it is read or the time limit is over."""
        read = self.operator_runtime.spawn(self.operator.read(), log)
        self.advance_until(lambda: read.called, seconds)

    def request_values(self) -> dict[str, earned_value.RequestValue]:
        """What each kind of request is worth."""
        return {
            kind.name: earned_value.RequestValue(
                kind.aim_ms * units.MILLISECOND_US,
                kind.pause_ms * units.MILLISECOND_US,
                kind.value,
                kind.late_value,
            )
            for kind in self.shape.kinds
        }


def _is_live(worker: SimulatedWorker) -> bool:
    return worker.process.alive and not worker.leaving and worker.process.host.power
