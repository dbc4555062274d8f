"""The modules of platform/, which is no package: importing this one puts that directory on the module path.

Simulations and tests reach them through here, for example as `platform_programs.formats`.
"""

import sys

from simulation import platform_names

if str(platform_names.PLATFORM) not in sys.path:
    sys.path.append(str(platform_names.PLATFORM))

import configuration_api
import core_api
import formats
import run as entry_points
import settings

__all__ = ["configuration_api", "core_api", "entry_points", "formats", "settings"]
