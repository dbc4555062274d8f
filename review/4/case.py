"""CONFIG: after some hundreds of changes with many routes in place, the core's processes outgrow their memory.

The stand-in for the platform does what the users' page says: it kills a process that exceeds its memory, and starts it
again. A process of the core then reads its log, and exceeds its memory again.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common2 import small_system

FIRST_ROUTES = 8
MORE_ROUTES = 350
CHANGES = 450
GAP_S = 0.08  # between two changes, beside the time until the acknowledgement
ACK_S = 10.0  # longest wait for an acknowledgement; the pages say 4 s
QUIET_S = 5.0
READ_BACK_S = 10.0  # the pages say `contact_ms` at least, 3 s


def routes(count: int, *, with_first: bool) -> list[dict[str, object]]:
    """The routes of a version: the same ones each time, and before them one that is there in every second version."""
    listed = [small_system.channel(f"r-{n:06x}", f"/hall/{n:06x}/", "streaming") for n in range(count)]
    return [small_system.channel("r-added", "/added/", "streaming"), *listed] if with_first else listed


async def case(system: small_system.System, trouble: bool) -> int:
    """Play the case."""
    await system.start()
    watches = [asyncio.create_task(machine.enforce_memory()) for machine in system.machines()]
    version, acknowledged, with_first = 2, 0, False
    newest = small_system.configuration(version, routes(FIRST_ROUTES, with_first=False))
    if not await system.put(newest, 0):
        raise small_system.CouldNotRunError("the first configuration was not acknowledged")
    await system.wait_until_ready()
    count = FIRST_ROUTES + (MORE_ROUTES if trouble else 0)
    for _ in range(CHANGES):
        with_first = not with_first
        document = small_system.configuration(version + 2, routes(count, with_first=with_first))
        if not await system.put(document, version, ACK_S):
            break
        version, newest, acknowledged = version + 2, document, acknowledged + 1
        await asyncio.sleep(GAP_S)
    system.record.write(f"{acknowledged} changes were acknowledged, the newest version is {version}")
    await asyncio.sleep(QUIET_S)

    until, is_back = time.monotonic() + READ_BACK_S, False
    while time.monotonic() < until and not is_back:
        answer = await system.order("GET", "/configuration", limit_s=2.0)
        is_back = answer.status == 200 and f'"version": {version},' in answer.body.decode()
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
