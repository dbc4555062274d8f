"""MIXED: right after its start a node answers a client's `GET /state` with 200 and its own state.

The route has been in force all the time. The client's request must get the worker's answer, or a refusal.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common2 import small_system

DOWN_S = 0.5  # between the end of a node's process and its next start
CORE_LATER_S = 0.4  # the core's processes are back within a second, too
WATCHED_S = 5.0


async def case(system: small_system.System, trouble: bool) -> int:
    """Play the case."""
    await system.start()
    channels = [small_system.channel("r-1", "/", "idempotent", retries=2)]
    if not await system.put(small_system.configuration(5, channels), 0):
        raise small_system.CouldNotRunError("the configuration was not acknowledged")
    await system.wait_until_ready()
    await asyncio.sleep(4)  # every machine is in touch: `contact_ms` is 3,000
    for node in system.nodes:
        _, answer = await system.ask(node, "GET", "/state")
        if answer.status != 200 or "x-worker-seal" not in answer.headers:
            raise small_system.CouldNotRunError("the route does not work")
    if trouble:
        await kill_all(system)
    return await watch(system)


async def kill_all(system: small_system.System) -> None:
    """Kill all processes at the same moment, and start them again within a second."""
    await asyncio.gather(*(machine.kill() for machine in system.machines()))
    for machine in system.machines():
        machine.bootstrap = False
    await asyncio.sleep(DOWN_S)
    await asyncio.gather(*(node.start() for node in system.nodes))
    await asyncio.sleep(CORE_LATER_S)
    await asyncio.gather(*(core.start() for core in system.cores))


async def watch(system: small_system.System) -> int:
    """Send requests to every node for some seconds, and judge their answers."""
    foreign = served = 0
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until:
        for node in system.nodes:
            _, answer = await system.ask(node, "GET", "/state")
            if answer.end == "complete" and 200 <= answer.status < 300:
                served += 1
                if "x-worker-seal" not in answer.headers:
                    foreign += 1
                    system.record.write(f"a success without a worker's seal: {answer.body[:120]!r}")
        await asyncio.sleep(0.05)
    system.record.write(f"{served} successes, {foreign} of them without a worker's seal")
    if not served:
        raise small_system.CouldNotRunError("nothing was served")
    return small_system.BROKEN if foreign else small_system.HELD


if __name__ == "__main__":
    folder = str(pathlib.Path(__file__).parent)
    sys.exit(small_system.play(folder, case, ["osborne-hall", "malaga-hall", "kewdale-hall"], 3, 3))
