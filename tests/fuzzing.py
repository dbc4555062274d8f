"""Common parts of the fuzz tests: strategies, a stand-in transport, and access to logged errors.

The examples are derandomized, so that each run tests the same ones.
"""

from typing import Any

import hypothesis
import pytest
from hypothesis import strategies
from twisted.internet import task, testing

from iriswheel.runtime import scheduler, units

QUICK = hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=150)
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(strategies.characters(exclude_categories=[]), max_size=8),
)


def nested(
    scalars: strategies.SearchStrategy[Any], keys: strategies.SearchStrategy[str]
) -> strategies.SearchStrategy[Any]:
    """A strategy for values that are nested in lists and dictionaries."""
    return strategies.recursive(
        scalars,
        lambda inner: strategies.lists(inner, max_size=4) | strategies.dictionaries(keys, inner, max_size=4),
        max_leaves=12,
    )


class Transport(testing.StringTransport):
    """A stand-in for a socket's transport, which can be aborted."""

    aborted = False
    disconnected = False

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def unregisterProducer(self) -> None:
        self.producer = None

    def abortConnection(self) -> None:
        self.aborted = self.disconnecting = True


def new_runtime() -> tuple[task.Clock, scheduler.Runtime]:
    """Return a manual clock and a runtime that uses it."""
    clock = task.Clock()
    return clock, scheduler.Runtime(clock, now=lambda: int(clock.seconds() * units.SECOND_US), seed=1)


class LoggedErrors:
    """Base of tests that keep logged errors, such as those of failed tasks, in `task_errors` and print nothing."""

    @pytest.fixture(autouse=True)
    def keep_logged_errors(self, logged_errors: list[str]) -> None:
        self.task_errors = logged_errors
