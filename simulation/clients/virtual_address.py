"""The platform's virtual address: a load balancer that checks nodes and picks one for each new connection."""

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
FAILED_CHECKS_TO_REMOVE = 2  # consecutive failed checks after which a node gets no new connections

Address = tuple[str, int]

log = loguru.logger.bind(part="users")


class NodeAddresses(typing.NamedTuple):
    """The zone of a node, and its addresses for requests and for readiness checks."""

    zone: str
    front: Address
    ready: Address


class VirtualAddress:
    """The virtual address of all nodes."""

    def __init__(self, runtime: scheduler.Runtime, event_log: event_log.EventLog) -> None:
        self.runtime, self.event_log = runtime, event_log
        self.nodes: dict[str, NodeAddresses] = {}
        self.failed_checks: dict[str, int] = {}  # node -> number of consecutive failed checks

    async def run(self) -> None:
        """Check the readiness of all nodes each second."""
        while True:
            for name in sorted(self.nodes):
                self.runtime.spawn(self.check(name, *self.nodes[name].ready), log)
            await self.runtime.sleep(CHECK_INTERVAL_US)

    async def check(self, name: str, host: str, port: int) -> None:
        """Check the readiness of one node, and log whether the node now gets new connections."""
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
        except Exception:  # any failure means that the node is not ready
            return False
        return ready

    def receives_new_connections(self, name: str) -> bool:
        """Whether a node gets new connections."""
        return self.failed_checks.get(name, FAILED_CHECKS_TO_REMOVE) < FAILED_CHECKS_TO_REMOVE

    def zone_nodes(self, zone: str) -> list[str]:
        """The nodes of a zone that get connections: the ready ones, or all if some but fewer than half are ready."""
        names = [name for name in sorted(self.nodes) if self.nodes[name].zone == zone]
        ready = [name for name in names if self.receives_new_connections(name)]
        if not ready:
            return []
        return ready if 2 * len(ready) >= len(names) else names

    def pick(self, zone: str, client: str, attempts: int) -> tuple[str, Address]:
        """Pick the node for a new connection: its name and address.

        Args:
            zone: The client's zone; a node of another zone is picked only if this one has no ready node, and any node
                if no zone has one.
            client: The client's name, whose hash selects the first node to try.
            attempts: The number of earlier attempts; each one moves on to the next node.
        """
        others = sorted({addresses.zone for addresses in self.nodes.values()} - {zone})
        candidates = (self.zone_nodes(candidate) for candidate in [zone, *others])
        names = next((found for found in candidates if found), sorted(self.nodes))
        name = names[(zlib.crc32(client.encode()) + attempts) % len(names)]
        return name, self.nodes[name].front
