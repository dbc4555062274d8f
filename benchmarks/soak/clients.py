"""Clients of a soak, each of which keeps using one connection to one node until the node's process is gone."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import typing

from benchmarks import fleet
from benchmarks.soak import records

if typing.TYPE_CHECKING:
    import collections.abc

ANSWER_TIMEOUT_S = 20.0
RECONNECT_DELAY_S = 0.05
MAX_PAUSE_S = 0.3  # longest time between an answer and the next request on the connection
BODY = b"x" * 64


class ClosedError(Exception):
    """The connection ended before the end of the answer."""


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Read one HTTP answer: its status, its headers by lower-case name, and its body.

    Raises:
        ClosedError: The connection ended before the end of the answer.
    """
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:]) if name}
        body = await _read_body(reader, headers)
    except (OSError, EOFError, ValueError) as error:
        raise ClosedError from error
    return int(head[0].split()[1]), headers, body


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


class Client:
    """One client: it sends one request after the other on a connection that it keeps open.

    Args:
        name: Its name, the begin of the ids of its requests.
        node: The name of the node that it uses.
        deployment: The fleet.
        run: The records of the run.
        choose_path: Returns the path of the next request.
        rng: Random numbers for its pauses.
    """

    def __init__(
        self,
        name: str,
        node: str,
        deployment: fleet.Fleet,
        run: records.Records,
        choose_path: collections.abc.Callable[[], str],
        *,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.node = node
        self.fleet = deployment
        self.records = run
        self.choose_path = choose_path
        self.rng = rng
        self.is_stopping = False
        self._count = 0

    async def run(self) -> None:
        """Connect again and again, and use each connection until it ends."""
        while not self.is_stopping:
            try:
                reader, writer = await asyncio.open_connection(fleet.HOST, self.fleet.nodes[self.node].http)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                while not self.is_stopping and await self._send(reader, writer):
                    await asyncio.sleep(self.rng.random() * MAX_PAUSE_S)
            finally:
                writer.close()
                with contextlib.suppress(OSError):
                    await writer.wait_closed()

    async def _send(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send one request and wait for its answer; returns whether the connection can be used again."""
        self._count += 1
        identifier = f"{self.name}-{self._count}"
        path = self.choose_path()
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: soak",
            f"X-Exchange-Id: {identifier}",
            "X-Send-Number: 1",
            f"Content-Length: {len(BODY)}",
        ]
        attempt = records.Attempt(identifier, self.node, path, time.monotonic())
        self.records.attempts.append(attempt)
        headers: dict[str, str] = {}
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + BODY)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                attempt.status, headers, attempt.body = await read_answer(reader)
            attempt.end = records.AttemptEnd.ANSWERED
        except TimeoutError:
            attempt.end = records.AttemptEnd.TIMED_OUT
        except (ClosedError, OSError):
            attempt.end = records.AttemptEnd.CLOSED
        attempt.ended_at = time.monotonic()
        return attempt.end is records.AttemptEnd.ANSWERED and headers.get("connection", "").lower() != "close"
