"""The memory that a replica keeps for past changes, however many and however large they are."""

import tracemalloc
import typing
from collections.abc import Callable
from typing import Any

import pytest

from iriswheel.replication import chain_position, proposals, replicated_log, replicated_state, tail
from iriswheel.runtime import scheduler
from iriswheel.transport import message

MAX_KEPT_BYTES = 64 << 20  # the stated target: a process of the control side takes 64 MB
ROUTES = 400
CHANGES = 150
MANY_ROUTES = 1758  # as many as the largest configuration of the known deployments
FEW_CHANGES = 40

Changes = list[tuple[str, dict[str, Any] | None]]
Form = Callable[[int, int], Changes]  # makes the changes of one turn, for a number of routes


class Disk:
    """A disk whose writes are synced at once."""

    def __init__(self) -> None:
        self.records: dict[bytes, bytes] = {}

    async def commit(self, writes: list[tuple[bytes, bytes | None]]) -> None:
        """Write the pairs; None removes a key."""
        for key, value in writes:
            if value is None:
                self.records.pop(key, None)
            else:
                self.records[key] = value

    def log(self) -> replicated_log.ReplicatedLog:
        """The log of a process that starts on this disk."""
        runtime: Any = scheduler.Runtime(None, now=lambda: 0)
        disk: Any = self
        return replicated_log.ReplicatedLog(runtime, disk, dict(self.records))


def route(number: int, *, place: int, cutoff_us: int) -> dict[str, Any]:
    """A route as the users' platform has it translated."""
    sent = {
        "name": f"r-{number:06x}", "authority": "host.example", "path_prefix": f"/hall/{number:06x}/",
        "mode": "streaming", "cutoff_ms": cutoff_us // 1000, "setpoint_ms": 800, "urgency": 0, "plant": "p",
        "retries": 1, "pinned": True, "resumable": False, "gap_setpoint_ms": 200,
    }  # fmt: skip
    return {
        "path": f"/hall/{number:06x}/", "host": "host.example", "cutoff_us": cutoff_us, "aim_us": 800_000,
        "gap_us": 200_000, "label": {"place": place, "sent": sent}, "urgency": 0, "sends": 1, "repeat": "never",
        "resume": False, "pool": "p",
    }  # fmt: skip


def moved(turn: int, routes: int) -> Changes:
    """One route more or less at the front of the operator's list: only the labels of all others change."""
    return [(f"routes/r-{n:06x}", route(n, place=n + turn % 2, cutoff_us=10_000_000)) for n in range(routes)]


def with_other_timeouts(turn: int, routes: int) -> Changes:
    """A new timeout for all routes: what nodes receive changes too."""
    return [(f"routes/r-{n:06x}", route(n, place=n, cutoff_us=10_000_000 + turn)) for n in range(routes)]


def with_nested_labels(turn: int, routes: int) -> Changes:
    """One item with a label that takes much more memory as objects than in its encoded form."""
    return [("pools/p", {"label": {"turn": turn, "list": [{} for _ in range(routes * 40)]}})]


def renamed(turn: int, routes: int) -> Changes:
    """All routes are replaced by routes with other names."""
    removals: Changes = [(f"routes/{turn - 1}-{n}", None) for n in range(routes)] if turn else []
    return removals + [(f"routes/{turn}-{n}", route(n, place=n, cutoff_us=10_000_000)) for n in range(routes)]


FORMS = [moved, with_other_timeouts, with_nested_labels, renamed]


def received(changes: Changes, index: int) -> message.LogEntry:
    """An entry as it arrives: its values share nothing with those of another entry."""
    sent = message.LogEntry(index, 1, "apply", f"c{index - 1}-{index}-0123456789abcdef", index - 1, changes)
    return replicated_log.decode_entry(replicated_log.encode_entry(sent))


async def play(log: replicated_log.ReplicatedLog, form: Form, changes: int, routes: int) -> None:
    """Append and commit changes one after the other."""
    for turn in range(changes):
        await log.append([received(form(turn, routes), log.last_index + 1)])
        log.commit(log.last_index)


def kept_bytes(make: Callable[[], object]) -> int:
    """The bytes that are still in use after a call whose result is kept."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = make()
        after, _ = tracemalloc.get_traced_memory()
        del kept
        return after - before
    finally:
        tracemalloc.stop()


def run(coroutine: Any) -> None:  # noqa: ANN401 - any coroutine that never waits
    """Run a coroutine that never waits to its end."""
    with pytest.raises(StopIteration):
        coroutine.send(None)


# Review case 4: the core outgrew its memory, as the log bounded what it kept by the number of changes alone.
@pytest.mark.parametrize("form", FORMS, ids=lambda form: form.__name__)
def test_the_log_keeps_a_bounded_number_of_bytes_after_many_large_changes(form: Form) -> None:
    def make() -> object:
        disk = Disk()
        log = disk.log()
        run(play(log, form, CHANGES, ROUTES))
        return log, sum(map(len, disk.records.values()))

    assert kept_bytes(make) < MAX_KEPT_BYTES


# Review case 4, with as many routes as the larger deployments bring.
@pytest.mark.parametrize("form", [moved, with_other_timeouts], ids=lambda form: form.__name__)
def test_the_log_keeps_a_bounded_number_of_bytes_with_many_routes(form: Form) -> None:
    def make() -> object:
        disk = Disk()
        log = disk.log()
        run(play(log, form, FEW_CHANGES, MANY_ROUTES))
        return log

    assert kept_bytes(make) < MAX_KEPT_BYTES


# Review case 4: after each restart the core read its log into memory and outgrew it again.
@pytest.mark.parametrize("committed", [CHANGES, 1], ids=["committed", "not known to be committed"])
@pytest.mark.parametrize("form", [moved, with_other_timeouts], ids=lambda form: form.__name__)
def test_a_start_from_a_full_log_keeps_a_bounded_number_of_bytes(form: Form, committed: int) -> None:
    disk = Disk()
    for turn in range(CHANGES):  # as an earlier version wrote it: with one entry for each change
        stored = received(form(turn, ROUTES), turn + 1)
        disk.records[replicated_log.entry_key(turn + 1)] = replicated_log.encode_entry(stored)
    disk.records[b"committed"] = replicated_log.encode_entry(message.LogPosition(committed, 1))
    started = disk.log()
    assert (started.committed_state.index, started.last_index) == (committed, CHANGES)
    assert kept_bytes(disk.log) < MAX_KEPT_BYTES


def test_a_log_that_restarts_often_does_not_grow_without_bound_on_its_disk() -> None:
    disk = Disk()
    for _ in range(20):
        run(play(disk.log(), moved, 12, ROUTES))
    assert sum(map(len, disk.records.values())) < MAX_KEPT_BYTES // 2


def test_what_is_kept_of_the_history_is_exact() -> None:
    log = Disk().log()
    run(play(log, with_other_timeouts, 5, 3))
    state = replicated_state.ReplicatedState()
    for turn in range(5):
        state = state.apply(received(with_other_timeouts(turn, 3), turn + 1))
        assert dict(log.history[turn + 1].published) == dict(state.published)


# Review case 4, by plans: their changes took several times as much memory as their bound says.
def test_open_plans_keep_a_bounded_number_of_bytes() -> None:
    async def make_plans(log: replicated_log.ReplicatedLog) -> None:
        for index in range(1, CHANGES + 1):
            sent = message.LogEntry(index, 1, "plan", f"0-{index}", 0, with_other_timeouts(index, ROUTES))
            await log.append([replicated_log.decode_entry(replicated_log.encode_entry(sent))])
            log.commit(index)

    def make() -> object:
        log = Disk().log()
        run(make_plans(log))
        return log

    assert kept_bytes(make) < MAX_KEPT_BYTES


# Review case 4, with a receiver that is frozen: changes that the other machines do not confirm are refused.
def test_the_head_takes_no_change_while_too_many_wait_to_be_committed() -> None:
    log = Disk().log()
    head = proposals.Proposals(chain_position.ChainPosition(), log, typing.cast("tail.Tail", None))
    assert head._refusal_while_backlogged() is None
    while log.uncommitted_bytes <= proposals.MAX_UNCOMMITTED_BYTES:
        run(log.append([received(moved(0, ROUTES), log.last_index + 1)]))
    refusal = head._refusal_while_backlogged()
    assert refusal is not None
    assert (refusal.code, refusal.execution) == ("no_chain", "not_run")
    log.commit(log.last_index)
    assert head._refusal_while_backlogged() is None


def test_the_bytes_of_an_entry_count_once_toward_the_next_snapshot() -> None:
    disk = Disk()
    log = disk.log()
    run(play(log, moved, 3, ROUTES))
    run(log.append([received(moved(3, ROUTES), 4)]))
    disk.records[b"committed"] = replicated_log.encode_entry(message.LogPosition(3, 1))
    restarted = disk.log()
    restarted.commit(4)
    assert restarted._bytes_since_snapshot == restarted.entries.bytes
