"""What a node follows of the fleet: its slice of the configuration, the membership, the workers.

The node keeps one session with a core machine and applies its snapshots and updates in the
order of log indexes; an older one never replaces a newer one.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.configuration import configuration
from iriswheel.node import core_session, peer_status, platform_listing, route_index, tenant_index, worker_list
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.node import node
    from iriswheel.runtime import options


FREEZE_THRESHOLD_US = 1 * units.SECOND_US
"""A process that did not run for so long was frozen."""

REJOIN_TIMEOUT_US = 1 * units.SECOND_US
"""How long a thawed node waits for its session."""

WORKER_LIST_VALIDITY_US = 2_500 * units.MILLISECOND_US
"""A worker list confirmed longer ago than this is not relied on."""

WORKER_UPDATE_TIMEOUT_US = 1_500 * units.MILLISECOND_US
"""Without an update of the worker list for this long, a node asks the platform itself."""

PEER_QUERY_INTERVAL_US = 500 * units.MILLISECOND_US
TICK_US = 400 * units.MILLISECOND_US
TICK_WITHOUT_CORE_US = 200 * units.MILLISECOND_US

CLOCK_MARGIN_US = 250 * units.MILLISECOND_US
"""What clocks may differ in while a key is relied on without a lease, and a request's way to a worker."""

NO_CONFIGURATION = -1
"""The applied version of a node before its first configuration."""

log = loguru.logger.bind(part="follower")

ItemUpdate = collections.abc.Mapping[str, configuration.Item | None]
"""Items by key; None removes one."""

ItemsAndChanges = tuple[dict[str, configuration.Item], list[configuration.ItemChange]]
"""All items after an update, and what the update changed."""

ItemClass = typing.TypeVar("ItemClass")


class Follower:
    """A read replica of what the node needs: its slice of the configuration, the membership, the workers."""

    def __init__(self, node: node.Node, options: options.Options) -> None:
        self.node = node
        self.runtime = node.runtime
        self.options = options
        self.session = core_session.CoreSession(self, options.seed_list())
        self.applied_index = 0
        self.items: configuration.Items | None = None  # the slice, as it came
        # (view, log index) of the unconfirmed configuration that is in use; None once a core has confirmed one
        self.unconfirmed_position: tuple[int, int] | None = None
        self.route_index = route_index.RouteIndex()
        self.pools: dict[str, configuration.Pool] = {}
        self.terms: dict[str, configuration.Terms] = {}
        self.tenant_index = tenant_index.TenantIndex()
        self.limits = configuration.Limits()
        self.evacuated_zones: frozenset[str] = frozenset()
        self.membership = message.Membership((0, 0), [], [], [], [])
        self.worker_list = worker_list.WorkerList()
        self.platform = platform_listing.PlatformListing(self)
        self.peer_status = peer_status.PeerStatus(self)
        self.last_tick_at = self.runtime.now()
        self.rejoining_since: int | None = None  # since when this node must rejoin after a freeze, in µs

    # ---- what the node knows ------------------------------------------------------

    @property
    def routes(self) -> dict[str, configuration.Route]:
        """The routes of the slice, by name."""
        return self.route_index.routes

    @property
    def tenants(self) -> dict[str, configuration.Tenant]:
        """The tenants, by name."""
        return self.tenant_index.tenants

    def find_tenant(self, key_digest: str) -> tuple[str, configuration.Tenant] | None:
        """Return the name and the item of the tenant that has a key, or None."""
        return self.tenant_index.find(key_digest)

    @property
    def workers(self) -> list[message.Worker]:
        """The workers as they were last listed."""
        return self.worker_list.workers

    @property
    def workers_by_id(self) -> dict[str, message.Worker]:
        """The listed workers, by id."""
        return self.worker_list.workers_by_id

    @property
    def updated_at(self) -> int | None:
        """When the worker list was last sent or confirmed, in µs; None before the first."""
        return self.worker_list.updated_at

    def assignment(self, key: str) -> message.RoleAssignment | None:
        """Return a role's assignment from the membership, or None."""
        return next((assignment for assignment in self.membership.assignments if assignment.key == key), None)

    def member(self, identifier: str) -> message.Member | None:
        """Return a member from the membership, or None."""
        return next((member for member in self.membership.members if member.id == identifier), None)

    def peers(self) -> list[message.Member]:
        """Return all members but this node."""
        own = self.node.member_record
        return [member for member in self.membership.members if own is None or member.id != own.id]

    def pool(self, name: str) -> configuration.Pool | None:
        """Return a pool of the slice, or None."""
        return self.pools.get(name)

    def selected_by_owner(self, name: str) -> bool:
        """Whether a pool's workers are chosen by its owner."""
        return name in self.pools and self.pools[name].election == configuration.Election.POOL_OWNER

    def state(self, worker: str) -> str:
        """Return a worker's state, a `message.WorkerState`; one that is not listed is gone."""
        return self.worker_list.state(worker)

    def accepts_requests(self, worker: str) -> bool:
        """Whether new requests may go to a worker: it is listed as ready, and its zone is not evacuated."""
        listed = self.workers_by_id.get(worker)
        return (
            listed is not None and listed.state == message.WorkerState.READY and listed.zone not in self.evacuated_zones
        )

    def drain_deadline_passed(self, worker: str) -> bool:
        """Whether a worker that leaves or is gone has had its time for streams under way."""
        return self.worker_list.drain_deadline_passed(worker, self.runtime.now())

    def core_zones(self) -> dict[core_session.Address, str]:
        """Return the core machines of the membership: address -> zone."""
        return {(core.host, core.port): core.zone for core in self.membership.cores}

    def find_route(self, host: str, path: str) -> configuration.Route | None:
        """Return the route for a host and a path, or None."""
        return self.route_index.find(host, path)

    def applied(self) -> int:
        """Return the version of the configuration that this node has applied."""
        return NO_CONFIGURATION if self.items is None or self.unconfirmed_position else self.applied_index

    # ---- whether it may rely on that -----------------------------------------------

    def needs_rejoin(self) -> bool:
        """Whether this process did not run for a while and has not rejoined yet; what it knows may be out of date."""
        self.detect_freeze()
        return self.rejoining_since is not None

    def detect_freeze(self) -> None:
        """Begin to rejoin where this process did not run for FREEZE_THRESHOLD_US."""
        now = self.runtime.now()
        if now - self.last_tick_at > FREEZE_THRESHOLD_US:
            log.warning(
                "The process did not run for {pause_ms} ms; the node rejoins.",
                pause_ms=(now - self.last_tick_at) // units.MILLISECOND_US,
            )
            self.rejoining_since = now
            self.peer_status.clear()
            self.session.reset()
        self.last_tick_at = now

    def configuration_may_be_stale(self) -> bool:
        """Whether this node may have missed a change that is in force on other nodes.

        While its lease runs, no change is acknowledged that this node has not applied. Without
        a lease a node goes on only where is_partitioned() does not speak against it. A node that
        serves on in any case (option `serve_on`) stops only where a peer that has its session
        with the core shows that it missed a change.
        """
        if self.session.lease.is_valid(self.runtime.now()):
            return False
        return self.peer_has_newer_configuration() if self.options.serve_on else self.is_partitioned()

    def keys_may_be_revoked(self) -> bool:
        """Whether a key that this node knows may have been taken away longer ago than `revocation_us`.

        Up to the end of its newest lease this node has applied each change before it was acknowledged. So a
        change that it does not know was acknowledged later than that.
        """
        bound_us = self.options.revocation_us
        if not bound_us:
            return False
        known_until_us = self.session.lease.expires_at_us
        return not known_until_us or self.runtime.now() >= known_until_us + bound_us - CLOCK_MARGIN_US

    def may_be_replaced(self) -> bool:
        """Whether the core may have counted this node out while other nodes are in touch with it.

        Where nobody is in touch with the core, no role changes hands.
        """
        if self.needs_rejoin():
            return True
        return not self.session.lease.is_valid(self.runtime.now()) and self.peer_status.any_reaches_core()

    def peer_has_newer_configuration(self) -> bool:
        """Whether a peer that is in touch with the core has a newer configuration than this node."""
        return self.peer_status.any_has_newer_configuration(self.applied_index)

    def has_worker_update(self) -> bool:
        """Whether the worker list is recent enough to send requests by."""
        updated_at = self.updated_at
        if self.options.serve_on:
            return updated_at is not None
        return updated_at is not None and self.runtime.now() - updated_at < WORKER_LIST_VALIDITY_US

    def is_partitioned(self) -> bool:
        """Whether this node has lost the core while some member may still have it.

        Without the core, a node goes on only if every member says that it has lost the core
        too, or its machine says that nobody listens there any more. One that can't be
        reached may be with a core that takes changes; one whose configuration is ahead shows that
        this node missed a change.

        A node that is told to serve on (option `serve_on`) never counts itself as cut off.
        """
        if self.session.is_established() or self.options.serve_on:
            return False
        without_core = self.peer_status.without_core(self.applied_index)
        return any(peer.id not in without_core for peer in self.peers())

    def lacks_worker_updates(self) -> bool:
        """Whether this node has a configuration, but no update of the worker list for WORKER_UPDATE_TIMEOUT_US."""
        return self.items is not None and self._lacks_worker_updates_for(WORKER_UPDATE_TIMEOUT_US)

    def _lacks_worker_updates_for(self, duration_us: int) -> bool:
        updated_at = self.updated_at
        return updated_at is None or self.runtime.now() - updated_at > duration_us

    # ---- applying updates ------------------------------------------------------------

    def apply_items(self, index: int, items: ItemUpdate, *, is_snapshot: bool) -> None:
        """Apply a snapshot or an update of the slice; one older than what is here is dropped.

        Args:
            index: The log index that the items stand for.
            items: All items of a snapshot, else those that changed; None removes one.
            is_snapshot: Whether `items` replaces all that is here.
        """
        has_base = self.items is not None and not self.unconfirmed_position
        if index < self.applied_index or not (has_base or is_snapshot):
            return
        self.unconfirmed_position = None
        before = self.items or {}
        after, changes = _replace(before, items) if is_snapshot else _apply_changes(before, items)
        parsed = [_parse(key, value) for key, value in changes if key.split("/", 1)[0] in configuration.KINDS]
        self.items = after
        self.applied_index = index
        if not before:
            self.platform.list_now.wake()
        for kind, name, item in parsed:
            self._put_item(kind, name, item)
        self._apply_evacuations(configuration.evacuated_zones(after))
        self.node.on_update()

    def _apply_evacuations(self, zones: frozenset[str]) -> None:
        """Note which zones are evacuated now, and tell the node which of them are so no more."""
        if zones == self.evacuated_zones:
            return
        log.info("Evacuated zones: {zones}.", zones=", ".join(sorted(zones)) or "none")
        readmitted = self.evacuated_zones - zones
        self.evacuated_zones = zones
        for zone in sorted(readmitted):
            self.node.on_zone_readmitted(zone)

    def _put_item(
        self,
        kind: str,
        name: str,
        item: typing.Any,  # noqa: ANN401 - of the class that its kind has
    ) -> None:
        match kind:
            case "routes":
                self.route_index.put(name, item)
            case "pools":
                _put(self.pools, name, item)
            case "terms":
                _put(self.terms, name, item)
            case "tenants":
                self.tenant_index.put(name, item)
            case "limits":
                self.limits = item or configuration.Limits()

    def apply_unconfirmed(self, unconfirmed: message.UnconfirmedConfiguration) -> None:
        """While this node has no configuration and no core serves: use what a core's disk holds.

        After a loss of everything the core takes some seconds to agree; what it acknowledged
        is on its disks all the time. The first snapshot of a serving core takes its place.
        """
        in_use = self.unconfirmed_position
        is_newer = in_use is not None and in_use < unconfirmed.position
        if self.items is not None and not is_newer:
            return
        self.apply_items(0, unconfirmed.items, is_snapshot=True)
        self.unconfirmed_position = unconfirmed.position
        view, log_index = unconfirmed.position
        log.info(
            "No core serves; using a core's unconfirmed configuration of view {view}, log index {log_index}.",
            view=view,
            log_index=log_index,
        )

    def apply_membership(self, membership: message.Membership | None) -> None:
        """Take a membership, unless a newer one is here."""
        if membership is None or membership.version <= self.membership.version:
            return
        self.membership = membership
        if membership.listing_version > (0, 0, 0):
            self.apply_listing(message.WorkerListing(membership.workers, membership.listing_version))
        self.node.on_update()

    def apply_listing(self, listing: message.WorkerListing) -> None:
        """Take a worker list, unless a newer one is here."""
        if self.worker_list.accept_listing(listing):
            self.apply_workers(listing.workers)

    def apply_listing_unchanged(self, unchanged: message.ListingUnchanged) -> bool:
        """Record that the platform's list is unchanged since a full listing; False where that is not known here."""
        return self.worker_list.accept_unchanged(unchanged, self.runtime.now())

    def apply_polled_workers(self, workers: list[message.Worker]) -> None:
        """Take a list that another node polled from the platform, where this one has no recent list either."""
        if self._lacks_worker_updates_for(WORKER_UPDATE_TIMEOUT_US // 2):
            self.apply_workers(workers)

    def apply_workers(self, workers: list[message.Worker]) -> None:
        """Note the workers and their states as they are now."""
        if self.worker_list.replace(workers, self.runtime.now()):
            self.node.on_update()

    def apply_message(self, update: message.Message) -> None:
        """Apply what a core machine sent on a session; with a lease, a rejoin after a freeze is complete."""
        match update:
            case message.ConfigurationSnapshot(index=index, items=items):
                self.apply_items(index, items, is_snapshot=True)
            case message.UnconfirmedConfiguration():
                self.apply_unconfirmed(update)
            case message.ConfigurationUpdate(index=index, items=items):
                self.apply_items(index, items, is_snapshot=False)
            case message.MembershipUpdate(membership=membership):
                self.apply_membership(membership)
            case message.LoadReport():
                self.node.loads.apply_sums(update)
            case message.SessionHeartbeat(listing_unchanged=unchanged):
                if unchanged is not None:
                    self.apply_listing_unchanged(unchanged)
        if self.rejoining_since is not None and self.session.lease.is_valid(self.runtime.now()):
            self.rejoining_since = None
            self.node.on_update()

    # ---- tasks -----------------------------------------------------------------------

    def join_request(self) -> message.JoinRequest:
        """Return the message that begins a session: this node, and the versions that it has."""
        membership = self.membership if self.membership.version > (0, 0) else None
        return message.JoinRequest(self.node.member, self.applied(), membership, self.runtime.now())

    async def watch_core_contact(self) -> None:
        """Detect freezes, and ask the peers about the core while there is no contact with it; one task."""
        asked_at = 0
        while not self.node.stopped:
            await self.runtime.sleep(TICK_US if self.session.is_established() else TICK_WITHOUT_CORE_US)
            self.detect_freeze()
            now = self.runtime.now()
            if self.session.has_recent_contact():
                self.peer_status.clear()
                continue
            if now - asked_at > PEER_QUERY_INTERVAL_US:
                asked_at = now
                self.peer_status.query()
            if (
                self.rejoining_since is not None
                and now - self.rejoining_since > REJOIN_TIMEOUT_US
                and not self.is_partitioned()
            ):
                self.rejoining_since = None  # the whole core is gone; peers are there
                self.node.on_update()


def _replace(before: configuration.Items, items: ItemUpdate) -> ItemsAndChanges:
    after = dict(typing.cast("configuration.Items", items))  # a snapshot removes nothing
    return after, configuration.difference(before, after)


def _apply_changes(before: configuration.Items, changed: ItemUpdate) -> ItemsAndChanges:
    after = {key: value for key, value in {**before, **changed}.items() if value is not None}
    return after, list(changed.items())


def _parse(key: str, value: configuration.Item | None) -> tuple[str, str, typing.Any]:
    """Return an item's kind, its name, and the item as its kind's class; None where it was removed."""
    kind, name = key.split("/", 1)
    return kind, name, None if value is None else configuration.KINDS[kind].from_dict(value)


def _put(table: dict[str, ItemClass], name: str, item: ItemClass | None) -> None:
    if item is None:
        table.pop(name, None)
    else:
        table[name] = item
