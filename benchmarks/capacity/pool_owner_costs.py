"""What a pool's owner holds and does: session records, selections, shared prefix parts."""

from __future__ import annotations

import collections.abc
import typing

from benchmarks.capacity import measuring, samples
from iriswheel.configuration import configuration
from iriswheel.control import replica_store
from iriswheel.dataplane import sessions
from iriswheel.pools import pool_owner, selection, session_replicas
from iriswheel.runtime import units
from iriswheel.transport import message, wire


def records(*, sizes: list[int] = (10_000, 100_000, 1_000_000), repeats: int = 3, out: str = "") -> None:
    """Session records in one holder: single steps, the sweep, whole copies, memory.

    :param sizes: sessions
    :param repeats: how often each is measured
    :param out: file for the values
    """
    lines = measuring.Measurements()
    few = 2_000  # of the single steps, measured as one

    for _ in range(repeats):
        for n in sizes:
            lines.put(
                "session records held at their pool owner",
                "sessions",
                "B",
                n,
                measuring.held(lambda: samples.session_messages(n)),
            )
            book = samples.session_messages(n)
            names = [f"{k * 7919 % n:024x}" for k in range(few)]

            def turns() -> None:
                for name in names:
                    book.extend(book.affinity(name), 5)

            def openings() -> None:
                for k in range(few):
                    book.open(f"new-{k}", f"i-{k % 90:08x}", 0, 600 * units.SECOND_US, 100)
                for k in range(few):
                    book.close(f"new-{k}")

            lines.put("a turn noted", "sessions", "loops", n, measuring.ratio(turns) / few)
            lines.put("a session opened and closed", "sessions", "loops", n, measuring.ratio(openings) / few)
            lines.put("a sweep that finds nothing", "sessions", "loops", n, measuring.ratio(lambda: book.sweep(0)))
            table = [sessions.to_message(r, 0) for r in book.records.values()]
            copy = message.ReplicateRecords("model-0", (3, 17), samples.members(1)[0].id, table, [], [], True, 0)
            raw = wire.encoder.encode(wire.Envelope(wire.FrameKind.CALL, 7, copy))
            lines.put("a whole copy on the wire", "sessions", "B", n, len(raw))
            lines.put(
                "a whole copy made and written",
                "sessions",
                "loops",
                n,
                measuring.ratio(
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
                measuring.ratio(lambda: session_replicas.SessionReplica().take(wire.decoder.decode(raw).content, 0)),
            )
            session_replica = session_replicas.SessionReplica()
            session_replica.take(copy, 0)
            lines.put(
                "a shelf frozen at a core",
                "sessions",
                "loops",
                n,
                measuring.ratio(lambda: replica_store.encode_session_replica(session_replica, 5)),
            )
            lines.put(
                "a shelf's bytes on a core's disk",
                "sessions",
                "B",
                n,
                len(replica_store.encode_session_replica(session_replica, 5)),
            )
            lines.put("a shelf's memory", "sessions", "B", n, measuring.held(lambda: _shelved(raw)))
            del book, table, copy, raw, session_replica
    measuring.end(lines, out)


def _shelved(raw: typing.Any) -> typing.Any:
    session_replica = session_replicas.SessionReplica()
    session_replica.take(wire.decoder.decode(raw).content, 0)
    return session_replica


def chief(w: int, s: int, parts: int = 0) -> pool_owner.PoolOwner:
    """A pool owner of one pool with w ready workers, s sessions and so many prefix parts on each worker.

    >>> chief(3, 10).pool
    'model-0'
    """
    n = samples.hollow()
    ws = samples.workers(w, 1)
    n.follower.apply_listing(message.WorkerListing(ws, (3, 1, 40)))
    out = pool_owner.PoolOwner(n, "model-0", samples.assignments(["pool/model-0"], samples.members(3))[0])
    out.records.session_table = samples.session_messages(s, w)
    for x in ws:
        out.selector.prefixes.parts[x.id] = {f"{x.id}-{k}": None for k in range(parts)}
    return out


def choice(
    owner: pool_owner.PoolOwner, request: message.SelectWorker, pool: configuration.Pool
) -> str | selection.NoChoice | None:
    """What a pool owner chooses for a request.

    >>> choice(chief(3, 10), query(1), configuration.Pool(cap=0))
    'i-00000001'
    """
    return owner.selector.pick(request, pool, owner.node.follower.workers, owner.runtime.now())


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
        {"lifetime_us": 600 * units.SECOND_US, "cost": 100},
        units.SECOND_US,
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
    lines = measuring.Measurements()
    pool = configuration.Pool(cap=0)
    for _ in range(repeats):
        for w in listed:
            c = chief(w, 0)
            lines.put(
                "a worker chosen, no sessions",
                "workers of the pool",
                "loops",
                w,
                measuring.ratio(lambda: choice(c, query(1), pool)),
            )
        for s in sizes:
            c = chief(90, s)
            lines.put(
                "a worker chosen, 90 workers",
                "sessions of the pool",
                "loops",
                s,
                measuring.ratio(lambda: choice(c, query(1), pool)),
            )
    measuring.end(lines, out)


def prefixes(*, sizes: list[int] = (15_000, 150_000, 1_500_000), repeats: int = 3, out: str = "") -> None:
    """Shared prefix parts in one pool owner's tables, without their bound of 256 a worker.

    :param sizes: parts in all
    :param repeats: how often each is measured
    :param out: file for the values
    """
    lines = measuring.Measurements()
    pool = configuration.Pool(cap=0)
    for _ in range(repeats):
        for x in sizes:
            per = x // 2600
            lines.put(
                "prefix parts held",
                "parts",
                "B",
                x,
                measuring.held(
                    lambda: {f"i-{w:08x}": {f"{w * per + k:08x}": None for k in range(per)} for w in range(2600)}
                ),
            )
            c = chief(90, 0, x // 90)
            q = query(1, [f"i-{7:08x}-{k}" for k in range(4)])
            lines.put(
                "a worker chosen by parts, 90 workers", "parts", "loops", x, measuring.ratio(lambda: choice(c, q, pool))
            )
    measuring.end(lines, out)
