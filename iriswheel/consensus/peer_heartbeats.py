"""Heartbeats between core machines, and what follows from them: who is alive, who leaves, whose copy is synced."""

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
    """The newest heartbeat of a machine, and when it came."""

    received_at_us: int
    heartbeat: message.Heartbeat


class PeerHeartbeats:
    """Sends this machine's heartbeats, and keeps the newest one of each other machine.

    Args:
        runtime: Clock and tasks.
        peers: Calls to other machines.
        view_acceptor: This machine's record of views.
        seeds: Addresses at which core machines are looked for.
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
        self.received: dict[str, ReceivedHeartbeat] = {}  # by machine
        self.leaving = False
        self.send_now = scheduler.Signal()
        self.incarnation_seen = scheduler.Signal()  # woken for a machine that was not seen before in its incarnation
        self._seeds = list(seeds)
        self._seen_without_view_at_us: dict[Address, int] = {}  # of machines that know no view
        self._adopting = 0  # number of the newest view whose adoption is under way

    def own_heartbeat(self) -> message.Heartbeat:
        """This machine's own heartbeat."""
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
        """Keep a heartbeat, and adopt a newer view that it tells."""
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
        """Adopt a view that a heartbeat told.

        While the disk stalls each further heartbeat tells it again; only the first one waits for the disk.
        """
        self._adopting = view.number
        try:
            await self.acceptor.adopt(view)
        finally:
            if self._adopting == view.number:
                self._adopting = 0

    def seen_incarnation(self, identifier: str) -> str | None:
        """The incarnation of a machine's newest heartbeat; None where none has come since the start."""
        last = self.received.get(identifier)
        return None if last is None else last.heartbeat.incarnation

    # ---- what heartbeats tell ------------------------------------------------

    def recent(self) -> list[message.Heartbeat]:
        """The heartbeats of the other machines that count as alive."""
        now = self.runtime.now()
        return [
            heartbeat
            for received_at_us, heartbeat in self.received.values()
            if now - received_at_us < timing.PEER_TIMEOUT_US
        ]

    def recent_without_view(self) -> set[Address]:
        """The addresses of live machines that knew no view."""
        now = self.runtime.now()
        return {
            address
            for address, seen_at_us in self._seen_without_view_at_us.items()
            if now - seen_at_us < timing.PEER_TIMEOUT_US
        }

    def alive(self) -> decisions.Incarnations:
        """The machines that live and stay, and whose disk works, with their incarnations.

        Voters that leave count where those that stay are no majority, since nothing could be agreed
        without them; and replicas that leave count until a majority of the voters is synced and stays, since
        nobody else may be able to bring the others up to date.
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
        """Whether this machine heard, itself included, a majority of a view's voters within PEER_TIMEOUT_US."""
        heard = {heartbeat.id for heartbeat in self.recent()} | {self.own_voter.id}
        return len([voter for voter in view.voters if voter.id in heard]) >= decisions.majority(len(view.voters))

    def departing(self) -> decisions.Incarnations:
        """The machines that live and leave, and whose disk works, with their incarnations."""
        departing = {
            heartbeat.id: heartbeat.incarnation
            for heartbeat in self.recent()
            if heartbeat.disk_ok and heartbeat.leaving
        }
        if self.acceptor.disk.ok and self.leaving:
            departing[self.own_voter.id] = self.runtime.incarnation
        return departing

    def known_synced(self, view: message.View) -> set[str]:
        """The machines that are synced in the newest view, as far as this one has heard."""
        synced = {
            identifier for identifier, (_, heartbeat) in self.received.items() if heartbeat.synced_view == view.number
        }
        return synced | {self.own_voter.id} if self.acceptor.is_synced() else synced

    def is_any_sealed(self, view: message.View) -> bool:
        """Whether the newest view is sealed on a live machine: the chain is broken there until the next view.

        The voters that keep the tail's lease refuse the sealed machine's own proposals, so that the
        tail has to see this too.
        """
        return any(
            heartbeat.sealed and heartbeat.view is not None and heartbeat.view.number == view.number
            for heartbeat in [*self.recent(), self.own_heartbeat()]
        )

    def voter_state(self, identifier: str, started_at_us: int) -> decisions.VoterState:
        """What this machine knows of another voter; one never heard is silent since `started_at_us`."""
        last = self.received.get(identifier)
        silent_us = self.runtime.now() - (started_at_us if last is None else last.received_at_us)
        leaves = last is not None and last.heartbeat.leaving
        return decisions.VoterState(
            replaceable=silent_us > timing.VOTER_REPLACEMENT_US or leaves, silent=silent_us > timing.PEER_TIMEOUT_US
        )

    # ---- exchange ------------------------------------------------------------

    def announce_departure(self) -> None:
        """Tell the others that this machine leaves: the next chain goes on without it."""
        self.leaving = True
        self.send_now.wake()

    def learn_seeds(self, seeds: collections.abc.Iterable[Address]) -> None:
        """Look for core machines at further addresses; they are no initial members."""
        self._seeds += [seed for seed in seeds if seed not in self._seeds]

    def addresses(self) -> set[Address]:
        """All addresses at which core machines are looked for, but this one's."""
        addresses = set(self._seeds)
        view = self.acceptor.view
        if view is not None:
            addresses |= {(voter.host, voter.port) for voter in view.voters}
        addresses.discard((self.own_voter.host, self.own_voter.port))
        return addresses

    def addresses_heard(self) -> set[Address]:
        """The same, with those of further core machines that live: newcomers that don't vote."""
        return self.addresses() | {(heartbeat.host, heartbeat.port) for heartbeat in self.recent()}

    async def exchange(self) -> None:
        """Keep one heartbeat task for each address."""
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
                pass  # the silence shows in `recent`
            await self.runtime.pause(self.send_now, timing.HEARTBEAT_INTERVAL_US)
