"""Operators of a core machine that is cut off: no stale read, no wrong refusal, no false acknowledgement."""

import unittest.mock
from typing import Any

import pytest
from twisted.internet import defer, error
from twisted.web import client

from iriswheel.cli import command
from iriswheel.consensus import timing, view_consensus
from iriswheel.control import submitted_changes
from iriswheel.replication import tail
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message
from iriswheel.verification import history
from simulation import addresses, simulated_cluster
from tests import deferreds

SECOND = units.SECOND_US
CUT_SECONDS = 20
HEAD, MIDDLE, TAIL = 0, 1, 2  # indexes in the chain of three core machines


class ClusterWithNewestNumber(simulated_cluster.SimulatedCluster):
    """A cluster that records the newest change number known to any of its operators."""

    newest_number = 0


class Caller:
    """An operator that uses a single core machine and records its calls and answers in the event log."""

    def __init__(self, simulated: ClusterWithNewestNumber, core: str) -> None:
        self.cluster = simulated
        self.runtime = simulated.operator_runtime
        self.address = f"{simulated.places[core][0]}:{addresses.HTTP_PORT}"
        self.name = f"at-{core}"
        self.slowest = 0  # µs; the longest time to an answer

    async def call(
        self, method: str, path: str, document: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any], int]:
        """Send one request; returns its status (0: none came), its document and its sending time."""
        started_at = self.runtime.now()
        response = defer.ensureDeferred(command.send_request(self.runtime, [self.address], method, path, document))
        try:
            answered = await self.runtime.within(response, 3 * SECOND)
            status, answer = answered.status, answered.document
        except (scheduler.DeadlineError, error.ConnectionDone, error.ConnectionLost, client.ResponseFailed, ValueError):
            status, answer = 0, {}
        if status:
            self.slowest = max(self.slowest, self.runtime.now() - started_at)
        return status, answer, started_at

    async def read(self) -> int:
        status, document, started_at = await self.call("GET", "/blueprint")
        if status == 200:
            row = dict(stamp=document["stamp"], blueprint=document["blueprint"], began=started_at, who=self.name)
            self.cluster.event_log.put(self.runtime.now(), "read", **row)
            number = document["blueprint"].get("marks", {}).get("operator", {}).get("number", 0)
            self.cluster.newest_number = max(self.cluster.newest_number, number)
        return status

    async def submit(self, number: int, built_on: int, path: str) -> int:
        content = {"upsert": {"routes": {"r": {"path": path, "pool": self.cluster.pool}}}}
        self.cluster.numbered_calls += 1
        row = dict(call=f"{self.name}-{self.cluster.numbered_calls}", number=number, built_on=built_on)
        self.cluster.event_log.put(self.runtime.now(), "number_sent", content=path, **row)
        status, _, _ = await self.call("POST", "/changes", {"number": number, "built_on": built_on, **content})
        self.cluster.event_log.put(self.runtime.now(), "numbered", status=status, **row)
        return status

    async def run_until(self, until: int) -> None:
        """Until a given time, read and submit changes built on the newest number that any operator knows."""
        while self.runtime.now() < until:
            await self.read()
            newest_number = self.cluster.newest_number
            number = newest_number + self.runtime.rng.randrange(1, 3)
            path = f"/{self.name}/{self.runtime.rng.randrange(2)}"
            for _ in range(2):  # repeated, as after a lost answer
                if await self.submit(number, newest_number, path) == 200:
                    self.cluster.newest_number = max(self.cluster.newest_number, number)
            await self.runtime.sleep(self.runtime.rng.randrange(SECOND // 2, 2 * SECOND))


class TestCoreMachineCutOff:
    def run_with_cut(
        self, seed: int, chain_index: int, inward: bool, outward: bool, cores: int = 3
    ) -> tuple[ClusterWithNewestNumber, list[Caller], list[dict[str, Any]]]:
        """Cut the core machine at a chain index from the others for CUT_SECONDS, while operators work at all of them.

        Returns:
            The cluster, the operators, and the events recorded during the cut.
        """
        cluster = ClusterWithNewestNumber(
            seed, "small", long_rate=0, short_rate=0, conversations=0, cores=cores, seats=cores
        )
        cluster.probing = False
        cluster.begin()
        cluster.advance(2)
        head = cluster.head()
        assert head is not None
        assert head.consensus.view is not None
        chain = head.consensus.view.chain
        cut = next(c for c in cluster.cores.values() if c.consensus.own_voter.id == chain[chain_index].id)
        others = [c.options.host for c in cluster.cores.values() if c is not cut]
        callers = [Caller(cluster, name) for name in cluster.cores]
        until = cluster.world.time + (CUT_SECONDS + 10) * SECOND
        tasks = [cluster.operator_runtime.spawn(caller.run_until(until), simulated_cluster.log) for caller in callers]
        cluster.advance(2 + cluster.rng.random())
        if outward:
            cluster.world.cut([cut.options.host], others, both=False)
        if inward:
            cluster.world.cut(others, [cut.options.host], both=False)
        before = len(cluster.event_log.rows)
        cluster.advance(CUT_SECONDS)
        rows = cluster.event_log.rows[before:]
        cluster.world.heal()
        cluster.advance_until(lambda: all(task.called for task in tasks), 30)
        return cluster, callers, rows

    @pytest.mark.parametrize(
        ("chain_index", "inward", "outward"),
        [(HEAD, True, True), (MIDDLE, True, False), (TAIL, False, True), (TAIL, True, True)],
    )
    def test_a_cut_off_core_machine_gives_its_operators_no_wrong_answer(
        self, chain_index: int, inward: bool, outward: bool
    ) -> None:
        case = (chain_index, inward, outward)
        cluster, callers, rows_during_cut = self.run_with_cut(40, *case)
        assert history.complaints(cluster.event_log.rows) == [], case
        assert any(r["kind"] == "numbered" and r["status"] == 200 for r in rows_during_cut), case
        assert any(r["kind"] == "read" for r in rows_during_cut), case
        assert max(caller.slowest for caller in callers) < SECOND, case

    def test_a_core_machine_that_knows_it_is_cut_off_refuses_at_once(self) -> None:
        cluster = ClusterWithNewestNumber(3, "small", long_rate=0, short_rate=0, conversations=0)
        cluster.probing = False
        cluster.begin()
        cluster.advance(2)
        core = next(iter(cluster.cores))
        others = [other.options.host for name, other in cluster.cores.items() if name != core]
        cluster.world.cut([cluster.places[core].host], others)
        cluster.advance(timing.PEER_TIMEOUT_US / SECOND + 0.1)
        caller = Caller(cluster, core)
        for call in (caller.read(), caller.submit(1, 0, "/x")):
            answered = cluster.operator_runtime.spawn(call, simulated_cluster.log)
            cluster.advance_until_called(answered, 3)
            assert deferreds.result_of(answered) == 503
        assert caller.slowest < SECOND // 20
        cluster.world.heal()
        cluster.advance(3)
        answered = cluster.operator_runtime.spawn(caller.read(), simulated_cluster.log)
        cluster.advance_until_called(answered, 3)
        assert deferreds.result_of(answered) == 200

    def test_the_checker_finds_stale_reads_if_the_tail_ignores_its_lease(self, monkeypatch: pytest.MonkeyPatch) -> None:
        answer_read = tail.Tail.answer_read

        def answer_read_without_lease(self: tail.Tail, msg: message.ReadRequest) -> message.ReadResponse:
            with unittest.mock.patch.object(self.position.consensus, "holds_lease", return_value=True):
                return answer_read(self, msg)

        monkeypatch.setattr(tail.Tail, "answer_read", answer_read_without_lease)
        # A machine that knows it is cut off refuses before it checks the lease, but this test is about the lease.
        monkeypatch.setattr(view_consensus.ViewConsensus, "is_cut_off", lambda _self: False)
        cluster, _, _ = self.run_with_cut(40, 2, True, True)
        assert "read number" in "".join(history.complaints(cluster.event_log.rows))

    def test_the_checker_finds_wrong_refusals_without_a_read_at_the_tail(self, monkeypatch: pytest.MonkeyPatch) -> None:
        local_state_for = submitted_changes.ChangeApplier.local_state_for
        monkeypatch.setattr(
            submitted_changes.ChangeApplier,
            "local_state_for",
            lambda self, change: local_state_for(self, change)._replace(read_at_tail=True),
        )
        cluster, _, _ = self.run_with_cut(40, 2, True, True)
        assert "refused" in "".join(history.complaints(cluster.event_log.rows))

    def test_five_core_machines_give_no_wrong_answer_while_the_head_is_cut_off(self) -> None:
        cluster, _, rows_during_cut = self.run_with_cut(50, 0, True, True, cores=5)
        assert history.complaints(cluster.event_log.rows) == []
        assert any(r["kind"] == "numbered" and r["status"] == 200 for r in rows_during_cut)
