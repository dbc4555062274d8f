"""Numbered changes of operators, which are checked against the committed state and applied at most once.

An operator gives each change a number, and names the number of the change that it is built on. If the answer is lost,
the operator may send the same change again to any core machine, which recognizes it by its identifier.
"""

from __future__ import annotations

import collections.abc
import typing

from iriswheel import errors
from iriswheel.configuration import configuration
from iriswheel.runtime import units
from iriswheel.transport import message

if typing.TYPE_CHECKING:
    from iriswheel.control import chain_client, core_parts, counters, tail_contact

TIMEOUT_US = 900 * units.MILLISECOND_US  # a change is answered within this time, with an unknown outcome if need be
RETRY_DELAY_US = 30 * units.MILLISECOND_US
MAX_PROBLEMS_SHOWN = 50  # configuration errors listed in one answer
NO_VERSION = 0  # base version in the id for a read that is made before the base version is known

MakeItems: typing.TypeAlias = collections.abc.Callable[[configuration.Items], dict[str, configuration.Item]]


class SubmittedChange(typing.NamedTuple):
    """A numbered change that an operator submitted.

    Attributes:
        identifier: The id that is the same each time the change is sent.
        number: The operator's number of the change.
        built_on: The number of the change that this one is based on.
        make_items: Computes the new items from the current ones, or raises InvalidConfigurationError.
        complete: Whether the change is a complete configuration, so that the new items don't depend on the old ones.
    """

    identifier: str
    number: int
    built_on: int
    make_items: MakeItems
    complete: bool = False

    def identifier_for_base(self, _version: int) -> str:
        """The id of the change, which does not depend on the version that it is proposed on."""
        return self.identifier

    def decide(self, known: KnownState) -> Decision:
        """Decide from a state whether the change is committed, can be proposed, or must be refused."""
        return decide(known, self)


class KnownState(typing.NamedTuple):
    """The part of the committed state that is needed to decide on a change."""

    version: int
    items: configuration.Items
    accepted_version: int  # version under which the change was accepted; 0: its id is not stored
    highest_dropped_number: int  # highest number of a change whose id is no longer stored
    read_at_tail: bool  # for this change, under the tail's lease; otherwise it may be out of date


class Committed(typing.NamedTuple):
    """The change is already committed, under this version."""

    version: int


class Applicable(typing.NamedTuple):
    """The change can be proposed, with these changes of items."""

    changes: list[configuration.ItemChange]


class Refused(typing.NamedTuple):
    """The change is refused on this state, with this error."""

    error: errors.ServiceError


Decision: typing.TypeAlias = Committed | Applicable | Refused


class ReplicatedChange(typing.Protocol):
    """A change of the replicated state that an operator requests: a numbered change or a zone order."""

    def identifier_for_base(self, version: int) -> str:
        """The id under which the change is proposed on a base version."""

    def decide(self, known: KnownState) -> Decision:
        """Decide from a state whether the change is committed, can be proposed, or must be refused."""


def items_after(change: SubmittedChange, items: configuration.Items) -> dict[str, configuration.Item]:
    """The items that result from a change, with the change's number stored among them.

    Raises:
        errors.ServiceError: `bad_blueprint`, with the errors of the configuration or of the number.

    >>> items_after(SubmittedChange("c0-3-x", 3, 0, dict), {"pools/p": {}})
    {'pools/p': {}, 'marks/operator': {'number': 3}}
    """
    problems = []
    if change.number <= change.built_on:
        problems.append(f"{configuration.OPERATOR_KEY}: number {change.number} is not above {change.built_on}")
    made: dict[str, configuration.Item] = {}
    try:
        made = change.make_items(items)
    except configuration.InvalidConfigurationError as error:
        problems += error.errors
    if problems:
        raise errors.ServiceError("bad_blueprint", "; ".join(problems[:MAX_PROBLEMS_SHOWN]), field="blueprint")
    return {**made, configuration.OPERATOR_KEY: {**made.get(configuration.OPERATOR_KEY, {}), "number": change.number}}


def decide(known: KnownState, change: SubmittedChange) -> Decision:
    """Decide from a state whether a change is committed, can be proposed, or must be refused.

    A change is committed if it is among the accepted changes. A complete configuration that equals the current one,
    number included, is proposed without any change of an item, whatever its base: then its id is stored as accepted,
    and a repetition after later changes is still recognized. Numbers only rise, so a change that is based on an
    earlier number than the current one can never be accepted.

    >>> change = SubmittedChange("c0-3-x", 3, 0, lambda items: {"pools/p": {}})
    >>> decide(KnownState(0, {}, 0, 0, True), change)
    Applicable(changes=[('marks/operator', {'number': 3}), ('pools/p', {})])
    >>> decide(KnownState(8, {"marks/operator": {"number": 3}}, 5, 0, True), change)
    Committed(version=5)
    >>> decide(KnownState(8, {"marks/operator": {"number": 4}}, 0, 0, True), change).error.code
    'base_moved'
    """
    if known.accepted_version:
        return Committed(known.accepted_version)
    current = configuration.operator_number(known.items)
    has_current_base = current == change.built_on
    may_be_in_force = change.complete and current == change.number
    if not has_current_base and not may_be_in_force:
        return Refused(_stale_base_error(known, change, current))
    before = configuration.without_evacuations(known.items)
    try:
        made = items_after(change, before)
    except errors.ServiceError as error:
        # its traceback refers to frames that hold the change's document, and later to the one that holds this refusal
        refusal = error.with_traceback(None)
        return Refused(refusal if has_current_base else _stale_base_error(known, change, current))
    changes = configuration.difference(before, made)
    is_in_force = may_be_in_force and not changes and bool(known.version)
    return (
        Applicable(changes) if has_current_base or is_in_force else Refused(_stale_base_error(known, change, current))
    )


def _stale_base_error(known: KnownState, change: SubmittedChange, current: int) -> errors.ServiceError:
    """The refusal of a change whose base is not the current number.

    If the id of the change may have been dropped, it is unknown whether the change was accepted.
    """
    if change.number <= known.highest_dropped_number:
        text = "Changes of that age are no longer remembered."
        return errors.ServiceError("unknown_outcome", text, errors.ExecutionOutcome.MAY_HAVE_RUN)
    return errors.ServiceError("base_moved", f"The blueprint is at number {current}.")


class ChangeApplier:
    """Proposes operators' changes to the head, and waits until every node has applied them."""

    def __init__(
        self,
        parts: core_parts.CoreParts,
        client: chain_client.ChainClient,
        contact: tail_contact.TailContact,
        counters: counters.Counters,
    ) -> None:
        self.parts = parts
        self.client = client
        self.contact = contact
        self.counters = counters

    async def apply_change(self, change: SubmittedChange) -> int:
        """Apply a numbered change, and wait until every node has applied it.

        A repeated change is recognized as accepted, even if later changes were accepted since. The head compares
        versions, so only one of two changes with the same base is accepted. A change is refused only after a read
        for this change at the tail, under the tail's lease.

        Returns and raises the same as `apply`.
        """
        return await self.apply(change, self.local_state_for(change))

    async def apply(self, change: ReplicatedChange, known: KnownState | None = None) -> int:
        """Commit a change, unless it is committed already, and wait until every node has applied it.

        Args:
            change: The change.
            known: The committed state to decide on in the first attempt; None to read it at the tail.

        Returns:
            The version under which the change is committed.

        Raises:
            errors.ServiceError: The change is refused, or is not known to be applied by all nodes after TIMEOUT_US.
                If this machine knows that it is cut off, it raises without further attempts.
        """
        until = self.parts.runtime.now() + TIMEOUT_US
        self.counters.changes += 1
        may_have_run = False
        last_problem: str | None = None
        while self.parts.runtime.now() < until:
            try:
                if known is None:
                    known = await self.tail_state_for(change, until - self.parts.runtime.now())
                outcome = await self._propose_once(known, change, until)
            except errors.ServiceError as error:
                may_have_run = may_have_run or error.execution is errors.ExecutionOutcome.MAY_HAVE_RUN
                known, last_problem = None, error.text
                if self.parts.consensus.is_cut_off():
                    break
                await self.parts.runtime.sleep(RETRY_DELAY_US)
                continue
            if isinstance(outcome, Committed):
                return outcome.version
            if known.read_at_tail:
                raise outcome.error
            known = None
        if may_have_run or last_problem is None:
            raise errors.ServiceError(
                "unknown_outcome",
                "It is not known yet whether the change was taken.",
                errors.ExecutionOutcome.MAY_HAVE_RUN,
            )
        raise errors.ServiceError("no_chain", f"The change can't be taken now: {last_problem}")

    def local_state_for(self, change: SubmittedChange) -> KnownState:
        """The state to decide on, from this machine's own replica, which may be out of date."""
        base = self.parts.chain.committed_state
        return KnownState(
            version=base.version,
            items=base.items,
            accepted_version=base.accepted_changes.get(change.identifier, 0),
            highest_dropped_number=base.highest_dropped_number,
            read_at_tail=False,
        )

    async def tail_state_for(self, change: ReplicatedChange, timeout_us: int) -> KnownState:
        """The state to decide on, read at the tail under its lease."""
        read = await self.client.read_at_tail(change.identifier_for_base(NO_VERSION), timeout_us)
        return KnownState(
            version=read.version,
            items=read.items,
            accepted_version=read.accepted_version,
            highest_dropped_number=read.highest_dropped_number,
            read_at_tail=True,
        )

    async def _propose_once(self, known: KnownState, change: ReplicatedChange, until: int) -> Committed | Refused:
        """Decide on a known state, propose the change if it is applicable, and wait until every node has applied it."""
        decision = change.decide(known)
        if isinstance(decision, Refused):
            return decision
        if isinstance(decision, Applicable):
            decision = Committed(await self._propose(known.version, change, decision.changes, until))
        await self.contact.wait_until_applied(decision.version, until)
        return decision

    async def _propose(
        self, base: int, change: ReplicatedChange, changes: list[configuration.ItemChange], until: int
    ) -> int:
        left = max(0, until - self.parts.runtime.now())
        identifier = change.identifier_for_base(base)
        try:
            return (await self.client.propose(message.ChangeKind.APPLY, identifier, base, changes, left)).version
        except errors.ServiceError as error:
            if error.code != "base_moved":
                raise
            # The caller retries: a read at the tail then shows whether this change was accepted.
            raise errors.ServiceError("no_chain", "Another change came first.") from error
