"""The options of a process: an options file with flags over it, all checked at once."""

import collections.abc
import dataclasses
import ipaddress
import math
import os
import pathlib
import tomllib
import typing

import loguru

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler


POLL_INTERVAL_US = 2_000_000
MAX_PORT = 65535
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
PORT_OPTIONS = ("port", "http_port")
POSITIVE_OPTIONS = (
    "grace_us",
    "lease_us",
    "connections",
    "copies",
    "seats",
    "call_rate",
    "retry_window_us",
    "list_us",
    "rate_window_us",
)
NON_NEGATIVE_OPTIONS = (
    "drain_us",
    "hold_us",
    "retry_ratio",
    "retry_slack",
    "notice_us",
    "revocation_us",
    "rate_overshoot",
)

log = loguru.logger.bind(part="options")


class OptionsError(ValueError):
    """All mistakes in the options, by name.

    >>> OptionsError(["host: missing"]).errors
    ['host: missing']
    """

    code = "bad_options"

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


def parse_address(text: str) -> tuple[str, int]:
    """Split an address "IP:port" into host and port.

    Raises:
        ValueError: the text is no such address.

    >>> parse_address("127.0.0.1:7001")
    ('127.0.0.1', 7001)
    """
    host, separator, port = text.rpartition(":")
    ipaddress.ip_address(host)
    if not separator or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(text)
    return host, int(port)


@dataclasses.dataclass
class Options:
    """The options of a process; the names of the fields are those of the options file.

    Attributes:
        role: "core" or "node".
        name: Of the machine; a newer process of that name replaces the one before.
        host: IP number to listen on and to be reached at.
        port: For messages between processes; 0 lets the system pick.
        http_port: For clients, or on a core for operators; 0 lets the system pick.
        zone: The failure domain that the machine is in.
        seeds: IP:port of core machines.
        platform: IP:port at which the platform lists the workers; for nodes.
        data: Path of the data folder; for cores.
        log_level: One of `LOG_LEVELS`.
        front: IP:port at which HTTP is served, where that is not host:http_port.
        ready: IP:port of a further port at which a node answers only whether it is ready.
        grace_us: The time from a signal to the process's end.
        lease_us: The length of a node's lease, which cores grant; the same on all of these.
        notice_us: How long clients may still be sent to a node after the platform first learnt that it is not ready.
        connections: The most connections from clients at once.
        copies: Synced replicas that keep a change before it is answered.
        seats: Voting cores, once so many are there.
        found: Whether a blank core may start a new fleet.
        serve_on: Whether a node that lost the core goes on by the configuration that it has.
        call_rate: Calls a second that the platform takes from all nodes together.
        drain_us: How long a worker drains, where the platform's list doesn't say.
        hold_us: How long the address of a worker that is gone is kept from another pool's use.
        retry_ratio: Retries by requests, of the retry budget.
        retry_window_us: The time over which the retry budget counts.
        retry_slack: Retries that the budget allows beyond its ratio.
        list_us: The time between two requests for the platform's list.
        revocation_us: The time from the acknowledgement of a configuration without a tenant's key until no node, cut
            off or not, takes a request with it; 0 for no bound on a node that serves on without the core.
        rate_window_us: The time over which tenants' rate limits count; the same on all nodes.
        rate_overshoot: The part of a rate limit by which a tenant may pass it in such a time, all nodes together.

    >>> options = Options(role="node", name="n1", host="127.0.0.1", zone="north",
    ...                   seeds=["127.0.0.1:7001"], platform="127.0.0.1:9000")
    >>> options.check() or options.seed_list()
    [('127.0.0.1', 7001)]
    """

    role: str
    name: str = ""
    host: str = ""
    port: int = 0
    http_port: int = 0
    zone: str = ""
    seeds: list[str] = dataclasses.field(default_factory=list)
    platform: str = ""
    data: str = ""
    log_level: str = "INFO"
    front: str = ""
    ready: str = ""
    grace_us: int = 30_000_000
    lease_us: int = 3_000_000
    notice_us: int = 700_000
    connections: int = 2048
    copies: int = 2
    seats: int = 3
    found: bool = True
    serve_on: bool = False
    call_rate: float = 40.0
    drain_us: int = 0
    hold_us: int = 0
    retry_ratio: float = 0.2
    retry_window_us: int = 10_000_000
    retry_slack: int = 0
    list_us: int = 500_000
    revocation_us: int = 0
    rate_window_us: int = 10_000_000
    rate_overshoot: float = 0.1

    def front_address(self) -> tuple[str, int]:
        """Where HTTP is served, as a pair.

        >>> Options("node", host="127.0.0.1", http_port=8101).front_address()
        ('127.0.0.1', 8101)
        """
        return parse_address(self.front) if self.front else (self.host, self.http_port)

    def seed_list(self) -> list[tuple[str, int]]:
        """The seeds as pairs.

        >>> Options("core", seeds=["127.0.0.1:1"]).seed_list()
        [('127.0.0.1', 1)]
        """
        return [parse_address(seed) for seed in self.seeds]

    def platform_address(self) -> tuple[str, int]:
        """The platform's address as a pair.

        >>> Options("node", platform="127.0.0.1:9000").platform_address()
        ('127.0.0.1', 9000)
        """
        return parse_address(self.platform)

    def check(self) -> None:
        """Raise OptionsError with every mistake.

        >>> Options("node").check()
        Traceback (most recent call last):
        ...
        iriswheel.runtime.options.OptionsError: name: missing; zone: missing; host: '' is no IP number; ...
        """
        mistakes = list(self._type_mistakes())
        if mistakes:  # values of other types can't be checked further
            raise OptionsError(mistakes)
        mistakes += self._identity_mistakes()
        mistakes += self._address_mistakes()
        mistakes += self._range_mistakes()
        if mistakes:
            raise OptionsError(mistakes)

    def _type_mistakes(self) -> collections.abc.Iterator[str]:
        """Make whole numbers floats where these are expected, and name the values of other types."""
        for field in dataclasses.fields(self):
            expected: typing.Any = typing.get_origin(field.type) or field.type
            value = getattr(self, field.name)
            if expected is float and type(value) is int:
                value = float(value)
                setattr(self, field.name, value)
            if type(value) is not expected:
                yield f"{field.name}: wants {expected.__name__}, not {type(value).__name__}"
            elif isinstance(value, float) and not math.isfinite(value):
                yield f"{field.name}: {value} is no finite number"

    def _identity_mistakes(self) -> collections.abc.Iterator[str]:
        required = ["name", "zone"] + (["data"] if self.role == "core" else [])
        yield from (f"{name}: missing" for name in required if not getattr(self, name))
        try:
            ipaddress.ip_address(self.host)
        except ValueError:
            yield f"host: {self.host!r} is no IP number"
        for name in PORT_OPTIONS:
            if not 0 <= getattr(self, name) <= MAX_PORT:
                yield f"{name}: {getattr(self, name)} is no port"
        if self.role == "core" and self.port == 0:
            yield "port: a core's port must be fixed, since the seeds name it"

    def _address_mistakes(self) -> collections.abc.Iterator[str]:
        if not self.seeds:
            yield "seeds: missing"
        if len(set(map(str, self.seeds))) != len(self.seeds):
            yield "seeds: one is named twice"
        addresses = [("seeds", seed) for seed in self.seeds]
        if self.role == "node":
            addresses.append(("platform", self.platform))
        addresses += [(name, getattr(self, name)) for name in ("front", "ready") if getattr(self, name)]
        for name, text in addresses:
            try:
                parse_address(text)
            except (ValueError, AttributeError):  # AttributeError: an element of the seeds that is no string
                yield f"{name}: {text!r} is no IP:port"

    def _range_mistakes(self) -> collections.abc.Iterator[str]:
        yield from (f"{name}: must be above 0" for name in POSITIVE_OPTIONS if getattr(self, name) <= 0)
        yield from (f"{name}: must not be below 0" for name in NON_NEGATIVE_OPTIONS if getattr(self, name) < 0)
        if self.copies > self.seats:
            yield "copies: is above seats"
        if self.log_level not in LOG_LEVELS:
            yield f"log_level: {self.log_level!r} is none of {', '.join(LOG_LEVELS)}"


def _read_file(path: str) -> dict[str, typing.Any]:
    try:
        with pathlib.Path(path).open("rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise OptionsError([f"options: {path}: {error.strerror}"]) from error
    except (ValueError, RecursionError) as error:
        raise OptionsError([f"options: {path}: {error}"]) from error


def read(role: str, path: str, flags: collections.abc.Mapping[str, typing.Any]) -> Options:
    """The options of a file with flags over them, checked.

    Args:
        role: "core" or "node".
        path: of the file (TOML); "" for none.
        flags: values that go over those of the file; None stands for a flag that is not given.

    Raises:
        OptionsError: with all mistakes, those of unknown names first.
    """
    values = _read_file(path) if path else {}
    known = {field.name for field in dataclasses.fields(Options)} - {"role"}
    mistakes = [f"{name}: unknown option" for name in sorted(set(values) - known)]
    values = {name: value for name, value in values.items() if name in known}
    values.update({name: value for name, value in flags.items() if value is not None})
    options = Options(role=role, **values)
    try:
        options.check()
    except OptionsError as error:
        mistakes += error.errors
    if mistakes:
        raise OptionsError(mistakes)
    return options


class OptionsWatch:
    """Reads a process's options again when their file has changed, or when told to.

    Args:
        runtime: for the time between two looks at the file.
        path: of the file.
        read_options: reads and checks the options; raises OptionsError.
        apply_options: takes the new options over.
    """

    def __init__(
        self,
        runtime: "scheduler.Runtime",
        path: str,
        read_options: collections.abc.Callable[[], Options],
        apply_options: collections.abc.Callable[[Options], object],
    ) -> None:
        self.runtime = runtime
        self.path = path
        self.read_options = read_options
        self.apply_options = apply_options
        self.last_version = self.file_version()

    def file_version(self) -> tuple[int, int, int] | None:
        """Modification time, length and inode of the file, which a change alters; None where there is no file."""
        try:
            status = os.stat(self.path)  # noqa: PTH116 - Path("") would be the current folder
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    def reload(self) -> None:
        """Read the options now; where they can't be read the old ones stay."""
        self.last_version = self.file_version()
        try:
            options = self.read_options()
        except OptionsError as error:
            log.warning("The options can't be read again: {}", error)
            return
        self.apply_options(options)

    async def run(self) -> None:
        """Look at the file every POLL_INTERVAL_US, for as long as the process runs."""
        while True:
            await self.runtime.sleep(POLL_INTERVAL_US)
            version = self.file_version()
            if version is not None and version != self.last_version:
                self.reload()
