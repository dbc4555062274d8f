"""Run the tests: `python -m tests`, or `python -m tests tests.test_chain` for some."""

import sys
import unittest

import loguru
import testtools

loguru.logger.remove()
loader = unittest.TestLoader()
names = sys.argv[1:]
suite = loader.loadTestsFromNames(names) if names else loader.discover("tests", top_level_dir=".")
result = testtools.TextTestResult(sys.stdout, verbosity=2)
result.startTestRun()
suite.run(result)
result.stopTestRun()
bad = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
print(f"{result.testsRun - bad} passed, {bad} failed")
sys.exit(0 if result.wasSuccessful() and result.testsRun else 1)
