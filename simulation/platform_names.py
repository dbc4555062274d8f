"""The header, field and path names of the users' platform, read from platform/words.toml."""

import pathlib
import tomllib

PLATFORM = pathlib.Path(__file__).resolve().parent.parent / "platform"
ALL = tomllib.loads((PLATFORM / "words.toml").read_text(encoding="utf-8"))

HEADERS: dict[str, str] = ALL["head"]
PATHS: dict[str, str] = ALL["path"]
LISTING: dict[str, str] = ALL["listing"]
REPORT: dict[str, str] = ALL["report"]
CONFIGURATION: dict[str, str] = ALL["blueprint"]
BOUNDS: dict[str, str] = ALL["bounds"]
ROUTE: dict[str, str] = ALL["route"]
POOL: dict[str, str] = ALL["pool"]
TALLY: dict[str, str] = ALL["tally"]
TERMS: dict[str, str] = ALL["word"]
