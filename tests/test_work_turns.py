"""A server begins the work on requests in turns, so that many that take long don't hold up the process."""

import pytest
from twisted.internet import task

from iriswheel.runtime import scheduler, units
from iriswheel.transport import http_server, work_turns
from tests import http_connection

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class TestWorkTurns:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.clock = task.Clock()
        self.now_us = 0
        self.runtime = scheduler.Runtime(self.clock, now=lambda: self.now_us)
        self.turns = work_turns.WorkTurns(self.runtime)
        self.work_us = work_turns.TURN_US
        self.done: list[int] = []

    def start(self, count: int) -> None:
        """Ask for some pieces of work."""
        for number in range(count):
            self.turns.start(lambda number=number: self.work(number))  # type: ignore[misc]

    def work(self, number: int) -> None:
        """Take some time."""
        self.now_us += self.work_us
        self.done.append(number)

    def test_work_that_takes_long_waits_for_later_turns_in_its_order(self) -> None:
        self.start(3)
        assert self.done == [0]
        self.clock.advance(0)
        assert self.done == [0, 1, 2]

    def test_work_that_takes_little_begins_at_once(self) -> None:
        self.work_us = work_turns.TURN_US // 10
        self.start(9)
        assert len(self.done) == 9

    def test_all_work_begins_as_the_process_stops(self) -> None:
        self.start(3)
        self.turns.start_all()
        assert self.done == [0, 1, 2]

    def connect(self) -> tuple[list[http_server.Channel], http_server.Server]:
        """Open connections to a server whose requests take long, and send one request on each."""

        async def handle(request: http_server.Request) -> None:
            self.work(0)
            request.answer_json(200, {})

        server = http_server.Server(self.runtime, handle, work=self.turns)
        channels = [http_connection.connect(server)[0] for _ in range(3)]
        for channel in channels:
            channel.dataReceived(REQUEST)
        return channels, server

    def test_requests_that_take_long_are_handled_in_several_turns(self) -> None:
        self.connect()
        assert len(self.done) == 1
        self.clock.advance(0)
        assert len(self.done) == 3

    def test_a_request_whose_client_has_left_meanwhile_is_not_handled(self) -> None:
        channels, _ = self.connect()
        channels[1].transport.loseConnection()
        self.clock.advance(0)
        assert len(self.done) == 2

    def test_requests_that_wait_are_handled_before_a_server_closes_its_connections(self) -> None:
        _, server = self.connect()
        self.runtime.spawn(server.finish(units.SECOND_US))
        self.clock.advance(0)
        assert len(self.done) == 3
