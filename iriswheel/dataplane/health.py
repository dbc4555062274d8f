"""Reachability of workers: contact and lost connections of a node, and a pool owner's verdict of unreachable.

A worker that answers anything to anybody is alive. One node's bad link makes no worker
unreachable: that takes the pool owner and a witness on another node, and neither may reach it.
"""

from __future__ import annotations

import typing

import loguru
from twisted.internet import defer

from iriswheel.dataplane import local_member
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.node import node
    from iriswheel.pools import pool_owner


PROBE_US = 500 * units.MILLISECOND_US
CONNECT_US = 300 * units.MILLISECOND_US  # for a bare connection
CHECK_US = 1 * units.SECOND_US  # for the answers of the members that probe as well
RECENT_US = 1 * units.SECOND_US  # heard this lately, a worker needs no check
MUTE_US = 2 * units.SECOND_US  # connects but says nothing for this long: unreachable, if it ever spoke
WALK_US = 2 * units.SECOND_US
RECHECK_US = 2 * units.SECOND_US  # an unreachable worker is checked again
NEVER_HEARD_US = 3600 * units.SECOND_US  # the silence of a worker that nobody ever heard

# What a probe finds (`message.ProbeResponse.sort`).
ANSWERED, MUTE, NOT_REACHED = "answer", "mute", "none"

log = loguru.logger.bind(part="reach")


class Reachability:
    """One node's own contact with the workers: when each last answered, and to which it has no connection."""

    def __init__(self, node: node.Node) -> None:
        self.node = node
        self.runtime = node.runtime
        self.last_contact: dict[str, int] = {}  # worker -> when it last said anything here
        self.lost: dict[str, int] = {}  # worker -> since when no connection to it can be had from here

    def hear(self, worker: str) -> None:
        """Note that a worker said something."""
        self.last_contact[worker] = self.runtime.now()
        self.lost.pop(worker, None)

    def miss(self, worker: str) -> None:
        """Note that no connection to a worker could be had; it is tried again until one can."""
        if worker in self.lost:
            return
        self.lost[worker] = self.runtime.now()
        self.runtime.spawn(self._seek(worker), log)
        for other in self.node.follower.workers:
            if other.id not in self.lost and other.state != "gone":
                self.runtime.spawn(self._try_connect(other), log)  # a cut network may hide the other workers too

    async def walk(self) -> None:
        """Now and then, try to connect to the workers that were not heard here for a while."""
        while not self.node.stopped:
            await self.runtime.sleep(WALK_US)
            for worker in self.node.follower.workers:
                if not self.node.follower.selected_by_owner(worker.pool):
                    continue  # the node's own attempts show whether these are reachable
                if worker.state == "ready" and worker.id not in self.lost and worker.id not in self.last_contact:
                    self.runtime.spawn(self._try_connect(worker), log)

    def lately(self) -> list[str]:
        """Return the workers heard here in the last second; forgets the others."""
        now = self.runtime.now()
        for worker in [worker for worker, at in self.last_contact.items() if now - at > RECENT_US]:
            del self.last_contact[worker]
        return sorted(self.last_contact)

    async def probe(self, worker: message.Worker) -> message.ProbeResponse:
        """Ask a worker for its load: it answers anything, takes the connection but is mute, or neither."""
        response = await self._ask_load(worker)
        if response.outcome == NOT_REACHED:
            self.miss(worker.id)
        else:
            self.lost.pop(worker.id, None)
        return response

    async def _ask_load(self, worker: message.Worker) -> message.ProbeResponse:
        dispatcher, protocol = self.node.dispatcher, self.node.edge_protocol
        try:
            raw = await dispatcher.fetch(worker.host, worker.port, protocol.load_path, PROBE_US)
        except defer.CancelledError:
            raise
        except Exception as reason:  # whatever went wrong: what counts is whether anything answered
            if getattr(reason, "answered", False):
                return message.ProbeResponse(ANSWERED, None)
            connects = await dispatcher.can_connect(worker.host, worker.port, CONNECT_US)
            return message.ProbeResponse(MUTE if connects else NOT_REACHED, None)
        try:
            return message.ProbeResponse(ANSWERED, protocol.load(raw))
        except ValueError:  # an answer in another format is an answer
            return message.ProbeResponse(ANSWERED, None)

    async def _try_connect(self, worker: message.Worker) -> None:
        """Note a worker as lost if no bare connection to it can be had."""
        if not await self.node.dispatcher.can_connect(worker.host, worker.port, CONNECT_US):
            self.miss(worker.id)

    async def _seek(self, worker_id: str) -> None:
        """Try a lost worker again, until it is reached or listed no more."""
        while worker_id in self.lost and not self.node.stopped:
            await self.runtime.sleep(PROBE_US)
            worker = self.node.follower.states.get(worker_id)
            if worker is None:
                self.lost.pop(worker_id, None)
            else:
                await self.probe(worker)


class WorkerWatch:
    """A pool owner's watch over its pool's workers."""

    def __init__(self, owner: pool_owner.PoolOwner) -> None:
        self.owner = owner
        self.node = owner.node
        self.runtime = owner.runtime
        self.reports: dict[str, tuple[int, int]] = {}  # worker -> (running, queued), the newest that could be read
        self.last_contact: dict[str, dict[str, int]] = {}  # worker -> member -> when it last heard it
        self.spoke: set[str] = set()  # workers that ever answered the question for their load
        self.dark: dict[str, int] = {}  # unreachable worker -> when that was last found
        self.checks: dict[str, scheduler.Signal] = {}  # worker -> wakes when the check under way is done

    def hear(self, worker: str, member: str) -> None:
        """Note that a member heard a worker just now."""
        self.last_contact.setdefault(worker, {})[member] = self.runtime.now()
        if self.dark.pop(worker, None) is not None:
            log.info("Worker {} is back.", worker)
            self.owner.freed.wake()

    def silent(self, worker: str) -> int:
        """Return how long nobody has heard a worker, in microseconds."""
        return self.runtime.now() - max(self.last_contact.get(worker, {}).values(), default=-NEVER_HEARD_US)

    def suspect(self, worker: str) -> bool:
        """Whether a worker that used to answer was not heard lately: no place for new work."""
        return worker in self.spoke and self.silent(worker) > RECENT_US + PROBE_US // 2

    def via(self, worker: str, member: str) -> str:
        """Return a member other than this one that heard a worker lately, the latest first, or ""."""
        now = self.runtime.now()
        live = {known.id for known in self.node.follower.membership.members}
        by_age = sorted(
            (now - at, other)
            for other, at in self.last_contact.get(worker, {}).items()
            if other != member and other in live
        )
        return by_age[0][1] if by_age and by_age[0][0] < MUTE_US else ""

    async def run(self) -> None:
        """Every half second: ask all workers for their load, and check those that nobody hears."""
        while self.owner.live():
            workers = [
                worker
                for worker in self.node.follower.workers
                if worker.pool == self.owner.pool and worker.state != "gone"
            ]
            await defer.DeferredList(
                [defer.ensureDeferred(self._poll(worker)) for worker in workers], consumeErrors=True
            )
            self._forget_unlisted({worker.id for worker in workers})
            self.owner.check_workers()
            await self.runtime.sleep(PROBE_US)

    async def check(self, worker: message.Worker) -> None:
        """Probe a worker from this node and from the nodes that keep copies; decide whether it is unreachable."""
        if worker.id in self.checks:
            await self.checks[worker.id].wait()
            return
        done = self.checks[worker.id] = scheduler.Signal()
        try:
            witnesses = self._witnesses()
            responses = await self._ask(witnesses, worker)
            for member, response in responses.items():
                self._take(worker.id, member, response)
            if not self._proves_unreachable(worker.id, responses, alone=len(witnesses) < 2):
                return
            if worker.id not in self.dark:
                mute = any(response.outcome == MUTE for response in responses.values())
                log.warning("Worker {} is dark: {}.", worker.id, "mute" if mute else "nobody reaches it")
            self.dark[worker.id] = self.runtime.now()
            self.owner.check_workers()
            for known in self.node.follower.membership.members:
                self.node.tell_member(known.id, message.WorkerUnreachable(worker.id))
        finally:
            del self.checks[worker.id]
            done.wake()

    def _witnesses(self) -> list[message.Member]:
        """Return this node and those that hold copies of the pool's records."""
        me, copies = local_member.member_id(self.node), self.owner.assignment.copies
        return [member for member in self.node.follower.membership.members if member.id == me or member.id in copies]

    async def _ask(self, witnesses: list[message.Member], worker: message.Worker) -> dict[str, message.ProbeResponse]:
        """Return what the witnesses found, by member, as far as they answer."""
        responses = await self.node.call_members(witnesses, message.ProbeRequest(worker), CHECK_US)
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
        me, found = local_member.member_id(self.node), {response.outcome for response in responses.values()}
        witnessed = alone or any(member != me for member in responses)
        if ANSWERED in found or not witnessed:
            return False
        return MUTE not in found or (worker in self.spoke and self.silent(worker) >= MUTE_US)

    async def _poll(self, worker: message.Worker) -> None:
        """Ask one worker; where it does not answer and nobody else hears it, check."""
        response = await self.node.reachability.probe(worker)
        self._take(worker.id, local_member.member_id(self.node), response)
        wait_us = RECHECK_US if worker.id in self.dark else RECENT_US
        found_at = self.dark.get(worker.id, 0)
        if self.silent(worker.id) > RECENT_US and self.runtime.now() - found_at > wait_us:
            await self.check(worker)

    def _take(self, worker: str, member: str, response: message.ProbeResponse) -> None:
        """Take what a member's probe found."""
        if response.outcome != ANSWERED:
            return
        self.spoke.add(worker)
        if response.load is not None:
            self.reports[worker] = response.load
        self.hear(worker, member)

    def _forget_unlisted(self, listed: set[str]) -> None:
        """Forget the workers that are listed no more."""
        tables: tuple[dict[str, typing.Any], ...] = (self.reports, self.last_contact, self.dark)
        for table in tables:
            for worker in [worker for worker in table if worker not in listed]:
                del table[worker]
