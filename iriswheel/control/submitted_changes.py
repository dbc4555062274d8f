"""Numbered changes of operators: checked against the committed state and applied at most once.

An operator gives each change a number, and the number that it is built on. After a lost answer
the same change may be sent again, to any core machine, and is recognized by its identifier.
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

TIMEOUT_US = 900 * units.MILLISECOND_US  # a change is answered within this, known or not
RETRY_DELAY_US = 30 * units.MILLISECOND_US
MAX_PROBLEMS_SHOWN = 50
NO_VERSION = 0  # for the id in a read before a change's base is known

MakeItems: typing.TypeAlias = collections.abc.Callable[[configuration.Items], dict[str, configuration.Item]]


class SubmittedChange(typing.NamedTuple):
    """An operator's change with the number `number`, built on the number `built_on`.

    make(items) gives the new items, or raises InvalidConfigurationError. `complete` says that these
    don't depend on the old ones.
    """

    identifier: str
    number: int
    built_on: int
    make: MakeItems
    complete: bool = False

    def identifier_for_base(self, _version: int) -> str:
        """The id of the change, on whichever version it is proposed."""
        return self.identifier

    def decide(self, known: KnownState) -> Decision:
        """Decide from a state whether the change is committed, can be proposed, or must be refused."""
        return decide(known, self)


class KnownState(typing.NamedTuple):
    """What was read of the committed state, to decide about a change."""

    version: int
    items: configuration.Items
    accepted_version: int  # the version under which the change was taken; 0: it is not among those remembered
    highest_dropped_number: int  # the highest number of a change that is no longer remembered
    read_at_tail: bool  # for this change, under the tail's lease; else it may be out of date


class Committed(typing.NamedTuple):
    """The change is committed, under a version."""

    version: int


class Applicable(typing.NamedTuple):
    """The change can be taken: it makes these changes."""

    changes: list[configuration.ItemChange]


class Refused(typing.NamedTuple):
    """The change can't be taken on this state."""

    error: errors.ServiceError


Decision: typing.TypeAlias = Committed | Applicable | Refused


class ReplicatedChange(typing.Protocol):
    """A change of the replicated state that an operator asks for."""

    def identifier_for_base(self, version: int) -> str:
        """The id under which the change is proposed on a version."""

    def decide(self, known: KnownState) -> Decision:
        """Decide from a state whether the change is committed, can be proposed, or must be refused."""


def items_after(change: SubmittedChange, items: configuration.Items) -> dict[str, configuration.Item]:
    """The items that a change makes of others, under its number.

    Raises:
        errors.ServiceError: `bad_blueprint`, with what is wrong.

    >>> items_after(SubmittedChange("c0-3-x", 3, 0, dict), {"pools/p": {}})
    {'pools/p': {}, 'marks/operator': {'number': 3}}
    """
    problems = []
    if change.number <= change.built_on:
        problems.append(f"{configuration.OPERATOR_KEY}: number {change.number} is not above {change.built_on}")
    made: dict[str, configuration.Item] = {}
    try:
        made = change.make(items)
    except configuration.InvalidConfigurationError as error:
        problems += error.errors
    if problems:
        raise errors.ServiceError("bad_blueprint", "; ".join(problems[:MAX_PROBLEMS_SHOWN]), field="blueprint")
    return {**made, configuration.OPERATOR_KEY: {**made.get(configuration.OPERATOR_KEY, {}), "number": change.number}}


def decide(known: KnownState, change: SubmittedChange) -> Decision:
    """Decide from a state whether a change is committed, can be proposed, or must be refused.

    A change is committed where it is among those taken. A complete one that would make just the state that is there
    is proposed without any change of an item, on whichever base it was sent: so it is remembered as taken, and found
    so after later changes. Numbers rise, so a change on a number that was passed can't be taken any more.

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
        return Refused(error if has_current_base else _stale_base_error(known, change, current))
    changes = configuration.difference(before, made)
    is_in_force = may_be_in_force and not changes and bool(known.version)
    return (
        Applicable(changes) if has_current_base or is_in_force else Refused(_stale_base_error(known, change, current))
    )


def _stale_base_error(known: KnownState, change: SubmittedChange, current: int) -> errors.ServiceError:
    """The refusal of a change whose base is not the present number.

    Where the id of a change may have been forgotten, nobody knows whether it was taken.
    """
    if change.number <= known.highest_dropped_number:
        text = "Changes of that age are no longer remembered."
        return errors.ServiceError("unknown_outcome", text, errors.ExecutionOutcome.MAY_HAVE_RUN)
    return errors.ServiceError("base_moved", f"The blueprint is at number {current}.")


class ChangeApplier:
    """Proposes operators' changes and waits until every node has applied them."""

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
        """Bring a numbered change into force, and wait until the nodes have applied it.

        A change that comes again is found taken, also when later ones were taken since. The head
        compares versions, so of two changes on one base just one is taken. A refusal is given only
        after a read at the tail, under its lease, made for this change.

        Returns and raises what `apply` does.
        """
        return await self.apply(change, self.local_state_for(change))

    async def apply(self, change: ReplicatedChange, known: KnownState | None = None) -> int:
        """Bring a change into force, and wait until the nodes have applied it.

        Args:
            change: The change.
            known: What is known of the committed state to decide on first; None for a read at the tail.

        Returns:
            The version under which the change is committed.

        Raises:
            errors.ServiceError: The change is refused, or after TIMEOUT_US it is not known to be applied by all nodes;
                at once where this machine knows itself cut off.
        """
        until = self.parts.runtime.now() + TIMEOUT_US
        self.counters.changes += 1
        may_have_run, last_error = False, None
        while self.parts.runtime.now() < until:
            try:
                if known is None:
                    known = await self.tail_state_for(change, until - self.parts.runtime.now())
                outcome = await self._propose_once(known, change, until)
            except errors.ServiceError as error:
                may_have_run = may_have_run or error.execution is errors.ExecutionOutcome.MAY_HAVE_RUN
                known, last_error = None, error
                if self.parts.consensus.is_cut_off():
                    break
                await self.parts.runtime.sleep(RETRY_DELAY_US)
                continue
            if isinstance(outcome, Committed):
                return outcome.version
            if known.read_at_tail:
                raise outcome.error
            known = None
        if may_have_run or last_error is None:
            raise errors.ServiceError(
                "unknown_outcome",
                "It is not known yet whether the change was taken.",
                errors.ExecutionOutcome.MAY_HAVE_RUN,
            )
        raise errors.ServiceError("no_chain", f"The change can't be taken now: {last_error.text}")

    def local_state_for(self, change: SubmittedChange) -> KnownState:
        """What this machine's own copy says of a change; it may be out of date."""
        base = self.parts.chain.committed_state
        return KnownState(
            version=base.version,
            items=base.items,
            accepted_version=base.accepted_changes.get(change.identifier, 0),
            highest_dropped_number=base.highest_dropped_number,
            read_at_tail=False,
        )

    async def tail_state_for(self, change: ReplicatedChange, timeout_us: int) -> KnownState:
        """What the tail says of a change, under its lease."""
        read = await self.client.read_at_tail(change.identifier_for_base(NO_VERSION), timeout_us)
        return KnownState(
            version=read.version,
            items=read.items,
            accepted_version=read.taken,
            highest_dropped_number=read.forgotten,
            read_at_tail=True,
        )

    async def _propose_once(self, known: KnownState, change: ReplicatedChange, until: int) -> Committed | Refused:
        """Propose a change on a known state, unless it is committed already or can't be."""
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
            # a read at the tail will say what became of this change
            raise errors.ServiceError("no_chain", "Another change came first.") from error
