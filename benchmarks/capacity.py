"""The slopes of docs/CAPACITY.md: state, messages, processor time and memory, by what they grow with.

    python -m benchmarks.capacity lists        memberships and worker lists: bytes, reading, taking, memory
    python -m benchmarks.capacity tail         what a tail does over and over
    python -m benchmarks.capacity records      sessions in one holder, to a million
    python -m benchmarks.capacity elects       elections at a pool owner
    python -m benchmarks.capacity prefixes     shared prefix parts, to 1.5 million
    python -m benchmarks.capacity routes       routes at the core and at a node
    python -m benchmarks.capacity places       elections at a node, what its placement holds, its upkeep
    python -m benchmarks.capacity sockets      what a message costs over a real connection
    python -m benchmarks.capacity fleet        hollow nodes and workers over the simulated network
    python -m benchmarks.capacity streams      requests and their streams through nodes that elect
    python -m benchmarks.capacity request     how much a load request by change has to tell
    python -m benchmarks.capacity losses       the same, while members come and go
    python -m benchmarks.capacity target DIR   the users' target, by the values that the runs left there (--out)

Processor time is real time of this thread's own work over that of a stated loop (`loop`),
measured right before it, so that figures of different machines can be set side by side.
"""

from __future__ import annotations

import collections.abc
import gc
import json
import os
import random
import statistics
import subprocess
import sys
import time
import tracemalloc
import types
import typing

import defopt
import loguru
import msgspec
import twisted.internet.defer as defer
import twisted.internet.task as task

import benchmarks.stand_ins as stand_ins
import iriswheel.configuration.configuration as configuration
import iriswheel.control.replica_store as replica_store
import iriswheel.dataplane.edge_protocol as edge_protocol
import iriswheel.dataplane.health as health
import iriswheel.dataplane.placement as placement
import iriswheel.dataplane.sessions as sessions
import iriswheel.membership.assignments as role_assignments
import iriswheel.membership.membership_manager as membership_manager
import iriswheel.node.node as node
import iriswheel.pools.pool_owner as pool_owner
import iriswheel.pools.session_replicas as session_replicas
import iriswheel.replication.replicated_state as replicated_state
import iriswheel.replication.snapshot_format as snapshot_format
import iriswheel.runtime.options as options
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import iriswheel.transport.http_server as http_server
import iriswheel.transport.message as message
import iriswheel.transport.wire as wire
import simulation.process_model as process_model
import simulation.processor_meter as processor_meter
import simulation.simulated_cluster as simulated_cluster

S = units.SECOND_US
ZONES = 10
POOLS = 29
NEVER_US = 10**13
LONG, LONG_SHARE = 3_720, 0.064  # prompt tokens of a long one, and how many are: as the users' present mix has it
LEAST_NS = 20_000_000  # a timing goes on for at least so long


# ---- how it is measured ---------------------------------------------------------


def loop(rounds: int = 1000) -> int:
    """The stated loop: what processor time is a ratio to.

    >>> loop()
    2139444377
    """
    table, x = {}, 1
    for _ in range(rounds):
        x = x * 69069 + 1 & 0xFFFFFFFF
        table[x & 255] = x
    return x


def spent(f: collections.abc.Callable[..., object], least: int = LEAST_NS) -> float:
    """Nanoseconds of this thread's time that one call of f takes, over as many as fill the least time.

    >>> spent(loop, 1000) > 0
    True
    """
    f()
    calls, total = 0, 0
    while total < least:
        started_at = time.thread_time_ns()
        f()
        total += time.thread_time_ns() - started_at
        calls += 1
    return total / calls


def ratio(f: collections.abc.Callable[..., object], least: int = LEAST_NS) -> float:
    """Processor time of f in loops.

    >>> ratio(loop, 1000) > 0
    True
    """
    gc.collect()
    gc.disable()
    try:
        one = spent(loop, least)
        return spent(f, least) / one
    finally:
        gc.enable()


def held(make: collections.abc.Callable[..., object]) -> int:
    """Bytes that stay allocated for what make() returns.

    >>> held(lambda: bytes(100_000)) > 100_000
    True
    """
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = make()
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before + 0 * bool(kept)
    finally:
        tracemalloc.stop()


class Measurements:
    """Measured values by line and size, and the straight lines through them.

    >>> ls = Measurements(); ls.put("roster", "members", "B", 8, 816); ls.put("roster", "members", "B", 16, 1616)
    >>> ls.fit("roster", "members")
    (100.0, 100.0, 100.0, 16.0, 1.0)
    """

    def __init__(self) -> None:
        # (line, by) -> (unit, {size: [value of each repeat]})
        self.rows: dict[tuple[str, str], tuple[str, dict[int, list[typing.Any]]]] = {}

    def put(self, line: str, by: str, unit: str, size: int, value: float) -> None:
        """Keep one value.

        >>> Measurements().put("roster", "members", "B", 8, 816)
        """
        self.rows.setdefault((line, by), (unit, {}))[1].setdefault(size, []).append(value)

    def fit(self, line: str, by: str) -> tuple[float, ...]:
        """Slope of the medians, least and greatest slope of a repeat, base, and R squared."""
        sizes = self.rows[line, by][1]
        xs = sorted(sizes)
        ys = [statistics.median(sizes[x]) for x in xs]
        slope, base = statistics.linear_regression(xs, ys)
        each = [
            statistics.linear_regression(xs, [sizes[x][k] for x in xs]).slope
            for k in range(min(len(v) for v in sizes.values()))
        ]
        flat = max(ys) - min(ys) <= 1e-9 * max(map(abs, ys))
        return slope, min(each), max(each), base, 1.0 if flat else statistics.correlation(xs, ys) ** 2

    def table(self) -> str:
        """A table of all lines."""
        out = [
            "| line | grows with | slope | repeats | at none | R² | sizes (value) |",
            "|---|---|---|---|---|---|---|",
        ]
        for (line, by), (unit, sizes) in self.rows.items():
            if len(sizes) < 2:
                continue
            slope, least, most, base, good = self.fit(line, by)
            seen = ", ".join(f"{x} ({short(statistics.median(v))})" for x, v in sorted(sizes.items()))
            out.append(
                f"| {line} | {by} | {short(slope)} {unit} | {short(least)} to {short(most)} "
                f"| {short(base)} | {good:.3f} | {seen} |"
            )
        return "\n".join(out)


def short(x: float) -> str:
    """A figure with three digits that count.

    >>> short(0.0123456), short(1234567), short(42)
    ('0.0123', '1,230,000', '42')
    """
    if abs(x) >= 100:
        digits = len(str(int(abs(x)))) - 3
        return f"{round(x, -digits):,.0f}"
    return f"{x:.3g}"


def end(lines: Measurements, out: str) -> None:
    """Print the table; with a file's name, keep the values there too."""
    print(lines.table(), flush=True)
    one = statistics.median(spent(loop) for _ in range(5))
    print(f"\nOne loop (1000 rounds) took {one / 1000:.1f} us here.")
    if out:
        with open(out, "w") as f:
            json.dump([[*key, unit, sizes] for key, (unit, sizes) in lines.rows.items()], f, indent=1)


# ---- hollow things ------------------------------------------------------------------


def members(n: int) -> list[message.Member]:
    """Members as long in their names as those of a real site.

    >>> len(members(3))
    3
    """
    return [
        message.Member(
            f"edge-zone{k % ZONES}-{k}-{k:012x}",
            f"edge-zone{k % ZONES}-{k}",
            f"zone{k % ZONES}",
            f"10.1.{k // 250}.{k % 250}",
            7300,
            8263,
        )
        for k in range(n)
    ]


def workers(n: int, pools: int = POOLS) -> list[message.Worker]:
    """Workers as the platform lists them.

    >>> workers(1)[0].pool
    'model-0'
    """
    return [
        message.Worker(f"i-{k:08x}", f"10.128.{k // 250}.{k % 250}", 8080, f"model-{k % pools}", "ready", 3 * S)
        for k in range(n)
    ]


def assignments(keys: list[str], ms: list[message.Member]) -> list[message.RoleAssignment]:
    """Seated role assignments over members.

    >>> [d.key for d in assignments(["list"], members(3))]
    ['list']
    """
    out = []
    for key in keys:
        holder, copies = role_assignments.group(key, ms, None)
        out.append(message.RoleAssignment(key, (3, 17), holder, copies, [holder, *copies], True))
    return out


def pool_keys(pools: int) -> list[str]:
    """The role assignments of a fleet with so many pools.

    >>> pool_keys(1)
    ['list', 'pool/model-0']
    """
    return ["list", *(f"pool/model-{k}" for k in range(pools))]


def memberships(n: int, w: int, p: int) -> message.Membership:
    """A membership of n members, w workers and p pools.

    >>> len(memberships(8, 20, 2).assignments)
    3
    """
    ms = members(n)
    voters = [message.Voter(f"{k:016x}", f"10.2.0.{k}", 7300, f"zone{k}") for k in range(5)]
    return message.Membership((3, 17), ms, workers(w, max(1, p)), assignments(pool_keys(p), ms), voters, (3, 1, 40))


def session_messages(n: int, w: int = 90) -> sessions.SessionTable:
    """Session records over w workers.

    >>> len(session_messages(10).records)
    10
    """
    book = sessions.SessionTable()
    for k in range(n):
        book.open(f"{k:024x}", f"i-{k % w:08x}", 0, 600 * S, 100)
    return book


def hollow(zone: str = "zone0") -> node.Node:
    """A node of its own, none of whose tasks runs; its clock stands at `node.clock`.

    >>> hollow().follower.applied_index
    0
    """
    clock = task.Clock()
    runtime = scheduler.Runtime(clock, now=lambda: int(clock.seconds() * S), seed=1)
    clock.advance(1000)
    o = options.Options(
        "node", name="edge-zone0-0", host="10.1.0.0", zone=zone, seeds=["10.2.0.0:7300"], platform="10.3.0.1:80"
    )
    n = node.Node(runtime, o)
    n.me = members(1)[0]
    n.clock = clock
    return n


def issuer(n: int, p: int, cores: int = 5) -> membership_manager.MembershipManager:
    """A tail's issuer with n members and p pools, its first membership issued.

    >>> len(issuer(8, 2).latest.members)
    8
    """
    clock = [1000 * S]
    runtime = types.SimpleNamespace(now=lambda: clock[0])
    view = message.View(3, [message.Voter(f"c{k}", f"10.2.0.{k}", 7300, f"zone{k}") for k in range(cores)], [])
    consensus = types.SimpleNamespace(view=view, tail=lambda: True, leased=lambda: True)
    out = membership_manager.MembershipManager(runtime, consensus, lambda: [f"model-{k}" for k in range(p)])
    out.restart()
    for m in members(n):
        out.seen[m.id] = membership_manager.SeenMember(clock[0], m, "c0")
    out.issue()
    clock[0] += S // 2
    out.issue()
    return out


def items(r: int, tenants: int = 470, pools: int = POOLS, election: str = "warden") -> dict[str, dict[str, typing.Any]]:
    """A configuration of r routes.

    >>> sorted(items(1, 1, 1))
    ['pools/model-0', 'routes/r0', 'terms/default', 'terms/t0']
    """
    out = {f"pools/model-{k}": {"cap": 0, "slots": 64, "long_slots": 16, "election": election} for k in range(pools)}
    out["terms/default"] = {}
    out.update({f"terms/t{k}": {"lifetime_us": 600 * S} for k in range(min(r, tenants))})
    for k in range(r):
        out[f"routes/r{k}"] = {
            "path": f"/{k:06x}/{k % 97:02x}/",
            "pool": f"model-{k % pools}",
            "terms": f"t{k % tenants}",
            "zones": [] if k % 4 else [f"zone{k % ZONES}"],
        }
    return out


# ---- lines -----------------------------------------------------------------------------


def lists(
    *,
    sizes: list[int] = (8, 32, 128, 370),
    listed: list[int] = (36, 260, 1300, 2600),
    pools: list[int] = (1, 8, 29),
    repeats: int = 5,
    out: str = "",
) -> None:
    """Rosters and worker lists: bytes, making, reading, taking at a node, memory.

    :param sizes: members
    :param listed: workers
    :param pools: pools
    :param repeats: how often each is measured
    :param out: file for the values
    """
    lines = Measurements()

    def look(by: str, size: int, r: message.Membership) -> None:
        raw = wire.encoder.encode(wire.Envelope(wire.TELL, 0, message.MembershipUpdate(r)))
        lines.put("a membership on the wire", by, "B", size, len(raw))
        lines.put("a membership read", by, "loops", size, ratio(lambda: wire.decoder.decode(raw)))
        lines.put(
            "a membership written",
            by,
            "loops",
            size,
            ratio(lambda: wire.encoder.encode(wire.Envelope(0, 0, message.MembershipUpdate(r)))),
        )
        other = wire.decoder.decode(raw).msg.membership
        n, version = hollow(), [17]

        def take() -> None:
            version[0] += 1
            n.follower.apply_membership(
                message.Membership(
                    (3, version[0]), other.members, other.workers, other.assignments, other.cores, (3, 1, version[0])
                )
            )

        lines.put("a membership taken at a node, nothing changed", by, "loops", size, ratio(take))
        lines.put("a membership held at a node", by, "B", size, held(lambda: _taken(raw)))

    for _ in range(repeats):
        for n in sizes:
            look("members", n, memberships(n, 36, 1))
        for w in listed:
            look("workers", w, memberships(8, w, 1))
        for p in pools:
            look("pools", p, memberships(8, 36, p))
        for w in listed:
            ws = workers(w)
            parcel = wire.Envelope(wire.TELL, 0, message.ForwardedListing(message.WorkerListing(ws, (3, 1, 40))))
            raw = wire.encoder.encode(parcel)
            lines.put("a worker list on the wire", "workers", "B", w, len(raw))
            lines.put("a worker list written", "workers", "loops", w, ratio(lambda: wire.encoder.encode(parcel)))
            lines.put("a worker list read", "workers", "loops", w, ratio(lambda: wire.decoder.decode(raw)))
            n = hollow()
            n.follower.apply_listing(message.WorkerListing(ws, (3, 1, 40)))
            same = wire.decoder.decode(raw).msg.listing
            lines.put(
                "a worker list taken at a node, nothing changed",
                "workers",
                "loops",
                w,
                ratio(lambda: n.follower.apply_listing(same)),
            )
            page = json.dumps(
                {
                    "workers": [
                        {
                            "id": x.id,
                            "host": x.host,
                            "port": x.port,
                            "pool": x.pool,
                            "state": x.state,
                            "drain_deadline_ms": 3000,
                        }
                        for x in ws
                    ]
                }
            ).encode()
            lines.put("the platform's list", "workers", "B", w, len(page))
            lines.put(
                "the platform's list read",
                "workers",
                "loops",
                w,
                ratio(lambda: n.follower.believe(edge_protocol.workers(page))),
            )
    end(lines, out)


def _taken(raw: bytes) -> node.Node:
    n = hollow()
    n.follower.apply_membership(wire.decoder.decode(raw).msg.membership)
    return n


def tail(
    *, sizes: list[int] = (8, 32, 128, 370), pools: list[int] = (1, 8, 29), repeats: int = 5, out: str = ""
) -> None:
    """What a tail does ten times a second and at each word of a core: look whether a membership is due.

    :param sizes: members
    :param pools: pools
    :param repeats: how often each is measured
    :param out: file for the values
    """
    lines = Measurements()
    for _ in range(repeats):
        for p in pools:
            for n in sizes:
                iss = issuer(n, p)
                lines.put(f"a look for news at the tail, {p} pools", "members", "loops", n, ratio(iss.issue))
                table = message.NodeSessionsReport("c0", 3, members(n), [0] * n, None, [], None)
                lines.put(
                    f"a core's word taken at the tail, {p} pools", "members", "loops", n, ratio(lambda: iss.take(table))
                )
        for n in sizes:
            table = message.NodeSessionsReport("c0", 3, members(n), [0] * n, None, [], None)
            raw = wire.encoder.encode(wire.Envelope(wire.TELL, 0, table))
            lines.put("a core's word on the wire", "members", "B", n, len(raw))
            lines.put(
                "a core's word written and read",
                "members",
                "loops",
                n,
                ratio(lambda: wire.decoder.decode(wire.encoder.encode(wire.Envelope(0, 0, table)))),
            )
    end(lines, out)


def records(*, sizes: list[int] = (10_000, 100_000, 1_000_000), repeats: int = 3, out: str = "") -> None:
    """Session records in one holder: single steps, the sweep, whole copies, memory.

    :param sizes: sessions
    :param repeats: how often each is measured
    :param out: file for the values
    """
    lines = Measurements()
    few = 2_000  # of the single steps, measured as one

    for _ in range(repeats):
        for n in sizes:
            lines.put("session records held at their pool owner", "sessions", "B", n, held(lambda: session_messages(n)))
            book = session_messages(n)
            names = [f"{k * 7919 % n:024x}" for k in range(few)]

            def turns() -> None:
                for name in names:
                    book.extend(book.affinity(name), 5)

            def openings() -> None:
                for k in range(few):
                    book.open(f"new-{k}", f"i-{k % 90:08x}", 0, 600 * S, 100)
                for k in range(few):
                    book.close(f"new-{k}")

            lines.put("a turn noted", "sessions", "loops", n, ratio(turns) / few)
            lines.put("a session opened and closed", "sessions", "loops", n, ratio(openings) / few)
            lines.put("a sweep that finds nothing", "sessions", "loops", n, ratio(lambda: book.sweep(0)))
            table = [sessions.to_message(r, 0) for r in book.records.values()]
            copy = message.ReplicateRecords("model-0", (3, 17), members(1)[0].id, table, [], [], True, 0)
            raw = wire.encoder.encode(wire.Envelope(wire.CALL, 7, copy))
            lines.put("a whole copy on the wire", "sessions", "B", n, len(raw))
            lines.put(
                "a whole copy made and written",
                "sessions",
                "loops",
                n,
                ratio(
                    lambda: wire.encoder.encode(
                        wire.Envelope(
                            1,
                            7,
                            message.ReplicateRecords(
                                "model-0",
                                (3, 17),
                                "",
                                [sessions.to_message(r, 0) for r in book.records.values()],
                                [],
                                [],
                                True,
                                0,
                            ),
                        )
                    )
                ),
            )
            lines.put(
                "a whole copy read and shelved",
                "sessions",
                "loops",
                n,
                ratio(lambda: session_replicas.SessionReplica().take(wire.decoder.decode(raw).msg, 0)),
            )
            session_replica = session_replicas.SessionReplica()
            session_replica.take(copy, 0)
            lines.put(
                "a shelf frozen at a core",
                "sessions",
                "loops",
                n,
                ratio(lambda: replica_store.encode_session_replica(session_replica, 5)),
            )
            lines.put(
                "a shelf's bytes on a core's disk",
                "sessions",
                "B",
                n,
                len(replica_store.encode_session_replica(session_replica, 5)),
            )
            lines.put("a shelf's memory", "sessions", "B", n, held(lambda: _shelved(raw)))
            del book, table, copy, raw, session_replica
    end(lines, out)


def _shelved(raw: typing.Any) -> typing.Any:
    session_replica = session_replicas.SessionReplica()
    session_replica.take(wire.decoder.decode(raw).msg, 0)
    return session_replica


def chief(w: int, s: int, parts: int = 0) -> pool_owner.PoolOwner:
    """A pool owner of one pool with w ready workers, s sessions and so many prefix parts on each worker.

    >>> chief(3, 10).pool
    'model-0'
    """
    n = hollow()
    ws = workers(w, 1)
    n.follower.apply_listing(message.WorkerListing(ws, (3, 1, 40)))
    out = pool_owner.PoolOwner(n, "model-0", assignments(["pool/model-0"], members(3))[0])
    out.session_table = session_messages(s, w)
    for x in ws:
        out.prefixes[x.id] = {f"{x.id}-{k}": None for k in range(parts)}
    return out


def query(k: int, prefix: collections.abc.Sequence[str] = ("system", "bundle")) -> message.SelectWorker:
    """A question for a worker.

    >>> query(1).request_id
    'x1'
    """
    return message.SelectWorker(
        "model-0",
        (3, 17),
        "n",
        f"n-{k}/0",
        f"x{k}",
        1,
        True,
        "",
        list(prefix),
        200,
        False,
        [],
        {"lifetime_us": 600 * S, "cost": 100},
        S,
    )


def selections(
    *,
    listed: list[int] = (9, 90, 900, 2600),
    sizes: list[int] = (1_000, 10_000, 100_000),
    repeats: int = 5,
    out: str = "",
) -> None:
    """A pool owner's choice for one request, by the workers of its pool and by its open sessions.

    :param listed: workers of the pool
    :param sizes: sessions of the pool
    :param repeats: how often each is measured
    :param out: file for the values
    """
    lines = Measurements()
    pool = configuration.Pool(cap=0)
    for _ in range(repeats):
        for w in listed:
            c = chief(w, 0)
            lines.put(
                "a worker chosen, no sessions", "workers of the pool", "loops", w, ratio(lambda: c.pick(query(1), pool))
            )
        for s in sizes:
            c = chief(90, s)
            lines.put(
                "a worker chosen, 90 workers", "sessions of the pool", "loops", s, ratio(lambda: c.pick(query(1), pool))
            )
    end(lines, out)


def prefixes(*, sizes: list[int] = (15_000, 150_000, 1_500_000), repeats: int = 3, out: str = "") -> None:
    """Shared prefix parts in one pool owner's tables, without their bound of 256 a worker.

    :param sizes: parts in all
    :param repeats: how often each is measured
    :param out: file for the values
    """
    lines = Measurements()
    pool = configuration.Pool(cap=0)
    for _ in range(repeats):
        for x in sizes:
            per = x // 2600
            lines.put(
                "prefix parts held",
                "parts",
                "B",
                x,
                held(lambda: {f"i-{w:08x}": {f"{w * per + k:08x}": None for k in range(per)} for w in range(2600)}),
            )
            c = chief(90, 0, x // 90)
            q = query(1, [f"i-{7:08x}-{k}" for k in range(4)])
            lines.put("a worker chosen by parts, 90 workers", "parts", "loops", x, ratio(lambda: c.pick(q, pool)))
    end(lines, out)


def routes(*, sizes: list[int] = (100, 500, 2000, 5000), repeats: int = 5, out: str = "") -> None:
    """Routes: a plan and its check, the chain, the cut for one node, the taking there, a request's way.

    :param sizes: routes
    :param repeats: how often each is measured
    :param out: file for the values
    """
    lines = Measurements()
    for _ in range(repeats):
        for r in sizes:
            had = items(r)
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
                ratio(
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
                ratio(lambda: two.apply(message.LogEntry(4, 1, "confirm", "2-b"))),
            )
            lines.put("a frame on a core's disk", "routes", "B", r, len(snapshot_format.encode(ledger)))
            lines.put("a frame written", "routes", "loops", r, ratio(lambda: snapshot_format.encode(ledger)))
            lines.put(
                "a slice cut and compared for one node",
                "routes",
                "loops",
                r,
                ratio(
                    lambda: configuration.difference(
                        configuration.slice_for_node(ledger.items, "zone0"),
                        configuration.slice_for_node(two.items, "zone0"),
                    )
                )
                / 2,
            )
            n = hollow()
            slice = configuration.slice_for_node(had, "zone0")
            n.follower.apply_items(1, slice, True)
            place = [1]

            def take() -> None:
                place[0] += 1
                n.follower.apply_items(place[0], dict(change), False)

            lines.put("a change of one route taken at a node", "routes", "loops", r, ratio(take))
            lines.put("a slice held at a node", "routes", "B", r, held(lambda: _sliced(slice)))
            path = f"/{r - 1:06x}/{(r - 1) % 97:02x}/x"
            lines.put(
                "a request's route found", "routes", "loops", r, ratio(lambda: n.follower.find("host.example", path))
            )
    end(lines, out)


def _sliced(slice: dict[str, dict[str, typing.Any]]) -> node.Node:
    n = hollow()
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
    lines = Measurements()
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
                ratio(lambda: place.pick(shared, cut, 291, names, pool, set())),
            )
            count = [0]

            def fresh() -> None:
                count[0] += 1
                place.pick(shared, placement.chain([f"{count[0]:08x}", "b", "c", "d"]), 291, names, pool, set())

            lines.put("a worker chosen at a node, a part never ranked", "workers of the pool", "loops", w, ratio(fresh))
            lines.put(
                "the ready workers listed for an election",
                "workers",
                "loops",
                w,
                ratio(lambda: n.gateway.forwarder.ready("model-0")),
            )
            lines.put(
                "others' loads held", "workers", "B", w, held(lambda: {k: (22, 900, 0) for k in map(str.upper, names)})
            )
        for k in keys:
            lines.put("ranks held, 90 workers", "parts ranked", "B", k, held(lambda: ranked(k, 90)))
        for x in parts:
            lines.put("parts held of the workers at a node", "parts", "B", x, held(lambda: kept(x)))
        for x in (1_000, 4_000, 16_000):
            lines.put("first turns held at a node", "first turns", "B", x, held(lambda: tried(x)))
        for x in sizes:
            lines.put("sessions held at a node", "sessions", "B", x, held(lambda: session_messages(x)))
        for p in pools:
            n = active(2600, p)
            for k in range(p):
                n.gateway.forwarder.placement_of(f"model-{k}")
            lines.put("the sweep of a node's placements, 2600 workers", "pools", "loops", p, ratio(lambda: swept(n)))
    end(lines, out)


def active(w: int, p: int = 1) -> node.Node:
    """A hollow node that knows w workers of p pools.

    >>> active(3).gateway.forwarder.ready("model-0")
    ['i-00000000', 'i-00000001', 'i-00000002']
    """
    n = hollow()
    n.follower.apply_listing(message.WorkerListing(workers(w, p), (3, 1, 40)))
    return n


def ranked(k: int, w: int) -> placement.Placement:
    """A placement that has ranked w workers for k parts.

    >>> len(ranked(2, 3).ranks)
    2
    """
    place, names = hollow().gateway.forwarder.placement_of("model-0"), [x.id for x in workers(w, 1)]
    for key in range(k):
        place.rank(key.to_bytes(8, "big"), tuple(names))  # each election makes its own, as here
    return place


def tried(x: int) -> placement.Placement:
    """A placement with x first turns that may yet become sessions.

    >>> len(tried(3).trials)
    3
    """
    place = hollow().gateway.forwarder.placement_of("model-0")
    for k in range(x):
        place.turn(k.to_bytes(8, "big"), f"i-{k % 2600:08x}", configuration.Terms(), 0)
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
    place = hollow().gateway.forwarder.placement_of("model-0")
    for k in range(x):
        place.at(f"i-{k % 2600:08x}").note([k.to_bytes(8, "big")], [800 + k % 64])
    return place


def swept(n: node.Node) -> None:
    """What a node's forwarder does once a second."""
    follower = n.follower
    n.gateway.forwarder.lines.sweep({w.id for w in follower.workers if w.state != "gone"})
    for pool, p in n.gateway.forwarder.placements.items():
        p.sweep({w.id for w in follower.workers if w.pool == pool and w.state == "ready"})


def sockets(*, sizes: list[int] = (0, 100, 1000), calls: int = 2000, repeats: int = 5, out: str = "") -> None:
    """What a message costs over a real connection, both sides of it in this process: calls, one after the other.

    :param sizes: session records in each question
    :param calls: how many each time
    :param repeats: how often each is measured
    :param out: file for the values
    """
    import twisted.internet.reactor as reactor

    lines, runtime = Measurements(), scheduler.Runtime(reactor)
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
                    [sessions.to_message(r, 0) for r in session_messages(n).records.values()],
                    [],
                    [],
                )
                raw = wire.encoder.encode(wire.Envelope(1, 1, copy))
                one = spent(loop)
                started_at = time.thread_time_ns()
                for _ in range(calls):
                    await connection.call(copy, 5 * S)
                took = (time.thread_time_ns() - started_at) / calls / 2 / one
                bare = ratio(lambda: wire.decoder.decode(wire.encoder.encode(wire.Envelope(1, 1, copy)))) / 2
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
    end(lines, out)


# ---- hollow fleets ---------------------------------------------------------------------


class Fleet(simulated_cluster.SimulatedCluster):
    """Real cores and nodes without traffic, before workers that one process stands in for."""

    def __init__(
        self,
        seed: int,
        nodes: int = 8,
        listed: int = 36,
        pools: int = 1,
        routes: int = 0,
        walking: bool = True,
        election: str = "warden",
    ) -> None:
        document = configuration.unflatten(items(max(routes, pools), pools=pools, election=election))
        super().__init__(
            seed, "small", 0, 0, 0, configuration=document, halls=[f"zone{k % ZONES}" for k in range(nodes)]
        )
        self.worker_count, self.pool, self.pools, self.walking = listed, "model-0", pools, walking
        self.probing = False
        self.standing: process_model.SimulatedProcess | None = None  # the process of all workers
        self.meter = processor_meter.Meter()

    def start_worker(self, name: str, host: str) -> None:
        if self.standing is None:
            self.standing = process_model.SimulatedProcess(self.world, "workers", self.machine("10.0.3.1", "zone0"))
            self.stand_in_runtime = self.standing.runtime()
        k = len(self.workers)
        w = self.workers[name] = stand_ins.Worker(self.stand_in_runtime, name, self.tape)
        self.listen(self.standing, 9001 + k, http_server.Server(self.stand_in_runtime, w.handle))
        self.platform.put(name, host="10.0.3.1", port=9001 + k, pool=f"model-{k % self.pools}", state="ready")

    def start_node(self, name: str, host: str, zone: str) -> None:
        was = health.WALK_US
        if not self.walking:  # with many nodes and workers the knocks drown the rest
            health.WALK_US = NEVER_US
        try:
            super().start_node(name, host, zone)
        finally:
            health.WALK_US = was

    def load_up(self, rate: float, lasts: int) -> None:
        """Let every node have so many sends a second under way, each for so many seconds; none of them is sent."""
        for n in self.nodes.values():
            for _ in range(int(rate * lasts)):
                n.runtime.spawn(self.stream(n, lasts * n.runtime.rng.random()), simulated_cluster.log)
            n.runtime.spawn(self.arrivals(n, rate, lasts), simulated_cluster.log)

    async def arrivals(self, n: node.Node, rate: float, lasts: int) -> None:
        """One node's hollow sends."""
        while True:
            await n.runtime.sleep(int(n.runtime.rng.expovariate(rate) * S))
            n.runtime.spawn(self.stream(n, lasts), simulated_cluster.log)

    async def stream(self, n: node.Node, lasts: float) -> None:
        """One hollow send: counted where a real one would be."""
        pool = f"model-{n.runtime.rng.randrange(self.pools)}"
        place, names = n.gateway.forwarder.placement_of(pool), n.gateway.forwarder.ready(pool)
        name = names[n.runtime.rng.randrange(len(names))]
        tokens = place.begin(name, [], [], LONG if n.runtime.rng.random() < LONG_SHARE else 400)
        await n.runtime.sleep(100 * units.MILLISECOND_US)
        place.first(name, tokens)
        await n.runtime.sleep(int(lasts * S))
        place.end(name, 0)

    def roles(self) -> dict[str, str]:
        """Each process's role now: tail, other core, lister, pool owner, node."""
        r = max((n.follower.membership for n in self.nodes.values()), key=lambda r: r.version)
        by_key = {d.key: d for d in r.assignments}
        out = {name: "tail" if c.consensus.tail() else "core" for name, c in self.cores.items()}
        names = {m.id: m.name for m in r.members}
        out.update({m.name: "node" for m in r.members})
        for d in r.assignments:
            for i in [*d.copies, d.holder]:
                if d.key.startswith("pool/"):
                    out[names[i]] = "warden" if i == d.holder or out[names[i]] == "warden" else "copy"
        out[names[by_key["list"].holder]] = "lister"
        return out

    def metered(self, seconds: int) -> dict[str, dict[str, float]]:
        """Let time pass with the meter on; what each process took, sent, got and spent a second."""
        self.meter = processor_meter.Meter()
        gc.collect()
        gc.disable()
        one = statistics.median(spent(loop) for _ in range(5))
        self.world.meter = self.meter
        self.go(seconds)
        self.world.meter = None
        gc.enable()
        ours = {*self.cores, *self.nodes}
        out = {
            name: {
                "loops": self.meter.spent[name] / one / seconds,
                "step": self.meter.longest[name] / one,
                "out": 0,
                "out_bytes": 0,
                "in": 0,
                "in_bytes": 0,
                "outer": 0,
            }
            for name in ours
        }
        for (a, b), (n, size) in self.meter.sent.items():
            for name, way, other in ((a, "out", b), (b, "in", a)):
                if name in ours and other in ours:
                    out[name][way] += n / seconds
                    out[name][f"{way}_bytes"] += size / seconds
                elif name in ours:
                    out[name]["outer"] += n / seconds
        return out

    def between(self, seconds: int) -> dict[str, float]:
        """Bytes that the meter counted between cores and nodes, a second."""
        kind = {**dict.fromkeys(self.cores, "core"), **dict.fromkeys(self.nodes, "node")}
        out = {f"{a} {b}": 0 for a in ("core", "node") for b in ("core", "node")}
        for (a, b), (_, size) in self.meter.sent.items():
            if a in kind and b in kind:
                out[f"{kind[a]} {kind[b]}"] += size / seconds
        return out

    def by_role(self, got: dict[str, dict[str, float]]) -> dict[str, dict[str, float]]:
        """The middle of what the processes of each role took."""
        groups = {}
        for name, role in self.roles().items():
            if name in got:
                groups.setdefault(role, []).append(got[name])
        return {
            role: {what: statistics.median(r[what] for r in rows) for what in rows[0]}
            for role, rows in sorted(groups.items())
        }


UNITS = {
    "loops": "loops/s",
    "step": "loops",
    "out": "/s",
    "out_bytes": "B/s",
    "in": "/s",
    "in_bytes": "B/s",
    "outer": "/s",
}


def show(what: str, rows: dict[typing.Any, typing.Any]) -> None:
    """Print what each role took.

    >>> show("quiet", {})
    """
    for role, r in rows.items():
        print(
            f"| {what} | {role} | {short(r['loops'])} | {short(r['step'])} | {short(r['in'])} | {short(r['in_bytes'])} "
            f"| {short(r['out'])} | {short(r['out_bytes'])} | {short(r['outer'])} |",
            flush=True,
        )


def fleet(
    *,
    sizes: list[int] = (8, 32, 128, 370),
    listed: list[int] = (36, 260, 1300, 2600),
    pools: list[int] = (1, 8, 29),
    routes: int = 100,
    seconds: float = 4,
    seed: int = 1,
    walking: bool = False,
    election: str = "warden",
    rate: float = 0,
    lasts: float = 19,
    out: str = "",
) -> None:
    """Hollow fleets when all is quiet: by nodes, by workers, by pools; then the greatest of each at once.

    With a rate, and election at the node, sends are counted under way as if they were made: so
    the load request has something to tell.

    :param sizes: nodes
    :param listed: workers
    :param pools: pools
    :param routes: routes
    :param seconds: simulated time that is counted
    :param seed: the run's seed
    :param walking: whether nodes knock at workers that they do not hear
    :param election: pool owner or node
    :param rate: hollow sends a second at each node
    :param lasts: how many seconds each is under way
    :param out: file for the values
    """
    lines = Measurements()
    print(
        "| fleet | role | loops/s | longest step, loops | messages in/s | B/s in | out/s | B/s out "
        "| writes to others/s |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    runs = [("nodes", n, (n, listed[0], pools[0])) for n in sizes]
    runs += [("workers", w, (sizes[0], w, pools[0])) for w in listed]
    runs += [("pools", p, (sizes[-2], listed[0], p)) for p in pools]  # enough nodes that some have no role
    runs += [("all at once", sizes[-1], (sizes[-1], listed[-1], pools[-1]))]
    for by, size, (n, w, p) in runs:
        f = Fleet(seed, n, w, p, routes, walking, election)
        f.begin()
        if rate:
            f.load_up(rate, lasts)
        f.go(3)
        rows = f.by_role(f.metered(seconds))
        show(f"{n} nodes, {w} workers, {p} pools", rows)
        for role, r in rows.items():
            for what, value in r.items():
                lines.put(f"{role}: {what}", by, UNITS[what], size, value)
    end(lines, out)


def streams(
    *,
    rates: list[int] = (10, 20, 40),
    events: list[int] = (12, 48, 96),
    listed: int = 36,
    seconds: float = 6,
    repeats: int = 3,
    election: str = "node",
    out: str = "",
) -> None:
    """Real requests through four nodes: processor time by requests and by the events of their streams.

    :param rates: requests a second at all nodes together, of the fewest events each
    :param events: events of each answer, at the least rate
    :param listed: workers
    :param seconds: simulated time that is counted
    :param repeats: how many seeds
    :param election: pool owner or node
    :param out: file for the values
    """
    lines = Measurements()
    was = stand_ins.SHORT_TOKENS
    try:
        for seed in range(1, repeats + 1):
            for by, rate, n in [
                *(("requests/s", r, events[0]) for r in rates),
                *(("events/s", rates[0], e) for e in events),
            ]:
                stand_ins.SHORT_TOKENS = n
                f = Fleet(seed, 4, listed, 1, 10, False, election)
                f.configuration["routes"]["all"] = {"path": "/v1", "pool": "model-0", "terms": "t0"}
                f.rates = (0, rate, 0)
                f.begin()
                f.go(8)
                before = sum(n.gateway.counts["exchanges"] for n in f.nodes.values())
                got = f.metered(seconds)
                done = (sum(n.gateway.counts["exchanges"] for n in f.nodes.values()) - before) / seconds
                loops = sum(got[x]["loops"] for x in f.nodes)
                lines.put(
                    "requests through nodes" if by == "requests/s" else "events through nodes",
                    by,
                    "loops",
                    rate if by == "requests/s" else rate * n,
                    loops,
                )
                lines.put("requests seen", by, "/s", rate if by == "requests/s" else rate * n, done)
    finally:
        stand_ins.SHORT_TOKENS = was
    end(lines, out)


def exchange(
    *,
    listed: int = 2600,
    rate: float = 3000,
    lasts: float = 19,
    seconds: int = 12,
    seed: int = 1,
    spans: list[float] = (0.15, 0.5, 1, 2),
    steps: list[int] = (1, 3, 6),
) -> None:
    """Rows that a load request by change has to tell one node, by how often it tells and from which change on.

    Sends begin at random workers at the fleet's rate, long prompts among them, and each ends after its
    time; a row is told when running requests changed by the step, or tokens to read by 1,000 a step.

    :param listed: workers
    :param rate: sends a second at all nodes together
    :param lasts: how many seconds each is under way
    :param seconds: simulated time that is counted
    :param seed: the run's seed
    :param spans: seconds between two tellings
    :param steps: the least change that is told
    """
    rng = random.Random(seed)
    names = [x.id for x in workers(listed)]
    print(
        "| a telling every | told from a change of | rows a second | B/s into a node, as rows travel today "
        "| packed, 5 B a row |"
    )
    print("|---|---|---|---|---|")
    events = []  # (when, worker, running, tokens)
    for _ in range(int(rate * (lasts + seconds))):
        at, w = rng.random() * (lasts + seconds) - lasts, rng.randrange(listed)
        tokens = LONG if rng.random() < LONG_SHARE else 400
        events += [(at, w, 1, tokens), (at + 0.1, w, 0, -tokens), (at + lasts, w, -1, 0)]
    events.sort()
    for span in spans:
        for step in steps:
            now, table = [[0, 0] for _ in names], [[0, 0] for _ in names]
            count = size = k = 0
            for heartbeat_timer in range(int(seconds / span)):
                while k < len(events) and events[k][0] < heartbeat_timer * span:
                    _, w, running, tokens = events[k]
                    now[w][0] += running
                    now[w][1] += tokens
                    k += 1
                some = [
                    w
                    for w in range(listed)
                    if abs(now[w][0] - table[w][0]) >= step or abs(now[w][1] - table[w][1]) >= 1000 * step
                ]
                for w in some:
                    table[w] = list(now[w])
                if heartbeat_timer:
                    count += len(some)
                    size += len(
                        wire.encoder.encode(
                            wire.Envelope(
                                0,
                                0,
                                message.LoadReport(
                                    "c0ffee", False, {"model-0": [(names[w], *now[w], 0) for w in some]}
                                ),
                            )
                        )
                    )
            print(
                f"| {span:g} s | {step} | {short(count / seconds)} | {short(size / seconds)} "
                f"| {short(5 * count / seconds)} |",
                flush=True,
            )


WHATS = ("change", "restart", "worker", "zone", "tail", "cut")


def losses(
    *,
    sizes: list[int] = (8, 32, 128),
    listed: int = 36,
    pools: int = 1,
    routes: int = 100,
    repeats: int = 3,
    election: str = "warden",
    only: list[str] = WHATS,
    out: str = "",
) -> None:
    """Hollow fleets while something happens: until when all know, and what it costs beyond the quiet.

    change: a route is changed; restart: a node ends and another life of it starts; worker: a worker
    leaves; zone: a tenth of the nodes lose power; tail: the tail ends; cut: a third of the nodes is
    cut off from the core and from the rest for ten seconds.

    :param sizes: nodes
    :param listed: workers
    :param pools: pools
    :param routes: routes
    :param repeats: how many seeds
    :param election: pool owner or node
    :param only: what happens
    :param out: file for the values
    """
    lines = Measurements()
    print(
        "| what | nodes | all know after, ms | B between cores | B from cores to nodes | B between nodes "
        "| B into a node "
        "| loops of the busiest core | loops of a node | longest step of a node, loops |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for what in only:
        for n in sizes:
            rows = [
                lost(Fleet(seed, n, listed, pools, routes, False, election), what) for seed in range(1, repeats + 1)
            ]
            for r in rows:
                size = r.pop("roster")
                if what in ("tail", "cut"):
                    lines.put(f"{what}: between nodes", "pairs of nodes", "B", n * (n - 1), r["node node"])
                elif what == "change":
                    lines.put(f"{what}: between cores", "nodes", "B", n, r["core core"])
                    lines.put(f"{what}: busiest core", "nodes", "loops", n, r["busiest"])
                else:
                    lines.put(f"{what}: from cores to nodes", "nodes x membership bytes", "B", n * size, r["core node"])
                lines.put(f"{what}: all know after", "nodes", "ms", n, r["ms"])
                lines.put(f"{what}: into a node", "nodes", "B", n, r["into"])
            mid = {k: statistics.median(r[k] for r in rows) for k in rows[0]}
            print(
                f"| {what} | {n} | {mid['ms']:.0f} ({min(r['ms'] for r in rows):.0f} to "
                f"{max(r['ms'] for r in rows):.0f}) | "
                + " | ".join(
                    short(mid[k]) for k in ("core core", "core node", "node node", "into", "busiest", "node", "step")
                )
                + " |",
                flush=True,
            )
    print()
    end(lines, out)


def lost(f: Fleet, what: str) -> dict[str, float]:
    """What it costs a fleet that something happens, beyond its quiet; "membership" is the size of its membership."""
    f.begin()
    f.go(4)
    size = len(
        wire.encoder.encode(
            wire.Envelope(0, 0, message.MembershipUpdate(next(iter(f.nodes.values())).follower.membership))
        )
    )
    quiet, still = f.metered(4), f.between(4)
    one = statistics.median(spent(loop) for _ in range(5))
    started_at = f.world.time
    f.world.meter = f.meter = processor_meter.Meter()
    gc.collect()
    gc.disable()
    happen(f, what)
    f.world.meter = None
    gc.enable()
    took = (f.world.time - started_at) / S
    live = [x for x in quiet if f.world.processes[x].alive]
    into = dict.fromkeys(live, 0)
    for (a, b), (_, size_) in f.meter.sent.items():
        if b in into and a in quiet:
            into[b] += size_
    loops = {x: f.meter.spent[x] / one - quiet[x]["loops"] * took for x in live}
    nodes = [x for x in live if x in f.nodes]
    out = {
        "roster": size,
        "ms": took * 1000,
        "busiest": max(loops[x] for x in live if x in f.cores),
        "node": statistics.median(loops[x] for x in nodes),
        "into": statistics.median(into[x] - quiet[x]["in_bytes"] * took for x in nodes),
        "step": max(f.meter.longest[x] for x in nodes) / one,
    }
    now = f.between(1)
    return out | {k: now[k] - still[k] * took for k in now}


def happen(f: Fleet, what: str) -> None:
    """Let something happen to a fleet, and go on until all know."""
    live = lambda: [x for x in f.nodes.values() if x.process.alive]  # noqa: E731
    names = lambda x: {m.id for m in x.follower.membership.members}  # noqa: E731
    mine = [x for name, x in f.nodes.items() if f.roles()[name] == "node"] or list(f.nodes.values())
    match what:
        case "change":
            done = f.operator_runtime.spawn(f.operator.change(f.with_probe(f.probe + 1)), simulated_cluster.log)
            f.until(lambda: done.called, 30)
        case "restart":
            x = mine[0]
            name, (host, zone) = x.me.name, f.options[x.me.name]
            x.process.kill()
            f.go(0.1)
            f.start_node(name, host, zone)
            f.until(lambda: all(f.nodes[name].me.id in names(y) for y in live()), 30)
        case "worker":
            f.platform.put("w1", state="leaving")
            f.until(
                lambda: all(
                    y.follower.state("w1") == "leaving" and y.follower.membership.workers[0].state == "leaving"
                    for y in live()
                ),
                30,
            )
        case "zone":
            gone = {x.me.id for x in f.nodes.values() if x.me.zone == "zone5"}
            for x in f.nodes.values():
                if x.me.zone == "zone5":
                    x.process.host.fail()
            f.until(lambda: all(not gone & names(y) for y in live()), 30)
        case "tail":
            was = f.tail().consensus.view.number
            f.tail().process.kill()
            f.until(
                lambda: all(y.follower.membership.version[0] > was and y.follower.session.stands() for y in live()), 60
            )
        case "cut":
            some = [x.process.host.host for x in f.nodes.values() if int(x.me.zone[4:]) % 3 == 1]
            rest = [h for h in f.world.machines if h not in some]
            f.world.cut(some, rest)
            f.go(10)
            f.world.heal()
            f.until(lambda: all(len(names(y)) == len(f.nodes) and y.follower.session.stands() for y in live()), 60)


TARGET = dict(
    nodes=370,
    workers=2600,
    pools=29,
    routes=2000,
    requests=3000,
    streams_s=19,
    sessions=1_000_000,
    parts=1_500_000,
    changes=5600,
    restarts=235,
    words=3,
    cores=7,
)


class Known:
    """Values of earlier runs, read from their files."""

    def __init__(self, folder: typing.Any) -> None:
        self.files: dict[typing.Any, typing.Any] = {}
        for name in sorted(os.listdir(folder)):
            if name.endswith(".json"):
                lines = self.files[name[:-5]] = Measurements()
                with open(os.path.join(folder, name)) as f:
                    for line, by, unit, sizes in json.load(f):
                        lines.rows[line, by] = (unit, {int(x): v for x, v in sizes.items()})

    def slope(self, name: typing.Any, line: typing.Any, by: typing.Any) -> typing.Any:
        """The slope of a line."""
        return self.files[name].fit(line, by)[0]

    def at(self, name: typing.Any, line: typing.Any, by: typing.Any, x: typing.Any) -> typing.Any:
        """A line's value at a size: measured, or between two measured ones, or beyond them along the slope."""
        sizes = self.files[name].rows[line, by][1]
        if x in sizes:
            return statistics.median(sizes[x])
        below, above = max((n for n in sizes if n < x), default=None), min((n for n in sizes if n > x), default=None)
        if below is not None and above is not None:
            low, high = statistics.median(sizes[below]), statistics.median(sizes[above])
            return low + (high - low) * (x - below) / (above - below)
        slope, _, _, base, _ = self.files[name].fit(line, by)
        return base + slope * x


def target(folder: str) -> None:
    """What the target needs, by the values that the runs left in a folder (their `--out` files).

    :param folder: where lists.json, tail.json and the others are
    """
    k, t = Known(folder), types.SimpleNamespace(**TARGET)
    out = []

    def put(
        role: typing.Any, what: typing.Any, how: typing.Any, value: typing.Any, unit: typing.Any, budget: str = ""
    ) -> None:
        out.append(f"| {role} | {what} | {how} | {short(value)} {unit} | {budget} |")

    rows = {}
    for name in ("fleetwarden", "fleetnode"):
        if name in k.files:
            got = {key[0]: v for key, (_, v) in k.files[name].rows.items() if key[1] == "all at once"}
            rows[name] = {line: statistics.median(v[max(v)]) for line, v in got.items()}
    sock = k.at("sockets", "a message sent and taken over a connection", "bytes", 27) / 2
    membership_bytes = sum(
        k.slope("lists", "a membership on the wire", by) * (x - was)
        for by, x, was in (("members", t.nodes, 8), ("workers", t.workers, 36), ("pools", t.pools, 1))
    ) + k.at("lists", "a membership on the wire", "members", 8)
    membership_messages = sum(
        k.slope("lists", "a membership held at a node", by) * (x - was)
        for by, x, was in (("members", t.nodes, 8), ("workers", t.workers, 36), ("pools", t.pools, 1))
    ) + k.at("lists", "a membership held at a node", "members", 8)
    membership_lists = sum(
        k.slope("lists", "a membership read", by) * (x - was)
        for by, x, was in (("members", t.nodes, 8), ("workers", t.workers, 36), ("pools", t.pools, 1))
    ) + k.at("lists", "a membership read", "members", 8)
    put(
        "all",
        "a whole membership",
        "2.4 KB + members, workers, pools by their slopes (X)",
        membership_bytes / 1000,
        "KB",
    )
    put("all", "read at a node, one step", "as its bytes (X)", membership_lists, "loops", "15 loops a step")
    day = t.restarts * t.words
    put("all", "memberships a day", f"{t.restarts} failures and restarts x {t.words} words each (R)", day, "")
    put(
        "node",
        "memberships in, mean",
        "memberships a day x membership (X)",
        day * membership_bytes / 86_400,
        "B/s",
        "16 KB/s",
    )
    put(
        "cores",
        "memberships out, mean, all nodes",
        "x nodes (X)",
        day * membership_bytes * t.nodes / 86_400 / 1000,
        "KB/s",
    )
    for name, path in (("fleetwarden", "wardens"), ("fleetnode", "node election")):
        r = rows.get(name)
        if r is None:
            continue
        for role in ("node", "lister", "warden", "core", "tail"):
            if f"{role}: loops" not in r:
                continue
            cost = r[f"{role}: loops"] + (r[f"{role}: in"] + r[f"{role}: out"]) * sock
            limit = (
                ("48 loops/s", "16 KB/s") if role in ("node", "lister", "warden") else ("3,000 loops/s: a machine", "")
            )
            put(
                role,
                f"{path}: processor, quiet",
                "own steps (M) + messages x half a socket's (M)",
                cost,
                "loops/s",
                limit[0],
            )
            put(role, f"{path}: longest step", "M", r[f"{role}: step"], "loops", "15 loops a step")
            put(
                role,
                f"{path}: in",
                "M",
                r[f"{role}: in_bytes"] / 1000,
                f"KB/s in {short(r[role + ': in'])} messages",
                limit[1],
            )
            put(
                role,
                f"{path}: out",
                "M",
                r[f"{role}: out_bytes"] / 1000,
                f"KB/s in {short(r[role + ': out'])} messages",
                limit[1],
            )
    names = t.workers // t.pools
    memory = [
        ("a fresh process with a node", "M", bare()),
        ("membership and worker states", "along the slopes (X)", membership_messages),
        (
            "slice of the configuration",
            f"{t.routes} routes",
            k.at("routes", "a slice held at a node", "routes", t.routes),
        ),
        ("others' loads", "workers", k.at("places", "others' loads held", "workers", t.workers)),
        (
            "ranks",
            f"{placement.RANKS} a pool x pools, {names} workers",
            t.pools * k.at("places", "ranks held, 90 workers", "parts ranked", placement.RANKS),
        ),
        (
            "parts known of workers",
            f"{placement.KEPT} a worker, full (X)",
            k.slope("places", "parts held of the workers at a node", "parts") * placement.KEPT * t.workers,
        ),
        (
            "first turns",
            "requests a node x 600 s (X)",
            k.slope("places", "first turns held at a node", "first turns") * t.requests / t.nodes * 600,
        ),
        (
            "sessions",
            "sessions / nodes",
            k.slope("places", "sessions held at a node", "sessions") * t.session_messages / t.nodes,
        ),
    ]
    for what, how, value in memory:
        put("node", f"memory: {what}", how, value / 1e6, "MB", "64 MB in all")
    put("node", "memory: all of them", "", sum(x[2] for x in memory) / 1e6, "MB", "64 MB")
    put(
        "tail",
        "a look for news",
        f"{t.pools} pools, {t.nodes} members (M)",
        k.at("tail", f"a look for news at the tail, {t.pools} pools", "members", t.nodes),
        "loops, ten and more a second",
        "15 loops a step",
    )
    change = k.at("losses", "change: busiest core", "nodes", t.nodes)
    put("tail", "a change of the configuration", "nodes (X)", change, "loops", "12,000 loops in 4 s")
    put(
        "cores",
        "a change, between cores",
        "nodes (X)",
        k.at("losses", "change: between cores", "nodes", t.nodes) / 1000,
        "KB",
    )
    put(
        "tail",
        "changes a day, in the mean",
        f"x {t.changes} (X)",
        change * t.changes / 86_400,
        "loops/s",
        "3,000 loops/s",
    )
    pairs = t.nodes * (t.nodes - 1)
    for what in ("tail", "cut"):
        put(
            "nodes",
            f"{what} lost, between nodes" if what == "tail" else "a third cut off for 10 s, between nodes",
            "pairs (X)",
            k.slope("losses", f"{what}: between nodes", "pairs of nodes") * pairs / 1e6,
            "MB",
        )
    put(
        "cores",
        "a zone lost, to nodes",
        "nodes x membership (X)",
        k.slope("losses", "zone: from cores to nodes", "nodes x membership bytes") * t.nodes * membership_bytes / 1e6,
        "MB",
    )
    put(
        "cores",
        "a node restarted, to nodes",
        "nodes x membership (X)",
        k.slope("losses", "restart: from cores to nodes", "nodes x membership bytes")
        * t.nodes
        * membership_bytes
        / 1e6,
        "MB",
    )
    put(
        "warden",
        "all sessions of the largest pool, half of all: sweep, one step",
        "X",
        k.at("records", "a sweep that finds nothing", "sessions", t.session_messages // 2),
        "loops",
        "15 loops a step",
    )
    put(
        "warden",
        "the same: a whole copy",
        "X",
        k.at("records", "a whole copy on the wire", "sessions", t.session_messages // 2) / 1e6,
        "MB",
        "33.6 MB a message",
    )
    put(
        "node",
        "sessions cut over nodes: sweep, one step",
        "sessions / nodes (X)",
        k.slope("records", "a sweep that finds nothing", "sessions") * t.session_messages / t.nodes,
        "loops",
        "15 loops a step",
    )
    put(
        "node",
        "an election at a node",
        "90 workers of the pool (M)",
        k.at("places", "a worker chosen at a node, its parts ranked before", "workers of the pool", 90),
        "loops",
        "15 loops a step",
    )
    put(
        "node",
        "the same, half of the workers in one pool",
        "between two sizes",
        k.at("places", "a worker chosen at a node, its parts ranked before", "workers of the pool", t.workers // 2),
        "loops",
        "15 loops a step",
    )
    print("| role | what | how | at the target | budget |\n|---|---|---|---|---|")
    print("\n".join(out))


def everything(*, small: bool = False) -> None:
    """All of them, one after the other.

    :param small: a few sizes only
    """
    loguru.logger.remove()
    print("lists")
    lists(**dict(sizes=[8, 32], listed=[36, 260], pools=[1, 8], repeats=2) if small else {})
    print("tail")
    tail(**dict(sizes=[8, 32], pools=[1, 8], repeats=2) if small else {})
    print("records")
    records(**dict(sizes=[1_000, 10_000], repeats=2) if small else {})
    print("elects")
    selections(**dict(listed=[9, 90], sizes=[1_000, 10_000], repeats=2) if small else {})
    print("prefixes")
    prefixes(**dict(sizes=[15_000, 150_000], repeats=2) if small else {})
    print("routes")
    routes(**dict(sizes=[100, 500], repeats=2) if small else {})
    print("places")
    placements(
        **dict(listed=[9, 90], keys=[16, 64], parts=[2_600, 5_200], sizes=[1_000, 2_000], pools=[1, 2], repeats=2)
        if small
        else {}
    )
    print("fleet")
    fleet(**dict(sizes=[8, 16], listed=[36, 72], pools=[1, 2]) if small else {})
    print("losses")
    losses(**dict(sizes=[8, 16], repeats=1) if small else {})
    print("exchange")
    exchange(**dict(listed=26, rate=30, seconds=2) if small else {})
    print("streams")
    streams(**dict(rates=[5, 10], events=[12, 24], repeats=1) if small else {})
    print("sockets")
    sockets(**dict(sizes=[0, 100], calls=100, repeats=2) if small else {})


if __name__ == "__main__":
    loguru.logger.remove()
    defopt.run(
        [
            lists,
            tail,
            records,
            selections,
            prefixes,
            routes,
            placements,
            sockets,
            fleet,
            streams,
            exchange,
            losses,
            everything,
            target,
        ]
    )
