"""Validation of a configuration's items: all mistakes are reported together, each with the item's key."""

from __future__ import annotations

import collections.abc
import typing

import mashumaro.exceptions

from iriswheel.configuration import schema

POSITIVE_POOL_FIELDS = ("slots", "long_slots", "waiting", "event_tokens")
POSITIVE_LIMITS_FIELDS = ("head_bytes", "head_us", "idle_us")

RouteOwners = dict[tuple[str, str, str], str]  # (host, path, zone) -> key of the route that matches it
KeyOwners = dict[str, str]  # digest of a tenant's key -> key of the tenant's item


class InvalidConfigurationError(ValueError):
    """All mistakes in a configuration.

    >>> InvalidConfigurationError(["a", "b"]).errors
    ['a', 'b']
    """

    code = "bad_blueprint"

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


def find_errors(items: schema.Items) -> list[str]:
    """Return all mistakes in the items, sorted by the items' keys.

    >>> find_errors({"pools/p": {"cap": "4"}})
    ['pools/p: cap: must be int, not str']
    """
    errors: list[str] = []
    owners: RouteOwners = {}
    key_owners: KeyOwners = {}
    for key in sorted(items):
        try:
            item = parse_item(key, items[key])
        except InvalidConfigurationError as error:
            errors += error.errors
            continue
        match item:
            case schema.Route():
                errors += route_errors(key, item, items, owners)
            case schema.Terms(lifetime_us=0):
                errors.append(f"{key}: lifetime_us must be above 0")
            case schema.Pool():
                errors += pool_errors(key, item)
            case schema.Limits():
                errors += positive_errors(key, item, POSITIVE_LIMITS_FIELDS)
            case schema.Tenant():
                errors += tenant_errors(key, item, key_owners)
    return errors


def parse_item(key: str, fields: schema.Item) -> schema.StrictItem:
    """Convert one item to the dataclass of its kind.

    Raises:
        InvalidConfigurationError: a field is missing, unknown, or of another type.

    >>> parse_item("marks/operator", {"number": 7})
    Marks(number=7, label={})
    """
    kind = key.split("/", 1)[0]
    try:
        return schema.KINDS[kind].from_dict(fields)
    except mashumaro.exceptions.MissingField as error:
        raise InvalidConfigurationError([f"{key}: {error.field_name} is missing"]) from error
    except mashumaro.exceptions.ExtraKeysError as error:
        unknown = ", ".join(sorted(map(str, error.extra_keys)))
        raise InvalidConfigurationError([f"{key}: unknown field {unknown}"]) from error
    except (ValueError, TypeError) as error:
        raise InvalidConfigurationError([f"{key}: {error}"]) from error


def route_errors(
    key: str, route: schema.Route, items: schema.Items, owners: RouteOwners
) -> collections.abc.Iterator[str]:
    """Yield the mistakes of a route; add the hosts, paths and zones that it matches to `owners`.

    >>> list(route_errors("routes/r", schema.Route("x", "p"), {"pools/p": {}, "terms/default": {}}, {}))
    ["routes/r: path must begin with '/'"]
    """
    if not route.path.startswith("/"):
        yield f"{key}: path must begin with '/'"
    yield from split_errors(key, route)
    yield from reference_errors(key, route, items)
    for zone in route.zones or [""]:
        owner = owners.setdefault((route.host.lower(), route.path, zone), key)
        if owner != key:
            yield f"{key}: same host, path and zone as {owner}"
    if route.repeat not in tuple(schema.RepeatPolicy):
        yield f"{key}: repeat must be one of {', '.join(schema.RepeatPolicy)}"
    if route.urgency > schema.URGENCY_MAX:
        yield f"{key}: urgency is above {schema.URGENCY_MAX}"


def reference_errors(key: str, route: schema.Route, items: schema.Items) -> collections.abc.Iterator[str]:
    """Yield a mistake for each pool and each terms that a route names and that do not exist.

    >>> list(reference_errors("routes/r", schema.Route("/", "p"), {"terms/default": {}}))
    ["routes/r: no pool 'p'"]
    """
    for pool in {route.pool: None, **dict.fromkeys(share.get("pool") for share in route.split)}:
        if f"pools/{pool}" not in items:
            yield f"{key}: no pool '{pool}'"
    for terms in [route.terms, *route.requesters.values()]:
        if not isinstance(terms, str) or f"terms/{terms}" not in items:
            yield f"{key}: no terms '{terms}'"


def split_errors(key: str, route: schema.Route) -> collections.abc.Iterator[str]:
    """Yield the mistakes of a route's split.

    >>> list(split_errors("routes/r", schema.Route("/", "p", split=[{"pool": "p", "weight": 0}])))
    ['routes/r: the weights sum to 0']
    """
    if not route.split:
        return
    if not all(is_share(share) for share in route.split):
        yield f"{key}: split must list pools with their weights"
        return
    if not sum(share["weight"] for share in route.split):
        yield f"{key}: the weights sum to 0"
    if route.split[0]["pool"] != route.pool:
        yield f"{key}: pool is not the first pool of split"


def is_share(share: dict[str, typing.Any]) -> bool:
    """Return whether an element of a split is a pool with its weight.

    >>> is_share({"pool": "p", "weight": 0.5}), is_share({"pool": "p", "weight": True})
    (True, False)
    """
    return (
        set(share) == {"pool", "weight"}
        and type(share["pool"]) is str
        and type(share["weight"]) in (int, float)
        and 0 <= share["weight"] < schema.INTEGER_BOUND
    )


def pool_errors(key: str, pool: schema.Pool) -> collections.abc.Iterator[str]:
    """Yield the mistakes of a pool.

    >>> list(pool_errors("pools/p", schema.Pool(slots=1, cold_rate=-1.0)))
    ['pools/p: long_slots is above slots', 'pools/p: cold_rate is out of range']
    """
    if pool.election not in tuple(schema.Election):
        yield f"{key}: election must be one of {', '.join(schema.Election)}"
    yield from positive_errors(key, pool, POSITIVE_POOL_FIELDS)
    if pool.long_slots > pool.slots:
        yield f"{key}: long_slots is above slots"
    if not 0 <= pool.cold_rate < schema.INTEGER_BOUND:  # also true for NaN
        yield f"{key}: cold_rate is out of range"


def tenant_errors(key: str, tenant: schema.Tenant, owners: KeyOwners) -> collections.abc.Iterator[str]:
    """Yield the mistakes of a tenant; add its key digests to `owners`.

    >>> owners = {"0" * 64: "tenants/a"}
    >>> list(tenant_errors("tenants/b", schema.Tenant(keys=["0" * 64], urgency=11, burst=-1.0), owners))
    ['tenants/b: shares a key with tenants/a', 'tenants/b: urgency is above 10', 'tenants/b: burst is out of range']
    """
    for digest in tenant.keys:
        if not isinstance(digest, str) or not schema.KEY_DIGEST.match(digest):
            yield f"{key}: keys must be SHA-256 digests in hexadecimal digits"
            break
        owner = owners.setdefault(digest, key)
        if owner != key:
            yield f"{key}: shares a key with {owner}"
    if tenant.urgency > schema.URGENCY_FROM_ROUTE:
        yield f"{key}: urgency is above {schema.URGENCY_FROM_ROUTE}"
    if tenant.told_as and not schema.HEADER_TEXT.match(tenant.told_as):
        yield f"{key}: told_as is not a valid header value"
    if tenant.rate_unit not in tuple(schema.RateUnit):
        yield f"{key}: rate_unit must be one of {', '.join(schema.RateUnit)}"
    for name in ("rate", "burst"):
        if not 0 <= getattr(tenant, name) < schema.INTEGER_BOUND:  # also true for NaN
            yield f"{key}: {name} is out of range"


def positive_errors(
    key: str, item: schema.StrictItem, names: collections.abc.Iterable[str]
) -> collections.abc.Iterator[str]:
    """Yield a mistake for each of the named fields that is 0.

    >>> list(positive_errors("limits/door", schema.Limits(head_us=0), POSITIVE_LIMITS_FIELDS))
    ['limits/door: head_us must be above 0']
    """
    for name in names:
        if getattr(item, name) < 1:
            yield f"{key}: {name} must be above 0"
