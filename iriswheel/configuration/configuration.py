"""Index of the package: what other subsystems use of the operators' configuration."""

from iriswheel.configuration.differences import (
    ItemChange,
    amend,
    apply_patch,
    change_id,
    change_number,
    describe,
    difference,
    plan_id,
)
from iriswheel.configuration.items import flatten, operator_number, unflatten
from iriswheel.configuration.schema import (
    KINDS,
    NAME,
    Document,
    Election,
    Item,
    Items,
    Limits,
    Marks,
    Pool,
    RepeatPolicy,
    Route,
    StrictItem,
    Terms,
)
from iriswheel.configuration.slices import slice_for_node, without_label
from iriswheel.configuration.validation import InvalidConfigurationError, find_errors

__all__ = [
    "KINDS",
    "NAME",
    "Document",
    "Election",
    "InvalidConfigurationError",
    "Item",
    "ItemChange",
    "Items",
    "Limits",
    "Marks",
    "Pool",
    "RepeatPolicy",
    "Route",
    "StrictItem",
    "Terms",
    "amend",
    "apply_patch",
    "change_id",
    "change_number",
    "describe",
    "difference",
    "find_errors",
    "flatten",
    "operator_number",
    "plan_id",
    "slice_for_node",
    "unflatten",
    "without_label",
]
