"""A simulated cluster of five cores without nodes, which tolerates the loss of two, and calls to its counters."""

from __future__ import annotations

import collections.abc
import typing

from twisted.internet import defer

from iriswheel import errors
from iriswheel.replicated_counters import counter_state
from iriswheel.runtime import options, units
from iriswheel.transport import http_server, wire
from simulation import addresses, deployment, process_model, server_model, simulated_cluster

MACHINES = {"c1": "north", "c2": "north", "c3": "south", "c4": "south", "c5": "west"}
COPIES = 3


class Call(typing.NamedTuple):
    """A call that adds to a counter, and its outcome."""

    identifier: str
    amount: int
    machine: str
    started_at_us: int
    outcome: list[
        tuple[int, str]
    ]  # end time and error code of an ended call; the code is empty for an acknowledged add

    @property
    def acknowledged(self) -> bool:
        """Whether the add was acknowledged."""
        return bool(self.outcome) and not self.outcome[0][1]

    def is_pending(self) -> bool:
        """Whether the call has no answer yet."""
        return not self.outcome


class CounterCluster(deployment.Deployment):
    """Five cores without nodes; the cluster tolerates the loss of two cores."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed)
        self.cores: dict[str, server_model.SimulatedCore] = {}
        self.hosts = {name: f"10.0.1.{number}" for number, name in enumerate(MACHINES, 1)}
        self.calls: list[Call] = []
        self.start(*MACHINES, founding=True)

    def start_additional_core(self, name: str, host: str) -> None:
        """Start a core that is not among the seeds of the other cores."""
        self.hosts[name] = host
        self.start(name)

    def start(self, *names: str, founding: bool = False) -> None:
        """Start cores with the data on their hosts' disks; `founding` marks the first start of the whole fleet."""
        for name in names:
            process = process_model.SimulatedProcess(
                self.world, name, self.powered_machine(self.hosts[name], MACHINES.get(name, "west"))
            )
            runtime = process.runtime()
            core_options = options.Options(
                "core",
                name=name,
                host=self.hosts[name],
                port=addresses.PEER_PORT,
                http_port=addresses.HTTP_PORT,
                zone=MACHINES.get(name, "west"),
                seeds=[f"{self.hosts[seed]}:{addresses.PEER_PORT}" for seed in MACHINES],
                data="sim",
                copies=COPIES,
                seats=len(MACHINES),
                grace_us=8 * units.SECOND_US,
                found=founding,
            )
            core = self.cores[name] = server_model.SimulatedCore(process, runtime, core_options)
            process.reactor.listenTCP(
                addresses.PEER_PORT, wire.ConnectionFactory(runtime, core.serve, simulated_cluster.log)
            )
            process.reactor.listenTCP(addresses.HTTP_PORT, http_server.Server(runtime, core.handle))
            core.start()

    # ---- faults ------------------------------------------------------------------

    def cut(self, *names: str) -> None:
        """Cut the network between some machines and all others."""
        some = [self.hosts[name] for name in names]
        self.world.cut(some, [host for host in self.hosts.values() if host not in some])

    def kill(self, *names: str) -> None:
        """Kill the processes of some machines."""
        for name in names:
            self.cores[name].process.kill()

    def lose_power(self, *names: str, wiped: collections.abc.Collection[str] = ()) -> None:
        """Cut the power of some machines, and erase the disks of those in `wiped`."""
        for name in names:
            self.cores[name].process.host.fail()
            if name in wiped:
                self.cores[name].process.host.synced.clear()

    # ---- calls -------------------------------------------------------------------

    def add(self, name: str, identifier: str, amount: int = 1) -> Call:
        """Start an add at a machine, without waiting for its outcome."""
        core = self.cores[name]
        call = Call(identifier, amount, name, self.world.time, [])
        self.calls.append(call)

        async def run() -> None:
            try:
                await core.replicated_counters.add(counter_state.CallId("n", identifier), amount)
            except errors.ServiceError as error:
                call.outcome.append((self.world.time, error.code))
            else:
                call.outcome.append((self.world.time, ""))

        core.process.call(lambda: defer.ensureDeferred(run()))
        return call

    def add_acknowledged(self, name: str, identifier: str, amount: int = 1, seconds: float = 1) -> Call:
        """Add at a machine, and wait for the acknowledgement."""
        call = self.add(name, identifier, amount)
        self.advance_until(lambda: call.outcome, seconds)
        assert call.acknowledged, call
        return call

    def read(self, name: str) -> int | str:
        """The sum of the counter that a machine returns, or the error code if it refuses the read."""
        try:
            return self.cores[name].replicated_counters.sum_of("n")
        except errors.ServiceError as error:
            return error.code

    def sums(self) -> set[int | str]:
        """The distinct results of reading the counter at all running machines."""
        return {self.read(name) for name in self.cores if self.cores[name].process.alive}

    def acknowledged_sum(self) -> int:
        """The sum of all acknowledged adds, with each id counted once."""
        return sum({call.identifier: call.amount for call in self.calls if call.acknowledged}.values())

    def holders(self, identifier: str) -> list[str]:
        """The machines that have an add on their disks."""
        raw = identifier.encode()
        return [
            name
            for name, core in self.cores.items()
            if any(key.startswith(b"counter/") and raw in value for key, value in core.process.host.synced.items())
        ]


def settled_cluster() -> CounterCluster:
    """A cluster whose cores detect cut-off peers by their missing messages, and whose counters have been read once."""
    started = CounterCluster()
    started.advance(5)
    started.sums()
    started.advance(0.5)
    return started
