"""The words of the users' platform, read from platform/words.toml, for the stand-ins of its side."""

import os
import tomllib

PLATFORM = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "platform")
with open(os.path.join(PLATFORM, "words.toml"), "rb") as f:
    ALL = tomllib.load(f)
HEADERS, PATHS, LISTING, REPORT, CONFIGURATION, BOUNDS, ROUTE, POOL, TERMS = (
    ALL[k] for k in ("head", "path", "listing", "report", "blueprint", "bounds", "route", "pool", "word")
)
