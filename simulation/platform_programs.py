"""The modules of the directory platform/, which is no package.

Importing this module adds that directory to the module search path. Simulations and tests use the modules through it,
for example as `platform_programs.formats`.
"""

import sys

from simulation import platform_names

if str(platform_names.PLATFORM) not in sys.path:
    sys.path.append(str(platform_names.PLATFORM))

import configuration_api
import core_api
import formats
import processes as entry_points
import settings

__all__ = ["configuration_api", "core_api", "entry_points", "formats", "settings"]
