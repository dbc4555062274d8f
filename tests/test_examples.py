"""The examples in the comments are run as they stand."""

import doctest
import importlib
import pkgutil

import bench
import iriswheel

FLAGS = doctest.ELLIPSIS | doctest.IGNORE_EXCEPTION_DETAIL


def load_tests(loader, tests, pattern):
    for package in (iriswheel, bench):
        for info in pkgutil.iter_modules(package.__path__):
            if info.name == "__main__":
                continue
            mod = importlib.import_module(f"{package.__name__}.{info.name}")
            tests.addTests(doctest.DocTestSuite(mod, optionflags=FLAGS))
    return tests
