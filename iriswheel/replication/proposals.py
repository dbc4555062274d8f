"""Operators' changes at the head of the chain: checked, appended to the log, and answered once they are committed."""

from __future__ import annotations

import typing

from iriswheel import errors
from iriswheel.replication import applied_entries
from iriswheel.runtime import storage
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.replication import chain_position, replicated_log, replicated_state, tail

# Size of the entries that wait to be committed, from which on no change is taken.
MAX_UNCOMMITTED_BYTES = applied_entries.MAX_BYTES


def refuse(code: str, text: str) -> message.ProposeChangeResponse:
    """A refusal: the change has not run, and this request will not cause it to run later."""
    return message.ProposeChangeResponse(code, errors.ExecutionOutcome.NOT_RUN.value, text)


def index_of_accepted(state: replicated_state.ReplicatedState, request: message.ProposeChange) -> int | None:
    """The log index at which the same change was accepted before; None if it is new or its id was dropped."""
    if request.kind == message.ChangeKind.PLAN:
        plan = state.plans.get(request.plan)
        return plan.index if plan is not None else None
    return state.accepted_changes.get(request.plan)


def refusal_of_new_change(
    state: replicated_state.ReplicatedState, request: message.ProposeChange
) -> message.ProposeChangeResponse | None:
    """The refusal of a change that can't follow this state (unknown plan, outdated base); None if it can."""
    base = request.base
    if request.kind == message.ChangeKind.CONFIRM:
        plan = state.plans.get(request.plan)
        if plan is None:
            return _refuse_unknown_plan(state, request.plan)
        base = plan.base
    if base == state.version:
        return None
    subject = "change" if request.kind == message.ChangeKind.APPLY else "plan"
    return refuse("base_moved", f"The blueprint is at {state.version}, the {subject}'s base is {base}.")


def _refuse_unknown_plan(state: replicated_state.ReplicatedState, identifier: str) -> message.ProposeChangeResponse:
    """Refuse to confirm a plan that the state does not hold.

    A plan's id begins with the version it is based on. A plan based on an older version may have been
    confirmed and dropped since, so its outcome is unknown.
    """
    prefix = identifier.split("-")[0]
    if prefix.isdigit() and int(prefix) < state.version:
        return message.ProposeChangeResponse(
            "not_found",
            errors.ExecutionOutcome.MAY_HAVE_RUN.value,
            "The plan is no longer remembered.",
        )
    return refuse("not_found", "There is no such plan.")


class Proposals:
    """Admits operators' changes at the head, one at a time, against the newest state of the log."""

    def __init__(
        self,
        position: chain_position.ChainPosition,
        log: replicated_log.ReplicatedLog,
        chain_tail: tail.Tail,
    ) -> None:
        self.position = position
        self.log = log
        self.tail = chain_tail

    async def propose(self, request: message.ProposeChange) -> message.ProposeChangeResponse:
        """Append a change to the log and wait until it is committed; a repeated change gets the same answer again."""
        async with self.log.lock:
            refused = self._refusal_while_unavailable(request.view)
            if refused is not None:
                return refused
            index = index_of_accepted(self.log.latest_state, request)
            if index is None:
                refused = self._refusal_while_backlogged() or refusal_of_new_change(self.log.latest_state, request)
                if refused is not None:
                    return refused
                try:
                    index = await self._append(request)
                except storage.DiskError:
                    return message.ProposeChangeResponse(
                        "no_chain", errors.ExecutionOutcome.MAY_HAVE_RUN.value, "The head's disk does not work."
                    )
        return await self._wait_for_outcome(request, index)

    def _refusal_while_unavailable(self, view_number: int) -> message.ProposeChangeResponse | None:
        """The refusal while this machine can't accept any change; None if it can."""
        view = self.position.consensus.view
        if view is None or self.position.index_in(view_number) != 0 or not self.position.is_synced():
            return refuse("no_chain", "This machine is not the head of the chain now.")
        if not self.position.has_enough_copies(view):
            copies = self.position.consensus.required_copies
            text = f"Machines with a disk: {len(view.chain)} are there, {copies} must keep a change."
            return refuse("too_few_copies", text)
        if not self.log.disk.ok:
            return refuse("no_chain", "The head's disk does not work.")
        return None

    def _refusal_while_backlogged(self) -> message.ProposeChangeResponse | None:
        """The refusal while more changes wait to be committed than this machine keeps in memory."""
        if self.log.uncommitted_bytes > MAX_UNCOMMITTED_BYTES:
            return refuse("no_chain", "Too many changes wait for the other machines of the chain.")
        return None

    async def _append(self, request: message.ProposeChange) -> int:
        index = self.log.last_index + 1
        entry = message.LogEntry(index, request.view, request.kind, request.plan, request.base, request.changes)
        await self.log.append([entry])
        self.log.appended.wake()
        self.tail.commit_synced(request.view)  # if one copy is enough, the head may be the tail as well
        return index

    async def _wait_for_outcome(self, request: message.ProposeChange, index: int) -> message.ProposeChangeResponse:
        """Wait until the entry of a change is committed or the view has ended, and return the answer."""
        unknown = message.ProposeChangeResponse(
            "unknown_outcome",
            errors.ExecutionOutcome.MAY_HAVE_RUN.value,
            "The chain changed meanwhile.",
        )
        while self.log.committed_state.index < index:
            if not self.position.serves_in(request.view):
                return unknown
            await self.log.committed.wait()
        entry = self.log.entries.get(index)
        if not self.position.serves_in(request.view) and (entry is None or entry.plan != request.plan):
            return unknown  # a newer view may have put another entry at this index
        version = request.base if request.kind == message.ChangeKind.PLAN else index
        return message.ProposeChangeResponse("", errors.ExecutionOutcome.RAN.value, version=version)
