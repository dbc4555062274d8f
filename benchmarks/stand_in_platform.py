"""A simulated platform: it lists the workers and polls the nodes' readiness.

It implements the interface of docs/interface.md and writes an event log. Scenarios can make it answer wrongly.
"""

from __future__ import annotations

import enum
import typing

import loguru
from twisted.internet import defer

from iriswheel.dataplane import dispatch, edge_protocol
from iriswheel.runtime import scheduler, units
from iriswheel.transport import http_server

if typing.TYPE_CHECKING:
    from iriswheel.cli import load_generator

POLL_US = 500 * units.MILLISECOND_US  # time between two polls of a node's readiness
POLL_TIMEOUT_US = 400 * units.MILLISECOND_US
SLOW_LISTING_US = 4 * units.SECOND_US  # delay of the worker list with ListingFault.SLOW
DRAIN_DEADLINE_MS = 5000  # default of a listed worker

log = loguru.logger.bind(part="platform")


class ListingFault(enum.Enum):
    """A wrong answer to the nodes' requests for the worker list."""

    SLOW = "slow"  # the list comes late
    UNREADABLE = "nonsense"  # the list is truncated JSON
    EMPTY = "empty"  # no worker is listed
    HALF = "half"  # every other worker is left out


class Platform:
    """A simulated platform.

    Args:
        runtime: Its clock, scheduler and random numbers.
        events: The event log.
    """

    def __init__(self, runtime: scheduler.Runtime, events: load_generator.EventSink) -> None:
        self.runtime = runtime
        self.events = events
        self.workers: dict[str, dict[str, typing.Any]] = {}  # id of a worker -> its row of the worker list
        self.nodes: dict[str, tuple[str, int]] = {}  # name -> (host, HTTP port)
        self.listing_fault: ListingFault | None = None
        self.readiness: dict[str, bool] = {}  # name of a node -> whether it was ready at the last poll
        self.dispatcher = dispatch.Dispatcher(runtime)

    async def poll_nodes(self) -> None:
        """Poll the readiness of every node, at a fixed interval and without end."""
        while True:
            for name, (host, port) in sorted(self.nodes.items()):
                self.runtime.spawn(self._poll_node(name, host, port), log)
            await self.runtime.sleep(POLL_US)

    async def _poll_node(self, name: str, host: str, port: int) -> None:
        try:
            await self.dispatcher.fetch(host, port, edge_protocol.READY_PATH, POLL_TIMEOUT_US)
            ready = True
        except defer.CancelledError:
            raise
        except Exception:  # after any failed request the node counts as not ready
            ready = False
        if self.readiness.get(name) != ready:
            self.readiness[name] = ready
            self.events.put(self.runtime.now(), "asked", node=name, ready=ready)

    def node_addresses(self) -> list[tuple[str, int]]:
        """The addresses to which clients send requests: those of the ready nodes, or of all nodes if none is ready."""
        ready = [self.nodes[name] for name in sorted(self.nodes) if self.readiness.get(name)]
        return ready or [self.nodes[name] for name in sorted(self.nodes)]

    def put(self, id: str, **fields: int | str) -> None:
        """Add a worker to the worker list, or change its row."""
        default = {"id": id, "state": "ready", "drain_deadline_ms": DRAIN_DEADLINE_MS}
        row = {**default, **self.workers.get(id, {}), **fields}
        self.workers[id] = row
        self.events.put(self.runtime.now(), "listed", worker=id, state=row["state"], pool=row["pool"])

    def drop(self, identifier: str) -> None:
        """Remove a worker from the worker list."""
        del self.workers[identifier]
        self.events.put(self.runtime.now(), "listed", worker=identifier, state="gone", pool="")

    async def handle(self, request: http_server.Request) -> None:
        """Answer a request: for the worker list, for the nodes' addresses, or to change either of them."""
        match (request.method, request.path):
            case (b"GET", b"/workers"):
                await self._list_workers(request)
            case (b"POST", b"/workers"):
                document = request.json()
                if document.get("state") == "gone":
                    self.drop(document["id"])
                else:
                    self.put(**document)
                request.answer_json(200, {})
            case (b"GET", b"/nodes"):
                request.answer_json(200, {"nodes": self.node_addresses()})
            case (b"POST", b"/nodes"):
                document = request.json()
                self.nodes[document["name"]] = (document["host"], document["port"])
                request.answer_json(200, {})
            case _:
                request.answer_json(404, {"error": "no such path"})

    async def _list_workers(self, request: http_server.Request) -> None:
        rows = [self.workers[name] for name in sorted(self.workers)]
        match self.listing_fault:
            case ListingFault.SLOW:
                await self.runtime.sleep(SLOW_LISTING_US)
            case ListingFault.UNREADABLE:
                request.answer(200, b'{"workers": [{"id": 7, "state"')
                return
            case ListingFault.EMPTY:
                rows = []
            case ListingFault.HALF:
                rows = rows[::2]
        request.answer_json(200, {"workers": rows})
