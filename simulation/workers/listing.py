"""The platform's list of workers: changes appear with a delay, answers are paged, and the rate of calls is limited."""

from __future__ import annotations

import collections
import typing
import urllib.parse

from iriswheel.runtime import units
from simulation import event_log, platform_names
from simulation.workers import served_http

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler

HISTORY_US = 30 * units.SECOND_US  # age up to which former lists are kept
RATE_WINDOW_US = units.SECOND_US

WorkerRow = dict[str, typing.Any]
Rows = dict[str, WorkerRow]


class FormerList(typing.NamedTuple):
    """The content of the list since a time in microseconds."""

    since: int
    rows: Rows


class Listing(served_http.Server):
    """The HTTP server of the list of workers."""

    def __init__(
        self,
        runtime: scheduler.Runtime,
        event_log: event_log.EventLog,
        lag_us: int = 800 * units.MILLISECOND_US,
        rate: float = 40.0,
        page: int = 3,
    ) -> None:
        """Create an empty list.

        Args:
            runtime: The clock.
            event_log: The event log, which records changes and calls.
            lag_us: The delay after which a change appears in answers.
            rate: The number of calls answered per second; further ones get status 429.
            page: The number of workers on a page.
        """
        super().__init__(runtime)
        self.event_log, self.lag_us, self.rate, self.page = event_log, lag_us, rate, page
        self.rows: Rows = {}
        self.history: collections.deque[FormerList] = collections.deque([FormerList(0, {})])
        self.call_times: collections.deque[int] = collections.deque()
        self.cold_until: dict[str, int] = {}  # worker -> end of its warm-up, for workers that were ever cold
        self.is_down = False

    def put(self, identifier: str, **changed: object) -> None:
        """Add a worker or change its fields; answers show the change after the lag."""
        new = dict(
            state=platform_names.TERMS["ready"],
            version="v1",
            capacity=64,
            cold=0,
            stage=platform_names.TERMS["whole"],
            models=[],
        )
        row = {**self.rows.get(identifier, new), **changed}
        self.rows = {**self.rows, identifier: row}
        self._note_change(identifier, row["state"], row["pool"])

    def remove(self, identifier: str) -> None:
        """Remove a worker; answers show the change after the lag."""
        pool = self.rows[identifier]["pool"]
        self.rows = {other: row for other, row in self.rows.items() if other != identifier}
        self._note_change(identifier, "gone", pool)

    def _note_change(self, identifier: str, state: str, pool: str) -> None:
        now = self.runtime.now()
        self.history.append(FormerList(now, self.rows))
        while len(self.history) > 1 and self.history[1].since <= now - HISTORY_US:
            self.history.popleft()
        self.event_log.put(now, "listed", worker=identifier, state=state, pool=pool, seen=now + self.lag_us)

    def handle(self, request: served_http.ServedRequest) -> None:
        """Answer a call; while the list is down, leave it without an answer."""
        now = self.runtime.now()
        while self.call_times and self.call_times[0] <= now - RATE_WINDOW_US:
            self.call_times.popleft()
        self.event_log.put(now, "platform_call", peer=request.connection.peer)
        if self.is_down:
            return
        if request.method != "GET" or request.path != platform_names.PATHS["workers"]:
            request.reply(404)
        elif len(self.call_times) >= self.rate:
            request.reply(429)
        else:
            self.call_times.append(now)
            request.reply_json(200, self.page_of(dict(urllib.parse.parse_qsl(request.query))))

    def seen_rows(self) -> Rows:
        """The list that answers show: as it was `lag_us` ago."""
        then = self.runtime.now() - self.lag_us
        return next((former.rows for former in reversed(self.history) if former.since <= then), self.history[0].rows)

    def _timed_row(self, rows: Rows, identifier: str) -> list[tuple[str, typing.Any]]:
        """The fields of a worker, with its remaining warm-up time as it was `lag_us` ago."""
        row = rows[identifier]
        if identifier not in self.cold_until:
            return list(row.items())
        then = self.runtime.now() - self.lag_us
        cold_left_ms = max(0, self.cold_until[identifier] - then) // units.MILLISECOND_US
        return list({**row, "cold": cold_left_ms}.items())

    def page_of(self, query: dict[str, str]) -> dict[str, typing.Any]:
        """The page that a query requests, with the platform's field names."""
        names, rows = platform_names.LISTING, self.seen_rows()
        chosen = [
            identifier
            for identifier in sorted(rows)
            if rows[identifier]["zone"] == query.get(names["zone"], rows[identifier]["zone"])
        ]
        after = query.get(names["page"], "")
        begin = sum(identifier <= after for identifier in chosen)
        page = chosen[begin : begin + self.page]
        return {
            names["rows"]: [
                {names["id"]: identifier, **{names[key]: value for key, value in self._timed_row(rows, identifier)}}
                for identifier in page
            ],
            names["next"]: page[-1] if begin + self.page < len(chosen) else None,
        }
