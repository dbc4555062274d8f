"""Who reaches which worker: what a node hears of workers, and how a pool owner tells that one is dark.

A worker that answers anything to anybody is alive. One node's bad link makes no worker
dark: that takes the pool owner and a witness on another node, and neither may reach it.
"""

from __future__ import annotations

import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import iriswheel.transport.message as message

if typing.TYPE_CHECKING:
    import iriswheel.node.node as node
    import iriswheel.pools.pool_owner as pool_owner


PROBE_US = 500 * units.MILLISECOND_US
KNOCK_US = 300 * units.MILLISECOND_US  # for a bare connection
CHECK_US = 1 * units.SECOND_US
FRESH_US = 1 * units.SECOND_US  # heard this lately, a worker needs no check
MUTE_US = 2 * units.SECOND_US  # connects but says nothing for this long: dark, if it ever spoke
WALK_US = 2 * units.SECOND_US
AGAIN_US = 2 * units.SECOND_US  # a dark worker is checked again

log = loguru.logger.bind(part="reach")


class Reachability:
    """What one node hears of the workers itself."""

    def __init__(self, node: node.Node) -> None:
        self.node = node
        self.runtime = node.runtime
        self.last_contact: dict[str, int] = {}  # worker -> when it last said anything here
        self.lost: dict[typing.Any, typing.Any] = {}  # worker -> since when no connection to it can be had from here

    def hear(self, worker: str) -> None:
        """A worker said something."""
        self.last_contact[worker] = self.runtime.now()
        self.lost.pop(worker, None)

    def miss(self, worker: typing.Any) -> None:
        """No connection to a worker could be had; look for it until one can."""
        if worker not in self.lost:
            self.lost[worker] = self.runtime.now()
            self.runtime.spawn(self.seek(worker), log)
            for w in self.node.follower.workers:
                if w.id not in self.lost and w.state != "gone":
                    self.runtime.spawn(self.knock(w), log)  # the rest may be out of reach as well

    async def knock(self, w: message.Worker) -> None:
        """See whether a bare connection to a worker can be had."""
        if not await self.node.sender.knock(w.host, w.port, KNOCK_US):
            self.miss(w.id)

    async def walk(self) -> None:
        """Now and then, knock at the workers that were not heard here for a while."""
        while not self.node.left:
            await self.runtime.sleep(WALK_US)
            for w in self.node.follower.workers:
                if not self.node.follower.selected_by_owner(w.pool):
                    continue  # it is heard of from what is sent there
                if w.state == "ready" and w.id not in self.lost and w.id not in self.last_contact:
                    self.runtime.spawn(self.knock(w), log)

    async def seek(self, worker: typing.Any) -> None:
        """Try a lost worker again, until it is reached or listed no more."""
        while worker in self.lost and not self.node.left:
            await self.runtime.sleep(PROBE_US)
            w = self.node.follower.states.get(worker)
            if w is None:
                self.lost.pop(worker, None)
            else:
                await self.probe(w)

    def lately(self) -> list[str]:
        """The workers heard here in the last second."""
        now = self.runtime.now()
        for w in [w for w, at in self.last_contact.items() if now - at > FRESH_US]:
            del self.last_contact[w]
        return sorted(self.last_contact)

    async def probe(self, w: message.Worker) -> message.ProbeResponse:
        """Ask a worker for its load: it answers anything, takes the connection but is mute, or neither."""
        responses = await self.ask_witness(w)
        if responses.outcome == "none":
            self.miss(w.id)
        else:
            self.lost.pop(w.id, None)
        return responses

    async def ask_witness(self, w: message.Worker) -> message.ProbeResponse:
        """The question itself."""
        try:
            raw = await self.node.sender.fetch(w.host, w.port, self.node.outer.load_path, PROBE_US)
        except defer.CancelledError:
            raise
        except Exception as e:
            if getattr(e, "answered", False):
                return message.ProbeResponse("answer", None)
            got = await self.node.sender.knock(w.host, w.port, KNOCK_US)
            return message.ProbeResponse("mute" if got else "none", None)
        try:
            return message.ProbeResponse("answer", self.node.outer.load(raw))
        except ValueError:
            return message.ProbeResponse("answer", None)


class WorkerWatch:
    """A pool owner's watch over its pool's workers."""

    def __init__(self, owner: pool_owner.PoolOwner) -> None:
        self.owner = owner  # pool owner.Pool owner
        self.node = owner.node
        self.runtime = owner.runtime
        self.reports: dict[str, tuple[int, int]] = {}  # worker -> (running, queued), the newest that could be read
        self.last_contact: dict[str, dict[str, int]] = {}  # worker -> {member: when it last heard it}
        self.spoke: set[str] = set()  # workers that ever answered the question for their load
        self.dark: dict[typing.Any, typing.Any] = {}  # worker -> since when
        self.checks: dict[typing.Any, typing.Any] = {}  # worker -> machine.Signal, while a check is under way

    def hear(self, worker: str, member: str) -> None:
        """A member heard a worker just now."""
        self.last_contact.setdefault(worker, {})[member] = self.runtime.now()
        if self.dark.pop(worker, None) is not None:
            log.info("Worker {} is back.", worker)
            self.owner.freed.wake()

    def silent(self, worker: str) -> int:
        """How long nobody has heard a worker."""
        return self.runtime.now() - max(self.last_contact.get(worker, {}).values(), default=-units.SECOND_US * 3600)

    def suspect(self, worker: str) -> bool:
        """Whether a worker that used to answer was not heard lately: no place for new work."""
        return worker in self.spoke and self.silent(worker) > FRESH_US + PROBE_US // 2

    def via(self, worker: str, member: str) -> str:
        """A member other than this one that heard a worker lately, the latest first, or ""."""
        now = self.runtime.now()
        live = {m.id for m in self.node.follower.membership.members}
        by_age = sorted(
            (now - at, i) for i, at in self.last_contact.get(worker, {}).items() if i != member and i in live
        )
        return by_age[0][1] if by_age and by_age[0][0] < MUTE_US else ""

    def take(self, worker: str, member: str, responses: message.ProbeResponse) -> None:
        """Take what a member's probe found."""
        if responses is not None and responses.outcome == "answer":
            self.spoke.add(worker)
            if responses.load is not None:
                self.reports[worker] = responses.load
            self.hear(worker, member)

    async def run(self) -> None:
        """Every half second: ask all workers for their load, and check those that nobody hears."""
        while self.owner.live():
            ws = [w for w in self.node.follower.workers if w.pool == self.owner.pool and w.state != "gone"]
            await defer.DeferredList([defer.ensureDeferred(self.poll(w)) for w in ws], consumeErrors=True)
            names = {w.id for w in ws}
            for kept in (self.reports, self.last_contact, self.dark):
                for name in [n for n in kept if n not in names]:
                    del kept[name]
            self.owner.check_workers()
            await self.runtime.sleep(PROBE_US)

    async def poll(self, w: message.Worker) -> None:
        """Ask one worker; where it does not answer and nobody else hears it, check."""
        me = self.node.me.id
        self.take(w.id, me, await self.node.reach.probe(w))
        wait = AGAIN_US if w.id in self.dark else FRESH_US
        if self.silent(w.id) > FRESH_US and self.runtime.now() - self.dark.get(w.id, 0) > wait:
            await self.check(w)

    async def check(self, w: typing.Any) -> None:
        """Have this node and the copies' nodes probe a worker; decide whether it is dark."""
        if w.id in self.checks:
            await self.checks[w.id].wait()
            return
        done = self.checks[w.id] = scheduler.Signal()
        try:
            members = [
                m
                for m in self.node.follower.membership.members
                if m.id == self.node.me.id or m.id in self.owner.assignment.copies
            ]
            responses = await self.node.call_members(members, message.ProbeRequest(w), CHECK_US)
            for i, a in responses.items():
                self.take(w.id, i, a)
            answers = [a.outcome for i, a in responses.items() if a is not None]
            witnessed = any(a is not None and i != self.node.me.id for i, a in responses.items()) or len(members) < 2
            mute = "mute" in answers
            if "answer" in answers or not witnessed or mute and (w.id not in self.spoke or self.silent(w.id) < MUTE_US):
                return
            if w.id not in self.dark:
                log.warning("Worker {} is dark: {}.", w.id, "mute" if mute else "nobody reaches it")
            self.dark[w.id] = self.runtime.now()
            self.owner.check_workers()
            for m in self.node.follower.membership.members:
                self.node.tell_member(m.id, message.WorkerUnreachable(w.id))
        finally:
            del self.checks[w.id]
            done.wake()
