"""A pool owner's health checks of its workers, which eject workers that no node reaches.

A worker that answers any member in any way is alive. A worker is ejected only if neither the pool owner nor another
member (a witness) reaches it, so that one node's broken link ejects no worker.
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


WITNESS_TIMEOUT_US = 1 * units.SECOND_US  # time limit for the answers of the witnesses
# Silence after which a worker is ejected that answered before, and now only accepts connections.
UNRESPONSIVE_US = 2 * units.SECOND_US
RECHECK_INTERVAL_US = 2 * units.SECOND_US  # time between two checks of an ejected worker
NEVER_HEARD_SILENCE_US = 3600 * units.SECOND_US  # silence assumed for a worker that never answered

log = loguru.logger.bind(part="worker_watch")


class WorkerWatch:
    """Probes a pool's workers for the pool owner, and ejects the unreachable ones."""

    def __init__(self, owner: pool_owner.PoolOwner) -> None:
        self.owner = owner
        self.node = owner.node
        self.runtime = owner.runtime
        self.reported_loads: dict[str, tuple[int, int]] = {}  # worker -> requests (running, queued), as last reported
        self.last_contact_us: dict[str, dict[str, int]] = {}  # worker -> member -> last answer, in µs
        self.ever_answered: set[str] = set()  # workers that have answered at least one probe
        self.ejected: dict[str, int] = {}  # ejected worker -> when it was last found unreachable, in µs
        self.running_checks: dict[str, scheduler.Signal] = {}  # worker -> wakes at the end of the check under way

    def note_contact(self, worker: str, member: str) -> None:
        """Record that a worker has just answered a member, and readmit the worker if it was ejected."""
        self.last_contact_us.setdefault(worker, {})[member] = self.runtime.now()
        if self.ejected.pop(worker, None) is not None:
            log.info(
                "Worker {worker} is readmitted, since it has answered member {member}.", worker=worker, member=member
            )
            self.owner.slot_freed.wake()

    def silence_us(self, worker: str) -> int:
        """Return the time since a worker last answered any member, in µs."""
        return self.runtime.now() - max(self.last_contact_us.get(worker, {}).values(), default=-NEVER_HEARD_SILENCE_US)

    def is_suspect(self, worker: str) -> bool:
        """Whether a worker that has answered probes before is silent now; other workers are preferred to it."""
        return (
            worker in self.ever_answered
            and self.silence_us(worker) > health.RECENT_CONTACT_US + health.PROBE_INTERVAL_US // 2
        )

    def relay_for(self, worker: str, member: str) -> str:
        """Return a live member that can relay requests to a worker, or "" if none is known.

        Args:
            worker: The worker.
            member: The member that needs the relay, and is not itself returned.

        Returns:
            The other member that the worker answered last, if that was within UNRESPONSIVE_US.
        """
        now = self.runtime.now()
        live = {known.id for known in self.node.follower.membership.members}
        by_age = sorted(
            (now - at, other)
            for other, at in self.last_contact_us.get(worker, {}).items()
            if other != member and other in live
        )
        return by_age[0][1] if by_age and by_age[0][0] < UNRESPONSIVE_US else ""

    async def run(self) -> None:
        """Every `health.PROBE_INTERVAL_US`, probe all workers for their load, and check those that are silent."""
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
        """Have a worker probed by this node and the pool's replica nodes, and eject it if it is unreachable.

        A check of the same worker that is already under way is awaited instead.
        """
        if worker.id in self.running_checks:
            await self.running_checks[worker.id].wait()
            return
        done = self.running_checks[worker.id] = scheduler.Signal()
        try:
            members = self._probing_members()
            responses = await self._probe_from(members, worker)
            for member, response in responses.items():
                self._record_response(worker.id, member, response)
            if not self._proves_unreachable(worker.id, responses, alone=len(members) < 2):
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
        reason = "it accepts connections but does not answer" if connects else "no node can connect to it"
        if worker in self.last_contact_us:
            age_ms = self.silence_us(worker) // units.MILLISECOND_US
            log.warning(
                "Worker {worker} is ejected and gets no more requests: no response for {age_ms} ms, and {reason}.",
                worker=worker,
                age_ms=age_ms,
                reason=reason,
            )
        else:
            log.warning(
                "Worker {worker} is ejected and gets no requests: it has never responded, and {reason}.",
                worker=worker,
                reason=reason,
            )

    def _probing_members(self) -> list[message.Member]:
        """Return this node and the nodes that keep replicas of the pool's records."""
        own_id, copies = local_member.member_id(self.node), self.owner.assignment.copies
        return [
            member for member in self.node.follower.membership.members if member.id == own_id or member.id in copies
        ]

    async def _probe_from(
        self, members: list[message.Member], worker: message.Worker
    ) -> dict[str, message.ProbeResponse]:
        """Have members probe a worker, and return the results by member id, of those that answer in time."""
        responses = await self.node.call_members(members, message.ProbeRequest(worker), WITNESS_TIMEOUT_US)
        return {
            member: response for member, response in responses.items() if isinstance(response, message.ProbeResponse)
        }

    def _proves_unreachable(self, worker: str, responses: dict[str, message.ProbeResponse], alone: bool) -> bool:
        """Whether probe results prove that a worker is unreachable.

        No probe may have been answered, and a member other than this node must have probed as well. A worker that
        accepts connections counts as unreachable only if it answered before and has been silent for UNRESPONSIVE_US.

        Args:
            worker: The worker.
            responses: The results of this node's probe and of the witnesses' probes, by member id.
            alone: Whether no other member could act as a witness; this node's probe is then sufficient.
        """
        own_id, outcomes = local_member.member_id(self.node), {response.outcome for response in responses.values()}
        witnessed = alone or any(member != own_id for member in responses)
        if message.ProbeOutcome.ANSWERED in outcomes or not witnessed:
            return False
        return message.ProbeOutcome.UNRESPONSIVE not in outcomes or (
            worker in self.ever_answered and self.silence_us(worker) >= UNRESPONSIVE_US
        )

    async def _poll(self, worker: message.Worker) -> None:
        """Probe one worker from this node; start a check if it has answered no member recently."""
        response = await self.node.reachability.probe(worker)
        self._record_response(worker.id, local_member.member_id(self.node), response)
        wait_us = RECHECK_INTERVAL_US if worker.id in self.ejected else health.RECENT_CONTACT_US
        ejected_at = self.ejected.get(worker.id, 0)
        if self.silence_us(worker.id) > health.RECENT_CONTACT_US and self.runtime.now() - ejected_at > wait_us:
            await self.check(worker)

    def _record_response(self, worker: str, member: str, response: message.ProbeResponse) -> None:
        """Record the reported load and the contact of a member's probe, if the worker answered it."""
        if response.outcome != message.ProbeOutcome.ANSWERED:
            return
        self.ever_answered.add(worker)
        if response.load is not None:
            self.reported_loads[worker] = response.load
        self.note_contact(worker, member)

    def _forget_unlisted(self, listed: set[str]) -> None:
        """Remove the records of workers that are no longer in the worker list."""
        tables: tuple[dict[str, typing.Any], ...] = (self.reported_loads, self.last_contact_us, self.ejected)
        for table in tables:
            for worker in [worker for worker in table if worker not in listed]:
                del table[worker]
