"""Evacuated zones: items of the replicated state that are not part of the operators' configuration.

The item `evacuations/ZONE` says that no new request may be sent to the workers of a zone. Configuration documents
do not contain such items, so that no configuration, not even one that replaces all items, adds or removes one.
"""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from iriswheel.configuration import schema

KEY_PREFIX = "evacuations/"


def evacuation_key(zone: str) -> str:
    """Return the key of the item that marks a zone as evacuated.

    >>> evacuation_key("north")
    'evacuations/north'
    """
    return KEY_PREFIX + zone


def is_evacuation(key: str) -> bool:
    """Return whether a key is that of an evacuation.

    >>> is_evacuation("evacuations/north"), is_evacuation("pools/desk")
    (True, False)
    """
    return key.startswith(KEY_PREFIX)


def evacuated_zones(items: schema.Items) -> frozenset[str]:
    """Return the zones that are evacuated.

    >>> evacuated_zones({"evacuations/north": {}, "pools/desk": {}})
    frozenset({'north'})
    """
    return frozenset(key.removeprefix(KEY_PREFIX) for key in items if is_evacuation(key))


def without_evacuations(items: schema.Items) -> schema.Items:
    """Return the items without evacuations: those of the operators' configuration.

    >>> without_evacuations({"evacuations/north": {}, "pools/desk": {}})
    {'pools/desk': {}}
    """
    return {key: item for key, item in items.items() if not is_evacuation(key)}
