"""The tail of the chain: it commits the entries that all replicas have synced, and answers reads."""

from __future__ import annotations

import typing

from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.replication import chain_position, replicated_log


class Tail:
    """Commits entries and answers reads while this machine is the tail."""

    def __init__(self, position: chain_position.ChainPosition, log: replicated_log.ReplicatedLog) -> None:
        self.position = position
        self.log = log
        # Entries found on the disk may have been acknowledged before the restart; the disk does not record which.
        self._holds_recovered_entries = log.last_index > log.committed_state.index
        self._committed_view = 0  # the newest view in which this tail had committed all its entries

    def commit_synced(self, view_number: int) -> None:
        """Commit all entries stored here, if this machine is the synced tail of a view: then all replicas have them.

        A chain with too few copies commits only entries that were found on the disk at the start, since they may have
        been acknowledged.
        """
        view = self.position.consensus.view
        if view is None or not self.position.is_tail_of(view_number) or not self.position.is_synced():
            return
        if self.position.has_enough_copies(view) or self._holds_recovered_entries:
            self._holds_recovered_entries = False
            self.log.commit(self.log.last_index)
        if self.log.committed_state.index >= self.log.last_index:
            self._committed_view = view_number

    def answer_read(self, request: message.ReadRequest) -> message.ReadResponse:
        """Answer a read, if this machine is the tail, holds the lease and has committed all its entries in this view.

        A new tail may hold uncommitted entries that the previous tail had already committed and used in answers.
        Until it has committed them too, it refuses reads.
        """
        consensus = self.position.consensus
        if not consensus.holds_lease() or consensus.view is None or self._committed_view != consensus.view.number:
            return message.ReadResponse(False)
        state = self.log.committed_state
        plan = state.plans.get(request.plan)
        plan_fields = None
        if plan is not None:
            plan_fields = {"id": request.plan, "base": plan.base, "stamp": plan.version, "changes": plan.changes}
        accepted_version = state.accepted_changes.get(request.plan, 0)
        return message.ReadResponse(
            True, state.version, dict(state.items), plan_fields, accepted_version, state.highest_dropped_number
        )
