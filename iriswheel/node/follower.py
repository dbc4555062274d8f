"""A node's view of the fleet: its slice of the configuration, the membership, the workers.

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

import iriswheel.configuration.configuration as configuration
import iriswheel.node.core_session as core_session
import iriswheel.runtime.scheduler as scheduler
import iriswheel.runtime.units as units
import iriswheel.transport.message as message
import iriswheel.transport.wire as wire

if typing.TYPE_CHECKING:
    import iriswheel.node.node as node
    import iriswheel.runtime.options as options


FROZEN_US = 1 * units.SECOND_US
REJOIN_US = 1 * units.SECOND_US  # how long a thawed node waits for its session
STALE_US = 2_500 * units.MILLISECOND_US  # worker news older than this is not relied on
GO_US = 700 * units.MILLISECOND_US
GOES_US = 1_200 * units.MILLISECOND_US  # a peer's word counts this long; it is asked for twice a second
QUERY_US = 500 * units.MILLISECOND_US  # between questions to the platform
ORPHAN_US = 1_500 * units.MILLISECOND_US  # without news for this long, a node asks for itself
FEW = 3  # peers that a node asks that serves on without the core
SPAN_US = 4 * units.SECOND_US
POLL_US = 1 * units.SECOND_US
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
    """Keeps the node's session with the core, and what came through it."""

    def __init__(self, node: node.Node | types.SimpleNamespace, options: options.Options) -> None:
        self.node = node
        self.runtime = node.runtime
        self.options = options
        self.session = core_session.CoreSession(self, options.seed_list())
        self.applied_index = 0
        self.items: dict[str, dict[str, typing.Any]] | None = None  # the slice, as it came
        self.early: tuple[int, int] | None = None  # how far the disk's state reached that this node goes by for now
        self.list_now = scheduler.Signal()
        self.routes: dict[str, configuration.Route] = {}
        self.pools: dict[str, configuration.Pool] = {}
        self.terms: dict[str, configuration.Terms] = {}
        self.limits = configuration.Limits()
        self.index: dict[tuple[str, str], builtins.list[str]] = {}  # (host, path) -> names of the routes there
        self.longest = 0  # the longest path of a route
        self.membership = message.Membership((0, 0), [], [], [], [])
        self.workers: builtins.list[message.Worker] = []
        self.states: dict[str, message.Worker] = {}  # worker -> message.Worker
        self.drains: dict[str, int] = {}  # worker that is not ready -> when its streams must have ended
        self.listed = (0, 0, 0)
        self.of = (0, 0, 0)  # under which version the list that is known here was told
        self.listing_sent_on: wire.Connection | None = None  # the session on which the core was told it whole
        self.full_listing: message.WorkerListing | None = None  # message.Listing, where this node asks the platform
        self.missed: dict[str, int] = {}  # worker -> how many answers of the platform in a row did not list it
        self.updated_at: int | None = None  # when worker news last came
        self.ticked = self.runtime.now()
        self.thawed: int | None = None
        self.goes: dict[
            str, tuple[int, message.CoreStatusResponse]
        ] = {}  # peer -> (when, Goes) while cut off from the core

    # ---- what the node knows ------------------------------------------------------

    def assignment(self, key: str) -> message.RoleAssignment | None:
        """A role from the membership, or None."""
        return next((d for d in self.membership.assignments if d.key == key), None)

    def member(self, identifier: str) -> message.Member | None:
        """A member from the membership, or None."""
        return next((m for m in self.membership.members if m.id == identifier), None)

    def pool(self, name: str) -> configuration.Pool | None:
        """A pool of the slice, or None."""
        return self.pools.get(name)

    def selected_by_owner(self, name: str) -> bool:
        """Whether a pool's workers are elected by its pool owner."""
        return name in self.pools and self.pools[name].election == "warden"

    def state(self, worker: str) -> str:
        """A worker's state: "ready", "leaving" or "gone"."""
        w = self.states.get(worker)
        return w.state if w is not None else "gone"

    def drained(self, worker: str) -> bool:
        """Whether a worker that leaves or is gone has had its time for streams under way."""
        return self.runtime.now() > self.drains.get(worker, self.runtime.now())

    def core_zones(self) -> dict[tuple[str, int], str]:
        """The core machines of the membership: address -> zone."""
        return {(core.host, core.port): core.zone for core in self.membership.cores}

    def applied(self) -> int:
        """The version of the configuration that this node has applied; -1 before its first."""
        return -1 if self.items is None or self.early else self.applied_index

    def settled(self) -> bool:
        """Whether this node may rely on what it knows: it was not frozen, or has rejoined."""
        self.look_for_freeze()
        return self.thawed is None

    def look_for_freeze(self) -> None:
        """Notice that this process did not run for a while."""
        now = self.runtime.now()
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
        """
        if self.session.lease.valid(self.runtime.now()):
            return False
        return self.behind() if self.options.serve_on else self.cut_off()

    def behind(self) -> bool:
        """Whether a peer that is in touch with the core has a newer configuration than this node."""
        now = self.runtime.now()
        return any(
            now - at < GOES_US and goes.core and goes.applied_index > self.applied_index
            for at, goes in self.goes.values()
        )

    def has_worker_update(self) -> bool:
        """Whether the news of workers is fresh enough to send by."""
        if self.options.serve_on:
            return self.updated_at is not None
        return self.updated_at is not None and self.runtime.now() - self.updated_at < STALE_US

    def cut_off(self) -> bool:
        """Whether this node has lost the core while some member may still have it.

        Without the core, a node goes on only if every member says that it has lost the core
        too, or its machine says that nobody listens there any more. One that can't be
        reached may be with a core that takes changes; one whose configuration is ahead shows that
        this node missed a change.

        A node that is told to serve on (option `serve_on`) never counts itself as cut off.
        """
        if self.session.stands() or self.options.serve_on:
            return False
        now = self.runtime.now()
        without = {
            i
            for i, (at, g) in self.goes.items()
            if now - at < GOES_US and not g.core and g.applied_index <= self.applied_index
        }
        return any(m.id != self.node.me.id and m.id not in without for m in self.membership.members)

    # ---- taking news -----------------------------------------------------------------

    def apply_items(self, n: int, items: dict[str, dict[str, typing.Any] | None], whole: bool) -> None:
        """Take a frame or a change; an older one than what is here is dropped."""
        if n < self.applied_index or ((self.items is None or self.early) and not whole):
            return
        self.early = None
        had = self.items or {}
        changes = configuration.difference(had, items) if whole else items.items()
        parsed = [
            (*key.split("/", 1), None if value is None else configuration.KINDS[key.split("/", 1)[0]].from_dict(value))
            for key, value in changes
            if key.split("/", 1)[0] in configuration.KINDS
        ]
        self.items = dict(items) if whole else {k: v for k, v in {**had, **items}.items() if v is not None}
        self.applied_index = n
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
        self.node.on_update()

    def put_route(self, name: str, route: configuration.Route | None) -> None:
        """Put a route into the index, or take it out with None."""
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
        """
        host = host.lower()
        for h in dict.fromkeys((host, host.partition(":")[0], "")):
            for p in above(path, self.longest):
                names = self.index.get((h, p))
                if names:
                    return max((self.routes[i] for i in names), key=lambda r: bool(r.zones))
        return None

    def apply_unconfirmed(self, m: message.UnconfirmedConfiguration) -> None:
        """While this node knows nothing and no core serves: go by what a core's disk holds.

        After a loss of everything the core takes some seconds to agree; what it acknowledged
        stands on its disks all the time. The first frame of a serving core takes its place.
        """
        if self.items is not None and not (self.early and self.early < m.at):
            return
        self.apply_items(0, m.items, True)
        self.early = m.at
        log.info("Going by what a core's disk holds, up to {}.", m.at)

    def apply_membership(self, r: message.Membership | None) -> None:
        """Take a membership, unless a newer one is here."""
        if r is None or r.version <= self.membership.version:
            return
        self.membership = r
        if r.listed > (0, 0, 0):
            self.apply_listing(message.WorkerListing(r.workers, r.listed))
        self.node.on_update()

    def apply_listing(self, m: message.WorkerListing) -> None:
        """Take a worker list, unless a newer one is here."""
        if m.version < self.listed:
            return
        self.listed = self.of = m.version
        self.apply_workers(m.workers)

    def apply_listing_unchanged(self, m: message.ListingUnchanged) -> bool:
        """The platform's list is as it was when it was last told whole; False where that is not known here."""
        if m.of != self.of:
            return self.of > m.of
        self.listed = max(self.listed, m.version)
        self.updated_at = self.runtime.now()
        return True

    def orphan(self) -> bool:
        """Whether this node has a configuration, but has had no news of workers for a while."""
        return self.items is not None and (self.updated_at is None or self.runtime.now() - self.updated_at > ORPHAN_US)

    def apply_polled_workers(self, workers: builtins.list[message.Worker]) -> None:
        """Take a list that another node had to ask for itself, where this one lacks news too."""
        if self.updated_at is None or self.runtime.now() - self.updated_at > ORPHAN_US // 2:
            self.apply_workers(workers)

    def apply_workers(self, workers: builtins.list[message.Worker]) -> None:
        """Note the workers and their states as they are now."""
        self.updated_at = self.runtime.now()
        if workers != self.workers:
            was, self.workers = self.states, workers
            self.states = {w.id: w for w in workers}
            for identifier in sorted({*was, *self.states}):
                w = self.states.get(identifier, was.get(identifier))
                if self.state(identifier) == "ready":
                    self.drains.pop(identifier, None)
                else:
                    self.drains.setdefault(identifier, self.runtime.now() + w.drain_us)
            self.node.on_update()

    # ---- tasks -----------------------------------------------------------------------

    def take(self, msg: message.Message) -> None:
        """Take what a core machine sends on a session."""
        match msg:
            case message.ConfigurationSnapshot(index=n, items=items):
                self.apply_items(n, items, True)
            case message.UnconfirmedConfiguration():
                self.apply_unconfirmed(msg)
            case message.ConfigurationUpdate(index=n, items=items):
                self.apply_items(n, items, False)
            case message.MembershipUpdate(membership=r):
                self.apply_membership(r)
            case message.LoadReport():
                self.node.loads.take(msg)
            case message.SessionHeartbeat(listing_unchanged=unchanged):
                if unchanged is not None:
                    self.apply_listing_unchanged(unchanged)
        if self.thawed is not None and self.session.lease.valid(self.runtime.now()):
            self.thawed = None
            self.node.on_update()

    def join(self) -> message.JoinRequest:
        """What this node says to begin a session."""
        membership = self.membership if self.membership.version > (0, 0) else None
        return message.JoinRequest(self.node.me, self.applied(), membership, self.runtime.now())

    async def watch(self) -> None:
        """Tick, so that a freeze is noticed; while cut off, ask the peers."""
        asked = 0
        while not self.node.left:
            await self.runtime.sleep((400 if self.session.stands() else 200) * units.MILLISECOND_US)
            self.look_for_freeze()
            now = self.runtime.now()
            if self.session.has_recent_contact():
                self.goes = {}
                continue
            if now - asked > 500 * units.MILLISECOND_US:
                asked = now
                self.query_peers()
            if self.thawed is not None and now - self.thawed > REJOIN_US and not self.cut_off():
                self.thawed = None  # the whole core is gone; peers are there
                self.node.on_update()

    def query_peers(self) -> None:
        """Ask the peers whether the core stands with them.

        All of them, since one that may be with a core that takes changes must be heard; but a
        node that serves on in any case only wants to know where the core is, and asks a few.
        """
        others = [m for m in self.membership.members if m.id != self.node.me.id]
        if self.options.serve_on:
            others = self.runtime.rng.sample(others, min(FEW, len(others)))
        for m in others:
            self.runtime.spawn(self.query_peer(m), log)

    async def query_peer(self, m: message.Member) -> None:
        """Ask one peer whether the core stands with it."""
        try:
            a = await self.runtime.within(
                defer.ensureDeferred(
                    self.node.peers.call(m.host, m.port, message.CoreStatusQuery(self.membership.version), GO_US)
                ),
                GO_US,
            )
        except wire.ConnectionBrokenError as e:
            if not e.refused:
                return
            a = message.CoreStatusResponse(False, None)  # its process is dead
        except scheduler.DeadlineError:
            return
        self.goes[m.id] = (self.runtime.now(), a)
        self.apply_membership(a.membership)
        if a.at is not None:
            self.session.hint = a.at

    def believe(self, workers: builtins.list[message.Worker]) -> builtins.list[message.Worker]:
        """The platform's answer, less what it must say more than once to be believed.

        A worker that it lists no more counts as gone from the second answer in a row on, and
        a list of nobody from the fourth: one bad answer must not empty the fleet.
        """
        names = {w.id for w in workers}
        missing = [w for w in self.workers if w.id not in names and w.state != "gone"]
        self.missed = {w.id: self.missed.get(w.id, 0) + 1 for w in missing}
        enough = 2 if workers else 4
        kept = [w for w in missing if self.missed[w.id] < enough]
        return sorted(workers + kept, key=lambda w: w.id)

    async def pages(self, host: str, port: int) -> builtins.list[message.Worker]:
        """The platform's whole list, page by page; raises ValueError and what fetch raises."""
        out, token = [], ""
        for _ in range(PAGES):
            raw = await self.node.sender.fetch(host, port, self.node.outer.list_path(token), POLL_US)
            more, token = self.node.outer.page(raw)
            out += more
            if not token:
                return sorted(out, key=lambda w: w.id)
        raise ValueError("The platform's list has no end.")

    async def list(self) -> None:
        """Ask the platform for its workers, where that is this node's role.

        A node that has had no news of workers for a while asks for itself as well. Many do so
        at once when the role's holder is lost: each first waits a while by chance, as long as
        all members together need at half of the platform's rate, and the first one that has
        the list tells it to the others.
        """
        count = failed = 0
        full_listing = None  # the last list that the others were told whole
        host, port = self.options.platform_address()
        while not self.node.left:
            d = self.assignment("list")
            mine = d is not None and d.holder == self.node.me.id and self.settled()
            if not mine and self.orphan() and self.membership.members:
                span = len(self.membership.members) * units.SECOND_US / (self.options.call_rate / 2)
                await self.runtime.pause(self.list_now, self.runtime.rng.randrange(1 + int(min(span, SPAN_US))))
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
                        await self.runtime.sleep(QUERY_US // 4 + self.runtime.rng.randrange(QUERY_US << min(failed, 3)))
                        continue
                failed = 0
                if mine:
                    count += 1
                    msg = message.WorkerListing(workers, (d.term[0], d.term[1], count))
                    if (
                        full_listing is None
                        or full_listing.workers != workers
                        or full_listing.version[:2] != msg.version[:2]
                    ):
                        full_listing = msg
                    unchanged = message.ListingUnchanged(msg.version, full_listing.version)
                    if full_listing is msg:
                        self.apply_listing(msg)
                    else:
                        self.apply_listing_unchanged(unchanged)
                    self.full_listing = full_listing
                    if full_listing is msg or self.listing_sent_on is not self.session.connection:
                        self.listing_sent_on = self.session.connection
                        self.session.tell(full_listing)
                    self.session.tell(unchanged)
                    update = message.ForwardedListing(msg) if full_listing is msg else unchanged
                    by_core = (
                        full_listing is not msg and self.session.stands()
                    )  # it tells the others that the list stands
                    for m in [] if by_core else self.membership.members:
                        if m.id != self.node.me.id:
                            self.runtime.spawn(self.node.peers.tell(m.host, m.port, update), log)
                else:
                    self.apply_workers(workers)
                    for m in self.membership.members:
                        if m.id != self.node.me.id:
                            self.runtime.spawn(
                                self.node.peers.tell(m.host, m.port, message.PolledWorkers(workers)), log
                            )
            await self.runtime.pause(self.list_now, self.options.list_us)
