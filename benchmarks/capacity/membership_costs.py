"""What memberships and worker lists cost: bytes, reading, applying, memory, and a tail's repeated work."""

from __future__ import annotations

import json

from benchmarks.capacity import measuring, samples
from iriswheel.dataplane import edge_protocol
from iriswheel.node import node
from iriswheel.transport import message, wire


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
    lines = measuring.Measurements()

    def look(by: str, size: int, r: message.Membership) -> None:
        raw = wire.encoder.encode(wire.Envelope(wire.FrameKind.TELL, 0, message.MembershipUpdate(r)))
        lines.put("a membership on the wire", by, "B", size, len(raw))
        lines.put("a membership read", by, "loops", size, measuring.ratio(lambda: wire.decoder.decode(raw)))
        lines.put(
            "a membership written",
            by,
            "loops",
            size,
            measuring.ratio(lambda: wire.encoder.encode(wire.Envelope(0, 0, message.MembershipUpdate(r)))),
        )
        other = wire.decoder.decode(raw).content.membership
        n, version = samples.hollow(), [17]

        def take() -> None:
            version[0] += 1
            n.follower.apply_membership(
                message.Membership(
                    (3, version[0]), other.members, other.workers, other.assignments, other.cores, (3, 1, version[0])
                )
            )

        lines.put("a membership taken at a node, nothing changed", by, "loops", size, measuring.ratio(take))
        lines.put("a membership held at a node", by, "B", size, measuring.held(lambda: _taken(raw)))

    for _ in range(repeats):
        for n in sizes:
            look("members", n, samples.memberships(n, 36, 1))
        for w in listed:
            look("workers", w, samples.memberships(8, w, 1))
        for p in pools:
            look("pools", p, samples.memberships(8, 36, p))
        for w in listed:
            ws = samples.workers(w)
            parcel = wire.Envelope(
                wire.FrameKind.TELL, 0, message.ForwardedListing(message.WorkerListing(ws, (3, 1, 40)))
            )
            raw = wire.encoder.encode(parcel)
            lines.put("a worker list on the wire", "workers", "B", w, len(raw))
            lines.put(
                "a worker list written", "workers", "loops", w, measuring.ratio(lambda: wire.encoder.encode(parcel))
            )
            lines.put("a worker list read", "workers", "loops", w, measuring.ratio(lambda: wire.decoder.decode(raw)))
            n = samples.hollow()
            n.follower.apply_listing(message.WorkerListing(ws, (3, 1, 40)))
            same = wire.decoder.decode(raw).content.listing
            lines.put(
                "a worker list taken at a node, nothing changed",
                "workers",
                "loops",
                w,
                measuring.ratio(lambda: n.follower.apply_listing(same)),
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
                measuring.ratio(lambda: n.follower.platform.believe(edge_protocol.workers(page))),
            )
    measuring.end(lines, out)


def _taken(raw: bytes) -> node.Node:
    n = samples.hollow()
    n.follower.apply_membership(wire.decoder.decode(raw).content.membership)
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
    lines = measuring.Measurements()
    for _ in range(repeats):
        for p in pools:
            for n in sizes:
                manager = samples.membership_manager_at_tail(n, p)
                lines.put(
                    f"a look for news at the tail, {p} pools",
                    "members",
                    "loops",
                    n,
                    measuring.ratio(manager.issue_if_changed),
                )
                table = message.NodeSessionsReport("c0", 3, samples.members(n), [0] * n, None, [], None)
                lines.put(
                    f"a core's word taken at the tail, {p} pools",
                    "members",
                    "loops",
                    n,
                    measuring.ratio(lambda: manager.apply_report(table)),
                )
        for n in sizes:
            table = message.NodeSessionsReport("c0", 3, samples.members(n), [0] * n, None, [], None)
            raw = wire.encoder.encode(wire.Envelope(wire.FrameKind.TELL, 0, table))
            lines.put("a core's word on the wire", "members", "B", n, len(raw))
            lines.put(
                "a core's word written and read",
                "members",
                "loops",
                n,
                measuring.ratio(lambda: wire.decoder.decode(wire.encoder.encode(wire.Envelope(0, 0, table)))),
            )
    measuring.end(lines, out)
