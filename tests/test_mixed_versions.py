"""A fleet serves while half of its processes run an earlier version: that of commit e746a15.

The processes of the earlier version are simulated by its frozen messages: each frame that such a process sends or
receives is first decoded and encoded by them. A frame that does not come out byte for byte is dropped, since a process
of that version could not have read it, and the test fails.
"""

import collections
import collections.abc
import contextlib
import typing
from unittest import mock

import pytest

from iriswheel.transport import wire
from iriswheel.verification import replay
from simulation import simulated_cluster
from simulation.scenarios import actions
from tests import frozen_codec, recorded


def method_dropping_mismatched_frames(
    name: str, old: set[str], codec: frozen_codec.FrozenCodec
) -> typing.Callable[..., None]:
    """Wrap a method of `wire.Connection` so that it drops frames which an old process could not have sent or read."""
    original = getattr(wire.Connection, name)

    def method(connection: wire.Connection, raw: bytes) -> None:
        if connection.transport.process.name not in old or codec.passes(raw):
            original(connection, raw)

    return method


@contextlib.contextmanager
def mixed_fleet(old: set[str]) -> collections.abc.Iterator[frozen_codec.FrozenCodec]:
    """Let the named simulated processes use the messages of the earlier version; yield their codec."""
    codec = frozen_codec.FrozenCodec()
    with contextlib.ExitStack() as stack:
        for name in ("_send_frame", "_receive_frame"):
            replacement = method_dropping_mismatched_frames(name, old, codec)
            stack.enter_context(mock.patch.object(wire.Connection, name, replacement))
        yield codec


def test_each_recorded_frame_is_reencoded_unchanged_by_the_frozen_messages() -> None:
    codec = frozen_codec.FrozenCodec()
    for record in recorded.load("wire.json")["messages"].values():
        for sample in record.values():
            frame = bytes.fromhex(sample["frame"])[4:]
            assert codec.repeat(frame) == frame


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("93000093a548656c6c6f0304", id="further field"),
        pytest.param("93000092a548656c6c7003", id="unknown tag"),
    ],
)
def test_a_frame_with_a_further_field_or_an_unknown_tag_is_refused(text: str) -> None:
    with pytest.raises(frozen_codec.MismatchError):
        frozen_codec.FrozenCodec().repeat(bytes.fromhex(text))


def run_with_changes_and_restarts(cluster: simulated_cluster.SimulatedCluster) -> None:
    """Submit changes, and kill and restart two core machines and the pool owner meanwhile."""
    cluster.begin()
    actions.confirm_changes(cluster, 6, 3)
    cluster.advance(6)
    for name in ("c1", "c2"):
        actions.kill(cluster, name, restart_after=2)
        cluster.advance(8)
    owner = cluster.owner()
    assert owner is not None
    actions.kill(cluster, owner.options.name, restart_after=2)
    cluster.advance(10)
    cluster.end()


@pytest.mark.parametrize(
    ("old", "seed"),
    [
        pytest.param({"c1", "n1", "n2", "n3"}, 5, id="one half"),
        pytest.param({"c2", "c3", "n4", "n5", "n6"}, 6, id="the other half"),
    ],
)
def test_a_fleet_serves_while_half_of_its_processes_use_the_messages_of_e746a15(old: set[str], seed: int) -> None:
    cluster = simulated_cluster.SimulatedCluster(seed, "magnolia", seconds=50)
    with mixed_fleet(old) as codec:
        run_with_changes_and_restarts(cluster)
    assert codec.failures == []
    assert replay.judge(cluster.event_log.rows) == {}
    kinds = collections.Counter(row["kind"] for row in cluster.event_log.rows)
    assert kinds["whole"] > 200
    assert kinds["confirmed"] > 5
    expected = {"Pulse", "Prepare", "Promise", "Append", "Sessions", "Beat", "Join", "Elect", "Granted", "Copy"}
    assert expected - set(codec.seen) == set()
