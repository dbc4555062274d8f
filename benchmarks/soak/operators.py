"""Operators of a soak: changes in quick succession, and races of two changes with the same base."""

from __future__ import annotations

import asyncio
import itertools
import random
import typing

from benchmarks import fleet
from benchmarks.soak import records

CHANGE_GAPS_S = (0.1, 0.4, 1.0)  # between changes; one is drawn after each
RACE_SHARE = 0.4  # of the changes that meet another one with the same base
CALL_TIMEOUT_S = 2
RETRY_DELAY_S = 0.2
WIDE_SHARE = 0.5  # of the changes that rewrite all further routes
BASE_CUTOFF_US = 10_000_000
ACCEPTED, REFUSED = 200, 409  # HTTP statuses


class Operators:
    """Submits changes, each of which adds a route and drops the one before.

    Args:
        deployment: The fleet.
        run: The records of the run.
        rng: Random numbers.
        routes: The number of further routes, which wide changes rewrite.
    """

    def __init__(self, deployment: fleet.Fleet, run: records.Records, rng: random.Random, routes: int = 0) -> None:
        self.fleet = deployment
        self.records = run
        self.rng = rng
        self.routes = routes
        self.current = 0  # number of the newest acknowledged change
        self.is_stopping = False
        self._last_number = 0

    async def run(self) -> None:
        """Submit changes until the soak stops; a change that has begun is brought to a clear answer."""
        while not self.is_stopping:
            count = 2 if self.rng.random() < RACE_SHARE else 1
            changes = [self._next_change() for _ in range(count)]
            await asyncio.gather(*(self._submit(change) for change in changes))
            await self._read_current()
            await asyncio.sleep(self.rng.choice(CHANGE_GAPS_S))

    def _next_change(self) -> records.Change:
        self._last_number += 1
        change = records.Change(self._last_number, self.current, f"/r/{self._last_number}")
        self.records.changes[change.number] = change
        return change

    async def _submit(self, change: records.Change) -> None:
        """Submit a change to one core machine after the other until one acknowledges or refuses it."""
        route = {"path": change.path, "pool": self.fleet.pool}
        routes = {"soak": route, **self._further_routes(change.number)}
        document = {"number": change.number, "built_on": change.built_on, "upsert": {"routes": routes}}
        names = self.rng.sample(sorted(self.fleet.cores), len(self.fleet.cores))
        for name in itertools.cycle(names):
            status, _ = await self._call(name, "POST", "/changes", document)
            if status == ACCEPTED:
                self.records.outcomes[change.number] = records.ChangeOutcome.ACKNOWLEDGED
                self.current = max(self.current, change.number)
                return
            if status == REFUSED:
                self.records.outcomes[change.number] = records.ChangeOutcome.REFUSED
                return
            await asyncio.sleep(RETRY_DELAY_S)

    def _further_routes(self, number: int) -> dict[str, dict[str, typing.Any]]:
        """The further routes with a new time limit and a new label, if the change is a wide one."""
        if not self.routes or self.rng.random() >= WIDE_SHARE:
            return {}
        changed = {"pool": self.fleet.pool, "cutoff_us": BASE_CUTOFF_US + number, "label": {"change": number}}
        return {f"wide-{count}": {"path": f"/wide/{count}", **changed} for count in range(self.routes)}

    async def _read_current(self) -> None:
        """Read the configuration at some core machine; it must not be older than what was acknowledged."""
        acknowledged = self.current
        name = self.rng.choice(sorted(self.fleet.cores))
        number = await self.read_number(name)
        if number is None:
            return
        if number < acknowledged:
            self.records.complaints.append(f"a read at {name} returned change {number} after {acknowledged}")
        self.current = max(self.current, number)

    async def read_number(self, name: str) -> int | None:
        """The number of the newest change, read at a core machine; None without an answer."""
        status, answer = await self._call(name, "GET", "/blueprint", None)
        if status != ACCEPTED:
            return None
        return int(answer["blueprint"].get("marks", {}).get("operator", {}).get("number", 0))

    async def _call(
        self, name: str, method: str, path: str, document: dict[str, typing.Any] | None
    ) -> tuple[int, dict[str, typing.Any]]:
        return await asyncio.to_thread(fleet.query, self.fleet.cores[name].http, method, path, document, CALL_TIMEOUT_S)
