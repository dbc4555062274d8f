"""The header, field and path names of the users' platform, read from platform/words.toml."""

import os
import tomllib

PLATFORM = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "platform")
with open(os.path.join(PLATFORM, "words.toml"), "rb") as _file:
    ALL = tomllib.load(_file)

HEADERS: dict[str, str] = ALL["head"]
PATHS: dict[str, str] = ALL["path"]
LISTING: dict[str, str] = ALL["listing"]
REPORT: dict[str, str] = ALL["report"]
CONFIGURATION: dict[str, str] = ALL["blueprint"]
BOUNDS: dict[str, str] = ALL["bounds"]
ROUTE: dict[str, str] = ALL["route"]
POOL: dict[str, str] = ALL["pool"]
TERMS: dict[str, str] = ALL["word"]
