"""A node's replica of the fleet's state: its slice of the configuration, the membership and the workers.

The node applies the snapshots and updates that core machines send in the order of their log
indexes; an older one never replaces a newer one. The slice is the part of the configuration
that the node needs.
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
"""The gap between two ticks above which the process counts as having been frozen."""

REJOIN_TIMEOUT_US = 1 * units.SECOND_US
"""The time after which a node that was frozen may complete its rejoin without a session with the core."""

WORKER_LIST_VALIDITY_US = 2_500 * units.MILLISECOND_US
"""The age of its last confirmation from which on a worker list is no longer used."""

WORKER_UPDATE_TIMEOUT_US = 1_500 * units.MILLISECOND_US
"""The time without an update of the worker list after which a node asks the platform itself."""

PEER_QUERY_INTERVAL_US = 500 * units.MILLISECOND_US
TICK_US = 400 * units.MILLISECOND_US
TICK_WITHOUT_CORE_US = 200 * units.MILLISECOND_US

CLOCK_MARGIN_US = 250 * units.MILLISECOND_US
"""A margin for the drift of clocks while keys are accepted without a lease, and for the time that a request takes to
reach a worker."""

NO_CONFIGURATION = -1
"""The applied log index that a node reports before its first configuration."""

log = loguru.logger.bind(part="follower")

ItemUpdate = collections.abc.Mapping[str, configuration.Item | None]
"""Items by key; None removes the item."""

ItemsAndChanges = tuple[dict[str, configuration.Item], list[configuration.ItemChange]]
"""All items after an update, and the changes that the update made."""

ItemClass = typing.TypeVar("ItemClass")


class Follower:
    """A read-only replica of the node's slice of the configuration, the membership and the worker list."""

    def __init__(self, node: node.Node, options: options.Options) -> None:
        self.node = node
        self.runtime = node.runtime
        self.options = options
        self.session = core_session.CoreSession(self, options.seed_list())
        self.applied_index = 0
        self.items: configuration.Items | None = None  # the slice, unparsed
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
        self.rejoining_since: int | None = None  # time (µs) of the last freeze; None once rejoined

    # ---- queries ------------------------------------------------------

    @property
    def routes(self) -> dict[str, configuration.Route]:
        """The routes of the slice, by name."""
        return self.route_index.routes

    @property
    def tenants(self) -> dict[str, configuration.Tenant]:
        """The tenants of the slice, by name."""
        return self.tenant_index.tenants

    def find_tenant(self, key_digest: str) -> tuple[str, configuration.Tenant] | None:
        """Return the name and the item of the tenant that has the key with this digest, or None."""
        return self.tenant_index.find(key_digest)

    @property
    def workers(self) -> list[message.Worker]:
        """The workers of the newest worker list."""
        return self.worker_list.workers

    @property
    def workers_by_id(self) -> dict[str, message.Worker]:
        """The listed workers, by id."""
        return self.worker_list.workers_by_id

    @property
    def updated_at(self) -> int | None:
        """The time (µs) when the worker list was last received or confirmed; None before the first list."""
        return self.worker_list.updated_at

    def assignment(self, key: str) -> message.RoleAssignment | None:
        """Return the assignment of a role from the membership, or None."""
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
        """Whether the owner of a pool selects the worker for each of its requests."""
        return name in self.pools and self.pools[name].election == configuration.Election.POOL_OWNER

    def state(self, worker: str) -> str:
        """Return a worker's state, a `message.WorkerState`; a worker that is not listed is GONE."""
        return self.worker_list.state(worker)

    def accepts_requests(self, worker: str) -> bool:
        """Whether new requests may go to a worker: it is listed as ready, and its zone is not evacuated."""
        listed = self.workers_by_id.get(worker)
        return (
            listed is not None and listed.state == message.WorkerState.READY and listed.zone not in self.evacuated_zones
        )

    def drain_deadline_passed(self, worker: str) -> bool:
        """Whether the time that a leaving or gone worker has for its streams under way is over."""
        return self.worker_list.drain_deadline_passed(worker, self.runtime.now())

    def core_zones(self) -> dict[core_session.Address, str]:
        """Return the core machines of the membership: address -> zone."""
        return {(core.host, core.port): core.zone for core in self.membership.cores}

    def find_route(self, host: str, path: str) -> configuration.Route | None:
        """Return the route for a host and a path, or None."""
        return self.route_index.find(host, path)

    def reported_index(self) -> int:
        """Return the log index of the configuration that this node has applied, or NO_CONFIGURATION."""
        return NO_CONFIGURATION if self.items is None else self.applied_index

    # ---- staleness and partitions -----------------------------------------------

    def needs_rejoin(self) -> bool:
        """Whether this process was frozen and has not rejoined yet, so that its state may be out of date."""
        self.detect_freeze()
        return self.rejoining_since is not None

    def detect_freeze(self) -> None:
        """Start a rejoin if this process did not run for more than FREEZE_THRESHOLD_US."""
        now = self.runtime.now()
        if now - self.last_tick_at > FREEZE_THRESHOLD_US:
            log.warning(
                "The process did not run for {pause_ms} ms; the node closes its sessions and rejoins the core.",
                pause_ms=(now - self.last_tick_at) // units.MILLISECOND_US,
            )
            self.rejoining_since = now
            self.peer_status.clear()
            self.session.reset()
        self.last_tick_at = now

    def configuration_may_be_stale(self) -> bool:
        """Whether this node may have missed a change that is in force on other nodes.

        While this node's lease is valid, the core acknowledges no change that this node has not
        applied. Without a lease the answer is that of is_partitioned(). With the option
        `serve_on`, the configuration counts as stale only if a peer that has a session with the
        core has a newer one.
        """
        if self.session.lease.is_valid(self.runtime.now()):
            return False
        return self.peer_has_newer_configuration() if self.options.serve_on else self.is_partitioned()

    def keys_may_be_revoked(self) -> bool:
        """Whether a key that this node accepts may have been revoked longer ago than `revocation_us`.

        Until the end of its newest lease, this node applied each change before the core acknowledged it. So a
        change that this node has not applied was acknowledged after that lease ended.
        """
        bound_us = self.options.revocation_us
        if not bound_us:
            return False
        known_until_us = self.session.lease.expires_at_us
        return not known_until_us or self.runtime.now() >= known_until_us + bound_us - CLOCK_MARGIN_US

    def may_be_replaced(self) -> bool:
        """Whether the core may have removed this node from the membership and given its roles to others.

        A role changes hands only while some node is in contact with the core.
        """
        if self.needs_rejoin():
            return True
        return not self.session.lease.is_valid(self.runtime.now()) and self.peer_status.any_reaches_core()

    def peer_has_newer_configuration(self) -> bool:
        """Whether a peer that is in contact with the core has a newer configuration than this node."""
        return self.peer_status.any_has_newer_configuration(self.applied_index)

    def has_worker_update(self) -> bool:
        """Whether the worker list is recent enough for sending requests; with `serve_on` any list is."""
        updated_at = self.updated_at
        if self.options.serve_on:
            return updated_at is not None
        return updated_at is not None and self.runtime.now() - updated_at < WORKER_LIST_VALIDITY_US

    def is_partitioned(self) -> bool:
        """Whether this node has lost the core while some other member may still have contact with it.

        Without the core, a node goes on serving only if every other member answers that it has
        lost the core too, or has a machine that refuses the connection because the process is
        gone. A member that can't be reached may be in contact with a core that accepts changes;
        a member with a newer configuration shows that this node missed a change.

        With the option `serve_on`, a node never counts itself as partitioned.
        """
        if self.session.is_established() or self.options.serve_on:
            return False
        without_core = self.peer_status.without_core(self.applied_index)
        return any(peer.id not in without_core for peer in self.peers())

    def lacks_worker_updates(self) -> bool:
        """Whether this node has a configuration but got no worker list update for WORKER_UPDATE_TIMEOUT_US."""
        return self.items is not None and self._lacks_worker_updates_for(WORKER_UPDATE_TIMEOUT_US)

    def _lacks_worker_updates_for(self, duration_us: int) -> bool:
        updated_at = self.updated_at
        return updated_at is None or self.runtime.now() - updated_at > duration_us

    # ---- applying updates ------------------------------------------------------------

    def apply_items(self, index: int, items: ItemUpdate, *, is_snapshot: bool) -> None:
        """Apply a snapshot or an update of the slice, unless this node has applied a newer log index.

        Args:
            index: The log index of the snapshot or update.
            items: All items of a snapshot, or the changed items of an update; None removes an item.
            is_snapshot: Whether `items` replaces the whole slice.
        """
        if index < self.applied_index or (self.items is None and not is_snapshot):
            return
        before = self.items or {}
        after, changes = _replace(before, items) if is_snapshot else _apply_changes(before, items)
        parsed = [_parse(key, value) for key, value in changes if key.split("/", 1)[0] in configuration.KINDS]
        self.items = after
        self.applied_index = index
        if not before:
            self.platform.poll_now.wake()
        for kind, name, item in parsed:
            self._put_item(kind, name, item)
        self._apply_evacuations(configuration.evacuated_zones(after))
        self.node.on_update()

    def _apply_evacuations(self, zones: frozenset[str]) -> None:
        """Store which zones are evacuated now, and tell the node which zones were readmitted."""
        if zones == self.evacuated_zones:
            return
        log.info("The evacuated zones are now: {zones}.", zones=", ".join(sorted(zones)) or "none")
        readmitted = self.evacuated_zones - zones
        self.evacuated_zones = zones
        for zone in sorted(readmitted):
            self.node.on_zone_readmitted(zone)

    def _put_item(
        self,
        kind: str,
        name: str,
        item: typing.Any,  # noqa: ANN401 - an instance of the kind's class
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

    def apply_membership(self, membership: message.Membership | None) -> None:
        """Apply a membership and its worker list, unless this node has the same or a newer version."""
        if membership is None or membership.version <= self.membership.version:
            return
        self.membership = membership
        if membership.listing_version > (0, 0, 0):
            self.apply_listing(message.WorkerListing(membership.workers, membership.listing_version))
        self.node.on_update()

    def apply_listing(self, listing: message.WorkerListing) -> None:
        """Apply a full worker listing, unless this node has a newer one."""
        if self.worker_list.accept_listing(listing):
            self.apply_workers(listing.workers)

    def apply_listing_unchanged(self, unchanged: message.ListingUnchanged) -> bool:
        """Record that the list is unchanged since a full listing; return False if this node lacks that listing."""
        return self.worker_list.accept_unchanged(unchanged, self.runtime.now())

    def apply_polled_workers(self, workers: list[message.Worker]) -> None:
        """Apply a list that another node polled from the platform, if this node has no recent list."""
        if self._lacks_worker_updates_for(WORKER_UPDATE_TIMEOUT_US // 2):
            self.apply_workers(workers)

    def apply_workers(self, workers: list[message.Worker]) -> None:
        """Replace the worker list, and record that it is up to date."""
        if self.worker_list.replace(workers, self.runtime.now()):
            self.node.on_update()

    def apply_message(self, update: message.Message) -> None:
        """Apply a message from a core machine; under a valid lease it completes a rejoin after a freeze."""
        match update:
            case message.ConfigurationSnapshot(index=index, items=items):
                self.apply_items(index, items, is_snapshot=True)
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
        """Return the message that opens a session: this node, and the versions of its configuration and membership."""
        membership = self.membership if self.membership.version > (0, 0) else None
        return message.JoinRequest(self.node.member, self.reported_index(), membership, self.runtime.now())

    async def watch_core_contact(self) -> None:
        """Detect freezes, and ask the peers about the core while this node has no contact with it; one task."""
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
                self.rejoining_since = None  # every other member has lost the core too, or `serve_on` is set
                self.node.on_update()


def _replace(before: configuration.Items, items: ItemUpdate) -> ItemsAndChanges:
    after = dict(typing.cast("configuration.Items", items))  # a snapshot contains no None
    return after, configuration.difference(before, after)


def _apply_changes(before: configuration.Items, changed: ItemUpdate) -> ItemsAndChanges:
    after = {key: value for key, value in {**before, **changed}.items() if value is not None}
    return after, list(changed.items())


def _parse(key: str, value: configuration.Item | None) -> tuple[str, str, typing.Any]:
    """Return an item's kind, its name, and the item as an instance of its kind's class; None if it was removed."""
    kind, name = key.split("/", 1)
    return kind, name, None if value is None else configuration.KINDS[kind].from_dict(value)


def _put(table: dict[str, ItemClass], name: str, item: ItemClass | None) -> None:
    if item is None:
        table.pop(name, None)
    else:
        table[name] = item
