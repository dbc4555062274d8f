"""The examples in the comments are run as they stand."""

import doctest
import importlib
import os
import pkgutil
import sys

import bench
import iriswheel

PLATFORM = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(bench.__file__))), "platform")
FLAGS = doctest.ELLIPSIS | doctest.IGNORE_EXCEPTION_DETAIL


def load_tests(loader, tests, pattern):
    for package in (iriswheel, bench):
        for info in pkgutil.iter_modules(package.__path__):
            if info.name == "__main__":
                continue
            mod = importlib.import_module(f"{package.__name__}.{info.name}")
            tests.addTests(doctest.DocTestSuite(mod, optionflags=FLAGS))
    sys.path.append(PLATFORM)
    for info in pkgutil.iter_modules([PLATFORM]):
        tests.addTests(doctest.DocTestSuite(importlib.import_module(info.name), optionflags=FLAGS))
    return tests
