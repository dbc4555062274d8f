"""What the fuzz tests have in common: strategies, a transport, and a look at logged errors.

The examples are derandomized, so that a run repeats.
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
    """Values nested in lists and maps."""
    return strategies.recursive(
        scalars,
        lambda inner: strategies.lists(inner, max_size=4) | strategies.dictionaries(keys, inner, max_size=4),
        max_leaves=12,
    )


class Transport(testing.StringTransport):
    """A transport as a socket's, that can be reset."""

    aborted = False
    disconnected = False

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def unregisterProducer(self) -> None:
        self.producer = None

    def abortConnection(self) -> None:
        self.aborted = self.disconnecting = True


def new_runtime() -> tuple[task.Clock, scheduler.Runtime]:
    """A clock and the machine on it."""
    clock = task.Clock()
    return clock, scheduler.Runtime(clock, now=lambda: int(clock.seconds() * units.SECOND_US), seed=1)


class LoggedErrors:
    """Tests whose expected complaints are not printed; what breaks a task is kept."""

    @pytest.fixture(autouse=True)
    def keep_logged_errors(self, logged_errors: list[str]) -> None:
        self.task_errors = logged_errors
