"""Differences between configurations: changes of items, patches, and the ids of changes and plans."""

from __future__ import annotations

import collections.abc
import hashlib
import json
import typing

import jsonpatch

from iriswheel.configuration import schema, validation

CHANGE_PREFIX = "c"  # first letter of a change's id; a plan's id begins with a digit
CHANGE_DIGEST_CHARACTERS = 16
PLAN_DIGEST_CHARACTERS = 12

ItemChange = tuple[str, schema.Item | None]  # a key and its new item; None removes the item


def difference(old: schema.Items, new: schema.Items) -> list[ItemChange]:
    """Return the changes that turn the old items into the new ones, sorted by key.

    >>> difference({"a": {"cap": 1}, "b": {"cap": 2}}, {"b": {"cap": 3}, "c": {"cap": 4}})
    [('a', None), ('b', {'cap': 3}), ('c', {'cap': 4})]
    """
    return [(key, new.get(key)) for key in sorted(set(old) | set(new)) if old.get(key) != new.get(key)]


def apply_patch(document: schema.Document, operations: object) -> schema.Document:
    """Apply a JSON Patch (RFC 6902) to a document.

    Raises:
        InvalidConfigurationError: the patch is malformed or does not apply.

    >>> apply_patch({"pools": {}}, [{"op": "add", "path": "/pools/desk", "value": {}}])
    {'pools': {'desk': {}}}
    """
    unchecked = typing.cast("collections.abc.Iterable[collections.abc.Mapping[str, typing.Any]]", operations)
    try:
        patched: schema.Document = jsonpatch.JsonPatch(unchecked).apply(document)
    except (jsonpatch.JsonPatchException, jsonpatch.JsonPointerException, TypeError, KeyError) as error:
        raise validation.InvalidConfigurationError([f"The patch does not apply: {error}"]) from error
    return patched


def amend(document: schema.Document, upsert: object, remove: object) -> schema.Document:
    """Return a copy of a document with some items added or replaced, and others removed.

    Args:
        document: The document, which is not modified.
        upsert: Items to add or replace, by kind and name, from the operator's JSON.
        remove: Lists of names of items to remove, by kind, from the operator's JSON. Unknown names are ignored.

    Raises:
        InvalidConfigurationError: `upsert` or `remove` is malformed.

    >>> amend({"pools": {"a": {}, "b": {}}}, {"pools": {"c": {"cap": 3}}}, {"pools": ["a"]})
    {'pools': {'b': {}, 'c': {'cap': 3}}}
    """
    if not isinstance(upsert, dict) or not all(isinstance(section, dict) for section in upsert.values()):
        raise validation.InvalidConfigurationError(["upsert: must be an object of items by kind and name"])
    if not isinstance(remove, dict) or not all(
        isinstance(names, list) and all(isinstance(name, str) for name in names) for names in remove.values()
    ):
        raise validation.InvalidConfigurationError(["remove: must be an object of lists of names by kind"])
    amended = {kind: dict(section) for kind, section in document.items()}
    for kind, names in remove.items():
        for name in names:
            amended.get(kind, {}).pop(name, None)
    for kind, section in upsert.items():
        amended.setdefault(kind, {}).update(section)
    return amended


def change_id(number: int, built_on: int, content: dict[str, typing.Any] | list[typing.Any]) -> str:
    """Return the id of a numbered change, which stays the same when the operator sends the change again.

    Args:
        number: The operator's number of the new configuration.
        built_on: The operator's number of the configuration that it replaces.
        content: The change as the operator sent it.

    >>> change_id(7, 5, {"remove": {}})
    'c5-7-2f63a8da44f9e5d5'
    """
    encoded = json.dumps(content, sort_keys=True).encode()
    digest = hashlib.sha256(encoded).hexdigest()[:CHANGE_DIGEST_CHARACTERS]
    return f"{CHANGE_PREFIX}{built_on}-{number}-{digest}"


def change_number(identifier: str) -> int:
    """Return the operator's number in the id of a change, or 0 for the id of a plan.

    >>> change_number("c5-7-2f63a8da44f9e5d5"), change_number("3-ca06da3a935a")
    (7, 0)
    """
    parts = identifier.split("-")
    return int(parts[1]) if identifier.startswith(CHANGE_PREFIX) and len(parts) == 3 else 0


def plan_id(base: int, changes: collections.abc.Sequence[ItemChange]) -> str:
    """Return the id of a plan: its base version and a digest of its changes.

    >>> plan_id(3, [("a", None)])
    '3-ca06da3a935a'
    """
    encoded = json.dumps([base, changes], sort_keys=True).encode()
    return f"{base}-{hashlib.sha256(encoded).hexdigest()[:PLAN_DIGEST_CHARACTERS]}"


def describe(old: schema.Items, changes: collections.abc.Iterable[ItemChange]) -> dict[str, list[str]]:
    """Return a summary of a plan's effects, for the operator.

    Returns:
        The keys of items that are `added`, `changed` and `removed`; the `pools` whose requests the plan affects; and
        under `closes_sessions_of` the pools whose sessions it closes.

    >>> describe({}, [("pools/desk", {})])["added"]
    ['pools/desk']
    """
    added: list[str] = []
    changed: list[str] = []
    removed: list[str] = []
    new = dict(old)
    changed_keys = set()
    for key, item in changes:
        changed_keys.add(key)
        if item is None:
            removed.append(key)
            new.pop(key, None)
        else:
            (changed if key in old else added).append(key)
            new[key] = item
    pools = {key.removeprefix("pools/") for key in changed_keys if key.startswith("pools/")}
    pools |= pools_of_routes(old, changed_keys) | pools_of_routes(new, changed_keys)
    return {
        "added": added,
        "changed": changed,
        "removed": removed,
        "pools": sorted(pools),
        "closes_sessions_of": sorted({key.removeprefix("pools/") for key in removed if key.startswith("pools/")}),
    }


def pools_of_routes(items: schema.Items, changed_keys: set[str]) -> set[str]:
    """Return the pools of the routes whose own item or terms are among the changed keys.

    >>> pools_of_routes({"routes/r": {"path": "/", "pool": "p"}}, {"terms/default"})
    {'p'}
    """
    pools: set[str] = set()
    for key, item in items.items():
        if not key.startswith("routes/"):
            continue
        used = {key, f"terms/{item.get('terms', 'default')}"}
        used |= {f"terms/{terms}" for terms in item.get("requesters", {}).values()}
        if used & changed_keys:
            pools |= {share["pool"] for share in item.get("split", [])} | {item["pool"]}
    return pools
