"""Disk data of earlier versions is read, and written again as recorded; a fleet starts from old data folders.

tests/data/disk.json holds each record with a value in every field. tests/data/folder-e746a15 holds the data folders
of three core machines, as the program of commit e746a15 left them at a loss of power: one had received a whole
snapshot but not the message that makes it valid, and one had synced a change that no other had.
tests/data/folder-format-2 holds the folders that the last program of disk format 2 wrote.
"""

import base64
import functools
import pathlib
import re
import shutil
import typing

import msgspec
import pytest

from iriswheel.consensus import decisions
from iriswheel.control import persistent_state, replica_store
from iriswheel.replication import replicated_log, snapshot_format
from iriswheel.runtime import storage
from iriswheel.transport import message
from simulation import deployment, operator_model, simulated_cluster
from tests import deferreds, recorded

RECORDS = recorded.load("disk.json")["records"]
RECORD_TYPES = {
    "committed": message.LogPosition,
    "council": decisions.Record,
    "entry": message.LogEntry,
    "frame": snapshot_format.Snapshot,
}
FOLDERS = ("folder-e746a15", "folder-format-2")
NAMES = ("c1", "c2", "c3")


def recorded_content(folder: str) -> dict[str, typing.Any]:
    """Return the recorded content of a folder, with the answers that operators had got before it was recorded."""
    recording: dict[str, typing.Any] = recorded.load(f"{folder}/content.json")
    return recording


def recorded_disks(folder: str) -> dict[str, dict[bytes, bytes]]:
    """Return the keys and values of each core machine's recorded data folder."""
    return {
        name: {key.encode(): base64.b64decode(value) for key, value in disk.items()}
        for name, disk in recorded_content(folder)["disks"].items()
    }


def decode_and_encode(key: bytes, raw: bytes) -> bytes:
    """Decode a record from the disk with the present code, and encode it again."""
    if key == b"council":
        return msgspec.msgpack.encode(msgspec.msgpack.decode(raw, type=decisions.Record))
    if key == b"frame":
        return snapshot_format.encode(snapshot_format.decode(raw))
    if key.startswith(b"shelf/"):
        written_at = msgspec.msgpack.decode(raw)[0]
        return replica_store.encode_session_replica(replica_store.decode_session_replica(raw, written_at), written_at)
    if key.startswith(b"e"):
        return replicated_log.encode_entry(replicated_log.decode_entry(raw))
    return raw


@pytest.mark.parametrize(("name", "cls"), RECORD_TYPES.items())
class TestRecords:
    """Records on the disk are decoded and encoded byte for byte as recorded."""

    def test_recorded_bytes_are_read_and_written_unchanged(self, name: str, cls: type) -> None:
        for sample in RECORDS[name].values():
            raw = bytes.fromhex(sample["hex"])
            assert msgspec.msgpack.encode(msgspec.msgpack.decode(raw, type=cls)) == raw

    def test_recorded_values_make_the_recorded_bytes(self, name: str, cls: type) -> None:
        for sample in RECORDS[name].values():
            made: msgspec.Struct = recorded.build(cls, recorded.from_plain(sample["values"]))
            assert msgspec.msgpack.encode(made).hex() == sample["hex"]

    def test_all_fields_are_recorded_and_those_with_defaults_may_be_missing(self, name: str, cls: type) -> None:
        struct: typing.Any = msgspec.inspect.type_info(cls)
        fields = struct.fields
        full, short = (RECORDS[name][sample]["values"] for sample in ("full", "defaults"))
        assert len(full) == len(fields)
        assert len(short) == sum(field.required for field in fields)


@pytest.mark.parametrize(
    ("name", "key"), [("entry", b"e0000000000000007"), ("frame", b"frame"), ("shelf", b"shelf/desk")]
)
def test_the_code_for_the_disk_decodes_and_encodes_records_unchanged(name: str, key: bytes) -> None:
    raw = bytes.fromhex(RECORDS[name]["full"]["hex"])
    assert decode_and_encode(key, raw) == raw


def test_the_addresses_of_the_first_start_have_their_recorded_form() -> None:
    recorded_bytes = bytes.fromhex("9292a831302e302e302e31cd1b5992a831302e302e302e32cd1b59")
    addresses = [("10.0.0.1", 7001), ("10.0.0.2", 7001)]
    assert persistent_state.initial_addresses({b"founding": recorded_bytes}) == addresses
    assert msgspec.msgpack.encode(addresses) == recorded_bytes


def test_log_entry_keys_sort_by_index() -> None:
    assert [replicated_log.entry_key(n) for n in (9, 12_345)] == [b"e0000000000000009", b"e0000000000012345"]


class TestFolders:
    """The recorded data folders contain the cases that they were recorded for, and the program reads all of it."""

    @pytest.mark.parametrize("name", NAMES)
    @pytest.mark.parametrize("folder", FOLDERS)
    def test_the_database_files_are_read(self, folder: str, name: str, tmp_path: pathlib.Path) -> None:
        copy = tmp_path / name
        shutil.copytree(recorded.DATA / folder / name, copy)
        disk = storage.Disk(str(copy))
        disk.open()
        assert disk.read() == recorded_disks(folder)[name]
        disk.close()

    @pytest.mark.parametrize("folder", FOLDERS)
    def test_each_core_machine_has_a_recorded_disk(self, folder: str) -> None:
        assert set(recorded_disks(folder)) == set(NAMES)

    @pytest.mark.parametrize("folder", FOLDERS)
    def test_every_kind_of_record_is_in_the_recorded_folder(self, folder: str) -> None:
        sorts = {key.split(b"/")[0] if not key.startswith(b"e") else b"e" for key in recorded_disks(folder)["c1"]}
        assert sorts == {b"identity", b"format", b"council", b"frame", b"e", b"shelf"}

    def test_every_record_is_encoded_again_unchanged(self) -> None:
        for disk in recorded_disks("folder-e746a15").values():
            for key, raw in disk.items():
                assert decode_and_encode(key, raw) == raw, key
        for disk in recorded_disks("folder-format-2").values():
            for key, raw in disk.items():
                if key != b"frame":
                    assert decode_and_encode(key, raw) == raw, key

    def test_one_recorded_replica_lacks_its_snapshot_and_one_alone_has_the_newest_entry(self) -> None:
        recording = recorded_content("folder-e746a15")
        newest = {
            name: max(key for key in disk if key.startswith(b"e"))
            for name, disk in recorded_disks("folder-e746a15").items()
        }
        behind, head = recording["left_behind"], recording["head"]
        other = next(name for name in NAMES if name not in (behind, head))
        assert b"frame" not in recorded_disks("folder-e746a15")[behind]
        assert newest[behind] < newest[other] < newest[head]

    def test_a_snapshot_of_format_2_gets_the_versions_of_its_accepted_changes(self) -> None:
        recording, raw = recorded_content("folder-format-2"), recorded_disks("folder-format-2")["c1"][b"frame"]
        assert len(msgspec.msgpack.decode(raw)) == 5
        rewritten = msgspec.msgpack.decode(decode_and_encode(b"frame", raw))
        assert rewritten[:5] == msgspec.msgpack.decode(raw)
        confirmed = [plan[3] for _, plan in rewritten[4] if plan[3]]
        assert sorted(rewritten[5].values()) == sorted(confirmed)
        assert rewritten[6] == 0
        assert len(recording["changes"]) > 10


class ClusterOnRecordedDisks(simulated_cluster.SimulatedCluster):
    """A simulated fleet whose core machines start with recorded data on their disks."""

    def __init__(self, disks_by_name: dict[str, dict[bytes, bytes]], missing: str | None = None) -> None:
        super().__init__(11, "small", long_rate=0, short_rate=0, conversations=0)
        self.disks_by_name, self.missing = disks_by_name, missing
        self.first_read: typing.Any = None  # the configuration as read before the first change
        self.sessions_at_start: dict[str, set[str]] = {}

    def start_core(self, name: str, host: str, zone: str) -> None:
        """Start a core machine on the recorded disk."""
        place = self.machine(host, zone)
        place.synced.update(self.disks_by_name[name])
        if name == self.missing:
            self.places[name] = deployment.Place(host, zone)
            return
        super().start_core(name, host, zone)
        replicas = self.cores[name].session_replicas.by_pool
        self.sessions_at_start[name] = {identifier for replica in replicas.values() for identifier in replica.sessions}

    def with_probe(self, k: int, _more: dict[str, typing.Any] | None = None) -> dict[str, typing.Any]:
        """Return the recorded configuration with a probe route, where the base class uses an example configuration."""
        if self.first_read is None:
            operator = operator_model.Operator(self, self.operator_runtime, "reader")
            for _ in range(60):
                done = self.operator_runtime.spawn(operator.query("GET", "/blueprint"), simulated_cluster.log)
                self.advance_until(functools.partial(getattr, done, "called"), 10)
                answered = deferreds.result_of(done)
                if answered is not None and answered[0] == 200:
                    self.first_read = answered[1]
                    break
                self.advance(0.3)
        assert self.first_read is not None
        document: dict[str, typing.Any] = msgspec.json.decode(msgspec.json.encode(self.first_read["blueprint"]))
        document["routes"]["probe"] = {"path": f"/p/{k}", "pool": self.pool}
        self.configuration = self.first_read["blueprint"]
        return document


def start_on_recorded_disks(folder: str, missing: str | None = None) -> ClusterOnRecordedDisks:
    """Start a fleet on recorded disks; the core machine `missing` stays down."""
    cluster = ClusterOnRecordedDisks(recorded_disks(folder), missing)
    cluster.probing = False
    cluster.begin()
    return cluster


def query(
    cluster: simulated_cluster.SimulatedCluster, method: str, path: str, document: dict[str, typing.Any] | None = None
) -> tuple[int, dict[str, typing.Any]]:
    """Send one request as an operator; return the status and the answer."""
    operator = operator_model.Operator(cluster, cluster.operator_runtime, "boss")
    done = cluster.operator_runtime.spawn(operator.query(method, path, document), simulated_cluster.log)
    assert cluster.advance_until(lambda: done.called, 20)
    answered = deferreds.result_of(done)
    assert answered is not None
    return answered


def submit_numbered_change(
    cluster: simulated_cluster.SimulatedCluster, number: int, built_on: int, what: dict[str, typing.Any]
) -> tuple[int, dict[str, typing.Any]]:
    """Submit a numbered change; return the status and the answer."""
    return query(cluster, "POST", "/changes", {"number": number, "built_on": built_on, **what})


def check_acknowledged_changes(cluster: simulated_cluster.SimulatedCluster, recording: dict[str, typing.Any]) -> None:
    """Check that all changes and plans that were acknowledged before the recording still hold."""
    for number, built_on, what in recording["changes"]:
        status, answer = submit_numbered_change(cluster, number, built_on, what)
        assert (status, answer["number"]) == (200, number)
        assert answer["stamp"] <= recording["stamp"]
    status, answer = query(cluster, "POST", f"/plans/{recording['confirmed']['id']}/confirm", {})
    assert (status, answer["stamp"]) == (200, recording["confirmed"]["stamp"])
    assert query(cluster, "GET", f"/plans/{recording['open_plan']['id']}")[0] == 200


def check_a_further_change(cluster: simulated_cluster.SimulatedCluster, folder: str) -> None:
    """Check that another change is accepted, and that the folders of running core machines have the present format."""
    status, now = query(cluster, "GET", "/blueprint")
    number = now["blueprint"]["marks"]["operator"]["number"]
    what = {"upsert": {"routes": {"further": {"path": "/further", "pool": cluster.pool}}}}
    assert submit_numbered_change(cluster, number + 1, number, what)[0] == 200
    status, after = query(cluster, "GET", "/blueprint")
    now["blueprint"]["routes"].update(what["upsert"]["routes"])
    now["blueprint"]["marks"]["operator"]["number"] = number + 1
    assert (status, after["blueprint"]) == (200, now["blueprint"])
    for machine in cluster.cores.values():
        synced = machine.process.host.synced
        keys = {re.sub(rb"^e[0-9]{16}$|^shelf/desk$", b"", key) for key in synced}
        assert keys - {b"", b"identity", b"format", b"council", b"founding", b"frame", b"committed"} == set()
        assert synced[b"format"] == b"3"
        assert synced[b"identity"] in [disk[b"identity"] for disk in recorded_disks(folder).values()]


class TestFleetOnRecordedFolders:
    """A fleet that starts on recorded folders keeps all acknowledged changes, and accepts new ones."""

    @pytest.mark.parametrize(
        ("folder", "missing"),
        [
            ("folder-e746a15", None),
            *(("folder-e746a15", name) for name in NAMES),
            ("folder-format-2", None),
        ],
    )
    def test_a_fleet_keeps_acknowledged_changes_on_all_three_folders_and_on_two_of_them(
        self, folder: str, missing: str | None
    ) -> None:
        recording, cluster = recorded_content(folder), start_on_recorded_disks(folder, missing)
        configuration_at_start = cluster.first_read["blueprint"]
        late = recording.get("late", (0, 0, {"upsert": {"routes": {}}}))
        with_late = {**recording["blueprint"]["routes"], **late[2]["upsert"]["routes"]}
        assert configuration_at_start["routes"] in (recording["blueprint"]["routes"], with_late)
        assert configuration_at_start["pools"] == recording["blueprint"]["pools"]
        check_acknowledged_changes(cluster, recording)
        check_a_further_change(cluster, folder)

    @pytest.mark.parametrize("folder", FOLDERS)
    def test_recorded_sessions_are_loaded_at_the_start(self, folder: str) -> None:
        cluster = start_on_recorded_disks(folder)
        for name, disk in recorded_disks(folder).items():
            kept = {session[1] for session in msgspec.msgpack.decode(disk[b"shelf/desk"])[2]}
            assert kept
            assert cluster.sessions_at_start[name] == kept

    def test_a_folder_of_a_newer_format_is_refused(self) -> None:
        newer = recorded_disks("folder-e746a15")
        for disk in newer.values():
            disk[b"format"] = b"4"
        with pytest.raises(storage.DiskError):
            ClusterOnRecordedDisks(newer).begin()
