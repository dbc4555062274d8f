"""Reachability of workers from one node: the last contact with each, and the workers to which connecting fails.

The pool's owner decides whether a worker counts as unreachable for the whole fleet (`pools.worker_watch`). For pools
whose workers the node itself selects, `worker_reach` keeps a record of its own.
"""

from __future__ import annotations

import typing

import loguru
from twisted.internet import defer

from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces


PROBE_INTERVAL_US = 500 * units.MILLISECOND_US  # between probes of an unreachable worker
PROBE_TIMEOUT_US = 500 * units.MILLISECOND_US  # for the answer to a probe
CONNECT_TIMEOUT_US = 300 * units.MILLISECOND_US  # for a TCP connection without a request
RECENT_CONTACT_US = 1 * units.SECOND_US  # age up to which the last contact with a worker counts as recent
QUIET_PROBE_INTERVAL_US = 2 * units.SECOND_US  # between two checks of the workers without recent contact


log = loguru.logger.bind(part="health")


class Reachability:
    """One node's record of its contact with the workers: the last contact, and the workers it can't connect to."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node
        self.runtime = node.runtime
        self.last_contact_us: dict[str, int] = {}  # worker -> time of its last data received here
        self.unreachable_since: dict[str, int] = {}  # worker -> time since which connecting fails

    def note_contact(self, worker: str) -> None:
        """Note that this node just received something from a worker."""
        self.last_contact_us[worker] = self.runtime.now()
        self.unreachable_since.pop(worker, None)

    def note_unreachable(self, worker: str) -> None:
        """Note that connecting to a worker failed; probe it until that succeeds, and check the other workers."""
        if worker in self.unreachable_since:
            return
        self.unreachable_since[worker] = self.runtime.now()
        self.runtime.spawn(self._retry_until_reached(worker), log)
        for other in self.node.follower.workers:
            if other.id not in self.unreachable_since and other.state != message.WorkerState.GONE:
                # a network partition may affect the other workers too
                self.runtime.spawn(self._try_connect(other), log)

    async def probe_quiet_workers(self) -> None:
        """Periodically try to connect to the workers without recent contact, in pools whose owner selects."""
        while not self.node.stopped:
            await self.runtime.sleep(QUIET_PROBE_INTERVAL_US)
            for worker in self.node.follower.workers:
                if not self.node.follower.selected_by_owner(worker.pool):
                    continue  # in pools where nodes select, their attempts show whether workers are reachable
                if (
                    worker.state == message.WorkerState.READY
                    and worker.id not in self.unreachable_since
                    and worker.id not in self.last_contact_us
                ):
                    self.runtime.spawn(self._try_connect(worker), log)

    def recent_contacts(self) -> list[str]:
        """Return the workers with contact within RECENT_CONTACT_US; forget the contact with the others."""
        now = self.runtime.now()
        for worker in [worker for worker, at in self.last_contact_us.items() if now - at > RECENT_CONTACT_US]:
            del self.last_contact_us[worker]
        return sorted(self.last_contact_us)

    async def probe(self, worker: message.Worker) -> message.ProbeResponse:
        """Ask a worker for its load; the outcome tells if it answered, only accepted a connection, or did neither."""
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
        except Exception as reason:  # the kind of failure doesn't matter, only whether anything answered
            if getattr(reason, "answered", False):
                return message.ProbeResponse(message.ProbeOutcome.ANSWERED.value, None)
            connects = await dispatcher.can_connect(worker.host, worker.port, CONNECT_TIMEOUT_US)
            outcome = message.ProbeOutcome.UNRESPONSIVE if connects else message.ProbeOutcome.NOT_REACHED
            return message.ProbeResponse(outcome.value, None)
        try:
            return message.ProbeResponse(message.ProbeOutcome.ANSWERED.value, protocol.parse_load_report(raw))
        except ValueError:  # an answer that can't be parsed still shows a reachable worker
            return message.ProbeResponse(message.ProbeOutcome.ANSWERED.value, None)

    async def _try_connect(self, worker: message.Worker) -> None:
        """Note a worker as unreachable if connecting to it fails."""
        if not await self.node.dispatcher.can_connect(worker.host, worker.port, CONNECT_TIMEOUT_US):
            self.note_unreachable(worker.id)

    async def _retry_until_reached(self, worker_id: str) -> None:
        """Probe an unreachable worker until it is reached or no longer listed."""
        while worker_id in self.unreachable_since and not self.node.stopped:
            await self.runtime.sleep(PROBE_INTERVAL_US)
            worker = self.node.follower.workers_by_id.get(worker_id)
            if worker is None:
                self.unreachable_since.pop(worker_id, None)
            else:
                await self.probe(worker)
