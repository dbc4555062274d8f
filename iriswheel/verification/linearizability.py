"""Linearizability of operators' histories: a search for an order of all calls that explains every answer.

The object is a configuration under a number. A change replaces it where the current number is the one that the
change builds on. The same change may be sent again, and is acknowledged again. A read gives the current
configuration. An answer may be lost; a change without an answer may have taken effect at any moment after it was
sent, or never.

The search is that of Wing and Gong, with Lowe's memory of visited states: it takes calls one by one, each sent before
the first answer among the calls left, and backtracks where no call fits.
"""

from __future__ import annotations

import collections.abc
import enum
import hashlib
import json
import typing

import msgspec

NEVER = 1 << 62  # a time after all others
SEARCH_STEPS_MAX = 200_000  # steps of the search, then it gives up

INITIAL = "initial"  # the content before the first change


class Outcome(enum.Enum):
    """What the answer to a change says of it."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"  # another number is in place
    INVALID = "invalid"  # says nothing of the state
    UNKNOWN = "unknown"


class Change(msgspec.Struct, frozen=True):
    """A change of the configuration; two changes with the same fields are the same change."""

    number: int  # of the configuration that it makes
    base: int  # the number that it builds on
    content: str  # a digest

    @property
    def valid_number(self) -> bool:
        """Whether the change raises the number, without which it is refused.

        >>> Change(7, 5, "a").valid_number
        True
        """
        return self.number > self.base


class Read(msgspec.Struct, frozen=True):
    """A read; what it gave stands in its response."""


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
    """The answer to a read: the current number and content, or content "" where only the number is known."""

    at: int
    call: str
    number: int
    content: str = ""


Event = Invocation | ChangeResponse | ReadResponse


class SeenState(typing.NamedTuple):
    """What a read gave of the current configuration."""

    number: int
    content: str


class Operation(msgspec.Struct, frozen=True):
    """A call from its sending to its answer, which never comes for an unknown outcome."""

    sent: int
    answered: int
    call: str
    operation: Change | Read
    outcome: Outcome = Outcome.ACKNOWLEDGED
    seen: SeenState | None = None  # of a read


class State(typing.NamedTuple):
    """The current configuration, and the changes that led to it."""

    number: int = 0
    content: str = INITIAL
    taken: frozenset[Change] = frozenset()


class HistoryError(ValueError):
    """Events that are no history: a response without its call, or a call under a name in use."""


class SearchLimitError(Exception):
    """The search was given up; the history is neither judged good nor bad."""


def operations(events: list[Event]) -> list[Operation]:
    """The calls of a history, each with its answer; raises HistoryError.

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
                raise HistoryError(f"call {event.call} is answered without being under way")
            case _:
                responses[event.call] = event
    return [operation(invocation, responses.get(call)) for call, invocation in calls.items()]


def operation(invocation: Invocation, response: ChangeResponse | ReadResponse | None) -> Operation:
    """One call with its answer, or without.

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
    """The states that a call may leave, given its answer; none where the answer doesn't fit.

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
    """Whether a change takes effect on a state.

    >>> can_apply(State(5), Change(7, 5, "x")), can_apply(State(6), Change(7, 5, "x"))
    (True, False)
    """
    return change.valid_number and change.base == state.number and change not in state.taken


def apply(state: State, change: Change) -> State:
    """The state after a change.

    >>> apply(State(), Change(7, 0, "x")).number
    7
    """
    return State(change.number, change.content, state.taken | {change})


class CheckResult(msgspec.Struct, frozen=True):
    """Whether a history is linearizable, and the calls that could not be next where the longest order ended."""

    linearizable: bool
    longest: int  # answered calls explained at most
    unexplained: list[str]


class SearchNode(typing.NamedTuple):
    """A place in the search: the state, and which answered calls are explained."""

    state: State
    explained_below: int = 0  # all calls of lower indexes are explained
    explained_above: frozenset[int] = frozenset()  # higher indexes of explained calls

    @property
    def explained(self) -> int:
        """How many answered calls are explained.

        >>> SearchNode(State(), 3, frozenset({5})).explained
        4
        """
        return self.explained_below + len(self.explained_above)

    def after(self, index: int, state: State) -> SearchNode:
        """The place after the answered call of this index, which left a state.

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
    """The calls that may be next in an order."""

    indexes: list[int]  # into the answered calls
    first_answer: int  # before which all of them were sent


class Search:
    """The search through one history.

    Args:
        calls: of the history.
        bound: the most steps, after which the search is given up.

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
        """Search from a state; raises SearchLimitError."""
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
        """Count one step; raises SearchLimitError above the bound."""
        self.steps += 1
        if self.steps > self.step_limit:
            raise SearchLimitError(f"{len(self.answered)} calls, given up after {self.step_limit} steps")

    def window(self, node: SearchNode) -> Window:
        """The calls that may be next: those sent before any of them was answered."""
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
        """The place after all calls that may be next and leave the state as it is.

        Taking them at once loses nothing: what follows may follow all the same.
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
        """The places after one more call that changes the state."""
        window = self.window(node)
        for call in self.unknown:
            if call.sent <= window.first_answer:
                yield from (node._replace(state=state) for state in next_states(node.state, call))
        for index in window.indexes:
            yield from (node.after(index, state) for state in next_states(node.state, self.answered[index]))


def check(
    events: list[Event],
    initial: State = State(),  # noqa: B008, a frozen value
    step_limit: int = SEARCH_STEPS_MAX,
) -> CheckResult:
    """Judge a history; raises HistoryError, or SearchLimitError after so many steps.

    >>> check([Invocation(1, "a", Read()), ReadResponse(3, "a", 4)]).unexplained
    ['call a, sent at 1: read number 4']
    """
    return Search(operations(events), step_limit).run(initial)


def describe(call: Operation) -> str:
    """A call in words.

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
    """A short name of a document's content.

    >>> digest({"a": 1, "b": 2}) == digest({"b": 2, "a": 1})
    True
    """
    return hashlib.sha256(json.dumps(document, sort_keys=True).encode()).hexdigest()[:16]
