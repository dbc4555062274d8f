"""Case 3: the node that reads the platform's list loses the platform, and all nodes go on with its old list.

The platform can't be reached from the reader's zone for a while; from all other zones it can, and nothing else is cut.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import harness

CUT_S = 5.5  # as long as two zones are cut off from each other on the pages (`bridge_cut`)
DRAIN_S = harness.BOUNDS["drain_deadline_ms"] / 1000
CONTACT_S = harness.BOUNDS["contact_ms"] / 1000


class PlatformLink:
    """A proxy between one node and the platform, which can stop to pass anything on."""

    def __init__(self, fleet: harness.Fleet, node: harness.Process) -> None:
        self.fleet, self.node, self.is_cut = fleet, node, False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass on the bytes of one connection, both ways."""
        there = None
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while self.is_cut:
                await asyncio.sleep(0.05)
            other_reader, there = await asyncio.open_connection(*self.fleet.platform_address)
            await asyncio.gather(self._pass(reader, there), self._pass(other_reader, writer))
        for side in (writer, there):
            if side is not None:
                side.close()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while raw := await reader.read(1 << 16):
            while self.is_cut:
                await asyncio.sleep(0.05)
            writer.write(raw)
        writer.close()


async def holder(fleet: harness.Fleet) -> harness.Process:
    """The node that reads the platform's list for all, as the nodes show it."""
    until = time.monotonic() + 10
    while time.monotonic() < until:
        answer = await harness.call(fleet.nodes[0].address, "GET /state", {"Host": "none"}, timeout=1.0)
        duties = json.loads(answer.body or b"{}").get("duties", [])
        for duty in duties:
            if duty["key"] == "list":
                return next(node for node in fleet.nodes if duty["holder"].startswith(node.name + "-"))
        await asyncio.sleep(0.2)
    raise harness.CannotRunError("no node reads the platform's list")


async def load(fleet: harness.Fleet, node: harness.Process, until: float) -> None:
    """Send requests to a node, one after another."""
    while time.monotonic() < until:
        await fleet.request(node, "base.example", "/pufi791/a", 2000)
        await asyncio.sleep(0.05)


async def play(fleet: harness.Fleet, trouble: bool) -> list[str]:
    """Cut the reader off from the platform, and let a worker leave at the same time."""
    links = {}
    for number, node in enumerate(fleet.nodes, 1):
        links[node.name] = link = PlatformLink(fleet, node)
        node.platform_address = (f"127.{fleet.net}.8.{number}", fleet.port)
        fleet.serve_with(await asyncio.start_server(link.serve, *node.platform_address))
    await fleet.begin(harness.document(10, [harness.route("r-base", "base.example")]))
    await asyncio.sleep(harness.BOUNDS["settle_s"])
    reader = await holder(fleet)
    cut_off = [node for node in fleet.nodes if node.zone == reader.zone]
    others = [node for node in fleet.nodes if node.zone != reader.zone]
    fleet.note("reader", machine=reader.name, zone=reader.zone)
    ends_at = time.monotonic() + 1 + CUT_S + 2
    loads = [asyncio.create_task(load(fleet, node, ends_at)) for node in others]
    await asyncio.sleep(1)
    for node in cut_off if trouble else []:
        links[node.name].is_cut = True
        fleet.note("cut", machine=node.name, what="its path to the platform")
    cut_at = fleet.now()
    leaving = fleet.workers[0]
    leaving.state = "draining"
    listed = fleet.note("listed", worker=leaving.id, state="draining")["t"]
    await asyncio.sleep(CUT_S)
    for node in cut_off if trouble else []:
        links[node.name].is_cut = False
        fleet.note("healed", machine=node.name)
    await asyncio.gather(*loads)
    sent = {event["attempt"]: event for event in fleet.events if event["kind"] == "sent"}
    return [
        f"DRAIN: {event['attempt']} reaches {event['worker']} at {event['t']} s through "
        f"{sent[event['attempt']]['machine']}, {event['t'] - listed:.2f} s after the list shows it as draining"
        for event in fleet.events
        if event["kind"] == "arrived"
        and event["worker"] == leaving.id
        and event["t"] > listed + DRAIN_S
        and sent[event["attempt"]]["t"] > cut_at + CONTACT_S
    ]


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).resolve().parent, 6, 4, play)
