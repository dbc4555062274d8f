"""What a process holds for its clients stays within one budget, and whole requests are kept."""

from collections.abc import Iterator
from typing import Any

import pytest
from twisted.internet import defer, task, testing

from iriswheel.configuration import configuration
from iriswheel.runtime import scheduler, units
from iriswheel.transport import http_server, memory_budget
from tests import http_connection

MEBIBYTE = 1 << 20
LIMIT = 8 * MEBIBYTE


class Holder:
    """A connection that holds some bytes."""

    def __init__(
        self, budget: memory_budget.MemoryBudget, *, whole: bool = False, released_first: bool = False
    ) -> None:
        self.budget = budget
        self.whole = whole
        self.released_first = released_first
        self.held = 0
        self.was_released = False

    def hold(self, size: int) -> None:
        """Hold this many bytes from now on."""
        self.held = size
        self.budget.update(self)

    def held_bytes(self) -> int:
        """Return the bytes that it holds."""
        return self.held

    def is_released_first(self) -> bool:
        """Whether it is released before all others."""
        return self.released_first

    def release_memory(self) -> bool:
        """Hold nothing any more, unless the request is whole."""
        if self.whole:
            return False
        self.held = 0
        self.was_released = True
        return True


class TestBudget:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.budget = memory_budget.MemoryBudget(LIMIT)

    def holders(self, count: int, size: int, *, whole: bool = False) -> list[Holder]:
        """Make connections that hold `size` bytes each."""
        made = [Holder(self.budget, whole=whole) for _ in range(count)]
        for holder in made:
            holder.hold(size)
        return made

    def test_nothing_is_released_below_the_limit(self) -> None:
        assert not any(holder.was_released for holder in self.holders(6, MEBIBYTE))

    def test_the_largest_unfinished_request_is_released_first(self) -> None:
        small, (large,) = self.holders(20, 1000), self.holders(1, 3 * MEBIBYTE)
        self.holders(4, MEBIBYTE)
        assert large.was_released
        assert not any(holder.was_released for holder in small)

    # Else a crowd at the port for processes has the one large answer of a peer dropped, and keeps its smaller frames.
    def test_connections_of_anyone_are_released_before_larger_ones_of_peers(self) -> None:
        (peer,) = self.holders(1, 3 * MEBIBYTE)
        strangers = [Holder(self.budget, released_first=True) for _ in range(10)]
        for holder in strangers:
            holder.hold(MEBIBYTE)
        assert not peer.was_released
        assert sum(holder.was_released for holder in strangers) > 0

    def test_a_whole_request_is_never_released(self) -> None:
        whole = self.holders(5, MEBIBYTE, whole=True)
        unfinished = self.holders(10, MEBIBYTE)
        assert not any(holder.was_released for holder in whole)
        assert sum(holder.held for holder in whole + unfinished) <= LIMIT

    def test_large_requests_leave_room_for_small_ones(self) -> None:
        self.holders(20, MEBIBYTE, whole=False)
        whole = self.holders(6, MEBIBYTE, whole=True)
        assert sum(holder.held for holder in whole) == 6 * MEBIBYTE
        assert not any(holder.was_released for holder in self.holders(50, 10_000))

    def test_the_largest_request_fits_alone_whatever_the_limit(self) -> None:
        (holder,) = self.holders(1, 100 * MEBIBYTE)
        assert not holder.was_released

    def test_a_connection_that_has_ended_is_charged_no_more(self) -> None:
        first = self.holders(6, MEBIBYTE)
        for holder in first:
            self.budget.remove(holder)
        assert self.budget.used_bytes == 0
        assert not any(holder.was_released for holder in self.holders(6, MEBIBYTE))

    def test_what_was_freed_without_notice_is_counted_before_anything_is_released(self) -> None:
        for holder in self.holders(6, MEBIBYTE):
            holder.held = 0
        assert not any(holder.was_released for holder in self.holders(6, MEBIBYTE))


class TestServer:
    """A server whose budget holds 64 KiB."""

    @pytest.fixture(autouse=True)
    def start_server(self) -> Iterator[None]:
        clock = task.Clock()
        runtime = scheduler.Runtime(clock, now=lambda: int(clock.seconds() * units.SECOND_US))
        self.answer: defer.Deferred[None] = defer.Deferred()
        self.served: list[bytes] = []

        async def handle(request: http_server.Request) -> None:
            self.served.append(request.take_body())
            await self.answer
            request.answer_json(200, {})

        limits = configuration.Limits(body_bytes=100_000)
        budget = memory_budget.MemoryBudget(64 << 10)
        self.server = http_server.Server(runtime, handle, limits=lambda: limits, memory=budget)
        yield
        if not self.answer.called:
            self.answer.callback(None)

    def connect(self) -> tuple[http_server.Channel, testing.StringTransportWithDisconnection]:
        return http_connection.connect(self.server)

    def send(self, length: int, sent: int) -> testing.StringTransportWithDisconnection:
        """Announce a body of some length and send a part of it."""
        channel, transport = self.connect()
        channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % length + b"x" * sent)
        return transport

    def test_unfinished_bodies_beyond_the_budget_are_refused_with_a_promise(self) -> None:
        transports = [self.send(10_000, 9_999) for _ in range(20)]
        refused = [transport for transport in transports if transport.value()]
        assert 10 <= len(refused) < 20
        assert all(transport.value().startswith(b"HTTP/1.1 503") for transport in refused)
        assert all(b'"not_run"' in transport.value() for transport in refused)
        assert not any(transport.connected for transport in refused)
        assert self.server.memory.used_bytes <= 64 << 10

    def test_an_ordinary_request_is_served_beside_them(self) -> None:
        for _ in range(20):
            self.send(10_000, 9_999)
        self.send(10, 10)
        assert self.served == [b"x" * 10]

    def test_a_refused_body_is_never_served(self) -> None:
        transports = [self.send(30_000, 29_999) for _ in range(3)]
        for transport in transports:
            if transport.connected:
                channel: Any = transport.protocol
                channel.dataReceived(b"x")
        assert len(self.served) == sum(not transport.value() for transport in transports)

    def test_whole_bodies_that_wait_are_kept_and_later_ones_refused(self) -> None:
        transports = [self.send(10_000, 10_000) for _ in range(20)]
        self.answer.callback(None)
        statuses = [transport.value()[9:12] for transport in transports]
        assert statuses.count(b"200") == len(self.served) >= 2
        assert statuses.count(b"503") == 20 - len(self.served) >= 10

    def test_later_requests_on_a_connection_are_dropped_and_it_is_closed_after_the_answer(self) -> None:
        connections = [self.connect() for _ in range(4)]
        for channel, _ in connections:
            channel.dataReceived(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx" * 500)
        assert self.server.memory.used_bytes <= 64 << 10
        self.answer.callback(None)
        assert [transport.connected for _, transport in connections].count(False) >= 2
        assert len(self.served) < 4 * 500

    def test_heads_without_an_end_are_charged(self) -> None:
        channels = [self.connect() for _ in range(100)]
        for channel, _ in channels:
            channel.dataReceived(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 30)
        assert sum(transport.connected for _, transport in channels) < 20
        assert self.server.memory.used_bytes <= 64 << 10

    def test_a_connection_whose_answers_are_not_read_is_ended(self) -> None:
        channel, transport = self.connect()
        reading: Any = transport
        reading.abortConnection = transport.loseConnection
        reading.dataBuffer = b"x" * (60 << 10)
        channel.note_memory()
        assert transport.connected
        reading.dataBuffer = b"x" * (80 << 10)
        self.send(20_000, 19_999)
        self.send(20_000, 19_999)
        assert not transport.connected
