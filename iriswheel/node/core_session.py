"""A node's session with a core machine: its connection, its lease, and the move to another core machine.

The established session is the one on which a core machine last renewed the node's lease.
When no heartbeat with a lease arrives for LEASE_OVERDUE_US, the node opens candidate sessions
with other core machines while it keeps the established one. It opens a few at a time, waits
for none of them in particular, and moves to the first on which the lease is renewed.
Configuration updates are accepted on all of these sessions, since every change that a core
machine sends is committed.
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
"""The time without a lease renewal after which other core machines are tried; a renewal is due every 250 ms."""

ATTEMPT_TIMEOUT_US = 1_500 * units.MILLISECOND_US
"""The time after which an attempt that has brought no lease ends."""

MAX_ATTEMPTS = 3
"""The most attempts under way at a time."""

ATTEMPT_INTERVAL_US = 200 * units.MILLISECOND_US
MAX_JITTER_US = 50 * units.MILLISECOND_US
"""The longest random wait after a lost connection: many nodes lose a core machine at the same time and should not
all reconnect at once."""

OVERLAP_US = 1 * units.SECOND_US
"""The time for which the old session stays open after the new one is established."""

OWN_ZONE_INTERVAL_US = 10 * units.SECOND_US
"""The time between attempts to move to a core machine of the node's own zone."""

RECENT_CONTACT_US = 800 * units.MILLISECOND_US
"""The longest time since the last lease renewal that counts as contact; renewals come four times a second."""

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
        self.leased_at: int | None = None  # time (µs) of the established session's last lease renewal
        # connection -> address, of candidate sessions that have brought no lease yet
        self.candidates: dict[wire.Connection, Address] = {}
        self.attempts: set[Address] = set()  # addresses of all attempts under way
        self.last_tried_at: dict[Address, int] = {}  # address -> time (µs), cleared when a session is established
        self.address_hint: Address | None = None  # core machine of a peer's session
        self.own_zone_tried_at = -OWN_ZONE_INTERVAL_US
        self.moves = 0  # number of sessions established so far

    # ---- state ---------------------------------------------------------

    def is_established(self) -> bool:
        """Whether the lease was renewed on this session within wire.SILENCE_TIMEOUT_US."""
        return self._leased_within(wire.SILENCE_TIMEOUT_US)

    def has_recent_contact(self) -> bool:
        """Whether the lease was renewed on this session within RECENT_CONTACT_US, as reported to peers."""
        return self._leased_within(RECENT_CONTACT_US)

    def _leased_within(self, us: int) -> bool:
        return (
            self.connection is not None
            and self.connection.up
            and self.leased_at is not None
            and self.runtime.now() - self.leased_at < us
        )

    def state(self) -> dict[str, typing.Any]:
        """Return the state of the session that `GET /state` shows."""
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
        """Remember further addresses of core machines, since the known machines may have been replaced."""
        for address in addresses:
            if address not in self.addresses:
                self.addresses.append(address)

    def addresses_by_preference(self) -> list[Address]:
        """Return the addresses of core machines in the order in which to try them.

        Addresses that were not tried go first, then those tried longest ago. Among these,
        addresses in the membership go before others, and this node's own zone before other
        zones; the rest is random.
        """
        zones = self.follower.core_zones()
        own = self.follower.options.zone
        tie_breaker = {address: self.runtime.rng.random() for address in self.addresses}
        return sorted(
            self.addresses,
            key=lambda address: (
                self.last_tried_at.get(address, -1),
                address not in zones,
                zones.get(address) != own,
                tie_breaker[address],
            ),
        )

    # ---- messages ---------------------------------------------------------------

    def tell(self, msg: message.Message) -> None:
        """Send a message on the established session; without a connection it is dropped."""
        if self.connection is not None:
            self.connection.tell(msg)

    def heartbeat(self) -> message.SessionHeartbeat:
        """Return this node's heartbeat: the versions of its configuration and membership, and the time of sending."""
        follower = self.follower
        return message.SessionHeartbeat(
            follower.reported_index(), follower.membership.version, None, self.runtime.now()
        )

    def receive(self, connection: wire.Connection, msg: message.Message) -> None:
        """Handle a message from a core machine: a redirect, a lease renewal, or an update for the follower."""
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
        self.last_tried_at.clear()
        host, port = self.address
        log.info(
            "The node moved its session to core machine {host}:{port}; log index {applied_index} is applied.",
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
        """Close all connections after a freeze, since messages still buffered on them are out of date."""
        for connection in [self.connection, *self.candidates]:
            if connection is not None:
                connection.close()
        self.connection = None
        self.leased_at = None
        self.candidates.clear()

    async def run(self) -> None:
        """Keep a session with a core machine until the node stops; one task."""
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
                "The session with core machine {host}:{port} ended; log index {applied_index} is applied.",
                host=host,
                port=port,
                applied_index=self.follower.applied_index,
            )
            self.last_tried_at[self.address] = self.runtime.now()
            self.connection = None

    def _start_next_attempt(self) -> None:
        if len(self.attempts) >= MAX_ATTEMPTS:
            return
        here = self.address if self.connection is not None else None
        address_hint, self.address_hint = self.address_hint, None
        for address in ([address_hint] if address_hint is not None else []) + self.addresses_by_preference():
            if address != here and address not in self.attempts:
                self._start_attempt(address)
                return

    def _core_of_own_zone(self) -> Address | None:
        """Return a core machine of this node's own zone to move to.

        None if the session is in that zone already, an attempt is under way or was made within
        OWN_ZONE_INTERVAL_US, or the zone has no core machine.
        """
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
        self.last_tried_at[address] = self.runtime.now()
        self.runtime.spawn(self._open_candidate(address), log)

    async def _open_candidate(self, address: Address) -> None:
        """Open a candidate session, and close it if it brings no lease within ATTEMPT_TIMEOUT_US."""
        try:
            connection = await wire.connect(
                self.runtime, *address, self.receive, log, memory=self.follower.node.peers.memory
            )
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
