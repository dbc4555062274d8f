"""Clients that take connections or processor time and do not give up: what they send, and a crowd of them."""

import asyncio
import contextlib
import functools
import json
import os
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec

from iriswheel.runtime import protocol
from tests import platform_process, small_fleet

RECONNECT_S = 0.1  # between the end of a connection and the next one of the same client
DRIP_S = 0.5  # between two bytes of a client that sends slowly
HOLD_S = 5.0  # for which a client that reads nothing keeps a connection
PIECE = 65_536  # bytes that a client sends at a time
TINY_CHUNK = b"1\r\nx\r\n"
LARGE_FRAME = 16 << 20  # bytes, half of what a frame between processes may have at most
PROMPT_PARTS = 1_500  # in one head, which stays below the limit on its length
ROUTES = 20_000  # named in a change of some 500 kB
PIPELINED = 200  # requests sent at a time by a client that does not wait for answers
START_S = 2.0  # from the begin of a crowd until it is looked at

MakeHead = Callable[[], bytes]  # makes the begin of a request, without the headers on its length
Misbehaviour = Callable[[small_fleet.Connection, MakeHead], Coroutine[None, None, None]]


async def stay_silent(_connection: small_fleet.Connection, _make_head: MakeHead) -> None:
    """Send nothing."""


async def stop_in_the_head(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send the begin of a head."""
    await connection.send(make_head())


async def drip(connection: small_fleet.Connection, begin: bytes, piece: bytes) -> None:
    """Send some bytes, and then a piece every DRIP_S for as long as the other side takes them."""
    alive = await connection.send(begin)
    while alive:
        await asyncio.sleep(DRIP_S)
        alive = await connection.send(piece)


async def drip_a_head(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send a head byte by byte."""
    await drip(connection, make_head() + b"X-Slow: ", b"x")


async def stop_in_a_small_body(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send a small body without its last byte."""
    await connection.send(make_head() + b"Content-Length: 100\r\n\r\n" + b"x" * 99)


async def drip_a_body(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send a body byte by byte."""
    await drip(connection, make_head() + b"Content-Length: 1000\r\n\r\n", b"x")


async def drip_chunks(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send a body in chunks of one byte, slowly."""
    await drip(connection, make_head() + b"Transfer-Encoding: chunked\r\n\r\n", TINY_CHUNK)


async def keep_the_connection_after_an_answer(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send a whole request, read its answer, and send nothing more."""
    await connection.send(make_head() + b"Content-Length: 0\r\n\r\n")


async def read_no_answer(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send whole requests, read no byte of the answers, and close the connection after a while."""
    connection.reader._transport.pause_reading()  # type: ignore[attr-defined]  # asyncio shows it nowhere else
    await connection.send((make_head() + b"Content-Length: 0\r\n\r\n") * 20)
    await asyncio.sleep(HOLD_S)
    connection.close()


async def send_tiny_chunks_without_pause(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send a body in chunks of one byte as fast as the other side takes them."""
    alive = await connection.send(make_head() + b"Transfer-Encoding: chunked\r\n\r\n")
    while alive:
        alive = await connection.send(TINY_CHUNK * (PIECE // len(TINY_CHUNK)))
        await asyncio.sleep(0)


async def pipeline_without_pause(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send whole requests without waiting for answers, which are read."""
    alive = True
    while alive:
        alive = await connection.send((make_head() + b"Content-Length: 0\r\n\r\n") * PIPELINED)
        await asyncio.sleep(0)


async def send_large_changes(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send whole documents of a legal size, each of which is refused once it has been read; the answers are read."""
    body = large_change()
    alive = True
    while alive:
        alive = await connection.send(make_head() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await asyncio.sleep(0)


@functools.cache
def large_change() -> bytes:
    """A document of a legal size with many objects, which is no valid configuration."""
    return json.dumps({"version": 1, "channels": [{"name": f"r-{number}"} for number in range(ROUTES)]}).encode()


async def send_prompts_of_many_parts(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send requests whose prompts have as many parts as a head can name."""
    parts = ",".join(f"{number:x}:1" for number in range(PROMPT_PARTS))
    alive = True
    while alive:
        head = make_head().replace(b"5c1e07a2:30", parts.encode())
        alive = await connection.send((head + b"Content-Length: 0\r\n\r\n") * 4)
        await asyncio.sleep(0)


async def speak_http(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Send a request of HTTP, at whatever port this is."""
    await connection.send(make_head() + b"Content-Length: 0\r\n\r\n")


async def send_keep_alives(connection: small_fleet.Connection, _make_head: MakeHead) -> None:
    """Send what a process of iriswheel sends on a connection that it does not use."""
    await drip(connection, peer_frame(["Hello", protocol.PROTOCOL_VERSION]), peer_frame(["Ping"]))


async def send_large_frames(connection: small_fleet.Connection, _make_head: MakeHead) -> None:
    """Announce a large frame to a process of iriswheel, and send all of it but its end."""
    alive = await connection.send(peer_frame(["Hello", protocol.PROTOCOL_VERSION]) + LARGE_FRAME.to_bytes(4, "big"))
    for _ in range(LARGE_FRAME // PIECE - 1):
        alive = alive and await connection.send(b"\x01" * PIECE)


async def stop_short_of_the_largest_body(connection: small_fleet.Connection, make_head: MakeHead) -> None:
    """Announce the largest legal body and send all of it but the last byte."""
    length = small_fleet.BODY_LIMIT
    await connection.send(make_head() + f"Content-Length: {length}\r\n\r\n".encode() + bytes(length - 1))


def peer_frame(content: list[Any]) -> bytes:
    """A message between processes of iriswheel that needs no answer."""
    raw = msgspec.msgpack.encode([0, 0, content])
    return len(raw).to_bytes(4, "big") + raw


IDLE: dict[str, Misbehaviour] = {
    "silence": stay_silent,
    "the begin of a head": stop_in_the_head,
    "a head byte by byte": drip_a_head,
    "a small body that stops short": stop_in_a_small_body,
    "a body byte by byte": drip_a_body,
    "chunks byte by byte": drip_chunks,
    "kept after an answer": keep_the_connection_after_an_answer,
    "answers that are not read": read_no_answer,
}
BUSY: dict[str, Misbehaviour] = {
    "tiny chunks": send_tiny_chunks_without_pause,
    "pipelined requests": pipeline_without_pause,
    "prompts of many parts": send_prompts_of_many_parts,
}


def node_head() -> bytes:
    """The begin of a client's request to a node."""
    headers = {**small_fleet.REQUEST_HEADERS, "X-Attempt-Id": os.urandom(8).hex()}
    return small_fleet.head("POST", f"{small_fleet.PATH}2f", headers)[:-2]


def readiness_head() -> bytes:
    """The begin of a poll of a node's readiness."""
    return small_fleet.head("GET", "/readiness", {"Host": small_fleet.HOST})[:-2]


def core_read_head() -> bytes:
    """The begin of a read of the configuration at a core machine."""
    return small_fleet.head("GET", "/configuration", {"Host": small_fleet.HOST})[:-2]


def core_blueprint_head() -> bytes:
    """The begin of a read of the configuration in iriswheel's own format at a core machine."""
    return small_fleet.head("GET", "/blueprint", {"Host": small_fleet.HOST})[:-2]


def core_change_head() -> bytes:
    """The begin of an operator's change at a core machine."""
    return small_fleet.head("PUT", "/configuration", {"Host": small_fleet.HOST, "If-Match": "1"})[:-2]


class Crowd:
    """Clients at one port, each of which opens its connection anew whenever that is closed.

    Args:
        fleet: The deployment.
        host: The address of the machine that they misbehave at.
        port: The port that they misbehave at.
        size: How many they are.
        misbehaviour: What each of them does with a connection.
        make_head: Makes the begin of their requests.
    """

    def __init__(
        self,
        fleet: small_fleet.SmallFleet,
        host: str,
        port: int,
        *,
        size: int,
        misbehaviour: Misbehaviour,
        make_head: MakeHead,
    ) -> None:
        self.fleet, self.host, self.port, self.size = fleet, host, port, size
        self.misbehaviour, self.make_head = misbehaviour, make_head
        self.opened = 0  # connections so far

    async def run(self) -> None:
        """Misbehave without an end."""
        await asyncio.gather(*(self._run_client() for _ in range(self.size)))

    async def _run_client(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                connection = await self.fleet.connect(self.host, self.port)
                self.opened += 1
                try:
                    await self._use(connection)
                finally:
                    connection.close()
            await asyncio.sleep(RECONNECT_S)

    async def _use(self, connection: small_fleet.Connection) -> None:
        """Misbehave on a connection, and read until the other side closes it."""
        misbehaving = asyncio.create_task(self.misbehaviour(connection, self.make_head))
        try:
            while await connection.reader.read(PIECE):
                pass
        finally:
            misbehaving.cancel()
            await asyncio.gather(misbehaving, return_exceptions=True)


class Watched:
    """Lets crowds misbehave at a deployment and records the peaks of all its processes.

    Args:
        fleet: The deployment.
        crowds: The crowds.
    """

    def __init__(self, fleet: small_fleet.SmallFleet, *crowds: Crowd) -> None:
        self.machines = [*fleet.cores, fleet.node]
        self.crowds = crowds
        self.watches = [small_fleet.ResourceWatch(machine) for machine in self.machines]
        self._tasks: list[asyncio.Task[Any]] = []

    async def __aenter__(self) -> "Watched":
        """Begin, and return once the crowds have had the time to take what they can get."""
        running: list[Awaitable[None]] = [watch.run() for watch in self.watches]
        running += [crowd.run() for crowd in self.crowds]
        self._tasks = [asyncio.ensure_future(task) for task in running]
        await asyncio.sleep(START_S)
        return self

    async def __aexit__(self, *_: object) -> None:
        """End the crowds."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def check(self, memory_mb: float, files: int) -> None:
        """Check that each process lives, within its memory and its open files."""
        for machine, watch in zip(self.machines, self.watches, strict=True):
            assert machine.is_running(), (machine.folder.name, machine.output()[-2000:])
            check_peaks(machine, watch, memory_mb, files)


def check_peaks(
    machine: platform_process.PlatformProcess, watch: small_fleet.ResourceWatch, memory_mb: float, files: int
) -> None:
    """Check that a process has stayed within its memory and its open files."""
    assert 0 < watch.peak_mb < memory_mb, (machine.folder.name, watch.peak_mb)
    assert 0 < watch.peak_files < files, (machine.folder.name, watch.peak_files)
