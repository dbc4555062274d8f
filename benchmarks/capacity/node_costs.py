"""The costs of a node: routes, its selections of workers and its placements, connections."""

from __future__ import annotations

import collections.abc
import json
import subprocess
import sys
import time
import types

import msgspec

from benchmarks import default_reactor
from benchmarks.capacity import measuring, samples
from iriswheel.configuration import configuration
from iriswheel.dataplane import placement, sessions
from iriswheel.node import node
from iriswheel.replication import replicated_state, snapshot_format
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire
from simulation import simulated_cluster

LARGEST_POOL = 2_600  # workers
FIRST_TURN_COUNTS = (1_000, 4_000, 16_000)  # sizes at which first turns of possible sessions are measured
LOOPBACK = "127.0.0.1"

Items = samples.Items


def routes(*, sizes: measuring.Sizes = (100, 500, 2000, 5000), repeats: int = 5, out: str = "") -> None:
    """Routes: planning a change, its state on core machines, a node's slice of it, finding a request's route.

    :param sizes: numbers of routes
    :param repeats: number of repetitions of each measurement
    :param out: file to which the values are written
    """
    measurements = measuring.Measurements()
    for _ in range(repeats):
        for size in sizes:
            _measure_routes(measurements.point("routes", size))
    measuring.print_and_save(measurements, out)


def _measure_routes(point: measuring.Point) -> None:
    """Measure a configuration and the change of one of its routes, from the operator to a node."""
    before = samples.configuration_items(point.size)
    after = {**before, "routes/r1": {**before["routes/r1"], "path": "/moved/"}}
    change = configuration.difference(before, after)
    _measure_plan(point, before, after)
    state = (
        replicated_state.ReplicatedState()
        .apply(message.LogEntry(1, 1, "plan", "0-a", 0, list(before.items())))
        .apply(message.LogEntry(2, 1, "confirm", "0-a"))
    )
    planned = state.apply(message.LogEntry(3, 1, "plan", "2-b", 2, change))
    _measure_replicated_state(point, state, planned)
    _measure_slice_at_node(point, configuration.slice_for_node(before, "zone0"), change)


def _measure_plan(point: measuring.Point, before: Items, after: Items) -> None:
    """Measure how a core machine plans a change to the configuration that an operator sends."""
    raw = json.dumps(configuration.unflatten(after)).encode()
    point.put_bytes("a whole configuration as the operator sends it", len(raw))
    point.put_loops(
        "a plan of a whole configuration: read, checked, compared, named",
        measuring.loops_per_call(
            lambda: configuration.describe(
                before, configuration.difference(before, configuration.flatten(json.loads(raw)))
            )
        ),
    )


def _measure_replicated_state(
    point: measuring.Point, before: replicated_state.ReplicatedState, planned: replicated_state.ReplicatedState
) -> None:
    """Measure how a core machine confirms and stores a change, and cuts a node's slice.

    Args:
        point: Takes the measurements.
        before: The replicated state before the plan of the change.
        planned: The replicated state with the plan, not yet confirmed.
    """
    point.put_loops(
        "a confirm applied, one route changed",
        measuring.loops_per_call(lambda: planned.apply(message.LogEntry(4, 1, "confirm", "2-b"))),
    )
    point.put_bytes("a frame on a core's disk", len(snapshot_format.encode(before)))
    point.put_loops("a frame written", measuring.loops_per_call(lambda: snapshot_format.encode(before)))
    two_slices = measuring.loops_per_call(
        lambda: configuration.difference(
            configuration.slice_for_node(before.items, "zone0"),
            configuration.slice_for_node(planned.items, "zone0"),
        )
    )
    point.put_loops("a slice cut and compared for one node", two_slices / 2)


def _measure_slice_at_node(point: measuring.Point, node_slice: Items, change: list[configuration.ItemChange]) -> None:
    idle_node = samples.idle_node()
    idle_node.follower.apply_items(1, node_slice, is_snapshot=True)
    index = [1]

    def apply_change() -> None:
        index[0] += 1
        idle_node.follower.apply_items(index[0], dict(change), is_snapshot=False)

    point.put_loops("a change of one route taken at a node", measuring.loops_per_call(apply_change))
    point.put_bytes("a slice held at a node", measuring.allocated_bytes(lambda: _node_with_slice(node_slice)))
    last = point.size - 1
    path = f"/{last:06x}/{last % 97:02x}/x"
    point.put_loops(
        "a request's route found", measuring.loops_per_call(lambda: idle_node.follower.find_route("host.example", path))
    )


def _node_with_slice(node_slice: Items) -> node.Node:
    made = samples.idle_node()
    made.follower.apply_items(1, msgspec.msgpack.decode(msgspec.msgpack.encode(node_slice)), is_snapshot=True)
    return made


def placements(
    *,
    listed: measuring.Sizes = (9, 90, 900, 2600),
    keys: measuring.Sizes = (128, 512, 1024),
    parts: measuring.Sizes = (2_600, 26_000, 260_000),
    sizes: measuring.Sizes = (1_000, 10_000, 100_000),
    pools: measuring.Sizes = (1, 8, 29),
    repeats: int = 5,
    out: str = "",
) -> None:
    """Selections of workers by a node, the memory of its placements, and their sweep once a second.

    :param listed: numbers of workers of the pool
    :param keys: numbers of shared prompt parts for which the workers are ranked
    :param parts: numbers of prompt parts that are known of all workers of the pool together
    :param sizes: numbers of sessions of one node
    :param pools: numbers of pools, with 2,600 workers in all
    :param repeats: number of repetitions of each measurement
    :param out: file to which the values are written
    """
    measurements = measuring.Measurements()
    for _ in range(repeats):
        for size in listed:
            _measure_picks(measurements, size)
        for size in keys:
            _measure_held(
                measurements.point("parts ranked", size),
                "ranks held, 90 workers",
                lambda k: placement_with_rankings(k, 90),
            )
        for size in parts:
            _measure_held(
                measurements.point("parts", size), "parts held of the workers at a node", placement_with_parts
            )
        for size in FIRST_TURN_COUNTS:
            _measure_held(
                measurements.point("first turns", size), "first turns held at a node", placement_with_first_turns
            )
        for size in sizes:
            _measure_held(measurements.point("sessions", size), "sessions held at a node", samples.session_table)
        for size in pools:
            _measure_sweep(measurements.point("pools", size))
    measuring.print_and_save(measurements, out)


def _measure_held(point: measuring.Point, line: str, make: collections.abc.Callable[[int], object]) -> None:
    point.put_bytes(line, measuring.allocated_bytes(lambda: make(point.size)))


def _measure_picks(measurements: measuring.Measurements, workers: int) -> None:
    """Measure a node's selection of a worker, and the data about workers that the selection uses."""
    pool = configuration.Pool(cap=0, election="node", batch=64)
    shared = types.SimpleNamespace(sizes=[13_300, 800, 92, 291])
    idle_node = node_with_workers(workers)
    pool_placement, names = (
        idle_node.gateway.forwarder.placement_of("model-0"),
        idle_node.gateway.forwarder.ready_workers("model-0"),
    )
    pool_placement.apply_remote_loads([(name, 22, 900, 0) for name in names], True)
    ranked_keys = placement.prefix_keys([f"{k:08x}" for k in range(4)])
    pool_placement.pick(shared, ranked_keys, 291, names, pool=pool, excluded_workers=set())
    count = [0]

    def pick_with_new_part() -> None:
        count[0] += 1
        pool_placement.pick(
            shared,
            placement.prefix_keys([f"{count[0]:08x}", "b", "c", "d"]),
            291,
            names,
            pool=pool,
            excluded_workers=set(),
        )

    point = measurements.point("workers of the pool", workers)
    point.put_loops(
        "a worker chosen at a node, its parts ranked before",
        measuring.loops_per_call(
            lambda: pool_placement.pick(shared, ranked_keys, 291, names, pool=pool, excluded_workers=set())
        ),
    )
    point.put_loops("a worker chosen at a node, a part never ranked", measuring.loops_per_call(pick_with_new_part))
    point = measurements.point("workers", workers)
    point.put_loops(
        "the ready workers listed for an election",
        measuring.loops_per_call(lambda: idle_node.gateway.forwarder.ready_workers("model-0")),
    )
    point.put_bytes(
        "others' loads held", measuring.allocated_bytes(lambda: {k: (22, 900, 0) for k in map(str.upper, names)})
    )


def _measure_sweep(point: measuring.Point) -> None:
    idle_node = node_with_workers(LARGEST_POOL, point.size)
    for k in range(point.size):
        idle_node.gateway.forwarder.placement_of(f"model-{k}")
    point.put_loops(
        "the sweep of a node's placements, 2600 workers", measuring.loops_per_call(lambda: sweep_placements(idle_node))
    )


def node_with_workers(worker_count: int, pool_count: int = 1) -> node.Node:
    """A node without periodic tasks that has applied a list of the given number of workers.

    >>> node_with_workers(3).gateway.forwarder.ready_workers("model-0")
    ['i-00000000', 'i-00000001', 'i-00000002']
    """
    made = samples.idle_node()
    made.follower.apply_listing(message.WorkerListing(samples.workers(worker_count, pool_count), (3, 1, 40)))
    return made


def placement_with_rankings(part_count: int, worker_count: int) -> placement.Placement:
    """A placement that has ranked its workers for the given number of prefix parts.

    >>> len(placement_with_rankings(2, 3).rankings)
    2
    """
    pool_placement = samples.idle_node().gateway.forwarder.placement_of("model-0")
    names = [worker.id for worker in samples.workers(worker_count, 1)]
    for key in range(part_count):
        pool_placement.rank(key.to_bytes(8, "big"), tuple(names))  # a new tuple each time, as each selection makes one
    return pool_placement


def placement_with_first_turns(count: int) -> placement.Placement:
    """A placement that remembers first turns, each of which becomes a session at a second turn.

    >>> len(placement_with_first_turns(3).first_turns)
    3
    """
    pool_placement = samples.idle_node().gateway.forwarder.placement_of("model-0")
    for k in range(count):
        pool_placement.note_turn(k.to_bytes(8, "big"), f"i-{k % 2600:08x}", configuration.Terms(), 0)
    return pool_placement


def fresh_process_bytes() -> int:
    """Memory, in bytes, of a new process that has imported iriswheel and created a node."""
    raw = subprocess.run(
        [
            sys.executable,
            "-c",
            "import iriswheel.cli.command\n"
            "import iriswheel.node.node as node\n"
            "import iriswheel.runtime.options as options\n"
            "import iriswheel.runtime.scheduler as scheduler\n"
            "import twisted.internet.reactor as reactor\n"
            "runtime = scheduler.Runtime(reactor)\n"
            "kept = node.Node(runtime, options.Options('node', seeds=['127.0.0.1:1']))\n"
            "print([x for x in open('/proc/self/status') if x.startswith('VmRSS')][0].split()[1])",
        ],
        capture_output=True,
        check=True,
    ).stdout
    return int(raw) * 1024


def placement_with_parts(count: int) -> placement.Placement:
    """A placement that knows the given number of prefix parts, spread over 2,600 workers.

    >>> len(placement_with_parts(2600).estimates)
    2600
    """
    pool_placement = samples.idle_node().gateway.forwarder.placement_of("model-0")
    for k in range(count):
        pool_placement.estimate(f"i-{k % 2600:08x}").note_parts([k.to_bytes(8, "big")], [800 + k % 64])
    return pool_placement


def sweep_placements(swept_node: node.Node) -> None:
    """Sweep connections and placements as a node's forwarder does once a second: drop what expired or left the list."""
    follower = swept_node.follower
    swept_node.gateway.forwarder.connections.sweep({worker.id for worker in follower.workers if worker.state != "gone"})
    for pool, pool_placement in swept_node.gateway.forwarder.placements.items():
        pool_placement.sweep(
            {worker.id for worker in follower.workers if worker.pool == pool and worker.state == "ready"}
        )


def sockets(*, sizes: measuring.Sizes = (0, 100, 1000), calls: int = 2000, repeats: int = 5, out: str = "") -> None:
    """Processor time of a message over a real connection whose two ends are in this process, in sequential calls.

    :param sizes: numbers of session records in each call
    :param calls: number of calls in each measurement
    :param repeats: number of repetitions of each measurement
    :param out: file to which the values are written
    """
    reactor = default_reactor.load()
    measurements, runtime = measuring.Measurements(), scheduler.Runtime(reactor)
    port = reactor.listenTCP(
        0,
        wire.ConnectionFactory(
            runtime, lambda _connection, _message: message.ReplicateResponse(True), simulated_cluster.log
        ),
        interface=LOOPBACK,
    )

    async def measure() -> None:
        connection = await wire.connect(runtime, LOOPBACK, port.getHost().port, lambda *_: None, simulated_cluster.log)
        for _ in range(repeats):
            for size in sizes:
                await _measure_calls(measurements, connection, size, calls)

    default_reactor.run(measure)
    measuring.print_and_save(measurements, out)


async def _measure_calls(
    measurements: measuring.Measurements, connection: wire.Connection, records: int, calls: int
) -> None:
    table = samples.session_table(records)
    copy = message.ReplicateRecords(
        "model-0", (3, 17), "n", [sessions.to_message(record, 0) for record in table.records.values()], [], []
    )
    loop_ns = measuring.nanoseconds_per_call(measuring.loop)
    started_at = time.thread_time_ns()
    for _ in range(calls):
        await connection.call(copy, 5 * units.SECOND_US)
    took = (time.thread_time_ns() - started_at) / calls / 2 / loop_ns
    codec = measuring.loops_per_call(lambda: wire.decoder.decode(wire.encoder.encode(wire.Envelope(1, 1, copy)))) / 2
    point = measurements.point("bytes", len(wire.encoder.encode(wire.Envelope(1, 1, copy))))
    point.put_loops("a message sent and taken over a connection", took)
    point.put_loops("of it, writing and reading its form", codec)
