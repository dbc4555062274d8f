"""What a node holds and does: routes, its own selections and placement, connections."""

from __future__ import annotations

import json
import subprocess
import sys
import time
import types
import typing

import msgspec
from twisted.internet import defer

from benchmarks.capacity import measuring, samples
from iriswheel.configuration import configuration
from iriswheel.dataplane import placement, sessions
from iriswheel.node import node
from iriswheel.replication import replicated_state, snapshot_format
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire
from simulation import simulated_cluster


def routes(*, sizes: list[int] = (100, 500, 2000, 5000), repeats: int = 5, out: str = "") -> None:
    """Routes: a plan and its check, the chain, the cut for one node, the taking there, a request's way.

    :param sizes: routes
    :param repeats: how often each is measured
    :param out: file for the values
    """
    lines = measuring.Measurements()
    for _ in range(repeats):
        for r in sizes:
            had = samples.items(r)
            now = {**had, "routes/r1": {**had["routes/r1"], "path": "/moved/"}}
            document = configuration.unflatten(now)
            raw = json.dumps(document).encode()
            change = configuration.difference(had, now)
            lines.put("a whole configuration as the operator sends it", "routes", "B", r, len(raw))
            lines.put(
                "a plan of a whole configuration: read, checked, compared, named",
                "routes",
                "loops",
                r,
                measuring.ratio(
                    lambda: configuration.describe(
                        had, configuration.difference(had, configuration.flatten(json.loads(raw)))
                    )
                ),
            )
            ledger = (
                replicated_state.ReplicatedState()
                .apply(message.LogEntry(1, 1, "plan", "0-a", 0, list(had.items())))
                .apply(message.LogEntry(2, 1, "confirm", "0-a"))
            )
            two = ledger.apply(message.LogEntry(3, 1, "plan", "2-b", 2, change))
            lines.put(
                "a confirm applied, one route changed",
                "routes",
                "loops",
                r,
                measuring.ratio(lambda: two.apply(message.LogEntry(4, 1, "confirm", "2-b"))),
            )
            lines.put("a frame on a core's disk", "routes", "B", r, len(snapshot_format.encode(ledger)))
            lines.put("a frame written", "routes", "loops", r, measuring.ratio(lambda: snapshot_format.encode(ledger)))
            lines.put(
                "a slice cut and compared for one node",
                "routes",
                "loops",
                r,
                measuring.ratio(
                    lambda: configuration.difference(
                        configuration.slice_for_node(ledger.items, "zone0"),
                        configuration.slice_for_node(two.items, "zone0"),
                    )
                )
                / 2,
            )
            n = samples.hollow()
            slice = configuration.slice_for_node(had, "zone0")
            n.follower.apply_items(1, slice, True)
            place = [1]

            def take() -> None:
                place[0] += 1
                n.follower.apply_items(place[0], dict(change), False)

            lines.put("a change of one route taken at a node", "routes", "loops", r, measuring.ratio(take))
            lines.put("a slice held at a node", "routes", "B", r, measuring.held(lambda: _sliced(slice)))
            path = f"/{r - 1:06x}/{(r - 1) % 97:02x}/x"
            lines.put(
                "a request's route found",
                "routes",
                "loops",
                r,
                measuring.ratio(lambda: n.follower.find("host.example", path)),
            )
    measuring.end(lines, out)


def _sliced(slice: dict[str, dict[str, typing.Any]]) -> node.Node:
    n = samples.hollow()
    n.follower.apply_items(1, msgspec.msgpack.decode(msgspec.msgpack.encode(slice)), True)
    return n


def placements(
    *,
    listed: list[int] = (9, 90, 900, 2600),
    keys: list[int] = (128, 512, 1024),
    parts: list[int] = (2_600, 26_000, 260_000),
    sizes: list[int] = (1_000, 10_000, 100_000),
    pools: list[int] = (1, 8, 29),
    repeats: int = 5,
    out: str = "",
) -> None:
    """Elections at a node, what its placement holds, and its upkeep each second.

    :param listed: workers of the pool
    :param keys: shared parts that are ranked
    :param parts: parts known of the pool's workers together
    :param sizes: sessions of one node
    :param pools: pools, with 2,600 workers in all
    :param repeats: how often each is measured
    :param out: file for the values
    """
    lines = measuring.Measurements()
    pool = configuration.Pool(cap=0, election="node", batch=64)
    shared = types.SimpleNamespace(sizes=[13_300, 800, 92, 291])
    for _ in range(repeats):
        for w in listed:
            n = active(w)
            place, names = n.gateway.forwarder.placement_of("model-0"), n.gateway.forwarder.ready("model-0")
            place.take([(name, 22, 900, 0) for name in names], True)
            cut = placement.chain([f"{k:08x}" for k in range(4)])
            place.pick(shared, cut, 291, names, pool, set())
            lines.put(
                "a worker chosen at a node, its parts ranked before",
                "workers of the pool",
                "loops",
                w,
                measuring.ratio(lambda: place.pick(shared, cut, 291, names, pool, set())),
            )
            count = [0]

            def fresh() -> None:
                count[0] += 1
                place.pick(shared, placement.chain([f"{count[0]:08x}", "b", "c", "d"]), 291, names, pool, set())

            lines.put(
                "a worker chosen at a node, a part never ranked",
                "workers of the pool",
                "loops",
                w,
                measuring.ratio(fresh),
            )
            lines.put(
                "the ready workers listed for an election",
                "workers",
                "loops",
                w,
                measuring.ratio(lambda: n.gateway.forwarder.ready("model-0")),
            )
            lines.put(
                "others' loads held",
                "workers",
                "B",
                w,
                measuring.held(lambda: {k: (22, 900, 0) for k in map(str.upper, names)}),
            )
        for k in keys:
            lines.put("ranks held, 90 workers", "parts ranked", "B", k, measuring.held(lambda: ranked(k, 90)))
        for x in parts:
            lines.put("parts held of the workers at a node", "parts", "B", x, measuring.held(lambda: kept(x)))
        for x in (1_000, 4_000, 16_000):
            lines.put("first turns held at a node", "first turns", "B", x, measuring.held(lambda: tried(x)))
        for x in sizes:
            lines.put(
                "sessions held at a node", "sessions", "B", x, measuring.held(lambda: samples.session_messages(x))
            )
        for p in pools:
            n = active(2600, p)
            for k in range(p):
                n.gateway.forwarder.placement_of(f"model-{k}")
            lines.put(
                "the sweep of a node's placements, 2600 workers", "pools", "loops", p, measuring.ratio(lambda: swept(n))
            )
    measuring.end(lines, out)


def active(w: int, p: int = 1) -> node.Node:
    """A hollow node that knows w workers of p pools.

    >>> active(3).gateway.forwarder.ready("model-0")
    ['i-00000000', 'i-00000001', 'i-00000002']
    """
    n = samples.hollow()
    n.follower.apply_listing(message.WorkerListing(samples.workers(w, p), (3, 1, 40)))
    return n


def ranked(k: int, w: int) -> placement.Placement:
    """A placement that has ranked w workers for k parts.

    >>> len(ranked(2, 3).ranks)
    2
    """
    place, names = samples.hollow().gateway.forwarder.placement_of("model-0"), [x.id for x in samples.workers(w, 1)]
    for key in range(k):
        place.rank(key.to_bytes(8, "big"), tuple(names))  # each election makes its own, as here
    return place


def tried(x: int) -> placement.Placement:
    """A placement with x first turns that may yet become sessions.

    >>> len(tried(3).trials)
    3
    """
    place = samples.hollow().gateway.forwarder.placement_of("model-0")
    for k in range(x):
        place.note_turn(k.to_bytes(8, "big"), f"i-{k % 2600:08x}", configuration.Terms(), 0)
    return place


def bare() -> typing.Any:
    """Memory of a fresh process that has imported the program and made a node, in bytes."""
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


def kept(x: int) -> placement.Placement:
    """A placement that knows x parts of 2,600 workers.

    >>> len(kept(2600).workers)
    2600
    """
    place = samples.hollow().gateway.forwarder.placement_of("model-0")
    for k in range(x):
        place.estimate(f"i-{k % 2600:08x}").note_parts([k.to_bytes(8, "big")], [800 + k % 64])
    return place


def swept(n: node.Node) -> None:
    """What a node's forwarder does once a second."""
    follower = n.follower
    n.gateway.forwarder.connections.sweep({w.id for w in follower.workers if w.state != "gone"})
    for pool, p in n.gateway.forwarder.placements.items():
        p.sweep({w.id for w in follower.workers if w.pool == pool and w.state == "ready"})


def sockets(*, sizes: list[int] = (0, 100, 1000), calls: int = 2000, repeats: int = 5, out: str = "") -> None:
    """What a message costs over a real connection, both sides of it in this process: calls, one after the other.

    :param sizes: session records in each question
    :param calls: how many each time
    :param repeats: how often each is measured
    :param out: file for the values
    """
    from twisted.internet import reactor

    lines, runtime = measuring.Measurements(), scheduler.Runtime(reactor)
    port = reactor.listenTCP(
        0,
        wire.Listener(runtime, lambda connection, m: message.ReplicateResponse(True), simulated_cluster.log),
        interface="127.0.0.1",
    )

    async def go() -> None:
        connection = await wire.connect(
            runtime, "127.0.0.1", port.getHost().port, lambda *_: None, simulated_cluster.log
        )
        for _ in range(repeats):
            for n in sizes:
                copy = message.ReplicateRecords(
                    "model-0",
                    (3, 17),
                    "n",
                    [sessions.to_message(r, 0) for r in samples.session_messages(n).records.values()],
                    [],
                    [],
                )
                raw = wire.encoder.encode(wire.Envelope(1, 1, copy))
                one = measuring.spent(measuring.loop)
                started_at = time.thread_time_ns()
                for _ in range(calls):
                    await connection.call(copy, 5 * units.SECOND_US)
                took = (time.thread_time_ns() - started_at) / calls / 2 / one
                bare = measuring.ratio(lambda: wire.decoder.decode(wire.encoder.encode(wire.Envelope(1, 1, copy)))) / 2
                lines.put("a message sent and taken over a connection", "bytes", "loops", len(raw), took)
                lines.put("of it, writing and reading its form", "bytes", "loops", len(raw), bare)
        reactor.stop()

    failed = []

    def start() -> None:
        defer.ensureDeferred(go()).addErrback(lambda f: (failed.append(f), reactor.stop()))

    reactor.callWhenRunning(start)
    reactor.run()
    if failed:
        failed[0].raiseException()
    measuring.end(lines, out)
