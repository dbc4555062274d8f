"""Fixtures that several test files share."""

from collections.abc import Iterator
from typing import Any, Protocol

import loguru
import pytest

from simulation import simulated_cluster

# Helper modules with assertions, which pytest rewrites only in registered modules.
pytest.register_assert_rewrite("tests.deferreds", "tests.request_path")


class QuietCluster(Protocol):
    """Starts a simulated cluster without load, and advances it until it serves."""

    def __call__(
        self,
        *,
        seed: int = 3,
        shape: str = "small",
        seconds: float = 1,
        **options: Any,  # noqa: ANN401 - those of SimulatedCluster
    ) -> simulated_cluster.SimulatedCluster:
        """Start a cluster and advance it by `seconds`; `options` are passed to SimulatedCluster."""


@pytest.fixture(autouse=True)
def quiet_log() -> None:
    """Suppress log output: many tests cause the warnings and errors that they check for."""
    loguru.logger.remove()


@pytest.fixture
def logged_errors(quiet_log: None) -> Iterator[list[str]]:  # noqa: ARG001 - requested so that it runs first
    """The log lines of level ERROR and above that the test causes."""
    lines: list[str] = []
    sink = loguru.logger.add(lambda line: lines.append(str(line)), level="ERROR")
    yield lines
    loguru.logger.remove(sink)


@pytest.fixture
def quiet_cluster() -> QuietCluster:
    """A function that starts a simulated cluster without load."""

    def start(
        *,
        seed: int = 3,
        shape: str = "small",
        seconds: float = 1,
        **options: Any,  # noqa: ANN401 - those of SimulatedCluster
    ) -> simulated_cluster.SimulatedCluster:
        cluster = simulated_cluster.SimulatedCluster(seed, shape, long_rate=0, short_rate=0, conversations=0, **options)
        cluster.probing = False
        cluster.begin()
        cluster.advance(seconds)
        return cluster

    return start
