"""The operators' configuration: pools, routes and terms, read and checked.

A configuration travels as a flat map of items, `pools/desk`, `routes/clerk`,
`terms/default`, so that a change names just the items that it touches.
"""

import collections.abc
import dataclasses
import functools
import hashlib
import json
import re
import typing

import jsonpatch
import mashumaro.exceptions
import mashumaro.mixins.dict

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")


class Strict(mashumaro.mixins.dict.DataClassDictMixin):
    """Reads only what it knows, and takes no number for a string or the reverse."""

    class Config(mashumaro.config.BaseConfig):
        """Refuses unknown keys."""

        forbid_extra_keys = True

    @classmethod
    def __pre_deserialize__(cls, d: dict[typing.Any, typing.Any]) -> dict[typing.Any, typing.Any]:
        """Refuse a value of another type than its field's, or out of range."""
        if not isinstance(d, dict):
            raise ValueError("not an object")
        for name, want in wanted(cls):
            if name not in d:
                continue
            if type(d[name]) is not want:
                raise ValueError(f"{name}: wants {want.__name__}, not {type(d[name]).__name__}")
            if want is int and not 0 <= d[name] < 1 << 53:
                raise ValueError(f"{name}: out of range")
        return d


@functools.cache
def wanted(cls: typing.Any) -> list[tuple[str, type[typing.Any]]]:
    """The fields of an item and the plain type that each one wants.

    >>> wanted(Marks)
    [('number', <class 'int'>), ('label', <class 'dict'>)]
    """
    return [(f.name, typing.get_origin(f.type) or f.type) for f in dataclasses.fields(cls)]


@dataclasses.dataclass
class Pool(Strict):
    """A pool: the workers that the platform lists under its name, and their voters.

    `election` says where a worker is chosen: at the pool's pool owner, or at each node for
    itself. `conns` is how many connections a worker takes from all nodes together (0: no
    known bound), `probe` the path at which it says that it is well, `batch` how many
    requests it runs at once, `memory_tokens` and `event_tokens` what its memory and an
    event of its streams hold (0: unknown). `label` is the operator's own and stays with the core.

    >>> Pool.from_dict({"cap": 4}).cap
    4
    """

    cap: int = 10
    slots: int = 16
    long_slots: int = 4
    long_bytes: int = 16384
    long_wait_us: int = 10_000_000
    short_wait_us: int = 5_000_000
    waiting: int = 256
    election: str = "warden"
    conns: int = 0
    probe: str = ""
    batch: int = 0
    memory_tokens: int = 0
    event_tokens: int = 1
    label: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Terms(Strict):
    """A conversation's terms.

    `session_part` is the place of the session's part in X-Prompt-Prefix; -1 is the
    last one, and then a list of one part, shared by everybody, opens no session.

    >>> Terms().lifetime_us
    60000000
    """

    lifetime_us: int = 60_000_000
    cost: int = 100
    session_part: int = -1

    @classmethod
    def __pre_deserialize__(cls, d: dict[typing.Any, typing.Any]) -> dict[typing.Any, typing.Any]:
        """Drop a session part of -1, which is the default, before the types are checked."""
        part = d.get("session_part", -1) if isinstance(d, dict) else -1
        if part == -1:
            d = {k: v for k, v in d.items() if k != "session_part"} if isinstance(d, dict) else d
        return super().__pre_deserialize__(d)


@dataclasses.dataclass
class Route(Strict):
    """Which requests go to which pool: a host and path prefix, in some zones or in all.

    `split` shares the requests out over pools by weight; `pool` then names the first.
    `repeat` says whether they may run more than once: "asked" (by the client's word),
    "may", "never"; `resume` whether a stream may be taken up at another worker; `sends` to
    how many workers one try may go (0: no bound of its own). `cutoff_us` is the longest that
    a request is held, `aim_us` the time to its first byte that the operator aims at,
    `gap_us` the longest pause between events (0: none said). Urgency 0 goes first, 9 last.

    >>> Route.from_dict({"path": "/v1", "pool": "desk"}).zones
    []
    """

    path: str
    pool: str
    terms: str = "default"
    zones: list[str] = dataclasses.field(default_factory=list)
    requesters: dict[str, str] = dataclasses.field(default_factory=dict)
    host: str = ""
    split: list[dict[str, typing.Any]] = dataclasses.field(default_factory=list)
    repeat: str = "asked"
    resume: bool = False
    sends: int = 0
    cutoff_us: int = 0
    aim_us: int = 0
    gap_us: int = 0
    urgency: int = 5
    label: dict[str, typing.Any] = dataclasses.field(default_factory=dict)

    def pools(self) -> list[str]:
        """The pools that this route's requests may go to.

        >>> Route("/", "a", split=[{"pool": "a", "weight": 9}, {"pool": "b", "weight": 1}]).pools()
        ['a', 'b']
        """
        return [s["pool"] for s in self.split] or [self.pool]


@dataclasses.dataclass
class Limits(Strict):
    """What a client may send, and how long it may take over it; the one item is `limits/door`.

    >>> Limits().head_bytes
    16384
    """

    head_bytes: int = 16384
    body_bytes: int = 8 << 20
    head_us: int = 10_000_000
    idle_us: int = 75_000_000
    label: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass
class Marks(Strict):
    """The operator's own number of the configuration; the one item is `marks/operator`.

    >>> Marks(7).number
    7
    """

    number: int = 0
    label: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


KINDS = {"pools": Pool, "routes": Route, "terms": Terms, "limits": Limits, "marks": Marks}
REPEATS = ("asked", "may", "never")
ELECTIONS = ("warden", "node")
ONLY = {"limits": "door", "marks": "operator"}  # kinds of which there is one item, by this name


class InvalidConfigurationError(ValueError):
    """All that is wrong with a configuration, at once.

    >>> InvalidConfigurationError(["a", "b"]).errors
    ['a', 'b']
    """

    code = "bad_blueprint"

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


def flatten(
    document: dict[str, dict[str, dict[str, typing.Any]]] | list[typing.Any] | str,
) -> dict[str, dict[str, typing.Any]]:
    """Turn a configuration document into items, after checking all of it.

    >>> flatten({"pools": {"desk": {}}, "terms": {"default": {}}})
    {'pools/desk': {}, 'terms/default': {}}
    >>> flatten({"routes": {"r": {"path": "x", "pool": "p", "terms": "d"}}})
    Traceback (most recent call last):
    ...
    iriswheel.configuration.configuration.InvalidConfigurationError: routes/r: path must begin with '/'; ...
    """
    errors, items = [], {}
    if not isinstance(document, dict):
        raise InvalidConfigurationError(["The blueprint is not an object."])
    for kind in sorted(set(document) - set(KINDS)):
        errors.append(f"{kind}: unknown section")
    for kind in KINDS:
        part = document.get(kind, {})
        if not isinstance(part, dict):
            errors.append(f"{kind}: not an object")
            continue
        for name, item in part.items():
            if not NAME.match(name) or name != ONLY.get(kind, name):
                errors.append(f"{kind}/{name}: bad name")
            items[f"{kind}/{name}"] = item
    check(items, errors)
    if errors:
        raise InvalidConfigurationError(errors)
    return items


def check(items: dict[str, dict[str, typing.Any]], errors: list[str]) -> None:
    """Add every mistake in the items to errors.

    >>> found = []; check({"pools/p": {"cap": "4"}}, found); found
    ['pools/p: cap: wants int, not str']
    """
    paths = {}
    for key in sorted(items):
        kind, name = key.split("/", 1)
        try:
            item = KINDS[kind].from_dict(items[key])
        except mashumaro.exceptions.MissingField as e:
            errors.append(f"{key}: {e.field_name} is missing")
            continue
        except mashumaro.exceptions.ExtraKeysError as e:
            errors.append(f"{key}: unknown field {', '.join(sorted(map(str, e.extra_keys)))}")
            continue
        except (ValueError, TypeError) as e:
            errors.append(f"{key}: {e}")
            continue
        match item:
            case Route():
                if not item.path.startswith("/"):
                    errors.append(f"{key}: path must begin with '/'")
                shares(key, item, errors)
                for pool in {item.pool: 1, **dict.fromkeys(s.get("pool") for s in item.split)}:
                    if f"pools/{pool}" not in items:
                        errors.append(f"{key}: no pool '{pool}'")
                for t in [item.terms, *item.requesters.values()]:
                    if not isinstance(t, str) or f"terms/{t}" not in items:
                        errors.append(f"{key}: no terms '{t}'")
                for zone in item.zones or [""]:
                    other = paths.setdefault((item.host.lower(), item.path, zone), key)
                    if other != key:
                        errors.append(f"{key}: same host, path and zone as {other}")
                if item.repeat not in REPEATS:
                    errors.append(f"{key}: repeat is none of {', '.join(REPEATS)}")
                if item.urgency > 9:
                    errors.append(f"{key}: urgency is above 9")
            case Terms(lifetime_us=0):
                errors.append(f"{key}: lifetime_us must be above 0")
            case Pool():
                if item.election not in ELECTIONS:
                    errors.append(f"{key}: election is none of {', '.join(ELECTIONS)}")
                for f in ("slots", "long_slots", "waiting", "event_tokens"):
                    if getattr(item, f) < 1:
                        errors.append(f"{key}: {f} must be above 0")
                if item.long_slots > item.slots:
                    errors.append(f"{key}: long_slots is above slots")
            case Limits():
                for f in ("head_bytes", "head_us", "idle_us"):
                    if getattr(item, f) < 1:
                        errors.append(f"{key}: {f} must be above 0")


def shares(key: str, item: "Route", errors: list[str]) -> None:
    """Add what is wrong with a route's split to errors.

    >>> found = []; shares("routes/r", Route("/", "p", split=[{"pool": "p", "weight": 0}]), found); found
    ['routes/r: the weights sum to 0']
    """
    for s in item.split:
        if (
            set(s) != {"pool", "weight"}
            or type(s["pool"]) is not str
            or type(s["weight"]) not in (int, float)
            or not 0 <= s["weight"] < 1 << 53
        ):
            errors.append(f"{key}: split wants pools and weights")
            return
    if item.split and not sum(s["weight"] for s in item.split):
        errors.append(f"{key}: the weights sum to 0")
    if item.split and item.split[0]["pool"] != item.pool:
        errors.append(f"{key}: pool is not the split's first")


def unflatten(
    items: collections.abc.Mapping[str, dict[str, typing.Any]],
) -> dict[str, dict[str, dict[str, typing.Any]]]:
    """Turn items back into a document.

    >>> unflatten({"pools/desk": {"cap": 3}})
    {'pools': {'desk': {'cap': 3}}, 'routes': {}, 'terms': {}, 'limits': {}, 'marks': {}}
    """
    document = {kind: {} for kind in KINDS}
    for key in sorted(items):
        kind, name = key.split("/", 1)
        document[kind][name] = items[key]
    return document


def differ(old: collections.abc.Mapping[str, typing.Any], new: dict[str, typing.Any]) -> list[tuple[str, typing.Any]]:
    """The changes that lead from old items to new ones; None removes.

    >>> differ({"a": 1, "b": 2}, {"b": 3, "c": 4})
    [('a', None), ('b', 3), ('c', 4)]
    """
    return [(k, new.get(k)) for k in sorted(set(old) | set(new)) if old.get(k) != new.get(k)]


def patch(
    document: dict[str, dict[str, dict[str, typing.Any]]], ops: list[dict[str, typing.Any]]
) -> dict[str, dict[str, dict[str, typing.Any]]]:
    """Apply a JSON Patch (RFC 6902) to a document.

    >>> patch({"pools": {}}, [{"op": "add", "path": "/pools/desk", "value": {}}])
    {'pools': {'desk': {}}}
    """
    try:
        return jsonpatch.JsonPatch(ops).apply(document)
    except (jsonpatch.JsonPatchException, jsonpatch.JsonPointerException, TypeError, KeyError) as e:
        raise InvalidConfigurationError([f"The patch does not apply: {e}"]) from e


def amend(
    document: dict[str, dict[str, dict[str, typing.Any]]], upsert: typing.Any, remove: typing.Any
) -> dict[str, dict[str, dict[str, typing.Any]]]:
    """A document with items put in or replaced, and others removed, both by kind and name.

    >>> amend({"pools": {"a": {}, "b": {}}}, {"pools": {"c": {"cap": 3}}}, {"pools": ["a"]})
    {'pools': {'b': {}, 'c': {'cap': 3}}}
    """
    if not isinstance(upsert, dict) or not all(isinstance(v, dict) for v in upsert.values()):
        raise InvalidConfigurationError(["upsert: wants items by kind and name"])
    if not isinstance(remove, dict) or not all(
        isinstance(v, list) and all(isinstance(n, str) for n in v) for v in remove.values()
    ):
        raise InvalidConfigurationError(["remove: wants lists of names by kind"])
    out = {kind: dict(part) for kind, part in document.items()}
    for kind, names in remove.items():
        for name in names:
            out.get(kind, {}).pop(name, None)
    for kind, part in upsert.items():
        out.setdefault(kind, {}).update(part)
    return out


def number(items: collections.abc.Mapping[str, dict[str, typing.Any]]) -> int:
    """The operator's own number of the configuration; 0 where there is none yet.

    >>> number({"marks/operator": {"number": 7}}), number({})
    (7, 0)
    """
    return items.get("marks/operator", {}).get("number", 0)


def change_id(number: int, built_on: int, content: dict[str, typing.Any] | list[typing.Any]) -> str:
    """The id of a change: the same content under the same number on the same one, the same id.

    >>> change_id(7, 5, {"remove": {}})
    'c5-7-2f63a8da44f9e5d5'
    """
    raw = json.dumps(content, sort_keys=True).encode()
    return f"c{built_on}-{number}-{hashlib.sha256(raw).hexdigest()[:16]}"


def change_number(identifier: str) -> int:
    """The operator's number in a change's id; 0 for the id of a plan.

    >>> change_number("c5-7-2f63a8da44f9e5d5"), change_number("3-ca06da3a935a")
    (7, 0)
    """
    parts = identifier.split("-")
    return int(parts[1]) if identifier.startswith("c") and len(parts) == 3 else 0


def plan_id(base: int, changes: list[tuple[str, dict[str, typing.Any] | None]]) -> str:
    """The id of a plan names its base: the same changes on the same base, the same id.

    >>> plan_id(3, [("a", None)])
    '3-ca06da3a935a'
    """
    raw = json.dumps([base, changes], sort_keys=True).encode()
    return f"{base}-{hashlib.sha256(raw).hexdigest()[:12]}"


def describe(
    old: dict[str, dict[str, typing.Any]], changes: list[tuple[str, dict[str, typing.Any]]]
) -> dict[str, list[str]]:
    """What a plan will do, for the operator to read.

    >>> describe({}, [("pools/desk", {})])["added"]
    ['pools/desk']
    """
    out = {"added": [], "changed": [], "removed": []}
    new = dict(old)
    for key, value in changes:
        out["removed" if value is None else "changed" if key in old else "added"].append(key)
        if value is None:
            new.pop(key, None)
        else:
            new[key] = value
    touched = {k for k, _ in changes}
    pools = {k[6:] for k in touched if k.startswith("pools/")}
    for items in (old, new):
        for key, item in items.items():
            if not key.startswith("routes/"):
                continue
            uses = {key, f"terms/{item.get('terms', 'default')}"}
            uses |= {f"terms/{t}" for t in item.get("requesters", {}).values()}
            if uses & touched:
                pools |= {s["pool"] for s in item.get("split", [])} | {item["pool"]}
    gone = {k[6:] for k, v in changes if v is None and k.startswith("pools/")}
    out["pools"] = sorted(pools)
    out["closes_sessions_of"] = sorted(gone)
    return out


def bare(item: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """An item as nodes get it: without the operator's label.

    >>> bare({"cap": 3, "label": {"team": "night"}})
    {'cap': 3}
    """
    return {k: v for k, v in item.items() if k != "label"} if "label" in item else item


def carve(
    items: collections.abc.Mapping[str, dict[str, typing.Any]], zone: str, pools: collections.abc.Sequence[str] = ()
) -> dict[str, dict[str, typing.Any]]:
    """The slice that a node in a zone needs: its routes, their pools and terms, the limits.

    >>> carve({"routes/a": {"path": "/", "pool": "p", "zones": ["north"]}, "pools/p": {}}, "south")
    {}
    >>> carve({"pools/p": {"label": {"a": 1}}, "limits/door": {}, "marks/operator": {}}, "south", ["p"])
    {'limits/door': {}, 'pools/p': {}}
    """
    out = {}
    needed = {f"pools/{p}" for p in pools} | {"limits/door"}
    for key, item in items.items():
        if not key.startswith("routes/"):
            continue
        zones = item.get("zones")
        if zones and zone not in zones:
            continue
        out[key] = bare(item)
        needed.add(f"pools/{item['pool']}")
        needed.add(f"terms/{item.get('terms', 'default')}")
        if "split" in item:
            needed.update(f"pools/{s['pool']}" for s in item["split"])
        if "requesters" in item:
            needed.update(f"terms/{t}" for t in item["requesters"].values())
    for name in sorted(needed):
        if name in items:
            out[name] = bare(items[name])
    return out
