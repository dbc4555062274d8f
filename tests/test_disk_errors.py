"""Disks that refuse a write while a voter agrees on a view, and the sync of a new data folder's parents."""

import os
import pathlib
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest
from twisted.internet import defer

from iriswheel.consensus import decisions, view_consensus
from iriswheel.runtime import storage, units
from iriswheel.transport import message
from simulation import addresses, disk_model, host_model, process_model, world

SECOND = units.SECOND_US
VOTERS = [message.Voter(i, f"10.0.1.{k}", addresses.PEER_PORT, "a") for k, i in enumerate("abc", 1)]


class TestVoterWithAFailingDisk:
    """A single voter whose disk fails, without the other machines."""

    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.world = world.World(1)
        self.host = host_model.Host(self.world, "10.0.1.2", "a")
        self.start()
        self.wait(self.consensus.adopt(self.make_view(1)))
        self.world.run(self.world.time + 2 * SECOND)  # a restarted voter waits one lease before it promises

    def start(self) -> None:
        self.process = process_model.SimulatedProcess(self.world, "b", self.host)
        runtime = self.process.runtime()
        self.disk = disk_model.Disk(self.process)
        state = self.disk.read()
        record = msgspec.msgpack.decode(state[b"council"], type=decisions.Record) if state else decisions.Record()
        self.installed: list[message.View] = []
        guard = storage.MonitoredDisk(runtime, self.disk)
        peers: Any = None  # the machine sends nothing
        self.consensus = view_consensus.ViewConsensus(
            runtime, guard, record, VOTERS[1], seeds=[], peers=peers, on_view=self.installed.append
        )

    def make_view(self, number: int, order: str = "abc") -> message.View:
        incarnations = {"b": self.consensus.runtime.incarnation}
        return message.View(number, VOTERS, [message.ChainReplica(i, incarnations.get(i, "x")) for i in order])

    def wait(self, coroutine: Coroutine[Any, Any, Any]) -> Any:  # noqa: ANN401 - what the coroutine returns
        done = defer.ensureDeferred(coroutine)
        self.world.run(self.world.time + SECOND)
        assert done.called
        return done.result

    def test_a_promise_that_cannot_be_synced_is_refused_and_leaves_the_view_open(self) -> None:
        self.host.disk_condition = "full"
        answer = self.wait(self.consensus.answer(message.Prepare(2, (5, "a"), "a")))
        assert (answer.ok, answer.ballot) == (False, (0, ""))
        assert not self.consensus.is_sealed()
        self.host.disk_condition = "ok"
        assert self.wait(self.consensus.answer(message.Prepare(2, (4, "c"), "c"))).ok

    def test_an_acceptance_that_the_disk_refuses_is_not_acknowledged(self) -> None:
        assert self.wait(self.consensus.answer(message.Prepare(2, (5, "a"), "a"))).ok
        self.host.disk_condition = "full"
        answer = self.wait(self.consensus.answer(message.Accept((5, "a"), self.make_view(2, "ab"), "a")))
        assert not answer.ok
        self.host.disk_condition = "ok"
        promise = self.wait(self.consensus.answer(message.Prepare(2, (6, "c"), "c")))
        assert (promise.ok, promise.accepted) == (True, None)

    def test_an_earlier_promise_survives_a_failed_write_and_a_restart(self) -> None:
        assert self.wait(self.consensus.answer(message.Prepare(2, (5, "a"), "a"))).ok
        self.host.disk_condition = "full"
        assert not self.wait(self.consensus.answer(message.Prepare(2, (9, "c"), "c"))).ok
        self.host.disk_condition = "ok"
        assert self.wait(self.consensus.answer(message.Accept((5, "a"), self.make_view(2, "ab"), "a"))).ok
        self.start()
        self.world.run(self.world.time + 2 * SECOND)
        assert not self.wait(self.consensus.answer(message.Prepare(2, (4, "c"), "c"))).ok
        promise = self.wait(self.consensus.answer(message.Prepare(2, (6, "c"), "c")))
        assert (promise.accepted[0], "".join(x.id for x in promise.accepted[1].chain)) == ((5, "a"), "ab")

    def test_a_copy_counts_as_synced_only_once_the_record_is_on_disk(self) -> None:
        self.host.disk_condition = "full"
        done = defer.ensureDeferred(self.consensus.mark_synced(1))
        done.addErrback(lambda f: f.trap(storage.DiskError))
        self.world.run(self.world.time + SECOND)
        assert (done.called, self.consensus.record.synced_view) == (True, 0)

    def test_a_head_whose_disk_refused_the_view_is_synced_once_the_disk_works(self) -> None:
        self.host.disk_condition = "full"
        self.wait(self.consensus.adopt(self.make_view(2, "bac")))
        assert self.consensus.view is not None
        assert (self.consensus.view.number, self.consensus.record.synced_view) == (2, 0)
        self.host.disk_condition = "ok"
        installed = len(self.installed)
        self.world.run(self.world.time + SECOND)
        assert self.consensus.record.synced_view == 2
        assert len(self.installed) == installed + 1  # a second call of on_view, so that the chain starts


class TestDataFolder:
    def test_a_new_data_folder_is_synced_up_to_the_first_existing_parent(
        self, monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
    ) -> None:
        synced: list[pathlib.Path] = []
        fsync = os.fsync

        def recording_fsync(descriptor: int) -> None:
            synced.append(pathlib.Path(f"/proc/self/fd/{descriptor}").readlink())
            fsync(descriptor)

        monkeypatch.setattr(os, "fsync", recording_fsync)
        root = tmp_path.resolve()
        disk = storage.Disk(str(root / "one" / "two"))
        disk.open()
        disk.close()
        folders = {str(path.relative_to(root)) for path in synced if path.is_dir()}
        assert folders == {".", "one", "one/two", "one/two/state"}
