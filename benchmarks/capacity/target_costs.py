"""Computes the costs of the users' target fleet from the values that the other measurements have saved in files."""

from __future__ import annotations

import collections.abc
import json
import pathlib
import statistics
import typing

from benchmarks.capacity import measuring, node_costs
from iriswheel.dataplane import placement, worker_estimate

SECONDS_A_DAY = 86_400
FIRST_TURN_RETENTION_S = 600  # how long a node remembers the first turn of a possible session
STEP_BUDGET = "15 loops a step"  # limit for work that runs without returning to the reactor
ALL_AT_ONCE = "all at once"  # what `fleet` calls its run with the largest number of nodes, workers and pools


class Target(typing.NamedTuple):
    """The size and the load of the fleet that the users want to operate in two years."""

    nodes: int = 370
    workers: int = 2600
    pools: int = 29
    routes: int = 2000
    requests_per_s: int = 3000
    sessions: int = 1_000_000
    changes_per_day: int = 5600
    restarts_per_day: int = 235
    memberships_per_restart: int = 3


TARGET = Target()


class Values(typing.Protocol):
    """Measured values of several runs; `name` is the name of a run, `line` a measured quantity that grows with `by`."""

    def slope(self, name: str, line: str, by: str) -> float:
        """The slope of a line."""

    def at(self, name: str, line: str, by: str, size: int) -> float:
        """A line's value at a size."""

    def all_at_once(self, name: str) -> dict[str, float] | None:
        """Each line's value with the largest sizes at once, from a run of `fleet`; None without such a run."""


class SavedValues:
    """Values of earlier runs, read from the files that the measurements wrote.

    Args:
        folder: The folder of the files; NAME.json was written by a run with `--out`.
    """

    def __init__(self, folder: str) -> None:
        self.files: dict[str, measuring.Measurements] = {}
        for path in sorted(pathlib.Path(folder).glob("*.json")):
            measurements = self.files[path.stem] = measuring.Measurements()
            for line, by, unit, sizes in json.loads(path.read_text()):
                measurements.rows[line, by] = (unit, {int(size): values for size, values in sizes.items()})

    def slope(self, name: str, line: str, by: str) -> float:
        """The slope of a line."""
        return self.files[name].fit(line, by)[0]

    def at(self, name: str, line: str, by: str, size: int) -> float:
        """A line's value at a size: the measured one, else interpolated between two sizes, else extrapolated."""
        sizes = self.files[name].rows[line, by][1]
        if size in sizes:
            return statistics.median(sizes[size])
        below = max((measured for measured in sizes if measured < size), default=None)
        above = min((measured for measured in sizes if measured > size), default=None)
        if below is not None and above is not None:
            low, high = statistics.median(sizes[below]), statistics.median(sizes[above])
            return low + (high - low) * (size - below) / (above - below)
        slope, _, _, base, _ = self.files[name].fit(line, by)
        return base + slope * size

    def all_at_once(self, name: str) -> dict[str, float] | None:
        """Each line's value with the largest sizes at once, from a run of `fleet`; None without such a run."""
        if name not in self.files:
            return None
        rows = self.files[name].rows.items()
        by_line = {line: sizes for (line, by), (_, sizes) in rows if by == ALL_AT_ONCE}
        return {line: statistics.median(sizes[max(sizes)]) for line, sizes in by_line.items()}


class TargetTable:
    """The rows of the printed table of the target fleet's costs.

    The column "how" says how a value is computed; docs/CAPACITY.md explains its marks M, X and R.

    Args:
        values: The measured values.
        target: The target fleet.
        fresh_process_bytes: Returns the memory of a newly started process with a node.
    """

    def __init__(
        self,
        values: Values,
        target: Target = TARGET,
        fresh_process_bytes: collections.abc.Callable[[], float] = node_costs.fresh_process_bytes,
    ) -> None:
        self.values = values
        self.target = target
        self.fresh_process_bytes = fresh_process_bytes
        self.rows: list[str] = []
        self.socket_loops = values.at("sockets", "a message sent and taken over a connection", "bytes", 27) / 2
        self.membership_bytes = self.membership_value("a membership on the wire")

    def put(self, role: str, what: str, how: str, value: float, unit: str, *, budget: str = "") -> None:
        """Add a row."""
        self.rows.append(f"| {role} | {what} | {how} | {measuring.three_digits(value)} {unit} | {budget} |")

    def build(self) -> list[str]:
        """All rows, in the order of docs/CAPACITY.md."""
        self.put_memberships()
        for name, path in (("fleetwarden", "wardens"), ("fleetnode", "node election")):
            costs = self.values.all_at_once(name)
            if costs is not None:
                self.put_fleet(path, costs)
        self.put_memory()
        self.put_changes()
        self.put_losses()
        self.put_sessions()
        self.put_selections()
        return self.rows

    def membership_value(self, line: str) -> float:
        """A quantity of `lists` for the target's members, workers and pools, extrapolated along its three slopes."""
        target, values = self.target, self.values
        measured = (("members", target.nodes, 8), ("workers", target.workers, 36), ("pools", target.pools, 1))
        growth = sum(values.slope("lists", line, by) * (size - least) for by, size, least in measured)
        return growth + values.at("lists", line, "members", 8)

    def put_memberships(self) -> None:
        """Add the size of a membership, and the cost of a day's memberships."""
        target = self.target
        how = "2.4 KB + members, workers, pools by their slopes (X)"
        self.put("all", "a whole membership", how, self.membership_bytes / 1000, "KB")
        loops = self.membership_value("a membership read")
        self.put("all", "read at a node, one step", "as its bytes (X)", loops, "loops", budget=STEP_BUDGET)
        daily = target.restarts_per_day * target.memberships_per_restart
        how = f"{target.restarts_per_day} failures and restarts x {target.memberships_per_restart} words each (R)"
        self.put("all", "memberships a day", how, daily, "")
        bytes_per_s = daily * self.membership_bytes / SECONDS_A_DAY
        self.put(
            "node", "memberships in, mean", "memberships a day x membership (X)", bytes_per_s, "B/s", budget="16 KB/s"
        )
        out = bytes_per_s * target.nodes / 1000
        self.put("cores", "memberships out, mean, all nodes", "x nodes (X)", out, "KB/s")

    def put_fleet(self, path: str, costs: dict[str, float]) -> None:
        """Add the cost of each role in an idle fleet.

        Args:
            path: What selects the workers, as printed: "wardens" or "node election".
            costs: Values of `fleet` by line, such as "node: loops".
        """
        for role in ("node", "lister", "warden", "core", "tail"):
            if f"{role}: loops" not in costs:
                continue
            edge = role in ("node", "lister", "warden")
            loops_limit = "48 loops/s" if edge else "3,000 loops/s: a machine"
            bytes_limit = "16 KB/s" if edge else ""
            messages = costs[f"{role}: in"] + costs[f"{role}: out"]
            loops = costs[f"{role}: loops"] + messages * self.socket_loops
            how = "own steps (M) + messages x half a socket's (M)"
            self.put(role, f"{path}: processor, quiet", how, loops, "loops/s", budget=loops_limit)
            self.put(role, f"{path}: longest step", "M", costs[f"{role}: step"], "loops", budget=STEP_BUDGET)
            for way in ("in", "out"):
                unit = f"KB/s in {measuring.three_digits(costs[f'{role}: {way}'])} messages"
                self.put(role, f"{path}: {way}", "M", costs[f"{role}: {way}_bytes"] / 1000, unit, budget=bytes_limit)

    def memory(self) -> list[tuple[str, str, float]]:
        """The parts of a node's memory: what a part holds, how its size is computed, bytes."""
        target, values = self.target, self.values
        workers_a_pool = target.workers // target.pools
        slice_bytes = values.at("routes", "a slice held at a node", "routes", target.routes)
        rank_bytes = values.at("places", "ranks held, 90 workers", "parts ranked", placement.MAX_RANKINGS)
        part_bytes = values.slope("places", "parts held of the workers at a node", "parts")
        turn_bytes = values.slope("places", "first turns held at a node", "first turns")
        session_bytes = values.slope("places", "sessions held at a node", "sessions")
        membership_bytes = self.membership_value("a membership held at a node")
        return [
            ("a fresh process with a node", "M", self.fresh_process_bytes()),
            ("membership and worker states", "along the slopes (X)", membership_bytes),
            ("slice of the configuration", f"{target.routes} routes", slice_bytes),
            ("others' loads", "workers", values.at("places", "others' loads held", "workers", target.workers)),
            ("ranks", f"{placement.MAX_RANKINGS} a pool x pools, {workers_a_pool} workers", target.pools * rank_bytes),
            (
                "parts known of workers",
                f"{worker_estimate.MAX_PARTS} a worker, full (X)",
                part_bytes * worker_estimate.MAX_PARTS * target.workers,
            ),
            (
                "first turns",
                f"requests a node x {FIRST_TURN_RETENTION_S} s (X)",
                turn_bytes * target.requests_per_s / target.nodes * FIRST_TURN_RETENTION_S,
            ),
            ("sessions", "sessions / nodes", session_bytes * target.sessions / target.nodes),
        ]

    def put_memory(self) -> None:
        """Add the parts of a node's memory and their sum."""
        parts = self.memory()
        for what, how, size in parts:
            self.put("node", f"memory: {what}", how, size / 1e6, "MB", budget="64 MB in all")
        self.put("node", "memory: all of them", "", sum(size for _, _, size in parts) / 1e6, "MB", budget="64 MB")

    def put_changes(self) -> None:
        """Add the tail's periodic check for a new membership, and changes of the configuration."""
        target, values = self.target, self.values
        look = values.at("tail", f"a look for news at the tail, {target.pools} pools", "members", target.nodes)
        how = f"{target.pools} pools, {target.nodes} members (M)"
        self.put("tail", "a look for news", how, look, "loops, ten and more a second", budget=STEP_BUDGET)
        change = values.at("losses", "change: busiest core", "nodes", target.nodes)
        self.put("tail", "a change of the configuration", "nodes (X)", change, "loops", budget="12,000 loops in 4 s")
        size = values.at("losses", "change: between cores", "nodes", target.nodes) / 1000
        self.put("cores", "a change, between cores", "nodes (X)", size, "KB")
        mean = change * target.changes_per_day / SECONDS_A_DAY
        how = f"x {target.changes_per_day} (X)"
        self.put("tail", "changes a day, in the mean", how, mean, "loops/s", budget="3,000 loops/s")

    def put_losses(self) -> None:
        """Add the bytes that are sent after the loss of the tail, a partition, and the loss of a zone or a node."""
        target, values = self.target, self.values
        pairs = target.nodes * (target.nodes - 1)
        named = (
            ("tail", "tail lost, between nodes"),
            ("cut", "a third cut off for 10 s, between nodes"),
        )
        for what, label in named:
            size = values.slope("losses", f"{what}: between nodes", "pairs of nodes") * pairs / 1e6
            self.put("nodes", label, "pairs (X)", size, "MB")
        for what, label in (("zone", "a zone lost, to nodes"), ("restart", "a node restarted, to nodes")):
            slope = values.slope("losses", f"{what}: from cores to nodes", "nodes x membership bytes")
            size = slope * target.nodes * self.membership_bytes / 1e6
            self.put("cores", label, "nodes x membership (X)", size, "MB")

    def put_sessions(self) -> None:
        """Add the costs of session records, at the owner of the largest pool and divided among all nodes."""
        target, values = self.target, self.values
        half = target.sessions // 2
        sweep = values.at("records", "a sweep that finds nothing", "sessions", half)
        what = "all sessions of the largest pool, half of all: sweep, one step"
        self.put("warden", what, "X", sweep, "loops", budget=STEP_BUDGET)
        size = values.at("records", "a whole copy on the wire", "sessions", half) / 1e6
        self.put("warden", "the same: a whole copy", "X", size, "MB", budget="33.6 MB a message")
        sweep = values.slope("records", "a sweep that finds nothing", "sessions") * target.sessions / target.nodes
        self.put(
            "node",
            "sessions cut over nodes: sweep, one step",
            "sessions / nodes (X)",
            sweep,
            "loops",
            budget=STEP_BUDGET,
        )

    def put_selections(self) -> None:
        """Add the cost of a node's selection of a worker, for two sizes of the pool."""
        line = "a worker chosen at a node, its parts ranked before"
        half = self.target.workers // 2
        loops = self.values.at("places", line, "workers of the pool", 90)
        self.put("node", "an election at a node", "90 workers of the pool (M)", loops, "loops", budget=STEP_BUDGET)
        loops = self.values.at("places", line, "workers of the pool", half)
        what = "the same, half of the workers in one pool"
        self.put("node", what, "between two sizes", loops, "loops", budget=STEP_BUDGET)


def target(folder: str) -> None:
    """The costs of the target fleet, from the files that the measurements wrote with --out.

    :param folder: folder with the files, one for each measurement: lists.json, tail.json and so on
    """
    print("| role | what | how | at the target | budget |\n|---|---|---|---|---|")
    print("\n".join(TargetTable(SavedValues(folder)).build()))
