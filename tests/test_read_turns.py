"""A busy server reads from the clients that send much in turns, and from all others at once."""

from collections.abc import Callable

import pytest

from iriswheel.runtime import scheduler, units
from iriswheel.transport import read_turns

WORK_US = 10 * units.MILLISECOND_US  # for each read


class Transport:
    """A transport that can be paused."""

    def __init__(self) -> None:
        self.bufferSize = 0
        self.is_reading = True

    def pauseProducing(self) -> None:
        """Stop reading."""
        self.is_reading = False

    def resumeProducing(self) -> None:
        """Read on."""
        self.is_reading = True


class Reactor:
    """A reactor that runs, in each turn, the calls that were due before it."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], object]] = []

    def callLater(self, _delay_s: float, function: Callable[[], object]) -> None:
        """Call a function in the next turn."""
        self.calls.append(function)

    def turn(self) -> None:
        """Begin the next turn."""
        due, self.calls = self.calls, []
        for function in due:
            function()


class TestTurns:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.reactor = Reactor()
        self.now_us = 0
        self.turns = read_turns.ReadTurns(scheduler.Runtime(self.reactor, now=lambda: self.now_us))
        self.transports = [Transport() for _ in range(20)]
        self.controls = [read_turns.ReadControl(transport) for transport in self.transports]

    def read_all(self, work_us: int = WORK_US) -> None:
        """Read once from each connection that is not paused."""
        for control, transport in zip(self.controls, self.transports, strict=True):
            if transport.is_reading:
                began_us = self.now_us
                self.now_us += work_us
                control.note_read()
                self.turns.note_work(control, began_us)

    def reading(self) -> int:
        """How many connections are read in this turn."""
        return sum(transport.is_reading for transport in self.transports)

    def test_a_busy_server_reads_few_connections_a_turn(self) -> None:
        self.read_all()
        self.read_all()
        assert self.reading() == 0
        self.reactor.turn()
        assert self.reading() == read_turns.READ_PER_TURN

    def test_each_connection_has_its_turn(self) -> None:
        self.read_all()
        self.read_all()
        read = set()
        for _ in range(len(self.transports) // read_turns.READ_PER_TURN):
            self.reactor.turn()
            read |= {number for number, transport in enumerate(self.transports) if transport.is_reading}
            self.read_all()
        assert read == set(range(len(self.transports)))

    def test_a_new_connection_is_read_at_once_in_a_busy_server(self) -> None:
        self.read_all()
        self.read_all()
        transport = Transport()
        control = read_turns.ReadControl(transport)
        assert transport.bufferSize == read_turns.FIRST_READ_BYTES
        control.note_read()
        self.turns.note_work(control, self.now_us)
        assert transport.is_reading

    def test_a_server_with_little_work_lets_nobody_wait(self) -> None:
        for _ in range(100):
            self.read_all(work_us=100)
            self.now_us += units.SECOND_US
        assert self.reading() == len(self.transports)

    def test_a_connection_that_has_ended_takes_no_turn(self) -> None:
        self.read_all()
        self.read_all()
        for control in self.controls[:-1]:
            self.turns.remove(control)
        self.reactor.turn()
        assert [transport.is_reading for transport in self.transports] == [False] * 19 + [True]

    def test_a_server_that_was_frozen_is_not_busy_for_long_after_that(self) -> None:
        self.read_all(work_us=units.SECOND_US)
        self.now_us += 100 * read_turns.MAX_WORK_US // read_turns.BUSY_PERCENT
        while self.reactor.calls:
            self.reactor.turn()
        self.read_all(work_us=0)
        assert self.reading() == len(self.transports)

    def test_a_connection_that_its_channel_has_paused_is_not_read_when_its_turn_comes(self) -> None:
        self.read_all()
        self.read_all()
        for control in self.controls:
            control.pauseProducing()
        self.reactor.turn()
        assert self.reading() == 0
        number = next(number for number, control in enumerate(self.controls) if not control.is_waiting)
        self.controls[number].resumeProducing()
        assert self.transports[number].is_reading

    def test_a_connection_whose_channel_reads_on_still_waits_for_its_turn(self) -> None:
        self.read_all()
        self.read_all()
        for control in self.controls:
            control.pauseProducing()
            control.resumeProducing()
        assert self.reading() == 0
