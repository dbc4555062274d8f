"""Replication of the counters between core machines, with one task and one call at a time for each other machine."""

from __future__ import annotations

import typing

import loguru

from iriswheel.consensus import decisions
from iriswheel.replicated_counters import counter_state, peer_replica
from iriswheel.runtime import scheduler, units
from iriswheel.transport import message, wire

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.replicated_counters import add_log
    from iriswheel.transport import peer_calls

CALL_TIMEOUT_US = 1 * units.SECOND_US
# Longest time for which an answer waits for the disk; shorter than the silence of `peer_replica.UNREACHABLE_TICKS`, so
# that a peer does not count this machine as unreachable while its disk is slow.
SYNC_WAIT_US = 400 * units.MILLISECOND_US
RETRY_INTERVAL_US = 200 * units.MILLISECOND_US
ADDRESS_INTERVAL_US = 250 * units.MILLISECOND_US

log = loguru.logger.bind(part="counters")


class Replicator:
    """Sends missing adds to the other core machines, inserts adds that they send, and tracks their replicas.

    Nothing is sent before `activate`, so that a fleet that uses no counters sends no messages for them.

    Args:
        runtime: Clock and tasks.
        peers: Calls to other machines.
        counters: The state that is replicated.
        disk_log: The log that syncs adds on this machine's disk.
        origin: The origin of adds accepted here: this machine and incarnation.
        addresses: Returns the addresses of the other core machines.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        peers: peer_calls.PeerCalls,
        counters: counter_state.CounterState,
        disk_log: add_log.AddLog,
        *,
        origin: str,
        addresses: collections.abc.Callable[[], set[peer_replica.Address]],
    ) -> None:
        self.runtime = runtime
        self.peers = peers
        self.counters = counters
        self.disk_log = disk_log
        self.origin = origin
        self.addresses = addresses
        self.replicas: dict[peer_replica.Address, peer_replica.PeerReplica] = {}
        self.progress = disk_log.progress  # also woken at each answer of a peer, at its requests and at every tick
        self.active = False
        self._send_now = scheduler.Signal()

    def activate(self) -> None:
        """Start the replication tasks unless they run already."""
        if self.active:
            return
        self.active = True
        self._refresh()
        for coroutine in (self._refresh_periodically(), self._tick_periodically()):
            self.runtime.spawn(coroutine, log)

    # ---- other machines' replicas -------------------------------------------------------------

    def holders(self, add_id: counter_state.AddId) -> set[peer_replica.Address]:
        """Return the other machines that are known to have synced an add."""
        return {address for address, replica in self.replicas.items() if add_id in replica.synced}

    def writable(self) -> set[peer_replica.Address]:
        """Return the other machines that can sync an add now."""
        return {address for address, replica in self.replicas.items() if replica.writable}

    def has_caught_up_with_majority(self) -> bool:
        """Whether this machine holds all adds that a majority (itself included) held at the last comparisons."""
        return self.count_machines_caught_up_with() + 1 >= decisions.majority(len(self.replicas) + 1)

    def count_machines_caught_up_with(self) -> int:
        """Return how many other machines were compared with and have no synced add that is missing here."""
        return sum(
            replica.compared and self.counters.held.has_all_of(replica.synced) for replica in self.replicas.values()
        )

    def count_machines_with(self, adds: counter_state.HeldAdds) -> int:
        """Return how many other machines are known to have synced all of `adds`."""
        return sum(replica.synced.has_all_of(adds) for replica in self.replicas.values())

    def _live_origins(self) -> set[str]:
        """Return the origins of the other machines that can be reached."""
        return {replica.origin for replica in self.replicas.values() if replica.reachable}

    def lag(self, replica: peer_replica.PeerReplica) -> int:
        """Return how many of the adds held here a machine is not known to have synced."""
        return len(replica.synced.missing_of(self.counters.held))

    # ---- requests of other machines ------------------------------------------------------------

    async def answer(self, request: message.ReplicateAdds) -> message.ReplicateAddsResponse:
        """Insert the adds of a request, wait for the disk, and return which adds are synced here.

        The answer covers the origins of the request, or all origins if the request contains a digest.
        """
        self.activate()
        if request.batches:
            wanted = self._insert(request.batches)
            self.progress.wake()
            await self.disk_log.wait_until_synced(wanted, SYNC_WAIT_US)
        return self._response(request)

    def _insert(self, batches: list[message.OriginAdds]) -> counter_state.HeldAdds:
        """Insert adds and start writing those that are new here; return the set of all of them."""
        received, new = counter_state.HeldAdds(), []
        for batch in batches:
            for add in batch.adds:
                add_id = counter_state.AddId(batch.origin, add.sequence)
                received.add(add_id)
                if self.counters.insert(batch.origin, add):
                    new.append(add_id)
        self.disk_log.append(new)
        return received

    def _response(self, request: message.ReplicateAdds) -> message.ReplicateAddsResponse:
        synced, disk_ok = self.disk_log.synced, self.disk_log.is_working()
        if not request.digest:
            held = synced.to_intervals({batch.origin for batch in request.batches})
            return message.ReplicateAddsResponse(self.origin, disk_ok, complete=False, held=held)
        if synced.digest() == request.digest:
            return message.ReplicateAddsResponse(self.origin, disk_ok, complete=True, same=True)
        return message.ReplicateAddsResponse(self.origin, disk_ok, complete=True, held=synced.to_intervals())

    # ---- tasks -----------------------------------------------------------------------

    def send_now(self) -> None:
        """Send newly accepted adds without waiting for the interval."""
        self._send_now.wake()

    def compare_now(self) -> None:
        """Start a comparison with each other machine now."""
        for replica in self.replicas.values():
            replica.compare_now = True
        self._send_now.wake()

    def _refresh(self) -> None:
        """Forget replicas whose address is gone, and start one replication task for each new address."""
        addresses = self.addresses()
        for address in [known for known in self.replicas if known not in addresses]:
            del self.replicas[address]
        for address in sorted(addresses):
            if address not in self.replicas:
                replica = self.replicas[address] = peer_replica.PeerReplica(address)
                self.runtime.spawn(self._replicate_to(replica), log)

    async def _refresh_periodically(self) -> None:
        while True:
            await self.runtime.sleep(ADDRESS_INTERVAL_US)
            self._refresh()

    async def _tick_periodically(self) -> None:
        while True:
            await self.runtime.sleep(peer_replica.TICK_US)
            for replica in self.replicas.values():
                was_reachable = replica.reachable
                replica.tick()
                if was_reachable and not replica.reachable:
                    log.warning("Counter replication: core machine {}:{} can't be reached.", *replica.address)
            self.progress.wake()

    async def _replicate_to(self, replica: peer_replica.PeerReplica) -> None:
        """Send requests to one machine for as long as its address is known; one task."""
        while self.replicas.get(replica.address) is replica:
            request = replica.next_request(self.counters, self.origin, self.runtime.now())
            if request is None or not await self._exchange(replica, request):
                await self.runtime.pause(self._send_now, RETRY_INTERVAL_US)

    async def _exchange(self, replica: peer_replica.PeerReplica, request: message.ReplicateAdds) -> bool:
        """Make one call; return False if it failed or the peer's disk does not work, so that the next one must wait."""
        replica.awaiting = True
        host, port = replica.address
        try:
            response = await self.peers.call(host, port, request, CALL_TIMEOUT_US)
        except (wire.ConnectionBrokenError, scheduler.DeadlineError):
            replica.fail()
            return False
        if not replica.reachable:
            log.info("Counter replication: core machine {}:{} answers again.", *replica.address)
        answer = typing.cast("message.ReplicateAddsResponse", response)  # the only type of answer to ReplicateAdds
        replica.apply_response(answer, self.counters.held, self._live_origins(), self.runtime.now())
        self.progress.wake()
        return answer.disk_ok
