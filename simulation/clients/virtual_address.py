"""The platform's virtual address: checks whether nodes are ready, and picks one for a new connection."""

from __future__ import annotations

import typing
import zlib

import loguru
from twisted.internet import defer

from iriswheel.runtime import units
from simulation import event_log, platform_names
from simulation.clients import connection

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler

CHECK_INTERVAL_US = units.SECOND_US
CHECK_TIMEOUT_US = 900 * units.MILLISECOND_US
FAILED_CHECKS_TO_REMOVE = 2  # in a row

Address = tuple[str, int]

log = loguru.logger.bind(part="users")


class NodeAddresses(typing.NamedTuple):
    """Where a node is: its zone, and the addresses for requests and for readiness checks."""

    zone: str
    front: Address
    ready: Address


class VirtualAddress:
    """The virtual address of all nodes."""

    def __init__(self, runtime: scheduler.Runtime, event_log: event_log.EventLog) -> None:
        self.runtime, self.event_log = runtime, event_log
        self.nodes: dict[str, NodeAddresses] = {}
        self.failed_checks: dict[str, int] = {}  # name -> failed checks in a row

    async def run(self) -> None:
        """Check all nodes each second."""
        while True:
            for name in sorted(self.nodes):
                self.runtime.spawn(self.check(name, *self.nodes[name].ready), log)
            await self.runtime.sleep(CHECK_INTERVAL_US)

    async def check(self, name: str, host: str, port: int) -> None:
        """Check whether one node is ready."""
        received_before = self.receives_new_connections(name)
        ready = await self._is_ready(host, port)
        if name not in self.nodes:
            return
        self.failed_checks[name] = 0 if ready else self.failed_checks.get(name, FAILED_CHECKS_TO_REMOVE) + 1
        self.event_log.put(self.runtime.now(), "asked", node=name, ok=ready)
        if self.receives_new_connections(name) != received_before:
            self.event_log.put(self.runtime.now(), "entry", node=name, into=not received_before)

    async def _is_ready(self, host: str, port: int) -> bool:
        try:
            opened = await connection.connect(self.runtime, host, port, CHECK_TIMEOUT_US)
            answered: defer.Deferred[connection.PendingAnswer] = defer.Deferred()
            head = connection.encode_head(
                "GET", platform_names.PATHS["ready"], [("Host", "x"), ("Connection", "close")]
            )
            opened.start(connection.PendingAnswer(answered.callback), head)
            self.runtime.later(CHECK_TIMEOUT_US, opened.drop, "silent")
            answer = await answered
            ready = answer.outcome == "whole" and answer.code == 200
            opened.drop("done")
        except defer.CancelledError:
            raise
        except Exception:  # however a check fails, the node is not ready
            return False
        return ready

    def receives_new_connections(self, name: str) -> bool:
        """Whether a node gets new connections."""
        return self.failed_checks.get(name, FAILED_CHECKS_TO_REMOVE) < FAILED_CHECKS_TO_REMOVE

    def zone_nodes(self, zone: str) -> list[str]:
        """The nodes that a zone's clients are passed to: its ready ones, or all of them where most are not ready."""
        names = [name for name in sorted(self.nodes) if self.nodes[name].zone == zone]
        ready = [name for name in names if self.receives_new_connections(name)]
        if not ready:
            return []
        return ready if 2 * len(ready) >= len(names) else names

    def pick(self, zone: str, client: str, attempts: int) -> tuple[str, Address]:
        """The node of a new connection: its name and address.

        Args:
            zone: The client's zone; other zones' nodes are taken where it has none that are ready.
            client: The client's name, which says where in the list of nodes it begins.
            attempts: How often the client has tried; each time the next node is taken.
        """
        others = sorted({addresses.zone for addresses in self.nodes.values()} - {zone})
        candidates = (self.zone_nodes(candidate) for candidate in [zone, *others])
        names = next((found for found in candidates if found), sorted(self.nodes))
        name = names[(zlib.crc32(client.encode()) + attempts) % len(names)]
        return name, self.nodes[name].front
