"""Reachability of workers from one node: when each last answered here, and to which no connection can be had.

Whether a worker counts as unreachable for the whole fleet is for the pool's owner to say (`pools.worker_watch`).
"""

from __future__ import annotations

import typing

import loguru
from twisted.internet import defer

from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces


PROBE_INTERVAL_US = 500 * units.MILLISECOND_US
PROBE_TIMEOUT_US = 500 * units.MILLISECOND_US  # for a worker's answer
CONNECT_TIMEOUT_US = 300 * units.MILLISECOND_US  # for a bare connection
RECENT_CONTACT_US = 1 * units.SECOND_US  # a worker that was heard within it needs no check
QUIET_PROBE_INTERVAL_US = 2 * units.SECOND_US


log = loguru.logger.bind(part="health")


class Reachability:
    """One node's own contact with the workers: when each last answered, and to which it has no connection."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node
        self.runtime = node.runtime
        self.last_contact_us: dict[str, int] = {}  # worker -> when it last said anything here
        self.unreachable_since: dict[str, int] = {}  # worker -> since when no connection to it can be had from here

    def note_contact(self, worker: str) -> None:
        """Note that a worker said something."""
        self.last_contact_us[worker] = self.runtime.now()
        self.unreachable_since.pop(worker, None)

    def note_unreachable(self, worker: str) -> None:
        """Note that no connection to a worker could be had; it is tried again until one can."""
        if worker in self.unreachable_since:
            return
        self.unreachable_since[worker] = self.runtime.now()
        self.runtime.spawn(self._retry_until_reached(worker), log)
        for other in self.node.follower.workers:
            if other.id not in self.unreachable_since and other.state != message.WorkerState.GONE:
                self.runtime.spawn(self._try_connect(other), log)  # a cut network may hide the other workers too

    async def probe_quiet_workers(self) -> None:
        """Now and then, try to connect to the workers that were not heard here for a while."""
        while not self.node.stopped:
            await self.runtime.sleep(QUIET_PROBE_INTERVAL_US)
            for worker in self.node.follower.workers:
                if not self.node.follower.selected_by_owner(worker.pool):
                    continue  # the node's own attempts show whether these are reachable
                if (
                    worker.state == message.WorkerState.READY
                    and worker.id not in self.unreachable_since
                    and worker.id not in self.last_contact_us
                ):
                    self.runtime.spawn(self._try_connect(worker), log)

    def recent_contacts(self) -> list[str]:
        """Return the workers heard here in the last second; forgets the others."""
        now = self.runtime.now()
        for worker in [worker for worker, at in self.last_contact_us.items() if now - at > RECENT_CONTACT_US]:
            del self.last_contact_us[worker]
        return sorted(self.last_contact_us)

    async def probe(self, worker: message.Worker) -> message.ProbeResponse:
        """Ask a worker for its load: it answers anything, takes the connection and says nothing, or neither."""
        response = await self._ask_load(worker)
        if response.outcome == message.ProbeOutcome.NOT_REACHED.value:
            self.note_unreachable(worker.id)
        else:
            self.unreachable_since.pop(worker.id, None)
        return response

    async def _ask_load(self, worker: message.Worker) -> message.ProbeResponse:
        dispatcher, protocol = self.node.dispatcher, self.node.edge_protocol
        try:
            raw = await dispatcher.fetch(worker.host, worker.port, protocol.load_path, PROBE_TIMEOUT_US)
        except defer.CancelledError:
            raise
        except Exception as reason:  # whatever went wrong: what counts is whether anything answered
            if getattr(reason, "answered", False):
                return message.ProbeResponse(message.ProbeOutcome.ANSWERED.value, None)
            connects = await dispatcher.can_connect(worker.host, worker.port, CONNECT_TIMEOUT_US)
            outcome = message.ProbeOutcome.UNRESPONSIVE if connects else message.ProbeOutcome.NOT_REACHED
            return message.ProbeResponse(outcome.value, None)
        try:
            return message.ProbeResponse(message.ProbeOutcome.ANSWERED.value, protocol.load(raw))
        except ValueError:  # an answer in another format is an answer
            return message.ProbeResponse(message.ProbeOutcome.ANSWERED.value, None)

    async def _try_connect(self, worker: message.Worker) -> None:
        """Note a worker as unreachable if no bare connection to it can be had."""
        if not await self.node.dispatcher.can_connect(worker.host, worker.port, CONNECT_TIMEOUT_US):
            self.note_unreachable(worker.id)

    async def _retry_until_reached(self, worker_id: str) -> None:
        """Try an unreachable worker again, until it is reached or listed no more."""
        while worker_id in self.unreachable_since and not self.node.stopped:
            await self.runtime.sleep(PROBE_INTERVAL_US)
            worker = self.node.follower.workers_by_id.get(worker_id)
            if worker is None:
                self.unreachable_since.pop(worker_id, None)
            else:
                await self.probe(worker)
