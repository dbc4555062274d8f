"""Which connection between processes gives way to a new one, where too many are open."""

from typing import Any

import loguru
import pytest
from twisted.internet import task, testing

from iriswheel.runtime import scheduler, units
from iriswheel.transport import frames, message, wire

LIMIT = 5


class TestConnectionFactory:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        clock = task.Clock()
        runtime = scheduler.Runtime(clock, now=lambda: int(clock.seconds() * units.SECOND_US))
        self.factory = wire.ConnectionFactory(runtime, lambda *_: None, loguru.logger, connection_limit=LIMIT)

    def connect(self) -> wire.Connection:
        """Open a connection."""
        connection = self.factory.buildProtocol(None)
        transport: Any = testing.StringTransportWithDisconnection()
        transport.protocol = connection
        transport.setTcpNoDelay = lambda _: None
        connection.makeConnection(transport)
        return connection

    def send(self, connection: wire.Connection, content: message.Message, kind: int = wire.FrameKind.CALL) -> None:
        """Receive a message on a connection."""
        raw = wire.encoder.encode(wire.Envelope(kind, 1, content))  # type: ignore[arg-type]  # matters for decoding only
        connection.dataReceived(frames.encode(raw))

    def test_the_oldest_connection_without_a_message_gives_way(self) -> None:
        used = self.connect()
        self.send(used, message.PositionRequest(1, "a"))
        silent = [self.connect() for _ in range(LIMIT - 1)]
        self.connect()
        assert [connection.up for connection in (used, *silent)] == [True, False] + [True] * (LIMIT - 2)

    def test_keep_alives_are_no_use_of_a_connection(self) -> None:
        kept = self.connect()
        self.send(kept, message.KeepAlive(), wire.FrameKind.TELL)
        others = [self.connect() for _ in range(LIMIT)]
        assert (kept.up, others[0].up) == (False, True)

    def test_where_all_are_used_the_least_recently_used_gives_way(self) -> None:
        connections = [self.connect() for _ in range(LIMIT)]
        for connection in (*connections, connections[0]):
            self.send(connection, message.PositionRequest(1, "a"))
        self.connect()
        assert [connection.up for connection in connections[:3]] == [True, False, True]

    def test_an_aborted_connection_holds_no_bytes(self) -> None:
        connection = self.connect()
        connection.dataReceived((1 << 20).to_bytes(4, "big") + bytes(1000))
        assert connection.frames.held_bytes > 0
        connection.close()
        assert connection.frames.held_bytes == 0
