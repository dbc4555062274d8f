"""Slices of a configuration: the items that one node needs, without the operators' labels."""

from __future__ import annotations

import collections.abc

from iriswheel.configuration import evacuations, schema


def without_label(item: schema.Item) -> schema.Item:
    """Return an item as nodes get it: without the operator's label.

    >>> without_label({"cap": 3, "label": {"team": "night"}})
    {'cap': 3}
    """
    return {name: value for name, value in item.items() if name != "label"} if "label" in item else item


def slice_for_node(items: schema.Items, zone: str, pools: collections.abc.Sequence[str] = ()) -> dict[str, schema.Item]:
    """Return a node's items: its zone's routes with their pools and terms, limits, all tenants and evacuated zones.

    Args:
        items: The whole configuration.
        zone: The node's zone.
        pools: Other pools that the node needs, as their owner or replica.

    >>> slice_for_node({"routes/a": {"path": "/", "pool": "p", "zones": ["north"]}, "pools/p": {}}, "south")
    {}
    >>> slice_for_node({"pools/p": {"label": {"a": 1}}, "limits/door": {}, "marks/operator": {}}, "south", ["p"])
    {'limits/door': {}, 'pools/p': {}}
    >>> slice_for_node({"evacuations/north": {}}, "south")
    {'evacuations/north': {}}
    """
    node_slice: dict[str, schema.Item] = {}
    needed = {f"pools/{pool}" for pool in pools} | {schema.LIMITS_KEY}
    for key, item in items.items():
        if key.startswith("tenants/") or evacuations.is_evacuation(key):
            node_slice[key] = without_label(item)
        if not key.startswith("routes/"):
            continue
        zones = item.get("zones")
        if zones and zone not in zones:
            continue
        node_slice[key] = without_label(item)
        needed.add(f"pools/{item['pool']}")
        needed.add(f"terms/{item.get('terms', 'default')}")
        if "split" in item:
            needed.update(f"pools/{share['pool']}" for share in item["split"])
        if "requesters" in item:
            needed.update(f"terms/{terms}" for terms in item["requesters"].values())
    for key in sorted(needed):
        if key in items:
            node_slice[key] = without_label(items[key])
    return node_slice
