"""What a core machine knows of another one's replica of the counters, and what it sends there next: no I/O."""

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
"""A machine that owes an answer for so many ticks is unreachable. Ticks are counted, not time: while this process
itself is paused or starved, none passes."""
COMPARE_INTERVAL_US = 1 * units.SECOND_US
UNSYNCED_COMPARE_INTERVAL_US = 200 * units.MILLISECOND_US  # while the other one has adds that it has not synced
FORWARD_DELAY_US = 500 * units.MILLISECOND_US  # for which adds of a live origin are left to that origin
BATCH_ADDS = 500  # in one message


class PeerReplica:
    """Another core machine's replica, as far as it has told.

    Attributes:
        origin: The machine's identity and incarnation; empty until it has answered.
        synced: The adds that it has synced on its disk.
        received: The adds that it got from here or has synced.
        compared: Whether `synced` was compared as a whole since the last failed call.
        awaiting: Whether a call is under way, or has failed and will be tried again.
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
        self._to_forward = counter_state.HeldAdds()  # adds of other origins that are sent from here
        self._missing_at_comparison = (
            counter_state.HeldAdds()
        )  # what it lacked at a comparison FORWARD_DELAY_US ago or more
        self._missing_noted_at_us = 0
        self._sent_adds = counter_state.HeldAdds()  # what the call under way brings
        self._digested_adds = counter_state.HeldAdds()  # what the digest of the call under way covers

    # ---- reachability ------------------------------------------------------------

    def tick(self) -> None:
        """Count TICK_US of silence, where an answer is due."""
        if self.awaiting:
            self.silent_ticks += 1

    @property
    def reachable(self) -> bool:
        """Whether its silence, if any, is short."""
        return self.silent_ticks < UNREACHABLE_TICKS

    @property
    def writable(self) -> bool:
        """Whether it may sync an add now."""
        return self.reachable and self.disk_ok

    # ---- what to send ------------------------------------------------------------

    def lacking(self, held: counter_state.HeldAdds, own_origin: str) -> counter_state.HeldAdds:
        """The adds to send: those accepted here, and those of others that a comparison showed to be lacking."""
        candidates = self._to_forward.copy()
        candidates.by_origin[own_origin] = held.of_origin(own_origin)
        return self.received.missing_of(candidates)

    def comparison_due(self, now: int) -> bool:
        """Whether the whole is to be compared with the next message."""
        interval_us = COMPARE_INTERVAL_US if self.synced == self.received else UNSYNCED_COMPARE_INTERVAL_US
        return not self.compared or self.compare_now or now - self.compared_at_us >= interval_us

    def next_request(
        self, counters: counter_state.CounterState, own_origin: str, now: int
    ) -> message.ReplicateAdds | None:
        """The next message to it; None where nothing is due.

        Before a comparison nothing but the digest is sent: it may hold all from before.
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

    # ---- what comes back ---------------------------------------------------------

    def apply_response(
        self,
        response: message.ReplicateAddsResponse,
        held: counter_state.HeldAdds,
        live_origins: collections.abc.Collection[str],
        now: int,
    ) -> None:
        """Note the answer to the call under way.

        Args:
            response: The answer.
            held: What is held here; what of it is lacking there is sent from here.
            live_origins: The origins that can be reached from here, which bring their adds there themselves: unless
                they turn out not to.
            now: The time.
        """
        self.awaiting = False
        self.silent_ticks = 0
        if response.sender != self.origin:  # another incarnation: its memory is lost, perhaps its disk too
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
        """Note that the call under way failed: what it brought may have come or not."""
        self.compared = False
