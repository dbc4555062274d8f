"""The costs of memberships and worker lists: bytes, decoding, applying, memory, and the tail's periodic work."""

from __future__ import annotations

import collections.abc
import json

from benchmarks.capacity import measuring, samples
from iriswheel.dataplane import edge_protocol
from iriswheel.membership import membership_manager
from iriswheel.node import node
from iriswheel.transport import message, wire

LIST_VERSION = (3, 1, 40)


def lists(
    *,
    sizes: measuring.Sizes = (8, 32, 128, 370),
    listed: measuring.Sizes = (36, 260, 1300, 2600),
    pools: measuring.Sizes = (1, 8, 29),
    repeats: int = 5,
    out: str = "",
) -> None:
    """Memberships and worker lists: bytes, encoding, decoding, applying at a node, memory.

    :param sizes: numbers of members
    :param listed: numbers of workers
    :param pools: numbers of pools
    :param repeats: number of repetitions of each measurement
    :param out: file to which the values are written
    """
    measurements = measuring.Measurements()
    for _ in range(repeats):
        for members in sizes:
            _measure_membership(measurements.point("members", members), samples.memberships(members, 36, 1))
        for workers in listed:
            _measure_membership(measurements.point("workers", workers), samples.memberships(8, workers, 1))
        for pool_count in pools:
            _measure_membership(measurements.point("pools", pool_count), samples.memberships(8, 36, pool_count))
        for workers in listed:
            _measure_listing(measurements.point("workers", workers), samples.workers(workers))
    measuring.print_and_save(measurements, out)


def _measure_membership(point: measuring.Point, membership: message.Membership) -> None:
    raw = wire.encoder.encode(wire.Envelope(wire.FrameKind.TELL, 0, message.MembershipUpdate(membership)))
    point.put_bytes("a membership on the wire", len(raw))
    point.put_loops("a membership read", measuring.loops_per_call(lambda: wire.decoder.decode(raw)))
    point.put_loops(
        "a membership written",
        measuring.loops_per_call(
            lambda: wire.encoder.encode(wire.Envelope(0, 0, message.MembershipUpdate(membership)))
        ),
    )
    point.put_loops("a membership taken at a node, nothing changed", measuring.loops_per_call(_repeated_update(raw)))
    point.put_bytes("a membership held at a node", measuring.allocated_bytes(lambda: _node_with_membership(raw)))


def _decode_membership(raw: bytes) -> message.Membership:
    update = wire.decoder.decode(raw).content
    assert isinstance(update, message.MembershipUpdate)
    return update.membership


def _repeated_update(raw: bytes) -> collections.abc.Callable[[], None]:
    """A function that applies a membership at a node; each call uses a newer version of the same content."""
    other = _decode_membership(raw)
    idle_node, version = samples.idle_node(), [17]

    def apply_newer() -> None:
        version[0] += 1
        idle_node.follower.apply_membership(
            message.Membership(
                (3, version[0]), other.members, other.workers, other.assignments, other.cores, (3, 1, version[0])
            )
        )

    return apply_newer


def _node_with_membership(raw: bytes) -> node.Node:
    made = samples.idle_node()
    made.follower.apply_membership(_decode_membership(raw))
    return made


def _measure_listing(point: measuring.Point, workers: list[message.Worker]) -> None:
    """Measure the worker list in messages between iriswheel processes, and in the platform's answer."""
    listing = message.ForwardedListing(message.WorkerListing(workers, LIST_VERSION))
    envelope = wire.Envelope(wire.FrameKind.TELL, 0, listing)
    raw = wire.encoder.encode(envelope)
    point.put_bytes("a worker list on the wire", len(raw))
    point.put_loops("a worker list written", measuring.loops_per_call(lambda: wire.encoder.encode(envelope)))
    point.put_loops("a worker list read", measuring.loops_per_call(lambda: wire.decoder.decode(raw)))
    idle_node = samples.idle_node()
    idle_node.follower.apply_listing(message.WorkerListing(workers, LIST_VERSION))
    same = _decode_listing(raw)
    point.put_loops(
        "a worker list taken at a node, nothing changed",
        measuring.loops_per_call(lambda: idle_node.follower.apply_listing(same)),
    )
    page = _platform_page(workers)
    point.put_bytes("the platform's list", len(page))
    point.put_loops(
        "the platform's list read",
        measuring.loops_per_call(
            lambda: idle_node.follower.platform.confirm_removals(edge_protocol.parse_worker_list(page))
        ),
    )


def _decode_listing(raw: bytes) -> message.WorkerListing:
    forwarded = wire.decoder.decode(raw).content
    assert isinstance(forwarded, message.ForwardedListing)
    return forwarded.listing


def _platform_page(workers: list[message.Worker]) -> bytes:
    """The body of the platform's answer that lists these workers."""
    rows = [
        {
            "id": worker.id,
            "host": worker.host,
            "port": worker.port,
            "pool": worker.pool,
            "state": worker.state,
            "drain_deadline_ms": 3000,
        }
        for worker in workers
    ]
    return json.dumps({"workers": rows}).encode()


def tail(
    *,
    sizes: measuring.Sizes = (8, 32, 128, 370),
    pools: measuring.Sizes = (1, 8, 29),
    repeats: int = 5,
    out: str = "",
) -> None:
    """The tail's check whether it must issue a membership, done ten times a second and at each core machine's report.

    :param sizes: numbers of members
    :param pools: numbers of pools
    :param repeats: number of repetitions of each measurement
    :param out: file to which the values are written
    """
    measurements = measuring.Measurements()
    for _ in range(repeats):
        for pool_count in pools:
            for members in sizes:
                manager = samples.membership_manager_at_tail(members, pool_count)
                _measure_manager(measurements.point("members", members), manager, _report(members), pool_count)
        for members in sizes:
            _measure_report(measurements.point("members", members), _report(members))
    measuring.print_and_save(measurements, out)


def _report(members: int) -> message.NodeSessionsReport:
    return message.NodeSessionsReport("c0", 3, samples.members(members), [0] * members, None, [], None)


def _measure_manager(
    point: measuring.Point,
    manager: membership_manager.MembershipManager,
    report: message.NodeSessionsReport,
    pools: int,
) -> None:
    point.put_loops(f"a look for news at the tail, {pools} pools", measuring.loops_per_call(manager.issue_if_changed))
    point.put_loops(
        f"a core's word taken at the tail, {pools} pools",
        measuring.loops_per_call(lambda: manager.apply_report(report)),
    )


def _measure_report(point: measuring.Point, report: message.NodeSessionsReport) -> None:
    raw = wire.encoder.encode(wire.Envelope(wire.FrameKind.TELL, 0, report))
    point.put_bytes("a core's word on the wire", len(raw))
    point.put_loops(
        "a core's word written and read",
        measuring.loops_per_call(lambda: wire.decoder.decode(wire.encoder.encode(wire.Envelope(0, 0, report)))),
    )
