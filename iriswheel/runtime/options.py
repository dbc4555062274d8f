"""What a process learns of its place: an options file, flags over it, all checked at once."""

import collections.abc
import dataclasses
import ipaddress
import math
import os
import tomllib
import typing

import loguru

if typing.TYPE_CHECKING:
    import iriswheel.runtime.scheduler as scheduler


WATCH_US = 2_000_000

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


def address(text: str) -> tuple[str, int]:
    """An address "IP:port" as a pair; raises ValueError.

    >>> address("127.0.0.1:7001")
    ('127.0.0.1', 7001)
    """
    host, sep, port = text.rpartition(":")
    ipaddress.ip_address(host)
    if not sep or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(text)
    return host, int(port)


@dataclasses.dataclass
class Options:
    """The options of a process.

    `front` is where HTTP is served where that isn't host:http_port, `ready` a further place
    at which a node tells only whether it is ready. `grace_us` is the time from a signal to
    the process's end. `copies` synced copies are kept of a change before it is answered, on
    `voters` core machines once so many are there; only with `found` may a blank core make a
    new fleet. With `serve_on` a node that lost the core goes on by what it has. The
    platform takes `call_rate` calls a second from all nodes together.

    >>> o = Options(role="node", name="n1", host="127.0.0.1", zone="north",
    ...             seeds=["127.0.0.1:7001"], platform="127.0.0.1:9000")
    >>> o.check() or o.seed_list()
    [('127.0.0.1', 7001)]
    """

    role: str
    name: str = ""
    host: str = ""
    port: int = 0
    http_port: int = 0
    zone: str = ""
    seeds: list = dataclasses.field(default_factory=list)
    platform: str = ""
    data: str = ""
    log_level: str = "INFO"
    front: str = ""
    ready: str = ""
    grace_us: int = 30_000_000
    lease_us: int = 3_000_000  # of nodes, granted by core machines; the same on all of these
    notice_us: int = 700_000  # after the platform first heard that a node is not ready, joining members still come
    connections: int = 2048
    copies: int = 2
    seats: int = 3
    found: bool = True
    serve_on: bool = False
    call_rate: float = 40.0
    drain_us: int = 0  # of a worker, where the platform's list doesn't say
    hold_us: int = 0  # how long a gone worker's address is kept from another pool's use
    retry_ratio: float = 0.2
    retry_window_us: int = 10_000_000
    retry_slack: int = 0
    list_us: int = 500_000  # between two questions for the platform's list

    def front_address(self) -> tuple[str, int]:
        """Where HTTP is served, as a pair.

        >>> Options("node", host="127.0.0.1", http_port=8101).front_address()
        ('127.0.0.1', 8101)
        """
        return address(self.front) if self.front else (self.host, self.http_port)

    def seed_list(self) -> list[tuple[str, int]]:
        """The seeds as pairs.

        >>> Options("core", seeds=["127.0.0.1:1"]).seed_list()
        [('127.0.0.1', 1)]
        """
        return [address(s) for s in self.seeds]

    def platform_address(self) -> tuple[str, int]:
        """The platform's address as a pair.

        >>> Options("node", platform="127.0.0.1:9000").platform_address()
        ('127.0.0.1', 9000)
        """
        return address(self.platform)

    def check(self) -> None:
        """Raise OptionsError with every mistake.

        >>> Options("node").check()
        Traceback (most recent call last):
        ...
        iriswheel.runtime.options.OptionsError: name: missing; zone: missing; host: '' is no IP number; ...
        """
        bad = []
        for f in dataclasses.fields(self):
            value, want = getattr(self, f.name), f.type
            if want is float and type(value) is int:
                value = float(value)
                setattr(self, f.name, value)
            if type(value) is not want:
                bad.append(f"{f.name}: wants {want.__name__}, not {type(value).__name__}")
            elif want is float and not math.isfinite(value):
                bad.append(f"{f.name}: {value} is no finite number")
        if bad:
            raise OptionsError(bad)
        need = ["name", "zone"] + (["data"] if self.role == "core" else [])
        bad += [f"{n}: missing" for n in need if not getattr(self, n)]
        try:
            ipaddress.ip_address(self.host)
        except ValueError:
            bad.append(f"host: {self.host!r} is no IP number")
        for n in ("port", "http_port"):
            if not 0 <= getattr(self, n) < 65536:
                bad.append(f"{n}: {getattr(self, n)} is no port")
        if self.role == "core" and self.port == 0:
            bad.append("port: a core's port must be fixed, since the seeds name it")
        if not self.seeds:
            bad.append("seeds: missing")
        if len(set(map(str, self.seeds))) != len(self.seeds):
            bad.append("seeds: one is named twice")
        for s in self.seeds:
            self._address("seeds", s, bad)
        if self.role == "node":
            self._address("platform", self.platform, bad)
        for n in ("front", "ready"):
            if getattr(self, n):
                self._address(n, getattr(self, n), bad)
        for n in ("grace_us", "lease_us", "connections", "copies", "seats", "call_rate", "retry_window_us", "list_us"):
            if getattr(self, n) <= 0:
                bad.append(f"{n}: must be above 0")
        for n in ("drain_us", "hold_us", "retry_ratio", "retry_slack", "notice_us"):
            if getattr(self, n) < 0:
                bad.append(f"{n}: must not be below 0")
        if self.copies > self.seats:
            bad.append("copies: is above seats")
        if self.log_level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
            bad.append(f"log_level: {self.log_level!r} is none of DEBUG, INFO, WARNING, ERROR")
        if bad:
            raise OptionsError(bad)

    @staticmethod
    def _address(name: str, text: str, bad: list[str]) -> None:
        try:
            address(text)
        except (ValueError, AttributeError):
            bad.append(f"{name}: {text!r} is no IP:port")


def read(role: str, path: str, flags: dict[str, typing.Any]) -> "Options":
    """The options of a file with flags over them, checked."""
    values = {}
    if path:
        try:
            with open(path, "rb") as f:
                values = tomllib.load(f)
        except OSError as e:
            raise OptionsError([f"options: {path}: {e.strerror}"]) from e
        except (ValueError, RecursionError) as e:
            raise OptionsError([f"options: {path}: {e}"]) from e
    known = {f.name for f in dataclasses.fields(Options)} - {"role"}
    unknown = [f"{k}: unknown option" for k in sorted(set(values) - known)]
    values = {k: v for k, v in values.items() if k in known}
    values.update({k: v for k, v in flags.items() if v is not None})
    out = Options(role=role, **values)
    try:
        out.check()
    except OptionsError as e:
        unknown += e.errors
    if unknown:
        raise OptionsError(unknown)
    return out


class Watch:
    """Reads a process's options again when their file has changed, or when told to."""

    def __init__(
        self,
        runtime: "scheduler.Runtime",
        path: str,
        reread: collections.abc.Callable[..., object],
        renew: collections.abc.Callable[..., object],
    ) -> None:
        self.runtime = runtime
        self.path = path
        self.reread = reread
        self.renew = renew
        self.seen = self.version()

    def version(self) -> tuple[int, int, int] | None:
        """What tells one state of the file from another."""
        try:
            s = os.stat(self.path)
            return s.st_mtime_ns, s.st_size, s.st_ino
        except OSError:
            return None

    def again(self) -> None:
        """Read the options now; what can't be read leaves the old ones."""
        self.seen = self.version()
        try:
            o = self.reread()
        except OptionsError as e:
            log.warning("The options can't be read again: {}", e)
            return
        self.renew(o)

    async def run(self) -> None:
        """Look at the file now and then."""
        while True:
            await self.runtime.sleep(WATCH_US)
            now = self.version()
            if now is not None and now != self.seen:
                self.again()
