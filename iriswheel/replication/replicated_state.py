"""The replicated state that results from the log entries: configuration, plans and accepted changes.

All states are immutable; a newer state shares its unchanged parts with the older one.
"""

from __future__ import annotations

import typing

import immutables
import msgspec

from iriswheel.configuration import differences, slices
from iriswheel.transport import message

MAX_PLANS = 512  # most open plans that are kept, and most confirmed plans that are kept
MAX_OPEN_PLAN_BYTES = 16 << 20  # largest total size of the changes of all open plans
MIN_ACCEPTED_CHANGES = 16_384  # newest accepted changes whose ids are always kept
ACCEPTED_CHANGES_SLACK = 1_024  # further ids that may be kept before the oldest are dropped in one batch

Item: typing.TypeAlias = dict[str, typing.Any]  # one item of the configuration, as JSON
Change: typing.TypeAlias = tuple[str, Item | None]  # an item's key and its new value; None removes the item

NO_CHANGES = msgspec.Raw(msgspec.msgpack.encode([]))

_decode_changes = msgspec.msgpack.Decoder(list[tuple[str, dict[str, typing.Any] | None]]).decode


class Plan(typing.NamedTuple):
    """A plan in the replicated state; snapshots store it as an array.

    The changes are kept encoded, since they would take several times as much memory otherwise.

    Attributes:
        index: The log index of the entry that created the plan or, later, of the one that confirmed it.
        base: The configuration version that the plan's changes were computed against.
        encoded_changes: The changes of items that the plan would make; none once it is confirmed.
        version: The configuration version that resulted from confirming the plan; 0 until then.
        size: The encoded size of the changes, in bytes.
    """

    index: int  # type: ignore[assignment]  # hides tuple.index, which has no use here
    base: int
    encoded_changes: msgspec.Raw = NO_CHANGES
    version: int = 0
    size: int = 0

    @property
    def changes(self) -> list[Change]:
        """The changes of items that the plan would make; empty once it is confirmed.

        >>> Plan(1, 0, msgspec.Raw(msgspec.msgpack.encode([("pools/p", {})]))).changes
        [('pools/p', {})]
        """
        return _decode_changes(self.encoded_changes)


class ReplicatedState(typing.NamedTuple):
    """The state after a log entry.

    Attributes:
        index: The index of the newest log entry that is applied.
        view: The view in which that entry was created.
        version: The configuration version: the index of the newest entry that applied a change or confirmed a plan.
        items: The configuration's items by key.
        plans: The plans that are kept, by id.
        published: The items as nodes receive them, without the operator's labels.
        accepted_changes: The version of each accepted change whose id is still kept, by that id.
        highest_dropped_number: The highest operator's number among the changes dropped from `accepted_changes`.

    >>> one = ReplicatedState().apply(message.LogEntry(1, 1, "plan", "0-a", 0, [("pools/p", {})]))
    >>> two = one.apply(message.LogEntry(2, 1, "confirm", "0-a"))
    >>> two.version, dict(two.items), two.plans["0-a"].version
    (2, {'pools/p': {}}, 2)
    """

    index: int = 0  # type: ignore[assignment]  # hides tuple.index, which has no use here
    view: int = 0
    version: int = 0
    items: immutables.Map[str, Item] = immutables.Map()
    plans: immutables.Map[str, Plan] = immutables.Map()
    published: immutables.Map[str, Item] = immutables.Map()
    accepted_changes: immutables.Map[str, int] = immutables.Map()
    highest_dropped_number: int = 0

    @property
    def position(self) -> message.LogPosition:
        """The log position (index and view) of the newest entry that is applied."""
        return message.LogPosition(self.index, self.view)

    def apply(self, entry: message.LogEntry) -> ReplicatedState:
        """The state after applying one more entry.

        >>> ReplicatedState().apply(message.LogEntry(1, 7, "plan", "0-a")).view
        7
        """
        state = self._replace(index=entry.index, view=entry.view)
        match entry.kind:
            case message.ChangeKind.PLAN:
                encoded = msgspec.msgpack.encode(entry.changes)
                plan = Plan(entry.index, entry.base, msgspec.Raw(encoded), 0, len(encoded))
                return state._with_plan(entry.plan, plan)
            case message.ChangeKind.CONFIRM:
                plan = self.plans[entry.plan]
                confirmed = Plan(entry.index, plan.base, NO_CHANGES, entry.index)
                return state._with_plan(entry.plan, confirmed).with_accepted_change(entry).with_changes(plan.changes)
            case message.ChangeKind.APPLY:
                applied = Plan(entry.index, entry.base, NO_CHANGES, entry.index)
                return state._with_plan(entry.plan, applied).with_accepted_change(entry).with_changes(entry.changes)
            case _:
                raise ValueError(f"a log entry has the unknown kind {entry.kind!r}")

    def _with_plan(self, identifier: str, plan: Plan) -> ReplicatedState:
        return self._replace(plans=retain_plans(self.plans.set(identifier, plan)))

    def with_accepted_change(self, entry: message.LogEntry) -> ReplicatedState:
        """The state with the entry's index as version, and its change among the accepted ones.

        Above the bound the oldest accepted changes are dropped in one batch.

        >>> entry = message.LogEntry(4, 1, "apply", "c5-7-0a")
        >>> ReplicatedState().with_accepted_change(entry).accepted_changes["c5-7-0a"]
        4
        """
        accepted_changes = self.accepted_changes.set(entry.plan, entry.index)
        if len(accepted_changes) <= MIN_ACCEPTED_CHANGES + ACCEPTED_CHANGES_SLACK:
            return self._replace(version=entry.index, accepted_changes=accepted_changes)
        by_age = sorted(accepted_changes, key=lambda identifier: accepted_changes[identifier])
        dropped, kept = by_age[:-MIN_ACCEPTED_CHANGES], by_age[-MIN_ACCEPTED_CHANGES:]
        return self._replace(
            version=entry.index,
            accepted_changes=immutables.Map({identifier: accepted_changes[identifier] for identifier in kept}),
            highest_dropped_number=max(self.highest_dropped_number, *map(differences.change_number, dropped)),
        )

    def with_changes(self, changes: list[Change]) -> ReplicatedState:
        """The state with some items changed; the value None removes an item.

        >>> ReplicatedState().with_changes([("pools/p", {"label": {"a": 1}})]).published["pools/p"]
        {}
        """
        items = self.items.mutate()
        published: dict[str, Item | None] = {}
        for key, value in changes:
            if value is None:
                items.pop(key, None)
                published[key] = None
            else:
                items[key] = value
                published[key] = slices.without_label(value)
        return self._replace(items=items.finish(), published=with_items(self.published, published))


def with_items(items: immutables.Map[str, Item], new: dict[str, Item | None]) -> immutables.Map[str, Item]:
    """The items with some replaced, or removed by None; those that stay equal are shared with the given ones.

    >>> items = immutables.Map({"a": {}})
    >>> with_items(items, {"a": {}}) is items, dict(with_items(items, {"a": None, "b": {"c": 1}}))
    (True, {'b': {'c': 1}})
    """
    differing = [(key, value) for key, value in new.items() if items.get(key) != value]
    if not differing:
        return items
    changed = items.mutate()
    for key, value in differing:
        if value is None:
            changed.pop(key, None)
        else:
            changed[key] = value
    return changed.finish()


def retain_plans(plans: immutables.Map[str, Plan]) -> immutables.Map[str, Plan]:
    """Drop the oldest open and the oldest confirmed plans that exceed the bounds on count and bytes.

    >>> sorted(retain_plans(immutables.Map({str(i): Plan(i, 0, NO_CHANGES, 0, 7 << 20) for i in range(4)})))
    ['2', '3']

    >>> len(retain_plans(immutables.Map({str(i): Plan(i, 0) for i in range(MAX_PLANS + 3)})))
    512
    """
    return _within_plan_count(_within_plan_bytes(plans))


def _within_plan_bytes(plans: immutables.Map[str, Plan]) -> immutables.Map[str, Plan]:
    if sum(plan.size for plan in plans.values()) <= MAX_OPEN_PLAN_BYTES:
        return plans
    left_bytes = MAX_OPEN_PLAN_BYTES
    for identifier in reversed(_by_age(plans, confirmed=False)):
        left_bytes -= plans[identifier].size
        if left_bytes < 0 and len(plans) > 1:
            plans = plans.delete(identifier)
    return plans


def _within_plan_count(plans: immutables.Map[str, Plan]) -> immutables.Map[str, Plan]:
    if len(plans) <= MAX_PLANS:
        return plans
    for confirmed in (False, True):
        for identifier in _by_age(plans, confirmed)[:-MAX_PLANS]:
            plans = plans.delete(identifier)
    return plans


def _by_age(plans: immutables.Map[str, Plan], confirmed: bool) -> list[str]:
    """The ids of the open or of the confirmed plans, oldest first."""
    aged = sorted((plan.index, key) for key, plan in plans.items() if bool(plan.version) == confirmed)
    return [identifier for _, identifier in aged]
