"""Set-ups that several test files share."""

from collections.abc import Iterator
from typing import Any, Protocol

import loguru
import pytest

from simulation import simulated_cluster

# Modules with assertions that test files share.
pytest.register_assert_rewrite("tests.deferreds", "tests.request_path")


class QuietCluster(Protocol):
    """Starts a simulated cluster without any load of its own, and lets it run until it serves."""

    def __call__(
        self,
        *,
        seed: int = 3,
        shape: str = "small",
        seconds: float = 1,
        **options: Any,  # noqa: ANN401 - those of SimulatedCluster
    ) -> simulated_cluster.SimulatedCluster:
        """Start a cluster; `options` are those of SimulatedCluster."""


@pytest.fixture(autouse=True)
def quiet_log() -> None:
    """Print no log lines: most tests cause some of the complaints that they look for."""
    loguru.logger.remove()


@pytest.fixture
def logged_errors(quiet_log: None) -> Iterator[list[str]]:  # noqa: ARG001 - asked for so that it runs before
    """The lines of level ERROR that were logged during the test."""
    lines: list[str] = []
    sink = loguru.logger.add(lambda line: lines.append(str(line)), level="ERROR")
    yield lines
    loguru.logger.remove(sink)


@pytest.fixture
def quiet_cluster() -> QuietCluster:
    """The function that starts a cluster without load."""

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
