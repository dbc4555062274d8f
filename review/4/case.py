"""CONFIG: after some hundreds of changes with many routes in place, the core's processes outgrow their memory.

The stand-in for the platform does what the users' page says: it kills a process that exceeds its memory, and starts it
again. A process of the core then reads its log, and exceeds its memory again.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common2 import small_system

FIRST_ROUTES = 8
MORE_ROUTES = 350
STORMS = 18
STORM_CHANGES = 25  # 2.0 s long, as the storm of the site's day trouble-2
GAP_S = 0.08  # from the sending of one change to that of the next, or longer where the acknowledgement takes longer
PAUSE_S = 1.0  # between two storms
ACK_S = 10.0  # longest wait for an acknowledgement; the pages say 4 s
QUIET_S = 5.0
READ_BACK_S = 10.0  # the pages say `contact_ms` at least, 3 s


def routes(count: int, *, with_first: bool) -> list[dict[str, object]]:
    """The routes of a version: the same ones each time, and before them one that is there in every second version."""
    listed = [small_system.channel(f"r-{n:06x}", f"/hall/{n:06x}/", "streaming") for n in range(count)]
    return [small_system.channel("r-added", "/added/", "streaming"), *listed] if with_first else listed


async def send_storms(system: small_system.System, version: int, count: int) -> int:
    """Send storms of changes until one is not acknowledged in time; returns the newest acknowledged version."""
    with_first = False
    for _ in range(STORMS):
        for _ in range(STORM_CHANGES):
            sent_at, with_first = time.monotonic(), not with_first
            document = small_system.configuration(version + 2, routes(count, with_first=with_first))
            if not await system.put(document, version, ACK_S):
                return version
            version += 2
            await asyncio.sleep(max(0.0, sent_at + GAP_S - time.monotonic()))
        await asyncio.sleep(PAUSE_S)
    return version


async def case(system: small_system.System, trouble: bool) -> int:
    """Play the case."""
    await system.start()
    watches = [asyncio.create_task(machine.enforce_memory()) for machine in system.machines()]
    version = 2
    if not await system.put(small_system.configuration(version, routes(FIRST_ROUTES, with_first=False)), 0):
        raise small_system.CouldNotRunError("the first configuration was not acknowledged")
    await system.wait_until_ready()
    version = await send_storms(system, version, FIRST_ROUTES + (MORE_ROUTES if trouble else 0))
    system.record.write(f"the newest acknowledged version is {version}, after {version // 2 - 1} changes")
    await asyncio.sleep(QUIET_S)

    until, is_back = time.monotonic() + READ_BACK_S, False
    while time.monotonic() < until and not is_back:
        answer = await system.order("GET", "/configuration", limit_s=2.0)
        # the change without a clear answer may be in force, and may as well not be
        is_back = answer.status == 200 and json.loads(answer.body)["version"] in (version, version + 2)
        await asyncio.sleep(0.1)
    for core in system.cores:
        system.record.write(f"{core.name} was killed for its memory {core.memory_ends} times")
    system.record.write(f"version {version} was " + ("read back" if is_back else "not read back"))
    for watch in watches:
        watch.cancel()
    return small_system.HELD if is_back else small_system.BROKEN


if __name__ == "__main__":
    folder = str(pathlib.Path(__file__).parent)
    sys.exit(small_system.play(folder, case, ["osborne-hall", "malaga-hall", "kewdale-hall"], 2, 2))
