"""The schema of the operators' configuration: a dataclass for each kind of item.

The field names are those of the JSON documents. This module does not postpone the evaluation of annotations, since
mashumaro reads them at run time.
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
INTEGER_BOUND = 1 << 53  # integers below it are exact as JSON numbers, which many programs read as floats
URGENCY_MAX = 9
URGENCY_FROM_ROUTE = URGENCY_MAX + 1  # tenant's urgency that lets the route's urgency apply

# JSON objects: the fields of one item by name; the flat map of items by key `kind/name`; items by kind, then name.
Item = dict[str, typing.Any]
Items = collections.abc.Mapping[str, Item]
Document = dict[str, dict[str, Item]]


class Election(enum.StrEnum):
    """Where the worker for a request is selected: at the pool's owner, or at the node that has the request."""

    POOL_OWNER = "warden"
    NODE = "node"


class RepeatPolicy(enum.StrEnum):
    """Whether a route's requests may run more than once; with ASKED the client's header decides."""

    ASKED = "asked"
    MAY = "may"
    NEVER = "never"


class RateUnit(enum.StrEnum):
    """The unit that a tenant's rate limit counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclasses.dataclass(eq=False)
class StrictItem(mashumaro.mixins.dict.DataClassDictMixin):
    """An item of the configuration; unknown fields and values of other types are refused, not converted."""

    class Config(mashumaro.config.BaseConfig):
        """Options of mashumaro: refuse unknown fields, and compile a class at its first use."""

        forbid_extra_keys = True
        lazy_compilation = True  # a process compiles only the classes that it reads, not all at its start

    @classmethod
    def __pre_deserialize__(cls, document: dict[typing.Any, typing.Any]) -> dict[typing.Any, typing.Any]:
        """Check that each value has its field's type and is in range.

        Raises:
            ValueError: a value is refused; the text names the field.
        """
        if not isinstance(document, dict):
            raise ValueError("not an object")  # noqa: TRY004 - a mistake in the configuration, like those below
        # cast: mypy does not see that classes are hashable
        for name, expected in field_types(typing.cast("collections.abc.Hashable", cls)):
            if name not in document:
                continue
            if type(document[name]) is not expected:
                raise ValueError(f"{name}: must be {expected.__name__}, not {type(document[name]).__name__}")
            if expected is int and not 0 <= document[name] < INTEGER_BOUND:
                raise ValueError(f"{name}: out of range")
        return document


@functools.cache
def field_types(cls: collections.abc.Hashable) -> list[tuple[str, type[object]]]:
    """Return the names of an item's fields, each with the type that its values have after JSON decoding.

    >>> field_types(Marks)
    [('number', <class 'int'>), ('label', <class 'dict'>)]
    """
    fields = dataclasses.fields(typing.cast("type[StrictItem]", cls))
    types = {field.name: typing.get_origin(field.type) or field.type for field in fields}
    # cast: annotations in this module are types, not strings
    return list(typing.cast("dict[str, type[object]]", types).items())


def with_floats(document: object, names: tuple[str, ...]) -> typing.Any:  # noqa: ANN401 - whatever the operator sent
    """Return the document with integers converted to floats in the named fields.

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
        cap: Open sessions that a worker may hold; 0 for no limit.
        slots: Requests that a worker may run at once.
        long_slots: How many of these slots long requests may use.
        long_bytes: Body length from which a request counts as long.
        long_wait_us: How long a long request may wait for a worker.
        short_wait_us: How long a short request may wait for a worker.
        waiting: Requests that may wait for a worker at once.
        election: Where a worker is selected, one of `Election`.
        conns: Connections that a worker accepts from all nodes together; 0 for no known limit.
        probe: Path of the worker's health check; "" for none.
        batch: Largest batch of requests that a worker runs at once; 0 if unknown.
        memory_tokens: Tokens that fit into a worker's memory; 0 if unknown. It is stored, but not used.
        event_tokens: Tokens in one event of a stream.
        cold_rate: Requests per second that a cold worker can take; 0 if unknown.
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
        """Accept an integer for the rate too."""
        return super().__pre_deserialize__(with_floats(document, ("cold_rate",)))


@dataclasses.dataclass
class Terms(StrictItem):
    """The terms of a session.

    Attributes:
        lifetime_us: How long a session stays open without a request.
        cost: The session's weight in the selection of a worker.
        session_part: Index in X-Prompt-Prefix of the last part that identifies the session, together with those before
            it. -1 stands for the header's last part; a header with a single part then opens no session, since all
            clients share that part.

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
        zones: Zones in which the route applies; empty for all.
        requesters: Names of terms, by requester.
        host: Host name; "" for any.
        split: Pools with weights, among which the requests are divided.
        repeat: Whether requests may run more than once, one of `RepeatPolicy`.
        resume: Whether a stream may be resumed at another worker.
        sends: How often one attempt of a client may be sent to a worker; 0 for no limit of the route's own.
        cutoff_us: Longest time for which a request is held; 0 for no limit.
        aim_us: The operator's target for the time to the first byte; 0 for none. It is stored, but not enforced.
        gap_us: The operator's target for the longest pause between two events of a stream; 0 for none. It is stored,
            but not enforced.
        urgency: Priority in queues, from 0, which is served first, to 9.
        label: The operator's own data, which stays on the core machines.
        public: Whether requests need no tenant's key even if the configuration requires keys.

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
    """Limits on the size and duration of what a client sends; the only item of this kind is `limits/door`.

    Attributes:
        head_bytes: Largest length of a request's head.
        body_bytes: Largest length of a request's body.
        head_us: Time within which a request's head must be complete.
        idle_us: Time after which an idle connection is closed.
        label: The operator's own data, which stays on the core machines.
        require_key: Whether each request needs a tenant's key, except on public routes.

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
    """A tenant: the keys that identify its requests, and its rate limit, which counts over all nodes.

    Attributes:
        keys: SHA-256 digests of its keys, in hexadecimal digits; the keys themselves are not part of a configuration.
        urgency: Urgency of its requests in place of the route's; with `URGENCY_FROM_ROUTE` the route's applies.
        rate_unit: What the limit counts, one of `RateUnit`.
        rate: Units per second; 0 for no limit.
        burst: Units above the rate that may arrive at once.
        unstated_tokens: Tokens charged for a request that does not state its number of tokens.
        told_as: The tenant name sent to workers; "" for the item's own name.
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
        """Accept integers for rate and burst too."""
        return super().__pre_deserialize__(with_floats(document, ("rate", "burst")))

    def cost(self, tokens: int) -> float:
        """Return the cost of a request in the limit's unit; `tokens` is the number that it states, or 0.

        >>> Tenant(unstated_tokens=200).cost(50), Tenant(rate_unit="tokens", unstated_tokens=200).cost(0)
        (1, 200)
        """
        if self.rate_unit == RateUnit.REQUESTS:
            return 1
        return tokens or self.unstated_tokens


@dataclasses.dataclass
class Marks(StrictItem):
    """The operator's own number of the configuration; the only item of this kind is `marks/operator`.

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
# Kinds that get no section in a document without such items, so that it looks as it did before these kinds existed.
KINDS_OMITTED_WHEN_EMPTY = {"tenants"}
SINGLETONS = {"limits": "door", "marks": "operator"}  # kind with a single item -> that item's name
LIMITS_KEY = "limits/door"
OPERATOR_KEY = "marks/operator"
