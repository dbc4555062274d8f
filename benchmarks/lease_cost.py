"""What leases, heartbeats and reports cost in an idle cluster, in the simulator.

    python -m benchmarks.lease_cost --sizes 6 73 370 --cores 3 5 7

The code of real core machines and nodes runs in one process, without requests from clients. Every
message between them is counted by its type and by the roles of its sender and receiver. The
processor time of each simulated process is counted in loops, the unit of benchmarks.capacity: a
processor core runs about 3,000 loops a second. The cost of real sockets is not included.
"""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import dataclasses
import statistics
import unittest.mock

import defopt
import loguru

from benchmarks.capacity import hollow_fleet, measuring
from iriswheel.transport import frames, message, wire

WORKER_COUNT, POOL_COUNT, ROUTE_COUNT = 6, 1, 100
SETTLE_S = 3
COLUMNS = (
    "nodes",
    "core machines",
    "into a node",
    "out of a node",
    "node's own time",
    "reports of a core machine",
    "of it, by node listed",
    "heartbeats of the tail",
    "tail's own time",
    "other core machines' own time",
)


@dataclasses.dataclass(frozen=True)
class Rate:
    """Messages and bytes a second.

    >>> str(Rate(4, 1200))
    '4.0/s, 1,200 B/s'
    """

    messages: float
    size: float

    def __str__(self) -> str:
        """The cell of the printed table."""
        return f"{self.messages:.1f}/s, {self.size:,.0f} B/s"


@dataclasses.dataclass(frozen=True)
class Cost:
    """The costs of one cluster; processor times are in loops per second."""

    nodes: int
    cores: int
    into_node: Rate
    out_of_node: Rate
    node_loops: float  # the median of all nodes
    reports: Rate  # from one core machine to the tail
    listed_bytes: float  # bytes of a report per node that it lists
    tail_heartbeats: Rate  # from the tail to one core machine
    tail_loops: float
    core_loops: float

    def table_row(self) -> str:
        """The row of a table, in the order of COLUMNS."""
        loops = [f"{value:.1f} loops/s" for value in (self.node_loops, self.tail_loops, self.core_loops)]
        cells: list[object] = [
            self.nodes,
            self.cores,
            self.into_node,
            self.out_of_node,
            loops[0],
            self.reports,
            f"{self.listed_bytes:.0f} B",
            self.tail_heartbeats,
            *loops[1:],
        ]
        return "| " + " | ".join(map(str, cells)) + " |"


class Traffic:
    """Counters of messages and bytes by direction and message type; a direction is "core to node" and the like.

    >>> traffic = Traffic(); traffic.count("core to node", message.KeepAlive(), 9); traffic.total("core to node")
    (1, 9)
    """

    def __init__(self) -> None:
        self.messages: collections.Counter[tuple[str, type[message.Message]]] = collections.Counter()
        self.bytes: collections.Counter[tuple[str, type[message.Message]]] = collections.Counter()
        self.listed = 0  # nodes listed in all reports between core machines, counted once for each report

    def count(self, direction: str, msg: message.Message, size: int) -> None:
        """Count one message of the given size in bytes."""
        self.messages[direction, type(msg)] += 1
        self.bytes[direction, type(msg)] += size
        if direction == "core to core" and isinstance(msg, message.NodeSessionsReport):
            self.listed += len(msg.members)

    def total(self, direction: str, *types: type[message.Message]) -> tuple[int, int]:
        """The number and the bytes of the messages in one direction, of the given types or, without any, of all."""
        keys = [key for key in self.messages if key[0] == direction and (not types or key[1] in types)]
        return sum(self.messages[key] for key in keys), sum(self.bytes[key] for key in keys)


@contextlib.contextmanager
def count_traffic(cluster: hollow_fleet.Fleet) -> collections.abc.Iterator[Traffic]:
    """Count the messages between the processes of a cluster while the context lasts."""
    traffic = Traffic()
    cores = {core.runtime for core in cluster.cores.values()}
    send = wire.Connection._send

    def counted(connection: wire.Connection, kind: int, sequence: int, content: message.Message) -> None:
        if connection.node_session is not None:
            direction = "core to node"
        elif connection.runtime in cores:
            direction = "core to core"
        elif _with_core(connection, cluster):
            direction = "node to core"
        else:
            direction = "node to node"
        # As in Connection._send, the content may have any type here: the annotation only matters for decoding.
        raw = wire.encoder.encode(wire.Envelope(kind, sequence, content))  # type: ignore[arg-type]
        traffic.count(direction, content, len(raw) + frames.LENGTH_BYTES)
        send(connection, kind, sequence, content)

    with unittest.mock.patch.object(wire.Connection, "_send", counted):
        yield traffic


def _with_core(connection: wire.Connection, cluster: hollow_fleet.Fleet) -> bool:
    core_hosts = {cluster.places[name][0] for name in cluster.cores}
    return connection.transport.getPeer().host in core_hosts


def idle_cluster(nodes: int, cores: int, seed: int) -> hollow_fleet.Fleet:
    """A cluster without requests that has settled, with all core machines in its chain."""
    cluster = hollow_fleet.Fleet(seed, nodes, WORKER_COUNT, POOL_COUNT, ROUTE_COUNT, walking=False, election="node")
    cluster.core_count = cores
    cluster.extra_options = {"seats": cores}
    cluster.begin()
    views = [core.consensus for core in cluster.cores.values()]
    if not cluster.advance_until(lambda: all(m.view is not None and len(m.view.chain) == cores for m in views), 30):
        raise TimeoutError("the chain does not contain all core machines after 30 s")
    cluster.advance(SETTLE_S)
    return cluster


def measure(nodes: int, cores: int, seconds: int, seed: int) -> Cost:
    """Measure a cluster of the given size for some simulated seconds."""
    cluster = idle_cluster(nodes, cores, seed)
    with count_traffic(cluster) as traffic:
        cluster.advance(seconds)
    used_by_process = {name: used["loops"] for name, used in cluster.meter_for(seconds).items()}
    tail = cluster.tail()
    assert tail is not None

    def rate(total: tuple[int, int], processes: int) -> Rate:
        messages, size = total
        return Rate(messages / processes / seconds, size / processes / seconds)

    reports = traffic.total("core to core", message.NodeSessionsReport)
    return Cost(
        nodes,
        cores,
        into_node=rate(traffic.total("core to node"), nodes),
        out_of_node=rate(traffic.total("node to core"), nodes),
        node_loops=statistics.median(used_by_process[name] for name in cluster.nodes),
        reports=rate(reports, cores - 1),
        listed_bytes=reports[1] / max(1, traffic.listed),
        tail_heartbeats=rate(traffic.total("core to core", message.TailHeartbeat), cores - 1),
        tail_loops=used_by_process[tail.options.name],
        core_loops=statistics.median(used_by_process[name] for name in cluster.cores if name != tail.options.name),
    )


def run(
    *, sizes: measuring.Sizes = (6, 73, 370), cores: measuring.Sizes = (3, 5, 7), seconds: int = 4, seed: int = 1
) -> None:
    """Print a table row for each size and number of core machines.

    :param sizes: numbers of nodes
    :param cores: numbers of core machines
    :param seconds: simulated seconds that are measured
    :param seed: the run's seed
    """
    loguru.logger.remove()
    print("| " + " | ".join(COLUMNS) + " |")
    print("|---" * len(COLUMNS) + "|")
    for nodes in sizes:
        for count in cores:
            print(measure(nodes, count, seconds, seed).table_row(), flush=True)


if __name__ == "__main__":
    defopt.run(run)
