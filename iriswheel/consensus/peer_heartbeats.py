"""Heartbeats between core machines, and what they show: who is alive, who is leaving, whose copy is synced."""

from __future__ import annotations

import typing

import loguru

from iriswheel.consensus import decisions, timing
from iriswheel.runtime import scheduler
from iriswheel.transport import message, wire

if typing.TYPE_CHECKING:
    import collections.abc

    from twisted.internet import defer

    from iriswheel.consensus import acceptor
    from iriswheel.transport import peer_calls

Address: typing.TypeAlias = tuple[str, int]

log = loguru.logger.bind(part="view")


class ReceivedHeartbeat(typing.NamedTuple):
    """The newest heartbeat of another core machine, and when it arrived."""

    received_at_us: int  # on this machine's clock
    heartbeat: message.Heartbeat


class PeerHeartbeats:
    """Sends this core machine's heartbeats, and keeps the newest heartbeat of each other core machine.

    Args:
        runtime: Clock and tasks.
        peers: Makes calls to other core machines.
        view_acceptor: This machine's record of views.
        seeds: Addresses to which heartbeats are sent besides those of the voters.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        peers: peer_calls.PeerCalls,
        view_acceptor: acceptor.Acceptor,
        seeds: collections.abc.Iterable[Address],
    ) -> None:
        self.runtime = runtime
        self.peers = peers
        self.acceptor = view_acceptor
        self.own_voter = view_acceptor.own_voter
        self.received: dict[str, ReceivedHeartbeat] = {}  # by machine id
        self.leaving = False  # whether this machine has announced its departure
        self.send_now = scheduler.Signal()  # wakes the tasks that send heartbeats
        self.incarnation_seen = scheduler.Signal()  # woken by the first heartbeat of a machine in a new incarnation
        self._seeds = list(seeds)
        self._seen_without_view_at_us: dict[Address, int] = {}  # when a machine that knew no view was last heard
        self._adopting = 0  # number of the view that a heartbeat brought and that is being adopted, 0 for none

    def own_heartbeat(self) -> message.Heartbeat:
        """The heartbeat that describes this machine's present state."""
        return message.Heartbeat(
            id=self.own_voter.id,
            incarnation=self.runtime.incarnation,
            zone=self.own_voter.zone,
            host=self.own_voter.host,
            port=self.own_voter.port,
            view=self.acceptor.view,
            synced_view=self.acceptor.record.synced_view,
            disk_ok=self.acceptor.disk.ok,
            leaving=self.leaving,
            sealed=self.acceptor.is_sealed(),
        )

    def receive(self, heartbeat: message.Heartbeat) -> None:
        """Keep another machine's heartbeat, and adopt the view in it if that is newer than the one known here."""
        is_new = self.seen_incarnation(heartbeat.id) != heartbeat.incarnation
        self.received[heartbeat.id] = ReceivedHeartbeat(self.runtime.now(), heartbeat)
        view = self.acceptor.view
        if heartbeat.view is None:
            self._seen_without_view_at_us[(heartbeat.host, heartbeat.port)] = self.runtime.now()
        elif (view is None or heartbeat.view.number > view.number) and heartbeat.view.number > self._adopting:
            self.runtime.spawn(self._adopt(heartbeat.view), log)
        if is_new:
            self.incarnation_seen.wake()

    async def _adopt(self, view: message.View) -> None:
        """Adopt a view that came in a heartbeat.

        While the disk stalls, each further heartbeat carries the same view; only the first of them waits for the disk,
        so that waiting adoptions do not pile up.
        """
        self._adopting = view.number
        try:
            await self.acceptor.adopt(view)
        finally:
            if self._adopting == view.number:
                self._adopting = 0

    def seen_incarnation(self, identifier: str) -> str | None:
        """The incarnation in a machine's newest heartbeat; None if none has arrived since this process started."""
        last = self.received.get(identifier)
        return None if last is None else last.heartbeat.incarnation

    # ---- state of the other machines -----------------------------------------

    def recent(self) -> list[message.Heartbeat]:
        """The newest heartbeats of the other machines that were heard within PEER_TIMEOUT_US."""
        now = self.runtime.now()
        return [
            heartbeat
            for received_at_us, heartbeat in self.received.values()
            if now - received_at_us < timing.PEER_TIMEOUT_US
        ]

    def recent_without_view(self) -> set[Address]:
        """The addresses of machines that sent a heartbeat without a view within PEER_TIMEOUT_US."""
        now = self.runtime.now()
        return {
            address
            for address, seen_at_us in self._seen_without_view_at_us.items()
            if now - seen_at_us < timing.PEER_TIMEOUT_US
        }

    def alive(self) -> decisions.Incarnations:
        """The live machines that are not leaving and whose disk works, with their incarnations.

        A leaving voter is included as long as the voters that stay are not a majority, since no view could be agreed
        without it. A leaving replica of the chain is included until a majority of the voters stays and is synced,
        since it may hold the only copy from which the others can catch up.
        """
        heartbeats = [heartbeat for heartbeat in self.recent() if heartbeat.disk_ok]
        heartbeats += [self.own_heartbeat()] if self.acceptor.disk.ok else []
        alive = {heartbeat.id: heartbeat.incarnation for heartbeat in heartbeats if not heartbeat.leaving}
        view = self.acceptor.view
        if view is None:
            return alive
        voter_ids = {voter.id for voter in view.voters}
        voters = [heartbeat for heartbeat in heartbeats if heartbeat.id in voter_ids]
        staying = [heartbeat for heartbeat in voters if not heartbeat.leaving]
        synced = [heartbeat for heartbeat in staying if heartbeat.synced_view == view.number]
        quorum = decisions.majority(len(view.voters))
        for heartbeat in voters:
            is_replica = message.ChainReplica(heartbeat.id, heartbeat.incarnation) in view.chain
            if len(staying) < quorum or (is_replica and len(synced) < quorum):
                alive[heartbeat.id] = heartbeat.incarnation
        return alive

    def hears_majority(self, view: message.View) -> bool:
        """Whether a majority of a view's voters, counting this machine, was heard within PEER_TIMEOUT_US."""
        heard = {heartbeat.id for heartbeat in self.recent()} | {self.own_voter.id}
        return len([voter for voter in view.voters if voter.id in heard]) >= decisions.majority(len(view.voters))

    def departing(self) -> decisions.Incarnations:
        """The live machines that are leaving and whose disk works, with their incarnations."""
        departing = {
            heartbeat.id: heartbeat.incarnation
            for heartbeat in self.recent()
            if heartbeat.disk_ok and heartbeat.leaving
        }
        if self.acceptor.disk.ok and self.leaving:
            departing[self.own_voter.id] = self.runtime.incarnation
        return departing

    def known_synced(self, view: message.View) -> set[str]:
        """The ids of the machines that are synced in the newest view, as far as their heartbeats have told this one."""
        synced = {
            identifier for identifier, (_, heartbeat) in self.received.items() if heartbeat.synced_view == view.number
        }
        return synced | {self.own_voter.id} if self.acceptor.is_synced() else synced

    def is_any_sealed(self, view: message.View) -> bool:
        """Whether the newest view is sealed on this machine or on another live one.

        The chain does not work on a machine that has sealed the view, until the next view is agreed. Voters bound by
        the tail's lease refuse the proposals of that machine, so the tail must notice the seal and propose instead.
        """
        return any(
            heartbeat.sealed and heartbeat.view is not None and heartbeat.view.number == view.number
            for heartbeat in [*self.recent(), self.own_heartbeat()]
        )

    def voter_state(self, identifier: str, started_at_us: int) -> decisions.VoterState:
        """Whether another voter may be replaced; one that was never heard counts as silent since `started_at_us`."""
        last = self.received.get(identifier)
        silent_us = self.runtime.now() - (started_at_us if last is None else last.received_at_us)
        leaves = last is not None and last.heartbeat.leaving
        return decisions.VoterState(
            replaceable=silent_us > timing.VOTER_REPLACEMENT_US or leaves, silent=silent_us > timing.PEER_TIMEOUT_US
        )

    # ---- sending -------------------------------------------------------------

    def announce_departure(self) -> None:
        """Tell the other machines at once that this one is leaving, so that the next view has a chain without it."""
        self.leaving = True
        self.send_now.wake()

    def learn_seeds(self, seeds: collections.abc.Iterable[Address]) -> None:
        """Send heartbeats to further addresses; the machines there do not count as machines of view 1."""
        self._seeds += [seed for seed in seeds if seed not in self._seeds]

    def addresses(self) -> set[Address]:
        """All addresses to which heartbeats are sent: those of seeds and voters, but not this machine's own."""
        addresses = set(self._seeds)
        view = self.acceptor.view
        if view is not None:
            addresses |= {(voter.host, voter.port) for voter in view.voters}
        addresses.discard((self.own_voter.host, self.own_voter.port))
        return addresses

    def addresses_heard(self) -> set[Address]:
        """The result of `addresses`, with those of the live core machines that are not voters yet."""
        return self.addresses() | {(heartbeat.host, heartbeat.port) for heartbeat in self.recent()}

    async def exchange(self) -> None:
        """Keep one heartbeat task running for each address; never returns."""
        tasks: dict[Address, defer.Deferred[None]] = {}
        while True:
            for address in sorted(self.addresses()):
                if address not in tasks or tasks[address].called:
                    tasks[address] = self.runtime.spawn(self._exchange_with(address), log)
            await self.runtime.sleep(timing.HEARTBEAT_INTERVAL_US)

    async def _exchange_with(self, address: Address) -> None:
        host, port = address
        while address in self.addresses():
            try:
                response = await self.peers.call(host, port, self.own_heartbeat(), timing.CALL_TIMEOUT_US)
                if isinstance(response, message.Heartbeat):
                    self.receive(response)
            except (wire.ConnectionBrokenError, scheduler.DeadlineError):
                pass  # a machine that does not answer drops out of `recent`
            await self.runtime.pause(self.send_now, timing.HEARTBEAT_INTERVAL_US)
