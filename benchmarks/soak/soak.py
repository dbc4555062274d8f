"""One soak: a fleet of real processes, its clients and operators, a time of faults, and the judgement."""

from __future__ import annotations

import asyncio
import json
import pathlib
import random
import typing

from benchmarks import fleet
from benchmarks.soak import clients, faults, judgement, memory, operators, records

RECOVERY_S = 12.0  # the users' bound, after which all nodes must serve by the newest configuration
POLL_S = 0.1
ZONES = ("a", "b", "c")
BASE_PATH = "/v1/complete"
WORKERS = 3


class Settings(typing.NamedTuple):
    """The size of a soak."""

    seed: int
    nodes: int
    clients: int  # for each node
    seconds: float  # of faults
    routes: int = 0  # further routes, all of which many changes rewrite


class SoakFleet(fleet.Fleet):
    """A fleet whose nodes select workers themselves, as on the users' platform."""

    def __init__(self, nodes: int) -> None:
        super().__init__("small")
        self.zone_names = [ZONES[number % len(ZONES)] for number in range(nodes)]
        self.worker_count = WORKERS
        self.configuration["pools"][self.pool] = {"election": "node", "slots": 16}
        self.configuration["routes"] = {"base": {"path": BASE_PATH, "pool": self.pool}}


class Soak:
    """A soak in progress."""

    def __init__(self, settings: Settings, deployment: fleet.Fleet) -> None:
        self.settings = settings
        self.fleet = deployment
        self.records = records.Records()
        self.rng = random.Random(settings.seed)
        self.operators = operators.Operators(deployment, self.records, self._new_rng(), settings.routes)
        self.faults = faults.Faults(deployment, self.records, self._new_rng())
        self.memory = memory.MemoryWatch(deployment)

    def _new_rng(self) -> random.Random:
        return random.Random(self.rng.random())

    async def run(self) -> None:
        """Play the soak: faults and changes for a time, then the recovery to the newest configuration."""
        users = [
            clients.Client(f"{name}-{number}", name, self.fleet, self.records, self._choose_path, rng=self._new_rng())
            for name in sorted(self.fleet.nodes)
            for number in range(self.settings.clients)
        ]
        watching = asyncio.create_task(self.memory.run())
        using = [asyncio.create_task(user.run()) for user in users]
        disturbing = [asyncio.create_task(self.operators.run()), asyncio.create_task(self.faults.run())]
        await asyncio.sleep(self.settings.seconds)
        self.operators.is_stopping = self.faults.is_stopping = True
        await asyncio.gather(*disturbing)
        await self._await_recovery()
        for user in users:
            user.is_stopping = True
        await asyncio.gather(*using)
        watching.cancel()
        self.records.complaints += self.memory.complaints()

    def _choose_path(self) -> str:
        """The base route, or the route of one of the newest changes, whatever came of it."""
        numbers = list(self.records.changes)[-4:]
        if not numbers or self.rng.random() < 0.5:
            return BASE_PATH
        return self.records.changes[self.rng.choice(numbers)].path

    async def _await_recovery(self) -> None:
        """Wait until every node has the routes of the newest acknowledged change, and a read returns it."""
        until = asyncio.get_running_loop().time() + RECOVERY_S
        missing = sorted(self.fleet.nodes)
        while missing and asyncio.get_running_loop().time() < until:
            missing = [name for name in missing if not await asyncio.to_thread(self._is_newest_in_force, name)]
            await asyncio.sleep(POLL_S)
        if missing:
            self.records.complaints.append(
                f"RECOVER: {', '.join(missing)} not at change {self.operators.current} after {RECOVERY_S} s"
            )
        numbers = [await self.operators.read_number(name) for name in sorted(self.fleet.cores)]
        if any(number is not None and number < self.operators.current for number in numbers):
            self.records.complaints.append(f"LOST: reads returned {numbers} after {self.operators.current}")
        if all(number is None for number in numbers):
            self.records.complaints.append("LOST: no core machine answers a read")

    def _is_newest_in_force(self, name: str) -> bool:
        """Whether a node is ready, and answers a request on the newest route, but none on a refused one."""
        if not self.fleet.ready(name):
            return False
        return self.operators.current == 0 or self._status(name, self.operators.current) == judgement.OK

    def _status(self, name: str, number: int) -> int:
        port = self.fleet.nodes[name].http
        return fleet.post_status(port, self.records.changes[number].path, timeout_s=5)

    def find_own_ends(self) -> None:
        """Record the processes that have ended by themselves and were not noticed before."""
        for name, process in self.fleet.processes.items():
            if process.poll() is not None:
                self.records.own_ends.append(f"{name} ended with status {process.returncode}")


class Report(typing.NamedTuple):
    """The result of one soak."""

    settings: Settings
    complaints: list[str]
    attempts: int
    answered: int  # with status 200
    changes: int
    acknowledged: int
    refused: int
    actions: list[str]
    core_mb: float = 0.0  # largest memory of a core machine
    node_mb: float = 0.0  # largest memory of a node


def play(settings: Settings, keep: pathlib.Path | None = None) -> Report:
    """Play one soak; with complaints, its logs and actions are kept in the folder `keep`, if one is given."""
    with SoakFleet(settings.nodes) as deployment:
        deployment.begin()
        soak = Soak(settings, deployment)
        asyncio.run(soak.run())
        soak.find_own_ends()
        logs = [pathlib.Path(deployment.event_log_path(name)) for name in deployment.workers]
        complaints = judgement.judge(soak.records, judgement.read_runs(logs))
        if complaints and keep is not None:
            _keep(deployment, soak, complaints, keep / f"soak-{settings.seed}")
        report = _report(settings, soak.records, complaints)
        return report._replace(
            core_mb=soak.memory.largest_mb(deployment.cores), node_mb=soak.memory.largest_mb(deployment.nodes)
        )


def _keep(deployment: fleet.Fleet, soak: Soak, complaints: list[str], folder: pathlib.Path) -> None:
    """Copy what a soak with complaints has written to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    for source in deployment.folder.iterdir():
        if source.is_file():
            (folder / source.name).write_bytes(source.read_bytes())
    found = {"complaints": complaints, "actions": soak.records.actions}
    (folder / "found.json").write_text(json.dumps(found, indent=1))


def _report(settings: Settings, run: records.Records, complaints: list[str]) -> Report:
    outcomes = list(run.outcomes.values())
    return Report(
        settings,
        complaints,
        attempts=len(run.attempts),
        answered=sum(attempt.status == judgement.OK for attempt in run.attempts),
        changes=len(run.changes),
        acknowledged=outcomes.count(records.ChangeOutcome.ACKNOWLEDGED),
        refused=outcomes.count(records.ChangeOutcome.REFUSED),
        actions=run.actions,
    )
