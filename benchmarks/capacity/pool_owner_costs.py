"""The costs of a pool owner: session records, selections of workers, shared prompt prefix parts."""

from __future__ import annotations

import collections.abc

from benchmarks.capacity import measuring, samples
from iriswheel.configuration import configuration
from iriswheel.control import replica_store
from iriswheel.dataplane import sessions
from iriswheel.pools import pool_owner, selection, session_replicas
from iriswheel.runtime import units
from iriswheel.transport import message, wire

LARGEST_POOL = 2_600  # workers
OPERATIONS_PER_TIMING = 2_000  # operations on single sessions that are timed together

# Any owner and any term give the same measurements.
OWNER = samples.members(1)[0].id
TERM = (3, 17)


def records(*, sizes: measuring.Sizes = (10_000, 100_000, 1_000_000), repeats: int = 3, out: str = "") -> None:
    """Session records of one pool owner: single operations, the sweep, complete replicas, memory.

    :param sizes: numbers of sessions
    :param repeats: number of repetitions of each measurement
    :param out: file to which the values are written
    """
    measurements = measuring.Measurements()
    for _ in range(repeats):
        for size in sizes:
            _measure_records(measurements.point("sessions", size))
    measuring.print_and_save(measurements, out)


def _measure_records(point: measuring.Point) -> None:
    size = point.size
    point.put_bytes(
        "session records held at their pool owner", measuring.allocated_bytes(lambda: samples.session_table(size))
    )
    table = samples.session_table(size)
    _measure_steps(point, table)
    copy = message.ReplicateRecords("model-0", TERM, OWNER, _messages(table), [], [], True, 0)
    raw = wire.encoder.encode(wire.Envelope(wire.FrameKind.CALL, 7, copy))
    _measure_copy(point, table, raw)
    _measure_replica(point, copy, raw)


def _messages(table: sessions.SessionTable[str]) -> list[message.SessionRecord]:
    return [sessions.to_message(record, 0) for record in table.records.values()]


def _measure_steps(point: measuring.Point, table: sessions.SessionTable[str]) -> None:
    """Measure operations on single sessions, and the sweep over all sessions."""
    names = [f"{k * 7919 % point.size:024x}" for k in range(OPERATIONS_PER_TIMING)]
    count = OPERATIONS_PER_TIMING

    def record_turns() -> None:
        for name in names:
            table.extend(table.affinity(name), 5)  # type: ignore[arg-type]  # all sessions are open; a check for None would be timed too

    def open_and_close() -> None:
        for k in range(count):
            table.open(f"new-{k}", f"i-{k % 90:08x}", 0, 600 * units.SECOND_US, 100)
        for k in range(count):
            table.close(f"new-{k}")

    point.put_loops("a turn noted", measuring.loops_per_call(record_turns) / count)
    point.put_loops("a session opened and closed", measuring.loops_per_call(open_and_close) / count)
    point.put_loops("a sweep that finds nothing", measuring.loops_per_call(lambda: table.sweep(0)))


def _measure_copy(point: measuring.Point, table: sessions.SessionTable[str], raw: bytes) -> None:
    """Measure the message with all records of an owner, which a new replica holder gets."""
    point.put_bytes("a whole copy on the wire", len(raw))
    point.put_loops(
        "a whole copy made and written",
        measuring.loops_per_call(
            lambda: wire.encoder.encode(
                wire.Envelope(
                    1,
                    7,
                    message.ReplicateRecords(
                        "model-0",
                        (3, 17),
                        "",
                        [sessions.to_message(r, 0) for r in table.records.values()],
                        [],
                        [],
                        True,
                        0,
                    ),
                )
            )
        ),
    )
    point.put_loops(
        "a whole copy read and shelved",
        measuring.loops_per_call(
            # Without a cast to the content's type, because the call of the cast would be timed too.
            lambda: session_replicas.SessionReplica().apply_update(wire.decoder.decode(raw).content, 0)  # type: ignore[arg-type]
        ),
    )


def _measure_replica(point: measuring.Point, copy: message.ReplicateRecords, raw: bytes) -> None:
    """Measure a replica as a core machine holds it, in memory and on its disk."""
    replica = session_replicas.SessionReplica()
    replica.apply_update(copy, 0)
    point.put_loops(
        "a shelf frozen at a core", measuring.loops_per_call(lambda: replica_store.encode_session_replica(replica, 5))
    )
    point.put_bytes("a shelf's bytes on a core's disk", len(replica_store.encode_session_replica(replica, 5)))
    point.put_bytes("a shelf's memory", measuring.allocated_bytes(lambda: _decoded_replica(raw)))


def _decoded_replica(raw: bytes) -> session_replicas.SessionReplica:
    copy = wire.decoder.decode(raw).content
    assert isinstance(copy, message.ReplicateRecords)
    replica = session_replicas.SessionReplica()
    replica.apply_update(copy, 0)
    return replica


def owner_with_sessions(worker_count: int, session_count: int, parts: int = 0) -> pool_owner.PoolOwner:
    """An owner of a pool with ready workers, open sessions, and `parts` known prefix parts on each worker.

    >>> owner_with_sessions(3, 10).pool
    'model-0'
    """
    idle_node = samples.idle_node()
    workers = samples.workers(worker_count, 1)
    idle_node.follower.apply_listing(message.WorkerListing(workers, (3, 1, 40)))
    owner = pool_owner.PoolOwner(idle_node, "model-0", samples.assignments(["pool/model-0"], samples.members(3))[0])
    owner.records.session_table = samples.session_table(session_count, worker_count)
    for worker in workers:
        owner.selector.prefixes.parts[worker.id] = {f"{worker.id}-{k}": None for k in range(parts)}
    return owner


def select_worker(
    owner: pool_owner.PoolOwner, request: message.SelectWorker, pool: configuration.Pool
) -> str | selection.SelectionRefusal | None:
    """The worker that a pool owner selects for a request, or the reason why it selects none.

    >>> select_worker(owner_with_sessions(3, 10), selection_request(1), configuration.Pool(cap=0))
    'i-00000001'
    """
    return owner.selector.pick(request, pool, owner.node.follower.workers, owner.runtime.now())


def selection_request(
    number: int, prefix: collections.abc.Sequence[str] = ("system", "bundle")
) -> message.SelectWorker:
    """A message that asks a pool owner to select a worker.

    >>> selection_request(1).request_id
    'x1'
    """
    return message.SelectWorker(
        "model-0",
        (3, 17),
        "n",
        f"n-{number}/0",
        f"x{number}",
        1,
        True,
        "",
        list(prefix),
        200,
        False,
        [],
        {"lifetime_us": 600 * units.SECOND_US, "cost": 100},
        units.SECOND_US,
    )


def selections(
    *,
    listed: measuring.Sizes = (9, 90, 900, 2600),
    sizes: measuring.Sizes = (1_000, 10_000, 100_000),
    repeats: int = 5,
    out: str = "",
) -> None:
    """A pool owner's selection for one request, by the workers of its pool and by its open sessions.

    :param listed: numbers of workers of the pool
    :param sizes: numbers of sessions of the pool
    :param repeats: number of repetitions of each measurement
    :param out: file to which the values are written
    """
    measurements = measuring.Measurements()
    for _ in range(repeats):
        for workers in listed:
            point = measurements.point("workers of the pool", workers)
            point.put_loops("a worker chosen, no sessions", _choice_loops(owner_with_sessions(workers, 0)))
        for session_count in sizes:
            point = measurements.point("sessions of the pool", session_count)
            point.put_loops("a worker chosen, 90 workers", _choice_loops(owner_with_sessions(90, session_count)))
    measuring.print_and_save(measurements, out)


def _choice_loops(owner: pool_owner.PoolOwner) -> float:
    pool = configuration.Pool(cap=0)
    return measuring.loops_per_call(lambda: select_worker(owner, selection_request(1), pool))


def prefixes(*, sizes: measuring.Sizes = (15_000, 150_000, 1_500_000), repeats: int = 3, out: str = "") -> None:
    """Shared prefix parts in one pool owner's tables, without the usual limit of 256 parts per worker.

    :param sizes: total numbers of parts
    :param repeats: number of repetitions of each measurement
    :param out: file to which the values are written
    """
    measurements = measuring.Measurements()
    for _ in range(repeats):
        for size in sizes:
            _measure_prefixes(measurements.point("parts", size))
    measuring.print_and_save(measurements, out)


def _measure_prefixes(point: measuring.Point) -> None:
    per_worker = point.size // LARGEST_POOL
    point.put_bytes("prefix parts held", measuring.allocated_bytes(lambda: _prefix_table(per_worker)))
    owner = owner_with_sessions(90, 0, point.size // 90)
    pool = configuration.Pool(cap=0)
    request = selection_request(1, [f"i-{7:08x}-{k}" for k in range(4)])
    point.put_loops(
        "a worker chosen by parts, 90 workers", measuring.loops_per_call(lambda: select_worker(owner, request, pool))
    )


def _prefix_table(per_worker: int) -> dict[str, dict[str, None]]:
    return {f"i-{w:08x}": {f"{w * per_worker + k:08x}": None for k in range(per_worker)} for w in range(LARGEST_POOL)}
