"""A refused change is in force nowhere, whichever core machine comes back with it on its disk.

A few seeds of the races are played here; `python -m simulation.refused_changes` plays any number.
"""

from typing import Any

import pytest
from twisted.internet import defer

from iriswheel.replication import commit_record, replicated_log, stored_entries
from iriswheel.runtime import scheduler, storage
from iriswheel.transport import message
from simulation import refused_changes
from tests import deferreds

FAILED_BEFORE_THE_FIX = (10, 14, 29, 39)
"""Seeds in which nodes used a refused change when core machines sent them all that was on their disks."""


def entry(index: int, view: int) -> message.LogEntry:
    """A log entry that applies a change of the configuration."""
    return message.LogEntry(index, view, "apply", f"c{index}-{view}", 0, [("marks/operator", {"number": index})])


class Disk:
    """A disk whose writes end when the test says so, or fail."""

    def __init__(self) -> None:
        self.records: dict[bytes, bytes] = {}
        self.is_full = False
        self.pending: list[tuple[list[storage.Write], defer.Deferred[None]]] = []

    def commit(self, writes: list[storage.Write]) -> defer.Deferred[None]:
        """Begin a write."""
        done: defer.Deferred[None] = defer.Deferred()
        self.pending.append((writes, done))
        return done

    def finish(self) -> None:
        """End the oldest write that has begun."""
        writes, done = self.pending.pop(0)
        if self.is_full:
            done.errback(storage.DiskError("No space is left."))
            return
        self.records.update({key: value for key, value in writes if value is not None})
        done.callback(None)


class TestRecoveredLog:
    """After a restart only those entries count as committed that were recorded as such."""

    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.disk = Disk()

    def log(self) -> replicated_log.ReplicatedLog:
        """The log as a process finds it on the disk at its start."""
        disk: Any = self.disk
        return replicated_log.ReplicatedLog(scheduler.Runtime(None, now=lambda: 0), disk, self.disk.records)

    def append(self, log: replicated_log.ReplicatedLog, *entries: message.LogEntry) -> None:
        """Append entries to a log, and let the write end."""
        appended = defer.ensureDeferred(log.append(list(entries)))
        self.disk.finish()
        deferreds.result_of(appended)

    def test_an_entry_that_was_never_committed_does_not_count_as_committed_after_a_restart(self) -> None:
        log = self.log()
        self.append(log, entry(1, 1), entry(2, 1))
        log.commit(1)
        self.disk.finish()
        restarted = self.log()
        assert (restarted.committed_state.index, restarted.last_index) == (1, 2)

    def test_without_a_record_only_the_snapshot_counts_as_committed(self) -> None:
        self.append(self.log(), entry(1, 1))
        assert self.log().committed_state.index == 0

    def test_a_record_of_an_entry_that_the_log_does_not_hold_is_disregarded(self) -> None:
        log = self.log()
        self.append(log, entry(1, 1))
        log.commit(1)
        self.disk.finish()
        self.disk.records[replicated_log.entry_key(1)] = replicated_log.encode_entry(entry(1, 2))
        assert self.log().committed_state.index == 0

    def test_committed_states_are_kept_for_nodes_that_rejoin(self) -> None:
        log = self.log()
        self.append(log, *(entry(index, 1) for index in (1, 2, 3)))
        log.commit(2)
        self.disk.finish()
        assert sorted(self.log().history) == [0, 1, 2]

    def test_one_write_at_a_time_records_the_newest_position(self) -> None:
        log = self.log()
        self.append(log, *(entry(index, 1) for index in (1, 2, 3)))
        for index in (1, 2, 3):
            log.commit(index)
        assert len(self.disk.pending) == 1
        self.disk.finish()
        self.disk.finish()
        assert (commit_record.read(self.disk.records), self.disk.pending) == (message.LogPosition(3, 1), [])

    def test_a_record_that_the_disk_refused_is_written_at_the_next_commit(self) -> None:
        log = self.log()
        self.append(log, entry(1, 1), entry(2, 1))
        self.disk.is_full = True
        log.commit(1)
        self.disk.finish()
        self.disk.is_full = False
        log.commit(2)
        self.disk.finish()
        assert commit_record.read(self.disk.records) == message.LogPosition(2, 1)


# Review case 3: nodes that started served a route of a change that had lost its race and was refused.
@pytest.mark.parametrize("seed", FAILED_BEFORE_THE_FIX)
def test_a_refused_change_is_in_force_on_no_node_and_the_newest_one_on_all(seed: int) -> None:
    assert refused_changes.RaceRun(seed).play() == []


def test_the_races_notice_a_log_that_takes_all_its_entries_for_committed(monkeypatch: pytest.MonkeyPatch) -> None:
    def apply_all(log: replicated_log.ReplicatedLog, stored: list[stored_entries.StoredEntry]) -> None:
        for each in stored:
            if each.index > log.latest_state.index:
                log._apply(each, each.decode())
                log._commit_next()

    monkeypatch.setattr(replicated_log.ReplicatedLog, "_apply_recovered", apply_all)
    complaints = [complaint for seed in (7, 11) for complaint in refused_changes.RaceRun(seed).play()]
    assert any("was refused, and was in force" in complaint for complaint in complaints)
