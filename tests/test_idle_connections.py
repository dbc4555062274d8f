"""Connections between processes that carry no messages are closed; connections in use stay open."""

from typing import Any

import loguru
import pytest
from twisted.internet import task
from twisted.internet.testing import StringTransport

from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, peers, wire

ADDRESS = ("10.0.2.2", 7001)


class Transport(StringTransport):
    """A transport that records whether its connection was closed."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Accept the option of a TCP transport and ignore it."""


class TestIdleConnections:
    @pytest.fixture(autouse=True)
    def connect(self) -> None:
        self.clock = task.Clock()
        runtime = scheduler.Runtime(self.clock, now=lambda: round(self.clock.seconds() * units.SECOND_US))
        self.transport = Transport()
        self.connection = wire.Connection(runtime, lambda _connection, _content: None, loguru.logger)
        transport: Any = self.transport
        self.connection.makeConnection(transport)
        self.peers = peers.Peers(runtime, lambda _connection, _content: None, loguru.logger)
        self.peers.connections[ADDRESS] = self.connection

    def idle(self, seconds: float) -> None:
        """Let time pass while the other side sends only keep-alives."""
        for _ in range(round(seconds * 4)):
            self.clock.advance(0.25)
            self.connection.last_received = self.connection.runtime.now()

    def is_closed(self) -> bool:
        """Close idle connections, and return whether this connection was closed."""
        self.peers.close_idle()
        return self.transport.disconnected and ADDRESS not in self.peers.connections

    def test_a_connection_that_carries_only_keep_alives_is_closed_after_ten_seconds(self) -> None:
        self.idle(9.75)
        assert not self.is_closed()
        self.idle(0.5)
        assert self.is_closed()

    def test_a_message_restarts_the_idle_time_of_its_connection(self) -> None:
        self.idle(8)
        self.connection.tell(message.MemberLeaving("n1"))
        self.idle(8)
        assert not self.is_closed()

    def test_a_call_that_waits_for_its_answer_keeps_its_connection_open(self) -> None:
        self.connection.call(message.ChargeRequest("t", 1.0), 60 * units.SECOND_US).addErrback(lambda _: None)
        self.idle(20)
        assert not self.is_closed()
