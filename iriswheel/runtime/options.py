"""The options of a process: those of its options file, overridden by command-line flags, and checked together."""

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


POLL_INTERVAL_US = 2_000_000  # time between two checks whether the options file has changed
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
    "client_memory_bytes",
    "peer_memory_bytes",
    "peer_connections",
)
NON_NEGATIVE_OPTIONS = (
    "drain_us",
    "hold_us",
    "retry_ratio",
    "retry_slack",
    "notice_us",
    "revocation_us",
    "rate_overshoot",
    "start_wait_us",
)

log = loguru.logger.bind(part="options")


class OptionsError(ValueError):
    """All mistakes in the options, each with the option's name.

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
        ValueError: the text is not an address of this form.

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
        name: Name of the machine; a newer process with the same name replaces the older one.
        host: IP address on which the process listens and at which other processes reach it.
        port: Port for messages between processes; 0 lets the operating system choose.
        http_port: Port for clients, or on a core machine for operators; 0 lets the operating system choose.
        zone: The failure domain of the machine.
        seeds: IP:port of core machines, at which a process first connects.
        platform: IP:port at which the platform lists the workers; for nodes.
        data: Path of the data folder; for core machines.
        log_level: One of `LOG_LEVELS`.
        front: IP:port at which HTTP is served, if that is not host:http_port.
        ready: IP:port of a separate port at which a node answers only whether it is ready.
        grace_us: Time between the signal to stop and the end of the process.
        lease_us: Duration of a node's lease, which core machines grant; the same on all core machines.
        notice_us: Time for which clients may still be sent to a node after the platform first sees it as not ready.
        connections: Largest number of simultaneous connections from clients.
        copies: Number of replicas that must have synced a change before it is acknowledged.
        seats: Number of voting core machines, once there are enough core machines.
        found: Whether a core machine with an empty data folder may start a new fleet.
        serve_on: Whether a node that reaches no core machine goes on serving with its last configuration.
        call_rate: Calls per second that the platform accepts from all nodes together.
        drain_us: Drain time of a worker if the platform's list gives none.
        hold_us: Time for which the address of a removed worker is kept from use by another pool.
        retry_ratio: Ratio of retries to requests that the retry budget allows.
        retry_window_us: Time over which the retry budget counts.
        retry_slack: Retries that the retry budget allows beyond its ratio.
        list_us: Time between two requests for the platform's list.
        revocation_us: Time from the acknowledgement of a configuration without a tenant's key until no node, even one
            that is cut off, accepts a request with it; with 0 there is no such bound on a node that serves on without
            the core machines.
        rate_window_us: Time over which tenants' rate limits count; the same on all nodes.
        client_memory_bytes: Memory that the process holds for clients at most: bodies, heads and unread answers.
        peer_memory_bytes: Memory that the process holds for its connections to other processes at most.
        peer_connections: Largest number of simultaneous connections from other processes.
        start_wait_us: Time for which a start waits for ports and a data folder that are taken or not available yet.
        rate_overshoot: Fraction of its rate limit by which a tenant may exceed it in that time, over all nodes.

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
    start_wait_us: int = 30_000_000
    client_memory_bytes: int = 64 << 20
    peer_memory_bytes: int = 64 << 20
    peer_connections: int = 1024

    def front_address(self) -> tuple[str, int]:
        """Return the host and port at which HTTP is served.

        >>> Options("node", host="127.0.0.1", http_port=8101).front_address()
        ('127.0.0.1', 8101)
        """
        return parse_address(self.front) if self.front else (self.host, self.http_port)

    def seed_list(self) -> list[tuple[str, int]]:
        """Return the seeds as pairs of host and port.

        >>> Options("core", seeds=["127.0.0.1:1"]).seed_list()
        [('127.0.0.1', 1)]
        """
        return [parse_address(seed) for seed in self.seeds]

    def platform_address(self) -> tuple[str, int]:
        """Return the platform's host and port.

        >>> Options("node", platform="127.0.0.1:9000").platform_address()
        ('127.0.0.1', 9000)
        """
        return parse_address(self.platform)

    def check(self) -> None:
        """Check all options; raises OptionsError with all mistakes.

        >>> Options("node").check()
        Traceback (most recent call last):
        ...
        iriswheel.runtime.options.OptionsError: name: missing; zone: missing; host: '' is not an IP address; ...
        """
        mistakes = list(self._type_mistakes())
        if mistakes:  # the further checks need values of the right types
            raise OptionsError(mistakes)
        mistakes += self._identity_mistakes()
        mistakes += self._address_mistakes()
        mistakes += self._range_mistakes()
        if mistakes:
            raise OptionsError(mistakes)

    def _type_mistakes(self) -> collections.abc.Iterator[str]:
        """Convert integers to floats where floats are expected, and yield the options of other types."""
        for field in dataclasses.fields(self):
            expected: typing.Any = typing.get_origin(field.type) or field.type
            value = getattr(self, field.name)
            if expected is float and type(value) is int:
                value = float(value)
                setattr(self, field.name, value)
            if type(value) is not expected:
                yield f"{field.name}: must be {expected.__name__}, not {type(value).__name__}"
            elif isinstance(value, float) and not math.isfinite(value):
                yield f"{field.name}: {value} is not a finite number"

    def _identity_mistakes(self) -> collections.abc.Iterator[str]:
        required = ["name", "zone"] + (["data"] if self.role == "core" else [])
        yield from (f"{name}: missing" for name in required if not getattr(self, name))
        try:
            ipaddress.ip_address(self.host)
        except ValueError:
            yield f"host: {self.host!r} is not an IP address"
        for name in PORT_OPTIONS:
            if not 0 <= getattr(self, name) <= MAX_PORT:
                yield f"{name}: {getattr(self, name)} is not a port number"
        if self.role == "core" and self.port == 0:
            yield "port: a core machine's port must not be 0, since the seeds of other processes name it"

    def _address_mistakes(self) -> collections.abc.Iterator[str]:
        if not self.seeds:
            yield "seeds: missing"
        if len(set(map(str, self.seeds))) != len(self.seeds):
            yield "seeds: an address is listed twice"
        addresses = [("seeds", seed) for seed in self.seeds]
        if self.role == "node":
            addresses.append(("platform", self.platform))
        addresses += [(name, getattr(self, name)) for name in ("front", "ready") if getattr(self, name)]
        for name, text in addresses:
            try:
                parse_address(text)
            except (ValueError, AttributeError):  # AttributeError: an element of the seeds is not a string
                yield f"{name}: {text!r} is not of the form IP:port"

    def _range_mistakes(self) -> collections.abc.Iterator[str]:
        yield from (f"{name}: must be above 0" for name in POSITIVE_OPTIONS if getattr(self, name) <= 0)
        yield from (f"{name}: must not be below 0" for name in NON_NEGATIVE_OPTIONS if getattr(self, name) < 0)
        if self.copies > self.seats:
            yield "copies: must not be above seats"
        if self.log_level not in LOG_LEVELS:
            yield f"log_level: {self.log_level!r} is not one of {', '.join(LOG_LEVELS)}"


def _read_file(path: str) -> dict[str, typing.Any]:
    try:
        with pathlib.Path(path).open("rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise OptionsError([f"options: {path}: {error.strerror}"]) from error
    except (ValueError, RecursionError) as error:
        raise OptionsError([f"options: {path}: {error}"]) from error


def read(role: str, path: str, flags: collections.abc.Mapping[str, typing.Any]) -> Options:
    """Read the options from a file, override them by flags, and check them.

    Args:
        role: "core" or "node".
        path: path of the options file (TOML); "" for none.
        flags: values that override those of the file; None for a flag that was not given.

    Raises:
        OptionsError: the options have mistakes; the error lists all, unknown options first.
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


FileVersion: typing.TypeAlias = tuple[int, int, int] | None


def file_version(path: str) -> FileVersion:
    """Return a file's modification time, length and inode, one of which a change alters; None if there is no file.

    >>> file_version("") is None
    True
    """
    try:
        status = os.stat(path)  # noqa: PTH116 - Path("") would be the current folder
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


class OptionsWatch:
    """Reloads a process's options when their file has changed, or on request.

    Args:
        runtime: runtime of the process, for the time between two checks of the file.
        path: path of the options file.
        read_options: reads and checks the options; raises OptionsError.
        apply_options: puts the new options into force.
        version: version of the file that the options in force were read from.
    """

    def __init__(
        self,
        runtime: "scheduler.Runtime",
        path: str,
        read_options: collections.abc.Callable[[], Options],
        apply_options: collections.abc.Callable[[Options], object],
        version: "FileVersion",
    ) -> None:
        self.runtime = runtime
        self.path = path
        self.read_options = read_options
        self.apply_options = apply_options
        self.last_version = version

    def reload(self) -> None:
        """Read the options now; if they are invalid, the previous ones stay in force."""
        self.last_version = file_version(self.path)
        try:
            options = self.read_options()
        except OptionsError as error:
            log.warning("The options could not be reloaded, so the previous ones stay in force: {}", error)
            return
        self.apply_options(options)

    async def run(self) -> None:
        """Check every POLL_INTERVAL_US whether the file has changed, for as long as the process runs."""
        while True:
            await self.runtime.sleep(POLL_INTERVAL_US)
            version = file_version(self.path)
            if version is not None and version != self.last_version:
                self.reload()
