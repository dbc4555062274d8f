"""A pool owner's health checks of its workers: which of them are ejected because no node reaches them.

A worker that answers anything to anybody is alive. One node's bad link makes no worker
unreachable: that takes the pool owner and a witness on another node, and neither may reach it.
"""

from __future__ import annotations

import typing

import loguru
from twisted.internet import defer

from iriswheel.dataplane import health, local_member
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.pools import pool_owner


WITNESS_TIMEOUT_US = 1 * units.SECOND_US  # for the answers of the members that probe as well
UNRESPONSIVE_US = 2 * units.SECOND_US  # connects but says nothing for this long: unreachable, if it ever answered
RECHECK_INTERVAL_US = 2 * units.SECOND_US  # an unreachable worker is checked again
NEVER_HEARD_SILENCE_US = 3600 * units.SECOND_US  # the silence of a worker that nobody ever heard

log = loguru.logger.bind(part="worker_watch")


class WorkerWatch:
    """A pool owner's watch over its pool's workers."""

    def __init__(self, owner: pool_owner.PoolOwner) -> None:
        self.owner = owner
        self.node = owner.node
        self.runtime = owner.runtime
        self.reported_loads: dict[
            str, tuple[int, int]
        ] = {}  # worker -> (running, queued), the newest that could be read
        self.last_contact_us: dict[str, dict[str, int]] = {}  # worker -> member -> when it last heard it
        self.ever_answered: set[str] = set()  # workers that ever answered the question for their load
        self.ejected: dict[str, int] = {}  # unreachable worker -> when that was last found
        self.running_checks: dict[str, scheduler.Signal] = {}  # worker -> wakes when the check under way is done

    def note_contact(self, worker: str, member: str) -> None:
        """Note that a member heard a worker just now."""
        self.last_contact_us.setdefault(worker, {})[member] = self.runtime.now()
        if self.ejected.pop(worker, None) is not None:
            log.info("Worker {worker} readmitted: heard by member {member}.", worker=worker, member=member)
            self.owner.slot_freed.wake()

    def silence_us(self, worker: str) -> int:
        """Return how long nobody has heard a worker, in microseconds."""
        return self.runtime.now() - max(self.last_contact_us.get(worker, {}).values(), default=-NEVER_HEARD_SILENCE_US)

    def is_suspect(self, worker: str) -> bool:
        """Whether a worker that used to answer was not heard recently: no place for new work."""
        return (
            worker in self.ever_answered
            and self.silence_us(worker) > health.RECENT_CONTACT_US + health.PROBE_INTERVAL_US // 2
        )

    def relay_for(self, worker: str, member: str) -> str:
        """Return a member other than this one that heard a worker lately, the latest first, or ""."""
        now = self.runtime.now()
        live = {known.id for known in self.node.follower.membership.members}
        by_age = sorted(
            (now - at, other)
            for other, at in self.last_contact_us.get(worker, {}).items()
            if other != member and other in live
        )
        return by_age[0][1] if by_age and by_age[0][0] < UNRESPONSIVE_US else ""

    async def run(self) -> None:
        """Every half second: ask all workers for their load, and check those that nobody hears."""
        while self.owner.is_live():
            workers = [
                worker
                for worker in self.node.follower.workers
                if worker.pool == self.owner.pool and worker.state != message.WorkerState.GONE
            ]
            await defer.DeferredList(
                [defer.ensureDeferred(self._poll(worker)) for worker in workers], consumeErrors=True
            )
            self._forget_unlisted({worker.id for worker in workers})
            self.owner.check_workers()
            await self.runtime.sleep(health.PROBE_INTERVAL_US)

    async def check(self, worker: message.Worker) -> None:
        """Probe a worker from this node and from the nodes that keep copies; decide whether it is unreachable."""
        if worker.id in self.running_checks:
            await self.running_checks[worker.id].wait()
            return
        done = self.running_checks[worker.id] = scheduler.Signal()
        try:
            witnesses = self._witnesses()
            responses = await self._probe_from(witnesses, worker)
            for member, response in responses.items():
                self._record_response(worker.id, member, response)
            if not self._proves_unreachable(worker.id, responses, alone=len(witnesses) < 2):
                return
            if worker.id not in self.ejected:
                self._log_ejection(worker.id, responses)
            self.ejected[worker.id] = self.runtime.now()
            self.owner.check_workers()
            for known in self.node.follower.membership.members:
                self.node.tell_member(known.id, message.WorkerUnreachable(worker.id))
        finally:
            del self.running_checks[worker.id]
            done.wake()

    def _log_ejection(self, worker: str, responses: dict[str, message.ProbeResponse]) -> None:
        connects = any(response.outcome == message.ProbeOutcome.UNRESPONSIVE for response in responses.values())
        reason = "accepts connections but does not answer" if connects else "no node can connect"
        if worker in self.last_contact_us:
            age_ms = self.silence_us(worker) // units.MILLISECOND_US
            log.warning(
                "Worker {worker} ejected: no response for {age_ms} ms, {reason}.",
                worker=worker,
                age_ms=age_ms,
                reason=reason,
            )
        else:
            log.warning("Worker {worker} ejected: no response so far, {reason}.", worker=worker, reason=reason)

    def _witnesses(self) -> list[message.Member]:
        """Return this node and those that hold copies of the pool's records."""
        own_id, copies = local_member.member_id(self.node), self.owner.assignment.copies
        return [
            member for member in self.node.follower.membership.members if member.id == own_id or member.id in copies
        ]

    async def _probe_from(
        self, witnesses: list[message.Member], worker: message.Worker
    ) -> dict[str, message.ProbeResponse]:
        """Return what the witnesses found, by member, as far as they answer."""
        responses = await self.node.call_members(witnesses, message.ProbeRequest(worker), WITNESS_TIMEOUT_US)
        return {
            member: response for member, response in responses.items() if isinstance(response, message.ProbeResponse)
        }

    def _proves_unreachable(self, worker: str, responses: dict[str, message.ProbeResponse], alone: bool) -> bool:
        """Whether what was found proves a worker unreachable.

        Args:
            worker: The worker.
            responses: What this node and the witnesses found, by member.
            alone: Whether there is no other member that could witness.
        """
        own_id, outcomes = local_member.member_id(self.node), {response.outcome for response in responses.values()}
        witnessed = alone or any(member != own_id for member in responses)
        if message.ProbeOutcome.ANSWERED in outcomes or not witnessed:
            return False
        return message.ProbeOutcome.UNRESPONSIVE not in outcomes or (
            worker in self.ever_answered and self.silence_us(worker) >= UNRESPONSIVE_US
        )

    async def _poll(self, worker: message.Worker) -> None:
        """Ask one worker; where it does not answer and nobody else hears it, check."""
        response = await self.node.reachability.probe(worker)
        self._record_response(worker.id, local_member.member_id(self.node), response)
        wait_us = RECHECK_INTERVAL_US if worker.id in self.ejected else health.RECENT_CONTACT_US
        ejected_at = self.ejected.get(worker.id, 0)
        if self.silence_us(worker.id) > health.RECENT_CONTACT_US and self.runtime.now() - ejected_at > wait_us:
            await self.check(worker)

    def _record_response(self, worker: str, member: str, response: message.ProbeResponse) -> None:
        """Take what a member's probe found."""
        if response.outcome != message.ProbeOutcome.ANSWERED:
            return
        self.ever_answered.add(worker)
        if response.load is not None:
            self.reported_loads[worker] = response.load
        self.note_contact(worker, member)

    def _forget_unlisted(self, listed: set[str]) -> None:
        """Forget the workers that are listed no more."""
        tables: tuple[dict[str, typing.Any], ...] = (self.reported_loads, self.last_contact_us, self.ejected)
        for table in tables:
            for worker in [worker for worker in table if worker not in listed]:
                del table[worker]
