"""The replicated counters of one core machine, as the rest of the process uses them."""

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

REACHABILITY_DELAY_US = 3 * units.SECOND_US  # after a start, for which silence is not taken for a cut
READ_DELAY_US = 1_500 * units.MILLISECOND_US  # after a start, for which reads wait for comparisons
ACKNOWLEDGE_TIMEOUT_US = 2 * units.SECOND_US
MAX_UNSYNCED = 10_000  # adds accepted here; more are refused
MAX_ADDS = 300_000  # held in memory; more are refused
OWN_MACHINE = ("", 0)  # stands for this machine among the addresses of the others


class ReplicatedCounters:
    """Counters to which every core machine takes adds.

    Args:
        runtime: Clock and tasks.
        disk: Where adds are synced.
        state: What the data folder held at the start.
        peers: Calls to other machines.
        machine: This machine's identity.
        copies: How many machines hold an add before it is acknowledged, as long as so many can be reached.
        founding: Whether the whole system starts for the first time; else a disk without adds may be a new one.
        addresses: Gives the addresses of the other core machines.
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
        self.origin = f"{machine}-{runtime.incarnation}"  # never that of an earlier process: no sequence comes twice
        self.state = add_log.load(state)
        self.disk_log = add_log.AddLog(runtime, disk, self.state)
        self.replicator = replicator.Replicator(
            runtime, peers, self.state, self.disk_log, origin=self.origin, addresses=addresses
        )
        self.stopping = False
        self.few_copies_count = 0  # adds acknowledged by fewer than `copies` machines
        self._may_lack_all = not founding and not len(self.state.held)  # until enough others were compared with
        self._last_sequence = 0
        self._held_at_stop = counter_state.HeldAdds()

    def start(self) -> None:
        """Replicate what was found on the disk; with nothing there, wait until counters are used."""
        if len(self.state.held):
            self.replicator.activate()

    async def answer(self, request: message.ReplicateAdds) -> message.ReplicateAddsResponse:
        """Answer another core machine."""
        return await self.replicator.answer(request)

    # ---- calls -------------------------------------------------------------------

    async def add(self, call_id: counter_state.CallId, amount: int) -> None:
        """Add to a counter, once for each `call_id`; returns once the add is durable.

        An add whose `call_id` another machine took becomes a further entry here, which does not count: so it is
        durable by the same condition, whatever is known of the other machine.

        Raises:
            errors.ServiceError: It was refused, or it is not known whether it is durable (`unknown_outcome`).
        """
        self.replicator.activate()
        add_id = self.state.counted(call_id)
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
        """The sum of a counter, with all adds that this process acknowledged.

        Raises:
            errors.ServiceError: `not_ready`, where this machine has just started and may lack what others hold.
        """
        self.replicator.activate()
        if self._may_lack_adds():
            raise errors.ServiceError("not_ready", "This machine has just started and compares its counters.")
        return self.state.sum_of(name)

    def _may_lack_adds(self) -> bool:
        """Whether what others hold may be missing here, since this machine has just started.

        A machine without any adds may have a new disk. Of `copies` machines at least one kept its disk, so it waits
        until it has caught up with so many others that they and itself are `copies`, however long that takes.
        """
        if self._may_lack_all:
            self._may_lack_all = self.replicator.count_machines_caught_up_with() + 1 < self.copies
        just_started = self.runtime.now() - self.started_at_us < READ_DELAY_US
        return self._may_lack_all or (just_started and not self.replicator.holds_what_majority_had())

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

    # ---- leaving -------------------------------------------------------------------

    def stop(self) -> None:
        """Take no more adds."""
        self.stopping = True
        self._held_at_stop = self.state.held.copy()

    def is_still_needed(self) -> bool:
        """Whether fewer other machines than `copies`, or than there are, hold all that was held here at `stop`."""
        if not len(self._held_at_stop):
            return False
        wanted = min(self.copies, len(self.replicator.replicas))
        if self.replicator.count_machines_with(self._held_at_stop) >= wanted:
            return False
        self.replicator.compare_now()
        return True

    # ---- operators -----------------------------------------------------------------

    def show(self) -> dict[str, typing.Any]:
        """What operators see of the counters in `GET /state`."""
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
