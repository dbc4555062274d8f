"""The attempts in flight at this node, and their cancellation when the worker is unreachable or drained."""

from __future__ import annotations

import typing

import loguru

from iriswheel.dataplane import dispatch
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import interfaces

CHECK_INTERVAL_US = 500 * units.MILLISECOND_US  # between two checks for hanging attempts
HANG_TIMEOUT_US = 1 * units.SECOND_US  # an attempt that received nothing for longer counts as hanging

log = loguru.logger.bind(part="attempt_registry")


class AttemptRegistry:
    """The attempts in flight, by attempt id."""

    def __init__(self, node: interfaces.DataPlaneNode) -> None:
        self.node = node
        self.runtime = node.runtime
        self.attempts: dict[str, dispatch.Attempt] = {}

    def begin(self, attempt_id: str, worker: str) -> dispatch.Attempt:
        """Register an attempt that is about to be sent to a worker."""
        attempt = self.attempts[attempt_id] = dispatch.Attempt(worker, self.runtime.now())
        return attempt

    def end(self, attempt_id: str) -> None:
        """Forget an attempt that has ended; an unknown id is ignored."""
        self.attempts.pop(attempt_id, None)

    def cancel_unreachable(self, worker: str) -> None:
        """Cancel the attempts at a worker that no node can reach, except those whose answer has begun."""
        for attempt in [
            attempt for attempt in self.attempts.values() if attempt.worker == worker and not attempt.answer_begun
        ]:
            attempt.cancel()

    def cancel_drained(self) -> None:
        """Cancel the attempts at workers that left the fleet and whose drain time is over."""
        for attempt in [
            attempt for attempt in self.attempts.values() if self.node.follower.drain_deadline_passed(attempt.worker)
        ]:
            attempt.cancel()

    async def watch_hangs(self) -> None:
        """Periodically probe the workers of hanging attempts, and cancel these attempts at unreachable workers.

        The probe is needed because a connection across a network partition reports no error. Attempts that another node
        relays are left out, since this node can't reach their workers in any case.
        """
        while not self.node.stopped:
            await self.runtime.sleep(CHECK_INTERVAL_US)
            for worker in sorted({attempt.worker for attempt in self.attempts.values() if self._hangs(attempt)}):
                self.runtime.spawn(self._cancel_hanging(worker), log)

    async def _cancel_hanging(self, worker_id: str) -> None:
        """Cancel the hanging attempts at a worker, if this node can't connect to it."""
        worker = self.node.follower.workers_by_id.get(worker_id)
        if worker is not None and worker_id not in self.node.reachability.unreachable_since:
            response = await self.node.reachability.probe(worker)
            if response.outcome != message.ProbeOutcome.NOT_REACHED:
                return
        for attempt in [
            attempt for attempt in self.attempts.values() if attempt.worker == worker_id and not attempt.is_relayed
        ]:
            if self._hangs(attempt):
                attempt.cancel()

    def _hangs(self, attempt: dispatch.Attempt) -> bool:
        return not attempt.is_relayed and self.runtime.now() - attempt.last_received_us > HANG_TIMEOUT_US
