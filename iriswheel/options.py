"""What a process learns of its place: an options file, flags over it, all checked at once."""

import dataclasses
import ipaddress
import tomllib


class BadOptions(ValueError):
    """All mistakes in the options, by name.

    >>> BadOptions(["host: missing"]).defects
    ['host: missing']
    """

    code = "bad_options"

    def __init__(self, defects):
        super().__init__("; ".join(defects))
        self.defects = defects


def address(text):
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

    def seed_list(self):
        """The seeds as pairs.

        >>> Options("core", seeds=["127.0.0.1:1"]).seed_list()
        [('127.0.0.1', 1)]
        """
        return [address(s) for s in self.seeds]

    def platform_address(self):
        """The platform's address as a pair.

        >>> Options("node", platform="127.0.0.1:9000").platform_address()
        ('127.0.0.1', 9000)
        """
        return address(self.platform)

    def check(self):
        """Raise BadOptions with every mistake.

        >>> Options("node").check()
        Traceback (most recent call last):
        ...
        iriswheel.options.BadOptions: name: missing; zone: missing; host: '' is no IP number; ...
        """
        bad = []
        for f in dataclasses.fields(self):
            val, want = getattr(self, f.name), f.type
            if type(val) is not want:
                bad.append(f"{f.name}: wants {want.__name__}, not {type(val).__name__}")
        if bad:
            raise BadOptions(bad)
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
        if self.log_level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
            bad.append(f"log_level: {self.log_level!r} is none of DEBUG, INFO, WARNING, ERROR")
        if bad:
            raise BadOptions(bad)

    @staticmethod
    def _address(name, text, bad):
        try:
            address(text)
        except (ValueError, AttributeError):
            bad.append(f"{name}: {text!r} is no IP:port")


def read(role, path, flags):
    """The options of a file with flags over them, checked.

    Example: `read("node", "node.toml", {"name": "n1"})`
    """
    vals = {}
    if path:
        try:
            with open(path, "rb") as f:
                vals = tomllib.load(f)
        except OSError as e:
            raise BadOptions([f"options: {path}: {e.strerror}"])
        except tomllib.TOMLDecodeError as e:
            raise BadOptions([f"options: {path}: {e}"])
    known = {f.name for f in dataclasses.fields(Options)} - {"role"}
    unknown = [f"{k}: unknown option" for k in sorted(set(vals) - known)]
    vals = {k: v for k, v in vals.items() if k in known}
    vals.update({k: v for k, v in flags.items() if v is not None})
    out = Options(role=role, **vals)
    try:
        out.check()
    except BadOptions as e:
        unknown += e.defects
    if unknown:
        raise BadOptions(unknown)
    return out
