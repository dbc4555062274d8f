"""The modules of platform/, which is no package: importing this one puts that directory on the module path.

Simulations and tests reach them through here, for example as `platform_programs.formats`.
"""

import sys

from simulation import platform_names

if platform_names.PLATFORM not in sys.path:
    sys.path.append(platform_names.PLATFORM)

import configuration_api  # noqa: E402
import formats  # noqa: E402
import run as entry_points  # noqa: E402
import settings  # noqa: E402

__all__ = ["configuration_api", "entry_points", "formats", "settings"]
