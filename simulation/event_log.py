"""The event log of a simulated run, in memory."""

from __future__ import annotations

import json
import typing


class EventLog:
    """An event log in memory, with the rows that `load_generator.Events` writes to a file.

    >>> log = EventLog(); log.put(5, "sent", exchange="x1"); log.rows
    [{'at': 5, 'kind': 'sent', 'exchange': 'x1'}]
    """

    def __init__(self) -> None:
        self.rows: list[dict[str, typing.Any]] = []

    def put(self, at: int, kind: str, **fields: object) -> None:
        """Keep one event.

        >>> EventLog().put(1, "sent")
        """
        self.rows.append({"at": at, "kind": kind, **fields})

    def text(self) -> str:
        """The log as it would stand in a file.

        >>> EventLog().text()
        ''
        """
        return "".join(json.dumps(row) + "\n" for row in self.rows)
