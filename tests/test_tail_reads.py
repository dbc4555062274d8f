"""Reads at the tail: a few at a time, each begun after all that share it have asked."""

import pytest
from twisted.internet import defer, task

from iriswheel import errors
from iriswheel.control import tail_reads
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, work_turns

AT_ONCE = tail_reads.READS_AT_ONCE


class Tail:
    """A tail whose answers the test gives."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, defer.Deferred[message.ReadResponse]]] = []

    async def call(self, identifier: str) -> message.ReadResponse:
        """Take one read."""
        answer: defer.Deferred[message.ReadResponse] = defer.Deferred()
        self.calls.append((identifier, answer))
        return await answer


class TestTailReads:
    @pytest.fixture(autouse=True)
    def set_up(self) -> None:
        self.clock = task.Clock()
        runtime = scheduler.Runtime(self.clock, now=lambda: int(self.clock.seconds() * units.SECOND_US))
        self.tail = Tail()
        self.reads = tail_reads.TailReads(runtime, self.tail.call)
        self.results: list[object] = []

    def read(self, identifier: str = "") -> None:
        """Begin one read, whose result or error is recorded."""
        reading = defer.ensureDeferred(self.reads.read(identifier, units.SECOND_US))
        reading.addBoth(lambda result: self.results.append(getattr(result, "value", result)))

    def answer(self, number: int, version: int) -> None:
        """Let the tail answer one of the calls that it got."""
        self.tail.calls[number][1].callback(message.ReadResponse(True, version))

    def test_reads_are_sent_at_once_up_to_a_number(self) -> None:
        for _ in range(AT_ONCE + 30):
            self.read()
        assert len(self.tail.calls) == AT_ONCE

    def test_those_that_wait_share_one_read_that_begins_after_they_asked(self) -> None:
        for _ in range(AT_ONCE + 30):
            self.read()
        self.answer(0, 7)
        assert len(self.tail.calls) == AT_ONCE + 1
        self.answer(AT_ONCE, 8)
        assert [response.version for response in self.results] == [7] + [8] * 30  # type: ignore[attr-defined]

    def test_a_read_that_is_sent_already_is_not_shared(self) -> None:
        self.read()
        self.read()
        assert len(self.tail.calls) == 2

    def test_reads_of_different_changes_are_not_shared(self) -> None:
        for number in range(AT_ONCE + 2):
            self.read(f"c{number}")
        self.answer(0, 7)
        self.answer(1, 7)
        assert [identifier for identifier, _ in self.tail.calls] == [f"c{number}" for number in range(AT_ONCE + 2)]

    def test_an_error_reaches_all_that_share_the_read_and_frees_its_place(self) -> None:
        for _ in range(AT_ONCE + 3):
            self.read()
        self.answer(0, 7)
        self.tail.calls[AT_ONCE][1].errback(errors.ServiceError("no_chain", "The tail is gone."))
        assert [type(result) for result in self.results[1:]] == [errors.ServiceError] * 3
        self.read()
        assert len(self.tail.calls) == AT_ONCE + 2

    def test_a_read_that_nobody_waits_for_any_more_is_not_sent(self) -> None:
        for _ in range(AT_ONCE + 1):
            self.read()
        self.clock.advance(2)
        assert [type(result) for result in self.results] == [scheduler.DeadlineError] * (AT_ONCE + 1)
        self.answer(0, 7)
        assert len(self.tail.calls) == AT_ONCE

    def test_one_that_is_answered_may_cancel_the_others(self) -> None:
        pending = tail_reads.PendingRead()
        first, second, third = pending.wait(), pending.wait(), pending.wait()
        first.addCallback(lambda _: second.cancel())
        second.addErrback(lambda error: error.trap(defer.CancelledError) and None)
        answered: list[message.ReadResponse] = []
        third.addCallback(answered.append)
        self.reads.runtime.spawn(pending.answer(self.reads.runtime, message.ReadResponse(True, 9)))
        assert [response.version for response in answered] == [9]

    # Clients that do not behave: all that shared a read were worked for in one turn, whatever that took.
    def test_those_whose_work_takes_long_are_answered_in_several_turns(self) -> None:
        now_us = 0

        def work(_: message.ReadResponse) -> None:
            nonlocal now_us
            now_us += work_turns.TURN_US // 2
            answered_at.append(self.clock.seconds())

        runtime = scheduler.Runtime(self.clock, now=lambda: now_us)
        pending = tail_reads.PendingRead()
        answered_at: list[float] = []
        for _ in range(3):
            pending.wait().addCallback(work)
        runtime.spawn(pending.answer(runtime, message.ReadResponse(True, 9)))
        assert len(answered_at) == 2
        self.clock.advance(0)
        assert len(answered_at) == 3
