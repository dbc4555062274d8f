"""A node's view of the fleet: its slice of the configuration, the roster, the workers.

The node keeps one session with a core machine. It follows the numbered feed from its
place on; what it has never goes back.
"""

from __future__ import annotations

import builtins
import collections.abc
import types
import typing

import loguru
import twisted.internet.defer as defer

import iriswheel.configuration as configuration
import iriswheel.core_session as core_session
import iriswheel.machine as machine
import iriswheel.message as message
import iriswheel.wire as wire

if typing.TYPE_CHECKING:
    import iriswheel.node as node_module
    import iriswheel.options as options_module


FROZEN_US = 1 * machine.SECOND
REJOIN_US = 1 * machine.SECOND  # how long a thawed node waits for its session
STALE_US = 2_500 * machine.MILLI  # worker news older than this is not relied on
GO_US = 700 * machine.MILLI
GOES_US = 1_200 * machine.MILLI  # a peer's word counts this long; it is asked for twice a second
ASK_US = 500 * machine.MILLI  # between questions to the platform
ORPHAN_US = 1_500 * machine.MILLI  # without news for this long, a node asks for itself
FEW = 3  # peers that a node asks that serves on without the core
SPAN_US = 4 * machine.SECOND
POLL_US = 1 * machine.SECOND
PAGES = 200  # of the platform's list

log = loguru.logger.bind(part="follow")


def above(path: str, longest: int) -> collections.abc.Iterator[str | None]:
    """The paths of routes that would cover a path, the longest first.

    >>> list(above("/v1/chat", 99)), list(above("/v1/chat", 4))
    (['/v1/chat', '/v1/', '/v1', '/'], ['/v1/', '/v1', '/'])
    """
    if len(path) <= longest:
        yield path
    k = min(len(path) - 1, longest)
    while (k := path.rfind("/", 0, k + 1)) >= 0:
        if k + 1 < len(path) and k + 1 <= longest:
            yield path[: k + 1]
        if k:
            yield path[:k]
        k -= 1


class Follower:
    """Keeps the node's session with the core, and what came through it.

    Example: `fol = Follower(node, options)`; `mach.spawn(fol.session.run())`.
    """

    def __init__(self, node: node_module.Node | types.SimpleNamespace, options: options_module.Options) -> None:
        self.node = node
        self.mach = node.mach
        self.options = options
        self.session = core_session.CoreSession(self, options.seed_list())
        self.place = 0
        self.items: dict[str, dict[str, typing.Any]] | None = None  # the slice, as it came
        self.early: tuple[int, int] | None = None  # how far the disk's state reached that this node goes by for now
        self.list_now = machine.Signal()
        self.routes: dict[str, configuration.Route] = {}
        self.pools: dict[str, configuration.Pool] = {}
        self.terms: dict[str, configuration.Terms] = {}
        self.limits = configuration.Limits()
        self.index: dict[tuple[str, str], builtins.list[str]] = {}  # (host, path) -> names of the routes there
        self.longest = 0  # the longest path of a route
        self.roster = message.Roster((0, 0), [], [], [], [])
        self.workers: builtins.list[message.Worker] = []
        self.states: dict[str, message.Worker] = {}  # worker -> message.Worker
        self.drains: dict[str, int] = {}  # worker that is not ready -> when its streams must have ended
        self.listed = (0, 0, 0)
        self.of = (0, 0, 0)  # under which stamp the list that is known here was told
        self.told_on: wire.Connection | None = None  # the session on which the core was told it whole
        self.told: message.Listing | None = None  # message.Listing, where this node asks the platform
        self.missed: dict[str, int] = {}  # worker -> how many answers of the platform in a row did not list it
        self.news_at: int | None = None  # when worker news last came
        self.ticked = self.mach.now()
        self.thawed: int | None = None
        self.goes: dict[str, tuple[int, message.Goes]] = {}  # peer -> (when, Goes) while cut off from the core

    # ---- what the node knows ------------------------------------------------------

    def duty(self, key: str) -> message.Duty | None:
        """A duty from the roster, or None.

        Example: `fol.duty("pool/desk").holder`
        """
        return next((d for d in self.roster.duties if d.key == key), None)

    def member(self, ident: str) -> message.Member:
        """A member from the roster, or None.

        Example: `fol.member(duty.holder).port`
        """
        return next((m for m in self.roster.members if m.id == ident), None)

    def pool(self, name: str) -> configuration.Pool:
        """A pool of the slice, or None.

        Example: `fol.pool("desk").cap`
        """
        return self.pools.get(name)

    def by_warden(self, name: str) -> bool:
        """Whether a pool's workers are elected by its warden.

        Example: `fol.by_warden("desk")`
        """
        return name in self.pools and self.pools[name].election == "warden"

    def state(self, worker: str) -> str:
        """A worker's state: "ready", "leaving" or "gone".

        Example: `fol.state("w1")`
        """
        w = self.states.get(worker)
        return w.state if w is not None else "gone"

    def drained(self, worker: str) -> bool:
        """Whether a worker that leaves or is gone has had its time for streams under way.

        Example: `fol.drained("w1")`
        """
        return self.mach.now() > self.drains.get(worker, self.mach.now())

    def core_zones(self) -> dict[tuple[str, int], str]:
        """The core machines of the roster: address -> zone.

        Example: `fol.core_zones()[("127.0.0.1", 7001)]`
        """
        return {(core.host, core.port): core.zone for core in self.roster.cores}

    def applied(self) -> int:
        """The version of the configuration that this node has applied; -1 before its first.

        Example: `fol.applied()`
        """
        return -1 if self.items is None or self.early else self.place

    def settled(self) -> bool:
        """Whether this node may rely on what it knows: it was not frozen, or has rejoined.

        Example: `if not fol.settled(): refuse()`
        """
        self.look_for_freeze()
        return self.thawed is None

    def look_for_freeze(self) -> None:
        """Notice that this process did not run for a while.

        Example: `fol.look_for_freeze()`
        """
        now = self.mach.now()
        if now - self.ticked > FROZEN_US:
            log.warning("Frozen for {} ms; rejoining.", (now - self.ticked) // 1000)
            self.thawed = now
            self.goes = {}
            self.session.reset()
        self.ticked = now

    def stale(self) -> bool:
        """Whether a change may be in force elsewhere that this node has not heard of.

        While its lease runs, no change is acknowledged that this node has not applied. Without
        a lease a node goes on only where cut_off() does not speak against it. A node that
        serves on in any case (option `serve_on`) stops only where a peer that has its session
        with the core shows that it missed a change.

        Example: `if fol.stale(): refuse()`
        """
        if self.session.lease.valid(self.mach.now()):
            return False
        return self.behind() if self.options.serve_on else self.cut_off()

    def behind(self) -> bool:
        """Whether a peer that is in touch with the core has a newer configuration than this node.

        Example: `fol.behind()`
        """
        now = self.mach.now()
        return any(now - at < GOES_US and goes.core and goes.place > self.place for at, goes in self.goes.values())

    def worker_news(self) -> bool:
        """Whether the news of workers is fresh enough to send by.

        Example: `fol.worker_news()`
        """
        if self.options.serve_on:
            return self.news_at is not None
        return self.news_at is not None and self.mach.now() - self.news_at < STALE_US

    def cut_off(self) -> bool:
        """Whether this node has lost the core while some member may still have it.

        Without the core, a node goes on only if every member says that it has lost the core
        too, or its machine says that nobody listens there any more. One that can't be
        reached may be with a core that takes changes; one whose configuration is ahead shows that
        this node missed a change.

        A node that is told to serve on (option `serve_on`) never counts itself as cut off.

        Example: `fol.cut_off()`
        """
        if self.session.stands() or self.options.serve_on:
            return False
        now = self.mach.now()
        without = {i for i, (at, g) in self.goes.items() if now - at < GOES_US and not g.core and g.place <= self.place}
        return any(m.id != self.node.me.id and m.id not in without for m in self.roster.members)

    # ---- taking news -----------------------------------------------------------------

    def take_items(self, n: int, items: dict[str, dict[str, typing.Any] | None], whole: bool) -> None:
        """Take a frame or a change; an older one than what is here is dropped.

        Example: `fol.take_items(17, {"pools/desk": {}}, whole=False)`
        """
        if n < self.place or ((self.items is None or self.early) and not whole):
            return
        self.early = None
        had = self.items or {}
        changes = configuration.differ(had, items) if whole else items.items()
        parsed = [
            (*key.split("/", 1), None if val is None else configuration.KINDS[key.split("/", 1)[0]].from_dict(val))
            for key, val in changes
            if key.split("/", 1)[0] in configuration.KINDS
        ]
        self.items = dict(items) if whole else {k: v for k, v in {**had, **items}.items() if v is not None}
        self.place = n
        if not had:
            self.list_now.wake()
        for kind, name, item in parsed:
            match kind:
                case "routes":
                    self.put_route(name, item)
                case "pools" | "terms":
                    kept = self.pools if kind == "pools" else self.terms
                    if item is None:
                        kept.pop(name, None)
                    else:
                        kept[name] = item
                case "limits":
                    self.limits = item or configuration.Limits()
        self.node.on_news()

    def put_route(self, name: str, route: configuration.Route | None) -> None:
        """Put a route into the index, or take it out with None.

        Example: `fol.put_route("clerk", configuration.Route("/v1", "desk"))`
        """
        old = self.routes.pop(name, None)
        if old is not None:
            key = (old.host.lower(), old.path)
            self.index[key].remove(name)
            if not self.index[key]:
                del self.index[key]
        if route is not None:
            self.routes[name] = route
            self.index.setdefault((route.host.lower(), route.path), []).append(name)
            self.longest = max(self.longest, len(route.path))

    def find(self, host: str, path: str) -> configuration.Route | None:
        """The route for a host and a path, or None: the longest path that covers it.

        A route for that host goes before those for any, one for some zones before one for all.

        Example: `fol.find("desk.example", "/v1/complete").pool`
        """
        host = host.lower()
        for h in dict.fromkeys((host, host.partition(":")[0], "")):
            for p in above(path, self.longest):
                names = self.index.get((h, p))
                if names:
                    return max((self.routes[i] for i in names), key=lambda r: bool(r.zones))
        return None

    def take_early(self, m: message.Early) -> None:
        """While this node knows nothing and no core serves: go by what a core's disk holds.

        After a loss of everything the core takes some seconds to agree; what it acknowledged
        stands on its disks all the time. The first frame of a serving core takes its place.

        Example: `fol.take_early(message.Early((3, 17), items))`
        """
        if self.items is not None and not (self.early and self.early < m.at):
            return
        self.take_items(0, m.items, True)
        self.early = m.at
        log.info("Going by what a core's disk holds, up to {}.", m.at)

    def take_roster(self, r: message.Roster | None) -> None:
        """Take a roster, unless a newer one is here.

        Example: `fol.take_roster(roster)`
        """
        if r is None or r.stamp <= self.roster.stamp:
            return
        self.roster = r
        if r.listed > (0, 0, 0):
            self.take_listing(message.Listing(r.workers, r.listed))
        self.node.on_news()

    def take_listing(self, m: message.Listing) -> None:
        """Take a worker list, unless a newer one is here.

        Example: `fol.take_listing(listing)`
        """
        if m.stamp < self.listed:
            return
        self.listed = self.of = m.stamp
        self.take_workers(m.workers)

    def take_same(self, m: message.Same) -> bool:
        """The platform's list is as it was when it was last told whole; False where that is not known here.

        Example: `if not fol.take_same(message.Same((1, 2, 9), (1, 2, 3))): link.tell(message.Relist())`
        """
        if m.of != self.of:
            return self.of > m.of
        self.listed = max(self.listed, m.stamp)
        self.news_at = self.mach.now()
        return True

    def orphan(self) -> bool:
        """Whether this node has a configuration, but has had no news of workers for a while.

        Example: `fol.orphan()`
        """
        return self.items is not None and (self.news_at is None or self.mach.now() - self.news_at > ORPHAN_US)

    def take_heard(self, workers: builtins.list[message.Worker]) -> None:
        """Take a list that another node had to ask for itself, where this one lacks news too.

        Example: `fol.take_heard(heard.workers)`
        """
        if self.news_at is None or self.mach.now() - self.news_at > ORPHAN_US // 2:
            self.take_workers(workers)

    def take_workers(self, workers: builtins.list[message.Worker]) -> None:
        """Note the workers and their states as they are now.

        Example: `fol.take_workers(listing.workers)`
        """
        self.news_at = self.mach.now()
        if workers != self.workers:
            was, self.workers = self.states, workers
            self.states = {w.id: w for w in workers}
            for ident in sorted({*was, *self.states}):
                w = self.states.get(ident, was.get(ident))
                if self.state(ident) == "ready":
                    self.drains.pop(ident, None)
                else:
                    self.drains.setdefault(ident, self.mach.now() + w.drain_us)
            self.node.on_news()

    # ---- tasks -----------------------------------------------------------------------

    def take(self, msg: message.Message) -> None:
        """Take what a core machine sends on a session.

        Example: `fol.take(message.Change(17, {}))`
        """
        match msg:
            case message.Snapshot(n=n, items=items):
                self.take_items(n, items, True)
            case message.Early():
                self.take_early(msg)
            case message.Change(n=n, items=items):
                self.take_items(n, items, False)
            case message.News(roster=r):
                self.take_roster(r)
            case message.Loads():
                self.node.loads.take(msg)
            case message.Alive(same=same):
                if same is not None:
                    self.take_same(same)
        if self.thawed is not None and self.session.lease.valid(self.mach.now()):
            self.thawed = None
            self.node.on_news()

    def join(self) -> message.Join:
        """What this node says to begin a session.

        Example: `connection.tell(fol.join())`
        """
        roster = self.roster if self.roster.stamp > (0, 0) else None
        return message.Join(self.node.me, self.applied(), roster, self.mach.now())

    async def watch(self) -> None:
        """Tick, so that a freeze is noticed; while cut off, ask the peers.

        Example: `mach.spawn(fol.watch())`
        """
        asked = 0
        while not self.node.left:
            await self.mach.sleep((400 if self.session.stands() else 200) * machine.MILLI)
            self.look_for_freeze()
            now = self.mach.now()
            if self.session.heard():
                self.goes = {}
                continue
            if now - asked > 500 * machine.MILLI:
                asked = now
                self.ask_neighbours()
            if self.thawed is not None and now - self.thawed > REJOIN_US and not self.cut_off():
                self.thawed = None  # the whole core is gone; peers are there
                self.node.on_news()

    def ask_neighbours(self) -> None:
        """Ask the peers whether the core stands with them.

        All of them, since one that may be with a core that takes changes must be heard; but a
        node that serves on in any case only wants to know where the core is, and asks a few.

        Example: `fol.ask_neighbours()`
        """
        others = [m for m in self.roster.members if m.id != self.node.me.id]
        if self.options.serve_on:
            others = self.mach.rng.sample(others, min(FEW, len(others)))
        for m in others:
            self.mach.spawn(self.ask_neighbour(m), log)

    async def ask_neighbour(self, m: message.Member) -> None:
        """Ask one peer whether the core stands with it.

        Example: `await fol.ask_neighbour(member)`
        """
        try:
            a = await self.mach.within(
                defer.ensureDeferred(self.node.peers.call(m.host, m.port, message.HowGoes(self.roster.stamp), GO_US)),
                GO_US,
            )
        except wire.ConnectionBrokenError as e:
            if not e.refused:
                return
            a = message.Goes(False, None)  # its process is dead
        except machine.DeadlineError:
            return
        self.goes[m.id] = (self.mach.now(), a)
        self.take_roster(a.roster)
        if a.at is not None:
            self.session.hint = a.at

    def believe(self, workers: builtins.list[message.Worker]) -> builtins.list[message.Worker]:
        """The platform's answer, less what it must say more than once to be believed.

        A worker that it lists no more counts as gone from the second answer in a row on, and
        a list of nobody from the fourth: one bad answer must not empty the fleet.

        Example: `workers = fol.believe(outer.workers(raw))`
        """
        names = {w.id for w in workers}
        missing = [w for w in self.workers if w.id not in names and w.state != "gone"]
        self.missed = {w.id: self.missed.get(w.id, 0) + 1 for w in missing}
        enough = 2 if workers else 4
        kept = [w for w in missing if self.missed[w.id] < enough]
        return sorted(workers + kept, key=lambda w: w.id)

    async def pages(self, host: str, port: int) -> builtins.list[message.Worker]:
        """The platform's whole list, page by page; raises ValueError and what fetch raises.

        Example: `workers = await fol.pages("127.0.0.1", 9000)`
        """
        out, token = [], ""
        for _ in range(PAGES):
            raw = await self.node.sender.fetch(host, port, self.node.outer.list_path(token), POLL_US)
            more, token = self.node.outer.page(raw)
            out += more
            if not token:
                return sorted(out, key=lambda w: w.id)
        raise ValueError("The platform's list has no end.")

    async def list(self) -> None:
        """Ask the platform for its workers, where that is this node's duty.

        A node that has had no news of workers for a while asks for itself as well. Many do so
        at once when the duty's holder is lost: each first waits a while by chance, as long as
        all members together need at half of the platform's rate, and the first one that has
        the list tells it to the others.

        Example: `mach.spawn(fol.list())`
        """
        count = failed = 0
        told = None  # the last list that the others were told whole
        host, port = self.options.platform_address()
        while not self.node.left:
            d = self.duty("list")
            mine = d is not None and d.holder == self.node.me.id and self.settled()
            if not mine and self.orphan() and self.roster.members:
                span = len(self.roster.members) * machine.SECOND / (self.options.call_rate / 2)
                await self.mach.pause(self.list_now, self.mach.rng.randrange(1 + int(min(span, SPAN_US))))
            if mine or self.orphan():
                try:
                    workers = self.believe(await self.pages(host, port))
                except defer.CancelledError:
                    raise
                except Exception as e:
                    log.warning("The platform gives no list: {}", e)
                    workers = self.workers
                    if not mine:
                        failed += 1
                        await self.mach.sleep(ASK_US // 4 + self.mach.rng.randrange(ASK_US << min(failed, 3)))
                        continue
                failed = 0
                if mine:
                    count += 1
                    msg = message.Listing(workers, (d.term[0], d.term[1], count))
                    if told is None or told.workers != workers or told.stamp[:2] != msg.stamp[:2]:
                        told = msg
                    same = message.Same(msg.stamp, told.stamp)
                    if told is msg:
                        self.take_listing(msg)
                    else:
                        self.take_same(same)
                    self.told = told
                    if told is msg or self.told_on is not self.session.connection:
                        self.told_on = self.session.connection
                        self.session.tell(told)
                    self.session.tell(same)
                    news = message.Spread(msg) if told is msg else same
                    by_core = told is not msg and self.session.stands()  # it tells the others that the list stands
                    for m in [] if by_core else self.roster.members:
                        if m.id != self.node.me.id:
                            self.mach.spawn(self.node.peers.tell(m.host, m.port, news), log)
                else:
                    self.take_workers(workers)
                    for m in self.roster.members:
                        if m.id != self.node.me.id:
                            self.mach.spawn(self.node.peers.tell(m.host, m.port, message.Heard(workers)), log)
            await self.mach.pause(self.list_now, self.options.list_us)
