"""The event log of one run, indexed for the rules: its rows by kind and by attempt, its configurations and faults.

All times are microseconds of virtual time.
"""

from __future__ import annotations

import collections
import typing

from iriswheel.runtime import units
from simulation.clients import connection
from simulation.rules import zone_cuts

# The default bounds, which the rules check: those of the smaller deployments, in microseconds where they are times. The
# row `begun` of a log may name others.
BOUNDS: dict[str, int | float] = dict(
    contact=3_000 * units.MILLISECOND_US,  # contact time: time without faults after which machines count as connected
    drain=3_000 * units.MILLISECOND_US,  # from listing a worker as draining or gone until no request may reach it
    grace=8 * units.SECOND_US,  # from SIGTERM until a process must have ended
    loss_slack=200 * units.MILLISECOND_US,  # from sending a request until the node has certainly read it
    apply=2_000 * units.MILLISECOND_US,  # from an acknowledgement until all connected nodes apply the version
    revert=250 * units.MILLISECOND_US,  # from a node's use of a version until it may use no older one
    retry_ratio=0.2,  # repeats allowed per request within the retry window
    retry_window=10 * units.SECOND_US,  # span over which repeats and requests are counted
    retry_slack=52,  # repeats allowed within the retry window besides those of `retry_ratio`
    recovery=12 * units.SECOND_US,  # from the restart of all processes until service must have recovered
    late=120 * units.MILLISECOND_US,  # from sending an event at a worker to its arrival at the client
    ack=4 * units.SECOND_US,  # from sending a change or an evacuation order to its acknowledgement
    evacuate=5 * units.SECOND_US,  # from an order's acknowledgement until no request may reach the zone
    merge=3 * units.SECOND_US,  # merge time: from acknowledging an add to a tally until all core machines have it
    cold_limit=29,  # requests to a cold worker within any one second
)
# Faults that last until the machine's process starts again. "closing" is a fleet outage, "new" the time until a
# replacement core machine starts.
PROCESS_ENDS = ("kill", "power", "term", "closing", "new")
INCARNATION_ENDS = (*PROCESS_ENDS, "gone")  # faults that end a process; "gone" is the removal of a machine for good
POSSIBLY_IN_FORCE_CODES = (200, 0, None)  # acknowledged, without a clear answer, or without any answer yet

Row = dict[str, typing.Any]
Rows = list[Row]


class Fault:
    """A fault of a machine: when it began and ended, and its kind, such as "kill" or "cut"."""

    def __init__(self, begin: int, end: int, what: str) -> None:
        self.begin, self.end, self.what = begin, end, what

    def overlaps(self, begin: int, end: int) -> bool:
        """Whether the fault lasted during a part of a time span."""
        return self.begin <= end and self.end >= begin

    def covers(self, begin: int, end: int) -> bool:
        """Whether the fault lasted throughout a time span."""
        return self.begin <= begin and self.end >= end


def pop_ended_fault(open_faults: list[Fault], what: str | None) -> Fault | None:
    """Remove the fault that a repair ends from a machine's open faults, and return it.

    It is the newest fault of the kind that the repair names. A repair that names none is the start of a process: it
    ends the newest fault in `PROCESS_ENDS`, or without one the newest fault.

    >>> faults = [Fault(1, 99, "kill"), Fault(2, 99, "cut")]
    >>> pop_ended_fault(faults, None).what, pop_ended_fault(faults, "cut").what, pop_ended_fault(faults, "cut")
    ('kill', 'cut', None)
    """
    matching = [fault for fault in open_faults if (fault.what == what if what else fault.what in PROCESS_ENDS)]
    if not matching and not what:
        matching = open_faults
    if not matching:
        return None
    newest = matching[-1]
    open_faults.remove(newest)
    return newest


def events_of(attempt: Row) -> list[connection.ReceivedEvent]:
    """The events that the client received in the response of an attempt."""
    return [connection.ReceivedEvent(*event) for event in attempt["events"]]


class Log:
    """The rows of one run.

    Attributes:
        rows_by_kind: All rows by their kind.
        attempts: The clients' attempts to send a request (rows `tried`), by the attempt's name.
        attempts_by_request: The same rows by the name of the request.
        arrivals: Arrivals of an attempt at workers (rows `arrived`), by its name.
        runs: Starts of an attempt's execution at workers (rows `run`), by its name.
        run_ends: Ends of an attempt's execution at workers (rows `ran`), by its name.
        run_by_seal: Rows `run` by the seal, the token that is unique to one execution; `run_end_by_seal`
            likewise rows `ran`.
        zones: The zone of each machine, empty where the log does not tell it; `worker_zones` likewise by the
            identifier of a worker's instance.
        nodes_by_host: The name of the node at each address; `cores_by_host` likewise of core machines.
        platform_zone: The zone of the platform's list of workers.
        cuts: Network cuts between zones.
        disk_losses: When each machine lost its disk.
        faults: The faults of each machine.
        core_changes: When faults of core machines or network cuts between their zones began or ended.
        configurations: The configurations that operators sent, in the order of sending.
        acknowledged: The configurations that were acknowledged, the oldest acknowledgement first.
    """

    def __init__(self, rows: Rows) -> None:
        self.rows = rows
        self.rows_by_kind: collections.defaultdict[str, Rows] = collections.defaultdict(list)
        for row in rows:
            self.rows_by_kind[row["kind"]].append(row)
        begun = (self.rows_by_kind["begun"] or [{}])[0]
        self.bounds = {**BOUNDS, **begun.get("bounds", {})}
        self.started_at: int = begun.get("at", 0)
        self.ended_at: int = rows[-1]["at"] if rows else 0
        self.attempts = {row["attempt"]: row for row in self.rows_by_kind["tried"]}
        self.attempts_by_request = self._by("tried", "request")
        self.arrivals = self._by("arrived", "attempt")
        self.runs = self._by("run", "attempt")
        self.run_ends = self._by("ran", "attempt")
        self.run_by_seal = {row["seal"]: row for row in self.rows_by_kind["run"]}
        self.run_end_by_seal = {row["seal"]: row for row in self.rows_by_kind["ran"]}
        machines = {**begun.get("machines", {}), **{row["name"]: row for row in self.rows_by_kind["machine"]}}
        self.core = {name for name, machine in machines.items() if machine["role"] == "core"}
        self.zones = {name: machine.get("zone", "") for name, machine in machines.items()}
        self.nodes_by_host = {machine["host"]: name for name, machine in machines.items() if machine["role"] == "edge"}
        self.cores_by_host = {machine["host"]: name for name, machine in machines.items() if machine["role"] == "core"}
        self.worker_zones = {row["worker"]: row["zone"] for row in self.rows_by_kind["placed"]}
        self.platform_zone: str = begun.get("platform_zone", "")
        self.cuts = zone_cuts.ZoneCuts(
            [*self.rows_by_kind["zones_cut"], *self.rows_by_kind["zones_joined"]], self.ended_at
        )
        self.disk_losses: collections.defaultdict[str, list[int]] = collections.defaultdict(list)
        for row in self.rows_by_kind["disk_lost"]:
            self.disk_losses[row["name"]].append(row["at"])
        self.faults: collections.defaultdict[str, list[Fault]] = collections.defaultdict(list)
        self.core_changes = self.cuts.change_times_within({self.zones[name] for name in self.core})
        self._read_faults()
        self.configurations = self._read_configurations()
        acknowledged = (sent for sent in self.configurations if sent["code"] == 200)
        self.acknowledged = sorted(acknowledged, key=lambda sent: sent["answered"])

    def _by(self, kind: str, field: str) -> collections.defaultdict[str, Rows]:
        found: collections.defaultdict[str, Rows] = collections.defaultdict(list)
        for row in self.rows_by_kind[kind]:
            found[row[field]].append(row)
        return found

    def _read_faults(self) -> None:
        open_faults: collections.defaultdict[str, list[Fault]] = collections.defaultdict(list)
        for row in self.rows:
            if row["kind"] not in ("trouble", "mend"):
                continue
            name = row["name"]
            if row["kind"] == "trouble":
                fault = Fault(row["at"], self.ended_at + 1, row["what"])
                open_faults[name].append(fault)
                self.faults[name].append(fault)
            else:
                ended = pop_ended_fault(open_faults[name], row.get("what"))
                if ended is not None:
                    ended.end = row["at"]
            if name in self.core:
                self.core_changes.append(row["at"])

    def _read_configurations(self) -> Rows:
        """Each configuration that an operator sent: its document, when it was sent, and its answer, where one came."""
        found = {
            row["send"]: dict(
                version=row["version"],
                base=row["base"],
                doc=row["doc"],
                valid=row["valid"],
                sent=row["at"],
                code=None,
                answered=None,
            )
            for row in self.rows_by_kind["config_sent"]
        }
        for row in reversed(self.rows_by_kind["acknowledgement_lost"]):
            if row["send"] in found:  # the others are acknowledgements of evacuation orders
                found[row["send"]]["acknowledged"] = row["at"]
        for row in self.rows_by_kind["config_answer"]:
            found[row["send"]].update(code=row["code"], answered=row["at"])
        return list(found.values())

    # ---- machines -----------------------------------------------------------------------

    def is_faulted(self, name: str, begin: int, end: int) -> bool:
        """Whether a machine had a fault during a part of a time span."""
        return any(fault.overlaps(begin, end) for fault in self.faults[name])

    def is_same_incarnation(self, name: str, begin: int, end: int) -> bool:
        """Whether the same process ran on a machine throughout a time span."""
        return not any(fault.what in INCARNATION_ENDS and fault.overlaps(begin, end) for fault in self.faults[name])

    def cut_off_until(self, name: str, at: int) -> int | None:
        """When the last of the network cuts ended that a machine was behind at a time; None where there was none."""
        zone = self.zones.get(name, "")
        ends = [cut.end for cut in self.cuts.cuts if cut.overlaps(at, at) and any(zone in link for link in cut.links)]
        ends += [fault.end for fault in self.faults[name] if fault.what == "cut" and fault.overlaps(at, at)]
        return max(ends, default=None)

    def is_core_stable(self, at: int) -> bool:
        """Whether the core was stable at a time.

        It was where, throughout the contact time before, no core machine's fault or cut between their zones began or
        ended, and a majority of the core machines was running and connected.
        """
        since = at - self.bounds["contact"]
        if any(since <= change <= at for change in self.core_changes):
            return False
        return not self.core or bool(self._connected_core(since, at))

    def _connected_core(self, begin: int, end: int) -> set[str]:
        """The core machines that ran without a fault throughout a time span and reached a majority of the core."""
        members = {name for name in self.core if not self._is_removed(name, begin, end)}
        running = {name for name in members if not self.is_faulted(name, begin, end)}
        return {
            name
            for name in running
            if 2 * sum(self.has_path(name, other, begin, end) for other in running) > len(members)
        }

    def has_path(self, name: str, other: str, begin: int, end: int) -> bool:
        """Whether no cut between zones separated two machines during any part of a time span."""
        return not self.cuts.cuts or self.cuts.has_path(self.zones[name], self.zones[other], begin, end)

    def _is_removed(self, name: str, begin: int, end: int) -> bool:
        """Whether a machine was removed, or its process was ended by SIGTERM, throughout a time span."""
        return any(fault.what in ("gone", "term") and fault.covers(begin, end) for fault in self.faults[name])

    def is_connected_to_core(self, name: str, at: int) -> bool:
        """Whether a machine was connected to a stable core, so that it must keep the time limits.

        Throughout the contact time before, the machine had no fault, the core was stable, and the machine reached each
        core machine that reached a majority of the core.
        """
        since = at - self.bounds["contact"]
        return (
            not self.is_faulted(name, since, at)
            and self.is_core_stable(at)
            and all(self.has_path(name, other, since, at) for other in self._connected_core(since, at))
        )

    def is_delayed_by_cut(self, arrival: Row) -> bool:
        """Whether the link on which a request came to a worker was cut at any time in the contact time before."""
        node, zone = self.nodes_by_host.get(arrival["peer"]), self.worker_zones.get(arrival["worker"])
        if node is None or zone is None:
            return False
        begin, end = int(arrival["at"] - self.bounds["contact"]), arrival["at"]
        return not self.cuts.has_path(self.zones[node], zone, begin, end)

    # ---- configurations -----------------------------------------------------------------

    def versions_in_force(self, at: int) -> list[int]:
        """The versions that all machines must have applied by a time."""
        return [sent["version"] for sent in self.acknowledged if sent["answered"] + self.bounds["apply"] < at]

    def possibly_in_force(self) -> Rows:
        """The valid configurations that were acknowledged or had no clear answer."""
        return [sent for sent in self.configurations if sent["valid"] and sent["code"] in POSSIBLY_IN_FORCE_CODES]

    def in_force(self, attempt: Row) -> Rows:
        """The configurations that may be in force for an attempt.

        They are the newest that must have been applied when it was sent, and all later ones that may have been.
        """
        floor = max(self.versions_in_force(attempt["sent"]), default=0)
        return [
            sent for sent in self.possibly_in_force() if sent["version"] >= floor and sent["sent"] <= attempt["done"]
        ]
