"""Clients that take all connections or all processor time: while they stay, others are served.

Each test starts real processes whose settings give them few open files and little memory. The clients open their
connections anew whenever these are closed. The tests run one at a time, apart from other load:
`python -m pytest -m crowd -n 0`.
"""

import asyncio
import contextlib
import os
import pathlib
import signal
from collections.abc import Callable, Coroutine, Iterator

import pytest

from tests import crowds, platform_process, small_fleet

pytestmark = pytest.mark.crowd

MEMORY_MB = 160  # of each machine; a process that serves nothing has some 45
FILE_LIMIT = 500  # open files of each process, as its settings say
RESERVED_FILES = 200  # of these, for files that are neither sockets nor below the data folder
CROWD = 250  # connections that a crowd tries to hold, more than a process accepts
BUSY_CROWD = 60  # connections of a crowd that sends without pause
SMALL_CROWD = 100  # connections of each crowd where several misbehave at once
ALL_PORTS_CROWD = 30  # connections at each of the nine ports where crowds misbehave at all of them
ROUTES = 4_000  # of a configuration of some 1 MB
HELD_FILE_LIMIT = 1_000  # where requests wait for a worker, which takes two connections each
HELD_CROWD = 700  # requests that wait for a worker
CALLS = 3  # of ordinary callers while a crowd stays
PROMISES = frozenset((408, 421, 429, 503))  # statuses that promise that a request never runs

Condition = Callable[[], Coroutine[None, None, bool]]


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[small_fleet.SmallFleet]:
    """A small deployment, which the test starts; its processes are killed after the test."""
    made = small_fleet.SmallFleet(tmp_path, MEMORY_MB, FILE_LIMIT)
    yield made
    made.stop()


@pytest.fixture
def fleet_with_more_files(tmp_path: pathlib.Path) -> Iterator[small_fleet.SmallFleet]:
    """A small deployment whose processes may open more files."""
    made = small_fleet.SmallFleet(tmp_path, MEMORY_MB, HELD_FILE_LIMIT)
    yield made
    made.stop()


def front_crowd(fleet: small_fleet.SmallFleet, misbehaviour: crowds.Misbehaviour, size: int = CROWD) -> crowds.Crowd:
    """A crowd at the node's port for clients."""
    return crowds.Crowd(
        fleet,
        fleet.node.host,
        fleet.network.front_port,
        size=size,
        misbehaviour=misbehaviour,
        make_head=crowds.node_head,
    )


def ready_crowd(fleet: small_fleet.SmallFleet, misbehaviour: crowds.Misbehaviour, size: int = CROWD) -> crowds.Crowd:
    """A crowd at the node's port for polls of its readiness."""
    return crowds.Crowd(
        fleet,
        fleet.node.host,
        fleet.network.ready_port,
        size=size,
        misbehaviour=misbehaviour,
        make_head=crowds.readiness_head,
    )


def core_crowd(
    fleet: small_fleet.SmallFleet,
    misbehaviour: crowds.Misbehaviour,
    make_head: crowds.MakeHead = crowds.core_read_head,
    size: int = CROWD,
    core: int = 0,
) -> crowds.Crowd:
    """A crowd at a core machine's port for operators."""
    return crowds.Crowd(
        fleet,
        fleet.cores[core].host,
        fleet.network.control_port,
        size=size,
        misbehaviour=misbehaviour,
        make_head=make_head,
    )


def peer_crowd(
    fleet: small_fleet.SmallFleet,
    machine: platform_process.PlatformProcess,
    misbehaviour: crowds.Misbehaviour,
    size: int = CROWD,
) -> crowds.Crowd:
    """A crowd at a machine's port for iriswheel's own processes."""
    port = fleet.network.first_port + (machine is fleet.node)
    return crowds.Crowd(fleet, machine.host, port, size=size, misbehaviour=misbehaviour, make_head=crowds.node_head)


def is_answered(fleet: small_fleet.SmallFleet) -> Condition:
    """A condition: the node answers an ordinary request with 200."""

    async def condition() -> bool:
        return await fleet.ask_node() == 200

    return condition


def is_read(fleet: small_fleet.SmallFleet) -> Condition:
    """A condition: the first core machine answers a read of the configuration with 200."""

    async def condition() -> bool:
        return await fleet.read_configuration() == 200

    return condition


async def check_callers(fleet: small_fleet.SmallFleet, *conditions: Condition) -> None:
    """Check that ordinary callers, each on a new connection, are answered."""
    for _ in range(CALLS):
        for condition in conditions:
            await fleet.wait_until(condition)


class TestNode:
    @pytest.mark.parametrize("misbehaviour", crowds.IDLE.values(), ids=crowds.IDLE)
    def test_a_node_answers_while_a_crowd_takes_its_connections(
        self, fleet: small_fleet.SmallFleet, misbehaviour: crowds.Misbehaviour
    ) -> None:
        async def run() -> None:
            fleet.worker.answer_bytes = 1 << 20 if misbehaviour is crowds.read_no_answer else 16
            async with crowds.Watched(fleet, front_crowd(fleet, misbehaviour)) as watched:
                await check_callers(fleet, is_answered(fleet), fleet.is_ready)
                watched.check(MEMORY_MB, FILE_LIMIT - RESERVED_FILES)

        fleet.play(run)

    @pytest.mark.parametrize("misbehaviour", crowds.BUSY.values(), ids=crowds.BUSY)
    def test_a_node_answers_while_a_crowd_sends_without_pause(
        self, fleet: small_fleet.SmallFleet, misbehaviour: crowds.Misbehaviour
    ) -> None:
        async def run() -> None:
            async with crowds.Watched(fleet, front_crowd(fleet, misbehaviour, BUSY_CROWD)) as watched:
                await check_callers(fleet, is_answered(fleet), fleet.is_ready)
                watched.check(MEMORY_MB, FILE_LIMIT - RESERVED_FILES)

        fleet.play(run)

    @pytest.mark.parametrize("name", ["silence", "a head byte by byte", "kept after an answer"])
    def test_a_node_is_ready_while_a_crowd_takes_the_connections_of_its_readiness_port(
        self, fleet: small_fleet.SmallFleet, name: str
    ) -> None:
        async def run() -> None:
            async with crowds.Watched(fleet, ready_crowd(fleet, crowds.IDLE[name])) as watched:
                await check_callers(fleet, is_answered(fleet), fleet.is_ready)
                watched.check(MEMORY_MB, FILE_LIMIT - RESERVED_FILES)

        fleet.play(run)

    def test_a_node_answers_while_requests_that_wait_for_a_worker_take_its_connections(
        self, fleet_with_more_files: small_fleet.SmallFleet
    ) -> None:
        fleet = fleet_with_more_files

        async def run() -> None:
            fleet.worker.is_answering.clear()
            crowd = front_crowd(fleet, crowds.keep_the_connection_after_an_answer, HELD_CROWD)
            async with crowds.Watched(fleet, crowd) as watched:
                # an ordinary request is refused, as no worker has room for it, but it is answered
                await fleet.wait_until(is_answered_at_all)
                await fleet.wait_until(fleet.is_ready)
                watched.check(MEMORY_MB, HELD_FILE_LIMIT - RESERVED_FILES)
                fleet.worker.is_answering.set()
                await check_callers(fleet, is_answered(fleet))

        async def is_answered_at_all() -> bool:
            return await fleet.ask_node() in PROMISES | {200, 504}

        fleet.worker.capacity = 10 * HELD_CROWD
        fleet.play(run)

    def test_a_refused_request_does_not_run(self, fleet: small_fleet.SmallFleet) -> None:
        refused: set[str] = set()

        async def ask(connection: small_fleet.Connection, _make_head: crowds.MakeHead) -> None:
            identifier = os.urandom(8).hex()
            headers = {**small_fleet.REQUEST_HEADERS, "X-Attempt-Id": identifier, "Content-Length": "100"}
            whole = small_fleet.head("POST", f"{small_fleet.PATH}2f", headers) + b"x" * 100
            await connection.send(whole[:-1])
            await asyncio.sleep(1)
            await connection.send(whole[-1:])
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                first, _ = await small_fleet.read_head(connection.reader)
                if int(first.split()[1]) in PROMISES:
                    refused.add(identifier)

        async def run_client() -> None:
            while True:
                with contextlib.suppress(OSError):
                    connection = await fleet.connect(fleet.node.host, fleet.network.front_port)
                    try:
                        await ask(connection, crowds.node_head)
                    finally:
                        connection.close()
                await asyncio.sleep(crowds.RECONNECT_S)

        async def run() -> None:
            clients = [asyncio.create_task(run_client()) for _ in range(CROWD)]
            await fleet.wait_until(has_refused)
            await check_callers(fleet, is_answered(fleet))
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)
            await asyncio.sleep(1)  # what the node has passed on reaches the worker
            assert not refused.intersection(fleet.worker.received_attempts)

        async def has_refused() -> bool:
            return len(refused) >= CALLS

        fleet.play(run)

    def test_a_slow_client_within_the_limits_is_served_in_calm(self, fleet: small_fleet.SmallFleet) -> None:
        async def run() -> None:
            connection = await fleet.connect(fleet.node.host, fleet.network.front_port)
            await connection.send(crowds.node_head() + b"Content-Length: 40\r\n\r\n")
            for _ in range(40):
                assert await connection.send(b"x")
                await asyncio.sleep(crowds.DRIP_S / 2)
            first, _ = await small_fleet.read_head(connection.reader)
            assert int(first.split()[1]) == 200
            assert fleet.worker.received_lengths == [40]
            connection.close()

        fleet.play(run)


class TestCoreMachine:
    @pytest.mark.parametrize(
        "name", ["silence", "a small body that stops short", "chunks byte by byte", "answers that are not read"]
    )
    def test_a_core_machine_answers_while_a_crowd_takes_its_connections(
        self, fleet: small_fleet.SmallFleet, name: str
    ) -> None:
        async def run() -> None:
            assert await fleet.put_configuration(ROUTES)
            async with crowds.Watched(fleet, core_crowd(fleet, crowds.IDLE[name])) as watched:
                await check_callers(fleet, is_read(fleet), fleet.put_configuration)
                watched.check(MEMORY_MB, FILE_LIMIT - RESERVED_FILES)

        fleet.play(run)

    @pytest.mark.parametrize("name", ["tiny chunks", "pipelined requests"])
    def test_a_core_machine_answers_while_a_crowd_sends_without_pause(
        self, fleet: small_fleet.SmallFleet, name: str
    ) -> None:
        async def run() -> None:
            crowd = core_crowd(fleet, crowds.BUSY[name], crowds.core_change_head, BUSY_CROWD)
            async with crowds.Watched(fleet, crowd) as watched:
                await check_callers(fleet, is_read(fleet), fleet.put_configuration)
                watched.check(MEMORY_MB, FILE_LIMIT - RESERVED_FILES)

        fleet.play(run)

    def test_a_core_machine_answers_while_a_crowd_sends_large_changes(self, fleet: small_fleet.SmallFleet) -> None:
        async def run() -> None:
            crowd = core_crowd(fleet, crowds.send_large_changes, crowds.core_change_head, BUSY_CROWD)
            async with crowds.Watched(fleet, crowd) as watched:
                await check_callers(fleet, is_read(fleet), fleet.put_configuration)
                watched.check(MEMORY_MB, FILE_LIMIT - RESERVED_FILES)

        fleet.play(run)

    @pytest.mark.parametrize(
        ("misbehaviour", "make_head"),
        [
            (crowds.read_no_answer, crowds.core_read_head),
            (crowds.keep_the_connection_after_an_answer, crowds.core_blueprint_head),
        ],
        ids=["answers that are not read", "another format"],
    )
    def test_core_machines_answer_while_crowds_at_each_of_them_read_the_configuration(
        self, fleet: small_fleet.SmallFleet, misbehaviour: crowds.Misbehaviour, make_head: crowds.MakeHead
    ) -> None:
        async def run() -> None:
            assert await fleet.put_configuration(ROUTES)
            at_ports = [core_crowd(fleet, misbehaviour, make_head, core=number) for number in range(len(fleet.cores))]
            async with crowds.Watched(fleet, *at_ports) as watched:
                await check_callers(fleet, is_read(fleet))
                await asyncio.sleep(crowds.HOLD_S)  # the clients open their connections anew, all at once
                await check_callers(fleet, is_read(fleet))
                watched.check(MEMORY_MB, FILE_LIMIT - RESERVED_FILES)

        fleet.play(run)


class TestPeerPorts:
    @pytest.mark.parametrize("misbehaviour", [crowds.stay_silent, crowds.speak_http, crowds.send_keep_alives])
    def test_a_node_joins_while_crowds_take_the_connections_between_processes(
        self, fleet: small_fleet.SmallFleet, misbehaviour: crowds.Misbehaviour
    ) -> None:
        async def run() -> None:
            at_ports = [peer_crowd(fleet, machine, misbehaviour, SMALL_CROWD) for machine in (*fleet.cores, fleet.node)]
            async with crowds.Watched(fleet, *at_ports) as watched:
                await check_callers(fleet, is_answered(fleet), fleet.put_configuration)
                watched.check(MEMORY_MB, FILE_LIMIT - RESERVED_FILES)
                fleet.node.kill()
                fleet.node.start()
                await check_callers(fleet, fleet.is_ready, is_answered(fleet))

        fleet.play(run)

    def test_a_core_machine_comes_back_while_crowds_take_the_connections_between_processes(
        self, fleet: small_fleet.SmallFleet
    ) -> None:
        async def run() -> None:
            at_ports = [
                peer_crowd(fleet, machine, crowds.send_keep_alives, SMALL_CROWD)
                for machine in (*fleet.cores, fleet.node)
            ]
            async with crowds.Watched(fleet, *at_ports):
                fleet.cores[0].kill()
                fleet.cores[0].start()
                await check_callers(fleet, is_read(fleet), fleet.put_configuration, is_answered(fleet))

        fleet.play(run)


class TestAllPortsAtOnce:
    @pytest.mark.parametrize(
        "misbehaviour", [crowds.stop_short_of_the_largest_body, crowds.send_tiny_chunks_without_pause]
    )
    def test_all_processes_serve_while_crowds_misbehave_at_all_ports(
        self, fleet: small_fleet.SmallFleet, misbehaviour: crowds.Misbehaviour
    ) -> None:
        async def run() -> None:
            assert await fleet.put_configuration(ROUTES)
            at_ports = [
                front_crowd(fleet, misbehaviour, ALL_PORTS_CROWD),
                ready_crowd(fleet, misbehaviour, ALL_PORTS_CROWD),
            ]
            for number, machine in enumerate(fleet.cores):
                at_ports.append(core_crowd(fleet, misbehaviour, crowds.core_change_head, ALL_PORTS_CROWD, number))
                at_ports.append(peer_crowd(fleet, machine, crowds.send_large_frames, ALL_PORTS_CROWD))
            at_ports.append(peer_crowd(fleet, fleet.node, crowds.send_large_frames, ALL_PORTS_CROWD))
            async with crowds.Watched(fleet, *at_ports) as watched:
                await check_callers(fleet, is_answered(fleet), fleet.is_ready, is_read(fleet))
                watched.check(MEMORY_MB, FILE_LIMIT - RESERVED_FILES)

        fleet.play(run)


class TestStops:
    @pytest.mark.parametrize("name", ["a body byte by byte", "kept after an answer", "answers that are not read"])
    def test_a_node_stops_under_a_crowd_and_ends_what_it_has_begun(
        self, fleet: small_fleet.SmallFleet, name: str
    ) -> None:
        async def run() -> None:
            fleet.worker.answer_bytes = 1 << 20 if name == "answers that are not read" else 16
            async with crowds.Watched(fleet, front_crowd(fleet, crowds.IDLE[name], SMALL_CROWD)):
                await check_callers(fleet, is_answered(fleet))
                fleet.worker.is_answering.clear()
                begun = await begin_request()
                fleet.node.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.5)
                fleet.worker.is_answering.set()
                assert await begun == 200
                await fleet.wait_until(has_ended)
                assert fleet.node.process is not None
                assert fleet.node.process.returncode == 0

        async def begin_request() -> asyncio.Task[int]:
            """Send a request that reaches the worker; one that the crowd keeps away is sent anew."""
            while True:
                attempt = os.urandom(8).hex()
                asked = asyncio.create_task(fleet.ask_node(attempt=attempt))
                while not asked.done():
                    if attempt in fleet.worker.received_attempts:
                        return asked
                    await asyncio.sleep(small_fleet.POLL_S)

        async def has_ended() -> bool:
            return not fleet.node.is_running()

        fleet.play(run)

    def test_a_core_machine_stops_under_a_crowd(self, fleet: small_fleet.SmallFleet) -> None:
        async def run() -> None:
            assert await fleet.put_configuration(ROUTES)
            async with crowds.Watched(fleet, core_crowd(fleet, crowds.read_no_answer, size=SMALL_CROWD)):
                fleet.cores[0].send_signal(signal.SIGTERM)
                await fleet.wait_until(has_ended)
                assert fleet.cores[0].process is not None
                assert fleet.cores[0].process.returncode == 0
                await check_callers(fleet, fleet.put_configuration, is_answered(fleet))

        async def has_ended() -> bool:
            return not fleet.cores[0].is_running()

        fleet.play(run)
