"""Converts the operators' calls and answers in event logs to histories for the linearizability checker.

Logs contain three kinds of call. Each is checked as a separate history:

- configurations of the users' platform: `config_sent`, `config_answer`, `config_read`;
- numbered changes of iriswheel's own API: `number_sent`, `numbered`, `read`;
- confirmations of plans, which get versions: `confirm_sent`, `confirmed`, `confirm_refused`, `read`.
"""

from __future__ import annotations

import collections
import json
import typing

from iriswheel.verification import event_log, linearizability

STALE_NUMBER = -1  # number of a plan that never took effect

Change = linearizability.Change
ChangeResponse = linearizability.ChangeResponse
Invocation = linearizability.Invocation
Outcome = linearizability.Outcome
Read = linearizability.Read
ReadResponse = linearizability.ReadResponse


def change_outcome(code: int | None) -> linearizability.Outcome:
    """The outcome of a change that an HTTP status stands for; None or 0 is a missing answer.

    >>> [change_outcome(c).value for c in (200, 409, 412, 422, 504, 0, None)]
    ['acknowledged', 'refused', 'refused', 'invalid', 'unknown', 'unknown', 'unknown']
    """
    match code:
        case 200:
            return Outcome.ACKNOWLEDGED
        case 409 | 412:
            return Outcome.REFUSED
        case 400 | 413 | 422:
            return Outcome.INVALID
        case _:
            return Outcome.UNKNOWN


def content_digest(document: dict[str, typing.Any]) -> str:
    """A digest of a document that does not depend on the order of the items in its lists.

    >>> content_digest({"routes": [1, 2]}) == content_digest({"routes": [2, 1]})
    True
    """

    def ordered(value: object) -> object:
        return sorted(value, key=lambda item: json.dumps(item, sort_keys=True)) if isinstance(value, list) else value

    return linearizability.digest({key: ordered(value) for key, value in document.items()})


def platform_configurations(
    rows: list[event_log.Row],
) -> list[linearizability.Event]:
    """The history of the platform's configuration calls.

    A refusal of a valid document, whatever its status, counts as a refusal because of the document's number.

    >>> row = {"send": "boss-1", "version": 1, "base": 0, "doc": {"version": 1}, "valid": True}
    >>> len(platform_configurations([{"at": 1, "kind": "config_sent", **row}]))
    1
    """
    events: list[linearizability.Event] = []
    valid: dict[str, bool] = {}
    for row in rows:
        match row:
            case {"kind": "config_sent"}:
                change = Change(row["version"], row["base"], content_digest(row["doc"]))
                valid[row["send"]] = row["valid"]
                events.append(Invocation(row["at"], row["send"], change))
            case {"kind": "config_answer"} if row["send"] in valid:
                result = outcome_given_validity(change_outcome(row["code"]), valid[row["send"]])
                events.append(ChangeResponse(row["at"], row["send"], result))
            case {"kind": "config_read", "doc": dict(document), "version": int(version)}:
                events += read_events(row, version, content_digest(document))
    return events


def outcome_given_validity(answered: linearizability.Outcome, valid: bool) -> linearizability.Outcome:
    """The outcome of a change, given whether its document is valid.

    The refusal of a valid document must be due to its number; the refusal of an invalid one says nothing of the state.

    >>> outcome_given_validity(Outcome.INVALID, True).value
    'refused'
    """
    if answered in (Outcome.INVALID, Outcome.REFUSED):
        return Outcome.REFUSED if valid else Outcome.INVALID
    return answered


def read_events(row: event_log.Row, number: int, content: str = "") -> list[linearizability.Event]:
    """The two events of a read that returned a number, and a digest of the content if it is known.

    A read whose start is not in the log may have started at any time.

    >>> [e.at for e in read_events({"at": 9, "began": 4}, 7)]
    [4, 9]
    """
    call = f"read-{row['at']}-{row.get('who', '')}"
    return [Invocation(row.get("began", 0), call, Read()), ReadResponse(row["at"], call, number, content)]


def numbered_changes(
    rows: list[event_log.Row],
) -> list[linearizability.Event]:
    """The history of numbered changes; empty if a plan, which has no number, is confirmed after a numbered change.

    >>> row = {"call": "a", "number": 1, "built_on": 0, "content": "x"}
    >>> numbered_changes([{"at": 5, "kind": "number_sent", **row}])[0].at
    5
    """
    events: list[linearizability.Event] = []
    sent: set[str] = set()
    for row in rows:
        match row:
            case {"kind": "confirm_sent"} if sent:
                return []
            case {"kind": "number_sent"}:
                sent.add(row["call"])
                change = Change(row["number"], row["built_on"], row["content"])
                events.append(Invocation(row["at"], row["call"], change))
            case {"kind": "numbered", "call": call} if call in sent:
                events.append(ChangeResponse(row["at"], call, change_outcome(row["status"])))
            case {"kind": "read"} if sent:
                marks = row["blueprint"].get("marks", {})
                events += read_events(row, marks.get("operator", {}).get("number", 0))
    return events if sent else []


def confirmed_plans(
    rows: list[event_log.Row],
) -> list[linearizability.Event]:
    """The history of confirmed plans, with the versions that the core machines gave them.

    A plan that was never acknowledged may have taken effect with any version that an operator saw and that no other
    plan has. The history is empty if the log has numbered changes too, since their versions are not in the log.

    >>> row = {"plan": "0-a", "base": 0, "blueprint": {}}
    >>> confirmed_plans([{"at": 1, "kind": "confirm_sent", **row}])
    []
    """
    plans = ConfirmedPlans()
    events: list[linearizability.Event] = []
    for row in rows:
        match row:
            case {"kind": "number_sent"}:
                return []
            case {"kind": "confirm_sent" | "confirmed"} | {"kind": "confirm_refused", "code": "base_moved"}:
                plans.add(row)
            case {"kind": "read"}:
                plans.seen.add(row["stamp"])
                events += read_events(row, row["stamp"])
    return events + plans.events(first_answers(rows))


class ConfirmedPlans:
    """The rows of a log about plans that operators confirmed.

    Attributes:
        sent: The row of the first confirmation of each plan, by plan id.
        versions: The version with which a plan was acknowledged, by plan id.
        refused: The times at which a plan was refused because its base was no longer the current version, by plan id.
        seen: All versions that a read returned or a plan was based on.

    >>> ConfirmedPlans().events({})
    []
    """

    def __init__(self) -> None:
        self.sent: dict[str, event_log.Row] = {}
        self.versions: dict[str, int] = {}
        self.refused: collections.defaultdict[str, list[int]] = collections.defaultdict(list)
        self.seen: set[int] = set()

    def add(self, row: event_log.Row) -> None:
        """Add a confirmation, an acknowledgement or a refusal; answers to confirmations not in the log are ignored."""
        plan = row["plan"]
        if row["kind"] == "confirm_sent":
            self.sent.setdefault(plan, row)
            self.seen.add(row["base"])
        elif plan not in self.sent:
            return
        elif row["kind"] == "confirmed":
            self.versions.setdefault(plan, row["stamp"])
        else:
            self.refused[plan].append(row["at"])

    def events(self, answered: dict[str, int]) -> list[linearizability.Event]:
        """The calls and answers as events.

        Args:
            answered: When each plan was acknowledged first, by plan id.
        """
        events: list[linearizability.Event] = []
        free = sorted(self.seen - set(self.versions.values()))  # versions that no acknowledged plan has
        for plan, row in self.sent.items():
            if plan in self.versions:
                change = Change(self.versions[plan], row["base"], plan)
                events.append(Invocation(row["at"], plan, change))
                events.append(ChangeResponse(answered[plan], plan, Outcome.ACKNOWLEDGED))
            elif plan not in self.refused:
                possible = [Change(version, row["base"], plan) for version in free if version > row["base"]]
                events += [Invocation(row["at"], f"{plan} as {change.number}", change) for change in possible]
            for number, at in enumerate(self.refused.get(plan, [])):
                call = f"{plan} refused {number}"
                change = Change(self.versions.get(plan, STALE_NUMBER), row["base"], plan)
                events += [Invocation(row["at"], call, change), ChangeResponse(at, call, Outcome.REFUSED)]
        return events


def first_answers(rows: list[event_log.Row]) -> dict[str, int]:
    """When each plan was acknowledged first, by plan id.

    >>> first_answers([{"at": 4, "kind": "confirmed", "plan": "0-a"}])
    {'0-a': 4}
    """
    answered: dict[str, int] = {}
    for row in rows:
        if row["kind"] == "confirmed":
            answered.setdefault(row["plan"], row["at"])
    return answered


HISTORIES = {
    "configurations": platform_configurations,
    "numbered changes": numbered_changes,
    "confirmed plans": confirmed_plans,
}


def complaints(rows: list[event_log.Row]) -> list[str]:
    """A text for each history of a log that is not linearizable, is malformed or took too many steps to check.

    >>> complaints([{"at": 1, "kind": "ended"}])
    []
    """
    found = []
    for name, convert in HISTORIES.items():
        try:
            judged = linearizability.check(convert(rows))
        except linearizability.SearchLimitError as error:
            found.append(f"{name}: neither confirmed nor refuted as linearizable: {error}")
            continue
        except linearizability.HistoryError as error:
            found.append(f"{name}: the log holds no valid history: {error}")
            continue
        if not judged.linearizable:
            found.append(
                f"{name}: no order explains more than {judged.longest} calls; after these, none of the following fits: "
                f"{'; '.join(judged.unexplained)}"
            )
    return found


def call_count(rows: list[event_log.Row]) -> int:
    """The number of operators' calls in a log.

    >>> call_count([{"at": 1, "kind": "ended"}])
    0
    """
    return sum(isinstance(event, Invocation) for convert in HISTORIES.values() for event in convert(rows))
