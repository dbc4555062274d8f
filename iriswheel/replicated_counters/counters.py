"""The interface of one core machine's replicated counters: add, read, and stop without losing adds."""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.replicated_counters import add_log, counter_state, durability, replicator
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    import collections.abc

    from iriswheel.replicated_counters import peer_replica
    from iriswheel.runtime import scheduler, storage
    from iriswheel.transport import peer_calls

REACHABILITY_DELAY_US = 3 * units.SECOND_US  # time after the start in which silence does not count as a partition
READ_DELAY_US = 1_500 * units.MILLISECOND_US  # time after the start in which reads need a comparison with a majority
ACKNOWLEDGE_TIMEOUT_US = 2 * units.SECOND_US
MAX_UNSYNCED = 10_000  # most adds accepted by this process and not synced on its disk yet
MAX_ADDS = 300_000  # most adds held in memory
OWN_MACHINE = ("", 0)  # placeholder for this machine in sets of addresses


class ReplicatedCounters:
    """The replicated counters as seen by one core machine; every core machine accepts adds.

    Args:
        runtime: Clock and tasks.
        disk: The disk on which adds are synced.
        state: The stored keys and values that the data folder held at the start.
        peers: Calls to other machines.
        machine: This machine's identity.
        copies: How many machines must hold an add before it is acknowledged, while that many can be reached.
        founding: Whether the whole system starts for the first time. At any other start a disk without adds may be a
            replacement for one that held adds.
        addresses: Returns the addresses of the other core machines.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        disk: storage.MonitoredDisk,
        state: dict[bytes, bytes],
        *,
        peers: peer_calls.PeerCalls,
        machine: str,
        copies: int,
        founding: bool,
        addresses: collections.abc.Callable[[], set[peer_replica.Address]],
    ) -> None:
        self.runtime = runtime
        self.copies = copies
        self.started_at_us = runtime.now()
        self.origin = f"{machine}-{runtime.incarnation}"  # new at each start, so that no AddId is used twice
        self.state = add_log.load(state)
        self.disk_log = add_log.AddLog(runtime, disk, self.state)
        self.replicator = replicator.Replicator(
            runtime, peers, self.state, self.disk_log, origin=self.origin, addresses=addresses
        )
        self.stopping = False
        self.few_copies_count = 0  # adds acknowledged while fewer than `copies` machines held them
        # whether the disk may have replaced one that held adds; cleared by enough comparisons with other machines
        self._may_have_new_disk = not founding and not len(self.state.held)
        self._last_sequence = 0
        self._held_at_stop = counter_state.HeldAdds()

    def start(self) -> None:
        """Start replication if the disk held adds; otherwise replication starts when counters are first used."""
        if len(self.state.held):
            self.replicator.activate()

    async def answer(self, request: message.ReplicateAdds) -> message.ReplicateAddsResponse:
        """Insert the adds that another core machine sent, and return which adds are synced here."""
        return await self.replicator.answer(request)

    # ---- calls -------------------------------------------------------------------

    async def add(self, call_id: counter_state.CallId, amount: int) -> None:
        """Add to a counter, once for each `call_id`; return once the add is durable.

        If another machine accepted the same `call_id` and its add is not known to be durable, this machine accepts it
        again as an add of its own. The sum counts only one of them, and the own add becomes durable by the usual rule,
        whatever this machine knows of the other one.

        Raises:
            errors.ServiceError: The add was refused, or did not become durable within ACKNOWLEDGE_TIMEOUT_US and may
                still do so (`unknown_outcome`).
        """
        self.replicator.activate()
        add_id = self.state.counted_add_id(call_id)
        if add_id is None or not (add_id.origin == self.origin or self._is_durable(add_id)):
            self._refuse_if_unable()
            add_id = self._accept(call_id, amount)
        until = self.runtime.now() + ACKNOWLEDGE_TIMEOUT_US
        while not self._is_durable(add_id):
            left_us = until - self.runtime.now()
            if left_us <= 0:
                raise errors.ServiceError(
                    "unknown_outcome", "Too few machines hold the add yet.", errors.ExecutionOutcome.MAY_HAVE_RUN
                )
            await self.runtime.pause(self.replicator.progress, left_us)
        if len(self._holders(add_id)) < self.copies:
            self.few_copies_count += 1

    def sum_of(self, name: str) -> int:
        """Return the sum of a counter, including all adds that this process acknowledged.

        Raises:
            errors.ServiceError: `not_ready`: this machine has just started and may lack adds that other machines hold.
        """
        self.replicator.activate()
        if self._may_lack_adds():
            raise errors.ServiceError("not_ready", "This machine has just started and compares its counters.")
        return self.state.sum_of(name)

    def _may_lack_adds(self) -> bool:
        """Whether this machine has just started and may lack adds that other machines hold.

        A machine that starts without any adds may have a replaced disk. At least one of any `copies` machines kept its
        disk, so this machine waits, however long that takes, until it holds all adds of so many other machines that
        together with itself they are `copies`.
        """
        if self._may_have_new_disk:
            self._may_have_new_disk = self.replicator.count_machines_caught_up_with() + 1 < self.copies
        just_started = self.runtime.now() - self.started_at_us < READ_DELAY_US
        return self._may_have_new_disk or (just_started and not self.replicator.has_caught_up_with_majority())

    def _refuse_if_unable(self) -> None:
        if self.stopping:
            raise errors.ServiceError("stopping", "This machine is leaving.")
        if self._last_sequence - len(self.disk_log.synced.of_origin(self.origin)) >= MAX_UNSYNCED:
            raise errors.ServiceError("busy", "Too many adds wait for the disk.")
        if len(self.state.held) >= MAX_ADDS:
            raise errors.ServiceError("busy", "This machine holds as many adds as it can.")
        if not self.disk_log.is_working() and len(self.replicator.writable()) < self.copies:
            raise errors.ServiceError("too_few_copies", "The disk does not work, nor do enough others.")

    def _accept(self, call_id: counter_state.CallId, amount: int) -> counter_state.AddId:
        self._last_sequence += 1
        add = message.CounterAdd(self._last_sequence, call_id.name, call_id.id, amount)
        add_id = counter_state.AddId(self.origin, add.sequence)
        self.state.insert(self.origin, add)
        self.disk_log.append([add_id])
        self.replicator.send_now()
        return add_id

    # ---- durability ----------------------------------------------------------------

    def _holders(self, add_id: counter_state.AddId) -> set[peer_replica.Address]:
        own = {OWN_MACHINE} if add_id in self.disk_log.synced else set()
        return self.replicator.holders(add_id) | own

    def _is_durable(self, add_id: counter_state.AddId) -> bool:
        own = {OWN_MACHINE} if self.disk_log.is_working() else set()
        return durability.is_durable(
            self._holders(add_id),
            self.replicator.writable() | own,
            self.copies,
            own=OWN_MACHINE,
            reachability_known=self.runtime.now() - self.started_at_us >= REACHABILITY_DELAY_US,
        )

    # ---- stopping ------------------------------------------------------------------

    def stop(self) -> None:
        """Refuse further adds from callers; adds of other machines are still replicated."""
        self.stopping = True
        self._held_at_stop = self.state.held.copy()

    def is_still_needed(self) -> bool:
        """Whether this process must stay to replicate its adds.

        It must until `copies` other machines, or all of them if there are fewer, hold all adds held here at `stop`.
        """
        if not len(self._held_at_stop):
            return False
        wanted = min(self.copies, len(self.replicator.replicas))
        if self.replicator.count_machines_with(self._held_at_stop) >= wanted:
            return False
        self.replicator.compare_now()
        return True

    # ---- operators -----------------------------------------------------------------

    def show(self) -> dict[str, typing.Any]:
        """Return the state of the counters that operators see in `GET /state`."""
        held = self.state.held
        return {
            "entries": len(held),
            "origins": len(held.by_origin),
            "unsynced": self.disk_log.unsynced_count,
            "few_copies": self.few_copies_count,
            "peers": {
                f"{host}:{port}": {"reachable": replica.reachable, "lag": self.replicator.lag(replica)}
                for (host, port), replica in sorted(self.replicator.replicas.items())
            },
        }
