"""Peers, workers and a list of workers that do not behave: a process stays within its memory, lives, and serves others.

Each test starts real processes whose settings give them little memory. They run one at a time, apart from other load:
`python -m pytest -m crowd -n 0`.
"""

import asyncio
import contextlib
import json
import pathlib
import time
import urllib.request
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import msgspec
import pytest

from iriswheel.runtime import protocol
from tests import small_fleet

pytestmark = pytest.mark.crowd

MEMORY_MB = 160  # of each machine; a process that serves nothing has some 45
FILE_LIMIT = 500  # open files of each process
CROWD = 60  # connections of a crowd that sends much on each
CROWD_OF_IDLE = 600  # connections of a crowd that does little more than connect
ROUTES = 4_000  # of a configuration of some 1 MB
PLAY_S = 5.0  # for which a crowd, the workers or the list misbehave
PIPELINED_PLAY_S = 8.0  # for which answers to pipelined reads pile up
PIECE = 65_536  # bytes
LARGE_FRAME = 16 << 20  # bytes, half of what a frame may have at most
FRAMES_OF_LISTS = 3  # whole frames on a connection that hold nothing but empty lists
LISTS = 4 << 20  # in one frame
CALLS = 200  # on one connection, none of whose answers is read
KEEP_ALIVE_S = 0.3  # between two frames of an idle peer
UNANSWERED_REQUESTS = 30  # requests that are under way at once
LIST_ROWS = 4_000  # workers on one page of a list without an end
TELL, CALL = 0, 1  # kinds of frames

Play = Callable[[], Coroutine[None, None, None]]


def frame(kind: int, sequence: int, content: list[Any]) -> bytes:
    """One frame of a connection between processes."""
    raw = msgspec.msgpack.encode([kind, sequence, content])
    return len(raw).to_bytes(4, "big") + raw


HELLO = frame(TELL, 0, ["Hello", protocol.PROTOCOL_VERSION])
KEEP_ALIVE = frame(TELL, 0, ["Ping"])


async def send_a_frame_without_its_end(connection: small_fleet.Connection, _view: int) -> None:
    """Announce a large frame and send all of it but the last byte, in pieces."""
    alive = await connection.send(HELLO + LARGE_FRAME.to_bytes(4, "big"))
    for _ in range(LARGE_FRAME // PIECE - 1):
        alive = alive and await connection.send(b"\x01" * PIECE)
    if alive:
        await connection.send(b"\x01" * (PIECE - 1))


async def send_frames_of_lists(connection: small_fleet.Connection, _view: int) -> None:
    """Send whole frames of many empty lists, each of which takes many times its one byte once it is decoded."""
    head = msgspec.msgpack.encode([TELL, 0, ["Frame", 1, {"limits/door": None}]])[:-1]
    lists = b"\xdd" + LISTS.to_bytes(4, "big") + b"\x90" * LISTS
    length = (len(head) + len(lists)).to_bytes(4, "big")
    alive = await connection.send(HELLO)
    for _ in range(FRAMES_OF_LISTS):
        alive = alive and await connection.send(length + head + lists)


async def call_and_read_nothing(connection: small_fleet.Connection, view: int) -> None:
    """Ask for the whole configuration again and again, and read no answer."""
    calls = b"".join(frame(CALL, number, ["Look", view, ""]) for number in range(1, CALLS + 1))
    await connection.send(HELLO + calls)
    while await connection.send(KEEP_ALIVE):
        await asyncio.sleep(KEEP_ALIVE_S)


MISBEHAVIOURS = {
    "frames without their end": send_a_frame_without_its_end,
    "frames of lists": send_frames_of_lists,
    "calls": call_and_read_nothing,
}


async def stay_connected(connection: small_fleet.Connection, _view: int) -> None:
    """Send nothing but keep-alives."""
    alive = await connection.send(HELLO)
    while alive:
        await asyncio.sleep(KEEP_ALIVE_S)
        alive = await connection.send(KEEP_ALIVE)


class Watch:
    """Records the peaks of all processes of a deployment while something goes on."""

    def __init__(self, fleet: small_fleet.SmallFleet) -> None:
        self.machines = [*fleet.cores, fleet.node]
        self.watches = [small_fleet.ResourceWatch(machine) for machine in self.machines]

    async def during(self, play: Play, seconds: float = PLAY_S) -> None:
        """Watch while a play goes on, `seconds` at most, and for a moment afterwards."""
        watching = [asyncio.create_task(watch.run()) for watch in self.watches]
        playing = asyncio.create_task(play())
        await asyncio.wait([playing], timeout=seconds)
        await small_fleet.settle(self.watches[0])
        for task in (playing, *watching):
            task.cancel()
        await asyncio.gather(playing, *watching, return_exceptions=True)

    def check(self) -> None:
        """Check that the processes live within their memory and their open files."""
        for machine, watch in zip(self.machines, self.watches, strict=True):
            assert machine.is_running(), (machine.folder.name, machine.output()[-2000:])
            assert 0 < watch.peak_mb < MEMORY_MB, (machine.folder.name, watch.peak_mb)
            assert 0 < watch.peak_files < FILE_LIMIT, (machine.folder.name, watch.peak_files)


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[small_fleet.SmallFleet]:
    """A small deployment, which the test starts; its processes are killed after the test."""
    made = small_fleet.SmallFleet(tmp_path, MEMORY_MB, FILE_LIMIT)
    yield made
    made.stop()


async def core_state(fleet: small_fleet.SmallFleet, number: int) -> dict[str, Any]:
    """What a core machine shows of itself."""

    def read() -> dict[str, Any]:
        address = f"http://{fleet.cores[number].host}:{fleet.network.control_port}/state"
        with urllib.request.urlopen(address, timeout=5) as answer:
            state: dict[str, Any] = json.loads(answer.read())
            return state

    return await asyncio.to_thread(read)


async def tail_number(fleet: small_fleet.SmallFleet) -> int:
    """The number of the core machine that is the tail."""
    states = [await core_state(fleet, number) for number in range(len(fleet.cores))]
    return next(number for number, state in enumerate(states) if state["tail"])


def crowd(
    fleet: small_fleet.SmallFleet,
    address: tuple[str, int],
    misbehave: Callable[[small_fleet.Connection, int], Coroutine[None, None, None]],
    *,
    size: int = CROWD,
    view: int = 0,
    stay_s: float = PLAY_S,
) -> Play:
    """A play: many connections to one address, each of which misbehaves and stays open for `stay_s` after that."""

    async def run_one() -> None:
        with contextlib.suppress(OSError):
            connection = await fleet.connect(*address)
            try:
                await misbehave(connection, view)
                await asyncio.sleep(stay_s)
            finally:
                connection.close()

    async def run() -> None:
        await asyncio.gather(*(run_one() for _ in range(size)))

    return run


async def is_node_serving(fleet: small_fleet.SmallFleet) -> bool:
    """Whether the node answers an ordinary request with 200."""
    return await fleet.ask_node() == 200


async def is_core_serving(fleet: small_fleet.SmallFleet) -> bool:
    """Whether a change is acknowledged and the configuration is read."""
    return await fleet.put_configuration() and await fleet.read_configuration() == 200


class TestPeerPorts:
    @pytest.mark.parametrize("misbehave", MISBEHAVIOURS.values(), ids=MISBEHAVIOURS)
    def test_a_core_machine_survives_peers(self, fleet: small_fleet.SmallFleet, misbehave: Any) -> None:  # noqa: ANN401 - a misbehaviour
        async def run() -> None:
            assert await fleet.put_configuration(ROUTES)
            tail = await tail_number(fleet)
            view = (await core_state(fleet, tail))["view"]
            watch = Watch(fleet)
            address = (fleet.cores[tail].host, fleet.network.first_port)
            await watch.during(crowd(fleet, address, misbehave, view=view))
            await fleet.wait_until(lambda: is_core_serving(fleet))
            watch.check()

        fleet.play(run)

    @pytest.mark.parametrize("misbehave", MISBEHAVIOURS.values(), ids=MISBEHAVIOURS)
    def test_a_node_survives_peers(self, fleet: small_fleet.SmallFleet, misbehave: Any) -> None:  # noqa: ANN401 - a misbehaviour
        async def run() -> None:
            watch = Watch(fleet)
            await watch.during(crowd(fleet, (fleet.node.host, fleet.network.first_port + 1), misbehave))
            await fleet.wait_until(lambda: is_node_serving(fleet))
            watch.check()

        fleet.play(run)

    def test_a_node_survives_many_connections_at_its_peer_port(self, fleet: small_fleet.SmallFleet) -> None:
        async def run() -> None:
            watch = Watch(fleet)
            address = (fleet.node.host, fleet.network.first_port + 1)
            await watch.during(crowd(fleet, address, stay_connected, size=CROWD_OF_IDLE))
            await fleet.wait_until(lambda: is_node_serving(fleet))
            watch.check()

        fleet.play(run)


class TestReads:
    def test_the_core_machines_survive_many_reads_of_a_large_configuration_at_once(
        self, fleet: small_fleet.SmallFleet
    ) -> None:
        async def read(connection: small_fleet.Connection, _view: int) -> None:
            head = small_fleet.head("GET", "/configuration", {"Host": small_fleet.HOST, "Content-Length": "0"})
            while await connection.send(head):
                _, headers = await small_fleet.read_head(connection.reader)
                await connection.reader.readexactly(int(headers["content-length"]))

        async def run() -> None:
            assert await fleet.put_configuration(ROUTES)
            reader = fleet.cores[(await tail_number(fleet) + 1) % len(fleet.cores)]
            watch = Watch(fleet)
            address = (reader.host, fleet.network.control_port)
            with contextlib.suppress(asyncio.IncompleteReadError):
                await watch.during(crowd(fleet, address, read, size=CROWD))
            await fleet.wait_until(lambda: is_core_serving(fleet))
            watch.check()

        fleet.play(run)

    def test_a_core_machine_survives_pipelined_reads_whose_answers_are_not_read(
        self, fleet: small_fleet.SmallFleet
    ) -> None:
        async def read(connection: small_fleet.Connection, _view: int) -> None:
            head = small_fleet.head("GET", "/configuration", {"Host": small_fleet.HOST, "Content-Length": "0"})
            await connection.send(head * CALLS)

        async def run() -> None:
            assert await fleet.put_configuration(ROUTES)
            watch = Watch(fleet)
            address = (fleet.cores[0].host, fleet.network.control_port)
            await watch.during(crowd(fleet, address, read, size=2, stay_s=PIPELINED_PLAY_S), PIPELINED_PLAY_S)
            await fleet.wait_until(lambda: is_core_serving(fleet))
            watch.check()

        fleet.play(run)


async def write_without_end(writer: asyncio.StreamWriter, head: bytes, piece: bytes) -> None:
    """Write a head, and then a piece again and again."""
    writer.write(head)
    with contextlib.suppress(OSError):
        while True:
            writer.write(piece)
            await writer.drain()


async def refuse_without_end(writer: asyncio.StreamWriter, attempt: str) -> None:
    """Refuse a request with a body without an end."""
    head = f"HTTP/1.1 503 Busy\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 99999999999\r\n\r\n"
    await write_without_end(writer, head.encode(), b"x" * PIECE)


async def send_an_event_without_end(writer: asyncio.StreamWriter, attempt: str) -> None:
    """Answer with a stream whose first event has no end."""
    head = (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Worker-Seal: s.{attempt}\r\n"
        "Content-Type: text/event-stream\r\nContent-Length: 99999999999\r\n\r\nid: 1\ndata: "
    )
    await write_without_end(writer, head.encode(), b"x" * PIECE)


async def send_a_head_without_end(writer: asyncio.StreamWriter, attempt: str) -> None:
    """Answer with many headers, and no end of the head."""
    head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n".encode()
    await write_without_end(writer, head, b"".join(b"X-%d: y\r\n" % number for number in range(5_000)))


async def send_a_header_without_end(writer: asyncio.StreamWriter, attempt: str) -> None:
    """Answer with one header without an end."""
    head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Long: ".encode()
    await write_without_end(writer, head, b"x" * PIECE)


WORKER_MISBEHAVIOURS = {
    "refusals": refuse_without_end,
    "events": send_an_event_without_end,
    "heads": send_a_head_without_end,
    "headers": send_a_header_without_end,
}


class TestWorkers:
    @pytest.mark.parametrize("misbehave", WORKER_MISBEHAVIOURS.values(), ids=WORKER_MISBEHAVIOURS)
    def test_a_node_survives_answers_without_an_end(self, fleet: small_fleet.SmallFleet, misbehave: Any) -> None:  # noqa: ANN401 - a misbehaviour
        async def run() -> None:
            fleet.worker.misbehave = misbehave
            watch = Watch(fleet)

            async def ask() -> None:
                ends_at = time.monotonic() + PLAY_S
                while time.monotonic() < ends_at:
                    await fleet.ask_node()

            async def play() -> None:
                await asyncio.gather(*(ask() for _ in range(UNANSWERED_REQUESTS)))

            await watch.during(play)
            fleet.worker.misbehave = None
            await fleet.wait_until(lambda: is_node_serving(fleet))
            watch.check()

        fleet.route_fields = {"mode": "streaming", "resumable": True}
        fleet.play(run)

    @pytest.mark.parametrize("piece", [b"X: y\r\n" * 5_000, b"x" * PIECE], ids=["heads", "headers"])
    def test_a_node_survives_reports_without_an_end(self, fleet: small_fleet.SmallFleet, piece: bytes) -> None:
        async def report(writer: asyncio.StreamWriter) -> None:
            await write_without_end(writer, b"HTTP/1.1 200 OK\r\nX-Worker-Id: i\r\nX-Long: ", piece)

        async def run() -> None:
            fleet.worker.misbehave_on_report = report
            watch = Watch(fleet)
            await watch.during(lambda: asyncio.sleep(PLAY_S))
            fleet.worker.misbehave_on_report = None
            await fleet.wait_until(lambda: is_node_serving(fleet))
            watch.check()

        fleet.play(run)


def list_page(number: int, rows: int) -> bytes:
    """A page of a list of workers, with a next page."""
    entries = [
        {"id": f"i-{number}-{row}", "plant": "other", "address": "127.0.0.1:9", "zone": "a", "state": "draining"}
        for row in range(rows)
    ]
    body = json.dumps({"worker_pool": entries, "next_cursor": f"p{number + 1}"}).encode()
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


async def list_without_end(writer: asyncio.StreamWriter, path: str) -> None:
    """Answer with one full page after the other."""
    number = int(path.rpartition("p")[2]) if "page_token" in path else 0
    writer.write(list_page(number, LIST_ROWS))
    await writer.drain()


async def list_with_a_head_without_end(writer: asyncio.StreamWriter, _path: str) -> None:
    """Answer with many headers, and no end of the head."""
    await write_without_end(writer, b"HTTP/1.1 200 OK\r\n", b"".join(b"X-%d: y\r\n" % n for n in range(5_000)))


async def list_with_a_body_without_end(writer: asyncio.StreamWriter, _path: str) -> None:
    """Answer with a body without an end."""
    await write_without_end(writer, b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b" " * PIECE)


LIST_MISBEHAVIOURS = {
    "pages": list_without_end,
    "heads": list_with_a_head_without_end,
    "bodies": list_with_a_body_without_end,
}


class TestList:
    @pytest.mark.parametrize("misbehave", LIST_MISBEHAVIOURS.values(), ids=LIST_MISBEHAVIOURS)
    def test_the_processes_survive_a_list_without_an_end(self, fleet: small_fleet.SmallFleet, misbehave: Any) -> None:  # noqa: ANN401 - a misbehaviour
        async def run() -> None:
            fleet.misbehave_as_list = misbehave
            watch = Watch(fleet)
            await watch.during(lambda: asyncio.sleep(PLAY_S))
            fleet.misbehave_as_list = None
            await fleet.wait_until(lambda: is_node_serving(fleet))
            watch.check()

        fleet.play(run)
