"""Checks histories of operators' calls for linearizability: searches for an order that explains all answers.

The object is a configuration with a number. A change replaces the configuration if the current number is the one that
the change is based on. The same change may be sent again, and is then acknowledged again. A read returns the current
configuration. Answers may be lost; a change without an answer may have taken effect at any time after it was sent, or
never.

The algorithm is that of Wing and Gong with Lowe's cache of visited states. It extends an order call by call. The next
call must have been sent before the first answer to any call that is not in the order yet. If no call fits, the search
backtracks.
"""

from __future__ import annotations

import collections.abc
import enum
import hashlib
import json
import typing

import msgspec

NEVER = 1 << 62  # a time after all others
SEARCH_STEPS_MAX = 200_000  # default limit on the steps of a search, which is then abandoned

INITIAL = "initial"  # content of the configuration before the first change


class Outcome(enum.Enum):
    """What the answer to a change says about its effect."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"  # the current number is not the one that the change is based on
    INVALID = "invalid"  # the change is malformed; the answer says nothing about the state
    UNKNOWN = "unknown"  # there is no answer, or one that does not tell


class Change(msgspec.Struct, frozen=True):
    """A change of the configuration; two changes with equal fields are the same change."""

    number: int  # of the configuration after the change
    base: int  # number of the configuration that the change is based on
    content: str  # digest of the configuration after the change

    @property
    def valid_number(self) -> bool:
        """Whether the change raises the number; one that does not is always refused.

        >>> Change(7, 5, "a").valid_number
        True
        """
        return self.number > self.base


class Read(msgspec.Struct, frozen=True):
    """A read of the configuration; its result is in the response."""


class Invocation(msgspec.Struct, frozen=True):
    """The sending of a call."""

    at: int
    call: str
    operation: Change | Read


class ChangeResponse(msgspec.Struct, frozen=True):
    """The answer to a change."""

    at: int
    call: str
    outcome: Outcome


class ReadResponse(msgspec.Struct, frozen=True):
    """The answer to a read: the current number and content; the content is "" if only the number is known."""

    at: int
    call: str
    number: int
    content: str = ""


Event = Invocation | ChangeResponse | ReadResponse


class SeenState(typing.NamedTuple):
    """The number and content that a read returned; the content is "" if only the number is known."""

    number: int
    content: str


class Operation(msgspec.Struct, frozen=True):
    """A call with the times of its sending and its answer; `answered` is NEVER if the outcome is unknown."""

    sent: int
    answered: int
    call: str
    operation: Change | Read
    outcome: Outcome = Outcome.ACKNOWLEDGED
    seen: SeenState | None = None  # result of a read; None for a change


class State(typing.NamedTuple):
    """The current configuration, and the changes that led to it."""

    number: int = 0
    content: str = INITIAL
    taken: frozenset[Change] = frozenset()  # the changes that took effect, the current one included


class HistoryError(ValueError):
    """The events form no valid history: a response has no call, or two calls have the same name."""


class SearchLimitError(Exception):
    """The search exceeded its step limit; it is unknown whether the history is linearizable."""


def operations(events: list[Event]) -> list[Operation]:
    """Pair the calls of a history with their answers; raises HistoryError.

    >>> operations([Invocation(1, "a", Read()), ReadResponse(3, "a", 0)])[0].answered
    3
    """
    calls: dict[str, Invocation] = {}
    responses: dict[str, ChangeResponse | ReadResponse] = {}
    for event in sorted(events, key=lambda event: (event.at, not isinstance(event, Invocation))):
        match event:
            case Invocation(call=call) if call in calls:
                raise HistoryError(f"call {call} is sent twice")
            case Invocation(call=call):
                calls[call] = event
            case _ if event.call not in calls or event.call in responses:
                raise HistoryError(f"call {event.call} is answered twice or was never sent")
            case _:
                responses[event.call] = event
    return [operation(invocation, responses.get(call)) for call, invocation in calls.items()]


def operation(invocation: Invocation, response: ChangeResponse | ReadResponse | None) -> Operation:
    """Pair one call with its answer, if it has one.

    >>> operation(Invocation(1, "a", Change(7, 5, "x")), None).outcome
    <Outcome.UNKNOWN: 'unknown'>
    """
    match response:
        case ReadResponse():
            seen = SeenState(response.number, response.content)
            return Operation(invocation.at, response.at, invocation.call, invocation.operation, seen=seen)
        case ChangeResponse(outcome=outcome) if outcome is not Outcome.UNKNOWN:
            return Operation(invocation.at, response.at, invocation.call, invocation.operation, outcome)
        case _:
            return Operation(invocation.at, NEVER, invocation.call, invocation.operation, Outcome.UNKNOWN)


def next_states(state: State, operation: Operation) -> list[State]:
    """The possible states after a call, given its answer; none if the answer contradicts the state before the call.

    >>> next_states(State(5), Operation(0, 1, "a", Change(7, 5, "x"), Outcome.REFUSED))
    []
    >>> [s.number for s in next_states(State(5), Operation(0, 1, "a", Change(7, 5, "x")))]
    [7]
    """
    match operation:
        case Operation(operation=Read(), seen=SeenState(number=number, content=content)):
            fits = number == state.number and content in ("", state.content)
            return [state] if fits else []
        case Operation(operation=Change() as change, outcome=Outcome.ACKNOWLEDGED):
            if change in state.taken or (change.number, change.content) == (state.number, state.content):
                return [state]
            return [apply(state, change)] if can_apply(state, change) else []
        case Operation(operation=Change() as change, outcome=Outcome.REFUSED):
            return [] if change in state.taken or change.base == state.number else [state]
        case Operation(operation=Change() as change, outcome=Outcome.UNKNOWN) if can_apply(state, change):
            return [apply(state, change)]
        case _:
            return []


def can_apply(state: State, change: Change) -> bool:
    """Whether a change takes effect in a state.

    >>> can_apply(State(5), Change(7, 5, "x")), can_apply(State(6), Change(7, 5, "x"))
    (True, False)
    """
    return change.valid_number and change.base == state.number and change not in state.taken


def apply(state: State, change: Change) -> State:
    """The state after a change took effect.

    >>> apply(State(), Change(7, 0, "x")).number
    7
    """
    return State(change.number, change.content, state.taken | {change})


class CheckResult(msgspec.Struct, frozen=True):
    """Whether a history is linearizable; if not, the calls none of which could extend the longest order found."""

    linearizable: bool
    longest: int  # the number of answered calls in the longest order found
    unexplained: list[str]  # descriptions of the calls that could have come next in time but contradict the state


class SearchNode(typing.NamedTuple):
    """A node of the search: the state after the calls in the order so far, and which answered calls these are.

    A call in the order is called explained. The answered calls are numbered by the time of their sending.
    """

    state: State
    explained_below: int = 0  # all answered calls with lower indexes are explained
    explained_above: frozenset[int] = frozenset()  # the explained calls with higher indexes

    @property
    def explained(self) -> int:
        """The number of explained calls.

        >>> SearchNode(State(), 3, frozenset({5})).explained
        4
        """
        return self.explained_below + len(self.explained_above)

    def after(self, index: int, state: State) -> SearchNode:
        """The search node after the answered call with this index is added to the order.

        Args:
            index: The index of the call.
            state: The state after the call.

        >>> SearchNode(State(), 0, frozenset({1})).after(0, State()).explained_below
        2
        """
        explained_above = set(self.explained_above) | {index}
        explained_below = self.explained_below
        while explained_below in explained_above:
            explained_above.remove(explained_below)
            explained_below += 1
        return SearchNode(state, explained_below, frozenset(explained_above))


class Window(typing.NamedTuple):
    """The answered calls that may come next in the order."""

    indexes: list[int]  # indexes of these calls
    first_answer: int  # time of the first answer to a call that is not yet in the order


class Search:
    """The search for an order of the calls of one history.

    Args:
        calls: The calls of the history.
        step_limit: The maximum number of steps; the search is abandoned after them.

    >>> Search([Operation(1, 2, "a", Read(), seen=SeenState(0, ""))], 10).run(State()).linearizable
    True
    """

    def __init__(self, calls: list[Operation], step_limit: int) -> None:
        calls = sorted(calls, key=lambda call: (call.sent, call.answered, call.call))
        self.answered = [call for call in calls if call.outcome in (Outcome.ACKNOWLEDGED, Outcome.REFUSED)]
        self.unknown = [
            call for call in calls if call.outcome is Outcome.UNKNOWN and isinstance(call.operation, Change)
        ]
        self.steps = 0
        self.step_limit = step_limit

    def run(self, initial: State) -> CheckResult:
        """Search for an order that starts from a state; raises SearchLimitError."""
        best = SearchNode(initial)
        frontier, seen = [best], {best}
        while frontier:
            node = self.after_calls_without_effect(frontier.pop())
            if node.explained > best.explained:
                best = node
            if node.explained_below == len(self.answered):
                return CheckResult(True, node.explained_below, [])
            for after in self.successors(node):
                self.count_step()
                if after not in seen:
                    seen.add(after)
                    frontier.append(after)
        unexplained = [describe(self.answered[index]) for index in self.window(best).indexes]
        return CheckResult(False, best.explained, unexplained)

    def count_step(self) -> None:
        """Count one step; raises SearchLimitError above the step limit."""
        self.steps += 1
        if self.steps > self.step_limit:
            raise SearchLimitError(
                f"the search through {len(self.answered)} calls was abandoned after {self.step_limit} steps"
            )

    def window(self, node: SearchNode) -> Window:
        """The answered calls that may come next: those sent before the first answer to a call not yet in the order."""
        first_answer = NEVER
        sent_before: list[int] = []
        for index in range(node.explained_below, len(self.answered)):
            if self.answered[index].sent > first_answer:
                break
            if index not in node.explained_above:
                sent_before.append(index)
                first_answer = min(first_answer, self.answered[index].answered)
        indexes = [index for index in sent_before if self.answered[index].sent <= first_answer]
        return Window(indexes, first_answer)

    def after_calls_without_effect(self, node: SearchNode) -> SearchNode:
        """The search node after adding all calls that may come next and do not change the state.

        Adding them without trying other orders loses no solution: any order that continues from the search node before
        them also continues from the one after them.
        """
        while True:
            without_effect = [
                index
                for index in self.window(node).indexes
                if next_states(node.state, self.answered[index]) == [node.state]
            ]
            if not without_effect:
                return node
            for index in without_effect:
                self.count_step()
                node = node.after(index, node.state)

    def successors(self, node: SearchNode) -> collections.abc.Iterator[SearchNode]:
        """The search nodes after one more call, which changes the state."""
        window = self.window(node)
        for call in self.unknown:
            if call.sent <= window.first_answer:
                yield from (node._replace(state=state) for state in next_states(node.state, call))
        for index in window.indexes:
            yield from (node.after(index, state) for state in next_states(node.state, self.answered[index]))


def check(
    events: list[Event],
    initial: State = State(),  # noqa: B008, an immutable value
    step_limit: int = SEARCH_STEPS_MAX,
) -> CheckResult:
    """Check whether a history is linearizable; raises HistoryError, or SearchLimitError beyond the step limit.

    >>> check([Invocation(1, "a", Read()), ReadResponse(3, "a", 4)]).unexplained
    ['call a, sent at 1: read number 4']
    """
    return Search(operations(events), step_limit).run(initial)


def describe(call: Operation) -> str:
    """A readable description of a call.

    >>> describe(Operation(2, 3, "a", Read(), seen=SeenState(4, "x")))
    'call a, sent at 2: read number 4'
    """
    match call.operation:
        case Read():
            what = f"read number {call.seen.number if call.seen else None}"
        case Change(number=number, base=base):
            what = f"change to {number} on {base} {call.outcome.value}"
    return f"call {call.call}, sent at {call.sent}: {what}"


def digest(document: dict[str, typing.Any]) -> str:
    """A short digest of a document.

    >>> digest({"a": 1, "b": 2}) == digest({"b": 2, "a": 1})
    True
    """
    return hashlib.sha256(json.dumps(document, sort_keys=True).encode()).hexdigest()[:16]
