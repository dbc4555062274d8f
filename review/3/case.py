"""Case 3: a configuration that lost its race comes into force at a node that starts."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys
import time
import typing

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import harness

NODES = 8
LAST_ROUND_S = 95  # no round begins later than this
TROUBLE_FREE_ROUNDS = 3
BASE = harness.route("r-base", "base.example")


async def order_until_clear(
    fleet: harness.Fleet, document: dict[str, typing.Any], base: int, cores: list[harness.Process]
) -> int:
    """Send an order again, unchanged, to one core machine after the other, until the answer is clear."""
    until = time.monotonic() + 15
    turn = 0
    while time.monotonic() < until:
        answer = await fleet.put(cores[turn % len(cores)], document, base)
        if answer.status in (200, 400, 409, 412, 413, 422):
            return answer.status
        turn += 1
        await asyncio.sleep(0.2)
    raise harness.CannotRunError(f"no clear answer to version {document['version']}")


async def probe(fleet: harness.Fleet, node: harness.Process, hosts: list[str], seconds: float) -> None:
    """Send requests on some routes to a node, one after another on each, from before it listens."""

    async def one(host: str) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            _, answer = await fleet.request(node, host, "/pufi791/a", 2000)
            await asyncio.sleep(0.02 if answer.status else 0.05)

    await asyncio.gather(*(one(host) for host in hosts))


async def play(fleet: harness.Fleet, trouble: bool) -> list[str]:
    """Let two changes on the same version race while core machines are lost, until a rule breaks or time is over."""
    version = 10
    routes = [BASE]
    await fleet.begin(harness.document(version, routes))
    losers: dict[str, float] = {}  # host of a route that only a refused configuration has -> time of the refusal
    turn = 0
    while fleet.now() < LAST_ROUND_S and (trouble or turn < TROUBLE_FREE_ROUNDS) and not broken(fleet, losers):
        head, middle, tail = await chain(fleet)
        one = harness.document(version + 1, [*routes, harness.route(f"r-one-{turn}", f"one{turn}.example")])
        two = harness.document(version + 2, [*routes, harness.route(f"r-two-{turn}", f"two{turn}.example")])
        fleet.note("round", turn=turn, head=head.name, middle=middle.name, tail=tail.name)
        if trouble:
            middle.kill()  # node_kill on core; it is back after half a second
            first = asyncio.create_task(fleet.put(head, one, version))
            await asyncio.sleep(0.25)
            head.kill()  # node_kill with power: dark until the race is decided
            await first
            await asyncio.sleep(harness.RESTART_DELAY_S - 0.25)
            middle.start()
            second_status = await order_until_clear(fleet, two, version, [tail, middle])
            first_status = await order_until_clear(fleet, one, version, [middle, tail])
        else:
            first_status, second_status = await asyncio.gather(
                order_until_clear(fleet, one, version, [head]), order_until_clear(fleet, two, version, [tail])
            )
        if {first_status, second_status} != {200, 412}:
            raise harness.CannotRunError(f"no winner and loser: {first_status}, {second_status}")
        winner, loser = (one, f"two{turn}.example") if first_status == 200 else (two, f"one{turn}.example")
        routes, version = winner["channels"], winner["version"]
        losers[loser] = fleet.now()
        fleet.note("race", first=first_status, second=second_status, loser=loser)
        if trouble:  # closing fault kill_all, after which every machine is back
            for process in (middle, tail, *fleet.nodes):
                process.kill()
            await asyncio.sleep(harness.RESTART_DELAY_S)
            for process in (*fleet.cores, *fleet.nodes):
                process.start()
        hosts = [f"one{turn}.example", f"two{turn}.example"]
        await asyncio.gather(*(probe(fleet, node, hosts, 1.5) for node in fleet.nodes))
        until = time.monotonic() + 10
        while not all(fleet.ready.get(node.name) for node in fleet.nodes) and time.monotonic() < until:
            await asyncio.sleep(0.2)
        await asyncio.sleep(harness.BOUNDS["settle_s"] - 1.5 if trouble else 0)
        turn += 1
    return broken(fleet, losers)


def broken(fleet: harness.Fleet, losers: dict[str, float]) -> list[str]:
    """The runs of requests that were sent after their route's only configuration had been refused."""
    sent = {event["attempt"]: event for event in fleet.events if event["kind"] == "sent"}
    return [
        f"CONFIG: {run['host']} ran at {run['worker']} at {run['t']} s through {sent[run['attempt']]['machine']}, "
        f"though its configuration was refused (412) at {losers[run['host']]} s"
        for run in fleet.events
        if run["kind"] == "run" and run["host"] in losers and sent[run["attempt"]]["t"] > losers[run["host"]]
    ]


async def fleet_call(process: harness.Process) -> harness.Answer:
    """Ask a core machine for its state."""
    return await harness.call(process.address, "GET /state", {"Host": "control"}, timeout=0.5)


async def chain(fleet: harness.Fleet) -> list[harness.Process]:
    """The core machines in the order of the chain, from what they show of themselves."""
    until = time.monotonic() + 15
    while time.monotonic() < until:
        shown = [json.loads((await fleet_call(core)).body or b"{}") for core in fleet.cores]
        orders = [state.get("chain") or state.get("view", {}).get("chain") for state in shown if state]
        by_id = {state.get("id"): core for state, core in zip(shown, fleet.cores, strict=True)}
        if all(orders) and len(orders) == 3 and all(order == orders[0] for order in orders) and len(orders[0]) == 3:
            return [by_id[entry if isinstance(entry, str) else entry["id"]] for entry in orders[0]]
        await asyncio.sleep(0.3)
    raise harness.CannotRunError(f"the chain has not formed: {shown}")


if __name__ == "__main__":
    harness.run_case(pathlib.Path(__file__).resolve().parent, NODES, 4, play)
