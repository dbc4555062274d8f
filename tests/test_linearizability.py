"""The linearizability checker accepts correct histories of operators' calls and rejects each kind of wrong answer."""

from collections.abc import Callable
from typing import Any

import hypothesis
import pytest
from hypothesis import strategies

from iriswheel.verification import history, linearizability, replay
from simulation import platform_rules

Change = linearizability.Change
Outcome = linearizability.Outcome

CALM = hypothesis.settings(derandomize=True, database=None, max_examples=60, deadline=None)


def change(  # noqa: PLR0917 - histories are written as tables, one call per line
    call: str,
    sent: int,
    answered: int,
    number: int,
    base: int,
    content: str = "x",
    outcome: linearizability.Outcome = Outcome.ACKNOWLEDGED,
) -> list[linearizability.Event]:
    """The sending and the answer of one change."""
    return [
        linearizability.Invocation(sent, call, Change(number, base, content)),
        linearizability.ChangeResponse(answered, call, outcome),
    ]


def read(call: str, sent: int, answered: int, number: int, content: str = "") -> list[linearizability.Event]:
    """The sending and the answer of one read."""
    return [
        linearizability.Invocation(sent, call, linearizability.Read()),
        linearizability.ReadResponse(answered, call, number, content),
    ]


@strategies.composite
def correct_histories(
    draw: Callable[..., Any],
) -> list[linearizability.Event]:
    """Histories of a correct register: each call takes effect at one moment between its sending and its answer."""
    state = linearizability.State()
    events: list[linearizability.Event] = []
    sent: list[Change] = []
    for k in range(draw(strategies.integers(1, 14))):
        moment = 10 * k + 10
        before, after = draw(strategies.integers(1, 60)), draw(strategies.integers(1, 60))
        if draw(strategies.integers(0, 3)) == 0:
            events += read(f"c{k}", moment - before, moment + after, state.number, state.content)
            continue
        fresh = Change(
            state.number + draw(strategies.integers(1, 3)),
            draw(strategies.sampled_from([state.number, state.number, 0])),
            draw(strategies.sampled_from("ab")),
        )
        order = draw(strategies.sampled_from([fresh, fresh, *sent]))
        sent.append(order)
        taken = order in state.taken or (order.number, order.content) == (state.number, state.content)
        if not taken and linearizability.can_apply(state, order):
            state, taken = linearizability.apply(state, order), True
        outcome = Outcome.ACKNOWLEDGED if taken else Outcome.REFUSED
        if draw(strategies.integers(0, 3)) == 0:
            outcome = Outcome.UNKNOWN
        events += change(f"c{k}", moment - before, moment + after, order.number, order.base, order.content, outcome)
    return events


class TestHistories:
    def accepts(self, *parts: list[linearizability.Event]) -> None:
        assert linearizability.check([event for part in parts for event in part]).linearizable

    def rejects(self, *parts: list[linearizability.Event]) -> None:
        assert not linearizability.check([event for part in parts for event in part]).linearizable

    def test_correct_histories_pass(self) -> None:
        @CALM
        @hypothesis.given(correct_histories())
        def passes(
            events: list[linearizability.Event],
        ) -> None:
            assert linearizability.check(events).linearizable

        passes()

    def test_a_stale_read_after_a_correct_history_fails(self) -> None:
        @CALM
        @hypothesis.given(correct_histories(), strategies.integers(1, 5))
        def fails(
            events: list[linearizability.Event],
            step: int,
        ) -> None:
            last = 1_000
            newest = max(
                (
                    e.operation.number
                    for e in events
                    if isinstance(e, linearizability.Invocation) and isinstance(e.operation, Change)
                ),
                default=0,
            )
            newer = [
                *read("before", last, last + 1, newest + step),
                *change("last", last + 2, last + 3, newest + 2 * step, newest + step),
            ]
            applied_by_all = change("forced", last - 2, last - 1, newest + step, 0, outcome=Outcome.UNKNOWN)
            stale = read("stale", last + 4, last + 5, newest + step)
            assert not linearizability.check([*events, *applied_by_all, *newer, *stale]).linearizable

        fails()

    def test_each_wrong_answer_fails(self) -> None:
        first = change("a", 1, 2, 5, 0)
        self.accepts(first, read("r", 3, 4, 5, "x"))
        self.rejects(first, read("r", 3, 4, 0))  # a stale read
        self.rejects(first, read("r", 3, 4, 5, "y"))  # a read of a content that nobody wrote
        self.rejects(first, change("b", 1, 4, 7, 0))  # two acknowledged changes on one base
        self.rejects(first, change("b", 1, 4, 5, 0, "y"))  # two acknowledged changes with one number
        self.rejects(first, change("b", 3, 4, 7, 5), read("r", 5, 6, 5))  # an acknowledged change was lost
        self.rejects(first, change("b", 3, 4, 5, 0, outcome=Outcome.REFUSED))  # a change that took effect is refused
        self.rejects(change("a", 1, 2, 5, 0, outcome=Outcome.REFUSED))  # a refusal although its base is current
        self.rejects(change("a", 1, 2, 5, 0, outcome=Outcome.REFUSED), read("r", 3, 4, 5, "x"))
        self.rejects(first, read("r", 3, 6, 0), read("s", 4, 5, 5))
        self.rejects(change("a", 1, 9, 5, 0), read("r", 2, 3, 5), read("s", 4, 5, 0))  # the second read is stale

    def test_lost_answers_repeats_and_concurrent_calls_pass(self) -> None:
        lost = change("a", 1, 2, 5, 0, outcome=Outcome.UNKNOWN)
        self.accepts(lost, read("r", 3, 4, 0), read("s", 5, 6, 5))  # the change takes effect late
        self.accepts(lost, change("b", 3, 4, 7, 0))  # the change whose answer was lost never takes effect
        self.accepts(lost, change("b", 3, 4, 5, 0), change("c", 5, 6, 8, 5), change("d", 7, 8, 5, 0))
        self.accepts(lost, change("b", 3, 4, 7, 0, outcome=Outcome.REFUSED), read("r", 5, 6, 5))
        self.accepts(change("a", 1, 4, 5, 0), read("r", 2, 3, 0), read("s", 2, 3, 5))
        self.accepts(change("a", 1, 9, 5, 0), change("b", 1, 9, 5, 0), change("c", 1, 9, 6, 0, outcome=Outcome.REFUSED))

    def test_a_history_of_hundreds_of_changes_eight_at_a_time_is_judged(self) -> None:
        events: list[linearizability.Event] = []
        for k in range(300):
            events += change(f"w{k}", 10 * k, 10 * k + 9, k + 1, k, "w")
            for j in range(7):
                events += change(f"l{k}-{j}", 10 * k, 10 * k + 9, k + 1, k, f"l{j}", Outcome.REFUSED)
        self.accepts(events)
        self.rejects(events, read("r", 4_000, 4_001, 299))

    def test_malformed_histories_and_exceeded_step_limits_raise_errors(self) -> None:
        first = change("a", 1, 2, 5, 0)
        with pytest.raises(linearizability.HistoryError):
            linearizability.check(first[1:])
        with pytest.raises(linearizability.HistoryError):
            linearizability.check([first[0], first[0]])
        with pytest.raises(linearizability.SearchLimitError):
            linearizability.check(first, step_limit=0)


class TestEventLogs:
    """The conversion of event log rows to histories."""

    def config(
        self, at: int, version: int, base: int, code: int, document: dict[str, Any] | None = None, *, valid: bool = True
    ) -> list[dict[str, Any]]:
        row = dict(send=f"boss-{at}", version=version, base=base)
        document = {"version": version, "channels": [], "plants": [], **(document or {})}
        return [
            dict(at=at, kind="config_sent", doc=document, valid=valid, **row),
            dict(at=at + 1, kind="config_answer", code=code, text="", **row),
        ]

    def numbered(self, at: int, number: int, base: int, status: int) -> list[dict[str, Any]]:
        row = dict(call=f"boss-{at}", number=number, built_on=base, who="boss")
        return [
            dict(at=at, kind="number_sent", content=f"x{number}", **row),
            dict(at=at + 1, kind="numbered", status=status, **row),
        ]

    def test_configurations(self) -> None:
        first = self.config(1, 1, 0, 200)
        back = dict(at=9, began=8, kind="config_read", code=200, doc=first[0]["doc"], version=1)
        assert history.complaints([*first, back]) == []
        for wrong in (
            self.config(3, 1, 0, 412),  # a repeated change is refused
            self.config(3, 2, 1, 400),  # a valid change is called invalid
            self.config(3, 2, 0, 200, {"a": 1}),
            self.config(3, 2, 1, 200),  # an older configuration is read after it
        ):
            rows = [*first, *wrong, back]
            assert history.complaints(rows), wrong
            assert "linearizable" in platform_rules.examine(rows)
        assert history.complaints([*first, *self.config(3, 2, 1, 0), back]) == []
        assert history.complaints([*first, *self.config(3, 2, 1, 400, valid=False), back]) == []

    def test_numbered_changes(self) -> None:
        first = self.numbered(1, 4, 0, 200)
        back = dict(at=9, began=8, kind="read", stamp=3, blueprint={"marks": {"operator": {"number": 4}}})
        assert history.complaints([*first, back]) == []
        for wrong in (self.numbered(3, 4, 0, 409), self.numbered(3, 5, 0, 200), self.numbered(3, 9, 4, 200)):
            assert "linearizable" in replay.judge([*first, *wrong, back])

    def test_confirmed_plans(self) -> None:
        def plan(
            at: int, name: str, base: int, version: int | None = None, code: str | None = None
        ) -> list[dict[str, Any]]:
            rows = [dict(at=at, kind="confirm_sent", plan=name, base=base, blueprint={})]
            if version is not None:
                rows.append(dict(at=at + 1, kind="confirmed", plan=name, stamp=version))
            if code is not None:
                rows.append(dict(at=at + 2, kind="confirm_refused", plan=name, code=code, verdict="not_run"))
            return rows

        def seen(at: int, version: int) -> dict[str, Any]:
            return dict(at=at, began=at - 1, kind="read", stamp=version, blueprint={})

        first = plan(1, "0-a", 0, 2)
        assert history.complaints([*first, *plan(4, "2-b", 2), seen(9, 4), *plan(10, "4-c", 4, 6)]) == []
        assert history.complaints([*first, *plan(1, "0-b", 0, code="base_moved"), seen(9, 2)]) == []
        for wrong in (
            [seen(9, 0)],
            plan(5, "0-b", 0, 4),
            plan(5, "0-a", 0, code="base_moved"),
            [*plan(5, "2-b", 2, 4), seen(9, 2)],
        ):
            rows = sorted([*first, *wrong], key=lambda r: r["at"])
            assert history.complaints(rows), wrong
