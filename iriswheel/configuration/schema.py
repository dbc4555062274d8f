"""The schema of the operators' configuration: a dataclass for each kind of item.

The field names are those of the JSON documents. mashumaro reads the annotations at run time, so that this module
does not postpone their evaluation.
"""

import collections.abc
import dataclasses
import enum
import functools
import re
import typing

import mashumaro.config
import mashumaro.mixins.dict

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
HEADER_TEXT = re.compile(r"[\x21-\x7e](?:[\x20-\x7e]{0,254}[\x21-\x7e])?\Z")
KEY_DIGEST = re.compile(r"[0-9a-f]{64}\Z")  # SHA-256 in hexadecimal digits
INTEGER_BOUND = 1 << 53  # JSON numbers are exact below it
URGENCY_MAX = 9
URGENCY_FROM_ROUTE = URGENCY_MAX + 1  # a tenant's urgency that leaves the choice to the route

# JSON objects: an item's fields by name; the flat map of items by `kind/name`; items by kind and name.
Item = dict[str, typing.Any]
Items = collections.abc.Mapping[str, Item]
Document = dict[str, dict[str, Item]]


class Election(enum.StrEnum):
    """Where the worker for a request is chosen: at the pool's owner, or at each node for itself."""

    POOL_OWNER = "warden"
    NODE = "node"


class RepeatPolicy(enum.StrEnum):
    """Whether a route's requests may run more than once; ASKED leaves it to the client's header."""

    ASKED = "asked"
    MAY = "may"
    NEVER = "never"


class RateUnit(enum.StrEnum):
    """What a tenant's rate limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(eq=False)
class StrictItem(mashumaro.mixins.dict.DataClassDictMixin):
    """An item that refuses unknown fields and does not convert between strings and numbers."""

    class Config(mashumaro.config.BaseConfig):
        """Refuses unknown keys."""

        forbid_extra_keys = True
        lazy_compilation = True  # each process compiles the few that it reads, not all of them at its start

    @classmethod
    def __pre_deserialize__(cls, document: dict[typing.Any, typing.Any]) -> dict[typing.Any, typing.Any]:
        """Refuse a value of another type than its field's, or out of range.

        Raises:
            ValueError: the text names the field.
        """
        if not isinstance(document, dict):
            raise ValueError("not an object")  # noqa: TRY004 - a mistake in the configuration, as those below
        for name, expected in field_types(typing.cast("collections.abc.Hashable", cls)):  # mypy: classes are hashable
            if name not in document:
                continue
            if type(document[name]) is not expected:
                raise ValueError(f"{name}: wants {expected.__name__}, not {type(document[name]).__name__}")
            if expected is int and not 0 <= document[name] < INTEGER_BOUND:
                raise ValueError(f"{name}: out of range")
        return document


@functools.cache
def field_types(cls: collections.abc.Hashable) -> list[tuple[str, type[object]]]:
    """The fields of an item and the plain type that each one has in JSON.

    >>> field_types(Marks)
    [('number', <class 'int'>), ('label', <class 'dict'>)]
    """
    fields = dataclasses.fields(typing.cast("type[StrictItem]", cls))
    types = {field.name: typing.get_origin(field.type) or field.type for field in fields}
    return list(typing.cast("dict[str, type[object]]", types).items())  # annotations are not strings in this module


def with_floats(document: object, names: tuple[str, ...]) -> typing.Any:  # noqa: ANN401 - whatever the operator sent
    """The document with whole numbers of some fields as floats.

    >>> with_floats({"rate": 5, "keys": 5}, ("rate",))
    {'rate': 5.0, 'keys': 5}
    """
    if not isinstance(document, dict):
        return document
    return {name: float(value) if name in names and type(value) is int else value for name, value in document.items()}


@dataclasses.dataclass
class Pool(StrictItem):
    """A pool: the workers that the platform lists under its name, and their capacity.

    Attributes:
        cap: Open sessions that a worker may hold; 0 for no bound.
        slots: Requests that a worker may run at once.
        long_slots: How many of these may be long requests.
        long_bytes: Body length from which a request counts as long.
        long_wait_us: How long a long request may wait for a worker.
        short_wait_us: How long a short request may wait for a worker.
        waiting: Requests that may wait for a worker at once.
        election: Where a worker is chosen, one of `Election`.
        conns: Connections that a worker takes from all nodes together; 0 for no known bound.
        probe: Path of the worker's health check; "" for none.
        batch: Requests that a worker runs at once; 0 if unknown.
        memory_tokens: Tokens that a worker's memory holds; 0 if unknown.
        event_tokens: Tokens in one event of a stream.
        cold_rate: Requests a second that a cold worker bears; 0 if unknown.
        label: The operator's own data, which stays on the core machines.

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
    cold_rate: float = 0.0

    @classmethod
    def __pre_deserialize__(cls, document: dict[typing.Any, typing.Any]) -> dict[typing.Any, typing.Any]:
        """Take a whole number for the rate too."""
        return super().__pre_deserialize__(with_floats(document, ("cold_rate",)))


@dataclasses.dataclass
class Terms(StrictItem):
    """The terms of a session.

    Attributes:
        lifetime_us: How long a session stays open without a request.
        cost: The session's weight in the choice of a worker.
        session_part: Place of the session's part in X-Prompt-Prefix; -1 is the last one, and then a list of a single
            part, which all clients share, opens no session.

    >>> Terms().lifetime_us
    60000000
    """

    lifetime_us: int = 60_000_000
    cost: int = 100
    session_part: int = -1

    @classmethod
    def __pre_deserialize__(cls, document: dict[typing.Any, typing.Any]) -> dict[typing.Any, typing.Any]:
        """Drop a session part of -1, which is the default, before negative numbers are refused."""
        if isinstance(document, dict) and document.get("session_part", -1) == -1:
            document = {name: value for name, value in document.items() if name != "session_part"}
        return super().__pre_deserialize__(document)


@dataclasses.dataclass
class Route(StrictItem):
    """Which requests go to which pool: those of a host and path prefix, in some zones or in all.

    Attributes:
        path: Path prefix, beginning with "/".
        pool: The pool; where `split` is given, the first of its pools.
        terms: Name of the terms for requesters that `requesters` does not name.
        zones: Zones in which the route holds; empty for all.
        requesters: Names of terms by requester.
        host: Host name; "" for any.
        split: Pools with weights, over which the requests are shared out.
        repeat: Whether requests may run more than once, one of `RepeatPolicy`.
        resume: Whether a stream may be resumed at another worker.
        sends: Workers to which one attempt may go; 0 for no bound of its own.
        cutoff_us: The longest that a request is held; 0 for no bound.
        aim_us: The operator's target for the time to the first byte; 0 for none.
        gap_us: The longest pause between events; 0 for no bound.
        urgency: 0 goes first, 9 last.
        label: The operator's own data, which stays on the core machines.
        public: Whether requests need no tenant's key, where the configuration requires keys.

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
    public: bool = False

    def pools(self) -> list[str]:
        """The pools that this route's requests may go to.

        >>> Route("/", "a", split=[{"pool": "a", "weight": 9}, {"pool": "b", "weight": 1}]).pools()
        ['a', 'b']
        """
        return [share["pool"] for share in self.split] or [self.pool]


@dataclasses.dataclass
class Limits(StrictItem):
    """What a client may send, and how long it may take over it; the only item is `limits/door`.

    Attributes:
        head_bytes: Length of a request's head.
        body_bytes: Length of a request's body.
        head_us: Time within which the head must be complete.
        idle_us: Time after which an idle connection is closed.
        label: The operator's own data, which stays on the core machines.
        require_key: Whether each request needs a tenant's key, but for those on public routes.

    >>> Limits().head_bytes
    16384
    """

    head_bytes: int = 16384
    body_bytes: int = 8 << 20
    head_us: int = 10_000_000
    idle_us: int = 75_000_000
    label: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    require_key: bool = False


@dataclasses.dataclass
class Tenant(StrictItem):
    """A tenant: the keys of its requests, and the rate limit that holds over all nodes together.

    Attributes:
        keys: SHA-256 digests of its keys, in hexadecimal digits; the keys themselves are not part of a configuration.
        urgency: Of its requests, before the route's; `URGENCY_FROM_ROUTE` leaves it to the route.
        rate_unit: What the limit counts, one of `RateUnit`.
        rate: Units a second; 0 for no limit.
        burst: Units above the rate that may come at once.
        unstated_tokens: Tokens that a request counts which does not state its own.
        told_as: The name that workers are told; "" for the item's own.
        label: The operator's own data, which stays on the core machines.

    >>> Tenant.from_dict({"rate": 5, "burst": 2.5})
    Tenant(keys=[], urgency=10, rate_unit='requests', rate=5.0, burst=2.5, unstated_tokens=0, told_as='', label={})
    """

    keys: list[str] = dataclasses.field(default_factory=list)
    urgency: int = URGENCY_FROM_ROUTE
    rate_unit: str = "requests"
    rate: float = 0.0
    burst: float = 0.0
    unstated_tokens: int = 0
    told_as: str = ""
    label: dict[str, typing.Any] = dataclasses.field(default_factory=dict)

    @classmethod
    def __pre_deserialize__(cls, document: dict[typing.Any, typing.Any]) -> dict[typing.Any, typing.Any]:
        """Take whole numbers for rate and burst too."""
        return super().__pre_deserialize__(with_floats(document, ("rate", "burst")))

    def cost(self, tokens: int) -> float:
        """What a request counts in the limit's unit; `tokens` are those that it states, 0 for none.

        >>> Tenant(unstated_tokens=200).cost(50), Tenant(rate_unit="tokens", unstated_tokens=200).cost(0)
        (1, 200)
        """
        if self.rate_unit == RateUnit.REQUESTS:
            return 1
        return tokens or self.unstated_tokens


@dataclasses.dataclass
class Marks(StrictItem):
    """The operator's own number of the configuration; the only item is `marks/operator`.

    >>> Marks(7).number
    7
    """

    number: int = 0
    label: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


KINDS: dict[str, type[StrictItem]] = {
    "pools": Pool,
    "routes": Route,
    "terms": Terms,
    "limits": Limits,
    "marks": Marks,
    "tenants": Tenant,
}
KINDS_OMITTED_WHEN_EMPTY = {
    "tenants"
}  # a document without such items has no section for them, as before there were any
SINGLETONS = {"limits": "door", "marks": "operator"}  # the kinds that have a single item, and its name
LIMITS_KEY = "limits/door"
OPERATOR_KEY = "marks/operator"
