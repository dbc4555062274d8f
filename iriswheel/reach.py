"""Who reaches which worker: what a node hears of workers, and how a warden tells that one is dark.

A worker that answers anything to anybody is alive. One node's bad link makes no worker
dark: that takes the warden and a witness on another node, and neither may reach it.
"""

from __future__ import annotations

import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.machine as machine
import iriswheel.message as message

if typing.TYPE_CHECKING:
    import iriswheel.node as node_module
    import iriswheel.warden as warden


PROBE_US = 500 * machine.MILLI
KNOCK_US = 300 * machine.MILLI  # for a bare connection
CHECK_US = 1 * machine.SECOND
FRESH_US = 1 * machine.SECOND  # heard this lately, a worker needs no check
MUTE_US = 2 * machine.SECOND  # connects but says nothing for this long: dark, if it ever spoke
WALK_US = 2 * machine.SECOND
AGAIN_US = 2 * machine.SECOND  # a dark worker is checked again

log = loguru.logger.bind(part="reach")


class Reach:
    """What one node hears of the workers itself.

    Example: `reach = Reach(node)`; `reach.hear("w1")`; `reach.lost`.
    """

    def __init__(self, node: node_module.Node) -> None:
        self.node = node
        self.mach = node.mach
        self.heard: dict[str, int] = {}  # worker -> when it last said anything here
        self.lost: dict[typing.Any, typing.Any] = {}  # worker -> since when no connection to it can be had from here

    def hear(self, worker: str) -> None:
        """A worker said something.

        Example: `reach.hear("w1")`
        """
        self.heard[worker] = self.mach.now()
        self.lost.pop(worker, None)

    def miss(self, worker: typing.Any) -> None:
        """No connection to a worker could be had; look for it until one can.

        Example: `reach.miss("w1")`
        """
        if worker not in self.lost:
            self.lost[worker] = self.mach.now()
            self.mach.spawn(self.seek(worker), log)
            for w in self.node.follower.workers:
                if w.id not in self.lost and w.state != "gone":
                    self.mach.spawn(self.knock(w), log)  # the rest may be out of reach as well

    async def knock(self, w: message.Worker) -> None:
        """See whether a bare connection to a worker can be had.

        Example: `await reach.knock(worker)`
        """
        if not await self.node.sender.knock(w.host, w.port, KNOCK_US):
            self.miss(w.id)

    async def walk(self) -> None:
        """Now and then, knock at the workers that were not heard here for a while.

        Example: `mach.spawn(reach.walk())`
        """
        while not self.node.left:
            await self.mach.sleep(WALK_US)
            for w in self.node.follower.workers:
                if not self.node.follower.by_warden(w.pool):
                    continue  # it is heard of from what is sent there
                if w.state == "ready" and w.id not in self.lost and w.id not in self.heard:
                    self.mach.spawn(self.knock(w), log)

    async def seek(self, worker: typing.Any) -> None:
        """Try a lost worker again, until it is reached or listed no more.

        Example: `mach.spawn(reach.seek("w1"))`
        """
        while worker in self.lost and not self.node.left:
            await self.mach.sleep(PROBE_US)
            w = self.node.follower.states.get(worker)
            if w is None:
                self.lost.pop(worker, None)
            else:
                await self.probe(w)

    def lately(self) -> list[str]:
        """The workers heard here in the last second.

        Example: `reach.lately()`
        """
        now = self.mach.now()
        for w in [w for w, at in self.heard.items() if now - at > FRESH_US]:
            del self.heard[w]
        return sorted(self.heard)

    async def probe(self, w: message.Worker) -> message.Probed:
        """Ask a worker for its load: it answers anything, takes the connection but is mute, or neither.

        Example: `res = await reach.probe(worker)`
        """
        res = await self.ask(w)
        if res.sort == "none":
            self.miss(w.id)
        else:
            self.lost.pop(w.id, None)
        return res

    async def ask(self, w: message.Worker) -> message.Probed:
        """The question itself.

        Example: `res = await reach.ask(worker)`
        """
        try:
            raw = await self.node.sender.fetch(w.host, w.port, self.node.outer.load_path, PROBE_US)
        except defer.CancelledError:
            raise
        except Exception as e:
            if getattr(e, "answered", False):
                return message.Probed("answer", None)
            got = await self.node.sender.knock(w.host, w.port, KNOCK_US)
            return message.Probed("mute" if got else "none", None)
        try:
            return message.Probed("answer", self.node.outer.load(raw))
        except ValueError:
            return message.Probed("answer", None)


class Watch:
    """A warden's watch over its pool's workers.

    Example: `watch = Watch(warden)`; `mach.spawn(watch.run())`.
    """

    def __init__(self, owner: warden.Warden) -> None:
        self.owner = owner  # warden.Warden
        self.node = owner.node
        self.mach = owner.mach
        self.reports: dict[str, tuple[int, int]] = {}  # worker -> (running, queued), the newest that could be read
        self.heard: dict[str, dict[str, int]] = {}  # worker -> {member: when it last heard it}
        self.spoke: set[str] = set()  # workers that ever answered the question for their load
        self.dark: dict[typing.Any, typing.Any] = {}  # worker -> since when
        self.checks: dict[typing.Any, typing.Any] = {}  # worker -> machine.Signal, while a check is under way

    def hear(self, worker: str, member: str) -> None:
        """A member heard a worker just now.

        Example: `watch.hear("w1", "n1-c0ffee")`
        """
        self.heard.setdefault(worker, {})[member] = self.mach.now()
        if self.dark.pop(worker, None) is not None:
            log.info("Worker {} is back.", worker)
            self.owner.freed.wake()

    def silent(self, worker: str) -> int:
        """How long nobody has heard a worker.

        Example: `watch.silent("w1") < FRESH_US`
        """
        return self.mach.now() - max(self.heard.get(worker, {}).values(), default=-machine.SECOND * 3600)

    def suspect(self, worker: str) -> bool:
        """Whether a worker that used to answer was not heard lately: no place for new work.

        Example: `watch.suspect("w1")`
        """
        return worker in self.spoke and self.silent(worker) > FRESH_US + PROBE_US // 2

    def via(self, worker: str, member: str) -> str:
        """A member other than this one that heard a worker lately, the latest first, or "".

        Example: `watch.via("w1", "n1-c0ffee")`
        """
        now = self.mach.now()
        live = {m.id for m in self.node.follower.roster.members}
        by_age = sorted((now - at, i) for i, at in self.heard.get(worker, {}).items() if i != member and i in live)
        return by_age[0][1] if by_age and by_age[0][0] < MUTE_US else ""

    def take(self, worker: str, member: str, res: message.Probed) -> None:
        """Take what a member's probe found.

        Example: `watch.take("w1", "n1-c0ffee", message.Probed("answer", (3, 0)))`
        """
        if res is not None and res.sort == "answer":
            self.spoke.add(worker)
            if res.load is not None:
                self.reports[worker] = res.load
            self.hear(worker, member)

    async def run(self) -> None:
        """Every half second: ask all workers for their load, and check those that nobody hears.

        Example: `mach.spawn(watch.run())`
        """
        while self.owner.live():
            ws = [w for w in self.node.follower.workers if w.pool == self.owner.pool and w.state != "gone"]
            await defer.DeferredList([defer.ensureDeferred(self.poll(w)) for w in ws], consumeErrors=True)
            names = {w.id for w in ws}
            for kept in (self.reports, self.heard, self.dark):
                for name in [n for n in kept if n not in names]:
                    del kept[name]
            self.owner.check_workers()
            await self.mach.sleep(PROBE_US)

    async def poll(self, w: message.Worker) -> None:
        """Ask one worker; where it does not answer and nobody else hears it, check.

        Example: `await watch.poll(worker)`
        """
        me = self.node.me.id
        self.take(w.id, me, await self.node.reach.probe(w))
        wait = AGAIN_US if w.id in self.dark else FRESH_US
        if self.silent(w.id) > FRESH_US and self.mach.now() - self.dark.get(w.id, 0) > wait:
            await self.check(w)

    async def check(self, w: typing.Any) -> None:
        """Have this node and the copies' nodes probe a worker; decide whether it is dark.

        Example: `await watch.check(worker)`
        """
        if w.id in self.checks:
            await self.checks[w.id].wait()
            return
        done = self.checks[w.id] = machine.Signal()
        try:
            members = [
                m
                for m in self.node.follower.roster.members
                if m.id == self.node.me.id or m.id in self.owner.duty.copies
            ]
            res = await self.node.ask_members(members, message.Probe(w), CHECK_US)
            for i, a in res.items():
                self.take(w.id, i, a)
            said = [a.sort for i, a in res.items() if a is not None]
            witnessed = any(a is not None and i != self.node.me.id for i, a in res.items()) or len(members) < 2
            mute = "mute" in said
            if "answer" in said or not witnessed or mute and (w.id not in self.spoke or self.silent(w.id) < MUTE_US):
                return
            if w.id not in self.dark:
                log.warning("Worker {} is dark: {}.", w.id, "mute" if mute else "nobody reaches it")
            self.dark[w.id] = self.mach.now()
            self.owner.check_workers()
            for m in self.node.follower.roster.members:
                self.node.tell_member(m.id, message.Dark(w.id))
        finally:
            del self.checks[w.id]
            done.wake()
