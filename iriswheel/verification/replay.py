"""Runs all checkers over an event log: one or more for each of the twelve guarantees of docs/proof.md.

Each checker yields its complaints as texts, and its docstring begins with the number of its guarantee. `iriswheel
replay` prints the checker's function name before each complaint.
"""

from __future__ import annotations

import collections.abc

from iriswheel.verification import (
    availability,
    configuration_checks,
    event_log,
    exactly_once,
    recovery_times,
    retry_checks,
    routing_checks,
    session_checks,
)

DamagedLogError = event_log.DamagedLogError
read = event_log.read
recovery = recovery_times.recovery
recovery_lines = recovery_times.recovery_lines

Checker = collections.abc.Callable[[event_log.EventLog], collections.abc.Iterator[str]]

CHECKERS: list[Checker] = [
    exactly_once.once,
    exactly_once.not_run,
    exactly_once.own,
    routing_checks.leaving,
    routing_checks.in_force,
    configuration_checks.kept,
    configuration_checks.linearizable,
    routing_checks.allowed,
    session_checks.pinned,
    session_checks.capped,
    retry_checks.budget,
    availability.served,
    exactly_once.answered,
    availability.back,
]


def examine(rows: list[event_log.Row]) -> tuple[dict[str, list[str]], dict[str, int]]:
    """All complaints by checker name, and the number of rows that each checker judged.

    >>> examine([])[1]["once"]
    0
    """
    log = event_log.EventLog(rows)
    found = {checker.__name__: list(checker(log)) for checker in CHECKERS}
    complaints = {name: lines for name, lines in found.items() if lines}
    return complaints, {checker.__name__: log.rows_judged[checker.__name__] for checker in CHECKERS}


def judge(rows: list[event_log.Row]) -> dict[str, list[str]]:
    """All complaints by checker name, without checkers that have none.

    >>> judge([])
    {}
    """
    return examine(rows)[0]
