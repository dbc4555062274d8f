"""Operators' histories in event logs: rows of calls and answers, as typed events for the checker.

Three kinds of call are found in logs, each a history of its own:

- configurations of the users' platform: `config_sent`, `config_answer`, `config_read`;
- numbered changes of iriswheel's own interface: `number_sent`, `numbered`, `read`;
- plans and their confirmation, under versions: `confirm_sent`, `confirmed`, `confirm_refused`, `read`.
"""

from __future__ import annotations

import collections
import json
import typing

import iriswheel.verification.linearizability as linearizability

STALE_NUMBER = -1  # of a plan that was never taken

Change = linearizability.Change
ChangeResponse = linearizability.ChangeResponse
Invocation = linearizability.Invocation
Outcome = linearizability.Outcome
Read = linearizability.Read
ReadResponse = linearizability.ReadResponse


def outcome(code: int | None) -> linearizability.Outcome:
    """What an answer's status says of a change.

    >>> [outcome(c).value for c in (200, 409, 412, 422, 504, 0, None)]
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


def content(document: dict[str, typing.Any]) -> str:
    """A short name for a document, whatever the order of the items in its lists.

    >>> content({"routes": [1, 2]}) == content({"routes": [2, 1]})
    True
    """

    def ordered(value: dict[str, int] | int | list[typing.Any]) -> dict[str, int] | int | list[typing.Any]:
        return sorted(value, key=lambda x: json.dumps(x, sort_keys=True)) if isinstance(value, list) else value

    return linearizability.digest({key: ordered(value) for key, value in document.items()})


def configurations(
    rows: list[dict[str, typing.Any]],
) -> list[linearizability.ChangeResponse | linearizability.Invocation | linearizability.ReadResponse]:
    """The history of the platform's calls.

    A valid document that was refused in any way counts as refused for its number.

    >>> row = {"send": "boss-1", "version": 1, "base": 0, "doc": {"version": 1}, "valid": True}
    >>> len(configurations([{"at": 1, "kind": "config_sent", **row}]))
    1
    """
    events, valid = [], {}
    for row in rows:
        match row:
            case {"kind": "config_sent"}:
                change = Change(row["version"], row["base"], content(row["doc"]))
                valid[row["send"]] = row["valid"]
                events.append(Invocation(row["at"], row["send"], change))
            case {"kind": "config_answer"} if row["send"] in valid:
                result = outcome(row["code"])
                if result is Outcome.INVALID and valid[row["send"]]:
                    result = Outcome.REFUSED
                elif result is Outcome.REFUSED and not valid[row["send"]]:
                    result = Outcome.INVALID
                events.append(ChangeResponse(row["at"], row["send"], result))
            case {"kind": "config_read", "doc": dict(document), "version": int(version)}:
                events += read(row, version, content(document))
    return events


def read(
    row: dict[str, typing.Any], number: int, text: str = ""
) -> list[linearizability.Invocation | linearizability.ReadResponse]:
    """The two events of a read; one whose beginning is not known may have begun at any time.

    >>> [e.at for e in read({"at": 9, "began": 4}, 7)]
    [4, 9]
    """
    call = f"read-{row['at']}-{row.get('who', '')}"
    return [Invocation(row.get("began", 0), call, Read()), ReadResponse(row["at"], call, number, text)]


def numbered(
    rows: list[dict[str, typing.Any]],
) -> list[linearizability.ChangeResponse | linearizability.Invocation | linearizability.ReadResponse]:
    """The history of numbered changes; none where plans are confirmed between them, which have no number.

    >>> numbered([{"at": 5, "kind": "number_sent", "call": "a", "number": 1, "built_on": 0, "content": "x"}])[0].at
    5
    """
    events, sent = [], set()
    for row in rows:
        match row:
            case {"kind": "confirm_sent"} if sent:
                return []
            case {"kind": "number_sent"}:
                sent.add(row["call"])
                change = Change(row["number"], row["built_on"], row["content"])
                events.append(Invocation(row["at"], row["call"], change))
            case {"kind": "numbered", "call": call} if call in sent:
                events.append(ChangeResponse(row["at"], call, outcome(row["status"])))
            case {"kind": "read"} if sent:
                marks = row["blueprint"].get("marks", {})
                events += read(row, marks.get("operator", {}).get("number", 0))
    return events if sent else []


def confirmations(
    rows: list[dict[str, typing.Any]],
) -> list[linearizability.ChangeResponse | linearizability.Invocation | linearizability.ReadResponse]:
    """The history of confirmed plans, under the versions that the chain gave them.

    A plan that was never acknowledged may have been taken under any version that somebody saw and
    that no other plan has. None where numbered changes are among them: their versions are not in logs.

    >>> row = {"plan": "0-a", "base": 0, "blueprint": {}}
    >>> confirmations([{"at": 1, "kind": "confirm_sent", **row}])
    []
    """
    sent, versions, seen = {}, {}, set()
    refused = collections.defaultdict(list)
    events = []
    for row in rows:
        match row:
            case {"kind": "number_sent"}:
                return []
            case {"kind": "confirm_sent"}:
                sent.setdefault(row["plan"], row)
                seen.add(row["base"])
            case {"kind": "confirmed"} if row["plan"] in sent:
                versions.setdefault(row["plan"], row["stamp"])
            case {"kind": "confirm_refused", "code": "base_moved"} if row["plan"] in sent:
                refused[row["plan"]].append(row["at"])
            case {"kind": "read"}:
                seen.add(row["stamp"])
                events += read(row, row["stamp"])
    free = sorted(seen - set(versions.values()))
    answered = first_answers(rows)
    for plan, row in sent.items():
        if plan in versions:
            change = Change(versions[plan], row["base"], plan)
            events.append(Invocation(row["at"], plan, change))
            events.append(ChangeResponse(answered[plan], plan, Outcome.ACKNOWLEDGED))
        elif plan not in refused:
            may = [Change(version, row["base"], plan) for version in free if version > row["base"]]
            events += [Invocation(row["at"], f"{plan} as {change.number}", change) for change in may]
        for k, at in enumerate(refused[plan]):
            call = f"{plan} refused {k}"
            change = Change(versions.get(plan, STALE_NUMBER), row["base"], plan)
            events += [Invocation(row["at"], call, change), ChangeResponse(at, call, Outcome.REFUSED)]
    return events


def first_answers(rows: list[dict[str, typing.Any]]) -> dict[str, int]:
    """When each plan was acknowledged first.

    >>> first_answers([{"at": 4, "kind": "confirmed", "plan": "0-a"}])
    {'0-a': 4}
    """
    out = {}
    for row in rows:
        if row["kind"] == "confirmed":
            out.setdefault(row["plan"], row["at"])
    return out


HISTORIES = {"configurations": configurations, "numbered changes": numbered, "confirmed plans": confirmations}


def complaints(rows: list[dict[str, typing.Any]]) -> list[str]:
    """What of a log's operators' calls no order explains, in words.

    >>> complaints([{"at": 1, "kind": "ended"}])
    []
    """
    out = []
    for name, find in HISTORIES.items():
        try:
            judged = linearizability.check(find(rows))
        except linearizability.SearchLimitError as e:
            out.append(f"{name}: not judged: {e}")
            continue
        except linearizability.HistoryError as e:
            out.append(f"{name}: no history: {e}")
            continue
        if not judged.linearizable:
            out.append(f"{name}: after {judged.longest} calls, no order explains: {'; '.join(judged.unexplained)}")
    return out


def count(rows: list[dict[str, typing.Any]]) -> int:
    """How many calls of operators a log holds.

    >>> count([{"at": 1, "kind": "ended"}])
    0
    """
    return sum(isinstance(event, Invocation) for find in HISTORIES.values() for event in find(rows))
