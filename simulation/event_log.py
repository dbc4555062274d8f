"""The in-memory event log of a simulated run."""

from __future__ import annotations

import json
import typing


class EventLog:
    """An event log in memory with the same rows as `load_generator.Events`, which writes them to a file.

    >>> log = EventLog(); log.put(5, "sent", exchange="x1"); log.rows
    [{'at': 5, 'kind': 'sent', 'exchange': 'x1'}]
    """

    def __init__(self) -> None:
        self.rows: list[dict[str, typing.Any]] = []

    def put(self, at: int, kind: str, **fields: object) -> None:
        """Append an event of a kind that occurred at a time in microseconds.

        >>> EventLog().put(1, "sent")
        """
        self.rows.append({"at": at, "kind": kind, **fields})

    def text(self) -> str:
        """The log in the format of a file: one JSON object per line.

        >>> EventLog().text()
        ''
        """
        return "".join(json.dumps(row) + "\n" for row in self.rows)
