"""The flat map of items by key, such as `pools/desk` or `routes/clerk`, in which a configuration is sent and stored.

With it, a change contains only the items that it changes.
"""

from __future__ import annotations

import typing

from iriswheel.configuration import evacuations, schema, validation


def flatten(document: object) -> dict[str, schema.Item]:
    """Convert a configuration document to items, and validate all of it.

    Raises:
        InvalidConfigurationError: the document has mistakes; the error lists all of them.

    >>> flatten({"pools": {"desk": {}}, "terms": {"default": {}}})
    {'pools/desk': {}, 'terms/default': {}}
    >>> flatten({"routes": {"r": {"path": "x", "pool": "p", "terms": "d"}}})
    Traceback (most recent call last):
    ...
    iriswheel.configuration.validation.InvalidConfigurationError: routes/r: path must begin with '/'; ...
    """
    if not isinstance(document, dict):
        raise validation.InvalidConfigurationError(["The blueprint is not an object."])
    errors = [f"{kind}: unknown section" for kind in sorted(set(document) - set(schema.KINDS))]
    items: dict[str, schema.Item] = {}
    for kind in schema.KINDS:
        section = document.get(kind, {})
        if not isinstance(section, dict):
            errors.append(f"{kind}: not an object")
            continue
        for name, item in section.items():
            if not schema.NAME.match(name) or name != schema.SINGLETONS.get(kind, name):
                errors.append(f"{kind}/{name}: invalid name")
            items[f"{kind}/{name}"] = item
    errors += validation.find_errors(items)
    if errors:
        raise validation.InvalidConfigurationError(errors)
    return items


def unflatten(items: schema.Items, *, with_all_kinds: bool = False) -> schema.Document:
    """Convert items back to a document, which leaves evacuations out.

    Args:
        items: All items.
        with_all_kinds: Whether kinds of `schema.KINDS_OMITTED_WHEN_EMPTY` without items get an empty section too.

    >>> unflatten({"pools/desk": {"cap": 3}})
    {'pools': {'desk': {'cap': 3}}, 'routes': {}, 'terms': {}, 'limits': {}, 'marks': {}}
    >>> list(unflatten({}, with_all_kinds=True))[-1], list(unflatten({"tenants/desk": {}}))[-1]
    ('tenants', 'tenants')
    """
    document: schema.Document = {
        kind: {} for kind in schema.KINDS if with_all_kinds or kind not in schema.KINDS_OMITTED_WHEN_EMPTY
    }
    for key in sorted(evacuations.without_evacuations(items)):
        kind, name = key.split("/", 1)
        document.setdefault(kind, {})[name] = items[key]
    return document


def operator_number(items: schema.Items) -> int:
    """Return the operator's own number of the configuration, or 0 if there is none yet.

    >>> operator_number({"marks/operator": {"number": 7}}), operator_number({})
    (7, 0)
    """
    return typing.cast("int", items.get(schema.OPERATOR_KEY, {}).get("number", 0))  # validated as an int
