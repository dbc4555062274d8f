"""The rules about tallies (replicated counters): each add counts once, is not lost, and reaches every core machine.

Each public function checks the rule `tally_<its name>` and yields one complaint per violation.
"""

from __future__ import annotations

import collections
import collections.abc
import typing

if typing.TYPE_CHECKING:
    import simulation.rules.log as event_log

Complaints = collections.abc.Iterator[str]

NOT_DONE_CODES = (429, 503)  # statuses by which the platform promises that the add was not applied


class Acknowledgement(typing.NamedTuple):
    """When a core machine acknowledged an add, and which one."""

    at: int
    machine: str


class Add:
    """One add to a tally, with all attempts to send it.

    Attributes:
        amount: How much is added.
        begun_at: When the first attempt began that may have been applied; None where none may have been.
        acknowledgements: All acknowledgements of the add.
    """

    def __init__(self, amount: int) -> None:
        self.amount = amount
        self.begun_at: int | None = None
        self.acknowledgements: list[Acknowledgement] = []

    def add_attempt(self, attempt: event_log.Row, machine: str) -> None:
        """Take one attempt to send the add to a core machine into account."""
        code = attempt["code"]
        may_count = attempt["sent"] and code not in NOT_DONE_CODES and not 400 <= code < 500
        if may_count and (self.begun_at is None or attempt["began"] < self.begun_at):
            self.begun_at = attempt["began"]
        if code == 200:
            self.acknowledgements.append(Acknowledgement(attempt["at"], machine))


class Tallies:
    """The adds to all tallies of a run, and the reads that succeeded."""

    def __init__(self, log: event_log.Log) -> None:
        self.log = log
        self.adds: collections.defaultdict[str, dict[str, Add]] = collections.defaultdict(dict)
        self.reads: event_log.Rows = []
        for row in log.rows_by_kind["tally_try"]:
            if row["op"] == "add":
                add = self.adds[row["tally"]].setdefault(row["id"], Add(row["amount"]))
                add.add_attempt(row, log.cores_by_host.get(row["host"], ""))
            elif row["code"] == 200:
                self.reads.append(row)

    def possible_sum(self, read: event_log.Row) -> int:
        """The largest sum that a read may return: that of all adds that may have been applied when it was answered."""
        adds = self.adds[read["tally"]].values()
        return sum(add.amount for add in adds if add.begun_at is not None and add.begun_at <= read["at"])

    def own_acknowledged_sum(self, read: event_log.Row) -> int:
        """The sum of the adds that the machine that answered a read had acknowledged since its last restart."""
        machine = self.log.cores_by_host.get(read["host"], "")
        return self._sum(
            read["tally"],
            lambda acknowledgement: (
                acknowledgement.machine == machine
                and acknowledgement.at <= read["began"]
                and self.log.is_same_incarnation(machine, acknowledgement.at, read["began"])
            ),
        )

    def acknowledged_sum(self, read: event_log.Row) -> int:
        """The sum of the adds that any machine had acknowledged at least the merge time before a read.

        The merge time is the bound `merge`, within which an add reaches all core machines.
        """
        until = read["began"] - self.log.bounds["merge"]
        return self._sum(
            read["tally"], lambda acknowledgement: acknowledgement.at <= until and not self._is_excused(acknowledgement)
        )

    def is_fault_free_before(self, read: event_log.Row) -> bool:
        """Whether no core machine had a fault, and no link between zones was cut, in the merge time before a read."""
        since = int(read["began"] - self.log.bounds["merge"])
        has_fault = any(self.log.is_faulted(name, since, read["began"]) for name in self.log.core)
        return not has_fault and not self.log.cuts.has_cut_during(since, read["began"])

    def _sum(self, tally: str, is_counted: collections.abc.Callable[[Acknowledgement], bool]) -> int:
        adds = self.adds[tally].values()
        return sum(
            add.amount for add in adds if any(is_counted(acknowledgement) for acknowledgement in add.acknowledgements)
        )

    def _is_excused(self, acknowledgement: Acknowledgement) -> bool:
        """Whether the loss of an acknowledged add breaks no rule.

        It breaks none where the machine that acknowledged the add was behind a network cut at that time, and lost its
        disk before the merge time after the end of the cut had passed.
        """
        healed_at = self.log.cut_off_until(acknowledgement.machine, acknowledgement.at)
        if healed_at is None:
            return False
        until = healed_at + self.log.bounds["merge"]
        return any(acknowledgement.at <= at <= until for at in self.log.disk_losses[acknowledgement.machine])


def twice(log: event_log.Log) -> Complaints:
    """Complain of a read that returns more than the sum of all adds that may have been applied."""
    tallies = Tallies(log)
    for read in tallies.reads:
        if read["sum"] is not None and read["sum"] > tallies.possible_sum(read):
            yield (
                f"tally {read['tally']} was read as {read['sum']}, "
                f"but only adds of {tallies.possible_sum(read)} may have been applied"
            )


def stale(log: event_log.Log) -> Complaints:
    """Complain of a read that misses an acknowledged add.

    A machine must return what it acknowledged itself since its last restart, and after a merge time without faults
    what any machine acknowledged.
    """
    tallies = Tallies(log)
    for read in tallies.reads:
        if read["sum"] is None:
            continue
        machine = log.cores_by_host.get(read["host"], read["host"])
        own, returned = (
            tallies.own_acknowledged_sum(read),
            f"{machine} returned {read['sum']} for tally {read['tally']}",
        )
        if read["sum"] < own:
            yield f"{returned}, but had acknowledged adds of {own} itself since its restart"
        elif tallies.is_fault_free_before(read) and read["sum"] < tallies.acknowledged_sum(read):
            yield f"{returned}, but machines had acknowledged adds of {tallies.acknowledged_sum(read)}"


def lost(log: event_log.Log) -> Complaints:
    """Complain of a tally that can't be read at the end of the run, or that lacks an add acknowledged before."""
    tallies = Tallies(log)
    final_tries: collections.defaultdict[str, event_log.Rows] = collections.defaultdict(list)
    for row in log.rows_by_kind["tally_try"]:
        if row["op"] == "final":
            final_tries[row["call"]].append(row)
    for tries in final_tries.values():
        read = tries[-1]
        if read["sum"] is None:
            yield f"tally {read['tally']} could not be read at the end of the run, the last status was {read['code']}"
        elif read["sum"] < tallies.acknowledged_sum(read):
            yield (
                f"tally {read['tally']} was {read['sum']} at the end of the run, "
                f"but adds of {tallies.acknowledged_sum(read)} had been acknowledged"
            )
