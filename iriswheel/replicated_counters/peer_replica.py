"""What a core machine knows of another machine's replica, and the choice of the next request to it (no I/O)."""

from __future__ import annotations

import typing

from iriswheel.replicated_counters import counter_state
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    import collections.abc

Address: typing.TypeAlias = tuple[str, int]

TICK_US = 100 * units.MILLISECOND_US
UNREACHABLE_TICKS = 6
"""The number of ticks without a due answer after which a machine counts as unreachable. Ticks are counted instead of
time because no tick passes while this process itself is paused or gets no processor time."""
COMPARE_INTERVAL_US = 1 * units.SECOND_US
UNSYNCED_COMPARE_INTERVAL_US = 200 * units.MILLISECOND_US  # while the machine has received adds that it has not synced
FORWARD_DELAY_US = 500 * units.MILLISECOND_US  # time that a reachable origin has to send its adds itself
BATCH_ADDS = 500  # most adds in one request


class PeerReplica:
    """Another core machine's replica, according to that machine's answers.

    Attributes:
        origin: The machine's identity and incarnation; empty until it has answered.
        synced: The adds that it has synced on its disk.
        received: The adds that it has synced, and those sent from here in calls that it answered.
        compared: Whether it has answered a comparison of all adds since the last failed call.
        compare_now: Whether the next request must contain a digest, without waiting for the interval.
        awaiting: Whether a call is under way, or has failed and will be retried.
        disk_ok: Whether its disk works.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self.origin = ""
        self.synced = counter_state.HeldAdds()
        self.received = counter_state.HeldAdds()
        self.compared = False
        self.compare_now = False
        self.compared_at_us = 0
        self.awaiting = False
        self.silent_ticks = 0
        self.disk_ok = True
        self._to_forward = counter_state.HeldAdds()  # adds of other origins to send from here
        # adds that the peer lacked at the comparison made at `_missing_noted_at_us`
        self._missing_at_comparison = counter_state.HeldAdds()
        self._missing_noted_at_us = 0
        self._sent_adds = counter_state.HeldAdds()  # adds sent in the call under way
        self._digested_adds = counter_state.HeldAdds()  # adds covered by the digest of the call under way

    # ---- reachability ------------------------------------------------------------

    def tick(self) -> None:
        """Count one tick of silence if an answer is due; called every TICK_US."""
        if self.awaiting:
            self.silent_ticks += 1

    @property
    def reachable(self) -> bool:
        """Whether the machine has been silent for fewer than UNREACHABLE_TICKS ticks."""
        return self.silent_ticks < UNREACHABLE_TICKS

    @property
    def writable(self) -> bool:
        """Whether the machine can sync an add now: it can be reached and its disk works."""
        return self.reachable and self.disk_ok

    # ---- requests ------------------------------------------------------------

    def lacking(self, held: counter_state.HeldAdds, own_origin: str) -> counter_state.HeldAdds:
        """Return the adds to send: those accepted here, and those of other origins found missing by a comparison."""
        candidates = self._to_forward.copy()
        candidates.by_origin[own_origin] = held.of_origin(own_origin)
        return self.received.missing_of(candidates)

    def comparison_due(self, now: int) -> bool:
        """Whether the next request must contain a digest of all adds."""
        interval_us = COMPARE_INTERVAL_US if self.synced == self.received else UNSYNCED_COMPARE_INTERVAL_US
        return not self.compared or self.compare_now or now - self.compared_at_us >= interval_us

    def next_request(
        self, counters: counter_state.CounterState, own_origin: str, now: int
    ) -> message.ReplicateAdds | None:
        """Return the next request to the machine; None if none is due.

        Until the first comparison after a failed call, requests contain only the digest: the machine may already hold
        all adds. An unreachable machine too is sent only digests.
        """
        batches = []
        if self.compared and self.reachable:
            batches = counters.newest(self.lacking(counters.held, own_origin), BATCH_ADDS)
        compare = self.comparison_due(now)
        if not batches and not compare:
            return None
        self._sent_adds = counter_state.HeldAdds()
        for batch in batches:
            for add in batch.adds:
                self._sent_adds.add(counter_state.AddId(batch.origin, add.sequence))
        digest = b""
        if compare:
            self._digested_adds = counters.held.copy()
            digest = self._digested_adds.digest()
            self.compare_now = False
            self.compared_at_us = now
        return message.ReplicateAdds(own_origin, batches, digest)

    # ---- answers ---------------------------------------------------------

    def apply_response(
        self,
        response: message.ReplicateAddsResponse,
        held: counter_state.HeldAdds,
        live_origins: collections.abc.Collection[str],
        now: int,
    ) -> None:
        """Record the answer to the call under way, and choose the adds of other origins to forward.

        Args:
            response: The answer.
            held: The adds held here.
            live_origins: The origins that can be reached from here. They are expected to send their adds themselves;
                adds that are still missing FORWARD_DELAY_US later are forwarded from here.
            now: The time in µs.
        """
        self.awaiting = False
        self.silent_ticks = 0
        if response.sender != self.origin:  # a new incarnation, which lost its memory and perhaps its disk
            self.origin = response.sender
            self.synced, self.received = counter_state.HeldAdds(), counter_state.HeldAdds()
        self.disk_ok = response.disk_ok
        if response.complete:
            self.synced = self._digested_adds.copy() if response.same else counter_state.HeldAdds(response.held)
            self.compared = True
        else:
            self.synced.update(counter_state.HeldAdds(response.held))
        self.received.update(self._sent_adds)
        self.received.update(self.synced)
        if response.complete:
            self._choose_to_forward(self.received.missing_of(held), live_origins, now)

    def _choose_to_forward(
        self, lacking: counter_state.HeldAdds, live_origins: collections.abc.Collection[str], now: int
    ) -> None:
        self._to_forward = lacking.without_origins(live_origins)
        if now - self._missing_noted_at_us >= FORWARD_DELAY_US:
            self._to_forward.update(lacking.intersection(self._missing_at_comparison))
            self._missing_at_comparison, self._missing_noted_at_us = lacking, now

    def fail(self) -> None:
        """Record that the call under way failed, so that the adds sent in it may or may not have arrived."""
        self.compared = False
