"""A node's session with the core: which core machine it is with, its lease, and how it finds another.

The established session is the one on which a core machine last renewed the node's lease.
When heartbeats with a lease stop coming, the node opens sessions with further core
machines beside it, a few at a time and without waiting for any one of them, and moves to
the first that renews the lease. Configuration updates are accepted from all of them, since
a change that any core machine sends is committed.
"""

from __future__ import annotations

import collections.abc
import typing

import loguru

from iriswheel.membership import lease
from iriswheel.runtime import units
from iriswheel.transport import message, wire

if typing.TYPE_CHECKING:
    from iriswheel.node import follower


LEASE_OVERDUE_US = 600 * units.MILLISECOND_US
"""Without a lease renewed for so long, other core machines are tried; one comes every 250 ms."""

ATTEMPT_TIMEOUT_US = 1_500 * units.MILLISECOND_US
"""An attempt that brought no lease by then ends."""

MAX_ATTEMPTS = 3
"""Attempts at a time."""

ATTEMPT_INTERVAL_US = 200 * units.MILLISECOND_US
MAX_JITTER_US = 50 * units.MILLISECOND_US
"""Many nodes lose one core machine at the same time; they wait differently long."""

OVERLAP_US = 1 * units.SECOND_US
"""The old session ends so long after the new one is established."""

OWN_ZONE_INTERVAL_US = 10 * units.SECOND_US
"""The time between attempts to move to a core machine of the node's own zone."""

RECENT_CONTACT_US = 800 * units.MILLISECOND_US
"""A lease renewed within this time counts as contact; leases come four times a second."""

log = loguru.logger.bind(part="core_session")

Address = tuple[str, int]
"""The host and port of a core machine."""


class CoreSession:
    """Keeps one node's session with a core machine."""

    def __init__(self, follower: follower.Follower, seeds: list[Address]) -> None:
        self.follower = follower
        self.runtime = follower.runtime
        self.addresses = list(seeds)
        self.connection: wire.Connection | None = None
        self.address: Address | None = None
        self.lease = lease.NodeLease()
        self.leased_at: int | None = None  # when a lease last came on the established session
        # connection -> address, of attempts that have brought no lease yet
        self.candidates: dict[wire.Connection, Address] = {}
        self.attempts: set[Address] = set()  # the addresses of all attempts under way
        self.tried: dict[Address, int] = {}  # address -> when it was last tried, since a session last stood
        self.hint: Address | None = None  # where a peer has its session
        self.own_zone_tried_at = -OWN_ZONE_INTERVAL_US
        self.moves = 0

    # ---- what is known ---------------------------------------------------------

    def is_established(self) -> bool:
        """Whether a core machine renewed the lease on this session lately."""
        return self._leased_within(wire.SILENCE_TIMEOUT_US)

    def has_recent_contact(self) -> bool:
        """Whether the lease was renewed just now, for peers that ask."""
        return self._leased_within(RECENT_CONTACT_US)

    def _leased_within(self, us: int) -> bool:
        return (
            self.connection is not None
            and self.connection.up
            and self.leased_at is not None
            and self.runtime.now() - self.leased_at < us
        )

    def state(self) -> dict[str, typing.Any]:
        """What a node shows of its session."""
        now = self.runtime.now()
        return {
            "core": "{}:{}".format(*self.address) if self.address is not None else None,
            "stands": self.is_established(),
            "lease_left_us": max(0, self.lease.expires_at_us - now),
            "renewed_us_ago": None if self.leased_at is None else now - self.leased_at,
            "moves": self.moves,
            "attempts": sorted("{}:{}".format(*address) for address in self.attempts),
        }

    def add_addresses(self, addresses: collections.abc.Iterable[Address]) -> None:
        """Remember further addresses of core machines; they may have been replaced."""
        for address in addresses:
            if address not in self.addresses:
                self.addresses.append(address)

    def addresses_by_preference(self) -> list[Address]:
        """The addresses of core machines in the order in which to try them.

        Those of the membership go before older addresses, those of this node's own zone first,
        and what was tried a moment ago last.
        """
        zones = self.follower.core_zones()
        own = self.follower.options.zone
        chance = {address: self.runtime.rng.random() for address in self.addresses}
        return sorted(
            self.addresses,
            key=lambda address: (
                self.tried.get(address, -1),
                address not in zones,
                zones.get(address) != own,
                chance[address],
            ),
        )

    # ---- messages ---------------------------------------------------------------

    def tell(self, msg: message.Message) -> None:
        """Send the core machine of this session a message; dropped where there is no connection."""
        if self.connection is not None:
            self.connection.tell(msg)

    def heartbeat(self) -> message.SessionHeartbeat:
        """This node's heartbeat: the configuration and membership versions that it has, and its time."""
        follower = self.follower
        return message.SessionHeartbeat(follower.applied(), follower.membership.version, None, self.runtime.now())

    def receive(self, connection: wire.Connection, msg: message.Message) -> None:
        """Handle a message of a core machine: redirect, lease renewal, or an update for the follower."""
        if connection is not self.connection and connection not in self.candidates:
            return
        match msg:
            case message.Redirect(cores=cores):
                self.add_addresses((core.host, core.port) for core in cores)
                connection.close()
                return
            case message.SessionHeartbeat(sent_at=sent_at, lease_left=lease_left):
                if lease_left > 0:
                    self.lease.renew(sent_at, lease_left)
                    self._record_lease(connection)
                connection.tell(self.heartbeat())
        self.follower.apply_message(msg)
        if isinstance(msg, (message.ConfigurationSnapshot, message.ConfigurationUpdate)):
            connection.tell(self.heartbeat())

    def _record_lease(self, connection: wire.Connection) -> None:
        if connection is not self.connection:
            self._move_to(connection)
        self.leased_at = self.runtime.now()
        self.follower.node.startup.update()

    def _move_to(self, connection: wire.Connection) -> None:
        old = self.connection
        self.connection, self.address = connection, self.candidates.pop(connection)
        self.moves += 1
        self.tried.clear()
        host, port = self.address
        log.info(
            "The session with the core is now with {host}:{port}; log index {applied_index} is applied.",
            host=host,
            port=port,
            applied_index=self.follower.applied_index,
        )
        if old is not None:
            self.runtime.later(OVERLAP_US, old.close)
        for other in list(self.candidates):
            other.close()

    # ---- tasks --------------------------------------------------------------------

    def reset(self) -> None:
        """Close all connections after a freeze: what is still buffered on them is out of date."""
        for connection in [self.connection, *self.candidates]:
            if connection is not None:
                connection.close()
        self.connection = None
        self.leased_at = None
        self.candidates.clear()

    async def run(self) -> None:
        """Keep a session with some core machine; one task."""
        while not self.follower.node.stopped:
            self.add_addresses(self.follower.core_zones())
            self._drop_lost_connection()
            if not self._leased_within(LEASE_OVERDUE_US):
                self._start_next_attempt()
            elif (nearer := self._core_of_own_zone()) is not None:
                self._start_attempt(nearer)
            if self.connection is not None:
                await self.runtime.pause(self.connection.lost, ATTEMPT_INTERVAL_US)
            else:
                await self.runtime.sleep(ATTEMPT_INTERVAL_US)
            if self.connection is not None and not self.connection.up:
                await self.runtime.sleep(self.runtime.rng.randrange(MAX_JITTER_US))

    def _drop_lost_connection(self) -> None:
        if self.connection is not None and self.address is not None and not self.connection.up:
            host, port = self.address
            log.info(
                "The session with core {host}:{port} ended; log index {applied_index} is applied.",
                host=host,
                port=port,
                applied_index=self.follower.applied_index,
            )
            self.tried[self.address] = self.runtime.now()
            self.connection = None

    def _start_next_attempt(self) -> None:
        if len(self.attempts) >= MAX_ATTEMPTS:
            return
        here = self.address if self.connection is not None else None
        hint, self.hint = self.hint, None
        for address in ([hint] if hint is not None else []) + self.addresses_by_preference():
            if address != here and address not in self.attempts:
                self._start_attempt(address)
                return

    def _core_of_own_zone(self) -> Address | None:
        """A core machine of this node's own zone, where the session is with one of another zone."""
        zones = self.follower.core_zones()
        own = self.follower.options.zone
        now = self.runtime.now()
        if (
            self.address is None
            or zones.get(self.address, own) == own
            or now - self.own_zone_tried_at < OWN_ZONE_INTERVAL_US
            or self.attempts
        ):
            return None
        nearer = [address for address, zone in zones.items() if zone == own]
        if not nearer:
            return None
        self.own_zone_tried_at = now
        return nearer[0]

    def _start_attempt(self, address: Address) -> None:
        self.attempts.add(address)
        self.tried[address] = self.runtime.now()
        self.runtime.spawn(self._open_candidate(address), log)

    async def _open_candidate(self, address: Address) -> None:
        """Open a candidate session; it is closed where it brings no lease within ATTEMPT_TIMEOUT_US."""
        try:
            connection = await wire.connect(self.runtime, *address, self.receive, log)
            self.candidates[connection] = address
            connection.tell(self.follower.join_request())
            until = self.runtime.now() + ATTEMPT_TIMEOUT_US
            while connection in self.candidates and connection.up and self.runtime.now() < until:
                await self.runtime.pause(connection.lost, ATTEMPT_INTERVAL_US)
            if self.candidates.pop(connection, None) is not None:
                connection.close()
        except wire.ConnectionBrokenError:
            pass
        finally:
            self.attempts.discard(address)
